/* RPC sessions with agents and with other entries. */
#include "daemon.h"

#include "pimentoford/clock.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

/* For tries in flight at an address that is outdated. */
#define MOVE_TIMEOUT_MS 10000

static struct link *find_link(const struct daemon *d, uint64_t id)
{
	struct link *l;

	LIST_FOREACH(l, &d->links, next)
	{
		if (l->id == id)
			return l;
	}
	return NULL;
}

void links_send(struct daemon *d, uint64_t agent, const struct pf_wire_msg *m)
{
	struct link *l = find_link(d, agent);

	if (l)
		pf_rpc_send(l->session, m);
}

void links_send_entries(struct daemon *d, const struct pf_wire_msg *m)
{
	uint32_t i;

	for (i = 0; i < d->n_entry_sessions; i++)
		pf_rpc_send(d->entry_sessions[i], m);
}

/* One of the sessions with an entry: two if both have it as a peer. */
static struct pf_rpc_session *find_entry(const struct daemon *d, uint64_t id)
{
	for (uint32_t i = 0; i < d->n_entry_sessions; i++) {
		if (pf_rpc_peer(d->entry_sessions[i])->id == id)
			return d->entry_sessions[i];
	}
	return NULL;
}

bool links_has_entry(const struct daemon *d, uint64_t id)
{
	return find_entry(d, id) != NULL;
}

void links_send_peer(struct daemon *d, uint64_t id, const struct pf_wire_msg *m)
{
	struct pf_rpc_session *s = find_entry(d, id);

	if (s)
		pf_rpc_send(s, m);
	else
		links_send(d, id, m);
}

void links_send_incarnation(struct daemon *d, uint64_t incarnation,
			    const struct pf_wire_msg *m)
{
	uint32_t i;

	for (i = 0; i < d->n_entry_sessions; i++) {
		if (pf_rpc_peer(d->entry_sessions[i])->incarnation ==
		    incarnation) {
			pf_rpc_send(d->entry_sessions[i], m);
			return;
		}
	}
}

static void entry_up(struct daemon *d, struct pf_rpc_session *s)
{
	uint64_t id = pf_rpc_peer(s)->id;
	bool first = !find_entry(d, id);

	if (d->n_entry_sessions >= ENTRIES_MAX) {
		pf_rpc_drop(s);
		return;
	}
	d->entry_sessions[d->n_entry_sessions++] = s;
	if (!first)
		return;
	pf_config_follower_peer_up(d->follower, id, true);
	members_up(d, pf_rpc_peer(s));
}

static void entry_down(struct daemon *d, struct pf_rpc_session *s)
{
	uint32_t i;

	for (i = 0; i < d->n_entry_sessions; i++) {
		if (d->entry_sessions[i] == s) {
			d->entry_sessions[i] =
				d->entry_sessions[--d->n_entry_sessions];
			break;
		}
	}
	if (find_entry(d, pf_rpc_peer(s)->id))
		return;
	pf_config_follower_peer_down(d->follower, pf_rpc_peer(s)->id);
	members_down(d, pf_rpc_peer(s)->id);
}

static void agent_activate(struct daemon *d, const struct pf_rpc_peer *p)
{
	struct pf_entry_msg m = { .type = PF_ENTRY_LINK_UP, .agent = p->id };

	m.u.link.incarnation = p->incarnation;
	entry_step(d, &m);
	if (pf_member_state(d->members, p->id) != PF_MEMBER_LEAVING)
		return;
	m = (struct pf_entry_msg){ .type = PF_ENTRY_LEAVING, .agent = p->id };
	entry_step(d, &m);
}

void links_activate(struct daemon *d, uint64_t agent)
{
	struct link *l = find_link(d, agent);

	if (!l || !l->awaits_list || !pf_rpc_is_up(l->session))
		return;
	l->awaits_list = false;
	agent_activate(d, pf_rpc_peer(l->session));
}

static void on_session_up(void *ctx, struct pf_rpc_session *s)
{
	const struct pf_rpc_peer *p = pf_rpc_peer(s);
	struct link *l = pf_rpc_user(s);
	struct daemon *d = ctx;

	if (p->role == PF_RPC_ENTRY) {
		entry_up(d, s);
		return;
	}
	/* The agent at this address is not the one of the record. */
	if (!l || l->id != p->id) {
		PF_LOG(&d->log, PF_LOG_WARN, "wrong_agent",
		       PF_KV_STR("addr", l ? l->addr : ""));
		return;
	}
	PF_LOG(&d->log, PF_LOG_INFO, "agent_up", PF_KV_STR("addr", l->addr),
	       PF_KV_INT("incarnation", (int64_t)p->incarnation));
	members_up(d, p);
	l->awaits_list = pf_member_awaits_list(d->members, p->id);
	if (!l->awaits_list)
		agent_activate(d, p);
	pf_config_follower_peer_up(d->follower, p->id, false);
}

