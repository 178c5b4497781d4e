// Memory ledger: reservations, orders in doubt, reconciliation, overcommit.
#include "pimentoford/ledger.h"

#include <gtest/gtest.h>

#include <cstring>

struct Ledger : ::testing::Test {
	struct pf_ledger l;

	void SetUp() override
	{
		ASSERT_EQ(pf_ledger_init(&l, 1000, 4, 4), 0);
		pf_ledger_reconcile_total(&l, 0, 0);
	}
	void TearDown() override
	{
		pf_ledger_free(&l);
	}
};

TEST_F(Ledger, AdmitsNothingBeforeReconciliation)
{
	pf_ledger_reset(&l);
	EXPECT_EQ(pf_ledger_available(&l), 0);
	EXPECT_EQ(pf_ledger_begin_load(&l, 0, 1), -1);
	EXPECT_EQ(pf_ledger_grant_kv(&l, 0, 1), -1);
	pf_ledger_reconcile_total(&l, 0, 0);
	EXPECT_EQ(pf_ledger_grant_kv(&l, 0, 1), 0);
}

TEST_F(Ledger, RefusedReservationChangesNothing)
{
	EXPECT_EQ(pf_ledger_begin_load(&l, 0, 600), 0);
	EXPECT_EQ(pf_ledger_grant_kv(&l, 0, 400), 0);
	struct pf_ledger before = l;

	EXPECT_EQ(pf_ledger_begin_load(&l, 1, 1), -1);
	EXPECT_EQ(pf_ledger_begin_load(&l, 0, 0), -1) << "one order per item";
	EXPECT_EQ(pf_ledger_grant_kv(&l, 0, 401), -1);
	EXPECT_EQ(pf_ledger_grant_kv(&l, 1, 1), -1);
	EXPECT_EQ(pf_ledger_begin_unload(&l, 0), -1) << "not resident yet";
	EXPECT_EQ(pf_ledger_begin_load(&l, 9, 1), -1);
	EXPECT_EQ(pf_ledger_grant_kv(&l, 9, 1), -1);
	EXPECT_EQ(memcmp(&before, &l, sizeof(l)), 0);
	EXPECT_EQ(pf_ledger_grant_kv(&l, 0, 300), 0);
	EXPECT_EQ(pf_ledger_available(&l), 100);
}

TEST_F(Ledger, OrderInDoubtKeepsItsBytesUntilSettled)
{
	ASSERT_EQ(pf_ledger_begin_load(&l, 0, 900), 0);
	pf_ledger_mark_in_doubt(&l, 0);
	EXPECT_EQ(pf_ledger_available(&l), 100) << "it may have been loaded";
	pf_ledger_settle(&l, 0, PF_ITEM_RESIDENT);
	EXPECT_EQ(pf_ledger_begin_unload(&l, 0), 0);
	EXPECT_EQ(pf_ledger_available(&l), 100) << "it is still resident";
	pf_ledger_mark_in_doubt(&l, 0);
	EXPECT_EQ(pf_ledger_available(&l), 100);
	pf_ledger_settle(&l, 0, PF_ITEM_ABSENT);
	EXPECT_EQ(pf_ledger_available(&l), 1000);
}

TEST_F(Ledger, ReconciliationCountsTheLargerAmount)
{
	ASSERT_EQ(pf_ledger_grant_kv(&l, 0, 200), 0);
	pf_ledger_reconcile_item(&l, 0, PF_ITEM_RESIDENT, 300);
	pf_ledger_reconcile_total(&l, 450, 0);
	EXPECT_EQ(pf_ledger_committed(&l), 500)
		<< "an unused grant counts in full";
	pf_ledger_reconcile_total(&l, 640, 0);
	EXPECT_EQ(pf_ledger_committed(&l), 640);
	pf_ledger_reconcile_item(&l, 0, PF_ITEM_RESIDENT, 250);
	EXPECT_EQ(l.items[0].bytes, 300);
	pf_ledger_reconcile_total(&l, 0, 0);
	EXPECT_EQ(pf_ledger_committed(&l), 500);
	pf_ledger_reconcile_total(&l, 640, 150);
	EXPECT_EQ(pf_ledger_committed(&l), 650);
}

TEST_F(Ledger, OvercommitBlocksReservationsUntilFreed)
{
	ASSERT_EQ(pf_ledger_grant_kv(&l, 0, 200), 0);
	pf_ledger_reconcile_item(&l, 0, PF_ITEM_RESIDENT, 900);
	pf_ledger_reconcile_total(&l, 1100, 0);
	EXPECT_EQ(pf_ledger_committed(&l), 1100);
	EXPECT_EQ(pf_ledger_available(&l), 0);
	EXPECT_EQ(pf_ledger_grant_kv(&l, 1, 1), -1);
	EXPECT_EQ(pf_ledger_begin_load(&l, 1, 1), -1);
	pf_ledger_release_kv(&l, 0);
	EXPECT_EQ(pf_ledger_available(&l), 100);
	EXPECT_EQ(l.overcommit_sum, 0);
}

TEST(LedgerDeath, OvercommitWithoutInventoryAsserts)
{
	struct pf_ledger l;

	ASSERT_EQ(pf_ledger_init(&l, 1000, 1, 1), 0);
	pf_ledger_reconcile_total(&l, 0, 0);
	l.kv_bytes = 1001; // an overcommit that no inventory caused
	EXPECT_DEATH(pf_ledger_release_kv(&l, 0), "committed memory");
	pf_ledger_free(&l);
}
