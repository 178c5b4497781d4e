/* pimento-gateway: an HTTP proxy that routes callers' requests to endpoints. */
#include "gateway.h"

#include "pimentoford/counters.h"
#include "pimentoford/gateway_id.h"

#include <errno.h>
#include <event2/util.h>
#include <malloc.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* Time for the balancer to direct new connections elsewhere. Later requests are
 * refused, since they might not end before the drain timeout. */
#define DEREGISTER_MS 2800
#define STOP_POLL_INTERVAL_MS 50
/* Larger buffers are mapped, and so returned to the system when they are freed.
 * By default the size rises with those that were freed, up to 32 MB, and the
 * heap keeps what is below. */
#define MAPPED_BYTES_MIN (256 << 10)
/* Lines of one event; further ones are counted and dropped. */
#define LOG_LINES_PER_S 200

int gateway_set_config(struct gateway *g, struct platform_config *c)
{
	struct pf_gate_msg m = { .type = PF_GATE_ROUTES };
	struct pf_routes *routes = c->routes;
	struct pf_routes *old = g->routes;

	if (old && old->version >= routes->version) {
		platform_config_clear(c);
		return -1;
	}
	accounts_log_findings(g, c);
	accounts_set_keys(g, routes, c->keys);
	c->routes = NULL;
	c->keys = NULL;
	platform_config_clear(c);
	PF_LOG(&g->log, PF_LOG_INFO, "configuration",
	       PF_KV_INT("version", routes->version),
	       PF_KV_INT("routes", routes->n_routes),
	       PF_KV_INT("services", routes->n_services));
	g->routes = routes;
	m.u.routes = routes;
	talk_routes_changed(g);
	core_step(g, &m);
	allowances_routes_changed(g);
	pf_routes_free(old);
	return 0;
}

/* Ends the loop once no callers can arrive and all have their answers. */
static void on_stop_timer(evutil_socket_t fd, short what, void *ctx)
{
	static const struct pf_gate_msg shut_down = {
		.type = PF_GATE_SHUT_DOWN
	};
	struct gateway *g = ctx;
	pf_ms elapsed = pf_clock_now() - g->stopping_since;

	(void)fd;
	(void)what;
	if (elapsed > g->settings.drain)
		PF_LOG(&g->log, PF_LOG_ERROR, "drain_over",
		       PF_KV_STR("why",
				 "requests still open at the drain timeout"));
	else if (elapsed < DEREGISTER_MS)
		return;
	if (!g->shutting_down) {
		g->shutting_down = true;
		callers_stop_accepting(g);
		core_step(g, &shut_down);
	}
	if (!LIST_EMPTY(&g->callers) && elapsed <= g->settings.drain)
		return;
	callers_give_up(g);
	event_base_loopbreak(g->base);
}

static void on_stop_signal(void *ctx)
{
	struct timeval poll = pf_clock_timeval(STOP_POLL_INTERVAL_MS);
	struct gateway *g = ctx;

	if (g->stopping_since)
		return;
	g->stopping_since = pf_clock_now();
	PF_LOG(&g->log, PF_LOG_INFO, "draining", PF_KV_STR("why", "signal"));
	event_add(g->stop_timer, &poll);
}

static int load_settings(const char *path, struct pf_gateway_settings *set)
{
	pf_gate_opts_default(&set->core);
	return pf_process_settings(&pf_gateway_form, path, set, NULL);
}

/* Applies the settings that may change at run time; others need a restart. */
static void on_reload(void *ctx)
{
	struct pf_gateway_settings set = { 0 };
	struct gateway *g = ctx;

	if (load_settings(g->settings_path, &set) < 0) {
		PF_LOG(&g->log, PF_LOG_ERROR, "reload_refused",
		       PF_KV_STR("file", g->settings_path));
	} else {
		g->settings.drain = set.drain;
		g->log.level = (enum pf_log_level)set.common.log_level;
		pf_gate_set_budget(g->core, set.core.repeat_ratio,
				   set.core.repeat_slack);
		PF_LOG(&g->log, PF_LOG_INFO, "reloaded",
		       PF_KV_STR("file", g->settings_path));
	}
	pf_fields_free(&pf_gateway_form, &set);
}

