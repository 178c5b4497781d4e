/*
 * Gate core: routes requests to endpoints. Decides where a request is sent,
 * whether it waits, is refused or is retried, from the load of the endpoints:
 * this gateway's own requests and those in the other gateways' digests. Does no
 * I/O.
 */
#ifndef PIMENTOFORD_GATE_H
#define PIMENTOFORD_GATE_H

#include "pimentoford/engine_state.h"
#include "pimentoford/gate_choose.h"
#include "pimentoford/inbound.h"
#include "pimentoford/endpoint_info.h"
#include "pimentoford/routes.h"

PF_BEGIN_DECLS

struct pf_gate;

struct pf_gate_zone {
	uint64_t zone;
	uint64_t region;
};

/** How an endpoint is chosen; docs/design/even-load.md. */
enum pf_gate_choosing {
	PF_GATE_LEAST_TIME, /* the earliest first event, as loads are told */
	PF_GATE_EVEN, /* old loads count less, prefixes keep an order */
};

struct pf_gate_opts {
	uint64_t self; /* id of this start of the process; not 0 */
	uint64_t zone;
	uint64_t region;
	const struct pf_gate_zone *zones; /* copied */
	uint32_t n_zones;
	uint64_t seed;
	uint32_t requests_max; /* beyond: refused */
	uint32_t endpoints_max; /* beyond: ignored */
	uint32_t peers_max; /* beyond: those silent longest are forgotten */
	double repeat_ratio; /* retries per request of a service */
	double repeat_slack; /* retries on top, shared by all gateways */
	pf_ms repeat_window; /* over which requests and retries count */
	/* There may be other gateways that send nothing yet: no slack before
	 * PF_GATE_MEMBERS. */
	bool in_fleet;
	/* PF_GATE_RECORD_VERSIONS is carried out: a version gets its first
	 * resumable stream once the history in the store names it. */
	bool records_versions;
	int choosing; /* enum pf_gate_choosing */
	/* Not NULL: instead of `choosing`, to compare policies. */
	pf_gate_choose_fn choose;
};

/** The caller sets self, zone, region, zones and seed. */
void pf_gate_opts_default(struct pf_gate_opts *o);

/**
 * NULL if options are out of range or memory runs out. Free it with
 * pf_gate_free().
 */
struct pf_gate *pf_gate_new(const struct pf_gate_opts *o);
void pf_gate_free(struct pf_gate *g);

/** A request that was read completely. */
struct pf_gate_arrival {
	void *ctx; /* passed back in each act */
	const struct pf_route *route; /* from the current routing table */
	const struct pf_inbound *in; /* borrowed for the call */
	uint64_t fingerprint; /* hash of the request's content */
	uint64_t account; /* id of the client account; 0: none */
	int account_priority; /* goes before the route's; -1: unset */
	uint32_t *handle; /* set before the first act; UINT32_MAX if full */
};

/* DEF(name, code): how a send ended. */
#define PF_GATE_OUTCOMES(DEF)                                  \
	/* a complete answer of any status, or stream */       \
	DEF(ANSWERED, "answered")                              \
	/* the endpoint states that the request did not run */ \
	DEF(NOT_RUN, "not_run")                                \
	/* no byte of the request was sent */                  \
	DEF(UNSENT, "unsent")                                  \
	/* no complete answer; the request may have run */     \
	DEF(LOST, "lost")                                      \
	/* a stream ended early after events were passed on */ \
	DEF(BROKEN, "broken")

enum pf_gate_outcome {
#define DEF(name, code) PF_GATE_##name,
	PF_GATE_OUTCOMES(DEF)
#undef DEF
};

const char *pf_gate_outcome_code(enum pf_gate_outcome o);

struct pf_gate_end {
	uint32_t request; /* handle */
	enum pf_gate_outcome outcome;
	int status; /* ANSWERED and NOT_RUN */
	bool misdirected; /* NOT_RUN: other instance, or model not loaded */
	bool reset; /* LOST and BROKEN: the connection was reset */
};

/** One gateway's load on one endpoint. */
struct pf_gate_load {
	uint64_t endpoint;
	uint32_t running; /* requests in flight */
	uint32_t kv_tokens; /* KV cache that they need */
	uint32_t prefill_ms; /* of requests still waiting for a first event */
};

/** What a client account has in flight from one gateway. */
struct pf_gate_account_load {
	uint64_t account; /* not 0 */
	uint32_t plain; /* requests at plain services */
	uint32_t running; /* requests at engines */
	uint32_t kv_tokens; /* KV cache that these need */
	uint32_t prefill_ms; /* of those still waiting for a first event */
};

