/* Connections to endpoints: one try at a time, bound to one incarnation. */
#include "gateway.h"

#include <stdlib.h>
#include <string.h>

/* A connection that does not stand by then counts as refused. */
#define CONNECT_MS 450
/* Sent bytes that stay unacknowledged so long: the connection is dead. */
#define SILENCE_MS 2000
/* An endpoint that does not say how long a connection may stay idle. */
#define KEEP_MS 2000
/* An idle connection ends so long before the endpoint would end it. */
#define KEEP_SPARE_MS 700
/* What may run only once goes on a connection that was used just now: the
 * endpoint may close an older one while the request is on its way. */
#define ONCE_IDLE_MS 600
#define IDLE_MAX 16
#define HEAD_MAX 32768

static void upstream_free(struct upstream *u)
{
	struct target *t = u->target;

	target_unuse(t, u->adapter);
	if (u->x)
		u->x->up = NULL;
	else if (u->idle_since)
		t->n_idle--;
	if (u->idle_since)
		LIST_REMOVE(u, next);
	pf_sock_free(u->sock);
	pf_text_free(&u->in);
	free(u);
	target_put(t);
}

void upstream_drop(struct exchange *x)
{
	if (x->up)
		upstream_free(x->up);
}

/* Ends the try; the connection is closed unless it may be used again. */
static void ended(struct upstream *u, enum pf_gate_outcome outcome, bool reset)
{
	struct exchange *x = u->x;
	struct gateway *g = u->target->g;
	struct pf_gate_end end = {
		.request = x->handle,
		.outcome = outcome,
		.status = u->reply.status,
		.retry_after = u->reply.retry_after,
		.misdirected = u->reply.other_instance,
		.reset = reset,
	};

	if (outcome != PF_GATE_ANSWERED || u->reply.status >= 500)
		PF_LOG(&g->log, PF_LOG_INFO, "try_ended",
		       PF_KV_TEXT("id", x->in.id),
		       PF_KV_STR("endpoint", u->target->listed.instance),
		       PF_KV_STR("outcome", pf_gate_outcome_code(outcome)),
		       PF_KV_INT("status", u->reply.status),
		       PF_KV_INT("reset", reset));
	x->up = NULL;
	u->x = NULL;
	target_unuse(u->target, u->adapter);
	u->adapter = 0;
	if (u->keep) {
		u->idle_since = pf_clock_now();
		u->in_body = false;
		pf_text_reset(&u->in);
		LIST_INSERT_HEAD(&u->target->idle, u, next);
		u->target->n_idle++;
	} else {
		upstream_free(u);
	}
	core_ended(g, &end);
}

/* The try ends without a whole answer. */
static void lost(struct upstream *u, bool reset)
{
	u->keep = false;
	u->reply.status = 0;
	ended(u,
	      u->x->head_sent && u->streaming ? PF_GATE_BROKEN : PF_GATE_LOST,
	      reset);
}

/* The body is whole; @rest: bytes that came behind it. */
static void answered(struct upstream *u, size_t rest)
{
	const struct pf_reply *r = &u->reply;
	pf_ms keep = r->keep >= 0 ? r->keep : KEEP_MS;

	if (u->streaming && exchange_torn(u->x)) {
		lost(u, false);
		return;
	}
	/* A request that is still being sent must not be cut by the next. */
	if (rest > 0 || u->body.framing == PF_H1_UNTIL_CLOSE ||
	    pf_sock_queued(u->sock) > 0 || keep <= KEEP_SPARE_MS ||
	    u->target->n_idle >= IDLE_MAX || u->target->gone)
		u->keep = false;
	u->keep_until = pf_clock_now() + keep - KEEP_SPARE_MS;
	ended(u, r->not_run ? PF_GATE_NOT_RUN : PF_GATE_ANSWERED, false);
}

/* Whether the head fits the request; a stray answer may come first. */
static bool ours(const struct upstream *u, const struct pf_h1_head *h)
{
	const struct pf_reply *r = &u->reply;

	if (r->other_request || (!r->named && u->reused))
		return false;
	return r->named || r->not_run || h->status >= 300;
}

static enum pf_h1_framing framing_of(const struct pf_h1_head *h)
{
	if (h->chunked)
		return PF_H1_CHUNKED;
	if (h->status == 204 || h->status == 304)
		return PF_H1_LENGTH;
	return h->length >= 0 ? PF_H1_LENGTH : PF_H1_UNTIL_CLOSE;
}

static bool is_stream(const struct exchange *x, const struct pf_h1_head *h)
{
	return (x->kind == PF_ROUTE_STREAM || x->kind == PF_ROUTE_RESUMABLE) &&
	       h->status == 200;
}

/* 0: the head was taken; 1: it is not whole; -1: the try has ended. */
static int take_head(struct upstream *u)
{
	struct pf_str in = pf_text_str(&u->in);
	size_t n = pf_h1_head_end(in);
	struct pf_h1_head h;

	if (n == 0 && in.n < HEAD_MAX)
		return 1;
	if (n == 0 || pf_h1_answer((struct pf_str){ in.p, n }, &h) < 0) {
		lost(u, false);
		return -1;
	}
	platform_reply(&h, u->x->in.id, &u->reply);
	if (h.status < 200) {
		pf_text_drop(&u->in, n);
		return take_head(u);
	}
	if (!ours(u, &h)) {
		PF_LOG(&u->target->g->log, PF_LOG_WARN, "stray_answer",
		       PF_KV_TEXT("id", u->x->in.id),
		       PF_KV_STR("endpoint", u->target->listed.instance),
		       PF_KV_INT("status", h.status));
		lost(u, false);
		return -1;
	}
	u->keep = !h.close;
	u->streaming = is_stream(u->x, &h);
	pf_h1_body_start(&u->body, framing_of(&h), h.length);
	exchange_head(u->x, &h);
	pf_text_drop(&u->in, n);
	u->in_body = true;
	return 0;
}

