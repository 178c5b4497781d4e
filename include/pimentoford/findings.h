/*
 * Findings: errors in settings and records that people write. They are
 * collected with their place, so that all can be reported at once.
 */
#ifndef PIMENTOFORD_FINDINGS_H
#define PIMENTOFORD_FINDINGS_H

#include "pimentoford/base.h"

PF_BEGIN_DECLS

/** One error; both strings are owned by the list. */
struct pf_finding {
	char *place; /* file, line and key: "a.toml:12 entry.listen" */
	char *text; /* the error and the allowed values */
};

struct pf_findings {
	struct pf_finding *v;
	size_t n;
	size_t cap;
	bool truncated; /* out of memory or more than PF_FINDINGS_MAX */
};

#define PF_FINDINGS_MAX 200

/** Adds a finding; copies both strings. */
void pf_findings_add(struct pf_findings *f, const char *place, const char *fmt,
		     ...) __attribute__((format(printf, 3, 4)));

/** Frees all findings and leaves an empty list. */
void pf_findings_clear(struct pf_findings *f);

static inline bool pf_findings_any(const struct pf_findings *f)
{
	return f->n > 0 || f->truncated;
}

PF_END_DECLS

#endif
