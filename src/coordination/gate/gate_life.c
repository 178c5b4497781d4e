/* Request lifecycle: arrival, waiting, sends and the one final act. */
#include "src/coordination/gate/gate_core.h"

#include <stdlib.h>
#include <string.h>

#define STATUS_OK 200
#define STATUS_UNAVAILABLE 503
/* Sends of one request, including those that did not run. */
#define SENDS_MAX 5
/* Reserved for passing the answer back to the caller. */
#define RETURN_MS 10
/* Weight of the newest event. */
#define EVENT_INTERVAL_WEIGHT 0.02
/* Pause after an endpoint was full. */
#define FULL_PAUSE_MS 150
/* A model that an endpoint rejected counts as missing for this long, or until
 * the next store entry or loader report. */
#define MISSING_MODEL_MS 1500
/* Interval of adapter requests for one request. */
#define ADAPTER_REQUEST_EVERY_MS 150
/* For routes without a timeout. */
#define DEFAULT_TIMEOUT_MS 600000
/* An engine has two priorities for each one of a route; requests with a relaxed
 * objective get the lower one. */
#define PRIORITY_MAX 9
#define RELAXED_OBJECTIVE_MS 2000
/* Engine priorities for each priority of an account. */
#define ACCOUNT_LEVELS 3

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

/* Removes the request from the queue or its endpoint's load. */
static void detach(struct pf_gate *g, struct gate_request *r)
{
	if (r->state == GATE_WAITING)
		gate_wait_remove(g, r);
	else if (r->state != GATE_FREE)
		gate_load_remove(g, r);
}

static void free_request(struct pf_gate *g, struct gate_request *r)
{
	uint32_t slot = slot_of(g, r);

	detach(g, r);
	gate_demand_end(g, r);
	free(r->parts);
	r->parts = NULL;
	r->n_parts = 0;
	r->state = GATE_FREE;
	pf_heap_set(&g->request_timers, slot, PF_NEVER);
	g->free_requests[g->n_free++] = slot;
	g->stats.open--;
	g->send_waiting_at = g->now;
}

static void emit_refusal(struct pf_gate *g, struct gate_request *r,
			 struct pf_gate_act *a)
{
	a->type = PF_GATE_REFUSE;
	a->u.refuse.status = STATUS_UNAVAILABLE;
	g->stats.refused++;
	emit(g, r, a);
	free_request(g, r);
}

static void refuse_request(struct pf_gate *g, struct gate_request *r,
			   enum pf_gate_reason why)
{
	struct pf_gate_act a = { 0 };

	a.u.refuse.reason = why;
	a.u.refuse.retry_after = gate_retry_after(g, r, why);
	emit_refusal(g, r, &a);
}

/* @e: the endpoint that is held no longer first. */
static void refuse_while_held(struct pf_gate *g, struct gate_request *r,
			      const struct gate_endpoint *e)
{
	pf_ms wait = gate_held_until(g, e) - g->now;
	struct pf_gate_act a = { 0 };

	a.u.refuse.reason = e->backoff_until > g->now ? PF_GATE_REASON_BACKOFF
						      : PF_GATE_REASON_LIMITED;
	a.u.refuse.retry_after = gate_retry_after_hold(g, r, wait);
	a.u.refuse.endpoint = e->id;
	a.u.refuse.wait = wait;
	emit_refusal(g, r, &a);
}

static void fail_request(struct pf_gate *g, struct gate_request *r,
			 enum pf_gate_reason why)
{
	struct pf_gate_act a = { .type = PF_GATE_FAIL };

	a.u.fail.reason = why;
	a.u.fail.status = why == PF_GATE_REASON_TIMEOUT ? 504 : 502;
	g->stats.failed++;
	emit(g, r, &a);
	free_request(g, r);
}

/* Ends a request: refuses it if it did not run, fails it if it may have. */
static void end_request(struct pf_gate *g, struct gate_request *r,
			enum pf_gate_reason why)
{
#ifndef PF_MUTANT_GATE_REFUSE
	if (r->possible_runs > 0) {
		fail_request(g, r,
			     g->now >= r->deadline
				     ? PF_GATE_REASON_TIMEOUT
				     : PF_GATE_REASON_ENDPOINT_LOST);
		return;
	}
#endif
	refuse_request(g, r, why);
}

