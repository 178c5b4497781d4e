/*
 * Accept cores of three entries race over one table that loses, delays and
 * refuses. The oracle keeps its own copy of what was committed: every commit
 * raises the head by one, leaves a valid set, loses no other change, and
 * happens at most once for an id; an outcome that says "not applied" is true
 * forever.
 */
#include "fuzz/accept_rig.h"
#include "fuzz/fuzz.h"
#include "pimentoford/text.h"

#include <stdio.h>

#define CORES 3
#define CHANGES_MAX 64
#define LATE_MAX 16
#define OUTAGE_MAX 60
#define CALM_STEPS 60

/* One change id and what became of it. */
struct asked {
	char id[32];
	struct pf_records puts;
	struct pf_record_ref delete;
	bool deletes;
	char name[32]; /* of the deleted record */
	bool has_base;
	uint64_t base;
	int open; /* tickets without an outcome */
	int core; /* that it was last submitted to */
	uint32_t commits;
	uint64_t revision; /* of its commit */
	bool said_not_applied; /* since it was last submitted */
	bool closed; /* its id can take no effect any more */
};

struct world {
	struct fuzz_result *r;
	struct pf_rng rng;
	struct rig_table table;
	struct pf_accept *cores[CORES];
	struct pf_accept_sink sinks[CORES];
	struct sink_ctx {
		struct world *w;
		int core;
	} ctx[CORES];
	struct rig_op ops[RIG_OPS];
	size_t n_ops;
	struct rig_op late[LATE_MAX]; /* commits that may still take effect */
	size_t n_late;
	struct asked asked[CHANGES_MAX];
	size_t n_asked;
	uint64_t head; /* by the oracle */
	struct pf_records set; /* by the oracle; stamps say who wrote */
	struct pf_records gone;
	bool mortal; /* entries die in this run */
	uint32_t outage; /* requests that the table fails from now on */
	pf_ms now;
};

static struct asked *asked_by_id(struct world *w, const char *id)
{
	for (size_t i = 0; i < w->n_asked; i++)
		if (strcmp(w->asked[i].id, id) == 0)
			return &w->asked[i];
	return NULL;
}

static void on_done(struct world *w, const struct pf_accept_act *act)
{
	struct asked *q = &w->asked[act->u.result.request_id];

	if (--q->open < 0)
		fuzz_violation(w->r, "change %s has two outcomes", q->id);
	switch (act->u.result.outcome) {
	case PF_CHANGE_ACCEPTED:
		if (!q->commits)
			fuzz_violation(w->r, "%s accepted, not committed",
				       q->id);
		else if (q->revision != act->u.result.revision)
			fuzz_violation(w->r, "%s accepted in another revision",
				       q->id);
		break;
	case PF_CHANGE_UNKNOWN:
		break;
	default:
		q->said_not_applied = true;
		if (q->commits)
			fuzz_violation(
				w->r, "%s said %s, but it is applied", q->id,
				pf_change_outcome_code(act->u.result.outcome));
		break;
	}
}

static struct asked *asked_by_op(struct world *w, const struct rig_op *op)
{
	for (size_t i = 0; i < op->n_puts; i++)
		if (strncmp(op->puts[i].key, PF_ROW_CHANGES, 7) == 0)
			return asked_by_id(w, op->puts[i].key + 7);
	return NULL;
}

/* A later resend may name another base; this transaction knows its own. */
static void note_base(struct world *w, struct rig_op *op)
{
	const struct asked *q = asked_by_op(w, op);

	if (q)
		op->base = q->base;
}

static void emit(void *ctx, const struct pf_accept_act *act)
{
	struct sink_ctx *c = ctx;
	struct world *w = c->w;

	if (act->type == PF_ACCEPT_RESULT) {
		on_done(w, act);
		return;
	}
	PF_INVARIANT("ops have room", w->n_ops < RIG_OPS);
	rig_copy(&w->ops[w->n_ops], act);
	note_base(w, &w->ops[w->n_ops]);
	w->ops[w->n_ops++].core = c->core;
}

/* Another change must not have written the record after the base. */
static void check_base(struct world *w, const struct asked *q, uint64_t base,
		       enum pf_kind kind, const char *name)
{
	const struct pf_record *now =
		pf_records_find(&w->set, kind, pf_str_c(name));

	if (!now)
		now = pf_records_find(&w->gone, kind, pf_str_c(name));
	if (now && q->has_base && now->stamp.revision > base)
		fuzz_violation(w->r, "%s overwrote a change it had not seen",
			       q->id);
}

