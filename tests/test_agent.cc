// Tries at an agent: start, refusal, revoke, claim, drain, crash, queue order.
#include "tests/agent_box.h"

TEST(Agent, RejectsOptionsOutOfRange)
{
	struct pf_agent_opts o;

	pf_agent_opts_default(&o);
	EXPECT_EQ(pf_agent_new(&o), nullptr) << "an engine without memory";
	o.memory_bytes = 100;
	o.batch_max = 0;
	EXPECT_EQ(pf_agent_new(&o), nullptr);
}

TEST(Agent, RunsATryToCompletion)
{
	Box b;

	b.make_ready();
	b.send_try(1);
	ASSERT_NE(b.find_act(PF_AGENT_RUN), nullptr);
	EXPECT_EQ(b.find_act(PF_AGENT_RUN)->u.run.limit, 100u);
	EXPECT_EQ(b.find_act(PF_AGENT_STARTED), nullptr) << "no output yet";
	EXPECT_EQ(b.stats().committed_bytes, 1000 + 110);
	b.tokens(1, 0, 3);
	EXPECT_NE(b.find_act(PF_AGENT_STARTED), nullptr);
	EXPECT_EQ(b.find_act(PF_AGENT_PIECE)->u.tokens.count, 3u);
	b.tokens(1, 3, 1);
	EXPECT_EQ(b.find_act(PF_AGENT_STARTED), nullptr) << "sent once";
	b.run_end(1, PF_FINISH_STOP, 4);
	EXPECT_EQ(b.find_act(PF_AGENT_DONE)->u.done.total, 4u);
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
		{ "just fits", NONE, MODEL_A, 0, 1490, PF_NEVER,
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
		b.send_try(1, w);
		EXPECT_EQ(b.refusal(), c.want);
		EXPECT_EQ(b.count_acts(PF_AGENT_RUN), c.want == 0);
		if (c.want == 0)
			continue;
		b.send_try(1);
		EXPECT_EQ(b.refusal(), PF_REASON_TOMBSTONE)
			<< "a retry of it is refused";
		EXPECT_EQ(b.count_acts(PF_AGENT_RUN), 0);
	}
}

TEST(Agent, RefusesAbsentModelUnlessOnDemandOrPlaced)
{
	Box b;
	struct pf_work w = b.work();

	b.opts.load_on_demand = false;
	b.make_ready();
	w.model = MODEL_B;
	b.send_try(1, w);
	EXPECT_EQ(b.refusal(), PF_REASON_NOT_RESIDENT);
	EXPECT_GT(b.find_act(PF_AGENT_NOT_RUN)->u.not_run.retry_after, 0);
	b.place({ MODEL_B });
	EXPECT_EQ(b.count_acts(PF_AGENT_LOAD), 1);
	b.send_try(2, w);
	EXPECT_EQ(b.refusal(), PF_REASON_NONE);
}

TEST(Agent, FullQueueRefusesWithRetryHint)
{
	Box b;

	b.opts.batch_max = 1;
	b.make_ready();
	for (uint64_t i = 1; i <= 5; i++) {
		b.send_try(i);
		EXPECT_EQ(b.refusal(), PF_REASON_NONE);
	}
	b.send_try(6);
	EXPECT_EQ(b.refusal(), PF_REASON_FULL);
	EXPECT_GT(b.find_act(PF_AGENT_NOT_RUN)->u.not_run.retry_after, 0);
}

TEST(Agent, FullRecordOfEndedRunsRefusesNewTries)
{
	Box b;

	b.opts.tombstones_max = 2;
	b.make_ready();
	for (uint64_t i = 1; i <= 2; i++) {
		b.send_try(i);
		b.run_end(i, PF_FINISH_STOP);
	}
	b.send_try(3);
	EXPECT_EQ(b.refusal(), PF_REASON_FULL) << "a duplicate of 1 may arrive";
	b.send_try(1);
	EXPECT_EQ(b.count_acts(PF_AGENT_RUN), 0);
	b.tick(b.opts.tombstone_keep);
	b.send_try(4);
	EXPECT_EQ(b.count_acts(PF_AGENT_RUN), 1);
}

TEST(Agent, DuplicateTryIsNotRunAgain)
{
	Box b;

	b.make_ready();
	b.send_try(1);
	b.send_try(1);
	EXPECT_EQ(b.count_acts(PF_AGENT_RUN), 0);
	EXPECT_NE(b.find_act(PF_AGENT_STARTED), nullptr);
	b.run_end(1, PF_FINISH_STOP);
	b.send_try(1);
	EXPECT_EQ(b.count_acts(PF_AGENT_RUN), 0);
	EXPECT_EQ(b.refusal(), PF_REASON_NONE) << "it ran";
}

