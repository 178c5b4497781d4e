/*
 * Store readers. The store may reject some gateways and answer the rest. When all
 * readers are rejected, changes would reach nobody until the others poll by
 * themselves, so the next ones take over.
 */
#include "pimentoford/store_readers.h"

bool pf_is_store_reader(uint64_t self, const struct pf_store_reader *v,
			uint32_t n)
{
	uint32_t lower = 0;
	uint32_t i;

	for (i = 0; i < n; i++)
		lower += v[i].id < self &&
			 v[i].store_age < PF_STORE_AGE_FRESH_MS;
	return lower < PF_STORE_READERS_PER_REGION;
}
