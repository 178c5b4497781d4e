#include "tests/even_sim.h"

#include <algorithm>
#include <cmath>

static const uint64_t SERVICE = 102;
static const double TOKENS_PER_MS = 38.4;
static const double STEP_MS = 4.73;
static const double RUN_DELAY_MS = 3; /* of the first event, by a run */
static const int TOKENS_PER_EVENT = 5;
static const unsigned SLOTS = 96;
/* By kind: chats, urgent and patient long prompts of deployment B. */
static const uint32_t SHARED[] = { 198, 6300, 6300 };
static const uint32_t OWN[] = { 628, 2890, 2890 };
static const int EVENTS[] = { 58, 10, 10 };
static const pf_ms OBJECTIVE[] = { 1500, 800, 2500 };
static const pf_ms TIMEOUT[] = { 15000, 6000, 8000 };
static const double PER_S[] = { 105, 62.5, 8.67 };
/* Chance of a pause over 300 ms in a stream, by the most long prompts that the
 * engine had not read at one time: 0.01 beside none, 0.10 beside one, 0.56
 * beside six, as the users' benchmark of B shows. */
static const double PAUSE_NONE = 0.01;
static const double PAUSE_FIRST = 0.09;
static const double PAUSE_NEXT = 0.092;
static const double BUSIEST = 0.3; /* share of the busiest model */
static const double HOMES = 2; /* of what a model's load needs */
/* One shared prefix for each adapter: 30 of the busiest model, 20, 15, .. */
static const unsigned PREFIXES_MAX = 30;
static const unsigned PREFIXES_MIN = 3;
/* Half of the KV memory (156,104 tokens) holds prefixes, half runs. */
static const size_t KEPT = 12;
static const pf_ms NET_MS[] = { 1, 2, 12 }; /* by nearness */
static const pf_ms WINDOW_MS = 100;
static const unsigned SAMPLES = 10; /* of a window */
static const pf_ms TICK_MS = 20;
static const double IDLE_WHILE_MS = 200; /* queued at another home */

/* Cost of a pause in the choice with complete information. */
static const double PAUSE_MS = 100;
static EvenSim *current; /* during an arrival */

EvenSim::EvenSim(const Options &o) : opts(o), rng_(o.seed)
{
	service_.id = SERVICE;
	split_ = { SERVICE, 1 };
	service_.engine = true;
	service_.kv_tokens = 156104;
	service_.tokens_per_event = TOKENS_PER_EVENT;
	routes_.services = &service_;
	routes_.n_services = 1;
	for (int i = 0; i < KINDS; i++) {
		route_[i].splits = &split_;
		route_[i].n_splits = 1;
		route_[i].kind = PF_ROUTE_RESUMABLE;
		route_[i].latency_objective = OBJECTIVE[i];
		route_[i].timeout = TIMEOUT[i];
		route_[i].attempts_max = 2;
	}
	for (unsigned i = 0; i < 6; i++)
		zone_[i] = { i + 1, i / 3 + 1 };
	engines_.resize(o.engines);
	for (unsigned i = 0; i < o.engines; i++) {
		engines_[i].id = 1000 + i;
		engines_[i].zone = i % o.zones;
	}
	PlaceModels();
	gates_.resize(o.gates);
	for (unsigned i = 0; i < o.gates; i++)
		StartGate(i);
	double work = 0; /* ms of prefill per ms at the rates of B */
	for (int i = 0; i < KINDS; i++)
		work += PER_S[i] * OWN[i] / TOKENS_PER_MS / 1000;
	for (int i = 0; i < KINDS; i++)
		Schedule(i, PER_S[i] * o.load * o.engines / work);
	Every(WINDOW_MS / SAMPLES, [this] {
		Sample();
		return true;
	});
	reset_at_ = now_;
}

EvenSim::~EvenSim()
{
	for (Gate &g : gates_)
		pf_gate_free(g.g);
}

void EvenSim::At(pf_ms at, std::function<void()> f)
{
	timers_.push({ at, serial_++, std::move(f) });
}

/* Calls @f until it returns false. */
void EvenSim::Every(pf_ms period, std::function<bool()> f)
{
	At(now_ + 1 + Below(static_cast<size_t>(period)), [=] {
		struct Again {
			EvenSim *sim;
			pf_ms period;
			std::function<bool()> f;
			void operator()() const
			{
				if (f())
					sim->At(sim->now_ + period, *this);
			}
		};

		Again{ this, period, f }();
	});
}

