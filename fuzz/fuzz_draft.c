/*
 * Fuzzes the draft cores of three entries over one table and one object store
 * that lose, delay and refuse requests; entries crash and pause. The oracle: an
 * accepted draft is finished once, has one answer and can be fetched until its
 * retention ends; a refused one never runs.
 */
#include "fuzz/fake_table.h"
#include "fuzz/fuzz.h"
#include "pimentoford/draft.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#define CORES 3
#define SUBMISSIONS_MAX 24
#define TICKETS_MAX 512
#define OPS_MAX 4096
#define RETENTION_MS 900000

/* Submitted once or, with a key, repeatedly. */
struct submission {
	uint64_t caller;
	uint64_t idem_key; /* 0: none */
	char body[32];
	char id[PF_DRAFT_ID_MAX]; /* "" until accepted */
	int pending; /* tickets without an outcome */
	bool may_run; /* accepted, or its outcome is unknown */
	bool cancels; /* unused */
};

struct ticket {
	uint32_t submission;
	int core; /* -1: has its outcome, or its entry crashed */
	bool fetch; /* fetch or cancel, else submit */
	bool cancel; /* unused */
};

struct finished_draft {
	char id[PF_DRAFT_ID_MAX];
	char *answer; /* NULL: cancelled */
	pf_ms expiry;
};

/* Owns its strings. */
struct op {
	int core;
	enum pf_draft_act_type type;
	uint64_t seq;
	struct pf_table_txn *txn;
	char *name; /* or key, prefix, id */
	char *body; /* or scan's `after` */
	uint32_t limit;
};

struct world {
	struct fuzz_result *result;
	struct pf_rng rng;
	struct fake_table *table;
	GHashTable *objects;
	struct pf_draft *cores[CORES];
	struct pf_draft_sink sinks[CORES];
	struct sink_ctx {
		struct world *w;
		int core;
	} sink_ctx[CORES];
	bool paused[CORES];
	struct op ops[OPS_MAX]; /* without a reply yet */
	size_t n_ops;
	struct op late_writes[OPS_MAX]; /* in flight, reply lost */
	size_t n_late_writes;
	struct submission submissions[SUBMISSIONS_MAX];
	uint32_t n_submissions;
	struct ticket tickets[TICKETS_MAX];
	uint32_t n_tickets;
	GHashTable *finished; /* finished or cancelled, by id */
	uint64_t n_starts; /* of cores */
	uint32_t n_runs;
	uint32_t outage_requests; /* that the stores fail from now on */
	pf_ms now;
};

static char *str_copy(struct pf_str s)
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

static void finished_draft_free(void *p)
{
	struct finished_draft *d = p;

	g_free(d->answer);
	g_free(d);
}

static bool str_is(struct pf_str s, const char *text)
{
	return pf_str_eq(s, pf_str_c(text));
}

static void check_submit_reply(struct world *w, struct submission *sub,
			       const struct pf_draft_act *act)
{
	enum pf_draft_outcome o = act->u.reply.outcome;

	sub->pending--;
	if (o == PF_DRAFT_OUTCOME_ACCEPTED) {
		if (sub->id[0] && !str_is(act->u.reply.id, sub->id))
			fuzz_violation(w->result, "two drafts with one key");
		memcpy(sub->id, act->u.reply.id.p, act->u.reply.id.n);
		sub->may_run = true;
	} else if (o == PF_DRAFT_OUTCOME_UNKNOWN) {
		sub->may_run = true;
	} else if (o != PF_DRAFT_OUTCOME_UNAVAILABLE &&
		   o != PF_DRAFT_OUTCOME_TOO_MANY) {
		fuzz_violation(w->result, "submission ended with outcome %d",
			       (int)o);
	}
}

static void check_fetch_reply(struct world *w, const struct submission *sub,
			      const struct pf_draft_act *act)
{
	const struct finished_draft *d =
		g_hash_table_lookup(w->finished, sub->id);

	switch (act->u.reply.outcome) {
	case PF_DRAFT_OUTCOME_ANSWER:
		if (!d || !d->answer || !str_is(act->u.reply.body, d->answer))
			fuzz_violation(w->result,
				       "fetched a wrong answer of draft %s",
				       sub->id);
		break;
	case PF_DRAFT_OUTCOME_NOT_FOUND:
		if (!d || w->now < d->expiry)
			fuzz_violation(w->result, "draft %s not found",
				       sub->id);
		break;
	case PF_DRAFT_OUTCOME_CANCELLED:
		if (!d || d->answer)
			fuzz_violation(w->result,
				       "draft %s reported as cancelled",
				       sub->id);
		break;
	default:
		break;
	}
}

