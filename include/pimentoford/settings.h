/*
 * Settings of the daemons, in TOML. The loader reports all findings at once;
 * a daemon with findings exits with PF_EXIT_SETTINGS before it starts anything.
 */
#ifndef PIMENTOFORD_SETTINGS_H
#define PIMENTOFORD_SETTINGS_H

#include "pimentoford/agent.h"
#include "pimentoford/entry.h"
#include "pimentoford/fields.h"
#include "pimentoford/gate.h"

PF_BEGIN_DECLS

/**
 * Reads the TOML file @path into @out as described by @form. Returns 0, or -1
 * with findings. Free @out with pf_fields_free() in both cases.
 */
int pf_settings_load(const struct pf_form *form, const char *path, void *out,
		     struct pf_findings *f);

/** Like pf_settings_load() for a text; findings name it @source. */
int pf_settings_read(const struct pf_form *form, struct pf_str text,
		     const char *source, void *out, struct pf_findings *f);

/** Prints each finding as a line "place: text". */
void pf_findings_print(const struct pf_findings *f, int fd);

/** HTTP limits for callers. */
struct pf_http_limits {
	uint32_t connections; /* concurrent */
	int64_t body; /* bytes of a request body */
	int64_t header; /* bytes of a request header */
	pf_ms read; /* timeout for receiving a request */
	pf_ms write; /* timeout for the caller to read sent data */
};

/** Settings common to all daemons: identity, location, key, platform. */
struct pf_common_settings {
	char *name; /* unique in the deployment */
	char *zone;
	char *region;
	char *key; /* deployment key; exclusive with key_file */
	char *key_file; /* path of a file with the deployment key */
	char *platform; /* IP:PORT of the platform's HTTP interface */
	int log_level; /* enum pf_log_level */
};

struct pf_entry_settings {
	struct pf_common_settings common;
	char *listen; /* HTTP for callers and operators */
	char *rpc; /* ONC RPC for other entries */
	struct pf_strings peers; /* RPC addresses of other entries, at start */
	bool operators; /* serves /admin/ */
	bool planner; /* may become its region's planner */
	uint32_t sessions; /* concurrent sessions with agents */
	pf_ms poll; /* interval of reading the table as a relay */
	pf_ms drain; /* limit of a graceful stop */
	struct pf_http_limits http;
	struct pf_entry_opts core; /* the daemon sets zone, region and ids */
};

struct pf_agent_settings {
	struct pf_common_settings common;
	char *listen; /* ONC RPC for entries */
	char *metrics; /* HTTP for /metrics, /healthz, /readyz */
	char *backend; /* the engine or the plain service */
	pf_ms load_poll; /* interval of reading the engine's load */
	pf_ms drain; /* limit of a graceful stop */
	uint32_t sessions; /* concurrent sessions with entries */
	struct pf_agent_opts core; /* memory and batch come from the record */
};

struct pf_zone_setting {
	char *name;
	char *region;
};

/** Rule for the allowances of client accounts (pimentoford/allowance.h). */
struct pf_allowance_setting {
	pf_ms window; /* 0: allowances are not enforced */
	double over; /* share of the limit by which a window may exceed it */
	double slack; /* units on top in each window */
};

struct pf_gateway_settings {
	struct pf_common_settings common;
	char *listen; /* HTTP for callers */
	char *ready; /* HTTP for readiness and metrics */
	char *datagrams; /* UDP for gateways and loaders */
	struct pf_tables zones; /* struct pf_zone_setting */
	pf_ms drain; /* limit of a graceful stop */
	double cores; /* that it may use; 0: unknown */
	int64_t memory_limit; /* bytes that the process may use */
	pf_ms load_window; /* window for the weight store's load rate */
	double load_rate_factor; /* share of the weight store's rate to use */
	struct pf_allowance_setting allowance;
	struct pf_gate_opts core; /* the daemon sets zone, region and ids */
};

struct pf_loader_settings {
	struct pf_common_settings common;
	char *datagrams; /* UDP for gateways */
	char *backend; /* the engine */
};

/**
 * The settings of each daemon. The caller sets `core` to its defaults before
 * loading; keys absent from the file keep them.
 */
extern const struct pf_form pf_entry_form;
extern const struct pf_form pf_agent_form;
extern const struct pf_form pf_gateway_form;
extern const struct pf_form pf_loader_form;

/** Checks that exactly one of key and key_file is set. Returns 0 or -1. */
int pf_common_settings_check(const struct pf_common_settings *p,
			     const char *source, struct pf_findings *f);

PF_END_DECLS

#endif
