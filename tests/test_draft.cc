// The draft core under single faults: any request to a store loses its reply or
// crashes its entry, or a lease holder is paused.
#include "fuzz/fake_table.h"
#include "pimentoford/draft.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace
{

enum Fault {
	NO_FAULT,
	UNKNOWN_NOT_APPLIED,
	UNKNOWN_APPLIED,
	CRASH_NOT_APPLIED,
	CRASH_APPLIED
};

std::string str(struct pf_str s)
{
	return s.n ? std::string(s.p, s.n) : std::string();
}

struct Op {
	int core;
	enum pf_draft_act_type type;
	uint64_t seq;
	std::shared_ptr<struct pf_table_txn> txn;
	std::string name, body; // name: or key, prefix, id; body: or `after`
	uint32_t limit;
};

struct Reply {
	enum pf_draft_outcome outcome;
	std::string id, body;
};

struct Rig {
	struct Entry {
		Rig *rig;
		int index;
		struct pf_draft *core;
		struct pf_draft_sink sink;
	};
	struct fake_table *table = fake_table_new();
	std::map<std::string, std::string> objects;
	std::vector<std::unique_ptr<Entry>> entries;
	std::deque<Op> ops;
	std::map<uint64_t, Reply> replies; // by ticket
	std::map<std::string, int> runs; // by draft id
	pf_ms now = 1000;

	explicit Rig(int n)
	{
		for (int i = 0; i < n; i++)
			add_entry();
	}

	~Rig()
	{
		for (auto &s : entries)
			pf_draft_free(s->core);
		fake_table_free(table);
	}

	void add_entry()
	{
		struct pf_draft_opts o;
		auto s = std::make_unique<Entry>();

		pf_draft_opts_default(&o);
		o.seed = o.holder = entries.size() + 1;
		o.scan_interval = 50;
		o.lease = 6000;
		o.retention = 100000;
		o.caller_open_max = 2;
		s->rig = this;
		s->index = (int)entries.size();
		s->core = pf_draft_new(&o);
		s->sink = { emit, s.get() };
		entries.push_back(std::move(s));
	}

	static void emit(void *ctx, const struct pf_draft_act *a)
	{
		auto *s = static_cast<Entry *>(ctx);
		Op op = { s->index, a->type, a->seq, nullptr, "", "", 1 };

		switch (a->type) {
		case PF_DRAFT_REPLY:
			EXPECT_EQ(s->rig->replies.count(a->u.reply.ticket), 0u);
			s->rig->replies[a->u.reply.ticket] = {
				a->u.reply.outcome, str(a->u.reply.id),
				str(a->u.reply.body)
			};
			return;
		case PF_DRAFT_RUN_CANCEL:
			return;
		case PF_DRAFT_TXN:
			op.txn.reset(fake_txn_copy(&a->u.txn), fake_txn_free);
			break;
		case PF_DRAFT_ROW_GET:
			op.name = str(a->u.key);
			break;
		case PF_DRAFT_ROW_SCAN:
			op.name = str(a->u.scan.prefix);
			op.body = str(a->u.scan.after);
			op.limit = a->u.scan.limit;
			break;
		case PF_DRAFT_RUN:
			op.name = str(a->u.run.id);
			break;
		default:
			op.name = str(a->u.object.name);
			op.body = str(a->u.object.body);
			break;
		}
		s->rig->ops.push_back(op);
	}

	void step(int i, struct pf_draft_msg *m)
	{
		pf_draft_step(entries[i]->core, now, m, &entries[i]->sink);
	}

	void submit(int i, uint64_t ticket, uint64_t key,
		    const char *body = "b")
	{
		struct pf_draft_msg m = {};

		m.type = PF_DRAFT_SUBMIT;
		m.u.submit = { ticket, 7, key, pf_str_c(body) };
		step(i, &m);
	}

	void fetch(int i, uint64_t ticket, const std::string &id,
		   uint64_t caller = 7, bool cancel = false)
	{
		struct pf_draft_msg m = {};

		m.type = cancel ? PF_DRAFT_CANCEL : PF_DRAFT_FETCH;
		m.u.fetch = { ticket, caller, { id.data(), id.size() } };
		step(i, &m);
	}

	void complete(const Op &op, bool applied, bool replied)
	{
		struct pf_draft_msg m = {};
		struct pf_table_row rows[100];
		uint64_t revision = 0;
		uint32_t failed;
		bool more;
		std::string text;
		auto st = PF_TABLE_UNKNOWN;

		m.seq = op.seq;
		switch (op.type) {
		case PF_DRAFT_TXN:
			m.type = PF_DRAFT_TXN_DONE;
			if (applied)
				st = fake_table_txn(table, op.txn.get(),
						    &failed, &revision);
			m.u.txn = { replied ? st : PF_TABLE_UNKNOWN, revision };
			break;
		case PF_DRAFT_ROW_GET:
		case PF_DRAFT_ROW_SCAN:
			m.type = PF_DRAFT_ROWS_DONE;
			m.u.rows = { replied ? PF_TABLE_OK : PF_TABLE_UNKNOWN,
				     rows, 0 };
			if (replied)
				m.u.rows.n_rows = fake_table_scan(
					table, pf_str_c(op.name.c_str()),
					pf_str_c(op.body.c_str()), rows,
					op.limit, &more);
			break;
		case PF_DRAFT_RUN:
			text = "answer " + std::to_string(++runs[op.name]);
			m.type = PF_DRAFT_RUN_DONE;
			m.u.run = { replied, 200, pf_str_c(text.c_str()) };
			break;
		default:
			m.type = PF_DRAFT_OBJECT_DONE;
			if (applied && op.type == PF_DRAFT_OBJECT_PUT)
				objects[op.name] = op.body;
			if (applied && op.type == PF_DRAFT_OBJECT_DELETE)
				objects.erase(op.name);
			m.u.object.status =
				!replied ? PF_OBJECT_UNKNOWN
				: op.type == PF_DRAFT_OBJECT_GET &&
						!objects.count(op.name)
					? PF_OBJECT_NOT_FOUND
					: PF_OBJECT_OK;
			text = objects[op.name];
			if (text.empty())
				objects.erase(op.name);
			m.u.object.body = pf_str_c(text.c_str());
			break;
		}
		if (entries[op.core]->core)
			step(op.core, &m);
	}

	void complete_one(Fault fault)
	{
		Op op = ops.front();

		ops.pop_front();
		if (!entries[op.core]->core)
			return;
		if (fault >= CRASH_NOT_APPLIED) {
			pf_draft_free(entries[op.core]->core);
			entries[op.core]->core = nullptr;
		}
		complete(op,
			 fault != UNKNOWN_NOT_APPLIED &&
				 fault != CRASH_NOT_APPLIED,
			 fault == NO_FAULT);
	}

	void tick(int by = 20)
	{
		struct pf_draft_msg m = {};

		m.type = PF_DRAFT_TICK;
		now += by;
		for (size_t i = 0; i < entries.size(); i++)
			if (entries[i]->core)
				step((int)i, &m);
	}

	// Runs for @ms. The @nth request from now, scans not counted, meets
	// @fault; false if it was not reached.
	bool run_for(int ms, int nth = -1, Fault fault = NO_FAULT)
	{
		bool hit = false;

		for (pf_ms end = now + ms; now < end; tick())
			while (!ops.empty()) {
				bool chosen =
					ops.front().type != PF_DRAFT_ROW_SCAN &&
					nth-- == 0;

				hit |= chosen;
				complete_one(chosen ? fault : NO_FAULT);
			}
		return hit;
	}

	size_t count_rows(const char *prefix)
	{
		struct pf_table_row v[100];
		bool more;

		return fake_table_scan(table, pf_str_c(prefix), {}, v, 100,
				       &more);
	}
};

} // namespace

