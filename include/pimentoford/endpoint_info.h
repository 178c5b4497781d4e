/* What an endpoint says of itself, as the platform's store lists it. */
#ifndef PIMENTOFORD_ENDPOINT_INFO_H
#define PIMENTOFORD_ENDPOINT_INFO_H

#include "pimentoford/base.h"

PF_BEGIN_DECLS

/** A model that is loaded, with its adapters. */
struct pf_resident {
	uint64_t model;
	uint64_t *adapters;
	uint32_t n_adapters;
};

struct pf_endpoint_info {
	char *instance; /* its name, as requests expect it */
	char *addr; /* IP:PORT */
	uint64_t id; /* pf_id() of the instance */
	uint64_t service;
	uint64_t zone;
	uint32_t slots; /* requests at once */
	bool draining;
	pf_ms remaining; /* until it is taken away; -1: not said */
	pf_ms cold_start_left; /* how much longer it is slow after its start */
	int64_t incarnation; /* wall clock of its start; 0: not said */
	struct pf_resident *residents;
	uint32_t n_residents;
	uint64_t *in_host_mem; /* models whose weights lie in its memory */
	uint32_t n_in_host_mem;
	uint64_t *on_disk; /* models whose weights lie on its disk */
	uint32_t n_on_disk;
};

/** Frees what @e holds, not @e. */
void pf_endpoint_info_clear(struct pf_endpoint_info *e);

/** Whether a model, and an adapter unless it is 0, is among @n residents. */
bool pf_residents_have(const struct pf_resident *v, uint32_t n, uint64_t model,
		       uint64_t adapter);

PF_END_DECLS

#endif
