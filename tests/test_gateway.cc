// The gateway and the loader as processes on loopback, with a fake store and
// fake endpoints: forwarding, retries, malformed input and shutdown.
#include "pimentoford/talk.h"
#include "tests/gateway_fixture.h"

#include <event2/event.h>

#include <gtest/gtest.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>

namespace
{

struct Gateway : ::testing::Test {
	FakeStore store;
	Daemon gateway;
	int port = FreePort(), ready_port = FreePort(),
	    datagram_port = FreePort();

	void StartGateway(bool configured = true,
			  const std::string &repeat_ratio = "5.0")
	{
		if (configured)
			store.Put("op", "config", ConfigJson(1));
		gateway.Start("pimento-gateway",
			      GatewaySettings(store.addr(), "127.0.0.2", port,
					      ready_port, datagram_port,
					      repeat_ratio));
	}
	std::string Request(const std::string &raw,
			    const std::string &until = "")
	{
		int fd = FakeDial("127.0.0.2", port);

		if (fd < 0)
			return "";
		FakeSend(fd, raw);
		std::string got = FakeReceive(fd, until);

		close(fd);
		return got;
	}
	static std::string GetRequest(const std::string &target,
				      const std::string &id,
				      const std::string &headers = "")
	{
		return "GET " + target +
		       " HTTP/1.1\r\nHost: h\r\nAttempt-Id: " + id +
		       "\r\nDeadline-Ms: 15000\r\n" + headers +
		       "Connection: close\r\n\r\n";
	}
	static bool Contains(const std::string &s, const std::string &part)
	{
		return s.find(part) != std::string::npos;
	}
	static void SleepUntilClosed(int fd)
	{
		char c;

		while (recv(fd, &c, 1, 0) > 0)
			;
	}
	/* Repeats the request until the answer has @part; rows are read late. */
	std::string RequestUntil(const std::string &raw,
				 const std::string &part)
	{
		std::string got;

		for (int i = 0; i < 400; i++) {
			got = Request(raw);
			if (Contains(got, part))
				break;
			usleep(50000);
		}
		return got;
	}
	std::string GetReady()
	{
		return FakeGet("127.0.0.2", ready_port, "/ready");
	}
	void WaitUntilReady()
	{
		for (int i = 0; i < 400 && !Contains(GetReady(), " 200 "); i++)
			usleep(50000);
	}
};

FakeServer::Handler AnswerWith(const std::string &body)
{
	return [body](int fd, const FakeRequest &r) {
		FakeSend(fd,
			 HttpAnswer(200, body,
				    "Attempt-Id: " + r.Header("Attempt-Id") +
					    "\r\nResponse-Stamp: s.1\r\n"));
		return true;
	};
}

TEST_F(Gateway, PassesBytesThroughUnchanged)
{
	FakeServer e("127.0.0.1", AnswerWith("the body\n\0x"));

	store.Put("servers", "i-1", EndpointRow("app", e.addr()));
	StartGateway();
	WaitUntilReady();
	std::string got = Request("POST /u/a?b=c HTTP/1.1\r\nHost: h\r\n"
				  "Attempt-Id: 77\r\nDeadline-Ms: 9000\r\n"
				  "X-Own: kept\r\nContent-Length: 5\r\n"
				  "Connection: close\r\n\r\nhello");
	EXPECT_TRUE(Contains(got, "HTTP/1.1 200")) << got;
	EXPECT_TRUE(Contains(got, "Response-Stamp: s.1\r\n"));
	EXPECT_TRUE(Contains(got, "\r\n\r\nthe body\n"));
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

TEST_F(Gateway, Answers503UntilConfigured)
{
	FakeServer e("127.0.0.1", AnswerWith("x"));

	store.Put("servers", "i-1", EndpointRow("app", e.addr()));
	StartGateway(false);
	std::string got = RequestUntil(GetRequest("/s/", "1"), "503");
	EXPECT_TRUE(Contains(got, "Retry-After:")) << got;
	EXPECT_TRUE(Contains(GetReady(), " 503 "));
	store.Put("op", "config", ConfigJson(1));
	EXPECT_TRUE(Contains(RequestUntil(GetRequest("/s/", "2"), "200 X"),
			     "200 X"));
	EXPECT_TRUE(Contains(GetReady(), " 200 "));
	EXPECT_TRUE(Contains(Request(GetRequest("/none/", "3")), " 404 "));
}

TEST_F(Gateway, IgnoresOlderAndUnreadableConfigurations)
{
	FakeServer a("127.0.0.1", AnswerWith("first"));
	FakeServer b("127.0.0.1", AnswerWith("second"));

	store.Put("servers", "i-1", EndpointRow("app", a.addr()));
	store.Put("servers", "i-2", EndpointRow("other", b.addr()));
	StartGateway();
	WaitUntilReady();
	EXPECT_TRUE(Contains(RequestUntil(GetRequest("/s/", "1"), "first"),
			     "first"));
	store.Put("op", "config", ConfigJson(5, "other"));
	EXPECT_TRUE(Contains(RequestUntil(GetRequest("/s/", "2"), "second"),
			     "second"));
	store.Put("op", "config", ConfigJson(4, "app"));
	store.Put("op", "config", "{\"version\":9,\"routes\":[{}]}");
	for (int i = 0; i < 20; i++)
		EXPECT_TRUE(
			Contains(Request(GetRequest("/s/", "3")), "second"));
}

TEST_F(Gateway, NeverResendsAnUnsafeRequestWhoseAnswerIsLost)
{
	FakeServer e("127.0.0.1", [](int fd, const FakeRequest &r) {
		if (r.target.find("/u/lost") == 0) {
			FakeReset(fd);
			return false;
		}
		FakeSend(fd,
			 HttpAnswer(200, "ok",
				    "Attempt-Id: " + r.Header("Attempt-Id") +
					    "\r\n"));
		return true;
	});

	store.Put("servers", "i-1", EndpointRow("app", e.addr()));
	store.Put("servers", "i-2", EndpointRow("app", e.addr()));
	StartGateway();
	WaitUntilReady();
	std::string got = Request(GetRequest("/u/lost", "1"));
	EXPECT_TRUE(Contains(got, " 502 ")) << got;
	EXPECT_EQ(e.count("/u/lost"), 1u);
}

TEST_F(Gateway, RetriesARefusedSendAtAnotherEndpoint)
{
	FakeServer full("127.0.0.1", [](int fd, const FakeRequest &r) {
		FakeSend(fd,
			 HttpAnswer(503, "",
				    "Not-Run: 1\r\nAttempt-Id: " +
					    r.Header("Attempt-Id") + "\r\n"));
		return true;
	});
	FakeServer good("127.0.0.1", AnswerWith("served"));

	store.Put("servers", "i-1", EndpointRow("app", full.addr()));
	store.Put("servers", "i-2", EndpointRow("app", good.addr()));
	StartGateway();
	WaitUntilReady();
	for (int i = 0; i < 6; i++)
		EXPECT_TRUE(Contains(
			Request(GetRequest("/u/x", "9" + std::to_string(i))),
			"served"));
}

TEST_F(Gateway, ResumesABrokenStreamAfterItsLastCompleteEvent)
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
			FakeSend(fd, Chunk(StreamEvent(1)) +
					     Chunk(StreamEvent(2)) +
					     Chunk("id: 3\ndata: to"));
			usleep(100000);
			FakeReset(fd);
			return false;
		}
		for (int i = from + 1; i <= 5; i++)
			FakeSend(fd, Chunk(StreamEvent(i)));
		FakeSend(fd, "0\r\n\r\n");
		return true;
	};
	FakeServer a("127.0.0.1", serve);
	FakeServer b("127.0.0.1", serve);

	store.Put("servers", "i-1", EndpointRow("app", a.addr()));
	store.Put("servers", "i-2", EndpointRow("app", b.addr()));
	StartGateway();
	WaitUntilReady();
	std::string got = Request(GetRequest("/r/x", "1"));
	for (int i = 1; i <= 5; i++) {
		std::string data = "data: e" + std::to_string(i) + "\n";

		EXPECT_TRUE(Contains(got, data)) << got;
		EXPECT_EQ(got.find(data), got.rfind(data));
	}
	EXPECT_FALSE(Contains(got, "data: to"));
	// The head is the first endpoint's.
	EXPECT_TRUE(Contains(got, "Response-Stamp: s.0\r\n"));
	EXPECT_TRUE(Contains(got, "0\r\n\r\n"));
}

TEST_F(Gateway, ABrokenStreamHasNoFinalChunk)
{
	FakeServer e("127.0.0.1", [](int fd, const FakeRequest &r) {
		FakeSend(fd, "HTTP/1.1 200 OK\r\nAttempt-Id: " +
				     r.Header("Attempt-Id") +
				     "\r\nTransfer-Encoding: chunked\r\n\r\n" +
				     Chunk(StreamEvent(1)));
		usleep(100000);
		return false;
	});

	store.Put("servers", "i-1", EndpointRow("app", e.addr()));
	StartGateway();
	WaitUntilReady();
	std::string got = Request(GetRequest("/t/x", "1"));
	EXPECT_TRUE(Contains(got, "data: e1"));
	EXPECT_FALSE(Contains(got, "0\r\n\r\n"));
	EXPECT_EQ(e.count("/t/x"), 1u);
}

