// RPC sessions: record marking, handshake, protocol versions, timeouts.
#include "pimentoford/rpc.h"
#include "src/transport/rpc_record.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <string>
#include <vector>

namespace
{
std::string be32(uint32_t v)
{
	v = htonl(v);
	return std::string(reinterpret_cast<char *>(&v), 4);
}

std::string record(const std::string &body)
{
	return be32(0x80000000u | (uint32_t)body.size()) + body;
}

const uint32_t program_number = 0x20504d46;

std::string call(uint32_t proc, const std::string &args, uint32_t vers = 1,
		 uint32_t program = program_number)
{
	return be32(1) + be32(0) + be32(2) + be32(program) + be32(vers) +
	       be32(proc) + std::string(16, '\0') + args;
}

std::string hello()
{
	return be32(1) + be32(1) + std::string(16, 'i') + std::string(32, 'n');
}

/* One process, with the messages it received. */
struct Peer {
	struct pf_rpc *rpc = nullptr;
	struct pf_rpc_session *session = nullptr;
	int ups = 0, downs = 0;
	std::vector<uint64_t> received;
	bool drop_on_message = false;

	static void up(void *ctx, struct pf_rpc_session *s)
	{
		static_cast<Peer *>(ctx)->ups++;
		static_cast<Peer *>(ctx)->session = s;
	}
	static void down(void *ctx, struct pf_rpc_session *)
	{
		static_cast<Peer *>(ctx)->downs++;
		static_cast<Peer *>(ctx)->session = nullptr;
	}
	static void message(void *ctx, struct pf_rpc_session *s,
			    const struct pf_wire_msg *m)
	{
		Peer *peer = static_cast<Peer *>(ctx);

		peer->received.push_back(m->u.id.request);
		if (peer->drop_on_message) {
			peer->session = nullptr;
			pf_rpc_drop(s);
		}
	}
};

struct Rpc : testing::Test {
	struct event_base *base = event_base_new();
	Peer server, client;

	static struct pf_rpc_opts opts(struct event_base *base, Peer *peer,
				       const char *key, uint32_t role)
	{
		struct pf_rpc_opts o;

		pf_rpc_opts_default(&o);
		o.base = base;
		o.key = pf_str_c(key);
		o.self.role = role;
		o.self.id = role * 10;
		o.self.incarnation = 5;
		o.heartbeat_interval = 20;
		o.link_timeout = 200;
		o.handshake_timeout = 300;
		o.reconnect_min = 5;
		o.reconnect_max = 10;
		o.record_max = 4096;
		o.unsent_max = 1 << 20;
		o.up = Peer::up;
		o.down = Peer::down;
		o.message = Peer::message;
		o.ctx = peer;
		return o;
	}
	std::string addr()
	{
		return "127.0.0.1:" + std::to_string(pf_rpc_port(server.rpc));
	}
	void SetUp() override
	{
		struct pf_rpc_opts o =
			opts(base, &server, "the right key", PF_RPC_AGENT);

		server.rpc = pf_rpc_new(&o);
		ASSERT_EQ(pf_rpc_listen(server.rpc, "127.0.0.1:0"), 0);
		pf_rpc_set_accepting(server.rpc, true);
	}
	void TearDown() override
	{
		pf_rpc_free(client.rpc);
		pf_rpc_free(server.rpc);
		event_base_free(base);
	}
	void connect(const char *key = "the right key")
	{
		struct pf_rpc_opts o = opts(base, &client, key, PF_RPC_ENTRY);

		client.rpc = pf_rpc_new(&o);
		ASSERT_NE(pf_rpc_connect(client.rpc, addr().c_str(), nullptr),
			  nullptr);
	}
	/* Runs the loop until @done; limited by iterations, not by time. */
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
	void connect_both()
	{
		connect();
		ASSERT_TRUE(run_until(
			[&] { return client.session && server.session; }));
	}
	int send_raw(const std::string &bytes)
	{
		struct sockaddr_in sin = {};
		int fd = socket(AF_INET, SOCK_STREAM, 0);

		sin.sin_family = AF_INET;
		sin.sin_port = htons(pf_rpc_port(server.rpc));
		sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		EXPECT_EQ(::connect(fd, (struct sockaddr *)&sin, sizeof(sin)),
			  0);
		EXPECT_EQ(send(fd, bytes.data(), bytes.size(), 0),
			  (ssize_t)bytes.size());
		return fd;
	}
	const struct pf_rpc_stats *stats()
	{
		return pf_rpc_stats(server.rpc);
	}
};

struct pf_wire_msg revoke(uint64_t request)
{
	struct pf_wire_msg m = {};

	m.type = PF_WIRE_REVOKE;
	m.u.id = { request, 1 };
	return m;
}
} // namespace

