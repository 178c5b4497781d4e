#include "tests/share_sim.h"

#include <algorithm>
#include <cmath>

namespace
{

const uint64_t APP = 101, LLM = 102;
const unsigned PLAIN_ENDPOINTS = 6, PLAIN_SLOTS = 6;
const unsigned ENGINE_SLOTS = 96, ENGINE_CONNECTIONS = 600;
const uint32_t KV_TOKENS = 167160;
const double STEP_MS = 4.73;
const unsigned TOKENS_PER_EVENT = 5, PREFIXES_KEPT = 6;
const pf_ms NET_MS = 2, CALLER_MS = 3, TICK_MS = 20, DIGEST_MS = 120;
const pf_ms PLAIN_WORK_MS = 30;
const unsigned RETRIES_AT_ONCE = 6;
const pf_ms AT_ONCE_MS = 30;

bool IsPlain(int kind)
{
	return SHARE_KINDS[kind].events == 0;
}

} // namespace

ShareSim::ShareSim(const Options &o)
    : opts(o), rng_(o.seed), callers_rng_(o.seed)
{
	services_[0].id = APP;
	services_[1].id = LLM;
	services_[1].engine = true;
	services_[1].kv_tokens = KV_TOKENS;
	services_[1].tokens_per_event = TOKENS_PER_EVENT;
	routes_.services = services_;
	routes_.n_services = 2;
	for (int k = 0; k < KINDS; k++) {
		splits_[k] = { IsPlain(k) ? APP : LLM, 1 };
		route_[k].splits = &splits_[k];
		route_[k].n_splits = 1;
		route_[k].kind = SHARE_KINDS[k].kind;
		route_[k].latency_objective = SHARE_KINDS[k].objective;
		route_[k].timeout = SHARE_KINDS[k].deadline;
		route_[k].attempts_max = 2;
		route_[k].priority = SHARE_KINDS[k].priority;
		kind_factor[k] = 1;
	}
	/* Four large accounts send half of all. */
	for (unsigned a = 0; a < o.n_accounts; a++)
		weights_.push_back(o.n_accounts == 1 ? 1
				   : a % 4           ? .5 / (.75 * o.n_accounts)
					   : .5 / (.25 * o.n_accounts));
	account_factor.assign(o.n_accounts, 1);
	counts_.assign(o.n_accounts, std::vector<Count>(KINDS));
	for (unsigned i = 0; i < o.engines + PLAIN_ENDPOINTS; i++) {
		Endpoint e;

		e.id = next_id_++;
		e.engine = i < o.engines;
		for (unsigned k = 0; e.engine && k < o.models_per_engine; k++)
			e.models.push_back(
				1 + (i * o.models_per_engine + k +
				     i * o.models_per_engine / o.models) %
					    o.models);
		for (uint64_t m : e.models)
			if (!o.cold)
				e.prefixes.push_back(m * 10);
		endpoints_.push_back(e);
	}
	gates_.resize(Central() ? 0 : o.gates);
	for (unsigned i = 0; i < gates_.size(); i++)
		StartGate(i);
	NextArrival();
}

ShareSim::~ShareSim()
{
	for (Gate &g : gates_)
		pf_gate_free(g.g);
}

void ShareSim::At(pf_ms at, std::function<void()> f)
{
	events_.push({ at, serial_++, std::move(f) });
}

void ShareSim::Run(pf_ms span)
{
	pf_ms end = now_ + span;

	while (!events_.empty() && events_.top().at <= end) {
		auto f = std::move(events_.top().f);

		now_ = events_.top().at;
		events_.pop();
		f();
	}
	now_ = end;
}

void ShareSim::Finish()
{
	arrivals_ = false;
	for (int i = 0; i < 40 && open_; i++)
		Run(500);
}

void ShareSim::Repeat(pf_ms period, pf_ms first, std::function<bool()> f)
{
	At(now_ + first, [=] {
		if (f())
			Repeat(period, period, f);
	});
}

