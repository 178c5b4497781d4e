// Entry core: the life cycle of a request under failures.
#include "tests/entry_rig.h"

struct EntryLifecycle : EntryRig {
	// Two engines and two plain services.
	void bring_all_up()
	{
		start_core();
		for (uint64_t a :
		     { AGENT_A, AGENT_B, AGENT_PLAIN_A, AGENT_PLAIN_B })
			bring_up(a);
	}

	void link_down(uint64_t agent)
	{
		step(msg(PF_ENTRY_LINK_DOWN, agent));
	}

	void agent_leaves(uint64_t agent)
	{
		step(msg(PF_ENTRY_LEAVING, agent));
	}

	void caller_gone(uint64_t id)
	{
		pf_entry_msg m = msg(PF_ENTRY_CALLER_GONE);

		m.u.request = id;
		step(m);
	}
};

TEST_F(EntryLifecycle, CompleteAnswerIsDeliveredAndEndsOnce)
{
	bring_all_up();
	Act t = arrive_and_get_try(1, work());
	EXPECT_EQ(t.id.attempt, 1u);
	send_id(PF_ENTRY_STARTED, t);
	piece(t, 0, 3);
	EXPECT_EQ(find_act(PF_ENTRY_DELIVER).deliver.count, 3u);
	piece(t, 3, 2);
	EXPECT_EQ(find_act(PF_ENTRY_DELIVER).deliver.offset, 3u);
	done(t, 5);
	expect_end(1, PF_REASON_NONE, PF_RAN);
	EXPECT_EQ(find_act(PF_ENTRY_END).end.total, 5u);
	EXPECT_EQ(stats().open, 0u);
	done(t, 5);
	EXPECT_EQ(acts.size(), 0u);
}

enum class Kind { Repeatable, RepeatableCall, CallWithoutKey, CallWithKey };
enum class Cut { Down, Restart, Lost };

struct CutCase {
	Kind kind;
	Cut cut;
	bool started;
	uint32_t tokens; // delivered before the cut
	pf_reason end; // NONE: resumed elsewhere
};

class EntryCut : public EntryLifecycle,
		 public ::testing::WithParamInterface<CutCase>
{
};

// A lost link, a restart or LOST cuts off a try. A never-repeat call without a
// key may have run and must not be sent again.
TEST_P(EntryCut, ResendsElsewhereUnlessItCouldRunTwice)
{
	const CutCase &c = GetParam();

	bring_all_up();
	pf_work w = c.kind == Kind::Repeatable       ? work()
		    : c.kind == Kind::RepeatableCall ? plain_call(false)
		    : c.kind == Kind::CallWithKey    ? plain_call(true, 7)
						     : plain_call(true);
	Act t = arrive_and_get_try(1, w);
	if (c.started)
		send_id(PF_ENTRY_STARTED, t);
	if (c.tokens)
		piece(t, 0, c.tokens);
	if (c.cut == Cut::Down)
		link_down(t.agent);
	else if (c.cut == Cut::Restart)
		link_up(t.agent, 2);
	else
		lost(t, PF_REASON_LINK);
	if (c.end != PF_REASON_NONE) {
		expect_end(1, c.end, PF_RAN_UNKNOWN);
		return;
	}
	EXPECT_EQ(count_acts(PF_ENTRY_END), 0u);
	if (count_acts(PF_ENTRY_TRY) == 0)
		run_timers(3000);
	Act u = find_act(PF_ENTRY_TRY);
	EXPECT_NE(u.agent, t.agent);
	EXPECT_EQ(u.id.attempt, 2u);
	EXPECT_EQ(u.work.offset, c.tokens);
}

INSTANTIATE_TEST_SUITE_P(
	Table, EntryCut,
	::testing::Values(
		CutCase{ Kind::Repeatable, Cut::Down, false, 0,
			 PF_REASON_NONE },
		CutCase{ Kind::Repeatable, Cut::Down, true, 5, PF_REASON_NONE },
		CutCase{ Kind::Repeatable, Cut::Restart, true, 5,
			 PF_REASON_NONE },
		CutCase{ Kind::Repeatable, Cut::Lost, true, 5, PF_REASON_NONE },
		CutCase{ Kind::RepeatableCall, Cut::Down, true, 0,
			 PF_REASON_NONE },
		CutCase{ Kind::CallWithoutKey, Cut::Down, false, 0,
			 PF_REASON_OUTCOME_UNKNOWN },
		CutCase{ Kind::CallWithoutKey, Cut::Down, true, 0,
			 PF_REASON_OUTCOME_UNKNOWN },
		CutCase{ Kind::CallWithoutKey, Cut::Restart, false, 0,
			 PF_REASON_OUTCOME_UNKNOWN },
		CutCase{ Kind::CallWithoutKey, Cut::Lost, true, 0,
			 PF_REASON_OUTCOME_UNKNOWN }));

