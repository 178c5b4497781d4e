/* Life cycle of requests: arrival, answers of agents, timeouts. */
#include "src/coordination/lifecycle.h"

#include "src/coordination/attempt.h"
#include "src/coordination/backlog.h"
#include "src/coordination/catalog.h"
#include "src/coordination/dispatch.h"
#include "src/coordination/entry_agents.h"
#include "src/coordination/limits.h"
#include "src/coordination/quarantine.h"
#include "src/coordination/requests.h"
#include "src/coordination/route.h"

/* Extra time allowed for the first token, per prompt token. */
#define PROMPT_TOKEN_MS 1
/*
 * Retry-after while draining; short, since other entries take the retry. Ten
 * times that when the group table is full.
 */
#define RETRY_AFTER_MS 100
/* Weight of a new sample of an agent's service time. */
#define SERVICE_SAMPLE_WEIGHT 0.1
/* How long an agent gets no request of a group that it could not serve. */
#define UNABLE_MS 1000
/* Stalls in a row after which a stream is given up without another agent. */
#define STALLS_MAX 4
/* Timers run in one step; the others wait for the next step. */
#define TIMERS_PER_STEP_MAX 256

/* When the stream counts as stalled; PF_NEVER when it cannot be resumed. */
static pf_ms stall_deadline(const struct pf_entry *e,
			    const struct pf_request *r)
{
	if ((r->work.flags & PF_WORK_PLAIN) || pf_req_never_repeat(r))
		return PF_NEVER;
	return e->now + e->opts.stall_timeout;
}

void pf_lifecycle_arrive(struct pf_entry *e, uint64_t id,
			 const struct pf_work *w)
{
	struct pf_work work = *w;
	struct pf_refusal refusal;
	struct pf_request *r;
	uint32_t slot, account, group;
	pf_ms left = 0;

	e->stats.arrived++;
	/* Ids are unique: this is a duplicate of the message. */
	if (pf_requests_find(e, id) != PF_NIL)
		return;
	if (e->draining) {
		pf_requests_refuse(e, id, PF_REASON_LEAVING, RETRY_AFTER_MS);
		return;
	}
	if (pf_quarantine_check(e, w->fingerprint, &left) == PF_QUARANTINED) {
		pf_requests_refuse(e, id, PF_REASON_QUARANTINED, left);
		return;
	}
	refusal = pf_limits_admit(e, &work, &account);
	if (refusal.reason != PF_REASON_NONE) {
		pf_requests_refuse(e, id, refusal.reason, refusal.retry_after);
		return;
	}
	group = pf_backlog_get_group(e, &work);
	slot = group == PF_NIL ? PF_NIL : pf_requests_new(e, id, &work);
	if (slot == PF_NIL) {
		pf_limits_release(e, account);
		pf_requests_refuse(e, id, PF_REASON_FULL,
				   group == PF_NIL
					   ? RETRY_AFTER_MS * 10
					   : pf_limits_retry_after(
						     e, group, work.priority));
		return;
	}
	r = &e->reqs[slot];
	r->account = account;
	r->group = group;
	e->groups[group].n_requests++;
	r->sort_key = pf_backlog_sort_key(e, r);
	refusal = pf_limits_check_overload(e, r);
	if (refusal.reason != PF_REASON_NONE)
		pf_requests_end(e, slot,
				pf_outcome(refusal.reason, PF_NOT_RUN,
					   refusal.retry_after));
	else
		pf_dispatch_enqueue(e, slot);
}

void pf_lifecycle_caller_gone(struct pf_entry *e, uint64_t id)
{
	uint32_t slot = pf_requests_find(e, id);
	uint32_t agent_slot;

	if (slot == PF_NIL)
		return;
	pf_attempt_abandon(e, &e->reqs[slot]);
	agent_slot = pf_attempt_unlink(e, slot);
	pf_requests_drop(e, slot);
	if (agent_slot != PF_NIL)
		pf_dispatch_to_agent(e, agent_slot);
}

