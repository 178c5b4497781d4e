/* Demand per model, counted from the groups of the entry core. */
#include "pimentoford/demand.h"

#include "src/coordination/entry_impl.h"

static void fill_demand(const struct pf_entry *e, uint32_t group,
			struct pf_demand *d)
{
	const struct pf_group *g = &e->groups[group];

	d->model = g->model;
	d->waiting = g->n_waiting;
	d->open = g->n_requests;
}

size_t pf_entry_demand(const struct pf_entry *e, struct pf_demand *out,
		       size_t max)
{
	size_t n = 0;

	for (uint32_t i = 0; i < e->groups_used && n < max; i++) {
		const struct pf_group *g = &e->groups[i];

		if (g->n_requests && !g->shard &&
		    pf_config_model(e->config, g->model))
			fill_demand(e, i, &out[n++]);
	}
	return n;
}
