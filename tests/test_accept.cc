// Accept core: concurrent commits, lost results, conflicts, outages.
#include "fuzz/accept_rig.h"

#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace
{

struct Result {
	enum pf_change_outcome outcome;
	uint64_t revision;
	std::string findings;
};

// Reads with a fault get LIMITED or UNKNOWN.
enum Fault {
	NO_FAULT,
	LIMITED,
	UNKNOWN_NOT_APPLIED,
	UNKNOWN_APPLIED,
	NO_REPLY_APPLIED
};

struct Rig {
	struct Core {
		Rig *rig;
		int i;
		struct pf_accept *core;
		struct pf_accept_sink sink;
	};
	std::unique_ptr<struct rig_table> table{ new struct rig_table() };
	std::vector<std::unique_ptr<Core>> cores;
	std::deque<struct rig_op> ops;
	std::map<uint64_t, Result> results;
	pf_ms now = 1000;

	explicit Rig(int n, uint32_t changes_max = 8)
	{
		for (int i = 0; i < n; i++) {
			struct pf_accept_opts o;

			pf_accept_opts_default(&o);
			o.seed = (uint64_t)i + 1;
			o.region = i ? "west" : "east";
			o.scan_limit = 2;
			o.changes_max = changes_max;
			auto c = std::make_unique<Core>();

			c->rig = this;
			c->i = i;
			c->core = pf_accept_new(&o);
			c->sink = { on_act, c.get() };
			cores.push_back(std::move(c));
		}
	}

	~Rig()
	{
		for (auto &c : cores)
			pf_accept_free(c->core);
		for (auto &op : ops)
			rig_op_free(&op);
		rig_table_free(table.get());
	}

	static void on_act(void *ctx, const struct pf_accept_act *act)
	{
		auto *c = static_cast<Core *>(ctx);

		if (act->type == PF_ACCEPT_RESULT) {
			std::string s;

			for (size_t i = 0; i < act->u.result.findings->n; i++)
				s += std::string(act->u.result.findings->v[i]
							 .place) +
				     ": " + act->u.result.findings->v[i].text +
				     "\n";
			EXPECT_EQ(
				c->rig->results.count(act->u.result.request_id),
				0u);
			c->rig->results[act->u.result.request_id] = {
				act->u.result.outcome, act->u.result.revision, s
			};
			return;
		}
		c->rig->ops.emplace_back();
		rig_op_init(&c->rig->ops.back(), act);
		c->rig->ops.back().core = c->i;
	}

	void submit(int core, uint64_t request_id, const char *id,
		    const std::string &toml, int64_t base = -1,
		    const std::vector<struct pf_record_ref> &deletes = {},
		    bool resent = false, const std::string &what = "apply")
	{
		struct pf_records set = {};
		struct pf_findings f = {};
		struct pf_change c = {};
		struct pf_accept_msg m = {};

		ASSERT_EQ(pf_records_parse({ toml.data(), toml.size() },
					   "op.toml", &set, &f),
			  0);
		c.request_id = request_id;
		c.id = pf_str_c(id);
		c.who = core ? PF_STR("walter") : PF_STR("edda");
		c.what = { what.data(), what.size() };
		c.wall_time = 5000;
		c.has_base = base >= 0;
		c.base_revision = base >= 0 ? (uint64_t)base : 0;
		c.resent = resent;
		c.puts = &set;
		c.deletes = deletes.data();
		c.n_deletes = deletes.size();
		m.type = PF_ACCEPT_CHANGE;
		m.u.change = &c;
		pf_accept_step(cores[core]->core, now, &m, &cores[core]->sink);
		pf_records_free(&set);
	}

	// Completes the oldest request, or that of @core.
	bool complete_one(Fault fault = NO_FAULT, int core = -1)
	{
		auto it = ops.begin();

		while (it != ops.end() && core >= 0 && it->core != core)
			++it;
		if (it == ops.end())
			return false;
		struct rig_op op = *it;
		Core *c = cores[op.core].get();
		enum pf_table_status st = PF_TABLE_UNKNOWN;

		ops.erase(it);
		if (fault == LIMITED)
			st = PF_TABLE_LIMITED;
		if (op.type != PF_ACCEPT_COMMIT) {
			rig_answer_read(table.get(), &op,
					fault == NO_FAULT ? PF_TABLE_OK : st,
					c->core, now, &c->sink);
			rig_op_free(&op);
			return true;
		}
		if (fault == NO_FAULT || fault == UNKNOWN_APPLIED ||
		    fault == NO_REPLY_APPLIED) {
			enum pf_table_status did = rig_commit(table.get(), &op);

			if (fault == NO_FAULT)
				st = did;
		}
		if (fault != NO_REPLY_APPLIED)
			rig_answer_commit(&op, st, c->core, now, &c->sink);
		rig_op_free(&op);
		return true;
	}

	// Runs requests and timers until all cores are idle.
	void settle(Fault reads = NO_FAULT, Fault commits = NO_FAULT)
	{
		for (int i = 0; i < 2000; i++) {
			if (!ops.empty()) {
				complete_one(ops.front().type ==
							     PF_ACCEPT_COMMIT
						     ? commits
						     : reads);
				continue;
			}
			pf_ms next = PF_NEVER;

			for (auto &c : cores)
				next = std::min(next, pf_accept_next(c->core));
			if (next == PF_NEVER)
				return;
			now = next;
			tick();
		}
		ADD_FAILURE() << "a core never becomes idle";
	}

	void tick()
	{
		struct pf_accept_msg m = {};

		m.type = PF_ACCEPT_TICK;
		for (auto &c : cores)
			pf_accept_step(c->core, now, &m, &c->sink);
	}

	std::string row_value(const char *key)
	{
		const struct rig_row *r = rig_row_find(table.get(), key);

		return r ? r->value : "";
	}
};

std::string caller_toml(const char *name, char key, int priority = 1)
{
	return std::string("[[caller]]\nschema = 1\nname = \"") + name +
	       "\"\nkey_sha256 = \"" + std::string(64, key) +
	       "\"\npriority = " + std::to_string(priority) + "\n";
}

std::string model_toml(const char *name, int gib)
{
	return std::string("[[model]]\nschema = 1\nname = \"") + name +
	       "\"\nversion = \"1\"\nweights = \"" + std::to_string(gib) +
	       "GiB\"\nkv_token = \"1KiB\"\n";
}

const std::string engine_toml =
	"[[endpoint]]\nschema = 1\nname = \"e\"\nkind = \"engine\"\n"
	"agent = \"127.0.0.1:1\"\nbackend = \"127.0.0.1:2\"\nzone = \"a\"\n"
	"region = \"r\"\nmemory = \"10GiB\"\n";

} // namespace

