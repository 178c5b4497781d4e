// Entry core: which agent gets a request, and when the request waits instead.
#include "tests/entry_rig.h"

#include <functional>
#include <map>

struct EntryRoute : EntryRig {
	const std::vector<pf_item> model = { { MODEL, PF_ITEM_RESIDENT } };

	// Returns the number of tries by agent.
	std::map<uint64_t, int> send_requests(uint64_t first, int n,
					      const pf_work &w)
	{
		std::map<uint64_t, int> tries;

		for (int i = 0; i < n; i++) {
			arrive(first + i, w);
			if (count_acts(PF_ENTRY_TRY))
				tries[find_act(PF_ENTRY_TRY).agent]++;
		}
		return tries;
	}
};

TEST_F(EntryRoute, OnlyAgentsAbleToServeGetTries)
{
	struct {
		const char *name;
		bool plain;
		uint64_t key;
		std::function<void()> prepare;
		uint64_t agent; // 0: the request waits
	} cases[] = {
		{ "no link", false, 0, [] {}, 0 },
		{ "no report", false, 0, [&] { link_up(AGENT_A); }, 0 },
		{ "plain for an engine", false, 0,
		  [&] { bring_up(AGENT_PLAIN_A); }, 0 },
		{ "engine for a call", true, 0, [&] { bring_up(AGENT_A); }, 0 },
		{ "resident before absent", false, 0,
		  [&] {
			  link_up(AGENT_A);
			  report(AGENT_A, {});
			  bring_up(AGENT_B);
		  },
		  AGENT_B },
		{ "loading before absent", false, 0,
		  [&] {
			  link_up(AGENT_A);
			  report(AGENT_A, {});
			  link_up(AGENT_B);
			  report(AGENT_B, { { MODEL, PF_ITEM_LOADING } });
		  },
		  AGENT_B },
		{ "absent when there is no other", false, 0,
		  [&] {
			  link_up(AGENT_A);
			  report(AGENT_A, {});
		  },
		  AGENT_A },
		{ "owner of the shard", true, 7,
		  [&] {
			  link_up(AGENT_PLAIN_A);
			  report(AGENT_PLAIN_A, {});
			  bring_up(AGENT_PLAIN_B);
		  },
		  AGENT_PLAIN_B },
		{ "no owner of the shard", true, 7,
		  [&] {
			  link_up(AGENT_PLAIN_A);
			  report(AGENT_PLAIN_A, { { SHARD, PF_ITEM_LOADING } });
		  },
		  0 },
		{ "another region when none is near", false, 0,
		  [&] { bring_up(AGENT_FAR); }, AGENT_FAR },
		{ "stale when there is no other", false, 0,
		  [&] {
			  bring_up(AGENT_A);
			  now += opts.report_stale + 1;
		  },
		  AGENT_A },
		{ "fresh before stale", false, 0,
		  [&] {
			  bring_up(AGENT_A);
			  now += opts.report_stale + 1;
			  bring_up(AGENT_FAR);
		  },
		  AGENT_FAR },
	};

	for (auto &c : cases) {
		pf_entry_free(e);
		start_core();
		c.prepare();
		arrive(1, c.plain ? plain_call(c.key != 0, c.key) : work());
		EXPECT_EQ(count_acts(PF_ENTRY_TRY), c.agent ? 1u : 0u)
			<< c.name;
		if (c.agent && count_acts(PF_ENTRY_TRY)) {
			EXPECT_EQ(find_act(PF_ENTRY_TRY).agent, c.agent)
				<< c.name;
		}
	}
}

TEST_F(EntryRoute, RequestsBeyondTheBatchWaitForRoom)
{
	start_core();
	bring_up(AGENT_A, 4);
	auto tries = send_requests(1, 20, work());
	EXPECT_EQ(tries[AGENT_A], 4 + (int)opts.depth);
	EXPECT_EQ(stats().waiting, 20 - 4 - opts.depth);
	Act first =
		all_acts[0].type == PF_ENTRY_TRY ? all_acts[0] : all_acts[1];
	done(first, 0);
	EXPECT_EQ(count_acts(PF_ENTRY_TRY), 1u);
	report(AGENT_A, model, 4, 4);
	EXPECT_EQ(count_acts(PF_ENTRY_TRY), 0u) << "own tries in flight count";
	report(AGENT_A, model, 0, 4);
	EXPECT_EQ(count_acts(PF_ENTRY_TRY), 0u)
		<< "also when the report omits them";
}

TEST_F(EntryRoute, ReportedLoadTakesRoom)
{
	start_core();
	link_up(AGENT_A);
	report(AGENT_A, model, 4, 4);
	EXPECT_EQ(send_requests(1, 5, work())[AGENT_A], (int)opts.depth);
}

TEST_F(EntryRoute, AgentWithAQueueGetsNoMoreTries)
{
	start_core();
	link_up(AGENT_A);
	report(AGENT_A, model, 4, 40, 1, 3);
	arrive(1, work());
	EXPECT_EQ(count_acts(PF_ENTRY_TRY), 0u);
	report(AGENT_A, model, 4, 40, 1, 0);
	EXPECT_EQ(count_acts(PF_ENTRY_TRY), 1u);
}

TEST_F(EntryRoute, OneAgentLoadsAMissingModel)
{
	start_core();
	for (uint64_t a : { AGENT_A, AGENT_B }) {
		link_up(a);
		report(a, {});
	}
	EXPECT_EQ(send_requests(1, 5, work()).size(), 1u);
}