/* Takes bytes of the body; the try may have ended then. */
static void take_body(struct upstream *u, struct pf_str in)
{
	struct exchange *x = u->x;
	int64_t n = pf_h1_body_take(&u->body, in, &x->answer);
	bool over = u->body.ended;

	if (n < 0) {
		lost(u, false);
		return;
	}
	if (u->streaming)
		exchange_events(x);
	if (over)
		answered(u, in.n - (size_t)n);
}

static void on_data(void *ctx, struct pf_str in)
{
	struct upstream *u = ctx;
	struct pf_text first;

	if (!u->x) {
		/* Nothing was asked: these bytes belong to no request. */
		upstream_free(u);
		return;
	}
	if (u->in_body) {
		take_body(u, in);
		return;
	}
	pf_text_add(&u->in, in);
	if (u->in.failed) {
		lost(u, false);
		return;
	}
	if (take_head(u) != 0)
		return;
	/* The rest of the head's bytes may outlive the connection. */
	first = u->in;
	memset(&u->in, 0, sizeof(u->in));
	take_body(u, pf_text_str(&first));
	pf_text_free(&first);
}

static void on_closed(void *ctx, enum pf_sock_end why)
{
	struct upstream *u = ctx;

	if (!u->x) {
		upstream_free(u);
		return;
	}
	u->keep = false;
	if (why == PF_SOCK_NOT_CONNECTED)
		ended(u, PF_GATE_UNSENT, true);
	else if (why == PF_SOCK_EOF && u->in_body &&
		 u->body.framing == PF_H1_UNTIL_CLOSE)
		answered(u, 0);
	else
		lost(u, true);
}

static const struct pf_sock_cbs upstream_cbs = { on_data, on_closed };

static struct upstream *take_idle(struct target *t, bool once)
{
	struct upstream *u = LIST_FIRST(&t->idle);
	pf_ms now = pf_clock_now();

	/* The newest is first. */
	if (!u || now >= u->keep_until ||
	    (once && now - u->idle_since > ONCE_IDLE_MS))
		return NULL;
	LIST_REMOVE(u, next);
	t->n_idle--;
	u->idle_since = 0;
	u->reused = true;
	return u;
}

static struct upstream *connect_to(struct target *t)
{
	struct upstream *u = calloc(1, sizeof(*u));

	if (!u)
		return NULL;
	u->target = t;
	u->sock = pf_sock_connect(t->g->base, t->listed.addr, CONNECT_MS,
				  SILENCE_MS, &upstream_cbs, u);
	if (!u->sock) {
		free(u);
		return NULL;
	}
	t->refs++;
	return u;
}

static void write_request(struct upstream *u, const struct pf_gate_act *a)
{
	struct exchange *x = u->x;
	struct pf_text *t = &x->g->scratch;
	struct pf_forward f = {
		.instance = pf_str_c(u->target->listed.instance),
		.budget = a->u.send.time_left,
		.priority = a->u.send.priority,
		.last_event = x->last_event,
		.body = x->body.n,
	};

	pf_text_reset(t);
	platform_forward(&x->head, &f, t);
	pf_text_add(t, pf_text_str(&x->body));
	if (!t->failed)
		pf_sock_write(u->sock, pf_text_str(t));
}

static void log_send(struct exchange *x, const struct target *t,
		     const struct pf_gate_act *a, bool reused)
{
	PF_LOG(&x->g->log, PF_LOG_INFO, "sent", PF_KV_TEXT("id", x->in.id),
	       PF_KV_STR("endpoint", t->listed.instance),
	       PF_KV_INT("try", a->u.send.prior_sends + 1),
	       PF_KV_INT("expected_ms", a->u.send.expected_first_event),
	       PF_KV_INT("cached", a->u.send.cached_tokens),
	       PF_KV_INT("prompt", x->in.prompt_tokens),
	       PF_KV_INT("max_tokens", x->in.max_tokens),
	       PF_KV_INT("hint", x->in.output_hint),
	       PF_KV_INT("reused", reused));
}

void upstream_send(struct exchange *x, const struct pf_gate_act *a)
{
	struct target *t = target_find(x->g, a->u.send.endpoint);
	struct pf_gate_end unsent = { .request = x->handle,
				      .outcome = PF_GATE_UNSENT,
				      .retry_after = -1 };
	struct upstream *u = t ? take_idle(t, a->u.send.at_most_once) : NULL;

	x->tries++;
	if (!u && t)
		u = connect_to(t);
	if (!u) {
		core_ended(x->g, &unsent);
		return;
	}
	u->x = x;
	x->up = u;
	u->in_body = false;
	u->streaming = false;
	u->keep = false;
	memset(&u->reply, 0, sizeof(u->reply));
	u->adapter = x->in.adapter;
	target_use(t, u->adapter);
	log_send(x, t, a, u->reused);
	write_request(u, a);
}

/* Ends idle connections whose time is over, or all. */
static void end_idle(struct target *t, bool all)
{
	struct upstream *u = LIST_FIRST(&t->idle);
	pf_ms now = pf_clock_now();
	struct upstream *next;

	for (; u; u = next) {
		next = LIST_NEXT(u, next);
		if (all || now >= u->keep_until)
			upstream_free(u);
	}
}

void upstream_close_idle(struct target *t)
{
	end_idle(t, true);
}

void upstream_sweep(struct gateway *g)
{
	struct target *t;

	LIST_FOREACH(t, &g->targets, next)
	end_idle(t, t->gone);
}
