/* Parts of the accept core that its files share. */
#ifndef COORDINATION_ACCEPT_INTERNAL_H
#define COORDINATION_ACCEPT_INTERNAL_H

#include "pimentoford/accept.h"

/* One change that waits or runs; owns all its texts. */
struct job {
	uint64_t request_id;
	char id[PF_LABEL_MAX];
	char who[PF_LABEL_MAX];
	char what[PF_LABEL_MAX];
	pf_ms wall_time;
	pf_ms deadline;
	bool has_base;
	uint64_t base_revision;
	bool resent;
	uint64_t digest; /* of what is asked for */
	struct pf_records puts;
	struct pf_records deletes; /* texts are empty */
};

/* Copies @c; 0, or -1 when there is no memory. */
int job_init(struct job *j, const struct pf_change *c);
void job_free(struct job *j);

/* Findings of the request itself, before anything is read. */
void job_check(const struct job *j, const struct pf_accept_opts *o,
	       struct pf_findings *f);

/* What a change would do to the configuration that @mirror holds. */
struct verdict {
	enum pf_change_outcome outcome; /* ACCEPTED: may be committed */
	struct pf_records puts; /* those that differ from what is in force */
	struct pf_records deletes;
	struct pf_findings findings;
};

/* Fills @v, to be freed with verdict_free(). */
void job_judge(const struct job *j, const struct pf_mirror *mirror,
	       uint32_t schema_max, struct verdict *v);
void verdict_free(struct verdict *v);

/* A transaction with the texts that it borrows. */
struct commit {
	struct pf_table_txn txn;
	struct pf_table_check *checks;
	struct pf_table_put *puts;
	char **texts;
	size_t n_texts;
	uint64_t revision; /* of the configuration in which it is in force */
};

/* The head as it was read. */
struct seen_head {
	struct pf_head head;
	uint64_t row_revision;
};

/*
 * Builds the transaction of a change that was judged ACCEPTED. 0, or -1 when
 * there is no memory. Free with commit_free() either way.
 */
int commit_build(struct commit *c, const struct job *j, const struct verdict *v,
		 const struct pf_mirror *mirror, const struct seen_head *head,
		 const char *region);
void commit_free(struct commit *c);

/*
 * Builds the transaction that closes the id of a change which was refused as
 * @outcome: no try of it that is still on its way can take effect afterwards.
 * Returns and is freed like commit_build().
 */
int commit_build_close(struct commit *c, const struct job *j,
		       enum pf_change_outcome outcome);

#endif
