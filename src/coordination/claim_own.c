/*
 * Claim core: the control cycle. One operation on the table at a time: see who
 * is alive, beat, see the shards, take or hand over, read the logs of earlier
 * owners, read stored answers, delete old rows.
 */
#include "claim_core.h"

#include <stdio.h>
#include <string.h>

#define OWNER_ROW_LEASES 10 /* a row silent for so many leases is deleted */
#define REREAD_EVERY 1000 /* ms, between passes that could not finish */

static uint64_t new_op(struct pf_claim *c)
{
	c->op = ++c->next_op;
	return c->op;
}

static void scan(struct pf_claim *c, const char *prefix, uint32_t limit,
		 const struct pf_claim_sink *sink)
{
	struct pf_claim_act a = { .type = PF_CLAIM_SCAN };

	a.u.scan.op = new_op(c);
	a.u.scan.prefix = pf_str_c(prefix);
	a.u.scan.after = pf_str_c(c->scan_after);
	a.u.scan.limit = limit;
	sink->emit(sink->ctx, &a);
}

static void scan_rows_of(struct pf_claim *c, enum claim_phase phase,
			 const struct pf_claim_sink *sink)
{
	char prefix[CLAIM_KEY_LEN];

	snprintf(prefix, sizeof(prefix), "%s%s/",
		 phase == PHASE_OWNERS ? PF_CLAIM_OWNER_PREFIX
				       : PF_CLAIM_SHARD_PREFIX,
		 c->service);
	c->phase = phase;
	scan(c, prefix, CLAIM_SCAN_ROWS, sink);
}

static void scan_log(struct pf_claim *c, const struct pf_claim_sink *sink)
{
	struct claim_log *l = &c->logs[c->reading];
	char prefix[CLAIM_KEY_LEN];

	claim_log_prefix(c, l->id, prefix);
	memcpy(c->scan_after, l->cursor, sizeof(c->scan_after));
	c->phase = PHASE_READ;
	scan(c, prefix, CLAIM_SCAN_ROWS, sink);
}

/* Reads the row that holds the answer of the ask that waited longest. */
static void scan_answer(struct pf_claim *c, const struct pf_claim_sink *sink)
{
	char key[CLAIM_KEY_LEN];
	const struct claim_key *k;
	uint32_t i = 0;

	while (c->waiters[i].wait != WAIT_READ)
		i++;
	c->answer_key = c->waiters[i].key;
	k = &c->keys[c->answer_key];
	claim_log_key(c, c->logs[k->log].id, k->seq, key);
	c->scan_after[0] = '\0';
	c->phase = PHASE_ANSWER;
	scan(c, key, 1, sink);
}

static void scan_old(struct pf_claim *c, const struct pf_claim_sink *sink)
{
	char prefix[CLAIM_KEY_LEN];

	c->gc_log = (c->gc_log + 1) % c->n_logs;
	claim_log_prefix(c, c->logs[c->gc_log].id, prefix);
	c->scan_after[0] = '\0';
	c->phase = PHASE_GC;
	scan(c, prefix, CLAIM_SHARDS_PER_TXN, sink);
}

static void emit_txn(struct pf_claim *c, const struct pf_table_txn *txn,
		     const struct pf_claim_sink *sink)
{
	struct pf_claim_act a = { .type = PF_CLAIM_TXN };

	a.u.txn.op = new_op(c);
	a.u.txn.txn = *txn;
	sink->emit(sink->ctx, &a);
}

/* An agent whose row has long been silent, or NULL. */
static struct claim_owner *long_gone(struct pf_claim *c, pf_ms now)
{
	for (uint32_t i = 0; i < c->n_owners; i++)
		if (c->owners[i].agent != c->o.agent &&
		    now - c->owners[i].changed > c->o.lease * OWNER_ROW_LEASES)
			return &c->owners[i];
	return NULL;
}

/* Writes our row, and deletes that of an agent that is long gone. */
static void beat(struct pf_claim *c, pf_ms now,
		 const struct pf_claim_sink *sink)
{
	struct claim_owner *me = claim_owner_find(c, c->o.agent);
	struct claim_owner *gone = long_gone(c, now);
	char mine[CLAIM_KEY_LEN], theirs[CLAIM_KEY_LEN];
	struct pf_table_check checks[2];
	struct pf_table_put put;
	struct pf_str del;
	struct pf_text text = { 0 };
	struct pf_table_txn txn = { .checks = checks,
				    .n_checks = 1,
				    .puts = &put,
				    .n_puts = 1,
				    .deletes = &del,
				    .n_deletes = 0 };

	c->beat++;
	claim_owner_text(c, &text);
	claim_owner_key(c, c->o.agent, mine);
	checks[0].key = pf_str_c(mine);
	checks[0].revision = me->revision;
	put.key = checks[0].key;
	put.value = pf_text_str(&text);
	if (gone) {
		claim_owner_key(c, gone->agent, theirs);
		checks[1].key = pf_str_c(theirs);
		checks[1].revision = gone->revision;
		del = checks[1].key;
		txn.n_checks = 2;
		txn.n_deletes = 1;
	}
	c->phase = PHASE_BEAT;
	if (text.failed)
		c->phase = PHASE_IDLE;
	else
		emit_txn(c, &txn, sink);
	pf_text_free(&text);
}

