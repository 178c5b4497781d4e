/* Sets of records: parsing, changing, writing and comparing them. */
#include "pimentoford/records.h"

#include "record_forms.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const char *const kind_texts[] = {
#define DEF(name, text) text,
	PF_KINDS(DEF)
#undef DEF
};

const char *pf_kind_text(enum pf_kind k)
{
	return kind_texts[k];
}

int pf_kind_parse(struct pf_str s, enum pf_kind *k)
{
	for (int i = 0; i < PF_KIND_COUNT; i++) {
		if (!pf_str_eq(s, pf_str_c(kind_texts[i])))
			continue;
		*k = (enum pf_kind)i;
		return 0;
	}
	return -1;
}

static void free_strings(const struct pf_record *r)
{
	free(r->name);
	free(r->text);
	free(r->source);
}

void pf_record_clear(struct pf_record *r)
{
	free_strings(r);
	memset(r, 0, sizeof(*r));
}

void pf_records_free(struct pf_records *s)
{
	for (size_t i = 0; i < s->n; i++)
		pf_record_clear(&s->v[i]);
	free(s->v);
	memset(s, 0, sizeof(*s));
}

/* Sort order of a set: by kind, then by name. */
static int compare_to_key(const struct pf_record *r, enum pf_kind kind,
			  struct pf_str name)
{
	size_t n = strlen(r->name);
	int c;

	if (r->kind != kind)
		return r->kind < kind ? -1 : 1;
	c = memcmp(r->name, name.p, n < name.n ? n : name.n);
	if (c)
		return c;
	return n < name.n ? -1 : n > name.n;
}

/* Index of a record, or where to insert it. */
static size_t find_position(const struct pf_records *s, enum pf_kind kind,
			    struct pf_str name, bool *found)
{
	size_t lo = 0, hi = s->n;

	while (lo < hi) {
		size_t mid = lo + (hi - lo) / 2;

		if (compare_to_key(&s->v[mid], kind, name) < 0)
			lo = mid + 1;
		else
			hi = mid;
	}
	*found = lo < s->n && compare_to_key(&s->v[lo], kind, name) == 0;
	return lo;
}

const struct pf_record *pf_records_find(const struct pf_records *s,
					enum pf_kind kind, struct pf_str name)
{
	bool found;
	size_t i = find_position(s, kind, name, &found);

	return found ? &s->v[i] : NULL;
}

/* Makes room for one more record. 0, or -1 when full or out of memory. */
static int reserve_one(struct pf_records *s)
{
	size_t cap = s->cap ? s->cap * 2 : 16;
	struct pf_record *v;

	if (s->v && s->n < s->cap)
		return 0;
	if (s->n >= PF_RECORDS_MAX)
		return -1;
	v = realloc(s->v, cap * sizeof(*v));
	if (!v)
		return -1;
	s->v = v;
	s->cap = cap;
	return 0;
}

/* Inserts or replaces. Takes ownership of the strings of @r, also on error. */
static int insert_record(struct pf_records *s, struct pf_record *r)
{
	bool found;
	size_t i = find_position(s, r->kind, pf_str_c(r->name), &found);
	struct pf_record *old = found ? &s->v[i] : NULL;

	if (old) {
		pf_record_clear(old);
		*old = *r;
		return 0;
	}
	if (reserve_one(s) < 0) {
		pf_record_clear(r);
		return -1;
	}
	memmove(&s->v[i + 1], &s->v[i], (s->n - i) * sizeof(*s->v));
	s->v[i] = *r;
	s->n++;
	return 0;
}

int pf_records_put(struct pf_records *s, const struct pf_record *r)
{
	struct pf_record copy = *r;

	copy.name = pf_str_dup(pf_str_c(r->name));
	copy.text = pf_str_dup(pf_str_c(r->text));
	copy.source = pf_str_dup(pf_str_c(r->source ? r->source : ""));
	if (!copy.name || !copy.text || !copy.source) {
		pf_record_clear(&copy);
		return -1;
	}
	return insert_record(s, &copy);
}

int pf_records_del(struct pf_records *s, enum pf_kind kind, struct pf_str name)
{
	bool found;
	size_t i = find_position(s, kind, name, &found);

	if (!found)
		return -1;
	pf_record_clear(&s->v[i]);
	s->n--;
	memmove(&s->v[i], &s->v[i + 1], (s->n - i) * sizeof(*s->v));
	return 0;
}

int pf_records_copy(struct pf_records *to, const struct pf_records *from)
{
	memset(to, 0, sizeof(*to));
	for (size_t i = 0; i < from->n; i++) {
		if (pf_records_put(to, &from->v[i]) < 0) {
			pf_records_free(to);
			return -1;
		}
	}
	return 0;
}

static char *canonical_text(enum pf_kind kind,
			    const union pf_record_values *values)
{
	struct pf_text t = { 0 };
	const char *k = pf_kind_text(kind);

	pf_text_printf(&t, kind == PF_KIND_DEPLOYMENT ? "[%s]\n" : "[[%s]]\n",
		       k);
	pf_fields_text(pf_record_form(kind, values->schema), values, k, &t);
	return pf_text_take(&t);
}

