/*
 * Loader core: the only giver of orders to the engine beside it. It carries
 * out the planner's loads and unloads of models, and keeps the adapters that
 * gateways ask for, giving up those that were not used for longest. One order
 * at a time, each bound to the count of orders accepted before it, so that one
 * that is carried out late can do no harm. Does no I/O.
 */
#ifndef PIMENTOFORD_LOADER_H
#define PIMENTOFORD_LOADER_H

#include "pimentoford/engine_state.h"

PF_BEGIN_DECLS

struct pf_loader;

struct pf_loader_opts {
	pf_ms poll_interval; /* asks the engine's report */
	pf_ms order_poll_delay; /* while an order is being carried out */
	pf_ms order_timeout; /* without an answer it may come to effect later */
	pf_ms adapter_idle_min; /* an adapter used within this is not given up */
	pf_ms usage_ttl; /* what a gateway said it uses, it uses for so long */
};

/** Fills in the defaults that are shipped. */
void pf_loader_opts_default(struct pf_loader_opts *o);

/** NULL when there is no memory. */
struct pf_loader *pf_loader_new(const struct pf_loader_opts *o);
void pf_loader_free(struct pf_loader *l);

enum pf_loader_msg_type {
	PF_LOADER_REPORT, /* u.report: taken over; NULL: none could be had */
	PF_LOADER_USAGE, /* u.usage: borrowed for the call */
	PF_LOADER_ORDER, /* u.order: borrowed for the call */
	PF_LOADER_ANSWER, /* u.answer */
	PF_LOADER_TICK,
};

/** What a gateway has under way here, and the adapter that it may need. */
struct pf_loader_usage {
	uint64_t gateway; /* the gateway */
	struct pf_str instance; /* the endpoint that it means */
	int64_t incarnation;
	uint32_t adapter_slots;
	pf_ms state_interval; /* how often it is to hear of the engine */
	const uint64_t
		*adapters_in_use; /* adapters of its requests under way: all */
	uint32_t n_in_use;
	struct pf_str wanted_model; /* of the adapter; empty: none is wanted */
	struct pf_str wanted_adapter;
};

/** The planner wants a model loaded or unloaded. */
struct pf_loader_order {
	struct pf_str instance;
	int64_t incarnation;
	uint64_t expected_orders; /* accepted before this one */
	bool load;
	bool from_store;
	struct pf_str model;
};

enum pf_loader_result {
	PF_LOADER_ACCEPTED,
	PF_LOADER_REFUSED,
	PF_LOADER_IN_DOUBT, /* it may come to effect later */
};

struct pf_loader_msg {
	enum pf_loader_msg_type type;
	union {
		struct pf_engine_report *report;
		struct pf_loader_usage usage;
		struct pf_loader_order order;
		struct {
			uint64_t seq; /* of the call */
			enum pf_loader_result result;
		} answer;
	} u;
};

enum pf_loader_act_type {
	PF_LOADER_POLL, /* ask the report; answer with PF_LOADER_REPORT */
	PF_LOADER_CALL, /* u.call; answer with PF_LOADER_ANSWER */
	PF_LOADER_STATE_CHANGED, /* what pf_loader_state() says has changed */
};

struct pf_loader_act {
	enum pf_loader_act_type type;
	struct {
		uint64_t seq; /* its answer carries it */
		bool load; /* otherwise unload */
		const char *instance;
		const char *model;
		const char *adapter; /* NULL: the model itself */
		uint64_t expected_orders;
	} call; /* valid in the call */
};

struct pf_loader_sink {
	void (*emit)(void *ctx, const struct pf_loader_act *act);
	void *ctx;
};

void pf_loader_step(struct pf_loader *l, pf_ms now,
		    const struct pf_loader_msg *m,
		    const struct pf_loader_sink *sink);

/** When the next PF_LOADER_TICK is due. */
pf_ms pf_loader_next(const struct pf_loader *l);

/** What to tell gateways; valid until the next step. */
void pf_loader_state(struct pf_loader *l, pf_ms now, struct pf_engine_state *s);

PF_END_DECLS

#endif
