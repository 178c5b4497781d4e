/* Internals of the claim core, shared by its source files. */
#ifndef CLAIM_CORE_H
#define CLAIM_CORE_H

#include "pimentoford/claim.h"
#include "pimentoford/map.h"
#include "pimentoford/text.h"

#define CLAIM_NONE UINT32_MAX
#define CLAIM_ROW_KEY_MAX 160 /* bytes of a table row's key, with the NUL */
#define CLAIM_SCAN_ROWS_MAX 200
#define CLAIM_TXN_ROWS_MAX 16 /* shard rows or deletions per transaction */
#define CLAIM_LOG_OWN 0 /* index of this incarnation's log */

/* An incarnation of an agent, which also names the log it writes. */
struct claim_log_id {
	uint64_t agent;
	uint64_t incarnation;
};

enum claim_key_state {
	KEY_FREE,
	KEY_PENDING, /* the claim is not committed yet */
	KEY_RUNNING, /* granted here, the run is in progress */
	KEY_STORING, /* the result is not committed yet */
	KEY_VOIDING, /* the void is not committed yet */
	KEY_DONE, /* the result is in row (log, result_seq) */
	KEY_UNKNOWN, /* granted here, outcome unknown */
	KEY_FOREIGN, /* claimed in another log, no result read from it */
	KEY_RECLAIM, /* another log's claim was voided, requests wait */
};

struct claim_key {
	uint64_t key;
	uint64_t fingerprint;
	uint64_t result_seq; /* DONE: log row of the result */
	pf_ms claimed_at;
	uint32_t shard;
	uint32_t log; /* index into logs */
	uint32_t first_waiter; /* FREE: next free slot */
	enum claim_key_state state;
};

enum claim_wait {
	WAIT_FREE,
	WAIT_KEY, /* the commit of the key's entry, or the end of its run */
	WAIT_LOG, /* the new rows of another owner's log */
	WAIT_ANSWER, /* the read of the stored answer */
	WAIT_COUNT
};

/* A claim request without a reply yet. */
struct claim_waiter {
	struct pf_try id;
	pf_ms waiting_since;
	uint32_t key_index;
	uint32_t next; /* in the key's list or the free list */
	enum claim_wait wait;
};

enum claim_entry_type { ENTRY_CLAIM, ENTRY_RESULT, ENTRY_VOID };

/* A log entry that is queued or in the row being written. */
struct claim_entry {
	struct claim_entry *next;
	enum claim_entry_type type;
	uint32_t key_index;
	uint64_t key; /* detects that the slot was reused */
	char *answer; /* RESULT: owned; NULL: too long to store */
	size_t answer_len;
	pf_ms queued_at;
	bool settled; /* RESULT: PF_CLAIM_RESULT_SETTLED was emitted */
};

struct claim_entry_list {
	struct claim_entry *first;
	struct claim_entry *last;
	uint32_t n;
};

/* The log row being written. Its text is fixed until the outcome is known. */
struct claim_flush {
	struct claim_entry_list entries;
	struct pf_text row_text;
	struct {
		uint32_t shard;
		uint64_t revision; /* of the shard row at fill time */
	} claimed_shards[CLAIM_TXN_ROWS_MAX]; /* shards of its claims */
	uint32_t n_claimed_shards;
	uint64_t seq;
	uint64_t op; /* transaction in flight, or 0 */
	bool in_doubt; /* a reply was lost: the row may exist already */
	pf_ms retry_at;
	pf_ms backoff;
};

enum claim_ownership {
	SHARD_NOT_OWNED,
	SHARD_RECOVERING, /* owned, but earlier logs are not read yet */
	SHARD_OWNED,
};

/* An earlier owner of a shard; a new owner reads its log. */
struct claim_past_owner {
	struct claim_log_id id;
	pf_ms owned_until;
};

/* A shard as its row was last read or written, and our ownership of it. */
struct claim_shard {
	uint64_t revision; /* 0: no row */
	uint64_t epoch;
	struct claim_log_id owner;
	struct claim_past_owner *past_owners; /* past_owners_max of them */
	uint32_t n_past_owners;
	enum claim_ownership ownership;
};

/* An agent of the service as its row was last read. */
struct claim_agent {
	uint64_t id;
	uint64_t incarnation;
	uint64_t heartbeat;
	uint64_t revision; /* 0: no row in the current scan */
	pf_ms last_seen_at; /* when its heartbeat last changed */
	bool leaving;
};

/* A log: our own, or one of an earlier owner. */
struct claim_log {
	struct claim_log_id id;
	char cursor[CLAIM_ROW_KEY_MAX]; /* last row read in this pass */
	char applied_to[CLAIM_ROW_KEY_MAX]; /* last row ever applied */
	bool to_read; /* still to be read in this pass */
};