// A draft whose submission met a fault is finished, fetched by its caller only
// and deleted after the retention.
TEST(Draft, AcceptedDraftFinishesAfterAnyLostReplyOrCrash)
{
	int hits = 0;

	for (Fault fault : { UNKNOWN_NOT_APPLIED, UNKNOWN_APPLIED,
			     CRASH_NOT_APPLIED, CRASH_APPLIED })
		for (int nth = 0; nth < 12; nth++) {
			Rig r(2);

			r.submit(0, 1, 9);
			hits += r.run_for(40000, nth, fault);
			int live = r.entries[0]->core ? 0 : 1;

			// A resend with the key resolves an unknown outcome.
			r.submit(live, 2, 9);
			r.run_for(40000);
			ASSERT_EQ(r.replies[2].outcome,
				  PF_DRAFT_OUTCOME_ACCEPTED);
			if (r.replies.count(1)) {
				EXPECT_EQ(r.replies[1].id, r.replies[2].id);
			}
			r.fetch(live, 3, r.replies[2].id);
			r.fetch(live, 4, r.replies[2].id, 8);
			r.run_for(1000);
			EXPECT_EQ(r.replies[3].outcome, PF_DRAFT_OUTCOME_ANSWER)
				<< fault << " " << nth;
			EXPECT_EQ(r.replies[4].outcome,
				  PF_DRAFT_OUTCOME_NOT_FOUND);
			EXPECT_EQ(r.count_rows("draft/done/"), 1u);
			r.run_for(140000);
			EXPECT_EQ(r.count_rows("draft/"), 0u);
			// A body whose row was never written may be left.
			EXPECT_LE(r.objects.size(), 1u);
		}
	EXPECT_GE(hits, 24);
}

