/*
 * The plain service stand-in: returns a receipt for each call and counts the
 * runs of each idempotency key.
 */
#include "standin/answer.h"
#include "standin/roles.h"

#include <inttypes.h>

struct service {
	GHashTable *runs_by_key; /* idempotency key -> number of runs */
	uint64_t calls, unkeyed;
};

static guint count_run(struct service *v, const char *key)
{
	guint n;

	v->calls++;
	if (!key) {
		v->unkeyed++;
		return 0;
	}
	n = 1 + GPOINTER_TO_UINT(g_hash_table_lookup(v->runs_by_key, key));
	g_hash_table_replace(v->runs_by_key, g_strdup(key),
			     GUINT_TO_POINTER(n));
	return n;
}

/*
 * Equal calls get equal receipts. Every further run of an idempotency key gets
 * a new receipt, so that a client can detect it.
 */
static json_t *make_receipt(struct exchange *x, const char *key, guint run)
{
	const char *path = x->req->uri->path->full;
	uint64_t call = pf_id2(pf_id(pf_str_c(path)), pf_id(exchange_body(x)));
	uint64_t id = pf_id2(call, pf_id2(pf_id(pf_str_c(key)), run));
	char text[17];

	g_snprintf(text, sizeof(text), "%016" PRIx64, id);
	return json_pack("{sssssi}", "receipt", text, "path", path, "run",
			 (int)run);
}

static void handle_call(void *self, struct exchange *x)
{
	struct service *v = self;
	const char *key =
		evhtp_header_find(x->req->headers_in, "Idempotency-Key");
	uint32_t ms = answer_directive(exchange_body(x), "slow", 0);
	json_t *answer = make_receipt(x, key, count_run(v, key));

	if (ms)
		exchange_reply_after(x, ms, answer);
	else
		exchange_reply_json(x, 200, answer);
}

static json_t *service_state(void *self)
{
	struct service *v = self;
	json_t *runs = json_object();
	json_int_t keys_run_twice = 0;
	GHashTableIter it;
	void *key;
	void *n;

	g_hash_table_iter_init(&it, v->runs_by_key);
	while (g_hash_table_iter_next(&it, &key, &n)) {
		keys_run_twice += GPOINTER_TO_UINT(n) > 1;
		json_object_set_new(runs, key,
				    json_integer(GPOINTER_TO_UINT(n)));
	}
	return json_pack("{sosIsIsI}", "runs", runs, "doubled", keys_run_twice,
			 "calls", (json_int_t)v->calls, "unkeyed",
			 (json_int_t)v->unkeyed);
}

struct service *service_new(struct server *s)
{
	static const struct route routes[] = {
		{ "/", TARGET_SERVICE, handle_call },
		{ "", TARGET_NONE, NULL },
	};
	struct service *v = g_new0(struct service, 1);

	v->runs_by_key =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	s->routes = routes;
	s->state_json = service_state;
	return v;
}

void service_free(struct service *v)
{
	g_hash_table_destroy(v->runs_by_key);
	g_free(v);
}
