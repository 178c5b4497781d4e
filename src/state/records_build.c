/* Validates a set of records and converts it to a pf_config. */
#include "record_forms.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct builder {
	const struct pf_records *records;
	struct pf_config *c; /* under construction */
	struct pf_findings *findings;
	bool out_of_memory;
};

__attribute__((format(printf, 3, 4))) static void
report(struct builder *b, const struct pf_record *r, const char *fmt, ...)
{
	char place[400], text[400];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	pf_record_place(r, place, sizeof(place));
	pf_findings_add(b->findings, place, "%s", text);
}

/* The id of "ASEPB", or 0 without memory. */
static uint64_t joined_id(const char *a, char sep, const char *b)
{
	struct pf_text t = { 0 };
	uint64_t id;

	pf_text_printf(&t, "%s%c%s", a, sep, b);
	id = t.failed ? 0 : pf_id(pf_text_str(&t));
	pf_text_free(&t);
	return id;
}

/* Adds one version; takes ownership of its strings. */
static void add_version(struct builder *b, const char *name,
			struct pf_model *from, uint32_t share)
{
	struct pf_model *m = &b->c->models[b->c->n_models];

	*m = *from;
	memset(from, 0, sizeof(*from));
	m->name = pf_str_dup(pf_str_c(name));
	m->share = share;
	m->name_id = pf_id(pf_str_c(name));
	m->id = joined_id(name, '@', m->version);
	if (!m->name || !m->id)
		b->out_of_memory = true;
	b->c->n_models++;
}

static void build_model(struct builder *b, const struct pf_record *r,
			union pf_record_values *values)
{
	struct pf_model *v = values->model.versions.v;
	size_t n = values->model.versions.n;
	uint32_t sum = 0;

	if (r->schema == 1) {
		add_version(b, values->model.name, &values->model.single, 100);
		return;
	}
	for (size_t i = 0; i < n; i++) {
		sum += v[i].share;
		for (size_t j = 0; j < i; j++)
			if (strcmp(b->c->models[b->c->n_models - i + j].version,
				   v[i].version) == 0)
				report(b, r, "has version %s twice",
				       v[i].version);
		add_version(b, values->model.name, &v[i], v[i].share);
	}
	if (sum != 100)
		report(b, r, "shares of its versions sum to %u; allowed: 100",
		       sum);
}

static bool model_declared(const struct builder *b, const char *name)
{
	return pf_records_find(b->records, PF_KIND_MODEL, pf_str_c(name));
}

static void build_adapter(struct builder *b, const struct pf_record *r,
			  union pf_record_values *values)
{
	struct pf_adapter *a = &b->c->adapters[b->c->n_adapters++];

	*a = values->adapter.a;
	memset(&values->adapter.a, 0, sizeof(values->adapter.a));
	a->id = pf_id(pf_str_c(r->name));
	a->model_name_id = pf_id(pf_str_c(a->model));
	if (!model_declared(b, a->model))
		report(b, r, "model %s isn't declared", a->model);
}

static void build_caller(struct builder *b, const struct pf_record *r,
			 union pf_record_values *values)
{
	struct pf_caller *c = &b->c->callers[b->c->n_callers++];
	const struct pf_strings *models = &values->caller.models;

	*c = values->caller.c;
	memset(&values->caller.c, 0, sizeof(values->caller.c));
	c->id = pf_id(pf_str_c(c->name));
	if (!models->n)
		return;
	c->models = calloc(models->n, sizeof(*c->models));
	if (!c->models) {
		b->out_of_memory = true;
		return;
	}
	for (size_t i = 0; i < models->n; i++) {
		if (!model_declared(b, models->v[i]))
			report(b, r, "models: %s isn't declared", models->v[i]);
		c->models[c->n_models++] = pf_id(pf_str_c(models->v[i]));
	}
}

static void build_endpoint(struct builder *b, const struct pf_record *r,
			   union pf_record_values *values)
{
	struct pf_endpoint *e = &b->c->endpoints[b->c->n_endpoints++];

