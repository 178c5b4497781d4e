/* The world: virtual time, messages with delays, faults, and the result. */
#include "bench/bench.h"
#include "bench/figures.h"
#include "bench/homes.h"
#include "pimentoford/place.h"

#include <stdlib.h>
#include <string.h>

#define ENTRIES 3
#define AGENTS_MAX 64
#define EVENTS_MAX 400000
#define REQUESTS_MAX 2000000
#define TICK_NONE INT64_MAX
#define DRAIN_MS 120000 /* after the last arrival */
#define FAULT_EVERY_MS 40000.0
#define REPORT_LOSS 0.1 /* with faults */
#define LINK_DOWN_MS 500 /* until an end sees that the other is gone */
#define LINK_CUT_MS 5000
#define STORE_AWAY_MS 30000
#define DEMAND_EVERY_MS 1000
#define MODELS_MAX 512

enum event_type {
	EV_ARRIVE,
	EV_TO_ENTRY,
	EV_TO_AGENT,
	EV_ENTRY_TICK,
	EV_AGENT_TICK,
	EV_ENGINE,
	EV_FAULT,
	EV_ENGINE_START,
	EV_VM_START,
	EV_LINK_UP,
	EV_DEMAND,
	EV_PLACE,
	EV_PLACE_TICK,
};

struct event {
	enum event_type type;
	uint32_t entry;
	uint32_t agent;
	uint32_t link; /* generation of the link; messages of old ones drop */
	uint32_t what;
	uint64_t arg;
	union {
		struct pf_entry_msg entry_msg;
		struct pf_agent_msg agent_msg;
	} u;
	struct pf_item *items; /* owned, of a report */
	uint64_t *wants; /* owned, of a placement */
};

struct agent {
	struct bench *b;
	struct pf_agent *core;
	struct engine *engine;
	const struct pf_endpoint *endpoint;
	uint64_t incarnation;
	pf_ms tick;
	bool down;
	bool draining;
	struct homes homes;
};

struct entry {
	struct bench *b;
	struct pf_entry *core;
	const char *zone;
	const char *region;
	pf_ms tick;
};

struct bench {
	const struct bench_opts *o;
	struct bench_result *r;
	struct pf_rng rng; /* engines and network */
	struct pf_rng demand_rng;
	struct pf_heap timers;
	struct event *events; /* EVENTS_MAX slots */
	uint32_t *free;
	uint32_t n_free;
	uint32_t order;
	pf_ms now;
	struct entry entries[ENTRIES];
	struct agent agents[AGENTS_MAX];
	uint32_t n_agents;
	struct pf_placement *place; /* the planner, beside the first entry */
	pf_ms place_tick;
	uint32_t links[ENTRIES][AGENTS_MAX]; /* generation */
	bool linked[ENTRIES][AGENTS_MAX];
	struct request *requests;
	uint64_t n_requests;
	struct demand *demand;
	struct request next;
	/* The weight store. */
	pf_ms store_next;
	pf_ms store_away_until;
	uint32_t store_inflight;
	uint32_t adapters_inflight;
	pf_ms store_slots[64]; /* when each slot is free */
};

pf_ms bench_now(const struct bench *b)
{
	return b->now;
}

struct pf_rng *bench_rng(struct bench *b)
{
	return &b->rng;
}

const struct request *bench_request(const struct bench *b, uint64_t id)
{
	return &b->requests[id - 1];
}

/* Events of one millisecond keep the order in which they were pushed. */
static struct event *push(struct bench *b, pf_ms delay, enum event_type type)
{
	uint32_t slot;
	struct event *e;

	if (b->n_free == 0)
		abort();
	slot = b->free[--b->n_free];
	e = &b->events[slot];
	memset(e, 0, sizeof(*e));
	e->type = type;
	pf_heap_set(&b->timers, slot, ((b->now + delay) << 32) | b->order++);
	return e;
}

