/* One request: its sends, its answer, and the judgement of it. */
#include "load/check.h"
#include "load/load.h"
#include "load/outcome.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define IDLE_TIMEOUT_S 60
#define RETRY_AFTER_MAX_MS 5000
#define BACKOFF_MS 200
#define KEY_MAX 64

/* How entries turn a chat of one message into a prompt. */
#define CHAT_FORMAT "<|user|>\n%s\n<|assistant|>\n"

struct request {
	struct load *load;
	const struct caller *caller;
	const struct target_model *model; /* NULL: plain service */
	char *prompt; /* or the body of a plain call */
	char *seen; /* the prompt as the engine sees it */
	char key[KEY_MAX]; /* idempotency key or "" */
	bool stream, chat, again;
	uint32_t output_limit;
	uint32_t tries;
	guint entry; /* index of the entry it went to */
	int64_t arrived; /* monotonic, microseconds */
	int64_t arrived_wall; /* milliseconds since the epoch */
	int64_t first; /* first byte of the answer, or 0 */
	GString *in; /* body of the answer so far */
	struct event *retry;
	struct evhttp_connection *conn; /* of the send at hand */
};

static void request_send(struct request *r);

void load_complain(const char *what, const char *who, const char *detail)
{
	fprintf(stderr,
		"level=%s what=%s request=\"%.40s\" detail=\"%.200s\"\n",
		strcmp(what, "excused") ? "error" : "info", what, who, detail);
}

static void release(evutil_socket_t fd, short what, void *conn)
{
	(void)fd;
	(void)what;
	evhttp_connection_free(conn);
}

void load_release(struct load *l, struct evhttp_connection *c)
{
	struct timeval now = { 0, 0 };

	event_base_once(l->base, -1, EV_TIMEOUT, release, c, &now);
}

static void request_free(struct request *r)
{
	g_hash_table_remove(r->load->alive, r);
	if (r->retry)
		event_free(r->retry);
	g_string_free(r->in, TRUE);
	g_free(r->prompt);
	g_free(r->seen);
	g_free(r);
}

static double elapsed_ms(int64_t from, int64_t to)
{
	return (double)(to - from) / 1000;
}

static const char *entry_name(const struct request *r)
{
	return r->load->scenario->entries->pdata[r->entry];
}

static void count_code(struct load *l, const char *code)
{
	guint n = GPOINTER_TO_UINT(g_hash_table_lookup(l->codes, code));

	g_hash_table_replace(l->codes, g_strdup(code), GUINT_TO_POINTER(n + 1));
}

/* The best verdict over the versions that may have answered. */
static enum verdict judge_text(const struct request *r, const struct outcome *o,
			       uint32_t *tokens)
{
	struct pf_str text = { o->text->str, o->text->len };
	enum verdict best = VERDICT_CROSSED;

	for (char **v = r->model->versions; *v; v++) {
		char *id = g_strdup_printf("%s@%s", r->model->name, *v);
		struct answer a;
		enum verdict got;
		uint32_t n;

		answer_init(&a, pf_str_c(id), pf_str_c(r->model->adapter),
			    pf_str_c(r->seen));
		got = check_text(&a, text, o->finish, r->output_limit, &n);
		if (got < best || v == r->model->versions) {
			best = got;
			*tokens = n;
		}
		g_free(id);
	}
	return best;
}

static void note_cut(struct request *r, const struct outcome *o)
{
	struct cut c = {
		.begin = r->arrived_wall,
		.end = g_get_real_time() / 1000,
		.entry = entry_name(r),
		.broken = !o->error,
	};

	if (o->error)
		r->load->n.failed++;
	else
		r->load->n.cut++;
	if (r->caller->may_fail > 0)
		return;
	c.who = g_strdup(*r->key ? r->key : r->prompt);
	c.why = g_strdup(o->error ? o->code : "broken");
	g_array_append_val(r->load->cuts, c);
}