static void agent_down(struct daemon *d, uint64_t id)
{
	struct pf_entry_msg m = { .type = PF_ENTRY_LINK_DOWN, .agent = id };

	entry_step(d, &m);
	planner_agent_event(d, &m);
	pf_config_follower_peer_down(d->follower, id);
	members_down(d, id);
}

static void on_session_down(void *ctx, struct pf_rpc_session *s)
{
	struct link *l = pf_rpc_user(s);
	struct daemon *d = ctx;

	if (pf_rpc_peer(s)->role == PF_RPC_ENTRY) {
		entry_down(d, s);
		return;
	}
	if (!l || l->id != pf_rpc_peer(s)->id)
		return;
	PF_LOG(&d->log, PF_LOG_INFO, "agent_down", PF_KV_STR("addr", l->addr));
	agent_down(d, l->id);
}

/* Converts an agent's message for the core; false: not for the core. */
static bool convert_agent_msg(const struct pf_wire_msg *w,
			      struct pf_entry_msg *m)
{
	switch (w->type) {
	case PF_WIRE_STARTED:
		m->type = PF_ENTRY_STARTED;
		m->u.id = w->u.id;
		return true;
	case PF_WIRE_REVOKED:
		m->type = PF_ENTRY_REVOKED;
		m->u.id = w->u.id;
		return true;
	case PF_WIRE_PIECE:
		m->type = PF_ENTRY_PIECE;
		m->u.tokens.id = w->u.piece.id;
		m->u.tokens.offset = w->u.piece.offset;
		m->u.tokens.count = w->u.piece.count;
		return true;
	case PF_WIRE_DONE:
		m->type = PF_ENTRY_DONE;
		m->u.done.id = w->u.done.id;
		m->u.done.total = w->u.done.total;
		m->u.done.error = w->u.done.error;
		return true;
	case PF_WIRE_NOT_RUN:
		m->type = PF_ENTRY_NOT_RUN;
		m->u.not_run.id = w->u.not_run.id;
		m->u.not_run.reason = w->u.not_run.reason;
		m->u.not_run.retry_after = w->u.not_run.retry_after;
		return true;
	case PF_WIRE_LOST:
		m->type = PF_ENTRY_LOST;
		m->u.lost.id = w->u.lost.id;
		m->u.lost.reason = w->u.lost.reason;
		return true;
	case PF_WIRE_REPORT:
		m->type = PF_ENTRY_REPORT;
		m->u.report = w->u.report;
		return true;
	case PF_WIRE_LEAVING:
		m->type = PF_ENTRY_LEAVING;
		return true;
	default:
		return false;
	}
}

static void handle_agent_msg(struct daemon *d, uint64_t agent,
			     const struct pf_wire_msg *w)
{
	struct pf_entry_msg m = { .agent = agent };

	if (!convert_agent_msg(w, &m))
		return;
	if (m.type == PF_ENTRY_REPORT)
		m.u.report.agent = agent;
	d->current_msg = w;
	entry_step(d, &m);
	d->current_msg = NULL;
	planner_agent_event(d, &m);
}

static void handle_entry_msg(struct daemon *d, uint64_t entry,
			     const struct pf_wire_msg *w)
{
	struct pf_entry_msg m = { .type = PF_ENTRY_QUARANTINE };

	if (w->type == PF_WIRE_DEMAND)
		planner_demand(d, entry, w);
	if (w->type != PF_WIRE_QUARANTINE)
		return;
	m.u.quarantine.fingerprint = w->u.quarantine.fingerprint;
	m.u.quarantine.until = w->u.quarantine.until;
	entry_step(d, &m);
}

static void on_message(void *ctx, struct pf_rpc_session *s,
		       const struct pf_wire_msg *w)
{
	const struct pf_rpc_peer *p = pf_rpc_peer(s);
	struct link *l = pf_rpc_user(s);
	struct daemon *d = ctx;
	uint64_t peer = p->id;

	if (p->role != PF_RPC_ENTRY && (!l || l->id != p->id))
		return;
	members_message(d, p, w);
	if (p->role == PF_RPC_ENTRY)
		handle_entry_msg(d, p->id, w);
	else if (!l->awaits_list)
		handle_agent_msg(d, p->id, w);
	pf_config_follower_message(d->follower, peer, w);
}

LIST_HEAD(link_list, link);

/* Drops the session of @l and moves it to @dropped, which the caller frees. */
static void link_drop(struct daemon *d, struct link *l,
		      struct link_list *dropped)
{
	bool was_up = pf_rpc_is_up(l->session);

