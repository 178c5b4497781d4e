/*
 * The roles of the stand-in: the platform, an engine, a plain service. Each
 * fills in routes and state of a server; its own state is freed at the end.
 */
#ifndef PIMENTO_STANDIN_ROLES_H
#define PIMENTO_STANDIN_ROLES_H

#include "standin/server.h"

#include <glib.h>

/* DEF(field, type, kind, default, option, text, unit) */
#define STANDIN_OPTIONS(DEF)                                                   \
	DEF(role, char *, STRING, NULL, "role", "What to play",                \
	    "platform|engine|service")                                         \
	DEF(listen, char *, STRING, NULL, "listen", "Where to listen",         \
	    "IP:PORT")                                                         \
	DEF(version, gboolean, NONE, FALSE, "version", "Print the version",    \
	    NULL)                                                              \
	DEF(writes, int, INT, 400, "writes", "Table: rows written a second",   \
	    "N")                                                               \
	DEF(reads, int, INT, 2000, "reads", "Table: reads a second", "N")      \
	DEF(vm_lag, int, INT, 2000, "vm-lag", "Lag of the VM list", "MS")      \
	DEF(loads_rate, double, DOUBLE, 2, "loads-rate",                       \
	    "Weight store: model loads a second", "N")                         \
	DEF(loads_at_once, int, INT, 11, "loads-at-once",                      \
	    "Weight store: model loads in flight", "N")                        \
	DEF(model_load, int, INT, 300, "model-load",                           \
	    "Weight store: time of a model load", "MS")                        \
	DEF(adapter_load, int, INT, 8, "adapter-load",                         \
	    "Weight store: time of an adapter load", "MS")                     \
	DEF(adapter_knee, int, INT, 90, "adapter-knee",                        \
	    "Weight store: adapter loads before they slow", "N")               \
	DEF(memory, gint64, INT64, G_GINT64_CONSTANT(16) << 30, "memory",      \
	    "Engine: accelerator memory", "BYTES")                             \
	DEF(kv_bytes, gint64, INT64, 131072, "kv-bytes",                       \
	    "Engine: KV memory of a token", "BYTES")                           \
	DEF(batch, int, INT, 16, "batch", "Engine: runs at once", "N")         \
	DEF(step, double, DOUBLE, 5, "step", "Engine: time of a step", "MS")   \
	DEF(step_run, double, DOUBLE, 0.2, "step-run",                         \
	    "Engine: time added to a step by each run", "MS")                  \
	DEF(prefill, double, DOUBLE, 0.05, "prefill",                          \
	    "Engine: time per prompt token", "MS")                             \
	DEF(prefixes, int, INT, 256, "prefixes",                               \
	    "Engine: prompt prefixes cached", "N")                             \
	DEF(lag, int, INT, 500, "lag", "Engine: age of the load report", "MS") \
	DEF(unload, int, INT, 20, "unload", "Engine: time of an unload", "MS") \
	DEF(load, int, INT, 50, "load",                                        \
	    "Engine: time of a load without a weight store", "MS")             \
	DEF(weights, char *, STRING, NULL, "weights",                          \
	    "Engine: the weight store", "IP:PORT")                             \
	DEF(crash_on, char *, STRING, NULL, "crash-on",                        \
	    "Engine: end when a prompt contains this", "TEXT")                 \
	DEF(check_fence, gboolean, NONE, FALSE, "check-fence",                 \
	    "Engine: refuse orders with an old number", NULL)

struct options {
#define DEF(field, type, kind, value, option, text, unit) type field;
	STANDIN_OPTIONS(DEF)
#undef DEF
};

/** Each borrows @o and @s, which outlive it. */
struct platform *platform_new(struct server *s, const struct options *o);
void platform_free(struct platform *p);
struct engine *engine_new(struct server *s, const struct options *o);
void engine_free(struct engine *e);
struct service *service_new(struct server *s);
void service_free(struct service *v);

#endif
