/* pimento-agent: controls one endpoint; see pimentoford/agent.h. */
#include "daemon.h"
#include "pimentoford/clock.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define STOP_POLL_INTERVAL_MS 20
#define VM_POLL_MS 2000

static int exit_status;

void daemon_fail(struct daemon *d, const char *why)
{
	PF_LOG(&d->log, PF_LOG_ERROR, "stopped", PF_KV_STR("why", why));
	exit_status = EXIT_FAILURE;
	event_base_loopbreak(d->base);
}

/*
 * Exits the loop once drained and every entry has all answers, and has had an
 * answer to each try that it sent before it knew that this agent leaves.
 */
static void on_stop_timer(evutil_socket_t fd, short what, void *ctx)
{
	struct daemon *d = ctx;

	(void)fd;
	(void)what;
	if (d->core && (!d->core_drained || !claims_drain(d)))
		return;
	if (links_all_confirmed(d))
		event_base_loopbreak(d->base);
}

static void on_drain_timeout(evutil_socket_t fd, short what, void *ctx)
{
	(void)fd;
	(void)what;
	daemon_fail(ctx, "runs still in progress at the drain timeout");
}

void daemon_drain(struct daemon *d, const char *why)
{
	static const struct pf_agent_msg drain = { .type = PF_AGENT_DRAIN };
	struct pf_wire_msg leaving = { .type = PF_WIRE_LEAVING };

	if (d->leaving)
		return;
	d->leaving = true;
	PF_LOG(&d->log, PF_LOG_INFO, "draining", PF_KV_STR("why", why));
	links_send_all(d, &leaving);
	if (!d->core)
		return;
	agent_step(d, &drain);
	claims_drain(d);
}

static void on_stop_signal(void *ctx)
{
	struct daemon *d = ctx;
	struct timeval poll = { 0, STOP_POLL_INTERVAL_MS * 1000 };
	struct timeval timeout = pf_clock_timeval(d->settings.drain);

	if (d->stop_on_drained)
		return;
	d->stop_on_drained = true;
	daemon_drain(d, "signal");
	event_add(d->stop_timer, &poll);
	event_base_once(d->base, -1, EV_TIMEOUT, on_drain_timeout, d, &timeout);
}

static void on_vm_leaving(void *ctx, struct pf_str name)
{
	struct daemon *d = ctx;

	if (pf_str_eq(name, pf_str_c(d->settings.common.name)))
		daemon_drain(d, "vm_list");
}

static int start_vm_list(struct daemon *d)
{
	struct pf_vm_list_opts o = {
		.base = d->base,
		.addr = d->settings.common.platform,
		.poll_interval = VM_POLL_MS,
		.seed = pf_process_random(),
		.leaving = on_vm_leaving,
		.ctx = d,
	};

	d->vm_list = pf_vm_list_new(&o);
	return d->vm_list ? 0 : -1;
}

static int daemon_start(struct daemon *d)
{
	d->base = event_base_new();
	d->rpc_key = pf_process_key(&d->settings.common);
	if (!d->rpc_key) {
		PF_LOG(&d->log, PF_LOG_ERROR, "no_key",
		       PF_KV_STR("file", d->settings.common.key_file));
		return -1;
	}
	d->id = pf_id(pf_str_c(d->settings.common.name));
	pf_rng_seed(&d->rng, pf_process_random());
	d->stop_timer = event_new(d->base, -1, EV_PERSIST, on_stop_timer, d);
	if (!d->stop_timer ||
	    pf_process_signals(d->base, on_stop_signal, d) < 0)
		return -1;
	/* The listening port also acts as a lock: only one agent at a time
	 * controls an engine on this VM. */
	if (links_start(d) < 0 || status_start(d) < 0) {
		PF_LOG(&d->log, PF_LOG_ERROR, "no_listener",
		       PF_KV_STR("rpc", d->settings.listen),
		       PF_KV_STR("metrics", d->settings.metrics),
		       PF_KV_STR("why", strerror(errno)));
		return -1;
	}
	if (start_vm_list(d) < 0)
		return -1;
	return boot_start(d);
}

static void daemon_stop(struct daemon *d)
{
	claims_stop(d);
	core_stop(d);
	watch_stop(d);
	status_stop(d);
	pf_rpc_free(d->rpc);
	pf_vm_list_free(d->vm_list);
	pf_config_follower_free(d->follower);
	pf_table_free(d->table);
	pf_config_free(d->config);
	names_free(d);
	free(d->links);
	free(d->rpc_key);
}

int main(int argc, char **argv)
{
	struct pf_process_options o;
	static struct daemon d;
	int status;

	if (pf_process_options(
		    argc, argv,
		    "Controls one endpoint of a pimentoford deployment.", &o,
		    &status) < 0)
		return status;
	pf_agent_opts_default(&d.settings.core);
	status = PF_EXIT_SETTINGS;
	if (pf_process_settings(&pf_agent_form, o.settings, &d.settings,
				&d.settings.common) < 0)
		goto out;
	status = EXIT_SUCCESS;
	if (o.check)
		goto out;
	d.log = (struct pf_log){ STDERR_FILENO,
				 (enum pf_log_level)d.settings.common.log_level,
				 "agent", NULL };
	status = EXIT_FAILURE;
	if (daemon_start(&d) < 0)
		goto out;
	PF_LOG(&d.log, PF_LOG_INFO, "started",
	       PF_KV_STR("name", d.settings.common.name),
	       PF_KV_STR("rpc", d.settings.listen));
	event_base_dispatch(d.base);
	status = exit_status;
	PF_LOG(&d.log, PF_LOG_INFO, "ended", PF_KV_INT("status", status));
	daemon_stop(&d);
out:
	pf_fields_free(&pf_agent_form, &d.settings);
	free(o.settings);
	return status;
}
