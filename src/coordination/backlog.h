/*
 * The work that waits in the entry, grouped by what can serve it and ordered
 * within a group by value per cost.
 */
#ifndef SRC_COORDINATION_BACKLOG_H
#define SRC_COORDINATION_BACKLOG_H

#include "src/coordination/entry_impl.h"

/** Takes memory for the groups. 0, or -1 when there is none. */
int pf_backlog_init(struct pf_entry *e);
void pf_backlog_free(struct pf_entry *e);

/** The group of @w, made if absent. PF_NIL when the table is full. */
uint32_t pf_backlog_get_group(struct pf_entry *e, const struct pf_work *w);

/** Finds the group of (@model, @shard). PF_NIL when absent. */
uint32_t pf_backlog_find_group(const struct pf_entry *e, uint64_t model,
			       uint64_t shard);

/** Adds a request that has its group and its key. */
void pf_backlog_add(struct pf_entry *e, uint32_t slot);

/** Removes one; @served when it goes to an agent. */
void pf_backlog_del(struct pf_entry *e, uint32_t slot, bool served);

/** A request's place in the order of its group. */
pf_ms pf_backlog_sort_key(const struct pf_entry *e, const struct pf_request *r);

/** Milliseconds that a request of priority @prio would wait; 0: unknown. */
double pf_backlog_expected_wait_ms(struct pf_entry *e, uint32_t group,
				   uint8_t prio);

/** Puts the first active group behind the others; PF_NIL when none. */
uint32_t pf_backlog_next_group(struct pf_entry *e);

/** Learns the output length of a whole answer. */
void pf_backlog_learn_output(struct pf_entry *e, uint32_t group,
			     uint32_t total);

/** Milliseconds from the start to the first token, roughly. */
pf_ms pf_backlog_first_token_ms(const struct pf_request *r);

/** Milliseconds of service that a request is likely to need. */
pf_ms pf_backlog_service_ms(const struct pf_entry *e,
			    const struct pf_request *r);

/** Output tokens that a request is likely to produce. */
double pf_backlog_output_tokens(const struct pf_entry *e,
				const struct pf_request *r);

#endif
