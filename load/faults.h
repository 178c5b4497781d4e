/*
 * The log of faults injected by a soak, and the failures they explain.
 */
#ifndef PIMENTO_LOAD_FAULTS_H
#define PIMENTO_LOAD_FAULTS_H

#include "pimentoford/base.h"

#include <glib.h>

PF_BEGIN_DECLS

/** A fault explains failures of requests that began up to this long after. */
#define FAULT_EFFECT_MS 10000

struct fault_record {
	int64_t at_ms; /* milliseconds since the epoch */
	char *target; /* "IP:PORT" of an entry, or the name of another process */
};

/**
 * Parses lines of "MS TARGET", skipping others. Returns an array of struct
 * fault_record, to be released with g_array_unref().
 */
GArray *faults_parse(const char *text);

/**
 * Whether a fault explains the failure of a request that ran from @begin to
 * @end, milliseconds since the epoch. Considers only faults of target @entry,
 * or all faults if @entry is NULL.
 */
bool faults_explain(const GArray *faults, int64_t begin, int64_t end,
		    const char *entry);

PF_END_DECLS

#endif
