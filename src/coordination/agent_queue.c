/*
 * The queue: which waiting try starts next. VALUE orders by priority, then by
 * the slack to what the caller expects against the cost, all in one score in
 * milliseconds that falls while the try waits, so nothing starves.
 */
#include "agent_core.h"

#include <math.h>
#include <stdlib.h>

#define PRIORITY_MS 4000 /* waiting so long is worth one priority */
#define SLACK_MAX_MS 4000
#define COST_SHARE 0.25 /* of the expected cost that counts as lateness */
#define HOLD_MS 2000 /* then others wait for what can't get its memory */
#define MISSES_MAX 8 /* tries that lack memory before the rest must wait */
#define STEP_GUESS_MS 30.0
#define PREFILL_GUESS_MS 0.2

static double step_ms(const struct pf_agent *a)
{
	return a->step_ms > 0 ? a->step_ms : STEP_GUESS_MS;
}

double run_prefill_ms(const struct pf_agent *a, const struct run *r)
{
	double ms = a->prefill_ms > 0 ? a->prefill_ms : PREFILL_GUESS_MS;

	return ms * ((double)r->work.prompt_tokens + r->produced);
}

void run_foresee(const struct pf_agent *a, struct run *r)
{
	uint32_t n = r->work.max_tokens;

	if (!is_plain(a))
		n = learn_quantile(a->learn, r->work.model, r->work.caller, 0.5,
				   r->produced,
				   r->produced + 4 * a->o.grant_step);
	r->expected = n < r->work.max_tokens ? n : r->work.max_tokens;
}

double run_cost_ms(const struct pf_agent *a, const struct run *r)
{
	uint32_t left =
		r->expected > r->produced ? r->expected - r->produced : 1;

	return run_prefill_ms(a, r) + left * step_ms(a);
}

/* Time left until starting would miss what the caller expects. */
static double slack_ms(const struct pf_agent *a, const struct run *r)
{
	double slack = SLACK_MAX_MS, s;

	if (r->work.first_token_target != PF_NEVER && r->produced == 0) {
		s = (double)(r->work.first_token_target - a->now) -
		    run_prefill_ms(a, r);
		slack = fmin(slack, s);
	}
	if (r->work.answer_target != PF_NEVER) {
		s = (double)(r->work.answer_target - a->now) -
		    run_cost_ms(a, r);
		slack = fmin(slack, s);
	}
	return slack;
}

/* The smaller the sooner. */
static double score(const struct pf_agent *a, const struct run *r)
{
	double slack = slack_ms(a, r);
	double s = PRIORITY_MS * (double)r->work.priority;

	if (a->o.queue_policy == PF_QUEUE_FIFO)
		return r->ran ? -1 : 0;
	if (r->work.flags & PF_WORK_DEFERRABLE)
		s += PRIORITY_MS;
	/* What is late already gives way to what can still be met. */
	s += slack < 0 ? SLACK_MAX_MS : slack;
	s += COST_SHARE * fmin(run_cost_ms(a, r), SLACK_MAX_MS);
	return s - (double)(a->now - r->queued_at);
}

/* Fills a->sorted with the waiting runs, best first; ties by arrival. */
static uint32_t sort_queue(struct pf_agent *a)
{
	struct run *r = run_at_head(a, RUN_QUEUED);
	uint32_t n = 0;

	for (; r; r = run_next(a, r)) {
		uint32_t i = n++;

		r->score = score(a, r);
		while (i > 0 && a->runs[a->sorted[i - 1]].score > r->score) {
			a->sorted[i] = a->sorted[i - 1];
			i--;
		}
		a->sorted[i] = run_slot(a, r);
	}
	return n;
}

enum placed { STARTED, NO_PLACE, NO_ITEM, NO_KV };

static bool items_usable(const struct pf_agent *a, const struct run *r)
{
	return (r->model == NIL || item_usable(a, r->model)) &&
	       (r->adapter == NIL || item_usable(a, r->adapter));
}

static bool has_place(const struct pf_agent *a)
{
	return runs_busy(a) < a->o.batch_max && a->n_alone == 0;
}

static enum placed try_start(struct pf_agent *a, struct run *r)
{
	uint32_t busy = runs_busy(a);

	if (r->work.deadline <= a->now)
		return NO_PLACE;
	if (!items_usable(a, r))
		return items_fetch(a, r) < 0 ? NO_KV : NO_ITEM;
	if (!has_place(a) || ((r->work.flags & PF_WORK_SUSPECT) && busy > 0))
		return NO_PLACE;
	if (a->n_hungry > 0)
		return NO_KV;
	if (kv_admit(a, r) < 0) {
		/* Nothing will end that could free memory: unload. */
		if (busy == 0)
			items_make_room(a, kv_first_bytes(a, r));
		return NO_KV;
	}
	run_start(a, r);
	return STARTED;
}

/* Whether others must wait until @r has got its place. */
static bool holds(const struct pf_agent *a, const struct run *r,
		  enum placed how)
{
	if (a->now - r->queued_at < HOLD_MS)
		return false;
	if (r->work.flags & PF_WORK_SUSPECT)
		return true;
	return how == NO_KV;
}

/* @r lacks a place or memory: a long stream may give way to it. */
static void make_way(struct pf_agent *a, const struct run *r)
{
	int64_t spare = pf_ledger_spare(&a->ledger);
	int64_t need = kv_first_bytes(a, r);

	if (!a->o.pause_long || a->n_alone > 0 || a->n_hungry > 0 ||
	    a->lists[RUN_STOPPING].n > 0 || !items_usable(a, r) ||
	    (r->work.flags & PF_WORK_SUSPECT))
		return;
	pause_for(a, r, need > spare ? need - spare : 0);
}

/* No place is free: fetch what is missing, and see whether one should be. */
static void wait_for_place(struct pf_agent *a)
{
	struct run *r = run_at_head(a, RUN_QUEUED), *best = NULL;

	for (; r; r = run_next(a, r)) {
		if (!items_usable(a, r)) {
			items_fetch(a, r);
			continue;
		}
		if (!a->o.pause_long)
			continue;
		r->score = score(a, r);
		if (!best || r->score < best->score)
			best = r;
	}
	if (best)
		make_way(a, best);
}

static void start_best(struct pf_agent *a)
{
	uint32_t n = sort_queue(a), misses = 0;

	for (uint32_t i = 0; i < n && misses < MISSES_MAX; i++) {
		struct run *r = &a->runs[a->sorted[i]];
		enum placed how = try_start(a, r);

		if (how == STARTED)
			continue;
		if (r->queued_at + HOLD_MS > a->now)
			agent_arm(a, r->queued_at + HOLD_MS);
		if (how == NO_KV && misses == 0)
			make_way(a, r);
		if (holds(a, r, how))
			break;
		misses += how == NO_KV;
	}
}

void queue_schedule(struct pf_agent *a)
{
	if (!agent_ready(a))
		return;
	kv_feed(a);
	if (!a->leaving && !is_plain(a))
		items_place(a);
	if (a->lists[RUN_QUEUED].n == 0)
		return;
	if (has_place(a) && !items_hold_starts(a))
		start_best(a);
	else
		wait_for_place(a);
}
