/*
 * One part of a prompt crashes each worker that begins an answer on it. The
 * prompts have 16 parts; that part is the 14th.
 */
#include "review/common/stage.h"

#include <random>

static const unsigned WORKERS = 6;
static const unsigned CLIENTS = 12;
static const unsigned PARTS = 16;
static const unsigned BAD_AT = 14;
static const unsigned BAD_EVERY_MS = 500;
static const unsigned DOWN_MS = 2000; /* "back after some seconds" */
static const unsigned PLAY_MS = 40000;
static const int EVENTS = 10;
static const unsigned GAP_MS = 20;
static const unsigned CRASHES = 5; /* BUDGET: "after the fifth crash" */
static const unsigned REACH_MAX = 3; /* BUDGET: "more than three requests" */

struct Worker {
	std::string id;
	int64_t born = 1796000000000;
	std::atomic<bool> crashing{ false };
	std::unique_ptr<Server> server;
};

struct Stage {
	Record record;
	FakeStore store;
	Gateway gateway;
	std::vector<std::unique_ptr<Worker>> workers;
	std::mutex mu;
	unsigned crashes = 0, late = 0, refused_bad = 0;
	Clock::time_point fifth;
	std::vector<std::thread> restarts;
	std::atomic<bool> stop{ false };
	std::atomic<unsigned> ids{ 1 };
	std::atomic<unsigned> sound{ 0 }, sound_complete{ 0 }, bad_sent{ 0 };
};

/* Its place; BAD_AT=3 shows that the gateway finds it there. */
static unsigned BadAt()
{
	const char *at = getenv("BAD_AT");

	return at ? (unsigned)atoi(at) : BAD_AT;
}

static void WriteEntry(Stage &s, const Worker &w)
{
	s.store.Put(
		"servers", w.id,
		"{\"service\":\"chat\",\"address\":\"" + w.server->addr() +
			"\",\"zone\":\"za\",\"version\":\"v1\",\"slots\":64,"
			"\"state\":\"ready\",\"cold_left_ms\":0,\"born\":" +
			std::to_string(w.born) + ",\"models\":[],\"seq\":1}");
}

/* Ends all that the worker runs; it is back after some seconds. */
static void Crash(Stage &s, Worker &w)
{
	std::lock_guard<std::mutex> g(s.mu);

	if (w.crashing.exchange(true))
		return;
	s.crashes++;
	if (s.crashes == CRASHES)
		s.fifth = Clock::now();
	s.restarts.emplace_back([&s, &w] {
		w.server->Crash();
		SleepMs(DOWN_MS);
		if (s.stop)
			return;
		w.born += 1000;
		w.server->Start();
		w.crashing = false;
		WriteEntry(s, w);
	});
}

static void NoteBad(Stage &s, const Worker &w, const std::string &id)
{
	std::lock_guard<std::mutex> g(s.mu);
	double ms = s.crashes < CRASHES
			    ? 0
			    : std::chrono::duration<double, std::milli>(
				      Clock::now() - s.fifth)
				      .count();
	bool late = ms > STABLE_MS;

	s.late += late;
	s.record.Line("worker %s: %s holds the part that crashes it%s",
		      w.id.c_str(), id.c_str(),
		      late ? ", later than stable_ms after the fifth crash"
			   : "");
}

static bool Serve(Stage &s, Worker &w, int fd, const FakeRequest &r)
{
	std::string id = r.Header(HDR_REQUEST_ID);
	bool bad = r.Header(HDR_PROMPT_PARTS).find(",bad0bad:") !=
		   std::string::npos;

	if (bad)
		NoteBad(s, w, id);
	FakeSend(fd, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" +
			     Field(HDR_REQUEST_ID, id) + "Response-Stamp: s." +
			     id + "\r\nTransfer-Encoding: chunked\r\n\r\n");
	for (int k = 1; k <= EVENTS; k++) {
		SleepMs(GAP_MS);
		if (w.server->IsDown() || w.crashing)
			return false;
		if (bad) {
			Crash(s, w);
			while (!w.server->IsDown() && !s.stop)
				SleepMs(1);
			return false;
		}
		if (!FakeSend(fd, Chunk("id: " + std::to_string(k) +
					"\ndata: x\n\n")))
			return false;
	}
	return FakeSend(fd, "0\r\n\r\n");
}