void bench_later(struct bench *b, uint32_t agent, pf_ms delay, uint32_t what,
		 uint64_t arg)
{
	struct event *e = push(b, delay, EV_ENGINE);

	e->agent = agent;
	e->what = what;
	e->arg = arg;
}

/* Loads start at the store's rate and share its slots. */
static pf_ms model_load(struct bench *b, int64_t bytes)
{
	const struct pf_deployment *d = &b->o->config->deployment;
	uint32_t slot = 0;
	pf_ms start = b->now;

	for (uint32_t i = 1; i < d->store_inflight && i < 64; i++)
		if (b->store_slots[i] < b->store_slots[slot])
			slot = i;
	if (start < b->store_next)
		start = b->store_next;
	if (start < b->store_slots[slot])
		start = b->store_slots[slot];
	if (start < b->store_away_until)
		start = b->store_away_until;
	b->store_next = start + (pf_ms)(1000 / d->store_loads_rate);
	b->store_slots[slot] = start + (pf_ms)((double)bytes / LOAD_BYTES_MS);
	return b->store_slots[slot];
}

pf_ms bench_load_time(struct bench *b, uint64_t item, int64_t bytes,
		      bool adapter)
{
	uint32_t knee = b->o->config->deployment.adapter_knee;
	pf_ms ms;

	(void)item;
	if (!adapter)
		return model_load(b, bytes);
	b->adapters_inflight++;
	ms = ADAPTER_MS_MIN + pf_rng_below(&b->rng, ADAPTER_MS_SPAN);
	if (b->adapters_inflight > knee)
		ms = ms * b->adapters_inflight / knee;
	return b->now + ms;
}

void bench_load_end(struct bench *b, bool adapter)
{
	if (adapter)
		b->adapters_inflight--;
}

static pf_ms latency(const struct bench *b, uint32_t entry, uint32_t agent)
{
	const struct entry *e = &b->entries[entry];
	const struct pf_endpoint *p = b->agents[agent].endpoint;

	if (b->o->policy->clairvoyant)
		return 0;
	if (!pf_str_eq(pf_str_c(e->region), pf_str_c(p->region)))
		return b->o->region_ms;
	if (!pf_str_eq(pf_str_c(e->zone), pf_str_c(p->zone)))
		return b->o->zone_ms;
	return 0;
}

static struct event *to_entry(struct bench *b, uint32_t entry, uint32_t agent,
			      enum pf_entry_msg_type type)
{
	struct event *e = push(b, latency(b, entry, agent), EV_TO_ENTRY);

	e->entry = entry;
	e->agent = agent;
	e->link = b->links[entry][agent];
	e->u.entry_msg.type = type;
	e->u.entry_msg.agent = b->agents[agent].endpoint->id;
	return e;
}

static void send_report(struct bench *b, uint32_t agent,
			const struct pf_report *r)
{
	for (uint32_t i = 0; i < ENTRIES; i++) {
		struct event *e;

		if (!b->linked[i][agent] ||
		    (b->o->faults && pf_rng_unit(&b->rng) < REPORT_LOSS))
			continue;
		e = to_entry(b, i, agent, PF_ENTRY_REPORT);
		e->u.entry_msg.u.report = *r;
		e->items = calloc(r->n_items + 1, sizeof(*e->items));
		if (!e->items)
			abort();
		memcpy(e->items, r->items, r->n_items * sizeof(*e->items));
		e->u.entry_msg.u.report.items = e->items;
	}
}

