/* The HTTP server that all stand-ins share. */
#include "standin/server.h"

#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>

#define BODY_MAX (64 << 20)
#define BACKLOG 512

static const char *const target_names[] = {
#define DEF(name, text) text,
	TARGETS(DEF)
#undef DEF
};

pf_ms now_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (pf_ms)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

int addr_split(const char *addr, char ip[64], uint16_t *port)
{
	const char *colon = addr ? strrchr(addr, ':') : NULL;
	unsigned long p;

	if (!colon || colon == addr || colon - addr >= 64)
		return -1;
	p = strtoul(colon + 1, NULL, 10);
	if (p == 0 || p > UINT16_MAX)
		return -1;
	memcpy(ip, addr, (size_t)(colon - addr));
	ip[colon - addr] = '\0';
	*port = (uint16_t)p;
	return 0;
}

bool server_paused(const struct server *s, enum target t)
{
	return now_ms() < s->faults[t].pause_until;
}

const char *exchange_path(const struct exchange *x)
{
	return x->req->uri->path->full;
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

static void add_header(struct exchange *x, const char *name, const char *value)
{
	evhtp_headers_add_header(x->req->headers_out,
				 evhtp_header_new(name, value, 1, 1));
}

void exchange_cut(struct exchange *x)
{
	struct bufferevent *bev = evhtp_request_get_bev(x->req);

	/* The server sees the end of the stream and frees the connection. */
	if (bev && bufferevent_getfd(bev) >= 0)
		shutdown(bufferevent_getfd(bev), SHUT_RDWR);
}

static bool lost(struct exchange *x)
{
	if (!x->lose)
		return false;
	x->server->answers_lost++;
	exchange_cut(x);
	return true;
}

void exchange_reply(struct exchange *x, int status, const char *type,
		    struct pf_str body)
{
	if (lost(x))
		return;
	add_header(x, "Content-Type", type);
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

void exchange_error(struct exchange *x, int status, const char *error)
{
	exchange_reply_json(x, status, json_pack("{ss}", "error", error));
}

void exchange_stream(struct exchange *x)
{
	if (lost(x))
		return;
	add_header(x, "Content-Type", "text/event-stream");
	evhtp_send_reply_chunk_start(x->req, EVHTP_RES_OK);
}

void exchange_event(struct exchange *x, const char *data, size_t n)
{
	struct evbuffer *b;

	if (x->lose)
		return;
	b = evbuffer_new();
	if (!b)
		return;
	evbuffer_add_printf(b, "data: %.*s\n\n", (int)n, data);
	evhtp_send_reply_chunk(x->req, b);
	evbuffer_free(b);
}

void exchange_end(struct exchange *x)
{
	if (!x->lose)
		evhtp_send_reply_chunk_end(x->req);
}

static evhtp_res on_fini(evhtp_request_t *req, void *arg)
{
	struct exchange *x = arg;

	(void)req;
	if (x->closed)
		x->closed(x->ctx);
	if (x->timer)
		event_free(x->timer);
	LIST_REMOVE(x, link);
	free(x);
	return EVHTP_RES_OK;
}

static int target_by_name(const char *name)
{
	for (int i = 0; i < TARGET_COUNT; i++)
		if (name && strcmp(name, target_names[i]) == 0)
			return i;
	return -1;
}

static void close_all(struct server *s, enum target t)
{
	struct exchange *x;

	LIST_FOREACH(x, &s->exchanges, link)
	if (x->target == t)
		exchange_cut(x);
}

static bool set_fault(struct server *s, const json_t *j)
{
	const char *what = json_string_value(json_object_get(j, "what"));
	const char *match = json_string_value(json_object_get(j, "match"));
	int t = target_by_name(json_string_value(json_object_get(j, "target")));
	pf_ms ms = json_integer_value(json_object_get(j, "ms"));
	struct fault *f = &s->faults[t < 0 ? 0 : t];

	if (!what || t < 0)
		return false;
	if (!strcmp(what, "slow")) {
		f->slow_ms = ms;
	} else if (!strcmp(what, "down")) {
		f->down_until = now_ms() + ms;
		close_all(s, (enum target)t);
	} else if (!strcmp(what, "pause")) {
		f->pause_until = now_ms() + ms;
	} else if (!strcmp(what, "lose_answer")) {
		f->lose = json_integer_value(json_object_get(j, "count"));
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

static void handle_admin(struct server *s, struct exchange *x, const char *path)
{
	json_t *j;

	if (!strcmp(path, "/admin/state")) {
		j = s->role.state(s->self);
		json_object_set_new(j, "requests",
				    json_integer((json_int_t)s->requests));
		json_object_set_new(j, "answers_lost",
				    json_integer((json_int_t)s->answers_lost));
		exchange_reply_json(x, 200, j);
	} else if (!strcmp(path, "/admin/fault")) {
		bool ok;

		j = exchange_json(x);
		ok = j && set_fault(s, j);
		json_decref(j);
		if (ok)
			exchange_reply_json(x, 200, json_object());
		else
			exchange_error(x, 400, "bad_fault");
	} else if (!s->role.admin || !s->role.admin(s->self, x, path)) {
		exchange_error(x, 404, "no_such_page");
	}
}

static void dispatch(struct exchange *x)
{
	struct server *s = x->server;
	struct fault *f = &s->faults[x->target];

	if (now_ms() < f->down_until) {
		exchange_cut(x);
		return;
	}
	if (f->lose > 0) {
		f->lose--;
		x->lose = true;
	}
	s->role.handle(s->self, x);
}

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	dispatch(arg);
}

static void hold_back(struct exchange *x, pf_ms ms)
{
	struct timeval t = { ms / 1000, (ms % 1000) * 1000 };

	x->timer = evtimer_new(x->server->base, on_timer, x);
	if (x->timer)
		evtimer_add(x->timer, &t);
	else
		exchange_cut(x);
}

static pf_ms delay_of(const struct fault *f)
{
	pf_ms now = now_ms();
	pf_ms paused = f->pause_until > now ? f->pause_until - now : 0;

	return paused + f->slow_ms;
}

static void on_request(evhtp_request_t *req, void *arg)
{
	struct server *s = arg;
	struct exchange *x = calloc(1, sizeof(*x));
	const char *path = req->uri->path->full;
	pf_ms delay;

	if (!x) {
		evhtp_send_reply(req, EVHTP_RES_SERVERR);
		return;
	}
	x->server = s;
	x->req = req;
	LIST_INSERT_HEAD(&s->exchanges, x, link);
	evhtp_request_set_hook(req, evhtp_hook_on_request_fini,
			       (evhtp_hook)on_fini, x);
	if (!strncmp(path, "/admin/", 7)) {
		x->target = TARGET_COUNT;
		handle_admin(s, x, path);
		return;
	}
	s->requests++;
	x->target = s->role.target(path);
	delay = delay_of(&s->faults[x->target]);
	if (delay > 0)
		hold_back(x, delay);
	else
		dispatch(x);
}

int server_start(struct server *s, const char *listen)
{
	char ip[64];
	uint16_t port;

	if (addr_split(listen, ip, &port)) {
		fprintf(stderr, "--listen wants IP:PORT, not \"%s\"\n", listen);
		return -1;
	}
	LIST_INIT(&s->exchanges);
	s->http = evhtp_new(s->base, NULL);
	if (!s->http)
		return -1;
	evhtp_set_max_body_size(s->http, BODY_MAX);
	evhtp_set_gencb(s->http, on_request, s);
	if (evhtp_bind_socket(s->http, ip, port, BACKLOG)) {
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
