/*
 * The platform's stand-in: transactional table, object store, list of VMs
 * and weight store, all in memory.
 */
#include "standin/roles.h"

#include <event2/event.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#define SCAN_MAX 1000
#define SCAN_ROWS_PER_READ 100

/* A budget of so many a second; may be overdrawn by one request. */
struct budget {
	double rate;
	double left;
	pf_ms filled;
	uint64_t used;
	uint64_t refused;
};

struct row {
	char *value;
	uint64_t revision;
};

/* A list of VMs and when it takes effect. */
struct vm_list {
	json_t *vms;
	pf_ms at;
};

struct platform {
	struct server *server;
	struct platform_opts opts;
	GTree *rows; /* key to struct row */
	GHashTable *objects; /* name to GBytes */
	GQueue vm_lists; /* struct vm_list, oldest first */
	uint64_t commit;
	uint64_t conflicts;
	struct budget writes, reads, loads;
	int model_loads, adapter_loads; /* in flight */
	int model_loads_peak, adapter_loads_peak;
};

/* One load being served. */
struct transfer {
	struct platform *platform;
	struct exchange *x; /* NULL when its engine went away */
	struct event *timer;
	bool adapter;
};

static bool spend(struct budget *b, double n)
{
	pf_ms now = now_ms();

	b->left += (double)(now - b->filled) * b->rate / 1000;
	b->filled = now;
	if (b->left > b->rate)
		b->left = b->rate;
	if (b->left <= 0) {
		b->refused++;
		return false;
	}
	b->left -= n;
	b->used += (uint64_t)n;
	return true;
}

static void row_free(void *p)
{
	struct row *r = p;

	g_free(r->value);
	g_free(r);
}

static int key_order(const void *a, const void *b, void *ctx)
{
	(void)ctx;
	return strcmp(a, b);
}

static uint64_t row_revision(const struct platform *p, const char *key)
{
	const struct row *r = g_tree_lookup(p->rows, key);

	return r ? r->revision : 0;
}

static const char *text_of(const json_t *j, const char *name)
{
	return json_string_value(json_object_get(j, name));
}

/* Whether the transaction has its shape; a bad one writes nothing. */
static bool txn_valid(const json_t *j)
{
	json_t *item;
	size_t i;

	json_array_foreach(json_object_get(j, "checks"), i,
			   item) if (!text_of(item, "key") ||
				     !json_is_integer(json_object_get(
					     item, "revision"))) return false;
	json_array_foreach(json_object_get(j, "puts"), i,
			   item) if (!text_of(item, "key") ||
				     !text_of(item, "value")) return false;
	json_array_foreach(json_object_get(j, "deletes"), i,
			   item) if (!json_is_string(item)) return false;
	return true;
}

/* The first check that fails, or NULL. */
static const char *txn_conflict(const struct platform *p, const json_t *j)
{
	json_t *c;
	size_t i;

	json_array_foreach(json_object_get(j, "checks"), i, c)
	{
		const char *key = text_of(c, "key");
		json_int_t want =
			json_integer_value(json_object_get(c, "revision"));

		if (row_revision(p, key) != (uint64_t)want)
			return key;
	}
	return NULL;
}

static void txn_apply(struct platform *p, const json_t *j)
{
	json_t *item;
	size_t i;

	p->commit++;
	json_array_foreach(json_object_get(j, "puts"), i, item)
	{
		struct row *r = g_new0(struct row, 1);

		r->value = g_strdup(text_of(item, "value"));
		r->revision = p->commit;
		g_tree_replace(p->rows, g_strdup(text_of(item, "key")), r);
	}
	json_array_foreach(json_object_get(j, "deletes"), i, item)
		g_tree_remove(p->rows, json_string_value(item));
}

static void handle_txn(struct platform *p, struct exchange *x)
{
	json_t *j = exchange_json(x);
	size_t rows = json_array_size(json_object_get(j, "puts")) +
		      json_array_size(json_object_get(j, "deletes"));
	const char *conflict;

	if (!j || !txn_valid(j)) {
		exchange_error(x, 400, "bad_transaction");
	} else if (!spend(&p->writes, rows ? (double)rows : 1)) {
		exchange_error(x, 429, "over_budget");
	} else if ((conflict = txn_conflict(p, j))) {
		p->conflicts++;
		exchange_reply_json(
			x, 409,
			json_pack("{sssI}", "key", conflict, "revision",
				  (json_int_t)row_revision(p, conflict)));
	} else {
		txn_apply(p, j);
		exchange_reply_json(x, 200,
				    json_pack("{sI}", "revision",
					      (json_int_t)p->commit));
	}
	json_decref(j);
}