static void agent_emit(void *ctx, const struct pf_agent_act *a)
{
	struct agent *ag = ctx;
	struct bench *b = ag->b;
	uint32_t i = (uint32_t)(ag - b->agents);
	uint32_t n = (uint32_t)a->entry - 1;
	struct event *e;

	switch (a->type) {
	case PF_AGENT_STARTED:
		e = to_entry(b, n, i, PF_ENTRY_STARTED);
		e->u.entry_msg.u.id = a->u.id;
		break;
	case PF_AGENT_PIECE:
		e = to_entry(b, n, i, PF_ENTRY_PIECE);
		e->u.entry_msg.u.tokens.id = a->u.tokens.id;
		e->u.entry_msg.u.tokens.offset = a->u.tokens.offset;
		e->u.entry_msg.u.tokens.count = a->u.tokens.count;
		break;
	case PF_AGENT_DONE:
		e = to_entry(b, n, i, PF_ENTRY_DONE);
		e->u.entry_msg.u.done.id = a->u.done.id;
		e->u.entry_msg.u.done.total = a->u.done.total;
		e->u.entry_msg.u.done.error = a->u.done.end == PF_END_ERROR;
		break;
	case PF_AGENT_NOT_RUN:
		e = to_entry(b, n, i, PF_ENTRY_NOT_RUN);
		e->u.entry_msg.u.not_run.id = a->u.not_run.id;
		e->u.entry_msg.u.not_run.reason = a->u.not_run.reason;
		e->u.entry_msg.u.not_run.retry_after = a->u.not_run.retry_after;
		break;
	case PF_AGENT_REVOKED:
		e = to_entry(b, n, i, PF_ENTRY_REVOKED);
		e->u.entry_msg.u.id = a->u.id;
		break;
	case PF_AGENT_LOST:
		e = to_entry(b, n, i, PF_ENTRY_LOST);
		e->u.entry_msg.u.lost.id = a->u.lost.id;
		e->u.entry_msg.u.lost.reason = a->u.lost.reason;
		break;
	case PF_AGENT_REPORT:
		send_report(b, i, &a->u.report);
		break;
	default:
		engine_act(ag->engine, a);
		break;
	}
}

/* Plans the tick that the core asks for, unless an earlier one stands. */
static void tick_agent(struct bench *b, uint32_t i)
{
	struct agent *ag = &b->agents[i];
	pf_ms next = pf_agent_next(ag->core);

	if (next >= ag->tick)
		return;
	ag->tick = next;
	push(b, next > b->now ? next - b->now : 0, EV_AGENT_TICK)->agent = i;
}

void bench_to_agent(struct bench *b, uint32_t agent,
		    const struct pf_agent_msg *m)
{
	struct agent *ag = &b->agents[agent];
	struct pf_agent_sink sink = { agent_emit, ag };

	if (ag->down)
		return;
	pf_agent_step(ag->core, b->now, m, &sink);
	tick_agent(b, agent);
}

static void deliver(struct bench *b, uint32_t count, uint64_t request)
{
	struct request *r = &b->requests[request - 1];

	if (r->got == 0)
		r->first_at = b->now + b->o->client_ms;
	r->got += count;
	r->last_at = b->now + b->o->client_ms;
	b->r->tokens += count;
}

static void entry_emit(void *ctx, const struct pf_entry_act *a)
{
	struct entry *en = ctx;
	struct bench *b = en->b;
	uint32_t n = (uint32_t)(en - b->entries);
	uint32_t i = 0;
	struct event *e;
	struct request *r;

	while (a->agent && b->agents[i].endpoint->id != a->agent)
		i++;
	switch (a->type) {
	case PF_ENTRY_TRY:
	case PF_ENTRY_REVOKE:
	case PF_ENTRY_CANCEL:
		e = push(b, latency(b, n, i), EV_TO_AGENT);
		e->entry = n;
		e->agent = i;
		e->link = b->links[n][i];
		e->u.agent_msg.entry = n + 1;
		if (a->type == PF_ENTRY_TRY) {
			e->u.agent_msg.type = PF_AGENT_TRY;
			e->u.agent_msg.u.try_.id = a->u.try_.id;
			e->u.agent_msg.u.try_.work = *a->u.try_.work;
			break;
		}
		e->u.agent_msg.type = a->type == PF_ENTRY_REVOKE
					      ? PF_AGENT_REVOKE
					      : PF_AGENT_CANCEL;
		e->u.agent_msg.u.id = a->u.id;
		break;
	case PF_ENTRY_DELIVER:
		r = &b->requests[a->u.deliver.request - 1];
		b->r->crossed += a->u.deliver.offset != r->got;
		deliver(b, a->u.deliver.count, a->u.deliver.request);
		break;
	case PF_ENTRY_END:
		r = &b->requests[a->u.end.request - 1];
		b->r->crossed += r->ended;
		r->ended = true;
		r->reason = a->u.end.reason;
		r->ran = a->u.end.ran;
		r->whole = r->reason == PF_REASON_NONE;
		r->last_at = b->now + b->o->client_ms;
		b->r->incomplete += r->whole && r->got != r->length;
		break;
	default:
		break;
	}
}

