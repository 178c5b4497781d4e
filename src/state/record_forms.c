/* Field descriptions of the records in each schema. */
#include "record_forms.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TIB 1099511627776.0
#define DAY_MS 86400000.0

/* DEF(key, type, member, required, min, max, default, choices) */
#define DEF_FIELD(k, ty, m, req, lo, hi, dfl, ch) \
	{ .key = (k),                             \
	  .type = PF_FIELD_##ty,                  \
	  .offset = offsetof(FORM, m),            \
	  .required = (req),                      \
	  .min = (lo),                            \
	  .max = (hi),                            \
	  .default_text = (dfl),                  \
	  .choices = (ch) },

#define SCHEMA(DEF) DEF("schema", U32, schema, true, 1, 2, NULL, NULL)

/* Fields of one model version; @p is the prefix of the members. */
#define VERSION_FIELDS(DEF, p)                                              \
	DEF("version", NAME, p version, true, 0, 0, NULL, NULL)             \
	DEF("weights", SIZE, p weight_bytes, true, 1, 64 * TIB, NULL, NULL) \
	DEF("kv_token", SIZE, p kv_token_bytes, true, 1, 1e9, NULL, NULL)   \
	DEF("max_context", U32, p max_context, false, 1, 1e8, "8192", NULL)

#define MODEL_1_FIELDS(DEF)                             \
	SCHEMA(DEF)                                     \
	DEF("name", NAME, name, true, 0, 0, NULL, NULL) \
	VERSION_FIELDS(DEF, single.)

#define SHARE_FIELDS(DEF) DEF("share", U32, share, true, 0, 100, NULL, NULL)

#define ADAPTER_FIELDS(DEF)                                 \
	SCHEMA(DEF)                                         \
	DEF("name", NAME, a.name, true, 0, 0, NULL, NULL)   \
	DEF("model", NAME, a.model, true, 0, 0, NULL, NULL) \
	DEF("size", SIZE, a.bytes, true, 1, TIB, NULL, NULL)

#define CALLER_FIELDS(DEF)                                                \
	SCHEMA(DEF)                                                       \
	DEF("name", NAME, c.name, true, 0, 0, NULL, NULL)                 \
	DEF("key_sha256", DIGEST, c.key_sha256, true, 0, 0, NULL, NULL)   \
	DEF("priority", U8, c.priority, false, 0, PF_PRIORITIES - 1, "2", \
	    NULL)                                                         \
	DEF("rate", REAL, c.rate, false, 0, 1e6, "0", NULL)               \
	DEF("burst", U32, c.burst, false, 1, 1e6, "1", NULL)              \
	DEF("concurrency", U32, c.concurrency, false, 0, 1e6, "0", NULL)  \
	DEF("deferrable", BOOL, c.deferrable, false, 0, 0, "false", NULL) \
	DEF("models", NAMES, models, false, 0, PF_FIELD_LIST_MAX, NULL, NULL)

/* Latency objectives: top-level keys in schema 1, table `expect` in schema 2. */
#define EXPECT_FIELDS(DEF, pre)                                              \
	DEF(pre "first", MS, c.first_token_objective_ms, false, 1, DAY_MS,   \
	    "1400ms", NULL)                                                  \
	DEF(pre "between", MS, c.token_gap_objective_ms, false, 0, DAY_MS,   \
	    "73ms", NULL)                                                    \
	DEF(pre "whole", MS, c.answer_objective_ms, false, 0, DAY_MS, "0ms", \
	    NULL)                                                            \
	DEF(pre "deadline", MS, c.deadline_ms, false, 1, DAY_MS, "60s", NULL)

#define ENDPOINT_FIELDS(DEF)                                                  \
	SCHEMA(DEF)                                                           \
	DEF("name", NAME, e.name, true, 0, 0, NULL, NULL)                     \
	DEF("kind", CHOICE, e.kind, true, 0, 0, NULL, "engine|plain")         \
	DEF("agent", ADDR, e.agent, true, 0, 0, NULL, NULL)                   \
	DEF("backend", ADDR, e.backend, true, 0, 0, NULL, NULL)               \
	DEF("zone", NAME, e.zone, true, 0, 0, NULL, NULL)                     \
	DEF("region", NAME, e.region, true, 0, 0, NULL, NULL)                 \
	DEF("service", NAME, e.service, false, 0, 0, NULL, NULL)              \
	DEF("accelerators", U32, e.accelerators, false, 0, 1024, "1", NULL)   \
	DEF("memory", SIZE, e.memory_bytes, false, 0, 1024 * TIB, "0B", NULL) \
	DEF("batch", U32, e.batch_max, false, 1, 65536, "32", NULL)           \
	DEF("checks_fence", BOOL, e.checks_fence, false, 0, 0, "false", NULL) \
	DEF("drain", BOOL, e.drain, false, 0, 0, "false", NULL)

