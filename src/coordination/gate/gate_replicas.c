/*
 * Which gateways hold replicas of the record of a stream, by rendezvous hashing:
 * each gateway finds them without asking, whoever else is down.
 */
#include "src/coordination/gate/gate_core.h"

static uint64_t replica_rank(uint64_t stream, const struct pf_gate_replica *k)
{
	return pf_id2(stream, k->id);
}

/* The index of the one with the highest rank that is not in @chosen. */
static uint32_t next_replica(uint64_t stream, uint64_t region,
			     const struct pf_gate_replica *v, uint32_t n,
			     const uint32_t *chosen, uint32_t n_chosen)
{
	uint32_t best = GATE_NIL;
	uint32_t i;
	uint32_t k;

	for (i = 0; i < n; i++) {
		if (region && v[i].region != region)
			continue;
		for (k = 0; k < n_chosen && chosen[k] != i; k++)
			;
		if (k == n_chosen && (best == GATE_NIL ||
				      replica_rank(stream, &v[i]) >
					      replica_rank(stream, &v[best])))
			best = i;
	}
	return best;
}

uint32_t pf_gate_stream_replicas(uint64_t stream, uint64_t region,
				 const struct pf_gate_replica *v, uint32_t n,
				 uint32_t *out)
{
	uint32_t found = 0;

	while (found < PF_GATE_REPLICAS) {
		uint32_t at = GATE_NIL;

		/* The last one is of any region. */
		if (found + 1 < PF_GATE_REPLICAS)
			at = next_replica(stream, region, v, n, out, found);
		if (at == GATE_NIL)
			at = next_replica(stream, 0, v, n, out, found);
		if (at == GATE_NIL)
			break;
		out[found++] = at;
	}
	return found;
}
