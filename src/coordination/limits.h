/*
 * Limits of the callers: rate, concurrency, retry budget; and the early
 * refusal of work that cannot meet its expectation.
 */
#ifndef SRC_COORDINATION_LIMITS_H
#define SRC_COORDINATION_LIMITS_H

#include "src/coordination/entry_impl.h"

/** Takes memory for the callers. 0, or -1 when there is none. */
int pf_limits_init(struct pf_entry *e);
void pf_limits_free(struct pf_entry *e);

/** Adopts the callers of the configuration; rates and counts carry over. */
void pf_limits_configure(struct pf_entry *e);

/** Why a request is not taken in. */
struct pf_refusal {
	enum pf_reason reason; /* NONE: it is taken in */
	pf_ms retry_after; /* 0: coming back does not help */
};

/**
 * Checks caller, model and limits of @w; sets priority and flags from the
 * record and *@account to the caller's slot.
 */
struct pf_refusal pf_limits_admit(struct pf_entry *e, struct pf_work *w,
				  uint32_t *account);

/** Gives back what pf_limits_admit took from the concurrency. */
void pf_limits_release(struct pf_entry *e, uint32_t account);

/** Whether @r would wait longer than its expectation allows. */
struct pf_refusal pf_limits_check_overload(struct pf_entry *e,
					   const struct pf_request *r);

/** When a waiting request is given up as overload; PF_NEVER: not at all. */
pf_ms pf_limits_give_up_at(const struct pf_entry *e,
			   const struct pf_request *r);

/** When to come back after the queue of @group has drained. */
pf_ms pf_limits_retry_after(struct pf_entry *e, uint32_t group, uint8_t prio);

/** Retry budgets: a first try adds to them, a retry takes from them. */
void pf_limits_credit_first_try(struct pf_entry *e, uint32_t account,
				uint32_t agent_slot);
bool pf_limits_charge_retry(struct pf_entry *e, uint32_t account,
			    uint32_t agent_slot);

/** The pause before try number @n of a row of failures, jittered. */
pf_ms pf_limits_backoff_ms(struct pf_entry *e, uint32_t n);

#endif
