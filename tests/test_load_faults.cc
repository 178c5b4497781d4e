// A failed answer is excused only by a fault of its own entry at that time.
// Looking a fault up must not consume it: one fault fails many requests.
#include "load/faults.h"

#include <gtest/gtest.h>

TEST(Faults, ExplainByTimeAndEntryAnyNumberOfTimes)
{
	GArray *log = faults_parse("100000 127.0.0.1:1\n"
				   "junk\n"
				   "200000 agent-1\n");
	const struct {
		const char *what;
		int64_t begin, end;
		const char *entry;
		bool want;
	} cases[] = {
		{ "its entry", 99000, 100000, "127.0.0.1:1", true },
		{ "its entry, asked again", 99000, 100000, "127.0.0.1:1",
		  true },
		{ "another entry", 99000, 100000, "127.0.0.1:2", false },
		{ "before the fault", 98000, 99999, "127.0.0.1:1", false },
		{ "within reach", 100000 + FAULT_EFFECT_MS, 300000,
		  "127.0.0.1:1", true },
		{ "out of reach", 100001 + FAULT_EFFECT_MS, 150000, nullptr,
		  false },
		{ "any target", 199000, 201000, nullptr, true },
		{ "not an entry's", 199000, 201000, "127.0.0.1:1", false },
	};

	ASSERT_EQ(log->len, 2u);
	for (const auto &c : cases)
		EXPECT_EQ(faults_explain(log, c.begin, c.end, c.entry), c.want)
			<< c.what;
	g_array_unref(log);
}
