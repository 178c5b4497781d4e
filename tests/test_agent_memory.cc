// Memory at an agent: KV grants, loads, evictions, orders in doubt, pauses.
#include "tests/agent_box.h"

static const struct pf_agent_item ITEM_A = { MODEL_A, PF_ITEM_RESIDENT, 1000 };
static const struct pf_agent_item ITEM_B = { MODEL_B, PF_ITEM_RESIDENT, 1000 };
static const struct pf_agent_item ITEM_C = { MODEL_C, PF_ITEM_RESIDENT, 1000 };

static struct pf_work for_model(Box &b, uint64_t model, uint64_t adapter = 0)
{
	struct pf_work w = b.work();

	w.model = model;
	w.adapter = adapter;
	return w;
}

TEST(AgentKv, GrantsBeforeTheLimitIsReached)
{
	for (auto policy : { PF_KV_QUANTILE, PF_KV_SAFE }) {
		Box b;

		b.opts.kv_policy = policy;
		b.make_ready();
		b.send_try(1);
		uint32_t limit = b.find_act(PF_AGENT_RUN)->u.run.limit;

		EXPECT_EQ(limit, 40u) << "four grant steps without history";
		for (uint32_t at = 0; at < 100; at++) {
			EXPECT_LT(at, limit);
			b.tokens(1, at, 1);
			auto *g = b.find_act(PF_AGENT_GRANT);

			if (!g)
				continue;
			EXPECT_GT(g->u.run.limit, limit);
			limit = g->u.run.limit;
			EXPECT_EQ(b.stats().committed_bytes, 1010 + limit);
		}
		EXPECT_EQ(limit, 100u) << "at most max_tokens";
	}
}

TEST(AgentKv, InitialLimitIsAQuantileOfPastLengths)
{
	Box b;

	b.opts.kv_policy = PF_KV_QUANTILE;
	b.opts.kv_quantile = 0.7;
	b.make_ready();
	for (uint64_t i = 1; i <= 20; i++) {
		b.send_try(i, b.work(10, 1000));
		b.tokens(i, 0, i <= 15 ? 20 : 200);
		b.run_end(i, PF_FINISH_STOP, i <= 15 ? 20 : 200);
	}
	b.send_try(21, b.work(10, 1000));
	uint32_t limit = b.find_act(PF_AGENT_RUN)->u.run.limit;

	EXPECT_GE(limit, 20u);
	EXPECT_LE(limit, 28u);
	// Resumed at 100 tokens, it can only be one of the long runs.
	struct pf_work w = b.work(10, 1000);

	w.offset = 100;
	b.send_try(22, w);
	limit = b.find_act(PF_AGENT_RUN)->u.run.limit;
	EXPECT_GE(limit, 200u);
	EXPECT_LE(limit, 280u);
}

// Two runs of 10 + 40 tokens fill the memory; the second has lower priority.
struct Tight : Box {
	explicit Tight(enum pf_kv_policy policy, bool second_waits)
	{
		opts.kv_policy = policy;
		opts.memory_bytes = 1101;
		make_ready();
		send_try(1, work(10, 91));
		struct pf_work w = work(10, 91);

		w.priority = 1;
		w.max_tokens = second_waits ? 91 : 41;
		send_try(2, w);
	}
};

TEST(AgentKv, BlockedGrowthPausesTheLeastValuable)
{
	Tight b(PF_KV_QUANTILE, true);

	EXPECT_EQ(b.stats().running, 2u);
	b.tokens(2, 0, 7);
	b.tokens(1, 0, 39);
	EXPECT_EQ(b.count_acts(PF_AGENT_STOP), 0)
		<< "1 is not at its limit yet";
	b.tokens(1, 39, 1);
	ASSERT_EQ(b.count_acts(PF_AGENT_STOP), 1);
	EXPECT_EQ(b.find_act(PF_AGENT_STOP)->u.id.request, 2u);
	EXPECT_EQ(b.count_acts(PF_AGENT_GRANT), 0);
	EXPECT_EQ(b.stats().committed_bytes, 1100) << "held until 2 has ended";
	b.tokens(2, 7, 1);
	EXPECT_EQ(b.count_acts(PF_AGENT_PIECE), 1)
		<< "output in flight is delivered";
	b.run_end(2, PF_FINISH_CANCELLED);
	EXPECT_EQ(b.count_acts(PF_AGENT_GRANT), 1);
	EXPECT_EQ(b.find_act(PF_AGENT_DONE), nullptr);
	b.revoke(2);
	EXPECT_NE(b.find_act(PF_AGENT_STARTED), nullptr) << "it ran";
	b.run_end(1, PF_FINISH_STOP);
	ASSERT_EQ(b.count_acts(PF_AGENT_RUN), 1);
	EXPECT_EQ(b.find_act(PF_AGENT_RUN)->u.run.id.request, 2u);
	EXPECT_EQ(b.find_act(PF_AGENT_RUN)->u.run.offset, 8u);
	EXPECT_EQ(b.stats().paused, 1u);
}

