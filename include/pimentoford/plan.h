/*
 * Plan core: which models are loaded at which engines. Every model has a home
 * at an engine that stays; models that are asked for more get further ones,
 * where others can spare the room. Loads from the weight store stay below its
 * rate. Every gateway runs one; only the one that leads gives orders, and its
 * orders name the count that the engine must have accepted before, so that two
 * leaders at once do no harm. Does no I/O.
 */
#ifndef PIMENTOFORD_PLAN_H
#define PIMENTOFORD_PLAN_H

#include "pimentoford/engine_state.h"
#include "pimentoford/gate.h"
#include "pimentoford/routes.h"

PF_BEGIN_DECLS

struct pf_plan;

struct pf_plan_opts {
	uint64_t self; /* as in digests; the lowest that is heard leads */
	uint32_t endpoints_max;
	pf_ms load_window; /* in which loads from the weight store are counted */
	double load_rate_factor; /* of its rate that may be used */
};

void pf_plan_opts_default(struct pf_plan_opts *o);

/** NULL when options are out of range or there is no memory. */
struct pf_plan *pf_plan_new(const struct pf_plan_opts *o);
void pf_plan_free(struct pf_plan *p);

enum pf_plan_msg_type {
	PF_PLAN_ROUTES, /* u.routes: borrowed until the next one */
	PF_PLAN_ENDPOINT, /* u.endpoint: borrowed for the call */
	PF_PLAN_ENDPOINT_GONE, /* u.id */
	PF_PLAN_STATE, /* u.state: of a loader; borrowed for the call */
	PF_PLAN_MEMBERS_READ, /* the list of gateways was read */
	PF_PLAN_PEER_HEARTBEAT, /* u.id: another gateway was heard */
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
			uint64_t peer;
			const struct pf_gate_demand *items;
			size_t n_items;
		} demand;
	} u;
};

/** An order for a loader. */
struct pf_plan_act {
	uint64_t endpoint;
	int64_t incarnation;
	uint64_t expected_orders; /* accepted before it */
	bool load; /* otherwise unload */
	bool from_store;
	const char *model; /* valid in the call */
	const char *reason;
};

struct pf_plan_sink {
	void (*emit)(void *ctx, const struct pf_plan_act *act);
	void *ctx;
};

void pf_plan_step(struct pf_plan *p, pf_ms now, const struct pf_plan_msg *m,
		  const struct pf_plan_sink *sink);

/** Ticks are due so often. */
#define PF_PLAN_TICK_MS 100

bool pf_plan_is_leader(const struct pf_plan *p);

PF_END_DECLS

#endif
