/*
 * Claim core: group commit of claims, results and voids to this incarnation's
 * log. One row is in flight at a time. A write whose reply was lost is retried
 * with the same sequence number and text until its outcome is known, so the
 * row cannot be written twice.
 */
#include "claim_core.h"

#include <stdlib.h>
#include <string.h>

#define BACKOFF_MIN_MS 20
#define BACKOFF_MAX_MS 1000

static void entry_push(struct claim_entry_list *q, struct claim_entry *e)
{
	e->next = NULL;
	if (q->last)
		q->last->next = e;
	else
		q->first = e;
	q->last = e;
	q->n++;
}

static struct claim_entry *entry_pop(struct claim_entry_list *q)
{
	struct claim_entry *e = q->first;

	if (!e)
		return NULL;
	q->first = e->next;
	if (!q->first)
		q->last = NULL;
	q->n--;
	return e;
}

static void entry_free(struct claim_entry *e)
{
	free(e->answer);
	free(e);
}

void claim_entries_clear(struct claim_entry_list *q)
{
	struct claim_entry *e;

	while ((e = entry_pop(q)))
		entry_free(e);
}

int claim_queue_entry(struct pf_claim *c, struct claim_key *k,
		      enum claim_entry_type type, struct pf_str answer,
		      pf_ms now)
{
	struct claim_entry *e = calloc(1, sizeof(*e));

	if (!e)
		return -1;
	e->type = type;
	e->key_index = (uint32_t)(k - c->keys);
	e->key = k->key;
	e->queued_at = now;
	if (type == ENTRY_RESULT && answer.n <= c->opts.answer_bytes_max) {
		e->answer = pf_str_dup(answer);
		e->answer_len = answer.n;
	}
	entry_push(&c->queue, e);
	return 0;
}

/* 0, or -1 when the row is conditional on too many shards. */
static int flush_add_shard(struct claim_flush *f, uint32_t shard,
			   uint64_t revision)
{
	for (uint32_t i = 0; i < f->n_claimed_shards; i++)
		if (f->claimed_shards[i].shard == shard)
			return 0;
	if (f->n_claimed_shards == CLAIM_TXN_ROWS_MAX)
		return -1;
	f->claimed_shards[f->n_claimed_shards].shard = shard;
	f->claimed_shards[f->n_claimed_shards].revision = revision;
	f->n_claimed_shards++;
	return 0;
}

static enum claim_key_state pending_state(enum claim_entry_type type)
{
	switch (type) {
	case ENTRY_CLAIM:
		return KEY_PENDING;
	case ENTRY_RESULT:
		return KEY_STORING;
	default:
		return KEY_VOIDING;
	}
}

/*
 * Whether the key still waits for this entry. It does not after another owner
 * claimed the key while the shard was not ours.
 */
static bool entry_current(const struct pf_claim *c, const struct claim_entry *e)
{
	const struct claim_key *k = &c->keys[e->key_index];

	return k->key == e->key && k->state == pending_state(e->type);
}

/* A claim without waiters is obsolete; a lost shard's waiters are refused. */
static bool entry_obsolete(struct pf_claim *c, const struct claim_entry *e,
			   const struct pf_claim_sink *sink)
{
	struct claim_key *k = &c->keys[e->key_index];

	if (!entry_current(c, e))
		return true;
	if (e->type != ENTRY_CLAIM)
		return false;
	if (!pf_claim_owns(c, k->shard))
		claim_reply_all(c, k, PF_REASON_NOT_RESIDENT, PF_STR(""), sink);
	if (k->first_waiter != CLAIM_NONE)
		return false;
	claim_key_drop(c, k);
	return true;
}

static void flush_fill(struct pf_claim *c, pf_ms now,
		       const struct pf_claim_sink *sink)
{
	struct claim_flush *f = &c->flush;

	f->n_claimed_shards = 0;
	claim_log_row_begin(&f->row_text, now);
	while (c->queue.first && f->entries.n < c->opts.batch_max) {
		struct claim_entry *e = c->queue.first;
		struct claim_key *k = &c->keys[e->key_index];

		if (entry_obsolete(c, e, sink)) {
			entry_free(entry_pop(&c->queue));
			continue;
		}
		if (e->type == ENTRY_CLAIM &&
		    flush_add_shard(f, k->shard, c->shards[k->shard].revision) <
			    0)
			break;
		claim_log_row_add(&f->row_text, k, e);
		entry_push(&f->entries, entry_pop(&c->queue));
	}
	f->seq = c->next_seq;
	f->in_doubt = false;
	f->backoff = BACKOFF_MIN_MS;
}

