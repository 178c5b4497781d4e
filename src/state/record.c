/* Lookups in a pf_config, its index, and freeing it. */
#include "pimentoford/record.h"

#include <stdlib.h>
#include <string.h>

/* Maps a key to a position in one of the config's arrays. */
struct index_entry {
	uint64_t key;
	uint32_t pos;
};

/* Sorted by key; keys may repeat. */
struct index_table {
	struct index_entry *v;
	size_t n;
};

struct pf_config_index {
	struct index_table models;
	struct index_table model_names; /* models by name id */
	struct index_table adapters;
	struct index_table callers;
	struct index_table key_digests; /* callers by digest_id() */
	struct index_table endpoints;
	struct index_table services;
};

static int compare_entries(const void *a, const void *b)
{
	const struct index_entry *x = a, *y = b;

	if (x->key != y->key)
		return x->key < y->key ? -1 : 1;
	return x->pos < y->pos ? -1 : x->pos > y->pos;
}

/* Index of the first entry with @key or a larger one; t->n if none. */
static size_t lower_bound(const struct index_table *t, uint64_t key)
{
	size_t lo = 0, hi = t->n;

	while (lo < hi) {
		size_t mid = lo + (hi - lo) / 2;

		if (t->v[mid].key < key)
			lo = mid + 1;
		else
			hi = mid;
	}
	return lo;
}

static void index_free(struct pf_config_index *x)
{
	if (!x)
		return;
	free(x->models.v);
	free(x->model_names.v);
	free(x->adapters.v);
	free(x->callers.v);
	free(x->key_digests.v);
	free(x->endpoints.v);
	free(x->services.v);
	free(x);
}

/* The id of a key digest; 0 when there is none. */
static uint64_t digest_id(const char *hex)
{
	return hex ? pf_id(pf_str_c(hex)) : 0;
}

