/*
 * Plan core: decides which models are loaded at which engines. Each model is
 * to have at least one home, that is, an engine that holds it and isn't
 * draining; a model in demand gets more, where other models can give up memory.
 * Loads from the weight store stay below its rate limit. Every gateway runs a
 * plan core, but only the leader gives orders. Each order names the number of
 * orders that the engine must have accepted before it, so that an engine
 * carries out only one of two leaders' orders. Does no I/O.
 */
#ifndef PIMENTOFORD_PLAN_H
#define PIMENTOFORD_PLAN_H

#include "pimentoford/engine_state.h"
#include "pimentoford/gate.h"
#include "pimentoford/routes.h"

PF_BEGIN_DECLS

struct pf_plan;

struct pf_plan_opts {
	uint64_t self; /* gateway id in digests; the lowest live id leads */
	uint32_t endpoints_max; /* beyond: ignored */
	uint32_t peers_max; /* beyond: those silent longest are forgotten */
	pf_ms load_window; /* over which loads from the weight store count */
	double load_rate_factor; /* share of the store's rate to use */
};

/** The caller sets `self`. */
void pf_plan_opts_default(struct pf_plan_opts *o);

/** NULL if an option is out of range or memory runs out. */
struct pf_plan *pf_plan_new(const struct pf_plan_opts *o);
void pf_plan_free(struct pf_plan *p);

enum pf_plan_msg_type {
	PF_PLAN_ROUTES, /* u.routes: borrowed until the next one */
	PF_PLAN_ENDPOINT, /* u.endpoint: borrowed for the call */
	PF_PLAN_ENDPOINT_GONE, /* u.id: the endpoint */
	PF_PLAN_STATE, /* u.state: from a loader; borrowed for the call */
	PF_PLAN_LEAVING, /* u.leaving: an endpoint says that it leaves */
	PF_PLAN_LIMIT, /* u.limit: an endpoint names a limit, or no more */
	PF_PLAN_MEMBERS_READ, /* the list of gateways has been read */
	PF_PLAN_PEER_HEARTBEAT, /* u.id: another gateway */
	PF_PLAN_DEMAND, /* u.demand: of a gateway, this one included */
	PF_PLAN_TICK,
};

struct pf_plan_msg {
	enum pf_plan_msg_type type;
	union {
		const struct pf_routes *routes;
		const struct pf_endpoint_info *endpoint;
		const struct pf_engine_state *state;
		uint64_t id;
		struct {
			uint64_t endpoint;
			int64_t incarnation;
		} leaving;
		struct {
			uint64_t endpoint;
			double per_s; /* requests that it takes; < 0: any */
		} limit;
		struct {
			uint64_t peer;
			const struct pf_gate_demand *items;
			size_t n_items;
		} demand;
	} u;
};

/** An order to a loader: load or unload a model. */
struct pf_plan_act {
	uint64_t endpoint;
	int64_t incarnation;
	uint64_t expected_orders; /* orders accepted before this one */
	bool load; /* false: unload */
	bool from_store; /* the load reads from the weight store */
	const char *model; /* valid during the call */
	const char *reason; /* for the log */
};

/** `emit` must not call back into the core. */
struct pf_plan_sink {
	void (*emit)(void *ctx, const struct pf_plan_act *act);
	void *ctx;
};

void pf_plan_step(struct pf_plan *p, pf_ms now, const struct pf_plan_msg *m,
		  const struct pf_plan_sink *sink);

#define PF_PLAN_TICK_MS 100

/** Whether this gateway led the planning at its last tick. */
bool pf_plan_is_leader(const struct pf_plan *p);

PF_END_DECLS

#endif
