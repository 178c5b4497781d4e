/* Which loads and unloads are due. */
#include "src/coordination/plan/plan_core.h"

#include <math.h>

/* A loader that was not heard for so long gets no orders. */
#define STATE_FRESH_MS 1500
/* With more requests under way at once, prompts and events wait for each
 * other at an engine: a model whose least busy home has more gets another. */
#define BUSY_ALIVE 8
/* A home may go when those that stay would have fewer than this. */
#define SPARE_ALIVE 4
/* At an engine that is not busy a request takes about so long: demand that
 * rises shows in arrivals before it shows in what is under way. */
#define SERVICE_S 1.2
/* A new home stays for so long. */
#define SETTLE_MS 5000
/* A model that nobody asked for within this may lose its last home to one
 * whose homes are so busy, or that has none. */
#define PARK_AFTER_MS 7000
#define PARK_PRESS 14
/* A model with less under way is rare. */
#define RARE_ALIVE 1
/* A model without a home is as urgent as one whose homes are so busy. */
#define NO_HOME BUSY_ALIVE
/* Room that was made stays reserved for so long. */
#define RESERVE_MS 2500
/* Of an engine's memory left for adapters. */
#define ADAPTERS_SHARE 0.005
/* What a load from the weight store costs against one from a copy, and what
 * room that must be made first costs, as requests under way. */
#define STORE_COST 5
#define EVICT_COST 2
/* The same where requests wait for it. */
#define STORE_WAIT_COST 30
/* And an engine that is left with all of its memory. */
#define FIT_COST 20
#define ORDERS_PER_TICK 32

static bool usable(const struct pf_plan *p, const struct plan_engine *e)
{
	return e->id && e->service == p->service->id && e->listed &&
	       !e->draining && e->state_at &&
	       p->now - e->state_at < STATE_FRESH_MS;
}

static double size_of(struct pf_plan *p, uint64_t id)
{
	const struct plan_model *m = plan_model(p, id);

	return m ? m->spec->weights_mb : 0;
}

static double room_of(struct pf_plan *p, const struct plan_engine *e)
{
	double room = p->service->memory_mb * (1 - ADAPTERS_SHARE);
	uint32_t i;

	for (i = 0; i < e->n_residents; i++)
		room -= size_of(p, e->residents[i]);
	/* What was not given up yet holds its room. */
	if (e->leaving && !plan_has(e, e->leaving))
		room -= size_of(p, e->leaving);
	/* A load under way has its room already. */
	if (e->ordered && e->ordered_load && !plan_has(e, e->ordered))
		room -= size_of(p, e->ordered);
	return room;
}

/* An order to unload counts as carried out. */
static bool holds(const struct plan_engine *e, uint64_t id)
{
	if (e->ordered == id)
		return e->ordered_load;
	return plan_has(e, id);
}

static void count_homes(struct pf_plan *p)
{
	uint32_t i;
	uint32_t k;

	for (i = 0; i < p->n_models; i++) {
		struct plan_model *m = &p->models[i];

		m->homes = 0;
		m->coming = 0;
		for (k = 0; k < p->o.endpoints_max; k++) {
			const struct plan_engine *e = &p->engines[k];

			if (!e->id || !e->listed || e->draining ||
			    !holds(e, m->spec->id))
				continue;
			m->homes++;
			m->coming += !plan_has(e, m->spec->id);
		}
	}
}

static double demand_of(const struct plan_model *m)
{
	double expected = m->per_s * SERVICE_S;

	return m->alive > expected ? m->alive : expected;
}

static double share_of(const struct plan_model *m)
{
	return demand_of(m) / (m->homes ? m->homes : 1);
}

static void sum_work(struct pf_plan *p)
{
	uint32_t i;
	uint32_t k;

	for (i = 0; i < p->o.endpoints_max; i++) {
		struct plan_engine *e = &p->engines[i];

		e->work = 0;
		for (k = 0; e->id && k < p->n_models; k++) {
			if (holds(e, p->models[k].spec->id))
				e->work += share_of(&p->models[k]);
		}
	}
}

