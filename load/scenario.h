/*
 * A scenario: who calls what, how often, and what each caller expects. Read
 * from TOML.
 */
#ifndef PIMENTO_LOAD_SCENARIO_H
#define PIMENTO_LOAD_SCENARIO_H

#include "pimentoford/findings.h"

#include <glib.h>

enum call_kind {
	CALL_MODEL, /* a completion */
	CALL_LOOKUP, /* a repeatable call of a plain service */
	CALL_ONCE, /* a never-repeat call with an idempotency key */
};

/** "NAME@VERSION[,VERSION][:ADAPTER]". */
struct target_model {
	char *requested_name; /* "NAME" or "NAME:ADAPTER" */
	char *name;
	char **versions;
	char *adapter; /* "NAME:ADAPTER" or "" */
};

/* DEF(name, first value): numbers of a caller. */
#define CALLER_NUMBERS(DEF)                                        \
	DEF(rate, 1) /* requests a second */                       \
	DEF(burst, 1) /* mean requests that arrive together */     \
	DEF(stream, 0.5) /* share that is streamed */              \
	DEF(chat, 0) /* share sent as a chat */                    \
	DEF(limit, 2000) /* output limit, tokens */                \
	DEF(prompt_bytes, 200) /* mean length of a prompt */       \
	DEF(slow_ms, 0) /* extra time for each token or call */    \
	DEF(first_ms, 1400) /* expected time to the first byte */  \
	DEF(whole_ms, 30000) /* expected time to the whole */      \
	DEF(resend, 0.3) /* share of keys that are sent again */   \
	DEF(tries, 6) /* sends of one request until given up */    \
	DEF(patience_ms, 45000) /* not sent again after so long */ \
	DEF(may_fail, 0) /* 1: an error is what it deserves */

struct caller {
	char *name;
	char *key;
	enum call_kind kind;
	char *service;
	char *path;
	GPtrArray *models; /* struct target_model */
#define DEF(name, first) double name;
	CALLER_NUMBERS(DEF)
#undef DEF
};

struct scenario {
	GPtrArray *entries; /* "IP:PORT" of each entry */
	GPtrArray *services; /* of each service stand-in, for its counts */
	GPtrArray *engines; /* of each engine stand-in, for its prompts */
	GPtrArray *callers; /* struct caller */
};

/** Reads @path; NULL with findings in @f. */
struct scenario *scenario_read(const char *path, struct pf_findings *f);
void scenario_free(struct scenario *s);

#endif