/* Fenced: the log row must be new and its shards' revisions unchanged. */
static void flush_send(struct pf_claim *c, const struct pf_claim_sink *sink)
{
	struct claim_flush *f = &c->flush;
	struct claim_log_id me = { c->opts.agent, c->opts.incarnation };
	char keys[CLAIM_TXN_ROWS_MAX + 1][CLAIM_ROW_KEY_MAX];
	struct pf_table_check checks[CLAIM_TXN_ROWS_MAX + 1];
	struct pf_table_put put;
	struct pf_claim_act a = { .type = PF_CLAIM_TXN };

	claim_log_row_key(c, me, f->seq, keys[0]);
	checks[0] = (struct pf_table_check){ pf_str_c(keys[0]), 0 };
	for (uint32_t i = 0; i < f->n_claimed_shards; i++) {
		claim_shard_row_key(c, f->claimed_shards[i].shard, keys[i + 1]);
		checks[i + 1].key = pf_str_c(keys[i + 1]);
		checks[i + 1].revision = f->claimed_shards[i].revision;
	}
	put.key = checks[0].key;
	put.value = pf_text_str(&f->row_text);
	f->op = ++c->next_op;
	a.u.txn.op = f->op;
	a.u.txn.txn.checks = checks;
#ifdef PF_MUTANT_CLAIM_FENCE
	a.u.txn.txn.n_checks = 1;
#else
	a.u.txn.txn.n_checks = f->n_claimed_shards + 1;
#endif
	a.u.txn.txn.puts = &put;
	a.u.txn.txn.n_puts = 1;
	sink->emit(sink->ctx, &a);
}

/* The row was not written: puts its entries back at the head of the queue. */
static void flush_requeue(struct pf_claim *c)
{
	struct claim_entry_list all = c->flush.entries;
	struct claim_entry *e;

	memset(&c->flush.entries, 0, sizeof(c->flush.entries));
	while ((e = entry_pop(&c->queue)))
		entry_push(&all, e);
	c->queue = all;
	c->flush.n_claimed_shards = 0;
}

void claim_flush_if_due(struct pf_claim *c, pf_ms now,
			const struct pf_claim_sink *sink)
{
	struct claim_flush *f = &c->flush;

	/* A move in flight changes the shard revisions that rows check. */
	if (f->op || c->phase == PHASE_MOVE_SHARDS || c->superseded)
		return;
	if (f->entries.n == 0) {
		if (!c->queue.first || now < c->next_flush_at)
			return;
		flush_fill(c, now, sink);
		if (f->entries.n == 0)
			return;
		if (f->row_text.failed) {
			/* Out of memory: the entries are retried. */
			flush_requeue(c);
			c->next_flush_at = now + BACKOFF_MAX_MS;
			return;
		}
	}
	if (now < f->retry_at)
		return;
	f->retry_at = 0;
	c->next_flush_at = now + (pf_ms)(1000.0 / c->opts.writes_per_s);
	flush_send(c, sink);
}

static void settle_result(struct claim_entry *e, const struct claim_key *k,
			  const struct pf_claim_sink *sink)
{
	struct pf_claim_act a = { .type = PF_CLAIM_RESULT_SETTLED };

	if (e->settled)
		return;
	e->settled = true;
	a.u.key = k->key;
	sink->emit(sink->ctx, &a);
}

static void settle_overdue(struct pf_claim *c, pf_ms now,
			   struct claim_entry_list *q,
			   const struct pf_claim_sink *sink)
{
	for (struct claim_entry *e = q->first; e; e = e->next)
		if (e->type == ENTRY_RESULT &&
		    now - e->queued_at >= c->opts.table_timeout)
			settle_result(e, &c->keys[e->key_index], sink);
}

void claim_settle_overdue_results(struct pf_claim *c, pf_ms now,
				  const struct pf_claim_sink *sink)
{
	settle_overdue(c, now, &c->flush.entries, sink);
	settle_overdue(c, now, &c->queue, sink);
}

