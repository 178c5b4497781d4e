/*
 * Entry core: the state machine of requests between callers and agents. It
 * queues requests by value per cost, binds each to an agent only when the
 * agent has room, retries and resumes within budgets, and ends each request
 * exactly once. It does no I/O: feed it messages with pf_entry_step() and
 * carry out the acts it emits.
 */
#ifndef PIMENTOFORD_ENTRY_H
#define PIMENTOFORD_ENTRY_H

#include "pimentoford/record.h"
#include "pimentoford/work.h"

PF_BEGIN_DECLS

struct pf_entry;

enum pf_route_policy {
	PF_ROUTE_LOWEST_COST, /* least estimated time to the answer */
	PF_ROUTE_ROUND_ROBIN,
	PF_ROUTE_LEAST_LOAD, /* by the last report alone */
	PF_ROUTE_TWO_CHOICES, /* less loaded of two random agents */
	PF_ROUTE_LEAST_LOAD_ANY, /* whether the model is resident or not */
};

struct pf_entry_opts {
	uint64_t entry_id;
	uint64_t seed;
	const char *zone; /* copied */
	const char *region; /* copied */
	/* Table sizes, and what happens when a table is full. */
	uint32_t requests_max; /* open requests; full: refused as FULL */
	uint32_t agents_max; /* full: evicts an idle agent without a link,
			      * else the new agent gets no work */
	uint32_t callers_max; /* full: refused as FULL */
	uint32_t quarantine_max; /* fingerprints; full: evicts the suspect
				  * last seen longest ago, else the
				  * quarantine that ends first */
	uint32_t groups_max; /* models and claim shards with open requests;
			      * full: refused as FULL */
	uint32_t items_max; /* items kept of an agent's report; the others
			     * count as absent there */
	uint32_t prefixes_max; /* prefix hints per agent; new replace old */
	enum pf_route_policy route;
	uint32_t attempts_max; /* failed tries after which a request ends */
	double retry_ratio; /* retry budget earned per first try */
	pf_ms backoff_min; /* before the first retry */
	pf_ms backoff_max;
	pf_ms try_timeout; /* revoke a try that has not started */
	pf_ms stall_timeout; /* resume a stream without new tokens elsewhere */
	pf_ms report_stale; /* age at which a report is no longer trusted */
	pf_ms age_step; /* waiting time that raises the priority by one */
	double overload_slack; /* refuse as overload when the expected wait
				* exceeds this multiple of the wait that the
				* objectives allow; 0: never */
	pf_ms quarantine_keep;
	uint32_t crashes_max; /* crashes that quarantine a fingerprint */
	uint32_t depth; /* tries queued at an agent beyond its batch */
	double link_share; /* share of the region link for this entry */
};

void pf_entry_opts_default(struct pf_entry_opts *o);

/**
 * NULL when an option is out of range or memory runs out. Free it with
 * pf_entry_free().
 */
struct pf_entry *pf_entry_new(const struct pf_entry_opts *o);
void pf_entry_free(struct pf_entry *e);

enum pf_entry_msg_type {
	/* From callers. */
	PF_ENTRY_ARRIVE, /* u.arrive: a new request */
	PF_ENTRY_CALLER_GONE, /* u.request: its caller disconnected */
	/* From the agent `agent`. */
	PF_ENTRY_LINK_UP, /* u.link: the session is established */
	PF_ENTRY_LINK_DOWN,
	PF_ENTRY_LINK_CLOSING, /* no new tries until the next LINK_UP */
	PF_ENTRY_STARTED, /* u.id */
	PF_ENTRY_PIECE, /* u.tokens */
	PF_ENTRY_DONE, /* u.done */
	PF_ENTRY_NOT_RUN, /* u.not_run */
	PF_ENTRY_REVOKED, /* u.id: the try never ran and never will */
	PF_ENTRY_LOST, /* u.lost: the try started and was aborted */
	PF_ENTRY_REPORT, /* u.report: borrowed for the call */
	/* From the platform's VM list, an operator or another entry. */
	PF_ENTRY_LEAVING, /* `agent` takes no new work */
	PF_ENTRY_QUARANTINE, /* u.quarantine: shared by another entry */
	PF_ENTRY_CONFIG, /* u.config: borrowed until the next one */
	PF_ENTRY_GIVE_UP, /* ends all open requests */
	PF_ENTRY_DRAIN, /* refuse new requests; PF_ENTRY_DRAINED follows once
			 * no request is open */
	PF_ENTRY_TICK,
};

