/* The state of the entry core, shared by its modules. */
#ifndef SRC_COORDINATION_ENTRY_IMPL_H
#define SRC_COORDINATION_ENTRY_IMPL_H

#include "pimentoford/entry.h"
#include "pimentoford/heap.h"
#include "pimentoford/map.h"

/** "No slot" in index links. */
#define PF_NIL UINT32_MAX

/** Agents that a request avoids for a while. */
#define PF_AVOID_MAX 3
/** Groups that an agent was found unable to serve for a while. */
#define PF_UNABLE_MAX 8

enum pf_req_state {
	PF_REQ_QUEUED, /* in its group's queue */
	PF_REQ_AWAITING_TRIAL, /* in the queue of suspects */
	PF_REQ_BACKOFF, /* backing off before it waits again */
	PF_REQ_SENT, /* TRY sent, nothing heard */
	PF_REQ_REVOKING, /* REVOKE sent, not answered */
	PF_REQ_RUNNING, /* STARTED heard */
};

struct pf_request {
	uint64_t id;
	struct pf_work work; /* work.offset: tokens delivered so far */
	enum pf_req_state state;
	enum pf_ran ran; /* of the tries before the one in flight */
	uint32_t attempt;
	uint32_t retries; /* charged against attempts_max */
	uint32_t backoffs; /* since the last progress; spaces the backoff */
	uint32_t account;
	uint32_t group;
	uint32_t peer; /* of the try in flight */
	uint32_t child; /* links of the one queue or list that holds it */
	uint32_t next;
	uint32_t prev;
	uint32_t fingerprint_next; /* requests with the same fingerprint */
	uint32_t fingerprint_prev;
	pf_ms sort_key; /* place in its group's queue, lower first */
	pf_ms timer_at; /* timer of the state; the deadline is apart */
	uint64_t
		counted_crashes; /* attempts whose crash was counted, as bits */
	pf_ms sent_at;
	pf_ms started_at;
	bool unreported; /* its try is not in the agent's report yet */
	uint32_t done_total; /* DONE came before its last pieces; 0: not yet */
	uint32_t trial_offset; /* tokens delivered when its trial began */
	struct {
		uint32_t peer;
		pf_ms until;
	} avoid[PF_AVOID_MAX];
};

/** Events per millisecond of busy time, older ones fading out. */
struct pf_drain_rate {
	double events;
	double busy_ms;
	pf_ms updated_at;
};

/** Waiting work that the same agents can serve. */
struct pf_group {
	uint64_t model;
	uint64_t shard; /* claim shard of keyed calls, else 0 */
	uint32_t heap_root; /* of the queue, a pairing heap */
	uint32_t n_waiting;
	uint32_t n_not_deferrable[PF_PRIORITIES]; /* of them not deferrable */
	uint32_t prev; /* in the list of active or of idle groups */
	uint32_t next;
	uint32_t n_requests; /* requests alive that belong to it */
	uint32_t loading_peer; /* agent that was sent work to load the model */
	pf_ms loading_until;
	struct pf_drain_rate drain;
	double mean_output_tokens; /* learned mean of output tokens; 0: none yet */
};

struct pf_group_list {
	uint32_t head;
	uint32_t tail;
};

struct pf_account {
	uint64_t id;
	const struct pf_caller *record; /* NULL: no longer declared */
	double rate_tokens; /* of the rate */
	pf_ms refilled_at;
	double retry_budget;
	uint32_t n_requests;
	bool in_use;
};

struct pf_peer_item {
	uint64_t id;
	enum pf_item_state state;
	uint32_t running; /* its runs, with own tries sent since */
	pf_ms state_since;
};

