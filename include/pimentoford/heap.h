/*
 * A bounded binary heap of timers: slot numbers of the owner's array, ordered
 * by time. Each slot is in the heap at most once, so a timer is moved or
 * removed by its slot in logarithmic time. All memory is taken at creation.
 */
#ifndef PIMENTOFORD_HEAP_H
#define PIMENTOFORD_HEAP_H

#include "pimentoford/base.h"

PF_BEGIN_DECLS

struct pf_heap {
	uint32_t *slots; /* in heap order */
	uint32_t *pos; /* by slot: place in `slots` plus one; 0: absent */
	pf_ms *keys; /* by slot */
	uint32_t n;
	uint32_t cap;
};

/** Takes memory for the slots 0 to @cap - 1. 0, or -1 when there is none. */
int pf_heap_init(struct pf_heap *h, uint32_t cap);
void pf_heap_free(struct pf_heap *h);

/** Sets the timer of @slot (below cap); PF_NEVER removes it. */
void pf_heap_set(struct pf_heap *h, uint32_t slot, pf_ms key);

/** The earliest time, PF_NEVER when empty. @slot may be NULL. */
pf_ms pf_heap_top(const struct pf_heap *h, uint32_t *slot);

PF_END_DECLS

#endif
