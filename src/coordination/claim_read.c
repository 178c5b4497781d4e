/*
 * Claim core: reading the logs of earlier owners, from the start when a shard
 * is taken, from the last row read when an ask meets a claim without a result.
 * A row is applied to a held shard only once: a void that is read again could
 * free a key that was claimed after it. A taken shard answers no asks, so that
 * its rows may be read anew until all of them were.
 */
#include "claim_core.h"

#include <string.h>

static bool log_in_use(const struct pf_claim *c, uint32_t log)
{
	struct claim_log_id id = c->logs[log].id;

	if (log == CLAIM_LOG_OWN || c->logs[log].wanted)
		return true;
	for (uint32_t i = 0; i < c->fresh_key; i++)
		if (c->keys[i].state != KEY_FREE && c->keys[i].log == log)
			return true;
	for (uint32_t i = 0; i < c->o.shards; i++) {
		const struct claim_shard *s = &c->shards[i];

		for (uint32_t j = 0; s->hold && j < s->n_logs; j++)
			if (s->logs[j].id.agent == id.agent &&
			    s->logs[j].id.incarnation == id.incarnation)
				return true;
	}
	return false;
}

int claim_logs_compact(struct pf_claim *c)
{
	uint32_t last = c->n_logs - 1;

	for (uint32_t i = 0; i < c->n_logs; i++) {
		if (log_in_use(c, i))
			continue;
		c->logs[i] = c->logs[last];
		for (uint32_t k = 0; k < c->fresh_key; k++)
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
	if (c->n_logs == c->logs_cap && claim_logs_compact(c) < 0)
		return CLAIM_NONE;
	memset(&c->logs[c->n_logs], 0, sizeof(c->logs[0]));
	c->logs[c->n_logs].id = id;
	return c->n_logs++;
}

static void want(struct pf_claim *c, uint32_t log, bool from_start)
{
	struct claim_log *l = &c->logs[log];

	/* Our own log holds nothing that we do not remember. */
#ifdef PF_MUTANT_CLAIM_READ
	return;
#endif
	if (log == CLAIM_LOG_OWN || l->wanted)
		return;
	l->wanted = true;
	memcpy(l->cursor, l->held_to, sizeof(l->cursor));
	if (from_start)
		l->cursor[0] = '\0';
}

static void want_shard(struct pf_claim *c, struct claim_shard *s)
{
	for (uint32_t i = 0; i < s->n_logs; i++) {
		uint32_t log = claim_log_find(c, s->logs[i].id, true);

		/* Too many logs: the shard stays taken but is not held. */
		if (log == CLAIM_NONE)
			return;
		want(c, log, true);
	}
}

bool claim_read_wanted(struct pf_claim *c)
{
	/* A pass that was cut short starts over, not where it stopped. */
	for (uint32_t i = 0; i < c->n_logs; i++)
		c->logs[i].wanted = false;
	for (uint32_t i = 0; i < c->o.shards && c->any_taken; i++)
		if (c->shards[i].hold == HOLD_TAKEN)
			want_shard(c, &c->shards[i]);
	for (uint32_t i = 0; i < c->o.waiters_max && c->n_wait[WAIT_REFRESH];
	     i++)
		if (c->waiters[i].wait == WAIT_REFRESH)
			want(c, c->keys[c->waiters[i].key].log, false);
	c->read_unsafe = false;
	return claim_read_next(c);
}

bool claim_read_next(struct pf_claim *c)
{
	for (uint32_t i = 0; i < c->n_logs; i++) {
		if (!c->logs[i].wanted)
			continue;
		c->reading = i;
		return true;
	}
	return false;
}

/*
 * A claim of another owner proves that ours never stood or that our void
 * stands: either way the key is theirs, and those who ask wait for the end of
 * the pass.
 */
static void cede(struct pf_claim *c, struct claim_key *k)
{
	for (uint32_t i = k->waiters; i != CLAIM_NONE; i = c->waiters[i].next)
		claim_set_wait(c, i, WAIT_REFRESH);
	k->state = KEY_FREED;
}

static void apply_claim(struct pf_claim *c, pf_ms at, uint32_t log,
			const struct claim_line *l)
{
	struct claim_key *k = claim_key_find(c, l->key);

	if (k && (k->state == KEY_PENDING || k->state == KEY_VOIDING))
		cede(c, k);
	if (k && k->state != KEY_FREED)
		return;
	if (!k)
		k = claim_key_add(c, l->key);
	if (!k) {
		c->read_unsafe = true;
		return;
	}
	k->fingerprint = l->fingerprint;
	k->log = log;
	k->at = at;
	k->state = KEY_FOREIGN;
}

static void apply(struct pf_claim *c, pf_ms at, uint64_t seq,
		  const struct claim_line *l)
{
	struct claim_key *k = claim_key_find(c, l->key);
	bool theirs = k && k->state == KEY_FOREIGN && k->log == c->reading;

	switch (l->type) {
	case ENTRY_CLAIM:
		apply_claim(c, at, c->reading, l);
		break;
	case ENTRY_RESULT:
		if (!theirs)
			break;
		k->state = KEY_DONE;
		k->seq = seq;
		break;
	case ENTRY_VOID:
		if (!theirs)
			break;
		/* Asks that wait for it start over, see claim_read_end(). */
		if (k->waiters == CLAIM_NONE)
			claim_key_drop(c, k);
		else
			k->state = KEY_FREED;
		break;
	}
}

/* The number behind the last slash of a log row's key. */
static uint64_t row_seq(struct pf_str key)
{
	uint64_t seq = 0;
	size_t i = key.n;

	while (i > 0 && key.p[i - 1] != '/')
		i--;
	for (; i < key.n; i++)
		seq = seq * 10 + (uint64_t)(key.p[i] - '0');
	return seq;
}

/* Whether the row that is being read concerns @shard. */
static bool applies(const struct pf_claim *c, uint32_t shard, bool seen)
{
	if (shard >= c->o.shards)
		return false;
	if (c->shards[shard].hold == HOLD_TAKEN)
		return true;
	return c->shards[shard].hold == HOLD_YES && !seen;
}

/* Applies a row. A damaged one leaves the taken shards unheld. */
static void read_row(struct pf_claim *c, pf_ms now,
		     const struct pf_table_row *row, bool seen)
{
	struct pf_str rest = row->value;
	struct claim_line l;
	int more;
	pf_ms at;

	if (claim_row_time(&rest, &at) < 0) {
		c->read_unsafe = true;
		return;
	}
	if (now - at >= c->o.retention)
		return;
	while ((more = claim_row_next(&rest, &l)) > 0)
		if (applies(c, l.shard, seen))
			apply(c, at, row_seq(row->key), &l);
	if (more < 0)
		c->read_unsafe = true;
}

void claim_read_rows(struct pf_claim *c, pf_ms now,
		     const struct pf_claim_msg *m)
{
	struct claim_log *l = &c->logs[c->reading];

	for (size_t i = 0; i < m->u.scan.n_rows; i++) {
		const struct pf_table_row *row = &m->u.scan.rows[i];

		if (row->key.n >= sizeof(l->cursor))
			continue;
		memcpy(l->cursor, row->key.p, row->key.n);
		l->cursor[row->key.n] = '\0';
		read_row(c, now, row, strcmp(l->cursor, l->held_to) <= 0);
		if (strcmp(l->cursor, l->held_to) > 0)
			memcpy(l->held_to, l->cursor, sizeof(l->held_to));
	}
	if (!m->u.scan.more)
		l->wanted = false;
}

/* Whether all logs of the shard's earlier owners are known here. */
static bool logs_known(struct pf_claim *c, const struct claim_shard *s)
{
	for (uint32_t i = 0; i < s->n_logs; i++)
		if (claim_log_find(c, s->logs[i].id, false) == CLAIM_NONE)
			return false;
	return true;
}

/* What an ask that waited for a fresh look at a log gets now. */
static void after_refresh(struct pf_claim *c, pf_ms now, struct claim_key *k,
			  const struct pf_claim_sink *sink)
{
	switch (k->state) {
	case KEY_FOREIGN:
		claim_answer_all(c, k, PF_REASON_OUTCOME_UNKNOWN, PF_STR(""),
				 sink);
		break;
	case KEY_FREED:
		k->state = KEY_PENDING;
		k->log = CLAIM_LOG_OWN;
		k->at = now;
		for (uint32_t i = k->waiters; i != CLAIM_NONE;
		     i = c->waiters[i].next)
			claim_set_wait(c, i, WAIT_KEY);
		if (claim_queue(c, k, ENTRY_CLAIM, PF_STR(""), now) < 0) {
			claim_answer_all(c, k, PF_REASON_FULL, PF_STR(""),
					 sink);
			claim_key_drop(c, k);
		}
		break;
	default:
		for (uint32_t i = k->waiters; i != CLAIM_NONE;
		     i = c->waiters[i].next)
			claim_set_wait(c, i, WAIT_READ);
		break;
	}
}

void claim_read_end(struct pf_claim *c, pf_ms now,
		    const struct pf_claim_sink *sink)
{
	struct pf_claim_act a = { .type = PF_CLAIM_SHARDS_CHANGED };
	bool changed = false;

	c->any_taken = false;
	for (uint32_t i = 0; i < c->o.shards; i++) {
		struct claim_shard *s = &c->shards[i];

		if (s->hold != HOLD_TAKEN)
			continue;
		if (c->read_unsafe || !logs_known(c, s)) {
			c->any_taken = true;
			continue;
		}
		s->hold = HOLD_YES;
		changed = true;
	}
	for (uint32_t i = 0; i < c->o.waiters_max && c->n_wait[WAIT_REFRESH];
	     i++)
		if (c->waiters[i].wait == WAIT_REFRESH)
			after_refresh(c, now, &c->keys[c->waiters[i].key],
				      sink);
	if (changed)
		sink->emit(sink->ctx, &a);
}
