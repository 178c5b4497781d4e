/* pimento-loader: loads and unloads models at the engine beside it. */
#include "pimentoford/clock.h"
#include "pimentoford/http_client.h"
#include "pimentoford/loader.h"
#include "pimentoford/log.h"
#include "pimentoford/process.h"
#include "pimentoford/settings.h"
#include "pimentoford/talk.h"
#include "platform/platform.h"

#include <event2/event.h>
#include <event2/util.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>
#include <unistd.h>

/* Healthy engines answer within these. The order timeout is below the core's,
 * so that no answer arrives after the core has given it up. */
#define REPORT_TIMEOUT_MS 900
#define ORDER_TIMEOUT_MS 400
#define ANSWER_BYTES_MAX 65536
#define ENGINE_CONNS_MAX 4
/* For gateways that state no interval. */
#define DEFAULT_STATE_INTERVAL_MS 500
#define STATE_TICK_MS 250
/* A gateway without a datagram for this long is sent nothing. */
#define GATEWAY_TIMEOUT_MS 6000
/* Beyond, the one silent longest is forgotten. */
#define GATEWAYS_MAX 4096
/* Lines of one event; further ones are counted and dropped. */
#define LOG_LINES_PER_S 100

/** A gateway that has sent datagrams. */
struct gateway_peer {
	struct sockaddr_in addr;
	pf_ms last_seen_at;
	pf_ms state_sent_at;
	pf_ms state_interval;
};

struct loader {
	struct event_base *base;
	struct pf_loader_settings settings;
	const char *settings_path;
	struct pf_log log;
	struct pf_loader *core;
	struct event *core_timer;
	struct event *state_timer;
	struct pf_http *engine;
	struct pf_talk *talk;
	struct gateway_peer gateways[GATEWAYS_MAX];
	uint32_t n_gateways; /* slots ever used */
	bool in_core_step;
	bool poll_not_started; /* reported to the core after its step */
	LIST_HEAD(, order_call) orders; /* without an answer */
	bool engine_unreachable; /* the last report failed */
};

static void core_step(struct loader *l, const struct pf_loader_msg *m);

static void on_report(void *ctx, const struct pf_http_answer *a)
{
	struct pf_loader_msg m = { .type = PF_LOADER_REPORT };
	struct pf_engine_report r;
	struct loader *l = ctx;
	bool ok = a->result == PF_HTTP_OK && a->status == 200 &&
		  platform_decode_report(a->body, &r) == 0;

	if (ok == l->engine_unreachable) {
		l->engine_unreachable = !ok;
		PF_LOG(&l->log, PF_LOG_INFO, ok ? "engine_back" : "engine_away",
		       PF_KV_INT("status", a->status));
	}
	m.u.report = ok ? &r : NULL;
	core_step(l, &m);
}

static void fetch_report(struct loader *l)
{
	struct pf_http_request r = {
		.method = "GET",
		.target = PLATFORM_REPORT_TARGET,
		.timeout = REPORT_TIMEOUT_MS,
		.done = on_report,
		.ctx = l,
	};

	if (!pf_http_start(l->engine, &r)) {
		PF_LOG(&l->log, PF_LOG_WARN, "poll_not_sent");
		l->poll_not_started = true;
	}
}

struct order_call {
	LIST_ENTRY(order_call) next;
	struct loader *loader;
	uint64_t seq;
};

static void on_order_answered(void *ctx, const struct pf_http_answer *a)
{
	struct pf_loader_msg m = { .type = PF_LOADER_ANSWER };
	enum platform_order_result r = platform_decode_order_status(a->status);
	struct order_call *c = ctx;
	struct loader *l = c->loader;

	m.u.answer.seq = c->seq;
	LIST_REMOVE(c, next);
	free(c);
	m.u.answer.result = PF_LOADER_REFUSED;
	if (a->result == PF_HTTP_LOST)
		m.u.answer.result = PF_LOADER_IN_DOUBT;
	else if (a->result == PF_HTTP_OK && (r == PLATFORM_ORDER_ACCEPTED ||
					     r == PLATFORM_ORDER_NO_CHANGE))
		m.u.answer.result = PF_LOADER_ACCEPTED;
	PF_LOG(&l->log, PF_LOG_INFO, "ordered", PF_KV_INT("status", a->status),
	       PF_KV_INT("result", m.u.answer.result));
	core_step(l, &m);
}