// Only the owner of the claim shard can tell whether a lost call ran.
TEST_F(EntryLifecycle, CallWithKeyGoesToTheOwnerOfItsShard)
{
	bring_all_up();
	report(AGENT_PLAIN_B, {});
	Act t = arrive_and_get_try(1, plain_call(true, 7));
	EXPECT_EQ(t.agent, AGENT_PLAIN_A);
	link_down(AGENT_PLAIN_A);
	run_timers(3000);
	EXPECT_EQ(count_acts(PF_ENTRY_TRY), 0u);
	report(AGENT_PLAIN_B, { { SHARD, PF_ITEM_RESIDENT } });
	Act u = find_act(PF_ENTRY_TRY);
	EXPECT_EQ(u.agent, AGENT_PLAIN_B);
	lost(u, PF_REASON_OUTCOME_UNKNOWN);
	expect_end(1, PF_REASON_OUTCOME_UNKNOWN, PF_RAN_UNKNOWN);
}

struct PieceCase {
	const char *name;
	uint32_t offset, count; // of the second piece; the first has 0..4
	uint32_t skip, passed; // passed 0: dropped
	bool gap; // the try is replaced
};

class EntryPiece : public EntryLifecycle,
		   public ::testing::WithParamInterface<PieceCase>
{
};

// Pieces may be duplicated, overlap or skip tokens.
TEST_P(EntryPiece, ForwardsEachTokenOnceInOrder)
{
	const PieceCase &c = GetParam();

	bring_all_up();
	Act t = arrive_and_get_try(1, work());
	piece(t, 0, 5);
	piece(t, c.offset, c.count);
	EXPECT_EQ(count_acts(PF_ENTRY_DELIVER), c.passed ? 1u : 0u) << c.name;
	if (c.passed) {
		EXPECT_EQ(find_act(PF_ENTRY_DELIVER).deliver.skip, c.skip);
		EXPECT_EQ(find_act(PF_ENTRY_DELIVER).deliver.count, c.passed);
		EXPECT_EQ(find_act(PF_ENTRY_DELIVER).deliver.offset, 5u);
	}
	EXPECT_EQ(count_acts(PF_ENTRY_CANCEL), c.gap ? 1u : 0u) << c.name;
	if (c.gap) {
		EXPECT_EQ(find_act(PF_ENTRY_TRY).work.offset, 5u);
		piece(t, 5, 1);
		EXPECT_EQ(acts.size(), 0u) << "late piece of the replaced try";
		EXPECT_EQ(stats().late_pieces, 1u);
	}
}

INSTANTIATE_TEST_SUITE_P(
	Table, EntryPiece,
	::testing::Values(PieceCase{ "next", 5, 2, 0, 2, false },
			  PieceCase{ "doubled", 0, 5, 0, 0, false },
			  PieceCase{ "overlapping", 3, 4, 2, 2, false },
			  PieceCase{ "past", 1, 2, 0, 0, false },
			  PieceCase{ "gap", 6, 1, 0, 0, true }));

// DONE may overtake the last piece; a lost piece makes the request resume.
TEST_F(EntryLifecycle, MissingLastPieceIsAwaitedThenRequestedAgain)
{
	for (bool late : { true, false }) {
		pf_entry_free(e);
		bring_all_up();
		Act t = arrive_and_get_try(1, work());
		piece(t, 0, 5);
		done(t, 7);
		EXPECT_EQ(acts.size(), 0u);
		if (late) {
			piece(t, 5, 2);
			EXPECT_EQ(find_act(PF_ENTRY_DELIVER).deliver.count, 2u);
			expect_end(1, PF_REASON_NONE, PF_RAN);
			continue;
		}
		run_timers(opts.stall_timeout);
		EXPECT_EQ(count_acts(PF_ENTRY_END), 0u);
		EXPECT_EQ(find_act(PF_ENTRY_TRY).work.offset, 5u);
	}
}

