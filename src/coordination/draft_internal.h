/* Shared by the files of the draft core. */
#ifndef COORDINATION_DRAFT_INTERNAL_H
#define COORDINATION_DRAFT_INTERNAL_H

#include "pimentoford/draft.h"

/* Sizes in bytes, with the NUL. */
#define DRAFT_KEY_MAX 80
#define DRAFT_VALUE_MAX 160

struct draft_row {
	uint64_t caller;
	uint64_t idem_key; /* 0: none */
	uint64_t body_digest;
	uint64_t holder; /* open: of the lease, 0: none; done: 0 */
	uint32_t epoch; /* open: of the lease; done: of the answer */
	uint32_t status; /* done: HTTP, or 0: cancelled */
	pf_ms expiry; /* open: of the lease; done: of the retention */
};

/* @buf has DRAFT_KEY_MAX bytes; @kind is "open" or "done". */
struct pf_str draft_row_key(char *buf, const char *kind, const char *id);
struct pf_str draft_idem_row_key(char *buf, uint64_t idem_key);
struct pf_str draft_body_name(char *buf, const char *id);
struct pf_str draft_answer_name(char *buf, const char *id, uint32_t epoch);

/* @buf has DRAFT_VALUE_MAX bytes. */
struct pf_str draft_row_format(char *buf, const struct draft_row *r);
/* -1 when @value is malformed. */
int draft_row_parse(struct pf_str value, struct draft_row *r);

/* @id has PF_DRAFT_ID_MAX bytes. */
void draft_id_format(char *id, uint32_t shard, pf_ms now, uint64_t random);
/* -1 when the length of @id is wrong. */
pf_ms draft_id_time(const char *id);
bool draft_id_valid(struct pf_str id);

#define DRAFT_TXN_ROWS_MAX 32

/* A transaction with its keys and values. */
struct draft_txn {
	struct pf_table_check checks[DRAFT_TXN_ROWS_MAX];
	struct pf_table_put puts[DRAFT_TXN_ROWS_MAX];
	struct pf_str deletes[DRAFT_TXN_ROWS_MAX];
	char keys[DRAFT_TXN_ROWS_MAX][DRAFT_KEY_MAX];
	char values[DRAFT_TXN_ROWS_MAX][DRAFT_VALUE_MAX];
	uint32_t n_keys, n_values;
	struct pf_table_txn txn;
};

/* Keys and values are copied. */
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
	STAGE_ACCEPT,
	STAGE_GET_KEY_ROW,
	STAGE_GET_OPEN_ROW,
	STAGE_GET_DONE_ROW,
	STAGE_GET_ANSWER,
	STAGE_CANCEL,
	STAGE_CLAIM,
	STAGE_GET_BODY,
	STAGE_RUNNING,
	STAGE_PUT_ANSWER,
	STAGE_WAIT_LEASE,
	STAGE_FINISH,
	STAGE_DELETE_OBJECTS,
	STAGE_DELETE_ROWS,
};

enum lease_state {
	LEASE_NONE,
	LEASE_HELD,
	LEASE_RENEWING,
	LEASE_CHECKING, /* a renewal is in doubt: reads the row */
};

/* A job has one act in flight, plus one for its lease. */
struct job {
	enum job_kind kind;
	enum job_stage stage;
	enum job_stage resume_stage; /* after BACKOFF */
	uint64_t seq; /* act in flight; 0: none */
	pf_ms wake_at; /* timeout of the act, or end of the backoff */
	pf_ms deadline; /* PF_NEVER: background job */
	uint64_t ticket;
	uint64_t caller;
	char id[PF_DRAFT_ID_MAX];
	struct draft_row row;
	uint64_t revision; /* of the open or done row */
	bool in_doubt; /* a write may have taken effect */
	char *payload; /* body, then answer; owned */
	size_t payload_len;
	uint32_t status; /* HTTP */
	uint32_t next_object; /* 0: body, N: answer of epoch N */
	enum lease_state lease;
	uint64_t lease_seq; /* 0: none */
	pf_ms lease_wake_at; /* timeout or next renewal */
};

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
	uint64_t last_seq;
	uint64_t scan_seq; /* 0: none */
	pf_ms scan_wake_at; /* timeout or next scan */
	uint32_t scan_shard;
	uint32_t shards_scanned;
	bool scanning_done; /* done rows, else open */
	char scan_after[DRAFT_KEY_MAX]; /* last key read; "": at the start */
	struct draft_txn txn;
	struct pf_draft_stats stats;
};

struct step {
	struct pf_draft *d;
	pf_ms now;
	const struct pf_draft_sink *sink;
};

/* draft.c */

void draft_emit(const struct step *s, struct pf_draft_act *act);
/* @j waits in @stage for the result. */
void draft_send(const struct step *s, struct job *j, enum job_stage stage,
		struct pf_draft_act *act);
void draft_send_get(const struct step *s, struct job *j, enum job_stage stage,
		    const char *kind);
/* Sends the transaction in pf_draft::txn. */
void draft_send_txn(const struct step *s, struct job *j, enum job_stage stage);
void draft_send_object(const struct step *s, struct job *j,
		       enum job_stage stage, enum pf_draft_act_type type,
		       struct pf_str name);
/* The backoff is jittered. */
void draft_back_off(const struct step *s, struct job *j,
		    enum job_stage resume_stage);
/* NULL when `jobs_max` jobs exist. */
struct job *draft_job_new(struct pf_draft *d, enum job_kind kind);
void draft_job_free(struct job *j);
/* Copies @payload. -1 when there is no memory. */
int draft_set_payload(struct job *j, struct pf_str payload);

/* draft_caller.c: submit, fetch and cancel */

void caller_submit(const struct step *s, const struct pf_draft_msg *m);
void caller_fetch(const struct step *s, const struct pf_draft_msg *m,
		  enum job_kind kind);
void caller_resume(const struct step *s, struct job *j);
void caller_txn_done(const struct step *s, struct job *j,
		     enum pf_table_status status);
void caller_rows_done(const struct step *s, struct job *j,
		      const struct pf_draft_msg *m);
void caller_object_done(const struct step *s, struct job *j,
			const struct pf_draft_msg *m);
/* Replies UNAVAILABLE, or UNKNOWN if in doubt. Frees @j. */
void caller_fail(const struct step *s, struct job *j);

/* draft_run.c: leases, runs and deletion after the retention */

/* Does nothing once `runs_max` is reached. */
void run_claim(const struct step *s, const char *id, const struct draft_row *r,
	       uint64_t revision);
/* Does nothing once `runs_max` is reached. */
void run_expire(const struct step *s, const char *id, const struct draft_row *r,
		uint64_t revision);
void run_resume(const struct step *s, struct job *j);
void run_txn_done(const struct step *s, struct job *j,
		  const struct pf_draft_msg *m);
void run_object_done(const struct step *s, struct job *j,
		     const struct pf_draft_msg *m);
void run_done(const struct step *s, struct job *j,
	      const struct pf_draft_msg *m);
void run_lease_txn_done(const struct step *s, struct job *j,
			const struct pf_draft_msg *m);
void run_lease_rows_done(const struct step *s, struct job *j,
			 const struct pf_draft_msg *m);
void run_check_lease(const struct step *s, struct job *j);
void run_renew_leases(const struct step *s);

#endif