void EvenSim::Run(pf_ms span)
{
	pf_ms end = now_ + span;

	while (!timers_.empty() && timers_.top().at <= end) {
		Timer t = timers_.top();

		timers_.pop();
		now_ = t.at;
		t.f();
	}
	now_ = end;
}

/* The busiest model first; homes by what each needs, at the emptiest engines. */
void EvenSim::PlaceModels()
{
	std::vector<double> use(engines_.size());
	double sum = 0;
	unsigned prefixes = 0;

	for (unsigned m = 1; m < opts.models; m++)
		sum += 1.0 / m;
	for (unsigned m = 0; m < opts.models; m++) {
		double share = m ? (1 - BUSIEST) / m / sum : BUSIEST;
		auto n = static_cast<size_t>(
			std::ceil(share * HOMES * (double)engines_.size()));

		shares_.push_back(share);
		first_prefix_.push_back(prefixes);
		prefixes += std::max(PREFIXES_MIN, 2 * PREFIXES_MAX / (m + 2));
		n = std::min(std::max(n, size_t{ 2 }), engines_.size());
		std::vector<unsigned> order(engines_.size());
		for (unsigned i = 0; i < order.size(); i++)
			order[i] = i;
		std::shuffle(order.begin(), order.end(), rng_);
		std::stable_sort(order.begin(), order.end(),
				 [&](unsigned a, unsigned b) {
					 return use[a] < use[b];
				 });
		for (size_t i = 0; i < n; i++) {
			engines_[order[i]].models.push_back(m);
			use[order[i]] += share / (double)n;
		}
	}
	first_prefix_.push_back(prefixes);
}

void EvenSim::Emit(void *ctx, const struct pf_gate_act *a)
{
	auto *sim = static_cast<EvenSim *>(ctx);
	auto *r = static_cast<Request *>(a->ctx);

	switch (a->type) {
	case PF_GATE_SEND:
		sim->OnSend(r, a->u.send.endpoint);
		break;
	case PF_GATE_CANCEL:
		sim->Leave(r);
		break;
	case PF_GATE_DELIVER:
	case PF_GATE_REFUSE:
	case PF_GATE_FAIL:
		r->ended = true;
		break;
	default:
		break;
	}
}

void EvenSim::Step(unsigned gate, const struct pf_gate_msg &m)
{
	const struct pf_gate_sink sink = { Emit, this };

	pf_gate_step(gates_[gate].g, now_, &m, &sink);
}

void EvenSim::StartGate(unsigned gate)
{
	Gate &x = gates_[gate];
	struct pf_gate_opts o;
	struct pf_gate_msg m = {};

	x.zone = gate % opts.zones;
	pf_gate_opts_default(&o);
	o.self = gate + 1;
	o.zone = zone_[x.zone].zone;
	o.region = zone_[x.zone].region;
	o.zones = zone_;
	o.n_zones = 6;
	o.seed = gate + 1000 * opts.seed;
	o.choose = opts.clairvoyant ? Clairvoyant : opts.choose;
	x.g = pf_gate_new(&o);
	m.type = PF_GATE_ROUTES;
	m.u.routes = &routes_;
	Step(gate, m);
	for (const Engine &e : engines_)
		List(gate, e);
	Every(TICK_MS, [=] {
		struct pf_gate_msg tick = {};

		tick.type = PF_GATE_TICK;
		Step(gate, tick);
		return gates_[gate].up;
	});
	x.cursors.resize(opts.gates);
	for (unsigned to = 0; to < opts.gates; to++) {
		unsigned zone = to % opts.zones;

		x.cursors[to].region = zone_[zone].region;
		if (to != gate)
			Every(opts.every[Near(x.zone, zone)], [=] {
				SendDigest(gate, to);
				return gates_[gate].up && gates_[to].up;
			});
	}
}

void EvenSim::List(unsigned gate, const Engine &e)
{
	std::vector<struct pf_resident> res(e.models.size());
	struct pf_endpoint_info l = {};
	struct pf_gate_msg m = {};

	for (size_t i = 0; i < res.size(); i++)
		res[i].model = e.models[i] + 1;
	l.id = e.id;
	l.service = SERVICE;
	l.zone = zone_[e.zone].zone;
	l.slots = SLOTS;
	l.incarnation = 1;
	l.residents = res.data();
	l.n_residents = static_cast<uint32_t>(res.size());
	m.type = PF_GATE_ENDPOINT;
	m.u.endpoint = &l;
	Step(gate, m);
}

