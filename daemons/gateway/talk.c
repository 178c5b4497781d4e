/*
 * Datagrams among gateways and loaders. Gateways find each other by their rows
 * in the store, and a loader by the address of its endpoint.
 */
#include "talk_core.h"

#include "pimentoford/counters.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define TICK_INTERVAL_MS 120
#define DEMAND_INTERVAL_MS 500
/* While requests wait, perhaps for a model to be loaded. */
#define DEMAND_INTERVAL_WAITING_MS 200
/* Demand is sent to the gateways with this many lowest ids; one of them leads
 * the planning. */
#define LEADER_CANDIDATES 2
#define PART_USES_INTERVAL_MS 480
/* Usage is sent to each loader at least this often; it tells loaders which
 * gateways to send state to. */
#define USAGE_INTERVAL_MS 1500
#define STATE_INTERVAL_NEAR_MS 500
#define STATE_INTERVAL_FAR_MS 1500
#define DEMAND_ITEMS_MAX 512
/* A tick that is later than this is logged: callers notice the delay. */
#define TICK_LATE_MS 250

/* A loader runs at its endpoint's IP; all gateways and loaders share a port. */
static int loader_addr(const struct talk *t, const struct endpoint *e,
		       struct sockaddr_in *out)
{
	if (pf_talk_addr(e->info.addr, out) < 0)
		return -1;
	out->sin_port = t->self_addr.sin_port;
	return 0;
}

static uint32_t adapter_slots(const struct gateway *g, const struct endpoint *e)
{
	const struct pf_route_service *s =
		g->routes ? pf_routes_find_service(g->routes, e->info.service)
			  : NULL;

	return s && s->engine ? s->adapter_slots : 0;
}

uint64_t talk_zone_region(const struct gateway *g, uint64_t zone)
{
	const struct pf_zone_setting *z = g->settings.zones.v;
	size_t i;

	for (i = 0; i < g->settings.zones.n; i++) {
		if (pf_id(pf_str_c(z[i].name)) == zone)
			return pf_id(pf_str_c(z[i].region));
	}
	return 0;
}

/* The leader plans for all engines; others route mostly within the region. */
static pf_ms state_interval(const struct talk *t, const struct endpoint *e)
{
	uint64_t own_region =
		pf_id(pf_str_c(t->gateway->settings.common.region));

	return t->was_leader || talk_zone_region(t->gateway, e->info.zone) ==
					own_region
		       ? STATE_INTERVAL_NEAR_MS
		       : STATE_INTERVAL_FAR_MS;
}

/* Sends a loader the adapters in use, and the wanted one unless empty. */
static void send_usage(struct talk *t, struct endpoint *e, struct pf_str model,
		       struct pf_str adapter)
{
	uint64_t used[ENDPOINT_ADAPTERS_MAX];
	struct pf_loader_usage usage = {
		.instance = pf_str_c(e->info.instance),
		.incarnation = e->info.incarnation,
		.adapter_slots = adapter_slots(t->gateway, e),
		.state_interval = state_interval(t, e),
		.adapters_in_use = used,
		.n_in_use = e->n_adapters_in_use,
		.wanted_model = model,
		.wanted_adapter = adapter,
	};
	struct sockaddr_in addr;
	uint32_t i;

	if (!usage.adapter_slots || loader_addr(t, e, &addr) < 0)
		return;
	for (i = 0; i < e->n_adapters_in_use; i++)
		used[i] = e->adapters_in_use[i].adapter;
	pf_talk_send_usage(t->datagrams, &addr, &usage);
	e->usage_changed = false;
	e->usage_sent_at = pf_clock_now();
}

