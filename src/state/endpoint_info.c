/* Endpoint entries. */
#include "pimentoford/endpoint_info.h"

#include <stdlib.h>
#include <string.h>

void pf_endpoint_info_clear(struct pf_endpoint_info *e)
{
	uint32_t i;

	for (i = 0; i < e->n_residents; i++)
		free(e->residents[i].adapters);
	free(e->residents);
	free(e->in_host_mem);
	free(e->on_disk);
	free(e->instance);
	free(e->addr);
	free(e->software_version);
	memset(e, 0, sizeof(*e));
}

bool pf_residents_have(const struct pf_resident *v, uint32_t n, uint64_t model,
		       uint64_t adapter)
{
	uint32_t i;
	uint32_t k;

	for (i = 0; i < n; i++) {
		const struct pf_resident *r = &v[i];

		if (r->model != model)
			continue;
		for (k = 0; adapter && k < r->n_adapters; k++) {
			if (r->adapters[k] == adapter)
				return true;
		}
		return !adapter;
	}
	return false;
}
