/* Placement: replica counts and the weight store's budget. */
#include "place_core.h"

void place_count_replicas(struct pf_placement *p, uint32_t m)
{
	struct place_model *mo = &p->models[m];
	uint64_t first = 0;

	mo->resident_elsewhere =
		mo->seen_elsewhere &&
		p->now - mo->seen_elsewhere < p->opts.stale_after;
	mo->replicas = 0;
	mo->resident_replicas = 0;
	mo->zones = 0;
	mo->spare_requests = 0;
	for (uint32_t a = 0; a < p->n_agents; a++) {
		const struct place_agent *ag = &p->agents[a];
		const struct place_cell *c = place_cell(p, m, a);

		if (!ag->available || !c->planned)
			continue;
		mo->replicas++;
		mo->resident_replicas += c->resident;
		mo->spare_requests +=
			p->opts.target_utilization * ag->batch_max -
			ag->requests;
		if (mo->zones == 0)
			first = ag->zone;
		if (mo->zones == 0 || (mo->zones == 1 && ag->zone != first))
			mo->zones++;
	}
}

bool place_has_replica_in_zone(const struct pf_placement *p, uint32_t m,
			       uint64_t zone)
{
	for (uint32_t a = 0; a < p->n_agents; a++)
		if (p->agents[a].available && p->agents[a].zone == zone &&
		    place_cell(p, m, a)->planned)
			return true;
	return false;
}

void place_set_planned(struct pf_placement *p, uint32_t m, uint32_t a, bool yes)
{
	struct place_cell *c = place_cell(p, m, a);
	int64_t bytes = p->models[m].record->weight_bytes;

	c->planned = yes;
	c->planned_changed_at = p->now;
	p->agents[a].free_bytes += yes ? -bytes : bytes;
	p->agents[a].needs_order = true;
	/* A model still resident or loading there needs no further load. */
	if (yes && !c->resident && !c->loading) {
		p->load_tokens -= 1;
		p->in_flight++;
	}
	place_count_replicas(p, m);
}

/* Loads not finished: ordered, or still running though no longer planned. */
static uint32_t count_in_flight(const struct pf_placement *p)
{
	uint32_t n = 0;

	for (uint32_t m = 0; m < p->n_models; m++)
		for (uint32_t a = 0; a < p->n_agents; a++) {
			const struct place_cell *c = place_cell(p, m, a);

			n += p->agents[a].available && !c->resident &&
			     (c->planned || c->loading);
		}
	return n;
}

void place_refill_budget(struct pf_placement *p)
{
	p->in_flight = count_in_flight(p);
	p->load_waiting = false;
	p->load_tokens +=
		p->load_rate * (double)(p->now - p->last_plan_at) / 1000;
	if (p->load_tokens > 1)
		p->load_tokens = 1;
}

bool place_may_load(struct pf_placement *p)
{
#ifdef PF_MUTANT_PLACE_BUDGET
	p->load_tokens = 1;
#endif
	if (p->load_tokens >= 1 && p->in_flight < p->in_flight_max)
		return true;
	p->stats.budget_waits += !p->load_waiting;
	p->load_waiting = true;
	return false;
}