void talk_request_adapter(struct exchange *x, const struct pf_gate_act *a)
{
	struct gateway *g = x->gateway;
	struct endpoint *e = endpoint_find(g, a->u.request_adapter.endpoint);
	const struct pf_route_service *s;
	const struct pf_model_spec *m;

	if (!e || !g->routes)
		return;
	s = pf_routes_find_service(g->routes, e->info.service);
	m = s ? pf_service_find_model(s, x->inbound.model) : NULL;
	if (m)
		send_usage(g->talk, e, pf_str_c(m->name),
			   x->inbound.adapter_name);
}

static void send_due_usage(struct talk *t)
{
	pf_ms now = pf_clock_now();
	struct endpoint *e;

	LIST_FOREACH(e, &t->gateway->endpoints, next)
	{
		if (!e->removed &&
		    (e->usage_changed ||
		     now - e->usage_sent_at >= USAGE_INTERVAL_MS))
			send_usage(t, e, PF_STR(""), PF_STR(""));
	}
}

static void on_plan_act(void *ctx, const struct pf_plan_act *a)
{
	struct talk *t = ctx;
	struct gateway *g = t->gateway;
	struct endpoint *e = endpoint_find(g, a->endpoint);
	struct pf_loader_order o = {
		.incarnation = a->incarnation,
		.expected_orders = a->expected_orders,
		.load = a->load,
		.from_store = a->from_store,
		.model = pf_str_c(a->model),
	};
	struct sockaddr_in addr;

	if (!e || loader_addr(t, e, &addr) < 0)
		return;
	o.instance = pf_str_c(e->info.instance);
	PF_LOG(&g->log, PF_LOG_INFO, "plan",
	       PF_KV_STR("endpoint", e->info.instance),
	       PF_KV_STR("op", a->load ? "load" : "unload"),
	       PF_KV_STR("model", a->model),
	       PF_KV_INT("from_store", a->from_store),
	       PF_KV_STR("why", a->reason));
	pf_talk_send_order(t->datagrams, &addr, &o);
}

void talk_plan_step(struct talk *t, const struct pf_plan_msg *m)
{
	const struct pf_plan_sink sink = { on_plan_act, t };

	pf_plan_step(t->plan, pf_clock_now(), m, &sink);
}

void talk_routes_changed(struct gateway *g)
{
	struct pf_plan_msg m = { .type = PF_PLAN_ROUTES };

	m.u.routes = g->routes;
	talk_plan_step(g->talk, &m);
}

void talk_endpoint_updated(struct gateway *g,
			   const struct pf_endpoint_info *info)
{
	struct pf_plan_msg m = { .type = PF_PLAN_ENDPOINT };

	m.u.endpoint = info;
	talk_plan_step(g->talk, &m);
}

void talk_endpoint_removed(struct gateway *g, uint64_t id)
{
	struct pf_plan_msg m = { .type = PF_PLAN_ENDPOINT_GONE };

	m.u.id = id;
	talk_plan_step(g->talk, &m);
}

void talk_endpoint_leaving(struct gateway *g, uint64_t id, int64_t incarnation)
{
	struct pf_plan_msg m = { .type = PF_PLAN_LEAVING };

	m.u.leaving.endpoint = id;
	m.u.leaving.incarnation = incarnation;
	talk_plan_step(g->talk, &m);
}

static void on_digest(void *ctx, const struct sockaddr_in *from,
		      const struct pf_gate_digest *d,
		      const struct pf_talk_store_view *news)
{
	struct pf_plan_msg p = { .type = PF_PLAN_PEER_HEARTBEAT };
	struct pf_gate_msg m = { .type = PF_GATE_PEER_DIGEST };
	struct talk *t = ctx;

	if (!d->peer || d->peer == t->gateway->self)
		return;
	members_digest_received(t, from, d->peer, news->store_age);
	feeds_on_peer_view(t->gateway, from, news);
	p.u.id = d->peer;
	talk_plan_step(t, &p);
	m.u.digest = *d;
	core_step(t->gateway, &m);
}

