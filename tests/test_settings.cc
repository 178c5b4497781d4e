// Settings of the daemons, logger, counters.
#include "pimentoford/counters.h"
#include "pimentoford/log.h"
#include "pimentoford/settings.h"

#include <gtest/gtest.h>

#include <fstream>
#include <map>
#include <set>
#include <sstream>
#include <string>

static std::string take_findings(struct pf_findings *f)
{
	std::string s;

	for (size_t i = 0; i < f->n; i++)
		s += std::string(f->v[i].place) + ": " + f->v[i].text + "\n";
	pf_findings_clear(f);
	return s;
}

TEST(Settings, ExamplesLoad)
{
	struct pf_entry_settings e = {};
	struct pf_agent_settings a = {};
	struct pf_findings f = {};

	e.core.depth = 9;
	EXPECT_EQ(pf_settings_load(&pf_entry_form,
				   "deployments/example/entry.toml", &e, &f),
		  0)
		<< take_findings(&f);
	EXPECT_EQ(pf_common_settings_check(&e.common, "entry.toml", &f), 0);
	EXPECT_STREQ(e.common.name, "entry-east-1");
	EXPECT_EQ(e.http.body, 1 << 20);
	EXPECT_EQ(e.http.write, 30000);
	EXPECT_EQ(e.core.requests_max, 4096u);
	EXPECT_EQ(e.core.depth, 9u); // not in the file: keeps the default
	ASSERT_EQ(e.peers.n, 1u);
	EXPECT_STREQ(e.peers.v[0], "127.0.0.1:7101");
	EXPECT_EQ(pf_settings_load(&pf_agent_form,
				   "deployments/example/agent.toml", &a, &f),
		  0)
		<< take_findings(&f);
	EXPECT_EQ(a.core.kv_policy, PF_KV_SAFE);
	pf_fields_free(&pf_entry_form, &e);
	pf_fields_free(&pf_agent_form, &a);
}

// Drops the sections of @s whose name has no value, and the marks of the others.
static void fill_sections(std::string &s,
			  const std::map<std::string, std::string> &values)
{
	size_t at;

	while ((at = s.find("{{#")) != std::string::npos) {
		size_t end = s.find("}}\n", at);
		std::string name = s.substr(at + 3, end - at - 3);
		std::string close = "{{/" + name + "}}\n";
		size_t last = s.find(close, end);

		ASSERT_NE(last, std::string::npos) << name;
		if (values.count(name)) {
			s.erase(last, close.size());
			s.erase(at, end + 3 - at);
		} else {
			s.erase(at, last + close.size() - at);
		}
	}
}

// The template of @path with a value for each placeholder but those in @absent.
static std::string fill_template(const std::string &path,
				 const std::set<std::string> &absent = {})
{
	std::map<std::string, std::string> values = {
		{ "node", "n1" },
		{ "zone", "za" },
		{ "region", "east" },
		{ "platform.address", "127.0.0.1:1" },
		{ "listen.front", "127.0.0.1:2" },
		{ "listen.ready", "127.0.0.1:3" },
		{ "ip", "127.0.0.1" },
		{ "port_range.0", "4" },
		{ "app", "127.0.0.1:5" },
		{ "bounds.grace_s", "8" },
		{ "limits.cpu_share", "0.09" },
		{ "bounds.ceiling_window_s", "5" },
		{ "bounds.ceiling_over", "1.1" },
		{ "bounds.budget_ratio", "0.2" },
		{ "bounds.budget_slack", "54" },
		{ "bounds.budget_window_s", "10" },
		{ "bounds.quota_window_s", "8" },
		{ "bounds.quota_over", "0.1" },
		{ "bounds.quota_slack", "72000" },
		{ "zones", "" },
		{ "@", "za" },
		{ ".", "east" },
	};
	std::stringstream text;
	std::string s;
	size_t at;

	for (const std::string &name : absent)
		values.erase(name);
	text << std::ifstream(path).rdbuf();
	s = text.str();
	fill_sections(s, values);
	while ((at = s.find("{{")) != std::string::npos) {
		size_t end = s.find("}}", at);
		std::string name = s.substr(at + 2, end - at - 2);

		EXPECT_EQ(values.count(name), 1u) << path << ": " << name;
		if (!values.count(name))
			break;
		s.replace(at, end + 2 - at, values.at(name));
	}
	return s;
}

// A gateway with a fraction as its retry budget did not start.
TEST(Settings, ARetryBudgetMayBeAFraction)
{
	struct pf_gateway_settings g = {};
	struct pf_findings f = {};
	std::string text = fill_template("deploy/gateway.toml.in");
	const std::string whole = "repeat_slack = 54";

	ASSERT_NE(text.find(whole), std::string::npos);
	text.replace(text.find(whole), whole.size(), "repeat_slack = 47.37");
	EXPECT_EQ(pf_settings_read(&pf_gateway_form,
				   { text.data(), text.size() }, "gateway", &g,
				   &f),
		  0)
		<< take_findings(&f);
	EXPECT_EQ(g.core.repeat_slack, 47.37);
	pf_fields_free(&pf_gateway_form, &g);
}

