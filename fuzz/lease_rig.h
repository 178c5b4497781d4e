/* Lease cores on a fake table; requests and answers are delayed or lost. */
#ifndef FUZZ_LEASE_RIG_H
#define FUZZ_LEASE_RIG_H

#include "fuzz/fake_table.h"
#include "pimentoford/lease.h"
#include "pimentoford/rows.h"

#include <string.h>

#define LEASE_NODES 3
#define LEASE_OPS_MAX 64
#define LEASE_KEY "lease/planner/r"

/* A request to the table, or its answer, in flight. */
struct lease_op {
	bool used;
	uint32_t node;
	enum pf_lease_act_type type;
	uint64_t seq;
	struct pf_table_txn *txn; /* owned */
	pf_ms arrives_at, returns_at; /* PF_NEVER: lost */
	bool served;
	enum pf_table_status status;
	struct pf_table_row row;
	char value[128];
	int64_t era; /* of the table when it was served */
};

struct lease_rig {
	pf_ms now;
	struct fake_table *table;
	struct fake_table *backup; /* NULL: none */
	int64_t era; /* in each answer; PF_ERA_UNKNOWN: not stated */
	int64_t node_era[LEASE_NODES]; /* newest that the node has seen */
	struct pf_lease *nodes[LEASE_NODES];
	bool reported_held[LEASE_NODES]; /* by PF_LEASE_HELD_CHANGED */
	pf_ms paused_until[LEASE_NODES];
	struct lease_op ops[LEASE_OPS_MAX];
	struct pf_rng rng;
	bool table_unreachable; /* requests that reach it are dropped */
	double loss_rate; /* of requests and of answers, 0 to 1 */
	uint32_t delay_max; /* ms, each way */
};

struct lease_node_ctx {
	struct lease_rig *r;
	uint32_t node;
};

static inline pf_ms lease_delivery_time(struct lease_rig *r, pf_ms from)
{
	if (from == PF_NEVER || pf_rng_unit(&r->rng) < r->loss_rate)
		return PF_NEVER;
	return from + pf_rng_below(&r->rng, r->delay_max + 1);
}

static inline void lease_emit(void *ctx, const struct pf_lease_act *act)
{
	struct lease_node_ctx *c = (struct lease_node_ctx *)ctx;
	struct lease_rig *r = c->r;
	uint32_t i = 0;
	struct lease_op *op;

	if (act->type == PF_LEASE_HELD_CHANGED) {
		r->reported_held[c->node] = act->u.held;
		return;
	}
	while (i < LEASE_OPS_MAX && r->ops[i].used)
		i++;
	if (i == LEASE_OPS_MAX)
		return;
	op = &r->ops[i];
	memset(op, 0, sizeof(*op));
	op->used = true;
	op->node = c->node;
	op->type = act->type;
	op->seq = act->seq;
	if (act->type == PF_LEASE_TXN)
		op->txn = fake_txn_copy(&act->u.txn);
	op->arrives_at = lease_delivery_time(r, r->now);
	op->returns_at = lease_delivery_time(r, op->arrives_at);
}

static inline void lease_step_node(struct lease_rig *r, uint32_t node,
				   const struct pf_lease_msg *m)
{
	struct lease_node_ctx c = { r, node };
	struct pf_lease_sink sink = { lease_emit, &c };

	pf_lease_step(r->nodes[node], r->now, m, &sink);
}

static inline void lease_serve_op(struct lease_rig *r, struct lease_op *op)
{
	struct pf_table_row row;
	uint64_t revision;
	uint32_t failed;
	bool more;

	op->served = true;
	op->era = r->era;
	if (op->type == PF_LEASE_TXN) {
		op->status =
			fake_table_txn(r->table, op->txn, &failed, &revision);
		return;
	}
	if (!fake_table_scan(r->table, PF_STR(LEASE_KEY), PF_STR(""), &row, 1,
			     &more))
		return;
	memcpy(op->value, row.value.p, row.value.n);
	op->row.value.p = op->value;
	op->row.value.n = row.value.n;
	op->row.revision = row.revision;
}

/* As the client of the store: false if the answer is from an older era. */
static inline bool lease_note_era(struct lease_rig *r,
				  const struct lease_op *op)
{
	int64_t *seen = &r->node_era[op->node];
	struct pf_lease_msg m;

	if (op->era <= *seen)
		return op->era == *seen;
	*seen = op->era;
	memset(&m, 0, sizeof(m));
	m.type = PF_LEASE_ERA;
	m.u.era = op->era;
	lease_step_node(r, op->node, &m);
	return true;
}