/* Brings the oracle's own set up to a commit. */
static void follow(struct world *w, const struct asked *q, uint64_t base)
{
	for (size_t i = 0; i < q->puts.n; i++) {
		struct pf_record p = q->puts.v[i];
		const struct pf_record *now =
			pf_records_find(&w->set, p.kind, pf_str_c(p.name));

		if (now && strcmp(now->text, p.text) == 0)
			continue;
		check_base(w, q, base, p.kind, p.name);
		p.stamp.revision = w->head;
		pf_records_del(&w->gone, p.kind, pf_str_c(p.name));
		pf_records_put(&w->set, &p);
	}
	if (q->deletes) {
		struct pf_record d = { .kind = q->delete.kind,
				       .name = (char *)q->name,
				       .text = "",
				       .stamp = { .revision = w->head } };

		check_base(w, q, base, d.kind, d.name);
		pf_records_del(&w->set, d.kind, pf_str_c(d.name));
		pf_records_put(&w->gone, &d);
	}
}

/* The table's live records must be the oracle's, and be valid. */
static void check_set(struct world *w)
{
	struct pf_findings f = { 0 };
	struct pf_config *c = NULL;
	size_t live = 0;

	for (size_t i = 0; i < w->table.n; i++) {
		struct pf_table_row row = rig_face(&w->table.v[i]);
		const struct pf_record *mine;
		struct pf_record r;

		if (strncmp(w->table.v[i].key, PF_ROW_RECORDS, 7) != 0)
			continue;
		if (pf_row_record_parse(&row, &r) < 0) {
			fuzz_violation(w->r, "row %s can't be read",
				       w->table.v[i].key);
			continue;
		}
		mine = pf_records_find(&w->set, r.kind, pf_str_c(r.name));
		live += r.text[0] != '\0';
		if (r.text[0] && (!mine || strcmp(mine->text, r.text) != 0))
			fuzz_violation(w->r, "%s isn't what was accepted",
				       w->table.v[i].key);
		pf_record_clear(&r);
	}
	if (live != w->set.n)
		fuzz_violation(w->r, "an accepted record is lost");
	if (pf_records_build(&w->set, w->head, &f, &c) < 0)
		fuzz_violation(w->r, "head %llu is invalid: %s",
			       (unsigned long long)w->head, f.v[0].text);
	pf_config_free(c);
	pf_findings_clear(&f);
}

static bool closes(const struct rig_op *op)
{
	struct pf_change_row c;

	for (size_t i = 0; i < op->n_puts; i++)
		if (strncmp(op->puts[i].key, PF_ROW_CHANGES, 7) == 0 &&
		    pf_row_change_parse(pf_str_c(op->puts[i].value), &c) == 0)
			return c.closed[0] != '\0';
	return false;
}

static void on_commit(struct world *w, const struct rig_op *op)
{
	const struct rig_row *row = rig_row(&w->table, PF_ROW_HEAD);
	struct asked *q = asked_by_op(w, op);
	struct pf_head head = { 0 };
	bool moved = false;

	for (size_t i = 0; i < op->n_puts; i++)
		moved |= strcmp(op->puts[i].key, PF_ROW_HEAD) == 0;
	if (!q) {
		fuzz_violation(w->r, "a commit without a change");
		return;
	}
	if (closes(op)) {
		if (q->commits || op->n_puts > 1)
			fuzz_violation(w->r, "%s closed wrongly", q->id);
		q->closed = true;
		return;
	}
	if (q->closed)
		fuzz_violation(w->r, "%s closed, then applied", q->id);
	if (row)
		pf_row_head_parse(pf_str_c(row->value), &head);
	if (head.revision != w->head + moved)
		fuzz_violation(w->r, "head went from %llu to %llu",
			       (unsigned long long)w->head,
			       (unsigned long long)head.revision);
	w->head = head.revision;
	q->revision = head.revision;
	if (q->commits++)
		fuzz_violation(w->r, "%s committed twice", q->id);
	if (q->said_not_applied)
		fuzz_violation(w->r, "%s said not applied, then was", q->id);
	follow(w, q, op->base);
	check_set(w);
}

static enum pf_table_status commit(struct world *w, const struct rig_op *op)
{
	enum pf_table_status st = rig_commit(&w->table, op);

	if (st == PF_TABLE_OK)
		on_commit(w, op);
	return st;
}

