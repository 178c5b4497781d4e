/*
 * How long requests wait. While endpoints are full, each answer to a request of
 * this gateway makes room for the next one. A request that can still meet its
 * objective at the rate of these answers waits: a caller that is told to return
 * later misses it. If the rate is not known, or too low, the request is
 * rejected soon, as its caller may do better elsewhere.
 */
#include "src/coordination/gate/gate_core.h"

/* A quarter of the objective is left for the answer's beginning. */
#define OBJECTIVE_WAIT_SHARE 0.75
/* Share of the objective that a request waits if nothing is known. */
#define OBJECTIVE_SHARE_MIN 0.125
/* Share that a stream may wait that its caller resumes: the caller has a
 * part of the answer, and rarely tries again. */
#define RESUMED_WAIT_SHARE 0.25
/* Share that it may wait for its model, which is certain to be loaded. */
#define LOAD_WAIT_SHARE 0.5
/* Shortest time of a plain service; an engine adds time for its output. */
#define PLAIN_SERVICE_MIN_MS 20
/* Time for an output token; half of it at best. */
#define OUTPUT_TOKEN_MS 6
/* The rate is that of the last five slices, a second, and the present one. */
#define SLICE_MS 200
/* Fewer answers in that time tell nothing. */
#define ANSWERS_MIN 3

/* Returns NULL without memory. */
static struct gate_drain *drain_of(struct pf_gate *g, uint64_t service)
{
	struct gate_service *s = gate_service(g, service);

	return s ? &s->drain : NULL;
}

/* Clears the slices that came since. */
static void advance(struct gate_drain *d, int64_t slice)
{
	if (d->newest < slice - GATE_DRAIN_SLICES)
		d->newest = slice - GATE_DRAIN_SLICES;
	while (d->newest < slice)
		d->answers[++d->newest % GATE_DRAIN_SLICES] = 0;
}

void gate_drain_answered(struct pf_gate *g, uint64_t service)
{
	struct gate_drain *d = drain_of(g, service);

	if (!d)
		return;
	advance(d, g->now / SLICE_MS);
	d->answers[d->newest % GATE_DRAIN_SLICES]++;
}

/* Waiting requests of its service that are due before @r, and @r. */
static uint32_t place_of(const struct pf_gate *g, const struct gate_request *r)
{
	uint32_t n = 1;
	uint32_t i;

	for (i = g->wait_head; i != GATE_NIL; i = g->requests[i].next) {
		const struct gate_request *o = &g->requests[i];

		n += o != r && o->service == r->service &&
		     o->objective_deadline <= r->objective_deadline;
	}
	return n;
}

/* When @r is sent, at the present rate; PF_NEVER: not known. */
static pf_ms expected_send(struct pf_gate *g, const struct gate_request *r)
{
	struct gate_drain *d = drain_of(g, r->service);
	uint32_t answers = 0;
	uint32_t i;

	if (!d)
		return PF_NEVER;
	advance(d, g->now / SLICE_MS);
	for (i = 0; i < GATE_DRAIN_SLICES; i++)
		answers += d->answers[i];
	if (answers < ANSWERS_MIN)
		return PF_NEVER;
	return g->now + (pf_ms)place_of(g, r) * (GATE_DRAIN_SLICES - 1) *
				SLICE_MS / answers;
}

pf_ms gate_min_service_time(const struct gate_request *r)
{
	if (!r->model)
		return PLAIN_SERVICE_MIN_MS;
	return PLAIN_SERVICE_MIN_MS +
	       (pf_ms)r->output_tokens * OUTPUT_TOKEN_MS / 2;
}

/* While all endpoints are full. */
static pf_ms full_deadline(struct pf_gate *g, const struct gate_request *r)
{
	pf_ms soon = r->arrived_at +
		     (pf_ms)(OBJECTIVE_SHARE_MIN * (double)r->objective);
	pf_ms late = r->arrived_at +
		     (pf_ms)(OBJECTIVE_WAIT_SHARE * (double)r->objective);

	/* Without accounts, requests that waited longer were more often given
	 * up late on a deployment of plain bursts. */
	if (!r->account)
		return soon;
	/* What others leave is not a share that it can count on, except for
	 * what is held last. */
	if (r->held && r->priority > 0)
		return soon;
	return expected_send(g, r) <= late ? late : soon;
}

pf_ms gate_wait_deadline(struct pf_gate *g, const struct gate_request *r)
{
	pf_ms last = r->deadline - gate_min_service_time(r);
	pf_ms recorded = gate_history_wait_until(g, r);
	pf_ms limit = r->arrived_at;
	bool listed = gate_has_endpoint(g, r);

	if (r->undecided)
		return r->decide_at;
	/* Its caller can't try elsewhere without a new answer. */
	if (gate_waits_to_deadline(r))
		return r->deadline;
	if (listed && !r->bound) {
		limit = full_deadline(g, r);
	} else {
		limit += (pf_ms)((listed ? RESUMED_WAIT_SHARE
					 : LOAD_WAIT_SHARE) *
				 (double)(r->deadline - r->arrived_at));
		limit += r->objective / 8;
	}
	if (limit < recorded)
		limit = recorded;
	return limit < last ? limit : last;
}
