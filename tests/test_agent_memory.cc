// Memory at an agent: KV grants, loads, unloads, unknown orders, restarts.
#include "tests/agent_box.h"

static const struct pf_agent_item A = { MODEL_A, PF_ITEM_RESIDENT, 1000 };
static const struct pf_agent_item B = { MODEL_B, PF_ITEM_RESIDENT, 1000 };
static const struct pf_agent_item C = { MODEL_C, PF_ITEM_RESIDENT, 1000 };

static struct pf_work for_model(Box &b, uint64_t model, uint64_t adapter = 0)
{
	struct pf_work w = b.work();

	w.model = model;
	w.adapter = adapter;
	return w;
}

TEST(AgentKv, AGrantComesBeforeTheLimit)
{
	for (auto policy : { PF_KV_QUANTILE, PF_KV_SAFE }) {
		Box b;

		b.o.kv_policy = policy;
		b.make_ready();
		b.try_(1);
		uint32_t limit = b.find(PF_AGENT_RUN)->u.run.limit;

		EXPECT_EQ(limit, 40u) << "four steps when nothing is learned";
		for (uint32_t at = 0; at < 100; at++) {
			EXPECT_LT(at, limit);
			b.tokens(1, at, 1);
			auto *g = b.find(PF_AGENT_GRANT);

			if (!g)
				continue;
			EXPECT_GT(g->u.run.limit, limit);
			limit = g->u.run.limit;
			EXPECT_EQ(b.stats().committed_bytes, 1010 + limit);
		}
		EXPECT_EQ(limit, 100u) << "never beyond what was asked for";
	}
}

TEST(AgentKv, FirstLimitIsALearnedQuantile)
{
	Box b;

	b.o.kv_policy = PF_KV_QUANTILE;
	b.o.kv_quantile = 0.7;
	b.make_ready();
	for (uint64_t i = 1; i <= 20; i++) {
		b.try_(i, b.work(10, 1000));
		b.tokens(i, 0, i <= 15 ? 20 : 200);
		b.end(i, PF_END_STOP, i <= 15 ? 20 : 200);
	}
	b.try_(21, b.work(10, 1000));
	uint32_t limit = b.find(PF_AGENT_RUN)->u.run.limit;

	EXPECT_GE(limit, 20u);
	EXPECT_LE(limit, 28u);
	// Resumed beyond the usual length it is one of the long ones.
	struct pf_work w = b.work(10, 1000);

	w.offset = 100;
	b.try_(22, w);
	limit = b.find(PF_AGENT_RUN)->u.run.limit;
	EXPECT_GE(limit, 200u);
	EXPECT_LE(limit, 280u);
}

// Two runs of 10 + 40 tokens fill the memory; the second is worth less.
struct Tight : Box {
	explicit Tight(enum pf_kv_policy policy, bool second_waits)
	{
		o.kv_policy = policy;
		o.memory_bytes = 1101;
		make_ready();
		try_(1, work(10, 91));
		struct pf_work w = work(10, 91);

		w.priority = 1;
		w.max_tokens = second_waits ? 91 : 41;
		try_(2, w);
	}
};

TEST(AgentKv, GrowthThatDoesNotFitPausesTheLeastValuable)
{
	Tight b(PF_KV_QUANTILE, true);

	EXPECT_EQ(b.stats().running, 2u);
	b.tokens(2, 0, 7);
	b.tokens(1, 0, 39);
	EXPECT_EQ(b.count(PF_AGENT_STOP), 0) << "not yet at its limit";
	b.tokens(1, 39, 1);
	ASSERT_EQ(b.count(PF_AGENT_STOP), 1);
	EXPECT_EQ(b.find(PF_AGENT_STOP)->u.id.request, 2u);
	EXPECT_EQ(b.count(PF_AGENT_GRANT), 0);
	EXPECT_EQ(b.stats().committed_bytes, 1100) << "until it has ended";
	b.tokens(2, 7, 1);
	EXPECT_EQ(b.count(PF_AGENT_PIECE), 1) << "output under way counts";
	b.end(2, PF_END_CANCELLED);
	EXPECT_EQ(b.count(PF_AGENT_GRANT), 1);
	EXPECT_EQ(b.find(PF_AGENT_DONE), nullptr);
	b.revoke(2);
	EXPECT_NE(b.find(PF_AGENT_STARTED), nullptr) << "it ran";
	b.end(1, PF_END_STOP);
	ASSERT_EQ(b.count(PF_AGENT_RUN), 1);
	EXPECT_EQ(b.find(PF_AGENT_RUN)->u.run.id.request, 2u);
	EXPECT_EQ(b.find(PF_AGENT_RUN)->u.run.offset, 8u);
	EXPECT_EQ(b.stats().paused, 1u);
}