TEST_F(Gateway, DropsBytesAfterAnAnswer)
{
	FakeServer e("127.0.0.1", [](int fd, const FakeRequest &r) {
		std::string id = r.Header("Attempt-Id");

		FakeSend(fd,
			 HttpAnswer(200, "mine " + id,
				    "Attempt-Id: " + id + "\r\n") +
				 HttpAnswer(200, "stray", "Attempt-Id: 0\r\n"));
		return true;
	});

	store.Put("servers", "i-1", EndpointRow("app", e.addr()));
	StartGateway();
	WaitUntilReady();
	for (int i = 1; i < 8; i++) {
		std::string id = std::to_string(i);
		std::string got = Request(GetRequest("/s/x", id));

		EXPECT_TRUE(Contains(got, "mine " + id)) << got;
	}
}

struct MalformedRequest {
	const char *name;
	const char *bytes;
	const char *status;
};

struct GatewayMalformed : Gateway,
			  ::testing::WithParamInterface<MalformedRequest> {
};

TEST_P(GatewayMalformed, IsAnsweredOnceAndTheConnectionClosed)
{
	FakeServer e("127.0.0.1", AnswerWith("x"));

	store.Put("servers", "i-1", EndpointRow("app", e.addr()));
	StartGateway();
	WaitUntilReady();
	std::string bytes = GetParam().bytes;
	if (bytes.empty())
		bytes = "GET /s/ HTTP/1.1\r\nA: " + std::string(9000, 'x');
	std::string got = Request(bytes);
	EXPECT_TRUE(Contains(got, GetParam().status)) << got;
	EXPECT_EQ(got.find("HTTP/1.1"), got.rfind("HTTP/1.1"));
	EXPECT_EQ(e.count("/s/"), 0u);
}

INSTANTIATE_TEST_SUITE_P(
	Inputs, GatewayMalformed,
	::testing::Values(
		MalformedRequest{ "garbage", "\x01\x02 garbage\r\n\r\n",
				  " 400 " },
		MalformedRequest{
			"two_framings",
			"POST /s/ HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n"
			"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
			" 400 " },
		MalformedRequest{ "bad_chunk",
				  "POST /s/ HTTP/1.1\r\nHost: h\r\n"
				  "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
				  " 400 " },
		MalformedRequest{
			"no_host",
			"GET /s/ HTTP/1.1\r\nConnection: close\r\n\r\n",
			" 400 " },
		MalformedRequest{
			"bad_deadline",
			"GET /s/ HTTP/1.1\r\nHost: h\r\nDeadline-Ms: x\r\n"
			"Connection: close\r\n\r\n",
			" 400 " },
		MalformedRequest{ "long_body",
				  "POST /s/ HTTP/1.1\r\nHost: h\r\n"
				  "Content-Length: 10001\r\n\r\n",
				  " 413 " },
		MalformedRequest{ "long_head", "", " 431 " }),
	[](const auto &i) { return std::string(i.param.name); });

TEST_F(Gateway, SendsNothingToADrainingEndpoint)
{
	FakeServer a("127.0.0.1", AnswerWith("leaving"));
	FakeServer b("127.0.0.1", AnswerWith("staying"));

	store.Put("servers", "i-1", EndpointRow("app", a.addr()));
	StartGateway();
	WaitUntilReady();
	EXPECT_TRUE(Contains(RequestUntil(GetRequest("/u/1", "1"), "leaving"),
			     "leaving"));
	store.Put("servers", "i-2", EndpointRow("app", b.addr()));
	uint64_t drained = store.Put("servers", "i-1",
				     EndpointRow("app", a.addr(), "draining"));
	EXPECT_TRUE(Contains(RequestUntil(GetRequest("/u/2", "2"), "staying"),
			     "staying"));
	// The other endpoint may have answered while this one was still ready.
	ASSERT_TRUE(store.WaitUntilApplied("servers", drained));
	for (int i = 0; i < 10; i++)
		EXPECT_TRUE(
			Contains(Request(GetRequest("/u/3", "3")), "staying"));
	// An unreadable row removes its endpoint.
	store.Put("servers", "i-2", "\xff");
	EXPECT_TRUE(Contains(RequestUntil(GetRequest("/u/4", "4"), " 503 "),
			     " 503 "));
}

TEST_F(Gateway, AnEndpointUpdatedBeforeAGapInTheHistoryIsRemovedByTheNextRead)
{
	FakeServer a("127.0.0.1", AnswerWith("gone"));
	FakeServer b("127.0.0.1", AnswerWith("staying"));

	store.Put("op", "config", ConfigJson(1));
	store.Put("servers", "i-2", EndpointRow("other", b.addr()));
	FakeStore::Copy without = store.MakeCopy();
	store.Put("servers", "i-1", EndpointRow("app", a.addr()));
	StartGateway(false);
	WaitUntilReady();
	uint64_t updated = store.Put("servers", "i-1",
				     EndpointRow("app", a.addr(), "ready"));
	ASSERT_TRUE(store.WaitUntilApplied("servers", updated));
	store.Restore(without);
	EXPECT_TRUE(Contains(RequestUntil(GetRequest("/u/1", "1"), " 503 "),
			     " 503 "));
}

/* The store comes back from a copy. */
struct GatewayRestore : Gateway {
	FakeServer a{ "127.0.0.1", AnswerWith("first") };
	FakeServer b{ "127.0.0.1", AnswerWith("second") };

	GatewayRestore()
	{
		store.SetEra("1");
		store.Put("op", "config", ConfigJson(1));
	}
	void Start()
	{
		StartGateway(false);
		WaitUntilReady();
	}
	/* Whether all requests of the next second are served by @body. */
	void ExpectOnly(const std::string &path, const std::string &body)
	{
		for (int i = 0; i < 20; i++) {
			ASSERT_TRUE(
				Contains(Request(GetRequest(path, "3")), body));
			usleep(50000);
		}
	}
	std::string Counter(const std::string &name)
	{
		std::string all = FakeGet("127.0.0.2", ready_port, "/metrics");
		size_t at = all.find("\npimento_gateway_" + name + " ");

		if (at == std::string::npos)
			return "";
		at = all.find(' ', at) + 1;
		return all.substr(at, all.find('\n', at) - at);
	}
	bool WaitForCounter(const std::string &name, const std::string &value)
	{
		for (int i = 0; i < 200 && Counter(name) != value; i++)
			usleep(50000);
		return Counter(name) == value;
	}
};

TEST_F(GatewayRestore, RestoredStoreDoesNotRevertConfiguration)
{
	store.Put("servers", "i-1", EndpointRow("app", a.addr()));
	store.Put("servers", "i-2", EndpointRow("other", b.addr()));
	Start();
	FakeStore::Copy copy = store.MakeCopy();
	uint64_t five = store.Put("op", "config", ConfigJson(5, "other"));
	ASSERT_TRUE(store.WaitUntilApplied("op", five));
	for (int era = 2; era <= 3; era++) {
		store.Restore(copy, std::to_string(era));
		ASSERT_TRUE(WaitForCounter("store_era", std::to_string(era)));
		ExpectOnly("/s/", "second");
		EXPECT_EQ(Counter("config_version"), "5");
	}
	EXPECT_EQ(Counter("store_restores_total"), "2");
}

TEST_F(GatewayRestore, ConfigurationWrittenAgainAtReusedRevisionIsTaken)
{
	store.Put("servers", "i-1", EndpointRow("app", a.addr()));
	store.Put("servers", "i-2", EndpointRow("other", b.addr()));
	Start();
	FakeStore::Copy copy = store.MakeCopy();
	uint64_t five = store.Put("op", "config", ConfigJson(5, "other"));
	ASSERT_TRUE(store.WaitUntilApplied("op", five));
	ASSERT_EQ(store.RestoreAndPut(copy, "2", "op", "config",
				      ConfigJson(6, "app")),
		  five);
	EXPECT_TRUE(WaitForCounter("config_version", "6"));
	ExpectOnly("/s/", "first");
}

TEST_F(GatewayRestore, EndpointWrittenAgainAtReusedRevisionIsTaken)
{
	store.Put("servers", "i-1", EndpointRow("app", a.addr()));
	Start();
	FakeStore::Copy copy = store.MakeCopy();
	uint64_t last =
		store.Put("servers", "i-1", EndpointRow("app", a.addr()));
	ASSERT_TRUE(store.WaitUntilApplied("servers", last));
	ASSERT_EQ(store.RestoreAndPut(copy, "2", "servers", "i-1",
				      EndpointRow("app", b.addr())),
		  last);
	EXPECT_TRUE(Contains(RequestUntil(GetRequest("/u/1", "1"), "second"),
			     "second"));
	ExpectOnly("/u/2", "second");
}

TEST_F(GatewayRestore, OlderEraAnswerIsIgnored)
{
	FakeStore::Copy copy = store.MakeCopy();
	store.Put("servers", "i-1", EndpointRow("app", a.addr()));
	Start();
	store.Restore(store.MakeCopy(), "2");
	ASSERT_TRUE(WaitForCounter("store_era", "2"));
	store.AnswerFromCopy("servers", copy, "1", 3);
	for (int i = 0; i < 200 && store.StaleAnswersLeft(); i++)
		usleep(50000);
	EXPECT_EQ(store.StaleAnswersLeft(), 0);
	ExpectOnly("/u/1", "first");
	EXPECT_EQ(Counter("endpoints"), "1");
	EXPECT_EQ(Counter("store_era_errors_total"), "3");
	EXPECT_EQ(Counter("store_restores_total"), "1");
}

