/* The demand for each model at an entry, as the planner receives it. */
#ifndef PIMENTOFORD_DEMAND_H
#define PIMENTOFORD_DEMAND_H

#include "pimentoford/entry.h"

PF_BEGIN_DECLS

/** Requests for one model version at one entry. */
struct pf_demand {
	uint64_t model;
	uint32_t waiting;
	uint32_t open; /* requests, waiting or not */
};

/**
 * Writes the demand for each declared model with open requests, at most @max
 * of them. Returns the number written.
 */
size_t pf_entry_demand(const struct pf_entry *e, struct pf_demand *out,
		       size_t max);

PF_END_DECLS

#endif
