/* Accept core: the queued change, its checks and its evaluation. */
#include "accept_internal.h"

#include "pimentoford/fields.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Copies @s, truncated; accept_job_check() refuses a text that fills @to. */
static void copy_label(char *to, size_t size, struct pf_str s)
{
	size_t n = s.n < size ? s.n : size - 1;

	if (n)
		memcpy(to, s.p, n);
	to[n] = '\0';
}

/* Digest of the requested content; 0 when there is no memory. */
static uint64_t request_digest(const struct accept_job *j)
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

static int add_delete(struct accept_job *j, const struct pf_record_ref *ref)
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

int accept_job_init(struct accept_job *j, const struct pf_change *c)
{
	memset(j, 0, sizeof(*j));
	j->request_id = c->request_id;
	copy_label(j->id, sizeof(j->id), c->id);
	copy_label(j->who, sizeof(j->who), c->who);
	copy_label(j->what, sizeof(j->what), c->what);
	j->wall_time = c->wall_time;
	j->has_base = c->has_base;
	j->base_revision = c->base_revision;
	j->resent = c->resent;
	if (c->puts && pf_records_copy(&j->puts, c->puts) < 0)
		goto fail;
	for (size_t i = 0; i < c->n_deletes; i++)
		if (add_delete(j, &c->deletes[i]) < 0)
			goto fail;
	j->digest = request_digest(j);
	if (!j->digest)
		goto fail;
	return 0;
fail:
	accept_job_free(j);
	return -1;
}

void accept_job_free(struct accept_job *j)
{
	pf_records_free(&j->puts);
	pf_records_free(&j->deletes);
}

static bool is_printable(const char *s)
{
	if (!*s)
		return false;
	for (; *s; s++)
		if ((unsigned char)*s < ' ' || *s == 0x7f)
			return false;
	return true;
}

void accept_job_check(const struct accept_job *j,
		      const struct pf_accept_opts *o, struct pf_findings *f)
{
	size_t n = j->puts.n + j->deletes.n;

	if (!pf_name_valid(pf_str_c(j->id)))
		pf_findings_add(f, "id",
				"isn't a name; allowed: letters, "
				"digits and ._-, at most 64");
	if (!is_printable(j->who) || strlen(j->who) > PF_NAME_MAX)
		pf_findings_add(f, "who", "must be 1 to 64 printable bytes");
	if (!is_printable(j->what) || strlen(j->what) >= PF_LABEL_MAX)
		pf_findings_add(f, "what", "must be 1 to %d printable bytes",
				PF_LABEL_MAX - 1);
	if (n > o->records_max)
		pf_findings_add(f, "records",
				"number %zu in one change; allowed: at most %u",
				n, o->records_max);
	for (size_t i = 0; i < j->deletes.n; i++) {
		const struct pf_record *d = &j->deletes.v[i];

		if (pf_records_find(&j->puts, d->kind, pf_str_c(d->name)))
			pf_findings_add(f, d->name,
					"is both written and deleted");
	}
}

/* Reports a conflict if @current was written after the base revision. */
static void check_conflict(const struct accept_job *j,
			   const struct pf_record *current,
			   struct accept_evaluation *e)
{
	char place[400];

#ifdef PF_MUTANT_ACCEPT_MOVED
	return;
#endif
	if (!current || current->stamp.revision <= j->base_revision)
		return;
	e->outcome = PF_CHANGE_CONFLICT;
	snprintf(place, sizeof(place), "%s %s", pf_kind_text(current->kind),
		 current->name);
	pf_findings_add(&e->findings, place,
			"was %s by change %s of %s in revision %" PRIu64
			", after revision %" PRIu64 " on which this change "
			"is based",
			current->text[0] ? "written" : "deleted",
			current->stamp.change, current->stamp.who,
			current->stamp.revision, j->base_revision);
}

