// When gateways that the store rejects get a configuration from their peers.
#include "pimentoford/config_fetch.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

namespace
{

constexpr pf_ms kNow = 50000;

struct DueCase {
	const char *name;
	uint64_t version, own;
	bool away;
	pf_ms behind; /* stated by another peer so long before */
	pf_ms earlier_fetch; /* began so long before; -1: none */
	bool same_peer; /* of that one */
	bool due;
};

struct ConfigFetchDue : ::testing::TestWithParam<DueCase> {
};

TEST_P(ConfigFetchDue, Cases)
{
	const DueCase &c = GetParam();
	struct pf_config_stated s = { 7, c.version, c.own, c.away };
	struct pf_config_stated first = { 8, c.version, c.own, false };
	struct pf_config_fetch f = {};
	uint32_t slot;

	if (c.behind)
		(void)pf_config_fetch_due(&f, kNow - c.behind, &first, &slot);
	if (c.earlier_fetch >= 0) {
		first.peer = c.same_peer ? 7 : 9;
		first.store_away = true;
		ASSERT_TRUE(pf_config_fetch_due(&f, kNow - c.earlier_fetch,
						&first, &slot));
	}
	EXPECT_EQ(pf_config_fetch_due(&f, kNow, &s, &slot), c.due);
}

INSTANTIATE_TEST_SUITE_P(
	Cases, ConfigFetchDue,
	::testing::Values(
		DueCase{ "NotNewer", 3, 3, true, 0, -1, false, false },
		DueCase{ "StoreFirst", 4, 3, false, 0, -1, false, false },
		DueCase{ "StoreHadItsTime", 4, 3, false, 500, -1, false, true },
		DueCase{ "StoreIsAway", 4, 3, true, 0, -1, false, true },
		DueCase{ "OneIsAsked", 4, 3, true, 0, 100, false, false },
		DueCase{ "OneIsSilent", 4, 3, true, 0, 250, false, true },
		DueCase{ "NotTwice", 4, 3, true, 0, 250, true, false },
		DueCase{ "None", 4, 0, true, 0, -1, false, true }),
	[](const ::testing::TestParamInfo<DueCase> &i) {
		return std::string(i.param.name);
	});

struct SpreadCase {
	const char *name;
	unsigned peers; /* that have the version */
	double silent; /* share that has stated it and then stopped */
	pf_ms digest; /* interval of each peer's statements */
};

struct ConfigFetchSpread : ::testing::TestWithParam<SpreadCase> {
};

// Fetches from peers that had stopped were given up after 1 s each, one after the
// other.
TEST_P(ConfigFetchSpread, SilentPeersDelayAVersionLittle)
{
	const SpreadCase &c = GetParam();
	const pf_ms answer = 150; /* 40 KB between regions */
	pf_ms worst = 0;

	for (unsigned seed = 1; seed <= 200; seed++) {
		std::mt19937 rng(seed);
		struct pf_config_fetch f = {};
		std::vector<pf_ms> next(c.peers);
		std::vector<bool> silent(c.peers);
		struct Flight {
			pf_ms ends;
			uint32_t slot;
			bool ok;
		};
		std::vector<Flight> flights;
		pf_ms done = -1;

		for (unsigned i = 0; i < c.peers; i++) {
			next[i] = 1 + static_cast<pf_ms>(rng() % c.digest);
			silent[i] = i + 1 < c.peers && i < c.silent * c.peers;
		}
		for (pf_ms now = 1; done < 0 && now < 20000; now++) {
			for (size_t k = 0; k < flights.size(); k++) {
				if (flights[k].ends != now)
					continue;
				pf_config_fetch_ended(&f, now, flights[k].slot,
						      flights[k].ok);
				if (flights[k].ok)
					done = now;
			}
			for (unsigned i = 0; i < c.peers; i++) {
				struct pf_config_stated s = { i + 1, 2, 1,
							      true };
				uint32_t slot;

				if (next[i] != now)
					continue;
				/* A stopped peer states nothing more. */
				next[i] = silent[i] ? 0 : now + c.digest;
				if (pf_config_fetch_due(&f, now, &s, &slot))
					flights.push_back(
						{ now + (silent[i]
								 ? PF_CONFIG_FETCH_TIMEOUT_MS
								 : answer),
						  slot, !silent[i] });
			}
		}
		ASSERT_GT(done, 0);
		worst = std::max(worst, done);
	}
	/* Of 2.5 s, 1 s are for a peer to have it. */
	EXPECT_LE(worst, 1500);
}

INSTANTIATE_TEST_SUITE_P(Cases, ConfigFetchSpread,
			 ::testing::Values(SpreadCase{ "3", 2, 0.5, 240 },
					   SpreadCase{ "25", 16, 0.7, 240 },
					   SpreadCase{ "103", 68, 0.7, 720 },
					   SpreadCase{ "400", 260, 0.7, 720 }),
			 [](const ::testing::TestParamInfo<SpreadCase> &i) {
				 return std::string(i.param.name);
			 });

} // namespace
