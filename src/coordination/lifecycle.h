/*
 * The life of a request: tries, their answers, resumption and the final
 * answer.
 */
#ifndef SRC_COORDINATION_LIFECYCLE_H
#define SRC_COORDINATION_LIFECYCLE_H

#include "src/coordination/entry_impl.h"

void pf_lifecycle_arrive(struct pf_entry *e, uint64_t id,
			 const struct pf_work *w);

/** The caller of request @id went away. */
void pf_lifecycle_caller_gone(struct pf_entry *e, uint64_t id);

/** Answers of agents; those that are not of the try in flight are dropped. */
void pf_lifecycle_started(struct pf_entry *e, const struct pf_entry_msg *m);
void pf_lifecycle_piece(struct pf_entry *e, const struct pf_entry_msg *m);
void pf_lifecycle_done(struct pf_entry *e, const struct pf_entry_msg *m);
void pf_lifecycle_not_run(struct pf_entry *e, const struct pf_entry_msg *m);
void pf_lifecycle_revoked(struct pf_entry *e, const struct pf_entry_msg *m);
void pf_lifecycle_lost(struct pf_entry *e, const struct pf_entry_msg *m);

/** The session with @peer ended: every try there is lost. */
void pf_lifecycle_link_down(struct pf_entry *e, uint32_t peer);

/** Carries out the timers that are due. */
void pf_lifecycle_run_timers(struct pf_entry *e);

/** Ends the waiting requests with a quarantined @fingerprint. */
void pf_lifecycle_end_quarantined(struct pf_entry *e, uint64_t fingerprint);

#endif
