/*
 * Fuzz target of the accept core: three entries commit concurrently to one
 * table that loses and delays requests and refuses some. The oracle keeps its
 * own copy of the configuration and checks that each commit raises the head by
 * one, leaves a valid set, overwrites no concurrent change and happens at most
 * once per id, and that a change reported as not applied never takes effect.
 */
#include "fuzz/accept_rig.h"
#include "fuzz/fuzz.h"
#include "pimentoford/text.h"

#include <stdio.h>

#define CORES 3
#define CHANGES_MAX 64
#define LATE_COMMITS_MAX 16
#define OUTAGE_REQUESTS_MAX 60
#define FAULT_FREE_STEPS_MAX 60

/* A change, its submissions and its commits. */
struct fuzz_change {
	char id[32];
	struct pf_records puts;
	struct pf_record_ref delete_ref;
	bool has_delete;
	char delete_name[32]; /* borrowed by delete_ref */
	bool has_base;
	uint64_t base_revision;
	int open_requests; /* submissions without a result */
	int last_core; /* of the last submission */
	uint32_t n_commits;
	uint64_t commit_revision;
	bool reported_not_applied; /* since the last submission */
	bool id_closed; /* no commit of the id is allowed any more */
};

struct world {
	struct fuzz_result *result;
	struct pf_rng rng;
	struct rig_table table;
	struct pf_accept *cores[CORES];
	struct pf_accept_sink sinks[CORES];
	struct sink_ctx {
		struct world *w;
		int core;
	} sink_ctx[CORES];
	struct rig_op ops[RIG_OPS_MAX];
	size_t n_ops;
	/* Commits without a known result that may still take effect. */
	struct rig_op late_commits[LATE_COMMITS_MAX];
	size_t n_late_commits;
	struct fuzz_change changes[CHANGES_MAX];
	size_t n_changes;
	/* The oracle's copy; stamps have the last write's revision. */
	uint64_t head_revision;
	struct pf_records live_records;
	struct pf_records deleted_records;
	bool entries_crash;
	uint32_t outage_requests; /* still to fail in an outage */
	pf_ms now;
};

static struct fuzz_change *change_by_id(struct world *w, const char *id)
{
	for (size_t i = 0; i < w->n_changes; i++)
		if (strcmp(w->changes[i].id, id) == 0)
			return &w->changes[i];
	return NULL;
}

static void on_result(struct world *w, const struct pf_accept_act *act)
{
	struct fuzz_change *ch = &w->changes[act->u.result.request_id];

	if (--ch->open_requests < 0)
		fuzz_violation(w->result, "change %s has two results", ch->id);
	switch (act->u.result.outcome) {
	case PF_CHANGE_ACCEPTED:
		if (!ch->n_commits)
			fuzz_violation(w->result,
				       "%s accepted but not committed", ch->id);
		else if (ch->commit_revision != act->u.result.revision)
			fuzz_violation(w->result,
				       "%s accepted with a wrong revision",
				       ch->id);
		break;
	case PF_CHANGE_UNKNOWN:
		break;
	default:
		ch->reported_not_applied = true;
		if (ch->n_commits)
			fuzz_violation(
				w->result, "%s reported as %s but applied",
				ch->id,
				pf_change_outcome_code(act->u.result.outcome));
		break;
	}
}

static struct fuzz_change *change_by_op(struct world *w,
					const struct rig_op *op)
{
	for (size_t i = 0; i < op->n_puts; i++)
		if (strncmp(op->puts[i].key, PF_ROW_CHANGES, 7) == 0)
			return change_by_id(w, op->puts[i].key + 7);
	return NULL;
}

/* A resend may change the base; this transaction keeps its own. */
static void save_base_revision(struct world *w, struct rig_op *op)
{
	const struct fuzz_change *ch = change_by_op(w, op);

	if (ch)
		op->base_revision = ch->base_revision;
}

static void on_act(void *ctx, const struct pf_accept_act *act)
{
	struct sink_ctx *c = ctx;
	struct world *w = c->w;

	if (act->type == PF_ACCEPT_RESULT) {
		on_result(w, act);
		return;
	}
	PF_INVARIANT("the op queue is not full", w->n_ops < RIG_OPS_MAX);
	rig_op_init(&w->ops[w->n_ops], act);
	save_base_revision(w, &w->ops[w->n_ops]);
	w->ops[w->n_ops++].core = c->core;
}

