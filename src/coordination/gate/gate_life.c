/* The life of a request: waiting, tries, and its one end. */
#include "src/coordination/gate/gate_core.h"

#include <string.h>

#define STATUS_OK 200
/* Sends of one request, those that did not run included. */
#define SENDS_MAX 5
/* An endpoint silent for so long beyond what was expected is given up. */
#define STALL_ENGINE_MS 900
#define STALL_PLAIN_MS 220
/* The way back to the caller. */
#define RETURN_MS 10
/* A caller that was refused waits at most this part of the time it has left;
 * the longer, the likelier there is room then. */
#define RETRY_SHARE 3
#define RETRY_MAX_MS 4000
/* Those refused at one moment come back spread from this share of it on. */
#define RETRY_LEAST 0.4
/* Weight of one event in the pace of an endpoint's streams. */
#define EVENT_WEIGHT 0.02
/* An endpoint that was full is left alone so long, unless it says. */
#define FULL_MS 150
#define FULL_MAX_MS 1000
/* Until its entry says otherwise, a model is missing there. */
#define LACKS_MS 1500
/* A missing adapter is asked for so often. */
#define WANT_EVERY_MS 150
/* Of a route that names none. */
#define TIMEOUT_MS 600000
/* A request's priority at an engine: two for each rank, one for patience. */
#define PRIORITY_MAX 9
#define PATIENT_MS 2000

static void emit(struct pf_gate *g, const struct gate_request *r,
		 struct pf_gate_act *a)
{
	a->ctx = r->ctx;
	g->sink->emit(g->sink->ctx, a);
}

static uint32_t slot_of(const struct pf_gate *g, const struct gate_request *r)
{
	return (uint32_t)(r - g->requests);
}

/* Takes the request from whatever holds it. */
static void leave(struct pf_gate *g, struct gate_request *r)
{
	if (r->state == GATE_WAITING)
		gate_wait_remove(g, r);
	else if (r->state != GATE_FREE)
		gate_load_end(g, r);
}

static void release(struct pf_gate *g, struct gate_request *r)
{
	uint32_t slot = slot_of(g, r);

	leave(g, r);
	gate_demand_end(g, r);
	r->state = GATE_FREE;
	pf_heap_set(&g->timers, slot, PF_NEVER);
	g->free_requests[g->n_free++] = slot;
	g->stats.active--;
	g->pump_at = g->now;
}

/* Spread, so that those refused at one moment don't return at one. */
static pf_ms retry_after(struct pf_gate *g, pf_ms left)
{
	double most = (double)left / RETRY_SHARE;

	if (most < 0)
		return 0;
	if (most > RETRY_MAX_MS)
		most = RETRY_MAX_MS;
	return (pf_ms)(most * (RETRY_LEAST +
			       (1 - RETRY_LEAST) * pf_rng_unit(&g->rng)));
}

static void refuse(struct pf_gate *g, struct gate_request *r,
		   enum pf_gate_reason why)
{
	pf_ms left = r->over - g->now;
	struct pf_gate_act a = { .type = PF_GATE_REFUSE };

	a.u.refuse.reason = why;
	a.u.refuse.status = 503;
	a.u.refuse.retry_after = retry_after(g, left);
	if (why == PF_GATE_REASON_QUARANTINED)
		a.u.refuse.retry_after = -1;
	g->stats.refused++;
	emit(g, r, &a);
	release(g, r);
}

static void fail(struct pf_gate *g, struct gate_request *r,
		 enum pf_gate_reason why)
{
	struct pf_gate_act a = { .type = PF_GATE_FAIL };

	a.u.fail.reason = why;
	a.u.fail.status = why == PF_GATE_REASON_TIMEOUT ? 504 : 502;
	g->stats.failed++;
	emit(g, r, &a);
	release(g, r);
}

/* Ends a request that can't go on: refused if that is true, else failed. */
static void give_up(struct pf_gate *g, struct gate_request *r,
		    enum pf_gate_reason why)
{
#ifndef PF_MUTANT_GATE_REFUSE
	if (r->runs > 0) {
		fail(g, r,
		     g->now >= r->over ? PF_GATE_REASON_TIMEOUT
				       : PF_GATE_REASON_ENDPOINT_LOST);
		return;
	}
#endif
	refuse(g, r, why);
}

static int priority_of(const struct gate_request *r)
{
	int p = 2 * r->priority + (r->objective > PATIENT_MS ? 1 : 0);

	return p > PRIORITY_MAX ? PRIORITY_MAX : p;
}

