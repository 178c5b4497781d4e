#include "tests/gate_rig.h"

#include <cstdlib>
#include <cstring>

static void Emit(void *ctx, const struct pf_gate_act *a)
{
	auto *r = static_cast<GateRig *>(ctx);
	uint64_t to = a->type == PF_GATE_SEND ? a->u.send.endpoint
		      : a->type == PF_GATE_REQUEST_ADAPTER
			      ? a->u.request_adapter.endpoint
			      : 0;

	r->acts.push_back(
		{ a->type, static_cast<int>(reinterpret_cast<intptr_t>(a->ctx)),
		  to, *a });
}

static void SetRoute(struct pf_route *r, const char *prefix,
		     const char *service, enum pf_route_kind kind,
		     pf_ms objective, pf_ms timeout, uint32_t attempts)
{
	r->host = strdup("h");
	r->host_id = GateRig::Id("h");
	r->prefix = strdup(prefix);
	r->kind = kind;
	r->splits =
		static_cast<struct pf_split *>(calloc(1, sizeof(*r->splits)));
	r->splits[0] = { GateRig::Id(service), 1 };
	r->n_splits = 1;
	r->latency_objective = objective;
	r->timeout = timeout;
	r->attempts_max = attempts;
}

void GateRig::Start()
{
	struct pf_gate_msg m = {};

	g = pf_gate_new(&o);
	routes = static_cast<struct pf_routes *>(calloc(1, sizeof(*routes)));
	routes->routes =
		static_cast<struct pf_route *>(calloc(4, sizeof(pf_route)));
	routes->n_routes = 4;
	SetRoute(&routes->routes[0], "/s/", "app", PF_ROUTE_SAFE, 150, 800, 2);
	SetRoute(&routes->routes[1], "/u/", "app", PF_ROUTE_UNSAFE, 150, 800,
		 1);
	SetRoute(&routes->routes[2], "/t/", "llm", PF_ROUTE_STREAM, 5000, 15000,
		 1);
	SetRoute(&routes->routes[3], "/r/", "llm", PF_ROUTE_RESUMABLE, 800,
		 6000, 2);
	routes->services = static_cast<struct pf_route_service *>(
		calloc(2, sizeof(pf_route_service)));
	routes->n_services = 2;
	routes->services[0].id = Id("app");
	routes->services[1].id = Id("llm");
	routes->services[1].engine = true;
	routes->services[1].kv_tokens = 100000;
	routes->services[1].tokens_per_event = 4;
	m.type = PF_GATE_ROUTES;
	m.u.routes = routes;
	Step(m);
	if (reads_endpoints)
		EndpointsRead();
}

void GateRig::EndpointsRead()
{
	struct pf_gate_msg m = {};

	m.type = PF_GATE_ENDPOINTS_READ;
	Step(m);
}

void GateRig::EndpointsBehind(bool behind)
{
	struct pf_gate_msg m = {};

	m.type = PF_GATE_ENDPOINTS_BEHIND;
	m.u.behind = behind;
	Step(m);
}

void GateRig::Step(const struct pf_gate_msg &m)
{
	const struct pf_gate_sink sink = { Emit, this };

	pf_gate_step(g, now, &m, &sink);
}

void GateRig::Tick(pf_ms span)
{
	struct pf_gate_msg m = {};
	pf_ms end = now + span;

	m.type = PF_GATE_TICK;
	while (now < end) {
		pf_ms next = pf_gate_next(g);

		now = next < end && next > now ? next : now + 1;
		if (next > end)
			now = end;
		Step(m);
	}
}

void GateRig::Endpoint(const char *name, const char *service, const char *zone,
		       const char *model, const char *adapter, bool draining,
		       int64_t born)
{
	struct pf_gate_msg m = {};
	struct pf_endpoint_info l = {};
	struct pf_resident r = {};
	uint64_t a = 0;

	l.id = Id(name);
	l.service = Id(service);
	l.software = pf_id2(l.service, Id(version.c_str()));
	l.zone = Id(zone);
	l.slots = 4;
	l.draining = draining;
	l.incarnation = born;
	if (model) {
		r.model = Id(model);
		a = adapter ? pf_adapter_id(r.model, pf_str_c(adapter)) : 0;
		r.adapters = &a;
		r.n_adapters = adapter ? 1 : 0;
		l.residents = &r;
		l.n_residents = 1;
	}
	m.type = PF_GATE_ENDPOINT;
	m.u.endpoint = &l;
	Step(m);
}

void GateRig::Gone(const char *name)
{
	struct pf_gate_msg m = {};

	m.type = PF_GATE_ENDPOINT_GONE;
	m.u.id = Id(name);
	Step(m);
}

