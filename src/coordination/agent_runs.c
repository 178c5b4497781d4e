/* Runs from start to end: claim, output, stop, end, engine crash. */
#include "agent_core.h"

#define ENGINE_CANCELS_MAX 3 /* without output between, then LOST */

uint32_t runs_in_batch(const struct pf_agent *a)
{
	return a->lists[RUN_RUNNING].n + a->lists[RUN_STOPPING].n +
	       a->lists[RUN_CLAIMING].n;
}

static void emit_run(struct pf_agent *a, const struct run *r,
		     enum pf_agent_act_type type)
{
	struct pf_agent_act act = { .type = type, .entry = r->entry };

	act.u.run.id = r->id;
	act.u.run.work = &r->work;
	act.u.run.offset = r->produced;
	act.u.run.limit = r->limit;
	agent_emit(a, &act);
}

static void start_at_engine(struct pf_agent *a, struct run *r)
{
	run_set_state(a, r, RUN_RUNNING);
	if (!r->ran)
		a->stats.admitted++;
	r->ran = true;
	r->prefilling = true;
	r->started_at = a->now;
	r->last_token_at = a->now;
	emit_run(a, r, PF_AGENT_RUN);
}

static bool needs_claim(const struct run *r)
{
	return (r->work.flags & PF_WORK_NEVER_REPEAT) && r->work.idem_key != 0;
}

void run_start(struct pf_agent *a, struct run *r)
{
	if (!needs_claim(r)) {
		start_at_engine(a, r);
		return;
	}
	run_set_state(a, r, RUN_CLAIMING);
	emit_run(a, r, PF_AGENT_CLAIM);
}

void run_stop(struct pf_agent *a, struct run *r, enum stop_reason reason)
{
	struct pf_agent_act act = { .type = PF_AGENT_STOP, .entry = r->entry };

	if (r->growth_blocked)
		a->n_growth_blocked--;
	r->growth_blocked = false;
	r->stop_reason = reason;
	r->stop_retry_at = a->now + a->opts.order_timeout;
	agent_wake_at(a, r->stop_retry_at);
	run_set_state(a, r, RUN_STOPPING);
#ifdef PF_MUTANT_STOP_FREED
	kv_release(a, r);
#endif
	act.u.id = r->id;
	agent_emit(a, &act);
}

void runs_repeat_stops(struct pf_agent *a)
{
	uint32_t n = a->lists[RUN_STOPPING].n;

	/* run_stop() moves the run to the end of the list. */
	while (n-- > 0) {
		struct run *r = run_first(a, RUN_STOPPING);

		if (r->stop_retry_at > a->now) {
			agent_wake_at(a, r->stop_retry_at);
			break;
		}
		run_stop(a, r, r->stop_reason);
	}
}

/*
 * No claim was granted: the log has the answer of an earlier run, or one is in
 * doubt, or the claim failed.
 */
static void end_refused_claim(struct pf_agent *a, struct run *r,
			      enum pf_reason reason)
{
	switch (reason) {
	case PF_REASON_NONE:
		run_end_done(a, r, PF_FINISH_STOP);
		break;
	case PF_REASON_OUTCOME_UNKNOWN:
		run_end_lost(a, r, reason);
		break;
	default:
		run_set_state(a, r, RUN_QUEUED);
		run_end_waiting(a, r, reason);
		break;
	}
}

void agent_on_claimed(struct pf_agent *a, struct pf_try id, bool granted,
		      enum pf_reason reason)
{
	struct run *r = run_find(a, id);
	struct pf_agent_act act = { .type = PF_AGENT_VOID };

	if (!r)
		return;
	if (r->state == RUN_VOIDING) {
		act.u.id = id;
#ifndef PF_MUTANT_VOID
		if (granted)
			agent_emit(a, &act);
#endif
		run_remove(a, r);
		return;
	}
	if (r->state != RUN_CLAIMING)
		return;
	if (!granted) {
		end_refused_claim(a, r, reason);
	} else if (r->work.deadline <= a->now) {
		act.u.id = id;
		agent_emit(a, &act);
		end_refused_claim(a, r, PF_REASON_EXPIRED);
	} else {
		start_at_engine(a, r);
	}
}

