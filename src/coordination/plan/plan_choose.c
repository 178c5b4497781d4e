/* The plan core: which models to load and unload, and where. */
#include "src/coordination/plan/plan_core.h"

#include <math.h>

/* An engine gets no orders if its loader's last state is older. */
#define STATE_FRESH_MS 1500
/* With more requests in flight at an engine, prompts and events delay each
 * other. A model whose least busy home has this many gets another home. */
#define BUSY_REQUESTS 8
/* A home may be evicted if the remaining ones get at most this many each. */
#define SPARE_REQUESTS 4
/* Time of a request at an engine that isn't busy. Rising demand shows in the
 * arrival rate before it shows in the requests in flight. */
#define SERVICE_TIME_S 1.2
/* A model loses no home this soon after one was added. */
#define NEW_HOME_KEEP_MS 5000
/* A model without demand for this long may lose its last home to a model whose
 * homes are this busy, or which has none. */
#define IN_DEMAND_MS 7000
#define EVICT_LAST_URGENCY 14
/* A model with fewer requests is rare. */
#define RARE_REQUESTS 1
/* Least urgency of a model in demand that has no home. */
#define NO_HOME_URGENCY BUSY_REQUESTS
/* Urgency of a model without a home or demand: loaded if memory is free. */
#define IDLE_URGENCY 0.1
/* A new home must be this much less busy than the existing ones to help. */
#define NEW_HOME_BUSY_RATIO 0.7
/* Freed memory stays reserved for the model that it was freed for. */
#define RESERVE_MS 2500
/* Share of an engine's memory that is kept free for adapters. */
#define ADAPTER_MEMORY_SHARE 0.005
/* Costs of a candidate engine, in requests in flight: a load from the weight
 * store rather than from a copy, and an eviction before the load. */
#define STORE_COST 5
#define EVICT_COST 2
/* Cost of a load from the weight store if the model has no home. */
#define STORE_WAIT_COST 30
/* Cost of a load that leaves all of the engine's memory unused. */
#define UNUSED_MEMORY_COST 20
/* With more than this share of its limit, an engine is busy. */
#define LIMIT_SHARE 0.5
/* Cost of a home at an engine that takes few requests. */
#define LIMITED_COST 10
/* Cost of a home with other software than all homes so far: a stream that
 * breaks goes on only where its software is. */
#define OTHER_SOFTWARE_COST 4
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

/* The model that @e holds as @i-th; NULL: it is in no route. */
static struct plan_model *resident(struct pf_plan *p,
				   const struct plan_engine *e, uint32_t i)
{
	return e->residents_at[i] == PLAN_NONE_AT
		       ? NULL
		       : &p->models[e->residents_at[i]];
}

/* Memory for weights that no model holds or is about to. */
static double find_free_mb(struct pf_plan *p, const struct plan_engine *e)
{
	double free = p->service->memory_mb * (1 - ADAPTER_MEMORY_SHARE);
	uint32_t i;

	for (i = 0; i < e->n_residents; i++) {
		const struct plan_model *m = resident(p, e, i);

		free -= m ? m->spec->weights_mb : 0;
	}
	/* A model that is being unloaded still holds its memory. */
	if (e->unloading_model && !plan_engine_has(e, e->unloading_model))
		free -= model_mb(p, e->unloading_model);
	/* The memory of a load in flight is taken. */
	if (e->order_model && e->order_is_load &&
	    !plan_engine_has(e, e->order_model))
		free -= model_mb(p, e->order_model);
	return free;
}

/* Whether @e holds the model once the order in flight is carried out. */
static bool will_hold(const struct plan_engine *e, uint64_t id)
{
	if (e->order_model == id)
		return e->order_is_load;
	return plan_engine_has(e, id);
}

/* Whether @e serves the model and will keep it. An engine whose loader is silent
 * may be dead or cut off. */
