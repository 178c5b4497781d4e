/*
 * Drives the membership core: passes it the platform's VM list, session events
 * and the configuration, and opens and closes the sessions that it asks for.
 */
#include "daemon.h"
#include "pimentoford/clock.h"

#include <stdlib.h>
#include <string.h>

#define VM_POLL_MS 1000

static void on_state(struct daemon *d, const struct pf_member_act *act)
{
	struct pf_entry_msg m = { .type = PF_ENTRY_LEAVING, .agent = act->id };
	enum pf_member_state s = act->u.state;

	if (s == PF_MEMBER_LEAVING &&
	    !pf_member_awaits_list(d->members, act->id) && d->config &&
	    pf_config_endpoint(d->config, act->id))
		entry_step(d, &m);
	if (s == PF_MEMBER_LEAVING)
		planner_agent_event(d, &m);
	if (s == PF_MEMBER_LIVE)
		links_activate(d, act->id);
}

static void emit(void *ctx, const struct pf_member_act *act)
{
	struct daemon *d = ctx;

	switch (act->type) {
	case PF_MEMBER_STATE_CHANGED:
		PF_LOG(&d->log, PF_LOG_INFO, "member",
		       PF_KV_INT("id", (int64_t)act->id),
		       PF_KV_STR("state", pf_member_state_text(act->u.state)));
		on_state(d, act);
		break;
	case PF_MEMBER_CONNECT:
		if (links_open(d, act->id) < 0)
			PF_LOG(&d->log, PF_LOG_ERROR, "no_link",
			       PF_KV_INT("id", (int64_t)act->id));
		break;
	case PF_MEMBER_DISCONNECT:
		links_close_when_idle(d, act->id);
		break;
	}
}

static void step(struct daemon *d, const struct pf_member_msg *m)
{
	struct pf_member_sink sink = { emit, d };
	struct timeval tv;
	pf_ms wait;

	if (!d->members)
		return;
	pf_member_step(d->members, pf_clock_now(), m, &sink);
	wait = pf_member_next(d->members) - pf_clock_now();
	if (wait < 1)
		wait = 1;
	tv = pf_clock_timeval(wait);
	event_add(d->members_timer, &tv);
}

static void on_timer(evutil_socket_t fd, short what, void *ctx)
{
	struct pf_member_msg m = { .type = PF_MEMBER_TICK };

	(void)fd;
	(void)what;
	step(ctx, &m);
	links_drop_closing(ctx);
}

/* The region of an availability zone by its endpoints' records; 0: unknown. */
static uint64_t region_of(const struct daemon *d, struct pf_str zone)
{
	if (pf_str_eq(zone, pf_str_c(d->settings.common.zone)))
		return pf_id(pf_str_c(d->settings.common.region));
	for (size_t i = 0; d->config && i < d->config->n_endpoints; i++) {
		const struct pf_endpoint *ep = &d->config->endpoints[i];

		if (pf_str_eq(zone, pf_str_c(ep->zone)))
			return pf_id(pf_str_c(ep->region));
	}
	return 0;
}

/*
 * Sets the role of a listed VM. False if it is neither an agent of the
 * configuration nor an entry with a session.
 */
static bool role_of_vm(const struct daemon *d, uint64_t id,
		       enum pf_member_role *role)
{
	*role = PF_MEMBER_AGENT;
	if (d->config && pf_config_endpoint(d->config, id))
		return true;
	*role = PF_MEMBER_ENTRY;
	return links_has_entry(d, id);
}

static void on_list(void *ctx, const struct pf_vm *vms, uint32_t n)
{
	struct pf_member_msg m = { .type = PF_MEMBER_VM_LIST };
	struct pf_member_node *v = calloc(n + 1, sizeof(*v));
	struct daemon *d = ctx;
	uint32_t k = 0;

	if (!v)
		return;
	for (uint32_t i = 0; i < n; i++) {
		uint64_t id = pf_id(vms[i].name);

		if (vms[i].leaving &&
		    pf_str_eq(vms[i].name, pf_str_c(d->settings.common.name)))
			daemon_drain(d, "vm_list");
		if (!role_of_vm(d, id, &v[k].role))
			continue;
		v[k].id = id;
		v[k].zone = pf_id(vms[i].zone);
		v[k].region = region_of(d, vms[i].zone);
		v[k++].leaving = vms[i].leaving;
	}
	m.u.nodes.v = v;
	m.u.nodes.n = k;
	step(d, &m);
	free(v);
}

