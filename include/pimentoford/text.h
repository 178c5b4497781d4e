/* A growing text buffer. Errors are sticky: check `failed` once at the end. */
#ifndef PIMENTOFORD_TEXT_H
#define PIMENTOFORD_TEXT_H

#include "pimentoford/base.h"

PF_BEGIN_DECLS

struct pf_text {
	char *p; /* owned; zero-terminated when n > 0 */
	size_t n;
	size_t cap;
	bool failed; /* out of memory; the contents are incomplete */
};

void pf_text_add(struct pf_text *t, struct pf_str s);
void pf_text_printf(struct pf_text *t, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/** Empties the buffer and keeps its memory. */
void pf_text_reset(struct pf_text *t);
void pf_text_free(struct pf_text *t);

/** Borrows the contents. */
static inline struct pf_str pf_text_str(const struct pf_text *t)
{
	struct pf_str s = { t->p, t->n };

	return s;
}

PF_END_DECLS

#endif
