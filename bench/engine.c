/*
 * A simulated engine: continuous batching with chunked prefill, memory
 * accounting, a prefix cache, token limits at which runs pause, and load orders.
 */
#include "bench/bench.h"
#include "bench/figures.h"

#include <stdlib.h>
#include <string.h>

#define SEQUENCES_MAX 128
#define ITEMS_MAX 256
#define ORDERS_MAX 64

enum { EVENT_STEP, EVENT_ORDER, EVENT_CANCELLED };

struct run {
	struct pf_try id;
	const struct request *request;
	uint64_t model;
	uint32_t produced;
	uint32_t limit; /* the run pauses here until a grant raises it */
	uint32_t prefill; /* tokens left to prefill */
	int64_t kv_token_bytes;
	bool used;
	bool cancelled;
};

struct item {
	uint64_t id;
	int64_t bytes;
	enum pf_item_state state;
	bool adapter;
};

struct order {
	uint64_t id;
	uint64_t item;
	bool load;
	bool adapter;
};

struct engine {
	struct bench *b;
	const struct pf_config *config;
	uint32_t agent;
	int64_t memory_bytes;
	struct run runs[SEQUENCES_MAX];
	struct item items[ITEMS_MAX];
	uint32_t n_items;
	struct order orders[ORDERS_MAX];
	uint64_t prefixes[PREFIX_CACHE_SLOTS];
	uint32_t next_prefix;
	/* The chunk of steps in flight. */
	uint32_t step_generation; /* raised when the end moves */
	pf_ms step_began_at;
	double step_ms;
	uint32_t steps_in_flight; /* 0: idle */
	uint32_t boot_generation; /* raised by a crash to drop old events */
	bool down;
	bool inventory_requested;
	uint64_t overcommits, model_loads, adapter_loads;
};

struct engine *engine_new(struct bench *b, uint32_t agent,
			  const struct pf_config *c, int64_t memory)
{
	struct engine *e = calloc(1, sizeof(*e));

	if (!e)
		abort();
	e->b = b;
	e->agent = agent;
	e->config = c;
	e->memory_bytes = memory;
	return e;
}

void engine_free(struct engine *e)
{
	free(e);
}

static struct item *item_find(struct engine *e, uint64_t id)
{
	for (uint32_t i = 0; i < e->n_items; i++)
		if (e->items[i].id == id)
			return &e->items[i];
	return NULL;
}

static struct item *item_add(struct engine *e, uint64_t id, int64_t bytes,
			     enum pf_item_state state, bool adapter)
{
	struct item *it = item_find(e, id);

	if (!it)
		it = &e->items[e->n_items++];
	*it = (struct item){ id, bytes, state, adapter };
	return it;
}

static void item_del(struct engine *e, struct item *it)
{
	*it = e->items[--e->n_items];
}

static void check_memory(struct engine *e)
{
	int64_t used = 0;

	for (uint32_t i = 0; i < e->n_items; i++)
		used += e->items[i].bytes;
	for (uint32_t i = 0; i < SEQUENCES_MAX; i++)
		if (e->runs[i].used)
			used += (int64_t)(e->runs[i]
						  .request->work.prompt_tokens +
					  e->runs[i].limit) *
				e->runs[i].kv_token_bytes;
	e->overcommits += used > e->memory_bytes;
}

static void schedule(struct engine *e, pf_ms delay, uint32_t event,
		     uint64_t arg)
{
	bench_schedule_engine(e->b, e->agent, delay,
			      event | e->boot_generation << 8, arg);
}

