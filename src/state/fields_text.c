/* Writes the canonical text of a struct by its field descriptions. */
#include "pimentoford/fields.h"

#include <glib.h>
#include <inttypes.h>
#include <string.h>

/* Writes a size in the largest unit that divides it. */
static void size_text(struct pf_text *t, int64_t v)
{
	static const char *const units[] = { "B", "KiB", "MiB", "GiB", "TiB" };
	int u = 0;

	while (v && v % 1024 == 0 && u < 4) {
		v /= 1024;
		u++;
	}
	pf_text_printf(t, "\"%" PRId64 "%s\"", v, units[u]);
}

/* Writes the shortest text that parses as the same number: up to 17 digits. */
static void real_text(struct pf_text *t, double v)
{
	char buf[G_ASCII_DTOSTR_BUF_SIZE];

	for (int digits = 1; digits <= 17; digits++) {
		char fmt[8];

		g_snprintf(fmt, sizeof(fmt), "%%.%dg", digits);
		g_ascii_formatd(buf, sizeof(buf), fmt, v);
		if (g_ascii_strtod(buf, NULL) == v)
			break;
	}
	pf_text_printf(t, "%s", buf);
	if (!strpbrk(buf, ".e"))
		pf_text_printf(t, ".0");
}

static void choice_text(struct pf_text *t, const char *choices, int i)
{
	const char *p = choices, *bar;

	while (i-- > 0 && (bar = strchr(p, '|')))
		p = bar + 1;
	pf_text_quote(t, (struct pf_str){ p, strcspn(p, "|") });
}

static void strings_text(struct pf_text *t, const struct pf_strings *list)
{
	pf_text_printf(t, "[");
	for (size_t i = 0; i < list->n; i++) {
		pf_text_printf(t, "%s", i ? ", " : "");
		pf_text_quote(t, pf_str_c(list->v[i]));
	}
	pf_text_printf(t, "]");
}

static void value_text(struct pf_text *t, const struct pf_field *d,
		       const void *at)
{
	switch (d->type) {
	case PF_FIELD_STR:
	case PF_FIELD_NAME:
	case PF_FIELD_ADDR:
	case PF_FIELD_DIGEST:
		pf_text_quote(t, pf_str_c(*(char *const *)at));
		break;
	case PF_FIELD_U8:
		pf_text_printf(t, "%u", *(const uint8_t *)at);
		break;
	case PF_FIELD_U32:
		pf_text_printf(t, "%" PRIu32, *(const uint32_t *)at);
		break;
	case PF_FIELD_U64:
		pf_text_printf(t, "%" PRIu64, *(const uint64_t *)at);
		break;
	case PF_FIELD_SIZE:
		size_text(t, *(const int64_t *)at);
		break;
	case PF_FIELD_MS:
		pf_text_printf(t, "\"%" PRId64 "ms\"", *(const pf_ms *)at);
		break;
	case PF_FIELD_REAL:
		real_text(t, *(const double *)at);
		break;
	case PF_FIELD_BOOL:
		pf_text_printf(t, *(const bool *)at ? "true" : "false");
		break;
	case PF_FIELD_CHOICE:
		choice_text(t, d->choices, *(const int *)at);
		break;
	case PF_FIELD_NAMES:
	case PF_FIELD_ADDRS:
		strings_text(t, at);
		break;
	case PF_FIELD_TABLES:
		break;
	}
}

/* Unset strings and empty lists are omitted; tables are written last. */
static bool is_set(const struct pf_field *d, const void *at)
{
	switch (d->type) {
	case PF_FIELD_STR:
	case PF_FIELD_NAME:
	case PF_FIELD_ADDR:
	case PF_FIELD_DIGEST:
		return *(char *const *)at != NULL;
	case PF_FIELD_NAMES:
	case PF_FIELD_ADDRS:
		return ((const struct pf_strings *)at)->n > 0;
	case PF_FIELD_TABLES:
		return false;
	default:
		return true;
	}
}

static void tables_text(const struct pf_field *d,
			const struct pf_tables *tables, const char *path,
			struct pf_text *t)
{
	for (size_t i = 0; i < tables->n; i++) {
		g_autofree char *sub = g_strdup_printf("%s.%s", path, d->key);

		pf_text_printf(t, "\n[[%s]]\n", sub);
		pf_fields_text(d->table_form,
			       (const char *)tables->v +
				       i * d->table_form->size,
			       sub, t);
	}
}

void pf_fields_text(const struct pf_form *form, const void *in,
		    const char *path, struct pf_text *t)
{
	for (size_t i = 0; i < form->n; i++) {
		const struct pf_field *d = &form->fields[i];
		const char *at = (const char *)in + d->offset;

		if (!is_set(d, at))
			continue;
		pf_text_printf(t, "%s = ", d->key);
		value_text(t, d, at);
		pf_text_printf(t, "\n");
	}
	for (size_t i = 0; i < form->n; i++) {
		const struct pf_field *d = &form->fields[i];

		if (d->type == PF_FIELD_TABLES)
			tables_text(
				d, (const void *)((const char *)in + d->offset),
				path, t);
	}
}
