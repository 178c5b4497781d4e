/* Private parts of the claim core, shared by its modules. */
#ifndef CLAIM_CORE_H
#define CLAIM_CORE_H

#include "pimentoford/claim.h"
#include "pimentoford/map.h"
#include "pimentoford/text.h"

#define CLAIM_NONE UINT32_MAX
#define CLAIM_ROW_KEY_MAX 160 /* bytes of a row's key, at most */
#define CLAIM_SCAN_ROWS_MAX 200
#define CLAIM_TXN_ROWS_MAX 16
#define CLAIM_LOG_OWN 0 /* index of this incarnation's log */

/* A log is named by the incarnation that writes it. */
struct claim_log_id {
	uint64_t agent;
	uint64_t incarnation;
};

enum claim_key_state {
	KEY_FREE,
	KEY_PENDING, /* the claim waits for its row */
	KEY_RUNNING, /* granted here, the run goes on */
	KEY_STORING, /* the result waits for its row */
	KEY_VOIDING, /* the void waits for its row */
	KEY_DONE, /* the result stands at (log, seq) */
	KEY_UNKNOWN, /* granted here, the run was cut */
	KEY_FOREIGN, /* claimed in the log of another owner, no result read */
	KEY_RECLAIM, /* was FOREIGN, its void was read while asks wait */
};

/* What is remembered of one idempotency key. */
struct claim_key {
	uint64_t key;
	uint64_t fingerprint;
	uint64_t result_seq; /* DONE: row of the result */
	pf_ms claimed_at;
	uint32_t shard;
	uint32_t log; /* index into logs */
	uint32_t
		first_waiter; /* first of the asks that wait; also the free list */
	enum claim_key_state state;
};

enum claim_wait {
	WAIT_FREE,
	WAIT_KEY, /* for the key's own row or run */
	WAIT_LOG, /* for a fresh look at another owner's log */
	WAIT_ANSWER, /* for the stored answer to be read */
	WAIT_COUNT
};

/* An ask that has no answer yet. */
struct claim_waiter {
	struct pf_try id;
	pf_ms waiting_since;
	uint32_t key_index; /* index of its key */
	uint32_t next; /* in the key's list, or the free list */
	enum claim_wait wait;
};

enum claim_entry_type { ENTRY_CLAIM, ENTRY_RESULT, ENTRY_VOID };

/* An entry that waits for its row. */
struct claim_entry {
	struct claim_entry *next;
	enum claim_entry_type type;
	uint32_t key_index;
	uint64_t key; /* of the key; its slot may have been reused */
	char *answer; /* RESULT: owned, NULL when it is not stored */
	size_t answer_len;
	pf_ms queued_at;
	bool settled; /* RESULT: PF_CLAIM_RESULT_SETTLED was emitted */
};

struct claim_entry_list {
	struct claim_entry *first;
	struct claim_entry *last;
	uint32_t n;
};

/* The row being written; it keeps its contents until the outcome is certain. */
struct claim_flush {
	struct claim_entry_list entries;
	struct pf_text row_text;
	struct {
		uint32_t shard;
		uint64_t revision; /* of its row when this row was filled */
	} claimed_shards[CLAIM_TXN_ROWS_MAX]; /* that it claims in */
	uint32_t n_claimed_shards;
	uint64_t seq;
	uint64_t op; /* outstanding, or 0 */
	bool in_doubt; /* an answer was lost: it may stand already */
	pf_ms retry_at;
	pf_ms backoff;
};

enum claim_ownership { SHARD_NOT_OWNED, SHARD_RECOVERING, SHARD_OWNED };

/* An earlier owner of a shard, whose log its next owner must read. */
struct claim_past_owner {
	struct claim_log_id id;
	pf_ms owned_until; /* when it ceased to own the shard */
};

/* A shard row as last read, and whether it is ours. */
struct claim_shard {
	uint64_t revision; /* 0: no row */
	uint64_t epoch;
	struct claim_log_id owner;
	struct claim_past_owner *past_owners; /* past_owners_max of them */
	uint32_t n_past_owners;
	enum claim_ownership ownership;
};

/* An agent of the service, as its row shows it. */
struct claim_agent {
	uint64_t id;
	uint64_t incarnation;
	uint64_t heartbeat;
	uint64_t revision;
	pf_ms last_seen; /* when a new beat was last seen */
	bool leaving;
};

