// Routes that are split over many services.
#include "tests/gate_rig.h"

#include <gtest/gtest.h>

#include <cstdlib>

namespace
{

class GateServices : public testing::Test, public GateRig
{
      protected:
	struct Share {
		std::string service;
		double weight;
	};

	static std::string Name(int i)
	{
		return "s" + std::to_string(i);
	}
	/* Of /s/. Each service has two endpoints: its name and 0 or 1. */
	void Split(const std::vector<Share> &shares)
	{
		struct pf_route *r = &routes->routes[0];

		free(r->splits);
		r->splits = static_cast<struct pf_split *>(
			calloc(shares.size(), sizeof(*r->splits)));
		r->n_splits = 0;
		for (const Share &s : shares)
			r->splits[r->n_splits++] = { Id(s.service.c_str()),
						     s.weight };
	}
	void AddEndpoints(const std::string &service)
	{
		for (const char *n : { "0", "1" })
			Endpoint((service + n).c_str(), service.c_str(), "za");
	}
	bool IsSentTo(int tag, const std::string &service) const
	{
		return SentTo(tag) == Id((service + "0").c_str()) ||
		       SentTo(tag) == Id((service + "1").c_str());
	}
	/* Share of 2,000 requests that reach the service. */
	double ShareOf(const std::string &service)
	{
		const int n = 2000;
		int sent = 0;

		for (int i = 0; i < n; i++) {
			int tag = next_++;

			Arrive(tag, "/s/", 800, nullptr, nullptr, 0, nullptr,
			       7919u * static_cast<unsigned>(tag));
			sent += IsSentTo(tag, service);
			Ended(tag, PF_GATE_ANSWERED, 200);
		}
		return static_cast<double>(sent) / n;
	}
	int next_ = 1;
};

// Weights were cut to whole numbers, and those below 1 refused.
TEST_F(GateServices, GetTheirShareByWeight)
{
	struct Case {
		std::vector<Share> shares;
		double first;
	};
	const std::vector<Case> cases = {
		{ { { "s1", 0.9 }, { "s2", 0.1 } }, 0.9 },
		{ { { "s1", 2.5 }, { "s2", 7.5 } }, 0.25 },
		{ { { "s1", 4e9 }, { "s2", 4e9 } }, 0.5 },
		{ { { "s1", 1 } }, 1 },
	};

	Start();
	AddEndpoints("s1");
	AddEndpoints("s2");
	for (const Case &c : cases) {
		Split(c.shares);
		EXPECT_NEAR(ShareOf("s1"), c.first, 0.05);
	}
}

} // namespace
