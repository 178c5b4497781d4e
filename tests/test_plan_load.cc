// Processor time of the plan core with hundreds of engines and models.
#include "pimentoford/plan.h"

#include <gtest/gtest.h>
#include <time.h>

#include <cstdlib>
#include <cstring>
#include <random>
#include <string>
#include <vector>

namespace
{

/* Share of a core that control may take at a node (docs/CAPACITY.md). */
constexpr double kCoreShare = 0.034;
constexpr pf_ms kTickMs = 120;
#if defined(__SANITIZE_ADDRESS__)
constexpr double kSlowdown = 10;
#else
constexpr double kSlowdown = 1;
#endif

struct PlanLoadCase {
	const char *name;
	unsigned gateways, engines, models;
	bool demand_moves; /* to half of the models */
	bool orders; /* are due */
};

struct PlanLoad : ::testing::TestWithParam<PlanLoadCase> {
	struct pf_plan *p = nullptr;
	struct pf_routes *routes = nullptr;
	pf_ms now = 100000;
	unsigned orders = 0;
	std::mt19937 rng{ 1 };

	static uint64_t Model(unsigned i)
	{
		return pf_id(pf_str_c(("m" + std::to_string(i)).c_str()));
	}
	static uint64_t EngineId(unsigned i)
	{
		return 1000 + i;
	}
	void SetUp() override
	{
		struct pf_plan_opts o;

		pf_plan_opts_default(&o);
		o.self = 1;
		p = pf_plan_new(&o);
		ASSERT_NE(p, nullptr);
		routes = static_cast<struct pf_routes *>(
			calloc(1, sizeof(*routes)));
		routes->services = static_cast<struct pf_route_service *>(
			calloc(1, sizeof(pf_route_service)));
		routes->n_services = 1;
		struct pf_route_service *s = &routes->services[0];
		s->id = 7;
		s->engine = true;
		s->memory_mb = 200000;
		s->loads_per_s = 23;
		s->n_models = GetParam().models;
		s->models = static_cast<struct pf_model_spec *>(
			calloc(s->n_models, sizeof(pf_model_spec)));
		for (unsigned i = 0; i < s->n_models; i++) {
			s->models[i].name =
				strdup(("m" + std::to_string(i)).c_str());
			s->models[i].id = Model(i);
			s->models[i].weights_mb = 72700;
			s->models[i].store_load_time = 1200;
		}
	}
	void TearDown() override
	{
		pf_plan_free(p);
		pf_routes_free(routes);
	}
	static void Emit(void *ctx, const struct pf_plan_act *)
	{
		static_cast<PlanLoad *>(ctx)->orders++;
	}
	void Step(const struct pf_plan_msg &m)
	{
		const struct pf_plan_sink sink = { Emit, this };

		pf_plan_step(p, now, &m, &sink);
	}
	/* Two models are loaded, six lie on the disk. */
	void SendEngine(unsigned i, bool list)
	{
		const unsigned models = GetParam().models;
		struct pf_resident r[2] = {
			{ Model(2 * i % models), nullptr, 0 },
			{ Model((2 * i + 1) % models), nullptr, 0 }
		};
		struct pf_endpoint_info info = {};
		struct pf_engine_state s = {};
		struct pf_plan_msg m = {};
		uint64_t disk[6];

		for (unsigned k = 0; k < 6; k++)
			disk[k] = Model((2 * i + k) % models);
		info.id = s.endpoint = EngineId(i);
		info.service = 7;
		info.incarnation = s.incarnation = 9;
		info.residents = r;
		s.residents = r;
		info.n_residents = s.n_residents = 2;
		s.on_disk = disk;
		s.n_on_disk = 6;
		m.type = list ? PF_PLAN_ENDPOINT : PF_PLAN_STATE;
		if (list)
			m.u.endpoint = &info;
		else
			m.u.state = &s;
		Step(m);
	}
	void SendDemand(unsigned peer)
	{
		std::vector<struct pf_gate_demand> v;
		struct pf_plan_msg m = {};

		for (unsigned i = 0; i < GetParam().models; i++) {
			struct pf_gate_demand d = {};
			bool busy = GetParam().demand_moves
					    ? i % 2 == 1
					    : i < GetParam().models / 2;

			d.item = d.model = Model(i);
			d.open = busy ? 0.5 : 0.02;
			d.per_s = busy ? 0.3 : 0.02;
			v.push_back(d);
		}
		m.type = PF_PLAN_DEMAND;
		m.u.demand.peer = peer;
		m.u.demand.items = v.data();
		m.u.demand.n_items = v.size();
		Step(m);
	}
	static double CpuMs()
	{
		struct timespec t;

		clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
		return static_cast<double>(t.tv_sec) * 1e3 +
		       static_cast<double>(t.tv_nsec) / 1e6;
	}
};

// The gateway that leads answered callers seconds late, by an older
// configuration, and passed on more time than they had left.
TEST_P(PlanLoad, TicksLeaveTheGatewayToItsCallers)
{
	const PlanLoadCase &c = GetParam();
	struct pf_plan_msg m = {};
	double spent = 0, longest = 0;
	unsigned ticks = 0;

	m.type = PF_PLAN_ROUTES;
	m.u.routes = routes;
	Step(m);
	m.type = PF_PLAN_MEMBERS_READ;
	Step(m);
	for (unsigned i = 0; i < c.engines; i++)
		SendEngine(i, true);
	for (unsigned t = 0; t < 60; t++) {
		now += kTickMs;
		for (unsigned i = t % 4; i < c.engines; i += 4)
			SendEngine(i, false);
		for (unsigned i = t % 4; i < c.gateways; i += 4)
			SendDemand(1 + i);
		m = {};
		m.type = PF_PLAN_TICK;
		double from = CpuMs();
		Step(m);
		double took = CpuMs() - from;
		/* Orders begin when the engines are known. */
		if (t < 20)
			continue;
		ticks++;
		spent += took;
		longest = took > longest ? took : longest;
	}
	EXPECT_EQ(orders > 0, c.orders);
	EXPECT_LE(spent / ticks, kCoreShare * kTickMs * kSlowdown)
		<< "longest " << longest << " ms";
}

INSTANTIATE_TEST_SUITE_P(
	Cases, PlanLoad,
	::testing::Values(PlanLoadCase{ "Small", 4, 18, 31, true, false },
			  PlanLoadCase{ "Large", 103, 160, 275, false, false },
			  PlanLoadCase{ "LargeMoves", 103, 160, 275, true,
					true },
			  PlanLoadCase{ "FourHundredGateways", 400, 640, 275,
					true, true }),
	[](const ::testing::TestParamInfo<PlanLoadCase> &i) {
		return std::string(i.param.name);
	});

} // namespace