/* The log of an earlier owner. */
struct claim_log {
	struct claim_log_id id;
	char cursor[CLAIM_ROW_KEY_MAX]; /* last row read in this pass */
	char applied_to
		[CLAIM_ROW_KEY_MAX]; /* last row applied to held shards */
	bool to_read; /* to be read in this pass */
};

/* The control cycle: one operation on the table at a time. */
enum claim_phase {
	PHASE_IDLE,
	PHASE_SCAN_AGENTS, /* scan the agents of the service */
	PHASE_HEARTBEAT, /* write our own row */
	PHASE_SCAN_SHARDS, /* scan the shard rows */
	PHASE_MOVE_SHARDS, /* take or hand over shards */
	PHASE_READ_LOGS, /* read logs */
	PHASE_READ_ANSWER, /* read a stored answer */
	PHASE_SCAN_EXPIRED, /* scan the oldest rows of a log */
	PHASE_DELETE_EXPIRED, /* delete them */
};

struct pf_claim {
	struct pf_claim_opts opts;
	char *service;
	struct pf_rng rng;
	uint64_t next_op;

	struct claim_key *keys;
	struct pf_map key_map; /* key -> index */
	uint32_t first_free_key;
	uint32_t keys_end; /* slots from here on were never used */
	struct claim_waiter *waiters;
	uint32_t first_free_waiter;
	uint32_t n_waiters;
	uint32_t n_by_wait[WAIT_COUNT];

	struct claim_entry_list queue;
	struct claim_flush flush;
	uint64_t next_seq;
	pf_ms next_flush; /* the write budget allows one then */

	struct claim_shard *shards;
	struct claim_agent *agents;
	uint32_t n_agents;
	struct claim_log *logs;
	uint32_t n_logs;
	uint32_t logs_cap;

	enum claim_phase phase;
	uint64_t control_op; /* outstanding control operation, or 0 */
	char scan_after[CLAIM_ROW_KEY_MAX];
	pf_ms next_heartbeat;
	pf_ms next_gc;
	uint64_t heartbeat;
	uint32_t reading_log; /* log being read */
	uint32_t answer_key_index; /* key whose answer is read */
	bool any_recovering; /* a shard waits for its logs to be read */
	bool read_incomplete; /* a claim could not be remembered */
	bool plan_pending; /* more shards to move than one row holds */
	uint32_t gc_log; /* log whose oldest rows are looked at */
	pf_ms last_step; /* time of the last step */
	struct {
		uint32_t shard;
		struct claim_log_id new_owner;
	} moves[CLAIM_TXN_ROWS_MAX];
	uint32_t n_moves;
	pf_ms moves_sent; /* when the move was sent */
	pf_ms next_log_read; /* a pass of reading may start then */
	bool draining;
	bool drained;
	bool superseded;
	struct pf_claim_stats stats;
};

/* claim_text.c: rows as text. */
void claim_agent_row_key(const struct pf_claim *c, uint64_t agent, char *out);
void claim_shard_row_key(const struct pf_claim *c, uint32_t shard, char *out);
void claim_log_prefix(const struct pf_claim *c, struct claim_log_id id,
		      char *out);
void claim_log_row_key(const struct pf_claim *c, struct claim_log_id id,
		       uint64_t seq, char *out);
void claim_agent_row_text(const struct pf_claim *c, struct pf_text *t);
int claim_agent_row_parse(struct pf_str key, struct pf_str value,
			  struct claim_agent *agent);
/* The shard's row after it moved from its owner to @to at @now. */
void claim_shard_row_text(const struct claim_shard *s, struct claim_log_id to,
			  pf_ms now, struct pf_text *t);
int claim_shard_row_parse(const struct pf_claim *c, struct pf_str value,
			  struct claim_shard *s);
/* The shard number in a shard row's key, or -1. */
int claim_shard_row_number(const struct pf_claim *c, struct pf_str key);

/* One entry of a log row; `answer` is borrowed from the row. */
struct claim_parsed_entry {
	enum claim_entry_type type;
	uint32_t shard;
	uint64_t key;
	uint64_t fingerprint;
	struct pf_str answer;
	bool has_answer;
};

/* Reads the row's time and leaves @rest behind it. 0 or -1. */
int claim_log_row_time(struct pf_str *rest, pf_ms *at);
/* Reads the next entry. 1, 0 at the end, -1 when the row is damaged. */
int claim_log_row_next(struct pf_str *rest, struct claim_parsed_entry *e);
void claim_log_row_begin(struct pf_text *t, pf_ms at);
void claim_log_row_add(struct pf_text *t, const struct claim_key *k,
		       const struct claim_entry *e);