void ShareSim::Step(unsigned gate, const struct pf_gate_msg &m)
{
	const struct pf_gate_sink sink = { Emit, this };

	pf_gate_step(gates_[gate].g, now_, &m, &sink);
}

void ShareSim::List(unsigned gate, const Endpoint &e)
{
	struct pf_gate_msg m = {};
	struct pf_endpoint_info l = {};
	std::vector<struct pf_resident> models;

	for (uint64_t id : e.models) {
		models.push_back({});
		models.back().model = id;
	}
	l.id = e.id;
	l.service = e.engine ? LLM : APP;
	l.zone = 1 + e.id % 3;
	l.slots = e.engine ? ENGINE_SLOTS : PLAIN_SLOTS;
	l.incarnation = 1;
	l.residents = models.data();
	l.n_residents = static_cast<uint32_t>(models.size());
	m.type = PF_GATE_ENDPOINT;
	m.u.endpoint = &l;
	Step(gate, m);
}

void ShareSim::StartGate(unsigned gate)
{
	struct pf_gate_msg m = {};
	struct pf_gate_opts o;

	pf_gate_opts_default(&o);
	o.self = next_id_++;
	o.zone = 1 + gate % 3;
	o.region = 1;
	o.zones = zones_;
	o.n_zones = 3;
	o.seed = o.self + opts.seed * 1000;
	gates_[gate].g = pf_gate_new(&o);
	gates_[gate].self = o.self;
	gates_[gate].cursors.assign(opts.gates, { 1, 0, 0, 0, 0 });
	m.type = PF_GATE_ROUTES;
	m.u.routes = &routes_;
	Step(gate, m);
	for (const Endpoint &e : endpoints_)
		List(gate, e);
	Repeat(TICK_MS, 1 + Below(TICK_MS), [=] {
		struct pf_gate_msg t = {};

		t.type = PF_GATE_TICK;
		if (gates_[gate].self == o.self)
			Step(gate, t);
		return gates_[gate].self == o.self;
	});
	for (unsigned to = 0; to < opts.gates; to++) {
		pf_ms period = to % 3 == gate % 3 ? DIGEST_MS : 2 * DIGEST_MS;

		if (to != gate)
			Repeat(period, 1 + Below((unsigned)period), [=] {
				return gates_[gate].self == o.self &&
				       SendDigest(gate, to);
			});
	}
}

void ShareSim::KillGate(unsigned gate)
{
	for (auto &c : callers_)
		if (c->gate == gate && !c->ended) {
			Leave(c.get());
			End(c.get(), &Count::failed);
		}
	pf_gate_free(gates_[gate].g);
	StartGate(gate);
}

bool ShareSim::SendDigest(unsigned gate, unsigned to)
{
	struct pf_gate_digest d;
	auto loads = std::make_shared<std::vector<struct pf_gate_load>>();
	auto prefixes =
		std::make_shared<std::vector<struct pf_gate_cached_prefix>>();
	auto accounts =
		std::make_shared<std::vector<struct pf_gate_account_load>>();

	if (!arrivals_ && !open_)
		return false;
	if (partitioned && gate % 2 != to % 2)
		return true;
	pf_gate_digest(gates_[gate].g, &gates_[gate].cursors[to], &d);
	loads->assign(d.loads, d.loads + d.n_loads);
	prefixes->assign(d.prefixes, d.prefixes + d.n_prefixes);
	accounts->assign(d.accounts, d.accounts + d.n_accounts);
	At(now_ + 1 + Below(3), [=] {
		struct pf_gate_msg m = {};

		m.type = PF_GATE_PEER_DIGEST;
		m.u.digest = { d.peer,
			       loads->data(),
			       d.n_loads,
			       prefixes->data(),
			       d.n_prefixes,
			       nullptr,
			       0,
			       accounts->data(),
			       d.n_accounts };
		Step(to, m);
	});
	return true;
}

