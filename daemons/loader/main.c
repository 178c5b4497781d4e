/* pimento-loader: gives orders to the engine beside it. */
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
#include <unistd.h>

/* What an engine that is well answers within; below the core's own limit, so
 * that no answer comes after it. */
#define CALL_TIMEOUT_MS 900
#define ORDER_TIMEOUT_MS 400
#define BODY_MAX 65536
#define CONNS_MAX 4
/* Gateways that did not say otherwise hear from it so often. */
#define TELL_EVERY_MS 500
#define TELL_TICK_MS 250
/* A gateway that was not heard for so long is told nothing. */
#define GATEWAY_SILENT_MS 6000
#define GATEWAYS_MAX 64
/* Of one event; more in a second are counted and left out. */
#define LOG_LINES_PER_S 100

struct gateway_peer {
	struct sockaddr_in addr;
	pf_ms heard_at; /* 0: free */
	pf_ms told_at;
	pf_ms tell_every;
};

struct loader {
	struct event_base *base;
	struct pf_loader_settings set;
	const char *settings_path;
	struct pf_log log;
	struct pf_loader *core;
	struct event *timer;
	struct event *tell_timer;
	struct pf_http *engine;
	struct pf_talk *talk;
	struct gateway_peer gateways[GATEWAYS_MAX];
	bool in_step;
	bool engine_away;
};

static void step(struct loader *l, const struct pf_loader_msg *m);

static void on_report(void *ctx, const struct pf_http_answer *a)
{
	struct pf_loader_msg m = { .type = PF_LOADER_REPORT };
	struct pf_engine_report r;
	struct loader *l = ctx;
	bool ok = a->result == PF_HTTP_OK && a->status == 200 &&
		  platform_report(a->body, &r) == 0;

	if (ok == l->engine_away) {
		l->engine_away = !ok;
		PF_LOG(&l->log, PF_LOG_INFO, ok ? "engine_back" : "engine_away",
		       PF_KV_INT("status", a->status));
	}
	m.u.report = ok ? &r : NULL;
	step(l, &m);
}

static void poll_engine(struct loader *l)
{
	struct pf_http_request r = {
		.method = "GET",
		.target = PLATFORM_REPORT_TARGET,
		.timeout = CALL_TIMEOUT_MS,
		.done = on_report,
		.ctx = l,
	};

	/* The core asks again when no answer is possible. */
	if (!pf_http_start(l->engine, &r))
		PF_LOG(&l->log, PF_LOG_WARN, "poll_not_sent");
}

/* An order under way at the engine. */
struct order_call {
	struct loader *l;
	uint64_t seq;
};

static void on_ordered(void *ctx, const struct pf_http_answer *a)
{
	struct pf_loader_msg m = { .type = PF_LOADER_ANSWER };
	enum platform_order_result r = platform_order_result(a->status);
	struct order_call *c = ctx;
	struct loader *l = c->l;

	m.u.answer.seq = c->seq;
	free(c);
	m.u.answer.result = PF_LOADER_REFUSED;
	if (a->result == PF_HTTP_LOST)
		m.u.answer.result = PF_LOADER_IN_DOUBT;
	else if (a->result == PF_HTTP_OK &&
		 (r == PLATFORM_ORDER_ACCEPTED || r == PLATFORM_ORDER_HOLDS))
		m.u.answer.result = PF_LOADER_ACCEPTED;
	PF_LOG(&l->log, PF_LOG_INFO, "ordered", PF_KV_INT("status", a->status),
	       PF_KV_INT("result", m.u.answer.result));
	step(l, &m);
}