/* Work at the least busy home of @m. */
static double least_work(const struct pf_plan *p, const struct plan_model *m)
{
	double least = INFINITY;
	uint32_t i;

	for (i = 0; i < p->o.endpoints_max; i++) {
		const struct plan_engine *e = &p->engines[i];

		if (e->id && e->listed && !e->draining &&
		    holds(e, m->spec->id) && e->work < least)
			least = e->work;
	}
	return least;
}

static bool asked_lately(const struct pf_plan *p, const struct plan_model *m)
{
	return m->asked_at && p->now - m->asked_at < PARK_AFTER_MS;
}

/* Whether another home of @m is due, and how urgent it is; 0: not. */
static double urgency(const struct pf_plan *p, const struct plan_model *m)
{
	double least;

	/* One that nobody asks for is brought back when there is room. */
	if (m->homes == 0)
		return asked_lately(p, m) ? NO_HOME + 2 * demand_of(m) : 0.1;
	least = least_work(p, m);
	if (least < BUSY_ALIVE || share_of(m) < BUSY_ALIVE / 4.0)
		return 0;
	return least;
}

/* Whether a home of @v may go for one of @m. */
static bool may_go(const struct pf_plan *p, const struct plan_model *v,
		   const struct plan_model *m, double press)
{
	uint32_t stay = v->homes - v->coming;

	if (v == m || p->now - v->changed_at < SETTLE_MS)
		return false;
	if (stay >= 2)
		return demand_of(v) / (stay - 1) <= SPARE_ALIVE;
	/* The last home of a model that nobody asks for: it is loaded again
	 * from a disk as soon as somebody does. */
	return press >= PARK_PRESS && !asked_lately(p, v);
}

/* A model that @e could give up for @m, the least asked for; NULL: none. */
static struct plan_model *spare_at(struct pf_plan *p,
				   const struct plan_engine *e,
				   const struct plan_model *m, double press)
{
	struct plan_model *best = NULL;
	bool best_last = false;
	uint32_t i;

	for (i = 0; i < e->n_residents; i++) {
		struct plan_model *v = plan_model(p, e->residents[i]);
		bool last;

		if (!v || !holds(e, v->spec->id) || !may_go(p, v, m, press))
			continue;
		last = v->homes - v->coming < 2;
		if (!best || last < best_last ||
		    (last == best_last && share_of(v) < share_of(best))) {
			best = v;
			best_last = last;
		}
	}
	return best;
}

/* Whether room for @m can be made at @e by giving up what may go. */
static bool can_make_room(struct pf_plan *p, const struct plan_engine *e,
			  const struct plan_model *m, double press)
{
	double room = room_of(p, e);
	uint32_t i;

	for (i = 0; i < e->n_residents; i++) {
		const struct plan_model *v = plan_model(p, e->residents[i]);

		if (v && may_go(p, v, m, press))
			room += v->spec->weights_mb;
	}
	return room >= m->spec->weights_mb;
}

struct choice {
	struct plan_engine *e;
	double cost;
};

/* Room that was made goes to the model for which it was made. */
static bool reserved_for_other(struct pf_plan *p, const struct plan_engine *e,
			       const struct plan_model *m)
{
	const struct plan_model *other;

	if (!e->reserved || e->reserved == m->spec->id ||
	    p->now >= e->reserved_until)
		return false;
	other = plan_model(p, e->reserved);
	return other && urgency(p, other) > 0;
}

/* Whether @e has the copy of a model that is asked for and has no home: it is
 * not to be kept from that for as long as the weight store needs. */
static bool owes_home(const struct pf_plan *p, const struct plan_engine *e)
{
	uint32_t i;

	for (i = 0; i < p->n_models; i++) {
		const struct plan_model *m = &p->models[i];

		if (m->homes == 0 && asked_lately(p, m) &&
		    plan_at_hand(e, m->spec->id))
			return true;
	}
	return false;
}

