// The retry budget that all gateways share, in virtual time.
#include "pimentoford/gate.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <random>
#include <string>
#include <vector>

namespace
{

constexpr pf_ms kWindow = 10000;
constexpr pf_ms kStep = 20;
constexpr double kRatio = 0.2;
constexpr unsigned kEndpoints = 8;

enum class Event { NONE, RESTART, RESTART_TWICE, CUT_IN_TWO, START_CUT_OFF };

struct BudgetCase {
	const char *name;
	unsigned gateways;
	Event event;
	double share; /* of the gateways */
	double slack;
};

struct GateBudget : ::testing::TestWithParam<BudgetCase> {
	struct Gate {
		struct pf_gate *g = nullptr;
		uint64_t id = 0;
		unsigned side = 0;
	};
	struct Open {
		uint32_t handle = UINT32_MAX;
		unsigned gate = 0;
		unsigned sends = 0;
		bool ended = false;
	};

	std::vector<Gate> gates;
	std::deque<Open> opens;
	std::vector<Open *> sends; /* in flight */
	std::vector<pf_ms> arrivals, retries;
	struct pf_routes routes = {};
	struct pf_split split = { 5, 1 };
	struct pf_route route = {};
	struct pf_route_service service = {};
	struct pf_gate_zone zone = { 1, 1 };
	pf_ms now = 1000000;
	uint64_t last_id = 0;
	bool failing = false;
	std::mt19937 rng{ 7 };