TEST(Accept, WritesRecordHeadAuditAndChange)
{
	Rig r(1);

	r.submit(0, 1, "ch-1", caller_toml("c", 'a') + engine_toml);
	r.settle();
	EXPECT_EQ(r.results[1].outcome, PF_CHANGE_ACCEPTED)
		<< r.results[1].findings;
	EXPECT_EQ(r.results[1].revision, 1u);
	EXPECT_NE(r.row_value("config/head").find("\"revision\":1"),
		  std::string::npos);
	EXPECT_NE(r.row_value("record/caller/c").find("\"who\":\"edda\""),
		  std::string::npos);
	std::string audit = r.row_value("audit/00000000000000000001");

	for (const char *want :
	     { "\"region\":\"east\"", "\"at_ms\":5000", "\"before\":null",
	       "\"change\":\"ch-1\"", "\"name\":\"e\"" })
		EXPECT_NE(audit.find(want), std::string::npos) << audit;
	// Content that is already in force makes no new revision.
	r.submit(0, 2, "ch-2", caller_toml("c", 'a'));
	r.settle();
	EXPECT_EQ(r.results[2].outcome, PF_CHANGE_ACCEPTED);
	EXPECT_EQ(r.results[2].revision, 1u);
	EXPECT_EQ(r.row_value("audit/00000000000000000002"), "");
}

