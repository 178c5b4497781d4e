/* Gate core: setup, message dispatch and timers. */
#include "src/coordination/gate/gate_core.h"

#include <stdlib.h>
#include <string.h>

/* Waiting requests are retried this often, as a block may have ended. */
#define WAITING_RECHECK_MS 60

void pf_gate_opts_default(struct pf_gate_opts *o)
{
	*o = (struct pf_gate_opts){
		.requests_max = 4096,
		.endpoints_max = 1024,
		.peers_max = 4096,
		.repeat_ratio = 0.2,
		.repeat_slack = 50,
		.repeat_window = 10000,
	};
}

static bool opts_valid(const struct pf_gate_opts *o)
{
	return o->self && o->zone && o->requests_max && o->endpoints_max &&
	       o->peers_max && o->repeat_window >= 1000 &&
	       o->repeat_window <= (GATE_BUDGET_BUCKETS - 2) * 1000 &&
	       o->repeat_ratio >= 0 && o->repeat_slack >= 0;
}

struct pf_gate *pf_gate_new(const struct pf_gate_opts *o)
{
	struct pf_gate *g;
	uint32_t i;

	if (!opts_valid(o))
		return NULL;
	g = calloc(1, sizeof(*g));
	if (!g)
		return NULL;
	g->opts = *o;
	g->opts.zones = NULL;
	if (!o->choose)
		g->opts.choose = o->choosing == PF_GATE_EVEN
					 ? pf_gate_choose_even
					 : pf_gate_choose_least;
	g->zones = calloc(o->n_zones + 1, sizeof(*g->zones));
	g->requests = calloc(o->requests_max, sizeof(*g->requests));
	g->free_requests = calloc(o->requests_max, sizeof(uint32_t));
	g->endpoints = calloc(o->endpoints_max, sizeof(*g->endpoints));
	g->candidates = calloc(o->endpoints_max, sizeof(*g->candidates));
	g->estimates = calloc(o->endpoints_max, sizeof(*g->estimates));
	if (!g->zones || !g->requests || !g->free_requests || !g->endpoints ||
	    !g->candidates || !g->estimates ||
	    pf_heap_init(&g->request_timers, o->requests_max) < 0 ||
	    pf_map_init(&g->endpoints_by_id, o->endpoints_max) < 0 ||
	    gate_peers_init(g) < 0 || gate_limits_init(g) < 0 ||
	    gate_blame_init(g) < 0 || gate_uses_init(g) < 0) {
		pf_gate_free(g);
		return NULL;
	}
	if (o->n_zones)
		memcpy(g->zones, o->zones, o->n_zones * sizeof(*g->zones));
	for (i = 0; i < o->requests_max; i++)
		g->free_requests[g->n_free++] = o->requests_max - 1 - i;
	g->wait_head = GATE_NIL;
	g->wait_tail = GATE_NIL;
	g->send_waiting_at = PF_NEVER;
	g->started_at = -1;
	g->known_since = PF_NEVER;
	pf_rng_seed(&g->rng, o->seed);
	return g;
}

void pf_gate_free(struct pf_gate *g)
{
	uint32_t i;

	if (!g)
		return;
	for (i = 0; g->endpoints && i < g->n_endpoints; i++)
		gate_endpoint_remove(g, g->endpoints[i].id);
	pf_heap_free(&g->request_timers);
	pf_map_free(&g->endpoints_by_id);
	gate_peers_free(g);
	gate_limits_free(g);
	gate_services_free(g);
	gate_blame_free(g);
	gate_uses_free(g);
	for (i = 0; g->requests && i < g->opts.requests_max; i++)
		free(g->requests[i].parts);
	free(g->estimates);
	free(g->candidates);
	free(g->endpoints);
	free(g->free_requests);
	free(g->requests);
	free(g->zones);
	free(g);
}

static void run_request_timers(struct pf_gate *g)
{
	uint32_t slot;

	while (pf_heap_top(&g->request_timers, &slot) <= g->now)
		gate_request_timer(g, slot);
}

/* What other gateways say, or the store of them. */
static void handle_fleet_message(struct pf_gate *g, const struct pf_gate_msg *m)
{
	switch (m->type) {
	case PF_GATE_PEER_DIGEST:
		gate_peer_digest(g, &m->u.digest);
		g->send_waiting_at = g->now;
		break;
	case PF_GATE_PEER_LIMITS:
		gate_limits_reported(g, m->u.limits.peer, m->u.limits.v,
				     m->u.limits.n);
		break;
	case PF_GATE_PEER_EVIDENCE:
		gate_blame_evidence(g, m->u.evidence.peer, m->u.evidence.v,
				    m->u.evidence.n);
		break;
	case PF_GATE_MEMBERS:
		gate_budget_members(g, m->u.members);
		break;
	default:
		break;
	}
}

