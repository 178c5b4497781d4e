/* The state of the gate core, shared by its files. */
#ifndef SRC_COORDINATION_GATE_CORE_H
#define SRC_COORDINATION_GATE_CORE_H

#include "pimentoford/gate.h"
#include "pimentoford/heap.h"
#include "pimentoford/map.h"

#define GATE_NIL UINT32_MAX
#define GATE_PEERS_MAX 64
#define GATE_AVOIDED_MAX 4
#define GATE_SERVICES_MAX 16
/* Seconds of the window in which further sends are counted, plus one that is
 * only begun. */
#define GATE_BUDGET_BUCKETS 16

enum gate_state { GATE_FREE, GATE_WAITING, GATE_SENT, GATE_STREAMING };

struct gate_request {
	enum gate_state state;
	void *ctx;
	/* of its route */
	enum pf_route_kind kind;
	uint64_t service;
	pf_ms objective;
	uint32_t max_attempts;
	uint8_t priority;
	/* of what it asks for */
	uint64_t fingerprint;
	uint64_t model;
	uint64_t adapter;
	uint32_t prompt_tokens;
	uint32_t output_tokens; /* tokens expected */
	uint32_t events_left; /* of them, that were not passed on yet */
	uint64_t prefixes[PF_PROMPT_PARTS_MAX]; /* parts 0 to i, of the model */
	uint32_t prefix_tokens[PF_PROMPT_PARTS_MAX]; /* sum of parts 0 to i */
	uint32_t n_prefixes;
	pf_ms arrived_at;
	pf_ms objective_deadline; /* the objective's end */
	pf_ms deadline; /* a final answer is owed by then */
	/* of its tries */
	uint32_t sends;
	uint32_t sends_on_wire; /* sends that may have reached an endpoint */
	uint32_t possible_runs; /* sends that may have run */
	uint64_t avoided[GATE_AVOIDED_MAX]; /* endpoints that failed it */
	uint32_t n_avoided;
	bool response_started; /* the caller has some of the answer */
	uint32_t endpoint_slot; /* slot, while it is in flight */
	pf_ms sent_at;
	pf_ms last_progress_at;
	double first_event_ms; /* to the first event */
	double prefill_ms; /* of it, its own prompt */
	uint32_t kv_tokens;
	uint32_t prev, next; /* of the waiting, in order of arrival */
	pf_ms adapter_requested_at; /* its adapter was asked for */
	uint32_t visited_round; /* round of the pump */
};

/** What is believed of an endpoint. */
struct gate_endpoint {
	bool used;
	uint64_t id;
	uint64_t incarnation; /* id of this start of it */
	uint64_t service;
	uint64_t zone;
	uint64_t region;
	double distance_ms; /* ms, 0 in this zone */
	uint32_t slots;
	bool draining; /* as its entry says */
	bool loader_draining; /* as its loader says */
	int64_t kv_capacity; /* tokens; 0: not an engine */
	struct pf_resident *residents;
	uint32_t n_residents;
	pf_ms loader_seen_at; /* when its loader was heard; 0: never */
	uint64_t loader_orders; /* accepted, as its loader said */
	bool loading_model; /* with a model: it takes no adapter meanwhile */
	/* sent by this gateway */
	uint32_t own_running;
	int64_t own_kv_tokens;
	double own_prefill_ms;
	uint32_t own_streaming; /* of them, with some of the answer passed on */
	pf_ms last_progress_at; /* anything of an answer came */
	/* sent by the others */
	uint32_t peer_running;
	int64_t peer_kv_tokens;
	double peer_prefill_ms;
	/* as its loader said: of all, also of those that tell nothing here */
	uint32_t loader_running;
	int64_t loader_kv_tokens;
	/* learned from answers */
	double latency_factor; /* measured over expected time, 1 is as expected */
	double event_interval_ms; /* between two events of a stream */
	double failure_rate; /* share of tries that failed */
	pf_ms blocked_until; /* it did not answer, or was full */
	uint32_t consecutive_blocks; /* blocks in a row */
	uint64_t missing_model; /* a model that it turned out not to have */
	pf_ms missing_until;
};

/** What another gateway said last. */
struct gate_peer {
	uint64_t id; /* 0: free */
	pf_ms last_seen_at;
	struct pf_gate_load loads[PF_GATE_LOADS_MAX];
	uint32_t n_loads;
};

