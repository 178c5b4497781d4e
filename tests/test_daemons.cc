// The daemons as processes on loopback with simulated platform, engine and
// service: malformed and split requests, callers that disconnect or read
// slowly, graceful shutdown.
#include "pimentoford/rpc.h"
#include "tests/fake_http.h"

#include <event2/event.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <functional>
#include <map>
#include <sstream>
#include <string>
#include <vector>

namespace
{
std::string build_dir()
{
	const char *b = getenv("PF_BUILD");

	return b ? b : "build";
}

int dial(int port, int timeout_s)
{
	return FakeDial("127.0.0.1", port, timeout_s);
}

std::string http_get(int port, const std::string &path)
{
	return FakeGet("127.0.0.1", port, path, 5);
}

const std::string auth_header = "Authorization: Bearer demo-caller-key\r\n";

std::string post_request(const std::string &body,
			 const std::string &version = "1.1")
{
	return "POST /v1/completions HTTP/" + version + "\r\nHost: x\r\n" +
	       auth_header + "Content-Length: " + std::to_string(body.size()) +
	       "\r\n\r\n" + body;
}

std::string completion_body(int tokens, bool stream)
{
	return "{\"model\":\"triage\",\"prompt\":\"hi [len=" +
	       std::to_string(tokens) + "]\",\"max_tokens\":4000" +
	       (stream ? ",\"stream\":true}" : "}");
}

size_t count(const std::string &s, const std::string &word)
{
	size_t n = 0;

	for (size_t at = 0; (at = s.find(word, at)) != std::string::npos;
	     at += word.size())
		n++;
	return n;
}

/* Words of a stream; one event may have several tokens. */
size_t count_words(const std::string &stream)
{
	const std::string start = "\"text\":\"";
	size_t n = 0;

	for (size_t at = 0;
	     (at = stream.find(start, at)) != std::string::npos;) {
		at += start.size();
		n += count(stream.substr(at, stream.find('"', at) - at), " ");
	}
	return n;
}

struct Daemons : testing::Test {
	static std::string dir, port_prefix;
	static std::map<std::string, pid_t> pids;

