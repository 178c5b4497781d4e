/*
 * Pausing a long stream for a short try. Only if the yield over both is
 * higher: what the short one gains by starting now against what the long one
 * loses by the gap, the delay, and computing its tokens again.
 */
#include "agent_core.h"

#define GAP_FACTOR 2 /* a gap of so many expected ones breaks a stream */

static double weight(const struct run *r)
{
	return (double)(1 << (PF_PRIORITIES - r->work.priority));
}

/* What @r gains by starting now instead of when a place becomes free. */
static double gain(const struct pf_agent *a, const struct run *r)
{
	double left = (double)(r->work.first_token_target - a->now);
	double prefill = run_prefill_ms(a, r);

	if (r->work.first_token_target == PF_NEVER || r->produced > 0 ||
	    a->end_gap_ms <= 0)
		return 0;
	if (a->end_gap_ms + prefill <= left || prefill > left)
		return 0;
	return weight(r);
}

/* What @v loses by waiting while @r runs; all of it if it is of no use. */
static double loss(const struct pf_agent *a, const struct run *v,
		   const struct run *r)
{
	double again = run_prefill_ms(a, v);
	double delay = run_cost_ms(a, r) + again;
	double rest = run_cost_ms(a, v) - again;
	double left = (double)(v->work.answer_target - a->now);
	bool met = v->work.answer_target == PF_NEVER || rest <= left;
	bool still = v->work.answer_target == PF_NEVER || rest + delay <= left;

	if (run_cost_ms(a, r) >= rest)
		return weight(r) + weight(v);
	if (v->work.token_gap_target_ms > 0 &&
	    delay > GAP_FACTOR * v->work.token_gap_target_ms)
		still = false;
	/* Computing again takes the place of work of the same weight. */
	return (met && !still ? weight(v) : 0) + weight(v) * again / delay;
}

bool pause_for(struct pf_agent *a, const struct run *r, int64_t bytes)
{
	struct run *v = run_at_head(a, RUN_RUNNING), *best = NULL;
	double least = gain(a, r);

	if (least <= 0)
		return false;
	for (; v; v = run_next(a, v)) {
		double x;

		if (!run_pausable(v) || v->gave_way || v->first ||
		    a->ledger.kv[run_slot(a, v)] < bytes)
			continue;
		x = loss(a, v, r);
		if (x >= least)
			continue;
		least = x;
		best = v;
	}
	if (!best)
		return false;
	best->gave_way = true;
	run_stop(a, best, STOP_PAUSE);
	return true;
}