static json_t *row_json(const char *key, const struct row *r)
{
	return json_pack("{sssssI}", "key", key, "value", r->value, "revision",
			 (json_int_t)r->revision);
}

static void handle_row(struct platform *p, struct exchange *x)
{
	char *key = exchange_query(x, "key");
	const struct row *r = key ? g_tree_lookup(p->rows, key) : NULL;

	if (!key)
		exchange_error(x, 400, "no_key");
	else if (!spend(&p->reads, 1))
		exchange_error(x, 429, "over_budget");
	else if (!r)
		exchange_error(x, 404, "no_row");
	else
		exchange_reply_json(x, 200, row_json(key, r));
	free(key);
}

static json_t *scan(const struct platform *p, const char *prefix,
		    const char *after, size_t limit)
{
	json_t *rows = json_array();
	const char *from = after && strcmp(after, prefix) > 0 ? after : prefix;
	GTreeNode *n = g_tree_lower_bound(p->rows, from);

	for (; n && json_array_size(rows) < limit; n = g_tree_node_next(n)) {
		const char *key = g_tree_node_key(n);

		if (strncmp(key, prefix, strlen(prefix)) != 0)
			break;
		if (!after || strcmp(key, after) > 0)
			json_array_append_new(
				rows, row_json(key, g_tree_node_value(n)));
	}
	return rows;
}

static void handle_scan(struct platform *p, struct exchange *x)
{
	char *prefix = exchange_query(x, "prefix");
	char *after = exchange_query(x, "after");
	char *count = exchange_query(x, "limit");
	size_t limit = count ? strtoul(count, NULL, 10) : SCAN_MAX;
	json_t *rows;

	if (limit == 0 || limit > SCAN_MAX)
		limit = SCAN_MAX;
	rows = scan(p, prefix ? prefix : "", after, limit);
	if (!spend(&p->reads, 1 + json_array_size(rows) / SCAN_ROWS_PER_READ)) {
		json_decref(rows);
		exchange_error(x, 429, "over_budget");
	} else {
		exchange_reply_json(x, 200,
				    json_pack("{sosI}", "rows", rows,
					      "revision",
					      (json_int_t)p->commit));
	}
	free(prefix);
	free(after);
	free(count);
}

static void handle_object(struct platform *p, struct exchange *x,
			  const char *name)
{
	htp_method method = evhtp_request_get_method(x->req);
	struct pf_str body = exchange_body(x);
	GBytes *b = g_hash_table_lookup(p->objects, name);

	if (method == htp_method_PUT) {
		g_hash_table_replace(p->objects, g_strdup(name),
				     g_bytes_new(body.p, body.n));
		exchange_reply_json(x, 200, json_object());
	} else if (!b) {
		exchange_error(x, 404, "no_object");
	} else if (method == htp_method_DELETE) {
		g_hash_table_remove(p->objects, name);
		exchange_reply_json(x, 200, json_object());
	} else {
		body.p = g_bytes_get_data(b, &body.n);
		exchange_reply(x, 200, "application/octet-stream", body);
	}
}

static void vm_list_free(void *p)
{
	struct vm_list *l = p;

	json_decref(l->vms);
	g_free(l);
}

static void handle_vms(struct platform *p, struct exchange *x)
{
	struct vm_list *next;
	struct vm_list *l;

	while ((next = g_queue_peek_nth(&p->vm_lists, 1)) &&
	       next->at <= now_ms())
		vm_list_free(g_queue_pop_head(&p->vm_lists));
	l = g_queue_peek_head(&p->vm_lists);
	exchange_reply_json(x, 200, json_pack("{sO}", "vms", l->vms));
}

static void push_vms(struct platform *p, json_t *vms, pf_ms at)
{
	struct vm_list *l = g_new0(struct vm_list, 1);

	l->vms = vms;
	l->at = at;
	g_queue_push_tail(&p->vm_lists, l);
}

static void transfer_gone(void *ctx)
{
	((struct transfer *)ctx)->x = NULL;
}

static void transfer_done(evutil_socket_t fd, short what, void *ctx)
{
	struct transfer *t = ctx;

	(void)fd;
	(void)what;
	if (t->adapter)
		t->platform->adapter_loads--;
	else
		t->platform->model_loads--;
	if (t->x) {
		t->x->closed = NULL;
		exchange_reply_json(t->x, 200, json_object());
	}
	event_free(t->timer);
	g_free(t);
}

