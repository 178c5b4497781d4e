/* Accept core: builds the transaction of a change. */
#include "accept_internal.h"

#include <stdlib.h>
#include <string.h>

/* Head, audit and change row. */
#define FIXED_ROWS 3
/* Each row has a key, and a value if it is put. */
#define STRINGS_MAX(records) (2 * ((records) + FIXED_ROWS))

/*
 * Takes ownership of @text and returns it as a borrowed string. finish_txn()
 * reports a NULL.
 */
static struct pf_str own_string(struct accept_commit *c, char *text)
{
	c->strings[c->n_strings++] = text;
	return pf_str_c(text);
}

static struct pf_str own_key(struct accept_commit *c, struct pf_str key)
{
	return own_string(c, pf_str_dup(key));
}

static void add_check(struct accept_commit *c, struct pf_str key,
		      uint64_t revision)
{
	c->checks[c->txn.n_checks++] = (struct pf_table_check){ key, revision };
}

static void add_put(struct accept_commit *c, struct pf_str key, char *value)
{
	c->puts[c->txn.n_puts++] =
		(struct pf_table_put){ key, own_string(c, value) };
}

static struct pf_stamp make_stamp(const struct accept_job *j, uint64_t revision)
{
	struct pf_stamp s = { .revision = revision };

	memcpy(s.change, j->id, sizeof(s.change));
	memcpy(s.who, j->who, sizeof(s.who));
	return s;
}

static void add_records(struct accept_commit *c, const struct pf_records *set,
			const struct pf_mirror *m, const struct pf_stamp *s)
{
	char key[PF_ROW_KEY_MAX];

	for (size_t i = 0; i < set->n; i++) {
		struct pf_record r = set->v[i];
		const struct pf_record *current =
			pf_mirror_find(m, r.kind, pf_str_c(r.name));
		struct pf_str k =
			own_key(c, pf_row_record_key(key, r.kind, r.name));

		r.stamp = *s;
		add_check(c, k, current ? current->revision : 0);
		add_put(c, k, pf_row_record_text(&r));
	}
}

static void fill_audit_items(const struct pf_records *set,
			     const struct pf_mirror *m, struct pf_audit *a)
{
	for (size_t i = 0; i < set->n; i++) {
		const struct pf_record *r = &set->v[i];
		const struct pf_record *current =
			pf_records_find(&m->live, r->kind, pf_str_c(r->name));

		a->items[a->n_items++] =
			(struct pf_audit_item){ r->kind, r->name,
						current ? current->text : NULL,
						r->text[0] ? r->text : NULL };
	}
}

static void add_audit(struct accept_commit *c, const struct accept_job *j,
		      const struct accept_evaluation *e,
		      const struct pf_mirror *m, const struct pf_stamp *s,
		      const char *region)
{
	struct pf_audit_item *items =
		calloc(e->puts.n + e->deletes.n + 1, sizeof(*items));
	struct pf_audit a = { .stamp = *s,
			      .wall_time = j->wall_time,
			      .items = items };
	char key[PF_ROW_KEY_MAX];
	char *text = NULL;

	memcpy(a.what, j->what, strlen(j->what));
	strncpy(a.region, region, sizeof(a.region) - 1);
	if (items) {
		fill_audit_items(&e->puts, m, &a);
		fill_audit_items(&e->deletes, m, &a);
		text = pf_row_audit_text(&a);
	}
	add_put(c, own_key(c, pf_row_audit_key(key, s->revision)), text);
	/* The strings in the items are borrowed. */
	free(items);
}

static int alloc_arrays(struct accept_commit *c, size_t records)
{
	size_t rows = records + FIXED_ROWS;

	c->checks = calloc(rows, sizeof(*c->checks));
	c->puts = calloc(rows, sizeof(*c->puts));
	c->strings = calloc(STRINGS_MAX(records), sizeof(*c->strings));
	return c->checks && c->puts && c->strings ? 0 : -1;
}

/*
 * Whether the commit makes a new revision. An "apply" without differences only
 * writes the change's row.
 */
static bool makes_revision(const struct accept_job *j,
			   const struct accept_evaluation *e)
{
	return e->puts.n + e->deletes.n > 0 || strcmp(j->what, "apply") != 0;
}

/* Sets the transaction's arrays. -1 when a string could not be allocated. */
static int finish_txn(struct accept_commit *c)
{
	for (size_t i = 0; i < c->n_strings; i++)
		if (!c->strings[i])
			return -1;
	c->txn.checks = c->checks;
	c->txn.puts = c->puts;
	return 0;
}

int accept_commit_build(struct accept_commit *c, const struct accept_job *j,
			const struct accept_evaluation *e,
			const struct pf_mirror *m,
			const struct accept_head *head, const char *region)
{
	bool new_revision = makes_revision(j, e);
	struct pf_stamp s = make_stamp(j, head->value.revision + new_revision);
	struct pf_head next = { .revision = s.revision };
	struct pf_change_row row = { .revision = s.revision,
				     .digest = j->digest };
	char key[PF_ROW_KEY_MAX];
	struct pf_str head_key, change_key;

	memset(c, 0, sizeof(*c));
	c->revision = s.revision;
	if (alloc_arrays(c, e->puts.n + e->deletes.n) < 0)
		return -1;
	memcpy(next.change, j->id, sizeof(next.change));
	head_key = own_key(c, PF_STR(PF_ROW_HEAD));
#ifndef PF_MUTANT_ACCEPT_HEAD
	add_check(c, head_key, head->row_revision);
#endif
	change_key = own_key(c, pf_row_change_key(key, j->id));
	add_check(c, change_key, 0);
	add_put(c, change_key, pf_row_change_text(&row));
	add_records(c, &e->puts, m, &s);
	add_records(c, &e->deletes, m, &s);
	if (new_revision) {
		add_put(c, head_key, pf_row_head_text(&next));
		add_audit(c, j, e, m, &s, region);
	}
	return finish_txn(c);
}

int accept_commit_build_close(struct accept_commit *c,
			      const struct accept_job *j,
			      enum pf_change_outcome outcome)
{
	struct pf_change_row row = { .digest = j->digest };
	char key[PF_ROW_KEY_MAX];
	struct pf_str change_key;

	memset(c, 0, sizeof(*c));
	if (alloc_arrays(c, 0) < 0)
		return -1;
	strncpy(row.closed, pf_change_outcome_code(outcome),
		sizeof(row.closed) - 1);
	change_key = own_key(c, pf_row_change_key(key, j->id));
	add_check(c, change_key, 0);
	add_put(c, change_key, pf_row_change_text(&row));
	return finish_txn(c);
}

void accept_commit_free(struct accept_commit *c)
{
	if (c->strings)
		for (size_t i = 0; i < c->n_strings; i++)
			free(c->strings[i]);
	free(c->strings);
	free(c->checks);
	free(c->puts);
	memset(c, 0, sizeof(*c));
}
