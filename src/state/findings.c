/* A list of findings. */
#include "pimentoford/findings.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static int grow(struct pf_findings *f)
{
	size_t cap = f->cap ? f->cap * 2 : 8;
	struct pf_finding *v;

	if (f->n < f->cap)
		return 0;
	v = realloc(f->v, cap * sizeof(*v));
	if (!v)
		return -1;
	f->v = v;
	f->cap = cap;
	return 0;
}

void pf_findings_add(struct pf_findings *f, const char *place, const char *fmt,
		     ...)
{
	struct pf_finding e = { 0 };
	char text[512];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	if (f->n >= PF_FINDINGS_MAX || grow(f) < 0)
		goto fail;
	e.place = strdup(place);
	e.text = strdup(text);
	if (!e.place || !e.text)
		goto fail;
	f->v[f->n++] = e;
	return;
fail:
	free(e.place);
	free(e.text);
	f->truncated = true;
}

void pf_findings_clear(struct pf_findings *f)
{
	for (size_t i = 0; i < f->n; i++) {
		free(f->v[i].place);
		free(f->v[i].text);
	}
	free(f->v);
	memset(f, 0, sizeof(*f));
}
