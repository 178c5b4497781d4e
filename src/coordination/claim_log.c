/*
 * Claim core: group commit of claims, results and voids to this incarnation's
 * log. One row is in flight at a time. Its number and contents stay the same
 * until its outcome is certain, so that a row whose answer was lost and that
 * is sent again cannot stand twice.
 */
#include "claim_core.h"

#include <stdlib.h>
#include <string.h>

#define BACKOFF_MIN 20 /* ms */
#define BACKOFF_MAX 1000 /* ms */

static void push(struct claim_pends *q, struct claim_pend *p)
{
	p->next = NULL;
	if (q->last)
		q->last->next = p;
	else
		q->first = p;
	q->last = p;
	q->n++;
}

static struct claim_pend *pop(struct claim_pends *q)
{
	struct claim_pend *p = q->first;

	if (!p)
		return NULL;
	q->first = p->next;
	if (!q->first)
		q->last = NULL;
	q->n--;
	return p;
}

static void pend_free(struct claim_pend *p)
{
	free(p->answer);
	free(p);
}

void claim_pends_clear(struct claim_pends *q)
{
	struct claim_pend *p;

	while ((p = pop(q)))
		pend_free(p);
}

int claim_queue(struct pf_claim *c, struct claim_key *k, enum claim_entry type,
		struct pf_str answer, pf_ms now)
{
	struct claim_pend *p = calloc(1, sizeof(*p));

	if (!p)
		return -1;
	p->type = type;
	p->key = (uint32_t)(k - c->keys);
	p->id = k->key;
	p->since = now;
	if (type == ENTRY_RESULT && answer.n <= c->o.answer_bytes_max) {
		p->answer = pf_str_dup(answer);
		p->answer_n = answer.n;
	}
	push(&c->queue, p);
	return 0;
}

/* Notes that the row claims in @shard. -1 when it claims in too many. */
static int add_shard(struct claim_flush *f, uint32_t shard, uint64_t revision)
{
	for (uint32_t i = 0; i < f->n_shards; i++)
		if (f->shards[i].shard == shard)
			return 0;
	if (f->n_shards == CLAIM_SHARDS_PER_TXN)
		return -1;
	f->shards[f->n_shards].shard = shard;
	f->shards[f->n_shards].revision = revision;
	f->n_shards++;
	return 0;
}

static enum claim_key_state state_of(enum claim_entry type)
{
	switch (type) {
	case ENTRY_CLAIM:
		return KEY_PENDING;
	case ENTRY_RESULT:
		return KEY_ENDING;
	default:
		return KEY_VOIDING;
	}
}

/*
 * Whether the key still waits for this entry. It does not when the log of
 * another owner showed a claim that was made while the shard was away.
 */
static bool pend_stands(const struct pf_claim *c, const struct claim_pend *p)
{
	const struct claim_key *k = &c->keys[p->key];

	return k->key == p->id && k->state == state_of(p->type);
}

/* A claim that nobody waits for any more, or whose shard is gone. */
static bool claim_is_void(struct pf_claim *c, const struct claim_pend *p,
			  const struct pf_claim_sink *sink)
{
	struct claim_key *k = &c->keys[p->key];

	if (!pend_stands(c, p))
		return true;
	if (p->type != ENTRY_CLAIM)
		return false;
	if (!pf_claim_owns(c, k->shard))
		claim_answer_all(c, k, PF_REASON_NOT_RESIDENT, PF_STR(""),
				 sink);
	if (k->waiters != CLAIM_NONE)
		return false;
	claim_key_drop(c, k);
	return true;
}

/* Moves entries from the queue into the row. */
static void fill(struct pf_claim *c, pf_ms now,
		 const struct pf_claim_sink *sink)
{
	struct claim_flush *f = &c->flush;

	f->n_shards = 0;
	claim_row_begin(&f->text, now);
	while (c->queue.first && f->items.n < c->o.batch_max) {
		struct claim_pend *p = c->queue.first;
		struct claim_key *k = &c->keys[p->key];

		if (claim_is_void(c, p, sink)) {
			pend_free(pop(&c->queue));
			continue;
		}
		if (p->type == ENTRY_CLAIM &&
		    add_shard(f, k->shard, c->shards[k->shard].revision) < 0)
			break;
		claim_row_add(&f->text, k, p);
		push(&f->items, pop(&c->queue));
	}
	f->seq = c->next_seq;
	f->in_doubt = false;
	f->backoff = BACKOFF_MIN;
}