static inline void lease_answer_op(struct lease_rig *r, struct lease_op *op)
{
	struct pf_lease_msg m;

	if (!lease_note_era(r, op))
		op->status = PF_TABLE_UNKNOWN;
	memset(&m, 0, sizeof(m));
	m.type = op->type == PF_LEASE_GET ? PF_LEASE_GET_DONE
					  : PF_LEASE_TXN_DONE;
	m.seq = op->seq;
	if (op->type == PF_LEASE_GET) {
		m.u.row.status = op->status;
		m.u.row.row = op->row;
	} else {
		m.u.status = op->status;
	}
	lease_step_node(r, op->node, &m);
}

static inline void lease_drop_op(struct lease_op *op)
{
	if (op->txn)
		fake_txn_free(op->txn);
	op->used = false;
}

static inline void lease_advance_op(struct lease_rig *r, struct lease_op *op)
{
	if (!op->served && op->arrives_at <= r->now) {
		if (r->table_unreachable) {
			lease_drop_op(op);
			return;
		}
		lease_serve_op(r, op);
	}
	if (op->arrives_at == PF_NEVER ||
	    (op->served && op->returns_at == PF_NEVER))
		lease_drop_op(op);
	else if (op->served && op->returns_at <= r->now &&
		 r->paused_until[op->node] <= r->now) {
		lease_answer_op(r, op);
		lease_drop_op(op);
	}
}

/** Advances by 10 ms: messages, then ticks. */
static inline void lease_rig_advance(struct lease_rig *r)
{
	struct pf_lease_msg tick;

	memset(&tick, 0, sizeof(tick));
	tick.type = PF_LEASE_TICK;
	tick.wall_time = r->now;
	r->now += 10;
	for (uint32_t i = 0; i < LEASE_OPS_MAX; i++)
		if (r->ops[i].used)
			lease_advance_op(r, &r->ops[i]);
	for (uint32_t i = 0; i < LEASE_NODES; i++)
		if (r->paused_until[i] <= r->now &&
		    r->now >= pf_lease_next(r->nodes[i]))
			lease_step_node(r, i, &tick);
}

static inline int lease_rig_init(struct lease_rig *r, uint64_t seed)
{
	struct pf_lease_opts o;

	memset(r, 0, sizeof(*r));
	r->now = 1000;
	r->delay_max = 20;
	pf_rng_seed(&r->rng, seed);
	r->table = fake_table_new();
	r->era = PF_ERA_UNKNOWN;
	for (uint32_t i = 0; i < LEASE_NODES; i++)
		r->node_era[i] = PF_ERA_UNKNOWN;
	pf_lease_opts_default(&o);
	o.key = LEASE_KEY;
	o.region = "r";
	for (uint32_t i = 0; i < LEASE_NODES; i++) {
		o.process_name = i == 0   ? "entry-0"
				 : i == 1 ? "entry-1"
					  : "entry-2";
		o.holder_id = 100 + i;
		o.seed = seed + i;
		r->nodes[i] = pf_lease_new(&o);
		if (!r->nodes[i])
			return -1;
	}
	return 0;
}

static inline void lease_rig_free(struct lease_rig *r)
{
	for (uint32_t i = 0; i < LEASE_OPS_MAX; i++)
		if (r->ops[i].used)
			lease_drop_op(&r->ops[i]);
	for (uint32_t i = 0; i < LEASE_NODES; i++)
		pf_lease_free(r->nodes[i]);
	fake_table_free(r->table);
	if (r->backup)
		fake_table_free(r->backup);
}

static inline void lease_rig_back_up(struct lease_rig *r)
{
	if (r->backup)
		fake_table_free(r->backup);
	r->backup = fake_table_copy(r->table);
}

/** The table falls back to the backup, which is kept, in a new era. */
static inline void lease_rig_restore(struct lease_rig *r)
{
	fake_table_free(r->table);
	r->table = fake_table_copy(r->backup);
	r->era++;
}

/** Counts the nodes that hold the lease; *@holder is the last of them. */
static inline uint32_t lease_count_holders(const struct lease_rig *r,
					   uint32_t *holder)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < LEASE_NODES; i++) {
		if (!pf_lease_is_held(r->nodes[i], r->now))
			continue;
		*holder = i;
		n++;
	}
	return n;
}

static inline size_t lease_count_audits(const struct lease_rig *r)
{
	struct pf_table_row rows[400];
	bool more;

	return fake_table_scan(r->table, PF_STR(PF_ROW_AUDITS), PF_STR(""),
			       rows, 400, &more);
}

#endif
