// The life of a try at an agent: start, refusal, revoke, claim, drain, crash.
#include "tests/agent_box.h"

TEST(Agent, OptionsOutOfRangeAreRefused)
{
	struct pf_agent_opts o;

	pf_agent_opts_default(&o);
	EXPECT_EQ(pf_agent_new(&o), nullptr) << "an engine without memory";
	o.memory_bytes = 100;
	o.batch_max = 0;
	EXPECT_EQ(pf_agent_new(&o), nullptr);
}

TEST(Agent, RunsATryToItsEnd)
{
	Box b;

	b.make_ready();
	b.try_(1);
	ASSERT_NE(b.find(PF_AGENT_RUN), nullptr);
	EXPECT_EQ(b.find(PF_AGENT_RUN)->u.run.limit, 100u);
	EXPECT_EQ(b.find(PF_AGENT_STARTED), nullptr) << "no sign yet";
	EXPECT_EQ(b.stats().committed_bytes, 1000 + 110);
	b.tokens(1, 0, 3);
	EXPECT_NE(b.find(PF_AGENT_STARTED), nullptr);
	EXPECT_EQ(b.find(PF_AGENT_PIECE)->u.tokens.count, 3u);
	b.tokens(1, 3, 1);
	EXPECT_EQ(b.find(PF_AGENT_STARTED), nullptr) << "only once";
	b.end(1, PF_END_STOP, 4);
	EXPECT_EQ(b.find(PF_AGENT_DONE)->u.done.total, 4u);
	EXPECT_EQ(b.stats().committed_bytes, 1000);
	b.tokens(1, 4, 2);
	EXPECT_TRUE(b.acts.empty()) << "late output is dropped";
	EXPECT_EQ(b.stats().late_tokens, 2u);
}

TEST(Agent, RefusesWhatItCannotRun)
{
	const auto NONE = PF_AGENT_TICK;
	struct Case {
		const char *name;
		enum pf_agent_msg_type before;
		uint64_t model, adapter;
		uint32_t max_tokens;
		pf_ms deadline;
		enum pf_reason want;
	} cases[] = {
		{ "no engine", PF_AGENT_ENGINE_DOWN, MODEL_A, 0, 1, PF_NEVER,
		  PF_REASON_NOT_READY },
		{ "leaving", PF_AGENT_DRAIN, MODEL_A, 0, 1, PF_NEVER,
		  PF_REASON_LEAVING },
		{ "no such model", NONE, 4, 0, 1, PF_NEVER,
		  PF_REASON_UNKNOWN_MODEL },
		{ "adapter of another model", NONE, MODEL_B, LORA_A, 1,
		  PF_NEVER, PF_REASON_UNKNOWN_MODEL },
		{ "beyond the context", NONE, MODEL_A, 0, 99991, PF_NEVER,
		  PF_REASON_TOO_LONG },
		{ "beyond the memory", NONE, MODEL_A, 0, 1491, PF_NEVER,
		  PF_REASON_NO_MEMORY },
		{ "deadline passed", NONE, MODEL_A, 0, 1, 1000,
		  PF_REASON_EXPIRED },
		{ "fits just so", NONE, MODEL_A, 0, 1490, PF_NEVER,
		  PF_REASON_NONE },
	};

	for (auto &c : cases) {
		SCOPED_TRACE(c.name);
		Box b;

		b.make_ready();
		b.step(c.before);
		struct pf_work w = b.work(10, c.max_tokens);

		w.model = c.model;
		w.adapter = c.adapter;
		w.deadline = c.deadline;
		b.try_(1, w);
		EXPECT_EQ(b.refused(), c.want);
		EXPECT_EQ(b.count(PF_AGENT_RUN), c.want == 0);
		if (c.want == 0)
			continue;
		b.try_(1);
		EXPECT_EQ(b.refused(), PF_REASON_TOMBSTONE) << "for good";
		EXPECT_EQ(b.count(PF_AGENT_RUN), 0);
	}
}