/* The step of the control cycle; one table operation at a time. */
enum claim_phase {
	PHASE_IDLE,
	PHASE_SCAN_AGENTS,
	PHASE_HEARTBEAT, /* write our agent row */
	PHASE_SCAN_SHARDS,
	PHASE_MOVE_SHARDS, /* take over or hand over shards */
	PHASE_READ_LOGS,
	PHASE_READ_ANSWER,
	PHASE_SCAN_EXPIRED, /* scan the oldest rows of a log */
	PHASE_DELETE_EXPIRED,
};

struct pf_claim {
	struct pf_claim_opts opts;
	char *service;
	struct pf_rng rng;
	uint64_t next_op;

	struct claim_key *keys;
	struct pf_map key_map; /* idempotency key to index in keys */
	uint32_t first_free_key;
	uint32_t keys_end; /* slots from here on are unused */
	struct claim_waiter *waiters;
	uint32_t first_free_waiter;
	uint32_t n_waiters;
	uint32_t n_by_wait[WAIT_COUNT];

	struct claim_entry_list queue;
	struct claim_flush flush;
	uint64_t next_seq;
	pf_ms next_flush_at; /* by the write budget */

	struct claim_shard *shards;
	struct claim_agent *agents;
	uint32_t n_agents;
	struct claim_log *logs;
	uint32_t n_logs;
	uint32_t logs_cap;

	enum claim_phase phase;
	uint64_t control_op; /* table operation in flight, or 0 */
	char scan_after[CLAIM_ROW_KEY_MAX];
	pf_ms next_heartbeat_at;
	pf_ms next_gc_at;
	uint64_t heartbeat;
	uint32_t reading_log; /* index into logs */
	uint32_t answer_key_index; /* key whose stored answer is read */
	bool any_recovering; /* a shard is RECOVERING */
	bool read_incomplete; /* damaged row, or no slot for a key */
	bool plan_pending; /* shards may have to move */
	uint32_t gc_log; /* index of the log last scanned for old rows */
	pf_ms last_step_at;
	struct {
		uint32_t shard;
		struct claim_log_id new_owner;
	} moves[CLAIM_TXN_ROWS_MAX];
	uint32_t n_moves;
	pf_ms moves_sent_at;
	pf_ms next_log_read_at; /* no pass over the logs before */
	bool draining;
	bool drained;
	bool superseded;
	struct pf_claim_stats stats;
};

/* claim_text.c: rows as text. Keys: CLAIM_ROW_KEY_MAX bytes at @out. */
void claim_agent_row_key(const struct pf_claim *c, uint64_t agent, char *out);
void claim_shard_row_key(const struct pf_claim *c, uint32_t shard, char *out);
void claim_log_prefix(const struct pf_claim *c, struct claim_log_id id,
		      char *out);
void claim_log_row_key(const struct pf_claim *c, struct claim_log_id id,
		       uint64_t seq, char *out);
void claim_agent_row_text(const struct pf_claim *c, struct pf_text *t);
int claim_agent_row_parse(struct pf_str key, struct pf_str value,
			  struct claim_agent *agent);
/* The row of @s after a move to @to at @now. */
void claim_shard_row_text(const struct claim_shard *s, struct claim_log_id to,
			  pf_ms now, struct pf_text *t);
int claim_shard_row_parse(const struct pf_claim *c, struct pf_str value,
			  struct claim_shard *s);
/* The shard number in the key of a shard row; -1 when it is not one. */
int claim_shard_row_number(const struct pf_claim *c, struct pf_str key);

/* An entry read from a log row; `answer` is borrowed from the row. */
struct claim_parsed_entry {
	enum claim_entry_type type;
	uint32_t shard;
	uint64_t key;
	uint64_t fingerprint;
	struct pf_str answer;
	bool has_answer;
};

/* Takes the time of the row off @rest. 0, or -1 when the row is damaged. */
int claim_log_row_time(struct pf_str *rest, pf_ms *at);
/* Takes the next entry off @rest. 1; 0 at the end; -1: the row is damaged. */
int claim_log_row_next(struct pf_str *rest, struct claim_parsed_entry *e);
void claim_log_row_begin(struct pf_text *t, pf_ms at);
void claim_log_row_add(struct pf_text *t, const struct claim_key *k,
		       const struct claim_entry *e);

/* claim_keys.c: keys and waiters. */
struct claim_key *claim_key_find(struct pf_claim *c, uint64_t key);
/* NULL when all slots are in use. */
struct claim_key *claim_key_add(struct pf_claim *c, uint64_t key);
void claim_key_drop(struct pf_claim *c, struct claim_key *k);
void claim_waiter_set_wait(struct pf_claim *c, uint32_t waiter,
			   enum claim_wait wait);
