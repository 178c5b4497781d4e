/*
 * Selects the endpoint for a request: the one with the earliest expected first
 * event, by queued prompts, prefix cache, recent latency and failures, and
 * distance.
 */
#include "src/coordination/gate/gate_core.h"

#include <math.h>

/* Until measured: about 33 prompt tokens per ms. */
#define PREFILL_MS_PER_TOKEN 0.03
#define PREFILL_MS_PER_TOKEN_MIN 0.002
#define PREFILL_MS_PER_TOKEN_MAX 0.3
/* Delay by each concurrent run, which makes the engine's steps longer. */
#define CONCURRENT_RUN_MS 3.0
/* Assumed run time of a plain service; it is not measured. */
#define PLAIN_RUN_MS 15.0
/* Delay of the request by a failed send. */
#define FAILED_SEND_MS 600.0
/* No request moves to a plain endpoint that answered nothing for this long. */
#define PLAIN_SILENT_MS 220
/* Delay of this request and others at the endpoint by loading an adapter. */
#define ADAPTER_LOAD_MS 45.0
/* What a request at a limited endpoint costs those that can run only there. */
#define LIMITED_MS 250.0
/* Streams begun where the history does not name the version can be spliced
 * after all gateways ended: any other endpoint that is free goes first. */
#define USED_LAST_MS 60000.0
/* Weight of the time for all events: slow events make the request late and
 * occupy the engine for longer. */
#define EVENTS_TIME_WEIGHT 0.05
/* Weight of the delay that its prefill causes to each running request. */
#define PREFILL_DELAY_WEIGHT 0.06
/* Shorter times are lost in the length of an engine step and teach nothing. */
#define LEARN_MIN_MS 10
/* Weight of the newest measurement. */
#define LATENCY_FACTOR_WEIGHT 0.1
#define PREFILL_SPEED_WEIGHT 0.05
/* Bounds of measured over expected time in one measurement. */
#define SAMPLE_RATIO_MIN 0.2
#define SAMPLE_RATIO_MAX 5.0
/* Bounds of the latency factor of an engine. */
#define LATENCY_FACTOR_MIN 0.3
#define LATENCY_FACTOR_MAX 8.0

static struct gate_prefill_speed *find_prefill_speed(struct pf_gate *g,
						     uint64_t model)
{
	uint32_t at = (uint32_t)(model % GATE_PREFILL_SPEEDS);
	uint32_t i;

	for (i = 0; i < GATE_PREFILL_SPEEDS; i++) {
		struct gate_prefill_speed *s =
			&g->prefill_speeds[(at + i) % GATE_PREFILL_SPEEDS];

		if (s->model == model)
			return s;
		if (s->model == 0) {
			*s = (struct gate_prefill_speed){ model,
							  PREFILL_MS_PER_TOKEN,
							  0 };
			return s;
		}
	}
	return NULL;
}

static double prefill_ms_per_token(struct pf_gate *g, uint64_t model)
{
	const struct gate_prefill_speed *s = find_prefill_speed(g, model);

	return s ? s->ms_per_token : PREFILL_MS_PER_TOKEN;
}

static double clamp(double v, double lo, double hi)
{
	return v < lo ? lo : v > hi ? hi : v;
}

/* @ratio: measured over expected time to the first event. */
static void learn_prefill_speed(struct pf_gate *g, uint64_t model, double ratio)
{
	struct gate_prefill_speed *s = find_prefill_speed(g, model);
	double weight;

	if (!s)
		return;
	/* Models differ tenfold, so the first samples weigh more. */
	weight = fmax(PREFILL_SPEED_WEIGHT, 1.0 / (++s->samples + 1));
	ratio = 1 +
		weight * (clamp(ratio, SAMPLE_RATIO_MIN, SAMPLE_RATIO_MAX) - 1);
	s->ms_per_token =
		clamp(s->ms_per_token * ratio, PREFILL_MS_PER_TOKEN_MIN,
		      PREFILL_MS_PER_TOKEN_MAX);
}

