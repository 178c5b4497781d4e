/*
 * The table of open requests, with indexes by id and by fingerprint and with
 * their timers.
 */
#ifndef SRC_COORDINATION_REQUESTS_H
#define SRC_COORDINATION_REQUESTS_H

#include "src/coordination/entry_impl.h"

/** How a request ends. */
struct pf_outcome {
	enum pf_reason reason; /* NONE: the answer is complete */
	enum pf_ran ran;
	pf_ms retry_after; /* 0: a retry is pointless */
};

static inline struct pf_outcome pf_outcome(enum pf_reason reason,
					   enum pf_ran ran, pf_ms retry_after)
{
	return (struct pf_outcome){ reason, ran, retry_after };
}

/** Allocates the table. 0, or -1 without memory. */
int pf_requests_init(struct pf_entry *e);
void pf_requests_free(struct pf_entry *e);

/** The slot of request @id; PF_NIL when it is not open. */
uint32_t pf_requests_find(const struct pf_entry *e, uint64_t id);

/** Adds a request that is in no queue yet. Its slot; PF_NIL when full. */
uint32_t pf_requests_new(struct pf_entry *e, uint64_t id,
			 const struct pf_work *w);

/** Sets the timer of the state; an earlier deadline takes precedence. */
void pf_requests_set_timer(struct pf_entry *e, uint32_t slot, pf_ms at);

/** Ends a request that is in no queue: emits END and frees the slot. */
void pf_requests_end(struct pf_entry *e, uint32_t slot, struct pf_outcome o);

/** Frees the slot of a request that is in no queue, without an END. */
void pf_requests_drop(struct pf_entry *e, uint32_t slot);

/** Emits END for a request that was not admitted. */
void pf_requests_refuse(struct pf_entry *e, uint64_t id, enum pf_reason reason,
			pf_ms retry_after);

/**
 * The first open request with @fingerprint, or PF_NIL; `fingerprint_next`
 * links the others.
 */
uint32_t pf_requests_find_fingerprint(const struct pf_entry *e,
				      uint64_t fingerprint);

#endif