/* Our log's row must be new; each shard it claims in must still be ours. */
static void send(struct pf_claim *c, const struct pf_claim_sink *sink)
{
	struct claim_flush *f = &c->flush;
	struct claim_log_id me = { c->o.agent, c->o.incarnation };
	char keys[CLAIM_SHARDS_PER_TXN + 1][CLAIM_KEY_LEN];
	struct pf_table_check checks[CLAIM_SHARDS_PER_TXN + 1];
	struct pf_table_put put;
	struct pf_claim_act a = { .type = PF_CLAIM_TXN };

	claim_log_key(c, me, f->seq, keys[0]);
	checks[0] = (struct pf_table_check){ pf_str_c(keys[0]), 0 };
	for (uint32_t i = 0; i < f->n_shards; i++) {
		claim_shard_key(c, f->shards[i].shard, keys[i + 1]);
		checks[i + 1].key = pf_str_c(keys[i + 1]);
		checks[i + 1].revision = f->shards[i].revision;
	}
	put.key = checks[0].key;
	put.value = pf_text_str(&f->text);
	f->op = ++c->next_op;
	a.u.txn.op = f->op;
	a.u.txn.txn.checks = checks;
#ifdef PF_MUTANT_CLAIM_FENCE
	a.u.txn.txn.n_checks = 1;
#else
	a.u.txn.txn.n_checks = f->n_shards + 1;
#endif
	a.u.txn.txn.puts = &put;
	a.u.txn.txn.n_puts = 1;
	sink->emit(sink->ctx, &a);
}

/* The row certainly does not stand: its entries go back to the queue. */
static void put_back(struct pf_claim *c)
{
	struct claim_pends all = c->flush.items;
	struct claim_pend *p;

	memset(&c->flush.items, 0, sizeof(c->flush.items));
	while ((p = pop(&c->queue)))
		push(&all, p);
	c->queue = all;
	c->flush.n_shards = 0;
}

void claim_flush_maybe(struct pf_claim *c, pf_ms now,
		       const struct pf_claim_sink *sink)
{
	struct claim_flush *f = &c->flush;

	/* A move of shards changes the revisions that a row is checked by. */
	if (f->op || c->phase == PHASE_MOVE || c->superseded)
		return;
	if (f->items.n == 0) {
		if (!c->queue.first || now < c->next_flush)
			return;
		fill(c, now, sink);
		if (f->items.n == 0)
			return;
		if (f->text.failed) {
			/* No memory for the row: the entries wait. */
			put_back(c);
			c->next_flush = now + BACKOFF_MAX;
			return;
		}
	}
	if (now < f->retry_at)
		return;
	f->retry_at = 0;
	c->next_flush = now + (pf_ms)(1000.0 / c->o.writes_per_s);
	send(c, sink);
}

/* Says once that the result needs no more waiting. */
static void tell_stored(struct claim_pend *p, const struct claim_key *k,
			const struct pf_claim_sink *sink)
{
	struct pf_claim_act a = { .type = PF_CLAIM_RESULT_SETTLED };

	if (p->told)
		return;
	p->told = true;
	a.u.key = k->key;
	sink->emit(sink->ctx, &a);
}

static void tell_held(struct pf_claim *c, pf_ms now, struct claim_pends *q,
		      const struct pf_claim_sink *sink)
{
	for (struct claim_pend *p = q->first; p; p = p->next)
		if (p->type == ENTRY_RESULT &&
		    now - p->since >= c->o.table_timeout)
			tell_stored(p, &c->keys[p->key], sink);
}

