/*
 * Chooses among the endpoints that may take a request. Does no I/O and keeps
 * no state; docs/design/even-load.md has what was weighed.
 */
#ifndef PIMENTOFORD_GATE_CHOOSE_H
#define PIMENTOFORD_GATE_CHOOSE_H

#include "pimentoford/base.h"

PF_BEGIN_DECLS

/** An endpoint that may take the request now. */
struct pf_gate_candidate {
	uint64_t id; /* of the endpoint */
	double base_ms; /* cost without the queue there */
	double slope; /* cost of each ms of prefill queued there */
	double own_ms; /* prefill queued there by this gateway */
	double peer_ms; /* and by the others, as they told */
	bool peers_tell; /* all of them; not from other regions */
	double peer_age_ms; /* mean age of that, by work */
	uint32_t own_running; /* requests in flight from here */
};

/** What is the same for all candidates. */
struct pf_gate_choice {
	const struct pf_gate_candidate *v;
	uint32_t n; /* at least 1 */
	double digest_age_ms; /* mean time since the others' digests */
	uint32_t peers; /* other live gateways */
	double affinity_ms; /* to read its shared prefix */
	uint64_t affinity; /* hash of the prefix to keep together; 0: none */
	struct pf_rng *rng;
};

/** Returns the index of the candidate to send to. */
typedef uint32_t (*pf_gate_choose_fn)(const struct pf_gate_choice *c);

/** The least expected cost, as the loads were told. */
uint32_t pf_gate_choose_least(const struct pf_gate_choice *c);
/** The older the loads are, the less their differences count. */
uint32_t pf_gate_choose_even(const struct pf_gate_choice *c);

/**
 * Prefill that is probably queued at @c now, in ms: what the others told is
 * worked off in the meantime.
 */
double pf_gate_queued_ms(const struct pf_gate_candidate *c);

PF_END_DECLS

#endif