static int engine_priority(const struct gate_request *r)
{
	int p = 2 * r->priority + (r->objective > RELAXED_OBJECTIVE_MS ? 1 : 0);

	/* The levels of an account: one for two of a route without accounts. */
	if (gate_has_account_priority(r))
		p = ACCOUNT_LEVELS * r->account_priority +
		    (p / 2 < ACCOUNT_LEVELS ? p / 2 : ACCOUNT_LEVELS - 1);
	return p > PRIORITY_MAX ? PRIORITY_MAX : p;
}

static void arm_timer(struct pf_gate *g, struct gate_request *r)
{
	pf_ms at = r->deadline;

	if (r->state == GATE_WAITING)
		at = gate_wait_deadline(g, r);
	else if (gate_stall_next(g, r) < at)
		at = gate_stall_next(g, r);
	pf_heap_set(&g->request_timers, slot_of(g, r),
		    at > g->now ? at : g->now + 1);
}

static void send_request(struct pf_gate *g, struct gate_request *r, uint32_t at)
{
	struct gate_endpoint *e = &g->endpoints[at];
	struct pf_gate_act a = { .type = PF_GATE_SEND };

	a.u.send.endpoint = e->id;
	a.u.send.time_left = r->deadline - g->now - RETURN_MS;
	if (a.u.send.time_left < 1)
		a.u.send.time_left = 1;
	a.u.send.priority =
		e->kv_capacity ? gate_hold_priority(r, engine_priority(r)) : -1;
	a.u.send.at_most_once = !gate_retryable(r);
	a.u.send.resume = r->response_started;
	a.u.send.prior_sends = r->sends;
	a.u.send.expected_first_event = (pf_ms)r->first_event_ms;
	a.u.send.cached_tokens = gate_prefix_cached_tokens(g, r, e);
	r->state = r->response_started ? GATE_STREAMING : GATE_SENT;
	r->sends++;
	r->sends_on_wire++;
	r->sent_at = g->now;
	r->last_progress_at = g->now;
	r->sent_incarnation = e->incarnation;
	r->sent_software = e->software;
	r->began_at = 0;
	r->sound = false;
	gate_load_add(g, r, at);
	gate_prefix_add_sent(g, r, e);
	g->stats.sent++;
	arm_timer(g, r);
	emit(g, r, &a);
}

bool gate_take_retry(struct pf_gate *g, const struct gate_request *r)
{
	if (r->sends_on_wire == 0)
		return true;
	if (!gate_budget_take_retry(g, r->service)) {
		g->stats.retries_rejected++;
		return false;
	}
	g->stats.retries++;
	return true;
}

void gate_request_adapter(struct pf_gate *g, struct gate_request *r,
			  uint32_t at)
{
	struct pf_gate_act a = { .type = PF_GATE_REQUEST_ADAPTER };

	if (r->adapter_requested_at &&
	    g->now - r->adapter_requested_at < ADAPTER_REQUEST_EVERY_MS)
		return;
	r->adapter_requested_at = g->now;
	a.u.request_adapter.endpoint = g->endpoints[at].id;
	emit(g, r, &a);
}

/* Ends @r at once if waiting is in vain; false if it may wait. */
static bool end_unservable(struct pf_gate *g, struct gate_request *r)
{
	const struct gate_endpoint *first = gate_first_held(g, r);

	if (gate_software_gone(g, r)) {
		if (r->possible_runs > 0)
			fail_request(g, r, PF_GATE_REASON_VERSION_GONE);
		else
			refuse_request(g, r, PF_GATE_REASON_VERSION_GONE);
		return true;
	}
	if (r->response_started || r->possible_runs > 0)
		return false;
	/* A limit often has room again before the request is given up. */
	if (first && first->backoff_until <= g->now &&
	    gate_held_until(g, first) < gate_wait_deadline(g, r))
		return false;
	if (first)
		refuse_while_held(g, r, first);
	else if (gate_all_leaving(g, r))
		refuse_request(g, r, PF_GATE_REASON_ALL_LEAVING);
	else
		return false;
	return true;
}

/* Ends a request that crashes endpoints, or may do so. */
static void reject_quarantined(struct pf_gate *g, struct gate_request *r)
{
	if (r->possible_runs > 0)
		fail_request(g, r, PF_GATE_REASON_QUARANTINED);
	else
		refuse_request(g, r, PF_GATE_REASON_QUARANTINED);
}

