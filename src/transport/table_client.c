/* Client of the platform's table service. */
#include "pimentoford/table_client.h"

#include "pimentoford/http_client.h"
#include "pimentoford/openai.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define STATUS_OK 200
#define STATUS_ABSENT 404
#define STATUS_CONFLICT 409
#define STATUS_LIMITED 429

struct pf_table {
	struct pf_table_opts opts;
	struct pf_http *http;
};

/* One request under way. */
struct table_call {
	pf_table_txn_cb txn;
	pf_table_rows_cb rows;
	bool scan;
	void *ctx;
};

struct pf_table *pf_table_new(const struct pf_table_opts *o)
{
	struct pf_http_opts ho = {
		.base = o->base,
		.addr = o->addr,
		.conns_max = o->calls_max,
		.idle_max = 4,
		.body_max = o->body_max,
	};
	struct pf_table *t = calloc(1, sizeof(*t));

	if (!t)
		return NULL;
	t->opts = *o;
	t->opts.addr = NULL;
	t->http = pf_http_new(&ho);
	if (!t->http) {
		free(t);
		return NULL;
	}
	return t;
}

void pf_table_free(struct pf_table *t)
{
	if (!t)
		return;
	pf_http_free(t->http);
	free(t);
}

static uint64_t revision_of(const json_t *obj)
{
	return (uint64_t)json_integer_value(json_object_get(obj, "revision"));
}

static struct pf_str str_of(const json_t *obj, const char *key)
{
	const json_t *v = json_object_get(obj, key);

	return (struct pf_str){ json_string_value(v), json_string_length(v) };
}

/* A status that says by itself what became of the request. */
static enum pf_table_status status_of(const struct pf_http_answer *a)
{
	if (a->result == PF_HTTP_NOT_SENT)
		return PF_TABLE_LIMITED;
	if (a->result == PF_HTTP_OK && a->status == STATUS_OK)
		return PF_TABLE_OK;
	if (a->result == PF_HTTP_OK && a->status == STATUS_CONFLICT)
		return PF_TABLE_CONFLICT;
	if (a->result == PF_HTTP_OK && a->status == STATUS_LIMITED)
		return PF_TABLE_LIMITED;
	return PF_TABLE_UNKNOWN;
}

static void on_txn(void *ctx, const struct pf_http_answer *a)
{
	struct table_call *c = ctx;
	struct pf_table_txn_result r = { .status = status_of(a) };
	json_t *root = NULL;

	if (r.status == PF_TABLE_OK || r.status == PF_TABLE_CONFLICT) {
		root = json_loadb(a->body.p ? a->body.p : "", a->body.n, 0,
				  NULL);
		r.revision = revision_of(root);
		if (r.status == PF_TABLE_CONFLICT)
			r.key = str_of(root, "key");
		/* An answer that says nothing is a lost one. */
		if (!json_is_integer(json_object_get(root, "revision")))
			r.status = PF_TABLE_UNKNOWN;
	}
	c->txn(c->ctx, &r);
	json_decref(root);
	free(c);
}

static int read_row(const json_t *obj, struct pf_table_row *row)
{
	row->key = str_of(obj, "key");
	row->value = str_of(obj, "value");
	row->revision = revision_of(obj);
	return row->key.p && row->value.p ? 0 : -1;
}

/* Fills @r from the body of a row or a scan; *@rows is to be freed. */
static int read_rows(const json_t *root, bool scan, struct pf_table_rows *r,
		     struct pf_table_row **rows)
{
	const json_t *arr = json_object_get(root, "rows");
	size_t n = scan ? json_array_size(arr) : 1;
	size_t i;

	if (scan && !json_is_array(arr))
		return -1;
	*rows = calloc(n + 1, sizeof(**rows));
	if (!*rows)
		return -1;
	for (i = 0; i < n; i++) {
		if (read_row(scan ? json_array_get(arr, i) : root,
			     &(*rows)[i]) < 0)
			return -1;
	}
	r->rows = *rows;
	r->n = n;
	r->revision = revision_of(root);
	return 0;
}

