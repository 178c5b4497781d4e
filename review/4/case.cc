/*
 * A worker's stream goes on without end while its client reads slowly. Sound
 * workers meanwhile run the requests of other clients, whose channels are kept.
 * The platform kills a process whose memory exceeds `memory_mb`.
 */
#include "review/common/stage.h"

static const unsigned CLIENTS = 8;
static const unsigned WORK_MS = 400;
static const unsigned LOST_MAX = 3; /* LOST: "more than three times" */
static const double MEMORY_MB = 260; /* of a front machine, nvs-drift */
static const size_t SLOW_BYTES_PER_S = 256 << 10;
static const int PIECES = 58; /* mean of triage-short, nvs-drift */
static const size_t PIECE_BYTES = 1000;

struct Stage {
	Record record;
	FakeStore store;
	Gateway gateway;
	std::atomic<bool> stop{ false };
	std::atomic<unsigned> ids{ 1 };
	std::atomic<unsigned> answered{ 0 }, lost{ 0 };
	std::atomic<size_t> sent{ 0 }, read{ 0 };
};

static bool ServeSound(Stage &s, int fd, const FakeRequest &r)
{
	std::string id = r.Header(HDR_REQUEST_ID);

	s.record.Line("sound worker runs %s", id.c_str());
	SleepMs(WORK_MS);
	return FakeSend(fd,
			HttpAnswer(200, "history of " + id,
				   Field(HDR_REQUEST_ID, id) +
					   "Response-Stamp: s." + id + "\r\n"));
}

/* Sends the pieces of a stream; in trouble, bytes without end behind them, until
 * the caller closes. */
static bool ServeStream(Stage &s, int fd, const FakeRequest &r)
{
	std::string id = r.Header(HDR_REQUEST_ID);
	std::string bytes(65535, 'x');

	s.record.Line("stream worker runs %s", id.c_str());
	FakeSend(fd, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" +
			     Field(HDR_REQUEST_ID, id) + "Response-Stamp: t." +
			     id + "\r\nTransfer-Encoding: chunked\r\n\r\n");
	for (int k = 1; k <= PIECES; k++) {
		FakeSend(fd, Chunk("id: " + std::to_string(k) + "\ndata: " +
				   std::string(PIECE_BYTES, 'p') + "\n\n"));
		SleepMs(10);
	}
	if (!TroubleIsOn())
		return FakeSend(fd, "0\r\n\r\n");
	s.record.Line("stream worker: bytes without end begin");
	bytes[1000] = '\n';
	bytes[1001] = '\n';
	bytes[65533] = '\n';
	bytes[65534] = '\n';
	bytes = Chunk(bytes);
	while (!s.stop && FakeSend(fd, bytes))
		s.sent += bytes.size();
	s.record.Line("stream worker: its caller has closed");
	return false;
}

static void RunClient(Stage &s)
{
	int fd = FakeDial(s.gateway.ip.c_str(), s.gateway.port, 10);
	unsigned n = 0;

	while (fd >= 0 && !s.stop) {
		std::string id = AttemptId(s.ids++);
		bool complete;

		if (!FakeSend(fd, "GET /history/1 HTTP/1.1\r\n"
				  "Host: h.example\r\nAttempt-Id: " +
					  id + "\r\nDeadline-Ms: 4000\r\n\r\n"))
			break;
		std::string got = ReceiveAnswer(fd, &complete);

		if (!complete) {
			s.record.Line("client: %s on a kept channel (request "
				      "%u of it): channel closed, no answer",
				      id.c_str(), n + 1);
			if (n > 0)
				s.lost++;
			break;
		}
		s.record.Line("client: %s answered %d", id.c_str(),
			      StatusOf(got));
		s.answered++;
		n++;
	}
	if (fd >= 0)
		close(fd);
}

