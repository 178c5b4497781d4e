// Gateways as processes under random faults. Callers check every answer, and
// endpoints record what ran. PF_SOAK_SEED and PF_SOAK_SECONDS set the seed and
// the duration of the faults.
#include "tests/gateway_fixture.h"

#include <gtest/gtest.h>
#include <sys/socket.h>

#include <random>
#include <set>

namespace
{

const int N_GATEWAYS = 2;
const int N_ENDPOINTS = 4;
const int N_CALLERS = 6;
const int EVENTS_PER_STREAM = 8;

unsigned EnvNumber(const char *name, unsigned default_value)
{
	const char *v = getenv(name);

	return v ? static_cast<unsigned>(strtoul(v, nullptr, 10))
		 : default_value;
}

class SharedRng
{
      public:
	explicit SharedRng(unsigned seed) : rng_(seed)
	{
	}
	unsigned Below(unsigned n)
	{
		std::lock_guard<std::mutex> g(mu_);

		return static_cast<unsigned>(rng_() % n);
	}

      private:
	std::mutex mu_;
	std::mt19937 rng_;
};

/* What ran and what callers received, and the rules that were violated. */
struct RunRecord {
	std::mutex mu;
	std::map<std::string, int> runs;
	std::set<std::string> at_most_once; /* ids that may run only once */
	std::set<std::string> refused; /* answered as not run */
	std::vector<std::string> violations;
	size_t requests = 0, served = 0, broken = 0;

	void AddRun(const std::string &id)
	{
		std::lock_guard<std::mutex> g(mu);

		runs[id]++;
	}
	int RunCount(const std::string &id)
	{
		std::lock_guard<std::mutex> g(mu);

		return runs.count(id) ? runs[id] : 0;
	}
	size_t ServedCount()
	{
		std::lock_guard<std::mutex> g(mu);

		return served;
	}
	void AddViolation(const std::string &what)
	{
		std::lock_guard<std::mutex> g(mu);

		violations.push_back(what);
	}
};

std::string AnswerBody(const std::string &id)
{
	return "mine " + id + " " + std::string(200, 'x') + " end";
}

std::string RequestEvent(int k, const std::string &id)
{
	return "id: " + std::to_string(k) + "\ndata: e" + std::to_string(k) +
	       " " + id + "\n\n";
}

struct Soak : ::testing::Test {
	unsigned seed = EnvNumber("PF_SOAK_SEED", 1);
	unsigned seconds = EnvNumber("PF_SOAK_SECONDS", 4);
	SharedRng rng{ seed };
	RunRecord record;
	FakeStore store;
	std::atomic<bool> faulty{ false };
	std::atomic<bool> endpoints_full{ false }; /* all refuse or reset */
	std::atomic<bool> stopping{ false };
	std::atomic<unsigned> id_counter{ 0 };
	std::vector<std::unique_ptr<FakeServer>> endpoints;
	std::vector<std::thread> callers;
	int config_version = 1;
	struct {
		Daemon process;
		std::string ip;
		int port, ready, datagrams;
	} gateways[N_GATEWAYS];

	void SetUp() override
	{
		store.Put("op", "config", ConfigJson(config_version));
		for (int i = 0; i < N_ENDPOINTS; i++) {
			endpoints.push_back(std::make_unique<FakeServer>(
				"127.0.0.1",
				[this](int fd, const FakeRequest &r) {
					return Serve(fd, r);
				}));
			PutEndpoint(i, "ready");
		}
		for (int i = 0; i < N_GATEWAYS; i++) {
			gateways[i].ip = "127.0.0." + std::to_string(i + 2);
			gateways[i].port = FreePort();
			gateways[i].ready = FreePort();
			/* All gateways and loaders use the same port. */
			gateways[i].datagrams =
				i ? gateways[0].datagrams : FreePort();
			StartGateway(i);
		}
	}
	void TearDown() override
	{
		stopping = true;
		for (std::thread &t : callers)
			t.join();
	}
	void StartGateway(int i)
	{
		gateways[i].process.Start(
			"pimento-gateway",
			GatewaySettings(store.addr(), gateways[i].ip,
					gateways[i].port, gateways[i].ready,
					gateways[i].datagrams));
	}
	void PutEndpoint(int i, const char *state)
	{
		store.Put("servers", "i-" + std::to_string(i),
			  EndpointRow("app", endpoints[i]->addr(), state));
	}

