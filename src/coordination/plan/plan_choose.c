/* Which loads and unloads are due. */
#include "src/coordination/plan/plan_core.h"

#include <math.h>

/* A loader that was not heard for so long gets no orders. */
#define STATE_FRESH_MS 1500
/* With more requests under way at once, prompts and events wait for each
 * other at an engine: a model whose least busy home has more gets another. */
#define BUSY_REQUESTS 8
/* A home may go when those that stay would have fewer than this. */
#define SPARE_REQUESTS 4
/* At an engine that is not busy a request takes about so long: demand that
 * rises shows in arrivals before it shows in what is under way. */
#define SERVICE_TIME_S 1.2
/* A new home stays for so long. */
#define NEW_HOME_KEEP_MS 5000
/* A model that nobody asked for within this may lose its last home to one
 * whose homes are so busy, or that has none. */
#define IN_DEMAND_MS 7000
#define EVICT_LAST_URGENCY 14
/* A model with less under way is rare. */
#define RARE_REQUESTS 1
/* A model without a home is as urgent as one whose homes are so busy. */
#define NO_HOME_URGENCY BUSY_REQUESTS
/* Room that was made stays reserved for so long. */
#define RESERVE_MS 2500
/* Of an engine's memory left for adapters. */
#define ADAPTER_MEMORY_SHARE 0.005
/* What a load from the weight store costs against one from a copy, and what
 * room that must be made first costs, as requests under way. */
#define STORE_COST 5
#define EVICT_COST 2
/* The same where requests wait for it. */
#define STORE_WAIT_COST 30
/* And an engine that is left with all of its memory. */
#define UNUSED_MEMORY_COST 20
#define ORDERS_PER_TICK_MAX 32

static bool engine_usable(const struct pf_plan *p, const struct plan_engine *e)
{
	return e->id && e->service == p->service->id && e->listed &&
	       !e->draining && e->state_received_at &&
	       p->now - e->state_received_at < STATE_FRESH_MS;
}

static double model_mb(struct pf_plan *p, uint64_t id)
{
	const struct plan_model *m = plan_find_model(p, id);

	return m ? m->spec->weights_mb : 0;
}

static double free_mb(struct pf_plan *p, const struct plan_engine *e)
{
	double room = p->service->memory_mb * (1 - ADAPTER_MEMORY_SHARE);
	uint32_t i;

	for (i = 0; i < e->n_residents; i++)
		room -= model_mb(p, e->residents[i]);
	/* What was not given up yet will_hold its room. */
	if (e->unloading_model && !plan_engine_has(e, e->unloading_model))
		room -= model_mb(p, e->unloading_model);
	/* A load under way has its room already. */
	if (e->order_model && e->order_is_load &&
	    !plan_engine_has(e, e->order_model))
		room -= model_mb(p, e->order_model);
	return room;
}

/* An order to unload counts as carried out. */
static bool will_hold(const struct plan_engine *e, uint64_t id)
{
	if (e->order_model == id)
		return e->order_is_load;
	return plan_engine_has(e, id);
}

static void count_homes(struct pf_plan *p)
{
	uint32_t i;
	uint32_t k;

	for (i = 0; i < p->n_models; i++) {
		struct plan_model *m = &p->models[i];

		m->homes = 0;
		m->homes_loading = 0;
		for (k = 0; k < p->opts.endpoints_max; k++) {
			const struct plan_engine *e = &p->engines[k];

			if (!e->id || !e->listed || e->draining ||
			    !will_hold(e, m->spec->id))
				continue;
			m->homes++;
			m->homes_loading += !plan_engine_has(e, m->spec->id);
		}
	}
}

static double expected_requests(const struct plan_model *m)
{
	double expected = m->arrivals_per_s * SERVICE_TIME_S;

	return m->requests > expected ? m->requests : expected;
}

static double requests_per_home(const struct plan_model *m)
{
	return expected_requests(m) / (m->homes ? m->homes : 1);
}

static void estimate_engine_requests(struct pf_plan *p)
{
	uint32_t i;
	uint32_t k;

	for (i = 0; i < p->opts.endpoints_max; i++) {
		struct plan_engine *e = &p->engines[i];

		e->est_requests = 0;
		for (k = 0; e->id && k < p->n_models; k++) {
			if (will_hold(e, p->models[k].spec->id))
				e->est_requests +=
					requests_per_home(&p->models[k]);
		}
	}
}

