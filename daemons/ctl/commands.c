/* Read-only commands, and helpers shared with changes.c. */
#include "ctl.h"

#include "pimentoford/settings.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

void print_json(json_t *j)
{
	char *s = json_dumps(j, JSON_COMPACT);

	printf("%s\n", s ? s : "null");
	free(s);
	json_decref(j);
}

int print_error_reply(const struct reply *r)
{
	json_t *j = json_loadb(r->body.p ? r->body.p : "", r->body.n, 0, NULL);
	const json_t *e = json_object_get(j, "error");
	const char *text = json_string_value(
		json_is_object(e) ? json_object_get(e, "message") : e);

	fprintf(stderr, "pimentoctl: refused with HTTP status %d: %s\n",
		r->status, text ? text : "the reply has no error message");
	json_decref(j);
	return EXIT_REFUSED;
}

int read_record_files(char **paths, struct pf_records *set)
{
	struct pf_findings f = { 0 };
	int rc;

	for (; *paths; paths++) {
		GError *err = NULL;
		gchar *text;
		gsize n;

		if (!g_file_get_contents(*paths, &text, &n, &err)) {
			pf_findings_add(&f, *paths, "can't be read: %s",
					err->message);
			g_error_free(err);
			continue;
		}
		pf_records_parse((struct pf_str){ text, n }, *paths, set, &f);
		g_free(text);
	}
	pf_findings_print(&f, STDERR_FILENO);
	rc = pf_findings_any(&f) ? -1 : 0;
	pf_findings_clear(&f);
	return rc;
}

/* Reads the current records from the first entry that replies. */
static int fetch_records(const struct ctl *c, struct pf_records *set)
{
	struct pf_findings f = { 0 };
	struct reply r;
	int code = EXIT_OK;

	if (ctl_get(c, "/admin/records", &r) < 0)
		return EXIT_UNKNOWN;
	if (r.status != 200)
		code = print_error_reply(&r);
	else if (pf_records_parse(pf_text_str(&r.body), "entry", set, &f) < 0)
		code = EXIT_UNKNOWN;
	pf_findings_print(&f, STDERR_FILENO);
	pf_findings_clear(&f);
	pf_text_free(&r.body);
	return code;
}

static json_t *record_json(const struct pf_record *r)
{
	return json_pack("{s:s,s:s,s:i,s:s}", "kind", pf_kind_text(r->kind),
			 "name", r->name, "schema", (int)r->schema, "text",
			 r->text);
}

static int print_unknown_kind(const char *s)
{
	fprintf(stderr,
		"pimentoctl: unknown kind of record: %s; use deployment, "
		"model, adapter, caller, endpoint or service\n",
		s);
	return EXIT_INVALID;
}

int cmd_get(struct ctl *c, char **args)
{
	const struct pf_record *r;
	struct pf_records set = { 0 };
	enum pf_kind kind;
	int code;

	if (pf_kind_parse(pf_str_c(args[0]), &kind) < 0)
		return print_unknown_kind(args[0]);
	code = fetch_records(c, &set);
	r = pf_records_find(&set, kind, pf_str_c(args[1]));
	if (code == EXIT_OK && !r) {
		fprintf(stderr, "pimentoctl: there is no %s named %s\n",
			args[0], args[1]);
		code = EXIT_REFUSED;
	} else if (r && c->json) {
		print_json(record_json(r));
	} else if (r) {
		printf("%s", r->text);
	}
	pf_records_free(&set);
	return code;
}

int cmd_list(struct ctl *c, char **args)
{
	struct pf_records set = { 0 };
	enum pf_kind kind = PF_KIND_COUNT;
	json_t *arr;
	int code;

	if (args[0] && pf_kind_parse(pf_str_c(args[0]), &kind) < 0)
		return print_unknown_kind(args[0]);
	code = fetch_records(c, &set);
	arr = json_array();
	for (size_t i = 0; i < set.n; i++) {
		const struct pf_record *r = &set.v[i];

		if (kind != PF_KIND_COUNT && r->kind != kind)
			continue;
		if (c->json)
			json_array_append_new(arr, record_json(r));
		else
			printf("%s %s schema=%u\n", pf_kind_text(r->kind),
			       r->name, r->schema);
	}
	if (c->json && code == EXIT_OK)
		print_json(json_incref(arr));
	json_decref(arr);
	pf_records_free(&set);
	return code;
}

static bool has_line(char **lines, const char *line)
{
	for (; *lines; lines++)
		if (strcmp(*lines, line) == 0)
			return true;
	return false;
}

/* Prints the lines of @a that are not in @b, after @sign. */
static void print_missing_lines(char sign, const char *a, const char *b)
{
	char **x = g_strsplit(a, "\n", -1), **y = g_strsplit(b, "\n", -1);

	for (char **l = x; *l; l++)
		if (**l && !has_line(y, *l))
			printf("  %c %s\n", sign, *l);
	g_strfreev(x);
	g_strfreev(y);
}

static void print_change(const char *kind, const char *name, const char *before,
			 const char *after)
{
	printf("%s %s %s\n",
	       !before  ? "added"
	       : !after ? "removed"
			: "changed",
	       kind, name);
	print_missing_lines('-', before ? before : "", after ? after : "");
	print_missing_lines('+', after ? after : "", before ? before : "");
}

