/*
 * A bounded hash map from a 128-bit key to a 32-bit value, usually the index
 * of a slot in the owner's array. Memory is allocated by pf_map_init() only.
 */
#ifndef PIMENTOFORD_MAP_H
#define PIMENTOFORD_MAP_H

#include "pimentoford/base.h"

PF_BEGIN_DECLS

struct pf_key {
	uint64_t a;
	uint64_t b;
};

struct pf_map_cell {
	struct pf_key key;
	uint32_t val;
	bool used;
};

struct pf_map {
	struct pf_map_cell *cells;
	uint32_t mask; /* cells, a power of two, less one */
	uint32_t n; /* keys stored */
	uint32_t cap; /* keys allowed; below the number of cells */
};

/** Allocates a map of up to @cap keys. 0, or -1 without memory. */
int pf_map_init(struct pf_map *m, uint32_t cap);
void pf_map_free(struct pf_map *m);

/** Looks @k up. 0 with *@val set, or -1 when absent. @val may be NULL. */
int pf_map_get(const struct pf_map *m, struct pf_key k, uint32_t *val);

/** Inserts @k or overwrites its value. 0, or -1 when the map is full. */
int pf_map_put(struct pf_map *m, struct pf_key k, uint32_t val);

/** Removes @k. 0, or -1 when absent. */
int pf_map_del(struct pf_map *m, struct pf_key k);

static inline struct pf_key pf_key1(uint64_t a)
{
	struct pf_key k = { a, 0 };

	return k;
}

PF_END_DECLS

#endif