static void on_reply(struct world *w, const struct pf_draft_act *act)
{
	struct ticket *t = &w->tickets[act->u.reply.ticket];

	if (t->core < 0)
		fuzz_violation(w->result, "two replies to one ticket");
	t->core = -1;
	if (t->fetch)
		check_fetch_reply(w, &w->submissions[t->submission], act);
	else
		check_submit_reply(w, &w->submissions[t->submission], act);
}

static void check_run(struct world *w, const struct pf_draft_act *act)
{
	for (uint32_t i = 0; i < w->n_submissions; i++) {
		struct submission *sub = &w->submissions[i];

		if (str_is(act->u.run.body, sub->body) && !sub->may_run &&
		    !sub->pending)
			fuzz_violation(w->result, "%s runs after a refusal",
				       sub->body);
	}
}

static void on_act(void *ctx, const struct pf_draft_act *act)
{
	struct sink_ctx *c = ctx;
	struct world *w = c->w;
	struct op op = { .core = c->core, .type = act->type, .seq = act->seq };

	switch (act->type) {
	case PF_DRAFT_REPLY:
		on_reply(w, act);
		return;
	case PF_DRAFT_RUN_CANCEL:
		return;
	case PF_DRAFT_TXN:
		op.txn = fake_txn_copy(&act->u.txn);
		break;
	case PF_DRAFT_ROW_GET:
		op.name = str_copy(act->u.key);
		break;
	case PF_DRAFT_ROW_SCAN:
		op.name = str_copy(act->u.scan.prefix);
		op.body = str_copy(act->u.scan.after);
		op.limit = act->u.scan.limit;
		break;
	case PF_DRAFT_RUN:
		check_run(w, act);
		op.name = str_copy(act->u.run.id);
		op.body = str_copy(act->u.run.body);
		break;
	default:
		op.name = str_copy(act->u.object.name);
		op.body = str_copy(act->u.object.body);
		break;
	}
	PF_INVARIANT("queue of requests not full", w->n_ops < OPS_MAX);
	w->ops[w->n_ops++] = op;
}

static void step(struct world *w, int core, struct pf_draft_msg *m)
{
	pf_draft_step(w->cores[core], w->now, m, &w->sinks[core]);
}

/* A done row must be the first of its draft, with its answer stored. */
static void check_finish(struct world *w, const struct pf_table_put *p)
{
	struct finished_draft *d = g_new0(struct finished_draft, 1);
	char *value = str_copy(p->value), *name;
	unsigned int epoch, status;
	long long expiry;

	memcpy(d->id, p->key.p + 11, p->key.n - 11);
	if (sscanf(value, "%*s %*s %*s %*s %u %u %lld", &epoch, &status,
		   &expiry) != 3)
		fuzz_violation(w->result, "done row of draft %s is malformed",
			       d->id);
	d->expiry = expiry;
	name = g_strdup_printf("draft-%s-answer-%u", d->id, epoch);
	if (status)
		d->answer = g_strdup(g_hash_table_lookup(w->objects, name));
	if (status && !d->answer)
		fuzz_violation(w->result, "draft %s finished without an answer",
			       d->id);
	if (g_hash_table_lookup(w->finished, d->id))
		fuzz_violation(w->result, "draft %s finished twice", d->id);
	g_hash_table_replace(w->finished, d->id, d);
	g_free(name);
	g_free(value);
}

static enum pf_table_status apply_txn(struct world *w, const struct op *op,
				      uint64_t *revision)
{
	enum pf_table_status st;
	uint32_t failed;

	st = fake_table_txn(w->table, op->txn, &failed, revision);
	for (size_t i = 0; st == PF_TABLE_OK && i < op->txn->n_puts; i++)
		if (strncmp(op->txn->puts[i].key.p, "draft/done/", 11) == 0)
			check_finish(w, &op->txn->puts[i]);
	return st;
}

static enum pf_table_status apply_write(struct world *w, const struct op *op,
					uint64_t *revision)
{
	if (op->type == PF_DRAFT_TXN)
		return apply_txn(w, op, revision);
	if (op->type == PF_DRAFT_OBJECT_PUT)
		g_hash_table_replace(w->objects, g_strdup(op->name),
				     g_strdup(op->body));
	else
		g_hash_table_remove(w->objects, op->name);
	return PF_TABLE_OK;
}

static void reply_rows(struct world *w, const struct op *op, bool lost)
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

static void reply_object(struct world *w, const struct op *op, bool lost)
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

static void reply_run(struct world *w, const struct op *op, bool fault)
{
	struct pf_draft_msg m = { .type = PF_DRAFT_RUN_DONE, .seq = op->seq };
	char text[64];

	snprintf(text, sizeof(text), "answer %u to %s", ++w->n_runs, op->body);
	m.u.run.final = !fault;
	m.u.run.status = 200;
	m.u.run.body = pf_str_c(text);
	step(w, op->core, &m);
}

