/*
 * Claim core: reading the logs of earlier owners: from the start to recover a
 * shard, from the last applied row when a request meets a claim without a
 * result. A row is applied to an owned shard only once: a void that is applied
 * again could free a key that was claimed after it. A recovering shard serves
 * no requests, so its rows can be read again until a pass is complete.
 */
#include "claim_core.h"

#include <string.h>

static bool log_in_use(const struct pf_claim *c, uint32_t log)
{
	struct claim_log_id id = c->logs[log].id;

	if (log == CLAIM_LOG_OWN || c->logs[log].to_read)
		return true;
	for (uint32_t i = 0; i < c->keys_end; i++)
		if (c->keys[i].state != KEY_FREE && c->keys[i].log == log)
			return true;
	for (uint32_t i = 0; i < c->opts.shards; i++) {
		const struct claim_shard *s = &c->shards[i];

		for (uint32_t j = 0; s->ownership && j < s->n_past_owners; j++)
			if (s->past_owners[j].id.agent == id.agent &&
			    s->past_owners[j].id.incarnation == id.incarnation)
				return true;
	}
	return false;
}

int claim_log_evict(struct pf_claim *c)
{
	uint32_t last = c->n_logs - 1;

	for (uint32_t i = 0; i < c->n_logs; i++) {
		if (log_in_use(c, i))
			continue;
		c->logs[i] = c->logs[last];
		for (uint32_t k = 0; k < c->keys_end; k++)
			if (c->keys[k].log == last)
				c->keys[k].log = i;
		c->n_logs--;
		return 0;
	}
	return -1;
}

uint32_t claim_log_find(struct pf_claim *c, struct claim_log_id id, bool add)
{
	for (uint32_t i = 0; i < c->n_logs; i++)
		if (c->logs[i].id.agent == id.agent &&
		    c->logs[i].id.incarnation == id.incarnation)
			return i;
	if (!add)
		return CLAIM_NONE;
	if (c->n_logs == c->logs_cap && claim_log_evict(c) < 0)
		return CLAIM_NONE;
	memset(&c->logs[c->n_logs], 0, sizeof(c->logs[0]));
	c->logs[c->n_logs].id = id;
	return c->n_logs++;
}

static void mark_log(struct pf_claim *c, uint32_t log, bool from_start)
{
	struct claim_log *l = &c->logs[log];

	/* All entries of our own log are in memory. */
#ifdef PF_MUTANT_CLAIM_READ
	return;
#endif
	if (log == CLAIM_LOG_OWN || l->to_read)
		return;
	l->to_read = true;
	memcpy(l->cursor, l->applied_to, sizeof(l->cursor));
	if (from_start)
		l->cursor[0] = '\0';
}

static void mark_shard_logs(struct pf_claim *c, struct claim_shard *s)
{
	for (uint32_t i = 0; i < s->n_past_owners; i++) {
		uint32_t log = claim_log_find(c, s->past_owners[i].id, true);

		/* Too many logs: the shard stays RECOVERING. */
		if (log == CLAIM_NONE)
			return;
		mark_log(c, log, true);
	}
}

bool claim_read_start(struct pf_claim *c)
{
	/* An interrupted pass is restarted, not resumed. */
	for (uint32_t i = 0; i < c->n_logs; i++)
		c->logs[i].to_read = false;
	for (uint32_t i = 0; i < c->opts.shards && c->any_recovering; i++)
		if (c->shards[i].ownership == SHARD_RECOVERING)
			mark_shard_logs(c, &c->shards[i]);
	for (uint32_t i = 0; i < c->opts.waiters_max && c->n_by_wait[WAIT_LOG];
	     i++)
		if (c->waiters[i].wait == WAIT_LOG)
			mark_log(c, c->keys[c->waiters[i].key_index].log,
				 false);
	c->read_incomplete = false;
	return claim_read_next(c);
}

bool claim_read_next(struct pf_claim *c)
{
	for (uint32_t i = 0; i < c->n_logs; i++) {
		if (!c->logs[i].to_read)
			continue;
		c->reading_log = i;
		return true;
	}
	return false;
}

/*
 * Another owner claimed the key, so our claim was not committed or our void
 * was. The key is theirs now; its waiters wait for the end of the pass.
 */
static void cede_key(struct pf_claim *c, struct claim_key *k)
{
	for (uint32_t i = k->first_waiter; i != CLAIM_NONE;
	     i = c->waiters[i].next)
		claim_waiter_set_wait(c, i, WAIT_LOG);
	k->state = KEY_RECLAIM;
}

static void apply_claim(struct pf_claim *c, pf_ms at, uint32_t log,
			const struct claim_parsed_entry *e)
{
	struct claim_key *k = claim_key_find(c, e->key);

	if (k && (k->state == KEY_PENDING || k->state == KEY_VOIDING))
		cede_key(c, k);
	if (k && k->state != KEY_RECLAIM)
		return;
	if (!k)
		k = claim_key_add(c, e->key);
	if (!k) {
		c->read_incomplete = true;
		return;
	}
	k->fingerprint = e->fingerprint;
	k->log = log;
	k->claimed_at = at;
	k->state = KEY_FOREIGN;
}

