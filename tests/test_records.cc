// Records: findings and their places, canonical text, configurations, models by
// share, formats of sizes, durations and addresses.
#include "pimentoford/records.h"
#include "pimentoford/text.h"
#include "pimentoford/fields.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

static const std::string digest(64, 'a');

static std::string caller(const std::string &name, char hex,
			  const std::string &more = "")
{
	return "[[caller]]\nschema = 1\nname = \"" + name +
	       "\"\nkey_sha256 = \"" + std::string(64, hex) + "\"\n" + more;
}

static std::string model(const std::string &name, const std::string &gib)
{
	return "[[model]]\nschema = 1\nname = \"" + name +
	       "\"\nversion = \"1\"\nweights = \"" + gib +
	       "GiB\"\nkv_token = \"1KiB\"\nmax_context = 1024\n";
}

static std::string engine(const std::string &name, int port, const char *memory)
{
	std::string p = std::to_string(port), q = std::to_string(port + 100);

	return "[[endpoint]]\nschema = 1\nname = \"" + name +
	       "\"\nkind = \"engine\"\nagent = \"127.0.0.1:" + p +
	       "\"\nbackend = \"127.0.0.1:" + q +
	       "\"\nzone = \"a\"\nregion = \"r\"\nmemory = \"" + memory +
	       "\"\n";
}

static std::string adapter(const char *name, const char *of, const char *size)
{
	return std::string("[[adapter]]\nschema = 2\nname = \"") + name +
	       "\"\nmodel = \"" + of + "\"\nsize = \"" + size + "\"\n";
}

static std::string versions(int a, int b, const char *second = "2")
{
	std::string s = "[[model]]\nschema = 2\nname = \"m\"\n";
	std::string rest = "weights = \"1GiB\"\nkv_token = \"1KiB\"\n";

	s += "[[model.version]]\nversion = \"1\"\n" + rest +
	     "share = " + std::to_string(a) + "\n";
	return s + "[[model.version]]\nversion = \"" + second + "\"\n" + rest +
	       "share = " + std::to_string(b) + "\n";
}

static std::string all(const struct pf_findings &f)
{
	std::string s;

	for (size_t i = 0; i < f.n; i++)
		s += std::string(f.v[i].place) + ": " + f.v[i].text + "\n";
	return s;
}

static struct pf_str str(const std::string &s)
{
	return { s.data(), s.size() };
}

// Returns the findings of a set, one per line.
static std::string findings_of(const std::string &toml,
			       struct pf_config **out = nullptr)
{
	struct pf_records set = {};
	struct pf_findings f = {};
	struct pf_config *c = nullptr;

	if (pf_records_parse(str(toml), "a.toml", &set, &f) == 0)
		pf_records_build(&set, 7, &f, &c);
	std::string s = all(f);

	EXPECT_EQ(c == nullptr, pf_findings_any(&f)) << s;
	pf_findings_clear(&f);
	pf_records_free(&set);
	if (out)
		*out = c;
	else
		pf_config_free(c);
	return s;
}