static pf_ms stall_of(const struct gate_request *r)
{
	return r->model ? STALL_ENGINE_MS + (pf_ms)r->expected_ms
			: STALL_PLAIN_MS;
}

static void arm(struct pf_gate *g, struct gate_request *r)
{
	pf_ms at = r->over;

	if (r->state == GATE_WAITING)
		at = gate_wait_limit(g, r);
	else if (gate_repeatable(r) && r->heard_at + stall_of(r) < at)
		at = r->heard_at + stall_of(r);
	pf_heap_set(&g->timers, slot_of(g, r), at > g->now ? at : g->now + 1);
}

static void send(struct pf_gate *g, struct gate_request *r, uint32_t at)
{
	struct gate_endpoint *e = &g->endpoints[at];
	struct pf_gate_act a = { .type = PF_GATE_SEND };

	a.u.send.endpoint = e->id;
	a.u.send.time_left = r->over - g->now - RETURN_MS;
	if (a.u.send.time_left < 1)
		a.u.send.time_left = 1;
	a.u.send.priority = e->kv_max ? priority_of(r) : -1;
	a.u.send.at_most_once = !gate_repeatable(r);
	a.u.send.resume = r->passed;
	a.u.send.prior_sends = r->sends;
	a.u.send.expected_first_event = (pf_ms)r->expected_ms;
	a.u.send.cached_tokens = gate_prefix_cached(g, r, e);
	r->state = r->passed ? GATE_STREAMING : GATE_SENT;
	r->sends++;
	r->arrivals++;
	r->sent_at = g->now;
	r->heard_at = g->now;
	gate_load_add(g, r, at);
	gate_prefix_sent(g, r, e);
	g->stats.sent++;
	arm(g, r);
	emit(g, r, &a);
}

/* Whether the request may be sent a further time, counting it. */
static bool may_repeat(struct pf_gate *g, const struct gate_request *r)
{
	if (r->arrivals == 0)
		return true;
	if (!gate_budget_repeat(g, r->service))
		return false;
	g->stats.retries++;
	return true;
}

/* Asks for the adapter that @r needs, now and then while it waits. */
static void want(struct pf_gate *g, struct gate_request *r, uint32_t at)
{
	struct pf_gate_act a = { .type = PF_GATE_REQUEST_ADAPTER };

	if (r->wanted_at && g->now - r->wanted_at < WANT_EVERY_MS)
		return;
	r->wanted_at = g->now;
	a.u.request_adapter.endpoint = g->endpoints[at].id;
	emit(g, r, &a);
}

bool gate_try_send(struct pf_gate *g, struct gate_request *r)
{
	uint32_t lacks;
	uint32_t at = gate_pick(g, r, &lacks);

	if (lacks != GATE_NIL)
		want(g, r, lacks);
	if (at == GATE_NIL)
		return false;
	if (r->state == GATE_WAITING)
		gate_wait_remove(g, r);
	r->state = GATE_FREE; /* held by nothing for the moment */
	if (!may_repeat(g, r)) {
		give_up(g, r, PF_GATE_REASON_RETRY_BUDGET);
		return true;
	}
	send(g, r, at);
	return true;
}

/* It did not run, or may run again: it waits for an endpoint. */
static void again(struct pf_gate *g, struct gate_request *r)
{
	leave(g, r);
	gate_wait_add(g, r);
	if (r->sends >= SENDS_MAX || g->now >= r->over - gate_least_time(r)) {
		give_up(g, r, PF_GATE_REASON_FULL);
		return;
	}
	if (gate_try_send(g, r))
		return;
	if (g->leaving)
		give_up(g, r, PF_GATE_REASON_LEAVING);
	else
		arm(g, r);
}

static void copy_prompt(struct gate_request *r, const struct pf_inbound *in,
			uint32_t event_tokens)
{
	uint64_t chain = pf_id2(in->model, in->adapter);
	uint32_t sum = 0;
	uint32_t i;

	r->model = in->model;
	r->adapter = in->adapter;
	r->prompt = in->prompt_tokens;
	r->output = in->output_hint && in->output_hint < in->max_tokens
			    ? in->output_hint
			    : in->max_tokens;
	r->events = r->output / (event_tokens ? event_tokens : 1) + 1;
	for (i = 0; i < in->n_parts; i++) {
		chain = pf_id2(chain, in->parts[i].id);
		sum += in->parts[i].tokens;
		r->chains[i] = chain;
		r->chain_tokens[i] = sum;
	}
	r->n_chains = in->n_parts;
}