/* With a fault, the write is applied, refused, delayed or lost. */
static void reply_write(struct world *w, struct op *op, bool fault)
{
	struct pf_draft_msg m = { .seq = op->seq };
	enum pf_table_status st = PF_TABLE_UNKNOWN;
	uint32_t outcome = pf_rng_below(&w->rng, 4);
	uint64_t revision = 0;

	if (!fault)
		st = apply_write(w, op, &revision);
	else if (outcome == 0)
		apply_write(w, op, &revision);
	else if (outcome == 1 && op->type == PF_DRAFT_TXN)
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
	if (fault && outcome == 2 && w->n_late_writes < OPS_MAX) {
		w->late_writes[w->n_late_writes++] = *op;
		memset(op, 0, sizeof(*op));
	}
}

/* Replies to one request; one in @odds has a fault, 0: none. */
static void step_store(struct world *w, uint32_t odds)
{
	bool fault = odds &&
		     (w->outage_requests || pf_rng_below(&w->rng, odds) == 0);
	size_t i;
	struct op op;

	if (!w->n_ops)
		return;
	i = pf_rng_below(&w->rng, (uint32_t)w->n_ops);
	if (w->paused[w->ops[i].core])
		return;
	op = w->ops[i];
	w->ops[i] = w->ops[--w->n_ops];
	w->outage_requests -= w->outage_requests > 0;
	if (op.type == PF_DRAFT_ROW_GET || op.type == PF_DRAFT_ROW_SCAN)
		reply_rows(w, &op, fault);
	else if (op.type == PF_DRAFT_OBJECT_GET)
		reply_object(w, &op, fault);
	else if (op.type == PF_DRAFT_RUN)
		reply_run(w, &op, fault);
	else
		reply_write(w, &op, fault);
	op_free(&op);
}

static void apply_late_write(struct world *w)
{
	uint64_t revision;
	size_t i;

	if (!w->n_late_writes)
		return;
	i = pf_rng_below(&w->rng, (uint32_t)w->n_late_writes);
	apply_write(w, &w->late_writes[i], &revision);
	op_free(&w->late_writes[i]);
	w->late_writes[i] = w->late_writes[--w->n_late_writes];
}

static void advance_clock(struct world *w, pf_ms by)
{
	struct pf_draft_msg m = { .type = PF_DRAFT_TICK };

	w->now += by;
	for (int i = 0; i < CORES; i++)
		if (!w->paused[i] && pf_draft_next(w->cores[i]) <= w->now)
			step(w, i, &m);
}

static int start_core(struct world *w, int i)
{
	struct pf_draft_opts o;

	pf_draft_opts_default(&o);
	o.seed = pf_id2(w->rng.state[0], ++w->n_starts);
	o.holder = w->n_starts;
	o.jobs_max = 16;
	o.runs_max = 8;
	o.scan_limit = 4;
	o.renew_batch_max = 3;
	o.scan_interval = 50;
	o.caller_timeout = 2500;
	o.lease = 3000;
	o.retention = RETENTION_MS;
	o.caller_open_max = 6;
	w->cores[i] = pf_draft_new(&o);
	w->sink_ctx[i] = (struct sink_ctx){ w, i };
	w->sinks[i] = (struct pf_draft_sink){ on_act, &w->sink_ctx[i] };
	return w->cores[i] ? 0 : -1;
}

/* Writes in flight may still be applied. */
static void crash_core(struct world *w)
{
	int core = (int)pf_rng_below(&w->rng, CORES);
	size_t kept = 0;

	for (size_t i = 0; i < w->n_ops; i++) {
		struct op *op = &w->ops[i];

		if (op->core != core)
			w->ops[kept++] = *op;
		else if ((op->type == PF_DRAFT_TXN ||
			  op->type == PF_DRAFT_OBJECT_PUT) &&
			 w->n_late_writes < OPS_MAX)
			w->late_writes[w->n_late_writes++] = *op;
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
			w->submissions[t->submission].pending--;
			w->submissions[t->submission].may_run = true;
		}
	}
	pf_draft_free(w->cores[core]);
	w->paused[core] = false;
	if (start_core(w, core) < 0)
		fuzz_violation(w->result, "no memory");
}

static struct ticket *ticket_new(struct world *w, uint32_t submission)
{
	struct ticket *t = &w->tickets[w->n_tickets];

	*t = (struct ticket){ .submission = submission };
	do {
		t->core = (int)pf_rng_below(&w->rng, CORES);
	} while (w->paused[t->core]);
	w->n_tickets++;
	return t;
}

static void submit(struct world *w, uint32_t i)
{
	struct pf_draft_msg m = { .type = PF_DRAFT_SUBMIT };
	struct submission *sub = &w->submissions[i];

	m.u.submit.ticket = w->n_tickets;
	m.u.submit.caller = sub->caller;
	m.u.submit.idem_key = sub->idem_key;
	m.u.submit.body = pf_str_c(sub->body);
	sub->pending++;
	step(w, ticket_new(w, i)->core, &m);
}

