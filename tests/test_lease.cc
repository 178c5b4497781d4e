// The lease: one holder, takeovers, the table away, a graceful end.
#include "fuzz/lease_rig.h"

#include <gtest/gtest.h>

struct Lease : ::testing::Test {
	struct lease_rig r;
	uint32_t who = 9;

	void SetUp() override
	{
		ASSERT_EQ(lease_init(&r, 1), 0);
	}
	void TearDown() override
	{
		lease_free(&r);
	}
	void Run(pf_ms span)
	{
		for (pf_ms end = r.now + span; r.now < end;) {
			uint32_t any;

			lease_step(&r);
			ASSERT_LE(lease_holders(&r, &any), 1u);
		}
	}
	void Settle()
	{
		Run(20000);
		ASSERT_EQ(lease_holders(&r, &who), 1u);
	}
};

TEST_F(Lease, OneTakesItAndKeepsIt)
{
	Settle();
	uint32_t first = who;

	Run(600000);
	Settle();
	EXPECT_EQ(who, first);
	EXPECT_EQ(lease_audits(&r), 1u);
}

TEST_F(Lease, APausedHolderHasGivenUpBeforeAnotherTakesOver)
{
	Settle();
	uint32_t first = who;

	r.paused[first] = r.now + 60000;
	Run(30000);
	ASSERT_EQ(lease_holders(&r, &who), 1u);
	EXPECT_NE(who, first);
	Run(60000);
	EXPECT_FALSE(r.held[first]);
	EXPECT_EQ(lease_audits(&r), 2u);
}

TEST_F(Lease, WithTheTableAwayNobodyTakesOver)
{
	Settle();
	uint32_t first = who;

	r.away = true;
	Run(3600000);
	EXPECT_EQ(lease_holders(&r, &who), 0u);
	EXPECT_FALSE(r.held[first]);
	r.away = false;
	Settle();
}

TEST_F(Lease, AHolderThatStopsHandsItOverAtOnce)
{
	struct pf_lease_msg stop = {};

	Settle();
	uint32_t first = who;

	stop.type = PF_LEASE_STOP;
	lease_send(&r, first, &stop);
	EXPECT_FALSE(r.held[first]);
	Run(5000); // less than the term
	ASSERT_EQ(lease_holders(&r, &who), 1u);
	EXPECT_NE(who, first);
	EXPECT_EQ(pf_lease_next(r.nodes[first]), PF_NEVER);
}

TEST_F(Lease, LostAnswersAreSettledByReading)
{
	r.loss = 0.2;
	Run(600000);
	r.loss = 0;
	Settle();
	EXPECT_EQ(lease_audits(&r), pf_lease_epoch(r.nodes[who]));
}

TEST_F(Lease, AnObserverKnowsTheHolderAndNeverTakesIt)
{
	struct pf_lease_opts o;

	pf_lease_opts_default(&o);
	o.key = LEASE_KEY;
	o.process_name = "entry-9";
	o.holder_id = 9;
	o.observe_only = true;
	pf_lease_free(r.nodes[0]);
	r.nodes[0] = pf_lease_new(&o);
	Settle();
	EXPECT_NE(who, 0u);
	EXPECT_EQ(pf_lease_holder(r.nodes[0]), 100 + who);
	r.paused[1] = r.paused[2] = r.now + 60000;
	Run(60000);
	EXPECT_EQ(lease_audits(&r), 1u);
}

TEST_F(Lease, RefusesOptionsThatCannotBeKept)
{
	struct pf_lease_opts o;

	pf_lease_opts_default(&o);
	o.key = LEASE_KEY;
	o.process_name = "entry";
	EXPECT_EQ(pf_lease_new(&o), nullptr) << "no self";
	o.holder_id = 1;
	o.duration = o.clock_margin + o.heartbeat_interval;
	EXPECT_EQ(pf_lease_new(&o), nullptr) << "no time to renew";
}
