/* Measures the token path. */
#include "load/path.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TIMEOUT_S 60
#define PROMPT_MAX 128
#define TOKEN_MARK "\"text\":\""

struct path;

/** The entry or the engine. */
struct measured_target {
	struct path *path;
	const char *name;
	const char *addr;
	bool direct;
	int requests_left; /* not sent yet */
	uint64_t tokens;
	GArray *first_ms; /* double */
};

/** A connection and its current request. */
struct stream {
	struct measured_target *target;
	struct evhttp_connection *conn;
	struct stream
		*next_sender; /* sends when this one is done, may be itself */
	int64_t sent_us; /* monotonic */
	int tokens;
};

struct path {
	const struct path_options *opts;
	struct event_base *base;
	int requests_sent; /* total, numbers the prompts */
	int incomplete_answers; /* or missing */
	int in_flight;
};

static void stream_send(struct stream *s);

/* Counts non-empty texts. An event is never split over two chunks. */
static int tokens_in(const char *p, size_t n)
{
	const char *end = p + n;
	int tokens = 0;

	while ((p = memmem(p, (size_t)(end - p), TOKEN_MARK,
			   strlen(TOKEN_MARK)))) {
		p += strlen(TOKEN_MARK);
		tokens += p < end && *p != '"';
	}
	return tokens;
}

static void on_chunk(struct evhttp_request *req, void *ctx)
{
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	size_t n = evbuffer_get_length(in);
	struct stream *s = ctx;
	int tokens = tokens_in((char *)evbuffer_pullup(in, -1), n);
	double ms = (double)(g_get_monotonic_time() - s->sent_us) / 1000;

	if (tokens && !s->tokens)
		g_array_append_val(s->target->first_ms, ms);
	s->tokens += tokens;
	evbuffer_drain(in, n);
}

static void on_done(struct evhttp_request *req, void *ctx)
{
	struct stream *s = ctx;
	struct path *p = s->target->path;

	if (!req || s->tokens != p->opts->tokens) {
		fprintf(stderr, "level=error what=%s status=%d tokens=%d\n",
			s->target->name,
			req ? evhttp_request_get_response_code(req) : 0,
			s->tokens);
		p->incomplete_answers++;
	}
	s->target->tokens += (uint64_t)s->tokens;
	p->in_flight--;
	stream_send(s->next_sender);
}

static void add_body(const struct stream *s, struct evbuffer *out)
{
	const struct path_options *o = s->target->path->opts;
	char prompt[PROMPT_MAX];
	int number = s->target->path->requests_sent;

	g_snprintf(prompt, sizeof(prompt), "%d-%d of the path [len=%d]",
		   o->streams, number, o->tokens);
	if (s->target->direct)
		evbuffer_add_printf(
			out,
			"{\"run\":\"path-%d-%d\",\"model\":\"%s\","
			"\"adapter\":\"\",\"prompt\":\"%s\",\"prior\":\"\","
			"\"offset\":0,\"limit\":%d,\"priority\":0}",
			o->streams, number, o->model, prompt, o->tokens + 1);
	else
		evbuffer_add_printf(out,
				    "{\"model\":\"%.*s\",\"prompt\":\"%s\","
				    "\"max_tokens\":%d,\"stream\":true}",
				    (int)strcspn(o->model, "@"), o->model,
				    prompt, o->tokens + 1);
}

static void stream_send(struct stream *s)
{
	struct path *p = s->target->path;
	struct evhttp_request *req;
	struct evkeyvalq *h;
	char bearer[PROMPT_MAX];

	if (s->target->requests_left == 0) {
		if (p->in_flight == 0)
			event_base_loopbreak(p->base);
		return;
	}
	s->target->requests_left--;
	p->requests_sent++;
	p->in_flight++;
	s->tokens = 0;
	req = evhttp_request_new(on_done, s);
	h = evhttp_request_get_output_headers(req);
	evhttp_request_set_chunked_cb(req, on_chunk);
	g_snprintf(bearer, sizeof(bearer), "Bearer %s", p->opts->key);
	evhttp_add_header(h, "Host", s->target->addr);
	evhttp_add_header(h, "Authorization", bearer);
	evhttp_add_header(h, "Content-Type", "application/json");
	add_body(s, evhttp_request_get_output_buffer(req));
	s->sent_us = g_get_monotonic_time();
	evhttp_make_request(s->conn, req, EVHTTP_REQ_POST,
			    s->target->direct ? "/engine/run"
					      : "/v1/completions");
}

static void stream_open(struct stream *s, struct measured_target *target)
{
	char **part = g_strsplit(target->addr, ":", 2);

	s->target = target;
	s->next_sender = s;
	s->conn = evhttp_connection_base_new(target->path->base, NULL, part[0],
					     (uint16_t)strtoul(part[1], NULL,
							       10));
	evhttp_connection_set_timeout(s->conn, TIMEOUT_S);
	g_strfreev(part);
}

static int compare_doubles(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

static void print_result(const struct measured_target *s)
{
	GArray *v = s->first_ms;
	double median;

	qsort(v->data, v->len, sizeof(double), compare_doubles);
	median = v->len ? g_array_index(v, double, v->len / 2) : -1;
	printf("path: what=%s answers=%u tokens=%" G_GUINT64_FORMAT
	       " first_token_ms=%.3f\n",
	       s->name, v->len, s->tokens, median);
}

/*
 * With one stream to each of two targets they alternate; otherwise all streams
 * run concurrently.
 */
static void run_streams(struct path *p, struct measured_target *targets,
			int n_targets)
{
	int n = n_targets * p->opts->streams;
	struct stream *v = g_new0(struct stream, n);

	for (int i = 0; i < n; i++)
		stream_open(&v[i], &targets[i % n_targets]);
	if (n_targets == 2 && n == 2) {
		v[0].next_sender = &v[1];
		v[1].next_sender = &v[0];
		stream_send(&v[0]);
	} else {
		for (int i = 0; i < n; i++)
			stream_send(&v[i]);
	}
	event_base_dispatch(p->base);
	for (int i = 0; i < n; i++)
		evhttp_connection_free(v[i].conn);
	g_free(v);
}

int path_measure(const struct path_options *o)
{
	struct path p = { .opts = o, .base = event_base_new() };
	struct measured_target targets[] = {
		{ .name = "entry", .addr = o->entry },
		{ .name = "engine", .addr = o->engine, .direct = true },
	};
	int n = o->engine ? 2 : 1;

	for (int i = 0; i < n; i++) {
		targets[i].path = &p;
		targets[i].requests_left = o->requests;
		targets[i].first_ms = g_array_new(FALSE, FALSE, sizeof(double));
	}
	run_streams(&p, targets, n);
	for (int i = 0; i < n; i++) {
		print_result(&targets[i]);
		if ((int)targets[i].first_ms->len != o->requests)
			p.incomplete_answers++;
		g_array_free(targets[i].first_ms, TRUE);
	}
	event_base_free(p.base);
	return p.incomplete_answers ? -1 : 0;
}
