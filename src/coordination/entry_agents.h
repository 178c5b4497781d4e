/*
 * What the entry knows of the agents: links, reports, own tries in flight at
 * each, what each holds and which prompts it has seen lately.
 */
#ifndef SRC_COORDINATION_ENTRY_AGENTS_H
#define SRC_COORDINATION_ENTRY_AGENTS_H

#include "src/coordination/entry_impl.h"

/** Takes memory for the agents. 0, or -1 when there is none. */
int pf_peers_init(struct pf_entry *e);
void pf_peers_free(struct pf_entry *e);

/** The slot of agent @id; PF_NIL when unknown. */
uint32_t pf_peers_find(const struct pf_entry *e, uint64_t id);

/** The same, made if absent. PF_NIL when the table is full. */
uint32_t pf_peers_get(struct pf_entry *e, uint64_t id);

/** Sets what the configuration says of all agents. */
void pf_peers_configure(struct pf_entry *e);

/** A session stands with @incarnation; no try is in flight there. */
void pf_peers_up(struct pf_entry *e, uint32_t peer, uint64_t incarnation);

/** Takes in a report. False when it is older than what is known. */
bool pf_peers_report(struct pf_entry *e, uint32_t peer,
		     const struct pf_report *r);

/** Counts a try sent to and a try ended at @peer. */
void pf_peers_sent(struct pf_entry *e, uint32_t peer, uint32_t slot);
void pf_peers_ended(struct pf_entry *e, uint32_t peer, uint32_t slot);

/** Tries that are likely there: reported ones corrected by own ones. */
uint32_t pf_peers_load(const struct pf_peer *p);

/** Whether late binding allows one more try. */
bool pf_peers_room(const struct pf_entry *e, const struct pf_peer *p);

bool pf_peers_fresh(const struct pf_entry *e, const struct pf_peer *p);

/** The item as last reported; NULL when absent. */
const struct pf_peer_item *pf_peers_item(const struct pf_peer *p, uint64_t id);

/** Notes that @peer cannot serve @group before @until. */
void pf_peers_unable(struct pf_entry *e, uint32_t peer, uint32_t group,
		     pf_ms until);
bool pf_peers_is_unable(const struct pf_entry *e, const struct pf_peer *p,
			uint32_t group);

/** Prefix hints: what an agent has lately been sent. */
void pf_peers_prefix_add(struct pf_entry *e, struct pf_peer *p,
			 uint64_t prefix);
bool pf_peers_prefix_has(const struct pf_entry *e, const struct pf_peer *p,
			 uint64_t prefix);

#endif
