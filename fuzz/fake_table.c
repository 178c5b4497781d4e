/* An in-memory transactional table: a GLib tree from key to row. */
#include "fuzz/fake_table.h"

#include <glib.h>
#include <string.h>

struct row {
	GString *key;
	GString *value;
	uint64_t revision;
};

struct fake_table {
	GTree *rows;
	uint64_t commits;
	uint64_t puts;
};

static int key_compare(const void *a, const void *b, void *ctx)
{
	const GString *x = a, *y = b;
	int d = memcmp(x->str, y->str, MIN(x->len, y->len));

	(void)ctx;
	if (d)
		return d;
	return x->len < y->len ? -1 : x->len > y->len;
}

static void row_free(void *p)
{
	struct row *r = p;

	g_string_free(r->key, TRUE);
	g_string_free(r->value, TRUE);
	g_free(r);
}

struct fake_table *fake_table_new(void)
{
	struct fake_table *t = g_new0(struct fake_table, 1);

	t->rows = g_tree_new_full(key_compare, NULL, NULL, row_free);
	return t;
}

void fake_table_free(struct fake_table *t)
{
	g_tree_destroy(t->rows);
	g_free(t);
}

static gboolean copy_row(gpointer key, gpointer value, gpointer ctx)
{
	const struct row *from = value;
	struct row *to = g_new0(struct row, 1);

	(void)key;
	to->key = g_string_new_len(from->key->str, (gssize)from->key->len);
	to->value =
		g_string_new_len(from->value->str, (gssize)from->value->len);
	to->revision = from->revision;
	g_tree_replace(ctx, to->key, to);
	return FALSE;
}

struct fake_table *fake_table_copy(const struct fake_table *t)
{
	struct fake_table *copy = fake_table_new();

	copy->commits = t->commits;
	copy->puts = t->puts;
	g_tree_foreach(t->rows, copy_row, copy->rows);
	return copy;
}

static struct row *row_find(const struct fake_table *t, struct pf_str key)
{
	GString *k = g_string_new_len(key.p, (gssize)key.n);
	struct row *r = g_tree_lookup(t->rows, k);

	g_string_free(k, TRUE);
	return r;
}

enum pf_table_status fake_table_txn(struct fake_table *t,
				    const struct pf_table_txn *txn,
				    uint32_t *failed, uint64_t *revision)
{
	for (size_t i = 0; i < txn->n_checks; i++) {
		struct row *r = row_find(t, txn->checks[i].key);

		if ((r ? r->revision : 0) == txn->checks[i].revision)
			continue;
		*failed = (uint32_t)i;
		return PF_TABLE_CONFLICT;
	}
	t->commits++;
	for (size_t i = 0; i < txn->n_puts; i++) {
		struct row *r = g_new0(struct row, 1);

		r->key = g_string_new_len(txn->puts[i].key.p,
					  (gssize)txn->puts[i].key.n);
		r->value = g_string_new_len(txn->puts[i].value.p,
					    (gssize)txn->puts[i].value.n);
		r->revision = t->commits;
		g_tree_replace(t->rows, r->key, r);
		t->puts++;
	}
	for (size_t i = 0; i < txn->n_deletes; i++) {
		struct row *r = row_find(t, txn->deletes[i]);

		if (r)
			g_tree_remove(t->rows, r->key);
	}
	*revision = t->commits;
	return PF_TABLE_OK;
}

size_t fake_table_scan(const struct fake_table *t, struct pf_str prefix,
		       struct pf_str after, struct pf_table_row *rows,
		       size_t max, bool *more)
{
	struct pf_str from = after.n ? after : prefix;
	GString *k = g_string_new_len(from.p, (gssize)from.n);
	GTreeNode *n = after.n ? g_tree_upper_bound(t->rows, k)
			       : g_tree_lower_bound(t->rows, k);
	size_t count = 0;

	g_string_free(k, TRUE);
	*more = false;
	for (; n; n = g_tree_node_next(n)) {
		struct row *r = g_tree_node_value(n);

		if (r->key->len < prefix.n ||
		    memcmp(r->key->str, prefix.p, prefix.n) != 0)
			break;
		if (count == max) {
			*more = true;
			break;
		}
		rows[count].key = (struct pf_str){ r->key->str, r->key->len };
		rows[count].value =
			(struct pf_str){ r->value->str, r->value->len };
		rows[count].revision = r->revision;
		count++;
	}
	return count;
}

static struct pf_str str_copy(struct pf_str s)
{
	return (struct pf_str){ pf_str_dup(s), s.n };
}

struct pf_table_txn *fake_txn_copy(const struct pf_table_txn *txn)
{
	struct pf_table_txn *c = g_new0(struct pf_table_txn, 1);
	struct pf_table_check *checks =
		g_new0(struct pf_table_check, txn->n_checks + 1);
	struct pf_table_put *puts =
		g_new0(struct pf_table_put, txn->n_puts + 1);
	struct pf_str *deletes = g_new0(struct pf_str, txn->n_deletes + 1);

	for (size_t i = 0; i < txn->n_checks; i++) {
		checks[i].key = str_copy(txn->checks[i].key);
		checks[i].revision = txn->checks[i].revision;
	}
	for (size_t i = 0; i < txn->n_puts; i++) {
		puts[i].key = str_copy(txn->puts[i].key);
		puts[i].value = str_copy(txn->puts[i].value);
	}
	for (size_t i = 0; i < txn->n_deletes; i++)
		deletes[i] = str_copy(txn->deletes[i]);
	*c = *txn;
	c->checks = checks;
	c->puts = puts;
	c->deletes = deletes;
	return c;
}

void fake_txn_free(struct pf_table_txn *txn)
{
	for (size_t i = 0; i < txn->n_checks; i++)
		free((char *)txn->checks[i].key.p);
	for (size_t i = 0; i < txn->n_puts; i++) {
		free((char *)txn->puts[i].key.p);
		free((char *)txn->puts[i].value.p);
	}
	for (size_t i = 0; i < txn->n_deletes; i++)
		free((char *)txn->deletes[i].p);
	g_free((void *)txn->checks);
	g_free((void *)txn->puts);
	g_free((void *)txn->deletes);
	g_free(txn);
}

uint64_t fake_table_commits(const struct fake_table *t)
{
	return t->commits;
}

uint64_t fake_table_puts(const struct fake_table *t)
{
	return t->puts;
}
