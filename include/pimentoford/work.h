/*
 * Parameters of a request and load reports of agents: the fixed-size data
 * that entry and agent cores exchange. Daemons keep bodies and texts, keyed
 * by request.
 */
#ifndef PIMENTOFORD_WORK_H
#define PIMENTOFORD_WORK_H

#include "pimentoford/base.h"

PF_BEGIN_DECLS

/**
 * Identifies one try of a request. Request ids are unique across all entries
 * and their restarts; attempts of a request count from 1.
 */
struct pf_try {
	uint64_t request;
	uint32_t attempt;
};

enum pf_work_flag {
	PF_WORK_PLAIN = 1 << 0, /* a call to a plain service */
	PF_WORK_NEVER_REPEAT = 1 << 1, /* may run at most once */
	PF_WORK_DEFERRABLE = 1 << 2, /* waits rather than being refused */
	PF_WORK_SUSPECT = 1 << 3, /* was running when an endpoint crashed */
};

/** Times are absolute on the local clock; the wire carries durations. */
struct pf_work {
	uint64_t caller;
	uint64_t model; /* model version id, or plain service id */
	uint64_t adapter; /* 0: none; claim shard, pf_claim_shard_id(), of a
			   * never-repeat call with an idempotency key */
	uint64_t prefix; /* hash of the start of the prompt; 0: none */
	uint64_t fingerprint; /* hash of caller, model and body; 0: none */
	uint64_t idem_key; /* pf_id2(caller, key); 0: none */
	uint32_t prompt_tokens;
	uint32_t max_tokens; /* output limit set by the caller */
	uint32_t offset; /* output tokens already delivered */
	uint32_t flags; /* enum pf_work_flag */
	uint8_t priority; /* 0: highest */
	pf_ms arrived;
	pf_ms first_token_objective; /* PF_NEVER: none */
	pf_ms token_gap_objective_ms; /* time between tokens; 0: none */
	pf_ms answer_objective; /* for the complete answer; PF_NEVER: none */
	pf_ms deadline; /* ends unfinished then; PF_NEVER: none */
};

/* DEF(name, code, text): reasons why a try or a request failed. */
#define PF_REASONS(DEF)                                                        \
	DEF(NONE, "none", "no error")                                          \
	DEF(FULL, "full", "the queue is full")                                 \
	DEF(NO_MEMORY, "no_memory", "accelerator memory is committed")         \
	DEF(NOT_RESIDENT, "not_resident", "the model is not loaded here")      \
	DEF(LEAVING, "leaving", "the endpoint is leaving")                     \
	DEF(NOT_READY, "not_ready", "the endpoint is not ready")               \
	DEF(TOMBSTONE, "tombstone", "the try was given up before")             \
	DEF(EXPIRED, "deadline", "the deadline passed")                        \
	DEF(RATE, "rate_limited", "the caller's rate is used up")              \
	DEF(CONCURRENCY, "too_many_requests",                                  \
	    "the caller's concurrency is used up")                             \
	DEF(OVERLOAD, "overloaded", "the latency objective cannot be met now") \
	DEF(RETRY_BUDGET, "retry_budget", "the retry budget is used up")       \
	DEF(QUARANTINED, "quarantined", "this request crashed endpoints")      \
	DEF(UNKNOWN_MODEL, "unknown_model", "no such model or adapter")        \
	DEF(TOO_LONG, "too_long", "prompt and limit exceed the context")       \
	DEF(CRASHED, "endpoint_crashed", "the endpoint crashed")               \
	DEF(LINK, "link_lost", "the agent cannot be reached")                  \
	DEF(CANCELLED, "cancelled", "the caller went away")                    \
	DEF(STORE_AWAY, "store_away", "the table service is away")             \
	DEF(OUTCOME_UNKNOWN, "outcome_unknown",                                \
	    "the call may have run and may not be repeated")                   \
	DEF(KEY_REUSED, "key_reused",                                          \
	    "the idempotency key stands for another request")                  \
	DEF(BACKEND, "backend_error", "the endpoint answered an error")

enum pf_reason {
#define DEF(name, code, text) PF_REASON_##name,
	PF_REASONS(DEF)
#undef DEF
		PF_REASON_COUNT
};

/** The stable code of a reason that is shown to callers. */
const char *pf_reason_code(enum pf_reason r);

/** The English text of a reason. */
const char *pf_reason_text(enum pf_reason r);

/** Whether a request that was not served ran. */
enum pf_ran { PF_NOT_RUN, PF_RAN, PF_RAN_UNKNOWN };

enum pf_item_state {
	PF_ITEM_ABSENT,
	PF_ITEM_LOADING,
	PF_ITEM_RESIDENT,
	PF_ITEM_UNLOADING,
};

/** A model version, an adapter or a claim shard at an endpoint. */
struct pf_item {
	uint64_t id;
	enum pf_item_state state;
	uint32_t running; /* requests running on the model */
};

/** An agent's load report. `items` is borrowed. */
struct pf_report {
	uint64_t agent;
	uint64_t incarnation;
	uint64_t seq; /* increases within an incarnation */
	uint32_t running; /* sequences in the batch */
	uint32_t queued; /* tries accepted but not started */
	uint32_t queue_max;
	uint32_t batch_max;
	uint32_t started; /* tries accepted since the agent started */
	int64_t kv_free; /* bytes neither allocated nor granted */
	int64_t kv_total; /* bytes */
	double step_ms; /* recent time between tokens */
	double token_prefill_ms; /* recent prefill time per prompt token */
	bool leaving; /* takes no new work */
	bool ready;
	const struct pf_item *items;
	uint32_t n_items;
};

PF_END_DECLS

#endif
