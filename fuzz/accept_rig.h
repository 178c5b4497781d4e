/*
 * In-memory table for accept cores in tests and fuzzing. The driver queues their
 * requests and decides when and how each ends.
 */
#ifndef FUZZ_ACCEPT_RIG_H
#define FUZZ_ACCEPT_RIG_H

#include "pimentoford/accept.h"

#include <stdlib.h>
#include <string.h>

#define RIG_ROWS_MAX 512
#define RIG_OPS_MAX 64

struct rig_row {
	char key[PF_ROW_KEY_MAX];
	char *value;
	uint64_t revision;
};

/** Rows in key order. */
struct rig_table {
	struct rig_row rows[RIG_ROWS_MAX];
	size_t n_rows;
	uint64_t revision; /* of the last commit */
};

/** A request of a core; owns the values in `puts`. */
struct rig_op {
	int core;
	enum pf_accept_act_type type;
	uint64_t seq;
	char key[PF_ROW_KEY_MAX]; /* SCAN: prefix */
	char after[PF_ROW_KEY_MAX];
	uint32_t limit;
	struct rig_row checks[16];
	size_t n_checks;
	struct rig_row puts[16];
	size_t n_puts;
	uint64_t base_revision; /* of the change, for the fuzz oracle */
};

/** The index of @key, or where to insert it. */
static inline size_t rig_row_index(const struct rig_table *t, const char *key,
				   bool *found)
{
	size_t i = 0;

	while (i < t->n_rows && strcmp(t->rows[i].key, key) < 0)
		i++;
	*found = i < t->n_rows && strcmp(t->rows[i].key, key) == 0;
	return i;
}

static inline const struct rig_row *rig_row_find(const struct rig_table *t,
						 const char *key)
{
	bool found;
	size_t i = rig_row_index(t, key, &found);

	return found ? &t->rows[i] : NULL;
}

static inline void rig_row_put(struct rig_table *t, const struct rig_row *p)
{
	bool found;
	size_t i = rig_row_index(t, p->key, &found);

	if (!found) {
		PF_INVARIANT("the rig's table is not full",
			     t->n_rows < RIG_ROWS_MAX);
		memmove(&t->rows[i + 1], &t->rows[i],
			(t->n_rows - i) * sizeof(t->rows[0]));
		t->n_rows++;
		strcpy(t->rows[i].key, p->key);
	} else {
		free(t->rows[i].value);
	}
	t->rows[i].value = strdup(p->value);
	t->rows[i].revision = t->revision;
}

static inline bool rig_checks_hold(const struct rig_table *t,
				   const struct rig_op *op)
{
	for (size_t i = 0; i < op->n_checks; i++) {
		const struct rig_row *r = rig_row_find(t, op->checks[i].key);

		if ((r ? r->revision : 0) != op->checks[i].revision)
			return false;
	}
	return true;
}

static inline enum pf_table_status rig_commit(struct rig_table *t,
					      const struct rig_op *op)
{
	if (!rig_checks_hold(t, op))
		return PF_TABLE_CONFLICT;
	t->revision++;
	for (size_t i = 0; i < op->n_puts; i++)
		rig_row_put(t, &op->puts[i]);
	return PF_TABLE_OK;
}

static inline void rig_copy_key(char *to, struct pf_str s)
{
	size_t n = s.n < PF_ROW_KEY_MAX ? s.n : PF_ROW_KEY_MAX - 1;

	if (n)
		memcpy(to, s.p, n);
	to[n] = '\0';
}

static inline void rig_op_init(struct rig_op *op,
			       const struct pf_accept_act *act)
{
	memset(op, 0, sizeof(*op));
	op->type = act->type;
	op->seq = act->seq;
	if (act->type == PF_ACCEPT_GET) {
		rig_copy_key(op->key, act->u.key);
	} else if (act->type == PF_ACCEPT_SCAN) {
		rig_copy_key(op->key, act->u.scan.prefix);
		rig_copy_key(op->after, act->u.scan.after);
		op->limit = act->u.scan.limit;
	}
	if (act->type != PF_ACCEPT_COMMIT)
		return;
	for (; op->n_checks < act->u.txn.n_checks; op->n_checks++) {
		rig_copy_key(op->checks[op->n_checks].key,
			     act->u.txn.checks[op->n_checks].key);
		op->checks[op->n_checks].revision =
			act->u.txn.checks[op->n_checks].revision;
	}
	for (; op->n_puts < act->u.txn.n_puts; op->n_puts++) {
		rig_copy_key(op->puts[op->n_puts].key,
			     act->u.txn.puts[op->n_puts].key);
		op->puts[op->n_puts].value =
			pf_str_dup(act->u.txn.puts[op->n_puts].value);
	}
}

static inline void rig_op_free(struct rig_op *op)
{
	for (size_t i = 0; i < op->n_puts; i++)
		free(op->puts[i].value);
	memset(op, 0, sizeof(*op));
}

/** Borrows the strings of @r. */
static inline struct pf_table_row rig_row_view(const struct rig_row *r)
{
	struct pf_table_row row = { pf_str_c(r->key), pf_str_c(r->value),
				    r->revision };

	return row;
}

/** Replies to a get or scan with @status and the matching rows. */
static inline void rig_answer_read(const struct rig_table *t,
				   const struct rig_op *op,
				   enum pf_table_status status,
				   struct pf_accept *core, pf_ms now,
				   const struct pf_accept_sink *sink)
{
	static struct pf_table_row rows[RIG_ROWS_MAX];
	struct pf_accept_msg m;
	const struct rig_row *r;

	memset(&m, 0, sizeof(m));
	m.seq = op->seq;
	if (op->type == PF_ACCEPT_GET) {
		m.type = PF_ACCEPT_GET_DONE;
		m.u.get.status = status;
		r = rig_row_find(t, op->key);
		if (r)
			m.u.get.row = rig_row_view(r);
	} else {
		m.type = PF_ACCEPT_SCAN_DONE;
		m.u.scan.status = status;
		m.u.scan.rows = rows;
		for (size_t i = 0; i < t->n_rows && m.u.scan.n_rows < op->limit;
		     i++)
			if (strncmp(t->rows[i].key, op->key, strlen(op->key)) ==
				    0 &&
			    strcmp(t->rows[i].key, op->after) > 0)
				rows[m.u.scan.n_rows++] =
					rig_row_view(&t->rows[i]);
	}
	pf_accept_step(core, now, &m, sink);
}

static inline void rig_answer_commit(const struct rig_op *op,
				     enum pf_table_status status,
				     struct pf_accept *core, pf_ms now,
				     const struct pf_accept_sink *sink)
{
	struct pf_accept_msg m;

	memset(&m, 0, sizeof(m));
	m.type = PF_ACCEPT_COMMIT_DONE;
	m.seq = op->seq;
	m.u.commit.status = status;
	pf_accept_step(core, now, &m, sink);
}

static inline void rig_table_free(struct rig_table *t)
{
	for (size_t i = 0; i < t->n_rows; i++)
		free(t->rows[i].value);
	t->n_rows = 0;
}

#endif
