/* Changes as the accept core keeps and judges them. */
#include "accept_internal.h"

#include "pimentoford/fields.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Copies @s, cut to a label; job_check() refuses what was too long. */
static void label(char *to, struct pf_str s)
{
	size_t n = s.n < PF_LABEL_MAX ? s.n : PF_LABEL_MAX - 1;

	if (n)
		memcpy(to, s.p, n);
	to[n] = '\0';
}

static uint64_t digest(const struct job *j)
{
	struct pf_text t = { 0 };
	uint64_t id;

	pf_text_printf(&t, "%s\n", j->what);
	pf_records_text(&j->puts, &t);
	for (size_t i = 0; i < j->deletes.n; i++)
		pf_text_printf(&t, "\ndelete %s %s",
			       pf_kind_text(j->deletes.v[i].kind),
			       j->deletes.v[i].name);
	id = t.failed ? 0 : pf_id(pf_text_str(&t));
	pf_text_free(&t);
	return id;
}

static int add_delete(struct job *j, const struct pf_record_ref *ref)
{
	char *name = pf_str_dup(ref->name);
	struct pf_record r = { .kind = ref->kind,
			       .schema = PF_SCHEMA_MIN,
			       .name = name,
			       .text = "",
			       .source = "delete" };
	int rc = name ? pf_records_put(&j->deletes, &r) : -1;

	free(name);
	return rc;
}

int job_init(struct job *j, const struct pf_change *c)
{
	memset(j, 0, sizeof(*j));
	j->request_id = c->request_id;
	label(j->id, c->id);
	label(j->who, c->who);
	label(j->what, c->what);
	j->wall_time = c->wall_time;
	j->has_base = c->has_base;
	j->base_revision = c->base_revision;
	j->resent = c->resent;
	if (c->puts && pf_records_copy(&j->puts, c->puts) < 0)
		goto fail;
	for (size_t i = 0; i < c->n_deletes; i++)
		if (add_delete(j, &c->deletes[i]) < 0)
			goto fail;
	j->digest = digest(j);
	if (!j->digest)
		goto fail;
	return 0;
fail:
	job_free(j);
	return -1;
}

void job_free(struct job *j)
{
	pf_records_free(&j->puts);
	pf_records_free(&j->deletes);
}

static bool printable(const char *s)
{
	if (!*s)
		return false;
	for (; *s; s++)
		if ((unsigned char)*s < ' ' || *s == 0x7f)
			return false;
	return true;
}

void job_check(const struct job *j, const struct pf_accept_opts *o,
	       struct pf_findings *f)
{
	size_t n = j->puts.n + j->deletes.n;

	if (!pf_name_valid(pf_str_c(j->id)))
		pf_findings_add(f, "id",
				"isn't a name; allowed: letters, "
				"digits and ._-, at most 64");
	if (!printable(j->who) || strlen(j->who) > PF_NAME_MAX)
		pf_findings_add(f, "who", "must be 1 to 64 printable bytes");
	if (!printable(j->what))
		pf_findings_add(f, "what", "must be printable");
	if (n > o->records_max)
		pf_findings_add(f, "records",
				"are %zu in one change; allowed: at most %u", n,
				o->records_max);
	for (size_t i = 0; i < j->deletes.n; i++) {
		const struct pf_record *d = &j->deletes.v[i];

		if (pf_records_find(&j->puts, d->kind, pf_str_c(d->name)))
			pf_findings_add(f, d->name,
					"is both written and deleted");
	}
}

/* A conflict when another change wrote the record after the base. */
static void check_moved(const struct job *j, const struct pf_record *now,
			struct verdict *v)
{
	char place[400];

#ifdef PF_MUTANT_ACCEPT_MOVED
	return;
#endif
	if (!now || now->stamp.revision <= j->base_revision)
		return;
	v->outcome = PF_CHANGE_CONFLICT;
	snprintf(place, sizeof(place), "%s %s", pf_kind_text(now->kind),
		 now->name);
	pf_findings_add(&v->findings, place,
			"was %s by change %s of %s in revision %" PRIu64
			", after revision %" PRIu64 " on which this change "
			"is based",
			now->text[0] ? "written" : "deleted", now->stamp.change,
			now->stamp.who, now->stamp.revision, j->base_revision);
}

