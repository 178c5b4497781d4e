/*
 * The parsed configuration: models, adapters, callers, endpoints, services and
 * deployment settings. Records of every schema version are converted to these
 * structs. A pf_config is immutable once built.
 */
#ifndef PIMENTOFORD_RECORD_H
#define PIMENTOFORD_RECORD_H

#include "pimentoford/base.h"

PF_BEGIN_DECLS

/** Number of priorities; 0 is the highest. */
#define PF_PRIORITIES 4

/*
 * One version of a model. Its id, pf_id("NAME@VERSION"), identifies the
 * weights that endpoints load.
 */
struct pf_model {
	char *name;
	char *version;
	uint64_t id;
	uint64_t name_id; /* pf_id(name), the same for all versions */
	uint32_t share; /* percent of the model's requests */
	int64_t weight_bytes;
	int64_t kv_token_bytes; /* KV cache memory of one token */
	uint32_t max_context; /* prompt and output tokens together */
};

/** A LoRA adapter of a model; its id is pf_id("MODEL:ADAPTER"). */
struct pf_adapter {
	char *name;
	char *model;
	uint64_t id;
	uint64_t model_name_id;
	int64_t bytes;
};

struct pf_caller {
	char *name;
	uint64_t id;
	char *key_sha256; /* lower-case hex of the bearer key's SHA-256 */
	uint8_t priority;
	double rate; /* requests per second; 0: no limit */
	uint32_t burst;
	uint32_t concurrency; /* requests in flight; 0: no limit */
	pf_ms first_token_objective_ms; /* from arrival; 0: none */
	pf_ms token_gap_objective_ms; /* between two tokens */
	pf_ms answer_objective_ms; /* from arrival to the end; 0: none */
	pf_ms deadline_ms; /* the request is cancelled after it */
	bool deferrable; /* may be queued instead of refused under overload */
	uint64_t *models; /* ids of the model names it may call; empty: all */
	size_t n_models;
};

enum pf_endpoint_kind { PF_ENDPOINT_ENGINE, PF_ENDPOINT_PLAIN };

/** A back end (engine or plain service) and its agent. */
struct pf_endpoint {
	char *name;
	uint64_t id;
	enum pf_endpoint_kind kind;
	char *agent; /* IP:PORT of the agent's RPC socket */
	char *backend; /* IP:PORT of the engine or service */
	char *zone;
	char *region;
	char *service; /* PF_ENDPOINT_PLAIN only */
	uint32_t accelerators;
	int64_t memory_bytes;
	uint32_t batch_max; /* sequences that run at the same time */
	bool checks_fence; /* refuses orders with a stale fencing token */
	bool drain; /* gets no new work */
};

/** A call of a plain service, matched by method and longest path prefix. */
struct pf_call {
	char *method;
	char *path;
	bool repeatable; /* safe to send again */
};

/** A plain service. Calls that match none of `calls` must not be repeated. */
struct pf_service {
	char *name;
	uint64_t id;
	struct pf_call *calls;
	size_t n_calls;
};

struct pf_deployment {
	double move_cost; /* minimum gain of a load, seconds of service */
	double store_loads_rate; /* loads per second from the weight store */
	uint32_t store_inflight; /* concurrent loads from the weight store */
	uint32_t adapter_knee; /* adapter loads in flight before they slow */
	uint32_t link_kbit; /* region link, each direction, kbit/s */
	double kv_share; /* fraction of engine memory reserved for KV */
};

struct pf_config_index;

struct pf_config {
	uint64_t revision; /* of the accepted configuration */
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
 * Builds the lookup index of a complete config, which makes lookups
 * logarithmic. 0, or -1 without memory; the config then works without it.
 */
int pf_config_index(struct pf_config *c);

/** Frees @c, allocated by malloc(), and everything it owns. NULL is allowed. */
void pf_config_free(struct pf_config *c);

/** Look up by id; NULL when absent. The result belongs to @c. */
const struct pf_model *pf_config_model(const struct pf_config *c, uint64_t id);
const struct pf_adapter *pf_config_adapter(const struct pf_config *c,
					   uint64_t id);
const struct pf_caller *pf_config_caller(const struct pf_config *c,
					 uint64_t id);
const struct pf_endpoint *pf_config_endpoint(const struct pf_config *c,
					     uint64_t id);
const struct pf_service *pf_config_service(const struct pf_config *c,
					   uint64_t id);

/** The caller with this key digest, or NULL. The result belongs to @c. */
const struct pf_caller *pf_config_caller_by_key(const struct pf_config *c,
						struct pf_str sha256_hex);

/**
 * Resolves "MODEL" or "MODEL:ADAPTER" for one request. @draw, a random number
 * in [0, 1), selects the version by its share. 0 with both ids set (*@adapter
 * is 0 without an adapter), or -1 when the model or adapter isn't declared.
 */
int pf_config_resolve(const struct pf_config *c, struct pf_str name,
		      double draw, uint64_t *model, uint64_t *adapter);

/** Whether a call of @s may be sent again after an unknown outcome. */
bool pf_service_repeatable(const struct pf_service *s, struct pf_str method,
			   struct pf_str path);

PF_END_DECLS

#endif
