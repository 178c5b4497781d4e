/*
 * Membership core of an entry: merges the platform's lagging list of VMs with
 * direct heartbeats into a state per member, says which may get new work, and
 * picks the agents to hold sessions with. Does no I/O: pass messages to
 * pf_member_step() and carry out its acts.
 *
 * Rendezvous hashing assigns each agent to `entries_per_agent` entries, half
 * of them in its own availability zone, so every agent has sessions and one
 * that joins or leaves moves only its own. Further sessions cover models that
 * the assigned agents lack.
 */
#ifndef PIMENTOFORD_MEMBER_H
#define PIMENTOFORD_MEMBER_H

#include "pimentoford/base.h"

PF_BEGIN_DECLS

struct pf_member;

enum pf_member_role { PF_MEMBER_ENTRY, PF_MEMBER_AGENT };

/* DEF(name, "text") */
#define PF_MEMBER_STATES(DEF)                                    \
	/* in the list or the records, no session so far */      \
	DEF(JOINING, "joining")                                  \
	DEF(LIVE, "live")                                        \
	/* session lost, or silent beyond its suspect timeout */ \
	DEF(SUSPECTED, "suspected")                              \
	/* this incarnation gets no new work */                  \
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
	uint64_t region; /* pf_id() of its region */
	uint32_t members_max; /* when full, a new member replaces a gone one
			       * or is refused */
	uint32_t sessions_max; /* agents picked, coverage included; those
				* ranked lowest are left out */
	uint32_t entries_per_agent; /* entries assigned to an agent */
	uint32_t models_per_agent_max; /* further models are ignored */
	pf_ms heartbeat_interval; /* assumed until it has been measured */
	pf_ms suspect_after_min; /* lower bound of the suspect timeout */
	pf_ms suspect_after_max; /* upper bound of the suspect timeout */
	pf_ms gone_after; /* silence after which a suspect is gone */
	pf_ms disconnect_delay; /* for the session of an unpicked agent */
	pf_ms pick_interval; /* shortest time between two picks */
};

/** Sets the defaults; the caller sets self, zone and region. */
void pf_member_opts_default(struct pf_member_opts *o);

/**
 * Creates a core; NULL if an option is out of range or memory runs out. Free
 * it with pf_member_free(). @o is copied.
 */
struct pf_member *pf_member_new(const struct pf_member_opts *o);
void pf_member_free(struct pf_member *m);

/** A member as in the records or the list. */
struct pf_member_node {
	uint64_t id;
	enum pf_member_role role;
	uint64_t zone;
	uint64_t region; /* 0: unknown */
	bool leaving; /* VM_LIST only */
};

enum pf_member_msg_type {
	PF_MEMBER_DECLARED_AGENTS, /* u.nodes: all agents in the records */
	PF_MEMBER_VM_LIST, /* u.nodes: the platform's whole list */
	PF_MEMBER_SESSION_UP, /* u.session: a session with `id` is up */
	PF_MEMBER_SESSION_DOWN, /* the session with `id` ended */
	PF_MEMBER_HEARTBEAT, /* u.session.incarnation: any message of `id` */
	PF_MEMBER_LEAVE_NOTICE, /* u.session.incarnation: `id` is leaving */
	PF_MEMBER_AGENT_MODELS, /* u.models: resident or loading at `id` */
	PF_MEMBER_DECLARED_MODELS, /* u.models: all models in the records */
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
			enum pf_member_role role; /* SESSION_UP only */
		} session;
		struct {
			const uint64_t *ids;
			uint32_t n;
		} models;
	} u;
};

enum pf_member_act_type {
	PF_MEMBER_STATE_CHANGED, /* u: new state of `id` */
	PF_MEMBER_CONNECT, /* keep a session with agent `id` */
	PF_MEMBER_DISCONNECT, /* close the session with agent `id` */
};

struct pf_member_act {
	enum pf_member_act_type type;
	uint64_t id;
	struct {
		enum pf_member_state state;
		uint64_t incarnation;
	} u;
};

/** Receives the acts. `emit` must not call back into the core. */
struct pf_member_sink {
	void (*emit)(void *ctx, const struct pf_member_act *act);
	void *ctx;
};

/** Handles one message. All acts go to @sink before it returns. */
void pf_member_step(struct pf_member *m, pf_ms now,
		    const struct pf_member_msg *msg,
		    const struct pf_member_sink *sink);

/** Time of the next PF_MEMBER_TICK. */
pf_ms pf_member_next(const struct pf_member *m);

/** The state of @id; PF_MEMBER_GONE if unknown. */
enum pf_member_state pf_member_state(const struct pf_member *m, uint64_t id);

/** Whether @id may get new work. */
bool pf_member_usable(const struct pf_member *m, uint64_t id);

/**
 * Whether @id is LEAVING only by a list entry older than its incarnation. It
 * gets no work until the list has caught up.
 */
bool pf_member_awaits_list(const struct pf_member *m, uint64_t id);

/** Whether a picked agent has @model. */
bool pf_member_covers_model(const struct pf_member *m, uint64_t model);

struct pf_member_stats {
	uint32_t members;
	uint32_t picked; /* agents */
	uint32_t coverage_picks; /* those picked only for coverage */
	uint32_t uncovered_models; /* declared, but at no picked agent */
	uint64_t connects, disconnects;
	uint64_t stale_messages; /* of an old incarnation */
	uint64_t members_refused; /* members_max was reached */
};

void pf_member_stats(const struct pf_member *m, struct pf_member_stats *s);

PF_END_DECLS

#endif
