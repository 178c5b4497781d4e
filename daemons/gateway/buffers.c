/*
 * Bounds the memory of callers' connections: tells the buffer budget what each
 * of them holds, and carries out its decisions.
 */
#include "gateway.h"

#include "pimentoford/buffer_budget.h"
#include "pimentoford/counters.h"

#include <stdlib.h>

/* The rest is for the process itself, the heap's overhead and the copies that
 * are made while buffers grow. */
#define MEMORY_SHARE 0.4
/* Those beyond share one part of the bound. */
#define ACCOUNTS_MAX 4096

struct buffers {
	struct gateway *gateway;
	struct pf_buffer_budget *budget;
	struct event *excess_ev;
	bool was_full;
};

/* The bound was reached, or is well undercut again. */
static void log_if_full_changed(struct buffers *b)
{
	struct pf_buffer_stats s;

	pf_buffer_stats(b->budget, &s);
	if (s.full == b->was_full)
		return;
	b->was_full = s.full;
	PF_LOG(&b->gateway->log, s.full ? PF_LOG_WARN : PF_LOG_INFO,
	       s.full ? "buffers_full" : "buffers_free",
	       PF_KV_INT("limit", s.limit),
	       PF_KV_INT("requests", s.held.request),
	       PF_KV_INT("responses", s.held.response),
	       PF_KV_INT("unsent", s.held.unsent),
	       PF_KV_INT("accounts", s.accounts),
	       PF_KV_INT("paused", s.paused));
}

static void end_holder(struct buffers *b, const struct pf_buffer_holder *h)
{
	struct gateway *g = b->gateway;

	g->counters->v[PF_GC_BUFFERS_ENDED]++;
	PF_LOG(&g->log, PF_LOG_WARN, "slow_reader_ended",
	       PF_KV_INT("request", h->held.request),
	       PF_KV_INT("response", h->held.response),
	       PF_KV_INT("unsent", h->held.unsent),
	       PF_KV_INT("idle_ms", pf_clock_now() - h->read_at));
	caller_end_slow(h->ctx);
}

static void on_excess(evutil_socket_t fd, short what, void *ctx)
{
	struct buffers *b = ctx;
	struct pf_buffer_holder *h;

	(void)fd;
	(void)what;
	log_if_full_changed(b);
	while ((h = pf_buffer_excess(b->budget, pf_clock_now())))
		end_holder(b, h);
}

static bool equal_amounts(const struct pf_buffer_amounts *a,
			  const struct pf_buffer_amounts *b)
{
	return a->request == b->request && a->response == b->response &&
	       a->unsent == b->unsent;
}

void buffers_set(struct gateway *g, struct pf_buffer_holder *h,
		 uint64_t account, const struct pf_buffer_amounts *a,
		 bool reads)
{
	struct buffers *b = g->buffers;

	if (equal_amounts(a, &h->held) && account == h->account_id &&
	    (!reads || a->response == 0))
		return;
	pf_buffer_set(b->budget, pf_clock_now(), h, account, a, reads);
	/* Not from here: the connection that ends may be in use. */
	if (pf_buffer_excess(b->budget, pf_clock_now()))
		event_active(b->excess_ev, 0, 0);
}

void buffers_remove(struct gateway *g, struct pf_buffer_holder *h)
{
	pf_buffer_remove(g->buffers->budget, h);
}

bool buffers_admit(struct gateway *g, const struct pf_buffer_holder *h,
		   size_t n)
{
	struct buffers *b = g->buffers;
	struct pf_buffer_holder *end;
	enum pf_buffer_verdict v;

	while ((v = pf_buffer_ask(b->budget, pf_clock_now(), h, (int64_t)n,
				  &end)) == PF_BUFFER_END)
		end_holder(b, end);
	if (v == PF_BUFFER_FITS)
		return true;
	g->counters->v[PF_GC_BUFFERS_REJECTED]++;
	log_if_full_changed(b);
	return false;
}

void buffers_pace(struct gateway *g, struct pf_buffer_holder *h,
		  struct exchange *x)
{
	struct buffers *b = g->buffers;
	bool paused = x && x->upstream && x->upstream->paused;
	bool pause =
		x && upstream_may_pause(x) && pf_buffer_pauses(b->budget, h);

	pf_buffer_set_paused(b->budget, h, pause);
	if (pause == paused)
		return;
	g->counters->v[PF_GC_READS_PAUSED] += pause;
	upstream_pause(x, pause);
}

void buffers_sweep(struct gateway *g)
{
	struct buffers *b = g->buffers;
	struct pf_buffer_holder *h;

	while ((h = pf_buffer_resumable(b->budget)))
		caller_pace(h->ctx);
	log_if_full_changed(b);
}

void buffers_set_counters(const struct gateway *g,
			  struct pf_gateway_counters *c)
{
	struct pf_buffer_stats s;

	pf_buffer_stats(g->buffers->budget, &s);
	c->v[PF_GC_BUFFERS_REQUESTS] = (uint64_t)s.held.request;
	c->v[PF_GC_BUFFERS_RESPONSES] = (uint64_t)s.held.response;
	c->v[PF_GC_BUFFERS_UNSENT] = (uint64_t)s.held.unsent;
	c->v[PF_GC_BUFFERS_LIMIT] = (uint64_t)s.limit;
	c->v[PF_GC_READS_PAUSED_NOW] = s.paused;
}

int buffers_start(struct gateway *g)
{
	const struct pf_buffer_opts o = {
		.limit = (int64_t)(MEMORY_SHARE *
				   (double)g->settings.memory_limit),
		.accounts_max = ACCOUNTS_MAX,
	};
	struct buffers *b = calloc(1, sizeof(*b));

	g->buffers = b;
	if (!b)
		return -1;
	b->gateway = g;
	b->budget = pf_buffer_new(&o);
	b->excess_ev = event_new(g->base, -1, 0, on_excess, b);
	return b->budget && b->excess_ev ? 0 : -1;
}

void buffers_stop(struct gateway *g)
{
	if (!g->buffers)
		return;
	if (g->buffers->excess_ev)
		event_free(g->buffers->excess_ev);
	pf_buffer_free(g->buffers->budget);
	free(g->buffers);
}
