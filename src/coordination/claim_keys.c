/* Claim core: keys, the asks that wait for them, and their answers. */
#include "claim_core.h"

#include <string.h>

struct claim_key *claim_key_find(struct pf_claim *c, uint64_t key)
{
	uint32_t i;

	if (pf_map_get(&c->by_key, pf_key1(key), &i) < 0)
		return NULL;
	return &c->keys[i];
}

struct claim_key *claim_key_add(struct pf_claim *c, uint64_t key)
{
	bool fresh = c->free_key == CLAIM_NONE;
	uint32_t i = fresh ? c->fresh_key : c->free_key;
	struct claim_key *k;

	if (i == c->o.keys_max || pf_map_put(&c->by_key, pf_key1(key), i) < 0)
		return NULL;
	k = &c->keys[i];
	if (fresh)
		c->fresh_key++;
	else
		c->free_key = k->waiters;
	memset(k, 0, sizeof(*k));
	k->key = key;
	k->shard = pf_claim_shard(key, c->o.shards);
	k->waiters = CLAIM_NONE;
	return k;
}

void claim_key_drop(struct pf_claim *c, struct claim_key *k)
{
	PF_INVARIANT("a dropped key has no waiters", k->waiters == CLAIM_NONE);
	pf_map_del(&c->by_key, pf_key1(k->key));
	k->state = KEY_FREE;
	k->waiters = c->free_key;
	c->free_key = (uint32_t)(k - c->keys);
}

void claim_set_wait(struct pf_claim *c, uint32_t waiter, enum claim_wait wait)
{
	c->n_wait[c->waiters[waiter].wait]--;
	c->n_wait[wait]++;
	c->waiters[waiter].wait = wait;
}

static void waiter_free(struct pf_claim *c, uint32_t i)
{
	claim_set_wait(c, i, WAIT_FREE);
	c->waiters[i].next = c->free_waiter;
	c->free_waiter = i;
	c->n_waiting--;
}

/* Adds an ask at the end of the key's list. -1 when too many wait. */
static int waiter_add(struct pf_claim *c, pf_ms now, struct claim_key *k,
		      struct pf_try id, enum claim_wait wait)
{
	uint32_t i = c->free_waiter;
	uint32_t *at = &k->waiters;
	struct claim_waiter *w;

	if (i == CLAIM_NONE)
		return -1;
	w = &c->waiters[i];
	c->free_waiter = w->next;
	c->n_waiting++;
	w->id = id;
	w->since = now;
	w->key = (uint32_t)(k - c->keys);
	w->next = CLAIM_NONE;
	claim_set_wait(c, i, wait);
	while (*at != CLAIM_NONE)
		at = &c->waiters[*at].next;
	*at = i;
	return 0;
}

static void answer(struct pf_claim *c, struct pf_try id, uint64_t key,
		   bool granted, enum pf_reason reason, struct pf_str text,
		   const struct pf_claim_sink *sink)
{
	struct pf_claim_act a = { .type = PF_CLAIM_REPLY };

	if (granted)
		c->st.granted++;
	else if (reason == PF_REASON_NONE)
		c->st.replayed++;
	else if (reason == PF_REASON_OUTCOME_UNKNOWN)
		c->st.outcome_unknown++;
	else
		c->st.refused++;
	a.u.reply.id = id;
	a.u.reply.key = key;
	a.u.reply.granted = granted;
	a.u.reply.reason = reason;
	a.u.reply.answer = text;
	sink->emit(sink->ctx, &a);
}

void claim_answer_all(struct pf_claim *c, struct claim_key *k,
		      enum pf_reason reason, struct pf_str text,
		      const struct pf_claim_sink *sink)
{
	while (k->waiters != CLAIM_NONE) {
		uint32_t i = k->waiters;

		k->waiters = c->waiters[i].next;
		answer(c, c->waiters[i].id, k->key, false, reason, text, sink);
		waiter_free(c, i);
	}
}

int claim_grant(struct pf_claim *c, struct claim_key *k,
		const struct pf_claim_sink *sink)
{
	uint32_t i = k->waiters;

	if (i == CLAIM_NONE)
		return -1;
	k->waiters = c->waiters[i].next;
	k->state = KEY_RUNNING;
	answer(c, c->waiters[i].id, k->key, true, PF_REASON_NONE, PF_STR(""),
	       sink);
	waiter_free(c, i);
	return 0;
}

/* The first ask of a key: claim it. */
static enum pf_reason ask_new(struct pf_claim *c, pf_ms now,
			      const struct pf_claim_msg *m)
{
	struct claim_key *k;

	if (c->n_waiting >= c->o.waiters_max)
		return PF_REASON_FULL;
	k = claim_key_add(c, m->u.request.key);
	if (!k)
		return PF_REASON_FULL;
	k->fingerprint = m->u.request.fingerprint;
	k->at = now;
	k->log = CLAIM_LOG_OWN;
	k->state = KEY_PENDING;
	if (claim_queue(c, k, ENTRY_CLAIM, PF_STR(""), now) < 0) {
		claim_key_drop(c, k);
		return PF_REASON_FULL;
	}
	waiter_add(c, now, k, m->u.request.id, WAIT_KEY);
	return PF_REASON_NONE;
}

