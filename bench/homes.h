/* A static placement of models: the initial one, and that of the baselines. */
#ifndef BENCH_HOMES_H
#define BENCH_HOMES_H

#include "pimentoford/record.h"

#define HOME_ITEMS_MAX 128

/** The models and adapters placed on one engine. */
struct homes {
	uint64_t items[HOME_ITEMS_MAX];
	uint32_t n;
};

/** Fills @homes[i] for each of the @n engines. */
void homes_fixed(const struct pf_config *c,
		 const struct pf_endpoint *const *engines, uint32_t n,
		 struct homes *homes);

#endif