static void note_answered(struct request *r)
{
	struct load *l = r->load;
	int64_t now = g_get_monotonic_time();
	double first = elapsed_ms(r->arrived, r->first ? r->first : now);
	double whole = elapsed_ms(r->arrived, now);

	l->n.answered++;
	if (whole <= r->caller->whole_ms &&
	    (!r->stream || first <= r->caller->first_ms))
		l->n.within++;
	g_array_append_val(l->first_ms, first);
	g_array_append_val(l->whole_ms, whole);
}

static void end_model(struct request *r, const struct outcome *o)
{
	struct load *l = r->load;
	uint32_t tokens = 0;
	enum verdict v = judge_text(r, o, &tokens);
	bool whole = v == VERDICT_WHOLE && !o->error;

	l->n.tokens += tokens;
	if (v == VERDICT_CROSSED || v == VERDICT_DOUBLED) {
		if (v == VERDICT_CROSSED)
			l->n.crossed++;
		else
			l->n.doubled++;
		load_complain(v == VERDICT_CROSSED ? "crossed" : "doubled",
			      r->prompt, o->text->str);
	} else if (whole) {
		note_answered(r);
	} else if (o->error || !o->ended) {
		note_cut(r, o);
	} else {
		l->n.incomplete++;
		load_complain("incomplete", r->prompt, o->text->str);
	}
}

static struct key_record *key_of(struct request *r)
{
	struct key_record *k = g_hash_table_lookup(r->load->keys, r->key);

	if (!k) {
		k = g_new0(struct key_record, 1);
		g_hash_table_insert(r->load->keys, g_strdup(r->key), k);
	}
	return k;
}

static bool receipt_right(struct request *r)
{
	json_t *j = json_loads(r->in->str, 0, NULL);
	const char *got = json_string_value(json_object_get(j, "receipt"));
	struct key_record *k;
	bool right = got != NULL;

	if (!right) {
		r->load->n.incomplete++;
		load_complain("incomplete", r->key, r->in->str);
	} else if (*r->key) {
		k = key_of(r);
		if (!k->receipt)
			k->receipt = g_strdup(got);
		right = !strcmp(k->receipt, got);
		r->load->n.doubled += !right;
		if (!right)
			load_complain("doubled", r->key, r->in->str);
	}
	json_decref(j);
	return right;
}

/* Sends an answered key once more; the answer must be the same. */
static void send_again(const struct request *r)
{
	struct load *l = r->load;
	struct request *s;

	if (r->again || pf_rng_unit(&l->rng) >= r->caller->resend)
		return;
	s = g_memdup2(r, sizeof(*r));
	s->prompt = g_strdup(r->prompt);
	s->seen = g_strdup(r->seen);
	s->in = g_string_new(NULL);
	s->retry = NULL;
	s->again = true;
	s->tries = 0;
	s->first = 0;
	s->arrived = g_get_monotonic_time();
	s->arrived_wall = g_get_real_time() / 1000;
	s->entry++;
	g_hash_table_add(l->alive, s);
	l->n.requests++;
	l->n.resends++;
	request_send(s);
}

static void end_plain(struct request *r, const struct outcome *o)
{
	if (o->error || !o->ended) {
		note_cut(r, o);
	} else if (receipt_right(r)) {
		note_answered(r);
		if (*r->key)
			send_again(r);
	}
}

static void on_retry(evutil_socket_t fd, short what, void *ctx)
{
	(void)fd;
	(void)what;
	request_send(ctx);
}

static void retry_later(struct request *r, int64_t ms)
{
	struct timeval tv;

	ms = MIN(ms, RETRY_AFTER_MAX_MS);
	ms += (int64_t)(pf_rng_unit(&r->load->rng) * BACKOFF_MS);
	tv = (struct timeval){ ms / 1000, (ms % 1000) * 1000 };
	if (!r->retry)
		r->retry = evtimer_new(r->load->base, on_retry, r);
	evtimer_add(r->retry, &tv);
}

