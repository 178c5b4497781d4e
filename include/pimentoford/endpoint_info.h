/* An endpoint's own entry in the platform's store. */
#ifndef PIMENTOFORD_ENDPOINT_INFO_H
#define PIMENTOFORD_ENDPOINT_INFO_H

#include "pimentoford/base.h"

PF_BEGIN_DECLS

/** A loaded model and its loaded adapters. */
struct pf_resident {
	uint64_t model;
	uint64_t *adapters;
	uint32_t n_adapters;
};

struct pf_endpoint_info {
	char *instance; /* name that requests must carry */
	char *addr; /* IP:PORT */
	uint64_t id; /* pf_id() of the instance */
	uint64_t service;
	char *software_version; /* empty: unstated */
	uint64_t software; /* hash of the service and the version */
	uint64_t zone;
	uint32_t slots; /* concurrent requests */
	bool draining;
	pf_ms remaining; /* time until it is removed; -1: unknown */
	pf_ms cold_start_left; /* time during which it is still slow */
	int64_t incarnation; /* wall-clock time of its start; 0: unknown */
	struct pf_resident *residents;
	uint32_t n_residents;
	uint64_t *in_host_mem; /* models with weights in host memory */
	uint32_t n_in_host_mem;
	uint64_t *on_disk; /* models with weights on the local disk */
	uint32_t n_on_disk;
};

/** Frees what @e owns, not @e. */
void pf_endpoint_info_clear(struct pf_endpoint_info *e);

/** Whether @model is among @n residents, and its @adapter unless that is 0. */
bool pf_residents_have(const struct pf_resident *v, uint32_t n, uint64_t model,
		       uint64_t adapter);

PF_END_DECLS

#endif
