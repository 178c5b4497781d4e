/*
 * Connections to endpoints. Each carries one request at a time; requests name
 * the instance that may run them.
 */
#include "gateway.h"

#include "pimentoford/counters.h"

#include <stdlib.h>
#include <string.h>

/* Counts as refused if the connection is not established by then. */
#define CONNECT_TIMEOUT_MS 450
/* The connection counts as dead if sent bytes stay unacknowledged this long. */
#define UNACKED_MAX_MS 2000
/* For endpoints that state no idle timeout. */
#define DEFAULT_KEEP_ALIVE_MS 2000
/* Idle connections are closed this long before the endpoint would do so. */
#define KEEP_ALIVE_MARGIN_MS 700
/* Requests that may run only once reuse only connections idle no longer: the
 * endpoint may close an older one while the request is on the wire. */
#define AT_MOST_ONCE_IDLE_MAX_MS 600
#define IDLE_CONNS_MAX 16
/* Of an answer, with the interim answers before it. */
#define ANSWER_HEAD_BYTES_MAX 32768
/* Of an answer that is forwarded as a whole, and of an incomplete event. */
#define ANSWER_BODY_BYTES_MAX ((size_t)16 << 20)
#define EVENT_BYTES_MAX ((size_t)256 << 10)
/* Of all answers, beyond the start of each. */
#define ANSWERS_BYTES_MAX ((size_t)64 << 20)
#define ANSWER_START_BYTES ((size_t)64 << 10)

static bool endpoint_leaves(const struct endpoint *e)
{
	return e->left_incarnation &&
	       e->left_incarnation == e->info.incarnation;
}

static void upstream_free(struct upstream *u)
{
	struct endpoint *e = u->endpoint;

	endpoint_release_adapter(e, u->adapter);
	if (u->exchange)
		u->exchange->upstream = NULL;
	else if (u->idle_since)
		e->n_idle_conns--;
	if (u->idle_since)
		LIST_REMOVE(u, next);
	pf_sock_free(u->sock);
	pf_text_free(&u->head_buf);
	free(u);
	endpoint_unref(e);
}

void upstream_cancel(struct exchange *x)
{
	struct upstream *u = x->upstream;

	if (!u)
		return;
	/* An orderly close still delivers what the endpoint has not read yet,
	 * also after a link was down, and it would run the request then. */
	pf_sock_abort(u->sock);
	u->sock = NULL;
	upstream_free(u);
}

bool upstream_may_pause(const struct exchange *x)
{
	return x->upstream && x->upstream->streaming;
}

void upstream_pause(struct exchange *x, bool pause)
{
	struct pf_gate_msg m = { .type = PF_GATE_PAUSED };

	x->upstream->paused = pause;
	pf_sock_pause(x->upstream->sock, pause);
	m.u.paused.request = x->core_handle;
	m.u.paused.on = pause;
	core_step(x->gateway, &m);
}

static void add_idle(struct upstream *u)
{
	u->idle_since = pf_clock_now();
	LIST_INSERT_HEAD(&u->endpoint->idle_conns, u, next);
	u->endpoint->n_idle_conns++;
}

static void log_try_ended(struct upstream *u, enum pf_gate_outcome outcome,
			  bool reset)
{
	struct exchange *x = u->exchange;
	pf_ms now = pf_clock_now();

	PF_LOG(&x->gateway->log, PF_LOG_INFO, "try_ended",
	       PF_KV_TEXT("id", x->inbound.id),
	       PF_KV_STR("endpoint", u->endpoint->info.instance),
	       PF_KV_STR("outcome", pf_gate_outcome_code(outcome)),
	       PF_KV_INT("status", u->reply.status), PF_KV_INT("reset", reset),
	       PF_KV_INT("ms", now - u->sent_at),
	       PF_KV_INT("head_ms", u->body_at ? now - u->body_at : -1),
	       PF_KV_INT("partial", x->answer_body.n),
	       PF_KV_TEXT("parts", x->inbound.parts_text));
}

