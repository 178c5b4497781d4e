/* An engine's state: its own report, and what its loader sends to gateways. */
#ifndef PIMENTOFORD_ENGINE_STATE_H
#define PIMENTOFORD_ENGINE_STATE_H

#include "pimentoford/endpoint_info.h"

PF_BEGIN_DECLS

/** Models of an engine, and copies of weights, that a state can list. An engine
 * that holds more gets no orders, as its free memory isn't known. */
#define PF_RESIDENTS_MAX 64
#define PF_COPIES_MAX 64

/** An order without an answer may be carried out for this long after it was
 * sent, also by a later incarnation under the same id (docs/PLATFORM.md). */
#define PF_ORDER_LATE_MS 12500

/** An order for a model that got no answer. */
struct pf_order_in_doubt {
	uint64_t model;
	uint64_t expected_orders; /* accepted before it, if it is carried out */
	bool load; /* false: unload */
	pf_ms age; /* since it was sent last; below PF_ORDER_LATE_MS */
};

/** The state that a loader sends to the gateways; lists are borrowed. */
struct pf_engine_state {
	uint64_t endpoint;
	int64_t incarnation;
	uint64_t orders_accepted; /* since the engine's start */
	bool busy; /* a model is being loaded or unloaded */
	uint64_t loading_model; /* whose load was ordered last; 0: none */
	pf_ms loading_elapsed; /* since that order */
	bool from_store; /* that load reads from the weight store */
	uint32_t running;
	uint32_t queued;
	uint32_t kv_used; /* KV tokens that can't be evicted */
	uint32_t kv_total;
	bool draining; /* the endpoint is about to be removed */
	uint64_t unloading_model; /* holds memory, must not be used, and is not
				   * among the residents; 0: none */
	const struct pf_resident *residents;
	uint32_t n_residents;
	const uint64_t *in_host_mem; /* models with weights in host memory */
	uint32_t n_in_host_mem;
	const uint64_t *on_disk; /* models with weights on the local disk */
	uint32_t n_on_disk;
	/* Of this incarnation and earlier ones. */
	const struct pf_order_in_doubt *in_doubt;
	uint32_t n_in_doubt;
};

/** A model or an adapter in an engine's report. */
struct pf_engine_report_item {
	char *model;
	char *adapter; /* NULL: the model itself */
	uint64_t model_id;
	uint64_t adapter_id;
	bool loading; /* not usable yet */
};

/** An engine's own report, with names; owns its lists. */
struct pf_engine_report {
	int64_t incarnation;
	uint64_t orders_accepted;
	bool busy;
	bool draining;
	uint32_t running;
	uint32_t queued;
	uint32_t kv_used;
	uint32_t kv_total;
	struct pf_engine_report_item *items;
	uint32_t n_items;
	uint64_t *in_host_mem;
	uint32_t n_in_host_mem;
	uint64_t *on_disk;
	uint32_t n_on_disk;
};

/** Frees what @r owns, not @r. */
void pf_engine_report_clear(struct pf_engine_report *r);

/** Returns the item, or NULL. @adapter 0 finds the model itself. */
const struct pf_engine_report_item *
pf_engine_report_find(const struct pf_engine_report *r, uint64_t model,
		      uint64_t adapter);

PF_END_DECLS

#endif
