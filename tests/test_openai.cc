// OpenAI-compatible API: request validation and response formats.
#include "pimentoford/openai.h"

#include <gtest/gtest.h>
#include <jansson.h>

#include <string>

namespace
{
const struct pf_oai_limits limits = { 4096, 100, 3 };

struct Case {
	const char *name;
	enum pf_oai_kind kind;
	std::string body;
	const char *code; /* NULL: accepted */
	const char *mentions; /* substring of the error or prompt */
};

const Case cases[] = {
	{ "plain", PF_OAI_COMPLETION, R"({"model":"m","prompt":"hi"})", NULL,
	  "hi" },
	{ "prompt in an array of one", PF_OAI_COMPLETION,
	  R"({"model":"m","prompt":["hi"]})", NULL, "hi" },
	{ "unknown fields", PF_OAI_COMPLETION,
	  R"({"model":"m","prompt":"hi","temperature":0.2,"n":1})", NULL,
	  "hi" },
	{ "chat", PF_OAI_CHAT,
	  R"({"model":"m","messages":[{"role":"user","content":"hi"}]})", NULL,
	  "<|user|>\nhi\n<|assistant|>\n" },
	{ "chat in parts", PF_OAI_CHAT,
	  R"({"model":"m","messages":[{"role":"user","content":
	  [{"type":"text","text":"a"},{"type":"text","text":"b"}]}]})",
	  NULL, "ab" },
	{ "empty", PF_OAI_COMPLETION, "", "invalid_json", "line" },
	{ "truncated", PF_OAI_COMPLETION, R"({"model":"m","prompt":"hi)",
	  "invalid_json", "line" },
	{ "two values", PF_OAI_COMPLETION, "{} {}", "invalid_json", "line" },
	{ "an array", PF_OAI_COMPLETION, "[]", "invalid_json", "object" },
	{ "duplicate key", PF_OAI_COMPLETION,
	  R"({"model":"m","model":"n","prompt":"hi"})", "invalid_json",
	  "duplicate" },
	{ "bad UTF-8", PF_OAI_COMPLETION,
	  "{\"model\":\"m\",\"prompt\":\"\xff\"}", "invalid_json",
	  "byte 0xff" },
	{ "overlong UTF-8", PF_OAI_COMPLETION,
	  "{\"model\":\"m\",\"prompt\":\"\xc0\x80\"}", "invalid_json",
	  "byte 0xc0" },
	{ "NUL", PF_OAI_COMPLETION, R"({"model":"m","prompt":"a\u0000"})",
	  "invalid_json", "u0000" },
	{ "too deep", PF_OAI_COMPLETION,
	  "{\"model\":\"m\",\"prompt\":" + std::string(100000, '['),
	  "invalid_json", "depth" },
	{ "no model", PF_OAI_COMPLETION, R"({"prompt":"hi"})",
	  "invalid_request", "`model`" },
	{ "model is a number", PF_OAI_COMPLETION,
	  R"({"model":1,"prompt":"hi"})", "invalid_request", "`model`" },
	{ "long model", PF_OAI_COMPLETION,
	  "{\"model\":\"" + std::string(300, 'm') + "\",\"prompt\":\"x\"}",
	  "invalid_request", "`model`" },
	{ "no prompt", PF_OAI_COMPLETION, R"({"model":"m"})", "invalid_request",
	  "`prompt`" },
	{ "empty prompt", PF_OAI_COMPLETION, R"({"model":"m","prompt":""})",
	  "invalid_request", "`prompt`" },
	{ "two prompts", PF_OAI_COMPLETION,
	  R"({"model":"m","prompt":["a","b"]})", "invalid_request",
	  "`prompt`" },
	{ "zero tokens", PF_OAI_COMPLETION,
	  R"({"model":"m","prompt":"x","max_tokens":0})", "invalid_request",
	  "1 to 4096" },
	{ "too many tokens", PF_OAI_COMPLETION,
	  R"({"model":"m","prompt":"x","max_tokens":4097})", "invalid_request",
	  "`max_tokens`" },
	{ "tokens as a fraction", PF_OAI_CHAT,
	  R"({"model":"m","messages":[],"max_completion_tokens":1.5})",
	  "invalid_request", "`max_completion_tokens`" },
	{ "n above one", PF_OAI_COMPLETION,
	  R"({"model":"m","prompt":"x","n":2})", "invalid_request", "`n`" },
	{ "stream is a string", PF_OAI_COMPLETION,
	  R"({"model":"m","prompt":"x","stream":"yes"})", "invalid_request",
	  "`stream`" },
	{ "no messages", PF_OAI_CHAT, R"({"model":"m","messages":[]})",
	  "invalid_request", "`messages`" },
	{ "too many messages", PF_OAI_CHAT,
	  R"({"model":"m","messages":[1,2,3,4]})", "invalid_request",
	  "1 to 3" },
	{ "unknown role", PF_OAI_CHAT,
	  R"({"model":"m","messages":[{"role":"boss","content":"x"}]})",
	  "invalid_request", "messages[0].role" },
	{ "message is a string", PF_OAI_CHAT,
	  R"({"model":"m","messages":["x"]})", "invalid_request",
	  "messages[0].role" },
	{ "an image", PF_OAI_CHAT,
	  R"({"model":"m","messages":[{"role":"user","content":
	  [{"type":"image_url"}]}]})",
	  "invalid_request", "content[0]" },
	{ "no content", PF_OAI_CHAT,
	  R"({"model":"m","messages":[{"role":"user"}]})", "invalid_request",
	  "content" },
};

json_t *json_of(const std::string &s)
{
	return json_loadb(s.data(), s.size(), 0, NULL);
}

