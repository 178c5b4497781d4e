// The load tool parses the replies of an entry: misreading one would hide an
// error or a cut stream.
#include "load/outcome.h"

#include <gtest/gtest.h>

#include <string>

TEST(Outcome, ParsesAnswersErrorsAndCutStreams)
{
	const struct {
		const char *what;
		int status;
		bool model, stream;
		const char *body;
		const char *text;
		enum finish finish;
		bool error, not_run;
	} cases[] = {
		{ "whole", 200, true, false,
		  R"({"choices":[{"text":"ba da ","finish_reason":"stop"}]})",
		  "ba da ", FINISH_STOP, false, false },
		{ "chat", 200, true, false,
		  R"({"choices":[{"message":{"content":"ba "},"finish_reason":"length"}]})",
		  "ba ", FINISH_LENGTH, false, false },
		{ "stream", 200, true, true,
		  "data: {\"choices\":[{\"text\":\"ba \"}]}\n\n"
		  "data: {\"choices\":[{\"delta\":{\"content\":\"da \"},"
		  "\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n",
		  "ba da ", FINISH_STOP, false, false },
		{ "cut stream", 200, true, true,
		  "data: {\"choices\":[{\"text\":\"ba \"}]}\n\ndata: {\"cho",
		  "ba ", FINISH_NONE, false, false },
		{ "stream that fails", 200, true, true,
		  "data: {\"choices\":[{\"text\":\"ba \"}]}\n\nevent: error\n"
		  "data: {\"error\":{\"code\":\"x\",\"ran\":\"ran\"}}\n\n",
		  "ba ", FINISH_NONE, true, false },
		{ "refused", 503, true, true,
		  R"({"error":{"code":"full","ran":"not_run"}})", "",
		  FINISH_NONE, true, true },
		{ "unknown", 409, false, false,
		  R"({"error":{"code":"outcome_unknown","ran":"unknown"}})", "",
		  FINISH_NONE, true, false },
		{ "error without a body", 502, false, false, "", "",
		  FINISH_NONE, true, false },
		{ "receipt", 200, false, false, R"({"receipt":"1"})", "",
		  FINISH_NONE, false, false },
	};

	for (const auto &c : cases) {
		struct outcome o = {};

		o.status = c.status;
		o.text = g_string_new(nullptr);
		outcome_read(&o, c.model, c.stream, c.body);
		EXPECT_STREQ(o.text->str, c.text) << c.what;
		EXPECT_EQ(o.finish, c.finish) << c.what;
		EXPECT_EQ(o.error, c.error) << c.what;
		EXPECT_EQ(o.not_run, c.not_run) << c.what;
		outcome_clear(&o);
	}
}
