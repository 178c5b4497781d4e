/*
 * Stand-ins for the scripts of this review: the programs' processes, callers,
 * the record. The store itself is the project's
 * own stand-in, tests/fake_store.h.
 */
#ifndef REVIEW_STAND_2_STAND_H
#define REVIEW_STAND_2_STAND_H

#include "platform/names.h"
#include "tests/fake_store.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <random>

/* What run.sh returns. */
enum { HELD = 0, BROKEN = 1, NOT_RUN = 2 };

/* Bounds of the sheet of nvs-drift. */
static const double STABLE_S = 4.0;
static const double DRAIN_S = 2.5;
static const double CONFIG_S = 2.5;
static const long MEMORY_MB = 260;

/* Seconds since the first call. */
inline double Now()
{
	using Clock = std::chrono::steady_clock;
	static const Clock::time_point start = Clock::now();

	return std::chrono::duration<double>(Clock::now() - start).count();
}

inline void SleepMs(unsigned ms)
{
	std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

inline void SleepUntil(double at)
{
	double left = at - Now();

	if (left > 0)
		std::this_thread::sleep_for(
			std::chrono::duration<double>(left));
}

/* Whether the case runs with its disruption. */
inline bool Trouble()
{
	const char *v = getenv("TROUBLE");

	return !v || strcmp(v, "0") != 0;
}

/* Writes a line with the time to record.txt. */
__attribute__((format(printf, 1, 2))) inline void Note(const char *format, ...)
{
	static std::mutex mu;
	static FILE *out = fopen(getenv("RECORD"), "w");
	std::lock_guard<std::mutex> g(mu);
	va_list args;

	if (!out)
		return;
	fprintf(out, "%8.3f ", Now());
	va_start(args, format);
	vfprintf(out, format, args);
	va_end(args);
	fputc('\n', out);
	fflush(out);
}

/* The last line of the record; also printed. */
inline int Finish(int result, const std::string &text)
{
	static const char *const words[] = { "held", "broken", "not run" };

	Note("%s: %s", words[result], text.c_str());
	printf("%s: %s\n", words[result], text.c_str());
	fflush(stdout);
	return result;
}

/* Whether nothing has the port at @ip, for TCP and UDP. */
inline bool IsFree(const std::string &ip, int port)
{
	struct sockaddr_in sin = {};
	int tcp = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int udp = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
	bool free;

	sin.sin_family = AF_INET;
	sin.sin_port = htons((uint16_t)port);
	inet_pton(AF_INET, ip.c_str(), &sin.sin_addr);
	free = bind(tcp, (struct sockaddr *)&sin, sizeof(sin)) == 0 &&
	       bind(udp, (struct sockaddr *)&sin, sizeof(sin)) == 0;
	close(tcp);
	close(udp);
	return free;
}

/* A port that is free at all loopback addresses that the cases use. It is below
 * the ports that the kernel gives to connections. */
inline int FreePort()
{
	static std::mt19937 rng(std::random_device{}());

	for (;;) {
		int port = 20000 + (int)(rng() % 12000);
		bool free = true;

		for (int i = 1; i <= 40 && free; i++)
			free = IsFree("127.0.0." + std::to_string(i), port);
		if (free)
			return port;
	}
}

/* Starts a program of the deploy file; its log stands beside the settings. */
inline pid_t StartProgram(const char *program, const std::string &settings)
{
	std::string log = settings + ".log";
	pid_t pid = fork();

	if (pid == 0) {
		int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);

		/* It doesn't outlive the script. */
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		dup2(fd, 1);
		dup2(fd, 2);
		setenv("PIMENTOFORD_BOOT", settings.c_str(), 1);
		execl(program, program, "--settings-env", "PIMENTOFORD_BOOT",
		      (char *)nullptr);
		_exit(127);
	}
	return pid;
}

/* The loader beside the engine at @engine, of which it has the IP address. */
class Loader
{
      public:
	Loader(const std::string &name, const std::string &store,
	       const std::string &engine, int datagrams)
	{
		std::string file =
			std::string(getenv("WORK")) + "/" + name + ".toml";

		std::ofstream(file) << "name = \"" << name << "\"\n"
				    << "zone = \"za\"\nregion = \"east\"\n"
				    << "platform = \"" << store << "\"\n"
				    << "datagrams = \""
				    << engine.substr(0, engine.find(':') + 1)
				    << datagrams << "\"\n"
				    << "backend = \"" << engine << "\"\n";
		pid_ = StartProgram("target/pimento-loader", file);
		Note("%s started, pid %d", name.c_str(), (int)pid_);
	}
	~Loader()
	{
		kill(pid_, SIGKILL);
		waitpid(pid_, nullptr, 0);
	}

