// The platform adapter: encoding and decoding of headers, JSON and orders.
#include "platform/platform.h"

#include <gtest/gtest.h>
#include <string>

namespace
{

static struct pf_str Str(const std::string &s)
{
	return { s.data(), s.size() };
}

static std::string Text(const struct pf_text &t)
{
	return std::string(t.p ? t.p : "", t.n);
}

static const char kRequest[] = "POST /draft/x HTTP/1.1\r\n"
			       "Host: a.example\r\n"
			       "Attempt-Id: 9c41\r\n"
			       "Model: big/a3\r\n"
			       "Token-Usage: 1460,80\r\n"
			       "Prompt-Prefix: 5c1e:800, 91bd:410,e440:250\r\n"
			       "Deadline-Ms: 5000\r\n"
			       "Last-Event-Id: 12\r\n"
			       "Resumes: 5b07\r\n"
			       "Hold: 7\r\n"
			       "Kv-From: 10.0.0.1:1/x\r\n"
			       "Request-Priority: 0\r\n"
			       "Connection: keep-alive\r\n"
			       "X-Other: kept\r\n"
			       "Content-Length: 4\r\n\r\n";

TEST(Platform, DecodesARequest)
{
	std::string in = kRequest;
	struct pf_h1_head h;
	struct pf_inbound c;

	ASSERT_EQ(pf_h1_parse_request(Str(in), &h), 0);
	ASSERT_EQ(platform_decode_request(&h, &c), 0);
	EXPECT_EQ(std::string(c.id.p, c.id.n), "9c41");
	EXPECT_EQ(c.model, pf_id(PF_STR("big")));
	EXPECT_EQ(c.adapter, pf_adapter_id(c.model, PF_STR("a3")));
	EXPECT_EQ(c.prompt_tokens, 1460u);
	EXPECT_EQ(c.max_tokens, 80u);
	ASSERT_EQ(c.n_parts, 3u);
	EXPECT_EQ(c.parts[1].tokens, 410u);
	EXPECT_EQ(c.time_left, 5000);
	EXPECT_EQ(c.last_event, 12);
	EXPECT_EQ(std::string(c.resumes.p, c.resumes.n), "5b07");
	pf_inbound_clear(&c);
}

// Parts of a prompt beyond the twelfth were left out.
TEST(Platform, DecodesAllPartsOfAPrompt)
{
	const unsigned n = 1000;
	std::string in = "GET / HTTP/1.1\r\nHost: h\r\nPrompt-Prefix: ";
	struct pf_h1_head h;
	struct pf_inbound c;

	for (unsigned i = 0; i < n; i++)
		in += (i ? ",p" : "p") + std::to_string(i) + ":" +
		      std::to_string(i + 7);
	in += "\r\n\r\n";
	ASSERT_EQ(pf_h1_parse_request(Str(in), &h), 0);
	ASSERT_EQ(platform_decode_request(&h, &c), 0);
	ASSERT_EQ(c.n_parts, n);
	EXPECT_EQ(c.parts[n - 1].id, pf_id(PF_STR("p999")));
	EXPECT_EQ(c.parts[n - 1].tokens, n + 6);
	pf_inbound_clear(&c);
}

struct BadField {
	const char *name;
	const char *field;
};

class PlatformBadRequest : public ::testing::TestWithParam<BadField>
{
};

TEST_P(PlatformBadRequest, IsRejected)
{
	std::string in = std::string("GET / HTTP/1.1\r\nHost: a\r\n") +
			 GetParam().field + "\r\n\r\n";
	struct pf_h1_head h;
	struct pf_inbound c;

	ASSERT_EQ(pf_h1_parse_request(Str(in), &h), 0);
	EXPECT_EQ(platform_decode_request(&h, &c), -1);
}

INSTANTIATE_TEST_SUITE_P(
	Fields, PlatformBadRequest,
	::testing::Values(BadField{ "deadline", "Deadline-Ms: soon" },
			  BadField{ "tokens", "Token-Usage: many,3" },
			  BadField{ "prompt", "Prompt-Prefix: 5c1e" },
			  BadField{ "last_event", "Last-Event-Id: -1" }),
	[](const auto &i) { return std::string(i.param.name); });

TEST(Platform, ReplacesReservedHeaders)
{
	std::string in = kRequest;
	struct pf_forward f = { PF_STR("i-1"), 4200, 3, 15, 4 };
	struct pf_h1_head h;
	struct pf_text t = {};

	ASSERT_EQ(pf_h1_parse_request(Str(in), &h), 0);
	platform_encode_request(&h, &f, &t);
	std::string out = Text(t);
	pf_text_free(&t);
	EXPECT_EQ(out.find("POST /draft/x HTTP/1.1\r\n"), 0u);
	for (const char *kept :
	     { "Attempt-Id: 9c41\r\n", "Model: big/a3\r\n",
	       "Token-Usage: 1460,80\r\n", "X-Other: kept\r\n",
	       "Expect-Instance: i-1\r\n", "Deadline-Ms: 4200\r\n",
	       "Request-Priority: 3\r\n", "Last-Event-Id: 15\r\n",
	       "Content-Length: 4\r\n" })
		EXPECT_NE(out.find(kept), std::string::npos) << kept;
	for (const char *dropped :
	     { "Hold:", "Kv-From:", "Deadline-Ms: 5000", "Request-Priority: 0",
	       "Last-Event-Id: 12", "Connection:" })
		EXPECT_EQ(out.find(dropped), std::string::npos) << dropped;
}

struct ReplyCase {
	const char *name;
	const char *head;
	bool not_run;
	bool other_request;
	bool other_instance;
	pf_ms keep;
	bool leaving;
};

class PlatformReply : public ::testing::TestWithParam<ReplyCase>
{
};

TEST_P(PlatformReply, IsDecoded)
{
	const ReplyCase &c = GetParam();
	std::string in = std::string("HTTP/1.1 ") + c.head + "\r\n\r\n";
	struct pf_h1_head h;
	struct pf_reply r;

	ASSERT_EQ(pf_h1_parse_response(Str(in), &h), 0);
	platform_decode_reply(&h, PF_STR("9c41"), &r);
	EXPECT_EQ(r.not_run, c.not_run);
	EXPECT_EQ(r.other_request, c.other_request);
	EXPECT_EQ(r.other_instance, c.other_instance);
	EXPECT_EQ(r.keep_alive, c.keep);
	EXPECT_EQ(r.leaving, c.leaving);
}

INSTANTIATE_TEST_SUITE_P(
	Heads, PlatformReply,
	::testing::Values(ReplyCase{ "ours", "200 OK\r\nAttempt-Id: 9c41",
				     false, false, false, -1, false },
			  ReplyCase{ "stray", "200 OK\r\nAttempt-Id: 77", false,
				     true, false, -1, false },
			  ReplyCase{ "full", "503 Full\r\nNot-Run: 1", true,
				     false, false, -1, false },
			  ReplyCase{ "failed", "503 Failed\r\nAttempt-Id: 9c41",
				     false, false, false, -1, false },
			  ReplyCase{ "elsewhere", "421 Misdirected", true,
				     false, true, -1, false },
			  ReplyCase{ "keep",
				     "200 OK\r\nKeep-Alive: max=3, timeout=5",
				     false, false, false, 5000, false },
			  ReplyCase{ "leaving", "200 OK\r\nServer-Leaving: 1",
				     false, false, false, -1, true },
			  ReplyCase{ "leaving_full",
				     "503 Full\r\nServer-Leaving: 1\r\n"
				     "Not-Run: 1",
				     true, false, false, -1, true },
			  ReplyCase{ "not_leaving",
				     "200 OK\r\nServer-Leaving: 0", false,
				     false, false, -1, false }),
	[](const auto &i) { return std::string(i.param.name); });

struct LimitCase {
	const char *name;
	const char *field; /* empty: none */
	double per_s;
	bool bad;
};

class PlatformLimit : public ::testing::TestWithParam<LimitCase>
{
};

TEST_P(PlatformLimit, IsDecoded)
{
	const LimitCase &c = GetParam();
	std::string in = std::string("HTTP/1.1 200 OK\r\n") + c.field + "\r\n";
	struct pf_h1_head h;
	struct pf_reply r;

	ASSERT_EQ(pf_h1_parse_response(Str(in), &h), 0);
	platform_decode_reply(&h, PF_STR("9c41"), &r);
	EXPECT_DOUBLE_EQ(r.limit_per_s, c.per_s);
	EXPECT_EQ(r.bad_limit, c.bad);
}

#define LIMIT(v) "Server-Limit: " v "\r\n"

INSTANTIATE_TEST_SUITE_P(
	Values, PlatformLimit,
	::testing::Values(LimitCase{ "None", "", -1, false },
			  LimitCase{ "Whole", LIMIT("3"), 3, false },
			  LimitCase{ "Decimal", LIMIT("1.25"), 1.25, false },
			  LimitCase{ "BelowOne", LIMIT("0.5"), 0.5, false },
			  LimitCase{ "Zero", LIMIT("0"), 0, false },
			  LimitCase{ "Huge", LIMIT("99999999999999999999"), 1e6,
				     false },
			  LimitCase{ "Negative", LIMIT("-1"), -1, true },
			  LimitCase{ "Exponent", LIMIT("1e3"), -1, true },
			  LimitCase{ "Word", LIMIT("few"), -1, true },
			  LimitCase{ "Empty", LIMIT(""), -1, true }),
	[](const auto &i) { return std::string(i.param.name); });

struct RetryAfterCase {
	const char *name;
	const char *field; /* empty: none */
	pf_ms value;
	bool bad;
};

class PlatformRetryAfter : public ::testing::TestWithParam<RetryAfterCase>
{
};

TEST_P(PlatformRetryAfter, IsDecoded)
{
	const RetryAfterCase &c = GetParam();
	std::string in =
		std::string("HTTP/1.1 503 Full\r\n") + c.field + "\r\n";
	struct pf_h1_head h;
	struct pf_reply r;

	ASSERT_EQ(pf_h1_parse_response(Str(in), &h), 0);
	platform_decode_reply(&h, PF_STR("9c41"), &r);
	EXPECT_EQ(r.retry_after, c.value);
	EXPECT_EQ(r.bad_retry_after, c.bad);
}

#define RA(v) "Retry-After: " v "\r\n"

INSTANTIATE_TEST_SUITE_P(
	Values, PlatformRetryAfter,
	::testing::Values(
		RetryAfterCase{ "none", "", -1, false },
		RetryAfterCase{ "whole", RA("2"), 2000, false },
		RetryAfterCase{ "fraction", RA("0.25"), 250, false },
		RetryAfterCase{ "rounded_up", RA("0.0301"), 31, false },
		RetryAfterCase{ "zero", RA("0"), 0, false },
		RetryAfterCase{ "year", RA("31536000"), 1000000000, false },
		RetryAfterCase{ "overflow", RA("99999999999999999999999999"),
				1000000000, false },
		RetryAfterCase{ "negative", RA("-1"), -1, true },
		RetryAfterCase{ "exponent", RA("1e3"), -1, true },
		RetryAfterCase{ "not_finite", RA("inf"), -1, true },
		RetryAfterCase{ "two_points", RA("1.2.3"), -1, true },
		RetryAfterCase{ "point", RA("."), -1, true },
		RetryAfterCase{ "words", RA("soon"), -1, true },
		RetryAfterCase{ "date", RA("Fri, 31 Dec 2027 23:59:59 GMT"), -1,
				true }),
	[](const auto &i) { return std::string(i.param.name); });

static const char kConfig[] =
	"{\"version\":7,\"routes\":["
	"{\"host\":\"h\",\"prefix\":\"/a/\",\"kind\":\"stream\","
	"\"resumable\":true,\"timeout_ms\":6000,\"slo_ms\":800,"
	"\"gap_aim_ms\":400,\"priority\":1,\"max_attempts\":2,"
	"\"split\":[{\"service\":\"s\",\"weight\":90},"
	"{\"service\":\"p\",\"weight\":10}]},"
	"{\"host\":\"h\",\"prefix\":\"/a/b/\",\"kind\":\"unsafe\","
	"\"service\":\"p\"},"
	"{\"host\":\"h\",\"prefix\":\"/c/\",\"kind\":\"new\","
	"\"service\":\"p\"}],"
	"\"services\":[{\"name\":\"p\",\"max_conns\":100},"
	"{\"name\":\"s\",\"engine\":{\"slots\":64,\"kv_capacity\":1000,"
	"\"stride\":4,\"weights_mb\":200000.0,\"adapter_slots\":8,"
	"\"loads_per_s\":2.1,\"models\":[{\"name\":\"big\","
	"\"weights_mb\":65099.9,\"load_s\":5.8,\"warm_s\":0.6,"
	"\"disk_s\":1.2,\"adapters\":3,\"adapter_mb\":12}]}}],"
	"\"limits\":{\"max_body_bytes\":4096,\"idle_timeout_ms\":15000}}";

TEST(Platform, DecodesAConfiguration)
{
	struct platform_config none = {}, c;
	struct pf_key_seeds seeds = {};
	const char *why;

	ASSERT_EQ(platform_decode_config(PF_STR(kConfig), &seeds, &none, &c,
					 &why),
		  0)
		<< why;
	const struct pf_routes *r = c.routes;
	EXPECT_EQ(c.keys, nullptr);
	EXPECT_EQ(r->version, 7u);
	const struct pf_route *route =
		pf_routes_find(r, PF_STR("h"), PF_STR("/a/x"));
	ASSERT_NE(route, nullptr);
	EXPECT_EQ(route->kind, PF_ROUTE_RESUMABLE);
	EXPECT_EQ(route->n_splits, 2u);
	EXPECT_EQ(route->latency_objective, 800);
	route = pf_routes_find(r, PF_STR("h"), PF_STR("/a/b/c"));
	ASSERT_NE(route, nullptr);
	EXPECT_EQ(route->kind, PF_ROUTE_UNSAFE);
	// An unknown kind is unsafe.
	route = pf_routes_find(r, PF_STR("h"), PF_STR("/c/"));
	ASSERT_NE(route, nullptr);
	EXPECT_EQ(route->kind, PF_ROUTE_UNSAFE);
	EXPECT_EQ(pf_routes_find(r, PF_STR("h"), PF_STR("/d/")), nullptr);
	EXPECT_EQ(pf_routes_find(r, PF_STR("g"), PF_STR("/a/x")), nullptr);
	const struct pf_route_service *s =
		pf_routes_find_service(r, pf_id(PF_STR("s")));
	ASSERT_NE(s, nullptr);
	EXPECT_EQ(s->tokens_per_event, 4u);
	ASSERT_EQ(s->n_models, 1u);
	EXPECT_EQ(s->models[0].disk_load_time, 1200);
	EXPECT_EQ(r->limits.body_bytes_max, 4096);
	platform_config_clear(&c);
}

struct SplitCase {
	const char *name;
	std::vector<double> weights;
	uint32_t used;
};

class PlatformSplit : public ::testing::TestWithParam<SplitCase>
{
};

// A configuration with a route that was split over nine services, or with
// weights below 1, was rejected as a whole.
TEST_P(PlatformSplit, OverAnyNumberOfServicesIsDecoded)
{
	const SplitCase &p = GetParam();
	struct platform_config none = {}, c;
	struct pf_key_seeds seeds = {};
	const char *why;
	std::string json = "{\"version\":1,\"routes\":[{\"host\":\"h\","
			   "\"prefix\":\"/\",\"kind\":\"safe\",\"split\":[";

	for (size_t i = 0; i < p.weights.size(); i++)
		json += std::string(i ? "," : "") + "{\"service\":\"s" +
			std::to_string(i) +
			"\",\"weight\":" + std::to_string(p.weights[i]) + "}";
	json += "]}]}";
	ASSERT_EQ(platform_decode_config(Str(json), &seeds, &none, &c, &why), 0)
		<< why;
	const struct pf_route *r =
		pf_routes_find(c.routes, PF_STR("h"), PF_STR("/x"));
	ASSERT_NE(r, nullptr);
	ASSERT_EQ(r->n_splits, p.used);
	for (uint32_t i = 0; i < r->n_splits; i++)
		EXPECT_GT(r->splits[i].weight, 0);
	platform_config_clear(&c);
}

INSTANTIATE_TEST_SUITE_P(
	Weights, PlatformSplit,
	::testing::Values(SplitCase{ "one", { 1 }, 1 },
			  SplitCase{ "eight", std::vector<double>(8, 10), 8 },
			  SplitCase{ "nine", std::vector<double>(9, 10), 9 },
			  SplitCase{ "three_hundred",
				     std::vector<double>(300, 1), 300 },
			  SplitCase{ "fractions", { 0.9, 0.1 }, 2 },
			  SplitCase{ "large", { 3e9, 3e9 }, 2 },
			  SplitCase{ "one_without_weight", { 0, 5 }, 1 }),
	[](const auto &i) { return std::string(i.param.name); });

TEST(Platform, RejectsAnUnreadableConfiguration)
{
	struct platform_config none = {}, c;
	struct pf_key_seeds seeds = {};
	const char *why;

	for (const char *json :
	     { "{}", "\x01", "{\"version\":1,\"routes\":[{}]}" }) {
		EXPECT_EQ(platform_decode_config(pf_str_c(json), &seeds, &none,
						 &c, &why),
			  -1)
			<< json;
		EXPECT_EQ(c.routes, nullptr);
		EXPECT_NE(why, nullptr);
	}
}

struct EndpointCase {
	const char *name;
	const char *json;
	int ret;
};

class PlatformEndpoint : public ::testing::TestWithParam<EndpointCase>
{
};

TEST_P(PlatformEndpoint, IsDecodedOrRejected)
{
	const EndpointCase &c = GetParam();
	struct pf_endpoint_info l;
	const char *why;

	EXPECT_EQ(platform_decode_endpoint(PF_STR("i-1"), Str(c.json), &l,
					   &why),
		  c.ret);
	pf_endpoint_info_clear(&l);
}

#define ENDPOINT_ROW(service, address, zone, slots, state, other_fields)  \
	"{\"service\":" service ",\"address\":" address ",\"zone\":" zone \
	",\"slots\":" slots ",\"state\":" state other_fields "}"

INSTANTIATE_TEST_SUITE_P(
	Entries, PlatformEndpoint,
	::testing::Values(
		EndpointCase{ "ready",
			      ENDPOINT_ROW("\"s\"", "\"1.2.3.4:5\"", "\"z\"",
					   "64", "\"ready\"",
					   ",\"seq\":4,\"born\":17"),
			      0 },
		EndpointCase{ "draining",
			      ENDPOINT_ROW("\"s\"", "\"1.2.3.4:5\"", "\"z\"",
					   "64", "\"draining\"",
					   ",\"remaining_ms\":1800"),
			      0 },
		EndpointCase{ "other_state",
			      ENDPOINT_ROW("\"s\"", "\"1.2.3.4:5\"", "\"z\"",
					   "64", "\"odd\"", ""),
			      -1 },
		EndpointCase{ "service_number",
			      ENDPOINT_ROW("3", "\"1.2.3.4:5\"", "\"z\"", "64",
					   "\"ready\"", ""),
			      -1 },
		EndpointCase{ "slots_text",
			      ENDPOINT_ROW("\"s\"", "\"1.2.3.4:5\"", "\"z\"",
					   "\"64\"", "\"ready\"", ""),
			      -1 },
		EndpointCase{ "models_text",
			      ENDPOINT_ROW("\"s\"", "\"1.2.3.4:5\"", "\"z\"",
					   "64", "\"ready\"",
					   ",\"models\":\"m\""),
			      -1 },
		EndpointCase{ "version",
			      ENDPOINT_ROW("\"s\"", "\"1.2.3.4:5\"", "\"z\"",
					   "64", "\"ready\"",
					   ",\"version\":\"v1.2\""),
			      0 },
		EndpointCase{ "version_number",
			      ENDPOINT_ROW("\"s\"", "\"1.2.3.4:5\"", "\"z\"",
					   "64", "\"ready\"", ",\"version\":1"),
			      -1 },
		EndpointCase{ "no_address", "{\"service\":\"s\"}", -1 },
		EndpointCase{ "bytes", "\xff\xfe", -1 },
		EndpointCase{ "empty", "", -1 }),
	[](const auto &i) { return std::string(i.param.name); });

static uint64_t SoftwareOf(const std::string &service,
			   const std::string &version)
{
	std::string row = "{\"service\":\"" + service +
			  "\",\"address\":\"1.2.3.4:5\",\"zone\":\"z\","
			  "\"slots\":64,\"state\":\"ready\"" +
			  version + "}";
	struct pf_endpoint_info e;
	uint64_t software = 0;
	const char *why;

	if (platform_decode_endpoint(PF_STR("i-1"), Str(row), &e, &why) == 0)
		software = e.software;
	pf_endpoint_info_clear(&e);
	return software;
}

TEST(Platform, VersionsOfTwoServicesAreDifferentSoftware)
{
	uint64_t v1 = SoftwareOf("s", ",\"version\":\"v1\"");

	EXPECT_NE(v1, 0u);
	EXPECT_EQ(SoftwareOf("s", ",\"version\":\"v1\""), v1);
	EXPECT_NE(SoftwareOf("s", ",\"version\":\"v1.1\""), v1);
	EXPECT_NE(SoftwareOf("t", ",\"version\":\"v1\""), v1);
	EXPECT_NE(SoftwareOf("s", ""), v1);
}

TEST(Platform, DecodesAReport)
{
	static const char json[] =
		"{\"stage\":\"unified\",\"born\":5,\"seq\":3,\"busy\":true,"
		"\"models\":[{\"name\":\"m\",\"version\":1,"
		"\"adapters\":[\"a1\"]}],\"coming\":[\"m/a2@1\"],"
		"\"running\":2,\"queued\":1,\"kv_used\":10,\"kv_total\":20,"
		"\"at_hand\":{\"in_memory\":[\"n\"],\"on_disk\":[\"n\"]}}";
	struct pf_engine_report r;
	uint64_t m = pf_id(PF_STR("m"));

	ASSERT_EQ(platform_decode_report(PF_STR(json), &r), 0);
	EXPECT_EQ(r.orders_accepted, 3u);
	EXPECT_TRUE(r.busy);
	ASSERT_EQ(r.n_items, 3u);
	EXPECT_NE(pf_engine_report_find(&r, m, 0), nullptr);
	const struct pf_engine_report_item *it =
		pf_engine_report_find(&r, m, pf_adapter_id(m, PF_STR("a2")));
	ASSERT_NE(it, nullptr);
	EXPECT_TRUE(it->loading);
	EXPECT_EQ(r.n_on_disk, 1u);
	pf_engine_report_clear(&r);
	EXPECT_EQ(platform_decode_report(PF_STR("{\"seq\":\"x\"}"), &r), -1);
}

TEST(Platform, EncodesAnOrder)
{
	struct platform_order o = { true, "m", "a1", 7, "n-1", 3 };
	struct pf_text t = {};

	platform_encode_order(&o, &t);
	EXPECT_EQ(Text(t), "{\"op\":\"load\",\"model\":\"m\",\"adapter\":\"a1\""
			   ",\"expected\":7,\"holder\":\"n-1\",\"fence\":3}");
	pf_text_free(&t);
	EXPECT_EQ(platform_decode_order_status(202), PLATFORM_ORDER_ACCEPTED);
	EXPECT_EQ(platform_decode_order_status(409), PLATFORM_ORDER_CONFLICT);
	EXPECT_EQ(platform_decode_order_status(421), PLATFORM_ORDER_REFUSED);
}

} // namespace
