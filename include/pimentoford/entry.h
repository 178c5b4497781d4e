/*
 * Entry core: owns the life of each request between a caller and the agents.
 * Queues by value, routes late to the best agent, retries and resumes within
 * budgets, and ends each request exactly once. Does no I/O: feed it messages
 * with pf_entry_step() and carry out the acts it emits.
 */
#ifndef PIMENTOFORD_ENTRY_H
#define PIMENTOFORD_ENTRY_H

#include "pimentoford/record.h"
#include "pimentoford/work.h"

PF_BEGIN_DECLS

struct pf_entry;

enum pf_route_policy {
	PF_ROUTE_LOWEST_COST,
	PF_ROUTE_ROUND_ROBIN,
	PF_ROUTE_LEAST_LOAD, /* by the last report alone */
	PF_ROUTE_TWO_CHOICES,
	PF_ROUTE_LEAST_LOAD_ANY, /* wherever the model is resident or not */
};

struct pf_entry_opts {
	uint64_t entry_id; /* id of this entry */
	uint64_t seed;
	const char *zone; /* of this entry; copied */
	const char *region;
	/* Bounds, with what happens at each. */
	uint32_t requests_max; /* alive at once; beyond: END FULL, not run */
	uint32_t agents_max; /* beyond: an idle agent without a link makes
			      * room, else the new one gets no work */
	uint32_t callers_max; /* beyond: END FULL, not run */
	uint32_t quarantine_max; /* fingerprints kept; the suspect longest
				  * unseen makes room, then the quarantine
				  * that ends first */
	uint32_t groups_max; /* models and claim shards with waiting work;
			      * beyond: END FULL, not run */
	uint32_t items_max; /* items kept of one agent's report; the rest
			     * count as absent there */
	uint32_t prefixes_max; /* prefix hints per agent; newer replace older */
	enum pf_route_policy route;
	uint32_t attempts_max; /* tries of one request */
	double retry_ratio; /* retries allowed per first try */
	pf_ms backoff_min; /* first pause before a retry */
	pf_ms backoff_max;
	pf_ms try_timeout; /* no sign from an agent: revoke */
	pf_ms stall_timeout; /* no token: resume elsewhere */
	pf_ms report_stale; /* a report older than this is not trusted */
	pf_ms age_step; /* waiting so long raises the priority by one */
	double overload_slack; /* early refusal when the expected wait exceeds
				 * this part of the expectation; 0: never */
	pf_ms quarantine_keep;
	uint32_t crashes_max; /* crashes after which a fingerprint is out */
	uint32_t depth; /* tries kept queued at an agent beyond its batch */
	double link_share; /* part of the region link that this entry may use */
};

/** Fills in the defaults that are shipped. */
void pf_entry_opts_default(struct pf_entry_opts *o);

/** NULL when options are out of range or there is no memory. */
struct pf_entry *pf_entry_new(const struct pf_entry_opts *o);
void pf_entry_free(struct pf_entry *e);

enum pf_entry_msg_type {
	/* from callers */
	PF_ENTRY_ARRIVE, /* u.arrive: a new request */
	PF_ENTRY_CALLER_GONE, /* u.request: its caller went away */
	/* from the agent `agent` */
	PF_ENTRY_LINK_UP, /* u.link: a session stands */
	PF_ENTRY_LINK_DOWN,
	PF_ENTRY_STARTED, /* u.id */
	PF_ENTRY_PIECE, /* u.tokens */
	PF_ENTRY_DONE, /* u.done */
	PF_ENTRY_NOT_RUN, /* u.not_run */
	PF_ENTRY_REVOKED, /* u.id: never ran and never will */
	PF_ENTRY_LOST, /* u.lost: it started and was cut */
	PF_ENTRY_REPORT, /* u.report: borrowed for the call */
	/* from the platform's VM list, an operator or another entry */
	PF_ENTRY_LEAVING, /* `agent` takes no new work */
	PF_ENTRY_QUARANTINE, /* u.quarantine, heard from another entry */
	PF_ENTRY_CONFIG, /* u.config: borrowed until the next one */
	PF_ENTRY_DRAIN, /* refuse new requests; PF_ENTRY_DRAINED when empty */
	PF_ENTRY_TICK,
};

