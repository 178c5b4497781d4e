/*
 * Preemption of a long stream for a short try, if that gains more than it
 * loses: the try starts in time, the stream gets a gap, a delay and a second
 * prefill of its tokens.
 */
#include "agent_core.h"

/* A longer gap, in expected intervals between tokens, breaks a stream. */
#define STREAM_GAP_MAX_INTERVALS 2

static double priority_weight(const struct run *r)
{
	return (double)(1 << (PF_PRIORITIES - r->work.priority));
}

/* What @r gains by starting now rather than when a batch slot is free. */
static double start_gain(const struct pf_agent *a, const struct run *r)
{
	double time_left = (double)(r->work.first_token_objective - a->now);
	double prefill = run_prefill_ms(a, r);

	if (r->work.first_token_objective == PF_NEVER || r->produced > 0 ||
	    a->end_gap_ms <= 0)
		return 0;
	if (a->end_gap_ms + prefill <= time_left || prefill > time_left)
		return 0;
	return priority_weight(r);
}

/* What pausing @v for @r loses; more than any gain if @r is not shorter. */
static double pause_loss(const struct pf_agent *a, const struct run *v,
			 const struct run *r)
{
	double second_prefill = run_prefill_ms(a, v);
	double delay = run_cost_ms(a, r) + second_prefill;
	double remaining = run_cost_ms(a, v) - second_prefill;
	double time_left = (double)(v->work.answer_objective - a->now);
	bool met =
		v->work.answer_objective == PF_NEVER || remaining <= time_left;
	bool met_if_paused = v->work.answer_objective == PF_NEVER ||
			     remaining + delay <= time_left;

	if (run_cost_ms(a, r) >= remaining)
		return priority_weight(r) + priority_weight(v);
	if (v->work.token_gap_objective_ms > 0 &&
	    delay > STREAM_GAP_MAX_INTERVALS * v->work.token_gap_objective_ms)
		met_if_paused = false;
	/* The second prefill displaces work of the same weight. */
	return (met && !met_if_paused ? priority_weight(v) : 0) +
	       priority_weight(v) * second_prefill / delay;
}

bool pause_stream_for(struct pf_agent *a, const struct run *r, int64_t bytes)
{
	struct run *v = run_first(a, RUN_RUNNING), *best = NULL;
	double least = start_gain(a, r);

	if (least <= 0)
		return false;
	for (; v; v = run_next(a, v)) {
		double x;

		if (!run_pausable(v) || v->preempted || v->prefilling ||
		    a->ledger.kv_grants[run_slot(a, v)] < bytes)
			continue;
		x = pause_loss(a, v, r);
		if (x >= least)
			continue;
		least = x;
		best = v;
	}
	if (!best)
		return false;
	best->preempted = true;
	run_stop(a, best, STOP_PAUSE);
	return true;
}
