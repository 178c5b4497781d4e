/* The plan core: what is known, who leads, and the budget of loads. */
#include "src/coordination/plan/plan_core.h"

#include <stdlib.h>
#include <string.h>

/* A gateway that was not heard for so long does not lead. */
#define PEER_SILENT_MS 1000
/* A process that stood still for longer has old knowledge. */
#define GAP_MS 700
/* After a start or a gap, until the others have been heard. */
#define QUIET_MS 500
/* An entry is older than what its loader said within this. */
#define STATE_KEEP_MS 3000
/* Entries come one after the other when all starts; until none came for so
 * long, engines may be missing, and what can't be undone cheaply waits. */
#define LISTED_MS 1500
/* All start within moments of each other; engines of which the entries come
 * later than this after a start, and empty, have been added. */
#define START_MS 4000
/* Demand that was not said anew is forgotten. */
#define DEMAND_KEEP_MS 3000
/* Fewer requests under way, on average, are a remnant of the smoothing. */
#define IDLE_ALIVE 0.05
#define IDLE_PER_S 0.05
/* An order that shows no effect is sent again, and then given up. */
#define RESEND_MS 250
#define ORDER_KEEP_MS 1200
/* The store's bound for a window is so much above its rate, less one for what
 * another planner may have begun. */
#define LOADS_SPARE 2
/* What counts as held back for clocks and orders under way. */
#define WINDOW_SPARE_MS 500

void pf_plan_opts_default(struct pf_plan_opts *o)
{
	*o = (struct pf_plan_opts){
		.endpoints_max = 256,
		.window = 5000,
		.over = 1,
	};
}

struct pf_plan *pf_plan_new(const struct pf_plan_opts *o)
{
	struct pf_plan *p;

	if (!o->self || !o->endpoints_max || o->window <= 0)
		return NULL;
	p = calloc(1, sizeof(*p));
	if (!p)
		return NULL;
	p->o = *o;
	p->engines = calloc(o->endpoints_max, sizeof(*p->engines));
	if (!p->engines) {
		free(p);
		return NULL;
	}
	return p;
}

void pf_plan_free(struct pf_plan *p)
{
	if (!p)
		return;
	free(p->engines);
	free(p);
}

static struct plan_engine *engine_of(struct pf_plan *p, uint64_t id, bool make)
{
	struct plan_engine *spare = NULL;
	uint32_t i;

	for (i = 0; i < p->o.endpoints_max; i++) {
		struct plan_engine *e = &p->engines[i];

		if (e->id == id)
			return e;
		if (!e->id && !spare)
			spare = e;
	}
	if (!make || !spare)
		return NULL;
	memset(spare, 0, sizeof(*spare));
	spare->id = id;
	return spare;
}

struct plan_model *plan_model(struct pf_plan *p, uint64_t id)
{
	uint32_t i;

	for (i = 0; i < p->n_models; i++) {
		if (p->models[i].spec->id == id)
			return &p->models[i];
	}
	return NULL;
}

bool plan_has(const struct plan_engine *e, uint64_t model)
{
	uint32_t i;

	for (i = 0; i < e->n_residents; i++) {
		if (e->residents[i] == model)
			return true;
	}
	return false;
}

bool plan_at_hand(const struct plan_engine *e, uint64_t model)
{
	uint32_t i;

	for (i = 0; i < e->n_warm; i++) {
		if (e->warm[i] == model)
			return true;
	}
	for (i = 0; i < e->n_on_disk; i++) {
		if (e->on_disk[i] == model)
			return true;
	}
	return false;
}

static void adopt(struct pf_plan *p, const struct pf_routes *r)
{
	const struct pf_route_service *s = NULL;
	struct plan_model old[PLAN_MODELS_MAX];
	uint32_t n_old = p->n_models;
	uint32_t i;
	uint32_t k;

	for (i = 0; i < r->n_services && !s; i++) {
		if (r->services[i].engine)
			s = &r->services[i];
	}
	memcpy(old, p->models, n_old * sizeof(*old));
	p->n_models = 0;
	for (i = 0; s && i < s->n_models && i < PLAN_MODELS_MAX; i++) {
		struct plan_model *m = &p->models[p->n_models++];

		memset(m, 0, sizeof(*m));
		for (k = 0; k < n_old; k++) {
			/* The old specs are still there during the call. */
			if (old[k].spec->id == s->models[i].id)
				*m = old[k];
		}
		m->spec = &s->models[i];
	}
	p->routes = r;
	p->service = s;
}

static void copy_residents(struct plan_engine *e, const struct pf_resident *v,
			   uint32_t n)
{
	uint32_t i;

	e->n_residents = 0;
	for (i = 0; i < n && i < PLAN_RESIDENTS_MAX; i++)
		e->residents[e->n_residents++] = v[i].model;
}

