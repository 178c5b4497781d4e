/*
 * Runs the claim core for a plain service: executes its transactions and scans
 * on the table and passes its replies to the agent core.
 */
#include "daemon.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/** A requested or granted claim whose run has not ended. */
struct claim_try {
	struct pf_try id;
	uint64_t key;
	bool granted;
};

/** A transaction or scan in flight. */
struct claim_op {
	struct claims *c;
	uint64_t op;
	uint32_t limit; /* scan: maximum number of rows */
	uint32_t n_check_keys;
	char **check_keys; /* keys of the checks, to find a failed one */
};

struct claims {
	struct daemon *d;
	struct pf_claim *core;
	struct event *timer;
	struct claim_try *tries;
	uint32_t n_tries;
	uint32_t tries_capacity;
	uint32_t n_shards;
	struct pf_item *owned_shards; /* for reports; capacity n_shards */
	uint32_t n_owned_shards;
	uint64_t service;
	bool drained;
};

static void step_core(struct claims *c, const struct pf_claim_msg *m);

static struct claim_try *find_try(struct claims *c, struct pf_try id)
{
	uint32_t i;

	for (i = 0; i < c->n_tries; i++) {
		if (c->tries[i].id.request == id.request &&
		    c->tries[i].id.attempt == id.attempt)
			return &c->tries[i];
	}
	return NULL;
}

static void remove_try(struct claims *c, struct claim_try *t)
{
	*t = c->tries[--c->n_tries];
}

static void op_free(struct claim_op *op)
{
	uint32_t i;

	for (i = 0; i < op->n_check_keys; i++)
		free(op->check_keys[i]);
	free(op->check_keys);
	free(op);
}

static uint32_t failed_check_index(const struct claim_op *op, struct pf_str key)
{
	uint32_t i;

	for (i = 0; i < op->n_check_keys; i++) {
		if (pf_str_eq(pf_str_c(op->check_keys[i]), key))
			return i;
	}
	return 0;
}

static void on_txn(void *ctx, const struct pf_table_txn_result *r)
{
	struct pf_claim_msg m = { .type = PF_CLAIM_TXN_DONE };
	struct claim_op *op = ctx;
	struct claims *c = op->c;

	m.u.txn.op = op->op;
	m.u.txn.status = r->status;
	m.u.txn.revision = r->revision;
	if (r->status == PF_TABLE_CONFLICT)
		m.u.txn.failed_check = failed_check_index(op, r->key);
	if (r->status != PF_TABLE_OK)
		c->d->counters.v[PF_AC_TABLE_ERRORS]++;
	op_free(op);
	step_core(c, &m);
}

static void on_scan(void *ctx, const struct pf_table_rows *r)
{
	struct pf_claim_msg m = { .type = PF_CLAIM_SCAN_DONE };
	struct claim_op *op = ctx;
	struct claims *c = op->c;

	m.u.scan.op = op->op;
	m.u.scan.status = r->status;
	m.u.scan.rows = r->rows;
	m.u.scan.n_rows = r->n;
	m.u.scan.more = r->n >= op->limit;
	op_free(op);
	step_core(c, &m);
}

/* The request could not be sent, so nothing was written or read. */
static void on_unsent_txn(evutil_socket_t fd, short what, void *ctx)
{
	static const struct pf_table_txn_result r = {
		.status = PF_TABLE_LIMITED
	};

	(void)fd;
	(void)what;
	on_txn(ctx, &r);
}

static void on_unsent_scan(evutil_socket_t fd, short what, void *ctx)
{
	static const struct pf_table_rows r = { .status = PF_TABLE_LIMITED };

	(void)fd;
	(void)what;
	on_scan(ctx, &r);
}

static void call_soon(struct claims *c, event_callback_fn fn,
		      struct claim_op *op)
{
	static const struct timeval no_delay;

	event_base_once(c->d->base, -1, EV_TIMEOUT, fn, op, &no_delay);
}