static void handle_message(struct pf_gate *g, const struct pf_gate_msg *m)
{
	switch (m->type) {
	case PF_GATE_ROUTES:
		g->routes = m->u.routes;
		gate_endpoints_configure(g);
		break;
	case PF_GATE_ENDPOINT:
		gate_endpoint_update(g, m->u.endpoint);
		g->send_waiting_at = g->now;
		break;
	case PF_GATE_ENDPOINT_GONE:
		gate_endpoint_remove(g, m->u.id);
		break;
	case PF_GATE_ARRIVE:
		gate_request_arrive(g, &m->u.arrival);
		break;
	case PF_GATE_HANGUP:
		gate_request_hangup(g, m->u.request);
		break;
	case PF_GATE_EVENTS:
		gate_request_events(g, m->u.events.request, m->u.events.n);
		break;
	case PF_GATE_PAUSED:
		gate_request_pause(g, m->u.paused.request, m->u.paused.on);
		break;
	case PF_GATE_ENDED:
		gate_request_send_ended(g, &m->u.end);
		break;
	case PF_GATE_PEER_DIGEST:
	case PF_GATE_PEER_LIMITS:
	case PF_GATE_PEER_EVIDENCE:
	case PF_GATE_MEMBERS:
		handle_fleet_message(g, m);
		break;
	case PF_GATE_LIMIT:
		gate_limit_named(g, m->u.limit.endpoint, m->u.limit.incarnation,
				 m->u.limit.per_s, m->u.limit.sent_at);
		g->send_waiting_at = g->now;
		break;
	case PF_GATE_NOTE:
		gate_stream_note(g, &m->u.note);
		g->send_waiting_at = g->now;
		break;
	case PF_GATE_STORED:
		gate_streams_stored(g, &m->u.stored);
		g->send_waiting_at = g->now;
		break;
	case PF_GATE_HISTORY:
		gate_history_read(g, &m->u.history);
		g->send_waiting_at = g->now;
		break;
	case PF_GATE_ENDPOINTS_READ:
		gate_history_endpoints_read(g);
		g->send_waiting_at = g->now;
		break;
	case PF_GATE_ENDPOINTS_BEHIND:
		g->endpoints_behind = m->u.behind;
		g->send_waiting_at = g->now;
		break;
	case PF_GATE_ENGINE_STATE:
		gate_endpoint_engine_state(g, m->u.state);
		g->send_waiting_at = g->now;
		break;
	case PF_GATE_REACHABLE:
		gate_endpoint_reachable(g, m->u.id);
		break;
	case PF_GATE_LEAVING:
		gate_endpoint_leaving(g, m->u.leaving.endpoint,
				      m->u.leaving.incarnation);
		g->send_waiting_at = g->now;
		break;
	case PF_GATE_BACKOFF:
		gate_endpoint_backoff(g, m->u.backoff.endpoint,
				      m->u.backoff.incarnation,
				      m->u.backoff.span);
		g->send_waiting_at = g->now;
		break;
	case PF_GATE_SHUT_DOWN:
		gate_shut_down(g);
		break;
	case PF_GATE_TICK:
		run_request_timers(g);
		g->send_waiting_at = g->now;
		break;
	}
}

void pf_gate_step(struct pf_gate *g, pf_ms now, const struct pf_gate_msg *m,
		  const struct pf_gate_sink *sink)
{
	if (g->started_at < 0) {
		g->started_at = now;
		g->demand_smoothed_at = now;
	}
	g->now = now;
	g->sink = sink;
	gate_peers_check(g);
	handle_message(g, m);
	if (g->quarantine_changed) {
		g->quarantine_changed = false;
		gate_requests_quarantine(g);
	}
	if (g->n_waiting && g->send_waiting_at <= now)
		gate_send_waiting(g);
	g->sink = NULL;
}

void pf_gate_set_budget(struct pf_gate *g, double ratio, double slack)
{
	g->opts.repeat_ratio = ratio;
	g->opts.repeat_slack = slack;
}

pf_ms pf_gate_next(const struct pf_gate *g)
{
	pf_ms next = pf_heap_top(&g->request_timers, NULL);
	pf_ms recheck = g->n_waiting ? g->now + WAITING_RECHECK_MS : PF_NEVER;

	return recheck < next ? recheck : next;
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
	s->peers = g->n_known_peers;
	s->services = g->services.n;
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

const char *pf_gate_cancel_code(enum pf_gate_cancel c)
{
	static const char *const codes[] = {
#define DEF(name, code) code,
		PF_GATE_CANCELS(DEF)
#undef DEF
	};

	return codes[c];
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
