// HTTP client, table client and VM list against handwritten responses.
#include "pimentoford/http_client.h"
#include "pimentoford/table_client.h"
#include "pimentoford/vm_list.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <signal.h>
#include <unistd.h>

#include <functional>
#include <set>
#include <string>
#include <vector>

namespace
{
std::string http(int status, const std::string &body)
{
	return "HTTP/1.1 " + std::to_string(status) +
	       " x\r\nContent-Length: " + std::to_string(body.size()) +
	       "\r\n\r\n" + body;
}

struct Http : testing::Test {
	struct event_base *base = event_base_new();
	struct evconnlistener *listener = nullptr;
	std::string addr, answer, requests;
	int connections = 0;
	size_t written = 0; /* bytes of answers, to sockets */
	std::set<struct bufferevent *> open;

	static void count(struct evbuffer *, const struct evbuffer_cb_info *i,
			  void *ctx)
	{
		static_cast<Http *>(ctx)->written += i->n_deleted;
	}

	static void serve(struct bufferevent *bev, void *ctx)
	{
		Http *t = static_cast<Http *>(ctx);
		struct evbuffer *in = bufferevent_get_input(bev);
		size_t n = evbuffer_get_length(in);
		std::string got(n, '\0');

		evbuffer_remove(in, &got[0], n);
		t->requests += got;
		/* Without an answer the response is lost. */
		if (t->answer.empty())
			close_connection(bev, 0, ctx);
		else
			bufferevent_write(bev, t->answer.data(),
					  t->answer.size());
	}
	static void close_connection(struct bufferevent *bev, short, void *ctx)
	{
		static_cast<Http *>(ctx)->open.erase(bev);
		bufferevent_free(bev);
	}
	static void accept(struct evconnlistener *, evutil_socket_t fd,
			   struct sockaddr *, int, void *ctx)
	{
		Http *t = static_cast<Http *>(ctx);
		struct bufferevent *bev = bufferevent_socket_new(
			t->base, fd, BEV_OPT_CLOSE_ON_FREE);

		t->connections++;
		t->open.insert(bev);
		bufferevent_setcb(bev, serve, nullptr, close_connection, ctx);
		evbuffer_add_cb(bufferevent_get_output(bev), count, t);
		bufferevent_enable(bev, EV_READ | EV_WRITE);
	}
	void SetUp() override
	{
		struct sockaddr_in sin = {};
		socklen_t len = sizeof(sin);

		signal(SIGPIPE, SIG_IGN);
		sin.sin_family = AF_INET;
		sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		listener = evconnlistener_new_bind(base, accept, this,
						   LEV_OPT_CLOSE_ON_FREE, 8,
						   (struct sockaddr *)&sin,
						   sizeof(sin));
		getsockname(evconnlistener_get_fd(listener),
			    (struct sockaddr *)&sin, &len);
		addr = "127.0.0.1:" + std::to_string(ntohs(sin.sin_port));
	}
	void TearDown() override
	{
		if (listener)
			evconnlistener_free(listener);
		for (struct bufferevent *bev : open)
			bufferevent_free(bev);
		event_base_free(base);
	}
	bool run_until(const std::function<bool()> &done)
	{
		for (int i = 0; i < 20000; i++) {
			if (done())
				return true;
			event_base_loop(base, EVLOOP_NONBLOCK | EVLOOP_ONCE);
			usleep(100);
		}
		return false;
	}
};

struct Call {
	int done = 0, status = 0;
	enum pf_http_result result = PF_HTTP_OK;
	std::string chunks, body;
	struct pf_http_call *call = nullptr;
	bool cancel_in_chunk = false;