/* A split is drawn by weight, the same for a request that comes again. */
static uint64_t service_of(const struct pf_route *route, uint64_t fingerprint)
{
	uint32_t sum = 0;
	uint32_t at;
	uint32_t i;

	for (i = 0; i < route->n_splits; i++)
		sum += route->splits[i].weight;
	at = (uint32_t)(pf_id2(fingerprint, route->host_id) % (sum ? sum : 1));
	for (i = 0; i + 1 < route->n_splits; i++) {
		if (at < route->splits[i].weight)
			break;
		at -= route->splits[i].weight;
	}
	return route->splits[i].service;
}

static struct gate_request *take(struct pf_gate *g,
				 const struct pf_gate_arrival *a)
{
	const struct pf_route *route = a->route;
	const struct pf_route_service *service;
	struct gate_request *r;

	if (g->n_free == 0)
		return NULL;
	r = &g->requests[g->free_requests[--g->n_free]];
	memset(r, 0, sizeof(*r));
	r->ctx = a->ctx;
	r->kind = route->kind;
	r->service = service_of(route, a->fingerprint);
	r->objective = route->objective;
	r->attempts = route->attempts ? route->attempts : 1;
	r->priority = route->priority;
	r->fingerprint = a->fingerprint;
	r->arrived = g->now;
	r->due = route->objective ? g->now + route->objective : PF_NEVER;
	r->over = g->now + (route->timeout ? route->timeout : TIMEOUT_MS);
	if (a->in->budget > 0 && g->now + a->in->budget < r->over)
		r->over = g->now + a->in->budget;
	service = pf_routes_service(g->routes, r->service);
	copy_prompt(r, a->in, service ? service->event_tokens : 1);
	g->stats.active++;
	*a->handle = slot_of(g, r);
	return r;
}

void gate_arrive(struct pf_gate *g, const struct pf_gate_arrival *a)
{
	struct pf_gate_act full = { .type = PF_GATE_REFUSE, .ctx = a->ctx };
	struct gate_request *r = take(g, a);

	g->stats.arrived++;
	if (!r) {
		*a->handle = GATE_NIL;
		full.u.refuse.reason = PF_GATE_REASON_FULL;
		full.u.refuse.status = 503;
		full.u.refuse.retry_after = RETRY_MAX_MS / 2;
		g->stats.refused++;
		g->sink->emit(g->sink->ctx, &full);
		return;
	}
	gate_budget_request(g, r->service);
	gate_demand_begin(g, r);
	gate_wait_add(g, r);
	if (gate_quarantined(g, r->fingerprint)) {
		refuse(g, r, PF_GATE_REASON_QUARANTINED);
		return;
	}
	if (gate_try_send(g, r))
		return;
	if (g->leaving)
		refuse(g, r, PF_GATE_REASON_LEAVING);
	else
		arm(g, r);
}

void gate_leave(struct pf_gate *g)
{
	g->leaving = true;
	while (g->wait_head != GATE_NIL)
		give_up(g, &g->requests[g->wait_head], PF_GATE_REASON_LEAVING);
}

static void drop(struct pf_gate *g, struct gate_request *r)
{
	struct pf_gate_act a = { .type = PF_GATE_CANCEL };

	if (r->state == GATE_SENT || r->state == GATE_STREAMING)
		emit(g, r, &a);
}

void gate_hangup(struct pf_gate *g, uint32_t slot)
{
	struct gate_request *r = &g->requests[slot];

#ifndef PF_MUTANT_GATE_HANGUP
	drop(g, r);
#endif
	g->stats.hangups++;
	release(g, r);
}

void gate_events(struct pf_gate *g, uint32_t slot, uint32_t n)
{
	struct gate_request *r = &g->requests[slot];
	struct gate_endpoint *e = &g->endpoints[r->endpoint];

	if (r->own_ms > 0) {
		gate_learn(g, r);
		gate_load_first(g, r);
		g->pump_at = g->now;
	}
	if (r->state != GATE_STREAMING)
		e->streaming++;
	else if (n > 0)
		e->event_ms +=
			EVENT_WEIGHT *
			((double)(g->now - r->heard_at) / n - e->event_ms);
	r->events = r->events > n ? r->events - n : 0;
	r->state = GATE_STREAMING;
	r->passed = true;
	r->heard_at = g->now;
	e->heard_at = g->now;
}

static void avoid(struct gate_request *r, uint64_t id)
{
	if (r->n_avoid < GATE_AVOID_MAX)
		r->avoid[r->n_avoid++] = id;
}

/* What a try's end says of its endpoint. */
static void judge(struct pf_gate *g, struct gate_request *r,
		  struct gate_endpoint *e, const struct pf_gate_end *end)
{
	pf_ms pause = end->retry_after > 0 ? end->retry_after : FULL_MS;

