/* Event loop in virtual time; carries messages between the cores with delay. */
#include "bench/figures.h"
#include "bench/world.h"

#include <stdlib.h>
#include <string.h>

pf_ms bench_now(const struct bench *b)
{
	return b->now;
}

const struct request *bench_request(const struct bench *b, uint64_t id)
{
	return &b->requests[id - 1];
}

struct event *world_push(struct bench *b, pf_ms delay, enum event_type type)
{
	uint32_t slot;
	struct event *e;

	if (b->n_free == 0)
		abort();
	slot = b->free_slots[--b->n_free];
	e = &b->events[slot];
	memset(e, 0, sizeof(*e));
	e->type = type;
	pf_heap_set(&b->timers, slot,
		    ((b->now + delay) << 32) | b->event_seq++);
	return e;
}

void bench_schedule_engine(struct bench *b, uint32_t agent, pf_ms delay,
			   uint32_t event, uint64_t arg)
{
	struct event *e = world_push(b, delay, EV_ENGINE);

	e->agent = agent;
	e->engine_event = event;
	e->engine_arg = arg;
}

pf_ms world_latency(const struct bench *b, uint32_t entry, uint32_t agent)
{
	const struct entry *e = &b->entries[entry];
	const struct pf_endpoint *p = b->agents[agent].endpoint;

	if (b->opts->policy->clairvoyant)
		return 0;
	if (!pf_str_eq(pf_str_c(e->region), pf_str_c(p->region)))
		return b->opts->region_latency_ms;
	if (!pf_str_eq(pf_str_c(e->zone), pf_str_c(p->zone)))
		return b->opts->zone_latency_ms;
	return 0;
}

struct event *world_to_entry(struct bench *b, uint32_t entry, uint32_t agent,
			     enum pf_entry_msg_type type)
{
	struct event *e =
		world_push(b, world_latency(b, entry, agent), EV_TO_ENTRY);

	e->entry = entry;
	e->agent = agent;
	e->link_generation = b->link_generations[entry][agent];
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
		    (b->opts->faults &&
		     pf_rng_unit(&b->rng) < REPORT_LOSS_RATE))
			continue;
		e = world_to_entry(b, i, agent, PF_ENTRY_REPORT);
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
	struct bench *b = ag->bench;
	uint32_t i = (uint32_t)(ag - b->agents);
	uint32_t n = (uint32_t)a->entry - 1;
	struct event *e;

	switch (a->type) {
	case PF_AGENT_STARTED:
		e = world_to_entry(b, n, i, PF_ENTRY_STARTED);
		e->u.entry_msg.u.id = a->u.id;
		break;
	case PF_AGENT_PIECE:
		e = world_to_entry(b, n, i, PF_ENTRY_PIECE);
		e->u.entry_msg.u.tokens.id = a->u.tokens.id;
		e->u.entry_msg.u.tokens.offset = a->u.tokens.offset;
		e->u.entry_msg.u.tokens.count = a->u.tokens.count;
		break;
	case PF_AGENT_DONE:
		e = world_to_entry(b, n, i, PF_ENTRY_DONE);
		e->u.entry_msg.u.done.id = a->u.done.id;
		e->u.entry_msg.u.done.total = a->u.done.total;
		e->u.entry_msg.u.done.error =
			a->u.done.finish_reason == PF_FINISH_ERROR;
		break;
	case PF_AGENT_NOT_RUN:
		e = world_to_entry(b, n, i, PF_ENTRY_NOT_RUN);
		e->u.entry_msg.u.not_run.id = a->u.not_run.id;
		e->u.entry_msg.u.not_run.reason = a->u.not_run.reason;
		e->u.entry_msg.u.not_run.retry_after = a->u.not_run.retry_after;
		break;
	case PF_AGENT_REVOKED:
		e = world_to_entry(b, n, i, PF_ENTRY_REVOKED);
		e->u.entry_msg.u.id = a->u.id;
		break;
	case PF_AGENT_LOST:
		e = world_to_entry(b, n, i, PF_ENTRY_LOST);
		e->u.entry_msg.u.lost.id = a->u.lost.id;
		e->u.entry_msg.u.lost.reason = a->u.lost.reason;
		break;
	case PF_AGENT_REPORT:
		send_report(b, i, &a->u.report);
		break;
	default:
		engine_apply(ag->engine, a);
		break;
	}
}

/* Schedules the core's next tick unless an earlier one is pending. */
static void schedule_agent_tick(struct bench *b, uint32_t i)
{
	struct agent *ag = &b->agents[i];
	pf_ms next = pf_agent_next(ag->core);

	if (next >= ag->next_tick)
		return;
	ag->next_tick = next;
	world_push(b, next > b->now ? next - b->now : 0, EV_AGENT_TICK)->agent =
		i;
}

