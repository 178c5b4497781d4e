// Configurations that reach gateways otherwise than by the store.
#include "tests/fake_endpoint.h"
#include "tests/gateway_fixture.h"
#include "tests/gateway_group.h"

#include <gtest/gtest.h>

#include <thread>

namespace
{

struct GatewayConfig : ::testing::Test {
	/* A store of its own for each: that of the second one stands still, as if
	 * the platform's turned it away. */
	FakeStore store, still;
	FakeEndpoint::Options o;
	std::unique_ptr<FakeEndpoint> endpoint;
	Daemon first, second;
	int datagrams = FreePort(), port = FreePort(), ready = FreePort();

	void Start(Daemon &d, const std::string &addr, const std::string &ip)
	{
		d.Start("pimento-gateway",
			GatewaySettings(addr, ip, port, ready, datagrams));
	}
	std::string Counter(const std::string &ip, const std::string &name)
	{
		std::string m = FakeGet(ip.c_str(), ready, "/metrics");
		size_t at = m.find("\npimento_gateway_" + name + " ");

		if (at == std::string::npos)
			return "";
		at = m.find(' ', at) + 1;
		return m.substr(at, m.find('\n', at) - at);
	}
	/* Whether the counter has the value within @ms. */
	bool Becomes(const std::string &ip, const std::string &name,
		     const std::string &value, int ms)
	{
		for (; ms > 0; ms -= 50) {
			if (Counter(ip, name) == value)
				return true;
			std::this_thread::sleep_for(
				std::chrono::milliseconds(50));
		}
		return false;
	}
};

// Gateways that the store turned away answered by an older configuration for as
// long as it did.
TEST_F(GatewayConfig, AGatewayThatTheStoreTurnsAwayGetsItFromAnother)
{
	store.Put("op", "config", ConfigJson(1));
	still.Put("op", "config", ConfigJson(1));
	still.PutInPart("pimentoford", "gateways", "g-127.0.0.2",
			"127.0.0.2:" + std::to_string(datagrams) + " za");
	Start(first, store.addr(), "127.0.0.2");
	Start(second, still.addr(), "127.0.0.3");
	ASSERT_TRUE(Becomes("127.0.0.2", "config_version", "1", 5000));
	ASSERT_TRUE(Becomes("127.0.0.3", "config_version", "1", 5000));
	std::this_thread::sleep_for(std::chrono::milliseconds(2000));
	store.Put("op", "config", ConfigJson(2));
	EXPECT_TRUE(Becomes("127.0.0.3", "config_version", "2", 4000));
	EXPECT_EQ(Counter("127.0.0.3", "config_from_peer_total"), "1");
	EXPECT_EQ(Counter("127.0.0.2", "config_from_peer_total"), "0");
}

/* The configuration with /s/ split equally over services s1 to s@n. */
static std::string SplitConfig(int version, int n)
{
	std::string json = ConfigJson(version);
	std::string service = "\"service\":\"app\"";
	std::string split = "\"split\":[";

	for (int i = 1; i <= n; i++)
		split += std::string(i > 1 ? "," : "") + "{\"service\":\"s" +
			 std::to_string(i) + "\",\"weight\":10}";
	return json.replace(json.find(service), service.size(), split + "]");
}

// A gateway kept the older configuration, and had none after a restart, while a
// route of the newest one was split over more than eight services.
TEST_F(GatewayConfig, ARouteMayBeSplitOverManyServices)
{
	std::string version = "config_version";

	store.Put("op", "config", SplitConfig(1, 8));
	Start(first, store.addr(), "127.0.0.2");
	ASSERT_TRUE(Becomes("127.0.0.2", version, "1", 5000));
	store.Put("op", "config", SplitConfig(2, 9));
	EXPECT_TRUE(Becomes("127.0.0.2", version, "2", 2500));
	store.Put("op", "config", SplitConfig(3, 100));
	EXPECT_TRUE(Becomes("127.0.0.2", version, "3", 2500));
	first.Signal(SIGKILL);
	first.Wait();
	Start(first, store.addr(), "127.0.0.2");
	EXPECT_TRUE(Becomes("127.0.0.2", version, "3", 5000));
}

/* The first three have the duties. */
struct GatewayReaders : GatewayGroup, ::testing::WithParamInterface<unsigned> {
	static constexpr unsigned kReaders = 3;

	std::string StoreAddr(unsigned i) override
	{
		return store.AddAddress(std::to_string(i));
	}
	std::string Settings(unsigned i) override
	{
		return i < kReaders ? "cores = 8\n" : "cores = 0.1\n";
	}
	std::string Version(const Node &n)
	{
		std::string m = FakeGet(n.ip.c_str(), n.ready, "/metrics");
		const std::string name = "\npimento_gateway_config_version ";
		size_t at = m.find(name);

		if (at == std::string::npos)
			return "";
		at += name.size();
		return m.substr(at, m.find('\n', at) - at);
	}
	/* Until all have the version, or @ms have passed. */
	unsigned CountWithin(const std::string &version, int ms)
	{
		auto end = Clock::now() + std::chrono::milliseconds(ms);
		unsigned n = 0;

		do {
			n = 0;
			for (auto &g : gateways)
				n += Version(*g) == version;
		} while (n < gateways.size() && Clock::now() < end);
		return n;
	}
};

// While the store answered none of the readers, others read the configuration
// 3 s later: it was not in force in 2.5 s.
TEST_P(GatewayReaders, AreReplacedInTimeWhenTheStoreFallsSilentToThem)
{
	const unsigned n = GetParam();

	StartGroup(n, 1, {});
	SleepMs(3000);
	store.Put("op", "config", ConfigJson(2));
	ASSERT_EQ(CountWithin("2", 4000), n);
	SleepMs(400);
	for (unsigned i = 0; i < kReaders; i++)
		store.SetFault(FakeStore::SILENT, std::to_string(i));
	store.Put("op", "config", ConfigJson(3));
	EXPECT_EQ(CountWithin("3", 2500), n);
}

INSTANTIATE_TEST_SUITE_P(Sizes, GatewayReaders, ::testing::Values(5u, 25u));

} // namespace