TEST(Agent, RevokeOfQueuedStartedAndUnknownTries)
{
	Box b;

	b.opts.batch_max = 1;
	b.make_ready();
	b.send_try(1);
	b.send_try(2);
	b.revoke(2);
	EXPECT_NE(b.find_act(PF_AGENT_REVOKED), nullptr);
	b.revoke(2);
	EXPECT_NE(b.find_act(PF_AGENT_REVOKED), nullptr)
		<< "the answer is repeated";
	b.revoke(3);
	EXPECT_NE(b.find_act(PF_AGENT_REVOKED), nullptr);
	b.revoke(1);
	EXPECT_NE(b.find_act(PF_AGENT_STARTED), nullptr);
	b.run_end(1, PF_FINISH_STOP);
	EXPECT_EQ(b.count_acts(PF_AGENT_RUN), 0) << "2 was revoked";
	b.revoke(1);
	EXPECT_NE(b.find_act(PF_AGENT_STARTED), nullptr);
	for (uint64_t i = 2; i <= 3; i++) {
		b.send_try(i);
		EXPECT_EQ(b.refusal(), PF_REASON_TOMBSTONE);
	}
}

TEST(Agent, TombstonesBeyondCapacityStillRefuse)
{
	Box b;

	b.opts.tombstones_max = 16;
	b.make_ready();
	for (uint64_t i = 1; i <= 1000; i++)
		b.revoke(i);
	for (uint64_t i = 1; i <= 1000; i++) {
		b.send_try(i);
		EXPECT_EQ(b.refusal(), PF_REASON_TOMBSTONE) << i;
	}
	b.tick(b.opts.tombstone_keep);
	b.send_try(1000);
	EXPECT_EQ(b.refusal(), PF_REASON_TOMBSTONE)
		<< "kept for tombstone_keep";
}

TEST(Agent, QueuedTryExpiresAtItsDeadline)
{
	Box b;
	struct pf_work w = b.work();

	b.opts.batch_max = 1;
	b.make_ready();
	b.send_try(1);
	w.deadline = b.now + 50;
	b.send_try(2, w);
	EXPECT_LE(pf_agent_next(b.agent), w.deadline);
	b.tick(50);
	EXPECT_EQ(b.refusal(), PF_REASON_EXPIRED);
	b.tick(100000);
	EXPECT_EQ(b.refusal(), PF_REASON_NONE)
		<< "running work does not expire";
}

TEST(Agent, CancelAndEntryDown)
{
	Box b;
	struct pf_work once = b.work();

	once.flags = PF_WORK_NEVER_REPEAT;
	b.opts.batch_max = 2;
	b.make_ready();
	b.send_try(1);
	b.send_try(2, once);
	b.send_try(3);
	b.send_id(PF_AGENT_CANCEL, 3);
	EXPECT_EQ(b.refusal(), PF_REASON_CANCELLED);
	b.send_try(4);
	b.send_id(PF_AGENT_CANCEL, 1);
	EXPECT_NE(b.find_act(PF_AGENT_STOP), nullptr);
	EXPECT_EQ(b.count_acts(PF_AGENT_RUN), 0) << "1 keeps its batch slot";
	b.run_end(1, PF_FINISH_CANCELLED);
	EXPECT_EQ(b.find_act(PF_AGENT_DONE)->u.done.finish_reason,
		  PF_FINISH_CANCELLED);
	EXPECT_EQ(b.count_acts(PF_AGENT_RUN), 1);
	b.send_try(5);
	b.step(PF_AGENT_ENTRY_DOWN);
	ASSERT_EQ(b.count_acts(PF_AGENT_STOP), 1) << "never-repeat runs finish";
	EXPECT_EQ(b.find_act(PF_AGENT_STOP)->u.id.request, 4u);
	EXPECT_EQ(b.stats().queued, 0u);
}

TEST(Agent, UnansweredStopIsRepeated)
{
	Box b;

	b.make_ready();
	b.send_try(1);
	b.send_id(PF_AGENT_CANCEL, 1);
	b.tick(b.opts.order_timeout);
	EXPECT_EQ(b.count_acts(PF_AGENT_STOP), 1);
	EXPECT_EQ(b.stats().committed_bytes, 1110)
		<< "the run may still hold its memory";
}

