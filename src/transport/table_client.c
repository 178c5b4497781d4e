/* Client for pimentoford's table: one partition of a table of the store. */
#include "pimentoford/table_client.h"

#include "pimentoford/store.h"

#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#define TABLE_NAME "pimentoford"
#define PARTITION_NAME "table"
/* Limit of checks, puts and deletes in a transaction of the store. */
#define ENTRIES_MAX 100
#define KEY_BYTES_MAX 256

struct table_call {
	LIST_ENTRY(table_call) next;
	pf_table_txn_cb txn; /* transactions */
	pf_table_rows_cb rows; /* reads */
	void *ctx;
	char prefix[KEY_BYTES_MAX]; /* scans: prefix; gets: key */
	char after[KEY_BYTES_MAX]; /* scans: keys sort after this one */
	bool get;
	uint32_t limit; /* of rows */
	/* Transactions only. */
	uint32_t n_checks;
	struct {
		char key[KEY_BYTES_MAX];
		uint64_t revision;
	} checks[];
};

struct pf_table {
	struct pf_store *store;
	LIST_HEAD(, table_call) calls;
};

struct pf_table *pf_table_new(const struct pf_table_opts *o)
{
	struct pf_store_opts so = { .base = o->base,
				    .addr = o->addr,
				    .calls_max = o->calls_max,
				    .timeout = o->timeout,
				    .body_max = o->body_max,
				    .log = o->log };
	struct pf_table *t = calloc(1, sizeof(*t));

	if (!t)
		return NULL;
	t->store = pf_store_new(&so);
	if (!t->store) {
		free(t);
		return NULL;
	}
	return t;
}

void pf_table_free(struct pf_table *t)
{
	struct table_call *next;
	struct table_call *c;

	if (!t)
		return;
	pf_store_free(t->store);
	for (c = LIST_FIRST(&t->calls); c; c = next) {
		next = LIST_NEXT(c, next);
		free(c);
	}
	free(t);
}

int64_t pf_table_era(const struct pf_table *t)
{
	return pf_store_eras(t->store)->newest;
}

static struct pf_store_place row_place(struct pf_str key)
{
	return (struct pf_store_place){ PF_STR(TABLE_NAME),
					PF_STR(PARTITION_NAME), key };
}

/* Returns 0, or -1 when the key is too long. */
static int copy_key(char *to, struct pf_str key)
{
	if (key.n >= KEY_BYTES_MAX)
		return -1;
	memcpy(to, key.n ? key.p : "", key.n);
	to[key.n] = '\0';
	return 0;
}

static enum pf_table_status map_status(enum pf_store_status s)
{
	switch (s) {
	case PF_STORE_OK:
		return PF_TABLE_OK;
	case PF_STORE_CONFLICT:
		return PF_TABLE_CONFLICT;
	case PF_STORE_REFUSED:
		return PF_TABLE_LIMITED;
	case PF_STORE_TRIMMED:
	case PF_STORE_UNKNOWN:
		break;
	}
	return PF_TABLE_UNKNOWN;
}

/*
 * Returns the key of the first check that the rows of the store don't satisfy
 * and its row's *revision (0: absent), or NULL when all hold.
 */
static const char *find_failed_check(const struct table_call *c,
				     const struct pf_store_answer *a,
				     uint64_t *revision)
{
	uint32_t i;
	size_t k;

	for (i = 0; i < c->n_checks; i++) {
		*revision = 0;
		for (k = 0; k < a->n; k++) {
			if (pf_str_eq(a->rows[k].key,
				      pf_str_c(c->checks[i].key)))
				*revision = a->rows[k].revision;
		}
		if (*revision != c->checks[i].revision)
			return c->checks[i].key;
	}
	return NULL;
}

static void on_txn(void *ctx, const struct pf_store_answer *a)
{
	struct table_call *c = ctx;
	struct pf_table_txn_result r = { .status = map_status(a->status),
					 .revision = a->revision };

	if (r.status == PF_TABLE_CONFLICT) {
		r.key = pf_str_c(find_failed_check(c, a, &r.revision));
		/* No failed check in the response: treat it as lost. */
		if (!r.key.p)
			r.status = PF_TABLE_UNKNOWN;
	}
	LIST_REMOVE(c, next);
	c->txn(c->ctx, &r);
	free(c);
}

static bool row_matches(const struct table_call *c,
			const struct pf_store_row *row)
{
	size_t n = strlen(c->prefix);
	size_t m = strlen(c->after);
	size_t least = row->key.n < m ? row->key.n : m;
	int order = least ? memcmp(row->key.p, c->after, least) : 0;

	if (c->get)
		return pf_str_eq(row->key, pf_str_c(c->prefix));
	return row->key.n >= n && memcmp(row->key.p, c->prefix, n) == 0 &&
	       (order > 0 || (order == 0 && row->key.n > m));
}

/* Returns 0, or -1 when a row is unreadable or out of memory. */
static int filter_rows(const struct table_call *c,
		       const struct pf_store_answer *a,
		       struct pf_table_row **out, size_t *n)
{
	size_t i;

