/* Placement core: what is known of agents and demand, and the step function. */
#include "place_core.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define WAITS_PER_PLAN 8 /* plans for budget alone, within plan_interval */

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

static bool valid(const struct pf_place_opts *o)
{
	return o->agents_max && o->models_max && o->entries_max &&
	       o->plan_interval > 0 && o->stale_after > 0 && o->horizon > 0 &&
	       o->demand_decay > 0 && o->replica_min_age >= 0 &&
	       o->target_utilization > 0 && o->target_utilization <= 1;
}

static int take_memory(struct pf_placement *p)
{
	const struct pf_place_opts *o = &p->o;

	p->agents = calloc(o->agents_max, sizeof(*p->agents));
	p->models = calloc(o->models_max, sizeof(*p->models));
	p->cells = calloc((size_t)o->models_max * o->agents_max,
			  sizeof(*p->cells));
	p->entries = calloc(o->entries_max, sizeof(*p->entries));
	p->items = calloc(o->models_max, sizeof(*p->items));
	p->taken = calloc(o->models_max, sizeof(*p->taken));
	p->by_size = calloc(o->models_max, sizeof(*p->by_size));
	if (!p->agents || !p->models || !p->cells || !p->entries || !p->items ||
	    !p->taken || !p->by_size)
		return -1;
	for (uint32_t i = 0; i < o->entries_max; i++) {
		p->entries[i].demand = calloc(o->models_max, sizeof(double));
		if (!p->entries[i].demand)
			return -1;
	}
	if (pf_map_init(&p->by_agent, o->agents_max) < 0)
		return -1;
	return pf_map_init(&p->by_model, o->models_max);
}

struct pf_placement *pf_place_new(const struct pf_place_opts *o)
{
	struct pf_placement *p;

	if (!valid(o))
		return NULL;
	p = calloc(1, sizeof(*p));
	if (!p)
		return NULL;
	p->o = *o;
	if (take_memory(p) < 0) {
		pf_place_free(p);
		return NULL;
	}
	return p;
}

void pf_place_free(struct pf_placement *p)
{
	if (!p)
		return;
	for (uint32_t i = 0; p->entries && i < p->o.entries_max; i++)
		free(p->entries[i].demand);
	pf_map_free(&p->by_agent);
	pf_map_free(&p->by_model);
	free(p->by_size);
	free(p->taken);
	free(p->items);
	free(p->entries);
	free(p->cells);
	free(p->models);
	free(p->agents);
	free(p);
}

/* The engine's record if this planner plans it, or NULL. */
static const struct pf_endpoint *planned(const struct pf_placement *p,
					 uint64_t id)
{
	const struct pf_endpoint *e = NULL;

	if (p->config)
		e = pf_config_endpoint(p->config, id);
	if (!e || e->kind != PF_ENDPOINT_ENGINE)
		return NULL;
	if (p->o.region && pf_id(pf_str_c(e->region)) != p->o.region)
		return NULL;
	return e;
}

/* A slot of an agent that is no longer declared, or gone for the longest. */
static uint32_t stale_slot(const struct pf_placement *p)
{
	uint32_t best = PLACE_NONE;

	for (uint32_t a = 0; a < p->n_agents; a++) {
		const struct place_agent *ag = &p->agents[a];

		if (!ag->record)
			return a;
		if (p->now - ag->seen < p->o.stale_after)
			continue;
		if (best == PLACE_NONE || ag->seen < p->agents[best].seen)
			best = a;
	}
	return best;
}

/* The slot of an agent, added when new; PLACE_NONE when full. */
static uint32_t agent_slot(struct pf_placement *p, uint64_t id)
{
	uint32_t a;

	if (pf_map_get(&p->by_agent, pf_key1(id), &a) == 0)
		return a;
	if (!planned(p, id))
		return PLACE_NONE;
	if (p->n_agents < p->o.agents_max) {
		a = p->n_agents++;
	} else {
		a = stale_slot(p);
		if (a == PLACE_NONE)
			return a;
		pf_map_del(&p->by_agent, pf_key1(p->agents[a].id));
	}
	pf_map_put(&p->by_agent, pf_key1(id), a);
	p->agents[a] = (struct place_agent){ .id = id };
	for (uint32_t m = 0; m < p->o.models_max; m++)
		*place_cell(p, m, a) = (struct place_cell){ 0 };
	return a;
}