/* Work at the least busy home of @m. */
static double least_busy_home(const struct pf_plan *p,
			      const struct plan_model *m)
{
	double least = INFINITY;
	uint32_t i;

	for (i = 0; i < p->opts.endpoints_max; i++) {
		const struct plan_engine *e = &p->engines[i];

		if (e->id && e->listed && !e->draining &&
		    will_hold(e, m->spec->id) && e->est_requests < least)
			least = e->est_requests;
	}
	return least;
}

static bool in_demand(const struct pf_plan *p, const struct plan_model *m)
{
	return m->last_demand_at && p->now - m->last_demand_at < IN_DEMAND_MS;
}

/* Whether another home of @m is due, and how urgent it is; 0: not. */
static double home_urgency(const struct pf_plan *p, const struct plan_model *m)
{
	double least;

	/* One that nobody asks for is brought back when there is room. */
	if (m->homes == 0)
		return in_demand(p, m)
			       ? NO_HOME_URGENCY + 2 * expected_requests(m)
			       : 0.1;
	least = least_busy_home(p, m);
	if (least < BUSY_REQUESTS || requests_per_home(m) < BUSY_REQUESTS / 4.0)
		return 0;
	return least;
}

/* Whether a home of @v may go for one of @m. */
static bool may_evict(const struct pf_plan *p, const struct plan_model *v,
		      const struct plan_model *m, double urgency)
{
	uint32_t stay = v->homes - v->homes_loading;

	if (v == m || p->now - v->home_added_at < NEW_HOME_KEEP_MS)
		return false;
	if (stay >= 2)
		return expected_requests(v) / (stay - 1) <= SPARE_REQUESTS;
	/* The last home of a model that nobody asks for: it is loaded again
	 * from a disk as soon as somebody does. */
	return urgency >= EVICT_LAST_URGENCY && !in_demand(p, v);
}

/* A model that @e could give up for @m, the least asked for; NULL: none. */
static struct plan_model *pick_victim(struct pf_plan *p,
				      const struct plan_engine *e,
				      const struct plan_model *m,
				      double urgency)
{
	struct plan_model *best = NULL;
	bool best_last = false;
	uint32_t i;

	for (i = 0; i < e->n_residents; i++) {
		struct plan_model *v = plan_find_model(p, e->residents[i]);
		bool last;

		if (!v || !will_hold(e, v->spec->id) ||
		    !may_evict(p, v, m, urgency))
			continue;
		last = v->homes - v->homes_loading < 2;
		if (!best || last < best_last ||
		    (last == best_last &&
		     requests_per_home(v) < requests_per_home(best))) {
			best = v;
			best_last = last;
		}
	}
	return best;
}

/* Whether room for @m can be made at @e by giving up what may go. */
static bool can_make_room(struct pf_plan *p, const struct plan_engine *e,
			  const struct plan_model *m, double urgency)
{
	double room = free_mb(p, e);
	uint32_t i;

	for (i = 0; i < e->n_residents; i++) {
		const struct plan_model *v =
			plan_find_model(p, e->residents[i]);

		if (v && may_evict(p, v, m, urgency))
			room += v->spec->weights_mb;
	}
	return room >= m->spec->weights_mb;
}

struct candidate {
	struct plan_engine *e;
	double cost;
};

/* Room that was made goes to the model for which it was made. */
static bool reserved_for_other(struct pf_plan *p, const struct plan_engine *e,
			       const struct plan_model *m)
{
	const struct plan_model *other;

	if (!e->reserved_model || e->reserved_model == m->spec->id ||
	    p->now >= e->reserved_until)
		return false;
	other = plan_find_model(p, e->reserved_model);
	return other && home_urgency(p, other) > 0;
}

/* Whether @e has the copy of a model that is asked for and has no home: it is
 * not to be kept from that for as long as the weight store needs. */
static bool has_homeless_copy(const struct pf_plan *p,
			      const struct plan_engine *e)
{
	uint32_t i;

	for (i = 0; i < p->n_models; i++) {
		const struct plan_model *m = &p->models[i];

		if (m->homes == 0 && in_demand(p, m) &&
		    plan_has_copy(e, m->spec->id))
			return true;
	}
	return false;
}