TEST_F(GatewayRestore, DrainingEndpointStaysDrainingByARowOfTheCopy)
{
	store.Put("servers", "i-1", EndpointRow("app", a.addr()));
	store.Put("servers", "i-2", EndpointRow("app", b.addr()));
	FakeStore::Copy copy = store.MakeCopy();
	Start();
	uint64_t drained = store.Put("servers", "i-1",
				     EndpointRow("app", a.addr(), "draining"));
	ASSERT_TRUE(store.WaitUntilApplied("servers", drained));
	for (int era = 2; era <= 3; era++) {
		store.Restore(copy, std::to_string(era));
		ASSERT_TRUE(WaitForCounter("store_era", std::to_string(era)));
		uint64_t other = store.Put("servers", "i-3",
					   EndpointRow("other", "127.0.0.1:1"));
		ASSERT_TRUE(store.WaitUntilApplied("servers", other));
		ExpectOnly("/u/1", "second");
	}
	// A later row of the endpoint counts.
	store.Put("servers", "i-1", EndpointRow("app", a.addr()));
	uint64_t last = store.Put("servers", "i-2",
				  EndpointRow("app", b.addr(), "draining"));
	ASSERT_TRUE(store.WaitUntilApplied("servers", last));
	ExpectOnly("/u/2", "first");
}

TEST_F(GatewayRestore, EndpointMissingInACopyIsKeptUntilItCouldBeWrittenAgain)
{
	store.Put("servers", "i-2", EndpointRow("other", b.addr()));
	FakeStore::Copy copy = store.MakeCopy();
	Start();
	uint64_t newest = 0;
	/* More writes than the gateway itself makes after the restore. */
	for (int i = 0; i < 5; i++)
		newest = store.Put("servers", "i-1",
				   EndpointRow("app", a.addr()));
	ASSERT_TRUE(store.WaitUntilApplied("servers", newest));
	store.Restore(copy, "2");
	ASSERT_TRUE(WaitForCounter("store_era", "2"));
	ExpectOnly("/u/1", "first");
	ASSERT_LT(store.Put("servers", "i-1", EndpointRow("app", a.addr())),
		  newest);
	sleep(3);
	ExpectOnly("/u/2", "first");
	// Not written again.
	store.Restore(copy, "3");
	ASSERT_TRUE(WaitForCounter("store_era", "3"));
	EXPECT_TRUE(WaitForCounter("endpoints", "1"));
}

TEST_F(GatewayRestore, ProcessStartedInTheMiddleTakesTheNewerConfiguration)
{
	store.Put("servers", "i-1", EndpointRow("app", a.addr()));
	store.Put("servers", "i-2", EndpointRow("other", b.addr()));
	store.Restore(store.MakeCopy(), "2");
	Start();
	EXPECT_TRUE(Contains(RequestUntil(GetRequest("/s/", "1"), "first"),
			     "first"));
	EXPECT_EQ(Counter("store_restores_total"), "0");
	store.Put("op", "config", ConfigJson(5, "other"));
	EXPECT_TRUE(WaitForCounter("config_version", "5"));
	ExpectOnly("/s/", "second");
}

TEST_F(GatewayRestore, MembershipIsWrittenAgainAfterARestore)
{
	const char *row = "g-127.0.0.2";

	store.Put("servers", "i-1", EndpointRow("app", a.addr()));
	FakeStore::Copy copy = store.MakeCopy();
	Start();
	ASSERT_TRUE(store.WaitForRow("pimentoford", row));
	for (int era = 2; era <= 3; era++) {
		store.Restore(copy, std::to_string(era));
		EXPECT_FALSE(store.HasRow("pimentoford", row));
		EXPECT_TRUE(store.WaitForRow("pimentoford", row));
	}
}

/* A gateway of the same zone, played by the test. */
struct PeerGateway {
	struct event_base *base = event_base_new();
	struct pf_log log = { -1, PF_LOG_ERROR, "peer", nullptr };
	struct pf_talk *talk = nullptr;
	struct sockaddr_in to = {};
	std::string addr;
	int received = 0;
	uint64_t id;
	struct pf_talk_store_view view = { 0, 0, 0, PF_ERA_UNKNOWN };

	explicit PeerGateway(int gateway_port, uint64_t self = 77) : id(self)
	{
		struct pf_talk_opts o = {};

		addr = "127.0.0.2:" + std::to_string(FreePort());
		o.base = base;
		o.addr = addr.c_str();
		o.log = &log;
		o.digest = [](void *ctx, const struct sockaddr_in *,
			      const struct pf_gate_digest *,
			      const struct pf_talk_store_view *) {
			static_cast<PeerGateway *>(ctx)->received++;
		};
		o.ctx = this;
		talk = pf_talk_new(&o);
		pf_talk_addr(
			("127.0.0.2:" + std::to_string(gateway_port)).c_str(),
			&to);
	}
	~PeerGateway()
	{
		pf_talk_free(talk);
		event_base_free(base);
	}
	/* Sends digests for @ms; returns how many came from the gateway. */
	int Exchange(int ms)
	{
		struct pf_gate_digest d = {};

		d.peer = id;
		received = 0;
		for (int i = 0; i < ms / 50; i++) {
			pf_talk_send_digest(talk, &to, &d, &view);
			usleep(50000);
			event_base_loop(base, EVLOOP_NONBLOCK);
		}
		return received;
	}
};

TEST_F(GatewayRestore, LivePeerWhoseRowIsGoneIsKept)
{
	PeerGateway peer(datagram_port);

	store.Put("servers", "i-1", EndpointRow("app", a.addr()));
	FakeStore::Copy copy = store.MakeCopy();
	store.PutInPart("pimentoford", "gateways", "g-peer", peer.addr + " za");
	Start();
	ASSERT_TRUE(store.WaitForRow("pimentoford", "g-127.0.0.2"));
	peer.Exchange(1000);
	EXPECT_GE(peer.Exchange(2000), 12);
	store.Restore(copy, "2");
	/* A feed call may notice the restore only after 2.5 s. */
	for (int i = 0; i < 20 && !store.HasRow("pimentoford", "g-127.0.0.2");
	     i++)
		peer.Exchange(500);
	ASSERT_TRUE(store.HasRow("pimentoford", "g-127.0.0.2"));
	peer.Exchange(1000);
	// Gateways of unknown zones are sent three in two seconds.
	EXPECT_GE(peer.Exchange(2000), 12);
}

// Only the first 64 rows were read: gateways with later names were sent little.
TEST_F(GatewayRestore, PeersBeyondTheFirstPageOfRowsAreKnown)
{
	PeerGateway peer(datagram_port);

	store.Put("servers", "i-1", EndpointRow("app", a.addr()));
	for (int i = 0; i < 600; i++)
		store.PutInPart("pimentoford", "gateways",
				"g-" + std::to_string(1000 + i),
				"127.0.1." + std::to_string(i % 250 + 1) + ":" +
					std::to_string(20000 + i) + " zb");
	store.PutInPart("pimentoford", "gateways", "z-peer", peer.addr + " za");
	Start();
	ASSERT_TRUE(store.WaitForRow("pimentoford", "g-127.0.0.2"));
	peer.Exchange(2000);
	// Gateways of unknown zones are sent three in two seconds.
	EXPECT_GE(peer.Exchange(2000), 12);
}

TEST_F(GatewayRestore, ARestoreThatPeersReportIsReadAtOnce)
{
	// Three lower ids: this gateway leaves the polling to them.
	PeerGateway p1(datagram_port, 1), p2(datagram_port, 2),
		p3(datagram_port, 3);
	PeerGateway *peers[] = { &p1, &p2, &p3 };
	auto exchange = [&](int ms) {
		for (int i = 0; i < ms / 150; i++)
			for (PeerGateway *p : peers)
				p->Exchange(50);
	};

	store.Put("servers", "i-1", EndpointRow("app", a.addr()));
	for (PeerGateway *p : peers)
		store.PutInPart("pimentoford", "gateways", p->addr,
				p->addr + " za");
	FakeStore::Copy copy = store.MakeCopy();
	Start();
	for (PeerGateway *p : peers)
		p->view.era = 1;
	exchange(5000);
	store.Restore(copy, "2");
	exchange(1000);
	EXPECT_EQ(Counter("store_era"), "1");
	for (PeerGateway *p : peers)
		p->view.era = 2;
	exchange(1500);
	EXPECT_EQ(Counter("store_era"), "2");
}

TEST_F(GatewayRestore, GarbledEraIsAFinding)
{
	store.Put("servers", "i-1", EndpointRow("app", a.addr()));
	store.Put("servers", "i-2", EndpointRow("other", b.addr()));
	Start();
	store.SetEra("first");
	store.Put("op", "config", ConfigJson(5, "other"));
	EXPECT_TRUE(WaitForCounter("config_version", "5"));
	ExpectOnly("/s/", "second");
	EXPECT_GT(atoi(Counter("store_era_errors_total").c_str()), 0);
	EXPECT_EQ(Counter("store_era"), "1");
	store.SetEra("1");
	store.Put("op", "config", ConfigJson(6, "app"));
	EXPECT_TRUE(WaitForCounter("config_version", "6"));
	EXPECT_EQ(Counter("store_restores_total"), "0");
}

