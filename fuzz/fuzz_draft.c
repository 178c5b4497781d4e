/*
 * Draft cores of three entries over one table and one object store that lose,
 * delay and refuse; entries die and pause. The oracle is the promise: what was
 * accepted is finished once, has one answer and can be fetched until its time
 * ends; what was refused never runs.
 */
#include "fuzz/fake_table.h"
#include "fuzz/fuzz.h"
#include "pimentoford/draft.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#define CORES 3
#define ASKS 24
#define TICKETS 512
#define OPS 4096
#define KEEP_MS 900000

struct ask {
	uint64_t caller;
	uint64_t key;
	char body[32];
	char id[PF_DRAFT_ID_MAX]; /* once accepted */
	int open; /* submissions without an outcome */
	bool may_run; /* accepted, or not certainly refused */
	bool cancels; /* its caller asked for that */
};

struct ticket {
	uint32_t ask;
	int core; /* -1: has its outcome, or its entry died */
	bool fetch;
	bool cancel;
};

struct draft {
	char id[PF_DRAFT_ID_MAX];
	char *answer; /* NULL: cancelled */
	pf_ms until;
};

/* What a core asked; texts are owned. */
struct op {
	int core;
	enum pf_draft_act_type type;
	uint64_t seq;
	struct pf_table_txn *txn;
	char *name; /* or key, prefix, id */
	char *body; /* or `after` */
	uint32_t limit;
};

struct world {
	struct fuzz_result *r;
	struct pf_rng rng;
	struct fake_table *table;
	GHashTable *objects;
	struct pf_draft *cores[CORES];
	struct pf_draft_sink sinks[CORES];
	struct sink_ctx {
		struct world *w;
		int core;
	} ctx[CORES];
	bool paused[CORES];
	struct op ops[OPS];
	size_t n_ops;
	struct op late[OPS];
	size_t n_late;
	struct ask asks[ASKS];
	uint32_t n_asks;
	struct ticket tickets[TICKETS];
	uint32_t n_tickets;
	GHashTable *drafts; /* finished or cancelled, by id */
	uint64_t starts;
	uint32_t runs;
	uint32_t outage; /* requests that the stores fail from now on */
	pf_ms now;
};

static char *text_of(struct pf_str s)
{
	return g_strndup(s.p ? s.p : "", s.n);
}

static void op_free(struct op *op)
{
	if (op->txn)
		fake_txn_free(op->txn);
	g_free(op->name);
	g_free(op->body);
}

static void draft_free(void *p)
{
	struct draft *d = p;

	g_free(d->answer);
	g_free(d);
}

static bool is_text(struct pf_str s, const char *text)
{
	return pf_str_eq(s, pf_str_c(text));
}

static void on_ask_done(struct world *w, struct ask *a,
			const struct pf_draft_act *act)
{
	enum pf_draft_outcome o = act->u.reply.outcome;

	a->open--;
	if (o == PF_DRAFT_OUTCOME_ACCEPTED) {
		if (a->id[0] && !is_text(act->u.reply.id, a->id))
			fuzz_violation(w->r, "one key, two drafts");
		memcpy(a->id, act->u.reply.id.p, act->u.reply.id.n);
		a->may_run = true;
	} else if (o == PF_DRAFT_OUTCOME_UNKNOWN) {
		a->may_run = true;
	} else if (o != PF_DRAFT_OUTCOME_UNAVAILABLE &&
		   o != PF_DRAFT_OUTCOME_TOO_MANY) {
		fuzz_violation(w->r, "ask ended with %d", (int)o);
	}
}

static void on_fetched(struct world *w, const struct ask *a,
		       const struct pf_draft_act *act)
{
	const struct draft *d = g_hash_table_lookup(w->drafts, a->id);

	switch (act->u.reply.outcome) {
	case PF_DRAFT_OUTCOME_ANSWER:
		if (!d || !d->answer || !is_text(act->u.reply.body, d->answer))
			fuzz_violation(w->r, "%s has another answer", a->id);
		break;
	case PF_DRAFT_OUTCOME_NOT_FOUND:
		if (!d || w->now < d->until)
			fuzz_violation(w->r, "%s vanished", a->id);
		break;
	case PF_DRAFT_OUTCOME_CANCELLED:
		if (!d || d->answer)
			fuzz_violation(w->r, "%s isn't cancelled", a->id);
		break;
	default:
		break;
	}
}

