/*
 * Measures the token path: calls the same engine directly and through an
 * entry, over persistent connections.
 */
#ifndef PIMENTO_LOAD_PATH_H
#define PIMENTO_LOAD_PATH_H

#include <glib.h>

struct path_options {
	char *entry; /* "IP:PORT" */
	char *engine; /* "IP:PORT", or NULL to call only the entry */
	char *key; /* API key of the caller */
	char *model; /* "NAME@VERSION" */
	int streams; /* concurrent, to each; 1 alternates engine and entry */
	int requests; /* total to each */
	int tokens; /* per answer */
};

/**
 * Prints "path: what=… answers=… tokens=… first_token_ms=…" for each target,
 * with the median time to first token. Returns 0, or -1 if an answer was
 * incomplete.
 */
int path_measure(const struct path_options *o);

#endif