void claim_results_held(struct pf_claim *c, pf_ms now,
			const struct pf_claim_sink *sink)
{
	tell_held(c, now, &c->flush.items, sink);
	tell_held(c, now, &c->queue, sink);
}

void claim_results_tell(struct pf_claim *c, const struct pf_claim_sink *sink)
{
	claim_results_held(c, PF_NEVER, sink);
}

/* The row stands: claims are granted, results and voids are settled. */
static void settle(struct pf_claim *c, pf_ms now, struct claim_pend *p,
		   const struct pf_claim_sink *sink)
{
	struct claim_key *k = &c->keys[p->key];
	struct pf_str text = { p->answer, p->answer_n };

	if (!pend_stands(c, p))
		return;
	switch (p->type) {
	case ENTRY_CLAIM:
		if (claim_grant(c, k, sink) == 0)
			break;
		/* Nobody waits: the run will not begin, say so in the log. */
		k->state = KEY_VOIDING;
		if (claim_queue(c, k, ENTRY_VOID, PF_STR(""), now) < 0)
			k->state = KEY_UNKNOWN;
		break;
	case ENTRY_RESULT:
		k->state = KEY_DONE;
		k->log = CLAIM_LOG_OWN;
		k->seq = c->flush.seq;
		tell_stored(p, k, sink);
		claim_answer_all(c, k, PF_REASON_NONE, text, sink);
		break;
	case ENTRY_VOID:
		c->st.voids++;
		if (k->waiters == CLAIM_NONE) {
			claim_key_drop(c, k);
			break;
		}
		k->state = KEY_PENDING;
		if (claim_queue(c, k, ENTRY_CLAIM, PF_STR(""), now) < 0) {
			claim_answer_all(c, k, PF_REASON_FULL, PF_STR(""),
					 sink);
			claim_key_drop(c, k);
		}
		break;
	}
}

static void stands(struct pf_claim *c, pf_ms now,
		   const struct pf_claim_sink *sink)
{
	struct claim_flush *f = &c->flush;
	struct claim_pend *p;

	c->st.rows_written++;
	c->st.entries_written += f->items.n;
	c->next_seq = f->seq + 1;
	while ((p = pop(&f->items))) {
		settle(c, now, p, sink);
		pend_free(p);
	}
	f->n_shards = 0;
}

static void conflict(struct pf_claim *c, pf_ms now, uint32_t failed,
		     const struct pf_claim_sink *sink)
{
	struct claim_flush *f = &c->flush;

	c->st.conflicts++;
	if (failed == 0 && f->in_doubt) {
		stands(c, now, sink);
		return;
	}
	if (failed == 0) {
		/* Another process writes our log: it has our incarnation. */
		claim_stop(c, sink);
		return;
	}
	/* A shard that came back to us meanwhile has a later revision. */
	if (failed <= f->n_shards &&
	    c->shards[f->shards[failed - 1].shard].revision ==
		    f->shards[failed - 1].revision)
		claim_shard_lost(c, f->shards[failed - 1].shard, sink);
	put_back(c);
}

static void back_off(struct pf_claim *c, pf_ms now)
{
	struct claim_flush *f = &c->flush;

	f->retry_at = now + f->backoff / 2 +
		      pf_rng_below(&c->rng, (uint32_t)f->backoff);
	f->backoff *= 2;
	if (f->backoff > BACKOFF_MAX)
		f->backoff = BACKOFF_MAX;
}

void claim_flush_done(struct pf_claim *c, pf_ms now,
		      const struct pf_claim_msg *m,
		      const struct pf_claim_sink *sink)
{
	struct claim_flush *f = &c->flush;

	f->op = 0;
	switch (m->u.txn.status) {
	case PF_TABLE_OK:
		stands(c, now, sink);
		break;
	case PF_TABLE_CONFLICT:
		conflict(c, now, m->u.txn.failed_check, sink);
		break;
	case PF_TABLE_LIMITED:
		c->st.writes_limited++;
		back_off(c, now);
		break;
	case PF_TABLE_UNKNOWN:
		c->st.writes_in_doubt++;
		f->in_doubt = true;
		back_off(c, now);
		break;
	}
}
