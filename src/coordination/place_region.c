/*
 * Placement: this region's part of the weight store's budget, and the models
 * that it must give a home. All regions' planners compute the same split from
 * the same configuration.
 */
#include "place_core.h"

#include <stdlib.h>

#define REGIONS_MAX 64

struct region {
	uint64_t id;
	uint32_t engines;
	int64_t free_bytes; /* for weights */
};

static struct region *find_region(struct region *v, uint32_t *n, uint64_t id)
{
	for (uint32_t i = 0; i < *n; i++)
		if (v[i].id == id)
			return &v[i];
	if (*n == REGIONS_MAX)
		return NULL;
	v[*n] = (struct region){ .id = id };
	return &v[(*n)++];
}

static uint32_t list_regions(const struct pf_config *c, struct region *v)
{
	uint32_t n = 0;

	for (size_t i = 0; i < c->n_endpoints; i++) {
		const struct pf_endpoint *e = &c->endpoints[i];
		struct region *r;

		if (e->kind != PF_ENDPOINT_ENGINE || e->drain)
			continue;
		r = find_region(v, &n, pf_id(pf_str_c(e->region)));
		if (!r)
			continue;
		r->engines++;
		r->free_bytes += (int64_t)((double)e->memory_bytes *
					   (1 - c->deployment.kv_share));
	}
	return n;
}

/*
 * Splits the budget by the number of engines. The parts add up to the whole,
 * except that each region with engines may always load one at a time.
 */
static void split_budget(struct pf_placement *p, const struct region *v,
			 uint32_t n)
{
	const struct pf_deployment *d = &p->config->deployment;
	uint32_t total = 0, before = 0, own = 0;

	for (uint32_t i = 0; i < n; i++) {
		if (v[i].id == p->opts.region) {
			before = total;
			own = v[i].engines;
		}
		total += v[i].engines;
	}
	p->load_rate = d->store_loads_rate;
	p->in_flight_max = d->store_inflight;
	if (!p->opts.region || !total)
		return;
	p->load_rate *= (double)own / total;
	p->in_flight_max = d->store_inflight * (before + own) / total -
			   d->store_inflight * before / total;
	if (own && !p->in_flight_max)
		p->in_flight_max = 1;
}

/* Assigns models, largest first, to the region with the most free memory. */
static void assign_models(struct pf_placement *p, struct region *v, uint32_t n)
{
	for (uint32_t i = 0; i < p->n_models; i++) {
		struct place_model *mo = &p->models[p->models_by_size[i]];
		struct region *best = n ? &v[0] : NULL;

		for (uint32_t k = 1; k < n; k++)
			if (v[k].free_bytes > best->free_bytes)
				best = &v[k];
		if (best)
			best->free_bytes -= mo->record->weight_bytes;
		mo->assigned_here =
			!p->opts.region || (best && best->id == p->opts.region);
	}
}

static bool is_larger(const struct place_model *x, const struct place_model *y)
{
	if (x->record->weight_bytes != y->record->weight_bytes)
		return x->record->weight_bytes > y->record->weight_bytes;
	return x->id < y->id;
}

static void sort_models(struct pf_placement *p)
{
	for (uint32_t i = 0; i < p->n_models; i++) {
		uint32_t k = i;

		for (; k > 0 && is_larger(&p->models[i],
					  &p->models[p->models_by_size[k - 1]]);
		     k--)
			p->models_by_size[k] = p->models_by_size[k - 1];
		p->models_by_size[k] = i;
	}
}

void place_assign_region(struct pf_placement *p)
{
	struct region v[REGIONS_MAX];
	uint32_t n = list_regions(p->config, v);

	sort_models(p);
	split_budget(p, v, n);
	assign_models(p, v, n);
}
