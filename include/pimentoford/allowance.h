/*
 * Allowance core: how much each client account may send over all gateways
 * together. Does no I/O.
 *
 * An account's home is the live gateway with the highest rendezvous hash of
 * account and gateway. It holds the account's token bucket. The other gateways
 * ask it for credit, and use a share of their own (rate / gateways) while it
 * does not answer. Over all gateways, in any window, the requests admitted weigh
 * at most (rate * window + burst) * (1 + over) + slack.
 *
 * A second send of an admitted request is charged (PF_ALLOWANCE_CHARGE) and
 * never held back: the bucket may go below zero, and later requests pay for it.
 */
#ifndef PIMENTOFORD_ALLOWANCE_H
#define PIMENTOFORD_ALLOWANCE_H

#include "pimentoford/client_account.h"

PF_BEGIN_DECLS

struct pf_allowance;

struct pf_allowance_opts {
	uint64_t self; /* id of this start of the process; not 0 */
	uint64_t key; /* of the gateway, the same after a restart; not 0 */
	uint64_t seed;
	pf_ms window; /* of the rule */
	double over; /* share of the limit by which a window may exceed it */
	double slack; /* units on top in each window */
	uint32_t accounts_max; /* beyond: their requests are rejected */
	uint32_t peers_max; /* beyond: unknown ones are ignored */
	uint32_t waiting_max; /* beyond: decided at once, by the own share */
	uint32_t ledgers_max; /* account and peer; beyond: no credit for it */
};

/** The caller sets self, key, seed, window, over and slack. */
void pf_allowance_opts_default(struct pf_allowance_opts *o);

/** NULL if options are out of range or memory runs out. */
struct pf_allowance *pf_allowance_new(const struct pf_allowance_opts *o);
void pf_allowance_free(struct pf_allowance *al);

/** Weight of a request in the units of @l. */
uint32_t pf_allowance_weight(const struct pf_allowance_limit *l,
			     bool names_tokens, uint32_t prompt_tokens,
			     uint32_t max_tokens);

/** Waiting requests that one message names. */
#define PF_ALLOWANCE_WEIGHTS_MAX 16

/**
 * From a gateway to an account's home. Counters are sums since the session
 * began, so that lost, repeated and reordered messages do no harm.
 */
struct pf_allowance_ask {
	uint64_t account;
	uint64_t session; /* of the sender with this home */
	uint64_t term; /* of the home's role; 0: not known yet */
	uint64_t seq; /* of the message within the session; from 1 */
	uint64_t used; /* credit used for requests */
	uint64_t returned; /* credit that expired unused */
	uint64_t refunded; /* weight of requests that did not run */
	uint64_t charged; /* own share used, and second sends */
	uint32_t prefetch; /* credit wanted beyond the waiting requests */
	uint32_t n_weights;
	uint32_t weights[PF_ALLOWANCE_WEIGHTS_MAX]; /* waiting, oldest first */
};

/* DEF(name): what a home's answer says. */
#define PF_ALLOWANCE_ANSWERS(DEF)                                       \
	/* requests that the credit doesn't cover are over the limit */ \
	DEF(GRANTS)                                                     \
	/* it became home too recently to grant */                      \
	DEF(WARMING)                                                    \
	/* another gateway is home, or its tables are full */           \
	DEF(NOT_HOME)                                                   \
	/* its role began anew: a new session is needed */              \
	DEF(RESTART)

enum pf_allowance_answer {
#define DEF(name) PF_ALLOWANCE_##name,
	PF_ALLOWANCE_ANSWERS(DEF)
#undef DEF
		PF_ALLOWANCE_ANSWER_COUNT
};

/** From an account's home, in answer to each ask. */
struct pf_allowance_grant {
	uint64_t account;
	uint64_t session;
	uint64_t term;
	uint64_t seq; /* of the ask */
	uint64_t granted; /* sum of the session */
	uint64_t charged; /* of the ask: it was deducted */
	enum pf_allowance_answer type;
	uint32_t empty_ms; /* until the level is above 0 again */
	uint32_t slot_ms; /* until the first rejected request gets through */
	int64_t level;
};

enum pf_allowance_msg_type {
	PF_ALLOWANCE_LIMITS, /* u.limits: replaces all; copied */
	PF_ALLOWANCE_PEER, /* u.peer */
	PF_ALLOWANCE_ROSTER_READ, /* all peers in the store were passed in */
	PF_ALLOWANCE_REQUEST, /* u.request */
	PF_ALLOWANCE_CANCEL, /* u.ctx: of a waiting request; no act follows */
	PF_ALLOWANCE_REFUND, /* u.charge: an admitted request did not run */
	PF_ALLOWANCE_CHARGE, /* u.charge: a second send that may run */
	PF_ALLOWANCE_ASKED, /* u.asked */
	PF_ALLOWANCE_GRANTED, /* u.granted */
	PF_ALLOWANCE_TICK,
};

