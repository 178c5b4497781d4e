/*
 * Where a request goes: the endpoint at which its first event is expected
 * soonest, by what is queued there, what of its prompt is kept, how the
 * endpoint has done lately and how far it is.
 */
#include "src/coordination/gate/gate_core.h"

#include <math.h>

/* Until measured: about 33 prompt tokens are read in a millisecond. */
#define MS_PER_TOKEN 0.03
#define MS_PER_TOKEN_MIN 0.002
#define MS_PER_TOKEN_MAX 0.3
/* Each run beside it slows an engine's step by about so much in all. */
#define CROWD_MS 3.0
/* A plain service's run, as long as none was measured. */
#define PLAIN_MS 15.0
/* What a failed try costs the request. */
#define FAILED_MS 600.0
/* Prompts that wait at an endpoint can't be reordered: keep them few. */
#define PREFILL_MAX_MS 1200.0
/* Of an engine's memory: beyond it runs are preempted. */
#define KV_FILL 0.92
/* Nothing came of any stream of an endpoint for so long. */
#define SILENT_MS 500
/* An adapter that must be brought costs the request, and others there, about
 * so much. */
#define ADAPTER_MS 45.0
/* What counts of the time that its events will take, at the pace of the streams
 * there: long pauses make it late, and it takes the engine's time for longer. */
#define PACE_WEIGHT 0.05
/* And of the time by which its prompt delays each of those that run there. */
#define DELAY_WEIGHT 0.06
/* What is shorter is lost in a step's length, and nothing is learnt of it. */
#define LEARN_MIN_MS 10
/* Weights of the newest measurement. */
#define SLOW_WEIGHT 0.1
#define SPEED_WEIGHT 0.05
/* One measurement counts for at most so much of what was expected. */
#define RATIO_MIN 0.2
#define RATIO_MAX 5.0
/* An engine is taken for so much faster or slower than others at most. */
#define SLOW_MIN 0.3
#define SLOW_MAX 8.0

static struct gate_speed *speed_of(struct pf_gate *g, uint64_t model)
{
	uint32_t at = (uint32_t)(model % GATE_SPEEDS);
	uint32_t i;

	for (i = 0; i < GATE_SPEEDS; i++) {
		struct gate_speed *s = &g->speeds[(at + i) % GATE_SPEEDS];

		if (s->model == model)
			return s;
		if (s->model == 0) {
			*s = (struct gate_speed){ model, MS_PER_TOKEN, 0 };
			return s;
		}
	}
	return NULL;
}

static double ms_per_token(struct pf_gate *g, uint64_t model)
{
	const struct gate_speed *s = speed_of(g, model);

	return s ? s->ms_per_token : MS_PER_TOKEN;
}

static double clamp(double v, double lo, double hi)
{
	return v < lo ? lo : v > hi ? hi : v;
}

/* @ratio: what a first event took, of what was expected. */
static void learn_speed(struct pf_gate *g, uint64_t model, double ratio)
{
	struct gate_speed *s = speed_of(g, model);
	double weight;

	if (!s)
		return;
	/* Models differ tenfold: the first prompts count for more. */
	weight = fmax(SPEED_WEIGHT, 1.0 / (++s->learned + 1));
	ratio = 1 + weight * (clamp(ratio, RATIO_MIN, RATIO_MAX) - 1);
	s->ms_per_token = clamp(s->ms_per_token * ratio, MS_PER_TOKEN_MIN,
				MS_PER_TOKEN_MAX);
}

void gate_learn(struct pf_gate *g, struct gate_request *r)
{
	struct gate_endpoint *e = &g->endpoints[r->endpoint];
	double took = (double)(g->now - r->sent_at) - 2 * e->distance;
	double ratio;

	if (!e->kv_max || r->expected_ms < LEARN_MIN_MS || took <= 0)
		return;
	ratio = took / r->expected_ms;
	e->slow = clamp(e->slow + SLOW_WEIGHT * (ratio * e->slow - e->slow),
			SLOW_MIN, SLOW_MAX);
	/* Only what was mostly its own prompt says how fast the model is. */
	if (r->own_ms > r->expected_ms / 2)
		learn_speed(g, r->model, ratio);
}

static bool avoided(const struct gate_request *r, uint64_t id)
{
	uint32_t i;

	for (i = 0; i < r->n_avoid; i++) {
		if (r->avoid[i] == id)
			return true;
	}
	return false;
}

/* Streams that all pause at once: the endpoint has likely died. */
static bool silent(const struct pf_gate *g, const struct gate_endpoint *e)
{
	return e->streaming > 0 && g->now - e->heard_at > SILENT_MS;
}

