/*
 * Requests and their answers. Answers are forwarded byte for byte. Streams are
 * forwarded in complete events, so that another endpoint can resume one after
 * the last event that the caller has.
 */
#include "gateway.h"

#include "pimentoford/counters.h"
#include "pimentoford/http1.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

static uint64_t request_fingerprint(const struct pf_inbound *in,
				    const struct pf_h1_head *h,
				    const struct pf_text *body)
{
	uint64_t f = XXH64(body->p, body->n, 0);

	return pf_id2(pf_id2(pf_id(in->host), pf_id(h->target)), f);
}

/* Takes over the head and the body, and decodes the head. */
static int decode_request(struct exchange *x, struct pf_text *head,
			  struct pf_text *body)
{
	x->head_bytes = *head;
	x->body = *body;
	memset(head, 0, sizeof(*head));
	memset(body, 0, sizeof(*body));
	return platform_decode_request(&x->head, &x->inbound);
}

static const char *reason_phrase(int status)
{
	switch (status) {
	case 400:
		return "Bad Request";
	case 401:
		return "Unauthorized";
	case 404:
		return "Not Found";
	case 408:
		return "Request Timeout";
	case 413:
		return "Content Too Large";
	case 429:
		return "Too Many Requests";
	case 431:
		return "Request Header Fields Too Large";
	case 502:
		return "Bad Gateway";
	case 503:
		return "Service Unavailable";
	case 504:
		return "Gateway Timeout";
	default:
		return "Error";
	}
}

/* Writes an error answer that comes from the gateway itself. */
static void write_own_answer(struct caller *c, int status, const char *code,
			     struct pf_str id, pf_ms retry_after)
{
	struct pf_text t = { 0 };
	struct pf_text body = { 0 };

	pf_text_printf(&body, "{\"error\":\"%s\"}\n", code);
	pf_text_printf(&t, "HTTP/1.1 %d %s\r\n", status, reason_phrase(status));
	platform_add_request_id(id, &t);
	if (retry_after >= 0)
		platform_add_retry_after(retry_after, &t);
	if (status == 401)
		platform_add_challenge(&t);
	pf_text_printf(&t,
		       "Content-Type: application/json\r\n"
		       "Content-Length: %zu\r\n%s\r\n",
		       body.n,
		       caller_announces_close(c) ? "Connection: close\r\n"
						 : "");
	pf_text_add(&t, pf_text_str(&body));
	caller_write(c, &t);
	pf_text_free(&t);
	pf_text_free(&body);
}

void exchange_free(struct exchange *x)
{
	upstream_cancel(x);
	core_drop_deferred(x->gateway, x->core_handle);
	allowances_end(x);
	LIST_REMOVE(x, next);
	pf_inbound_clear(&x->inbound);
	pf_text_free(&x->head_bytes);
	pf_text_free(&x->body);
	pf_text_free(&x->answer_head);
	pf_text_free(&x->answer_body);
	free(x->account_name);
	free(x);
}

static void finish_exchange(struct exchange *x)
{
	struct caller *c = x->caller;

	exchange_free(x);
	if (c)
		caller_answer_done(c);
}

static void log_result(struct exchange *x, const char *event, int status,
		       const char *why)
{
	struct gateway *g = x->gateway;

	PF_LOG(&g->log, PF_LOG_INFO, event, PF_KV_TEXT("id", x->inbound.id),
	       PF_KV_INT("status", status), PF_KV_STR("why", why),
	       PF_KV_TEXT("model", x->inbound.model_name),
	       PF_KV_INT("ms", pf_clock_now() - x->arrived_at),
	       PF_KV_INT("first_ms", x->first_event_at
					     ? x->first_event_at - x->arrived_at
					     : -1),
	       PF_KV_INT("tries", x->n_sends));
}

/* Frees @x, of which the core forgets the request. */
static void cancel_exchange(struct exchange *x)
{
	struct pf_gate_msg m = { .type = PF_GATE_HANGUP };
	struct gateway *g = x->gateway;

	x->caller = NULL;
	m.u.request = x->core_handle;
	if (!allowances_is_undecided(x))
		core_step(g, &m);
	exchange_free(x);
}

void exchange_hangup(struct exchange *x)
{
	account_counts_add(x, ACCOUNT_HANGUP);
	cancel_exchange(x);
}

static const struct pf_route *find_route(struct gateway *g, struct exchange *x,
					 int *status, const char **code)
{
	const struct pf_route *route;

	*status = 503;
	*code = "leaving";
	if (g->shutting_down)
		return NULL;
	*code = "no_configuration";
	if (!g->routes)
		return NULL;
	route = pf_routes_find(g->routes, x->inbound.host, x->head.target);
	*status = 404;
	*code = "no_route";
	return route;
}

