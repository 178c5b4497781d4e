/* State of the plan core, shared by its files. */
#ifndef SRC_COORDINATION_PLAN_CORE_H
#define SRC_COORDINATION_PLAN_CORE_H

#include "pimentoford/map.h"
#include "pimentoford/plan.h"

#define PLAN_MODELS_MAX 512
#define PLAN_LOADS_MAX 128
#define PLAN_NONE UINT32_MAX
#define PLAN_NONE_AT UINT16_MAX

/** What each choice of an order looks at comes first. */
struct plan_engine {
	uint64_t id; /* 0: free */
	uint64_t service;
	uint64_t software; /* hash of the service and its version */
	pf_ms state_received_at; /* from its loader; 0: never */
	bool listed;
	bool draining; /* by its entry, its loader or an answer */
	bool busy;
	bool limited; /* takes limit_per_s requests a second */
	/* Set by plan_count(). */
	bool may_load; /* it is idle, and may have room for some model */
	bool has_homeless_copy; /* of a model in demand */
	double est_requests; /* in flight, estimated from the demand */
	double free_mb; /* that no model holds or is about to */
	/* Held by models that may be evicted: with other homes, or any. */
	double spare_mb;
	double idle_mb;
	uint64_t reserved_model; /* memory is being freed for this model */
	pf_ms reserved_until;
	/* The order in flight. */
	uint64_t order_model; /* 0: no order */
	bool order_is_load;
	bool order_from_store;
	/* Places in `models` of what it holds and has copies of. */
	uint32_t n_copies;
	uint16_t copies_at[2 * PF_COPIES_MAX];
	uint16_t residents_at[PF_RESIDENTS_MAX]; /* PLAN_NONE_AT: unknown */
	uint32_t n_residents;
	bool has_unlisted; /* it holds more */
	uint64_t residents[PF_RESIDENTS_MAX];
	/* Set by plan_count(): held after the order in flight. */
	uint32_t n_held;
	uint16_t held[PF_RESIDENTS_MAX + 1];
	uint64_t order_expected; /* orders accepted before this one */
	pf_ms order_given_at;
	pf_ms order_sent_at; /* last time */
	/* Model of an unload that was given up. The loader may still carry it
	 * out until the engine accepts another order. 0: none */
	uint64_t unload_in_doubt;
	uint64_t unloading_model; /* 0: none */
	int64_t incarnation;
	int64_t left_incarnation; /* that said so in an answer; 0: none */
	uint64_t orders_accepted;
	double limit_per_s;
	uint64_t in_host_mem[PF_COPIES_MAX];
	uint32_t n_in_host_mem;
	uint64_t on_disk[PF_COPIES_MAX];
	uint32_t n_on_disk;
};

struct plan_model {
	const struct pf_model_spec *spec;
	double requests; /* in flight or waiting at all gateways, smoothed */
	double arrivals_per_s;
	uint32_t waiting;
	pf_ms home_added_at; /* when a load was last ordered */
	pf_ms last_demand_at; /* 0: never */
	/* Set by plan_count(). */
	uint32_t homes; /* not draining; loads in flight included */
	uint32_t homes_sure; /* loaded, and the loader isn't silent */
	uint32_t homes_limited; /* that take a limited number of requests */
	double limit_per_s; /* of these together */
	double least_busy; /* requests at the least busy home */
	double urgency; /* of another home; 0: none is needed */
};

/** Demand for a model, as a gateway reported it. */
struct plan_demand {
	uint64_t model;
	uint32_t at; /* in `models`; PLAN_NONE: not served */
	float per_s;
	float open;
	uint32_t waiting;
};

struct plan_peer {
	uint64_t id; /* 0: free */
	pf_ms last_seen_at;
	struct plan_demand *demand; /* owned */
	uint32_t n_demand;
	uint32_t demand_cap;
	pf_ms demand_received_at;
};

/** A load from the weight store, for its rate limit. */
struct plan_load {
	uint64_t endpoint;
	uint64_t orders_accepted; /* with this load */
	pf_ms started_at;
};

/** An order that an engine may still carry out. */
struct plan_doubt {
	uint64_t endpoint;
	uint64_t model;
	uint64_t expected; /* orders accepted before it */
	bool load; /* false: unload */
	pf_ms until;
};

struct pf_plan {
	struct pf_plan_opts opts;
	pf_ms now;
	pf_ms started_at; /* time of the first step */
	pf_ms last_tick_at;
	pf_ms no_lead_until; /* before, heartbeats may be missing */
	pf_ms demand_known_since; /* of all live gateways, without a gap */
	const struct pf_plan_sink *sink;
	const struct pf_routes *routes;
	const struct pf_route_service *service; /* the one with engines */
	struct plan_engine *engines;
	uint32_t n_engines; /* slots ever used */
	struct pf_map engines_by_id;
	struct plan_model models[PLAN_MODELS_MAX];
	uint32_t n_models;
	struct pf_map models_by_id;
	struct plan_peer *peers;
	uint32_t n_peers; /* slots ever used */
	struct pf_map peers_by_id;
	struct plan_load loads[PLAN_LOADS_MAX];
	uint32_t n_loads; /* ever added to the ring `loads` */
	struct plan_doubt *doubts; /* owned */
	uint32_t n_doubts;
	uint32_t doubts_cap;
	bool store_load_allowed; /* set by plan_count() */
	bool is_leader;
	bool engines_known; /* no engine is likely to be missing */
	bool members_read; /* the list of gateways has been read */
	pf_ms last_listed_at; /* when a missing engine was last listed */
};

/* plan.c */
struct plan_model *plan_find_model(struct pf_plan *p, uint64_t id);
bool plan_engine_has(const struct plan_engine *e, uint64_t model);
/** Whether @e has weights of the model in host memory or on disk. */
bool plan_has_copy(const struct pf_plan *p, const struct plan_engine *e,
		   const struct plan_model *m);
/** Sends an order to @e and records it as in flight; @reason is for the log. */
void plan_order(struct pf_plan *p, struct plan_engine *e,
		const struct plan_model *m, bool load, const char *reason);
/** Whether the weight store's limits allow one more load. */
bool plan_may_load_from_store(const struct pf_plan *p);

/* plan_doubt.c */
void plan_doubt_add(struct pf_plan *p, uint64_t endpoint,
		    const struct pf_order_in_doubt *o);
/**
 * Whether @e, once it has carried out the order for @m, has room for each load
 * in doubt that it may then carry out as well. Needs plan_count().
 */
bool plan_leaves_room(struct pf_plan *p, const struct plan_engine *e,
		      const struct plan_model *m, bool load);
/** Whether @e may carry out an unload of @model that is in doubt. */
bool plan_unload_in_doubt(const struct pf_plan *p, const struct plan_engine *e,
			  uint64_t model);

/* plan_choose.c */
/** Gives the orders that are due in this tick. */
void plan_choose_orders(struct pf_plan *p);

#endif
