/*
 * Internal types and functions of the agent core, by module: tries and run
 * lists (agent_tries.c), runs (agent_runs.c), records of ended tries
 * (agent_tombstones.c), output lengths (agent_lengths.c), KV grants
 * (agent_kv.c), the queue (agent_queue.c), preemption (agent_pause.c), models
 * and adapters (agent_items.c), engine orders (agent_orders.c), load reports
 * (agent_report.c).
 */
#ifndef AGENT_CORE_H
#define AGENT_CORE_H

#include "pimentoford/agent.h"
#include "pimentoford/ledger.h"
#include "pimentoford/map.h"

#define NIL UINT32_MAX

/** State of a run. Each run is on the list of its state. */
enum run_state {
	RUN_FREE, /* unused slot, on no list */
	RUN_QUEUED, /* not in the batch; may have run before a pause */
	RUN_CLAIMING, /* has its batch slot, waits for the claim log */
	RUN_VOIDING, /* ended while its claim was pending */
	RUN_RUNNING, /* at the engine */
	RUN_STOPPING, /* STOP emitted; holds its memory until it ends */
	RUN_STATES,
};

/** What to do once a stopped run has ended. */
enum stop_reason { STOP_PAUSE, STOP_CANCEL, STOP_NO_MEMORY };

struct run {
	struct pf_try id;
	uint64_t entry;
	struct pf_work work;
	enum run_state state;
	enum stop_reason stop_reason;
	uint32_t prev, next; /* in the list of its state */
	uint32_t model_slot, adapter_slot; /* in `items`, or NIL */
	uint32_t produced; /* output tokens, work.offset included */
	uint32_t limit; /* output tokens that its KV grant covers */
	bool ran; /* RUN was emitted at least once */
	bool started_sent;
	bool prefilling; /* no token since the last RUN */
	bool preempted; /* paused for a short try before; not done twice */
	uint8_t engine_cancels; /* without STOP, since the last token */
	bool growth_blocked; /* its last growth did not fit */
	uint32_t expected_tokens; /* output, estimated when queued */
	pf_ms queued_at;
	pf_ms started_at; /* the last RUN */
	pf_ms last_token_at;
	pf_ms stop_retry_at;
	double score; /* queue order; valid within one scheduling pass */
};

struct run_list {
	uint32_t head, tail, n;
};

/** A model version or adapter: declared, placed, or held by the engine. */
struct item {
	uint64_t id; /* 0: unused slot */
	uint64_t model_name_id; /* of the model, or of the adapter's model */
	bool adapter;
	bool declared; /* in the configuration */
	int64_t bytes;
	int64_t kv_token_bytes;
	uint32_t max_context;
	uint32_t users; /* queued and running runs that need it */
	uint32_t running; /* runs of the model at the engine */
	uint32_t place_rank; /* in the last PLACE, from 1; 0: not in it */
	pf_ms last_used_at;
	uint64_t order_id; /* the last order; 0: none */
	bool order_is_load;
	bool order_pending;
	bool in_inventory; /* the last one */
	pf_ms ordered_at;
	pf_ms backoff_until; /* no new order before */
	uint32_t refusals; /* consecutive */
};

/** Bloom filters of tries that never ran and never will. */
struct tombstones {
	uint64_t *filters[2]; /* current and previous */
	uint32_t n_words; /* per filter */
	pf_ms rotated_at;
	pf_ms keep;
};

struct ended_run {
	struct pf_try id;
	pf_ms expires_at;
};

/** Exact record of tries that ran and ended. */
struct ended_runs {
	struct ended_run *ring;
	struct pf_map index;
	uint32_t head, n, cap;
	pf_ms keep;
};

#define LENGTH_KEYS 128
#define LENGTH_BUCKETS 64

/** Histograms of output lengths, hashed by (model, caller). */
struct length_histograms {
	uint64_t keys[LENGTH_KEYS];
	uint16_t counts[LENGTH_KEYS + 1][LENGTH_BUCKETS]; /* last: all keys */
	uint32_t totals[LENGTH_KEYS + 1];
};

/** KV memory of a run, for the safe-state check. */
struct kv_need {
	int64_t held_bytes;
	int64_t remaining_bytes; /* up to its max_tokens */
};

struct pf_agent {
	struct pf_agent_opts opts;
	struct pf_rng rng;
	struct pf_ledger ledger;
	pf_ms now;
	const struct pf_agent_sink *sink; /* during a step */

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
	uint32_t *placed; /* item slots of the last PLACE, by rank */
	uint32_t n_placed;
	uint32_t loads_in_flight; /* those in doubt included */
	uint32_t n_pending_orders; /* items with a pending order */
	uint64_t last_order; /* highest order id */
	uint64_t last_void_order; /* highest id voided by an engine restart */
	uint64_t
		inventory_last_order; /* highest id that the pending one shows */
	bool inventory_pending; /* one was requested */
	pf_ms inventory_asked_at;