TEST_F(Gateway, StopCompletesStreamsInFlight)
{
	FakeServer e("127.0.0.1", [](int fd, const FakeRequest &r) {
		FakeSend(fd, "HTTP/1.1 200 OK\r\nAttempt-Id: " +
				     r.Header("Attempt-Id") +
				     "\r\nTransfer-Encoding: chunked\r\n\r\n" +
				     Chunk(StreamEvent(1)));
		for (int i = 2; i <= 10; i++) {
			usleep(150000);
			FakeSend(fd, Chunk(StreamEvent(i)));
		}
		FakeSend(fd, "0\r\n\r\n");
		return true;
	});

	store.Put("servers", "i-1", EndpointRow("app", e.addr()));
	StartGateway();
	WaitUntilReady();
	int fd = FakeDial("127.0.0.2", port);
	FakeSend(fd, GetRequest("/t/x", "1"));
	std::string got = FakeReceive(fd, "data: e1\n");
	gateway.Signal(SIGHUP);
	gateway.Signal(SIGTERM);
	got += FakeReceive(fd);
	close(fd);
	EXPECT_TRUE(Contains(got, "data: e10\n")) << got;
	EXPECT_TRUE(Contains(got, "0\r\n\r\n"));
	EXPECT_TRUE(Contains(GetReady(), " 503 ") || GetReady().empty());
	EXPECT_EQ(gateway.Wait(), 0);
}

// Sound endpoints that fall silent in the middle of their answers.
struct SilenceCase {
	const char *name;
	int silence_ms;
	int silent_endpoints; /* of four */
	bool stop; /* SIGTERM during the silence */
	bool may_move; /* long enough to go on elsewhere */
};

struct GatewaySilence : Gateway, ::testing::WithParamInterface<SilenceCase> {
	std::vector<std::unique_ptr<FakeServer>> endpoints;

	/* Streams of five events, and plain answers, that pause once. */
	static bool Serve(int fd, const FakeRequest &r, int silence_ms)
	{
		int from = atoi(r.Header("Last-Event-Id").c_str());
		std::string head = "Attempt-Id: " + r.Header("Attempt-Id") +
				   "\r\nResponse-Stamp: s.1\r\n";

		if (r.target[1] == 'u') {
			usleep(1000 * silence_ms);
			FakeSend(fd, HttpAnswer(200, "body", head));
			return true;
		}
		FakeSend(fd, "HTTP/1.1 200 OK\r\n" + head +
				     "Transfer-Encoding: chunked\r\n\r\n");
		for (int i = from + 1; i <= 5; i++) {
			if (i == 3)
				usleep(1000 * silence_ms);
			FakeSend(fd, Chunk(StreamEvent(i)));
			usleep(20000);
		}
		FakeSend(fd, "0\r\n\r\n");
		return true;
	}
	void StartEndpoints(const SilenceCase &c)
	{
		for (int k = 0; k < 4; k++) {
			int ms = k < c.silent_endpoints ? c.silence_ms : 0;

			endpoints.push_back(std::make_unique<FakeServer>(
				"127.0.0.1",
				[ms](int fd, const FakeRequest &r) {
					return Serve(fd, r, ms);
				}));
			store.Put("servers", "i-" + std::to_string(k),
				  EndpointRow("app", endpoints[k]->addr(),
					      "ready",
					      "[{\"name\":\"m\",\"version\":1,"
					      "\"adapters\":[]}]"));
		}
	}
	/* Sends of the gateway to endpoints. */
	int Sends()
	{
		int n = 0;

		for (auto &e : endpoints)
			n += static_cast<int>(e->count("/x"));
		return n;
	}
};

TEST_P(GatewaySilence, CutsNoAnswer)
{
	const SilenceCase &c = GetParam();
	const int requests = 16;
	std::vector<int> fds;
	int lost = 0;

	StartEndpoints(c);
	StartGateway(true, "0.2");
	WaitUntilReady();
	for (int k = 0; k < requests; k++) {
		std::string model = "Model: m\r\nToken-Usage: 10,40\r\n";

		fds.push_back(FakeDial("127.0.0.2", port));
		FakeSend(fds[k], GetRequest(k % 4 ? "/r/x" : "/u/x",
					    std::to_string(k), model));
	}
	store.Put("op", "config", ConfigJson(2));
	usleep(200000);
	if (c.stop)
		gateway.Signal(SIGTERM);
	for (int k = 0; k < requests; k++) {
		std::string got = FakeReceive(fds[k]);

		close(fds[k]);
		lost += k % 4 ? !Contains(got, "data: e5\n") ||
					!Contains(got, "\r\n0\r\n\r\n")
			      : !Contains(got, "body");
	}
	printf("silence: ms=%d endpoints=%d requests=%d lost=%d repeated=%d\n",
	       c.silence_ms, c.silent_endpoints, requests, lost,
	       Sends() - requests);
	EXPECT_EQ(lost, 0);
	/* Repeats stay within the budget: a fifth of the requests. */
	EXPECT_LE(Sends(), c.may_move ? requests + requests / 5 : requests);
}

INSTANTIATE_TEST_SUITE_P(
	Lengths, GatewaySilence,
	::testing::Values(SilenceCase{ "Short_One", 300, 1, false, false },
			  SilenceCase{ "Short_Half", 300, 2, false, false },
			  SilenceCase{ "Short_All", 300, 4, false, false },
			  SilenceCase{ "Second_One", 1000, 1, false, false },
			  SilenceCase{ "Second_Half", 1000, 2, false, false },
			  SilenceCase{ "Second_All", 1000, 4, false, false },
			  SilenceCase{ "Second_All_Stop", 1200, 4, true,
				       false },
			  SilenceCase{ "Long_One", 2000, 1, false, true },
			  SilenceCase{ "Long_Half", 2000, 2, false, true },
			  SilenceCase{ "Long_All", 2000, 4, false, true }),
	[](const auto &p) { return p.param.name; });

TEST_F(Gateway, ARequestReadBehindAnotherIsAnsweredNext)
{
	FakeServer e("127.0.0.1", [](int fd, const FakeRequest &r) {
		usleep(200000);
		FakeSend(fd,
			 HttpAnswer(200, "body " + r.target,
				    "Attempt-Id: " + r.Header("Attempt-Id") +
					    "\r\nResponse-Stamp: s.1\r\n"));
		return true;
	});

	store.Put("servers", "i-1", EndpointRow("app", e.addr()));
	StartGateway();
	WaitUntilReady();
	int fd = FakeDial("127.0.0.2", port);
	for (const char *id : { "1", "2", "3" })
		FakeSend(fd, std::string("GET /u/") + id +
				     " HTTP/1.1\r\nHost: h\r\nAttempt-Id: " +
				     id + "\r\nDeadline-Ms: 15000\r\n\r\n");
	std::string got = FakeReceive(fd, "body /u/3");
	close(fd);
	EXPECT_TRUE(Contains(got, "body /u/1")) << got;
	EXPECT_TRUE(Contains(got, "body /u/2")) << got;
	EXPECT_TRUE(Contains(got, "body /u/3")) << got;
	EXPECT_TRUE(Contains(GetReady(), " 200 "));
}

/* The sanitizers bring an allocator of their own. */
#ifndef __SANITIZE_ADDRESS__
TEST_F(Gateway, MemoryOutBehindARequestKeepsItsAnswer)
{
	FakeServer e("127.0.0.1", [](int fd, const FakeRequest &r) {
		usleep(500000);
		FakeSend(fd,
			 HttpAnswer(200, "body",
				    "Attempt-Id: " + r.Header("Attempt-Id") +
					    "\r\nResponse-Stamp: s.1\r\n"));
		return true;
	});

	store.Put("servers", "i-1", EndpointRow("app", e.addr()));
	store.Put("op", "config", ConfigJson(1));
	gateway.Start("pimento-gateway",
		      GatewaySettings(store.addr(), "127.0.0.2", port,
				      ready_port, datagram_port),
		      100000);
	WaitUntilReady();
	int fd = FakeDial("127.0.0.2", port);
	FakeSend(fd, "GET /u/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: 1\r\n"
		     "Deadline-Ms: 15000\r\n\r\n" +
			     std::string(200000, 'x'));
	std::string got = FakeReceive(fd);
	close(fd);
	EXPECT_TRUE(Contains(got, "body")) << got;
	EXPECT_TRUE(Contains(GetReady(), " 200 "));
}
// Endpoints got the time that was left before the connection was made.
TEST_F(Gateway, ASlowConnectionTakesOfTheTimeThatIsHandedOn)
{
	FakeServer e("127.0.0.1", AnswerWith("body"));

	store.Put("servers", "i-1", EndpointRow("app", e.addr()));
	gateway.SlowConnects(e.port(), 400);
	StartGateway();
	WaitUntilReady();
	std::string got = Request("GET /u/slow HTTP/1.1\r\nHost: h\r\n"
				  "Attempt-Id: 77\r\nDeadline-Ms: 2000\r\n"
				  "Connection: close\r\n\r\n");
	EXPECT_TRUE(Contains(got, "HTTP/1.1 200")) << got;
	ASSERT_EQ(e.count("/u/slow"), 1u);
	for (const FakeRequest &r : e.seen()) {
		int left = atoi(r.Header("Deadline-Ms").c_str());

		EXPECT_LE(left, 1600);
		EXPECT_GT(left, 0);
	}
}
TEST_F(Gateway, MemoryOutForAnAnswerResetsTheConnection)
{
	FakeServer e("127.0.0.1", AnswerWith(std::string(65500, 'b')));

	store.Put("servers", "i-1", EndpointRow("app", e.addr()));
	store.Put("op", "config", ConfigJson(1));
	gateway.Start("pimento-gateway",
		      GatewaySettings(store.addr(), "127.0.0.2", port,
				      ready_port, datagram_port),
		      100000);
	WaitUntilReady();
	int fd = FakeDial("127.0.0.2", port, 5);
	FakeSend(fd, "GET /u/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: 1\r\n"
		     "Deadline-Ms: 15000\r\n\r\n");
	char byte;
	EXPECT_EQ(recv(fd, &byte, 1, 0), -1);
	EXPECT_EQ(errno, ECONNRESET);
	close(fd);
	EXPECT_TRUE(Contains(GetReady(), " 200 "));
}
#endif

