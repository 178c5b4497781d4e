#include "tests/gate_sim.h"

static const uint64_t SERVICE = 102;
static const uint64_t MODEL = 9;
static const unsigned FIRST_PARTS = 3;
static const int EVENTS = 40;
static const pf_ms EVENT_MS = 23;
static const pf_ms LOAD_MS =
	1500; /* from the start until the model is loaded */
static const pf_ms ROW_MS = 150; /* until gates read a changed row */
static const unsigned TICK_MS = 20; /* for timers */
static const unsigned EVIDENCE_MS = 120;
static const unsigned PART_USES_MS = 480;
static const pf_ms NET_MS = 2;
static const uint32_t OWN_TOKENS = 500;

GateSim::GateSim(const Options &o) : opts(o), rng_(o.seed)
{
	service_.id = SERVICE;
	split_ = { SERVICE, 1 };
	service_.engine = true;
	service_.kv_tokens = 200000;
	service_.tokens_per_event = 5;
	route_.splits = &split_;
	route_.n_splits = 1;
	route_.kind = o.at_most_once ? PF_ROUTE_STREAM : PF_ROUTE_RESUMABLE;
	route_.latency_objective = 1500;
	route_.timeout = 15000;
	route_.attempts_max = o.at_most_once ? 1 : 2;
	routes_.services = &service_;
	routes_.n_services = 1;
	gates_.resize(o.gates);
	endpoints_.resize(o.endpoints);
	for (unsigned i = 0; i < o.endpoints; i++) {
		endpoints_[i].id = next_id_++;
		endpoints_[i].up = true;
		endpoints_[i].loaded = true;
	}
	for (unsigned i = 0; i < o.gates; i++)
		StartGate(i);
	ScheduleArrivals(false);
}

GateSim::~GateSim()
{
	for (Gate &g : gates_)
		pf_gate_free(g.g);
}

void GateSim::At(pf_ms at, std::function<void()> f)
{
	events_.emplace(at, std::move(f));
}

void GateSim::Run(pf_ms span)
{
	pf_ms end = now_ + span;

	while (!events_.empty() && events_.begin()->first <= end) {
		auto f = std::move(events_.begin()->second);

		now_ = events_.begin()->first;
		events_.erase(events_.begin());
		f();
	}
	now_ = end;
}

void GateSim::Emit(void *ctx, const struct pf_gate_act *a)
{
	auto *sim = static_cast<GateSim *>(ctx);
	auto *r = static_cast<Request *>(a->ctx);

	switch (a->type) {
	case PF_GATE_SEND:
		sim->OnSend(r, *a);
		break;
	case PF_GATE_CANCEL:
		sim->Leave(r);
		break;
	case PF_GATE_DELIVER:
		r->delivered = true;
		break;
	case PF_GATE_REFUSE:
		r->refused = true;
		r->reason = a->u.refuse.reason;
		break;
	case PF_GATE_FAIL:
		r->failed = true;
		r->reason = a->u.fail.reason;
		break;
	case PF_GATE_QUARANTINE:
		sim->quarantines += !a->u.quarantine.released;
		sim->releases += a->u.quarantine.released;
		break;
	case PF_GATE_REQUEST_ADAPTER:
	case PF_GATE_PROBE:
	case PF_GATE_TELL_REPLICAS:
	case PF_GATE_READ_STORED:
	case PF_GATE_RECORD_VERSIONS:
	case PF_GATE_REPLY:
		break;
	}
}

void GateSim::Step(unsigned gate, const struct pf_gate_msg &m)
{
	const struct pf_gate_sink sink = { Emit, this };

	pf_gate_step(gates_[gate].g, now_, &m, &sink);
}

void GateSim::Tick(unsigned gate)
{
	struct pf_gate_msg m = {};

	m.type = PF_GATE_TICK;
	Step(gate, m);
}

void GateSim::StartGate(unsigned gate)
{
	struct pf_gate *g;
	struct pf_gate_opts o;
	struct pf_gate_msg m = {};

	pf_gate_opts_default(&o);
	o.self = next_id_++;
	o.zone = zone_.zone;
	o.region = zone_.region;
	o.zones = &zone_;
	o.n_zones = 1;
	o.seed = o.self + opts.seed * 1000;
	g = pf_gate_new(&o);
	gates_[gate].g = g;
	gates_[gate].self = o.self;
	for (Gate &other : gates_) {
		other.cursors.resize(opts.gates);
		other.cursors[gate] = { zone_.region, 0, 0 };
	}
	gates_[gate].cursors.assign(opts.gates, { zone_.region, 0, 0 });
	m.type = PF_GATE_ROUTES;
	m.u.routes = &routes_;
	Step(gate, m);
	for (unsigned i = 0; i < opts.endpoints; i++)
		List(gate, i);
	Repeat(gate, g, TICK_MS, Below(TICK_MS), &GateSim::Tick);
	Repeat(gate, g, EVIDENCE_MS, Below(EVIDENCE_MS),
	       &GateSim::SendEvidence);
	Repeat(gate, g, PART_USES_MS, Below(PART_USES_MS),
	       &GateSim::SendPartUses);
	Repeat(gate, g, opts.digest_ms,
	       Below(static_cast<unsigned>(opts.digest_ms)),
	       &GateSim::SendDigests);
}

