/* Placement: homes first, then replicas for demand, then second homes. */
#include "place_core.h"

/* Cost of evicting one of the last two replicas, in move costs. */
#define SECOND_HOME_COST_RATIO 0.5
/* Requests lost per active model at an engine: each one slows the batch. */
#define COLOCATION_COST_REQUESTS 0.5
/* Part of an evicted replica's requests lost even if others have capacity. */
#define TAKEOVER_LOSS_RATIO 0.2

struct candidate {
	uint32_t agent;
	double value; /* net gain over the horizon, seconds of service */
};

/*
 * Whether another region holds the model or must give it a home, so that it
 * may be evicted for a home of one of this region's models.
 */
static bool available_elsewhere(const struct pf_placement *p,
				const struct place_model *mo)
{
	return p->placing_assigned &&
	       (!mo->assigned_here || mo->resident_elsewhere);
}

/* Cost of evicting the replica, in seconds of service; -1: not allowed. */
static double eviction_cost(const struct pf_placement *p, uint32_t m,
			    uint32_t a)
{
	const struct place_cell *c = place_cell(p, m, a);
	const struct place_model *mo = &p->models[m];
	double horizon = (double)p->opts.horizon / 1000;
	double cost = c->requests * TAKEOVER_LOSS_RATIO * horizon;
	double spare = mo->spare_requests;

	if (!c->planned ||
	    p->now - c->planned_changed_at < p->opts.replica_min_age)
		return -1;
	/* The only replica stays, unless another region serves the model. */
	if (!available_elsewhere(p, mo) && mo->replicas < 2)
		return -1;
#ifndef PF_MUTANT_PLACE_LAST
	/* The last resident replica stays until another is loaded. */
	if (!available_elsewhere(p, mo) && c->resident &&
	    mo->resident_replicas < 2)
		return -1;
#endif
	if (mo->replicas <= 2)
		cost += p->config->deployment.move_cost *
			SECOND_HOME_COST_RATIO;
	spare -= p->opts.target_utilization * p->agents[a].batch_max -
		 p->agents[a].requests;
	if (spare < c->requests)
		cost += (c->requests - (spare > 0 ? spare : 0)) * horizon;
	return cost;
}

/* The replica at @a that is cheapest to evict, or PLACE_NONE. */
static uint32_t cheapest_victim(const struct pf_placement *p, uint32_t a,
				const bool *victims, double *cost)
{
	uint32_t best = PLACE_NONE;

	for (uint32_t m = 0; m < p->n_models; m++) {
		double c = victims[m] ? -1 : eviction_cost(p, m, a);

		if (c < 0 || (best != PLACE_NONE && c >= *cost))
			continue;
		best = m;
		*cost = c;
	}
	return best;
}

/*
 * Evicts replicas at @a until @bytes fit; without @commit only computes the
 * cost. Returns the cost in seconds of service, or -1 if they can't fit.
 */
static double make_room(struct pf_placement *p, uint32_t a, int64_t bytes,
			bool commit)
{
	int64_t room = p->agents[a].free_bytes;
	double total = 0;

#ifdef PF_MUTANT_PLACE_ROOM
	return 0;
#endif

	for (uint32_t m = 0; m < p->n_models; m++)
		p->victims[m] = false;
	while (room < bytes) {
		double cost = 0;
		uint32_t m = cheapest_victim(p, a, p->victims, &cost);

		if (m == PLACE_NONE)
			return -1;
		p->victims[m] = true;
		total += cost;
		room += p->models[m].record->weight_bytes;
		if (commit) {
			place_set_planned(p, m, a, false);
			p->stats.evictions++;
		}
	}
	return total;
}

static void add_replica(struct pf_placement *p, uint32_t m, uint32_t a)
{
	make_room(p, a, p->models[m].record->weight_bytes, true);
	place_set_planned(p, m, a, true);
}

/*
 * The cheapest engine for a home of @m, or PLACE_NONE. With @other_zone, only
 * in zones without one; without @may_evict, only where memory is free.
 */
static uint32_t best_home(struct pf_placement *p, uint32_t m, bool other_zone,
			  bool may_evict)
{
	int64_t bytes = p->models[m].record->weight_bytes;
	uint32_t best = PLACE_NONE;
	double least = 0;

	for (uint32_t a = 0; a < p->n_agents; a++) {
		const struct place_agent *ag = &p->agents[a];
		const struct place_cell *c = place_cell(p, m, a);
		double cost;

		if (!ag->available || c->planned ||
		    (other_zone && place_has_replica_in_zone(p, m, ag->zone)))
			continue;
		if (!may_evict && ag->free_bytes < bytes)
			continue;
		cost = make_room(p, a, bytes, false);
		if (cost < 0)
			continue;
		cost += ag->requests / ag->batch_max;
		/* A model that is still resident needs no load. */
		if (!c->resident)
			cost += p->config->deployment.move_cost;
		if (best == PLACE_NONE || cost < least) {
			best = a;
			least = cost;
		}
	}
	return best;
}

