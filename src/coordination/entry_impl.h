/* The state of the entry core, shared by its modules. */
#ifndef SRC_COORDINATION_ENTRY_IMPL_H
#define SRC_COORDINATION_ENTRY_IMPL_H

#include "pimentoford/entry.h"
#include "pimentoford/heap.h"
#include "pimentoford/map.h"

#define PF_NIL UINT32_MAX

/** Agents that a request avoids at a time. */
#define PF_AVOID_MAX 3
/** Groups marked at a time as not servable by an agent. */
#define PF_UNABLE_MAX 8

enum pf_req_state {
	PF_REQ_QUEUED, /* in its group's queue */
	PF_REQ_AWAITING_TRIAL, /* in the trial queue of suspects */
	PF_REQ_BACKOFF, /* in no queue until the backoff ends */
	PF_REQ_SENT, /* TRY sent, no answer yet */
	PF_REQ_REVOKING, /* REVOKE sent, no answer yet */
	PF_REQ_RUNNING, /* STARTED received */
};

/** Bitsets of a request's tries by attempt, of the last 64. */
struct pf_try_sets {
	uint64_t alone; /* sent as suspects, which agents run alone */
	uint64_t crashed;
};

struct pf_request {
	uint64_t id;
	struct pf_work work; /* work.offset: tokens delivered so far */
	enum pf_req_state state;
	enum pf_ran ran; /* earlier tries, and this one once it started */
	uint32_t attempt; /* number of the last try */
	uint32_t retries; /* charged against attempts_max */
	uint32_t backoffs; /* since the last progress; set the next one */
	uint32_t stalls; /* of the try in flight since its last progress */
	uint32_t account;
	uint32_t group;
	uint32_t agent_slot; /* of the try in flight */
	/* Links of the heap or list that holds the request. */
	uint32_t child;
	uint32_t next;
	uint32_t prev;
	uint32_t fingerprint_next; /* requests with the same fingerprint */
	uint32_t fingerprint_prev;
	pf_ms sort_key; /* order in its group's queue, lowest first */
	pf_ms timer_at; /* timeout of the state, apart from the deadline */
	struct pf_try_sets tries;
	pf_ms sent_at;
	pf_ms started_at;
	bool unreported; /* the agent's report lacks its try */
	uint32_t done_total; /* from a DONE that came before its last pieces;
			      * 0: none */
	uint32_t trial_offset; /* tokens delivered when its trial began */
	struct {
		uint32_t agent_slot;
		pf_ms until;
	} avoid[PF_AVOID_MAX]; /* agents not to retry at for now */
};

/** Events per millisecond of busy time, decaying exponentially. */
struct pf_drain_rate {
	double events;
	double busy_ms;
	pf_ms updated_at;
};

/** Requests that the same agents can serve. */
struct pf_group {
	uint64_t model;
	uint64_t shard; /* claim shard of calls with a key; 0: none */
	uint32_t heap_root; /* of the queue, a pairing heap */
	uint32_t n_waiting;
	uint32_t n_not_deferrable[PF_PRIORITIES]; /* waiting, by priority */
	uint32_t prev; /* in the list of busy or of idle groups */
	uint32_t next;
	uint32_t n_requests; /* open requests, waiting or not */
	uint32_t loading_agent_slot; /* agent sent a try that loads the model */
	pf_ms loading_until;
	struct pf_drain_rate drain;
	double mean_output_tokens; /* of complete answers; 0: none yet */
};

struct pf_group_list {
	uint32_t head;
	uint32_t tail;
};

struct pf_account {
	uint64_t id;
	const struct pf_caller *record; /* NULL: no longer declared */
	double rate_tokens; /* in the token bucket of its rate limit */
	pf_ms refilled_at;
	double retry_budget;
	uint32_t n_requests; /* open requests */
	bool in_use;
};

/** A model version, adapter or claim shard in an agent's report. */
struct pf_entry_agent_item {
	uint64_t id;
	enum pf_item_state state;
	uint32_t running; /* as reported, plus own tries sent since */
	pf_ms state_since;
};