TEST(AgentKv, PausedRunIsNeverReportedNotRun)
{
	struct Case {
		enum pf_agent_msg_type type;
		enum pf_agent_act_type want;
	} cases[] = {
		{ PF_AGENT_DRAIN, PF_AGENT_LOST },
		{ PF_AGENT_ENGINE_DOWN, PF_AGENT_LOST },
		{ PF_AGENT_CANCEL, PF_AGENT_DONE },
	};

	for (auto &c : cases) {
		Tight b(PF_KV_QUANTILE, true);

		b.tokens(1, 0, 40);
		b.run_end(2, PF_FINISH_CANCELLED, 3);
		b.send_id(c.type, 2);
		EXPECT_NE(b.find_act(c.want), nullptr) << c.type;
		EXPECT_EQ(b.count_acts(PF_AGENT_NOT_RUN), 0) << c.type;
	}
}

TEST(AgentKv, SafePolicyAdmitsOnlySafeStates)
{
	// Each may need all 101 bytes: they can't run together.
	Tight unsafe(PF_KV_SAFE, true);

	EXPECT_EQ(unsafe.stats().running, 1u);
	// The second needs at most 51 bytes: it can finish first.
	Tight safe(PF_KV_SAFE, false);

	EXPECT_EQ(safe.stats().running, 2u);
	safe.tokens(1, 0, 40);
	EXPECT_EQ(safe.count_acts(PF_AGENT_GRANT), 0) << "2 could not finish";
	EXPECT_EQ(safe.count_acts(PF_AGENT_STOP), 1) << "2 has lower priority";
	safe.run_end(2, PF_FINISH_STOP);
	EXPECT_EQ(safe.count_acts(PF_AGENT_GRANT), 1);
}

TEST(AgentKv, OnlyRunThatCannotGrowIsLost)
{
	Box b;

	b.opts.kv_policy = PF_KV_QUANTILE;
	b.opts.memory_bytes = 2050;
	b.make_ready({ ITEM_A, ITEM_B });
	b.place({ MODEL_A, MODEL_B });
	b.send_try(1, b.work(10, 91));
	b.tokens(1, 0, 40);
	ASSERT_EQ(b.count_acts(PF_AGENT_STOP), 1) << "B is placed, A in use";
	b.run_end(1, PF_FINISH_CANCELLED);
	EXPECT_EQ(b.find_act(PF_AGENT_LOST)->u.lost.reason,
		  PF_REASON_NO_MEMORY);
	EXPECT_EQ(b.find_act(PF_AGENT_LOST)->u.lost.produced, 40u);
}

TEST(AgentItems, LoadsOnDemandAndEvictsTheLeastRecentlyUsed)
{
	Box b;

	b.make_ready({ ITEM_A, ITEM_B });
	b.send_try(1, for_model(b, MODEL_A));
	b.run_end(1, PF_FINISH_STOP);
	b.now += 10;
	b.send_try(2, for_model(b, MODEL_B));
	b.run_end(2, PF_FINISH_STOP);
	b.send_try(3, for_model(b, MODEL_C));
	ASSERT_EQ(b.ordered_item(PF_AGENT_UNLOAD), MODEL_A);
	EXPECT_EQ(b.count_acts(PF_AGENT_LOAD), 0) << "A still holds its memory";
	b.order_done(PF_AGENT_UNLOAD);
	ASSERT_EQ(b.count_acts(PF_AGENT_LOAD), 1);
	EXPECT_EQ(b.stats().committed_bytes, 2000);
	b.order_done(PF_AGENT_LOAD);
	EXPECT_EQ(b.count_acts(PF_AGENT_RUN), 1);
}

