/*
 * Inner types of the agent core, shared by its modules: tries and their lists
 * (agent_tries.c), runs (agent_runs.c), marks of ended tries (agent_tombstones.c),
 * lengths learned (agent_lengths.c), KV grants (agent_kv.c), the queue
 * (agent_queue.c, agent_pause.c), items (agent_items.c), orders (agent_orders.c), reports
 * (agent_report.c).
 */
#ifndef AGENT_CORE_H
#define AGENT_CORE_H

#include "pimentoford/agent.h"
#include "pimentoford/ledger.h"
#include "pimentoford/map.h"

#define NIL UINT32_MAX

/** Where a run stands; each run is on the list of its state. */
enum run_state {
	RUN_FREE, /* the slot is unused */
	RUN_QUEUED, /* waits for a place; may have run before a pause */
	RUN_CLAIMING, /* holds its place, waits for the claim log */
	RUN_VOIDING, /* given up while its claim was pending */
	RUN_RUNNING, /* at the engine */
	RUN_STOPPING, /* STOP emitted; holds its memory until it ends */
	RUN_STATES,
};

/** What follows once a stopped run has ended. */
enum stop_reason { STOP_PAUSE, STOP_CANCEL, STOP_NO_MEMORY };

struct run {
	struct pf_try id;
	uint64_t entry;
	struct pf_work work;
	enum run_state state;
	enum stop_reason stop_reason;
	uint32_t prev, next; /* within the list of its state */
	uint32_t model_slot, adapter_slot; /* item slots or NIL */
	uint32_t produced; /* output tokens so far, offset included */
	uint32_t limit; /* output tokens it may reach */
	bool ran; /* RUN was emitted at least once */
	bool started_sent; /* STARTED was emitted */
	bool prefilling; /* no token since the last RUN */
	bool preempted; /* was paused for a short one; not twice */
	uint8_t engine_cancels; /* ends that nobody asked for, with no token since */
	bool growth_blocked; /* its growth did not fit */
	uint32_t
		expected_tokens; /* output tokens, foreseen when it was queued */
	pf_ms queued_at;
	pf_ms started_at; /* of the last RUN */
	pf_ms last_token_at; /* of the last token */
	pf_ms stop_retry_at; /* STOP is emitted again then */
	double score; /* scratch of the queue */
};

struct run_list {
	uint32_t head, tail, n;
};

/** A model version, an adapter, or something that only the engine knows. */
struct item {
	uint64_t id; /* 0: the slot is free */
	uint64_t
		model_name_id; /* name id of the model, or of the adapter's model */
	bool adapter;
	bool declared; /* stands in the configuration */
	int64_t bytes;
	int64_t kv_token_bytes;
	uint32_t max_context;
	uint32_t users; /* runs that need it, queued or at the engine */
	uint32_t running; /* runs of the model at the engine */
	uint32_t place_rank; /* rank in the last PLACE from 1; 0: not wanted */
	pf_ms last_used_at;
	uint64_t order_id; /* its last order; 0: none */
	bool order_is_load; /* it was a load */
	bool order_pending; /* that order is not settled */
	bool in_inventory; /* stood in the last inventory */
	pf_ms ordered_at;
	pf_ms backoff_until; /* no new order before */
	uint32_t refusals; /* in a row */
};

/** Tries that never ran and never will; may hold others by a false hit. */
struct tombstones {
	uint64_t *filters[2]; /* the current filter and the one before */
	uint32_t n_words; /* in each filter */
	pf_ms rotated_at; /* when the current one began */
	pf_ms keep;
};

struct ended_run {
	struct pf_try id;
	pf_ms expires_at;
};

/** Tries that ran and ended; exact. */
struct ended_runs {
	struct ended_run *ring;
	struct pf_map index;
	uint32_t head, n, cap;
	pf_ms keep;
};

#define LENGTH_KEYS 128
#define LENGTH_BUCKETS 64

/** Histograms of used output lengths, one per (model, caller). */
struct length_histograms {
	uint64_t keys[LENGTH_KEYS];
	uint16_t counts[LENGTH_KEYS + 1][LENGTH_BUCKETS]; /* last: all keys */
	uint32_t totals[LENGTH_KEYS + 1];
};

/** Memory that a run holds and may still need; scratch of the guard. */
struct kv_need {
	int64_t held_bytes;
	int64_t remaining_bytes;
};

struct pf_agent {
	struct pf_agent_opts opts;
	struct pf_rng rng;
	struct pf_ledger ledger;
	pf_ms now;
	const struct pf_agent_sink *sink; /* of the step at hand */

	struct run *runs;
	uint32_t *free_runs;
	uint32_t n_free;
	struct run_list lists[RUN_STATES];
	struct pf_map runs_by_try;
	struct tombstones tombstones;
	struct ended_runs ended_runs;

