/* Parses TOML tables into structs by their field descriptions. */
#include "pimentoford/fields.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* State while one table is parsed. */
struct reader {
	const char *source;
	const char *path;
	struct pf_findings *findings;
	bool failed; /* a finding was added */
};

static void describe_allowed(const struct pf_field *d, char *buf, size_t n)
{
	switch (d->type) {
	case PF_FIELD_STR:
		snprintf(buf, n, "a text of 1 to %.0f bytes", d->max);
		break;
	case PF_FIELD_NAME:
		snprintf(buf, n,
			 "a name of letters, digits and ._-, at most "
			 "%d",
			 PF_NAME_MAX);
		break;
	case PF_FIELD_ADDR:
		snprintf(buf, n, "\"IP:PORT\" with an IP number");
		break;
	case PF_FIELD_DIGEST:
		snprintf(buf, n, "64 lower-case hex digits");
		break;
	case PF_FIELD_U8:
	case PF_FIELD_U32:
	case PF_FIELD_U64:
		snprintf(buf, n, "an integer from %.0f to %.0f", d->min,
			 d->max);
		break;
	case PF_FIELD_SIZE:
		snprintf(buf, n,
			 "a size such as \"16GiB\", from %.0f to %.0f bytes",
			 d->min, d->max);
		break;
	case PF_FIELD_MS:
		snprintf(buf, n,
			 "a duration such as \"1.4s\" or \"73ms\", from %.0f "
			 "to %.0f ms",
			 d->min, d->max);
		break;
	case PF_FIELD_REAL:
		snprintf(buf, n, "a number from %g to %g", d->min, d->max);
		break;
	case PF_FIELD_BOOL:
		snprintf(buf, n, "true or false");
		break;
	case PF_FIELD_CHOICE:
		snprintf(buf, n, "one of %s", d->choices);
		break;
	case PF_FIELD_NAMES:
		snprintf(buf, n, "a list of at most %.0f names", d->max);
		break;
	case PF_FIELD_ADDRS:
		snprintf(buf, n, "a list of %.0f to %.0f \"IP:PORT\"", d->min,
			 d->max);
		break;
	case PF_FIELD_TABLES:
		snprintf(buf, n, "%.0f to %.0f tables [[...%s]]", d->min,
			 d->max, d->key);
		break;
	}
}

static void report(struct reader *r, const char *key, uint32_t line,
		   const char *what, const char *allow)
{
	char place[512];

	r->failed = true;
	snprintf(place, sizeof(place), "%s:%u %s%s%s", r->source, line, r->path,
		 r->path[0] ? "." : "", key);
	pf_findings_add(r->findings, place, "%s; allowed: %s", what, allow);
}

static void report_field(struct reader *r, const struct pf_field *d,
			 uint32_t line, const char *what)
{
	char allow[200];

	describe_allowed(d, allow, sizeof(allow));
	report(r, d->key, line, what, allow);
}

static bool in_range(const struct pf_field *d, double v)
{
	return d->max == 0 || (v >= d->min && v <= d->max);
}

static bool digest_valid(struct pf_str s)
{
	for (size_t i = 0; i < s.n; i++)
		if (!strchr("0123456789abcdef", s.p[i]) || !s.p[i])
			return false;
	return s.n == 64;
}

static bool text_valid(const struct pf_field *d, struct pf_str s)
{
	if (s.n && memchr(s.p, '\0', s.n))
		return false;
	switch (d->type) {
	case PF_FIELD_NAME:
	case PF_FIELD_NAMES:
		return pf_name_valid(s);
	case PF_FIELD_ADDR:
	case PF_FIELD_ADDRS:
		return pf_addr_valid(s);
	case PF_FIELD_DIGEST:
		return digest_valid(s);
	default:
		return s.n >= 1 && in_range(d, (double)s.n);
	}
}

static int put_text(const struct pf_field *d, struct pf_str s, void *at)
{
	char *copy;

	if (!text_valid(d, s))
		return -1;
	copy = pf_str_dup(s);
	if (!copy)
		return -1;
	memcpy(at, &copy, sizeof(copy));
	return 0;
}

static int put_choice(const struct pf_field *d, struct pf_str s, void *at)
{
	const char *p = d->choices;

	for (int i = 0; p; i++) {
		const char *bar = strchr(p, '|');
		struct pf_str c = { p, bar ? (size_t)(bar - p) : strlen(p) };

		if (pf_str_eq(c, s)) {
			memcpy(at, &i, sizeof(i));
			return 0;
		}
		p = bar ? bar + 1 : NULL;
	}
	return -1;
}

