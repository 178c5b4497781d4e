// The gate core: routing, retries, refusals and timeouts.
#include "tests/gate_rig.h"

#include <gtest/gtest.h>

namespace
{

struct Gate : ::testing::Test, GateRig {
	void SetUp() override
	{
		Start();
		Endpoint("a1", "app", "za");
		Endpoint("a2", "app", "zb");
		Endpoint("l1", "llm", "za", "m");
		Endpoint("l2", "llm", "zb", "m");
	}
	/* Skips the first retry window, when a new process has no slack. */
	void PassFirstWindow()
	{
		Tick(11000);
		acts.clear();
	}
};

// How a send ends, and the next act for each kind of route.
struct OutcomeCase {
	const char *name;
	const char *prefix;
	enum pf_gate_outcome outcome;
	int status;
	enum pf_gate_act_type next_act; /* SEND: to another endpoint */
};

struct GateSendOutcome : Gate, ::testing::WithParamInterface<OutcomeCase> {
};

TEST_P(GateSendOutcome, NextActDependsOnRouteKind)
{
	const OutcomeCase &c = GetParam();
	const char *model =
		c.prefix[1] == 't' || c.prefix[1] == 'r' ? "m" : nullptr;

	PassFirstWindow();
	Arrive(1, c.prefix, 5000, model, nullptr, model ? 100 : 0);
	ASSERT_EQ(Count(PF_GATE_SEND), 1u);
	uint64_t first = SentTo(1);
	acts.clear();
	if (c.outcome == PF_GATE_BROKEN)
		Events(1);
	Ended(1, c.outcome, c.status);
	const GateAct *a = Last(1, c.next_act);
	ASSERT_NE(a, nullptr);
	if (c.next_act == PF_GATE_SEND) {
		EXPECT_NE(a->endpoint, first);
		EXPECT_EQ(a->raw.u.send.resume, c.outcome == PF_GATE_BROKEN);
	} else {
		EXPECT_EQ(Count(PF_GATE_SEND), 0u);
	}
}

INSTANTIATE_TEST_SUITE_P(
	Kinds, GateSendOutcome,
	::testing::Values(OutcomeCase{ "safe_answered", "/s/", PF_GATE_ANSWERED,
				       200, PF_GATE_DELIVER },
			  OutcomeCase{ "safe_failed", "/s/", PF_GATE_ANSWERED,
				       500, PF_GATE_SEND },
			  OutcomeCase{ "safe_lost", "/s/", PF_GATE_LOST, 0,
				       PF_GATE_SEND },
			  OutcomeCase{ "safe_not_run", "/s/", PF_GATE_NOT_RUN,
				       503, PF_GATE_SEND },
			  OutcomeCase{ "unsafe_failed", "/u/", PF_GATE_ANSWERED,
				       500, PF_GATE_DELIVER },
			  OutcomeCase{ "unsafe_lost", "/u/", PF_GATE_LOST, 0,
				       PF_GATE_FAIL },
			  OutcomeCase{ "unsafe_not_run", "/u/", PF_GATE_NOT_RUN,
				       503, PF_GATE_SEND },
			  OutcomeCase{ "unsafe_unsent", "/u/", PF_GATE_UNSENT,
				       0, PF_GATE_SEND },
			  OutcomeCase{ "stream_broken", "/t/", PF_GATE_BROKEN,
				       0, PF_GATE_FAIL },
			  OutcomeCase{ "stream_lost", "/t/", PF_GATE_LOST, 0,
				       PF_GATE_FAIL },
			  OutcomeCase{ "stream_not_run", "/t/", PF_GATE_NOT_RUN,
				       503, PF_GATE_SEND },
			  OutcomeCase{ "stream_failed", "/t/", PF_GATE_ANSWERED,
				       500, PF_GATE_DELIVER },
			  OutcomeCase{ "resumable_failed", "/r/",
				       PF_GATE_ANSWERED, 500, PF_GATE_SEND },
			  OutcomeCase{ "resumable_broken", "/r/",
				       PF_GATE_BROKEN, 0, PF_GATE_SEND },
			  OutcomeCase{ "resumable_lost", "/r/", PF_GATE_LOST, 0,
				       PF_GATE_SEND }),
	[](const auto &i) { return std::string(i.param.name); });

// A resumed stream gets an error answer from the second endpoint. The caller
// must not take the end of that answer for the end of the stream.
TEST_F(Gate, ErrorAnswerDoesNotEndAStartedStream)
{
	PassFirstWindow();
	Arrive(1, "/r/", 6000, "m", nullptr, 100);
	Events(1);
	Ended(1, PF_GATE_BROKEN);
	ASSERT_EQ(Count(PF_GATE_SEND), 2u);
	Ended(1, PF_GATE_ANSWERED, 500);
	EXPECT_EQ(Count(PF_GATE_DELIVER), 0u);
	EXPECT_EQ(Count(PF_GATE_FAIL), 1u);
}

TEST_F(Gate, NewProcessHasNoRetrySlack)
{
	Arrive(1, "/s/", 800);
	acts.clear();
	Ended(1, PF_GATE_LOST);
	// One request allows a fifth of a retry.
	EXPECT_EQ(Count(PF_GATE_SEND), 0u);
	EXPECT_NE(Last(1, PF_GATE_FAIL), nullptr);
}

TEST_F(Gate, RetriesStayWithinItsPartOfTheSlack)
{
	o.repeat_slack = 12;
	pf_gate_set_budget(g, 0, 12);
	// A second gateway has the other half of the slack.
	struct pf_gate_msg m = {};
	m.type = PF_GATE_PEER_DIGEST;
	m.u.digest.peer = 99;
	PassFirstWindow();
	Step(m);
	for (int i = 0; i < 20; i++) {
		Arrive(i, "/s/", 800);
		Ended(i, PF_GATE_LOST);
		if (Last(i, PF_GATE_FAIL) == nullptr)
			Ended(i, PF_GATE_ANSWERED, 200);
	}
	EXPECT_EQ(Count(PF_GATE_SEND), 26u);
}

// Each of 103 gateways took a 65th of the slack.
TEST_F(Gate, AHundredGatewaysShareTheSlack)
{
	struct pf_gate_msg m = {};

	o.repeat_slack = 206;
	pf_gate_set_budget(g, 0, 206);
	m.type = PF_GATE_PEER_DIGEST;
	PassFirstWindow();
	for (m.u.digest.peer = 100; m.u.digest.peer < 202; m.u.digest.peer++)
		Step(m);
	for (int i = 0; i < 20; i++) {
		Arrive(i, "/s/", 800);
		Ended(i, PF_GATE_LOST);
		if (Last(i, PF_GATE_FAIL) == nullptr)
			Ended(i, PF_GATE_ANSWERED, 200);
	}
	EXPECT_EQ(Count(PF_GATE_SEND), 22u);
}

TEST_F(Gate, DrainingOrRemovedEndpointGetsNoRequests)
{
	Endpoint("a1", "app", "za", nullptr, nullptr, true);
	for (int i = 0; i < 4; i++) {
		Arrive(i, "/u/", 800);
		EXPECT_EQ(SentTo(i), Id("a2"));
	}
	Gone("a2");
	Arrive(9, "/u/", 800);
	EXPECT_EQ(Last(9, PF_GATE_SEND), nullptr);
}

// Rows that come after an endpoint said in an answer that it leaves.
struct LeavingCase {
	const char *name;
	bool removed; /* its row disappears first */
	int64_t born; /* of the next row; 0: none */
	bool used; /* the endpoint gets requests again */
};

struct GateLeaving : Gate, ::testing::WithParamInterface<LeavingCase> {
};

TEST_P(GateLeaving, EndpointGetsNoRequestsUntilANewIncarnation)
{
	const LeavingCase &c = GetParam();

	Gone("a2");
	Endpoint("a1", "app", "za", nullptr, nullptr, false, 5);
	Endpoint("a3", "app", "zb");
	Arrive(1, "/u/", 800);
	ASSERT_EQ(SentTo(1), Id("a1"));
	Leaves("a1", 5);
	if (c.removed)
		Gone("a1");
	if (c.born)
		Endpoint("a1", "app", "za", nullptr, nullptr, false, c.born);
	Arrive(2, "/u/", 800);
	EXPECT_EQ(SentTo(2), c.used ? Id("a1") : Id("a3"));
	Tick(400);
	EXPECT_EQ(Count(PF_GATE_CANCEL), 0u);
	Ended(1, PF_GATE_ANSWERED, 200);
	EXPECT_NE(Last(1, PF_GATE_DELIVER), nullptr);
}

INSTANTIATE_TEST_SUITE_P(
	Rows, GateLeaving,
	::testing::Values(
		LeavingCase{ "None", false, 0, false },
		LeavingCase{ "SameIncarnation", false, 5, false },
		LeavingCase{ "RemovedAndWrittenAgain", true, 5, false },
		LeavingCase{ "OlderIncarnation", false, 4, false },
		LeavingCase{ "NewIncarnation", false, 6, true },
		LeavingCase{ "RemovedAndStartedAgain", true, 6, true }),
	[](const auto &p) { return p.param.name; });

// An older row is read after the endpoint was started again, then its own.
TEST_F(Gate, LeavingIsRememberedForEachIncarnation)
{
	Gone("a2");
	Leaves("a1", 1);
	Endpoint("a1", "app", "za", nullptr, nullptr, false, 2);
	Leaves("a1", 1);
	Arrive(1, "/u/", 800);
	EXPECT_EQ(SentTo(1), Id("a1"));
	Endpoint("a1", "app", "za", nullptr, nullptr, false, 1);
	Arrive(2, "/u/", 800);
	EXPECT_EQ(Last(2, PF_GATE_SEND), nullptr);
}

TEST_F(Gate, RequestsAreRefusedAtOnceIfAllEndpointsLeave)
{
	for (int i = 0; i < 8; i++)
		Arrive(i, "/u/", 800);
	Arrive(10, "/u/", 800);
	ASSERT_EQ(Last(10, PF_GATE_REFUSE), nullptr);
	Leaves("a1");
	EXPECT_EQ(Last(10, PF_GATE_REFUSE), nullptr);
	Leaves("a2");
	ASSERT_NE(Last(10, PF_GATE_REFUSE), nullptr);
	EXPECT_EQ(Last(10, PF_GATE_REFUSE)->raw.u.refuse.reason,
		  PF_GATE_REASON_ALL_LEAVING);
	Arrive(11, "/s/", 800);
	ASSERT_NE(Last(11, PF_GATE_REFUSE), nullptr);
	EXPECT_EQ(Last(11, PF_GATE_REFUSE)->raw.u.refuse.status, 503);
	EXPECT_GT(Last(11, PF_GATE_REFUSE)->raw.u.refuse.retry_after, 0);
	EXPECT_LE(Last(11, PF_GATE_REFUSE)->raw.u.refuse.retry_after, 800 / 3);
	EXPECT_EQ(Count(PF_GATE_CANCEL), 0u);
}

TEST_F(Gate, StreamResumesWhereNoEndpointLeaves)
{
	PassFirstWindow();
	Endpoint("l3", "llm", "zc", "m");
	Arrive(1, "/r/", 6000, "m", nullptr, 100);
	ASSERT_NE(SentTo(1), Id("l3"));
	Events(1);
	for (const char *name : { "l1", "l2" })
		Leaves(name);
	Ended(1, PF_GATE_BROKEN);
	EXPECT_EQ(SentTo(1), Id("l3"));
}

TEST_F(Gate, SilentStreamDoesNotMoveToALeavingEndpoint)
{
	PassFirstWindow();
	Arrive(1, "/r/", 6000, "m", nullptr, 100);
	Events(1);
	Leaves(SentTo(1) == Id("l1") ? "l2" : "l1");
	Tick(1900);
	EXPECT_EQ(Count(PF_GATE_CANCEL), 0u);
}

// What comes within a backoff.
enum class During {
	NOTHING,
	SUCCESS, /* of a request that was under way */
	EVENTS, /* of a stream after a silence */
	SHORTER, /* another backoff */
	SAME_ROW,
	REMOVED, /* and listed again */
	OLD_ANSWER, /* a backoff of the incarnation before */
	NEW_INCARNATION, /* ends it */
};

struct BackoffCase {
	const char *name;
	During during;
	bool ends;
};

struct GateBackoff : Gate, ::testing::WithParamInterface<BackoffCase> {
};

TEST_P(GateBackoff, NothingButANewIncarnationShortensIt)
{
	const BackoffCase &c = GetParam();

	Gone("l2");
	Endpoint("l1", "llm", "za", "m", nullptr, false, 5);
	Arrive(1, "/t/", 15000, "m", nullptr, 100);
	Arrive(2, "/t/", 15000, "m", nullptr, 100);
	ASSERT_EQ(SentTo(2), Id("l1"));
	BacksOff(Id("l1"), 3000, 5);
	Ended(1, PF_GATE_NOT_RUN, 503);
	Tick(800);
	switch (c.during) {
	case During::NOTHING:
		break;
	case During::SUCCESS:
		Ended(2, PF_GATE_ANSWERED, 200);
		break;
	case During::EVENTS:
		Events(2);
		break;
	case During::SHORTER:
		BacksOff(Id("l1"), 100, 5);
		break;
	case During::SAME_ROW:
		Endpoint("l1", "llm", "za", "m", nullptr, false, 5);
		break;
	case During::REMOVED:
		Gone("l1");
		Endpoint("l1", "llm", "za", "m", nullptr, false, 5);
		break;
	case During::OLD_ANSWER:
		BacksOff(Id("l1"), 60000, 4);
		break;
	case During::NEW_INCARNATION:
		Endpoint("l1", "llm", "za", "m", nullptr, false, 6);
		break;
	}
	acts.clear();
	for (int tag = 10; tag < 30; tag++) {
		if (c.during == During::EVENTS)
			Events(2);
		Arrive(tag, "/r/", 6000, "m", nullptr, 100);
		EXPECT_EQ(SentTo(tag), c.ends ? Id("l1") : 0u);
		if (SentTo(tag))
			Hangup(tag);
		Tick(100);
	}
	Tick(300);
	if (c.during == During::EVENTS)
		Events(2);
	Arrive(40, "/r/", 6000, "m", nullptr, 100);
	EXPECT_EQ(SentTo(40), Id("l1"));
}

INSTANTIATE_TEST_SUITE_P(
	During, GateBackoff,
	::testing::Values(BackoffCase{ "Nothing", During::NOTHING, false },
			  BackoffCase{ "Success", During::SUCCESS, false },
			  BackoffCase{ "Events", During::EVENTS, false },
			  BackoffCase{ "Shorter", During::SHORTER, false },
			  BackoffCase{ "SameRow", During::SAME_ROW, false },
			  BackoffCase{ "Removed", During::REMOVED, false },
			  BackoffCase{ "OldAnswer", During::OLD_ANSWER, false },
			  BackoffCase{ "NewIncarnation",
				       During::NEW_INCARNATION, true }),
	[](const auto &p) { return p.param.name; });

// How long callers are asked to wait if all endpoints are in a backoff: until
// its end, but at most a third of their time.
struct AllBackoffCase {
	const char *name;
	pf_ms spans[2];
	pf_ms time_left;
	pf_ms from, to;
};

struct GateAllBackoff : Gate, ::testing::WithParamInterface<AllBackoffCase> {
};

TEST_P(GateAllBackoff, RequestsAreRefusedAtOnceUntilItsEnd)
{
	const AllBackoffCase &c = GetParam();
	pf_ms least = c.to, most = c.from;

	BacksOff(Id("l1"), c.spans[0]);
	BacksOff(Id("l2"), c.spans[1]);
	for (int i = 0; i < 100; i++) {
		Arrive(i, "/t/", c.time_left, "m", nullptr, 100);
		const GateAct *a = Last(i, PF_GATE_REFUSE);
		ASSERT_NE(a, nullptr);
		EXPECT_EQ(a->raw.u.refuse.reason, PF_GATE_REASON_BACKOFF);
		EXPECT_EQ(a->raw.u.refuse.endpoint, Id("l2"));
		pf_ms at = a->raw.u.refuse.retry_after;
		least = at < least ? at : least;
		most = at > most ? at : most;
	}
	EXPECT_GE(least, c.from);
	EXPECT_LE(most, c.to);
	EXPECT_GE(most - least, (c.to - c.from) / 2);
}

INSTANTIATE_TEST_SUITE_P(
	Times, GateAllBackoff,
	::testing::Values(
		AllBackoffCase{ "Soonest", { 4000, 1000 }, 15000, 1000, 1500 },
		AllBackoffCase{ "Short", { 4000, 50 }, 15000, 50, 250 },
		AllBackoffCase{
			"ThirdOfTheTime", { 4000, 3000 }, 3000, 700, 1000 }),
	[](const auto &p) { return p.param.name; });

TEST_F(Gate, RequestTurnedAwayGoesToAnotherEndpoint)
{
	PassFirstWindow();
	Arrive(1, "/u/", 800);
	ASSERT_EQ(SentTo(1), Id("a1"));
	BacksOff(Id("a1"), 2000);
	Ended(1, PF_GATE_NOT_RUN, 503);
	EXPECT_EQ(SentTo(1), Id("a2"));
	// Not promised not to have run: safe requests only.
	Arrive(2, "/s/", 800);
	ASSERT_EQ(SentTo(2), Id("a2"));
	BacksOff(Id("a2"), 2000);
	Ended(2, PF_GATE_ANSWERED, 503);
	EXPECT_NE(Last(2, PF_GATE_DELIVER), nullptr);
	EXPECT_EQ(SentTo(2), Id("a2"));
}

TEST_F(Gate, FewRequestsComeFirstAfterABackoff)
{
	uint32_t sent = 0;

	Gone("a2");
	BacksOff(Id("a1"), 1000);
	Tick(1001);
	for (int i = 0; i < 4; i++) {
		Arrive(i, "/u/", 800);
		sent += SentTo(i) != 0;
	}
	EXPECT_EQ(sent, 1u);
	// The others wait; each answer lets twice as many go.
	Ended(0, PF_GATE_ANSWERED, 200);
	EXPECT_EQ(Count(PF_GATE_SEND), 3u);
	Ended(1, PF_GATE_ANSWERED, 200);
	for (int i = 4; i < 12; i++)
		Arrive(i, "/u/", 800);
	EXPECT_EQ(Count(PF_GATE_SEND), 6u);
}

// A request sent between two backoffs is answered after the second one.
TEST_F(Gate, EarlierAnswerDoesNotEndTheSlowStart)
{
	Gone("l2");
	BacksOff(Id("l1"), 100);
	Tick(101);
	Arrive(1, "/t/", 15000, "m", nullptr, 100);
	ASSERT_EQ(SentTo(1), Id("l1"));
	BacksOff(Id("l1"), 100);
	Tick(101);
	Ended(1, PF_GATE_ANSWERED, 200);
	Arrive(2, "/t/", 15000, "m", nullptr, 100);
	Arrive(3, "/t/", 15000, "m", nullptr, 100);
	EXPECT_EQ(SentTo(2), Id("l1"));
	EXPECT_EQ(SentTo(3), 0u);
}

TEST_F(Gate, StreamMovesAndResumesOutsideABackoff)
{
	PassFirstWindow();
	Arrive(1, "/r/", 6000, "m", nullptr, 100);
	ASSERT_EQ(SentTo(1), Id("l1"));
	Events(1);
	BacksOff(Id("l2"), 5000);
	Tick(2500);
	EXPECT_EQ(Count(PF_GATE_CANCEL), 0u);
	Events(1);
	BacksOff(Id("l1"), 5000);
	Endpoint("l3", "llm", "zc", "m");
	Ended(1, PF_GATE_BROKEN);
	EXPECT_EQ(SentTo(1), Id("l3"));
}

// The decision whether an answer asks for no requests.
struct BackoffSpanCase {
	const char *name;
	int status;
	bool not_run;
	bool other_instance;
	pf_ms retry_after;
	pf_ms span;
};

struct GateBackoffSpan : ::testing::TestWithParam<BackoffSpanCase> {
};

TEST_P(GateBackoffSpan, DependsOnTheAnswer)
{
	const BackoffSpanCase &c = GetParam();
	struct pf_reply r = {};

	r.status = c.status;
	r.not_run = c.not_run;
	r.other_instance = c.other_instance;
	r.retry_after = c.retry_after;
	EXPECT_EQ(pf_gate_backoff(&r), c.span);
}

INSTANTIATE_TEST_SUITE_P(
	Answers, GateBackoffSpan,
	::testing::Values(
		BackoffSpanCase{ "NotRun", 503, true, false, 250, 250 },
		BackoffSpanCase{ "MayHaveRun", 503, false, false, 250, 250 },
		BackoffSpanCase{ "TurnedAway429", 429, true, false, 250, 250 },
		BackoffSpanCase{ "Caller429", 429, false, false, 250, 0 },
		BackoffSpanCase{ "Redirect", 302, false, false, 250, 0 },
		BackoffSpanCase{ "OtherInstance", 421, true, true, 250, 0 },
		BackoffSpanCase{ "None", 503, true, false, -1, 0 },
		BackoffSpanCase{ "Zero", 503, true, false, 0, 0 },
		BackoffSpanCase{ "Year", 503, true, false, 31536000000,
				 60000 }),
	[](const auto &p) { return p.param.name; });

TEST_F(Gate, NearEndpointIsPreferredUntilBusy)
{
	Arrive(1, "/u/", 800);
	EXPECT_EQ(SentTo(1), Id("a1"));
	for (int i = 2; i < 9; i++)
		Arrive(i, "/u/", 800);
	EXPECT_EQ(Count(PF_GATE_SEND), 8u);
	// Both are full: the ninth waits and is refused, not failed.
	Arrive(10, "/u/", 800);
	EXPECT_EQ(Last(10, PF_GATE_SEND), nullptr);
	Tick(100);
	const GateAct *a = Last(10, PF_GATE_REFUSE);
	ASSERT_NE(a, nullptr);
	EXPECT_EQ(a->raw.u.refuse.status, 503);
	EXPECT_GE(a->raw.u.refuse.retry_after, 0);
	EXPECT_LE(a->raw.u.refuse.retry_after, 800 / 3);
}

TEST_F(Gate, WaitingRequestIsSentWhenASlotIsFree)
{
	for (int i = 1; i < 9; i++)
		Arrive(i, "/u/", 800);
	Arrive(9, "/u/", 800);
	ASSERT_EQ(Last(9, PF_GATE_SEND), nullptr);
	Ended(3, PF_GATE_ANSWERED, 200);
	EXPECT_NE(Last(9, PF_GATE_SEND), nullptr);
}

TEST_F(Gate, PromptGoesToEndpointWithCachedPrefix)
{
	Arrive(1, "/r/", 6000, "m", nullptr, 8000, "p");
	uint64_t first = SentTo(1);
	Events(1);
	Ended(1, PF_GATE_ANSWERED, 200);
	for (int i = 2; i < 12; i++) {
		Tick(50);
		Arrive(i, "/r/", 6000, "m", nullptr, 8000, "p");
		EXPECT_EQ(SentTo(i), first);
		Events(i);
		Ended(i, PF_GATE_ANSWERED, 200);
	}
}

TEST_F(Gate, PeerDigestAnnouncesCachedPrefix)
{
	struct pf_gate_msg m = {};
	uint64_t chain = pf_id2(pf_id2(Id("m"), 0), Id("p"));
	struct pf_gate_cached_prefix sight = { chain, Id("l2") };

	m.type = PF_GATE_PEER_DIGEST;
	m.u.digest.peer = 99;
	m.u.digest.prefixes = &sight;
	m.u.digest.n_prefixes = 1;
	Step(m);
	Arrive(1, "/r/", 6000, "m", nullptr, 8000, "p");
	EXPECT_EQ(SentTo(1), Id("l2"));
}

TEST_F(Gate, PeerLoadCounts)
{
	struct pf_gate_msg m = {};
	struct pf_gate_load load = { Id("l1"), 3, 9000, 900 };

	m.type = PF_GATE_PEER_DIGEST;
	m.u.digest.peer = 99;
	m.u.digest.loads = &load;
	m.u.digest.n_loads = 1;
	Step(m);
	Arrive(1, "/r/", 6000, "m", nullptr, 500);
	EXPECT_EQ(SentTo(1), Id("l2"));
}

TEST_F(Gate, PeerLoadCountsAgainstKvCapacity)
{
	struct pf_gate_msg m = {};
	struct pf_gate_load loads[2] = { { Id("l1"), 3, 95000, 0 },
					 { Id("l2"), 3, 95000, 0 } };

	m.type = PF_GATE_PEER_DIGEST;
	m.u.digest.peer = 99;
	m.u.digest.loads = loads;
	m.u.digest.n_loads = 2;
	Step(m);
	Arrive(1, "/t/", 15000, "m", nullptr, 8000);
	EXPECT_EQ(Last(1, PF_GATE_SEND), nullptr);
}

TEST_F(Gate, RequestWaitsForMissingModel)
{
	Arrive(1, "/t/", 15000, "n", nullptr, 100);
	EXPECT_EQ(Last(1, PF_GATE_SEND), nullptr);
	Tick(2000);
	EXPECT_EQ(Last(1, PF_GATE_REFUSE), nullptr);
	Endpoint("l2", "llm", "zb", "n");
	EXPECT_EQ(SentTo(1), Id("l2"));
}

TEST_F(Gate, MisdirectedRequestMovesOnAndMarksModelMissing)
{
	PassFirstWindow();
	Arrive(1, "/t/", 15000, "m", nullptr, 100);
	uint64_t first = SentTo(1);
	Ended(1, PF_GATE_NOT_RUN, 421, false, true);
	EXPECT_NE(SentTo(1), first);
	Arrive(2, "/t/", 15000, "m", nullptr, 100);
	EXPECT_NE(SentTo(2), first);
}

static struct pf_engine_state State(const char *name, struct pf_resident *r,
				    uint64_t orders, bool busy = false)
{
	struct pf_engine_state s = {};

	s.endpoint = GateRig::Id(name);
	s.incarnation = 1;
	s.orders_accepted = orders;
	s.busy = busy;
	s.residents = r;
	s.n_residents = 1;
	return s;
}

TEST_F(Gate, MissingAdapterIsRequestedFromReportingLoader)
{
	struct pf_gate_msg m = {};
	uint64_t a = pf_adapter_id(Id("m"), PF_STR("a1"));
	struct pf_resident r = { Id("m"), &a, 0 };
	struct pf_engine_state s = State("l2", &r, 1);

	Arrive(1, "/r/", 6000, "m", "a1", 100);
	EXPECT_EQ(Last(1, PF_GATE_REQUEST_ADAPTER), nullptr);
	m.type = PF_GATE_ENGINE_STATE;
	m.u.state = &s;
	Step(m);
	const GateAct *w = Last(1, PF_GATE_REQUEST_ADAPTER);
	ASSERT_NE(w, nullptr);
	EXPECT_EQ(w->endpoint, Id("l2"));
	r.n_adapters = 1;
	s.orders_accepted = 2;
	Step(m);
	EXPECT_EQ(SentTo(1), Id("l2"));
}

TEST_F(Gate, NoAdapterRequestWhileEngineLoadsModel)
{
	struct pf_gate_msg m = {};
	struct pf_resident r = { Id("m"), nullptr, 0 };
	struct pf_engine_state s = State("l2", &r, 1, true);

	m.type = PF_GATE_ENGINE_STATE;
	m.u.state = &s;
	Step(m);
	Arrive(1, "/r/", 6000, "m", "a1", 100);
	EXPECT_EQ(Last(1, PF_GATE_REQUEST_ADAPTER), nullptr);
}

TEST_F(Gate, OutdatedLoaderReportIsIgnored)
{
	struct pf_gate_msg m = {};
	struct pf_resident with = { Id("n"), nullptr, 0 };
	struct pf_resident without = { Id("m"), nullptr, 0 };
	struct pf_engine_state newer = State("l2", &with, 5);
	struct pf_engine_state older = State("l2", &without, 4);

	m.type = PF_GATE_ENGINE_STATE;
	m.u.state = &newer;
	Step(m);
	m.u.state = &older;
	Step(m);
	Arrive(1, "/t/", 15000, "n", nullptr, 100);
	EXPECT_EQ(SentTo(1), Id("l2"));
}

TEST_F(Gate, StalledResumableStreamMovesToAnotherEndpoint)
{
	PassFirstWindow();
	Arrive(1, "/r/", 6000, "m", nullptr, 100);
	uint64_t first = SentTo(1);
	Events(1);
	Tick(1500);
	EXPECT_NE(Last(1, PF_GATE_CANCEL), nullptr);
	EXPECT_NE(SentTo(1), first);
	EXPECT_TRUE(Last(1, PF_GATE_SEND)->raw.u.send.resume);
}

// A stream that is not read, as its caller is slow, would count as silent: it
// would be moved, and its endpoint get no new requests.
TEST_F(Gate, PausedStreamIsNotSilent)
{
	PassFirstWindow();
	Arrive(1, "/r/", 15000, "m", nullptr, 100);
	uint64_t first = SentTo(1);
	Events(1);
	Paused(1, true);
	Tick(3000);
	EXPECT_EQ(Count(PF_GATE_CANCEL), 0u);
	EXPECT_EQ(Count(PF_GATE_PROBE), 0u);
	/* Read again, it has the usual time for its next event. */
	Paused(1, false);
	Tick(300);
	EXPECT_EQ(Count(PF_GATE_CANCEL), 0u);
	Events(1);
	Tick(1500);
	EXPECT_EQ(Count(PF_GATE_CANCEL), 1u);
	EXPECT_NE(SentTo(1), first);
}

// What is missing for a silent stream to go on at another endpoint.
struct NoAlternativeCase {
	const char *name;
	bool other_endpoint;
	bool other_silent; /* it has streams that are silent as well */
	bool budget;
	bool shutting_down;
};

struct GateSilence : Gate, ::testing::WithParamInterface<NoAlternativeCase> {
};

TEST_P(GateSilence, StreamIsKeptWithoutAnAlternative)
{
	const NoAlternativeCase &c = GetParam();
	struct pf_gate_msg shut_down = {};

	if (c.budget)
		PassFirstWindow();
	else
		pf_gate_set_budget(g, 0, 0);
	if (!c.other_endpoint)
		Gone("l2");
	Arrive(1, "/r/", 6000, "m", nullptr, 100);
	Events(1);
	for (int tag = 2; c.other_silent && tag < 8; tag++) {
		Arrive(tag, "/r/", 6000, "m", nullptr, 100);
		Events(tag);
	}
	shut_down.type = PF_GATE_SHUT_DOWN;
	if (c.shutting_down)
		Step(shut_down);
	Tick(1900);
	EXPECT_EQ(Count(PF_GATE_CANCEL), 0u);
	EXPECT_EQ(Count(PF_GATE_FAIL), 0u);
	EXPECT_EQ(Count(PF_GATE_REFUSE), 0u);
	Events(1, 5);
	Ended(1, PF_GATE_ANSWERED, 200);
	EXPECT_NE(Last(1, PF_GATE_DELIVER), nullptr);
}

INSTANTIATE_TEST_SUITE_P(
	Reasons, GateSilence,
	::testing::Values(
		NoAlternativeCase{ "NoEndpoint", false, false, true, false },
		NoAlternativeCase{ "AllSilent", true, true, true, false },
		NoAlternativeCase{ "NoBudget", true, false, false, false },
		NoAlternativeCase{ "ShuttingDown", false, false, true, true }),
	[](const auto &p) { return p.param.name; });

// When a silent stream goes on at another endpoint.
struct MoveCase {
	const char *name;
	bool reachable; /* the probe connects */
	pf_ms stays; /* until then it is not moved */
	pf_ms moves; /* by then it is */
};

struct GateMove : Gate, ::testing::WithParamInterface<MoveCase> {
	void Reachable(uint64_t id)
	{
		struct pf_gate_msg m = {};

		m.type = PF_GATE_REACHABLE;
		m.u.id = id;
		Step(m);
	}
};

TEST_P(GateMove, DependsOnTheProbe)
{
	const MoveCase &c = GetParam();

	PassFirstWindow();
	Arrive(1, "/r/", 6000, "m", nullptr, 100);
	uint64_t first = SentTo(1);
	Events(1);
	Tick(500);
	EXPECT_EQ(Count(PF_GATE_PROBE), 1u);
	if (c.reachable)
		Reachable(first);
	Tick(c.stays - 500);
	EXPECT_EQ(Count(PF_GATE_CANCEL), 0u);
	EXPECT_EQ(Count(PF_GATE_PROBE), 1u);
	Tick(c.moves - c.stays);
	EXPECT_EQ(Count(PF_GATE_CANCEL), 1u);
	EXPECT_NE(SentTo(1), first);
}

INSTANTIATE_TEST_SUITE_P(Probe, GateMove,
			 ::testing::Values(MoveCase{ "Dead", false, 850, 950 },
					   MoveCase{ "Paused", true, 1800,
						     2000 }),
			 [](const auto &p) { return p.param.name; });

// The endpoint to which a silent request was moved refuses the connection.
TEST_F(Gate, MovedRequestReturnsToItsEndpointWhenThatResumes)
{
	PassFirstWindow();
	Arrive(1, "/r/", 6000, "m", nullptr, 100);
	Arrive(2, "/t/", 6000, "m", nullptr, 100);
	uint64_t first = SentTo(1);
	ASSERT_EQ(SentTo(2), first);
	Tick(1200);
	ASSERT_NE(SentTo(1), first);
	Ended(1, PF_GATE_UNSENT);
	Tick(300);
	EXPECT_EQ(Count(PF_GATE_FAIL), 0u);
	Events(2);
	Tick(300);
	EXPECT_EQ(SentTo(1), first);
}

TEST_F(Gate, PausedEndpointIsUsedAgainAtOnce)
{
	Gone("l2");
	Arrive(1, "/r/", 6000, "m", nullptr, 100);
	Events(1);
	Tick(1500);
	Arrive(2, "/r/", 6000, "m", nullptr, 100);
	EXPECT_EQ(SentTo(2), 0u);
	Events(1);
	Arrive(3, "/r/", 6000, "m", nullptr, 100);
	EXPECT_EQ(SentTo(3), Id("l1"));
}

TEST_F(Gate, StreamsOfAPausedEndpointStayWhenOneOfThemResumes)
{
	PassFirstWindow();
	for (int tag = 1; tag <= 4; tag++) {
		Arrive(tag, "/r/", 6000, "m", nullptr, 100);
		Events(tag);
	}
	Gone("l2");
	acts.clear();
	Tick(1500);
	Endpoint("l3", "llm", "za", "m");
	for (int tag = 1; tag <= 4; tag++)
		Events(tag);
	Tick(300);
	EXPECT_EQ(Count(PF_GATE_CANCEL), 0u);
}

TEST_F(Gate, BrokenStreamWaitsForAnEndpoint)
{
	struct pf_gate_msg shut_down = {};

	pf_gate_set_budget(g, 2, 0);
	Gone("l2");
	Arrive(1, "/r/", 6000, "m", nullptr, 100);
	Events(1);
	Gone("l1");
	Ended(1, PF_GATE_BROKEN, 0, true);
	shut_down.type = PF_GATE_SHUT_DOWN;
	Step(shut_down);
	Tick(3000);
	EXPECT_EQ(Count(PF_GATE_FAIL), 0u);
	Endpoint("l3", "llm", "za", "m");
	Tick(100);
	EXPECT_EQ(SentTo(1), Id("l3"));
}

TEST_F(Gate, BrokenStreamWaitsForRetryBudget)
{
	pf_gate_set_budget(g, 0, 0);
	Arrive(1, "/r/", 15000, "m", nullptr, 100);
	Events(1);
	Ended(1, PF_GATE_BROKEN, 0, true);
	Tick(1000);
	EXPECT_EQ(Count(PF_GATE_FAIL), 0u);
	pf_gate_set_budget(g, 2, 0);
	Tick(100);
	EXPECT_EQ(Count(PF_GATE_SEND), 1u);
	/* The next request earns two. */
	Arrive(2, "/s/", 800);
	Arrive(3, "/r/", 15000, "m", nullptr, 100);
	Tick(100);
	EXPECT_EQ(Count(PF_GATE_FAIL), 0u);
	EXPECT_EQ(Count(PF_GATE_SEND), 4u);
}

// The last send that a request may have shows the silence of its endpoint, too.
TEST_F(Gate, SilentEndpointGetsNothingNewThoughItsRequestMayNotMove)
{
	PassFirstWindow();
	Arrive(1, "/s/", 800);
	Ended(1, PF_GATE_LOST);
	uint64_t silent = SentTo(1);
	Tick(300);
	for (int tag = 2; tag < 6; tag++) {
		Arrive(tag, "/u/", 800);
		EXPECT_NE(SentTo(tag), silent);
	}
}

TEST_F(Gate, StalledAtMostOnceStreamIsKeptUntilDeadline)
{
	Arrive(1, "/t/", 15000, "m", nullptr, 100);
	Events(1);
	Tick(5000);
	EXPECT_EQ(Count(PF_GATE_CANCEL), 0u);
	EXPECT_EQ(Count(PF_GATE_FAIL), 0u);
	Tick(10100);
	EXPECT_EQ(Count(PF_GATE_CANCEL), 1u);
	ASSERT_NE(Last(1, PF_GATE_FAIL), nullptr);
	EXPECT_EQ(Last(1, PF_GATE_FAIL)->raw.u.fail.status, 504);
}

TEST_F(Gate, DeadlineAfterSendFailsInsteadOfRefusing)
{
	Arrive(1, "/u/", 800);
	Tick(900);
	ASSERT_NE(Last(1, PF_GATE_FAIL), nullptr);
	EXPECT_EQ(Last(1, PF_GATE_FAIL)->raw.u.fail.status, 504);
	EXPECT_EQ(Count(PF_GATE_REFUSE), 0u);
}

TEST_F(Gate, SendCarriesTimeLeft)
{
	Arrive(1, "/t/", 3000, "n", nullptr, 100);
	Tick(1000);
	Endpoint("l1", "llm", "za", "n");
	const GateAct *a = Last(1, PF_GATE_SEND);
	ASSERT_NE(a, nullptr);
	EXPECT_LE(a->raw.u.send.time_left, 2000);
	EXPECT_GE(a->raw.u.send.time_left, 1900);
}

TEST_F(Gate, HangupCancelsSendAndFreesRequest)
{
	Arrive(1, "/t/", 15000, "m", nullptr, 100);
	Hangup(1);
	EXPECT_NE(Last(1, PF_GATE_CANCEL), nullptr);
	Arrive(2, "/t/", 15000, "n", nullptr, 100);
	Hangup(2);
	acts.clear();
	Endpoint("l1", "llm", "za", "n");
	Tick(20000);
	EXPECT_EQ(acts.size(), 0u);
}

TEST_F(Gate, RequestIsQuarantinedAfterThreeCrashes)
{
	PassFirstWindow();
	for (int i = 0; i < 3; i++) {
		Arrive(i, "/u/", 800, nullptr, nullptr, 0, nullptr, 42);
		Ended(i, PF_GATE_LOST, 0, true);
	}
	Arrive(9, "/u/", 800, nullptr, nullptr, 0, nullptr, 42);
	EXPECT_EQ(Last(9, PF_GATE_SEND), nullptr);
	ASSERT_NE(Last(9, PF_GATE_REFUSE), nullptr);
	EXPECT_EQ(Last(9, PF_GATE_REFUSE)->raw.u.refuse.reason,
		  PF_GATE_REASON_QUARANTINED);
	Arrive(10, "/u/", 800);
	EXPECT_NE(Last(10, PF_GATE_SEND), nullptr);
}

// A whole answer may have begun before the part became harmful: it was counted
// from its end, and so took the blame off.
TEST_F(Gate, AnAnswerSentBeforeTheCrashesTakesNoBlameOff)
{
	struct pf_gate_evidence out[PF_GATE_EVIDENCE_MAX];
	struct pf_gate_peer_cursor cursor = {};
	struct pf_gate_evidence v = {};
	struct pf_gate_msg m = {};
	auto sound_reports = [&] {
		uint32_t n = pf_gate_evidence(g, &cursor, true, out);
		uint32_t n_sound = 0;

		for (uint32_t i = 0; i < n; i++)
			n_sound += out[i].type == PF_GATE_EVIDENCE_SOUND;
		return n_sound;
	};

	Arrive(1, "/t/", 15000, "m", nullptr, 100, "p", 0, true);
	now += 100;
	v.type = PF_GATE_EVIDENCE_CRASH;
	v.incarnation = 55;
	v.part = Id("p");
	m.type = PF_GATE_PEER_EVIDENCE;
	m.u.evidence.peer = 99;
	m.u.evidence.v = &v;
	m.u.evidence.n = 1;
	Step(m);
	now += 100;
	Ended(1, PF_GATE_ANSWERED, 200);
	EXPECT_EQ(sound_reports(), 0u);
	// One that was sent after the crash does.
	Arrive(2, "/t/", 15000, "m", nullptr, 100, "p", 0, true);
	now += 100;
	Ended(2, PF_GATE_ANSWERED, 200);
	EXPECT_EQ(sound_reports(), 1u);
}

// A crash with many requests in flight pushed those out that had crashed before.
TEST_F(Gate, ARequestIsQuarantinedThoughEachCrashTakesManyAlong)
{
	int tag = 1000;

	PassFirstWindow();
	for (int crash = 0; crash < 3; crash++) {
		for (int i = 0; i < 80; i++, tag++) {
			Arrive(tag, "/u/", 800, nullptr, nullptr, 0, nullptr,
			       i == 0 ? 42 : 5000 + tag);
			Ended(tag, PF_GATE_LOST, 0, true);
		}
		Tick(100);
	}
	Arrive(9, "/u/", 800, nullptr, nullptr, 0, nullptr, 42);
	EXPECT_NE(Last(9, PF_GATE_REFUSE), nullptr);
}

// An endpoint that had once reset a single connection was never blamed on a part
// when it crashed later.
TEST_F(Gate, ACrashCountsAfterAResetOfALiveEndpoint)
{
	struct pf_gate_evidence v[PF_GATE_EVIDENCE_MAX];
	struct pf_gate_peer_cursor cursor = {};

	Endpoint("l9", "llm", "za", "z");
	Arrive(1, "/t/", 15000, "z", nullptr, 100, "p", 0, true);
	Arrive(2, "/t/", 15000, "z", nullptr, 100, "q", 0, true);
	Ended(1, PF_GATE_LOST, 0, true);
	now += 300;
	Events(2); /* it goes on */
	Ended(2, PF_GATE_ANSWERED, 200);
	pf_gate_evidence(g, &cursor, true, v);
	now += 1000;
	Arrive(3, "/t/", 15000, "z", nullptr, 100, "r", 0, true);
	ASSERT_EQ(SentTo(3), Id("l9"));
	Ended(3, PF_GATE_LOST, 0, true);
	uint32_t n = pf_gate_evidence(g, &cursor, true, v);
	bool found = false;
	for (uint32_t i = 0; i < n; i++)
		found |= v[i].type == PF_GATE_EVIDENCE_CRASH &&
			 v[i].part == Id("r");
	EXPECT_TRUE(found);
}

TEST_F(Gate, CrashesReportedByPeersCount)
{
	struct pf_gate_msg m = {};
	uint64_t crashed[3] = { 42, 42, 42 };

	m.type = PF_GATE_PEER_DIGEST;
	m.u.digest.peer = 99;
	m.u.digest.crashed = crashed;
	m.u.digest.n_crashed = 3;
	Step(m);
	Arrive(9, "/u/", 800, nullptr, nullptr, 0, nullptr, 42);
	EXPECT_NE(Last(9, PF_GATE_REFUSE), nullptr);
}

TEST_F(Gate, EachPeerGetsEveryCrashOnce)
{
	struct pf_gate_peer_cursor frequent = { Id("east"), 0, 0 };
	struct pf_gate_peer_cursor rare = { Id("west"), 0, 0 };
	struct pf_gate_digest d;
	uint32_t received = 0;

	PassFirstWindow();
	for (int i = 0; i < 6; i++) {
		Arrive(i, "/u/", 800, nullptr, nullptr, 0, nullptr, 42 + i);
		Ended(i, PF_GATE_LOST, 0, true);
		pf_gate_digest(g, &frequent, &d);
		EXPECT_EQ(d.n_crashed, 1u);
	}
	pf_gate_digest(g, &rare, &d);
	EXPECT_EQ(d.n_crashed, 6u);
	pf_gate_digest(g, &rare, &d);
	EXPECT_EQ(d.n_crashed, 0u);
	// A gateway that starts now gets them too until they expire.
	struct pf_gate_peer_cursor fresh = { Id("west"), 0, 0 };
	for (int i = 0; i < 3; i++) {
		pf_gate_digest(g, &fresh, &d);
		received += d.n_crashed;
	}
	EXPECT_EQ(received, 6u);
	now += 61000;
	Tick(1);
	fresh = { Id("west"), 0, 0 };
	pf_gate_digest(g, &fresh, &d);
	EXPECT_EQ(d.n_crashed, 0u);
}

TEST_F(Gate, OtherRegionGetsOnlyLoadsAtItsEndpoints)
{
	struct pf_gate_peer_cursor near = { Id("east"), 0, 0 };
	struct pf_gate_peer_cursor far = { Id("west"), 0, 0 };
	struct pf_gate_peer_cursor unknown = {};
	struct pf_gate_digest d;

	Endpoint("l3", "llm", "zc", "n");
	Arrive(1, "/t/", 15000, "m", nullptr, 100, "p");
	Arrive(2, "/t/", 15000, "n", nullptr, 100, "q");
	pf_gate_digest(g, &near, &d);
	EXPECT_EQ(d.n_loads, 2u);
	pf_gate_digest(g, &far, &d);
	ASSERT_EQ(d.n_loads, 1u);
	EXPECT_EQ(d.loads[0].endpoint, Id("l3"));
	EXPECT_EQ(d.n_prefixes, 0u);
	pf_gate_digest(g, &unknown, &d);
	EXPECT_EQ(d.n_loads, 0u);
}

// Gateways of another region keep an engine there busy. They don't report their
// loads at it to this gateway, but its loader reports all.
TEST_F(Gate, RemoteEndpointLoadComesFromItsLoader)
{
	struct pf_gate_msg m = {};
	struct pf_engine_state st = {};
	struct pf_resident r = { Id("n"), nullptr, 0 };

	Endpoint("l3", "llm", "zc", "n");
	st.endpoint = Id("l3");
	st.incarnation = 1;
	st.residents = &r;
	st.n_residents = 1;
	st.running = 3;
	st.queued = 1;
	m.type = PF_GATE_ENGINE_STATE;
	m.u.state = &st;
	Step(m);
	Arrive(1, "/t/", 15000, "n", nullptr, 100);
	EXPECT_EQ(Last(1, PF_GATE_SEND), nullptr);
	st.queued = 0;
	Step(m);
	EXPECT_EQ(SentTo(1), Id("l3"));
}

TEST_F(Gate, ShutdownRefusesWaitingRequests)
{
	struct pf_gate_msg m = {};

	m.type = PF_GATE_SHUT_DOWN;
	Arrive(1, "/t/", 15000, "n", nullptr, 100);
	EXPECT_EQ(Last(1, PF_GATE_REFUSE), nullptr);
	Step(m);
	ASSERT_NE(Last(1, PF_GATE_REFUSE), nullptr);
	Arrive(2, "/t/", 15000, "n", nullptr, 100);
	EXPECT_NE(Last(2, PF_GATE_REFUSE), nullptr);
	Arrive(3, "/t/", 15000, "m", nullptr, 100);
	EXPECT_NE(Last(3, PF_GATE_SEND), nullptr);
}

TEST_F(Gate, RestartedEndpointIsNotBlocked)
{
	PassFirstWindow();
	Gone("l2");
	for (int i = 0; i < 3; i++) {
		Arrive(i, "/t/", 15000, "m", nullptr, 100);
		Ended(i, PF_GATE_UNSENT);
	}
	acts.clear();
	Endpoint("l1", "llm", "za", "m", nullptr, false, 2);
	Arrive(9, "/t/", 15000, "m", nullptr, 100);
	EXPECT_EQ(SentTo(9), Id("l1"));
}

TEST_F(Gate, StreamThatCannotEndInTimeIsNotSent)
{
	// Slow events at both endpoints.
	for (int i = 1; i < 3; i++) {
		Endpoint("l1", "llm", "za", "m", nullptr, i == 2);
		Arrive(i, "/t/", 600000, "m", nullptr, 100);
		for (int k = 0; k < 200 && Last(i, PF_GATE_FAIL) == nullptr;
		     k++) {
			now += 60;
			Events(i);
		}
	}
	Endpoint("l1", "llm", "za", "m");
	Arrive(9, "/r/", 400, "m", nullptr, 100);
	EXPECT_EQ(Last(9, PF_GATE_SEND), nullptr);
	Arrive(10, "/r/", 4000, "m", nullptr, 100);
	EXPECT_NE(Last(10, PF_GATE_SEND), nullptr);
}

// Models differ tenfold in speed and engines are few, so the first measurements
// must already correct the assumed prefill speed.
TEST_F(Gate, FirstPromptsSetPrefillSpeed)
{
	for (int i = 1; i < 6; i++) {
		Arrive(i, "/t/", 15000, "m", nullptr, 9000);
		now += 30;
		Events(i);
		Ended(i, PF_GATE_ANSWERED, 200);
	}
	Arrive(6, "/t/", 15000, "m", nullptr, 9000);
	ASSERT_NE(Last(6, PF_GATE_SEND), nullptr);
	EXPECT_LT(Last(6, PF_GATE_SEND)->raw.u.send.expected_first_event, 60);
}

// A prompt alone at an engine is followed by silence until its first event.
TEST_F(Gate, SlowFirstEventsAreLearned)
{
	pf_ms expected;

	Gone("l2");
	Arrive(1, "/t/", 15000, "m", nullptr, 9000);
	expected = Last(1, PF_GATE_SEND)->raw.u.send.expected_first_event;
	for (int i = 1; i < 6; i++) {
		now += 1500;
		Events(i);
		Ended(i, PF_GATE_ANSWERED, 200);
		Arrive(i + 1, "/t/", 15000, "m", nullptr, 9000);
	}
	EXPECT_GT(Last(6, PF_GATE_SEND)->raw.u.send.expected_first_event,
		  2 * expected);
}

// Long prompts at an engine delay the events of its streams, which end late.
TEST_F(Gate, StreamAvoidsEndpointWithSlowEvents)
{
	Endpoint("l2", "llm", "za", "m", nullptr, true);
	Endpoint("l3", "llm", "za", "m", nullptr, true);
	Arrive(1, "/t/", 600000, "m", nullptr, 100);
	ASSERT_EQ(SentTo(1), Id("l1"));
	for (int k = 0; k < 200; k++) {
		now += 100;
		Events(1);
	}
	Ended(1, PF_GATE_ANSWERED, 200);
	Endpoint("l3", "llm", "za", "m");
	for (int i = 2; i < 8; i++) {
		Arrive(i, "/t/", 15000, "m", nullptr, 100);
		EXPECT_EQ(SentTo(i), Id("l3"));
		Ended(i, PF_GATE_ANSWERED, 200);
	}
}

// Events may be slower than a silence that counts as a pause.
TEST_F(Gate, StreamAvoidsEndpointWithVerySlowEvents)
{
	Endpoint("l2", "llm", "za", "m", nullptr, true);
	Endpoint("l3", "llm", "za", "m", nullptr, true);
	Arrive(1, "/t/", 600000, "m", nullptr, 100);
	ASSERT_EQ(SentTo(1), Id("l1"));
	for (int k = 0; k < 200; k++) {
		now += 600;
		Events(1);
	}
	Ended(1, PF_GATE_ANSWERED, 200);
	Endpoint("l3", "llm", "za", "m");
	for (int i = 2; i < 8; i++) {
		Arrive(i, "/t/", 15000, "m", nullptr, 100);
		EXPECT_EQ(SentTo(i), Id("l3"));
		Ended(i, PF_GATE_ANSWERED, 200);
	}
}

// The prefill of a long prompt delays every stream that runs at the endpoint.
TEST_F(Gate, LongPromptAvoidsEndpointWithRunningStreams)
{
	struct pf_gate_msg m = {};
	struct pf_gate_load load = { Id("l1"), 2, 0, 0 };

	Endpoint("l2", "llm", "zb", "m");
	m.type = PF_GATE_PEER_DIGEST;
	m.u.digest.peer = 99;
	m.u.digest.loads = &load;
	m.u.digest.n_loads = 1;
	Step(m);
	Arrive(1, "/t/", 15000, "m", nullptr, 100);
	EXPECT_EQ(SentTo(1), Id("l1"));
	Hangup(1);
	Arrive(2, "/t/", 15000, "m", nullptr, 9000);
	EXPECT_EQ(SentTo(2), Id("l2"));
}

TEST(GateOptions, OutOfRangeIsRejected)
{
	struct pf_gate_opts o;

	pf_gate_opts_default(&o);
	EXPECT_EQ(pf_gate_new(&o), nullptr); // no self, no zone
	o.self = 1;
	o.zone = 1;
	o.repeat_window = 60000;
	EXPECT_EQ(pf_gate_new(&o), nullptr);
}

TEST_F(Gate, FullRequestTableRefuses)
{
	for (int i = 0; i < 300; i++)
		Arrive(i, "/t/", 15000, "n", nullptr, 100);
	struct pf_gate_stats s;
	pf_gate_stats(g, &s);
	EXPECT_EQ(s.open, 256u);
	EXPECT_EQ(Count(PF_GATE_REFUSE), 44u);
}

TEST_F(Gate, DemandCountsActiveRequests)
{
	struct pf_gate_demand d[8];

	for (int i = 0; i < 6; i++)
		Arrive(i, "/t/", 15000, "n", nullptr, 100);
	now += 3000;
	size_t n = pf_gate_demand(g, now, d, 8);
	ASSERT_EQ(n, 1u);
	EXPECT_EQ(d[0].model, Id("n"));
	EXPECT_GT(d[0].open, 5);
	EXPECT_EQ(d[0].waiting, 6u);
}

} // namespace
