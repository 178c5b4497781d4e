/* What the daemons' mains share: options, settings, signals, key, usage. */
#ifndef PIMENTOFORD_PROCESS_H
#define PIMENTOFORD_PROCESS_H

#include "pimentoford/log.h"
#include "pimentoford/settings.h"

struct event_base;

PF_BEGIN_DECLS

#define PF_VERSION "0.1.0"
/** Exit status when the settings hold findings. */
#define PF_EXIT_SETTINGS 2

struct pf_process_options {
	char *settings; /* path of the TOML file; owned */
	bool check; /* check the settings and start nothing */
};

/**
 * Reads the command line; prints --help and --version. 0 to go on; otherwise
 * the process ends with *@status.
 */
int pf_process_options(int argc, char **argv, const char *summary,
		       struct pf_process_options *o, int *status);

/**
 * Loads and checks settings, printing all findings; @place may be NULL for
 * processes that need neither key nor table. 0, or -1 when there are any. @out is to be freed with pf_fields_free() either way.
 */
int pf_process_settings(const struct pf_form *form, const char *path, void *out,
			const struct pf_place *place);

/** The deployment's key, of the settings or its file; owned. NULL: none. */
char *pf_process_key(const struct pf_place *p);

struct pf_process_usage {
	uint64_t cpu_ms;
	uint64_t rss_kb;
};

void pf_process_usage(struct pf_process_usage *u);

/** A random number for ids that must differ over restarts. */
uint64_t pf_process_random(void);

/** Calls @stop in the event loop on SIGTERM and SIGINT. 0 or -1. */
int pf_process_signals(struct event_base *base, void (*stop)(void *ctx),
		       void *ctx);

/**
 * Calls @reload in the event loop on SIGHUP, and when the file at @path has
 * changed without one. @path is borrowed for the process's life. 0 or -1.
 */
int pf_process_reload(struct event_base *base, const char *path,
		      void (*reload)(void *ctx), void *ctx);

PF_END_DECLS

#endif
