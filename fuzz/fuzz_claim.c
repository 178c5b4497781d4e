/*
 * Fuzzes the claim core: agents pause, restart and drain; the table is slow,
 * rate limited, down or loses replies. No key may run twice and a stored
 * answer must be that of the run. After the faults each shard must have one
 * owner, which replies once to a request for any key.
 */
#include "fuzz/fake_table.h"
#include "fuzz/fuzz.h"
#include "pimentoford/claim.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#define AGENTS 3
#define KEYS 60
#define SHARDS 8
#define SCAN_ROWS_MAX 200
#define SETTLE_MS 60000

/* A table operation that executes or replies, or a run that ends. */
enum event_type { EV_EXECUTE, EV_REPLY, EV_RUN_END };

struct event {
	pf_ms due;
	uint64_t order;
	enum event_type type;
	uint32_t agent;
	uint64_t incarnation;
	uint64_t op;
	struct pf_table_txn *txn; /* NULL: a scan */
	char *prefix;
	char *after;
	uint32_t limit; /* EXECUTE: rows of the scan; RUN_END: 1 if voided */
	uint64_t key; /* RUN_END */
	/* REPLY: the result. */
	enum pf_table_status status;
	uint32_t failed;
	uint64_t revision;
	GArray *rows; /* of struct pf_table_row, deep copies */
	bool more;
};

/* Ground truth of one key. */
struct key_truth {
	uint64_t key;
	uint32_t runs;
	uint32_t requests;
	bool stored;
	char answer[32];
};

struct world;

struct sim_agent {
	struct world *w;
	struct pf_claim *core;
	uint64_t incarnation;
	pf_ms paused_until;
	bool leaving;
	bool superseded;
};

struct world {
	struct pf_rng rng;
	struct fuzz_result *r;
	struct fake_table *table;
	struct sim_agent agents[AGENTS];
	struct key_truth keys[KEYS];
	GPtrArray *events;
	uint64_t next_order;
	uint64_t next_request;
	pf_ms now;
	pf_ms table_down_until;
	bool faults_over;
	uint32_t replies;
};

static void agent_step(struct world *w, uint32_t i,
		       const struct pf_claim_msg *m);

static void event_free(struct event *e)
{
	if (e->txn)
		fake_txn_free(e->txn);
	for (guint i = 0; e->rows && i < e->rows->len; i++) {
		struct pf_table_row *r =
			&g_array_index(e->rows, struct pf_table_row, i);

		free((char *)r->key.p);
		free((char *)r->value.p);
	}
	if (e->rows)
		g_array_free(e->rows, TRUE);
	g_free(e->prefix);
	g_free(e->after);
	g_free(e);
}

static struct event *event_add(struct world *w, enum event_type type,
			       uint32_t agent, pf_ms delay)
{
	struct event *e = g_new0(struct event, 1);

	e->type = type;
	e->agent = agent;
	e->incarnation = w->agents[agent].incarnation;
	e->due = w->now + delay;
	e->order = w->next_order++;
	g_ptr_array_add(w->events, e);
	return e;
}

static struct key_truth *find_truth(struct world *w, uint64_t key)
{
	for (int i = 0; i < KEYS; i++)
		if (w->keys[i].key == key)
			return &w->keys[i];
	return NULL;
}

/* A granted run starts now, or never starts and is voided. */
static void run_granted(struct world *w, uint32_t agent, uint64_t key)
{
	struct key_truth *t = find_truth(w, key);
	struct event *e =
		event_add(w, EV_RUN_END, agent, 1 + pf_rng_below(&w->rng, 200));

	e->key = key;
	e->limit = pf_rng_below(&w->rng, 8) == 0; /* 1: voided */
	if (e->limit)
		return;
	if (t->runs++)
		fuzz_violation(w->r, "key %llx ran twice",
			       (unsigned long long)key);
	snprintf(t->answer, sizeof(t->answer), "ans%llx",
		 (unsigned long long)key);
}

static void check_reply(struct world *w, const struct pf_claim_act *a)
{
	struct key_truth *t = find_truth(w, a->u.reply.key);

	w->replies++;
	if (a->u.reply.granted || a->u.reply.reason != PF_REASON_NONE)
		return;
	if (t->runs == 0 || !pf_str_eq(a->u.reply.answer, pf_str_c(t->answer)))
		fuzz_violation(w->r, "key %llx: wrong stored answer",
			       (unsigned long long)t->key);
}