/* Sums up the batch; max_steps: until the first run reaches its limit. */
static void batch_shape(const struct engine *e, uint32_t *decoding,
			uint32_t *prefill, uint32_t *models,
			uint32_t *max_steps)
{
	uint64_t seen[SEQUENCES_MAX];
	uint32_t n = 0;

	*decoding = 0;
	*prefill = 0;
	*max_steps = CHUNK_STEPS;
	for (uint32_t i = 0; i < SEQUENCES_MAX; i++) {
		const struct run *r = &e->runs[i];
		uint32_t goal, k = 0;

		if (!r->used || r->cancelled)
			continue;
		goal = r->limit < r->request->output_tokens
			       ? r->limit
			       : r->request->output_tokens;
		if (r->prefill)
			*prefill += r->prefill;
		else if (r->produced >= goal)
			continue;
		else
			++*decoding;
		if (!r->prefill && goal - r->produced < *max_steps)
			*max_steps = goal - r->produced;
		while (k < n && seen[k] != r->model)
			k++;
		if (k == n)
			seen[n++] = r->model;
	}
	*models = n;
}

/* Starts the next chunk of steps if there is work. */
static void step_begin(struct engine *e)
{
	uint32_t decoding, prefill, models, max_steps;

	if (e->down || e->steps_in_flight)
		return;
	batch_shape(e, &decoding, &prefill, &models, &max_steps);
	if (models == 0)
		return;
	e->step_ms = STEP_BASE_MS + STEP_MODEL_MS * (models - 1) +
		     STEP_SEQUENCE_MS * decoding;
	e->steps_in_flight = max_steps;
	if (prefill) {
		uint32_t part = prefill < PREFILL_STEP_TOKENS
					? prefill
					: PREFILL_STEP_TOKENS;

		e->step_ms += part * PREFILL_TOKEN_MS;
		e->steps_in_flight = 1;
	}
	e->step_began_at = bench_now(e->b);
	e->step_generation++;
	schedule(e, (pf_ms)(e->step_ms * e->steps_in_flight + 0.5), EVENT_STEP,
		 e->step_generation);
}

/* Ends the chunk at the next step, so that a new run can join there. */
static void step_shorten(struct engine *e)
{
	double done;
	uint32_t steps;

	if (e->steps_in_flight <= 1)
		return;
	done = (double)(bench_now(e->b) - e->step_began_at) / e->step_ms;
	steps = (uint32_t)done + 1;
	if (steps >= e->steps_in_flight)
		return;
	e->steps_in_flight = steps;
	e->step_generation++;
	schedule(e, (pf_ms)((steps - done) * e->step_ms + 0.5), EVENT_STEP,
		 e->step_generation);
}

static void run_end(struct engine *e, struct run *r, enum pf_finish_reason end)
{
	struct pf_agent_msg m = { .type = PF_AGENT_RUN_END };

	m.u.end.id = r->id;
	m.u.end.finish_reason = end;
	m.u.end.total = r->produced;
	r->used = false;
	bench_send_to_agent(e->b, e->agent, &m);
}

static void run_produce(struct engine *e, struct run *r, uint32_t steps)
{
	uint32_t goal = r->limit < r->request->output_tokens
				? r->limit
				: r->request->output_tokens;
	uint32_t n = goal - r->produced < steps ? goal - r->produced : steps;
	struct pf_agent_msg m = { .type = PF_AGENT_TOKENS };

	if (goal <= r->produced)
		n = 0;
	if (n) {
		m.u.tokens.id = r->id;
		m.u.tokens.offset = r->produced;
		m.u.tokens.count = n;
		r->produced += n;
		bench_send_to_agent(e->b, e->agent, &m);
	}
	/* The agent may have stopped the run on these tokens. */
	if (!r->used || r->cancelled || r->produced < r->request->output_tokens)
		return;
	run_end(e, r,
		r->produced >= r->request->work.max_tokens ? PF_FINISH_LIMIT
							   : PF_FINISH_STOP);
}

/* Prefills runs of one priority; returns the tokens left of @budget. */
static uint32_t prefill_priority(struct engine *e, uint8_t priority,
				 uint32_t budget)
{
	for (uint32_t i = 0; i < SEQUENCES_MAX; i++) {
		struct run *r = &e->runs[i];
		uint32_t part = r->prefill < budget ? r->prefill : budget;

		if (!r->used || r->cancelled ||
		    r->request->work.priority != priority)
			continue;
		r->prefill -= part;
		budget -= part;
	}
	return budget;
}

