/* Claim core: options, construction and the step function. */
#include "claim_core.h"

#include <stdlib.h>
#include <string.h>

#define WAIT_TICK_MS 50 /* tick interval while anything waits */
#define LOGS_PER_PAST_OWNERS_MAX 4 /* logs_cap / past_owners_max */

void pf_claim_opts_default(struct pf_claim_opts *o)
{
	memset(o, 0, sizeof(*o));
	o->service = "service";
	o->shards = 32;
	o->keys_max = 200000;
	o->waiters_max = 4096;
	o->agents_max = 64;
	o->past_owners_max = 64;
	o->answer_bytes_max = 4096;
	o->batch_max = 256;
	o->writes_per_s = 50;
	o->heartbeat_interval = 1000;
	o->lease = 4000;
	o->table_timeout = 3000;
	o->retention = 24 * 3600 * 1000;
	o->gc_interval = 30000;
}

static bool opts_valid(const struct pf_claim_opts *o)
{
	return o->service && strlen(o->service) <= 64 && o->agent &&
	       o->shards > 0 && o->shards <= 10000 && o->keys_max > 0 &&
	       o->waiters_max > 0 && o->agents_max > 0 &&
	       o->past_owners_max > 1 && o->batch_max > 0 &&
	       o->writes_per_s > 0 && o->heartbeat_interval > 0 &&
	       o->lease > o->heartbeat_interval && o->retention > 0 &&
	       o->gc_interval > 0;
}

static int alloc_tables(struct pf_claim *c)
{
	const struct pf_claim_opts *o = &c->opts;

	c->logs_cap = o->past_owners_max * LOGS_PER_PAST_OWNERS_MAX;
	c->service = pf_str_dup(pf_str_c(o->service));
	c->keys = calloc(o->keys_max, sizeof(*c->keys));
	c->waiters = calloc(o->waiters_max, sizeof(*c->waiters));
	c->shards = calloc(o->shards, sizeof(*c->shards));
	c->agents = calloc(o->agents_max, sizeof(*c->agents));
	c->logs = calloc(c->logs_cap, sizeof(*c->logs));
	if (!c->service || !c->keys || !c->waiters || !c->shards ||
	    !c->agents || !c->logs)
		return -1;
	for (uint32_t i = 0; i < o->shards; i++) {
		c->shards[i].past_owners = calloc(
			o->past_owners_max, sizeof(*c->shards[i].past_owners));
		if (!c->shards[i].past_owners)
			return -1;
	}
	return pf_map_init(&c->key_map, o->keys_max);
}

static void init_free_lists(struct pf_claim *c)
{
	c->first_free_key = CLAIM_NONE;
	for (uint32_t i = 0; i < c->opts.waiters_max; i++)
		c->waiters[i].next = i + 1;
	c->waiters[c->opts.waiters_max - 1].next = CLAIM_NONE;
	c->n_by_wait[WAIT_FREE] = c->opts.waiters_max;
}

struct pf_claim *pf_claim_new(const struct pf_claim_opts *o)
{
	struct pf_claim *c;

	if (!opts_valid(o))
		return NULL;
	c = calloc(1, sizeof(*c));
	if (!c)
		return NULL;
	c->opts = *o;
	pf_rng_seed(&c->rng, o->seed);
	if (alloc_tables(c) < 0) {
		pf_claim_free(c);
		return NULL;
	}
	init_free_lists(c);
	c->agents[0].id = o->agent;
	c->agents[0].incarnation = o->incarnation;
	c->n_agents = 1;
	c->logs[CLAIM_LOG_OWN].id.agent = o->agent;
	c->logs[CLAIM_LOG_OWN].id.incarnation = o->incarnation;
	c->n_logs = 1;
	c->next_seq = 1;
	return c;
}

void pf_claim_free(struct pf_claim *c)
{
	if (!c)
		return;
	claim_entries_clear(&c->queue);
	claim_entries_clear(&c->flush.entries);
	pf_text_free(&c->flush.row_text);
	for (uint32_t i = 0; c->shards && i < c->opts.shards; i++)
		free(c->shards[i].past_owners);
	pf_map_free(&c->key_map);
	free(c->logs);
	free(c->agents);
	free(c->shards);
	free(c->waiters);
	free(c->keys);
	free(c->service);
	free(c);
}

uint32_t pf_claim_shard(uint64_t key, uint32_t shards)
{
	return (uint32_t)((key >> 32) % shards);
}

uint64_t pf_claim_shard_id(uint64_t service, uint32_t shard)
{
	return pf_id2(service, (uint64_t)shard + 1);
}

bool pf_claim_owns(const struct pf_claim *c, uint32_t shard)
{
	return shard < c->opts.shards && !c->superseded &&
	       c->shards[shard].ownership == SHARD_OWNED;
}

static void run_ended(struct pf_claim *c, pf_ms now,
		      const struct pf_claim_msg *m,
		      const struct pf_claim_sink *sink)
{
	struct claim_key *k = claim_key_find(c, m->u.result.key);
	struct pf_claim_act a = { .type = PF_CLAIM_RESULT_SETTLED };

	if (!k || k->state != KEY_RUNNING)
		return;
	k->state = KEY_STORING;
	if (!c->superseded &&
	    claim_queue_entry(c, k, ENTRY_RESULT, m->u.result.answer, now) == 0)
		return;
	/* The result is not stored: resends get OUTCOME_UNKNOWN. */
	k->state = KEY_UNKNOWN;
	claim_reply_all(c, k, PF_REASON_OUTCOME_UNKNOWN, PF_STR(""), sink);
	a.u.key = k->key;
	sink->emit(sink->ctx, &a);
}