/* The slot of the request whose try @id is in flight at @agent, or PF_NIL. */
static uint32_t find_in_flight(const struct pf_entry *e, uint64_t agent,
			       const struct pf_try *id)
{
	uint32_t slot = pf_requests_find(e, id->request);
	const struct pf_request *r;

	if (slot == PF_NIL)
		return PF_NIL;
	r = &e->reqs[slot];
	if (!pf_req_in_flight(r) || r->attempt != id->attempt ||
	    e->agents[r->agent_slot].id != agent)
		return PF_NIL;
	return slot;
}

static void mark_started(struct pf_entry *e, uint32_t slot)
{
	struct pf_request *r = &e->reqs[slot];

	if (r->state == PF_REQ_RUNNING)
		return;
	r->state = PF_REQ_RUNNING;
	r->ran = PF_RAN;
	r->started_at = e->now;
	pf_requests_set_timer(
		e, slot,
		pf_ms_add(stall_deadline(e, r),
			  r->work.prompt_tokens * PROMPT_TOKEN_MS));
}

void pf_lifecycle_started(struct pf_entry *e, const struct pf_entry_msg *m)
{
	uint32_t slot = find_in_flight(e, m->agent, &m->u.id);

	if (slot != PF_NIL)
		mark_started(e, slot);
}

static void deliver(struct pf_entry *e, struct pf_request *r, uint32_t skip,
		    uint32_t count)
{
	struct pf_entry_act a = { .type = PF_ENTRY_DELIVER };

	a.agent = e->agents[r->agent_slot].id;
	a.u.deliver.request = r->id;
	a.u.deliver.skip = skip;
	a.u.deliver.count = count;
	a.u.deliver.offset = r->work.offset;
	pf_entry_emit(e, &a);
	r->work.offset += count;
}

/* Updates the mean service time of the agent and output length of the group. */
static void learn_from_answer(struct pf_entry *e, const struct pf_request *r)
{
	struct pf_entry_agent *a = &e->agents[r->agent_slot];
	double ms = (double)(e->now - r->sent_at);

	if (a->service_ms <= 0)
		a->service_ms = ms;
	else
		a->service_ms += SERVICE_SAMPLE_WEIGHT * (ms - a->service_ms);
	if (!(r->work.flags & PF_WORK_PLAIN))
		pf_backlog_learn_output(e, r->group, r->work.offset);
}

static void complete(struct pf_entry *e, uint32_t slot)
{
	struct pf_request *r = &e->reqs[slot];

	learn_from_answer(e, r);
	if (r->work.flags & PF_WORK_SUSPECT)
		pf_quarantine_clear_suspect(e, r->work.fingerprint);
	pf_attempt_end_request(e, slot, pf_outcome(PF_REASON_NONE, PF_RAN, 0));
}

void pf_lifecycle_piece(struct pf_entry *e, const struct pf_entry_msg *m)
{
	uint32_t slot = find_in_flight(e, m->agent, &m->u.tokens.id);
	uint32_t offset = m->u.tokens.offset, count = m->u.tokens.count;
	struct pf_request *r;
	uint32_t skip;

	if (slot == PF_NIL) {
		e->stats.late_pieces++;
		return;
	}
	mark_started(e, slot);
	r = &e->reqs[slot];
#ifndef PF_MUTANT_DELIVER_GAP
	if (offset > r->work.offset) {
		pf_attempt_replace(e, slot);
		return;
	}
#endif
	skip = r->work.offset - offset;
#ifdef PF_MUTANT_DELIVER_GAP
	if (offset > r->work.offset)
		skip = 0;
#endif
#ifdef PF_MUTANT_DELIVER_DOUBLED
	skip = 0;
#endif
	if (skip >= count) {
		e->stats.duplicate_pieces++;
		return;
	}
	deliver(e, r, skip, count - skip);
	r->backoffs = 0;
	r->stalls = 0;
	if (r->done_total && r->work.offset >= r->done_total) {
		complete(e, slot);
		return;
	}
	pf_requests_set_timer(e, slot, stall_deadline(e, r));
	pf_dispatch_trial_progress(e, slot);
}

