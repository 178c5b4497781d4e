/* Spread core: the set in force, and deltas to and from it. */
#include "src/coordination/spread_internal.h"

#include <stdlib.h>
#include <string.h>

int pf_spread_set_init(struct pf_spread_set *s, uint32_t changes_max)
{
	memset(s, 0, sizeof(*s));
	s->changes_max = changes_max;
	s->changes = calloc(changes_max, sizeof(*s->changes));
	return s->changes ? 0 : -1;
}

void pf_spread_set_free(struct pf_spread_set *s)
{
	for (uint32_t i = 0; s->changes && i < s->changes_max; i++)
		free(s->changes[i].name);
	free(s->changes);
	pf_records_free(&s->records);
	memset(s, 0, sizeof(*s));
}

static uint64_t digest_of(const struct pf_records *r)
{
	uint64_t h = 1;

	for (size_t i = 0; i < r->n; i++)
		h = pf_id2(h, pf_id(pf_str_c(r->v[i].text)));
	return h;
}

struct change_ctx {
	struct pf_spread_set *set;
	uint64_t revision;
};

/* Adds a change to the ring, in place of the oldest if it is full. */
static void add_change(void *ctx, const struct pf_record *before,
		       const struct pf_record *after)
{
	const struct pf_record *r = after ? after : before;
	struct change_ctx *g = ctx;
	struct pf_spread_set *s = g->set;
	struct pf_spread_change *c =
		&s->changes[(s->oldest + s->n_changes) % s->changes_max];
	char *name = strdup(r->name);

	if (!name) {
		s->delta_base_min = g->revision;
		return;
	}
	if (s->n_changes == s->changes_max) {
		s->delta_base_min = c->revision;
		s->oldest = (s->oldest + 1) % s->changes_max;
	} else {
		s->n_changes++;
	}
	free(c->name);
	c->name = name;
	c->kind = r->kind;
	c->revision = g->revision;
}

int pf_spread_set_replace(struct pf_spread_set *s, uint64_t revision,
			  struct pf_records *next)
{
	struct change_ctx g = { s, revision };

#ifndef PF_MUTANT_SPREAD_BACK
	if (revision <= s->revision) {
		pf_records_free(next);
		return -1;
	}
#endif
	if (s->revision == 0)
		s->delta_base_min = revision;
	else
		pf_records_diff(&s->records, next, add_change, &g);
	pf_records_free(&s->records);
	s->records = *next;
	memset(next, 0, sizeof(*next));
	s->revision = revision;
	s->digest = digest_of(&s->records);
	return 0;
}

/* Adds the records of a TOML text to @to. */
static int put_records(struct pf_records *to, struct pf_str text)
{
	struct pf_records some = { 0 };
	struct pf_findings f = { 0 };
	int rc = -1;

	if (pf_records_parse(text, "peer", &some, &f) < 0)
		goto out;
	for (size_t i = 0; i < some.n; i++)
		if (pf_records_put(to, &some.v[i]) < 0)
			goto out;
	rc = 0;
out:
	pf_records_free(&some);
	pf_findings_clear(&f);
	return rc;
}

/* Removes a line "-KIND NAME" from the front of @text; false if none. */
static bool parse_deletion(struct pf_str *text, struct pf_str *kind,
			   struct pf_str *name)
{
	const char *end;
	const char *gap;

	if (text->n == 0 || text->p[0] != '-')
		return false;
	end = memchr(text->p, '\n', text->n);
	gap = memchr(text->p, ' ', text->n);
	if (!end || !gap || gap > end)
		return false;
	*kind = (struct pf_str){ text->p + 1, (size_t)(gap - text->p) - 1 };
	*name = (struct pf_str){ gap + 1, (size_t)(end - gap) - 1 };
	text->n -= (size_t)(end - text->p) + 1;
	text->p = end + 1;
	return true;
}

static int apply_delta(struct pf_records *to, struct pf_str text)
{
	struct pf_str kind_text;
	struct pf_str name;
	enum pf_kind kind;

	while (parse_deletion(&text, &kind_text, &name)) {
		if (pf_kind_parse(kind_text, &kind) < 0)
			return -1;
		pf_records_del(to, kind, name);
	}
	return text.n ? put_records(to, text) : 0;
}

