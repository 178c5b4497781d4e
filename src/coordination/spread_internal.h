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
	struct pf_spread_change *ring;
	uint32_t cap;
	uint32_t n;
	uint32_t first; /* the oldest in the ring */
	uint64_t floor; /* deltas are known from here on */
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
int pf_spread_set_config(struct pf_spread_set *s,
			 const struct pf_spread_config *c);

/** Takes in audit rows in order. 0, or -1 with the set as it was. */
int pf_spread_set_audits(struct pf_spread_set *s, uint64_t to,
			 const struct pf_table_row *rows, size_t n);

/** What brings a process at @base here; the text is put into @t. */
struct pf_spread_config pf_spread_set_since(const struct pf_spread_set *s,
					    uint64_t base, struct pf_text *t);

struct pf_spread_peer {
	uint64_t id;
	bool entry;
	bool heard; /* its region and revision are known */
	bool pulled_last; /* it did not answer the last pull */
	uint64_t region;
	uint64_t revision;
	uint64_t told; /* revision that it was told of last */
	pf_ms told_at;
};

enum pf_spread_read {
	PF_READ_NONE,
	PF_READ_HEAD,
	PF_READ_CHANGES,
	PF_READ_SET,
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
	pf_ms beat_at;
	uint32_t beats;
	pf_ms every_entry; /* heads to near entries, on average */
	pf_ms every_agent;
	pf_ms stale; /* silence about the table until the next rank reads */
	pf_ms again_at; /* peers that don't confirm are told again */
	uint32_t agains;

	enum pf_spread_read reading;
	uint64_t read_seq;
	pf_ms read_until; /* the answer is lost after this */
	pf_ms read_done; /* end of the last reading */
	pf_ms read_jitter; /* of the next one */
	pf_ms read_backoff; /* no reading before */
	uint32_t read_fails;
	uint64_t table_head; /* as read last */
	uint64_t seen; /* it is known to be at least that */
	pf_ms table_at; /* last reading known in this region */

	uint64_t pull_peer; /* 0: no pull under way */
	pf_ms pull_until;
	pf_ms pull_backoff;
	uint32_t pull_fails;
	bool pull_whole;
	pf_ms behind_since; /* PF_NEVER: not behind */
	pf_ms cold_until; /* PF_NEVER: no head was heard */
};

/** A moment that is before all others. */
#define PF_LONG_AGO (-((pf_ms)1 << 40))

pf_ms pf_spread_backoff(struct pf_spread *s, uint32_t fails);
void pf_spread_emit(struct pf_spread *s, const struct pf_spread_act *a);
/** The set is now at a higher revision: tells the daemon and the peers. */
void pf_spread_adopted(struct pf_spread *s);

/** Whether @p is known to be in this process's region. */
static inline bool pf_spread_near(const struct pf_spread *s,
				  const struct pf_spread_peer *p)
{
	return p->heard && p->region == s->opts.region;
}

/* spread_read.c */
void pf_spread_rank(struct pf_spread *s);
void pf_spread_table(struct pf_spread *s, const struct pf_spread_msg *m);
/** Starts a reading that is due, ends one that is lost. */
void pf_spread_read(struct pf_spread *s);
pf_ms pf_spread_read_next(const struct pf_spread *s);

/* spread_pull.c */
void pf_spread_config(struct pf_spread *s, const struct pf_spread_msg *m);
void pf_spread_pull(struct pf_spread *s);
pf_ms pf_spread_pull_next(const struct pf_spread *s);

#endif
