/*
 * The bench runs the real entry, agent and placement cores against simulated
 * engines in virtual time. The simulated network delays messages and, with
 * faults, loses reports and cuts links.
 */
#ifndef BENCH_BENCH_H
#define BENCH_BENCH_H

#include "pimentoford/agent.h"
#include "pimentoford/entry.h"
#include "pimentoford/heap.h"

struct bench;

enum placement {
	PLACEMENT_ON_DEMAND, /* a miss loads the model and evicts by LRU */
	PLACEMENT_FIXED, /* see homes_fixed() */
	PLACEMENT_PLANNED, /* decided by the placement core */
};

/* One row of policies.def. */
struct policy {
	const char *name;
	enum pf_route_policy route;
	enum pf_kv_policy kv;
	enum pf_queue_policy queue;
	bool pause_long;
	enum placement placement;
	bool clairvoyant; /* true output lengths, no network latency */
	uint32_t queue_depth; /* attempts queued at an agent beyond its batch */
};

/* The request mix of one caller. */
struct demand_class {
	const char *caller;
	double request_share; /* fraction of all requests */
	uint32_t prompt_mean;
	uint32_t output_mean;
	uint32_t output_max;
	uint32_t max_tokens; /* limit in the request */
};

struct bench_opts {
	const char *deployment;
	const struct demand_class *classes; /* terminated by caller NULL */
	const struct policy *policy;
	const struct pf_config *config;
	uint64_t seed;
	pf_ms duration_ms;
	double load_factor; /* fraction of the total decode rate */
	bool faults;
	pf_ms zone_latency_ms, region_latency_ms, client_latency_ms;
};

/* A request and its outcome as the caller sees it. */
struct request {
	struct pf_work work;
	uint32_t caller; /* index into pf_config::callers */
	uint32_t output_tokens; /* output length without a limit */
	uint32_t received_tokens;
	uint32_t entry;
	pf_ms arrived_at, first_token_at, last_token_at;
	bool ended;
	bool complete;
	enum pf_reason reason;
	enum pf_ran ran;
};

struct bench_result {
	uint64_t requests, attained, completed, refused, failed, late;
	uint64_t missed_first_token, missed_token_gap,
		missed_answer_time; /* of completed requests */
	uint64_t incomplete, stream_errors, memory_overcommits, unfinished;
	uint64_t model_loads, adapter_loads, tokens, pauses, resumes, crashes;
	double attainment; /* attained / requests / engines */
	pf_ms first_token_p95_ms;
	uint64_t requests_by_caller[8], attained_by_caller[8];
};

void bench_run(const struct bench_opts *o, struct bench_result *r);

/* world.c: what the simulated engines call. */
pf_ms bench_now(const struct bench *b);
const struct request *bench_request(const struct bench *b, uint64_t id);
/* Calls engine_event(@event, @arg) for @agent's engine after @delay ms. */
void bench_schedule_engine(struct bench *b, uint32_t agent, pf_ms delay,
			   uint32_t event, uint64_t arg);
void bench_send_to_agent(struct bench *b, uint32_t agent,
			 const struct pf_agent_msg *m);
/* Starts a load from the weight store; returns when it completes, in ms. */
pf_ms bench_load_begin(struct bench *b, uint64_t item, int64_t bytes,
		       bool adapter);
void bench_load_end(struct bench *b, bool adapter);

/* engine.c: a simulated engine. */
struct engine;
struct engine *engine_new(struct bench *b, uint32_t agent,
			  const struct pf_config *c, int64_t memory);
void engine_free(struct engine *e);
/* Makes @item resident at the start of the run, without a load. */
void engine_preload(struct engine *e, uint64_t item, int64_t bytes,
		    bool adapter);
void engine_apply(struct engine *e, const struct pf_agent_act *a);
void engine_event(struct engine *e, uint32_t event, uint64_t arg);
/* Drops all state; the engine stays down until engine_start(). */
void engine_crash(struct engine *e);
void engine_start(struct engine *e);
uint64_t engine_overcommits(const struct engine *e);
uint64_t engine_loads(const struct engine *e, bool adapters);

/* recovery.c: prints the recovery from the loss of a VM, a rack, a zone. */
void recovery_run(const char *deployment, const struct pf_config *c,
		  uint64_t seed);

/* demand.c: the arrival process. */
struct demand;
struct demand *demand_new(const struct bench_opts *o, struct pf_rng *r);
void demand_free(struct demand *d);
/* Fills in the next request after @now; returns its arrival time. */
pf_ms demand_next(struct demand *d, pf_ms now, struct request *r);

#endif
