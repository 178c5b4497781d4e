// Gateways as processes, and endpoints that one part of a prompt crashes.
#include "tests/fake_endpoint.h"
#include "tests/gateway_fixture.h"

#include <gtest/gtest.h>
#include <sys/socket.h>

#include <random>

namespace
{

using Clock = std::chrono::steady_clock;

const unsigned GATEWAYS = 3;
const unsigned ENDPOINTS = 8;
const unsigned CALLERS = 12;
const char POISON_PART[] = "bad0";

struct GatewayPoison : ::testing::Test {
	struct Node {
		Daemon process;
		std::string ip;
		int port, ready;
	};

	FakeStore store;
	std::vector<std::unique_ptr<FakeEndpoint>> endpoints;
	std::vector<std::unique_ptr<Node>> gateways;
	std::vector<std::thread> callers;
	std::atomic<bool> stop{ false }, poison{ false };
	std::atomic<unsigned> ids{ 1000 };
	std::mutex mu;
	std::vector<Clock::time_point> arrivals; /* of the poisoned part */
	std::atomic<unsigned> sound{ 0 }, complete{ 0 };

	void SetUp() override
	{
		int datagrams = FreePort();

		store.Put("op", "config", ConfigJson(1));
		for (unsigned i = 0; i < ENDPOINTS; i++) {
			FakeEndpoint::Options o;

			o.id = "e" + std::to_string(i);
			o.store = &store;
			o.crash_part = POISON_PART;
			o.on_request = [this](FakeEndpoint &,
					      const FakeRequest &r) {
				std::lock_guard<std::mutex> g(mu);

				if (IsPoisoned(r))
					arrivals.push_back(Clock::now());
			};
			endpoints.push_back(std::make_unique<FakeEndpoint>(o));
		}
		for (unsigned i = 0; i < GATEWAYS; i++) {
			auto n = std::make_unique<Node>();

			n->ip = "127.0.0." + std::to_string(i + 2);
			n->port = FreePort();
			n->ready = FreePort();
			n->process.Start("pimento-gateway",
					 GatewaySettings(store.addr(), n->ip,
							 n->port, n->ready,
							 datagrams));
			gateways.push_back(std::move(n));
		}
		for (auto &n : gateways)
			while (FakeGet(n->ip.c_str(), n->ready, "/ready")
				       .find(" 200 ") == std::string::npos)
				SleepMs(20);
		for (unsigned i = 0; i < CALLERS; i++)
			callers.emplace_back([this, i] { Call(i); });
	}
	void TearDown() override
	{
		stop = true;
		for (std::thread &t : callers)
			t.join();
	}
	static void SleepMs(unsigned ms)
	{
		std::this_thread::sleep_for(std::chrono::milliseconds(ms));
	}
	static bool IsPoisoned(const FakeRequest &r)
	{
		return r.Header("Prompt-Prefix").find(POISON_PART) !=
		       std::string::npos;
	}
	/* One caller in six sends poisoned requests now and then. */
	void Call(unsigned seed)
	{
		std::mt19937 rng(seed);

		while (!stop) {
			bool bad = poison && seed % 6 == 0 && rng() % 2;

			Send(rng, bad);
			SleepMs(100 + rng() % 200);
		}
	}
	void Send(std::mt19937 &rng, bool bad)
	{
		const Node &n = *gateways[rng() % GATEWAYS];
		std::string id = std::to_string(ids++);
		std::string part =
			bad ? POISON_PART : "5" + std::to_string(rng() % 20);
		int fd = FakeDial(n.ip.c_str(), n.port);

		FakeSend(fd, "GET /r/" + id +
				     " HTTP/1.1\r\nHost: h\r\nAttempt-Id: " +
				     id + "\r\nPrompt-Prefix: a" +
				     std::to_string(rng() % 3) + ":100," +
				     part + ":50,f" + id +
				     ":40\r\nDeadline-Ms: 5000\r\n"
				     "Connection: close\r\n\r\n");
		std::string got = FakeReceive(fd, "");
		close(fd);
		if (bad)
			return;
		sound++;
		complete += got.find("data: e8 ") != std::string::npos;
	}
	size_t CrashCount()
	{
		size_t n = 0;

		for (auto &e : endpoints)
			n += e->CrashCount();
		return n;
	}
};

// Unlike requests with one part in common crashed endpoints without end.
TEST_F(GatewayPoison, APartThatCrashesEndpointsIsRefusedByAllGateways)
{
	SleepMs(4000);
	poison = true;
	auto deadline = Clock::now() + std::chrono::seconds(9);
	while (CrashCount() < 5 && Clock::now() < deadline)
		SleepMs(5);
	SleepMs(4000);
	{
		std::lock_guard<std::mutex> g(mu);

		arrivals.clear();
	}
	unsigned before = sound;
	unsigned complete_before = complete;
	SleepMs(4000);
	std::lock_guard<std::mutex> g(mu);
	printf("crashes %zu, poisoned requests too late %zu, sound %u, of "
	       "these complete %u\n",
	       CrashCount(), arrivals.size(), sound - before,
	       complete - complete_before);
	EXPECT_GE(CrashCount(), 3u);
	EXPECT_LE(arrivals.size(), 3u);
	EXPECT_GE(2 * (complete - complete_before), sound - before);
}

} // namespace