/* A record drawn from a small space, so that changes collide. */
static void draw_record(struct world *w, struct pf_text *t)
{
	uint32_t i = pf_rng_below(&w->rng, 3);

	switch (pf_rng_below(&w->rng, 4)) {
	case 0:
		pf_text_printf(t,
			       "[[model]]\nschema=1\nname=\"m%u\"\n"
			       "version=\"1\"\nweights=\"%uGiB\"\n"
			       "kv_token=\"1KiB\"\n",
			       i, 1 + pf_rng_below(&w->rng, 4));
		break;
	case 1:
		pf_text_printf(t,
			       "[[endpoint]]\nschema=1\nname=\"e%u\"\n"
			       "kind=\"engine\"\nagent=\"127.0.0.1:%u\"\n"
			       "backend=\"127.0.0.1:%u\"\nzone=\"a\"\n"
			       "region=\"r\"\nmemory=\"%uGiB\"\n",
			       i, 10 + i, 20 + i, 4 + pf_rng_below(&w->rng, 5));
		break;
	case 2:
		pf_text_printf(t,
			       "[[caller]]\nschema=1\nname=\"c%u\"\n"
			       "priority=%u\nkey_sha256=\"%064u\"\n",
			       i, pf_rng_below(&w->rng, 3),
			       pf_rng_below(&w->rng, 4));
		break;
	default:
		pf_text_printf(t,
			       "[[adapter]]\nschema=2\nname=\"a%u\"\n"
			       "model=\"m%u\"\nsize=\"%uMiB\"\n",
			       i, pf_rng_below(&w->rng, 3),
			       100 + 100 * pf_rng_below(&w->rng, 3));
		break;
	}
}

static void draw_change(struct world *w, struct asked *q)
{
	static const enum pf_kind kinds[] = { PF_KIND_MODEL, PF_KIND_ENDPOINT,
					      PF_KIND_CALLER };
	struct pf_findings f = { 0 };
	struct pf_text t = { 0 };
	uint32_t n = 1 + pf_rng_below(&w->rng, 2);

	snprintf(q->id, sizeof(q->id), "ch-%zu", w->n_asked);
	q->has_base = pf_rng_below(&w->rng, 4) > 0;
	q->base = w->head - (w->head ? pf_rng_below(&w->rng, 2) : 0);
	if (pf_rng_below(&w->rng, 8) == 0) {
		q->deletes = true;
		q->delete.kind = kinds[pf_rng_below(&w->rng, 3)];
		snprintf(q->name, sizeof(q->name), "%c%u",
			 "mec"[q->delete.kind == PF_KIND_ENDPOINT ? 1
			       : q->delete.kind == PF_KIND_CALLER ? 2
								  : 0],
			 pf_rng_below(&w->rng, 3));
		q->delete.name = pf_str_c(q->name);
		return;
	}
	while (n--)
		draw_record(w, &t);
	/* A record drawn twice is a finding; the others stay. */
	pf_records_parse(pf_text_str(&t), "fuzz", &q->puts, &f);
	pf_findings_clear(&f);
	pf_text_free(&t);
}

static void submit(struct world *w, size_t i, bool resent)
{
	struct asked *q = &w->asked[i];
	int core = (int)pf_rng_below(&w->rng, CORES);
	struct pf_change c = { .request_id = i,
			       .id = pf_str_c(q->id),
			       .who = PF_STR("op"),
			       .what = PF_STR("apply"),
			       .has_base = q->has_base,
			       .base_revision = q->base,
			       .resent = resent,
			       .puts = &q->puts,
			       .deletes = &q->delete,
			       .n_deletes = q->deletes };
	struct pf_accept_msg m = { .type = PF_ACCEPT_CHANGE };

	m.u.change = &c;
	q->open++;
	q->core = core;
	q->said_not_applied = false;
	pf_accept_step(w->cores[core], w->now, &m, &w->sinks[core]);
}

/* The operator may name another base when sending again. */
static void resend(struct world *w, size_t i)
{
	struct asked *q = &w->asked[i];

	if (q->has_base && !q->commits && pf_rng_below(&w->rng, 2) == 0)
		q->base =
			pf_rng_below(&w->rng, 2)
				? 0
				: pf_rng_below(&w->rng, (uint32_t)q->base + 1);
	submit(w, i, true);
}

/* A change whose transaction is still on its way, if there is one. */
static size_t draw_resent(struct world *w)
{
	const struct asked *q;

	if (w->n_late && pf_rng_below(&w->rng, 2) == 0) {
		q = asked_by_op(
			w,
			&w->late[pf_rng_below(&w->rng, (uint32_t)w->n_late)]);
		return (size_t)(q - w->asked);
	}
	return pf_rng_below(&w->rng, (uint32_t)w->n_asked);
}

