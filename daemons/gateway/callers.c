/*
 * Callers' connections: one request at a time is read whole within the limits
 * of the configuration; what comes behind it waits.
 */
#include "gateway.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#define BACKLOG 1024
/* A caller that takes nothing for so long is gone. */
#define CALLER_SILENCE_MS 8000
/* What may come behind a request that is being answered. */
#define AHEAD_MAX ((size_t)256 << 10)
/* Until a configuration says otherwise. */
#define HEADER_MAX 16384
#define BODY_MAX (4 << 20)
#define HEADER_TIME_MS 5000
#define IDLE_TIME_MS 15000
/* Added to what callers are told, for requests that are on their way. */
#define IDLE_SPARE_MS 2000
/* After a refusal what still comes is read and dropped for so long. */
#define REFUSED_MS 1000
#define SWEEP_MS 250

enum phase {
	CALLER_HEAD, /* waits for a whole head */
	CALLER_BODY, /* reads a body */
	CALLER_ANSWERING,
	CALLER_REFUSED, /* drops what comes until the end */
};

struct caller {
	LIST_ENTRY(caller) next;
	struct gateway *g;
	struct pf_sock *sock;
	struct exchange *x; /* being answered */
	enum phase phase;
	struct pf_text in; /* not taken yet */
	struct pf_text head;
	struct pf_h1_head parsed; /* of `head` */
	struct pf_h1_body body_state;
	struct pf_text body;
	bool close; /* after this answer */
	bool chunks;
	pf_ms since; /* of the phase, or of the first byte of a head */
	bool reading; /* inside take() */
};

static int64_t header_max(const struct gateway *g)
{
	int64_t v = g->routes ? g->routes->limits.header_bytes_max : 0;

	return v > 0 ? v : HEADER_MAX;
}

static int64_t body_max(const struct gateway *g)
{
	int64_t v = g->routes ? g->routes->limits.body_bytes_max : 0;

	return v > 0 ? v : BODY_MAX;
}

static void caller_free(struct caller *c)
{
	LIST_REMOVE(c, next);
	c->g->n_callers--;
	pf_sock_free(c->sock);
	pf_text_free(&c->in);
	pf_text_free(&c->head);
	pf_text_free(&c->body);
	free(c);
}

static void enter(struct caller *c, enum phase p)
{
	c->phase = p;
	c->since = pf_clock_now();
}

bool caller_closing(const struct caller *c)
{
	return c->close || c->g->stopping;
}

bool caller_takes_chunks(const struct caller *c)
{
	return c->chunks;
}

void caller_write(struct caller *c, struct pf_str bytes)
{
	if (pf_sock_write(c->sock, bytes) < 0)
		PF_LOG(&c->g->log, PF_LOG_ERROR, "no_memory",
		       PF_KV_STR("for", "an answer"));
}

void caller_set_exchange(struct caller *c, struct exchange *x)
{
	c->x = x;
}

void caller_abort(struct caller *c)
{
	c->x = NULL;
	pf_sock_abort(c->sock);
	c->sock = NULL;
	caller_free(c);
}

/* An answer before the request is whole; the connection ends with it. */
static void refuse(struct caller *c, int status, const char *code)
{
	c->close = true;
	enter(c, CALLER_REFUSED);
	pf_text_reset(&c->in);
	exchange_refuse_early(c, status, code);
}

static void start_exchange(struct caller *c)
{
	enter(c, CALLER_ANSWERING);
	exchange_start(c->g, c, &c->head, &c->parsed, &c->body);
}

/* Whether there was a whole head. */
static bool take_head(struct caller *c)
{
	struct pf_str in = pf_text_str(&c->in);
	size_t n = pf_h1_head_end(in);

	if ((int64_t)(n ? n : in.n) > header_max(c->g)) {
		refuse(c, 431, "header_too_large");
		return false;
	}
	if (n == 0)
		return false;
	pf_text_reset(&c->head);
	pf_text_add(&c->head, (struct pf_str){ in.p, n });
	pf_text_drop(&c->in, n);
	if (c->head.failed ||
	    pf_h1_request(pf_text_str(&c->head), &c->parsed) < 0) {
		refuse(c, 400, "malformed");
		return false;
	}
	if (c->parsed.length > body_max(c->g)) {
		refuse(c, 413, "body_too_large");
		return false;
	}
	c->close = c->parsed.close;
	c->chunks = c->parsed.minor > 0;
	pf_text_reset(&c->body);
	pf_h1_body_start(&c->body_state,
			 c->parsed.chunked ? PF_H1_CHUNKED : PF_H1_LENGTH,
			 c->parsed.length > 0 ? c->parsed.length : 0);
	if (pf_str_eq(pf_h1_get(&c->parsed, PF_STR("Expect")),
		      PF_STR("100-continue")))
		caller_write(c, PF_STR("HTTP/1.1 100 Continue\r\n\r\n"));
	enter(c, CALLER_BODY);
	return true;
}

/* Whether the body is whole. */
static bool take_body(struct caller *c)
{
	int64_t n =
		pf_h1_body_take(&c->body_state, pf_text_str(&c->in), &c->body);

	if (n < 0) {
		refuse(c, 400, "malformed");
		return false;
	}
	pf_text_drop(&c->in, (size_t)n);
	if ((int64_t)c->body.n > body_max(c->g)) {
		refuse(c, 413, "body_too_large");
		return false;
	}
	return c->body_state.ended;
}

