/*
 * Digests for the other gateways: loads at endpoints and of client accounts,
 * cached prefixes and crashes. Peers may get them at different intervals; a cursor for each marks
 * what it has already got.
 */
#include "src/coordination/gate/gate_core.h"

void gate_digest_add_prefix(struct pf_gate *g, uint64_t prefix,
			    uint64_t endpoint)
{
	g->recent_prefixes[g->n_recent_prefixes++ % PF_GATE_PREFIXES_MAX] =
		(struct pf_gate_cached_prefix){ prefix, endpoint };
}

void gate_digest_add_crash(struct pf_gate *g, uint64_t fingerprint)
{
	g->local_crashes[g->n_local_crashes++ % GATE_LOCAL_CRASHES_MAX] =
		(struct gate_local_crash){ fingerprint, g->now };
}

static uint32_t fill_loads(struct pf_gate *g, uint64_t region)
{
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i < g->n_endpoints && n < PF_GATE_LOADS_MAX; i++) {
		const struct gate_endpoint *e = &g->endpoints[i];

		if (!e->used || !e->own_running ||
		    (region != g->opts.region && region != e->region))
			continue;
		g->digest_loads[n++] = (struct pf_gate_load){
			.endpoint = e->id,
			.running = e->own_running,
			.kv_tokens = (uint32_t)(e->own_kv_tokens > 0
							? e->own_kv_tokens
							: 0),
			.prefill_ms = (uint32_t)(e->own_prefill_ms > 0
							 ? e->own_prefill_ms
							 : 0),
		};
	}
	return n;
}

/* Only the newest ones; older ones matter less. */
static uint32_t fill_prefixes(struct pf_gate *g, struct pf_gate_peer_cursor *to)
{
	uint32_t n = 0;

	if (to->region != g->opts.region)
		return 0;
	if (to->prefixes + PF_GATE_PREFIXES_MAX < g->n_recent_prefixes)
		to->prefixes = g->n_recent_prefixes - PF_GATE_PREFIXES_MAX;
	while (to->prefixes < g->n_recent_prefixes)
		g->digest_prefixes[n++] =
			g->recent_prefixes[to->prefixes++ %
					   PF_GATE_PREFIXES_MAX];
	return n;
}

/* All of them, oldest first, since quarantine counts each crash. */
static uint32_t fill_crashed(struct pf_gate *g, struct pf_gate_peer_cursor *to)
{
	uint32_t n = 0;

	if (to->crashes + GATE_LOCAL_CRASHES_MAX < g->n_local_crashes)
		to->crashes = g->n_local_crashes - GATE_LOCAL_CRASHES_MAX;
	while (to->crashes < g->n_local_crashes && n < PF_GATE_CRASHED_MAX) {
		const struct gate_local_crash *c =
			&g->local_crashes[to->crashes++ %
					  GATE_LOCAL_CRASHES_MAX];

		if (g->now - c->at < GATE_CRASH_KEEP_MS)
			g->digest_crashed[n++] = c->fingerprint;
	}
	return n;
}

void pf_gate_digest(struct pf_gate *g, struct pf_gate_peer_cursor *to,
		    struct pf_gate_digest *d)
{
	*d = (struct pf_gate_digest){
		.peer = g->opts.self,
		.loads = g->digest_loads,
		.n_loads = fill_loads(g, to->region),
		.prefixes = g->digest_prefixes,
		.n_prefixes = fill_prefixes(g, to),
		.crashed = g->digest_crashed,
		.n_crashed = fill_crashed(g, to),
		.accounts = g->digest_accounts,
		.n_accounts = gate_share_tell(&g->share, g->digest_accounts),
	};
}
