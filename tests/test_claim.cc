// Claim core: group commit, resends, refusals, restarts and seeds that once
// failed.
#include "fuzz/fake_table.h"
extern "C" {
#include "fuzz/fuzz.h"
}
#include "pimentoford/claim.h"

#include <gtest/gtest.h>

#include <cstring>
#include <deque>
#include <string>
#include <vector>

extern "C" void fuzz_violation(struct fuzz_result *r, const char *fmt, ...)
{
	if (r->violations++ == 0)
		snprintf(r->first_violation, sizeof(r->first_violation), "%s",
			 fmt);
}

namespace
{
// The table completes operations at the next advance().
struct Rig {
	struct Reply {
		uint64_t request;
		bool granted;
		enum pf_reason reason;
		std::string text;
	};
	struct Op {
		uint64_t id;
		struct pf_table_txn *txn;
		std::string prefix, after;
		uint32_t limit;
	};

	struct fake_table *table = fake_table_new();
	struct pf_claim *core = nullptr;
	pf_ms now = 1000000;
	std::vector<Reply> replies;
	std::vector<uint64_t> settled;
	std::deque<Op> ops;
	bool table_down = false; // operations get UNKNOWN, no effect
	bool lose_replies = false; // commits apply but get UNKNOWN
	bool drained = false, superseded = false;

	static struct pf_claim_opts options(uint64_t incarnation = 1,
					    uint32_t waiters_max = 64,
					    uint32_t keys_max = 1000)
	{
		struct pf_claim_opts o;

		pf_claim_opts_default(&o);
		o.service = "book";
		o.agent = 7;
		o.incarnation = incarnation;
		o.shards = 4;
		o.waiters_max = waiters_max;
		o.keys_max = keys_max;
		return o;
	}
	explicit Rig(uint64_t incarnation = 1, uint32_t waiters_max = 64,
		     uint32_t keys_max = 1000)
	    : Rig(options(incarnation, waiters_max, keys_max))
	{
	}
	explicit Rig(const struct pf_claim_opts &o) : core(pf_claim_new(&o))
	{
	}
	~Rig()
	{
		for (auto &op : ops)
			if (op.txn)
				fake_txn_free(op.txn);
		pf_claim_free(core);
		fake_table_free(table);
	}
	static void emit(void *ctx, const struct pf_claim_act *a)
	{
		auto *r = static_cast<Rig *>(ctx);

		switch (a->type) {
		case PF_CLAIM_REPLY:
			r->replies.push_back(
				{ a->u.reply.id.request, a->u.reply.granted,
				  a->u.reply.reason,
				  std::string(a->u.reply.answer.p,
					      a->u.reply.answer.n) });
			break;
		case PF_CLAIM_RESULT_SETTLED:
			r->settled.push_back(a->u.key);
			break;
		case PF_CLAIM_TXN:
			r->ops.push_back({ a->u.txn.op,
					   fake_txn_copy(&a->u.txn.txn), "", "",
					   0 });
			break;
		case PF_CLAIM_SCAN:
			r->ops.push_back({ a->u.scan.op, nullptr,
					   std::string(a->u.scan.prefix.p,
						       a->u.scan.prefix.n),
					   std::string(a->u.scan.after.p,
						       a->u.scan.after.n),
					   a->u.scan.limit });
			break;
		case PF_CLAIM_DRAINED:
			r->drained = true;
			break;
		case PF_CLAIM_SUPERSEDED:
			r->superseded = true;
			break;
		default:
			break;
		}
	}
	void step(const struct pf_claim_msg &m)
	{
		struct pf_claim_sink sink = { emit, this };

		pf_claim_step(core, now, &m, &sink);
	}
	void complete(const Op &op)
	{
		struct pf_claim_msg m = {};
		struct pf_table_row rows[300];

		if (op.txn) {
			m.type = PF_CLAIM_TXN_DONE;
			m.u.txn.op = op.id;
			m.u.txn.status = PF_TABLE_UNKNOWN;
			if (!table_down)
				m.u.txn.status =
					fake_table_txn(table, op.txn,
						       &m.u.txn.failed_check,
						       &m.u.txn.revision);
			if (lose_replies)
				m.u.txn.status = PF_TABLE_UNKNOWN;
			fake_txn_free(op.txn);
		} else {
			m.type = PF_CLAIM_SCAN_DONE;
			m.u.scan.op = op.id;
			m.u.scan.status =
				table_down ? PF_TABLE_UNKNOWN : PF_TABLE_OK;
			m.u.scan.rows = rows;
			m.u.scan.n_rows =
				fake_table_scan(table,
						pf_str_c(op.prefix.c_str()),
						pf_str_c(op.after.c_str()),
						rows, op.limit, &m.u.scan.more);
		}
		step(m);
	}
	void advance(pf_ms ms)
	{
		struct pf_claim_msg tick = {};

		tick.type = PF_CLAIM_TICK;
		for (pf_ms end = now + ms; now < end; now += 5) {
			while (!ops.empty()) {
				Op op = ops.front();

				ops.pop_front();
				complete(op);
			}
			step(tick);
		}
	}
	void request(uint64_t id, uint64_t key, uint64_t fingerprint = 1)
	{
		struct pf_claim_msg m = {};

		m.type = PF_CLAIM_REQUEST;
		m.u.request.id = { id, 1 };
		m.u.request.key = key;
		m.u.request.fingerprint = fingerprint;
		step(m);
	}
	void result(uint64_t key, const char *text)
	{
		struct pf_claim_msg m = {};

		m.type = PF_CLAIM_RESULT;
		m.u.result.key = key;
		m.u.result.answer = pf_str_c(text);
		step(m);
	}
	void send_key(enum pf_claim_msg_type type, uint64_t key)
	{
		struct pf_claim_msg m = {};

		m.type = type;
		m.u.key = key;
		step(m);
	}
	const Reply *reply(uint64_t request) const
	{
		for (auto &a : replies)
			if (a.request == request)
				return &a;
		return nullptr;
	}
};

const uint64_t KEY = 0x1234567800000001;
} // namespace

