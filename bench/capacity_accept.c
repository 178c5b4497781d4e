/* Processor time and table reads of one change, by configuration size. */
#include "bench/capacity.h"
#include "fuzz/fake_table.h"
#include "pimentoford/accept.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#define SCAN_ROWS_MAX 500
#define CHANGES_MEASURED 5

/* A table request of the core. */
struct table_request {
	enum pf_accept_act_type type;
	uint64_t seq;
	char *key, *after;
	uint32_t limit;
	struct pf_table_txn *txn;
};

struct accept_bench {
	struct pf_accept *core;
	struct fake_table *table;
	GQueue *requests;
	pf_ms now;
	double core_ns; /* time in pf_accept_step() */
	uint64_t reads, accepted;
};

static void on_act(void *ctx, const struct pf_accept_act *a)
{
	struct accept_bench *b = ctx;
	struct table_request *k;

	if (a->type == PF_ACCEPT_RESULT) {
		b->accepted += a->u.result.outcome == PF_CHANGE_ACCEPTED;
		return;
	}
	k = g_new0(struct table_request, 1);
	k->type = a->type;
	k->seq = a->seq;
	if (a->type == PF_ACCEPT_GET) {
		k->key = g_strndup(a->u.key.p, a->u.key.n);
	} else if (a->type == PF_ACCEPT_SCAN) {
		k->key = g_strndup(a->u.scan.prefix.p, a->u.scan.prefix.n);
		k->after = g_strndup(a->u.scan.after.p, a->u.scan.after.n);
		k->limit = a->u.scan.limit;
	} else {
		k->txn = fake_txn_copy(&a->u.txn);
	}
	g_queue_push_tail(b->requests, k);
}

static void step(struct accept_bench *b, const struct pf_accept_msg *m)
{
	struct pf_accept_sink sink = { on_act, b };
	double from = capacity_cpu_ns();

	pf_accept_step(b->core, b->now, m, &sink);
	b->core_ns += capacity_cpu_ns() - from;
}

static void reply_get(struct accept_bench *b, const struct table_request *k)
{
	struct pf_accept_msg m = { .type = PF_ACCEPT_GET_DONE, .seq = k->seq };
	struct pf_table_row row;
	bool more;
	size_t n = fake_table_scan(b->table, pf_str_c(k->key), pf_str_c(""),
				   &row, 1, &more);

	m.u.get.status = PF_TABLE_OK;
	if (n && pf_str_eq(row.key, pf_str_c(k->key)))
		m.u.get.row = row;
	step(b, &m);
}

static void reply(struct accept_bench *b, const struct table_request *k)
{
	struct pf_accept_msg m = { .seq = k->seq };
	struct pf_table_row rows[SCAN_ROWS_MAX];
	uint64_t revision;
	uint32_t failed;
	bool more;

	b->now++;
	if (k->type == PF_ACCEPT_GET) {
		b->reads++;
		reply_get(b, k);
		return;
	}
	if (k->type == PF_ACCEPT_SCAN) {
		b->reads++;
		m.type = PF_ACCEPT_SCAN_DONE;
		m.u.scan.status = PF_TABLE_OK;
		m.u.scan.rows = rows;
		m.u.scan.n_rows =
			fake_table_scan(b->table, pf_str_c(k->key),
					pf_str_c(k->after), rows,
					MIN(k->limit, SCAN_ROWS_MAX), &more);
	} else {
		m.type = PF_ACCEPT_COMMIT_DONE;
		m.u.commit.status =
			fake_table_txn(b->table, k->txn, &failed, &revision);
	}
	step(b, &m);
}

static void run_change(struct accept_bench *b, uint64_t n,
		       const struct pf_records *puts)
{
	struct pf_accept_msg m = { .type = PF_ACCEPT_CHANGE };
	struct pf_change c = { .request_id = n,
			       .who = pf_str_c("bench"),
			       .what = pf_str_c("apply"),
			       .wall_time = b->now,
			       .puts = puts };
	char id[32];
	struct table_request *k;

	snprintf(id, sizeof(id), "change-%llu", (unsigned long long)n);
	c.id = pf_str_c(id);
	m.u.change = &c;
	step(b, &m);
	while ((k = g_queue_pop_head(b->requests))) {
		reply(b, k);
		if (k->txn)
			fake_txn_free(k->txn);
		g_free(k->key);
		g_free(k->after);
		g_free(k);
	}
}

static int bench_open(struct accept_bench *b)
{
	struct pf_accept_opts o;

	memset(b, 0, sizeof(*b));
	pf_accept_opts_default(&o);
	o.region = "r1";
	o.scan_limit = SCAN_ROWS_MAX;
	o.records_max = PF_RECORDS_MAX;
	b->core = pf_accept_new(&o);
	if (!b->core)
		return -1;
	b->table = fake_table_new();
	b->requests = g_queue_new();
	b->now = 1000;
	return 0;
}

static void bench_close(struct accept_bench *b)
{
	g_queue_free(b->requests);
	fake_table_free(b->table);
	pf_accept_free(b->core);
}

/* Mean time and reads of a change of one record in a configuration of @n. */
static int measure_changes(uint32_t n, double *ns, double *reads)
{
	GString *t = capacity_records(n), *one = g_string_new(NULL);
	struct pf_records all = { 0 }, single = { 0 };
	struct pf_findings f = { 0 };
	struct accept_bench b;
	int rc = -1;

	if (bench_open(&b))
		goto out;
	if (pf_records_parse((struct pf_str){ t->str, t->len }, "all", &all,
			     &f))
		goto close;
	run_change(&b, 1, &all);
	b.core_ns = 0;
	b.reads = 0;
	for (uint32_t i = 0; i < CHANGES_MEASURED; i++) {
		g_string_printf(one,
				"[deployment]\nschema = 2\nmove_cost = %u.0\n",
				31 + i);
		pf_records_free(&single);
		if (pf_records_parse((struct pf_str){ one->str, one->len },
				     "one", &single, &f))
			goto close;
		run_change(&b, 2 + i, &single);
	}
	*ns = b.core_ns / CHANGES_MEASURED;
	*reads = (double)b.reads / CHANGES_MEASURED;
	rc = b.accepted == CHANGES_MEASURED + 1 ? 0 : -1;
close:
	bench_close(&b);
out:
	pf_records_free(&all);
	pf_records_free(&single);
	pf_findings_clear(&f);
	g_string_free(t, TRUE);
	g_string_free(one, TRUE);
	return rc;
}

int capacity_measure_accepts(struct slope *all)
{
	static const double n[] = { 500, 2000, 8000 };
	double ns[CAPACITY_POINTS], reads[CAPACITY_POINTS];

	for (int i = 0; i < CAPACITY_POINTS; i++)
		if (measure_changes((uint32_t)n[i], &ns[i], &reads[i]))
			return -1;
	capacity_fit(all, SLOPE_ACCEPT_NS, n, ns);
	capacity_fit(all, SLOPE_ACCEPT_READS, n, reads);
	return 0;
}