static void on_done(struct world *w, const struct pf_draft_act *act)
{
	struct ticket *t = &w->tickets[act->u.reply.ticket];

	if (t->core < 0)
		fuzz_violation(w->r, "two outcomes of one ticket");
	t->core = -1;
	if (t->fetch)
		on_fetched(w, &w->asks[t->ask], act);
	else
		on_ask_done(w, &w->asks[t->ask], act);
}

static void on_run(struct world *w, const struct pf_draft_act *act)
{
	for (uint32_t i = 0; i < w->n_asks; i++) {
		struct ask *a = &w->asks[i];

		if (is_text(act->u.run.body, a->body) && !a->may_run &&
		    !a->open)
			fuzz_violation(w->r, "%s was refused, but runs",
				       a->body);
	}
}

static void emit(void *ctx, const struct pf_draft_act *act)
{
	struct sink_ctx *c = ctx;
	struct world *w = c->w;
	struct op op = { .core = c->core, .type = act->type, .seq = act->seq };

	switch (act->type) {
	case PF_DRAFT_REPLY:
		on_done(w, act);
		return;
	case PF_DRAFT_RUN_CANCEL:
		return;
	case PF_DRAFT_TXN:
		op.txn = fake_txn_copy(&act->u.txn);
		break;
	case PF_DRAFT_ROW_GET:
		op.name = text_of(act->u.key);
		break;
	case PF_DRAFT_ROW_SCAN:
		op.name = text_of(act->u.scan.prefix);
		op.body = text_of(act->u.scan.after);
		op.limit = act->u.scan.limit;
		break;
	case PF_DRAFT_RUN:
		on_run(w, act);
		op.name = text_of(act->u.run.id);
		op.body = text_of(act->u.run.body);
		break;
	default:
		op.name = text_of(act->u.object.name);
		op.body = text_of(act->u.object.body);
		break;
	}
	PF_INVARIANT("ops have room", w->n_ops < OPS);
	w->ops[w->n_ops++] = op;
}

static void step(struct world *w, int core, struct pf_draft_msg *m)
{
	pf_draft_step(w->cores[core], w->now, m, &w->sinks[core]);
}

/* A done row was written: the answer must be there, and be the only one. */
static void on_finish(struct world *w, const struct pf_table_put *p)
{
	struct draft *d = g_new0(struct draft, 1);
	char *value = text_of(p->value), *name;
	unsigned int epoch, status;
	long long until;

	memcpy(d->id, p->key.p + 11, p->key.n - 11);
	if (sscanf(value, "%*s %*s %*s %*s %u %u %lld", &epoch, &status,
		   &until) != 3)
		fuzz_violation(w->r, "row %s can't be read", d->id);
	d->until = until;
	name = g_strdup_printf("draft-%s-answer-%u", d->id, epoch);
	if (status)
		d->answer = g_strdup(g_hash_table_lookup(w->objects, name));
	if (status && !d->answer)
		fuzz_violation(w->r, "%s finished without answer", d->id);
	if (g_hash_table_lookup(w->drafts, d->id))
		fuzz_violation(w->r, "%s finished twice", d->id);
	g_hash_table_replace(w->drafts, d->id, d);
	g_free(name);
	g_free(value);
}

static enum pf_table_status commit(struct world *w, const struct op *op,
				   uint64_t *revision)
{
	enum pf_table_status st;
	uint32_t failed;

	st = fake_table_txn(w->table, op->txn, &failed, revision);
	for (size_t i = 0; st == PF_TABLE_OK && i < op->txn->n_puts; i++)
		if (strncmp(op->txn->puts[i].key.p, "draft/done/", 11) == 0)
			on_finish(w, &op->txn->puts[i]);
	return st;
}