/** An agent as seen by this entry. */
struct pf_entry_agent {
	uint64_t id;
	uint64_t incarnation;
	bool linked;
	bool closing; /* the link: its tries in flight finish */
	bool leaving;
	bool has_report; /* of this session */
	bool ready;
	const struct pf_endpoint *record; /* NULL: not declared */
	uint64_t service; /* of a plain endpoint; else 0 */
	bool same_zone;
	bool same_region;
	/* From the last report. */
	uint64_t report_seq;
	pf_ms report_at;
	uint32_t reported_load; /* running and queued */
	uint32_t reported_queued;
	uint32_t batch_max;
	uint32_t reported_started; /* pf_report.started */
	int64_t kv_free;
	double step_ms;
	double token_prefill_ms;
	/* Tries of this entry. */
	uint32_t n_unreported; /* in flight, not in the report yet */
	uint32_t ended_since_report; /* those that the report had counted */
	uint32_t in_flight;
	uint32_t in_flight_head; /* list of those in flight */
	double service_ms; /* mean time from TRY to a complete answer */
	double retry_budget;
	struct {
		uint32_t group;
		pf_ms until;
	} unable[PF_UNABLE_MAX]; /* groups it cannot serve for now */
	struct pf_entry_agent_item *items; /* sorted by id */
	struct pf_entry_agent_item *items_scratch; /* for the next report */
	uint32_t n_items;
	uint32_t n_running_models;
	uint64_t *prefix_hints; /* hash table by prefix; new replace old */
};

/** A fingerprint that was running when an endpoint crashed. */
struct pf_suspect {
	uint64_t fingerprint;
	uint32_t crashes;
	uint64_t endpoints[PF_CRASHED_ENDPOINTS_MAX]; /* the last ones, seen
							* by this entry */
	uint32_t n_endpoints;
	pf_ms quarantined_until; /* 0: a suspect only */
	pf_ms last_seen_at;
	uint32_t prev; /* LRU list, least recently seen first */
	uint32_t next;
};

/** A request that ended, kept because a try of it may still crash. */
struct pf_ended_request {
	uint64_t request;
	uint64_t fingerprint;
	uint64_t caller;
	struct pf_try_sets tries;
};

/** An agent able to serve the request that is being routed. */
struct pf_candidate {
	uint32_t agent_slot;
	uint32_t rank;
	double cost; /* milliseconds, or load, by the policy */
};

struct pf_entry {
	struct pf_entry_opts opts;
	char *zone;
	char *region;
	const struct pf_config *config;
	struct pf_map catalog; /* {id, kind} to index in `config` */
	const struct pf_entry_sink *sink; /* valid during a step */
	pf_ms now;
	struct pf_rng rng;
	bool draining;
	bool drained;

	struct pf_request *reqs;
	uint32_t req_free; /* free list by `next` */
	struct pf_map req_map;
	struct pf_map fingerprint_map; /* to the first request with it */
	struct pf_heap timers;
	pf_ms sweep_at;

	struct pf_group *groups;
	struct pf_map group_map;
	struct pf_group_list busy_groups; /* with waiting requests */
	struct pf_group_list idle_groups;
	uint32_t groups_used; /* slots used so far */

	struct pf_account *accounts;
	struct pf_map account_map;

	struct pf_entry_agent *agents;
	struct pf_map agent_map;
	uint32_t n_agents; /* slots used so far */
	uint32_t round_robin_turn;
	struct pf_candidate *candidates; /* scratch of agents_max */
	double link_budget_bytes; /* for traffic to other regions */
	pf_ms link_refilled_at;

	struct pf_suspect *suspects;
	struct pf_map suspect_map;
	/* Indexed by request id modulo quarantine_max; new replace old. */
	struct pf_ended_request *ended_requests;
	uint32_t suspects_used; /* slots used so far */
	uint32_t suspect_free; /* free list by `next` */
	uint32_t suspect_head; /* LRU list */
	uint32_t suspect_tail;
	uint32_t trial_slot; /* request on trial, or PF_NIL */
	uint32_t trial_queue; /* list of requests waiting for a trial */

	struct pf_entry_stats stats;
};

static inline void pf_entry_emit(struct pf_entry *e,
				 const struct pf_entry_act *act)
{
	e->sink->emit(e->sink->ctx, act);
}

static inline bool pf_req_never_repeat(const struct pf_request *r)
{
	return r->work.flags & PF_WORK_NEVER_REPEAT;
}

/** Whether @r may be sent again without the risk of running twice. */
static inline bool pf_req_may_resend(const struct pf_request *r)
{
	return !pf_req_never_repeat(r) || r->work.idem_key != 0;
}

/** The bit of a try in struct pf_try_sets. */
static inline uint64_t pf_try_bit(uint32_t attempt)
{
	return 1ull << (attempt % 64);
}

static inline bool pf_req_in_flight(const struct pf_request *r)
{
	return r->state == PF_REQ_SENT || r->state == PF_REQ_REVOKING ||
	       r->state == PF_REQ_RUNNING;
}

static inline pf_ms pf_ms_min(pf_ms a, pf_ms b)
{
	return a < b ? a : b;
}

/** @a + @d, saturating at PF_NEVER. */
static inline pf_ms pf_ms_add(pf_ms a, pf_ms d)
{
	return a == PF_NEVER || d >= PF_NEVER - a ? PF_NEVER : a + d;
}

#endif