struct differ {
	json_t *arr; /* NULL: prints lines */
};

static void on_diff(void *ctx, const struct pf_record *before,
		    const struct pf_record *after)
{
	const struct pf_record *any = before ? before : after;
	struct differ *d = ctx;

	if (!d->arr) {
		print_change(pf_kind_text(any->kind), any->name,
			     before ? before->text : NULL,
			     after ? after->text : NULL);
		return;
	}
	json_array_append_new(
		d->arr,
		json_pack("{s:s,s:s,s:o,s:o}", "kind", pf_kind_text(any->kind),
			  "name", any->name, "before",
			  before ? json_string(before->text) : json_null(),
			  "after",
			  after ? json_string(after->text) : json_null()));
}

/* Prints what applying the files would change. */
int cmd_diff(struct ctl *c, char **args)
{
	struct pf_records file = { 0 }, now = { 0 }, then = { 0 };
	struct differ d = { c->json ? json_array() : NULL };
	int code = EXIT_INVALID;

	if (read_record_files(args, &file) < 0)
		goto out;
	code = fetch_records(c, &now);
	if (code != EXIT_OK || pf_records_copy(&then, &now) < 0)
		goto out;
	for (size_t i = 0; i < file.n; i++)
		pf_records_put(&then, &file.v[i]);
	pf_records_diff(&now, &then, on_diff, &d);
	if (d.arr)
		print_json(json_incref(d.arr));
out:
	json_decref(d.arr);
	pf_records_free(&file);
	pf_records_free(&now);
	pf_records_free(&then);
	return code;
}

static const char *json_text(const json_t *j, const char *key)
{
	return json_string_value(json_object_get(j, key));
}

static void print_audit(const json_t *a)
{
	const json_t *items = json_object_get(a, "records");
	gint64 ms = json_integer_value(json_object_get(a, "at_ms"));
	GDateTime *t = g_date_time_new_from_unix_utc(ms / 1000);
	gchar *when = t ? g_date_time_format(t, "%Y-%m-%dT%H:%M:%SZ") : NULL;

	printf("revision=%lld at=%s who=%s region=%s change=%s what=\"%s\"\n",
	       (long long)json_integer_value(json_object_get(a, "revision")),
	       when ? when : "?", json_text(a, "who"), json_text(a, "region"),
	       json_text(a, "change"), json_text(a, "what"));
	for (size_t i = 0; i < json_array_size(items); i++) {
		const json_t *it = json_array_get(items, i);

		print_change(json_text(it, "kind"), json_text(it, "name"),
			     json_text(it, "before"), json_text(it, "after"));
	}
	g_free(when);
	if (t)
		g_date_time_unref(t);
}

int cmd_audit(struct ctl *c, char **args)
{
	struct reply r;
	char *target = g_strdup_printf("/admin/audit?limit=%d", c->audit_limit);
	json_t *j, *arr;
	int code = EXIT_OK;

	(void)args;
	if (ctl_get(c, target, &r) < 0) {
		g_free(target);
		return EXIT_UNKNOWN;
	}
	g_free(target);
	if (r.status != 200)
		code = print_error_reply(&r);
	else if (c->json)
		printf("%s\n", r.body.p);
	j = json_loadb(r.body.p ? r.body.p : "", r.body.n, 0, NULL);
	arr = json_object_get(j, "audit");
	for (size_t i = 0; !c->json && i < json_array_size(arr); i++)
		print_audit(json_array_get(arr, i));
	json_decref(j);
	pf_text_free(&r.body);
	return code;
}

static void print_status(json_t *j)
{
	const json_t *agents = json_object_get(j, "agents");
	const char *key;
	json_t *v;

	json_object_foreach(j, key, v)
	{
		if (json_is_string(v))
			printf("%s=%s ", key, json_string_value(v));
		else if (json_is_integer(v))
			printf("%s=%lld ", key,
			       (long long)json_integer_value(v));
		else if (json_is_boolean(v))
			printf("%s=%s ", key, json_is_true(v) ? "yes" : "no");
	}
	printf("\n");
	for (size_t i = 0; i < json_array_size(agents); i++) {
		const json_t *a = json_array_get(agents, i);

		printf("endpoint=%s agent=%s zone=%s up=%s\n",
		       json_text(a, "endpoint"), json_text(a, "agent"),
		       json_text(a, "zone"),
		       json_is_true(json_object_get(a, "up")) ? "yes" : "no");
	}
}

int cmd_status(struct ctl *c, char **args)
{
	struct reply r;
	json_t *j;
	int code = EXIT_OK;

	(void)args;
	if (ctl_get(c, "/admin/status", &r) < 0)
		return EXIT_UNKNOWN;
	j = json_loadb(r.body.p ? r.body.p : "", r.body.n, 0, NULL);
	if (r.status != 200)
		code = print_error_reply(&r);
	else if (c->json)
		printf("%s\n", r.body.p);
	else
		print_status(j);
	json_decref(j);
	pf_text_free(&r.body);
	return code;
}