	struct length_histograms *lengths;
	struct kv_need *kv_needs; /* scratch, batch_max + 1 */
	uint32_t *sorted_queue; /* scratch, slots of queued runs, best first */
	struct pf_item *report_items; /* scratch, items_max */

	bool configured;
	bool engine_up; /* and its inventory has been reconciled */
	bool draining;
	bool drained;
	bool schedule_needed; /* a run may be able to start */
	uint32_t n_growth_blocked;
	uint32_t n_exclusive; /* suspects in the batch; they run alone */
	uint64_t report_seq;
	uint32_t n_accepted; /* tries since the start */
	pf_ms next_report_at;
	pf_ms wake_at;
	pf_ms placement_blocked_at; /* a placed load lacks memory; 0: none */

	double step_ms; /* moving averages; 0: no sample yet */
	double prefill_token_ms;
	double end_gap_ms; /* between ends of runs */
	pf_ms last_end_at;
	struct pf_agent_stats stats;
};

/* agent.c */
void agent_emit(struct pf_agent *a, const struct pf_agent_act *act);
/** Wakes the core by a TICK at @at or earlier. */
void agent_wake_at(struct pf_agent *a, pf_ms at);
bool agent_ready(const struct pf_agent *a);
/** Adds the sample @x to an exponential moving average. */
void average_add(double *avg, double x);

/* agent_tries.c: run records, messages of entries */
struct run *run_find(struct pf_agent *a, struct pf_try id);
/** The first run of a list, or NULL. */
struct run *run_first(struct pf_agent *a, enum run_state state);
struct run *run_next(struct pf_agent *a, const struct run *r);
/** Moves @r to the end of the list of @state. */
void run_set_state(struct pf_agent *a, struct run *r, enum run_state state);
/** Frees the record. The caller has recorded the end of the try. */
void run_remove(struct pf_agent *a, struct run *r);
/** Ends a run that is not at the engine: NOT_RUN, or LOST if it ran. */
void run_end_waiting(struct pf_agent *a, struct run *r, enum pf_reason reason);
/** Ends an interrupted run: LOST. */
void run_end_lost(struct pf_agent *a, struct run *r, enum pf_reason reason);
/** Ends a completed or cancelled run: DONE. */
void run_end_done(struct pf_agent *a, struct run *r,
		  enum pf_finish_reason finish_reason);
void agent_on_try(struct pf_agent *a, uint64_t entry, struct pf_try id,
		  const struct pf_work *w);
void agent_on_revoke(struct pf_agent *a, uint64_t entry, struct pf_try id);
void agent_on_cancel(struct pf_agent *a, struct pf_try id);
void agent_on_entry_down(struct pf_agent *a, uint64_t entry);
void agent_on_drain(struct pf_agent *a);
/** Ends waiting runs that expired or waited too long. */
void tries_expire(struct pf_agent *a);
/** Ends all waiting runs. */
void tries_flush(struct pf_agent *a, enum pf_reason reason);
/** Jittered time after which a refused try may be sent again. */
pf_ms retry_after_hint(struct pf_agent *a);

/* agent_runs.c: runs from start to end, messages of the engine */
/** Occupied batch slots: runs at the engine or claiming. */
uint32_t runs_in_batch(const struct pf_agent *a);
/** Starts @r, or claims its key first. Its memory has been granted. */
void run_start(struct pf_agent *a, struct run *r);
void run_stop(struct pf_agent *a, struct run *r, enum stop_reason why);
void agent_on_claimed(struct pf_agent *a, struct pf_try id, bool granted,
		      enum pf_reason reason);
void agent_on_tokens(struct pf_agent *a, struct pf_try id, uint32_t offset,
		     uint32_t count);
void agent_on_run_end(struct pf_agent *a, struct pf_try id,
		      enum pf_finish_reason finish_reason, uint32_t total);
/** Ends all runs at the engine, which crashed. */
void runs_lose_all(struct pf_agent *a);
/** Repeats STOPs that timed out. */
void runs_repeat_stops(struct pf_agent *a);

