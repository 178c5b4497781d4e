/*
 * A load scenario, read from TOML: the callers, what they call at which rate,
 * and the response times they expect.
 */
#ifndef PIMENTO_LOAD_SCENARIO_H
#define PIMENTO_LOAD_SCENARIO_H

#include "pimentoford/findings.h"

#include <glib.h>

enum call_kind {
	CALL_MODEL, /* a completion */
	CALL_LOOKUP, /* a repeatable call to a plain service */
	CALL_ONCE, /* a non-repeatable call, sent with an idempotency key */
};

/** A model to ask for: "NAME@VERSION[,VERSION][:ADAPTER]". */
struct target_model {
	char *requested_name; /* "NAME" or "NAME:ADAPTER" */
	char *name;
	char **versions;
	char *adapter; /* "NAME:ADAPTER" or "" */
};

/* DEF(name, default): numeric keys of a caller. */
#define CALLER_NUMBERS(DEF)                                                  \
	DEF(rate, 1) /* requests per second */                               \
	DEF(burst, 1) /* mean number of requests that arrive together */     \
	DEF(stream, 0.5) /* fraction sent as streaming requests */           \
	DEF(chat, 0) /* fraction sent as chat completions */                 \
	DEF(limit, 2000) /* output limit, tokens */                          \
	DEF(prompt_bytes, 200) /* mean prompt length */                      \
	DEF(slow_ms, 0) /* extra delay of each token or call */              \
	DEF(first_ms, 1400) /* expected time to first byte */                \
	DEF(whole_ms, 30000) /* expected time to the complete answer */      \
	DEF(resend, 0.3) /* fraction of answered keys that are sent again */ \
	DEF(tries, 6) /* maximum sends of a request */                       \
	DEF(patience_ms, 45000) /* no retry after this time since arrival */ \
	DEF(may_fail, 0) /* 1: an error is not a violation */

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
	GPtrArray *services; /* of each service stand-in, for the audit */
	GPtrArray *engines; /* of each engine stand-in, for the audit */
	GPtrArray *callers; /* struct caller */
};

/** Reads @path. Returns NULL with the errors in @f. */
struct scenario *scenario_read(const char *path, struct pf_findings *f);
void scenario_free(struct scenario *s);

#endif