/** A prompt prefix in the prefix cache of an endpoint. */
struct pf_gate_cached_prefix {
	uint64_t prefix; /* hash of the model and the leading prompt parts */
	uint64_t endpoint;
};

/** Demand for a model or an adapter at one gateway. */
struct pf_gate_demand {
	uint64_t item; /* model or adapter */
	uint64_t model; /* the adapter's base model; for a model, `item` */
	float per_s; /* arrivals, smoothed */
	float open; /* waiting or in flight, smoothed */
	uint32_t waiting; /* requests without an endpoint */
};

/* DEF(name): what a gateway tells the others about parts of prompts. */
#define PF_GATE_EVIDENCE_TYPES(DEF)                                   \
	/* an endpoint crashed that may have begun to answer on it */ \
	DEF(CRASH)                                                    \
	/* the endpoint goes on: it has not crashed */                \
	DEF(ALIVE)                                                    \
	/* an answer on it went on for a while, or was complete */    \
	DEF(SOUND)                                                    \
	/* it crashes endpoints: requests with it are refused */      \
	DEF(QUARANTINE)                                               \
	/* it came with requests for a model; part 0: all of these */ \
	DEF(USE)                                                      \
	/* requests for a model that were served */                   \
	DEF(SERVED)

enum pf_gate_evidence_type {
#define DEF(name) PF_GATE_EVIDENCE_##name,
	PF_GATE_EVIDENCE_TYPES(DEF)
#undef DEF
		PF_GATE_EVIDENCE_TYPE_COUNT
};

struct pf_gate_evidence {
	enum pf_gate_evidence_type type;
	uint64_t incarnation; /* CRASH and ALIVE: of the endpoint, hashed */
	uint64_t part; /* but for ALIVE and SERVED */
	uint64_t model; /* USE and SERVED */
	uint32_t age_ms; /* of the crash, of the answer's begin, or of the
			  * first crash with the quarantined part */
	uint32_t requests; /* CRASH: this gateway's that may have caused it,
			    * whatever their parts; USE and SERVED: those
			    * that it counts */
};

#define PF_GATE_EVIDENCE_MAX 96

/** Gateways that judge which prompt part crashes endpoints. */
#define PF_GATE_JUDGES 3

/** The limit of an endpoint, as a gateway tells the others. */
struct pf_gate_limit {
	uint64_t incarnation; /* of the endpoint, hashed */
	double per_s; /* requests that it takes; < 0: the limit has ended */
	uint32_t age_ms; /* since the answer that said so */
	uint32_t sent; /* by this gateway, ever */
};

#define PF_GATE_LIMITS_MAX 128

/** A stream, for callers that resume it at another gateway. */
struct pf_gate_stream {
	uint64_t id; /* hash of the id of the attempt that began it */
	uint64_t service;
	uint64_t software; /* pf_endpoint_info.software of what began it */
	uint32_t age; /* ms since then */
};

/** A software version that a service has or had lately. */
struct pf_gate_software {
	uint64_t service;
	uint64_t software;
	pf_ms age; /* since it was listed; 0: it is */
};

/* DEF(name): what gateways tell each other about a stream. */
#define PF_GATE_NOTE_TYPES(DEF)                               \
	/* which software began it */                         \
	DEF(RECORD)                                           \
	/* asks which; `software` is not set */               \
	DEF(QUERY)                                            \
	/* unknown, but its service had this software only */ \
	DEF(SINGLE)

enum pf_gate_note_type {
#define DEF(name) PF_GATE_NOTE_##name,
	PF_GATE_NOTE_TYPES(DEF)
#undef DEF
		PF_GATE_NOTE_TYPE_COUNT
};

struct pf_gate_note {
	enum pf_gate_note_type type;
	struct pf_gate_stream stream;
};

/** Gateways that are told, or asked, which software began a stream. */
#define PF_GATE_REPLICAS 3
#define PF_GATE_SOFTWARE_MAX 64
/** Streams of one gateway in the store. */
#define PF_GATE_STORED_MAX 512

/** A gateway's row of streams in the store. */
struct pf_gate_stored {
	bool own; /* written by this gateway, before it started */
	const struct pf_gate_stream *streams;
	uint32_t n_streams;
	const struct pf_gate_software *software;
	uint32_t n_software;
	bool last; /* all rows have been read */
};

/**
 * The software versions at which gateways began resumable streams, by the
 * history that they keep in the store.
 */
struct pf_gate_history {
	pf_ms span; /* it lacks none for this long, until now; -1: unknown */
	/* Age 0: in use; else since its last use. May lie ahead of now. */
	const struct pf_gate_software *software;
	uint32_t n_software;
};