bool gate_try_send(struct pf_gate *g, struct gate_request *r)
{
	uint32_t load_at;
	uint32_t at;

	if (gate_quarantine_holds(g, r)) {
		reject_quarantined(g, r);
		return true;
	}
	switch (gate_stream_decide(g, r)) {
	case GATE_DECIDED:
		break;
	case GATE_UNDECIDED:
		return false;
	case GATE_UNKNOWN:
		refuse_request(g, r, PF_GATE_REASON_VERSION_UNKNOWN);
		return true;
	}
	if (gate_hold(g, r))
		return false;
	at = gate_pick(g, r, &load_at);
	if (load_at != GATE_NIL)
		gate_request_adapter(g, r, load_at);
	if (at == GATE_NIL)
		return end_unservable(g, r);
	if (!gate_take_retry(g, r)) {
		/* Nothing is better for a started answer than to wait. */
		if (gate_waits_to_deadline(r))
			return false;
		end_request(g, r, PF_GATE_REASON_RETRY_BUDGET);
		return true;
	}
	if (r->state == GATE_WAITING)
		gate_wait_remove(g, r);
	r->state = GATE_FREE; /* neither queued nor in flight */
	send_request(g, r, at);
	return true;
}

/* Whether the request is given up instead of being queued again. */
static bool give_up(const struct pf_gate *g, const struct gate_request *r)
{
	/* The retry budget limits the sends of a started answer. */
	return !gate_waits_to_deadline(r) &&
	       (r->sends >= SENDS_MAX ||
		g->now >= r->deadline - gate_min_service_time(r));
}

/* Sends the request again or queues it: it did not run, or may run again. */
static void requeue(struct pf_gate *g, struct gate_request *r)
{
	detach(g, r);
	gate_wait_add(g, r);
	if (give_up(g, r)) {
		end_request(g, r, PF_GATE_REASON_FULL);
		return;
	}
	if (gate_try_send(g, r))
		return;
	if (g->shutting_down && !r->response_started)
		end_request(g, r, PF_GATE_REASON_LEAVING);
	else
		arm_timer(g, r);
}

/* Returns 0, or -1 without memory. */
static int copy_prompt(struct gate_request *r, const struct pf_inbound *in,
		       uint32_t tokens_per_event)
{
	uint64_t prefix = pf_id2(in->model, in->adapter);
	uint32_t sum = 0;
	uint32_t i;

	r->model = in->model;
	r->adapter = in->adapter;
	r->prompt_tokens = in->prompt_tokens;
	r->output_tokens = in->output_hint && in->output_hint < in->max_tokens
				   ? in->output_hint
				   : in->max_tokens;
	r->events_left =
		r->output_tokens / (tokens_per_event ? tokens_per_event : 1) +
		1;
	for (i = 0; i < in->n_parts && i < GATE_PREFIXES_MAX; i++) {
		prefix = pf_id2(prefix, in->parts[i].id);
		sum += in->parts[i].tokens;
		r->prefixes[i] = prefix;
		r->prefix_tokens[i] = sum;
	}
	r->n_prefixes = i;
	if (in->n_parts < 2)
		return 0;
	r->parts = calloc(in->n_parts - 1, sizeof(*r->parts));
	if (!r->parts)
		return -1;
	r->n_parts = in->n_parts - 1;
	for (i = 0; i < r->n_parts; i++)
		r->parts[i] = in->parts[i].id;
	return 0;
}

/* Draws a split by weight; a request that the caller repeats gets the same. */
static uint64_t draw_service(const struct pf_route *route, uint64_t fingerprint)
{
	uint64_t hash = pf_id2(fingerprint, route->host_id);
	double sum = 0;
	double at;
	uint32_t i;

	for (i = 0; i < route->n_splits; i++)
		sum += route->splits[i].weight;
	at = sum * ((double)(hash >> 11) * 0x1p-53); /* of 53 bits: below 1 */
	for (i = 0; i + 1 < route->n_splits; i++) {
		if (at < route->splits[i].weight)
			break;
		at -= route->splits[i].weight;
	}
	return route->splits[i].service;
}

