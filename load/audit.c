/* Checks the answers against what the stand-ins say they ran. */
#include "load/faults.h"
#include "load/load.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <stdlib.h>

#define QUERY_TIMEOUT_S 10
#define LOOP_EXIT_DELAY_US 100000

/** An audit; freed after the reply to the last query. */
struct audit {
	struct load *load;
	GHashTable *runs_by_key; /* idempotency key -> runs, all services */
	guint open_queries;
};

/** A query to one stand-in. */
struct audit_query {
	struct audit *audit;
	const char *addr;
	struct evhttp_connection *conn;
	bool service;
};

static void add_runs(struct audit *a, const json_t *j)
{
	json_t *n;
	const char *key;

	json_object_foreach((json_t *)json_object_get(j, "runs"), key, n)
	{
		guint sum = GPOINTER_TO_UINT(
			g_hash_table_lookup(a->runs_by_key, key));

		sum += (guint)json_integer_value(n);
		g_hash_table_replace(a->runs_by_key, g_strdup(key),
				     GUINT_TO_POINTER(sum));
	}
}

static void check_prompts(struct audit *a, const json_t *j)
{
	json_t *p;
	size_t i;

	json_array_foreach(json_object_get(j, "prompts"), i, p)
	{
		uint64_t h = g_ascii_strtoull(json_string_value(p), NULL, 16);

		if (!g_hash_table_contains(a->load->not_run_prompts, &h))
			continue;
		a->load->count.not_run_but_ran++;
		load_log_finding("not_run_but_ran", json_string_value(p),
				 "refused as not run, but an engine ran it");
	}
}

static void check_runs(struct audit *a)
{
	struct load *l = a->load;
	GHashTableIter it;
	void *key;
	void *n;

	g_hash_table_iter_init(&it, a->runs_by_key);
	while (g_hash_table_iter_next(&it, &key, &n)) {
		const struct key_record *k =
			g_hash_table_lookup(l->key_records, key);

		if (GPOINTER_TO_UINT(n) > 1) {
			l->count.doubled++;
			load_log_finding("doubled", key,
					 "idempotency key ran more than once");
		}
		if (k && !k->may_have_run) {
			l->count.not_run_but_ran++;
			load_log_finding(
				"not_run_but_ran", key,
				"every send ended as not run, but the key ran");
		}
	}
}

/* The answer to a key that never ran must belong to another call. */
static void check_receipts(struct audit *a)
{
	GHashTableIter it;
	void *key;
	void *k;

	g_hash_table_iter_init(&it, a->load->key_records);
	while (g_hash_table_iter_next(&it, &key, &k)) {
		if (!((struct key_record *)k)->receipt ||
		    g_hash_table_contains(a->runs_by_key, key))
			continue;
		a->load->count.crossed++;
		load_log_finding("crossed", key,
				 "answered, but the key never ran");
	}
}

static void query_done(struct audit *a)
{
	/* Lets the loop free the connections before it exits. */
	struct timeval delay = { 0, LOOP_EXIT_DELAY_US };

	if (--a->open_queries > 0)
		return;
	check_runs(a);
	if (a->load->scenario->services->len && !a->load->count.unreadable)
		check_receipts(a);
	event_base_loopexit(a->load->base, &delay);
	g_hash_table_destroy(a->runs_by_key);
	g_free(a);
}

static void on_query_reply(struct evhttp_request *req, void *ctx)
{
	struct audit_query *q = ctx;
	struct evbuffer *b = req ? evhttp_request_get_input_buffer(req) : NULL;
	size_t n = b ? evbuffer_get_length(b) : 0;
	json_t *j = n ? json_loadb((char *)evbuffer_pullup(b, -1), n, 0, NULL)
		      : NULL;

	if (!j) {
		q->audit->load->count.unreadable++;
		load_log_finding("unreadable", q->addr,
				 "no valid reply to the audit query");
	} else if (q->service) {
		add_runs(q->audit, j);
	} else {
		check_prompts(q->audit, j);
	}
	json_decref(j);
	load_free_connection(q->audit->load, q->conn);
	query_done(q->audit);
	g_free(q);
}

static void send_query(struct audit *a, const char *addr, bool service)
{
	struct audit_query *q = g_new0(struct audit_query, 1);
	char **part = g_strsplit(addr, ":", 2);
	struct evhttp_connection *c = evhttp_connection_base_new(
		a->load->base, NULL, part[0],
		(uint16_t)strtoul(part[1], NULL, 10));
	struct evhttp_request *req = evhttp_request_new(on_query_reply, q);

	q->audit = a;
	q->addr = addr;
	q->service = service;
	evhttp_connection_set_timeout(c, QUERY_TIMEOUT_S);
	q->conn = c;
	evhttp_add_header(evhttp_request_get_output_headers(req), "Host",
			  part[0]);
	evhttp_make_request(c, req, EVHTTP_REQ_GET,
			    service ? "/admin/state" : "/admin/prompts");
	g_strfreev(part);
}

void audit_start(struct load *l)
{
	struct audit *a = g_new0(struct audit, 1);
	struct scenario *s = l->scenario;

	a->load = l;
	a->runs_by_key =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	a->open_queries = s->services->len + s->engines->len + 1;
	for (guint i = 0; i < s->services->len; i++)
		send_query(a, s->services->pdata[i], true);
	for (guint i = 0; i < s->engines->len; i++)
		send_query(a, s->engines->pdata[i], false);
	query_done(a);
}

void audit_cut_answers(struct load *l, const char *path)
{
	char *text = NULL;
	GArray *faults;
	char detail[200];

	if (path)
		g_file_get_contents(path, &text, NULL, NULL);
	faults = faults_parse(text ? text : "");
	for (guint i = 0; i < l->cut_answers->len; i++) {
		const struct cut_answer *c =
			&g_array_index(l->cut_answers, struct cut_answer, i);

		g_snprintf(detail, sizeof(detail),
			   "%s at %s from %" G_GINT64_FORMAT
			   " to %" G_GINT64_FORMAT,
			   c->reason, c->entry, c->begin_ms, c->end_ms);
		/* Only a fault of its own entry closes a connection. */
		if (faults_explain(faults, c->begin_ms, c->end_ms,
				   c->connection_lost ? c->entry : NULL)) {
			l->count.excused++;
			load_log_finding("excused", c->request_name, detail);
		} else {
			l->count.cut_by_stop++;
			load_log_finding("cut", c->request_name, detail);
		}
	}
	g_array_unref(faults);
	g_free(text);
}
