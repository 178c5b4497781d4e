// Membership core: states, incarnations, leave notices, picked agents.
#include "pimentoford/member.h"

#include <gtest/gtest.h>

#include <map>
#include <set>
#include <vector>

namespace
{

constexpr uint64_t SELF = 1000;

struct Core {
	struct pf_member *m;
	pf_ms now = 0;
	std::set<uint64_t> connected;
	std::vector<enum pf_member_state> states; // of agent 1

	explicit Core(uint64_t self = SELF, uint32_t entries_per_agent = 2,
		      uint32_t sessions = 64)
	{
		struct pf_member_opts o;

		pf_member_opts_default(&o);
		o.self = self;
		o.zone = 1 + (self - SELF) % 3;
		o.region = 9;
		o.entries_per_agent = entries_per_agent;
		o.sessions_max = sessions;
		m = pf_member_new(&o);
	}
	~Core()
	{
		pf_member_free(m);
	}
	static void emit(void *ctx, const struct pf_member_act *a)
	{
		Core *c = static_cast<Core *>(ctx);

		if (a->type == PF_MEMBER_CONNECT)
			c->connected.insert(a->id);
		else if (a->type == PF_MEMBER_DISCONNECT)
			c->connected.erase(a->id);
		else if (a->id == 1)
			c->states.push_back(a->u.state);
	}
	void step(const struct pf_member_msg &msg)
	{
		struct pf_member_sink s = { emit, this };

		pf_member_step(m, now, &msg, &s);
	}
	void send(enum pf_member_msg_type t, uint64_t incarnation,
		  uint64_t id = 1)
	{
		struct pf_member_msg msg = {};

		msg.type = t;
		msg.id = id;
		msg.u.session.incarnation = incarnation;
		msg.u.session.role = PF_MEMBER_AGENT;
		step(msg);
	}
	void send_nodes(enum pf_member_msg_type t, uint64_t agents,
			uint64_t entries, bool leaving = false,
			uint64_t skip = 0)
	{
		std::vector<struct pf_member_node> v;
		struct pf_member_msg msg = {};

		for (uint64_t i = 1; i <= agents; i++)
			if (i != skip)
				v.push_back({ i, PF_MEMBER_AGENT, 1 + i % 3, 9,
					      leaving && i == 1 });
		for (uint64_t i = 0; i < entries; i++)
			v.push_back({ SELF + i, PF_MEMBER_ENTRY, 1 + i % 3, 9,
				      false });
		msg.type = t;
		msg.u.nodes.v = v.data();
		msg.u.nodes.n = (uint32_t)v.size();
		step(msg);
	}
	void send_models(enum pf_member_msg_type t, std::vector<uint64_t> ids,
			 uint64_t id = 0)
	{
		struct pf_member_msg msg = {};

		msg.type = t;
		msg.id = id;
		msg.u.models.ids = ids.data();
		msg.u.models.n = (uint32_t)ids.size();
		step(msg);
	}
	void run(pf_ms ms, uint64_t heartbeats_of = 0)
	{
		for (pf_ms end = now + ms; now < end;) {
			now += 250;
			if (heartbeats_of)
				send(PF_MEMBER_HEARTBEAT, heartbeats_of);
			send(PF_MEMBER_TICK, 0);
		}
	}
	enum pf_member_state state()
	{
		return pf_member_state(m, 1);
	}
};

enum Event {
	UP,
	DOWN,
	HEARTBEAT,
	LEAVE_NOTICE,
	LIST_LIVE,
	LIST_LEAVING,
	LIST_EMPTY,
	WAIT
};

struct Step {
	Event event;
	uint64_t n; // incarnation, or milliseconds
};

struct Case {
	const char *name;
	std::vector<Step> steps;
	enum pf_member_state state;
	bool usable;
};

const std::vector<Case> cases = {
	{ "declared only", {}, PF_MEMBER_JOINING, false },
	{ "session", { { UP, 3 } }, PF_MEMBER_LIVE, true },
	{ "silent", { { UP, 3 }, { WAIT, 9000 } }, PF_MEMBER_SUSPECTED, false },
	{ "silent, then a heartbeat",
	  { { UP, 3 }, { WAIT, 9000 }, { HEARTBEAT, 3 } },
	  PF_MEMBER_LIVE,
	  true },
	{ "session lost",
	  { { UP, 3 }, { DOWN, 0 } },
	  PF_MEMBER_SUSPECTED,
	  false },
	{ "session lost for long",
	  { { UP, 3 }, { DOWN, 0 }, { WAIT, 31000 } },
	  PF_MEMBER_GONE,
	  false },
	{ "session lost and dropped from the list",
	  { { LIST_LIVE, 0 },
	    { UP, 3 },
	    { DOWN, 0 },
	    { LIST_EMPTY, 0 },
	    { WAIT, 5000 } },
	  PF_MEMBER_GONE,
	  false },
	{ "list not updated",
	  { { LIST_LIVE, 0 }, { UP, 3 }, { WAIT, 0 } },
	  PF_MEMBER_LIVE,
	  true },
	{ "leave notice",
	  { { UP, 3 }, { LEAVE_NOTICE, 3 } },
	  PF_MEMBER_LEAVING,
	  false },
	{ "listed as leaving",
	  { { UP, 3 }, { LIST_LEAVING, 0 } },
	  PF_MEMBER_LEAVING,
	  false },
	{ "list withdraws leaving",
	  { { UP, 3 },
	    { LIST_LEAVING, 0 },
	    { LIST_LIVE, 0 },
	    { HEARTBEAT, 3 } },
	  PF_MEMBER_LEAVING,
	  false },
	{ "leave notice, list says live",
	  { { UP, 3 },
	    { LEAVE_NOTICE, 3 },
	    { LIST_LIVE, 0 },
	    { HEARTBEAT, 3 } },
	  PF_MEMBER_LEAVING,
	  false },
	{ "new session after a leave notice",
	  { { UP, 3 }, { LEAVE_NOTICE, 3 }, { DOWN, 0 }, { UP, 3 } },
	  PF_MEMBER_LEAVING,
	  false },
	{ "new incarnation",
	  { { UP, 3 }, { LEAVE_NOTICE, 3 }, { DOWN, 0 }, { UP, 4 } },
	  PF_MEMBER_LIVE,
	  true },
	{ "new incarnation, the list lags",
	  { { UP, 3 }, { LIST_LEAVING, 0 }, { DOWN, 0 }, { UP, 4 } },
	  PF_MEMBER_LEAVING,
	  false },
	{ "new incarnation, the list has caught up",
	  { { UP, 3 },
	    { LIST_LEAVING, 0 },
	    { DOWN, 0 },
	    { UP, 4 },
	    { LIST_LEAVING, 0 },
	    { LIST_LIVE, 0 } },
	  PF_MEMBER_LIVE,
	  true },
	{ "heartbeat of an old incarnation",
	  { { UP, 4 }, { WAIT, 9000 }, { HEARTBEAT, 3 } },
	  PF_MEMBER_SUSPECTED,
	  false },
	{ "leave notice of an old incarnation",
	  { { UP, 4 }, { LEAVE_NOTICE, 3 } },
	  PF_MEMBER_LIVE,
	  true },
	{ "session of an old incarnation",
	  { { UP, 4 }, { DOWN, 0 }, { UP, 3 } },
	  PF_MEMBER_SUSPECTED,
	  false },
};

TEST(Member, StateFollowsEvents)
{
	for (const Case &c : cases) {
		SCOPED_TRACE(c.name);
		Core k;

		k.send_nodes(PF_MEMBER_DECLARED_AGENTS, 1, 0);
		for (const Step &s : c.steps) {
			switch (s.event) {
			case UP:
				k.send(PF_MEMBER_SESSION_UP, s.n);
				break;
			case DOWN:
				k.send(PF_MEMBER_SESSION_DOWN, 0);
				break;
			case HEARTBEAT:
				k.send(PF_MEMBER_HEARTBEAT, s.n);
				break;
			case LEAVE_NOTICE:
				k.send(PF_MEMBER_LEAVE_NOTICE, s.n);
				break;
			case LIST_LIVE:
				k.send_nodes(PF_MEMBER_VM_LIST, 1, 0);
				break;
			case LIST_LEAVING:
				k.send_nodes(PF_MEMBER_VM_LIST, 1, 0, true);
				break;
			case LIST_EMPTY:
				k.send_nodes(PF_MEMBER_VM_LIST, 0, 0);
				break;
			case WAIT:
				k.run((pf_ms)s.n);
				break;
			}
		}
		EXPECT_STREQ(pf_member_state_text(k.state()),
			     pf_member_state_text(c.state));
		EXPECT_EQ(pf_member_usable(k.m, 1), c.usable);
	}
}

// The suspect timeout grows with the heartbeat interval.
TEST(Member, SuspicionTimeoutFollowsHeartbeats)
{
	for (pf_ms every : { 250, 1000, 2500 }) {
		Core k;

		k.send_nodes(PF_MEMBER_DECLARED_AGENTS, 1, 0);
		k.send(PF_MEMBER_SESSION_UP, 1);
		for (int i = 0; i < 60; i++) {
			k.run(every);
			k.send(PF_MEMBER_HEARTBEAT, 1);
		}
		EXPECT_EQ(k.state(), PF_MEMBER_LIVE);
		k.run(2 * every);
		EXPECT_EQ(k.state(), PF_MEMBER_LIVE);
		k.run(10000);
		EXPECT_EQ(k.state(), PF_MEMBER_SUSPECTED);
	}
}

// Without retries, the next process of a gone agent is never noticed.
TEST(Member, GoneAgentIsRetried)
{
	Core k;

	k.send_nodes(PF_MEMBER_DECLARED_AGENTS, 1, 0);
	k.send(PF_MEMBER_SESSION_UP, 3);
	k.send(PF_MEMBER_LEAVE_NOTICE, 3);
	k.send(PF_MEMBER_SESSION_DOWN, 0);
	k.run(120000);
	EXPECT_EQ(k.state(), PF_MEMBER_GONE);
	EXPECT_EQ(k.connected.count(1), 1u);
}

// Each agent has two entries, and removing agent 77 changes no other's.
TEST(Member, RemovedAgentMovesNoOtherSession)
{
	const uint64_t agents = 120, entries = 12;
	std::map<uint64_t, std::set<uint64_t>> holders[2];

	for (int round = 0; round < 2; round++)
		for (uint64_t e = 0; e < entries; e++) {
			Core k(SELF + e);

			k.send_nodes(PF_MEMBER_VM_LIST, 0, entries);
			k.send_nodes(PF_MEMBER_DECLARED_AGENTS, agents, 0,
				     false, round ? 77 : 0);
			k.run(1000);
			for (uint64_t a : k.connected)
				holders[round][a].insert(e);
		}
	for (uint64_t a = 1; a <= agents; a++) {
		if (a != 77) {
			EXPECT_EQ(holders[0][a], holders[1][a]) << a;
		}
		EXPECT_EQ(holders[0][a].size(), 2u) << a;
	}
	EXPECT_TRUE(holders[1][77].empty());
}

TEST(Member, EveryModelIsCoveredWithinSessionsMax)
{
	const uint64_t agents = 60;
	Core k(SELF, 1, 16);
	std::vector<uint64_t> all;

	k.send_nodes(PF_MEMBER_VM_LIST, 0, 12);
	k.send_nodes(PF_MEMBER_DECLARED_AGENTS, agents, 0);
	for (uint64_t i = 0; i < 24; i++)
		all.push_back(100 + i);
	k.send_models(PF_MEMBER_DECLARED_MODELS, all);
	for (uint64_t a = 1; a <= agents; a++)
		k.send_models(PF_MEMBER_AGENT_MODELS,
			      { 100 + a % 24, 100 + (a * 7) % 24 }, a);
	k.run(1000);
	for (uint64_t model : all)
		EXPECT_TRUE(pf_member_covers_model(k.m, model)) << model;
	struct pf_member_stats s;

	pf_member_stats(k.m, &s);
	EXPECT_LE(s.picked, 16u);
	EXPECT_EQ(s.uncovered_models, 0u);
}

TEST(Member, FullTableRefusesNewMembers)
{
	struct pf_member_stats s;
	Core k;

	k.send_nodes(PF_MEMBER_DECLARED_AGENTS, 4200, 0);
	pf_member_stats(k.m, &s);
	EXPECT_EQ(s.members, 4096u);
	EXPECT_EQ(s.members_refused, 103u); // the core itself is not a member
	EXPECT_EQ(pf_member_state(k.m, 1), PF_MEMBER_JOINING);
	EXPECT_EQ(pf_member_state(k.m, 4200), PF_MEMBER_GONE);
}

} // namespace