void gate_learn_latency(struct pf_gate *g, struct gate_request *r)
{
	struct gate_endpoint *e = &g->endpoints[r->endpoint_slot];
	double took = (double)(g->now - r->sent_at) - 2 * e->distance_ms;
	double ratio;

	/* After a pause of the endpoint, one event stands for all. */
	if (r->sent_at < e->resumed_at)
		return;
	if (!e->kv_capacity || r->first_event_ms < LEARN_MIN_MS || took <= 0)
		return;
	ratio = took / r->first_event_ms;
	e->latency_factor =
		clamp(e->latency_factor + LATENCY_FACTOR_WEIGHT *
						  (ratio * e->latency_factor -
						   e->latency_factor),
		      LATENCY_FACTOR_MIN, LATENCY_FACTOR_MAX);
	/* Learn only if the time was mostly the prefill of this request. */
	if (r->prefill_ms > r->first_event_ms / 2)
		learn_prefill_speed(g, r->model, ratio);
}

static bool is_avoided(const struct gate_request *r, uint64_t id)
{
	uint32_t i;

	for (i = 0; i < r->n_avoided; i++) {
		if (r->avoided[i] == id)
			return true;
	}
	return false;
}

/* Whether all streams pause at once: the endpoint has probably died. */
static bool streams_silent(const struct pf_gate *g,
			   const struct gate_endpoint *e)
{
	return e->own_streaming > e->own_paused &&
	       g->now - e->last_progress_at > GATE_STREAMS_SILENT_MS;
}

/* Whether the endpoint may go on with what the caller of @r has. */
static bool has_software(const struct gate_request *r,
			 const struct gate_endpoint *e)
{
#ifdef PF_MUTANT_GATE_SOFTWARE
	return true;
#endif
	return !r->bound || e->software == r->software;
}

/* Whether the endpoint could serve @r, even if it is busy. */
static bool is_candidate(const struct pf_gate *g, const struct gate_request *r,
			 const struct gate_endpoint *e)
{
	if (!e->used || e->service != r->service || !has_software(r, e))
		return false;
	/* It may have another version now, which its next entry tells. */
	if (e->restarted && r->kind == PF_ROUTE_RESUMABLE)
		return false;
#if defined(PF_MUTANT_GATE_LEAVING)
	if (e->leaving)
		return false;
#elif defined(PF_MUTANT_GATE_ANSWER_LEAVES)
	if (e->draining || e->loader_draining)
		return false;
#else
	if (gate_endpoint_leaves(e))
		return false;
#endif
	if (!r->model)
		return true;
	if (e->missing_model == r->model && e->missing_until > g->now)
		return false;
	/* An idle loader can load the adapter. */
	return gate_endpoint_has_model(
		e, r->model,
		gate_loader_fresh(g, e) && !e->loading_model ? 0 : r->adapter);
}

bool gate_has_endpoint(struct pf_gate *g, const struct gate_request *r)
{
	uint32_t i;

	for (i = 0; i < g->n_endpoints; i++) {
		if (is_candidate(g, r, &g->endpoints[i]))
			return true;
	}
	return false;
}

bool gate_software_gone(const struct pf_gate *g, const struct gate_request *r)
{
	bool software_listed = false;
	bool others_listed = false;
	bool others_have_model = false;
	uint32_t i;

	if (!r->bound)
		return false;
	for (i = 0; i < g->n_endpoints; i++) {
		const struct gate_endpoint *e = &g->endpoints[i];
		bool has_model =
			!r->model || gate_endpoint_has_model(e, r->model, 0);

		if (!e->used || e->service != r->service ||
		    gate_endpoint_leaves(e))
			continue;
		if (has_software(r, e) && has_model)
			return false;
		software_listed |= has_software(r, e);
		others_listed |= !has_software(r, e);
		others_have_model |= !has_software(r, e) && has_model;
	}
	/* The planner loads a model that no endpoint has. */
	return software_listed ? others_have_model : others_listed;
}

pf_ms gate_held_until(struct pf_gate *g, const struct gate_endpoint *e)
{
	pf_ms room_at = gate_limit_room_at(g, e);

	return room_at > e->backoff_until ? room_at : e->backoff_until;
}

