/*
 * The plain service's stand-in: a receipt for each call, and a count of how
 * often each idempotency key ran.
 */
#include "standin/roles.h"
#include "standin/answer.h"

#include <event2/event.h>
#include <glib.h>
#include <inttypes.h>
#include <stdlib.h>

struct service {
	struct server *server;
	GHashTable *runs; /* idempotency key to its count */
	uint64_t calls, unkeyed;
};

/* A call that answers late. */
struct call {
	struct exchange *x; /* NULL when its caller went away */
	struct event *timer;
	json_t *answer;
};

static enum target target_of(const char *path)
{
	(void)path;
	return TARGET_SERVICE;
}

static uint64_t count_run(struct service *v, const char *key)
{
	uint64_t n;

	v->calls++;
	if (!key) {
		v->unkeyed++;
		return 0;
	}
	n = 1 + GPOINTER_TO_UINT(g_hash_table_lookup(v->runs, key));
	g_hash_table_replace(v->runs, g_strdup(key), GUINT_TO_POINTER(n));
	return n;
}

/* Same call, same answer; another run of a key gives another receipt. */
static json_t *receipt(struct exchange *x, const char *key, uint64_t run)
{
	const char *path = exchange_path(x);
	uint64_t id =
		pf_id2(pf_id2(pf_id(pf_str_c(path)), pf_id(exchange_body(x))),
		       pf_id2(key ? pf_id(pf_str_c(key)) : 0, run));
	char text[17];

	g_snprintf(text, sizeof(text), "%016" PRIx64, id);
	return json_pack("{sssssI}", "receipt", text, "path", path, "run",
			 (json_int_t)run);
}

static void call_gone(void *ctx)
{
	((struct call *)ctx)->x = NULL;
}

static void call_done(evutil_socket_t fd, short what, void *ctx)
{
	struct call *c = ctx;

	(void)fd;
	(void)what;
	if (c->x) {
		c->x->closed = NULL;
		exchange_reply_json(c->x, 200, c->answer);
	} else {
		json_decref(c->answer);
	}
	event_free(c->timer);
	g_free(c);
}

static void handle(void *self, struct exchange *x)
{
	struct service *v = self;
	const char *key =
		evhtp_header_find(x->req->headers_in, "Idempotency-Key");
	uint32_t ms = answer_directive(exchange_body(x), "slow", 0);
	struct timeval tv = { ms / 1000, (ms % 1000) * 1000 };
	json_t *answer = receipt(x, key, count_run(v, key));
	struct call *c;

	if (!ms) {
		exchange_reply_json(x, 200, answer);
		return;
	}
	c = g_new0(struct call, 1);
	c->x = x;
	c->answer = answer;
	c->timer = evtimer_new(v->server->base, call_done, c);
	x->closed = call_gone;
	x->ctx = c;
	evtimer_add(c->timer, &tv);
}

static json_t *state(void *self)
{
	struct service *v = self;
	json_t *runs = json_object();
	json_int_t doubled = 0;
	GHashTableIter it;
	void *key;
	void *n;

	g_hash_table_iter_init(&it, v->runs);
	while (g_hash_table_iter_next(&it, &key, &n)) {
		doubled += GPOINTER_TO_UINT(n) > 1;
		json_object_set_new(runs, key,
				    json_integer(GPOINTER_TO_UINT(n)));
	}
	return json_pack("{sosIsIsI}", "runs", runs, "doubled", doubled,
			 "calls", (json_int_t)v->calls, "unkeyed",
			 (json_int_t)v->unkeyed);
}

struct service *service_new(struct server *s)
{
	struct service *v = g_new0(struct service, 1);

	v->server = s;
	v->runs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	s->role = (struct role){ target_of, handle, NULL, state };
	s->self = v;
	return v;
}

void service_free(struct service *v)
{
	g_hash_table_destroy(v->runs);
	g_free(v);
}