/* agent_tombstones.c */
/** Sizes the filters for @n tries in each @keep. 0 or -1. */
int tombstones_init(struct tombstones *t, uint32_t n, pf_ms keep);
void tombstones_free(struct tombstones *t);
void tombstones_add(struct tombstones *t, pf_ms now, struct pf_try id);
/** May be true for a try that was never added. */
bool tombstones_has(struct tombstones *t, pf_ms now, struct pf_try id);
int ended_runs_init(struct ended_runs *e, uint32_t n, pf_ms keep);
void ended_runs_free(struct ended_runs *e);
/** How many can be added now. */
uint32_t ended_runs_room(struct ended_runs *e, pf_ms now);
void ended_runs_add(struct ended_runs *e, pf_ms now, struct pf_try id);
bool ended_runs_has(const struct ended_runs *e, struct pf_try id);

/* agent_lengths.c */
void lengths_add(struct length_histograms *l, uint64_t model, uint64_t caller,
		 uint32_t n);
/** Quantile @q of the lengths above @from; @fallback if there are too few. */
uint32_t lengths_quantile(const struct length_histograms *l, uint64_t model,
			  uint64_t caller, double q, uint32_t from,
			  uint32_t fallback);

/* agent_kv.c */
/** KV bytes of @r with @limit output tokens. */
int64_t kv_bytes(const struct pf_agent *a, const struct run *r, uint32_t limit);
/** KV bytes that the policy reserves when @r starts. */
int64_t kv_initial_bytes(const struct pf_agent *a, const struct run *r);
/** Whether the state stays safe with @bytes less to spare. */
bool kv_safe_with_less(struct pf_agent *a, int64_t bytes);
/** Reserves memory to start @r. 0, or -1 when it does not fit. */
int kv_admit(struct pf_agent *a, struct run *r);
void kv_release(struct pf_agent *a, struct run *r);
/** Raises the limit of @r ahead of need; @burst tokens came at once. */
void kv_grow(struct pf_agent *a, struct run *r, uint32_t burst);
/** Retries the blocked growths after memory was freed. */
void kv_retry_growth(struct pf_agent *a);
bool run_pausable(const struct run *r);

/* agent_queue.c */
/** Starts the runs that can start now. */
void queue_schedule(struct pf_agent *a);
/** Expected time from the start of @r to its first token. */
double run_prefill_ms(const struct pf_agent *a, const struct run *r);
/** Expected remaining time of @r at the engine, prefill included. */
double run_cost_ms(const struct pf_agent *a, const struct run *r);
/** Sets expected_tokens of a run being queued. */
void run_estimate_length(const struct pf_agent *a, struct run *r);

/* agent_pause.c */
/** Pauses a stream holding @bytes or more if starting @r now is worth it. */
bool pause_stream_for(struct pf_agent *a, const struct run *r, int64_t bytes);

/* agent_items.c: models and adapters, by slot */
enum pf_item_state item_state(const struct pf_agent *a, uint32_t i);
/** The slot of @id; NIL when it has none. */
uint32_t item_find(const struct pf_agent *a, uint64_t id);
/** Finds or takes a slot for @id; NIL when the table is full. */
uint32_t item_find_or_add(struct pf_agent *a, uint64_t id);
void agent_on_config(struct pf_agent *a, const struct pf_config *c);
void agent_on_place(struct pf_agent *a, const uint64_t *ids, uint32_t n);
/** Loads placed items that are absent, as far as memory allows. */
void items_load_placed(struct pf_agent *a);
/** Whether tries may use @i: it is here, placed, or loaded on demand. */
bool item_offered(const struct pf_agent *a, uint32_t i);
/** Whether @i is resident, with no order in flight. */
bool item_resident(const struct pf_agent *a, uint32_t i);
/** Loads the model or adapter that @r lacks. -1: not possible now. */
int items_load_missing(struct pf_agent *a, const struct run *r);
/**
 * Unloads idle items, least recently used first, to make @bytes spare. 0:
 * they are; 1: they will be once the unloads are done; -1: not possible.
 */
int items_make_room(struct pf_agent *a, int64_t bytes);
/** Whether a placed item has waited for memory too long: start nothing. */
bool placement_blocks_starts(const struct pf_agent *a);
/** Counts @r in or out as a user of its model and adapter. */
void items_set_in_use(struct pf_agent *a, struct run *r, bool in_use);

/* agent_orders.c */
/** Emits LOAD. 0, or -1 when the ledger has no room. */
int order_load(struct pf_agent *a, uint32_t i);
void order_unload(struct pf_agent *a, uint32_t i);
void agent_on_order_done(struct pf_agent *a, uint64_t order, bool ok);
void agent_on_engine_up(struct pf_agent *a, const struct pf_agent_item *items,
			uint32_t n, int64_t used);
void agent_on_engine_down(struct pf_agent *a);
/** Marks orders that timed out as in doubt and requests an inventory. */
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
