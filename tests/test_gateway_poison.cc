// Gateways as processes, and endpoints that one part of a prompt crashes.
#include "tests/gateway_group.h"

namespace
{

const char POISON_PART[] = "bad0";

struct GatewayPoison : GatewayGroup {
	std::atomic<bool> poison{ false };
	std::atomic<unsigned> arrivals{ 0 }; /* of the poisoned part */

	/* One caller in six sends poisoned requests now and then. */
	std::string ChoosePart(unsigned caller, std::mt19937 &rng) override
	{
		return poison && caller % 6 == 0 && rng() % 2
			       ? POISON_PART
			       : GatewayGroup::ChoosePart(caller, rng);
	}
	bool Counts(const std::string &part) override
	{
		return part != POISON_PART;
	}
	size_t CrashCount()
	{
		size_t n = 0;

		for (auto &e : endpoints)
			n += e->CrashCount();
		return n;
	}
};

struct PoisonGroup {
	const char *name;
	unsigned gateways, endpoints, callers;
};

struct GatewayPoisonGroups : GatewayPoison,
			     ::testing::WithParamInterface<PoisonGroup> {
};

// Unlike requests with one part in common crashed endpoints without end.
TEST_P(GatewayPoisonGroups, APartThatCrashesEndpointsIsRefusedByAllGateways)
{
	const PoisonGroup &c = GetParam();
	FakeEndpoint::Options o;

	o.crash_part = POISON_PART;
	o.on_request = [this](FakeEndpoint &, const FakeRequest &r) {
		arrivals += r.Header("Prompt-Prefix").find(POISON_PART) !=
			    std::string::npos;
	};
	ASSERT_NO_FATAL_FAILURE(StartGroup(c.gateways, c.endpoints, o));
	StartCallers(c.callers);
	SleepMs(4000);
	poison = true;
	auto deadline = Clock::now() + std::chrono::seconds(9);
	while (CrashCount() < 5 && Clock::now() < deadline)
		SleepMs(5);
	SleepMs(4000);
	unsigned arrived = arrivals;
	unsigned before = sent;
	unsigned complete_before = complete;
	SleepMs(4000);
	unsigned late = arrivals - arrived;
	printf("%s: crashes %zu, poisoned requests too late %u, sound %u, of "
	       "these complete %u\n",
	       c.name, CrashCount(), late, sent - before,
	       complete - complete_before);
	EXPECT_GE(CrashCount(), 3u);
	EXPECT_LE(late, 3u);
	EXPECT_GE(2 * (complete - complete_before), sent - before);
}

INSTANTIATE_TEST_SUITE_P(Cases, GatewayPoisonGroups,
			 ::testing::Values(PoisonGroup{ "Three", 3, 8, 12 },
					   PoisonGroup{ "Twenty", 20, 16, 24 },
					   PoisonGroup{ "Forty", 40, 16, 24 }),
			 [](const ::testing::TestParamInfo<PoisonGroup> &i) {
				 return std::string(i.param.name);
			 });

} // namespace
