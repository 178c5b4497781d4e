/*
 * HTTP connections: size and time limits, and routing. An error before the
 * request is complete is written to the socket directly. The connection then
 * lingers and drops its input, since a close with unread input resets it and
 * the caller may lose the response.
 */
#include "daemon.h"
#include "pimentoford/clock.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#define LISTEN_BACKLOG 1024
#define LINGER_MS 1000
/* Bounds the kernel memory taken by a caller that reads slowly. */
#define SEND_BUFFER_BYTES (32 << 10)

void server_refuse(struct conn *c, int status, const char *phrase,
		   const char *code, const char *message)
{
	struct pf_oai_failure f = { .code = code,
				    .message = message,
				    .ran = PF_NOT_RUN };
	struct timeval linger = pf_clock_timeval(LINGER_MS);
	int fd = bufferevent_getfd(c->http->bev);
	struct pf_text body = { 0 };
	struct pf_text all = { 0 };

	if (c->refused)
		return;
	c->refused = true;
	c->d->counters.v[PF_EC_BAD_REQUESTS]++;
	pf_oai_failure_body(&f, &body);
	pf_text_printf(&all,
		       "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n"
		       "Content-Length: %zu\r\nConnection: close\r\n\r\n",
		       status, phrase, body.n);
	pf_text_add(&all, pf_text_str(&body));
	if (!all.failed &&
	    send(fd, all.p, all.n, MSG_NOSIGNAL | MSG_DONTWAIT) >= 0)
		shutdown(fd, SHUT_WR);
	event_add(c->timer, &linger);
	pf_text_free(&body);
	pf_text_free(&all);
}

static void on_timer(evutil_socket_t fd, short what, void *ctx)
{
	struct conn *c = ctx;

	(void)fd;
	(void)what;
	if (c->receiving && !c->refused)
		server_refuse(
			c, 408, "Request Timeout", "too_slow",
			"the request was not received within the read timeout");
	else
		evhtp_connection_free(c->http);
}

/* The timeout covers the whole request; later bytes do not extend it. */
void server_request_started(struct conn *c)
{
	struct timeval tv = pf_clock_timeval(c->d->settings.http.read);

	if (c->receiving)
		return;
	c->receiving = true;
	c->body_bytes = 0;
	event_add(c->timer, &tv);
}

static evhtp_res on_body(evhtp_request_t *req, struct evbuffer *buf, void *ctx)
{
	struct conn *c = ctx;

	(void)req;
	c->body_bytes += evbuffer_get_length(buf);
	if (c->body_bytes > (size_t)c->d->settings.http.body)
		server_refuse(c, 413, "Content Too Large", "body_too_large",
			      "the body exceeds the size limit of this server");
	if (c->refused)
		evbuffer_drain(buf, evbuffer_get_length(buf));
	return EVHTP_RES_OK;
}

/* The request is answered, or its caller disconnected. */
static evhtp_res on_request_fini(evhtp_request_t *req, void *ctx)
{
	struct timeval idle;
	struct conn *c = ctx;

	idle = pf_clock_timeval(c->d->settings.http.read);
	if (c->request && c->request->http == req)
		requests_disconnected(c->request);
	admin_disconnected(c);
	drafts_disconnected(c);
	if (c->refused)
		return EVHTP_RES_OK;
	c->receiving = false;
	event_add(c->timer, &idle);
	reader_resume(c);
	return EVHTP_RES_OK;
}

static evhtp_res on_write(evhtp_connection_t *http, void *ctx)
{
	struct conn *c = ctx;

	(void)http;
	if (c->request)
		answer_writable(c->request);
	return EVHTP_RES_OK;
}

/* On a parse error evhtp closes the connection without a response. */
static void refuse_malformed(struct conn *c)
{
	if (htparser_get_error(c->http->parser) != htparse_error_none)
		server_refuse(c, 400, "Bad Request", "malformed_request",
			      "the request is not valid HTTP/1.1, or one of "
			      "its lines is too long");
}

static void conn_free(struct conn *c)
{
	reader_stop(c);
	if (c->timer)
		event_free(c->timer);
	free(c);
}

static evhtp_res on_connection_fini(evhtp_connection_t *http, void *ctx)
{
	struct conn *c = ctx;

	/* evhtp finishes the request after this hook, with @c freed. */
	evhtp_connection_set_hook(http, evhtp_hook_on_request_fini, NULL, NULL);
	refuse_malformed(c);
	if (c->request)
		requests_disconnected(c->request);
	admin_disconnected(c);
	drafts_disconnected(c);
	LIST_REMOVE(c, next);
	c->d->n_conns--;
	conn_free(c);
	return EVHTP_RES_OK;
}

static evhtp_res on_pre_accept(evhtp_connection_t *http, void *ctx)
{
	struct daemon *d = ctx;

	(void)http;
	return d->n_conns < d->settings.http.connections ? EVHTP_RES_OK
							 : EVHTP_RES_ERROR;
}

#define HOOK(c, type, fn) \
	evhtp_connection_set_hook((c)->http, (type), (evhtp_hook)(fn), (c))

