/* Claim core: idempotency keys, their waiters, and the replies. */
#include "claim_core.h"

#include <string.h>

struct claim_key *claim_key_find(struct pf_claim *c, uint64_t key)
{
	uint32_t i;

	if (pf_map_get(&c->key_map, pf_key1(key), &i) < 0)
		return NULL;
	return &c->keys[i];
}

struct claim_key *claim_key_add(struct pf_claim *c, uint64_t key)
{
	bool unused = c->first_free_key == CLAIM_NONE;
	uint32_t i = unused ? c->keys_end : c->first_free_key;
	struct claim_key *k;

	if (i == c->opts.keys_max ||
	    pf_map_put(&c->key_map, pf_key1(key), i) < 0)
		return NULL;
	k = &c->keys[i];
	if (unused)
		c->keys_end++;
	else
		c->first_free_key = k->first_waiter;
	memset(k, 0, sizeof(*k));
	k->key = key;
	k->shard = pf_claim_shard(key, c->opts.shards);
	k->first_waiter = CLAIM_NONE;
	return k;
}

void claim_key_drop(struct pf_claim *c, struct claim_key *k)
{
	PF_INVARIANT("a dropped key has no waiters",
		     k->first_waiter == CLAIM_NONE);
	pf_map_del(&c->key_map, pf_key1(k->key));
	k->state = KEY_FREE;
	k->first_waiter = c->first_free_key;
	c->first_free_key = (uint32_t)(k - c->keys);
}

void claim_waiter_set_wait(struct pf_claim *c, uint32_t waiter,
			   enum claim_wait wait)
{
	c->n_by_wait[c->waiters[waiter].wait]--;
	c->n_by_wait[wait]++;
	c->waiters[waiter].wait = wait;
}

static void waiter_free(struct pf_claim *c, uint32_t i)
{
	claim_waiter_set_wait(c, i, WAIT_FREE);
	c->waiters[i].next = c->first_free_waiter;
	c->first_free_waiter = i;
	c->n_waiters--;
}

/* Appends a waiter to the key's list. 0, or -1 when all slots are in use. */
static int waiter_add(struct pf_claim *c, pf_ms now, struct claim_key *k,
		      struct pf_try id, enum claim_wait wait)
{
	uint32_t i = c->first_free_waiter;
	uint32_t *at = &k->first_waiter;
	struct claim_waiter *w;

	if (i == CLAIM_NONE)
		return -1;
	w = &c->waiters[i];
	c->first_free_waiter = w->next;
	c->n_waiters++;
	w->id = id;
	w->waiting_since = now;
	w->key_index = (uint32_t)(k - c->keys);
	w->next = CLAIM_NONE;
	claim_waiter_set_wait(c, i, wait);
	while (*at != CLAIM_NONE)
		at = &c->waiters[*at].next;
	*at = i;
	return 0;
}

static void reply(struct pf_claim *c, struct pf_try id, uint64_t key,
		  bool granted, enum pf_reason reason, struct pf_str text,
		  const struct pf_claim_sink *sink)
{
	struct pf_claim_act a = { .type = PF_CLAIM_REPLY };

	if (granted)
		c->stats.granted++;
	else if (reason == PF_REASON_NONE)
		c->stats.replayed++;
	else if (reason == PF_REASON_OUTCOME_UNKNOWN)
		c->stats.outcome_unknown++;
	else
		c->stats.refused++;
	a.u.reply.id = id;
	a.u.reply.key = key;
	a.u.reply.granted = granted;
	a.u.reply.reason = reason;
	a.u.reply.answer = text;
	sink->emit(sink->ctx, &a);
}

void claim_reply_all(struct pf_claim *c, struct claim_key *k,
		     enum pf_reason reason, struct pf_str text,
		     const struct pf_claim_sink *sink)
{
	while (k->first_waiter != CLAIM_NONE) {
		uint32_t i = k->first_waiter;

		k->first_waiter = c->waiters[i].next;
		reply(c, c->waiters[i].id, k->key, false, reason, text, sink);
		waiter_free(c, i);
	}
}

int claim_grant(struct pf_claim *c, struct claim_key *k,
		const struct pf_claim_sink *sink)
{
	uint32_t i = k->first_waiter;

	if (i == CLAIM_NONE)
		return -1;
	k->first_waiter = c->waiters[i].next;
	k->state = KEY_RUNNING;
	reply(c, c->waiters[i].id, k->key, true, PF_REASON_NONE, PF_STR(""),
	      sink);
	waiter_free(c, i);
	return 0;
}

/* The first request for a key: queues its claim. */
static enum pf_reason request_new_key(struct pf_claim *c, pf_ms now,
				      const struct pf_claim_msg *m)
{
	struct claim_key *k;

	if (c->n_waiters >= c->opts.waiters_max)
		return PF_REASON_FULL;
	k = claim_key_add(c, m->u.request.key);
	if (!k)
		return PF_REASON_FULL;
	k->fingerprint = m->u.request.fingerprint;
	k->claimed_at = now;
	k->log = CLAIM_LOG_OWN;
	k->state = KEY_PENDING;
	if (claim_queue_entry(c, k, ENTRY_CLAIM, PF_STR(""), now) < 0) {
		claim_key_drop(c, k);
		return PF_REASON_FULL;
	}
	waiter_add(c, now, k, m->u.request.id, WAIT_KEY);
	return PF_REASON_NONE;
}

