/*
 * Accept core: takes operators' changes and makes each one accepted
 * configuration by one transaction, or refuses it with findings. Changes of
 * one core run one after another; cores of many entries race, and the table
 * decides. Does no I/O: feed it messages with pf_accept_step() and carry out
 * the acts it emits.
 *
 * A change is written under the condition that the head, each touched record
 * and the change's own row are as they were read, so the set that was
 * validated is the set that comes into force. A lost answer is settled by the
 * change's row.
 */
#ifndef PIMENTOFORD_ACCEPT_H
#define PIMENTOFORD_ACCEPT_H

#include "pimentoford/mirror.h"

PF_BEGIN_DECLS

struct pf_accept;

struct pf_accept_opts {
	uint64_t seed;
	const char *region; /* of this process, for the audit; copied */
	uint32_t changes_max; /* waiting and running */
	uint32_t records_max; /* records in one change */
	uint32_t scan_limit; /* rows asked for by one scan */
	uint32_t attempts_max; /* readings and transactions of one change */
	pf_ms backoff_min; /* first pause before the next attempt */
	pf_ms backoff_max;
	pf_ms table_timeout; /* the table's answer is lost after this */
	pf_ms change_timeout; /* longest time for one change */
	uint32_t schema_max; /* highest schema that all processes read */
};

/** Fills in the defaults that are shipped. */
void pf_accept_opts_default(struct pf_accept_opts *o);

/** NULL when options are out of range or there is no memory. */
struct pf_accept *pf_accept_new(const struct pf_accept_opts *o);
void pf_accept_free(struct pf_accept *a);

struct pf_record_ref {
	enum pf_kind kind;
	struct pf_str name;
};

/** What an operator asks for; borrowed, copied by the core. */
struct pf_change {
	uint64_t request_id; /* names this asking in the outcome */
	struct pf_str id; /* a name; a resend carries the same one */
	struct pf_str who;
	struct pf_str what; /* for the audit: "apply", "drain engine-1" */
	pf_ms wall_time; /* wall clock, for the audit */
	bool has_base; /* without one, the head at the first reading */
	uint64_t base_revision; /* that the operator saw */
	bool resent; /* an earlier try of this id may still arrive */
	const struct pf_records *puts;
	const struct pf_record_ref *deletes;
	size_t n_deletes;
};

enum pf_accept_msg_type {
	PF_ACCEPT_CHANGE, /* u.change */
	PF_ACCEPT_GET_DONE, /* u.get: answer to PF_ACCEPT_GET */
	PF_ACCEPT_SCAN_DONE, /* u.scan: answer to PF_ACCEPT_SCAN */
	PF_ACCEPT_COMMIT_DONE, /* u.commit: answer to PF_ACCEPT_COMMIT */
	PF_ACCEPT_SCHEMA_MAX, /* u.schema_max */
	PF_ACCEPT_TICK,
};

struct pf_accept_msg {
	enum pf_accept_msg_type type;
	uint64_t seq; /* of the act that is answered */
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
#define PF_CHANGE_OUTCOMES(DEF)                                        \
	/* in force, or already so */                                  \
	DEF(ACCEPTED, "accepted")                                      \
	/* not applied: findings say what is wrong with it */          \
	DEF(REFUSED, "refused")                                        \
	/* not applied: findings name the change that came before */   \
	DEF(CONFLICT, "conflict")                                      \
	/* not applied: the table is away or busy, or too many wait */ \
	DEF(UNAVAILABLE, "away")                                       \
	/* it may or may not be applied: resend with the same id */    \
	DEF(UNKNOWN, "unknown")

enum pf_change_outcome {
#define DEF(name, code) PF_CHANGE_##name,
	PF_CHANGE_OUTCOMES(DEF)
#undef DEF
		PF_CHANGE_OUTCOME_COUNT
};

const char *pf_change_outcome_code(enum pf_change_outcome o);

enum pf_accept_act_type {
	PF_ACCEPT_GET, /* u.key */
	PF_ACCEPT_SCAN, /* u.scan */
	PF_ACCEPT_COMMIT, /* u.txn */
	PF_ACCEPT_RESULT, /* u.result: exactly once per change */
};

/** Everything in it is valid during the call. */
struct pf_accept_act {
	enum pf_accept_act_type type;
	uint64_t seq;
	union {
		struct pf_str key;
		struct {
			struct pf_str prefix;
			struct pf_str after; /* empty: from the start */
			uint32_t limit;
		} scan;
		struct pf_table_txn txn;
		struct {
			uint64_t request_id;
			enum pf_change_outcome outcome;
			uint64_t revision; /* ACCEPTED: in force from here */
			const struct pf_findings *findings;
		} result;
	} u;
};

/** Where acts go. `emit` must not call back into the core. */
struct pf_accept_sink {
	void (*emit)(void *ctx, const struct pf_accept_act *act);
	void *ctx;
};

/** Handles one message. Acts go to @sink before it returns. */
void pf_accept_step(struct pf_accept *a, pf_ms now,
		    const struct pf_accept_msg *msg,
		    const struct pf_accept_sink *sink);

/** When the next PF_ACCEPT_TICK is due; PF_NEVER for none. */
pf_ms pf_accept_next(const struct pf_accept *a);

struct pf_accept_stats {
	uint64_t outcomes[PF_CHANGE_OUTCOME_COUNT];
	uint64_t reads, commits, retries;
	uint32_t changes; /* the running one included */
	uint64_t head_revision; /* highest configuration read */
};

void pf_accept_stats(const struct pf_accept *a, struct pf_accept_stats *s);

PF_END_DECLS

#endif
