/* Ends and renews the tries of a request. */
#include "src/coordination/attempt.h"

#include "src/coordination/dispatch.h"
#include "src/coordination/limits.h"

/* The true state at this moment, with the try in flight. */
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

	a.agent = e->peers[r->peer].id;
	a.u.id = (struct pf_try){ r->id, r->attempt };
	pf_entry_emit(e, &a);
}

/* Takes a request out of whatever holds it. The agent may have room then. */
uint32_t pf_attempt_unlink(struct pf_entry *e, uint32_t slot)
{
	struct pf_request *r = &e->reqs[slot];
	uint32_t peer = PF_NIL;

	if (pf_req_in_flight(r)) {
		peer = r->peer;
		pf_dispatch_detach(e, slot);
	} else {
		pf_dispatch_remove(e, slot);
	}
	return peer;
}

void pf_attempt_end_request(struct pf_entry *e, uint32_t slot,
			    struct pf_outcome o)
{
	uint32_t peer = pf_attempt_unlink(e, slot);

	pf_requests_end(e, slot, o);
	if (peer != PF_NIL)
		pf_dispatch_to_peer(e, peer);
}

/*
 * Stops the try in flight because its request ends. A never-repeat call that
 * began is left to finish, so that its outcome stays known at its owner.
 */
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

static void avoid_peer(struct pf_request *r, pf_ms until)
{
	int oldest = 0;

	for (int i = 0; i < PF_AVOID_MAX; i++) {
		if (r->avoid[i].peer == r->peer) {
			oldest = i;
			break;
		}
		if (r->avoid[i].until < r->avoid[oldest].until)
			oldest = i;
	}
	r->avoid[oldest].peer = r->peer;
	r->avoid[oldest].until = until;
}

/* Whether the budgets allow another try. */
static bool charge_retry(struct pf_entry *e, struct pf_request *r,
			 enum pf_retry_cause why)
{
	bool budget_left;

	if (why == PF_RETRY_BUSY || why == PF_RETRY_LEAVING)
		return true;
	e->stats.retries++;
	budget_left = pf_limits_retry(e, r->account, r->peer);
	/* A lost endpoint amplifies nothing: its tries cannot be lost twice. */
	if (why == PF_RETRY_ENDPOINT_LOST)
		return true;
	return budget_left && ++r->retries < e->opts.attempts_max;
}

/* The try in flight is over and another is to follow. */
void pf_attempt_retry(struct pf_entry *e, uint32_t slot,
		      enum pf_retry_cause why, pf_ms after)
{
	struct pf_request *r = &e->reqs[slot];
	bool resumed = r->state == PF_REQ_RUNNING;
	bool defer = r->work.flags & PF_WORK_DEFERRABLE;
	uint32_t peer = r->peer;
	pf_ms pause = 0;
	bool allowed;

	pf_dispatch_detach(e, slot);
	allowed = charge_retry(e, r, why);
	if (!allowed && !defer) {
		pf_requests_end(e, slot,
				pf_outcome(PF_REASON_RETRY_BUDGET, r->ran,
					   e->opts.backoff_max));
		pf_dispatch_to_peer(e, peer);
		return;
	}
	e->stats.resumes += resumed;
	if (why != PF_RETRY_LEAVING && !resumed) {
		pause = pf_limits_backoff(e, r->backoffs++);
		if (pause < after)
			pause = pf_ms_min(after, e->opts.backoff_max);
	}
	/* Late is better than refused: it waits out the longest pause. */
	if (!allowed)
		pause = 2 * e->opts.backoff_max;
	avoid_peer(r, e->now + pause + e->opts.backoff_max);
	if (pause)
		pf_requests_set_timer(e, slot, e->now + pause);
	else
		pf_dispatch_enqueue(e, slot);
	pf_dispatch_to_peer(e, peer);
}

void pf_attempt_end_unknown(struct pf_entry *e, uint32_t slot)
{
	pf_attempt_end_request(e, slot,
			       pf_outcome(PF_REASON_OUTCOME_UNKNOWN,
					  PF_RAN_UNKNOWN, 0));
}

/* The try may have begun and its outcome cannot be learned any more. */
void pf_attempt_lost(struct pf_entry *e, uint32_t slot, enum pf_retry_cause why)
{
	struct pf_request *r = &e->reqs[slot];

	r->ran = pf_attempt_ran(r);
#ifndef PF_MUTANT_RETRY_NEVER_REPEAT
	if (!pf_req_may_resend(r)) {
		pf_attempt_end_unknown(e, slot);
		return;
	}
#endif
	/* Answers of plain services cannot be continued in the middle. */
	if ((r->work.flags & PF_WORK_PLAIN) && r->work.offset > 0) {
		pf_attempt_end_request(e, slot,
				       pf_outcome(PF_REASON_LINK, r->ran, 0));
		return;
	}
	pf_attempt_retry(e, slot, why, 0);
}

/* The try runs on but is of no use: stops it and goes on elsewhere. */
void pf_attempt_replace(struct pf_entry *e, uint32_t slot)
{
	struct pf_request *r = &e->reqs[slot];

	if (!pf_req_never_repeat(r))
		pf_attempt_emit_stop(e, PF_ENTRY_CANCEL, r);
	pf_attempt_lost(e, slot, PF_RETRY_FAULT);
}
