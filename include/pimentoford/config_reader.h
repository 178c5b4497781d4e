/*
 * Follows the configuration in the table: polls its head and, when that has
 * moved, reads the whole set of records at one revision and builds it. Only
 * higher revisions are reported, so a follower never goes back.
 */
#ifndef PIMENTOFORD_CONFIG_READER_H
#define PIMENTOFORD_CONFIG_READER_H

#include "pimentoford/records.h"
#include "pimentoford/table_client.h"

PF_BEGIN_DECLS

struct pf_config_reader;

struct pf_config_reader_opts {
	struct event_base *base;
	struct pf_table *table; /* borrowed */
	pf_ms poll; /* asks for the head so often, with jitter */
	uint64_t seed;
	/* A newer set: takes over @config, borrows @set. */
	void (*adopt)(void *ctx, struct pf_config *config,
		      const struct pf_records *set);
	/* A set that this release can't build. */
	void (*refused)(void *ctx, uint64_t revision,
			const struct pf_findings *f);
	void *ctx;
};

struct pf_config_reader_stats {
	uint64_t reads; /* requests to the table */
	uint64_t errors; /* without a usable answer */
};

/** Starts at once. NULL without memory. */
struct pf_config_reader *
pf_config_reader_new(const struct pf_config_reader_opts *o);
void pf_config_reader_free(struct pf_config_reader *r);

/** A higher revision came another way: only what is newer is read. */
void pf_config_reader_have(struct pf_config_reader *r, uint64_t revision);

const struct pf_config_reader_stats *
pf_config_reader_stats(const struct pf_config_reader *r);

PF_END_DECLS

#endif