	static void on_chunk(void *ctx, const char *p, size_t n)
	{
		Call *c = static_cast<Call *>(ctx);

		c->chunks.append(p, n);
		if (c->cancel_in_chunk)
			pf_http_cancel(c->call);
		c->cancel_in_chunk = false;
	}
	static void on_done(void *ctx, const struct pf_http_answer *a)
	{
		Call *c = static_cast<Call *>(ctx);

		c->done++;
		c->result = a->result;
		c->status = a->status;
		c->body.assign(a->body.p ? a->body.p : "", a->body.n);
	}
};

struct pf_http *new_pool(struct event_base *base, const std::string &addr)
{
	struct pf_http_opts o = { base, addr.c_str(), 2, 2, 1 << 16 };

	return pf_http_new(&o);
}

struct pf_http_request get(Call *c, bool stream)
{
	struct pf_http_request r = {};

	r.method = "GET";
	r.target = "/x";
	r.chunk = stream ? Call::on_chunk : nullptr;
	r.done = Call::on_done;
	r.ctx = c;
	return r;
}

struct Result {
	int calls = 0;
	enum pf_table_status status = PF_TABLE_OK;
	uint64_t revision = 0;
	std::string key;
	size_t rows = 0;

	static void txn(void *ctx, const struct pf_table_txn_result *r)
	{
		Result *x = static_cast<Result *>(ctx);

		x->calls++;
		x->status = r->status;
		x->revision = r->revision;
		x->key.assign(r->key.p ? r->key.p : "", r->key.n);
	}
	static void read(void *ctx, const struct pf_table_rows *r)
	{
		Result *x = static_cast<Result *>(ctx);

		x->calls++;
		x->status = r->status;
		x->rows = r->n;
		if (r->n)
			x->key.assign(r->rows[0].value.p, r->rows[0].value.n);
	}
};
} // namespace

TEST_F(Http, ConnectionsAreReused)
{
	struct pf_http *h = new_pool(base, addr);
	Call c;

	answer = http(200, "hello");
	for (int i = 1; i <= 3; i++) {
		struct pf_http_request r = get(&c, false);

		ASSERT_NE(pf_http_start(h, &r), nullptr);
		EXPECT_EQ(c.done, i - 1) << "called back inside start";
		ASSERT_TRUE(run_until([&] { return c.done == i; }));
		EXPECT_EQ(c.body, "hello");
	}
	EXPECT_EQ(connections, 1);
	pf_http_free(h);
}

// A call that ended was still counted during its callback: the loader could send
// no order from there while others had no answer.
TEST_F(Http, ACallMayTakeThePlaceOfOneThatEnds)
{
	struct Next {
		struct pf_http *h;
		Call first, second;
		struct pf_http_call *started = nullptr;

		static void on_done(void *ctx, const struct pf_http_answer *a)
		{
			Next *n = static_cast<Next *>(ctx);
			struct pf_http_request r = get(&n->second, false);

			Call::on_done(&n->first, a);
			n->started = pf_http_start(n->h, &r);
		}
	} n;
	struct pf_http_opts o = { base, addr.c_str(), 1, 1, 1 << 16 };
	struct pf_http_request r = get(nullptr, false);

	n.h = pf_http_new(&o);
	answer = http(200, "hello");
	r.done = Next::on_done;
	r.ctx = &n;
	ASSERT_NE(pf_http_start(n.h, &r), nullptr);
	ASSERT_TRUE(run_until([&] { return n.first.done == 1; }));
	EXPECT_NE(n.started, nullptr);
	EXPECT_TRUE(run_until([&] { return n.second.done == 1; }));
	EXPECT_EQ(n.second.body, "hello");
	EXPECT_EQ(connections, 1);
	pf_http_free(n.h);
}

struct EndlessAnswer {
	const char *name;
	const char *start, *more; /* `more` is sent again and again */
	bool stream; /* the caller takes chunks as they come */
};

struct HttpEndless : Http, testing::WithParamInterface<EndlessAnswer> {
};

