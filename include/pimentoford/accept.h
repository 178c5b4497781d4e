/*
 * Accept core: validates operators' changes to the configuration and commits
 * each with one table transaction, or refuses it with findings. A core runs
 * its changes one at a time; cores of several entries may commit
 * concurrently. Does no I/O: feed it messages with pf_accept_step() and carry
 * out the acts it emits.
 *
 * A commit is conditional on the revisions of the head row, each written
 * record and the change's own row, so the set that was validated is the set
 * that takes effect. When the result of a commit is lost, the change's row
 * tells whether it was applied.
 */
#ifndef PIMENTOFORD_ACCEPT_H
#define PIMENTOFORD_ACCEPT_H

#include "pimentoford/mirror.h"

PF_BEGIN_DECLS

struct pf_accept;

struct pf_accept_opts {
	uint64_t seed;
	const char *region; /* of this process, for the audit rows; copied */
	uint32_t changes_max; /* queued and running */
	uint32_t records_max; /* in one change */
	uint32_t scan_limit; /* rows per scan */
	uint32_t attempts_max; /* read-validate-commit cycles per change */
	pf_ms backoff_min; /* before the second attempt; then doubled */
	pf_ms backoff_max;
	pf_ms table_timeout; /* longest wait for a reply of the table */
	pf_ms change_timeout; /* from submission; then given up */
	uint32_t schema_max; /* highest schema that all processes read */
};

/** Sets the defaults. */
void pf_accept_opts_default(struct pf_accept_opts *o);

/**
 * Copies @o. Freed with pf_accept_free(). NULL when an option is out of range
 * or there is no memory.
 */
struct pf_accept *pf_accept_new(const struct pf_accept_opts *o);
void pf_accept_free(struct pf_accept *a);

/** Names a record. */
struct pf_record_ref {
	enum pf_kind kind;
	struct pf_str name;
};

/** An operator's change. Everything is borrowed; the core makes copies. */
struct pf_change {
	uint64_t request_id; /* returned in the result */
	struct pf_str id; /* idempotency id; a resend carries the same one */
	struct pf_str who; /* operator */
	struct pf_str what; /* for the audit: "apply", "drain engine-1"; below
			     * PF_LABEL_MAX bytes */
	pf_ms wall_time; /* of submission, for the audit */
	bool has_base; /* if not: the head at the first read */
	uint64_t base_revision; /* configuration the operator edited */
	bool resent; /* an earlier commit with this id may be in flight */
	const struct pf_records *puts;
	const struct pf_record_ref *deletes;
	size_t n_deletes;
};

enum pf_accept_msg_type {
	PF_ACCEPT_CHANGE, /* u.change: submits a change */
	PF_ACCEPT_GET_DONE, /* u.get: result of PF_ACCEPT_GET */
	PF_ACCEPT_SCAN_DONE, /* u.scan: result of PF_ACCEPT_SCAN */
	PF_ACCEPT_COMMIT_DONE, /* u.commit: result of PF_ACCEPT_COMMIT */
	PF_ACCEPT_SCHEMA_MAX, /* u.schema_max */
	PF_ACCEPT_TICK,
};

struct pf_accept_msg {
	enum pf_accept_msg_type type;
	uint64_t seq; /* *_DONE: pf_accept_act::seq of the request */
	union {
		const struct pf_change *change;
		struct {
			enum pf_table_status status; /* OK, LIMITED, UNKNOWN */
			struct pf_table_row row; /* revision 0: absent */
		} get;
		struct {
			enum pf_table_status status;
			const struct pf_table_row *rows; /* in key order */
			size_t n_rows;
		} scan;
		struct {
			enum pf_table_status status;
		} commit;
		uint32_t schema_max;
	} u;
};

/* DEF(name, "code") */
#define PF_CHANGE_OUTCOMES(DEF)                                     \
	/* in force, or the content already was */                  \
	DEF(ACCEPTED, "accepted")                                   \
	/* not applied: the findings list its errors */             \
	DEF(REFUSED, "refused")                                     \
	/* not applied: the findings name the conflicting change */ \
	DEF(CONFLICT, "conflict")                                   \
	/* not applied: table unavailable or busy, or queue full */ \
	DEF(UNAVAILABLE, "away")                                    \
	/* possibly applied: resend with the same id */             \
	DEF(UNKNOWN, "unknown")

enum pf_change_outcome {
#define DEF(name, code) PF_CHANGE_##name,
	PF_CHANGE_OUTCOMES(DEF)
#undef DEF
		PF_CHANGE_OUTCOME_COUNT
};

/** The outcome's code in replies and logs; static. */
const char *pf_change_outcome_code(enum pf_change_outcome o);

enum pf_accept_act_type {
	PF_ACCEPT_GET, /* u.key: read one row */
	PF_ACCEPT_SCAN, /* u.scan */
	PF_ACCEPT_COMMIT, /* u.txn */
	PF_ACCEPT_RESULT, /* u.result: exactly once per change */
};

/** Strings, rows and findings are borrowed for the call. */
struct pf_accept_act {
	enum pf_accept_act_type type;
	uint64_t seq;
	union {
		struct pf_str key;
		struct {
			struct pf_str prefix;
			struct pf_str after; /* only rows above this key */
			uint32_t limit;
		} scan;
		struct pf_table_txn txn;
		struct {
			uint64_t request_id;
			enum pf_change_outcome outcome;
			uint64_t revision; /* ACCEPTED: includes the change */
			const struct pf_findings *findings;
		} result;
	} u;
};

/** Receives the acts. `emit` must not call back into the core. */
struct pf_accept_sink {
	void (*emit)(void *ctx, const struct pf_accept_act *act);
	void *ctx;
};

/** Handles one message and emits the resulting acts. */
void pf_accept_step(struct pf_accept *a, pf_ms now,
		    const struct pf_accept_msg *msg,
		    const struct pf_accept_sink *sink);

/** Time of the next PF_ACCEPT_TICK; PF_NEVER while idle. */
pf_ms pf_accept_next(const struct pf_accept *a);

struct pf_accept_stats {
	uint64_t outcomes[PF_CHANGE_OUTCOME_COUNT];
	uint64_t reads, commits, retries;
	uint32_t changes; /* queued and running */
	uint64_t head_revision; /* highest one read */
};

void pf_accept_stats(const struct pf_accept *a, struct pf_accept_stats *s);

PF_END_DECLS

#endif