/* Retry-After without a configuration or memory, or during shutdown; other
 * gateways may answer at once. */
#define UNAVAILABLE_RETRY_AFTER_MS 300

/* What a stop leaves for the answer's way back. */
#define STOP_MARGIN_MS 200

void exchange_refuse_early(struct caller *c, int status, const char *code)
{
	write_own_answer(c, status, code, PF_STR(""),
			 status == 503 ? UNAVAILABLE_RETRY_AFTER_MS : -1);
}

static void refuse_unrouted(struct exchange *x, int status, const char *code)
{
	struct caller *c = x->caller;

	log_result(x, "refused", status, code);
	account_counts_add(x, ACCOUNT_REFUSED);
	write_own_answer(c, status, code, x->inbound.id,
			 status == 503 ? UNAVAILABLE_RETRY_AFTER_MS : -1);
	finish_exchange(x);
}

/* Of a route in all versions of the configuration. */
static uint64_t route_key(const struct pf_route *route)
{
	return pf_id2(route->host_id, pf_id(pf_str_c(route->prefix)));
}

/* Whether a request of the route that comes during a stop is likely to end before
 * it, as others of late did. */
static bool ends_before_stop(const struct gateway *g, uint64_t route)
{
	pf_ms now = pf_clock_now();
	pf_ms left;

	if (!g->stopping_since)
		return true;
	left = g->stopping_since + g->settings.drain - STOP_MARGIN_MS - now;
	return pf_durations_longest(g->durations, now, route) < left;
}

static void pass_to_core(struct exchange *x, const struct pf_route *route)
{
	struct pf_gate_msg m = { .type = PF_GATE_ARRIVE };

	m.u.arrival.ctx = x;
	m.u.arrival.route = route;
	m.u.arrival.in = &x->inbound;
	m.u.arrival.fingerprint =
		request_fingerprint(&x->inbound, &x->head, &x->body);
	m.u.arrival.account = x->account;
	m.u.arrival.account_priority = x->account_priority;
	m.u.arrival.handle = &x->core_handle;
	core_step(x->gateway, &m);
}

void exchange_admit(struct exchange *x)
{
	pf_ms waited = pf_clock_now() - x->arrived_at;
	pf_ms left = x->inbound.time_left;
	const struct pf_route *route;
	const char *code;
	int status;

	/* The time waited is part of the caller's. */
	if (left > 0)
		x->inbound.time_left = left > waited ? left - waited : 1;
	/* The configuration may have changed meanwhile. */
	route = find_route(x->gateway, x, &status, &code);
	if (route)
		pass_to_core(x, route);
	else
		refuse_unrouted(x, status, code);
}

void exchange_start(struct gateway *g, struct caller *c, struct pf_text *head,
		    const struct pf_h1_head *parsed, struct pf_text *body)
{
	struct exchange *x = calloc(1, sizeof(*x));
	const struct pf_route *route;
	const char *code = "malformed";
	int status = 400;

	if (!x) {
		write_own_answer(c, 503, "full", PF_STR(""),
				 UNAVAILABLE_RETRY_AFTER_MS);
		caller_answer_done(c);
		return;
	}
	x->gateway = g;
	x->caller = c;
	x->core_handle = UINT32_MAX; /* unknown to the core */
	x->account_priority = -1;
	x->head = *parsed;
	x->arrived_at = pf_clock_now();
	LIST_INSERT_HEAD(&g->exchanges, x, next);
	if (decode_request(x, head, body) < 0) {
		refuse_unrouted(x, status, code);
		return;
	}
	route = find_route(g, x, &status, &code);
	if (!route || accounts_check(x, route, &status, &code) < 0) {
		refuse_unrouted(x, status, code);
		return;
	}
	x->route_key = route_key(route);
	if (!ends_before_stop(g, x->route_key)) {
		refuse_unrouted(x, 503, "leaving");
		return;
	}
	x->kind = route->kind;
	x->last_event_id = x->inbound.last_event;
	caller_set_exchange(c, x);
	if (!allowances_ask(x, route))
		pass_to_core(x, route);
}

/* Adds the status line and the end-to-end headers of an endpoint's answer. */
static void add_answer_headers(struct pf_text *out, const struct pf_h1_head *h)
{
	uint32_t i;

	pf_text_printf(out, "HTTP/1.1 %d %.*s\r\n", h->status,
		       (int)h->reason_phrase.n, h->reason_phrase.p);
	for (i = 0; i < h->n_fields; i++) {
		if (pf_h1_is_hop_by_hop(h, h->fields[i].name))
			continue;
		pf_text_add(out, h->fields[i].name);
		pf_text_add(out, PF_STR(": "));
		pf_text_add(out, h->fields[i].value);
		pf_text_add(out, PF_STR("\r\n"));
	}
}