TEST_F(Gateway, StopDeliversAnAnswerThatIsStillQueued)
{
	const std::string body(8 << 20, 'b');
	FakeServer e("127.0.0.1", AnswerWith(body));
	int small = 65536;

	store.Put("servers", "i-1", EndpointRow("app", e.addr()));
	StartGateway();
	WaitUntilReady();
	int fd = FakeDial("127.0.0.2", port);
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
	FakeSend(fd, GetRequest("/u/x", "1"));
	usleep(1000000);
	gateway.Signal(SIGTERM);
	usleep(3500000);
	std::string got = FakeReceive(fd);
	close(fd);
	size_t head = got.find("\r\n\r\n");
	ASSERT_NE(head, std::string::npos);
	EXPECT_EQ(got.size() - head - 4, body.size());
	EXPECT_EQ(gateway.Wait(), 0);
}

TEST_F(Gateway, StopDeliversAQueuedAnswerOnAKeptConnection)
{
	const std::string body(8 << 20, 'b');
	FakeServer e("127.0.0.1", AnswerWith(body));
	int small = 65536;

	store.Put("servers", "i-1", EndpointRow("app", e.addr()));
	StartGateway();
	WaitUntilReady();
	int fd = FakeDial("127.0.0.2", port);
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
	FakeSend(fd, "GET /u/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: 1\r\n"
		     "Deadline-Ms: 15000\r\n\r\n");
	usleep(1000000);
	gateway.Signal(SIGTERM);
	usleep(4500000);
	std::string got = FakeReceive(fd);
	close(fd);
	size_t head = got.find("\r\n\r\n");
	ASSERT_NE(head, std::string::npos);
	EXPECT_EQ(got.size() - head - 4, body.size());
	EXPECT_EQ(gateway.Wait(), 0);
}

TEST_F(Gateway, ACallerThatNeverReadsIsDisconnected)
{
	FakeServer e("127.0.0.1", AnswerWith(std::string(8 << 20, 'b')));
	int small = 65536;

	store.Put("servers", "i-1", EndpointRow("app", e.addr()));
	StartGateway();
	WaitUntilReady();
	int fd = FakeDial("127.0.0.2", port);
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
	FakeSend(fd, "GET /u/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: 1\r\n"
		     "Deadline-Ms: 15000\r\n\r\n");
	// A peer without a window ignores the reset; bytes draw another one.
	struct pollfd p = { fd, POLLRDHUP, 0 };
	for (int i = 0; i < 20 && p.revents == 0; i++) {
		usleep(1000000);
		FakeSend(fd, "x");
		poll(&p, 1, 100);
	}
	EXPECT_NE(p.revents, 0);
	close(fd);
}

// Unread bytes at a close make the kernel discard what it has not sent.
TEST_F(Gateway, BytesBehindTheLastRequestDoNotCutItsAnswer)
{
	const std::string body(8 << 20, 'b');
	FakeServer e("127.0.0.1", AnswerWith(body));
	int small = 65536;

	store.Put("servers", "i-1", EndpointRow("app", e.addr()));
	StartGateway();
	WaitUntilReady();
	int fd = FakeDial("127.0.0.2", port);
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
	FakeSend(fd, GetRequest("/u/x", "1"));
	usleep(1000000);
	FakeSend(fd, "\r\n");
	usleep(200000);
	std::string got = FakeReceive(fd);
	close(fd);
	size_t head = got.find("\r\n\r\n");
	ASSERT_NE(head, std::string::npos);
	EXPECT_EQ(got.size() - head - 4, body.size());
}

// An answer without length or chunks is complete at an orderly close.
TEST_F(Gateway, StopResetsAStreamWithoutChunksThatIsNotComplete)
{
	FakeServer e("127.0.0.1", [](int fd, const FakeRequest &r) {
		char c;

		FakeSend(fd, "HTTP/1.1 200 OK\r\nAttempt-Id: " +
				     r.Header("Attempt-Id") +
				     "\r\nTransfer-Encoding: chunked\r\n\r\n" +
				     Chunk(StreamEvent(1)));
		recv(fd, &c, 1, 0);
		return false;
	});
	char c;

	store.Put("servers", "i-1", EndpointRow("app", e.addr()));
	StartGateway();
	WaitUntilReady();
	int fd = FakeDial("127.0.0.2", port);
	FakeSend(fd, "GET /t/x HTTP/1.0\r\nHost: h\r\nAttempt-Id: 1\r\n"
		     "Deadline-Ms: 15000\r\n\r\n");
	EXPECT_TRUE(Contains(FakeReceive(fd, "data: e1\n\n"), " 200 "));
	gateway.Signal(SIGTERM);
	EXPECT_LT(recv(fd, &c, 1, 0), 0);
	EXPECT_EQ(errno, ECONNRESET);
	close(fd);
	EXPECT_EQ(gateway.Wait(), 0);
}

TEST_F(Gateway, StopAnswersARequestThatWasReadBehindAnother)
{
	FakeServer e("127.0.0.1", [](int fd, const FakeRequest &r) {
		usleep(600000);
		FakeSend(fd,
			 HttpAnswer(200, "body " + r.target,
				    "Attempt-Id: " + r.Header("Attempt-Id") +
					    "\r\nResponse-Stamp: s.1\r\n"));
		return true;
	});

	store.Put("servers", "i-1", EndpointRow("app", e.addr()));
	StartGateway();
	WaitUntilReady();
	int fd = FakeDial("127.0.0.2", port);
	for (const char *id : { "1", "2" })
		FakeSend(fd, std::string("GET /u/") + id +
				     " HTTP/1.1\r\nHost: h\r\nAttempt-Id: " +
				     id + "\r\nDeadline-Ms: 15000\r\n\r\n");
	usleep(200000);
	gateway.Signal(SIGTERM);
	std::string got = FakeReceive(fd);
	close(fd);
	EXPECT_TRUE(Contains(got, "body /u/1")) << got;
	EXPECT_TRUE(Contains(got, "body /u/2")) << got;
	EXPECT_EQ(gateway.Wait(), 0);
}

TEST_F(Gateway, StopAnswersOnAConnectionThatWasNotToldToClose)
{
	FakeServer e("127.0.0.1", [](int fd, const FakeRequest &r) {
		FakeSend(fd, "HTTP/1.1 200 OK\r\nAttempt-Id: " +
				     r.Header("Attempt-Id") +
				     "\r\nTransfer-Encoding: chunked\r\n\r\n" +
				     Chunk(StreamEvent(1)));
		usleep(700000);
		FakeSend(fd, Chunk(StreamEvent(2)) + "0\r\n\r\n");
		return true;
	});
	std::string request =
		"GET /t/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: 1\r\n"
		"Deadline-Ms: 15000\r\n\r\n";

	store.Put("servers", "i-1", EndpointRow("app", e.addr()));
	StartGateway();
	WaitUntilReady();
	int fd = FakeDial("127.0.0.2", port);
	FakeSend(fd, request);
	std::string got = FakeReceive(fd, "data: e1\n");
	gateway.Signal(SIGTERM);
	got += FakeReceive(fd, "0\r\n\r\n");
	EXPECT_TRUE(Contains(got, "data: e2\n")) << got;
	usleep(50000);
	FakeSend(fd, request);
	got = FakeReceive(fd);
	close(fd);
	EXPECT_TRUE(Contains(got, "HTTP/1.1 200")) << got;
	EXPECT_TRUE(Contains(got, "Connection: close")) << got;
	EXPECT_EQ(gateway.Wait(), 0);
}

// A request was taken late in a stop though others of its route took longer than
// was left, and was cut.
TEST_F(Gateway, StopRefusesRequestsThatWouldOutlastIt)
{
	std::string settings = GatewaySettings(store.addr(), "127.0.0.2", port,
					       ready_port, datagram_port);
	std::string drain = "drain = \"8s\"";
	std::atomic<int> late{ 0 };
	FakeServer e("127.0.0.1", [&](int fd, const FakeRequest &r) {
		late += r.Header("Attempt-Id") != "1";
		if (r.target == "/u/slow")
			usleep(2500000);
		return FakeSend(
			fd, HttpAnswer(200, "body",
				       "Attempt-Id: " + r.Header("Attempt-Id") +
					       "\r\n"));
	});

	store.Put("op", "config", ConfigJson(1));
	store.Put("servers", "i-1", EndpointRow("app", e.addr()));
	gateway.Start("pimento-gateway",
		      settings.replace(settings.find(drain), drain.size(),
				       "drain = \"4s\""));
	WaitUntilReady();
	EXPECT_TRUE(Contains(Request(GetRequest("/u/slow", "1")), "body"));
	gateway.Signal(SIGTERM);
	usleep(1500000);
	std::string got = Request(GetRequest("/u/slow", "2"));
	EXPECT_TRUE(Contains(got, "HTTP/1.1 503")) << got;
	EXPECT_TRUE(Contains(got, "Retry-After: ")) << got;
	EXPECT_EQ(late, 0);
	got = Request(GetRequest("/s/quick", "3"));
	EXPECT_TRUE(Contains(got, "body")) << got;
	EXPECT_EQ(gateway.Wait(), 0);
}

