/* The table rows of the configuration, as JSON. */
#include "pimentoford/rows.h"

#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* The key that snprintf() wrote, truncated to the buffer; @n is its result. */
static struct pf_str key_str(char *buf, int n)
{
	size_t len = n < 0 ? 0 : (size_t)n;

	if (len >= PF_ROW_KEY_MAX)
		len = PF_ROW_KEY_MAX - 1;
	return (struct pf_str){ buf, len };
}

struct pf_str pf_row_record_key(char *buf, enum pf_kind kind, const char *name)
{
	return key_str(buf,
		       snprintf(buf, PF_ROW_KEY_MAX, PF_ROW_RECORDS "%s/%s",
				pf_kind_text(kind), name));
}

struct pf_str pf_row_audit_key(char *buf, uint64_t revision)
{
	return key_str(buf, snprintf(buf, PF_ROW_KEY_MAX,
				     PF_ROW_AUDITS "%020" PRIu64, revision));
}

struct pf_str pf_row_change_key(char *buf, const char *id)
{
	return key_str(buf,
		       snprintf(buf, PF_ROW_KEY_MAX, PF_ROW_CHANGES "%s", id));
}

/* Serializes @j and drops the reference to it. NULL if @j is NULL. */
static char *dump_json(json_t *j)
{
	char *s = j ? json_dumps(j, JSON_COMPACT | JSON_SORT_KEYS) : NULL;

	json_decref(j);
	return s;
}

/* Parses a JSON object; NULL when it is none. */
static json_t *load_object(struct pf_str s)
{
	json_t *j = json_loadb(s.p ? s.p : "", s.n, 0, NULL);

	if (json_is_object(j))
		return j;
	json_decref(j);
	return NULL;
}

/* Copies a string of less than PF_LABEL_MAX bytes. 0, or -1. */
static int get_label(const json_t *j, const char *key, char *out)
{
	const char *s = json_string_value(json_object_get(j, key));

	if (!s || g_strlcpy(out, s, PF_LABEL_MAX) >= PF_LABEL_MAX)
		return -1;
	return 0;
}

/* 0, or -1 unless the member is an integer of at least 0. */
static int get_number(const json_t *j, const char *key, uint64_t *out)
{
	const json_t *v = json_object_get(j, key);

	if (!json_is_integer(v) || json_integer_value(v) < 0)
		return -1;
	*out = (uint64_t)json_integer_value(v);
	return 0;
}

char *pf_row_head_text(const struct pf_head *h)
{
	return dump_json(json_pack("{s:I,s:s}", "revision",
				   (json_int_t)h->revision, "change",
				   h->change));
}

int pf_row_head_parse(struct pf_str value, struct pf_head *h)
{
	json_t *j = load_object(value);
	int rc = -1;

	memset(h, 0, sizeof(*h));
	if (j && get_number(j, "revision", &h->revision) == 0)
		rc = get_label(j, "change", h->change);
	json_decref(j);
	return rc;
}

static int get_stamp(const json_t *j, struct pf_stamp *s)
{
	if (get_number(j, "revision", &s->revision) < 0)
		return -1;
	if (get_label(j, "change", s->change) < 0)
		return -1;
	return get_label(j, "who", s->who);
}

char *pf_row_record_text(const struct pf_record *r)
{
	return dump_json(json_pack("{s:I,s:s,s:s,s:i,s:s}", "revision",
				   (json_int_t)r->stamp.revision, "change",
				   r->stamp.change, "who", r->stamp.who,
				   "schema", (int)r->schema, "text",
				   r->text ? r->text : ""));
}

/* Splits "record/KIND/NAME". 0, or -1 when malformed. */
static int split_key(struct pf_str key, enum pf_kind *kind, struct pf_str *name)
{
	size_t skip = strlen(PF_ROW_RECORDS);
	const char *slash;

	if (key.n <= skip)
		return -1;
	slash = memchr(key.p + skip, '/', key.n - skip);
	if (!slash)
		return -1;
	name->p = slash + 1;
	name->n = (size_t)(key.p + key.n - name->p);
	return pf_kind_parse((struct pf_str){ key.p + skip,
					      (size_t)(slash - key.p) - skip },
			     kind);
}

int pf_row_record_parse(const struct pf_table_row *row, struct pf_record *r)
{
	json_t *j = load_object(row->value);
	const char *text;
	struct pf_str name;
	uint64_t schema;
	int rc = -1;

	memset(r, 0, sizeof(*r));
	if (!j || split_key(row->key, &r->kind, &name) < 0)
		goto out;
	text = json_string_value(json_object_get(j, "text"));
	if (!text || get_stamp(j, &r->stamp) < 0 ||
	    get_number(j, "schema", &schema) < 0)
		goto out;
	r->schema = (uint32_t)schema;
	r->revision = row->revision;
	r->name = pf_str_dup(name);
	r->text = strdup(text);
	r->source = strdup("table");
	if (r->name && r->text && r->source)
		rc = 0;
out:
	if (rc < 0)
		pf_record_clear(r);
	json_decref(j);
	return rc;
}

