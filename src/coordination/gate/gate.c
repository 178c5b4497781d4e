/* The gate core: construction, messages, timers. */
#include "src/coordination/gate/gate_core.h"

#include <stdlib.h>
#include <string.h>

/* What waits is looked at again so often, for blocks that end. */
#define PUMP_EVERY_MS 60

void pf_gate_opts_default(struct pf_gate_opts *o)
{
	*o = (struct pf_gate_opts){
		.requests_max = 4096,
		.endpoints_max = 1024,
		.repeat_ratio = 0.2,
		.repeat_slack = 50,
		.repeat_window = 10000,
	};
}

static bool valid(const struct pf_gate_opts *o)
{
	return o->self && o->zone && o->requests_max && o->endpoints_max &&
	       o->repeat_window >= 1000 &&
	       o->repeat_window <= (GATE_BUCKETS - 2) * 1000 &&
	       o->repeat_ratio >= 0;
}

struct pf_gate *pf_gate_new(const struct pf_gate_opts *o)
{
	struct pf_gate *g;
	uint32_t i;

	if (!valid(o))
		return NULL;
	g = calloc(1, sizeof(*g));
	if (!g)
		return NULL;
	g->o = *o;
	g->o.zones = NULL;
	g->zones = calloc(o->n_zones + 1, sizeof(*g->zones));
	g->requests = calloc(o->requests_max, sizeof(*g->requests));
	g->free_requests = calloc(o->requests_max, sizeof(uint32_t));
	g->endpoints = calloc(o->endpoints_max, sizeof(*g->endpoints));
	if (!g->zones || !g->requests || !g->free_requests || !g->endpoints ||
	    pf_heap_init(&g->timers, o->requests_max) < 0 ||
	    pf_map_init(&g->by_id, o->endpoints_max) < 0) {
		pf_gate_free(g);
		return NULL;
	}
	if (o->n_zones)
		memcpy(g->zones, o->zones, o->n_zones * sizeof(*g->zones));
	for (i = 0; i < o->requests_max; i++)
		g->free_requests[g->n_free++] = o->requests_max - 1 - i;
	g->wait_head = GATE_NIL;
	g->wait_tail = GATE_NIL;
	g->pump_at = PF_NEVER;
	g->started = -1;
	pf_rng_seed(&g->rng, o->seed);
	return g;
}

void pf_gate_free(struct pf_gate *g)
{
	uint32_t i;

	if (!g)
		return;
	for (i = 0; g->endpoints && i < g->n_endpoints; i++)
		gate_endpoint_gone(g, g->endpoints[i].id);
	pf_heap_free(&g->timers);
	pf_map_free(&g->by_id);
	free(g->endpoints);
	free(g->free_requests);
	free(g->requests);
	free(g->zones);
	free(g);
}

static void run_timers(struct pf_gate *g)
{
	uint32_t slot;

	while (pf_heap_top(&g->timers, &slot) <= g->now)
		gate_request_due(g, slot);
	gate_peers_expire(g);
}

static void dispatch(struct pf_gate *g, const struct pf_gate_msg *m)
{
	switch (m->type) {
	case PF_GATE_ROUTES:
		g->routes = m->u.routes;
		gate_endpoints_configure(g);
		break;
	case PF_GATE_ENDPOINT:
		gate_endpoint_update(g, m->u.endpoint);
		g->pump_at = g->now;
		break;
	case PF_GATE_ENDPOINT_GONE:
		gate_endpoint_gone(g, m->u.id);
		break;
	case PF_GATE_ARRIVE:
		gate_arrive(g, &m->u.arrival);
		break;
	case PF_GATE_HANGUP:
		gate_hangup(g, m->u.request);
		break;
	case PF_GATE_EVENTS:
		gate_events(g, m->u.events.request, m->u.events.n);
		break;
	case PF_GATE_ENDED:
		gate_ended(g, &m->u.end);
		break;
	case PF_GATE_PEER_DIGEST:
		gate_peer_heard(g, &m->u.digest);
		g->pump_at = g->now;
		break;
	case PF_GATE_ENGINE_STATE:
		gate_endpoint_state(g, m->u.state);
		g->pump_at = g->now;
		break;
	case PF_GATE_SHUT_DOWN:
		gate_leave(g);
		break;
	case PF_GATE_TICK:
		run_timers(g);
		g->pump_at = g->now;
		break;
	}
}

void pf_gate_step(struct pf_gate *g, pf_ms now, const struct pf_gate_msg *m,
		  const struct pf_gate_sink *sink)
{
	if (g->started < 0) {
		g->started = now;
		g->items_since = now;
	}
	g->now = now;
	g->sink = sink;
	dispatch(g, m);
	if (g->n_waiting && g->pump_at <= now)
		gate_pump(g);
	g->sink = NULL;
}

void pf_gate_set_budget(struct pf_gate *g, double ratio, uint32_t slack)
{
	g->o.repeat_ratio = ratio;
	g->o.repeat_slack = slack;
}

pf_ms pf_gate_next(const struct pf_gate *g)
{
	pf_ms next = pf_heap_top(&g->timers, NULL);
	pf_ms pump = g->n_waiting ? g->now + PUMP_EVERY_MS : PF_NEVER;

	return pump < next ? pump : next;
}

bool pf_gate_has_waiting(const struct pf_gate *g)
{
	return g->n_waiting > 0;
}

void pf_gate_stats(const struct pf_gate *g, struct pf_gate_stats *s)
{
	uint32_t i;

	*s = g->stats;
	s->waiting = g->n_waiting;
	for (i = 0; i < g->n_endpoints; i++)
		s->endpoints += g->endpoints[i].used;
}

const char *pf_gate_outcome_code(enum pf_gate_outcome o)
{
	static const char *const codes[] = {
#define DEF(name, code) code,
		PF_GATE_OUTCOMES(DEF)
#undef DEF
	};

	return codes[o];
}

const char *pf_gate_reason_code(enum pf_gate_reason r)
{
	static const char *const codes[] = {
#define DEF(name, code) code,
		PF_GATE_REASONS(DEF)
#undef DEF
	};

	return codes[r];
}