/* A write at either store, whether or not it is heard of. */
static enum pf_table_status carry_out(struct world *w, const struct op *op,
				      uint64_t *revision)
{
	if (op->type == PF_DRAFT_TXN)
		return commit(w, op, revision);
	if (op->type == PF_DRAFT_OBJECT_PUT)
		g_hash_table_replace(w->objects, g_strdup(op->name),
				     g_strdup(op->body));
	else
		g_hash_table_remove(w->objects, op->name);
	return PF_TABLE_OK;
}

static void answer_rows(struct world *w, const struct op *op, bool lost)
{
	struct pf_draft_msg m = { .type = PF_DRAFT_ROWS_DONE, .seq = op->seq };
	struct pf_table_row rows[64];
	bool more;

	m.u.rows.status = lost ? PF_TABLE_UNKNOWN : PF_TABLE_OK;
	m.u.rows.rows = rows;
	if (!lost)
		m.u.rows.n_rows = fake_table_scan(
			w->table, pf_str_c(op->name),
			op->body ? pf_str_c(op->body) : (struct pf_str){ 0 },
			rows, op->type == PF_DRAFT_ROW_GET ? 1 : op->limit,
			&more);
	step(w, op->core, &m);
}

static void answer_read(struct world *w, const struct op *op, bool lost)
{
	struct pf_draft_msg m = { .type = PF_DRAFT_OBJECT_DONE,
				  .seq = op->seq };
	const char *v = g_hash_table_lookup(w->objects, op->name);

	m.u.object.status = lost ? PF_OBJECT_UNKNOWN
			    : v  ? PF_OBJECT_OK
				 : PF_OBJECT_NOT_FOUND;
	if (v)
		m.u.object.body = pf_str_c(v);
	step(w, op->core, &m);
}

static void answer_run(struct world *w, const struct op *op, bool fault)
{
	struct pf_draft_msg m = { .type = PF_DRAFT_RUN_DONE, .seq = op->seq };
	char text[64];

	snprintf(text, sizeof(text), "answer %u to %s", ++w->runs, op->body);
	m.u.run.final = !fault;
	m.u.run.status = 200;
	m.u.run.body = pf_str_c(text);
	step(w, op->core, &m);
}

/* Lost writes take effect at once, later or never. */
static void answer_write(struct world *w, struct op *op, bool fault)
{
	struct pf_draft_msg m = { .seq = op->seq };
	enum pf_table_status st = PF_TABLE_UNKNOWN;
	uint32_t fate = pf_rng_below(&w->rng, 4);
	uint64_t revision = 0;

	if (!fault)
		st = carry_out(w, op, &revision);
	else if (fate == 0)
		carry_out(w, op, &revision);
	else if (fate == 1 && op->type == PF_DRAFT_TXN)
		st = PF_TABLE_LIMITED;
	m.type = PF_DRAFT_OBJECT_DONE;
	m.u.object.status = fault ? PF_OBJECT_UNKNOWN : PF_OBJECT_OK;
	if (op->type == PF_DRAFT_TXN) {
		m.type = PF_DRAFT_TXN_DONE;
		m.u.txn.status = st;
		m.u.txn.revision = revision;
	}
	if (!fault || pf_rng_below(&w->rng, 2))
		step(w, op->core, &m);
	if (fault && fate == 2 && w->n_late < OPS) {
		w->late[w->n_late++] = *op;
		memset(op, 0, sizeof(*op));
	}
}

static void store_acts(struct world *w, uint32_t odds)
{
	bool fault = odds && (w->outage || pf_rng_below(&w->rng, odds) == 0);
	size_t i;
	struct op op;

	if (!w->n_ops)
		return;
	i = pf_rng_below(&w->rng, (uint32_t)w->n_ops);
	if (w->paused[w->ops[i].core])
		return;
	op = w->ops[i];
	w->ops[i] = w->ops[--w->n_ops];
	w->outage -= w->outage > 0;
	if (op.type == PF_DRAFT_ROW_GET || op.type == PF_DRAFT_ROW_SCAN)
		answer_rows(w, &op, fault);
	else if (op.type == PF_DRAFT_OBJECT_GET)
		answer_read(w, &op, fault);
	else if (op.type == PF_DRAFT_RUN)
		answer_run(w, &op, fault);
	else
		answer_write(w, &op, fault);
	op_free(&op);
}

