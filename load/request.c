/* One request: its sends and retries, and the verification of its answer. */
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
#define KEY_SIZE 64

/* The prompt that an entry makes of a chat with one message. */
#define CHAT_FORMAT "<|user|>\n%s\n<|assistant|>\n"

struct request {
	struct load *load;
	const struct caller *caller;
	const struct target_model *model; /* NULL: call to a plain service */
	char *prompt; /* or the body of a call to a plain service */
	char *engine_prompt; /* the prompt that the engine receives */
	char key[KEY_SIZE]; /* idempotency key or "" */
	bool stream, chat, is_resend;
	uint32_t output_limit;
	uint32_t tries;
	guint entry_index; /* entry of the latest send */
	int64_t arrived_us; /* monotonic */
	int64_t arrived_wall_ms; /* since the epoch */
	int64_t first_byte_us; /* monotonic, 0: none yet */
	GString *answer_body; /* received so far */
	struct event *retry_timer;
	struct evhttp_connection *conn; /* of the latest send */
};

static void request_send(struct request *r);

void load_log_finding(const char *what, const char *who, const char *detail)
{
	fprintf(stderr,
		"level=%s what=%s request=\"%.40s\" detail=\"%.200s\"\n",
		strcmp(what, "excused") ? "error" : "info", what, who, detail);
}

static void on_free_connection(evutil_socket_t fd, short what, void *conn)
{
	(void)fd;
	(void)what;
	evhttp_connection_free(conn);
}

void load_free_connection(struct load *l, struct evhttp_connection *c)
{
	struct timeval now = { 0, 0 };

	event_base_once(l->base, -1, EV_TIMEOUT, on_free_connection, c, &now);
}

static void request_free(struct request *r)
{
	g_hash_table_remove(r->load->in_flight, r);
	if (r->retry_timer)
		event_free(r->retry_timer);
	g_string_free(r->answer_body, TRUE);
	g_free(r->prompt);
	g_free(r->engine_prompt);
	g_free(r);
}

static double elapsed_ms(int64_t from, int64_t to)
{
	return (double)(to - from) / 1000;
}

static const char *entry_name(const struct request *r)
{
	return r->load->scenario->entries->pdata[r->entry_index];
}

static void count_code(struct load *l, const char *code)
{
	guint n = GPOINTER_TO_UINT(g_hash_table_lookup(l->error_codes, code));

	g_hash_table_replace(l->error_codes, g_strdup(code),
			     GUINT_TO_POINTER(n + 1));
}

/* Any version of the model may have answered: takes the best verdict. */
static enum verdict best_verdict(const struct request *r,
				 const struct outcome *o, uint32_t *tokens)
{
	struct pf_str text = { o->text->str, o->text->len };
	enum verdict best = VERDICT_CROSSED;

	for (char **v = r->model->versions; *v; v++) {
		char *id = g_strdup_printf("%s@%s", r->model->name, *v);
		struct answer a;
		enum verdict got;
		uint32_t n;

		answer_init(&a, pf_str_c(id), pf_str_c(r->model->adapter),
			    pf_str_c(r->engine_prompt));
		got = check_text(&a, text, o->finish, r->output_limit, &n);
		if (got < best || v == r->model->versions) {
			best = got;
			*tokens = n;
		}
		g_free(id);
	}
	return best;
}

static void record_cut(struct request *r, const struct outcome *o)
{
	struct cut_answer c = {
		.begin_ms = r->arrived_wall_ms,
		.end_ms = g_get_real_time() / 1000,
		.entry = entry_name(r),
		.connection_lost = !o->error,
	};

	if (o->error)
		r->load->count.failed++;
	else
		r->load->count.cut++;
	if (r->caller->may_fail > 0)
		return;
	c.request_name = g_strdup(*r->key ? r->key : r->prompt);
	c.reason = g_strdup(o->error ? o->error_code : "broken");
	g_array_append_val(r->load->cut_answers, c);
}

static void record_answered(struct request *r)
{
	struct load *l = r->load;
	int64_t now = g_get_monotonic_time();
	double first = elapsed_ms(r->arrived_us,
				  r->first_byte_us ? r->first_byte_us : now);
	double whole = elapsed_ms(r->arrived_us, now);

	l->count.answered++;
	if (whole <= r->caller->whole_ms &&
	    (!r->stream || first <= r->caller->first_ms))
		l->count.within++;
	g_array_append_val(l->first_ms, first);
	g_array_append_val(l->whole_ms, whole);
}

static void judge_completion(struct request *r, const struct outcome *o)
{
	struct load *l = r->load;
	uint32_t tokens = 0;
	enum verdict v = best_verdict(r, o, &tokens);
	bool whole = v == VERDICT_COMPLETE && !o->error;

	l->count.tokens += tokens;
	if (v == VERDICT_CROSSED || v == VERDICT_DOUBLED) {
		if (v == VERDICT_CROSSED)
			l->count.crossed++;
		else
			l->count.doubled++;
		load_log_finding(v == VERDICT_CROSSED ? "crossed" : "doubled",
				 r->prompt, o->text->str);
	} else if (whole) {
		record_answered(r);
	} else if (o->error || !o->complete) {
		record_cut(r, o);
	} else {
		l->count.incomplete++;
		load_log_finding("incomplete", r->prompt, o->text->str);
	}
}