static void to_entry_core(struct bench *b, uint32_t i,
			  const struct pf_entry_msg *m)
{
	struct entry *en = &b->entries[i];
	struct pf_entry_sink sink = { entry_emit, en };
	pf_ms next;

	pf_entry_step(en->core, b->now, m, &sink);
	next = pf_entry_next(en->core);
	if (next >= en->tick)
		return;
	en->tick = next;
	push(b, next > b->now ? next - b->now : 0, EV_ENTRY_TICK)->entry = i;
}

static void agent_opts(struct bench *b, struct agent *ag,
		       struct pf_agent_opts *o)
{
	const struct policy *p = b->o->policy;

	pf_agent_opts_default(o);
	o->agent = ag->endpoint->id;
	o->incarnation = ++ag->incarnation;
	o->seed = b->o->seed + ag->endpoint->id;
	o->memory_bytes = ag->endpoint->memory_bytes;
	o->batch_max = ag->endpoint->batch_max;
	o->kv_policy = p->kv;
	o->queue_policy = p->queue;
	o->pause_long = p->pause;
	o->order_timeout = 60000;
	if (p->clairvoyant)
		o->report_every = 10;
}

/* A new agent process beside an engine. */
static void agent_start(struct bench *b, uint32_t i)
{
	struct agent *ag = &b->agents[i];
	struct pf_agent_msg m = { .type = PF_AGENT_CONFIG };
	struct pf_agent_opts o;

	agent_opts(b, ag, &o);
	ag->core = pf_agent_new(&o);
	if (!ag->core)
		abort();
	ag->down = false;
	ag->draining = false;
	ag->tick = TICK_NONE;
	m.u.config = b->o->config;
	bench_to_agent(b, i, &m);
	engine_start(ag->engine);
	if (b->o->policy->placement == PLACEMENT_FIXED) {
		m.type = PF_AGENT_PLACE;
		m.u.place.items = ag->homes.items;
		m.u.place.n_items = ag->homes.n;
		bench_to_agent(b, i, &m);
	}
}

static void link_up(struct bench *b, uint32_t entry, uint32_t agent)
{
	struct event *e;

	if (b->linked[entry][agent] || b->agents[agent].down)
		return;
	b->linked[entry][agent] = true;
	e = to_entry(b, entry, agent, PF_ENTRY_LINK_UP);
	e->u.entry_msg.u.link.incarnation = b->agents[agent].incarnation;
}

/* What was under way is lost; both ends notice. */
static void link_cut(struct bench *b, uint32_t entry, uint32_t agent)
{
	struct event *e;

	if (!b->linked[entry][agent])
		return;
	b->linked[entry][agent] = false;
	b->links[entry][agent]++;
	e = push(b, LINK_DOWN_MS, EV_TO_ENTRY);
	e->entry = entry;
	e->agent = agent;
	e->link = b->links[entry][agent];
	e->u.entry_msg.type = PF_ENTRY_LINK_DOWN;
	e->u.entry_msg.agent = b->agents[agent].endpoint->id;
	e = push(b, LINK_DOWN_MS, EV_TO_AGENT);
	e->entry = entry;
	e->agent = agent;
	e->link = b->links[entry][agent];
	e->u.agent_msg.type = PF_AGENT_ENTRY_DOWN;
	e->u.agent_msg.entry = entry + 1;
}

