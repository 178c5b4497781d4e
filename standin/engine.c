/*
 * The engine stand-in: a batch that steps in real time, and prefill with a
 * bounded prefix cache. A run that reaches its output limit pauses until the
 * limit is raised. Memory is committed up to each run's output limit.
 */
#include "standin/engine.h"

#include <event2/event.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CACHED_PREFIX_BYTES 64
#define PROMPT_HASHES_MAX 200000
#define EXIT_CRASHED 70

static int64_t run_bytes(const struct engine *e, const struct run *r,
			 uint32_t limit)
{
	return (int64_t)(r->prompt_tokens + (uint64_t)limit) *
	       e->opts->kv_bytes;
}

static void run_free(struct run *r)
{
	g_free(r->id);
	g_free(r->model);
	g_free(r->adapter);
	g_free(r);
}

static void run_remove(struct run *r)
{
	struct engine *e = r->engine;

	e->committed_bytes -= run_bytes(e, r, r->output_limit);
	g_ptr_array_remove(e->run_list, r);
	g_hash_table_remove(e->runs, r->id);
	if (r->stream)
		r->stream->on_closed = NULL;
	run_free(r);
}

static void run_finish(struct run *r, const char *reason)
{
	if (r->stream) {
		exchange_stream_event(r->stream,
				      "{\"end\":\"%s\",\"total\":%u}", reason,
				      r->output_tokens);
		exchange_stream_end(r->stream);
	}
	run_remove(r);
}

static void on_run_closed(void *ctx)
{
	struct run *r = ctx;

	r->stream = NULL;
	r->engine->cancelled++;
	run_remove(r);
}

/* Whether the prompt's prefix was cached; caches it if not. LRU. */
static bool prefix_cache_lookup(struct engine *e, const struct run *r,
				struct pf_str prompt)
{
	uint64_t model = pf_id(pf_str_c(r->model));
	uint64_t h;
	GList *l;

	prompt.n = MIN(prompt.n, CACHED_PREFIX_BYTES);
	h = pf_id2(model, pf_id(prompt));
	for (l = e->prefix_cache.head; l; l = l->next)
		if (*(uint64_t *)l->data == h)
			break;
	if (l) {
		g_queue_unlink(&e->prefix_cache, l);
		g_queue_push_head_link(&e->prefix_cache, l);
		e->prefix_hits++;
		return true;
	}
	g_queue_push_head(&e->prefix_cache, g_memdup2(&h, sizeof(h)));
	while ((int)e->prefix_cache.length > e->opts->prefixes)
		g_free(g_queue_pop_tail(&e->prefix_cache));
	return false;
}

static void prefill(struct engine *e, struct run *r)
{
	uint32_t cached = r->prefix_cached ? CACHED_PREFIX_BYTES / 4 : 0;
	uint32_t tokens = r->prompt_tokens + r->output_tokens;

	tokens -= MIN(cached, tokens);
	r->prefix_cached = true;
	r->ready_at = now_ms() + tokens * e->opts->prefill;
}

static bool below_limit(const struct run *r)
{
	return r->output_tokens < r->output_limit;
}

static struct run *most_urgent_waiting(const struct engine *e)
{
	struct run *best = NULL;

	for (guint i = 0; i < e->run_list->len; i++) {
		struct run *r = e->run_list->pdata[i];

		if (!r->in_batch && below_limit(r) &&
		    (!best || r->priority < best->priority))
			best = r;
	}
	return best;
}

static int batch_size(const struct engine *e)
{
	int n = 0;

	for (guint i = 0; i < e->run_list->len; i++)
		n += ((struct run *)e->run_list->pdata[i])->in_batch;
	return n;
}

static int fill_batch(struct engine *e)
{
	int n = batch_size(e);
	struct run *r;

	while (n < e->opts->batch && (r = most_urgent_waiting(e))) {
		r->in_batch = true;
		if (r->ready_at == 0)
			prefill(e, r);
		n++;
	}
	return n;
}

static double step_time_ms(const struct engine *e, int batch)
{
	return e->opts->step + e->opts->step_run * batch;
}

static void schedule_step(struct engine *e)
{
	int n = fill_batch(e);
	struct timeval tv = timeval_from_ms(step_time_ms(e, n));

	e->step_scheduled = n > 0;
	if (n)
		evtimer_add(e->step_timer, &tv);
}

static void report_limit(struct run *r)
{
	r->in_batch = false;
	if (!r->limit_reported)
		exchange_stream_event(r->stream, "{\"at_limit\":%u}",
				      r->output_tokens);
	r->limit_reported = true;
}

/* Emits one token. May finish and free the run. */
static void run_step(struct engine *e, struct run *r, double now)
{
	char token[ANSWER_TOKEN_SIZE];

	if (!r->in_batch || now < r->ready_at)
		return;
	if (r->output_tokens < r->answer.length) {
		answer_token(&r->answer, r->output_tokens, token);
		exchange_stream_event(r->stream,
				      "{\"offset\":%u,\"text\":\"%s\"}",
				      r->output_tokens, token);
		r->output_tokens++;
		e->tokens++;
		r->ready_at = now + r->answer.token_delay_ms;
	}
	if (r->output_tokens >= r->answer.length) {
		e->ended++;
		run_finish(r, "stop");
	} else if (!below_limit(r)) {
		report_limit(r);
	}
}