static struct gate_request *new_request(struct pf_gate *g,
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
	r->service = draw_service(route, a->fingerprint);
	r->objective = route->latency_objective;
	r->attempts_max = route->attempts_max ? route->attempts_max : 1;
	r->priority = route->priority;
	r->account = a->account;
	r->account_priority = a->account_priority;
	r->fingerprint = a->fingerprint;
	r->arrived_at = g->now;
	r->objective_deadline = route->latency_objective
					? g->now + route->latency_objective
					: PF_NEVER;
	r->deadline =
		g->now + (route->timeout ? route->timeout : DEFAULT_TIMEOUT_MS);
	if (a->in->time_left > 0 && g->now + a->in->time_left < r->deadline)
		r->deadline = g->now + a->in->time_left;
	service = pf_routes_find_service(g->routes, r->service);
	if (copy_prompt(r, a->in, service ? service->tokens_per_event : 1) <
	    0) {
		g->free_requests[g->n_free++] = slot_of(g, r);
		return NULL;
	}
	g->stats.open++;
	*a->handle = slot_of(g, r);
	return r;
}

void gate_request_arrive(struct pf_gate *g, const struct pf_gate_arrival *a)
{
	struct pf_gate_act full = { .type = PF_GATE_REFUSE, .ctx = a->ctx };
	struct gate_request *r = new_request(g, a);

	g->stats.arrived++;
	if (!r) {
		*a->handle = GATE_NIL;
		full.u.refuse.reason = PF_GATE_REASON_FULL;
		full.u.refuse.status = STATUS_UNAVAILABLE;
		full.u.refuse.retry_after = GATE_RETRY_AFTER_MAX_MS / 2;
		g->stats.refused++;
		g->sink->emit(g->sink->ctx, &full);
		return;
	}
	gate_budget_add_request(g, r->service);
	gate_demand_begin(g, r);
	gate_use_arrival(g, r);
	gate_quarantine_arrival(g, r);
	gate_stream_arrive(g, r, a->in);
	gate_wait_add(g, r);
	if (gate_try_send(g, r))
		return;
	if (g->shutting_down)
		refuse_request(g, r, PF_GATE_REASON_LEAVING);
	else
		arm_timer(g, r);
}

void gate_shut_down(struct pf_gate *g)
{
	uint32_t i = g->wait_head;

	g->shutting_down = true;
	while (i != GATE_NIL) {
		struct gate_request *r = &g->requests[i];

		i = r->next;
		if (!r->response_started)
			end_request(g, r, PF_GATE_REASON_LEAVING);
	}
}

static void cancel_send(struct pf_gate *g, struct gate_request *r,
			enum pf_gate_cancel why)
{
	struct pf_gate_act a = { .type = PF_GATE_CANCEL };

	a.u.cancel.reason = why;
	a.u.cancel.silent = g->now - r->last_progress_at;
	if (r->state == GATE_SENT || r->state == GATE_STREAMING)
		emit(g, r, &a);
}

void gate_request_hangup(struct pf_gate *g, uint32_t slot)
{
	struct gate_request *r = &g->requests[slot];

#ifndef PF_MUTANT_GATE_HANGUP
	cancel_send(g, r, PF_GATE_CANCEL_HANGUP);
#endif
	g->stats.hangups++;
	free_request(g, r);
}

/* An answer that goes on, or is @complete, shows that its parts are sound. */
static void note_soundness(struct pf_gate *g, struct gate_request *r,
			   bool complete)
{
	uint32_t i;

	/* Without an event, only the send's time is known. */
	if (!r->began_at)
		r->began_at = complete ? r->sent_at : g->now;
	if (r->sound || (!complete && g->now - r->began_at < GATE_BEGINNING_MS))
		return;
	r->sound = true;
	gate_use_served(g, r);
	for (i = 0; i < r->n_parts; i++)
		gate_blame_sound(g, r->parts[i], r->began_at);
}