TEST_F(EntryLifecycle, UnansweredTryIsRevokedAndResentOnlyAfterRevoked)
{
	for (bool never_repeat : { false, true }) {
		pf_entry_free(e);
		bring_all_up();
		Act t = arrive_and_get_try(1, never_repeat ? plain_call(true)
							   : work());
		run_timers(opts.try_timeout - 1);
		EXPECT_EQ(acts.size(), 0u);
		run_timers(opts.try_timeout + 1);
		EXPECT_EQ(count_acts(PF_ENTRY_REVOKE), 2u)
			<< "REVOKE is repeated";
		EXPECT_EQ(count_acts(PF_ENTRY_TRY), 0u);
		send_id(PF_ENTRY_REVOKED, t);
		run_timers(opts.backoff_max);
		EXPECT_EQ(count_acts(PF_ENTRY_TRY), 1u);
		EXPECT_EQ(count_acts(PF_ENTRY_END), 0u);
	}
}

TEST_F(EntryLifecycle, RevokeAfterStartLetsTheTryFinish)
{
	bring_all_up();
	Act t = arrive_and_get_try(1, plain_call(true));
	run_timers(opts.try_timeout);
	ASSERT_EQ(count_acts(PF_ENTRY_REVOKE), 1u);
	send_id(PF_ENTRY_STARTED, t);
	not_run(t, PF_REASON_FULL);
	EXPECT_EQ(acts.size(), 0u) << "NOT_RUN after STARTED";
	done(t, 0);
	expect_end(1, PF_REASON_NONE, PF_RAN);
}

TEST_F(EntryLifecycle, StalledStreamResumesElsewhere)
{
	bring_all_up();
	Act t = arrive_and_get_try(1, work());
	send_id(PF_ENTRY_STARTED, t);
	piece(t, 0, 4);
	run_timers(opts.stall_timeout);
	EXPECT_EQ(find_act(PF_ENTRY_CANCEL).agent, t.agent);
	Act u = find_act(PF_ENTRY_TRY);
	EXPECT_NE(u.agent, t.agent);
	EXPECT_EQ(u.work.offset, 4u);
	EXPECT_EQ(stats().resumes, 1u);
}

struct SilenceCase {
	const char *name;
	bool other_agent;
	uint32_t attempts_max;
};

class EntrySilence : public EntryLifecycle,
		     public ::testing::WithParamInterface<SilenceCase>
{
};

// A silent agent's stream was cancelled, or ended, with no agent to go on.
TEST_P(EntrySilence, StreamWaitsForItsAgentWhileNoOtherMayTakeOver)
{
	const SilenceCase &c = GetParam();

	opts.attempts_max = c.attempts_max;
	start_core();
	bring_up(AGENT_A);
	Act t = arrive_and_get_try(1, work());
	if (c.other_agent)
		bring_up(AGENT_B);
	send_id(PF_ENTRY_STARTED, t);
	piece(t, 0, 4);
	run_timers(opts.stall_timeout + 1000);
	EXPECT_EQ(count_acts(PF_ENTRY_CANCEL), 0u);
	EXPECT_EQ(count_acts(PF_ENTRY_END), 0u);
	piece(t, 4, 2);
	EXPECT_EQ(find_act(PF_ENTRY_DELIVER).deliver.offset, 4u);
	done(t, 6);
	expect_end(1, PF_REASON_NONE, PF_RAN);
	EXPECT_EQ(stats().retries, 0u);
}

INSTANTIATE_TEST_SUITE_P(
	Table, EntrySilence,
	::testing::Values(SilenceCase{ "no other agent", false, 6 },
			  SilenceCase{ "no attempts left", true, 1 }));

// An agent that stays silent would hold a request without a deadline for ever.
TEST_F(EntryLifecycle, StreamOfASilentAgentEndsAfterSeveralStalls)
{
	opts.attempts_max = 1;
	bring_all_up();
	pf_work w = work();

	w.deadline = PF_NEVER;
	Act t = arrive_and_get_try(1, w);
	send_id(PF_ENTRY_STARTED, t);
	piece(t, 0, 4);
	run_timers(4 * opts.stall_timeout);
	EXPECT_EQ(find_act(PF_ENTRY_CANCEL).agent, t.agent);
	expect_end(1, PF_REASON_RETRY_BUDGET, PF_RAN);
}

struct DeadlineCase {
	const char *name;
	bool sent, started, refused;
	pf_ran ran;
};

class EntryDeadline : public EntryLifecycle,
		      public ::testing::WithParamInterface<DeadlineCase>
{
};

