/*
 * Placement core: decides which models are to be resident at which engines.
 * Every model gets a home, an engine that holds it. Further replicas follow
 * demand where the service gained over a horizon exceeds the deployment's
 * move cost. A model in one availability zone only gets a second home in
 * another if memory is free there. Orders are requests: each agent decides
 * about its own memory, so two planners at once do no harm. Does no I/O.
 */
#ifndef PIMENTOFORD_PLACE_H
#define PIMENTOFORD_PLACE_H

#include "pimentoford/demand.h"
#include "pimentoford/record.h"
#include "pimentoford/work.h"

PF_BEGIN_DECLS

struct pf_placement;

struct pf_place_opts {
	uint64_t region; /* id of the region to plan for; 0: all */
	uint32_t agents_max; /* engines beyond this are not planned */
	uint32_t models_max; /* models beyond this are loaded on demand only */
	uint32_t entries_max; /* beyond this, a new entry's demand replaces that
			       * of the entry not seen for the longest time */
	pf_ms plan_interval;
	pf_ms stale_after; /* older reports and demand are ignored */
	pf_ms horizon; /* time over which a move must pay off */
	pf_ms demand_decay; /* falling demand decays by 1/e in this time */
	pf_ms replica_min_age; /* a younger replica is not evicted */
	double target_utilization; /* part of an engine's batch_max to fill */
};

void pf_place_opts_default(struct pf_place_opts *o);

/** NULL if an option is out of range or memory runs out. */
struct pf_placement *pf_place_new(const struct pf_place_opts *o);
void pf_place_free(struct pf_placement *p);

enum pf_place_msg_type {
	PF_PLACE_CONFIG, /* u.config: borrowed until the next one */
	PF_PLACE_REPORT, /* u.report: from an agent; borrowed for the call */
	PF_PLACE_AGENT_LOST, /* u.agent: its VM is gone or leaving */
	PF_PLACE_DEMAND, /* u.demand: all demand at one entry */
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
			const struct pf_demand *v; /* borrowed for the call */
			size_t n;
		} demand;
		bool lease_held;
	} u;
};

/** An order: the complete list of models to be resident at an agent. */
struct pf_place_act {
	uint64_t agent;
	const uint64_t *items; /* model ids; valid during the call */
	uint32_t n_items;
};

/** `emit` must not call back into the core. */
struct pf_place_sink {
	void (*emit)(void *ctx, const struct pf_place_act *act);
	void *ctx;
};

void pf_place_step(struct pf_placement *p, pf_ms now,
		   const struct pf_place_msg *m,
		   const struct pf_place_sink *sink);

/**
 * Time of the next PF_PLACE_TICK; PF_NEVER without the lease. Earlier than
 * plan_interval if a load waits only for the weight store's budget.
 */
pf_ms pf_place_next(const struct pf_placement *p);

struct pf_place_stats {
	uint64_t plans;
	uint64_t homes, second_homes, replicas; /* replicas added, by reason */
	uint64_t evictions; /* replicas removed */
	uint64_t budget_waits; /* plans in which a load waited for budget */
	uint64_t memory_evictions; /* evictions because memory had shrunk */
	uint32_t unplaced; /* models of this region without a home now */
};

void pf_place_stats(const struct pf_placement *p, struct pf_place_stats *s);

PF_END_DECLS

#endif
