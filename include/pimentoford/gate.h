/*
 * Gate core: the life of a request that passes through to an endpoint. It
 * decides where a request goes, whether it waits, is refused, or is sent a
 * second time, from what it knows of the endpoints' work: its own, and that of
 * the other gateways by their digests. Does no I/O.
 */
#ifndef PIMENTOFORD_GATE_H
#define PIMENTOFORD_GATE_H

#include "pimentoford/engine_state.h"
#include "pimentoford/inbound.h"
#include "pimentoford/listed.h"
#include "pimentoford/routes.h"

PF_BEGIN_DECLS

struct pf_gate;

/** A zone and the region that it belongs to. */
struct pf_gate_zone {
	uint64_t zone;
	uint64_t region;
};

struct pf_gate_opts {
	uint64_t self; /* of this process's life */
	uint64_t zone;
	uint64_t region;
	const struct pf_gate_zone *zones; /* copied */
	uint32_t n_zones;
	uint64_t seed;
	uint32_t requests_max; /* at the bound further ones are refused */
	uint32_t endpoints_max; /* at the bound further ones are not used */
	double repeat_ratio; /* further sends for each request of a service */
	uint32_t repeat_slack; /* beyond that, over all gateways */
	pf_ms repeat_window; /* in which both are counted */
};

/** Fills in the defaults that are shipped. */
void pf_gate_opts_default(struct pf_gate_opts *o);

/** NULL when options are out of range or there is no memory. */
struct pf_gate *pf_gate_new(const struct pf_gate_opts *o);
void pf_gate_free(struct pf_gate *g);

/** A request that came whole. */
struct pf_gate_arrival {
	void *ctx; /* comes back with each act */
	const struct pf_route *route; /* of the table in force */
	const struct pf_inbound *in;
	uint64_t fingerprint; /* of what it asks for */
	uint32_t *handle; /* set before any act; names it from then on */
};

/* DEF(name, code): how a try came to its end. */
#define PF_GATE_OUTCOMES(DEF)                             \
	/* a whole answer, or a whole stream */           \
	DEF(ANSWERED, "answered")                         \
	/* the endpoint states that it did not run */     \
	DEF(NOT_RUN, "not_run")                           \
	/* no byte of it left this process */             \
	DEF(UNSENT, "unsent")                             \
	/* it may have run */                             \
	DEF(LOST, "lost")                                 \
	/* a stream ended early; events were passed on */ \
	DEF(BROKEN, "broken")

enum pf_gate_outcome {
#define DEF(name, code) PF_GATE_##name,
	PF_GATE_OUTCOMES(DEF)
#undef DEF
};

const char *pf_gate_outcome_code(enum pf_gate_outcome o);

struct pf_gate_end {
	uint32_t request;
	enum pf_gate_outcome outcome;
	int status; /* ANSWERED and NOT_RUN */
	pf_ms retry_after; /* as the endpoint asked; -1: not said */
	bool misdirected; /* NOT_RUN: another instance, or it lacks the model */
	bool reset; /* LOST and BROKEN: the connection broke */
};

/** One gateway's work at one endpoint. */
struct pf_gate_load {
	uint64_t endpoint;
	uint32_t running; /* requests sent and not ended */
	uint32_t kv_tokens; /* that they need */
	uint32_t prefill_ms; /* of those without a first event */
};

/** A prompt's leading parts that an endpoint has read. */
struct pf_gate_cached_prefix {
	uint64_t prefix;
	uint64_t endpoint;
};

/** Requests for a model or an adapter at one gateway. */
struct pf_gate_demand {
	uint64_t item;
	uint64_t model; /* of an adapter; of a model, the same as `item` */
	float per_s;
	float active; /* that wait or are under way, smoothed */
	uint32_t waiting; /* that no endpoint could be given */
};

/** What a gateway tells the others, many times a second. */
struct pf_gate_digest {
	uint64_t peer; /* `self` of its sender */
	const struct pf_gate_load *loads; /* that are not zero */
	uint32_t n_loads;
	const struct pf_gate_cached_prefix *prefixes; /* not told before */
	uint32_t n_prefixes;
	const uint64_t *crashed; /* fingerprints under way at a crash */
	uint32_t n_crashed;
};

#define PF_GATE_LOADS_MAX 128
#define PF_GATE_PREFIXES_MAX 64
#define PF_GATE_CRASHED_MAX 16