/* Whether it may be sent once more: nothing ran, or a repeat is harmless. */
static bool may_retry(const struct request *r, const struct outcome *o)
{
	if (r->tries >= r->caller->tries ||
	    elapsed_ms(r->arrived, g_get_monotonic_time()) >
		    r->caller->patience_ms)
		return false;
	if (o->error)
		return o->not_run ||
		       (r->caller->kind == CALL_LOOKUP && o->status >= 500);
	return !o->ended && (r->caller->kind != CALL_MODEL || !r->in->len);
}

static void note_not_run(struct request *r)
{
	uint64_t h = pf_id(pf_str_c(r->seen));

	r->load->n.refused++;
	if (r->model)
		g_hash_table_add(r->load->not_run, g_memdup2(&h, sizeof(h)));
}

static void note_send_end(struct request *r, const struct outcome *o)
{
	if (o->error)
		count_code(r->load, o->code);
	if (*r->key && !(o->error && o->not_run))
		key_of(r)->may_have_run = true;
}

static void request_end(struct request *r, const struct outcome *o)
{
	note_send_end(r, o);
	if (may_retry(r, o)) {
		if (o->retry_after_ms)
			r->load->n.waits++;
		retry_later(r, MAX(o->retry_after_ms, BACKOFF_MS));
		return;
	}
	if (o->error && o->not_run && !o->text->len)
		note_not_run(r);
	else if (r->model)
		end_model(r, o);
	else
		end_plain(r, o);
	request_free(r);
}

static void on_piece(struct evhttp_request *req, void *ctx)
{
	struct request *r = ctx;
	struct evbuffer *b = evhttp_request_get_input_buffer(req);
	size_t n = evbuffer_get_length(b);

	if (!r->first)
		r->first = g_get_monotonic_time();
	g_string_append_len(r->in, (char *)evbuffer_pullup(b, -1), (gssize)n);
	evbuffer_drain(b, n);
}

static int64_t retry_after(struct evhttp_request *req)
{
	const char *v = evhttp_find_header(
		evhttp_request_get_input_headers(req), "Retry-After");

	return v ? (int64_t)(strtod(v, NULL) * 1000) : 0;
}

static void on_done(struct evhttp_request *req, void *ctx)
{
	struct request *r = ctx;
	struct outcome o = { .text = g_string_new(NULL) };

	load_release(r->load, r->conn);
	if (req && evhttp_request_get_response_code(req)) {
		o.status = evhttp_request_get_response_code(req);
		o.ended = true;
		o.retry_after_ms = retry_after(req);
	} else if (r->in->len) {
		o.status = 200; /* cut in the middle of an answer */
	}
	outcome_read(&o, r->model != NULL, r->stream, r->in->str);
	request_end(r, &o);
	outcome_clear(&o);
}

static json_t *body_json(const struct request *r)
{
	json_t *j = json_pack("{sssisb}", "model", r->model->ask, "max_tokens",
			      (int)r->output_limit, "stream", (int)r->stream);

	if (r->chat)
		json_object_set_new(j, "messages",
				    json_pack("[{ssss}]", "role", "user",
					      "content", r->prompt));
	else
		json_object_set_new(j, "prompt", json_string(r->prompt));
	return j;
}

static void add_body(const struct request *r, struct evhttp_request *req)
{
	struct evbuffer *out = evhttp_request_get_output_buffer(req);
	json_t *j;
	char *text;

	if (!r->model) {
		evbuffer_add(out, r->prompt, strlen(r->prompt));
		return;
	}
	j = body_json(r);
	text = json_dumps(j, JSON_COMPACT);
	evbuffer_add(out, text, strlen(text));
	free(text);
	json_decref(j);
}

static void add_headers(const struct request *r, struct evhttp_request *req,
			const char *ip)
{
	struct evkeyvalq *h = evhttp_request_get_output_headers(req);
	char *bearer = g_strdup_printf("Bearer %s", r->caller->key);

	evhttp_add_header(h, "Host", ip);
	evhttp_add_header(h, "Authorization", bearer);
	evhttp_add_header(h, "Content-Type", "application/json");
	if (*r->key)
		evhttp_add_header(h, "Idempotency-Key", r->key);
	g_free(bearer);
}

