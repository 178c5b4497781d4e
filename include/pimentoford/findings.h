/*
 * Findings: errors in what a person wrote, collected with their place so that
 * all of them can be reported together.
 */
#ifndef PIMENTOFORD_FINDINGS_H
#define PIMENTOFORD_FINDINGS_H

#include "pimentoford/base.h"

PF_BEGIN_DECLS

/** One error; both strings are owned by the list. */
struct pf_finding {
	char *place; /* file and key, e.g. "a.toml:12 entry.listen" */
	char *text; /* what is wrong and what is allowed */
};

struct pf_findings {
	struct pf_finding *v;
	size_t n;
	size_t cap;
	bool truncated; /* out of memory or more than PF_FINDINGS_MAX */
};

#define PF_FINDINGS_MAX 200

/** Adds a finding; copies both texts. */
void pf_findings_add(struct pf_findings *f, const char *place, const char *fmt,
		     ...) __attribute__((format(printf, 3, 4)));

/** Frees the contents and leaves an empty list. */
void pf_findings_clear(struct pf_findings *f);

static inline bool pf_findings_any(const struct pf_findings *f)
{
	return f->n > 0 || f->truncated;
}

PF_END_DECLS

#endif
