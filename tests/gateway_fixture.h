/*
 * Daemons as processes on loopback with a fake store, rows of endpoints and a
 * configuration.
 */
#ifndef TESTS_GATEWAY_FIXTURE_H
#define TESTS_GATEWAY_FIXTURE_H

#include "tests/fake_http.h"

#include <glib.h>
#include <jansson.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <condition_variable>
#include <cstdlib>
#include <cstring>
#include <fstream>

inline std::string HttpAnswer(int status, const std::string &body,
			      const std::string &headers = "")
{
	return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
	       "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
	       body;
}

/* The platform's store as gateways use it, with faults. */
class FakeStore
{
      public:
	enum StoreFault {
		NO_FAULT,
		UNAVAILABLE, /* answers 503 */
		REQUEST_LOST, /* closes connections, applies nothing */
		ANSWER_LOST, /* applies the request, then closes */
		HISTORY_TRIMMED, /* answers 410 to feed calls */
	};

	FakeStore()
	    : server_("127.0.0.1", [this](int fd, const FakeRequest &r) {
		      return Handle(fd, r);
	      })
	{
	}
	~FakeStore()
	{
		stop_ = true;
		cv_.notify_all();
	}
	uint64_t Put(const std::string &table, const std::string &key,
		     const std::string &value, bool deleted = false)
	{
		std::lock_guard<std::mutex> g(mu_);

		rows_[{ table, key }] = { value, ++revision_, deleted };
		cv_.notify_all();
		return revision_;
	}
	/* Waits up to 20 s for a feed call after @revision, whose sender has
	 * applied all rows up to it. */
	bool WaitUntilApplied(const std::string &table, uint64_t revision)
	{
		std::unique_lock<std::mutex> g(mu_);

		return cv_.wait_for(g, std::chrono::seconds(20), [&] {
			return fed_after_[table] >= revision;
		});
	}
	/* Restores from an older copy, and the era that answers state. */
	struct Row {
		std::string value;
		uint64_t revision;
		bool deleted;
	};
	struct Copy {
		std::map<std::pair<std::string, std::string>, Row> rows;
		uint64_t revision;
	};
	Copy MakeCopy()
	{
		std::lock_guard<std::mutex> g(mu_);

		return { rows_, revision_ };
	}
	/* Feed calls after a revision that @c lacks are answered 410. */
	void Restore(const Copy &c, const std::string &era = "")
	{
		std::lock_guard<std::mutex> g(mu_);

		rows_ = c.rows;
		revision_ = c.revision;
		era_ = era;
		fed_after_.clear();
		cv_.notify_all();
	}
	bool HasRow(const std::string &table, const std::string &key)
	{
		std::lock_guard<std::mutex> g(mu_);

		return rows_.count({ table, key }) > 0;
	}
	bool WaitForRow(const std::string &table, const std::string &key)
	{
		std::unique_lock<std::mutex> g(mu_);

		return cv_.wait_for(g, std::chrono::seconds(10), [&] {
			return rows_.count({ table, key }) > 0;
		});
	}
	/* Answers the next @n calls for @table from @c, in its era. */
	void AnswerFromCopy(const std::string &table, const Copy &c,
			    const std::string &era, int n)
	{
		std::lock_guard<std::mutex> g(mu_);

		stale_ = { table, c, era, n };
	}
	int StaleAnswersLeft()
	{
		std::lock_guard<std::mutex> g(mu_);

		return stale_.n;
	}
	/* No other write comes between; returns the row's revision. */
	uint64_t RestoreAndPut(const Copy &c, const std::string &era,
			       const std::string &table, const std::string &key,
			       const std::string &value)
	{
		Copy with = c;

		with.rows[{ table, key }] = { value, ++with.revision, false };
		Restore(with, era);
		return with.revision;
	}
	/* Empty: not stated. */
	void SetEra(const std::string &era)
	{
		std::lock_guard<std::mutex> g(mu_);

		era_ = era;
	}

	void SetFault(StoreFault f)
	{
		fault_ = f;
		cv_.notify_all();
	}
	std::string addr() const
	{
		return server_.addr();
	}