/* A prompt whose parts come from a few for each place; the last is its own. */
static std::string Prompt(std::mt19937 &rng, const std::string &id, bool bad)
{
	std::string parts;

	for (unsigned i = 1; i < PARTS; i++) {
		char name[24];

		snprintf(name, sizeof(name), "%x%02x", 0xa00 + i,
			 (unsigned)(rng() % 8));
		parts += (bad && i == BadAt() ? std::string("bad0bad")
					      : std::string(name)) +
			 ":40,";
	}
	return parts + id + ":40";
}

/* Returns the status; 0: no whole answer. */
static int SendStream(Stage &s, std::mt19937 &rng, bool bad)
{
	std::string id = AttemptId(s.ids++);
	int fd = FakeDial(s.gateway.ip.c_str(), s.gateway.port, 10);

	FakeSend(fd, "POST /chat/" + id +
			     " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: " +
			     id + "\r\nPrompt-Prefix: " + Prompt(rng, id, bad) +
			     "\r\nDeadline-Ms: 4000\r\nConnection: close\r\n"
			     "Content-Length: 2\r\n\r\n{}");
	std::string got = FakeReceive(fd);

	close(fd);
	if (StatusOf(got) == 200 &&
	    got.find("\r\n0\r\n\r\n") == std::string::npos)
		return 0;
	return StatusOf(got);
}

static void RunClient(Stage &s, unsigned n)
{
	std::mt19937 rng(n);

	while (!s.stop) {
		int status = SendStream(s, rng, false);

		s.sound++;
		s.sound_complete += status == 200;
		SleepMs(50 + rng() % 100);
	}
}

static void RunBadClient(Stage &s)
{
	std::mt19937 rng(77);

	while (!s.stop) {
		int status = SendStream(s, rng, true);

		s.bad_sent++;
		{
			std::lock_guard<std::mutex> g(s.mu);

			s.refused_bad += status == 503;
		}
		SleepMs(BAD_EVERY_MS);
	}
}

static int Play(Stage &s)
{
	std::vector<std::thread> clients;

	s.store.Put("op", "config",
		    ConfigOf(1,
			     { { "/chat/", "stream", "chat", false, 5000, 1500,
				 1 } },
			     { "chat" }));
	for (unsigned i = 0; i < WORKERS; i++) {
		auto w = std::make_unique<Worker>();
		Worker *p = w.get();

		w->id = "i-" + std::to_string(i);
		w->server = std::make_unique<Server>(
			[&s, p](int fd, const FakeRequest &r) {
				return Serve(s, *p, fd, r);
			});
		s.workers.push_back(std::move(w));
		WriteEntry(s, *p);
	}
	s.gateway.Start("front-a-1", s.store.addr(), FreePort());
	if (!s.gateway.BecomesReady())
		return 2;
	s.record.Line("gateway ready");
	for (unsigned i = 0; i < CLIENTS; i++)
		clients.emplace_back([&s, i] { RunClient(s, i + 1); });
	SleepMs(STABLE_MS + 4000);
	s.record.Line("sound requests so far: %u of %u complete",
		      s.sound_complete.load(), s.sound.load());
	if (TroubleIsOn())
		clients.emplace_back([&s] { RunBadClient(s); });
	SleepMs(PLAY_MS);
	s.stop = true;
	for (std::thread &t : clients)
		t.join();
	for (std::thread &t : s.restarts)
		t.join();
	s.record.Line("%u requests with the part sent, %u refused; %u crashes; "
		      "%u reached workers later than stable_ms after the fifth "
		      "crash (at most %u allowed)",
		      s.bad_sent.load(), s.refused_bad, s.crashes, s.late,
		      REACH_MAX);
	s.record.Line("sound requests: %u of %u complete",
		      s.sound_complete.load(), s.sound.load());
	return s.late > REACH_MAX;
}

int main()
{
	auto s = std::make_unique<Stage>();
	int result = Play(*s);

	s->record.Line("result %d", result);
	return result;
}