TEST(Records, EachErrorIsAFindingWithItsPlace)
{
	const struct {
		std::string toml;
		std::vector<const char *> want;
	} cases[] = {
		{ "x = ", { "a.toml:1: is not TOML" } },
		{ "[[model]\n", { "a.toml:1: is not TOML" } },
		{ "\n[[modle]]\nname = \"x\"\n",
		  { "a.toml:2 modle: is an unknown kind" } },
		{ "[model]\nschema = 1\n",
		  { "a.toml:1 model: must be written as [[model]]" } },
		{ "[[model]]\nname = \"x\"\n",
		  { "a.toml:1 model.schema: is missing; allowed: an integer "
		    "from 1 to 2" } },
		{ "[[model]]\nschema = 3\n",
		  { "a.toml:2 model.schema: has a wrong value" } },
		// All findings of one record are reported together.
		{ "[[model]]\nschema = 1\nname = \"a b\"\nversion = 1\n"
		  "weights = \"16Gib\"\nsize = 3\n",
		  { "a.toml:3 model.name: has a wrong value; allowed: a name",
		    "a.toml:4 model.version: has a wrong value",
		    "a.toml:5 model.weights: has a wrong value; allowed: a "
		    "size such as \"16GiB\"",
		    "a.toml:1 model.kv_token: is missing",
		    "a.toml:6 model.size: is an unknown key" } },
		{ "[[model]]\nschema = 2\nname = \"x\"\n",
		  { "a.toml:1 model.version: is missing" } },
		{ versions(50, 40),
		  { "model m: shares of its versions sum to "
		    "90; allowed: 100" } },
		{ versions(50, 50, "1"), { "model m: has version 1 twice" } },
		{ versions(50, 101),
		  { "a.toml:13 model.version.share: has a "
		    "wrong value" } },
		{ caller("c", 'a', "expect.first = \"1s\"\n"),
		  { "caller.expect: is an unknown key" } },
		{ "[[caller]]\nschema = 2\nname = \"c\"\nkey_sha256 = \"" +
			  digest + "\"\nexpect.frist = \"1s\"\n",
		  { "a.toml:5 caller.expect.frist: is an unknown key" } },
		{ caller("c", 'a', "first = 1400\n"),
		  { "a.toml:5 caller.first: has a wrong value; allowed: a "
		    "duration" } },
		{ caller("c", 'a', "first = \"25h\"\n"),
		  { "a.toml:5 caller.first: has a wrong value" } },
		{ caller("c", 'A'),
		  { "caller.key_sha256: has a wrong value; "
		    "allowed: 64 lower-case" } },
		{ caller("c", 'a', "priority = 4\n"),
		  { "caller.priority: has a wrong value; allowed: an integer "
		    "from 0 to 3" } },
		{ caller("c", 'a') + caller("c", 'b'),
		  { "a.toml:5 caller c: is given twice, first at a.toml:1" } },
		{ caller("c", 'a') + caller("d", 'a'),
		  { "a.toml:5 caller d: has the key_sha256 of c" } },
		{ caller("c", 'a', "models = [\"no\"]\n"),
		  { "a.toml:1 caller c: models: no isn't declared" } },
		{ adapter("ad", "no", "1MiB"),
		  { "a.toml:1 adapter no:ad: model no isn't declared" } },
		{ "[[endpoint]]\nschema = 1\nname = \"e\"\nkind = \"engine\"\n"
		  "agent = \"host:1\"\nbackend = \"127.0.0.1:0\"\n"
		  "zone = \"z\"\nregion = \"r\"\n",
		  { "a.toml:5 endpoint.agent: has a wrong value; allowed: "
		    "\"IP:PORT\"",
		    "a.toml:6 endpoint.backend: has a wrong value" } },
		{ engine("e", 1000, "0B"),
		  { "endpoint: memory must be given" } },
		{ "[[endpoint]]\nschema = 1\nname = \"e\"\nkind = \"plain\"\n"
		  "agent = \"127.0.0.1:1\"\nbackend = \"[::1]:2\"\n"
		  "zone = \"z\"\nregion = \"r\"\nservice = \"s\"\n",
		  { "endpoint e: service s isn't declared" } },
		{ engine("e", 1000, "9GiB") + engine("f", 1000, "9GiB"),
		  { "a.toml:10 endpoint f: has the agent of e",
		    "has the backend of e" } },
		{ model("m", "4"), { "model m@1: fits no engine endpoint" } },
		{ model("m", "4") + engine("e", 1000, "4GiB"),
		  { "model m@1: fits no engine endpoint" } },
		// Each model fits alone, but not both together.
		{ model("m", "4") + model("n", "4") + engine("e", 1000, "9GiB"),
		  { "has no home" } },
		{ model("m", "4") + adapter("a", "m", "4GiB") +
			  engine("e", 1000, "9GiB"),
		  { "model m@1: has no home" } },
	};

	for (const auto &t : cases) {
		std::string got = findings_of(t.toml);
		size_t lines = (size_t)std::count(got.begin(), got.end(), '\n');

		EXPECT_EQ(lines, t.want.size()) << t.toml << got;
		for (const char *w : t.want)
			EXPECT_NE(got.find(w), std::string::npos)
				<< t.toml << "wanted " << w << "\ngot " << got;
	}
}

