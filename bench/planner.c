/* The planner beside the first entry, and the demand that it hears. */
#include "bench/world.h"

#include <stdlib.h>
#include <string.h>

static void place_emit(void *ctx, const struct pf_place_act *a)
{
	struct bench *b = ctx;
	uint32_t i = 0;
	struct event *e;

	while (b->agents[i].endpoint->id != a->agent)
		i++;
	e = world_push(b, world_latency(b, 0, i), EV_PLACE);
	e->agent = i;
	e->wants = calloc(a->n_items + 1, sizeof(*e->wants));
	if (!e->wants)
		abort();
	memcpy(e->wants, a->items, a->n_items * sizeof(*e->wants));
	e->u.agent_msg.type = PF_AGENT_PLACE;
	e->u.agent_msg.u.place.items = e->wants;
	e->u.agent_msg.u.place.n_items = a->n_items;
}

void world_to_place(struct bench *b, const struct pf_place_msg *m)
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
	world_push(b, next > b->now ? next - b->now : 0, EV_PLACE_TICK);
}

/* What the planner hears from the messages to the entry beside it. */
void world_place_hears(struct bench *b, const struct event *e)
{
	struct pf_place_msg m = { .type = PF_PLACE_AGENT_LOST };

	if (e->entry != 0)
		return;
	m.u.agent = e->u.entry_msg.agent;
	if (e->u.entry_msg.type == PF_ENTRY_REPORT) {
		m.type = PF_PLACE_REPORT;
		m.u.report = e->u.entry_msg.u.report;
		world_to_place(b, &m);
	} else if (e->u.entry_msg.type == PF_ENTRY_LEAVING ||
		   e->u.entry_msg.type == PF_ENTRY_LINK_DOWN) {
		world_to_place(b, &m);
	}
}

void world_demand_round(struct bench *b)
{
	struct pf_demand v[MODELS_MAX];
	struct pf_place_msg m = { .type = PF_PLACE_DEMAND };

	for (uint32_t i = 0; i < ENTRIES; i++) {
		m.u.demand.entry = i + 1;
		m.u.demand.v = v;
		m.u.demand.n =
			pf_entry_demand(b->entries[i].core, v, MODELS_MAX);
		world_to_place(b, &m);
	}
	world_push(b, DEMAND_EVERY_MS, EV_DEMAND);
}

void world_place_start(struct bench *b)
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
	world_to_place(b, &m);
	m.type = PF_PLACE_LEASE;
	m.u.lease_held = true;
	world_to_place(b, &m);
	world_push(b, DEMAND_EVERY_MS, EV_DEMAND);
}