void bench_send_to_agent(struct bench *b, uint32_t agent,
			 const struct pf_agent_msg *m)
{
	struct agent *ag = &b->agents[agent];
	struct pf_agent_sink sink = { agent_emit, ag };

	if (ag->down)
		return;
	pf_agent_step(ag->core, b->now, m, &sink);
	schedule_agent_tick(b, agent);
}

static void receive_tokens(struct bench *b, uint32_t count, uint64_t request)
{
	struct request *r = &b->requests[request - 1];

	if (r->received_tokens == 0)
		r->first_token_at = b->now + b->opts->client_latency_ms;
	r->received_tokens += count;
	r->last_token_at = b->now + b->opts->client_latency_ms;
	b->result->tokens += count;
}

static void entry_emit(void *ctx, const struct pf_entry_act *a)
{
	struct entry *en = ctx;
	struct bench *b = en->bench;
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
		e = world_push(b, world_latency(b, n, i), EV_TO_AGENT);
		e->entry = n;
		e->agent = i;
		e->link_generation = b->link_generations[n][i];
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
		b->result->stream_errors +=
			a->u.deliver.offset != r->received_tokens;
		receive_tokens(b, a->u.deliver.count, a->u.deliver.request);
		break;
	case PF_ENTRY_END:
		r = &b->requests[a->u.end.request - 1];
		b->result->stream_errors += r->ended;
		r->ended = true;
		r->reason = a->u.end.reason;
		r->ran = a->u.end.ran;
		r->complete = r->reason == PF_REASON_NONE;
		r->last_token_at = b->now + b->opts->client_latency_ms;
		b->result->incomplete +=
			r->complete && r->received_tokens != r->output_tokens;
		break;
	default:
		break;
	}
}

static void step_entry(struct bench *b, uint32_t i,
		       const struct pf_entry_msg *m)
{
	struct entry *en = &b->entries[i];
	struct pf_entry_sink sink = { entry_emit, en };
	pf_ms next;

	pf_entry_step(en->core, b->now, m, &sink);
	next = pf_entry_next(en->core);
	if (next >= en->next_tick)
		return;
	en->next_tick = next;
	world_push(b, next > b->now ? next - b->now : 0, EV_ENTRY_TICK)->entry =
		i;
}

static void agent_opts(struct bench *b, struct agent *ag,
		       struct pf_agent_opts *o)
{
	const struct policy *p = b->opts->policy;

	pf_agent_opts_default(o);
	o->agent = ag->endpoint->id;
	o->incarnation = ++ag->incarnation;
	o->seed = b->opts->seed + ag->endpoint->id;
	o->memory_bytes = ag->endpoint->memory_bytes;
	o->batch_max = ag->endpoint->batch_max;
	o->kv_policy = p->kv;
	o->queue_policy = p->queue;
	o->pause_long = p->pause_long;
	o->order_timeout = 60000;
	if (p->clairvoyant)
		o->report_every = 10;
}

void world_agent_start(struct bench *b, uint32_t i)
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
	ag->next_tick = TICK_NONE;
	m.u.config = b->opts->config;
	bench_send_to_agent(b, i, &m);
	engine_start(ag->engine);
	if (b->opts->policy->placement == PLACEMENT_FIXED) {
		m.type = PF_AGENT_PLACE;
		m.u.place.items = ag->homes.items;
		m.u.place.n_items = ag->homes.n;
		bench_send_to_agent(b, i, &m);
	}
}

static void arrive(struct bench *b)
{
	struct pf_entry_msg m = { .type = PF_ENTRY_ARRIVE };
	struct request *r;
	pf_ms at;

	if (b->n_requests == REQUESTS_MAX)
		abort();
	r = &b->requests[b->n_requests++];
	*r = b->next_request;
	r->entry = pf_rng_below(&b->demand_rng, ENTRIES);
	m.u.arrive.request = b->n_requests;
	m.u.arrive.work = r->work;
	step_entry(b, r->entry, &m);
	at = demand_next(b->demand, b->now, &b->next_request);
	if (at < b->opts->duration_ms)
		world_push(b, at - b->now, EV_ARRIVE);
}

static void handle_entry_event(struct bench *b, struct event *e)
{
	bool up = e->u.entry_msg.type == PF_ENTRY_LINK_UP;
	struct pf_agent_msg place = { .type = PF_AGENT_TICK };

	if (e->link_generation != b->link_generations[e->entry][e->agent])
		return;
	world_forward_to_planner(b, e);
	step_entry(b, e->entry, &e->u.entry_msg);
	if (up && !b->agents[e->agent].down)
		bench_send_to_agent(b, e->agent, &place);
}

