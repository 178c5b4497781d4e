// Lease core: one holder, takeover, unreachable table, release.
#include "fuzz/lease_rig.h"

#include <gtest/gtest.h>

struct Lease : ::testing::Test {
	struct lease_rig rig;
	uint32_t holder = 9;

	void SetUp() override
	{
		ASSERT_EQ(lease_rig_init(&rig, 1), 0);
	}
	void TearDown() override
	{
		lease_rig_free(&rig);
	}
	void Run(pf_ms span)
	{
		for (pf_ms end = rig.now + span; rig.now < end;) {
			uint32_t any;

			lease_rig_advance(&rig);
			ASSERT_LE(lease_count_holders(&rig, &any), 1u);
		}
	}
	void WaitForHolder()
	{
		Run(20000);
		ASSERT_EQ(lease_count_holders(&rig, &holder), 1u);
	}
};

TEST_F(Lease, OneNodeTakesAndKeepsTheLease)
{
	WaitForHolder();
	uint32_t first = holder;

	Run(600000);
	WaitForHolder();
	EXPECT_EQ(holder, first);
	EXPECT_EQ(lease_count_audits(&rig), 1u);
}

TEST_F(Lease, PausedHolderExpiresBeforeTakeover)
{
	WaitForHolder();
	uint32_t first = holder;

	rig.paused_until[first] = rig.now + 60000;
	Run(30000);
	ASSERT_EQ(lease_count_holders(&rig, &holder), 1u);
	EXPECT_NE(holder, first);
	Run(60000);
	EXPECT_FALSE(rig.reported_held[first]);
	EXPECT_EQ(lease_count_audits(&rig), 2u);
}

TEST_F(Lease, NoTakeoverWhileTheTableIsUnreachable)
{
	WaitForHolder();
	uint32_t first = holder;

	rig.table_unreachable = true;
	Run(3600000);
	EXPECT_EQ(lease_count_holders(&rig, &holder), 0u);
	EXPECT_FALSE(rig.reported_held[first]);
	rig.table_unreachable = false;
	WaitForHolder();
}

TEST_F(Lease, StoppedHolderHandsOverBeforeExpiry)
{
	struct pf_lease_msg stop = {};

	WaitForHolder();
	uint32_t first = holder;

	stop.type = PF_LEASE_STOP;
	lease_step_node(&rig, first, &stop);
	EXPECT_FALSE(rig.reported_held[first]);
	Run(5000); // less than the lease duration
	ASSERT_EQ(lease_count_holders(&rig, &holder), 1u);
	EXPECT_NE(holder, first);
	EXPECT_EQ(pf_lease_next(rig.nodes[first]), PF_NEVER);
}

TEST_F(Lease, LostAnswersAreResolvedByReading)
{
	rig.loss_rate = 0.2;
	Run(600000);
	rig.loss_rate = 0;
	WaitForHolder();
	EXPECT_EQ(lease_count_audits(&rig), pf_lease_epoch(rig.nodes[holder]));
}

TEST_F(Lease, ObserverLearnsTheHolderAndNeverTakesOver)
{
	struct pf_lease_opts o;

	pf_lease_opts_default(&o);
	o.key = LEASE_KEY;
	o.process_name = "entry-9";
	o.holder_id = 9;
	o.observe_only = true;
	pf_lease_free(rig.nodes[0]);
	rig.nodes[0] = pf_lease_new(&o);
	WaitForHolder();
	EXPECT_NE(holder, 0u);
	EXPECT_EQ(pf_lease_holder(rig.nodes[0]), 100 + holder);
	rig.paused_until[1] = rig.paused_until[2] = rig.now + 60000;
	Run(60000);
	EXPECT_EQ(lease_count_audits(&rig), 1u);
}

// A grant that a restore lost was given again while its holder had it.
TEST_F(Lease, GrantLostInARestoreIsNotGivenTwice)
{
	for (int round = 0; round < 40; round++) {
		lease_rig_free(&rig);
		ASSERT_EQ(lease_rig_init(&rig, round), 0);
		rig.era = 1;
		if (round % 2)
			WaitForHolder();
		lease_rig_back_up(&rig);
		if (round % 2)
			rig.paused_until[holder] = rig.now + 20000;
		Run(20000 + 100 * round);
		ASSERT_EQ(lease_count_holders(&rig, &holder), 1u);
		if (round % 4 < 2)
			rig.paused_until[holder] = rig.now + 5000;
		lease_rig_restore(&rig);
		WaitForHolder();
		uint64_t epoch = pf_lease_epoch(rig.nodes[holder]);

		EXPECT_GE(epoch, (uint64_t)rig.era << 32);
	}
}

// It took a lease that is released, or absent, in the copy at once.
TEST_F(Lease, ProcessStartedAfterARestoreWaitsForAHolderItCannotSee)
{
	struct pf_lease_opts o;

	rig.era = 1;
	lease_rig_back_up(&rig);
	WaitForHolder();
	uint32_t other = (holder + 1) % LEASE_NODES;

	lease_rig_restore(&rig);
	rig.paused_until[holder] = rig.now + 30000;
	pf_lease_opts_default(&o);
	o.key = LEASE_KEY;
	o.process_name = "entry-9";
	o.holder_id = 9;
	pf_lease_free(rig.nodes[other]);
	rig.nodes[other] = pf_lease_new(&o);
	rig.node_era[other] = PF_ERA_UNKNOWN;
	WaitForHolder();
}

// A write of the era before, carried out late on a reused revision.
TEST_F(Lease, LateWriteOfAnOlderEraGrantsNothing)
{
	for (int round = 0; round < 40; round++) {
		lease_rig_free(&rig);
		ASSERT_EQ(lease_rig_init(&rig, round), 0);
		rig.era = 1;
		WaitForHolder();
		lease_rig_back_up(&rig);
		rig.delay_max = 1200;
		Run(10000 + 100 * round);
		lease_rig_restore(&rig);
		Run(20000);
		rig.delay_max = 20;
		WaitForHolder();
	}
}

TEST_F(Lease, RejectsOptionsOutOfRange)
{
	struct pf_lease_opts o;

	pf_lease_opts_default(&o);
	o.key = LEASE_KEY;
	o.process_name = "entry";
	EXPECT_EQ(pf_lease_new(&o), nullptr) << "no holder id";
	o.holder_id = 1;
	o.duration = o.clock_margin + o.heartbeat_interval;
	EXPECT_EQ(pf_lease_new(&o), nullptr) << "no time to renew";
}
