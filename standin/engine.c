/*
 * The engine stand-in: a batch that steps in real time, prefill with a
 * bounded prefix cache, runs that stand at their limit, and memory that is
 * committed up to each run's limit.
 */
#include "standin/engine.h"

#include <event2/event.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PREFIX_BYTES 64
#define PROMPTS_MAX 200000
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

static void run_forget(struct run *r)
{
	struct engine *e = r->engine;

	e->used -= run_bytes(e, r, r->limit);
	g_ptr_array_remove(e->queue, r);
	g_hash_table_remove(e->runs, r->id);
	if (r->x)
		r->x->closed = NULL;
	run_free(r);
}

static void run_end(struct run *r, const char *how)
{
	if (r->x) {
		exchange_event(r->x, "{\"end\":\"%s\",\"total\":%u}", how,
			       r->done);
		exchange_end(r->x);
	}
	run_forget(r);
}

static void run_gone(void *ctx)
{
	struct run *r = ctx;

	r->x = NULL;
	r->engine->cancelled++;
	run_forget(r);
}

/* Whether the prompt's first part is cached; it is from now on. */
static bool prefix_cached(struct engine *e, const struct run *r,
			  struct pf_str prompt)
{
	uint64_t model = pf_id(pf_str_c(r->model));
	uint64_t h;
	GList *l;

	prompt.n = MIN(prompt.n, PREFIX_BYTES);
	h = pf_id2(model, pf_id(prompt));
	for (l = e->prefixes.head; l; l = l->next)
		if (*(uint64_t *)l->data == h)
			break;
	if (l) {
		g_queue_unlink(&e->prefixes, l);
		g_queue_push_head_link(&e->prefixes, l);
		e->prefix_hits++;
		return true;
	}
	g_queue_push_head(&e->prefixes, g_memdup2(&h, sizeof(h)));
	while ((int)e->prefixes.length > e->opts->prefixes)
		g_free(g_queue_pop_tail(&e->prefixes));
	return false;
}

static void prefill(struct engine *e, struct run *r)
{
	uint32_t cached = r->prefilled ? PREFIX_BYTES / 4 : 0;
	uint32_t tokens = r->prompt_tokens + r->done;

	tokens -= MIN(cached, tokens);
	r->prefilled = true;
	r->ready = now_ms() + tokens * e->opts->prefill;
}

static bool runnable(const struct run *r)
{
	return r->done < r->limit;
}

static struct run *most_urgent(const struct engine *e)
{
	struct run *best = NULL;

	for (guint i = 0; i < e->queue->len; i++) {
		struct run *r = e->queue->pdata[i];

		if (!r->in_batch && runnable(r) &&
		    (!best || r->priority < best->priority))
			best = r;
	}
	return best;
}

static int batch_size(const struct engine *e)
{
	int n = 0;

	for (guint i = 0; i < e->queue->len; i++)
		n += ((struct run *)e->queue->pdata[i])->in_batch;
	return n;
}

static int fill_batch(struct engine *e)
{
	int n = batch_size(e);
	struct run *r;

	while (n < e->opts->batch && (r = most_urgent(e))) {
		r->in_batch = true;
		if (r->ready == 0)
			prefill(e, r);
		n++;
	}
	return n;
}

static double step_time(const struct engine *e, int batch)
{
	return e->opts->step + e->opts->step_run * batch;
}

static void schedule_step(struct engine *e)
{
	int n = fill_batch(e);
	struct timeval tv = timeval_ms(step_time(e, n));

	e->stepping = n > 0;
	if (n)
		evtimer_add(e->step, &tv);
}

static void tell_limit(struct run *r)
{
	r->in_batch = false;
	if (!r->limit_told)
		exchange_event(r->x, "{\"at_limit\":%u}", r->done);
	r->limit_told = true;
}

/* One token; the run may end with it. */
static void run_step(struct engine *e, struct run *r, double now)
{
	char token[ANSWER_TOKEN_MAX];

	if (!r->in_batch || now < r->ready)
		return;
	if (r->done < r->answer.length) {
		answer_token(&r->answer, r->done, token);
		exchange_event(r->x, "{\"offset\":%u,\"text\":\"%s\"}", r->done,
			       token);
		r->done++;
		e->tokens++;
		r->ready = now + r->answer.slow_ms;
	}
	if (r->done >= r->answer.length) {
		e->ended++;
		run_end(r, "stop");
	} else if (!runnable(r)) {
		tell_limit(r);
	}
}