static void on_step(evutil_socket_t fd, short what, void *ctx)
{
	struct engine *e = ctx;
	double now = now_ms();

	(void)fd;
	(void)what;
	/* Backwards, because finished runs are removed from the list. */
	if (!server_paused(e->server, TARGET_ENGINE))
		for (guint i = e->run_list->len; i > 0; i--)
			run_step(e, e->run_list->pdata[i - 1], now);
	schedule_step(e);
}

static char *dup_text(const json_t *j, const char *name)
{
	const char *s = json_string_value(json_object_get(j, name));

	return g_strdup(s ? s : "");
}

static struct run *run_new(struct engine *e, const json_t *j)
{
	struct run *r = g_new0(struct run, 1);

	r->engine = e;
	r->id = dup_text(j, "run");
	r->model = dup_text(j, "model");
	r->adapter = dup_text(j, "adapter");
	r->output_tokens = (uint32_t)json_get_int(j, "offset");
	r->output_limit = (uint32_t)json_get_int(j, "limit");
	r->priority = (int)json_get_int(j, "priority");
	return r;
}

/* Returns an error code, or NULL after committing the memory of the run. */
static const char *run_refusal(struct engine *e, const struct run *r)
{
	if (!*r->id || r->output_limit < r->output_tokens)
		return "bad_run";
	if (g_hash_table_contains(e->runs, r->id))
		return "duplicate";
	if (!engine_find_resident(e, r->model) ||
	    (*r->adapter && !engine_find_resident(e, r->adapter)))
		return "not_resident";
	if (!engine_commit_memory(e, run_bytes(e, r, r->output_limit)))
		return "no_memory";
	return NULL;
}

static void record_prompt(struct engine *e, struct pf_str prompt)
{
	uint64_t h = pf_id(prompt);

	if (g_hash_table_size(e->prompt_hashes) < PROMPT_HASHES_MAX)
		g_hash_table_add(e->prompt_hashes, g_memdup2(&h, sizeof(h)));
}

static void run_start(struct engine *e, struct exchange *x, struct run *r,
		      struct pf_str prompt, const char *prior)
{
	struct pf_str before = pf_str_c(prior);

	answer_init(&r->answer, pf_str_c(r->model), pf_str_c(r->adapter),
		    prompt);
	if (answer_match(&r->answer, before) != (int64_t)r->output_tokens)
		e->prior_mismatch++;
	r->prefix_cached = prefix_cache_lookup(e, r, prompt);
	r->stream = x;
	x->on_closed = on_run_closed;
	x->closed_ctx = r;
	e->started++;
	record_prompt(e, prompt);
	g_hash_table_insert(e->runs, r->id, r);
	g_ptr_array_add(e->run_list, r);
	exchange_stream_start(x);
	if (!below_limit(r))
		report_limit(r);
	if (!e->step_scheduled)
		schedule_step(e);
}

static bool must_crash(const struct engine *e, const char *prompt)
{
	const char *match = e->server->faults[TARGET_ENGINE].crash_on;

	return (match && strstr(prompt, match)) ||
	       (e->opts->crash_on && strstr(prompt, e->opts->crash_on));
}

static void handle_run_start(void *self, struct exchange *x)
{
	struct engine *e = self;
	json_t *j = exchange_json(x);
	struct run *r = run_new(e, j);
	char *prompt = dup_text(j, "prompt");
	char *prior = dup_text(j, "prior");
	const char *refusal;

	json_decref(j);
	if (must_crash(e, prompt))
		_exit(EXIT_CRASHED);
	r->prompt_tokens = answer_token_count(strlen(prompt));
	refusal = run_refusal(e, r);
	if (refusal) {
		run_free(r);
		exchange_reply_error(x, 409, refusal);
	} else {
		run_start(e, x, r, pf_str_c(prompt), prior);
	}
	g_free(prompt);
	g_free(prior);
}

static void run_resume(struct engine *e, struct exchange *x, struct run *r)
{
	json_t *j = exchange_json(x);
	uint32_t limit = (uint32_t)json_get_int(j, "limit");

	json_decref(j);
	if (limit > r->output_limit) {
		if (!engine_commit_memory(
			    e, run_bytes(e, r, limit) -
				       run_bytes(e, r, r->output_limit))) {
			exchange_reply_error(x, 409, "no_memory");
			return;
		}
		r->output_limit = limit;
		r->limit_reported = false;
	}
	exchange_reply_ok(x);
	if (!e->step_scheduled)
		schedule_step(e);
}

