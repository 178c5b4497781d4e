/*
 * The HTTP server that all stand-ins share: one exchange per request, faults
 * on request, and the pages under /admin.
 */
#ifndef PIMENTO_STANDIN_SERVER_H
#define PIMENTO_STANDIN_SERVER_H

#include "pimentoford/base.h"

#include <evhtp/evhtp.h>
#include <jansson.h>
#include <sys/queue.h>

/* DEF(name, text): what a fault can be aimed at. */
#define TARGETS(DEF)            \
	DEF(TABLE, "table")     \
	DEF(OBJECT, "object")   \
	DEF(VMS, "vms")         \
	DEF(WEIGHTS, "weights") \
	DEF(ENGINE, "engine")   \
	DEF(SERVICE, "service")

enum target {
#define DEF(name, text) TARGET_##name,
	TARGETS(DEF)
#undef DEF
		TARGET_COUNT
};

struct fault {
	pf_ms slow_ms; /* added to each request */
	pf_ms down_until; /* connections are closed until then */
	pf_ms pause_until; /* nothing is answered until then */
	int64_t lose; /* answers still to lose */
	char *crash_on; /* owned; NULL: none */
};

struct server;

/** A request and its answer. Lives until the request ends or its peer goes. */
struct exchange {
	LIST_ENTRY(exchange) link;
	struct server *server;
	evhtp_request_t *req;
	struct event *timer; /* a fault holds the request back */
	enum target target;
	bool lose; /* close instead of answering */
	/* Called once when the exchange ends, before it is freed. */
	void (*closed)(void *ctx);
	void *ctx;
};

/** What a stand-in does; @self is the role's own state. */
struct role {
	enum target (*target)(const char *path);
	void (*handle)(void *self, struct exchange *x);
	/** An /admin path of the role's own; false when it is not one. */
	bool (*admin)(void *self, struct exchange *x, const char *path);
	json_t *(*state)(void *self);
};

struct server {
	struct event_base *base;
	evhtp_t *http;
	struct role role;
	void *self;
	struct fault faults[TARGET_COUNT];
	uint64_t requests;
	uint64_t answers_lost;
	LIST_HEAD(, exchange) exchanges;
};

/** Listens on @listen, "IP:PORT". 0, or -1 after printing why. */
int server_start(struct server *s, const char *listen);
void server_stop(struct server *s);

/** Milliseconds of the monotonic clock. */
pf_ms now_ms(void);

/** Splits "IP:PORT" into @ip and a port; -1 when it is not one. */
int addr_split(const char *addr, char ip[64], uint16_t *port);

/** Whether requests to @t are held back at the moment. */
bool server_paused(const struct server *s, enum target t);

/** Path, body and query of a request; borrowed. */
const char *exchange_path(const struct exchange *x);
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

/** Answers {"error":@error}. */
void exchange_error(struct exchange *x, int status, const char *error);

/** An answer in pieces as server-sent events. */
void exchange_stream(struct exchange *x);
void exchange_event(struct exchange *x, const char *data, size_t n);
void exchange_end(struct exchange *x);

/** Closes the connection without a further byte. */
void exchange_cut(struct exchange *x);

#endif