static void on_step(evutil_socket_t fd, short what, void *ctx)
{
	struct engine *e = ctx;
	double now = now_ms();

	(void)fd;
	(void)what;
	/* Backwards: a run that ends leaves the queue. */
	if (!server_paused(e->server, TARGET_ENGINE))
		for (guint i = e->queue->len; i > 0; i--)
			run_step(e, e->queue->pdata[i - 1], now);
	schedule_step(e);
}

static char *text_of(const json_t *j, const char *name)
{
	const char *s = json_string_value(json_object_get(j, name));

	return g_strdup(s ? s : "");
}

static struct run *run_new(struct engine *e, const json_t *j)
{
	struct run *r = g_new0(struct run, 1);

	r->engine = e;
	r->id = text_of(j, "run");
	r->model = text_of(j, "model");
	r->adapter = text_of(j, "adapter");
	r->done = (uint32_t)json_int(j, "offset");
	r->limit = (uint32_t)json_int(j, "limit");
	r->priority = (int)json_int(j, "priority");
	return r;
}

/* Why it cannot start, or NULL with its memory committed. */
static const char *run_refusal(struct engine *e, const struct run *r)
{
	if (!*r->id || r->limit < r->done)
		return "bad_run";
	if (g_hash_table_contains(e->runs, r->id))
		return "duplicate";
	if (!engine_resident(e, r->model) ||
	    (*r->adapter && !engine_resident(e, r->adapter)))
		return "not_resident";
	if (!engine_commit(e, run_bytes(e, r, r->limit)))
		return "no_memory";
	return NULL;
}

static void note_prompt(struct engine *e, struct pf_str prompt)
{
	uint64_t h = pf_id(prompt);

	if (g_hash_table_size(e->prompts) < PROMPTS_MAX)
		g_hash_table_add(e->prompts, g_memdup2(&h, sizeof(h)));
}

static void run_start(struct engine *e, struct exchange *x, struct run *r,
		      struct pf_str prompt, const char *prior)
{
	struct pf_str before = pf_str_c(prior);

	answer_init(&r->answer, pf_str_c(r->model), pf_str_c(r->adapter),
		    prompt);
	if (answer_match(&r->answer, before) != (int64_t)r->done)
		e->prior_mismatch++;
	r->prefilled = prefix_cached(e, r, prompt);
	r->x = x;
	x->closed = run_gone;
	x->ctx = r;
	e->started++;
	note_prompt(e, prompt);
	g_hash_table_insert(e->runs, r->id, r);
	g_ptr_array_add(e->queue, r);
	exchange_stream(x);
	if (!runnable(r))
		tell_limit(r);
	if (!e->stepping)
		schedule_step(e);
}

static bool crashes(const struct engine *e, const char *prompt)
{
	const char *match = e->server->faults[TARGET_ENGINE].crash_on;

	return (match && strstr(prompt, match)) ||
	       (e->opts->crash_on && strstr(prompt, e->opts->crash_on));
}

static void handle_run(void *self, struct exchange *x)
{
	struct engine *e = self;
	json_t *j = exchange_json(x);
	struct run *r = run_new(e, j);
	char *prompt = text_of(j, "prompt");
	char *prior = text_of(j, "prior");
	const char *refusal;

	json_decref(j);
	if (crashes(e, prompt))
		_exit(EXIT_CRASHED);
	r->prompt_tokens = answer_tokens_of(strlen(prompt));
	refusal = run_refusal(e, r);
	if (refusal) {
		run_free(r);
		exchange_error(x, 409, refusal);
	} else {
		run_start(e, x, r, pf_str_c(prompt), prior);
	}
	g_free(prompt);
	g_free(prior);
}

static void handle_resume(struct engine *e, struct exchange *x, struct run *r)
{
	json_t *j = exchange_json(x);
	uint32_t limit = (uint32_t)json_int(j, "limit");

	json_decref(j);
	if (limit > r->limit) {
		if (!engine_commit(e, run_bytes(e, r, limit) -
					      run_bytes(e, r, r->limit))) {
			exchange_error(x, 409, "no_memory");
			return;
		}
		r->limit = limit;
		r->limit_told = false;
	}
	exchange_ok(x);
	if (!e->stepping)
		schedule_step(e);
}