// Interim answers, and lines of the chunked coding, were kept or skipped for as
// long as they came: 2.6 GB in 6 s.
TEST_P(HttpEndless, AnswersAreEndedAsLost)
{
	struct pf_http *h = new_pool(base, addr);
	const EndlessAnswer &p = GetParam();
	struct pf_http_request r;
	Call c;

	answer = p.start;
	while (answer.size() < 32 << 20)
		answer += p.more;
	r = get(&c, p.stream);
	ASSERT_NE(pf_http_start(h, &r), nullptr);
	ASSERT_TRUE(run_until([&] { return c.done == 1; }));
	EXPECT_EQ(c.result, PF_HTTP_LOST);
	/* Kernel buffers included. */
	EXPECT_LT(written, 12u << 20);
	answer = http(200, "sound");
	r = get(&c, false);
	ASSERT_NE(pf_http_start(h, &r), nullptr);
	ASSERT_TRUE(run_until([&] { return c.done == 2; }));
	EXPECT_EQ(c.body, "sound");
	pf_http_free(h);
}

#define CHUNKED "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

INSTANTIATE_TEST_SUITE_P(
	Cases, HttpEndless,
	testing::Values(
		EndlessAnswer{ "InterimAnswers", "",
			       "HTTP/1.1 100 Continue\r\n\r\n", false },
		EndlessAnswer{ "InterimAnswersToAStream", "",
			       "HTTP/1.1 100 Continue\r\n\r\n", true },
		EndlessAnswer{ "InterimHeaders", "HTTP/1.1 100 Continue\r\n",
			       "X: more\r\n", false },
		EndlessAnswer{ "StatusLine", "HTTP/1.1 200 ", "x", false },
		EndlessAnswer{ "Headers", "HTTP/1.1 200 OK\r\n", "X: more\r\n",
			       false },
		EndlessAnswer{ "ChunkSize", CHUNKED, "0", false },
		EndlessAnswer{ "ChunkSizeToAStream", CHUNKED, "0", true },
		EndlessAnswer{ "ChunkExtension", CHUNKED "4;", "x", false },
		EndlessAnswer{ "EmptyLinesForChunks", CHUNKED, "\r\n", true },
		EndlessAnswer{ "Trailer", CHUNKED "0\r\n", "X: more\r\n",
			       false },
		EndlessAnswer{ "Chunks", CHUNKED, "4\r\nmore\r\n", false },
		EndlessAnswer{ "Body", "HTTP/1.1 200 OK\r\n\r\n", "more",
			       false }),
	[](const auto &i) { return std::string(i.param.name); });

TEST_F(Http, ErrorResponseToAStreamHasItsBody)
{
	struct pf_http *h = new_pool(base, addr);
	struct pf_http_request r;
	Call c;

	answer = http(409, "{\"error\":\"no_memory\"}");
	r = get(&c, true);
	ASSERT_NE(pf_http_start(h, &r), nullptr);
	ASSERT_TRUE(run_until([&] { return c.done == 1; }));
	EXPECT_EQ(c.status, 409);
	EXPECT_EQ(c.body, "{\"error\":\"no_memory\"}");
	EXPECT_EQ(c.chunks, "");
	pf_http_free(h);
}

// Pieces that the server sends after the header; "" closes the connection,
// "cancel" cancels the call.
struct StreamCase {
	std::vector<std::string> pieces;
	int done;
	enum pf_http_result result;
	std::string chunks;
	int connections; // after one more call
};

