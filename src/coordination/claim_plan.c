/*
 * Claim core: assignment of shards to agents. Each agent computes it from the
 * rows alone, by rendezvous hashing over the live agents. Agents may
 * disagree: a move is conditional on the revision of the shard row.
 */
#include "claim_core.h"

struct claim_agent *claim_agent_find(const struct pf_claim *c, uint64_t id)
{
	for (uint32_t i = 0; i < c->n_agents; i++)
		if (c->agents[i].id == id)
			return &c->agents[i];
	return NULL;
}

bool claim_agent_can_own(const struct pf_claim *c,
			 const struct claim_agent *agent, pf_ms now)
{
	if (agent->id == c->opts.agent)
		return !c->draining;
	return !agent->leaving && now - agent->last_seen_at < c->opts.lease;
}

/* The agent that should own @shard, or NULL when there is none. */
static const struct claim_agent *desired_owner(const struct pf_claim *c,
					       uint32_t shard, pf_ms now)
{
	const struct claim_agent *best = NULL;
	uint64_t high = 0;

	for (uint32_t i = 0; i < c->n_agents; i++) {
		const struct claim_agent *agent = &c->agents[i];
		uint64_t weight = pf_id2(agent->id, shard + 1);

		if (!claim_agent_can_own(c, agent, now))
			continue;
		if (!best || weight > high) {
			best = agent;
			high = weight;
		}
	}
	return best;
}

/* Whether the incarnation that owns the shard may still run. */
static bool owner_may_run(const struct pf_claim *c, const struct claim_shard *s,
			  pf_ms now)
{
	const struct claim_agent *agent = claim_agent_find(c, s->owner.agent);

	if (!agent || s->owner.incarnation < agent->incarnation)
		return false;
	/* While it sends heartbeats, a leaving owner hands over by itself. */
	return now - agent->last_seen_at < c->opts.lease;
}

bool claim_past_owner_needed(const struct pf_claim *c,
			     const struct claim_shard *s,
			     const struct claim_past_owner *p, pf_ms now)
{
	if (p->id.agent == s->owner.agent &&
	    p->id.incarnation == s->owner.incarnation)
		return false;
	return now - p->owned_until < 2 * c->opts.retention;
}

/* Whether the row of @s has room for its owner as a further past owner. */
static bool has_room_for_move(const struct pf_claim *c,
			      const struct claim_shard *s, pf_ms now)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < s->n_past_owners; i++)
		n += claim_past_owner_needed(c, s, &s->past_owners[i], now);
	return n < c->opts.past_owners_max;
}

/* Sets @to to the new owner of @shard; false when we don't move it. */
static bool move_target(const struct pf_claim *c, uint32_t shard, pf_ms now,
			struct claim_log_id *to)
{
	const struct claim_shard *s = &c->shards[shard];
	const struct claim_agent *agent = desired_owner(c, shard, now);
	bool mine = s->revision && claim_is_self(c, s->owner);

	if (!agent || !has_room_for_move(c, s, now))
		return false;
	to->agent = agent->id;
	to->incarnation = agent->incarnation;
	if (mine)
		return agent->id != c->opts.agent;
	if (agent->id != c->opts.agent)
		return false;
	to->incarnation = c->opts.incarnation;
	if (s->revision == 0)
		return true;
	return !owner_may_run(c, s, now);
}

bool claim_plan_moves(struct pf_claim *c, pf_ms now)
{
	struct claim_log_id to;

	c->n_moves = 0;
	for (uint32_t i = 0; i < c->opts.shards; i++) {
		if (!move_target(c, i, now, &to))
			continue;
		c->moves[c->n_moves].shard = i;
		c->moves[c->n_moves].new_owner = to;
		c->n_moves++;
		if (c->n_moves == CLAIM_TXN_ROWS_MAX)
			break;
	}
	return c->n_moves > 0;
}
