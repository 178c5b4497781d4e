/*
 * Draft core: requests whose answers may come later but must come. A draft is
 * accepted once its body is in the object store and its row in the table; any
 * entry runs it under a lease in that row, stores the answer and then moves
 * the row from open to done, which succeeds once. Does no I/O.
 *
 * Here `now` is wall-clock time in ms, since leases and retention are read by
 * other entries. A wrong clock can cost a second run, never a second answer.
 *
 *   draft/open/ID   caller, lease (epoch, holder, expiry), key, digest
 *   draft/done/ID   caller, epoch of the answer, status, expiry, key
 *   draft/key/KEY   the id and digest that an Idempotency-Key stands for
 */
#ifndef PIMENTOFORD_DRAFT_H
#define PIMENTOFORD_DRAFT_H

#include "pimentoford/table.h"

PF_BEGIN_DECLS

#define PF_DRAFT_ID_MAX 32
#define PF_DRAFT_SHARDS 16

struct pf_draft;

struct pf_draft_opts {
	uint64_t seed; /* differs between entries and their starts */
	uint64_t holder; /* this entry's start, never 0 */
	uint32_t jobs_max; /* asked and run at once; beyond: AWAY */
	uint32_t runs_max; /* leases held at once */
	uint32_t open_max; /* open drafts counted; beyond: FULL */
	uint32_t caller_open_max; /* open drafts of a caller; beyond: FULL */
	uint32_t scan_limit; /* rows asked for by one scan */
	uint32_t renew_batch_max; /* leases renewed by one transaction */
	pf_ms scan_interval; /* between the scans of two shards, jittered */
	pf_ms lease;
	pf_ms retention; /* an answer is kept so long */
	pf_ms store_timeout; /* a store's answer is lost after this */
	pf_ms caller_timeout; /* longest time for what a caller asks */
	pf_ms backoff; /* before the next try at a store or a run */
};

void pf_draft_opts_default(struct pf_draft_opts *o);
/** NULL when options are out of range or there is no memory. */
struct pf_draft *pf_draft_new(const struct pf_draft_opts *o);
void pf_draft_free(struct pf_draft *d);

enum pf_object_status {
	PF_OBJECT_OK,
	PF_OBJECT_NOT_FOUND,
	PF_OBJECT_UNKNOWN, /* nothing was learnt; a write may have happened */
};

enum pf_draft_msg_type {
	PF_DRAFT_SUBMIT, /* u.submit */
	PF_DRAFT_FETCH, /* u.fetch */
	PF_DRAFT_CANCEL, /* u.fetch */
	PF_DRAFT_TXN_DONE, /* u.txn: answer to COMMIT */
	PF_DRAFT_ROWS_DONE, /* u.rows: answer to GET and SCAN */
	PF_DRAFT_OBJECT_DONE, /* u.object: answer to PUT, READ, DELETE */
	PF_DRAFT_RUN_DONE, /* u.run: answer to RUN */
	PF_DRAFT_TICK,
};

struct pf_draft_msg {
	enum pf_draft_msg_type type;
	uint64_t seq; /* of the act that is answered */
	union {
		struct {
			uint64_t ticket;
			uint64_t caller;
			uint64_t idem_key; /* 0: none */
			struct pf_str body; /* copied */
		} submit;
		struct {
			uint64_t ticket;
			uint64_t caller;
			struct pf_str id;
		} fetch;
		struct {
			enum pf_table_status status;
			uint64_t revision;
		} txn;
		struct {
			enum pf_table_status status;
			const struct pf_table_row *rows;
			size_t n_rows;
		} rows;
		struct {
			enum pf_object_status status;
			struct pf_str body;
		} object;
		struct {
			bool final; /* else it is run again later */
			uint32_t status; /* HTTP */
			struct pf_str body; /* copied */
		} run;
	} u;
};

/* DEF(name, status): what a caller is told, with its HTTP status. */
#define PF_DRAFT_OUTCOMES(DEF)                          \
	DEF(ACCEPTED, 202) /* stored: it will arrive */ \
	DEF(OPEN, 202) /* not finished yet */           \
	DEF(ANSWER, 200) /* u.reply.status and body */  \
	DEF(CANCELLED, 200)                             \
	DEF(NOT_FOUND, 404) /* or of another caller */  \
	DEF(KEY_REUSED, 422) /* key of another body */  \
	DEF(TOO_MANY, 429) /* not run: quota */         \
	DEF(UNAVAILABLE, 503) /* not run, never will */ \
	DEF(UNKNOWN, 503) /* ran unknown: resend the key */

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
	PF_DRAFT_RUN, /* u.run */
	PF_DRAFT_RUN_CANCEL, /* the run `seq` is no longer wanted */
	PF_DRAFT_REPLY, /* u.reply: exactly once per ticket */
};

/** Everything in it is valid during the call. */
struct pf_draft_act {
	enum pf_draft_act_type type;
	uint64_t seq;
	union {
		struct pf_table_txn txn;
		struct pf_str key;
		struct {
			struct pf_str prefix;
			struct pf_str after;
			uint32_t limit;
		} scan;
		struct {
			struct pf_str name;
			struct pf_str body;
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
			uint32_t status;
			struct pf_str body;
			pf_ms retry_after;
		} reply;
	} u;
};

/** Where acts go. `emit` must not call back into the core. */
struct pf_draft_sink {
	void (*emit)(void *ctx, const struct pf_draft_act *act);
	void *ctx;
};

void pf_draft_step(struct pf_draft *d, pf_ms now,
		   const struct pf_draft_msg *msg,
		   const struct pf_draft_sink *sink);

/** When the next PF_DRAFT_TICK is due. */
pf_ms pf_draft_next(const struct pf_draft *d);

struct pf_draft_stats {
	uint64_t outcomes[PF_DRAFT_OUTCOME_COUNT];
	uint64_t reads, writes, runs, finished, leases_lapsed, expired;
	uint32_t open; /* in all, by the last scans */
	pf_ms oldest_created; /* when the oldest open one came; PF_NEVER: none */
	pf_ms last_full_scan; /* when the last round of scans ended; 0: never */
};

void pf_draft_stats(const struct pf_draft *d, struct pf_draft_stats *s);

PF_END_DECLS

#endif
