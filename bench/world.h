/* The bench's world, shared by its modules. */
#ifndef BENCH_WORLD_H
#define BENCH_WORLD_H

#include "bench/bench.h"
#include "bench/homes.h"
#include "pimentoford/place.h"

#define ENTRIES 3
#define AGENTS_MAX 64
#define EVENTS_MAX 400000
#define REQUESTS_MAX 2000000
#define TICK_NONE INT64_MAX
#define DRAIN_MS 120000 /* after the last arrival */
#define FAULT_INTERVAL_MS 40000.0
#define REPORT_LOSS_RATE 0.1 /* with faults */
#define LINK_DOWN_NOTICE_MS 500 /* until an end sees that the other is gone */
#define LINK_OUTAGE_MS 5000
#define STORE_OUTAGE_MS 30000
#define DEMAND_INTERVAL_MS 1000
#define DEMAND_MODELS_MAX 512

enum event_type {
	EV_ARRIVE,
	EV_TO_ENTRY,
	EV_TO_AGENT,
	EV_ENTRY_TICK,
	EV_AGENT_TICK,
	EV_ENGINE,
	EV_FAULT,
	EV_ENGINE_START,
	EV_VM_START,
	EV_LINK_UP,
	EV_DEMAND,
	EV_PLACE,
	EV_PLANNER_TICK,
};

struct event {
	enum event_type type;
	uint32_t entry;
	uint32_t agent;
	uint32_t
		link_generation; /* generation of the link; messages of old ones drop */
	uint32_t engine_event;
	uint64_t engine_arg;
	union {
		struct pf_entry_msg entry_msg;
		struct pf_agent_msg agent_msg;
	} u;
	struct pf_item *items; /* owned, of a report */
	uint64_t *placed_items; /* owned, of a placement */
};

struct agent {
	struct bench *bench;
	struct pf_agent *core;
	struct engine *engine;
	const struct pf_endpoint *endpoint;
	uint64_t incarnation;
	pf_ms next_tick;
	bool down;
	bool draining;
	struct homes homes;
};

struct entry {
	struct bench *bench;
	struct pf_entry *core;
	const char *zone;
	const char *region;
	pf_ms next_tick;
};

struct bench {
	const struct bench_opts *opts;
	struct bench_result *result;
	struct pf_rng rng; /* engines and network */
	struct pf_rng demand_rng;
	struct pf_heap timers;
	struct event *events; /* EVENTS_MAX slots */
	uint32_t *free_slots;
	uint32_t n_free;
	uint32_t event_seq;
	pf_ms now;
	struct entry entries[ENTRIES];
	struct agent agents[AGENTS_MAX];
	uint32_t n_agents;
	struct pf_placement *planner; /* the planner, beside the first entry */
	pf_ms planner_tick;
	uint32_t link_generations[ENTRIES][AGENTS_MAX]; /* generation */
	bool linked[ENTRIES][AGENTS_MAX];
	struct request *requests;
	uint64_t n_requests;
	struct demand *demand;
	struct request next_request;
	/* The weight store. */
	pf_ms store_next_start;
	pf_ms store_down_until;
	uint32_t adapters_inflight;
	pf_ms store_slot_free_at[64]; /* when each slot is free */
};

/* Events of one millisecond keep the order in which they were pushed. */
struct event *world_push(struct bench *b, pf_ms delay, enum event_type type);
pf_ms world_latency(const struct bench *b, uint32_t entry, uint32_t agent);
/* A message on its way from an agent to an entry; the caller fills it in. */
struct event *world_to_entry(struct bench *b, uint32_t entry, uint32_t agent,
			     enum pf_entry_msg_type type);
/* A new agent process beside an engine. */
void world_agent_start(struct bench *b, uint32_t i);

/* faults.c */
void world_link_up(struct bench *b, uint32_t entry, uint32_t agent);
void world_vm_start(struct bench *b, uint32_t i);
/* One fault, and the time of the next. */
void world_inject_fault(struct bench *b);
/* A drained VM is gone at once; a new one takes its place. */
void world_finish_drain(struct bench *b, uint32_t i);

/* planner.c */
void world_step_planner(struct bench *b, const struct pf_place_msg *m);
void world_planner_start(struct bench *b);
/* What the planner hears from the messages to the entry beside it. */
void world_forward_to_planner(struct bench *b, const struct event *e);
void world_send_demand(struct bench *b);

/* result.c */
/* Adds the counters of an agent that ends. */
void world_add_agent_stats(struct bench *b, struct agent *ag);
void world_collect_result(struct bench *b);

#endif
