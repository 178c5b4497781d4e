// Placement: homes, zones, demand, losses, configurations, bounds, regions, the
// planner's lease.
#include "fuzz/place_rig.h"

#include <gtest/gtest.h>

#include <utility>

struct Place : ::testing::Test {
	struct place_rig r;
	struct pf_place_opts o;

	void SetUp() override
	{
		rig_init(&r);
		pf_place_opts_default(&o);
		o.agents_max = RIG_AGENTS_MAX;
		o.models_max = RIG_MODELS_MAX;
		o.entries_max = 2;
	}
	void TearDown() override
	{
		pf_place_free(r.place);
	}
	// Engines in alternating zones, 80 bytes for weights each.
	void AddEngines(uint32_t n = 4, const char *second_zone = "b")
	{
		for (uint32_t a = 0; a < n; a++)
			rig_add_engine(&r, a, a % 2 ? second_zone : "a", "r",
				       100);
	}
	void StartPlanner(pf_ms span = 60000)
	{
		ASSERT_EQ(rig_start_planner(&r, &o), 0);
		rig_run(&r, span);
	}
	struct pf_place_stats Stats()
	{
		struct pf_place_stats s;

		pf_place_stats(r.place, &s);
		return s;
	}
	void ExpectHomes(uint32_t least, uint32_t zones)
	{
		for (uint32_t m = 0; m < r.config.n_models; m++) {
			EXPECT_GE(rig_count_replicas(&r, m), least)
				<< "model " << m;
			EXPECT_GE(rig_count_zones(&r, m), zones)
				<< "model " << m;
		}
	}
};

TEST_F(Place, EveryModelGetsAHomeAndASecondZoneIfItFits)
{
	const struct {
		uint32_t n;
		int64_t bytes;
		uint32_t homes, zones;
	} cases[] = {
		{ 4, 40, 2, 2 }, // two homes each fill all engines
		{ 8, 40, 1, 1 }, // one home each fills all engines
		{ 16, 20, 1, 1 }, { 2, 80, 2, 2 }, { 1, 81, 0, 0 },
	};

	for (const auto &c : cases) {
		TearDown();
		SetUp();
		AddEngines();
		rig_add_models(&r, c.n, c.bytes);
		StartPlanner();
		ExpectHomes(c.homes, c.zones);
		EXPECT_EQ(Stats().unplaced, c.homes ? 0u : 1u);
	}
}

TEST_F(Place, LargeModelIsPlacedBesideSmallOnes)
{
	AddEngines(2);
	rig_add_models(&r, 8, 10);
	rig_add_models(&r, 1, 80);
	StartPlanner();
	ExpectHomes(1, 1);
}

TEST_F(Place, DemandAddsReplicasOnlyAboveTheMoveCost)
{
	for (double cost : { 20.0, 1e6 }) {
		TearDown();
		SetUp();
		r.config.deployment.move_cost = cost;
		AddEngines(4, "a");
		rig_add_models(&r, 2, 30);
		r.demand[0].open = 25;
		StartPlanner();
		EXPECT_EQ(rig_count_replicas(&r, 0) > 1, cost < 1000);
		EXPECT_EQ(rig_count_replicas(&r, 1), 1u);
	}
}

TEST_F(Place, SteadyDemandAndANewPlannerMoveNothing)
{
	AddEngines();
	rig_add_models(&r, 6, 25);
	for (uint32_t m = 0; m < 6; m++)
		r.demand[m].open = 3 * m;
	StartPlanner(600000);
	uint64_t loads = r.loads_ordered, evictions = Stats().evictions;

	rig_run(&r, 3600000);
	EXPECT_EQ(r.loads_ordered, loads);
	EXPECT_EQ(Stats().evictions, evictions);
	StartPlanner(120000);
	EXPECT_EQ(r.loads_ordered, loads);
}

// Lost VMs, reported or only silent, and then a whole zone.
TEST_F(Place, LostAgentsAndZonesAreReplaced)
{
	for (bool notify : { true, false }) {
		TearDown();
		SetUp();
		AddEngines(6);
		rig_add_models(&r, 6, 20);
		StartPlanner();
		rig_kill_agent(&r, 0, notify);
		rig_run(&r, 60000);
		ExpectHomes(2, 2);
		rig_kill_agent(&r, 2, notify);
		rig_kill_agent(&r, 4, notify);
		rig_run(&r, 60000);
		ExpectHomes(1, 1);
		for (uint32_t a = 0; a < 6; a += 2)
			rig_start_agent(&r, a);
		rig_run(&r, 60000);
		ExpectHomes(2, 2);
	}
}

