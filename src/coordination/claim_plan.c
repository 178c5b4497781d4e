/*
 * Claim core: which agent should own which shard. Each agent computes it from
 * the rows alone, by rendezvous hashing over the agents that show new beats.
 * Safety does not depend on it: a move is conditional on the shard's row.
 */
#include "claim_core.h"

struct claim_owner *claim_owner_find(const struct pf_claim *c, uint64_t agent)
{
	for (uint32_t i = 0; i < c->n_owners; i++)
		if (c->owners[i].agent == agent)
			return &c->owners[i];
	return NULL;
}

bool claim_owner_alive(const struct pf_claim *c, const struct claim_owner *w,
		       pf_ms now)
{
	if (w->agent == c->o.agent)
		return !c->draining;
	return !w->leaving && now - w->changed < c->o.lease;
}

/* The agent that should own @shard, or NULL when none is alive. */
static const struct claim_owner *desired(const struct pf_claim *c,
					 uint32_t shard, pf_ms now)
{
	const struct claim_owner *best = NULL;
	uint64_t high = 0;

	for (uint32_t i = 0; i < c->n_owners; i++) {
		const struct claim_owner *w = &c->owners[i];
		uint64_t weight = pf_id2(w->agent, shard + 1);

		if (!claim_owner_alive(c, w, now))
			continue;
		if (!best || weight > high) {
			best = w;
			high = weight;
		}
	}
	return best;
}

/* Whether the incarnation that owns the shard may still be running. */
static bool owner_stands(const struct pf_claim *c, const struct claim_shard *s,
			 pf_ms now)
{
	const struct claim_owner *w = claim_owner_find(c, s->owner.agent);

	if (!w || s->owner.incarnation < w->incarnation)
		return false;
	/* A leaving owner hands its shards over itself while it beats. */
	return now - w->changed < c->o.lease;
}

/* The owner that @shard is to move to; false to leave it where it is. */
static bool move_target(const struct pf_claim *c, uint32_t shard, pf_ms now,
			struct claim_log_id *to)
{
	const struct claim_shard *s = &c->shards[shard];
	const struct claim_owner *w = desired(c, shard, now);
	bool mine = s->revision && claim_is_me(c, s->owner);

	if (!w || s->n_logs == c->o.past_owners_max)
		return false;
	to->agent = w->agent;
	to->incarnation = w->incarnation;
	if (mine)
		return w->agent != c->o.agent;
	if (w->agent != c->o.agent)
		return false;
	to->incarnation = c->o.incarnation;
	if (s->revision == 0)
		return true;
	return !owner_stands(c, s, now);
}

bool claim_plan(struct pf_claim *c, pf_ms now)
{
	struct claim_log_id to;

	c->n_moving = 0;
	for (uint32_t i = 0; i < c->o.shards; i++) {
		if (!move_target(c, i, now, &to))
			continue;
		c->moving[c->n_moving].shard = i;
		c->moving[c->n_moving].to = to;
		c->n_moving++;
		if (c->n_moving == CLAIM_SHARDS_PER_TXN)
			break;
	}
	return c->n_moving > 0;
}
