/* Types and functions shared by the files of the accept core. */
#ifndef COORDINATION_ACCEPT_INTERNAL_H
#define COORDINATION_ACCEPT_INTERNAL_H

#include "pimentoford/accept.h"

/* A queued or running change; owns its strings. Fields as in pf_change. */
struct accept_job {
	uint64_t request_id;
	char id[PF_LABEL_MAX];
	char who[PF_LABEL_MAX];
	char what[PF_LABEL_MAX + 1]; /* full: too long, to be refused */
	pf_ms wall_time;
	pf_ms deadline;
	bool has_base;
	uint64_t base_revision;
	bool resent;
	uint64_t digest; /* of the requested content */
	struct pf_records puts;
	struct pf_records deletes; /* with empty texts */
};

/* Copies @c. 0, or -1 without memory. */
int accept_job_init(struct accept_job *j, const struct pf_change *c);
void accept_job_free(struct accept_job *j);

/* Adds findings that need no read of the table: names and bounds. */
void accept_job_check(const struct accept_job *j,
		      const struct pf_accept_opts *o, struct pf_findings *f);

/* The result of applying a change to a configuration. */
struct accept_evaluation {
	enum pf_change_outcome outcome; /* ACCEPTED: may be committed */
	struct pf_records puts; /* that differ from the configuration */
	struct pf_records deletes;
	struct pf_findings findings;
};

/*
 * Evaluates @j against the configuration in @mirror. @e is freed with
 * accept_evaluation_free().
 */
void accept_evaluate(const struct accept_job *j, const struct pf_mirror *mirror,
		     uint32_t schema_max, struct accept_evaluation *e);
void accept_evaluation_free(struct accept_evaluation *e);

/* A transaction and the strings that it borrows. */
struct accept_commit {
	struct pf_table_txn txn;
	struct pf_table_check *checks;
	struct pf_table_put *puts;
	char **strings;
	size_t n_strings;
	uint64_t revision; /* of the configuration after the commit */
};

struct accept_head {
	struct pf_head value;
	uint64_t row_revision;
};

/*
 * Builds the transaction of a change that was evaluated as ACCEPTED. 0, or -1
 * when there is no memory. Free with accept_commit_free() in both cases.
 */
int accept_commit_build(struct accept_commit *c, const struct accept_job *j,
			const struct accept_evaluation *e,
			const struct pf_mirror *mirror,
			const struct accept_head *head, const char *region);
void accept_commit_free(struct accept_commit *c);

/*
 * Builds the transaction that closes the id of a change which ends as
 * @outcome: a commit of it that is still in flight can no longer take effect.
 * Returns and is freed like accept_commit_build().
 */
int accept_commit_build_close(struct accept_commit *c,
			      const struct accept_job *j,
			      enum pf_change_outcome outcome);

#endif