/* Calls @f in @first and then each @period, until the gate is replaced. */
void GateSim::Repeat(unsigned gate, const struct pf_gate *g, pf_ms period,
		     pf_ms first, void (GateSim::*f)(unsigned))
{
	At(now_ + 1 + first, [=] {
		if (gates_[gate].g != g)
			return;
		(this->*f)(gate);
		Repeat(gate, g, period, period - 1, f);
	});
}

void GateSim::RestartGate(unsigned gate)
{
	for (auto &r : requests) {
		if (r->gate == gate && !r->delivered && !r->refused &&
		    !r->failed) {
			Leave(r.get());
			r->failed = true;
		}
	}
	pf_gate_free(gates_[gate].g);
	StartGate(gate);
}

void GateSim::List(unsigned gate, unsigned i)
{
	const SimEndpoint &e = endpoints_[i];
	struct pf_gate_msg m = {};
	struct pf_endpoint_info l = {};
	struct pf_resident res = {};

	res.model = MODEL;
	l.id = e.id;
	l.service = SERVICE;
	l.zone = zone_.zone;
	l.slots = 64;
	l.incarnation = e.incarnation;
	l.residents = &res;
	l.n_residents = e.loaded ? 1 : 0;
	m.type = PF_GATE_ENDPOINT;
	m.u.endpoint = &l;
	Step(gate, m);
}

void GateSim::SendDigests(unsigned gate)
{
	for (unsigned to = 0; to < opts.gates; to++) {
		struct pf_gate_digest d;

		if (to == gate)
			continue;
		pf_gate_digest(gates_[gate].g, &gates_[gate].cursors[to], &d);
		if (Unit() < opts.digest_loss)
			continue;
		std::vector<struct pf_gate_load> loads(d.loads,
						       d.loads + d.n_loads);
		std::vector<struct pf_gate_cached_prefix> prefixes(
			d.prefixes, d.prefixes + d.n_prefixes);
		std::vector<uint64_t> crashed(d.crashed,
					      d.crashed + d.n_crashed);
		uint64_t peer = d.peer;

		At(now_ + 1 + Below(12), [=] {
			struct pf_gate_msg m = {};

			m.type = PF_GATE_PEER_DIGEST;
			m.u.digest.peer = peer;
			m.u.digest.loads = loads.data();
			m.u.digest.n_loads = (uint32_t)loads.size();
			m.u.digest.prefixes = prefixes.data();
			m.u.digest.n_prefixes = (uint32_t)prefixes.size();
			m.u.digest.crashed = crashed.data();
			m.u.digest.n_crashed = (uint32_t)crashed.size();
			Step(to, m);
		});
	}
}

void GateSim::SendEvidenceTo(unsigned gate, unsigned to,
			     const struct pf_gate_evidence *v, uint32_t n)
{
	std::vector<struct pf_gate_evidence> copy(v, v + n);
	uint64_t peer = gates_[gate].self;

	evidence_sent += n;
	if (n == 0 || Unit() < opts.digest_loss)
		return;
	At(now_ + 1 + Below(12), [=] {
		struct pf_gate_msg m = {};

		m.type = PF_GATE_PEER_EVIDENCE;
		m.u.evidence.peer = peer;
		m.u.evidence.v = copy.data();
		m.u.evidence.n = (uint32_t)copy.size();
		Step(to, m);
	});
}

void GateSim::AnnounceQuarantine(uint64_t part, uint32_t age)
{
	struct pf_gate_evidence e = {};

	e.type = PF_GATE_EVIDENCE_QUARANTINE;
	e.part = part;
	e.age_ms = age;
	for (unsigned to = 1; to < opts.gates; to++)
		SendEvidenceTo(0, to, &e, 1);
}

