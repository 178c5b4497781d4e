/* Polls the platform's list of VMs. */
#include "pimentoford/vm_list.h"
#include "pimentoford/clock.h"

#include "pimentoford/http_client.h"

#include <event2/event.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define STATUS_OK 200
#define REQUEST_TIMEOUT_MS 3000
#define BODY_BYTES_MAX ((size_t)8 << 20)

struct pf_vm_list {
	struct pf_vm_list_opts opts;
	struct pf_rng rng;
	struct pf_http *http;
	struct event *timer;
};

static void schedule_poll(struct pf_vm_list *l)
{
	pf_ms wait = l->opts.poll_interval / 2 +
		     pf_rng_below(&l->rng, (uint32_t)l->opts.poll_interval + 1);
	struct timeval tv = pf_clock_timeval(wait);

	event_add(l->timer, &tv);
}

static struct pf_str string_member(const json_t *vm, const char *key)
{
	const json_t *j = json_object_get(vm, key);

	return (struct pf_str){ json_string_value(j), json_string_length(j) };
}

static void report_list(struct pf_vm_list *l, const json_t *vms)
{
	struct pf_vm *v = calloc(json_array_size(vms) + 1, sizeof(*v));
	uint32_t n = 0;
	const json_t *vm;
	size_t i;

	if (!v)
		return;
	json_array_foreach(vms, i, vm)
	{
		v[n].name = string_member(vm, "name");
		v[n].zone = string_member(vm, "zone");
		v[n].leaving = pf_str_eq(string_member(vm, "state"),
					 PF_STR("leaving"));
		n += v[n].name.n > 0;
	}
	l->opts.list(l->opts.ctx, v, n);
	free(v);
}

static void parse_list(struct pf_vm_list *l, struct pf_str body)
{
	json_t *root = json_loadb(body.p ? body.p : "", body.n, 0, NULL);
	const json_t *vms = json_object_get(root, "vms");
	const json_t *vm;
	size_t i;

	json_array_foreach(vms, i, vm)
	{
		const char *state =
			json_string_value(json_object_get(vm, "state"));
		const json_t *name = json_object_get(vm, "name");

		if (!l->opts.leaving || !state ||
		    strcmp(state, "leaving") != 0 || !json_is_string(name))
			continue;
		l->opts.leaving(l->opts.ctx,
				(struct pf_str){ json_string_value(name),
						 json_string_length(name) });
	}
	if (l->opts.list && json_is_array(vms))
		report_list(l, vms);
	json_decref(root);
}

static void on_answer(void *ctx, const struct pf_http_answer *a)
{
	struct pf_vm_list *l = ctx;

	schedule_poll(l);
	if (a->result == PF_HTTP_OK && a->status == STATUS_OK)
		parse_list(l, a->body);
}

static void on_timer(evutil_socket_t fd, short what, void *ctx)
{
	struct pf_vm_list *l = ctx;
	struct pf_http_request r = {
		.method = "GET",
		.target = "/vms",
		.timeout = REQUEST_TIMEOUT_MS,
		.done = on_answer,
		.ctx = l,
	};

	(void)fd;
	(void)what;
	if (!pf_http_start(l->http, &r))
		schedule_poll(l);
}

struct pf_vm_list *pf_vm_list_new(const struct pf_vm_list_opts *o)
{
	struct pf_http_opts ho = {
		.base = o->base,
		.addr = o->addr,
		.conns_max = 1,
		.idle_max = 1,
		.body_max = BODY_BYTES_MAX,
	};
	struct pf_vm_list *l = calloc(1, sizeof(*l));

	if (!l)
		return NULL;
	l->opts = *o;
	l->opts.addr = NULL;
	pf_rng_seed(&l->rng, o->seed);
	l->http = pf_http_new(&ho);
	l->timer = evtimer_new(o->base, on_timer, l);
	if (!l->http || !l->timer) {
		pf_vm_list_free(l);
		return NULL;
	}
	schedule_poll(l);
	return l;
}

void pf_vm_list_free(struct pf_vm_list *l)
{
	if (!l)
		return;
	pf_http_free(l->http);
	if (l->timer)
		event_free(l->timer);
	free(l);
}