static void emit_started(struct pf_agent *a, struct run *r)
{
	struct pf_agent_act act = { .type = PF_AGENT_STARTED,
				    .entry = r->entry };

	if (r->started_sent)
		return;
	r->started_sent = true;
	act.u.id = r->id;
	agent_emit(a, &act);
}

static void update_token_times(struct pf_agent *a, struct run *r,
			       uint32_t count)
{
	double ms = (double)(a->now - r->last_token_at);
	uint32_t prompt = r->work.prompt_tokens + r->produced;

	if (r->prefilling && prompt > 0)
		average_add(&a->prefill_token_ms, ms / prompt);
	else if (!r->prefilling && count > 0)
		average_add(&a->step_ms, ms / count);
	r->prefilling = false;
	r->engine_cancels = 0;
	r->last_token_at = a->now;
}

static bool is_at_engine(const struct run *r)
{
	return r && (r->state == RUN_RUNNING || r->state == RUN_STOPPING);
}

void agent_on_tokens(struct pf_agent *a, struct pf_try id, uint32_t offset,
		     uint32_t count)
{
	struct run *r = run_find(a, id);
	struct pf_agent_act act = { .type = PF_AGENT_PIECE };

	if (!is_at_engine(r)) {
		a->stats.late_tokens += count;
		return;
	}
	emit_started(a, r);
	update_token_times(a, r, count);
	act.entry = r->entry;
	act.u.tokens.id = id;
	act.u.tokens.offset = offset;
	act.u.tokens.count = count;
	agent_emit(a, &act);
	if (offset + count > r->produced)
		r->produced = offset + count;
	if (r->state == RUN_RUNNING && !is_plain(a))
		kv_grow(a, r, count);
}

static void update_end_stats(struct pf_agent *a, const struct run *r)
{
	/* Idle time before the run started is not part of the gap. */
	pf_ms since =
		a->last_end_at > r->started_at ? a->last_end_at : r->started_at;

	average_add(&a->end_gap_ms, (double)(a->now - since));
	a->last_end_at = a->now;
	if (!is_plain(a))
		lengths_add(a->lengths, r->work.model, r->work.caller,
			    r->produced);
}

/* Queues @r again to resume after its last token. FIFO starts it first. */
static void requeue(struct pf_agent *a, struct run *r)
{
	kv_release(a, r);
	r->queued_at = a->now;
	run_estimate_length(a, r);
	run_set_state(a, r, RUN_QUEUED);
	a->schedule_needed = true;
	if (a->draining)
		run_end_lost(a, r, PF_REASON_LEAVING);
}

/* A run ended after STOP. */
static void end_stopped(struct pf_agent *a, struct run *r)
{
	switch (r->stop_reason) {
	case STOP_PAUSE:
		a->stats.paused++;
		requeue(a, r);
		break;
	case STOP_CANCEL:
		run_end_done(a, r, PF_FINISH_CANCELLED);
		break;
	case STOP_NO_MEMORY:
		run_end_lost(a, r, PF_REASON_NO_MEMORY);
		break;
	}
}

/* A run was cancelled, by STOP or by the engine itself. */
static void end_cancelled(struct pf_agent *a, struct run *r)
{
	if (r->state == RUN_STOPPING)
		end_stopped(a, r);
	else if (r->work.flags & PF_WORK_NEVER_REPEAT)
		run_end_lost(a, r, PF_REASON_OUTCOME_UNKNOWN);
	else if (run_pausable(r) && r->engine_cancels++ < ENGINE_CANCELS_MAX)
		requeue(a, r);
	else
		run_end_lost(a, r, PF_REASON_BACKEND);
}

void agent_on_run_end(struct pf_agent *a, struct pf_try id,
		      enum pf_finish_reason finish_reason, uint32_t total)
{
	struct run *r = run_find(a, id);

	if (!is_at_engine(r))
		return;
	if (total > r->produced)
		r->produced = total;
	if (finish_reason == PF_FINISH_CANCELLED) {
		end_cancelled(a, r);
		return;
	}
	emit_started(a, r);
	update_end_stats(a, r);
	run_end_done(a, r, finish_reason);
}

static void lose_list(struct pf_agent *a, enum run_state state)
{
	struct run *r;

	while ((r = run_first(a, state)))
		run_end_lost(a, r, PF_REASON_CRASHED);
}

void runs_lose_all(struct pf_agent *a)
{
	lose_list(a, RUN_RUNNING);
	lose_list(a, RUN_STOPPING);
}
