/* The HTTP server of all stand-in roles. */
#include "standin/server.h"

#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>

#define BODY_MAX_BYTES (64 << 20)
#define LISTEN_BACKLOG 512

double now_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (double)t.tv_sec * 1e3 + (double)t.tv_nsec / 1e6;
}

struct timeval timeval_from_ms(double ms)
{
	int64_t us = (int64_t)(ms * 1000);

	return (struct timeval){ us / 1000000, us % 1000000 };
}

int addr_parse(const char *addr, char ip[64], uint16_t *port)
{
	unsigned int p = 0;

	if (!addr || sscanf(addr, "%63[^:]:%u", ip, &p) != 2 || p == 0 ||
	    p > UINT16_MAX)
		return -1;
	*port = (uint16_t)p;
	return 0;
}

bool server_paused(const struct server *s, enum fault_target t)
{
	return now_ms() < (double)s->faults[t].pause_until;
}

const char *json_get_text(const json_t *j, const char *name)
{
	return json_string_value(json_object_get(j, name));
}

int64_t json_get_int(const json_t *j, const char *name)
{
	return json_integer_value(json_object_get(j, name));
}

struct pf_str exchange_body(struct exchange *x)
{
	struct evbuffer *in = x->req->buffer_in;
	size_t n = evbuffer_get_length(in);

	return (struct pf_str){ n ? (char *)evbuffer_pullup(in, -1) : "", n };
}

char *exchange_query(const struct exchange *x, const char *name)
{
	const char *raw = (const char *)x->req->uri->query_raw;
	struct evkeyvalq q = { 0 };
	const char *v;
	char *copy;

	if (!raw || evhttp_parse_query_str(raw, &q))
		return NULL;
	v = evhttp_find_header(&q, name);
	copy = v ? strdup(v) : NULL;
	evhttp_clear_headers(&q);
	return copy;
}

json_t *exchange_json(struct exchange *x)
{
	struct pf_str b = exchange_body(x);
	json_t *j = json_loadb(b.p, b.n, JSON_ALLOW_NUL, NULL);

	if (json_is_object(j))
		return j;
	json_decref(j);
	return NULL;
}

/* evhtp reads EOF and frees the connection. */
static void shut_down_connection(struct exchange *x)
{
	struct bufferevent *bev = evhtp_request_get_bev(x->req);

	if (bev && bufferevent_getfd(bev) >= 0)
		shutdown(bufferevent_getfd(bev), SHUT_RDWR);
}

static bool drop_reply(struct exchange *x)
{
	if (!x->lose_reply)
		return false;
	x->server->answers_lost++;
	shut_down_connection(x);
	return true;
}

static void add_content_type(struct exchange *x, const char *type)
{
	evhtp_headers_add_header(x->req->headers_out,
				 evhtp_header_new("Content-Type", type, 1, 1));
}

void exchange_reply(struct exchange *x, int status, const char *type,
		    struct pf_str body)
{
	if (drop_reply(x))
		return;
	add_content_type(x, type);
	evbuffer_add(x->req->buffer_out, body.p, body.n);
	evhtp_send_reply(x->req, (evhtp_res)status);
}

void exchange_reply_json(struct exchange *x, int status, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);

	json_decref(body);
	exchange_reply(x, text ? status : 500, "application/json",
		       pf_str_c(text));
	free(text);
}

void exchange_reply_ok(struct exchange *x)
{
	exchange_reply_json(x, 200, json_object());
}

void exchange_reply_error(struct exchange *x, int status, const char *error)
{
	exchange_reply_json(x, status, json_pack("{ss}", "error", error));
}

void exchange_stream_start(struct exchange *x)
{
	if (drop_reply(x))
		return;
	add_content_type(x, "text/event-stream");
	evhtp_send_reply_chunk_start(x->req, EVHTP_RES_OK);
}

void exchange_stream_event(struct exchange *x, const char *fmt, ...)
{
	struct evbuffer *b = x->lose_reply ? NULL : evbuffer_new();
	va_list args;

	if (!b)
		return;
	evbuffer_add(b, "data: ", 6);
	va_start(args, fmt);
	evbuffer_add_vprintf(b, fmt, args);
	va_end(args);
	evbuffer_add(b, "\n\n", 2);
	evhtp_send_reply_chunk(x->req, b);
	evbuffer_free(b);
}

void exchange_stream_end(struct exchange *x)
{
	if (!x->lose_reply)
		evhtp_send_reply_chunk_end(x->req);
}

static evhtp_res on_request_fini(evhtp_request_t *req, void *arg)
{
	struct exchange *x = arg;

	(void)req;
	if (x->on_closed)
		x->on_closed(x->closed_ctx);
	if (x->delay_timer)
		event_free(x->delay_timer);
	json_decref(x->delayed_reply);
	LIST_REMOVE(x, link);
	free(x);
	return EVHTP_RES_OK;
}

static void dispatch(struct exchange *x)
{
	const struct route *r = x->route;

	if (r->target != TARGET_NONE) {
		struct fault *f = &x->server->faults[r->target];

		if (now_ms() < (double)f->down_until) {
			shut_down_connection(x);
			return;
		}
		x->lose_reply = f->replies_to_lose > 0;
		f->replies_to_lose -= x->lose_reply;
	}
	r->handle(x->server->role, x);
}

static void on_delay_timer(evutil_socket_t fd, short what, void *arg)
{
	struct exchange *x = arg;

	(void)fd;
	(void)what;
	if (x->delayed_reply)
		exchange_reply_json(x, 200, json_incref(x->delayed_reply));
	else
		dispatch(x);
}

