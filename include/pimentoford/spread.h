/*
 * Spread core: distributes each accepted configuration to every process within
 * seconds. A process only ever moves to a higher revision. Does no I/O.
 *
 * Heartbeats carry heads, that is, the sender's revision. A process that is
 * behind pulls from a peer that is ahead: either a delta of the records changed
 * since its own revision or the full set, verified by a digest. The first
 * entries of a region by rendezvous hashing, its relays, poll the table. The
 * other entries read it only when no read in the region is known for a while,
 * each rank later than the one before, so that a failed relay is replaced
 * without agreement.
 */
#ifndef PIMENTOFORD_SPREAD_H
#define PIMENTOFORD_SPREAD_H

#include "pimentoford/records.h"
#include "pimentoford/table.h"

PF_BEGIN_DECLS

struct pf_spread;

struct pf_spread_opts {
	uint64_t self; /* id of this process */
	uint64_t region; /* pf_id() of its region */
	uint64_t seed;
	bool is_entry; /* only entries are relays; others read the table last */
	uint32_t relays_per_region; /* entries that poll the table */
	uint32_t peers_max; /* peers beyond this are ignored */
	uint32_t members_max; /* members beyond this are ignored */
	uint32_t history_max; /* changes kept for deltas; a peer further behind
			       * gets the full set */
	uint32_t cold_start_peers; /* heads awaited before the first pull */
	pf_ms cold_start_wait; /* longest wait for them after the first */
	pf_ms poll_interval; /* between a relay's reads of the table's head */
	pf_ms table_stale_after; /* age of a read at which the next rank reads */
	pf_ms read_timeout;
	pf_ms heartbeat_interval; /* shortest, between heads to a peer */
	uint32_t heartbeat_bytes_per_s; /* many peers get heads less often */
	uint32_t remote_heartbeat_every; /* each n-th goes to all regions */
	pf_ms pull_timeout;
	pf_ms remote_pull_after; /* time behind before pulls from other regions */
	pf_ms backoff_min;
	pf_ms backoff_max;
};

/** Fills in the defaults. */
void pf_spread_opts_default(struct pf_spread_opts *o);

/** Returns NULL if an option is out of range or memory runs out. */
struct pf_spread *pf_spread_new(const struct pf_spread_opts *o, pf_ms now);
void pf_spread_free(struct pf_spread *s);

/** The state that a process announces with a heartbeat. */
struct pf_spread_head {
	uint64_t revision; /* in force at the sender; 0: none */
	uint64_t region;
	pf_ms table_age; /* since a read of the table in its region; -1: never */
};

/** A delta, or the full set if `base` is 0. */
struct pf_spread_config {
	uint64_t base; /* lowest revision that the delta applies to */
	uint64_t revision;
	uint64_t digest; /* of the resulting set */
	struct pf_str text;
};

enum pf_spread_msg_type {
	PF_SPREAD_PEER_UP, /* u.is_entry: a session with `peer` opened */
	PF_SPREAD_PEER_DOWN,
	PF_SPREAD_HEAD, /* u.head, from `peer` */
	PF_SPREAD_PULL, /* u.revision of `peer`; 0: it wants the full set */
	PF_SPREAD_CONFIG, /* u.config, from `peer` */
	PF_SPREAD_MEMBERS, /* u.members: live entries of this region; until
			    * then, the entries among the peers */
	PF_SPREAD_COMMITTED, /* u.revision was committed to the table */
	PF_SPREAD_TABLE_HEAD, /* u.table: the reply to the read `seq` */
	PF_SPREAD_TABLE_CHANGES,
	PF_SPREAD_TABLE_SET,
	PF_SPREAD_TICK,
};

struct pf_spread_msg {
	enum pf_spread_msg_type type;
	uint64_t peer;
	uint64_t seq;
	union {
		bool is_entry;
		uint64_t revision;
		struct pf_spread_head head;
		struct pf_spread_config config;
		struct {
			const uint64_t *ids;
			uint32_t n_ids;
		} members;
		struct {
			enum pf_table_status status; /* not OK: failed */
			uint64_t revision; /* HEAD, SET */
			const struct pf_table_row *rows; /* CHANGES: audits */
			size_t n_rows;
			const struct pf_records *set; /* SET: at `revision` */
		} table;
	} u;
};

enum pf_spread_act_type {
	PF_SPREAD_SEND_HEAD, /* u.head to `peer` */
	PF_SPREAD_SEND_PULL, /* u.revision to `peer` */
	PF_SPREAD_SEND_CONFIG, /* u.config to `peer` */
	PF_SPREAD_READ_HEAD, /* the reply repeats `seq` */
	PF_SPREAD_READ_CHANGES, /* u.changes: audit rows to read */
	PF_SPREAD_READ_SET,
	PF_SPREAD_ADOPT, /* u.adopt: a higher revision to put into force */
};

/** Its data is valid during the call of `emit`. */
struct pf_spread_act {
	enum pf_spread_act_type type;
	uint64_t peer;
	uint64_t seq;
	union {
		struct pf_spread_head head;
		struct pf_spread_config config;
		uint64_t revision;
		struct {
			uint64_t after; /* first one: after + 1 */
			uint64_t revision; /* last one */
		} changes;
		struct {
			uint64_t revision;
			const struct pf_records *set;
		} adopt;
	} u;
};

/** Receives acts. `emit` must not call back into the core. */
struct pf_spread_sink {
	void (*emit)(void *ctx, const struct pf_spread_act *act);
	void *ctx;
};

/** Handles one message at time @now; acts go to @sink. */
void pf_spread_step(struct pf_spread *s, pf_ms now,
		    const struct pf_spread_msg *m,
		    const struct pf_spread_sink *sink);

/** Time of the next PF_SPREAD_TICK. */
pf_ms pf_spread_next(const struct pf_spread *s);

/** The revision in force; 0: none yet, and the process isn't ready. */
uint64_t pf_spread_revision(const struct pf_spread *s);

/**
 * Chooses the entries that @self is to have sessions with, from the @n entries
 * of its region: those at doubling distances after it on a hash ring, so that
 * all are connected within log2(n) hops. Sorts @ids in place. Returns how many
 * were written to @out, at most @max.
 */
uint32_t pf_spread_neighbours(uint64_t *ids, uint32_t n, uint64_t self,
			      uint64_t *out, uint32_t max);

struct pf_spread_stats {
	uint64_t adopted, heads_out, pulls_out, deltas_out, full_sets_out;
	uint64_t reads, read_errors, pull_timeouts;
	uint64_t rejected; /* configurations with a wrong digest or base */
	uint64_t stale_revisions; /* lower ones named by peers or the table */
};

void pf_spread_stats(const struct pf_spread *s, struct pf_spread_stats *st);

PF_END_DECLS

#endif
