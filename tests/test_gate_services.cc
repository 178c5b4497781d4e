// Routes that are split over many services.
#include "tests/gate_rig.h"

#include <gtest/gtest.h>

#include <algorithm>
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

// A gateway that had seen 16 services sent no retries to further ones.
TEST_F(GateServices, ManyHaveARetryBudgetEach)
{
	const int n = 100;

	Start();
	Tick(2 * o.repeat_window);
	for (int i = 1; i <= n; i++) {
		int tag = next_++;

		AddEndpoints(Name(i));
		Split({ { Name(i), 1 } });
		Arrive(tag, "/s/", 800);
		ASSERT_TRUE(IsSentTo(tag, Name(i))) << i;
		uint64_t first = SentTo(tag);
		Ended(tag, PF_GATE_LOST, 0, true);
		EXPECT_NE(SentTo(tag), first) << "no retry at service " << i;
	}
}

// Services of older configurations take up no memory for good, and one that
// comes back has no more budget than before.
TEST_F(GateServices, OnesOutOfUseMakeRoom)
{
	const int rounds = 300, retries_each = 60;
	uint32_t most = 0;

	o.repeat_slack = 10;
	Start();
	Tick(2 * o.repeat_window);
	for (int i = 1; i <= rounds; i++) {
		struct pf_gate_stats s;

		Split({ { Name(i), 1 } });
		AddEndpoints(Name(i));
		Arrive(next_, "/s/", 800);
		Ended(next_++, PF_GATE_ANSWERED, 200);
		for (const char *end : { "0", "1" })
			Gone((Name(i) + end).c_str());
		Tick(o.repeat_window / 5);
		pf_gate_stats(g, &s);
		most = std::max(most, s.services);
	}
	EXPECT_LE(most, 32u);
	/* An endpoint that didn't run a request is left out for a while. */
	Split({ { "s1", 1 } });
	for (int i = 0; i < 2 * retries_each; i++)
		Endpoint(("e" + std::to_string(i)).c_str(), "s1", "za");
	int retried = 0;
	for (int i = 0; i < retries_each; i++) {
		int tag = next_++;

		Arrive(tag, "/s/", 800);
		uint64_t first = SentTo(tag);
		Ended(tag, PF_GATE_NOT_RUN, 503);
		if (SentTo(tag) == first)
			continue;
		retried++;
		Ended(tag, PF_GATE_ANSWERED, 200);
	}
	EXPECT_GE(retried, 10);
	EXPECT_LE(retried, 10 + retries_each / 5 + 1);
}

} // namespace