	static int port(int last)
	{
		return std::stoi(port_prefix) * 100 + last;
	}
	static std::string addr(int last)
	{
		return "127.0.0.1:" + std::to_string(port(last));
	}
	static pid_t start_process(const std::string &name,
				   std::vector<std::string> args)
	{
		std::vector<char *> argv;
		std::string log = dir + "/" + name + ".log";

		args[0] = build_dir() + "/" + args[0];
		for (std::string &a : args)
			argv.push_back(&a[0]);
		argv.push_back(nullptr);
		pid_t pid = fork();

		if (pid == 0) {
			int fd = open(log.c_str(),
				      O_CREAT | O_WRONLY | O_APPEND, 0600);

			dup2(fd, 1);
			dup2(fd, 2);
			execv(argv[0], argv.data());
			_exit(127);
		}
		return pid;
	}
	static int wait_exit(pid_t pid)
	{
		int status = -1;

		for (int i = 0; i < 1000; i++) {
			if (waitpid(pid, &status, WNOHANG) == pid)
				return WIFEXITED(status) ? WEXITSTATUS(status)
							 : 1000;
			usleep(10000);
		}
		kill(pid, SIGKILL);
		waitpid(pid, &status, 0);
		return 2000; /* timed out and was killed */
	}
	static void copy_settings(const std::string &name)
	{
		std::ifstream in("deployments/demo/" + name + ".toml");
		std::stringstream all;
		std::string text;

		all << in.rdbuf();
		text = all.str();
		for (size_t at = 0;
		     (at = text.find("127.0.0.1:170", at)) != std::string::npos;
		     at++)
			text.replace(at, 13, "127.0.0.1:" + port_prefix);
		std::ofstream(dir + "/" + name + ".toml") << text;
	}
	static void start_daemon(const std::string &name,
				 const std::string &program)
	{
		copy_settings(name);
		pids[name] =
			start_process(name, { program, "--settings",
					      dir + "/" + name + ".toml" });
	}
	static void start_engine()
	{
		pids["back-engine"] = start_process(
			"back-engine",
			{ "pimento-standin", "--role", "engine", "--listen",
			  addr(33), "--weights", addr(0), "--check-fence",
			  "--step=1", "--step-run=0", "--crash-on=poison" });
	}
	static std::string read_log(const std::string &name)
	{
		std::ifstream in(dir + "/" + name + ".log");
		std::stringstream all;

		all << in.rdbuf();
		return all.str();
	}
	static bool wait_ready(int last, const std::string &path)
	{
		for (int i = 0; i < 1000; i++) {
			if (http_get(port(last), path).find(" 200 ") !=
			    std::string::npos)
				return true;
			usleep(10000);
		}
		return false;
	}
	static void SetUpTestSuite()
	{
		char tmpl[] = "/tmp/pf-daemons-XXXXXX";

		setenv("PIMENTO_KEY", "demo-deployment-key", 1);
		dir = mkdtemp(tmpl);
		port_prefix = std::to_string(210 + getpid() % 100);
		pids["platform"] = start_process(
			"platform", { "pimento-standin", "--role", "platform",
				      "--listen", addr(0), "--model-load=50" });
		start_engine();
		pids["back-booking"] = start_process(
			"back-booking", { "pimento-standin", "--role",
					  "service", "--listen", addr(43) });
		ASSERT_TRUE(wait_ready(0, "/admin/state"));
		start_daemon("entry-east", "pimento-entry");
		start_daemon("engine-east", "pimento-agent");
		start_daemon("booking-east", "pimento-agent");
		copy_settings("records");
		ASSERT_TRUE(wait_ready(10, "/healthz"));
		ASSERT_EQ(wait_exit(start_process(
				  "ctl", { "pimentoctl", "--entry", addr(10),
					   "apply", dir + "/records.toml" })),
			  0);
		ASSERT_TRUE(wait_ready(10, "/readyz") &&
			    wait_ready(32, "/readyz") &&
			    wait_ready(42, "/readyz"));
		/* The first request loads the model. */
		ASSERT_NE(exchange(post_request(completion_body(3, false)),
				   "\"usage\"")
				  .find(" 200 "),
			  std::string::npos);
	}
	static void TearDownTestSuite()
	{
		for (auto &p : pids) {
			if (p.first.compare(0, 4, "back") == 0 ||
			    p.first == "platform") {
				kill(p.second, SIGKILL);
				wait_exit(p.second);
				continue;
			}
			kill(p.second, SIGTERM);
			EXPECT_EQ(wait_exit(p.second), 0) << p.first;
		}
		if (!HasFailure()) {
			EXPECT_EQ(system(("rm -r " + dir).c_str()), 0);
		}
	}
	static int apply_records(const std::string &name)
	{
		return wait_exit(start_process(
			"ctl", { "pimentoctl", "--entry", addr(10), "apply",
				 dir + "/" + name + ".toml" }));
	}
	static bool set_fault(const std::string &what,
			      const std::string &target, int ms)
	{
		std::string body = "{\"what\":\"" + what + "\",\"target\":\"" +
				   target + "\",\"ms\":" + std::to_string(ms) +
				   "}";
		std::string req = "POST /admin/fault HTTP/1.1\r\n"
				  "Connection: close\r\nContent-Length: " +
				  std::to_string(body.size()) + "\r\n\r\n" +
				  body;
		int fd = dial(port(0), 5);

		send(fd, req.data(), req.size(), MSG_NOSIGNAL);
		std::string got = FakeReceive(fd, "");

		close(fd);
		return got.find(" 200 ") != std::string::npos;
	}
	static std::string exchange(const std::string &bytes,
				    const std::string &until, int timeout_s = 5)
	{
		int fd = dial(port(10), timeout_s);

		if (fd < 0)
			return "";
		send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
		std::string got = FakeReceive(fd, until);

		close(fd);
		return got;
	}
};

/* A session with an agent, as an entry has it. */
struct AgentSession {
	struct event_base *base = event_base_new();
	struct pf_rpc *rpc = nullptr;
	struct pf_rpc_session *session = nullptr;
	std::map<uint64_t, int> refused; /* NOT_RUN by request */

