/* Evidence about prompt parts, as a ring from which each peer is sent. */
#include "src/coordination/gate/gate_core.h"

void gate_evidence_add(struct pf_gate *g, const struct pf_gate_evidence *e,
		       pf_ms at, bool to_all)
{
	g->evidence[g->n_evidence++ % GATE_EVIDENCE_RING] =
		(struct gate_evidence_entry){ *e, to_all, at, g->now };
}

static uint64_t oldest_kept(const struct pf_gate *g, uint64_t position)
{
	uint64_t kept = g->n_evidence > GATE_EVIDENCE_RING
				? g->n_evidence - GATE_EVIDENCE_RING
				: 0;

	return position > kept ? position : kept;
}

/* Writes the entries from @from to @to; returns the position after the last. */
static uint64_t fill(struct pf_gate *g, uint64_t from, uint64_t to, bool judge,
		     struct pf_gate_evidence *out, uint32_t *n)
{
	for (; from < to && *n < PF_GATE_EVIDENCE_MAX; from++) {
		const struct gate_evidence_entry *x =
			&g->evidence[from % GATE_EVIDENCE_RING];

		if (g->now - x->added_at > GATE_CRASH_KEEP_MS ||
		    (!judge && !x->to_all))
			continue;
		out[*n] = x->e;
		out[(*n)++].age_ms = (uint32_t)(g->now - x->at);
	}
	return from;
}

uint32_t pf_gate_evidence(struct pf_gate *g, struct pf_gate_peer_cursor *to,
			  bool judge, struct pf_gate_evidence *out)
{
	uint64_t first = oldest_kept(g, to->evidence);
	uint64_t again = oldest_kept(g, to->evidence_resent);
	uint32_t n = 0;

	to->evidence = fill(g, first, g->n_evidence, judge, out, &n);
	to->evidence_resent = fill(g, again, first, judge, out, &n);
	return n;
}