TEST(AgentItems, KeepsItemsRunningQueuedOrPlaced)
{
	struct Case {
		const char *name;
		uint32_t runs_of_b; // batch_max is 1
		std::vector<uint64_t> placed;
		bool refused_at_once;
	} cases[] = {
		{ "running", 1, { MODEL_A }, false },
		{ "queued", 2, { MODEL_A }, false },
		{ "placed", 0, { MODEL_A, MODEL_B }, true },
	};

	for (auto &c : cases) {
		SCOPED_TRACE(c.name);
		Box b;

		b.opts.batch_max = 1;
		b.make_ready({ ITEM_A, ITEM_B });
		b.place(c.placed);
		b.send_try(100, for_model(b, MODEL_A));
		for (uint64_t i = 1; i <= c.runs_of_b; i++)
			b.send_try(i, for_model(b, MODEL_B));
		if (c.runs_of_b == 1)
			b.run_end(100, PF_FINISH_STOP);
		b.send_try(9, for_model(b, MODEL_C));
		EXPECT_EQ(b.count_acts(PF_AGENT_UNLOAD), 0);
		EXPECT_EQ(b.count_acts(PF_AGENT_LOAD), 0);
		EXPECT_EQ(b.refusal() != PF_REASON_NONE, c.refused_at_once);
		if (!c.refused_at_once)
			b.tick(10000);
		EXPECT_EQ(b.refusal(), PF_REASON_NOT_RESIDENT);
	}
}

TEST(AgentItems, AdapterLoadsAfterAndUnloadsBeforeItsModel)
{
	Box b;

	b.make_ready({});
	b.place({ LORA_A });
	EXPECT_EQ(b.count_acts(PF_AGENT_LOAD), 0);
	b.send_try(1, for_model(b, MODEL_A, LORA_A));
	ASSERT_EQ(b.ordered_item(PF_AGENT_LOAD), MODEL_A);
	b.order_done(PF_AGENT_LOAD);
	ASSERT_EQ(b.ordered_item(PF_AGENT_LOAD), LORA_A);
	b.order_done(PF_AGENT_LOAD);
	EXPECT_EQ(b.count_acts(PF_AGENT_RUN), 1);
	b.run_end(1, PF_FINISH_STOP);
	b.place({ MODEL_B, MODEL_C });
	ASSERT_EQ(b.ordered_item(PF_AGENT_UNLOAD), LORA_A);
	b.order_done(PF_AGENT_UNLOAD);
	ASSERT_EQ(b.ordered_item(PF_AGENT_UNLOAD), MODEL_A);
}

TEST(AgentItems, PlacedItemsLoadByRankWithinLoadsMax)
{
	Box b;

	b.opts.loads_max = 1;
	b.make_ready({});
	b.place({ MODEL_B, MODEL_A });
	ASSERT_EQ(b.ordered_item(PF_AGENT_LOAD), MODEL_B);
	uint64_t first = b.find_act(PF_AGENT_LOAD)->u.order.id;

	b.order_done(first, false);
	ASSERT_EQ(b.count_acts(PF_AGENT_LOAD), 1)
		<< "B backs off after its refusal";
	EXPECT_EQ(b.ordered_item(PF_AGENT_LOAD), MODEL_A);
	EXPECT_GT(b.find_act(PF_AGENT_LOAD)->u.order.id, first);
	b.order_done(PF_AGENT_LOAD);
	b.tick(500);
	ASSERT_EQ(b.ordered_item(PF_AGENT_LOAD), MODEL_B);
}

TEST(AgentItems, PlacedItemLoadsOnceDeclared)
{
	Box b;

	b.make_agent();
	b.place({ MODEL_B });
	b.engine_up({});
	b.set_config();
	EXPECT_EQ(b.ordered_item(PF_AGENT_LOAD), MODEL_B);
}