static int put_int(const struct pf_field *d, int64_t v, void *at)
{
	uint32_t v32 = (uint32_t)v;
	uint8_t v8 = (uint8_t)v;

	if (!in_range(d, (double)v) || v < 0)
		return -1;
	switch (d->type) {
	case PF_FIELD_U8:
		if (v != v8)
			return -1;
		memcpy(at, &v8, sizeof(v8));
		return 0;
	case PF_FIELD_U32:
		if (v != v32)
			return -1;
		memcpy(at, &v32, sizeof(v32));
		return 0;
	default:
		memcpy(at, &v, sizeof(v));
		return 0;
	}
}

static int put_real(const struct pf_field *d, double v, void *at)
{
	if (!(v == v) || !in_range(d, v))
		return -1;
	memcpy(at, &v, sizeof(v));
	return 0;
}

/* Parses a default, or the text of a size, a duration or a string. */
static int put_from_text(const struct pf_field *d, struct pf_str s, void *at)
{
	int64_t v;
	bool yes;

	switch (d->type) {
	case PF_FIELD_SIZE:
		return pf_size_parse(s, &v) < 0 ? -1 : put_int(d, v, at);
	case PF_FIELD_MS:
		return pf_duration_parse(s, &v) < 0 ? -1 : put_int(d, v, at);
	case PF_FIELD_CHOICE:
		return put_choice(d, s, at);
	case PF_FIELD_U8:
	case PF_FIELD_U32:
	case PF_FIELD_U64:
		return put_int(d, g_ascii_strtoll(s.p, NULL, 10), at);
	case PF_FIELD_REAL:
		return put_real(d, g_ascii_strtod(s.p, NULL), at);
	case PF_FIELD_BOOL:
		yes = pf_str_eq(s, PF_STR("true"));
		memcpy(at, &yes, sizeof(yes));
		return 0;
	default:
		return put_text(d, s, at);
	}
}

static int put_scalar(const struct pf_field *d, const struct pf_toml_node *n,
		      void *at)
{
	struct pf_str s;
	int64_t v;
	double real;
	bool yes;

	switch (d->type) {
	case PF_FIELD_U8:
	case PF_FIELD_U32:
	case PF_FIELD_U64:
		return pf_toml_int(n, &v) < 0 ? -1 : put_int(d, v, at);
	case PF_FIELD_REAL:
		return pf_toml_real(n, &real) < 0 ? -1 : put_real(d, real, at);
	case PF_FIELD_BOOL:
		if (pf_toml_bool(n, &yes) < 0)
			return -1;
		memcpy(at, &yes, sizeof(yes));
		return 0;
	case PF_FIELD_SIZE:
		if (pf_toml_int(n, &v) == 0)
			return put_int(d, v, at);
		break;
	default:
		break;
	}
	return pf_toml_str(n, &s) < 0 ? -1 : put_from_text(d, s, at);
}

static int put_strings(const struct pf_field *d, const struct pf_toml_node *n,
		       void *at)
{
	struct pf_strings *list = at;
	size_t count = pf_toml_count(n);

	if (pf_toml_type(n) != PF_TOML_ARRAY || !in_range(d, (double)count))
		return -1;
	list->v = calloc(count + 1, sizeof(*list->v));
	if (!list->v)
		return -1;
	for (size_t i = 0; i < count; i++) {
		struct pf_str s;

		if (pf_toml_str(pf_toml_at(n, i, NULL), &s) < 0)
			return -1;
		if (put_text(d, s, &list->v[i]) < 0)
			return -1;
		list->n++;
	}
	return 0;
}

/* Findings inside a table carry its own line and path. */
static int put_tables(struct reader *r, const struct pf_field *d,
		      const struct pf_toml_node *n, void *at)
{
	struct pf_tables *tables = at;
	size_t count = pf_toml_count(n), size = d->table_form->size;
	char path[200];

	if (pf_toml_type(n) != PF_TOML_ARRAY || !in_range(d, (double)count))
		return -1;
	tables->v = calloc(count + 1, size);
	if (!tables->v)
		return -1;
	snprintf(path, sizeof(path), "%s.%s", r->path, d->key);
	for (size_t i = 0; i < count; i++) {
		const struct pf_toml_node *table = pf_toml_at(n, i, NULL);

		if (pf_toml_type(table) != PF_TOML_TABLE)
			return -1;
		tables->n++;
		if (pf_fields_read(d->table_form, table, r->source, path,
				   (char *)tables->v + i * size,
				   r->findings) < 0)
			r->failed = true;
	}
	return 0;
}

/* The node of @key, which may be "table.key"; NULL when absent. */
static const struct pf_toml_node *find_node(const struct pf_toml_node *table,
					    const char *key)
{
	const char *dot = strchr(key, '.');
	const struct pf_toml_node *sub;

	if (!dot)
		return pf_toml_get(table, pf_str_c(key));
	sub = pf_toml_get(table, (struct pf_str){ key, (size_t)(dot - key) });
	return sub ? pf_toml_get(sub, pf_str_c(dot + 1)) : NULL;
}