static void handle_event(struct bench *b, struct event *e)
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
		handle_entry_event(b, e);
		break;
	case EV_TO_AGENT:
		if (e->link_generation ==
		    b->link_generations[e->entry][e->agent])
			bench_send_to_agent(b, e->agent, &e->u.agent_msg);
		break;
	case EV_ENTRY_TICK:
		b->entries[e->entry].next_tick = TICK_NONE;
		step_entry(b, e->entry, &etick);
		break;
	case EV_AGENT_TICK:
		ag->next_tick = TICK_NONE;
		bench_send_to_agent(b, e->agent, &atick);
		world_finish_drain(b, e->agent);
		break;
	case EV_ENGINE:
		engine_event(ag->engine, e->engine_event, e->engine_arg);
		break;
	case EV_FAULT:
		world_inject_fault(b);
		break;
	case EV_ENGINE_START:
		if (!ag->down)
			engine_start(ag->engine);
		break;
	case EV_VM_START:
		world_vm_start(b, e->agent);
		break;
	case EV_LINK_UP:
		world_link_up(b, e->entry, e->agent);
		break;
	case EV_DEMAND:
		world_send_demand(b);
		break;
	case EV_PLANNER_TICK:
		b->planner_tick = TICK_NONE;
		world_step_planner(b, &ptick);
		break;
	case EV_PLACE:
		bench_send_to_agent(b, e->agent, &e->u.agent_msg);
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
		b->free_slots[b->n_free++] = slot;
		b->now = top >> 32;
		handle_event(b, &e);
		free(e.items);
		free(e.placed_items);
	}
}

static void entry_start(struct bench *b, uint32_t i)
{
	struct entry *en = &b->entries[i];
	struct pf_entry_msg m = { .type = PF_ENTRY_CONFIG };
	const struct policy *p = b->opts->policy;
	struct pf_entry_opts o;

	/* One entry in each availability zone that has engines. */
	en->bench = b;
	en->zone = b->agents[i].endpoint->zone;
	en->region = b->agents[i].endpoint->region;
	en->next_tick = TICK_NONE;
	pf_entry_opts_default(&o);
	o.entry_id = i + 1;
	o.seed = b->opts->seed + i;
	o.zone = en->zone;
	o.region = en->region;
	o.requests_max = 100000;
	o.route = p->route;
	o.depth = p->queue_depth;
	if (p->route != PF_ROUTE_LOWEST_COST)
		o.overload_slack = 0;
	en->core = pf_entry_new(&o);
	if (!en->core)
		abort();
	m.u.config = b->opts->config;
	step_entry(b, i, &m);
}

static void preload(struct bench *b, struct agent *ag)
{
	const struct pf_config *c = b->opts->config;

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
	const struct pf_config *c = b->opts->config;
	const struct pf_endpoint *engines[AGENTS_MAX];
	struct homes homes[AGENTS_MAX];

	for (size_t i = 0; i < c->n_endpoints; i++)
		if (c->endpoints[i].kind == PF_ENDPOINT_ENGINE &&
		    b->n_agents < AGENTS_MAX)
			engines[b->n_agents++] = &c->endpoints[i];
	homes_fixed(c, engines, b->n_agents, homes);
	for (uint32_t i = 0; i < b->n_agents; i++) {
		struct agent *ag = &b->agents[i];

		ag->bench = b;
		ag->endpoint = engines[i];
		ag->homes = homes[i];
		ag->engine = engine_new(b, i, c, engines[i]->memory_bytes);
		preload(b, ag);
	}
}

void bench_run(const struct bench_opts *o, struct bench_result *r)
{
	struct bench *b = calloc(1, sizeof(*b));

	memset(r, 0, sizeof(*r));
	if (!b || pf_heap_init(&b->timers, EVENTS_MAX) < 0)
		abort();
	b->opts = o;
	b->result = r;
	b->events = calloc(EVENTS_MAX, sizeof(*b->events));
	b->free_slots = calloc(EVENTS_MAX, sizeof(*b->free_slots));
	b->requests = calloc(REQUESTS_MAX, sizeof(*b->requests));
	if (!b->events || !b->free_slots || !b->requests)
		abort();
	for (uint32_t i = 0; i < EVENTS_MAX; i++)
		b->free_slots[b->n_free++] = EVENTS_MAX - 1 - i;
	pf_rng_seed(&b->rng, o->seed);
	pf_rng_seed(&b->demand_rng, o->seed);
	agents_start(b);
	for (uint32_t i = 0; i < ENTRIES; i++)
		entry_start(b, i);
	for (uint32_t i = 0; i < b->n_agents; i++)
		world_vm_start(b, i);
	world_planner_start(b);
	b->demand = demand_new(o, &b->demand_rng);
	world_push(b, demand_next(b->demand, 0, &b->next_request), EV_ARRIVE);
	if (o->faults)
		world_push(b, (pf_ms)FAULT_INTERVAL_MS, EV_FAULT);
	run_until(b, o->duration_ms + DRAIN_MS);
	world_collect_result(b);
	for (uint32_t i = 0; i < EVENTS_MAX; i++)
		if (b->timers.pos[i]) {
			free(b->events[i].items);
			free(b->events[i].placed_items);
		}
	pf_place_free(b->planner);
	demand_free(b->demand);
	pf_heap_free(&b->timers);
	free(b->requests);
	free(b->free_slots);
	free(b->events);
	free(b);
}