static void step_end(struct engine *e)
{
	uint32_t steps = e->steps_in_flight;
	uint32_t budget = PREFILL_STEP_TOKENS;

	e->steps_in_flight = 0;
	for (uint32_t i = 0; i < SEQUENCES_MAX; i++) {
		struct run *r = &e->runs[i];

		if (r->used && !r->cancelled && !r->prefill)
			run_produce(e, r, steps);
	}
	for (uint8_t p = 0; p < PF_PRIORITIES; p++)
		budget = prefill_priority(e, p, budget);
	step_begin(e);
}

static bool prefix_hit(struct engine *e, uint64_t prefix)
{
	if (!prefix)
		return false;
	for (uint32_t i = 0; i < PREFIX_CACHE_SLOTS; i++)
		if (e->prefixes[i] == prefix)
			return true;
	e->prefixes[e->next_prefix++ % PREFIX_CACHE_SLOTS] = prefix;
	return false;
}

static struct run *run_find(struct engine *e, struct pf_try id)
{
	for (uint32_t i = 0; i < SEQUENCES_MAX; i++)
		if (e->runs[i].used && e->runs[i].id.request == id.request &&
		    e->runs[i].id.attempt == id.attempt)
			return &e->runs[i];
	return NULL;
}

static void run_start(struct engine *e, const struct pf_agent_act *a)
{
	const struct pf_work *w = a->u.run.work;
	struct run *r = e->runs;

	while (r->used)
		r++;
	memset(r, 0, sizeof(*r));
	r->used = true;
	r->id = a->u.run.id;
	r->request = bench_request(e->b, r->id.request);
	r->model = w->model;
	r->kv_token_bytes =
		pf_config_model(e->config, w->model)->kv_token_bytes;
	r->produced = a->u.run.offset;
	r->limit = a->u.run.limit;
	r->prefill = w->prompt_tokens + a->u.run.offset;
	if (prefix_hit(e, w->prefix))
		r->prefill -=
			(uint32_t)(w->prompt_tokens * PREFIX_SHARED_FRACTION);
	check_memory(e);
	step_shorten(e);
	step_begin(e);
}

static void order_start(struct engine *e, const struct pf_agent_act *a,
			bool load)
{
	bool adapter = pf_config_adapter(e->config, a->u.order.item) != NULL;
	struct item *it = item_find(e, a->u.order.item);
	pf_ms delay = UNLOAD_MS;
	uint32_t i = 0;

	while (e->orders[i].id)
		i++;
	e->orders[i] =
		(struct order){ a->u.order.id, a->u.order.item, load, adapter };
	if (load) {
		item_add(e, a->u.order.item, a->u.order.bytes, PF_ITEM_LOADING,
			 adapter);
		delay = bench_load_begin(e->b, a->u.order.item,
					 a->u.order.bytes, adapter) -
			bench_now(e->b);
		e->model_loads += !adapter;
		e->adapter_loads += adapter;
		check_memory(e);
	} else if (it) {
		it->state = PF_ITEM_UNLOADING;
	}
	schedule(e, delay, EVENT_ORDER, i);
}

static void send_inventory(struct engine *e)
{
	struct pf_agent_item items[ITEMS_MAX];
	struct pf_agent_msg m = { .type = PF_AGENT_ENGINE_UP };

	e->inventory_requested = false;
	for (uint32_t i = 0; i < e->n_items; i++) {
		items[i].id = e->items[i].id;
		items[i].state = e->items[i].state;
		items[i].bytes = e->items[i].bytes;
		m.u.inventory.used_bytes += e->items[i].bytes;
	}
	m.u.inventory.items = items;
	m.u.inventory.n_items = e->n_items;
	bench_send_to_agent(e->b, e->agent, &m);
}

