/*
 * Sends waiting requests to agents that have room, and suspects one at a
 * time.
 */
#ifndef SRC_COORDINATION_DISPATCH_H
#define SRC_COORDINATION_DISPATCH_H

#include "src/coordination/entry_impl.h"

/** Lets a request in no queue wait for its turn, and serves its group. */
void pf_dispatch_enqueue(struct pf_entry *e, uint32_t slot);

/** Takes a waiting request out of its queue. */
void pf_dispatch_remove(struct pf_entry *e, uint32_t slot);

/** @peer may have room: serves the most urgent work that it holds. */
void pf_dispatch_to_peer(struct pf_entry *e, uint32_t peer);

/** Serves the next few groups, whatever holds them up. */
void pf_dispatch_sweep(struct pf_entry *e);

/** The try in flight ended: takes it from its agent and from its trial. */
void pf_dispatch_detach(struct pf_entry *e, uint32_t slot);

/** A suspect showed progress; the next may go on trial. */
void pf_dispatch_trial_progress(struct pf_entry *e, uint32_t slot);

/** Ends the waiting requests of models that are no longer declared. */
void pf_dispatch_end_undeclared(struct pf_entry *e);

#endif