unsigned EvenSim::Near(unsigned a, unsigned b) const
{
	return a == b ? 0 : zone_[a].region == zone_[b].region ? 1 : 2;
}

void EvenSim::SendDigest(unsigned from, unsigned to)
{
	struct Copy {
		struct pf_gate_digest d;
		std::vector<struct pf_gate_load> loads;
		std::vector<struct pf_gate_cached_prefix> prefixes;
	};
	auto c = std::make_shared<Copy>();

	if (IsCut(from) || !gates_[from].up)
		return;
	pf_gate_digest(gates_[from].g, &gates_[from].cursors[to], &c->d);
	digests_++;
	if (Unit() < opts.digest_loss)
		return;
	c->loads.assign(c->d.loads, c->d.loads + c->d.n_loads);
	c->prefixes.assign(c->d.prefixes, c->d.prefixes + c->d.n_prefixes);
	At(now_ + opts.delay[Near(gates_[from].zone, gates_[to].zone)], [=] {
		struct pf_gate_msg m = {};

		if (IsCut(to) || !gates_[to].up)
			return;
		m.type = PF_GATE_PEER_DIGEST;
		m.u.digest = c->d;
		m.u.digest.loads = c->loads.data();
		m.u.digest.prefixes = c->prefixes.data();
		m.u.digest.n_crashed = 0;
		Step(to, m);
	});
}

/* Arrivals of each ms. */
void EvenSim::Schedule(unsigned kind, double per_s)
{
	At(now_ + 1, [=] {
		unsigned n =
			std::poisson_distribution<unsigned>(per_s / 1000)(rng_);

		for (unsigned i = 0; i < n; i++)
			Arrive(kind);
		Schedule(kind, per_s);
	});
}

void EvenSim::Arrive(unsigned kind)
{
	auto owned = std::make_unique<Request>();
	Request *r = owned.get();
	struct pf_gate_msg m = {};
	struct pf_inbound in = {};

	do {
		r->gate = Below(opts.gates);
	} while (!gates_[r->gate].up);
	double at = Unit();
	while (r->model + 1 < opts.models && (at -= shares_[r->model]) > 0)
		r->model++;
	r->prefix =
		first_prefix_[r->model] +
		Below(first_prefix_[r->model + 1] - first_prefix_[r->model]);
	r->kind = kind;
	r->luck = Unit();
	r->arrived_at = now_;
	requests_.push_back(std::move(owned));
	in.last_event = -1;
	in.model = r->model + 1;
	in.prompt_tokens = SHARED[kind] + OWN[kind];
	in.max_tokens =
		static_cast<uint32_t>(EVENTS[kind] - 1) * TOKENS_PER_EVENT;
	struct pf_prompt_part parts[2];
	in.parts = parts;
	in.n_parts = 2;
	in.parts[0] = { 10000u * (kind != CHAT) + r->prefix + 1,
			SHARED[kind],
			{} };
	in.parts[1] = { 1000000 + requests_.size(), OWN[kind], {} };
	m.type = PF_GATE_ARRIVE;
	m.u.arrival.ctx = r;
	m.u.arrival.route = &route_[kind];
	m.u.arrival.in = &in;
	m.u.arrival.fingerprint = requests_.size();
	m.u.arrival.handle = &r->handle;
	arriving_ = r;
	current = this;
	Step(r->gate, m);
	arriving_ = nullptr;
}

/* Expected time to the first event, and what the prompt takes from the streams
 * that run there, by the value of their kinds. */
double EvenSim::TrueCost(const struct pf_gate_candidate &v) const
{
	const Engine &e = engines_[v.id - 1000];
	const Request &r = *arriving_;
	double tokens = OWN[r.kind];

	if (!e.up)
		return 1e9;
	if (r.kind == CHAT)
		return Queued(e) + RUN_DELAY_MS * e.running.size() +
		       PAUSE_MS * e.unread;
	if (std::find(e.kept.begin(), e.kept.end(), r.prefix) == e.kept.end())
		tokens += SHARED[r.kind];
	return Queued(e) + tokens / TOKENS_PER_MS * 2 +
	       PAUSE_MS * PAUSE_NEXT * e.running.size();
}