TEST_P(EntryDeadline, EndsOnTimeAndReportsWhetherItRan)
{
	const DeadlineCase &c = GetParam();
	Act t = {};

	start_core();
	if (c.sent)
		bring_up(AGENT_PLAIN_A);
	pf_work w = plain_call(true);
	w.deadline = now + 2000;
	arrive(1, w);
	if (c.sent)
		t = find_act(PF_ENTRY_TRY);
	if (c.started)
		send_id(PF_ENTRY_STARTED, t);
	if (c.refused) {
		not_run(t, PF_REASON_LEAVING);
		EXPECT_EQ(count_acts(PF_ENTRY_END), 0u);
	}
	run_timers(1999);
	EXPECT_EQ(count_acts(PF_ENTRY_END), 0u) << c.name;
	run_timers(1);
	expect_end(1, PF_REASON_EXPIRED, c.ran);
}

INSTANTIATE_TEST_SUITE_P(
	Table, EntryDeadline,
	::testing::Values(
		DeadlineCase{ "waiting", false, false, false, PF_NOT_RUN },
		DeadlineCase{ "sent", true, false, false, PF_RAN_UNKNOWN },
		DeadlineCase{ "started", true, true, false, PF_RAN },
		DeadlineCase{ "handed back", true, false, true, PF_NOT_RUN }));

TEST_F(EntryLifecycle, CallerGoneStopsTheTryWithoutAnEnd)
{
	struct {
		bool never_repeat, started;
		size_t cancels, revokes;
	} cases[] = { { false, false, 1, 0 },
		      { false, true, 1, 0 },
		      { true, false, 0, 1 },
		      { true, true, 0, 0 } };
	uint64_t id = 0;

	bring_all_up();
	for (auto &c : cases) {
		Act t = arrive_and_get_try(
			++id, c.never_repeat ? plain_call(true) : work());
		if (c.started)
			send_id(PF_ENTRY_STARTED, t);
		caller_gone(id);
		EXPECT_EQ(count_acts(PF_ENTRY_CANCEL), c.cancels);
		EXPECT_EQ(count_acts(PF_ENTRY_REVOKE), c.revokes);
		EXPECT_EQ(count_acts(PF_ENTRY_END), 0u);
		EXPECT_EQ(stats().open, 0u);
		done(t, 0);
		EXPECT_EQ(acts.size(), 0u);
	}
}

TEST_F(EntryLifecycle, RetryBudgetBoundsTheTries)
{
	const uint64_t n = 60;
	uint64_t ends = 0;

	opts.attempts_max = 100;
	bring_all_up();
	for (uint64_t id = 1; id <= n; id++) {
		pf_work w = work();

		w.deadline = PF_NEVER;
		arrive(id, w);
		for (int i = 0; i < 200 && !count_acts(PF_ENTRY_END); i++) {
			if (count_acts(PF_ENTRY_TRY)) {
				Act t = find_act(PF_ENTRY_TRY);
				lost(t, PF_REASON_BACKEND);
			} else {
				run_timers(500);
				report(AGENT_A,
				       { { MODEL, PF_ITEM_RESIDENT } });
			}
		}
		if (count_acts(PF_ENTRY_END)) {
			EXPECT_EQ(find_act(PF_ENTRY_END).end.reason,
				  PF_REASON_RETRY_BUDGET);
			ends++;
		}
	}
	EXPECT_EQ(ends, n);
	size_t tries = 0;
	for (const Act &a : all_acts)
		tries += a.type == PF_ENTRY_TRY;
	EXPECT_LE(tries, n + n * opts.retry_ratio + 10);
}

// Without retry budget a deferrable request is retried rarely, not ended.
TEST_F(EntryLifecycle, DeferrableRequestOutlastsTheRetryBudget)
{
	pf_work w = work();
	uint64_t tries = 0;

	opts.attempts_max = 3;
	bring_all_up();
	w.flags |= PF_WORK_DEFERRABLE;
	w.deadline = now + 300000;
	arrive(1, w);
	for (int i = 0; i < 200; i++) {
		size_t seen = all_acts.size();

		for (size_t k = 0; k < seen; k++) {
			Act t = all_acts[k];

			if (t.type != PF_ENTRY_TRY || t.id.attempt <= tries)
				continue;
			tries = t.id.attempt;
			if (i > 150) {
				done(t, 0);
				expect_end(1, PF_REASON_NONE, PF_RAN);
				i = 200;
				break;
			}
			lost(t, PF_REASON_BACKEND);
		}
		ASSERT_EQ(stats().completed, i >= 200 ? 1u : 0u);
		run_timers(500);
		report(AGENT_A, { { MODEL, PF_ITEM_RESIDENT } });
	}
	EXPECT_GT(tries, 3u);
	EXPECT_LE(tries, 40u);
}

