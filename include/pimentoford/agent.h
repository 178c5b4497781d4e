/*
 * Agent core: controls one endpoint. Owns its memory ledger, its queue, the
 * records of its runs and the tombstones of tries that never ran, and issues
 * load and unload orders to the engine. Does no I/O: the daemon passes
 * messages to pf_agent_step() and carries out the acts that it emits.
 */
#ifndef PIMENTOFORD_AGENT_H
#define PIMENTOFORD_AGENT_H

#include "pimentoford/record.h"
#include "pimentoford/work.h"

PF_BEGIN_DECLS

struct pf_agent;

/** How much KV memory is reserved when a run is admitted. */
enum pf_kv_policy {
	PF_KV_FULL, /* prompt plus max_tokens */
	PF_KV_QUANTILE, /* prompt plus a quantile of past lengths; may grow */
	PF_KV_SAFE, /* as QUANTILE, checked by the banker's algorithm */
};

/** Order in which queued tries start. VALUE: priority, slack and cost. */
enum pf_queue_policy { PF_QUEUE_FIFO, PF_QUEUE_VALUE };

struct pf_agent_opts {
	uint64_t agent; /* endpoint id */
	uint64_t incarnation; /* increases with each restart */
	uint64_t seed;
	enum pf_endpoint_kind kind;
	int64_t memory_bytes; /* accelerator memory of the endpoint */
	uint32_t batch_max; /* runs at once */
	uint32_t queue_max; /* waiting tries; FULL beyond it */
	uint32_t runs_max; /* waiting and running tries; FULL beyond it */
	/* Capacity of the records of ended tries. Those that ran are kept
	 * exactly: when full, new tries are refused with FULL. Those that
	 * never ran go to Bloom filters: beyond the capacity false positives
	 * refuse ever more new tries with TOMBSTONE. */
	uint32_t tombstones_max;
	uint32_t items_max; /* models and adapters; UNKNOWN_MODEL beyond it */
	pf_ms tombstone_keep; /* lifetime of such a record; must exceed the
			       * time a duplicate TRY can be in flight */
	pf_ms report_every;
	pf_ms order_timeout; /* then the outcome of an order is in doubt */
	enum pf_kv_policy kv_policy;
	enum pf_queue_policy queue_policy;
	double kv_quantile; /* for QUANTILE and SAFE, in (0, 1) */
	uint32_t grant_step; /* tokens added by one GRANT */
	bool pause_long; /* preempt a long run for a short one */
	bool load_on_demand; /* load a model or adapter that a try needs */
	uint32_t loads_max; /* loads in flight at this endpoint */
};

/** Sets the defaults; the caller sets the ids, kind and memory_bytes. */
void pf_agent_opts_default(struct pf_agent_opts *o);

/**
 * Creates a core; NULL if an option is out of range or memory runs out. Free
 * it with pf_agent_free(). @o is copied.
 */
struct pf_agent *pf_agent_new(const struct pf_agent_opts *o);
void pf_agent_free(struct pf_agent *a);

enum pf_agent_msg_type {
	/* From entries. */
	PF_AGENT_TRY, /* u.try_: queue and run this try */
	PF_AGENT_REVOKE, /* u.id: drop the try unless it has started */
	PF_AGENT_CANCEL, /* u.id: stop the try; the caller disconnected */
	PF_AGENT_ENTRY_DOWN, /* `entry` disconnected: cancel its tries, but
			      * let never-repeat runs finish */
	/* From the engine or plain service. */
	/* u.inventory: all that the engine holds. Sent when it comes up, then
	 * only in answer to PF_AGENT_INVENTORY. For a plain service: sent
	 * when it is reachable, with an empty inventory. */
	PF_AGENT_ENGINE_UP,
	PF_AGENT_ENGINE_DOWN, /* it crashed and holds nothing any more */
	PF_AGENT_TOKENS, /* u.tokens: a run produced output */
	PF_AGENT_RUN_END, /* u.end: once per RUN, after its tokens */
	PF_AGENT_ORDER_DONE, /* u.order: result of a LOAD or UNLOAD */
	/* From the operators and the planner. */
	PF_AGENT_CONFIG, /* u.config: borrowed until the next CONFIG */
	PF_AGENT_PLACE, /* u.place: items to keep resident */
	PF_AGENT_DRAIN, /* refuse new work; emit DRAINED when empty */
	/* From the claim log. */
	PF_AGENT_CLAIMED, /* u.claimed: answer to PF_AGENT_CLAIM */
	/* From the clock. */
	PF_AGENT_TICK,
};

/** A model version or adapter in the engine's inventory. */
struct pf_agent_item {
	uint64_t id;
	enum pf_item_state state;
	int64_t bytes;
};

/** Why a run ended at the engine. */
enum pf_finish_reason {
	PF_FINISH_STOP, /* the answer is complete */
	PF_FINISH_LIMIT, /* complete: it reached max_tokens */
	PF_FINISH_CANCELLED, /* stopped by STOP or by the engine itself */
	PF_FINISH_ERROR, /* error from the endpoint */
};

