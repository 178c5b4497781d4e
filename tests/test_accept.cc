// Accepting operators' changes: races, lost answers, conflicts, outages.
#include "fuzz/accept_rig.h"

#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace
{

struct Outcome {
	enum pf_change_outcome outcome;
	uint64_t revision;
	std::string findings;
};

// What becomes of an answer of the table.
enum Fate { DO, LIMITED, LOST_BEFORE, LOST_AFTER, SILENT_AFTER };

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
	std::map<uint64_t, Outcome> done;
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
			c->sink = { emit, c.get() };
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

	static void emit(void *ctx, const struct pf_accept_act *act)
	{
		auto *c = static_cast<Core *>(ctx);

		if (act->type == PF_ACCEPT_RESULT) {
			std::string s;

			for (size_t i = 0; i < act->u.result.findings->n; i++)
				s += std::string(act->u.result.findings->v[i]
							 .place) +
				     ": " + act->u.result.findings->v[i].text +
				     "\n";
			EXPECT_EQ(c->rig->done.count(act->u.result.request_id),
				  0u);
			c->rig->done[act->u.result.request_id] = {
				act->u.result.outcome, act->u.result.revision, s
			};
			return;
		}
		c->rig->ops.emplace_back();
		rig_copy(&c->rig->ops.back(), act);
		c->rig->ops.back().core = c->i;
	}

	void submit(int core, uint64_t ticket, const char *id,
		    const std::string &toml, int64_t base = -1,
		    const std::vector<struct pf_record_ref> &gone = {},
		    bool resent = false)
	{
		struct pf_records set = {};
		struct pf_findings f = {};
		struct pf_change c = {};
		struct pf_accept_msg m = {};

		ASSERT_EQ(pf_records_parse({ toml.data(), toml.size() },
					   "op.toml", &set, &f),
			  0);
		c.request_id = ticket;
		c.id = pf_str_c(id);
		c.who = core ? PF_STR("walter") : PF_STR("edda");
		c.what = PF_STR("apply");
		c.wall_time = 5000;
		c.has_base = base >= 0;
		c.base_revision = base >= 0 ? (uint64_t)base : 0;
		c.resent = resent;
		c.puts = &set;
		c.deletes = gone.data();
		c.n_deletes = gone.size();
		m.type = PF_ACCEPT_CHANGE;
		m.u.change = &c;
		pf_accept_step(cores[core]->core, now, &m, &cores[core]->sink);
		pf_records_free(&set);
	}

	// Carries out the oldest op, or the oldest one of @core.
	bool one(Fate fate = DO, int core = -1)
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
		if (fate == LIMITED)
			st = PF_TABLE_LIMITED;
		if (op.type != PF_ACCEPT_COMMIT) {
			rig_answer_read(table.get(), &op,
					fate == DO ? PF_TABLE_OK : st, c->core,
					now, &c->sink);
			rig_op_free(&op);
			return true;
		}
		if (fate == DO || fate == LOST_AFTER || fate == SILENT_AFTER) {
			enum pf_table_status did = rig_commit(table.get(), &op);

			if (fate == DO)
				st = did;
		}
		if (fate != SILENT_AFTER)
			rig_answer_commit(&op, st, c->core, now, &c->sink);
		rig_op_free(&op);
		return true;
	}

	// Runs ops and timers until every core rests.
	void settle(Fate reads = DO, Fate commits = DO)
	{
		for (int i = 0; i < 2000; i++) {
			if (!ops.empty()) {
				one(ops.front().type == PF_ACCEPT_COMMIT
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
		ADD_FAILURE() << "never rests";
	}

	void tick()
	{
		struct pf_accept_msg m = {};

		m.type = PF_ACCEPT_TICK;
		for (auto &c : cores)
			pf_accept_step(c->core, now, &m, &c->sink);
	}

	std::string value(const char *key)
	{
		const struct rig_row *r = rig_row(table.get(), key);

		return r ? r->value : "";
	}
};

std::string caller(const char *name, char key, int priority = 1)
{
	return std::string("[[caller]]\nschema = 1\nname = \"") + name +
	       "\"\nkey_sha256 = \"" + std::string(64, key) +
	       "\"\npriority = " + std::to_string(priority) + "\n";
}

std::string model(const char *name, int gib)
{
	return std::string("[[model]]\nschema = 1\nname = \"") + name +
	       "\"\nversion = \"1\"\nweights = \"" + std::to_string(gib) +
	       "GiB\"\nkv_token = \"1KiB\"\n";
}

const std::string engine =
	"[[endpoint]]\nschema = 1\nname = \"e\"\nkind = \"engine\"\n"
	"agent = \"127.0.0.1:1\"\nbackend = \"127.0.0.1:2\"\nzone = \"a\"\n"
	"region = \"r\"\nmemory = \"10GiB\"\n";

} // namespace

TEST(Accept, WritesRecordHeadAuditAndChange)
{
	Rig r(1);

	r.submit(0, 1, "ch-1", caller("c", 'a') + engine);
	r.settle();
	EXPECT_EQ(r.done[1].outcome, PF_CHANGE_ACCEPTED) << r.done[1].findings;
	EXPECT_EQ(r.done[1].revision, 1u);
	EXPECT_NE(r.value("config/head").find("\"revision\":1"),
		  std::string::npos);
	EXPECT_NE(r.value("record/caller/c").find("\"who\":\"edda\""),
		  std::string::npos);
	std::string audit = r.value("audit/00000000000000000001");

	for (const char *want :
	     { "\"region\":\"east\"", "\"at_ms\":5000", "\"before\":null",
	       "\"change\":\"ch-1\"", "\"name\":\"e\"" })
		EXPECT_NE(audit.find(want), std::string::npos) << audit;
	// The same content again is no change; the head stays.
	r.submit(0, 2, "ch-2", caller("c", 'a'));
	r.settle();
	EXPECT_EQ(r.done[2].outcome, PF_CHANGE_ACCEPTED);
	EXPECT_EQ(r.done[2].revision, 1u);
	EXPECT_EQ(r.value("audit/00000000000000000002"), "");
}

TEST(Accept, TwoOperatorsOnOneRecordOneIsToldOfTheOther)
{
	Rig r(2);

	r.submit(0, 1, "first", caller("c", 'a', 1));
	r.settle();
	r.submit(0, 2, "east-1", caller("c", 'a', 2));
	r.submit(1, 3, "west-1", caller("c", 'a', 3));
	r.settle(); // both read the head at 1 before either commits
	EXPECT_EQ(r.done[2].outcome, PF_CHANGE_ACCEPTED);
	EXPECT_EQ(r.done[3].outcome, PF_CHANGE_CONFLICT);
	EXPECT_NE(r.done[3].findings.find("caller c: was written by change "
					  "east-1 of edda in revision 2"),
		  std::string::npos)
		<< r.done[3].findings;
	// A base that is older than the record conflicts as well.
	r.submit(1, 4, "west-2", caller("c", 'a', 3), 1);
	r.submit(1, 5, "west-3", caller("c", 'a', 3), 2);
	r.settle();
	EXPECT_EQ(r.done[4].outcome, PF_CHANGE_CONFLICT);
	EXPECT_EQ(r.done[5].outcome, PF_CHANGE_ACCEPTED);
	r.submit(0, 6, "east-2", "", 3, { { PF_KIND_CALLER, PF_STR("c") } });
	r.submit(0, 7, "east-3", caller("c", 'a', 0), 3);
	r.settle();
	EXPECT_EQ(r.done[6].outcome, PF_CHANGE_ACCEPTED);
	EXPECT_EQ(r.done[7].outcome, PF_CHANGE_CONFLICT);
	EXPECT_NE(r.done[7].findings.find("was deleted by change east-2"),
		  std::string::npos);
}

TEST(Accept, MovedHeadWithUntouchedRecordIsTriedAgain)
{
	Rig r(2);

	r.submit(0, 1, "east-1", caller("c", 'a'));
	r.submit(1, 2, "west-1", caller("d", 'b'));
	r.settle();
	EXPECT_EQ(r.done[1].outcome, PF_CHANGE_ACCEPTED);
	EXPECT_EQ(r.done[2].outcome, PF_CHANGE_ACCEPTED);
	EXPECT_EQ(r.done[1].revision + r.done[2].revision, 3u);
	// Each fits alone, both don't: the later one is refused.
	r.submit(0, 3, "east-2", model("m", 5) + engine);
	r.settle();
	r.submit(0, 4, "east-3", model("n", 3));
	r.submit(1, 5, "west-2", model("o", 3));
	r.settle();
	EXPECT_EQ(r.done[4].outcome, PF_CHANGE_ACCEPTED);
	EXPECT_EQ(r.done[5].outcome, PF_CHANGE_REFUSED);
	EXPECT_NE(r.done[5].findings.find("has no home"), std::string::npos);
}

TEST(Accept, LostAnswersAreSettledByTheChangeRow)
{
	for (Fate fate : { LOST_BEFORE, LOST_AFTER, SILENT_AFTER, LIMITED }) {
		Rig r(1);

		r.submit(0, 1, "ch", caller("c", 'a'));
		while (!r.ops.empty() && r.ops.front().type != PF_ACCEPT_COMMIT)
			r.one();
		ASSERT_TRUE(r.one(fate));
		r.settle();
		EXPECT_EQ(r.done[1].outcome, PF_CHANGE_ACCEPTED) << fate;
		EXPECT_EQ(r.done[1].revision, 1u) << fate;
		EXPECT_EQ(r.value("audit/00000000000000000002"), "") << fate;
		// A resend gets the first outcome; another content is refused.
		r.submit(0, 2, "ch", caller("c", 'a'), -1, {}, true);
		r.submit(0, 3, "ch", caller("c", 'b'));
		r.settle();
		EXPECT_EQ(r.done[2].outcome, PF_CHANGE_ACCEPTED);
		EXPECT_EQ(r.done[2].revision, 1u);
		EXPECT_EQ(r.done[3].outcome, PF_CHANGE_REFUSED);
		EXPECT_NE(r.done[3].findings.find("used for another change"),
			  std::string::npos);
	}
}

// The first try's transaction arrives after a resend was refused, while the
// head stands still: it must have no effect, or the refusal was untrue.
TEST(Accept, RefusedResendStopsTheFirstTry)
{
	const struct {
		Fate close; // of the write that closes the id
		bool lands; // the first try arrives before that write
		enum pf_change_outcome want, then;
	} cases[] = {
		{ DO, false, PF_CHANGE_CONFLICT, PF_CHANGE_CONFLICT },
		{ LOST_AFTER, false, PF_CHANGE_CONFLICT, PF_CHANGE_CONFLICT },
		{ LOST_BEFORE, false, PF_CHANGE_CONFLICT, PF_CHANGE_CONFLICT },
		{ SILENT_AFTER, false, PF_CHANGE_CONFLICT, PF_CHANGE_CONFLICT },
		{ DO, true, PF_CHANGE_ACCEPTED, PF_CHANGE_ACCEPTED },
	};

	for (const auto &t : cases) {
		Rig r(2);
		auto to_commit = [&r] {
			while (!r.ops.empty() &&
			       r.ops.front().type != PF_ACCEPT_COMMIT)
				r.one();
			return !r.ops.empty();
		};

		r.submit(0, 1, "first", caller("c", 'a', 1));
		r.settle();
		r.submit(0, 2, "second", caller("c", 'a', 2), 1);
		r.settle();
		r.submit(0, 3, "ch", caller("c", 'a', 3), 2);
		ASSERT_TRUE(to_commit());
		struct rig_op late = r.ops.front(); // on its way

		r.ops.pop_front();
		r.submit(1, 4, "ch", caller("c", 'a', 3), 1, {}, true);
		ASSERT_TRUE(to_commit()) << "refused without closing the id";
		enum pf_table_status landed = PF_TABLE_CONFLICT;

		if (t.lands)
			landed = rig_commit(r.table.get(), &late);
		r.one(t.close);
		r.settle();
		EXPECT_EQ(r.done[4].outcome, t.want) << t.close;
		if (!t.lands)
			landed = rig_commit(r.table.get(), &late);
		EXPECT_EQ(landed == PF_TABLE_OK, t.lands);
		EXPECT_EQ(r.value("config/head").find("\"revision\":3") !=
				  std::string::npos,
			  t.lands);
		r.submit(1, 5, "ch", caller("c", 'a', 3), 2, {}, true);
		r.submit(1, 6, "ch", caller("c", 'b', 2), 2, {}, true);
		r.settle();
		EXPECT_EQ(r.done[5].outcome, t.then);
		EXPECT_EQ(r.done[6].outcome, PF_CHANGE_REFUSED);
		rig_op_free(&late);
	}
}

TEST(Accept, TableAwayIsNotAppliedOnlyWhenThatIsCertain)
{
	const struct {
		Fate reads, commits;
		bool resent;
		enum pf_change_outcome want;
	} cases[] = {
		{ LOST_BEFORE, DO, false, PF_CHANGE_UNAVAILABLE },
		{ LIMITED, DO, false, PF_CHANGE_UNAVAILABLE },
		{ LOST_BEFORE, DO, true, PF_CHANGE_UNKNOWN },
		{ DO, LIMITED, false, PF_CHANGE_UNAVAILABLE },
		{ DO, LOST_BEFORE, false, PF_CHANGE_UNKNOWN },
	};

	for (const auto &t : cases) {
		Rig r(1);

		r.submit(0, 1, "ch", caller("c", 'a'), -1, {}, t.resent);
		r.settle(t.reads, t.commits);
		EXPECT_EQ(r.done[1].outcome, t.want)
			<< pf_change_outcome_code(r.done[1].outcome);
		EXPECT_EQ(r.value("record/caller/c"), "");
	}
}

TEST(Accept, BoundsAndBadRequestsHaveAnOutcome)
{
	Rig r(1, 2);

	for (uint64_t i = 1; i <= 3; i++)
		r.submit(0, i, ("ch-" + std::to_string(i)).c_str(),
			 caller("c", 'a'));
	EXPECT_EQ(r.done[3].outcome, PF_CHANGE_UNAVAILABLE);
	r.settle();
	r.submit(0, 4, "a b", caller("c", 'a'));
	r.submit(0, 5, "ch-5", "", -1, { { PF_KIND_MODEL, PF_STR("no") } });
	r.submit(0, 6, "ch-6", caller("d", 'b'), 99);
	r.settle();
	for (uint64_t i = 4; i <= 6; i++)
		EXPECT_EQ(r.done[i].outcome, PF_CHANGE_REFUSED) << i;

	struct pf_accept_msg m = {};

	m.type = PF_ACCEPT_SCHEMA_MAX;
	m.u.schema_max = 1;
	pf_accept_step(r.cores[0]->core, r.now, &m, &r.cores[0]->sink);
	r.submit(0, 7, "ch-7", "[deployment]\nschema = 2\n");
	r.settle();
	EXPECT_EQ(r.done[7].outcome, PF_CHANGE_REFUSED);
	EXPECT_NE(r.done[7].findings.find("not all processes read yet"),
		  std::string::npos);
}

TEST(Accept, RowsThatCannotBeReadStopAChangeAndPrunedAuditsDoNot)
{
	struct rig_row row = {};
	Rig r(2);

	r.submit(0, 1, "ch-1", caller("c", 'a'));
	r.submit(1, 2, "ch-2", caller("d", 'b'));
	r.settle();
	r.submit(0, 3, "ch-3", caller("e", 'c'));
	r.settle();
	// Core 1 is behind, and what it missed is no longer in the audit.
	bool there;
	size_t i =
		rig_find(r.table.get(), "audit/00000000000000000003", &there);

	ASSERT_TRUE(there);
	free(r.table->v[i].value);
	memmove(&r.table->v[i], &r.table->v[i + 1],
		(--r.table->n - i) * sizeof(r.table->v[0]));
	r.submit(1, 4, "ch-4", caller("f", 'd'));
	r.settle();
	EXPECT_EQ(r.done[4].outcome, PF_CHANGE_ACCEPTED);
	EXPECT_EQ(r.done[4].revision, 4u);
	for (const char *key : { "audit/00000000000000000005",
				 "record/caller/c", "config/head" }) {
		Rig cold(1);
		char broken[] = "{";

		strcpy(row.key, key);
		row.value = broken;
		cold.submit(0, 1, "ch-1", caller("c", 'a'));
		cold.settle();
		rig_put(cold.table.get(), &row);
		struct pf_accept_opts o;

		pf_accept_opts_default(&o);
		pf_accept_free(cold.cores[0]->core);
		cold.cores[0]->core = pf_accept_new(&o);
		cold.submit(0, 2, "ch-2", caller("d", 'b'));
		cold.settle();
		bool unread = std::string(key).find("audit") == 0;

		EXPECT_EQ(cold.done[2].outcome,
			  unread ? PF_CHANGE_ACCEPTED : PF_CHANGE_REFUSED);
		EXPECT_EQ(cold.done[2].findings.find("can't be read") ==
				  std::string::npos,
			  unread)
			<< cold.done[2].findings;
	}
}