	switch (end->outcome) {
	case PF_GATE_ANSWERED:
		gate_endpoint_result(e, end->status >= 500);
		return;
	case PF_GATE_NOT_RUN:
		if (end->misdirected && r->model) {
			e->lacks = r->model;
			e->lacks_until = g->now + LACKS_MS;
		} else if (end->misdirected) {
			gate_endpoint_block(g, e);
		} else {
			e->blocked_until =
				g->now +
				(pause < FULL_MAX_MS ? pause : FULL_MAX_MS);
		}
		break;
	case PF_GATE_UNSENT:
		gate_endpoint_block(g, e);
		break;
	case PF_GATE_LOST:
	case PF_GATE_BROKEN:
		gate_endpoint_result(e, true);
		if (end->reset)
			gate_crash_blame(g, r->fingerprint, true);
		break;
	}
	avoid(r, e->id);
}

/* An endpoint failed a repeatable call: another may do better. */
static bool ask_another(struct pf_gate *g, struct gate_request *r)
{
	uint32_t lacks;
	uint32_t at;

	if (!gate_repeatable(r) || r->runs >= r->attempts ||
	    r->sends >= SENDS_MAX || g->now >= r->due)
		return false;
	avoid(r, g->endpoints[r->endpoint].id);
	leave(g, r);
	r->state = GATE_FREE;
	at = gate_pick(g, r, &lacks);
	/* Otherwise the answer at hand is better than none. */
	if (at == GATE_NIL || !may_repeat(g, r))
		return false;
	send(g, r, at);
	return true;
}

void gate_ended(struct pf_gate *g, const struct pf_gate_end *said)
{
	struct gate_request *r = &g->requests[said->request];
	struct pf_gate_end as_broken = *said;
	const struct pf_gate_end *end = said;
	struct gate_endpoint *e = &g->endpoints[r->endpoint];
	struct pf_gate_act deliver = { .type = PF_GATE_DELIVER };

	/* A failure does not end the stream of which the caller has a part. */
	if (r->passed && said->outcome == PF_GATE_ANSWERED &&
	    said->status != STATUS_OK) {
		as_broken.outcome = PF_GATE_BROKEN;
		end = &as_broken;
	}
	e->heard_at = g->now;
	judge(g, r, e, end);
	switch (end->outcome) {
	case PF_GATE_ANSWERED:
		r->runs++;
		if (end->status >= 500 && ask_another(g, r))
			return;
		g->stats.delivered++;
		emit(g, r, &deliver);
		release(g, r);
		return;
	case PF_GATE_UNSENT:
		r->arrivals--;
		again(g, r);
		return;
	case PF_GATE_NOT_RUN:
		again(g, r);
		return;
	case PF_GATE_LOST:
	case PF_GATE_BROKEN:
		r->runs++;
#ifdef PF_MUTANT_GATE_ONCE
		if (r->runs < 2) {
#else
		if (gate_repeatable(r) && r->runs < r->attempts) {
#endif
			again(g, r);
			return;
		}
		fail(g, r, PF_GATE_REASON_ENDPOINT_LOST);
		return;
	}
}

/* The endpoint is silent: goes on elsewhere if that is allowed. */
static void stalled(struct pf_gate *g, struct gate_request *r)
{
	struct gate_endpoint *e = &g->endpoints[r->endpoint];

	gate_endpoint_block(g, e);
	if (r->runs + 1 >= r->attempts) {
		/* No other may run it: this one may still answer. */
		pf_heap_set(&g->timers, slot_of(g, r), r->over);
		return;
	}
	avoid(r, e->id);
	drop(g, r);
	r->runs++;
	again(g, r);
}

void gate_request_due(struct pf_gate *g, uint32_t slot)
{
	struct gate_request *r = &g->requests[slot];

	if (r->state == GATE_WAITING && g->now < gate_wait_limit(g, r)) {
		arm(g, r);
		return;
	}
	if (r->state == GATE_WAITING) {
		give_up(g, r,
			gate_served(g, r) ? PF_GATE_REASON_FULL
			: r->model        ? PF_GATE_REASON_NOT_LOADED
					  : PF_GATE_REASON_NO_ENDPOINT);
		return;
	}
	if (g->now >= r->over) {
		drop(g, r);
		fail(g, r, PF_GATE_REASON_TIMEOUT);
		return;
	}
	if (gate_repeatable(r) && g->now >= r->heard_at + stall_of(r)) {
		stalled(g, r);
		return;
	}
	arm(g, r);
}