static void on_endpoint(struct pf_plan *p, const struct pf_listed *l)
{
	struct plan_engine *e;

	e = engine_of(p, l->id, true);
	if (!e)
		return;
	/* One that comes empty later on is new: it was not missing before. */
	if (!e->listed && (l->n_residents || p->now - p->started < START_MS))
		p->listed_at = p->now;
	e->service = l->service;
	e->listed = true;
	e->draining = l->draining || (e->draining && e->state_at);
	/* Until its loader is heard, the entry says what it holds. */
	if (p->now - e->state_at > STATE_KEEP_MS || !e->state_at)
		copy_residents(e, l->residents, l->n_residents);
}

static uint32_t copy_ids(uint64_t *to, uint32_t max, const uint64_t *from,
			 uint32_t n)
{
	n = n < max ? n : max;
	if (n)
		memcpy(to, from, n * sizeof(*to));
	return n;
}

static void note_load(struct pf_plan *p, uint64_t endpoint, uint64_t orders,
		      pf_ms at)
{
	uint32_t i;

	for (i = 0; i < PLAN_LOADS_MAX; i++) {
		if (p->loads[i].endpoint == endpoint &&
		    p->loads[i].orders == orders && at - p->loads[i].at < 8000)
			return;
	}
	p->loads[p->n_loads++ % PLAN_LOADS_MAX] =
		(struct plan_load){ endpoint, orders, at };
}

static uint32_t loads_since(const struct pf_plan *p, pf_ms since)
{
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i < PLAN_LOADS_MAX; i++)
		n += p->loads[i].at && p->loads[i].at >= since;
	return n;
}

bool plan_may_load(const struct pf_plan *p)
{
	double rate = p->service->loads_per_s * p->o.over;
	uint32_t under_way = 0;
	double at_once = 2;
	uint32_t i;

	for (i = 0; i < p->o.endpoints_max; i++) {
		const struct plan_engine *e = &p->engines[i];

		under_way += e->id && e->ordered_load && e->ordered_store &&
			     (e->busy || e->ordered);
	}
	for (i = 0; i < p->n_models; i++) {
		double n = p->service->loads_per_s *
			   (double)p->models[i].spec->load / 1000;

		/* What the rate and the time of a load come to. */
		if (n > at_once)
			at_once = n;
	}
	return under_way < at_once &&
	       loads_since(p, p->now - p->o.window - WINDOW_SPARE_MS) + 1 <=
		       rate * (double)p->o.window / 1000 + LOADS_SPARE;
}

static void settle_order(struct pf_plan *p, struct plan_engine *e)
{
	if (!e->ordered)
		return;
	/* It was accepted, or something else was. */
	if (e->orders > e->ordered_orders) {
		if (!e->busy || !e->ordered_load)
			e->ordered = 0;
	} else if (p->now - e->ordered_at > ORDER_KEEP_MS) {
		e->ordered = 0;
	}
}

/* An engine that accepted no order yet may have just started: another planner
 * may have had it begin a load before, of which nobody can tell. */
static void note_earlier(struct pf_plan *p, const struct plan_engine *e,
			 const struct pf_engine_state *s)
{
	if (!e->state_at && s->orders == 0 &&
	    p->now - p->started < p->o.window + WINDOW_SPARE_MS)
		note_load(p, e->id, 0, p->started);
}

static void on_state(struct pf_plan *p, const struct pf_engine_state *s)
{
	struct plan_engine *e = engine_of(p, s->endpoint, false);

	if (!e || !s->endpoint)
		return;
	note_earlier(p, e, s);
	if (e->born != s->born) {
		e->ordered = 0;
		e->draining = e->draining && !e->born;
	}
	e->state_at = p->now;
	e->born = s->born;
	e->orders = s->orders;
	e->busy = s->busy;
	e->leaving = s->leaving;
	e->draining = e->draining || s->draining;
	copy_residents(e, s->residents, s->n_residents);
	e->n_warm = copy_ids(e->warm, PLAN_COPIES_MAX, s->warm, s->n_warm);
	e->n_on_disk =
		copy_ids(e->on_disk, PLAN_COPIES_MAX, s->on_disk, s->n_on_disk);
	if (s->from_store)
		note_load(p, e->id, s->orders, p->now - s->loading_for);
	settle_order(p, e);
}

static struct plan_peer *peer_of(struct pf_plan *p, uint64_t id)
{
	struct plan_peer *oldest = &p->peers[0];
	uint32_t i;

	for (i = 0; i < PLAN_PEERS_MAX; i++) {
		struct plan_peer *q = &p->peers[i];

		if (q->id == id)
			return q;
		if (oldest->id && (!q->id || q->heard_at < oldest->heard_at))
			oldest = q;
	}
	oldest->id = id;
	oldest->n_demand = 0;
	return oldest;
}