static int judge_puts(const struct job *j, const struct pf_mirror *m,
		      uint32_t schema_max, struct verdict *v)
{
	for (size_t i = 0; i < j->puts.n; i++) {
		const struct pf_record *r = &j->puts.v[i];
		const struct pf_record *now =
			pf_mirror_find(m, r->kind, pf_str_c(r->name));
		char place[400];

		if (now && strcmp(now->text, r->text) == 0)
			continue;
		check_moved(j, now, v);
		if (r->schema > schema_max) {
			snprintf(place, sizeof(place), "%s:%u %s %s", r->source,
				 r->line, pf_kind_text(r->kind), r->name);
			pf_findings_add(&v->findings, place,
					"has schema %u, which not all "
					"processes read yet; allowed: at most "
					"%u",
					r->schema, schema_max);
		}
		if (pf_records_put(&v->puts, r) < 0)
			return -1;
	}
	return 0;
}

static int judge_deletes(const struct job *j, const struct pf_mirror *m,
			 struct verdict *v)
{
	for (size_t i = 0; i < j->deletes.n; i++) {
		const struct pf_record *r = &j->deletes.v[i];
		const struct pf_record *now =
			pf_mirror_find(m, r->kind, pf_str_c(r->name));

		check_moved(j, now, v);
		if (!now || !now->text[0])
			pf_findings_add(&v->findings, r->name,
					"can't be deleted: there is no such "
					"%s",
					pf_kind_text(r->kind));
		if (pf_records_put(&v->deletes, r) < 0)
			return -1;
	}
	return 0;
}

/* The whole set as it would be. */
static int resulting_set(const struct pf_mirror *m, const struct verdict *v,
			 struct pf_records *out)
{
	if (pf_records_copy(out, &m->live) < 0)
		return -1;
	for (size_t i = 0; i < v->puts.n; i++)
		if (pf_records_put(out, &v->puts.v[i]) < 0)
			return -1;
	for (size_t i = 0; i < v->deletes.n; i++)
		pf_records_del(out, v->deletes.v[i].kind,
			       pf_str_c(v->deletes.v[i].name));
	return 0;
}

static int validate(const struct pf_mirror *m, struct verdict *v)
{
	struct pf_records set = { 0 };
	struct pf_config *config = NULL;
	int rc = resulting_set(m, v, &set);

	if (rc == 0)
		pf_records_build(&set, m->revision + 1, &v->findings, &config);
	pf_config_free(config);
	pf_records_free(&set);
	return rc;
}

void job_judge(const struct job *j, const struct pf_mirror *m,
	       uint32_t schema_max, struct verdict *v)
{
	memset(v, 0, sizeof(*v));
	v->outcome = PF_CHANGE_ACCEPTED;
	if (j->base_revision > m->revision)
		pf_findings_add(&v->findings, "base",
				"revision %" PRIu64 " isn't there; the head "
				"is %" PRIu64,
				j->base_revision, m->revision);
	if (judge_puts(j, m, schema_max, v) < 0 || judge_deletes(j, m, v) < 0)
		goto no_memory;
	if (v->outcome == PF_CHANGE_CONFLICT)
		return;
	if (v->puts.n + v->deletes.n > 0 && !pf_findings_any(&v->findings) &&
	    validate(m, v) < 0)
		goto no_memory;
	if (pf_findings_any(&v->findings))
		v->outcome = PF_CHANGE_REFUSED;
	return;
no_memory:
	v->outcome = PF_CHANGE_UNAVAILABLE;
	pf_findings_add(&v->findings, "change", "there is no memory for it");
}

void verdict_free(struct verdict *v)
{
	pf_records_free(&v->puts);
	pf_records_free(&v->deletes);
	pf_findings_clear(&v->findings);
}
