/*
 * Loader core: gives all orders to the engine beside it. It carries out the
 * planner's loads and unloads of models, loads the adapters that gateways ask
 * for, and evicts the least recently used ones. It has one order in flight at
 * a time. Each order names the number of orders that the engine must have
 * accepted before it, so that the engine refuses one that arrives late. Does no
 * I/O.
 */
#ifndef PIMENTOFORD_LOADER_H
#define PIMENTOFORD_LOADER_H

#include "pimentoford/engine_state.h"

PF_BEGIN_DECLS

struct pf_loader;

struct pf_loader_opts {
	pf_ms poll_interval; /* between polls of the engine's report */
	pf_ms order_poll_delay; /* from an order's answer to the next poll */
	pf_ms order_timeout; /* an unanswered order is then in doubt */
	pf_ms adapter_idle_min; /* adapters used more recently stay */
	pf_ms usage_ttl; /* of the adapters that a gateway reports in use */
};

void pf_loader_opts_default(struct pf_loader_opts *o);

/** NULL if memory runs out. */
struct pf_loader *pf_loader_new(const struct pf_loader_opts *o);
void pf_loader_free(struct pf_loader *l);

enum pf_loader_msg_type {
	PF_LOADER_REPORT, /* u.report: taken over; NULL: the poll failed */
	PF_LOADER_USAGE, /* u.usage: borrowed for the call */
	PF_LOADER_ORDER, /* u.order: borrowed for the call */
	PF_LOADER_ANSWER, /* u.answer: the engine's answer to an order */
	PF_LOADER_TICK,
};

/** The adapters that a gateway uses at this engine, and one it needs. */
struct pf_loader_usage {
	uint64_t gateway;
	struct pf_str instance; /* the endpoint that the gateway means */
	int64_t incarnation;
	uint32_t adapter_slots;
	pf_ms state_interval; /* how often to send it the engine's state */
	const uint64_t *adapters_in_use; /* by its requests in flight */
	uint32_t n_in_use;
	struct pf_str wanted_model; /* empty: no adapter is wanted */
	struct pf_str wanted_adapter;
};

/** The planner's order to load or unload a model. */
struct pf_loader_order {
	struct pf_str instance;
	int64_t incarnation;
	uint64_t expected_orders; /* orders accepted before this one */
	bool load; /* false: unload */
	bool from_store;
	struct pf_str model;
};

enum pf_loader_result {
	PF_LOADER_ACCEPTED,
	PF_LOADER_REFUSED,
	PF_LOADER_IN_DOUBT, /* no answer; it may take effect later */
};

struct pf_loader_msg {
	enum pf_loader_msg_type type;
	union {
		struct pf_engine_report *report;
		struct pf_loader_usage usage;
		struct pf_loader_order order;
		struct {
			uint64_t seq; /* copied from the call */
			enum pf_loader_result result;
		} answer;
	} u;
};

enum pf_loader_act_type {
	PF_LOADER_POLL, /* fetch the report; answer with PF_LOADER_REPORT */
	PF_LOADER_CALL, /* send `call`; answer with PF_LOADER_ANSWER */
	PF_LOADER_STATE_CHANGED, /* send pf_loader_state() to the gateways */
};

struct pf_loader_act {
	enum pf_loader_act_type type;
	struct {
		uint64_t seq; /* to be repeated in the answer */
		bool load; /* false: unload */
		const char *instance;
		const char *model;
		const char *adapter; /* NULL: the model itself */
		uint64_t expected_orders;
	} call; /* valid during the call of `emit` */
};

/** `emit` must not call back into the core. */
struct pf_loader_sink {
	void (*emit)(void *ctx, const struct pf_loader_act *act);
	void *ctx;
};

void pf_loader_step(struct pf_loader *l, pf_ms now,
		    const struct pf_loader_msg *m,
		    const struct pf_loader_sink *sink);

/** Time of the next PF_LOADER_TICK. */
pf_ms pf_loader_next(const struct pf_loader *l);

/**
 * Fills @s with the state to send to the gateways. Its lists belong to @l and
 * are valid until the next step.
 */
void pf_loader_state(struct pf_loader *l, pf_ms now, struct pf_engine_state *s);

PF_END_DECLS

#endif