/* Reads its stream slowly, but all the while. */
static void RunSlowClient(Stage &s)
{
	std::string id = AttemptId(s.ids++);
	int fd = FakeDial(s.gateway.ip.c_str(), s.gateway.port, 10);
	std::vector<char> buf(SLOW_BYTES_PER_S / 20);
	std::string end;
	ssize_t n;

	s.record.Line("slow client: sends stream %s", id.c_str());
	FakeSend(fd, "POST /chat/1 HTTP/1.1\r\nHost: h.example\r\n" +
			     Field(HDR_REQUEST_ID, id) +
			     Field(HDR_TIME_LEFT, "15000") +
			     "Content-Length: 2\r\n"
			     "\r\n{}");
	while (!s.stop && (n = recv(fd, buf.data(), buf.size(), 0)) > 0) {
		s.read += (size_t)n;
		end = (end + std::string(buf.data(), (size_t)n));
		if (end.size() > 5)
			end.erase(0, end.size() - 5);
		if (end == "0\r\n\r\n")
			break;
		SleepMs(50);
	}
	s.record.Line("slow client: stream %s, %zu bytes, %s", id.c_str(),
		      s.read.load(),
		      end == "0\r\n\r\n" ? "complete" : "not complete");
	close(fd);
}

/* The platform: kills the process when it exceeds `memory_mb`. Returns the peak
 * after @ms. */
static double WatchMemory(Stage &s, unsigned ms)
{
	auto until = Clock::now() + std::chrono::milliseconds(ms);
	auto told = Clock::now();
	double peak = 0;

	while (Clock::now() < until && !s.gateway.HasEnded()) {
		double mb = s.gateway.MemoryMb();

		peak = mb > peak ? mb : peak;
		if (mb > MEMORY_MB) {
			s.record.Line("platform: the gateway uses %.0f MB of "
				      "%.0f: killed",
				      mb, MEMORY_MB);
			s.gateway.Signal(SIGKILL);
			SleepMs(500);
			break;
		}
		if (Clock::now() - told > std::chrono::milliseconds(500)) {
			told = Clock::now();
			s.record.Line("gateway: %.0f MB; worker sent %zu KB, "
				      "slow client read %zu KB",
				      mb, s.sent.load() >> 10,
				      s.read.load() >> 10);
		}
		SleepMs(2);
	}
	return peak;
}

static int Play(Stage &s)
{
	FakeServer sound("127.0.0.1", [&](int fd, const FakeRequest &r) {
		return ServeSound(s, fd, r);
	});
	FakeServer streams("127.0.0.1", [&](int fd, const FakeRequest &r) {
		return ServeStream(s, fd, r);
	});
	std::vector<std::thread> clients;

	s.store.Put(
		"op", "config",
		ConfigOf(1,
			 { { "/history/", "safe", "history" },
			   { "/chat/", "stream", "chat", false, 15000, 1500 } },
			 { "history", "chat" }));
	s.store.Put("servers", "i-history", WorkerRow("history", sound.addr()));
	s.store.Put("servers", "i-chat", WorkerRow("chat", streams.addr()));
	s.gateway.Start("front-a-1", s.store.addr(), FreePort());
	if (!s.gateway.BecomesReady())
		return 2;
	s.record.Line("gateway ready");
	for (unsigned i = 0; i < CLIENTS; i++) {
		clients.emplace_back([&] { RunClient(s); });
		SleepMs(WORK_MS / CLIENTS);
	}
	SleepMs(STABLE_MS + 1000); /* the machine is in touch */
	if (s.answered < CLIENTS || s.lost > 0)
		return 2;
	clients.emplace_back([&] { RunSlowClient(s); });
	double peak = WatchMemory(s, 18000);

	s.stop = true;
	for (std::thread &t : clients)
		t.join();
	s.record.Line("gateway: peak %.0f MB; %u answered, %u closed on kept "
		      "channels without an answer (at most %u allowed)",
		      peak, s.answered.load(), s.lost.load(), LOST_MAX);
	return s.lost > LOST_MAX;
}

int main()
{
	auto s = std::make_unique<Stage>();
	int result = Play(*s);

	s->record.Line("result %d", result);
	return result;
}
