/* Types and functions shared by the files of the draft core. */
#ifndef COORDINATION_DRAFT_INTERNAL_H
#define COORDINATION_DRAFT_INTERNAL_H

#include "pimentoford/draft.h"

/* Bytes of a row key or object name, and of a row value, with the NUL. */
#define DRAFT_KEY_MAX 80
#define DRAFT_VALUE_MAX 160

/* The value of a draft's open or done row. */
struct draft_row {
	uint64_t caller;
	uint64_t idem_key; /* 0: none */
	uint64_t body_digest;
	uint64_t holder; /* open: of the lease, 0: none; done: 0 */
	uint32_t epoch; /* open: of the lease; done: of the answer */
	uint32_t status; /* done: HTTP, or 0: cancelled */
	pf_ms expiry; /* open: of the lease; done: of the retention */
};

/*
 * Formats into @buf, of DRAFT_KEY_MAX bytes, and returns the text: keys of
 * rows ("open" or "done" as @kind) and names of objects.
 */
struct pf_str draft_row_key(char *buf, const char *kind, const char *id);
struct pf_str draft_idem_row_key(char *buf, uint64_t idem_key);
struct pf_str draft_body_name(char *buf, const char *id);
struct pf_str draft_answer_name(char *buf, const char *id, uint32_t epoch);

/* Formats into @buf, of DRAFT_VALUE_MAX bytes, and returns the text. */
struct pf_str draft_row_format(char *buf, const struct draft_row *r);
/* 0, or -1 when @value is malformed. */
int draft_row_parse(struct pf_str value, struct draft_row *r);

/* Formats into @id, of PF_DRAFT_ID_MAX bytes. */
void draft_id_format(char *id, uint32_t shard, pf_ms now, uint64_t random);
/* Time of submission in @id; -1 when its length is wrong. */
pf_ms draft_id_time(const char *id);
bool draft_id_valid(struct pf_str id);

#define DRAFT_TXN_ROWS_MAX 32

/* A transaction with the keys and values that it borrows. */
struct draft_txn {
	struct pf_table_check checks[DRAFT_TXN_ROWS_MAX];
	struct pf_table_put puts[DRAFT_TXN_ROWS_MAX];
	struct pf_str deletes[DRAFT_TXN_ROWS_MAX];
	char keys[DRAFT_TXN_ROWS_MAX][DRAFT_KEY_MAX];
	char values[DRAFT_TXN_ROWS_MAX][DRAFT_VALUE_MAX];
	uint32_t n_keys, n_values;
	struct pf_table_txn txn;
};

/* Empties the transaction. The functions below copy keys and values. */
void draft_txn_init(struct draft_txn *t);
void draft_txn_check(struct draft_txn *t, struct pf_str key, uint64_t revision);
void draft_txn_put(struct draft_txn *t, struct pf_str key, struct pf_str value);
void draft_txn_delete(struct draft_txn *t, struct pf_str key);

enum job_kind {
	JOB_NONE,
	JOB_SUBMIT,
	JOB_FETCH,
	JOB_CANCEL,
	JOB_RUN,
	JOB_EXPIRE
};

enum job_stage {
	STAGE_BACKOFF, /* until `wake_at`, then `resume_stage` */
	STAGE_PUT_BODY,
	STAGE_ACCEPT, /* writes the open row and the key row */
	STAGE_GET_KEY_ROW, /* looks up the draft of the idempotency key */
	STAGE_GET_OPEN_ROW,
	STAGE_GET_DONE_ROW,
	STAGE_GET_ANSWER,
	STAGE_CANCEL, /* moves the row from open to done */
	STAGE_CLAIM, /* takes the lease */
	STAGE_GET_BODY,
	STAGE_RUNNING,
	STAGE_PUT_ANSWER,
	STAGE_WAIT_LEASE, /* until the lease request in flight ends */
	STAGE_FINISH, /* moves the row from open to done */
	STAGE_DELETE_OBJECTS,
	STAGE_DELETE_ROWS,
};

enum lease_state {
	LEASE_NONE,
	LEASE_HELD,
	LEASE_RENEWING, /* the renewal is in flight */
	LEASE_CHECKING, /* a renewal is in doubt: reads the row */
};

/*
 * A caller's request or a background job. It has at most one act in flight,
 * and another one for its lease.
 */
