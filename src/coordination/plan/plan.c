/* The plan core: engine states, demand, leadership and the load budget. */
#include "src/coordination/plan/plan_core.h"

#include <stdlib.h>
#include <string.h>

/* A gateway without a heartbeat for this long doesn't lead. */
#define PEER_SILENT_MS 1000
/* Its slot may be used again. */
#define PEER_FORGET_MS 20000
/* A process that was paused for longer has stale knowledge. */
#define TICK_GAP_MAX_MS 700
/* After a start or a pause, time to receive heartbeats before leading. */
#define NO_LEAD_MS 500
/* A loader's state is newer than the endpoint's entry and overrides it. */
#define STATE_PRECEDENCE_MS 3000
/* When the whole site starts, entries arrive one by one. Until none has arrived
 * for this long, engines may be missing: no evictions or loads from the store.
 */
#define LISTING_SETTLE_MS 1500
/* When the whole site starts, all engines start within this. One that is listed
 * later and empty was added. */
#define STARTUP_MS 4000
/* Demand that isn't reported again expires. */
#define DEMAND_TTL_MS 3000
/* Lower averages are a residue of the smoothing, not demand. */
#define DEMAND_MIN_REQUESTS 0.05
#define DEMAND_MIN_PER_S 0.05
/* The parts of one demand report arrive within this of each other. */
#define DEMAND_PART_GAP_MS 5
/* An order without effect is sent again, and then given up. */
#define ORDER_RESEND_MS 250
#define ORDER_GIVE_UP_MS 1200
/* Two loads with the same endpoint and order count within this are one. */
#define LOAD_REPEAT_MS 8000
/* Store loads that may be in flight at once, however low the rate. */
#define STORE_LOADS_MIN 2
/* Loads that the store allows in a window beyond its rate, less one that
 * another planner may have started. */
#define LOADS_BURST 2
/* Added to the window for clock differences and orders in flight. */
#define LOAD_WINDOW_MARGIN_MS 500

void pf_plan_opts_default(struct pf_plan_opts *o)
{
	*o = (struct pf_plan_opts){
		.endpoints_max = 1024,
		.peers_max = 4096,
		.load_window = 5000,
		.load_rate_factor = 1,
	};
}

struct pf_plan *pf_plan_new(const struct pf_plan_opts *o)
{
	struct pf_plan *p;

	if (!o->self || !o->endpoints_max || !o->peers_max ||
	    o->load_window <= 0)
		return NULL;
	p = calloc(1, sizeof(*p));
	if (!p)
		return NULL;
	p->opts = *o;
	p->engines = calloc(o->endpoints_max, sizeof(*p->engines));
	p->peers = calloc(o->peers_max, sizeof(*p->peers));
	if (!p->engines || !p->peers ||
	    pf_map_init(&p->engines_by_id, o->endpoints_max) < 0 ||
	    pf_map_init(&p->models_by_id, PLAN_MODELS_MAX) < 0 ||
	    pf_map_init(&p->peers_by_id, o->peers_max) < 0) {
		pf_plan_free(p);
		return NULL;
	}
	return p;
}

void pf_plan_free(struct pf_plan *p)
{
	uint32_t i;

	if (!p)
		return;
	for (i = 0; p->peers && i < p->n_peers; i++)
		free(p->peers[i].demand);
	pf_map_free(&p->peers_by_id);
	pf_map_free(&p->models_by_id);
	pf_map_free(&p->engines_by_id);
	free(p->doubts);
	free(p->peers);
	free(p->engines);
	free(p);
}

static struct plan_engine *find_engine(struct pf_plan *p, uint64_t id)
{
	uint32_t at;

	return pf_map_get(&p->engines_by_id, pf_key1(id), &at) == 0
		       ? &p->engines[at]
		       : NULL;
}

static struct plan_engine *find_or_add_engine(struct pf_plan *p, uint64_t id)
{
	uint32_t at;

	if (pf_map_get(&p->engines_by_id, pf_key1(id), &at) == 0)
		return &p->engines[at];
	for (at = 0; at < p->n_engines; at++) {
		if (!p->engines[at].id)
			break;
	}
	if (at == p->opts.endpoints_max ||
	    pf_map_put(&p->engines_by_id, pf_key1(id), at) < 0)
		return NULL;
	if (at == p->n_engines)
		p->n_engines++;
	p->engines[at] = (struct plan_engine){ .id = id };
	return &p->engines[at];
}

static void remove_engine(struct pf_plan *p, uint64_t id)
{
	struct plan_engine *e = find_engine(p, id);

	if (!e)
		return;
	(void)pf_map_del(&p->engines_by_id, pf_key1(id));
	e->id = 0;
}

