/*
 * The roles of the stand-in: platform, engine or plain service. A role sets
 * the routes and the /admin/state callback of the server.
 */
#ifndef PIMENTO_STANDIN_ROLES_H
#define PIMENTO_STANDIN_ROLES_H

#include "standin/server.h"

#include <glib.h>

/* DEF(field, type, kind, default, option, text, unit) */
#define STANDIN_OPTIONS(DEF)                                                   \
	DEF(role, char *, STRING, NULL, "role", "Role to run",                 \
	    "platform|engine|service")                                         \
	DEF(listen, char *, STRING, NULL, "listen", "Address to listen on",    \
	    "IP:PORT")                                                         \
	DEF(version, gboolean, NONE, FALSE, "version", "Print the version",    \
	    NULL)                                                              \
	DEF(writes, int, INT, 400, "writes",                                   \
	    "Table: row writes allowed per second", "N")                       \
	DEF(reads, int, INT, 2000, "reads", "Table: reads allowed per second", \
	    "N")                                                               \
	DEF(vm_lag, int, INT, 2000, "vm-lag",                                  \
	    "Delay until a new VM list is served", "MS")                       \
	DEF(loads_rate, double, DOUBLE, 2, "loads-rate",                       \
	    "Weight store: model loads allowed per second", "N")               \
	DEF(loads_at_once, int, INT, 11, "loads-at-once",                      \
	    "Weight store: max model loads in flight", "N")                    \
	DEF(model_load, int, INT, 300, "model-load",                           \
	    "Weight store: duration of a model load", "MS")                    \
	DEF(adapter_load, int, INT, 8, "adapter-load",                         \
	    "Weight store: duration of an adapter load", "MS")                 \
	DEF(adapter_knee, int, INT, 90, "adapter-knee",                        \
	    "Weight store: concurrent adapter loads before they slow down",    \
	    "N")                                                               \
	DEF(memory, gint64, INT64, G_GINT64_CONSTANT(16) << 30, "memory",      \
	    "Engine: accelerator memory", "BYTES")                             \
	DEF(kv_bytes, gint64, INT64, 131072, "kv-bytes",                       \
	    "Engine: KV cache memory per token", "BYTES")                      \
	DEF(batch, int, INT, 16, "batch", "Engine: max runs in a batch", "N")  \
	DEF(step, double, DOUBLE, 5, "step",                                   \
	    "Engine: base time of a batch step", "MS")                         \
	DEF(step_run, double, DOUBLE, 0.2, "step-run",                         \
	    "Engine: step time added by each run in the batch", "MS")          \
	DEF(prefill, double, DOUBLE, 0.05, "prefill",                          \
	    "Engine: prefill time per token", "MS")                            \
	DEF(prefixes, int, INT, 256, "prefixes",                               \
	    "Engine: size of the prefix cache, in prompts", "N")               \
	DEF(lag, int, INT, 500, "lag",                                         \
	    "Engine: interval between load reports", "MS")                     \
	DEF(unload, int, INT, 20, "unload", "Engine: duration of an unload",   \
	    "MS")                                                              \
	DEF(load, int, INT, 50, "load",                                        \
	    "Engine: duration of a load without a weight store", "MS")         \
	DEF(weights, char *, STRING, NULL, "weights",                          \
	    "Engine: address of the weight store", "IP:PORT")                  \
	DEF(crash_on, char *, STRING, NULL, "crash-on",                        \
	    "Engine: exit when a prompt contains this text", "TEXT")           \
	DEF(check_fence, gboolean, NONE, FALSE, "check-fence",                 \
	    "Engine: refuse orders with a stale fencing token", NULL)

struct options {
#define DEF(field, type, kind, value, option, text, unit) type field;
	STANDIN_OPTIONS(DEF)
#undef DEF
};

/**
 * Creates a role and sets the routes of @s. @s and @o are borrowed and must
 * outlive the role.
 */
struct platform *platform_new(struct server *s, const struct options *o);
void platform_free(struct platform *p);
struct engine *engine_new(struct server *s, const struct options *o);
void engine_free(struct engine *e);
struct service *service_new(struct server *s);
void service_free(struct service *v);

#endif