void GateSim::SendEvidence(unsigned gate)
{
	struct pf_gate_evidence v[PF_GATE_EVIDENCE_MAX];

	for (unsigned to = 0; to < opts.gates; to++) {
		if (to == gate)
			continue;
		uint32_t n = pf_gate_evidence(gates_[gate].g,
					      &gates_[gate].cursors[to],
					      IsJudgeFor(gate, to), v);
		SendEvidenceTo(gate, to, v, n);
	}
}

/* Whether @to has one of the lowest ids of those that @gate tells. */
bool GateSim::IsJudgeFor(unsigned gate, unsigned to) const
{
	unsigned lower = 0;

	for (unsigned i = 0; i < opts.gates; i++)
		lower += i != gate && gates_[i].self < gates_[to].self;
	return lower < PF_GATE_JUDGES;
}

void GateSim::SendPartUses(unsigned gate)
{
	struct pf_gate_evidence v[PF_GATE_EVIDENCE_MAX];
	uint32_t n;

	while ((n = pf_gate_part_uses(gates_[gate].g, v)) > 0) {
		for (unsigned to = 0; to < opts.gates; to++) {
			if (to != gate && IsJudgeFor(gate, to))
				SendEvidenceTo(gate, to, v, n);
		}
	}
}

void GateSim::ScheduleArrivals(bool poison)
{
	double per_s = poison ? opts.poison_per_s : opts.sound_per_s;

	if (per_s <= 0)
		return;
	At(now_ + 1 + (pf_ms)(-1000.0 / per_s * log(1 - Unit())),
	   [this, poison] {
		   Arrive(poison);
		   ScheduleArrivals(poison);
	   });
}

void GateSim::SetPoison(double per_s)
{
	bool idle = opts.poison_per_s <= 0;

	opts.poison_per_s = per_s;
	if (idle)
		ScheduleArrivals(true);
}

void GateSim::Arrive(bool poison)
{
	struct pf_gate_msg m = {};
	std::vector<struct pf_prompt_part> parts;
	struct pf_inbound in = {};
	auto r = std::make_unique<Request>();

	r->poison = poison;
	r->arrived_at = now_;
	r->gate = Below(opts.gates);
	r->parts.push_back(100 + Below(FIRST_PARTS));
	r->parts.push_back(200 + Below(opts.subjects));
	while (r->parts.size() + 1 < opts.n_parts)
		r->parts.push_back(opts.fillers ? 1000 * r->parts.size() +
							  Below(opts.fillers)
						: next_part_++);
	r->parts.push_back(next_part_++);
	if (poison)
		r->parts[opts.poison_position] = opts.poison_part;
	r->poison = poison ||
		    (opts.poison_per_s > 0 && r->parts[1] == opts.poison_part);
	in.time_left = 15000;
	in.last_event = -1;
	in.model = MODEL;
	in.prompt_tokens = 700;
	in.max_tokens = 200;
	for (size_t i = 0; i < r->parts.size(); i++)
		parts.push_back({ r->parts[i],
				  i == 0                    ? 120
				  : i + 1 < r->parts.size() ? 80
							    : OWN_TOKENS,
				  {} });
	in.n_parts = (uint32_t)parts.size();
	in.parts = parts.data();
	m.type = PF_GATE_ARRIVE;
	m.u.arrival.ctx = r.get();
	m.u.arrival.route = &route_;
	m.u.arrival.in = &in;
	m.u.arrival.fingerprint = r->parts.back();
	m.u.arrival.handle = &r->handle;
	requests.push_back(std::move(r));
	Step(requests.back()->gate, m);
}

void GateSim::OnSend(Request *r, const struct pf_gate_act &a)
{
	unsigned serial = ++r->send_serial;
	uint64_t endpoint = a.u.send.endpoint;

	r->in_flight = true;
	if (!a.u.send.resume)
		r->events_left = EVENTS;
	At(now_ + NET_MS, [=] { Reach(r, serial, endpoint); });
}

void GateSim::Reach(Request *r, unsigned serial, uint64_t endpoint)
{
	if (r->send_serial != serial || !r->in_flight)
		return;
	for (unsigned i = 0; i < opts.endpoints; i++) {
		SimEndpoint &e = endpoints_[i];

		if (e.id != endpoint || !e.up)
			continue;
		arrivals.push_back({ now_, endpoint, r->gate, r->poison });
		if (!e.loaded) {
			End(r, PF_GATE_NOT_RUN, 421, false);
			return;
		}
		r->sends++;
		r->endpoint = i;
		e.running.push_back(r);
		if (e.prefill_free_at < now_)
			e.prefill_free_at = now_;
		e.prefill_free_at += 10 + Below(15);
		At(e.prefill_free_at, [=] { Begin(r, serial); });
		return;
	}
	End(r, PF_GATE_UNSENT, 0, true);
}

