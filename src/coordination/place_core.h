/* Private parts of the placement core, shared by its modules. */
#ifndef PLACE_CORE_H
#define PLACE_CORE_H

#include "pimentoford/map.h"
#include "pimentoford/place.h"

#define PLACE_NONE UINT32_MAX

/* A replica of a model at an agent. */
struct place_cell {
	bool wanted;
	bool resident; /* resident, by the last report */
	bool loading; /* loading, by the last report */
	pf_ms wanted_since; /* when it was first wanted */
	double requests; /* requests of the model that fall to it */
};

struct place_agent {
	uint64_t id;
	const struct pf_endpoint *record; /* NULL: not declared */
	uint64_t zone; /* id of its availability zone */
	pf_ms last_seen;
	bool available; /* fresh, ready and not leaving */
	bool withdrawn;
	uint64_t incarnation;
	pf_ms last_order; /* when it was last told its wants */
	int64_t free_bytes; /* for weights */
	double batch_max;
	double requests; /* requests that fall to it */
	uint32_t active_models; /* models with a notable share here */
	bool needs_order;
};

struct place_model {
	uint64_t id;
	const struct pf_model *record;
	double demand; /* requests at once, smoothed */
	bool assigned_here; /* this region owes it a home */
	bool resident_elsewhere; /* it is resident in another region */
	pf_ms seen_elsewhere; /* when that was last reported; 0: never */
	uint32_t replicas; /* wanted at alive agents */
	uint32_t resident_replicas; /* and there by their last reports */
	double spare_requests; /* room for requests at those that want it */
	uint32_t zones;
};

struct place_entry {
	uint64_t id;
	pf_ms last_seen;
	double *demand; /* by model */
};

struct pf_placement {
	struct pf_place_opts opts;
	const struct pf_config *config;
	bool lease_held;
	pf_ms now;
	pf_ms next_plan;
	pf_ms last_plan; /* time of the last plan */
	double load_tokens; /* that the weight store's rate allows now, at most 1 */
	double load_rate; /* this region's part of the weight store's rate */
	uint32_t in_flight_max; /* and of its loads at once */
	uint32_t in_flight; /* asked for and not finished */
	bool load_waiting; /* something waits for budget */
	bool placing_assigned; /* homes that are owed are being placed */

	struct place_agent *agents;
	uint32_t n_agents;
	struct pf_map agent_index;
	struct place_model *models;
	uint32_t n_models;
	struct pf_map model_index;
	struct place_cell *cells; /* models_max by agents_max */
	struct place_entry *entries;
	uint32_t n_entries;
	uint64_t *items; /* scratch, models_max */
	bool *victims; /* scratch, models_max */
	uint32_t *models_by_size; /* models, the largest first */
	struct pf_place_stats stats;
};

static inline struct place_cell *place_cell(const struct pf_placement *p,
					    uint32_t model, uint32_t agent)
{
	return &p->cells[(size_t)model * p->opts.agents_max + agent];
}

/* place_region.c: what of the whole falls to this region. */
void place_assign_region(struct pf_placement *p);

/* place_load.c: how demand falls on replicas. */
void place_update_demand(struct pf_placement *p);
/* Splits each model's demand over its replicas so that engines even out. */
void place_split_demand(struct pf_placement *p);
/* Requests of the model beyond the target of the engines that serve it. */
double place_excess_demand(const struct pf_placement *p, uint32_t model);

/* place_count.c: what is wanted where, and what may be asked for. */
void place_count_replicas(struct pf_placement *p, uint32_t model);
/* Counts the loads under way and refills the budget. */
void place_refill_budget(struct pf_placement *p);
/* Whether one more load may be asked for now; notes that one waits. */
bool place_may_load(struct pf_placement *p);
bool place_has_replica_in_zone(const struct pf_placement *p, uint32_t model,
			       uint64_t zone);
void place_set_wanted(struct pf_placement *p, uint32_t model, uint32_t agent,
		      bool yes);

/* place_plan.c: homes, second homes and replicas. */
void place_plan(struct pf_placement *p);

#endif