// A request that outlasted the drain ended with its connection and no answer.
TEST_F(Gateway, StopAnswersARequestThatOutlastsTheDrain)
{
	std::string settings = GatewaySettings(store.addr(), "127.0.0.2", port,
					       ready_port, datagram_port);
	std::string drain = "drain = \"8s\"";
	FakeServer e("127.0.0.1", [](int fd, const FakeRequest &) {
		SleepUntilClosed(fd);
		return false;
	});

	store.Put("op", "config", ConfigJson(1));
	store.Put("servers", "i-1", EndpointRow("app", e.addr()));
	gateway.Start("pimento-gateway",
		      settings.replace(settings.find(drain), drain.size(),
				       "drain = \"4s\""));
	WaitUntilReady();
	int fd = FakeDial("127.0.0.2", port);
	FakeSend(fd, "GET /u/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: 7\r\n"
		     "Deadline-Ms: 15000\r\n\r\n");
	usleep(300000);
	gateway.Signal(SIGTERM);
	std::string got = FakeReceive(fd);
	close(fd);
	/* It may have run. */
	EXPECT_TRUE(Contains(got, "HTTP/1.1 502")) << got;
	EXPECT_TRUE(Contains(got, "Attempt-Id: 7")) << got;
	EXPECT_EQ(gateway.Wait(), 0);
}

TEST_F(Gateway, ShorterIdleTimeoutSparesConnectionsThatAreOpen)
{
	FakeServer e("127.0.0.1", AnswerWith("body"));
	std::string request =
		"GET /u/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: 1\r\n"
		"Deadline-Ms: 15000\r\n\r\n";

	store.Put("servers", "i-1", EndpointRow("app", e.addr()));
	StartGateway();
	WaitUntilReady();
	int fd = FakeDial("127.0.0.2", port);
	FakeSend(fd, request);
	EXPECT_TRUE(Contains(FakeReceive(fd, "body"), " 200 "));
	std::string shorter = ConfigJson(2);
	size_t at = shorter.find("\"idle_timeout_ms\":10000");
	ASSERT_NE(at, std::string::npos);
	shorter.replace(at, 23, "\"idle_timeout_ms\":100");
	store.WaitUntilApplied("op", store.Put("op", "config", shorter));
	usleep(3500000);
	FakeSend(fd, request);
	EXPECT_TRUE(Contains(FakeReceive(fd, "body"), " 200 "));
	close(fd);
}

TEST_F(Gateway, IncompleteBodyIsAnsweredAtItsTimeout)
{
	FakeServer e("127.0.0.1", AnswerWith("body"));

	store.Put("servers", "i-1", EndpointRow("app", e.addr()));
	StartGateway();
	WaitUntilReady();
	EXPECT_TRUE(Contains(
		Request("POST /u/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: 1\r\n"
			"Content-Length: 10\r\n\r\nhalf"),
		"HTTP/1.1 408"));
}

TEST_F(Gateway, EndpointThatSaysThatItLeavesGetsNoNewRequests)
{
	std::atomic<bool> end{ false };
	auto serve = [&](const std::string &name) {
		return [&, name](int fd, const FakeRequest &r) {
			std::string id =
				"Attempt-Id: " + r.Header("Attempt-Id") +
				"\r\n";

			if (r.target == "/u/x") {
				FakeSend(fd, HttpAnswer(200, name, id));
				return true;
			}
			if (r.target == "/t/leave")
				id += "Server-Leaving: 1\r\n";
			FakeSend(fd, "HTTP/1.1 200 OK\r\n" + id +
					     "Transfer-Encoding: chunked\r\n"
					     "\r\n" +
					     Chunk(StreamEvent(1)));
			for (int i = 0; i < 400 && !end; i++) {
				usleep(50000);
				FakeSend(fd, Chunk(StreamEvent(2)));
			}
			FakeSend(fd, Chunk("id: 3\ndata: " + name + "\n\n") +
					     "0\r\n\r\n");
			return true;
		};
	};
	FakeServer a("127.0.0.1", serve("first"));
	FakeServer b("127.0.0.1", serve("second"));

	store.Put("servers", "i-1", EndpointRow("app", a.addr()));
	store.Put("servers", "i-2", EndpointRow("app", b.addr()));
	StartGateway();
	WaitUntilReady();
	int fd = FakeDial("127.0.0.2", port);
	FakeSend(fd, GetRequest("/t/leave", "1"));
	std::string got = FakeReceive(fd, "data: e1\n");
	bool first = a.count("/t/leave") == 1;
	store.WaitUntilApplied(
		"servers",
		store.Put("servers", first ? "i-1" : "i-2",
			  EndpointRow("app", first ? a.addr() : b.addr(),
				      "ready",
				      "[{\"name\":\"m\",\"version\":1,"
				      "\"adapters\":[]}]")));
	/* Load on the other endpoint does not bring it back. */
	int busy[3];
	for (int &b : busy) {
		b = FakeDial("127.0.0.2", port);
		FakeSend(b, GetRequest("/t/busy", "2"));
		FakeReceive(b, "data: e1\n");
	}
	for (int i = 0; i < 20; i++)
		EXPECT_TRUE(Contains(Request(GetRequest("/u/x", "2")),
				     first ? "second" : "first"));
	end = true;
	for (int b : busy) {
		FakeReceive(b);
		close(b);
	}
	got += FakeReceive(fd);
	close(fd);
	EXPECT_TRUE(Contains(got, first ? "data: first\n" : "data: second\n"))
		<< got;
	EXPECT_TRUE(Contains(got, "0\r\n\r\n")) << got;
	Request(GetRequest("/t/leave", "3"));
	EXPECT_EQ(a.count("/t/leave") + b.count("/t/leave"), 2u);
	got = Request(GetRequest("/u/x", "4"));
	EXPECT_TRUE(Contains(got, "HTTP/1.1 503")) << got;
	EXPECT_TRUE(Contains(got, "Retry-After:")) << got;
	EXPECT_TRUE(Contains(got, "all_leaving")) << got;
	EXPECT_TRUE(Contains(FakeGet("127.0.0.2", ready_port, "/metrics"),
			     "endpoints_leaving_total 2"));
}

TEST_F(Gateway, EndpointThatAsksForNoRequestsGetsNone)
{
	std::atomic<int> turned_away{ 0 };
	FakeServer e("127.0.0.1", [&](int fd, const FakeRequest &r) {
		std::string id =
			"Attempt-Id: " + r.Header("Attempt-Id") + "\r\n";

		if (r.target != "/u/away" || turned_away++)
			FakeSend(fd, HttpAnswer(200, "served", id));
		else
			FakeSend(fd, HttpAnswer(503, "",
						id + "Not-Run: 1\r\n"
						     "Retry-After: 1.5\r\n"));
		return true;
	});

	store.Put("servers", "i-1", EndpointRow("app", e.addr()));
	StartGateway();
	WaitUntilReady();
	auto from = std::chrono::steady_clock::now();
	std::string got = Request(GetRequest("/u/away", "1"));
	EXPECT_TRUE(Contains(got, "\"backoff\"")) << got;
	for (int i = 0; std::chrono::steady_clock::now() - from <
			std::chrono::milliseconds(1200);
	     i++) {
		got = Request(GetRequest("/u/x", "2"));
		EXPECT_TRUE(Contains(got, "HTTP/1.1 503")) << got;
		EXPECT_TRUE(Contains(got, "Retry-After:")) << got;
		usleep(50000);
	}
	EXPECT_EQ(e.count("/u/"), 1u);
	usleep(600000);
	EXPECT_TRUE(Contains(Request(GetRequest("/u/x", "3")), "served"));
	got = FakeGet("127.0.0.2", ready_port, "/metrics");
	EXPECT_TRUE(Contains(got, "gateway_backoffs_total 1\n"));
	EXPECT_TRUE(Contains(got, "gateway_bad_retry_after_total 0\n"));
}

TEST_F(Gateway, BadRetryAfterIsCountedAndHoldsNothing)
{
	std::atomic<int> n{ 0 };
	FakeServer e("127.0.0.1", [&](int fd, const FakeRequest &r) {
		static const char *const values[] = { "-1", "soon" };
		std::string id =
			"Attempt-Id: " + r.Header("Attempt-Id") + "\r\n";
		int i = n++;

		if (i >= 2)
			FakeSend(fd, HttpAnswer(200, "served", id));
		else
			FakeSend(fd,
				 HttpAnswer(503, "",
					    id + "Not-Run: 1\r\nRetry-After: " +
						    values[i] + "\r\n"));
		return true;
	});

	store.Put("servers", "i-1", EndpointRow("app", e.addr()));
	StartGateway();
	WaitUntilReady();
	EXPECT_TRUE(Contains(Request(GetRequest("/u/x", "1")), "served"));
	EXPECT_TRUE(Contains(FakeGet("127.0.0.2", ready_port, "/metrics"),
			     "gateway_bad_retry_after_total 2\n"));
}