	struct item *items;
	struct pf_map items_by_id;
	uint32_t n_items; /* slots ever used */
	uint32_t *placed; /* slots, most wanted first */
	uint32_t n_placed;
	uint32_t loads_in_flight; /* loads in flight, unknown ones included */
	uint32_t n_pending_orders; /* items with an unanswered order */
	uint64_t last_order;
	uint64_t last_void_order; /* orders up to it died with an engine */
	uint64_t
		inventory_last_order; /* orders up to it show in the awaited one */
	bool inventory_pending; /* an inventory is awaited */
	pf_ms inventory_asked_at; /* when it was asked for */

	struct length_histograms *lengths;
	struct kv_need *kv_needs; /* scratch, batch_max + 1 */
	uint32_t *sorted_queue; /* scratch, queue_max and what was paused */
	struct pf_item *report_items; /* scratch, items_max */

	bool configured;
	bool engine_up; /* the engine stands and was reconciled */
	bool draining;
	bool drained;
	bool schedule_needed; /* something may start */
	uint32_t n_growth_blocked;
	uint32_t n_exclusive; /* suspects with a place; nothing starts beside */
	uint64_t report_seq;
	uint32_t n_accepted; /* tries accepted since the start */
	pf_ms next_report_at;
	pf_ms wake_at;
	pf_ms placement_blocked_at; /* since when a wanted load lacks memory; or 0 */

	double step_ms; /* moving averages; 0: not yet measured */
	double prefill_token_ms; /* per prompt token */
	double end_gap_ms; /* between ends of runs */
	pf_ms last_end_at;
	struct pf_agent_stats stats;
};

/* agent.c */
void agent_emit(struct pf_agent *a, const struct pf_agent_act *act);
/** Asks to be woken at @at or earlier. */
void agent_wake_at(struct pf_agent *a, pf_ms at);
bool agent_ready(const struct pf_agent *a);
/** Folds @x into a moving average. */
void average_add(double *avg, double x);

/* agent_tries.c: records, and what entries ask for */
struct run *run_find(struct pf_agent *a, struct pf_try id);
struct run *run_first(struct pf_agent *a, enum run_state state);
struct run *run_next(struct pf_agent *a, const struct run *r);
/** Moves @r to the end of the list of @state. */
void run_set_state(struct pf_agent *a, struct run *r, enum run_state state);
/** Frees the record; the caller leaves the mark of the try before. */
void run_remove(struct pf_agent *a, struct run *r);
/** Ends a run that is not at the engine: NOT_RUN, or LOST if it ran. */
void run_end_waiting(struct pf_agent *a, struct run *r, enum pf_reason reason);
/** Tells that a run was cut, and ends it. */
void run_end_lost(struct pf_agent *a, struct run *r, enum pf_reason reason);
/** Tells that a run ended, and ends it. */
void run_end_done(struct pf_agent *a, struct run *r, enum pf_finish_reason end);
void agent_on_try(struct pf_agent *a, uint64_t entry, struct pf_try id,
		  const struct pf_work *w);
void agent_on_revoke(struct pf_agent *a, uint64_t entry, struct pf_try id);
void agent_on_cancel(struct pf_agent *a, struct pf_try id);
void agent_on_entry_down(struct pf_agent *a, uint64_t entry);
void agent_on_drain(struct pf_agent *a);
/** Ends waiting work that expired or waited too long. */
void tries_expire(struct pf_agent *a);
/** Gives up all waiting work. */
void tries_flush(struct pf_agent *a, enum pf_reason reason);
/** A hint when to come back, jittered. */
pf_ms retry_after_hint(struct pf_agent *a);

/* agent_runs.c: from the place to the end */
/** Runs at the engine or with a place held for them. */
uint32_t runs_in_batch(const struct pf_agent *a);
/** Starts @r, or claims its key first; its memory is granted. */
void run_start(struct pf_agent *a, struct run *r);
void run_stop(struct pf_agent *a, struct run *r, enum stop_reason why);
void agent_on_claimed(struct pf_agent *a, struct pf_try id, bool granted,
		      enum pf_reason reason);
void agent_on_tokens(struct pf_agent *a, struct pf_try id, uint32_t offset,
		     uint32_t count);
void agent_on_run_end(struct pf_agent *a, struct pf_try id,
		      enum pf_finish_reason end, uint32_t total);
void runs_lose_all(struct pf_agent *a);
/** Repeats stop orders that were not answered. */
void runs_repeat_stops(struct pf_agent *a);

