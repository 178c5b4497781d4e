/*
 * What the cases share: the gateway as a process with the command of the deploy
 * file, the platform's store, workers and clients, and a record of what was
 * sent, answered and run.
 */
#ifndef REVIEW_COMMON_STAGE_H
#define REVIEW_COMMON_STAGE_H

#include "platform/names.h"
#include "tests/fake_store.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>

/* The bounds of the pages that the cases use. */
const unsigned STABLE_MS = 4000;

using Clock = std::chrono::steady_clock;

inline void SleepMs(unsigned ms)
{
	std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

/* A line of a head. */
inline std::string Field(const char *name, const std::string &value)
{
	return std::string(name) + ": " + value + "\r\n";
}

inline bool TroubleIsOn()
{
	const char *t = getenv("TROUBLE");

	return !t || strcmp(t, "0") != 0;
}

/* record.txt of the case's folder. */
class Record
{
      public:
	Record() : began_(Clock::now())
	{
		const char *path = getenv("RECORD");

		file_ = fopen(path ? path : "/dev/null", "w");
	}
	~Record()
	{
		if (file_)
			fclose(file_);
	}
	void Line(const char *fmt, ...) __attribute__((format(printf, 2, 3)))
	{
		std::lock_guard<std::mutex> g(mu_);
		va_list ap;

		if (!file_)
			return;
		fprintf(file_, "%8.3f ", Seconds());
		va_start(ap, fmt);
		vfprintf(file_, fmt, ap);
		va_end(ap);
		fputc('\n', file_);
		fflush(file_);
	}
	double Seconds() const
	{
		return std::chrono::duration<double>(Clock::now() - began_)
			.count();
	}

      private:
	std::mutex mu_;
	FILE *file_;
	Clock::time_point began_;
};

inline bool PortIsFree(int port, int type)
{
	struct sockaddr_in sin = {};
	int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
	bool ok;

	sin.sin_family = AF_INET;
	sin.sin_port = htons((uint16_t)port);
	sin.sin_addr.s_addr = htonl(INADDR_ANY);
	ok = fd >= 0 && bind(fd, (struct sockaddr *)&sin, sizeof(sin)) == 0;
	if (fd >= 0)
		close(fd);
	return ok;
}

/* A free port for TCP and UDP, below those that the kernel gives to channels. */
inline int FreePort()
{
	static int next = getpid() * 97 % 12000;

	for (int i = 0; i < 12000; i++) {
		int port = 20000 + next++ % 12000;

		if (PortIsFree(port, SOCK_STREAM) &&
		    PortIsFree(port, SOCK_DGRAM))
			return port;
	}
	exit(2);
}

/* An HTTP server that may end, with all its channels, and start again at the same
 * port. While it is down, the port refuses channels. */
class Server
{
      public:
	using Handler = std::function<bool(int fd, const FakeRequest &r)>;

	explicit Server(Handler h, const char *ip = "127.0.0.1")
	    : handler_(std::move(h)), ip_(ip)
	{
		Start();
	}
	~Server()
	{
		Crash();
	}
	std::string addr() const
	{
		return ip_ + ":" + std::to_string(port_);
	}
	void Start()
	{
		struct sockaddr_in sin = {};
		socklen_t len = sizeof(sin);
		int one = 1;

		listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &one,
			   sizeof(one));
		if (!port_)
			port_ = FreePort();
		sin.sin_family = AF_INET;
		sin.sin_port = htons((uint16_t)port_);
		inet_pton(AF_INET, ip_.c_str(), &sin.sin_addr);
		if (bind(listener_, (struct sockaddr *)&sin, len) < 0 ||
		    listen(listener_, 64) < 0)
			exit(2);
		down_ = false;
		acceptor_ = std::thread([this] { Accept(); });
	}
	/* Resets all channels, and waits until nothing runs any more. */
	void Crash()
	{
		if (down_)
			return;
		{
			std::lock_guard<std::mutex> g(mu_);

			down_ = true;
			for (int fd : fds_) {
				FakeReset(fd);
				shutdown(fd, SHUT_RD);
			}
		}
		shutdown(listener_, SHUT_RDWR);
		acceptor_.join();
		close(listener_);
		std::unique_lock<std::mutex> g(mu_);
		ended_.wait(g, [this] { return n_threads_ == 0; });
	}
	/* Handlers return false soon after this became true. */
	bool IsDown() const
	{
		return down_;
	}

      private:
	void Accept()
	{
		int fd;

		while ((fd = accept4(listener_, nullptr, nullptr,
				     SOCK_CLOEXEC)) >= 0) {
			std::lock_guard<std::mutex> g(mu_);

			if (down_) {
				FakeReset(fd);
				close(fd);
				continue;
			}
			fds_.insert(fd);
			n_threads_++;
			std::thread([this, fd] { Serve(fd); }).detach();
		}
	}
	/* Returns false when the channel has ended. */
	static bool ReadMore(int fd, std::string &in)
	{
		char buf[8192];
		ssize_t n = recv(fd, buf, sizeof(buf), 0);

		if (n <= 0)
			return false;
		in.append(buf, (size_t)n);
		return true;
	}
	bool ReadRequest(int fd, std::string &in, FakeRequest &r)
	{
		size_t end, body;

		while ((end = in.find("\r\n\r\n")) == std::string::npos) {
			if (!ReadMore(fd, in))
				return false;
		}
		r.head = in.substr(0, end + 4);
		in.erase(0, end + 4);
		r.method = r.head.substr(0, r.head.find(' '));
		r.target = r.head.substr(r.method.size() + 1);
		r.target = r.target.substr(0, r.target.find(' '));
		body = strtoul(r.Header("Content-Length").c_str(), nullptr, 10);
		while (in.size() < body) {
			if (!ReadMore(fd, in))
				return false;
		}
		r.body = in.substr(0, body);
		in.erase(0, body);
		return true;
	}
	void Serve(int fd)
	{
		std::string in;

		for (;;) {
			FakeRequest r;

			if (!ReadRequest(fd, in, r) || down_ ||
			    !handler_(fd, r))
				break;
		}
		std::lock_guard<std::mutex> g(mu_);
		fds_.erase(fd);
		close(fd);
		n_threads_--;
		ended_.notify_all();
	}

	Handler handler_;
	std::string ip_;
	int listener_ = -1;
	int port_ = 0;
	std::atomic<bool> down_{ true };
	std::mutex mu_;
	std::condition_variable ended_;
	size_t n_threads_ = 0; /* detached, one for each channel */
	std::set<int> fds_;
	std::thread acceptor_;
};

