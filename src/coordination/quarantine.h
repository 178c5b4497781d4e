/*
 * Fingerprints of requests that were running when an endpoint crashed. After
 * one crash a fingerprint is suspect, after crashes_max it is quarantined.
 */
#ifndef SRC_COORDINATION_QUARANTINE_H
#define SRC_COORDINATION_QUARANTINE_H

#include "src/coordination/entry_impl.h"

enum pf_quarantine_state { PF_CLEAR, PF_SUSPECTED, PF_QUARANTINED };

/** Allocates the tables. 0, or -1 without memory. */
int pf_quarantine_init(struct pf_entry *e);
void pf_quarantine_free(struct pf_entry *e);

/**
 * The state of @fingerprint. Sets *@remaining_ms when it is quarantined;
 * @remaining_ms may be NULL.
 */
enum pf_quarantine_state pf_quarantine_check(struct pf_entry *e,
					     uint64_t fingerprint,
					     pf_ms *remaining_ms);

/** A try that was running when an endpoint crashed. */
struct pf_crash {
	uint64_t fingerprint;
	uint64_t caller;
	uint32_t agent_slot;
	bool alone; /* nothing ran beside it */
};

/**
 * Records a crash. Shares a change with the other entries. Returns the state of
 * the fingerprint.
 */
enum pf_quarantine_state pf_quarantine_record_crash(struct pf_entry *e,
						    const struct pf_crash *c);

/** Another entry shared a quarantine until @until, or 0 for a suspect. */
void pf_quarantine_apply_shared(struct pf_entry *e, uint64_t fingerprint,
				pf_ms until);

/** Clears a suspect that completed; a quarantine stays. */
void pf_quarantine_clear_suspect(struct pf_entry *e, uint64_t fingerprint);

/** Remembers a request that ended, in case a try of it still crashes. */
void pf_quarantine_keep_ended(struct pf_entry *e, const struct pf_request *r);

/** The record of an ended request, or NULL. */
struct pf_ended_request *pf_quarantine_find_ended(struct pf_entry *e,
						  uint64_t request);

#endif