TEST_F(Http, ChunkedStreamsSplitAcrossReads)
{
	const std::string big(40000, 'b');
	const StreamCase cases[] = {
		{ { "3\r\nabc\r\n", "2\r\nde\r\n", "0\r\n\r\n" },
		  1,
		  PF_HTTP_OK,
		  "abcde",
		  1 },
		{ { "3\r\na", "bc\r\n0\r", "\n\r\n" },
		  1,
		  PF_HTTP_OK,
		  "abc",
		  1 },
		{ { "9c40\r\n" + big, "\r\n0\r\n\r\n" },
		  1,
		  PF_HTTP_OK,
		  big,
		  1 },
		{ { "3\r\nabc\r\n", "" }, 1, PF_HTTP_LOST, "abc", 2 },
		{ { "3\r\nabc\r\n", "3\r\nd", "" }, 1, PF_HTTP_LOST, "abc", 2 },
		{ { "3\r\nabc\r\n", "nothing of a size\r\n" },
		  1,
		  PF_HTTP_LOST,
		  "abc",
		  2 },
		{ { "3\r\nabc\r\n", "cancel" }, 0, PF_HTTP_OK, "abc", 2 },
	};

	for (const StreamCase &x : cases) {
		struct pf_http *h = new_pool(base, addr);
		struct pf_http_request r;
		Call c, again;

		SCOPED_TRACE(x.pieces[0] + "|" + x.pieces[1]);
		connections = 0;
		answer = "HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\n";
		requests.clear();
		r = get(&c, true);
		c.call = pf_http_start(h, &r);
		ASSERT_TRUE(run_until([&] { return !requests.empty(); }));
		struct bufferevent *bev = *open.begin();
		for (const std::string &p : x.pieces) {
			/* Each piece is read before the next is sent. */
			for (int i = 0; i < 20; i++) {
				event_base_loop(base, EVLOOP_NONBLOCK);
				usleep(100);
			}
			ASSERT_EQ(open.count(bev), 1u) << c.result;
			if (p.empty())
				close_connection(bev, 0, this);
			else if (p == "cancel")
				pf_http_cancel(c.call);
			else
				bufferevent_write(bev, p.data(), p.size());
		}
		ASSERT_TRUE(run_until([&] {
			return c.done == x.done && c.chunks == x.chunks;
		}));
		EXPECT_EQ(c.result, x.result);
		answer = http(200, "next");
		r = get(&again, false);
		ASSERT_NE(pf_http_start(h, &r), nullptr);
		ASSERT_TRUE(run_until([&] { return again.done == 1; }));
		EXPECT_EQ(again.body, "next");
		EXPECT_EQ(connections, x.connections);
		pf_http_free(h);
		ASSERT_TRUE(run_until([&] { return open.empty(); }));
	}
}

TEST_F(Http, NotSentAndLostAreDistinguished)
{
	struct pf_http *h = new_pool(base, addr);
	struct pf_http_request r;
	Call lost, unsent;

	r = get(&lost, false);
	ASSERT_NE(pf_http_start(h, &r), nullptr);
	ASSERT_TRUE(run_until([&] { return lost.done == 1; }));
	EXPECT_EQ(lost.result, PF_HTTP_LOST);
	evconnlistener_free(listener);
	listener = nullptr;
	r = get(&unsent, false);
	ASSERT_NE(pf_http_start(h, &r), nullptr);
	ASSERT_TRUE(run_until([&] { return unsent.done == 1; }));
	EXPECT_EQ(unsent.result, PF_HTTP_NOT_SENT);
	pf_http_free(h);
}

// A head without end was kept in memory for as long as it came.
TEST_F(Http, AHeadWithoutEndIsReadToALimit)
{
	struct pf_http *h = new_pool(base, addr);
	struct pf_http_request r;
	Call c;

	answer = "HTTP/1.1 200 x\r\n";
	while (answer.size() < 1 << 20)
		answer += "X-More: more\r\n";
	r = get(&c, false);
	ASSERT_NE(pf_http_start(h, &r), nullptr);
	EXPECT_TRUE(run_until([&] { return c.done == 1; }));
	EXPECT_EQ(c.result, PF_HTTP_LOST);
	pf_http_free(h);
}