/* The gateway as a process, on 127.0.0.1 or another address of loopback. */
class Gateway
{
      public:
	std::string ip = "127.0.0.1";
	int port = 0, ready = 0;

	/* @store: IP:PORT. @datagrams: the same port for all gateways. */
	void Start(const std::string &name, const std::string &store,
		   int datagrams, const std::string &more = "")
	{
		const char *tmp = getenv("STAGE_DIR");
		std::string dir = tmp ? tmp : "/tmp";

		if (!port) {
			port = FreePort();
			ready = FreePort();
		}
		auto at = [&](const char *key, int p) {
			return std::string(key) + " = \"" + ip + ":" +
			       std::to_string(p) + "\"\n";
		};
		std::string file = dir + "/" + name + ".toml";
		std::string log = dir + "/" + name + ".out";
		std::ofstream(file)
			<< "name = \"" << name
			<< "\"\nzone = \"za\"\nregion = \"east\"\nplatform = "
			   "\""
			<< store << "\"\n"
			<< at("listen", port) << at("ready", ready)
			<< at("datagrams", datagrams)
			<< "drain = \"8s\"\ncores = 0.19\nload_window = "
			   "\"5s\"\n"
			   "load_over = 1.1\n"
			<< more
			<< "[core]\nrepeat_ratio = 0.2\nrepeat_slack = 54\n"
			   "repeat_window = \"10s\"\n"
			   "[[zones]]\nname = \"za\"\nregion = \"east\"\n";
		ended_ = false;
		pid_ = fork();
		if (pid_ == 0) {
			/* However the case ends, this ends with it. */
			prctl(PR_SET_PDEATHSIG, SIGKILL);
			int out = open(log.c_str(),
				       O_CREAT | O_WRONLY | O_APPEND, 0600);

			dup2(out, STDOUT_FILENO);
			dup2(out, STDERR_FILENO);
			setenv("PIMENTOFORD_BOOT", file.c_str(), 1);
			execl("target/pimento-gateway",
			      "target/pimento-gateway", "--settings-env",
			      "PIMENTOFORD_BOOT", (char *)nullptr);
			_exit(127);
		}
	}
	bool BecomesReady() const
	{
		for (int i = 0; i < 500; i++) {
			if (FakeGet(ip.c_str(), ready, "/ready", 2)
				    .find(" 200 ") != std::string::npos)
				return true;
			SleepMs(20);
		}
		return false;
	}
	pid_t pid() const
	{
		return pid_;
	}
	/* Whether the process has ended; sets how. */
	bool HasEnded(std::string *how = nullptr)
	{
		if (!ended_ && pid_ > 0 &&
		    waitpid(pid_, &status_, WNOHANG) == pid_)
			ended_ = true;
		if (ended_ && how)
			*how = WIFSIGNALED(status_)
				       ? std::string("signal ") +
						 strsignal(WTERMSIG(status_))
				       : "exit status " +
						 std::to_string(
							 WEXITSTATUS(status_));
		return ended_;
	}
	void Signal(int sig)
	{
		if (pid_ > 0 && !HasEnded())
			kill(pid_, sig);
	}
	/* Resident memory, in MB. */
	double MemoryMb() const
	{
		std::ifstream f("/proc/" + std::to_string(pid_) + "/statm");
		double pages = 0, resident = 0;

		f >> pages >> resident;
		return resident * (double)sysconf(_SC_PAGESIZE) / 1048576;
	}
	~Gateway()
	{
		Signal(SIGKILL);
		if (pid_ > 0 && !ended_)
			waitpid(pid_, &status_, 0);
	}

