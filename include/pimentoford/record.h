/*
 * The inner form of the operators' records: what is served, to whom and
 * where. Every schema version converts to this on reading. A pf_config is
 * immutable once built.
 */
#ifndef PIMENTOFORD_RECORD_H
#define PIMENTOFORD_RECORD_H

#include "pimentoford/base.h"

PF_BEGIN_DECLS

/** Priorities: 0 is the most urgent. */
#define PF_PRIORITIES 4

/*
 * One version of a model. Its id, pf_id("NAME@VERSION"), names the weights
 * that endpoints load; `share` is its part of the model's traffic.
 */
struct pf_model {
	char *name;
	char *version;
	uint64_t id;
	uint64_t name_id; /* pf_id(name), common to all versions */
	uint32_t share; /* percent of the traffic of `name` */
	int64_t weight_bytes;
	int64_t kv_token_bytes; /* KV memory of one token */
	uint32_t max_context; /* prompt and output, tokens */
};

/** A low-rank adapter of a model; its id is pf_id("MODEL:ADAPTER"). */
struct pf_adapter {
	char *name;
	char *model;
	uint64_t id;
	uint64_t model_name_id;
	int64_t bytes;
};

/** Who may call, and what that caller expects. */
struct pf_caller {
	char *name;
	uint64_t id;
	char *key_sha256; /* lower-case hex of the bearer key's SHA-256 */
	uint8_t priority;
	double rate; /* requests a second; 0: no limit */
	uint32_t burst;
	uint32_t concurrency; /* requests at once; 0: no limit */
	pf_ms first_token_target_ms; /* expected time to the first token */
	pf_ms token_gap_target_ms; /* expected time between tokens */
	pf_ms answer_target_ms; /* expected time to the whole answer; 0: none */
	pf_ms deadline_ms; /* after this the request is given up */
	bool deferrable; /* late is better than refused */
	uint64_t *models; /* name ids it may call; none: all */
	size_t n_models;
};

enum pf_endpoint_kind { PF_ENDPOINT_ENGINE, PF_ENDPOINT_PLAIN };

/** A back end and the agent beside it. */
struct pf_endpoint {
	char *name;
	uint64_t id;
	enum pf_endpoint_kind kind;
	char *agent; /* IP:PORT of the agent's RPC socket */
	char *backend; /* IP:PORT of the engine or service */
	char *zone;
	char *region;
	char *service; /* plain only: the service it runs */
	uint32_t accelerators;
	int64_t memory_bytes;
	uint32_t batch_max; /* sequences an engine runs at once */
	bool checks_fence; /* refuses orders with an old number */
	bool drain; /* takes no new work */
};

/** A call of a plain service, matched by method and path prefix. */
struct pf_call {
	char *method;
	char *path;
	bool repeatable;
};

/** A plain service; calls that match none of `calls` may not be repeated. */
struct pf_service {
	char *name;
	uint64_t id;
	struct pf_call *calls;
	size_t n_calls;
};

/** Settings of the whole deployment. */
struct pf_deployment {
	double move_cost; /* what one load must regain, seconds of service */
	double store_loads_rate; /* weight store, loads a second */
	uint32_t store_inflight; /* weight store, loads at once */
	uint32_t adapter_knee; /* adapter loads in flight before they slow */
	uint32_t link_kbit; /* region link each way, kilobits a second */
	double kv_share; /* part of an engine's memory kept free of weights */
};

struct pf_config_index;

struct pf_config {
	uint64_t revision; /* of the global head */
	struct pf_deployment deployment;
	struct pf_model *models;
	size_t n_models;
	struct pf_adapter *adapters;
	size_t n_adapters;
	struct pf_caller *callers;
	size_t n_callers;
	struct pf_endpoint *endpoints;
	size_t n_endpoints;
	struct pf_service *services;
	size_t n_services;
	struct pf_config_index *index; /* NULL: lookups scan the arrays */
};

/**
 * Builds the index of a finished config, so that lookups are logarithmic. 0,
 * or -1 when there is no memory; the config stays usable.
 */
int pf_config_index(struct pf_config *c);

/** Frees @c, allocated by malloc, and all that it holds. */
void pf_config_free(struct pf_config *c);

/** Lookups by id; NULL when absent. Results are borrowed from @c. */
const struct pf_model *pf_config_model(const struct pf_config *c, uint64_t id);
const struct pf_adapter *pf_config_adapter(const struct pf_config *c,
					   uint64_t id);
const struct pf_caller *pf_config_caller(const struct pf_config *c,
					 uint64_t id);
const struct pf_endpoint *pf_config_endpoint(const struct pf_config *c,
					     uint64_t id);
const struct pf_service *pf_config_service(const struct pf_config *c,
					   uint64_t id);

/** The caller whose key has this digest, or NULL. */
const struct pf_caller *pf_config_caller_by_key(const struct pf_config *c,
						struct pf_str sha256_hex);

/**
 * Resolves "MODEL" or "MODEL:ADAPTER" for one request: picks the version by
 * share with @draw in [0, 1). 0 with the ids set (*@adapter 0 when there is
 * none), or -1 when no such model or adapter is declared.
 */
int pf_config_resolve(const struct pf_config *c, struct pf_str name,
		      double draw, uint64_t *model, uint64_t *adapter);

/** Whether a call of @s may be repeated. */
bool pf_service_repeatable(const struct pf_service *s, struct pf_str method,
			   struct pf_str path);

PF_END_DECLS

#endif
