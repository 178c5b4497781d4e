/*
 * The routing table of the gateway: which requests go to which services, and
 * what is known of each service's models. A table is immutable; a new version
 * replaces it whole.
 */
#ifndef PIMENTOFORD_ROUTES_H
#define PIMENTOFORD_ROUTES_H

#include "pimentoford/base.h"

PF_BEGIN_DECLS

#define PF_ROUTE_SPLITS_MAX 8

/** What may be done with a request whose answer did not come. */
enum pf_route_kind {
	PF_ROUTE_SAFE, /* idempotent */
	PF_ROUTE_UNSAFE, /* runs at most once */
	PF_ROUTE_STREAM, /* events; runs at most once */
	PF_ROUTE_RESUMABLE, /* events; may go on after the last one passed */
};

struct pf_split {
	uint64_t service;
	uint32_t weight;
};

struct pf_route {
	char *host;
	char *prefix; /* begins and ends with a slash */
	uint64_t host_id;
	struct pf_split splits[PF_ROUTE_SPLITS_MAX];
	uint32_t n_splits;
	enum pf_route_kind kind;
	pf_ms timeout; /* a request is answered by then; 0: no bound */
	pf_ms latency_objective; /* for the answer or the first event; 0: none */
	pf_ms gap_objective; /* longest pause between events that is on time */
	uint32_t attempts_max; /* endpoints that may run one request */
	uint8_t priority; /* 0 is first */
};

struct pf_model_spec {
	char *name;
	uint64_t id;
	double weights_mb;
	pf_ms store_load_time; /* from the weight store */
	pf_ms disk_load_time; /* from the endpoint's disk */
	pf_ms host_load_time; /* from the endpoint's memory */
	double adapter_mb;
	uint32_t adapter_count;
};

struct pf_route_service {
	char *name;
	uint64_t id;
	uint32_t conns_max; /* that an endpoint takes from all */
	bool engine; /* serves models */
	uint32_t batch_max; /* requests at once, of an engine */
	int64_t kv_tokens; /* memory of an engine */
	uint32_t tokens_per_event; /* of one event of a stream */
	double memory_mb; /* of an engine, for weights and adapters */
	double host_memory_mb; /* for copies of weights in the host's memory */
	double disk_mb; /* and on its disk */
	uint32_t adapter_slots; /* adapters that an engine holds */
	double loads_per_s; /* that the weight store allows to all engines */
	struct pf_model_spec *models;
	uint32_t n_models;
};

/** What callers may send. */
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
};

void pf_routes_free(struct pf_routes *r);

/** The route with the longest prefix of @target at @host, or NULL. */
const struct pf_route *pf_routes_find(const struct pf_routes *r,
				      struct pf_str host, struct pf_str target);

/** The service with this id, or NULL. */
const struct pf_route_service *pf_routes_find_service(const struct pf_routes *r,
						      uint64_t id);

/** The model with this id at @s, or NULL. */
const struct pf_model_spec *
pf_service_find_model(const struct pf_route_service *s, uint64_t id);

/** The id of an adapter of a model; 0 for no adapter. */
uint64_t pf_adapter_id(uint64_t model, struct pf_str adapter);

PF_END_DECLS

#endif