static void engine_stats(struct bench *b, struct agent *ag)
{
	struct pf_agent_stats s;

	pf_agent_stats(ag->core, &s);
	b->r->pauses += s.paused;
}

static void vm_kill(struct bench *b, uint32_t i)
{
	struct agent *ag = &b->agents[i];

	engine_crash(ag->engine);
	engine_stats(b, ag);
	pf_agent_free(ag->core);
	ag->core = NULL;
	ag->down = true;
	for (uint32_t n = 0; n < ENTRIES; n++)
		link_cut(b, n, i);
	push(b, RESTART_MS, EV_VM_START)->agent = i;
}

static void vm_start(struct bench *b, uint32_t i)
{
	agent_start(b, i);
	for (uint32_t n = 0; n < ENTRIES; n++)
		link_up(b, n, i);
}

/* A planned stop: the VM leaves once it is empty and comes back anew. */
static void vm_leave(struct bench *b, uint32_t i)
{
	struct pf_agent_msg m = { .type = PF_AGENT_DRAIN };

	b->agents[i].draining = true;
	for (uint32_t n = 0; n < ENTRIES; n++)
		if (b->linked[n][i])
			to_entry(b, n, i, PF_ENTRY_LEAVING);
	bench_to_agent(b, i, &m);
}

static void fault(struct bench *b)
{
	uint32_t i = pf_rng_below(&b->rng, b->n_agents);
	uint32_t n = pf_rng_below(&b->rng, ENTRIES);
	struct event *e;

	push(b, (pf_ms)(FAULT_EVERY_MS * 2 * pf_rng_unit(&b->rng)) + 1,
	     EV_FAULT);
	if (b->agents[i].down || b->agents[i].draining)
		return;
	b->r->crashes++;
	switch (pf_rng_below(&b->rng, 5)) {
	case 0:
		engine_crash(b->agents[i].engine);
		push(b, RESTART_MS, EV_ENGINE_START)->agent = i;
		break;
	case 1:
		vm_kill(b, i);
		break;
	case 2:
		link_cut(b, n, i);
		e = push(b, LINK_CUT_MS, EV_LINK_UP);
		e->entry = n;
		e->agent = i;
		break;
	case 3:
		b->store_away_until = b->now + STORE_AWAY_MS;
		break;
	default:
		vm_leave(b, i);
		break;
	}
}

/* A drained VM is gone at once; a new one takes its place. */
static void leave_maybe(struct bench *b, uint32_t i)
{
	struct pf_agent_stats s;

	if (!b->agents[i].draining || b->agents[i].down)
		return;
	pf_agent_stats(b->agents[i].core, &s);
	if (s.running == 0 && s.queued == 0)
		vm_kill(b, i);
}

static void arrive(struct bench *b)
{
	struct pf_entry_msg m = { .type = PF_ENTRY_ARRIVE };
	struct request *r;
	pf_ms at;

	if (b->n_requests == REQUESTS_MAX)
		abort();
	r = &b->requests[b->n_requests++];
	*r = b->next;
	r->entry = pf_rng_below(&b->demand_rng, ENTRIES);
	m.u.arrive.request = b->n_requests;
	m.u.arrive.work = r->work;
	to_entry_core(b, r->entry, &m);
	at = demand_next(b->demand, b->now, &b->next);
	if (at < b->o->duration)
		push(b, at - b->now, EV_ARRIVE);
}

static void place_emit(void *ctx, const struct pf_place_act *a)
{
	struct bench *b = ctx;
	uint32_t i = 0;
	struct event *e;

	while (b->agents[i].endpoint->id != a->agent)
		i++;
	e = push(b, latency(b, 0, i), EV_PLACE);
	e->agent = i;
	e->wants = calloc(a->n_items + 1, sizeof(*e->wants));
	if (!e->wants)
		abort();
	memcpy(e->wants, a->items, a->n_items * sizeof(*e->wants));
	e->u.agent_msg.type = PF_AGENT_PLACE;
	e->u.agent_msg.u.place.items = e->wants;
	e->u.agent_msg.u.place.n_items = a->n_items;
}