static int evaluate_puts(const struct accept_job *j, const struct pf_mirror *m,
			 uint32_t schema_max, struct accept_evaluation *e)
{
	for (size_t i = 0; i < j->puts.n; i++) {
		const struct pf_record *r = &j->puts.v[i];
		const struct pf_record *current =
			pf_mirror_find(m, r->kind, pf_str_c(r->name));
		char place[400];

		if (current && strcmp(current->text, r->text) == 0)
			continue;
		check_conflict(j, current, e);
		if (r->schema > schema_max) {
			snprintf(place, sizeof(place), "%s:%u %s %s", r->source,
				 r->line, pf_kind_text(r->kind), r->name);
			pf_findings_add(&e->findings, place,
					"has schema %u, which not all "
					"processes read yet; allowed: at most "
					"%u",
					r->schema, schema_max);
		}
		if (pf_records_put(&e->puts, r) < 0)
			return -1;
	}
	return 0;
}

static int evaluate_deletes(const struct accept_job *j,
			    const struct pf_mirror *m,
			    struct accept_evaluation *e)
{
	for (size_t i = 0; i < j->deletes.n; i++) {
		const struct pf_record *r = &j->deletes.v[i];
		const struct pf_record *current =
			pf_mirror_find(m, r->kind, pf_str_c(r->name));

		check_conflict(j, current, e);
		if (!current || !current->text[0])
			pf_findings_add(&e->findings, r->name,
					"can't be deleted: there is no such "
					"%s",
					pf_kind_text(r->kind));
		if (pf_records_put(&e->deletes, r) < 0)
			return -1;
	}
	return 0;
}

/* Copies the configuration and applies the change to it. */
static int build_resulting_set(const struct pf_mirror *m,
			       const struct accept_evaluation *e,
			       struct pf_records *out)
{
	if (pf_records_copy(out, &m->live) < 0)
		return -1;
	for (size_t i = 0; i < e->puts.n; i++)
		if (pf_records_put(out, &e->puts.v[i]) < 0)
			return -1;
	for (size_t i = 0; i < e->deletes.n; i++)
		pf_records_del(out, e->deletes.v[i].kind,
			       pf_str_c(e->deletes.v[i].name));
	return 0;
}

static int validate_result(const struct pf_mirror *m,
			   struct accept_evaluation *e)
{
	struct pf_records set = { 0 };
	struct pf_config *config = NULL;
	int rc = build_resulting_set(m, e, &set);

	if (rc == 0)
		pf_records_build(&set, m->revision + 1, &e->findings, &config);
	pf_config_free(config);
	pf_records_free(&set);
	return rc;
}

void accept_evaluate(const struct accept_job *j, const struct pf_mirror *m,
		     uint32_t schema_max, struct accept_evaluation *e)
{
	memset(e, 0, sizeof(*e));
	e->outcome = PF_CHANGE_ACCEPTED;
	if (j->base_revision > m->revision)
		pf_findings_add(&e->findings, "base",
				"revision %" PRIu64 " doesn't exist; the head "
				"is %" PRIu64,
				j->base_revision, m->revision);
	if (evaluate_puts(j, m, schema_max, e) < 0 ||
	    evaluate_deletes(j, m, e) < 0)
		goto no_memory;
	if (e->outcome == PF_CHANGE_CONFLICT)
		return;
	if (e->puts.n + e->deletes.n > 0 && !pf_findings_any(&e->findings) &&
	    validate_result(m, e) < 0)
		goto no_memory;
	if (pf_findings_any(&e->findings))
		e->outcome = PF_CHANGE_REFUSED;
	return;
no_memory:
	e->outcome = PF_CHANGE_UNAVAILABLE;
	pf_findings_add(&e->findings, "change",
			"was not applied: out of memory");
}

void accept_evaluation_free(struct accept_evaluation *e)
{
	pf_records_free(&e->puts);
	pf_records_free(&e->deletes);
	pf_findings_clear(&e->findings);
}