TEST_F(EntryLifecycle, ReusedKeyIsNotRetried)
{
	bring_all_up();
	Act t = arrive_and_get_try(1, plain_call(true, 77));
	not_run(t, PF_REASON_KEY_REUSED);
	ASSERT_EQ(count_acts(PF_ENTRY_END), 1u);
	EXPECT_EQ(find_act(PF_ENTRY_END).end.reason, PF_REASON_KEY_REUSED);
	EXPECT_EQ(find_act(PF_ENTRY_END).end.ran, PF_NOT_RUN);
}

// NOT_RESIDENT for a claim shard means that it moved, which is no fault.
// An agent that has an older configuration turned a declared model into 404.
TEST_F(EntryLifecycle, ModelUnknownToAnAgentIsTriedElsewhere)
{
	bring_all_up();
	Act t = arrive_and_get_try(1, work());
	not_run(t, PF_REASON_UNKNOWN_MODEL);
	EXPECT_EQ(count_acts(PF_ENTRY_END), 0u);
	run_timers(opts.backoff_max);
	Act u = find_act(PF_ENTRY_TRY);
	EXPECT_NE(u.agent, t.agent);
	done(u, 0);
	expect_end(1, PF_REASON_NONE, PF_RAN);
	// No agent knows it: bounded like other failures.
	for (uint64_t id = 2; id < 10; id++) {
		pf_work w = work();

		w.deadline = PF_NEVER;
		arrive(id, w);
		for (int i = 0; i < 100 && !count_acts(PF_ENTRY_END); i++) {
			if (count_acts(PF_ENTRY_TRY))
				not_run(find_act(PF_ENTRY_TRY),
					PF_REASON_UNKNOWN_MODEL);
			else
				run_timers(500);
		}
		expect_end(id, PF_REASON_RETRY_BUDGET, PF_NOT_RUN);
	}
}

TEST_F(EntryLifecycle, MovedShardCostsNoRetryBudget)
{
	bring_all_up();
	arrive(1, plain_call(true, 77));
	for (int i = 0; i < 40; i++) {
		if (count_acts(PF_ENTRY_TRY))
			not_run(find_act(PF_ENTRY_TRY), PF_REASON_NOT_RESIDENT);
		else
			run_timers(500);
		ASSERT_EQ(count_acts(PF_ENTRY_END), 0u);
	}
}

TEST_F(EntryLifecycle, LeavingAgentGetsNoTriesAndFailsNone)
{
	bring_all_up();
	std::vector<Act> sent;
	for (uint64_t id = 1; id <= 20; id++) {
		arrive(id, work());
		if (count_acts(PF_ENTRY_TRY))
			sent.push_back(find_act(PF_ENTRY_TRY));
	}
	agent_leaves(AGENT_A);
	for (const Act &t : sent) {
		if (t.agent != AGENT_A)
			continue;
		not_run(t, PF_REASON_LEAVING);
		EXPECT_EQ(count_acts(PF_ENTRY_END), 0u);
	}
	all_acts.clear();
	for (const Act &t : sent) {
		if (t.agent == AGENT_B)
			done(t, 0);
	}
	report(AGENT_A, { { MODEL, PF_ITEM_RESIDENT } });
	report(AGENT_B, { { MODEL, PF_ITEM_RESIDENT } });
	run_timers(opts.backoff_max);
	size_t moved = 0;
	for (const Act &a : all_acts) {
		if (a.type != PF_ENTRY_TRY)
			continue;
		EXPECT_EQ(a.agent, AGENT_B);
		moved++;
	}
	EXPECT_GT(moved, 0u);
	EXPECT_EQ(stats().refused + stats().failed, 0u);
	bring_up(AGENT_A, 8, 2);
	EXPECT_EQ(arrive_and_get_try(99, work()).agent, AGENT_A)
		<< "after its restart";
}

TEST_F(EntryLifecycle, FullAgentCostsNoRetryBudgetAndIsAvoided)
{
	opts.attempts_max = 2;
	start_core();
	bring_up(AGENT_A);
	pf_work w = work();
	w.deadline = PF_NEVER;
	arrive(1, w);
	for (int i = 0; i < 30; i++) {
		not_run(find_act(PF_ENTRY_TRY), PF_REASON_FULL);
		EXPECT_EQ(acts.size(), 0u);
		run_timers(opts.backoff_max);
		report(AGENT_A, { { MODEL, PF_ITEM_RESIDENT } });
	}
	EXPECT_EQ(stats().open, 1u);
}

