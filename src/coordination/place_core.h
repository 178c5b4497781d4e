/* Placement core: private definitions shared by its source files. */
#ifndef PLACE_CORE_H
#define PLACE_CORE_H

#include "pimentoford/map.h"
#include "pimentoford/place.h"

#define PLACE_NONE UINT32_MAX

/* Cell of the matrix of models and agents. */
struct place_cell {
	bool planned; /* the plan has a replica here */
	bool resident; /* in the last report */
	bool loading; /* in the last report */
	pf_ms planned_changed_at;
	double requests; /* share of the model's demand served here */
};

struct place_agent {
	uint64_t id;
	const struct pf_endpoint *record; /* NULL: not declared */
	uint64_t zone; /* id of its availability zone */
	pf_ms last_seen_at;
	bool available; /* declared, fresh, ready and not draining */
	bool withdrawn; /* reported lost, leaving or not ready */
	uint64_t incarnation;
	pf_ms last_order_at;
	int64_t free_bytes; /* memory for weights less those planned */
	double batch_max;
	double requests; /* at once, of all its models */
	uint32_t active_models; /* with at least ACTIVE_REQUESTS_MIN */
	bool needs_order; /* `planned` differs from the last order */
};

struct place_model {
	uint64_t id;
	const struct pf_model *record;
	double demand; /* requests at once; rises at once, decays slowly */
	bool assigned_here; /* this region must give it a home */
	bool resident_elsewhere; /* in another region */
	pf_ms seen_elsewhere; /* when last reported there; 0: never */
	uint32_t replicas; /* planned at available agents */
	uint32_t resident_replicas; /* of these, reported resident */
	double spare_requests; /* below the target at its replicas */
	uint32_t zones; /* with replicas: 0, 1, or 2 for more than one */
};

struct place_entry {
	uint64_t id;
	pf_ms last_seen_at;
	double *demand; /* requests at once, by model index */
};

struct pf_placement {
	struct pf_place_opts opts;
	const struct pf_config *config;
	bool lease_held;
	pf_ms now;
	pf_ms next_plan_at;
	pf_ms last_plan_at;
	double load_tokens; /* token bucket for loads, at most 1 */
	double load_rate; /* budget of this region, loads per second */
	uint32_t in_flight_max; /* budget of this region, loads at once */
	uint32_t in_flight; /* this region's loads not finished */
	bool load_waiting; /* a load waits for the weight store's budget */
	bool placing_assigned; /* placing homes for this region's models */

	struct place_agent *agents;
	uint32_t n_agents;
	struct pf_map agent_index; /* agent id to index */
	struct place_model *models;
	uint32_t n_models;
	struct pf_map model_index; /* model id to index */
	struct place_cell *cells; /* rows of agents_max, one per model */
	struct place_entry *entries;
	uint32_t n_entries;
	uint64_t *items; /* scratch for an order, models_max */
	bool *victims; /* scratch for make_room(), models_max */
	uint32_t *models_by_size; /* model indexes, largest weights first */
	struct pf_place_stats stats;
};

static inline struct place_cell *place_cell(const struct pf_placement *p,
					    uint32_t model, uint32_t agent)
{
	return &p->cells[(size_t)model * p->opts.agents_max + agent];
}

/*
 * place_region.c: this region's part of the weight store's budget, and the
 * models that it must give a home.
 */
void place_assign_region(struct pf_placement *p);

/* place_load.c: distribution of demand over replicas. */
void place_update_demand(struct pf_placement *p);
/* Splits each model's demand over its replicas to balance the engines. */
void place_split_demand(struct pf_placement *p);
/* The model's share of the requests above its engines' target. */
double place_excess_demand(const struct pf_placement *p, uint32_t model);

/* place_count.c: replica counts and the budget for loads. */
void place_count_replicas(struct pf_placement *p, uint32_t model);
/* Counts the loads in flight and refills the token bucket. */
void place_refill_budget(struct pf_placement *p);
/* Whether the budget allows one more load; if not, records that one waits. */
bool place_may_load(struct pf_placement *p);
bool place_has_replica_in_zone(const struct pf_placement *p, uint32_t model,
			       uint64_t zone);
void place_set_planned(struct pf_placement *p, uint32_t model, uint32_t agent,
		       bool yes);

/* place_plan.c: homes, demand-driven replicas and second homes. */
void place_plan(struct pf_placement *p);

#endif