static void call_engine(struct loader *l, const struct pf_loader_act *a)
{
	struct platform_order o = {
		.load = a->call.load,
		.model = a->call.model,
		.adapter = a->call.adapter,
		.expected = (int64_t)a->call.expected_orders,
		.holder = l->set.common.name,
		.fence = 1,
	};
	struct order_call *c = malloc(sizeof(*c));
	struct pf_text body = { 0 };
	struct pf_http_request r = {
		.method = "POST",
		.target = PLATFORM_ORDER_TARGET,
		.content_type = "application/json",
		.extra_header = platform_expect_header,
		.extra_header_value = a->call.instance,
		.timeout = ORDER_TIMEOUT_MS,
		.done = on_ordered,
		.ctx = c,
	};

	platform_order_body(&o, &body);
	r.body = pf_text_str(&body);
	PF_LOG(&l->log, PF_LOG_INFO, "order",
	       PF_KV_STR("endpoint", a->call.instance),
	       PF_KV_STR("op", a->call.load ? "load" : "unload"),
	       PF_KV_STR("model", a->call.model),
	       PF_KV_STR("adapter", a->call.adapter ? a->call.adapter : ""),
	       PF_KV_INT("orders", a->call.expected_orders));
	if (c)
		*c = (struct order_call){ l, a->call.seq };
	/* The core counts an order without an answer as silent. */
	if (!c || body.failed || !pf_http_start(l->engine, &r)) {
		PF_LOG(&l->log, PF_LOG_WARN, "order_not_sent");
		free(c);
	}
	pf_text_free(&body);
}

/* Tells all gateways, or those whose time it is. */
static void tell_gateways(struct loader *l, bool all)
{
	struct pf_engine_state s;
	pf_ms now = pf_clock_now();
	uint32_t i;

	pf_loader_state(l->core, now, &s);
	for (i = 0; i < GATEWAYS_MAX; i++) {
		struct gateway_peer *p = &l->gateways[i];

		if (!p->heard_at || now - p->heard_at >= GATEWAY_SILENT_MS ||
		    (!all && now - p->told_at < p->tell_every))
			continue;
		p->told_at = now;
		pf_talk_send_state(l->talk, &p->addr, &s);
	}
}

static void emit(void *ctx, const struct pf_loader_act *a)
{
	struct loader *l = ctx;

	switch (a->type) {
	case PF_LOADER_POLL:
		poll_engine(l);
		break;
	case PF_LOADER_CALL:
		call_engine(l, a);
		break;
	case PF_LOADER_STATE_CHANGED:
		tell_gateways(l, true);
		break;
	}
}

static void step(struct loader *l, const struct pf_loader_msg *m)
{
	const struct pf_loader_sink sink = { emit, l };
	pf_ms now = pf_clock_now();

	PF_INVARIANT("the core is not entered from its acts", !l->in_step);
	l->in_step = true;
	pf_loader_step(l->core, now, m, &sink);
	l->in_step = false;
	pf_clock_arm(l->timer, now, pf_loader_next(l->core));
}

static void on_timer(evutil_socket_t fd, short what, void *ctx)
{
	static const struct pf_loader_msg tick = { .type = PF_LOADER_TICK };

	(void)fd;
	(void)what;
	step(ctx, &tick);
}

static void on_tell_timer(evutil_socket_t fd, short what, void *ctx)
{
	(void)fd;
	(void)what;
	tell_gateways(ctx, false);
}

static void heard(struct loader *l, const struct sockaddr_in *from,
		  pf_ms tell_every)
{
	struct gateway_peer *oldest = &l->gateways[0];
	uint32_t i;

	for (i = 0; i < GATEWAYS_MAX; i++) {
		struct gateway_peer *p = &l->gateways[i];

		if (p->heard_at && pf_talk_same_addr(&p->addr, from)) {
			p->heard_at = pf_clock_now();
			if (tell_every)
				p->tell_every = tell_every;
			return;
		}
		if (p->heard_at < oldest->heard_at)
			oldest = p;
	}
	*oldest = (struct gateway_peer){ *from, pf_clock_now(), 0,
					 tell_every ? tell_every
						    : TELL_EVERY_MS };
}

