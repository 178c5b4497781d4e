/* Prompt prefixes in the prefix caches of the endpoints. */
#include "src/coordination/gate/gate_core.h"

/* Engines evict the least recently used; after this it is probably gone. */
#define PREFIX_KEPT_MS 25000

static uint64_t prefix_key(uint64_t prefix, const struct gate_endpoint *e)
{
	return pf_id2(prefix, e->incarnation);
}

static struct gate_prefix *find_prefix(struct pf_gate *g, uint64_t key)
{
	struct gate_prefix *set = g->prefixes[key % GATE_PREFIX_SETS];
	uint32_t i;

	for (i = 0; i < GATE_PREFIX_WAYS; i++) {
		if (set[i].key == key)
			return &set[i];
	}
	return NULL;
}

static void record_prefix(struct pf_gate *g, uint64_t key)
{
	struct gate_prefix *set = g->prefixes[key % GATE_PREFIX_SETS];
	struct gate_prefix *p = find_prefix(g, key);
	uint32_t i;

	if (!p) {
		p = &set[0];
		for (i = 1; i < GATE_PREFIX_WAYS; i++) {
			if (set[i].used_at < p->used_at)
				p = &set[i];
		}
		p->key = key;
	}
	p->used_at = g->now;
}

uint32_t gate_prefix_cached_tokens(struct pf_gate *g,
				   const struct gate_request *r,
				   const struct gate_endpoint *e)
{
	uint32_t i;

	for (i = r->n_prefixes; i-- > 0;) {
		const struct gate_prefix *p =
			find_prefix(g, prefix_key(r->prefixes[i], e));

		if (p && g->now - p->used_at < PREFIX_KEPT_MS)
			return r->prefix_tokens[i];
	}
	return 0;
}

void gate_prefix_add_sent(struct pf_gate *g, const struct gate_request *r,
			  const struct gate_endpoint *e)
{
	uint32_t i;

	for (i = 0; i < r->n_prefixes; i++)
		record_prefix(g, prefix_key(r->prefixes[i], e));
	/* The last part belongs to the request or its session, which other
	 * gateways rarely see. */
	for (i = 0; i + 1 < r->n_prefixes; i++)
		gate_digest_add_prefix(g, r->prefixes[i], e->id);
}

void gate_prefix_add_reported(struct pf_gate *g,
			      const struct pf_gate_cached_prefix *c)
{
	const struct gate_endpoint *e = gate_endpoint_find(g, c->endpoint);

	if (e)
		record_prefix(g, prefix_key(c->prefix, e));
}