static void to_place(struct bench *b, const struct pf_place_msg *m)
{
	struct pf_place_sink sink = { place_emit, b };

	pf_ms next;

	if (!b->place)
		return;
	pf_place_step(b->place, b->now, m, &sink);
	next = pf_place_next(b->place);
	if (next >= b->place_tick)
		return;
	b->place_tick = next;
	push(b, next > b->now ? next - b->now : 0, EV_PLACE_TICK);
}

/* What the planner hears from the messages to the entry beside it. */
static void place_hears(struct bench *b, const struct event *e)
{
	struct pf_place_msg m = { .type = PF_PLACE_GONE };

	if (e->entry != 0)
		return;
	m.u.agent = e->u.entry_msg.agent;
	if (e->u.entry_msg.type == PF_ENTRY_REPORT) {
		m.type = PF_PLACE_REPORT;
		m.u.report = e->u.entry_msg.u.report;
		to_place(b, &m);
	} else if (e->u.entry_msg.type == PF_ENTRY_LEAVING ||
		   e->u.entry_msg.type == PF_ENTRY_LINK_DOWN) {
		to_place(b, &m);
	}
}

static void demand_round(struct bench *b)
{
	struct pf_demand v[MODELS_MAX];
	struct pf_place_msg m = { .type = PF_PLACE_DEMAND };

	for (uint32_t i = 0; i < ENTRIES; i++) {
		m.u.demand.entry = i + 1;
		m.u.demand.v = v;
		m.u.demand.n =
			pf_entry_demand(b->entries[i].core, v, MODELS_MAX);
		to_place(b, &m);
	}
	push(b, DEMAND_EVERY_MS, EV_DEMAND);
}

static void place_start(struct bench *b)
{
	struct pf_place_msg m = { .type = PF_PLACE_CONFIG };
	struct pf_place_opts o;

	if (b->o->policy->placement != PLACEMENT_PLANNED)
		return;
	pf_place_opts_default(&o);
	b->place = pf_place_new(&o);
	if (!b->place)
		abort();
	b->place_tick = TICK_NONE;
	m.u.config = b->o->config;
	to_place(b, &m);
	m.type = PF_PLACE_LEASE;
	m.u.held = true;
	to_place(b, &m);
	push(b, DEMAND_EVERY_MS, EV_DEMAND);
}

static void to_entry_event(struct bench *b, struct event *e)
{
	bool up = e->u.entry_msg.type == PF_ENTRY_LINK_UP;
	struct pf_agent_msg place = { .type = PF_AGENT_TICK };

	if (e->link != b->links[e->entry][e->agent])
		return;
	place_hears(b, e);
	to_entry_core(b, e->entry, &e->u.entry_msg);
	if (up && !b->agents[e->agent].down)
		bench_to_agent(b, e->agent, &place);
}

static void handle(struct bench *b, struct event *e)
{
	struct pf_agent_msg atick = { .type = PF_AGENT_TICK };
	struct pf_entry_msg etick = { .type = PF_ENTRY_TICK };
	struct pf_place_msg ptick = { .type = PF_PLACE_TICK };
	struct agent *ag = &b->agents[e->agent];

	switch (e->type) {
	case EV_ARRIVE:
		arrive(b);
		break;
	case EV_TO_ENTRY:
		to_entry_event(b, e);
		break;
	case EV_TO_AGENT:
		if (e->link == b->links[e->entry][e->agent])
			bench_to_agent(b, e->agent, &e->u.agent_msg);
		break;
	case EV_ENTRY_TICK:
		b->entries[e->entry].tick = TICK_NONE;
		to_entry_core(b, e->entry, &etick);
		break;
	case EV_AGENT_TICK:
		ag->tick = TICK_NONE;
		bench_to_agent(b, e->agent, &atick);
		leave_maybe(b, e->agent);
		break;
	case EV_ENGINE:
		engine_event(ag->engine, e->what, e->arg);
		break;
	case EV_FAULT:
		fault(b);
		break;
	case EV_ENGINE_START:
		if (!ag->down)
			engine_start(ag->engine);
		break;
	case EV_VM_START:
		vm_start(b, e->agent);
		break;
	case EV_LINK_UP:
		link_up(b, e->entry, e->agent);
		break;
	case EV_DEMAND:
		demand_round(b);
		break;
	case EV_PLACE_TICK:
		b->place_tick = TICK_NONE;
		to_place(b, &ptick);
		break;
	case EV_PLACE:
		bench_to_agent(b, e->agent, &e->u.agent_msg);
		break;
	}
}