void GateRig::Leaves(const char *name, int64_t born)
{
	struct pf_gate_msg m = {};

	m.type = PF_GATE_LEAVING;
	m.u.leaving.endpoint = Id(name);
	m.u.leaving.incarnation = born;
	Step(m);
}

void GateRig::BacksOff(uint64_t id, pf_ms span, int64_t born)
{
	struct pf_gate_msg m = {};

	m.type = PF_GATE_BACKOFF;
	m.u.backoff.endpoint = id;
	m.u.backoff.incarnation = born;
	m.u.backoff.span = span;
	Step(m);
}

void GateRig::Limit(uint64_t id, double per_s, pf_ms sent_at, int64_t born)
{
	struct pf_gate_msg m = {};

	m.type = PF_GATE_LIMIT;
	m.u.limit.endpoint = id;
	m.u.limit.incarnation = born;
	m.u.limit.per_s = per_s;
	m.u.limit.sent_at = sent_at;
	Step(m);
}

void GateRig::PeerLimit(uint64_t id, double per_s, pf_ms age, uint32_t sent,
			uint64_t peer)
{
	struct pf_gate_msg m = {};
	struct pf_gate_limit v = { pf_id2(id, 1), per_s,
				   static_cast<uint32_t>(age), sent };

	m.type = PF_GATE_PEER_LIMITS;
	m.u.limits.peer = peer;
	m.u.limits.v = &v;
	m.u.limits.n = 1;
	Step(m);
}

void GateRig::Arrive(int tag, const char *prefix, pf_ms time_left,
		     const char *model, const char *adapter, uint32_t prompt,
		     const char *part, uint64_t fingerprint, bool own_part)
{
	struct pf_gate_msg m = {};
	struct pf_prompt_part parts[2] = {};
	struct pf_inbound in = {};

	in.parts = parts;
	in.time_left = time_left;
	in.last_event = last_event;
	in.id = { attempt.data(), attempt.size() };
	in.resumes = { resumes.data(), resumes.size() };
	in.model = model ? Id(model) : 0;
	in.adapter = adapter ? pf_adapter_id(in.model, pf_str_c(adapter)) : 0;
	in.prompt_tokens = prompt;
	in.max_tokens = model ? 40 : 0;
	if (part) {
		in.parts[0] = { Id(part), prompt, {} };
		in.n_parts = 1;
		if (own_part)
			in.parts[in.n_parts++] = { 5000000u + tag, 1, {} };
	}
	m.type = PF_GATE_ARRIVE;
	m.u.arrival.ctx = reinterpret_cast<void *>(static_cast<intptr_t>(tag));
	m.u.arrival.route =
		pf_routes_find(routes, PF_STR("h"), pf_str_c(prefix));
	m.u.arrival.in = &in;
	m.u.arrival.fingerprint = fingerprint ? fingerprint : 1000 + tag;
	m.u.arrival.account = account;
	m.u.arrival.account_priority = account_priority;
	m.u.arrival.handle = &handles[tag];
	Step(m);
}

void GateRig::Ended(int tag, enum pf_gate_outcome outcome, int status,
		    bool reset, bool misdirected)
{
	struct pf_gate_msg m = {};

	m.type = PF_GATE_ENDED;
	m.u.end.request = handles[tag];
	m.u.end.outcome = outcome;
	m.u.end.status = status;
	m.u.end.reset = reset;
	m.u.end.misdirected = misdirected;
	Step(m);
}

void GateRig::Events(int tag, uint32_t n)
{
	struct pf_gate_msg m = {};

	m.type = PF_GATE_EVENTS;
	m.u.events.request = handles[tag];
	m.u.events.n = n;
	Step(m);
}

void GateRig::Paused(int tag, bool on)
{
	struct pf_gate_msg m = {};

	m.type = PF_GATE_PAUSED;
	m.u.paused.request = handles[tag];
	m.u.paused.on = on;
	Step(m);
}

void GateRig::Hangup(int tag)
{
	struct pf_gate_msg m = {};

	m.type = PF_GATE_HANGUP;
	m.u.request = handles[tag];
	Step(m);
}

const GateAct *GateRig::Last(int tag, enum pf_gate_act_type type) const
{
	for (auto i = acts.rbegin(); i != acts.rend(); ++i) {
		if (i->tag == tag && i->type == type)
			return &*i;
	}
	return nullptr;
}

size_t GateRig::Count(enum pf_gate_act_type type) const
{
	size_t n = 0;

	for (const GateAct &a : acts)
		n += a.type == type;
	return n;
}

uint64_t GateRig::SentTo(int tag) const
{
	const GateAct *a = Last(tag, PF_GATE_SEND);

	return a ? a->endpoint : 0;
}
