/*
 * What gateways and loaders tell each other. Gateways find each other by
 * their rows in the store, and a loader at its endpoint's address.
 */
#include "talk_core.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define TICK_MS 120
#define DEMAND_EVERY_MS 500
/* And while requests wait, perhaps for a model that must be loaded. */
#define DEMAND_WAITING_MS 200
/* Demand goes to so many of those that may lead the planning. */
#define LEADERS 2
/* Loaders hear from each gateway at least so often, and it from them. */
#define HELLO_EVERY_MS 1500
#define TELL_NEAR_MS 500
#define TELL_FAR_MS 1500
#define DEMANDS_MAX 512

/* An endpoint's loader listens beside it, at the port that all use. */
static int loader_of(const struct talk *t, const struct target *to,
		     struct sockaddr_in *out)
{
	if (pf_talk_addr(to->listed.addr, out) < 0)
		return -1;
	out->sin_port = t->self.sin_port;
	return 0;
}

static uint32_t adapter_slots(const struct gateway *g, const struct target *to)
{
	const struct pf_route_service *s =
		g->routes
			? pf_routes_find_service(g->routes, to->listed.service)
			: NULL;

	return s && s->engine ? s->adapter_slots : 0;
}

uint64_t talk_region_of(const struct gateway *g, uint64_t zone)
{
	const struct pf_zone_setting *z = g->set.zones.v;
	size_t i;

	for (i = 0; i < g->set.zones.n; i++) {
		if (pf_id(pf_str_c(z[i].name)) == zone)
			return pf_id(pf_str_c(z[i].region));
	}
	return 0;
}

/* The planner needs to know all engines, the others those that are near. */
static pf_ms tell_every(const struct talk *t, const struct target *to)
{
	uint64_t here = pf_id(pf_str_c(t->g->set.common.region));

	return t->led || talk_region_of(t->g, to->listed.zone) == here
		       ? TELL_NEAR_MS
		       : TELL_FAR_MS;
}

/* Tells a loader what was used, and which adapter is missing. */
static void send_want(struct talk *t, struct target *to, struct pf_str model,
		      struct pf_str adapter)
{
	uint64_t used[TARGET_USED_MAX];
	struct pf_loader_usage w = {
		.instance = pf_str_c(to->listed.instance),
		.incarnation = to->listed.incarnation,
		.adapter_slots = adapter_slots(t->g, to),
		.state_interval = tell_every(t, to),
		.adapters_in_use = used,
		.n_in_use = to->n_used,
		.wanted_model = model,
		.wanted_adapter = adapter,
	};
	struct sockaddr_in addr;
	uint32_t i;

	if (!w.adapter_slots || loader_of(t, to, &addr) < 0)
		return;
	for (i = 0; i < to->n_used; i++)
		used[i] = to->used[i].adapter;
	pf_talk_send_usage(t->talk, &addr, &w);
	to->used_changed = false;
	to->told_at = pf_clock_now();
}

void talk_want(struct exchange *x, const struct pf_gate_act *a)
{
	struct gateway *g = x->g;
	struct target *to = target_find(g, a->u.request_adapter.endpoint);
	const struct pf_route_service *s;
	const struct pf_model_spec *m;

	if (!to || !g->routes)
		return;
	s = pf_routes_find_service(g->routes, to->listed.service);
	m = s ? pf_service_find_model(s, x->in.model) : NULL;
	if (m)
		send_want(g->talk, to, pf_str_c(m->name), x->in.adapter_name);
}

static void hello(struct talk *t)
{
	pf_ms now = pf_clock_now();
	struct target *to;

	LIST_FOREACH(to, &t->g->targets, next)
	{
		if (!to->gone &&
		    (to->used_changed || now - to->told_at >= HELLO_EVERY_MS))
			send_want(t, to, PF_STR(""), PF_STR(""));
	}
}

static void plan_emit(void *ctx, const struct pf_plan_act *a)
{
	struct talk *t = ctx;
	struct gateway *g = t->g;
	struct target *to = target_find(g, a->endpoint);
	struct pf_loader_order o = {
		.incarnation = a->incarnation,
		.expected_orders = a->expected_orders,
		.load = a->load,
		.from_store = a->from_store,
		.model = pf_str_c(a->model),
	};
	struct sockaddr_in addr;

	if (!to || loader_of(t, to, &addr) < 0)
		return;
	o.instance = pf_str_c(to->listed.instance);
	PF_LOG(&g->log, PF_LOG_INFO, "plan",
	       PF_KV_STR("endpoint", to->listed.instance),
	       PF_KV_STR("op", a->load ? "load" : "unload"),
	       PF_KV_STR("model", a->model),
	       PF_KV_INT("from_store", a->from_store),
	       PF_KV_STR("why", a->reason));
	pf_talk_send_order(t->talk, &addr, &o);
}

void talk_plan_step(struct talk *t, const struct pf_plan_msg *m)
{
	const struct pf_plan_sink sink = { plan_emit, t };

	pf_plan_step(t->plan, pf_clock_now(), m, &sink);
}

void talk_routes(struct gateway *g)
{
	struct pf_plan_msg m = { .type = PF_PLAN_ROUTES };

	m.u.routes = g->routes;
	talk_plan_step(g->talk, &m);
}

void talk_endpoint(struct gateway *g, const struct pf_endpoint_info *l)
{
	struct pf_plan_msg m = { .type = PF_PLAN_ENDPOINT };

	m.u.endpoint = l;
	talk_plan_step(g->talk, &m);
}