int pf_spread_set_apply_config(struct pf_spread_set *s,
			       const struct pf_spread_config *c)
{
	struct pf_records next = { 0 };

#ifndef PF_MUTANT_SPREAD_BACK
	if (c->revision <= s->revision)
		return -1;
#endif
#ifndef PF_MUTANT_SPREAD_BASE
	if (c->base > s->revision)
		return -1;
#endif
	if (c->base && pf_records_copy(&next, &s->records) < 0)
		return -1;
	if (apply_delta(&next, c->text) < 0)
		goto bad;
#ifndef PF_MUTANT_SPREAD_BASE
	if (digest_of(&next) != c->digest)
		goto bad;
#endif
	return pf_spread_set_replace(s, c->revision, &next);
bad:
	pf_records_free(&next);
	return -1;
}

static int apply_audit(struct pf_records *to, const struct pf_audit *a)
{
	for (size_t i = 0; i < a->n_items; i++) {
		const struct pf_audit_item *it = &a->items[i];

		if (it->after) {
			if (put_records(to, pf_str_c(it->after)) < 0)
				return -1;
		} else {
			pf_records_del(to, it->kind, pf_str_c(it->name));
		}
	}
	return 0;
}

int pf_spread_set_apply_audits(struct pf_spread_set *s, uint64_t to,
			       const struct pf_table_row *rows, size_t n)
{
	struct pf_records next = { 0 };
	uint64_t at = s->revision;

	if (at == 0 || pf_records_copy(&next, &s->records) < 0)
		return -1;
	for (size_t i = 0; i < n && at < to; i++) {
		struct pf_audit a = { 0 };
		int rc;

		if (pf_row_audit_parse(rows[i].value, &a) < 0)
			goto bad;
		/* Already adopted from a peer during the read. */
		if (a.stamp.revision <= at) {
			pf_audit_free(&a);
			continue;
		}
		rc = a.stamp.revision == at + 1 ? apply_audit(&next, &a) : -1;
		pf_audit_free(&a);
		if (rc < 0)
			goto bad;
		at++;
	}
	if (at < to)
		goto bad;
	return pf_spread_set_replace(s, at, &next);
bad:
	pf_records_free(&next);
	return -1;
}

/* Whether the ring has a newer change to the same record. */
static bool has_newer_change(const struct pf_spread_set *s, uint32_t i)
{
	const struct pf_spread_change *c =
		&s->changes[(s->oldest + i) % s->changes_max];

	while (++i < s->n_changes) {
		const struct pf_spread_change *d =
			&s->changes[(s->oldest + i) % s->changes_max];

		if (d->kind == c->kind && strcmp(d->name, c->name) == 0)
			return true;
	}
	return false;
}

/* Appends lines "-KIND NAME" of deleted records, or the changed records. */
static void append_changes(const struct pf_spread_set *s, uint64_t base,
			   bool deleted, struct pf_text *t)
{
	for (uint32_t i = 0; i < s->n_changes; i++) {
		const struct pf_spread_change *c =
			&s->changes[(s->oldest + i) % s->changes_max];
		const struct pf_record *r;

		if (c->revision <= base || has_newer_change(s, i))
			continue;
		r = pf_records_find(&s->records, c->kind, pf_str_c(c->name));
		if (deleted && !r)
			pf_text_printf(t, "-%s %s\n", pf_kind_text(c->kind),
				       c->name);
		else if (!deleted && r)
			pf_text_add(t, pf_str_c(r->text));
	}
}

struct pf_spread_config pf_spread_set_delta(const struct pf_spread_set *s,
					    uint64_t base, struct pf_text *t)
{
	struct pf_spread_config c = { .revision = s->revision,
				      .digest = s->digest };

	pf_text_reset(t);
	if (base && base >= s->delta_base_min && base < s->revision) {
		c.base = base;
		append_changes(s, base, true, t);
		append_changes(s, base, false, t);
	} else {
		pf_records_text(&s->records, t);
	}
	c.text = pf_text_str(t);
	return c;
}
