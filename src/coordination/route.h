/* Routing: chooses the agent that a waiting request is sent to. */
#ifndef SRC_COORDINATION_ROUTE_H
#define SRC_COORDINATION_ROUTE_H

#include "src/coordination/entry_impl.h"

/** The agent chosen for a request. */
struct pf_route_choice {
	uint32_t agent_slot; /* PF_NIL: none has room now */
	bool needs_load; /* the model is not resident there */
};

/** Chooses by the routing policy among the agents able to serve @r. */
struct pf_route_choice pf_route_pick(struct pf_entry *e,
				     const struct pf_request *r);

/**
 * Whether an agent other than that of the try in flight can serve @r and is
 * no worse by the residency of its model.
 */
bool pf_route_has_other_agent(struct pf_entry *e, const struct pf_request *r);

/** Whether an agent able to serve @r has its model resident. */
bool pf_route_model_resident(struct pf_entry *e, const struct pf_request *r);

/**
 * Accounts for a try sent to @c: link bytes, prefix hint, and the model load
 * that it starts.
 */
void pf_route_record_try(struct pf_entry *e, const struct pf_request *r,
			 const struct pf_route_choice *c);

/** The time in ms that a model load is assumed to take. */
pf_ms pf_route_model_load_ms(void);

#endif
