/* Late binding of waiting requests to agents with room. */
#include "src/coordination/dispatch.h"

#include "src/coordination/backlog.h"
#include "src/coordination/catalog.h"
#include "src/coordination/entry_agents.h"
#include "src/coordination/limits.h"
#include "src/coordination/quarantine.h"
#include "src/coordination/requests.h"
#include "src/coordination/route.h"

/* Tries sent in one call from one group or to one agent. */
#define TRIES_PER_BURST_MAX 64
/* Groups in one sweep, and the time between sweeps. */
#define SWEEP_GROUPS_MAX 8
#define SWEEP_INTERVAL_MS 100
/* Groups that an agent cannot serve now before the search is given up. */
#define BLOCKED_GROUPS_MAX 16
/* Suspects visited in one pass over the trial queue. */
#define TRIAL_SCAN_MAX 32
/* Output tokens after which the next suspect may go on trial. */
#define TRIAL_PASS_TOKENS 16

static void arm_sweep(struct pf_entry *e)
{
	bool any = e->stats.waiting > 0 || e->trial_queue != PF_NIL;

	if (!any)
		e->sweep_at = PF_NEVER;
	else if (e->sweep_at == PF_NEVER)
		e->sweep_at = e->now + SWEEP_INTERVAL_MS;
}

static void emit_try(struct pf_entry *e, const struct pf_request *r)
{
	struct pf_entry_act a = { .type = PF_ENTRY_TRY };

	a.agent = e->agents[r->agent_slot].id;
	a.u.try_.id = (struct pf_try){ r->id, r->attempt };
	a.u.try_.work = &r->work;
	pf_entry_emit(e, &a);
}

static void record_sent(struct pf_request *r)
{
	uint64_t bit = pf_try_bit(r->attempt);

	r->tries.crashed &= ~bit;
	r->tries.alone &= ~bit;
	if (r->work.flags & PF_WORK_SUSPECT)
		r->tries.alone |= bit;
}

static void send_try(struct pf_entry *e, uint32_t slot,
		     const struct pf_route_choice *c)
{
	struct pf_request *r = &e->reqs[slot];
	pf_ms timeout = e->opts.try_timeout;

	r->attempt++;
	record_sent(r);
	r->stalls = 0;
	r->done_total = 0;
	r->state = PF_REQ_SENT;
	r->agent_slot = c->agent_slot;
	r->sent_at = e->now;
	pf_route_record_try(e, r, c);
	pf_agents_add_try(e, c->agent_slot, slot);
	if (r->attempt == 1)
		pf_limits_credit_first_try(e, r->account, c->agent_slot);
	if (c->needs_load)
		timeout += 2 * pf_route_model_load_ms();
	pf_requests_set_timer(e, slot, e->now + timeout);
	emit_try(e, r);
}

static void end_quarantined(struct pf_entry *e, uint32_t slot, pf_ms left)
{
	const struct pf_request *r = &e->reqs[slot];
	struct pf_outcome o = { PF_REASON_QUARANTINED, r->ran, left };

	pf_requests_end(e, slot, o);
}

/*
 * Most recently started first, as the likeliest cause of the crash; in order
 * among the first TRIAL_SCAN_MAX only.
 */
static void trial_queue_add(struct pf_entry *e, uint32_t slot)
{
	struct pf_request *r = &e->reqs[slot];
	uint32_t prev = PF_NIL, next = e->trial_queue;

	for (int n = 0; next != PF_NIL && n < TRIAL_SCAN_MAX; n++) {
		if (e->reqs[next].started_at < r->started_at)
			break;
		prev = next;
		next = e->reqs[next].next;
	}
	r->state = PF_REQ_AWAITING_TRIAL;
	pf_requests_set_timer(e, slot, PF_NEVER);
	r->prev = prev;
	r->next = next;
	if (prev == PF_NIL)
		e->trial_queue = slot;
	else
		e->reqs[prev].next = slot;
	if (next != PF_NIL)
		e->reqs[next].prev = slot;
	e->stats.waiting++;
}

static void trial_queue_del(struct pf_entry *e, uint32_t slot)
{
	struct pf_request *r = &e->reqs[slot];

	if (r->prev == PF_NIL)
		e->trial_queue = r->next;
	else
		e->reqs[r->prev].next = r->next;
	if (r->next != PF_NIL)
		e->reqs[r->next].prev = r->prev;
	e->stats.waiting--;
}