/* INDEX_FILL(table, array, key of its element `e`) */
#define INDEX_FILL(name, arr, key_of)                                          \
	static int fill_##name(const struct pf_config *c,                      \
			       struct index_table *t)                          \
	{                                                                      \
		t->v = calloc(c->n_##arr + 1, sizeof(*t->v));                  \
		if (!t->v)                                                     \
			return -1;                                             \
		t->n = c->n_##arr;                                             \
		for (size_t i = 0; i < t->n; i++) {                            \
			const __typeof__(*c->arr) *e = &c->arr[i];             \
                                                                               \
			t->v[i] =                                              \
				(struct index_entry){ (key_of), (uint32_t)i }; \
		}                                                              \
		qsort(t->v, t->n, sizeof(*t->v), compare_entries);             \
		return 0;                                                      \
	}

INDEX_FILL(models, models, e->id)
INDEX_FILL(model_names, models, e->name_id)
INDEX_FILL(adapters, adapters, e->id)
INDEX_FILL(callers, callers, e->id)
INDEX_FILL(key_digests, callers, digest_id(e->key_sha256))
INDEX_FILL(endpoints, endpoints, e->id)
INDEX_FILL(services, services, e->id)

int pf_config_index(struct pf_config *c)
{
	struct pf_config_index *x = calloc(1, sizeof(*x));

	if (!x)
		return -1;
	if (fill_models(c, &x->models) < 0 ||
	    fill_model_names(c, &x->model_names) < 0 ||
	    fill_adapters(c, &x->adapters) < 0 ||
	    fill_callers(c, &x->callers) < 0 ||
	    fill_key_digests(c, &x->key_digests) < 0 ||
	    fill_endpoints(c, &x->endpoints) < 0 ||
	    fill_services(c, &x->services) < 0) {
		index_free(x);
		return -1;
	}
	index_free(c->index);
	c->index = x;
	return 0;
}

/* LOOKUP(function, type, array): by id, through the index if it was built. */
#define LOOKUP(fn, type, arr)                                         \
	const struct type *fn(const struct pf_config *c, uint64_t id) \
	{                                                             \
		if (c->index) {                                       \
			const struct index_table *t = &c->index->arr; \
			size_t i = lower_bound(t, id);                \
                                                                      \
			return i < t->n && t->v[i].key == id          \
				       ? &c->arr[t->v[i].pos]         \
				       : NULL;                        \
		}                                                     \
		for (size_t i = 0; i < c->n_##arr; i++)               \
			if (c->arr[i].id == id)                       \
				return &c->arr[i];                    \
		return NULL;                                          \
	}

LOOKUP(pf_config_model, pf_model, models)
LOOKUP(pf_config_adapter, pf_adapter, adapters)
LOOKUP(pf_config_caller, pf_caller, callers)
LOOKUP(pf_config_endpoint, pf_endpoint, endpoints)
LOOKUP(pf_config_service, pf_service, services)

static bool has_key_digest(const struct pf_caller *c, struct pf_str hex)
{
	return c->key_sha256 && pf_str_eq(pf_str_c(c->key_sha256), hex);
}

const struct pf_caller *pf_config_caller_by_key(const struct pf_config *c,
						struct pf_str sha256_hex)
{
	uint64_t key = pf_id(sha256_hex);
	const struct index_table *t;

	if (!c->index) {
		for (size_t i = 0; i < c->n_callers; i++)
			if (has_key_digest(&c->callers[i], sha256_hex))
				return &c->callers[i];
		return NULL;
	}
	t = &c->index->key_digests;
	for (size_t i = lower_bound(t, key); i < t->n && t->v[i].key == key;
	     i++)
		if (has_key_digest(&c->callers[t->v[i].pos], sha256_hex))
			return &c->callers[t->v[i].pos];
	return NULL;
}

/* Iterates over the versions of a model; *@pos starts at 0. NULL at the end. */
static const struct pf_model *next_version(const struct pf_config *c,
					   uint64_t name_id, size_t *pos)
{
	if (c->index) {
		const struct index_table *t = &c->index->model_names;
		size_t i = lower_bound(t, name_id) + *pos;

		if (i >= t->n || t->v[i].key != name_id)
			return NULL;
		++*pos;
		return &c->models[t->v[i].pos];
	}
	while (*pos < c->n_models)
		if (c->models[(*pos)++].name_id == name_id)
			return &c->models[*pos - 1];
	return NULL;
}

/*
 * The version whose share of [0, 1) contains @draw. Falls back to the last
 * version with a share, or to the first version if none has one.
 */
static const struct pf_model *pick_version(const struct pf_config *c,
					   uint64_t name_id, double draw)
{
	const struct pf_model *m, *last = NULL;
	double point = draw * 100.0, sum = 0;
	size_t pos = 0;

	while ((m = next_version(c, name_id, &pos))) {
		if (!m->share && last)
			continue;
		if (m->share || !last)
			last = m;
		sum += m->share;
		if (m->share && point < sum)
			return m;
	}
	return last;
}

int pf_config_resolve(const struct pf_config *c, struct pf_str name,
		      double draw, uint64_t *model, uint64_t *adapter)
{
	const char *colon = name.n ? memchr(name.p, ':', name.n) : NULL;
	struct pf_str base = name;
	const struct pf_model *m;
	const struct pf_adapter *a = NULL;

	if (colon)
		base.n = (size_t)(colon - name.p);
	m = pick_version(c, pf_id(base), draw);
	if (!m)
		return -1;
	if (colon) {
		a = pf_config_adapter(c, pf_id(name));
		if (!a || a->model_name_id != m->name_id)
			return -1;
	}
	*model = m->id;
	*adapter = a ? a->id : 0;
	return 0;
}

/* Whether @path is @prefix or below it; a query string may follow. */
static bool path_under(struct pf_str path, const char *prefix)
{
	size_t n = strlen(prefix);

	if (path.n < n || memcmp(path.p, prefix, n) != 0)
		return false;
	if (path.n == n || (n && prefix[n - 1] == '/'))
		return true;
	return path.p[n] == '/' || path.p[n] == '?';
}

bool pf_service_repeatable(const struct pf_service *s, struct pf_str method,
			   struct pf_str path)
{
	const struct pf_call *best = NULL;

	for (size_t i = 0; i < s->n_calls; i++) {
		const struct pf_call *c = &s->calls[i];

		if (!pf_str_eq(pf_str_c(c->method), method))
			continue;
		if (!path_under(path, c->path))
			continue;
		if (!best || strlen(c->path) > strlen(best->path))
			best = c;
	}
	return best && best->repeatable;
}

static void endpoint_free(struct pf_endpoint *e)
{
	free(e->name);
	free(e->agent);
	free(e->backend);
	free(e->zone);
	free(e->region);
	free(e->service);
}

static void service_free(struct pf_service *s)
{
	for (size_t i = 0; i < s->n_calls; i++) {
		free(s->calls[i].method);
		free(s->calls[i].path);
	}
	free(s->calls);
	free(s->name);
}

void pf_config_free(struct pf_config *c)
{
	if (!c)
		return;
	for (size_t i = 0; i < c->n_models; i++) {
		free(c->models[i].name);
		free(c->models[i].version);
	}
	for (size_t i = 0; i < c->n_adapters; i++) {
		free(c->adapters[i].name);
		free(c->adapters[i].model);
	}
	for (size_t i = 0; i < c->n_callers; i++) {
		free(c->callers[i].name);
		free(c->callers[i].key_sha256);
		free(c->callers[i].models);
	}
	for (size_t i = 0; i < c->n_endpoints; i++)
		endpoint_free(&c->endpoints[i]);
	for (size_t i = 0; i < c->n_services; i++)
		service_free(&c->services[i]);
	free(c->models);
	free(c->adapters);
	free(c->callers);
	free(c->endpoints);
	free(c->services);
	index_free(c->index);
	free(c);
}
