/*
 * Lease core: at most one holder at a time for a row of the table. The holder
 * raises the row's heartbeat by conditional writes. A candidate takes over
 * when it has seen no new heartbeat for `duration` by its own clock. The
 * holder counts the duration from before it sent the renewing write, less
 * `clock_margin`, so its lease expires before anyone may take over, also when
 * it was paused. Nobody takes over while the table is unreachable.
 *
 * A restored table may lack a grant. Its holder can't know before it reads, but
 * its lease has expired `duration` after the restore; until then nobody takes
 * over, a process that has just started included.
 *
 * Does no I/O: pass messages to pf_lease_step() and carry out its acts.
 */
#ifndef PIMENTOFORD_LEASE_H
#define PIMENTOFORD_LEASE_H

#include "pimentoford/era.h"
#include "pimentoford/table.h"

PF_BEGIN_DECLS

struct pf_lease;

struct pf_lease_opts {
	const char *key; /* table row, e.g. "lease/planner/REGION"; copied */
	const char *process_name; /* for the audit row; copied */
	const char *region; /* for the audit row; copied */
	uint64_t holder_id; /* unique to this run of the process */
	uint64_t seed;
	pf_ms duration; /* without a new heartbeat for this long, anyone may
			 * take over */
	pf_ms clock_margin; /* for clocks that run at different rates */
	pf_ms heartbeat_interval;
	bool observe_only; /* follows the holder, never takes over */
	pf_ms table_timeout; /* longest wait for a reply of the table */
};

/** Sets the defaults; the caller sets key, process_name and holder_id. */
void pf_lease_opts_default(struct pf_lease_opts *o);

/**
 * Creates a core; NULL if an option is out of range or memory runs out. Free
 * it with pf_lease_free(). The duration must exceed clock_margin,
 * heartbeat_interval and table_timeout together.
 */
struct pf_lease *pf_lease_new(const struct pf_lease_opts *o);
void pf_lease_free(struct pf_lease *l);

enum pf_lease_msg_type {
	PF_LEASE_GET_DONE, /* u.row: result of PF_LEASE_GET */
	PF_LEASE_TXN_DONE, /* u.status: result of PF_LEASE_TXN */
	PF_LEASE_CONFIG, /* u.config_revision: now in force */
	PF_LEASE_ERA, /* u.era: newest era of the table, before the answer
		       * that states it */
	PF_LEASE_STOP, /* release the lease and never take it again */
	PF_LEASE_TICK,
};

struct pf_lease_msg {
	enum pf_lease_msg_type type;
	uint64_t seq; /* GET_DONE, TXN_DONE: that of the act */
	pf_ms wall_time; /* for the audit row */
	union {
		struct {
			enum pf_table_status status; /* OK or UNKNOWN */
			struct pf_table_row row; /* revision 0: absent */
		} row;
		enum pf_table_status status;
		uint64_t config_revision;
		int64_t era;
	} u;
};

enum pf_lease_act_type {
	PF_LEASE_GET, /* u.key: read this row */
	PF_LEASE_TXN, /* u.txn: commit it */
	PF_LEASE_HELD_CHANGED, /* u.held: taken, or given up */
};

/** Pointers are borrowed for the call. */
struct pf_lease_act {
	enum pf_lease_act_type type;
	uint64_t seq;
	union {
		struct pf_str key;
		struct pf_table_txn txn;
		bool held;
	} u;
};

/** Receives the acts. `emit` must not call back into the core. */
struct pf_lease_sink {
	void (*emit)(void *ctx, const struct pf_lease_act *act);
	void *ctx;
};

/** Handles one message. All acts go to @sink before it returns. */
void pf_lease_step(struct pf_lease *l, pf_ms now, const struct pf_lease_msg *m,
		   const struct pf_lease_sink *sink);

/** Time of the next PF_LEASE_TICK; PF_NEVER once stopped. */
pf_ms pf_lease_next(const struct pf_lease *l);

/** Whether this process holds the lease; check before each guarded act. */
bool pf_lease_is_held(const struct pf_lease *l, pf_ms now);

/** Epoch in the row last read; each takeover raises it. */
uint64_t pf_lease_epoch(const struct pf_lease *l);
/** `holder_id` in the row last read; 0: none. */
uint64_t pf_lease_holder(const struct pf_lease *l);

PF_END_DECLS

#endif