TEST(AgentItems, PlacedItemGetsMemoryInBoundedTime)
{
	Box b;

	b.make_ready();
	b.send_try(1, b.work(500, 200));
	b.place({ MODEL_B });
	EXPECT_EQ(b.count_acts(PF_AGENT_LOAD), 0);
	b.send_try(2);
	EXPECT_EQ(b.count_acts(PF_AGENT_RUN), 1)
		<< "tries start for another 2 s";
	b.tick(2000);
	b.send_try(3);
	EXPECT_EQ(b.count_acts(PF_AGENT_RUN), 0);
	b.run_end(1, PF_FINISH_STOP);
	EXPECT_EQ(b.count_acts(PF_AGENT_LOAD), 1);
	EXPECT_EQ(b.count_acts(PF_AGENT_RUN), 1);
}

TEST(AgentOrders, UnansweredOrderIsInDoubtUntilInventory)
{
	struct Case {
		const char *name;
		std::vector<struct pf_agent_item> shown;
		int64_t committed;
	} cases[] = {
		{ "it was lost", { ITEM_A, ITEM_B }, 2000 },
		{ "it was executed", { ITEM_B }, 1000 },
		{ "it is in progress",
		  { { MODEL_A, PF_ITEM_UNLOADING, 1000 }, ITEM_B },
		  2000 },
	};

	for (auto &c : cases) {
		SCOPED_TRACE(c.name);
		Box b;

		b.make_ready({ ITEM_A, ITEM_B });
		b.send_try(1, for_model(b, MODEL_C));
		ASSERT_EQ(b.count_acts(PF_AGENT_UNLOAD), 1);
		uint64_t order = b.find_act(PF_AGENT_UNLOAD)->u.order.id;

		b.tick(b.opts.order_timeout);
		EXPECT_EQ(b.count_acts(PF_AGENT_INVENTORY), 1);
		EXPECT_EQ(b.stats().committed_bytes, 2000);
		b.tick(b.opts.order_timeout);
		EXPECT_EQ(b.count_acts(PF_AGENT_INVENTORY), 1)
			<< "requested again";
		b.engine_up(c.shown);
		EXPECT_EQ(b.stats().committed_bytes -
				  1000 * b.count_acts(PF_AGENT_LOAD),
			  c.committed);
		// The answer arrives at last; it changes nothing if settled.
		b.order_done(order, true);
		b.engine_up({ ITEM_B });
		EXPECT_EQ(b.stats().committed_bytes, 2000) << "B and C";
	}
}

TEST(AgentOrders, InventoryDoesNotSettleLaterOrders)
{
	Box b;

	b.make_ready({});
	b.place({ MODEL_A });
	b.engine_up({});
	EXPECT_EQ(b.stats().committed_bytes, 1000) << "it was not requested";
	EXPECT_EQ(b.count_acts(PF_AGENT_INVENTORY), 1);
	b.place({ MODEL_A, MODEL_B });
	b.tick(b.opts.order_timeout - 1);
	b.engine_up({ ITEM_A });
	EXPECT_EQ(b.stats().committed_bytes, 2000)
		<< "B was ordered after the request";
}

TEST(AgentOrders, LateAnswerCountsAndRequestsInventory)
{
	Box b;

	b.make_ready({});
	b.place({ MODEL_A });
	uint64_t order = b.find_act(PF_AGENT_LOAD)->u.order.id;

	b.place({});
	b.tick(b.opts.order_timeout);
	b.engine_up({});
	EXPECT_EQ(b.stats().committed_bytes, 0);
	b.order_done(order, true);
	EXPECT_EQ(b.stats().committed_bytes, 1000);
	EXPECT_EQ(b.count_acts(PF_AGENT_INVENTORY), 1);
}

TEST(AgentOrders, RestartAdmitsNothingUntilReconciled)
{
	Box b;

	b.make_agent();
	b.set_config();
	b.place({ MODEL_A });
	EXPECT_EQ(b.count_acts(PF_AGENT_LOAD), 0);
	b.send_try(1);
	EXPECT_EQ(b.refusal(), PF_REASON_NOT_READY);
	// A load of the previous incarnation is still in progress.
	b.engine_up({ ITEM_A, { MODEL_B, PF_ITEM_LOADING, 1000 } });
	EXPECT_EQ(b.stats().committed_bytes, 2000);
	b.tick(b.opts.order_timeout);
	EXPECT_EQ(b.count_acts(PF_AGENT_INVENTORY), 1);
	b.engine_up({ ITEM_A, ITEM_B });
	b.send_try(2, for_model(b, MODEL_B));
	EXPECT_EQ(b.count_acts(PF_AGENT_RUN), 1);
}

