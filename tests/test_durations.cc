// The longest durations of late. Guards against a stop that cuts requests which
// are known to take longer than it lasts.
#include "pimentoford/durations.h"

#include <gtest/gtest.h>

namespace
{

const pf_ms WINDOW = PF_DURATIONS_WINDOW_MS;

TEST(Durations, TheLongestCountsForOneToTwoWindows)
{
	struct {
		pf_ms later;
		pf_ms longest;
	} cases[] = { { 0, 700 },
		      { WINDOW - 1, 700 },
		      { WINDOW, 700 },
		      { 2 * WINDOW - 1, 700 },
		      { 2 * WINDOW, 0 } };
	struct pf_durations *d = pf_durations_new();

	ASSERT_NE(d, nullptr);
	EXPECT_EQ(pf_durations_longest(d, 5 * WINDOW, 1), 0);
	for (pf_ms ms : { 300, 700, 20 })
		pf_durations_add(d, 5 * WINDOW, 1, ms);
	pf_durations_add(d, 5 * WINDOW, 2, 9000);
	for (auto &c : cases)
		EXPECT_EQ(pf_durations_longest(d, 5 * WINDOW + c.later, 1),
			  c.longest)
			<< c.later;
	pf_durations_add(d, 6 * WINDOW, 1, 50);
	EXPECT_EQ(pf_durations_longest(d, 6 * WINDOW, 1), 700);
	EXPECT_EQ(pf_durations_longest(d, 7 * WINDOW, 1), 50);
	pf_durations_free(d);
}

TEST(Durations, KeysOutOfUseMakeRoom)
{
	struct pf_durations *d = pf_durations_new();
	pf_ms now = 0;

	for (uint64_t key = 1; key <= 20000; key++) {
		now += WINDOW / 20;
		pf_durations_add(d, now, key, (pf_ms)key);
		ASSERT_EQ(pf_durations_longest(d, now, key), (pf_ms)key);
	}
	EXPECT_EQ(pf_durations_longest(d, now, 19999), 19999);
	EXPECT_EQ(pf_durations_longest(d, now, 19000), 0);
	pf_durations_free(d);
}

} // namespace
