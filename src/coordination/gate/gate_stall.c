/*
 * Requests at silent endpoints. A sound endpoint may pause for a second and go
 * on, so silence alone ends no send: a request moves only to an endpoint that
 * takes it at once, and later if the silent one still accepts connections.
 */
#include "src/coordination/gate/gate_core.h"

/* Silence of an engine, beyond the expected time to the first event, after
 * which it is probed, and after which its requests may move. */
#define PROBE_MS 450
#define STALL_MS 900
/* The same if the probe has connected. Callers abandon a stream after a gap of
 * two seconds at the earliest. */
#define STALL_REACHABLE_MS 1900
#define STALL_PLAIN_MS 220
/* Interval of the search for another endpoint. */
#define RECHECK_MS 100

static struct gate_endpoint *endpoint_of(const struct pf_gate *g,
					 const struct gate_request *r)
{
	return &g->endpoints[r->endpoint_slot];
}

/* When the request or, after a pause of all, its endpoint last progressed. */
static pf_ms silent_since(const struct pf_gate *g, const struct gate_request *r)
{
	pf_ms resumed = endpoint_of(g, r)->resumed_at;

	return resumed > r->last_progress_at ? resumed : r->last_progress_at;
}

static pf_ms probe_at(const struct pf_gate *g, const struct gate_request *r)
{
	return silent_since(g, r) + (pf_ms)r->first_event_ms + PROBE_MS;
}

static bool probe_needed(const struct pf_gate *g, const struct gate_request *r)
{
	const struct gate_endpoint *e = endpoint_of(g, r);

	return r->model && e->probed_at <= e->last_progress_at;
}

static pf_ms stall_at(const struct pf_gate *g, const struct gate_request *r)
{
	const struct gate_endpoint *e = endpoint_of(g, r);
	pf_ms since = silent_since(g, r);

	if (!r->model)
		return since + STALL_PLAIN_MS;
	return since + (pf_ms)r->first_event_ms +
	       (e->reachable_at > e->last_progress_at ? STALL_REACHABLE_MS
						      : STALL_MS);
}

/* Whether another endpoint may run the request. */
static bool may_move(const struct gate_request *r)
{
	return gate_retryable(r) && r->possible_runs + 1 < r->attempts_max;
}

pf_ms gate_stall_next(const struct pf_gate *g, const struct gate_request *r)
{
	pf_ms at;

	if (!gate_retryable(r) || r->paused)
		return PF_NEVER;
	at = stall_at(g, r);
	if (probe_needed(g, r) && probe_at(g, r) > g->now)
		at = probe_at(g, r);
	return at > g->now ? at : g->now + RECHECK_MS;
}

/* Other requests at the endpoint may show that it is alive. */
static void probe(struct pf_gate *g, struct gate_endpoint *e)
{
	struct pf_gate_act a = { .type = PF_GATE_PROBE };

	if (!e->used || g->now - e->last_progress_at < PROBE_MS)
		return;
	e->probed_at = g->now;
	a.u.probe.endpoint = e->id;
	g->sink->emit(g->sink->ctx, &a);
}

static void move(struct pf_gate *g, struct gate_request *r)
{
	struct gate_estimate to;
	uint32_t at = gate_pick_other(g, r, &to);

	if (at == GATE_NIL)
		return;
	if (to.lacks_adapter)
		gate_request_adapter(g, r, at);
	else if (gate_take_retry(g, r))
		gate_request_move(g, r, at, &to);
}

void gate_stall_check(struct pf_gate *g, struct gate_request *r)
{
	struct gate_endpoint *e = endpoint_of(g, r);

	if (!gate_retryable(r) || r->paused)
		return;
	if (probe_needed(g, r) && g->now >= probe_at(g, r))
		probe(g, e);
	if (g->now < stall_at(g, r))
		return;
	gate_endpoint_block_silent(g, e);
	if (!may_move(r) || gate_quarantine_holds(g, r))
		return;
#ifdef PF_MUTANT_GATE_SILENCE
	gate_request_cancel_stalled(g, r);
	return;
#endif
	move(g, r);
}

void gate_endpoint_reachable(struct pf_gate *g, uint64_t id)
{
	struct gate_endpoint *e = gate_endpoint_find(g, id);

	/* A connection that was slower than the endpoint's next event says
	 * nothing about a later silence. */
	if (e && e->probed_at > e->last_progress_at)
		e->reachable_at = g->now;
}

void gate_endpoint_progress(struct pf_gate *g, struct gate_endpoint *e)
{
	pf_ms pause = e->kv_capacity ? GATE_STREAMS_SILENT_MS : STALL_PLAIN_MS;

	if (g->now - e->last_progress_at > pause) {
		e->resumed_at = g->now;
		if (e->blocked_silent) {
			e->blocked_silent = false;
			e->blocked_until = 0;
			e->consecutive_blocks = 0;
			g->send_waiting_at = g->now;
		}
	}
	e->last_progress_at = g->now;
	gate_blame_alive(g, e);
}