void GateSim::Begin(Request *r, unsigned serial)
{
	unsigned i = r->endpoint;
	uint64_t id = endpoints_[i].id;

	if (r->send_serial != serial || !r->in_flight)
		return;
	if (r->poison) {
		/* The crash is due even if the request is cancelled now. */
		At(now_ + opts.crash_after, [=] {
			if (endpoints_[i].id == id && endpoints_[i].up)
				Crash(i);
		});
		for (int k = 1; k <= opts.poison_events; k++)
			At(now_ + k * opts.crash_after /
					   (opts.poison_events + 1),
			   [=] { Event(r, serial); });
		return;
	}
	if (r->sends == 1)
		r->began_first = true;
	Event(r, serial);
}

void GateSim::Event(Request *r, unsigned serial)
{
	struct pf_gate_msg m = {};

	if (r->send_serial != serial || !r->in_flight)
		return;
	m.type = PF_GATE_EVENTS;
	m.u.events.request = r->handle;
	m.u.events.n = 1;
	Step(r->gate, m);
	if (r->poison || !r->in_flight || r->send_serial != serial)
		return;
	if (--r->events_left > 0) {
		At(now_ + EVENT_MS, [=] { Event(r, serial); });
		return;
	}
	Leave(r);
	End(r, PF_GATE_ANSWERED, 200, false);
}

void GateSim::Leave(Request *r)
{
	auto &v = endpoints_[r->endpoint].running;

	for (size_t i = 0; i < v.size(); i++) {
		if (v[i] == r) {
			v.erase(v.begin() + static_cast<long>(i));
			break;
		}
	}
	r->in_flight = false;
}

void GateSim::End(Request *r, enum pf_gate_outcome o, int status, bool reset)
{
	struct pf_gate_msg m = {};

	r->in_flight = false;
	m.type = PF_GATE_ENDED;
	m.u.end.request = r->handle;
	m.u.end.outcome = o;
	m.u.end.status = status;
	m.u.end.misdirected = status == 421;
	m.u.end.reset = reset;
	Step(r->gate, m);
}

void GateSim::Lose(const std::vector<Request *> &lost)
{
	for (Request *r : lost) {
		unsigned serial = r->send_serial;

		At(now_ + NET_MS, [=] {
			if (r->send_serial != serial || !r->in_flight)
				return;
			End(r,
			    r->events_left < EVENTS ||
					    (r->poison && opts.poison_events)
				    ? PF_GATE_BROKEN
				    : PF_GATE_LOST,
			    0, true);
		});
	}
}

void GateSim::ResetRuns(unsigned i)
{
	std::vector<Request *> lost;

	lost.swap(endpoints_[i].running);
	Lose(lost);
}

void GateSim::Crash(unsigned i)
{
	SimEndpoint &e = endpoints_[i];
	std::vector<Request *> lost;
	uint64_t old = e.id;

	e.up = false;
	lost.swap(e.running);
	crashes.push_back(now_);
	Lose(lost);
	At(now_ + opts.down_ms, [=] { StartEndpoint(i); });
	At(now_ + opts.down_ms + 600, [=] {
		struct pf_gate_msg m = {};

		m.type = PF_GATE_ENDPOINT_GONE;
		m.u.id = old;
		for (unsigned k = 0; k < opts.gates; k++)
			Step(k, m);
	});
}

void GateSim::StartEndpoint(unsigned i)
{
	SimEndpoint &e = endpoints_[i];

	e = SimEndpoint();
	e.id = next_id_++;
	e.up = true;
	At(now_ + LOAD_MS, [=] {
		endpoints_[i].loaded = true;
		At(now_ + ROW_MS, [=] {
			for (unsigned k = 0; k < opts.gates; k++)
				List(k, i);
		});
	});
}

unsigned GateSim::PoisonArrivals(pf_ms from) const
{
	unsigned n = 0;

	for (const Arrival &a : arrivals)
		n += a.poison && a.at >= from;
	return n;
}

double GateSim::BeganShare(uint64_t first, pf_ms from, pf_ms to) const
{
	unsigned n = 0;
	unsigned began = 0;

	for (auto &r : requests) {
		if (r->poison || r->parts[0] != first || r->arrived_at < from ||
		    r->arrived_at >= to)
			continue;
		n++;
		began += r->began_first;
	}
	return n ? (double)began / n : 1;
}

unsigned GateSim::SoundRefused(enum pf_gate_reason why) const
{
	unsigned n = 0;

	for (auto &r : requests)
		n += !r->poison && r->refused && r->reason == why;
	return n;
}