	~AgentSession()
	{
		pf_rpc_free(rpc);
		event_base_free(base);
	}
	static void up(void *ctx, struct pf_rpc_session *s)
	{
		static_cast<AgentSession *>(ctx)->session = s;
	}
	static void down(void *ctx, struct pf_rpc_session *)
	{
		static_cast<AgentSession *>(ctx)->session = nullptr;
	}
	static void message(void *ctx, struct pf_rpc_session *,
			    const struct pf_wire_msg *m)
	{
		if (m->type == PF_WIRE_NOT_RUN)
			static_cast<AgentSession *>(ctx)
				->refused[m->u.not_run.id.request]++;
	}
	void open(const std::string &addr)
	{
		struct pf_rpc_opts o;

		pf_rpc_opts_default(&o);
		o.base = base;
		o.key = pf_str_c("demo-deployment-key");
		o.self.role = PF_RPC_ENTRY;
		o.self.id = 99;
		o.up = up;
		o.down = down;
		o.message = message;
		o.ctx = this;
		rpc = pf_rpc_new(&o);
		ASSERT_NE(pf_rpc_connect(rpc, addr.c_str(), nullptr), nullptr);
	}
	void send_call(uint64_t request)
	{
		struct pf_wire_msg m = {};

		m.type = PF_WIRE_TRY;
		m.u.try_.id = { request, 1 };
		m.u.try_.work.flags = PF_WORK_PLAIN | PF_WORK_NEVER_REPEAT;
		m.u.try_.work.deadline = PF_NEVER;
		m.u.try_.payload.method = pf_str_c("POST");
		m.u.try_.payload.path = pf_str_c("/visits");
		pf_rpc_send(session, &m);
	}
	/* Runs the loop until @done, for 5 s at most. */
	bool run_until(const std::function<bool()> &done)
	{
		for (int i = 0; i < 5000; i++) {
			if (done())
				return true;
			event_base_loop(base, EVLOOP_NONBLOCK);
			usleep(1000);
		}
		return false;
	}
};

std::string Daemons::dir, Daemons::port_prefix;
std::map<std::string, pid_t> Daemons::pids;
} // namespace

