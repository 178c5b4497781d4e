/*
 * What the entry knows of the agents: links, reports, own tries in flight at
 * each, what each holds and which prompts it has seen lately.
 */
#ifndef SRC_COORDINATION_ENTRY_AGENTS_H
#define SRC_COORDINATION_ENTRY_AGENTS_H

#include "src/coordination/entry_impl.h"

/** Takes memory for the agents. 0, or -1 when there is none. */
int pf_agents_init(struct pf_entry *e);
void pf_agents_free(struct pf_entry *e);

/** The slot of agent @id; PF_NIL when unknown. */
uint32_t pf_agents_find(const struct pf_entry *e, uint64_t id);

/** The same, made if absent. PF_NIL when the table is full. */
uint32_t pf_agents_get(struct pf_entry *e, uint64_t id);

/** Sets what the configuration says of all agents. */
void pf_agents_configure(struct pf_entry *e);

/** A session stands with @incarnation; no try is in flight there. */
void pf_agents_link_up(struct pf_entry *e, uint32_t agent_slot,
		       uint64_t incarnation);

/** Takes in a report. False when it is older than what is known. */
bool pf_agents_apply_report(struct pf_entry *e, uint32_t agent_slot,
			    const struct pf_report *r);

/** Counts a try sent to and a try ended at @agent_slot. */
void pf_agents_add_try(struct pf_entry *e, uint32_t agent_slot, uint32_t slot);
void pf_agents_remove_try(struct pf_entry *e, uint32_t agent_slot,
			  uint32_t slot);

/** Tries that are likely there: reported ones corrected by own ones. */
uint32_t pf_agents_load(const struct pf_entry_agent *a);

/** Whether late binding allows one more try. */
bool pf_agents_has_room(const struct pf_entry *e,
			const struct pf_entry_agent *a);

bool pf_agents_report_fresh(const struct pf_entry *e,
			    const struct pf_entry_agent *a);

/** The item as last reported; NULL when absent. */
const struct pf_entry_agent_item *
pf_agents_find_item(const struct pf_entry_agent *a, uint64_t id);

/** Notes that @agent_slot cannot serve @group before @until. */
void pf_agents_set_unable(struct pf_entry *e, uint32_t agent_slot,
			  uint32_t group, pf_ms until);
bool pf_agents_is_unable(const struct pf_entry *e,
			 const struct pf_entry_agent *a, uint32_t group);

/** Prefix hints: what an agent has lately been sent. */
void pf_agents_add_prefix_hint(struct pf_entry *e, struct pf_entry_agent *a,
			       uint64_t prefix);
bool pf_agents_has_prefix_hint(const struct pf_entry *e,
			       const struct pf_entry_agent *a, uint64_t prefix);

#endif
