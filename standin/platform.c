/*
 * The platform stand-in: transactional table, object store, VM list and
 * weight store, all in memory.
 */
#include "standin/roles.h"

#include <stdlib.h>
#include <string.h>

#define SCAN_MAX_ROWS 1000
#define KEY_SEPARATOR "\x1f"
#define SCAN_ROWS_PER_READ 100

/* Token bucket with one second of burst; one request may overdraw it. */
struct rate_limit {
	double per_second, available, refilled_at;
	uint64_t used, refused;
};

struct platform {
	const struct options *opts;
	GTree *rows; /* row key -> row as JSON */
	GHashTable *objects; /* name -> GBytes */
	json_t *vms; /* the list being served */
	json_t *pending_vms; /* replaces vms at pending_vms_at, or NULL */
	double pending_vms_at;
	uint64_t last_version, conflicts;
	struct rate_limit writes, reads, loads;
	int model_loads, adapter_loads; /* in flight */
	int model_loads_peak, adapter_loads_peak;
};

static bool rate_limit_take(struct rate_limit *limit, size_t n)
{
	double now = now_ms();

	limit->available =
		MIN(limit->per_second,
		    limit->available + (now - limit->refilled_at) *
					       limit->per_second / 1000);
	limit->refilled_at = now;
	if (limit->available <= 0) {
		limit->refused++;
		return false;
	}
	limit->available -= (double)n;
	limit->used += n;
	return true;
}

static int compare_keys(const void *a, const void *b, void *ctx)
{
	(void)ctx;
	return strcmp(a, b);
}

static json_int_t row_version(const json_t *row)
{
	return json_get_int(row, "ver");
}

/* Rows sort by table, part, key. */
static char *row_key(const json_t *j)
{
	return g_strjoin(KEY_SEPARATOR, json_get_text(j, "table"),
			 json_get_text(j, "part"), json_get_text(j, "key"),
			 NULL);
}

static bool has_row_key(const json_t *j)
{
	return json_get_text(j, "table") && json_get_text(j, "part") &&
	       json_get_text(j, "key");
}

/* Whether a transaction is well-formed. A malformed one writes nothing. */
static bool txn_valid(const json_t *j)
{
	json_t *item;
	size_t i;

	json_array_foreach(json_object_get(j, "expected"), i, item)
	{
		if (!has_row_key(item) ||
		    !json_is_integer(json_object_get(item, "ver")))
			return false;
	}
	json_array_foreach(json_object_get(j, "set_keys"), i, item)
	{
		if (!has_row_key(item) || !json_get_text(item, "value"))
			return false;
	}
	json_array_foreach(json_object_get(j, "delete"), i, item)
	{
		if (!has_row_key(item))
			return false;
	}
	return j != NULL;
}

static json_t *find_row(const struct platform *p, const json_t *j)
{
	char *key = row_key(j);
	json_t *row = g_tree_lookup(p->rows, key);

	g_free(key);
	return row;
}

/* Whether an expected version differs. Appends all checked rows to @rows. */
static bool txn_conflict(const struct platform *p, const json_t *j,
			 json_t *rows)
{
	bool conflict = false;
	json_t *c;
	size_t i;

	json_array_foreach(json_object_get(j, "expected"), i, c)
	{
		json_t *row = find_row(p, c);

		conflict |= row_version(row) != row_version(c);
		if (row)
			json_array_append(rows, row);
	}
	return conflict;
}

static void txn_apply(struct platform *p, const json_t *j)
{
	json_t *item;
	size_t i;

	p->last_version++;
	json_array_foreach(json_object_get(j, "set_keys"), i, item)
	{
		json_t *row = json_copy(item);

		json_object_set_new(row, "ver",
				    json_integer((json_int_t)p->last_version));
		g_tree_replace(p->rows, row_key(item), row);
	}
	json_array_foreach(json_object_get(j, "delete"), i, item)
	{
		char *key = row_key(item);

		g_tree_remove(p->rows, key);
		g_free(key);
	}
}

/* Body of a rows reply; takes ownership of @rows. */
static json_t *rows_reply(const struct platform *p, json_t *rows, bool more)
{
	return json_pack("{sosbsIsI}", "rows", rows, "has_more", more, "ver",
			 (json_int_t)p->last_version, "now_ms",
			 (json_int_t)now_ms());
}

