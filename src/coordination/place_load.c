/* Placement: demand, and its distribution over the replicas. */
#include "place_core.h"

#include <math.h>

#define SPLIT_ROUNDS 6
#define SPLIT_EXPONENT 0.5 /* damps each round's correction */
/* Added to each utilization, so that idle engines compare. */
#define UTILIZATION_FLOOR 0.05
/* A model with fewer requests at an engine doesn't slow the others there. */
#define ACTIVE_REQUESTS_MIN 0.5

void place_update_demand(struct pf_placement *p)
{
	pf_ms passed = p->now - p->last_plan_at;
	double decay = exp(-(double)passed / (double)p->opts.demand_decay);

	for (uint32_t m = 0; m < p->n_models; m++) {
		double sum = 0;

		for (uint32_t e = 0; e < p->n_entries; e++)
			if (p->now - p->entries[e].last_seen_at <
			    p->opts.stale_after)
				sum += p->entries[e].demand[m];
		p->models[m].demand *= decay;
		if (sum > p->models[m].demand)
			p->models[m].demand = sum;
	}
}

static void split_evenly(struct pf_placement *p, uint32_t m)
{
	for (uint32_t a = 0; a < p->n_agents; a++) {
		struct place_cell *c = place_cell(p, m, a);

		c->requests = 0;
		if (c->planned && p->agents[a].available)
			c->requests =
				p->models[m].demand / p->models[m].replicas;
	}
}

static void update_requests(struct pf_placement *p)
{
	for (uint32_t a = 0; a < p->n_agents; a++) {
		struct place_agent *ag = &p->agents[a];

		ag->requests = 0;
		ag->active_models = 0;
		if (!ag->available)
			continue;
		for (uint32_t m = 0; m < p->n_models; m++) {
			ag->requests += place_cell(p, m, a)->requests;
			ag->active_models += place_cell(p, m, a)->requests >=
					     ACTIVE_REQUESTS_MIN;
		}
	}
}

/* Shifts the model's requests towards its less utilized engines. */
static void rebalance(struct pf_placement *p, uint32_t m)
{
	double sum = 0;

	for (uint32_t a = 0; a < p->n_agents; a++) {
		struct place_cell *c = place_cell(p, m, a);
		const struct place_agent *ag = &p->agents[a];

		if (c->requests == 0)
			continue;
		c->requests /=
			pow(ag->requests / ag->batch_max + UTILIZATION_FLOOR,
			    SPLIT_EXPONENT);
		sum += c->requests;
	}
	for (uint32_t a = 0; sum > 0 && a < p->n_agents; a++)
		place_cell(p, m, a)->requests *= p->models[m].demand / sum;
}

void place_split_demand(struct pf_placement *p)
{
	for (uint32_t m = 0; m < p->n_models; m++)
		split_evenly(p, m);
	update_requests(p);
	for (int i = 0; i < SPLIT_ROUNDS; i++) {
		for (uint32_t m = 0; m < p->n_models; m++)
			if (p->models[m].replicas > 1)
				rebalance(p, m);
		update_requests(p);
	}
	for (uint32_t m = 0; m < p->n_models; m++)
		place_count_replicas(p, m);
}

double place_excess_demand(const struct pf_placement *p, uint32_t m)
{
	double sum = 0;

	for (uint32_t a = 0; a < p->n_agents; a++) {
		const struct place_agent *ag = &p->agents[a];
		double over = ag->requests -
			      p->opts.target_utilization * ag->batch_max;

		if (ag->available && over > 0)
			sum += over * place_cell(p, m, a)->requests /
			       ag->requests;
	}
	return sum;
}
