// The engine stand-in's answers, and the load tool's check of them. An error in
// either lets a soak accept a wrong answer or report a correct one.
#include "load/check.h"
#include "standin/answer.h"

#include <gtest/gtest.h>

#include <string>

namespace
{

struct answer make_answer(const char *model, const char *adapter,
			  const char *prompt)
{
	struct answer a;

	answer_init(&a, pf_str_c(model), pf_str_c(adapter), pf_str_c(prompt));
	return a;
}

std::string tokens_text(const struct answer &a, uint32_t from, uint32_t to)
{
	std::string s;
	char token[ANSWER_TOKEN_SIZE];

	for (uint32_t i = from; i < to; i++)
		s.append(token, answer_token(&a, i, token));
	return s;
}

struct pf_str str(const std::string &s)
{
	return { s.data(), s.size() };
}

} // namespace

TEST(Answer, DependsOnModelAdapterAndPrompt)
{
	struct answer a = make_answer("m@1", "", "hello");

	EXPECT_EQ(tokens_text(a, 0, 5),
		  tokens_text(make_answer("m@1", "", "hello"), 0, 5));
	EXPECT_NE(tokens_text(a, 0, 5),
		  tokens_text(make_answer("m@2", "", "hello"), 0, 5));
	EXPECT_NE(tokens_text(a, 0, 5),
		  tokens_text(make_answer("m@1", "m:x", "hello"), 0, 5));
	EXPECT_NE(tokens_text(a, 0, 5),
		  tokens_text(make_answer("m@1", "", "hello!"), 0, 5));
}

TEST(Answer, DirectivesSetLengthAndDelay)
{
	const struct {
		const char *prompt;
		uint32_t length, slow;
	} cases[] = {
		{ "x [len=200] [slow=20]", 200, 20 },
		{ "[len=0]", 1, 0 },
		{ "[len=7", 7, 0 },
		{ "[len=3][len=9]", 3, 0 },
	};

	for (const auto &c : cases) {
		struct answer a = make_answer("m@1", "", c.prompt);

		EXPECT_EQ(a.length, c.length) << c.prompt;
		EXPECT_EQ(a.token_delay_ms, c.slow) << c.prompt;
	}
}

TEST(Answer, LengthsAreHeavyTailedAndBounded)
{
	double sum = 0;
	uint32_t longest = 0;
	const int n = 20000;

	for (int i = 0; i < n; i++) {
		uint32_t length =
			make_answer("m@1", "", std::to_string(i).c_str())
				.length;

		ASSERT_GE(length, 1u);
		ASSERT_LE(length, (uint32_t)ANSWER_LENGTH_MAX_TOKENS);
		sum += length;
		longest = std::max(longest, length);
	}
	EXPECT_GT(sum / n, 45);
	EXPECT_LT(sum / n, 75);
	EXPECT_GT(longest, 1000u);
}

TEST(Answer, MatchAcceptsOnlyAPrefixOfWholeTokens)
{
	struct answer a = make_answer("m@1", "", "match [len=30]");
	std::string all = tokens_text(a, 0, 30);

	EXPECT_EQ(answer_match(&a, str("")), 0);
	EXPECT_EQ(answer_match(&a, str(tokens_text(a, 0, 12))), 12);
	EXPECT_EQ(answer_match(&a, str(all)), 30);
	EXPECT_EQ(answer_match(&a, str(all + "da ")), -1);
	EXPECT_EQ(answer_match(&a, str(all.substr(0, 10) + "?")), -1);
	EXPECT_EQ(answer_match(&a, str(tokens_text(a, 1, 12))), -1);
}

TEST(Check, DistinguishesCompleteCutDoubledAndCrossed)
{
	struct answer a = make_answer("m@1", "", "check [len=40]");
	struct answer b = make_answer("m@1", "", "other [len=40]");
	const struct {
		const char *what;
		std::string text;
		enum finish finish;
		uint32_t limit;
		enum verdict want;
	} cases[] = {
		{ "whole", tokens_text(a, 0, 40), FINISH_STOP, 99,
		  VERDICT_COMPLETE },
		{ "limit", tokens_text(a, 0, 9), FINISH_LENGTH, 9,
		  VERDICT_COMPLETE },
		{ "short stop", tokens_text(a, 0, 39), FINISH_STOP, 99,
		  VERDICT_CUT },
		{ "no end", tokens_text(a, 0, 40), FINISH_NONE, 99,
		  VERDICT_CUT },
		{ "empty", "", FINISH_STOP, 99, VERDICT_CUT },
		{ "beyond the limit", tokens_text(a, 0, 10), FINISH_LENGTH, 9,
		  VERDICT_CROSSED },
		{ "stop at limit", tokens_text(a, 0, 9), FINISH_STOP, 9,
		  VERDICT_CUT },
		{ "token twice", tokens_text(a, 0, 20) + tokens_text(a, 19, 40),
		  FINISH_STOP, 99, VERDICT_DOUBLED },
		{ "piece twice", tokens_text(a, 0, 20) + tokens_text(a, 10, 40),
		  FINISH_STOP, 99, VERDICT_DOUBLED },
		{ "all twice", tokens_text(a, 0, 40) + tokens_text(a, 0, 40),
		  FINISH_STOP, 99, VERDICT_DOUBLED },
		{ "gap", tokens_text(a, 0, 20) + tokens_text(a, 21, 40),
		  FINISH_STOP, 99, VERDICT_CROSSED },
		{ "other", tokens_text(b, 0, 40), FINISH_STOP, 99,
		  VERDICT_CROSSED },
		{ "mixed", tokens_text(a, 0, 20) + tokens_text(b, 20, 40),
		  FINISH_STOP, 99, VERDICT_CROSSED },
	};

	for (const auto &c : cases) {
		uint32_t tokens = 0;

		EXPECT_EQ(check_text(&a, str(c.text), c.finish, c.limit,
				     &tokens),
			  c.want)
			<< c.what;
	}
}
