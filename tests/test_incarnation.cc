// Incarnation numbers of agents, as processes, with a store that is restored.
#include "tests/fake_http.h"

#include <fcntl.h>
#include <glib.h>
#include <gtest/gtest.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <memory>
#include <string>

namespace
{
std::string base64(const std::string &s)
{
	gchar *text = g_base64_encode((const guchar *)s.data(), s.size());
	std::string out = text;

	g_free(text);
	return out;
}

struct Incarnation : ::testing::Test {
	std::string era; /* stated in each answer; empty: none */
	std::string last; /* number in the agent's row; empty: no row */
	std::unique_ptr<FakeServer> store;
	std::string dir;
	pid_t pid = -1;

	void SetUp() override
	{
		char tmpl[] = "/tmp/pf-incarnation-XXXXXX";

		dir = mkdtemp(tmpl);
		store = std::make_unique<FakeServer>(
			"127.0.0.1", [this](int fd, const FakeRequest &r) {
				return answer(fd, r);
			});
	}
	void TearDown() override
	{
		stop_agent();
		store.reset();
		EXPECT_EQ(system(("rm -r " + dir).c_str()), 0);
	}
	bool answer(int fd, const FakeRequest &r)
	{
		std::string rows, body = "{\"ver\":8}";

		if (r.target.find("agent") != std::string::npos &&
		    !last.empty())
			rows = "{\"table\":\"pimentoford\",\"part\":\"table\","
			       "\"key\":\"agent/a\",\"value\":\"" +
			       base64(last) + "\",\"ver\":7}";
		if (r.method == "GET")
			body = "{\"rows\":[" + rows +
			       "],\"has_more\":false,\"ver\":8}";
		FakeSend(fd,
			 "HTTP/1.1 200 OK\r\nContent-Length: " +
				 std::to_string(body.size()) + "\r\n" +
				 (era.empty() ? ""
					      : "Store-Era: " + era + "\r\n") +
				 "\r\n" + body);
		return true;
	}
	void start_agent()
	{
		const char *build = getenv("PF_BUILD");
		std::string program =
			std::string(build ? build : "build") + "/pimento-agent";
		std::string settings = dir + "/a.toml";
		int port = 11000 + getpid() % 9000;

		std::ofstream(settings)
			<< "name = \"a\"\nzone = \"z\"\nregion = \"r\"\n"
			   "key = \"a deployment key\"\nplatform = \""
			<< store->addr() << "\"\nlisten = \"127.0.0.1:" << port
			<< "\"\nmetrics = \"127.0.0.1:" << port + 1
			<< "\"\nbackend = \"127.0.0.1:1\"\n";
		pid = fork();
		if (pid == 0) {
			int fd = open((dir + "/log").c_str(),
				      O_CREAT | O_WRONLY | O_APPEND, 0600);

			dup2(fd, 2);
			execl(program.c_str(), program.c_str(), "--settings",
			      settings.c_str(), (char *)nullptr);
			_exit(127);
		}
	}
	void stop_agent()
	{
		if (pid < 0)
			return;
		kill(pid, SIGKILL);
		waitpid(pid, nullptr, 0);
		pid = -1;
	}
	/* The number that a starting agent writes; empty: none within 5 s. */
	std::string written()
	{
		size_t seen = store->seen().size();

		start_agent();
		for (int i = 0; i < 500; i++) {
			auto all = store->seen();

			for (size_t k = seen; k < all.size(); k++) {
				size_t at = all[k].body.find("\"set_keys\"");
				const std::string name = "\"value\":\"";

				if (at == std::string::npos)
					continue;
				at = all[k].body.find(name, at) + name.size();
				stop_agent();
				return decode(all[k].body.substr(
					at, all[k].body.find('"', at) - at));
			}
			usleep(10000);
		}
		stop_agent();
		return "";
	}
	static std::string decode(const std::string &text)
	{
		gsize n;
		guchar *p = g_base64_decode(text.c_str(), &n);
		std::string out((char *)p, n);

		g_free(p);
		return out;
	}
};

/* A restarted agent took the number of one whose row a restore had lost. */
TEST_F(Incarnation, IsNotReusedAfterARestore)
{
	const struct {
		const char *era, *last, *next;
	} cases[] = {
		{ "", "", "1" },
		{ "", "7", "8" },
		{ "0", "7", "8" },
		{ "2", "", "131073" },
		{ "2", "65540", "131073" }, /* the lost row had 65541 */
		{ "2", "131073", "131074" },
		{ "x", "7", "8" },
		{ "999999999999", "7", "4294901761" }, /* 32 bits */
	};

	for (auto &c : cases) {
		era = c.era;
		last = c.last;
		EXPECT_EQ(written(), c.next) << c.era << " " << c.last;
	}
}
} // namespace
