// Strings, ids, random numbers, the bounded map and findings.
#include "pimentoford/base.h"
#include "pimentoford/findings.h"
#include "pimentoford/map.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <map>

TEST(Base, IdsDifferAndAreNeverZero)
{
	EXPECT_NE(pf_id(PF_STR("a")), pf_id(PF_STR("b")));
	EXPECT_NE(pf_id(PF_STR("")), 0u);
	EXPECT_NE(pf_id2(1, 2), pf_id2(2, 1));
}

TEST(Base, SameSeedSameDraws)
{
	struct pf_rng a, b;

	pf_rng_seed(&a, 7);
	pf_rng_seed(&b, 7);
	for (int i = 0; i < 100; i++)
		EXPECT_EQ(pf_rng_below(&a, 1000), pf_rng_below(&b, 1000));
}

TEST(Map, AgreesWithStdMapUnderRandomUse)
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

TEST(Findings, AreCollectedUpToTheBound)
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
