/* Endpoints listed by the store, their load and health. */
#include "src/coordination/gate/gate_core.h"

#include <stdlib.h>
#include <string.h>

/* Cost of distance: latency, and traffic that is paid for. */
#define OTHER_ZONE_MS 8.0
#define OTHER_REGION_MS 80.0
/* Block of an endpoint that did not answer; doubles with each block. */
#define BLOCK_MIN_MS 400
#define BLOCK_MAX_MS 3200
/* Weight of the newest send. */
#define FAILURE_RATE_WEIGHT 0.1
/* Until measured. */
#define EVENT_INTERVAL_MS 25
/* Loaders report every 1.5 s, also to other regions. */
#define LOADER_FRESH_MS 3300

static uint64_t find_region(const struct pf_gate *g, uint64_t zone)
{
	uint32_t i;

	for (i = 0; i < g->opts.n_zones; i++) {
		if (g->zones[i].zone == zone)
			return g->zones[i].region;
	}
	return 0;
}

static double distance_to(const struct pf_gate *g,
			  const struct gate_endpoint *e)
{
	if (e->zone == g->opts.zone)
		return 0;
	return e->region == g->opts.region ? OTHER_ZONE_MS : OTHER_REGION_MS;
}

static uint32_t find_slot(const struct pf_gate *g, uint64_t id)
{
	uint32_t slot;

	return pf_map_get(&g->endpoints_by_id, pf_key1(id), &slot) == 0
		       ? slot
		       : GATE_NIL;
}

struct gate_endpoint *gate_endpoint_find(struct pf_gate *g, uint64_t id)
{
	uint32_t i = find_slot(g, id);

	return i == GATE_NIL ? NULL : &g->endpoints[i];
}

static uint32_t take_slot(struct pf_gate *g)
{
	uint32_t i;

	for (i = 0; i < g->n_endpoints; i++) {
		/* Requests in flight still refer to the slot. */
		if (!g->endpoints[i].used && !g->endpoints[i].own_running)
			return i;
	}
	return g->n_endpoints < g->opts.endpoints_max ? g->n_endpoints++
						      : GATE_NIL;
}

static void free_residents(struct gate_endpoint *e)
{
	uint32_t i;

	for (i = 0; i < e->n_residents; i++)
		free(e->residents[i].adapters);
	free(e->residents);
	e->residents = NULL;
	e->n_residents = 0;
}

/* If memory runs out, the copy holds fewer models or adapters. */
static void copy_residents(struct gate_endpoint *e, const struct pf_resident *v,
			   uint32_t n_v)
{
	uint32_t i;

	free_residents(e);
	e->residents = calloc(n_v + 1, sizeof(*e->residents));
	if (!e->residents)
		return;
	for (i = 0; i < n_v; i++) {
		const struct pf_resident *from = &v[i];
		struct pf_resident *to = &e->residents[i];
		size_t n = from->n_adapters * sizeof(*from->adapters);

		to->model = from->model;
		to->adapters = malloc(n + 1);
		if (to->adapters && n) {
			memcpy(to->adapters, from->adapters, n);
			to->n_adapters = from->n_adapters;
		}
		e->n_residents++;
	}
}

static void set_kv_capacity(struct pf_gate *g, struct gate_endpoint *e)
{
	const struct pf_route_service *s =
		g->routes ? pf_routes_find_service(g->routes, e->service)
			  : NULL;

	e->kv_capacity = s && s->engine ? s->kv_tokens : 0;
}

void gate_endpoints_configure(struct pf_gate *g)
{
	uint32_t i;

	for (i = 0; i < g->n_endpoints; i++)
		set_kv_capacity(g, &g->endpoints[i]);
}

void gate_endpoint_update(struct pf_gate *g, const struct pf_endpoint_info *l)
{
	uint64_t incarnation = pf_id2(l->id, (uint64_t)l->incarnation);
	uint32_t slot = find_slot(g, l->id);
	bool listed = slot != GATE_NIL;
	struct gate_endpoint *e;

	if (!listed) {
		slot = take_slot(g);
		if (slot == GATE_NIL ||
		    pf_map_put(&g->endpoints_by_id, pf_key1(l->id), slot) < 0)
			return;
		e = &g->endpoints[slot];
		memset(e, 0, sizeof(*e));
		e->used = true;
		e->id = l->id;
		e->latency_factor = 1;
		e->event_interval_ms = EVENT_INTERVAL_MS;
		gate_peers_add_loads(g, e);
	}
	e = &g->endpoints[slot];
	if (e->incarnation != incarnation) {
		e->incarnation = incarnation;
		e->born = l->incarnation;
		e->restarted = false;
		gate_backoff_restore(g, e);
		e->leaving = gate_is_leaving(g, l->id, l->incarnation);
		e->blocked_until = 0;
		e->blocked_silent = false;
		e->consecutive_blocks = 0;
		e->resumed_at = 0;
		e->probed_at = 0;
		e->reachable_at = 0;
		e->crashed_at = 0;
		e->failure_rate = 0;
		e->event_interval_ms = EVENT_INTERVAL_MS;
		e->loader_seen_at = 0;
		e->loader_draining = false;
		e->loader_orders = 0;
		e->loader_running = 0;
		e->loader_kv_tokens = 0;
	}
	if (!listed || e->software != l->software) {
		if (listed)
			gate_software_unlisted(g, e->software);
		gate_software_listed(g, l->service, l->software);
	}
	e->service = l->service;
	e->software = l->software;
	e->zone = l->zone;
	e->region = find_region(g, l->zone);
	e->distance_ms = distance_to(g, e);
	e->slots = l->slots;
	e->draining = l->draining;
	e->missing_model = 0;
	/* The loader's report is newer than the store entry. */
	if (!gate_loader_fresh(g, e))
		copy_residents(e, l->residents, l->n_residents);
	set_kv_capacity(g, e);
}