static void handle_rows_txn(void *self, struct exchange *x)
{
	struct platform *p = self;
	json_t *j = exchange_json(x);
	size_t n = json_array_size(json_object_get(j, "set_keys")) +
		   json_array_size(json_object_get(j, "delete"));
	json_t *rows = json_array();

	if (!txn_valid(j)) {
		exchange_reply_error(x, 400, "bad_transaction");
	} else if (!rate_limit_take(&p->writes, MAX(n, 1))) {
		exchange_reply_error(x, 429, "over_budget");
	} else if (txn_conflict(p, j, rows)) {
		p->conflicts++;
		exchange_reply_json(x, 412,
				    rows_reply(p, json_incref(rows), false));
	} else {
		txn_apply(p, j);
		exchange_reply_json(x, 200, rows_reply(p, json_array(), false));
	}
	json_decref(rows);
	json_decref(j);
}

/* Rows of @part with keys from @from up to but excluding @to; "": no end. */
static json_t *scan_rows(const struct platform *p, const char *part,
			 const char *from, const char *to, size_t limit,
			 bool *more)
{
	char *first = g_strconcat(part, from, NULL);
	GTreeNode *n = g_tree_lower_bound(p->rows, first);
	json_t *rows = json_array();
	size_t skip = strlen(part);

	*more = false;
	for (; n; n = g_tree_node_next(n)) {
		const char *key = g_tree_node_key(n);

		if (strncmp(key, part, skip) != 0 ||
		    (*to && strcmp(key + skip, to) >= 0))
			break;
		if (json_array_size(rows) >= limit) {
			*more = true;
			break;
		}
		json_array_append(rows, g_tree_node_value(n));
	}
	g_free(first);
	return rows;
}

static char *query_or_empty(struct exchange *x, const char *name)
{
	char *v = exchange_query(x, name);

	return v ? v : strdup("");
}

static void handle_rows_get(void *self, struct exchange *x)
{
	struct platform *p = self;
	char *table = query_or_empty(x, "table");
	char *in = query_or_empty(x, "part");
	char *from = query_or_empty(x, "from");
	char *to = query_or_empty(x, "to");
	char *count = query_or_empty(x, "limit");
	char *part = g_strjoin(KEY_SEPARATOR, table, in, "", NULL);
	size_t limit = strtoul(count, NULL, 10);
	bool more;
	json_t *rows;

	if (limit == 0 || limit > SCAN_MAX_ROWS)
		limit = SCAN_MAX_ROWS;
	rows = scan_rows(p, part, from, to, limit, &more);
	if (rate_limit_take(&p->reads,
			    1 + json_array_size(rows) / SCAN_ROWS_PER_READ))
		exchange_reply_json(x, 200,
				    rows_reply(p, json_incref(rows), more));
	else
		exchange_reply_error(x, 429, "over_budget");
	json_decref(rows);
	g_free(part);
	free(table);
	free(in);
	free(from);
	free(to);
	free(count);
}

static void handle_object(void *self, struct exchange *x)
{
	struct platform *p = self;
	htp_method method = evhtp_request_get_method(x->req);
	struct pf_str body = exchange_body(x);
	GBytes *b = g_hash_table_lookup(p->objects, x->subpath);

	if (method == htp_method_PUT) {
		g_hash_table_replace(p->objects, g_strdup(x->subpath),
				     g_bytes_new(body.p, body.n));
		exchange_reply_ok(x);
	} else if (!b) {
		exchange_reply_error(x, 404, "no_object");
	} else if (method == htp_method_DELETE) {
		g_hash_table_remove(p->objects, x->subpath);
		exchange_reply_ok(x);
	} else {
		body.p = g_bytes_get_data(b, &body.n);
		exchange_reply(x, 200, "application/octet-stream", body);
	}
}

static void handle_vms(void *self, struct exchange *x)
{
	struct platform *p = self;

	if (p->pending_vms && now_ms() >= p->pending_vms_at) {
		json_decref(p->vms);
		p->vms = p->pending_vms;
		p->pending_vms = NULL;
	}
	exchange_reply_json(x, 200, json_incref(p->vms));
}

