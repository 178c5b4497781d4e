/*
 * Spread cores around one table in virtual time: a network that delays, loses
 * and reorders, sessions that break, a table that can be away. The rig checks
 * each adoption against what was accepted.
 */
#ifndef FUZZ_SPREAD_RIG_H
#define FUZZ_SPREAD_RIG_H

#include "pimentoford/spread.h"

PF_BEGIN_DECLS

#define SPREAD_RIG_REVISIONS_MAX 256

struct spread_rig;

struct spread_rig_proc {
	uint64_t id;
	uint32_t region;
	bool is_entry;
	bool up;
	pf_ms paused_until; /* messages and timers wait until then */
	uint32_t incarnation; /* rises with each restart */
	struct pf_spread *core; /* NULL: down */
	uint32_t *links; /* processes it has sessions with */
	uint32_t n_links;
	uint32_t cap_links;
	uint64_t *members; /* told after each start; NULL: never */
	uint32_t n_members;
	uint64_t adopted_revision; /* by this life */
	pf_ms adopted_at;
	pf_ms tick_at; /* of the timer that is in the queue */
	uint64_t bytes_out;
	uint64_t bytes_in;
};

struct spread_rig_opts {
	uint64_t seed;
	uint32_t procs_max;
	uint32_t records; /* in the set */
	double loss_rate; /* of messages between processes */
	pf_ms region_delay; /* one way, within a region */
	pf_ms cross_region_delay; /* between regions */
	pf_ms jitter; /* added at random, so messages cross */
	uint32_t table_region;
	struct pf_spread_opts core; /* ids and seeds are the rig's */
};

struct spread_rig *spread_rig_new(const struct spread_rig_opts *o);
void spread_rig_free(struct spread_rig *g);

/** Adds a process and starts it; returns its number. */
uint32_t spread_rig_add_proc(struct spread_rig *g, uint32_t region, bool entry);
struct spread_rig_proc *spread_rig_proc(struct spread_rig *g, uint32_t i);
uint32_t spread_rig_count(const struct spread_rig *g);

/** A session between two processes, kept over their restarts. */
void spread_rig_link(struct spread_rig *g, uint32_t a, uint32_t b);
/** What the VM list says, from now on and after restarts. */
void spread_rig_set_members(struct spread_rig *g, uint32_t i,
			    const uint64_t *ids, uint32_t n);
void spread_rig_kill(struct spread_rig *g, uint32_t i);
void spread_rig_restart(struct spread_rig *g, uint32_t i);

/** Breaks or mends every session between two regions. */
void spread_rig_set_partition(struct spread_rig *g, bool partitioned);
/** Whether the table answers; @head_back makes it name old heads. */
void spread_rig_set_table(struct spread_rig *g, bool away, bool old_head);
/** Deletes the audit rows so far. */
void spread_rig_prune_audits(struct spread_rig *g);

/** Accepts one more revision, seen by @by unless it is down. */
uint64_t spread_rig_accept(struct spread_rig *g, uint32_t by);
uint64_t spread_rig_head_revision(const struct spread_rig *g);

/** Hands @to a head or a configuration as if @from had sent it now. */
void spread_rig_inject(struct spread_rig *g, uint32_t from, uint32_t to,
		       const struct pf_spread_msg *m);

/** Runs until @until, and everything that was due before. */
void spread_rig_run(struct spread_rig *g, pf_ms until);
pf_ms spread_rig_now(const struct spread_rig *g);

/** Whether every process that runs is at the head. */
bool spread_rig_converged(const struct spread_rig *g);

struct spread_rig_stats {
	uint64_t messages;
	uint64_t cross_region_bytes; /* between regions, table reads included */
	uint64_t table_reads; /* of the table */
	uint64_t violations;
	char first_violation[160]; /* the first one */
};

const struct spread_rig_stats *spread_rig_stats(const struct spread_rig *g);

PF_END_DECLS

#endif