static uint32_t find_model_at(const struct pf_plan *p, uint64_t id)
{
	uint32_t at;

	return pf_map_get(&p->models_by_id, pf_key1(id), &at) == 0 ? at
								   : PLAN_NONE;
}

struct plan_model *plan_find_model(struct pf_plan *p, uint64_t id)
{
	uint32_t at = find_model_at(p, id);

	return at == PLAN_NONE ? NULL : &p->models[at];
}

bool plan_engine_has(const struct plan_engine *e, uint64_t model)
{
	uint32_t i;

	for (i = 0; i < e->n_residents; i++) {
		if (e->residents[i] == model)
			return true;
	}
	return false;
}

bool plan_has_copy(const struct pf_plan *p, const struct plan_engine *e,
		   const struct plan_model *m)
{
	uint16_t at = (uint16_t)(m - p->models);
	uint32_t i;

	for (i = 0; i < e->n_copies; i++) {
		if (e->copies_at[i] == at)
			return true;
	}
	return false;
}

static void add_copies(const struct pf_plan *p, struct plan_engine *e,
		       const uint64_t *ids, uint32_t n)
{
	uint32_t i;

	for (i = 0; i < n; i++) {
		uint32_t at = find_model_at(p, ids[i]);

		if (at != PLAN_NONE)
			e->copies_at[e->n_copies++] = (uint16_t)at;
	}
}

/* To be called when the models change, or what the engine has of them. */
static void find_engine_models(const struct pf_plan *p, struct plan_engine *e)
{
	uint32_t i;

	for (i = 0; i < e->n_residents; i++) {
		uint32_t at = find_model_at(p, e->residents[i]);

		e->residents_at[i] =
			at == PLAN_NONE ? PLAN_NONE_AT : (uint16_t)at;
	}
	e->n_copies = 0;
	add_copies(p, e, e->in_host_mem, e->n_in_host_mem);
	add_copies(p, e, e->on_disk, e->n_on_disk);
}

/* Keeps what is known of a model that the old routes have too. */
static void add_model(struct pf_plan *p, const struct pf_model_spec *spec,
		      const struct plan_model *old,
		      const struct pf_map *old_ids)
{
	struct plan_model *m = &p->models[p->n_models];
	uint32_t at;

	if (pf_map_put(&p->models_by_id, pf_key1(spec->id), p->n_models) < 0)
		return;
	p->n_models++;
	*m = (struct plan_model){ 0 };
	if (pf_map_get(old_ids, pf_key1(spec->id), &at) == 0)
		*m = old[at];
	m->spec = spec;
}

/* The models have changed. */
static void find_models_again(struct pf_plan *p)
{
	uint32_t i;
	uint32_t k;

	for (i = 0; i < p->n_engines; i++)
		find_engine_models(p, &p->engines[i]);
	for (i = 0; i < p->n_peers; i++) {
		struct plan_peer *q = &p->peers[i];

		for (k = 0; k < q->n_demand; k++)
			q->demand[k].at = find_model_at(p, q->demand[k].model);
	}
}

static void set_routes(struct pf_plan *p, const struct pf_routes *r)
{
	const struct pf_route_service *s = NULL;
	struct plan_model old[PLAN_MODELS_MAX];
	struct pf_map old_ids = p->models_by_id;
	uint32_t i;

	for (i = 0; i < r->n_services && !s; i++) {
		if (r->services[i].engine)
			s = &r->services[i];
	}
	if (pf_map_init(&p->models_by_id, PLAN_MODELS_MAX) < 0) {
		/* The old models stay valid only with the old routes. */
		p->models_by_id = old_ids;
		for (i = 0; i < p->n_models; i++)
			(void)pf_map_del(&p->models_by_id,
					 pf_key1(p->models[i].spec->id));
		p->n_models = 0;
		p->routes = r;
		p->service = NULL;
		find_models_again(p);
		return;
	}
	memcpy(old, p->models, p->n_models * sizeof(*old));
	p->n_models = 0;
	for (i = 0; s && i < s->n_models && i < PLAN_MODELS_MAX; i++)
		add_model(p, &s->models[i], old, &old_ids);
	pf_map_free(&old_ids);
	p->routes = r;
	p->service = s;
	find_models_again(p);
}

static void copy_residents(struct plan_engine *e, const struct pf_resident *v,
			   uint32_t n)
{
	uint32_t i;

	e->n_residents = 0;
	for (i = 0; i < n && i < PF_RESIDENTS_MAX; i++)
		e->residents[e->n_residents++] = v[i].model;
	e->has_unlisted = i < n;
}