TEST(Records, BothSchemasGiveTheSameConfig)
{
	struct pf_config *c;
	std::string flat = caller("c", 'a', "first = \"2s\"\nwhole = \"1m\"\n");
	std::string nested = "[[caller]]\nschema = 2\nname = \"d\"\n"
			     "key_sha256 = \"" +
			     std::string(64, 'b') +
			     "\"\n[caller.expect]\nfirst = \"2s\"\n"
			     "whole = \"1m\"\n";

	ASSERT_EQ(findings_of(flat + nested, &c), "");
	const struct pf_caller *x = pf_config_caller(c, pf_id(PF_STR("c")));
	const struct pf_caller *y =
		pf_config_caller_by_key(c, str(std::string(64, 'b')));

	ASSERT_TRUE(x && y);
	EXPECT_STREQ(y->name, "d");
	EXPECT_EQ(x->first_token_objective_ms, 2000);
	EXPECT_EQ(x->first_token_objective_ms, y->first_token_objective_ms);
	EXPECT_EQ(x->answer_objective_ms, 60000);
	EXPECT_EQ(x->token_gap_objective_ms, y->token_gap_objective_ms);
	EXPECT_EQ(x->priority, 2);
	EXPECT_EQ(pf_config_caller_by_key(c, PF_STR("zz")), nullptr);
	pf_config_free(c);
}

TEST(Records, ExampleBuildsAndItsCanonicalTextRoundTrips)
{
	std::ifstream in("deployments/example/records.toml");
	std::stringstream text;
	struct pf_records a = {}, b = {};
	struct pf_findings f = {};
	struct pf_text t = {}, u = {};
	struct pf_config *c;
	int diffs = 0;

	text << in.rdbuf();
	ASSERT_EQ(pf_records_parse(str(text.str()), "x", &a, &f), 0) << all(f);
	ASSERT_EQ(a.n, 9u);
	pf_records_text(&a, &t);
	ASSERT_EQ(pf_records_parse(pf_text_str(&t), "y", &b, &f), 0)
		<< t.p << all(f);
	pf_records_text(&b, &u);
	EXPECT_STREQ(t.p, u.p);
	pf_records_diff(
		&a, &b,
		[](void *n, const struct pf_record *,
		   const struct pf_record *) { ++*(int *)n; },
		&diffs);
	EXPECT_EQ(diffs, 0);
	ASSERT_EQ(pf_records_build(&b, 3, &f, &c), 0) << all(f);
	EXPECT_EQ(c->revision, 3u);
	EXPECT_EQ(c->n_models, 3u);
	const struct pf_service *s =
		pf_config_service(c, pf_id(PF_STR("registry")));

	ASSERT_TRUE(s);
	EXPECT_TRUE(
		pf_service_repeatable(s, PF_STR("GET"), PF_STR("/balances/7")));
	EXPECT_FALSE(pf_service_repeatable(s, PF_STR("POST"),
					   PF_STR("/retirements")));
	EXPECT_FALSE(pf_service_repeatable(s, PF_STR("GET"),
					   PF_STR("/balancesheet")));
	pf_config_free(c);
	pf_text_free(&t);
	pf_text_free(&u);
	pf_records_free(&a);
	pf_records_free(&b);
}