TEST(AgentOrders, UnexplainedBytesAreCounted)
{
	Box b;

	b.make_agent();
	b.set_config();
	b.engine_up({ ITEM_A }, 2450);
	b.send_try(1);
	EXPECT_EQ(b.count_acts(PF_AGENT_RUN), 0) << "50 bytes are left";
	b.tick(b.opts.order_timeout);
	ASSERT_EQ(b.count_acts(PF_AGENT_INVENTORY), 1);
	b.engine_up({ ITEM_A });
	EXPECT_EQ(b.count_acts(PF_AGENT_RUN), 1);
}

TEST(AgentOrders, ItemsWithoutASlotAreCounted)
{
	Box b;

	b.opts.items_max = 2;
	b.opts.memory_bytes = 3300;
	b.make_agent();
	b.config.value.n_models = 2;
	b.config.value.n_adapters = 0;
	b.set_config();
	b.engine_up({ ITEM_A, ITEM_C });
	EXPECT_EQ(b.stats().committed_bytes, 2000);
	b.send_try(1, b.work(10, 1400));
	EXPECT_EQ(b.count_acts(PF_AGENT_RUN), 0);
	b.send_id(PF_AGENT_CANCEL, 1);
	// C takes the slot of B. Its bytes must not count twice.
	b.config.value.n_models = 0;
	b.set_config();
	b.place({ MODEL_C });
	b.config.value.models = &b.config.models[2];
	b.config.value.n_models = 1;
	b.set_config();
	ASSERT_EQ(b.ordered_item(PF_AGENT_LOAD), MODEL_C);
	uint64_t order = b.find_act(PF_AGENT_LOAD)->u.order.id;

	b.engine_up({ ITEM_A, ITEM_C });
	EXPECT_EQ(b.stats().committed_bytes, 2000);
	b.order_done(order, false);
	EXPECT_EQ(b.stats().committed_bytes, 2000)
		<< "refused: already resident";
	ASSERT_EQ(b.count_acts(PF_AGENT_INVENTORY), 1);
	b.engine_up({ ITEM_A, ITEM_C });
	EXPECT_EQ(b.stats().committed_bytes, 2000);
	EXPECT_EQ(b.find_act(PF_AGENT_LOAD), nullptr);
}

TEST(AgentOrders, AnswersFromBeforeACrashAreIgnored)
{
	Box b;

	b.make_ready({});
	b.place({ MODEL_A });
	uint64_t order = b.find_act(PF_AGENT_LOAD)->u.order.id;

	b.step(PF_AGENT_ENGINE_DOWN);
	b.engine_up({});
	ASSERT_EQ(b.count_acts(PF_AGENT_LOAD), 1) << "ordered again";
	b.order_done(order, true);
	b.send_try(1);
	EXPECT_EQ(b.count_acts(PF_AGENT_RUN), 0) << "the new load is not done";
}

// One batch slot by default, and a history of 1000-token streams in 50 s.
struct Streams : Box {
	explicit Streams(bool pause_long, uint32_t batch_max = 1)
	{
		opts.batch_max = batch_max;
		opts.pause_long = pause_long;
		opts.queue_policy = PF_QUEUE_VALUE;
		make_ready();
		for (uint64_t i = 100; i < 110; i++) {
			send_try(i, work(10, 1000));
			now += 50;
			tokens(i, 0, 1);
			now += 49950;
			tokens(i, 1, 999);
			run_end(i, PF_FINISH_LIMIT, 1000);
		}
	}
};

