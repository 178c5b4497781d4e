/*
 * State of the load tool: the requests, their results, and the violations
 * found.
 */
#ifndef PIMENTO_LOAD_LOAD_H
#define PIMENTO_LOAD_LOAD_H

#include "load/scenario.h"

#include <jansson.h>

struct event_base;
struct evhttp_connection;

/* DEF(name): counters in the summary line and the report. */
#define LOAD_COUNTERS(DEF)                                                   \
	DEF(requests)                                                        \
	DEF(answered) /* complete and correct */                             \
	DEF(refused) /* refused as not run, retries used up */               \
	DEF(failed) /* ended with an error reply */                          \
	DEF(cut) /* connection closed before the end */                      \
	DEF(incomplete) /* said to be complete but is not, or never ended */ \
	DEF(crossed) /* holds text of another answer */                      \
	DEF(doubled) /* repeats tokens, or a key ran twice */                \
	DEF(not_run_but_ran) /* refused as not run, but ran */               \
	DEF(cut_by_stop) /* cut or failed, not explained by a fault */       \
	DEF(excused) /* cut or failed, explained by a fault */               \
	DEF(within) /* answered within the expected times */                 \
	DEF(sends)                                                           \
	DEF(resends) /* of an already answered idempotency key */            \
	DEF(waits) /* retries delayed by Retry-After */                      \
	DEF(tokens)                                                          \
	DEF(unreadable) /* stand-ins whose counts could not be read */

struct counters {
#define DEF(name) uint64_t name;
	LOAD_COUNTERS(DEF)
#undef DEF
};

/** The results of one idempotency key. */
struct key_record {
	char *receipt; /* of the first answer, or NULL */
	bool may_have_run; /* a send ended other than as "not run" */
};

/** An answer that was cut or failed. */
struct cut_answer {
	int64_t begin_ms; /* milliseconds since the epoch */
	int64_t end_ms;
	const char *entry; /* borrowed from the scenario */
	char *request_name;
	bool connection_lost; /* false: an error reply */
	char *reason;
};

struct load {
	struct event_base *base;
	struct scenario *scenario;
	struct pf_rng rng;
	uint64_t seed;
	struct counters count;
	GHashTable *in_flight; /* struct request */
	GHashTable *key_records; /* idempotency key -> struct key_record */
	GHashTable *not_run_prompts; /* hashes of prompts refused as not run */
	GHashTable *error_codes; /* error code -> count */
	GArray *first_ms; /* double */
	GArray *whole_ms;
	GArray *cut_answers; /* struct cut_answer */
};

void request_start(struct load *l, const struct caller *c);

/** Frees a connection from the event loop, after its callback returned. */
void load_free_connection(struct load *l, struct evhttp_connection *c);

/** Counts and logs the requests that never ended. */
void requests_count_unfinished(struct load *l);

/** Logs a violation, or an excused answer, to stderr. */
void load_log_finding(const char *what, const char *who, const char *detail);

/**
 * Queries the stand-ins for what they ran, adds to the counters doubled,
 * crossed, not_run_but_ran and unreadable, then ends the event loop.
 */
void audit_start(struct load *l);

/**
 * Counts each cut or failed answer as excused if the fault log at @path
 * explains it, else as cut_by_stop. @path may be NULL.
 */
void audit_cut_answers(struct load *l, const char *path);

/** The report as JSON, a new reference. */
json_t *report_json(const struct load *l, double seconds);
/** Prints the summary line, prefixed with @name, to stdout. */
void report_print(const struct load *l, const char *name);

#endif
