/*
 * Agent core: owns one endpoint. Keeps its memory ledger, its short queue,
 * the record of each run and the tombstones of tries that never ran, and
 * issues the engine's orders. Does no I/O: feed it messages with
 * pf_agent_step() and carry out the acts it emits.
 */
#ifndef PIMENTOFORD_AGENT_H
#define PIMENTOFORD_AGENT_H

#include "pimentoford/record.h"
#include "pimentoford/work.h"

PF_BEGIN_DECLS

struct pf_agent;

/** How KV memory is committed when a run is admitted. */
enum pf_kv_policy {
	PF_KV_FULL, /* prompt and the whole output limit */
	PF_KV_QUANTILE, /* a learned quantile of used lengths, then growth */
	PF_KV_SAFE, /* growth guarded by a safe-state check */
};

/** Order in which queued tries start. */
enum pf_queue_policy { PF_QUEUE_FIFO, PF_QUEUE_VALUE };

struct pf_agent_opts {
	uint64_t agent; /* endpoint id */
	uint64_t incarnation; /* rises with each restart */
	uint64_t seed;
	enum pf_endpoint_kind kind;
	int64_t memory_bytes; /* accelerator memory of the endpoint */
	uint32_t batch_max; /* runs at once */
	uint32_t queue_max; /* tries waiting at once; beyond it: FULL */
	uint32_t runs_max; /* tries alive at once; beyond it: FULL */
	/* Sizes the marks of tries that are over. Those that ran are kept one
	 * by one; at the bound new tries are refused: FULL. Those that never
	 * ran are never forgotten in time; beyond the bound ever more new
	 * tries are mistaken for one of them and refused: TOMBSTONE. */
	uint32_t tombstones_max;
	/* Models and adapters known; those beyond it: UNKNOWN_MODEL. */
	uint32_t items_max;
	pf_ms tombstone_keep; /* how long a mark is kept; longer than a copy
			       * of a try can be under way */
	pf_ms report_every;
	pf_ms order_timeout; /* an order unanswered so long is "unknown" */
	enum pf_kv_policy kv_policy;
	enum pf_queue_policy queue_policy;
	double kv_quantile; /* for the learned policies, e.g. 0.8 */
	uint32_t grant_step; /* tokens of one growth grant */
	bool pause_long; /* may pause a long run for a short one */
	bool load_on_demand; /* load a missing model or adapter for a try */
	uint32_t loads_max; /* loads in flight at this endpoint */
};

/** Fills in the defaults that are shipped. */
void pf_agent_opts_default(struct pf_agent_opts *o);

/** NULL when options are out of range or there is no memory. */
struct pf_agent *pf_agent_new(const struct pf_agent_opts *o);
void pf_agent_free(struct pf_agent *a);

enum pf_agent_msg_type {
	/* from entries */
	PF_AGENT_TRY, /* u.try_: run this */
	PF_AGENT_REVOKE, /* u.id: give up unless it has started */
	PF_AGENT_CANCEL, /* u.id: stop it, the caller is gone */
	PF_AGENT_ENTRY_DOWN, /* `entry` is gone: cancel its runs, except
			      * never-repeat ones, which finish */
	/* from the engine */
	/* u.inventory: everything it holds. Sent at the start, and later only
	 * to answer PF_AGENT_INVENTORY. A plain service that can be reached:
	 * an empty one. */
	PF_AGENT_ENGINE_UP,
	PF_AGENT_ENGINE_DOWN, /* crashed: its memory is empty */
	PF_AGENT_TOKENS, /* u.tokens: a run produced output */
	PF_AGENT_RUN_END, /* u.end: once for each RUN, after its tokens */
	PF_AGENT_ORDER_DONE, /* u.order */
	/* from the operators and the planner */
	PF_AGENT_CONFIG, /* u.config: borrowed until the next one */
	PF_AGENT_PLACE, /* u.place: what is to be resident here */
	PF_AGENT_DRAIN, /* no new work; emit PF_AGENT_DRAINED when empty */
	/* the claim log */
	PF_AGENT_CLAIMED, /* u.claimed: answer to PF_AGENT_CLAIM */
	/* the clock */
	PF_AGENT_TICK,
};

/** An item as the engine's inventory shows it. */
struct pf_agent_item {
	uint64_t id;
	enum pf_item_state state;
	int64_t bytes;
};

enum pf_finish_reason {
	PF_FINISH_STOP, /* the answer is whole */
	PF_FINISH_LIMIT, /* stopped at max_tokens; the answer is whole */
	PF_FINISH_CANCELLED, /* by our order */
	PF_FINISH_ERROR, /* the endpoint answered an error */
};