static char *path_of(const struct request *r)
{
	if (!r->model)
		return g_strdup_printf("/svc/%s%s", r->caller->service,
				       r->caller->path);
	return g_strdup(r->chat ? "/v1/chat/completions" : "/v1/completions");
}

static void request_send(struct request *r)
{
	struct scenario *s = r->load->scenario;
	struct evhttp_connection *conn;
	struct evhttp_request *req;
	char **addr;
	char *path = path_of(r);

	r->entry = (r->entry + (r->tries > 0)) % s->entries->len;
	r->tries++;
	r->load->n.sends++;
	g_string_truncate(r->in, 0);
	addr = g_strsplit(entry_name(r), ":", 2);
	conn = evhttp_connection_base_new(r->load->base, NULL, addr[0],
					  (uint16_t)strtoul(addr[1], NULL, 10));
	req = evhttp_request_new(on_done, r);
	evhttp_connection_set_timeout(conn, IDLE_TIMEOUT_S);
	r->conn = conn;
	evhttp_request_set_chunked_cb(req, on_piece);
	add_headers(r, req, addr[0]);
	add_body(r, req);
	evhttp_make_request(conn, req,
			    r->caller->kind == CALL_LOOKUP ? EVHTTP_REQ_GET
							   : EVHTTP_REQ_POST,
			    path);
	g_strfreev(addr);
	g_free(path);
}

/* A prompt that no other request has, of about the mean length asked for. */
static char *make_prompt(struct load *l, const struct caller *c, uint64_t no)
{
	GString *s = g_string_new(NULL);
	double mean = c->prompt_bytes;
	size_t n = (size_t)(-log(1 - pf_rng_unit(&l->rng)) * mean);

	g_string_append_printf(s, "%s %" G_GUINT64_FORMAT "-%" G_GUINT64_FORMAT,
			       c->name, l->seed, no);
	if (c->slow_ms > 0)
		g_string_append_printf(s, " [slow=%.0f]", c->slow_ms);
	while (s->len < n)
		g_string_append(s, " log of the substation");
	return g_string_free(s, FALSE);
}

void request_new(struct load *l, const struct caller *c)
{
	struct request *r = g_new0(struct request, 1);
	uint64_t no = ++l->n.requests;

	r->load = l;
	r->caller = c;
	r->in = g_string_new(NULL);
	r->output_limit = (uint32_t)c->limit;
	r->entry = pf_rng_below(&l->rng, l->scenario->entries->len);
	r->stream = c->kind == CALL_MODEL && pf_rng_unit(&l->rng) < c->stream;
	r->chat = c->kind == CALL_MODEL && pf_rng_unit(&l->rng) < c->chat;
	if (c->kind == CALL_MODEL)
		r->model =
			c->models->pdata[pf_rng_below(&l->rng, c->models->len)];
	if (c->kind == CALL_ONCE)
		g_snprintf(r->key, sizeof(r->key),
			   "%s-%" G_GUINT64_FORMAT "-%" G_GUINT64_FORMAT,
			   c->name, l->seed, no);
	r->prompt =
		c->kind == CALL_LOOKUP ? g_strdup("") : make_prompt(l, c, no);
	r->seen = r->chat ? g_strdup_printf(CHAT_FORMAT, r->prompt)
			  : g_strdup(r->prompt);
	r->arrived = g_get_monotonic_time();
	r->arrived_wall = g_get_real_time() / 1000;
	g_hash_table_add(l->alive, r);
	request_send(r);
}

void requests_give_up(struct load *l)
{
	GHashTableIter it;
	void *p;

	g_hash_table_iter_init(&it, l->alive);
	while (g_hash_table_iter_next(&it, &p, NULL)) {
		const struct request *r = p;

		l->n.incomplete++;
		load_complain("never_ended", *r->key ? r->key : r->prompt,
			      r->in->str);
	}
}