TEST(Agent, RefusesNotResidentUnlessLoadedOnDemandOrPlaced)
{
	Box b;
	struct pf_work w = b.work();

	b.o.load_on_demand = false;
	b.make_ready();
	w.model = MODEL_B;
	b.try_(1, w);
	EXPECT_EQ(b.refused(), PF_REASON_NOT_RESIDENT);
	EXPECT_GT(b.find(PF_AGENT_NOT_RUN)->u.not_run.retry_after, 0);
	b.place({ MODEL_B });
	EXPECT_EQ(b.count(PF_AGENT_LOAD), 1);
	b.try_(2, w);
	EXPECT_EQ(b.refused(), PF_REASON_NONE);
}

TEST(Agent, FullQueueIsRefusedWithAHint)
{
	Box b;

	b.o.batch_max = 1;
	b.make_ready();
	for (uint64_t i = 1; i <= 5; i++) {
		b.try_(i);
		EXPECT_EQ(b.refused(), PF_REASON_NONE);
	}
	b.try_(6);
	EXPECT_EQ(b.refused(), PF_REASON_FULL);
	EXPECT_GT(b.find(PF_AGENT_NOT_RUN)->u.not_run.retry_after, 0);
}

TEST(Agent, RecordsOfEndedRunsBoundWhatIsTakenIn)
{
	Box b;

	b.o.tombstones_max = 2;
	b.make_ready();
	for (uint64_t i = 1; i <= 2; i++) {
		b.try_(i);
		b.end(i, PF_END_STOP);
	}
	b.try_(3);
	EXPECT_EQ(b.refused(), PF_REASON_FULL) << "a copy of 1 could come";
	b.try_(1);
	EXPECT_EQ(b.count(PF_AGENT_RUN), 0);
	b.tick(b.o.tombstone_keep);
	b.try_(4);
	EXPECT_EQ(b.count(PF_AGENT_RUN), 1);
}

TEST(Agent, NoSecondRunOfAKnownTry)
{
	Box b;

	b.make_ready();
	b.try_(1);
	b.try_(1);
	EXPECT_EQ(b.count(PF_AGENT_RUN), 0);
	EXPECT_NE(b.find(PF_AGENT_STARTED), nullptr);
	b.end(1, PF_END_STOP);
	b.try_(1);
	EXPECT_EQ(b.count(PF_AGENT_RUN), 0);
	EXPECT_EQ(b.refused(), PF_REASON_NONE) << "it did run";
}

TEST(Agent, RevokeBeforeTheStartAfterItAndForTheUnseen)
{
	Box b;

	b.o.batch_max = 1;
	b.make_ready();
	b.try_(1);
	b.try_(2);
	b.revoke(2);
	EXPECT_NE(b.find(PF_AGENT_REVOKED), nullptr);
	b.revoke(2);
	EXPECT_NE(b.find(PF_AGENT_REVOKED), nullptr) << "the same answer again";
	b.revoke(3);
	EXPECT_NE(b.find(PF_AGENT_REVOKED), nullptr);
	b.revoke(1);
	EXPECT_NE(b.find(PF_AGENT_STARTED), nullptr);
	b.end(1, PF_END_STOP);
	EXPECT_EQ(b.count(PF_AGENT_RUN), 0) << "2 was revoked";
	b.revoke(1);
	EXPECT_NE(b.find(PF_AGENT_STARTED), nullptr);
	for (uint64_t i = 2; i <= 3; i++) {
		b.try_(i);
		EXPECT_EQ(b.refused(), PF_REASON_TOMBSTONE);
	}
}

TEST(Agent, TombstonesBeyondTheirBoundStayInForce)
{
	Box b;

	b.o.tombstones_max = 16;
	b.make_ready();
	for (uint64_t i = 1; i <= 1000; i++)
		b.revoke(i);
	for (uint64_t i = 1; i <= 1000; i++) {
		b.try_(i);
		EXPECT_EQ(b.refused(), PF_REASON_TOMBSTONE) << i;
	}
	b.tick(b.o.tombstone_keep);
	b.try_(1000);
	EXPECT_EQ(b.refused(), PF_REASON_TOMBSTONE) << "kept so long";
}