/* Drops the logs that no remembered key can be in, and that of @owner. */
static void prune_logs(const struct pf_claim *c, struct claim_shard *s,
		       struct claim_log_id owner, pf_ms now)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < s->n_logs; i++) {
		struct claim_past *p = &s->logs[i];

		if (p->id.agent == owner.agent &&
		    p->id.incarnation == owner.incarnation)
			continue;
		if (now - p->until < 2 * c->o.retention)
			s->logs[n++] = *p;
	}
	s->n_logs = n;
}

static void move(struct pf_claim *c, pf_ms now,
		 const struct pf_claim_sink *sink)
{
	char keys[CLAIM_SHARDS_PER_TXN][CLAIM_KEY_LEN];
	struct pf_table_check checks[CLAIM_SHARDS_PER_TXN];
	struct pf_table_put puts[CLAIM_SHARDS_PER_TXN];
	struct pf_text text[CLAIM_SHARDS_PER_TXN] = { 0 };
	struct pf_table_txn txn = { .checks = checks, .puts = puts };
	bool failed = false;

	for (uint32_t i = 0; i < c->n_moving; i++) {
		struct claim_shard *s = &c->shards[c->moving[i].shard];

		prune_logs(c, s, s->owner, now);
		claim_shard_key(c, c->moving[i].shard, keys[i]);
		claim_shard_text(s, c->moving[i].to, now, &text[i]);
		failed |= text[i].failed;
		checks[i].key = pf_str_c(keys[i]);
		checks[i].revision = s->revision;
		puts[i].key = checks[i].key;
		puts[i].value = pf_text_str(&text[i]);
	}
	c->moved_at = now;
	txn.n_checks = c->n_moving;
	txn.n_puts = c->n_moving;
	c->phase = failed ? PHASE_IDLE : PHASE_MOVE;
	if (!failed)
		emit_txn(c, &txn, sink);
	for (uint32_t i = 0; i < c->n_moving; i++)
		pf_text_free(&text[i]);
}

/* Moves wait until no row is in flight that is checked by shard rows. */
static bool move_due(struct pf_claim *c, pf_ms now)
{
	if (!c->plan_again || c->flush.items.n > 0)
		return false;
	c->plan_again = claim_plan(c, now);
	return c->plan_again;
}

void claim_control(struct pf_claim *c, pf_ms now,
		   const struct pf_claim_sink *sink)
{
	if (c->op || c->superseded || c->drained)
		return;
	c->phase = PHASE_IDLE;
	if (move_due(c, now)) {
		move(c, now, sink);
	} else if (now >= c->next_beat) {
		c->next_beat = now + c->o.heartbeat_interval;
		c->scan_after[0] = '\0';
		for (uint32_t i = 0; i < c->n_owners; i++)
			c->owners[i].revision = 0;
		scan_rows_of(c, PHASE_OWNERS, sink);
	} else if ((c->any_taken || c->n_wait[WAIT_REFRESH]) &&
		   now >= c->next_read) {
		if (claim_read_wanted(c))
			scan_log(c, sink);
		else
			claim_read_end(c, now, sink);
	} else if (c->n_wait[WAIT_READ]) {
		scan_answer(c, sink);
	} else if (now >= c->next_gc) {
		c->next_gc = now + c->o.gc_interval;
		claim_keys_expire(c, now);
		scan_old(c, sink);
	}
}

void claim_shard_lost(struct pf_claim *c, uint32_t shard,
		      const struct pf_claim_sink *sink)
{
	struct pf_claim_act a = { .type = PF_CLAIM_SHARDS_CHANGED };

	if (c->shards[shard].hold == HOLD_NO)
		return;
	c->shards[shard].hold = HOLD_NO;
	for (uint32_t i = 0; i < c->o.waiters_max && c->n_waiting; i++) {
		struct claim_waiter *w = &c->waiters[i];
		struct claim_key *k = &c->keys[w->key];

		/* The new owner knows the key; the entry asks there. */
		if ((w->wait == WAIT_REFRESH || w->wait == WAIT_READ) &&
		    k->shard == shard)
			claim_answer_all(c, k, PF_REASON_NOT_RESIDENT,
					 PF_STR(""), sink);
	}
	sink->emit(sink->ctx, &a);
}