static bool has_left(const struct plan_engine *e, int64_t incarnation)
{
	return e->left_incarnation && e->left_incarnation == incarnation;
}

static void on_endpoint(struct pf_plan *p, const struct pf_endpoint_info *info)
{
	struct plan_engine *e;

	e = find_or_add_engine(p, info->id);
	if (!e)
		return;
	/* A late and empty engine was added, so it wasn't missing before. */
	if (!e->listed &&
	    (info->n_residents || p->now - p->started_at < STARTUP_MS))
		p->last_listed_at = p->now;
	e->service = info->service;
	e->software = info->software;
	e->listed = true;
	e->draining = info->draining || (e->draining && e->state_received_at) ||
		      has_left(e, info->incarnation);
	/* Without a recent state from the loader, trust the entry. */
	if (p->now - e->state_received_at > STATE_PRECEDENCE_MS ||
	    !e->state_received_at)
		copy_residents(e, info->residents, info->n_residents);
	find_engine_models(p, e);
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
		    p->loads[i].orders_accepted == orders &&
		    at - p->loads[i].started_at < LOAD_REPEAT_MS)
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
		n += p->loads[i].started_at && p->loads[i].started_at >= since;
	return n;
}

bool plan_may_load_from_store(const struct pf_plan *p)
{
	double rate = p->service->loads_per_s * p->opts.load_rate_factor;
	uint32_t in_flight = 0;
	double in_flight_max = STORE_LOADS_MIN;
	uint32_t i;

	for (i = 0; i < p->n_engines; i++) {
		const struct plan_engine *e = &p->engines[i];

		in_flight += e->id && e->order_is_load && e->order_from_store &&
			     (e->busy || e->order_model);
	}
	for (i = 0; i < p->n_models; i++) {
		double n = p->service->loads_per_s *
			   (double)p->models[i].spec->store_load_time / 1000;

		/* As many loads as the full rate keeps in flight. */
		if (n > in_flight_max)
			in_flight_max = n;
	}
	return in_flight < in_flight_max &&
	       loads_since(p, p->now - p->opts.load_window -
				      LOAD_WINDOW_MARGIN_MS) +
			       1 <=
		       rate * (double)p->opts.load_window / 1000 + LOADS_BURST;
}

/* The order in flight is given up. The loader tells of it too, unless it ended
 * meanwhile. */
static void doubt_order(struct pf_plan *p, const struct plan_engine *e)
{
	const struct pf_order_in_doubt o = {
		.model = e->order_model,
		.expected_orders = e->order_expected,
		.load = e->order_is_load,
		.age = p->now - e->order_sent_at,
	};

	plan_doubt_add(p, e->id, &o);
}

static void clear_finished_order(struct pf_plan *p, struct plan_engine *e)
{
	if (!e->order_model)
		return;
	/* The engine accepted this order or another one. */
	if (e->orders_accepted > e->order_expected) {
		if (!e->busy || !e->order_is_load)
			e->order_model = 0;
	} else if (p->now - e->order_given_at > ORDER_GIVE_UP_MS) {
		if (!e->order_is_load)
			e->unload_in_doubt = e->order_model;
		doubt_order(p, e);
		e->order_model = 0;
	}
}

/* An engine that has accepted no order may have just restarted. Counts the load
 * that another planner may have started there before, which can't be seen. */
static void note_unseen_load(struct pf_plan *p, const struct plan_engine *e,
			     const struct pf_engine_state *s)
{
	if (!e->state_received_at && s->orders_accepted == 0 &&
	    p->now - p->started_at <
		    p->opts.load_window + LOAD_WINDOW_MARGIN_MS)
		note_load(p, e->id, 0, p->started_at);
}

static void on_state(struct pf_plan *p, const struct pf_engine_state *s)
{
	struct plan_engine *e = find_engine(p, s->endpoint);
	uint32_t i;

	if (!e || !s->endpoint)
		return;
	note_unseen_load(p, e, s);
	for (i = 0; i < s->n_in_doubt; i++)
		plan_doubt_add(p, e->id, &s->in_doubt[i]);
	if (e->incarnation != s->incarnation) {
		if (e->order_model)
			doubt_order(p, e);
		e->order_model = 0;
		e->draining = e->draining && !e->incarnation;
	}
	if (e->incarnation != s->incarnation ||
	    e->orders_accepted != s->orders_accepted)
		e->unload_in_doubt = 0;
	e->state_received_at = p->now;
	e->incarnation = s->incarnation;
	e->orders_accepted = s->orders_accepted;
	e->busy = s->busy;
	e->unloading_model = s->unloading_model;
	e->draining = e->draining || s->draining || has_left(e, s->incarnation);
	copy_residents(e, s->residents, s->n_residents);
	e->n_in_host_mem = copy_ids(e->in_host_mem, PF_COPIES_MAX,
				    s->in_host_mem, s->n_in_host_mem);
	e->n_on_disk =
		copy_ids(e->on_disk, PF_COPIES_MAX, s->on_disk, s->n_on_disk);
	find_engine_models(p, e);
	if (s->from_store)
		note_load(p, e->id, s->orders_accepted,
			  p->now - s->loading_elapsed);
	clear_finished_order(p, e);
}

