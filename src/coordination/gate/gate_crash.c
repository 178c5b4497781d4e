/*
 * Quarantine of requests that were in flight at endpoint crashes. Their callers
 * repeat them; after the third crash they are refused for a while.
 */
#include "src/coordination/gate/gate_core.h"

#define QUARANTINE_CRASHES 3

/* Whether @a is the better one to forget. */
static bool matters_less(const struct gate_crash *a, const struct gate_crash *b)
{
	return a->crashes != b->crashes ? a->crashes < b->crashes
					: a->last_at < b->last_at;
}

static struct gate_crash *find_crash(struct pf_gate *g, uint64_t fingerprint,
				     bool create)
{
	struct gate_crash *set = g->crashes[fingerprint % GATE_CRASH_SETS];
	struct gate_crash *least = &set[0];
	uint32_t i;

	for (i = 0; i < GATE_CRASH_WAYS; i++) {
		struct gate_crash *c = &set[i];

		if (c->fingerprint == fingerprint)
			return c;
		if (g->now - c->last_at > GATE_CRASH_KEEP_MS)
			c->crashes = 0;
		if (matters_less(c, least))
			least = c;
	}
	if (!create)
		return NULL;
	*least = (struct gate_crash){ .fingerprint = fingerprint };
	return least;
}

bool gate_quarantined(struct pf_gate *g, uint64_t fingerprint)
{
	const struct gate_crash *c = find_crash(g, fingerprint, false);

	return c && c->crashes >= QUARANTINE_CRASHES &&
	       g->now - c->last_at < GATE_CRASH_KEEP_MS;
}

void gate_crash_add(struct pf_gate *g, uint64_t fingerprint, bool announce)
{
	struct gate_crash *c = find_crash(g, fingerprint, true);

	if (g->now - c->last_at > GATE_CRASH_KEEP_MS)
		c->crashes = 0;
	c->crashes++;
	c->last_at = g->now;
	if (announce)
		gate_digest_add_crash(g, fingerprint);
}