struct pf_agent_msg {
	enum pf_agent_msg_type type;
	uint64_t entry; /* who sent it, for messages from entries */
	union {
		struct {
			struct pf_try id;
			struct pf_work work;
		} try_;
		struct pf_try id;
		struct {
			const struct pf_agent_item *items;
			uint32_t n_items;
			/* Runs of an earlier incarnation are cancelled by the
			 * daemon before it reports the engine up. */
			int64_t used_bytes; /* as the engine measures it */
		} inventory;
		struct {
			struct pf_try id;
			uint32_t offset; /* of the first token in it */
			uint32_t count;
		} tokens;
		struct {
			struct pf_try id;
			enum pf_finish_reason finish_reason;
			uint32_t total; /* output tokens, offset included */
		} end;
		struct {
			uint64_t id;
			bool ok; /* false: refused, nothing was done */
		} order;
		const struct pf_config *config;
		struct {
			/* Items wanted, most wanted first; others may be
			 * unloaded when memory is needed. */
			const uint64_t *items;
			uint32_t n_items;
		} place;
		struct {
			struct pf_try id;
			/* Not granted and NONE: the log holds the answer, the
			 * core emits DONE. Not granted and OUTCOME_UNKNOWN: an
			 * earlier run of the key may have happened, the core
			 * emits LOST. Any other reason: NOT_RUN. */
			bool granted;
			enum pf_reason reason;
		} claimed;
	} u;
};

enum pf_agent_act_type {
	/* to the entry `entry` */
	PF_AGENT_STARTED, /* u.id */
	PF_AGENT_PIECE, /* u.tokens: forward the tokens just reported */
	PF_AGENT_DONE, /* u.done */
	PF_AGENT_NOT_RUN, /* u.not_run: this try never ran and never will */
	PF_AGENT_REVOKED, /* u.id: as NOT_RUN, the answer to REVOKE */
	PF_AGENT_LOST, /* u.lost: it started and was cut */
	PF_AGENT_REPORT, /* u.report, to every entry */
	/* to the engine or service */
	PF_AGENT_RUN, /* u.run: start; it may hold up to `limit` tokens */
	PF_AGENT_GRANT, /* u.run: raise the limit of a run */
	PF_AGENT_STOP, /* u.id: cancel the run, free its memory; repeated until
			* RUN_END comes */
	PF_AGENT_LOAD, /* u.order */
	PF_AGENT_UNLOAD, /* u.order */
	/* Ask the engine for its inventory, behind all earlier orders: what
	 * it shows must not be changed by them later. Replaces an earlier
	 * question, whose answer is to be dropped. */
	PF_AGENT_INVENTORY,
	/* to the claim log: claim the key before a never-repeat run starts */
	PF_AGENT_CLAIM, /* u.run */
	/* a claim was granted, but its run was given up before it began */
	PF_AGENT_VOID, /* u.id */
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
			pf_ms retry_after; /* when to come back; 0: unknown */
		} not_run;
		struct {
			struct pf_try id;
			enum pf_reason reason;
			uint32_t produced; /* output tokens so far */
		} lost;
		struct pf_report report;
		struct {
			struct pf_try id;
			const struct pf_work *work; /* valid in the call */
			uint32_t offset; /* output tokens it starts from */
			uint32_t limit; /* output tokens it may reach */
		} run;
		struct {
			uint64_t id; /* rises; names the order */
			uint64_t item;
			int64_t bytes;
		} order;
	} u;
};

/** Where acts go. `emit` must not call back into the core. */
struct pf_agent_sink {
	void (*emit)(void *ctx, const struct pf_agent_act *act);
	void *ctx;
};

/** Handles one message. Acts go to @sink before it returns. */
void pf_agent_step(struct pf_agent *a, pf_ms now,
		   const struct pf_agent_msg *msg,
		   const struct pf_agent_sink *sink);

/** When the next PF_AGENT_TICK is due; PF_NEVER for none. */
pf_ms pf_agent_next(const struct pf_agent *a);

/** Counters and gauges for reports and tests. */
struct pf_agent_stats {
	uint64_t admitted, refused, revoked, completed, lost, paused, grants;
	uint64_t loads, unloads, model_loads, adapter_loads;
	uint64_t late_tokens; /* of runs no longer known; dropped */
	int64_t committed_bytes, committed_peak;
	uint32_t running, queued;
};

void pf_agent_stats(const struct pf_agent *a, struct pf_agent_stats *s);

PF_END_DECLS

#endif