static void fetch(struct world *w, uint32_t i, bool cancel)
{
	struct pf_draft_msg m = { .type = cancel ? PF_DRAFT_CANCEL
						 : PF_DRAFT_FETCH };
	struct ticket *t;

	m.u.fetch.ticket = w->n_tickets;
	m.u.fetch.caller = w->submissions[i].caller;
	m.u.fetch.id = pf_str_c(w->submissions[i].id);
	t = ticket_new(w, i);
	t->fetch = true;
	step(w, t->core, &m);
}

static bool all_paused(const struct world *w)
{
	return w->paused[0] && w->paused[1] && w->paused[2];
}

static void step_caller(struct world *w)
{
	uint32_t i = pf_rng_below(&w->rng, SUBMISSIONS_MAX);
	struct submission *sub = &w->submissions[i];

	if (w->n_tickets >= TICKETS_MAX - SUBMISSIONS_MAX || all_paused(w))
		return;
	if (i >= w->n_submissions && w->n_submissions < SUBMISSIONS_MAX) {
		i = w->n_submissions++;
		sub = &w->submissions[i];
		sub->caller = 1 + pf_rng_below(&w->rng, 3);
		sub->idem_key = pf_rng_below(&w->rng, 2) ? 100 + i : 0;
		snprintf(sub->body, sizeof(sub->body), "body %u", i);
		submit(w, i);
	} else if (i < w->n_submissions && sub->idem_key &&
		   pf_rng_below(&w->rng, 3) == 0) {
		submit(w, i);
	} else if (i < w->n_submissions && sub->id[0]) {
		fetch(w, i, pf_rng_below(&w->rng, 12) == 0);
	}
}

static size_t count_rows(struct world *w, const char *prefix)
{
	struct pf_table_row rows[256];
	bool more;

	return fake_table_scan(w->table, pf_str_c(prefix), (struct pf_str){ 0 },
			       rows, 256, &more);
}

static void run_without_faults(struct world *w, int steps)
{
	for (int i = 0; i < steps && !w->result->violations; i++) {
		if (w->n_ops)
			step_store(w, 0);
		else
			advance_clock(w, 20);
	}
}

/*
 * Without further faults, each draft is finished, fetched and deleted after its
 * retention.
 */
static void settle(struct world *w)
{
	memset(w->paused, 0, sizeof(w->paused));
	while (w->n_late_writes)
		apply_late_write(w);
	run_without_faults(w, 20000);
	if (count_rows(w, "draft/open/"))
		fuzz_violation(w->result, "open drafts are left");
	for (uint32_t i = 0; i < w->n_submissions; i++) {
		if (w->submissions[i].pending)
			fuzz_violation(w->result,
				       "a submission has no outcome");
		if (w->submissions[i].id[0])
			fetch(w, i, false);
	}
	run_without_faults(w, 1000);
	w->now += RETENTION_MS;
	run_without_faults(w, 20000);
	if (count_rows(w, "draft/"))
		fuzz_violation(w->result, "rows are left after the retention");
}

void fuzz_draft(uint64_t seed, uint32_t steps_max, struct fuzz_result *r)
{
	struct world *w = g_new0(struct world, 1);

	w->result = r;
	w->now = 1000;
	pf_rng_seed(&w->rng, seed);
	w->table = fake_table_new();
	w->objects =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	w->finished = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					    finished_draft_free);
	for (int i = 0; i < CORES; i++)
		start_core(w, i);
	for (uint32_t i = 0; i < steps_max && !r->violations; i++) {
		uint32_t draw = pf_rng_below(&w->rng, 100);

		r->steps++;
		if (draw < 8)
			step_caller(w);
		else if (draw < 75)
			step_store(w, 8);
		else if (draw < 78)
			apply_late_write(w);
		else if (draw < 79)
			crash_core(w);
		else if (draw < 80)
			w->outage_requests = pf_rng_below(&w->rng, 40);
		else if (draw < 82)
			w->paused[pf_rng_below(&w->rng, CORES)] ^= true;
		else
			advance_clock(w, 1 + (pf_ms)pf_rng_below(&w->rng, 300));
	}
	settle(w);
	for (int i = 0; i < CORES; i++)
		pf_draft_free(w->cores[i]);
	while (w->n_ops)
		op_free(&w->ops[--w->n_ops]);
	while (w->n_late_writes)
		op_free(&w->late_writes[--w->n_late_writes]);
	g_hash_table_destroy(w->finished);
	g_hash_table_destroy(w->objects);
	fake_table_free(w->table);
	g_free(w);
}