void talk_endpoint_gone(struct gateway *g, uint64_t id)
{
	struct pf_plan_msg m = { .type = PF_PLAN_ENDPOINT_GONE };

	m.u.id = id;
	talk_plan_step(g->talk, &m);
}

static void on_digest(void *ctx, const struct sockaddr_in *from,
		      const struct pf_gate_digest *d,
		      const struct pf_talk_store_view *news)
{
	struct pf_plan_msg p = { .type = PF_PLAN_PEER_HEARTBEAT };
	struct pf_gate_msg m = { .type = PF_GATE_PEER_DIGEST };
	struct talk *t = ctx;

	if (!d->peer || d->peer == t->g->self)
		return;
	members_heard(t, from, d->peer, news->store_age);
	follow_news(t->g, news->config_version, news->endpoints_revision);
	p.u.id = d->peer;
	talk_plan_step(t, &p);
	m.u.digest = *d;
	core_step(t->g, &m);
}

static void hear_demand(struct talk *t, uint64_t peer,
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

	if (peer && peer != t->g->self)
		hear_demand(t, peer, v, n);
}

static void on_state(void *ctx, const struct pf_engine_state *s)
{
	struct pf_gate_msg m = { .type = PF_GATE_ENGINE_STATE };
	struct pf_plan_msg p = { .type = PF_PLAN_STATE };
	struct talk *t = ctx;

	if (!target_find(t->g, s->endpoint))
		return;
	p.u.state = s;
	talk_plan_step(t, &p);
	m.u.state = s;
	core_step(t->g, &m);
}

static void send_digest(struct talk *t, pf_ms now)
{
	const struct pf_talk_store_view news = {
		t->g->routes ? t->g->routes->version : 0,
		t->g->endpoints_changed, follow_age(t->g, now)
	};
	struct pf_gate_digest d;
	uint32_t i;

	for (i = 0; i < t->n_members; i++) {
		struct member *m = &t->members[i];

		if (now - m->told_at < m->every)
			continue;
		m->told_at = now;
		pf_gate_digest(t->g->core, &m->told, &d);
		pf_talk_send_digest(t->talk, &m->addr, &d, &news);
	}
}

/* The lowest that are heard may lead. */
static bool may_lead(const struct talk *t, const struct member *m, pf_ms now)
{
	uint32_t lower = 0;
	uint32_t i;

	if (!members_alive(m, now))
		return false;
	for (i = 0; i < t->n_members; i++)
		lower += members_alive(&t->members[i], now) &&
			 t->members[i].id < m->id;
	return lower < LEADERS;
}

static void send_demand(struct talk *t, pf_ms now)
{
	struct pf_gate_demand v[DEMANDS_MAX];
	size_t n = pf_gate_demand(t->g->core, now, v, DEMANDS_MAX);
	uint32_t i;

	t->demand_at = now;
	for (i = 0; i < t->n_members; i++) {
		if (may_lead(t, &t->members[i], now))
			pf_talk_send_demand(t->talk, &t->members[i].addr,
					    t->g->self, v, n);
	}
	hear_demand(t, t->g->self, v, n);
}

static void on_timer(evutil_socket_t fd, short what, void *ctx)
{
	static const struct pf_plan_msg tick = { .type = PF_PLAN_TICK };
	pf_ms now = pf_clock_now();
	struct talk *t = ctx;

	(void)fd;
	(void)what;
	send_digest(t, now);
	if (now - t->demand_at >= (pf_gate_has_waiting(t->g->core)
					   ? DEMAND_WAITING_MS
					   : DEMAND_EVERY_MS))
		send_demand(t, now);
	hello(t);
	follow_check(t->g);
	talk_plan_step(t, &tick);
	if (t->led != pf_plan_is_leader(t->plan)) {
		t->led = !t->led;
		PF_LOG(&t->g->log, PF_LOG_INFO,
		       t->led ? "planner_leads" : "planner_follows",
		       PF_KV_INT("members", t->n_members));
	}
}

static struct pf_plan *make_plan(struct gateway *g)
{
	struct pf_plan_opts o;

	pf_plan_opts_default(&o);
	o.self = g->self;
	o.load_window = g->set.load_window;
	o.load_rate_factor = g->set.load_rate_factor;
	return pf_plan_new(&o);
}

int talk_start(struct gateway *g)
{
	struct timeval every = pf_clock_timeval(TICK_MS);
	struct talk *t = calloc(1, sizeof(*t));
	struct pf_talk_opts o = {
		.base = g->base,
		.addr = g->set.talk,
		.log = &g->log,
		.digest = on_digest,
		.demand = on_demand,
		.state = on_state,
		.ctx = t,
	};

	g->talk = t;
	if (!t)
		return -1;
	t->g = g;
	t->talk = pf_talk_new(&o);
	if (!t->talk || pf_talk_addr(g->set.talk, &t->self) < 0) {
		PF_LOG(&g->log, PF_LOG_ERROR, "no_listener",
		       PF_KV_STR("talk", g->set.talk),
		       PF_KV_STR("why", strerror(errno)));
		return -1;
	}
	t->plan = make_plan(g);
	t->timer = event_new(g->base, -1, EV_PERSIST, on_timer, t);
	if (!t->plan || !t->timer || members_start(t) < 0)
		return -1;
	event_add(t->timer, &every);
	return 0;
}

void talk_stop(struct gateway *g)
{
	struct talk *t = g->talk;

	if (!t)
		return;
	if (t->timer)
		event_free(t->timer);
	members_stop(t);
	pf_talk_free(t->talk);
	pf_plan_free(t->plan);
	free(t);
}
