/*
 * The queue: which waiting run starts next. The VALUE policy gives each run one
 * score in milliseconds from its priority, its slack to the caller's expected
 * times and its cost. The score falls while the run waits, so none starves.
 */
#include "agent_core.h"

#include <math.h>
#include <stdlib.h>

#define PRIORITY_STEP_MS 4000 /* waiting time worth one level */
#define SLACK_MAX_MS 4000
#define COST_WEIGHT 0.25 /* share of the expected cost in the score */
#define BLOCK_OTHERS_AFTER_MS 2000 /* wait for memory or an empty batch */
#define KV_MISSES_MAX 8 /* runs lacking memory that end the pass */
#define STEP_DEFAULT_MS 30.0
#define PREFILL_TOKEN_DEFAULT_MS 0.2

static double step_ms(const struct pf_agent *a)
{
	return a->step_ms > 0 ? a->step_ms : STEP_DEFAULT_MS;
}

double run_prefill_ms(const struct pf_agent *a, const struct run *r)
{
	double ms = a->prefill_token_ms > 0 ? a->prefill_token_ms
					    : PREFILL_TOKEN_DEFAULT_MS;

	return ms * ((double)r->work.prompt_tokens + r->produced);
}

void run_estimate_length(const struct pf_agent *a, struct run *r)
{
	uint32_t n = r->work.max_tokens;

	if (!is_plain(a))
		n = lengths_quantile(a->lengths, r->work.model, r->work.caller,
				     0.5, r->produced,
				     r->produced + 4 * a->opts.grant_step);
	r->expected_tokens = n < r->work.max_tokens ? n : r->work.max_tokens;
}

double run_cost_ms(const struct pf_agent *a, const struct run *r)
{
	uint32_t left = r->expected_tokens > r->produced
				? r->expected_tokens - r->produced
				: 1;

	return run_prefill_ms(a, r) + left * step_ms(a);
}

/* Time left to start @r and still meet the caller's expected times. */
static double slack_ms(const struct pf_agent *a, const struct run *r)
{
	double slack = SLACK_MAX_MS, s;

	if (r->work.first_token_objective != PF_NEVER && r->produced == 0) {
		s = (double)(r->work.first_token_objective - a->now) -
		    run_prefill_ms(a, r);
		slack = fmin(slack, s);
	}
	if (r->work.answer_objective != PF_NEVER) {
		s = (double)(r->work.answer_objective - a->now) -
		    run_cost_ms(a, r);
		slack = fmin(slack, s);
	}
	return slack;
}

/* Runs start in ascending order of score. */
static double score(const struct pf_agent *a, const struct run *r)
{
	double slack = slack_ms(a, r);
	double s = PRIORITY_STEP_MS * (double)r->work.priority;

	if (a->opts.queue_policy == PF_QUEUE_FIFO)
		return r->ran ? -1 : 0;
	if (r->work.flags & PF_WORK_DEFERRABLE)
		s += PRIORITY_STEP_MS;
	/* Late runs go behind those that can still be on time. */
	s += slack < 0 ? SLACK_MAX_MS : slack;
	s += COST_WEIGHT * fmin(run_cost_ms(a, r), SLACK_MAX_MS);
	return s - (double)(a->now - r->queued_at);
}

/* Sorts the waiting runs into sorted_queue, best first; ties by arrival. */
static uint32_t sort_queue(struct pf_agent *a)
{
	struct run *r = run_first(a, RUN_QUEUED);
	uint32_t n = 0;

	for (; r; r = run_next(a, r)) {
		uint32_t i = n++;

		r->score = score(a, r);
		while (i > 0 &&
		       a->runs[a->sorted_queue[i - 1]].score > r->score) {
			a->sorted_queue[i] = a->sorted_queue[i - 1];
			i--;
		}
		a->sorted_queue[i] = run_slot(a, r);
	}
	return n;
}

enum start_result { START_OK, START_NO_BATCH_SLOT, START_NO_ITEM, START_NO_KV };