static void send_order(struct loader *l, const struct pf_loader_act *a)
{
	struct platform_order o = {
		.load = a->call.load,
		.model = a->call.model,
		.adapter = a->call.adapter,
		.expected_orders = (int64_t)a->call.expected_orders,
		.holder = l->settings.common.name,
		.fencing_token = 1,
	};
	struct order_call *c = malloc(sizeof(*c));
	struct pf_text body = { 0 };
	struct pf_http_request r = {
		.method = "POST",
		.target = PLATFORM_ORDER_TARGET,
		.content_type = "application/json",
		.extra_header = platform_instance_header,
		.extra_header_value = a->call.instance,
		.timeout = ORDER_TIMEOUT_MS,
		.done = on_order_answered,
		.ctx = c,
	};

	platform_encode_order(&o, &body);
	r.body = pf_text_str(&body);
	PF_LOG(&l->log, PF_LOG_INFO, "order",
	       PF_KV_STR("endpoint", a->call.instance),
	       PF_KV_STR("op", a->call.load ? "load" : "unload"),
	       PF_KV_STR("model", a->call.model),
	       PF_KV_STR("adapter", a->call.adapter ? a->call.adapter : ""),
	       PF_KV_INT("orders", a->call.expected_orders));
	if (c)
		*c = (struct order_call){ .loader = l, .seq = a->call.seq };
	/* The core treats an order without an answer as in doubt. */
	if (!c || body.failed || !pf_http_start(l->engine, &r)) {
		PF_LOG(&l->log, PF_LOG_WARN, "order_not_sent");
		free(c);
	} else {
		LIST_INSERT_HEAD(&l->orders, c, next);
	}
	pf_text_free(&body);
}

/* Sends the engine's state to all gateways, or to those where it is due. */
static void send_state(struct loader *l, bool all)
{
	struct pf_engine_state s;
	pf_ms now = pf_clock_now();
	uint32_t i;

	pf_loader_state(l->core, now, &s);
	for (i = 0; i < l->n_gateways; i++) {
		struct gateway_peer *p = &l->gateways[i];

		if (now - p->last_seen_at >= GATEWAY_TIMEOUT_MS ||
		    (!all && now - p->state_sent_at < p->state_interval))
			continue;
		p->state_sent_at = now;
		pf_talk_send_state(l->talk, &p->addr, &s);
	}
}

static void on_act(void *ctx, const struct pf_loader_act *a)
{
	struct loader *l = ctx;

	switch (a->type) {
	case PF_LOADER_POLL:
		fetch_report(l);
		break;
	case PF_LOADER_CALL:
		send_order(l, a);
		break;
	case PF_LOADER_STATE_CHANGED:
		send_state(l, true);
		break;
	}
}

static void core_step(struct loader *l, const struct pf_loader_msg *m)
{
	static const struct pf_loader_msg no_report = {
		.type = PF_LOADER_REPORT
	};
	const struct pf_loader_sink sink = { on_act, l };
	pf_ms now = pf_clock_now();

	PF_INVARIANT("the core is not entered from its acts", !l->in_core_step);
	l->in_core_step = true;
	pf_loader_step(l->core, now, m, &sink);
	if (l->poll_not_started) {
		l->poll_not_started = false;
		pf_loader_step(l->core, now, &no_report, &sink);
	}
	l->in_core_step = false;
	pf_clock_arm(l->core_timer, now, pf_loader_next(l->core));
}

static void on_timer(evutil_socket_t fd, short what, void *ctx)
{
	static const struct pf_loader_msg tick = { .type = PF_LOADER_TICK };

	(void)fd;
	(void)what;
	core_step(ctx, &tick);
}

static void on_state_timer(evutil_socket_t fd, short what, void *ctx)
{
	(void)fd;
	(void)what;
	send_state(ctx, false);
}

static void gateway_seen(struct loader *l, const struct sockaddr_in *from,
			 pf_ms state_interval)
{
	struct gateway_peer *oldest = &l->gateways[0];
	pf_ms now = pf_clock_now();
	uint32_t i;

	for (i = 0; i < l->n_gateways; i++) {
		struct gateway_peer *p = &l->gateways[i];

		if (pf_talk_same_addr(&p->addr, from)) {
			p->last_seen_at = now;
			if (state_interval)
				p->state_interval = state_interval;
			return;
		}
		if (p->last_seen_at < oldest->last_seen_at)
			oldest = p;
	}
	if (l->n_gateways < GATEWAYS_MAX &&
	    (!l->n_gateways || now - oldest->last_seen_at < GATEWAY_TIMEOUT_MS))
		oldest = &l->gateways[l->n_gateways++];
	*oldest = (struct gateway_peer){ *from, now, 0,
					 state_interval
						 ? state_interval
						 : DEFAULT_STATE_INTERVAL_MS };
}

static void on_usage(void *ctx, const struct sockaddr_in *from,
		     const struct pf_loader_usage *usage)
{
	struct pf_loader_msg m = { .type = PF_LOADER_USAGE };
	struct loader *l = ctx;

	gateway_seen(l, from, usage->state_interval);
	m.u.usage = *usage;
	m.u.usage.gateway =
		(uint64_t)from->sin_addr.s_addr << 16 | from->sin_port;
	core_step(l, &m);
}