/** Counts of a service, by second. */
struct gate_budget {
	uint64_t service; /* 0: free */
	uint32_t requests[GATE_BUDGET_BUCKETS];
	uint32_t retries[GATE_BUDGET_BUCKETS];
	int64_t newest_second; /* the newest */
};

/* The table of prompts' parts is set-associative: a set holds so many. */
#define GATE_PREFIX_WAYS 4
#define GATE_PREFIX_SETS 2048

struct gate_prefix {
	uint64_t key; /* of the parts and the endpoint's life; 0: free */
	pf_ms used_at;
};

#define GATE_DEMAND_ENTRIES 512

/** Demand for a model or an adapter. */
struct gate_demand_entry {
	uint64_t id; /* 0: free */
	uint64_t model;
	double per_s; /* smoothed */
	double active_avg;
	double arrivals; /* since they were smoothed last */
	uint32_t active;
	uint32_t waiting; /* when demand was last asked for */
};

#define GATE_CRASHES_MAX 64

struct gate_crash {
	uint64_t fingerprint;
	uint32_t crashes;
	pf_ms last_at;
};

/* Crashes are kept to be told again to a gateway that has just started. */
#define GATE_LOCAL_CRASHES_MAX 64

/** A crash that this gateway saw itself. */
struct gate_local_crash {
	uint64_t fingerprint;
	pf_ms at;
};

/** How fast an engine reads prompts for a model. */
struct gate_prefill_speed {
	uint64_t model; /* 0: free */
	double ms_per_token;
	uint32_t samples; /* prompts that were measured */
};

#define GATE_PREFILL_SPEEDS 512

struct pf_gate {
	struct pf_gate_opts opts;
	struct pf_gate_zone *zones;
	struct pf_rng rng;
	pf_ms now;
	pf_ms started_at;
	bool shutting_down;
	const struct pf_gate_sink *sink; /* during a step */
	const struct pf_routes *routes;
	struct gate_request *requests;
	uint32_t *free_requests;
	uint32_t n_free;
	struct pf_heap request_timers; /* by request */
	uint32_t wait_head, wait_tail, n_waiting;
	uint32_t wait_round; /* of looking through the waiting */
	pf_ms send_waiting_at; /* when the waiting are looked at again */
	struct gate_endpoint *endpoints;
	uint32_t n_endpoints; /* slots in use or free below it */
	struct pf_map endpoints_by_id; /* slots of those in use */
	struct gate_peer peers[GATE_PEERS_MAX];
	struct gate_budget budgets[GATE_SERVICES_MAX];
	struct gate_prefix prefixes[GATE_PREFIX_SETS][GATE_PREFIX_WAYS];
	struct gate_demand_entry demand[GATE_DEMAND_ENTRIES];
	pf_ms demand_smoothed_at;
	struct gate_prefill_speed prefill_speeds[GATE_PREFILL_SPEEDS];
	struct gate_crash crashes[GATE_CRASHES_MAX];
	/* to tell the others: rings, with counts of all that was ever noted */
	struct pf_gate_cached_prefix recent_prefixes[PF_GATE_PREFIXES_MAX];
	uint64_t n_recent_prefixes;
	struct gate_local_crash local_crashes[GATE_LOCAL_CRASHES_MAX];
	uint64_t n_local_crashes;
	struct pf_gate_load digest_loads[PF_GATE_LOADS_MAX];
	struct pf_gate_cached_prefix digest_prefixes[PF_GATE_PREFIXES_MAX];
	uint64_t digest_crashed[PF_GATE_CRASHED_MAX];
	struct pf_gate_stats stats;
};

static inline bool gate_retryable(const struct gate_request *r)
{
	return r->kind == PF_ROUTE_SAFE || r->kind == PF_ROUTE_RESUMABLE;
}

/* gate_endpoints.c */
struct gate_endpoint *gate_endpoint_find(struct pf_gate *g, uint64_t id);
void gate_endpoint_update(struct pf_gate *g, const struct pf_listed *e);
void gate_endpoint_remove(struct pf_gate *g, uint64_t id);
void gate_endpoint_engine_state(struct pf_gate *g,
				const struct pf_engine_state *s);