TEST_F(Http, CallsAreLimitedAndCancelMakesNoCallback)
{
	struct pf_http *h = new_pool(base, addr);
	Call a, b, c;
	struct pf_http_request r = get(&a, true);

	answer = "HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\n"
		 "3\r\nabc\r\n";
	a.call = pf_http_start(h, &r);
	a.cancel_in_chunk = true;
	r = get(&b, false);
	b.call = pf_http_start(h, &r);
	r = get(&c, false);
	EXPECT_EQ(pf_http_start(h, &r), nullptr);
	ASSERT_NE(b.call, nullptr);
	pf_http_cancel(b.call);
	ASSERT_TRUE(run_until([&] { return a.chunks == "abc"; }));
	/* Both calls ended, so two more are allowed. */
	answer = http(200, "x");
	for (int i = 0; i < 2; i++)
		ASSERT_NE(pf_http_start(h, &r), nullptr);
	ASSERT_TRUE(run_until([&] { return c.done == 2; }));
	EXPECT_EQ(a.done + b.done, 0);
	pf_http_free(h);
}

TEST_F(Http, TransactionStatusFollowsTheResponse)
{
	const struct {
		std::string answer;
		enum pf_table_status status;
		uint64_t revision;
	} cases[] = {
		{ http(200, "{\"ver\":8}"), PF_TABLE_OK, 8 },
		{ http(412, "{\"rows\":[{\"table\":\"pimentoford\","
			    "\"part\":\"table\",\"key\":\"k\\\"1\","
			    "\"value\":\"\",\"ver\":9}],\"ver\":9}"),
		  PF_TABLE_CONFLICT, 9 },
		/* the row was deleted */
		{ http(412, "{\"rows\":[],\"ver\":9}"), PF_TABLE_CONFLICT, 0 },
		{ http(429, "{}"), PF_TABLE_LIMITED, 0 },
		/* the store reports that nothing was written */
		{ http(503, ""), PF_TABLE_LIMITED, 0 },
		{ http(500, ""), PF_TABLE_UNKNOWN, 0 },
		{ http(200, "what?"), PF_TABLE_UNKNOWN, 0 },
		{ http(200, "{}"), PF_TABLE_UNKNOWN, 0 },
		{ http(412, "what?"), PF_TABLE_UNKNOWN, 0 },
		{ "HTTP/1.1 200 x\r\nContent-Length: 50\r\n\r\n{\"rev",
		  PF_TABLE_UNKNOWN, 0 },
		{ "", PF_TABLE_UNKNOWN, 0 }, /* the response is lost */
	};
	struct pf_table_check check = { PF_STR("k\"1"), 3 };
	struct pf_table_put put = { PF_STR("k\"1"), PF_STR("v\n\xc3\xa9") };
	struct pf_table_txn txn = { &check, 1, &put, 1, nullptr, 0 };

	for (auto &c : cases) {
		struct pf_table_opts o = { base, addr.c_str(), 4, 300, 1000 };
		struct pf_table *t = pf_table_new(&o);
		Result r;

		answer = c.answer;
		requests.clear();
		ASSERT_EQ(pf_table_txn(t, "id", &txn, Result::txn, &r), 0);
		EXPECT_EQ(r.calls, 0) << "called back inside";
		ASSERT_TRUE(run_until([&] { return r.calls == 1; }))
			<< c.answer;
		EXPECT_EQ(r.status, c.status) << c.answer;
		if (c.status == PF_TABLE_CONFLICT) {
			EXPECT_EQ(r.key, "k\"1");
		}
		if (c.revision) {
			EXPECT_EQ(r.revision, c.revision);
		}
		EXPECT_NE(
			requests.find(
				"{\"table\":\"pimentoford\",\"part\":\"table\","
				"\"key\":\"k\\\"1\",\"ver\":3}"),
			std::string::npos)
			<< requests;
		pf_table_free(t);
	}
}