void pf_lifecycle_done(struct pf_entry *e, const struct pf_entry_msg *m)
{
	uint32_t slot = find_in_flight(e, m->agent, &m->u.done.id);
	struct pf_request *r;

	if (slot == PF_NIL)
		return;
	mark_started(e, slot);
	r = &e->reqs[slot];
	if (m->u.done.error) {
		pf_attempt_end_request(
			e, slot, pf_outcome(PF_REASON_BACKEND, PF_RAN, 0));
		return;
	}
#ifdef PF_MUTANT_END_SHORT
	r->work.offset = m->u.done.total;
#endif
	/* DONE may overtake pieces. Resume if they do not arrive in time. */
	if (m->u.done.total > r->work.offset) {
		r->done_total = m->u.done.total;
		pf_requests_set_timer(e, slot, e->now + e->opts.stall_timeout);
		return;
	}
	complete(e, slot);
}

static void mark_leaving(struct pf_entry *e, uint64_t agent)
{
	uint32_t agent_slot = pf_agents_find(e, agent);

	if (agent_slot != PF_NIL)
		e->agents[agent_slot].leaving = true;
}

void pf_lifecycle_not_run(struct pf_entry *e, const struct pf_entry_msg *m)
{
	uint32_t slot = find_in_flight(e, m->agent, &m->u.not_run.id);
	enum pf_reason why = m->u.not_run.reason;
	pf_ms after = m->u.not_run.retry_after;
	struct pf_request *r;
	struct pf_entry_agent *a;

	/* Holds whether or not the try is still in flight. */
	if (why == PF_REASON_LEAVING)
		mark_leaving(e, m->agent);
	/* A try that has started cannot be NOT_RUN. */
	if (slot == PF_NIL || e->reqs[slot].state == PF_REQ_RUNNING)
		return;
	r = &e->reqs[slot];
	a = &e->agents[r->agent_slot];
	switch (why) {
	case PF_REASON_LEAVING:
		pf_attempt_retry(e, slot, PF_RETRY_LEAVING, 0);
		break;
	case PF_REASON_FULL:
		a->reported_load = a->batch_max + e->opts.depth;
		a->ended_since_report = 0;
		pf_attempt_retry(e, slot, PF_RETRY_BUSY, after);
		break;
	case PF_REASON_NOT_READY:
		a->ready = false;
		pf_attempt_retry(e, slot, PF_RETRY_BUSY, after);
		break;
	case PF_REASON_NO_MEMORY:
		pf_agents_set_unable(e, r->agent_slot, r->group,
				     e->now + UNABLE_MS);
		pf_attempt_retry(e, slot, PF_RETRY_BUSY, after);
		break;
	case PF_REASON_STORE_AWAY:
		pf_attempt_retry(e, slot, PF_RETRY_BUSY, after);
		break;
	case PF_REASON_NOT_RESIDENT:
		pf_agents_set_unable(e, r->agent_slot, r->group,
				     e->now + UNABLE_MS);
		/* A claim shard that moved is not charged to the caller. */
		pf_attempt_retry(e, slot,
				 e->groups[r->group].shard ? PF_RETRY_BUSY
							   : PF_RETRY_FAULT,
				 after);
		break;
	case PF_REASON_UNKNOWN_MODEL:
		/* Declared here: the agent has another configuration so far. */
		if (pf_catalog_declares(e, &r->work)) {
			pf_agents_set_unable(e, r->agent_slot, r->group,
					     e->now + UNABLE_MS);
			pf_attempt_retry(e, slot, PF_RETRY_FAULT, after);
			break;
		}
		/* fallthrough */
	case PF_REASON_EXPIRED:
	case PF_REASON_TOO_LONG:
	case PF_REASON_KEY_REUSED:
	case PF_REASON_QUARANTINED:
		pf_attempt_end_request(e, slot, pf_outcome(why, r->ran, after));
		break;
	default:
		pf_attempt_retry(e, slot, PF_RETRY_FAULT, after);
	}
}

void pf_lifecycle_revoked(struct pf_entry *e, const struct pf_entry_msg *m)
{
	uint32_t slot = find_in_flight(e, m->agent, &m->u.id);

	if (slot != PF_NIL && e->reqs[slot].state != PF_REQ_RUNNING)
		pf_attempt_retry(e, slot, PF_RETRY_BUSY, 0);
}

