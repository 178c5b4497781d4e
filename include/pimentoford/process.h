/*
 * Process setup shared by the daemons: command line, settings, deployment key,
 * signals, resource usage.
 */
#ifndef PIMENTOFORD_PROCESS_H
#define PIMENTOFORD_PROCESS_H

#include "pimentoford/log.h"
#include "pimentoford/settings.h"

struct event_base;

PF_BEGIN_DECLS

#define PF_VERSION "0.1.0"
/** Exit status for a bad command line or settings with findings. */
#define PF_EXIT_SETTINGS 2

struct pf_process_options {
	char *settings; /* path of the TOML file; owned */
	bool check; /* check the settings and start nothing */
};

/**
 * Parses the command line; handles --help and --version. Returns 0 to
 * continue, or -1 when the process is to exit with *@status.
 */
int pf_process_options(int argc, char **argv, const char *summary,
		       struct pf_process_options *o, int *status);

/**
 * Loads and checks the settings and prints all findings to stderr. @common may
 * be NULL for processes without a deployment key. Returns 0, or -1 with
 * findings. Free @out with pf_fields_free() in both cases.
 */
int pf_process_settings(const struct pf_form *form, const char *path, void *out,
			const struct pf_common_settings *common);

/**
 * Returns the deployment key from `key` or `key_file`, owned by the caller.
 * NULL when the file can't be read, its key is too short or out of memory.
 */
char *pf_process_key(const struct pf_common_settings *p);

struct pf_process_usage {
	uint64_t cpu_ms;
	uint64_t rss_kb;
};

/** CPU time and resident memory of this process; 0 when unknown. */
void pf_process_usage(struct pf_process_usage *u);

/** A random nonzero number for ids that must differ across restarts. */
uint64_t pf_process_random(void);

/** Calls @stop from the event loop on SIGTERM and SIGINT. Returns 0 or -1. */
int pf_process_signals(struct event_base *base, void (*stop)(void *ctx),
		       void *ctx);

/**
 * Calls @reload from the event loop on SIGHUP and when the file @path changes,
 * which is polled. @path must outlive the event loop. Returns 0 or -1.
 */
int pf_process_reload(struct event_base *base, const char *path,
		      void (*reload)(void *ctx), void *ctx);

PF_END_DECLS

#endif
