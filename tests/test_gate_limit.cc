// Limits that endpoints name, in the core of one gateway.
#include "tests/gate_rig.h"

#include <gtest/gtest.h>

#include <set>
#include <string>

namespace
{

struct GateLimit : ::testing::Test, GateRig {
	int next_tag = 100;

	void SetUp() override
	{
		Start();
		Endpoint("a1", "app", "za");
		Tick(2500); /* until peers would be known */
	}
	/* How many of @n requests, @every apart, are sent. */
	unsigned Sent(unsigned n, pf_ms every)
	{
		size_t before = Count(PF_GATE_SEND);

		for (unsigned i = 0; i < n; i++) {
			Arrive(next_tag, "/u/", 800);
			if (SentTo(next_tag))
				Ended(next_tag, PF_GATE_ANSWERED, 200);
			next_tag++;
			Tick(every);
		}
		return static_cast<unsigned>(Count(PF_GATE_SEND) - before);
	}
};

TEST_F(GateLimit, HoldsForAsLongAsItIsNamed)
{
	Limit(Id("a1"), 2, now);
	EXPECT_LE(Sent(100, 100), 22u);
	EXPECT_GE(Sent(100, 100), 17u);
}

TEST_F(GateLimit, EndsWithANewerAnswerThatNamesNone)
{
	Limit(Id("a1"), 1, now);
	now += 100;
	Limit(Id("a1"), -1, now);
	EXPECT_EQ(Sent(50, 10), 50u);
}

// Its request was sent before the limit was known, so it may be older.
TEST_F(GateLimit, AnOlderAnswerThatNamesNoneEndsNothing)
{
	pf_ms sent_at = now - 200;

	Limit(Id("a1"), 1, now);
	now += 100;
	Limit(Id("a1"), -1, sent_at);
	EXPECT_LE(Sent(50, 10), 2u);
}

TEST_F(GateLimit, AnOlderAnswerDoesNotBringItBack)
{
	Limit(Id("a1"), 1, now);
	pf_ms sent_at = now;
	now += 100;
	Limit(Id("a1"), -1, now);
	now += 100;
	Limit(Id("a1"), 1, sent_at);
	EXPECT_EQ(Sent(50, 10), 50u);
}

TEST_F(GateLimit, ANewIncarnationStartsWithout)
{
	Limit(Id("a1"), 1, now);
	Endpoint("a1", "app", "za", nullptr, nullptr, false, 2);
	EXPECT_EQ(Sent(50, 10), 50u);
}

// The end of a limit of 0 would otherwise never be noticed.
TEST_F(GateLimit, ZeroLetsARequestPassNowAndThen)
{
	Limit(Id("a1"), 0, now);
	EXPECT_EQ(Sent(50, 100), 0u);
	unsigned n = Sent(300, 100);
	EXPECT_GE(n, 2u);
	EXPECT_LE(n, 4u);
}

TEST_F(GateLimit, AHighOneDelaysNothing)
{
	Limit(Id("a1"), 1e6, now);
	Tick(10);
	EXPECT_EQ(Sent(50, 10), 50u);
}

TEST_F(GateLimit, SendsOfPeersCount)
{
	Limit(Id("a1"), 1, now);
	for (uint32_t sent = 1; sent <= 20; sent++) {
		PeerLimit(Id("a1"), 1, 0, sent);
		EXPECT_EQ(Sent(1, 1000), 0u) << sent;
	}
	/* The same report again counts nothing. */
	for (int i = 0; i < 4; i++) {
		Tick(1000);
		PeerLimit(Id("a1"), 1, 0, 20);
	}
	EXPECT_EQ(Sent(1, 0), 1u);
}

TEST_F(GateLimit, APeersNewsHoldHere)
{
	PeerLimit(Id("a1"), 1, 0);
	EXPECT_LE(Sent(50, 10), 1u);
	PeerLimit(Id("a1"), -1, 0, 0);
	EXPECT_EQ(Sent(50, 10), 50u);
	PeerLimit(Id("a1"), 1, 3000);
	EXPECT_EQ(Sent(50, 10), 50u);
}

// Requests that could run elsewhere used up the only home of other models.
TEST_F(GateLimit, RequestsWithAChoiceLeaveALimitedEndpointToOthers)
{
	Endpoint("l1", "llm", "za", "m");
	Endpoint("l2", "llm", "za", "m");
	Endpoint("l2", "llm", "za", "n"); /* its only home */
	Limit(Id("l2"), 1, now);
	Tick(2000);
	for (int i = 0; i < 3; i++) {
		Endpoint("l2", "llm", "za", "m");
		Arrive(10 + i, "/r/", 6000, "m", nullptr, 100);
		EXPECT_EQ(SentTo(10 + i), Id("l1"));
	}
	Endpoint("l2", "llm", "za", "n");
	Arrive(1, "/r/", 6000, "n", nullptr, 100);
	EXPECT_EQ(SentTo(1), Id("l2"));
}

// Without a request, the end of a limit would not be noticed.
TEST_F(GateLimit, AnEndpointThatIsSparedIsAskedAgain)
{
	Endpoint("a2", "app", "za");
	Limit(Id("a2"), 1, now);
	EXPECT_EQ(Sent(20, 100), 20u);
	for (int tag = next_tag - 20; tag < next_tag; tag++)
		EXPECT_EQ(SentTo(tag), Id("a1"));
	Sent(60, 100);
	size_t n = 0;
	for (int tag = next_tag - 60; tag < next_tag; tag++)
		n += SentTo(tag) == Id("a2");
	EXPECT_GE(n, 1u);
}

// Each answer after the end was reported to all peers for ever.
TEST_F(GateLimit, ItsEndIsReportedOnce)
{
	struct pf_gate_limit v[PF_GATE_LIMITS_MAX];

	Limit(Id("a1"), 1, now);
	now += 100;
	Limit(Id("a1"), -1, now);
	EXPECT_EQ(pf_gate_limits(g, now, v), 1u);
	EXPECT_EQ(pf_gate_limits(g, now, v), 1u); /* one may be lost */
	for (int i = 0; i < 10; i++) {
		now += 1000;
		Limit(Id("a1"), -1, now);
		EXPECT_EQ(pf_gate_limits(g, now, v), 0u) << i;
	}
}

// Limits beyond 128 were forgotten; and those beyond 128 due were not reported
// while the others were due again and again.
TEST_F(GateLimit, AllLimitsOfAFleetAreReported)
{
	struct pf_gate_limit v[PF_GATE_LIMITS_MAX];
	std::set<uint64_t> reported;

	for (unsigned tick = 0; tick < 3; tick++) {
		for (unsigned i = 0; i < 300; i++)
			Limit(Id(("e" + std::to_string(i)).c_str()), tick + 1,
			      now);
		uint32_t n = pf_gate_limits(g, now, v);
		for (uint32_t i = 0; i < n; i++)
			reported.insert(v[i].incarnation);
		now += 120;
	}
	EXPECT_EQ(reported.size(), 300u);
}

TEST_F(GateLimit, IfAllAreUsedUpRequestsAreRefusedAtOnce)
{
	Limit(Id("a1"), 0.5, now);
	Tick(2500);
	ASSERT_EQ(Sent(1, 0), 1u);
	Arrive(1, "/u/", 8000);
	const GateAct *a = Last(1, PF_GATE_REFUSE);
	ASSERT_NE(a, nullptr);
	EXPECT_EQ(a->raw.u.refuse.reason, PF_GATE_REASON_LIMITED);
	EXPECT_GT(a->raw.u.refuse.wait, 1000);
	/* Callers honour a third of the time that they have left. */
	EXPECT_LE(a->raw.u.refuse.retry_after, 8000 / 3);
	Endpoint("a2", "app", "za");
	Arrive(2, "/u/", 800);
	EXPECT_EQ(SentTo(2), Id("a2"));
}

TEST_F(GateLimit, HoldsForRepeatsToo)
{
	Tick(12000); /* until there is a retry budget */
	Sent(100, 10);
	Arrive(1, "/s/", 800);
	ASSERT_EQ(SentTo(1), Id("a1"));
	Endpoint("a2", "app", "za");
	Limit(Id("a2"), 0, now);
	acts.clear();
	Ended(1, PF_GATE_LOST);
	Tick(300);
	EXPECT_NE(SentTo(1), Id("a2"));
}

// With many gateways, most could never use a limited endpoint, and refused all
// requests for which it was the only one.
TEST(GateLimitPeers, EachOfManyGatewaysUsesEachEndpointAtTimes)
{
	for (const char *name : { "a1", "a2", "a3", "a4", "a5", "a6" }) {
		GateRig r;
		int tag = 1;

		r.Start();
		r.Endpoint(name, "app", "za");
		r.Limit(GateRig::Id(name), 1, r.now);
		for (int i = 0; i < 300; i++) {
			for (uint64_t peer = 1; peer <= 24; peer++)
				r.PeerLimit(GateRig::Id(name), 1, 0, 0,
					    100 + peer);
			r.Tick(100);
			r.Arrive(tag++, "/u/", 800);
		}
		EXPECT_GE(r.Count(PF_GATE_SEND), 3u) << name;
	}
}

// A gateway that has just started does not know who else uses the endpoint.
TEST(GateLimitStart, AGatewayThatStartsWaitsForItsPeers)
{
	GateRig r;

	r.Start();
	r.Endpoint("a1", "app", "za");
	r.Limit(GateRig::Id("a1"), 100, r.now);
	r.Tick(500);
	r.Arrive(1, "/u/", 800);
	EXPECT_EQ(r.SentTo(1), 0u);
	r.Tick(2000);
	r.Arrive(2, "/u/", 800);
	EXPECT_NE(r.SentTo(2), 0u);
}

} // namespace