static void handle_crash(struct pf_entry *e, uint32_t slot)
{
	struct pf_request *r = &e->reqs[slot];
	uint64_t bit = pf_try_bit(r->attempt);
	struct pf_crash crash = {
		.fingerprint = r->work.fingerprint,
		.caller = r->work.caller,
		.agent_slot = r->agent_slot,
		.alone = r->tries.alone & bit,
	};

	r->tries.crashed |= bit;
	if (pf_quarantine_record_crash(e, &crash) == PF_QUARANTINED) {
		pf_attempt_end_request(e, slot,
				       pf_outcome(PF_REASON_QUARANTINED, PF_RAN,
						  e->opts.quarantine_keep));
		pf_lifecycle_end_quarantined(e, crash.fingerprint);
		return;
	}
	pf_attempt_lost(e, slot, PF_RETRY_ENDPOINT_LOST);
}

/* Counts the crash of a try that is no longer in flight, once. */
static void handle_late_crash(struct pf_entry *e, const struct pf_entry_msg *m)
{
	const struct pf_try *id = &m->u.lost.id;
	uint32_t slot = pf_requests_find(e, id->request);
	struct pf_ended_request *ended =
		pf_quarantine_find_ended(e, id->request);
	struct pf_crash crash = { .agent_slot = pf_agents_find(e, m->agent) };
	uint64_t bit = pf_try_bit(id->attempt);
	struct pf_try_sets *tries;

	if (m->u.lost.reason != PF_REASON_CRASHED ||
	    crash.agent_slot == PF_NIL || (slot == PF_NIL && !ended))
		return;
	if (slot != PF_NIL) {
		tries = &e->reqs[slot].tries;
		crash.fingerprint = e->reqs[slot].work.fingerprint;
		crash.caller = e->reqs[slot].work.caller;
	} else {
		tries = &ended->tries;
		crash.fingerprint = ended->fingerprint;
		crash.caller = ended->caller;
	}
	if (tries->crashed & bit)
		return;
	tries->crashed |= bit;
	crash.alone = tries->alone & bit;
	if (pf_quarantine_record_crash(e, &crash) == PF_QUARANTINED)
		pf_lifecycle_end_quarantined(e, crash.fingerprint);
}

void pf_lifecycle_lost(struct pf_entry *e, const struct pf_entry_msg *m)
{
	uint32_t slot = find_in_flight(e, m->agent, &m->u.lost.id);

	if (slot == PF_NIL) {
		handle_late_crash(e, m);
		return;
	}
	mark_started(e, slot);
	switch (m->u.lost.reason) {
	case PF_REASON_CRASHED:
		handle_crash(e, slot);
		break;
	case PF_REASON_OUTCOME_UNKNOWN:
		pf_attempt_end_unknown(e, slot);
		break;
	case PF_REASON_EXPIRED:
		pf_attempt_end_request(
			e, slot, pf_outcome(PF_REASON_EXPIRED, PF_RAN, 0));
		break;
	case PF_REASON_LEAVING:
		e->agents[e->reqs[slot].agent_slot].leaving = true;
		pf_attempt_lost(e, slot, PF_RETRY_LEAVING);
		break;
	default:
		pf_attempt_lost(e, slot, PF_RETRY_FAULT);
	}
}

void pf_lifecycle_link_down(struct pf_entry *e, uint32_t agent_slot)
{
	struct pf_entry_agent *a = &e->agents[agent_slot];

	a->linked = false;
	a->has_report = false;
	while (a->in_flight_head != PF_NIL)
		pf_attempt_lost(e, a->in_flight_head,
				a->leaving ? PF_RETRY_LEAVING
					   : PF_RETRY_ENDPOINT_LOST);
}

void pf_lifecycle_end_quarantined(struct pf_entry *e, uint64_t fingerprint)
{
	uint32_t slot = pf_requests_find_fingerprint(e, fingerprint), next;

	for (; slot != PF_NIL; slot = next) {
		const struct pf_request *r = &e->reqs[slot];

		next = r->fingerprint_next;
		if (pf_req_in_flight(r))
			continue;
		pf_attempt_end_request(e, slot,
				       pf_outcome(PF_REASON_QUARANTINED, r->ran,
						  e->opts.quarantine_keep));
	}
}

