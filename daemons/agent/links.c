/* Sessions with entries. */
#include "daemon.h"

#include <stdlib.h>
#include <string.h>

static struct entry_link *find_link(const struct daemon *d, uint64_t entry)
{
	uint32_t i;

	for (i = 0; i < d->n_links; i++) {
		if (d->links[i].entry == entry)
			return &d->links[i];
	}
	return NULL;
}

void links_send(struct daemon *d, uint64_t entry, const struct pf_wire_msg *m)
{
	struct entry_link *l = find_link(d, entry);

	if (l)
		pf_rpc_send(l->session, m);
}

void links_send_all(struct daemon *d, const struct pf_wire_msg *m)
{
	uint32_t i;

	for (i = 0; i < d->n_links; i++)
		pf_rpc_send(d->links[i].session, m);
}

bool links_all_confirmed(const struct daemon *d)
{
	bool all = true;
	uint32_t i;

	for (i = 0; i < d->n_links; i++) {
		struct pf_rpc_session *s = d->links[i].session;

		pf_rpc_confirm(s);
		all = all && pf_rpc_is_confirmed(s);
	}
	return all;
}

static void entry_down(struct daemon *d, uint64_t entry)
{
	struct pf_agent_msg m = { .type = PF_AGENT_ENTRY_DOWN, .entry = entry };

	agent_step(d, &m);
	tries_remove_unstarted(d, entry);
	pf_config_follower_peer_down(d->follower, entry);
}

static void on_session_down(void *ctx, struct pf_rpc_session *s)
{
	struct daemon *d = ctx;
	struct entry_link *l = find_link(d, pf_rpc_peer(s)->id);

	if (!l || l->session != s)
		return;
	PF_LOG(&d->log, PF_LOG_INFO, "entry_down",
	       PF_KV_INT("entry", (int64_t)l->entry));
	*l = d->links[--d->n_links];
	entry_down(d, pf_rpc_peer(s)->id);
}

static void on_session_up(void *ctx, struct pf_rpc_session *s)
{
	const struct pf_rpc_peer *p = pf_rpc_peer(s);
	struct pf_wire_msg leaving = { .type = PF_WIRE_LEAVING };
	struct daemon *d = ctx;
	struct entry_link *l = find_link(d, p->id);

	if (p->role != PF_RPC_ENTRY ||
	    (!l && d->n_links >= d->settings.sessions)) {
		pf_rpc_drop(s);
		return;
	}
	if (l) {
		/* The entry reconnected before its old session timed out. */
		pf_rpc_drop(l->session);
		entry_down(d, p->id);
	} else {
		l = &d->links[d->n_links++];
		l->entry = p->id;
	}
	l->session = s;
	PF_LOG(&d->log, PF_LOG_INFO, "entry_up",
	       PF_KV_INT("entry", (int64_t)p->id));
	if (d->leaving)
		pf_rpc_send(s, &leaving);
	pf_config_follower_peer_up(d->follower, p->id, true);
}

static void on_try(struct daemon *d, uint64_t entry,
		   const struct pf_wire_msg *w)
{
	struct pf_agent_msg m = { .type = PF_AGENT_TRY, .entry = entry };

	d->counters.v[PF_AC_TRIES]++;
	m.u.try_.id = w->u.try_.id;
	m.u.try_.work = w->u.try_.work;
	if (!tries_find(&d->tries, w->u.try_.id))
		tries_add(d, entry, w->u.try_.id, &w->u.try_.work,
			  &w->u.try_.payload);
	agent_step(d, &m);
}

static void on_message(void *ctx, struct pf_rpc_session *s,
		       const struct pf_wire_msg *w)
{
	uint64_t entry = pf_rpc_peer(s)->id;
	struct pf_agent_msg m = { .entry = entry };
	struct daemon *d = ctx;

	switch (w->type) {
	case PF_WIRE_TRY:
		on_try(d, entry, w);
		break;
	case PF_WIRE_REVOKE:
		m.type = PF_AGENT_REVOKE;
		m.u.id = w->u.id;
		agent_step(d, &m);
		break;
	case PF_WIRE_CANCEL:
		m.type = PF_AGENT_CANCEL;
		m.u.id = w->u.id;
		agent_step(d, &m);
		break;
	case PF_WIRE_PLACE:
		m.type = PF_AGENT_PLACE;
		m.u.place.items = w->u.place.items;
		m.u.place.n_items = w->u.place.n_items;
		agent_step(d, &m);
		break;
	case PF_WIRE_CONFIG_HEAD:
	case PF_WIRE_CONFIG_PULL:
	case PF_WIRE_CONFIG:
		pf_config_follower_message(d->follower, entry, w);
		break;
	default:
		/* Not addressed to agents; a newer entry may send it. */
		break;
	}
}

int links_start(struct daemon *d)
{
	struct pf_rpc_opts o;

	pf_rpc_opts_default(&o);
	o.base = d->base;
	o.key = pf_str_c(d->rpc_key);
	o.self.role = PF_RPC_AGENT;
	o.self.id = d->id;
	o.seed = pf_process_random();
	o.sessions_max = d->settings.sessions + d->settings.sessions / 2 + 4;
	o.up = on_session_up;
	o.down = on_session_down;
	o.message = on_message;
	o.ctx = d;
	d->links = calloc(d->settings.sessions, sizeof(*d->links));
	d->rpc = pf_rpc_new(&o);
	if (!d->links || !d->rpc)
		return -1;
	return pf_rpc_listen(d->rpc, d->settings.listen);
}