void claim_settle_all_results(struct pf_claim *c,
			      const struct pf_claim_sink *sink)
{
	claim_settle_overdue_results(c, PF_NEVER, sink);
}

static void entry_committed(struct pf_claim *c, pf_ms now,
			    struct claim_entry *e,
			    const struct pf_claim_sink *sink)
{
	struct claim_key *k = &c->keys[e->key_index];
	struct pf_str text = { e->answer, e->answer_len };

	if (!entry_current(c, e))
		return;
	switch (e->type) {
	case ENTRY_CLAIM:
		if (claim_grant(c, k, sink) == 0)
			break;
		/* All waiters are gone: the run will not start. */
		k->state = KEY_VOIDING;
		if (claim_queue_entry(c, k, ENTRY_VOID, PF_STR(""), now) < 0)
			k->state = KEY_UNKNOWN;
		break;
	case ENTRY_RESULT:
		k->state = KEY_DONE;
		k->log = CLAIM_LOG_OWN;
		k->result_seq = c->flush.seq;
		settle_result(e, k, sink);
		claim_reply_all(c, k, PF_REASON_NONE, text, sink);
		break;
	case ENTRY_VOID:
		c->stats.voids++;
		if (k->first_waiter == CLAIM_NONE) {
			claim_key_drop(c, k);
			break;
		}
		k->state = KEY_PENDING;
		if (claim_queue_entry(c, k, ENTRY_CLAIM, PF_STR(""), now) < 0) {
			claim_reply_all(c, k, PF_REASON_FULL, PF_STR(""), sink);
			claim_key_drop(c, k);
		}
		break;
	}
}

static void row_committed(struct pf_claim *c, pf_ms now,
			  const struct pf_claim_sink *sink)
{
	struct claim_flush *f = &c->flush;
	struct claim_entry *e;

	c->stats.rows_written++;
	c->stats.entries_written += f->entries.n;
	c->next_seq = f->seq + 1;
	while ((e = entry_pop(&f->entries))) {
		entry_committed(c, now, e, sink);
		entry_free(e);
	}
	f->n_claimed_shards = 0;
}

/* Check 0 is our log row, check i + 1 the shard row of claimed_shards[i]. */
static void row_conflict(struct pf_claim *c, pf_ms now, uint32_t failed,
			 const struct pf_claim_sink *sink)
{
	struct claim_flush *f = &c->flush;

	c->stats.conflicts++;
	if (failed == 0 && f->in_doubt) {
		row_committed(c, now, sink);
		return;
	}
	if (failed == 0) {
		/* Another process writes our log under our incarnation. */
		claim_supersede(c, sink);
		return;
	}
	/* A later revision means that we lost the shard and own it again. */
	if (failed <= f->n_claimed_shards &&
	    c->shards[f->claimed_shards[failed - 1].shard].revision ==
		    f->claimed_shards[failed - 1].revision)
		claim_shard_lost(c, f->claimed_shards[failed - 1].shard, sink);
	flush_requeue(c);
}

static void flush_back_off(struct pf_claim *c, pf_ms now)
{
	struct claim_flush *f = &c->flush;

	f->retry_at = now + f->backoff / 2 +
		      pf_rng_below(&c->rng, (uint32_t)f->backoff);
	f->backoff *= 2;
	if (f->backoff > BACKOFF_MAX_MS)
		f->backoff = BACKOFF_MAX_MS;
}

void claim_flush_done(struct pf_claim *c, pf_ms now,
		      const struct pf_claim_msg *m,
		      const struct pf_claim_sink *sink)
{
	struct claim_flush *f = &c->flush;

	f->op = 0;
	switch (m->u.txn.status) {
	case PF_TABLE_OK:
		row_committed(c, now, sink);
		break;
	case PF_TABLE_CONFLICT:
		row_conflict(c, now, m->u.txn.failed_check, sink);
		break;
	case PF_TABLE_LIMITED:
		c->stats.writes_limited++;
		flush_back_off(c, now);
		break;
	case PF_TABLE_UNKNOWN:
		c->stats.writes_in_doubt++;
		f->in_doubt = true;
		flush_back_off(c, now);
		break;
	}
}
