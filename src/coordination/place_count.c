/* Placement: what is wanted where, and the weight store's budget. */
#include "place_core.h"

void place_count(struct pf_placement *p, uint32_t m)
{
	struct place_model *mo = &p->models[m];
	uint64_t first = 0;

	mo->abroad = mo->abroad_at && p->now - mo->abroad_at < p->o.stale_after;
	mo->replicas = 0;
	mo->resident = 0;
	mo->zones = 0;
	mo->spare = 0;
	for (uint32_t a = 0; a < p->n_agents; a++) {
		const struct place_agent *ag = &p->agents[a];
		const struct place_cell *c = place_cell(p, m, a);

		if (!ag->alive || !c->want)
			continue;
		mo->replicas++;
		mo->resident += c->have;
		mo->spare += p->o.target_utilization * ag->batch - ag->load;
		if (mo->zones == 0)
			first = ag->zone;
		if (mo->zones == 0 || (mo->zones == 1 && ag->zone != first))
			mo->zones++;
	}
}

bool place_in_zone(const struct pf_placement *p, uint32_t m, uint64_t zone)
{
	for (uint32_t a = 0; a < p->n_agents; a++)
		if (p->agents[a].alive && p->agents[a].zone == zone &&
		    place_cell(p, m, a)->want)
			return true;
	return false;
}

void place_want(struct pf_placement *p, uint32_t m, uint32_t a, bool yes)
{
	struct place_cell *c = place_cell(p, m, a);
	int64_t bytes = p->models[m].record->weight_bytes;

	c->want = yes;
	c->since = p->now;
	p->agents[a].room += yes ? -bytes : bytes;
	p->agents[a].changed = true;
	/* Taking back what is still resident, or keeping it, costs no load. */
	if (yes && !c->have && !c->coming) {
		p->loads -= 1;
		p->pending++;
	}
	place_count(p, m);
}

/* Loads asked for and not finished, and those that go on unwanted. */
static uint32_t pending(const struct pf_placement *p)
{
	uint32_t n = 0;

	for (uint32_t m = 0; m < p->n_models; m++)
		for (uint32_t a = 0; a < p->n_agents; a++) {
			const struct place_cell *c = place_cell(p, m, a);

			n += p->agents[a].alive && !c->have &&
			     (c->want || c->coming);
		}
	return n;
}

void place_refill(struct pf_placement *p)
{
	p->pending = pending(p);
	p->waits = false;
	p->loads += p->rate * (double)(p->now - p->planned) / 1000;
	if (p->loads > 1)
		p->loads = 1;
}

bool place_may_load(struct pf_placement *p)
{
#ifdef PF_MUTANT_PLACE_BUDGET
	p->loads = 1;
#endif
	if (p->loads >= 1 && p->pending < p->inflight)
		return true;
	p->st.budget_waits += !p->waits;
	p->waits = true;
	return false;
}