/* A new change, or one whose outcome the operator can't trust. */
static void operator_acts(struct world *w)
{
	if (w->n_asked && pf_rng_below(&w->rng, 4) == 0) {
		size_t i = draw_resent(w);

		if (!w->asked[i].open)
			resend(w, i);
		return;
	}
	if (w->n_asked == CHANGES_MAX)
		return;
	draw_change(w, &w->asked[w->n_asked]);
	submit(w, w->n_asked++, false);
}

/* Answers a commit that was lost, and may let it take effect later. */
static enum pf_table_status lose(struct world *w, struct rig_op *op)
{
	switch (pf_rng_below(&w->rng, 4)) {
	case 0:
		commit(w, op);
		break;
	case 1:
	case 2:
		if (w->n_late == LATE_MAX)
			break;
		w->late[w->n_late++] = *op;
		op->n_puts = 0; /* its texts moved */
		break;
	default:
		break;
	}
	return PF_TABLE_UNKNOWN;
}

/* Carries out one pending request; faults strike one in @odds. */
static void table_acts(struct world *w, uint32_t odds)
{
	struct rig_op op;
	enum pf_table_status st = PF_TABLE_OK;
	bool fault = odds && pf_rng_below(&w->rng, odds) == 0;
	bool silent = fault && pf_rng_below(&w->rng, 3) == 0;
	size_t i;

	if (!w->n_ops)
		return;
	if (w->outage && odds) {
		w->outage--;
		fault = true;
	}
	i = pf_rng_below(&w->rng, (uint32_t)w->n_ops);
	op = w->ops[i];
	w->ops[i] = w->ops[--w->n_ops];
	if (fault)
		st = pf_rng_below(&w->rng, 2) ? PF_TABLE_LIMITED
					      : PF_TABLE_UNKNOWN;
	if (op.type != PF_ACCEPT_COMMIT) {
		if (!silent)
			rig_answer_read(&w->table, &op, st, w->cores[op.core],
					w->now, &w->sinks[op.core]);
	} else {
		if (st == PF_TABLE_OK)
			st = commit(w, &op);
		else if (silent || st == PF_TABLE_UNKNOWN)
			st = lose(w, &op);
		if (!silent)
			rig_answer_commit(&op, st, w->cores[op.core], w->now,
					  &w->sinks[op.core]);
	}
	rig_op_free(&op);
}

/* The worst one to arrive now: its operator was told "not applied". */
static size_t draw_late(struct world *w)
{
	for (size_t i = 0; i < w->n_late; i++) {
		const struct asked *q = asked_by_op(w, &w->late[i]);

		if (q && q->said_not_applied && pf_rng_below(&w->rng, 2) == 0)
			return i;
	}
	return pf_rng_below(&w->rng, (uint32_t)w->n_late);
}

static void late_acts(struct world *w)
{
	size_t i;

	if (!w->n_late)
		return;
	i = draw_late(w);
	commit(w, &w->late[i]);
	rig_op_free(&w->late[i]);
	w->late[i] = w->late[--w->n_late];
}

static void clock_acts(struct world *w, pf_ms by)
{
	struct pf_accept_msg m = { .type = PF_ACCEPT_TICK };

	w->now += by;
	for (int i = 0; i < CORES; i++)
		if (pf_accept_next(w->cores[i]) <= w->now)
			pf_accept_step(w->cores[i], w->now, &m, &w->sinks[i]);
}

static int core_start(struct world *w, int i, uint64_t seed)
{
	struct pf_accept_opts o;

	pf_accept_opts_default(&o);
	o.seed = seed;
	o.region = i ? "west" : "east";
	o.scan_limit = 3;
	o.changes_max = 4;
	o.change_timeout = 6000;
	w->cores[i] = pf_accept_new(&o);
	return w->cores[i] ? 0 : -1;
}

/* What a dead core had asked: its commits may still arrive. */
static void orphan_ops(struct world *w, int core)
{
	size_t kept = 0;

	for (size_t i = 0; i < w->n_ops; i++) {
		struct rig_op *op = &w->ops[i];

		if (op->core != core)
			w->ops[kept++] = *op;
		else if (op->type == PF_ACCEPT_COMMIT && w->n_late < LATE_MAX)
			w->late[w->n_late++] = *op;
		else
			rig_op_free(op);
	}
	w->n_ops = kept;
}