// A paused holder resumes after another entry took its lease and finished.
TEST(Draft, ResumedHolderCannotReplaceTheAnswer)
{
	Rig r(1);
	Op held = {};

	r.submit(0, 1, 0);
	for (int i = 0; i < 200 && held.type != PF_DRAFT_RUN; i++, r.tick())
		while (!r.ops.empty() && held.type != PF_DRAFT_RUN) {
			held = r.ops.front();
			if (held.type == PF_DRAFT_RUN)
				r.ops.pop_front();
			else
				r.complete_one(NO_FAULT);
		}
	ASSERT_EQ(held.type, PF_DRAFT_RUN);
	struct pf_draft *paused = r.entries[0]->core;

	r.entries[0]->core = nullptr;
	r.add_entry();
	r.run_for(30000);
	EXPECT_EQ(r.count_rows("draft/done/"), 1u);
	r.fetch(1, 2, r.replies[1].id);
	r.run_for(100);
	r.entries[0]->core = paused;
	r.complete(held, true, true);
	r.run_for(10000);
	r.fetch(0, 3, r.replies[1].id);
	r.run_for(100);
	EXPECT_EQ(r.replies[2].body, "answer 1");
	EXPECT_EQ(r.replies[3].body, "answer 1");
	EXPECT_EQ(r.runs[r.replies[1].id], 2);
}

TEST(Draft, QuotaCancelKeyReuseAndStoreOutage)
{
	Rig r(1);

	for (uint64_t i = 1; i <= 3; i++)
		r.submit(0, i, i);
	EXPECT_EQ(r.replies[3].outcome, PF_DRAFT_OUTCOME_TOO_MANY);
	while (r.replies.size() < 3)
		r.complete_one(NO_FAULT);
	r.fetch(0, 4, r.replies[1].id, 7, true);
	r.run_for(20000);
	EXPECT_EQ(r.replies[4].outcome, PF_DRAFT_OUTCOME_CANCELLED);
	EXPECT_EQ(r.runs[r.replies[1].id], 0);
	EXPECT_EQ(r.runs[r.replies[2].id], 1);
	r.submit(0, 5, 2, "another body");
	r.run_for(1000);
	EXPECT_EQ(r.replies[5].outcome, PF_DRAFT_OUTCOME_KEY_REUSED);
	// Store outage: unavailable before the row is sent, unknown after.
	r.submit(0, 6, 0);
	r.submit(0, 7, 0);
	while (r.ops.front().type != PF_DRAFT_OBJECT_PUT)
		r.complete_one(NO_FAULT);
	r.complete_one(NO_FAULT);
	for (int i = 0; i < 600; i++, r.tick())
		while (!r.ops.empty())
			r.complete_one(UNKNOWN_NOT_APPLIED);
	EXPECT_EQ(r.replies[6].outcome, PF_DRAFT_OUTCOME_UNKNOWN);
	EXPECT_EQ(r.replies[7].outcome, PF_DRAFT_OUTCOME_UNAVAILABLE);
}