uint32_t EvenSim::Clairvoyant(const struct pf_gate_choice *c)
{
	uint32_t best = 0;

	if (!current->arriving_)
		return pf_gate_choose_least(c);
	for (uint32_t i = 1; i < c->n; i++) {
		if (current->TrueCost(c->v[i]) < current->TrueCost(c->v[best]))
			best = i;
	}
	return best;
}

void EvenSim::OnSend(Request *r, uint64_t endpoint)
{
	unsigned serial = ++r->serial;

	r->engine = static_cast<unsigned>(endpoint - 1000);
	r->events_left = EVENTS[r->kind];
	At(now_ + NET_MS[Near(gates_[r->gate].zone, engines_[r->engine].zone)],
	   [=] { Reach(r, serial); });
}

void EvenSim::Reach(Request *r, unsigned serial)
{
	Engine &e = engines_[r->engine];
	uint32_t tokens = OWN[r->kind];

	if (r->serial != serial || r->ended)
		return;
	if (!e.up || e.running.size() >= SLOTS) {
		End(r, e.up ? PF_GATE_NOT_RUN : PF_GATE_UNSENT, 503);
		return;
	}
	e.sent++;
	if (r->kind != CHAT) {
		auto at = std::find(e.kept.begin(), e.kept.end(), r->prefix);

		if (at == e.kept.end()) {
			tokens += SHARED[1];
			reread_ += SHARED[1];
		} else {
			e.kept.erase(at);
		}
		e.kept.push_front(r->prefix);
		if (e.kept.size() > KEPT)
			e.kept.pop_back();
	}
	e.free_at = std::max(e.free_at, static_cast<double>(now_)) +
		    tokens / TOKENS_PER_MS / e.speed;
	double at = e.free_at + STEP_MS + RUN_DELAY_MS * e.running.size();
	if (r->kind != CHAT)
		AddUnread(&e);
	e.running.insert(r);
	At(static_cast<pf_ms>(at) + 1, [=] { Event(r, serial, 1); });
}

/* Read until its queue was worked off, also if its caller is gone. */
void EvenSim::AddUnread(Engine *e)
{
	unsigned at = static_cast<unsigned>(e - engines_.data());

	e->unread++;
	for (Request *r : e->running)
		r->beside = std::max(r->beside, e->unread);
	At(static_cast<pf_ms>(e->free_at) + 1, [=] { engines_[at].unread--; });
}

bool EvenSim::IsPaused(const Request &r)
{
	double chance = PAUSE_NONE;

	if (r.beside)
		chance += PAUSE_FIRST + PAUSE_NEXT * (r.beside - 1);
	return r.first_event >= 0 && r.luck < chance;
}

bool EvenSim::IsLate(const Request &r)
{
	return r.first_event < 0 || r.first_event > OBJECTIVE[r.kind] ||
	       IsPaused(r);
}

/* Events after the first come by ten, which is cheaper to simulate. */
void EvenSim::Event(Request *r, unsigned serial, int n)
{
	struct pf_gate_msg m = {};
	int next;

	if (r->serial != serial || r->ended || !gates_[r->gate].up)
		return;
	if (r->first_event < 0)
		r->first_event = now_ - r->arrived_at;
	if (n == 1)
		r->beside = engines_[r->engine].unread;
	m.type = PF_GATE_EVENTS;
	m.u.events.request = r->handle;
	m.u.events.n = static_cast<uint32_t>(n);
	Step(r->gate, m);
	r->events_left -= n;
	if (r->events_left <= 0) {
		Leave(r);
		End(r, PF_GATE_ANSWERED, 200);
		return;
	}
	next = std::min(10, r->events_left);
	At(now_ + static_cast<pf_ms>(next * TOKENS_PER_EVENT * STEP_MS),
	   [=] { Event(r, serial, next); });
}

void EvenSim::Leave(Request *r)
{
	engines_[r->engine].running.erase(r);
	r->serial++;
}

void EvenSim::End(Request *r, enum pf_gate_outcome o, int status)
{
	struct pf_gate_msg m = {};

	m.type = PF_GATE_ENDED;
	m.u.end.request = r->handle;
	m.u.end.outcome = o;
	m.u.end.status = status;
	Step(r->gate, m);
}

double EvenSim::Queued(const Engine &e) const
{
	return std::max(0.0, e.free_at - static_cast<double>(now_));
}

