/* Claim throughput at a table limited to 200 writes/s, in virtual time. */
#include "bench/capacity.h"
#include "fuzz/fake_table.h"
#include "pimentoford/claim.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#define WRITES_PER_S 200
#define TABLE_LATENCY_MS 5
#define CALL_RUN_MS 20
#define OFFERED_PER_MS 4
#define RUN_SECONDS 10
#define SCAN_ROWS_MAX 256
#define SHARD_ACQUIRE_MS 10000 /* until the core owns all shards */

/* A table operation or run in flight. */
struct pending {
	pf_ms completes_at;
	uint64_t op;
	struct pf_table_txn *txn; /* NULL: a scan, or a run if prefix is NULL */
	char *prefix, *after;
	uint32_t limit;
	uint64_t key;
};

struct claim_fixture {
	struct pf_claim *core;
	struct fake_table *table;
	GQueue *pending;
	pf_ms now;
	uint64_t granted, settled;
};

static struct pending *pending_add(struct claim_fixture *b, pf_ms after)
{
	struct pending *d = g_new0(struct pending, 1);

	d->completes_at = b->now + after;
	g_queue_push_tail(b->pending, d);
	return d;
}

static void emit(void *ctx, const struct pf_claim_act *a)
{
	struct claim_fixture *b = ctx;
	struct pending *d;

	switch (a->type) {
	case PF_CLAIM_REPLY:
		if (!a->u.reply.granted)
			break;
		b->granted++;
		pending_add(b, CALL_RUN_MS)->key = a->u.reply.key;
		break;
	case PF_CLAIM_RESULT_SETTLED:
		b->settled++;
		break;
	case PF_CLAIM_TXN:
		d = pending_add(b, TABLE_LATENCY_MS);
		d->op = a->u.txn.op;
		d->txn = fake_txn_copy(&a->u.txn.txn);
		break;
	case PF_CLAIM_SCAN:
		d = pending_add(b, TABLE_LATENCY_MS);
		d->op = a->u.scan.op;
		d->prefix = g_strndup(a->u.scan.prefix.p, a->u.scan.prefix.n);
		d->after = g_strndup(a->u.scan.after.p, a->u.scan.after.n);
		d->limit = a->u.scan.limit;
		break;
	default:
		break;
	}
}

static void step_claim(struct claim_fixture *b, const struct pf_claim_msg *m)
{
	struct pf_claim_sink sink = { emit, b };

	pf_claim_step(b->core, b->now, m, &sink);
}

static void pending_free(struct pending *d)
{
	if (d->txn)
		fake_txn_free(d->txn);
	g_free(d->prefix);
	g_free(d->after);
	g_free(d);
}

static void pending_complete(struct claim_fixture *b, struct pending *d)
{
	struct pf_claim_msg m = { .type = PF_CLAIM_RESULT };
	struct pf_table_row rows[SCAN_ROWS_MAX];

	if (d->txn) {
		m.type = PF_CLAIM_TXN_DONE;
		m.u.txn.op = d->op;
		m.u.txn.status =
			fake_table_txn(b->table, d->txn, &m.u.txn.failed_check,
				       &m.u.txn.revision);
	} else if (d->prefix) {
		m.type = PF_CLAIM_SCAN_DONE;
		m.u.scan.op = d->op;
		m.u.scan.status = PF_TABLE_OK;
		m.u.scan.rows = rows;
		m.u.scan.n_rows = fake_table_scan(b->table, pf_str_c(d->prefix),
						  pf_str_c(d->after), rows,
						  MIN(d->limit, SCAN_ROWS_MAX),
						  &m.u.scan.more);
	} else {
		m.u.result.key = d->key;
		m.u.result.answer = pf_str_c("{\"ok\":true}");
	}
	step_claim(b, &m);
	pending_free(d);
}

/* Advances virtual time by one millisecond. */
static void advance_ms(struct claim_fixture *b)
{
	struct pf_claim_msg tick = { .type = PF_CLAIM_TICK };
	guint n = g_queue_get_length(b->pending);

	b->now++;
	while (n--) {
		struct pending *d = g_queue_pop_head(b->pending);

		if (d->completes_at <= b->now)
			pending_complete(b, d);
		else
			g_queue_push_tail(b->pending, d);
	}
	if (pf_claim_next(b->core) <= b->now)
		step_claim(b, &tick);
}