const struct gate_endpoint *gate_first_held(struct pf_gate *g,
					    const struct gate_request *r)
{
	const struct gate_endpoint *first = NULL;
	pf_ms first_at = PF_NEVER;
	uint32_t i;

	for (i = 0; i < g->n_endpoints; i++) {
		const struct gate_endpoint *e = &g->endpoints[i];

		if (!is_candidate(g, r, e))
			continue;
		if (gate_held_until(g, e) <= g->now)
			return NULL;
		if (gate_held_until(g, e) < first_at) {
			first = e;
			first_at = gate_held_until(g, e);
		}
	}
	return first;
}

/* Whether to use the loader's counts: gateways of another region don't report
 * their loads at its endpoints to this one, but loaders report all loads. */
static bool use_loader_counts(const struct pf_gate *g,
			      const struct gate_endpoint *e)
{
	return e->region != g->opts.region && gate_loader_fresh(g, e);
}

static uint32_t total_running(const struct pf_gate *g,
			      const struct gate_endpoint *e)
{
	uint32_t by_gateways = e->own_running + e->peer_running;

	return use_loader_counts(g, e) && e->loader_running > by_gateways
		       ? e->loader_running
		       : by_gateways;
}

static int64_t total_kv_tokens(const struct pf_gate *g,
			       const struct gate_endpoint *e)
{
	int64_t by_gateways = e->own_kv_tokens + e->peer_kv_tokens;

	return use_loader_counts(g, e) && e->loader_kv_tokens > by_gateways
		       ? e->loader_kv_tokens
		       : by_gateways;
}

static void estimate_plain(const struct pf_gate *g,
			   const struct gate_endpoint *e,
			   struct gate_estimate *out)
{
	out->usable = total_running(g, e) < e->slots;
	out->cost = PLAIN_RUN_MS * total_running(g, e) / e->slots +
		    e->distance_ms / 2 + FAILED_SEND_MS * e->failure_rate;
	out->slope = 1;
	out->first_event_ms = PLAIN_RUN_MS;
}

static void estimate(struct pf_gate *g, const struct gate_request *r,
		     const struct gate_endpoint *e, struct gate_estimate *out)
{
	double queued = e->own_prefill_ms + e->peer_prefill_ms;
	double without_queue;
	uint32_t fresh;

	if (!e->kv_capacity) {
		estimate_plain(g, e, out);
		return;
	}
	out->cached_tokens = gate_prefix_cached_tokens(g, r, e);
	if (out->cached_tokens > r->prompt_tokens)
		out->cached_tokens = r->prompt_tokens;
	fresh = r->prompt_tokens - out->cached_tokens;
	out->prefill_ms = fresh * prefill_ms_per_token(g, r->model);
	out->kv_tokens = fresh + r->output_tokens;
	without_queue = out->prefill_ms * e->latency_factor +
			CONCURRENT_RUN_MS * total_running(g, e);
	out->slope = e->latency_factor;
	out->first_event_ms = without_queue + queued * out->slope;
	/* A stream that can't end in time would only delay others. */
	if (g->now + out->first_event_ms +
		    r->events_left * e->event_interval_ms >
	    r->deadline)
		return;
	out->usable =
		total_running(g, e) < e->slots &&
		queued * e->latency_factor <= GATE_QUEUED_PREFILL_MAX_MS &&
		(total_running(g, e) == 0 ||
		 total_kv_tokens(g, e) + out->kv_tokens <=
			 (int64_t)(GATE_KV_FILL_MAX * e->kv_capacity));
	out->cost =
		without_queue + e->distance_ms +
		FAILED_SEND_MS * e->failure_rate +
		EVENTS_TIME_WEIGHT * r->events_left * e->event_interval_ms +
		PREFILL_DELAY_WEIGHT * out->prefill_ms * total_running(g, e);
}

static bool plain_silent(const struct pf_gate *g, const struct gate_endpoint *e)
{
	return !e->kv_capacity && e->own_running > e->own_paused &&
	       g->now - e->last_progress_at > PLAIN_SILENT_MS;
}

enum pick_among {
	PICK_NEW, /* endpoints that did not fail the request */
	PICK_AVOIDED, /* those that did */
	PICK_OTHER, /* like PICK_NEW, and not silent */
};