static void delay_exchange(struct exchange *x, double ms)
{
	struct timeval tv = timeval_from_ms(ms);

	if (!x->delay_timer)
		x->delay_timer =
			evtimer_new(x->server->base, on_delay_timer, x);
	if (x->delay_timer)
		evtimer_add(x->delay_timer, &tv);
	else
		shut_down_connection(x);
}

void exchange_reply_after(struct exchange *x, double ms, json_t *body)
{
	x->delayed_reply = body;
	delay_exchange(x, ms);
}

static void close_connections(struct server *s, enum fault_target t)
{
	struct exchange *x;

	LIST_FOREACH(x, &s->exchanges, link)
	if (x->route->target == t)
		shut_down_connection(x);
}

static struct fault *find_fault(struct server *s, const json_t *j, int *target)
{
	static const char *const names[] = {
#define DEF(name, text) text,
		FAULT_TARGETS(DEF)
#undef DEF
	};
	const char *name = json_get_text(j, "target");

	for (*target = 0; *target < TARGET_COUNT; ++*target)
		if (name && !strcmp(name, names[*target]))
			return &s->faults[*target];
	return NULL;
}

static bool set_fault(struct server *s, const json_t *j)
{
	const char *what = json_get_text(j, "what");
	const char *match = json_get_text(j, "match");
	pf_ms ms = json_get_int(j, "ms");
	int target;
	struct fault *f = find_fault(s, j, &target);

	if (!what || !f)
		return false;
	if (!strcmp(what, "slow")) {
		f->delay_ms = ms;
	} else if (!strcmp(what, "down")) {
		f->down_until = (pf_ms)now_ms() + ms;
		close_connections(s, (enum fault_target)target);
	} else if (!strcmp(what, "pause")) {
		f->pause_until = (pf_ms)now_ms() + ms;
	} else if (!strcmp(what, "lose_answer")) {
		f->replies_to_lose = json_get_int(j, "count");
	} else if (!strcmp(what, "crash_on") && match) {
		free(f->crash_on);
		f->crash_on = strdup(match);
	} else if (!strcmp(what, "clear")) {
		free(f->crash_on);
		*f = (struct fault){ 0 };
	} else {
		return false;
	}
	return true;
}

static void handle_fault(void *self, struct exchange *x)
{
	json_t *j = exchange_json(x);

	(void)self;
	if (set_fault(x->server, j))
		exchange_reply_ok(x);
	else
		exchange_reply_error(x, 400, "bad_fault");
	json_decref(j);
}

static void handle_state(void *self, struct exchange *x)
{
	const struct server *s = x->server;
	json_t *j = s->state_json(self);

	json_object_set_new(j, "requests",
			    json_integer((json_int_t)s->requests));
	json_object_set_new(j, "answers_lost",
			    json_integer((json_int_t)s->answers_lost));
	exchange_reply_json(x, 200, j);
}

static void handle_unknown(void *self, struct exchange *x)
{
	(void)self;
	exchange_reply_error(x, 404, "no_such_page");
}

static const struct route admin_routes[] = {
	{ "/admin/fault", TARGET_NONE, handle_fault },
	{ "/admin/state", TARGET_NONE, handle_state },
	{ "", TARGET_NONE, NULL },
};
static const struct route unknown_route = { "", TARGET_NONE, handle_unknown };

static const struct route *find_route(const struct route *r, const char *path)
{
	while (*r->prefix && strncmp(path, r->prefix, strlen(r->prefix)) != 0)
		r++;
	return r->handle ? r : NULL;
}

static double request_delay_ms(const struct server *s, enum fault_target t)
{
	const struct fault *f = &s->faults[t];
	double pause = (double)f->pause_until - now_ms();

	return (double)f->delay_ms + (pause > 0 ? pause : 0);
}

static void on_request(evhtp_request_t *req, void *arg)
{
	struct server *s = arg;
	struct exchange *x = calloc(1, sizeof(*x));
	const char *path = req->uri->path->full;
	double delay = 0;

	if (!x) {
		evhtp_send_reply(req, EVHTP_RES_SERVERR);
		return;
	}
	x->server = s;
	x->req = req;
	x->route = find_route(admin_routes, path);
	if (!x->route)
		x->route = find_route(s->routes, path);
	if (!x->route)
		x->route = &unknown_route;
	x->subpath = path + strlen(x->route->prefix);
	LIST_INSERT_HEAD(&s->exchanges, x, link);
	evhtp_request_set_hook(req, evhtp_hook_on_request_fini,
			       (evhtp_hook)on_request_fini, x);
	if (x->route->target != TARGET_NONE) {
		s->requests++;
		delay = request_delay_ms(s, x->route->target);
	}
	if (delay > 0)
		delay_exchange(x, delay);
	else
		dispatch(x);
}

int server_start(struct server *s, const char *listen)
{
	char ip[64];
	uint16_t port;

	if (addr_parse(listen, ip, &port)) {
		fprintf(stderr, "--listen: expected IP:PORT\n");
		return -1;
	}
	LIST_INIT(&s->exchanges);
	s->http = evhtp_new(s->base, NULL);
	if (!s->http)
		return -1;
	evhtp_set_max_body_size(s->http, BODY_MAX_BYTES);
	evhtp_set_gencb(s->http, on_request, s);
	if (evhtp_bind_socket(s->http, ip, port, LISTEN_BACKLOG)) {
		fprintf(stderr, "cannot listen on %s\n", listen);
		evhtp_free(s->http);
		return -1;
	}
	return 0;
}

void server_stop(struct server *s)
{
	evhtp_unbind_socket(s->http);
	evhtp_free(s->http);
	for (int i = 0; i < TARGET_COUNT; i++)
		free(s->faults[i].crash_on);
}
