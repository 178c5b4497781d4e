/*
 * Placement core: decides which models are to be resident at which engines.
 * Every model has a home; then, where memory allows, one in a second
 * availability zone; then replicas follow demand, where what a load regains
 * over a horizon outweighs the deployment's move cost. The core only asks:
 * agents dispose over their memory, so two planners at once do no harm.
 */
#ifndef PIMENTOFORD_PLACE_H
#define PIMENTOFORD_PLACE_H

#include "pimentoford/demand.h"
#include "pimentoford/record.h"
#include "pimentoford/work.h"

PF_BEGIN_DECLS

struct pf_placement;

struct pf_place_opts {
	uint64_t region; /* id of the region that is planned; 0: all */
	uint32_t agents_max; /* engines planned; others are left alone */
	uint32_t models_max; /* at the bound further models load on demand */
	uint32_t entries_max; /* whose demand is kept; at the bound the oldest
			       * is replaced */
	pf_ms plan_interval;
	pf_ms stale_after; /* reports and demand older than this don't count */
	pf_ms horizon; /* over which a move must pay */
	pf_ms demand_decay; /* demand that fell fades by 1/e in this time */
	pf_ms replica_min_age; /* a new replica stays for so long */
	double target_utilization; /* of an engine's batch that may be filled */
};

/** Fills in the defaults that are shipped. */
void pf_place_opts_default(struct pf_place_opts *o);

/** NULL when options are out of range or there is no memory. */
struct pf_placement *pf_place_new(const struct pf_place_opts *o);
void pf_place_free(struct pf_placement *p);

enum pf_place_msg_type {
	PF_PLACE_CONFIG, /* u.config: borrowed until the next one */
	PF_PLACE_REPORT, /* u.report: of an agent; borrowed for the call */
	PF_PLACE_AGENT_LOST, /* u.agent: its VM is gone or leaving */
	PF_PLACE_DEMAND, /* u.demand: all demand of one entry */
	PF_PLACE_LEASE, /* u.lease_held: whether this planner holds the lease */
	PF_PLACE_TICK,
};

struct pf_place_msg {
	enum pf_place_msg_type type;
	union {
		const struct pf_config *config;
		struct pf_report report;
		uint64_t agent;
		struct {
			uint64_t entry;
			const struct pf_demand *v;
			size_t n;
		} demand;
		bool lease_held;
	} u;
};

/** What is to be resident at an agent, most wanted first. */
struct pf_place_act {
	uint64_t agent;
	const uint64_t *items; /* valid in the call */
	uint32_t n_items;
};

/** Where acts go. `emit` must not call back into the core. */
struct pf_place_sink {
	void (*emit)(void *ctx, const struct pf_place_act *act);
	void *ctx;
};

void pf_place_step(struct pf_placement *p, pf_ms now,
		   const struct pf_place_msg *m,
		   const struct pf_place_sink *sink);

/**
 * When the next PF_PLACE_TICK is due; PF_NEVER without the lease. Sooner than
 * plan_interval when a load only waits for the weight store's budget.
 */
pf_ms pf_place_next(const struct pf_placement *p);

struct pf_place_stats {
	uint64_t plans, homes, second_homes, replicas, evictions;
	uint64_t budget_waits; /* loads that had to wait for budget */
	uint64_t
		memory_evictions; /* replicas given up where memory had shrunk */
	uint32_t unplaced; /* models that this planner owes a home now */
};

void pf_place_stats(const struct pf_placement *p, struct pf_place_stats *s);

PF_END_DECLS

#endif
