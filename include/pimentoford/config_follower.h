/*
 * Keeps a process on the latest accepted configuration. Runs the spread core
 * on the event loop, the table client and the sessions with other processes.
 */
#ifndef PIMENTOFORD_CONFIG_FOLLOWER_H
#define PIMENTOFORD_CONFIG_FOLLOWER_H

#include "pimentoford/spread.h"
#include "pimentoford/table_client.h"
#include "pimentoford/wire.h"

struct event_base;

PF_BEGIN_DECLS

struct pf_config_follower;

struct pf_config_follower_opts {
	struct event_base *base;
	struct pf_table *table; /* borrowed */
	struct pf_spread_opts core;
	/* Sends @m to @peer if a session with it is up. */
	void (*send)(void *ctx, uint64_t peer, const struct pf_wire_msg *m);
	/* Activates a newer configuration; owns @config, borrows @set. */
	void (*adopt)(void *ctx, struct pf_config *config,
		      const struct pf_records *set);
	/* This release can't build the set; peers can still pull it. */
	void (*refused)(void *ctx, uint64_t revision,
			const struct pf_findings *f);
	void *ctx;
};

/** Starts following at once. Returns NULL when out of memory. */
struct pf_config_follower *
pf_config_follower_new(const struct pf_config_follower_opts *o);

/** Free the table right after: its pending reads refer to @f. */
void pf_config_follower_free(struct pf_config_follower *f);

/** Reports that a session with @peer came up; @entry: it is an entry. */
void pf_config_follower_peer_up(struct pf_config_follower *f, uint64_t peer,
				bool entry);

/** Reports that the session with @peer was lost. */
void pf_config_follower_peer_down(struct pf_config_follower *f, uint64_t peer);

/** Handles CONFIG_HEAD, CONFIG_PULL and CONFIG; ignores other types. */
void pf_config_follower_message(struct pf_config_follower *f, uint64_t peer,
				const struct pf_wire_msg *m);

/** Reports that this process committed @revision to the table. */
void pf_config_follower_committed(struct pf_config_follower *f,
				  uint64_t revision);

void pf_config_follower_stats(const struct pf_config_follower *f,
			      struct pf_spread_stats *s);

PF_END_DECLS

#endif