static void expire(struct pf_entry *e, uint32_t slot)
{
	struct pf_request *r = &e->reqs[slot];
	enum pf_ran ran = pf_attempt_ran(r);

	pf_attempt_abandon(e, r);
	pf_attempt_end_request(e, slot, pf_outcome(PF_REASON_EXPIRED, ran, 0));
}

/* Ends a request that waited too long, unless it waits for a model load. */
static void give_up_queued(struct pf_entry *e, uint32_t slot)
{
	const struct pf_request *r = &e->reqs[slot];
	pf_ms after;

	/* Waiting for a model load is no overload: check again later. */
	if (!pf_route_model_resident(e, r)) {
		pf_requests_set_timer(e, slot, e->now + e->opts.age_step);
		return;
	}
	after = pf_limits_retry_after(e, r->group, r->work.priority);

	pf_attempt_end_request(e, slot,
			       pf_outcome(PF_REASON_OVERLOAD, r->ran, after));
}

static void give_up(struct pf_entry *e, uint32_t slot)
{
	struct pf_request *r = &e->reqs[slot];
	enum pf_ran ran = pf_attempt_ran(r);
	enum pf_reason why = PF_REASON_EXPIRED;

	if (ran == PF_NOT_RUN)
		why = PF_REASON_LEAVING;
	else if (pf_req_never_repeat(r))
		why = PF_REASON_OUTCOME_UNKNOWN;
	pf_attempt_abandon(e, r);
	pf_attempt_end_request(e, slot, pf_outcome(why, ran, RETRY_AFTER_MS));
}

void pf_lifecycle_give_up_all(struct pf_entry *e)
{
	/* Those that wait first: an agent with room again would get them. */
	for (int in_flight = 0; in_flight < 2; in_flight++) {
		for (uint32_t i = 0; i < e->opts.requests_max; i++) {
			const struct pf_request *r = &e->reqs[i];

			if (pf_requests_find(e, r->id) == i &&
			    pf_req_in_flight(r) == (in_flight != 0))
				give_up(e, i);
		}
	}
}

static void revoke_try(struct pf_entry *e, uint32_t slot)
{
	struct pf_request *r = &e->reqs[slot];

	r->state = PF_REQ_REVOKING;
	pf_attempt_emit_stop(e, PF_ENTRY_REVOKE, r);
	e->stats.revokes++;
	pf_requests_set_timer(e, slot, e->now + e->opts.try_timeout);
}

/*
 * Cancels a silent stream only if another agent may take over: its agent may
 * go on, while a request without a retry left would end in mid-answer.
 */
static void handle_stall(struct pf_entry *e, uint32_t slot)
{
	struct pf_request *r = &e->reqs[slot];
	/* After DONE, nothing more comes from this try. */
	bool over = r->done_total > 0;

	if (!over && ++r->stalls < STALLS_MAX &&
	    !(pf_attempt_may_retry(e, r) && pf_route_has_other_agent(e, r)))
		pf_requests_set_timer(e, slot, stall_deadline(e, r));
	else
		pf_attempt_replace(e, slot);
}

static void run_timer(struct pf_entry *e, uint32_t slot)
{
	if (e->reqs[slot].work.deadline <= e->now) {
		expire(e, slot);
		return;
	}
	switch (e->reqs[slot].state) {
	case PF_REQ_QUEUED:
		give_up_queued(e, slot);
		break;
	case PF_REQ_BACKOFF:
		pf_requests_set_timer(e, slot, PF_NEVER);
		pf_dispatch_enqueue(e, slot);
		break;
	case PF_REQ_SENT:
	case PF_REQ_REVOKING:
		revoke_try(e, slot);
		break;
	case PF_REQ_RUNNING:
		handle_stall(e, slot);
		break;
	case PF_REQ_AWAITING_TRIAL:
		pf_requests_set_timer(e, slot, PF_NEVER);
		break;
	}
}

void pf_lifecycle_run_timers(struct pf_entry *e)
{
	uint32_t slot;

	for (int n = 0; n < TIMERS_PER_STEP_MAX; n++) {
		if (pf_heap_top(&e->timers, &slot) > e->now)
			break;
		run_timer(e, slot);
	}
}
