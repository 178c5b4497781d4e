/* A growing text buffer. */
#include "pimentoford/text.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Makes room for @more bytes and the terminating zero. 0, or -1. */
static int reserve(struct pf_text *t, size_t more)
{
	size_t cap = t->cap ? t->cap : 64;
	char *p;

	if (t->failed)
		return -1;
	while (cap < t->n + more + 1)
		cap *= 2;
	if (cap == t->cap)
		return 0;
	p = realloc(t->p, cap);
	if (!p) {
		t->failed = true;
		return -1;
	}
	t->p = p;
	t->cap = cap;
	return 0;
}

void pf_text_add(struct pf_text *t, struct pf_str s)
{
	if (reserve(t, s.n) < 0)
		return;
	if (s.n)
		memcpy(t->p + t->n, s.p, s.n);
	t->n += s.n;
	t->p[t->n] = '\0';
}

void pf_text_printf(struct pf_text *t, const char *fmt, ...)
{
	va_list ap;
	int n;

	va_start(ap, fmt);
	n = vsnprintf(NULL, 0, fmt, ap);
	va_end(ap);
	if (n < 0 || reserve(t, (size_t)n) < 0) {
		t->failed = true;
		return;
	}
	va_start(ap, fmt);
	vsnprintf(t->p + t->n, (size_t)n + 1, fmt, ap);
	va_end(ap);
	t->n += (size_t)n;
}

void pf_text_quote(struct pf_text *t, struct pf_str s)
{
	pf_text_add(t, PF_STR("\""));
	for (size_t i = 0; i < s.n; i++) {
		unsigned char c = (unsigned char)s.p[i];

		if (c == '"' || c == '\\')
			pf_text_printf(t, "\\%c", c);
		else if (c == '\n')
			pf_text_add(t, PF_STR("\\n"));
		else if (c < 0x20 || c == 0x7f)
			pf_text_printf(t, "\\u%04x", c);
		else
			pf_text_add(t, (struct pf_str){ s.p + i, 1 });
	}
	pf_text_add(t, PF_STR("\""));
}

char *pf_text_take(struct pf_text *t)
{
	char *p;

	pf_text_add(t, PF_STR(""));
	if (t->failed) {
		pf_text_free(t);
		return NULL;
	}
	p = t->p;
	memset(t, 0, sizeof(*t));
	return p;
}

void pf_text_drop(struct pf_text *t, size_t n)
{
	if (n == 0)
		return;
	t->n -= n;
	/* Includes the terminating zero. */
	memmove(t->p, t->p + n, t->n + 1);
}

void pf_text_reset(struct pf_text *t)
{
	t->n = 0;
	t->failed = false;
}

void pf_text_free(struct pf_text *t)
{
	free(t->p);
	memset(t, 0, sizeof(*t));
}

int pf_text_take_line(struct pf_str *text, char *line, size_t cap)
{
	const char *end = text->n ? memchr(text->p, '\n', text->n) : NULL;
	size_t n = end ? (size_t)(end - text->p) : 0;

	if (!end || n >= cap)
		return -1;
	memcpy(line, text->p, n);
	line[n] = '\0';
	text->p += n + 1;
	text->n -= n + 1;
	return 0;
}