/* The record must not have been written after the base revision. */
static void check_no_lost_update(struct world *w, const struct fuzz_change *ch,
				 uint64_t base, enum pf_kind kind,
				 const char *name)
{
	const struct pf_record *now =
		pf_records_find(&w->live_records, kind, pf_str_c(name));

	if (!now)
		now = pf_records_find(&w->deleted_records, kind,
				      pf_str_c(name));
	if (now && ch->has_base && now->stamp.revision > base)
		fuzz_violation(w->result,
			       "%s overwrote a change newer than its base",
			       ch->id);
}

/* Applies a commit to the oracle's records. */
static void apply_to_oracle(struct world *w, const struct fuzz_change *ch,
			    uint64_t base)
{
	for (size_t i = 0; i < ch->puts.n; i++) {
		struct pf_record p = ch->puts.v[i];
		const struct pf_record *now = pf_records_find(
			&w->live_records, p.kind, pf_str_c(p.name));

		if (now && strcmp(now->text, p.text) == 0)
			continue;
		check_no_lost_update(w, ch, base, p.kind, p.name);
		p.stamp.revision = w->head_revision;
		pf_records_del(&w->deleted_records, p.kind, pf_str_c(p.name));
		pf_records_put(&w->live_records, &p);
	}
	if (ch->has_delete) {
		struct pf_record d = { .kind = ch->delete_ref.kind,
				       .name = (char *)ch->delete_name,
				       .text = "",
				       .stamp = { .revision =
							  w->head_revision } };

		check_no_lost_update(w, ch, base, d.kind, d.name);
		pf_records_del(&w->live_records, d.kind, pf_str_c(d.name));
		pf_records_put(&w->deleted_records, &d);
	}
}

/* The table's live records must equal the oracle's and be valid. */
static void check_table(struct world *w)
{
	struct pf_findings f = { 0 };
	struct pf_config *c = NULL;
	size_t live = 0;

	for (size_t i = 0; i < w->table.n_rows; i++) {
		struct pf_table_row row = rig_row_view(&w->table.rows[i]);
		const struct pf_record *mine;
		struct pf_record r;

		if (strncmp(w->table.rows[i].key, PF_ROW_RECORDS, 7) != 0)
			continue;
		if (pf_row_record_parse(&row, &r) < 0) {
			fuzz_violation(w->result, "row %s can't be read",
				       w->table.rows[i].key);
			continue;
		}
		mine = pf_records_find(&w->live_records, r.kind,
				       pf_str_c(r.name));
		live += r.text[0] != '\0';
		if (r.text[0] && (!mine || strcmp(mine->text, r.text) != 0))
			fuzz_violation(w->result,
				       "%s differs from the accepted record",
				       w->table.rows[i].key);
		pf_record_clear(&r);
	}
	if (live != w->live_records.n)
		fuzz_violation(w->result, "an accepted record is lost");
	if (pf_records_build(&w->live_records, w->head_revision, &f, &c) < 0)
		fuzz_violation(w->result, "head %llu is invalid: %s",
			       (unsigned long long)w->head_revision,
			       f.v[0].text);
	pf_config_free(c);
	pf_findings_clear(&f);
}

/* Whether @op closes a change's id. */
static bool is_close(const struct rig_op *op)
{
	struct pf_change_row c;

	for (size_t i = 0; i < op->n_puts; i++)
		if (strncmp(op->puts[i].key, PF_ROW_CHANGES, 7) == 0 &&
		    pf_row_change_parse(pf_str_c(op->puts[i].value), &c) == 0)
			return c.closed[0] != '\0';
	return false;
}