static struct key_record *get_key_record(struct request *r)
{
	struct key_record *k =
		g_hash_table_lookup(r->load->key_records, r->key);

	if (!k) {
		k = g_new0(struct key_record, 1);
		g_hash_table_insert(r->load->key_records, g_strdup(r->key), k);
	}
	return k;
}

static bool check_receipt(struct request *r)
{
	json_t *j = json_loads(r->answer_body->str, 0, NULL);
	const char *got = json_string_value(json_object_get(j, "receipt"));
	struct key_record *k;
	bool right = got != NULL;

	if (!right) {
		r->load->count.incomplete++;
		load_log_finding("incomplete", r->key, r->answer_body->str);
	} else if (*r->key) {
		k = get_key_record(r);
		if (!k->receipt)
			k->receipt = g_strdup(got);
		right = !strcmp(k->receipt, got);
		r->load->count.doubled += !right;
		if (!right)
			load_log_finding("doubled", r->key,
					 r->answer_body->str);
	}
	json_decref(j);
	return right;
}

/* Repeats a call whose key was answered; the receipt must be the same. */
static void resend_answered_key(const struct request *r)
{
	struct load *l = r->load;
	struct request *s;

	if (r->is_resend || pf_rng_unit(&l->rng) >= r->caller->resend)
		return;
	s = g_memdup2(r, sizeof(*r));
	s->prompt = g_strdup(r->prompt);
	s->engine_prompt = g_strdup(r->engine_prompt);
	s->answer_body = g_string_new(NULL);
	s->retry_timer = NULL;
	s->is_resend = true;
	s->tries = 0;
	s->first_byte_us = 0;
	s->arrived_us = g_get_monotonic_time();
	s->arrived_wall_ms = g_get_real_time() / 1000;
	s->entry_index++;
	g_hash_table_add(l->in_flight, s);
	l->count.requests++;
	l->count.resends++;
	request_send(s);
}

static void judge_plain_call(struct request *r, const struct outcome *o)
{
	if (o->error || !o->complete) {
		record_cut(r, o);
	} else if (check_receipt(r)) {
		record_answered(r);
		if (*r->key)
			resend_answered_key(r);
	}
}

static void on_retry(evutil_socket_t fd, short what, void *ctx)
{
	(void)fd;
	(void)what;
	request_send(ctx);
}

static void schedule_retry(struct request *r, int64_t ms)
{
	struct timeval tv;

	ms = MIN(ms, RETRY_AFTER_MAX_MS);
	ms += (int64_t)(pf_rng_unit(&r->load->rng) * BACKOFF_MS);
	tv = (struct timeval){ ms / 1000, (ms % 1000) * 1000 };
	if (!r->retry_timer)
		r->retry_timer = evtimer_new(r->load->base, on_retry, r);
	evtimer_add(r->retry_timer, &tv);
}

/* Whether retries are left, and nothing ran or the call is repeatable. */
static bool may_retry(const struct request *r, const struct outcome *o)
{
	if (r->tries >= r->caller->tries ||
	    elapsed_ms(r->arrived_us, g_get_monotonic_time()) >
		    r->caller->patience_ms)
		return false;
	if (o->error)
		return o->not_run ||
		       (r->caller->kind == CALL_LOOKUP && o->status >= 500);
	return !o->complete &&
	       (r->caller->kind != CALL_MODEL || !r->answer_body->len);
}

static void record_not_run(struct request *r)
{
	uint64_t h = pf_id(pf_str_c(r->engine_prompt));

	r->load->count.refused++;
	if (r->model)
		g_hash_table_add(r->load->not_run_prompts,
				 g_memdup2(&h, sizeof(h)));
}

static void record_send_result(struct request *r, const struct outcome *o)
{
	if (o->error)
		count_code(r->load, o->error_code);
	if (*r->key && !(o->error && o->not_run))
		get_key_record(r)->may_have_run = true;
}

static void request_end(struct request *r, const struct outcome *o)
{
	record_send_result(r, o);
	if (may_retry(r, o)) {
		if (o->retry_after_ms)
			r->load->count.waits++;
		schedule_retry(r, MAX(o->retry_after_ms, BACKOFF_MS));
		return;
	}
	if (o->error && o->not_run && !o->text->len)
		record_not_run(r);
	else if (r->model)
		judge_completion(r, o);
	else
		judge_plain_call(r, o);
	request_free(r);
}

