/* HTTP client: a pool of libevent's evhttp connections. */
#include "pimentoford/http_client.h"
#include "pimentoford/clock.h"

#include "pimentoford/text.h"

#include <arpa/inet.h>
#include <errno.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>
#include <sys/socket.h>

#define ADDR_CHARS_MAX 64
#define STATUS_OK 200
/* Stands for no timeout, which evhttp lacks. */
#define NO_TIMEOUT_S (10 * 365 * 24 * 3600)
/* The reader of the chunks limits the size of a stream. */
#define STREAM_BYTES_MAX EV_SSIZE_MAX
/* Limit of an error's body where a stream was requested. */
#define ERROR_BODY_MAX 4096
#define HEAD_BYTES_MAX 32768
#define READ_BYTES ((size_t)16 << 10)

/* Bytes of an answer beside its body (heads of interim answers, sizes of
 * chunks, trailers): so many, and so many for each byte of the body. */
#define OVERHEAD_BYTES_MAX ((size_t)64 << 10)
#define OVERHEAD_PER_BYTE 8

struct pf_conn {
	TAILQ_ENTRY(pf_conn) next;
	struct evhttp_connection *ev;
	struct pf_http_call *call; /* NULL: idle */
	struct event *reader; /* reads a stream in place of the bufferevent */
};

TAILQ_HEAD(conn_list, pf_conn);

struct pf_http_call {
	TAILQ_ENTRY(pf_http_call) next;
	struct pf_http *http;
	struct pf_conn *conn;
	struct evhttp_request *req; /* NULL after evhttp released it */
	struct pf_text error_body; /* evhttp drains it after the chunk cb */
	size_t received; /* bytes of the answer, with all overhead */
	size_t streamed; /* bytes of the body that were passed on */
	bool too_long; /* to be ended as lost */
	bool new_connection; /* not pooled, not reused */
	const char *answer_header;
	void (*head)(void *ctx, int status);
	void (*chunk)(void *ctx, const char *p, size_t n);
	void (*done)(void *ctx, const struct pf_http_answer *a);
	void *ctx;
};

struct pf_http {
	struct pf_http_opts opts;
	char ip[ADDR_CHARS_MAX];
	uint16_t port;
	uint32_t n_calls;
	uint32_t n_idle;
	struct conn_list idle;
	struct conn_list discarded; /* freed outside of evhttp's callbacks */
	TAILQ_HEAD(, pf_http_call) calls; /* in flight */
	TAILQ_HEAD(, pf_http_call) failed; /* to be reported */
	struct event *deferred; /* frees `discarded`, reports `failed` */
};

/* DEF(name): supported methods. */
#define METHODS(DEF) \
	DEF(GET)     \
	DEF(POST)    \
	DEF(PUT)     \
	DEF(DELETE)  \
	DEF(HEAD)    \
	DEF(PATCH)   \
	DEF(OPTIONS)

