/*
 * The table of requests alive: slots, ids, fingerprints, timers, and the end
 * of each.
 */
#ifndef SRC_COORDINATION_REQUESTS_H
#define SRC_COORDINATION_REQUESTS_H

#include "src/coordination/entry_impl.h"

/** How a request ends. */
struct pf_outcome {
	enum pf_reason reason; /* NONE: the answer is whole */
	enum pf_ran ran;
	pf_ms retry_after;
};

static inline struct pf_outcome pf_outcome(enum pf_reason reason,
					   enum pf_ran ran, pf_ms retry_after)
{
	return (struct pf_outcome){ reason, ran, retry_after };
}

/** Takes memory for the requests. 0, or -1 when there is none. */
int pf_requests_init(struct pf_entry *e);
void pf_requests_free(struct pf_entry *e);

/** The slot of request @id; PF_NIL when it is not alive. */
uint32_t pf_requests_find(const struct pf_entry *e, uint64_t id);

/** A slot for a request that joins no queue yet. PF_NIL when full. */
uint32_t pf_requests_new(struct pf_entry *e, uint64_t id,
			 const struct pf_work *w);

/** Sets the timer of the state; the deadline is kept besides. */
void pf_requests_set_timer(struct pf_entry *e, uint32_t slot, pf_ms due);

/** Ends a request that is in no queue: tells the caller, frees the slot. */
void pf_requests_end(struct pf_entry *e, uint32_t slot, struct pf_outcome o);

/** The same without a word to the caller. */
void pf_requests_drop(struct pf_entry *e, uint32_t slot);

/** Refuses a request that was not taken in. */
void pf_requests_refuse(struct pf_entry *e, uint64_t id, enum pf_reason reason,
			pf_ms retry_after);

/** The first request alive with @fingerprint, or PF_NIL; then `fp_next`. */
uint32_t pf_requests_find_fingerprint(const struct pf_entry *e,
				      uint64_t fingerprint);

#endif