TEST_F(Daemons, InvalidRequestGetsStatusAndErrorCode)
{
	const std::string big(100000, 'x'), line(20000, 'a');
	const struct {
		const char *name;
		std::string bytes;
		const char *status;
		const char *code;
	} cases[] = {
		{ "no HTTP", "garbage\r\n\r\n", "400", "malformed_request" },
		{ "a long path", "GET /" + line + " HTTP/1.1\r\n\r\n", "431",
		  "header_too_large" },
		{ "a long header", "GET / HTTP/1.1\r\nX: " + line + "\r\n\r\n",
		  "431", "header_too_large" },
		{ "a large body",
		  "POST /v1/completions HTTP/1.1\r\nContent-Length: "
		  "99999999999\r\n\r\n",
		  "413", "body_too_large" },
		{ "a negative length",
		  "POST / HTTP/1.1\r\nContent-Length: -5\r\n\r\n", "413",
		  "body_too_large" },
		{ "no key", "GET /v1/models HTTP/1.1\r\n\r\n", "401",
		  "unauthorized" },
		{ "a wrong key",
		  "GET /v1/models HTTP/1.1\r\nAuthorization: Bearer x\r\n\r\n",
		  "401", "unauthorized" },
		{ "operators only",
		  "GET /admin/status HTTP/1.1\r\n" + auth_header + "\r\n",
		  "401", "unauthorized" },
		{ "cut JSON", post_request("{\"model\":"), "400",
		  "invalid_json" },
		{ "bad UTF-8", post_request("{\"model\":\"\xff\"}"), "400",
		  "invalid_json" },
		{ "no such model",
		  post_request("{\"model\":\"x\",\"prompt\":\"y\"}"), "404",
		  "unknown_model" },
		{ "no such path", "GET /x HTTP/1.1\r\n\r\n", "404",
		  "not_found" },
		{ "another method",
		  "PUT /v1/completions HTTP/1.1\r\n" + auth_header +
			  "Content-Length: 0\r\n\r\n",
		  "405", "method_not_allowed" },
		{ "no such service",
		  "GET /svc/x/ HTTP/1.1\r\n" + auth_header + "\r\n", "404",
		  "unknown_service" },
		{ "a long key",
		  "GET /svc/booking/x HTTP/1.1\r\n" + auth_header +
			  "Idempotency-Key: " + std::string(300, 'k') +
			  "\r\n\r\n",
		  "400", "invalid_request" },
	};

	for (auto &c : cases) {
		std::string got = exchange(c.bytes, "retry_after_ms");

		EXPECT_EQ(got.substr(9, 3), c.status) << c.name << ": " << got;
		EXPECT_NE(got.find(std::string("\"code\":\"") + c.code),
			  std::string::npos)
			<< c.name << ": " << got;
		EXPECT_NE(got.find("\"ran\":\"not_run\""), std::string::npos);
	}
}

/* evhtp's parser loses a path that arrives in two reads. */
TEST_F(Daemons, RequestSplitAcrossReadsIsParsed)
{
	std::string req = post_request(completion_body(3, false));

	for (size_t cut = 1; cut < req.size(); cut += 7) {
		int fd = dial(port(10), 5);

		ASSERT_GE(fd, 0);
		send(fd, req.data(), cut, MSG_NOSIGNAL);
		usleep(3000);
		send(fd, req.data() + cut, req.size() - cut, MSG_NOSIGNAL);
		EXPECT_EQ(FakeReceive(fd, "usage").substr(9, 3), "200") << cut;
		close(fd);
	}
}

TEST_F(Daemons, PipelinedRequestsAreAnsweredInOrder)
{
	std::string two = post_request(completion_body(3, true)) +
			  post_request(completion_body(3, false));
	std::string got = exchange(two, "\"usage\"");

	EXPECT_EQ(count(got, "HTTP/1.1 200"), 2u) << got;
	EXPECT_LT(got.find("[DONE]"), got.find("\"usage\""));
}

/* A request behind a chunked body could end the answer before it. */
TEST_F(Daemons, RequestPipelinedBehindChunkedBodyIsAnsweredInOrder)
{
	const std::string chunked =
		"POST /svc/booking/visits HTTP/1.1\r\n" + auth_header +
		"Idempotency-Key: chunked\r\n"
		"Transfer-Encoding: chunked\r\n\r\n"
		"10\r\n{\"x\":\"[slow=200]\r\n2\r\n\"}\r\n0\r\n\r\n";
	const std::string list =
		"GET /v1/models HTTP/1.1\r\n" + auth_header + "\r\n";
	const struct {
		size_t cut; /* first bytes sent */
		std::string next;
		const char *last; /* of the second answer */
	} cases[] = {
		{ 0, post_request(completion_body(3, false)), "\"usage\"" },
		{ 0, list + list, "\"list\"" },
		{ chunked.size() - 3, list, "\"list\"" },
		{ chunked.size(), list, "\"list\"" },
	};

	for (auto &c : cases) {
		std::string all = chunked + c.next;
		int fd = dial(port(10), 5);

		ASSERT_GE(fd, 0);
		send(fd, all.data(), c.cut, MSG_NOSIGNAL);
		usleep(3000);
		send(fd, all.data() + c.cut, all.size() - c.cut, MSG_NOSIGNAL);
		std::string got = FakeReceive(fd, c.last);

		close(fd);
		EXPECT_EQ(got.substr(9, 3), "200") << c.cut << ": " << got;
		EXPECT_LT(got.find("\"run\""), got.find(c.last)) << got;
	}
	EXPECT_NE(http_get(port(43), "/admin/state").find("\"chunked\":1"),
		  std::string::npos);
}