static void run_lost(struct pf_claim *c, uint64_t key,
		     const struct pf_claim_sink *sink)
{
	struct claim_key *k = claim_key_find(c, key);

	if (!k || k->state != KEY_RUNNING)
		return;
	k->state = KEY_UNKNOWN;
	claim_reply_all(c, k, PF_REASON_OUTCOME_UNKNOWN, PF_STR(""), sink);
}

static void run_voided(struct pf_claim *c, pf_ms now, uint64_t key)
{
	struct claim_key *k = claim_key_find(c, key);

	if (!k || k->state != KEY_RUNNING)
		return;
	k->state = KEY_VOIDING;
	if (claim_queue_entry(c, k, ENTRY_VOID, PF_STR(""), now) < 0)
		k->state = KEY_UNKNOWN;
}

static bool runs_settled(const struct pf_claim *c)
{
	if (c->queue.n || c->flush.entries.n)
		return false;
	for (uint32_t i = 0; i < c->keys_end; i++)
		if (c->keys[i].state == KEY_RUNNING)
			return false;
	return true;
}

/* Whether another agent can take over; only while draining. */
static bool has_successor(const struct pf_claim *c, pf_ms now)
{
	for (uint32_t i = 0; i < c->n_agents; i++)
		if (claim_agent_can_own(c, &c->agents[i], now))
			return true;
	return false;
}

static void drain_if_done(struct pf_claim *c, pf_ms now,
			  const struct pf_claim_sink *sink)
{
	struct pf_claim_act a = { .type = PF_CLAIM_DRAINED };

	if (!c->draining || c->drained || c->control_op || !runs_settled(c))
		return;
	for (uint32_t i = 0; i < c->opts.shards; i++)
		if (c->shards[i].ownership != SHARD_NOT_OWNED &&
		    has_successor(c, now))
			return;
	c->drained = true;
	sink->emit(sink->ctx, &a);
}

static void handle_msg(struct pf_claim *c, pf_ms now,
		       const struct pf_claim_msg *m,
		       const struct pf_claim_sink *sink)
{
	switch (m->type) {
	case PF_CLAIM_REQUEST:
		claim_request(c, now, m, sink);
		break;
	case PF_CLAIM_RESULT:
		run_ended(c, now, m, sink);
		break;
	case PF_CLAIM_RUN_LOST:
		run_lost(c, m->u.key, sink);
		break;
	case PF_CLAIM_VOID:
		run_voided(c, now, m->u.key);
		break;
	case PF_CLAIM_CANCEL:
		claim_cancel(c, m->u.id);
		break;
	case PF_CLAIM_TXN_DONE:
		if (m->u.txn.op == c->flush.op)
			claim_flush_done(c, now, m, sink);
		else if (m->u.txn.op == c->control_op)
			claim_control_txn_done(c, m, sink);
		break;
	case PF_CLAIM_SCAN_DONE:
		if (m->u.scan.op == c->control_op)
			claim_control_scan_done(c, now, m, sink);
		break;
	case PF_CLAIM_DRAIN:
		c->draining = true;
		c->next_heartbeat_at = now;
		break;
	case PF_CLAIM_TICK:
		claim_refuse_overdue(c, now, sink);
		claim_settle_overdue_results(c, now, sink);
		drain_if_done(c, now, sink);
		break;
	}
}

void pf_claim_step(struct pf_claim *c, pf_ms now, const struct pf_claim_msg *m,
		   const struct pf_claim_sink *sink)
{
	c->last_step_at = now;
	handle_msg(c, now, m, sink);
	claim_control(c, now, sink);
	claim_flush_if_due(c, now, sink);
}

static pf_ms min_ms(pf_ms a, pf_ms b)
{
	return a < b ? a : b;
}

pf_ms pf_claim_next(const struct pf_claim *c)
{
	pf_ms next = PF_NEVER;

	if (c->drained || c->superseded)
		return PF_NEVER;
	if (!c->control_op)
		next = min_ms(c->next_heartbeat_at, c->next_gc_at);
	if (!c->control_op && c->any_recovering)
		next = min_ms(next, c->next_log_read_at);
	if (c->queue.n && !c->flush.op)
		next = min_ms(next, c->next_flush_at);
	if (c->flush.entries.n && !c->flush.op)
		next = min_ms(next, c->flush.retry_at);
	if (c->n_waiters || c->queue.n || c->flush.entries.n || c->draining)
		next = min_ms(next, c->last_step_at + WAIT_TICK_MS);
	return next > c->last_step_at ? next : c->last_step_at + 1;
}

void pf_claim_stats(const struct pf_claim *c, struct pf_claim_stats *s)
{
	*s = c->stats;
	s->keys = c->key_map.n;
	s->owned_shards = 0;
	for (uint32_t i = 0; i < c->opts.shards; i++)
		s->owned_shards += c->shards[i].ownership == SHARD_OWNED;
}