static int fixture_open(struct claim_fixture *b, uint32_t keys_max,
			uint32_t batch)
{
	struct pf_claim_opts o;

	memset(b, 0, sizeof(*b));
	pf_claim_opts_default(&o);
	o.agent = 1;
	o.incarnation = 1;
	o.keys_max = keys_max;
	o.batch_max = batch;
	o.writes_per_s = WRITES_PER_S;
	b->core = pf_claim_new(&o);
	if (!b->core)
		return -1;
	b->now = 1000000;
	b->table = fake_table_new();
	b->pending = g_queue_new();
	for (pf_ms t = 0; t < SHARD_ACQUIRE_MS; t++)
		advance_ms(b);
	return 0;
}

static void fixture_close(struct claim_fixture *b)
{
	struct pending *d;

	while ((d = g_queue_pop_head(b->pending)))
		pending_free(d);
	g_queue_free(b->pending);
	fake_table_free(b->table);
	pf_claim_free(b->core);
}

static void send_request(struct claim_fixture *b, uint64_t n)
{
	struct pf_claim_msg m = { .type = PF_CLAIM_REQUEST };

	m.u.request.id = (struct pf_try){ n, 1 };
	m.u.request.key = pf_id2(7, n);
	m.u.request.fingerprint = n;
	step_claim(b, &m);
}

static int measure_rate(uint32_t batch, const char *policy,
			struct claim_rate *r)
{
	struct claim_fixture b;
	struct pf_claim_stats before, after;
	uint64_t n = 0;

	if (fixture_open(&b, 200000, batch))
		return -1;
	pf_claim_stats(b.core, &before);
	for (pf_ms t = 0; t < RUN_SECONDS * 1000; t++) {
		for (int i = 0; i < OFFERED_PER_MS; i++)
			send_request(&b, ++n);
		advance_ms(&b);
	}
	pf_claim_stats(b.core, &after);
	r->calls_per_s = (double)b.settled / RUN_SECONDS;
	r->rows_per_call =
		b.settled ? (double)(after.rows_written - before.rows_written) /
				    (double)b.settled
			  : 0;
	printf("bench: what=claims policy=%s batch=%u writes_per_s=%d "
	       "offered_per_s=%d granted_per_s=%.0f calls_per_s=%.0f "
	       "rows_per_call=%.4f refused=%llu\n",
	       policy, batch, WRITES_PER_S, OFFERED_PER_MS * 1000,
	       (double)b.granted / RUN_SECONDS, r->calls_per_s,
	       r->rows_per_call,
	       (unsigned long long)(after.refused - before.refused));
	fixture_close(&b);
	return 0;
}

int capacity_measure_claims(struct slope *all, struct claim_rate *grouped)
{
	static const double keys[] = { 5000, 10000, 20000 };
	struct claim_rate single;
	double bytes[CAPACITY_POINTS], ns[CAPACITY_POINTS];

	for (int i = 0; i < CAPACITY_POINTS; i++) {
		double before, from, spent = 0;
		struct claim_fixture b;
		uint64_t n = 0;

		before = capacity_heap_bytes();
		if (fixture_open(&b, (uint32_t)keys[i], 256))
			return -1;
		bytes[i] = capacity_heap_bytes() - before;
		while (n < (uint64_t)keys[i]) {
			from = capacity_cpu_ns();
			for (int k = 0; k < 2 && n < (uint64_t)keys[i]; k++)
				send_request(&b, ++n);
			spent += capacity_cpu_ns() - from;
			from = capacity_cpu_ns();
			advance_ms(&b);
			spent += capacity_cpu_ns() - from;
		}
		ns[i] = spent;
		fixture_close(&b);
	}
	capacity_fit(all, SLOPE_CLAIM_KEY_BYTES, keys, bytes);
	capacity_fit(all, SLOPE_CLAIM_CALL_NS, keys, ns);
	if (measure_rate(1, "row_per_entry", &single))
		return -1;
	return measure_rate(256, "ours", grouped);
}
