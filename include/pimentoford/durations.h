/*
 * The longest durations of late, by key. A process that is about to stop takes
 * no work that is likely to outlast it.
 */
#ifndef PIMENTOFORD_DURATIONS_H
#define PIMENTOFORD_DURATIONS_H

#include "pimentoford/base.h"

PF_BEGIN_DECLS

/** A duration counts for this long at least, and twice as long at most. */
#define PF_DURATIONS_WINDOW_MS 30000

struct pf_durations;

/** NULL if memory runs out. */
struct pf_durations *pf_durations_new(void);
void pf_durations_free(struct pf_durations *d);

/** Adds a duration of @ms. Without memory for a new key, it isn't counted. */
void pf_durations_add(struct pf_durations *d, pf_ms now, uint64_t key,
		      pf_ms ms);

/** The longest of late, in ms; 0 if there was none. */
pf_ms pf_durations_longest(const struct pf_durations *d, pf_ms now,
			   uint64_t key);

PF_END_DECLS

#endif