static void set_record(struct pf_placement *p, struct place_agent *ag)
{
	const struct pf_endpoint *e = planned(p, ag->id);

	ag->record = e;
	ag->zone = e ? pf_id(pf_str_c(e->zone)) : 0;
	ag->batch = e && e->batch_max ? e->batch_max : 1;
}

/* The model is no longer declared; those who were to hold it are told. */
static void forget(struct pf_placement *p, uint32_t m)
{
	for (uint32_t a = 0; a < p->n_agents; a++)
		p->agents[a].changed |= place_cell(p, m, a)->want;
}

/* Moves the columns of models that are still declared to their new places. */
static void take_config(struct pf_placement *p, const struct pf_config *c)
{
	size_t row = p->o.agents_max * sizeof(struct place_cell);
	uint32_t n = 0;

	p->config = c;
	for (uint32_t m = 0; m < p->n_models; m++) {
		const struct pf_model *r = pf_config_model(c, p->models[m].id);

		pf_map_del(&p->by_model, pf_key1(p->models[m].id));
		if (!r) {
			forget(p, m);
			continue;
		}
		p->models[n] = p->models[m];
		p->models[n].record = r;
		memmove(place_cell(p, n, 0), place_cell(p, m, 0), row);
		for (uint32_t e = 0; e < p->n_entries; e++)
			p->entries[e].demand[n] = p->entries[e].demand[m];
		pf_map_put(&p->by_model, pf_key1(r->id), n++);
	}
	for (size_t i = 0; i < c->n_models && n < p->o.models_max; i++) {
		const struct pf_model *r = &c->models[i];

		if (pf_map_get(&p->by_model, pf_key1(r->id), NULL) == 0)
			continue;
		p->models[n] = (struct place_model){ .id = r->id, .record = r };
		memset(place_cell(p, n, 0), 0, row);
		for (uint32_t e = 0; e < p->n_entries; e++)
			p->entries[e].demand[n] = 0;
		pf_map_put(&p->by_model, pf_key1(r->id), n++);
	}
	p->n_models = n;
	place_region_take(p);
	for (uint32_t a = 0; a < p->n_agents; a++)
		set_record(p, &p->agents[a]);
}

/* An engine of another region: what it holds need not have a home here. */
static void take_abroad(struct pf_placement *p, const struct pf_report *r)
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
		    pf_map_get(&p->by_model, pf_key1(r->items[i].id), &m) == 0)
			p->models[m].abroad_at = p->now;
	}
}

static void take_report(struct pf_placement *p, const struct pf_report *r)
{
	uint32_t a = agent_slot(p, r->agent);
	struct place_agent *ag;

	if (!planned(p, r->agent))
		take_abroad(p, r);
	if (a == PLACE_NONE)
		return;
	ag = &p->agents[a];
	if (!ag->record)
		set_record(p, ag);
	ag->seen = p->now;
	ag->gone = r->leaving || !r->ready;
	/* One that was away, even between two plans, is met anew. */
	if (ag->gone || ag->incarnation != r->incarnation)
		ag->alive = false;
	ag->incarnation = r->incarnation;
	for (uint32_t m = 0; m < p->n_models; m++) {
		place_cell(p, m, a)->have = false;
		place_cell(p, m, a)->coming = false;
	}
	for (uint32_t i = 0; i < r->n_items; i++) {
		uint32_t m;

		if (pf_map_get(&p->by_model, pf_key1(r->items[i].id), &m) < 0)
			continue;
		place_cell(p, m, a)->have =
			r->items[i].state == PF_ITEM_RESIDENT;
		place_cell(p, m, a)->coming =
			r->items[i].state == PF_ITEM_LOADING;
	}
}

static struct place_entry *entry_slot(struct pf_placement *p, uint64_t id)
{
	struct place_entry *oldest = &p->entries[0];

	for (uint32_t i = 0; i < p->n_entries; i++) {
		if (p->entries[i].id == id)
			return &p->entries[i];
		if (p->entries[i].seen < oldest->seen)
			oldest = &p->entries[i];
	}
	if (p->n_entries < p->o.entries_max)
		oldest = &p->entries[p->n_entries++];
	oldest->id = id;
	return oldest;
}

static void take_demand(struct pf_placement *p, const struct pf_place_msg *msg)
{
	struct place_entry *e = entry_slot(p, msg->u.demand.entry);

	e->seen = p->now;
	memset(e->demand, 0, p->n_models * sizeof(*e->demand));
	for (size_t i = 0; i < msg->u.demand.n; i++) {
		const struct pf_demand *d = &msg->u.demand.v[i];
		uint32_t m;

		if (pf_map_get(&p->by_model, pf_key1(d->model), &m) == 0)
			e->demand[m] += d->alive;
	}
}

