/* Static placement: one copy of each model, then a second in another zone. */
#include "bench/homes.h"

#include <stdlib.h>

struct engine_space {
	const struct pf_endpoint *endpoint;
	int64_t free_bytes;
	struct homes *homes;
};

static bool homes_contain(const struct homes *h, uint64_t item)
{
	for (uint32_t i = 0; i < h->n; i++)
		if (h->items[i] == item)
			return true;
	return false;
}

static int64_t adapters_bytes(const struct pf_config *c,
			      const struct pf_model *m)
{
	int64_t sum = 0;

	for (size_t i = 0; i < c->n_adapters; i++)
		if (c->adapters[i].model_name_id == m->name_id)
			sum += c->adapters[i].bytes;
	return sum;
}

static bool zone_contains(const struct engine_space *spaces, uint32_t n,
			  const char *zone, uint64_t item)
{
	for (uint32_t i = 0; i < n; i++)
		if (pf_str_eq(pf_str_c(spaces[i].endpoint->zone),
			      pf_str_c(zone)) &&
		    homes_contain(spaces[i].homes, item))
			return true;
	return false;
}

static struct engine_space *pick_engine(struct engine_space *spaces, uint32_t n,
					int64_t need, uint64_t item)
{
	struct engine_space *best = NULL;

	for (uint32_t i = 0; i < n; i++) {
		struct engine_space *r = &spaces[i];

		if (r->free_bytes < need || r->homes->n + 8 > HOME_ITEMS_MAX ||
		    zone_contains(spaces, n, r->endpoint->zone, item))
			continue;
		if (!best || r->free_bytes > best->free_bytes)
			best = r;
	}
	return best;
}

static void place_model(const struct pf_config *c, const struct pf_model *m,
			struct engine_space *r, int64_t need)
{
	r->free_bytes -= need;
	r->homes->items[r->homes->n++] = m->id;
	for (size_t i = 0; i < c->n_adapters; i++)
		if (c->adapters[i].model_name_id == m->name_id)
			r->homes->items[r->homes->n++] = c->adapters[i].id;
}

static int compare_weight(const void *a, const void *b)
{
	const struct pf_model *x = *(const struct pf_model *const *)a;
	const struct pf_model *y = *(const struct pf_model *const *)b;

	if (x->weight_bytes != y->weight_bytes)
		return x->weight_bytes > y->weight_bytes ? -1 : 1;
	return x->id < y->id ? -1 : 1;
}

void homes_fixed(const struct pf_config *c,
		 const struct pf_endpoint *const *engines, uint32_t n,
		 struct homes *homes)
{
	struct engine_space *spaces = calloc(n, sizeof(*spaces));
	const struct pf_model **models = calloc(c->n_models, sizeof(*models));

	if (!spaces || !models)
		abort();
	for (uint32_t i = 0; i < n; i++) {
		spaces[i].endpoint = engines[i];
		spaces[i].free_bytes =
			(int64_t)((double)engines[i]->memory_bytes *
				  (1 - c->deployment.kv_share));
		spaces[i].homes = &homes[i];
		homes[i].n = 0;
	}
	for (size_t i = 0; i < c->n_models; i++)
		models[i] = &c->models[i];
	qsort(models, c->n_models, sizeof(*models), compare_weight);
	for (int round = 0; round < 2; round++)
		for (size_t i = 0; i < c->n_models; i++) {
			int64_t need = models[i]->weight_bytes +
				       adapters_bytes(c, models[i]);
			struct engine_space *r =
				pick_engine(spaces, n, need, models[i]->id);

			if (r)
				place_model(c, models[i], r, need);
		}
	free(models);
	free(spaces);
}
