// Distribution of configurations: lost, delayed and reordered messages, table
// outages, dead relays, partitions, paused and restarted processes, a head that
// goes back.
#include "fuzz/spread_rig.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

namespace
{

// Region 0, the table's: entries 0 and 1, agents 3 and 4. Region 1: entry 2,
// agents 5 and 6.
struct Net {
	struct spread_rig *g;

	explicit Net(double loss = 0, pf_ms jitter = 0, uint32_t history = 64)
	{
		struct spread_rig_opts o = {};

		o.seed = 7;
		o.procs_max = 8;
		o.records = 5;
		o.loss_rate = loss;
		o.region_delay = 1;
		o.cross_region_delay = 12;
		o.jitter = jitter;
		pf_spread_opts_default(&o.core);
		o.core.history_max = history;
		g = spread_rig_new(&o);
		for (uint32_t region : { 0, 0, 1 })
			spread_rig_add_proc(g, region, true);
		for (uint32_t region : { 0, 0, 1, 1 })
			spread_rig_add_proc(g, region, false);
		for (uint32_t i = 0; i < 3; i++)
			for (uint32_t j = i + 1; j < 7; j++)
				spread_rig_link(g, i, j);
		run(8000);
	}
	~Net()
	{
		spread_rig_free(g);
	}
	void run(pf_ms ms)
	{
		spread_rig_run(g, spread_rig_now(g) + ms);
	}
	uint64_t revision(uint32_t i)
	{
		return pf_spread_revision(spread_rig_proc(g, i)->core);
	}
	std::string violation()
	{
		return spread_rig_stats(g)->first_violation;
	}
};

struct Case {
	const char *name;
	double loss;
	pf_ms jitter;
	uint32_t history;
	std::function<void(Net &)> fault; // runs before the change
	uint32_t acceptor; // 99: dies after the commit, so no process knows
	pf_ms timeout;
};

const std::vector<Case> cases = {
	{ "no fault", 0, 0, 64, [](Net &) {}, 0, 200 },
	{ "acceptor dies", 0, 0, 64, [](Net &) {}, 99, 3000 },
	{ "lost messages", 0.3, 0, 64, [](Net &) {}, 0, 8000 },
	{ "late and crossed messages", 0, 600, 64, [](Net &) {}, 1, 8000 },
	{ "no history for deltas", 0, 0, 1,
	  [](Net &n) {
		  spread_rig_proc(n.g, 3)->paused_until =
			  spread_rig_now(n.g) + 1000;
		  for (int i = 0; i < 4; i++)
			  spread_rig_accept(n.g, 0);
	  },
	  0, 4000 },
	{ "audit rows pruned", 0, 0, 64,
	  [](Net &n) {
		  spread_rig_accept(n.g, 99);
		  spread_rig_prune_audits(n.g);
	  },
	  0, 3000 },
	{ "relays of a region dead", 0, 0, 64,
	  [](Net &n) { spread_rig_kill(n.g, 2); }, 0, 16000 },
	{ "paused process returns", 0, 0, 64,
	  [](Net &n) {
		  spread_rig_proc(n.g, 5)->paused_until =
			  spread_rig_now(n.g) + 5000;
	  },
	  0, 8000 },
	{ "restart with the table away", 0, 0, 64,
	  [](Net &n) {
		  spread_rig_accept(n.g, 0);
		  n.run(1000);
		  spread_rig_set_table(n.g, true, false);
		  spread_rig_restart(n.g, 1);
		  spread_rig_restart(n.g, 6);
		  n.run(3000);
		  spread_rig_set_table(n.g, false, false);
	  },
	  0, 9000 },
	{ "regions apart for a while", 0, 0, 64,
	  [](Net &n) {
		  spread_rig_set_partition(n.g, true);
		  spread_rig_accept(n.g, 0);
		  n.run(20000);
		  spread_rig_set_partition(n.g, false);
	  },
	  0, 9000 },
};

TEST(Spread, AllProcessesReachANewRevisionDespiteFaults)
{
	for (const Case &c : cases) {
		SCOPED_TRACE(c.name);
		Net n(c.loss, c.jitter, c.history);

		c.fault(n);
		spread_rig_accept(n.g, c.acceptor);
		n.run(c.timeout);
		EXPECT_TRUE(spread_rig_converged(n.g));
		EXPECT_EQ(n.violation(), "");
	}
}

TEST(Spread, WithoutTheTableTheSetStaysAndRestartsPullFromPeers)
{
	Net n;

	n.run(1000);
	spread_rig_set_table(n.g, true, false);
	n.run(3600000);
	for (uint32_t i = 0; i < 7; i++)
		EXPECT_EQ(n.revision(i), 1u);
	spread_rig_restart(n.g, 1);
	EXPECT_EQ(n.revision(1), 0u);
	n.run(3000);
	EXPECT_EQ(n.revision(1), 1u);
	EXPECT_EQ(n.violation(), "");
}

// Without a table or peers, a restarted process has no set and so isn't ready.
TEST(Spread, ColdStartWithoutTableOrPeersHasNoSet)
{
	Net n;

	spread_rig_set_table(n.g, true, false);
	for (uint32_t i = 1; i < 7; i++)
		spread_rig_kill(n.g, i);
	spread_rig_restart(n.g, 0);
	n.run(60000);
	EXPECT_EQ(n.revision(0), 0u);
}

// A paused entry missed a change: a restarted process must not adopt its set.
TEST(Spread, ColdStartAdoptsTheHighestRevision)
{
	Net n;

	spread_rig_proc(n.g, 0)->paused_until = spread_rig_now(n.g) + 500;
	spread_rig_accept(n.g, 1);
	n.run(400);
	spread_rig_set_table(n.g, true, false);
	spread_rig_restart(n.g, 3);
	while (n.revision(3) == 0)
		n.run(10);
	EXPECT_EQ(n.revision(3), 2u);
	EXPECT_EQ(n.violation(), "");
}

TEST(Spread, TableHeadThatGoesBackChangesNothing)
{
	Net n;

	for (int i = 0; i < 5; i++) {
		spread_rig_accept(n.g, 0);
		n.run(1000);
	}
	spread_rig_set_table(n.g, false, true);
	n.run(30000);
	EXPECT_TRUE(spread_rig_converged(n.g));
	EXPECT_EQ(n.violation(), "");
}

TEST(Spread, OldAndForgedConfigurationsAreRejected)
{
	struct {
		const char *name;
		uint64_t base, revision, digest;
		struct pf_str text;
	} forged[] = {
		{ "lower", 0, 1, 1, PF_STR("") },
		{ "same", 0, 3, 1, PF_STR("") },
		{ "wrong digest", 0, 9, 5, PF_STR("") },
		{ "base ahead", 8, 9, 5, PF_STR("-model model-001@1\n") },
		{ "no record", 3, 9, 5, PF_STR("-nothing here\n") },
		{ "cut line", 3, 9, 5, PF_STR("-model model-0") },
		{ "no TOML", 3, 9, 5, PF_STR("[[model") },
	};
	Net n;

	spread_rig_accept(n.g, 0);
	spread_rig_accept(n.g, 0);
	n.run(1000);
	for (const auto &f : forged) {
		SCOPED_TRACE(f.name);
		struct pf_spread_msg m = {};

		m.type = PF_SPREAD_CONFIG;
		m.u.config = { f.base, f.revision, f.digest, f.text };
		spread_rig_inject(n.g, 0, 3, &m);
		EXPECT_EQ(n.revision(3), 3u);
	}
	EXPECT_EQ(n.violation(), "");
}

// The number of reads depends on the regions, not on the processes, and an
// outage of the table causes no thundering herd.
TEST(Spread, FewProcessesReadTheTable)
{
	Net n;
	uint64_t before = spread_rig_stats(n.g)->table_reads;

	n.run(60000);
	EXPECT_LE(spread_rig_stats(n.g)->table_reads - before, 3u * 60);
	spread_rig_set_table(n.g, true, false);
	before = spread_rig_stats(n.g)->table_reads;
	n.run(3600000);
	EXPECT_LE(spread_rig_stats(n.g)->table_reads - before, 7u * 3600 / 4);
}

TEST(Spread, NeighboursConnectARegion)
{
	std::vector<uint64_t> ids;
	std::vector<uint64_t> reached = { 1 };
	uint64_t out[16];

	for (uint64_t i = 1; i <= 189; i++)
		ids.push_back(i);
	for (size_t i = 0; i < reached.size(); i++) {
		uint32_t n = pf_spread_neighbours(ids.data(), 189, reached[i],
						  out, 16);

		EXPECT_EQ(n, 8u);
		for (uint32_t k = 0; k < n; k++)
			if (std::find(reached.begin(), reached.end(), out[k]) ==
			    reached.end())
				reached.push_back(out[k]);
	}
	EXPECT_EQ(reached.size(), 189u);
}

} // namespace
