// Gateways as processes, and endpoints that name how many requests a second they
// take from all of them.
#include "tests/gateway_group.h"

namespace
{

/* The platform's bound, and the time until it holds. */
const unsigned STABLE_MS = 4000;
const double WINDOW_S = 4, LIMIT_FACTOR = 1.5, LIMIT_EXTRA = 5;

struct LimitCase {
	const char *name;
	unsigned gateways, endpoints;
	unsigned limited; /* of the endpoints, the first ones */
	double per_s;
};

void PrintTo(const LimitCase &c, std::ostream *out)
{
	*out << c.name;
}

struct GatewayLimit : GatewayGroup, ::testing::WithParamInterface<LimitCase> {
	std::mutex mu;
	std::map<std::string, std::vector<Clock::time_point>> arrivals;

	/* The most requests that one endpoint got in a window since @from. */
	size_t MostInWindow(Clock::time_point from)
	{
		std::lock_guard<std::mutex> g(mu);
		auto window = std::chrono::duration<double>(WINDOW_S);
		size_t most = 0;

		for (auto &[id, v] : arrivals) {
			for (size_t first = 0, i = 0; i < v.size(); i++) {
				while (v[first] < from ||
				       v[i] - v[first] >= window) {
					if (first == i)
						break;
					first++;
				}
				if (v[first] >= from)
					most = std::max(most, i - first + 1);
			}
		}
		return most;
	}
};

// Endpoints got as many requests as ever, whatever limit they named.
TEST_P(GatewayLimit, EndpointsGetNoMoreThanTheyTake)
{
	const LimitCase &c = GetParam();
	FakeEndpoint::Options o;

	o.on_request = [this](FakeEndpoint &e, const FakeRequest &) {
		std::lock_guard<std::mutex> g(mu);

		arrivals[e.id()].push_back(Clock::now());
	};
	ASSERT_NO_FATAL_FAILURE(StartGroup(c.gateways, c.endpoints, o));
	StartCallers(16);
	SleepMs(1500);
	for (unsigned i = 0; i < c.limited; i++)
		endpoints[i]->NameLimit(c.per_s);
	SleepMs(STABLE_MS);
	{
		std::lock_guard<std::mutex> g(mu);

		for (unsigned i = c.limited; i < c.endpoints; i++)
			arrivals.erase(endpoints[i]->id());
	}
	auto from = Clock::now();
	unsigned sent_before = sent;
	unsigned complete_before = complete;
	SleepMs(6500);
	{
		std::lock_guard<std::mutex> g(mu);

		for (unsigned i = c.limited; i < c.endpoints; i++)
			arrivals.erase(endpoints[i]->id());
	}
	size_t most = MostInWindow(from);
	printf("%s: most in 4 s %zu; of %u requests %u complete, refused in "
	       "all %u\n",
	       c.name, most, sent - sent_before, complete - complete_before,
	       refused.load());
	EXPECT_LE(most, LIMIT_FACTOR * c.per_s * WINDOW_S + LIMIT_EXTRA);
	// Those without a limit, or what the limits allow, go on serving.
	EXPECT_GE(complete - complete_before,
		  c.limited < c.endpoints ? 0.9 * (sent - sent_before)
					  : 0.5 * 6.5 * c.limited * c.per_s);
}

INSTANTIATE_TEST_SUITE_P(
	Cases, GatewayLimit,
	::testing::Values(LimitCase{ "HalfOfTwelve", 5, 12, 6, 1 },
			  LimitCase{ "AllOfTwelve", 4, 12, 12, 2.5 },
			  LimitCase{ "BelowOne", 4, 6, 6, 0.5 },
			  LimitCase{ "OneGateway", 1, 2, 2, 1 },
			  LimitCase{ "ManyGateways", 14, 3, 3, 1 },
			  LimitCase{ "EightyGateways", 80, 8, 8, 1 }),
	[](const ::testing::TestParamInfo<LimitCase> &i) {
		return std::string(i.param.name);
	});

} // namespace
