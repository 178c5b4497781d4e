/*
 * The other gateways, as their datagrams tell: which are live, and their load
 * at each endpoint.
 */
#include "src/coordination/gate/gate_core.h"

#include <stdlib.h>
#include <string.h>

/* Without a digest for this long, a peer has ended or is cut off. */
#define SILENT_MS 1500
/* Until then its retries may still be in the budget window. */
#define FORGET_MS 20000
/* How often silent peers are looked for. */
#define CHECK_MS 100

/* @at: when it was told, since started_at. */
static void add_load(struct gate_endpoint *e, const struct pf_gate_load *l,
		     pf_ms at, int sign)
{
	e->peer_running += (uint32_t)sign * l->running;
	e->peer_kv_tokens += sign * (int64_t)l->kv_tokens;
	e->peer_prefill_ms += sign * (double)l->prefill_ms;
	e->peer_prefill_time += sign * (double)l->prefill_ms * (double)at;
}

/* Adds (@sign 1) or subtracts (@sign -1) the loads of the last digest. */
static void apply_loads(struct pf_gate *g, const struct gate_peer *p, int sign)
{
	uint32_t i;

	for (i = 0; i < p->n_loads; i++) {
		const struct pf_gate_load *l = &p->loads[i];
		struct gate_endpoint *e = gate_endpoint_find(g, l->endpoint);

		if (e)
			add_load(e, l, p->digest_at, sign);
	}
}

static void drop_loads(struct pf_gate *g, struct gate_peer *p)
{
	apply_loads(g, p, -1);
	p->n_loads = 0;
	gate_hold_told(g, p, NULL, 0);
	if (!p->has_digest)
		return;
	g->n_digests--;
	g->digests_time -= p->digest_at;
	p->has_digest = false;
}

double gate_peers_digest_age(const struct pf_gate *g)
{
	if (g->n_digests == 0)
		return 0;
	return (double)(g->now - g->started_at) -
	       (double)g->digests_time / g->n_digests;
}

void gate_peers_add_loads(const struct pf_gate *g, struct gate_endpoint *e)
{
	uint32_t i;
	uint32_t k;

	for (i = 0; i < g->n_peers; i++) {
		const struct gate_peer *p = &g->peers[i];

		for (k = 0; k < p->n_loads; k++) {
			if (p->loads[k].endpoint == e->id)
				add_load(e, &p->loads[k], p->digest_at, 1);
		}
	}
}

static bool is_live(const struct pf_gate *g, const struct gate_peer *p)
{
	return p->id && g->now - p->last_seen_at <= SILENT_MS;
}

static void count_live(struct pf_gate *g)
{
	uint32_t i;

	g->n_live_peers = 0;
	g->n_lower_peers = 0;
	for (i = 0; i < g->n_peers; i++) {
		const struct gate_peer *p = &g->peers[i];

		if (!is_live(g, p))
			continue;
		g->n_live_peers++;
		g->n_lower_peers += p->id < g->opts.self;
	}
}

static void forget(struct pf_gate *g, struct gate_peer *p)
{
	drop_loads(g, p);
	(void)pf_map_del(&g->peers_by_id, pf_key1(p->id));
	free(p->loads);
	free(p->uses);
	free(p->limits);
	memset(p, 0, sizeof(*p));
	g->n_known_peers--;
}

/* A free slot; the peer that was silent longest is forgotten if there is none. */
static struct gate_peer *take_slot(struct pf_gate *g)
{
	struct gate_peer *oldest = &g->peers[0];
	uint32_t i;

	for (i = 0; i < g->n_peers; i++) {
		struct gate_peer *p = &g->peers[i];

		if (!p->id)
			return p;
		if (p->last_seen_at < oldest->last_seen_at)
			oldest = p;
	}
	if (g->n_peers < g->opts.peers_max)
		return &g->peers[g->n_peers++];
	g->stats.peers_evicted++;
	forget(g, oldest);
	return oldest;
}

struct gate_peer *gate_peer_heard(struct pf_gate *g, uint64_t id)
{
	struct gate_peer *p;
	uint32_t slot;
	bool was_live;

	if (pf_map_get(&g->peers_by_id, pf_key1(id), &slot) == 0) {
		p = &g->peers[slot];
	} else {
		p = take_slot(g);
		p->id = id;
		p->last_seen_at = g->now - SILENT_MS - 1;
		(void)pf_map_put(&g->peers_by_id, pf_key1(id),
				 (uint32_t)(p - g->peers));
		g->n_known_peers++;
	}
	was_live = is_live(g, p);
	p->last_seen_at = g->now;
	if (!was_live)
		count_live(g);
	return p;
}

uint32_t gate_peers_live(const struct pf_gate *g)
{
	return g->n_live_peers;
}

uint32_t gate_peers_lower(const struct pf_gate *g)
{
	return g->n_lower_peers;
}

bool gate_is_judge(const struct pf_gate *g)
{
	return gate_peers_lower(g) < PF_GATE_JUDGES;
}

uint32_t gate_peers_known(const struct pf_gate *g)
{
	return g->n_known_peers;
}

static int store_loads(struct gate_peer *p, const struct pf_gate_digest *d)
{
	struct pf_gate_load *v = p->loads;

	if (d->n_loads > p->loads_cap) {
		v = realloc(p->loads, d->n_loads * sizeof(*v));
		if (!v)
			return -1;
		p->loads = v;
		p->loads_cap = d->n_loads;
	}
	if (d->n_loads)
		memcpy(v, d->loads, d->n_loads * sizeof(*v));
	p->n_loads = d->n_loads;
	return 0;
}

void gate_peer_digest(struct pf_gate *g, const struct pf_gate_digest *d)
{
	struct gate_peer *p = gate_peer_heard(g, d->peer);
	uint32_t i;

	drop_loads(g, p);
	p->has_digest = true;
	p->digest_at = g->now - g->started_at;
	g->n_digests++;
	g->digests_time += p->digest_at;
	if (store_loads(p, d) == 0)
		apply_loads(g, p, 1);
	gate_hold_told(g, p, d->accounts, d->n_accounts);
	for (i = 0; i < d->n_prefixes; i++)
		gate_prefix_add_reported(g, &d->prefixes[i]);
	for (i = 0; i < d->n_crashed; i++)
		gate_crash_add(g, d->crashed[i], false);
}

void gate_peers_check(struct pf_gate *g)
{
	uint32_t i;

	if (g->now < g->peers_check_at)
		return;
	g->peers_check_at = g->now + CHECK_MS;
	for (i = 0; i < g->n_peers; i++) {
		struct gate_peer *p = &g->peers[i];

		if (!p->id)
			continue;
		if (p->has_digest && !is_live(g, p))
			drop_loads(g, p);
		if (g->now - p->last_seen_at > FORGET_MS)
			forget(g, p);
	}
	count_live(g);
}

int gate_peers_init(struct pf_gate *g)
{
	g->peers = calloc(g->opts.peers_max, sizeof(*g->peers));
	if (!g->peers)
		return -1;
	return pf_map_init(&g->peers_by_id, g->opts.peers_max);
}

void gate_peers_free(struct pf_gate *g)
{
	uint32_t i;

	for (i = 0; i < g->n_peers; i++) {
		free(g->peers[i].loads);
		free(g->peers[i].uses);
		free(g->peers[i].limits);
	}
	free(g->peers);
	pf_map_free(&g->peers_by_id);
}