/* agent_tombstones.c */
int tombstones_init(struct tombstones *t, uint32_t n, pf_ms keep);
void tombstones_free(struct tombstones *t);
void tombstones_add(struct tombstones *t, pf_ms now, struct pf_try id);
bool tombstones_has(struct tombstones *t, pf_ms now, struct pf_try id);
int ended_runs_init(struct ended_runs *e, uint32_t n, pf_ms keep);
void ended_runs_free(struct ended_runs *e);
/** How many more can be added now. */
uint32_t ended_runs_room(struct ended_runs *e, pf_ms now);
void ended_runs_add(struct ended_runs *e, pf_ms now, struct pf_try id);
bool ended_runs_has(const struct ended_runs *e, struct pf_try id);

/* agent_lengths.c */
void lengths_add(struct length_histograms *l, uint64_t model, uint64_t caller,
		 uint32_t n);
/** The @q quantile of lengths beyond @from; @fallback if none is known. */
uint32_t lengths_quantile(const struct length_histograms *l, uint64_t model,
			  uint64_t caller, double q, uint32_t from,
			  uint32_t fallback);

/* agent_kv.c */
/** KV bytes of @r when it may reach @limit. */
int64_t kv_bytes(const struct pf_agent *a, const struct run *r, uint32_t limit);
/** KV bytes that the start of @r takes under the policy. */
int64_t kv_initial_bytes(const struct pf_agent *a, const struct run *r);
/** Whether all runs can still finish when @bytes less are spare. */
bool kv_safe_with_less(struct pf_agent *a, int64_t bytes);
/** Grants memory for the start. 0, or -1 when it does not fit. */
int kv_admit(struct pf_agent *a, struct run *r);
void kv_release(struct pf_agent *a, struct run *r);
/** Raises the limit of @r in time; @burst tokens came at once. */
void kv_grow(struct pf_agent *a, struct run *r, uint32_t burst);
/** Memory became free: serves the runs that wait for growth. */
void kv_retry_growth(struct pf_agent *a);
bool run_pausable(const struct run *r);

/* agent_queue.c */
/** Starts whatever may start now. */
void queue_schedule(struct pf_agent *a);
/** Expected time until the first token of @r after its start. */
double run_prefill_ms(const struct pf_agent *a, const struct run *r);
/** Expected time at the engine of what is left of @r, prefill included. */
double run_cost_ms(const struct pf_agent *a, const struct run *r);
/** Foresees the length of @r; called when it is queued. */
void run_estimate_length(const struct pf_agent *a, struct run *r);

/* agent_pause.c */
/** Stops a long stream of at least @bytes if starting @r now is worth it. */
bool pause_stream_for(struct pf_agent *a, const struct run *r, int64_t bytes);

/* agent_items.c */
enum pf_item_state item_state(const struct pf_agent *a, uint32_t i);
uint32_t item_find(const struct pf_agent *a, uint64_t id);
/** Finds or takes a slot for @id; NIL when the table is full. */
uint32_t item_find_or_add(struct pf_agent *a, uint64_t id);
void agent_on_config(struct pf_agent *a, const struct pf_config *c);
void agent_on_place(struct pf_agent *a, const uint64_t *ids, uint32_t n);
/** Loads what was placed and is absent, while memory allows. */
void items_load_placed(struct pf_agent *a);
/** Whether @i can be had here: declared, and wanted or loaded on demand. */
bool item_offered(const struct pf_agent *a, uint32_t i);
/** Whether @i is resident, with no order in flight. */
bool item_resident(const struct pf_agent *a, uint32_t i);
/** A step towards loading what @r misses; -1: it can't be had here now. */
int items_load_missing(struct pf_agent *a, const struct run *r);
/**
 * Unloads idle items, the least recently used first, until @bytes are or
 * will be spare. 0: they are spare now; 1: they will be; -1: they can't be.
 */
int items_make_room(struct pf_agent *a, int64_t bytes);
/** What was placed has lacked memory for long: nothing new may start. */
bool placement_blocks_starts(const struct pf_agent *a);
void items_set_in_use(struct pf_agent *a, struct run *r, bool hold);

/* agent_orders.c */
/** 0, or -1 when the ledger has no room. */
int order_load(struct pf_agent *a, uint32_t i);
void order_unload(struct pf_agent *a, uint32_t i);
void agent_on_order_done(struct pf_agent *a, uint64_t order, bool ok);
void agent_on_engine_up(struct pf_agent *a, const struct pf_agent_item *items,
			uint32_t n, int64_t used);
void agent_on_engine_down(struct pf_agent *a);
/** Orders that were not answered become unknown; asks for an inventory. */
void orders_check_timeouts(struct pf_agent *a);

/* agent_report.c */
void agent_report(struct pf_agent *a);

static inline uint32_t run_slot(const struct pf_agent *a, const struct run *r)
{
	return (uint32_t)(r - a->runs);
}

static inline bool is_plain(const struct pf_agent *a)
{
	return a->opts.kind == PF_ENDPOINT_PLAIN;
}

#endif