static void run_until(struct bench *b, pf_ms end)
{
	uint32_t slot;
	pf_ms top;

	while ((top = pf_heap_top(&b->timers, &slot)) != PF_NEVER) {
		struct event e = b->events[slot];

		if (top >> 32 > end)
			break;
		pf_heap_set(&b->timers, slot, PF_NEVER);
		b->free[b->n_free++] = slot;
		b->now = top >> 32;
		handle(b, &e);
		free(e.items);
		free(e.wants);
	}
}

static void entry_start(struct bench *b, uint32_t i)
{
	struct entry *en = &b->entries[i];
	struct pf_entry_msg m = { .type = PF_ENTRY_CONFIG };
	const struct policy *p = b->o->policy;
	struct pf_entry_opts o;

	/* One entry in each availability zone that has engines. */
	en->b = b;
	en->zone = b->agents[i].endpoint->zone;
	en->region = b->agents[i].endpoint->region;
	en->tick = TICK_NONE;
	pf_entry_opts_default(&o);
	o.entry = i + 1;
	o.seed = b->o->seed + i;
	o.zone = en->zone;
	o.region = en->region;
	o.requests_max = 100000;
	o.route = p->route;
	o.depth = p->depth;
	if (p->route != PF_ROUTE_OURS)
		o.overload_slack = 0;
	en->core = pf_entry_new(&o);
	if (!en->core)
		abort();
	m.u.config = b->o->config;
	to_entry_core(b, i, &m);
}

static void preload(struct bench *b, struct agent *ag)
{
	const struct pf_config *c = b->o->config;

	for (uint32_t i = 0; i < ag->homes.n; i++) {
		uint64_t id = ag->homes.items[i];
		const struct pf_model *m = pf_config_model(c, id);
		const struct pf_adapter *a = pf_config_adapter(c, id);

		engine_preload(ag->engine, id, m ? m->weight_bytes : a->bytes,
			       a != NULL);
	}
}

static void agents_start(struct bench *b)
{
	const struct pf_config *c = b->o->config;
	const struct pf_endpoint *engines[AGENTS_MAX];
	struct homes homes[AGENTS_MAX];

	for (size_t i = 0; i < c->n_endpoints; i++)
		if (c->endpoints[i].kind == PF_ENDPOINT_ENGINE &&
		    b->n_agents < AGENTS_MAX)
			engines[b->n_agents++] = &c->endpoints[i];
	homes_fixed(c, engines, b->n_agents, homes);
	for (uint32_t i = 0; i < b->n_agents; i++) {
		struct agent *ag = &b->agents[i];

		ag->b = b;
		ag->endpoint = engines[i];
		ag->homes = homes[i];
		ag->engine = engine_new(b, i, c, engines[i]->memory_bytes);
		preload(b, ag);
	}
}

/* Which expectations a whole answer missed. */
static bool missed(struct bench_result *res, const struct request *r)
{
	const struct pf_work *w = &r->work;
	pf_ms between =
		r->got > 1 ? (r->last_at - r->first_at) / (r->got - 1) : 0;
	bool first = r->first_at > w->first_due;
	bool slow = w->between_ms && between > w->between_ms;
	bool late = w->whole_due != PF_NEVER && r->last_at > w->whole_due;

	res->miss_first += first;
	res->miss_between += slow;
	res->miss_whole += late;
	return first || slow || late;
}