TEST(Accept, ConflictNamesTheOtherChange)
{
	Rig r(2);

	r.submit(0, 1, "first", caller_toml("c", 'a', 1));
	r.settle();
	r.submit(0, 2, "east-1", caller_toml("c", 'a', 2));
	r.submit(1, 3, "west-1", caller_toml("c", 'a', 3));
	r.settle(); // both read head 1 before either commits
	EXPECT_EQ(r.results[2].outcome, PF_CHANGE_ACCEPTED);
	EXPECT_EQ(r.results[3].outcome, PF_CHANGE_CONFLICT);
	EXPECT_NE(r.results[3].findings.find("caller c: was written by change "
					     "east-1 of edda in revision 2"),
		  std::string::npos)
		<< r.results[3].findings;
	// A base older than the record's last write conflicts, too.
	r.submit(1, 4, "west-2", caller_toml("c", 'a', 3), 1);
	r.submit(1, 5, "west-3", caller_toml("c", 'a', 3), 2);
	r.settle();
	EXPECT_EQ(r.results[4].outcome, PF_CHANGE_CONFLICT);
	EXPECT_EQ(r.results[5].outcome, PF_CHANGE_ACCEPTED);
	r.submit(0, 6, "east-2", "", 3, { { PF_KIND_CALLER, PF_STR("c") } });
	r.submit(0, 7, "east-3", caller_toml("c", 'a', 0), 3);
	r.settle();
	EXPECT_EQ(r.results[6].outcome, PF_CHANGE_ACCEPTED);
	EXPECT_EQ(r.results[7].outcome, PF_CHANGE_CONFLICT);
	EXPECT_NE(r.results[7].findings.find("was deleted by change east-2"),
		  std::string::npos);
}

TEST(Accept, RetriesAfterACommitToOtherRecords)
{
	Rig r(2);

	r.submit(0, 1, "east-1", caller_toml("c", 'a'));
	r.submit(1, 2, "west-1", caller_toml("d", 'b'));
	r.settle();
	EXPECT_EQ(r.results[1].outcome, PF_CHANGE_ACCEPTED);
	EXPECT_EQ(r.results[2].outcome, PF_CHANGE_ACCEPTED);
	EXPECT_EQ(r.results[1].revision + r.results[2].revision, 3u);
	// Either model fits in memory but not both: the later is refused.
	r.submit(0, 3, "east-2", model_toml("m", 5) + engine_toml);
	r.settle();
	r.submit(0, 4, "east-3", model_toml("n", 3));
	r.submit(1, 5, "west-2", model_toml("o", 3));
	r.settle();
	EXPECT_EQ(r.results[4].outcome, PF_CHANGE_ACCEPTED);
	EXPECT_EQ(r.results[5].outcome, PF_CHANGE_REFUSED);
	EXPECT_NE(r.results[5].findings.find("has no home"), std::string::npos);
}

TEST(Accept, ChangeRowResolvesACommitInDoubt)
{
	for (Fault fault : { UNKNOWN_NOT_APPLIED, UNKNOWN_APPLIED,
			     NO_REPLY_APPLIED, LIMITED }) {
		Rig r(1);

		r.submit(0, 1, "ch", caller_toml("c", 'a'));
		while (!r.ops.empty() && r.ops.front().type != PF_ACCEPT_COMMIT)
			r.complete_one();
		ASSERT_TRUE(r.complete_one(fault));
		r.settle();
		EXPECT_EQ(r.results[1].outcome, PF_CHANGE_ACCEPTED) << fault;
		EXPECT_EQ(r.results[1].revision, 1u) << fault;
		EXPECT_EQ(r.row_value("audit/00000000000000000002"), "")
			<< fault;
		// A resend gets the first result; other content is refused.
		r.submit(0, 2, "ch", caller_toml("c", 'a'), -1, {}, true);
		r.submit(0, 3, "ch", caller_toml("c", 'b'));
		r.settle();
		EXPECT_EQ(r.results[2].outcome, PF_CHANGE_ACCEPTED);
		EXPECT_EQ(r.results[2].revision, 1u);
		EXPECT_EQ(r.results[3].outcome, PF_CHANGE_REFUSED);
		EXPECT_NE(r.results[3].findings.find("used for another change"),
			  std::string::npos);
	}
}