/* Schedules a table operation; its reply or its effect may be lost. */
static void schedule_table_op(struct world *w, uint32_t agent, struct event *e)
{
	bool down = !w->faults_over && w->now < w->table_down_until;
	uint32_t roll = w->faults_over ? 99 : pf_rng_below(&w->rng, 100);
	struct event *lost;

	e->due = w->now + 1 + pf_rng_below(&w->rng, down ? 4000 : 30);
	e->status = PF_TABLE_OK;
	if (roll < 10 || down) {
		/* UNKNOWN is reported before, after or without the effect. */
		lost = event_add(w, EV_REPLY, agent,
				 500 + pf_rng_below(&w->rng, 1000));
		lost->op = e->op;
		lost->status = PF_TABLE_UNKNOWN;
		lost->txn = e->txn ? fake_txn_copy(e->txn) : NULL;
		e->op = 0;
		if (roll % 3 == 0)
			e->status = PF_TABLE_UNKNOWN; /* never executes */
	} else if (roll < 15) {
		e->status = PF_TABLE_LIMITED;
	}
}

static void on_act(void *ctx, const struct pf_claim_act *a)
{
	struct sim_agent *s = ctx;
	struct world *w = s->w;
	uint32_t i = (uint32_t)(s - w->agents);
	struct event *e;

	switch (a->type) {
	case PF_CLAIM_REPLY:
		check_reply(w, a);
		if (a->u.reply.granted)
			run_granted(w, i, a->u.reply.key);
		break;
	case PF_CLAIM_TXN:
		e = event_add(w, EV_EXECUTE, i, 0);
		e->op = a->u.txn.op;
		e->txn = fake_txn_copy(&a->u.txn.txn);
		schedule_table_op(w, i, e);
		break;
	case PF_CLAIM_SCAN:
		e = event_add(w, EV_EXECUTE, i, 0);
		e->op = a->u.scan.op;
		e->prefix = g_strndup(a->u.scan.prefix.p, a->u.scan.prefix.n);
		e->after = g_strndup(a->u.scan.after.p, a->u.scan.after.n);
		e->limit = a->u.scan.limit;
		schedule_table_op(w, i, e);
		break;
	case PF_CLAIM_SUPERSEDED:
		s->superseded = true;
		break;
	default:
		break;
	}
}

static void agent_start(struct world *w, uint32_t i)
{
	struct sim_agent *s = &w->agents[i];
	struct pf_claim_opts o;

	pf_claim_opts_default(&o);
	o.service = "retire";
	o.agent = 100 + i;
	o.incarnation = ++s->incarnation;
	o.seed = pf_rng_below(&w->rng, 1u << 30);
	o.shards = SHARDS;
	o.keys_max = 256;
	o.waiters_max = 64;
	o.agents_max = 8;
	o.past_owners_max = 48;
	o.batch_max = 4;
	o.writes_per_s = 100;
	o.retention = 3600 * 1000;
	pf_claim_free(s->core);
	s->core = pf_claim_new(&o);
	s->w = w;
	s->paused_until = 0;
	s->leaving = false;
	s->superseded = false;
}

static void agent_step(struct world *w, uint32_t i,
		       const struct pf_claim_msg *m)
{
	struct pf_claim_sink sink = { on_act, &w->agents[i] };

	pf_claim_step(w->agents[i].core, w->now, m, &sink);
}