/* An inventory request is answered after all earlier orders. */
static void send_inventory_if_idle(struct engine *e)
{
	if (!e->inventory_requested)
		return;
	for (uint32_t i = 0; i < ORDERS_MAX; i++)
		if (e->orders[i].id)
			return;
	send_inventory(e);
}

static void order_end(struct engine *e, uint32_t i)
{
	struct order o = e->orders[i];
	struct item *it = item_find(e, o.item);
	struct pf_agent_msg m = { .type = PF_AGENT_ORDER_DONE };

	e->orders[i].id = 0;
	if (o.load)
		bench_load_end(e->b, o.adapter);
	if (it && o.load)
		it->state = PF_ITEM_RESIDENT;
	else if (it)
		item_del(e, it);
	m.u.order.id = o.id;
	m.u.order.ok = true;
	bench_send_to_agent(e->b, e->agent, &m);
	send_inventory_if_idle(e);
}

void engine_apply(struct engine *e, const struct pf_agent_act *a)
{
	struct run *r;

	if (e->down)
		return;
	switch (a->type) {
	case PF_AGENT_RUN:
		run_start(e, a);
		break;
	case PF_AGENT_GRANT:
		r = run_find(e, a->u.run.id);
		if (!r)
			break;
		r->limit = a->u.run.limit;
		check_memory(e);
		schedule(e, 0, EVENT_STEP, 0);
		break;
	case PF_AGENT_STOP:
		r = run_find(e, a->u.id);
		if (!r || r->cancelled)
			break;
		r->cancelled = true;
		schedule(e, 1, EVENT_CANCELLED, (uint64_t)(r - e->runs));
		break;
	case PF_AGENT_LOAD:
	case PF_AGENT_UNLOAD:
		order_start(e, a, a->type == PF_AGENT_LOAD);
		break;
	case PF_AGENT_INVENTORY:
		e->inventory_requested = true;
		schedule(e, 1, EVENT_ORDER, ORDERS_MAX);
		break;
	default:
		break;
	}
}

void engine_event(struct engine *e, uint32_t event, uint64_t arg)
{
	if (e->down || event >> 8 != e->boot_generation)
		return;
	switch (event & 0xff) {
	case EVENT_STEP:
		if (arg == 0)
			step_begin(e);
		else if (arg == e->step_generation && e->steps_in_flight)
			step_end(e);
		break;
	case EVENT_ORDER:
		if (arg < ORDERS_MAX)
			order_end(e, (uint32_t)arg);
		else
			send_inventory_if_idle(e);
		break;
	case EVENT_CANCELLED:
		if (e->runs[arg].used && e->runs[arg].cancelled)
			run_end(e, &e->runs[arg], PF_FINISH_CANCELLED);
		break;
	default:
		break;
	}
}

void engine_crash(struct engine *e)
{
	struct pf_agent_msg m = { .type = PF_AGENT_ENGINE_DOWN };

	for (uint32_t i = 0; i < ORDERS_MAX; i++)
		if (e->orders[i].id && e->orders[i].load)
			bench_load_end(e->b, e->orders[i].adapter);
	memset(e->runs, 0, sizeof(e->runs));
	memset(e->orders, 0, sizeof(e->orders));
	memset(e->prefixes, 0, sizeof(e->prefixes));
	e->n_items = 0;
	e->steps_in_flight = 0;
	e->inventory_requested = false;
	e->boot_generation++;
	e->down = true;
	bench_send_to_agent(e->b, e->agent, &m);
}

void engine_start(struct engine *e)
{
	e->down = false;
	send_inventory(e);
}

void engine_preload(struct engine *e, uint64_t item, int64_t bytes,
		    bool adapter)
{
	item_add(e, item, bytes, PF_ITEM_RESIDENT, adapter);
}

uint64_t engine_overcommits(const struct engine *e)
{
	return e->overcommits;
}

uint64_t engine_loads(const struct engine *e, bool adapters)
{
	return adapters ? e->adapter_loads : e->model_loads;
}
