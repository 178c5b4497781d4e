/* Drives the gate core: passes it messages and ticks, executes its acts. */
#include "gateway.h"

#include "pimentoford/counters.h"

#include <stdlib.h>

static void cancel_send(struct exchange *x, const struct pf_gate_act *a)
{
	enum pf_gate_cancel why = a->u.cancel.reason;
	struct gateway *g = x->gateway;

	if (why == PF_GATE_CANCEL_STALLED)
		g->counters->v[PF_GC_STALLED]++;
	PF_LOG(&g->log, PF_LOG_INFO, "cancelled",
	       PF_KV_TEXT("id", x->inbound.id),
	       PF_KV_STR("endpoint",
			 x->upstream ? x->upstream->endpoint->info.instance
				     : ""),
	       PF_KV_STR("why", pf_gate_cancel_code(why)),
	       PF_KV_INT("silent_ms", a->u.cancel.silent),
	       PF_KV_INT("last_event", x->last_event_id));
	upstream_cancel(x);
	core_drop_deferred(g, x->core_handle);
}

/* The name of a prompt part, from the open requests; empty if none has it. */
static struct pf_str part_name(const struct gateway *g, uint64_t part)
{
	const struct exchange *x;
	uint32_t i;

	LIST_FOREACH(x, &g->exchanges, next)
	{
		for (i = 0; i < x->inbound.n_parts; i++) {
			if (x->inbound.parts[i].id == part)
				return x->inbound.parts[i].name;
		}
	}
	return PF_STR("");
}

static void log_quarantine(struct gateway *g, const struct pf_gate_act *a)
{
	if (!a->u.quarantine.released)
		g->counters->v[PF_GC_QUARANTINES]++;
	PF_LOG(&g->log, PF_LOG_WARN,
	       a->u.quarantine.released ? "part_released" : "part_quarantined",
	       PF_KV_TEXT("part", part_name(g, a->u.quarantine.part)),
	       PF_KV_INT("crashes", a->u.quarantine.crashes));
}

static void on_act(void *ctx, const struct pf_gate_act *a)
{
	switch (a->type) {
	case PF_GATE_SEND:
		upstream_send(a->ctx, a);
		break;
	case PF_GATE_REQUEST_ADAPTER:
		talk_request_adapter(a->ctx, a);
		break;
	case PF_GATE_CANCEL:
		cancel_send(a->ctx, a);
		break;
	case PF_GATE_PROBE:
		upstream_probe(ctx, a->u.probe.endpoint);
		break;
	case PF_GATE_QUARANTINE:
		log_quarantine(ctx, a);
		break;
	case PF_GATE_TELL_REPLICAS:
		streams_tell_replicas(ctx, &a->u.note);
		break;
	case PF_GATE_READ_STORED:
		streams_read(ctx);
		break;
	case PF_GATE_RECORD_VERSIONS:
		versions_record(ctx);
		streams_write_soon(ctx);
		break;
	case PF_GATE_REPLY:
		streams_reply(ctx, &a->u.note);
		break;
	case PF_GATE_DELIVER:
		exchange_deliver(a->ctx);
		break;
	case PF_GATE_REFUSE:
		exchange_refuse(a->ctx, a);
		break;
	case PF_GATE_FAIL:
		exchange_fail(a->ctx, a);
		break;
	}
}

void core_step(struct gateway *g, const struct pf_gate_msg *m)
{
	const struct pf_gate_sink sink = { on_act, g };
	pf_ms now = pf_clock_now();

	PF_INVARIANT("the core is not entered from its acts", !g->in_core_step);
	g->in_core_step = true;
	pf_gate_step(g->core, now, m, &sink);
	g->in_core_step = false;
	pf_clock_arm(g->core_timer, now, pf_gate_next(g->core));
}

static void on_timer(evutil_socket_t fd, short what, void *ctx)
{
	static const struct pf_gate_msg tick = { .type = PF_GATE_TICK };

	(void)fd;
	(void)what;
	core_step(ctx, &tick);
}

static void on_deferred(evutil_socket_t fd, short what, void *ctx)
{
	struct pf_gate_msg m = { .type = PF_GATE_ENDED };
	struct gateway *g = ctx;

	(void)fd;
	(void)what;
	if (g->n_deferred_ends == 0)
		return;
	m.u.end = g->deferred_ends[0];
	core_drop_deferred(g, m.u.end.request);
	core_step(g, &m);
	if (g->n_deferred_ends)
		event_active(g->deferred_ev, 0, 0);
}

static int defer_end(struct gateway *g, const struct pf_gate_end *end)
{
	struct pf_gate_end *more;

	if (g->n_deferred_ends == g->cap_deferred_ends) {
		more = realloc(g->deferred_ends,
			       (g->cap_deferred_ends * 2 + 16) * sizeof(*more));
		if (!more)
			return -1;
		g->deferred_ends = more;
		g->cap_deferred_ends = g->cap_deferred_ends * 2 + 16;
	}
	g->deferred_ends[g->n_deferred_ends++] = *end;
	event_active(g->deferred_ev, 0, 0);
	return 0;
}

void core_drop_deferred(struct gateway *g, uint32_t handle)
{
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i < g->n_deferred_ends; i++) {
		if (g->deferred_ends[i].request != handle)
			g->deferred_ends[n++] = g->deferred_ends[i];
	}
	g->n_deferred_ends = n;
}

void core_send_ended(struct gateway *g, const struct pf_gate_end *end)
{
	struct pf_gate_msg m = { .type = PF_GATE_ENDED };

	if (g->in_core_step) {
		/* The request then ends at its deadline. */
		if (defer_end(g, end) < 0)
			PF_LOG(&g->log, PF_LOG_ERROR, "no_memory",
			       PF_KV_STR("for", "the end of a send"));
		return;
	}
	m.u.end = *end;
	core_step(g, &m);
}

static int copy_zones(struct gateway *g, struct pf_gate_zone *zones)
{
	const struct pf_zone_setting *z = g->settings.zones.v;
	size_t i;

	for (i = 0; i < g->settings.zones.n; i++) {
		zones[i].zone = pf_id(pf_str_c(z[i].name));
		zones[i].region = pf_id(pf_str_c(z[i].region));
	}
	return 0;
}

int core_start(struct gateway *g)
{
	struct pf_gate_opts o = g->settings.core;
	struct pf_gate_zone *zones =
		calloc(g->settings.zones.n + 1, sizeof(*zones));

	if (!zones)
		return -1;
	copy_zones(g, zones);
	o.self = g->self;
	o.zone = pf_id(pf_str_c(g->settings.common.zone));
	o.region = pf_id(pf_str_c(g->settings.common.region));
	o.zones = zones;
	o.n_zones = (uint32_t)g->settings.zones.n;
	o.seed = g->self;
	o.records_versions = true;
	o.in_fleet = true;
	g->core = pf_gate_new(&o);
	free(zones);
	g->core_timer = event_new(g->base, -1, 0, on_timer, g);
	g->deferred_ev = event_new(g->base, -1, 0, on_deferred, g);
	return g->core && g->core_timer && g->deferred_ev ? 0 : -1;
}

void core_stop(struct gateway *g)
{
	pf_gate_free(g->core);
	if (g->core_timer)
		event_free(g->core_timer);
	if (g->deferred_ev)
		event_free(g->deferred_ev);
	free(g->deferred_ends);
}