	*n = 0;
	*out = calloc(a->n + 1, sizeof(**out));
	if (!*out)
		return -1;
	for (i = 0; i < a->n && *n < c->limit; i++) {
		const struct pf_store_row *row = &a->rows[i];

		if (!row->key.p || row->unreadable)
			return -1;
		if (row_matches(c, row))
			(*out)[(*n)++] =
				(struct pf_table_row){ row->key, row->value,
						       row->revision };
	}
	return 0;
}

static void on_rows(void *ctx, const struct pf_store_answer *a)
{
	struct table_call *c = ctx;
	struct pf_table_rows r = { .status = map_status(a->status) };
	struct pf_table_row *rows = NULL;
	size_t n = 0;

	if (r.status == PF_TABLE_OK) {
		if (filter_rows(c, a, &rows, &n) < 0)
			r.status = PF_TABLE_UNKNOWN;
		else
			r.n = n;
		r.rows = rows;
		r.revision = r.status == PF_TABLE_OK ? a->revision : 0;
	}
	LIST_REMOVE(c, next);
	c->rows(c->ctx, &r);
	free(rows);
	free(c);
}

static void fill_txn(const struct pf_table_txn *txn, struct table_call *c,
		     struct pf_store_check *checks, struct pf_store_put *puts,
		     struct pf_store_place *deletes)
{
	size_t i;

	for (i = 0; i < txn->n_checks; i++) {
		checks[i].place = row_place(txn->checks[i].key);
		checks[i].revision = txn->checks[i].revision;
		c->checks[i].revision = txn->checks[i].revision;
	}
	for (i = 0; i < txn->n_puts; i++) {
		puts[i].place = row_place(txn->puts[i].key);
		puts[i].value = txn->puts[i].value;
	}
	for (i = 0; i < txn->n_deletes; i++)
		deletes[i] = row_place(txn->deletes[i]);
}

int pf_table_txn(struct pf_table *t, const char *id,
		 const struct pf_table_txn *txn, pf_table_txn_cb cb, void *ctx)
{
	struct pf_store_check checks[ENTRIES_MAX];
	struct pf_store_put puts[ENTRIES_MAX];
	struct pf_store_place deletes[ENTRIES_MAX];
	struct pf_store_txn out = {
		checks,      txn->n_checks, puts,
		txn->n_puts, deletes,       txn->n_deletes
	};
	struct table_call *c;
	size_t i;

	(void)id;
	if (txn->n_checks + txn->n_puts + txn->n_deletes > ENTRIES_MAX)
		return -1;
	c = calloc(1, sizeof(*c) + txn->n_checks * sizeof(c->checks[0]));
	if (!c)
		return -1;
	c->txn = cb;
	c->ctx = ctx;
	c->n_checks = (uint32_t)txn->n_checks;
	for (i = 0; i < txn->n_checks; i++) {
		if (copy_key(c->checks[i].key, txn->checks[i].key) < 0)
			goto fail;
	}
	fill_txn(txn, c, checks, puts, deletes);
	if (pf_store_commit(t->store, &out, on_txn, c) == 0) {
		LIST_INSERT_HEAD(&t->calls, c, next);
		return 0;
	}
fail:
	free(c);
	return -1;
}

static int start_read(struct pf_table *t, const struct table_call *proto,
		      struct pf_str from, struct pf_str to)
{
	struct table_call *c = malloc(sizeof(*c));

	if (!c)
		return -1;
	*c = *proto;
	/* One more, since the first row may be `after` itself. */
	if (pf_store_read(t->store, PF_STR(TABLE_NAME), PF_STR(PARTITION_NAME),
			  from, to, c->limit + 1, on_rows, c) == 0) {
		LIST_INSERT_HEAD(&t->calls, c, next);
		return 0;
	}
	free(c);
	return -1;
}

int pf_table_get(struct pf_table *t, struct pf_str key, pf_table_rows_cb cb,
		 void *ctx)
{
	struct table_call c = {
		.rows = cb, .ctx = ctx, .get = true, .limit = 1
	};

	if (copy_key(c.prefix, key) < 0)
		return -1;
	return start_read(t, &c, key, PF_STR(""));
}

/* The least key greater than all keys with @prefix; empty if there is none. */
static struct pf_str prefix_end(char *buf, struct pf_str prefix)
{
	size_t n = prefix.n;

	memcpy(buf, prefix.n ? prefix.p : "", prefix.n);
	while (n > 0 && (unsigned char)buf[n - 1] >= 0x7f)
		n--;
	if (n > 0)
		buf[n - 1]++;
	return (struct pf_str){ buf, n };
}

int pf_table_scan(struct pf_table *t, struct pf_str prefix, struct pf_str after,
		  uint32_t limit, pf_table_rows_cb cb, void *ctx)
{
	struct table_call c = { .rows = cb, .ctx = ctx, .limit = limit };
	char to[KEY_BYTES_MAX];

	if (copy_key(c.prefix, prefix) < 0 || copy_key(c.after, after) < 0)
		return -1;
	return start_read(t, &c, strcmp(c.after, c.prefix) > 0 ? after : prefix,
			  prefix_end(to, prefix));
}
