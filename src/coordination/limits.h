/*
 * Limits of callers: rate, concurrency and retry budget. Refuses requests
 * early that cannot meet their objectives under overload.
 */
#ifndef SRC_COORDINATION_LIMITS_H
#define SRC_COORDINATION_LIMITS_H

#include "src/coordination/entry_impl.h"

/** Allocates the accounts of callers. 0, or -1 without memory. */
int pf_limits_init(struct pf_entry *e);
void pf_limits_free(struct pf_entry *e);

/** Applies the configured callers; known ones keep rates and budgets. */
void pf_limits_configure(struct pf_entry *e);

/** Whether and why a request is refused. */
struct pf_refusal {
	enum pf_reason reason; /* NONE: it is admitted */
	pf_ms retry_after; /* 0: a retry is pointless */
};

/**
 * Checks the caller, model, length and limits of a request. When admitted,
 * sets its priority, flags and default deadline from the caller's record and
 * *@account to the caller's slot; undo with pf_limits_release().
 */
struct pf_refusal pf_limits_admit(struct pf_entry *e, struct pf_work *w,
				  uint32_t *account);

/** Stops counting an admitted request against its caller's concurrency. */
void pf_limits_release(struct pf_entry *e, uint32_t account);

/**
 * Refuses @r when its expected wait exceeds the one that its objectives allow,
 * times overload_slack.
 */
struct pf_refusal pf_limits_check_overload(struct pf_entry *e,
					   const struct pf_request *r);

/** When a waiting request is ended as OVERLOAD; PF_NEVER: not at all. */
pf_ms pf_limits_give_up_at(const struct pf_entry *e,
			   const struct pf_request *r);

/** Jittered retry-after in ms: the expected wait in @group at @prio. */
pf_ms pf_limits_retry_after(struct pf_entry *e, uint32_t group, uint8_t prio);

/** Credits the retry budgets of caller and agent for a first try. */
void pf_limits_credit_first_try(struct pf_entry *e, uint32_t account,
				uint32_t agent_slot);

/** Whether the budgets of caller and agent allow a retry. */
bool pf_limits_retry_allowed(const struct pf_entry *e, uint32_t account,
			     uint32_t agent_slot);

/** Charges a retry to both budgets. False when either is used up. */
bool pf_limits_charge_retry(struct pf_entry *e, uint32_t account,
			    uint32_t agent_slot);

/** The jittered, exponential backoff in ms after @n earlier ones. */
pf_ms pf_limits_backoff_ms(struct pf_entry *e, uint32_t n);

#endif
