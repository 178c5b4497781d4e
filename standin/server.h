/*
 * The HTTP server of all stand-in roles: routing, one exchange per request,
 * fault injection through /admin/fault and counters at /admin/state.
 */
#ifndef PIMENTO_STANDIN_SERVER_H
#define PIMENTO_STANDIN_SERVER_H

#include "pimentoford/base.h"

#include <evhtp/evhtp.h>
#include <jansson.h>
#include <sys/queue.h>

/* DEF(name, text): the interfaces that faults can be injected into. */
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
	TARGET_NONE = TARGET_COUNT, /* /admin: never faulty */
};

struct fault {
	pf_ms delay_ms; /* added to each request */
	pf_ms down_until; /* connections are closed before this time */
	pf_ms pause_until; /* no request is answered before this time */
	int64_t replies_to_lose; /* drop the connection instead */
	char *crash_on; /* prompt text that crashes an engine, owned */
};

struct server;

/** A request and its reply. Freed when the request or its connection ends. */
struct exchange {
	LIST_ENTRY(exchange) link;
	struct server *server;
	evhtp_request_t *req;
	const struct route *route;
	const char *subpath; /* path after the route's prefix */
	struct event *delay_timer; /* delays the request or its reply */
	json_t *delayed_reply; /* sent when the timer fires, or NULL */
	bool lose_reply; /* fault: close the connection instead */
	void (*on_closed)(void *ctx); /* called once at the end, may be NULL */
	void *closed_ctx;
};

/** Handles the paths that begin with @prefix. */
struct route {
	const char *prefix;
	enum fault_target target;
	void (*handle)(void *self, struct exchange *x);
};

struct server {
	struct event_base *base;
	evhtp_t *http;
	const struct route *routes; /* first match wins; ends with "" */
	json_t *(*state_json)(void *self); /* body of /admin/state */
	void *role; /* struct platform, engine or service */
	struct fault faults[TARGET_COUNT];
	uint64_t requests, answers_lost;
	LIST_HEAD(, exchange) exchanges;
};

/** Listens on @listen, "IP:PORT". Returns 0, or -1 after printing why. */
int server_start(struct server *s, const char *listen);
void server_stop(struct server *s);

/** Whether a pause fault holds requests to @t. */
bool server_paused(const struct server *s, enum fault_target t);

/** Monotonic clock, in milliseconds. */
double now_ms(void);
struct timeval timeval_from_ms(double ms);

/** Parses "IP:PORT". Returns 0, or -1 if it is malformed. */
int addr_parse(const char *addr, char ip[64], uint16_t *port);

/** Member @name of an object: its string or NULL, its integer or 0. */
const char *json_get_text(const json_t *j, const char *name);
int64_t json_get_int(const json_t *j, const char *name);

/** The request body, borrowed from the exchange. */
struct pf_str exchange_body(struct exchange *x);

/** A query parameter, to be released with free(), or NULL. */
char *exchange_query(const struct exchange *x, const char *name);

/** The body as a JSON object, a new reference, or NULL. */
json_t *exchange_json(struct exchange *x);

/** Sends a reply. May free the exchange. */
void exchange_reply(struct exchange *x, int status, const char *type,
		    struct pf_str body);

/** Sends a JSON reply; takes ownership of @body. */
void exchange_reply_json(struct exchange *x, int status, json_t *body);

/**
 * Sends a 200 JSON reply after @ms, unless the peer disconnects first. Takes
 * ownership of @body.
 */
void exchange_reply_after(struct exchange *x, double ms, json_t *body);

/** Replies 200 with {}. */
void exchange_reply_ok(struct exchange *x);

/** Replies @status with {"error":@error}. */
void exchange_reply_error(struct exchange *x, int status, const char *error);

/** A 200 reply as a stream of server-sent events, one per call. */
void exchange_stream_start(struct exchange *x);
void exchange_stream_event(struct exchange *x, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
void exchange_stream_end(struct exchange *x);

#endif