TEST(RpcRecord, FragmentsAreJoinedAtAnySplit)
{
	std::string a(300, 'a'), b(5, 'b');
	std::string bytes = be32(100) + a.substr(0, 100) + be32(1) +
			    a.substr(100, 1) + record(a.substr(101)) +
			    record(b) + record("");

	for (size_t cut = 0; cut <= bytes.size(); cut++) {
		struct pf_record_reader r = {};
		struct evbuffer *in = evbuffer_new();
		std::vector<std::string> got;

		for (const std::string &part :
		     { bytes.substr(0, cut), bytes.substr(cut) }) {
			evbuffer_add(in, part.data(), part.size());
			while (pf_record_read(&r, in, 1000) == PF_RECORD_READY)
				got.push_back(std::string(r.p ? r.p : "", r.n));
		}
		EXPECT_EQ(got, (std::vector<std::string>{ a, b, "" })) << cut;
		pf_record_reader_free(&r);
		evbuffer_free(in);
	}
}

TEST(RpcRecord, OversizeIsDetectedBeforeItsBytesArrive)
{
	const std::string bad[] = {
		be32(0x80000000u | 1001), /* one fragment */
		be32(600) + std::string(600, 'x') +
			be32(401), /* sum of the fragments */
		be32(0xffffffffu), be32(0), /* empty, not the last */
	};

	for (const std::string &bytes : bad) {
		struct pf_record_reader r = {};
		struct evbuffer *in = evbuffer_new();

		evbuffer_add(in, bytes.data(), bytes.size());
		EXPECT_EQ(pf_record_read(&r, in, 1000), PF_RECORD_OVERSIZE);
		EXPECT_LE(r.cap, 1024u);
		pf_record_reader_free(&r);
		evbuffer_free(in);
	}
}

TEST_F(Rpc, MessagesOfOneLoopIterationShareARecord)
{
	connect_both();
	uint64_t before = pf_rpc_stats(client.rpc)->records_out;

	for (uint64_t i = 1; i <= 50; i++) {
		struct pf_wire_msg m = revoke(i);

		ASSERT_EQ(pf_rpc_send(client.session, &m), 0);
	}
	ASSERT_TRUE(run_until([&] { return server.received.size() == 50; }));
	for (uint64_t i = 0; i < 50; i++)
		EXPECT_EQ(server.received[i], i + 1);
	/* Includes heartbeats. */
	EXPECT_LE(pf_rpc_stats(client.rpc)->records_out - before, 5u);
	EXPECT_EQ(pf_rpc_peer(server.session)->id, 10u);
	EXPECT_EQ(pf_rpc_peer(client.session)->incarnation, 5u);
}

TEST_F(Rpc, WrongKeyFailsTheHandshake)
{
	connect("a wrong key");
	ASSERT_TRUE(run_until(
		[&] { return pf_rpc_stats(client.rpc)->strangers > 1; }));
	EXPECT_EQ(server.ups + client.ups, 0);
}

/*
 * Anything but a valid handshake closes the connection and adds one to the
 * counter of its cause.
 */
TEST_F(Rpc, UnauthenticatedPeersAreDroppedAndCounted)
{
	const struct {
		const char *name;
		std::string bytes;
		uint64_t pf_rpc_stats::*counter;
	} cases[] = {
		{ "garbage", "GET / HTTP/1.1\r\n\r\n",
		  &pf_rpc_stats::oversize_records },
		{ "no call", record(std::string(40, 'x')),
		  &pf_rpc_stats::bad_records },
		{ "short", record("abc"), &pf_rpc_stats::bad_records },
		{ "too large before authentication", be32(0x80000000u | 2000),
		  &pf_rpc_stats::oversize_records },
		{ "batch without proof", record(call(3, be32(0))),
		  &pf_rpc_stats::bad_records },
		{ "proof without hello", record(call(2, std::string(32, 'p'))),
		  &pf_rpc_stats::bad_records },
		{ "cut hello", record(call(1, "abcd")),
		  &pf_rpc_stats::bad_records },
		{ "wrong proof",
		  record(call(1, hello())) +
			  record(call(2, std::string(32, 'p'))),
		  &pf_rpc_stats::strangers },
		{ "two hellos",
		  record(call(1, hello())) + record(call(1, hello())),
		  &pf_rpc_stats::bad_records },
		{ "credentials too long",
		  record(be32(1) + be32(0) + be32(2) + be32(program_number) +
			 be32(1) + be32(1) + be32(0) + be32(0x7fffffff)),
		  &pf_rpc_stats::bad_records },
	};

	for (auto &c : cases) {
		uint64_t before = stats()->*c.counter;
		int fd = send_raw(c.bytes);

		EXPECT_TRUE(run_until([&] {
			return stats()->*c.counter == before + 1;
		})) << c.name;
		close(fd);
	}
	EXPECT_EQ(server.ups, 0);
}