/* Takes requests from what has come, one after the other. */
static void take(struct caller *c)
{
	if (c->reading)
		return;
	c->reading = true;
	for (;;) {
		if (c->phase == CALLER_HEAD && c->in.n > 0 && !take_head(c))
			break;
		if (c->phase != CALLER_BODY || !take_body(c))
			break;
		start_exchange(c);
		/* It may have been answered already. */
		if (c->phase != CALLER_HEAD)
			break;
	}
	c->reading = false;
}

static void on_data(void *ctx, struct pf_str in)
{
	struct caller *c = ctx;

	if (c->phase == CALLER_REFUSED)
		return;
	if (c->phase == CALLER_HEAD && c->in.n == 0)
		c->since = pf_clock_now();
	pf_text_add(&c->in, in);
	if (c->in.failed) {
		caller_abort(c);
		return;
	}
	if (c->phase == CALLER_ANSWERING) {
		if (c->in.n > AHEAD_MAX)
			pf_sock_pause(c->sock, true);
		return;
	}
	take(c);
}

static void on_closed(void *ctx, enum pf_sock_end why)
{
	struct caller *c = ctx;

	(void)why;
	if (c->x)
		exchange_hangup(c->x);
	caller_free(c);
}

static const struct pf_sock_cbs caller_cbs = { on_data, on_closed };

void caller_answered(struct caller *c)
{
	c->x = NULL;
	if (c->phase == CALLER_REFUSED)
		return; /* the sweep ends it */
	if (caller_closing(c)) {
		struct pf_sock *s = c->sock;

		c->sock = NULL;
		if (c->reading) {
			/* take() still looks at it. */
			c->sock = s;
			enter(c, CALLER_REFUSED);
			return;
		}
		pf_sock_close_when_sent(s);
		caller_free(c);
		return;
	}
	enter(c, CALLER_HEAD);
	pf_sock_pause(c->sock, false);
	if (c->in.n > 0)
		take(c);
}

static void on_accept(evutil_socket_t fd, short what, void *ctx)
{
	struct gateway *g = ctx;
	struct caller *c;
	int s;

	(void)what;
	while ((s = accept4(fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC)) >=
	       0) {
		c = calloc(1, sizeof(*c));
		if (!c) {
			evutil_closesocket(s);
			continue;
		}
		c->g = g;
		c->sock = pf_sock_from_fd(g->base, s, CALLER_SILENCE_MS,
					  &caller_cbs, c);
		if (!c->sock) {
			free(c);
			continue;
		}
		enter(c, CALLER_HEAD);
		LIST_INSERT_HEAD(&g->callers, c, next);
		g->n_callers++;
	}
	if (errno != EAGAIN && errno != EINTR)
		PF_LOG(&g->log, PF_LOG_WARN, "accept_failed",
		       PF_KV_STR("why", strerror(errno)));
}

/* Whether the connection's time in its phase is over. */
static bool overdue(const struct gateway *g, const struct caller *c, pf_ms now)
{
	pf_ms head = g->routes ? g->routes->limits.header_timeout : 0;
	pf_ms idle = g->routes ? g->routes->limits.idle_timeout : 0;
	pf_ms spent = now - c->since;

	if (c->phase == CALLER_REFUSED)
		return spent > REFUSED_MS;
	if (c->phase == CALLER_HEAD && c->in.n == 0)
		return spent > (idle ? idle : IDLE_TIME_MS) + IDLE_SPARE_MS;
	if (c->phase == CALLER_HEAD || c->phase == CALLER_BODY)
		return spent > (head ? head : HEADER_TIME_MS) * 2;
	return false;
}

static void on_sweep(evutil_socket_t fd, short what, void *ctx)
{
	struct gateway *g = ctx;
	pf_ms now = pf_clock_now();
	struct caller *c = LIST_FIRST(&g->callers);

	(void)fd;
	(void)what;
	while (c) {
		struct caller *next = LIST_NEXT(c, next);

		if (overdue(g, c, now)) {
			if (c->phase == CALLER_HEAD && c->in.n > 0)
				refuse(c, 408, "header_timeout");
			else
				caller_free(c);
		}
		c = next;
	}
	upstream_sweep(g);
	targets_sweep(g);
}

int callers_start(struct gateway *g)
{
	struct timeval tv = pf_clock_timeval(SWEEP_MS);

	g->listener = pf_sock_listen(g->set.listen, BACKLOG);
	if (g->listener < 0)
		return -1;
	g->accept_ev = event_new(g->base, g->listener, EV_READ | EV_PERSIST,
				 on_accept, g);
	g->sweep = event_new(g->base, -1, EV_PERSIST, on_sweep, g);
	if (!g->accept_ev || !g->sweep)
		return -1;
	event_add(g->accept_ev, NULL);
	event_add(g->sweep, &tv);
	return 0;
}

void callers_leave(struct gateway *g)
{
	struct caller *c = LIST_FIRST(&g->callers);

	event_del(g->accept_ev);
	evutil_closesocket(g->listener);
	g->listener = -1;
	while (c) {
		struct caller *next = LIST_NEXT(c, next);

		if (c->phase == CALLER_HEAD && c->in.n == 0)
			caller_free(c);
		c = next;
	}
}

void callers_stop(struct gateway *g)
{
	struct caller *c = LIST_FIRST(&g->callers);
	struct caller *next;

	for (; c; c = next) {
		next = LIST_NEXT(c, next);
		caller_free(c);
	}
	if (g->accept_ev)
		event_free(g->accept_ev);
	if (g->sweep)
		event_free(g->sweep);
	if (g->listener >= 0)
		evutil_closesocket(g->listener);
}