TEST(Claim, ResendGetsTheStoredAnswer)
{
	Rig r;

	r.advance(2000);
	r.request(1, KEY);
	r.advance(100);
	ASSERT_TRUE(r.reply(1) && r.reply(1)->granted);
	r.request(2, KEY);
	r.advance(500);
	EXPECT_EQ(r.reply(2), nullptr) << "waits for the run";
	r.result(KEY, "van 12");
	r.advance(200);
	ASSERT_EQ(r.settled, std::vector<uint64_t>{ KEY });
	ASSERT_TRUE(r.reply(2));
	EXPECT_FALSE(r.reply(2)->granted);
	EXPECT_EQ(r.reply(2)->reason, PF_REASON_NONE);
	EXPECT_EQ(r.reply(2)->text, "van 12");
	r.request(3, KEY);
	r.advance(100);
	ASSERT_TRUE(r.reply(3));
	EXPECT_EQ(r.reply(3)->text, "van 12") << "read back from the log";
}

TEST(Claim, NextIncarnationKnowsResultsAndLostRuns)
{
	Rig a;

	a.advance(2000);
	a.request(1, KEY);
	a.request(2, KEY + 1);
	a.advance(100);
	a.result(KEY, "done");
	a.advance(100);
	Rig b(2);

	std::swap(a.table, b.table);
	b.advance(8000);
	b.request(3, KEY);
	b.request(4, KEY + 1);
	b.advance(500);
	ASSERT_TRUE(b.reply(3) && b.reply(4));
	EXPECT_EQ(b.reply(3)->text, "done");
	EXPECT_EQ(b.reply(4)->reason, PF_REASON_OUTCOME_UNKNOWN);
	std::swap(a.table, b.table);
}

TEST(Claim, ShardAtItsBoundOfPastOwnersMovesOnceOneExpired)
{
	struct fake_table *table = fake_table_new();
	struct pf_claim_opts o = Rig::options();
	pf_ms now = 1000000;

	o.past_owners_max = 2;
	o.retention = 30000;
	for (o.incarnation = 1; o.incarnation <= 4; o.incarnation++) {
		Rig r(o);

		std::swap(r.table, table);
		r.now = now;
		r.advance(8000);
		EXPECT_EQ(pf_claim_owns(r.core, 0), o.incarnation <= 3);
		if (o.incarnation == 4) {
			r.advance(2 * o.retention);
			EXPECT_TRUE(pf_claim_owns(r.core, 0));
		}
		now = r.now;
		std::swap(r.table, table);
	}
	fake_table_free(table);
}

TEST(Claim, OldIncarnationStopsWhenItReturns)
{
	Rig a, b(2);

	a.advance(2000);
	std::swap(a.table, b.table);
	b.advance(8000);
	std::swap(a.table, b.table);
	a.request(1, KEY);
	a.advance(3000);
	EXPECT_TRUE(a.superseded);
	ASSERT_TRUE(a.reply(1));
	EXPECT_FALSE(a.reply(1)->granted);
	a.request(2, KEY);
	EXPECT_EQ(a.reply(2)->reason, PF_REASON_NOT_RESIDENT);
}