static void on_order(void *ctx, const struct sockaddr_in *from,
		     const struct pf_loader_order *o)
{
	struct pf_loader_msg m = { .type = PF_LOADER_ORDER };
	struct loader *l = ctx;

	gateway_seen(l, from, 0);
	m.u.order = *o;
	core_step(l, &m);
}

static void on_stop_signal(void *ctx)
{
	struct loader *l = ctx;

	PF_LOG(&l->log, PF_LOG_INFO, "stopping", PF_KV_STR("why", "signal"));
	event_base_loopbreak(l->base);
}

/* Applies the settings that may change at run time; others need a restart. */
static void on_reload(void *ctx)
{
	struct pf_loader_settings set = { 0 };
	struct loader *l = ctx;

	if (pf_process_settings(&pf_loader_form, l->settings_path, &set, NULL) <
	    0) {
		PF_LOG(&l->log, PF_LOG_ERROR, "reload_refused",
		       PF_KV_STR("file", l->settings_path));
	} else {
		l->log.level = (enum pf_log_level)set.common.log_level;
		PF_LOG(&l->log, PF_LOG_INFO, "reloaded",
		       PF_KV_STR("file", l->settings_path));
	}
	pf_fields_free(&pf_loader_form, &set);
}

static int start(struct loader *l)
{
	static const struct pf_loader_msg tick = { .type = PF_LOADER_TICK };
	struct timeval every = pf_clock_timeval(STATE_TICK_MS);
	struct pf_talk_opts talk_opts = { .usage = on_usage,
					  .order = on_order };
	struct pf_http_opts http_opts = { .addr = l->settings.backend,
					  .conns_max = ENGINE_CONNS_MAX,
					  .idle_max = 1,
					  .body_max = ANSWER_BYTES_MAX };
	struct pf_loader_opts core_opts;

	l->base = event_base_new();
	if (!l->base)
		return -1;
	pf_loader_opts_default(&core_opts);
	talk_opts.base = l->base;
	talk_opts.addr = l->settings.datagrams;
	talk_opts.log = &l->log;
	talk_opts.ctx = l;
	http_opts.base = l->base;
	l->core = pf_loader_new(&core_opts);
	l->engine = pf_http_new(&http_opts);
	l->talk = pf_talk_new(&talk_opts);
	l->core_timer = event_new(l->base, -1, 0, on_timer, l);
	l->state_timer = event_new(l->base, -1, EV_PERSIST, on_state_timer, l);
	if (!l->core || !l->engine || !l->talk || !l->core_timer ||
	    !l->state_timer ||
	    pf_process_signals(l->base, on_stop_signal, l) < 0 ||
	    pf_process_reload(l->base, l->settings_path, on_reload, l) < 0)
		return -1;
	event_add(l->state_timer, &every);
	core_step(l, &tick);
	return 0;
}

static void stop(struct loader *l)
{
	struct order_call *next;
	struct order_call *c;

	pf_talk_free(l->talk);
	pf_http_free(l->engine);
	for (c = LIST_FIRST(&l->orders); c; c = next) {
		next = LIST_NEXT(c, next);
		free(c);
	}
	pf_loader_free(l->core);
	if (l->core_timer)
		event_free(l->core_timer);
	if (l->state_timer)
		event_free(l->state_timer);
	/* The base stays: the process's signal events refer to it. */
}

int main(int argc, char **argv)
{
	static struct pf_log_limit limit = { .per_s = LOG_LINES_PER_S };
	struct pf_process_options o;
	static struct loader l;
	int status;

	if (pf_process_options(
		    argc, argv,
		    "Loads and unloads models at the engine beside it.", &o,
		    &status) < 0)
		return status;
	status = PF_EXIT_SETTINGS;
	l.settings_path = o.settings;
	if (pf_process_settings(&pf_loader_form, o.settings, &l.settings,
				NULL) < 0)
		goto out;
	status = EXIT_SUCCESS;
	if (o.check)
		goto out;
	l.log = (struct pf_log){ STDOUT_FILENO,
				 (enum pf_log_level)l.settings.common.log_level,
				 "loader", &limit };
	/* A stalled reader of the log must not block the daemon. */
	evutil_make_socket_nonblocking(STDOUT_FILENO);
	status = EXIT_FAILURE;
	if (start(&l) == 0) {
		PF_LOG(&l.log, PF_LOG_INFO, "started",
		       PF_KV_STR("name", l.settings.common.name),
		       PF_KV_STR("engine", l.settings.backend));
		event_base_dispatch(l.base);
		PF_LOG(&l.log, PF_LOG_INFO, "ended");
		status = EXIT_SUCCESS;
	} else {
		PF_LOG(&l.log, PF_LOG_ERROR, "not_started",
		       PF_KV_STR("datagrams", l.settings.datagrams));
	}
	stop(&l);
out:
	pf_fields_free(&pf_loader_form, &l.settings);
	free(o.settings);
	return status;
}
