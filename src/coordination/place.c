/* Placement core: state of agents and demand, orders, and the step function. */
#include "place_core.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* At most this many plans in plan_interval while a load waits for budget. */
#define BUDGET_PLANS_PER_INTERVAL 8

void pf_place_opts_default(struct pf_place_opts *o)
{
	*o = (struct pf_place_opts){
		.agents_max = 512,
		.models_max = 512,
		.entries_max = 64,
		.plan_interval = 2000,
		.stale_after = 10000,
		.horizon = 60000,
		.demand_decay = 60000,
		.replica_min_age = 30000,
		.target_utilization = 0.7,
	};
}

static bool opts_valid(const struct pf_place_opts *o)
{
	return o->agents_max && o->models_max && o->entries_max &&
	       o->plan_interval > 0 && o->stale_after > 0 && o->horizon > 0 &&
	       o->demand_decay > 0 && o->replica_min_age >= 0 &&
	       o->target_utilization > 0 && o->target_utilization <= 1;
}

static int alloc_tables(struct pf_placement *p)
{
	const struct pf_place_opts *o = &p->opts;

	p->agents = calloc(o->agents_max, sizeof(*p->agents));
	p->models = calloc(o->models_max, sizeof(*p->models));
	p->cells = calloc((size_t)o->models_max * o->agents_max,
			  sizeof(*p->cells));
	p->entries = calloc(o->entries_max, sizeof(*p->entries));
	p->items = calloc(o->models_max, sizeof(*p->items));
	p->victims = calloc(o->models_max, sizeof(*p->victims));
	p->models_by_size = calloc(o->models_max, sizeof(*p->models_by_size));
	if (!p->agents || !p->models || !p->cells || !p->entries || !p->items ||
	    !p->victims || !p->models_by_size)
		return -1;
	for (uint32_t i = 0; i < o->entries_max; i++) {
		p->entries[i].demand = calloc(o->models_max, sizeof(double));
		if (!p->entries[i].demand)
			return -1;
	}
	if (pf_map_init(&p->agent_index, o->agents_max) < 0)
		return -1;
	return pf_map_init(&p->model_index, o->models_max);
}

struct pf_placement *pf_place_new(const struct pf_place_opts *o)
{
	struct pf_placement *p;

	if (!opts_valid(o))
		return NULL;
	p = calloc(1, sizeof(*p));
	if (!p)
		return NULL;
	p->opts = *o;
	if (alloc_tables(p) < 0) {
		pf_place_free(p);
		return NULL;
	}
	return p;
}

void pf_place_free(struct pf_placement *p)
{
	if (!p)
		return;
	for (uint32_t i = 0; p->entries && i < p->opts.entries_max; i++)
		free(p->entries[i].demand);
	pf_map_free(&p->agent_index);
	pf_map_free(&p->model_index);
	free(p->models_by_size);
	free(p->victims);
	free(p->items);
	free(p->entries);
	free(p->cells);
	free(p->models);
	free(p->agents);
	free(p);
}

/* Record of an engine in the planned region, or NULL. */
static const struct pf_endpoint *planned_engine(const struct pf_placement *p,
						uint64_t id)
{
	const struct pf_endpoint *e = NULL;

	if (p->config)
		e = pf_config_endpoint(p->config, id);
	if (!e || e->kind != PF_ENDPOINT_ENGINE)
		return NULL;
	if (p->opts.region && pf_id(pf_str_c(e->region)) != p->opts.region)
		return NULL;
	return e;
}

/* Slot of an undeclared agent, or else of the one stale for the longest time. */
static uint32_t reusable_slot(const struct pf_placement *p)
{
	uint32_t best = PLACE_NONE;

	for (uint32_t a = 0; a < p->n_agents; a++) {
		const struct place_agent *ag = &p->agents[a];

		if (!ag->record)
			return a;
		if (p->now - ag->last_seen_at < p->opts.stale_after)
			continue;
		if (best == PLACE_NONE ||
		    ag->last_seen_at < p->agents[best].last_seen_at)
			best = a;
	}
	return best;
}

/* The slot of an agent, added if new; PLACE_NONE if not planned or full. */
static uint32_t agent_slot(struct pf_placement *p, uint64_t id)
{
	uint32_t a;

	if (pf_map_get(&p->agent_index, pf_key1(id), &a) == 0)
		return a;
	if (!planned_engine(p, id))
		return PLACE_NONE;
	if (p->n_agents < p->opts.agents_max) {
		a = p->n_agents++;
	} else {
		a = reusable_slot(p);
		if (a == PLACE_NONE)
			return a;
		pf_map_del(&p->agent_index, pf_key1(p->agents[a].id));
	}
	pf_map_put(&p->agent_index, pf_key1(id), a);
	p->agents[a] = (struct place_agent){ .id = id };
	for (uint32_t m = 0; m < p->opts.models_max; m++)
		*place_cell(p, m, a) = (struct place_cell){ 0 };
	return a;
}

