/*
 * A bounded binary heap of timers, identified by their slot in the owner's
 * array and ordered by expiry. Each slot has at most one timer, which can be
 * moved or removed in logarithmic time. Memory is allocated by pf_heap_init()
 * only.
 */
#ifndef PIMENTOFORD_HEAP_H
#define PIMENTOFORD_HEAP_H

#include "pimentoford/base.h"

PF_BEGIN_DECLS

struct pf_heap {
	uint32_t *slots; /* in heap order */
	uint32_t *pos; /* by slot: index into `slots` plus one; 0: absent */
	pf_ms *keys; /* by slot: expiry */
	uint32_t n;
	uint32_t cap;
};

/** Allocates a heap for the slots 0 to @cap - 1. 0, or -1 without memory. */
int pf_heap_init(struct pf_heap *h, uint32_t cap);
void pf_heap_free(struct pf_heap *h);

/** Sets the expiry of the timer @slot (below cap); PF_NEVER removes it. */
void pf_heap_set(struct pf_heap *h, uint32_t slot, pf_ms key);

/**
 * The earliest expiry, with its slot in *@slot, or PF_NEVER when the heap is
 * empty. @slot may be NULL.
 */
pf_ms pf_heap_top(const struct pf_heap *h, uint32_t *slot);

PF_END_DECLS

#endif
