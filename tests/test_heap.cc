// The timer heap, compared with a std::map.
#include "pimentoford/heap.h"

#include <gtest/gtest.h>

#include <map>

TEST(Heap, RandomOperationsMatchStdMap)
{
	struct pf_heap h;
	std::map<uint32_t, pf_ms> want;
	struct pf_rng r;

	pf_rng_seed(&r, 5);
	ASSERT_EQ(pf_heap_init(&h, 64), 0);
	for (int i = 0; i < 20000; i++) {
		uint32_t slot = pf_rng_below(&r, 64), got = 0;
		bool set = pf_rng_below(&r, 3) > 0;
		pf_ms key = set ? (pf_ms)pf_rng_below(&r, 500) : PF_NEVER;

		pf_heap_set(&h, slot, key);
		if (set)
			want[slot] = key;
		else
			want.erase(slot);
		pf_ms least = PF_NEVER;
		for (auto &x : want)
			least = std::min(least, x.second);
		ASSERT_EQ(pf_heap_top(&h, &got), least);
		if (!want.empty()) {
			ASSERT_EQ(want[got], least);
		}
		ASSERT_EQ(h.n, want.size());
	}
	pf_heap_free(&h);
}