static void on_demand(struct pf_plan *p, const struct pf_plan_msg *m)
{
	struct plan_peer *q = peer_of(p, m->u.demand.peer);
	size_t i;

	if (p->now - q->demand_at > 5)
		q->n_demand = 0; /* parts of one report come together */
	q->heard_at = p->now;
	q->demand_at = p->now;
	for (i = 0; i < m->u.demand.n && q->n_demand < PLAN_MODELS_MAX; i++) {
		const struct pf_gate_demand *d = &m->u.demand.v[i];

		if (d->item == d->model)
			q->demand[q->n_demand++] = *d;
	}
}

static void sum_demand(struct pf_plan *p)
{
	uint32_t i;
	uint32_t k;

	for (i = 0; i < p->n_models; i++) {
		p->models[i].alive = 0;
		p->models[i].per_s = 0;
		p->models[i].waiting = 0;
	}
	for (i = 0; i < PLAN_PEERS_MAX; i++) {
		const struct plan_peer *q = &p->peers[i];

		if (!q->id || p->now - q->demand_at > DEMAND_KEEP_MS)
			continue;
		for (k = 0; k < q->n_demand; k++) {
			struct plan_model *m =
				plan_model(p, q->demand[k].model);

			if (!m)
				continue;
			m->alive += q->demand[k].active;
			m->per_s += q->demand[k].per_s;
			m->waiting += q->demand[k].waiting;
		}
	}
	for (i = 0; i < p->n_models; i++) {
		if (p->models[i].alive > IDLE_ALIVE || p->models[i].waiting ||
		    p->models[i].per_s > IDLE_PER_S)
			p->models[i].asked_at = p->now;
	}
}

static void elect(struct pf_plan *p)
{
	uint32_t i;

	p->leads = p->now >= p->quiet_until;
	for (i = 0; i < PLAN_PEERS_MAX; i++) {
		const struct plan_peer *q = &p->peers[i];

		if (q->id && q->id < p->o.self &&
		    p->now - q->heard_at < PEER_SILENT_MS)
			p->leads = false;
	}
}

static void emit(struct pf_plan *p, struct plan_engine *e,
		 const struct plan_model *m, const char *why)
{
	struct pf_plan_act a = {
		.endpoint = e->id,
		.born = e->born,
		.orders = e->ordered_orders,
		.load = e->ordered_load,
		.from_store = e->ordered_store,
		.model = m->spec->name,
		.why = why,
	};

	e->sent_at = p->now;
	p->sink->emit(p->sink->ctx, &a);
}

void plan_order(struct pf_plan *p, struct plan_engine *e,
		const struct plan_model *m, bool load, const char *why)
{
	e->ordered = m->spec->id;
	e->ordered_load = load;
	e->ordered_store = load && !plan_at_hand(e, m->spec->id);
	e->ordered_orders = e->orders;
	e->ordered_at = p->now;
	if (e->ordered_store)
		note_load(p, e->id, e->orders + 1, p->now);
	emit(p, e, m, why);
}

static void resend(struct pf_plan *p)
{
	uint32_t i;

	for (i = 0; i < p->o.endpoints_max; i++) {
		struct plan_engine *e = &p->engines[i];
		const struct plan_model *m;

		if (!e->id || !e->ordered || e->orders != e->ordered_orders ||
		    p->now - e->sent_at < RESEND_MS)
			continue;
		m = plan_model(p, e->ordered);
		settle_order(p, e);
		if (m && e->ordered)
			emit(p, e, m, "again");
	}
}

static void on_tick(struct pf_plan *p)
{
	if (p->now - p->last_tick > GAP_MS)
		p->quiet_until = p->now + QUIET_MS;
	p->last_tick = p->now;
	elect(p);
	if (!p->leads || !p->service || !p->members)
		return;
	p->settled = p->now - p->listed_at >= LISTED_MS;
	sum_demand(p);
	resend(p);
	plan_choose(p);
}

void pf_plan_step(struct pf_plan *p, pf_ms now, const struct pf_plan_msg *m,
		  const struct pf_plan_sink *sink)
{
	struct plan_engine *e;

	if (!p->started)
		p->started = now;
	p->now = now;
	p->sink = sink;
	switch (m->type) {
	case PF_PLAN_ROUTES:
		adopt(p, m->u.routes);
		break;
	case PF_PLAN_ENDPOINT:
		on_endpoint(p, m->u.endpoint);
		break;
	case PF_PLAN_ENDPOINT_GONE:
		e = engine_of(p, m->u.id, false);
		if (e)
			e->id = 0;
		break;
	case PF_PLAN_STATE:
		on_state(p, m->u.state);
		break;
	case PF_PLAN_MEMBERS:
		if (!p->members)
			p->quiet_until = now + QUIET_MS;
		p->members = true;
		break;
	case PF_PLAN_PEER:
		peer_of(p, m->u.id)->heard_at = now;
		break;
	case PF_PLAN_DEMAND:
		on_demand(p, m);
		break;
	case PF_PLAN_TICK:
		on_tick(p);
		break;
	}
	p->sink = NULL;
}

bool pf_plan_leads(const struct pf_plan *p)
{
	return p->leads;
}