static void check_commit(struct world *w, const struct rig_op *op)
{
	const struct rig_row *row = rig_row_find(&w->table, PF_ROW_HEAD);
	struct fuzz_change *ch = change_by_op(w, op);
	struct pf_head head = { 0 };
	bool moved = false;

	for (size_t i = 0; i < op->n_puts; i++)
		moved |= strcmp(op->puts[i].key, PF_ROW_HEAD) == 0;
	if (!ch) {
		fuzz_violation(w->result, "a commit without a change");
		return;
	}
	if (is_close(op)) {
		if (ch->n_commits || op->n_puts > 1)
			fuzz_violation(w->result,
				       "%s closed after or with a commit",
				       ch->id);
		ch->id_closed = true;
		return;
	}
	if (ch->id_closed)
		fuzz_violation(w->result, "%s applied after its id was closed",
			       ch->id);
	if (row)
		pf_row_head_parse(pf_str_c(row->value), &head);
	if (head.revision != w->head_revision + moved)
		fuzz_violation(w->result, "head went from %llu to %llu",
			       (unsigned long long)w->head_revision,
			       (unsigned long long)head.revision);
	w->head_revision = head.revision;
	ch->commit_revision = head.revision;
	if (ch->n_commits++)
		fuzz_violation(w->result, "%s committed twice", ch->id);
	if (ch->reported_not_applied)
		fuzz_violation(w->result,
			       "%s reported as not applied, then applied",
			       ch->id);
	apply_to_oracle(w, ch, op->base_revision);
	check_table(w);
}

static enum pf_table_status apply_commit(struct world *w,
					 const struct rig_op *op)
{
	enum pf_table_status st = rig_commit(&w->table, op);

	if (st == PF_TABLE_OK)
		check_commit(w, op);
	return st;
}

/* Few names and values, so that changes conflict. */
static void random_record(struct world *w, struct pf_text *t)
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

static void random_change(struct world *w, struct fuzz_change *ch)
{
	static const enum pf_kind kinds[] = { PF_KIND_MODEL, PF_KIND_ENDPOINT,
					      PF_KIND_CALLER };
	struct pf_findings f = { 0 };
	struct pf_text t = { 0 };
	uint32_t n = 1 + pf_rng_below(&w->rng, 2);

	snprintf(ch->id, sizeof(ch->id), "ch-%zu", w->n_changes);
	ch->has_base = pf_rng_below(&w->rng, 4) > 0;
	ch->base_revision = w->head_revision -
			    (w->head_revision ? pf_rng_below(&w->rng, 2) : 0);
	if (pf_rng_below(&w->rng, 8) == 0) {
		ch->has_delete = true;
		ch->delete_ref.kind = kinds[pf_rng_below(&w->rng, 3)];
		snprintf(ch->delete_name, sizeof(ch->delete_name), "%c%u",
			 "mec"[ch->delete_ref.kind == PF_KIND_ENDPOINT ? 1
			       : ch->delete_ref.kind == PF_KIND_CALLER ? 2
								       : 0],
			 pf_rng_below(&w->rng, 3));
		ch->delete_ref.name = pf_str_c(ch->delete_name);
		return;
	}
	while (n--)
		random_record(w, &t);
	/* A duplicate name is a finding; the other records are kept. */
	pf_records_parse(pf_text_str(&t), "fuzz", &ch->puts, &f);
	pf_findings_clear(&f);
	pf_text_free(&t);
}

static void submit(struct world *w, size_t i, bool resent)
{
	struct fuzz_change *ch = &w->changes[i];
	int core = (int)pf_rng_below(&w->rng, CORES);
	struct pf_change c = { .request_id = i,
			       .id = pf_str_c(ch->id),
			       .who = PF_STR("op"),
			       .what = PF_STR("apply"),
			       .has_base = ch->has_base,
			       .base_revision = ch->base_revision,
			       .resent = resent,
			       .puts = &ch->puts,
			       .deletes = &ch->delete_ref,
			       .n_deletes = ch->has_delete };
	struct pf_accept_msg m = { .type = PF_ACCEPT_CHANGE };

	m.u.change = &c;
	ch->open_requests++;
	ch->last_core = core;
	ch->reported_not_applied = false;
	pf_accept_step(w->cores[core], w->now, &m, &w->sinks[core]);
}

/* The operator may choose an earlier base when resending. */
static void resend(struct world *w, size_t i)
{
	struct fuzz_change *ch = &w->changes[i];

	if (ch->has_base && !ch->n_commits && pf_rng_below(&w->rng, 2) == 0)
		ch->base_revision =
			pf_rng_below(&w->rng, 2)
				? 0
				: pf_rng_below(&w->rng,
					       (uint32_t)ch->base_revision + 1);
	submit(w, i, true);
}

