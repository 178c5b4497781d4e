/*
 * A planner in virtual time and agents that carry out its orders, for tests
 * and fuzzing. Agents load one model at a time.
 */
#ifndef FUZZ_PLACE_RIG_H
#define FUZZ_PLACE_RIG_H

#include "pimentoford/place.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define RIG_AGENTS_MAX 12
#define RIG_MODELS_MAX 16
#define RIG_LOAD_MS 3000

struct place_rig_agent {
	bool up;
	bool drops_orders; /* orders to it are lost */
	uint64_t incarnation;
	uint64_t wanted[RIG_MODELS_MAX];
	uint32_t n_wanted;
	uint64_t resident[RIG_MODELS_MAX];
	uint32_t n_resident;
	uint64_t loading; /* 0: nothing */
	pf_ms load_done;
};

struct place_rig {
	pf_ms now;
	struct pf_config config;
	struct pf_model models[RIG_MODELS_MAX];
	struct pf_endpoint endpoints[RIG_AGENTS_MAX];
	char names[RIG_AGENTS_MAX][24];
	struct place_rig_agent agents[RIG_AGENTS_MAX];
	struct pf_demand demand[RIG_MODELS_MAX];
	struct pf_placement *place;
	void (*on_order)(struct place_rig *r, uint32_t agent,
			 const struct pf_place_act *act); /* may be NULL */
	void (*on_plan_done)(struct place_rig *r); /* may be NULL */
	void *ctx; /* for on_order and on_plan_done */
	uint64_t orders;
	uint64_t loads_ordered; /* items neither resident nor ordered before */
};

static inline uint32_t rig_model_index(const struct place_rig *r, uint64_t id)
{
	uint32_t m = 0;

	while (m < r->config.n_models && r->models[m].id != id)
		m++;
	return m;
}

static inline bool rig_contains(const uint64_t *v, uint32_t n, uint64_t id)
{
	for (uint32_t i = 0; i < n; i++)
		if (v[i] == id)
			return true;
	return false;
}

/** Gives an agent its order, unless it drops orders. */
static inline void rig_on_order(void *ctx, const struct pf_place_act *act)
{
	struct place_rig *r = (struct place_rig *)ctx;
	uint32_t a = 0;
	struct place_rig_agent *ag;

	while (r->endpoints[a].id != act->agent)
		a++;
	ag = &r->agents[a];
	r->orders++;
	if (r->on_order)
		r->on_order(r, a, act);
	for (uint32_t i = 0; i < act->n_items; i++) {
		if (rig_contains(ag->resident, ag->n_resident, act->items[i]) ||
		    rig_contains(ag->wanted, ag->n_wanted, act->items[i]))
			continue;
		r->loads_ordered++;
	}
	if (ag->drops_orders)
		return;
	memcpy(ag->wanted, act->items, act->n_items * sizeof(*ag->wanted));
	ag->n_wanted = act->n_items;
}

static inline void rig_step(struct place_rig *r, const struct pf_place_msg *m)
{
	struct pf_place_sink sink = { rig_on_order, r };

	pf_place_step(r->place, r->now, m, &sink);
}

static inline void rig_add_engine(struct place_rig *r, uint32_t a,
				  const char *zone, const char *region,
				  int64_t memory)
{
	struct pf_endpoint *e = &r->endpoints[a];

	snprintf(r->names[a], sizeof(r->names[a]), "engine-%u", a);
	e->name = r->names[a];
	e->id = pf_id(pf_str_c(e->name));
	e->kind = PF_ENDPOINT_ENGINE;
	e->zone = (char *)zone;
	e->region = (char *)region;
	e->memory_bytes = memory;
	e->batch_max = 10;
	r->agents[a].up = true;
	r->agents[a].incarnation = 1;
	if (r->config.n_endpoints <= a)
		r->config.n_endpoints = a + 1;
}

/** Appends @n models with @bytes of weights each. */
static inline void rig_add_models(struct place_rig *r, uint32_t n,
				  int64_t bytes)
{
	for (uint32_t i = 0; i < n; i++) {
		uint32_t m = (uint32_t)r->config.n_models++;

		r->models[m].id = pf_id2(77, m + 1);
		r->models[m].weight_bytes = bytes;
		r->demand[m].model = r->models[m].id;
	}
}

static inline void rig_init(struct place_rig *r)
{
	memset(r, 0, sizeof(*r));
	r->now = 1000;
	r->config.models = r->models;
	r->config.endpoints = r->endpoints;
	r->config.deployment.move_cost = 20;
	r->config.deployment.store_loads_rate = 2;
	r->config.deployment.store_inflight = 3;
	r->config.deployment.kv_share = 0.2;
}

static inline void rig_send_config(struct place_rig *r)
{
	struct pf_place_msg m;

	memset(&m, 0, sizeof(m));
	m.type = PF_PLACE_CONFIG;
	m.u.config = &r->config;
	rig_step(r, &m);
}

static inline void rig_send_lease(struct place_rig *r, bool held)
{
	struct pf_place_msg m;

	memset(&m, 0, sizeof(m));
	m.type = PF_PLACE_LEASE;
	m.u.lease_held = held;
	rig_step(r, &m);
}