TEST_F(Daemons, Http10StreamIsNotChunked)
{
	std::string got =
		exchange(post_request(completion_body(3, true), "1.0"), "");

	EXPECT_EQ(got.substr(got.size() - 14), "data: [DONE]\n\n") << got;
}

/* A caller that disconnects during a stream leaves its run at the agent. */
TEST_F(Daemons, RunIsCancelledWhenCallerDisconnects)
{
	std::string req = post_request(completion_body(500, true));

	for (int i = 0; i < 10; i++) {
		int fd = dial(port(10), 5);

		send(fd, req.data(), req.size(), MSG_NOSIGNAL);
		usleep(10000 * i);
		close(fd);
	}
	EXPECT_TRUE(wait_ready(10, "/readyz"));
	std::string m;

	for (int i = 0; i < 300; i++) {
		m = http_get(port(32), "/metrics");
		if (m.find("pimento_agent_running 0\n") != std::string::npos)
			break;
		usleep(10000);
	}
	EXPECT_NE(m.find("pimento_agent_running 0\n"), std::string::npos);
	EXPECT_NE(m.find("pimento_agent_queued 0\n"), std::string::npos);
}

/* Output held back for a full socket is lost or sent twice. */
TEST_F(Daemons, SlowReaderGetsWholeAnswer)
{
	std::string req = post_request(completion_body(1000, true));
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	struct sockaddr_in sin = {};
	int small = 2048;

	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
	sin.sin_family = AF_INET;
	sin.sin_port = htons((uint16_t)port(10));
	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	ASSERT_EQ(connect(fd, (struct sockaddr *)&sin, sizeof(sin)), 0);
	send(fd, req.data(), req.size(), MSG_NOSIGNAL);
	sleep(3);
	std::string got = FakeReceive(fd, "[DONE]");

	close(fd);
	EXPECT_NE(got.find("[DONE]"), std::string::npos);
	EXPECT_EQ(count_words(got), 1000u);
	/* Fewer events than tokens: some output was held back. */
	EXPECT_LT(count(got, "\"finish_reason\":null"), 1000u);
}

/* A call resent with its Idempotency-Key runs a second time. */
TEST_F(Daemons, CallWithIdempotencyKeyRunsOnce)
{
	std::string req = "POST /svc/booking/visits HTTP/1.1\r\n" +
			  auth_header +
			  "Idempotency-Key: once\r\nContent-Length: 2\r\n\r\n"
			  "{}";
	std::string first = exchange(req, "\"run\""),
		    second = exchange(req, "\"run\"");

	EXPECT_EQ(first.substr(9, 3), "200") << first;
	EXPECT_EQ(first, second);
	EXPECT_NE(http_get(port(43), "/admin/state").find("\"once\":1"),
		  std::string::npos);
}

TEST_F(Daemons, InvalidSettingsAreReported)
{
	std::ofstream(dir + "/bad.toml") << "name = \"x\"\nfoo = 1\n";
	for (const char *program : { "pimento-entry", "pimento-agent" }) {
		EXPECT_EQ(wait_exit(start_process(
				  "bad", { program, "--check", "--settings",
					   dir + "/bad.toml" })),
			  2);
	}
	std::ifstream in(dir + "/bad.log");
	std::stringstream all;

	all << in.rdbuf();
	for (const char *word : { "foo", "zone", "listen", "backend" })
		EXPECT_NE(all.str().find(word), std::string::npos) << word;
}