static bool same_fingerprint_in_flight(const struct pf_entry *e,
				       const struct pf_request *r)
{
	uint32_t i = pf_requests_find_fingerprint(e, r->work.fingerprint);

	while (i != PF_NIL && !pf_req_in_flight(&e->reqs[i]))
		i = e->reqs[i].fingerprint_next;
	return i != PF_NIL;
}

/* Sends a suspect on trial. False when it cannot be sent now. */
static bool start_trial(struct pf_entry *e, uint32_t slot)
{
	struct pf_request *r = &e->reqs[slot];
	struct pf_route_choice c;

	if (same_fingerprint_in_flight(e, r))
		return false;
	r->work.flags |= PF_WORK_SUSPECT;
	c = pf_route_pick(e, r);
	if (c.agent_slot == PF_NIL)
		return false;
	trial_queue_del(e, slot);
	e->trial_slot = slot;
	r->trial_offset = r->work.offset;
	send_try(e, slot, &c);
	return true;
}

/*
 * Ends the request if its fingerprint is in quarantine, or puts it into the
 * trial queue if it is a suspect. False when it is neither.
 */
static bool divert_suspect(struct pf_entry *e, uint32_t slot)
{
	struct pf_request *r = &e->reqs[slot];
	pf_ms left = 0;

	switch (pf_quarantine_check(e, r->work.fingerprint, &left)) {
	case PF_QUARANTINED:
		end_quarantined(e, slot, left);
		return true;
	case PF_SUSPECTED:
		trial_queue_add(e, slot);
		return true;
	case PF_CLEAR:
		break;
	}
	r->work.flags &= ~(uint32_t)PF_WORK_SUSPECT;
	return false;
}

/* Diverts a queued request whose fingerprint has become suspect since. */
static bool divert_queued(struct pf_entry *e, uint32_t slot)
{
	uint64_t fp = e->reqs[slot].work.fingerprint;

	if (pf_quarantine_check(e, fp, NULL) == PF_CLEAR)
		return false;
	pf_backlog_del(e, slot, false);
	return divert_suspect(e, slot);
}

/* Sends or diverts the first of a group. False when no agent has room. */
static bool send_first(struct pf_entry *e, uint32_t group)
{
	uint32_t slot = e->groups[group].heap_root;
	struct pf_route_choice c;

	if (slot == PF_NIL)
		return false;
	if (divert_queued(e, slot))
		return true;
	c = pf_route_pick(e, &e->reqs[slot]);
	if (c.agent_slot == PF_NIL)
		return false;
	pf_backlog_del(e, slot, true);
	send_try(e, slot, &c);
	return true;
}

static void send_group(struct pf_entry *e, uint32_t group)
{
	for (int n = 0; n < TRIES_PER_BURST_MAX && send_first(e, group); n++)
		;
}

/* Starts a trial if none runs; suspects cleared meanwhile are queued. */
static void run_trials(struct pf_entry *e)
{
	uint32_t slot = e->trial_queue, next;

	for (int n = 0; slot != PF_NIL && n < TRIAL_SCAN_MAX;
	     n++, slot = next) {
		struct pf_request *r = &e->reqs[slot];
		pf_ms left = 0;
		enum pf_quarantine_state v =
			pf_quarantine_check(e, r->work.fingerprint, &left);

		next = r->next;
		if (v == PF_SUSPECTED) {
			if (e->trial_slot == PF_NIL)
				(void)start_trial(e, slot);
			continue;
		}
		trial_queue_del(e, slot);
		if (v == PF_QUARANTINED) {
			end_quarantined(e, slot, left);
			continue;
		}
		r->work.flags &= ~(uint32_t)PF_WORK_SUSPECT;
		pf_backlog_add(e, slot);
		send_group(e, r->group);
	}
}

void pf_dispatch_enqueue(struct pf_entry *e, uint32_t slot)
{
	struct pf_request *r = &e->reqs[slot];

	if (!divert_suspect(e, slot)) {
		pf_backlog_add(e, slot);
		pf_requests_set_timer(e, slot,
				      r->attempt ? PF_NEVER
						 : pf_limits_give_up_at(e, r));
		/* Otherwise it waits behind a first that has no agent yet. */
		if (e->groups[r->group].heap_root == slot)
			send_group(e, r->group);
	} else if (e->trial_slot == PF_NIL) {
		run_trials(e);
	}
	arm_sweep(e);
}

void pf_dispatch_remove(struct pf_entry *e, uint32_t slot)
{
	if (e->reqs[slot].state == PF_REQ_QUEUED)
		pf_backlog_del(e, slot, false);
	else if (e->reqs[slot].state == PF_REQ_AWAITING_TRIAL)
		trial_queue_del(e, slot);
}

