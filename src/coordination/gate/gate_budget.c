/*
 * The budget of further sends. Gateways share one budget for each service:
 * each counts the ratio on its own requests and an equal part of the slack. A
 * fresh process leaves its part of the slack to the one that it may follow.
 */
#include "src/coordination/gate/gate_core.h"

#include <string.h>

#define SECOND_MS 1000

static struct gate_budget *budget_of(struct pf_gate *g, uint64_t service)
{
	uint32_t i;

	for (i = 0; i < GATE_SERVICES_MAX; i++) {
		struct gate_budget *b = &g->budgets[i];

		if (b->service == service)
			return b;
		if (b->service == 0) {
			b->service = service;
			return b;
		}
	}
	return NULL;
}

static uint32_t *bucket(struct gate_budget *b, uint32_t *counts, int64_t second)
{
	if (b->second < second - GATE_BUCKETS)
		b->second = second - GATE_BUCKETS;
	while (b->second < second) {
		b->second++;
		b->requests[b->second % GATE_BUCKETS] = 0;
		b->repeats[b->second % GATE_BUCKETS] = 0;
	}
	return &counts[second % GATE_BUCKETS];
}

void gate_budget_request(struct pf_gate *g, uint64_t service)
{
	struct gate_budget *b = budget_of(g, service);

	if (b)
		(*bucket(b, b->requests, g->now / SECOND_MS))++;
}

bool gate_budget_repeat(struct pf_gate *g, uint64_t service)
{
	struct gate_budget *b = budget_of(g, service);
	int64_t span = g->o.repeat_window / SECOND_MS + 1;
	double allowed = 0;
	uint32_t requests = 0;
	uint32_t repeats = 0;
	uint32_t *now;
	int64_t i;

	if (!b)
		return false;
	now = bucket(b, b->repeats, g->now / SECOND_MS);
	/* The second at hand is only begun: one more covers the window. */
	for (i = 0; i <= span && i < GATE_BUCKETS; i++) {
		repeats += b->repeats[(b->second - i) % GATE_BUCKETS];
		if (i < span - 1)
			requests += b->requests[(b->second - i) % GATE_BUCKETS];
	}
	allowed = g->o.repeat_ratio * requests;
#ifdef PF_MUTANT_GATE_SLACK
	allowed += (double)g->o.repeat_slack;
#else
	if (g->now - g->started > g->o.repeat_window)
		allowed += (double)g->o.repeat_slack / gate_peers_alive(g);
#endif
	if (repeats + 1 > allowed)
		return false;
	(*now)++;
	return true;
}
