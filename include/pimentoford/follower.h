/*
 * Keeps a process at the accepted configuration: drives the spread core from
 * the event loop, the table client and the sessions with other processes.
 */
#ifndef PIMENTOFORD_FOLLOWER_H
#define PIMENTOFORD_FOLLOWER_H

#include "pimentoford/spread.h"
#include "pimentoford/table_client.h"
#include "pimentoford/wire.h"

struct event_base;

PF_BEGIN_DECLS

struct pf_follower;

struct pf_follower_opts {
	struct event_base *base;
	struct pf_table *table; /* borrowed */
	struct pf_spread_opts core;
	/* Sends to the process @peer, if there is a session. */
	void (*send)(void *ctx, uint64_t peer, const struct pf_wire_msg *m);
	/* A higher revision: takes over @config, borrows @set. */
	void (*adopt)(void *ctx, struct pf_config *config,
		      const struct pf_records *set);
	/* A set that this release can't build; others may pull it here. */
	void (*refused)(void *ctx, uint64_t revision,
			const struct pf_findings *f);
	void *ctx;
};

/** Starts at once. NULL without memory. */
struct pf_follower *pf_follower_new(const struct pf_follower_opts *o);

/** The table is to be freed next, since answers may still be awaited. */
void pf_follower_free(struct pf_follower *f);

/** A session with @peer came up; @entry says what it is. */
void pf_follower_peer_up(struct pf_follower *f, uint64_t peer, bool entry);
void pf_follower_peer_down(struct pf_follower *f, uint64_t peer);

/** Takes CONFIG_HEAD, CONFIG_PULL and CONFIG; others are skipped. */
void pf_follower_message(struct pf_follower *f, uint64_t peer,
			 const struct pf_wire_msg *m);

/** A commit of this process made @revision. */
void pf_follower_committed(struct pf_follower *f, uint64_t revision);

void pf_follower_stats(const struct pf_follower *f, struct pf_spread_stats *s);

PF_END_DECLS

#endif
