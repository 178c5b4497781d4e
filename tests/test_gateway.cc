// The gateway and the loader as processes on loopback, with a store and
// endpoints written by hand: what passes, what never runs twice, and stops.
#include "tests/gateway_box.h"

#include <gtest/gtest.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>

namespace
{

struct Gateway : ::testing::Test {
	Store store;
	Process gateway;
	int port = FreePort(), ready = FreePort(), talk = FreePort();

	void Start(bool configured = true)
	{
		if (configured)
			store.Put("op", "config", Config(1));
		gateway.Start("pimento-gateway",
			      Settings(store.addr(), "127.0.0.2", port, ready,
				       talk));
	}
	std::string Ask(const std::string &raw, const std::string &until = "")
	{
		int fd = FakeDial("127.0.0.2", port);

		if (fd < 0)
			return "";
		FakeSend(fd, raw);
		std::string got = FakeReceive(fd, until);

		close(fd);
		return got;
	}
	static std::string Get(const std::string &target, const std::string &id,
			       const std::string &more = "")
	{
		return "GET " + target +
		       " HTTP/1.1\r\nHost: h\r\nAttempt-Id: " + id +
		       "\r\nDeadline-Ms: 15000\r\n" + more +
		       "Connection: close\r\n\r\n";
	}
	static bool Has(const std::string &s, const std::string &part)
	{
		return s.find(part) != std::string::npos;
	}
	/* Asks until @part shows; the daemon follows the store. */
	std::string AskUntil(const std::string &raw, const std::string &part)
	{
		std::string got;

		for (int i = 0; i < 400; i++) {
			got = Ask(raw);
			if (Has(got, part))
				break;
			usleep(50000);
		}
		return got;
	}
	std::string Ready()
	{
		return FakeGet("127.0.0.2", ready, "/ready");
	}
	void AwaitReady()
	{
		for (int i = 0; i < 400 && !Has(Ready(), " 200 "); i++)
			usleep(50000);
	}
};

FakeServer::Handler Echo(const std::string &body)
{
	return [body](int fd, const FakeRequest &r) {
		FakeSend(fd, Answer(200, body,
				    "Attempt-Id: " + r.Header("Attempt-Id") +
					    "\r\nResponse-Stamp: s.1\r\n"));
		return true;
	};
}

TEST_F(Gateway, PassesBytesThroughUnchanged)
{
	FakeServer e("127.0.0.1", Echo("the body\n\0x"));

	store.Put("servers", "i-1", Entry("app", e.addr()));
	Start();
	AwaitReady();
	std::string got = Ask("POST /u/a?b=c HTTP/1.1\r\nHost: h\r\n"
			      "Attempt-Id: 77\r\nDeadline-Ms: 9000\r\n"
			      "X-Own: kept\r\nContent-Length: 5\r\n"
			      "Connection: close\r\n\r\nhello");
	EXPECT_TRUE(Has(got, "HTTP/1.1 200")) << got;
	EXPECT_TRUE(Has(got, "Response-Stamp: s.1\r\n"));
	EXPECT_TRUE(Has(got, "\r\n\r\nthe body\n"));
	ASSERT_EQ(e.count("/u/a?b=c"), 1u);
	for (const FakeRequest &r : e.seen()) {
		if (r.target != "/u/a?b=c")
			continue;
		EXPECT_EQ(r.body, "hello");
		EXPECT_EQ(r.Header("X-Own"), "kept");
		EXPECT_EQ(r.Header("Expect-Instance"), "i-1");
		EXPECT_LE(atoi(r.Header("Deadline-Ms").c_str()), 9000);
	}
}

TEST_F(Gateway, KnowsNoConfigurationAndSaysSo)
{
	FakeServer e("127.0.0.1", Echo("x"));

	store.Put("servers", "i-1", Entry("app", e.addr()));
	Start(false);
	std::string got = AskUntil(Get("/s/", "1"), "503");
	EXPECT_TRUE(Has(got, "Retry-After:")) << got;
	EXPECT_TRUE(Has(Ready(), " 503 "));
	store.Put("op", "config", Config(1));
	EXPECT_TRUE(Has(AskUntil(Get("/s/", "2"), "200 X"), "200 X"));
	EXPECT_TRUE(Has(Ready(), " 200 "));
	EXPECT_TRUE(Has(Ask(Get("/none/", "3")), " 404 "));
}

TEST_F(Gateway, FollowsTheConfigurationAndNeverBack)
{
	FakeServer a("127.0.0.1", Echo("first"));
	FakeServer b("127.0.0.1", Echo("second"));

	store.Put("servers", "i-1", Entry("app", a.addr()));
	store.Put("servers", "i-2", Entry("other", b.addr()));
	Start();
	AwaitReady();
	EXPECT_TRUE(Has(AskUntil(Get("/s/", "1"), "first"), "first"));
	store.Put("op", "config", Config(5, "other"));
	EXPECT_TRUE(Has(AskUntil(Get("/s/", "2"), "second"), "second"));
	store.Put("op", "config", Config(4, "app"));
	store.Put("op", "config", "{\"version\":9,\"routes\":[{}]}");
	for (int i = 0; i < 20; i++)
		EXPECT_TRUE(Has(Ask(Get("/s/", "3")), "second"));
}

TEST_F(Gateway, WhatMayRunOnceIsSentOnceWhenItsAnswerIsLost)
{
	FakeServer e("127.0.0.1", [](int fd, const FakeRequest &r) {
		if (r.target.find("/u/lost") == 0) {
			FakeReset(fd);
			return false;
		}
		FakeSend(fd, Answer(200, "ok",
				    "Attempt-Id: " + r.Header("Attempt-Id") +
					    "\r\n"));
		return true;
	});

	store.Put("servers", "i-1", Entry("app", e.addr()));
	store.Put("servers", "i-2", Entry("app", e.addr()));
	Start();
	AwaitReady();
	std::string got = Ask(Get("/u/lost", "1"));
	EXPECT_TRUE(Has(got, " 502 ")) << got;
	EXPECT_EQ(e.count("/u/lost"), 1u);
}

TEST_F(Gateway, ARefusedSendGoesToAnotherEndpoint)
{
	FakeServer full("127.0.0.1", [](int fd, const FakeRequest &r) {
		FakeSend(fd, Answer(503, "",
				    "Not-Run: 1\r\nAttempt-Id: " +
					    r.Header("Attempt-Id") + "\r\n"));
		return true;
	});
	FakeServer good("127.0.0.1", Echo("served"));

	store.Put("servers", "i-1", Entry("app", full.addr()));
	store.Put("servers", "i-2", Entry("app", good.addr()));
	Start();
	AwaitReady();
	for (int i = 0; i < 6; i++)
		EXPECT_TRUE(Has(Ask(Get("/u/x", "9" + std::to_string(i))),
				"served"));
}

TEST_F(Gateway, AStreamGoesOnElsewhereAfterItsLastWholeEvent)
{
	std::atomic<int> broken{ 0 };
	auto serve = [&](int fd, const FakeRequest &r) {
		int from = atoi(r.Header("Last-Event-Id").c_str());

		FakeSend(fd, "HTTP/1.1 200 OK\r\nAttempt-Id: " +
				     r.Header("Attempt-Id") +
				     "\r\nResponse-Stamp: s." +
				     std::to_string(broken) +
				     "\r\nTransfer-Encoding: chunked\r\n\r\n");
		if (broken++ == 0) {
			FakeSend(fd, Chunk(Event(1)) + Chunk(Event(2)) +
					     Chunk("id: 3\ndata: to"));
			usleep(100000);
			FakeReset(fd);
			return false;
		}
		for (int i = from + 1; i <= 5; i++)
			FakeSend(fd, Chunk(Event(i)));
		FakeSend(fd, "0\r\n\r\n");
		return true;
	};
	FakeServer a("127.0.0.1", serve);
	FakeServer b("127.0.0.1", serve);

	store.Put("servers", "i-1", Entry("app", a.addr()));
	store.Put("servers", "i-2", Entry("app", b.addr()));
	Start();
	AwaitReady();
	std::string got = Ask(Get("/r/x", "1"));
	for (int i = 1; i <= 5; i++) {
		std::string data = "data: e" + std::to_string(i) + "\n";

		EXPECT_TRUE(Has(got, data)) << got;
		EXPECT_EQ(got.find(data), got.rfind(data));
	}
	EXPECT_FALSE(Has(got, "data: to"));
	// The head stays the first endpoint's.
	EXPECT_TRUE(Has(got, "Response-Stamp: s.0\r\n"));
	EXPECT_TRUE(Has(got, "0\r\n\r\n"));
}

TEST_F(Gateway, ABrokenStreamThatMayNotGoOnDoesNotLookWhole)
{
	FakeServer e("127.0.0.1", [](int fd, const FakeRequest &r) {
		FakeSend(fd, "HTTP/1.1 200 OK\r\nAttempt-Id: " +
				     r.Header("Attempt-Id") +
				     "\r\nTransfer-Encoding: chunked\r\n\r\n" +
				     Chunk(Event(1)));
		usleep(100000);
		return false;
	});

	store.Put("servers", "i-1", Entry("app", e.addr()));
	Start();
	AwaitReady();
	std::string got = Ask(Get("/t/x", "1"));
	EXPECT_TRUE(Has(got, "data: e1"));
	EXPECT_FALSE(Has(got, "0\r\n\r\n"));
	EXPECT_EQ(e.count("/t/x"), 1u);
}

TEST_F(Gateway, BytesBehindAnAnswerBelongToNoRequest)
{
	FakeServer e("127.0.0.1", [](int fd, const FakeRequest &r) {
		std::string id = r.Header("Attempt-Id");

		FakeSend(fd, Answer(200, "mine " + id,
				    "Attempt-Id: " + id + "\r\n") +
				     Answer(200, "stray", "Attempt-Id: 0\r\n"));
		return true;
	});

	store.Put("servers", "i-1", Entry("app", e.addr()));
	Start();
	AwaitReady();
	for (int i = 1; i < 8; i++) {
		std::string id = std::to_string(i);
		std::string got = Ask(Get("/s/x", id));

		EXPECT_TRUE(Has(got, "mine " + id)) << got;
	}
}

struct BadInput {
	const char *name;
	const char *bytes;
	const char *status;
};

struct GatewayBad : Gateway, ::testing::WithParamInterface<BadInput> {
};

TEST_P(GatewayBad, GetsOneClearAnswerAndTheEnd)
{
	FakeServer e("127.0.0.1", Echo("x"));

	store.Put("servers", "i-1", Entry("app", e.addr()));
	Start();
	AwaitReady();
	std::string bytes = GetParam().bytes;
	if (bytes.empty())
		bytes = "GET /s/ HTTP/1.1\r\nA: " + std::string(9000, 'x');
	std::string got = Ask(bytes);
	EXPECT_TRUE(Has(got, GetParam().status)) << got;
	EXPECT_EQ(got.find("HTTP/1.1"), got.rfind("HTTP/1.1"));
	EXPECT_EQ(e.count("/s/"), 0u);
}

INSTANTIATE_TEST_SUITE_P(
	Inputs, GatewayBad,
	::testing::Values(
		BadInput{ "garbage", "\x01\x02 garbage\r\n\r\n", " 400 " },
		BadInput{
			"two_framings",
			"POST /s/ HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n"
			"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
			" 400 " },
		BadInput{ "bad_chunk",
			  "POST /s/ HTTP/1.1\r\nHost: h\r\n"
			  "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
			  " 400 " },
		BadInput{ "no_host",
			  "GET /s/ HTTP/1.1\r\nConnection: close\r\n\r\n",
			  " 400 " },
		BadInput{ "bad_deadline",
			  "GET /s/ HTTP/1.1\r\nHost: h\r\nDeadline-Ms: x\r\n"
			  "Connection: close\r\n\r\n",
			  " 400 " },
		BadInput{ "long_body",
			  "POST /s/ HTTP/1.1\r\nHost: h\r\n"
			  "Content-Length: 10001\r\n\r\n",
			  " 413 " },
		BadInput{ "long_head", "", " 431 " }),
	[](const auto &i) { return std::string(i.param.name); });

TEST_F(Gateway, ALeavingEndpointGetsNothingNew)
{
	FakeServer a("127.0.0.1", Echo("leaving"));
	FakeServer b("127.0.0.1", Echo("staying"));

	store.Put("servers", "i-1", Entry("app", a.addr()));
	Start();
	AwaitReady();
	EXPECT_TRUE(Has(AskUntil(Get("/u/1", "1"), "leaving"), "leaving"));
	store.Put("servers", "i-2", Entry("app", b.addr()));
	store.Put("servers", "i-1", Entry("app", a.addr(), "draining"));
	EXPECT_TRUE(Has(AskUntil(Get("/u/2", "2"), "staying"), "staying"));
	for (int i = 0; i < 10; i++)
		EXPECT_TRUE(Has(Ask(Get("/u/3", "3")), "staying"));
	// An entry that can't be read names no endpoint.
	store.Put("servers", "i-2", "\xff");
	EXPECT_TRUE(Has(AskUntil(Get("/u/4", "4"), " 503 "), " 503 "));
}

TEST_F(Gateway, AStopCutsNothing)
{
	FakeServer e("127.0.0.1", [](int fd, const FakeRequest &r) {
		FakeSend(fd, "HTTP/1.1 200 OK\r\nAttempt-Id: " +
				     r.Header("Attempt-Id") +
				     "\r\nTransfer-Encoding: chunked\r\n\r\n" +
				     Chunk(Event(1)));
		for (int i = 2; i <= 10; i++) {
			usleep(150000);
			FakeSend(fd, Chunk(Event(i)));
		}
		FakeSend(fd, "0\r\n\r\n");
		return true;
	});

	store.Put("servers", "i-1", Entry("app", e.addr()));
	Start();
	AwaitReady();
	int fd = FakeDial("127.0.0.2", port);
	FakeSend(fd, Get("/t/x", "1"));
	std::string got = FakeReceive(fd, "data: e1\n");
	gateway.Signal(SIGHUP);
	gateway.Signal(SIGTERM);
	got += FakeReceive(fd);
	close(fd);
	EXPECT_TRUE(Has(got, "data: e10\n")) << got;
	EXPECT_TRUE(Has(got, "0\r\n\r\n"));
	EXPECT_TRUE(Has(Ready(), " 503 ") || Ready().empty());
	EXPECT_EQ(gateway.Wait(), 0);
}

TEST_F(Gateway, ACallerThatLeavesEndsTheWork)
{
	std::atomic<bool> closed{ false };
	FakeServer e("127.0.0.1", [&](int fd, const FakeRequest &r) {
		char c;

		FakeSend(fd, "HTTP/1.1 200 OK\r\nAttempt-Id: " +
				     r.Header("Attempt-Id") +
				     "\r\nTransfer-Encoding: chunked\r\n\r\n" +
				     Chunk(Event(1)));
		closed = recv(fd, &c, 1, 0) <= 0;
		return false;
	});

	store.Put("servers", "i-1", Entry("app", e.addr()));
	Start();
	AwaitReady();
	int fd = FakeDial("127.0.0.2", port);
	FakeSend(fd, Get("/t/x", "1"));
	FakeReceive(fd, "data: e1\n");
	close(fd);
	for (int i = 0; i < 200 && !closed; i++)
		usleep(50000);
	EXPECT_TRUE(closed);
}

/* An engine that brings adapters when it is ordered to. */
struct Engine {
	std::mutex mu;
	std::vector<std::string> adapters;
	int orders = 0;
	int bad = 0; /* orders that were not bound to this start */
	FakeServer server;

