// Ids, random numbers, the hash map, findings, histograms and the log limit.
#include "pimentoford/log.h"
#include "pimentoford/counters.h"
#include "pimentoford/base.h"
#include "pimentoford/findings.h"
#include "pimentoford/map.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <string>

#include <cstdlib>
#include <map>

TEST(Base, IdsDifferAndAreNeverZero)
{
	EXPECT_NE(pf_id(PF_STR("a")), pf_id(PF_STR("b")));
	EXPECT_NE(pf_id(PF_STR("")), 0u);
	EXPECT_NE(pf_id2(1, 2), pf_id2(2, 1));
}

TEST(Base, SameSeedGivesSameNumbers)
{
	struct pf_rng a, b;

	pf_rng_seed(&a, 7);
	pf_rng_seed(&b, 7);
	for (int i = 0; i < 100; i++)
		EXPECT_EQ(pf_rng_below(&a, 1000), pf_rng_below(&b, 1000));
}

TEST(Map, RandomOperationsMatchStdMap)
{
	struct pf_map m;
	std::map<uint64_t, uint32_t> want;
	struct pf_rng r;

	pf_rng_seed(&r, 3);
	ASSERT_EQ(pf_map_init(&m, 64), 0);
	for (int i = 0; i < 20000; i++) {
		uint64_t k = pf_rng_below(&r, 100);
		uint32_t v = pf_rng_below(&r, 1u << 30);

		if (pf_rng_below(&r, 2)) {
			bool fits = want.count(k) || want.size() < 64;

			EXPECT_EQ(pf_map_put(&m, pf_key1(k), v), fits ? 0 : -1);
			if (fits)
				want[k] = v;
		} else {
			EXPECT_EQ(pf_map_del(&m, pf_key1(k)),
				  want.erase(k) ? 0 : -1);
		}
		uint32_t got = 0;
		auto it = want.find(k);

		ASSERT_EQ(pf_map_get(&m, pf_key1(k), &got),
			  it == want.end() ? -1 : 0);
		if (it != want.end()) {
			ASSERT_EQ(got, it->second);
		}
		ASSERT_EQ(m.n, want.size());
	}
	pf_map_free(&m);
}

TEST(Findings, AreTruncatedAtTheMaximum)
{
	struct pf_findings f = {};

	for (int i = 0; i < PF_FINDINGS_MAX + 5; i++)
		pf_findings_add(&f, "a.toml:1 x", "bad %d", i);
	EXPECT_EQ(f.n, (size_t)PF_FINDINGS_MAX);
	EXPECT_TRUE(f.truncated);
	EXPECT_STREQ(f.v[3].text, "bad 3");
	pf_findings_clear(&f);
	EXPECT_FALSE(pf_findings_any(&f));
}

TEST(Histogram, BucketsAreCumulativeWithInclusiveBounds)
{
	struct pf_histogram h = {};
	struct pf_text t = {};

	for (pf_ms ms : { 5, 10, 11, 800, 99999 })
		pf_histogram_add(&h, ms);
	pf_histogram_text(&h, "x", "y", &t);
	std::string s(t.p, t.n);
	pf_text_free(&t);
	EXPECT_NE(s.find("x_bucket{le=\"10\"} 2\n"), std::string::npos);
	EXPECT_NE(s.find("x_bucket{le=\"25\"} 3\n"), std::string::npos);
	EXPECT_NE(s.find("x_bucket{le=\"12800\"} 4\n"), std::string::npos);
	EXPECT_NE(s.find("x_bucket{le=\"+Inf\"} 5\n"), std::string::npos);
	EXPECT_NE(s.find("x_sum 100825\n"), std::string::npos);
}

// Lines above an event's rate limit are dropped without effect on other events;
// the next second logs their count.
TEST(LogLimit, DropsLinesAboveTheRateAndReportsThem)
{
	struct pf_log_limit limit = {};
	int fds[2];
	char buf[65536];

	limit.per_s = 3;
	ASSERT_EQ(pipe(fds), 0);
	struct pf_log l = { fds[1], PF_LOG_INFO, "t", &limit };
	struct pf_log_kv a = PF_KV_STR("event", "often");
	struct pf_log_kv b = PF_KV_STR("event", "rare");
	for (int i = 0; i < 500; i++)
		pf_log_write(&l, PF_LOG_INFO, &a, 1);
	pf_log_write(&l, PF_LOG_INFO, &b, 1);
	limit.current_second = 0; // the second is over
	pf_log_write(&l, PF_LOG_INFO, &a, 1);
	ssize_t n = read(fds[0], buf, sizeof(buf));
	std::string s(buf, n > 0 ? (size_t)n : 0);
	EXPECT_NE(s.find("event=rare"), std::string::npos);
	EXPECT_NE(s.find("event=left_out of=often"), std::string::npos);
	size_t lines = 0;
	for (size_t at = 0;
	     (at = s.find("event=often", at)) != std::string::npos; at++)
		lines++;
	// Writing may span two seconds of three lines each; one more follows.
	EXPECT_LE(lines, 7u);
	close(fds[0]);
	close(fds[1]);
}