static int copy_check_keys(struct claim_op *op, const struct pf_table_txn *txn)
{
	size_t i;

	op->check_keys = calloc(txn->n_checks + 1, sizeof(*op->check_keys));
	if (!op->check_keys)
		return -1;
	for (i = 0; i < txn->n_checks; i++) {
		op->check_keys[i] = pf_str_dup(txn->checks[i].key);
		if (!op->check_keys[i])
			return -1;
		op->n_check_keys++;
	}
	return 0;
}

static struct claim_op *op_new(struct claims *c, uint64_t op)
{
	struct claim_op *o = calloc(1, sizeof(*o));

	PF_INVARIANT("a claim's table request has memory", o);
	o->c = c;
	o->op = op;
	return o;
}

static void start_txn(struct claims *c, const struct pf_claim_act *act)
{
	struct claim_op *op = op_new(c, act->u.txn.op);
	char id[64];

	snprintf(id, sizeof(id), "claim %llu",
		 (unsigned long long)act->u.txn.op);
	c->d->counters.v[PF_AC_TABLE_WRITES]++;
	if (copy_check_keys(op, &act->u.txn.txn) < 0 ||
	    pf_table_txn(c->d->table, id, &act->u.txn.txn, on_txn, op) < 0)
		call_soon(c, on_unsent_txn, op);
}

static void start_scan(struct claims *c, const struct pf_claim_act *act)
{
	struct claim_op *op = op_new(c, act->u.scan.op);

	op->limit = act->u.scan.limit;
	c->d->counters.v[PF_AC_TABLE_READS]++;
	if (pf_table_scan(c->d->table, act->u.scan.prefix, act->u.scan.after,
			  act->u.scan.limit, on_scan, op) < 0)
		call_soon(c, on_unsent_scan, op);
}

static void on_reply(struct claims *c, const struct pf_claim_act *act)
{
	struct pf_agent_msg m = { .type = PF_AGENT_CLAIMED };
	struct claim_try *t = find_try(c, act->u.reply.id);
	struct try_slot *s = tries_find(&c->d->tries, act->u.reply.id);

	if (t && act->u.reply.granted)
		t->granted = true;
	else if (t)
		remove_try(c, t);
	if (s && !act->u.reply.granted && act->u.reply.reason == PF_REASON_NONE)
		plain_decode_answer(s, act->u.reply.answer);
	m.u.claimed.id = act->u.reply.id;
	m.u.claimed.granted = act->u.reply.granted;
	m.u.claimed.reason = act->u.reply.reason;
	agent_enqueue(c->d, &m);
}

static void update_owned_shards(struct claims *c)
{
	uint32_t i;

	c->n_owned_shards = 0;
	for (i = 0; i < c->n_shards; i++) {
		if (!pf_claim_owns(c->core, i))
			continue;
		c->owned_shards[c->n_owned_shards].id =
			pf_claim_shard_id(c->service, i);
		c->owned_shards[c->n_owned_shards++].state = PF_ITEM_RESIDENT;
	}
}

static void on_act(void *ctx, const struct pf_claim_act *act)
{
	struct claims *c = ctx;

	switch (act->type) {
	case PF_CLAIM_REPLY:
		on_reply(c, act);
		break;
	case PF_CLAIM_RESULT_SETTLED:
		break;
	case PF_CLAIM_TXN:
		start_txn(c, act);
		break;
	case PF_CLAIM_SCAN:
		start_scan(c, act);
		break;
	case PF_CLAIM_SHARDS_CHANGED:
		update_owned_shards(c);
		break;
	case PF_CLAIM_DRAINED:
		c->drained = true;
		break;
	case PF_CLAIM_SUPERSEDED:
		daemon_fail(c->d, "superseded: a later incarnation of this "
				  "agent is running");
		break;
	}
}

static void step_core(struct claims *c, const struct pf_claim_msg *m)
{
	const struct pf_claim_sink sink = { on_act, c };
	pf_ms now = pf_clock_wall();

	pf_claim_step(c->core, now, m, &sink);
	pf_clock_arm(c->timer, now, pf_claim_next(c->core));
}