TEST(AgentKv, PausedRunsAreNeverSaidNotToHaveRun)
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
		b.end(2, PF_END_CANCELLED, 3);
		b.id(c.type, 2);
		EXPECT_NE(b.find(c.want), nullptr) << c.type;
		EXPECT_EQ(b.count(PF_AGENT_NOT_RUN), 0) << c.type;
	}
}

TEST(AgentKv, TheGuardKeepsAnOrderInWhichAllFinish)
{
	// Both may need 101 of the 101 bytes: never both at once.
	Tight unsafe(PF_KV_SAFE, true);

	EXPECT_EQ(unsafe.stats().running, 1u);
	// The second needs 51 at most: it can finish first.
	Tight safe(PF_KV_SAFE, false);

	EXPECT_EQ(safe.stats().running, 2u);
	safe.tokens(1, 0, 40);
	EXPECT_EQ(safe.count(PF_AGENT_GRANT), 0) << "the second could not end";
	EXPECT_EQ(safe.count(PF_AGENT_STOP), 1) << "and is worth less";
	safe.end(2, PF_END_STOP);
	EXPECT_EQ(safe.count(PF_AGENT_GRANT), 1);
}

TEST(AgentKv, AloneAndStuckItIsLostForAnotherEndpoint)
{
	Box b;

	b.o.kv_policy = PF_KV_QUANTILE;
	b.o.memory_bytes = 2050;
	b.make_ready({ A, B });
	b.place({ MODEL_A, MODEL_B });
	b.try_(1, b.work(10, 91));
	b.tokens(1, 0, 40);
	ASSERT_EQ(b.count(PF_AGENT_STOP), 1) << "B is wanted, A in use";
	b.end(1, PF_END_CANCELLED);
	EXPECT_EQ(b.find(PF_AGENT_LOST)->u.lost.reason, PF_REASON_NO_MEMORY);
	EXPECT_EQ(b.find(PF_AGENT_LOST)->u.lost.produced, 40u);
}

TEST(AgentItems, LoadsOnDemandAndEvictsTheLeastRecent)
{
	Box b;

	b.make_ready({ A, B });
	b.try_(1, for_model(b, MODEL_A));
	b.end(1, PF_END_STOP);
	b.now += 10;
	b.try_(2, for_model(b, MODEL_B));
	b.end(2, PF_END_STOP);
	b.try_(3, for_model(b, MODEL_C));
	ASSERT_EQ(b.item(PF_AGENT_UNLOAD), MODEL_A);
	EXPECT_EQ(b.count(PF_AGENT_LOAD), 0) << "its memory is still held";
	b.order_done(PF_AGENT_UNLOAD);
	ASSERT_EQ(b.count(PF_AGENT_LOAD), 1);
	EXPECT_EQ(b.stats().committed_bytes, 2000);
	b.order_done(PF_AGENT_LOAD);
	EXPECT_EQ(b.count(PF_AGENT_RUN), 1);
}

TEST(AgentItems, KeepsWhatIsInUseQueuedOrWanted)
{
	struct Case {
		const char *name;
		uint32_t runs_of_b; // the first has the only place
		std::vector<uint64_t> wanted;
		bool hopeless; // refused at once
	} cases[] = {
		{ "running", 1, { MODEL_A }, false },
		{ "queued", 2, { MODEL_A }, false },
		{ "wanted", 0, { MODEL_A, MODEL_B }, true },
	};

	for (auto &c : cases) {
		SCOPED_TRACE(c.name);
		Box b;

		b.o.batch_max = 1;
		b.make_ready({ A, B });
		b.place(c.wanted);
		b.try_(100, for_model(b, MODEL_A));
		for (uint64_t i = 1; i <= c.runs_of_b; i++)
			b.try_(i, for_model(b, MODEL_B));
		if (c.runs_of_b == 1)
			b.end(100, PF_END_STOP);
		b.try_(9, for_model(b, MODEL_C));
		EXPECT_EQ(b.count(PF_AGENT_UNLOAD), 0);
		EXPECT_EQ(b.count(PF_AGENT_LOAD), 0);
		EXPECT_EQ(b.refused() != PF_REASON_NONE, c.hopeless);
		if (!c.hopeless)
			b.tick(10000);
		EXPECT_EQ(b.refused(), PF_REASON_NOT_RESIDENT);
	}
}

