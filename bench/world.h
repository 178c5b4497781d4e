/* The simulation: event queue, entries, agents and network. */
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
#define DRAIN_MS 120000 /* run time after the last arrival */
#define FAULT_INTERVAL_MS 40000.0 /* mean */
#define REPORT_LOSS_RATE 0.1 /* in runs with faults */
#define LINK_DOWN_NOTICE_MS 500 /* delay until both ends detect a cut */
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
	uint32_t link_generation; /* dropped if the link was cut since */
	uint32_t engine_event;
	uint64_t engine_arg;
	union {
		struct pf_entry_msg entry_msg;
		struct pf_agent_msg agent_msg;
	} u;
	struct pf_item *items; /* owned, for a report */
	uint64_t *placed_items; /* owned, for a placement */
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
	struct pf_rng rng; /* for engines, network and faults */
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
	struct pf_placement *planner; /* on the VM of the first entry */
	pf_ms planner_tick;
	uint32_t link_generations[ENTRIES][AGENTS_MAX]; /* raised by a cut */
	bool linked[ENTRIES][AGENTS_MAX];
	struct request *requests;
	uint64_t n_requests;
	struct demand *demand;
	struct request next_request;
	/* Weight store. */
	pf_ms store_next_start;
	pf_ms store_down_until;
	uint32_t adapters_inflight;
	pf_ms store_slot_free_at[64];
};

/* Events of the same millisecond run in the order of their push. */
struct event *world_push(struct bench *b, pf_ms delay, enum event_type type);
pf_ms world_latency(const struct bench *b, uint32_t entry, uint32_t agent);
/* Queues a message from an agent to an entry; the caller fills in the rest. */
struct event *world_to_entry(struct bench *b, uint32_t entry, uint32_t agent,
			     enum pf_entry_msg_type type);
/* Starts a new agent process and its engine. */
void world_agent_start(struct bench *b, uint32_t i);

/* faults.c */
void world_link_up(struct bench *b, uint32_t entry, uint32_t agent);
void world_vm_start(struct bench *b, uint32_t i);
/* Injects a random fault and schedules the next. */
void world_inject_fault(struct bench *b);
/* Replaces the VM if it is draining and has no work left. */
void world_finish_drain(struct bench *b, uint32_t i);

/* planner.c */
void world_step_planner(struct bench *b, const struct pf_place_msg *m);
void world_planner_start(struct bench *b);
/* Passes reports and losses that reach the first entry to the planner. */
void world_forward_to_planner(struct bench *b, const struct event *e);
void world_send_demand(struct bench *b);

/* result.c */
void world_add_agent_stats(struct bench *b, struct agent *ag);
/* Frees the agents, engines and entries. */
void world_collect_result(struct bench *b);

#endif