static void consider_engine(struct pf_plan *p, struct plan_engine *e,
			    const struct plan_model *m, double urgency,
			    bool await_copy, struct candidate *best)
{
	bool at_hand = plan_has_copy(e, m->spec->id);
	double cost = e->est_requests;

	if (!engine_usable(p, e) || e->busy || e->order_model ||
	    will_hold(e, m->spec->id))
		return;
	if (reserved_for_other(p, e, m))
		return;
	if (!at_hand &&
	    (!p->engines_known || await_copy || has_homeless_copy(p, e) ||
	     !plan_may_load_from_store(p)))
		return;
	if (!at_hand)
		cost += m->homes ? STORE_COST : STORE_WAIT_COST;
	if (free_mb(p, e) < m->spec->weights_mb) {
		if (!p->engines_known || urgency < 1 ||
		    !can_make_room(p, e, m, urgency))
			return;
		cost += EVICT_COST;
	}
	/* What is rarely asked for fills what others leave. */
	if (expected_requests(m) < RARE_REQUESTS)
		cost += UNUSED_MEMORY_COST *
			(free_mb(p, e) - m->spec->weights_mb) /
			p->service->memory_mb;
	if (cost < best->cost)
		*best = (struct candidate){ e, cost };
}

/* Whether an engine could soon load @m from a copy of its own. */
static bool can_load_from_copy(struct pf_plan *p, const struct plan_model *m)
{
	uint32_t i;

	for (i = 0; i < p->opts.endpoints_max; i++) {
		const struct plan_engine *e = &p->engines[i];

		if (engine_usable(p, e) && plan_has_copy(e, m->spec->id) &&
		    can_make_room(p, e, m, NO_HOME_URGENCY))
			return true;
	}
	return false;
}

enum add_result { ADD_NONE, ADD_FROM_COPY, ADD_SLOW };

/* Loads @m where that is best, or makes room for it. */
static enum add_result add_home(struct pf_plan *p, struct plan_model *m,
				double least)
{
	struct candidate best = { NULL, INFINITY };
	/* An engine that is busy for the moment is sooner done with a copy
	 * than the weight store, and a load from there blocks an engine. */
	bool await_copy = m->homes == 0 && can_load_from_copy(p, m);
	struct plan_model *out;
	uint32_t i;

	for (i = 0; i < p->opts.endpoints_max; i++) {
		if (p->engines[i].id)
			consider_engine(p, &p->engines[i], m, least, await_copy,
					&best);
	}
	/* A home that is as busy as those there are would not help. */
	if (!best.e || (m->homes && best.e->est_requests > least * 0.7))
		return ADD_NONE;
	if (free_mb(p, best.e) >= m->spec->weights_mb) {
		best.e->reserved_model = 0;
		m->home_added_at = p->now;
		plan_order(p, best.e, m, true, m->homes ? "busy" : "no home");
		return best.e->order_from_store ? ADD_SLOW : ADD_FROM_COPY;
	}
	out = pick_victim(p, best.e, m, least);
	if (!out)
		return ADD_NONE;
	best.e->reserved_model = m->spec->id;
	best.e->reserved_until = p->now + RESERVE_MS;
	plan_order(p, best.e, out, false, "room");
	return ADD_SLOW;
}

void plan_choose_orders(struct pf_plan *p)
{
	bool tried[PLAN_MODELS_MAX] = { false };
	uint32_t orders = 0;
	uint32_t round;

	for (round = 0; round < p->n_models + ORDERS_PER_TICK_MAX &&
			orders < ORDERS_PER_TICK_MAX;
	     round++) {
		uint32_t best = UINT32_MAX;
		enum add_result add_result;
		double most = 0;
		uint32_t i;

		count_homes(p);
		estimate_engine_requests(p);
		for (i = 0; i < p->n_models; i++) {
			double u =
				tried[i] ? 0 : home_urgency(p, &p->models[i]);

			if (u > most) {
				most = u;
				best = i;
			}
		}
		if (best == UINT32_MAX)
			return;
		add_result = add_home(p, &p->models[best], most);
		orders += add_result != ADD_NONE;
		/* Copies are there in a moment; what takes longer is seen to
		 * work before there is more of it. */
		tried[best] = add_result != ADD_FROM_COPY;
	}
}