      private:
	pid_t pid_;
};

/* A gateway as the deploy file starts it. */
class Gateway
{
      public:
	/* @datagrams: the port for them, the same at all gateways. */
	Gateway(int number, const std::string &store, int datagrams)
	{
		ip_ = "127.0.0." + std::to_string(10 + number);
		name_ = "front-a-" + std::to_string(number);
		port_ = FreePort();
		ready_ = FreePort();
		file_ = std::string(getenv("WORK")) + "/" + name_ + ".toml";
		std::ofstream(file_)
			<< "name = \"" << name_ << "\"\n"
			<< "zone = \"za\"\nregion = \"east\"\n"
			<< "platform = \"" << store << "\"\n"
			<< "listen = \"" << Addr(port_) << "\"\n"
			<< "ready = \"" << Addr(ready_) << "\"\n"
			<< "datagrams = \"" << Addr(datagrams) << "\"\n"
			<< "drain = \"8s\"\ncores = 0.19\n"
			<< "load_window = \"5s\"\nload_over = 1.1\n"
			<< "[core]\nrepeat_ratio = 0.2\nrepeat_slack = 56\n"
			<< "repeat_window = \"10s\"\n"
			<< "[[zones]]\nname = \"za\"\nregion = \"east\"\n";
	}
	~Gateway()
	{
		Kill();
	}
	void Start()
	{
		pid_ = StartProgram("target/pimento-gateway", file_);
		Note("%s started, pid %d", name_.c_str(), (int)pid_);
	}
	void Kill()
	{
		if (pid_ <= 0)
			return;
		kill(pid_, SIGKILL);
		waitpid(pid_, nullptr, 0);
		pid_ = -1;
		Note("%s killed", name_.c_str());
	}
	/* Whether the process has ended by itself. */
	bool Ended()
	{
		if (pid_ > 0 && waitpid(pid_, nullptr, WNOHANG) == pid_) {
			pid_ = -1;
			Note("%s ended by itself", name_.c_str());
		}
		return pid_ <= 0;
	}
	bool WaitReady(double s = 10)
	{
		double until = Now() + s;

		while (Now() < until) {
			if (FakeGet(ip_.c_str(), ready_, "/ready", 2)
				    .find(" 200 ") != std::string::npos)
				return true;
			SleepMs(20);
		}
		NoteLog();
		return false;
	}
	/* Resident memory. */
	long MemoryMb() const
	{
		std::ifstream in("/proc/" + std::to_string(pid_) + "/status");
		std::string word;

		while (in >> word) {
			long kb;

			if (word == "VmRSS:" && in >> kb)
				return kb / 1024;
		}
		return 0;
	}
	int Dial(int timeout_s = 20) const
	{
		return FakeDial(ip_.c_str(), port_, timeout_s);
	}
	const std::string &name() const
	{
		return name_;
	}

      private:
	/* For a gateway that doesn't become ready. */
	void NoteLog()
	{
		std::ifstream in(file_ + ".log");
		std::string line;

		Ended();
		while (std::getline(in, line))
			Note("%s: %s", name_.c_str(), line.c_str());
	}
	std::string Addr(int port) const
	{
		return ip_ + ":" + std::to_string(port);
	}
	std::string ip_, name_, file_;
	int port_ = 0, ready_ = 0;
	pid_t pid_ = -1;
};

inline std::string NewId()
{
	static std::atomic<unsigned> next{ 1 };
	char id[32];

	snprintf(id, sizeof(id), "a%015x", next++);
	return id;
}

inline std::string IdOf(const FakeRequest &r)
{
	return r.Header(HDR_REQUEST_ID);
}

/* The lines of a worker's answer to the request @id. */
inline std::string AnswerLines(const std::string &id)
{
	return std::string(HDR_REQUEST_ID) + ": " + id +
	       "\r\nResponse-Stamp: s." + id + "\r\n";
}

/* The beginning of a worker's stream. */
inline std::string StreamHead(const std::string &id)
{
	return "HTTP/1.1 200 OK\r\n" + AnswerLines(id) +
	       "Content-Type: text/event-stream\r\n"
	       "Transfer-Encoding: chunked\r\n\r\n";
}

struct Answer {
	int status = 0; /* 0: the channel ended without a complete answer */
	std::string head, body;
	bool began = false; /* any byte came */
};