static void declare_models(struct daemon *d)
{
	struct pf_member_msg m = { .type = PF_MEMBER_DECLARED_MODELS };
	uint64_t *ids = calloc(d->config->n_models + 1, sizeof(*ids));

	if (!ids)
		return;
	for (size_t i = 0; i < d->config->n_models; i++)
		ids[i] = d->config->models[i].id;
	m.u.models.ids = ids;
	m.u.models.n = (uint32_t)d->config->n_models;
	step(d, &m);
	free(ids);
}

void members_configure(struct daemon *d)
{
	const struct pf_config *c = d->config;
	struct pf_member_msg m = { .type = PF_MEMBER_DECLARED_AGENTS };
	struct pf_member_node *v = calloc(c->n_endpoints + 1, sizeof(*v));

	if (!v)
		return;
	for (size_t i = 0; i < c->n_endpoints; i++) {
		const struct pf_endpoint *ep = &c->endpoints[i];

		v[i].id = ep->id;
		v[i].role = PF_MEMBER_AGENT;
		v[i].zone = pf_id(pf_str_c(ep->zone));
		v[i].region = pf_id(pf_str_c(ep->region));
	}
	m.u.nodes.v = v;
	m.u.nodes.n = (uint32_t)c->n_endpoints;
	step(d, &m);
	free(v);
	declare_models(d);
}

void members_up(struct daemon *d, const struct pf_rpc_peer *p)
{
	struct pf_member_msg m = { .type = PF_MEMBER_SESSION_UP, .id = p->id };

	m.u.session.incarnation = p->incarnation;
	m.u.session.role =
		p->role == PF_RPC_ENTRY ? PF_MEMBER_ENTRY : PF_MEMBER_AGENT;
	step(d, &m);
}

void members_down(struct daemon *d, uint64_t id)
{
	struct pf_member_msg m = { .type = PF_MEMBER_SESSION_DOWN, .id = id };

	step(d, &m);
}

/* Tells the core the models that a report has as resident or loading. */
static void report_models(struct daemon *d, uint64_t id,
			  const struct pf_report *r)
{
	struct pf_member_msg m = { .type = PF_MEMBER_AGENT_MODELS, .id = id };
	uint64_t *ids = calloc(r->n_items + 1, sizeof(*ids));

	if (!ids)
		return;
	for (uint32_t i = 0; i < r->n_items; i++)
		if (r->items[i].state == PF_ITEM_RESIDENT ||
		    r->items[i].state == PF_ITEM_LOADING)
			ids[m.u.models.n++] = r->items[i].id;
	m.u.models.ids = ids;
	step(d, &m);
	free(ids);
}

void members_message(struct daemon *d, const struct pf_rpc_peer *p,
		     const struct pf_wire_msg *w)
{
	bool report = w->type == PF_WIRE_REPORT;
	bool leaving =
		w->type == PF_WIRE_LEAVING || (report && w->u.report.leaving);
	struct pf_member_msg m = { .id = p->id };

	if (report)
		report_models(d, p->id, &w->u.report);
	m.type = leaving ? PF_MEMBER_LEAVE_NOTICE : PF_MEMBER_HEARTBEAT;
	m.u.session.incarnation = p->incarnation;
	step(d, &m);
}

int members_start(struct daemon *d)
{
	struct pf_vm_list_opts vo = {
		.base = d->base,
		.addr = d->settings.common.platform,
		.poll_interval = VM_POLL_MS,
		.seed = pf_process_random(),
		.list = on_list,
		.ctx = d,
	};
	struct pf_member_opts o;

	pf_member_opts_default(&o);
	o.self = d->id;
	o.zone = pf_id(pf_str_c(d->settings.common.zone));
	o.region = pf_id(pf_str_c(d->settings.common.region));
	o.sessions_max = d->settings.sessions;
	d->members = pf_member_new(&o);
	d->members_timer = evtimer_new(d->base, on_timer, d);
	d->vm_list = pf_vm_list_new(&vo);
	return d->members && d->members_timer && d->vm_list ? 0 : -1;
}

void members_stop(struct daemon *d)
{
	pf_vm_list_free(d->vm_list);
	pf_member_free(d->members);
	if (d->members_timer)
		event_free(d->members_timer);
}