void gate_request_events(struct pf_gate *g, uint32_t slot, uint32_t n)
{
	struct gate_request *r = &g->requests[slot];
	struct gate_endpoint *e = &g->endpoints[r->endpoint_slot];
	bool first = !r->response_started;

	if (r->prefill_ms > 0) {
		gate_learn_latency(g, r);
		gate_load_prefilled(g, r);
		g->send_waiting_at = g->now;
	}
	gate_backoff_answered(r, e);
	note_soundness(g, r, false);
	if (r->state != GATE_STREAMING)
		e->own_streaming++;
	else if (n > 0 && r->last_progress_at >= e->resumed_at)
		e->event_interval_ms +=
			EVENT_INTERVAL_WEIGHT *
			((double)(g->now - r->last_progress_at) / n -
			 e->event_interval_ms);
	/* After the above: only one event of those after a pause is learned. */
	gate_endpoint_progress(g, e);
	r->events_left = r->events_left > n ? r->events_left - n : 0;
	r->state = GATE_STREAMING;
	r->response_started = true;
	if (!r->bound) {
		r->bound = true;
		r->software = r->sent_software;
	}
	if (first)
		gate_stream_begun(g, r);
	r->last_progress_at = g->now;
}

void gate_request_pause(struct pf_gate *g, uint32_t slot, bool on)
{
	struct gate_request *r = &g->requests[slot];
	struct gate_endpoint *e = &g->endpoints[r->endpoint_slot];

	if (r->state != GATE_STREAMING || r->paused == on)
		return;
	r->paused = on;
	e->own_paused += on ? 1 : -1;
	/* Its silence until now was not the endpoint's. */
	r->last_progress_at = g->now;
	if (!on)
		e->last_progress_at = g->now;
	arm_timer(g, r);
}

static void avoid_endpoint(struct gate_request *r, uint64_t id)
{
	if (r->n_avoided < GATE_AVOIDED_MAX)
		r->avoided[r->n_avoided++] = id;
}

/* Updates the endpoint's failure rate, blocks and models by a send's end. */
static void update_endpoint_health(struct pf_gate *g, struct gate_request *r,
				   struct gate_endpoint *e,
				   const struct pf_gate_end *end)
{
	switch (end->outcome) {
	case PF_GATE_ANSWERED:
		gate_endpoint_count_result(e, end->status >= 500);
		return;
	case PF_GATE_NOT_RUN:
		if (end->misdirected && r->model) {
			e->missing_model = r->model;
			e->missing_until = g->now + MISSING_MODEL_MS;
		} else if (end->misdirected) {
			gate_endpoint_block(g, e);
		} else {
			e->blocked_silent = false;
			e->blocked_until = g->now + FULL_PAUSE_MS;
		}
		break;
	case PF_GATE_UNSENT:
		gate_endpoint_block(g, e);
		break;
	case PF_GATE_LOST:
	case PF_GATE_BROKEN:
		gate_endpoint_count_result(e, true);
		if (end->reset) {
			gate_crash_add(g, r->fingerprint, true);
			gate_blame_crash(g, e, r->sent_incarnation);
		}
		break;
	}
	avoid_endpoint(r, e->id);
}

/* Sends a retryable request that got a 5xx answer to another endpoint. */
static bool retry_on_error(struct pf_gate *g, struct gate_request *r)
{
	uint32_t load_at;
	uint32_t at;

	if (gate_quarantine_holds(g, r) || !gate_retryable(r) ||
	    r->possible_runs >= r->attempts_max || r->sends >= SENDS_MAX ||
	    g->now >= r->objective_deadline)
		return false;
	avoid_endpoint(r, g->endpoints[r->endpoint_slot].id);
	detach(g, r);
	r->state = GATE_FREE;
	at = gate_pick(g, r, &load_at);
	/* Without another endpoint or budget the caller gets the error. */
	if (at == GATE_NIL || !gate_take_retry(g, r))
		return false;
	send_request(g, r, at);
	return true;
}