struct pf_allowance_msg {
	enum pf_allowance_msg_type type;
	union {
		struct {
			const struct pf_client_account *v;
			uint32_t n;
		} limits;
		struct {
			uint64_t key;
			uint64_t id; /* its `self`; 0: from its row only */
		} peer;
		struct {
			void *ctx; /* passed back in the act; not NULL */
			uint64_t account;
			uint32_t weight;
			pf_ms objective; /* of the answer; 0: none */
		} request;
		void *ctx;
		struct {
			uint64_t account;
			uint32_t weight;
		} charge;
		struct {
			uint64_t from; /* key of the sender */
			const struct pf_allowance_ask *ask;
		} asked;
		struct {
			uint64_t from; /* key of the sender */
			const struct pf_allowance_grant *grant;
		} granted;
	} u;
};

/* DEF(name, code): why a request is rejected. */
#define PF_ALLOWANCE_REASONS(DEF)                         \
	/* the home says so, or said so a moment ago */   \
	DEF(OVER_LIMIT, "over_limit")                     \
	/* the home does not answer; own share used up */ \
	DEF(OVER_OWN_SHARE, "over_own_share")             \
	/* the account found no room in the table */      \
	DEF(TABLE_FULL, "allowance_table_full")

enum pf_allowance_reason {
#define DEF(name, code) PF_ALLOWANCE_REASON_##name,
	PF_ALLOWANCE_REASONS(DEF)
#undef DEF
		PF_ALLOWANCE_REASON_COUNT
};

const char *pf_allowance_reason_code(enum pf_allowance_reason r);

/* DEF(name, code): where this gateway's credit for an account comes from. */
#define PF_ALLOWANCE_MODES(DEF) \
	DEF(ASKING, "asking")   \
	DEF(HOME, "home")       \
	DEF(OWN_SHARE, "own_share")

enum pf_allowance_mode {
#define DEF(name, code) PF_ALLOWANCE_MODE_##name,
	PF_ALLOWANCE_MODES(DEF)
#undef DEF
};

const char *pf_allowance_mode_code(enum pf_allowance_mode m);

/* DEF(name, code): why the mode changed. */
#define PF_ALLOWANCE_CAUSES(DEF)               \
	DEF(HOME_CHANGED, "home_changed")      \
	DEF(NO_ANSWER, "home_does_not_answer") \
	DEF(HOME_WARMING, "home_is_new")       \
	DEF(NOT_HOME, "home_disagrees")        \
	DEF(ANSWERED, "home_answers")

enum pf_allowance_cause {
#define DEF(name, code) PF_ALLOWANCE_CAUSE_##name,
	PF_ALLOWANCE_CAUSES(DEF)
#undef DEF
};

const char *pf_allowance_cause_code(enum pf_allowance_cause c);

enum pf_allowance_act_type {
	PF_ALLOWANCE_ADMIT, /* final: ctx */
	PF_ALLOWANCE_REJECT, /* final: ctx, u.reject */
	PF_ALLOWANCE_SEND_ASK, /* u.ask: to the peer with key `to` */
	PF_ALLOWANCE_SEND_GRANT, /* u.grant: to the peer with key `to` */
	PF_ALLOWANCE_MODE_CHANGED, /* u.mode: for logs */
};

struct pf_allowance_act {
	enum pf_allowance_act_type type;
	void *ctx;
	uint64_t to;
	union {
		struct {
			enum pf_allowance_reason reason;
			pf_ms retry_after;
		} reject;
		const struct pf_allowance_ask *ask;
		const struct pf_allowance_grant *grant;
		struct {
			uint64_t account;
			enum pf_allowance_mode mode;
			enum pf_allowance_cause cause;
		} mode;
	} u;
};

/** `emit` must not call back into the core. */
struct pf_allowance_sink {
	void (*emit)(void *ctx, const struct pf_allowance_act *act);
	void *ctx;
};

/** Emits the resulting acts during the call. */
void pf_allowance_step(struct pf_allowance *al, pf_ms now,
		       const struct pf_allowance_msg *m,
		       const struct pf_allowance_sink *sink);

/** Time of the next PF_ALLOWANCE_TICK. */
pf_ms pf_allowance_next(const struct pf_allowance *al);

/** What this gateway knows of an account. */
struct pf_allowance_view {
	uint64_t account;
	enum pf_allowance_mode mode;
	uint64_t asked; /* units of requests that arrived here */
	uint64_t admitted; /* units */
	uint64_t rejected[PF_ALLOWANCE_REASON_COUNT]; /* requests */
	double in_window; /* units admitted here in about the last window */
	double level; /* of the bucket */
	pf_ms level_age; /* since the home said so; -1: it never did */
	uint64_t home; /* key of the gateway; 0: not known */
};

/** Fills @v for the account at position @i; false beyond the last. */
bool pf_allowance_view(const struct pf_allowance *al, pf_ms now, uint32_t i,
		       struct pf_allowance_view *v);

PF_END_DECLS

#endif
