/*
 * Claim core: at most one run per idempotency key of a plain service, across
 * retries, entries and VMs that fail.
 *
 * Keys are hashed into shards. Each shard has a row in the table that names
 * its owner and an epoch. An owner appends the claims, results and voids of
 * all its shards to one log per incarnation, one table row per group commit.
 * A log row with claims is conditional on the revisions of the shard rows, so
 * an owner that was replaced is fenced off. A new owner first raises the epoch
 * in the shard row, then reads the logs of the earlier owners.
 *
 * `now` is wall-clock time, since log rows outlive processes.
 */
#ifndef PIMENTOFORD_CLAIM_H
#define PIMENTOFORD_CLAIM_H

#include "pimentoford/table.h"
#include "pimentoford/work.h"

PF_BEGIN_DECLS

struct pf_claim;

struct pf_claim_opts {
	const char *service; /* copied */
	uint64_t agent; /* endpoint id */
	uint64_t incarnation; /* rises with each restart of the agent */
	uint64_t seed;
	uint32_t shards; /* the same for all agents of the service */
	uint32_t keys_max; /* remembered keys; beyond: refused, FULL */
	uint32_t waiters_max; /* waiting requests; beyond: new keys get FULL */
	uint32_t agents_max; /* tracked agents */
	uint32_t past_owners_max; /* per shard; at the bound it is not moved
				   * until one is no longer needed */
	uint32_t answer_bytes_max; /* a longer answer is not stored, only
				    * that the run is done */
	uint32_t batch_max; /* entries per log row */
	double writes_per_s; /* log rows; share of the table's write budget */
	pf_ms heartbeat_interval;
	pf_ms lease; /* without a heartbeat for this long: replaced */
	pf_ms table_timeout; /* longest wait of a request or result for the
			      * table */
	pf_ms retention; /* how long a key is remembered */
	pf_ms gc_interval;
};

/** `agent` has no default and must be set. */
void pf_claim_opts_default(struct pf_claim_opts *o);

/**
 * Copies @o. Freed with pf_claim_free(). NULL when an option is out of range
 * or there is no memory.
 */
struct pf_claim *pf_claim_new(const struct pf_claim_opts *o);
void pf_claim_free(struct pf_claim *c);

uint32_t pf_claim_shard(uint64_t key, uint32_t shards);

/** The id of a service's shard in agent reports and in pf_work::adapter. */
uint64_t pf_claim_shard_id(uint64_t service, uint32_t shard);

enum pf_claim_msg_type {
	PF_CLAIM_REQUEST, /* u.request: a try asks to run */
	PF_CLAIM_RESULT, /* u.result: the run of a granted key ended */
	PF_CLAIM_RUN_LOST, /* u.key: the run was cut off, outcome unknown */
	PF_CLAIM_VOID, /* u.key: granted, but the run never started */
	PF_CLAIM_CANCEL, /* u.id: drop a request that waits */
	PF_CLAIM_TXN_DONE, /* u.txn: result of PF_CLAIM_TXN */
	PF_CLAIM_SCAN_DONE, /* u.scan: result of PF_CLAIM_SCAN */
	PF_CLAIM_DRAIN, /* hand over all shards */
	PF_CLAIM_TICK,
};

struct pf_claim_msg {
	enum pf_claim_msg_type type;
	union {
		struct {
			struct pf_try id;
			uint64_t key;
			uint64_t fingerprint;
		} request;
		struct {
			uint64_t key;
			struct pf_str answer; /* text; borrowed for the call */
		} result;
		uint64_t key;
		struct pf_try id;
		struct {
			uint64_t op;
			enum pf_table_status status;
			uint32_t failed_check; /* CONFLICT: its index */
			uint64_t revision; /* OK: of the written rows */
		} txn;
		struct {
			uint64_t op;
			enum pf_table_status status;
			const struct pf_table_row *rows;
			size_t n_rows;
			bool more; /* there are rows after the last one */
		} scan;
	} u;
};

enum pf_claim_act_type {
	PF_CLAIM_REPLY, /* u.reply: to a request; PF_AGENT_CLAIMED */
	PF_CLAIM_RESULT_SETTLED, /* u.key: result stored, or not waited for */
	PF_CLAIM_TXN, /* u.txn; reply with TXN_DONE exactly once */
	PF_CLAIM_SCAN, /* u.scan; reply with SCAN_DONE exactly once */
	PF_CLAIM_SHARDS_CHANGED, /* the set of owned shards changed */
	PF_CLAIM_DRAINED, /* all stored; shards handed over or no successor */
	PF_CLAIM_SUPERSEDED, /* a later incarnation of this agent runs */
};

struct pf_claim_act {
	enum pf_claim_act_type type;
	union {
		struct {
			struct pf_try id;
			uint64_t key;
			bool granted;
			/* NONE, not granted: `answer` is the stored one. */
			enum pf_reason reason;
			struct pf_str answer; /* borrowed for the call */
		} reply;
		uint64_t key;
		struct {
			uint64_t op;
			struct pf_table_txn txn; /* borrowed for the call */
		} txn;
		struct {
			uint64_t op;
			struct pf_str prefix;
			struct pf_str after; /* only rows above this key */
			uint32_t limit;
		} scan;
	} u;
};

/** `emit` must not call back into the core. */
struct pf_claim_sink {
	void (*emit)(void *ctx, const struct pf_claim_act *act);
	void *ctx;
};

void pf_claim_step(struct pf_claim *c, pf_ms now, const struct pf_claim_msg *m,
		   const struct pf_claim_sink *sink);

/** Time of the next PF_CLAIM_TICK; PF_NEVER once drained or superseded. */
pf_ms pf_claim_next(const struct pf_claim *c);

/** Whether this agent owns @shard and has read its earlier logs. */
bool pf_claim_owns(const struct pf_claim *c, uint32_t shard);

/** Key prefixes of the table rows that the core uses. */
#define PF_CLAIM_OWNER_PREFIX "owner/"
#define PF_CLAIM_SHARD_PREFIX "shard/"
#define PF_CLAIM_LOG_PREFIX "claimlog/"

struct pf_claim_stats {
	uint64_t requests, granted, replayed, outcome_unknown, refused;
	uint64_t rows_written, entries_written, voids, takeovers, handovers;
	uint64_t conflicts, writes_in_doubt, writes_limited, rows_deleted;
	uint32_t keys, owned_shards;
};

void pf_claim_stats(const struct pf_claim *c, struct pf_claim_stats *s);

PF_END_DECLS

#endif