bool gate_loader_fresh(const struct pf_gate *g, const struct gate_endpoint *e);
/** Engines' memory as the routing table gives it. */
void gate_endpoints_configure(struct pf_gate *g);
bool gate_endpoint_has_model(const struct gate_endpoint *e, uint64_t model,
			     uint64_t adapter);
/** A request's work begins or ends at an endpoint. */
void gate_load_add(struct pf_gate *g, struct gate_request *r, uint32_t slot);
void gate_load_prefilled(struct pf_gate *g, struct gate_request *r);
void gate_load_remove(struct pf_gate *g, struct gate_request *r);
/** It did not answer: left alone for a while, longer each time. */
void gate_endpoint_block(struct pf_gate *g, struct gate_endpoint *e);
void gate_endpoint_count_result(struct gate_endpoint *e, bool failed);
void gate_peer_digest(struct pf_gate *g, const struct pf_gate_digest *d);
/** Forgets gateways that fell silent. */
void gate_peers_expire(struct pf_gate *g);
/** Gateways that may be sending now, this one included. */
uint32_t gate_peers_count(const struct pf_gate *g);

/* gate_prefix.c */
/** Prompt tokens of @r that the endpoint is thought to keep. */
uint32_t gate_prefix_cached_tokens(struct pf_gate *g,
				   const struct gate_request *r,
				   const struct gate_endpoint *e);
void gate_prefix_add_sent(struct pf_gate *g, const struct gate_request *r,
			  const struct gate_endpoint *e);
void gate_prefix_add_reported(struct pf_gate *g,
			      const struct pf_gate_cached_prefix *s);

/* gate_pick.c */
/**
 * The best endpoint for @r now, or GATE_NIL. *@load_at: the best one that lacks
 * its adapter, if waiting for it there is better; else GATE_NIL.
 */
uint32_t gate_pick(struct pf_gate *g, struct gate_request *r,
		   uint32_t *load_at);
/** Whether any endpoint has what @r needs, however busy it is. */
bool gate_has_endpoint(struct pf_gate *g, const struct gate_request *r);
/** Learns from the time to a first event. */
void gate_learn_latency(struct pf_gate *g, struct gate_request *r);

/* gate_budget.c */
void gate_budget_add_request(struct pf_gate *g, uint64_t service);
/** Takes one further send from the budget; false: there is none left. */
bool gate_budget_take_retry(struct pf_gate *g, uint64_t service);

/* gate_digest.c */
void gate_digest_add_prefix(struct pf_gate *g, uint64_t chain,
			    uint64_t endpoint);
void gate_digest_add_crash(struct pf_gate *g, uint64_t fingerprint);

/* gate_crash.c */
/** A crash counts for so long. */
#define GATE_CRASH_KEEP_MS 60000
bool gate_quarantined(struct pf_gate *g, uint64_t fingerprint);
/** @fingerprint was under way when an endpoint's connections broke. */
void gate_crash_add(struct pf_gate *g, uint64_t fingerprint, bool announce);

/* gate_demand.c */
void gate_demand_begin(struct pf_gate *g, const struct gate_request *r);
void gate_demand_end(struct pf_gate *g, const struct gate_request *r);

/* gate_life.c */
void gate_request_arrive(struct pf_gate *g, const struct pf_gate_arrival *a);
void gate_request_hangup(struct pf_gate *g, uint32_t slot);
void gate_request_events(struct pf_gate *g, uint32_t slot, uint32_t n);
void gate_request_send_ended(struct pf_gate *g, const struct pf_gate_end *end);
void gate_request_timer(struct pf_gate *g, uint32_t slot);
/** Refuses what waits; from now on nothing waits. */
void gate_shut_down(struct pf_gate *g);
/** Sends @r if an endpoint can take it. */
bool gate_try_send(struct pf_gate *g, struct gate_request *r);

/* gate_wait.c */
void gate_wait_add(struct pf_gate *g, struct gate_request *r);
void gate_wait_remove(struct pf_gate *g, struct gate_request *r);
/** The least time in which @r could still be answered. */
pf_ms gate_min_service_time(const struct gate_request *r);
/** When a request that waits is given up. */
pf_ms gate_wait_deadline(struct pf_gate *g, const struct gate_request *r);
/** Sends what waits and can be sent. */
void gate_send_waiting(struct pf_gate *g);

#endif