static void on_evidence(void *ctx, uint64_t peer,
			const struct pf_gate_evidence *v, uint32_t n)
{
	struct pf_gate_msg m = { .type = PF_GATE_PEER_EVIDENCE };
	struct talk *t = ctx;

	if (!peer || peer == t->gateway->self)
		return;
	m.u.evidence.peer = peer;
	m.u.evidence.v = v;
	m.u.evidence.n = n;
	core_step(t->gateway, &m);
}

static void on_limits(void *ctx, uint64_t peer, const struct pf_gate_limit *v,
		      uint32_t n)
{
	struct pf_gate_msg m = { .type = PF_GATE_PEER_LIMITS };
	struct talk *t = ctx;

	if (!peer || peer == t->gateway->self)
		return;
	m.u.limits.peer = peer;
	m.u.limits.v = v;
	m.u.limits.n = n;
	core_step(t->gateway, &m);
}

static void on_note(void *ctx, const struct sockaddr_in *from,
		    const struct pf_gate_note *n)
{
	const struct talk *t = ctx;

	streams_on_note(t->gateway, from, n);
}

static void on_allowance_ask(void *ctx, const struct sockaddr_in *from,
			     const struct pf_allowance_ask *a)
{
	const struct talk *t = ctx;

	allowances_on_ask(t->gateway, from, a);
}

static void on_allowance_grant(void *ctx, const struct sockaddr_in *from,
			       const struct pf_allowance_grant *g)
{
	const struct talk *t = ctx;

	allowances_on_grant(t->gateway, from, g);
}

static void add_demand(struct talk *t, uint64_t peer,
		       const struct pf_gate_demand *v, size_t n)
{
	struct pf_plan_msg m = { .type = PF_PLAN_DEMAND };

	m.u.demand.peer = peer;
	m.u.demand.items = v;
	m.u.demand.n_items = n;
	talk_plan_step(t, &m);
}

static void on_demand(void *ctx, uint64_t peer, const struct pf_gate_demand *v,
		      size_t n)
{
	struct talk *t = ctx;

	if (peer && peer != t->gateway->self)
		add_demand(t, peer, v, n);
}

static void on_state(void *ctx, const struct pf_engine_state *s)
{
	struct pf_gate_msg m = { .type = PF_GATE_ENGINE_STATE };
	struct pf_plan_msg p = { .type = PF_PLAN_STATE };
	struct talk *t = ctx;

	if (!endpoint_find(t->gateway, s->endpoint))
		return;
	p.u.state = s;
	talk_plan_step(t, &p);
	m.u.state = s;
	core_step(t->gateway, &m);
}

/* The live members with an id of at most this are the @n with the lowest. */
static uint64_t nth_lowest_id(const struct talk *t, pf_ms now, uint32_t n)
{
	uint64_t last = 0;
	uint32_t i;

	while (n-- > 0) {
		uint64_t next = UINT64_MAX;

		for (i = 0; i < t->members.n; i++) {
			const struct member *m = &t->members.v[i];

			if (m->id > last && m->id < next &&
			    member_is_live(m, now))
				next = m->id;
		}
		last = next;
	}
	return last;
}

/* At each tick, whatever the digest's interval: each crash costs callers. */
static void send_evidence(struct talk *t, pf_ms now)
{
	uint64_t judges = nth_lowest_id(t, now, PF_GATE_JUDGES);
	struct pf_gate_evidence v[PF_GATE_EVIDENCE_MAX];
	uint32_t i;

	for (i = 0; i < t->members.n; i++) {
		struct member *m = &t->members.v[i];
		uint32_t n = pf_gate_evidence(
			t->gateway->core, &m->digest_cursor,
			member_is_live(m, now) && m->id <= judges, v);

		if (n)
			pf_talk_send_evidence(t->datagrams, &m->addr,
					      t->gateway->self, v, n);
	}
}