      private:
	/* Applies a transaction of one row. */
	void CommitOneRow(const std::string &body)
	{
		json_t *root = json_loadb(body.data(), body.size(), 0, nullptr);
		json_t *put =
			json_array_get(json_object_get(root, "set_keys"), 0);
		const char *table =
			json_string_value(json_object_get(put, "table"));
		const char *key =
			json_string_value(json_object_get(put, "key"));
		const char *value =
			json_string_value(json_object_get(put, "value"));
		gsize n = 0;
		guchar *raw = value ? g_base64_decode(value, &n) : nullptr;

		if (table && key && raw)
			rows_[{ table, key }] = { std::string((char *)raw, n),
						  ++revision_, false };
		g_free(raw);
		json_decref(root);
		cv_.notify_all();
	}
	static std::string QueryParam(const std::string &target,
				      const char *name)
	{
		size_t at = target.find(std::string(name) + "=");

		if (at == std::string::npos)
			return "";
		at += strlen(name) + 1;
		return target.substr(at, target.find('&', at) - at);
	}
	std::string RowsJson(const std::string &table, uint64_t after,
			     bool feed)
	{
		std::string out;

		for (auto &[place, row] : rows_) {
			if (place.first != table || row.revision <= after ||
			    (row.deleted && !feed))
				continue;
			gchar *b = g_base64_encode(
				(const guchar *)row.value.data(),
				row.value.size());
			out += (out.empty() ? "" : ",") +
			       std::string("{\"table\":\"") + table +
			       "\",\"part\":\"\",\"key\":\"" + place.second +
			       "\",\"value\":\"" + b +
			       "\",\"ver\":" + std::to_string(row.revision) +
			       (row.deleted ? ",\"tombstone\":true}" : "}");
			g_free(b);
		}
		return out;
	}
	struct Stale {
		std::string table;
		Copy copy;
		std::string era;
		int n;
	};
	/* Answers one call from the copy. */
	void SendStale(int fd, const std::string &table, uint64_t after,
		       bool feed)
	{
		std::string era = "Store-Era: " + stale_.era + "\r\n";

		stale_.n--;
		std::swap(rows_, stale_.copy.rows);
		FakeSend(
			fd,
			feed && after > stale_.copy.revision
				? HttpAnswer(410, "", era)
				: HttpAnswer(
					  200,
					  "{\"rows\":[" +
						  RowsJson(table, after, feed) +
						  "],\"has_more\":false,"
						  "\"ver\":" +
						  std::to_string(
							  stale_.copy
								  .revision) +
						  "}",
					  era));
		std::swap(rows_, stale_.copy.rows);
	}
	std::string EraHeader() const
	{
		return era_.empty() ? "" : "Store-Era: " + era_ + "\r\n";
	}
	bool Handle(int fd, const FakeRequest &r)
	{
		std::unique_lock<std::mutex> g(mu_);
		StoreFault fault = fault_;
		bool feed = r.target.find("/rows-feed") == 0;
		std::string table = QueryParam(r.target, "table");
		uint64_t after = strtoull(QueryParam(r.target, "after").c_str(),
					  nullptr, 10);

		if (feed) {
			fed_after_[table] = after;
			cv_.notify_all();
		}
		if (fault == REQUEST_LOST)
			return false;
		if (stale_.n > 0 && stale_.table == table) {
			SendStale(fd, table, after, feed);
			return true;
		}
		if (fault == UNAVAILABLE ||
		    (feed && (fault == HISTORY_TRIMMED || after > revision_))) {
			std::string era = EraHeader();

			g.unlock();
			FakeSend(fd,
				 HttpAnswer(fault == UNAVAILABLE ? 503 : 410,
					    "", era));
			return true;
		}
		if (r.target.find("/rows-tx") == 0)
			CommitOneRow(r.body);
		if (feed && RowsJson(table, after, true).empty()) {
			auto wait = std::chrono::milliseconds(
				strtoul(QueryParam(r.target, "wait_ms").c_str(),
					nullptr, 10));

			cv_.wait_for(g, wait, [&] {
				return stop_ || fault_ != fault ||
				       !RowsJson(table, after, true).empty();
			});
		}
		std::string body = "{\"rows\":[" +
				   RowsJson(table, after, feed) +
				   "],\"has_more\":false,\"ver\":" +
				   std::to_string(revision_) + ",\"now_ms\":1}";
		std::string era = EraHeader();
		g.unlock();
		if (fault == ANSWER_LOST)
			return false;
		FakeSend(fd, HttpAnswer(200, body, era));
		return !stop_;
	}

	std::mutex mu_;
	std::condition_variable cv_;
	std::map<std::pair<std::string, std::string>, Row> rows_;
	std::map<std::string, uint64_t> fed_after_; /* by table */
	uint64_t revision_ = 0;
	std::string era_;
	Stale stale_{};
	std::atomic<bool> stop_{ false };
	std::atomic<StoreFault> fault_{ NO_FAULT };
	FakeServer server_;
};

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

/* A free port of 127.0.0.2, the gateway's address. */
inline int FreePort()
{
	FakeServer s("127.0.0.2",
		     [](int, const FakeRequest &) { return false; });

	return s.port();
}

class Daemon
{
      public:
	void Start(const std::string &name, const std::string &toml)
	{
		const char *b = getenv("PF_BUILD");
		std::string program = std::string(b ? b : "build") + "/" + name;

		static std::atomic<int> serial{ 0 };

		if (file_.empty())
			file_ = "/tmp/pf-gateway-test-" +
				std::to_string(getpid()) + "-" +
				std::to_string(serial++) + ".toml";
		std::ofstream(file_) << toml;
		pid_ = fork();
		if (pid_ == 0) {
			if (!freopen("/dev/null", "w", stdout))
				_exit(126);
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
};

inline std::string GatewaySettings(const std::string &store,
				   const std::string &ip, int port, int ready,
				   int talk)
{
	auto at = [&](const char *key, int p) {
		return std::string(key) + " = \"" + ip + ":" +
		       std::to_string(p) + "\"\n";
	};

	return "name = \"g-" + ip +
	       "\"\nzone = \"za\"\nregion = \"east\"\n"
	       "platform = \"" +
	       store + "\"\n" + at("listen", port) + at("ready", ready) +
	       at("talk", talk) +
	       "drain = \"8s\"\n[core]\nrepeat_slack = 50\n"
	       "repeat_ratio = 5.0\n[[zones]]\nname = \"za\"\n"
	       "region = \"east\"\n";
}

inline std::string StreamEvent(int id)
{
	return "id: " + std::to_string(id) + "\ndata: e" + std::to_string(id) +
	       "\n\n";
}

inline std::string Chunk(const std::string &s)
{
	char n[16];

	snprintf(n, sizeof(n), "%zx\r\n", s.size());
	return n + s + "\r\n";
}

#endif