TEST_F(EntryLifecycle, RefusedTriesDoNotCountAsLoad)
{
	pf_work w = work();

	w.deadline = PF_NEVER;
	start_core();
	bring_up(AGENT_A, 2);
	for (int i = 0; i < 50; i++) {
		arrive(100 + i, w);
		ASSERT_EQ(count_acts(PF_ENTRY_TRY), 1u) << i;
		not_run(find_act(PF_ENTRY_TRY), PF_REASON_TOO_LONG);
		ASSERT_EQ(count_acts(PF_ENTRY_END), 1u);
		report(AGENT_A, { { MODEL, PF_ITEM_RESIDENT } }, 0, 2);
	}
}

TEST_F(EntryLifecycle, ClosingLinkFinishesItsTriesAndGetsNoOthers)
{
	start_core();
	bring_up(AGENT_A);
	Act t = arrive_and_get_try(1, work());
	step(msg(PF_ENTRY_LINK_CLOSING, AGENT_A));
	EXPECT_EQ(acts.size(), 0u);
	report(AGENT_A, { { MODEL, PF_ITEM_RESIDENT } }, 1);
	arrive(2, work());
	EXPECT_EQ(count_acts(PF_ENTRY_TRY), 0u);
	done(t, 0);
	expect_end(1, PF_REASON_NONE, PF_RAN);
	run_timers(1000);
	EXPECT_EQ(count_acts(PF_ENTRY_TRY), 0u);
	link_up(AGENT_A);
	run_timers(1000);
	EXPECT_EQ(find_act(PF_ENTRY_TRY).id.request, 2u);
}

TEST_F(EntryLifecycle, GivingUpEndsEachRequestOnceAndStartsNone)
{
	start_core();
	bring_up(AGENT_A, 1);
	bring_up(AGENT_PLAIN_A, 1);
	Act t = arrive_and_get_try(1, work());
	send_id(PF_ENTRY_STARTED, t);
	arrive(2, work()); // waits
	arrive_and_get_try(3, plain_call(true));
	arrive(4, plain_call(true)); // waits
	step(msg(PF_ENTRY_DRAIN));
	step(msg(PF_ENTRY_GIVE_UP));
	EXPECT_EQ(count_acts(PF_ENTRY_TRY), 0u);
	EXPECT_EQ(count_acts(PF_ENTRY_END), 4u);
	const struct {
		pf_reason reason;
		pf_ran ran;
	} ends[] = { {},
		     { PF_REASON_EXPIRED, PF_RAN },
		     { PF_REASON_LEAVING, PF_NOT_RUN },
		     { PF_REASON_OUTCOME_UNKNOWN, PF_RAN_UNKNOWN },
		     { PF_REASON_LEAVING, PF_NOT_RUN } };
	for (const Act &a : acts) {
		if (a.type != PF_ENTRY_END)
			continue;
		EXPECT_EQ(a.end.reason, ends[a.end.request].reason);
		EXPECT_EQ(a.end.ran, ends[a.end.request].ran);
	}
	EXPECT_EQ(stats().open, 0u);
	EXPECT_EQ(count_acts(PF_ENTRY_DRAINED), 1u);
}

TEST_F(EntryLifecycle, LateRefusalMarksTheAgentAsLeaving)
{
	start_core();
	bring_up(AGENT_A);
	Act t = arrive_and_get_try(1, work());
	send_id(PF_ENTRY_STARTED, t);
	piece(t, 0, 1);
	done(t, 1);
	not_run(t, PF_REASON_LEAVING);
	arrive(2, work());
	EXPECT_EQ(count_acts(PF_ENTRY_TRY), 0u);
}

TEST_F(EntryLifecycle, DrainFinishesOpenRequestsAndRefusesNewOnes)
{
	bring_all_up();
	Act t = arrive_and_get_try(1, work());
	step(msg(PF_ENTRY_DRAIN));
	EXPECT_EQ(acts.size(), 0u);
	arrive(2, work());
	expect_end(2, PF_REASON_LEAVING, PF_NOT_RUN);
	EXPECT_GT(find_act(PF_ENTRY_END).end.retry_after, 0);
	done(t, 0);
	EXPECT_EQ(count_acts(PF_ENTRY_DRAINED), 1u);
	step(msg(PF_ENTRY_TICK));
	EXPECT_EQ(acts.size(), 0u);
}