std::string take(struct pf_text &t)
{
	std::string s(t.p ? t.p : "", t.n);

	pf_text_free(&t);
	return s;
}

const std::string special_chars = "a\"b\\c\n\t\r\x01\x1f é 漢 \x7f</script>";
} // namespace

TEST(OpenAi, InvalidBodiesAreRejectedWithAReason)
{
	for (const Case &c : cases) {
		struct pf_oai_request q;
		struct pf_oai_error err = {};
		int ret = pf_oai_parse(c.kind, { c.body.data(), c.body.size() },
				       &limits, &q, &err);

		EXPECT_EQ(ret, c.code ? -1 : 0)
			<< c.name << ": " << err.message;
		if (c.code) {
			EXPECT_STREQ(err.code, c.code) << c.name;
			EXPECT_NE(std::string(err.message).find(c.mentions),
				  std::string::npos)
				<< c.name << ": " << err.message;
			EXPECT_EQ(q.prompt, nullptr) << c.name;
		} else if (ret == 0) {
			EXPECT_NE(std::string(q.prompt, q.prompt_len)
					  .find(c.mentions),
				  std::string::npos)
				<< c.name;
			EXPECT_EQ(q.max_tokens, 100u) << c.name;
		}
		pf_oai_request_free(&q);
	}
}

TEST(OpenAi, ResponseBodyKeepsAnyTextUnchanged)
{
	for (enum pf_oai_kind kind : { PF_OAI_COMPLETION, PF_OAI_CHAT }) {
		struct pf_oai_response s;
		struct pf_oai_usage u = { 3, 4 };
		struct pf_text t = {};

		ASSERT_EQ(pf_oai_response_init(&s, kind, 7, PF_STR("m\"x"), 5),
			  0);
		pf_oai_response_body(
			&s, { special_chars.data(), special_chars.size() },
			true, &u, &t);
		json_t *root = json_of(take(t));

		ASSERT_NE(root, nullptr);
		json_t *choice =
			json_array_get(json_object_get(root, "choices"), 0);
		json_t *text =
			kind == PF_OAI_CHAT
				? json_object_get(json_object_get(choice,
								  "message"),
						  "content")
				: json_object_get(choice, "text");

		EXPECT_EQ(json_string_value(text), special_chars);
		EXPECT_STREQ(json_string_value(
				     json_object_get(choice, "finish_reason")),
			     "length");
		EXPECT_STREQ(json_string_value(json_object_get(root, "model")),
			     "m\"x");
		EXPECT_EQ(json_integer_value(json_object_get(
				  json_object_get(root, "usage"),
				  "total_tokens")),
			  7);
		json_decref(root);
		pf_oai_response_free(&s);
	}
}

/* Every event is JSON, except for the final [DONE]. */
TEST(OpenAi, StreamEventsAreJson)
{
	for (enum pf_oai_kind kind : { PF_OAI_COMPLETION, PF_OAI_CHAT }) {
		struct pf_oai_response s;
		struct pf_oai_usage u = { 3, 4 };
		struct pf_text t = {};
		std::string got, last;

		ASSERT_EQ(pf_oai_response_init(&s, kind, 7, PF_STR("m"), 5), 0);
		pf_oai_stream_start(&s, &t);
		pf_oai_stream_text(
			&s, { special_chars.data(), special_chars.size() }, &t);
		pf_oai_stream_text(&s, PF_STR("end"), &t);
		pf_oai_stream_end(&s, false, &u, &t);
		std::string all = take(t);

		for (size_t at = 0, end; at < all.size(); at = end + 2) {
			end = all.find("\n\n", at);
			ASSERT_NE(end, std::string::npos);
			ASSERT_EQ(all.compare(at, 6, "data: "), 0);
			last = all.substr(at + 6, end - at - 6);
			json_t *e = json_of(last);
			json_t *ch = json_array_get(
				json_object_get(e, "choices"), 0);
			const char *x = json_string_value(
				kind == PF_OAI_CHAT
					? json_object_get(
						  json_object_get(ch, "delta"),
						  "content")
					: json_object_get(ch, "text"));

			EXPECT_TRUE(e || last == "[DONE]") << last;
			got += x ? x : "";
			json_decref(e);
		}
		EXPECT_EQ(got, special_chars + "end");
		EXPECT_EQ(last, "[DONE]");
		pf_oai_response_free(&s);
	}
}

TEST(OpenAi, FailureBodyTellsWhetherTheRequestRan)
{
	const struct {
		enum pf_ran ran;
		const char *text;
	} rans[] = { { PF_NOT_RUN, "not_run" },
		     { PF_RAN, "ran" },
		     { PF_RAN_UNKNOWN, "unknown" } };

	for (auto &r : rans) {
		struct pf_oai_failure f =
			pf_oai_failure_of(PF_REASON_FULL, r.ran, 250);
		struct pf_text t = {};

		pf_oai_failure_body(&f, &t);
		json_t *root = json_of(take(t));
		json_t *e = json_object_get(root, "error");

		EXPECT_STREQ(json_string_value(json_object_get(e, "code")),
			     "full");
		EXPECT_STREQ(json_string_value(json_object_get(e, "ran")),
			     r.text);
		EXPECT_EQ(json_integer_value(
				  json_object_get(e, "retry_after_ms")),
			  250);
		json_decref(root);
	}
}

TEST(OpenAi, EveryReasonHasAnHttpStatus)
{
	for (int r = 1; r < PF_REASON_COUNT; r++) {
		int status = pf_oai_http_status((enum pf_reason)r);

		EXPECT_GE(status, 400) << r;
		EXPECT_NE(status, 500) << r;
	}
}
