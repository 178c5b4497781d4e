/* Runs: claim, start, pieces, stop and end. */
#include "agent_core.h"

#define BOUNCES_MAX 3 /* starts that the engine gives up, before it is lost */

uint32_t runs_busy(const struct pf_agent *a)
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

static void launch(struct pf_agent *a, struct run *r)
{
	run_move(a, r, RUN_RUNNING);
	if (!r->ran)
		a->stats.admitted++;
	r->ran = true;
	r->first = true;
	r->run_at = a->now;
	r->token_at = a->now;
	emit_run(a, r, PF_AGENT_RUN);
}

static bool needs_claim(const struct run *r)
{
	return (r->work.flags & PF_WORK_NEVER_REPEAT) && r->work.idem_key != 0;
}

void run_start(struct pf_agent *a, struct run *r)
{
	if (!needs_claim(r)) {
		launch(a, r);
		return;
	}
	run_move(a, r, RUN_CLAIMING);
	emit_run(a, r, PF_AGENT_CLAIM);
}

void run_stop(struct pf_agent *a, struct run *r, enum stop_reason why)
{
	struct pf_agent_act act = { .type = PF_AGENT_STOP, .entry = r->entry };

	if (r->hungry)
		a->n_hungry--;
	r->hungry = false;
	r->stop = why;
	r->retry_at = a->now + a->o.order_timeout;
	agent_arm(a, r->retry_at);
	run_move(a, r, RUN_STOPPING);
#ifdef PF_MUTANT_STOP_FREED
	kv_release(a, r);
#endif
	act.u.id = r->id;
	agent_emit(a, &act);
}

void runs_sweep(struct pf_agent *a)
{
	uint32_t n = a->lists[RUN_STOPPING].n;

	/* Stopping again puts the run at the end of the list. */
	while (n-- > 0) {
		struct run *r = run_at_head(a, RUN_STOPPING);

		if (r->retry_at > a->now) {
			agent_arm(a, r->retry_at);
			break;
		}
		run_stop(a, r, r->stop);
	}
}

/* The log holds the answer of an earlier run, or says that one may exist. */
static void claim_refused(struct pf_agent *a, struct run *r,
			  enum pf_reason reason)
{
	switch (reason) {
	case PF_REASON_NONE:
		run_finish(a, r, PF_FINISH_STOP);
		break;
	case PF_REASON_OUTCOME_UNKNOWN:
		run_lose(a, r, reason);
		break;
	default:
		run_move(a, r, RUN_QUEUED);
		run_give_up(a, r, reason);
		break;
	}
}

void agent_claimed(struct pf_agent *a, struct pf_try id, bool granted,
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
		run_drop(a, r);
		return;
	}
	if (r->state != RUN_CLAIMING)
		return;
	if (!granted) {
		claim_refused(a, r, reason);
	} else if (r->work.deadline <= a->now) {
		act.u.id = id;
		agent_emit(a, &act);
		claim_refused(a, r, PF_REASON_EXPIRED);
	} else {
		launch(a, r);
	}
}

static void tell_started(struct pf_agent *a, struct run *r)
{
	struct pf_agent_act act = { .type = PF_AGENT_STARTED,
				    .entry = r->entry };

	if (r->told)
		return;
	r->told = true;
	act.u.id = r->id;
	agent_emit(a, &act);
}

static void measure(struct pf_agent *a, struct run *r, uint32_t count)
{
	double ms = (double)(a->now - r->token_at);
	uint32_t prompt = r->work.prompt_tokens + r->produced;

	if (r->first && prompt > 0)
		agent_average(&a->prefill_ms, ms / prompt);
	else if (!r->first && count > 0)
		agent_average(&a->step_ms, ms / count);
	r->first = false;
	r->bounced = 0;
	r->token_at = a->now;
}

static bool at_engine(const struct run *r)
{
	return r && (r->state == RUN_RUNNING || r->state == RUN_STOPPING);
}

void agent_tokens(struct pf_agent *a, struct pf_try id, uint32_t offset,
		  uint32_t count)
{
	struct run *r = run_find(a, id);
	struct pf_agent_act act = { .type = PF_AGENT_PIECE };

	if (!at_engine(r)) {
		a->stats.late_tokens += count;
		return;
	}
	tell_started(a, r);
	measure(a, r, count);
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

static void note_end(struct pf_agent *a, const struct run *r)
{
	/* Idle time before it is no gap. */
	pf_ms since = a->last_end > r->run_at ? a->last_end : r->run_at;

	agent_average(&a->end_gap_ms, (double)(a->now - since));
	a->last_end = a->now;
	if (!is_plain(a))
		learn_add(a->learn, r->work.model, r->work.caller, r->produced);
}

/* Back to the queue, to resume at the next token; ahead of newer work. */
static void requeue(struct pf_agent *a, struct run *r)
{
	kv_release(a, r);
	r->queued_at = a->now;
	run_foresee(a, r);
	run_move(a, r, RUN_QUEUED);
	a->dirty = true;
	if (a->leaving)
		run_lose(a, r, PF_REASON_LEAVING);
}

static void stopped(struct pf_agent *a, struct run *r)
{
	switch (r->stop) {
	case STOP_PAUSE:
		a->stats.paused++;
		requeue(a, r);
		break;
	case STOP_CANCEL:
		run_finish(a, r, PF_FINISH_CANCELLED);
		break;
	case STOP_NO_MEMORY:
		run_lose(a, r, PF_REASON_NO_MEMORY);
		break;
	}
}

static void cancelled(struct pf_agent *a, struct run *r)
{
	if (r->state == RUN_STOPPING)
		stopped(a, r);
	else if (r->work.flags & PF_WORK_NEVER_REPEAT)
		run_lose(a, r, PF_REASON_OUTCOME_UNKNOWN);
	else if (run_pausable(r) && r->bounced++ < BOUNCES_MAX)
		requeue(a, r);
	else
		run_lose(a, r, PF_REASON_BACKEND);
}

void agent_run_end(struct pf_agent *a, struct pf_try id,
		   enum pf_finish_reason end, uint32_t total)
{
	struct run *r = run_find(a, id);

	if (!at_engine(r))
		return;
	if (total > r->produced)
		r->produced = total;
	if (end == PF_FINISH_CANCELLED) {
		cancelled(a, r);
		return;
	}
	tell_started(a, r);
	note_end(a, r);
	run_finish(a, r, end);
}

static void crash_list(struct pf_agent *a, enum run_state state)
{
	struct run *r;

	while ((r = run_at_head(a, state)))
		run_lose(a, r, PF_REASON_CRASHED);
}

void runs_crashed(struct pf_agent *a)
{
	crash_list(a, RUN_RUNNING);
	crash_list(a, RUN_STOPPING);
}