// An agent that restarts between two plans has lost its models, though it was
// available in both plans.
TEST_F(Place, RestartBetweenTwoPlansIsDetected)
{
	AddEngines(1);
	rig_add_models(&r, 3, 20);
	StartPlanner();
	rig_kill_agent(&r, 0, false);
	rig_start_agent(&r, 0);
	rig_run(&r, 60000);
	ExpectHomes(1, 1);
}

TEST_F(Place, LostOrdersAreRepeated)
{
	AddEngines(1);
	rig_add_models(&r, 1, 20);
	r.agents[0].drops_orders = true;
	StartPlanner(20000);
	EXPECT_EQ(rig_count_replicas(&r, 0), 0u);
	r.agents[0].drops_orders = false;
	rig_run(&r, 30000);
	EXPECT_EQ(rig_count_replicas(&r, 0), 1u);
}

TEST_F(Place, FollowsAddedRemovedAndGrownModels)
{
	AddEngines();
	rig_add_models(&r, 4, 20);
	StartPlanner();
	rig_add_models(&r, 2, 20);
	rig_send_config(&r);
	rig_run(&r, 60000);
	ExpectHomes(2, 2);
	r.config.n_models = 3;
	rig_send_config(&r);
	rig_run(&r, 60000);
	for (uint32_t a = 0; a < 4; a++)
		EXPECT_EQ(rig_weight_bytes(&r, r.agents[a].wanted,
					   r.agents[a].n_wanted),
			  20 * (int64_t)r.agents[a].n_wanted);
	r.models[0].weight_bytes = 80;
	rig_send_config(&r);
	rig_run(&r, 240000);
	ExpectHomes(1, 1);
	for (uint32_t a = 0; a < 4; a++)
		EXPECT_LE(rig_weight_bytes(&r, r.agents[a].wanted,
					   r.agents[a].n_wanted),
			  80)
			<< "engine " << a;
}

TEST_F(Place, AgentsAndModelsBeyondTheBoundsAreIgnored)
{
	o.agents_max = 2;
	o.models_max = 3;
	AddEngines();
	rig_add_models(&r, 5, 20);
	StartPlanner();
	EXPECT_EQ(r.agents[2].n_wanted + r.agents[3].n_wanted, 0u);
	EXPECT_EQ(rig_count_replicas(&r, 3) + rig_count_replicas(&r, 4), 0u);
	EXPECT_GE(rig_count_replicas(&r, 2), 1u);
	// A lost agent's slot is reused.
	rig_kill_agent(&r, 0, true);
	rig_run(&r, 60000);
	EXPECT_GT(r.agents[2].n_wanted, 0u);
}

TEST_F(Place, RegionsSplitTheModels)
{
	struct pf_placement *other;
	uint64_t loads;

	for (uint32_t a = 0; a < 4; a++)
		rig_add_engine(&r, a, a < 2 ? "a" : "b", a < 2 ? "r" : "s",
			       100);
	rig_add_models(&r, 16, 20); // one home each fills both regions
	o.region = pf_id(PF_STR("r"));
	StartPlanner(30000);
	EXPECT_EQ(r.agents[2].n_wanted + r.agents[3].n_wanted, 0u);
	EXPECT_EQ(Stats().unplaced, 0u);
	loads = r.loads_ordered;
	EXPECT_EQ(loads, 8u);
	other = r.place;
	r.place = nullptr;
	o.region = pf_id(PF_STR("s"));
	StartPlanner(30000);
	pf_place_free(other);
	ExpectHomes(1, 1);
}

// After the loss of an engine, models that another region holds are evicted for
// models without a home.
TEST_F(Place, ModelsHeldElsewhereAreEvictedForHomes)
{
	struct pf_placement *here;

	for (uint32_t a = 0; a < 4; a++)
		rig_add_engine(&r, a, a < 2 ? "a" : "b", a < 2 ? "r" : "s",
			       100);
	rig_add_models(&r, 12, 20); // one home each leaves space for four more
	o.region = pf_id(PF_STR("r"));
	StartPlanner(60000);
	here = r.place;
	r.place = nullptr;
	o.region = pf_id(PF_STR("s"));
	StartPlanner(60000);
	ExpectHomes(1, 1);
	std::swap(here, r.place);
	rig_kill_agent(&r, 0, true);
	rig_run(&r, 120000);
	pf_place_free(here);
	ExpectHomes(1, 1);
}

TEST_F(Place, WithoutTheLeaseNoOrderIsSent)
{
	AddEngines();
	rig_add_models(&r, 2, 20);
	ASSERT_EQ(rig_start_planner(&r, &o), 0);
	rig_send_lease(&r, false);
	rig_run(&r, 20000);
	EXPECT_EQ(r.orders, 0u);
	EXPECT_EQ(pf_place_next(r.place), PF_NEVER);
}