TEST(Agent, EngineCancelIsResumedThreeTimesThenLost)
{
	Box b;
	struct pf_work once = b.work();

	once.flags = PF_WORK_NEVER_REPEAT;
	b.make_ready();
	b.send_try(1);
	b.tokens(1, 0, 5);
	for (int i = 0; i < 3; i++) {
		b.run_end(1, PF_FINISH_CANCELLED, 5);
		ASSERT_EQ(b.count_acts(PF_AGENT_RUN), 1);
		EXPECT_EQ(b.find_act(PF_AGENT_RUN)->u.run.offset, 5u);
	}
	b.run_end(1, PF_FINISH_CANCELLED, 5);
	EXPECT_EQ(b.find_act(PF_AGENT_LOST)->u.lost.reason, PF_REASON_BACKEND);
	b.send_try(2, once);
	b.run_end(2, PF_FINISH_CANCELLED);
	EXPECT_EQ(b.find_act(PF_AGENT_LOST)->u.lost.reason,
		  PF_REASON_OUTCOME_UNKNOWN);
}

TEST(Agent, DrainRefusesQueuedAndFinishesRunning)
{
	Box b;

	b.opts.batch_max = 1;
	b.make_ready();
	b.send_try(1);
	b.send_try(2);
	b.step(PF_AGENT_DRAIN);
	EXPECT_EQ(b.refusal(), PF_REASON_LEAVING);
	ASSERT_NE(b.find_act(PF_AGENT_REPORT), nullptr);
	EXPECT_TRUE(b.find_act(PF_AGENT_REPORT)->u.report.leaving);
	EXPECT_EQ(b.count_acts(PF_AGENT_DRAINED), 0);
	b.send_try(3);
	EXPECT_EQ(b.refusal(), PF_REASON_LEAVING);
	b.run_end(1, PF_FINISH_STOP);
	EXPECT_EQ(b.count_acts(PF_AGENT_DRAINED), 1);
	b.step(PF_AGENT_DRAIN);
	EXPECT_EQ(b.count_acts(PF_AGENT_DRAINED), 0);
}

TEST(Agent, CrashLosesRunningAndRefusesQueued)
{
	Box b;

	b.opts.batch_max = 1;
	b.make_ready();
	b.send_try(1);
	b.tokens(1, 0, 7);
	b.send_try(2);
	b.step(PF_AGENT_ENGINE_DOWN);
	ASSERT_NE(b.find_act(PF_AGENT_LOST), nullptr);
	EXPECT_EQ(b.find_act(PF_AGENT_LOST)->u.lost.reason, PF_REASON_CRASHED);
	EXPECT_EQ(b.find_act(PF_AGENT_LOST)->u.lost.produced, 7u);
	EXPECT_EQ(b.refusal(), PF_REASON_NOT_READY);
	EXPECT_FALSE(b.find_act(PF_AGENT_REPORT)->u.report.ready);
	EXPECT_EQ(b.stats().committed_bytes, 0);
	b.engine_up({ { MODEL_A, PF_ITEM_RESIDENT, 1000 } });
	EXPECT_TRUE(b.find_act(PF_AGENT_REPORT)->u.report.ready);
	b.send_try(3);
	EXPECT_EQ(b.count_acts(PF_AGENT_RUN), 1);
}

struct Plain : Box {
	Plain()
	{
		opts.kind = PF_ENDPOINT_PLAIN;
		opts.memory_bytes = 0;
		opts.batch_max = 2;
		make_agent();
		engine_up({});
	}
	struct pf_work call(uint64_t key)
	{
		struct pf_work w = work(0, 0);

		w.flags = PF_WORK_PLAIN | PF_WORK_NEVER_REPEAT;
		w.idem_key = key;
		return w;
	}
};

TEST(AgentClaim, HandlesEachAnswerOfTheLog)
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

		b.send_try(1, b.call(55));
		EXPECT_EQ(b.count_acts(PF_AGENT_CLAIM), 1);
		EXPECT_EQ(b.count_acts(PF_AGENT_RUN), 0);
		b.claimed(1, c.granted, c.reason);
		ASSERT_NE(b.find_act(c.want), nullptr) << c.want;
		EXPECT_EQ(b.acts[0].type, c.want);
		b.claimed(1, true);
		EXPECT_TRUE(b.acts.empty()) << "a duplicate answer";
	}
}

