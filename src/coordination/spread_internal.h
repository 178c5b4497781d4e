/* Inside of the spread core. */
#ifndef SRC_COORDINATION_SPREAD_INTERNAL_H
#define SRC_COORDINATION_SPREAD_INTERNAL_H

#include "pimentoford/rows.h"
#include "pimentoford/spread.h"
#include "pimentoford/text.h"

/** A record that a revision changed. */
struct pf_spread_change {
	uint64_t revision;
	enum pf_kind kind;
	char *name; /* owned */
};

/** The set in force and which of its records changed lately. */
struct pf_spread_set {
	uint64_t revision; /* 0: none */
	uint64_t digest;
	struct pf_records records;
	struct pf_spread_change *changes;
	uint32_t changes_max;
	uint32_t n_changes;
	uint32_t oldest; /* the oldest in the ring */
	uint64_t delta_base_min; /* deltas are known from here on */
};

int pf_spread_set_init(struct pf_spread_set *s, uint32_t cap);
void pf_spread_set_free(struct pf_spread_set *s);

/**
 * Replaces the set by @next, which is taken over whatever comes of it. 0, or
 * -1 when @revision is not higher.
 */
int pf_spread_set_replace(struct pf_spread_set *s, uint64_t revision,
			  struct pf_records *next);

/** Takes in what a peer sent. 0, or -1 with the set as it was. */
int pf_spread_set_apply_config(struct pf_spread_set *s,
			       const struct pf_spread_config *c);

/** Takes in audit rows in order. 0, or -1 with the set as it was. */
int pf_spread_set_apply_audits(struct pf_spread_set *s, uint64_t to,
			       const struct pf_table_row *rows, size_t n);

/** What brings a process at @base here; the text is put into @t. */
struct pf_spread_config pf_spread_set_delta(const struct pf_spread_set *s,
					    uint64_t base, struct pf_text *t);

struct pf_spread_peer {
	uint64_t id;
	bool is_entry;
	bool head_received; /* its region and revision are known */
	bool last_pull_timed_out; /* it did not answer the last pull */
	uint64_t region;
	uint64_t revision;
	uint64_t announced_revision; /* revision that it was told of last */
	pf_ms announced_at;
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
	uint64_t *members;
	uint32_t n_members;
	bool has_members;
	uint32_t rank; /* of this process among the entries; 0: first */
	pf_ms heartbeat_at;
	uint32_t n_heartbeats;
	pf_ms entry_interval; /* heads to near entries, on average */
	pf_ms agent_interval;
	pf_ms table_stale_after; /* silence about the table until the next rank reads */
	pf_ms repeat_at; /* peers that don't confirm are told again */
	uint32_t n_repeats;

	enum pf_spread_reading reading;
	uint64_t read_seq;
	pf_ms read_deadline; /* the answer is lost after this */
	pf_ms last_read_end; /* end of the last reading */
	pf_ms read_jitter; /* of the next one */
	pf_ms read_not_before; /* no reading before */
	uint32_t read_failures;
	uint64_t table_revision; /* as read last */
	uint64_t committed_revision; /* it is known to be at least that */
	pf_ms table_read_at; /* last reading known in this region */

	uint64_t pull_peer; /* 0: no pull under way */
	pf_ms pull_deadline;
	pf_ms pull_not_before;
	uint32_t pull_failures;
	bool pull_full_set;
	pf_ms behind_since; /* PF_NEVER: not behind */
	pf_ms cold_start_deadline; /* PF_NEVER: no head was heard */
};

/** A moment that is before all others. */
#define PF_LONG_AGO (-((pf_ms)1 << 40))

pf_ms pf_spread_backoff(struct pf_spread *s, uint32_t fails);
void pf_spread_emit(struct pf_spread *s, const struct pf_spread_act *a);
/** The set is now at a higher revision: tells the daemon and the peers. */
void pf_spread_on_adopted(struct pf_spread *s);

/** Whether @p is known to be in this process's region. */
static inline bool pf_spread_same_region(const struct pf_spread *s,
					 const struct pf_spread_peer *p)
{
	return p->head_received && p->region == s->opts.region;
}

/* spread_read.c */
void pf_spread_update_rank(struct pf_spread *s);
void pf_spread_on_table(struct pf_spread *s, const struct pf_spread_msg *m);
/** Starts a reading that is due, ends one that is lost. */
void pf_spread_run_reads(struct pf_spread *s);
pf_ms pf_spread_next_read(const struct pf_spread *s);

/* spread_pull.c */
void pf_spread_on_config(struct pf_spread *s, const struct pf_spread_msg *m);
void pf_spread_run_pulls(struct pf_spread *s);
pf_ms pf_spread_next_pull(const struct pf_spread *s);

#endif
