/*
 * The life cycle of requests: handles what callers and agents report and the
 * timers that expire.
 */
#ifndef SRC_COORDINATION_LIFECYCLE_H
#define SRC_COORDINATION_LIFECYCLE_H

#include "src/coordination/entry_impl.h"

/** Admits or refuses the new request @id; a known id is ignored. */
void pf_lifecycle_arrive(struct pf_entry *e, uint64_t id,
			 const struct pf_work *w);

/** Drops request @id, whose caller disconnected, and stops its try. */
void pf_lifecycle_caller_gone(struct pf_entry *e, uint64_t id);

/*
 * Messages of agents. For a try that is not in flight they are ignored, except
 * for news of the agent itself: it leaves, or its endpoint crashed.
 */
void pf_lifecycle_started(struct pf_entry *e, const struct pf_entry_msg *m);
void pf_lifecycle_piece(struct pf_entry *e, const struct pf_entry_msg *m);
void pf_lifecycle_done(struct pf_entry *e, const struct pf_entry_msg *m);
void pf_lifecycle_not_run(struct pf_entry *e, const struct pf_entry_msg *m);
void pf_lifecycle_revoked(struct pf_entry *e, const struct pf_entry_msg *m);
void pf_lifecycle_lost(struct pf_entry *e, const struct pf_entry_msg *m);

/** The session with an agent ended: treats every try there as lost. */
void pf_lifecycle_link_down(struct pf_entry *e, uint32_t agent_slot);

void pf_lifecycle_run_timers(struct pf_entry *e);

/** Ends the requests with a quarantined @fingerprint that are not in flight. */
void pf_lifecycle_end_quarantined(struct pf_entry *e, uint64_t fingerprint);

/** Ends all open requests: the process is about to end. */
void pf_lifecycle_give_up_all(struct pf_entry *e);

#endif
