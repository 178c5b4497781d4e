/* Placement: demand, and how it falls on the replicas. */
#include "place_core.h"

#include <math.h>

#define SPLIT_ROUNDS 6
#define SPLIT_STEP 0.5 /* exponent of a round's correction */
#define LOAD_FLOOR 0.05 /* of a batch, so that idle engines compare */
#define NOTABLE 0.5 /* requests that make a model active at an engine */

void place_demand_update(struct pf_placement *p)
{
	pf_ms passed = p->now - p->planned;
	double fade = exp(-(double)passed / (double)p->o.demand_decay);

	for (uint32_t m = 0; m < p->n_models; m++) {
		double sum = 0;

		for (uint32_t e = 0; e < p->n_entries; e++)
			if (p->now - p->entries[e].seen < p->o.stale_after)
				sum += p->entries[e].demand[m];
		p->models[m].demand *= fade;
		if (sum > p->models[m].demand)
			p->models[m].demand = sum;
	}
}

static void spread_evenly(struct pf_placement *p, uint32_t m)
{
	for (uint32_t a = 0; a < p->n_agents; a++) {
		struct place_cell *c = place_cell(p, m, a);

		c->share = 0;
		if (c->want && p->agents[a].alive)
			c->share = p->models[m].demand / p->models[m].replicas;
	}
}

static void sum_loads(struct pf_placement *p)
{
	for (uint32_t a = 0; a < p->n_agents; a++) {
		struct place_agent *ag = &p->agents[a];

		ag->load = 0;
		ag->active = 0;
		if (!ag->alive)
			continue;
		for (uint32_t m = 0; m < p->n_models; m++) {
			ag->load += place_cell(p, m, a)->share;
			ag->active += place_cell(p, m, a)->share >= NOTABLE;
		}
	}
}

/* Moves the model's shares towards its less loaded engines. */
static void even_out(struct pf_placement *p, uint32_t m)
{
	double sum = 0;

	for (uint32_t a = 0; a < p->n_agents; a++) {
		struct place_cell *c = place_cell(p, m, a);
		const struct place_agent *ag = &p->agents[a];

		if (c->share == 0)
			continue;
		c->share /= pow(ag->load / ag->batch + LOAD_FLOOR, SPLIT_STEP);
		sum += c->share;
	}
	for (uint32_t a = 0; sum > 0 && a < p->n_agents; a++)
		place_cell(p, m, a)->share *= p->models[m].demand / sum;
}

void place_split(struct pf_placement *p)
{
	for (uint32_t m = 0; m < p->n_models; m++)
		spread_evenly(p, m);
	sum_loads(p);
	for (int i = 0; i < SPLIT_ROUNDS; i++) {
		for (uint32_t m = 0; m < p->n_models; m++)
			if (p->models[m].replicas > 1)
				even_out(p, m);
		sum_loads(p);
	}
	for (uint32_t m = 0; m < p->n_models; m++)
		place_count(p, m);
}

double place_excess(const struct pf_placement *p, uint32_t m)
{
	double sum = 0;

	for (uint32_t a = 0; a < p->n_agents; a++) {
		const struct place_agent *ag = &p->agents[a];
		double over = ag->load - p->o.target_utilization * ag->batch;

		if (ag->alive && over > 0)
			sum += over * place_cell(p, m, a)->share / ag->load;
	}
	return sum;
}