	*e = values->endpoint.e;
	memset(&values->endpoint.e, 0, sizeof(values->endpoint.e));
	e->id = pf_id(pf_str_c(e->name));
	if (e->service &&
	    !pf_records_find(b->records, PF_KIND_SERVICE, pf_str_c(e->service)))
		report(b, r, "service %s isn't declared", e->service);
}

static void build_service(struct builder *b, const struct pf_record *r,
			  union pf_record_values *values)
{
	struct pf_service *s = &b->c->services[b->c->n_services++];

	s->name = values->service.name;
	s->id = pf_id(pf_str_c(s->name));
	s->calls = values->service.calls.v;
	s->n_calls = values->service.calls.n;
	values->service.name = NULL;
	memset(&values->service.calls, 0, sizeof(values->service.calls));
	for (size_t i = 0; i < s->n_calls; i++)
		if (s->calls[i].path[0] != '/')
			report(b, r, "call.path %s must begin with /",
			       s->calls[i].path);
}

static void build_record(struct builder *b, const struct pf_record *r,
			 union pf_record_values *values)
{
	switch (r->kind) {
	case PF_KIND_DEPLOYMENT:
		b->c->deployment = values->deployment.d;
		break;
	case PF_KIND_MODEL:
		build_model(b, r, values);
		break;
	case PF_KIND_ADAPTER:
		build_adapter(b, r, values);
		break;
	case PF_KIND_CALLER:
		build_caller(b, r, values);
		break;
	case PF_KIND_ENDPOINT:
		build_endpoint(b, r, values);
		break;
	case PF_KIND_SERVICE:
		build_service(b, r, values);
		break;
	default:
		break;
	}
}

/* The table of the one record in @doc, its canonical text. */
static const struct pf_toml_node *record_table(const struct pf_toml *doc,
					       enum pf_kind kind)
{
	const struct pf_toml_node *n =
		pf_toml_get(pf_toml_root(doc), pf_str_c(pf_kind_text(kind)));

	if (n && kind != PF_KIND_DEPLOYMENT)
		n = pf_toml_at(n, 0, NULL);
	return n && pf_toml_type(n) == PF_TOML_TABLE ? n : NULL;
}

static void convert_record(struct builder *b, const struct pf_record *r)
{
	struct pf_toml *doc =
		pf_toml_parse(pf_str_c(r->text), r->source, b->findings);
	const struct pf_toml_node *n;
	union pf_record_values values;

	if (!doc)
		return;
	n = record_table(doc, r->kind);
	if (!n) {
		report(b, r, "has a stored text without this record");
	} else {
		if (pf_record_values_read(r->kind, n, r->source, &values,
					  b->findings) == 0)
			build_record(b, r, &values);
		pf_record_values_free(r->kind, &values);
	}
	pf_toml_free(doc);
}

/* Allocates the config's arrays for the most that the set can hold. */
static int alloc_arrays(struct builder *b)
{
	size_t n[PF_KIND_COUNT] = { 0 };
	struct pf_config *c = b->c;

	for (size_t i = 0; i < b->records->n; i++)
		n[b->records->v[i].kind] +=
			b->records->v[i].kind == PF_KIND_MODEL &&
					b->records->v[i].schema > 1
				? MODEL_VERSIONS_MAX
				: 1;
	c->models = calloc(n[PF_KIND_MODEL] + 1, sizeof(*c->models));
	c->adapters = calloc(n[PF_KIND_ADAPTER] + 1, sizeof(*c->adapters));
	c->callers = calloc(n[PF_KIND_CALLER] + 1, sizeof(*c->callers));
	c->endpoints = calloc(n[PF_KIND_ENDPOINT] + 1, sizeof(*c->endpoints));
	c->services = calloc(n[PF_KIND_SERVICE] + 1, sizeof(*c->services));
	return c->models && c->adapters && c->callers && c->endpoints &&
			       c->services
		       ? 0
		       : -1;
}

/* The hash of a value that must be unique, and the record that has it. */
struct unique_value {
	uint64_t id;
	const char *name;
};