static void handle_set_vms(void *self, struct exchange *x)
{
	struct platform *p = self;
	json_t *j = exchange_json(x);

	if (!json_is_array(json_object_get(j, "vms"))) {
		json_decref(j);
		exchange_reply_error(x, 400, "no_vms");
		return;
	}
	json_decref(p->pending_vms);
	p->pending_vms = j;
	p->pending_vms_at = now_ms() + p->opts->vm_lag;
	exchange_reply_ok(x);
}

static void on_adapter_load_closed(void *ctx)
{
	((struct platform *)ctx)->adapter_loads--;
}

static void on_model_load_closed(void *ctx)
{
	((struct platform *)ctx)->model_loads--;
}

static void load_adapter(struct platform *p, struct exchange *x)
{
	int excess = ++p->adapter_loads - p->opts->adapter_knee;

	p->adapter_loads_peak = MAX(p->adapter_loads_peak, p->adapter_loads);
	x->on_closed = on_adapter_load_closed;
	exchange_reply_after(x, p->opts->adapter_load * (1.0 + MAX(excess, 0)),
			     json_object());
}

static void load_model(struct platform *p, struct exchange *x)
{
	p->model_loads++;
	p->model_loads_peak = MAX(p->model_loads_peak, p->model_loads);
	x->on_closed = on_model_load_closed;
	exchange_reply_after(x, p->opts->model_load, json_object());
}

static void handle_weights(void *self, struct exchange *x)
{
	struct platform *p = self;

	x->closed_ctx = p;
	if (strchr(x->subpath, ':'))
		load_adapter(p, x);
	else if (p->model_loads < p->opts->loads_at_once &&
		 rate_limit_take(&p->loads, 1))
		load_model(p, x);
	else
		exchange_reply_error(x, 429, "over_budget");
}

static json_t *rate_limit_json(const struct rate_limit *limit)
{
	return json_pack("{sIsI}", "used", (json_int_t)limit->used, "refused",
			 (json_int_t)limit->refused);
}

static json_t *platform_state(void *self)
{
	struct platform *p = self;

	return json_pack("{sosososIsIsisIsisi}", "writes",
			 rate_limit_json(&p->writes), "reads",
			 rate_limit_json(&p->reads), "loads",
			 rate_limit_json(&p->loads), "commit",
			 (json_int_t)p->last_version, "conflicts",
			 (json_int_t)p->conflicts, "rows",
			 g_tree_nnodes(p->rows), "objects",
			 (json_int_t)g_hash_table_size(p->objects),
			 "model_loads_peak", p->model_loads_peak,
			 "adapter_loads_peak", p->adapter_loads_peak);
}

static struct rate_limit rate_limit_of(double rate)
{
	return (struct rate_limit){ rate, rate, now_ms(), 0, 0 };
}

struct platform *platform_new(struct server *s, const struct options *o)
{
	static const struct route routes[] = {
		{ "/rows-tx", TARGET_TABLE, handle_rows_txn },
		{ "/rows-get", TARGET_TABLE, handle_rows_get },
		{ "/object/", TARGET_OBJECT, handle_object },
		{ "/vms", TARGET_VMS, handle_vms },
		{ "/weights/", TARGET_WEIGHTS, handle_weights },
		{ "/admin/vms", TARGET_NONE, handle_set_vms },
		{ "", TARGET_NONE, NULL },
	};
	struct platform *p = g_new0(struct platform, 1);

	p->opts = o;
	p->writes = rate_limit_of(o->writes);
	p->reads = rate_limit_of(o->reads);
	p->loads = rate_limit_of(o->loads_rate);
	p->rows = g_tree_new_full(compare_keys, NULL, g_free,
				  (GDestroyNotify)json_decref);
	p->objects = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					   (GDestroyNotify)g_bytes_unref);
	p->vms = json_pack("{s[]}", "vms");
	s->routes = routes;
	s->state_json = platform_state;
	return p;
}

void platform_free(struct platform *p)
{
	g_tree_destroy(p->rows);
	g_hash_table_destroy(p->objects);
	json_decref(p->vms);
	json_decref(p->pending_vms);
	g_free(p);
}