struct EndlessCase {
	const char *name;
	const char *path;
	const char *start, *more; /* `more` is sent again and again */
};

struct GatewayEndless : Gateway, ::testing::WithParamInterface<EndlessCase> {
};

// An endpoint that sent bytes without end took the gateway's memory, or its
// stack, until the deadline.
TEST_P(GatewayEndless, BytesAreReadToALimitAndTheConnectionIsClosed)
{
	const EndlessCase &c = GetParam();
	const size_t most = 200 << 20;
	std::atomic<size_t> sent{ 0 };
	std::atomic<bool> closed{ false };
	FakeServer e("127.0.0.1", [&](int fd, const FakeRequest &r) {
		std::string more;

		FakeSend(fd, "HTTP/1.1 " + std::string(c.start) +
				     "\r\nAttempt-Id: " +
				     r.Header("Attempt-Id") + "\r\n");
		while (more.size() < 30000)
			more += c.more;
		while (sent < most && FakeSend(fd, more))
			sent += more.size();
		closed = sent < most;
		return false;
	});

	store.Put("servers", "i-1", EndpointRow("app", e.addr()));
	StartGateway();
	WaitUntilReady();
	auto start = std::chrono::steady_clock::now();
	std::string got = Request(GetRequest(c.path, "1"));
	double took = std::chrono::duration<double>(
			      std::chrono::steady_clock::now() - start)
			      .count();

	EXPECT_TRUE(got.empty() || Contains(got, "HTTP/1.1 502") ||
		    !Contains(got, "0\r\n\r\n"))
		<< got.substr(0, 200);
	EXPECT_LT(took, 5);
	for (int i = 0; i < 100 && !closed; i++)
		usleep(20000);
	EXPECT_TRUE(closed);
	/* Kernel buffers included. */
	EXPECT_LT(sent, 24u << 20);
	EXPECT_TRUE(Contains(GetReady(), " 200 "));
}

// Many such answers at once took the memory of the VM.
TEST_F(Gateway, LongAnswersAtOnceHaveALimitTogether)
{
	const size_t n = 24; /* the endpoints' slots */
	const std::string part(65536, 'b');
	std::atomic<size_t> sent{ 0 };
	std::vector<std::unique_ptr<FakeServer>> servers;
	std::vector<std::thread> callers;
	auto answer = [&](int fd, const FakeRequest &r) {
		size_t own = 0;

		FakeSend(fd, "HTTP/1.1 200 OK\r\nAttempt-Id: " +
				     r.Header("Attempt-Id") + "\r\n\r\n");
		while (own < 15 << 20 && FakeSend(fd, part))
			own += part.size();
		sent += own;
		SleepUntilClosed(fd);
		return false;
	};

	for (int i = 0; i < 3; i++) {
		servers.push_back(
			std::make_unique<FakeServer>("127.0.0.1", answer));
		store.Put("servers", "i-" + std::to_string(i),
			  EndpointRow("app", servers.back()->addr()));
	}
	StartGateway();
	WaitUntilReady();
	for (size_t i = 0; i < n; i++)
		callers.emplace_back([this, i] {
			Request("GET /u/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: " +
				std::to_string(i) +
				"\r\nDeadline-Ms: 3000\r\n"
				"Connection: close\r\n\r\n");
		});
	for (std::thread &t : callers)
		t.join();
	servers.clear();
	/* Kernel buffers included. */
	EXPECT_GT(sent, 32u << 20);
	EXPECT_LT(sent, 250u << 20);
}

INSTANTIATE_TEST_SUITE_P(
	Cases, GatewayEndless,
	::testing::Values(
		EndlessCase{ "Head", "/u/x", "200 OK", "X-More: more\r\n" },
		EndlessCase{ "HeadLine", "/u/x", "200 OK", "x" },
		EndlessCase{ "InterimAnswers", "/u/x",
			     "100 Continue\r\n\r\nHTTP/1.1 100 Continue",
			     "\r\nHTTP/1.1 100 Continue\r\n" },
		EndlessCase{ "Body", "/u/x", "200 OK", "\r\nbody" },
		EndlessCase{ "BodyWithLength", "/u/x",
			     "200 OK\r\nContent-Length: 9000000000",
			     "\r\nbody" },
		EndlessCase{
			"BodyOfChunks", "/u/x",
			"200 OK\r\nTransfer-Encoding: chunked",
			"\r\n28\r\n0123456789012345678901234567890123456789" },
		EndlessCase{ "Trailer", "/u/x",
			     "200 OK\r\nAttempt-Id: 1\r\n"
			     "Transfer-Encoding: chunked\r\n\r\n0",
			     "X: more\r\n" },
		EndlessCase{ "Event", "/t/x", "200 OK", "\r\ndata: more" },
		EndlessCase{ "EventOfChunks", "/r/x",
			     "200 OK\r\nTransfer-Encoding: chunked",
			     "\r\n6\r\ndata: " }),
	[](const ::testing::TestParamInfo<EndlessCase> &i) {
		return std::string(i.param.name);
	});

struct EndCase {
	const char *name;
	const char *answer; /* without length or chunks */
};

struct GatewayStreamEnd : Gateway, ::testing::WithParamInterface<EndCase> {
};

// A stream without length or chunks that ended with its connection was no crash
// of the endpoint, wherever it ended.
TEST_P(GatewayStreamEnd, BeforeTheEndOfAnEventCountsAsACrash)
{
	std::atomic<int> runs{ 0 };
	FakeServer e("127.0.0.1", [&](int fd, const FakeRequest &r) {
		runs++;
		FakeSend(fd, "HTTP/1.1 200 OK\r\nAttempt-Id: " +
				     r.Header("Attempt-Id") + "\r\n\r\n" +
				     GetParam().answer);
		return false;
	});

	store.Put("servers", "i-1", EndpointRow("app", e.addr()));
	StartGateway();
	WaitUntilReady();
	for (int i = 0; i < 6; i++)
		Request(GetRequest("/t/x", std::to_string(i)));
	EXPECT_EQ(runs, 3);
	EXPECT_TRUE(Contains(Request(GetRequest("/t/x", "9")), "quarantined"));
}

INSTANTIATE_TEST_SUITE_P(Cases, GatewayStreamEnd,
			 ::testing::Values(EndCase{ "NoEvent", "" },
					   EndCase{ "FirstEvent", "id: 1\nda" },
					   EndCase{ "LaterEvent",
						    "id: 1\ndata: e1\n\nid" }),
			 [](const ::testing::TestParamInfo<EndCase> &i) {
				 return std::string(i.param.name);
			 });

TEST_F(Gateway, ACallersDisconnectCancelsTheSend)
{
	std::atomic<bool> closed{ false };
	FakeServer e("127.0.0.1", [&](int fd, const FakeRequest &r) {
		char c;

		FakeSend(fd, "HTTP/1.1 200 OK\r\nAttempt-Id: " +
				     r.Header("Attempt-Id") +
				     "\r\nTransfer-Encoding: chunked\r\n\r\n" +
				     Chunk(StreamEvent(1)));
		closed = recv(fd, &c, 1, 0) <= 0;
		return false;
	});

	store.Put("servers", "i-1", EndpointRow("app", e.addr()));
	StartGateway();
	WaitUntilReady();
	int fd = FakeDial("127.0.0.2", port);
	FakeSend(fd, GetRequest("/t/x", "1"));
	FakeReceive(fd, "data: e1\n");
	close(fd);
	for (int i = 0; i < 200 && !closed; i++)
		usleep(50000);
	EXPECT_TRUE(closed);
}

/* An engine that loads adapters when ordered to. */
struct FakeEngine {
	std::mutex mu;
	std::vector<std::string> adapters;
	int orders = 0;
	int misdirected_orders = 0; /* for another instance or order count */
	FakeServer server;

	FakeEngine()
	    : server("127.0.0.1", [this](int fd, const FakeRequest &r) {
		      return Handle(fd, r);
	      })
	{
	}
	std::string ModelsJson()
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
			FakeSend(fd, HttpAnswer(200,
						"{\"born\":7,\"seq\":" +
							std::to_string(orders) +
							",\"busy\":false,"
							"\"models\":" +
							ModelsJson() + "}"));
		} else if (r.target == "/order") {
			size_t at = r.body.find("\"adapter\":\"");

			misdirected_orders +=
				r.Header("Expect-Instance") != "i-1" ||
				r.body.find("\"expected\":" +
					    std::to_string(orders)) ==
					std::string::npos;
			if (at != std::string::npos)
				adapters.push_back(r.body.substr(
					at + 11,
					r.body.find('"', at + 11) - at - 11));
			orders++;
			FakeSend(fd, HttpAnswer(202, ""));
		} else {
			FakeSend(fd, HttpAnswer(200, "data: with adapter\n\n",
						"Attempt-Id: " +
							r.Header("Attempt-Id") +
							"\r\n"));
		}
		return true;
	}
};