	pf_rpc_set_user(l->session, NULL);
	pf_rpc_drop(l->session);
	LIST_REMOVE(l, next);
	LIST_INSERT_HEAD(dropped, l, next);
	if (was_up)
		agent_down(d, l->id);
}

static void links_free(struct link *l)
{
	struct link *next;

	for (; l; l = next) {
		next = LIST_NEXT(l, next);
		free(l->addr);
		free(l);
	}
}

static int link_new(struct daemon *d, uint64_t id, const char *addr)
{
	struct link *l = calloc(1, sizeof(*l));

	if (!l)
		return -1;
	l->id = id;
	l->addr = strdup(addr);
	if (l->addr)
		l->session = pf_rpc_connect(d->rpc, addr, l);
	if (!l->session) {
		free(l->addr);
		free(l);
		return -1;
	}
	LIST_INSERT_HEAD(&d->links, l, next);
	return 0;
}

/* Replaces @l by a session with the agent's new address. */
static void reconnect_link(struct daemon *d, struct link *l, const char *addr,
			   struct link_list *dropped)
{
	uint64_t id = l->id;

	link_drop(d, l, dropped);
	if (link_new(d, id, addr) < 0)
		PF_LOG(&d->log, PF_LOG_ERROR, "no_link",
		       PF_KV_STR("addr", addr));
}

/* Notes whether the address of @l is still @addr. */
static void check_address(struct daemon *d, struct link *l, const char *addr)
{
	struct pf_entry_msg m = { .type = PF_ENTRY_LINK_CLOSING,
				  .agent = l->id };
	bool moved = strcmp(addr, l->addr) != 0;

	if (moved == l->moved)
		return;
	l->moved = moved;
	l->moved_at = pf_clock_now();
	if (moved)
		entry_step(d, &m);
	else if (pf_rpc_is_up(l->session) && !l->awaits_list)
		agent_activate(d, pf_rpc_peer(l->session));
}

/* Whether nothing is lost if @l is dropped, or its tries have had their time. */
static bool may_drop(const struct daemon *d, const struct link *l)
{
	if (pf_entry_in_flight(d->core, l->id) == 0)
		return true;
	return l->moved && pf_clock_now() - l->moved_at >= MOVE_TIMEOUT_MS;
}

void links_configure(struct daemon *d)
{
	struct link *l;

	LIST_FOREACH(l, &d->links, next)
	{
		const struct pf_endpoint *ep =
			l->id ? pf_config_endpoint(d->config, l->id) : NULL;

		if (ep)
			check_address(d, l, ep->agent);
	}
	links_drop_closing(d);
}

int links_open(struct daemon *d, uint64_t agent)
{
	const struct pf_endpoint *ep =
		d->config ? pf_config_endpoint(d->config, agent) : NULL;
	struct link *l = find_link(d, agent);

	if (l) {
		l->closing = false;
		return 0;
	}
	return ep ? link_new(d, agent, ep->agent) : -1;
}

void links_close_when_idle(struct daemon *d, uint64_t agent)
{
	struct link *l = find_link(d, agent);

	if (l)
		l->closing = true;
}

void links_drop_closing(struct daemon *d)
{
	struct link_list dropped;
	struct link *l;
	struct link *next;

	LIST_INIT(&dropped);
	for (l = LIST_FIRST(&d->links); l; l = next) {
		const struct pf_endpoint *ep =
			l->moved ? pf_config_endpoint(d->config, l->id) : NULL;

		next = LIST_NEXT(l, next);
		if (!(l->closing || ep) || !may_drop(d, l))
			continue;
		if (l->closing)
			link_drop(d, l, &dropped);
		else
			reconnect_link(d, l, ep->agent, &dropped);
	}
	links_free(LIST_FIRST(&dropped));
}

int links_start(struct daemon *d)
{
	struct pf_rpc_opts o;
	size_t i;

	pf_rpc_opts_default(&o);
	o.base = d->base;
	o.key = pf_str_c(d->key);
	o.self.role = PF_RPC_ENTRY;
	o.self.id = d->id;
	o.self.incarnation = d->incarnation;
	o.seed = pf_process_random();
	o.sessions_max = ENTRIES_MAX;
	o.up = on_session_up;
	o.down = on_session_down;
	o.message = on_message;
	o.ctx = d;
	LIST_INIT(&d->links);
	d->rpc = pf_rpc_new(&o);
	if (!d->rpc || pf_rpc_listen(d->rpc, d->settings.rpc) < 0)
		return -1;
	pf_rpc_set_accepting(d->rpc, true);
	for (i = 0; i < d->settings.peers.n; i++) {
		if (link_new(d, 0, d->settings.peers.v[i]) < 0)
			return -1;
	}
	return 0;
}

void links_stop(struct daemon *d)
{
	links_free(LIST_FIRST(&d->links));
	pf_rpc_free(d->rpc);
}
