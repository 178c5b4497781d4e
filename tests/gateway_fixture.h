/*
 * Daemons as processes on loopback with a fake store, rows of endpoints and a
 * configuration.
 */
#ifndef TESTS_GATEWAY_FIXTURE_H
#define TESTS_GATEWAY_FIXTURE_H

#include "tests/fake_store.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/file.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <cstring>
#include <fstream>
#include <set>

inline std::string EndpointRow(const std::string &service,
			       const std::string &addr,
			       const std::string &state = "ready",
			       const std::string &models = "[]")
{
	return "{\"service\":\"" + service + "\",\"address\":\"" + addr +
	       "\",\"zone\":\"za\",\"version\":\"v1\",\"slots\":8,\"state\":"
	       "\"" +
	       state + "\",\"cold_left_ms\":0,\"born\":7,\"models\":" + models +
	       ",\"seq\":1}";
}

inline std::string ConfigJson(int version,
			      const std::string &safe_service = "app")
{
	std::string routes;
	const char *kinds[][3] = {
		{ "/s/", "safe", "false" },
		{ "/u/", "unsafe", "false" },
		{ "/t/", "stream", "false" },
		{ "/r/", "stream", "true" },
	};

	for (auto &k : kinds)
		routes += std::string(routes.empty() ? "" : ",") +
			  "{\"name\":\"n\",\"host\":\"h\",\"prefix\":\"" +
			  k[0] + "\",\"kind\":\"" + k[1] +
			  "\",\"resumable\":" + k[2] +
			  ",\"timeout_ms\":20000,\"slo_ms\":15000,"
			  "\"max_attempts\":2,\"priority\":1,\"service\":\"" +
			  (std::string(k[0]) == "/s/" ? safe_service : "app") +
			  "\"}";
	return "{\"version\":" + std::to_string(version) + ",\"routes\":[" +
	       routes +
	       "],\"services\":[{\"name\":\"app\",\"max_conns\":50,"
	       "\"engine\":{\"slots\":8,\"kv_capacity\":100000,\"stride\":1,"
	       "\"weights_mb\":1000,\"adapter_slots\":2,\"loads_per_s\":2,"
	       "\"models\":[{\"name\":\"m\",\"weights_mb\":100,\"load_s\":1,"
	       "\"adapters\":2,\"adapter_mb\":1}]}},{\"name\":\"other\"}],"
	       "\"limits\":{\"max_header_bytes\":4096,"
	       "\"max_body_bytes\":10000,\"header_timeout_ms\":2000,"
	       "\"idle_timeout_ms\":10000}}";
}

/* A free port of all loopback addresses, which no other test process gets while
 * this one runs; each time another one. It is below the ports that the kernel
 * gives to connections. */
inline int FreePort()
{
	const int from = 20000, n = 12000;
	static int next = getpid() % n;

	for (;;) {
		int port = from + next++ % n;
		std::string path = "/tmp/pf-test-port-" + std::to_string(port);
		int lock =
			open(path.c_str(), O_CREAT | O_RDWR | O_CLOEXEC, 0600);

		if (lock < 0)
			continue;
		/* Held until the process ends. */
		if (flock(lock, LOCK_EX | LOCK_NB) == 0)
			return port;
		close(lock);
	}
}

class Daemon
{
      public:
	/* From the next start on, connecting to the port takes @ms, below 1 s. */
	void SlowConnects(int port, unsigned ms)
	{
		slow_port_ = port;
		slow_ms_ = ms;
	}
	/* @fail_realloc_min: allocations of so many bytes fail; 0: none. */
	void Start(const std::string &name, const std::string &toml,
		   size_t fail_realloc_min = 0)
	{
		const char *b = getenv("PF_BUILD");
		std::string dir = b ? b : "build";
		std::string program = dir + "/" + name;

		static std::atomic<int> serial{ 0 };

		if (file_.empty())
			file_ = "/tmp/pf-gateway-test-" +
				std::to_string(getpid()) + "-" +
				std::to_string(serial++) + ".toml";
		std::ofstream(file_) << toml;
		fflush(stdout); /* else the child writes it again */
		pid_ = fork();
		if (pid_ == 0) {
			const char *log = getenv("PF_TEST_LOG");

			if (!freopen(log ? log : "/dev/null", "a", stdout))
				_exit(126);
			if (fail_realloc_min) {
				setenv("PF_FAIL_REALLOC_MIN",
				       std::to_string(fail_realloc_min).c_str(),
				       1);
				setenv("LD_PRELOAD",
				       (dir + "/fail-realloc.so").c_str(), 1);
			}
			if (slow_ms_) {
				setenv("PF_SLOW_CONNECT_PORT",
				       std::to_string(slow_port_).c_str(), 1);
				setenv("PF_SLOW_CONNECT_MS",
				       std::to_string(slow_ms_).c_str(), 1);
				setenv("LD_PRELOAD",
				       (dir + "/slow-connect.so").c_str(), 1);
			}
			execl(program.c_str(), program.c_str(), "--settings",
			      file_.c_str(), (char *)nullptr);
			_exit(127);
		}
	}
	void Signal(int sig)
	{
		if (pid_ > 0)
			kill(pid_, sig);
	}
	int Wait()
	{
		int status = -1;

		if (pid_ > 0)
			waitpid(pid_, &status, 0);
		pid_ = -1;
		return status;
	}
	~Daemon()
	{
		Signal(SIGKILL);
		Wait();
		unlink(file_.c_str());
	}

      private:
	std::string file_;
	pid_t pid_ = -1;
	int slow_port_ = 0;
	unsigned slow_ms_ = 0;
};

inline std::string GatewaySettings(const std::string &store,
				   const std::string &ip, int port, int ready,
				   int datagrams,
				   const std::string &repeat_ratio = "5.0")
{
	auto at = [&](const char *key, int p) {
		return std::string(key) + " = \"" + ip + ":" +
		       std::to_string(p) + "\"\n";
	};

	return "name = \"g-" + ip +
	       "\"\nzone = \"za\"\nregion = \"east\"\n"
	       "platform = \"" +
	       store + "\"\n" + at("listen", port) + at("ready", ready) +
	       at("datagrams", datagrams) +
	       "drain = \"8s\"\n[core]\nrepeat_slack = 50\n"
	       "repeat_ratio = " +
	       repeat_ratio +
	       "\n[[zones]]\nname = \"za\"\n"
	       "region = \"east\"\n";
}

inline std::string StreamEvent(int id)
{
	return "id: " + std::to_string(id) + "\ndata: e" + std::to_string(id) +
	       "\n\n";
}

#endif