/* The planner loads only models with requests; "draft" has none. */
TEST_F(Daemons, PlannerLoadsModelWithoutRequests)
{
	bool there = false;

	for (int i = 0; i < 2000 && !there; i++) {
		there = http_get(port(33), "/engine/inventory")
				.find("draft@") != std::string::npos;
		usleep(10000);
	}
	EXPECT_TRUE(there);
	std::string audit =
		exchange("GET /admin/audit HTTP/1.1\r\nHost: x\r\n"
			 "Authorization: Bearer demo-deployment-key\r\n"
			 "Connection: close\r\n\r\n",
			 "");

	EXPECT_EQ(count(audit, "takeover lease/planner/east"), 1u) << audit;
}

/* A request crashes the engine twice and no line of the log says whose it was. */
TEST_F(Daemons, LogNamesCallerAndEndpointsOfAQuarantine)
{
	std::string req = post_request("{\"model\":\"triage\",\"prompt\":"
				       "\"poison\",\"max_tokens\":9}");
	int fd = dial(port(10), 20);

	send(fd, req.data(), req.size(), MSG_NOSIGNAL);
	for (int i = 0; i < 2; i++) {
		EXPECT_EQ(wait_exit(pids["back-engine"]), 70);
		start_engine();
	}
	std::string got = FakeReceive(fd, "retry_after_ms");

	close(fd);
	EXPECT_NE(got.find("\"code\":\"quarantined\""), std::string::npos)
		<< got;
	std::string log = read_log("entry-east");
	size_t suspect = log.find("event=suspect fingerprint="),
	       quarantine = log.find("event=quarantine fingerprint=");

	ASSERT_NE(suspect, std::string::npos);
	ASSERT_NE(quarantine, std::string::npos);
	EXPECT_EQ(log.substr(suspect + 26, 16),
		  log.substr(quarantine + 29, 16));
	EXPECT_EQ(log.substr(suspect + 42,
			     log.find('\n', suspect) - suspect - 42),
		  " caller=dispatch crashes=1 endpoints=engine-east");
	EXPECT_EQ(
		log.substr(quarantine + 45,
			   log.find('\n', quarantine) - quarantine - 45),
		" caller=dispatch crashes=2 endpoints=engine-east,engine-east");
	EXPECT_TRUE(wait_ready(32, "/readyz"));
	for (int i = 0; i < 1000; i++) {
		if (exchange(post_request(completion_body(3, false)),
			     "\"usage\"")
			    .find(" 200 ") != std::string::npos)
			return;
		usleep(10000);
	}
	ADD_FAILURE() << "no answer after the restart";
}

/* A changed address of an endpoint took the answers of its calls away. */
TEST_F(Daemons, MovedEndpointCompletesItsCalls)
{
	std::string req = "POST /svc/booking/visits HTTP/1.1\r\n" +
			  auth_header +
			  "Idempotency-Key: moved\r\n"
			  "Content-Length: 20\r\n\r\n"
			  "{\"x\":\"[slow=1500] \"}";
	std::ifstream in(dir + "/records.toml");
	std::stringstream records;
	std::string moved;
	int fd = dial(port(10), 5);

	records << in.rdbuf();
	moved = records.str();
	moved.replace(moved.find(addr(41)), addr(41).size(), addr(99));
	std::ofstream(dir + "/moved.toml") << moved;
	ASSERT_GE(fd, 0);
	send(fd, req.data(), req.size(), MSG_NOSIGNAL);
	usleep(300000);
	EXPECT_EQ(apply_records("moved"), 0);
	std::string got = FakeReceive(fd, "\"run\"");

	EXPECT_EQ(got.substr(0, 12), "HTTP/1.1 200") << got;
	EXPECT_EQ(apply_records("records"), 0);
	close(fd);
	EXPECT_NE(http_get(port(43), "/admin/state").find("\"moved\":1"),
		  std::string::npos);
	req.replace(req.find("moved"), 5, "again");
	got = exchange(req, "\"run\"", 10);
	EXPECT_EQ(got.substr(0, 12), "HTTP/1.1 200") << got;
}