static void on_leaving(struct pf_plan *p, uint64_t id, int64_t incarnation)
{
	struct plan_engine *e = find_engine(p, id);

	if (!e || !incarnation)
		return;
	e->left_incarnation = incarnation;
	if (!e->incarnation || e->incarnation == incarnation)
		e->draining = true;
}

static void on_limit(struct pf_plan *p, uint64_t id, double per_s)
{
	struct plan_engine *e = find_engine(p, id);

	if (!e)
		return;
	e->limited = per_s >= 0;
	e->limit_per_s = per_s;
}

/* A free slot: new, or of the peer that was silent longest. */
static struct plan_peer *take_peer_slot(struct pf_plan *p)
{
	struct plan_peer *oldest = &p->peers[0];
	uint32_t i;

	for (i = 1; i < p->n_peers; i++) {
		if (p->peers[i].last_seen_at < oldest->last_seen_at)
			oldest = &p->peers[i];
	}
	if (p->n_peers < p->opts.peers_max &&
	    (!p->n_peers || p->now - oldest->last_seen_at < PEER_FORGET_MS))
		return &p->peers[p->n_peers++];
	(void)pf_map_del(&p->peers_by_id, pf_key1(oldest->id));
	return oldest;
}

static struct plan_peer *find_or_add_peer(struct pf_plan *p, uint64_t id)
{
	struct plan_peer *q;
	uint32_t slot;

	if (pf_map_get(&p->peers_by_id, pf_key1(id), &slot) == 0)
		return &p->peers[slot];
	q = take_peer_slot(p);
	(void)pf_map_put(&p->peers_by_id, pf_key1(id),
			 (uint32_t)(q - p->peers));
	q->id = id;
	q->n_demand = 0;
	/* A gateway that has just started has no earlier demand. */
	q->demand_received_at = p->now;
	return q;
}

/* Without memory, the planner knows less of the demand. */
static void add_peer_demand(const struct pf_plan *p, struct plan_peer *q,
			    const struct pf_gate_demand *d)
{
	struct plan_demand *v = q->demand;

	if (q->n_demand == q->demand_cap) {
		v = realloc(v, (q->demand_cap * 2 + 16) * sizeof(*v));
		if (!v)
			return;
		q->demand = v;
		q->demand_cap = q->demand_cap * 2 + 16;
	}
	v[q->n_demand++] =
		(struct plan_demand){ d->model, find_model_at(p, d->model),
				      d->per_s, d->open, d->waiting };
}

static void on_demand(struct pf_plan *p, const struct pf_plan_msg *m)
{
	struct plan_peer *q = find_or_add_peer(p, m->u.demand.peer);
	size_t i;

	if (p->now - q->demand_received_at > DEMAND_PART_GAP_MS)
		q->n_demand = 0;
	q->last_seen_at = p->now;
	q->demand_received_at = p->now;
	for (i = 0; i < m->u.demand.n_items && q->n_demand < PLAN_MODELS_MAX;
	     i++) {
		const struct pf_gate_demand *d = &m->u.demand.items[i];

		if (d->item == d->model)
			add_peer_demand(p, q, d);
	}
}

static void sum_demand(struct pf_plan *p)
{
	uint32_t i;
	uint32_t k;

	for (i = 0; i < p->n_models; i++) {
		p->models[i].requests = 0;
		p->models[i].arrivals_per_s = 0;
		p->models[i].waiting = 0;
	}
	for (i = 0; i < p->n_peers; i++) {
		const struct plan_peer *q = &p->peers[i];

		if (!q->id || p->now - q->demand_received_at > DEMAND_TTL_MS)
			continue;
		for (k = 0; k < q->n_demand; k++) {
			const struct plan_demand *d = &q->demand[k];

			if (d->at == PLAN_NONE)
				continue;
			p->models[d->at].requests += d->open;
			p->models[d->at].arrivals_per_s += d->per_s;
			p->models[d->at].waiting += d->waiting;
		}
	}
	for (i = 0; i < p->n_models; i++) {
		if (p->models[i].requests > DEMAND_MIN_REQUESTS ||
		    p->models[i].waiting ||
		    p->models[i].arrivals_per_s > DEMAND_MIN_PER_S)
			p->models[i].last_demand_at = p->now;
	}
}