/** Replaces the planner by a new one that holds the lease. */
static inline int rig_start_planner(struct place_rig *r,
				    const struct pf_place_opts *o)
{
	pf_place_free(r->place);
	r->place = pf_place_new(o);
	if (!r->place)
		return -1;
	rig_send_config(r);
	rig_send_lease(r, true);
	return 0;
}

static inline void rig_send_report(struct place_rig *r, uint32_t a)
{
	struct place_rig_agent *ag = &r->agents[a];
	struct pf_item items[RIG_MODELS_MAX + 1];
	struct pf_place_msg m;
	uint32_t n = 0;

	memset(items, 0, sizeof(items));
	memset(&m, 0, sizeof(m));
	for (uint32_t i = 0; i < ag->n_resident; i++) {
		items[n].id = ag->resident[i];
		items[n++].state = PF_ITEM_RESIDENT;
	}
	if (ag->loading) {
		items[n].id = ag->loading;
		items[n++].state = PF_ITEM_LOADING;
	}
	m.type = PF_PLACE_REPORT;
	m.u.report.agent = r->endpoints[a].id;
	m.u.report.incarnation = ag->incarnation;
	m.u.report.ready = true;
	m.u.report.items = items;
	m.u.report.n_items = n;
	rig_step(r, &m);
}

/* Ends a load, unloads unwanted models at once and starts the next load. */
static inline void rig_step_agent(struct place_rig *r, uint32_t a)
{
	struct place_rig_agent *ag = &r->agents[a];
	uint32_t n = 0;

	if (ag->loading && r->now >= ag->load_done) {
		ag->resident[ag->n_resident++] = ag->loading;
		ag->loading = 0;
	}
	for (uint32_t i = 0; i < ag->n_resident; i++)
		if (rig_contains(ag->wanted, ag->n_wanted, ag->resident[i]))
			ag->resident[n++] = ag->resident[i];
	ag->n_resident = n;
	for (uint32_t i = 0; i < ag->n_wanted && !ag->loading; i++) {
		if (rig_contains(ag->resident, ag->n_resident, ag->wanted[i]))
			continue;
		ag->loading = ag->wanted[i];
		ag->load_done = r->now + RIG_LOAD_MS;
	}
}

/** Loses the VM and its models; @notify: reports it to the planner. */
static inline void rig_kill_agent(struct place_rig *r, uint32_t a, bool notify)
{
	struct pf_place_msg m;

	memset(&m, 0, sizeof(m));
	memset(&r->agents[a], 0, sizeof(r->agents[a]));
	m.type = PF_PLACE_AGENT_LOST;
	m.u.agent = r->endpoints[a].id;
	if (notify)
		rig_step(r, &m);
}

static inline void rig_start_agent(struct place_rig *r, uint32_t a)
{
	r->agents[a].up = true;
	r->agents[a].incarnation = (uint64_t)r->now + 2;
}

/** Runs for @span in half-second steps with reports, demand and ticks. */
static inline void rig_run(struct place_rig *r, pf_ms span)
{
	struct pf_place_msg m;
	pf_ms end = r->now + span;

	for (; r->now < end; r->now += 500) {
		for (uint32_t a = 0; a < r->config.n_endpoints; a++) {
			if (!r->agents[a].up)
				continue;
			rig_step_agent(r, a);
			rig_send_report(r, a);
		}
		memset(&m, 0, sizeof(m));
		m.type = PF_PLACE_DEMAND;
		m.u.demand.entry = 1;
		m.u.demand.v = r->demand;
		m.u.demand.n = r->config.n_models;
		rig_step(r, &m);
		if (r->now < pf_place_next(r->place))
			continue;
		memset(&m, 0, sizeof(m));
		m.type = PF_PLACE_TICK;
		rig_step(r, &m);
		if (r->on_plan_done)
			r->on_plan_done(r);
	}
}

static inline uint32_t rig_count_replicas(const struct place_rig *r, uint32_t m)
{
	uint32_t n = 0;

	for (uint32_t a = 0; a < r->config.n_endpoints; a++)
		n += r->agents[a].up &&
		     rig_contains(r->agents[a].resident,
				  r->agents[a].n_resident, r->models[m].id);
	return n;
}

/** 0 if resident nowhere, 1 if in one zone, more if in several. */
static inline uint32_t rig_count_zones(const struct place_rig *r, uint32_t m)
{
	const char *first = NULL;
	uint32_t n = 0;

	for (uint32_t a = 0; a < r->config.n_endpoints; a++) {
		const struct place_rig_agent *ag = &r->agents[a];

		if (!ag->up || !rig_contains(ag->resident, ag->n_resident,
					     r->models[m].id))
			continue;
		if (first && strcmp(first, r->endpoints[a].zone) == 0)
			continue;
		first = r->endpoints[a].zone;
		n++;
	}
	return n;
}

/** Weight bytes of the declared models among @v. */
static inline int64_t rig_weight_bytes(const struct place_rig *r,
				       const uint64_t *v, uint32_t n)
{
	int64_t sum = 0;

	for (uint32_t i = 0; i < n; i++) {
		uint32_t m = rig_model_index(r, v[i]);

		if (m < r->config.n_models)
			sum += r->models[m].weight_bytes;
	}
	return sum;
}

#endif