TEST(AgentClaim, RevokedWhilePendingIsVoided)
{
	for (bool granted : { true, false }) {
		Plain b;

		b.send_try(1, b.call(55));
		b.revoke(1);
		EXPECT_NE(b.find_act(PF_AGENT_REVOKED), nullptr);
		b.send_try(1, b.call(55));
		EXPECT_EQ(b.refusal(), PF_REASON_TOMBSTONE);
		b.claimed(1, granted, PF_REASON_STORE_AWAY);
		EXPECT_EQ(b.count_acts(PF_AGENT_VOID), granted);
		EXPECT_EQ(b.count_acts(PF_AGENT_RUN), 0);
	}
}

TEST(AgentClaim, WaitsForTheLogUntilTheDeadline)
{
	Plain b;
	struct pf_work w = b.call(55);

	w.deadline = b.now + 100;
	b.send_try(1, w);
	b.tick(99);
	EXPECT_EQ(b.refusal(), PF_REASON_NONE);
	b.tick(1);
	EXPECT_EQ(b.refusal(), PF_REASON_EXPIRED);
	b.step(PF_AGENT_DRAIN);
	EXPECT_EQ(b.count_acts(PF_AGENT_DRAINED), 0)
		<< "the claim is still pending";
	b.claimed(1, true);
	EXPECT_EQ(b.count_acts(PF_AGENT_VOID), 1);
	EXPECT_EQ(b.count_acts(PF_AGENT_DRAINED), 1);
}

TEST(AgentClaim, NoClaimWithoutAKey)
{
	Plain b;

	b.send_try(1, b.call(0));
	EXPECT_EQ(b.count_acts(PF_AGENT_RUN), 1);
	b.send_id(PF_AGENT_CANCEL, 1);
	EXPECT_EQ(b.count_acts(PF_AGENT_STOP), 0)
		<< "a never-repeat run finishes";
	b.step(PF_AGENT_ENGINE_DOWN);
	EXPECT_NE(b.find_act(PF_AGENT_LOST), nullptr);
}

TEST(AgentQueue, SuspectsRunAlone)
{
	Box b;
	struct pf_work w = b.work();

	w.flags = PF_WORK_SUSPECT;
	b.make_ready();
	b.send_try(1);
	b.send_try(2, w);
	EXPECT_EQ(b.count_acts(PF_AGENT_RUN), 0);
	b.tick(2000);
	b.send_try(3);
	EXPECT_EQ(b.count_acts(PF_AGENT_RUN), 0)
		<< "the waiting suspect goes first";
	b.run_end(1, PF_FINISH_STOP);
	ASSERT_EQ(b.count_acts(PF_AGENT_RUN), 1);
	EXPECT_EQ(b.find_act(PF_AGENT_RUN)->u.run.id.request, 2u);
	b.run_end(2, PF_FINISH_STOP);
	EXPECT_EQ(b.find_act(PF_AGENT_RUN)->u.run.id.request, 3u);
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
		{ "arrival", { 0, 0, NO }, { 0, 0, NO }, 0, 2 },
		{ "priority", { 2, 0, NO }, { 0, 0, NO }, 0, 3 },
		{ "age outweighs priority",
		  { 1, 0, NO },
		  { 0, 0, NO },
		  6000,
		  2 },
		{ "deferrable goes last",
		  { 0, PF_WORK_DEFERRABLE, NO },
		  { 0, 0, NO },
		  0,
		  3 },
		{ "less slack", { 0, 0, NO }, { 0, 0, 300 }, 0, 3 },
		{ "late goes last", { 0, 0, -1 }, { 0, 0, 300 }, 0, 3 },
	};

	for (auto &c : cases) {
		SCOPED_TRACE(c.name);
		Box b;

		b.opts.batch_max = 1;
		b.opts.queue_policy = PF_QUEUE_VALUE;
		b.make_ready();
		b.send_try(1);
		for (uint64_t i : { 2, 3 }) {
			const Wait &x = i == 2 ? c.first : c.second;
			struct pf_work w = b.work();

			w.priority = x.priority;
			w.flags = x.flags;
			w.first_token_objective = b.now + x.first_in;
			b.send_try(i, w);
			b.now += i == 2 ? c.between : 0;
		}
		b.run_end(1, PF_FINISH_STOP);
		ASSERT_EQ(b.count_acts(PF_AGENT_RUN), 1);
		EXPECT_EQ(b.find_act(PF_AGENT_RUN)->u.run.id.request, c.want);
	}
}