/* Gateways send their demand only to those that lead or would be next. */
static bool demand_is_missing(const struct pf_plan *p)
{
	uint32_t i;

	for (i = 0; i < p->n_peers; i++) {
		const struct plan_peer *q = &p->peers[i];

		if (q->id && p->now - q->last_seen_at < PEER_SILENT_MS &&
		    p->now - q->demand_received_at > DEMAND_TTL_MS)
			return true;
	}
	return false;
}

static void update_leadership(struct pf_plan *p)
{
	uint32_t i;

	p->is_leader = p->now >= p->no_lead_until;
	for (i = 0; i < p->n_peers; i++) {
		const struct plan_peer *q = &p->peers[i];

		if (q->id && q->id < p->opts.self &&
		    p->now - q->last_seen_at < PEER_SILENT_MS)
			p->is_leader = false;
	}
}

static void send_order(struct pf_plan *p, struct plan_engine *e,
		       const struct plan_model *m, const char *reason)
{
	struct pf_plan_act a = {
		.endpoint = e->id,
		.incarnation = e->incarnation,
		.expected_orders = e->order_expected,
		.load = e->order_is_load,
		.from_store = e->order_from_store,
		.model = m->spec->name,
		.reason = reason,
	};

	e->order_sent_at = p->now;
	p->sink->emit(p->sink->ctx, &a);
}

void plan_order(struct pf_plan *p, struct plan_engine *e,
		const struct plan_model *m, bool load, const char *reason)
{
	e->order_model = m->spec->id;
	e->order_is_load = load;
	e->order_from_store = load && !plan_has_copy(p, e, m);
	e->order_expected = e->orders_accepted;
	e->order_given_at = p->now;
	if (e->order_from_store)
		note_load(p, e->id, e->orders_accepted + 1, p->now);
	send_order(p, e, m, reason);
}

static void resend_orders(struct pf_plan *p)
{
	uint32_t i;

	for (i = 0; i < p->n_engines; i++) {
		struct plan_engine *e = &p->engines[i];
		const struct plan_model *m;

		if (!e->id || !e->order_model ||
		    e->orders_accepted != e->order_expected ||
		    p->now - e->order_sent_at < ORDER_RESEND_MS)
			continue;
		m = plan_find_model(p, e->order_model);
		clear_finished_order(p, e);
		if (m && e->order_model)
			send_order(p, e, m, "again");
	}
}

static void on_tick(struct pf_plan *p)
{
	if (p->now - p->last_tick_at > TICK_GAP_MAX_MS) {
		p->no_lead_until = p->now + NO_LEAD_MS;
		p->demand_known_since = p->now;
	}
	p->last_tick_at = p->now;
	if (demand_is_missing(p))
		p->demand_known_since = p->now;
	update_leadership(p);
	/* A new leader needs to know when models were last used. */
	sum_demand(p);
	if (!p->is_leader || !p->service || !p->members_read)
		return;
	p->engines_known = p->now - p->last_listed_at >= LISTING_SETTLE_MS;
	resend_orders(p);
	plan_choose_orders(p);
}

void pf_plan_step(struct pf_plan *p, pf_ms now, const struct pf_plan_msg *m,
		  const struct pf_plan_sink *sink)
{
	if (!p->started_at)
		p->started_at = now;
	p->now = now;
	p->sink = sink;
	switch (m->type) {
	case PF_PLAN_ROUTES:
		set_routes(p, m->u.routes);
		break;
	case PF_PLAN_ENDPOINT:
		on_endpoint(p, m->u.endpoint);
		break;
	case PF_PLAN_LEAVING:
		on_leaving(p, m->u.leaving.endpoint, m->u.leaving.incarnation);
		break;
	case PF_PLAN_LIMIT:
		on_limit(p, m->u.limit.endpoint, m->u.limit.per_s);
		break;
	case PF_PLAN_ENDPOINT_GONE:
		remove_engine(p, m->u.id);
		break;
	case PF_PLAN_STATE:
		on_state(p, m->u.state);
		break;
	case PF_PLAN_MEMBERS_READ:
		if (!p->members_read)
			p->no_lead_until = now + NO_LEAD_MS;
		p->members_read = true;
		break;
	case PF_PLAN_PEER_HEARTBEAT:
		find_or_add_peer(p, m->u.id)->last_seen_at = now;
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

bool pf_plan_is_leader(const struct pf_plan *p)
{
	return p->is_leader;
}
