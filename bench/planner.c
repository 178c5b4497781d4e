/* The planner on the first entry's VM and the demand sent to it. */
#include "bench/world.h"

#include <stdlib.h>
#include <string.h>

static void planner_emit(void *ctx, const struct pf_place_act *a)
{
	struct bench *b = ctx;
	uint32_t i = 0;
	struct event *e;

	while (b->agents[i].endpoint->id != a->agent)
		i++;
	e = world_push(b, world_latency(b, 0, i), EV_PLACE);
	e->agent = i;
	e->placed_items = calloc(a->n_items + 1, sizeof(*e->placed_items));
	if (!e->placed_items)
		abort();
	memcpy(e->placed_items, a->items,
	       a->n_items * sizeof(*e->placed_items));
	e->u.agent_msg.type = PF_AGENT_PLACE;
	e->u.agent_msg.u.place.items = e->placed_items;
	e->u.agent_msg.u.place.n_items = a->n_items;
}

void world_step_planner(struct bench *b, const struct pf_place_msg *m)
{
	struct pf_place_sink sink = { planner_emit, b };

	pf_ms next;

	if (!b->planner)
		return;
	pf_place_step(b->planner, b->now, m, &sink);
	next = pf_place_next(b->planner);
	if (next >= b->planner_tick)
		return;
	b->planner_tick = next;
	world_push(b, next > b->now ? next - b->now : 0, EV_PLANNER_TICK);
}

void world_forward_to_planner(struct bench *b, const struct event *e)
{
	struct pf_place_msg m = { .type = PF_PLACE_AGENT_LOST };

	if (e->entry != 0)
		return;
	m.u.agent = e->u.entry_msg.agent;
	if (e->u.entry_msg.type == PF_ENTRY_REPORT) {
		m.type = PF_PLACE_REPORT;
		m.u.report = e->u.entry_msg.u.report;
		world_step_planner(b, &m);
	} else if (e->u.entry_msg.type == PF_ENTRY_LEAVING ||
		   e->u.entry_msg.type == PF_ENTRY_LINK_DOWN) {
		world_step_planner(b, &m);
	}
}

void world_send_demand(struct bench *b)
{
	struct pf_demand v[DEMAND_MODELS_MAX];
	struct pf_place_msg m = { .type = PF_PLACE_DEMAND };

	for (uint32_t i = 0; i < ENTRIES; i++) {
		m.u.demand.entry = i + 1;
		m.u.demand.v = v;
		m.u.demand.n = pf_entry_demand(b->entries[i].core, v,
					       DEMAND_MODELS_MAX);
		world_step_planner(b, &m);
	}
	world_push(b, DEMAND_INTERVAL_MS, EV_DEMAND);
}

void world_planner_start(struct bench *b)
{
	struct pf_place_msg m = { .type = PF_PLACE_CONFIG };
	struct pf_place_opts o;

	if (b->opts->policy->placement != PLACEMENT_PLANNED)
		return;
	pf_place_opts_default(&o);
	b->planner = pf_place_new(&o);
	if (!b->planner)
		abort();
	b->planner_tick = TICK_NONE;
	m.u.config = b->opts->config;
	world_step_planner(b, &m);
	m.type = PF_PLACE_LEASE;
	m.u.lease_held = true;
	world_step_planner(b, &m);
	world_push(b, DEMAND_INTERVAL_MS, EV_DEMAND);
}
