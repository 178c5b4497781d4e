/*
 * Draft core: model requests that are stored, run to their end and fetched
 * later. A draft is accepted once its body is in the object store and its row
 * in the table. Any entry may run it under a lease in that row; it stores the
 * answer and moves the row from open to done, which succeeds only once. Does
 * no I/O: feed it messages with pf_draft_step() and carry out the acts it
 * emits.
 *
 * `now` is wall-clock time in ms, since other entries read the lease and
 * retention times. A wrong clock can cause a second run, never a second
 * answer.
 *
 *   draft/open/ID   caller, key, body digest, lease (holder, epoch, expiry)
 *   draft/done/ID   caller, key, body digest, epoch of the answer, status,
 *                   expiry
 *   draft/key/KEY   id and body digest of the draft with an Idempotency-Key
 */
#ifndef PIMENTOFORD_DRAFT_H
#define PIMENTOFORD_DRAFT_H

#include "pimentoford/table.h"

PF_BEGIN_DECLS

#define PF_DRAFT_ID_MAX 32 /* bytes, with the NUL */
#define PF_DRAFT_SHARDS 16 /* by the first hex digit of the id */

struct pf_draft;

struct pf_draft_opts {
	uint64_t seed; /* differs between entries and their restarts */
	uint64_t holder; /* this entry's incarnation in leases; never 0 */
	uint32_t jobs_max; /* callers' requests and background jobs; beyond:
			    * UNAVAILABLE */
	uint32_t runs_max; /* background jobs: runs and deletions */
	uint32_t open_max; /* open drafts tracked; beyond: TOO_MANY */
	uint32_t caller_open_max; /* open drafts per caller; beyond:
				   * TOO_MANY */
	uint32_t scan_limit; /* rows per scan */
	uint32_t renew_batch_max; /* leases renewed in one transaction */
	pf_ms scan_interval; /* mean time between scans, jittered */
	pf_ms lease; /* renewed after a third of it */
	pf_ms retention; /* how long an answer is kept */
	pf_ms store_timeout; /* longest wait for a reply of the table or the
			      * object store */
	pf_ms caller_timeout; /* longest wait of a caller for its outcome */
	pf_ms backoff; /* mean wait before a retry, jittered */
};

void pf_draft_opts_default(struct pf_draft_opts *o);

/**
 * Copies @o. Freed with pf_draft_free(). NULL when an option is out of range
 * or there is no memory.
 */
struct pf_draft *pf_draft_new(const struct pf_draft_opts *o);
void pf_draft_free(struct pf_draft *d);

enum pf_object_status {
	PF_OBJECT_OK,
	PF_OBJECT_NOT_FOUND,
	PF_OBJECT_UNKNOWN, /* no reply: a write may have taken effect */
};

enum pf_draft_msg_type {
	PF_DRAFT_SUBMIT, /* u.submit: a caller's new request */
	PF_DRAFT_FETCH, /* u.fetch: a caller wants the answer */
	PF_DRAFT_CANCEL, /* u.fetch: a caller cancels the draft */
	PF_DRAFT_TXN_DONE, /* u.txn: result of TXN */
	PF_DRAFT_ROWS_DONE, /* u.rows: result of ROW_GET and ROW_SCAN */
	PF_DRAFT_OBJECT_DONE, /* u.object: result of an OBJECT_* act */
	PF_DRAFT_RUN_DONE, /* u.run: result of RUN */
	PF_DRAFT_TICK,
};

/** Strings and rows are borrowed for the call. */
struct pf_draft_msg {
	enum pf_draft_msg_type type;
	uint64_t seq; /* *_DONE: pf_draft_act::seq of the act */
	union {
		struct {
			uint64_t ticket; /* returned in the reply */
			uint64_t caller;
			uint64_t idem_key; /* hash; 0: none */
			struct pf_str body;
		} submit;
		struct {
			uint64_t ticket;
			uint64_t caller;
			struct pf_str id;
		} fetch;
		struct {
			enum pf_table_status status;
			uint64_t revision; /* OK: of the written rows */
		} txn;
		struct {
			enum pf_table_status status;
			const struct pf_table_row *rows; /* in key order */
			size_t n_rows;
		} rows;
		struct {
			enum pf_object_status status;
			struct pf_str body; /* OBJECT_GET */
		} object;
		struct {
			bool final; /* false: failed, run again later */
			uint32_t status; /* HTTP */
			struct pf_str body;
		} run;
	} u;
};

