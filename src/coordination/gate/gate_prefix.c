/* Which endpoints have read which leading parts of prompts. */
#include "src/coordination/gate/gate_core.h"

/* Engines drop what was used least recently; beyond this it is likely gone. */
#define KEPT_MS 25000

static uint64_t key_of(uint64_t chain, const struct gate_endpoint *e)
{
	return pf_id2(chain, e->life);
}

static struct gate_prefix *lookup(struct pf_gate *g, uint64_t key)
{
	struct gate_prefix *set = g->prefixes[key % GATE_PREFIX_SETS];
	uint32_t i;

	for (i = 0; i < GATE_PREFIX_WAYS; i++) {
		if (set[i].key == key)
			return &set[i];
	}
	return NULL;
}

static void touch(struct pf_gate *g, uint64_t key)
{
	struct gate_prefix *set = g->prefixes[key % GATE_PREFIX_SETS];
	struct gate_prefix *p = lookup(g, key);
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

uint32_t gate_prefix_cached(struct pf_gate *g, const struct gate_request *r,
			    const struct gate_endpoint *e)
{
	uint32_t i;

	for (i = r->n_chains; i-- > 0;) {
		const struct gate_prefix *p =
			lookup(g, key_of(r->chains[i], e));

		if (p && g->now - p->used_at < KEPT_MS)
			return r->chain_tokens[i];
	}
	return 0;
}

void gate_prefix_sent(struct pf_gate *g, const struct gate_request *r,
		      const struct gate_endpoint *e)
{
	uint32_t i;

	for (i = 0; i < r->n_chains; i++)
		touch(g, key_of(r->chains[i], e));
	/* The last part is the request's own or its session's: others will
	 * see the session again only by chance. */
	for (i = 0; i + 1 < r->n_chains; i++)
		gate_note_sight(g, r->chains[i], e->id);
}

void gate_prefix_seen(struct pf_gate *g, const struct pf_gate_cached_prefix *s)
{
	const struct gate_endpoint *e = gate_endpoint(g, s->endpoint);

	if (e)
		touch(g, key_of(s->prefix, e));
}