TEST_F(Gateway, TheLoaderLoadsAnAdapterThatARequestNeeds)
{
	FakeEngine e;
	Daemon loader;

	store.Put("servers", "i-1",
		  EndpointRow(
			  "app", e.server.addr(), "ready",
			  "[{\"name\":\"m\",\"version\":1,\"adapters\":[]}]"));
	StartGateway();
	loader.Start("pimento-loader",
		     "name = \"l1\"\nzone = \"za\"\nregion = \"east\"\n"
		     "platform = \"" +
			     store.addr() + "\"\ndatagrams = \"127.0.0.1:" +
			     std::to_string(datagram_port) +
			     "\"\nbackend = \"" + e.server.addr() + "\"\n");
	WaitUntilReady();
	std::string got = RequestUntil(
		GetRequest("/t/x", "1", "Model: m/a1\r\nToken-Usage: 10,5\r\n"),
		"with adapter");
	EXPECT_TRUE(Contains(got, "with adapter")) << got;
	std::lock_guard<std::mutex> g(e.mu);
	EXPECT_EQ(e.misdirected_orders, 0);
	ASSERT_EQ(e.adapters.size(), 1u);
	EXPECT_EQ(e.adapters[0], "a1");
}

// Calls whose answers arrive byte by byte stay in flight until no connection is
// left for a poll.
TEST_F(Gateway, TheLoaderPollsAgainAfterAPollThatCouldNotStart)
{
	const int conns_max = 4;
	std::atomic<bool> released{ false };
	std::atomic<int> reports{ 0 }, orders{ 0 };
	Daemon loader;
	FakeServer e("127.0.0.1", [&](int fd, const FakeRequest &r) {
		if (r.target == "/report") {
			reports++;
			FakeSend(fd,
				 HttpAnswer(200,
					    "{\"born\":7,\"seq\":0,"
					    "\"busy\":false,\"models\":"
					    "[{\"name\":\"m\",\"version\":1,"
					    "\"adapters\":[]}]}"));
			return true;
		}
		orders++;
		FakeSend(fd, "HTTP/1.1 202 X\r\nContent-Length: 9999\r\n\r\n");
		while (!released) {
			FakeSend(fd, "x");
			usleep(100000);
		}
		return false;
	});

	store.Put("servers", "i-1",
		  EndpointRow(
			  "app", e.addr(), "ready",
			  "[{\"name\":\"m\",\"version\":1,\"adapters\":[]}]"));
	StartGateway();
	loader.Start("pimento-loader",
		     "name = \"l1\"\nzone = \"za\"\nregion = \"east\"\n"
		     "platform = \"" +
			     store.addr() + "\"\ndatagrams = \"127.0.0.1:" +
			     std::to_string(datagram_port) +
			     "\"\nbackend = \"" + e.addr() + "\"\n");
	WaitUntilReady();
	for (int i = 0; i < 20 && orders < conns_max; i++)
		Request("GET /t/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: " +
			std::to_string(i) +
			"\r\nDeadline-Ms: 3000\r\nModel: m/a1\r\n"
			"Token-Usage: 10,5\r\nConnection: close\r\n\r\n");
	EXPECT_EQ(orders, conns_max);
	// The last order is given up; polls are due but can't start.
	usleep(2500000);
	int before = reports;
	released = true;
	for (int i = 0; i < 100 && reports <= before + 2; i++)
		usleep(50000);
	EXPECT_GT(reports, before + 2);
}

// An endpoint sent its rejection of a request once more, on the same connection,
// when the request came again: it ran twice, or was called not run while it ran.
TEST_F(Gateway, ARejectionThatIsSentAgainIsNoAnswerToTheNextSend)
{
	std::mutex mu;
	std::map<std::string, int> rejected_at, runs;
	FakeServer e("127.0.0.1", [&](int fd, const FakeRequest &r) {
		std::string id = r.Header("Attempt-Id");
		std::string rejection = HttpAnswer(
			503, "", "Attempt-Id: " + id + "\r\nNot-Run: 1\r\n");
		bool again;

		{
			std::lock_guard<std::mutex> l(mu);
			if (!rejected_at.count(id)) {
				rejected_at[id] = fd;
				return FakeSend(fd, rejection);
			}
			runs[id]++;
			again = rejected_at[id] == fd;
		}
		if (again && !FakeSend(fd, rejection))
			return false;
		std::this_thread::sleep_for(std::chrono::milliseconds(50));
		return FakeSend(fd, HttpAnswer(200, "done",
					       "Attempt-Id: " + id +
						       "\r\nResponse-Stamp: "
						       "s\r\n"));
	});

	store.Put("servers", "i-1", EndpointRow("app", e.addr()));
	StartGateway();
	WaitUntilReady();
	for (int i = 0; i < 5; i++) {
		std::string id = "again-" + std::to_string(i);
		std::string got = Request(GetRequest("/u/", id));
		std::lock_guard<std::mutex> l(mu);

		EXPECT_EQ(runs[id], 1) << got;
		EXPECT_TRUE(Contains(got, " 200 ")) << got;
	}
}

// A connection that was in use while its endpoint's address changed was used
// again: requests went to the server at the old address.
TEST_F(Gateway, AConnectionToAnEarlierAddressIsNotUsedAgain)
{
	std::atomic<bool> begun{ false };
	FakeServer a("127.0.0.1", [&](int fd, const FakeRequest &r) {
		begun = true;
		std::this_thread::sleep_for(std::chrono::milliseconds(1500));
		return FakeSend(
			fd, HttpAnswer(200, "first",
				       "Attempt-Id: " + r.Header("Attempt-Id") +
					       "\r\n"));
	});
	FakeServer b("127.0.0.1", AnswerWith("second"));
	std::string first;

	store.Put("servers", "i-1", EndpointRow("app", a.addr()));
	StartGateway();
	WaitUntilReady();
	std::thread caller([&] { first = Request(GetRequest("/u/", "1")); });
	while (!begun)
		std::this_thread::sleep_for(std::chrono::milliseconds(5));
	EXPECT_TRUE(store.WaitUntilApplied(
		"servers",
		store.Put("servers", "i-1", EndpointRow("app", b.addr()))));
	caller.join();
	EXPECT_TRUE(Contains(first, "first")) << first;
	for (int i = 2; i < 5; i++) {
		std::string got = Request(GetRequest("/u/", std::to_string(i)));
		EXPECT_TRUE(Contains(got, "second")) << got;
	}
	EXPECT_EQ(a.count("/u/"), 1u);
}

struct OddRow {
	const char *name;
	const char *field; /* of a row at the address of a sound endpoint */
	const char *value; /* "NEST": nested 30,000 deep */
};

struct GatewayOddRow : Gateway, ::testing::WithParamInterface<OddRow> {
};

// A row of another writer removed the sound endpoint at its address.
TEST_P(GatewayOddRow, LeavesTheOthersInUse)
{
	const OddRow &c = GetParam();
	auto serve = [](const char *id) {
		return [id](int fd, const FakeRequest &r) {
			bool mine = r.Header("Expect-Instance") == id;
			std::string head =
				"Attempt-Id: " + r.Header("Attempt-Id") +
				"\r\n";

			return FakeSend(
				fd, mine ? HttpAnswer(200, "sound", head)
					 : HttpAnswer(421, "",
						      head + "Not-Run: 1\r\n"));
		};
	};
	FakeServer e("127.0.0.1", serve("i-1"));
	FakeServer next("127.0.0.1", serve("i-2"));
	std::string value = c.value, row = EndpointRow("app", e.addr());
	std::string key = "\"" + std::string(c.field) + "\":";

	if (value == "NEST")
		value = std::string(30000, '[') + std::string(30000, ']');
	size_t at = row.find(key);
	ASSERT_NE(at, std::string::npos);
	at += key.size();
	row.replace(at,
		    (row[at] == '"' ? row.find('"', at + 1) + 1
				    : row.find_first_of(",}", at)) -
			    at,
		    value);
	store.Put("servers", "i-1", EndpointRow("app", e.addr()));
	StartGateway();
	WaitUntilReady();
	EXPECT_TRUE(store.WaitUntilApplied("servers",
					   store.Put("servers", "i-odd", row)));
	for (int i = 0; i < 3; i++) {
		std::string got =
			Request(GetRequest("/u/", "odd" + std::to_string(i)));
		EXPECT_TRUE(Contains(got, "sound")) << got;
	}
	/* The list is still followed. */
	store.Put("servers", "i-2", EndpointRow("app", next.addr()));
	EXPECT_TRUE(store.WaitUntilApplied(
		"servers", store.Put("servers", "i-1", "", true)));
	std::this_thread::sleep_for(std::chrono::milliseconds(500));
	EXPECT_TRUE(Contains(Request(GetRequest("/u/", "next")), "sound"));
	EXPECT_EQ(next.count("/u/"), 1u);
}

INSTANTIATE_TEST_SUITE_P(
	Rows, GatewayOddRow,
	::testing::Values(
		OddRow{ "Nested", "models", "NEST" },
		OddRow{ "HugeStart", "born", "1e300" },
		OddRow{ "HugeInteger", "born", "99999999999999999999999" },
		OddRow{ "NegativeStart", "born", "-5" },
		OddRow{ "FractionalStart", "born", "8.5" },
		OddRow{ "HugeSlots", "slots", "1e300" },
		OddRow{ "HugeTime", "cold_left_ms", "1e300" },
		OddRow{ "PortTooHigh", "address", "\"127.0.0.1:99999\"" },
		OddRow{ "PortZero", "address", "\"127.0.0.1:0\"" },
		OddRow{ "PortNegative", "address", "\"127.0.0.1:-1\"" },
		OddRow{ "NoPort", "address", "\"127.0.0.1\"" },
		OddRow{ "NoAddress", "address", "\"[\"" }),
	[](const ::testing::TestParamInfo<OddRow> &i) {
		return std::string(i.param.name);
	});

} // namespace