TEST(Claim, RefusalsTellWhetherARunIsPossible)
{
	struct Case {
		const char *name;
		void (*prepare)(Rig &r);
		uint64_t fingerprint;
		enum pf_reason want;
	};
	const Case cases[] = {
		{ "same key, another body",
		  [](Rig &r) {
			  r.request(1, KEY);
			  r.advance(100);
		  },
		  2, PF_REASON_KEY_REUSED },
		{ "table down, new key", [](Rig &r) { r.table_down = true; }, 1,
		  PF_REASON_STORE_AWAY },
		{ "table down, result not stored yet",
		  [](Rig &r) {
			  r.request(1, KEY);
			  r.advance(100);
			  r.table_down = true;
			  r.result(KEY, "x");
		  },
		  1, PF_REASON_OUTCOME_UNKNOWN },
		{ "run lost",
		  [](Rig &r) {
			  r.request(1, KEY);
			  r.advance(100);
			  r.send_key(PF_CLAIM_RUN_LOST, KEY);
		  },
		  1, PF_REASON_OUTCOME_UNKNOWN },
	};

	for (const Case &c : cases) {
		Rig r;

		r.advance(2000);
		c.prepare(r);
		r.request(9, KEY, c.fingerprint);
		r.advance(5000);
		ASSERT_TRUE(r.reply(9)) << c.name;
		EXPECT_FALSE(r.reply(9)->granted) << c.name;
		EXPECT_EQ(r.reply(9)->reason, c.want) << c.name;
	}
}

TEST(Claim, VoidLetsAResendRun)
{
	Rig r;

	r.advance(2000);
	r.request(1, KEY);
	r.advance(100);
	r.send_key(PF_CLAIM_VOID, KEY);
	r.request(2, KEY);
	r.advance(300);
	ASSERT_TRUE(r.reply(2));
	EXPECT_TRUE(r.reply(2)->granted);
}

TEST(Claim, LostTableReplyCausesNoSecondRow)
{
	Rig r;
	struct pf_table_row rows[8];
	bool more;

	r.advance(2000);
	r.lose_replies = true;
	r.request(1, KEY);
	r.advance(60);
	r.lose_replies = false;
	r.advance(200);
	ASSERT_TRUE(r.reply(1) && r.reply(1)->granted);
	EXPECT_EQ(fake_table_scan(r.table, PF_STR("claimlog/"), PF_STR(""),
				  rows, 8, &more),
		  1u);
}

TEST(Claim, RefusesNewKeysAtItsBounds)
{
	Rig few(1, 2), small(1, 64, 2);

	few.advance(2000);
	for (uint64_t i = 0; i < 4; i++)
		few.request(i, KEY + i);
	EXPECT_EQ(few.reply(3)->reason, PF_REASON_FULL);
	small.advance(2000);
	for (uint64_t i = 0; i < 3; i++) {
		small.request(i, KEY + i);
		small.advance(100);
		small.result(KEY + i, "x");
		small.advance(100);
	}
	EXPECT_EQ(small.reply(2)->reason, PF_REASON_FULL);
	EXPECT_TRUE(small.reply(1)->granted);
}

TEST(Claim, CommitsInGroups)
{
	Rig r;
	uint64_t before;

	r.advance(2000);
	before = fake_table_commits(r.table);
	for (uint64_t i = 0; i < 60; i++)
		r.request(i, pf_id2(1, i));
	r.advance(200);
	EXPECT_EQ(r.replies.size(), 60u);
	// At most two log rows, and perhaps one heartbeat.
	EXPECT_LE(fake_table_commits(r.table) - before, 3u);
}

TEST(Claim, DrainStoresResultsFirst)
{
	Rig r;
	struct pf_claim_msg m = {};

	r.advance(2000);
	r.request(1, KEY);
	r.advance(100);
	m.type = PF_CLAIM_DRAIN;
	r.step(m);
	r.advance(3000);
	EXPECT_FALSE(r.drained) << "a run is in progress";
	r.result(KEY, "x");
	r.advance(3000);
	EXPECT_TRUE(r.drained);
	EXPECT_EQ(r.settled.size(), 1u);
}

// Each fuzz seed once ran a key twice or left a shard without owner.
TEST(Claim, SeedsThatOnceFailed)
{
	const uint64_t seeds[] = {
		// A conflict at an old revision gave up a shard owned again.
		8217958713137189036u,
		// A void applied twice freed a later claim.
		2600060641187045905u,
		// An interrupted pass over the logs was resumed.
		1124352824361879699u,
		// A pending claim hid another owner's.
		3213724590900981829u,
		6149823239664762622u,
		9505548202808674096u,
	};

	for (uint64_t s : seeds) {
		struct fuzz_result r = {};

		fuzz_claim(s, 400, &r);
		EXPECT_EQ(r.violations, 0u) << s << ": " << r.first_violation;
	}
}