struct job {
	enum job_kind kind;
	enum job_stage stage;
	enum job_stage resume_stage; /* BACKOFF: the next stage */
	uint64_t seq; /* act in flight; 0: none */
	pf_ms wake_at; /* timeout of the act, or end of the backoff */
	pf_ms deadline; /* PF_NEVER for background jobs */
	uint64_t ticket;
	uint64_t caller;
	char id[PF_DRAFT_ID_MAX];
	struct draft_row row;
	uint64_t revision; /* of the open or done row */
	bool in_doubt; /* a transaction may have taken effect */
	char *payload; /* request body, then the answer; owned */
	size_t payload_len;
	uint32_t status; /* HTTP, of the answer */
	uint32_t next_object; /* to delete; 0: body, N: answer of epoch N */
	enum lease_state lease;
	uint64_t lease_seq; /* act in flight for the lease */
	pf_ms lease_wake_at; /* timeout of that act, or the next renewal */
};

/* An open draft, from the last scan of its shard or accepted here since. */
struct open_draft {
	uint64_t caller;
	char id[PF_DRAFT_ID_MAX];
};

struct pf_draft {
	struct pf_draft_opts opts;
	struct pf_rng rng;
	struct job *jobs;
	struct open_draft *open_drafts;
	uint32_t n_open;
	uint64_t last_seq; /* of an act */
	uint64_t scan_seq; /* scan in flight; 0: none */
	pf_ms scan_wake_at; /* its timeout, or the next scan */
	uint32_t scan_shard;
	uint32_t shards_scanned; /* in this round */
	bool scanning_done; /* done rows of the shard, else open */
	char scan_after[DRAFT_KEY_MAX]; /* last key read; "": at the start */
	struct draft_txn txn; /* scratch for the next TXN */
	struct pf_draft_stats stats;
};

/* Arguments of one pf_draft_step() call. */
struct step {
	struct pf_draft *d;
	pf_ms now;
	const struct pf_draft_sink *sink;
};

/* draft.c */

void draft_emit(const struct step *s, struct pf_draft_act *act);
/* Emits @act for @j, which waits in @stage for the result. */
void draft_send(const struct step *s, struct job *j, enum job_stage stage,
		struct pf_draft_act *act);
/* Reads the draft's row of @kind, "open" or "done". */
void draft_send_get(const struct step *s, struct job *j, enum job_stage stage,
		    const char *kind);
/* Sends the transaction built in pf_draft::txn. */
void draft_send_txn(const struct step *s, struct job *j, enum job_stage stage);
/* Sends an OBJECT_* act; OBJECT_PUT writes the payload. */
void draft_send_object(const struct step *s, struct job *j,
		       enum job_stage stage, enum pf_draft_act_type type,
		       struct pf_str name);
/* Continues with @resume_stage after a jittered backoff. */
void draft_back_off(const struct step *s, struct job *j,
		    enum job_stage resume_stage);
/* NULL when `jobs_max` jobs exist. Freed with draft_job_free(). */
struct job *draft_job_new(struct pf_draft *d, enum job_kind kind);
void draft_job_free(struct job *j);
/* Copies @payload. 0, or -1 when there is no memory. */
int draft_set_payload(struct job *j, struct pf_str payload);

/* draft_caller.c: submit, fetch and cancel */

void caller_submit(const struct step *s, const struct pf_draft_msg *m);
/* Starts a JOB_FETCH or JOB_CANCEL. */
void caller_fetch(const struct step *s, const struct pf_draft_msg *m,
		  enum job_kind kind);
void caller_resume(const struct step *s, struct job *j);
void caller_txn_done(const struct step *s, struct job *j,
		     enum pf_table_status status);
void caller_rows_done(const struct step *s, struct job *j,
		      const struct pf_draft_msg *m);
void caller_object_done(const struct step *s, struct job *j,
			const struct pf_draft_msg *m);
/* Replies UNAVAILABLE, or UNKNOWN if a transaction is in doubt. Frees @j. */
void caller_fail(const struct step *s, struct job *j);

/* draft_run.c: leases, runs and deletion after the retention */

/* Leases and runs an open draft, unless `runs_max` is reached. */
void run_claim(const struct step *s, const char *id, const struct draft_row *r,
	       uint64_t revision);
/* Deletes an expired draft, unless `runs_max` is reached. */
void run_expire(const struct step *s, const char *id, const struct draft_row *r,
		uint64_t revision);
void run_resume(const struct step *s, struct job *j);
void run_txn_done(const struct step *s, struct job *j,
		  const struct pf_draft_msg *m);
void run_object_done(const struct step *s, struct job *j,
		     const struct pf_draft_msg *m);
void run_done(const struct step *s, struct job *j,
	      const struct pf_draft_msg *m);
/* Results of lease renewals and checks. */
void run_lease_txn_done(const struct step *s, struct job *j,
			const struct pf_draft_msg *m);
void run_lease_rows_done(const struct step *s, struct job *j,
			 const struct pf_draft_msg *m);
/* Reads the open row to learn whether the lease is still held. */
void run_check_lease(const struct step *s, struct job *j);
void run_renew_leases(const struct step *s);

#endif