static void judge(struct bench *b, struct request *r, pf_ms *firsts,
		  uint64_t *n_firsts)
{
	bool ok = r->whole && !missed(b->r, r);

	b->r->unended += !r->ended;
	b->r->whole += r->whole;
	b->r->refused += r->ended && !r->whole && r->ran == PF_NOT_RUN;
	b->r->failed += r->ended && !r->whole && r->ran != PF_NOT_RUN;
	b->r->late += r->whole && !ok;
	b->r->attained += ok;
	b->r->by_caller[r->caller]++;
	b->r->attained_by_caller[r->caller] += ok;
	if (r->got && r->work.priority == 0)
		firsts[(*n_firsts)++] = r->first_at - r->arrived;
}

static int by_ms(const void *a, const void *b)
{
	pf_ms x = *(const pf_ms *)a, y = *(const pf_ms *)b;

	return x < y ? -1 : x > y;
}

static void finish(struct bench *b)
{
	struct bench_result *r = b->r;
	pf_ms *firsts = calloc(b->n_requests + 1, sizeof(*firsts));
	uint64_t n = 0;

	if (!firsts)
		abort();
	r->requests = b->n_requests;
	for (uint64_t i = 0; i < b->n_requests; i++)
		judge(b, &b->requests[i], firsts, &n);
	qsort(firsts, n, sizeof(*firsts), by_ms);
	r->first_p95 = n ? firsts[n * 95 / 100] : 0;
	r->attainment = (double)r->attained / (double)r->requests / b->n_agents;
	for (uint32_t i = 0; i < b->n_agents; i++) {
		struct agent *ag = &b->agents[i];

		r->overcommit += engine_overcommits(ag->engine);
		r->moves += engine_loads(ag->engine, false);
		r->adapter_moves += engine_loads(ag->engine, true);
		if (ag->core)
			engine_stats(b, ag);
		pf_agent_free(ag->core);
		engine_free(ag->engine);
	}
	for (uint32_t i = 0; i < ENTRIES; i++) {
		struct pf_entry_stats s;

		pf_entry_stats(b->entries[i].core, &s);
		r->resumes += s.resumes;
		pf_entry_free(b->entries[i].core);
	}
	free(firsts);
}

void bench_run(const struct bench_opts *o, struct bench_result *r)
{
	struct bench *b = calloc(1, sizeof(*b));

	memset(r, 0, sizeof(*r));
	if (!b || pf_heap_init(&b->timers, EVENTS_MAX) < 0)
		abort();
	b->o = o;
	b->r = r;
	b->events = calloc(EVENTS_MAX, sizeof(*b->events));
	b->free = calloc(EVENTS_MAX, sizeof(*b->free));
	b->requests = calloc(REQUESTS_MAX, sizeof(*b->requests));
	if (!b->events || !b->free || !b->requests)
		abort();
	for (uint32_t i = 0; i < EVENTS_MAX; i++)
		b->free[b->n_free++] = EVENTS_MAX - 1 - i;
	pf_rng_seed(&b->rng, o->seed);
	pf_rng_seed(&b->demand_rng, o->seed);
	agents_start(b);
	for (uint32_t i = 0; i < ENTRIES; i++)
		entry_start(b, i);
	for (uint32_t i = 0; i < b->n_agents; i++)
		vm_start(b, i);
	place_start(b);
	b->demand = demand_new(o, &b->demand_rng);
	push(b, demand_next(b->demand, 0, &b->next), EV_ARRIVE);
	if (o->faults)
		push(b, (pf_ms)FAULT_EVERY_MS, EV_FAULT);
	run_until(b, o->duration + DRAIN_MS);
	finish(b);
	for (uint32_t i = 0; i < EVENTS_MAX; i++)
		if (b->timers.pos[i]) {
			free(b->events[i].items);
			free(b->events[i].wants);
		}
	pf_place_free(b->place);
	demand_free(b->demand);
	pf_heap_free(&b->timers);
	free(b->requests);
	free(b->free);
	free(b->events);
	free(b);
}
