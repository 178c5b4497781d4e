/* Placement: homes first, then replicas that pay, then second homes. */
#include "place_core.h"

#define SECOND_HOME_PART 0.5 /* of a move's cost: what losing one costs */
#define COLOCATE_COST 0.5 /* requests; each further model slows the batch */
#define LOST_SHARE 0.2 /* of a share that other replicas take over easily */

/* A way to put a model at an engine: what must go, what it brings. */
struct offer {
	uint32_t agent;
	double value; /* seconds of service regained over the horizon */
};

/* A model that another region holds or owes a home, while we lack room. */
static bool foreign(const struct pf_placement *p, const struct place_model *mo)
{
	return p->urgent && (!mo->own || mo->abroad);
}

/* What it costs, in seconds of service, to give up the replica; -1: never. */
static double loss(const struct pf_placement *p, uint32_t m, uint32_t a)
{
	const struct place_cell *c = place_cell(p, m, a);
	const struct place_model *mo = &p->models[m];
	double horizon = (double)p->o.horizon / 1000;
	double cost = c->share * LOST_SHARE * horizon;
	double spare = mo->spare;

	if (!c->want || p->now - c->since < p->o.replica_min_age)
		return -1;
	/* What has a home in another region, or is owed one there, gives way
	 * only to what would be left without any. */
	if (!foreign(p, mo) && mo->replicas < 2)
		return -1;
		/* The last one that is there stays until another has come. */
#ifndef PF_MUTANT_PLACE_LAST
	if (!foreign(p, mo) && c->have && mo->resident < 2)
		return -1;
#endif
	if (mo->replicas <= 2)
		cost += p->config->deployment.move_cost * SECOND_HOME_PART;
	spare -= p->o.target_utilization * p->agents[a].batch -
		 p->agents[a].load;
	if (spare < c->share)
		cost += (c->share - (spare > 0 ? spare : 0)) * horizon;
	return cost;
}

/* The replica at @a that is cheapest to give up, or PLACE_NONE. */
static uint32_t cheapest_victim(const struct pf_placement *p, uint32_t a,
				const bool *taken, double *cost)
{
	uint32_t best = PLACE_NONE;

	for (uint32_t m = 0; m < p->n_models; m++) {
		double c = taken[m] ? -1 : loss(p, m, a);

		if (c < 0 || (best != PLACE_NONE && c >= *cost))
			continue;
		best = m;
		*cost = c;
	}
	return best;
}

/*
 * Gives up replicas at @a until @bytes fit. Without @commit only the cost is
 * worked out. The cost, or -1 when it can't be done.
 */
static double make_room(struct pf_placement *p, uint32_t a, int64_t bytes,
			bool commit)
{
	int64_t room = p->agents[a].room;
	double total = 0;

#ifdef PF_MUTANT_PLACE_ROOM
	return 0;
#endif

	for (uint32_t m = 0; m < p->n_models; m++)
		p->taken[m] = false;
	while (room < bytes) {
		double cost = 0;
		uint32_t m = cheapest_victim(p, a, p->taken, &cost);

		if (m == PLACE_NONE)
			return -1;
		p->taken[m] = true;
		total += cost;
		room += p->models[m].record->weight_bytes;
		if (commit) {
			place_want(p, m, a, false);
			p->st.evictions++;
		}
	}
	return total;
}

static void place_at(struct pf_placement *p, uint32_t m, uint32_t a)
{
	make_room(p, a, p->models[m].record->weight_bytes, true);
	place_want(p, m, a, true);
}

/* The best engine for a home of @m; outside zones that have one if @apart. */
static uint32_t home_for(struct pf_placement *p, uint32_t m, bool apart,
			 bool evict)
{
	int64_t bytes = p->models[m].record->weight_bytes;
	uint32_t best = PLACE_NONE;
	double least = 0;

	for (uint32_t a = 0; a < p->n_agents; a++) {
		const struct place_agent *ag = &p->agents[a];
		const struct place_cell *c = place_cell(p, m, a);
		double cost;

		if (!ag->alive || c->want ||
		    (apart && place_in_zone(p, m, ag->zone)))
			continue;
		if (!evict && ag->room < bytes)
			continue;
		cost = make_room(p, a, bytes, false);
		if (cost < 0)
			continue;
		cost += ag->load / ag->batch;
		/* Where it is resident still, it costs no load. */
		if (!c->have)
			cost += p->config->deployment.move_cost;
		if (best == PLACE_NONE || cost < least) {
			best = a;
			least = cost;
		}
	}
	return best;
}