static int start(struct gateway *g)
{
	g->base = event_base_new();
	if (!g->base)
		return -1;
	g->self = pf_gateway_id(g->settings.cores, pf_process_random());
	g->started_at = pf_clock_now();
	g->stop_timer = event_new(g->base, -1, EV_PERSIST, on_stop_timer, g);
	if (!g->stop_timer ||
	    pf_process_signals(g->base, on_stop_signal, g) < 0 ||
	    pf_process_reload(g->base, g->settings_path, on_reload, g) < 0 ||
	    accounts_start(g) < 0 || account_counts_start(g) < 0 ||
	    core_start(g) < 0)
		return -1;
	g->durations = pf_durations_new();
	if (!g->durations || buffers_start(g) < 0)
		return -1;
	if (callers_start(g) < 0 || ready_start(g) < 0) {
		PF_LOG(&g->log, PF_LOG_ERROR, "no_listener",
		       PF_KV_STR("http", g->settings.listen),
		       PF_KV_STR("ready", g->settings.ready),
		       PF_KV_STR("why", strerror(errno)));
		return -1;
	}
	if (config_peers_start(g) < 0) {
		PF_LOG(&g->log, PF_LOG_ERROR, "no_listener",
		       PF_KV_STR("tcp", g->settings.datagrams),
		       PF_KV_STR("why", strerror(errno)));
		return -1;
	}
	if (talk_start(g) < 0 || allowances_start(g) < 0)
		return -1;
	if (feeds_start(g) < 0 || versions_start(g) < 0)
		return -1;
	return streams_start(g);
}

static void stop(struct gateway *g)
{
	allowances_stop(g);
	talk_stop(g);
	feeds_stop(g);
	streams_stop(g);
	versions_stop(g);
	ready_stop(g);
	config_peers_stop(g);
	callers_stop(g);
	while (!LIST_EMPTY(&g->exchanges))
		exchange_free(LIST_FIRST(&g->exchanges));
	endpoints_stop(g);
	core_stop(g);
	pf_routes_free(g->routes);
	accounts_stop(g);
	account_counts_stop(g);
	buffers_stop(g);
	pf_durations_free(g->durations);
	pf_text_free(&g->scratch);
	if (g->stop_timer)
		event_free(g->stop_timer);
}

int main(int argc, char **argv)
{
	static struct pf_gateway_counters counters;
	static struct gateway g;
	static struct pf_log_limit limit = { .per_s = LOG_LINES_PER_S };
	struct pf_process_options o;
	int status;

	if (pf_process_options(argc, argv,
			       "Routes callers' requests to endpoints.", &o,
			       &status) < 0)
		return status;
	mallopt(M_MMAP_THRESHOLD, MAPPED_BYTES_MIN);
	g.listener = -1;
	g.counters = &counters;
	status = PF_EXIT_SETTINGS;
	g.settings_path = o.settings;
	if (load_settings(o.settings, &g.settings) < 0)
		goto out;
	status = EXIT_SUCCESS;
	if (o.check)
		goto out;
	g.log = (struct pf_log){ STDOUT_FILENO,
				 (enum pf_log_level)g.settings.common.log_level,
				 "gateway", &limit };
	/* A stalled reader of the log must not block the daemon. */
	evutil_make_socket_nonblocking(STDOUT_FILENO);
	status = EXIT_FAILURE;
	if (start(&g) < 0)
		goto out;
	PF_LOG(&g.log, PF_LOG_INFO, "started",
	       PF_KV_STR("name", g.settings.common.name),
	       PF_KV_STR("http", g.settings.listen));
	event_base_dispatch(g.base);
	PF_LOG(&g.log, PF_LOG_INFO, "ended");
	status = EXIT_SUCCESS;
	stop(&g);
out:
	pf_fields_free(&pf_gateway_form, &g.settings);
	free(o.settings);
	return status;
}
