/*
 * The log of faults that a soak did, and what they explain.
 */
#ifndef PIMENTO_LOAD_FAULTS_H
#define PIMENTO_LOAD_FAULTS_H

#include "pimentoford/base.h"

#include <glib.h>

PF_BEGIN_DECLS

/** A fault explains what ended up to so long after it. */
#define FAULT_EFFECT_MS 10000

struct fault_record {
	int64_t at_ms; /* milliseconds since the epoch */
	char *target; /* an entry's "IP:PORT", or another name */
};

/** Reads lines of "MS TARGET"; others are skipped. Free with g_array_unref. */
GArray *faults_parse(const char *text);

/**
 * Whether a fault explains an answer that began and ended badly at these
 * times. @entry: only faults of this target count; NULL: all do.
 */
bool faults_explain(const GArray *faults, int64_t begin, int64_t end,
		    const char *entry);

PF_END_DECLS

#endif