TEST_F(EntryRoute, PrefersPrefixHintAndResidentAdapter)
{
	start_core();
	bring_up(AGENT_A);
	bring_up(AGENT_B);
	pf_work w = work();
	w.prompt_tokens = 5000;
	w.prefix = 77;
	uint64_t first = arrive_and_get_try(1, w).agent;
	for (uint64_t id = 2; id < 6; id++)
		EXPECT_EQ(arrive_and_get_try(id, w).agent, first);
	w.prefix = 0;
	EXPECT_NE(arrive_and_get_try(9, w).agent, first)
		<< "the other agent has less load";
	std::vector<Act> sent = all_acts;
	for (const Act &t : sent) {
		if (t.type == PF_ENTRY_TRY)
			done(t, 0);
	}
	report(AGENT_A,
	       { { MODEL, PF_ITEM_RESIDENT }, { ADAPTER, PF_ITEM_RESIDENT } });
	report(AGENT_B, model);
	w = work();
	w.adapter = ADAPTER;
	EXPECT_EQ(arrive_and_get_try(10, w).agent, AGENT_A);
}

// A further model slows down the whole batch.
TEST_F(EntryRoute, AvoidsABatchOfAnotherModel)
{
	start_core();
	link_up(AGENT_A);
	report(AGENT_A,
	       { { MODEL + 1, PF_ITEM_RESIDENT, 3 },
		 { MODEL, PF_ITEM_RESIDENT } },
	       3);
	link_up(AGENT_B);
	report(AGENT_B, { { MODEL, PF_ITEM_RESIDENT, 4 } }, 4);
	EXPECT_EQ(arrive_and_get_try(1, work()).agent, AGENT_B);
}

TEST_F(EntryRoute, ModelsAreNotMixedInOneBatch)
{
	const std::vector<pf_item> both = { { MODEL, PF_ITEM_RESIDENT },
					    { OTHER_MODEL, PF_ITEM_RESIDENT } };

	start_core();
	for (uint64_t a : { AGENT_A, AGENT_B }) {
		link_up(a);
		report(a, both);
	}
	uint64_t first = arrive_and_get_try(1, work()).agent;
	pf_work w = work();
	w.model = OTHER_MODEL;
	for (uint64_t id = 2; id < 6; id++)
		EXPECT_NE(arrive_and_get_try(id, w).agent, first);
}

// An agent that runs several models gets a further one only when little time
// is left until the first token is due.
TEST_F(EntryRoute, WaitsForABetterBatchWhileThereIsTime)
{
	pf_work w = work();

	start_core();
	link_up(AGENT_A);
	report(AGENT_A,
	       { { MODEL + 7, PF_ITEM_RESIDENT, 1 },
		 { MODEL + 8, PF_ITEM_RESIDENT, 1 },
		 { MODEL + 9, PF_ITEM_RESIDENT, 1 },
		 { MODEL, PF_ITEM_RESIDENT } },
	       3);
	w.first_token_objective = now + 1000;
	arrive(1, w);
	EXPECT_EQ(stats().waiting, 1u);
	run_timers(600);
	EXPECT_EQ(stats().waiting, 1u);
	run_timers(200);
	EXPECT_EQ(stats().waiting, 0u);
	EXPECT_EQ(all_acts.back().type, PF_ENTRY_TRY);
}

TEST_F(EntryRoute, BytesToOtherRegionsStayWithinTheLinkBudget)
{
	start_core();
	advance_and_tick(10000);
	bring_up(AGENT_A, 1);
	bring_up(AGENT_FAR, 250);
	pf_work w = work();
	w.prompt_tokens = 8000;
	auto tries = send_requests(1, 90, w);
	// link_share of 30 Mbit/s, accrued over two seconds.
	int max_tries =
		(int)(30000 / 8 * opts.link_share * 2000 / (8000 * 5)) + 1;
	EXPECT_GT(tries[AGENT_FAR], 0);
	EXPECT_LE(tries[AGENT_FAR], max_tries);
	EXPECT_GT(stats().waiting, 0u);
	size_t before = stats().waiting;
	run_timers(1000);
	EXPECT_LT(stats().waiting, before) << "the budget refills";
}

struct PolicyCase {
	pf_route_policy policy;
	int a_least, a_most; // tries of 12 to A, with load 6; B has none
};

class EntryPolicy : public EntryRoute,
		    public ::testing::WithParamInterface<PolicyCase>
{
};

TEST_P(EntryPolicy, DistributesTriesByPolicy)
{
	opts.route = GetParam().policy;
	start_core();
	link_up(AGENT_A);
	report(AGENT_A, model, 6, 40);
	link_up(AGENT_B);
	report(AGENT_B, model, 0, 40);
	auto tries = send_requests(1, 12, work());
	EXPECT_EQ(tries[AGENT_A] + tries[AGENT_B], 12);
	EXPECT_GE(tries[AGENT_A], GetParam().a_least);
	EXPECT_LE(tries[AGENT_A], GetParam().a_most);
}

INSTANTIATE_TEST_SUITE_P(
	Table, EntryPolicy,
	::testing::Values(PolicyCase{ PF_ROUTE_ROUND_ROBIN, 6, 6 },
			  PolicyCase{ PF_ROUTE_LEAST_LOAD, 0, 0 },
			  PolicyCase{ PF_ROUTE_TWO_CHOICES, 1, 6 },
			  PolicyCase{ PF_ROUTE_LOWEST_COST, 2, 4 }));
