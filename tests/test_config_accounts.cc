// Client accounts of the configuration: decoding, errors, and the form in which
// gateways pass them on.
#include "platform/platform.h"

#include <gtest/gtest.h>

#include <cstring>
#include <string>

namespace
{

// Decodes one version after the other, as a gateway does.
struct Config {
	struct pf_key_seeds seeds = {};
	struct platform_config c = {};
	std::string why;

	explicit Config(unsigned char salt = 1)
	{
		memset(seeds.salt.b, salt, sizeof(seeds.salt.b));
		memset(seeds.secret.b, salt + 1, sizeof(seeds.secret.b));
	}
	~Config()
	{
		platform_config_clear(&c);
	}
	static std::string Json(const std::string &accounts)
	{
		return "{\"version\":1,\"routes\":[{\"host\":\"h\",\"prefix\":"
		       "\"/\",\"kind\":\"safe\",\"service\":\"p\"}],"
		       "\"services\":[{\"name\":\"p\"}],\"tenants\":" +
		       accounts + "}";
	}
	int Decode(const std::string &json)
	{
		struct platform_config next;
		const char *reason = nullptr;
		int ret = platform_decode_config({ json.data(), json.size() },
						 &seeds, &c, &next, &reason);

		why = reason ? reason : "";
		if (ret < 0)
			return ret;
		platform_config_clear(&c);
		c = next;
		return 0;
	}
	int Accounts(const std::string &list)
	{
		return Decode(Json(list));
	}
	// Name of the account; empty: unknown key.
	std::string Find(const std::string &key) const
	{
		uint64_t id = 0;

		if (!c.keys || pf_client_keys_find(
				       c.keys, { key.data(), key.size() }, &id))
			return "error";
		const struct pf_client_account *a =
			pf_routes_find_account(c.routes, id);
		return a ? a->name : "";
	}
	const struct pf_client_account *Account(const char *name) const
	{
		return pf_routes_find_account(c.routes, pf_id(pf_str_c(name)));
	}
	std::string Places() const
	{
		std::string s;

		for (size_t i = 0; i < c.findings.n; i++)
			s += (i ? " " : "") +
			     std::string(c.findings.v[i].place);
		return s;
	}
	std::string Encode(const std::string &json) const
	{
		struct pf_text t = {};

		EXPECT_EQ(platform_encode_config({ json.data(), json.size() },
						 &c, &t),
			  0);
		std::string s(t.p ? t.p : "", t.n);
		pf_text_free(&t);
		return s;
	}
};

TEST(ConfigAccounts, AreDecoded)
{
	Config c;

	ASSERT_EQ(c.Accounts("[{\"name\":\"a\",\"api_keys\":[\"k1\",\"k2\"],"
			     "\"priority\":2,\"unit\":\"tokens\","
			     "\"plain_tokens\":700,\"rate_per_s\":18000.5,"
			     "\"burst\":20000},"
			     "{\"name\":\"b\",\"api_keys\":[\"k3\"],"
			     "\"unit\":\"other\"},{\"name\":\"c\"}]"),
		  0)
		<< c.why;
	EXPECT_EQ(c.Places(), "");
	EXPECT_EQ(c.c.routes->n_accounts, 3u);
	EXPECT_EQ(pf_client_keys_count(c.c.keys), 3u);
	EXPECT_EQ(c.Find("k1") + c.Find("k2") + c.Find("k3"), "aab");
	EXPECT_EQ(c.Find("k4"), "");
	const struct pf_client_account *a = c.Account("a");
	ASSERT_NE(a, nullptr);
	EXPECT_EQ(a->priority, 2);
	EXPECT_EQ(a->limit.unit, PF_ALLOWANCE_TOKENS);
	EXPECT_EQ(a->limit.plain_tokens, 700u);
	EXPECT_EQ(a->limit.rate_per_s, 18000.5);
	EXPECT_EQ(a->limit.burst, 20000);
	const struct pf_client_account *b = c.Account("b");
	ASSERT_NE(b, nullptr);
	EXPECT_EQ(b->priority, -1);
	EXPECT_EQ(b->limit.unit, PF_ALLOWANCE_REQUESTS);
	EXPECT_EQ(b->limit.rate_per_s, 0);
	EXPECT_FALSE(c.c.routes->routes[0].is_public);
}

TEST(ConfigAccounts, RoutesMayBePublic)
{
	Config c;

	ASSERT_EQ(c.Decode("{\"version\":1,\"routes\":[{\"host\":\"h\","
			   "\"prefix\":\"/\",\"kind\":\"safe\",\"service\":"
			   "\"p\",\"public\":true}]}"),
		  0);
	EXPECT_TRUE(c.c.routes->routes[0].is_public);
}

TEST(ConfigAccounts, WithoutAccountsNoKeyIsNeeded)
{
	for (const char *none : { "[]", "null" }) {
		Config c;

		ASSERT_EQ(c.Accounts(none), 0);
		EXPECT_EQ(c.c.keys, nullptr) << none;
		EXPECT_EQ(c.Encode("text"), "text");
	}
}

// In force: a with k1 and b with k2. The second version changes a to `entry`,
// b to the key k3, and adds c with k4.
struct BadCase {
	const char *name;
	const char *entry;
	const char *place; /* of the first finding */
	const char *account_of_k1; /* afterwards */
};

class ConfigBadAccount : public ::testing::TestWithParam<BadCase>
{
};

TEST_P(ConfigBadAccount, KeepsWhatWasInForce)
{
	const BadCase &p = GetParam();
	Config c;

	ASSERT_EQ(c.Accounts("[{\"name\":\"a\",\"api_keys\":[\"k1\"],"
			     "\"rate_per_s\":5,\"priority\":3},"
			     "{\"name\":\"b\",\"api_keys\":[\"k2\"]}]"),
		  0);
	ASSERT_EQ(c.Accounts(std::string("[") + p.entry +
			     ",{\"name\":\"b\",\"api_keys\":[\"k3\"]},"
			     "{\"name\":\"c\",\"api_keys\":[\"k4\"]}]"),
		  0)
		<< c.why;
	EXPECT_EQ(c.Places().substr(0, c.Places().find(' ')), p.place);
	EXPECT_EQ(c.Find("k1"), p.account_of_k1);
	// Neither keys nor limits of a bad entry come into force.
	EXPECT_EQ(c.Find("new"), "");
	if (*p.account_of_k1) {
		EXPECT_EQ(c.Account("a")->limit.rate_per_s, 5);
		EXPECT_EQ(c.Account("a")->priority, 3);
	}
	// Nothing else is lost.
	EXPECT_EQ(c.Find("k2"), "");
	EXPECT_EQ(c.Find("k3") + c.Find("k4"), "bc");
	EXPECT_EQ(c.c.routes->n_routes, 1u);
	EXPECT_EQ(c.c.routes->n_services, 1u);
}

INSTANTIATE_TEST_SUITE_P(
	Entries, ConfigBadAccount,
	::testing::Values(
		BadCase{ "no_object", "7", "tenants[0]", "" },
		BadCase{ "no_name", "{\"api_keys\":[\"new\"]}",
			 "tenants[0].name", "" },
		BadCase{ "empty_name", "{\"name\":\"\",\"api_keys\":[\"new\"]}",
			 "tenants[0].name", "" },
		BadCase{ "name_is_number",
			 "{\"name\":4,\"api_keys\":[\"new\"]}",
			 "tenants[0].name", "" },
		BadCase{ "name_with_line_end",
			 "{\"name\":\"a\\r\\nHold: 1\",\"api_keys\":[\"new\"]}",
			 "tenants[0].name", "" },
		BadCase{ "name_twice",
			 "{\"name\":\"a\",\"api_keys\":[\"new\"]},"
			 "{\"name\":\"a\",\"api_keys\":[\"new2\"]}",
			 "tenants[0].name", "a" },
		BadCase{ "keys_no_list",
			 "{\"name\":\"a\",\"api_keys\":\"new\"}",
			 "tenants[0].api_keys", "a" },
		BadCase{ "key_is_number",
			 "{\"name\":\"a\",\"api_keys\":[\"new\",7]}",
			 "tenants[0].api_keys[1]", "a" },
		BadCase{ "key_is_empty",
			 "{\"name\":\"a\",\"api_keys\":[\"\",\"new\"]}",
			 "tenants[0].api_keys[0]", "a" },
		BadCase{ "key_twice_in_one",
			 "{\"name\":\"a\",\"api_keys\":[\"new\",\"new\"]}",
			 "tenants[0].api_keys", "a" },
		BadCase{ "key_twice_in_two",
			 "{\"name\":\"a\",\"api_keys\":[\"new\"]},"
			 "{\"name\":\"d\",\"api_keys\":[\"new\"]}",
			 "tenants[0].api_keys", "a" },
		BadCase{ "rate_negative",
			 "{\"name\":\"a\",\"api_keys\":[\"new\"],"
			 "\"rate_per_s\":-1}",
			 "tenants[0].rate_per_s", "a" },
		BadCase{ "burst_is_text",
			 "{\"name\":\"a\",\"api_keys\":[\"new\"],"
			 "\"burst\":\"9\"}",
			 "tenants[0].burst", "a" },
		BadCase{ "plain_is_bool",
			 "{\"name\":\"a\",\"api_keys\":[\"new\"],"
			 "\"plain_tokens\":true}",
			 "tenants[0].plain_tokens", "a" },
		BadCase{ "plain_too_large",
			 "{\"name\":\"a\",\"api_keys\":[\"new\"],"
			 "\"plain_tokens\":5000000000}",
			 "tenants[0].plain_tokens", "a" }),
	[](const auto &i) { return std::string(i.param.name); });

// Nothing in force: no valid key, rather than an open door.
TEST(ConfigAccounts, ABadAccountThatIsNewHasNoKey)
{
	for (const char *list :
	     { "[{\"name\":\"a\",\"api_keys\":[\"k\",\"\"]}]",
	       "[{\"api_keys\":[\"k\"]}]", "{}", "7" }) {
		Config c;

		ASSERT_EQ(c.Accounts(list), 0) << list;
		ASSERT_NE(c.c.keys, nullptr) << list;
		EXPECT_EQ(pf_client_keys_count(c.c.keys), 0u) << list;
		EXPECT_NE(c.Places(), "") << list;
	}
}

TEST(ConfigAccounts, AllRemainIfTheListIsNone)
{
	Config c;

	c.Accounts("[{\"name\":\"a\",\"api_keys\":[\"k\"]}]");
	ASSERT_EQ(c.Accounts("{}"), 0);
	EXPECT_EQ(c.Find("k"), "a");
	EXPECT_EQ(c.Places(), "tenants");
}

TEST(ConfigAccounts, AKeyThatMovedIsNotKeptByABadEntry)
{
	Config c;

	c.Accounts("[{\"name\":\"a\",\"api_keys\":[\"k\",\"k1\"]}]");
	ASSERT_EQ(c.Accounts("[{\"name\":\"a\",\"api_keys\":[],\"burst\":-1},"
			     "{\"name\":\"b\",\"api_keys\":[\"k\"]}]"),
		  0);
	EXPECT_EQ(c.Find("k"), "b");
	EXPECT_EQ(c.Find("k1"), "a");
}

TEST(ConfigAccounts, ABadPriorityIsUnset)
{
	for (const char *p : { "-1", "1.5", "\"2\"", "true" }) {
		Config c;

		c.Accounts("[{\"name\":\"a\",\"api_keys\":[\"k\"],"
			   "\"priority\":" +
			   std::string(p) + "}]");
		EXPECT_EQ(c.Find("k"), "a") << p;
		EXPECT_EQ(c.Account("a")->priority, -1) << p;
		EXPECT_EQ(c.Places(), "tenants[0].priority") << p;
	}
}

TEST(ConfigAccounts, AllKeysMayBeRevoked)
{
	Config c;

	c.Accounts("[{\"name\":\"a\",\"api_keys\":[\"k\"]}]");
	ASSERT_EQ(c.Accounts("[{\"name\":\"a\",\"api_keys\":[]}]"), 0);
	EXPECT_EQ(c.Places(), "");
	EXPECT_EQ(c.Find("k"), "");
}

// A configuration with more than 1,024 accounts was rejected as a whole.
TEST(ConfigAccounts, MayBeThousands)
{
	const int n = 3000;
	std::string list;
	Config c;

	for (int i = 0; i < n; i++)
		list += (i ? ",{\"name\":\"a" : "[{\"name\":\"a") +
			std::to_string(i) + "\",\"api_keys\":[\"k" +
			std::to_string(i) + "\"]}";
	ASSERT_EQ(c.Accounts(list + "]"), 0) << c.why;
	for (int i = 0; i < n; i++)
		ASSERT_EQ(c.Find("k" + std::to_string(i)),
			  "a" + std::to_string(i));
}

static std::string ManyKeys(uint32_t n)
{
	std::string s = "[{\"name\":\"a\",\"api_keys\":[\"k0\"";

	for (uint32_t i = 1; i < n; i++)
		s += ",\"k" + std::to_string(i) + "\"";
	return s + "]}]";
}

TEST(ConfigAccounts, TooManyKeysAreRejectedAsAWhole)
{
	Config c;

	ASSERT_EQ(c.Accounts(ManyKeys(PF_CLIENT_KEYS_MAX)), 0) << c.why;
	EXPECT_EQ(c.Find("k" + std::to_string(PF_CLIENT_KEYS_MAX - 1)), "a");
	EXPECT_EQ(c.Accounts(ManyKeys(PF_CLIENT_KEYS_MAX + 1)), -1);
	EXPECT_EQ(c.why, "too many keys");
	// Retained keys and new ones together.
	EXPECT_EQ(c.Accounts("[{\"name\":\"a\",\"burst\":-1},"
			     "{\"name\":\"b\",\"api_keys\":[\"new\"]}]"),
		  -1);
}

// A peer that got the configuration from another gateway.
TEST(ConfigAccounts, ArePassedOnWithoutKeys)
{
	Config first(1), second(7), third(9);
	std::string json = Config::Json(
		"[{\"name\":\"a\",\"api_keys\":[\"clear-key-1\"],\"priority\":"
		"4,"
		"\"unit\":\"tokens\",\"plain_tokens\":7,\"rate_per_s\":2.5,"
		"\"burst\":3},{\"name\":\"b\",\"api_keys\":\"clear-key-2\"},"
		"{\"api_keys\":[\"clear-key-3\"]}]");

	ASSERT_EQ(first.Decode(json), 0);
	std::string passed = first.Encode(json);
	EXPECT_EQ(passed.find("clear-key"), std::string::npos) << passed;
	second.Accounts("[{\"name\":\"a\",\"api_keys\":[\"older\"]}]");
	ASSERT_EQ(second.Decode(passed), 0) << second.why;
	// And on to a third.
	ASSERT_EQ(third.Decode(second.Encode(passed)), 0) << third.why;
	for (Config *c : { &second, &third }) {
		EXPECT_EQ(c->Places(), "");
		EXPECT_EQ(c->Find("clear-key-1"), "a");
		EXPECT_EQ(c->Find("older"), "");
		EXPECT_EQ(c->Find("clear-key-2"), "");
		EXPECT_EQ(c->c.routes->n_routes, 1u);
		const struct pf_client_account *a = c->Account("a");
		ASSERT_NE(a, nullptr);
		EXPECT_EQ(a->priority, 4);
		EXPECT_EQ(a->limit.unit, PF_ALLOWANCE_TOKENS);
		EXPECT_EQ(a->limit.plain_tokens, 7u);
		EXPECT_EQ(a->limit.rate_per_s, 2.5);
		EXPECT_EQ(a->limit.burst, 3);
		EXPECT_EQ(c->Account("b")->priority, -1);
	}
	// What came from a peer stays if the next version has an error.
	ASSERT_EQ(second.Accounts("[{\"name\":\"a\",\"burst\":-1}]"), 0);
	EXPECT_EQ(second.Find("clear-key-1"), "a");
}

// Passed on, a list without any named account must not open the gateway.
TEST(ConfigAccounts, NoAccountInForceIsPassedOnToo)
{
	Config first, second;
	std::string json = Config::Json("[{\"api_keys\":[\"k\"]}]");

	ASSERT_EQ(first.Decode(json), 0);
	ASSERT_EQ(second.Decode(first.Encode(json)), 0) << second.why;
	EXPECT_NE(second.c.keys, nullptr);
}

} // namespace
