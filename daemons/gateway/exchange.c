/*
 * A request between its caller and an endpoint. Answers pass byte for byte;
 * of a stream only whole events pass, so that another endpoint can go on
 * where one broke off.
 */
#include "gateway.h"

#include "pimentoford/counters.h"
#include "pimentoford/http1.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

static uint64_t fingerprint_of(const struct pf_inbound *in,
			       const struct pf_h1_head *h,
			       const struct pf_text *body)
{
	uint64_t f = XXH64(body->p, body->n, 0);

	return pf_id2(pf_id2(pf_id(in->host), pf_id(h->target)), f);
}

/* A parsed head that borrows a copy of its bytes. */
static int take_request(struct exchange *x, struct pf_text *head,
			struct pf_text *body)
{
	x->head_text = *head;
	x->body = *body;
	memset(head, 0, sizeof(*head));
	memset(body, 0, sizeof(*body));
	return platform_call(&x->head, &x->in);
}

static const char *phrase_of(int status)
{
	switch (status) {
	case 400:
		return "Bad Request";
	case 404:
		return "Not Found";
	case 408:
		return "Request Timeout";
	case 413:
		return "Content Too Large";
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

/* An answer of our own. */
static void answer(struct caller *c, int status, const char *code,
		   struct pf_str id, pf_ms retry_after)
{
	struct pf_text t = { 0 };
	struct pf_text body = { 0 };

	pf_text_printf(&body, "{\"error\":\"%s\"}\n", code);
	pf_text_printf(&t, "HTTP/1.1 %d %s\r\n", status, phrase_of(status));
	platform_echo(id, &t);
	if (retry_after >= 0)
		platform_retry_after(retry_after, &t);
	pf_text_printf(&t,
		       "Content-Type: application/json\r\n"
		       "Content-Length: %zu\r\n%s\r\n",
		       body.n,
		       caller_closing(c) ? "Connection: close\r\n" : "");
	pf_text_add(&t, pf_text_str(&body));
	if (!t.failed)
		caller_write(c, pf_text_str(&t));
	pf_text_free(&t);
	pf_text_free(&body);
}

void exchange_refuse_early(struct caller *c, int status, const char *code)
{
	answer(c, status, code, PF_STR(""), -1);
}

void exchange_free(struct exchange *x)
{
	upstream_drop(x);
	core_forget(x->g, x->handle);
	LIST_REMOVE(x, next);
	pf_text_free(&x->head_text);
	pf_text_free(&x->body);
	pf_text_free(&x->answer_head);
	pf_text_free(&x->answer);
	free(x);
}

static void end(struct exchange *x)
{
	struct caller *c = x->caller;

	exchange_free(x);
	if (c)
		caller_answered(c);
}

static void log_end(struct exchange *x, const char *event, int status,
		    const char *why)
{
	struct gateway *g = x->g;

	PF_LOG(&g->log, PF_LOG_INFO, event, PF_KV_TEXT("id", x->in.id),
	       PF_KV_INT("status", status), PF_KV_STR("why", why),
	       PF_KV_TEXT("model", x->in.model_name),
	       PF_KV_INT("ms", pf_clock_now() - x->arrived),
	       PF_KV_INT("first_ms",
			 x->first_at ? x->first_at - x->arrived : -1),
	       PF_KV_INT("tries", x->tries));
}

void exchange_hangup(struct exchange *x)
{
	struct pf_gate_msg m = { .type = PF_GATE_HANGUP };
	struct gateway *g = x->g;

	x->caller = NULL;
	m.u.request = x->handle;
	core_step(g, &m);
	exchange_free(x);
}

static const struct pf_route *find_route(struct gateway *g, struct exchange *x,
					 int *status, const char **code)
{
	const struct pf_route *route;

	*status = 503;
	*code = "leaving";
	if (g->leaving)
		return NULL;
	*code = "no_configuration";
	if (!g->routes)
		return NULL;
	route = pf_routes_find(g->routes, x->in.host, x->head.target);
	*status = 404;
	*code = "no_route";
	return route;
}

/* How long until a configuration may be there; another gateway may have one. */
#define CONFIG_RETRY_MS 300

static void refuse_unrouted(struct exchange *x, int status, const char *code)
{
	struct caller *c = x->caller;

	log_end(x, "refused", status, code);
	answer(c, status, code, x->in.id, status == 503 ? CONFIG_RETRY_MS : -1);
	end(x);
}

void exchange_start(struct gateway *g, struct caller *c, struct pf_text *head,
		    const struct pf_h1_head *parsed, struct pf_text *body)
{
	struct pf_gate_msg m = { .type = PF_GATE_ARRIVE };
	struct exchange *x = calloc(1, sizeof(*x));
	const struct pf_route *route;
	const char *code = "malformed";
	int status = 400;

	if (!x) {
		answer(c, 503, "full", PF_STR(""), CONFIG_RETRY_MS);
		caller_answered(c);
		return;
	}
	x->g = g;
	x->caller = c;
	x->handle = UINT32_MAX; /* unknown to the core */
	x->head = *parsed;
	x->arrived = pf_clock_now();
	LIST_INSERT_HEAD(&g->exchanges, x, next);
	if (take_request(x, head, body) < 0) {
		refuse_unrouted(x, status, code);
		return;
	}
	route = find_route(g, x, &status, &code);
	if (!route) {
		refuse_unrouted(x, status, code);
		return;
	}
	x->kind = route->kind;
	x->last_event = x->in.last_event;
	m.u.arrival.ctx = x;
	m.u.arrival.route = route;
	m.u.arrival.in = &x->in;
	m.u.arrival.fingerprint = fingerprint_of(&x->in, &x->head, &x->body);
	m.u.arrival.handle = &x->handle;
	caller_set_exchange(c, x);
	core_step(g, &m);
}

/* Headers of an endpoint's answer that go on to the caller. */
static void add_headers(struct pf_text *out, const struct pf_h1_head *h)
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

void exchange_head(struct exchange *x, const struct pf_h1_head *h)
{
	pf_text_reset(&x->answer);
	x->status = h->status;
	/* A stream that goes on keeps the head that the caller has. */
	if (x->head_sent)
		return;
	pf_text_reset(&x->answer_head);
	add_headers(&x->answer_head, h);
}

/* Bytes of @t up to the end of its last whole event. */
static size_t whole_events(const struct pf_text *t)
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

bool exchange_torn(const struct exchange *x)
{
	return x->answer.n > 0;
}

/* The id of the last event in @s, or @dflt. */
static int64_t last_id(struct pf_str s, int64_t dflt)
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

static void send_chunk(struct exchange *x, size_t n)
{
	struct pf_text *t = &x->g->scratch;

	pf_text_reset(t);
	if (!x->head_sent) {
		pf_text_add(t, pf_text_str(&x->answer_head));
		if (caller_takes_chunks(x->caller))
			pf_text_add(t, PF_STR("Transfer-Encoding: "
					      "chunked\r\n"));
		pf_text_add(t, caller_closing(x->caller)
				       ? PF_STR("Connection: close\r\n\r\n")
				       : PF_STR("\r\n"));
		x->head_sent = true;
	}
	if (caller_takes_chunks(x->caller))
		pf_text_printf(t, "%zx\r\n", n);
	pf_text_add(t, (struct pf_str){ x->answer.p, n });
	if (caller_takes_chunks(x->caller))
		pf_text_add(t, PF_STR("\r\n"));
	if (!t->failed)
		caller_write(x->caller, pf_text_str(t));
}

/* Events in @s, which holds whole ones. */
static uint32_t count_events(struct pf_str s)
{
	uint32_t n = 0;
	size_t i;

	for (i = 1; i < s.n; i++)
		n += s.p[i] == '\n' && s.p[i - 1] == '\n';
	return n;
}

void exchange_events(struct exchange *x)
{
	struct pf_gate_msg m = { .type = PF_GATE_EVENTS };
	size_t n = whole_events(&x->answer);

	if (n == 0)
		return;
	x->last_event =
		last_id((struct pf_str){ x->answer.p, n }, x->last_event);
	if (!x->first_at) {
		x->first_at = pf_clock_now();
		pf_histogram_add(&x->g->counters->first,
				 x->first_at - x->arrived);
	}
	m.u.events.n = count_events((struct pf_str){ x->answer.p, n });
	send_chunk(x, n);
	pf_text_drop(&x->answer, n);
	m.u.events.request = x->handle;
	core_step(x->g, &m);
}

static void finish_stream(struct exchange *x)
{
	if (caller_takes_chunks(x->caller))
		caller_write(x->caller, PF_STR("0\r\n\r\n"));
	end(x);
}

void exchange_deliver(struct exchange *x)
{
	struct pf_text *t = &x->g->scratch;

	log_end(x, "answered", x->status, "");
	pf_histogram_add(&x->g->counters->whole, pf_clock_now() - x->arrived);
	if (x->head_sent) {
		finish_stream(x);
		return;
	}
	pf_text_reset(t);
	pf_text_add(t, pf_text_str(&x->answer_head));
	pf_text_printf(t, "Content-Length: %zu\r\n%s\r\n", x->answer.n,
		       caller_closing(x->caller) ? "Connection: close\r\n"
						 : "");
	pf_text_add(t, pf_text_str(&x->answer));
	if (!t->failed)
		caller_write(x->caller, pf_text_str(t));
	end(x);
}

/* Ends it with an answer of our own; part of another can only be cut. */
static void end_with(struct exchange *x, int status, const char *code,
		     pf_ms retry_after)
{
	struct caller *c = x->caller;

	if (x->head_sent) {
		exchange_free(x);
		caller_abort(c);
		return;
	}
	answer(c, status, code, x->in.id, retry_after);
	end(x);
}

void exchange_refuse(struct exchange *x, const struct pf_gate_act *a)
{
	const char *code = pf_gate_reason_code(a->u.refuse.reason);

	log_end(x, "refused", a->u.refuse.status, code);
	end_with(x, a->u.refuse.status, code, a->u.refuse.retry_after);
}

void exchange_fail(struct exchange *x, const struct pf_gate_act *a)
{
	const char *code = pf_gate_reason_code(a->u.fail.reason);

	log_end(x, "failed", a->u.fail.status, code);
	end_with(x, a->u.fail.status, code, -1);
}