static evhtp_res on_accept(evhtp_connection_t *http, void *ctx)
{
	struct conn *c = calloc(1, sizeof(*c));
	struct daemon *d = ctx;
	struct timeval idle = pf_clock_timeval(d->settings.http.read);
	struct timeval write = pf_clock_timeval(d->settings.http.write);
	int bytes = SEND_BUFFER_BYTES;

	if (!c)
		return EVHTP_RES_ERROR;
	c->d = d;
	c->http = http;
	c->timer = evtimer_new(d->base, on_timer, c);
	if (!c->timer || reader_start(c) < 0) {
		conn_free(c);
		return EVHTP_RES_ERROR;
	}
	/* Also closes a connection that sends nothing. */
	event_add(c->timer, &idle);
	bufferevent_set_timeouts(http->bev, NULL, &write);
	setsockopt(bufferevent_getfd(http->bev), SOL_SOCKET, SO_SNDBUF, &bytes,
		   sizeof(bytes));
	LIST_INSERT_HEAD(&d->conns, c, next);
	d->n_conns++;
	HOOK(c, evhtp_hook_on_read, on_body);
	HOOK(c, evhtp_hook_on_request_fini, on_request_fini);
	HOOK(c, evhtp_hook_on_write, on_write);
	HOOK(c, evhtp_hook_on_connection_fini, on_connection_fini);
	return EVHTP_RES_OK;
}

static bool starts_with(const char *s, const char *prefix)
{
	return strncmp(s, prefix, strlen(prefix)) == 0;
}

static void require_method(struct daemon *d, struct conn *c,
			   evhtp_request_t *req, htp_method method,
			   void (*handle)(struct daemon *, struct conn *,
					  evhtp_request_t *))
{
	if (req->method != method)
		answer_refused(c, req, 405, "method_not_allowed",
			       "the method is not allowed for this path");
	else
		handle(d, c, req);
}

static void route_chat(struct daemon *d, struct conn *c, evhtp_request_t *req)
{
	api_completion(d, c, req, PF_OAI_CHAT);
}

static void route_completion(struct daemon *d, struct conn *c,
			     evhtp_request_t *req)
{
	api_completion(d, c, req, PF_OAI_COMPLETION);
}

static void route(struct daemon *d, struct conn *c, evhtp_request_t *req)
{
	const char *path = req->uri->path->full;

	if (strcmp(path, "/v1/chat/completions") == 0)
		require_method(d, c, req, htp_method_POST, route_chat);
	else if (strcmp(path, "/v1/completions") == 0)
		require_method(d, c, req, htp_method_POST, route_completion);
	else if (strcmp(path, "/v1/models") == 0)
		require_method(d, c, req, htp_method_GET, api_models);
	else if (starts_with(path, "/v1/drafts/"))
		drafts_route(d, c, req);
	else if (starts_with(path, "/svc/"))
		svc_call(d, c, req);
	else if (starts_with(path, "/admin/") && d->settings.operators)
		admin_route(d, c, req);
	else
		status_route(d, c, req);
}

/* The connection's struct conn is the argument of its hooks. */
static struct conn *conn_of(evhtp_connection_t *http)
{
	return http->hooks ? http->hooks->on_connection_fini_arg : NULL;
}

/* evhtp has received a complete request. */
static void on_request(evhtp_request_t *req, void *ctx)
{
	struct daemon *d = ctx;
	struct conn *c = conn_of(req->conn);

	if (!c || c->refused)
		return;
	if (c->phase == CONN_ANSWERING) {
		/* Pipelined in the same read as the end of a chunked body. */
		server_refuse(
			c, 400, "Bad Request", "malformed_request",
			"after a chunked body, wait for the answer before the "
			"next request");
		return;
	}
	c->phase = CONN_ANSWERING;
	event_del(c->timer);
	d->counters.v[PF_EC_REQUESTS]++;
	c->parsing = true;
	if (!req->uri || !req->uri->path || !req->uri->path->full)
		answer_refused(c, req, 400, "invalid_request",
			       "the request has no path");
	else
		route(d, c, req);
	c->parsing = false;
}

int server_start(struct daemon *d)
{
	struct sockaddr_storage ss;
	int len = sizeof(ss);

	LIST_INIT(&d->conns);
	d->http = evhtp_new(d->base, NULL);
	if (!d->http ||
	    evutil_parse_sockaddr_port(d->settings.listen,
				       (struct sockaddr *)&ss, &len) < 0)
		return -1;
	evhtp_enable_flag(d->http, EVHTP_FLAG_ENABLE_NODELAY);
	evhtp_set_parser_flags(d->http, EVHTP_PARSE_QUERY_FLAG_LENIENT);
	evhtp_set_pre_accept_cb(d->http, on_pre_accept, d);
	evhtp_set_post_accept_cb(d->http, on_accept, d);
	evhtp_set_gencb(d->http, on_request, d);
	d->accepting = true;
	return evhtp_bind_sockaddr(d->http, (struct sockaddr *)&ss, (size_t)len,
				   LISTEN_BACKLOG);
}

void server_stop_accepting(struct daemon *d)
{
	d->accepting = false;
	evhtp_unbind_socket(d->http);
}

bool server_is_idle(const struct daemon *d)
{
	const struct conn *c;

	LIST_FOREACH(c, &d->conns, next)
	{
		struct evbuffer *out = bufferevent_get_output(c->http->bev);

		if (c->receiving || reader_has_input(c) ||
		    evbuffer_get_length(out) > 0)
			return false;
	}
	return true;
}

void server_stop(struct daemon *d)
{
	struct conn *c;

	if (!d->http)
		return;
	if (d->accepting)
		server_stop_accepting(d);
	while ((c = LIST_FIRST(&d->conns)))
		evhtp_connection_free(c->http);
	evhtp_free(d->http);
}