static void execute_op(struct world *w, struct event *e)
{
	struct event *reply;
	struct pf_table_row rows[SCAN_ROWS_MAX];

	if (e->status == PF_TABLE_UNKNOWN)
		return;
	reply = event_add(w, EV_REPLY, e->agent, pf_rng_below(&w->rng, 20));
	reply->incarnation = e->incarnation;
	reply->op = e->op;
	reply->status = e->status;
	if (e->status == PF_TABLE_LIMITED) {
		reply->txn = e->txn ? fake_txn_copy(e->txn) : NULL;
		return;
	}
	if (e->txn) {
		reply->status = fake_table_txn(w->table, e->txn, &reply->failed,
					       &reply->revision);
		reply->txn = fake_txn_copy(e->txn);
		return;
	}
	reply->rows = g_array_new(FALSE, FALSE, sizeof(struct pf_table_row));
	g_array_append_vals(reply->rows, rows,
			    (guint)fake_table_scan(w->table,
						   pf_str_c(e->prefix),
						   pf_str_c(e->after), rows,
						   MIN(e->limit, SCAN_ROWS_MAX),
						   &reply->more));
	for (guint i = 0; i < reply->rows->len; i++) {
		struct pf_table_row *r =
			&g_array_index(reply->rows, struct pf_table_row, i);

		r->key.p = pf_str_dup(r->key);
		r->value.p = pf_str_dup(r->value);
	}
}

static void deliver_reply(struct world *w, struct event *e)
{
	struct sim_agent *s = &w->agents[e->agent];
	struct pf_claim_msg m = { 0 };

	if (e->op == 0 || e->incarnation != s->incarnation)
		return;
	if (e->txn) {
		m.type = PF_CLAIM_TXN_DONE;
		m.u.txn.op = e->op;
		m.u.txn.status = e->status;
		m.u.txn.failed_check = e->failed;
		m.u.txn.revision = e->revision;
	} else {
		m.type = PF_CLAIM_SCAN_DONE;
		m.u.scan.op = e->op;
		m.u.scan.status = e->status;
		m.u.scan.rows = e->rows ? (void *)e->rows->data : NULL;
		m.u.scan.n_rows = e->rows ? e->rows->len : 0;
		m.u.scan.more = e->more;
	}
	agent_step(w, e->agent, &m);
}

static void run_end(struct world *w, struct event *e)
{
	struct sim_agent *s = &w->agents[e->agent];
	struct key_truth *t = find_truth(w, e->key);
	struct pf_claim_msg m = { 0 };

	if (e->incarnation != s->incarnation)
		return;
	m.type = PF_CLAIM_RESULT;
	m.u.result.key = e->key;
	m.u.result.answer = pf_str_c(t->answer);
	if (e->limit || pf_rng_below(&w->rng, 10) == 0) {
		m.type = e->limit ? PF_CLAIM_VOID : PF_CLAIM_RUN_LOST;
		m.u.key = e->key;
	}
	agent_step(w, e->agent, &m);
}

/* Takes the next event due by @until; a paused agent gets its own later. */
static struct event *take_event(struct world *w, pf_ms until)
{
	struct event *best = NULL;
	guint index = 0;

	for (guint i = 0; i < w->events->len; i++) {
		struct event *e = g_ptr_array_index(w->events, i);
		pf_ms resumed_at = w->agents[e->agent].paused_until;

		/* The table executes operations of paused agents. */
		if (e->type != EV_EXECUTE && e->due < resumed_at)
			e->due = resumed_at;
		if (e->due > until)
			continue;
		if (!best || e->due < best->due ||
		    (e->due == best->due && e->order < best->order)) {
			best = e;
			index = i;
		}
	}
	if (best)
		g_ptr_array_remove_index(w->events, index);
	return best;
}

static void tick_agents(struct world *w)
{
	struct pf_claim_msg m = { .type = PF_CLAIM_TICK };

	for (uint32_t i = 0; i < AGENTS; i++)
		if (w->now >= w->agents[i].paused_until &&
		    pf_claim_next(w->agents[i].core) <= w->now)
			agent_step(w, i, &m);
}

static void advance(struct world *w, pf_ms by)
{
	pf_ms until = w->now + by;

	while (w->now < until) {
		pf_ms slice = MIN(w->now + 25, until);
		struct event *e;

		while ((e = take_event(w, slice))) {
			w->now = MAX(w->now, e->due);
			if (e->type == EV_EXECUTE)
				execute_op(w, e);
			else if (e->type == EV_REPLY)
				deliver_reply(w, e);
			else
				run_end(w, e);
			event_free(e);
		}
		w->now = slice;
		tick_agents(w);
	}
}

