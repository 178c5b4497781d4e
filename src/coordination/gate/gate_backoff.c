/*
 * Backoff: an endpoint that turned a request away may ask for no requests for
 * some time. Nothing shortens it but a new incarnation. Afterwards a few sends
 * go first, twice as many after each answer.
 */
#include "src/coordination/gate/gate_core.h"

/* Longer times count as mistakes of the endpoint. */
#define BACKOFF_MAX_MS 60000
#define STATUS_UNAVAILABLE 503

pf_ms pf_gate_backoff(const struct pf_reply *r)
{
	/* With other statuses the time is for the caller only. */
	if (r->retry_after <= 0 || r->other_instance ||
	    (r->status != STATUS_UNAVAILABLE && !r->not_run))
		return 0;
	return r->retry_after < BACKOFF_MAX_MS ? r->retry_after
					       : BACKOFF_MAX_MS;
}

static struct gate_backoff_entry *find_backoff(struct pf_gate *g,
					       uint64_t incarnation)
{
	uint32_t i;

	for (i = 0; i < GATE_BACKOFFS_MAX && i < g->n_backoffs; i++) {
		if (g->backoffs[i].incarnation == incarnation)
			return &g->backoffs[i];
	}
	return NULL;
}

void gate_backoff_restore(struct pf_gate *g, struct gate_endpoint *e)
{
	const struct gate_backoff_entry *q = find_backoff(g, e->incarnation);

	e->backoff_until = q ? q->until : 0;
	e->ramp = q ? 1 : 0;
}

void gate_endpoint_backoff(struct pf_gate *g, uint64_t id, int64_t incarnation,
			   pf_ms span)
{
	uint64_t hashed = pf_id2(id, (uint64_t)incarnation);
	struct gate_endpoint *e = gate_endpoint_find(g, id);
	struct gate_backoff_entry *q = find_backoff(g, hashed);

	if (!q) {
		q = &g->backoffs[g->n_backoffs++ % GATE_BACKOFFS_MAX];
		*q = (struct gate_backoff_entry){ hashed, 0 };
	}
	if (q->until < g->now + span)
		q->until = g->now + span;
	if (e && e->incarnation == hashed)
		gate_backoff_restore(g, e);
}

bool gate_backoff_holds(const struct pf_gate *g, const struct gate_endpoint *e)
{
#ifndef PF_MUTANT_GATE_HERD
	if (e->ramp && e->ramp_running >= e->ramp)
		return true;
#endif
	return e->backoff_until > g->now;
}

void gate_backoff_sent(struct gate_request *r, struct gate_endpoint *e)
{
	if (!e->ramp)
		return;
	r->in_ramp = true;
	e->ramp_running++;
}

void gate_backoff_unsent(struct gate_request *r, struct gate_endpoint *e)
{
	if (r->in_ramp)
		e->ramp_running--;
	r->in_ramp = false;
}

void gate_backoff_answered(struct gate_request *r, struct gate_endpoint *e)
{
#ifdef PF_MUTANT_GATE_BACKOFF
	e->backoff_until = 0;
#endif
	if (!r->in_ramp)
		return;
	gate_backoff_unsent(r, e);
	/* Sent before the last backoff: says nothing about its end. */
	if (r->sent_at < e->backoff_until)
		return;
	e->ramp *= 2;
	if (e->ramp > e->slots)
		e->ramp = 0;
}
