/*
 * Settings of the daemons, in TOML. One loader for every program: it reports
 * all findings at once; a program with findings starts nothing and exits 2.
 */
#ifndef PIMENTOFORD_SETTINGS_H
#define PIMENTOFORD_SETTINGS_H

#include "pimentoford/agent.h"
#include "pimentoford/entry.h"
#include "pimentoford/fields.h"
#include "pimentoford/gate.h"

PF_BEGIN_DECLS

/**
 * Reads the TOML file at @path into @out by @form. 0, or -1 with findings;
 * @out is to be freed with pf_fields_free() either way.
 */
int pf_settings_load(const struct pf_form *form, const char *path, void *out,
		     struct pf_findings *f);

/** As pf_settings_load(), from a text that @source names. */
int pf_settings_read(const struct pf_form *form, struct pf_str text,
		     const char *source, void *out, struct pf_findings *f);

/** Prints one line per finding: "place: text". */
void pf_findings_print(const struct pf_findings *f, int fd);

/** Limits towards callers. */
struct pf_http_limits {
	uint32_t connections; /* open at once */
	int64_t body; /* bytes of a request's body */
	int64_t header; /* bytes of a request's header */
	pf_ms read; /* time for a caller to send its request */
	pf_ms write; /* time for a caller to take what was sent */
};

/** What both daemons know about their place. */
struct pf_place {
	char *name; /* unique in the deployment */
	char *zone;
	char *region;
	char *key; /* the deployment's key, or */
	char *key_file; /* the file that holds it */
	char *platform; /* IP:PORT of the platform's HTTP interface */
	int log_level; /* enum pf_log_level */
};

struct pf_entry_settings {
	struct pf_place place;
	char *listen; /* callers and operators, HTTP */
	char *rpc; /* other entries, ONC RPC */
	struct pf_strings peers; /* RPC of other entries, tried at the start */
	bool operators; /* serves /admin/ here */
	bool planner; /* may plan its region */
	uint32_t sessions; /* agents with a session at once */
	pf_ms poll; /* reads the table so often when it relays */
	pf_ms drain; /* longest graceful stop */
	struct pf_http_limits http;
	struct pf_entry_opts core; /* zone, region, ids are the daemon's */
};

struct pf_agent_settings {
	struct pf_place place;
	char *listen; /* entries, ONC RPC */
	char *metrics; /* /metrics, /healthz, /readyz */
	char *backend; /* the engine or the plain service */
	pf_ms load_poll; /* asks the engine's load so often */
	pf_ms drain; /* longest graceful stop */
	uint32_t sessions; /* entries with a session at once */
	struct pf_agent_opts core; /* memory, batch come from the record */
};

/** A zone of the deployment and its region. */
struct pf_zone_setting {
	char *name;
	char *region;
};

struct pf_gateway_settings {
	struct pf_place place;
	char *listen; /* callers, HTTP */
	char *ready; /* readiness and metrics, HTTP */
	char *talk; /* other gateways, UDP */
	struct pf_rows zones; /* struct pf_zone_setting */
	pf_ms drain; /* longest graceful stop */
	pf_ms lease; /* two planners may not order within this time */
	pf_ms load_window; /* in which loads from the weight store count */
	double load_rate_factor; /* share of the weight store's rate that is used */
	struct pf_gate_opts core; /* zone, region, ids are the daemon's */
};

struct pf_loader_settings {
	struct pf_place place;
	char *talk; /* gateways, UDP */
	char *backend; /* the engine */
};

/**
 * The fields of each program's settings. The caller sets `core` to its
 * defaults first: keys that are not given keep them.
 */
extern const struct pf_form pf_entry_form;
extern const struct pf_form pf_agent_form;
extern const struct pf_form pf_gateway_form;
extern const struct pf_form pf_loader_form;

/** Checks that the fields can't say, e.g. key or key_file. 0 or -1. */
int pf_place_check(const struct pf_place *p, const char *source,
		   struct pf_findings *f);

PF_END_DECLS

#endif