// A commit arrives at the table late, after a resend of its change with an older
// base was refused. The head has not moved since, so only closing the id keeps
// the commit from taking effect.
TEST(Accept, LateCommitHasNoEffectAfterARefusal)
{
	const struct {
		Fault close; // fault on the commit that closes the id
		bool arrives_first; // the late commit precedes the close
		enum pf_change_outcome outcome, resend_outcome;
	} cases[] = {
		{ NO_FAULT, false, PF_CHANGE_CONFLICT, PF_CHANGE_CONFLICT },
		{ UNKNOWN_APPLIED, false, PF_CHANGE_CONFLICT,
		  PF_CHANGE_CONFLICT },
		{ UNKNOWN_NOT_APPLIED, false, PF_CHANGE_CONFLICT,
		  PF_CHANGE_CONFLICT },
		{ NO_REPLY_APPLIED, false, PF_CHANGE_CONFLICT,
		  PF_CHANGE_CONFLICT },
		{ NO_FAULT, true, PF_CHANGE_ACCEPTED, PF_CHANGE_ACCEPTED },
	};

	for (const auto &t : cases) {
		Rig r(2);
		auto to_commit = [&r] {
			while (!r.ops.empty() &&
			       r.ops.front().type != PF_ACCEPT_COMMIT)
				r.complete_one();
			return !r.ops.empty();
		};

		r.submit(0, 1, "first", caller_toml("c", 'a', 1));
		r.settle();
		r.submit(0, 2, "second", caller_toml("c", 'a', 2), 1);
		r.settle();
		r.submit(0, 3, "ch", caller_toml("c", 'a', 3), 2);
		ASSERT_TRUE(to_commit());
		struct rig_op late = r.ops.front(); // in flight

		r.ops.pop_front();
		r.submit(1, 4, "ch", caller_toml("c", 'a', 3), 1, {}, true);
		ASSERT_TRUE(to_commit()) << "refused before the id was closed";
		enum pf_table_status late_status = PF_TABLE_CONFLICT;

		if (t.arrives_first)
			late_status = rig_commit(r.table.get(), &late);
		r.complete_one(t.close);
		r.settle();
		EXPECT_EQ(r.results[4].outcome, t.outcome) << t.close;
		if (!t.arrives_first)
			late_status = rig_commit(r.table.get(), &late);
		EXPECT_EQ(late_status == PF_TABLE_OK, t.arrives_first);
		EXPECT_EQ(r.row_value("config/head").find("\"revision\":3") !=
				  std::string::npos,
			  t.arrives_first);
		r.submit(1, 5, "ch", caller_toml("c", 'a', 3), 2, {}, true);
		r.submit(1, 6, "ch", caller_toml("c", 'b', 2), 2, {}, true);
		r.settle();
		EXPECT_EQ(r.results[5].outcome, t.resend_outcome);
		EXPECT_EQ(r.results[6].outcome, PF_CHANGE_REFUSED);
		rig_op_free(&late);
	}
}

TEST(Accept, ReportsUnavailableOnlyIfNotApplied)
{
	const struct {
		Fault reads, commits;
		bool resent;
		enum pf_change_outcome outcome;
	} cases[] = {
		{ UNKNOWN_NOT_APPLIED, NO_FAULT, false, PF_CHANGE_UNAVAILABLE },
		{ LIMITED, NO_FAULT, false, PF_CHANGE_UNAVAILABLE },
		{ UNKNOWN_NOT_APPLIED, NO_FAULT, true, PF_CHANGE_UNKNOWN },
		{ NO_FAULT, LIMITED, false, PF_CHANGE_UNAVAILABLE },
		{ NO_FAULT, UNKNOWN_NOT_APPLIED, false, PF_CHANGE_UNKNOWN },
	};

	for (const auto &t : cases) {
		Rig r(1);

		r.submit(0, 1, "ch", caller_toml("c", 'a'), -1, {}, t.resent);
		r.settle(t.reads, t.commits);
		EXPECT_EQ(r.results[1].outcome, t.outcome)
			<< pf_change_outcome_code(r.results[1].outcome);
		EXPECT_EQ(r.row_value("record/caller/c"), "");
	}
}