/* Ends the send. The connection becomes idle if reusable, else is closed. */
static void end_send(struct upstream *u, enum pf_gate_outcome outcome,
		     bool reset)
{
	struct exchange *x = u->exchange;
	struct gateway *g = u->endpoint->gateway;
	struct pf_gate_end end = {
		.request = x->core_handle,
		.outcome = outcome,
		.status = u->reply.status,
		.misdirected = u->reply.other_instance,
		.reset = reset,
	};

	if (outcome != PF_GATE_ANSWERED || u->reply.status >= 500)
		log_try_ended(u, outcome, reset);
	allowances_send_ended(x, outcome);
	x->upstream = NULL;
	u->exchange = NULL;
	endpoint_release_adapter(u->endpoint, u->adapter);
	u->adapter = 0;
	if (u->reusable) {
		u->in_body = false;
		pf_text_reset(&u->head_buf);
		add_idle(u);
	} else {
		upstream_free(u);
	}
	core_send_ended(g, &end);
}

/* Ends the send without a complete answer. */
static void end_send_lost(struct upstream *u, bool reset)
{
	u->reusable = false;
	u->reply.status = 0;
	end_send(u,
		 u->exchange->answer_head_sent && u->streaming ? PF_GATE_BROKEN
							       : PF_GATE_LOST,
		 reset);
}

/* Ends the send with a complete answer. @rest: number of bytes after it. */
static void end_send_answered(struct upstream *u, size_t rest)
{
	const struct pf_reply *r = &u->reply;
	pf_ms keep_alive =
		r->keep_alive >= 0 ? r->keep_alive : DEFAULT_KEEP_ALIVE_MS;

	if (u->streaming && exchange_has_partial_event(u->exchange)) {
		end_send_lost(u, u->body.framing == PF_H1_UNTIL_CLOSE);
		return;
	}
	/* Unsent bytes of this request would precede the next one. */
	if (rest > 0 || u->body.framing == PF_H1_UNTIL_CLOSE ||
	    pf_sock_queued(u->sock) > 0 || keep_alive <= KEEP_ALIVE_MARGIN_MS ||
	    u->endpoint->n_idle_conns >= IDLE_CONNS_MAX ||
	    u->endpoint->removed || endpoint_leaves(u->endpoint) ||
	    u->generation != u->endpoint->generation)
		u->reusable = false;
	u->idle_deadline = pf_clock_now() + keep_alive - KEEP_ALIVE_MARGIN_MS;
	end_send(u, r->not_run ? PF_GATE_NOT_RUN : PF_GATE_ANSWERED, false);
}

/* Whether this answers the request; a late answer to another may come first. */
static bool is_answer_to_request(const struct upstream *u,
				 const struct pf_h1_head *h)
{
	const struct pf_reply *r = &u->reply;

	if (r->other_request || (!r->has_request_id && u->reused))
		return false;
	return r->has_request_id || r->not_run || h->status >= 300;
}

static enum pf_h1_framing answer_framing(const struct pf_h1_head *h)
{
	if (h->chunked)
		return PF_H1_CHUNKED;
	if (h->status == 204 || h->status == 304)
		return PF_H1_CONTENT_LENGTH;
	return h->content_length >= 0 ? PF_H1_CONTENT_LENGTH
				      : PF_H1_UNTIL_CLOSE;
}

static bool is_event_stream(const struct exchange *x,
			    const struct pf_h1_head *h)
{
	return (x->kind == PF_ROUTE_STREAM || x->kind == PF_ROUTE_RESUMABLE) &&
	       h->status == 200;
}

/* The endpoint leaves: it gets no new requests, and needs no idle connections.
 * Requests that it is running end as usual. */