/* Whether the model can be put at @a with the budget there is. */
static bool affordable(struct pf_placement *p, uint32_t m, uint32_t a)
{
	const struct place_cell *c = place_cell(p, m, a);

	return c->have || c->coming || place_may_load(p);
}

/* The largest first: what is small fits into what they leave. */
static void plan_homes(struct pf_placement *p, bool own)
{
	p->urgent = own;
	for (uint32_t i = 0; i < p->n_models; i++) {
		uint32_t m = p->by_size[i];
		const struct place_model *mo = &p->models[m];
		uint32_t a;

		if (mo->replicas > 0 || (mo->own && !mo->abroad) != own)
			continue;
		a = home_for(p, m, false, true);
		p->st.unplaced += own;
		if (a == PLACE_NONE || !affordable(p, m, a))
			continue;
		place_at(p, m, a);
		p->st.homes++;
		p->st.unplaced -= own;
	}
	p->urgent = false;
}

/* Another home for what stands at @a alone, so that it can be given up. */
static void relocate(struct pf_placement *p, uint32_t a)
{
	for (uint32_t i = 0; i < p->n_models; i++) {
		uint32_t m = p->by_size[i];
		uint32_t to;

		if (!place_cell(p, m, a)->want || p->models[m].replicas > 1)
			continue;
		to = home_for(p, m, false, false);
		if (to == PLACE_NONE || !affordable(p, m, to))
			continue;
		place_at(p, m, to);
		return;
	}
}

/* Where a model grew or the KV share did, weights have to go. */
static void shed(struct pf_placement *p)
{
	for (uint32_t a = 0; a < p->n_agents; a++) {
		uint64_t before = p->st.evictions;

		if (!p->agents[a].alive || p->agents[a].room >= 0)
			continue;
		if (make_room(p, a, 0, true) < 0)
			relocate(p, a);
		p->st.memory_evictions += p->st.evictions - before;
	}
}

/* What a further replica of @m at @a regains, less what it costs. */
static double gain(struct pf_placement *p, uint32_t m, uint32_t a,
		   double excess)
{
	const struct place_agent *ag = &p->agents[a];
	double spare = p->o.target_utilization * ag->batch - ag->load;
	double take = excess < spare ? excess : spare;
	double cost;

	take -= COLOCATE_COST * ag->active;
	if (!ag->alive || place_cell(p, m, a)->want || take <= 0)
		return -1;
	cost = make_room(p, a, p->models[m].record->weight_bytes, false);
	if (cost < 0)
		return -1;
	if (!place_cell(p, m, a)->have)
		cost += p->config->deployment.move_cost;
	return take * (double)p->o.horizon / 1000 - cost;
}

static struct offer best_offer(struct pf_placement *p, uint32_t m,
			       double excess)
{
	struct offer best = { PLACE_NONE, 0 };

	for (uint32_t a = 0; a < p->n_agents; a++) {
		double v = gain(p, m, a, excess);

		if (v > best.value)
			best = (struct offer){ a, v };
	}
	return best;
}

/* Adds the replica that pays most. False when none does. */
static bool grow(struct pf_placement *p)
{
	struct offer best = { PLACE_NONE, 0 };
	uint32_t model = 0;

	for (uint32_t m = 0; m < p->n_models; m++) {
		double excess = place_excess(p, m);
		struct offer o;

		if (excess < 1)
			continue;
		o = best_offer(p, m, excess);
		if (o.agent != PLACE_NONE && o.value > best.value) {
			best = o;
			model = m;
		}
	}
	if (best.agent == PLACE_NONE)
		return false;
	if (!affordable(p, model, best.agent))
		return false;
	place_at(p, model, best.agent);
	p->st.replicas++;
	place_split(p);
	return true;
}

/* Second homes come last and displace nothing. */
static void plan_seconds(struct pf_placement *p)
{
	for (uint32_t m = 0; m < p->n_models; m++) {
		uint32_t a;

		if (p->models[m].zones != 1)
			continue;
		a = home_for(p, m, true, false);
		if (a == PLACE_NONE || !affordable(p, m, a))
			continue;
		place_at(p, m, a);
		p->st.second_homes++;
	}
}

void place_plan(struct pf_placement *p)
{
	for (uint32_t m = 0; m < p->n_models; m++)
		place_count(p, m);
	place_demand_update(p);
	place_refill(p);
	place_split(p);
	p->st.unplaced = 0;
	plan_homes(p, true);
	plan_homes(p, false);
	place_split(p);
	shed(p);
	while (grow(p))
		;
	plan_seconds(p);
	p->st.plans++;
	p->planned = p->now;
}
