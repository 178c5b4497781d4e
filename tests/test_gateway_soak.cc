// Gateways as processes under random faults, with callers that check every
// answer and endpoints that note what ran. PF_SOAK_SEED and PF_SOAK_SECONDS
// choose the faults and how long they last.
#include "tests/gateway_box.h"

#include <gtest/gtest.h>
#include <sys/socket.h>

#include <random>
#include <set>

namespace
{

const int GATEWAYS = 2;
const int ENDPOINTS = 4;
const int CALLERS = 6;
const int EVENTS = 8;

unsigned Env(const char *name, unsigned otherwise)
{
	const char *v = getenv(name);

	return v ? static_cast<unsigned>(strtoul(v, nullptr, 10)) : otherwise;
}

/* Random numbers that several threads draw. */
class Dice
{
      public:
	explicit Dice(unsigned seed) : rng_(seed)
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

/* What ran, what was answered, and what must not have been. */
struct Record {
	std::mutex mu;
	std::map<std::string, int> runs;
	std::set<std::string> once; /* may run only once */
	std::set<std::string> refused; /* stated not to have run */
	std::vector<std::string> violations;
	size_t requests = 0, served = 0, broken = 0;

	void Ran(const std::string &id)
	{
		std::lock_guard<std::mutex> g(mu);

		runs[id]++;
	}
	int Runs(const std::string &id)
	{
		std::lock_guard<std::mutex> g(mu);

		return runs.count(id) ? runs[id] : 0;
	}
	size_t Served()
	{
		std::lock_guard<std::mutex> g(mu);

		return served;
	}
	void Violation(const std::string &what)
	{
		std::lock_guard<std::mutex> g(mu);

		violations.push_back(what);
	}
};

std::string Body(const std::string &id)
{
	return "mine " + id + " " + std::string(200, 'x') + " end";
}

std::string SoakEvent(int k, const std::string &id)
{
	return "id: " + std::to_string(k) + "\ndata: e" + std::to_string(k) +
	       " " + id + "\n\n";
}

struct Soak : ::testing::Test {
	unsigned seed = Env("PF_SOAK_SEED", 1);
	unsigned seconds = Env("PF_SOAK_SECONDS", 4);
	Dice dice{ seed };
	Record record;
	Store store;
	std::atomic<bool> faulty{ false };
	std::atomic<bool> full{ false }; /* endpoints serve nothing */
	std::atomic<bool> stop{ false };
	std::atomic<unsigned> serial{ 0 };
	std::vector<std::unique_ptr<FakeServer>> endpoints;
	std::vector<std::thread> callers;
	int config = 1;
	struct {
		Process process;
		std::string ip;
		int port, ready, talk;
	} gateways[GATEWAYS];

	void SetUp() override
	{
		store.Put("op", "config", Config(config));
		for (int i = 0; i < ENDPOINTS; i++) {
			endpoints.push_back(std::make_unique<FakeServer>(
				"127.0.0.1",
				[this](int fd, const FakeRequest &r) {
					return Serve(fd, r);
				}));
			List(i, "ready");
		}
		for (int i = 0; i < GATEWAYS; i++) {
			gateways[i].ip = "127.0.0." + std::to_string(i + 2);
			gateways[i].port = FreePort();
			gateways[i].ready = FreePort();
			/* All gateways and loaders listen at one port. */
			gateways[i].talk = i ? gateways[0].talk : FreePort();
			Start(i);
		}
	}
	void TearDown() override
	{
		stop = true;
		for (std::thread &t : callers)
			t.join();
	}
	void Start(int i)
	{
		gateways[i].process.Start(
			"pimento-gateway",
			Settings(store.addr(), gateways[i].ip, gateways[i].port,
				 gateways[i].ready, gateways[i].talk));
	}
	void List(int i, const char *state)
	{
		store.Put("servers", "i-" + std::to_string(i),
			  Entry("app", endpoints[i]->addr(), state));
	}