/* Whether the endpoint may be used for @r at all. */
static bool fits(const struct pf_gate *g, const struct gate_request *r,
		 const struct gate_endpoint *e)
{
	if (!e->used || e->service != r->service)
		return false;
#ifndef PF_MUTANT_GATE_LEAVING
	if (e->draining || e->leaves)
		return false;
#endif
	if (!r->model)
		return true;
	if (e->lacks == r->model && e->lacks_until > g->now)
		return false;
	/* A loader can bring the adapter. */
	return gate_endpoint_has(
		e, r->model,
		gate_loader_heard(g, e) && !e->busy ? 0 : r->adapter);
}

bool gate_served(struct pf_gate *g, const struct gate_request *r)
{
	uint32_t i;

	for (i = 0; i < g->n_endpoints; i++) {
		if (fits(g, r, &g->endpoints[i]))
			return true;
	}
	return false;
}

/* Gateways of another region tell of their work at its endpoints to those
 * there only; the endpoints' loaders tell of all. */
static bool far(const struct pf_gate *g, const struct gate_endpoint *e)
{
	return e->region != g->o.region && gate_loader_heard(g, e);
}

static uint32_t running(const struct pf_gate *g, const struct gate_endpoint *e)
{
	uint32_t told = e->running + e->peer_running;

	return far(g, e) && e->said_running > told ? e->said_running : told;
}

static int64_t kv_promised(const struct pf_gate *g,
			   const struct gate_endpoint *e)
{
	int64_t told = e->kv + e->peer_kv;

	return far(g, e) && e->said_kv > told ? e->said_kv : told;
}

static double plain_cost(const struct pf_gate *g, const struct gate_endpoint *e)
{
	if (running(g, e) >= e->slots)
		return INFINITY;
	return PLAIN_MS * running(g, e) / e->slots + e->distance / 2 +
	       FAILED_MS * e->failing;
}

struct estimate {
	double cost; /* ms, to compare endpoints by */
	double expected_ms; /* to the first event */
	double own_ms;
	uint32_t cached;
	uint32_t kv;
	bool lacks; /* the adapter must be brought first */
};

static void estimate(struct pf_gate *g, const struct gate_request *r,
		     const struct gate_endpoint *e, struct estimate *out)
{
	double queued = e->prefill_ms + e->peer_prefill_ms;
	uint32_t fresh;

	out->cost = INFINITY;
	if (!e->kv_max) {
		out->cost = plain_cost(g, e);
		out->expected_ms = PLAIN_MS;
		return;
	}
	out->cached = gate_prefix_cached(g, r, e);
	if (out->cached > r->prompt)
		out->cached = r->prompt;
	fresh = r->prompt - out->cached;
	out->own_ms = fresh * ms_per_token(g, r->model);
	out->kv = fresh + r->output;
	out->expected_ms =
		(queued + out->own_ms) * e->slow + CROWD_MS * running(g, e);
	/* A stream that can't end in time would only take others' time. */
	if (g->now + out->expected_ms + r->events * e->event_ms > r->over)
		return;
	if (running(g, e) >= e->slots || queued * e->slow > PREFILL_MAX_MS ||
	    (running(g, e) > 0 &&
	     kv_promised(g, e) + out->kv > (int64_t)(KV_FILL * e->kv_max)))
		return;
	out->cost = out->expected_ms + e->distance + FAILED_MS * e->failing +
		    PACE_WEIGHT * r->events * e->event_ms +
		    DELAY_WEIGHT * out->own_ms * running(g, e);
}

static uint32_t best_of(struct pf_gate *g, const struct gate_request *r,
			bool again, struct estimate *best)
{
	uint32_t at = GATE_NIL;
	uint32_t i;

	best->cost = INFINITY;
	for (i = 0; i < g->n_endpoints; i++) {
		struct gate_endpoint *e = &g->endpoints[i];
		struct estimate x = { 0 };

		if (!fits(g, r, e) || e->blocked_until > g->now ||
		    silent(g, e) || avoided(r, e->id) != again)
			continue;
		estimate(g, r, e, &x);
		x.lacks = r->adapter &&
			  !gate_endpoint_has(e, r->model, r->adapter);
		if (x.lacks)
			x.cost += ADAPTER_MS;
		/* Equals are shared out at random. */
		x.cost += pf_rng_unit(&g->rng);
		if (x.cost < best->cost) {
			*best = x;
			at = i;
		}
	}
	return at;
}

uint32_t gate_pick(struct pf_gate *g, struct gate_request *r, uint32_t *lacks)
{
	struct estimate best;
	uint32_t at = best_of(g, r, false, &best);

	/* An endpoint that failed it already is better than none. */
	if (at == GATE_NIL && r->n_avoid)
		at = best_of(g, r, true, &best);
	*lacks = GATE_NIL;
	if (at == GATE_NIL)
		return at;
	if (best.lacks) {
		*lacks = at;
		return GATE_NIL;
	}
	r->expected_ms = best.expected_ms;
	r->own_ms = best.own_ms;
	r->kv = best.kv;
	return at;
}