static void send_request(struct world *w, uint32_t i, uint64_t key)
{
	struct pf_claim_msg m = { .type = PF_CLAIM_REQUEST };

	m.u.request.id.request = ++w->next_request;
	m.u.request.id.attempt = 1;
	m.u.request.key = key;
	m.u.request.fingerprint = key;
	agent_step(w, i, &m);
	if (pf_rng_below(&w->rng, 10) == 0) {
		struct pf_claim_msg f = { .type = PF_CLAIM_CANCEL };

		f.u.id = m.u.request.id;
		agent_step(w, i, &f);
	}
}

static void random_command(struct world *w)
{
	uint32_t i = pf_rng_below(&w->rng, AGENTS);
	struct sim_agent *s = &w->agents[i];
	struct pf_claim_msg drain = { .type = PF_CLAIM_DRAIN };
	uint32_t roll = pf_rng_below(&w->rng, 100);

	if (roll < 70) {
		struct key_truth *t = &w->keys[pf_rng_below(&w->rng, KEYS)];

		for (uint32_t a = 0; a < AGENTS; a++)
			if (w->now >= w->agents[a].paused_until &&
			    pf_rng_below(&w->rng, 2))
				send_request(w, a, t->key);
	} else if (roll < 76) {
		s->paused_until = w->now + pf_rng_below(&w->rng, 15000);
	} else if (roll < 80) {
		agent_start(w, i);
	} else if (roll < 82) {
		s->leaving = true;
		agent_step(w, i, &drain);
	} else if (roll < 85) {
		w->table_down_until = w->now + pf_rng_below(&w->rng, 10000);
	} else {
		advance(w, pf_rng_below(&w->rng, 3000));
	}
	advance(w, pf_rng_below(&w->rng, 60));
}

/* After the faults each shard must have one owner. */
static void check_liveness(struct world *w)
{
	w->faults_over = true;
	for (uint32_t i = 0; i < AGENTS; i++) {
		w->agents[i].paused_until = 0;
		if (w->agents[i].leaving || w->agents[i].superseded)
			agent_start(w, i);
	}
	advance(w, SETTLE_MS);
	for (uint32_t s = 0; s < SHARDS; s++) {
		int owners = 0;

		for (uint32_t i = 0; i < AGENTS; i++)
			owners += pf_claim_owns(w->agents[i].core, s);
		if (owners != 1)
			fuzz_violation(w->r, "shard %u has %d owners", s,
				       owners);
	}
}

/* The owner must reply exactly once to a request for each key. */
static void check_replies(struct world *w)
{
	for (int k = 0; k < KEYS; k++) {
		struct key_truth *t = &w->keys[k];
		uint32_t before = w->replies;

		for (uint32_t a = 0; a < AGENTS; a++) {
			struct pf_claim_msg m = { .type = PF_CLAIM_REQUEST };

			if (!pf_claim_owns(w->agents[a].core,
					   pf_claim_shard(t->key, SHARDS)))
				continue;
			m.u.request.id.request = ++w->next_request;
			m.u.request.key = t->key;
			m.u.request.fingerprint = t->key;
			agent_step(w, a, &m);
		}
		advance(w, 2000);
		if (w->replies != before + 1)
			fuzz_violation(w->r,
				       "key %d: %u replies to one request", k,
				       w->replies - before);
	}
}

void fuzz_claim(uint64_t seed, uint32_t steps_max, struct fuzz_result *r)
{
	struct world w = { 0 };

	pf_rng_seed(&w.rng, seed);
	w.r = r;
	w.now = 1000000;
	w.table = fake_table_new();
	w.events = g_ptr_array_new();
	for (int i = 0; i < KEYS; i++)
		w.keys[i].key = pf_id2(seed, (uint64_t)i);
	for (uint32_t i = 0; i < AGENTS; i++)
		agent_start(&w, i);
	advance(&w, 5000);
	for (uint32_t i = 0; i < steps_max && !r->violations; i++) {
		random_command(&w);
		r->steps++;
	}
	check_liveness(&w);
	check_replies(&w);
	for (uint32_t i = 0; i < AGENTS; i++)
		pf_claim_free(w.agents[i].core);
	for (guint i = 0; i < w.events->len; i++)
		event_free(g_ptr_array_index(w.events, i));
	g_ptr_array_free(w.events, TRUE);
	fake_table_free(w.table);
}