/* A peer of another release learns the supported version from the error. */
TEST_F(Rpc, UnknownVersionsGetAnErrorReply)
{
	const struct {
		std::string bytes;
		uint32_t stat;
	} cases[] = {
		{ call(1, hello(), 2), 2 }, /* PROG_MISMATCH */
		{ call(1, hello(), 1, program_number + 1),
		  1 }, /* PROG_UNAVAIL */
		{ call(77, ""), 3 }, /* PROC_UNAVAIL */
		{ call(0, ""), 0 }, /* the null procedure */
	};

	for (auto &c : cases) {
		int fd = send_raw(record(c.bytes));
		char reply[64];
		ssize_t n = 0;

		ASSERT_TRUE(run_until([&] {
			n = recv(fd, reply, sizeof(reply), MSG_DONTWAIT);
			return n > 0;
		})) << c.stat;
		ASSERT_GE(n, 28);
		EXPECT_EQ(std::string(reply + 24, 4), be32(c.stat));
		close(fd);
	}
}

TEST_F(Rpc, HandshakeTimeoutClosesSilentPeers)
{
	int fd = send_raw("");
	char c;

	EXPECT_TRUE(
		run_until([&] { return recv(fd, &c, 1, MSG_DONTWAIT) == 0; }));
	close(fd);
}

TEST_F(Rpc, OversizeRecordClosesTheSessionUntilReconnect)
{
	std::string big(8000, 'b');
	struct pf_wire_msg m = {};

	connect_both();
	m.type = PF_WIRE_CONFIG;
	m.u.config.text = { big.data(), big.size() };
	ASSERT_EQ(pf_rpc_send(client.session, &m), 0);
	ASSERT_TRUE(run_until([&] { return server.downs == 1; }));
	EXPECT_EQ(stats()->oversize_records, 1u);
	EXPECT_TRUE(
		run_until([&] { return server.ups == 2 && client.ups == 2; }));
}

TEST_F(Rpc, PeerThatDoesNotReadIsDropped)
{
	std::string big(4000, 'b');
	struct pf_wire_msg m = {};

	connect_both();
	m.type = PF_WIRE_CONFIG;
	m.u.config.text = { big.data(), big.size() };
	/* Nothing is written to the socket before the loop runs. */
	for (int i = 0; i < 400; i++)
		pf_rpc_send(client.session, &m);
	EXPECT_EQ(pf_rpc_send(client.session, &m), -1);
	EXPECT_FALSE(pf_rpc_is_up(client.session));
	EXPECT_EQ(pf_rpc_stats(client.rpc)->slow_peers, 1u);
	EXPECT_EQ(client.downs, 0);
	EXPECT_TRUE(run_until([&] { return client.downs == 1; }));
}

TEST_F(Rpc, DroppingASessionInItsMessageCallbackIsSafe)
{
	connect_both();
	server.drop_on_message = true;
	for (uint64_t i = 1; i <= 3; i++) {
		struct pf_wire_msg m = revoke(i);

		pf_rpc_send(client.session, &m);
	}
	ASSERT_TRUE(run_until([&] { return client.downs == 1; }));
	EXPECT_EQ(server.received.size(), 1u);
	EXPECT_EQ(server.downs, 0);
}

/* A side that stops closes its socket on messages that are under way to it. */
TEST_F(Rpc, ConfirmationFollowsTheMessagesThatCrossIt)
{
	connect_both();
	for (uint64_t round = 1; round <= 3; round++) {
		struct pf_wire_msg to_client = revoke(round);
		struct pf_wire_msg to_server = revoke(round + 100);

		ASSERT_EQ(pf_rpc_send(server.session, &to_client), 0);
		EXPECT_FALSE(pf_rpc_is_confirmed(server.session));
		pf_rpc_confirm(server.session);
		pf_rpc_confirm(server.session);
		ASSERT_EQ(pf_rpc_send(client.session, &to_server), 0);
		ASSERT_TRUE(run_until(
			[&] { return pf_rpc_is_confirmed(server.session); }));
		EXPECT_EQ(client.received.size(), round);
		EXPECT_EQ(server.received.size(), round);
	}
}

TEST_F(Rpc, ReconnectsAfterThePeerRestarts)
{
	std::string at = addr();

	connect_both();
	pf_rpc_free(server.rpc);
	server.rpc = nullptr;
	ASSERT_TRUE(run_until([&] { return client.downs == 1; }));
	struct pf_rpc_opts o =
		opts(base, &server, "the right key", PF_RPC_AGENT);

	server.rpc = pf_rpc_new(&o);
	ASSERT_EQ(pf_rpc_listen(server.rpc, at.c_str()), 0);
	pf_rpc_set_accepting(server.rpc, true);
	EXPECT_TRUE(run_until([&] { return client.ups == 2; }));
}

/* Two processes must not share a port, or calls would go to either. */
TEST_F(Rpc, SecondListenerOnAPortFails)
{
	Peer other;
	struct pf_rpc_opts o =
		opts(base, &other, "the right key", PF_RPC_AGENT);

	other.rpc = pf_rpc_new(&o);
	EXPECT_EQ(pf_rpc_listen(other.rpc, addr().c_str()), -1);
	EXPECT_EQ(errno, EADDRINUSE);
	pf_rpc_free(other.rpc);
}