static void set_record(struct pf_placement *p, struct place_agent *ag)
{
	const struct pf_endpoint *e = planned_engine(p, ag->id);

	ag->record = e;
	ag->zone = e ? pf_id(pf_str_c(e->zone)) : 0;
	ag->batch_max = e && e->batch_max ? e->batch_max : 1;
}

/* A model is no longer declared: agents that were to hold it need an order. */
static void drop_model(struct pf_placement *p, uint32_t m)
{
	for (uint32_t a = 0; a < p->n_agents; a++)
		p->agents[a].needs_order |= place_cell(p, m, a)->planned;
}

/* Compacts the rows of the models still declared, then adds the new ones. */
static void on_config(struct pf_placement *p, const struct pf_config *c)
{
	size_t row = p->opts.agents_max * sizeof(struct place_cell);
	uint32_t n = 0;

	p->config = c;
	for (uint32_t m = 0; m < p->n_models; m++) {
		const struct pf_model *r = pf_config_model(c, p->models[m].id);

		pf_map_del(&p->model_index, pf_key1(p->models[m].id));
		if (!r) {
			drop_model(p, m);
			continue;
		}
		p->models[n] = p->models[m];
		p->models[n].record = r;
		memmove(place_cell(p, n, 0), place_cell(p, m, 0), row);
		for (uint32_t e = 0; e < p->n_entries; e++)
			p->entries[e].demand[n] = p->entries[e].demand[m];
		pf_map_put(&p->model_index, pf_key1(r->id), n++);
	}
	for (size_t i = 0; i < c->n_models && n < p->opts.models_max; i++) {
		const struct pf_model *r = &c->models[i];

		if (pf_map_get(&p->model_index, pf_key1(r->id), NULL) == 0)
			continue;
		p->models[n] = (struct place_model){ .id = r->id, .record = r };
		memset(place_cell(p, n, 0), 0, row);
		for (uint32_t e = 0; e < p->n_entries; e++)
			p->entries[e].demand[n] = 0;
		pf_map_put(&p->model_index, pf_key1(r->id), n++);
	}
	p->n_models = n;
	place_assign_region(p);
	for (uint32_t a = 0; a < p->n_agents; a++)
		set_record(p, &p->agents[a]);
}

/* Notes what another region holds: homes for it here have low priority. */
static void on_foreign_report(struct pf_placement *p, const struct pf_report *r)
{
	const struct pf_endpoint *e = NULL;

	if (p->config)
		e = pf_config_endpoint(p->config, r->agent);
	if (!e || e->kind != PF_ENDPOINT_ENGINE || e->drain || r->leaving ||
	    !r->ready)
		return;
	for (uint32_t i = 0; i < r->n_items; i++) {
		uint32_t m;

		if (r->items[i].state == PF_ITEM_RESIDENT &&
		    pf_map_get(&p->model_index, pf_key1(r->items[i].id), &m) ==
			    0)
			p->models[m].seen_elsewhere = p->now;
	}
}

static void on_report(struct pf_placement *p, const struct pf_report *r)
{
	uint32_t a = agent_slot(p, r->agent);
	struct place_agent *ag;

	if (!planned_engine(p, r->agent))
		on_foreign_report(p, r);
	if (a == PLACE_NONE)
		return;
	ag = &p->agents[a];
	if (!ag->record)
		set_record(p, ag);
	ag->last_seen_at = p->now;
	ag->withdrawn = r->leaving || !r->ready;
	/* Even if it restarted between two plans, it has lost its models. */
	if (ag->withdrawn || ag->incarnation != r->incarnation)
		ag->available = false;
	ag->incarnation = r->incarnation;
	for (uint32_t m = 0; m < p->n_models; m++) {
		place_cell(p, m, a)->resident = false;
		place_cell(p, m, a)->loading = false;
	}
	for (uint32_t i = 0; i < r->n_items; i++) {
		uint32_t m;

		if (pf_map_get(&p->model_index, pf_key1(r->items[i].id), &m) <
		    0)
			continue;
		place_cell(p, m, a)->resident =
			r->items[i].state == PF_ITEM_RESIDENT;
		place_cell(p, m, a)->loading =
			r->items[i].state == PF_ITEM_LOADING;
	}
}

static struct place_entry *entry_slot(struct pf_placement *p, uint64_t id)
{
	struct place_entry *oldest = &p->entries[0];

	for (uint32_t i = 0; i < p->n_entries; i++) {
		if (p->entries[i].id == id)
			return &p->entries[i];
		if (p->entries[i].last_seen_at < oldest->last_seen_at)
			oldest = &p->entries[i];
	}
	if (p->n_entries < p->opts.entries_max)
		oldest = &p->entries[p->n_entries++];
	oldest->id = id;
	return oldest;
}