static void on_want(void *ctx, const struct sockaddr_in *from,
		    const struct pf_loader_usage *w)
{
	struct pf_loader_msg m = { .type = PF_LOADER_USAGE };
	struct loader *l = ctx;

	heard(l, from, w->state_interval);
	m.u.usage = *w;
	m.u.usage.gateway =
		(uint64_t)from->sin_addr.s_addr << 16 | from->sin_port;
	step(l, &m);
}

static void on_order(void *ctx, const struct sockaddr_in *from,
		     const struct pf_loader_order *o)
{
	struct pf_loader_msg m = { .type = PF_LOADER_ORDER };
	struct loader *l = ctx;

	heard(l, from, 0);
	m.u.order = *o;
	step(l, &m);
}

static void on_stop(void *ctx)
{
	struct loader *l = ctx;

	PF_LOG(&l->log, PF_LOG_INFO, "stopping", PF_KV_STR("why", "signal"));
	event_base_loopbreak(l->base);
}

/* Takes over what may change while running; the rest needs a restart. */
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
	struct timeval every = pf_clock_timeval(TELL_TICK_MS);
	struct pf_talk_opts to = { .usage = on_want, .order = on_order };
	struct pf_http_opts ho = { .addr = l->set.backend,
				   .conns_max = CONNS_MAX,
				   .idle_max = 1,
				   .body_max = BODY_MAX };
	struct pf_loader_opts lo;

	l->base = event_base_new();
	if (!l->base)
		return -1;
	pf_loader_opts_default(&lo);
	to.base = l->base;
	to.addr = l->set.talk;
	to.log = &l->log;
	to.ctx = l;
	ho.base = l->base;
	l->core = pf_loader_new(&lo);
	l->engine = pf_http_new(&ho);
	l->talk = pf_talk_new(&to);
	l->timer = event_new(l->base, -1, 0, on_timer, l);
	l->tell_timer = event_new(l->base, -1, EV_PERSIST, on_tell_timer, l);
	if (!l->core || !l->engine || !l->talk || !l->timer || !l->tell_timer ||
	    pf_process_signals(l->base, on_stop, l) < 0 ||
	    pf_process_reload(l->base, l->settings_path, on_reload, l) < 0)
		return -1;
	event_add(l->tell_timer, &every);
	step(l, &tick);
	return 0;
}

static void stop(struct loader *l)
{
	pf_talk_free(l->talk);
	pf_http_free(l->engine);
	pf_loader_free(l->core);
	if (l->timer)
		event_free(l->timer);
	if (l->tell_timer)
		event_free(l->tell_timer);
	if (l->base)
		event_base_free(l->base);
}

int main(int argc, char **argv)
{
	static struct pf_log_limit limit = { .per_s = LOG_LINES_PER_S };
	struct pf_process_options o;
	static struct loader l;
	int status;

	if (pf_process_options(argc, argv,
			       "Gives orders to the engine beside it.", &o,
			       &status) < 0)
		return status;
	status = PF_EXIT_SETTINGS;
	l.settings_path = o.settings;
	if (pf_process_settings(&pf_loader_form, o.settings, &l.set, NULL) < 0)
		goto out;
	status = EXIT_SUCCESS;
	if (o.check)
		goto out;
	l.log = (struct pf_log){ STDOUT_FILENO,
				 (enum pf_log_level)l.set.common.log_level,
				 "loader", &limit };
	/* A reader that stands still must not stop the daemon. */
	evutil_make_socket_nonblocking(STDOUT_FILENO);
	status = EXIT_FAILURE;
	if (start(&l) == 0) {
		PF_LOG(&l.log, PF_LOG_INFO, "started",
		       PF_KV_STR("name", l.set.common.name),
		       PF_KV_STR("engine", l.set.backend));
		event_base_dispatch(l.base);
		PF_LOG(&l.log, PF_LOG_INFO, "ended");
		status = EXIT_SUCCESS;
	} else {
		PF_LOG(&l.log, PF_LOG_ERROR, "not_started",
		       PF_KV_STR("talk", l.set.talk));
	}
	stop(&l);
out:
	pf_fields_free(&pf_loader_form, &l.set);
	free(o.settings);
	return status;
}