static void send_limits(struct talk *t, pf_ms now)
{
	struct pf_gate_limit v[PF_GATE_LIMITS_MAX];
	uint32_t n = pf_gate_limits(t->gateway->core, now, v);
	uint32_t i;

	for (i = 0; n > 0 && i < t->members.n; i++)
		pf_talk_send_limits(t->datagrams, &t->members.v[i].addr,
				    t->gateway->self, v, n);
}

static void plan_limits(struct talk *t, pf_ms now)
{
	struct pf_plan_msg m = { .type = PF_PLAN_LIMIT };
	struct endpoint *e;

	LIST_FOREACH(e, &t->gateway->endpoints, next)
	{
		double limit = pf_gate_limit_of(
			t->gateway->core, now, e->info.id, e->info.incarnation);

		if (e->removed || limit == e->planned_limit)
			continue;
		e->planned_limit = limit;
		m.u.limit.endpoint = e->info.id;
		m.u.limit.per_s = limit;
		talk_plan_step(t, &m);
	}
}

static void send_due_digests(struct talk *t, pf_ms now)
{
	const struct pf_talk_store_view news = {
		t->gateway->routes ? t->gateway->routes->version : 0,
		t->gateway->endpoints_revision,
		feeds_store_age(t->gateway, now),
		pf_store_eras(t->gateway->store)->newest
	};
	struct pf_gate_digest d;
	uint32_t i;

	for (i = 0; i < t->members.n; i++) {
		struct member *m = &t->members.v[i];

		if (now - m->digest_sent_at < m->digest_interval)
			continue;
		m->digest_sent_at = now;
		pf_gate_digest(t->gateway->core, &m->digest_cursor, &d);
		pf_talk_send_digest(t->datagrams, &m->addr, &d, &news);
	}
}

static void send_demand(struct talk *t, pf_ms now)
{
	struct pf_gate_demand v[DEMAND_ITEMS_MAX];
	size_t n = pf_gate_demand(t->gateway->core, now, v, DEMAND_ITEMS_MAX);
	uint64_t candidates = nth_lowest_id(t, now, LEADER_CANDIDATES);
	uint32_t i;

	t->demand_sent_at = now;
	for (i = 0; i < t->members.n; i++) {
		const struct member *m = &t->members.v[i];

		if (member_is_live(m, now) && m->id <= candidates)
			pf_talk_send_demand(t->datagrams, &m->addr,
					    t->gateway->self, v, n);
	}
	add_demand(t, t->gateway->self, v, n);
}

/* To the gateways that judge which prompt part crashes endpoints. */
static void send_to_judges(struct talk *t, pf_ms now,
			   const struct pf_gate_evidence *v, uint32_t n)
{
	uint64_t judges = nth_lowest_id(t, now, PF_GATE_JUDGES);
	uint32_t i;

	for (i = 0; i < t->members.n; i++) {
		const struct member *m = &t->members.v[i];

		if (member_is_live(m, now) && m->id <= judges)
			pf_talk_send_evidence(t->datagrams, &m->addr,
					      t->gateway->self, v, n);
	}
}

static void send_part_uses(struct talk *t, pf_ms now)
{
	struct pf_gate_evidence v[PF_GATE_EVIDENCE_MAX];
	uint32_t n;

	t->part_uses_sent_at = now;
	while ((n = pf_gate_part_uses(t->gateway->core, v)) > 0)
		send_to_judges(t, now, v, n);
}

/* The event loop was busy, or the process did not run. */
static void note_late_tick(struct talk *t, pf_ms now)
{
	pf_ms late = t->tick_at ? now - t->tick_at - TICK_INTERVAL_MS : 0;
	uint64_t *v = t->gateway->counters->v;

	t->tick_at = now;
	if (late > 0 && (uint64_t)late > v[PF_GC_TICK_LATE_MAX_MS])
		v[PF_GC_TICK_LATE_MAX_MS] = (uint64_t)late;
	if (late < TICK_LATE_MS)
		return;
	v[PF_GC_LATE_TICKS]++;
	PF_LOG(&t->gateway->log, PF_LOG_WARN, "tick_late",
	       PF_KV_INT("ms", late), PF_KV_INT("plan_ms", t->plan_took),
	       PF_KV_INT("leads", t->was_leader),
	       PF_KV_INT("connections", t->gateway->n_callers));
}

