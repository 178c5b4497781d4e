/*
 * The bench: real entry and agent cores against fake engines in virtual time.
 * It is a fake at the engine's interface; the network only delays.
 */
#ifndef BENCH_BENCH_H
#define BENCH_BENCH_H

#include "pimentoford/agent.h"
#include "pimentoford/entry.h"
#include "pimentoford/heap.h"

struct bench;

/* Who decides what is resident where. */
enum placement {
	PLACEMENT_ON_DEMAND, /* each miss loads, the least recent goes */
	PLACEMENT_FIXED, /* homes from the start are kept */
	PLACEMENT_PLANNED, /* by the placement core */
};

/* One row of policies.def: what is decided how. */
struct policy {
	const char *name;
	enum pf_route_policy route;
	enum pf_kv_policy kv;
	enum pf_queue_policy queue;
	bool pause_long;
	enum placement placement;
	bool clairvoyant; /* true lengths, no lag */
	uint32_t queue_depth; /* tries queued at an agent beyond its batch */
};

/* One caller class's requests. */
struct demand_class {
	const char *caller;
	double request_share; /* of all requests */
	uint32_t prompt_mean;
	uint32_t output_mean;
	uint32_t output_max;
	uint32_t max_tokens; /* output limit that callers ask for */
};

struct bench_opts {
	const char *deployment;
	const struct demand_class *classes; /* ends with caller NULL */
	const struct policy *policy;
	const struct pf_config *config;
	uint64_t seed;
	pf_ms duration_ms;
	double load_factor; /* of what all accelerators could decode */
	bool faults;
	pf_ms zone_latency_ms, region_latency_ms, client_latency_ms;
};

/* A request as its caller sees it. */
struct request {
	struct pf_work work;
	uint32_t caller; /* index into the config */
	uint32_t output_tokens; /* true output length */
	uint32_t received_tokens;
	uint32_t entry;
	pf_ms arrived_at, first_token_at, last_token_at;
	bool ended;
	bool complete;
	enum pf_reason reason;
	enum pf_ran ran;
};

/* What one run of the bench found. */
struct bench_result {
	uint64_t requests, attained, completed, refused, failed, late;
	uint64_t missed_first_token, missed_token_gap,
		missed_answer_time; /* of whole answers */
	uint64_t incomplete, stream_errors, memory_overcommits, unfinished;
	uint64_t model_loads, adapter_loads, tokens, pauses, resumes, crashes;
	double attainment; /* per accelerator */
	pf_ms first_token_p95_ms;
	uint64_t requests_by_caller[8], attained_by_caller[8];
};

void bench_run(const struct bench_opts *o, struct bench_result *r);

/* world.c: for the engines. */
pf_ms bench_now(const struct bench *b);
const struct request *bench_request(const struct bench *b, uint64_t id);
/* Calls engine_event() of @agent with @what and @arg after @delay. */
void bench_schedule_engine(struct bench *b, uint32_t agent, pf_ms delay,
			   uint32_t what, uint64_t arg);
void bench_send_to_agent(struct bench *b, uint32_t agent,
			 const struct pf_agent_msg *m);
/* Weight store: when a load of @bytes that starts now is done. */
pf_ms bench_load_begin(struct bench *b, uint64_t item, int64_t bytes,
		       bool adapter);
void bench_load_end(struct bench *b, bool adapter);

/* engine.c: one fake engine. */
struct engine;
struct engine *engine_new(struct bench *b, uint32_t agent,
			  const struct pf_config *c, int64_t memory);
void engine_free(struct engine *e);
/* What is resident from the start, without a load. */
void engine_preload(struct engine *e, uint64_t item, int64_t bytes,
		    bool adapter);
void engine_apply(struct engine *e, const struct pf_agent_act *a);
void engine_event(struct engine *e, uint32_t what, uint64_t arg);
/* Loses everything and is away until engine_start(). */
void engine_crash(struct engine *e);
void engine_start(struct engine *e);
uint64_t engine_overcommits(const struct engine *e);
uint64_t engine_loads(const struct engine *e, bool adapters);

/* recovery.c: prints a line for the loss of a VM, a rack, a zone. */
void recovery_run(const char *deployment, const struct pf_config *c,
		  uint64_t seed);

/* demand.c: arrivals. */
struct demand;
struct demand *demand_new(const struct bench_opts *o, struct pf_rng *r);
void demand_free(struct demand *d);
/* Fills in the next request; returns when it arrives. */
pf_ms demand_next(struct demand *d, pf_ms now, struct request *r);

#endif