	/* Serves a request at an endpoint; false: close the connection. */
	bool Serve(int fd, const FakeRequest &r)
	{
		std::string id = r.Header("Attempt-Id");
		std::string head = "Attempt-Id: " + id + "\r\n";
		std::string stamp = "Response-Stamp: s." + id + "\r\n";
		unsigned fault = faulty ? rng.Below(100) : 99;
		bool stream = r.target[1] == 't' || r.target[1] == 'r';

		if (r.method != "POST" || r.body != "b-" + id)
			record.AddViolation("request changed: " + r.target +
					    " " + r.body);
		/* Half run and are lost: refusals of later sends must not be
		 * reported as not run. */
		if (endpoints_full)
			fault = rng.Below(2) ? 0 : 9;
		if (fault < 6) {
			FakeSend(fd,
				 HttpAnswer(503, "", head + "Not-Run: 1\r\n"));
			return true;
		}
		record.AddRun(id);
		if (fault < 10) {
			FakeReset(fd);
			return false;
		}
		if (fault < 14) {
			FakeSend(fd, HttpAnswer(500, "failed", head + stamp));
			return true;
		}
		if (fault < 18)
			usleep(300000);
		if (stream)
			return ServeStream(fd, r, head + stamp, fault);
		if (fault < 21) {
			std::string cut =
				HttpAnswer(200, AnswerBody(id), head + stamp);

			FakeSend(fd, cut.substr(0, cut.size() - 50));
			return false;
		}
		FakeSend(fd, HttpAnswer(200, AnswerBody(id), head + stamp));
		if (fault < 24)
			FakeSend(fd, HttpAnswer(200, "stray",
						"Attempt-Id: 0\r\n" + stamp));
		return true;
	}
	bool ServeStream(int fd, const FakeRequest &r, const std::string &head,
			 unsigned fault)
	{
		std::string id = r.Header("Attempt-Id");
		int from = atoi(r.Header("Last-Event-Id").c_str());

		FakeSend(fd, "HTTP/1.1 200 OK\r\n" + head +
				     "Transfer-Encoding: chunked\r\n\r\n");
		for (int k = from + 1; k <= EVENTS_PER_STREAM; k++) {
			std::string e = RequestEvent(k, id);

			if (fault < 30 && k == 4) {
				FakeSend(fd, Chunk(e.substr(0, 9)));
				usleep(20000);
				FakeReset(fd);
				return false;
			}
			FakeSend(fd, Chunk(e));
			usleep(10000);
		}
		FakeSend(fd, "0\r\n\r\n");
		return true;
	}