void gate_request_send_ended(struct pf_gate *g,
			     const struct pf_gate_end *reported)
{
	struct gate_request *r = &g->requests[reported->request];
	struct pf_gate_end as_broken = *reported;
	const struct pf_gate_end *end = reported;
	struct gate_endpoint *e = &g->endpoints[r->endpoint_slot];
	struct pf_gate_act deliver = { .type = PF_GATE_DELIVER };

	/* An error answer must not end a stream of which the caller has a part. */
	if (r->response_started && reported->outcome == PF_GATE_ANSWERED &&
	    reported->status != STATUS_OK) {
		as_broken.outcome = PF_GATE_BROKEN;
		end = &as_broken;
	}
	if (end->outcome == PF_GATE_ANSWERED || end->outcome == PF_GATE_NOT_RUN)
		gate_endpoint_progress(g, e);
	if (end->outcome == PF_GATE_ANSWERED &&
	    end->status != STATUS_UNAVAILABLE)
		gate_backoff_answered(r, e);
	if (end->outcome == PF_GATE_ANSWERED && end->status == STATUS_OK)
		note_soundness(g, r, true);
	update_endpoint_health(g, r, e, end);
	r->trial = false;
	switch (end->outcome) {
	case PF_GATE_ANSWERED:
		r->possible_runs++;
		if (end->status >= 500 && retry_on_error(g, r))
			return;
		gate_drain_answered(g, r->service);
		g->stats.delivered++;
		gate_stream_complete(g, r);
		emit(g, r, &deliver);
		free_request(g, r);
		return;
	case PF_GATE_UNSENT:
		r->sends_on_wire--;
		requeue(g, r);
		return;
	case PF_GATE_NOT_RUN:
		requeue(g, r);
		return;
	case PF_GATE_LOST:
	case PF_GATE_BROKEN:
		r->possible_runs++;
#ifdef PF_MUTANT_GATE_ONCE
		if (r->possible_runs < 2) {
#else
		if (gate_retryable(r) && r->possible_runs < r->attempts_max) {
#endif
			requeue(g, r);
			return;
		}
		fail_request(g, r, PF_GATE_REASON_ENDPOINT_LOST);
		return;
	}
}

void gate_request_move(struct pf_gate *g, struct gate_request *r, uint32_t at,
		       const struct gate_estimate *to)
{
	struct gate_endpoint *from = &g->endpoints[r->endpoint_slot];

	gate_blame_crash(g, from, r->sent_incarnation);
	avoid_endpoint(r, from->id);
	cancel_send(g, r, PF_GATE_CANCEL_STALLED);
	r->trial = false;
	r->moved = true;
	r->possible_runs++;
	detach(g, r);
	r->state = GATE_FREE;
	gate_request_set_estimate(r, to);
	send_request(g, r, at);
}

/* Cancels what may crash its endpoint next. */
static void cancel_quarantined(struct pf_gate *g, struct gate_request *r)
{
	if (r->trial || r->began_at || !gate_quarantine_holds(g, r))
		return;
	cancel_send(g, r, PF_GATE_CANCEL_QUARANTINED);
	r->possible_runs++;
	reject_quarantined(g, r);
}

void gate_requests_quarantine(struct pf_gate *g)
{
	uint32_t i;

	for (i = 0; i < g->opts.requests_max; i++) {
		struct gate_request *r = &g->requests[i];

		if (r->state == GATE_SENT || r->state == GATE_STREAMING)
			cancel_quarantined(g, r);
	}
	g->send_waiting_at = g->now;
}

#ifdef PF_MUTANT_GATE_SILENCE
void gate_request_cancel_stalled(struct pf_gate *g, struct gate_request *r)
{
	cancel_send(g, r, PF_GATE_CANCEL_STALLED);
	r->possible_runs++;
	requeue(g, r);
}
#endif

void gate_request_timer(struct pf_gate *g, uint32_t slot)
{
	struct gate_request *r = &g->requests[slot];
	const struct gate_endpoint *first;

	if (r->state == GATE_WAITING && g->now < gate_wait_deadline(g, r)) {
		arm_timer(g, r);
		return;
	}
	if (r->undecided) {
		if (!gate_try_send(g, r))
			arm_timer(g, r);
		return;
	}
	if (r->state == GATE_WAITING) {
		first = gate_first_held(g, r);
		if (first && r->possible_runs == 0) {
			refuse_while_held(g, r, first);
			return;
		}
		end_request(g, r,
			    gate_has_endpoint(g, r) ? PF_GATE_REASON_FULL
			    : r->model              ? PF_GATE_REASON_NOT_LOADED
				       : PF_GATE_REASON_NO_ENDPOINT);
		return;
	}
	if (g->now >= r->deadline) {
		cancel_send(g, r, PF_GATE_CANCEL_TIMED_OUT);
		fail_request(g, r, PF_GATE_REASON_TIMEOUT);
		return;
	}
	gate_stall_check(g, r);
	arm_timer(g, r);
}
