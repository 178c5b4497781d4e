/* The one transaction that accepts a change. */
#include "accept_internal.h"

#include <stdlib.h>
#include <string.h>

/* Rows beside the records: head, audit and change. */
#define FIXED_ROWS 3
/* Each put has a key and a value; each check a key that a put may share. */
#define TEXTS(records) (2 * ((records) + FIXED_ROWS))

/* Keeps @text, which may be NULL, and borrows it back. */
static struct pf_str keep(struct commit *c, char *text)
{
	c->texts[c->n_texts++] = text;
	return pf_str_c(text);
}

static struct pf_str keep_key(struct commit *c, struct pf_str key)
{
	return keep(c, pf_str_dup(key));
}

static void check(struct commit *c, struct pf_str key, uint64_t revision)
{
	c->checks[c->txn.n_checks++] = (struct pf_table_check){ key, revision };
}

static void put(struct commit *c, struct pf_str key, char *value)
{
	c->puts[c->txn.n_puts++] = (struct pf_table_put){ key, keep(c, value) };
}

static struct pf_stamp stamp_of(const struct job *j, uint64_t revision)
{
	struct pf_stamp s = { .revision = revision };

	memcpy(s.change, j->id, sizeof(s.change));
	memcpy(s.who, j->who, sizeof(s.who));
	return s;
}

static void put_records(struct commit *c, const struct pf_records *set,
			const struct pf_mirror *m, const struct pf_stamp *s)
{
	char key[PF_ROW_KEY_MAX];

	for (size_t i = 0; i < set->n; i++) {
		struct pf_record r = set->v[i];
		const struct pf_record *now =
			pf_mirror_find(m, r.kind, pf_str_c(r.name));
		struct pf_str k =
			keep_key(c, pf_row_record_key(key, r.kind, r.name));

		r.stamp = *s;
		check(c, k, now ? now->revision : 0);
		put(c, k, pf_row_record_text(&r));
	}
}

static void audit_items(const struct pf_records *set, const struct pf_mirror *m,
			struct pf_audit *a)
{
	for (size_t i = 0; i < set->n; i++) {
		const struct pf_record *r = &set->v[i];
		const struct pf_record *now =
			pf_records_find(&m->live, r->kind, pf_str_c(r->name));

		a->items[a->n_items++] =
			(struct pf_audit_item){ r->kind, r->name,
						now ? now->text : NULL,
						r->text[0] ? r->text : NULL };
	}
}

static void put_audit(struct commit *c, const struct job *j,
		      const struct verdict *v, const struct pf_mirror *m,
		      const struct pf_stamp *s, const char *region)
{
	struct pf_audit_item *items =
		calloc(v->puts.n + v->deletes.n + 1, sizeof(*items));
	struct pf_audit a = { .stamp = *s, .at = j->wall_time, .items = items };
	char key[PF_ROW_KEY_MAX];
	char *text = NULL;

	memcpy(a.what, j->what, sizeof(a.what));
	strncpy(a.region, region, sizeof(a.region) - 1);
	if (items) {
		audit_items(&v->puts, m, &a);
		audit_items(&v->deletes, m, &a);
		text = pf_row_audit_text(&a);
	}
	put(c, keep_key(c, pf_row_audit_key(key, s->revision)), text);
	/* Its texts are borrowed, so the audit isn't freed as a whole. */
	free(items);
}

static int take_memory(struct commit *c, size_t records)
{
	size_t rows = records + FIXED_ROWS;

	c->checks = calloc(rows, sizeof(*c->checks));
	c->puts = calloc(rows, sizeof(*c->puts));
	c->texts = calloc(TEXTS(records), sizeof(*c->texts));
	return c->checks && c->puts && c->texts ? 0 : -1;
}

/* A change that alters nothing leaves only the row of its id. */
static bool alters(const struct job *j, const struct verdict *v)
{
	return v->puts.n + v->deletes.n > 0 || strcmp(j->what, "apply") != 0;
}

/* Every text is there: the transaction may go out. */
static int seal(struct commit *c)
{
	for (size_t i = 0; i < c->n_texts; i++)
		if (!c->texts[i])
			return -1;
	c->txn.checks = c->checks;
	c->txn.puts = c->puts;
	return 0;
}

int commit_build(struct commit *c, const struct job *j, const struct verdict *v,
		 const struct pf_mirror *m, const struct seen_head *head,
		 const char *region)
{
	bool moves = alters(j, v);
	struct pf_stamp s = stamp_of(j, head->head.revision + moves);
	struct pf_head next = { .revision = s.revision };
	struct pf_change_row row = { .revision = s.revision,
				     .digest = j->digest };
	char key[PF_ROW_KEY_MAX];
	struct pf_str head_key, change_key;

	memset(c, 0, sizeof(*c));
	c->revision = s.revision;
	if (take_memory(c, v->puts.n + v->deletes.n) < 0)
		return -1;
	memcpy(next.change, j->id, sizeof(next.change));
	head_key = keep_key(c, PF_STR(PF_ROW_HEAD));
#ifndef PF_MUTANT_ACCEPT_HEAD
	check(c, head_key, head->row_revision);
#endif
	change_key = keep_key(c, pf_row_change_key(key, j->id));
	check(c, change_key, 0);
	put(c, change_key, pf_row_change_text(&row));
	put_records(c, &v->puts, m, &s);
	put_records(c, &v->deletes, m, &s);
	if (moves) {
		put(c, head_key, pf_row_head_text(&next));
		put_audit(c, j, v, m, &s, region);
	}
	return seal(c);
}

int commit_build_close(struct commit *c, const struct job *j,
		       enum pf_change_outcome outcome)
{
	struct pf_change_row row = { .digest = j->digest };
	char key[PF_ROW_KEY_MAX];
	struct pf_str change_key;

	memset(c, 0, sizeof(*c));
	if (take_memory(c, 0) < 0)
		return -1;
	strncpy(row.closed, pf_change_outcome_code(outcome),
		sizeof(row.closed) - 1);
	change_key = keep_key(c, pf_row_change_key(key, j->id));
	check(c, change_key, 0);
	put(c, change_key, pf_row_change_text(&row));
	return seal(c);
}

void commit_free(struct commit *c)
{
	if (c->texts)
		for (size_t i = 0; i < c->n_texts; i++)
			free(c->texts[i]);
	free(c->texts);
	free(c->checks);
	free(c->puts);
	memset(c, 0, sizeof(*c));
}