struct pf_agent_msg {
	enum pf_agent_msg_type type;
	uint64_t entry; /* sender of a message from an entry */
	union {
		struct {
			struct pf_try id;
			struct pf_work work;
		} try_;
		struct pf_try id;
		struct {
			const struct pf_agent_item *items;
			uint32_t n_items;
			/* Measured by the engine. The daemon cancels the runs
			 * of an earlier incarnation before it reports up. */
			int64_t used_bytes;
		} inventory;
		struct {
			struct pf_try id;
			uint32_t offset; /* output index of the first one */
			uint32_t count;
		} tokens;
		struct {
			struct pf_try id;
			enum pf_finish_reason finish_reason;
			uint32_t total; /* output tokens, offset included */
		} end;
		struct {
			uint64_t id;
			bool ok; /* false: refused without effect */
		} order;
		const struct pf_config *config;
		struct {
			/* Most important first. Items not listed may be
			 * unloaded when memory is needed. */
			const uint64_t *items;
			uint32_t n_items;
		} place;
		struct {
			struct pf_try id;
			bool granted;
			/* If not granted. NONE: the log holds the answer, the
			 * core emits DONE. OUTCOME_UNKNOWN: an earlier run of
			 * the key may have happened, the core emits LOST. Any
			 * other reason: NOT_RUN. */
			enum pf_reason reason;
		} claimed;
	} u;
};

enum pf_agent_act_type {
	/* To the entry `entry`. */
	PF_AGENT_STARTED, /* u.id */
	PF_AGENT_PIECE, /* u.tokens: forward the tokens just reported */
	PF_AGENT_DONE, /* u.done */
	PF_AGENT_NOT_RUN, /* u.not_run: the try has not run and never will */
	PF_AGENT_REVOKED, /* u.id: the same, in answer to REVOKE */
	PF_AGENT_LOST, /* u.lost: the run started and was interrupted */
	/* To every entry. */
	PF_AGENT_REPORT, /* u.report */
	/* To the engine or plain service. */
	PF_AGENT_RUN, /* u.run: start it, with KV for `limit` output tokens */
	PF_AGENT_GRANT, /* u.run: raise its limit */
	PF_AGENT_STOP, /* u.id: cancel the run, free its memory; repeated until
			* RUN_END arrives */
	PF_AGENT_LOAD, /* u.order */
	PF_AGENT_UNLOAD, /* u.order */
	/* Request the inventory, ordered after all earlier orders so that none
	 * of them can change it later. Replaces a pending request, whose
	 * answer must be dropped. */
	PF_AGENT_INVENTORY,
	/* To the claim log. */
	PF_AGENT_CLAIM, /* u.run: claim the key of a never-repeat run */
	PF_AGENT_VOID, /* u.id: the claim was granted, the run never began */
	/* To the daemon. */
	PF_AGENT_DRAINED,
};

struct pf_agent_act {
	enum pf_agent_act_type type;
	uint64_t entry;
	union {
		struct pf_try id;
		struct {
			struct pf_try id;
			uint32_t offset;
			uint32_t count;
		} tokens;
		struct {
			struct pf_try id;
			enum pf_finish_reason finish_reason;
			uint32_t total;
		} done;
		struct {
			struct pf_try id;
			enum pf_reason reason;
			pf_ms retry_after; /* hint, a duration; 0: none */
		} not_run;
		struct {
			struct pf_try id;
			enum pf_reason reason;
			uint32_t produced; /* output tokens so far */
		} lost;
		struct pf_report report;
		struct {
			struct pf_try id;
			const struct pf_work *work; /* borrowed */
			uint32_t offset; /* output tokens already produced */
			uint32_t limit; /* maximum output tokens for now */
		} run;
		struct {
			uint64_t id; /* increases, also over restarts */
			uint64_t item;
			int64_t bytes;
		} order;
	} u;
};

/** Acts are borrowed. `emit` must not call back into the core. */
struct pf_agent_sink {
	void (*emit)(void *ctx, const struct pf_agent_act *act);
	void *ctx;
};

void pf_agent_step(struct pf_agent *a, pf_ms now,
		   const struct pf_agent_msg *msg,
		   const struct pf_agent_sink *sink);

/** Time of the next PF_AGENT_TICK; PF_NEVER: none. */
pf_ms pf_agent_next(const struct pf_agent *a);

/** Counters since the start, and gauges. */
struct pf_agent_stats {
	uint64_t admitted, refused, revoked, completed, lost, paused, grants;
	uint64_t loads, unloads, model_loads, adapter_loads;
	uint64_t late_tokens; /* dropped: their run had ended */
	int64_t committed_bytes, committed_peak;
	uint32_t running, queued;
};

void pf_agent_stats(const struct pf_agent *a, struct pf_agent_stats *s);

PF_END_DECLS

#endif