bool gate_loader_fresh(const struct pf_gate *g, const struct gate_endpoint *e)
{
	return e->loader_seen_at &&
	       g->now - e->loader_seen_at < LOADER_FRESH_MS;
}

void gate_endpoint_engine_state(struct pf_gate *g,
				const struct pf_engine_state *s)
{
	struct gate_endpoint *e = gate_endpoint_find(g, s->endpoint);

	if (e && s->incarnation > e->born)
		e->restarted = true;
	if (!e ||
	    e->incarnation != pf_id2(s->endpoint, (uint64_t)s->incarnation))
		return;
	/* Reports are datagrams and may arrive out of order. */
	if (gate_loader_fresh(g, e) && s->orders_accepted < e->loader_orders)
		return;
	e->loader_seen_at = g->now;
	e->loader_orders = s->orders_accepted;
	e->loading_model = s->busy;
	e->loader_draining = s->draining;
	e->loader_running = s->running + s->queued;
	e->loader_kv_tokens = s->kv_used;
	e->missing_model = 0;
	copy_residents(e, s->residents, s->n_residents);
}

void gate_endpoint_remove(struct pf_gate *g, uint64_t id)
{
	struct gate_endpoint *e = gate_endpoint_find(g, id);

	if (!e)
		return;
	gate_software_unlisted(g, e->software);
	free_residents(e);
	e->used = false;
	pf_map_del(&g->endpoints_by_id, pf_key1(id));
}

bool gate_endpoint_has_model(const struct gate_endpoint *e, uint64_t model,
			     uint64_t adapter)
{
	return pf_residents_have(e->residents, e->n_residents, model, adapter);
}

void gate_load_add(struct pf_gate *g, struct gate_request *r, uint32_t slot)
{
	struct gate_endpoint *e = &g->endpoints[slot];

	r->endpoint_slot = slot;
	if (e->own_running++ == 0)
		e->last_progress_at = g->now;
	gate_backoff_sent(r, e);
	gate_limit_sent(g, e);
	if (r->state == GATE_STREAMING)
		e->own_streaming++;
	e->own_kv_tokens += r->kv_tokens;
	e->own_prefill_ms += r->prefill_ms;
	gate_hold_sent(g, r, e);
}

void gate_load_prefilled(struct pf_gate *g, struct gate_request *r)
{
	g->endpoints[r->endpoint_slot].own_prefill_ms -= r->prefill_ms;
	gate_hold_prefilled(g, r);
	r->prefill_ms = 0;
}

void gate_load_remove(struct pf_gate *g, struct gate_request *r)
{
	struct gate_endpoint *e = &g->endpoints[r->endpoint_slot];

	gate_load_prefilled(g, r);
	gate_hold_ended(g, r);
	gate_backoff_unsent(r, e);
	e->own_running--;
	if (r->state == GATE_STREAMING)
		e->own_streaming--;
	e->own_paused -= r->paused;
	r->paused = false;
	e->own_kv_tokens -= r->kv_tokens;
	if (e->own_running == 0)
		e->own_prefill_ms = 0; /* rounding errors add up */
}

void gate_endpoint_block(struct pf_gate *g, struct gate_endpoint *e)
{
	pf_ms span = (pf_ms)BLOCK_MIN_MS
		     << (e->consecutive_blocks < 4 ? e->consecutive_blocks : 4);

	if (e->blocked_until > g->now)
		return;
	e->blocked_until = g->now + (span < BLOCK_MAX_MS ? span : BLOCK_MAX_MS);
	e->blocked_silent = false;
	e->consecutive_blocks++;
}

void gate_endpoint_block_silent(struct pf_gate *g, struct gate_endpoint *e)
{
	if (e->blocked_until > g->now)
		return;
	gate_endpoint_block(g, e);
	e->blocked_silent = true;
}

void gate_endpoint_count_result(struct gate_endpoint *e, bool failed)
{
	e->failure_rate +=
		FAILURE_RATE_WEIGHT * ((failed ? 1.0 : 0.0) - e->failure_rate);
	if (!failed)
		e->consecutive_blocks = 0;
}