TEST(AgentItems, AnAdapterNeedsItsModelAndGoesBeforeIt)
{
	Box b;

	b.make_ready({});
	b.place({ LORA_A });
	EXPECT_EQ(b.count(PF_AGENT_LOAD), 0);
	b.try_(1, for_model(b, MODEL_A, LORA_A));
	ASSERT_EQ(b.item(PF_AGENT_LOAD), MODEL_A);
	b.order_done(PF_AGENT_LOAD);
	ASSERT_EQ(b.item(PF_AGENT_LOAD), LORA_A);
	b.order_done(PF_AGENT_LOAD);
	EXPECT_EQ(b.count(PF_AGENT_RUN), 1);
	b.end(1, PF_END_STOP);
	b.place({ MODEL_B, MODEL_C });
	ASSERT_EQ(b.item(PF_AGENT_UNLOAD), LORA_A);
	b.order_done(PF_AGENT_UNLOAD);
	ASSERT_EQ(b.item(PF_AGENT_UNLOAD), MODEL_A);
}

TEST(AgentItems, PlacedItemsLoadInOrderAndWithinTheLimit)
{
	Box b;

	b.o.loads_max = 1;
	b.make_ready({});
	b.place({ MODEL_B, MODEL_A });
	ASSERT_EQ(b.item(PF_AGENT_LOAD), MODEL_B);
	uint64_t first = b.find(PF_AGENT_LOAD)->u.load.order;

	b.order_done(first, false);
	ASSERT_EQ(b.count(PF_AGENT_LOAD), 1) << "B waits after its refusal";
	EXPECT_EQ(b.item(PF_AGENT_LOAD), MODEL_A);
	EXPECT_GT(b.find(PF_AGENT_LOAD)->u.load.order, first);
	b.order_done(PF_AGENT_LOAD);
	b.tick(500);
	ASSERT_EQ(b.item(PF_AGENT_LOAD), MODEL_B);
}

TEST(AgentItems, PlacedBeforeItIsDeclared)
{
	Box b;

	b.make();
	b.place({ MODEL_B });
	b.up({});
	b.set_config();
	EXPECT_EQ(b.item(PF_AGENT_LOAD), MODEL_B);
}

TEST(AgentItems, PlacedItemsGetMemoryInBoundedTime)
{
	Box b;

	b.make_ready();
	b.try_(1, b.work(500, 200));
	b.place({ MODEL_B });
	EXPECT_EQ(b.count(PF_AGENT_LOAD), 0);
	b.try_(2);
	EXPECT_EQ(b.count(PF_AGENT_RUN), 1) << "others go on for a while";
	b.tick(2000);
	b.try_(3);
	EXPECT_EQ(b.count(PF_AGENT_RUN), 0);
	b.end(1, PF_END_STOP);
	EXPECT_EQ(b.count(PF_AGENT_LOAD), 1);
	EXPECT_EQ(b.count(PF_AGENT_RUN), 1);
}

TEST(AgentOrders, UnansweredIsUnknownUntilTheInventory)
{
	struct Case {
		const char *name;
		std::vector<struct pf_agent_item> shown;
		int64_t committed;
	} cases[] = {
		{ "it never arrived", { A, B }, 2000 },
		{ "it was carried out", { B }, 1000 },
		{ "it goes on",
		  { { MODEL_A, PF_ITEM_UNLOADING, 1000 }, B },
		  2000 },
	};

	for (auto &c : cases) {
		SCOPED_TRACE(c.name);
		Box b;

		b.make_ready({ A, B });
		b.try_(1, for_model(b, MODEL_C));
		ASSERT_EQ(b.count(PF_AGENT_UNLOAD), 1);
		uint64_t order = b.find(PF_AGENT_UNLOAD)->u.load.order;

		b.tick(b.o.order_timeout);
		EXPECT_EQ(b.count(PF_AGENT_INVENTORY), 1);
		EXPECT_EQ(b.stats().committed_bytes, 2000);
		b.tick(b.o.order_timeout);
		EXPECT_EQ(b.count(PF_AGENT_INVENTORY), 1) << "asked again";
		b.up(c.shown);
		EXPECT_EQ(b.stats().committed_bytes -
				  1000 * b.count(PF_AGENT_LOAD),
			  c.committed);
		// The answer arrives in the end, for good or to no effect.
		b.order_done(order, true);
		b.up({ B });
		EXPECT_EQ(b.stats().committed_bytes, 2000) << "B and C";
	}
}