      private:
	pid_t pid_ = -1;
	int status_ = 0;
	bool ended_ = false;
};

/* A worker's row in the store. */
inline std::string WorkerRow(const std::string &service,
			     const std::string &addr, int slots = 64,
			     const std::string &models = "[]",
			     const std::string &version = "v1")
{
	return "{\"service\":\"" + service + "\",\"address\":\"" + addr +
	       "\",\"zone\":\"za\",\"version\":\"" + version +
	       "\",\"slots\":" + std::to_string(slots) +
	       ",\"state\":\"ready\",\"cold_left_ms\":0,\"born\":"
	       "1796000000000,\"models\":" +
	       models + ",\"seq\":1}";
}

struct RouteOf {
	std::string prefix, kind, service;
	bool resumable = false;
	int timeout_ms = 5000;
	int slo_ms = 1000;
	int max_attempts = 2;
};

/* Routes of the host "h.example". */
inline std::string ConfigOf(int version, const std::vector<RouteOf> &routes,
			    const std::vector<std::string> &services)
{
	std::string list, names;

	for (const RouteOf &r : routes)
		list += std::string(list.empty() ? "" : ",") + "{\"name\":\"r" +
			r.service + r.kind +
			"\",\"host\":\"h.example\",\"prefix\":\"" + r.prefix +
			"\",\"kind\":\"" + r.kind +
			"\",\"resumable\":" + (r.resumable ? "true" : "false") +
			",\"timeout_ms\":" + std::to_string(r.timeout_ms) +
			",\"slo_ms\":" + std::to_string(r.slo_ms) +
			",\"max_attempts\":" + std::to_string(r.max_attempts) +
			",\"priority\":1,\"service\":\"" + r.service + "\"}";
	for (const std::string &s : services)
		names += std::string(names.empty() ? "" : ",") +
			 "{\"name\":\"" + s + "\",\"max_conns\":200}";
	return "{\"version\":" + std::to_string(version) + ",\"routes\":[" +
	       list + "],\"services\":[" + names +
	       "],\"limits\":{\"max_header_bytes\":16384,"
	       "\"max_body_bytes\":4194304,\"header_timeout_ms\":5000,"
	       "\"idle_timeout_ms\":15000}}";
}

/* Receives one answer with a length. Returns its head and body; empty or a part
 * of it if the channel ended first. */
inline std::string ReceiveAnswer(int fd, bool *complete)
{
	std::string got;
	char buf[8192];
	ssize_t n;

	*complete = false;
	for (;;) {
		size_t end = got.find("\r\n\r\n");
		size_t at = got.find("\r\nContent-Length: ");

		if (end != std::string::npos && at != std::string::npos &&
		    at < end) {
			size_t len =
				strtoul(got.c_str() + at + 18, nullptr, 10);

			if (got.size() >= end + 4 + len) {
				*complete = true;
				return got;
			}
		}
		n = recv(fd, buf, sizeof(buf), 0);
		if (n <= 0)
			return got;
		got.append(buf, (size_t)n);
	}
}

inline int StatusOf(const std::string &answer)
{
	return answer.size() > 12 ? atoi(answer.c_str() + 9) : 0;
}

inline std::string AttemptId(unsigned n)
{
	char id[24];

	snprintf(id, sizeof(id), "%016x", 0x5a000000u + n);
	return id;
}

#endif