struct pf_entry_msg {
	enum pf_entry_msg_type type;
	uint64_t agent;
	union {
		struct {
			uint64_t request; /* unique id, see struct pf_try */
			struct pf_work work;
		} arrive;
		uint64_t request;
		struct {
			uint64_t incarnation;
		} link;
		struct pf_try id;
		struct {
			struct pf_try id;
			uint32_t offset; /* of the first token in the answer */
			uint32_t count;
		} tokens;
		struct {
			struct pf_try id;
			uint32_t total; /* output tokens, offset included */
			bool error; /* the endpoint returned an error */
		} done;
		struct {
			struct pf_try id;
			enum pf_reason reason;
			pf_ms retry_after;
		} not_run;
		struct {
			struct pf_try id;
			enum pf_reason reason; /* CRASHED: a suspect */
		} lost;
		struct pf_report report;
		struct {
			uint64_t fingerprint;
			pf_ms until; /* end of quarantine; 0: suspect */
		} quarantine;
		const struct pf_config *config;
	} u;
};

/** Endpoints named for a fingerprint that crashed them: the last ones. */
#define PF_CRASHED_ENDPOINTS_MAX 4

enum pf_entry_act_type {
	/* To the agent `agent`. */
	PF_ENTRY_TRY, /* u.try_ */
	PF_ENTRY_REVOKE, /* u.id: do not run it unless it has started */
	PF_ENTRY_CANCEL, /* u.id: stop it even if it has started */
	/* To the caller. */
	PF_ENTRY_DELIVER, /* u.deliver: forward tokens of the current piece */
	PF_ENTRY_END, /* u.end: final, exactly once per request */
	/* To other entries. */
	PF_ENTRY_SHARE_QUARANTINE, /* u.quarantine */
	/* To the daemon. */
	PF_ENTRY_DRAINED, /* no request is open */
};

struct pf_entry_act {
	enum pf_entry_act_type type;
	uint64_t agent;
	union {
		struct {
			struct pf_try id;
			const struct pf_work *work; /* valid during the call */
		} try_;
		struct pf_try id;
		struct {
			uint64_t request;
			uint32_t skip; /* leading tokens to drop */
			uint32_t count; /* tokens to forward after them */
			uint32_t offset; /* of the first token forwarded */
		} deliver;
		struct {
			uint64_t request;
			enum pf_reason reason; /* NONE: complete answer */
			enum pf_ran ran;
			pf_ms retry_after; /* 0: a retry is pointless */
			uint32_t total; /* output tokens delivered */
		} end;
		struct {
			uint64_t fingerprint;
			/* End of the quarantine; 0: a suspect, which was
			 * running when an endpoint crashed. */
			pf_ms until;
			/* Only for the log, not shared. */
			uint64_t caller;
			uint32_t crashes; /* counted at all entries */
			uint64_t endpoints[PF_CRASHED_ENDPOINTS_MAX];
			uint32_t n_endpoints; /* of crashes at this entry */
		} quarantine;
	} u;
};

/** `emit` must not call back into the core. */
struct pf_entry_sink {
	void (*emit)(void *ctx, const struct pf_entry_act *act);
	void *ctx;
};

/** Emits the resulting acts before returning. */
void pf_entry_step(struct pf_entry *e, pf_ms now,
		   const struct pf_entry_msg *msg,
		   const struct pf_entry_sink *sink);

/** Time of the next PF_ENTRY_TICK; PF_NEVER: none. */
pf_ms pf_entry_next(const struct pf_entry *e);

uint32_t pf_entry_in_flight(const struct pf_entry *e, uint64_t agent);

/** Counters, and gauges of open and of queued requests. */
struct pf_entry_stats {
	uint64_t arrived, completed, refused, failed, retries, resumes;
	uint64_t revokes, late_pieces, duplicate_pieces, suspects, quarantined;
	uint32_t open, waiting;
};

void pf_entry_stats(const struct pf_entry *e, struct pf_entry_stats *s);

PF_END_DECLS

#endif
