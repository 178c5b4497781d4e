/*
 * The pace of the engine: how the time between tokens grows with the runs in
 * the batch and with the models among them. A run is not started while that
 * would make more running streams miss the time between tokens that their
 * callers expect than it helps.
 */
#include "agent_core.h"

#define FORGET 0.998 /* weight of the past at each sample */
#define SAMPLE_EVERY 8 /* token messages */
#define PRIOR_MODEL_MS 15.0
#define PRIOR_RUN_MS 0.5
#define PRIOR_WEIGHT 4.0
#define MARGIN 0.95 /* of an expectation that may be planned with */
#define PATIENCE_MS 4000.0 /* waiting so long doubles a run's claim */
#define HOPELESS 0.3 /* claim of a run that misses its expectation anyway */

void pace_init(struct pace *p)
{
	*p = (struct pace){ 0 };
	p->mm = PRIOR_WEIGHT;
	p->rr = PRIOR_WEIGHT;
	p->my = PRIOR_WEIGHT * PRIOR_MODEL_MS;
	p->ry = PRIOR_WEIGHT * PRIOR_RUN_MS;
}

/* Least squares of ms = model_ms * models + run_ms * runs. */
static void solve(struct pace *p)
{
	double det = p->mm * p->rr - p->mr * p->mr;

	p->model_ms = PRIOR_MODEL_MS;
	p->run_ms = PRIOR_RUN_MS;
	if (det > 1e-6 * p->mm * p->rr) {
		p->model_ms = (p->my * p->rr - p->ry * p->mr) / det;
		p->run_ms = (p->ry * p->mm - p->my * p->mr) / det;
	}
	if (p->model_ms < 0)
		p->model_ms = 0;
	if (p->run_ms < 0)
		p->run_ms = 0;
}

/* Whether a run is reading its prompt, which stretches the steps. */
static bool prefilling(struct pf_agent *a)
{
	struct run *r = run_at_head(a, RUN_RUNNING);

	for (; r; r = run_next(a, r))
		if (r->first)
			return true;
	return false;
}

void pace_sample(struct pf_agent *a, double ms)
{
	struct pace *p = &a->pace;
	double m = a->n_active, r = runs_busy(a);

	if (++p->skipped < SAMPLE_EVERY || prefilling(a))
		return;
	p->skipped = 0;
	p->mm = p->mm * FORGET + m * m;
	p->rr = p->rr * FORGET + r * r;
	p->mr = p->mr * FORGET + m * r;
	p->my = p->my * FORGET + m * ms;
	p->ry = p->ry * FORGET + r * ms;
	solve(p);
}

void pace_hold(struct pf_agent *a, const struct run *r, bool hold)
{
	struct item *it;

	if (r->model == NIL)
		return;
	it = &a->items[r->model];
	if (hold && it->running++ == 0)
		a->n_active++;
	else if (!hold && --it->running == 0)
		a->n_active--;
}

static double foreseen(const struct pf_agent *a, uint32_t models, uint32_t runs)
{
	return a->pace.model_ms * models + a->pace.run_ms * runs;
}

/* Part of the run's answer that is still to come. */
static double part_left(const struct run *r)
{
	double all = r->expected > r->produced ? r->expected : r->produced + 1;

	return 1 - r->produced / all;
}

/* Running streams, in parts of answers, that would begin to miss. */
static double harm(struct pf_agent *a, double now_ms, double then_ms)
{
	struct run *r = run_at_head(a, RUN_RUNNING);
	double sum = 0;

	for (; r; r = run_next(a, r)) {
		double most = (double)r->work.between_ms * MARGIN;

		if (most > 0 && now_ms <= most && then_ms > most)
			sum += part_left(r);
	}
	return sum;
}

/* How much is won by starting @r now. */
static double claim(const struct pf_agent *a, const struct run *r, double ms)
{
	double waited = (double)(a->now - r->queued_at) / PATIENCE_MS;
	bool slow = r->work.between_ms > 0 && ms > (double)r->work.between_ms;
	bool late = r->work.first_due < a->now && r->produced == 0;

	return (slow || late ? HOPELESS : 1) * (1 + waited);
}

bool pace_allows(struct pf_agent *a, const struct run *r)
{
	uint32_t busy = runs_busy(a);
	uint32_t models = a->n_active;
	double now_ms, then_ms;

	if (!a->o.keep_pace || busy == 0 || r->model == NIL)
		return true;
	now_ms = foreseen(a, models, busy);
	models += a->items[r->model].running == 0;
	then_ms = foreseen(a, models, busy + 1);
	return harm(a, now_ms, then_ms) <= claim(a, r, then_ms);
}

uint32_t pace_batch(struct pf_agent *a)
{
	struct run *r = run_at_head(a, RUN_RUNNING);
	uint32_t busy = runs_busy(a);
	double most = 0, n;

	if (!a->o.keep_pace)
		return a->o.batch_max;
	for (; r; r = run_next(a, r)) {
		double b = (double)r->work.between_ms * MARGIN;

		if (b > 0 && (most == 0 || b < most))
			most = b;
	}
	if (most == 0 || a->pace.run_ms <= 0)
		return a->o.batch_max;
	n = (most - a->pace.model_ms * a->n_active) / a->pace.run_ms;
	if (n < busy)
		return busy > 0 ? busy : 1;
	return n < a->o.batch_max ? (uint32_t)n : a->o.batch_max;
}