static void on_chunk(struct evhttp_request *req, void *ctx)
{
	struct request *r = ctx;
	struct evbuffer *b = evhttp_request_get_input_buffer(req);
	size_t n = evbuffer_get_length(b);

	if (!r->first_byte_us)
		r->first_byte_us = g_get_monotonic_time();
	g_string_append_len(r->answer_body, (char *)evbuffer_pullup(b, -1),
			    (gssize)n);
	evbuffer_drain(b, n);
}

static int64_t retry_after_ms(struct evhttp_request *req)
{
	const char *v = evhttp_find_header(
		evhttp_request_get_input_headers(req), "Retry-After");

	return v ? (int64_t)(strtod(v, NULL) * 1000) : 0;
}

static void on_done(struct evhttp_request *req, void *ctx)
{
	struct request *r = ctx;
	struct outcome o = { .text = g_string_new(NULL) };

	load_free_connection(r->load, r->conn);
	if (req && evhttp_request_get_response_code(req)) {
		o.status = evhttp_request_get_response_code(req);
		o.complete = true;
		o.retry_after_ms = retry_after_ms(req);
	} else if (r->answer_body->len) {
		o.status = 200; /* closed in the middle of an answer */
	}
	outcome_read(&o, r->model != NULL, r->stream, r->answer_body->str);
	request_end(r, &o);
	outcome_clear(&o);
}

static json_t *body_json(const struct request *r)
{
	json_t *j = json_pack("{sssisb}", "model", r->model->requested_name,
			      "max_tokens", (int)r->output_limit, "stream",
			      (int)r->stream);

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

static char *request_path(const struct request *r)
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
	char *path = request_path(r);

	r->entry_index = (r->entry_index + (r->tries > 0)) % s->entries->len;
	r->tries++;
	r->load->count.sends++;
	g_string_truncate(r->answer_body, 0);
	addr = g_strsplit(entry_name(r), ":", 2);
	conn = evhttp_connection_base_new(r->load->base, NULL, addr[0],
					  (uint16_t)strtoul(addr[1], NULL, 10));
	req = evhttp_request_new(on_done, r);
	evhttp_connection_set_timeout(conn, IDLE_TIMEOUT_S);
	r->conn = conn;
	evhttp_request_set_chunked_cb(req, on_chunk);
	add_headers(r, req, addr[0]);
	add_body(r, req);
	evhttp_make_request(conn, req,
			    r->caller->kind == CALL_LOOKUP ? EVHTTP_REQ_GET
							   : EVHTTP_REQ_POST,
			    path);
	g_strfreev(addr);
	g_free(path);
}

/* Makes a unique prompt, its length exponential with mean prompt_bytes. */
static char *make_prompt(struct load *l, const struct caller *c,
			 uint64_t number)
{
	GString *s = g_string_new(NULL);
	double mean = c->prompt_bytes;
	size_t n = (size_t)(-log(1 - pf_rng_unit(&l->rng)) * mean);

	g_string_append_printf(s, "%s %" G_GUINT64_FORMAT "-%" G_GUINT64_FORMAT,
			       c->name, l->seed, number);
	if (c->slow_ms > 0)
		g_string_append_printf(s, " [slow=%.0f]", c->slow_ms);
	while (s->len < n)
		g_string_append(s, " log of the substation");
	return g_string_free(s, FALSE);
}

void request_start(struct load *l, const struct caller *c)
{
	struct request *r = g_new0(struct request, 1);
	uint64_t number = ++l->count.requests;

	r->load = l;
	r->caller = c;
	r->answer_body = g_string_new(NULL);
	r->output_limit = (uint32_t)c->limit;
	r->entry_index = pf_rng_below(&l->rng, l->scenario->entries->len);
	r->stream = c->kind == CALL_MODEL && pf_rng_unit(&l->rng) < c->stream;
	r->chat = c->kind == CALL_MODEL && pf_rng_unit(&l->rng) < c->chat;
	if (c->kind == CALL_MODEL)
		r->model =
			c->models->pdata[pf_rng_below(&l->rng, c->models->len)];
	if (c->kind == CALL_ONCE)
		g_snprintf(r->key, sizeof(r->key),
			   "%s-%" G_GUINT64_FORMAT "-%" G_GUINT64_FORMAT,
			   c->name, l->seed, number);
	r->prompt = c->kind == CALL_LOOKUP ? g_strdup("")
					   : make_prompt(l, c, number);
	r->engine_prompt = r->chat ? g_strdup_printf(CHAT_FORMAT, r->prompt)
				   : g_strdup(r->prompt);
	r->arrived_us = g_get_monotonic_time();
	r->arrived_wall_ms = g_get_real_time() / 1000;
	g_hash_table_add(l->in_flight, r);
	request_send(r);
}

void requests_count_unfinished(struct load *l)
{
	GHashTableIter it;
	void *p;

	g_hash_table_iter_init(&it, l->in_flight);
	while (g_hash_table_iter_next(&it, &p, NULL)) {
		const struct request *r = p;

		l->count.incomplete++;
		load_log_finding("never_ended", *r->key ? r->key : r->prompt,
				 r->answer_body->str);
	}
}