	Engine()
	    : server("127.0.0.1", [this](int fd, const FakeRequest &r) {
		      return Handle(fd, r);
	      })
	{
	}
	std::string Models()
	{
		std::string list;

		for (const std::string &a : adapters)
			list += (list.empty() ? "\"" : ",\"") + a + "\"";
		return "[{\"name\":\"m\",\"version\":1,\"adapters\":[" + list +
		       "]}]";
	}
	bool Handle(int fd, const FakeRequest &r)
	{
		std::lock_guard<std::mutex> g(mu);

		if (r.target == "/report") {
			FakeSend(fd,
				 Answer(200, "{\"born\":7,\"seq\":" +
						     std::to_string(orders) +
						     ",\"busy\":false,"
						     "\"models\":" +
						     Models() + "}"));
		} else if (r.target == "/order") {
			size_t at = r.body.find("\"adapter\":\"");

			bad += r.Header("Expect-Instance") != "i-1" ||
			       r.body.find("\"expected\":" +
					   std::to_string(orders)) ==
				       std::string::npos;
			if (at != std::string::npos)
				adapters.push_back(r.body.substr(
					at + 11,
					r.body.find('"', at + 11) - at - 11));
			orders++;
			FakeSend(fd, Answer(202, ""));
		} else {
			FakeSend(fd, Answer(200, "data: with adapter\n\n",
					    "Attempt-Id: " +
						    r.Header("Attempt-Id") +
						    "\r\n"));
		}
		return true;
	}
};

TEST_F(Gateway, TheLoaderBringsAnAdapterThatARequestNeeds)
{
	Engine e;
	Process loader;

	store.Put("servers", "i-1",
		  Entry("app", e.server.addr(), "ready",
			"[{\"name\":\"m\",\"version\":1,\"adapters\":[]}]"));
	Start();
	loader.Start("pimento-loader",
		     "name = \"l1\"\nzone = \"za\"\nregion = \"east\"\n"
		     "platform = \"" +
			     store.addr() +
			     "\"\ntalk = \"127.0.0.1:" + std::to_string(talk) +
			     "\"\nbackend = \"" + e.server.addr() + "\"\n");
	AwaitReady();
	std::string got = AskUntil(Get("/t/x", "1",
				       "Model: m/a1\r\nToken-Usage: 10,5\r\n"),
				   "with adapter");
	EXPECT_TRUE(Has(got, "with adapter")) << got;
	std::lock_guard<std::mutex> g(e.mu);
	EXPECT_EQ(e.bad, 0);
	ASSERT_EQ(e.adapters.size(), 1u);
	EXPECT_EQ(e.adapters[0], "a1");
}

} // namespace
