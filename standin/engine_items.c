/* Memory and items of the engine stand-in: load and unload orders. */
#include "standin/engine.h"

#include <event2/event.h>
#include <event2/http.h>
#include <string.h>

#define STORE_TIMEOUT_S 60

bool engine_commit(struct engine *e, int64_t bytes)
{
	if (bytes > e->opts->memory - e->used) {
		e->overcommit++;
		return false;
	}
	e->used += bytes;
	e->peak = MAX(e->peak, e->used);
	return true;
}

struct item *engine_resident(struct engine *e, const char *name)
{
	struct item *it = g_hash_table_lookup(e->items, name);

	return it && !strcmp(it->state, "resident") ? it : NULL;
}

void engine_item_free(void *p)
{
	struct item *it = p;

	it->engine->used -= it->bytes;
	if (it->x)
		it->x->closed = NULL;
	if (it->timer)
		event_free(it->timer);
	if (it->store)
		evhttp_connection_free(it->store);
	g_free(it->name);
	g_free(it);
}

static void order_gone(void *ctx)
{
	((struct item *)ctx)->x = NULL;
}

/* Ends the order on @it; NULL @error: done. */
static void order_done(struct item *it, int status, const char *error)
{
	struct exchange *x = it->x;

	it->x = NULL;
	if (!x)
		return;
	x->closed = NULL;
	if (error)
		exchange_error(x, status, error);
	else
		exchange_ok(x);
}

static void loaded(struct item *it)
{
	it->state = "resident";
	it->engine->loads++;
	order_done(it, 200, NULL);
}

static void load_failed(struct item *it, int status, const char *error)
{
	order_done(it, status, error);
	g_hash_table_remove(it->engine->items, it->name);
}

static void on_time(evutil_socket_t fd, short what, void *ctx)
{
	struct item *it = ctx;

	(void)fd;
	(void)what;
	if (!strcmp(it->state, "loading")) {
		loaded(it);
		return;
	}
	it->engine->unloads++;
	order_done(it, 200, NULL);
	g_hash_table_remove(it->engine->items, it->name);
}

static void wait_for(struct item *it, int ms)
{
	struct timeval tv = timeval_ms(ms);

	if (!it->timer)
		it->timer = evtimer_new(it->engine->server->base, on_time, it);
	evtimer_add(it->timer, &tv);
}

static void on_store(struct evhttp_request *req, void *ctx)
{
	struct item *it = ctx;
	int status = req ? evhttp_request_get_response_code(req) : 0;

	if (status == 200)
		loaded(it);
	else if (status == 429)
		load_failed(it, 429, "store_busy");
	else
		load_failed(it, 503, "store_away");
}

static int ask_store(struct item *it)
{
	struct engine *e = it->engine;
	struct evhttp_request *req;
	char ip[64];
	uint16_t port;
	char *path;
	int rc;

	if (addr_split(e->opts->weights, ip, &port))
		return -1;
	it->store = evhttp_connection_base_new(e->server->base, NULL, ip, port);
	req = evhttp_request_new(on_store, it);
	if (!it->store || !req)
		return -1;
	evhttp_connection_set_timeout(it->store, STORE_TIMEOUT_S);
	evhttp_add_header(evhttp_request_get_output_headers(req), "Host", ip);
	path = g_strdup_printf("/weights/%s", it->name);
	rc = evhttp_make_request(it->store, req, EVHTTP_REQ_GET, path);
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

static void attach(struct item *it, struct exchange *x)
{
	it->x = x;
	x->closed = order_gone;
	x->ctx = it;
}

static void load(struct engine *e, struct exchange *x, const char *name,
		 int64_t bytes)
{
	struct item *it = g_hash_table_lookup(e->items, name);

	if (it && !strcmp(it->state, "resident")) {
		exchange_ok(x);
	} else if (it) {
		exchange_error(x, 409, "busy");
	} else if (!engine_commit(e, bytes)) {
		exchange_error(x, 409, "no_memory");
	} else {
		it = item_new(e, name, bytes);
		attach(it, x);
		if (!e->opts->weights)
			wait_for(it, e->opts->load);
		else if (ask_store(it))
			load_failed(it, 503, "store_away");
	}
}

static bool in_use(struct engine *e, const char *name)
{
	for (guint i = 0; i < e->queue->len; i++) {
		const struct run *r = e->queue->pdata[i];

		if (!strcmp(r->model, name) || !strcmp(r->adapter, name))
			return true;
	}
	return false;
}

static void unload(struct engine *e, struct exchange *x, const char *name)
{
	struct item *it = g_hash_table_lookup(e->items, name);

	if (!it) {
		exchange_ok(x);
	} else if (strcmp(it->state, "resident") != 0) {
		exchange_error(x, 409, "busy");
	} else if (in_use(e, name)) {
		exchange_error(x, 409, "in_use");
	} else {
		it->state = "unloading";
		attach(it, x);
		wait_for(it, e->opts->unload);
	}
}

void engine_order(void *self, struct exchange *x)
{
	struct engine *e = self;
	json_t *j = exchange_json(x);
	const char *op = json_text(j, "op");
	const char *item = json_text(j, "item");
	int64_t bytes = json_int(j, "bytes");
	int64_t fence = json_int(j, "fence");

	if (!op || !item || bytes < 0) {
		exchange_error(x, 400, "bad_order");
	} else if (e->opts->check_fence && fence < e->fence) {
		e->fenced++;
		exchange_error(x, 409, "fenced");
	} else {
		e->fence = MAX(e->fence, fence);
		if (!strcmp(op, "load"))
			load(e, x, item, bytes);
		else if (!strcmp(op, "unload"))
			unload(e, x, item);
		else
			exchange_error(x, 400, "bad_order");
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