TEST(AgentPause, OnlyIfTheGainExceedsTheLoss)
{
	const pf_ms NO = 1 << 30;
	const uint32_t ONCE = PF_WORK_NEVER_REPEAT;
	struct Case {
		const char *name;
		bool on;
		struct {
			uint8_t priority;
			uint32_t flags;
			pf_ms between, whole_in;
		} stream;
		pf_ms first_in; // of the short try
		uint32_t max_tokens;
		bool pays;
	} cases[] = {
		{ "urgent try", true, { 2, 0, 0, NO }, 3000, 10, true },
		{ "switched off", false, { 2, 0, 0, NO }, 3000, 10, false },
		{ "try can wait", true, { 2, 0, 0, NO }, NO, 10, false },
		{ "try is late anyway", true, { 2, 0, 0, NO }, 60, 10, false },
		{ "gap breaks the stream",
		  true,
		  { 0, 0, 50, NO },
		  3000,
		  10,
		  false },
		{ "stream would be late",
		  true,
		  { 0, 0, 0, 50300 },
		  3000,
		  10,
		  false },
		{ "stream has time", true, { 0, 0, 0, 60000 }, 3000, 10, true },
		{ "try is not short",
		  true,
		  { 2, 0, 0, NO },
		  3000,
		  1000,
		  false },
		{ "never-repeat stream",
		  true,
		  { 2, ONCE, 0, NO },
		  3000,
		  10,
		  false },
	};

	for (auto &c : cases) {
		SCOPED_TRACE(c.name);
		Streams b(c.on);
		struct pf_work l = b.work(10, 1000);
		struct pf_work s = b.work(10, c.max_tokens);

		l.priority = c.stream.priority;
		l.flags = c.stream.flags;
		l.token_gap_objective_ms = c.stream.between;
		l.answer_objective = b.now + c.stream.whole_in;
		s.first_token_objective = b.now + c.first_in;
		b.send_try(1, l);
		b.now += 50;
		b.tokens(1, 0, 1);
		b.send_try(2, s);
		EXPECT_EQ(b.count_acts(PF_AGENT_STOP), c.pays);
		if (!c.pays)
			continue;
		b.run_end(1, PF_FINISH_CANCELLED);
		ASSERT_EQ(b.count_acts(PF_AGENT_RUN), 1);
		EXPECT_EQ(b.find_act(PF_AGENT_RUN)->u.run.id.request, 2u);
		b.run_end(2, PF_FINISH_STOP);
		EXPECT_EQ(b.find_act(PF_AGENT_RUN)->u.run.offset, 1u);
		b.tokens(1, 1, 1);
		b.send_try(3, s);
		EXPECT_EQ(b.count_acts(PF_AGENT_STOP), 0)
			<< "a run is paused once";
	}
}

TEST(AgentPause, AlsoToFreeMemory)
{
	Streams b(true, 4);
	struct pf_work s = b.work(10, 600);

	b.send_try(1, b.work(10, 1000));
	b.tokens(1, 0, 1);
	s.first_token_objective = b.now + 3500;
	b.send_try(2, s);
	EXPECT_EQ(b.count_acts(PF_AGENT_RUN), 0);
	ASSERT_EQ(b.count_acts(PF_AGENT_STOP), 1);
	b.run_end(1, PF_FINISH_CANCELLED);
	ASSERT_EQ(b.count_acts(PF_AGENT_RUN), 1);
	EXPECT_EQ(b.find_act(PF_AGENT_RUN)->u.run.id.request, 2u);
}

TEST(AgentReport, ReportsLoadTimesAndItems)
{
	Box b;

	b.opts.batch_max = 1;
	b.make_ready({ ITEM_A });
	b.send_try(1);
	b.now += 20;
	b.tokens(1, 0, 1);
	b.now += 60;
	b.tokens(1, 1, 2);
	b.send_try(2);
	EXPECT_EQ(b.count_acts(PF_AGENT_REPORT), 0);
	b.tick(b.opts.report_every);
	ASSERT_EQ(b.count_acts(PF_AGENT_REPORT), 1);
	auto &r = b.find_act(PF_AGENT_REPORT)->u.report;

	EXPECT_EQ(r.running, 1u);
	EXPECT_EQ(r.queued, 1u);
	EXPECT_EQ(r.started, 2u);
	EXPECT_EQ(r.kv_total, 1500);
	EXPECT_EQ(r.kv_free, 1390);
	EXPECT_DOUBLE_EQ(r.step_ms, 30);
	EXPECT_DOUBLE_EQ(r.token_prefill_ms, 2);
	ASSERT_EQ(r.n_items, 1u);
	EXPECT_EQ(r.items[0].id, MODEL_A);
	EXPECT_EQ(pf_agent_next(b.agent), b.now + b.opts.report_every);
}
