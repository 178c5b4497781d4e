/* The routing table. */
#include "pimentoford/routes.h"

#include <stdlib.h>
#include <string.h>

static void service_free(struct pf_route_service *s)
{
	uint32_t i;

	for (i = 0; i < s->n_models; i++)
		free(s->models[i].name);
	free(s->models);
	free(s->name);
}

void pf_routes_free(struct pf_routes *r)
{
	uint32_t i;

	if (!r)
		return;
	for (i = 0; i < r->n_routes; i++) {
		free(r->routes[i].host);
		free(r->routes[i].prefix);
		free(r->routes[i].splits);
	}
	for (i = 0; i < r->n_services; i++)
		service_free(&r->services[i]);
	free(r->routes);
	free(r->services);
	for (i = 0; i < r->n_accounts; i++)
		free(r->accounts[i].name);
	free(r->accounts);
	free(r);
}

const struct pf_route *pf_routes_find(const struct pf_routes *r,
				      struct pf_str host, struct pf_str target)
{
	const struct pf_route *best = NULL;
	uint64_t id = pf_id(host);
	size_t best_len = 0;
	uint32_t i;

	for (i = 0; i < r->n_routes; i++) {
		const struct pf_route *route = &r->routes[i];
		size_t len;

		if (route->host_id != id)
			continue;
		len = strlen(route->prefix);
		if (len > best_len && len <= target.n &&
		    memcmp(target.p, route->prefix, len) == 0) {
			best = route;
			best_len = len;
		}
	}
	return best;
}

const struct pf_route_service *pf_routes_find_service(const struct pf_routes *r,
						      uint64_t id)
{
	uint32_t i;

	for (i = 0; i < r->n_services; i++) {
		if (r->services[i].id == id)
			return &r->services[i];
	}
	return NULL;
}

static int compare_accounts(const void *a, const void *b)
{
	const struct pf_client_account *x = a;
	const struct pf_client_account *y = b;

	return (x->id > y->id) - (x->id < y->id);
}

void pf_routes_sort_accounts(struct pf_routes *r)
{
	qsort(r->accounts, r->n_accounts, sizeof(*r->accounts),
	      compare_accounts);
}

const struct pf_client_account *
pf_routes_find_account(const struct pf_routes *r, uint64_t id)
{
	struct pf_client_account key = { .id = id };

	if (!r->n_accounts)
		return NULL;
	return bsearch(&key, r->accounts, r->n_accounts, sizeof(key),
		       compare_accounts);
}

const struct pf_model_spec *
pf_service_find_model(const struct pf_route_service *s, uint64_t id)
{
	uint32_t i;

	for (i = 0; i < s->n_models; i++) {
		if (s->models[i].id == id)
			return &s->models[i];
	}
	return NULL;
}

uint64_t pf_adapter_id(uint64_t model, struct pf_str adapter)
{
	return adapter.n ? pf_id2(model, pf_id(adapter)) : 0;
}