static bool contains(const uint32_t *v, uint32_t n, uint32_t x)
{
	for (uint32_t i = 0; i < n; i++) {
		if (v[i] == x)
			return true;
	}
	return false;
}

/* The group with waiting requests that item @i of @a serves, or PF_NIL. */
static uint32_t group_of_item(const struct pf_entry *e,
			      const struct pf_entry_agent *a, uint32_t i)
{
	uint64_t id = a->items[i].id;
	uint32_t g;

	if (a->service)
		g = pf_backlog_find_group(e, a->service, id);
	else
		g = pf_backlog_find_group(e, id, 0);
	return g != PF_NIL && e->groups[g].n_waiting ? g : PF_NIL;
}

static pf_ms first_sort_key(const struct pf_entry *e, uint32_t group)
{
	return e->reqs[e->groups[group].heap_root].sort_key;
}

/* The group that @a serves, not in @blocked, with the lowest sort key. */
static uint32_t most_urgent_group(const struct pf_entry *e,
				  const struct pf_entry_agent *a,
				  const uint32_t *blocked, uint32_t n)
{
	uint32_t best = PF_NIL;

	if (a->service) {
		best = pf_backlog_find_group(e, a->service, 0);
		if (best != PF_NIL &&
		    (!e->groups[best].n_waiting || contains(blocked, n, best)))
			best = PF_NIL;
	}
	for (uint32_t i = 0; i < a->n_items; i++) {
		uint32_t g = group_of_item(e, a, i);

		if (g == PF_NIL || contains(blocked, n, g))
			continue;
		if (best == PF_NIL ||
		    first_sort_key(e, g) < first_sort_key(e, best))
			best = g;
	}
	return best;
}

void pf_dispatch_to_agent(struct pf_entry *e, uint32_t agent_slot)
{
	struct pf_entry_agent *a = &e->agents[agent_slot];
	uint32_t blocked[BLOCKED_GROUPS_MAX];
	uint32_t n = 0;

	if (e->trial_queue != PF_NIL)
		run_trials(e);
	for (int i = 0; i < TRIES_PER_BURST_MAX && n < BLOCKED_GROUPS_MAX;
	     i++) {
		uint32_t g;

		if (e->stats.waiting == 0 || !pf_agents_has_room(e, a))
			break;
		g = most_urgent_group(e, a, blocked, n);
		if (g == PF_NIL)
			break;
		if (!send_first(e, g))
			blocked[n++] = g;
	}
	arm_sweep(e);
}

void pf_dispatch_sweep(struct pf_entry *e)
{
	if (e->trial_queue != PF_NIL)
		run_trials(e);
	for (int i = 0; i < SWEEP_GROUPS_MAX; i++) {
		uint32_t g = pf_backlog_next_group(e);

		if (g == PF_NIL)
			break;
		send_group(e, g);
	}
	if (e->sweep_at <= e->now)
		e->sweep_at = PF_NEVER;
	arm_sweep(e);
}

void pf_dispatch_detach(struct pf_entry *e, uint32_t slot)
{
	struct pf_request *r = &e->reqs[slot];

	pf_agents_remove_try(e, r->agent_slot, slot);
	if (e->trial_slot == slot)
		e->trial_slot = PF_NIL;
	r->state = PF_REQ_BACKOFF;
	r->next = PF_NIL;
	r->prev = PF_NIL;
}

void pf_dispatch_trial_progress(struct pf_entry *e, uint32_t slot)
{
	const struct pf_request *r = &e->reqs[slot];

	if (e->trial_slot != slot ||
	    r->work.offset < r->trial_offset + TRIAL_PASS_TOKENS)
		return;
	e->trial_slot = PF_NIL;
	run_trials(e);
	arm_sweep(e);
}

void pf_dispatch_end_undeclared(struct pf_entry *e)
{
	uint32_t next;

	for (uint32_t g = e->busy_groups.head; g != PF_NIL; g = next) {
		uint32_t slot;

		next = e->groups[g].next;
		while ((slot = e->groups[g].heap_root) != PF_NIL &&
		       !pf_catalog_declares(e, &e->reqs[slot].work)) {
			struct pf_outcome o = { PF_REASON_UNKNOWN_MODEL,
						e->reqs[slot].ran, 0 };

			pf_backlog_del(e, slot, false);
			pf_requests_end(e, slot, o);
		}
	}
}