/* Whether a replica at @a needs no load, or the budget allows one. */
static bool within_budget(struct pf_placement *p, uint32_t m, uint32_t a)
{
	const struct place_cell *c = place_cell(p, m, a);

	return c->resident || c->loading || place_may_load(p);
}

/*
 * Gives a home to each model without one: with @assigned those assigned to
 * this region and not resident elsewhere, else the others. The largest come
 * first, so that small ones fill the gaps.
 */
static void plan_homes(struct pf_placement *p, bool assigned)
{
	p->placing_assigned = assigned;
	for (uint32_t i = 0; i < p->n_models; i++) {
		uint32_t m = p->models_by_size[i];
		const struct place_model *mo = &p->models[m];
		uint32_t a;

		if (mo->replicas > 0 ||
		    (mo->assigned_here && !mo->resident_elsewhere) != assigned)
			continue;
		a = best_home(p, m, false, true);
		p->stats.unplaced += assigned;
		if (a == PLACE_NONE || !within_budget(p, m, a))
			continue;
		add_replica(p, m, a);
		p->stats.homes++;
		p->stats.unplaced -= assigned;
	}
	p->placing_assigned = false;
}

/* Adds another home for a model held only by @a, so that @a can evict it. */
static void relocate(struct pf_placement *p, uint32_t a)
{
	for (uint32_t i = 0; i < p->n_models; i++) {
		uint32_t m = p->models_by_size[i];
		uint32_t to;

		if (!place_cell(p, m, a)->planned || p->models[m].replicas > 1)
			continue;
		to = best_home(p, m, false, false);
		if (to == PLACE_NONE || !within_budget(p, m, to))
			continue;
		add_replica(p, m, to);
		return;
	}
}

/* Evicts where a model or the KV share grew and the weights no longer fit. */
static void shrink_to_memory(struct pf_placement *p)
{
	for (uint32_t a = 0; a < p->n_agents; a++) {
		uint64_t before = p->stats.evictions;

		if (!p->agents[a].available || p->agents[a].free_bytes >= 0)
			continue;
		if (make_room(p, a, 0, true) < 0)
			relocate(p, a);
		p->stats.memory_evictions += p->stats.evictions - before;
	}
}

/*
 * Net gain of a further replica of @m at @a, in seconds of service over the
 * horizon; -1 if there can't be one.
 */
static double replica_gain(struct pf_placement *p, uint32_t m, uint32_t a,
			   double excess)
{
	const struct place_agent *ag = &p->agents[a];
	double spare =
		p->opts.target_utilization * ag->batch_max - ag->requests;
	double take = excess < spare ? excess : spare;
	double cost;

	take -= COLOCATION_COST_REQUESTS * ag->active_models;
	if (!ag->available || place_cell(p, m, a)->planned || take <= 0)
		return -1;
	cost = make_room(p, a, p->models[m].record->weight_bytes, false);
	if (cost < 0)
		return -1;
	if (!place_cell(p, m, a)->resident)
		cost += p->config->deployment.move_cost;
	return take * (double)p->opts.horizon / 1000 - cost;
}

static struct candidate best_candidate(struct pf_placement *p, uint32_t m,
				       double excess)
{
	struct candidate best = { PLACE_NONE, 0 };

	for (uint32_t a = 0; a < p->n_agents; a++) {
		double v = replica_gain(p, m, a, excess);

		if (v > best.value)
			best = (struct candidate){ a, v };
	}
	return best;
}

/* Adds the replica with the highest gain. False if none pays or has budget. */
static bool add_paying_replica(struct pf_placement *p)
{
	struct candidate best = { PLACE_NONE, 0 };
	uint32_t model = 0;

	for (uint32_t m = 0; m < p->n_models; m++) {
		double excess = place_excess_demand(p, m);
		struct candidate o;

		if (excess < 1)
			continue;
		o = best_candidate(p, m, excess);
		if (o.agent != PLACE_NONE && o.value > best.value) {
			best = o;
			model = m;
		}
	}
	if (best.agent == PLACE_NONE)
		return false;
	if (!within_budget(p, model, best.agent))
		return false;
	add_replica(p, model, best.agent);
	p->stats.replicas++;
	place_split_demand(p);
	return true;
}

/* Adds second homes in another zone. They evict nothing. */
static void plan_second_homes(struct pf_placement *p)
{
	for (uint32_t m = 0; m < p->n_models; m++) {
		uint32_t a;

		if (p->models[m].zones != 1)
			continue;
		a = best_home(p, m, true, false);
		if (a == PLACE_NONE || !within_budget(p, m, a))
			continue;
		add_replica(p, m, a);
		p->stats.second_homes++;
	}
}

void place_plan(struct pf_placement *p)
{
	for (uint32_t m = 0; m < p->n_models; m++)
		place_count_replicas(p, m);
	place_update_demand(p);
	place_refill_budget(p);
	place_split_demand(p);
	p->stats.unplaced = 0;
	plan_homes(p, true);
	plan_homes(p, false);
	place_split_demand(p);
	shrink_to_memory(p);
	while (add_paying_replica(p))
		;
	plan_second_homes(p);
	p->stats.plans++;
	p->last_plan_at = p->now;
}