/* claim_keys.c: keys, waiters and what happens to them. */
struct claim_key *claim_key_find(struct pf_claim *c, uint64_t key);
struct claim_key *claim_key_add(struct pf_claim *c, uint64_t key);
void claim_key_drop(struct pf_claim *c, struct claim_key *k);
void claim_waiter_set_wait(struct pf_claim *c, uint32_t waiter,
			   enum claim_wait wait);
/* Answers all asks that wait for @k. */
void claim_reply_all(struct pf_claim *c, struct claim_key *k,
		     enum pf_reason reason, struct pf_str answer,
		     const struct pf_claim_sink *sink);
/* Grants @k to the ask that waited longest; -1 when nobody waits. */
int claim_grant(struct pf_claim *c, struct claim_key *k,
		const struct pf_claim_sink *sink);
void claim_request(struct pf_claim *c, pf_ms now, const struct pf_claim_msg *m,
		   const struct pf_claim_sink *sink);
void claim_cancel(struct pf_claim *c, struct pf_try id);
/* Refuses asks that waited longer than the hold time for the table. */
void claim_refuse_overdue(struct pf_claim *c, pf_ms now,
			  const struct pf_claim_sink *sink);
/* A later incarnation runs: answers all that waits, does nothing more. */
void claim_supersede(struct pf_claim *c, const struct pf_claim_sink *sink);
/* Drops keys that are past their retention. */
void claim_keys_expire(struct pf_claim *c, pf_ms now);

/* claim_log.c: group commit. */
/* Queues an entry. 0, or -1 when there is no memory. */
int claim_queue_entry(struct pf_claim *c, struct claim_key *k,
		      enum claim_entry_type type, struct pf_str answer,
		      pf_ms now);
/* Results that wait too long for the table no longer hold back the caller. */
void claim_settle_overdue_results(struct pf_claim *c, pf_ms now,
				  const struct pf_claim_sink *sink);
/* As above for all results, however long they waited. */
void claim_settle_all_results(struct pf_claim *c,
			      const struct pf_claim_sink *sink);
void claim_flush_if_due(struct pf_claim *c, pf_ms now,
			const struct pf_claim_sink *sink);
void claim_flush_done(struct pf_claim *c, pf_ms now,
		      const struct pf_claim_msg *m,
		      const struct pf_claim_sink *sink);
void claim_entries_clear(struct claim_entry_list *q);

/* claim_own.c: ownership of shards. */
void claim_control(struct pf_claim *c, pf_ms now,
		   const struct pf_claim_sink *sink);
void claim_control_txn_done(struct pf_claim *c, const struct pf_claim_msg *m,
			    const struct pf_claim_sink *sink);
void claim_control_scan_done(struct pf_claim *c, pf_ms now,
			     const struct pf_claim_msg *m,
			     const struct pf_claim_sink *sink);
void claim_shard_lost(struct pf_claim *c, uint32_t shard,
		      const struct pf_claim_sink *sink);
/* The shard's row names us anew: its earlier owners' logs must be read. */
void claim_shard_recover(struct pf_claim *c, uint32_t shard);

/* claim_plan.c: who should own which shard. */
bool claim_agent_can_own(const struct pf_claim *c,
			 const struct claim_agent *agent, pf_ms now);
struct claim_agent *claim_agent_find(const struct pf_claim *c, uint64_t id);
/* Fills `moving`; true when there is something to do. */
bool claim_plan_moves(struct pf_claim *c, pf_ms now);

/* claim_read.c: reading logs of earlier owners. */
/* The index of a log, added when it is new; CLAIM_NONE when full. */
uint32_t claim_log_find(struct pf_claim *c, struct claim_log_id id, bool add);
/* Marks the logs that taken shards need; true when there is one to read. */
bool claim_read_start(struct pf_claim *c);
/* Picks the next wanted log of the pass; false when all are read. */
bool claim_read_next(struct pf_claim *c);
void claim_read_rows(struct pf_claim *c, pf_ms now,
		     const struct pf_claim_msg *m);
/* Makes room for a log: forgets one that nothing refers to. 0 or -1. */
int claim_log_evict(struct pf_claim *c);
/* All wanted logs are read: taken shards are held, waiting asks go on. */
void claim_read_finish(struct pf_claim *c, pf_ms now,
		       const struct pf_claim_sink *sink);

static inline bool claim_is_self(const struct pf_claim *c,
				 struct claim_log_id id)
{
	return id.agent == c->opts.agent &&
	       id.incarnation == c->opts.incarnation;
}

#endif