void exchange_start_answer(struct exchange *x, const struct pf_h1_head *h)
{
	pf_text_reset(&x->answer_body);
	x->answer_status = h->status;
	/* The caller of a resumed stream already has a head. */
	if (x->answer_head_sent)
		return;
	pf_text_reset(&x->answer_head);
	add_answer_headers(&x->answer_head, h);
}

/* Bytes of @t up to the end of its last complete event. */
static size_t complete_events_bytes(const struct pf_text *t)
{
	size_t i;

	for (i = t->n; i >= 2; i--) {
		if (t->p[i - 1] != '\n')
			continue;
		if (t->p[i - 2] == '\n' ||
		    (i >= 4 && memcmp(t->p + i - 4, "\r\n\r\n", 4) == 0))
			return i;
	}
	return 0;
}

bool exchange_has_partial_event(const struct exchange *x)
{
	return x->answer_body.n > 0;
}

bool exchange_is_empty(const struct exchange *x)
{
	return !x->first_event_at && x->answer_body.n == 0 &&
	       x->inbound.last_event < 0;
}

/* The id of the last event in @s, or @dflt. */
static int64_t find_last_event_id(struct pf_str s, int64_t dflt)
{
	size_t i;

	for (i = s.n; i-- > 0;) {
		struct pf_str v;
		int64_t id;
		size_t k = i + 3;

		if ((i > 0 && s.p[i - 1] != '\n') || s.n - i < 4 ||
		    memcmp(s.p + i, "id:", 3) != 0)
			continue;
		while (k < s.n && s.p[k] == ' ')
			k++;
		v.p = s.p + k;
		v.n = 0;
		while (k + v.n < s.n && s.p[k + v.n] >= '0' &&
		       s.p[k + v.n] <= '9')
			v.n++;
		if (pf_h1_parse_number(v, &id) == 0)
			return id;
	}
	return dflt;
}

static void forward_bytes(struct exchange *x, size_t n)
{
	struct pf_text *t = &x->gateway->scratch;

	pf_text_reset(t);
	if (!x->answer_head_sent) {
		pf_text_add(t, pf_text_str(&x->answer_head));
		if (caller_accepts_chunked(x->caller))
			pf_text_add(t, PF_STR("Transfer-Encoding: "
					      "chunked\r\n"));
		pf_text_add(t, caller_announces_close(x->caller)
				       ? PF_STR("Connection: close\r\n\r\n")
				       : PF_STR("\r\n"));
		x->answer_head_sent = true;
	}
	if (caller_accepts_chunked(x->caller))
		pf_text_printf(t, "%zx\r\n", n);
	pf_text_add(t, (struct pf_str){ x->answer_body.p, n });
	if (caller_accepts_chunked(x->caller))
		pf_text_add(t, PF_STR("\r\n"));
	caller_write(x->caller, t);
}

/* Number of events in @s, which are complete. */
static uint32_t count_events(struct pf_str s)
{
	uint32_t n = 0;
	size_t i;

	for (i = 1; i < s.n; i++)
		n += s.p[i] == '\n' && s.p[i - 1] == '\n';
	return n;
}

void exchange_forward_events(struct exchange *x)
{
	struct pf_gate_msg m = { .type = PF_GATE_EVENTS };
	size_t n = complete_events_bytes(&x->answer_body);

	if (n == 0)
		return;
	x->last_event_id = find_last_event_id(
		(struct pf_str){ x->answer_body.p, n }, x->last_event_id);
	if (!x->first_event_at) {
		x->first_event_at = pf_clock_now();
		pf_histogram_add(&x->gateway->counters->first_event_ms,
				 x->first_event_at - x->arrived_at);
	}
	m.u.events.n = count_events((struct pf_str){ x->answer_body.p, n });
	forward_bytes(x, n);
	pf_text_drop(&x->answer_body, n);
	m.u.events.request = x->core_handle;
	core_step(x->gateway, &m);
}

static void finish_stream(struct exchange *x)
{
	struct pf_text *t = &x->gateway->scratch;

	pf_text_reset(t);
	pf_text_add(t, caller_accepts_chunked(x->caller) ? PF_STR("0\r\n\r\n")
							 : PF_STR(""));
	caller_write(x->caller, t);
	finish_exchange(x);
}