/* Whether an engine was idle while another home of a model of it queued. */
bool EvenSim::IsUneven() const
{
	std::vector<bool> idle(opts.models), queues(opts.models);

	for (const Engine &e : engines_) {
		for (unsigned m : e.models) {
			idle[m] = idle[m] || (e.up && e.queued <= 0);
			queues[m] = queues[m] || e.queued > IDLE_WHILE_MS;
		}
	}
	for (unsigned m = 0; m < opts.models; m++) {
		if (idle[m] && queues[m])
			return true;
	}
	return false;
}

void EvenSim::Sample()
{
	for (Engine &e : engines_)
		e.queued += Queued(e) / SAMPLES;
	if (++samples_ == SAMPLES)
		EndWindow();
}

void EvenSim::EndWindow()
{
	double sum = 0;
	double most = 0;
	unsigned n = 0;

	for (const Engine &e : engines_) {
		n += e.up;
		sum += e.queued;
		most = std::max(most, e.queued);
	}
	if (sum > 0)
		spreads_.push_back(most / (sum / n));
	uneven_ += IsUneven();
	for (Engine &e : engines_)
		e.queued = 0;
	samples_ = 0;
}

void EvenSim::Reset()
{
	first_measured_ = requests_.size();
	spreads_.clear();
	uneven_ = 0;
	reread_ = 0;
	digests_ = 0;
	for (Engine &e : engines_)
		e.sent = 0;
	reset_at_ = now_;
}

static double Percentile(std::vector<double> v, double share)
{
	if (v.empty())
		return 0;
	std::sort(v.begin(), v.end());
	return v[static_cast<size_t>(share * (double)(v.size() - 1))];
}

EvenSim::Result EvenSim::Measured() const
{
	std::vector<double> first;
	Result out;
	unsigned n = 0;
	unsigned n_of[KINDS] = {};
	unsigned sent = 0;

	for (size_t i = first_measured_; i < requests_.size(); i++) {
		const Request &r = *requests_[i];

		/* Later ones may not be decided yet. */
		/* Chats run for 1.4 s after their first event. */
		if (now_ - r.arrived_at < 1500 + OBJECTIVE[r.kind])
			continue;
		n++;
		n_of[r.kind]++;
		out.late += IsLate(r);
		out.late_of[r.kind] += IsLate(r);
		out.paused += r.kind == CHAT && IsPaused(r);
		out.refused += r.first_event < 0 && r.ended;
		if (r.first_event >= 0)
			first.push_back((double)r.first_event);
	}
	out.spread = Percentile(spreads_, 0.99);
	out.idle = uneven_ / ((double)(now_ - reset_at_) / WINDOW_MS);
	out.reread = n ? (double)reread_ / n : 0;
	out.p50 = Percentile(first, 0.5);
	out.p99 = Percentile(first, 0.99);
	out.late = n ? out.late / n : 0;
	for (int i = 0; i < KINDS; i++)
		out.late_of[i] = n_of[i] ? out.late_of[i] / n_of[i] : 0;
	out.paused = n_of[CHAT] ? out.paused / n_of[CHAT] : 0;
	for (const Engine &e : engines_) {
		sent += e.sent;
		out.busiest = std::max(out.busiest, (double)e.sent);
	}
	out.busiest *= sent ? (double)engines_.size() / sent : 0;
	out.refused = n ? out.refused / n : 0;
	out.digests_per_s = digests_ * 1000.0 / (double)(now_ - reset_at_);
	return out;
}

void EvenSim::CutOff(unsigned gate, pf_ms until)
{
	gates_[gate].cut_until = until;
}

void EvenSim::StopGate(unsigned gate)
{
	gates_[gate].up = false;
	for (Engine &e : engines_) {
		for (auto i = e.running.begin(); i != e.running.end();)
			i = (*i)->gate == gate ? e.running.erase(i)
					       : std::next(i);
	}
}

void EvenSim::StopEngine(unsigned engine)
{
	Engine &e = engines_[engine];
	std::set<Request *> lost;

	e.up = false;
	e.free_at = 0;
	lost.swap(e.running);
	for (Request *r : lost) {
		r->serial++;
		End(r, r->first_event < 0 ? PF_GATE_LOST : PF_GATE_BROKEN, 0);
	}
}

void EvenSim::SetSpeed(unsigned engine, double share)
{
	engines_[engine].speed = share;
}