static void apply_entry(struct pf_claim *c, pf_ms at, uint64_t seq,
			const struct claim_parsed_entry *e)
{
	struct claim_key *k = claim_key_find(c, e->key);
	bool same_log =
		k && k->state == KEY_FOREIGN && k->log == c->reading_log;

	switch (e->type) {
	case ENTRY_CLAIM:
		apply_claim(c, at, c->reading_log, e);
		break;
	case ENTRY_RESULT:
		if (!same_log)
			break;
		k->state = KEY_DONE;
		k->result_seq = seq;
		break;
	case ENTRY_VOID:
		if (!same_log)
			break;
		/* Its waiters claim it again in claim_read_finish(). */
		if (k->first_waiter == CLAIM_NONE)
			claim_key_drop(c, k);
		else
			k->state = KEY_RECLAIM;
		break;
	}
}

/* The number after the last slash of a log row's key. */
static uint64_t log_row_seq(struct pf_str key)
{
	uint64_t seq = 0;
	size_t i = key.n;

	while (i > 0 && key.p[i - 1] != '/')
		i--;
	for (; i < key.n; i++)
		seq = seq * 10 + (uint64_t)(key.p[i] - '0');
	return seq;
}

/* @applied: the entry's row was applied before. */
static bool entry_applies(const struct pf_claim *c, uint32_t shard,
			  bool applied)
{
	if (shard >= c->opts.shards)
		return false;
	if (c->shards[shard].ownership == SHARD_RECOVERING)
		return true;
	return c->shards[shard].ownership == SHARD_OWNED && !applied;
}

/* Applies a log row. A damaged one makes the pass incomplete. */
static void apply_row(struct pf_claim *c, pf_ms now,
		      const struct pf_table_row *row, bool applied)
{
	struct pf_str rest = row->value;
	struct claim_parsed_entry e;
	int more;
	pf_ms at;

	if (claim_log_row_time(&rest, &at) < 0) {
		c->read_incomplete = true;
		return;
	}
	if (now - at >= c->opts.retention)
		return;
	while ((more = claim_log_row_next(&rest, &e)) > 0)
		if (entry_applies(c, e.shard, applied))
			apply_entry(c, at, log_row_seq(row->key), &e);
	if (more < 0)
		c->read_incomplete = true;
}

void claim_read_rows(struct pf_claim *c, pf_ms now,
		     const struct pf_claim_msg *m)
{
	struct claim_log *l = &c->logs[c->reading_log];

	for (size_t i = 0; i < m->u.scan.n_rows; i++) {
		const struct pf_table_row *row = &m->u.scan.rows[i];

		if (row->key.n >= sizeof(l->cursor))
			continue;
		memcpy(l->cursor, row->key.p, row->key.n);
		l->cursor[row->key.n] = '\0';
		apply_row(c, now, row, strcmp(l->cursor, l->applied_to) <= 0);
		if (strcmp(l->cursor, l->applied_to) > 0)
			memcpy(l->applied_to, l->cursor, sizeof(l->applied_to));
	}
	if (!m->u.scan.more)
		l->to_read = false;
}

/* Whether the logs of all past owners of the shard have a slot. */
static bool past_logs_known(struct pf_claim *c, const struct claim_shard *s)
{
	for (uint32_t i = 0; i < s->n_past_owners; i++)
		if (claim_log_find(c, s->past_owners[i].id, false) ==
		    CLAIM_NONE)
			return false;
	return true;
}

static void resume_waiters(struct pf_claim *c, pf_ms now, struct claim_key *k,
			   const struct pf_claim_sink *sink)
{
	switch (k->state) {
	case KEY_FOREIGN:
		claim_reply_all(c, k, PF_REASON_OUTCOME_UNKNOWN, PF_STR(""),
				sink);
		break;
	case KEY_RECLAIM:
		k->state = KEY_PENDING;
		k->log = CLAIM_LOG_OWN;
		k->claimed_at = now;
		for (uint32_t i = k->first_waiter; i != CLAIM_NONE;
		     i = c->waiters[i].next)
			claim_waiter_set_wait(c, i, WAIT_KEY);
		if (claim_queue_entry(c, k, ENTRY_CLAIM, PF_STR(""), now) < 0) {
			claim_reply_all(c, k, PF_REASON_FULL, PF_STR(""), sink);
			claim_key_drop(c, k);
		}
		break;
	default:
		for (uint32_t i = k->first_waiter; i != CLAIM_NONE;
		     i = c->waiters[i].next)
			claim_waiter_set_wait(c, i, WAIT_ANSWER);
		break;
	}
}

void claim_read_finish(struct pf_claim *c, pf_ms now,
		       const struct pf_claim_sink *sink)
{
	struct pf_claim_act a = { .type = PF_CLAIM_SHARDS_CHANGED };
	bool changed = false;

	c->any_recovering = false;
	for (uint32_t i = 0; i < c->opts.shards; i++) {
		struct claim_shard *s = &c->shards[i];

		if (s->ownership != SHARD_RECOVERING)
			continue;
		if (c->read_incomplete || !past_logs_known(c, s)) {
			c->any_recovering = true;
			continue;
		}
		s->ownership = SHARD_OWNED;
		changed = true;
	}
	for (uint32_t i = 0; i < c->opts.waiters_max && c->n_by_wait[WAIT_LOG];
	     i++)
		if (c->waiters[i].wait == WAIT_LOG)
			resume_waiters(c, now,
				       &c->keys[c->waiters[i].key_index], sink);
	if (changed)
		sink->emit(sink->ctx, &a);
}