static void transfer_start(struct platform *p, struct exchange *x, int ms,
			   bool adapter)
{
	struct transfer *t = g_new0(struct transfer, 1);
	struct timeval tv = { ms / 1000, (ms % 1000) * 1000 };

	t->platform = p;
	t->x = x;
	t->adapter = adapter;
	t->timer = evtimer_new(p->server->base, transfer_done, t);
	x->closed = transfer_gone;
	x->ctx = t;
	evtimer_add(t->timer, &tv);
}

static int adapter_time(const struct platform *p)
{
	int over = p->adapter_loads - p->opts.adapter_knee;

	return p->opts.adapter_ms * (1 + (over > 0 ? over : 0));
}

static void handle_weights(struct platform *p, struct exchange *x,
			   const char *item)
{
	if (strchr(item, ':')) {
		p->adapter_loads++;
		p->adapter_loads_peak =
			MAX(p->adapter_loads_peak, p->adapter_loads);
		transfer_start(p, x, adapter_time(p), true);
	} else if (p->model_loads >= p->opts.loads_at_once ||
		   !spend(&p->loads, 1)) {
		exchange_error(x, 429, "over_budget");
	} else {
		p->model_loads++;
		p->model_loads_peak = MAX(p->model_loads_peak, p->model_loads);
		transfer_start(p, x, p->opts.model_ms, false);
	}
}

static enum target target_of(const char *path)
{
	if (!strncmp(path, "/object/", 8))
		return TARGET_OBJECT;
	if (!strncmp(path, "/weights/", 9))
		return TARGET_WEIGHTS;
	if (!strcmp(path, "/vms"))
		return TARGET_VMS;
	return TARGET_TABLE;
}

static void handle(void *self, struct exchange *x)
{
	const char *path = exchange_path(x);

	if (!strcmp(path, "/table/txn"))
		handle_txn(self, x);
	else if (!strcmp(path, "/table/row"))
		handle_row(self, x);
	else if (!strcmp(path, "/table/scan"))
		handle_scan(self, x);
	else if (!strncmp(path, "/object/", 8))
		handle_object(self, x, path + 8);
	else if (!strcmp(path, "/vms"))
		handle_vms(self, x);
	else if (!strncmp(path, "/weights/", 9))
		handle_weights(self, x, path + 9);
	else
		exchange_error(x, 404, "no_such_page");
}

static bool admin(void *self, struct exchange *x, const char *path)
{
	struct platform *p = self;
	json_t *j;
	json_t *vms;

	if (strcmp(path, "/admin/vms") != 0)
		return false;
	j = exchange_json(x);
	vms = json_object_get(j, "vms");
	if (json_is_array(vms)) {
		push_vms(p, json_incref(vms), now_ms() + p->opts.vm_lag_ms);
		exchange_reply_json(x, 200, json_object());
	} else {
		exchange_error(x, 400, "no_vms");
	}
	json_decref(j);
	return true;
}

static json_t *budget_json(const struct budget *b)
{
	return json_pack("{sIsI}", "used", (json_int_t)b->used, "refused",
			 (json_int_t)b->refused);
}

static json_t *state(void *self)
{
	struct platform *p = self;

	return json_pack("{sosososIsIsisIsisi}", "writes",
			 budget_json(&p->writes), "reads",
			 budget_json(&p->reads), "loads",
			 budget_json(&p->loads), "commit",
			 (json_int_t)p->commit, "conflicts",
			 (json_int_t)p->conflicts, "rows",
			 g_tree_nnodes(p->rows), "objects",
			 (json_int_t)g_hash_table_size(p->objects),
			 "model_loads_peak", p->model_loads_peak,
			 "adapter_loads_peak", p->adapter_loads_peak);
}

struct platform *platform_new(struct server *s, const struct platform_opts *o)
{
	struct platform *p = g_new0(struct platform, 1);

	p->server = s;
	p->opts = *o;
	p->writes = (struct budget){ .rate = o->writes, .left = o->writes };
	p->reads = (struct budget){ .rate = o->reads, .left = o->reads };
	p->loads =
		(struct budget){ .rate = o->loads_rate, .left = o->loads_rate };
	p->rows = g_tree_new_full(key_order, NULL, g_free, row_free);
	p->objects = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					   (GDestroyNotify)g_bytes_unref);
	g_queue_init(&p->vm_lists);
	push_vms(p, json_array(), 0);
	s->role = (struct role){ target_of, handle, admin, state };
	s->self = p;
	return p;
}

void platform_free(struct platform *p)
{
	g_tree_destroy(p->rows);
	g_hash_table_destroy(p->objects);
	g_queue_clear_full(&p->vm_lists, vm_list_free);
	g_free(p);
}