static bool run_items_resident(const struct pf_agent *a, const struct run *r)
{
	return (r->model_slot == NIL || item_resident(a, r->model_slot)) &&
	       (r->adapter_slot == NIL || item_resident(a, r->adapter_slot));
}

static bool has_batch_slot(const struct pf_agent *a)
{
	return runs_in_batch(a) < a->opts.batch_max && a->n_exclusive == 0;
}

static enum start_result try_start(struct pf_agent *a, struct run *r)
{
	uint32_t busy = runs_in_batch(a);

	if (r->work.deadline <= a->now)
		return START_NO_BATCH_SLOT;
	if (!run_items_resident(a, r))
		return items_load_missing(a, r) < 0 ? START_NO_KV
						    : START_NO_ITEM;
	if (!has_batch_slot(a) ||
	    ((r->work.flags & PF_WORK_SUSPECT) && busy > 0))
		return START_NO_BATCH_SLOT;
	if (a->n_growth_blocked > 0)
		return START_NO_KV;
	if (kv_admit(a, r) < 0) {
		/* No run will end and free memory: unload items. */
		if (busy == 0)
			items_make_room(a, kv_initial_bytes(a, r));
		return START_NO_KV;
	}
	run_start(a, r);
	return START_OK;
}

/* Whether no other run may start before @r, to bound its wait. */
static bool blocks_others(const struct pf_agent *a, const struct run *r,
			  enum start_result result)
{
	if (a->now - r->queued_at < BLOCK_OTHERS_AFTER_MS)
		return false;
	if (r->work.flags & PF_WORK_SUSPECT)
		return true;
	return result == START_NO_KV;
}

/* @r lacks a batch slot or memory: pauses a long stream if that pays. */
static void pause_to_start(struct pf_agent *a, const struct run *r)
{
	int64_t spare = pf_ledger_available(&a->ledger);
	int64_t need = kv_initial_bytes(a, r);

	if (!a->opts.pause_long || a->n_exclusive > 0 ||
	    a->n_growth_blocked > 0 || a->lists[RUN_STOPPING].n > 0 ||
	    !run_items_resident(a, r) || (r->work.flags & PF_WORK_SUSPECT))
		return;
	pause_stream_for(a, r, need > spare ? need - spare : 0);
}

/* No run can start now: loads missing items, and may pause a long stream. */
static void prepare_waiting(struct pf_agent *a)
{
	struct run *r = run_first(a, RUN_QUEUED), *best = NULL;

	for (; r; r = run_next(a, r)) {
		if (!run_items_resident(a, r)) {
			items_load_missing(a, r);
			continue;
		}
		if (!a->opts.pause_long)
			continue;
		r->score = score(a, r);
		if (!best || r->score < best->score)
			best = r;
	}
	if (best)
		pause_to_start(a, best);
}

static void start_waiting(struct pf_agent *a)
{
	uint32_t n = sort_queue(a), misses = 0;

	for (uint32_t i = 0; i < n && misses < KV_MISSES_MAX; i++) {
		struct run *r = &a->runs[a->sorted_queue[i]];
		enum start_result result = try_start(a, r);

		if (result == START_OK)
			continue;
		if (r->queued_at + BLOCK_OTHERS_AFTER_MS > a->now)
			agent_wake_at(a, r->queued_at + BLOCK_OTHERS_AFTER_MS);
		if (result == START_NO_KV && misses == 0)
			pause_to_start(a, r);
		if (blocks_others(a, r, result))
			break;
		misses += result == START_NO_KV;
	}
}

void queue_schedule(struct pf_agent *a)
{
	if (!agent_ready(a))
		return;
	kv_retry_growth(a);
	if (!a->draining && !is_plain(a))
		items_load_placed(a);
	if (a->lists[RUN_QUEUED].n == 0)
		return;
	if (has_batch_slot(a) && !placement_blocks_starts(a))
		start_waiting(a);
	else
		prepare_waiting(a);
}