static void late_acts(struct world *w)
{
	uint64_t revision;
	size_t i;

	if (!w->n_late)
		return;
	i = pf_rng_below(&w->rng, (uint32_t)w->n_late);
	carry_out(w, &w->late[i], &revision);
	op_free(&w->late[i]);
	w->late[i] = w->late[--w->n_late];
}

static void clock_acts(struct world *w, pf_ms by)
{
	struct pf_draft_msg m = { .type = PF_DRAFT_TICK };

	w->now += by;
	for (int i = 0; i < CORES; i++)
		if (!w->paused[i] && pf_draft_next(w->cores[i]) <= w->now)
			step(w, i, &m);
}

static int core_start(struct world *w, int i)
{
	struct pf_draft_opts o;

	pf_draft_opts_default(&o);
	o.seed = pf_id2(w->rng.state[0], ++w->starts);
	o.holder = w->starts;
	o.jobs_max = 16;
	o.runs_max = 8;
	o.scan_limit = 4;
	o.renew_batch_max = 3;
	o.scan_interval = 50;
	o.caller_timeout = 2500;
	o.lease = 3000;
	o.retention = KEEP_MS;
	o.caller_open_max = 6;
	w->cores[i] = pf_draft_new(&o);
	w->ctx[i] = (struct sink_ctx){ w, i };
	w->sinks[i] = (struct pf_draft_sink){ emit, &w->ctx[i] };
	return w->cores[i] ? 0 : -1;
}

/* What it had asked of the stores is on its way. */
static void core_dies(struct world *w)
{
	int core = (int)pf_rng_below(&w->rng, CORES);
	size_t kept = 0;

	for (size_t i = 0; i < w->n_ops; i++) {
		struct op *op = &w->ops[i];

		if (op->core != core)
			w->ops[kept++] = *op;
		else if ((op->type == PF_DRAFT_TXN ||
			  op->type == PF_DRAFT_OBJECT_PUT) &&
			 w->n_late < OPS)
			w->late[w->n_late++] = *op;
		else
			op_free(op);
	}
	w->n_ops = kept;
	for (uint32_t i = 0; i < w->n_tickets; i++) {
		struct ticket *t = &w->tickets[i];

		if (t->core != core)
			continue;
		t->core = -1;
		if (!t->fetch) {
			w->asks[t->ask].open--;
			w->asks[t->ask].may_run = true;
		}
	}
	pf_draft_free(w->cores[core]);
	w->paused[core] = false;
	if (core_start(w, core) < 0)
		fuzz_violation(w->r, "no memory");
}

static struct ticket *ticket_new(struct world *w, uint32_t ask)
{
	struct ticket *t = &w->tickets[w->n_tickets];

	*t = (struct ticket){ .ask = ask };
	do {
		t->core = (int)pf_rng_below(&w->rng, CORES);
	} while (w->paused[t->core]);
	w->n_tickets++;
	return t;
}

static void submit(struct world *w, uint32_t i)
{
	struct pf_draft_msg m = { .type = PF_DRAFT_SUBMIT };
	struct ask *a = &w->asks[i];

	m.u.submit.ticket = w->n_tickets;
	m.u.submit.caller = a->caller;
	m.u.submit.idem_key = a->key;
	m.u.submit.body = pf_str_c(a->body);
	a->open++;
	step(w, ticket_new(w, i)->core, &m);
}

static void fetch(struct world *w, uint32_t i, bool cancel)
{
	struct pf_draft_msg m = { .type = cancel ? PF_DRAFT_CANCEL
						 : PF_DRAFT_FETCH };
	struct ticket *t;

	m.u.fetch.ticket = w->n_tickets;
	m.u.fetch.caller = w->asks[i].caller;
	m.u.fetch.id = pf_str_c(w->asks[i].id);
	t = ticket_new(w, i);
	t->fetch = true;
	step(w, t->core, &m);
}

