/* Load and unload orders to the engine; names of models and adapters. */
#include "daemon.h"

#include <stdlib.h>
#include <string.h>

#define STATUS_OK 200
/* An order continues after the timeout; the inventory shows its outcome. */
#define ORDER_TIMEOUT_MS 120000

struct order_call {
	struct daemon *d;
	uint64_t order;
};

const char *names_find(const struct daemon *d, uint64_t id)
{
	size_t i;

	for (i = 0; i < d->n_item_names; i++) {
		if (d->item_names[i].id == id)
			return d->item_names[i].name;
	}
	return NULL;
}

void names_add(struct daemon *d, const char *name)
{
	uint64_t id = pf_id(pf_str_c(name));
	struct item_name *v;

	if (names_find(d, id))
		return;
	v = realloc(d->item_names, (d->n_item_names + 1) * sizeof(*v));
	if (!v)
		return;
	d->item_names = v;
	v[d->n_item_names].id = id;
	v[d->n_item_names].name = strdup(name);
	if (v[d->n_item_names].name)
		d->n_item_names++;
}

void names_free(struct daemon *d)
{
	size_t i;

	for (i = 0; i < d->n_item_names; i++)
		free(d->item_names[i].name);
	free(d->item_names);
	d->item_names = NULL;
	d->n_item_names = 0;
}

static void report_order_done(struct daemon *d, uint64_t order, bool ok)
{
	struct pf_agent_msg m = { .type = PF_AGENT_ORDER_DONE };

	m.u.order.id = order;
	m.u.order.ok = ok;
	if (d->in_step)
		agent_enqueue(d, &m);
	else
		agent_step(d, &m);
}

static void on_order_answer(void *ctx, const struct pf_http_answer *a)
{
	struct order_call *c = ctx;
	struct daemon *d = c->d;
	uint64_t order = c->order;
	char code[32];

	free(c);
	if (a->result == PF_HTTP_LOST) {
		/* In doubt: until the next inventory the core accounts for
		 * whichever outcome uses more memory. */
		d->counters.v[PF_AC_ORDERS_UNKNOWN]++;
		return;
	}
	if (a->result == PF_HTTP_OK && a->status != STATUS_OK) {
		pf_engine_error_code(a->body, code, sizeof(code));
		if (strcmp(code, "fenced") == 0)
			daemon_fail(
				d,
				"fenced: a newer agent controls this engine");
	}
	report_order_done(d, order,
			  a->result == PF_HTTP_OK && a->status == STATUS_OK);
}

void orders_send(struct daemon *d, const struct pf_agent_act *act)
{
	struct pf_engine_order o = {
		.fence = d->incarnation,
		.order = act->u.order.id,
		.load = act->type == PF_AGENT_LOAD,
		.item = names_find(d, act->u.order.item),
		.bytes = act->u.order.bytes,
	};
	struct pf_http_request r = {
		.method = "POST",
		.target = "/engine/orders",
		.content_type = "application/json",
		.timeout = ORDER_TIMEOUT_MS,
		.done = on_order_answer,
	};
	struct order_call *c = NULL;
	struct pf_text body = { 0 };
	bool sent = false;

	if (o.item)
		c = malloc(sizeof(*c));
	if (c) {
		c->d = d;
		c->order = o.order;
		pf_engine_order_body(&o, &body);
		r.body = pf_text_str(&body);
		r.ctx = c;
		sent = !body.failed && pf_http_start(d->backend, &r);
	}
	pf_text_free(&body);
	if (sent)
		return;
	free(c);
	report_order_done(d, o.order, false);
}