/* Any change; half the time one with a commit in flight. */
static size_t pick_resend(struct world *w)
{
	const struct fuzz_change *ch;

	if (w->n_late_commits && pf_rng_below(&w->rng, 2) == 0) {
		ch = change_by_op(
			w, &w->late_commits[pf_rng_below(
				   &w->rng, (uint32_t)w->n_late_commits)]);
		return (size_t)(ch - w->changes);
	}
	return pf_rng_below(&w->rng, (uint32_t)w->n_changes);
}

/* Submits a new change or resends one that has its results. */
static void step_operator(struct world *w)
{
	if (w->n_changes && pf_rng_below(&w->rng, 4) == 0) {
		size_t i = pick_resend(w);

		if (!w->changes[i].open_requests)
			resend(w, i);
		return;
	}
	if (w->n_changes == CHANGES_MAX)
		return;
	random_change(w, &w->changes[w->n_changes]);
	submit(w, w->n_changes++, false);
}

/* Loses a commit's reply; the commit applies now, later or never. */
static enum pf_table_status lose_reply(struct world *w, struct rig_op *op)
{
	switch (pf_rng_below(&w->rng, 4)) {
	case 0:
		apply_commit(w, op);
		break;
	case 1:
	case 2:
		if (w->n_late_commits == LATE_COMMITS_MAX)
			break;
		w->late_commits[w->n_late_commits++] = *op;
		op->n_puts = 0; /* late_commits owns the values */
		break;
	default:
		break;
	}
	return PF_TABLE_UNKNOWN;
}

/* Completes one queued request; one in @odds fails, none if 0. */
static void step_table(struct world *w, uint32_t odds)
{
	struct rig_op op;
	enum pf_table_status st = PF_TABLE_OK;
	bool fault = odds && pf_rng_below(&w->rng, odds) == 0;
	bool silent = fault && pf_rng_below(&w->rng, 3) == 0;
	size_t i;

	if (!w->n_ops)
		return;
	if (w->outage_requests && odds) {
		w->outage_requests--;
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
			st = apply_commit(w, &op);
		else if (silent || st == PF_TABLE_UNKNOWN)
			st = lose_reply(w, &op);
		if (!silent)
			rig_answer_commit(&op, st, w->cores[op.core], w->now,
					  &w->sinks[op.core]);
	}
	rig_op_free(&op);
}

/* Prefers commits whose change was reported as not applied. */
static size_t pick_late_commit(struct world *w)
{
	for (size_t i = 0; i < w->n_late_commits; i++) {
		const struct fuzz_change *ch =
			change_by_op(w, &w->late_commits[i]);

		if (ch && ch->reported_not_applied &&
		    pf_rng_below(&w->rng, 2) == 0)
			return i;
	}
	return pf_rng_below(&w->rng, (uint32_t)w->n_late_commits);
}

static void deliver_late_commit(struct world *w)
{
	size_t i;

	if (!w->n_late_commits)
		return;
	i = pick_late_commit(w);
	apply_commit(w, &w->late_commits[i]);
	rig_op_free(&w->late_commits[i]);
	w->late_commits[i] = w->late_commits[--w->n_late_commits];
}

/* Advances the clock and ticks the cores that are due. */
static void advance_clock(struct world *w, pf_ms by)
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

/* Drops a crashed core's requests; its commits may arrive late. */
static void detach_core_ops(struct world *w, int core)
{
	size_t kept = 0;

	for (size_t i = 0; i < w->n_ops; i++) {
		struct rig_op *op = &w->ops[i];

		if (op->core != core)
			w->ops[kept++] = *op;
		else if (op->type == PF_ACCEPT_COMMIT &&
			 w->n_late_commits < LATE_COMMITS_MAX)
			w->late_commits[w->n_late_commits++] = *op;
		else
			rig_op_free(op);
	}
	w->n_ops = kept;
}

/* Prefers a core with a commit in flight. */
static int pick_core_to_crash(struct world *w)
{
	for (size_t i = 0; i < w->n_ops; i++)
		if (w->ops[i].type == PF_ACCEPT_COMMIT)
			return w->ops[i].core;
	return (int)pf_rng_below(&w->rng, CORES);
}