static json_t *json_text_or_null(const char *s)
{
	return s ? json_string(s) : json_null();
}

char *pf_row_audit_text(const struct pf_audit *a)
{
	json_t *items = json_array();
	json_t *j;

	for (size_t i = 0; i < a->n_items; i++) {
		const struct pf_audit_item *it = &a->items[i];

		json_array_append_new(
			items,
			json_pack("{s:s,s:s,s:o,s:o}", "kind",
				  pf_kind_text(it->kind), "name", it->name,
				  "before", json_text_or_null(it->before),
				  "after", json_text_or_null(it->after)));
	}
	if (json_array_size(items) != a->n_items) {
		json_decref(items);
		return NULL;
	}
	j = json_pack("{s:I,s:s,s:s,s:s,s:s,s:I,s:o}", "revision",
		      (json_int_t)a->stamp.revision, "change", a->stamp.change,
		      "who", a->stamp.who, "region", a->region, "what", a->what,
		      "at_ms", (json_int_t)a->wall_time, "records", items);
	return dump_json(j);
}

/* Copies a string, or leaves *@out alone for JSON null. 0, or -1. */
static int get_text_or_null(const json_t *j, const char *key, char **out)
{
	const json_t *v = json_object_get(j, key);

	if (json_is_null(v))
		return 0;
	if (!json_is_string(v))
		return -1;
	*out = strdup(json_string_value(v));
	return *out ? 0 : -1;
}

static int get_audit_item(const json_t *j, struct pf_audit_item *it)
{
	const char *kind = json_string_value(json_object_get(j, "kind"));

	if (!kind || pf_kind_parse(pf_str_c(kind), &it->kind) < 0)
		return -1;
	if (get_text_or_null(j, "name", &it->name) < 0 || !it->name)
		return -1;
	if (get_text_or_null(j, "before", &it->before) < 0)
		return -1;
	return get_text_or_null(j, "after", &it->after);
}

int pf_row_audit_parse(struct pf_str value, struct pf_audit *a)
{
	json_t *j = load_object(value);
	const json_t *items;
	uint64_t at;
	int rc = -1;

	memset(a, 0, sizeof(*a));
	if (!j || get_stamp(j, &a->stamp) < 0 ||
	    get_label(j, "region", a->region) < 0 ||
	    get_label(j, "what", a->what) < 0 ||
	    get_number(j, "at_ms", &at) < 0)
		goto out;
	a->wall_time = (pf_ms)at;
	items = json_object_get(j, "records");
	a->items = calloc(json_array_size(items) + 1, sizeof(*a->items));
	if (!json_is_array(items) || !a->items)
		goto out;
	for (size_t i = 0; i < json_array_size(items); i++) {
		a->n_items++;
		if (get_audit_item(json_array_get(items, i), &a->items[i]) < 0)
			goto out;
	}
	rc = 0;
out:
	if (rc < 0)
		pf_audit_free(a);
	json_decref(j);
	return rc;
}

void pf_audit_free(struct pf_audit *a)
{
	for (size_t i = 0; i < a->n_items; i++) {
		free(a->items[i].name);
		free(a->items[i].before);
		free(a->items[i].after);
	}
	free(a->items);
	memset(a, 0, sizeof(*a));
}

char *pf_row_change_text(const struct pf_change_row *c)
{
	char digest[32];

	snprintf(digest, sizeof(digest), "%016" PRIx64, c->digest);
	return dump_json(json_pack("{s:I,s:s,s:s*}", "revision",
				   (json_int_t)c->revision, "digest", digest,
				   "closed", c->closed[0] ? c->closed : NULL));
}

int pf_row_change_parse(struct pf_str value, struct pf_change_row *c)
{
	json_t *j = load_object(value);
	const char *digest;
	int rc = -1;

	memset(c, 0, sizeof(*c));
	if (!j || get_number(j, "revision", &c->revision) < 0)
		goto out;
	digest = json_string_value(json_object_get(j, "digest"));
	if (!digest)
		goto out;
	c->digest = g_ascii_strtoull(digest, NULL, 16);
	rc = 0;
	if (json_object_get(j, "closed"))
		rc = get_label(j, "closed", c->closed);
out:
	json_decref(j);
	return rc;
}