/* Neither daemon handled SIGHUP, which ends a process by default. */
TEST_F(Daemons, HangupSignalEndsNoRequest)
{
	std::string req = post_request(completion_body(60, true));
	int fd = dial(port(10), 10);
	std::string got;

	send(fd, req.data(), req.size(), MSG_NOSIGNAL);
	got = FakeReceive(fd, "finish_reason");
	for (const char *name : { "entry-east", "engine-east" })
		kill(pids[name], SIGHUP);
	got += FakeReceive(fd, "[DONE]");
	close(fd);
	EXPECT_EQ(count_words(got), 60u);
	EXPECT_EQ(count(got, "[DONE]"), 1u);
}

/* A stopping entry closed connections in the middle of a request. */
TEST_F(Daemons, StoppingEntryAnswersTheRequestThatItIsReading)
{
	std::string req = post_request(completion_body(3, false));
	size_t cuts[] = { 10, req.size() - 5 };

	for (size_t cut : cuts) {
		start_daemon("entry-west", "pimento-entry");
		ASSERT_TRUE(wait_ready(20, "/readyz"));
		int fd = dial(port(20), 5);

		ASSERT_GE(fd, 0);
		send(fd, req.data(), cut, MSG_NOSIGNAL);
		usleep(50000);
		kill(pids["entry-west"], SIGTERM);
		usleep(200000);
		send(fd, req.data() + cut, req.size() - cut, MSG_NOSIGNAL);
		std::string got = FakeReceive(fd, "retry_after_ms");

		close(fd);
		EXPECT_EQ(got.substr(0, 12), "HTTP/1.1 503") << got;
		EXPECT_NE(got.find("\"ran\":\"not_run\""), std::string::npos);
		EXPECT_NE(got.find("Connection: close"), std::string::npos);
		EXPECT_EQ(wait_exit(pids["entry-west"]), 0);
		pids.erase("entry-west");
	}
}

/* Callers got no answer, or half of one, when the drain timeout ended. */
TEST_F(Daemons, DrainTimeoutAnswersOpenRequests)
{
	std::string stream = post_request(completion_body(3000, true));
	std::string whole = post_request(completion_body(3000, false));

	copy_settings("entry-west");
	std::ofstream(dir + "/entry-west.toml", std::ios::app)
		<< "drain = \"300ms\"\n";
	pids["entry-west"] =
		start_process("entry-west", { "pimento-entry", "--settings",
					      dir + "/entry-west.toml" });
	ASSERT_TRUE(wait_ready(20, "/readyz"));
	int a = dial(port(20), 5), b = dial(port(20), 5);

	ASSERT_GE(a, 0);
	ASSERT_GE(b, 0);
	send(a, stream.data(), stream.size(), MSG_NOSIGNAL);
	send(b, whole.data(), whole.size(), MSG_NOSIGNAL);
	std::string got = FakeReceive(a, "finish_reason");

	kill(pids["entry-west"], SIGTERM);
	got += FakeReceive(a, "retry_after_ms");
	EXPECT_NE(got.find("\"ran\":\"ran\""), std::string::npos)
		<< got.substr(got.size() - 200);
	got = FakeReceive(b, "retry_after_ms");
	EXPECT_EQ(got.substr(0, 12), "HTTP/1.1 504") << got;
	EXPECT_EQ(wait_exit(pids["entry-west"]), 1);
	pids.erase("entry-west");
	close(a);
	close(b);
}

