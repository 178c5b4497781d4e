/* pimento-entry: callers' connections and the life of each request. */
#include "daemon.h"
#include "pimentoford/clock.h"

#include "pimentoford/claim.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define STOP_POLL_MS 20

static int exit_status;

/* Leaves the loop once the core is empty and every answer is sent. */
static void on_stop_timer(evutil_socket_t fd, short what, void *ctx)
{
	struct daemon *d = ctx;
	struct conn *c;

	(void)fd;
	(void)what;
	if (!d->drained || !LIST_EMPTY(&d->requests) || !changes_idle(d))
		return;
	LIST_FOREACH(c, &d->conns, next)
	{
		struct bufferevent *bev = c->http->bev;

		if (evbuffer_get_length(bufferevent_get_output(bev)) > 0)
			return;
	}
	event_base_loopbreak(d->base);
}

static void on_drain_over(evutil_socket_t fd, short what, void *ctx)
{
	struct daemon *d = ctx;

	(void)fd;
	(void)what;
	PF_LOG(&d->log, PF_LOG_ERROR, "drain_over",
	       PF_KV_STR("why", "requests were left"));
	exit_status = EXIT_FAILURE;
	event_base_loopbreak(d->base);
}

void daemon_drain(struct daemon *d, const char *why)
{
	static const struct pf_entry_msg drain = { .type = PF_ENTRY_DRAIN };
	struct timeval poll = { 0, STOP_POLL_MS * 1000 };
	struct timeval over = pf_clock_timeval(d->set.drain);

	if (d->draining)
		return;
	d->draining = true;
	PF_LOG(&d->log, PF_LOG_INFO, "draining", PF_KV_STR("why", why));
	entry_step(d, &drain);
	planner_leave(d);
	event_add(d->stop_timer, &poll);
	event_base_once(d->base, -1, EV_TIMEOUT, on_drain_over, d, &over);
}

static void on_stop(void *ctx)
{
	daemon_drain(ctx, "signal");
}

static int start(struct daemon *d)
{
	struct pf_claim_opts claim;

	pf_claim_opts_default(&claim);
	d->shards = claim.shards;
	d->base = event_base_new();
	d->key = pf_process_key(&d->set.common);
	if (!d->key) {
		PF_LOG(&d->log, PF_LOG_ERROR, "no_key",
		       PF_KV_STR("file", d->set.common.key_file));
		return -1;
	}
	/* A connection has one request at a time. */
	if (d->set.core.requests_max > d->set.http.connections)
		d->set.core.requests_max = d->set.http.connections;
	d->id = pf_id(pf_str_c(d->set.common.name));
	d->incarnation = pf_process_random();
	pf_rng_seed(&d->rng, pf_process_random());
	d->stop_timer = event_new(d->base, -1, EV_PERSIST, on_stop_timer, d);
	if (!d->stop_timer || pf_process_signals(d->base, on_stop, d) < 0 ||
	    requests_init(d) < 0 || core_start(d) < 0)
		return -1;
	if (links_start(d) < 0 || server_start(d) < 0) {
		PF_LOG(&d->log, PF_LOG_ERROR, "no_listener",
		       PF_KV_STR("http", d->set.listen),
		       PF_KV_STR("rpc", d->set.rpc),
		       PF_KV_STR("why", strerror(errno)));
		return -1;
	}
	if (members_start(d) < 0)
		return -1;
	if (config_start(d) < 0 || changes_start(d) < 0)
		return -1;
	return planner_start(d) < 0 ? -1 : drafts_start(d);
}

static void stop(struct daemon *d)
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
			       "Serves the callers of a pimentoford "
			       "deployment.",
			       &o, &status) < 0)
		return status;
	pf_entry_opts_default(&d.set.core);
	status = PF_EXIT_SETTINGS;
	if (pf_process_settings(&pf_entry_form, o.settings, &d.set,
				&d.set.common) < 0)
		goto out;
	status = EXIT_SUCCESS;
	if (o.check)
		goto out;
	d.log = (struct pf_log){ STDERR_FILENO,
				 (enum pf_log_level)d.set.common.log_level,
				 "entry", NULL };
	status = EXIT_FAILURE;
	if (start(&d) < 0)
		goto out;
	PF_LOG(&d.log, PF_LOG_INFO, "started",
	       PF_KV_STR("name", d.set.common.name),
	       PF_KV_STR("http", d.set.listen));
	event_base_dispatch(d.base);
	status = exit_status;
	PF_LOG(&d.log, PF_LOG_INFO, "ended", PF_KV_INT("status", status));
	stop(&d);
out:
	pf_fields_free(&pf_entry_form, &d.set);
	free(o.settings);
	return status;
}
