// Configurations that reach gateways otherwise than by the store.
#include "tests/fake_endpoint.h"
#include "tests/gateway_fixture.h"

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

} // namespace