static int parse_method(const char *s, enum evhttp_cmd_type *out)
{
#define DEF(name)                         \
	if (strcmp(s, #name) == 0) {      \
		*out = EVHTTP_REQ_##name; \
		return 0;                 \
	}
	METHODS(DEF)
#undef DEF
	return -1;
}

static void conn_free(struct pf_conn *c)
{
	if (c->reader)
		event_free(c->reader);
	evhttp_connection_free(c->ev);
	free(c);
}

static void free_conns(struct conn_list *list)
{
	struct pf_conn *c = TAILQ_FIRST(list);
	struct pf_conn *next;

	for (; c; c = next) {
		next = TAILQ_NEXT(c, next);
		conn_free(c);
	}
	TAILQ_INIT(list);
}

/* evhttp bounds heads and bodies, but neither interim answers nor the lines of
 * the chunked coding. */
static void on_input(struct evbuffer *in, const struct evbuffer_cb_info *info,
		     void *ctx)
{
	const struct pf_conn *conn = ctx;
	struct pf_http_call *c = conn->call;
	size_t body;

	(void)in;
	if (!c || !c->req || c->too_long || info->n_added == 0)
		return;
	c->received += info->n_added;
	body = c->streamed +
	       evbuffer_get_length(evhttp_request_get_input_buffer(c->req));
	if (c->received <= OVERHEAD_BYTES_MAX + c->http->opts.body_max +
				   (OVERHEAD_PER_BYTE + 1) * body)
		return;
	c->too_long = true;
	event_active(c->http->deferred, 0, 0);
}

static struct pf_conn *conn_new(struct pf_http *h)
{
	struct pf_conn *c = calloc(1, sizeof(*c));

	if (!c)
		return NULL;
	c->ev = evhttp_connection_base_new(h->opts.base, NULL, h->ip, h->port);
	if (!c->ev) {
		free(c);
		return NULL;
	}
	evbuffer_add_cb(
		bufferevent_get_input(evhttp_connection_get_bufferevent(c->ev)),
		on_input, c);
	return c;
}

static void conn_discard(struct pf_http *h, struct pf_conn *c)
{
	c->call = NULL;
	TAILQ_INSERT_TAIL(&h->discarded, c, next);
	event_active(h->deferred, 0, 0);
}

static void conn_release(struct pf_http *h, struct pf_conn *c, bool keep)
{
	c->call = NULL;
	if (!keep || h->n_idle >= h->opts.idle_max) {
		conn_discard(h, c);
		return;
	}
	/* Reuse the most recently used connection first. */
	TAILQ_INSERT_HEAD(&h->idle, c, next);
	h->n_idle++;
}

static struct pf_conn *conn_acquire(struct pf_http *h, bool new_connection)
{
	struct pf_conn *c = new_connection ? NULL : TAILQ_FIRST(&h->idle);

	if (!c)
		return conn_new(h);
	TAILQ_REMOVE(&h->idle, c, next);
	h->n_idle--;
	return c;
}

static void call_free(struct pf_http_call *c)
{
	pf_text_free(&c->error_body);
	free(c);
}

static struct pf_str find_header(struct evhttp_request *req, const char *name)
{
	return pf_str_c(evhttp_find_header(
		evhttp_request_get_input_headers(req), name));
}

/* Reports the result and frees the call. */
static void call_finish(struct pf_http_call *c, const struct pf_http_answer *a)
{
	/* Its callback may start another call in its place. */
	c->http->n_calls--;
	c->done(c->ctx, a);
	call_free(c);
}

/*
 * evhttp passes NULL when the exchange failed, and a request with status 0
 * when the connection could not be established.
 */
static void on_done(struct evhttp_request *req, void *ctx)
{
	struct pf_http_answer a = { .result = PF_HTTP_LOST };
	struct pf_http_call *c = ctx;
	struct pf_http *h = c->http;
	struct evbuffer *in;

	TAILQ_REMOVE(&h->calls, c, next);
	c->req = NULL;
	if (c->conn->reader)
		event_del(c->conn->reader);
	if (req && evhttp_request_get_response_code(req) == 0)
		a.result = PF_HTTP_NOT_SENT;
	conn_release(h, c->conn,
		     req && a.result == PF_HTTP_LOST && !c->new_connection);
	if (req && a.result == PF_HTTP_LOST) {
		a.result = PF_HTTP_OK;
		a.status = evhttp_request_get_response_code(req);
		a.content_type = find_header(req, "Content-Type");
		if (c->answer_header)
			a.header = find_header(req, c->answer_header);
		in = evhttp_request_get_input_buffer(req);
		a.body.n = evbuffer_get_length(in);
		a.body.p = (const char *)evbuffer_pullup(in, -1);
		if (c->error_body.n > 0)
			a.body = pf_text_str(&c->error_body);
	}
	call_finish(c, &a);
}

/*
 * Reads a stream in place of the bufferevent, which calls FIONREAD before each
 * read and rearms its timer: one system call per token instead of two. EOF and
 * errors are left to the bufferevent.
 */
static void on_readable(evutil_socket_t fd, short what, void *ctx)
{
	struct pf_conn *c = ctx;
	struct bufferevent *bev = evhttp_connection_get_bufferevent(c->ev);
	struct evbuffer *in = bufferevent_get_input(bev);
	char bytes[READ_BYTES];
	ssize_t n = recv(fd, bytes, sizeof(bytes), MSG_DONTWAIT);
	int added;

	(void)what;
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n <= 0) {
		event_del(c->reader);
		bufferevent_enable(bev, EV_READ);
		return;
	}
	/* libevent freezes the input buffer for all but its bufferevent. */
	evbuffer_unfreeze(in, 0);
	added = evbuffer_add(in, bytes, (size_t)n);
	evbuffer_freeze(in, 0);
	if (added == 0) {
		bufferevent_trigger(bev, EV_READ, 0);
		return;
	}
	/* Out of memory: fail the stream rather than lose bytes of it. */
	event_del(c->reader);
	bufferevent_trigger_event(bev, BEV_EVENT_READING | BEV_EVENT_ERROR, 0);
}

