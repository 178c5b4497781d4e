// The plan core: homes, evictions, the limit of store loads, leadership.
#include "pimentoford/plan.h"

#include <gtest/gtest.h>
#include <cstdlib>
#include <cstring>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace
{

constexpr int64_t kBorn = 9; /* of all engines */

struct Order {
	uint64_t endpoint;
	bool load;
	bool from_store;
	std::string model;
};

struct Engine {
	uint64_t orders = 0;
	std::vector<std::string> residents;
	std::vector<std::string> disk;
	bool busy = false;
	uint64_t unloading_model = 0;
	bool draining = false;
	uint64_t software = 1;
	int64_t incarnation = kBorn;
	std::vector<struct pf_order_in_doubt> in_doubt;
};

struct Plan : ::testing::Test {
	struct pf_plan *p = nullptr;
	struct pf_routes *routes = nullptr;
	pf_ms now = 100000;
	std::vector<Order> orders;
	std::map<std::string, Engine> engines;
	std::set<std::string> silent; /* engines whose loaders send nothing */
	std::set<uint64_t> peers; /* other gateways that send heartbeats */

	static uint64_t Id(const std::string &s)
	{
		return pf_id(pf_str_c(s.c_str()));
	}
	/* Models m0 to m5 of 70 GB; an engine holds 200 GB. */
	void SetUp() override
	{
		struct pf_plan_opts o;

		pf_plan_opts_default(&o);
		o.self = 50;
		p = pf_plan_new(&o);
		routes = static_cast<struct pf_routes *>(
			calloc(1, sizeof(*routes)));
		routes->services = static_cast<struct pf_route_service *>(
			calloc(1, sizeof(pf_route_service)));
		routes->n_services = 1;
		struct pf_route_service *s = &routes->services[0];
		s->id = Id("llm");
		s->engine = true;
		s->memory_mb = 200000;
		s->loads_per_s = 2;
		s->models = static_cast<struct pf_model_spec *>(
			calloc(6, sizeof(pf_model_spec)));
		for (int i = 0; i < 6; i++) {
			std::string name = "m" + std::to_string(i);

			s->models[i].name = strdup(name.c_str());
			s->models[i].id = Id(name);
			s->models[i].weights_mb = 70000;
			s->models[i].store_load_time = 5000;
			s->n_models++;
		}
	}
	void TearDown() override
	{
		pf_plan_free(p);
		pf_routes_free(routes);
	}
	static void Emit(void *ctx, const struct pf_plan_act *a)
	{
		static_cast<Plan *>(ctx)->orders.push_back(
			{ a->endpoint, a->load, a->from_store, a->model });
	}
	void Step(const struct pf_plan_msg &m)
	{
		const struct pf_plan_sink sink = { Emit, this };

		pf_plan_step(p, now, &m, &sink);
	}
	void SendRoutes()
	{
		struct pf_plan_msg m = {};

		m.type = PF_PLAN_ROUTES;
		m.u.routes = routes;
		Step(m);
	}
	void ListEndpoint(const std::string &name)
	{
		struct pf_plan_msg m = {};
		std::vector<struct pf_resident> r;
		struct pf_endpoint_info l = {};

		l.id = Id(name);
		l.service = Id("llm");
		l.draining = engines[name].draining;
		l.software = engines[name].software;
		l.incarnation = kBorn;
		for (const std::string &x : engines[name].residents)
			r.push_back({ Id(x), nullptr, 0 });
		l.residents = r.data();
		l.n_residents = static_cast<uint32_t>(r.size());
		m.type = PF_PLAN_ENDPOINT;
		m.u.endpoint = &l;
		Step(m);
	}
	void SendState(const std::string &name)
	{
		struct pf_plan_msg m = {};
		struct pf_engine_state s = {};
		Engine &e = engines[name];
		std::vector<struct pf_resident> r;
		std::vector<uint64_t> disk;

		for (const std::string &x : e.residents)
			r.push_back({ Id(x), nullptr, 0 });
		for (const std::string &x : e.disk)
			disk.push_back(Id(x));
		s.endpoint = Id(name);
		s.incarnation = e.incarnation;
		s.in_doubt = e.in_doubt.data();
		s.n_in_doubt = static_cast<uint32_t>(e.in_doubt.size());
		s.orders_accepted = e.orders;
		s.busy = e.busy;
		s.unloading_model = e.unloading_model;
		s.residents = r.data();
		s.n_residents = static_cast<uint32_t>(r.size());
		s.on_disk = disk.data();
		s.n_on_disk = static_cast<uint32_t>(disk.size());
		m.type = PF_PLAN_STATE;
		m.u.state = &s;
		Step(m);
	}
	void SendDemand(std::map<std::string, float> requests,
			uint64_t peer = 50)
	{
		struct pf_plan_msg m = {};
		std::vector<struct pf_gate_demand> v;

		for (auto &[model, n] : requests)
			v.push_back({ Id(model), Id(model), n, n, 0 });
		m.type = PF_PLAN_DEMAND;
		m.u.demand.peer = peer;
		m.u.demand.items = v.data();
		m.u.demand.n_items = v.size();
		Step(m);
	}
	void Run(pf_ms span, std::map<std::string, float> requests = {})
	{
		struct pf_plan_msg tick = {};

		tick.type = PF_PLAN_TICK;
		for (pf_ms end = now + span; now < end; now += 100) {
			for (auto &[name, e] : engines) {
				if (!silent.count(name))
					SendState(name);
			}
			for (uint64_t id : peers)
				SendHeartbeat(id);
			SendDemand(requests);
			Step(tick);
		}
	}
	void SendHeartbeat(uint64_t peer)
	{
		struct pf_plan_msg m = {};

		m.type = PF_PLAN_PEER_HEARTBEAT;
		m.u.id = peer;
		Step(m);
	}
	void SendLimit(const std::string &engine, double per_s)
	{
		struct pf_plan_msg m = {};

		m.type = PF_PLAN_LIMIT;
		m.u.limit.endpoint = Id(engine);
		m.u.limit.per_s = per_s;
		Step(m);
	}
	/* Runs until all engines are known; drops the orders. */
	void StartKnown()
	{
		struct pf_plan_msg m = {};

		SendRoutes();
		m.type = PF_PLAN_MEMBERS_READ;
		Step(m);
		for (auto &[name, e] : engines)
			ListEndpoint(name);
		Run(3000);
		orders.clear();
	}
	std::set<std::string> UnloadsAt(const std::string &name) const
	{
		std::set<std::string> models;

		for (const Order &o : orders) {
			if (!o.load && o.endpoint == Id(name))
				models.insert(o.model);
		}
		return models;
	}
	size_t CountLoads(const std::string &model) const
	{
		size_t n = 0;

		for (const Order &o : orders)
			n += o.load && o.model == model;
		return n;
	}
};

TEST_F(Plan, GivesNoOrdersWhileEveryModelHasAHome)
{
	engines["e1"].residents = { "m0", "m1" };
	engines["e2"].residents = { "m2", "m3" };
	engines["e3"].residents = { "m4", "m5" };
	StartKnown();
	Run(5000);
	EXPECT_EQ(orders.size(), 0u);
	EXPECT_TRUE(pf_plan_is_leader(p));
}

TEST_F(Plan, EnginesListedBeforeTheRoutesAreUsed)
{
	struct pf_plan_msg m = {};

	engines["e1"].residents = { "m0", "m1" };
	engines["e2"].residents = { "m2", "m3" };
	engines["e3"].residents = { "m4" };
	for (auto &[name, e] : engines)
		ListEndpoint(name);
	SendRoutes();
	m.type = PF_PLAN_MEMBERS_READ;
	Step(m);
	Run(4000);
	EXPECT_GE(CountLoads("m5"), 1u);
}

TEST_F(Plan, ALostHomeIsReloadedFromADiskCopy)
{
	engines["e1"].residents = { "m0", "m1" };
	engines["e2"].residents = { "m2", "m3" };
	engines["e3"].residents = { "m4", "m5" };
	engines["e4"].disk = { "m5" };
	engines["e5"] = {};
	StartKnown();
	engines["e3"].draining = true;
	ListEndpoint("e3");
	Run(300, { { "m5", 2 } });
	ASSERT_GE(CountLoads("m5"), 1u);
	for (const Order &o : orders) {
		if (o.model == "m5") {
			EXPECT_EQ(o.endpoint, Id("e4"));
			EXPECT_FALSE(o.from_store);
		}
	}
}

TEST_F(Plan, ALeavingEngineGetsNoLoads)
{
	struct pf_plan_msg m = {};

	engines["e1"].residents = { "m0", "m1" };
	engines["e2"].residents = { "m2", "m3" };
	engines["e3"].residents = { "m4", "m5" };
	engines["e4"] = {};
	engines["e5"] = {};
	StartKnown();
	m.type = PF_PLAN_LEAVING;
	m.u.leaving.endpoint = Id("e4");
	m.u.leaving.incarnation = kBorn;
	Step(m);
	Run(1000, { { "m0", 20 } });
	ASSERT_GE(CountLoads("m0"), 1u);
	for (const Order &o : orders) {
		if (o.load) {
			EXPECT_EQ(o.endpoint, Id("e5")) << o.model;
		}
	}
}

TEST_F(Plan, ABusyModelGetsAnotherHome)
{
	engines["e1"].residents = { "m0", "m1" };
	engines["e2"].residents = { "m2", "m3" };
	engines["e3"].residents = { "m4", "m5" };
	engines["e4"] = {};
	StartKnown();
	Run(1000, { { "m0", 20 } });
	EXPECT_GE(CountLoads("m0"), 1u);
	for (const Order &o : orders)
		EXPECT_EQ(o.endpoint, Id("e4"));
}

// Of more than 64 gateways, each took the slot of another one.
TEST_F(Plan, DemandOfAHundredGatewaysAddsUp)
{
	engines["e1"].residents = { "m0", "m1" };
	engines["e2"].residents = { "m2", "m3" };
	engines["e3"].residents = { "m4", "m5" };
	engines["e4"] = {};
	StartKnown();
	for (int i = 0; i < 3; i++) {
		for (uint64_t peer = 100; peer < 203; peer++)
			SendDemand({ { "m0", 0.1f } }, peer);
		Run(300);
	}
	EXPECT_GE(CountLoads("m0"), 1u);
}

// The lowest id was forgotten with each heartbeat of a 65th gateway.
TEST_F(Plan, OneOfAHundredGatewaysLeads)
{
	engines["e1"].residents = { "m0", "m1" };
	engines["e2"] = {};
	peers.insert(49);
	for (uint64_t peer = 100; peer < 203; peer++)
		peers.insert(peer);
	StartKnown();
	Run(3000, { { "m0", 20 } });
	EXPECT_TRUE(orders.empty());
	EXPECT_FALSE(pf_plan_is_leader(p));
}

// Its requests were refused, as its only home takes few.
TEST_F(Plan, AModelWhoseHomesAreLimitedGetsAnotherHome)
{
	engines["e1"].residents = { "m0", "m1" };
	engines["e2"].residents = { "m2", "m3" };
	engines["e3"].residents = { "m4", "m5" };
	engines["e4"] = {};
	StartKnown();
	SendLimit("e1", 1);
	Run(1000, { { "m0", 0.2 } });
	EXPECT_EQ(CountLoads("m0"), 0u);
	Run(1000, { { "m0", 2 } });
	EXPECT_GE(CountLoads("m0"), 1u);
	for (const Order &o : orders)
		EXPECT_EQ(o.endpoint, Id("e4"));
}

TEST_F(Plan, ALimitThatHasEndedNeedsNoOtherHome)
{
	engines["e1"].residents = { "m0", "m1" };
	engines["e2"].residents = { "m2", "m3" };
	engines["e3"].residents = { "m4", "m5" };
	engines["e4"] = {};
	StartKnown();
	SendLimit("e1", 1);
	SendLimit("e1", -1);
	Run(1000, { { "m0", 2 } });
	EXPECT_EQ(CountLoads("m0"), 0u);
}

TEST_F(Plan, EvictsASpareHomeForABusyModel)
{
	engines["e1"].residents = { "m0", "m1" };
	engines["e2"].residents = { "m2", "m3" };
	engines["e3"].residents = { "m4", "m5" };
	engines["e4"].residents = { "m1", "m2" };
	StartKnown();
	Run(6000, { { "m0", 30 } });
	ASSERT_FALSE(orders.empty());
	EXPECT_FALSE(orders[0].load);
	EXPECT_TRUE(orders[0].model == "m1" || orders[0].model == "m2");
}

TEST_F(Plan, NeverEvictsTheLastHomeOfAModelInDemand)
{
	engines["e1"].residents = { "m0", "m1" };
	engines["e2"].residents = { "m2", "m3" };
	engines["e3"].residents = { "m4", "m5" };
	StartKnown();
	Run(20000, { { "m0", 60 },
		     { "m1", 1 },
		     { "m2", 1 },
		     { "m3", 1 },
		     { "m4", 1 },
		     { "m5", 1 } });
	for (const Order &o : orders)
		EXPECT_TRUE(o.load) << o.model;
}

TEST_F(Plan, EvictsAnIdleModelAndReloadsItOnDemand)
{
	engines["e1"].residents = { "m0", "m1" };
	engines["e2"].residents = { "m2", "m3" };
	engines["e3"].residents = { "m4", "m5" };
	std::map<std::string, float> requests = {
		{ "m0", 60 }, { "m1", 1 }, { "m2", 1 }, { "m3", 1 }, { "m4", 1 }
	};
	StartKnown();
	Run(20000, requests);
	ASSERT_FALSE(orders.empty());
	EXPECT_FALSE(orders[0].load);
	EXPECT_EQ(orders[0].model, "m5");
	engines["e3"].residents = { "m4", "m0" };
	engines["e3"].disk = { "m5" };
	engines["e3"].orders = 2;
	engines["e4"].disk = { "m5" };
	ListEndpoint("e4");
	orders.clear();
	requests["m5"] = 1;
	Run(1000, requests);
	EXPECT_GE(CountLoads("m5"), 1u);
}

TEST_F(Plan, AnUnfinishedUnloadStillHoldsMemory)
{
	engines["e1"].residents = { "m0", "m1" };
	engines["e2"].residents = { "m2", "m3" };
	engines["e3"].residents = { "m4" };
	engines["e4"].residents = { "m5", "m1" };
	engines["e4"].unloading_model = Id("m1");
	engines["e4"].residents = { "m5" };
	StartKnown();
	Run(1000, { { "m5", 2 } });
	engines.erase("e3"); // m4's only home
	struct pf_plan_msg gone = {};
	gone.type = PF_PLAN_ENDPOINT_GONE;
	gone.u.id = Id("e3");
	Step(gone);
	Run(1000, { { "m4", 2 }, { "m0", 1 }, { "m2", 1 } });
	// e4 holds 140 of 200 GB: there is no room for 70 more.
	for (const Order &o : orders)
		EXPECT_NE(o.endpoint, Id("e4")) << o.model;
}

TEST_F(Plan, StoreLoadsStayBelowTheRateLimit)
{
	for (int i = 0; i < 30; i++)
		engines["e" + std::to_string(i)] = {};
	engines["e0"].residents = { "m0", "m1" };
	engines["e1"].residents = { "m2", "m3" };
	engines["e2"].residents = { "m4", "m5" };
	StartKnown();
	Run(5000, { { "m0", 900 }, { "m2", 900 }, { "m4", 900 } });
	// An order that is sent again loads only once.
	std::set<uint64_t> begun;
	for (const Order &o : orders) {
		if (o.from_store)
			begun.insert(o.endpoint);
	}
	EXPECT_GT(begun.size(), 0u);
	// 2 loads a second over 5 s, and the burst of 2.
	EXPECT_LE(begun.size(), 12u);
}

// After a power loss of the whole site, loads that an earlier leader started
// just before are unknown but still count at the weight store.
TEST_F(Plan, LoadsBeforeAFullRestartCountTowardTheRateLimit)
{
	for (int i = 0; i < 16; i++)
		engines["e" + std::to_string(i)] = {};
	engines["e0"].residents = { "m0", "m1" };
	engines["e1"].residents = { "m2", "m3" };
	StartKnown(); // takes 3 s of the 5 s window
	Run(1900, { { "m4", 30 }, { "m5", 30 } });
	EXPECT_EQ(CountLoads("m4") + CountLoads("m5"), 0u);
	Run(1500, { { "m4", 30 }, { "m5", 30 } });
	EXPECT_GT(CountLoads("m4"), 0u);
	EXPECT_GT(CountLoads("m5"), 0u);
}

TEST_F(Plan, ARestartAmongRunningEnginesDelaysNoLoads)
{
	for (int i = 0; i < 16; i++)
		engines["e" + std::to_string(i)].orders = 3;
	engines["e0"].residents = { "m0", "m1" };
	engines["e1"].residents = { "m2", "m3" };
	StartKnown();
	Run(500, { { "m0", 60 } });
	EXPECT_GT(CountLoads("m0"), 0u);
}

// After a power loss all engines are empty and have copies. A busy model must
// not wait for its first load before it gets further homes.
TEST_F(Plan, LoadsSeveralCopiesOfABusyModelAtOnce)
{
	struct pf_plan_msg m = {};
	std::map<std::string, float> requests = { { "m0", 60 },
						  { "m1", 1 },
						  { "m2", 1 } };
	std::set<uint64_t> homes;

	for (const char *e : { "e1", "e2", "e3", "e4", "e5" })
		engines[e].disk = { "m0", "m1", "m2" };
	SendRoutes();
	m.type = PF_PLAN_MEMBERS_READ;
	Step(m);
	for (auto &[name, e] : engines)
		ListEndpoint(name);
	while (orders.empty() && now < 110000)
		Run(100, requests);
	for (const Order &o : orders) {
		if (o.model == "m0")
			homes.insert(o.endpoint);
	}
	EXPECT_GE(homes.size(), 3u);
}

// A model without a home waits for the busy engine that has its copy. Other
// engines must still load other models from the weight store.
TEST_F(Plan, OnlyTheEngineWithTheCopyAvoidsStoreLoads)
{
	engines["e1"].residents = { "m0", "m1" };
	engines["e2"].residents = { "m2", "m3" };
	engines["e3"].residents = { "m4", "m5" };
	engines["e4"].disk = { "m5" };
	engines["e4"].busy = true;
	engines["e5"] = {};
	StartKnown();
	engines["e3"].draining = true;
	ListEndpoint("e3");
	Run(500, { { "m0", 40 }, { "m5", 1 } });
	EXPECT_GE(CountLoads("m0"), 1u);
	for (const Order &o : orders) {
		if (o.load) {
			EXPECT_EQ(o.endpoint, Id("e5")) << o.model;
		}
	}
}

// A rolling release lists a new empty engine every second. If each reset the
// wait for missing engines, the planner would give no orders.
TEST_F(Plan, AddedEmptyEnginesDelayNoOrders)
{
	engines["e1"].residents = { "m0", "m1" };
	engines["e2"].residents = { "m2", "m3" };
	engines["e3"].residents = { "m4", "m5" };
	engines["e4"].residents = { "m1", "m2" };
	StartKnown();
	Run(3000);
	orders.clear();
	for (int i = 0; i < 4; i++) {
		std::string name = "n" + std::to_string(i);

		engines[name].busy = true;
		ListEndpoint(name);
		Run(1000, { { "m0", 30 } });
	}
	// It evicts a model that has another home.
	ASSERT_FALSE(orders.empty());
	EXPECT_FALSE(orders[0].load);
	EXPECT_TRUE(orders[0].model == "m1" || orders[0].model == "m2");
}

// An engine listed late with models was missing before, so models may have
// homes that the planner doesn't know yet.
TEST_F(Plan, EnginesListedLateWithModelsDelayOrders)
{
	engines["e1"].residents = { "m0", "m1" };
	engines["e2"].residents = { "m2", "m3" };
	engines["e4"].residents = { "m1", "m2" };
	engines["e5"].residents = { "m4", "m5" };
	StartKnown();
	Run(3000);
	for (int i = 0; i < 4; i++) {
		std::string name = "n" + std::to_string(i);

		engines[name].residents = { "m0" };
		ListEndpoint(name);
		orders.clear();
		Run(1000, { { "m0", 30 } });
		EXPECT_TRUE(orders.empty());
	}
}

TEST_F(Plan, TheLowestLiveGatewayLeads)
{
	struct pf_plan_msg m = {};

	engines["e1"].residents = { "m0" };
	engines["e2"] = {};
	engines["e3"] = {};
	m.type = PF_PLAN_PEER_HEARTBEAT;
	m.u.id = 7;
	struct pf_plan_msg known = {};
	known.type = PF_PLAN_MEMBERS_READ;
	SendRoutes();
	Step(known);
	for (auto &[name, e] : engines)
		ListEndpoint(name);
	for (int i = 0; i < 50; i++) {
		Step(m);
		Run(100);
	}
	EXPECT_EQ(orders.size(), 0u);
	EXPECT_FALSE(pf_plan_is_leader(p));
	Run(2000);
	EXPECT_TRUE(pf_plan_is_leader(p));
	EXPECT_GT(orders.size(), 0u);
}

TEST_F(Plan, APausedProcessDoesNotLeadAtOnce)
{
	engines["e1"].residents = { "m0", "m1" };
	engines["e2"].residents = { "m2", "m3" };
	engines["e3"].residents = { "m4", "m5" };
	StartKnown();
	ASSERT_TRUE(pf_plan_is_leader(p));
	now += 4000;
	Run(100);
	EXPECT_FALSE(pf_plan_is_leader(p));
	Run(1500);
	EXPECT_TRUE(pf_plan_is_leader(p));
}

// A silent engine may be dead or cut off, so that the evicted home was the last.
TEST_F(Plan, EvictsNoHomeWhoseOnlyOtherHomeIsSilent)
{
	std::map<std::string, float> requests = { { "m0", 30 }, { "m1", 1 },
						  { "m2", 1 },  { "m3", 1 },
						  { "m4", 1 },  { "m5", 1 } };

	engines["e1"].residents = { "m1", "m2" };
	engines["e2"].residents = { "m0", "m3" };
	engines["e3"].residents = { "m4", "m5" };
	engines["e4"].residents = { "m1", "m2" };
	StartKnown();
	silent.insert("e1");
	Run(2000);
	Run(6000, requests);
	EXPECT_EQ(UnloadsAt("e4").size(), 0u);
	silent.clear();
	Run(1000, requests);
	EXPECT_GT(UnloadsAt("e1").size() + UnloadsAt("e4").size(), 0u);
}

// The loader keeps an order while its engine doesn't answer, and may carry it
// out after the planner gave it up.
TEST_F(Plan, AnUnloadGivenUpMayStillTakeTheHome)
{
	std::map<std::string, float> requests = { { "m0", 60 }, { "m1", 1 },
						  { "m2", 1 },  { "m3", 1 },
						  { "m4", 1 },  { "m5", 1 } };

	engines["e1"].residents = { "m1", "m2" };
	engines["e2"].residents = { "m0", "m5" };
	engines["e3"].residents = { "m0", "m4" };
	engines["e4"].residents = { "m1", "m3" };
	StartKnown();
	Run(200, requests);
	ASSERT_EQ(UnloadsAt("e1").size() + UnloadsAt("e4").size(), 1u);
	std::string first = UnloadsAt("e1").size() ? "e1" : "e4";
	std::string other = first == "e1" ? "e4" : "e1";
	// The other engine is now the better choice.
	requests[first == "e1" ? "m2" : "m3"] = 4;
	Run(3000, requests);
	EXPECT_EQ(UnloadsAt(other).size(), 0u);
	// Another order was carried out, so that the unload is refused.
	engines[first].orders++;
	Run(500, requests);
	EXPECT_EQ(UnloadsAt(other).count("m1"), 1u);
}

// Engines hold as many models as fit; the planner knew of 16, and ordered more
// loads than fit.
TEST_F(Plan, AnEngineMayHoldManySmallModels)
{
	struct pf_route_service *s = &routes->services[0];
	const uint32_t n = 25;

	for (uint32_t i = 0; i < s->n_models; i++)
		free(s->models[i].name);
	free(s->models);
	s->models = static_cast<struct pf_model_spec *>(
		calloc(n, sizeof(pf_model_spec)));
	s->n_models = n;
	for (uint32_t i = 0; i < n; i++) {
		std::string name = "s" + std::to_string(i);

		s->models[i].name = strdup(name.c_str());
		s->models[i].id = Id(name);
		s->models[i].weights_mb = 10000;
		s->models[i].store_load_time = 100;
		if (i < 18)
			engines["e1"].residents.push_back(name);
		engines["e1"].disk.push_back(name);
	}
	StartKnown();
	Run(400);
	ASSERT_GT(orders.size(), 0u);
	EXPECT_TRUE(orders[0].load);
	EXPECT_EQ(CountLoads("s0"), 0u);
	engines["e1"].residents.push_back(orders[0].model); /* 190 of 200 GB */
	engines["e1"].orders++;
	Run(100);
	orders.clear();
	Run(3000);
	EXPECT_EQ(orders.size(), 0u);
}

struct PlanDoubtCase {
	const char *name;
	std::vector<std::string> held; /* models of 70 GB, of 200 */
	uint64_t orders;
	std::string in_doubt; /* a load at count 3 */
	bool loaded; /* m2 */
};

struct PlanDoubt : Plan, ::testing::WithParamInterface<PlanDoubtCase> {
};

// An engine restarted under its id, was filled, and carried out a load that its
// earlier incarnation had left without an answer: more than it holds.
TEST_P(PlanDoubt, NoLoadLeavesAnEngineWithoutRoomForOneInDoubt)
{
	const PlanDoubtCase &c = GetParam();
	Engine &e = engines["e1"];

	e.residents = c.held;
	e.orders = c.orders;
	e.incarnation = kBorn + 1;
	e.disk = { "m2" };
	engines["e2"].residents = { "m3", "m4" };
	engines["e3"].residents = { "m0", "m5" };
	engines["e4"].residents = { "m1" };
	silent = { "e2", "e3", "e4" };
	e.in_doubt = { { Id(c.in_doubt), 3, true, 500 } };
	StartKnown();
	Run(1000, { { "m2", 1 } });
	EXPECT_EQ(CountLoads("m2") > 0, c.loaded);
	/* Its loader has restarted and knows nothing. */
	e.in_doubt.clear();
	Run(1000, { { "m2", 1 } });
	EXPECT_EQ(CountLoads("m2") > 0, c.loaded);
	Run(PF_ORDER_LATE_MS, { { "m2", 1 } });
	EXPECT_GT(CountLoads("m2"), 0u);
}

INSTANTIATE_TEST_SUITE_P(
	Cases, PlanDoubt,
	::testing::Values(
		PlanDoubtCase{ "Full", { "m0" }, 2, "m3", false },
		PlanDoubtCase{ "NotFull", {}, 2, "m3", true },
		PlanDoubtCase{ "AtAnotherCount", { "m0" }, 4, "m3", true },
		PlanDoubtCase{ "OfTheSameModel", { "m0" }, 2, "m2", true },
		PlanDoubtCase{ "OfAModelThatIsHeld", { "m0" }, 2, "m0", true }),
	[](const ::testing::TestParamInfo<PlanDoubtCase> &i) {
		return std::string(i.param.name);
	});

// An order to an engine that restarts before it answers.
TEST_F(Plan, AnOrderInFlightAtARestartIsInDoubt)
{
	Engine &e = engines["e1"];

	e.residents = { "m0" };
	e.disk = { "m1", "m2" };
	e.orders = 2;
	engines["e2"].residents = { "m3", "m4" };
	engines["e3"].residents = { "m1", "m5" };
	silent = { "e2", "e3" };
	StartKnown();
	Run(200, { { "m2", 1 } });
	EXPECT_GT(CountLoads("m2"), 0u);
	orders.clear();
	e.incarnation++;
	e.orders = 1; /* one less than the order names */
	engines["e3"].residents = { "m2", "m5" };
	ListEndpoint("e3");
	Run(2000, { { "m1", 1 } });
	EXPECT_EQ(CountLoads("m1"), 0u);
	Run(PF_ORDER_LATE_MS, { { "m1", 1 } });
	EXPECT_GT(CountLoads("m1"), 0u);
}

// The demand that a gateway received before it led counts, too.
TEST_F(Plan, ANewLeaderKeepsTheLastHomeOfARecentlyUsedModel)
{
	std::map<std::string, float> requests = { { "m0", 60 }, { "m1", 1 },
						  { "m2", 1 },  { "m3", 1 },
						  { "m4", 1 },  { "m5", 1 } };

	engines["e1"].residents = { "m0", "m1" };
	engines["e2"].residents = { "m2", "m3" };
	engines["e3"].residents = { "m4", "m5" };
	peers = { 7 };
	StartKnown();
	for (int i = 0; i < 100; i++) {
		SendDemand({}, 7);
		Run(100, requests);
	}
	requests.erase("m5");
	peers.clear();
	Run(4000, requests);
	ASSERT_TRUE(pf_plan_is_leader(p));
	EXPECT_EQ(UnloadsAt("e3").count("m5"), 0u);
	Run(6000, requests);
	EXPECT_EQ(UnloadsAt("e3").count("m5"), 1u);
}

// Other gateways send their demand to the two with the lowest ids. If both fall
// silent, the third leads before it knows what the others need.
TEST_F(Plan, NoLastHomeIsEvictedBeforeAllDemandIsKnown)
{
	std::map<std::string, float> requests = {
		{ "m0", 60 }, { "m1", 1 }, { "m2", 1 }, { "m3", 1 }, { "m4", 1 }
	};

	engines["e1"].residents = { "m0", "m1" };
	engines["e2"].residents = { "m2", "m3" };
	engines["e3"].residents = { "m4", "m5" };
	peers = { 7, 8, 60 };
	StartKnown();
	Run(10000, requests);
	peers = { 60 };
	Run(2500, requests);
	ASSERT_TRUE(pf_plan_is_leader(p));
	EXPECT_EQ(UnloadsAt("e3").count("m5"), 0u);
	for (int i = 0; i < 50; i++) {
		SendDemand({ { "m5", 1 } }, 60);
		Run(100, requests);
	}
	EXPECT_EQ(UnloadsAt("e3").count("m5"), 0u);
	for (int i = 0; i < 120; i++) {
		SendDemand({}, 60);
		Run(100, requests);
	}
	EXPECT_EQ(UnloadsAt("e3").count("m5"), 1u);
}

struct PlanSoftware : Plan {
	/* The engine that gets the first load of m0. */
	uint64_t FirstHome(std::map<std::string, float> requests)
	{
		routes->services[0].n_models = 2;
		StartKnown();
		Run(500, requests);
		routes->services[0].n_models = 6;
		for (const Order &o : orders) {
			if (o.load && o.model == "m0")
				return o.endpoint;
		}
		return 0;
	}
};

// A stream that breaks goes on only at a home with the same software.
TEST_F(PlanSoftware, ASecondHomeHasTheSoftwareOfTheFirst)
{
	engines["a"] = { .residents = { "m0", "m1" }, .disk = { "m0" } };
	engines["b"] = { .disk = { "m0" }, .software = 2 };
	engines["c"] = { .disk = { "m0" } };
	EXPECT_EQ(FirstHome({ { "m0", 30 } }), Id("c"));
}

// It helps less than an engine that isn't busy.
TEST_F(PlanSoftware, ABusyEngineIsNoSecondHomeForItsSoftware)
{
	engines["a"] = { .residents = { "m0" }, .disk = { "m0" } };
	engines["b"] = { .disk = { "m0" }, .software = 2 };
	engines["c"] = { .residents = { "m1" }, .disk = { "m0" } };
	EXPECT_EQ(FirstHome({ { "m0", 30 }, { "m1", 12 } }), Id("b"));
}

} // namespace
