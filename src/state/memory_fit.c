/*
 * Checks that all model versions with their adapters fit the engines' memory,
 * less the share reserved for KV, by first-fit-decreasing bin packing. A set
 * that passes does fit; a set that only a better packing could place is
 * refused.
 */
#include "record_forms.h"

#include <glib.h>
#include <inttypes.h>
#include <stdlib.h>

struct model_demand {
	const struct pf_model *model;
	int64_t bytes; /* weights and all adapters of the model */
	int64_t context_bytes; /* KV of one context of maximum length */
};

struct adapter_size {
	uint64_t model_name_id;
	int64_t bytes;
};

/* An engine and its memory that is not assigned yet. */
struct engine_bin {
	const struct pf_endpoint *endpoint;
	int64_t free_bytes;
};

static int compare_larger_first(const void *a, const void *b)
{
	const struct model_demand *x = a, *y = b;

	if (x->bytes != y->bytes)
		return x->bytes > y->bytes ? -1 : 1;
	return x->model->id < y->model->id ? -1 : x->model->id > y->model->id;
}

static int compare_adapter_models(const void *a, const void *b)
{
	const struct adapter_size *x = a, *y = b;

	return x->model_name_id < y->model_name_id
		       ? -1
		       : x->model_name_id > y->model_name_id;
}

/* Bytes of all adapters of model @id; @v is sorted by model. */
static int64_t sum_adapters(const struct adapter_size *v, size_t n, uint64_t id)
{
	size_t lo = 0, hi = n;
	int64_t sum = 0;

	while (lo < hi) {
		size_t mid = lo + (hi - lo) / 2;

		if (v[mid].model_name_id < id)
			lo = mid + 1;
		else
			hi = mid;
	}
	for (; lo < n && v[lo].model_name_id == id; lo++)
		sum += v[lo].bytes;
	return sum;
}

/* Fills @p, the largest demand first; @a is scratch memory. */
static void collect_demands(const struct pf_config *c, struct model_demand *p,
			    struct adapter_size *a)
{
	for (size_t i = 0; i < c->n_adapters; i++)
		a[i] = (struct adapter_size){ c->adapters[i].model_name_id,
					      c->adapters[i].bytes };
	qsort(a, c->n_adapters, sizeof(*a), compare_adapter_models);
	for (size_t i = 0; i < c->n_models; i++) {
		const struct pf_model *m = &c->models[i];

		p[i].model = m;
		p[i].bytes = m->weight_bytes +
			     sum_adapters(a, c->n_adapters, m->name_id);
		p[i].context_bytes = m->kv_token_bytes * m->max_context;
	}
	qsort(p, c->n_models, sizeof(*p), compare_larger_first);
}

/* Fills @b with the engines that aren't draining; returns their number. */
static size_t collect_bins(const struct pf_config *c, struct engine_bin *b)
{
	size_t n = 0;

	for (size_t i = 0; i < c->n_endpoints; i++) {
		const struct pf_endpoint *e = &c->endpoints[i];

		if (e->kind != PF_ENDPOINT_ENGINE || e->drain)
			continue;
		b[n].endpoint = e;
		b[n++].free_bytes = (int64_t)((double)e->memory_bytes *
					      (1.0 - c->deployment.kv_share));
	}
	return n;
}

static void finding_place(const struct pf_model *m, char *buf, size_t n)
{
	struct pf_text t = { 0 };

	pf_text_printf(&t, "model %s@%s", m->name, m->version);
	g_strlcpy(buf, t.p ? t.p : "model", n);
	pf_text_free(&t);
}

/* Assigns the first engine with enough free memory, or adds a finding. */
static void assign_engine(const struct model_demand *p, struct engine_bin *b,
			  size_t n_bins, struct pf_findings *f)
{
	const struct pf_model *m = p->model;
	bool fits_alone = false;
	char place[200];

	for (size_t i = 0; i < n_bins; i++) {
		int64_t memory = b[i].endpoint->memory_bytes;

		if (p->bytes + p->context_bytes > memory)
			continue;
		fits_alone = true;
		if (p->bytes > b[i].free_bytes)
			continue;
		b[i].free_bytes -= p->bytes;
		return;
	}
	finding_place(m, place, sizeof(place));
	if (fits_alone)
		pf_findings_add(f, place,
				"has no home: %" PRId64 " bytes with its "
				"adapters don't fit beside the other models; "
				"allowed: what all engines hold together less "
				"deployment.kv_share",
				p->bytes);
	else
		pf_findings_add(f, place,
				"fits no engine endpoint: %" PRId64 " bytes "
				"with its adapters and %" PRId64 " bytes for "
				"one whole context; allowed: at most the "
				"memory of one engine",
				p->bytes, p->context_bytes);
}

void pf_memory_fit_check(const struct pf_config *c, struct pf_findings *f)
{
	struct model_demand *p = calloc(c->n_models + 1, sizeof(*p));
	struct adapter_size *a = calloc(c->n_adapters + 1, sizeof(*a));
	struct engine_bin *b = calloc(c->n_endpoints + 1, sizeof(*b));
	size_t n_bins;

	if (!p || !a || !b) {
		pf_findings_add(
			f, "records",
			"out of memory while checking the models' memory");
		goto out;
	}
	collect_demands(c, p, a);
	n_bins = collect_bins(c, b);
	for (size_t i = 0; i < c->n_models; i++)
		assign_engine(&p[i], b, n_bins, f);
out:
	free(p);
	free(a);
	free(b);
}