static void on_timer(evutil_socket_t fd, short what, void *ctx)
{
	static const struct pf_claim_msg tick = { .type = PF_CLAIM_TICK };

	(void)fd;
	(void)what;
	step_core(ctx, &tick);
}

void claims_request(struct daemon *d, struct pf_try id, const struct pf_work *w)
{
	struct pf_claim_msg m = { .type = PF_CLAIM_REQUEST };
	struct claims *c = d->claims;
	struct claim_try *t;

	PF_INVARIANT("one claim for each try the core keeps",
		     c->n_tries < c->tries_capacity);
	t = &c->tries[c->n_tries++];
	*t = (struct claim_try){ id, w->idem_key, false };
	d->counters.v[PF_AC_CLAIMS]++;
	m.u.request.id = id;
	m.u.request.key = w->idem_key;
	m.u.request.fingerprint = w->fingerprint;
	step_core(c, &m);
}

/* Removes a granted try. Returns its key, or 0 if none was granted. */
static uint64_t end_granted_try(struct claims *c, struct pf_try id)
{
	struct claim_try *t = c ? find_try(c, id) : NULL;
	uint64_t key = 0;

	if (t && t->granted) {
		key = t->key;
		remove_try(c, t);
	}
	return key;
}

static void send_key_message(struct daemon *d, enum pf_claim_msg_type type,
			     struct pf_try id)
{
	struct pf_claim_msg m = { .type = type };

	m.u.key = end_granted_try(d->claims, id);
	if (m.u.key)
		step_core(d->claims, &m);
}

void claims_lost(struct daemon *d, struct pf_try id)
{
	send_key_message(d, PF_CLAIM_RUN_LOST, id);
}

void claims_void(struct daemon *d, struct pf_try id)
{
	send_key_message(d, PF_CLAIM_VOID, id);
}

void claims_result(struct daemon *d, struct pf_try id, struct try_slot *s)
{
	struct pf_claim_msg m = { .type = PF_CLAIM_RESULT };
	struct pf_text answer = { 0 };

	m.u.result.key = end_granted_try(d->claims, id);
	if (!m.u.result.key)
		return;
	plain_encode_answer(s, &answer);
	m.u.result.answer = pf_text_str(&answer);
	step_core(d->claims, &m);
	pf_text_free(&answer);
}

void claims_report(const struct daemon *d, struct pf_report *r)
{
	if (!d->claims)
		return;
	r->items = d->claims->owned_shards;
	r->n_items = d->claims->n_owned_shards;
}

bool claims_drain(struct daemon *d)
{
	static const struct pf_claim_msg drain = { .type = PF_CLAIM_DRAIN };
	struct claims *c = d->claims;

	if (!c || c->drained)
		return true;
	if (!d->claims_drain_started)
		step_core(c, &drain);
	d->claims_drain_started = true;
	return c->drained;
}

int claims_start(struct daemon *d, const char *service)
{
	static const struct pf_claim_msg tick = { .type = PF_CLAIM_TICK };
	struct claims *c = calloc(1, sizeof(*c));
	struct pf_claim_opts o;

	if (!c)
		return -1;
	d->claims = c;
	pf_claim_opts_default(&o);
	o.service = service;
	o.agent = d->id;
	o.incarnation = d->incarnation;
	o.seed = pf_process_random();
	c->d = d;
	c->service = pf_id(pf_str_c(service));
	c->n_shards = o.shards;
	c->tries_capacity = d->tries.capacity;
	c->tries = calloc(c->tries_capacity, sizeof(*c->tries));
	c->owned_shards = calloc(o.shards, sizeof(*c->owned_shards));
	c->core = pf_claim_new(&o);
	c->timer = evtimer_new(d->base, on_timer, c);
	if (!c->tries || !c->owned_shards || !c->core || !c->timer)
		return -1;
	step_core(c, &tick);
	return 0;
}

void claims_stop(struct daemon *d)
{
	struct claims *c = d->claims;

	if (!c)
		return;
	pf_claim_free(c->core);
	if (c->timer)
		event_free(c->timer);
	free(c->tries);
	free(c->owned_shards);
	free(c);
	d->claims = NULL;
}
