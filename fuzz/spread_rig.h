/*
 * Simulates processes with spread cores and one table in virtual time. Messages
 * are delayed, lost and reordered, sessions break, and the table may be
 * unavailable. Each adopted set is checked against the accepted one.
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
	pf_ms paused_until; /* its messages and timers wait until then */
	uint32_t incarnation; /* rises with each restart */
	struct pf_spread *core; /* NULL: down */
	uint32_t *links; /* indexes of the peers it has sessions with */
	uint32_t n_links;
	uint32_t cap_links;
	uint64_t *members; /* sent after each start; NULL: never */
	uint32_t n_members;
	uint64_t adopted_revision; /* by this incarnation */
	pf_ms adopted_at;
	pf_ms tick_at; /* next timer in the queue */
	uint64_t bytes_out;
	uint64_t bytes_in;
};

struct spread_rig_opts {
	uint64_t seed;
	uint32_t procs_max;
	uint32_t records; /* in the set */
	double loss_rate; /* of messages between processes, 0 to 1 */
	pf_ms region_delay; /* one way, within a region */
	pf_ms cross_region_delay; /* one way, between regions */
	pf_ms jitter; /* largest random delay; reorders messages */
	uint32_t table_region;
	struct pf_spread_opts core; /* ids and seeds are set by the rig */
};

struct spread_rig *spread_rig_new(const struct spread_rig_opts *o);
void spread_rig_free(struct spread_rig *g);

/** Adds a process and starts it; returns its index. */
uint32_t spread_rig_add_proc(struct spread_rig *g, uint32_t region, bool entry);
struct spread_rig_proc *spread_rig_proc(struct spread_rig *g, uint32_t i);
uint32_t spread_rig_count(const struct spread_rig *g);

/** Opens a session between two processes, and again after restarts. */
void spread_rig_link(struct spread_rig *g, uint32_t a, uint32_t b);
/** Sets the list of live entries that the process gets, now and on restart. */
void spread_rig_set_members(struct spread_rig *g, uint32_t i,
			    const uint64_t *ids, uint32_t n);
void spread_rig_kill(struct spread_rig *g, uint32_t i);
void spread_rig_restart(struct spread_rig *g, uint32_t i);

/** Closes or reopens all sessions between regions. */
void spread_rig_set_partition(struct spread_rig *g, bool partitioned);
/** @away: the table doesn't reply. @old_head: it replies with an old head. */
void spread_rig_set_table(struct spread_rig *g, bool away, bool old_head);
/** Deletes all audit rows. */
void spread_rig_prune_audits(struct spread_rig *g);

/** Commits a new revision; @acceptor knows of it, unless it isn't running. */
uint64_t spread_rig_accept(struct spread_rig *g, uint32_t acceptor);
uint64_t spread_rig_head_revision(const struct spread_rig *g);

/** Delivers a forged message to @to as if @from had sent it. */
void spread_rig_inject(struct spread_rig *g, uint32_t from, uint32_t to,
		       const struct pf_spread_msg *m);

/** Runs all events up to @until. */
void spread_rig_run(struct spread_rig *g, pf_ms until);
pf_ms spread_rig_now(const struct spread_rig *g);

/** Whether all running processes are at the head revision. */
bool spread_rig_converged(const struct spread_rig *g);

struct spread_rig_stats {
	uint64_t messages;
	uint64_t cross_region_bytes; /* table reads included */
	uint64_t table_reads;
	uint64_t violations;
	char first_violation[160]; /* empty: none */
};

const struct spread_rig_stats *spread_rig_stats(const struct spread_rig *g);

PF_END_DECLS

#endif