	/* One caller; reuses its connection while that is allowed. */
	void RunCaller()
	{
		int fd = -1;

		while (!stopping) {
			const char *kinds[] = { "s", "u", "t", "r" };
			std::string kind = kinds[rng.Below(4)];
			std::string id = std::to_string(100000 + id_counter++);
			bool keep_open;

			if (fd < 0) {
				auto &g = gateways[rng.Below(N_GATEWAYS)];

				fd = FakeDial(g.ip.c_str(), g.port);
			}
			if (fd < 0) {
				usleep(50000);
				continue;
			}
			keep_open = SendRequest(fd, kind, id);
			if (!keep_open || rng.Below(4) == 0) {
				close(fd);
				fd = -1;
			}
			usleep(5000 + rng.Below(20000));
		}
		if (fd >= 0)
			close(fd);
	}
	/* Sends one request and checks its answer; true: the connection may
	 * carry another. */
	bool SendRequest(int fd, const std::string &kind, const std::string &id)
	{
		std::string got, part;
		size_t end;

		{
			std::lock_guard<std::mutex> g(record.mu);

			record.requests++;
			if (kind == "u" || kind == "t")
				record.at_most_once.insert(id);
		}
		FakeSend(fd, "POST /" + kind +
				     "/x HTTP/1.1\r\nHost: h\r\n"
				     "Attempt-Id: " +
				     id +
				     "\r\nDeadline-Ms: 6000\r\n"
				     "Content-Length: " +
				     std::to_string(id.size() + 2) +
				     "\r\n\r\nb-" + id);
		while ((end = got.find("\r\n\r\n")) == std::string::npos) {
			part = ReceiveSome(fd, id);
			if (part.empty())
				return OnClosedEarly(id, got);
			got += part;
		}
		return ReceiveAnswer(fd, kind, id, got.substr(0, end + 4),
				     got.substr(end + 4));
	}
	/* Requests have 6 s to the deadline; the socket times out after 20. */
	std::string ReceiveSome(int fd, const std::string &id)
	{
		char buf[8192];
		ssize_t n = recv(fd, buf, sizeof(buf), 0);

		if (n < 0 && errno == EAGAIN)
			record.AddViolation("no answer: " + id);
		return n > 0 ? std::string(buf, static_cast<size_t>(n)) : "";
	}
	/* The connection was closed early. Without faults, only requests that
	 * no endpoint received may end so. */
	bool OnClosedEarly(const std::string &id, const std::string &got)
	{
		if (!faulty && !stopping &&
		    (!got.empty() || record.RunCount(id)))
			record.AddViolation("answer cut by a shutdown: " + id +
					    " " + got);
		std::lock_guard<std::mutex> g(record.mu);
		record.broken++;
		return false;
	}
	bool ReceiveAnswer(int fd, const std::string &kind,
			   const std::string &id, const std::string &head,
			   std::string body)
	{
		FakeRequest h; /* to parse the headers */
		int status = atoi(head.c_str() + 9);
		bool chunked;
		size_t length;

		h.head = head;
		chunked = !h.Header("Transfer-Encoding").empty();
		length = strtoul(h.Header("Content-Length").c_str(), nullptr,
				 10);
		while (chunked ? body.find("0\r\n\r\n") == std::string::npos
			       : body.size() < length) {
			std::string part = ReceiveSome(fd, id);

			if (part.empty())
				return OnClosedEarly(id, head + body);
			body += part;
		}
		CheckAnswer(kind, id, status, h, body);
		return h.Header("Connection") != "close";
	}
	void CheckAnswer(const std::string &kind, const std::string &id,
			 int status, const FakeRequest &head,
			 const std::string &body)
	{
		std::string stamp = head.Header("Response-Stamp");
		bool complete = body == AnswerBody(id);

		if (kind == "t" || kind == "r") {
			std::string all;

			for (int k = 1; k <= EVENTS_PER_STREAM; k++)
				all += RequestEvent(k, id);
			complete = Dechunk(body) == all;
		}
		if (status == 200 && (!complete || stamp != "s." + id))
			record.AddViolation(
				"incomplete or wrong answer: " + kind + " " +
				id + " " + head.head + body);
		if (status == 400 || status == 404)
			record.AddViolation("rejected: " + id);
		std::lock_guard<std::mutex> g(record.mu);
		record.served += status == 200;
		if (status == 503 || status == 429 || status == 421 ||
		    status == 408)
			record.refused.insert(id);
	}
	/* The data of a chunked body. */
	static std::string Dechunk(const std::string &body)
	{
		std::string all;
		size_t at = 0;

		for (;;) {
			size_t n = strtoul(body.c_str() + at, nullptr, 16);
			size_t line = body.find("\r\n", at);

			if (!n || line == std::string::npos)
				return all;
			all += body.substr(line + 2, n);
			at = line + 2 + n + 2;
		}
	}