TEST(Agent, QueuedWorkExpires)
{
	Box b;
	struct pf_work w = b.work();

	b.o.batch_max = 1;
	b.make_ready();
	b.try_(1);
	w.deadline = b.now + 50;
	b.try_(2, w);
	EXPECT_LE(pf_agent_next(b.a), w.deadline);
	b.tick(50);
	EXPECT_EQ(b.refused(), PF_REASON_EXPIRED);
	b.tick(100000);
	EXPECT_EQ(b.refused(), PF_REASON_NONE) << "what runs is left alone";
}

TEST(Agent, CancelAndAnEntryThatIsGone)
{
	Box b;
	struct pf_work once = b.work();

	once.flags = PF_WORK_NEVER_REPEAT;
	b.o.batch_max = 2;
	b.make_ready();
	b.try_(1);
	b.try_(2, once);
	b.try_(3);
	b.id(PF_AGENT_CANCEL, 3);
	EXPECT_EQ(b.refused(), PF_REASON_CANCELLED);
	b.try_(4);
	b.id(PF_AGENT_CANCEL, 1);
	EXPECT_NE(b.find(PF_AGENT_STOP), nullptr);
	EXPECT_EQ(b.count(PF_AGENT_RUN), 0) << "1 holds its place to its end";
	b.end(1, PF_END_CANCELLED);
	EXPECT_EQ(b.find(PF_AGENT_DONE)->u.done.end, PF_END_CANCELLED);
	EXPECT_EQ(b.count(PF_AGENT_RUN), 1);
	b.try_(5);
	b.step(PF_AGENT_ENTRY_DOWN);
	ASSERT_EQ(b.count(PF_AGENT_STOP), 1) << "not the never-repeat one";
	EXPECT_EQ(b.find(PF_AGENT_STOP)->u.id.request, 4u);
	EXPECT_EQ(b.stats().queued, 0u);
}

TEST(Agent, AStopThatIsNotAnsweredIsRepeated)
{
	Box b;

	b.make_ready();
	b.try_(1);
	b.id(PF_AGENT_CANCEL, 1);
	b.tick(b.o.order_timeout);
	EXPECT_EQ(b.count(PF_AGENT_STOP), 1);
	EXPECT_EQ(b.stats().committed_bytes, 1110) << "it may still run";
}

TEST(Agent, WhatTheEngineGivesUpIsResumedAFewTimes)
{
	Box b;
	struct pf_work once = b.work();

	once.flags = PF_WORK_NEVER_REPEAT;
	b.make_ready();
	b.try_(1);
	b.tokens(1, 0, 5);
	for (int i = 0; i < 3; i++) {
		b.end(1, PF_END_CANCELLED, 5);
		ASSERT_EQ(b.count(PF_AGENT_RUN), 1);
		EXPECT_EQ(b.find(PF_AGENT_RUN)->u.run.offset, 5u);
	}
	b.end(1, PF_END_CANCELLED, 5);
	EXPECT_EQ(b.find(PF_AGENT_LOST)->u.lost.reason, PF_REASON_BACKEND);
	b.try_(2, once);
	b.end(2, PF_END_CANCELLED);
	EXPECT_EQ(b.find(PF_AGENT_LOST)->u.lost.reason,
		  PF_REASON_OUTCOME_UNKNOWN);
}