#define CALL_FIELDS(DEF)                                    \
	DEF("method", NAME, method, true, 0, 0, NULL, NULL) \
	DEF("path", STR, path, true, 1, 256, NULL, NULL)    \
	DEF("repeatable", BOOL, repeatable, true, 0, 0, NULL, NULL)

#define DEPLOYMENT_FIELDS(DEF)                                                 \
	SCHEMA(DEF)                                                            \
	DEF("move_cost", REAL, d.move_cost, false, 0, 1e6, "30", NULL)         \
	DEF("store_loads_rate", REAL, d.store_loads_rate, false, 0.01, 1e4,    \
	    "2", NULL)                                                         \
	DEF("store_inflight", U32, d.store_inflight, false, 1, 1e4, "3", NULL) \
	DEF("adapter_knee", U32, d.adapter_knee, false, 1, 1e5, "25", NULL)    \
	DEF("link_kbit", U32, d.link_kbit, false, 1, 4e9, "30000", NULL)       \
	DEF("kv_share", REAL, d.kv_share, false, 0, 0.9, "0.2", NULL)

#define ARRAY_LEN(v) (sizeof(v) / sizeof((v)[0]))

/* FORM is the struct that the following fields belong to. */
#define FORM struct pf_model
static const struct pf_field version_fields[] = { VERSION_FIELDS(
	DEF_FIELD, ) SHARE_FIELDS(DEF_FIELD) };
#undef FORM
#define FORM struct pf_call
static const struct pf_field call_fields[] = { CALL_FIELDS(DEF_FIELD) };
#undef FORM

static const struct pf_form version_form = { version_fields,
					     ARRAY_LEN(version_fields),
					     sizeof(struct pf_model) };
static const struct pf_form call_form = { call_fields, ARRAY_LEN(call_fields),
					  sizeof(struct pf_call) };

#define FORM __typeof__(((union pf_record_values *)0)->model)
static const struct pf_field model_1_fields[] = { MODEL_1_FIELDS(DEF_FIELD) };
static const struct pf_field model_2_fields[] = {
	SCHEMA(DEF_FIELD) DEF_FIELD("name", NAME, name, true, 0, 0, NULL,
				    NULL){ .key = "version",
					   .type = PF_FIELD_TABLES,
					   .offset = offsetof(FORM, versions),
					   .required = true,
					   .min = 1,
					   .max = MODEL_VERSIONS_MAX,
					   .table_form = &version_form },
};
#undef FORM
#define FORM __typeof__(((union pf_record_values *)0)->adapter)
static const struct pf_field adapter_fields[] = { ADAPTER_FIELDS(DEF_FIELD) };
#undef FORM
#define FORM __typeof__(((union pf_record_values *)0)->caller)
static const struct pf_field caller_1_fields[] = { CALLER_FIELDS(
	DEF_FIELD) EXPECT_FIELDS(DEF_FIELD, "") };
static const struct pf_field caller_2_fields[] = { CALLER_FIELDS(
	DEF_FIELD) EXPECT_FIELDS(DEF_FIELD, "expect.") };
#undef FORM
#define FORM __typeof__(((union pf_record_values *)0)->endpoint)
static const struct pf_field endpoint_fields[] = { ENDPOINT_FIELDS(DEF_FIELD) };
#undef FORM
#define FORM __typeof__(((union pf_record_values *)0)->service)
static const struct pf_field service_fields[] = {
	SCHEMA(DEF_FIELD) DEF_FIELD("name", NAME, name, true, 0, 0, NULL,
				    NULL){ .key = "call",
					   .type = PF_FIELD_TABLES,
					   .offset = offsetof(FORM, calls),
					   .min = 0,
					   .max = SERVICE_CALLS_MAX,
					   .table_form = &call_form },
};
#undef FORM
#define FORM __typeof__(((union pf_record_values *)0)->deployment)
static const struct pf_field deployment_fields[] = { DEPLOYMENT_FIELDS(
	DEF_FIELD) };
#undef FORM

#define VALUES_SIZE sizeof(union pf_record_values)

/* Indexed by kind and by schema - PF_SCHEMA_MIN. */
static const struct pf_form forms[PF_KIND_COUNT][PF_SCHEMA_MAX] = {
	[PF_KIND_DEPLOYMENT] = { { deployment_fields,
				   ARRAY_LEN(deployment_fields), VALUES_SIZE },
				 { deployment_fields,
				   ARRAY_LEN(deployment_fields),
				   VALUES_SIZE } },
	[PF_KIND_MODEL] = { { model_1_fields, ARRAY_LEN(model_1_fields),
			      VALUES_SIZE },
			    { model_2_fields, ARRAY_LEN(model_2_fields),
			      VALUES_SIZE } },
	[PF_KIND_ADAPTER] = { { adapter_fields, ARRAY_LEN(adapter_fields),
				VALUES_SIZE },
			      { adapter_fields, ARRAY_LEN(adapter_fields),
				VALUES_SIZE } },
	[PF_KIND_CALLER] = { { caller_1_fields, ARRAY_LEN(caller_1_fields),
			       VALUES_SIZE },
			     { caller_2_fields, ARRAY_LEN(caller_2_fields),
			       VALUES_SIZE } },
	[PF_KIND_ENDPOINT] = { { endpoint_fields, ARRAY_LEN(endpoint_fields),
				 VALUES_SIZE },
			       { endpoint_fields, ARRAY_LEN(endpoint_fields),
				 VALUES_SIZE } },
	[PF_KIND_SERVICE] = { { service_fields, ARRAY_LEN(service_fields),
				VALUES_SIZE },
			      { service_fields, ARRAY_LEN(service_fields),
				VALUES_SIZE } },
};