static void on_demand(struct pf_placement *p, const struct pf_place_msg *msg)
{
	struct place_entry *e = entry_slot(p, msg->u.demand.entry);

	e->last_seen_at = p->now;
	memset(e->demand, 0, p->n_models * sizeof(*e->demand));
	for (size_t i = 0; i < msg->u.demand.n; i++) {
		const struct pf_demand *d = &msg->u.demand.v[i];
		uint32_t m;

		if (pf_map_get(&p->model_index, pf_key1(d->model), &m) == 0)
			e->demand[m] += d->open;
	}
}

/*
 * Updates which agents are available, and their free memory. When an agent
 * becomes available, the plan takes over what it holds, so that a new planner
 * moves nothing and what a restarted agent has lost is planned again.
 */
static void update_agents(struct pf_placement *p)
{
	for (uint32_t a = 0; a < p->n_agents; a++) {
		struct place_agent *ag = &p->agents[a];
		bool available =
			ag->record && !ag->record->drain && !ag->withdrawn &&
			p->now - ag->last_seen_at < p->opts.stale_after;
		bool became_available = available && !ag->available;

		ag->available = available;
		ag->needs_order |= became_available;
		if (!available || !ag->record)
			continue;
		ag->free_bytes =
			(int64_t)((double)ag->record->memory_bytes *
				  (1 - p->config->deployment.kv_share));
		for (uint32_t m = 0; m < p->n_models; m++) {
			struct place_cell *c = place_cell(p, m, a);

			if (became_available)
				c->planned = c->resident || c->loading;
			if (c->planned)
				ag->free_bytes -=
					p->models[m].record->weight_bytes;
		}
	}
}

static void send_order(struct pf_placement *p, uint32_t a,
		       const struct pf_place_sink *sink)
{
	struct pf_place_act act = { .agent = p->agents[a].id,
				    .items = p->items };

	for (uint32_t m = 0; m < p->n_models; m++)
		if (place_cell(p, m, a)->planned)
			p->items[act.n_items++] = p->models[m].id;
	p->agents[a].last_order_at = p->now;
	p->agents[a].needs_order = false;
	sink->emit(sink->ctx, &act);
}

/* Whether a planned model is missing so long that the order may be lost. */
static bool order_unfulfilled(const struct pf_placement *p, uint32_t a)
{
	if (p->now - p->agents[a].last_order_at < p->opts.stale_after)
		return false;
	for (uint32_t m = 0; m < p->n_models; m++) {
		const struct place_cell *c = place_cell(p, m, a);

		if (c->planned && !c->resident && !c->loading)
			return true;
	}
	return false;
}

/* Earlier than plan_interval if a load waits for the next token. */
static pf_ms next_plan_time(const struct pf_placement *p)
{
	pf_ms token = (pf_ms)ceil((1 - p->load_tokens) * 1000 / p->load_rate);
	pf_ms least = p->opts.plan_interval / BUDGET_PLANS_PER_INTERVAL + 1;

	if (!p->load_waiting || p->load_rate <= 0 ||
	    token >= p->opts.plan_interval)
		return p->now + p->opts.plan_interval;
	return p->now + (token > least ? token : least);
}

static void run_plan(struct pf_placement *p, const struct pf_place_sink *sink)
{
	update_agents(p);
	place_plan(p);
	p->next_plan_at = next_plan_time(p);
	for (uint32_t a = 0; a < p->n_agents; a++)
		if (p->agents[a].available &&
		    (p->agents[a].needs_order || order_unfulfilled(p, a)))
			send_order(p, a, sink);
}

static void on_lease(struct pf_placement *p, bool held)
{
	if (held && !p->lease_held) {
		/* Every agent needs an order from this planner. */
		for (uint32_t a = 0; a < p->n_agents; a++)
			p->agents[a].available = false;
		p->next_plan_at = p->now;
		/* The previous planner may have used up the tokens. */
		p->load_tokens = 0;
		p->last_plan_at = p->now;
	}
	p->lease_held = held;
}

void pf_place_step(struct pf_placement *p, pf_ms now,
		   const struct pf_place_msg *m,
		   const struct pf_place_sink *sink)
{
	uint32_t a;

	p->now = now;
	switch (m->type) {
	case PF_PLACE_CONFIG:
		on_config(p, m->u.config);
		break;
	case PF_PLACE_REPORT:
		on_report(p, &m->u.report);
		break;
	case PF_PLACE_AGENT_LOST:
		if (pf_map_get(&p->agent_index, pf_key1(m->u.agent), &a) < 0)
			break;
		p->agents[a].withdrawn = true;
		p->agents[a].available = false;
		break;
	case PF_PLACE_DEMAND:
		on_demand(p, m);
		break;
	case PF_PLACE_LEASE:
		on_lease(p, m->u.lease_held);
		break;
	case PF_PLACE_TICK:
		if (p->lease_held && p->config && now >= p->next_plan_at)
			run_plan(p, sink);
		break;
	}
}

pf_ms pf_place_next(const struct pf_placement *p)
{
	return p->lease_held && p->config ? p->next_plan_at : PF_NEVER;
}

void pf_place_stats(const struct pf_placement *p, struct pf_place_stats *s)
{
	*s = p->stats;
}