TEST_F(Http, VmListReportsLeavingVms)
{
	const struct {
		std::string answer, names;
	} cases[] = {
		{ http(200, "{\"vms\":[{\"name\":\"a\",\"state\":\"leaving\"},"
			    "{\"name\":\"b\",\"state\":\"live\"},"
			    "{\"name\":\"c\",\"state\":\"leaving\"}]}"),
		  "ac" },
		{ http(200, "{\"vms\":[{\"state\":\"leaving\"},7,{}]}"), "" },
		{ http(200, "no list"), "" },
		{ http(503, "{\"vms\":[{\"name\":\"a\",\"state\":"
			    "\"leaving\"}]}"),
		  "" },
	};

	for (auto &c : cases) {
		std::string names;
		struct pf_vm_list_opts o = { base,
					     addr.c_str(),
					     1,
					     1,
					     [](void *ctx, struct pf_str n) {
						     *(std::string *)ctx +=
							     std::string(n.p,
									 n.n);
					     },
					     &names };
		struct pf_vm_list *l = pf_vm_list_new(&o);

		answer = c.answer;
		requests.clear();
		/* The second poll follows the first response. */
		ASSERT_TRUE(run_until([&] {
			return requests.find("/vms") != requests.rfind("/vms");
		}));
		pf_vm_list_free(l);
		EXPECT_EQ(names.substr(0, 2), c.names);
	}
}

/* Rows as the store encodes them; the value is "v". */
#define ROW(key)                                                       \
	"{\"table\":\"pimentoford\",\"part\":\"table\",\"key\":\"" key \
	"\",\"value\":\"dg==\",\"ver\":1}"
#define ROWS(rows) "{\"rows\":[" rows "],\"has_more\":false,\"ver\":1}"

TEST_F(Http, ReadsDistinguishAbsentFromUnknown)
{
	const struct {
		std::string answer;
		bool scan;
		enum pf_table_status status;
		size_t rows;
	} cases[] = {
		{ http(200, ROWS(ROW("a b&c=%"))), false, PF_TABLE_OK, 1 },
		/* only the next row: the requested one is absent */
		{ http(200, ROWS(ROW("a b&d"))), false, PF_TABLE_OK, 0 },
		{ http(200, ROWS("")), false, PF_TABLE_OK, 0 },
		{ http(404, ""), true, PF_TABLE_LIMITED, 0 },
		{ http(200, ROWS("{\"key\":\"a b&c=%\"}")), false,
		  PF_TABLE_UNKNOWN, 0 },
		{ http(200, ROWS("")), true, PF_TABLE_OK, 0 },
		{ http(200, ROWS(ROW("b&c") "," ROW("b&d"))), true, PF_TABLE_OK,
		  1 },
		{ http(200, ROWS(ROW("b&d") ",{}")), true, PF_TABLE_UNKNOWN,
		  0 },
		{ http(200, "{\"rows\":[]}"), true, PF_TABLE_UNKNOWN, 0 },
		{ http(429, ""), true, PF_TABLE_LIMITED, 0 },
		{ http(200, std::string(2000, ' ')), true, PF_TABLE_UNKNOWN,
		  0 }, /* larger than body_max */
	};

	for (auto &c : cases) {
		struct pf_table_opts o = { base, addr.c_str(), 4, 300, 1000 };
		struct pf_table *t = pf_table_new(&o);
		Result r;

		answer = c.answer;
		requests.clear();
		if (c.scan)
			ASSERT_EQ(pf_table_scan(t, PF_STR("b"), PF_STR("b&c"),
						5, Result::read, &r),
				  0);
		else
			ASSERT_EQ(pf_table_get(t, PF_STR("a b&c=%"),
					       Result::read, &r),
				  0);
		ASSERT_TRUE(run_until([&] { return r.calls == 1; }));
		EXPECT_EQ(r.status, c.status) << c.answer;
		EXPECT_EQ(r.rows, c.rows) << c.answer;
		EXPECT_NE(
			requests.find(c.scan ? "&from=b%26c&to=c&limit=6"
					     : "&from=a%20b%26c%3D%25&limit=2"),
			std::string::npos)
			<< requests;
		pf_table_free(t);
	}
}