/* DEF(name, status): outcomes of a caller's request with their HTTP status. */
#define PF_DRAFT_OUTCOMES(DEF)                                     \
	DEF(ACCEPTED, 202) /* stored: will be run */               \
	DEF(OPEN, 202) /* not finished yet */                      \
	DEF(ANSWER, 200) /* u.reply.status and body */             \
	DEF(CANCELLED, 200)                                        \
	DEF(NOT_FOUND, 404) /* or another caller's */              \
	DEF(KEY_REUSED, 422) /* the key belongs to another body */ \
	DEF(TOO_MANY, 429) /* over a quota; not stored */          \
	DEF(UNAVAILABLE, 503) /* not stored: never runs */         \
	DEF(UNKNOWN, 503) /* in doubt: resend with the same key */

enum pf_draft_outcome {
#define DEF(name, status) PF_DRAFT_OUTCOME_##name,
	PF_DRAFT_OUTCOMES(DEF)
#undef DEF
		PF_DRAFT_OUTCOME_COUNT
};

enum pf_draft_act_type {
	PF_DRAFT_TXN, /* u.txn */
	PF_DRAFT_ROW_GET, /* u.key */
	PF_DRAFT_ROW_SCAN, /* u.scan */
	PF_DRAFT_OBJECT_PUT, /* u.object */
	PF_DRAFT_OBJECT_GET, /* u.object.name */
	PF_DRAFT_OBJECT_DELETE, /* u.object.name */
	PF_DRAFT_RUN, /* u.run: reply with RUN_DONE */
	PF_DRAFT_RUN_CANCEL, /* the run `seq`; its result is ignored */
	PF_DRAFT_REPLY, /* u.reply: exactly once per ticket */
};

/** Transactions and strings are borrowed for the call. */
struct pf_draft_act {
	enum pf_draft_act_type type;
	uint64_t seq;
	union {
		struct pf_table_txn txn;
		struct pf_str key;
		struct {
			struct pf_str prefix;
			struct pf_str after; /* only rows above this key */
			uint32_t limit;
		} scan;
		struct {
			struct pf_str name;
			struct pf_str body; /* OBJECT_PUT */
		} object;
		struct {
			struct pf_str id;
			uint64_t caller;
			struct pf_str body;
		} run;
		struct {
			uint64_t ticket;
			enum pf_draft_outcome outcome;
			struct pf_str id;
			uint32_t status; /* ANSWER: HTTP */
			struct pf_str body; /* ANSWER */
			pf_ms retry_after; /* 0: none */
		} reply;
	} u;
};

/** `emit` must not call back into the core. */
struct pf_draft_sink {
	void (*emit)(void *ctx, const struct pf_draft_act *act);
	void *ctx;
};

/**
 * Handles one message and emits the resulting acts. An act at a store that is
 * not answered within `store_timeout` counts as answered with UNKNOWN.
 */
void pf_draft_step(struct pf_draft *d, pf_ms now,
		   const struct pf_draft_msg *msg,
		   const struct pf_draft_sink *sink);

/** Time of the next PF_DRAFT_TICK. */
pf_ms pf_draft_next(const struct pf_draft *d);

/** Counters since the start, and the open drafts of all entries. */
struct pf_draft_stats {
	uint64_t outcomes[PF_DRAFT_OUTCOME_COUNT];
	uint64_t reads, writes; /* requests to the table */
	uint64_t runs; /* started */
	uint64_t finished;
	uint64_t leases_lapsed; /* taken over */
	uint64_t expired; /* deleted after their retention */
	uint32_t open; /* by the last scans */
	pf_ms oldest_created; /* submission of the oldest; PF_NEVER: none */
	pf_ms last_full_scan; /* end of the last scan of all shards; 0: never */
};

void pf_draft_stats(const struct pf_draft *d, struct pf_draft_stats *s);

PF_END_DECLS

#endif