static void note_leaving(struct upstream *u)
{
	struct pf_gate_msg m = { .type = PF_GATE_LEAVING };
	struct endpoint *e = u->endpoint;
	struct gateway *g = e->gateway;

	if (!u->reply.leaving || e->left_incarnation == u->incarnation)
		return;
	e->left_incarnation = u->incarnation;
	g->counters->v[PF_GC_LEAVING]++;
	PF_LOG(&g->log, PF_LOG_INFO, "endpoint_leaving",
	       PF_KV_STR("endpoint", e->info.instance),
	       PF_KV_TEXT("id", u->exchange->inbound.id),
	       PF_KV_INT("status", u->reply.status));
	if (endpoint_leaves(e))
		upstream_close_idle(e);
	m.u.leaving.endpoint = e->info.id;
	m.u.leaving.incarnation = u->incarnation;
	talk_endpoint_leaving(g, e->info.id, u->incarnation);
	core_step(g, &m);
}

static void log_bad_retry_after(struct upstream *u, const char *why)
{
	struct gateway *g = u->endpoint->gateway;

	g->counters->v[PF_GC_BAD_RETRY_AFTER]++;
	PF_LOG(&g->log, PF_LOG_WARN, "bad_retry_after",
	       PF_KV_TEXT("id", u->exchange->inbound.id),
	       PF_KV_STR("endpoint", u->endpoint->info.instance),
	       PF_KV_INT("status", u->reply.status), PF_KV_STR("why", why));
}

static void note_backoff(struct upstream *u)
{
	struct pf_gate_msg m = { .type = PF_GATE_BACKOFF };
	struct endpoint *e = u->endpoint;
	struct gateway *g = e->gateway;
	pf_ms span = pf_gate_backoff(&u->reply);

	if (u->reply.bad_retry_after)
		log_bad_retry_after(u, "not a number of seconds");
	if (!span)
		return;
	if (span < u->reply.retry_after)
		log_bad_retry_after(u, "too long");
	g->counters->v[PF_GC_BACKOFFS]++;
	PF_LOG(&g->log, PF_LOG_INFO, "backoff",
	       PF_KV_STR("endpoint", e->info.instance),
	       PF_KV_TEXT("id", u->exchange->inbound.id),
	       PF_KV_INT("status", u->reply.status), PF_KV_INT("ms", span));
	m.u.backoff.endpoint = e->info.id;
	m.u.backoff.incarnation = u->incarnation;
	m.u.backoff.span = span;
	core_step(g, &m);
}

static void log_bad_limit(struct upstream *u)
{
	struct gateway *g = u->endpoint->gateway;

	g->counters->v[PF_GC_BAD_LIMIT]++;
	PF_LOG(&g->log, PF_LOG_WARN, "bad_limit",
	       PF_KV_TEXT("id", u->exchange->inbound.id),
	       PF_KV_STR("endpoint", u->endpoint->info.instance));
}

/* An endpoint in need names how many requests a second it takes. */
static void note_limit(struct upstream *u)
{
	struct pf_gate_msg m = { .type = PF_GATE_LIMIT };
	double limit = u->reply.limit_per_s;
	struct endpoint *e = u->endpoint;
	struct gateway *g = e->gateway;

	if (u->reply.bad_limit) {
		log_bad_limit(u);
		return;
	}
	if (limit != e->limit_per_s && u->incarnation == e->info.incarnation) {
		e->limit_per_s = limit;
		g->counters->v[PF_GC_LIMITS]++;
		PF_LOG(&g->log, PF_LOG_INFO, "limit",
		       PF_KV_STR("endpoint", e->info.instance),
		       PF_KV_TEXT("id", u->exchange->inbound.id),
		       PF_KV_REAL("per_s", limit));
	}
	if (limit < 0 &&
	    !pf_gate_has_limit(g->core, e->info.id, u->incarnation))
		return;
	m.u.limit.endpoint = e->info.id;
	m.u.limit.incarnation = u->incarnation;
	m.u.limit.per_s = limit;
	m.u.limit.sent_at = u->sent_at;
	core_step(g, &m);
}