/* Preferably one whose commit is on its way. */
static int draw_victim(struct world *w)
{
	for (size_t i = 0; i < w->n_ops; i++)
		if (w->ops[i].type == PF_ACCEPT_COMMIT)
			return w->ops[i].core;
	return (int)pf_rng_below(&w->rng, CORES);
}

/* No faults until @q has its outcome; then the late commits arrive. */
static void calm(struct world *w, const struct asked *q)
{
	for (int i = 0; i < CALM_STEPS && q->open; i++) {
		if (w->n_ops)
			table_acts(w, 0);
		else
			clock_acts(w, 100);
	}
	if (!q->open)
		late_acts(w);
}

/* An entry dies; its operators send again, to whichever entry answers. */
static void core_dies(struct world *w)
{
	int core = draw_victim(w);
	const struct asked *last = NULL;

	orphan_ops(w, core);
	pf_accept_free(w->cores[core]);
	if (core_start(w, core, pf_id2(w->n_asked, (uint64_t)w->now)) < 0) {
		fuzz_violation(w->r, "no memory");
		return;
	}
	for (size_t i = 0; i < w->n_asked; i++) {
		struct asked *q = &w->asked[i];

		if (!q->open || q->core != core)
			continue;
		q->open = 0;
		resend(w, i);
		last = q;
	}
	/* Often it is answered before the dead core's commit arrives. */
	if (last && pf_rng_below(&w->rng, 2) == 0)
		calm(w, last);
}

static int set_up(struct world *w, uint64_t seed, struct fuzz_result *r)
{
	w->r = r;
	w->now = 1000;
	pf_rng_seed(&w->rng, seed);
	w->mortal = pf_rng_below(&w->rng, 2);
	for (int i = 0; i < CORES; i++) {
		w->ctx[i] = (struct sink_ctx){ w, i };
		w->sinks[i] = (struct pf_accept_sink){ emit, &w->ctx[i] };
		if (core_start(w, i, pf_id2(seed, (uint64_t)i)) < 0)
			return -1;
	}
	return 0;
}

static void tear_down(struct world *w)
{
	for (int i = 0; i < CORES; i++)
		pf_accept_free(w->cores[i]);
	while (w->n_ops)
		rig_op_free(&w->ops[--w->n_ops]);
	while (w->n_late)
		rig_op_free(&w->late[--w->n_late]);
	for (size_t i = 0; i < w->n_asked; i++)
		pf_records_free(&w->asked[i].puts);
	pf_records_free(&w->set);
	pf_records_free(&w->gone);
	rig_table_free(&w->table);
}

/* Faults end: every change gets its outcome, and late commits arrive. */
static void settle(struct world *w)
{
	for (int i = 0; i < 5000 && w->r->violations == 0; i++) {
		if (w->n_ops)
			table_acts(w, 0);
		else
			clock_acts(w, 500);
	}
	while (w->n_late)
		late_acts(w);
	for (size_t i = 0; i < w->n_asked; i++)
		if (w->asked[i].open && !w->r->violations)
			fuzz_violation(w->r, "%s never got an outcome",
				       w->asked[i].id);
}

/* A commit is on its way whose operator was told that it isn't applied. */
static bool told_too_soon(struct world *w)
{
	for (size_t i = 0; i < w->n_late; i++) {
		const struct asked *q = asked_by_op(w, &w->late[i]);

		if (q && q->said_not_applied)
			return true;
	}
	return false;
}

void fuzz_accept(uint64_t seed, uint32_t steps_max, struct fuzz_result *r)
{
	struct world *w = calloc(1, sizeof(*w));

	if (!w)
		return;
	if (set_up(w, seed, r) < 0)
		goto out;
	for (uint32_t i = 0; i < steps_max && !r->violations; i++) {
		uint32_t draw = pf_rng_below(&w->rng, 100);

		r->steps++;
		if (draw < 12)
			operator_acts(w);
		else if (draw < 40 && told_too_soon(w))
			late_acts(w);
		else if (draw < 85)
			table_acts(w, 8);
		else if (draw < 88)
			late_acts(w);
		else if (w->mortal && draw < 92)
			core_dies(w);
		else if (draw < 90)
			w->outage = pf_rng_below(&w->rng, OUTAGE_MAX);
		else
			clock_acts(w, 1 + (pf_ms)pf_rng_below(&w->rng, 400));
	}
	settle(w);
out:
	tear_down(w);
	free(w);
}