/* Handles POST /engine/run/ID/resume and /engine/run/ID/cancel. */
static void handle_run_call(void *self, struct exchange *x)
{
	struct engine *e = self;
	char **part = g_strsplit(x->subpath, "/", 2);
	struct run *r = part[0] ? g_hash_table_lookup(e->runs, part[0]) : NULL;
	const char *call = part[0] && part[1] ? part[1] : "";

	if (!r) {
		exchange_reply_error(x, 404, "no_run");
	} else if (!strcmp(call, "resume")) {
		run_resume(e, x, r);
	} else if (!strcmp(call, "cancel")) {
		e->cancelled++;
		run_finish(r, "cancelled");
		exchange_reply_ok(x);
	} else {
		exchange_reply_error(x, 404, "no_such_page");
	}
	g_strfreev(part);
}

static json_t *inventory(const struct engine *e)
{
	json_t *runs = json_array();

	for (guint i = 0; i < e->run_list->len; i++) {
		const struct run *r = e->run_list->pdata[i];

		json_array_append_new(runs,
				      json_pack("{sssi}", "run", r->id, "total",
						(int)r->output_tokens));
	}
	return json_pack("{sssIsIsoso}", "boot", e->boot_id, "memory",
			 (json_int_t)e->opts->memory, "used",
			 (json_int_t)e->committed_bytes, "items",
			 engine_items_json(e), "runs", runs);
}

static void update_load_report(evutil_socket_t fd, short what, void *ctx)
{
	struct engine *e = ctx;
	struct timeval tv = timeval_from_ms(e->opts->lag);
	int n = batch_size(e);

	(void)fd;
	(void)what;
	json_decref(e->load_report);
	e->load_report = json_pack("{sisisfsf}", "running", n, "waiting",
				   (int)e->run_list->len - n, "step_ms",
				   step_time_ms(e, n), "prefill_token_ms",
				   e->opts->prefill);
	e->load_report_at = now_ms();
	evtimer_add(e->load_report_timer, &tv);
}

static void handle_load(void *self, struct exchange *x)
{
	struct engine *e = self;
	json_t *j = json_copy(e->load_report);

	json_object_set_new(
		j, "age_ms",
		json_integer((json_int_t)(now_ms() - e->load_report_at)));
	exchange_reply_json(x, 200, j);
}

static void handle_inventory(void *self, struct exchange *x)
{
	exchange_reply_json(x, 200, inventory(self));
}

/* Lists the prompts that ran, so that the load tool can check "not run". */
static void handle_prompts(void *self, struct exchange *x)
{
	struct engine *e = self;
	json_t *prompts = json_array();
	GHashTableIter i;
	void *h;

	g_hash_table_iter_init(&i, e->prompt_hashes);
	while (g_hash_table_iter_next(&i, &h, NULL)) {
		char hex[17];

		snprintf(hex, sizeof(hex), "%016" PRIx64, *(uint64_t *)h);
		json_array_append_new(prompts, json_string(hex));
	}
	exchange_reply_json(x, 200, json_pack("{so}", "prompts", prompts));
}

static json_t *engine_state(void *self)
{
	struct engine *e = self;
	json_t *j = inventory(e);

#define DEF(name) json_object_set_new(j, #name, json_integer(e->name));
	ENGINE_COUNTERS(DEF)
#undef DEF
	return j;
}

struct engine *engine_new(struct server *s, const struct options *o)
{
	static const struct route routes[] = {
		{ "/engine/run/", TARGET_ENGINE, handle_run_call },
		{ "/engine/run", TARGET_ENGINE, handle_run_start },
		{ "/engine/orders", TARGET_ENGINE, engine_handle_order },
		{ "/engine/inventory", TARGET_ENGINE, handle_inventory },
		{ "/engine/load", TARGET_ENGINE, handle_load },
		{ "/admin/prompts", TARGET_NONE, handle_prompts },
		{ "", TARGET_NONE, NULL },
	};
	struct engine *e = g_new0(struct engine, 1);

	e->server = s;
	e->opts = o;
	snprintf(e->boot_id, sizeof(e->boot_id), "%08x%08x", g_random_int(),
		 g_random_int());
	e->items =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, item_free);
	e->runs = g_hash_table_new(g_str_hash, g_str_equal);
	e->run_list = g_ptr_array_new();
	e->prompt_hashes = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						 g_free, NULL);
	g_queue_init(&e->prefix_cache);
	e->step_timer = evtimer_new(s->base, on_step, e);
	e->load_report_timer = evtimer_new(s->base, update_load_report, e);
	update_load_report(-1, 0, e);
	s->routes = routes;
	s->state_json = engine_state;
	return e;
}

void engine_free(struct engine *e)
{
	for (guint i = e->run_list->len; i > 0; i--)
		run_remove(e->run_list->pdata[i - 1]);
	g_ptr_array_free(e->run_list, TRUE);
	g_hash_table_destroy(e->runs);
	g_hash_table_destroy(e->items);
	g_hash_table_destroy(e->prompt_hashes);
	g_queue_clear_full(&e->prefix_cache, g_free);
	event_free(e->step_timer);
	event_free(e->load_report_timer);
	json_decref(e->load_report);
	g_free(e);
}