/* Replies to all waiters of @k; NONE: with the stored @answer. */
void claim_reply_all(struct pf_claim *c, struct claim_key *k,
		     enum pf_reason reason, struct pf_str answer,
		     const struct pf_claim_sink *sink);
/* Grants @k to its oldest waiter. 0, or -1 when there is none. */
int claim_grant(struct pf_claim *c, struct claim_key *k,
		const struct pf_claim_sink *sink);
void claim_request(struct pf_claim *c, pf_ms now, const struct pf_claim_msg *m,
		   const struct pf_claim_sink *sink);
void claim_cancel(struct pf_claim *c, struct pf_try id);
/* Refuses the waiters whose wait for the table timed out. */
void claim_refuse_overdue(struct pf_claim *c, pf_ms now,
			  const struct pf_claim_sink *sink);
/* A later incarnation runs: replies to all waiters and stops this one. */
void claim_supersede(struct pf_claim *c, const struct pf_claim_sink *sink);
void claim_keys_expire(struct pf_claim *c, pf_ms now);

/* claim_log.c: group commit. */
/* Queues an entry; @answer is copied. 0, or -1 when there is no memory. */
int claim_queue_entry(struct pf_claim *c, struct claim_key *k,
		      enum claim_entry_type type, struct pf_str answer,
		      pf_ms now);
/* Emits RESULT_SETTLED for results whose wait for the table timed out. */
void claim_settle_overdue_results(struct pf_claim *c, pf_ms now,
				  const struct pf_claim_sink *sink);
/* Emits RESULT_SETTLED for all results that wait. */
void claim_settle_all_results(struct pf_claim *c,
			      const struct pf_claim_sink *sink);
void claim_flush_if_due(struct pf_claim *c, pf_ms now,
			const struct pf_claim_sink *sink);
void claim_flush_done(struct pf_claim *c, pf_ms now,
		      const struct pf_claim_msg *m,
		      const struct pf_claim_sink *sink);
void claim_entries_clear(struct claim_entry_list *q);

/* claim_own.c: the control cycle. */
void claim_control(struct pf_claim *c, pf_ms now,
		   const struct pf_claim_sink *sink);
void claim_control_txn_done(struct pf_claim *c, const struct pf_claim_msg *m,
			    const struct pf_claim_sink *sink);
void claim_control_scan_done(struct pf_claim *c, pf_ms now,
			     const struct pf_claim_msg *m,
			     const struct pf_claim_sink *sink);
/* Gives up ownership of the shard, if any. */
void claim_shard_lost(struct pf_claim *c, uint32_t shard,
		      const struct pf_claim_sink *sink);
/* We became the owner: starts reading the logs of the earlier owners. */
void claim_shard_recover(struct pf_claim *c, uint32_t shard);

/* claim_plan.c: assignment of shards to agents. */
/* Whether shards may be assigned to @agent: live and not leaving. */
bool claim_agent_can_own(const struct pf_claim *c,
			 const struct claim_agent *agent, pf_ms now);
struct claim_agent *claim_agent_find(const struct pf_claim *c, uint64_t id);
/* Whether a new owner of @s must read the log of @p, which is not the current
 * owner's and may hold a remembered key. */
bool claim_past_owner_needed(const struct pf_claim *c,
			     const struct claim_shard *s,
			     const struct claim_past_owner *p, pf_ms now);
/* Fills `moves`. True when there are any. */
bool claim_plan_moves(struct pf_claim *c, pf_ms now);

/* claim_read.c: reading logs of earlier owners. */
/* The index of a log; CLAIM_NONE when it is unknown and not added. */
uint32_t claim_log_find(struct pf_claim *c, struct claim_log_id id, bool add);
/* Starts a pass: marks the logs to read. True when there is one. */
bool claim_read_start(struct pf_claim *c);
/* Sets `reading_log` to the next log to read; false when there is none. */
bool claim_read_next(struct pf_claim *c);
void claim_read_rows(struct pf_claim *c, pf_ms now,
		     const struct pf_claim_msg *m);
/* Frees the slot of a log that nothing refers to. 0, or -1 when none is. */
int claim_log_evict(struct pf_claim *c);
/* Ends a pass: recovered shards are owned, waiting requests go on. */
void claim_read_finish(struct pf_claim *c, pf_ms now,
		       const struct pf_claim_sink *sink);

static inline bool claim_is_self(const struct pf_claim *c,
				 struct claim_log_id id)
{
	return id.agent == c->opts.agent &&
	       id.incarnation == c->opts.incarnation;
}

#endif
