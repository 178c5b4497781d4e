/* pimento-entry: the daemon that takes callers' requests. */
#include "daemon.h"
#include "pimentoford/clock.h"

#include "pimentoford/claim.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define STOP_POLL_INTERVAL_MS 20
/* For the last answers after the drain timeout. */
#define FLUSH_TIMEOUT_MS 1000

static int exit_status;

/*
 * Ends the event loop once every request is answered and all output is sent.
 * Connections are accepted until then, since callers may still come.
 */
static void on_stop_timer(evutil_socket_t fd, short what, void *ctx)
{
	struct daemon *d = ctx;

	(void)fd;
	(void)what;
	if (!d->drained || !LIST_EMPTY(&d->requests) || !changes_idle(d) ||
	    !drafts_idle(d) || !server_is_idle(d))
		return;
	if (d->accepting)
		server_stop_accepting(d);
	else
		event_base_loopbreak(d->base);
}

static void on_flush_timeout(evutil_socket_t fd, short what, void *ctx)
{
	struct daemon *d = ctx;

	(void)fd;
	(void)what;
	event_base_loopbreak(d->base);
}

/* Answers what is still open; on_stop_timer() ends the loop once it is sent. */
static void on_drain_timeout(evutil_socket_t fd, short what, void *ctx)
{
	static const struct pf_entry_msg give_up = { .type = PF_ENTRY_GIVE_UP };
	struct timeval flush = pf_clock_timeval(FLUSH_TIMEOUT_MS);
	struct daemon *d = ctx;

	(void)fd;
	(void)what;
	PF_LOG(&d->log, PF_LOG_ERROR, "drain_over",
	       PF_KV_STR("why", "requests still open at the drain timeout"));
	exit_status = EXIT_FAILURE;
	entry_step(d, &give_up);
	event_base_once(d->base, -1, EV_TIMEOUT, on_flush_timeout, d, &flush);
}

void daemon_drain(struct daemon *d, const char *why)
{
	static const struct pf_entry_msg drain = { .type = PF_ENTRY_DRAIN };
	struct timeval poll = { 0, STOP_POLL_INTERVAL_MS * 1000 };
	struct timeval drain_timeout = pf_clock_timeval(d->settings.drain);

	if (d->draining)
		return;
	d->draining = true;
	PF_LOG(&d->log, PF_LOG_INFO, "draining", PF_KV_STR("why", why));
	entry_step(d, &drain);
	planner_release_lease(d);
	event_add(d->stop_timer, &poll);
	event_base_once(d->base, -1, EV_TIMEOUT, on_drain_timeout, d,
			&drain_timeout);
}

static void on_stop_signal(void *ctx)
{
	daemon_drain(ctx, "signal");
}

static int daemon_start(struct daemon *d)
{
	struct pf_claim_opts claim;

	pf_claim_opts_default(&claim);
	d->claim_shards = claim.shards;
	d->base = event_base_new();
	d->key = pf_process_key(&d->settings.common);
	if (!d->key) {
		PF_LOG(&d->log, PF_LOG_ERROR, "no_key",
		       PF_KV_STR("file", d->settings.common.key_file));
		return -1;
	}
	/* A connection has one open request at a time. */
	if (d->settings.core.requests_max > d->settings.http.connections)
		d->settings.core.requests_max = d->settings.http.connections;
	d->id = pf_id(pf_str_c(d->settings.common.name));
	d->incarnation = pf_process_random();
	pf_rng_seed(&d->rng, pf_process_random());
	d->stop_timer = event_new(d->base, -1, EV_PERSIST, on_stop_timer, d);
	if (!d->stop_timer ||
	    pf_process_signals(d->base, on_stop_signal, d) < 0 ||
	    requests_init(d) < 0 || core_start(d) < 0)
		return -1;
	if (links_start(d) < 0 || server_start(d) < 0) {
		PF_LOG(&d->log, PF_LOG_ERROR, "no_listener",
		       PF_KV_STR("http", d->settings.listen),
		       PF_KV_STR("rpc", d->settings.rpc),
		       PF_KV_STR("why", strerror(errno)));
		return -1;
	}
	if (members_start(d) < 0)
		return -1;
	if (config_start(d) < 0 || changes_start(d) < 0)
		return -1;
	return planner_start(d) < 0 ? -1 : drafts_start(d);
}

static void daemon_stop(struct daemon *d)
{
	server_stop(d);
	requests_stop(d);
	links_stop(d);
	core_stop(d);
	changes_stop(d);
	drafts_stop(d);
	planner_stop(d);
	members_stop(d);
	pf_config_follower_free(d->follower);
	pf_table_free(d->table);
	pf_config_free(d->config);
	pf_text_free(&d->scratch);
	free(d->config_text);
	free(d->key);
	event_free(d->stop_timer);
}

int main(int argc, char **argv)
{
	struct pf_process_options o;
	static struct daemon d;
	int status;

	if (pf_process_options(argc, argv,
			       "Takes callers' HTTP requests and runs them "
			       "on the agents of a pimentoford deployment.",
			       &o, &status) < 0)
		return status;
	pf_entry_opts_default(&d.settings.core);
	status = PF_EXIT_SETTINGS;
	if (pf_process_settings(&pf_entry_form, o.settings, &d.settings,
				&d.settings.common) < 0)
		goto out;
	status = EXIT_SUCCESS;
	if (o.check)
		goto out;
	d.log = (struct pf_log){ STDERR_FILENO,
				 (enum pf_log_level)d.settings.common.log_level,
				 "entry", NULL };
	status = EXIT_FAILURE;
	if (daemon_start(&d) < 0)
		goto out;
	PF_LOG(&d.log, PF_LOG_INFO, "started",
	       PF_KV_STR("name", d.settings.common.name),
	       PF_KV_STR("http", d.settings.listen));
	event_base_dispatch(d.base);
	status = exit_status;
	PF_LOG(&d.log, PF_LOG_INFO, "ended", PF_KV_INT("status", status));
	daemon_stop(&d);
out:
	pf_fields_free(&pf_entry_form, &d.settings);
	free(o.settings);
	return status;
}
