/*
 * Membership core of an entry: joins the platform's lagging list of VMs with
 * direct heartbeats, says who may get new work, and chooses the agents to
 * hold sessions with. Does no I/O: feed it messages with pf_member_step() and
 * carry out the acts it emits.
 *
 * An agent is held by the first `holders` entries by rendezvous hashing, half
 * of them in its own availability zone, so no agent is forgotten and one that
 * joins or leaves moves only its own sessions. Models that the agents held
 * lack are covered by further sessions.
 */
#ifndef PIMENTOFORD_MEMBER_H
#define PIMENTOFORD_MEMBER_H

#include "pimentoford/base.h"

PF_BEGIN_DECLS

struct pf_member;

enum pf_member_role { PF_MEMBER_ENTRY, PF_MEMBER_AGENT };

/* DEF(name, "text") */
#define PF_MEMBER_STATES(DEF)                                    \
	/* named by the list or the records, not heard yet */    \
	DEF(JOINING, "joining")                                  \
	DEF(LIVE, "live")                                        \
	/* silent for longer than its heartbeats let expect */   \
	DEF(SUSPECTED, "suspected")                              \
	/* no new work, for as long as it is this incarnation */ \
	DEF(LEAVING, "leaving")                                  \
	DEF(GONE, "gone")

enum pf_member_state {
#define DEF(name, text) PF_MEMBER_##name,
	PF_MEMBER_STATES(DEF)
#undef DEF
		PF_MEMBER_STATE_COUNT
};

const char *pf_member_state_text(enum pf_member_state s);

struct pf_member_opts {
	uint64_t self; /* id of this entry */
	uint64_t zone; /* pf_id() of its availability zone */
	uint64_t region;
	uint32_t members_max; /* beyond: a gone one makes room, else the new
			       * one is not known */
	uint32_t
		sessions_max; /* agents held at once, those for coverage included;
			    * beyond: the ones ranked lowest are left out */
	uint32_t
		entries_per_agent; /* entries that hold a session with an agent */
	uint32_t
		models_per_agent_max; /* of one agent; the rest counts as absent */
	pf_ms heartbeat_interval; /* heartbeats are expected so often at first */
	pf_ms suspect_after_min; /* silence before suspicion, at least */
	pf_ms suspect_after_max; /* and at most */
	pf_ms gone_after; /* silence after which a suspect is gone */
	pf_ms disconnect_delay; /* a session that is not wanted is kept so long */
	pf_ms pick_interval; /* subsets are chosen anew at most so often */
};

/** Fills in the defaults that are shipped. */
void pf_member_opts_default(struct pf_member_opts *o);

/** NULL when options are out of range or there is no memory. */
struct pf_member *pf_member_new(const struct pf_member_opts *o);
void pf_member_free(struct pf_member *m);

struct pf_member_node {
	uint64_t id;
	enum pf_member_role role;
	uint64_t zone;
	uint64_t region; /* 0: unknown */
	bool leaving; /* LIST only */
};

enum pf_member_msg_type {
	PF_MEMBER_DECLARED_AGENTS, /* u.nodes: all agents that the records name */
	PF_MEMBER_VM_LIST, /* u.nodes: the platform's whole list */
	PF_MEMBER_SESSION_UP, /* u.session: a session with `id` stands */
	PF_MEMBER_SESSION_DOWN, /* it ended */
	PF_MEMBER_HEARTBEAT, /* u.session.incarnation: anything came from `id` */
	PF_MEMBER_LEAVE_NOTICE, /* u.session.incarnation: `id` says that it is leaving */
	PF_MEMBER_AGENT_MODELS, /* u.models that `id` has, or is to have */
	PF_MEMBER_DECLARED_MODELS, /* u.models that are declared */
	PF_MEMBER_TICK,
};

struct pf_member_msg {
	enum pf_member_msg_type type;
	uint64_t id;
	union {
		struct {
			const struct pf_member_node *v;
			uint32_t n;
		} nodes;
		struct {
			uint64_t incarnation;
			enum pf_member_role role; /* UP only */
		} session;
		struct {
			const uint64_t *ids;
			uint32_t n;
		} models;
	} u;
};

enum pf_member_act_type {
	PF_MEMBER_STATE_CHANGED, /* u.state */
	PF_MEMBER_CONNECT, /* hold a session with the agent `id` */
	PF_MEMBER_DISCONNECT, /* it is not wanted any more */
};

struct pf_member_act {
	enum pf_member_act_type type;
	uint64_t id;
	struct {
		enum pf_member_state state;
		uint64_t incarnation;
	} u;
};

/** Where acts go. `emit` must not call back into the core. */
struct pf_member_sink {
	void (*emit)(void *ctx, const struct pf_member_act *act);
	void *ctx;
};

/** Handles one message. Acts go to @sink before it returns. */
void pf_member_step(struct pf_member *m, pf_ms now,
		    const struct pf_member_msg *msg,
		    const struct pf_member_sink *sink);

/** When the next PF_MEMBER_TICK is due; PF_NEVER for none. */
pf_ms pf_member_next(const struct pf_member *m);

/** PF_MEMBER_GONE when it is not known. */
enum pf_member_state pf_member_state(const struct pf_member *m, uint64_t id);

/** Whether @id may get new work. */
bool pf_member_usable(const struct pf_member *m, uint64_t id);

/**
 * Whether @id is leaving only by a word of the list that is older than its
 * incarnation: no work until the list has caught up.
 */
bool pf_member_awaits_list(const struct pf_member *m, uint64_t id);

/** Whether an agent that has @model is held, or to be held. */
bool pf_member_covers_model(const struct pf_member *m, uint64_t model);

struct pf_member_stats {
	uint32_t members; /* known */
	uint32_t picked; /* sessions with agents */
	uint32_t coverage_picks; /* of them only for coverage */
	uint32_t uncovered_models; /* models that no agent held has */
	uint64_t connects, disconnects;
	uint64_t stale_messages; /* messages of an old incarnation */
	uint64_t members_refused; /* members that found no room */
};

void pf_member_stats(const struct pf_member *m, struct pf_member_stats *s);

PF_END_DECLS

#endif
