/* What an engine holds and does, as its own report says. */
#ifndef PIMENTOFORD_ENGINE_STATE_H
#define PIMENTOFORD_ENGINE_STATE_H

#include "pimentoford/endpoint_info.h"

PF_BEGIN_DECLS

/** As a loader tells the gateways; lists are borrowed. */
struct pf_engine_state {
	uint64_t endpoint;
	int64_t incarnation;
	uint64_t orders_accepted; /* that it has accepted since its start */
	bool busy; /* a model is being loaded or unloaded */
	uint64_t loading_model; /* model that was ordered last; 0: none */
	pf_ms loading_elapsed; /* since that order */
	bool from_store; /* that load came from the weight store */
	uint32_t running;
	uint32_t queued;
	uint32_t kv_used; /* tokens that can't yield */
	uint32_t kv_total;
	bool draining; /* the endpoint is about to be taken away */
	uint64_t
		unloading_model; /* model held until its unload is done; not to be
			   * used, and not among the residents; 0: none */
	const struct pf_resident *residents;
	uint32_t n_residents;
	const uint64_t
		*in_host_mem; /* models with weights in the host's memory */
	uint32_t n_in_host_mem;
	const uint64_t *on_disk;
	uint32_t n_on_disk;
};

/** A model, or an adapter of it, that an engine holds or fetches. */
struct pf_engine_report_item {
	char *model;
	char *adapter; /* NULL: the model itself */
	uint64_t model_id;
	uint64_t adapter_id;
	bool loading; /* not there yet */
};

/** An engine's report, with names; owned. */
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

void pf_engine_report_clear(struct pf_engine_report *r);

/** The item, or NULL; @adapter 0: the model itself. */
const struct pf_engine_report_item *
pf_engine_report_find(const struct pf_engine_report *r, uint64_t model,
		      uint64_t adapter);

PF_END_DECLS

#endif
