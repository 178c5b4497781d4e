/*
 * Sends waiting requests to agents with room. Requests with a suspect
 * fingerprint go on trial, one at a time.
 */
#ifndef SRC_COORDINATION_DISPATCH_H
#define SRC_COORDINATION_DISPATCH_H

#include "src/coordination/entry_impl.h"

/** Queues a request that is in no queue and sends from the queue it joins. */
void pf_dispatch_enqueue(struct pf_entry *e, uint32_t slot);

/** Removes a request from its queue, if it is in one. */
void pf_dispatch_remove(struct pf_entry *e, uint32_t slot);

/** An agent may have room: sends the most urgent requests it can serve. */
void pf_dispatch_to_agent(struct pf_entry *e, uint32_t agent_slot);

/**
 * Sends from the next few groups in turn. Run from time to time, since a
 * group may become servable without a message that says so.
 */
void pf_dispatch_sweep(struct pf_entry *e);

/** The try in flight ended: removes it from its agent and from its trial. */
void pf_dispatch_detach(struct pf_entry *e, uint32_t slot);

/** The request got tokens; if that passes its trial, the next one starts. */
void pf_dispatch_trial_progress(struct pf_entry *e, uint32_t slot);

/** Ends waiting requests whose model or service is no longer declared. */
void pf_dispatch_end_undeclared(struct pf_entry *e);

#endif