const struct pf_form *pf_record_form(enum pf_kind kind, uint32_t schema)
{
	return &forms[kind][schema - PF_SCHEMA_MIN];
}

static char *adapter_record_name(const char *model, const char *adapter)
{
	struct pf_text t = { 0 };

	pf_text_printf(&t, "%s:%s", model, adapter);
	return pf_text_take(&t);
}

char *pf_record_values_name(enum pf_kind kind,
			    const union pf_record_values *values)
{
	switch (kind) {
	case PF_KIND_MODEL:
		return pf_str_dup(pf_str_c(values->model.name));
	case PF_KIND_ADAPTER:
		return adapter_record_name(values->adapter.a.model,
					   values->adapter.a.name);
	case PF_KIND_CALLER:
		return pf_str_dup(pf_str_c(values->caller.c.name));
	case PF_KIND_ENDPOINT:
		return pf_str_dup(pf_str_c(values->endpoint.e.name));
	case PF_KIND_SERVICE:
		return pf_str_dup(pf_str_c(values->service.name));
	default:
		return pf_str_dup(PF_STR("deployment"));
	}
}

/* Read first, because the schema determines the other fields. */
static int read_schema(enum pf_kind kind, const struct pf_toml_node *table,
		       const char *source, uint32_t *schema,
		       struct pf_findings *f)
{
	const struct pf_toml_node *n = pf_toml_get(table, PF_STR("schema"));
	char place[300];
	int64_t v;

	if (n && pf_toml_int(n, &v) == 0 && v >= PF_SCHEMA_MIN &&
	    v <= PF_SCHEMA_MAX) {
		*schema = (uint32_t)v;
		return 0;
	}
	snprintf(place, sizeof(place), "%s:%u %s.schema", source,
		 pf_toml_line(n ? n : table), pf_kind_text(kind));
	pf_findings_add(f, place, "%s; allowed: an integer from %d to %d",
			n ? "has a wrong value" : "is missing", PF_SCHEMA_MIN,
			PF_SCHEMA_MAX);
	return -1;
}

/* Rules that involve several fields. */
static int check_values(enum pf_kind kind, const struct pf_toml_node *table,
			const char *source,
			const union pf_record_values *values,
			struct pf_findings *f)
{
	const struct pf_endpoint *e = &values->endpoint.e;
	size_t before = f->n;
	char place[300];

	snprintf(place, sizeof(place), "%s:%u %s", source, pf_toml_line(table),
		 pf_kind_text(kind));
	if (kind != PF_KIND_ENDPOINT)
		return 0;
	if (e->kind == PF_ENDPOINT_ENGINE && e->memory_bytes <= 0)
		pf_findings_add(f, place,
				"memory must be given for an engine; allowed: "
				"a size such as \"80GiB\"");
	if (e->kind == PF_ENDPOINT_ENGINE && e->service)
		pf_findings_add(f, place,
				"service belongs to kind \"plain\" only");
	if (e->kind == PF_ENDPOINT_PLAIN && !e->service)
		pf_findings_add(f, place,
				"service is missing; allowed: the name of a "
				"service record");
	return f->n > before ? -1 : 0;
}

int pf_record_values_read(enum pf_kind kind, const struct pf_toml_node *table,
			  const char *source, union pf_record_values *values,
			  struct pf_findings *f)
{
	uint32_t schema;

	memset(values, 0, sizeof(*values));
	if (read_schema(kind, table, source, &schema, f) < 0)
		return -1;
	values->schema = schema;
	if (pf_fields_read(pf_record_form(kind, schema), table, source,
			   pf_kind_text(kind), values, f) < 0)
		return -1;
	return check_values(kind, table, source, values, f);
}

void pf_record_values_free(enum pf_kind kind, union pf_record_values *values)
{
	if (values->schema)
		pf_fields_free(pf_record_form(kind, values->schema), values);
}

void pf_record_place(const struct pf_record *r, char *buf, size_t n)
{
	snprintf(buf, n, "%s:%u %s %s", r->source, r->line,
		 pf_kind_text(r->kind), r->name);
}
