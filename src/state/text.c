/* Growing text buffer. */
#include "pimentoford/text.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static int reserve(struct pf_text *t, size_t more)
{
	size_t need = t->n + more + 1;
	size_t cap = t->cap ? t->cap : 64;
	char *p;

	if (need <= t->cap)
		return 0;
	while (cap < need)
		cap *= 2;
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
	int len;

	va_start(ap, fmt);
	len = vsnprintf(NULL, 0, fmt, ap);
	va_end(ap);
	if (len < 0 || reserve(t, (size_t)len) < 0) {
		t->failed = true;
		return;
	}
	va_start(ap, fmt);
	vsnprintf(t->p + t->n, (size_t)len + 1, fmt, ap);
	va_end(ap);
	t->n += (size_t)len;
}

void pf_text_reset(struct pf_text *t)
{
	t->n = 0;
	t->failed = false;
}

void pf_text_free(struct pf_text *t)
{
	free(t->p);
	t->p = NULL;
	t->n = 0;
	t->cap = 0;
}
