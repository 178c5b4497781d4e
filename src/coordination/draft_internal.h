/* Parts of the draft core that its files share. */
#ifndef COORDINATION_DRAFT_INTERNAL_H
#define COORDINATION_DRAFT_INTERNAL_H

#include "pimentoford/draft.h"

#define DRAFT_KEY_MAX 80
#define DRAFT_VALUE_MAX 160

/* A draft's row, open or done. */
struct draft_row {
	uint64_t caller;
	uint64_t idem_key; /* 0: none */
	uint64_t body_digest; /* of the body */
	uint64_t holder; /* open: 0: nobody */
	uint32_t epoch; /* of the lease; done: of the answer */
	uint32_t status; /* done: HTTP, 0: cancelled */
	pf_ms expiry; /* of the lease; done: of the answer */
};

/* Texts; the buffers hold DRAFT_KEY_MAX and DRAFT_VALUE_MAX bytes. */
struct pf_str draft_row_key(char *buf, const char *kind, const char *id);
struct pf_str draft_idem_row_key(char *buf, uint64_t idem_key);
struct pf_str draft_body_name(char *buf, const char *id);
struct pf_str draft_answer_name(char *buf, const char *id, uint32_t epoch);
struct pf_str draft_row_format(char *buf, const struct draft_row *r);
int draft_row_parse(struct pf_str value, struct draft_row *r);
void draft_id_format(char *id, uint32_t shard, pf_ms now, uint64_t random);
/* When the draft came, from its id; -1 when it is none. */
pf_ms draft_id_time(const char *id);
bool draft_id_valid(struct pf_str id);

/* A transaction over a few rows, with its texts. */
#define DRAFT_TXN_ROWS_MAX 32
struct draft_txn {
	struct pf_table_check checks[DRAFT_TXN_ROWS_MAX];
	struct pf_table_put puts[DRAFT_TXN_ROWS_MAX];
	struct pf_str deletes[DRAFT_TXN_ROWS_MAX];
	char keys[DRAFT_TXN_ROWS_MAX][DRAFT_KEY_MAX];
	char values[DRAFT_TXN_ROWS_MAX][DRAFT_VALUE_MAX];
	uint32_t n_keys, n_values;
	struct pf_table_txn txn;
};

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
	STAGE_BACKOFF, /* until `due`, then `next` */
	STAGE_PUT_BODY, /* writes the body */
	STAGE_ACCEPT, /* the transaction that accepts */
	STAGE_GET_KEY_ROW, /* reads what the key stands for */
	STAGE_GET_OPEN_ROW, /* reads the open row */
	STAGE_GET_DONE_ROW, /* reads the done row */
	STAGE_GET_ANSWER, /* reads the answer */
	STAGE_CANCEL, /* the transaction that cancels */
	STAGE_CLAIM, /* the transaction that takes the lease */
	STAGE_GET_BODY,
	STAGE_RUNNING,
	STAGE_PUT_ANSWER,
	STAGE_WAIT_LEASE, /* for the lease's own request */
	STAGE_FINISH, /* the transaction that finishes */
	STAGE_DELETE_OBJECTS, /* deletes objects */
	STAGE_DELETE_ROWS, /* the transaction that deletes the rows */
};

enum lease_state { LEASE_NONE, LEASE_HELD, LEASE_RENEWING, LEASE_CHECKING };

struct job {
	enum job_kind kind;
	enum job_stage stage;
	enum job_stage resume_stage; /* after a pause */
	uint64_t seq; /* of the act that is waited for; 0: none */
	pf_ms wake_at; /* of its answer or of the pause */
	pf_ms deadline; /* PF_NEVER for background work */
	uint64_t ticket;
	uint64_t caller;
	char id[PF_DRAFT_ID_MAX];
	struct draft_row row;
	uint64_t revision; /* of the open or done row */
	bool in_doubt; /* a transaction that may have taken effect */
	char *payload; /* or the answer */
	size_t payload_len;
	uint32_t status; /* of the answer */
	uint32_t next_object; /* next one to delete */
	enum lease_state lease;
	uint64_t lease_seq;
	pf_ms lease_wake_at; /* of the request, or of the next renewal */
};

/* An open draft, as the last scan of its shard saw it. */
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
	uint64_t scan_seq; /* 0: no scan waits for its answer */
	pf_ms scan_wake_at;
	uint32_t scan_shard; /* at hand */
	uint32_t shards_scanned; /* of this round */
	bool scanning_done; /* of the shard: done rows are next */
	char scan_after[DRAFT_KEY_MAX];
	struct draft_txn txn; /* being built */
	struct pf_draft_stats stats;
};

/* One step: the time, and where acts go. */
struct step {
	struct pf_draft *d;
	pf_ms now;
	const struct pf_draft_sink *sink;
};

/* draft.c */
void draft_emit(const struct step *s, struct pf_draft_act *act);
void draft_send(const struct step *s, struct job *j, enum job_stage stage,
		struct pf_draft_act *act);
void draft_send_get(const struct step *s, struct job *j, enum job_stage stage,
		    const char *kind);
void draft_send_txn(const struct step *s, struct job *j, enum job_stage stage);
void draft_send_object(const struct step *s, struct job *j,
		       enum job_stage stage, enum pf_draft_act_type type,
		       struct pf_str name);
void draft_back_off(const struct step *s, struct job *j,
		    enum job_stage resume_stage);
struct job *draft_job_new(struct pf_draft *d, enum job_kind kind);
void draft_job_free(struct job *j);
int draft_set_payload(struct job *j, struct pf_str payload);

/* draft_caller.c: what callers ask */
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
void caller_fail(const struct step *s, struct job *j);

/* draft_run.c: leases, runs, expiry */
void run_claim(const struct step *s, const char *id, const struct draft_row *r,
	       uint64_t revision);
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
