/* A local copy of the accepted configuration, updated by audit rows. */
#include "pimentoford/mirror.h"

#include <stdlib.h>
#include <string.h>

void pf_mirror_clear(struct pf_mirror *m)
{
	pf_records_free(&m->live);
	pf_records_free(&m->deleted);
	m->revision = 0;
}

/* Stores @r as live, or as deleted if its text is empty. */
static int put_record(struct pf_mirror *m, const struct pf_record *r)
{
	struct pf_str name = pf_str_c(r->name);
	bool live = r->text[0] != '\0';

	pf_records_del(live ? &m->deleted : &m->live, r->kind, name);
	return pf_records_put(live ? &m->live : &m->deleted, r);
}

int pf_mirror_add(struct pf_mirror *m, const struct pf_table_row *row)
{
	struct pf_record r;
	int rc;

	if (pf_row_record_parse(row, &r) < 0)
		return -1;
	rc = put_record(m, &r);
	pf_record_clear(&r);
	return rc;
}

/* Reads the schema from the canonical text of one record. 0 or -1. */
static int parse_schema(const char *text, uint32_t *schema)
{
	struct pf_records one = { 0 };
	struct pf_findings f = { 0 };
	int rc = -1;

	if (pf_records_parse(pf_str_c(text), "audit", &one, &f) == 0 &&
	    one.n == 1) {
		*schema = one.v[0].schema;
		rc = 0;
	}
	pf_records_free(&one);
	pf_findings_clear(&f);
	return rc;
}

static int apply_item(struct pf_mirror *m, const struct pf_audit *a,
		      const struct pf_audit_item *it, uint64_t row_revision)
{
	struct pf_record r = { .kind = it->kind,
			       .schema = PF_SCHEMA_MIN,
			       .name = it->name,
			       .text = it->after ? it->after : "",
			       .source = "table",
			       .revision = row_revision,
			       .stamp = a->stamp };

	if (it->after && parse_schema(it->after, &r.schema) < 0)
		return -1;
	return put_record(m, &r);
}

int pf_mirror_apply(struct pf_mirror *m, const struct pf_table_row *audit)
{
	struct pf_audit a;
	int rc = -1;

	if (pf_row_audit_parse(audit->value, &a) < 0)
		return -1;
	if (a.stamp.revision != m->revision + 1)
		goto out;
	for (size_t i = 0; i < a.n_items; i++)
		if (apply_item(m, &a, &a.items[i], audit->revision) < 0)
			goto out;
	m->revision++;
	rc = 0;
out:
	pf_audit_free(&a);
	return rc;
}

const struct pf_record *pf_mirror_find(const struct pf_mirror *m,
				       enum pf_kind kind, struct pf_str name)
{
	const struct pf_record *r = pf_records_find(&m->live, kind, name);

	return r ? r : pf_records_find(&m->deleted, kind, name);
}