	double Slack() const
	{
		return GetParam().slack;
	}
	static void Emit(void *ctx, const struct pf_gate_act *a)
	{
		auto *t = static_cast<GateBudget *>(ctx);
		auto *o = static_cast<Open *>(a->ctx);

		if (a->type == PF_GATE_SEND) {
			if (o->sends++ > 0)
				t->retries.push_back(t->now);
			t->sends.push_back(o);
		} else if (a->type == PF_GATE_DELIVER ||
			   a->type == PF_GATE_REFUSE ||
			   a->type == PF_GATE_FAIL) {
			o->ended = true;
		}
	}
	void Step(Gate &g, const struct pf_gate_msg &m)
	{
		const struct pf_gate_sink sink = { Emit, this };

		pf_gate_step(g.g, now, &m, &sink);
	}
	void Start(Gate &g)
	{
		struct pf_gate_opts o;
		struct pf_gate_msg m = {};

		pf_gate_opts_default(&o);
		g.id = o.self = ++last_id;
		o.zone = o.region = 1;
		o.zones = &zone;
		o.n_zones = 1;
		o.seed = g.id;
		o.requests_max = 512;
		o.endpoints_max = 32;
		o.peers_max = 1024;
		o.repeat_ratio = kRatio;
		o.repeat_slack = Slack();
		o.in_fleet = true;
		pf_gate_free(g.g);
		g.g = pf_gate_new(&o);
		m.type = PF_GATE_ROUTES;
		m.u.routes = &routes;
		Step(g, m);
		for (unsigned i = 0; i < kEndpoints; i++) {
			struct pf_endpoint_info info = {};

			info.id = 1000 + i;
			info.service = 5;
			info.zone = 1;
			info.incarnation = 1;
			info.slots = 1000;
			m = {};
			m.type = PF_GATE_ENDPOINT;
			m.u.endpoint = &info;
			Step(g, m);
		}
		ReadMembers(g);
	}
	/* The rows in the store, unless it is out of reach. */
	void ReadMembers(Gate &g)
	{
		struct pf_gate_msg m = {};

		if (GetParam().event == Event::START_CUT_OFF)
			return;
		m.type = PF_GATE_MEMBERS;
		m.u.members = GetParam().gateways - 1;
		Step(g, m);
	}
	void Heartbeats()
	{
		for (Gate &to : gates) {
			for (const Gate &from : gates) {
				struct pf_gate_msg m = {};

				if (from.id == to.id || from.side != to.side)
					continue;
				m.type = PF_GATE_PEER_EVIDENCE;
				m.u.evidence.peer = from.id;
				Step(to, m);
			}
		}
	}
	void Arrive(unsigned gate)
	{
		struct pf_gate_msg m = {};
		struct pf_inbound in = {};

		opens.push_back({});
		Open &o = opens.back();
		o.gate = gate;
		in.time_left = 1200;
		arrivals.push_back(now);
		m.type = PF_GATE_ARRIVE;
		m.u.arrival.ctx = &o;
		m.u.arrival.route = &route;
		m.u.arrival.in = &in;
		m.u.arrival.fingerprint = rng();
		m.u.arrival.handle = &o.handle;
		Step(gates[gate], m);
	}
	/* While failing, nine of ten sends are not run. */
	void EndSends()
	{
		std::vector<Open *> due;

		due.swap(sends);
		for (const Open *o : due) {
			struct pf_gate_msg m = {};

			if (o->ended)
				continue;
			m.type = PF_GATE_ENDED;
			m.u.end.request = o->handle;
			m.u.end.outcome = failing && rng() % 10
						  ? PF_GATE_NOT_RUN
						  : PF_GATE_ANSWERED;
			m.u.end.status = 200;
			Step(gates[o->gate], m);
		}
	}
	void Restart(double share)
	{
		unsigned n = static_cast<unsigned>(
			share * static_cast<double>(gates.size()));

		for (unsigned i = 0; i < n; i++) {
			for (Open &o : opens)
				o.ended |= o.gate == i;
			Start(gates[i]);
		}
	}
	void Run(pf_ms span, double per_gate_per_s)
	{
		pf_ms end = now + span;

		while (now < end) {
			now += kStep;
			for (unsigned i = 0; i < gates.size(); i++) {
				if (static_cast<double>(rng() % 100000) <
				    per_gate_per_s * 100 * kStep)
					Arrive(i);
			}
			EndSends();
			for (Gate &g : gates) {
				struct pf_gate_msg m = {};

				m.type = PF_GATE_TICK;
				if (pf_gate_next(g.g) <= now)
					Step(g, m);
			}
			if (now % 1000 == 0)
				Heartbeats();
			while (!opens.empty() && opens.front().ended &&
			       sends.empty())
				opens.pop_front();
		}
	}
	static double Count(const std::vector<pf_ms> &v, pf_ms from, pf_ms to)
	{
		return static_cast<double>(
			std::upper_bound(v.begin(), v.end(), to) -
			std::upper_bound(v.begin(), v.end(), from));
	}
	/* The most retries beyond the budget in any window. */
	double WorstExcess() const
	{
		double worst = -1e9;

		for (pf_ms t : retries) {
			double most = 0;

			for (pf_ms back : { pf_ms(0), kWindow / 2, kWindow })
				most = std::max(most, Count(arrivals,
							    t - back - kWindow,
							    t - back));
			worst = std::max(worst, Count(retries, t - kWindow, t) -
							kRatio * most -
							Slack());
		}
		return worst;
	}
	void SetUp() override
	{
		routes.routes = &route;
		routes.n_routes = 1;
		routes.services = &service;
		routes.n_services = 1;
		route.kind = PF_ROUTE_SAFE;
		route.splits = &split;
		route.n_splits = 1;
		route.timeout = 1200;
		route.attempts_max = 2;
		service.id = 5;
		gates.resize(GetParam().gateways);
	}
	void TearDown() override
	{
		for (Gate &g : gates)
			pf_gate_free(g.g);
	}
};

// Processes that had just started took the whole ratio again, and those that
// were cut off a larger part of the slack: more retries than all may send.
TEST_P(GateBudget, HoldsOverAllGateways)
{
	const BudgetCase &c = GetParam();
	const double rate = 7.5;

	for (Gate &g : gates)
		Start(g);
	if (c.event == Event::START_CUT_OFF) {
		for (unsigned i = 0; i < gates.size(); i++) {
			gates[i].side = 1 + i;
			Start(gates[i]);
		}
	}
	Heartbeats();
	Run(14000, rate);
	if (c.event == Event::CUT_IN_TWO) {
		for (unsigned i = 0; i < gates.size(); i++)
			gates[i].side = i % 2;
		Run(24000, rate);
	}
	failing = true;
	Run(6000, rate);
	if (c.event == Event::RESTART || c.event == Event::RESTART_TWICE)
		Restart(c.share);
	Run(3000, rate);
	if (c.event == Event::RESTART_TWICE)
		Restart(c.share);
	Run(12000, rate);
	EXPECT_GT(retries.size(), 20u);
	EXPECT_LE(WorstExcess(), 0);
}

std::vector<BudgetCase> Cases()
{
	std::vector<BudgetCase> v;

	for (unsigned n : { 3u, 25u, 103u, 400u }) {
		double slack = n == 3 ? 54 : n == 25 ? 90 : 246;

		v.push_back({ "Calm", n, Event::NONE, 0, slack });
		v.push_back({ "AllRestart", n, Event::RESTART, 1, slack });
		v.push_back({ "MostRestartTwice", n, Event::RESTART_TWICE, 0.67,
			      slack });
		v.push_back({ "CutInTwo", n, Event::CUT_IN_TWO, 0, slack });
		v.push_back(
			{ "StartCutOff", n, Event::START_CUT_OFF, 0, slack });
	}
	return v;
}

INSTANTIATE_TEST_SUITE_P(Cases, GateBudget, ::testing::ValuesIn(Cases()),
			 [](const ::testing::TestParamInfo<BudgetCase> &i) {
				 return std::string(i.param.name) +
					std::to_string(i.param.gateways);
			 });

} // namespace