/* Candidates at FACTOR_MAX of the usual rate, thinned out to the present. */
void ShareSim::NextArrival()
{
	double per_s = 0;
	double at;
	int k = 0;
	unsigned a = 0;

	for (const ShareKind &i : SHARE_KINDS)
		per_s += i.per_s;
	at = Draw() * per_s;
	while (k + 1 < KINDS && at >= SHARE_KINDS[k].per_s)
		at -= SHARE_KINDS[k++].per_s;
	at = Draw();
	while (a + 1 < opts.n_accounts && at >= weights_[a])
		at -= weights_[a++];
	At(now_ + (pf_ms)(-1000 / (per_s * opts.load * FACTOR_MAX) *
				  log(1 - Draw()) +
			  Draw()),
	   [=] {
		   if (!arrivals_)
			   return;
		   if (Draw() * FACTOR_MAX <
		       account_factor[a] * kind_factor[k]) {
			   auto c = std::make_unique<Caller>();

			   c->account = a;
			   c->kind = (Kind)k;
			   c->arrived_at = now_;
			   c->model = 1 + (unsigned)(Draw() * opts.models);
			   c->prefix = c->model * 10 + (k == CHAT);
			   c->fingerprint = next_id_++;
			   c->at_once = (int)a == opts.retries_at_once;
			   c->retries_max = c->at_once ? RETRIES_AT_ONCE : 1;
			   if (!counting)
				   c->first_at = -1;
			   callers_.push_back(std::move(c));
			   open_++;
			   Try(callers_.back().get());
		   }
		   NextArrival();
	   });
}

void ShareSim::Try(Caller *c)
{
	const ShareKind &k = SHARE_KINDS[c->kind];
	struct pf_gate_msg m = {};
	struct pf_prompt_part parts[2];
	struct pf_inbound in = {};

	c->tries++;
	if (Central()) {
		central_.push_back(c);
		c->priority = k.priority;
		for (unsigned i = 0; i < endpoints_.size(); i++)
			Pump(i);
		return;
	}
	c->gate = Below(opts.gates);
	in.time_left = c->arrived_at + k.deadline - now_;
	in.last_event = -1;
	if (!IsPlain(c->kind)) {
		in.model = c->model;
		in.prompt_tokens = k.shared + k.own;
		in.max_tokens = k.events * TOKENS_PER_EVENT;
		in.n_parts = 2;
		in.parts = parts;
		in.parts[0] = { c->prefix, k.shared, {} };
		in.parts[1] = { c->fingerprint, k.own, {} };
	}
	m.type = PF_GATE_ARRIVE;
	m.u.arrival.ctx = c;
	m.u.arrival.route = &route_[c->kind];
	m.u.arrival.in = &in;
	m.u.arrival.fingerprint = c->fingerprint;
	m.u.arrival.account = opts.order == ACCOUNTS ? 5000 + c->account : 0;
	m.u.arrival.account_priority = -1;
	m.u.arrival.handle = &c->handle;
	Step(c->gate, m);
}

void ShareSim::OnRefused(Caller *c, pf_ms retry_after)
{
	pf_ms left = c->arrived_at + SHARE_KINDS[c->kind].deadline - now_;
	pf_ms wait = c->at_once
			     ? AT_ONCE_MS
			     : std::min(retry_after, left / 3) + 2 * CALLER_MS;

	if (c->tries > c->retries_max || retry_after < 0 || left <= wait) {
		End(c, &Count::rejected);
		return;
	}
	At(now_ + wait, [=] { Try(c); });
}

