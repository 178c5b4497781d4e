/*
 * Retry budget. In each window, all gateways together may send retries for a
 * share of a service's requests and a slack on top. Each gateway earns the share
 * with each of its requests, and saves at most its equal part of the slack: so
 * it doesn't matter how its traffic varies, and a restart can't earn twice. A new
 * process has saved nothing, as its predecessor may have used it.
 */
#include "src/coordination/gate/gate_core.h"

#define SECOND_MS 1000

/* Returns NULL without memory. */
static struct gate_budget *budget_of(struct pf_gate *g, uint64_t service)
{
	struct gate_service *s = gate_service(g, service);

	return s ? &s->budget : NULL;
}

/* This gateway's part of the slack. Gateways that are cut off still use theirs, so
 * those with a row in the store count also if they aren't heard. */
static double slack_part(const struct pf_gate *g)
{
	uint32_t others = gate_peers_known(g);

	if (g->n_members > others)
		others = g->n_members;
	return g->opts.repeat_slack / (1 + others);
}

/* What a gateway may have saved when retries set in; the fleet's savings are
 * the slack. Before it knows how many others there are, it saves no more than
 * one request earns. */
static double savings_max(const struct pf_gate *g)
{
	double part = g->opts.in_fleet && !g->members_read ? 0 : slack_part(g);

	return g->opts.repeat_ratio > part ? g->opts.repeat_ratio : part;
}

/* Those of a new process are full after a window, but for what it has used. */
static void fill_savings(struct pf_gate *g, struct gate_budget *b)
{
	double left = savings_max(g) - b->used_at_first;

	if (b->filled || g->now - g->started_at <= g->opts.repeat_window)
		return;
	b->filled = true;
	if (b->saved < left)
		b->saved = left;
}

void gate_budget_add_request(struct pf_gate *g, uint64_t service)
{
	struct gate_budget *b = budget_of(g, service);

	if (!b || g->opts.repeat_ratio <= 0)
		return;
	fill_savings(g, b);
	b->saved += g->opts.repeat_ratio;
	if (b->saved > savings_max(g))
		b->saved = savings_max(g);
}

/* A retry takes one. Where gateways save less, all of it is staked, so that
 * the fleet's retries come to what it has saved. */
static bool take_saved(struct pf_gate *g, struct gate_budget *b)
{
	double stake = b->saved;

	if (b->saved >= 1) {
#ifndef PF_MUTANT_GATE_SLACK
		b->saved -= 1;
#endif
	} else if (savings_max(g) >= 1) {
		return false;
	} else {
		b->saved = 0;
		if (pf_rng_unit(&g->rng) >= stake)
			return false;
	}
	b->used_at_first += !b->filled;
	return true;
}

/* Retries in the window where requests earn none. The newest second is
 * incomplete: one more covers the window. */
static uint32_t count_slack_used(struct pf_gate *g, struct gate_budget *b)
{
	int64_t span = g->opts.repeat_window / SECOND_MS + 1;
	int64_t second = g->now / SECOND_MS;
	uint32_t n = 0;
	int64_t i;

	if (b->newest_second < second - GATE_BUDGET_BUCKETS)
		b->newest_second = second - GATE_BUDGET_BUCKETS;
	while (b->newest_second < second)
		b->slack_used[++b->newest_second % GATE_BUDGET_BUCKETS] = 0;
	for (i = 0; i <= span && i < GATE_BUDGET_BUCKETS; i++)
		n += b->slack_used[(second - i) % GATE_BUDGET_BUCKETS];
	return n;
}

static bool take_slack(struct pf_gate *g, struct gate_budget *b)
{
	if (g->now - g->started_at <= g->opts.repeat_window ||
	    (g->opts.in_fleet && !g->members_read) ||
	    count_slack_used(g, b) + 1 > slack_part(g))
		return false;
	b->slack_used[b->newest_second % GATE_BUDGET_BUCKETS]++;
	return true;
}

bool gate_budget_take_retry(struct pf_gate *g, uint64_t service)
{
	struct gate_budget *b = budget_of(g, service);

	if (!b)
		return false;
	if (g->opts.repeat_ratio <= 0)
		return take_slack(g, b);
	fill_savings(g, b);
	return take_saved(g, b);
}

void gate_budget_members(struct pf_gate *g, uint32_t others)
{
	g->n_members = others;
	g->members_read = true;
}
