/* Engine reports. */
#include "pimentoford/engine_state.h"

#include <stdlib.h>
#include <string.h>

void pf_engine_report_clear(struct pf_engine_report *r)
{
	uint32_t i;

	for (i = 0; i < r->n_items; i++) {
		free(r->items[i].model);
		free(r->items[i].adapter);
	}
	free(r->items);
	free(r->in_host_mem);
	free(r->on_disk);
	memset(r, 0, sizeof(*r));
}

const struct pf_engine_report_item *
pf_engine_report_find(const struct pf_engine_report *r, uint64_t model,
		      uint64_t adapter)
{
	uint32_t i;

	for (i = 0; i < r->n_items; i++) {
		if (r->items[i].model_id == model &&
		    r->items[i].adapter_id == adapter)
			return &r->items[i];
	}
	return NULL;
}
