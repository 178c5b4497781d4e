/*
 * A growing text buffer. A failed allocation sets `failed`, so that a writer
 * needs only one check at the end.
 */
#ifndef PIMENTOFORD_TEXT_H
#define PIMENTOFORD_TEXT_H

#include "pimentoford/base.h"

PF_BEGIN_DECLS

struct pf_text {
	char *p; /* zero-terminated; NULL until something is added */
	size_t n;
	size_t cap;
	bool failed;
};

/** Appends @s. */
void pf_text_add(struct pf_text *t, struct pf_str s);

/** Appends formatted text. */
void pf_text_printf(struct pf_text *t, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/** Appends @s in double quotes, with escapes that TOML and JSON both accept. */
void pf_text_quote(struct pf_text *t, struct pf_str s);

/**
 * Empties the buffer and returns its text, which the caller frees. NULL if an
 * allocation failed.
 */
char *pf_text_take(struct pf_text *t);

/** Removes the first @n bytes; @n is at most the length. */
void pf_text_drop(struct pf_text *t, size_t n);

/** Empties the buffer but keeps its memory. */
void pf_text_reset(struct pf_text *t);
void pf_text_free(struct pf_text *t);

/**
 * Moves the next line of @text, without its end, to @line, zero-terminated.
 * Returns 0, or -1 if it has no end or is longer than @cap - 1.
 */
int pf_text_take_line(struct pf_str *text, char *line, size_t cap);

/** Borrows the text; valid until the buffer changes. */
static inline struct pf_str pf_text_str(const struct pf_text *t)
{
	struct pf_str s = { t->p, t->n };

	return s;
}

PF_END_DECLS

#endif