TEST(Agent, DrainHandsBackAndFinishes)
{
	Box b;

	b.o.batch_max = 1;
	b.make_ready();
	b.try_(1);
	b.try_(2);
	b.step(PF_AGENT_DRAIN);
	EXPECT_EQ(b.refused(), PF_REASON_LEAVING);
	ASSERT_NE(b.find(PF_AGENT_REPORT), nullptr);
	EXPECT_TRUE(b.find(PF_AGENT_REPORT)->u.report.leaving);
	EXPECT_EQ(b.count(PF_AGENT_DRAINED), 0);
	b.try_(3);
	EXPECT_EQ(b.refused(), PF_REASON_LEAVING);
	b.end(1, PF_END_STOP);
	EXPECT_EQ(b.count(PF_AGENT_DRAINED), 1);
	b.step(PF_AGENT_DRAIN);
	EXPECT_EQ(b.count(PF_AGENT_DRAINED), 0);
}

TEST(Agent, CrashLosesWhatRanAndHandsBackTheRest)
{
	Box b;

	b.o.batch_max = 1;
	b.make_ready();
	b.try_(1);
	b.tokens(1, 0, 7);
	b.try_(2);
	b.step(PF_AGENT_ENGINE_DOWN);
	ASSERT_NE(b.find(PF_AGENT_LOST), nullptr);
	EXPECT_EQ(b.find(PF_AGENT_LOST)->u.lost.reason, PF_REASON_CRASHED);
	EXPECT_EQ(b.find(PF_AGENT_LOST)->u.lost.produced, 7u);
	EXPECT_EQ(b.refused(), PF_REASON_NOT_READY);
	EXPECT_FALSE(b.find(PF_AGENT_REPORT)->u.report.ready);
	EXPECT_EQ(b.stats().committed_bytes, 0);
	b.up({ { MODEL_A, PF_ITEM_RESIDENT, 1000 } });
	EXPECT_TRUE(b.find(PF_AGENT_REPORT)->u.report.ready);
	b.try_(3);
	EXPECT_EQ(b.count(PF_AGENT_RUN), 1);
}

struct Plain : Box {
	Plain()
	{
		o.kind = PF_ENDPOINT_PLAIN;
		o.memory_bytes = 0;
		o.batch_max = 2;
		make();
		up({});
	}
	struct pf_work call(uint64_t key)
	{
		struct pf_work w = work(0, 0);

		w.flags = PF_WORK_PLAIN | PF_WORK_NEVER_REPEAT;
		w.idem_key = key;
		return w;
	}
};

TEST(AgentClaim, AnswersOfTheLog)
{
	struct Case {
		bool granted;
		enum pf_reason reason;
		enum pf_agent_act_type want;
	} cases[] = {
		{ true, PF_REASON_NONE, PF_AGENT_RUN },
		{ false, PF_REASON_NONE, PF_AGENT_DONE },
		{ false, PF_REASON_OUTCOME_UNKNOWN, PF_AGENT_LOST },
		{ false, PF_REASON_STORE_AWAY, PF_AGENT_NOT_RUN },
	};

	for (auto &c : cases) {
		Plain b;

		b.try_(1, b.call(55));
		EXPECT_EQ(b.count(PF_AGENT_CLAIM), 1);
		EXPECT_EQ(b.count(PF_AGENT_RUN), 0);
		b.claimed(1, c.granted, c.reason);
		ASSERT_NE(b.find(c.want), nullptr) << c.want;
		EXPECT_EQ(b.acts[0].type, c.want);
		b.claimed(1, true);
		EXPECT_TRUE(b.acts.empty()) << "a second answer";
	}
}

TEST(AgentClaim, RevokedWhilePendingIsVoided)
{
	for (bool granted : { true, false }) {
		Plain b;

		b.try_(1, b.call(55));
		b.revoke(1);
		EXPECT_NE(b.find(PF_AGENT_REVOKED), nullptr);
		b.try_(1, b.call(55));
		EXPECT_EQ(b.refused(), PF_REASON_TOMBSTONE);
		b.claimed(1, granted, PF_REASON_STORE_AWAY);
		EXPECT_EQ(b.count(PF_AGENT_VOID), granted);
		EXPECT_EQ(b.count(PF_AGENT_RUN), 0);
	}
}

