/*
 * When a gateway asks another one for a configuration that it lacks. The store
 * comes first, unless it doesn't answer this gateway. A peer that has stated the
 * version may have been stopped or cut off since, so that others are asked
 * before its time is over.
 */
#ifndef PIMENTOFORD_CONFIG_FETCH_H
#define PIMENTOFORD_CONFIG_FETCH_H

#include "pimentoford/base.h"

PF_BEGIN_DECLS

/** Fetches in flight at most, each from another peer. */
#define PF_CONFIG_FETCHES_MAX 3
/** A fetch has failed after this time without a byte. */
#define PF_CONFIG_FETCH_TIMEOUT_MS 1000

/** Initialized to zero. */
struct pf_config_fetch {
	uint64_t told; /* the newest version that a peer stated */
	pf_ms behind_since; /* it is newer than the own one; 0: it isn't */
	struct {
		uint64_t peer; /* 0: unused */
		pf_ms started_at;
	} v[PF_CONFIG_FETCHES_MAX];
	uint64_t failed_peer; /* the last one whose fetch failed; 0: none */
	pf_ms failed_at;
};

/** A peer states the version that it has in force. */
struct pf_config_stated {
	uint64_t peer; /* not 0 */
	uint64_t version;
	uint64_t own_version; /* 0: none */
	bool store_away; /* doesn't answer this gateway */
};

/**
 * Whether to fetch from the peer now; then it counts as in flight until
 * pf_config_fetch_ended(). *@slot: below PF_CONFIG_FETCHES_MAX; an earlier fetch
 * in the slot has taken too long and must be cancelled.
 */
bool pf_config_fetch_due(struct pf_config_fetch *f, pf_ms now,
			 const struct pf_config_stated *s, uint32_t *slot);

void pf_config_fetch_ended(struct pf_config_fetch *f, pf_ms now, uint32_t slot,
			   bool ok);

/** A version has come into force: for the next one, the store comes first. */
void pf_config_fetch_in_force(struct pf_config_fetch *f);

PF_END_DECLS

#endif
