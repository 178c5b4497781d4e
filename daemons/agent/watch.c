/*
 * Polls the engine's inventory: detects crashes, cancels leftover runs when the
 * engine comes up, and reports the inventory to the core.
 */
#include "daemon.h"
#include "pimentoford/clock.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define STATUS_OK 200
#define REQUEST_TIMEOUT_MS 5000
#define CLEARING_POLL_MS 20
#define POLL_NOW_MS 1
/* This many lost connections in a row count as a crash. */
#define LOST_ANSWERS_MAX 3
#define LOST_RETRY_MS 50
#define TARGET_BYTES_MAX 256
#define INVENTORY_ITEMS_MAX 4096

static void request_inventory(struct daemon *d);

static void poll_after(struct daemon *d, pf_ms wait)
{
	struct timeval tv = pf_clock_timeval(wait);

	event_add(d->watch.poll_timer, &tv);
}

static void mark_engine_down(struct daemon *d, const char *why)
{
	static const struct pf_agent_msg down = {
		.type = PF_AGENT_ENGINE_DOWN
	};

	if (d->watch.state == ENGINE_UP) {
		PF_LOG(&d->log, PF_LOG_WARN, "engine_down",
		       PF_KV_STR("why", why));
		d->counters.v[PF_AC_ENGINE_CRASHES]++;
		runs_reset_all(d);
		agent_step(d, &down);
	}
	d->watch.state = ENGINE_DOWN;
}

static void on_leftover_cancelled(void *ctx, const struct pf_http_answer *a)
{
	/* The next inventory shows whether the run is gone. */
	(void)ctx;
	(void)a;
}

static void cancel_leftover(struct daemon *d, const char *run)
{
	char target[TARGET_BYTES_MAX];
	struct pf_http_request r = {
		.method = "POST",
		.target = target,
		.content_type = "application/json",
		.body = PF_STR("{}"),
		.timeout = REQUEST_TIMEOUT_MS,
		.done = on_leftover_cancelled,
		.ctx = d,
	};

	snprintf(target, sizeof(target), "/engine/run/%s/cancel", run);
	pf_http_start(d->backend, &r);
}

static void report_inventory(struct daemon *d,
			     const struct pf_engine_inventory *inv)
{
	struct pf_agent_msg m = { .type = PF_AGENT_ENGINE_UP };
	struct pf_agent_item *items;
	size_t i;

	if (inv->n_items > INVENTORY_ITEMS_MAX)
		return;
	items = calloc(inv->n_items + 1, sizeof(*items));
	if (!items)
		return;
	for (i = 0; i < inv->n_items; i++) {
		names_add(d, inv->items[i].name);
		items[i].id = pf_id(pf_str_c(inv->items[i].name));
		items[i].state = inv->items[i].state;
		items[i].bytes = inv->items[i].bytes;
	}
	m.u.inventory.items = items;
	m.u.inventory.n_items = (uint32_t)inv->n_items;
	m.u.inventory.used_bytes = inv->used_bytes;
	d->watch.core_awaits_inventory = false;
	agent_step(d, &m);
	free(items);
}

static void bring_engine_up(struct daemon *d,
			    const struct pf_engine_inventory *inv)
{
	size_t i;

	if (inv->n_runs > 0) {
		d->watch.state = ENGINE_CLEARING;
		for (i = 0; i < inv->n_runs; i++)
			cancel_leftover(d, inv->runs[i]);
		poll_after(d, CLEARING_POLL_MS);
		return;
	}
	d->watch.state = ENGINE_UP;
	PF_LOG(&d->log, PF_LOG_INFO, "engine_up",
	       PF_KV_STR("boot", inv->boot_id),
	       PF_KV_INT("items", (int64_t)inv->n_items));
	report_inventory(d, inv);
	poll_after(d, d->settings.load_poll);
}

static void on_inventory(struct daemon *d, struct pf_engine_inventory *inv)
{
	struct engine_watch *w = &d->watch;

	w->failures_in_a_row = 0;
	if (w->boot_id && strcmp(w->boot_id, inv->boot_id) != 0)
		mark_engine_down(d, "engine restarted");
	free(w->boot_id);
	w->boot_id = strdup(inv->boot_id);
	if (w->state != ENGINE_UP) {
		bring_engine_up(d, inv);
		return;
	}
	runs_cancel_broken(d);
	if (w->core_awaits_inventory)
		report_inventory(d, inv);
	poll_after(d, d->settings.load_poll);
}

static void on_inventory_answer(void *ctx, const struct pf_http_answer *a)
{
	struct pf_engine_inventory inv;
	struct daemon *d = ctx;
	struct engine_watch *w = &d->watch;

	w->inventory_call = NULL;
	if (a->result == PF_HTTP_OK && a->status == STATUS_OK &&
	    pf_engine_inventory_parse(a->body, &inv) == 0) {
		on_inventory(d, &inv);
		pf_engine_inventory_free(&inv);
		return;
	}
	w->failures_in_a_row++;
	if (a->result == PF_HTTP_NOT_SENT)
		mark_engine_down(d, "connection refused");
	else if (a->result == PF_HTTP_LOST &&
		 w->failures_in_a_row >= LOST_ANSWERS_MAX)
		mark_engine_down(d, "connections lost");
	poll_after(d, w->state == ENGINE_UP ? LOST_RETRY_MS
					    : d->settings.load_poll);
}

static void request_inventory(struct daemon *d)
{
	struct pf_http_request r = {
		.method = "GET",
		.target = "/engine/inventory",
		.timeout = REQUEST_TIMEOUT_MS,
		.done = on_inventory_answer,
		.ctx = d,
	};

	if (d->watch.inventory_call)
		return;
	d->watch.inventory_call = pf_http_start(d->backend, &r);
	if (!d->watch.inventory_call)
		poll_after(d, d->settings.load_poll);
}

static void on_timer(evutil_socket_t fd, short what, void *ctx)
{
	(void)fd;
	(void)what;
	request_inventory(ctx);
}

void watch_poll_now(struct daemon *d)
{
	if (!d->watch.inventory_call && d->watch.poll_timer)
		poll_after(d, POLL_NOW_MS);
}

int watch_start(struct daemon *d)
{
	static const struct pf_agent_msg up = { .type = PF_AGENT_ENGINE_UP };
	struct pf_http_opts o = {
		.base = d->base,
		.addr = d->settings.backend,
		.conns_max = 4096,
		.idle_max = 64,
		.body_max = (size_t)16 << 20,
	};

	d->backend = pf_http_new(&o);
	d->watch.poll_timer = evtimer_new(d->base, on_timer, d);
	if (!d->backend || !d->watch.poll_timer)
		return -1;
	if (d->plain) {
		/* A plain service has no inventory. */
		d->watch.state = ENGINE_UP;
		agent_step(d, &up);
	} else {
		request_inventory(d);
	}
	return 0;
}

void watch_stop(struct daemon *d)
{
	pf_http_free(d->backend);
	if (d->watch.poll_timer)
		event_free(d->watch.poll_timer);
	free(d->watch.boot_id);
}