static void log_too_long(struct upstream *u, const char *what)
{
	struct gateway *g = u->endpoint->gateway;

	g->counters->v[PF_GC_TOO_LONG]++;
	PF_LOG(&g->log, PF_LOG_WARN, "answer_too_long",
	       PF_KV_TEXT("id", u->exchange->inbound.id),
	       PF_KV_STR("endpoint", u->endpoint->info.instance),
	       PF_KV_STR("what", what));
}

/*
 * Parses the next head in head_buf. Returns its length, with *@h and the reply;
 * 0: incomplete; -1: malformed or too long.
 */
static int64_t next_head(struct upstream *u, struct pf_h1_head *h)
{
	struct pf_str in = pf_text_str(&u->head_buf);
	size_t n = pf_h1_head_end(in);

	if (u->interim_bytes + (n ? n : in.n) >= ANSWER_HEAD_BYTES_MAX) {
		log_too_long(u, "head");
		return -1;
	}
	if (n == 0)
		return 0;
	if (pf_h1_parse_response((struct pf_str){ in.p, n }, h) < 0)
		return -1;
	platform_decode_reply(h, u->exchange->inbound.id, &u->reply);
	note_leaving(u);
	note_backoff(u);
	return (int64_t)n;
}

/* Returns 0: head parsed; 1: incomplete; -1: the send has ended. */
static int parse_head(struct upstream *u)
{
	struct pf_h1_head h;
	int64_t n;

	while ((n = next_head(u, &h)) > 0 && h.status < 200) {
		u->interim_bytes += (size_t)n;
		pf_text_drop(&u->head_buf, (size_t)n);
	}
	if (n == 0)
		return 1;
	if (n < 0) {
		end_send_lost(u, false);
		return -1;
	}
	if (!is_answer_to_request(u, &h)) {
		PF_LOG(&u->endpoint->gateway->log, PF_LOG_WARN, "stray_answer",
		       PF_KV_TEXT("id", u->exchange->inbound.id),
		       PF_KV_STR("endpoint", u->endpoint->info.instance),
		       PF_KV_INT("status", h.status));
		end_send_lost(u, false);
		return -1;
	}
	note_limit(u);
	u->reusable = !h.close;
	u->streaming = is_event_stream(u->exchange, &h);
	pf_h1_body_start(&u->body, answer_framing(&h), h.content_length);
	exchange_start_answer(u->exchange, &h);
	pf_text_drop(&u->head_buf, (size_t)n);
	u->in_body = true;
	u->body_at = pf_clock_now();
	return 0;
}

/* Whether the bytes that are not forwarded yet take too much memory. */
static bool answer_too_long(const struct upstream *u)
{
	const struct exchange *x = u->exchange;
	size_t total = 0;

	if (u->streaming)
		return x->answer_body.n > EVENT_BYTES_MAX;
	if (x->answer_body.n <= ANSWER_START_BYTES)
		return false;
	LIST_FOREACH(x, &u->endpoint->gateway->exchanges, next)
	total += x->answer_body.n;
	return u->exchange->answer_body.n > ANSWER_BODY_BYTES_MAX ||
	       total > ANSWERS_BYTES_MAX;
}

/* Reads bytes of the body; may end the send. */
static void read_body(struct upstream *u, struct pf_str in)
{
	struct exchange *x = u->exchange;
	int64_t n = pf_h1_body_feed(&u->body, in, &x->answer_body);
	bool ended = u->body.ended;

	if (n < 0) {
		end_send_lost(u, false);
		return;
	}
	if (u->streaming)
		exchange_forward_events(x);
	if (answer_too_long(u)) {
		log_too_long(u, u->streaming ? "event" : "body");
		end_send_lost(u, false);
		return;
	}
	if (ended) {
		end_send_answered(u, in.n - (size_t)n);
		return;
	}
	caller_note_buffers(x->caller);
	caller_pace(x->caller);
}