/** What the entry knows of one agent. */
struct pf_peer {
	uint64_t id;
	uint64_t incarnation;
	bool linked;
	bool leaving;
	bool has_report; /* in this incarnation */
	bool ready;
	const struct pf_endpoint *record; /* NULL: not declared */
	uint64_t service; /* plain only */
	bool same_zone;
	bool same_region;
	uint64_t report_seq;
	pf_ms report_at;
	uint32_t reported_load; /* reported running and queued */
	uint32_t reported_queued; /* of them */
	uint32_t batch_max;
	uint32_t reported_started; /* reported `started` */
	int64_t kv_free;
	double step_ms;
	double token_prefill_ms;
	uint32_t n_unreported; /* own tries not in the report yet */
	uint32_t ended_since_report; /* own tries ended since the report */
	uint32_t inflight; /* own tries sent and not ended */
	uint32_t inflight_head; /* of the list of these */
	double service_ms; /* learned time from start to end */
	double retry_budget;
	uint32_t last_crash; /* id of the last crash there */
	pf_ms last_crash_at;
	struct {
		uint32_t group;
		pf_ms until;
	} unable[PF_UNABLE_MAX];
	struct pf_peer_item *items; /* sorted by id */
	struct pf_peer_item *items_scratch; /* scratch of the same size */
	uint32_t n_items;
	uint32_t n_running_models; /* models with runs there */
	uint64_t *prefix_hints; /* hashed by prefix, newer replace older */
};

/** A fingerprint that was running at a crash. */
struct pf_suspect {
	pf_ms first_crash_at; /* the first crash; tries sent before did not run alone */
	uint64_t fingerprint;
	uint32_t crashes;
	uint32_t last_crash; /* id of the last crash */
	pf_ms quarantined_until; /* quarantined until then; 0: suspect only */
	pf_ms last_seen;
	uint32_t prev; /* by last use, oldest first */
	uint32_t next;
};

/** A request that ended while a try of it was still at an agent. */
struct pf_ended_request {
	uint64_t request;
	uint64_t fingerprint;
	uint64_t counted_crashes;
};

struct pf_candidate {
	uint32_t peer;
	uint32_t rank;
	double cost; /* ms, or a load */
};

struct pf_entry {
	struct pf_entry_opts opts;
	char *zone;
	char *region;
	const struct pf_config *config;
	struct pf_map catalog; /* {id, kind} to index in the config */
	const struct pf_entry_sink *sink; /* valid in a step */
	pf_ms now;
	struct pf_rng rng;
	bool draining;
	bool drained;

	struct pf_request *reqs;
	uint32_t req_free; /* list by `next` */
	struct pf_map req_map;
	struct pf_map fingerprint_map; /* fingerprint to its first request */
	struct pf_heap timers;
	pf_ms sweep_at;

	struct pf_group *groups;
	struct pf_map group_map;
	struct pf_group_list busy_groups; /* with waiting work */
	struct pf_group_list idle_groups;
	uint32_t groups_used; /* slots from here on were never used */

	struct pf_account *accounts;
	struct pf_map account_map;

	struct pf_peer *peers;
	struct pf_map peer_map;
	uint32_t n_peers; /* slots used so far */
	uint32_t round_robin_turn; /* of round robin */
	struct pf_candidate *candidates; /* scratch, agents_max */
	double link_budget_bytes; /* budget for the other regions */
	pf_ms link_refilled_at;

	struct pf_suspect *suspects;
	struct pf_map suspect_map;
	struct pf_ended_request
		*ended_requests; /* by request id, newer replace older */
	uint32_t suspects_used;
	uint32_t suspect_free; /* list by `next` */
	uint32_t suspect_head;
	uint32_t suspect_tail;
	uint32_t trial_slot; /* the suspect on trial, a request slot */
	uint32_t trial_queue; /* requests waiting for their trial */
	uint32_t crash_seq;

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

/** A resend cannot run it twice. */
static inline bool pf_req_may_resend(const struct pf_request *r)
{
	return !pf_req_never_repeat(r) || r->work.idem_key != 0;
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

/** @a later by @d; PF_NEVER stays. */
static inline pf_ms pf_ms_add(pf_ms a, pf_ms d)
{
	return a == PF_NEVER || d >= PF_NEVER - a ? PF_NEVER : a + d;
}

#endif
