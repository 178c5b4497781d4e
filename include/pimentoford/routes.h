/*
 * The gateway's routing table: which requests go to which services, and the
 * models of each service. A table is immutable; a new version replaces it
 * whole.
 */
#ifndef PIMENTOFORD_ROUTES_H
#define PIMENTOFORD_ROUTES_H

#include "pimentoford/base.h"
#include "pimentoford/client_account.h"

PF_BEGIN_DECLS

/** Whether a request whose answer was lost may be sent again. */
enum pf_route_kind {
	PF_ROUTE_SAFE, /* idempotent: may be sent again */
	PF_ROUTE_UNSAFE, /* runs at most once */
	PF_ROUTE_STREAM, /* event stream; runs at most once */
	PF_ROUTE_RESUMABLE, /* event stream; resumes after the last event */
};

/** A service's share of a route's requests. */
struct pf_split {
	uint64_t service;
	double weight; /* above 0; relative to the sum of the route's weights */
};

struct pf_route {
	char *host;
	char *prefix; /* begins and ends with a slash */
	uint64_t host_id;
	struct pf_split *splits; /* at least one */
	uint32_t n_splits;
	enum pf_route_kind kind;
	pf_ms timeout; /* for the whole request; 0: none */
	pf_ms latency_objective; /* to the answer or first event; 0: none */
	pf_ms gap_objective; /* longest gap between events that is on time */
	uint32_t attempts_max; /* endpoints that may run one request */
	uint8_t priority; /* 0: highest */
	bool is_public; /* callers need no key */
};

struct pf_model_spec {
	char *name;
	uint64_t id;
	double weights_mb;
	pf_ms store_load_time; /* load from the weight store */
	pf_ms disk_load_time; /* load from the endpoint's disk */
	pf_ms host_load_time; /* load from the endpoint's host memory */
	double adapter_mb;
	uint32_t adapter_count;
};

struct pf_route_service {
	char *name;
	uint64_t id;
	uint32_t conns_max; /* per endpoint, from all gateways together */
	bool engine; /* endpoints are engines that serve models */
	/* Engines only. */
	uint32_t batch_max; /* concurrent requests of an engine */
	int64_t kv_tokens; /* KV memory of an engine */
	uint32_t tokens_per_event; /* in a stream */
	double memory_mb; /* of an engine, for weights and adapters */
	double host_memory_mb; /* for copies of weights in host memory */
	double disk_mb; /* for copies of weights on disk */
	uint32_t adapter_slots; /* adapters that an engine can hold */
	double loads_per_s; /* weight store's limit for all engines together */
	struct pf_model_spec *models;
	uint32_t n_models;
};

struct pf_caller_limits {
	int64_t header_bytes_max;
	int64_t body_bytes_max;
	pf_ms header_timeout;
	pf_ms idle_timeout;
};

struct pf_routes {
	uint64_t version;
	struct pf_route *routes;
	uint32_t n_routes;
	struct pf_route_service *services;
	uint32_t n_services;
	struct pf_caller_limits limits;
	struct pf_client_account *accounts; /* in ascending order of ids */
	uint32_t n_accounts;
};

/** Frees @r and all that it owns; NULL is allowed. */
void pf_routes_free(struct pf_routes *r);

/** Returns the route of @host with the longest prefix of @target, or NULL. */
const struct pf_route *pf_routes_find(const struct pf_routes *r,
				      struct pf_str host, struct pf_str target);

/** Returns the service, or NULL. */
const struct pf_route_service *pf_routes_find_service(const struct pf_routes *r,
						      uint64_t id);

/** Restores the order of accounts after some were added. */
void pf_routes_sort_accounts(struct pf_routes *r);

/** Returns the client account, or NULL. */
const struct pf_client_account *
pf_routes_find_account(const struct pf_routes *r, uint64_t id);

/** Returns the model of @s, or NULL. */
const struct pf_model_spec *
pf_service_find_model(const struct pf_route_service *s, uint64_t id);

/** Returns the id of an adapter of @model; 0 if @adapter is empty. */
uint64_t pf_adapter_id(uint64_t model, struct pf_str adapter);

PF_END_DECLS

#endif