/* Adds a record that was parsed without findings. */
static int add_parsed(struct pf_records *out, enum pf_kind kind,
		      const union pf_record_values *values, const char *source,
		      uint32_t line, struct pf_findings *f)
{
	const struct pf_record *other;
	struct pf_record r = { .kind = kind,
			       .schema = values->schema,
			       .line = line };
	char place[300];

	r.name = pf_record_values_name(kind, values);
	r.text = canonical_text(kind, values);
	r.source = pf_str_dup(pf_str_c(source));
	if (!r.name || !r.text || !r.source) {
		pf_record_clear(&r);
		pf_findings_add(f, source,
				"out of memory while reading records");
		return -1;
	}
	other = pf_records_find(out, kind, pf_str_c(r.name));
	if (other) {
		pf_record_place(&r, place, sizeof(place));
		pf_findings_add(f, place, "is given twice, first at %s:%u",
				other->source, other->line);
		pf_record_clear(&r);
		return -1;
	}
	if (insert_record(out, &r) < 0) {
		pf_findings_add(f, source, "has too many records; allowed: %d",
				PF_RECORDS_MAX);
		return -1;
	}
	return 0;
}

static int read_record(enum pf_kind kind, const struct pf_toml_node *table,
		       const char *source, struct pf_records *out,
		       struct pf_findings *f)
{
	union pf_record_values values;
	int rc = pf_record_values_read(kind, table, source, &values, f);

	if (rc == 0)
		rc = add_parsed(out, kind, &values, source, pf_toml_line(table),
				f);
	pf_record_values_free(kind, &values);
	return rc;
}

/* Adds the finding that a record isn't [kind] or [[kind]]. */
static int report_wrong_shape(enum pf_kind kind, const struct pf_toml_node *n,
			      const char *source, struct pf_findings *f)
{
	char place[300];

	snprintf(place, sizeof(place), "%s:%u %s", source, pf_toml_line(n),
		 pf_kind_text(kind));
	pf_findings_add(f, place, "must be written as %s%s%s",
			kind == PF_KIND_DEPLOYMENT ? "[" : "[[",
			pf_kind_text(kind),
			kind == PF_KIND_DEPLOYMENT ? "]" : "]]");
	return -1;
}

static int read_kind(enum pf_kind kind, const struct pf_toml_node *n,
		     const char *source, struct pf_records *out,
		     struct pf_findings *f)
{
	const struct pf_toml_node *e;
	int rc = 0;

	if (kind == PF_KIND_DEPLOYMENT) {
		if (pf_toml_type(n) != PF_TOML_TABLE)
			return report_wrong_shape(kind, n, source, f);
		return read_record(kind, n, source, out, f);
	}
	if (pf_toml_type(n) != PF_TOML_ARRAY)
		return report_wrong_shape(kind, n, source, f);
	for (size_t i = 0; (e = pf_toml_at(n, i, NULL)); i++) {
		if (pf_toml_type(e) != PF_TOML_TABLE)
			rc = report_wrong_shape(kind, e, source, f);
		else if (read_record(kind, e, source, out, f) < 0)
			rc = -1;
	}
	return rc;
}

int pf_records_parse(struct pf_str text, const char *source,
		     struct pf_records *out, struct pf_findings *f)
{
	struct pf_toml *doc = pf_toml_parse(text, source, f);
	const struct pf_toml_node *n;
	struct pf_str key;
	int rc = 0;

	if (!doc)
		return -1;
	for (size_t i = 0; (n = pf_toml_at(pf_toml_root(doc), i, &key)); i++) {
		enum pf_kind kind;
		char place[300];

		if (pf_kind_parse(key, &kind) == 0) {
			if (read_kind(kind, n, source, out, f) < 0)
				rc = -1;
			continue;
		}
		snprintf(place, sizeof(place), "%s:%u %.*s", source,
			 pf_toml_line(n), (int)key.n, key.p);
		pf_findings_add(f, place,
				"is an unknown kind of record; allowed: "
				"deployment, model, adapter, caller, endpoint, "
				"service");
		rc = -1;
	}
	pf_toml_free(doc);
	return rc;
}

void pf_records_text(const struct pf_records *s, struct pf_text *t)
{
	for (size_t i = 0; i < s->n; i++) {
		if (i)
			pf_text_add(t, PF_STR("\n"));
		pf_text_add(t, pf_str_c(s->v[i].text));
	}
}

void pf_records_diff(const struct pf_records *a, const struct pf_records *b,
		     pf_records_diff_fn *fn, void *ctx)
{
	size_t i = 0, j = 0;

	while (i < a->n || j < b->n) {
		const struct pf_record *x = i < a->n ? &a->v[i] : NULL;
		const struct pf_record *y = j < b->n ? &b->v[j] : NULL;
		int c = !x   ? 1
			: !y ? -1
			     : compare_to_key(x, y->kind, pf_str_c(y->name));

		if (c < 0)
			fn(ctx, x, NULL);
		else if (c > 0)
			fn(ctx, NULL, y);
		else if (strcmp(x->text, y->text) != 0)
			fn(ctx, x, y);
		i += c <= 0;
		j += c >= 0;
	}
}