static void on_data(void *ctx, struct pf_str in)
{
	struct upstream *u = ctx;
	struct pf_text head_buf;

	if (!u->exchange) {
		/* An idle connection: these bytes answer no request. */
		upstream_free(u);
		return;
	}
	if (u->in_body) {
		read_body(u, in);
		return;
	}
	pf_text_add(&u->head_buf, in);
	if (u->head_buf.failed) {
		end_send_lost(u, false);
		return;
	}
	if (parse_head(u) != 0)
		return;
	/* read_body() may free @u while it reads these bytes. */
	head_buf = u->head_buf;
	memset(&u->head_buf, 0, sizeof(u->head_buf));
	read_body(u, pf_text_str(&head_buf));
	pf_text_free(&head_buf);
}

static void on_closed(void *ctx, enum pf_sock_end why)
{
	struct upstream *u = ctx;

	if (!u->exchange) {
		upstream_free(u);
		return;
	}
	u->reusable = false;
	if (why == PF_SOCK_NOT_CONNECTED)
		end_send(u, PF_GATE_UNSENT, true);
	else if (why == PF_SOCK_EOF && u->in_body &&
		 u->body.framing == PF_H1_UNTIL_CLOSE &&
		 !(u->streaming && exchange_is_empty(u->exchange)))
		end_send_answered(u, 0);
	else
		end_send_lost(u, true);
}

/* The time that is left counts from now: connecting may have taken a while. */
static void write_request(struct upstream *u)
{
	struct exchange *x = u->exchange;
	struct pf_text *t = &x->gateway->scratch;
	pf_ms left = u->send_deadline - pf_clock_now();
	struct pf_forward f = {
		.instance = pf_str_c(u->endpoint->info.instance),
		.time_left = left > 1 ? left : 1,
		.priority = u->priority,
		.last_event = x->last_event_id,
		.body = x->body.n,
		.account = pf_str_c(x->account_name),
	};

	pf_text_reset(t);
	platform_encode_request(&x->head, &f, t);
	/* A large body isn't copied once more. */
	if (x->body.n <= PF_BUFFER_WINDOW)
		pf_text_add(t, pf_text_str(&x->body));
	allowances_request_written(x);
	if (!t->failed)
		pf_sock_write(u->sock, pf_text_str(t));
	if (!t->failed && x->body.n > PF_BUFFER_WINDOW)
		pf_sock_write(u->sock, pf_text_str(&x->body));
	caller_note_buffers(x->caller);
}

/* Writes the request; the connection of a probe becomes an idle one. */
static void on_connected(void *ctx)
{
	struct pf_gate_msg m = { .type = PF_GATE_REACHABLE };
	struct upstream *u = ctx;
	struct endpoint *e = u->endpoint;

	if (u->exchange) {
		write_request(u);
		return;
	}
	if (e->removed || u->generation != e->generation) {
		upstream_free(u);
		return;
	}
	u->idle_deadline =
		pf_clock_now() + DEFAULT_KEEP_ALIVE_MS - KEEP_ALIVE_MARGIN_MS;
	if (endpoint_leaves(e))
		upstream_free(u);
	else
		add_idle(u);
	m.u.id = e->info.id;
	core_step(e->gateway, &m);
}

static void on_sent(void *ctx)
{
	struct upstream *u = ctx;

	if (u->exchange)
		caller_note_buffers(u->exchange->caller);
}

static const struct pf_sock_cbs upstream_cbs = { on_data, on_closed,
						 on_connected, on_sent };

/*
 * The connection used most recently. Not one on which @request was answered
 * before: a second copy of that answer would pass for the answer to this send.
 */
static struct upstream *take_idle(struct endpoint *e, uint64_t request,
				  bool at_most_once)
{
	pf_ms now = pf_clock_now();
	struct upstream *u;

	LIST_FOREACH(u, &e->idle_conns, next)
	{
		if (now >= u->idle_deadline ||
		    (at_most_once &&
		     now - u->idle_since > AT_MOST_ONCE_IDLE_MAX_MS))
			return NULL;
		if (u->request != request)
			break;
	}
	if (!u)
		return NULL;
	LIST_REMOVE(u, next);
	e->n_idle_conns--;
	u->idle_since = 0;
	u->reused = true;
	return u;
}

