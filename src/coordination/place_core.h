/* Private parts of the placement core, shared by its modules. */
#ifndef PLACE_CORE_H
#define PLACE_CORE_H

#include "pimentoford/map.h"
#include "pimentoford/place.h"

#define PLACE_NONE UINT32_MAX

/* A replica of a model at an agent. */
struct place_cell {
	bool want;
	bool have; /* resident, by the last report */
	bool coming; /* loading, by the last report */
	pf_ms since; /* when it was first wanted */
	double share; /* requests of the model that fall to it */
};

struct place_agent {
	uint64_t id;
	const struct pf_endpoint *record; /* NULL: not declared */
	uint64_t zone; /* id of its availability zone */
	pf_ms seen;
	bool alive; /* fresh, ready and not leaving */
	bool gone;
	uint64_t incarnation;
	pf_ms told; /* when it was last told its wants */
	int64_t room; /* for weights */
	double batch;
	double load; /* requests that fall to it */
	uint32_t active; /* models with a notable share here */
	bool changed;
};

struct place_model {
	uint64_t id;
	const struct pf_model *record;
	double demand; /* requests at once, smoothed */
	bool own; /* this region owes it a home */
	bool abroad; /* it is resident in another region */
	pf_ms abroad_at; /* when that was last reported; 0: never */
	uint32_t replicas; /* wanted at alive agents */
	uint32_t resident; /* and there by their last reports */
	double spare; /* room for requests at those that want it */
	uint32_t zones;
};

struct place_entry {
	uint64_t id;
	pf_ms seen;
	double *demand; /* by model */
};

struct pf_placement {
	struct pf_place_opts o;
	const struct pf_config *config;
	bool held;
	pf_ms now;
	pf_ms next;
	pf_ms planned; /* time of the last plan */
	double loads; /* that the weight store's rate allows now, at most 1 */
	double rate; /* this region's part of the weight store's rate */
	uint32_t inflight; /* and of its loads at once */
	uint32_t pending; /* asked for and not finished */
	bool waits; /* something waits for budget */
	bool urgent; /* homes that are owed are being placed */

	struct place_agent *agents;
	uint32_t n_agents;
	struct pf_map by_agent;
	struct place_model *models;
	uint32_t n_models;
	struct pf_map by_model;
	struct place_cell *cells; /* models_max by agents_max */
	struct place_entry *entries;
	uint32_t n_entries;
	uint64_t *items; /* scratch, models_max */
	bool *taken; /* scratch, models_max */
	uint32_t *by_size; /* models, the largest first */
	struct pf_place_stats st;
};

static inline struct place_cell *place_cell(const struct pf_placement *p,
					    uint32_t model, uint32_t agent)
{
	return &p->cells[(size_t)model * p->o.agents_max + agent];
}

/* place_region.c: what of the whole falls to this region. */
void place_region_take(struct pf_placement *p);

/* place_load.c: how demand falls on replicas. */
void place_demand_update(struct pf_placement *p);
/* Splits each model's demand over its replicas so that engines even out. */
void place_split(struct pf_placement *p);
/* Requests of the model beyond the target of the engines that serve it. */
double place_excess(const struct pf_placement *p, uint32_t model);

/* place_count.c: what is wanted where, and what may be asked for. */
void place_count(struct pf_placement *p, uint32_t model);
/* Counts the loads under way and refills the budget. */
void place_refill(struct pf_placement *p);
/* Whether one more load may be asked for now; notes that one waits. */
bool place_may_load(struct pf_placement *p);
bool place_in_zone(const struct pf_placement *p, uint32_t model, uint64_t zone);
void place_want(struct pf_placement *p, uint32_t model, uint32_t agent,
		bool yes);

/* place_plan.c: homes, second homes and replicas. */
void place_plan(struct pf_placement *p);

#endif
