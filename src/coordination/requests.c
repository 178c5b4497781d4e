/* Table of open requests. */
#include "src/coordination/requests.h"

#include "src/coordination/limits.h"
#include "src/coordination/quarantine.h"

#include <stdlib.h>

int pf_requests_init(struct pf_entry *e)
{
	uint32_t n = e->opts.requests_max;

	e->reqs = calloc(n, sizeof(*e->reqs));
	if (!e->reqs || pf_map_init(&e->req_map, n) ||
	    pf_map_init(&e->fingerprint_map, n) || pf_heap_init(&e->timers, n))
		return -1;
	for (uint32_t i = 0; i < n; i++)
		e->reqs[i].next = i + 1 < n ? i + 1 : PF_NIL;
	e->req_free = 0;
	return 0;
}

void pf_requests_free(struct pf_entry *e)
{
	free(e->reqs);
	pf_map_free(&e->req_map);
	pf_map_free(&e->fingerprint_map);
	pf_heap_free(&e->timers);
}

uint32_t pf_requests_find(const struct pf_entry *e, uint64_t id)
{
	uint32_t i;

	return pf_map_get(&e->req_map, pf_key1(id), &i) ? PF_NIL : i;
}

uint32_t pf_requests_find_fingerprint(const struct pf_entry *e,
				      uint64_t fingerprint)
{
	uint32_t i;

	return pf_map_get(&e->fingerprint_map, pf_key1(fingerprint), &i)
		       ? PF_NIL
		       : i;
}

static void fingerprint_link(struct pf_entry *e, uint32_t slot)
{
	struct pf_request *r = &e->reqs[slot];

	r->fingerprint_prev = PF_NIL;
	r->fingerprint_next =
		pf_requests_find_fingerprint(e, r->work.fingerprint);
	if (r->fingerprint_next != PF_NIL)
		e->reqs[r->fingerprint_next].fingerprint_prev = slot;
	(void)pf_map_put(&e->fingerprint_map, pf_key1(r->work.fingerprint),
			 slot);
}

static void fingerprint_unlink(struct pf_entry *e, uint32_t slot)
{
	struct pf_request *r = &e->reqs[slot];
	struct pf_key k = pf_key1(r->work.fingerprint);

	if (r->fingerprint_next != PF_NIL)
		e->reqs[r->fingerprint_next].fingerprint_prev =
			r->fingerprint_prev;
	if (r->fingerprint_prev != PF_NIL)
		e->reqs[r->fingerprint_prev].fingerprint_next =
			r->fingerprint_next;
	else if (r->fingerprint_next != PF_NIL)
		(void)pf_map_put(&e->fingerprint_map, k, r->fingerprint_next);
	else
		pf_map_del(&e->fingerprint_map, k);
}

uint32_t pf_requests_new(struct pf_entry *e, uint64_t id,
			 const struct pf_work *w)
{
	uint32_t slot = e->req_free;
	struct pf_request *r;

	if (slot == PF_NIL)
		return PF_NIL;
	r = &e->reqs[slot];
	e->req_free = r->next;
	*r = (struct pf_request){
		.id = id,
		.work = *w,
		.state = PF_REQ_BACKOFF,
		.ran = PF_NOT_RUN,
		.group = PF_NIL,
		.agent_slot = PF_NIL,
		.child = PF_NIL,
		.next = PF_NIL,
		.prev = PF_NIL,
		.timer_at = PF_NEVER,
	};
	(void)pf_map_put(&e->req_map, pf_key1(id), slot);
	if (w->fingerprint)
		fingerprint_link(e, slot);
	pf_requests_set_timer(e, slot, PF_NEVER);
	e->stats.open++;
	return slot;
}

void pf_requests_set_timer(struct pf_entry *e, uint32_t slot, pf_ms at)
{
	struct pf_request *r = &e->reqs[slot];

	r->timer_at = at;
	pf_heap_set(&e->timers, slot, pf_ms_min(at, r->work.deadline));
}

void pf_requests_drop(struct pf_entry *e, uint32_t slot)
{
	struct pf_request *r = &e->reqs[slot];

	if (r->attempt)
		pf_quarantine_keep_ended(e, r);
	pf_limits_release(e, r->account);
	if (r->group != PF_NIL)
		e->groups[r->group].n_requests--;
	if (r->work.fingerprint)
		fingerprint_unlink(e, slot);
	pf_map_del(&e->req_map, pf_key1(r->id));
	pf_heap_set(&e->timers, slot, PF_NEVER);
	r->next = e->req_free;
	e->req_free = slot;
	e->stats.open--;
}

static void emit_end(struct pf_entry *e, uint64_t id, struct pf_outcome o,
		     uint32_t total)
{
	struct pf_entry_act a = { .type = PF_ENTRY_END };

	a.u.end.request = id;
	a.u.end.reason = o.reason;
	a.u.end.ran = o.ran;
	a.u.end.retry_after = o.retry_after;
	a.u.end.total = total;
	pf_entry_emit(e, &a);
}

void pf_requests_end(struct pf_entry *e, uint32_t slot, struct pf_outcome o)
{
	struct pf_request *r = &e->reqs[slot];

	if (o.reason == PF_REASON_NONE)
		e->stats.completed++;
	else if (o.ran == PF_NOT_RUN)
		e->stats.refused++;
	else
		e->stats.failed++;
	emit_end(e, r->id, o, r->work.offset);
	pf_requests_drop(e, slot);
}

void pf_requests_refuse(struct pf_entry *e, uint64_t id, enum pf_reason reason,
			pf_ms retry_after)
{
	struct pf_outcome o = { reason, PF_NOT_RUN, retry_after };

	e->stats.refused++;
	emit_end(e, id, o, 0);
}
