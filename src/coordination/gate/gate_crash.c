/*
 * Requests that were under way whenever endpoints crashed. Their callers send
 * them again; after the third crash they are not passed on for a while.
 */
#include "src/coordination/gate/gate_core.h"

#define CRASHES_MAX 3

static struct gate_crash *crash_of(struct pf_gate *g, uint64_t fingerprint,
				   bool make)
{
	struct gate_crash *oldest = &g->crashes[0];
	uint32_t i;

	for (i = 0; i < GATE_CRASHES; i++) {
		struct gate_crash *c = &g->crashes[i];

		if (c->fingerprint == fingerprint)
			return c;
		if (c->last < oldest->last)
			oldest = c;
	}
	if (!make)
		return NULL;
	*oldest = (struct gate_crash){ .fingerprint = fingerprint };
	return oldest;
}

bool gate_quarantined(struct pf_gate *g, uint64_t fingerprint)
{
	const struct gate_crash *c = crash_of(g, fingerprint, false);

	return c && c->crashes >= CRASHES_MAX &&
	       g->now - c->last < GATE_CRASH_KEEP_MS;
}

void gate_crash_blame(struct pf_gate *g, uint64_t fingerprint, bool tell)
{
	struct gate_crash *c = crash_of(g, fingerprint, true);

	if (g->now - c->last > GATE_CRASH_KEEP_MS)
		c->crashes = 0;
	c->crashes++;
	c->last = g->now;
	if (tell)
		gate_note_crash(g, fingerprint);
}
