/*
 * Which gateways of a region read the store's feeds at the full rate; their
 * digests tell the others of changes.
 */
#ifndef PIMENTOFORD_STORE_READERS_H
#define PIMENTOFORD_STORE_READERS_H

#include "pimentoford/base.h"

PF_BEGIN_DECLS

#define PF_STORE_READERS_PER_REGION 3
/** An idle call for the configuration takes 1 s: a longer time without an answer
 * of the store means that it is away or rejects the gateway. */
#define PF_STORE_AGE_FRESH_MS 1500

/** Another live gateway of the region. */
struct pf_store_reader {
	uint64_t id;
	pf_ms store_age; /* since its last answer of the store */
};

/**
 * Whether the gateway @self is a reader: one of those with the lowest ids. Of
 * the others, only those count that the store answers: it may reject some.
 */
bool pf_is_store_reader(uint64_t self, const struct pf_store_reader *v,
			uint32_t n);

PF_END_DECLS

#endif