void claim_shard_taken(struct pf_claim *c, uint32_t shard)
{
	c->shards[shard].hold = HOLD_TAKEN;
	c->any_taken = true;
	c->next_read = 0;
	c->st.takeovers++;
	/* What others wrote is read anew, from all their logs. */
	for (uint32_t i = 0; i < c->fresh_key; i++) {
		struct claim_key *k = &c->keys[i];

		if (k->state != KEY_FREE && k->shard == shard &&
		    k->log != CLAIM_LOG_OWN && k->waiters == CLAIM_NONE)
			claim_key_drop(c, k);
	}
}

/* A shard row as the scan shows it. */
static void see_shard(struct pf_claim *c, const struct pf_table_row *row,
		      const struct pf_claim_sink *sink)
{
	int n = claim_shard_number(c, row->key);
	struct claim_shard *s;

	if (n < 0 || row->revision <= c->shards[n].revision)
		return;
	s = &c->shards[n];
	if (claim_shard_parse(c, row->value, s) < 0)
		return;
	s->revision = row->revision;
	claim_shard_lost(c, (uint32_t)n, sink);
	if (claim_is_me(c, s->owner))
		claim_shard_taken(c, (uint32_t)n);
}

static struct claim_owner *owner_add(struct pf_claim *c, uint64_t agent)
{
	struct claim_owner *w;

	if (c->n_owners == c->o.agents_max)
		return NULL;
	w = &c->owners[c->n_owners++];
	memset(w, 0, sizeof(*w));
	w->agent = agent;
	return w;
}

/* The row of an agent. Our own with a later incarnation stops this one. */
static void see_owner(struct pf_claim *c, pf_ms now,
		      const struct pf_table_row *row,
		      const struct pf_claim_sink *sink)
{
	struct claim_owner seen = { 0 };
	struct claim_owner *w;

	if (claim_owner_parse(row->key, row->value, &seen) < 0)
		return;
	if (seen.agent == c->o.agent && seen.incarnation > c->o.incarnation) {
		claim_stop(c, sink);
		return;
	}
	w = claim_owner_find(c, seen.agent);
	if (!w)
		w = owner_add(c, seen.agent);
	if (!w)
		return;
	w->revision = row->revision;
	if (w->agent == c->o.agent)
		return;
	if (w->incarnation != seen.incarnation || w->beat != seen.beat)
		w->changed = now;
	w->incarnation = seen.incarnation;
	w->beat = seen.beat;
	w->leaving = seen.leaving;
}

/* Forgets agents whose rows are gone. */
static void owners_seen(struct pf_claim *c)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < c->n_owners; i++)
		if (c->owners[i].revision || c->owners[i].agent == c->o.agent)
			c->owners[n++] = c->owners[i];
	c->n_owners = n;
}

/* Answers the asks whose stored answer was read. */
static void answer_read(struct pf_claim *c, const struct pf_claim_msg *m,
			const struct pf_claim_sink *sink)
{
	struct claim_key *k = &c->keys[c->answer_key];
	enum pf_reason reason = PF_REASON_OUTCOME_UNKNOWN;
	struct pf_str answer = PF_STR("");
	struct claim_line l;
	struct pf_str rest;
	pf_ms at;

	if (k->state != KEY_DONE)
		return;
	if (m->u.scan.n_rows) {
		rest = m->u.scan.rows[0].value;
		if (claim_row_time(&rest, &at) < 0)
			rest.n = 0;
		while (claim_row_next(&rest, &l) > 0) {
			if (l.type != ENTRY_RESULT || l.key != k->key)
				continue;
			reason = PF_REASON_NONE;
			answer = l.answer;
		}
	}
	claim_answer_all(c, k, reason, answer, sink);
}

static void delete_old(struct pf_claim *c, pf_ms now,
		       const struct pf_claim_msg *m,
		       const struct pf_claim_sink *sink)
{
	struct pf_str dels[CLAIM_SHARDS_PER_TXN];
	struct pf_table_txn txn = { .deletes = dels };

	for (size_t i = 0; i < m->u.scan.n_rows && i < CLAIM_SHARDS_PER_TXN;
	     i++) {
		struct pf_str rest = m->u.scan.rows[i].value;
		pf_ms at;

		if (claim_row_time(&rest, &at) < 0 ||
		    now - at < 2 * c->o.retention)
			break;
		dels[txn.n_deletes++] = m->u.scan.rows[i].key;
	}
	c->phase = PHASE_IDLE;
	if (txn.n_deletes == 0)
		return;
	c->st.rows_deleted += txn.n_deletes;
	c->phase = PHASE_DELETE;
	emit_txn(c, &txn, sink);
}

