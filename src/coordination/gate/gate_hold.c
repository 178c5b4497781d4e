/*
 * Holds requests of client accounts that use more than their share
 * (gate_share.h) while the endpoints that could serve them are short of
 * something. An engine can't reorder what it was sent, so they are held here.
 * Held requests wait in the queue like those that find all endpoints full.
 */
#include "src/coordination/gate/gate_core.h"

#include <stdlib.h>

/* Requests of the highest priority are held for this share of the reserve, so
 * that an account's others are held before them. */
#define URGENT_RESERVE 0.55
/* An engine's priorities; requests of accounts with a large excess go after
 * those of their kind and the next one, or they would overtake others there. An
 * account that is only larger than others isn't set back. */
#define PRIORITY_MAX 9
#define HELD_PRIORITY 2

void gate_hold_sent(struct pf_gate *g, struct gate_request *r,
		    const struct gate_endpoint *e)
{
	bool engine = e->kv_capacity > 0;

	r->use = (struct gate_share_use){ {
		[GATE_PLAIN_SLOTS] = !engine,
		[GATE_SLOTS] = engine,
		[GATE_KV_TOKENS] = r->kv_tokens,
		[GATE_PREFILL_MS] = (int64_t)r->prefill_ms,
	} };
	r->share_entry = gate_share_entry(&g->share, r->account);
	gate_share_add(&g->share, r->share_entry, &r->use, 1, true);
}

void gate_hold_prefilled(struct pf_gate *g, struct gate_request *r)
{
	struct gate_share_use done = { { 0 } };

	done.v[GATE_PREFILL_MS] = r->use.v[GATE_PREFILL_MS];
	gate_share_add(&g->share, r->share_entry, &done, -1, true);
	r->use.v[GATE_PREFILL_MS] = 0;
}

void gate_hold_ended(struct pf_gate *g, struct gate_request *r)
{
	gate_share_add(&g->share, r->share_entry, &r->use, -1, true);
	r->use = (struct gate_share_use){ { 0 } };
}

void gate_hold_told(struct pf_gate *g, struct gate_peer *p,
		    const struct pf_gate_account_load *v, uint32_t n)
{
	uint32_t i;

	for (i = 0; i < p->n_uses; i++)
		gate_share_add(&g->share, p->uses[i].entry, &p->uses[i].use, -1,
			       false);
	p->n_uses = 0;
	if (n > PF_GATE_ACCOUNTS_MAX)
		n = PF_GATE_ACCOUNTS_MAX;
	if (n && !p->uses)
		p->uses = calloc(PF_GATE_ACCOUNTS_MAX, sizeof(*p->uses));
	/* Without memory, only what this peer has in flight is not counted. */
	for (i = 0; p->uses && i < n; i++) {
		struct gate_peer_use *u = &p->uses[p->n_uses];

		if (!v[i].account || (!v[i].plain && !v[i].running))
			continue;
		p->n_uses++;
		u->use = gate_share_told(&v[i]);
		u->entry = gate_share_entry(&g->share, v[i].account);
		gate_share_add(&g->share, u->entry, &u->use, 1, false);
	}
}

static bool is_below(const double *limits, const struct gate_endpoint *e)
{
	double running = (double)e->own_running + e->peer_running;
	double kv = (double)(e->own_kv_tokens + e->peer_kv_tokens);
	double prefill =
		(e->own_prefill_ms + e->peer_prefill_ms) * e->latency_factor;

	if (!e->kv_capacity)
		return running < limits[GATE_PLAIN_SLOTS] * e->slots;
	return running < limits[GATE_SLOTS] * e->slots &&
	       kv < limits[GATE_KV_TOKENS] * GATE_KV_FILL_MAX *
			       (double)e->kv_capacity &&
	       prefill < limits[GATE_PREFILL_MS] * GATE_QUEUED_PREFILL_MAX_MS;
}

/* Whether an endpoint that has the model of @r is loaded less than that. */
static bool has_room(const struct pf_gate *g, const struct gate_request *r,
		     const double *limits)
{
	bool any = false;
	uint32_t i;

	for (i = 0; i < g->n_endpoints; i++) {
		const struct gate_endpoint *e = &g->endpoints[i];

		if (!e->used || e->service != r->service ||
		    e->blocked_until > g->now || gate_endpoint_leaves(e) ||
		    (r->model && !gate_endpoint_has_model(e, r->model, 0)))
			continue;
		if (is_below(limits, e))
			return true;
		any = true;
	}
	return !any;
}

bool gate_hold(struct pf_gate *g, struct gate_request *r)
{
	double limits[GATE_RESOURCE_COUNT];
	bool limited = false;
	int k;

	/* What has begun, or may run, is not ended by its account's share. */
	if (r->bound || r->response_started || r->possible_runs > 0)
		return false;
	for (k = 0; k < GATE_RESOURCE_COUNT; k++) {
		limits[k] = gate_share_limit(&g->share, r->account,
					     (enum gate_resource)k);
		if (r->priority == 0)
			limits[k] = 1 - URGENT_RESERVE * (1 - limits[k]);
		limited |= limits[k] < 1;
	}
	if (!limited || has_room(g, r, limits))
		return false;
	g->stats.held += !r->held;
	r->held = true;
	r->last_at_engines = gate_share_is_full(&g->share, r->account);
	return true;
}

int gate_hold_priority(const struct gate_request *r, int priority)
{
	if (!r->last_at_engines)
		return priority;
	priority += HELD_PRIORITY;
	return priority > PRIORITY_MAX ? PRIORITY_MAX : priority;
}
