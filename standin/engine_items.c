/* Memory of the engine stand-in, and the load and unload orders. */
#include "standin/engine.h"

#include <event2/event.h>
#include <event2/http.h>
#include <string.h>

#define STORE_TIMEOUT_S 60

bool engine_commit_memory(struct engine *e, int64_t bytes)
{
	if (bytes > e->opts->memory - e->committed_bytes) {
		e->overcommit++;
		return false;
	}
	e->committed_bytes += bytes;
	e->peak = MAX(e->peak, e->committed_bytes);
	return true;
}

struct item *engine_find_resident(struct engine *e, const char *name)
{
	struct item *it = g_hash_table_lookup(e->items, name);

	return it && !strcmp(it->state, "resident") ? it : NULL;
}

void item_free(void *p)
{
	struct item *it = p;

	it->engine->committed_bytes -= it->bytes;
	if (it->order)
		it->order->on_closed = NULL;
	if (it->timer)
		event_free(it->timer);
	if (it->store_conn)
		evhttp_connection_free(it->store_conn);
	g_free(it->name);
	g_free(it);
}

static void on_order_closed(void *ctx)
{
	((struct item *)ctx)->order = NULL;
}

/* Replies to the pending order of @it; success if @error is NULL. */
static void order_reply(struct item *it, int status, const char *error)
{
	struct exchange *x = it->order;

	it->order = NULL;
	if (!x)
		return;
	x->on_closed = NULL;
	if (error)
		exchange_reply_error(x, status, error);
	else
		exchange_reply_ok(x);
}

static void load_succeeded(struct item *it)
{
	it->state = "resident";
	it->engine->loads++;
	order_reply(it, 200, NULL);
}

static void load_failed(struct item *it, int status, const char *error)
{
	order_reply(it, status, error);
	g_hash_table_remove(it->engine->items, it->name);
}

static void on_item_timer(evutil_socket_t fd, short what, void *ctx)
{
	struct item *it = ctx;

	(void)fd;
	(void)what;
	if (!strcmp(it->state, "loading")) {
		load_succeeded(it);
		return;
	}
	it->engine->unloads++;
	order_reply(it, 200, NULL);
	g_hash_table_remove(it->engine->items, it->name);
}

static void start_item_timer(struct item *it, int ms)
{
	struct timeval tv = timeval_from_ms(ms);

	if (!it->timer)
		it->timer = evtimer_new(it->engine->server->base, on_item_timer,
					it);
	evtimer_add(it->timer, &tv);
}

static void on_store_reply(struct evhttp_request *req, void *ctx)
{
	struct item *it = ctx;
	int status = req ? evhttp_request_get_response_code(req) : 0;

	if (status == 200)
		load_succeeded(it);
	else if (status == 429)
		load_failed(it, 429, "store_busy");
	else
		load_failed(it, 503, "store_away");
}

static int request_weights(struct item *it)
{
	struct engine *e = it->engine;
	struct evhttp_request *req;
	char ip[64];
	uint16_t port;
	char *path;
	int rc;

	if (addr_parse(e->opts->weights, ip, &port))
		return -1;
	it->store_conn =
		evhttp_connection_base_new(e->server->base, NULL, ip, port);
	req = evhttp_request_new(on_store_reply, it);
	if (!it->store_conn || !req)
		return -1;
	evhttp_connection_set_timeout(it->store_conn, STORE_TIMEOUT_S);
	evhttp_add_header(evhttp_request_get_output_headers(req), "Host", ip);
	path = g_strdup_printf("/weights/%s", it->name);
	rc = evhttp_make_request(it->store_conn, req, EVHTTP_REQ_GET, path);
	g_free(path);
	return rc;
}

static struct item *item_new(struct engine *e, const char *name, int64_t bytes)
{
	struct item *it = g_new0(struct item, 1);

	it->engine = e;
	it->name = g_strdup(name);
	it->bytes = bytes;
	it->state = "loading";
	g_hash_table_insert(e->items, it->name, it);
	return it;
}

static void attach_order(struct item *it, struct exchange *x)
{
	it->order = x;
	x->on_closed = on_order_closed;
	x->closed_ctx = it;
}

static void load_item(struct engine *e, struct exchange *x, const char *name,
		      int64_t bytes)
{
	struct item *it = g_hash_table_lookup(e->items, name);

	if (it && !strcmp(it->state, "resident")) {
		exchange_reply_ok(x);
	} else if (it) {
		exchange_reply_error(x, 409, "busy");
	} else if (!engine_commit_memory(e, bytes)) {
		exchange_reply_error(x, 409, "no_memory");
	} else {
		it = item_new(e, name, bytes);
		attach_order(it, x);
		if (!e->opts->weights)
			start_item_timer(it, e->opts->load);
		else if (request_weights(it))
			load_failed(it, 503, "store_away");
	}
}

static bool item_in_use(struct engine *e, const char *name)
{
	for (guint i = 0; i < e->run_list->len; i++) {
		const struct run *r = e->run_list->pdata[i];

		if (!strcmp(r->model, name) || !strcmp(r->adapter, name))
			return true;
	}
	return false;
}

static void unload_item(struct engine *e, struct exchange *x, const char *name)
{
	struct item *it = g_hash_table_lookup(e->items, name);

	if (!it) {
		exchange_reply_ok(x);
	} else if (strcmp(it->state, "resident") != 0) {
		exchange_reply_error(x, 409, "busy");
	} else if (item_in_use(e, name)) {
		exchange_reply_error(x, 409, "in_use");
	} else {
		it->state = "unloading";
		attach_order(it, x);
		start_item_timer(it, e->opts->unload);
	}
}

void engine_handle_order(void *self, struct exchange *x)
{
	struct engine *e = self;
	json_t *j = exchange_json(x);
	const char *op = json_get_text(j, "op");
	const char *item = json_get_text(j, "item");
	int64_t bytes = json_get_int(j, "bytes");
	int64_t fence = json_get_int(j, "fence");

	if (!op || !item || bytes < 0) {
		exchange_reply_error(x, 400, "bad_order");
	} else if (e->opts->check_fence && fence < e->highest_fence) {
		e->fenced++;
		exchange_reply_error(x, 409, "fenced");
	} else {
		e->highest_fence = MAX(e->highest_fence, fence);
		if (!strcmp(op, "load"))
			load_item(e, x, item, bytes);
		else if (!strcmp(op, "unload"))
			unload_item(e, x, item);
		else
			exchange_reply_error(x, 400, "bad_order");
	}
	json_decref(j);
}

json_t *engine_items_json(const struct engine *e)
{
	json_t *items = json_array();
	GHashTableIter i;
	void *p;

	g_hash_table_iter_init(&i, e->items);
	while (g_hash_table_iter_next(&i, NULL, &p)) {
		const struct item *it = p;

		json_array_append_new(items,
				      json_pack("{sssssI}", "item", it->name,
						"state", it->state, "bytes",
						(json_int_t)it->bytes));
	}
	return items;
}
