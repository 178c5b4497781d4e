/* Settings of the daemons and their loader. */
#include "pimentoford/settings.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define HOUR_MS 3.6e6
#define GIB 1073741824.0

/* DEF(key, type, member, required, min, max, default, choices) */
#define COMMON_FIELDS(DEF)                                                \
	DEF("name", NAME, common.name, true, 0, 0, NULL, NULL)            \
	DEF("zone", NAME, common.zone, true, 0, 0, NULL, NULL)            \
	DEF("region", NAME, common.region, true, 0, 0, NULL, NULL)        \
	DEF("key", STR, common.key, false, 16, 256, NULL, NULL)           \
	DEF("key_file", STR, common.key_file, false, 1, 4096, NULL, NULL) \
	DEF("platform", ADDR, common.platform, true, 0, 0, NULL, NULL)    \
	DEF("log_level", CHOICE, common.log_level, false, 0, 0, "info",   \
	    "debug|info|warn|error")

/* OPT(DEF, type, member of core, min, max, choices); default: the core's */
#define OPT(DEF, ty, m, lo, hi, ch) \
	DEF("core." #m, ty, core.m, false, lo, hi, NULL, ch)

#define ENTRY_FIELDS(DEF)                                                     \
	COMMON_FIELDS(DEF)                                                    \
	DEF("listen", ADDR, listen, true, 0, 0, NULL, NULL)                   \
	DEF("rpc", ADDR, rpc, true, 0, 0, NULL, NULL)                         \
	DEF("peers", ADDRS, peers, false, 0, 64, NULL, NULL)                  \
	DEF("operators", BOOL, operators, false, 0, 0, "true", NULL)          \
	DEF("planner", BOOL, planner, false, 0, 0, "true", NULL)              \
	DEF("sessions", U32, sessions, false, 1, 4096, "64", NULL)            \
	DEF("poll", MS, poll, false, 50, HOUR_MS, "500ms", NULL)              \
	DEF("drain", MS, drain, false, 0, HOUR_MS, "10m", NULL)               \
	DEF("http.connections", U32, http.connections, false, 1, 1e6, "4096", \
	    NULL)                                                             \
	DEF("http.body", SIZE, http.body, false, 1024, GIB, "1MiB", NULL)     \
	DEF("http.header", SIZE, http.header, false, 1024, 1048576, "16KiB",  \
	    NULL)                                                             \
	DEF("http.read", MS, http.read, false, 100, HOUR_MS, "10s", NULL)     \
	DEF("http.write", MS, http.write, false, 100, HOUR_MS, "30s", NULL)   \
	OPT(DEF, U64, seed, 0, 9e15, NULL)                                    \
	OPT(DEF, U32, requests_max, 1, 1e6, NULL)                             \
	OPT(DEF, U32, agents_max, 1, 65536, NULL)                             \
	OPT(DEF, U32, callers_max, 1, 1e6, NULL)                              \
	OPT(DEF, U32, quarantine_max, 1, 1e6, NULL)                           \
	OPT(DEF, CHOICE, route, 0, 0,                                         \
	    "ours|round_robin|least_load|two_choices")                        \
	OPT(DEF, U32, attempts_max, 1, 64, NULL)                              \
	OPT(DEF, REAL, retry_ratio, 0, 1, NULL)                               \
	OPT(DEF, MS, backoff_min, 1, HOUR_MS, NULL)                           \
	OPT(DEF, MS, backoff_max, 1, HOUR_MS, NULL)                           \
	OPT(DEF, MS, try_timeout, 1, HOUR_MS, NULL)                           \
	OPT(DEF, MS, stall_timeout, 1, HOUR_MS, NULL)                         \
	OPT(DEF, MS, report_stale, 1, HOUR_MS, NULL)                          \
	OPT(DEF, MS, age_step, 1, HOUR_MS, NULL)                              \
	OPT(DEF, REAL, overload_slack, 0, 100, NULL)                          \
	OPT(DEF, MS, quarantine_keep, 1, 24 * HOUR_MS, NULL)                  \
	OPT(DEF, U32, crashes_max, 1, 64, NULL)                               \
	OPT(DEF, U32, depth, 0, 1024, NULL)

#define AGENT_FIELDS(DEF)                                                  \
	COMMON_FIELDS(DEF)                                                 \
	DEF("listen", ADDR, listen, true, 0, 0, NULL, NULL)                \
	DEF("metrics", ADDR, metrics, true, 0, 0, NULL, NULL)              \
	DEF("backend", ADDR, backend, true, 0, 0, NULL, NULL)              \
	DEF("load_poll", MS, load_poll, false, 10, HOUR_MS, "500ms", NULL) \
	DEF("drain", MS, drain, false, 0, HOUR_MS, "10m", NULL)            \
	DEF("sessions", U32, sessions, false, 1, 4096, "64", NULL)         \
	OPT(DEF, U64, seed, 0, 9e15, NULL)                                 \
	OPT(DEF, U32, queue_max, 1, 65536, NULL)                           \
	OPT(DEF, U32, runs_max, 1, 65536, NULL)                            \
	OPT(DEF, U32, tombstones_max, 1, 1e6, NULL)                        \
	OPT(DEF, U32, items_max, 1, 65536, NULL)                           \
	OPT(DEF, MS, tombstone_keep, 1, 24 * HOUR_MS, NULL)                \
	OPT(DEF, MS, report_every, 1, HOUR_MS, NULL)                       \
	OPT(DEF, MS, order_timeout, 1, HOUR_MS, NULL)                      \
	OPT(DEF, CHOICE, kv_policy, 0, 0, "full|quantile|safe")            \
	OPT(DEF, CHOICE, queue_policy, 0, 0, "fifo|value")                 \
	OPT(DEF, REAL, kv_quantile, 0.01, 1, NULL)                         \
	OPT(DEF, U32, grant_step, 1, 65536, NULL)                          \
	OPT(DEF, BOOL, pause_long, 0, 0, NULL)                             \
	OPT(DEF, BOOL, load_on_demand, 0, 0, NULL)                         \
	OPT(DEF, U32, loads_max, 1, 1024, NULL)

#define GATEWAY_FIELDS(DEF)                                                    \
	COMMON_FIELDS(DEF)                                                     \
	DEF("listen", ADDR, listen, true, 0, 0, NULL, NULL)                    \
	DEF("ready", ADDR, ready, true, 0, 0, NULL, NULL)                      \
	DEF("datagrams", ADDR, datagrams, true, 0, 0, NULL, NULL)              \
	DEF("drain", MS, drain, false, 0, HOUR_MS, "8s", NULL)                 \
	DEF("cores", REAL, cores, false, 0, 1e6, "0", NULL)                    \
	DEF("memory.limit", SIZE, memory_limit, false, 16 << 20, 1e15,         \
	    "256MiB", NULL)                                                    \
	DEF("load_window", MS, load_window, false, 100, HOUR_MS, "5s", NULL)   \
	DEF("load_over", REAL, load_rate_factor, false, 0, 100, "1", NULL)     \
	DEF("allowance.window", MS, allowance.window, false, 0, HOUR_MS,       \
	    "0ms", NULL)                                                       \
	DEF("allowance.over", REAL, allowance.over, false, 0, 10, "0.1", NULL) \
	DEF("allowance.slack", REAL, allowance.slack, false, 0, 1e12, "0",     \
	    NULL)                                                              \
	OPT(DEF, U32, requests_max, 1, 1e6, NULL)                              \
	OPT(DEF, U32, endpoints_max, 1, 65536, NULL)                           \
	OPT(DEF, REAL, repeat_ratio, 0, 10, NULL)                              \
	OPT(DEF, REAL, repeat_slack, 0, 1e6, NULL)                             \
	OPT(DEF, CHOICE, choosing, 0, 0, "least_time|even")                    \
	OPT(DEF, MS, repeat_window, 1000, 14000, NULL)

#define LOADER_FIELDS(DEF)                                        \
	COMMON_FIELDS(DEF)                                        \
	DEF("datagrams", ADDR, datagrams, true, 0, 0, NULL, NULL) \
	DEF("backend", ADDR, backend, true, 0, 0, NULL, NULL)

#define ZONE_FIELDS(DEF)                                \
	DEF("name", NAME, name, true, 0, 0, NULL, NULL) \
	DEF("region", NAME, region, true, 0, 0, NULL, NULL)

#define DEF_FIELD(k, ty, m, req, lo, hi, dfl, ch) \
	{ .key = (k),                             \
	  .type = PF_FIELD_##ty,                  \
	  .offset = offsetof(FORM, m),            \
	  .required = (req),                      \
	  .min = (lo),                            \
	  .max = (hi),                            \
	  .default_text = (dfl),                  \
	  .choices = (ch) },

#define FORM struct pf_entry_settings
static const struct pf_field entry_fields[] = { ENTRY_FIELDS(DEF_FIELD) };
#undef FORM
#define FORM struct pf_agent_settings
static const struct pf_field agent_fields[] = { AGENT_FIELDS(DEF_FIELD) };
#undef FORM
#define FORM struct pf_zone_setting
static const struct pf_field zone_fields[] = { ZONE_FIELDS(DEF_FIELD) };
#undef FORM
static const struct pf_form zone_form = { zone_fields,
					  G_N_ELEMENTS(zone_fields),
					  sizeof(struct pf_zone_setting) };
#define FORM struct pf_loader_settings
static const struct pf_field loader_fields[] = { LOADER_FIELDS(DEF_FIELD) };
#undef FORM
#define FORM struct pf_gateway_settings
static const struct pf_field gateway_fields[] = {
	GATEWAY_FIELDS(DEF_FIELD){ .key = "zones",
				   .type = PF_FIELD_TABLES,
				   .offset = offsetof(FORM, zones),
				   .table_form = &zone_form },
};
#undef FORM

const struct pf_form pf_loader_form = { loader_fields,
					G_N_ELEMENTS(loader_fields),
					sizeof(struct pf_loader_settings) };
const struct pf_form pf_gateway_form = { gateway_fields,
					 G_N_ELEMENTS(gateway_fields),
					 sizeof(struct pf_gateway_settings) };
const struct pf_form pf_entry_form = { entry_fields, G_N_ELEMENTS(entry_fields),
				       sizeof(struct pf_entry_settings) };
const struct pf_form pf_agent_form = { agent_fields, G_N_ELEMENTS(agent_fields),
				       sizeof(struct pf_agent_settings) };

int pf_settings_read(const struct pf_form *form, struct pf_str text,
		     const char *source, void *out, struct pf_findings *f)
{
	struct pf_toml *doc = pf_toml_parse(text, source, f);
	int rc;

	if (!doc)
		return -1;
	rc = pf_fields_read(form, pf_toml_root(doc), source, "", out, f);
	pf_toml_free(doc);
	return rc;
}

int pf_settings_load(const struct pf_form *form, const char *path, void *out,
		     struct pf_findings *f)
{
	g_autofree gchar *text = NULL;
	g_autoptr(GError) err = NULL;
	gsize n = 0;

	if (!g_file_get_contents(path, &text, &n, &err)) {
		pf_findings_add(f, path, "can't be read: %s", err->message);
		return -1;
	}
	return pf_settings_read(form, (struct pf_str){ text, n }, path, out, f);
}

void pf_findings_print(const struct pf_findings *f, int fd)
{
	for (size_t i = 0; i < f->n; i++)
		dprintf(fd, "%s: %s\n", f->v[i].place, f->v[i].text);
	if (f->truncated)
		dprintf(fd, "too many findings; the rest is omitted\n");
}

int pf_common_settings_check(const struct pf_common_settings *p,
			     const char *source, struct pf_findings *f)
{
	if (!p->key == !p->key_file) {
		pf_findings_add(f, source,
				"exactly one of key and key_file must be "
				"given");
		return -1;
	}
	return 0;
}
