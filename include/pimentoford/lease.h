/*
 * Lease core: one holder at a time for a row of the table. The holder raises
 * the row's beat by conditional writes; a candidate takes over when it has
 * seen no new beat for the term by its own clock. A holder counts its term
 * from before the write that renewed it, less a margin, so it gives up before
 * anyone may take over, also when it was paused. With the table away nobody
 * takes over. Does no I/O: feed it with pf_lease_step(), carry out its acts.
 */
#ifndef PIMENTOFORD_LEASE_H
#define PIMENTOFORD_LEASE_H

#include "pimentoford/table.h"

PF_BEGIN_DECLS

struct pf_lease;

struct pf_lease_opts {
	const char *key; /* of the row, e.g. "lease/planner/REGION"; copied */
	const char *process_name; /* of this process, for the audit; copied */
	const char *region; /* for the audit; copied */
	uint64_t holder_id; /* of this process's life; never used again */
	uint64_t seed;
	pf_ms duration; /* without a new beat for so long, it may be taken */
	pf_ms clock_margin; /* of the term, for clocks that run unevenly */
	pf_ms heartbeat_interval;
	bool observe_only; /* only learns who holds it */
	pf_ms table_timeout; /* the table's answer is lost after this */
};

/** Fills in the defaults that are shipped; key, name and self are open. */
void pf_lease_opts_default(struct pf_lease_opts *o);

/** NULL when options are out of range or there is no memory. */
struct pf_lease *pf_lease_new(const struct pf_lease_opts *o);
void pf_lease_free(struct pf_lease *l);

enum pf_lease_msg_type {
	PF_LEASE_GET_DONE, /* u.row: answer to PF_LEASE_GET */
	PF_LEASE_TXN_DONE, /* u.status: answer to PF_LEASE_TXN */
	PF_LEASE_CONFIG, /* u.config_revision: where an audit row belongs */
	PF_LEASE_STOP, /* gives it up, and asks for it no more */
	PF_LEASE_TICK,
};

struct pf_lease_msg {
	enum pf_lease_msg_type type;
	uint64_t seq; /* of the act that is answered */
	pf_ms wall_time; /* wall clock, for the audit */
	union {
		struct {
			enum pf_table_status status; /* OK or UNKNOWN */
			struct pf_table_row row; /* revision 0: absent */
		} row;
		enum pf_table_status status;
		uint64_t
			config_revision; /* revision of the configuration's head */
	} u;
};

enum pf_lease_act_type {
	PF_LEASE_GET, /* u.key */
	PF_LEASE_TXN, /* u.txn */
	PF_LEASE_HELD_CHANGED, /* u.held: taken, or given up */
};

/** Everything in it is valid during the call. */
struct pf_lease_act {
	enum pf_lease_act_type type;
	uint64_t seq;
	union {
		struct pf_str key;
		struct pf_table_txn txn;
		bool held;
	} u;
};

/** Where acts go. `emit` must not call back into the core. */
struct pf_lease_sink {
	void (*emit)(void *ctx, const struct pf_lease_act *act);
	void *ctx;
};

/** Handles one message. Acts go to @sink before it returns. */
void pf_lease_step(struct pf_lease *l, pf_ms now, const struct pf_lease_msg *m,
		   const struct pf_lease_sink *sink);

/** When the next PF_LEASE_TICK is due; PF_NEVER once stopped. */
pf_ms pf_lease_next(const struct pf_lease *l);

/** Whether it is held at @now; ask before each act that needs it. */
bool pf_lease_is_held(const struct pf_lease *l, pf_ms now);

/** Rises with each takeover; of the holder that was last read. */
uint64_t pf_lease_epoch(const struct pf_lease *l);
/** `self` of the holder that was last read; 0: none. */
uint64_t pf_lease_holder(const struct pf_lease *l);

PF_END_DECLS

#endif
