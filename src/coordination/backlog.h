/*
 * The queues of waiting requests: one per group, that is model or claim
 * shard, each ordered by value per cost.
 */
#ifndef SRC_COORDINATION_BACKLOG_H
#define SRC_COORDINATION_BACKLOG_H

#include "src/coordination/entry_impl.h"

/** Allocates the groups. 0, or -1 without memory. */
int pf_backlog_init(struct pf_entry *e);
void pf_backlog_free(struct pf_entry *e);

/** Finds or creates the group of @w. PF_NIL when the table is full. */
uint32_t pf_backlog_get_group(struct pf_entry *e, const struct pf_work *w);

/** Finds the group of (@model, @shard). PF_NIL when absent. */
uint32_t pf_backlog_find_group(const struct pf_entry *e, uint64_t model,
			       uint64_t shard);

/** Queues a request whose `group` and `sort_key` are set. */
void pf_backlog_add(struct pf_entry *e, uint32_t slot);

/** Removes a queued request; @served when it is sent to an agent. */
void pf_backlog_del(struct pf_entry *e, uint32_t slot, bool served);

/** The sort key of a request in its group; lowest first. */
pf_ms pf_backlog_sort_key(const struct pf_entry *e, const struct pf_request *r);

/** The wait in ms that a request of priority @prio can expect; 0: unknown. */
double pf_backlog_expected_wait_ms(struct pf_entry *e, uint32_t group,
				   uint8_t prio);

/** Rotates the list of busy groups. The group moved back, or PF_NIL. */
uint32_t pf_backlog_next_group(struct pf_entry *e);

/** Adds the length of a complete answer to the group's mean. */
void pf_backlog_learn_output(struct pf_entry *e, uint32_t group,
			     uint32_t total);

/** A rough time in ms from the start to the first token. */
pf_ms pf_backlog_first_token_ms(const struct pf_request *r);

/** The expected service time in ms. */
pf_ms pf_backlog_service_ms(const struct pf_entry *e,
			    const struct pf_request *r);

/** The expected number of output tokens. */
double pf_backlog_output_tokens(const struct pf_entry *e,
				const struct pf_request *r);

#endif