static void tick_plan(struct talk *t)
{
	static const struct pf_plan_msg tick = { .type = PF_PLAN_TICK };
	uint64_t *v = t->gateway->counters->v;
	pf_ms start = pf_clock_now();

	talk_plan_step(t, &tick);
	t->plan_took = pf_clock_now() - start;
	v[PF_GC_PLAN_MS] += (uint64_t)t->plan_took;
	if ((uint64_t)t->plan_took > v[PF_GC_PLAN_MAX_MS])
		v[PF_GC_PLAN_MAX_MS] = (uint64_t)t->plan_took;
}

static void on_tick(evutil_socket_t fd, short what, void *ctx)
{
	pf_ms now = pf_clock_now();
	struct talk *t = ctx;

	(void)fd;
	(void)what;
	note_late_tick(t, now);
	send_evidence(t, now);
	send_limits(t, now);
	send_due_digests(t, now);
	if (now - t->demand_sent_at >= (pf_gate_has_waiting(t->gateway->core)
						? DEMAND_INTERVAL_WAITING_MS
						: DEMAND_INTERVAL_MS))
		send_demand(t, now);
	if (now - t->part_uses_sent_at >= PART_USES_INTERVAL_MS)
		send_part_uses(t, now);
	send_due_usage(t);
	feeds_poll_if_overdue(t->gateway);
	plan_limits(t, now);
	tick_plan(t);
	if (t->was_leader != pf_plan_is_leader(t->plan)) {
		t->was_leader = !t->was_leader;
		PF_LOG(&t->gateway->log, PF_LOG_INFO,
		       t->was_leader ? "planner_leads" : "planner_follows",
		       PF_KV_INT("members", t->members.n));
	}
}

static struct pf_plan *new_plan(struct gateway *g)
{
	struct pf_plan_opts o;

	pf_plan_opts_default(&o);
	o.self = g->self;
	o.load_window = g->settings.load_window;
	o.load_rate_factor = g->settings.load_rate_factor;
	return pf_plan_new(&o);
}

int talk_start(struct gateway *g)
{
	struct timeval every = pf_clock_timeval(TICK_INTERVAL_MS);
	struct talk *t = calloc(1, sizeof(*t));
	struct pf_talk_opts o = {
		.base = g->base,
		.addr = g->settings.datagrams,
		.log = &g->log,
		.digest = on_digest,
		.evidence = on_evidence,
		.limits = on_limits,
		.note = on_note,
		.allowance_ask = on_allowance_ask,
		.allowance_grant = on_allowance_grant,
		.demand = on_demand,
		.state = on_state,
		.ctx = t,
	};

	g->talk = t;
	if (!t)
		return -1;
	t->gateway = g;
	t->datagrams = pf_talk_new(&o);
	if (!t->datagrams ||
	    pf_talk_addr(g->settings.datagrams, &t->self_addr) < 0) {
		PF_LOG(&g->log, PF_LOG_ERROR, "no_listener",
		       PF_KV_STR("datagrams", g->settings.datagrams),
		       PF_KV_STR("why", strerror(errno)));
		return -1;
	}
	t->plan = new_plan(g);
	t->tick_timer = event_new(g->base, -1, EV_PERSIST, on_tick, t);
	if (!t->plan || !t->tick_timer || members_start(t) < 0)
		return -1;
	event_add(t->tick_timer, &every);
	return 0;
}

void talk_stop(struct gateway *g)
{
	struct talk *t = g->talk;

	if (!t)
		return;
	if (t->tick_timer)
		event_free(t->tick_timer);
	members_stop(t);
	pf_talk_free(t->datagrams);
	pf_plan_free(t->plan);
	free(t);
}
