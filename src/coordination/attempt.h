/*
 * The try in flight: how it is stopped, and whether its request then ends or
 * is tried again, within the retry budgets.
 */
#ifndef SRC_COORDINATION_ATTEMPT_H
#define SRC_COORDINATION_ATTEMPT_H

#include "src/coordination/requests.h"

/** Why a try is followed by another. */
enum pf_retry_cause {
	PF_RETRY_BUSY, /* the agent had no room: free, but not there again */
	PF_RETRY_FAULT, /* a retry that counts */
	PF_RETRY_ENDPOINT_LOST, /* counts, but does not end the request */
	PF_RETRY_LEAVING, /* planned: free and at once */
};

/** Whether the request ran, the try in flight included. */
enum pf_ran pf_attempt_ran(const struct pf_request *r);

/** Emits REVOKE or CANCEL for the try in flight. */
void pf_attempt_emit_stop(struct pf_entry *e, enum pf_entry_act_type type,
			  const struct pf_request *r);

/**
 * Stops the try in flight because its request ends. A never-repeat call that
 * began is left to finish, so that its outcome stays known at its owner.
 */
void pf_attempt_abandon(struct pf_entry *e, const struct pf_request *r);

/** Takes a request from whatever holds it; returns its agent or PF_NIL. */
uint32_t pf_attempt_unlink(struct pf_entry *e, uint32_t slot);

/** Ends a request, whatever its state. */
void pf_attempt_end_request(struct pf_entry *e, uint32_t slot,
			    struct pf_outcome o);

/** Ends a request whose outcome cannot be learned any more. */
void pf_attempt_end_unknown(struct pf_entry *e, uint32_t slot);

/** The try in flight is over; another follows no earlier than @after. */
void pf_attempt_retry(struct pf_entry *e, uint32_t slot,
		      enum pf_retry_cause why, pf_ms after);

/** The try in flight may have begun and is lost. */
void pf_attempt_lost(struct pf_entry *e, uint32_t slot,
		     enum pf_retry_cause why);

/** The try runs on but is of no use: stops it and goes on elsewhere. */
void pf_attempt_replace(struct pf_entry *e, uint32_t slot);

#endif