static bool all_paused(const struct world *w)
{
	return w->paused[0] && w->paused[1] && w->paused[2];
}

static void caller_acts(struct world *w)
{
	uint32_t i = pf_rng_below(&w->rng, ASKS);
	struct ask *a = &w->asks[i];

	if (w->n_tickets >= TICKETS - ASKS || all_paused(w))
		return;
	if (i >= w->n_asks && w->n_asks < ASKS) {
		i = w->n_asks++;
		a = &w->asks[i];
		a->caller = 1 + pf_rng_below(&w->rng, 3);
		a->key = pf_rng_below(&w->rng, 2) ? 100 + i : 0;
		snprintf(a->body, sizeof(a->body), "body %u", i);
		submit(w, i);
	} else if (i < w->n_asks && a->key && pf_rng_below(&w->rng, 3) == 0) {
		submit(w, i);
	} else if (i < w->n_asks && a->id[0]) {
		fetch(w, i, pf_rng_below(&w->rng, 12) == 0);
	}
}

static size_t rows_left(struct world *w, const char *prefix)
{
	struct pf_table_row rows[256];
	bool more;

	return fake_table_scan(w->table, pf_str_c(prefix), (struct pf_str){ 0 },
			       rows, 256, &more);
}

static void run_calm(struct world *w, int steps)
{
	for (int i = 0; i < steps && !w->r->violations; i++) {
		if (w->n_ops)
			store_acts(w, 0);
		else
			clock_acts(w, 20);
	}
}

/* Faults end: all arrives, is fetched, and is forgotten in time. */
static void settle(struct world *w)
{
	memset(w->paused, 0, sizeof(w->paused));
	while (w->n_late)
		late_acts(w);
	run_calm(w, 20000);
	if (rows_left(w, "draft/open/"))
		fuzz_violation(w->r, "a draft is never finished");
	for (uint32_t i = 0; i < w->n_asks; i++) {
		if (w->asks[i].open)
			fuzz_violation(w->r, "an ask has no outcome");
		if (w->asks[i].id[0])
			fetch(w, i, false);
	}
	run_calm(w, 1000);
	w->now += KEEP_MS;
	run_calm(w, 20000);
	if (rows_left(w, "draft/"))
		fuzz_violation(w->r, "rows are kept for ever");
}

void fuzz_draft(uint64_t seed, uint32_t steps_max, struct fuzz_result *r)
{
	struct world *w = g_new0(struct world, 1);

	w->r = r;
	w->now = 1000;
	pf_rng_seed(&w->rng, seed);
	w->table = fake_table_new();
	w->objects =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	w->drafts = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					  draft_free);
	for (int i = 0; i < CORES; i++)
		core_start(w, i);
	for (uint32_t i = 0; i < steps_max && !r->violations; i++) {
		uint32_t draw = pf_rng_below(&w->rng, 100);

		r->steps++;
		if (draw < 8)
			caller_acts(w);
		else if (draw < 75)
			store_acts(w, 8);
		else if (draw < 78)
			late_acts(w);
		else if (draw < 79)
			core_dies(w);
		else if (draw < 80)
			w->outage = pf_rng_below(&w->rng, 40);
		else if (draw < 82)
			w->paused[pf_rng_below(&w->rng, CORES)] ^= true;
		else
			clock_acts(w, 1 + (pf_ms)pf_rng_below(&w->rng, 300));
	}
	settle(w);
	for (int i = 0; i < CORES; i++)
		pf_draft_free(w->cores[i]);
	while (w->n_ops)
		op_free(&w->ops[--w->n_ops]);
	while (w->n_late)
		op_free(&w->late[--w->n_late]);
	g_hash_table_destroy(w->drafts);
	g_hash_table_destroy(w->objects);
	fake_table_free(w->table);
	g_free(w);
}