TEST(Settings, DeployTemplatesHaveOnlyKnownKeys)
{
	struct pf_gateway_settings g = {};
	struct pf_loader_settings l = {};
	struct pf_findings f = {};
	std::string text = fill_template("deploy/gateway.toml.in");

	EXPECT_EQ(pf_settings_read(&pf_gateway_form,
				   { text.data(), text.size() }, "gateway", &g,
				   &f),
		  0)
		<< take_findings(&f);
	EXPECT_EQ(g.drain, 8000);
	EXPECT_EQ(g.cores, 0.09);
	EXPECT_EQ(g.load_window, 5000);
	EXPECT_EQ(g.core.repeat_slack, 54);
	EXPECT_EQ(g.zones.n, 1u);
	EXPECT_EQ(g.allowance.window, 8000);
	EXPECT_EQ(g.allowance.over, 0.1);
	EXPECT_EQ(g.allowance.slack, 72000);
	text = fill_template("deploy/loader.toml.in");
	EXPECT_EQ(pf_settings_read(&pf_loader_form,
				   { text.data(), text.size() }, "loader", &l,
				   &f),
		  0)
		<< take_findings(&f);
	EXPECT_STREQ(l.backend, "127.0.0.1:5");
	pf_fields_free(&pf_gateway_form, &g);
	pf_fields_free(&pf_loader_form, &l);
}

// A deployment without client accounts renders no bounds for their allowances.
TEST(Settings, AllowancesAreOffWithoutTheirBounds)
{
	struct pf_gateway_settings g = {};
	struct pf_findings f = {};
	std::string text =
		fill_template("deploy/gateway.toml.in",
			      { "bounds.quota_window_s", "bounds.quota_over",
				"bounds.quota_slack" });

	EXPECT_EQ(pf_settings_read(&pf_gateway_form,
				   { text.data(), text.size() }, "gateway", &g,
				   &f),
		  0)
		<< take_findings(&f);
	EXPECT_EQ(g.allowance.window, 0);
	EXPECT_EQ(g.zones.n, 1u);
	pf_fields_free(&pf_gateway_form, &g);
}

TEST(Settings, AllFindingsAreReportedAtOnce)
{
	struct pf_entry_settings e = {};
	struct pf_findings f = {};

	EXPECT_EQ(pf_settings_read(&pf_entry_form,
				   PF_STR("name = \"e\"\nzone = 3\n"
					  "listen = \"localhost:80\"\n"
					  "colour = \"red\"\n"
					  "http = 4\n"
					  "[core]\nroute = \"best\"\n"
					  "retries = 3\n"),
				   "e.toml", &e, &f),
		  -1);
	EXPECT_EQ(pf_common_settings_check(&e.common, "e.toml", &f), -1);
	std::string got = take_findings(&f);

	for (const char *want :
	     { "e.toml:2 zone: has a wrong value; allowed: a name",
	       "e.toml:1 region: is missing", "e.toml:1 platform: is missing",
	       "e.toml:1 rpc: is missing",
	       "e.toml:3 listen: has a wrong value; allowed: \"IP:PORT\"",
	       "e.toml:4 colour: is an unknown key",
	       "e.toml:5 http: must be a table",
	       "e.toml:7 core.route: has a wrong value; allowed: one of "
	       "ours|round_robin|least_load|two_choices",
	       "e.toml:8 core.retries: is an unknown key",
	       "e.toml: exactly one of key and key_file" })
		EXPECT_NE(got.find(want), std::string::npos) << want << "\n"
							     << got;
	pf_fields_free(&pf_entry_form, &e);
	EXPECT_EQ(pf_settings_load(&pf_entry_form, "/no/such", &e, &f), -1);
	EXPECT_NE(take_findings(&f).find("/no/such: can't be read"),
		  std::string::npos);
}

TEST(Log, QuotesValuesAndTruncatesLines)
{
	struct pf_log l = { 2, PF_LOG_INFO, "entry" };
	struct pf_log_kv kv[] = { PF_KV_STR("event", "ready"),
				  PF_KV_INT("n", -3), PF_KV_REAL("x", 0.5),
				  PF_KV_STR("why", "a \"b\"\n\x01"),
				  PF_KV_STR("empty", "") };
	char buf[256];
	size_t n = pf_log_format(&l, PF_LOG_WARN, 1500, kv, 5, buf, 256);

	EXPECT_EQ(std::string(buf, n),
		  "ts=1970-01-01T00:00:01.500Z level=warn task=entry "
		  "event=ready n=-3 x=0.5 why=\"a \\\"b\\\"\\n\\x01\" "
		  "empty=\"\"\n");
	n = pf_log_format(&l, PF_LOG_WARN, 1500, kv, 5, buf, 20);
	EXPECT_EQ(std::string(buf, n), "ts=1970-01-01T00:00\n");
}

TEST(Counters, RenderAsPrometheusText)
{
	struct pf_entry_counters c = {};
	struct pf_text t = {};

	c.v[PF_EC_REQUESTS] += 41;
	c.v[PF_EC_REQUESTS]++;
	pf_entry_counters_text(&c, &t);
	EXPECT_NE(std::string(t.p).find(
			  "# TYPE pimento_entry_requests_total counter\n"
			  "pimento_entry_requests_total 42\n"),
		  std::string::npos);
	pf_text_free(&t);
}