/*
 * Who can be planned with, and the room for weights there. What an agent holds
 * counts as wanted the first time, so that a new planner moves nothing that
 * stands; what a dead one was to hold is forgotten.
 */
static void survey(struct pf_placement *p)
{
	for (uint32_t a = 0; a < p->n_agents; a++) {
		struct place_agent *ag = &p->agents[a];
		bool alive = ag->record && !ag->record->drain && !ag->gone &&
			     p->now - ag->seen < p->o.stale_after;
		bool fresh = alive && !ag->alive;

		ag->alive = alive;
		ag->changed |= fresh;
		if (!alive || !ag->record)
			continue;
		ag->room = (int64_t)((double)ag->record->memory_bytes *
				     (1 - p->config->deployment.kv_share));
		for (uint32_t m = 0; m < p->n_models; m++) {
			struct place_cell *c = place_cell(p, m, a);

			if (fresh)
				c->want = c->have || c->coming;
			if (c->want)
				ag->room -= p->models[m].record->weight_bytes;
		}
	}
}

static void tell(struct pf_placement *p, uint32_t a,
		 const struct pf_place_sink *sink)
{
	struct pf_place_act act = { .agent = p->agents[a].id,
				    .items = p->items };

	for (uint32_t m = 0; m < p->n_models; m++)
		if (place_cell(p, m, a)->want)
			p->items[act.n_items++] = p->models[m].id;
	p->agents[a].told = p->now;
	p->agents[a].changed = false;
	sink->emit(sink->ctx, &act);
}

/* An order may be lost: what doesn't come is asked for again. */
static bool lacking(const struct pf_placement *p, uint32_t a)
{
	if (p->now - p->agents[a].told < p->o.stale_after)
		return false;
	for (uint32_t m = 0; m < p->n_models; m++) {
		const struct place_cell *c = place_cell(p, m, a);

		if (c->want && !c->have && !c->coming)
			return true;
	}
	return false;
}

/* When a load only waits for budget, the next plan comes with it. */
static pf_ms next_plan(const struct pf_placement *p)
{
	pf_ms token = (pf_ms)ceil((1 - p->loads) * 1000 / p->rate);
	pf_ms least = p->o.plan_interval / WAITS_PER_PLAN + 1;

	if (!p->waits || p->rate <= 0 || token >= p->o.plan_interval)
		return p->now + p->o.plan_interval;
	return p->now + (token > least ? token : least);
}

static void plan(struct pf_placement *p, const struct pf_place_sink *sink)
{
	survey(p);
	place_plan(p);
	p->next = next_plan(p);
	for (uint32_t a = 0; a < p->n_agents; a++)
		if (p->agents[a].alive &&
		    (p->agents[a].changed || lacking(p, a)))
			tell(p, a, sink);
}

static void take_lease(struct pf_placement *p, bool held)
{
	if (held && !p->held) {
		/* Agents are told anew what this planner wants. */
		for (uint32_t a = 0; a < p->n_agents; a++)
			p->agents[a].alive = false;
		p->next = p->now;
		/* The one before may have spent what there was. */
		p->loads = 0;
		p->planned = p->now;
	}
	p->held = held;
}

void pf_place_step(struct pf_placement *p, pf_ms now,
		   const struct pf_place_msg *m,
		   const struct pf_place_sink *sink)
{
	uint32_t a;

	p->now = now;
	switch (m->type) {
	case PF_PLACE_CONFIG:
		take_config(p, m->u.config);
		break;
	case PF_PLACE_REPORT:
		take_report(p, &m->u.report);
		break;
	case PF_PLACE_AGENT_LOST:
		if (pf_map_get(&p->by_agent, pf_key1(m->u.agent), &a) < 0)
			break;
		p->agents[a].gone = true;
		p->agents[a].alive = false;
		break;
	case PF_PLACE_DEMAND:
		take_demand(p, m);
		break;
	case PF_PLACE_LEASE:
		take_lease(p, m->u.lease_held);
		break;
	case PF_PLACE_TICK:
		if (p->held && p->config && now >= p->next)
			plan(p, sink);
		break;
	}
}

pf_ms pf_place_next(const struct pf_placement *p)
{
	return p->held && p->config ? p->next : PF_NEVER;
}

void pf_place_stats(const struct pf_placement *p, struct pf_place_stats *s)
{
	*s = p->st;
}