/** Sent by each gateway to the others many times a second. */
struct pf_gate_digest {
	uint64_t peer; /* the sender's `self` */
	const struct pf_gate_load *loads; /* non-zero ones only */
	uint32_t n_loads;
	const struct pf_gate_cached_prefix *prefixes; /* new ones only */
	uint32_t n_prefixes;
	/* fingerprints of requests in flight at a crash, once per crash */
	const uint64_t *crashed;
	uint32_t n_crashed;
	const struct pf_gate_account_load *accounts; /* non-zero ones only */
	uint32_t n_accounts;
};

#define PF_GATE_LOADS_MAX 128
#define PF_GATE_PREFIXES_MAX 64
#define PF_GATE_CRASHED_MAX 16
/** Client accounts with requests in flight that share capacity by account. */
#define PF_GATE_ACCOUNTS_MAX 64

enum pf_gate_msg_type {
	PF_GATE_ROUTES, /* u.routes: borrowed until replaced */
	PF_GATE_ENDPOINT, /* u.endpoint: borrowed for the call */
	PF_GATE_ENDPOINT_GONE, /* u.id */
	PF_GATE_ARRIVE, /* u.arrival */
	PF_GATE_HANGUP, /* u.request: the caller disconnected */
	PF_GATE_EVENTS, /* u.events: passed on to the caller */
	PF_GATE_PAUSED, /* u.paused: its stream is not read, or read again */
	PF_GATE_ENDED, /* u.end */
	PF_GATE_PEER_DIGEST, /* u.digest */
	PF_GATE_PEER_EVIDENCE, /* u.evidence: borrowed for the call */
	PF_GATE_LIMIT, /* u.limit: an answer names a limit, or none */
	PF_GATE_PEER_LIMITS, /* u.limits: borrowed for the call */
	PF_GATE_NOTE, /* u.note: of another gateway */
	PF_GATE_STORED, /* u.stored: borrowed for the call */
	PF_GATE_HISTORY, /* u.history: borrowed for the call */
	PF_GATE_MEMBERS, /* u.members: other gateways by their rows */
	PF_GATE_ENDPOINTS_READ, /* all rows of endpoints were passed in */
	/* u.behind: whether another gateway has read newer rows of endpoints */
	PF_GATE_ENDPOINTS_BEHIND,
	PF_GATE_ENGINE_STATE, /* u.state: from a loader, borrowed for the call */
	PF_GATE_REACHABLE, /* u.id: a probed endpoint accepted a connection */
	PF_GATE_LEAVING, /* u.leaving: an answer says that its endpoint leaves */
	PF_GATE_BACKOFF, /* u.backoff: an endpoint asks for no requests */
	PF_GATE_SHUT_DOWN, /* refuses waiting requests, now and from now on */
	PF_GATE_TICK,
};

struct pf_gate_msg {
	enum pf_gate_msg_type type;
	union {
		const struct pf_routes *routes;
		const struct pf_endpoint_info *endpoint;
		uint64_t id;
		struct pf_gate_arrival arrival;
		uint32_t request;
		struct {
			uint32_t request;
			uint32_t n; /* events */
		} events;
		struct {
			uint32_t request; /* handle */
			bool on;
		} paused;
		struct pf_gate_end end;
		struct pf_gate_digest digest;
		struct {
			uint64_t peer;
			const struct pf_gate_evidence *v;
			uint32_t n;
		} evidence;
		struct {
			uint64_t endpoint;
			int64_t incarnation; /* that answered */
			double per_s; /* requests that it takes; < 0: any */
			pf_ms sent_at; /* the request */
		} limit;
		struct {
			uint64_t peer;
			const struct pf_gate_limit *v;
			uint32_t n;
		} limits;
		struct pf_gate_note note;
		struct pf_gate_stored stored;
		struct pf_gate_history history;
		bool behind;
		uint32_t members;
		const struct pf_engine_state *state;
		struct {
			uint64_t endpoint;
			int64_t incarnation; /* that answered */
		} leaving;
		struct {
			uint64_t endpoint;
			int64_t incarnation; /* that answered */
			pf_ms span; /* from pf_gate_backoff() */
		} backoff;
	} u;
};