/* What a request for a known key waits for; WAIT_FREE: nothing. */
static enum claim_wait wait_of(const struct claim_key *k)
{
	switch (k->state) {
	case KEY_DONE:
		return WAIT_ANSWER;
	case KEY_FOREIGN:
		return WAIT_LOG;
	case KEY_PENDING:
	case KEY_RUNNING:
	case KEY_STORING:
	case KEY_VOIDING:
	case KEY_RECLAIM:
		return WAIT_KEY;
	default:
		return WAIT_FREE;
	}
}

static enum pf_reason request_known_key(struct pf_claim *c, pf_ms now,
					struct claim_key *k, struct pf_try id,
					uint64_t fingerprint)
{
	enum claim_wait w = wait_of(k);

	if (k->fingerprint != fingerprint)
		return PF_REASON_KEY_REUSED;
	if (w == WAIT_FREE)
		return PF_REASON_OUTCOME_UNKNOWN;
	/* The key may have run: FULL would imply that it did not. */
	if (waiter_add(c, now, k, id, w) < 0)
		return PF_REASON_OUTCOME_UNKNOWN;
	return PF_REASON_NONE;
}

void claim_request(struct pf_claim *c, pf_ms now, const struct pf_claim_msg *m,
		   const struct pf_claim_sink *sink)
{
	uint64_t key = m->u.request.key;
	struct claim_key *k = claim_key_find(c, key);
	enum pf_reason r;

	c->stats.requests++;
	if (!pf_claim_owns(c, pf_claim_shard(key, c->opts.shards)) ||
	    c->drained)
		r = PF_REASON_NOT_RESIDENT;
	else if (k)
		r = request_known_key(c, now, k, m->u.request.id,
				      m->u.request.fingerprint);
	else
		r = request_new_key(c, now, m);
	if (r != PF_REASON_NONE)
		reply(c, m->u.request.id, key, false, r, PF_STR(""), sink);
}

static void waiter_unlink(struct pf_claim *c, uint32_t i)
{
	uint32_t *at = &c->keys[c->waiters[i].key_index].first_waiter;

	while (*at != i)
		at = &c->waiters[*at].next;
	*at = c->waiters[i].next;
}

void claim_cancel(struct pf_claim *c, struct pf_try id)
{
	for (uint32_t i = 0; i < c->opts.waiters_max; i++) {
		struct claim_waiter *w = &c->waiters[i];

		if (w->wait == WAIT_FREE || w->id.request != id.request ||
		    w->id.attempt != id.attempt)
			continue;
		waiter_unlink(c, i);
		waiter_free(c, i);
		return;
	}
}

/* The timeout bounds the wait for the table, not that for a run. */
static bool waiter_overdue(const struct pf_claim *c,
			   const struct claim_waiter *w, pf_ms now)
{
	if (w->wait == WAIT_FREE ||
	    now - w->waiting_since < c->opts.table_timeout)
		return false;
	return c->keys[w->key_index].state != KEY_RUNNING;
}

/* STORE_AWAY implies that no run of the key can have started. */
static enum pf_reason overdue_reason(const struct claim_key *k)
{
	if (k->state == KEY_PENDING || k->state == KEY_VOIDING)
		return PF_REASON_STORE_AWAY;
	return PF_REASON_OUTCOME_UNKNOWN;
}

void claim_refuse_overdue(struct pf_claim *c, pf_ms now,
			  const struct pf_claim_sink *sink)
{
	if (c->n_waiters == 0)
		return;
	for (uint32_t i = 0; i < c->opts.waiters_max; i++) {
		struct claim_waiter *w = &c->waiters[i];

		if (!waiter_overdue(c, w, now))
			continue;
		waiter_unlink(c, i);
		reply(c, w->id, c->keys[w->key_index].key, false,
		      overdue_reason(&c->keys[w->key_index]), PF_STR(""), sink);
		waiter_free(c, i);
	}
}

void claim_supersede(struct pf_claim *c, const struct pf_claim_sink *sink)
{
	struct pf_claim_act a = { .type = PF_CLAIM_SUPERSEDED };

	c->superseded = true;
	for (uint32_t i = 0; i < c->keys_end; i++) {
		struct claim_key *k = &c->keys[i];
		bool not_run =
			k->state == KEY_PENDING || k->state == KEY_VOIDING;

		if (k->state != KEY_FREE && k->first_waiter != CLAIM_NONE)
			claim_reply_all(c, k,
					not_run ? PF_REASON_NOT_RESIDENT
						: PF_REASON_OUTCOME_UNKNOWN,
					PF_STR(""), sink);
	}
	claim_settle_all_results(c, sink);
	sink->emit(sink->ctx, &a);
}

static bool key_expired(const struct pf_claim *c, const struct claim_key *k,
			pf_ms now)
{
	if (k->first_waiter != CLAIM_NONE ||
	    now - k->claimed_at < c->opts.retention)
		return false;
	switch (k->state) {
	case KEY_DONE:
	case KEY_UNKNOWN:
	case KEY_FOREIGN:
		return true;
	default:
		return false;
	}
}

void claim_keys_expire(struct pf_claim *c, pf_ms now)
{
	for (uint32_t i = 0; i < c->keys_end; i++)
		if (c->keys[i].state != KEY_FREE &&
		    key_expired(c, &c->keys[i], now))
			claim_key_drop(c, &c->keys[i]);
}