static bool may_take(struct pf_gate *g, const struct gate_request *r,
		     const struct gate_endpoint *e, enum pick_among among)
{
	return is_candidate(g, r, e) && e->blocked_until <= g->now &&
	       !gate_backoff_holds(g, e) && !gate_limit_holds(g, e) &&
	       !streams_silent(g, e) &&
	       is_avoided(r, e->id) == (among == PICK_AVOIDED) &&
	       (among != PICK_OTHER || !plain_silent(g, e));
}

/* Adds what is not due to the load. */
static void add_penalties(struct pf_gate *g, const struct gate_request *r,
			  const struct gate_endpoint *e,
			  struct gate_estimate *x)
{
	x->lacks_adapter =
		r->adapter && !gate_endpoint_has_model(e, r->model, r->adapter);
	if (x->lacks_adapter)
		x->cost += ADAPTER_LOAD_MS;
	if (gate_limit_is_new(g, e))
		x->cost += LIMITED_MS;
	/* Break ties at random. */
	x->cost += pf_rng_unit(&g->rng);
}

static struct pf_gate_candidate candidate(const struct pf_gate *g,
					  const struct gate_endpoint *e,
					  const struct gate_estimate *x)
{
	double now = (double)(g->now - g->started_at);
	double told_at = e->peer_prefill_ms > 0
				 ? e->peer_prefill_time / e->peer_prefill_ms
				 : now;

	return (struct pf_gate_candidate){
		.id = e->id,
		.base_ms = x->cost,
		.slope = x->slope,
		.own_ms = e->own_prefill_ms,
		.peer_ms = e->peer_prefill_ms,
		.peers_tell = e->region == g->opts.region,
		.peer_age_ms = now - told_at,
		.own_running = e->own_running,
	};
}

static uint32_t best_endpoint(struct pf_gate *g, const struct gate_request *r,
			      enum pick_among among, struct gate_estimate *best)
{
	struct pf_gate_choice c = {
		.v = g->candidates,
		.digest_age_ms = gate_peers_digest_age(g),
		.peers = gate_peers_live(g),
		.affinity =
			r->n_prefixes > 1 ? r->prefixes[r->n_prefixes - 2] : 0,
		.affinity_ms =
			r->n_prefixes > 1
				? r->prefix_tokens[r->n_prefixes - 2] *
					  prefill_ms_per_token(g, r->model)
				: 0,
		.rng = &g->rng,
	};
	uint32_t i;

	for (i = 0; i < g->n_endpoints; i++) {
		const struct gate_endpoint *e = &g->endpoints[i];
		struct gate_estimate *x = &g->estimates[c.n];
		enum gate_record record;

		*x = (struct gate_estimate){ .slot = i };
		if (!may_take(g, r, e, among))
			continue;
		record = gate_history_record(g, r, e);
		if (record == GATE_RECORDING)
			continue;
		estimate(g, r, e, x);
		if (!x->usable)
			continue;
		add_penalties(g, r, e, x);
		if (record == GATE_USED_LAST)
			x->cost += USED_LAST_MS;
		g->candidates[c.n++] = candidate(g, e, x);
	}
	if (c.n == 0)
		return GATE_NIL;
	*best = g->estimates[g->opts.choose(&c)];
	return best->slot;
}

void gate_request_set_estimate(struct gate_request *r,
			       const struct gate_estimate *x)
{
	r->first_event_ms = x->first_event_ms;
	r->prefill_ms = x->prefill_ms;
	r->kv_tokens = x->kv_tokens;
}

uint32_t gate_pick(struct pf_gate *g, struct gate_request *r, uint32_t *load_at)
{
	struct gate_estimate best;
	uint32_t at = best_endpoint(g, r, PICK_NEW, &best);

	/* An endpoint that failed the request before is better than none. */
	if (at == GATE_NIL && r->n_avoided)
		at = best_endpoint(g, r, PICK_AVOIDED, &best);
	*load_at = GATE_NIL;
	if (at == GATE_NIL)
		return at;
	if (best.lacks_adapter) {
		*load_at = at;
		return GATE_NIL;
	}
	gate_request_set_estimate(r, &best);
	return at;
}

uint32_t gate_pick_other(struct pf_gate *g, const struct gate_request *r,
			 struct gate_estimate *out)
{
	return best_endpoint(g, r, PICK_OTHER, out);
}