static int compare_unique(const void *a, const void *b)
{
	const struct unique_value *x = a, *y = b;

	if (x->id != y->id)
		return x->id < y->id ? -1 : 1;
	return strcmp(x->name, y->name);
}

/* Sorts @v and adds a finding for each value that two records share. */
static void check_unique(struct builder *b, struct unique_value *v, size_t n,
			 enum pf_kind kind, const char *what)
{
	qsort(v, n, sizeof(*v), compare_unique);
	for (size_t i = 1; i < n; i++) {
		const struct pf_record *r;

		if (v[i].id != v[i - 1].id)
			continue;
		/* build_model() compares the versions of one record. */
		if (strcmp(v[i].name, v[i - 1].name) == 0)
			continue;
		r = pf_records_find(b->records, kind, pf_str_c(v[i].name));
		if (r)
			report(b, r,
			       "has the %s of %s; each must have its "
			       "own",
			       what, v[i - 1].name);
		else
			pf_findings_add(b->findings, what,
					"is the same for %s and %s", v[i].name,
					v[i - 1].name);
	}
}

/* UNIQUE(array, kind, id of its element `e`, name of the value) */
#define UNIQUE(arr, kind, id_of, what)                                    \
	do {                                                              \
		for (size_t i = 0; i < c->n_##arr; i++) {                 \
			const __typeof__(*c->arr) *e = &c->arr[i];        \
                                                                          \
			u[i] = (struct unique_value){ (id_of), e->name }; \
		}                                                         \
		check_unique(b, u, c->n_##arr, (kind), (what));           \
	} while (0)

static void check_all_unique(struct builder *b)
{
	const struct pf_config *c = b->c;
	size_t max = c->n_models + c->n_adapters + c->n_callers +
		     c->n_endpoints + c->n_services;
	struct unique_value *u = calloc(max + 1, sizeof(*u));

	if (!u) {
		b->out_of_memory = true;
		return;
	}
	UNIQUE(models, PF_KIND_MODEL, e->id, "id");
	UNIQUE(adapters, PF_KIND_ADAPTER, e->id, "id");
	UNIQUE(callers, PF_KIND_CALLER, e->id, "id");
	UNIQUE(callers, PF_KIND_CALLER, pf_id(pf_str_c(e->key_sha256)),
	       "key_sha256");
	UNIQUE(endpoints, PF_KIND_ENDPOINT, e->id, "id");
	UNIQUE(endpoints, PF_KIND_ENDPOINT, pf_id(pf_str_c(e->agent)), "agent");
	UNIQUE(endpoints, PF_KIND_ENDPOINT, pf_id(pf_str_c(e->backend)),
	       "backend");
	UNIQUE(services, PF_KIND_SERVICE, e->id, "id");
	free(u);
}

/* Default deployment settings, for sets without a deployment record. */
static void default_deployment(struct builder *b)
{
	struct pf_record r = { .kind = PF_KIND_DEPLOYMENT,
			       .schema = PF_SCHEMA_MAX,
			       .text = "[deployment]\nschema = 2\n",
			       .source = "defaults",
			       .name = "deployment" };

	convert_record(b, &r);
}

int pf_records_build(const struct pf_records *s, uint64_t revision,
		     struct pf_findings *f, struct pf_config **out)
{
	struct builder b = { .records = s, .findings = f };
	size_t before = f->n;

	*out = NULL;
	b.c = calloc(1, sizeof(*b.c));
	if (!b.c || alloc_arrays(&b) < 0)
		goto out_of_memory;
	b.c->revision = revision;
	default_deployment(&b);
	for (size_t i = 0; i < s->n; i++)
		convert_record(&b, &s->v[i]);
	check_all_unique(&b);
	if (f->n == before && !f->truncated)
		pf_memory_fit_check(b.c, f);
	if (b.out_of_memory || pf_config_index(b.c) < 0)
		goto out_of_memory;
	if (f->n > before || f->truncated)
		goto fail;
	*out = b.c;
	return 0;
out_of_memory:
	pf_findings_add(f, "records",
			"out of memory while building the configuration");
fail:
	pf_config_free(b.c);
	return -1;
}