static struct upstream *connect_to(struct endpoint *e)
{
	struct upstream *u = calloc(1, sizeof(*u));

	if (!u)
		return NULL;
	u->endpoint = e;
	u->incarnation = e->info.incarnation;
	u->generation = e->generation;
	u->sock = pf_sock_connect(e->gateway->base, e->info.addr,
				  CONNECT_TIMEOUT_MS, UNACKED_MAX_MS,
				  &upstream_cbs, u);
	if (!u->sock) {
		free(u);
		return NULL;
	}
	e->refs++;
	return u;
}

static void log_send(struct exchange *x, const struct endpoint *e,
		     const struct pf_gate_act *a, bool reused)
{
	PF_LOG(&x->gateway->log, PF_LOG_INFO, "sent",
	       PF_KV_TEXT("id", x->inbound.id),
	       PF_KV_STR("endpoint", e->info.instance),
	       PF_KV_STR("version", e->info.software_version),
	       PF_KV_TEXT("resumes", x->inbound.resumes),
	       PF_KV_INT("last_event", x->last_event_id),
	       PF_KV_INT("try", a->u.send.prior_sends + 1),
	       PF_KV_INT("expected_ms", a->u.send.expected_first_event),
	       PF_KV_INT("cached", a->u.send.cached_tokens),
	       PF_KV_INT("prompt", x->inbound.prompt_tokens),
	       PF_KV_INT("max_tokens", x->inbound.max_tokens),
	       PF_KV_INT("hint", x->inbound.output_hint),
	       PF_KV_INT("reused", reused));
}

void upstream_send(struct exchange *x, const struct pf_gate_act *a)
{
	struct endpoint *e = endpoint_find(x->gateway, a->u.send.endpoint);
	struct pf_gate_end unsent = { .request = x->core_handle,
				      .outcome = PF_GATE_UNSENT };
	uint64_t request = pf_id(x->inbound.id);
	struct upstream *u =
		e ? take_idle(e, request, a->u.send.at_most_once) : NULL;
	bool connected = u != NULL;
	pf_ms now = pf_clock_now();

	x->n_sends++;
	if (!u && e)
		u = connect_to(e);
	if (!u) {
		core_send_ended(x->gateway, &unsent);
		return;
	}
	u->exchange = x;
	u->request = request;
	x->upstream = u;
	u->in_body = false;
	u->interim_bytes = 0;
	u->sent_at = now;
	u->send_deadline = u->sent_at + a->u.send.time_left;
	u->priority = a->u.send.priority;
	u->body_at = 0;
	u->streaming = false;
	u->paused = false;
	u->reusable = false;
	memset(&u->reply, 0, sizeof(u->reply));
	u->adapter = x->inbound.adapter;
	endpoint_use_adapter(e, u->adapter);
	log_send(x, e, a, u->reused);
	if (connected)
		write_request(u);
}

void upstream_probe(struct gateway *g, uint64_t endpoint)
{
	struct endpoint *e = endpoint_find(g, endpoint);

	/* Without a connection the endpoint counts as unreachable. */
	if (e && !connect_to(e))
		PF_LOG(&g->log, PF_LOG_WARN, "probe_failed",
		       PF_KV_STR("endpoint", e->info.instance));
}

/* Closes the expired idle connections, or all. */
static void close_idle(struct endpoint *e, bool all)
{
	struct upstream *u = LIST_FIRST(&e->idle_conns);
	pf_ms now = pf_clock_now();
	struct upstream *next;

	for (; u; u = next) {
		next = LIST_NEXT(u, next);
		if (all || now >= u->idle_deadline)
			upstream_free(u);
	}
}

void upstream_close_idle(struct endpoint *e)
{
	close_idle(e, true);
}

void upstream_close_expired(struct gateway *g)
{
	struct endpoint *e;

	LIST_FOREACH(e, &g->endpoints, next)
	close_idle(e, e->removed);
}
