/*
 * The try in flight of a request: stopping it, and ending or retrying the
 * request after it within the retry budgets.
 */
#ifndef SRC_COORDINATION_ATTEMPT_H
#define SRC_COORDINATION_ATTEMPT_H

#include "src/coordination/requests.h"

enum pf_retry_cause {
	PF_RETRY_BUSY, /* no room at the agent: not charged */
	PF_RETRY_FAULT, /* charged */
	PF_RETRY_ENDPOINT_LOST, /* charged, but never ends the request */
	PF_RETRY_LEAVING, /* planned: not charged, without backoff */
};

/** Whether the request ran, including the try in flight. */
enum pf_ran pf_attempt_ran(const struct pf_request *r);

/** Emits @type, PF_ENTRY_REVOKE or PF_ENTRY_CANCEL, for the try in flight. */
void pf_attempt_emit_stop(struct pf_entry *e, enum pf_entry_act_type type,
			  const struct pf_request *r);

/**
 * Stops the try in flight, if any, because its request ends. A never-repeat
 * call that has started is left to finish, so that the owner of its claim
 * learns the outcome.
 */
void pf_attempt_abandon(struct pf_entry *e, const struct pf_request *r);

/**
 * Removes a request from its agent or queue. Returns the slot of the agent,
 * which may have room now, or PF_NIL.
 */
uint32_t pf_attempt_unlink(struct pf_entry *e, uint32_t slot);

/** Ends a request in any state and serves the agent that it leaves. */
void pf_attempt_end_request(struct pf_entry *e, uint32_t slot,
			    struct pf_outcome o);

void pf_attempt_end_unknown(struct pf_entry *e, uint32_t slot);

/**
 * The try in flight is over: retries the request, or ends it when the retry
 * budget is used up. @min_backoff in ms is capped by backoff_max.
 */
void pf_attempt_retry(struct pf_entry *e, uint32_t slot,
		      enum pf_retry_cause cause, pf_ms min_backoff);

/**
 * The try in flight is lost and may have run: retries the request, or ends
 * it if it may not run again.
 */
void pf_attempt_lost(struct pf_entry *e, uint32_t slot,
		     enum pf_retry_cause cause);

/** Whether a try that failed now would be retried, not end the request. */
bool pf_attempt_may_retry(const struct pf_entry *e, const struct pf_request *r);

/** Cancels a try in flight that stalled or skipped tokens, and retries. */
void pf_attempt_replace(struct pf_entry *e, uint32_t slot);

#endif