/* Reads one answer with a length; @fd may serve further requests. */
inline Answer ReadAnswer(int fd)
{
	std::string in;
	char buf[8192];
	Answer a;
	size_t end = std::string::npos;
	size_t length = 0;
	ssize_t n;

	for (;;) {
		if (end == std::string::npos &&
		    (end = in.find("\r\n\r\n")) != std::string::npos) {
			FakeRequest r;

			a.head = in.substr(0, end + 4);
			r.head = a.head;
			length = strtoul(r.Header("Content-Length").c_str(),
					 nullptr, 10);
		}
		if (end != std::string::npos && in.size() >= end + 4 + length) {
			a.body = in.substr(end + 4, length);
			a.status = atoi(a.head.c_str() + 9);
			return a;
		}
		n = recv(fd, buf, sizeof(buf), 0);
		if (n <= 0)
			return a;
		a.began = true;
		in.append(buf, (size_t)n);
	}
}

/* @headers: further lines. */
inline std::string RequestText(const std::string &method,
			       const std::string &target, const std::string &id,
			       int deadline_ms, const std::string &headers = "",
			       const std::string &body = "")
{
	return method + " " + target + " HTTP/1.1\r\nHost: site.example\r\n" +
	       HDR_REQUEST_ID + ": " + id + "\r\n" + HDR_TIME_LEFT + ": " +
	       std::to_string(deadline_ms) + "\r\n" + headers +
	       (method == "POST" ? "Content-Length: " +
					   std::to_string(body.size()) + "\r\n"
				 : "") +
	       "\r\n" + body;
}

/* Sends a request and reads its answer; the record has both. */
inline Answer Exchange(int fd, const Gateway &g, const std::string &text)
{
	FakeRequest r;
	Answer a;

	r.head = text;
	Note("%s sent to %s: %s", IdOf(r).c_str(), g.name().c_str(),
	     text.substr(0, text.find(" HTTP/")).c_str());
	if (FakeSend(fd, text))
		a = ReadAnswer(fd);
	Note("%s answered: %d", IdOf(r).c_str(), a.status);
	return a;
}

/* On a new channel; status 0 if it could not be had either. */
inline Answer Ask(const Gateway &g, const std::string &text)
{
	int fd = g.Dial();
	Answer a;

	if (fd < 0)
		return a;
	a = Exchange(fd, g, text);
	close(fd);
	return a;
}

inline std::string RouteJson(const std::string &prefix, const std::string &kind,
			     const std::string &service, int timeout_ms,
			     int slo_ms)
{
	return "{\"name\":\"r" + prefix.substr(1, 1) +
	       "\",\"host\":\"site.example\",\"prefix\":\"" + prefix +
	       "\",\"kind\":\"" + kind +
	       "\",\"resumable\":false,\"timeout_ms\":" +
	       std::to_string(timeout_ms) +
	       ",\"slo_ms\":" + std::to_string(slo_ms) +
	       ",\"max_attempts\":2,\"priority\":1,\"service\":\"" + service +
	       "\"}";
}

/* @services: the objects of the list. */
inline std::string ConfigText(int version, const std::string &routes,
			      const std::string &services)
{
	return "{\"version\":" + std::to_string(version) + ",\"routes\":[" +
	       routes + "],\"services\":[" + services +
	       "],\"limits\":{\"max_header_bytes\":16384,"
	       "\"max_body_bytes\":4194304,\"header_timeout_ms\":5000,"
	       "\"idle_timeout_ms\":15000}}";
}

inline std::string PlainService(const std::string &name)
{
	return "{\"name\":\"" + name +
	       "\",\"slots\":6,\"max_conns\":110,\"health_path\":\"/health\"}";
}

/* A service of engines with the model "m". */
inline std::string EngineService(const std::string &name)
{
	return "{\"name\":\"" + name +
	       "\",\"max_conns\":370,\"engine\":{\"slots\":64,"
	       "\"kv_capacity\":239984,\"stride\":5,\"weights_mb\":220000,"
	       "\"adapter_slots\":5,\"loads_per_s\":2.1,\"models\":[{\"name\":"
	       "\"m\",\"weights_mb\":72700,\"load_s\":1.2,\"adapters\":0,"
	       "\"adapter_mb\":66}]}}";
}

/* A worker's entry in the store. */
inline std::string EntryText(const std::string &service,
			     const std::string &addr, int slots,
			     const std::string &models = "[]",
			     long long born = 1000,
			     const std::string &state = "ready")
{
	return "{\"service\":\"" + service + "\",\"address\":\"" + addr +
	       "\",\"zone\":\"za\",\"version\":\"v1\",\"slots\":" +
	       std::to_string(slots) + ",\"state\":\"" + state +
	       "\",\"cold_left_ms\":0,\"born\":" + std::to_string(born) +
	       ",\"models\":" + models + ",\"seq\":0}";
}

static const char HOLDS_M[] =
	"[{\"name\":\"m\",\"version\":1,\"adapters\":[]}]";

#endif
