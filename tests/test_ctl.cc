// pimentoctl without an entry: usage, record file findings, exit codes.
#include <gtest/gtest.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <string>
#include <sys/wait.h>

static int run_ctl(const std::string &args, std::string *out)
{
	const char *build = getenv("PF_BUILD");
	std::string cmd = std::string(build ? build : "build") +
			  "/pimentoctl " + args + " 2>&1";
	FILE *p = popen(cmd.c_str(), "r");
	char buf[4096];
	size_t n;

	out->clear();
	while ((n = fread(buf, 1, sizeof(buf), p)) > 0)
		out->append(buf, n);
	return WEXITSTATUS(pclose(p));
}

TEST(Ctl, ExitCodeAndMessageOfEachError)
{
	std::string bad = testing::TempDir() + "bad.toml", out;
	// Nothing listens on port 1.
	const std::string no_entry = "-e 127.0.0.1:1 ";

	std::ofstream(bad) << "[[adapter]]\nschema = 1\nname = \"a\"\n";
	const struct {
		std::string args;
		int code;
		std::string want;
	} cases[] = {
		{ "--help", 0, "drain ENDPOINT" },
		{ "--version", 0, "pimentoctl " },
		{ "", 2, "no command" },
		{ "frob", 2, "unknown command" },
		{ "get model", 2, "usage: get KIND NAME" },
		{ "get tree x", 2, "unknown kind of record: tree" },
		{ "-e host:1 list", 2, "--entry host:1 is not IP:PORT" },
		{ "--id 'a b' apply x", 2, "--id must be" },
		{ "-k /no/such list", 2, "--key-file /no/such can't be read" },
		{ no_entry + "apply /no/such", 2, "/no/such: can't be read" },
		{ no_entry + "apply " + bad, 2,
		  "bad.toml:1 adapter.model: is missing" },
		{ no_entry + "diff " + bad, 2, "adapter.size: is missing" },
		{ no_entry + "list", 3, "no answer" },
		{ no_entry + "--id x1 apply deployments/example/records.toml",
		  3, "id=x1 outcome=unknown" },
		{ no_entry + "drain e", 3, "send it again with --id ch-" },
	};

	for (const auto &t : cases) {
		EXPECT_EQ(run_ctl(t.args, &out), t.code) << t.args << "\n"
							 << out;
		EXPECT_NE(out.find(t.want), std::string::npos) << t.args << "\n"
							       << out;
	}
}
