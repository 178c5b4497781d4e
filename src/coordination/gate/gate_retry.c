/*
 * When callers are told to return, so that those that are rejected together
 * don't return together, and find capacity then.
 */
#include "src/coordination/gate/gate_core.h"

/* Callers honour at most this part of the time that they have left. The longer
 * the wait, the likelier there is capacity. */
#define RETRY_AFTER_DIVISOR 3
/* Retry-After is drawn between this share of the maximum and the maximum. */
#define RETRY_AFTER_MIN_SHARE 0.4
/* Callers refused in a backoff return within this time after its end, or half
 * of the backoff, or in the last part of the time that they honour. */
#define BACKOFF_SPREAD_MS 200
#define BACKOFF_MIN_SHARE 0.7

/* The longest time that the caller of @r honours, at least 0. */
static double longest(const struct pf_gate *g, const struct gate_request *r)
{
	pf_ms left = r->deadline - g->now;

	return left > 0 ? (double)left / RETRY_AFTER_DIVISOR : 0;
}

pf_ms gate_retry_after(struct pf_gate *g, const struct gate_request *r,
		       enum pf_gate_reason why)
{
	double share = RETRY_AFTER_MIN_SHARE +
		       (1 - RETRY_AFTER_MIN_SHARE) * pf_rng_unit(&g->rng);
	double most = longest(g, r);

	if (why == PF_GATE_REASON_QUARANTINED)
		return -1;
	if (most > GATE_RETRY_AFTER_MAX_MS)
		most = GATE_RETRY_AFTER_MAX_MS;
	return (pf_ms)(most * share);
}

pf_ms gate_retry_after_hold(struct pf_gate *g, const struct gate_request *r,
			    pf_ms wait)
{
	double most = longest(g, r);
	double from = (double)wait;
	double to = from + (wait / 2 > BACKOFF_SPREAD_MS ? wait / 2
							 : BACKOFF_SPREAD_MS);

	if (to > most)
		to = most;
	if (from > BACKOFF_MIN_SHARE * to)
		from = BACKOFF_MIN_SHARE * to;
	return (pf_ms)(from + (to - from) * pf_rng_unit(&g->rng));
}
