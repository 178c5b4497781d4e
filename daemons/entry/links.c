/* Sessions with agents and with other entries. */
#include "daemon.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

static struct link *find(const struct daemon *d, uint64_t id)
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
	struct link *l = find(d, agent);

	if (l)
		pf_rpc_send(l->session, m);
}

void links_send_entries(struct daemon *d, const struct pf_wire_msg *m)
{
	uint32_t i;

	for (i = 0; i < d->n_entries; i++)
		pf_rpc_send(d->entries[i], m);
}

void links_send_entry(struct daemon *d, uint64_t incarnation,
		      const struct pf_wire_msg *m)
{
	uint32_t i;

	for (i = 0; i < d->n_entries; i++) {
		if (pf_rpc_peer(d->entries[i])->incarnation == incarnation) {
			pf_rpc_send(d->entries[i], m);
			return;
		}
	}
}

static void entry_up(struct daemon *d, struct pf_rpc_session *s)
{
	if (d->n_entries >= ENTRIES_MAX)
		pf_rpc_drop(s);
	else
		d->entries[d->n_entries++] = s;
}

static void entry_down(struct daemon *d, struct pf_rpc_session *s)
{
	uint32_t i;

	for (i = 0; i < d->n_entries; i++) {
		if (d->entries[i] == s) {
			d->entries[i] = d->entries[--d->n_entries];
			return;
		}
	}
}

static void on_up(void *ctx, struct pf_rpc_session *s)
{
	const struct pf_rpc_peer *p = pf_rpc_peer(s);
	struct pf_entry_msg m = { .type = PF_ENTRY_LINK_UP, .agent = p->id };
	struct link *l = pf_rpc_user(s);
	struct daemon *d = ctx;

	if (p->role == PF_RPC_ENTRY) {
		entry_up(d, s);
		return;
	}
	/* An agent stands at the address of another one's record. */
	if (!l || l->id != p->id) {
		PF_LOG(&d->log, PF_LOG_WARN, "wrong_agent",
		       PF_KV_STR("addr", l ? l->addr : ""));
		return;
	}
	PF_LOG(&d->log, PF_LOG_INFO, "agent_up", PF_KV_STR("addr", l->addr),
	       PF_KV_INT("incarnation", (int64_t)p->incarnation));
	m.u.link.incarnation = p->incarnation;
	entry_step(d, &m);
}

static void agent_down(struct daemon *d, uint64_t id)
{
	struct pf_entry_msg m = { .type = PF_ENTRY_LINK_DOWN, .agent = id };

	entry_step(d, &m);
	planner_hears(d, &m);
}

static void on_down(void *ctx, struct pf_rpc_session *s)
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

/* Fills the core's message from an agent's; false: nothing for the core. */
static bool convert(const struct pf_wire_msg *w, struct pf_entry_msg *m)
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

static void from_agent(struct daemon *d, uint64_t agent,
		       const struct pf_wire_msg *w)
{
	struct pf_entry_msg m = { .agent = agent };

	if (!convert(w, &m))
		return;
	if (m.type == PF_ENTRY_REPORT)
		m.u.report.agent = agent;
	d->at_hand = w;
	entry_step(d, &m);
	d->at_hand = NULL;
	planner_hears(d, &m);
}

static void from_entry(struct daemon *d, uint64_t entry,
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

	if (p->role == PF_RPC_ENTRY)
		from_entry(d, p->id, w);
	else if (l && l->id == p->id)
		from_agent(d, p->id, w);
}

LIST_HEAD(link_list, link);

/* Takes a link out of use; it is freed later. */
static void link_drop(struct daemon *d, struct link *l, struct link_list *old)
{
	bool was_up = pf_rpc_is_up(l->session);

	pf_rpc_set_user(l->session, NULL);
	pf_rpc_drop(l->session);
	LIST_REMOVE(l, next);
	LIST_INSERT_HEAD(old, l, next);
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

/* Endpoints nearer to this entry come first; then a hash spreads entries. */
struct rank {
	const struct pf_endpoint *ep;
	uint32_t distance;
	uint64_t hash;
};

static int by_rank(const void *a, const void *b)
{
	const struct rank *x = a;
	const struct rank *y = b;

	if (x->distance != y->distance)
		return x->distance < y->distance ? -1 : 1;
	if (x->hash != y->hash)
		return x->hash < y->hash ? -1 : 1;
	return 0;
}

static struct rank rank_of(const struct daemon *d, const struct pf_endpoint *ep)
{
	struct rank r = { ep, 2, pf_id2(d->id, ep->id) };

	if (strcmp(ep->region, d->set.place.region) == 0)
		r.distance = strcmp(ep->zone, d->set.place.zone) == 0 ? 0 : 1;
	return r;
}

static bool wanted(const struct link *l, const struct rank *v, size_t n)
{
	size_t i;

	for (i = 0; i < n; i++) {
		if (v[i].ep->id == l->id &&
		    strcmp(v[i].ep->agent, l->addr) == 0)
			return true;
	}
	return false;
}

void links_configure(struct daemon *d)
{
	const struct pf_config *cfg = d->config;
	struct rank *v = calloc(cfg->n_endpoints + 1, sizeof(*v));
	size_t n = cfg->n_endpoints;
	struct link_list old;
	struct link *l;
	struct link *next;
	size_t i;

	LIST_INIT(&old);
	if (!v)
		return;
	for (i = 0; i < n; i++)
		v[i] = rank_of(d, &cfg->endpoints[i]);
	qsort(v, n, sizeof(*v), by_rank);
	if (n > d->set.sessions)
		n = d->set.sessions;
	for (l = LIST_FIRST(&d->links); l; l = next) {
		next = LIST_NEXT(l, next);
		if (l->id != 0 && !wanted(l, v, n))
			link_drop(d, l, &old);
	}
	for (i = 0; i < n; i++) {
		if (!find(d, v[i].ep->id) &&
		    link_new(d, v[i].ep->id, v[i].ep->agent) < 0)
			PF_LOG(&d->log, PF_LOG_ERROR, "no_link",
			       PF_KV_STR("addr", v[i].ep->agent));
	}
	links_free(LIST_FIRST(&old));
	free(v);
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
	o.up = on_up;
	o.down = on_down;
	o.message = on_message;
	o.ctx = d;
	LIST_INIT(&d->links);
	d->rpc = pf_rpc_new(&o);
	if (!d->rpc || pf_rpc_listen(d->rpc, d->set.rpc) < 0)
		return -1;
	pf_rpc_accept(d->rpc, true);
	for (i = 0; i < d->set.peers.n; i++) {
		if (link_new(d, 0, d->set.peers.v[i]) < 0)
			return -1;
	}
	return 0;
}

void links_stop(struct daemon *d)
{
	links_free(LIST_FIRST(&d->links));
	pf_rpc_free(d->rpc);
}