TEST(AgentOrders, AnInventoryOfBeforeAnOrderSettlesNothing)
{
	Box b;

	b.make_ready({});
	b.place({ MODEL_A });
	b.up({});
	EXPECT_EQ(b.stats().committed_bytes, 1000) << "nobody asked for it";
	EXPECT_EQ(b.count(PF_AGENT_INVENTORY), 1);
	b.place({ MODEL_A, MODEL_B });
	b.tick(b.o.order_timeout - 1);
	b.up({ A });
	EXPECT_EQ(b.stats().committed_bytes, 2000) << "B came later";
}

TEST(AgentOrders, ALateAnswerCountsAndIsLookedInto)
{
	Box b;

	b.make_ready({});
	b.place({ MODEL_A });
	uint64_t order = b.find(PF_AGENT_LOAD)->u.load.order;

	b.place({});
	b.tick(b.o.order_timeout);
	b.up({});
	EXPECT_EQ(b.stats().committed_bytes, 0);
	b.order_done(order, true);
	EXPECT_EQ(b.stats().committed_bytes, 1000);
	EXPECT_EQ(b.count(PF_AGENT_INVENTORY), 1);
}

TEST(AgentOrders, RestartAdmitsNothingUntilReconciled)
{
	Box b;

	b.make();
	b.set_config();
	b.place({ MODEL_A });
	EXPECT_EQ(b.count(PF_AGENT_LOAD), 0);
	b.try_(1);
	EXPECT_EQ(b.refused(), PF_REASON_NOT_READY);
	// What the agent before had under way is still under way.
	b.up({ A, { MODEL_B, PF_ITEM_LOADING, 1000 } });
	EXPECT_EQ(b.stats().committed_bytes, 2000);
	b.tick(b.o.order_timeout);
	EXPECT_EQ(b.count(PF_AGENT_INVENTORY), 1);
	b.up({ A, B });
	b.try_(2, for_model(b, MODEL_B));
	EXPECT_EQ(b.count(PF_AGENT_RUN), 1);
}

TEST(AgentOrders, BytesThatNothingExplainsAreCounted)
{
	Box b;

	b.make();
	b.set_config();
	b.up({ A }, 2450);
	b.try_(1);
	EXPECT_EQ(b.count(PF_AGENT_RUN), 0) << "50 bytes are left";
	b.tick(b.o.order_timeout);
	ASSERT_EQ(b.count(PF_AGENT_INVENTORY), 1);
	b.up({ A });
	EXPECT_EQ(b.count(PF_AGENT_RUN), 1);
}

TEST(AgentOrders, ItemsWithoutASlotStayCounted)
{
	Box b;

	b.o.items_max = 2;
	b.o.memory_bytes = 3300;
	b.make();
	b.config.c.n_models = 2;
	b.config.c.n_adapters = 0;
	b.set_config();
	b.up({ A, C });
	EXPECT_EQ(b.stats().committed_bytes, 2000);
	b.try_(1, b.work(10, 1400));
	EXPECT_EQ(b.count(PF_AGENT_RUN), 0);
	b.id(PF_AGENT_CANCEL, 1);
	// C takes the slot of B. It is loaded twice in nobody's eyes.
	b.config.c.n_models = 0;
	b.set_config();
	b.place({ MODEL_C });
	b.config.c.models = &b.config.models[2];
	b.config.c.n_models = 1;
	b.set_config();
	ASSERT_EQ(b.item(PF_AGENT_LOAD), MODEL_C);
	uint64_t order = b.find(PF_AGENT_LOAD)->u.load.order;

	b.up({ A, C });
	EXPECT_EQ(b.stats().committed_bytes, 2000);
	b.order_done(order, false);
	EXPECT_EQ(b.stats().committed_bytes, 2000) << "refused as it is there";
	ASSERT_EQ(b.count(PF_AGENT_INVENTORY), 1);
	b.up({ A, C });
	EXPECT_EQ(b.stats().committed_bytes, 2000);
	EXPECT_EQ(b.find(PF_AGENT_LOAD), nullptr);
}

TEST(AgentOrders, AnswersFromBeforeACrashAreVoid)
{
	Box b;

	b.make_ready({});
	b.place({ MODEL_A });
	uint64_t order = b.find(PF_AGENT_LOAD)->u.load.order;

	b.step(PF_AGENT_ENGINE_DOWN);
	b.up({});
	ASSERT_EQ(b.count(PF_AGENT_LOAD), 1) << "loaded anew";
	b.order_done(order, true);
	b.try_(1);
	EXPECT_EQ(b.count(PF_AGENT_RUN), 0) << "that load is not done";
}

