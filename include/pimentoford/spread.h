/*
 * Spread core: brings each accepted configuration to every process within
 * seconds, and never back. Does no I/O: feed it messages with
 * pf_spread_step() and carry out the acts it emits.
 *
 * A process adopts only higher revisions. Heads ride on heartbeats; who is
 * behind pulls from a peer that is ahead, as the records changed since its
 * own revision or as the whole set, checked by a digest. The first entries of
 * a region by rendezvous hashing poll the table; the others read it only when
 * nobody in the region has done so for a while, each by its rank later, so a
 * dead relay is replaced without agreement.
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
	bool is_entry; /* entries relay; others read the table last */
	uint32_t
		relays_per_region; /* entries of a region that poll the table */
	uint32_t peers_max; /* sessions; a peer beyond is not heard */
	uint32_t members_max; /* beyond: the first ones count */
	uint32_t history_max; /* changed records remembered for deltas; a peer
			       * further behind gets the whole set */
	uint32_t cold_start_peers; /* heads heard before the first pull */
	pf_ms cold_start_wait; /* longest wait for them after the first */
	pf_ms poll_interval; /* a relay asks the table's head so often */
	pf_ms table_stale_after; /* no reading for so long: the next rank reads */
	pf_ms read_timeout;
	pf_ms heartbeat_interval; /* heads go to near peers at least so often */
	uint32_t heartbeat_bytes_per_s; /* a second; many peers: rarer heads */
	uint32_t remote_heartbeat_every; /* beats between heads to far peers */
	pf_ms pull_timeout;
	pf_ms remote_pull_after; /* behind for so long: pulls from far, too */
	pf_ms backoff_min;
	pf_ms backoff_max;
};

/** Fills in the defaults that are shipped. */
void pf_spread_opts_default(struct pf_spread_opts *o);

/** NULL when options are out of range or there is no memory. */
struct pf_spread *pf_spread_new(const struct pf_spread_opts *o, pf_ms now);
void pf_spread_free(struct pf_spread *s);

/** What a process says of itself with a heartbeat. */
struct pf_spread_head {
	uint64_t revision; /* in force there; 0: none */
	uint64_t region;
	pf_ms table_age; /* since the table was read in that region; -1: never */
};

/** A delta, or a whole set when `base` is 0. */
struct pf_spread_config {
	uint64_t base; /* applies to any revision from here on */
	uint64_t revision;
	uint64_t digest; /* of the whole resulting set */
	struct pf_str text;
};

enum pf_spread_msg_type {
	PF_SPREAD_PEER_UP, /* u.is_entry: a session with `peer` stands */
	PF_SPREAD_PEER_DOWN,
	PF_SPREAD_HEAD, /* u.head, from `peer` */
	PF_SPREAD_PULL, /* u.revision that `peer` has; 0: the whole set */
	PF_SPREAD_CONFIG, /* u.config, from `peer` */
	PF_SPREAD_MEMBERS, /* u.members: live entries of this region; without
			    * this message, the entries among the peers */
	PF_SPREAD_COMMITTED, /* u.revision stands in the table, as a commit said */
	PF_SPREAD_TABLE_HEAD, /* u.table, answers to reads by `seq` */
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
			enum pf_table_status status; /* OK, or it failed */
			uint64_t revision; /* HEAD, SET */
			const struct pf_table_row *rows; /* CHANGES: audits */
			size_t n_rows;
			const struct pf_records *set; /* SET, at one revision */
		} table;
	} u;
};

enum pf_spread_act_type {
	PF_SPREAD_SEND_HEAD, /* u.head to `peer` */
	PF_SPREAD_SEND_PULL, /* u.revision to `peer` */
	PF_SPREAD_SEND_CONFIG, /* u.config to `peer` */
	PF_SPREAD_READ_HEAD, /* answered with `seq` */
	PF_SPREAD_READ_CHANGES, /* audit rows u.after + 1 to u.revision */
	PF_SPREAD_READ_SET,
	PF_SPREAD_ADOPT, /* u.adopt: a higher revision is in force */
};

/** Everything in it is valid during the call. */
struct pf_spread_act {
	enum pf_spread_act_type type;
	uint64_t peer;
	uint64_t seq;
	union {
		struct pf_spread_head head;
		struct pf_spread_config config;
		uint64_t revision;
		struct {
			uint64_t after;
			uint64_t revision;
		} changes;
		struct {
			uint64_t revision;
			const struct pf_records *set;
		} adopt;
	} u;
};

/** Where acts go. `emit` must not call back into the core. */
struct pf_spread_sink {
	void (*emit)(void *ctx, const struct pf_spread_act *act);
	void *ctx;
};

/** Handles one message. Acts go to @sink before it returns. */
void pf_spread_step(struct pf_spread *s, pf_ms now,
		    const struct pf_spread_msg *m,
		    const struct pf_spread_sink *sink);

/** When the next PF_SPREAD_TICK is due. */
pf_ms pf_spread_next(const struct pf_spread *s);

/** The revision in force; 0: none, and the process is not ready. */
uint64_t pf_spread_revision(const struct pf_spread *s);

/**
 * The sessions among the @n entries of a region over which heads travel:
 * those at doubling distances behind @self on a ring by hash, so that all
 * are joined and log2(n) hops apart. @ids is sorted in place. Returns how many
 * were written to @out, at most @max.
 */
uint32_t pf_spread_neighbours(uint64_t *ids, uint32_t n, uint64_t self,
			      uint64_t *out, uint32_t max);

struct pf_spread_stats {
	uint64_t adopted, heads_out, pulls_out, deltas_out, full_sets_out;
	uint64_t reads, read_errors, pull_timeouts;
	uint64_t rejected; /* configurations that fail their digest or base */
	uint64_t
		stale_revisions; /* peers and tables that named a lower revision */
};

void pf_spread_stats(const struct pf_spread *s, struct pf_spread_stats *st);

PF_END_DECLS

#endif
