/* Spread core: private definitions shared by its source files. */
#ifndef SRC_COORDINATION_SPREAD_INTERNAL_H
#define SRC_COORDINATION_SPREAD_INTERNAL_H

#include "pimentoford/rows.h"
#include "pimentoford/spread.h"
#include "pimentoford/text.h"

struct pf_spread_change {
	uint64_t revision;
	enum pf_kind kind;
	char *name; /* owned */
};

/** The set in force, and the latest changes to its records. */
struct pf_spread_set {
	uint64_t revision; /* 0: none */
	uint64_t digest;
	struct pf_records records;
	struct pf_spread_change *changes; /* ring of changes_max */
	uint32_t changes_max;
	uint32_t n_changes;
	uint32_t oldest; /* index of the oldest change */
	uint64_t delta_base_min; /* lowest revision that a delta can start at */
};

/** Returns 0, or -1 if memory runs out; free it in both cases. */
int pf_spread_set_init(struct pf_spread_set *s, uint32_t changes_max);
void pf_spread_set_free(struct pf_spread_set *s);

/**
 * Replaces the set by @next, which it owns even if it fails. Returns 0, or -1
 * if @revision isn't higher.
 */
int pf_spread_set_replace(struct pf_spread_set *s, uint64_t revision,
			  struct pf_records *next);

/** Applies a peer's delta or full set. 0, or -1 with the set unchanged. */
int pf_spread_set_apply_config(struct pf_spread_set *s,
			       const struct pf_spread_config *c);

/** Applies audit rows up to revision @to. 0, or -1 with the set unchanged. */
int pf_spread_set_apply_audits(struct pf_spread_set *s, uint64_t to,
			       const struct pf_table_row *rows, size_t n);

/** The delta from @base, or the full set if it is too old; its text is in @t. */
struct pf_spread_config pf_spread_set_delta(const struct pf_spread_set *s,
					    uint64_t base, struct pf_text *t);

struct pf_spread_peer {
	uint64_t id;
	bool is_entry;
	bool head_received; /* so that its region and revision are known */
	bool last_pull_timed_out; /* it caused the last timeout of a pull */
	uint64_t region;
	uint64_t revision;
	uint64_t announced_revision; /* in the last head sent to it */
	pf_ms announced_at; /* when that was sent */
};

enum pf_spread_reading {
	PF_SPREAD_READING_NONE,
	PF_SPREAD_READING_HEAD,
	PF_SPREAD_READING_CHANGES,
	PF_SPREAD_READING_SET,
};

struct pf_spread {
	struct pf_spread_opts opts;
	struct pf_rng rng;
	pf_ms now;
	const struct pf_spread_sink *sink;
	struct pf_spread_set set;
	struct pf_spread_stats stats;
	struct pf_text scratch;

	struct pf_spread_peer *peers;
	uint32_t n_peers;
	uint64_t *members; /* live entries of this region */
	uint32_t n_members;
	bool has_members; /* false: the entries among the peers count */
	uint32_t rank; /* by rendezvous hashing, 0 is first */
	pf_ms heartbeat_at;
	uint32_t n_heartbeats;
	pf_ms entry_interval; /* mean, between heads to entries */
	pf_ms agent_interval; /* between heads to agents */
	pf_ms table_stale_after; /* the option, or more if heartbeats are rare */
	pf_ms repeat_at; /* next heads to peers that don't confirm */
	uint32_t n_repeats;

	enum pf_spread_reading reading;
	uint64_t read_seq;
	pf_ms read_deadline; /* after it, the reply counts as lost */
	pf_ms last_read_end;
	pf_ms read_jitter; /* added before the next read */
	pf_ms read_not_before; /* backoff after failures */
	uint32_t read_failures;
	uint64_t table_revision; /* of the head read last */
	uint64_t committed_revision; /* the table is at least at this one */
	pf_ms table_read_at; /* last known read in this region */

	uint64_t pull_peer; /* 0: no pull in flight */
	pf_ms pull_deadline;
	pf_ms pull_not_before; /* backoff after failures */
	uint32_t pull_failures;
	bool pull_full_set; /* the last configuration was rejected */
	pf_ms behind_since; /* PF_NEVER: no peer is ahead */
	pf_ms cold_start_deadline; /* PF_NEVER: no peer was ahead yet */
};

/** Before any other time. */
#define PF_LONG_AGO (-((pf_ms)1 << 40))

/** Exponential backoff with jitter. */
pf_ms pf_spread_backoff(struct pf_spread *s, uint32_t fails);
void pf_spread_emit(struct pf_spread *s, const struct pf_spread_act *a);
/** Emits the new set, and announces its revision to peers. */
void pf_spread_on_adopted(struct pf_spread *s);

/** Whether @p is known to be in this process's region. */
static inline bool pf_spread_same_region(const struct pf_spread *s,
					 const struct pf_spread_peer *p)
{
	return p->head_received && p->region == s->opts.region;
}

/* spread_read.c: reads of the table. */
void pf_spread_update_rank(struct pf_spread *s);
void pf_spread_on_table(struct pf_spread *s, const struct pf_spread_msg *m);
/** Starts a read that is due; ends one that timed out. */
void pf_spread_run_reads(struct pf_spread *s);
pf_ms pf_spread_next_read(const struct pf_spread *s);

/* spread_pull.c: pulls from peers. */
void pf_spread_on_config(struct pf_spread *s, const struct pf_spread_msg *m);
void pf_spread_run_pulls(struct pf_spread *s);
pf_ms pf_spread_next_pull(const struct pf_spread *s);

#endif
