/* A fixed placement of models, for the start of a run and for baselines. */
#ifndef BENCH_HOMES_H
#define BENCH_HOMES_H

#include "pimentoford/record.h"

#define HOME_ITEMS_MAX 128

/** What is to be resident at one engine. */
struct homes {
	uint64_t items[HOME_ITEMS_MAX];
	uint32_t n;
};

/** Fills @homes for each of the @n engines. */
void homes_fixed(const struct pf_config *c,
		 const struct pf_endpoint *const *engines, uint32_t n,
		 struct homes *homes);

#endif
