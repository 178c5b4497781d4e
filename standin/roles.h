/*
 * The roles of the stand-in: the platform, an engine, a plain service. Each
 * fills in the role of a server; its state is freed with its own function.
 */
#ifndef PIMENTO_STANDIN_ROLES_H
#define PIMENTO_STANDIN_ROLES_H

#include "standin/server.h"

struct platform_opts {
	int writes; /* rows written a second */
	int reads; /* rows or scans read a second */
	int vm_lag_ms; /* how late the VM list shows a change */
	double loads_rate; /* weight store, model loads a second */
	int loads_at_once; /* weight store, model loads in flight */
	int model_ms; /* time of one model load */
	int adapter_ms; /* time of one adapter load */
	int adapter_knee; /* adapter loads in flight before they slow */
};

struct platform;
struct platform *platform_new(struct server *s, const struct platform_opts *o);
void platform_free(struct platform *p);

struct engine_opts {
	int64_t memory; /* bytes */
	int64_t kv_bytes; /* of one token */
	int batch; /* runs at once */
	double step_ms; /* time of one step */
	double step_run_ms; /* added for each run in the batch */
	double prefill_ms; /* per prompt token */
	int prefixes; /* prompt prefixes cached */
	int lag_ms; /* age of the load report */
	int unload_ms;
	int load_ms; /* time of a load without a weight store */
	bool check_fence;
	const char *weights; /* IP:PORT of the weight store; NULL: none */
	const char *crash_on; /* as the fault of this name; NULL: none */
};

struct engine;
struct engine *engine_new(struct server *s, const struct engine_opts *o);
void engine_free(struct engine *e);

struct service;
struct service *service_new(struct server *s);
void service_free(struct service *v);

#endif
