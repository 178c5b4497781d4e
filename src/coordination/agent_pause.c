/*
 * Pausing a long stream for a short try. Only if the yield over both is
 * higher: what the short one gains by starting now against what the long one
 * loses by the gap, the delay, and computing its tokens again.
 */
#include "agent_core.h"

#define STREAM_GAP_MAX_INTERVALS \
	2 /* a gap of so many expected ones breaks a stream */

static double priority_weight(const struct run *r)
{
	return (double)(1 << (PF_PRIORITIES - r->work.priority));
}

/* What @r gains by starting now instead of when a place becomes free. */
static double start_gain(const struct pf_agent *a, const struct run *r)
{
	double left = (double)(r->work.first_due - a->now);
	double prefill = run_prefill_ms(a, r);

	if (r->work.first_due == PF_NEVER || r->produced > 0 ||
	    a->end_gap_ms <= 0)
		return 0;
	if (a->end_gap_ms + prefill <= left || prefill > left)
		return 0;
	return priority_weight(r);
}

/* What @v loses by waiting while @r runs; all of it if it is of no use. */
static double pause_loss(const struct pf_agent *a, const struct run *v,
			 const struct run *r)
{
	double again = run_prefill_ms(a, v);
	double delay = run_cost_ms(a, r) + again;
	double rest = run_cost_ms(a, v) - again;
	double left = (double)(v->work.whole_due - a->now);
	bool met = v->work.whole_due == PF_NEVER || rest <= left;
	bool still = v->work.whole_due == PF_NEVER || rest + delay <= left;

	if (run_cost_ms(a, r) >= rest)
		return priority_weight(r) + priority_weight(v);
	if (v->work.between_ms > 0 &&
	    delay > STREAM_GAP_MAX_INTERVALS * v->work.between_ms)
		still = false;
	/* Computing again takes the place of work of the same weight. */
	return (met && !still ? priority_weight(v) : 0) +
	       priority_weight(v) * again / delay;
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
		    a->ledger.kv[run_slot(a, v)] < bytes)
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
