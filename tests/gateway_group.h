/*
 * Several gateways as processes, endpoints, and callers that send streams with
 * prompts of three parts until the end of the test.
 */
#ifndef TESTS_GATEWAY_GROUP_H
#define TESTS_GATEWAY_GROUP_H

#include "tests/fake_endpoint.h"
#include "tests/gateway_fixture.h"

#include <gtest/gtest.h>
#include <sys/socket.h>

#include <random>

struct GatewayGroup : ::testing::Test {
	using Clock = std::chrono::steady_clock;
	struct Node {
		Daemon process;
		std::string ip;
		int port, ready;
		std::string settings;
	};

	FakeStore store;
	std::vector<std::unique_ptr<FakeEndpoint>> endpoints;
	std::vector<std::unique_ptr<Node>> gateways;
	std::vector<std::thread> callers;
	std::atomic<bool> stop{ false };
	std::atomic<unsigned> ids{ 1000 };
	std::atomic<unsigned> sent{ 0 }, complete{ 0 }, refused{ 0 };

	/* @o: of each endpoint, without its id and store. */
	void StartGroup(unsigned n_gateways, unsigned n_endpoints,
			FakeEndpoint::Options o)
	{
		int datagrams = FreePort();

		store.Put("op", "config", Configuration());
		o.store = &store;
		for (unsigned i = 0; i < n_endpoints; i++) {
			o.id = "e" + std::to_string(i);
			AdjustEndpoint(i, o);
			endpoints.push_back(std::make_unique<FakeEndpoint>(o));
		}
		for (unsigned i = 0; i < n_gateways; i++) {
			auto n = std::make_unique<Node>();

			n->ip = "127.0.0." + std::to_string(i + 2);
			n->port = FreePort();
			n->ready = FreePort();
			n->settings =
				Settings(i) +
				GatewaySettings(StoreAddr(i), n->ip, n->port,
						n->ready, datagrams) +
				MoreSettings();
			n->process.Start("pimento-gateway", n->settings);
			gateways.push_back(std::move(n));
		}
		for (auto &n : gateways)
			ASSERT_TRUE(BecomesReady(*n)) << n->ip;
	}
	static bool BecomesReady(const Node &n)
	{
		for (int i = 0; i < 1000; i++) {
			if (FakeGet(n.ip.c_str(), n.ready, "/ready")
				    .find(" 200 ") != std::string::npos)
				return true;
			SleepMs(20);
		}
		return false;
	}
	/* Each sends a request, waits for its end and 100 to 300 ms, and so on. */
	void StartCallers(unsigned n)
	{
		for (unsigned i = 0; i < n; i++)
			callers.emplace_back([this, i] { RunCaller(i); });
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
	virtual void AdjustEndpoint(unsigned /* i */,
				    FakeEndpoint::Options & /* o */)
	{
	}
	virtual std::string Configuration()
	{
		return ConfigJson(1);
	}
	/* As gateway @i sees it. */
	virtual std::string StoreAddr(unsigned /* i */)
	{
		return store.addr();
	}
	/* Of gateway @i, before the others. */
	virtual std::string Settings(unsigned /* i */)
	{
		return "";
	}
	/* Of each gateway, after the others. */
	virtual std::string MoreSettings()
	{
		return "";
	}
	/* The second part of the prompt of a caller's next request. */
	virtual std::string ChoosePart(unsigned /* caller */, std::mt19937 &rng)
	{
		return "5" + std::to_string(rng() % 20);
	}
	/* Whether the request counts in `sent`, `complete` and `refused`. */
	virtual bool Counts(const std::string & /* part */)
	{
		return true;
	}

      private:
	void RunCaller(unsigned caller)
	{
		std::mt19937 rng(caller);

		while (!stop) {
			SendStream(rng, ChoosePart(caller, rng));
			SleepMs(100 + rng() % 200);
		}
	}
	void SendStream(std::mt19937 &rng, const std::string &part)
	{
		const Node &n = *gateways[rng() % gateways.size()];
		std::string id = std::to_string(ids++);
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
		if (!Counts(part))
			return;
		sent++;
		complete += got.find("data: e8 ") != std::string::npos;
		refused += got.find(" 503 ") != std::string::npos;
	}
};

#endif
