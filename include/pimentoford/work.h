/*
 * What one request asks for and what agents say about their endpoints: the
 * fixed-size messages that entry and agent cores exchange. Bodies and texts
 * stay with the daemons, keyed by request.
 */
#ifndef PIMENTOFORD_WORK_H
#define PIMENTOFORD_WORK_H

#include "pimentoford/base.h"

PF_BEGIN_DECLS

/**
 * One try of a request. Request ids are unique over all entries and their
 * restarts; attempts count from 1 within a request.
 */
struct pf_try {
	uint64_t request;
	uint32_t attempt;
};

enum pf_work_flag {
	PF_WORK_PLAIN = 1 << 0, /* a call of a plain service */
	PF_WORK_NEVER_REPEAT = 1 << 1, /* may run at most once */
	PF_WORK_DEFERRABLE = 1 << 2, /* late is better than refused */
	PF_WORK_SUSPECT = 1 << 3, /* was running when an endpoint crashed */
};

/** Times are absolute on the holder's clock; the wire carries durations. */
struct pf_work {
	uint64_t caller;
	uint64_t model; /* version id, or the plain service's id */
	uint64_t adapter; /* 0: none; for a keyed never-repeat call, its claim
			   * shard, pf_claim_shard_id() */
	uint64_t prefix; /* hash of the prompt's leading part; 0: none */
	uint64_t fingerprint; /* caller, model and body */
	uint64_t idem_key; /* pf_id2(caller, key); 0: none */
	uint32_t prompt_tokens;
	uint32_t max_tokens; /* output limit that the caller set */
	uint32_t offset; /* output tokens the caller already has */
	uint32_t flags; /* enum pf_work_flag */
	uint8_t priority;
	pf_ms arrived;
	pf_ms first_token_target; /* first token expected by then; PF_NEVER: none */
	pf_ms token_gap_target_ms; /* expected between tokens; 0: none */
	pf_ms answer_target; /* whole answer expected by then; PF_NEVER: none */
	pf_ms deadline; /* given up then; PF_NEVER: none */
};

/* DEF(name, code, text): why a try or a request was not served. */
#define PF_REASONS(DEF)                                                   \
	DEF(NONE, "none", "no error")                                     \
	DEF(FULL, "full", "the queue is full")                            \
	DEF(NO_MEMORY, "no_memory", "accelerator memory is committed")    \
	DEF(NOT_RESIDENT, "not_resident", "the model is not loaded here") \
	DEF(LEAVING, "leaving", "the endpoint is leaving")                \
	DEF(NOT_READY, "not_ready", "the endpoint is not ready")          \
	DEF(TOMBSTONE, "tombstone", "the try was given up before")        \
	DEF(EXPIRED, "deadline", "the deadline passed")                   \
	DEF(RATE, "rate_limited", "the caller's rate is used up")         \
	DEF(CONCURRENCY, "too_many_requests",                             \
	    "the caller's concurrency is used up")                        \
	DEF(OVERLOAD, "overloaded", "the expectation cannot be met now")  \
	DEF(RETRY_BUDGET, "retry_budget", "the retry budget is used up")  \
	DEF(QUARANTINED, "quarantined", "this request crashed endpoints") \
	DEF(UNKNOWN_MODEL, "unknown_model", "no such model or adapter")   \
	DEF(TOO_LONG, "too_long", "prompt and limit exceed the context")  \
	DEF(CRASHED, "endpoint_crashed", "the endpoint crashed")          \
	DEF(LINK, "link_lost", "the agent cannot be reached")             \
	DEF(CANCELLED, "cancelled", "the caller went away")               \
	DEF(STORE_AWAY, "store_away", "the table service is away")        \
	DEF(OUTCOME_UNKNOWN, "outcome_unknown",                           \
	    "the call may have run and may not be repeated")              \
	DEF(KEY_REUSED, "key_reused",                                     \
	    "the idempotency key stands for another request")             \
	DEF(BACKEND, "backend_error", "the endpoint answered an error")

enum pf_reason {
#define DEF(name, code, text) PF_REASON_##name,
	PF_REASONS(DEF)
#undef DEF
		PF_REASON_COUNT
};

/** The stable code of a reason, as callers see it. */
const char *pf_reason_code(enum pf_reason r);
const char *pf_reason_text(enum pf_reason r);

/** Whether a refused or failed request ran. */
enum pf_ran { PF_NOT_RUN, PF_RAN, PF_RAN_UNKNOWN };

enum pf_item_state {
	PF_ITEM_ABSENT,
	PF_ITEM_LOADING,
	PF_ITEM_RESIDENT,
	PF_ITEM_UNLOADING,
};

/** A model version or adapter at an endpoint. */
struct pf_item {
	uint64_t id;
	enum pf_item_state state;
	uint32_t running; /* runs of the model at the engine */
};

/** An agent's load report. `items` is borrowed. */
struct pf_report {
	uint64_t agent;
	uint64_t incarnation;
	uint64_t seq; /* rises within an incarnation */
	uint32_t running; /* sequences in the batch */
	uint32_t queued; /* admitted by the agent, not yet started */
	uint32_t queue_max;
	uint32_t batch_max;
	uint32_t started; /* tries taken in since the agent started */
	int64_t kv_free; /* bytes neither allocated nor granted */
	int64_t kv_total;
	double step_ms; /* recent time between tokens */
	double token_prefill_ms; /* recent prefill time per prompt token */
	bool leaving;
	bool ready;
	const struct pf_item *items;
	uint32_t n_items;
};

PF_END_DECLS

#endif