static void read_field(struct reader *r, const struct pf_field *d,
		       const struct pf_toml_node *table, void *at)
{
	const struct pf_toml_node *n = find_node(table, d->key);
	int rc;

	if (!n && d->required) {
		report_field(r, d, pf_toml_line(table), "is missing");
		return;
	}
	if (!n) {
		if (d->default_text &&
		    put_from_text(d, pf_str_c(d->default_text), at) < 0)
			report_field(r, d, pf_toml_line(table),
				     "has an invalid default");
		return;
	}
	if (d->type == PF_FIELD_TABLES)
		rc = put_tables(r, d, n, at);
	else if (d->type == PF_FIELD_NAMES || d->type == PF_FIELD_ADDRS)
		rc = put_strings(d, n, at);
	else
		rc = put_scalar(d, n, at);
	if (rc < 0)
		report_field(r, d, pf_toml_line(n), "has a wrong value");
}

enum key_match { KEY_UNKNOWN, KEY_FIELD, KEY_TABLE };

/* Whether @k is a field of the form or a table that holds fields. */
static enum key_match match_key(const struct pf_form *form, struct pf_str k)
{
	for (size_t i = 0; i < form->n; i++) {
		const char *key = form->fields[i].key;

		if (strncmp(key, k.p, k.n) != 0)
			continue;
		if (key[k.n] == '\0')
			return KEY_FIELD;
		if (key[k.n] == '.')
			return KEY_TABLE;
	}
	return KEY_UNKNOWN;
}

static void list_keys(const struct pf_form *form, char *buf, size_t n)
{
	size_t used = 0;

	buf[0] = '\0';
	for (size_t i = 0; i < form->n && used < n; i++)
		used += (size_t)snprintf(buf + used, n - used, "%s%s",
					 i ? ", " : "", form->fields[i].key);
}

/*
 * Reports unknown keys of @table. @prefix is the name of a sub-table, or empty
 * at the top level.
 */
static void check_keys(struct reader *r, const struct pf_form *form,
		       const struct pf_toml_node *table, const char *prefix)
{
	const struct pf_toml_node *n;
	struct pf_str k;

	for (size_t i = 0; (n = pf_toml_at(table, i, &k)); i++) {
		char full[160], keys[300];
		enum key_match match;

		snprintf(full, sizeof(full), "%s%s%.*s", prefix,
			 prefix[0] ? "." : "", (int)k.n, k.p);
		match = match_key(form, pf_str_c(full));
		if (match == KEY_TABLE && !prefix[0] &&
		    pf_toml_type(n) == PF_TOML_TABLE) {
			check_keys(r, form, n, full);
			continue;
		}
		if (match == KEY_FIELD)
			continue;
		list_keys(form, keys, sizeof(keys));
		report(r, full, pf_toml_line(n),
		       match == KEY_UNKNOWN ? "is an unknown key"
					    : "must be a table",
		       keys);
	}
}

int pf_fields_read(const struct pf_form *form, const struct pf_toml_node *table,
		   const char *source, const char *path, void *out,
		   struct pf_findings *f)
{
	struct reader r = { source, path, f, false };

	for (size_t i = 0; i < form->n; i++)
		read_field(&r, &form->fields[i], table,
			   (char *)out + form->fields[i].offset);
	check_keys(&r, form, table, "");
	return r.failed ? -1 : 0;
}

static void free_strings(struct pf_strings *list)
{
	for (size_t i = 0; i < list->n; i++)
		free(list->v[i]);
	free(list->v);
	memset(list, 0, sizeof(*list));
}

static void free_tables(const struct pf_form *form, struct pf_tables *tables)
{
	for (size_t i = 0; i < tables->n; i++)
		pf_fields_free(form, (char *)tables->v + i * form->size);
	free(tables->v);
	memset(tables, 0, sizeof(*tables));
}

void pf_fields_free(const struct pf_form *form, void *out)
{
	for (size_t i = 0; i < form->n; i++) {
		const struct pf_field *d = &form->fields[i];
		void *at = (char *)out + d->offset;

		switch (d->type) {
		case PF_FIELD_STR:
		case PF_FIELD_NAME:
		case PF_FIELD_ADDR:
		case PF_FIELD_DIGEST:
			free(*(char **)at);
			*(char **)at = NULL;
			break;
		case PF_FIELD_NAMES:
		case PF_FIELD_ADDRS:
			free_strings(at);
			break;
		case PF_FIELD_TABLES:
			free_tables(d->table_form, at);
			break;
		default:
			break;
		}
	}
}