/* When out of memory, the bufferevent keeps reading. */
static void start_direct_read(struct pf_http *h, struct pf_conn *c)
{
	struct bufferevent *bev = evhttp_connection_get_bufferevent(c->ev);

	if (c->reader)
		event_free(c->reader);
	c->reader = event_new(h->opts.base, bufferevent_getfd(bev),
			      EV_READ | EV_PERSIST, on_readable, c);
	if (c->reader && event_add(c->reader, NULL) == 0)
		bufferevent_disable(bev, EV_READ);
}

static int on_head(struct evhttp_request *req, void *ctx)
{
	int status = evhttp_request_get_response_code(req);
	struct pf_http_call *c = ctx;

	if (c->chunk && status == STATUS_OK)
		start_direct_read(c->http, c->conn);
	if (c->head)
		c->head(c->ctx, status);
	return 0;
}

static void on_chunk(struct evhttp_request *req, void *ctx)
{
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	struct pf_http_call *c = ctx;
	const char *p;
	size_t n;

	n = evbuffer_get_length(in);
	p = (const char *)evbuffer_pullup(in, -1);
	if (!p)
		return;
	if (evhttp_request_get_response_code(req) != STATUS_OK) {
		if (c->error_body.n + n <= ERROR_BODY_MAX)
			pf_text_add(&c->error_body, (struct pf_str){ p, n });
		return;
	}
	c->streamed += n;
	c->chunk(c->ctx, p, n);
	/* The callback may have freed @c and the connection, but not the
	 * request: evhttp still uses it after a cancel. */
	evbuffer_drain(in, n);
}

/* Detaches a call in flight from evhttp and from its connection. */
static void call_abort(struct pf_http_call *c)
{
	struct evhttp_request *req = c->req;

	c->req = NULL;
	TAILQ_REMOVE(&c->http->calls, c, next);
	if (c->conn->reader)
		event_del(c->conn->reader);
	evhttp_cancel_request(req);
	conn_discard(c->http, c->conn);
}

/* Ends calls whose answers are too long; they are reported as lost. */
static void end_too_long(struct pf_http *h)
{
	struct pf_http_call *c = TAILQ_FIRST(&h->calls);
	struct pf_http_call *next;

	for (; c; c = next) {
		next = TAILQ_NEXT(c, next);
		if (!c->too_long)
			continue;
		call_abort(c);
		TAILQ_INSERT_TAIL(&h->failed, c, next);
	}
}

static void on_deferred(evutil_socket_t fd, short what, void *ctx)
{
	struct pf_http *h = ctx;
	struct pf_http_call *call;

	(void)fd;
	(void)what;
	end_too_long(h);
	free_conns(&h->discarded);
	while ((call = TAILQ_FIRST(&h->failed))) {
		struct pf_http_answer a = { .result = PF_HTTP_NOT_SENT };

		TAILQ_REMOVE(&h->failed, call, next);
		if (call->too_long)
			a.result = PF_HTTP_LOST;
		call_finish(call, &a);
	}
}

static void set_headers(struct pf_http *h, struct evhttp_request *req,
			const struct pf_http_request *r)
{
	struct evkeyvalq *out = evhttp_request_get_output_headers(req);
	char host[ADDR_CHARS_MAX + 8];

	evutil_snprintf(host, sizeof(host), "%s:%u", h->ip, h->port);
	evhttp_add_header(out, "Host", host);
	if (r->content_type)
		evhttp_add_header(out, "Content-Type", r->content_type);
	if (r->idempotency_key)
		evhttp_add_header(out, "Idempotency-Key", r->idempotency_key);
	if (r->extra_header)
		evhttp_add_header(out, r->extra_header, r->extra_header_value);
	if (r->new_connection)
		evhttp_add_header(out, "Connection", "close");
}

static void set_limits(struct pf_http *h, struct pf_conn *conn,
		       const struct pf_http_request *r)
{
	struct timeval tv = { NO_TIMEOUT_S, 0 };

	if (r->timeout > 0)
		tv = pf_clock_timeval(r->timeout);
	evhttp_connection_set_timeout_tv(conn->ev, &tv);
	evhttp_connection_set_max_headers_size(conn->ev, HEAD_BYTES_MAX);
	evhttp_connection_set_max_body_size(
		conn->ev,
		r->chunk ? STREAM_BYTES_MAX : (ssize_t)h->opts.body_max);
}