/* Runs without faults until @ch has its result, then a late commit arrives. */
static void run_without_faults(struct world *w, const struct fuzz_change *ch)
{
	for (int i = 0; i < FAULT_FREE_STEPS_MAX && ch->open_requests; i++) {
		if (w->n_ops)
			step_table(w, 0);
		else
			advance_clock(w, 100);
	}
	if (!ch->open_requests)
		deliver_late_commit(w);
}

/* Restarts an entry; its operators resend to any entry. */
static void crash_core(struct world *w)
{
	int core = pick_core_to_crash(w);
	const struct fuzz_change *last = NULL;

	detach_core_ops(w, core);
	pf_accept_free(w->cores[core]);
	if (core_start(w, core, pf_id2(w->n_changes, (uint64_t)w->now)) < 0) {
		fuzz_violation(w->result, "no memory");
		return;
	}
	for (size_t i = 0; i < w->n_changes; i++) {
		struct fuzz_change *ch = &w->changes[i];

		if (!ch->open_requests || ch->last_core != core)
			continue;
		ch->open_requests = 0;
		resend(w, i);
		last = ch;
	}
	/* The resend often has its result before the old commit arrives. */
	if (last && pf_rng_below(&w->rng, 2) == 0)
		run_without_faults(w, last);
}

static int world_init(struct world *w, uint64_t seed, struct fuzz_result *r)
{
	w->result = r;
	w->now = 1000;
	pf_rng_seed(&w->rng, seed);
	w->entries_crash = pf_rng_below(&w->rng, 2);
	for (int i = 0; i < CORES; i++) {
		w->sink_ctx[i] = (struct sink_ctx){ w, i };
		w->sinks[i] =
			(struct pf_accept_sink){ on_act, &w->sink_ctx[i] };
		if (core_start(w, i, pf_id2(seed, (uint64_t)i)) < 0)
			return -1;
	}
	return 0;
}

static void world_free(struct world *w)
{
	for (int i = 0; i < CORES; i++)
		pf_accept_free(w->cores[i]);
	while (w->n_ops)
		rig_op_free(&w->ops[--w->n_ops]);
	while (w->n_late_commits)
		rig_op_free(&w->late_commits[--w->n_late_commits]);
	for (size_t i = 0; i < w->n_changes; i++)
		pf_records_free(&w->changes[i].puts);
	pf_records_free(&w->live_records);
	pf_records_free(&w->deleted_records);
	rig_table_free(&w->table);
}

/* Without faults every change gets its result; late commits arrive. */
static void settle(struct world *w)
{
	for (int i = 0; i < 5000 && w->result->violations == 0; i++) {
		if (w->n_ops)
			step_table(w, 0);
		else
			advance_clock(w, 500);
	}
	while (w->n_late_commits)
		deliver_late_commit(w);
	for (size_t i = 0; i < w->n_changes; i++)
		if (w->changes[i].open_requests && !w->result->violations)
			fuzz_violation(w->result, "%s never got a result",
				       w->changes[i].id);
}

/* Whether a commit in flight belongs to a change reported as not applied. */
static bool not_applied_but_in_flight(struct world *w)
{
	for (size_t i = 0; i < w->n_late_commits; i++) {
		const struct fuzz_change *ch =
			change_by_op(w, &w->late_commits[i]);

		if (ch && ch->reported_not_applied)
			return true;
	}
	return false;
}

void fuzz_accept(uint64_t seed, uint32_t steps_max, struct fuzz_result *r)
{
	struct world *w = calloc(1, sizeof(*w));

	if (!w)
		return;
	if (world_init(w, seed, r) < 0)
		goto out;
	for (uint32_t i = 0; i < steps_max && !r->violations; i++) {
		uint32_t draw = pf_rng_below(&w->rng, 100);

		r->steps++;
		if (draw < 12)
			step_operator(w);
		else if (draw < 40 && not_applied_but_in_flight(w))
			deliver_late_commit(w);
		else if (draw < 85)
			step_table(w, 8);
		else if (draw < 88)
			deliver_late_commit(w);
		else if (w->entries_crash && draw < 92)
			crash_core(w);
		else if (draw < 90)
			w->outage_requests =
				pf_rng_below(&w->rng, OUTAGE_REQUESTS_MAX);
		else
			advance_clock(w, 1 + (pf_ms)pf_rng_below(&w->rng, 400));
	}
	settle(w);
out:
	world_free(w);
	free(w);
}
