/*
 * Measures the path of tokens: the same engine, called directly and through
 * an entry, over connections that are kept.
 */
#ifndef PIMENTO_LOAD_PATH_H
#define PIMENTO_LOAD_PATH_H

#include <glib.h>

struct path_options {
	char *entry; /* "IP:PORT" */
	char *engine; /* "IP:PORT", or NULL: only the entry is called */
	char *key; /* of a caller */
	char *model; /* "NAME@VERSION" */
	int streams; /* at once to each; 1 alternates engine and entry */
	int requests; /* to each, over all streams */
	int tokens; /* of one answer */
};

/**
 * Prints "path: what=… tokens=… first_token_ms=…" for each of the two, the
 * median in milliseconds. 0, or -1 when an answer was not whole.
 */
int path_measure(const struct path_options *o);

#endif