struct pf_entry_msg {
	enum pf_entry_msg_type type;
	uint64_t agent;
	union {
		struct {
			uint64_t request; /* unique, see struct pf_try */
			struct pf_work work;
		} arrive;
		uint64_t request;
		struct {
			uint64_t incarnation;
		} link;
		struct pf_try id;
		struct {
			struct pf_try id;
			uint32_t offset;
			uint32_t count;
		} tokens;
		struct {
			struct pf_try id;
			uint32_t total; /* output tokens, offset included */
			bool error; /* the endpoint answered an error */
		} done;
		struct {
			struct pf_try id;
			enum pf_reason reason;
			pf_ms retry_after;
		} not_run;
		struct {
			struct pf_try id;
			enum pf_reason reason; /* CRASHED makes it suspect */
		} lost;
		struct pf_report report;
		struct {
			uint64_t fingerprint;
			pf_ms until; /* 0: suspect only, as in the act */
		} quarantine;
		const struct pf_config *config;
	} u;
};

enum pf_entry_act_type {
	/* to the agent `agent` */
	PF_ENTRY_TRY, /* u.try_ */
	PF_ENTRY_REVOKE, /* u.id */
	PF_ENTRY_CANCEL, /* u.id */
	/* to the caller */
	PF_ENTRY_DELIVER, /* u.deliver: pass on part of the piece at hand */
	PF_ENTRY_END, /* u.end: final, exactly once per request */
	/* to other entries */
	PF_ENTRY_SHARE_QUARANTINE, /* u.quarantine */
	PF_ENTRY_DRAINED,
};

struct pf_entry_act {
	enum pf_entry_act_type type;
	uint64_t agent;
	union {
		struct {
			struct pf_try id;
			const struct pf_work *work; /* valid in the call */
		} try_;
		struct pf_try id;
		struct {
			uint64_t request;
			uint32_t skip; /* tokens of the piece to leave out */
			uint32_t count; /* tokens of it to pass on */
			uint32_t offset; /* of the first one passed on */
		} deliver;
		struct {
			uint64_t request;
			enum pf_reason reason; /* NONE: the answer is whole */
			enum pf_ran ran;
			pf_ms retry_after; /* 0: coming back does not help */
			uint32_t total;
		} end;
		struct {
			uint64_t fingerprint;
			/* End of the quarantine; 0: it was running at a crash
			 * once, the others are to treat it as a suspect. */
			pf_ms until;
		} quarantine;
	} u;
};

/** Where acts go. `emit` must not call back into the core. */
struct pf_entry_sink {
	void (*emit)(void *ctx, const struct pf_entry_act *act);
	void *ctx;
};

/** Handles one message. Acts go to @sink before it returns. */
void pf_entry_step(struct pf_entry *e, pf_ms now,
		   const struct pf_entry_msg *msg,
		   const struct pf_entry_sink *sink);

/** When the next PF_ENTRY_TICK is due; PF_NEVER for none. */
pf_ms pf_entry_next(const struct pf_entry *e);

/** Tries that @agent has from this entry and that are not settled. */
uint32_t pf_entry_inflight(const struct pf_entry *e, uint64_t agent);

/** Counters and gauges for reports and tests. */
struct pf_entry_stats {
	uint64_t arrived, completed, refused, failed, retries, resumes;
	uint64_t revokes, late_pieces, duplicate_pieces, suspects, quarantined;
	uint32_t active, waiting;
};

void pf_entry_stats(const struct pf_entry *e, struct pf_entry_stats *s);

PF_END_DECLS

#endif
