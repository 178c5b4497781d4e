/*
 * What the other gateways are told: this one's work at endpoints, prompts that
 * endpoints have read, and crashes. Each listener hears of what is new since
 * it was told last, however often that is.
 */
#include "src/coordination/gate/gate_core.h"

void gate_note_sight(struct pf_gate *g, uint64_t chain, uint64_t endpoint)
{
	g->sights[g->n_sights++ % PF_GATE_PREFIXES_MAX] =
		(struct pf_gate_cached_prefix){ chain, endpoint };
}

void gate_note_crash(struct pf_gate *g, uint64_t fingerprint)
{
	g->crashes_seen[g->n_crashes_seen++ % GATE_CRASHES_SEEN] =
		(struct gate_crash_seen){ fingerprint, g->now };
}

static uint32_t tell_loads(struct pf_gate *g, uint64_t region)
{
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i < g->n_endpoints && n < PF_GATE_LOADS_MAX; i++) {
		const struct gate_endpoint *e = &g->endpoints[i];

		if (!e->used || !e->running ||
		    (region != g->o.region && region != e->region))
			continue;
		g->out_loads[n++] = (struct pf_gate_load){
			.endpoint = e->id,
			.running = e->running,
			.kv_tokens = (uint32_t)(e->kv > 0 ? e->kv : 0),
			.prefill_ms =
				(uint32_t)(e->prefill_ms > 0 ? e->prefill_ms
							     : 0),
		};
	}
	return n;
}

/* The newest; older ones matter less. */
static uint32_t tell_sights(struct pf_gate *g, struct pf_gate_peer_cursor *to)
{
	uint32_t n = 0;

	if (to->region != g->o.region)
		return 0;
	if (to->prefixes + PF_GATE_PREFIXES_MAX < g->n_sights)
		to->prefixes = g->n_sights - PF_GATE_PREFIXES_MAX;
	while (to->prefixes < g->n_sights)
		g->out_sights[n++] =
			g->sights[to->prefixes++ % PF_GATE_PREFIXES_MAX];
	return n;
}

/* All, the oldest first: each of them counts. */
static uint32_t tell_crashes(struct pf_gate *g, struct pf_gate_peer_cursor *to)
{
	uint32_t n = 0;

	if (to->crashes + GATE_CRASHES_SEEN < g->n_crashes_seen)
		to->crashes = g->n_crashes_seen - GATE_CRASHES_SEEN;
	while (to->crashes < g->n_crashes_seen && n < PF_GATE_CRASHED_MAX) {
		const struct gate_crash_seen *c =
			&g->crashes_seen[to->crashes++ % GATE_CRASHES_SEEN];

		if (g->now - c->at < GATE_CRASH_KEEP_MS)
			g->out_crashed[n++] = c->fingerprint;
	}
	return n;
}

void pf_gate_digest(struct pf_gate *g, struct pf_gate_peer_cursor *to,
		    struct pf_gate_digest *d)
{
	*d = (struct pf_gate_digest){
		.peer = g->o.self,
		.loads = g->out_loads,
		.n_loads = tell_loads(g, to->region),
		.prefixes = g->out_sights,
		.n_prefixes = tell_sights(g, to),
		.crashed = g->out_crashed,
		.n_crashed = tell_crashes(g, to),
	};
}