TEST(AgentClaim, HeldUntilTheDeadlineWhenTheLogIsAway)
{
	Plain b;
	struct pf_work w = b.call(55);

	w.deadline = b.now + 100;
	b.try_(1, w);
	b.tick(99);
	EXPECT_EQ(b.refused(), PF_REASON_NONE);
	b.tick(1);
	EXPECT_EQ(b.refused(), PF_REASON_EXPIRED);
	b.step(PF_AGENT_DRAIN);
	EXPECT_EQ(b.count(PF_AGENT_DRAINED), 0) << "the claim may stand";
	b.claimed(1, true);
	EXPECT_EQ(b.count(PF_AGENT_VOID), 1);
	EXPECT_EQ(b.count(PF_AGENT_DRAINED), 1);
}

TEST(AgentClaim, WithoutAKeyThereIsNoClaim)
{
	Plain b;

	b.try_(1, b.call(0));
	EXPECT_EQ(b.count(PF_AGENT_RUN), 1);
	b.id(PF_AGENT_CANCEL, 1);
	EXPECT_EQ(b.count(PF_AGENT_STOP), 0) << "it finishes";
	b.step(PF_AGENT_ENGINE_DOWN);
	EXPECT_NE(b.find(PF_AGENT_LOST), nullptr);
}

TEST(AgentQueue, SuspectsRunAlone)
{
	Box b;
	struct pf_work w = b.work();

	w.flags = PF_WORK_SUSPECT;
	b.make_ready();
	b.try_(1);
	b.try_(2, w);
	EXPECT_EQ(b.count(PF_AGENT_RUN), 0);
	b.tick(2000);
	b.try_(3);
	EXPECT_EQ(b.count(PF_AGENT_RUN), 0) << "it waited long enough";
	b.end(1, PF_END_STOP);
	ASSERT_EQ(b.count(PF_AGENT_RUN), 1);
	EXPECT_EQ(b.find(PF_AGENT_RUN)->u.run.id.request, 2u);
	b.end(2, PF_END_STOP);
	EXPECT_EQ(b.find(PF_AGENT_RUN)->u.run.id.request, 3u);
}

TEST(AgentQueue, ValueOrdersByPrioritySlackAndAge)
{
	struct Wait {
		uint8_t priority;
		uint32_t flags;
		pf_ms first_in;
	};
	const pf_ms NO = 1 << 30;
	struct Case {
		const char *name;
		Wait first, second;
		pf_ms between;
		uint64_t want;
	} cases[] = {
		{ "by arrival", { 0, 0, NO }, { 0, 0, NO }, 0, 2 },
		{ "priority", { 2, 0, NO }, { 0, 0, NO }, 0, 3 },
		{ "age beats it", { 1, 0, NO }, { 0, 0, NO }, 6000, 2 },
		{ "deferrable waits",
		  { 0, PF_WORK_DEFERRABLE, NO },
		  { 0, 0, NO },
		  0,
		  3 },
		{ "less slack", { 0, 0, NO }, { 0, 0, 300 }, 0, 3 },
		{ "late gives way", { 0, 0, -1 }, { 0, 0, 300 }, 0, 3 },
	};

	for (auto &c : cases) {
		SCOPED_TRACE(c.name);
		Box b;

		b.o.batch_max = 1;
		b.o.queue_policy = PF_QUEUE_VALUE;
		b.make_ready();
		b.try_(1);
		for (uint64_t i : { 2, 3 }) {
			const Wait &x = i == 2 ? c.first : c.second;
			struct pf_work w = b.work();

			w.priority = x.priority;
			w.flags = x.flags;
			w.first_token_target = b.now + x.first_in;
			b.try_(i, w);
			b.now += i == 2 ? c.between : 0;
		}
		b.end(1, PF_END_STOP);
		ASSERT_EQ(b.count(PF_AGENT_RUN), 1);
		EXPECT_EQ(b.find(PF_AGENT_RUN)->u.run.id.request, c.want);
	}
}
