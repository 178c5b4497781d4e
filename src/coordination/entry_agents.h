/*
 * Table of agents as seen by this entry: sessions, load reports, own tries in
 * flight, resident items and prefix hints.
 */
#ifndef SRC_COORDINATION_ENTRY_AGENTS_H
#define SRC_COORDINATION_ENTRY_AGENTS_H

#include "src/coordination/entry_impl.h"

/** Allocates the table. 0, or -1 without memory. */
int pf_agents_init(struct pf_entry *e);
void pf_agents_free(struct pf_entry *e);

/** The slot of agent @id; PF_NIL when unknown. */
uint32_t pf_agents_find(const struct pf_entry *e, uint64_t id);

/** Finds or creates the slot of agent @id. PF_NIL when the table is full. */
uint32_t pf_agents_get(struct pf_entry *e, uint64_t id);

void pf_agents_configure(struct pf_entry *e);

/**
 * A session with the agent is established. A new @incarnation resets its
 * state, so no try may be in flight there then.
 */
void pf_agents_link_up(struct pf_entry *e, uint32_t agent_slot,
		       uint64_t incarnation);

/** Applies a load report. False, and no effect, when it is out of date. */
bool pf_agents_apply_report(struct pf_entry *e, uint32_t agent_slot,
			    const struct pf_report *r);

/** Counts the try of request @slot as in flight at the agent, or as ended. */
void pf_agents_add_try(struct pf_entry *e, uint32_t agent_slot, uint32_t slot);
void pf_agents_remove_try(struct pf_entry *e, uint32_t agent_slot,
			  uint32_t slot);

/** Estimated tries at the agent: as reported, corrected by own ones since. */
uint32_t pf_agents_load(const struct pf_entry_agent *a);

bool pf_agents_has_room(const struct pf_entry *e,
			const struct pf_entry_agent *a);

/** Whether the last report is at most report_stale old. */
bool pf_agents_report_fresh(const struct pf_entry *e,
			    const struct pf_entry_agent *a);

/** The item of the last report with @id; NULL when absent. */
const struct pf_entry_agent_item *
pf_agents_find_item(const struct pf_entry_agent *a, uint64_t id);

void pf_agents_set_unable(struct pf_entry *e, uint32_t agent_slot,
			  uint32_t group, pf_ms until);
bool pf_agents_is_unable(const struct pf_entry *e,
			 const struct pf_entry_agent *a, uint32_t group);

/** Prefix hints: prompt prefixes lately sent to an agent, likely cached. */
void pf_agents_add_prefix_hint(struct pf_entry *e, struct pf_entry_agent *a,
			       uint64_t prefix);
bool pf_agents_has_prefix_hint(const struct pf_entry *e,
			       const struct pf_entry_agent *a, uint64_t prefix);

#endif