	/* An endpoint; false: the connection ends. */
	bool Serve(int fd, const FakeRequest &r)
	{
		std::string id = r.Header("Attempt-Id");
		std::string head = "Attempt-Id: " + id + "\r\n";
		std::string stamp = "Response-Stamp: s." + id + "\r\n";
		unsigned fault = faulty ? dice.Below(100) : 99;
		bool stream = r.target[1] == 't' || r.target[1] == 'r';

		if (r.method != "POST" || r.body != "b-" + id)
			record.Violation("changed: " + r.target + " " + r.body);
		/* What ran once and is then turned away was not "not run". */
		if (full)
			fault = dice.Below(2) ? 0 : 9;
		if (fault < 6) {
			FakeSend(fd, Answer(503, "", head + "Not-Run: 1\r\n"));
			return true;
		}
		record.Ran(id);
		if (fault < 10) {
			FakeReset(fd);
			return false;
		}
		if (fault < 14) {
			FakeSend(fd, Answer(500, "failed", head + stamp));
			return true;
		}
		if (fault < 18)
			usleep(300000);
		if (stream)
			return Stream(fd, r, head + stamp, fault);
		if (fault < 21) {
			std::string cut = Answer(200, Body(id), head + stamp);

			FakeSend(fd, cut.substr(0, cut.size() - 50));
			return false;
		}
		FakeSend(fd, Answer(200, Body(id), head + stamp));
		if (fault < 24)
			FakeSend(fd, Answer(200, "stray",
					    "Attempt-Id: 0\r\n" + stamp));
		return true;
	}
	bool Stream(int fd, const FakeRequest &r, const std::string &head,
		    unsigned fault)
	{
		std::string id = r.Header("Attempt-Id");
		int from = atoi(r.Header("Last-Event-Id").c_str());

		FakeSend(fd, "HTTP/1.1 200 OK\r\n" + head +
				     "Transfer-Encoding: chunked\r\n\r\n");
		for (int k = from + 1; k <= EVENTS; k++) {
			std::string e = SoakEvent(k, id);

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

	/* One caller, on connections that it keeps while it may. */
	void Call()
	{
		int fd = -1;

		while (!stop) {
			const char *kinds[] = { "s", "u", "t", "r" };
			std::string kind = kinds[dice.Below(4)];
			std::string id = std::to_string(100000 + serial++);
			bool keeps;

			if (fd < 0) {
				auto &g = gateways[dice.Below(GATEWAYS)];

				fd = FakeDial(g.ip.c_str(), g.port);
			}
			if (fd < 0) {
				usleep(50000);
				continue;
			}
			keeps = One(fd, kind, id);
			if (!keeps || dice.Below(4) == 0) {
				close(fd);
				fd = -1;
			}
			usleep(5000 + dice.Below(20000));
		}
		if (fd >= 0)
			close(fd);
	}
	/* Sends one request and judges its answer; true: the connection may
	 * serve another. */
	bool One(int fd, const std::string &kind, const std::string &id)
	{
		std::string got, part;
		size_t end;

		{
			std::lock_guard<std::mutex> g(record.mu);

			record.requests++;
			if (kind == "u" || kind == "t")
				record.once.insert(id);
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
			part = Some(fd, id);
			if (part.empty())
				return Broken(id, got);
			got += part;
		}
		return Rest(fd, kind, id, got.substr(0, end + 4),
			    got.substr(end + 4));
	}
	/* A request has 6 s; the connection waits 20. */
	std::string Some(int fd, const std::string &id)
	{
		char buf[8192];
		ssize_t n = recv(fd, buf, sizeof(buf), 0);

		if (n < 0 && errno == EAGAIN)
			record.Violation("no answer: " + id);
		return n > 0 ? std::string(buf, static_cast<size_t>(n)) : "";
	}
	/* The connection ended early: never while only stops are going on, but
	 * for a request that was not passed on. */
	bool Broken(const std::string &id, const std::string &got)
	{
		if (!faulty && !stop && (!got.empty() || record.Runs(id)))
			record.Violation("cut by a stop: " + id + " " + got);
		std::lock_guard<std::mutex> g(record.mu);
		record.broken++;
		return false;
	}
	bool Rest(int fd, const std::string &kind, const std::string &id,
		  const std::string &head, std::string body)
	{
		FakeRequest h; /* for its headers */
		int status = atoi(head.c_str() + 9);
		bool chunked;
		size_t length;

		h.head = head;
		chunked = !h.Header("Transfer-Encoding").empty();
		length = strtoul(h.Header("Content-Length").c_str(), nullptr,
				 10);
		while (chunked ? body.find("0\r\n\r\n") == std::string::npos
			       : body.size() < length) {
			std::string part = Some(fd, id);

			if (part.empty())
				return Broken(id, head + body);
			body += part;
		}
		Judge(kind, id, status, h, body);
		return h.Header("Connection") != "close";
	}
	void Judge(const std::string &kind, const std::string &id, int status,
		   const FakeRequest &head, const std::string &body)
	{
		std::string stamp = head.Header("Response-Stamp");
		bool whole = body == Body(id);

		if (kind == "t" || kind == "r") {
			std::string all;

			for (int k = 1; k <= EVENTS; k++)
				all += SoakEvent(k, id);
			whole = Joined(body) == all;
		}
		if (status == 200 && (!whole || stamp != "s." + id))
			record.Violation("not its whole answer: " + kind + " " +
					 id + " " + head.head + body);
		if (status == 400 || status == 404)
			record.Violation("denied: " + id);
		std::lock_guard<std::mutex> g(record.mu);
		record.served += status == 200;
		if (status == 503 || status == 429 || status == 421 ||
		    status == 408)
			record.refused.insert(id);
	}
	/* Chunks without their framing. */
	static std::string Joined(const std::string &body)
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

	/* Faults until the time is over. */
	void Replace(int i)
	{
		gateways[i].process.Signal(SIGTERM);
		EXPECT_EQ(gateways[i].process.Wait(), 0);
		Start(i);
	}
	void Pause(int i)
	{
		gateways[i].process.Signal(SIGSTOP);
		usleep(100000 + dice.Below(1200000));
		gateways[i].process.Signal(SIGCONT);
	}
	void Kill(int i)
	{
		gateways[i].process.Signal(SIGKILL);
		gateways[i].process.Wait();
		usleep(dice.Below(300000));
		Start(i);
	}
	void Upset(Store::Fault f)
	{
		store.Set(f);
		usleep(100000 + dice.Below(1200000));
		store.Set(Store::NONE);
	}
	void Inject()
	{
		int i = static_cast<int>(dice.Below(GATEWAYS));
		int e = static_cast<int>(dice.Below(ENDPOINTS));

		switch (dice.Below(10)) {
		case 0:
			return Replace(i);
		case 1:
			return Pause(i);
		case 2:
			return Kill(i);
		case 3:
			return gateways[i].process.Signal(SIGHUP);
		case 4:
			return Upset(Store::BUSY);
		case 5:
			return Upset(Store::MUTE);
		case 6:
			return Upset(dice.Below(2) ? Store::LOST
						   : Store::FORGOT);
		case 7:
			return store.Put("op", "config", Config(++config));
		case 8:
			List(e, "draining");
			usleep(dice.Below(400000));
			return List(e, "ready");
		case 9:
			full = true;
			usleep(200000 + dice.Below(800000));
			full = false;
		}
	}
	template <typename F> void During(unsigned span, F step)
	{
		auto end = std::chrono::steady_clock::now() +
			   std::chrono::seconds(span);

		while (std::chrono::steady_clock::now() < end) {
			step();
			usleep(50000 + dice.Below(300000));
		}
	}
	void AwaitAnswer()
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

TEST_F(Soak, GatewaysKeepWhatTheyPromise)
{
	size_t before;

	AwaitAnswer();
	for (int i = 0; i < CALLERS; i++)
		callers.emplace_back([this] { Call(); });
	/* Planned work alone cuts nothing. */
	During((seconds + 2) / 3, [this] {
		int i = static_cast<int>(dice.Below(GATEWAYS));

		if (dice.Below(3))
			Replace(i);
		else
			gateways[i].process.Signal(SIGHUP);
	});
	faulty = true;
	During(seconds, [this] { Inject(); });
	AwaitAnswer();
	before = record.Served();
	for (int k = 0; k < 400 && record.Served() < before + 20; k++)
		usleep(50000);
	stop = true;
	for (std::thread &t : callers)
		t.join();
	callers.clear();
	for (auto &g : gateways) {
		g.process.Signal(SIGTERM);
		g.process.Wait();
	}
	for (const std::string &id : record.once) {
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
