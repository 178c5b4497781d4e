/* The state of the plan core, shared by its files. */
#ifndef SRC_COORDINATION_PLAN_CORE_H
#define SRC_COORDINATION_PLAN_CORE_H

#include "pimentoford/plan.h"

#define PLAN_RESIDENTS_MAX 16
#define PLAN_COPIES_MAX 32
#define PLAN_PEERS_MAX 64
#define PLAN_MODELS_MAX 512
#define PLAN_LOADS_MAX 128

/** An engine as its loader and the store show it. */
struct plan_engine {
	uint64_t id; /* 0: free */
	uint64_t service;
	bool listed;
	bool draining; /* as its entry, or its loader, says */
	pf_ms state_received_at; /* when its loader was heard; 0: never */
	int64_t incarnation;
	uint64_t orders_accepted;
	bool busy;
	uint64_t unloading_model; /* model whose unload is not done; 0: none */
	uint64_t residents[PLAN_RESIDENTS_MAX];
	uint32_t n_residents;
	uint64_t in_host_mem[PLAN_COPIES_MAX];
	uint32_t n_in_host_mem;
	uint64_t on_disk[PLAN_COPIES_MAX];
	uint32_t n_on_disk;
	/* the order at hand */
	uint64_t order_model; /* model; 0: none */
	bool order_is_load;
	bool order_from_store;
	uint64_t order_expected; /* accepted before it */
	pf_ms order_given_at;
	pf_ms order_sent_at;
	uint64_t reserved_model; /* room is being made for this model */
	pf_ms reserved_until;
	double est_requests; /* requests alive, by the demand */
};

struct plan_model {
	const struct pf_model_spec *spec;
	double requests; /* requests at all gateways */
	double arrivals_per_s;
	uint32_t waiting;
	uint32_t homes; /* at engines that stay, loads under way included */
	uint32_t homes_loading; /* of them, not there yet */
	pf_ms home_added_at; /* a home was add_result */
	pf_ms last_demand_at; /* it was last asked for; 0: never */
};

struct plan_peer {
	uint64_t id; /* 0: free */
	pf_ms last_seen_at;
	struct pf_gate_demand demand[PLAN_MODELS_MAX];
	uint32_t n_demand;
	pf_ms demand_received_at;
};

/** A load from the weight store that began. */
struct plan_load {
	uint64_t endpoint;
	uint64_t orders_accepted;
	pf_ms started_at;
};

struct pf_plan {
	struct pf_plan_opts opts;
	pf_ms now;
	pf_ms started_at; /* of the first step */
	pf_ms last_tick_at;
	pf_ms no_lead_until; /* nothing is ordered before: too little is known */
	const struct pf_plan_sink *sink;
	const struct pf_routes *routes;
	const struct pf_route_service *service; /* the engines' */
	struct plan_engine *engines;
	struct plan_model models[PLAN_MODELS_MAX];
	uint32_t n_models;
	struct plan_peer peers[PLAN_PEERS_MAX];
	struct plan_load loads[PLAN_LOADS_MAX];
	uint32_t n_loads; /* that were ever noted; a ring */
	bool is_leader;
	bool engines_known; /* all engines are known */
	bool members_read; /* the list of gateways was read */
	pf_ms last_listed_at; /* an engine was listed for the first time */
};

/* plan.c */
struct plan_model *plan_find_model(struct pf_plan *p, uint64_t id);
bool plan_engine_has(const struct plan_engine *e, uint64_t model);
/** Gives an order, and notes what it will lead to. */
void plan_order(struct pf_plan *p, struct plan_engine *e,
		const struct plan_model *m, bool load, const char *why);
/** Whether one more load from the weight store may begin. */
bool plan_may_load_from_store(const struct pf_plan *p);
bool plan_has_copy(const struct plan_engine *e, uint64_t model);

/* plan_choose_orders.c */
/** Gives the orders that are due. */
void plan_choose_orders(struct pf_plan *p);

#endif