static void on_rows(void *ctx, const struct pf_http_answer *a)
{
	struct table_call *c = ctx;
	struct pf_table_rows r = { .status = status_of(a) };
	struct pf_table_row *rows = NULL;
	json_t *root = NULL;

	if (r.status == PF_TABLE_OK) {
		root = json_loadb(a->body.p ? a->body.p : "", a->body.n, 0,
				  NULL);
		if (read_rows(root, c->scan, &r, &rows) < 0)
			r = (struct pf_table_rows){ PF_TABLE_UNKNOWN, NULL, 0,
						    0 };
	} else if (!c->scan && a->result == PF_HTTP_OK &&
		   a->status == STATUS_ABSENT) {
		r.status = PF_TABLE_OK;
	}
	c->rows(c->ctx, &r);
	free(rows);
	json_decref(root);
	free(c);
}

static int start(struct pf_table *t, const char *method, const char *target,
		 struct pf_str body, struct table_call *proto)
{
	struct pf_http_request r = {
		.method = method,
		.target = target,
		.content_type = body.n ? "application/json" : NULL,
		.body = body,
		.timeout = t->opts.timeout,
		.done = proto->txn ? on_txn : on_rows,
	};
	struct table_call *c = malloc(sizeof(*c));

	if (!c)
		return -1;
	*c = *proto;
	r.ctx = c;
	if (!pf_http_start(t->http, &r)) {
		free(c);
		return -1;
	}
	return 0;
}

static void add_str(struct pf_text *out, const char *before, struct pf_str s)
{
	pf_text_add(out, pf_str_c(before));
	pf_text_add(out, PF_STR("\""));
	pf_json_escape(out, s);
	pf_text_add(out, PF_STR("\""));
}

static void txn_body(const char *id, const struct pf_table_txn *txn,
		     struct pf_text *out)
{
	size_t i;

	add_str(out, "{\"id\":", pf_str_c(id));
	pf_text_add(out, PF_STR(",\"checks\":["));
	for (i = 0; i < txn->n_checks; i++) {
		add_str(out,
			i ? ",{\"key\":" : "{\"key\":", txn->checks[i].key);
		pf_text_printf(out, ",\"revision\":%llu}",
			       (unsigned long long)txn->checks[i].revision);
	}
	pf_text_add(out, PF_STR("],\"puts\":["));
	for (i = 0; i < txn->n_puts; i++) {
		add_str(out, i ? ",{\"key\":" : "{\"key\":", txn->puts[i].key);
		add_str(out, ",\"value\":", txn->puts[i].value);
		pf_text_add(out, PF_STR("}"));
	}
	pf_text_add(out, PF_STR("],\"deletes\":["));
	for (i = 0; i < txn->n_deletes; i++)
		add_str(out, i ? "," : "", txn->deletes[i]);
	pf_text_add(out, PF_STR("]}"));
}

int pf_table_txn(struct pf_table *t, const char *id,
		 const struct pf_table_txn *txn, pf_table_txn_cb cb, void *ctx)
{
	struct table_call c = { .txn = cb, .ctx = ctx };
	struct pf_text body = { 0 };
	int ret = -1;

	txn_body(id, txn, &body);
	if (!body.failed)
		ret = start(t, "POST", "/table/txn", pf_text_str(&body), &c);
	pf_text_free(&body);
	return ret;
}

static void add_query(struct pf_text *out, const char *before,
		      struct pf_str value)
{
	char *enc = evhttp_uriencode(value.n ? value.p : "",
				     (ev_ssize_t)value.n, 0);

	pf_text_add(out, pf_str_c(before));
	if (enc)
		pf_text_add(out, pf_str_c(enc));
	else
		out->failed = true;
	free(enc);
}

static int start_read(struct pf_table *t, struct pf_text *target,
		      struct table_call *c)
{
	int ret = -1;

	if (!target->failed)
		ret = start(t, "GET", target->p, PF_STR(""), c);
	pf_text_free(target);
	return ret;
}

int pf_table_get(struct pf_table *t, struct pf_str key, pf_table_rows_cb cb,
		 void *ctx)
{
	struct table_call c = { .rows = cb, .ctx = ctx };
	struct pf_text target = { 0 };

	add_query(&target, "/table/row?key=", key);
	return start_read(t, &target, &c);
}

int pf_table_scan(struct pf_table *t, struct pf_str prefix, struct pf_str after,
		  uint32_t limit, pf_table_rows_cb cb, void *ctx)
{
	struct table_call c = { .rows = cb, .ctx = ctx, .scan = true };
	struct pf_text target = { 0 };

	add_query(&target, "/table/scan?prefix=", prefix);
	add_query(&target, "&after=", after);
	pf_text_printf(&target, "&limit=%u", limit);
	return start_read(t, &target, &c);
}