static void consider(struct pf_plan *p, struct plan_engine *e,
		     const struct plan_model *m, double press, bool near_disk,
		     struct choice *best)
{
	bool at_hand = plan_at_hand(e, m->spec->id);
	double cost = e->work;

	if (!usable(p, e) || e->busy || e->ordered || holds(e, m->spec->id))
		return;
	if (reserved_for_other(p, e, m))
		return;
	if (!at_hand &&
	    (!p->settled || near_disk || owes_home(p, e) || !plan_may_load(p)))
		return;
	if (!at_hand)
		cost += m->homes ? STORE_COST : STORE_WAIT_COST;
	if (room_of(p, e) < m->spec->weights_mb) {
		if (!p->settled || press < 1 || !can_make_room(p, e, m, press))
			return;
		cost += EVICT_COST;
	}
	/* What is rarely asked for fills what others leave. */
	if (demand_of(m) < RARE_ALIVE)
		cost += FIT_COST * (room_of(p, e) - m->spec->weights_mb) /
			p->service->memory_mb;
	if (cost < best->cost)
		*best = (struct choice){ e, cost };
}

/* Whether an engine could soon load @m from a copy of its own. */
static bool has_copy(struct pf_plan *p, const struct plan_model *m)
{
	uint32_t i;

	for (i = 0; i < p->o.endpoints_max; i++) {
		const struct plan_engine *e = &p->engines[i];

		if (usable(p, e) && plan_at_hand(e, m->spec->id) &&
		    can_make_room(p, e, m, NO_HOME))
			return true;
	}
	return false;
}

enum added { ADDED_NOTHING, ADDED_COPY, ADDED_OTHER };

/* Loads @m where that is best, or makes room for it. */
static enum added add_home(struct pf_plan *p, struct plan_model *m,
			   double least)
{
	struct choice best = { NULL, INFINITY };
	/* An engine that is busy for the moment is sooner done with a copy
	 * than the weight store, and a load from there blocks an engine. */
	bool near_disk = m->homes == 0 && has_copy(p, m);
	struct plan_model *out;
	uint32_t i;

	for (i = 0; i < p->o.endpoints_max; i++) {
		if (p->engines[i].id)
			consider(p, &p->engines[i], m, least, near_disk, &best);
	}
	/* A home that is as busy as those there are would not help. */
	if (!best.e || (m->homes && best.e->work > least * 0.7))
		return ADDED_NOTHING;
	if (room_of(p, best.e) >= m->spec->weights_mb) {
		best.e->reserved = 0;
		m->changed_at = p->now;
		plan_order(p, best.e, m, true, m->homes ? "busy" : "no home");
		return best.e->ordered_store ? ADDED_OTHER : ADDED_COPY;
	}
	out = spare_at(p, best.e, m, least);
	if (!out)
		return ADDED_NOTHING;
	best.e->reserved = m->spec->id;
	best.e->reserved_until = p->now + RESERVE_MS;
	plan_order(p, best.e, out, false, "room");
	return ADDED_OTHER;
}

void plan_choose(struct pf_plan *p)
{
	bool tried[PLAN_MODELS_MAX] = { false };
	uint32_t orders = 0;
	uint32_t round;

	for (round = 0;
	     round < p->n_models + ORDERS_PER_TICK && orders < ORDERS_PER_TICK;
	     round++) {
		uint32_t best = UINT32_MAX;
		enum added added;
		double most = 0;
		uint32_t i;

		count_homes(p);
		sum_work(p);
		for (i = 0; i < p->n_models; i++) {
			double u = tried[i] ? 0 : urgency(p, &p->models[i]);

			if (u > most) {
				most = u;
				best = i;
			}
		}
		if (best == UINT32_MAX)
			return;
		added = add_home(p, &p->models[best], most);
		orders += added != ADDED_NOTHING;
		/* Copies are there in a moment; what takes longer is seen to
		 * work before there is more of it. */
		tried[best] = added != ADDED_COPY;
	}
}
