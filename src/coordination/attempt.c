/* Stopping, ending and retrying the try in flight. */
#include "src/coordination/attempt.h"

#include "src/coordination/dispatch.h"
#include "src/coordination/limits.h"

enum pf_ran pf_attempt_ran(const struct pf_request *r)
{
	if (r->ran == PF_RAN || r->state == PF_REQ_RUNNING)
		return PF_RAN;
#ifndef PF_MUTANT_TIMEOUT_NOT_RUN
	if (pf_req_in_flight(r))
		return PF_RAN_UNKNOWN;
#endif
	return r->ran;
}

void pf_attempt_emit_stop(struct pf_entry *e, enum pf_entry_act_type type,
			  const struct pf_request *r)
{
	struct pf_entry_act a = { .type = type };

	a.agent = e->agents[r->agent_slot].id;
	a.u.id = (struct pf_try){ r->id, r->attempt };
	pf_entry_emit(e, &a);
}

uint32_t pf_attempt_unlink(struct pf_entry *e, uint32_t slot)
{
	struct pf_request *r = &e->reqs[slot];
	uint32_t agent_slot = PF_NIL;

	if (pf_req_in_flight(r)) {
		agent_slot = r->agent_slot;
		pf_dispatch_detach(e, slot);
	} else {
		pf_dispatch_remove(e, slot);
	}
	return agent_slot;
}

void pf_attempt_end_request(struct pf_entry *e, uint32_t slot,
			    struct pf_outcome o)
{
	uint32_t agent_slot = pf_attempt_unlink(e, slot);

	pf_requests_end(e, slot, o);
	if (agent_slot != PF_NIL)
		pf_dispatch_to_agent(e, agent_slot);
}

void pf_attempt_abandon(struct pf_entry *e, const struct pf_request *r)
{
	if (!pf_req_in_flight(r))
		return;
	if (!pf_req_never_repeat(r)) {
		pf_attempt_emit_stop(e, PF_ENTRY_CANCEL, r);
	} else if (r->state != PF_REQ_RUNNING) {
		pf_attempt_emit_stop(e, PF_ENTRY_REVOKE, r);
		e->stats.revokes++;
	}
}

/* Avoids the agent of the last try; replaces the entry that ends first. */
static void avoid_agent(struct pf_request *r, pf_ms until)
{
	int oldest = 0;

	for (int i = 0; i < PF_AVOID_MAX; i++) {
		if (r->avoid[i].agent_slot == r->agent_slot) {
			oldest = i;
			break;
		}
		if (r->avoid[i].until < r->avoid[oldest].until)
			oldest = i;
	}
	r->avoid[oldest].agent_slot = r->agent_slot;
	r->avoid[oldest].until = until;
}

/* Charges a retry to the budgets. False when they do not allow it. */
static bool charge_retry(struct pf_entry *e, struct pf_request *r,
			 enum pf_retry_cause cause)
{
	bool budget_left;

	if (cause == PF_RETRY_BUSY || cause == PF_RETRY_LEAVING)
		return true;
	e->stats.retries++;
	budget_left = pf_limits_charge_retry(e, r->account, r->agent_slot);
	/* Not a retry storm: a lost endpoint loses each of its tries once. */
	if (cause == PF_RETRY_ENDPOINT_LOST)
		return true;
	return budget_left && ++r->retries < e->opts.attempts_max;
}

void pf_attempt_retry(struct pf_entry *e, uint32_t slot,
		      enum pf_retry_cause cause, pf_ms min_backoff)
{
	struct pf_request *r = &e->reqs[slot];
	bool resumed = r->state == PF_REQ_RUNNING;
	bool defer = r->work.flags & PF_WORK_DEFERRABLE;
	uint32_t agent_slot = r->agent_slot;
	pf_ms backoff = 0;
	bool allowed;

	pf_dispatch_detach(e, slot);
	allowed = charge_retry(e, r, cause);
	if (!allowed && !defer) {
		pf_requests_end(e, slot,
				pf_outcome(PF_REASON_RETRY_BUDGET, r->ran,
					   e->opts.backoff_max));
		pf_dispatch_to_agent(e, agent_slot);
		return;
	}
	e->stats.resumes += resumed;
	if (cause != PF_RETRY_LEAVING && !resumed) {
		backoff = pf_limits_backoff_ms(e, r->backoffs++);
		if (backoff < min_backoff)
			backoff = pf_ms_min(min_backoff, e->opts.backoff_max);
	}
	/* Deferrable: retried after twice the longest backoff, not refused. */
	if (!allowed)
		backoff = 2 * e->opts.backoff_max;
	avoid_agent(r, e->now + backoff + e->opts.backoff_max);
	if (backoff)
		pf_requests_set_timer(e, slot, e->now + backoff);
	else
		pf_dispatch_enqueue(e, slot);
	pf_dispatch_to_agent(e, agent_slot);
}

void pf_attempt_end_unknown(struct pf_entry *e, uint32_t slot)
{
	pf_attempt_end_request(e, slot,
			       pf_outcome(PF_REASON_OUTCOME_UNKNOWN,
					  PF_RAN_UNKNOWN, 0));
}

void pf_attempt_lost(struct pf_entry *e, uint32_t slot,
		     enum pf_retry_cause cause)
{
	struct pf_request *r = &e->reqs[slot];

	r->ran = pf_attempt_ran(r);
#ifndef PF_MUTANT_RETRY_NEVER_REPEAT
	if (!pf_req_may_resend(r)) {
		pf_attempt_end_unknown(e, slot);
		return;
	}
#endif
	/* A partial answer of a plain service cannot be resumed. */
	if ((r->work.flags & PF_WORK_PLAIN) && r->work.offset > 0) {
		pf_attempt_end_request(e, slot,
				       pf_outcome(PF_REASON_LINK, r->ran, 0));
		return;
	}
	pf_attempt_retry(e, slot, cause, 0);
}

bool pf_attempt_may_retry(const struct pf_entry *e, const struct pf_request *r)
{
	if (r->work.flags & PF_WORK_DEFERRABLE)
		return true;
	return r->retries + 1 < e->opts.attempts_max &&
	       pf_limits_retry_allowed(e, r->account, r->agent_slot);
}

void pf_attempt_replace(struct pf_entry *e, uint32_t slot)
{
	struct pf_request *r = &e->reqs[slot];

	if (!pf_req_never_repeat(r))
		pf_attempt_emit_stop(e, PF_ENTRY_CANCEL, r);
	pf_attempt_lost(e, slot, PF_RETRY_FAULT);
}
