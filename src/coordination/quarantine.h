/*
 * Fingerprints of requests that were running when an endpoint crashed. One
 * crash makes a suspect, crashes_max put the fingerprint into quarantine.
 */
#ifndef SRC_COORDINATION_QUARANTINE_H
#define SRC_COORDINATION_QUARANTINE_H

#include "src/coordination/entry_impl.h"

enum pf_quarantine_state { PF_CLEAR, PF_SUSPECTED, PF_QUARANTINED };

/** Takes memory for the fingerprints. 0, or -1 when there is none. */
int pf_quarantine_init(struct pf_entry *e);
void pf_quarantine_free(struct pf_entry *e);

/** What is known of @fingerprint; *@remaining_ms is what remains of a quarantine. */
enum pf_quarantine_state pf_quarantine_check(struct pf_entry *e,
					     uint64_t fingerprint,
					     pf_ms *remaining_ms);

/**
 * It was sent to @agent_slot at @sent_at and running when the endpoint crashed;
 * tells the other entries.
 */
enum pf_quarantine_state pf_quarantine_record_crash(struct pf_entry *e,
						    uint64_t fingerprint,
						    uint32_t agent_slot,
						    pf_ms sent_at);

/** Another entry says so; @until as in PF_ENTRY_QUARANTINE. */
void pf_quarantine_apply_shared(struct pf_entry *e, uint64_t fingerprint,
				pf_ms until);

/** A suspect completed: it is none any more. */
void pf_quarantine_clear_suspect(struct pf_entry *e, uint64_t fingerprint);

/** Keeps what a crash of the try that @r leaves behind is blamed on. */
void pf_quarantine_keep_ended(struct pf_entry *e, const struct pf_request *r);

/** What is kept of a request that left a try behind; NULL: nothing. */
struct pf_ended_request *pf_quarantine_find_ended(struct pf_entry *e,
						  uint64_t request);

#endif