/* POST /engine/run/ID/resume and /engine/run/ID/cancel */
static void handle_run_call(void *self, struct exchange *x)
{
	struct engine *e = self;
	char **part = g_strsplit(x->rest, "/", 2);
	struct run *r = part[0] ? g_hash_table_lookup(e->runs, part[0]) : NULL;
	const char *call = part[0] && part[1] ? part[1] : "";

	if (!r) {
		exchange_error(x, 404, "no_run");
	} else if (!strcmp(call, "resume")) {
		handle_resume(e, x, r);
	} else if (!strcmp(call, "cancel")) {
		e->cancelled++;
		run_end(r, "cancelled");
		exchange_ok(x);
	} else {
		exchange_error(x, 404, "no_such_page");
	}
	g_strfreev(part);
}

static json_t *inventory(const struct engine *e)
{
	json_t *runs = json_array();

	for (guint i = 0; i < e->queue->len; i++) {
		const struct run *r = e->queue->pdata[i];

		json_array_append_new(runs, json_pack("{sssi}", "run", r->id,
						      "total", (int)r->done));
	}
	return json_pack("{sssIsIsoso}", "boot", e->boot, "memory",
			 (json_int_t)e->opts->memory, "used",
			 (json_int_t)e->used, "items", engine_items_json(e),
			 "runs", runs);
}

static void take_snapshot(evutil_socket_t fd, short what, void *ctx)
{
	struct engine *e = ctx;
	struct timeval tv = timeval_ms(e->opts->lag);
	int n = batch_size(e);

	(void)fd;
	(void)what;
	json_decref(e->load);
	e->load = json_pack("{sisisfsf}", "running", n, "waiting",
			    (int)e->queue->len - n, "step_ms", step_time(e, n),
			    "prefill_token_ms", e->opts->prefill);
	e->load_at = now_ms();
	evtimer_add(e->snapshot, &tv);
}

static void handle_load(void *self, struct exchange *x)
{
	struct engine *e = self;
	json_t *j = json_copy(e->load);

	json_object_set_new(j, "age_ms",
			    json_integer((json_int_t)(now_ms() - e->load_at)));
	exchange_reply_json(x, 200, j);
}

static void handle_inventory(void *self, struct exchange *x)
{
	exchange_reply_json(x, 200, inventory(self));
}

/* The hashes of the prompts that ran, for checks of "not run". */
static void handle_prompts(void *self, struct exchange *x)
{
	struct engine *e = self;
	json_t *prompts = json_array();
	GHashTableIter i;
	void *h;

	g_hash_table_iter_init(&i, e->prompts);
	while (g_hash_table_iter_next(&i, &h, NULL)) {
		char hex[17];

		snprintf(hex, sizeof(hex), "%016" PRIx64, *(uint64_t *)h);
		json_array_append_new(prompts, json_string(hex));
	}
	exchange_reply_json(x, 200, json_pack("{so}", "prompts", prompts));
}

static json_t *state(void *self)
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
		{ "/engine/run", TARGET_ENGINE, handle_run },
		{ "/engine/orders", TARGET_ENGINE, engine_order },
		{ "/engine/inventory", TARGET_ENGINE, handle_inventory },
		{ "/engine/load", TARGET_ENGINE, handle_load },
		{ "/admin/prompts", TARGET_NONE, handle_prompts },
		{ "", TARGET_NONE, NULL },
	};
	struct engine *e = g_new0(struct engine, 1);

	e->server = s;
	e->opts = o;
	snprintf(e->boot, sizeof(e->boot), "%08x%08x", g_random_int(),
		 g_random_int());
	e->items = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					 engine_item_free);
	e->runs = g_hash_table_new(g_str_hash, g_str_equal);
	e->queue = g_ptr_array_new();
	e->prompts = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					   NULL);
	g_queue_init(&e->prefixes);
	e->step = evtimer_new(s->base, on_step, e);
	e->snapshot = evtimer_new(s->base, take_snapshot, e);
	take_snapshot(-1, 0, e);
	s->routes = routes;
	s->state = state;
	return e;
}

void engine_free(struct engine *e)
{
	for (guint i = e->queue->len; i > 0; i--)
		run_forget(e->queue->pdata[i - 1]);
	g_ptr_array_free(e->queue, TRUE);
	g_hash_table_destroy(e->runs);
	g_hash_table_destroy(e->items);
	g_hash_table_destroy(e->prompts);
	g_queue_clear_full(&e->prefixes, g_free);
	event_free(e->step);
	event_free(e->snapshot);
	json_decref(e->load);
	g_free(e);
}