/* Continues a scan behind its last row; false at its end. */
static bool scan_more(struct pf_claim *c, const struct pf_claim_msg *m,
		      const struct pf_claim_sink *sink)
{
	struct pf_str last;

	if (!m->u.scan.more || m->u.scan.n_rows == 0)
		return false;
	last = m->u.scan.rows[m->u.scan.n_rows - 1].key;
	if (last.n >= sizeof(c->scan_after))
		return false;
	memcpy(c->scan_after, last.p, last.n);
	c->scan_after[last.n] = '\0';
	scan_rows_of(c, c->phase, sink);
	return true;
}

static void scanned_owners(struct pf_claim *c, pf_ms now,
			   const struct pf_claim_msg *m,
			   const struct pf_claim_sink *sink)
{
	for (size_t i = 0; i < m->u.scan.n_rows && !c->superseded; i++)
		see_owner(c, now, &m->u.scan.rows[i], sink);
	if (c->superseded || scan_more(c, m, sink))
		return;
	owners_seen(c);
	beat(c, now, sink);
}

static void scanned_shards(struct pf_claim *c, const struct pf_claim_msg *m,
			   const struct pf_claim_sink *sink)
{
	for (size_t i = 0; i < m->u.scan.n_rows; i++)
		see_shard(c, &m->u.scan.rows[i], sink);
	if (!scan_more(c, m, sink))
		c->plan_again = true;
}

static void scanned_log(struct pf_claim *c, pf_ms now,
			const struct pf_claim_msg *m,
			const struct pf_claim_sink *sink)
{
	claim_read_rows(c, now, m);
	if (claim_read_next(c)) {
		scan_log(c, sink);
		return;
	}
	claim_read_end(c, now, sink);
	if (c->any_taken)
		c->next_read = now + REREAD_EVERY;
}

void claim_control_scan(struct pf_claim *c, pf_ms now,
			const struct pf_claim_msg *m,
			const struct pf_claim_sink *sink)
{
	c->op = 0;
	if (m->u.scan.status != PF_TABLE_OK) {
		/* The next cycle starts over; a pass of reading goes on. */
		c->next_read = now + REREAD_EVERY;
		return;
	}
	switch (c->phase) {
	case PHASE_OWNERS:
		scanned_owners(c, now, m, sink);
		break;
	case PHASE_SHARDS:
		scanned_shards(c, m, sink);
		break;
	case PHASE_READ:
		scanned_log(c, now, m, sink);
		break;
	case PHASE_ANSWER:
		answer_read(c, m, sink);
		break;
	case PHASE_GC:
		delete_old(c, now, m, sink);
		break;
	default:
		break;
	}
}

/* The moves stand: the rows are as we wrote them. */
static void moved(struct pf_claim *c, uint64_t revision,
		  const struct pf_claim_sink *sink)
{
	for (uint32_t i = 0; i < c->n_moving; i++) {
		uint32_t shard = c->moving[i].shard;
		struct claim_shard *s = &c->shards[shard];

		if (s->revision) {
			s->logs[s->n_logs].id = s->owner;
			s->logs[s->n_logs].until = c->moved_at;
			s->n_logs++;
		}
		s->epoch++;
		s->owner = c->moving[i].to;
		s->revision = revision;
		claim_shard_lost(c, shard, sink);
		if (claim_is_me(c, s->owner))
			claim_shard_taken(c, shard);
		else
			c->st.handovers++;
	}
}

void claim_control_txn(struct pf_claim *c, const struct pf_claim_msg *m,
		       const struct pf_claim_sink *sink)
{
	struct claim_owner *me = claim_owner_find(c, c->o.agent);
	bool ok = m->u.txn.status == PF_TABLE_OK;

	c->op = 0;
	switch (c->phase) {
	case PHASE_BEAT:
		if (ok)
			me->revision = m->u.txn.revision;
		c->scan_after[0] = '\0';
		scan_rows_of(c, PHASE_SHARDS, sink);
		break;
	case PHASE_MOVE:
		c->phase = PHASE_IDLE;
		if (ok)
			moved(c, m->u.txn.revision, sink);
		else
			c->plan_again = false;
		break;
	default:
		break;
	}
}