struct pf_http_call *pf_http_start(struct pf_http *h,
				   const struct pf_http_request *r)
{
	enum evhttp_cmd_type method;
	struct pf_http_call *c;

	if (h->n_calls >= h->opts.conns_max ||
	    parse_method(r->method, &method) < 0)
		return NULL;
	c = calloc(1, sizeof(*c));
	if (!c)
		return NULL;
	c->http = h;
	c->head = r->head;
	c->chunk = r->chunk;
	c->done = r->done;
	c->ctx = r->ctx;
	c->new_connection = r->new_connection;
	c->answer_header = r->answer_header;
	c->conn = conn_acquire(h, r->new_connection);
	c->req = evhttp_request_new(on_done, c);
	h->n_calls++;
	if (!c->conn || !c->req)
		goto fail;
	if (r->head || r->chunk)
		evhttp_request_set_header_cb(c->req, on_head);
	if (r->chunk)
		evhttp_request_set_chunked_cb(c->req, on_chunk);
	set_headers(h, c->req, r);
	set_limits(h, c->conn, r);
	if (r->body.n > 0 &&
	    evbuffer_add(evhttp_request_get_output_buffer(c->req), r->body.p,
			 r->body.n) < 0)
		goto fail;
	TAILQ_INSERT_TAIL(&h->calls, c, next);
	c->conn->call = c;
	if (evhttp_make_request(c->conn->ev, c->req, method, r->target) < 0) {
		/* evhttp owns the request; the deferred event reports the
		 * failure. */
		c->req = NULL;
		TAILQ_REMOVE(&h->calls, c, next);
		TAILQ_INSERT_TAIL(&h->failed, c, next);
		conn_discard(h, c->conn);
	}
	return c;
fail:
	if (c->req)
		evhttp_request_free(c->req);
	if (c->conn)
		conn_discard(h, c->conn);
	h->n_calls--;
	call_free(c);
	return NULL;
}

static void ignore_chunk(void *ctx, const char *p, size_t n)
{
	(void)ctx;
	(void)p;
	(void)n;
}

static void ignore_answer(void *ctx, const struct pf_http_answer *a)
{
	(void)ctx;
	(void)a;
}

void pf_http_detach(struct pf_http_call *c)
{
	evhttp_request_set_header_cb(c->req, NULL);
	c->chunk = ignore_chunk;
	c->done = ignore_answer;
}

void pf_http_cancel(struct pf_http_call *c)
{
	if (c->req)
		call_abort(c);
	else
		TAILQ_REMOVE(&c->http->failed, c, next);
	c->http->n_calls--;
	call_free(c);
}

struct pf_http *pf_http_new(const struct pf_http_opts *o)
{
	struct sockaddr_in sin;
	int len = sizeof(sin);
	struct pf_http *h = calloc(1, sizeof(*h));

	if (!h)
		return NULL;
	h->opts = *o;
	TAILQ_INIT(&h->idle);
	TAILQ_INIT(&h->discarded);
	TAILQ_INIT(&h->calls);
	TAILQ_INIT(&h->failed);
	h->deferred = event_new(o->base, -1, 0, on_deferred, h);
	if (!h->deferred ||
	    evutil_parse_sockaddr_port(o->addr, (struct sockaddr *)&sin, &len) <
		    0 ||
	    sin.sin_family != AF_INET) {
		pf_http_free(h);
		return NULL;
	}
	evutil_inet_ntop(AF_INET, &sin.sin_addr, h->ip, sizeof(h->ip));
	h->port = ntohs(sin.sin_port);
	h->opts.addr = NULL;
	return h;
}

void pf_http_free(struct pf_http *h)
{
	struct pf_http_call *c;
	struct pf_http_call *next;

	if (!h)
		return;
	for (c = TAILQ_FIRST(&h->calls); c; c = next) {
		next = TAILQ_NEXT(c, next);
		pf_http_cancel(c);
	}
	for (c = TAILQ_FIRST(&h->failed); c; c = next) {
		next = TAILQ_NEXT(c, next);
		pf_http_cancel(c);
	}
	free_conns(&h->idle);
	free_conns(&h->discarded);
	if (h->deferred)
		event_free(h->deferred);
	free(h);
}