	/* The faults that InjectFault() draws from. */
	void RestartGateway(int i)
	{
		gateways[i].process.Signal(SIGTERM);
		EXPECT_EQ(gateways[i].process.Wait(), 0);
		StartGateway(i);
	}
	void PauseGateway(int i)
	{
		gateways[i].process.Signal(SIGSTOP);
		usleep(100000 + rng.Below(1200000));
		gateways[i].process.Signal(SIGCONT);
	}
	void KillGateway(int i)
	{
		gateways[i].process.Signal(SIGKILL);
		gateways[i].process.Wait();
		usleep(rng.Below(300000));
		StartGateway(i);
	}
	void FaultStore(FakeStore::StoreFault f)
	{
		store.SetFault(f);
		usleep(100000 + rng.Below(1200000));
		store.SetFault(FakeStore::NO_FAULT);
	}
	void InjectFault()
	{
		int i = static_cast<int>(rng.Below(N_GATEWAYS));
		int e = static_cast<int>(rng.Below(N_ENDPOINTS));

		switch (rng.Below(10)) {
		case 0:
			return RestartGateway(i);
		case 1:
			return PauseGateway(i);
		case 2:
			return KillGateway(i);
		case 3:
			return gateways[i].process.Signal(SIGHUP);
		case 4:
			return FaultStore(FakeStore::UNAVAILABLE);
		case 5:
			return FaultStore(FakeStore::REQUEST_LOST);
		case 6:
			return FaultStore(rng.Below(2)
						  ? FakeStore::ANSWER_LOST
						  : FakeStore::HISTORY_TRIMMED);
		case 7:
			store.Put("op", "config", ConfigJson(++config_version));
			return;
		case 8:
			PutEndpoint(e, "draining");
			usleep(rng.Below(400000));
			return PutEndpoint(e, "ready");
		case 9:
			endpoints_full = true;
			usleep(200000 + rng.Below(800000));
			endpoints_full = false;
		}
	}
	template <typename F> void Repeat(unsigned span, F step)
	{
		auto end = std::chrono::steady_clock::now() +
			   std::chrono::seconds(span);

		while (std::chrono::steady_clock::now() < end) {
			step();
			usleep(50000 + rng.Below(300000));
		}
	}
	void WaitUntilReady()
	{
		for (auto &g : gateways) {
			std::string got;

			for (int k = 0; k < 400; k++) {
				got = FakeGet(g.ip.c_str(), g.ready, "/ready");
				if (got.find(" 200 ") != std::string::npos)
					break;
				usleep(50000);
			}
			EXPECT_NE(got.find(" 200 "), std::string::npos);
		}
	}
};

TEST_F(Soak, AnswersAreCompleteAndNothingUnsafeRunsTwice)
{
	size_t before;

	WaitUntilReady();
	for (int i = 0; i < N_CALLERS; i++)
		callers.emplace_back([this] { RunCaller(); });
	/* Restarts and reloads alone must break no connection. */
	Repeat((seconds + 2) / 3, [this] {
		int i = static_cast<int>(rng.Below(N_GATEWAYS));

		if (rng.Below(3))
			RestartGateway(i);
		else
			gateways[i].process.Signal(SIGHUP);
	});
	faulty = true;
	Repeat(seconds, [this] { InjectFault(); });
	WaitUntilReady();
	before = record.ServedCount();
	for (int k = 0; k < 400 && record.ServedCount() < before + 20; k++)
		usleep(50000);
	stopping = true;
	for (std::thread &t : callers)
		t.join();
	callers.clear();
	for (auto &g : gateways) {
		g.process.Signal(SIGTERM);
		g.process.Wait();
	}
	for (const std::string &id : record.at_most_once) {
		if (record.runs[id] > 1)
			record.violations.push_back("ran twice: " + id);
	}
	for (const std::string &id : record.refused) {
		if (record.runs[id])
			record.violations.push_back("refused but ran: " + id);
	}
	EXPECT_GE(record.served, before + 20);
	EXPECT_EQ(record.violations, std::vector<std::string>()) << seed;
	printf("soak: seed=%u requests=%zu served=%zu refused=%zu broken=%zu "
	       "violations=%zu\n",
	       seed, record.requests, record.served, record.refused.size(),
	       record.broken, record.violations.size());
}

} // namespace
