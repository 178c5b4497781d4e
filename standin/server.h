/*
 * The HTTP server that all stand-ins share: routes, one exchange per request,
 * faults on request, and the pages under /admin.
 */
#ifndef PIMENTO_STANDIN_SERVER_H
#define PIMENTO_STANDIN_SERVER_H

#include "pimentoford/base.h"

#include <evhtp/evhtp.h>
#include <jansson.h>
#include <sys/queue.h>

/* DEF(name, text): what a fault can be aimed at. */
#define FAULT_TARGETS(DEF)      \
	DEF(TABLE, "table")     \
	DEF(OBJECT, "object")   \
	DEF(VMS, "vms")         \
	DEF(WEIGHTS, "weights") \
	DEF(ENGINE, "engine")   \
	DEF(SERVICE, "service")

enum fault_target {
#define DEF(name, text) TARGET_##name,
	FAULT_TARGETS(DEF)
#undef DEF
		TARGET_COUNT,
	TARGET_NONE = TARGET_COUNT, /* pages under /admin have no faults */
};

struct fault {
	pf_ms delay_ms; /* added to each request */
	pf_ms down_until; /* connections are closed until then */
	pf_ms pause_until; /* nothing is answered until then */
	int64_t replies_to_lose; /* answers still to lose */
	char *crash_on; /* owned; NULL: none */
};

struct server;

/** A request and its answer. Lives until the request ends or its peer goes. */
struct exchange {
	LIST_ENTRY(exchange) link;
	struct server *server;
	evhtp_request_t *req;
	const struct route *route;
	const char *subpath; /* of the path, behind the route's prefix */
	struct event *delay_timer; /* holds the request or its answer back */
	json_t *delayed_reply; /* the answer held back, or NULL */
	bool lose_reply; /* close instead of answering */
	void (*on_closed)(void *ctx); /* called once when the exchange ends */
	void *closed_ctx;
};

/** Serves the paths that begin with @prefix. */
struct route {
	const char *prefix;
	enum fault_target target;
	void (*handle)(void *self, struct exchange *x);
};

struct server {
	struct event_base *base;
	evhtp_t *http;
	const struct route *routes; /* first match serves; ends with "" */
	json_t *(*state_json)(void *self); /* counters for /admin/state */
	void *role; /* the role's own state */
	struct fault faults[TARGET_COUNT];
	uint64_t requests, answers_lost;
	LIST_HEAD(, exchange) exchanges;
};

/** Listens on @listen, "IP:PORT". 0, or -1 after printing why. */
int server_start(struct server *s, const char *listen);
void server_stop(struct server *s);

/** Whether requests to @t are held back at the moment. */
bool server_paused(const struct server *s, enum fault_target t);

/** Milliseconds of the monotonic clock. */
double now_ms(void);
struct timeval timeval_from_ms(double ms);

/** Splits "IP:PORT" into @ip and a port; -1 when it is not one. */
int addr_parse(const char *addr, char ip[64], uint16_t *port);

/** A member of an object: its text or NULL, its number or 0. */
const char *json_get_text(const json_t *j, const char *name);
int64_t json_get_int(const json_t *j, const char *name);

/** The body of a request; borrowed. */
struct pf_str exchange_body(struct exchange *x);

/** A copy of a query parameter that the caller frees, or NULL. */
char *exchange_query(const struct exchange *x, const char *name);

/** The JSON object in the body, which the caller releases, or NULL. */
json_t *exchange_json(struct exchange *x);

/** Answers with bytes. The exchange may be gone when it returns. */
void exchange_reply(struct exchange *x, int status, const char *type,
		    struct pf_str body);

/** Answers with JSON; releases @body. */
void exchange_reply_json(struct exchange *x, int status, json_t *body);

/** Answers 200 with JSON after @ms unless the peer goes; releases @body. */
void exchange_reply_after(struct exchange *x, double ms, json_t *body);

/** Answers 200 and {}. */
void exchange_reply_ok(struct exchange *x);

/** Answers {"error":@error}. */
void exchange_reply_error(struct exchange *x, int status, const char *error);

/** An answer in pieces as server-sent events. */
void exchange_stream_start(struct exchange *x);
void exchange_stream_event(struct exchange *x, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
void exchange_stream_end(struct exchange *x);

#endif