// One place, and a history of streams of 1000 tokens in 50 s.
struct Streams : Box {
	explicit Streams(bool pause_long, uint32_t batch_max = 1)
	{
		o.batch_max = batch_max;
		o.pause_long = pause_long;
		o.queue_policy = PF_QUEUE_VALUE;
		make_ready();
		for (uint64_t i = 100; i < 110; i++) {
			try_(i, work(10, 1000));
			now += 50;
			tokens(i, 0, 1);
			now += 49950;
			tokens(i, 1, 999);
			end(i, PF_END_LIMIT, 1000);
		}
	}
};

TEST(AgentPause, OnlyIfTheYieldOverBothIsHigher)
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
		} l; // the stream that runs
		pf_ms first_in; // of the short one
		uint32_t max_tokens;
		bool pays;
	} cases[] = {
		{ "for an urgent one", true, { 2, 0, 0, NO }, 3000, 10, true },
		{ "switched off", false, { 2, 0, 0, NO }, 3000, 10, false },
		{ "it can wait", true, { 2, 0, 0, NO }, NO, 10, false },
		{ "too late anyway", true, { 2, 0, 0, NO }, 60, 10, false },
		{ "watched", true, { 0, 0, 50, NO }, 3000, 10, false },
		{ "would be late", true, { 0, 0, 0, 50300 }, 3000, 10, false },
		{ "has time", true, { 0, 0, 0, 60000 }, 3000, 10, true },
		{ "not short", true, { 2, 0, 0, NO }, 3000, 1000, false },
		{ "at most once", true, { 2, ONCE, 0, NO }, 3000, 10, false },
	};

	for (auto &c : cases) {
		SCOPED_TRACE(c.name);
		Streams b(c.on);
		struct pf_work l = b.work(10, 1000);
		struct pf_work s = b.work(10, c.max_tokens);

		l.priority = c.l.priority;
		l.flags = c.l.flags;
		l.token_gap_target_ms = c.l.between;
		l.answer_target = b.now + c.l.whole_in;
		s.first_token_target = b.now + c.first_in;
		b.try_(1, l);
		b.now += 50;
		b.tokens(1, 0, 1);
		b.try_(2, s);
		EXPECT_EQ(b.count(PF_AGENT_STOP), c.pays);
		if (!c.pays)
			continue;
		b.end(1, PF_END_CANCELLED);
		ASSERT_EQ(b.count(PF_AGENT_RUN), 1);
		EXPECT_EQ(b.find(PF_AGENT_RUN)->u.run.id.request, 2u);
		b.end(2, PF_END_STOP);
		EXPECT_EQ(b.find(PF_AGENT_RUN)->u.run.offset, 1u);
		b.tokens(1, 1, 1);
		b.try_(3, s);
		EXPECT_EQ(b.count(PF_AGENT_STOP), 0) << "not twice";
	}
}

TEST(AgentPause, AlsoWhenMemoryIsWhatLacks)
{
	Streams b(true, 4);
	struct pf_work s = b.work(10, 600);

	b.try_(1, b.work(10, 1000));
	b.tokens(1, 0, 1);
	s.first_token_target = b.now + 3500;
	b.try_(2, s);
	EXPECT_EQ(b.count(PF_AGENT_RUN), 0);
	ASSERT_EQ(b.count(PF_AGENT_STOP), 1);
	b.end(1, PF_END_CANCELLED);
	ASSERT_EQ(b.count(PF_AGENT_RUN), 1);
	EXPECT_EQ(b.find(PF_AGENT_RUN)->u.run.id.request, 2u);
}

TEST(AgentReport, SaysWhatTheEntriesNeed)
{
	Box b;

	b.o.batch_max = 1;
	b.make_ready({ A });
	b.try_(1);
	b.now += 20;
	b.tokens(1, 0, 1);
	b.now += 60;
	b.tokens(1, 1, 2);
	b.try_(2);
	EXPECT_EQ(b.count(PF_AGENT_REPORT), 0);
	b.tick(b.o.report_every);
	ASSERT_EQ(b.count(PF_AGENT_REPORT), 1);
	auto &r = b.find(PF_AGENT_REPORT)->u.report;

	EXPECT_EQ(r.running, 1u);
	EXPECT_EQ(r.queued, 1u);
	EXPECT_EQ(r.started, 2u);
	EXPECT_EQ(r.kv_total, 1500);
	EXPECT_EQ(r.kv_free, 1390);
	EXPECT_DOUBLE_EQ(r.step_ms, 30);
	EXPECT_DOUBLE_EQ(r.token_prefill_ms, 2);
	ASSERT_EQ(r.n_items, 1u);
	EXPECT_EQ(r.items[0].id, MODEL_A);
	EXPECT_EQ(pf_agent_next(b.a), b.now + b.o.report_every);
}
