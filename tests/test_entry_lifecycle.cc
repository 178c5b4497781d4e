// Entry core: the life of a request, failure by failure.
#include "tests/entry_rig.h"

struct EntryLifecycle : EntryRig {
	// Two engines and two plain services are up.
	void all_up()
	{
		start();
		for (uint64_t a : { AGENT_A, AGENT_B, AGENT_P, AGENT_Q })
			ready(a);
	}

	void down(uint64_t agent)
	{
		step(msg(PF_ENTRY_LINK_DOWN, agent));
	}

	void leave(uint64_t agent)
	{
		step(msg(PF_ENTRY_LEAVING, agent));
	}

	void gone(uint64_t id)
	{
		pf_entry_msg m = msg(PF_ENTRY_CALLER_GONE);

		m.u.request = id;
		step(m);
	}
};

TEST_F(EntryLifecycle, WholeAnswerIsDeliveredAndEnds)
{
	all_up();
	Act t = arrive_sent(1, work());
	EXPECT_EQ(t.id.attempt, 1u);
	say(PF_ENTRY_STARTED, t);
	piece(t, 0, 3);
	EXPECT_EQ(find(PF_ENTRY_DELIVER).deliver.count, 3u);
	piece(t, 3, 2);
	EXPECT_EQ(find(PF_ENTRY_DELIVER).deliver.offset, 3u);
	done(t, 5);
	expect_end(1, PF_REASON_NONE, PF_RAN);
	EXPECT_EQ(find(PF_ENTRY_END).end.total, 5u);
	EXPECT_EQ(stats().active, 0u);
	done(t, 5);
	EXPECT_EQ(acts.size(), 0u);
}

enum class Kind { Repeatable, Lookup, NoKey, Keyed };
enum class Cut { Down, Restart, Lost };

struct CutCase {
	Kind kind;
	Cut cut;
	bool started;
	uint32_t tokens; // delivered before
	pf_reason end; // NONE: it goes on elsewhere
};

class EntryCut : public EntryLifecycle,
		 public ::testing::WithParamInterface<CutCase>
{
};

TEST_P(EntryCut, NothingRunsTwiceAndNothingIsLost)
{
	const CutCase &c = GetParam();

	all_up();
	pf_work w = c.kind == Kind::Repeatable ? work()
		    : c.kind == Kind::Lookup   ? call(false)
		    : c.kind == Kind::Keyed    ? call(true, 7)
					       : call(true);
	Act t = arrive_sent(1, w);
	if (c.started)
		say(PF_ENTRY_STARTED, t);
	if (c.tokens)
		piece(t, 0, c.tokens);
	if (c.cut == Cut::Down)
		down(t.agent);
	else if (c.cut == Cut::Restart)
		up(t.agent, 2);
	else
		lost(t, PF_REASON_LINK);
	if (c.end != PF_REASON_NONE) {
		expect_end(1, c.end, PF_RAN_UNKNOWN);
		return;
	}
	EXPECT_EQ(count(PF_ENTRY_END), 0u);
	if (count(PF_ENTRY_TRY) == 0)
		run(3000);
	Act u = find(PF_ENTRY_TRY);
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
		CutCase{ Kind::Lookup, Cut::Down, true, 0, PF_REASON_NONE },
		CutCase{ Kind::NoKey, Cut::Down, false, 0,
			 PF_REASON_OUTCOME_UNKNOWN },
		CutCase{ Kind::NoKey, Cut::Down, true, 0,
			 PF_REASON_OUTCOME_UNKNOWN },
		CutCase{ Kind::NoKey, Cut::Restart, false, 0,
			 PF_REASON_OUTCOME_UNKNOWN },
		CutCase{ Kind::NoKey, Cut::Lost, true, 0,
			 PF_REASON_OUTCOME_UNKNOWN }));

TEST_F(EntryLifecycle, KeyedCallFollowsItsShard)
{
	all_up();
	report(AGENT_Q, {});
	Act t = arrive_sent(1, call(true, 7));
	EXPECT_EQ(t.agent, AGENT_P);
	down(AGENT_P);
	run(3000);
	EXPECT_EQ(count(PF_ENTRY_TRY), 0u);
	report(AGENT_Q, { { SHARD, PF_ITEM_RESIDENT } });
	Act u = find(PF_ENTRY_TRY);
	EXPECT_EQ(u.agent, AGENT_Q);
	lost(u, PF_REASON_OUTCOME_UNKNOWN);
	expect_end(1, PF_REASON_OUTCOME_UNKNOWN, PF_RAN_UNKNOWN);
}