void ShareSim::Emit(void *ctx, const struct pf_gate_act *a)
{
	auto *sim = static_cast<ShareSim *>(ctx);
	auto *c = static_cast<Caller *>(a->ctx);

	switch (a->type) {
	case PF_GATE_SEND:
		sim->OnSend(c, *a);
		break;
	case PF_GATE_CANCEL:
		sim->Leave(c);
		break;
	case PF_GATE_DELIVER:
		sim->Done(c);
		break;
	case PF_GATE_REFUSE:
		sim->OnRefused(c, a->u.refuse.retry_after);
		break;
	case PF_GATE_FAIL:
		sim->End(c, &Count::failed);
		break;
	case PF_GATE_REQUEST_ADAPTER:
	case PF_GATE_PROBE:
	case PF_GATE_QUARANTINE:
	case PF_GATE_TELL_REPLICAS:
	case PF_GATE_READ_STORED:
	case PF_GATE_RECORD_VERSIONS:
	case PF_GATE_REPLY:
		break;
	}
}

void ShareSim::OnSend(Caller *c, const struct pf_gate_act &a)
{
	unsigned serial = ++c->serial;
	unsigned at =
		static_cast<unsigned>(a.u.send.endpoint - endpoints_[0].id);

	c->in_flight = true;
	c->priority = a.u.send.priority;
	At(now_ + NET_MS, [=] {
		if (c->serial == serial && c->in_flight)
			Reach(c, at);
	});
}

void ShareSim::Reach(Caller *c, unsigned at)
{
	Endpoint &e = endpoints_[at];

	if (e.queue.size() + e.running >= ENGINE_CONNECTIONS) {
		Answered(c, PF_GATE_NOT_RUN, 503);
		return;
	}
	c->endpoint = at;
	c->at = Caller::QUEUED;
	e.queue.push_back(c);
	Pump(at);
}

uint32_t ShareSim::FreshTokens(const Endpoint &e, const Caller *c) const
{
	bool kept = std::find(e.prefixes.begin(), e.prefixes.end(),
			      c->prefix) != e.prefixes.end();

	return SHARE_KINDS[c->kind].own +
	       (kept ? 0 : SHARE_KINDS[c->kind].shared);
}

void ShareSim::KeepPrefix(Endpoint &e, const Caller *c)
{
	e.prefixes.remove(c->prefix);
	e.prefixes.push_front(c->prefix);
	if (e.prefixes.size() > PREFIXES_KEPT)
		e.prefixes.pop_back();
}

bool ShareSim::Fits(const Endpoint &e, const Caller *c) const
{
	if (!e.engine)
		return e.running < PLAIN_SLOTS;
	return e.running < ENGINE_SLOTS &&
	       e.kv + FreshTokens(e, c) +
			       SHARE_KINDS[c->kind].events * TOKENS_PER_EVENT <=
		       KV_TOKENS;
}

/* Takes the next request out of the endpoint's queue, or the central one. */
ShareSim::Caller *ShareSim::Next(Endpoint &e)
{
	std::vector<Caller *> &q = Central() ? central_ : e.queue;
	size_t best = q.size();

	for (size_t i = 0; i < q.size();) {
		const ShareKind &k = SHARE_KINDS[q[i]->kind];
		bool here = !Central() ||
			    (IsPlain(q[i]->kind) != e.engine &&
			     (!e.engine ||
			      std::find(e.models.begin(), e.models.end(),
					q[i]->model) != e.models.end()));

		if (Central() && now_ > q[i]->arrived_at + k.deadline) {
			End(q[i], &Count::rejected);
			q.erase(q.begin() + static_cast<long>(i));
			best = q.size();
			i = 0;
			continue;
		}
		if (here &&
		    (best == q.size() || (opts.order != FIFO &&
					  q[i]->priority < q[best]->priority)))
			best = i;
		i++;
	}
	if (best == q.size() || !Fits(e, q[best]))
		return nullptr;
	Caller *c = q[best];
	q.erase(q.begin() + static_cast<long>(best));
	return c;
}

