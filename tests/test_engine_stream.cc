// Engine interface: event streams, inventories and request bodies.
#include "pimentoford/engine.h"

#include <gtest/gtest.h>
#include <jansson.h>

#include <string>

namespace
{
struct Reader {
	struct pf_engine_stream s = {};
	std::string seen;

	Reader()
	{
		s.on_event = event;
		s.ctx = this;
	}
	~Reader()
	{
		pf_engine_stream_free(&s);
	}
	static void event(void *ctx, const struct pf_engine_event *e)
	{
		std::string &seen = static_cast<Reader *>(ctx)->seen;

		if (e->type == PF_ENGINE_TOKEN)
			seen += std::to_string(e->u.token.offset) + "=" +
				std::string(e->u.token.text.p,
					    e->u.token.text.n) +
				";";
		else if (e->type == PF_ENGINE_AT_LIMIT)
			seen += "limit " + std::to_string(e->u.total) + ";";
		else
			seen += "end " +
				std::to_string(e->u.end.finish_reason) + " " +
				std::to_string(e->u.end.total) + ";";
	}
	int feed(const std::string &x)
	{
		return pf_engine_stream_feed(&s, x.data(), x.size());
	}
};

struct Case {
	const char *name;
	const char *stream;
	const char *seen;
	int ret;
};

const Case cases[] = {
	{ "tokens and end",
	  "data: {\"offset\":0,\"text\":\"a \"}\n\n"
	  "data: {\"offset\":1,\"text\":\"\\u00e9\\n\"}\n\n"
	  "data: {\"at_limit\":2}\n\n"
	  "data: {\"end\":\"stop\",\"total\":2}\n\n",
	  "0=a ;1=\xc3\xa9\n;limit 2;end 0 2;", 0 },
	{ "CRLF, comments, other fields, no space",
	  ": hello\r\nid: 4\r\ndata:{\"offset\":7,\"text\":\"x\"}\r\n\r\n"
	  "event: ping\r\n\r\n",
	  "7=x;", 0 },
	{ "event with two data lines",
	  "data: {\"offset\":0,\ndata: \"text\":\"y\"}\n\n", "0=y;", 0 },
	{ "bytes after the end event",
	  "data: {\"end\":\"limit\",\"total\":1}\n\ndata: junk\n\n", "end 1 1;",
	  0 },
	{ "end with an error", "data: {\"end\":\"error\",\"total\":0}\n\n",
	  "end 3 0;", 0 },
	{ "offset with leading zeros",
	  "data: {\"offset\":007,\"text\":\"a\"}\n\n", "", -1 },
	{ "extra field after the text",
	  "data: {\"offset\":1,\"text\":\"a\",\"id\":2}\n\n", "1=a;", 0 },
	{ "control characters", "data: {\"offset\":1,\"text\":\"a\tb\"}\n\n",
	  "", -1 },
	{ "invalid JSON", "data: {\"offset\"\n\n", "", -1 },
	{ "bad UTF-8", "data: {\"offset\":0,\"text\":\"\xff\"}\n\n", "", -1 },
	{ "negative offset", "data: {\"offset\":-1,\"text\":\"a\"}\n\n", "",
	  -1 },
	{ "offset too large",
	  "data: {\"offset\":4294967296,\"text\":\"a\"}\n\n", "", -1 },
	{ "text is a number", "data: {\"offset\":0,\"text\":1}\n\n", "", -1 },
	{ "unknown finish reason", "data: {\"end\":\"bored\",\"total\":1}\n\n",
	  "", -1 },
	{ "end without total", "data: {\"end\":\"stop\"}\n\n", "", -1 },
	{ "no known field", "data: {}\n\n", "", -1 },
	{ "stays malformed",
	  "data: {}\n\ndata: {\"offset\":0,\"text\":\"a\"}\n\n", "", -1 },
};
} // namespace

TEST(EngineStream, ParsesTheSameInOnePieceAndByteByByte)
{
	for (const Case &c : cases) {
		std::string all = c.stream;
		Reader whole, bytes;
		int ret = 0;

		EXPECT_EQ(whole.feed(all), c.ret) << c.name;
		EXPECT_EQ(whole.seen, c.seen) << c.name;
		for (char x : all)
			ret = bytes.feed(std::string(1, x));
		EXPECT_EQ(ret, c.ret) << c.name;
		EXPECT_EQ(bytes.seen, c.seen) << c.name;
	}
}

TEST(EngineStream, ParsesTheSameWhenSplitAnywhere)
{
	std::string all = cases[0].stream;

	for (size_t i = 0; i <= all.size(); i++) {
		Reader r;

		r.feed(all.substr(0, i));
		r.feed(all.substr(i));
		EXPECT_EQ(r.seen, cases[0].seen) << "split at " << i;
		EXPECT_TRUE(r.s.ended);
	}
}

TEST(EngineStream, RejectsOverlongLinesAndEvents)
{
	Reader line, event;
	std::string chunk(64 << 10, 'x');
	int ret = 0;
	size_t fed = 0;

	for (int i = 0; i < 64 && ret == 0; i++, fed += chunk.size())
		ret = line.feed(chunk);
	EXPECT_EQ(ret, -1);
	EXPECT_LE(fed, (size_t)PF_ENGINE_EVENT_MAX + 2 * chunk.size());
	ret = 0;
	for (int i = 0; i < 64 && ret == 0; i++)
		ret = event.feed("data: " + chunk + "\n");
	EXPECT_EQ(ret, -1);
}

TEST(Engine, RejectsMalformedInventories)
{
	const struct {
		const char *body;
		int ret;
	} bodies[] = {
		{ R"({"boot":"b","memory":9,"used":4,"items":[{"item":"m@1",
		  "state":"resident","bytes":4}],"runs":[{"run":"r","total":1}]})",
		  0 },
		{ R"({"boot":"b","memory":9,"used":4,"items":[],"runs":[]})",
		  0 },
		{ "", -1 },
		{ "[]", -1 },
		{ R"({"memory":9,"used":4,"items":[],"runs":[]})", -1 },
		{ R"({"boot":"b","memory":-9,"used":4,"items":[],"runs":[]})",
		  -1 },
		{ R"({"boot":"b","memory":9,"used":4,"runs":[]})", -1 },
		{ R"({"boot":"b","memory":9,"used":4,"items":[],"runs":[{}]})",
		  -1 },
		{ R"({"boot":"b","memory":9,"used":4,"items":[{"item":"m@1",
		  "state":"asleep","bytes":4}],"runs":[]})",
		  -1 },
	};

	for (auto &b : bodies) {
		struct pf_engine_inventory inv;

		EXPECT_EQ(pf_engine_inventory_parse(pf_str_c(b.body), &inv),
			  b.ret)
			<< b.body;
		if (b.ret < 0) {
			EXPECT_EQ(inv.boot_id, nullptr);
		}
		pf_engine_inventory_free(&inv);
	}
}

TEST(Engine, RunBodyEscapesAnyText)
{
	std::string prompt = "say \"hi\"\n\x02";
	struct pf_engine_run run = { "1.1.1",
				     "m@1",
				     "m:a",
				     { prompt.data(), prompt.size() },
				     PF_STR("so far"),
				     2,
				     9,
				     1 };
	struct pf_text t = {};

	pf_engine_run_body(&run, &t);
	json_t *root = json_loadb(t.p, t.n, 0, NULL);

	EXPECT_EQ(json_string_value(json_object_get(root, "prompt")), prompt);
	EXPECT_EQ(json_integer_value(json_object_get(root, "limit")), 9);
	json_decref(root);
	pf_text_free(&t);
}
