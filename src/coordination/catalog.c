/* Index of models, adapters and services by id. */
#include "src/coordination/catalog.h"

enum record_kind { MODEL = 1, ADAPTER, SERVICE };

static struct pf_key catalog_key(uint64_t id, enum record_kind k)
{
	return (struct pf_key){ id, k };
}

static void add_record(struct pf_map *m, uint64_t id, enum record_kind k,
		       size_t i)
{
	/* The map has room for every record. */
	(void)pf_map_put(m, catalog_key(id, k), (uint32_t)i);
}

int pf_catalog_build(struct pf_entry *e, const struct pf_config *c)
{
	size_t n = c->n_models + c->n_adapters + c->n_services;

	pf_map_free(&e->catalog);
	e->config = NULL;
	if (pf_map_init(&e->catalog, (uint32_t)n))
		return -1;
	e->config = c;
	for (size_t i = 0; i < c->n_models; i++)
		add_record(&e->catalog, c->models[i].id, MODEL, i);
	for (size_t i = 0; i < c->n_adapters; i++)
		add_record(&e->catalog, c->adapters[i].id, ADAPTER, i);
	for (size_t i = 0; i < c->n_services; i++)
		add_record(&e->catalog, c->services[i].id, SERVICE, i);
	return 0;
}

static bool find_record(const struct pf_entry *e, uint64_t id,
			enum record_kind k, uint32_t *i)
{
	return e->config && pf_map_get(&e->catalog, catalog_key(id, k), i) == 0;
}

const struct pf_model *pf_catalog_model(const struct pf_entry *e, uint64_t id)
{
	uint32_t i;

	return find_record(e, id, MODEL, &i) ? &e->config->models[i] : NULL;
}

bool pf_catalog_declares(const struct pf_entry *e, const struct pf_work *w)
{
	uint32_t i;

	if (w->flags & PF_WORK_PLAIN)
		return find_record(e, w->model, SERVICE, &i);
	if (!find_record(e, w->model, MODEL, &i))
		return false;
	return w->adapter == 0 || find_record(e, w->adapter, ADAPTER, &i);
}