void ShareSim::Pump(unsigned at)
{
	Endpoint &e = endpoints_[at];
	Caller *c;

	while (!e.prefilling && (c = Next(e))) {
		uint32_t fresh = FreshTokens(e, c);
		unsigned serial;
		pf_ms took = PLAIN_WORK_MS;

		if (Central())
			c->serial++;
		serial = c->serial;
		c->in_flight = true;
		c->endpoint = at;
		c->at = Caller::RUNNING;
		c->events_left = (int)SHARE_KINDS[c->kind].events;
		e.running++;
		if (e.engine) {
			c->kv = fresh +
				SHARE_KINDS[c->kind].events * TOKENS_PER_EVENT;
			e.kv += c->kv;
			e.prefilling = true;
			KeepPrefix(e, c);
			took = (pf_ms)ceil(fresh / PREFILL_TOKENS_PER_MS);
		}
		At(now_ + took, [=] {
			Endpoint &f = endpoints_[at];

			if (f.engine)
				f.prefilling = false;
			if (c->serial == serial && c->in_flight)
				OnEvent(c, serial);
			Pump(at);
		});
	}
}

void ShareSim::OnEvent(Caller *c, unsigned serial)
{
	struct pf_gate_msg m = {};
	const Endpoint &e = endpoints_[c->endpoint];

	if (c->serial != serial || !c->in_flight)
		return;
	if (c->first_at == 0)
		c->first_at = now_ + CALLER_MS;
	if (e.engine && !Central()) {
		m.type = PF_GATE_EVENTS;
		m.u.events.request = c->handle;
		m.u.events.n = 1;
		Step(c->gate, m);
		if (c->serial != serial || !c->in_flight)
			return;
	}
	if (--c->events_left > 0) {
		At(now_ + (pf_ms)(TOKENS_PER_EVENT * STEP_MS *
				  (1 + (double)e.running / ENGINE_SLOTS)),
		   [=] { OnEvent(c, serial); });
		return;
	}
	Leave(c);
	if (Central())
		Done(c);
	else
		Answered(c, PF_GATE_ANSWERED, 200);
}

void ShareSim::Leave(Caller *c)
{
	unsigned at = c->endpoint;
	auto &q = endpoints_[at].queue;

	if (c->at == Caller::QUEUED)
		q.erase(std::remove(q.begin(), q.end(), c), q.end());
	if (c->at == Caller::RUNNING) {
		endpoints_[at].running--;
		endpoints_[at].kv -= c->kv;
		c->kv = 0;
		At(now_, [=] { Pump(at); });
	}
	c->at = Caller::NOWHERE;
	c->in_flight = false;
}

void ShareSim::Answered(Caller *c, enum pf_gate_outcome o, int status)
{
	struct pf_gate_msg m = {};

	c->in_flight = false;
	m.type = PF_GATE_ENDED;
	m.u.end.request = c->handle;
	m.u.end.outcome = o;
	m.u.end.status = status;
	Step(c->gate, m);
}

void ShareSim::Done(Caller *c)
{
	const ShareKind &k = SHARE_KINDS[c->kind];
	pf_ms first = c->first_at > 0 ? c->first_at : now_;

	if (now_ > c->arrived_at + k.deadline)
		End(c, &Count::failed);
	else
		End(c, first <= c->arrived_at + k.objective ? &Count::on_time
							    : &Count::late);
}

void ShareSim::End(Caller *c, unsigned Count::*how)
{
	const ShareKind &k = SHARE_KINDS[c->kind];
	Count &n = counts_[c->account][c->kind];

	c->ended = true;
	open_--;
	if (c->first_at == -1) /* arrived before counting began */
		return;
	n.n++;
	n.*how += 1;
	n.possible += k.value;
	if (how == &Count::on_time)
		n.value += k.value;
	if (how == &Count::late)
		n.value += k.late;
	if (how == &Count::on_time || how == &Count::late)
		firsts_[c->kind].push_back(c->first_at - c->arrived_at);
}