enum pf_gate_act_type {
	PF_GATE_SEND, /* u.send */
	PF_GATE_REQUEST_ADAPTER, /* u.request_adapter: load its adapter there */
	PF_GATE_CANCEL, /* u.cancel: cancel the send in flight */
	PF_GATE_PROBE, /* u.probe: connect to a silent endpoint; ctx is NULL */
	PF_GATE_QUARANTINE, /* u.quarantine: of a part, for logs; ctx is NULL */
	PF_GATE_TELL_REPLICAS, /* u.note: to pf_gate_stream_replicas() */
	PF_GATE_READ_STORED, /* pass PF_GATE_STORED in again; ctx is NULL */
	/* Add pf_gate_listed_software() to the history; ctx is NULL. */
	PF_GATE_RECORD_VERSIONS,
	PF_GATE_REPLY, /* u.note: to the gateway whose note was passed in */
	PF_GATE_DELIVER, /* final: deliver the answer that ended the send */
	PF_GATE_REFUSE, /* final, u.refuse: did not run and never will */
	PF_GATE_FAIL, /* final, u.fail: may have run */
};

/* DEF(name, code): why a request was refused or failed. */
#define PF_GATE_REASONS(DEF)                    \
	DEF(NONE, "none")                       \
	DEF(FULL, "full")                       \
	DEF(NO_ENDPOINT, "no_endpoint")         \
	DEF(NOT_LOADED, "not_loaded")           \
	DEF(ALL_LEAVING, "all_leaving")         \
	DEF(BACKOFF, "backoff")                 \
	DEF(LIMITED, "limited")                 \
	DEF(LATE, "late")                       \
	DEF(LEAVING, "leaving")                 \
	DEF(RETRY_BUDGET, "retry_budget")       \
	DEF(VERSION_GONE, "version_gone")       \
	DEF(VERSION_UNKNOWN, "version_unknown") \
	DEF(QUARANTINED, "quarantined")         \
	DEF(ENDPOINT_LOST, "endpoint_lost")     \
	DEF(TIMEOUT, "timeout")

enum pf_gate_reason {
#define DEF(name, code) PF_GATE_REASON_##name,
	PF_GATE_REASONS(DEF)
#undef DEF
};

const char *pf_gate_reason_code(enum pf_gate_reason r);

/* DEF(name, code): why a send is cancelled. */
#define PF_GATE_CANCELS(DEF)            \
	DEF(HANGUP, "hangup")           \
	DEF(STALLED, "stalled")         \
	DEF(QUARANTINED, "quarantined") \
	DEF(TIMED_OUT, "timeout")

enum pf_gate_cancel {
#define DEF(name, code) PF_GATE_CANCEL_##name,
	PF_GATE_CANCELS(DEF)
#undef DEF
};

const char *pf_gate_cancel_code(enum pf_gate_cancel c);

struct pf_gate_act {
	enum pf_gate_act_type type;
	void *ctx;
	union {
		struct {
			uint64_t endpoint;
			pf_ms time_left; /* until the deadline; at least 1 */
			int priority; /* 0: highest; -1: not an engine */
			bool at_most_once;
			bool resume; /* after the last event passed on */
			uint32_t prior_sends;
			pf_ms expected_first_event; /* from now, estimated */
			uint32_t cached_tokens; /* of the prompt, estimated */
		} send;
		struct {
			uint64_t endpoint;
		} request_adapter;
		struct {
			uint64_t endpoint;
		} probe;
		struct {
			uint64_t part;
			bool released; /* else it begins */
			uint32_t crashes; /* known here with this part */
		} quarantine;
		struct pf_gate_note note; /* ctx is NULL */
		struct {
			enum pf_gate_cancel reason;
			pf_ms silent; /* since the send or its last event */
		} cancel;
		struct {
			enum pf_gate_reason reason;
			int status;
			pf_ms retry_after; /* -1: do not retry */
			/* BACKOFF and LIMITED: which takes requests first, and
			 * when */
			uint64_t endpoint;
			pf_ms wait; /* from now */
		} refuse;
		struct {
			enum pf_gate_reason reason;
			int status;
		} fail;
	} u;
};

/** `emit` must not call back into the core. */
struct pf_gate_sink {
	void (*emit)(void *ctx, const struct pf_gate_act *act);
	void *ctx;
};

/** Emits the resulting acts during the call. */
void pf_gate_step(struct pf_gate *g, pf_ms now, const struct pf_gate_msg *m,
		  const struct pf_gate_sink *sink);

/**
 * For how long the answer asks for no requests; 0: it doesn't. Too long a time
 * is cut.
 */
pf_ms pf_gate_backoff(const struct pf_reply *r);

/** Replaces repeat_ratio and repeat_slack; the retries counted so far stay. */
void pf_gate_set_budget(struct pf_gate *g, double ratio, double slack);

/** Time of the next PF_GATE_TICK. */
pf_ms pf_gate_next(const struct pf_gate *g);