TEST(Records, CanonicalTextOfUnusualNumbersRoundTrips)
{
	const char *rates[] = { "0.1", "3", "1e5", "0.30000000000000004" };
	const char *sizes[] = { "1", "\"1.5KiB\"", "\"3MB\"", "\"2TiB\"" };

	for (const char *rate : rates) {
		for (const char *size : sizes) {
			std::string s =
				caller("c", 'a',
				       std::string("rate = ") + rate + "\n") +
				"[[adapter]]\nschema = 1\nname = \"a\"\n"
				"model = \"m\"\nsize = " +
				size + "\n";
			struct pf_records a = {}, b = {};
			struct pf_findings f = {};
			struct pf_text t = {}, u = {};

			if (std::string(size) == "\"2TiB\"") {
				EXPECT_EQ(pf_records_parse(str(s), "x", &a, &f),
					  -1);
				pf_records_free(&a);
				pf_findings_clear(&f);
				continue;
			}
			ASSERT_EQ(pf_records_parse(str(s), "x", &a, &f), 0)
				<< all(f);
			pf_records_text(&a, &t);
			ASSERT_EQ(pf_records_parse(pf_text_str(&t), "y", &b,
						   &f),
				  0)
				<< t.p << all(f);
			pf_records_text(&b, &u);
			EXPECT_STREQ(t.p, u.p);
			pf_text_free(&t);
			pf_text_free(&u);
			pf_records_free(&a);
			pf_records_free(&b);
		}
	}
}

TEST(Records, VersionIsPickedByItsShare)
{
	struct pf_config *c;
	uint64_t m, a, v1 = pf_id(PF_STR("m@1")), v2 = pf_id(PF_STR("m@2"));
	const struct {
		const char *name;
		double draw;
		int rc;
		uint64_t model;
	} cases[] = {
		{ "m", 0.0, 0, v1 },    { "m", 0.29, 0, v1 },
		{ "m", 0.30, 0, v2 },   { "m", 0.999, 0, v2 },
		{ "m:ad", 0.5, 0, v2 }, { "m:no", 0.5, -1, 0 },
		{ "no", 0.5, -1, 0 },   { "", 0.5, -1, 0 },
		{ ":ad", 0.5, -1, 0 },
	};

	ASSERT_EQ(findings_of(versions(30, 70) + adapter("ad", "m", "1MiB") +
				      engine("e", 1000, "9GiB"),
			      &c),
		  "");
	for (int indexed = 1; indexed >= 0; indexed--) {
		struct pf_config bare = *c;

		if (!indexed)
			bare.index = nullptr;
		for (const auto &t : cases) {
			int rc = pf_config_resolve(&bare, pf_str_c(t.name),
						   t.draw, &m, &a);

			ASSERT_EQ(rc, t.rc) << t.name;
			if (rc == 0) {
				EXPECT_EQ(m, t.model) << t.name << t.draw;
			}
		}
	}
	pf_config_free(c);
}

TEST(Toml, ReadsSizesDurationsAndAddresses)
{
	const struct {
		const char *text;
		int64_t size, ms;
		bool addr;
	} cases[] = {
		{ "16GiB", 17179869184, -1, false },
		{ "1.5KiB", 1536, -1, false },
		{ "0.3B", -1, -1, false },
		{ "1.4s", -1, 1400, false },
		{ "2m", -1, 120000, false },
		{ "0x10s", -1, -1, false },
		{ "-1s", -1, -1, false },
		{ "s", -1, -1, false },
		{ "", -1, -1, false },
		{ "99999999999999999d", -1, -1, false },
		{ "127.0.0.1:80", -1, -1, true },
		{ "[::1]:80", -1, -1, true },
		{ "::1:80", -1, -1, false },
		{ "127.0.0.1:65536", -1, -1, false },
		{ "localhost:80", -1, -1, false },
	};

	for (const auto &t : cases) {
		int64_t v = -1;

		if (pf_size_parse(pf_str_c(t.text), &v) < 0)
			v = -1;
		EXPECT_EQ(v, t.size) << t.text;
		if (pf_duration_parse(pf_str_c(t.text), &v) < 0)
			v = -1;
		EXPECT_EQ(v, t.ms) << t.text;
		EXPECT_EQ(pf_addr_valid(pf_str_c(t.text)), t.addr) << t.text;
	}
}