void exchange_deliver(struct exchange *x)
{
	struct pf_text *t = &x->gateway->scratch;

	log_result(x, "answered", x->answer_status, "");
	account_counts_add(x, ACCOUNT_ANSWERED);
	pf_durations_add(x->gateway->durations, pf_clock_now(), x->route_key,
			 pf_clock_now() - x->arrived_at);
	pf_histogram_add(&x->gateway->counters->answer_ms,
			 pf_clock_now() - x->arrived_at);
	if (x->answer_head_sent) {
		finish_stream(x);
		return;
	}
	pf_text_reset(t);
	pf_text_add(t, pf_text_str(&x->answer_head));
	pf_text_printf(t, "Content-Length: %zu\r\n%s\r\n", x->answer_body.n,
		       caller_announces_close(x->caller)
			       ? "Connection: close\r\n"
			       : "");
	/* A large body isn't copied once more. */
	if (x->answer_body.n <= PF_BUFFER_WINDOW)
		pf_text_add(t, pf_text_str(&x->answer_body));
	caller_write(x->caller, t);
	if (x->answer_body.n > PF_BUFFER_WINDOW)
		caller_write(x->caller, &x->answer_body);
	finish_exchange(x);
}

static void log_cut(struct exchange *x, const char *why)
{
	struct gateway *g = x->gateway;

	g->counters->v[PF_GC_CUT]++;
	PF_LOG(&g->log, PF_LOG_WARN, "answer_cut",
	       PF_KV_TEXT("id", x->inbound.id), PF_KV_STR("why", why),
	       PF_KV_INT("last_event", x->last_event_id),
	       PF_KV_INT("ms", pf_clock_now() - x->arrived_at),
	       PF_KV_INT("time_left", x->inbound.time_left),
	       PF_KV_INT("tries", x->n_sends));
}

/* Writes an error answer, or resets the connection if a stream has begun. */
static void finish_with_error(struct exchange *x, int status, const char *code,
			      pf_ms retry_after)
{
	struct caller *c = x->caller;

	if (x->answer_head_sent) {
		log_cut(x, code);
		exchange_free(x);
		caller_abort(c);
		return;
	}
	write_own_answer(c, status, code, x->inbound.id, retry_after);
	finish_exchange(x);
}

void exchange_add_buffers(const struct exchange *x, struct pf_buffer_amounts *a)
{
	a->request += (int64_t)(x->head_bytes.cap + x->body.cap);
	a->response += (int64_t)(x->answer_head.n + x->answer_body.n);
	if (x->upstream)
		a->unsent += (int64_t)pf_sock_queued(x->upstream->sock);
}

void exchange_give_up(struct exchange *x, const char *code)
{
	struct caller *c = x->caller;
	int status = x->n_sends ? 502 : 503;

	log_result(x, "failed", status, code);
	account_counts_add(x, ACCOUNT_FAILED);
	if (x->answer_head_sent) {
		log_cut(x, code);
		cancel_exchange(x);
		caller_abort(c);
		return;
	}
	write_own_answer(c, status, code, x->inbound.id,
			 status == 503 ? UNAVAILABLE_RETRY_AFTER_MS : -1);
	cancel_exchange(x);
	caller_answer_done(c);
}

static void log_held(struct exchange *x, const struct pf_gate_act *a)
{
	const struct endpoint *e =
		endpoint_find(x->gateway, a->u.refuse.endpoint);

	PF_LOG(&x->gateway->log, PF_LOG_INFO, "held",
	       PF_KV_TEXT("id", x->inbound.id),
	       PF_KV_STR("endpoint", e ? e->info.instance : ""),
	       PF_KV_INT("wait_ms", a->u.refuse.wait),
	       PF_KV_INT("retry_after_ms", a->u.refuse.retry_after));
}

void exchange_refuse(struct exchange *x, const struct pf_gate_act *a)
{
	const char *code = pf_gate_reason_code(a->u.refuse.reason);

	log_result(x, "refused", a->u.refuse.status, code);
	account_counts_add(x, ACCOUNT_REFUSED);
	if (a->u.refuse.endpoint)
		log_held(x, a);
	finish_with_error(x, a->u.refuse.status, code, a->u.refuse.retry_after);
}

void exchange_fail(struct exchange *x, const struct pf_gate_act *a)
{
	const char *code = pf_gate_reason_code(a->u.fail.reason);

	log_result(x, "failed", a->u.fail.status, code);
	account_counts_add(x, ACCOUNT_FAILED);
	finish_with_error(x, a->u.fail.status, code, -1);
}

void exchange_reject(struct exchange *x)
{
	const char *code = pf_allowance_reason_code(x->allowance.reason);

	x->gateway->counters->v[PF_GC_ALLOWANCE_REJECTED]++;
	log_result(x, "refused", 429, code);
	account_counts_add(x, ACCOUNT_OVER_LIMIT);
	finish_with_error(x, 429, code, x->allowance.retry_after);
}