/* A stopping entry closed the connections of callers that store a draft. */
TEST_F(Daemons, StoppingEntryAnswersTheDraftThatItIsStoring)
{
	std::string body = completion_body(3, false);
	std::string req = "POST /v1/completions HTTP/1.1\r\nHost: x\r\n" +
			  auth_header + "Prefer: respond-async\r\n" +
			  "Content-Length: " + std::to_string(body.size()) +
			  "\r\n\r\n" + body;

	start_daemon("entry-west", "pimento-entry");
	ASSERT_TRUE(wait_ready(20, "/readyz"));
	ASSERT_TRUE(set_fault("slow", "table", 700));
	int fd = dial(port(20), 5);

	ASSERT_GE(fd, 0);
	send(fd, req.data(), req.size(), MSG_NOSIGNAL);
	usleep(100000);
	kill(pids["entry-west"], SIGTERM);
	std::string got = FakeReceive(fd, "\"open\"");

	close(fd);
	EXPECT_TRUE(set_fault("clear", "table", 0));
	EXPECT_EQ(got.substr(0, 12), "HTTP/1.1 202") << got;
	EXPECT_EQ(wait_exit(pids["entry-west"]), 0);
	pids.erase("entry-west");
}

/*
 * A call that crossed the agent's last messages met a closed socket: its entry
 * could not tell whether it ran.
 */
TEST_F(Daemons, StoppingAgentAnswersTheCallsThatCrossItsLeave)
{
	AgentSession s;

	start_daemon("booking-west", "pimento-agent");
	ASSERT_TRUE(wait_ready(45, "/readyz"));
	s.open(addr(44));
	ASSERT_TRUE(s.run_until([&] { return s.session != nullptr; }));
	kill(pids["booking-west"], SIGTERM);
	/* Longer than an idle agent takes to stop; nothing is read so far. */
	usleep(300000);
	s.send_call(7);
	EXPECT_TRUE(s.run_until([&] { return s.refused[7] > 0; }));
	EXPECT_TRUE(s.run_until([&] { return s.session == nullptr; }));
	EXPECT_EQ(wait_exit(pids["booking-west"]), 0);
	pids.erase("booking-west");
}

/* The resend finds the endpoint draining, by the change that it resends. */
TEST_F(Daemons, ResentDrainAnswersItsFirstOutcome)
{
	const std::vector<std::string> drain = { "pimentoctl", "--entry",
						 addr(10),     "--id",
						 "drain-1",    "drain",
						 "engine-west" };
	const std::vector<std::string> other = { "pimentoctl", "--entry",
						 addr(10), "drain",
						 "engine-west" };

	ASSERT_EQ(wait_exit(start_process("drain", drain)), 0);
	std::string first = read_log("drain");
	std::string revision = first.substr(first.find("revision=") + 9);

	revision.pop_back();
	for (int i = 0; i < 1000; i++) {
		if (read_log("entry-east")
			    .find("event=config revision=" + revision) !=
		    std::string::npos)
			break;
		usleep(10000);
	}
	EXPECT_EQ(wait_exit(start_process("drain", drain)), 0);
	EXPECT_EQ(read_log("drain"), first + first);
	EXPECT_EQ(wait_exit(start_process("other", other)), 1);
	EXPECT_NE(read_log("other").find("already has `drain = true`"),
		  std::string::npos);
}

/*
 * SIGTERM during a stream cuts it off. Must be the last test, since it stops
 * the entry and the agent.
 */
TEST_F(Daemons, ShutdownCompletesOpenStream)
{
	std::string req = post_request(completion_body(60, true));
	int fd = dial(port(10), 10);
	std::string got;

	send(fd, req.data(), req.size(), MSG_NOSIGNAL);
	got = FakeReceive(fd, "finish_reason");
	for (const char *name : { "entry-east", "engine-east" })
		kill(pids[name], SIGTERM);
	got += FakeReceive(fd, "[DONE]");
	close(fd);
	EXPECT_EQ(count(got, "\"finish_reason\":null"), 60u);
	EXPECT_EQ(count(got, "[DONE]"), 1u);
	for (const char *name : { "entry-east", "engine-east" }) {
		EXPECT_EQ(wait_exit(pids[name]), 0) << name;
		pids.erase(name);
	}
}