static bool is_sure_home(const struct pf_plan *p, const struct plan_engine *e,
			 uint64_t id)
{
	return engine_usable(p, e) && plan_engine_has(e, id) &&
	       will_hold(e, id) && e->unload_in_doubt != id &&
	       !plan_unload_in_doubt(p, e, id);
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

static bool in_demand(const struct pf_plan *p, const struct plan_model *m)
{
	return m->last_demand_at && p->now - m->last_demand_at < IN_DEMAND_MS;
}

/* Whether no gateway has needed @m for some time. */
static bool known_idle(const struct pf_plan *p, const struct plan_model *m)
{
	return !in_demand(p, m) &&
	       p->now - p->demand_known_since >= IN_DEMAND_MS;
}

/* Whether all homes of @m are limited, and take too few of its requests. */
static bool homes_too_limited(const struct plan_model *m)
{
	return m->homes_limited == m->homes &&
	       m->arrivals_per_s > LIMIT_SHARE * m->limit_per_s;
}

/* How urgently @m needs another home; 0: it doesn't. */
static double home_urgency(const struct pf_plan *p, const struct plan_model *m)
{
	if (m->homes == 0)
		return in_demand(p, m)
			       ? NO_HOME_URGENCY + 2 * expected_requests(m)
			       : IDLE_URGENCY;
	if (homes_too_limited(m))
		return NO_HOME_URGENCY + expected_requests(m);
	if (m->least_busy < BUSY_REQUESTS ||
	    requests_per_home(m) < BUSY_REQUESTS / 4.0)
		return 0;
	return m->least_busy;
}

static void add_held(struct pf_plan *p, struct plan_engine *e,
		     const struct plan_model *m)
{
	uint32_t i;

	for (i = 0; m && i < e->n_held; i++) {
		if (&p->models[e->held[i]] == m)
			return;
	}
	if (m)
		e->held[e->n_held++] = (uint16_t)(m - p->models);
}

static void find_held(struct pf_plan *p, struct plan_engine *e)
{
	uint32_t i;

	e->n_held = 0;
	for (i = 0; i < e->n_residents; i++) {
		if (will_hold(e, e->residents[i]))
			add_held(p, e, resident(p, e, i));
	}
	if (e->order_model && e->order_is_load)
		add_held(p, e, plan_find_model(p, e->order_model));
}

static bool may_be_home(const struct plan_engine *e)
{
	return e->id && e->listed && !e->draining;
}

static void count_homes(struct pf_plan *p, const struct plan_engine *e)
{
	uint32_t i;

	for (i = 0; i < e->n_held; i++) {
		struct plan_model *m = &p->models[e->held[i]];

		m->homes++;
		m->homes_sure += is_sure_home(p, e, m->spec->id);
		m->homes_limited += e->limited;
		if (e->limited)
			m->limit_per_s += e->limit_per_s;
	}
}

static void estimate_requests(struct pf_plan *p, struct plan_engine *e)
{
	uint32_t i;

	e->est_requests = 0;
	for (i = 0; i < e->n_held; i++)
		e->est_requests += requests_per_home(&p->models[e->held[i]]);
	for (i = 0; may_be_home(e) && i < e->n_held; i++) {
		struct plan_model *m = &p->models[e->held[i]];

		if (e->est_requests < m->least_busy)
			m->least_busy = e->est_requests;
	}
}

/* Whether @e has a copy of a model that is in demand and has no home. A load
 * from the weight store would block @e from loading it. */
static bool has_homeless_copy(const struct pf_plan *p,
			      const struct plan_engine *e)
{
	uint32_t i;

	for (i = 0; i < e->n_copies; i++) {
		const struct plan_model *m = &p->models[e->copies_at[i]];

		if (m->homes == 0 && in_demand(p, m))
			return true;
	}
	return false;
}

/* Homes that @v would keep without @e. */
static uint32_t other_homes(const struct pf_plan *p, const struct plan_model *v,
			    const struct plan_engine *e)
{
	return v->homes_sure - is_sure_home(p, e, v->spec->id);
}

/* Whether @v may lose its home @e. */
static bool is_spare(const struct pf_plan *p, const struct plan_model *v,
		     const struct plan_engine *e)
{
	uint32_t others = other_homes(p, v, e);

	return others && p->now - v->home_added_at >= NEW_HOME_KEEP_MS &&
	       expected_requests(v) / others <= SPARE_REQUESTS;
}

/* Whether @v may lose its last home @e to an urgent model. It is loaded again
 * from a disk on demand. */
static bool is_idle(const struct pf_plan *p, const struct plan_model *v,
		    const struct plan_engine *e)
{
	return other_homes(p, v, e) == 0 &&
	       p->now - v->home_added_at >= NEW_HOME_KEEP_MS &&
	       known_idle(p, v);
}

/* Whether @v may lose its home @e to @m. */
static bool may_evict(const struct pf_plan *p, const struct plan_model *v,
		      const struct plan_engine *e, const struct plan_model *m,
		      double urgency)
{
	return v != m && (is_spare(p, v, e) ||
			  (urgency >= EVICT_LAST_URGENCY && is_idle(p, v, e)));
}

/* Memory of the models that may be evicted from @e. */
static void find_evictable(struct pf_plan *p, struct plan_engine *e)
{
	uint32_t i;

	e->spare_mb = 0;
	e->idle_mb = 0;
	for (i = 0; i < e->n_residents; i++) {
		const struct plan_model *v = resident(p, e, i);

		if (v && is_spare(p, v, e))
			e->spare_mb += v->spec->weights_mb;
		else if (v && is_idle(p, v, e))
			e->idle_mb += v->spec->weights_mb;
	}
}

static double least_weights_mb(const struct pf_plan *p)
{
	double least = INFINITY;
	uint32_t i;

	for (i = 0; i < p->n_models; i++) {
		if (p->models[i].spec->weights_mb < least)
			least = p->models[i].spec->weights_mb;
	}
	return least;
}

/* Brings up to date what follows from the engines' states and orders. */
static void plan_count(struct pf_plan *p)
{
	double least_mb = least_weights_mb(p);
	uint32_t i;

	for (i = 0; i < p->n_models; i++) {
		struct plan_model *m = &p->models[i];

		m->homes = 0;
		m->homes_sure = 0;
		m->homes_limited = 0;
		m->limit_per_s = 0;
		m->least_busy = INFINITY;
	}
	for (i = 0; i < p->n_engines; i++) {
		struct plan_engine *e = &p->engines[i];

		e->n_held = 0;
		if (e->id)
			find_held(p, e);
		if (may_be_home(e))
			count_homes(p, e);
	}
	for (i = 0; i < p->n_engines; i++) {
		struct plan_engine *e = &p->engines[i];

		estimate_requests(p, e);
		if (!e->id)
			continue;
		e->has_homeless_copy = has_homeless_copy(p, e);
		e->free_mb = find_free_mb(p, e);
		find_evictable(p, e);
		e->may_load = engine_usable(p, e) && !e->busy &&
			      !e->has_unlisted && !e->order_model &&
			      e->free_mb + e->spare_mb + e->idle_mb >= least_mb;
	}
	for (i = 0; i < p->n_models; i++)
		p->models[i].urgency = home_urgency(p, &p->models[i]);
	p->store_load_allowed = plan_may_load_from_store(p);
}

/* The model to evict from @e for @m: the least used one, a last home only if
 * there is no other. NULL: none may be evicted. */
static struct plan_model *pick_victim(struct pf_plan *p,
				      const struct plan_engine *e,
				      const struct plan_model *m,
				      double urgency)
{
	struct plan_model *best = NULL;
	bool best_last = false;
	uint32_t i;

	for (i = 0; i < e->n_residents; i++) {
		struct plan_model *v = resident(p, e, i);
		bool last;

		if (!v || !will_hold(e, v->spec->id) ||
		    !may_evict(p, v, e, m, urgency))
			continue;
		last = other_homes(p, v, e) == 0;
		if (!best || last < best_last ||
		    (last == best_last &&
		     requests_per_home(v) < requests_per_home(best))) {
			best = v;
			best_last = last;
		}
	}
	return best;
}

/* @m isn't held by @e. */
static bool can_make_room(const struct plan_engine *e,
			  const struct plan_model *m, double urgency)
{
	return e->free_mb + e->spare_mb +
		       (urgency >= EVICT_LAST_URGENCY ? e->idle_mb : 0) >=
	       m->spec->weights_mb;
}

struct candidate {
	struct plan_engine *engine;
	double cost;
};

/* Whether memory at @e was freed for another model that still needs it. */
static bool reserved_for_other(struct pf_plan *p, const struct plan_engine *e,
			       const struct plan_model *m)
{
	const struct plan_model *other;

	if (!e->reserved_model || e->reserved_model == m->spec->id ||
	    p->now >= e->reserved_until)
		return false;
	other = plan_find_model(p, e->reserved_model);
	return other && other->urgency > 0;
}

/* Whether @m has homes, and none with the software of @e. */
static bool is_other_software(const struct pf_plan *p,
			      const struct plan_engine *e,
			      const struct plan_model *m)
{
	uint32_t i;

	for (i = 0; i < p->n_engines; i++) {
		const struct plan_engine *home = &p->engines[i];

		if (home->software == e->software &&
		    is_sure_home(p, home, m->spec->id))
			return false;
	}
	return m->homes > 0;
}

/* Whether an order in doubt forbids the next step to a load of @m at @e: the load
 * itself, or an eviction for it. */
static bool blocked_by_doubt(struct pf_plan *p, const struct plan_engine *e,
			     const struct plan_model *m, double urgency)
{
	const struct plan_model *victim;

	if (!p->n_doubts)
		return false;
	if (e->free_mb >= m->spec->weights_mb)
		return !plan_leaves_room(p, e, m, true);
	victim = pick_victim(p, e, m, urgency);
	return victim && !plan_leaves_room(p, e, victim, false);
}

/* Makes @e the best candidate for a home of @m if it costs less. @await_copy:
 * don't load from the weight store. */
static void consider_engine(struct pf_plan *p, struct plan_engine *e,
			    const struct plan_model *m, double urgency,
			    bool await_copy, struct candidate *best)
{
	bool has_copy = plan_has_copy(p, e, m);
	double cost = e->est_requests;

	if (!has_copy && (!p->engines_known || await_copy ||
			  e->has_homeless_copy || !p->store_load_allowed))
		return;
	if (will_hold(e, m->spec->id) || reserved_for_other(p, e, m) ||
	    (e->limited && m->homes) || blocked_by_doubt(p, e, m, urgency))
		return;
	if (e->limited)
		cost += LIMITED_COST;
	if (!has_copy)
		cost += m->homes ? STORE_COST : STORE_WAIT_COST;
	if (e->free_mb < m->spec->weights_mb) {
		if (!p->engines_known || urgency < 1 ||
		    !can_make_room(e, m, urgency))
			return;
		cost += EVICT_COST;
	}
	/* A rare model goes where it leaves the least memory unused. */
	if (expected_requests(m) < RARE_REQUESTS)
		cost += UNUSED_MEMORY_COST *
			(e->free_mb - m->spec->weights_mb) /
			p->service->memory_mb;
	/* This is costly to find out. */
	if (cost < best->cost && is_other_software(p, e, m))
		cost += OTHER_SOFTWARE_COST;
	if (cost < best->cost)
		*best = (struct candidate){ e, cost };
}

/* Whether an engine can load @m from a copy, now or once it isn't busy. */
static bool can_load_from_copy(struct pf_plan *p, const struct plan_model *m)
{
	uint32_t i;

	for (i = 0; i < p->n_engines; i++) {
		const struct plan_engine *e = &p->engines[i];

		if (can_make_room(e, m, NO_HOME_URGENCY) &&
		    engine_usable(p, e) && plan_has_copy(p, e, m) &&
		    !blocked_by_doubt(p, e, m, NO_HOME_URGENCY))
			return true;
	}
	return false;
}

enum add_result {
	ADD_NONE, /* no order was given */
	ADD_FROM_COPY,
	ADD_SLOW, /* a load from the weight store, or an eviction */
};

/* Orders a load of @m at the best engine, or an eviction to make room. */
static enum add_result add_home(struct pf_plan *p, struct plan_model *m,
				double urgency)
{
	struct candidate best = { NULL, INFINITY };
	/* Waiting for a busy engine with a copy takes less time than the
	 * weight store, and a load from there blocks an engine. */
	bool await_copy = m->homes == 0 && can_load_from_copy(p, m);
	struct plan_model *victim;
	uint32_t i;

	for (i = 0; i < p->n_engines; i++) {
		if (p->engines[i].id && p->engines[i].may_load)
			consider_engine(p, &p->engines[i], m, urgency,
					await_copy, &best);
	}
	if (!best.engine || (m->homes && best.engine->est_requests >
						 urgency * NEW_HOME_BUSY_RATIO))
		return ADD_NONE;
	if (best.engine->free_mb >= m->spec->weights_mb) {
		best.engine->reserved_model = 0;
		m->home_added_at = p->now;
		plan_order(p, best.engine, m, true,
			   m->homes ? "busy" : "no home");
		return best.engine->order_from_store ? ADD_SLOW : ADD_FROM_COPY;
	}
	victim = pick_victim(p, best.engine, m, urgency);
	if (!victim)
		return ADD_NONE;
	best.engine->reserved_model = m->spec->id;
	best.engine->reserved_until = p->now + RESERVE_MS;
	plan_order(p, best.engine, victim, false, "room");
	return ADD_SLOW;
}

/* The model whose need of a home is the most urgent; PLAN_NONE: none needs one. */
static uint32_t most_urgent(const struct pf_plan *p, const bool *tried)
{
	uint32_t best = PLAN_NONE;
	double most = 0;
	uint32_t i;

	for (i = 0; i < p->n_models; i++) {
		if (!tried[i] && p->models[i].urgency > most) {
			most = p->models[i].urgency;
			best = i;
		}
	}
	return best;
}

void plan_choose_orders(struct pf_plan *p)
{
	bool tried[PLAN_MODELS_MAX] = { false };
	uint32_t orders = 0;
	uint32_t best;

	plan_count(p);
	while (orders < ORDERS_PER_TICK_MAX &&
	       (best = most_urgent(p, tried)) != PLAN_NONE) {
		struct plan_model *m = &p->models[best];
		enum add_result result = add_home(p, m, m->urgency);

		/* A copy loads quickly, so the model may get further homes in
		 * this tick. Slow steps must show an effect first. */
		tried[best] = result != ADD_FROM_COPY;
		if (result == ADD_NONE)
			continue;
		orders++;
		plan_count(p);
	}
}
