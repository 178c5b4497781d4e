// HTTP/1.1 heads and bodies: parsing, and rejection of ambiguous framing.
#include "pimentoford/http1.h"

#include <gtest/gtest.h>
#include <string>

namespace
{

static struct pf_str S(const std::string &s) {
	return { s.data(), s.size() };
}

struct RequestCase {
	const char *name;
	const char *head;
	int ret;
	const char *target;
	int64_t length;
	bool chunked;
	bool close;
};

class Request : public ::testing::TestWithParam<RequestCase>
{
};

TEST_P(Request, IsParsedOrRejected)
{
	const RequestCase &c = GetParam();
	std::string in = c.head;
	struct pf_h1_head h;

	ASSERT_EQ(pf_h1_head_end(S(in)), in.size());
	ASSERT_EQ(pf_h1_parse_request(S(in), &h), c.ret);
	if (c.ret < 0)
		return;
	EXPECT_EQ(std::string(h.target.p, h.target.n), c.target);
	EXPECT_EQ(h.content_length, c.length);
	EXPECT_EQ(h.chunked, c.chunked);
	EXPECT_EQ(h.close, c.close);
}

INSTANTIATE_TEST_SUITE_P(
	Heads, Request,
	::testing::Values(
		RequestCase{ "plain", "GET /a?b HTTP/1.1\r\nHost: x\r\n\r\n", 0,
			     "/a?b", -1, false, false },
		RequestCase{ "length",
			     "POST / HTTP/1.1\r\nContent-Length: 12\r\n\r\n", 0,
			     "/", 12, false, false },
		RequestCase{ "chunked",
			     "POST / HTTP/1.1\r\ntransfer-encoding: "
			     "chunked\r\n\r\n",
			     0, "/", -1, true, false },
		RequestCase{ "close",
			     "GET / HTTP/1.1\r\nConnection: x, Close\r\n\r\n",
			     0, "/", -1, false, true },
		RequestCase{ "old_version", "GET / HTTP/1.0\r\n\r\n", 0, "/",
			     -1, false, true },
		RequestCase{ "length_and_chunks",
			     "POST / HTTP/1.1\r\nContent-Length: 1\r\n"
			     "Transfer-Encoding: chunked\r\n\r\n",
			     -1, "", 0, false, false },
		RequestCase{ "two_lengths",
			     "POST / HTTP/1.1\r\nContent-Length: 1\r\n"
			     "Content-Length: 2\r\n\r\n",
			     -1, "", 0, false, false },
		RequestCase{ "signed_length",
			     "POST / HTTP/1.1\r\nContent-Length: +1\r\n\r\n",
			     -1, "", 0, false, false },
		RequestCase{ "space_before_colon",
			     "GET / HTTP/1.1\r\nHost : x\r\n\r\n", -1, "", 0,
			     false, false },
		RequestCase{ "folded",
			     "GET / HTTP/1.1\r\nA: b\r\n c: d\r\n\r\n", -1, "",
			     0, false, false },
		RequestCase{ "bare_line_feed",
			     "GET / HTTP/1.1\r\nA: b\nC: d\r\n\r\n", -1, "", 0,
			     false, false },
		RequestCase{ "other_coding",
			     "POST / HTTP/1.1\r\nTransfer-Encoding: gzip, "
			     "chunked\r\n\r\n",
			     -1, "", 0, false, false },
		RequestCase{ "absolute_target",
			     "GET http://x/ HTTP/1.1\r\n\r\n", -1, "", 0, false,
			     false },
		RequestCase{ "other_version", "GET / HTTP/2.0\r\n\r\n", -1, "",
			     0, false, false }),
	[](const auto &i) { return std::string(i.param.name); });

TEST(Response, StatusLineIsParsed)
{
	std::string in = "HTTP/1.1 503 Service Unavailable\r\n"
			 "Content-Length: 0\r\n\r\n";
	struct pf_h1_head h;

	ASSERT_EQ(pf_h1_parse_response(S(in), &h), 0);
	EXPECT_EQ(h.status, 503);
	EXPECT_EQ(std::string(h.reason_phrase.p, h.reason_phrase.n),
		  "Service Unavailable");
	EXPECT_EQ(pf_h1_parse_response(S("HTTP/1.1 2x0 OK\r\n\r\n"), &h), -1);
	EXPECT_EQ(pf_h1_parse_response(S("garbage\r\n\r\n"), &h), -1);
}

struct BodyCase {
	const char *name;
	enum pf_h1_framing framing;
	int64_t length;
	const char *in;
	int64_t taken; // bytes consumed; -1: malformed
	const char *content;
	bool ended;
};

class Body : public ::testing::TestWithParam<BodyCase>
{
};

TEST_P(Body, IsParsedInOnePiece)
{
	const BodyCase &c = GetParam();
	std::string in = c.in;
	struct pf_text out = {};
	struct pf_h1_body b;

	pf_h1_body_start(&b, c.framing, c.length);
	EXPECT_EQ(pf_h1_body_feed(&b, S(in), &out), c.taken);
	EXPECT_EQ(std::string(out.p ? out.p : "", out.n), c.content);
	EXPECT_EQ(b.ended, c.ended);
	pf_text_free(&out);
}

// The same input, one byte at a time.
TEST_P(Body, IsParsedByteByByte)
{
	const BodyCase &c = GetParam();
	std::string in = c.in;
	struct pf_text out = {};
	struct pf_h1_body b;
	int64_t taken = 0;

	pf_h1_body_start(&b, c.framing, c.length);
	for (size_t i = 0; i < in.size() && taken >= 0 && !b.ended; i++) {
		int64_t n = pf_h1_body_feed(&b, { in.data() + i, 1 }, &out);

		taken = n < 0 ? -1 : taken + n;
	}
	EXPECT_EQ(taken, c.taken);
	EXPECT_EQ(std::string(out.p ? out.p : "", out.n), c.content);
	EXPECT_EQ(b.ended, c.ended);
	pf_text_free(&out);
}

INSTANTIATE_TEST_SUITE_P(
	Bodies, Body,
	::testing::Values(
		BodyCase{ "length", PF_H1_CONTENT_LENGTH, 3, "abcdef", 3, "abc",
			  true },
		BodyCase{ "short_of_length", PF_H1_CONTENT_LENGTH, 9, "abc", 3,
			  "abc", false },
		BodyCase{ "until_close", PF_H1_UNTIL_CLOSE, 0, "abc", 3, "abc",
			  false },
		BodyCase{ "chunks", PF_H1_CHUNKED, 0,
			  "3\r\nabc\r\nA;x=y\r\n0123456789\r\n0\r\n\r\nnext",
			  32, "abc0123456789", true },
		BodyCase{ "trailer", PF_H1_CHUNKED, 0,
			  "1\r\na\r\n0\r\nT: v\r\n\r\n", 17, "a", true },
		BodyCase{ "cut", PF_H1_CHUNKED, 0, "5\r\nab", 5, "ab", false },
		BodyCase{ "bad_size", PF_H1_CHUNKED, 0, "x\r\nab", -1, "",
			  false },
		BodyCase{ "no_end_of_chunk", PF_H1_CHUNKED, 0,
			  "1\r\nab\r\n0\r\n\r\n", -1, "a", false }),
	[](const auto &i) { return std::string(i.param.name); });

TEST(Fields, HopByHopFieldsAreRecognized)
{
	std::string in = "GET / HTTP/1.1\r\nConnection: keep-alive, X-Once\r\n"
			 "X-Once: 1\r\nX-All: 2\r\n\r\n";
	struct pf_h1_head h;

	ASSERT_EQ(pf_h1_parse_request(S(in), &h), 0);
	EXPECT_TRUE(pf_h1_is_hop_by_hop(&h, PF_STR("x-once")));
	EXPECT_TRUE(pf_h1_is_hop_by_hop(&h, PF_STR("Transfer-Encoding")));
	EXPECT_FALSE(pf_h1_is_hop_by_hop(&h, PF_STR("X-All")));
}

// Statuses that HTTP does not define were passed on as answers.
TEST(Response, StatusesOutsideTheFiveClassesAreMalformed)
{
	struct {
		const char *status;
		int ret;
	} cases[] = { { "000", -1 }, { "099", -1 },  { "100", 0 },
		      { "200", 0 },  { "599", 0 },   { "600", -1 },
		      { "700", -1 }, { "999", -1 },  { "-20", -1 },
		      { "2", -1 },   { "20000", -1 } };

	for (auto &c : cases) {
		std::string in = std::string("HTTP/1.1 ") + c.status +
				 " OK\r\nContent-Length: 0\r\n\r\n";
		struct pf_h1_head h;

		EXPECT_EQ(pf_h1_parse_response(S(in), &h), c.ret) << c.status;
	}
}

} // namespace