/** What a peer was sent so far; all zero at its start. */
struct pf_gate_peer_cursor {
	uint64_t region; /* of the peer; 0: unknown */
	uint64_t prefixes; /* position after the last prefix sent */
	uint64_t crashes; /* position after the last crash sent */
	uint64_t evidence; /* position after the last evidence sent */
	uint64_t evidence_resent; /* after the last that was sent twice */
};

/**
 * Fills @d with what is new for the peer @to and advances @to. @d stays valid
 * until the next call or step. A peer in another region gets only crashes and
 * the loads of endpoints in that region.
 */
void pf_gate_digest(struct pf_gate *g, struct pf_gate_peer_cursor *to,
		    struct pf_gate_digest *d);

/**
 * Writes at most PF_GATE_EVIDENCE_MAX entries for the peer @to and advances
 * @to; returns how many. Datagrams get lost, so each entry is sent twice.
 * @judge: the peer is one of the PF_GATE_JUDGES other gateways with the lowest
 * ids, which are told of each crash.
 */
uint32_t pf_gate_evidence(struct pf_gate *g, struct pf_gate_peer_cursor *to,
			  bool judge, struct pf_gate_evidence *out);

/**
 * Writes which prompt parts came lately, as a sample of the requests; at most
 * PF_GATE_EVIDENCE_MAX entries. Returns how many. It goes to the
 * PF_GATE_JUDGES other gateways with the lowest ids.
 */
uint32_t pf_gate_part_uses(struct pf_gate *g, struct pf_gate_evidence *out);

/** The limit in force of this incarnation of the endpoint; < 0: none. */
double pf_gate_limit_of(const struct pf_gate *g, pf_ms now, uint64_t endpoint,
			int64_t incarnation);

/** Whether this incarnation of the endpoint ever named a limit, as known here. */
bool pf_gate_has_limit(const struct pf_gate *g, uint64_t endpoint,
		       int64_t incarnation);

/**
 * Writes the limits to report to all peers now, at most PF_GATE_LIMITS_MAX;
 * returns how many.
 */
uint32_t pf_gate_limits(struct pf_gate *g, pf_ms now,
			struct pf_gate_limit *out);

/** A gateway that may keep records of streams. */
struct pf_gate_replica {
	uint64_t id; /* the same at all gateways, also after its restart */
	uint64_t region;
};

/**
 * Writes the indices of at most PF_GATE_REPLICAS of @v: two in @region, one of
 * any. Gateways that know the same others choose the same. Returns how many.
 */
uint32_t pf_gate_stream_replicas(uint64_t stream, uint64_t region,
				 const struct pf_gate_replica *v, uint32_t n,
				 uint32_t *out);

/**
 * Writes the streams that began here, are not complete, and whose service has
 * several software versions, at most @max; returns how many.
 */
uint32_t pf_gate_open_streams(const struct pf_gate *g, pf_ms now,
			      struct pf_gate_stream *out, uint32_t max);

/**
 * Writes the software versions of services that have several now or had them
 * lately, at most PF_GATE_SOFTWARE_MAX; returns how many.
 */
uint32_t pf_gate_recent_software(const struct pf_gate *g, pf_ms now,
				 struct pf_gate_software *out);

/**
 * Writes the software versions that endpoints have, or had since the start, at
 * most PF_GATE_SOFTWARE_MAX; returns how many.
 */
uint32_t pf_gate_listed_software(const struct pf_gate *g, pf_ms now,
				 struct pf_gate_software *out);

/** Counts changes of open streams and recent software that the store should have. */
uint64_t pf_gate_streams_serial(const struct pf_gate *g);

/** Writes at most @max entries of recent demand; returns how many. */
size_t pf_gate_demand(struct pf_gate *g, pf_ms now, struct pf_gate_demand *out,
		      size_t max);

bool pf_gate_has_waiting(const struct pf_gate *g);

/** Totals since the start, and current numbers. */
struct pf_gate_stats {
	uint64_t arrived, sent, retries, refused, failed, delivered, hangups;
	uint64_t retries_rejected; /* by the retry budget */
	uint64_t resumed; /* streams, by their callers */
	uint64_t resumed_unknown; /* of these: refused, software unknown */
	uint64_t unrecorded; /* streams begun at versions not in the history */
	uint64_t streams_evicted; /* records lost while they mattered */
	uint64_t peers_evicted; /* while more than peers_max sent digests */
	uint64_t held; /* requests held for the share of their account */
	uint32_t open, waiting, endpoints, peers;
	uint32_t services; /* with a retry budget */
};

void pf_gate_stats(const struct pf_gate *g, struct pf_gate_stats *s);

PF_END_DECLS

#endif