enum pf_gate_msg_type {
	PF_GATE_ROUTES, /* u.routes: borrowed until the next one */
	PF_GATE_ENDPOINT, /* u.endpoint: borrowed for the call */
	PF_GATE_ENDPOINT_GONE, /* u.id */
	PF_GATE_ARRIVE, /* u.arrival */
	PF_GATE_HANGUP, /* u.request: its caller left */
	PF_GATE_EVENTS, /* u.events: some of a stream was passed on */
	PF_GATE_ENDED, /* u.end */
	PF_GATE_PEER_DIGEST, /* u.digest */
	PF_GATE_ENGINE_STATE, /* u.state: of an endpoint's loader; for the call */
	PF_GATE_SHUT_DOWN, /* the process stops: nothing may wait any more */
	PF_GATE_TICK,
};

struct pf_gate_msg {
	enum pf_gate_msg_type type;
	union {
		const struct pf_routes *routes;
		const struct pf_listed *endpoint;
		uint64_t id;
		struct pf_gate_arrival arrival;
		uint32_t request;
		struct {
			uint32_t request;
			uint32_t n; /* events */
		} events;
		struct pf_gate_end end;
		struct pf_gate_digest digest;
		const struct pf_engine_state *state;
	} u;
};

enum pf_gate_act_type {
	PF_GATE_SEND, /* u.send; a try before it is over */
	PF_GATE_REQUEST_ADAPTER, /* u.request_adapter: its adapter is missing at an endpoint */
	PF_GATE_CANCEL, /* the try in flight is of no use any more */
	PF_GATE_DELIVER, /* final: the answer that ended the try */
	PF_GATE_REFUSE, /* final, u.refuse: it did not run and never will */
	PF_GATE_FAIL, /* final, u.fail: it may have run */
};

/* DEF(name, code): why a request was not served. */
#define PF_GATE_REASONS(DEF)                \
	DEF(NONE, "none")                   \
	DEF(FULL, "full")                   \
	DEF(NO_ENDPOINT, "no_endpoint")     \
	DEF(NOT_LOADED, "not_loaded")       \
	DEF(LATE, "late")                   \
	DEF(LEAVING, "leaving")             \
	DEF(RETRY_BUDGET, "retry_budget")   \
	DEF(QUARANTINED, "quarantined")     \
	DEF(ENDPOINT_LOST, "endpoint_lost") \
	DEF(TIMEOUT, "timeout")

enum pf_gate_reason {
#define DEF(name, code) PF_GATE_REASON_##name,
	PF_GATE_REASONS(DEF)
#undef DEF
};

const char *pf_gate_reason_code(enum pf_gate_reason r);

struct pf_gate_act {
	enum pf_gate_act_type type;
	void *ctx;
	union {
		struct {
			uint64_t endpoint;
			pf_ms time_left; /* that is left; 0: none was given */
			int priority; /* -1: the endpoint has no use for it */
			bool at_most_once; /* it may run only once */
			bool resume; /* after the last event passed on */
			uint32_t prior_sends; /* sends before this one */
			pf_ms expected_first_event; /* to the first event, as estimated */
			uint32_t
				cached_tokens; /* prompt tokens thought kept there */
		} send;
		struct {
			uint64_t endpoint;
		} request_adapter;
		struct {
			enum pf_gate_reason reason;
			int status;
			pf_ms retry_after; /* -1: coming back is of no use */
		} refuse;
		struct {
			enum pf_gate_reason reason;
			int status;
		} fail;
	} u;
};

/** Where acts go. `emit` must not call back into the core. */
struct pf_gate_sink {
	void (*emit)(void *ctx, const struct pf_gate_act *act);
	void *ctx;
};

void pf_gate_step(struct pf_gate *g, pf_ms now, const struct pf_gate_msg *m,
		  const struct pf_gate_sink *sink);

/** Sets the budget of further sends anew; the counts are kept. */
void pf_gate_set_budget(struct pf_gate *g, double ratio, uint32_t slack);

/** When the next PF_GATE_TICK is due. */
pf_ms pf_gate_next(const struct pf_gate *g);

/** Another gateway, and what it was told so far; zero: nothing. */
struct pf_gate_peer_cursor {
	uint64_t region; /* 0: not known */
	uint64_t prefixes;
	uint64_t crashes;
};

/**
 * What @to is to be told now, and notes it; valid until the next call or step.
 * Beyond this region only work at endpoints there is told, and crashes.
 */
void pf_gate_digest(struct pf_gate *g, struct pf_gate_peer_cursor *to,
		    struct pf_gate_digest *d);

/** Demand of the last seconds, at most @max items; returns how many. */
size_t pf_gate_demand(struct pf_gate *g, pf_ms now, struct pf_gate_demand *out,
		      size_t max);

/** Whether any request waits. */
bool pf_gate_has_waiting(const struct pf_gate *g);

struct pf_gate_stats {
	uint64_t arrived, sent, retries, refused, failed, delivered, hangups;
	uint32_t active, waiting, endpoints;
};

void pf_gate_stats(const struct pf_gate *g, struct pf_gate_stats *s);

PF_END_DECLS

#endif
