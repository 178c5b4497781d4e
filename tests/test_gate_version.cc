// Streams and the software versions of endpoints, in the core of one gateway.
#include "tests/gate_rig.h"

#include <gtest/gtest.h>

namespace
{

struct GateVersion : ::testing::Test, GateRig {
	void SetUp() override
	{
		Start();
		Add("far1", "v1", "zc");
		Add("near1", "v1", "za");
		Add("near2", "v2", "za");
		Tick(12000); /* until the retry budget is known */
	}
	void Add(const char *name, const char *of_version, const char *zone)
	{
		version = of_version;
		Endpoint(name, "llm", zone, "m");
	}
	/* A stream that near1 has begun. */
	void Begin(int tag, const char *id)
	{
		attempt = id;
		do {
			acts.clear();
			Arrive(tag, "/r/", 5000, "m");
			ASSERT_NE(SentTo(tag), 0u);
			if (SentTo(tag) == Id("near1"))
				break;
			Hangup(tag);
		} while (true);
		Events(tag, 3);
	}
	void Resume(int tag, const char *id, const char *began)
	{
		attempt = id;
		resumes = began;
		last_event = 3;
		Arrive(tag, "/r/", 5000, "m");
		resumes = "";
		last_event = -1;
	}
	size_t SendsOf(int tag) const
	{
		size_t n = 0;

		for (const GateAct &a : acts)
			n += a.tag == tag && a.type == PF_GATE_SEND;
		return n;
	}
	bool EndsAtOnce(int tag)
	{
		return Last(tag, PF_GATE_FAIL) || Last(tag, PF_GATE_REFUSE);
	}
};

// near2 would have the earliest first event.
TEST_F(GateVersion, ABrokenStreamDoesNotGoOnAtAnotherVersion)
{
	Begin(1, "a1");
	Ended(1, PF_GATE_BROKEN, 0, true);
	EXPECT_EQ(SendsOf(1), 2u);
	EXPECT_EQ(SentTo(1), Id("far1"));
}

TEST_F(GateVersion, AStreamMovedOffASilentEndpointDoesNotGoOnAtAnotherVersion)
{
	Begin(1, "a1");
	Tick(2500);
	ASSERT_EQ(SendsOf(1), 2u);
	EXPECT_EQ(SentTo(1), Id("far1"));
}

TEST_F(GateVersion, ARequestWithoutAnEventMayGoToAnotherVersion)
{
	Gone("far1");
	Gone("near2");
	Arrive(1, "/r/", 5000, "m");
	Add("near2", "v2", "za");
	Ended(1, PF_GATE_LOST, 0, true);
	EXPECT_EQ(SentTo(1), Id("near2"));
}

TEST_F(GateVersion, AStreamWithoutAnEndpointOfItsVersionEndsAtOnce)
{
	Gone("far1");
	Begin(1, "a1");
	Gone("near1");
	Ended(1, PF_GATE_BROKEN, 0, true);
	EXPECT_EQ(SendsOf(1), 1u);
	EXPECT_NE(Last(1, PF_GATE_FAIL), nullptr);
}

TEST_F(GateVersion, AStreamThatACallerTakesUpDoesNotGoOnAtAnotherVersion)
{
	Begin(1, "a1");
	Hangup(1);
	Gone("near1");
	Resume(2, "a2", "a1");
	EXPECT_EQ(SentTo(2), Id("far1"));
	Events(2);
	Ended(2, PF_GATE_BROKEN, 0, true);
	EXPECT_NE(SentTo(2), Id("near2"));
}

// The id that its caller names is always that of the first attempt.
TEST_F(GateVersion, AStreamTakenUpTwiceDoesNotGoOnAtAnotherVersion)
{
	Begin(1, "a1");
	Hangup(1);
	Resume(2, "a2", "a1");
	Hangup(2);
	Gone("near1");
	Resume(3, "a3", "a1");
	EXPECT_EQ(SentTo(3), Id("far1"));
}

TEST_F(GateVersion, ATakenUpStreamWithoutAnEndpointOfItsVersionIsRefusedAtOnce)
{
	Begin(1, "a1");
	Hangup(1);
	Gone("near1");
	Gone("far1");
	Resume(2, "a2", "a1");
	EXPECT_EQ(SendsOf(2), 0u);
	EXPECT_NE(Last(2, PF_GATE_REFUSE), nullptr);
}

TEST_F(GateVersion, ATakenUpStreamOfAnUnknownVersionIsRefused)
{
	Resume(2, "a2", "a1");
	Tick(500);
	EXPECT_EQ(SendsOf(2), 0u);
	EXPECT_NE(Last(2, PF_GATE_REFUSE), nullptr);
}

// As before there were versions.
TEST_F(GateVersion, ATakenUpStreamGoesOnWhereAllEndpointsHaveOneVersion)
{
	Gone("near2");
	Tick(120000);
	Resume(2, "a2", "a1");
	Tick(500);
	EXPECT_EQ(SendsOf(2), 1u);
}

} // namespace