/* How an ask of a known key waits; WAIT_FREE when it is answered at once. */
static enum claim_wait wait_for(const struct claim_key *k)
{
	switch (k->state) {
	case KEY_DONE:
		return WAIT_READ;
	case KEY_FOREIGN:
		return WAIT_REFRESH;
	case KEY_PENDING:
	case KEY_RUNNING:
	case KEY_ENDING:
	case KEY_VOIDING:
	case KEY_FREED:
		return WAIT_KEY;
	default:
		return WAIT_FREE;
	}
}

static enum pf_reason ask_known(struct pf_claim *c, pf_ms now,
				struct claim_key *k, struct pf_try id,
				uint64_t fingerprint)
{
	enum claim_wait w = wait_for(k);

	if (k->fingerprint != fingerprint)
		return PF_REASON_KEY_REUSED;
	if (w == WAIT_FREE)
		return PF_REASON_OUTCOME_UNKNOWN;
	/* It may have run, so a full table is no reason to say "not run". */
	if (waiter_add(c, now, k, id, w) < 0)
		return PF_REASON_OUTCOME_UNKNOWN;
	return PF_REASON_NONE;
}

void claim_ask(struct pf_claim *c, pf_ms now, const struct pf_claim_msg *m,
	       const struct pf_claim_sink *sink)
{
	uint64_t key = m->u.request.key;
	struct claim_key *k = claim_key_find(c, key);
	enum pf_reason r;

	c->st.requests++;
	if (!pf_claim_owns(c, pf_claim_shard(key, c->o.shards)) || c->drained)
		r = PF_REASON_NOT_RESIDENT;
	else if (k)
		r = ask_known(c, now, k, m->u.request.id,
			      m->u.request.fingerprint);
	else
		r = ask_new(c, now, m);
	if (r != PF_REASON_NONE)
		answer(c, m->u.request.id, key, false, r, PF_STR(""), sink);
}

/* Takes the ask @i out of its key's list. */
static void unlink_waiter(struct pf_claim *c, uint32_t i)
{
	uint32_t *at = &c->keys[c->waiters[i].key].waiters;

	while (*at != i)
		at = &c->waiters[*at].next;
	*at = c->waiters[i].next;
}

void claim_forget(struct pf_claim *c, struct pf_try id)
{
	for (uint32_t i = 0; i < c->o.waiters_max; i++) {
		struct claim_waiter *w = &c->waiters[i];

		if (w->wait == WAIT_FREE || w->id.request != id.request ||
		    w->id.attempt != id.attempt)
			continue;
		unlink_waiter(c, i);
		waiter_free(c, i);
		return;
	}
}

/* Only asks that wait for the table are held; those behind a run wait on. */
static bool held_too_long(const struct pf_claim *c,
			  const struct claim_waiter *w, pf_ms now)
{
	if (w->wait == WAIT_FREE || now - w->since < c->o.table_timeout)
		return false;
	return c->keys[w->key].state != KEY_RUNNING;
}

/* "Not run" is true only where no run of the key can have begun. */
static enum pf_reason held_reason(const struct claim_key *k)
{
	if (k->state == KEY_PENDING || k->state == KEY_VOIDING)
		return PF_REASON_STORE_AWAY;
	return PF_REASON_OUTCOME_UNKNOWN;
}

void claim_refuse_held(struct pf_claim *c, pf_ms now,
		       const struct pf_claim_sink *sink)
{
	if (c->n_waiting == 0)
		return;
	for (uint32_t i = 0; i < c->o.waiters_max; i++) {
		struct claim_waiter *w = &c->waiters[i];

		if (!held_too_long(c, w, now))
			continue;
		unlink_waiter(c, i);
		answer(c, w->id, c->keys[w->key].key, false,
		       held_reason(&c->keys[w->key]), PF_STR(""), sink);
		waiter_free(c, i);
	}
}

void claim_stop(struct pf_claim *c, const struct pf_claim_sink *sink)
{
	struct pf_claim_act a = { .type = PF_CLAIM_SUPERSEDED };

	c->superseded = true;
	for (uint32_t i = 0; i < c->fresh_key; i++) {
		struct claim_key *k = &c->keys[i];
		bool unrun = k->state == KEY_PENDING || k->state == KEY_VOIDING;

		if (k->state != KEY_FREE && k->waiters != CLAIM_NONE)
			claim_answer_all(c, k,
					 unrun ? PF_REASON_NOT_RESIDENT
					       : PF_REASON_OUTCOME_UNKNOWN,
					 PF_STR(""), sink);
	}
	claim_results_tell(c, sink);
	sink->emit(sink->ctx, &a);
}

static bool expired(const struct pf_claim *c, const struct claim_key *k,
		    pf_ms now)
{
	if (k->waiters != CLAIM_NONE || now - k->at < c->o.retention)
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
	for (uint32_t i = 0; i < c->fresh_key; i++)
		if (c->keys[i].state != KEY_FREE &&
		    expired(c, &c->keys[i], now))
			claim_key_drop(c, &c->keys[i]);
}