struct PieceCase {
	const char *name;
	uint32_t offset, count; // of the second piece, after tokens 0..4
	uint32_t skip, passed; // passed 0: dropped
	bool gap;
};

class EntryPiece : public EntryLifecycle,
		   public ::testing::WithParamInterface<PieceCase>
{
};

TEST_P(EntryPiece, OnlyTheNextTokensPass)
{
	const PieceCase &c = GetParam();

	all_up();
	Act t = arrive_sent(1, work());
	piece(t, 0, 5);
	piece(t, c.offset, c.count);
	EXPECT_EQ(count(PF_ENTRY_DELIVER), c.passed ? 1u : 0u) << c.name;
	if (c.passed) {
		EXPECT_EQ(find(PF_ENTRY_DELIVER).deliver.skip, c.skip);
		EXPECT_EQ(find(PF_ENTRY_DELIVER).deliver.count, c.passed);
		EXPECT_EQ(find(PF_ENTRY_DELIVER).deliver.offset, 5u);
	}
	EXPECT_EQ(count(PF_ENTRY_CANCEL), c.gap ? 1u : 0u) << c.name;
	if (c.gap) {
		EXPECT_EQ(find(PF_ENTRY_TRY).work.offset, 5u);
		piece(t, 5, 1);
		EXPECT_EQ(acts.size(), 0u) << "late piece of the old try";
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

// The end may overtake the last piece; a piece that stays out is asked for.
TEST_F(EntryLifecycle, MissingLastPieceIsWaitedForThenAskedForAgain)
{
	for (bool late : { true, false }) {
		pf_entry_free(e);
		all_up();
		Act t = arrive_sent(1, work());
		piece(t, 0, 5);
		done(t, 7);
		EXPECT_EQ(acts.size(), 0u);
		if (late) {
			piece(t, 5, 2);
			EXPECT_EQ(find(PF_ENTRY_DELIVER).deliver.count, 2u);
			expect_end(1, PF_REASON_NONE, PF_RAN);
			continue;
		}
		run(opts.stall_timeout);
		EXPECT_EQ(count(PF_ENTRY_END), 0u);
		EXPECT_EQ(find(PF_ENTRY_TRY).work.offset, 5u);
	}
}

TEST_F(EntryLifecycle, SilentTryIsRevokedAndOnlyRevokedResendsIt)
{
	for (bool never_repeat : { false, true }) {
		pf_entry_free(e);
		all_up();
		Act t = arrive_sent(1, never_repeat ? call(true) : work());
		run(opts.try_timeout - 1);
		EXPECT_EQ(acts.size(), 0u);
		run(opts.try_timeout + 1);
		EXPECT_EQ(count(PF_ENTRY_REVOKE), 2u) << "asked again";
		EXPECT_EQ(count(PF_ENTRY_TRY), 0u);
		say(PF_ENTRY_REVOKED, t);
		run(opts.backoff_max);
		EXPECT_EQ(count(PF_ENTRY_TRY), 1u);
		EXPECT_EQ(count(PF_ENTRY_END), 0u);
	}
}

TEST_F(EntryLifecycle, RevokedTryThatHadStartedGoesOn)
{
	all_up();
	Act t = arrive_sent(1, call(true));
	run(opts.try_timeout);
	ASSERT_EQ(count(PF_ENTRY_REVOKE), 1u);
	say(PF_ENTRY_STARTED, t);
	not_run(t, PF_REASON_FULL);
	EXPECT_EQ(acts.size(), 0u) << "what started cannot be not run";
	done(t, 0);
	expect_end(1, PF_REASON_NONE, PF_RAN);
}

TEST_F(EntryLifecycle, StalledStreamResumesElsewhere)
{
	all_up();
	Act t = arrive_sent(1, work());
	say(PF_ENTRY_STARTED, t);
	piece(t, 0, 4);
	run(opts.stall_timeout);
	EXPECT_EQ(find(PF_ENTRY_CANCEL).agent, t.agent);
	Act u = find(PF_ENTRY_TRY);
	EXPECT_NE(u.agent, t.agent);
	EXPECT_EQ(u.work.offset, 4u);
	EXPECT_EQ(stats().resumes, 1u);
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

TEST_P(EntryDeadline, EndsAtOnceAndSaysWhetherItRan)
{
	const DeadlineCase &c = GetParam();
	Act t = {};

	start();
	if (c.sent)
		ready(AGENT_P);
	pf_work w = call(true);
	w.deadline = now + 2000;
	arrive(1, w);
	if (c.sent)
		t = find(PF_ENTRY_TRY);
	if (c.started)
		say(PF_ENTRY_STARTED, t);
	if (c.refused) {
		not_run(t, PF_REASON_LEAVING);
		EXPECT_EQ(count(PF_ENTRY_END), 0u);
	}
	run(1999);
	EXPECT_EQ(count(PF_ENTRY_END), 0u) << c.name;
	run(1);
	expect_end(1, PF_REASON_EXPIRED, c.ran);
}

INSTANTIATE_TEST_SUITE_P(
	Table, EntryDeadline,
	::testing::Values(
		DeadlineCase{ "waiting", false, false, false, PF_NOT_RUN },
		DeadlineCase{ "sent", true, false, false, PF_RAN_UNKNOWN },
		DeadlineCase{ "started", true, true, false, PF_RAN },
		DeadlineCase{ "handed back", true, false, true, PF_NOT_RUN }));

TEST_F(EntryLifecycle, CallerGoneStopsTheWorkWithoutAnEnd)
{
	struct {
		bool never_repeat, started;
		size_t cancels, revokes;
	} cases[] = { { false, false, 1, 0 },
		      { false, true, 1, 0 },
		      { true, false, 0, 1 },
		      { true, true, 0, 0 } };
	uint64_t id = 0;

	all_up();
	for (auto &c : cases) {
		Act t = arrive_sent(++id, c.never_repeat ? call(true) : work());
		if (c.started)
			say(PF_ENTRY_STARTED, t);
		gone(id);
		EXPECT_EQ(count(PF_ENTRY_CANCEL), c.cancels);
		EXPECT_EQ(count(PF_ENTRY_REVOKE), c.revokes);
		EXPECT_EQ(count(PF_ENTRY_END), 0u);
		EXPECT_EQ(stats().active, 0u);
		done(t, 0);
		EXPECT_EQ(acts.size(), 0u);
	}
}

TEST_F(EntryLifecycle, RetriesEndWithTheBudgetAndNotInAStorm)
{
	const uint64_t n = 60;
	uint64_t ends = 0;

	opts.attempts_max = 100;
	all_up();
	for (uint64_t id = 1; id <= n; id++) {
		pf_work w = work();

		w.deadline = PF_NEVER;
		arrive(id, w);
		for (int i = 0; i < 200 && !count(PF_ENTRY_END); i++) {
			if (count(PF_ENTRY_TRY)) {
				Act t = find(PF_ENTRY_TRY);
				lost(t, PF_REASON_BACKEND);
			} else {
				run(500);
				report(AGENT_A,
				       { { MODEL, PF_ITEM_RESIDENT } });
			}
		}
		if (count(PF_ENTRY_END)) {
			EXPECT_EQ(find(PF_ENTRY_END).end.reason,
				  PF_REASON_RETRY_BUDGET);
			ends++;
		}
	}
	EXPECT_EQ(ends, n);
	size_t tries = 0;
	for (const Act &a : all)
		tries += a.type == PF_ENTRY_TRY;
	EXPECT_LE(tries, n + n * opts.retry_ratio + 10);
}

// Drafts outlast the budget: they are tried again, but seldom.
TEST_F(EntryLifecycle, DeferrableWorkWaitsForTheBudget)
{
	pf_work w = work();
	uint64_t tries = 0;

	opts.attempts_max = 3;
	all_up();
	w.flags |= PF_WORK_DEFERRABLE;
	w.deadline = now + 300000;
	arrive(1, w);
	for (int i = 0; i < 200; i++) {
		size_t seen = all.size();

		for (size_t k = 0; k < seen; k++) {
			Act t = all[k];

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
		run(500);
		report(AGENT_A, { { MODEL, PF_ITEM_RESIDENT } });
	}
	EXPECT_GT(tries, 3u);
	EXPECT_LE(tries, 40u);
}

TEST_F(EntryLifecycle, AReusedKeyIsFinal)
{
	all_up();
	Act t = arrive_sent(1, call(true, 77));
	not_run(t, PF_REASON_KEY_REUSED);
	ASSERT_EQ(count(PF_ENTRY_END), 1u);
	EXPECT_EQ(find(PF_ENTRY_END).end.reason, PF_REASON_KEY_REUSED);
	EXPECT_EQ(find(PF_ENTRY_END).end.ran, PF_NOT_RUN);
}

// Refusals that cost nobody anything are no reason to give up.
TEST_F(EntryLifecycle, MovesOfAShardCostNoRetryBudget)
{
	all_up();
	arrive(1, call(true, 77));
	for (int i = 0; i < 40; i++) {
		if (count(PF_ENTRY_TRY))
			not_run(find(PF_ENTRY_TRY), PF_REASON_NOT_RESIDENT);
		else
			run(500);
		ASSERT_EQ(count(PF_ENTRY_END), 0u);
	}
}

TEST_F(EntryLifecycle, LeavingAgentGetsNothingAndCutsNothing)
{
	all_up();
	std::vector<Act> sent;
	for (uint64_t id = 1; id <= 20; id++) {
		arrive(id, work());
		if (count(PF_ENTRY_TRY))
			sent.push_back(find(PF_ENTRY_TRY));
	}
	leave(AGENT_A);
	for (const Act &t : sent) {
		if (t.agent != AGENT_A)
			continue;
		not_run(t, PF_REASON_LEAVING);
		EXPECT_EQ(count(PF_ENTRY_END), 0u);
	}
	all.clear();
	for (const Act &t : sent) {
		if (t.agent == AGENT_B)
			done(t, 0);
	}
	report(AGENT_A, { { MODEL, PF_ITEM_RESIDENT } });
	report(AGENT_B, { { MODEL, PF_ITEM_RESIDENT } });
	run(opts.backoff_max);
	size_t moved = 0;
	for (const Act &a : all) {
		if (a.type != PF_ENTRY_TRY)
			continue;
		EXPECT_EQ(a.agent, AGENT_B);
		moved++;
	}
	EXPECT_GT(moved, 0u);
	EXPECT_EQ(stats().refused + stats().failed, 0u);
	ready(AGENT_A, 8, 2);
	EXPECT_EQ(arrive_sent(99, work()).agent, AGENT_A) << "back again";
}

TEST_F(EntryLifecycle, BusyAgentCostsNoBudgetAndIsLeftAlone)
{
	opts.attempts_max = 2;
	start();
	ready(AGENT_A);
	pf_work w = work();
	w.deadline = PF_NEVER;
	arrive(1, w);
	for (int i = 0; i < 30; i++) {
		not_run(find(PF_ENTRY_TRY), PF_REASON_FULL);
		EXPECT_EQ(acts.size(), 0u);
		run(opts.backoff_max);
		report(AGENT_A, { { MODEL, PF_ITEM_RESIDENT } });
	}
	EXPECT_EQ(stats().active, 1u);
}

TEST_F(EntryLifecycle, RefusedTriesDoNotFillAnIdleAgent)
{
	pf_work w = work();

	w.deadline = PF_NEVER;
	start();
	ready(AGENT_A, 2);
	for (int i = 0; i < 50; i++) {
		arrive(100 + i, w);
		ASSERT_EQ(count(PF_ENTRY_TRY), 1u) << i;
		not_run(find(PF_ENTRY_TRY), PF_REASON_TOO_LONG);
		ASSERT_EQ(count(PF_ENTRY_END), 1u);
		report(AGENT_A, { { MODEL, PF_ITEM_RESIDENT } }, 0, 2);
	}
}

TEST_F(EntryLifecycle, LateRefusalSaysThatTheAgentLeaves)
{
	start();
	ready(AGENT_A);
	Act t = arrive_sent(1, work());
	say(PF_ENTRY_STARTED, t);
	piece(t, 0, 1);
	done(t, 1);
	not_run(t, PF_REASON_LEAVING);
	arrive(2, work());
	EXPECT_EQ(count(PF_ENTRY_TRY), 0u);
}

TEST_F(EntryLifecycle, DrainFinishesWhatIsAliveAndRefusesTheRest)
{
	all_up();
	Act t = arrive_sent(1, work());
	step(msg(PF_ENTRY_DRAIN));
	EXPECT_EQ(acts.size(), 0u);
	arrive(2, work());
	expect_end(2, PF_REASON_LEAVING, PF_NOT_RUN);
	EXPECT_GT(find(PF_ENTRY_END).end.retry_after, 0);
	done(t, 0);
	EXPECT_EQ(count(PF_ENTRY_DRAINED), 1u);
	step(msg(PF_ENTRY_TICK));
	EXPECT_EQ(acts.size(), 0u);
}