TEST(Accept, RefusesBadRequestsAndAFullQueue)
{
	Rig r(1, 2);

	for (uint64_t i = 1; i <= 3; i++)
		r.submit(0, i, ("ch-" + std::to_string(i)).c_str(),
			 caller_toml("c", 'a'));
	EXPECT_EQ(r.results[3].outcome, PF_CHANGE_UNAVAILABLE);
	r.settle();
	r.submit(0, 4, "a b", caller_toml("c", 'a'));
	r.submit(0, 5, "ch-5", "", -1, { { PF_KIND_MODEL, PF_STR("no") } });
	r.submit(0, 6, "ch-6", caller_toml("d", 'b'), 99);
	r.settle();
	for (uint64_t i = 4; i <= 6; i++)
		EXPECT_EQ(r.results[i].outcome, PF_CHANGE_REFUSED) << i;

	struct pf_accept_msg m = {};

	m.type = PF_ACCEPT_SCHEMA_MAX;
	m.u.schema_max = 1;
	pf_accept_step(r.cores[0]->core, r.now, &m, &r.cores[0]->sink);
	r.submit(0, 7, "ch-7", "[deployment]\nschema = 2\n");
	r.settle();
	EXPECT_EQ(r.results[7].outcome, PF_CHANGE_REFUSED);
	EXPECT_NE(r.results[7].findings.find("not all processes read yet"),
		  std::string::npos);
}

TEST(Accept, RefusesAWhatThatTheAuditCannotHold)
{
	const struct {
		size_t n;
		enum pf_change_outcome outcome;
	} cases[] = {
		{ 0, PF_CHANGE_REFUSED },
		{ PF_LABEL_MAX - 1, PF_CHANGE_ACCEPTED },
		{ PF_LABEL_MAX, PF_CHANGE_REFUSED },
		{ PF_LABEL_MAX + 1, PF_CHANGE_REFUSED },
		{ 5000, PF_CHANGE_REFUSED },
	};

	for (auto &t : cases) {
		const std::string what(t.n, 'w');
		Rig r(1);

		r.submit(0, 1, "ch-1", caller_toml("c", 'a'), -1, {}, false,
			 what);
		r.settle();
		EXPECT_EQ(r.results[1].outcome, t.outcome) << t.n;
		if (t.outcome == PF_CHANGE_REFUSED)
			EXPECT_EQ(r.results[1].findings,
				  "what: must be 1 to 129 printable bytes\n")
				<< t.n;
		else
			EXPECT_NE(r.row_value("audit/00000000000000000001")
					  .find(what),
				  std::string::npos);
	}
}

TEST(Accept, UnreadableRowsStopAChangeMissingAuditsDoNot)
{
	struct rig_row row = {};
	Rig r(2);

	r.submit(0, 1, "ch-1", caller_toml("c", 'a'));
	r.submit(1, 2, "ch-2", caller_toml("d", 'b'));
	r.settle();
	r.submit(0, 3, "ch-3", caller_toml("e", 'c'));
	r.settle();
	// Core 1 lags and the audit row that it lacks is deleted.
	bool found;
	size_t i = rig_row_index(r.table.get(), "audit/00000000000000000003",
				 &found);

	ASSERT_TRUE(found);
	free(r.table->rows[i].value);
	memmove(&r.table->rows[i], &r.table->rows[i + 1],
		(--r.table->n_rows - i) * sizeof(r.table->rows[0]));
	r.submit(1, 4, "ch-4", caller_toml("f", 'd'));
	r.settle();
	EXPECT_EQ(r.results[4].outcome, PF_CHANGE_ACCEPTED);
	EXPECT_EQ(r.results[4].revision, 4u);
	for (const char *key : { "audit/00000000000000000005",
				 "record/caller/c", "config/head" }) {
		Rig cold(1);
		char broken[] = "{";

		strcpy(row.key, key);
		row.value = broken;
		cold.submit(0, 1, "ch-1", caller_toml("c", 'a'));
		cold.settle();
		rig_row_put(cold.table.get(), &row);
		struct pf_accept_opts o;

		pf_accept_opts_default(&o);
		pf_accept_free(cold.cores[0]->core);
		cold.cores[0]->core = pf_accept_new(&o);
		cold.submit(0, 2, "ch-2", caller_toml("d", 'b'));
		cold.settle();
		bool ignored = std::string(key).find("audit") == 0;

		EXPECT_EQ(cold.results[2].outcome,
			  ignored ? PF_CHANGE_ACCEPTED : PF_CHANGE_REFUSED);
		EXPECT_EQ(cold.results[2].findings.find("can't be read") ==
				  std::string::npos,
			  ignored)
			<< cold.results[2].findings;
	}
}
