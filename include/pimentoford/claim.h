/*
 * Claim core: at most one run per idempotency key of a plain service, across
 * retries, entries and dead VMs.
 *
 * The key space is hashed into shards. The table names the owner of each
 * shard with an epoch. An owner appends claims, results and voids of all its
 * shards to one log per incarnation, one row per group commit. A row that
 * holds claims is conditional on the shard rows, so that an owner that was
 * replaced can claim nothing more. A new owner first raises the epoch, then
 * reads the logs of the owners before it.
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
	const char *service; /* name; copied */
	uint64_t agent; /* endpoint id */
	uint64_t incarnation; /* rises with each restart of the agent */
	uint64_t seed;
	uint32_t shards; /* the same for all agents of the service */
	uint32_t keys_max; /* keys remembered; at the bound: refused, FULL */
	uint32_t waiters_max; /* claims waiting at once; at the bound: FULL */
	uint32_t agents_max; /* agents of the service that are followed */
	uint32_t
		past_owners_max; /* logs of earlier owners; at the bound a shard
			       * is not taken over */
	uint32_t
		answer_bytes_max; /* bytes of an answer that are stored; a longer
			       * one is remembered as done without a body */
	uint32_t batch_max; /* log entries in one row */
	double writes_per_s; /* this agent's part of the table's budget */
	pf_ms heartbeat_interval;
	pf_ms lease; /* an owner silent for so long is replaced */
	pf_ms table_timeout; /* a claim waits so long for the table */
	pf_ms retention; /* how long a key is remembered */
	pf_ms gc_interval;
};

/** Fills in the defaults that are shipped. */
void pf_claim_opts_default(struct pf_claim_opts *o);

/** NULL when options are out of range or there is no memory. */
struct pf_claim *pf_claim_new(const struct pf_claim_opts *o);
void pf_claim_free(struct pf_claim *c);

/** The shard of a key, and the id by which reports and work name a shard. */
uint32_t pf_claim_shard(uint64_t key, uint32_t shards);
uint64_t pf_claim_shard_id(uint64_t service, uint32_t shard);

enum pf_claim_msg_type {
	PF_CLAIM_REQUEST, /* u.request: may this try run? */
	PF_CLAIM_RESULT, /* u.result: the run of a granted key ended */
	PF_CLAIM_RUN_LOST, /* u.key: the run was cut; its outcome is unknown */
	PF_CLAIM_VOID, /* u.key: granted, but the run never began */
	PF_CLAIM_CANCEL, /* u.id: nobody waits for this ask any more */
	PF_CLAIM_TXN_DONE, /* u.txn: result of PF_CLAIM_TXN */
	PF_CLAIM_SCAN_DONE, /* u.scan: result of PF_CLAIM_SCAN */
	PF_CLAIM_DRAIN, /* hand all shards over */
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
			uint32_t
				failed_check; /* CONFLICT: index of the check */
			uint64_t revision; /* OK: of the rows it wrote */
		} txn;
		struct {
			uint64_t op;
			enum pf_table_status status; /* OK or other */
			const struct pf_table_row *rows;
			size_t n_rows;
			bool more; /* rows follow the last one */
		} scan;
	} u;
};

enum pf_claim_act_type {
	PF_CLAIM_REPLY, /* u.reply: to the agent core as CLAIMED */
	PF_CLAIM_RESULT_SETTLED, /* u.key: the result is in the log or given up on */
	PF_CLAIM_TXN, /* u.txn; answer with TXN_DONE exactly once */
	PF_CLAIM_SCAN, /* u.scan; answer with SCAN_DONE exactly once */
	PF_CLAIM_SHARDS_CHANGED, /* the set of owned shards changed */
	PF_CLAIM_DRAINED, /* all shards are handed over */
	PF_CLAIM_SUPERSEDED, /* a later incarnation of this agent runs */
};

struct pf_claim_act {
	enum pf_claim_act_type type;
	union {
		struct {
			struct pf_try id;
			uint64_t key;
			bool granted;
			/* NONE: `answer` is the stored one. */
			enum pf_reason reason;
			struct pf_str answer; /* valid in the call */
		} reply;
		uint64_t key;
		struct {
			uint64_t op;
			struct pf_table_txn txn; /* valid in the call */
		} txn;
		struct {
			uint64_t op;
			struct pf_str prefix;
			struct pf_str after; /* rows above this key */
			uint32_t limit;
		} scan;
	} u;
};

/** Where acts go. `emit` must not call back into the core. */
struct pf_claim_sink {
	void (*emit)(void *ctx, const struct pf_claim_act *act);
	void *ctx;
};

void pf_claim_step(struct pf_claim *c, pf_ms now, const struct pf_claim_msg *m,
		   const struct pf_claim_sink *sink);

/** When the next PF_CLAIM_TICK is due. */
pf_ms pf_claim_next(const struct pf_claim *c);

/** Whether the shard is owned and its logs are read. */
bool pf_claim_owns(const struct pf_claim *c, uint32_t shard);

/** Rows of the table that the core uses, for tools and tests. */
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
