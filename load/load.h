/*
 * The load tool's state: what was sent, how it ended, and what was seen that
 * must not happen.
 */
#ifndef PIMENTO_LOAD_LOAD_H
#define PIMENTO_LOAD_LOAD_H

#include "load/scenario.h"

#include <jansson.h>

struct event_base;
struct evhttp_connection;

/* DEF(name): counters of the closing line and the report. */
#define LOAD_COUNTERS(DEF)                                                  \
	DEF(requests)                                                       \
	DEF(answered) /* whole and right */                                 \
	DEF(refused) /* given up after refusals as not run */               \
	DEF(failed) /* ended with an error that says so */                  \
	DEF(cut) /* ended without an end, visibly */                        \
	DEF(incomplete) /* called whole and was not, or never ended */      \
	DEF(crossed)                                                        \
	DEF(doubled)                                                        \
	DEF(not_run_but_ran)                                                \
	DEF(cut_by_stop) /* cut or failed with no fault that explains it */ \
	DEF(excused) /* cut or failed, and a fault explains it */           \
	DEF(within) /* answered within expectation */                       \
	DEF(sends)                                                          \
	DEF(resends) /* of a key that had been answered */                  \
	DEF(waits) /* Retry-After honoured */                               \
	DEF(tokens)                                                         \
	DEF(unreadable) /* counts that a stand-in did not give */

struct counters {
#define DEF(name) uint64_t name;
	LOAD_COUNTERS(DEF)
#undef DEF
};

/** All that is known of one idempotency key. */
struct key_record {
	char *receipt; /* of the first answer; NULL: none yet */
	bool may_have_run; /* some send did not end as "not run" */
};

/** An answer that ended without its end. */
struct cut_answer {
	int64_t begin_ms; /* milliseconds since the epoch */
	int64_t end_ms;
	const char *entry; /* borrowed from the scenario */
	char *request_name;
	bool connection_lost; /* the connection went; else an error said so */
	char *reason;
};

struct load {
	struct event_base *base;
	struct scenario *scenario;
	struct pf_rng rng;
	uint64_t seed;
	struct counters count;
	GHashTable *in_flight; /* struct request, those that have not ended */
	GHashTable *key_records; /* idempotency key to struct key_record */
	GHashTable *not_run_prompts; /* hashes of prompts refused as not run */
	GHashTable *error_codes; /* refusal code to its count */
	GArray *first_ms; /* double */
	GArray *whole_ms;
	GArray *cut_answers; /* struct cut */
};

/** Sends one new request of @c. */
void request_start(struct load *l, const struct caller *c);

/** Frees a connection whose request ended, once its callback is over. */
void load_free_connection(struct load *l, struct evhttp_connection *c);

/** Counts and names the requests that never ended. */
void requests_count_unfinished(struct load *l);

/** What was found wrong, as a line on stderr. */
void load_log_finding(const char *what, const char *who, const char *detail);

/**
 * Reads the counts of the stand-ins, then ends the event loop: adds to
 * doubled and not_run_but_ran.
 */
void audit_start(struct load *l);

/** Counts the cuts that no line of the fault log at @path explains. */
void audit_cut_answers(struct load *l, const char *path);

/** The report as JSON. */
json_t *report_json(const struct load *l, double seconds);
void report_print(const struct load *l, const char *name);

#endif
