/* pimento-agent: owns one endpoint; see pimentoford/agent.h. */
#include "daemon.h"
#include "pimentoford/clock.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define STOP_POLL_MS 20
#define VM_POLL_MS 2000

static int exit_status;

void daemon_fail(struct daemon *d, const char *why)
{
	PF_LOG(&d->log, PF_LOG_ERROR, "stopped", PF_KV_STR("why", why));
	exit_status = EXIT_FAILURE;
	event_base_loopbreak(d->base);
}

/* Leaves the loop once the core is empty and the answers are sent. */
static void on_stop_timer(evutil_socket_t fd, short what, void *ctx)
{
	struct daemon *d = ctx;

	(void)fd;
	(void)what;
	if (d->core && (!d->drained || !claims_drained(d)))
		return;
	if (links_idle(d))
		event_base_loopbreak(d->base);
}

static void on_drain_over(evutil_socket_t fd, short what, void *ctx)
{
	(void)fd;
	(void)what;
	daemon_fail(ctx, "runs were left when the drain time ended");
}

void daemon_leave(struct daemon *d, const char *why)
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
	claims_drained(d);
}

static void on_stop(void *ctx)
{
	struct daemon *d = ctx;
	struct timeval poll = { 0, STOP_POLL_MS * 1000 };
	struct timeval over = pf_clock_timeval(d->set.drain);

	if (d->draining)
		return;
	d->draining = true;
	daemon_leave(d, "signal");
	event_add(d->stop_timer, &poll);
	event_base_once(d->base, -1, EV_TIMEOUT, on_drain_over, d, &over);
}

static void on_leaving(void *ctx, struct pf_str name)
{
	struct daemon *d = ctx;

	if (pf_str_eq(name, pf_str_c(d->set.common.name)))
		daemon_leave(d, "vm_list");
}

static int follow_vms(struct daemon *d)
{
	struct pf_vm_list_opts o = {
		.base = d->base,
		.addr = d->set.common.platform,
		.poll = VM_POLL_MS,
		.seed = pf_process_random(),
		.leaving = on_leaving,
		.ctx = d,
	};

	d->vms = pf_vm_list_new(&o);
	return d->vms ? 0 : -1;
}

static int start(struct daemon *d)
{
	d->base = event_base_new();
	d->key = pf_process_key(&d->set.common);
	if (!d->key) {
		PF_LOG(&d->log, PF_LOG_ERROR, "no_key",
		       PF_KV_STR("file", d->set.common.key_file));
		return -1;
	}
	d->id = pf_id(pf_str_c(d->set.common.name));
	pf_rng_seed(&d->rng, pf_process_random());
	d->stop_timer = event_new(d->base, -1, EV_PERSIST, on_stop_timer, d);
	if (!d->stop_timer || pf_process_signals(d->base, on_stop, d) < 0)
		return -1;
	/* The port is held for the life of the process: one agent at a time
	 * commands an engine on this VM. */
	if (links_start(d) < 0 || status_start(d) < 0) {
		PF_LOG(&d->log, PF_LOG_ERROR, "no_listener",
		       PF_KV_STR("rpc", d->set.listen),
		       PF_KV_STR("metrics", d->set.metrics),
		       PF_KV_STR("why", strerror(errno)));
		return -1;
	}
	if (follow_vms(d) < 0)
		return -1;
	return boot_start(d);
}

static void stop(struct daemon *d)
{
	claims_stop(d);
	core_stop(d);
	watch_stop(d);
	status_stop(d);
	pf_rpc_free(d->rpc);
	pf_vm_list_free(d->vms);
	pf_config_follower_free(d->follower);
	pf_table_free(d->table);
	pf_config_free(d->config);
	names_free(d);
	free(d->links);
	free(d->key);
}

int main(int argc, char **argv)
{
	struct pf_process_options o;
	static struct daemon d;
	int status;

	if (pf_process_options(argc, argv,
			       "Owns one endpoint of a pimentoford deployment.",
			       &o, &status) < 0)
		return status;
	pf_agent_opts_default(&d.set.core);
	status = PF_EXIT_SETTINGS;
	if (pf_process_settings(&pf_agent_form, o.settings, &d.set,
				&d.set.common) < 0)
		goto out;
	status = EXIT_SUCCESS;
	if (o.check)
		goto out;
	d.log = (struct pf_log){ STDERR_FILENO,
				 (enum pf_log_level)d.set.common.log_level,
				 "agent", NULL };
	status = EXIT_FAILURE;
	if (start(&d) < 0)
		goto out;
	PF_LOG(&d.log, PF_LOG_INFO, "started",
	       PF_KV_STR("name", d.set.common.name),
	       PF_KV_STR("rpc", d.set.listen));
	event_base_dispatch(d.base);
	status = exit_status;
	PF_LOG(&d.log, PF_LOG_INFO, "ended", PF_KV_INT("status", status));
	stop(&d);
out:
	pf_fields_free(&pf_agent_form, &d.set);
	free(o.settings);
	return status;
}
