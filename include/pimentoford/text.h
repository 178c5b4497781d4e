/*
 * A growing text buffer. A failed allocation is remembered in `failed`, so
 * that a writer checks once at the end.
 */
#ifndef PIMENTOFORD_TEXT_H
#define PIMENTOFORD_TEXT_H

#include "pimentoford/base.h"

PF_BEGIN_DECLS

struct pf_text {
	char *p; /* zero-terminated once anything was added */
	size_t n;
	size_t cap;
	bool failed;
};

void pf_text_add(struct pf_text *t, struct pf_str s);

/** Adds formatted text. */
void pf_text_printf(struct pf_text *t, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/** Adds @s in double quotes, escaped as TOML and JSON both read it. */
void pf_text_quote(struct pf_text *t, struct pf_str s);

/** Hands over the text, which the caller frees, or NULL when it failed. */
char *pf_text_take(struct pf_text *t);

/** Takes the first @n bytes away; there are so many. */
void pf_text_drop(struct pf_text *t, size_t n);

/** Empties the buffer and keeps its memory. */
void pf_text_reset(struct pf_text *t);
void pf_text_free(struct pf_text *t);

static inline struct pf_str pf_text_str(const struct pf_text *t)
{
	struct pf_str s = { t->p, t->n };

	return s;
}

PF_END_DECLS

#endif
