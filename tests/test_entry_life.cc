// Entry core: the life of a request, sequence by sequence.
#include "tests/entry_rig.h"

struct EntryLife : EntryRig {
};

TEST_F(EntryLife, WholeAnswerIsDeliveredAndEnds)
{
	start();
	ready(AGENT_A);
	Act t = arrive_sent(1, work());
	EXPECT_EQ(t.agent, AGENT_A);
	EXPECT_EQ(t.id.attempt, 1u);
	say(PF_ENTRY_STARTED, t);
	piece(t, 0, 3);
	EXPECT_EQ(find(PF_ENTRY_DELIVER).deliver.count, 3u);
	piece(t, 3, 2);
	EXPECT_EQ(find(PF_ENTRY_DELIVER).deliver.offset, 3u);
	done(t, 5);
	expect_end(1, PF_REASON_NONE, PF_RAN);
	EXPECT_EQ(find(PF_ENTRY_END).end.total, 5u);
	EXPECT_EQ(stats().alive, 0u);
}
