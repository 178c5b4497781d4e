/*
 * The region's planner: the placement core, and the lease that lets one entry
 * send the core's orders. Every entry sends its demand to the lease holder.
 */
#include "daemon.h"

#include "pimentoford/demand.h"
#include "pimentoford/lease.h"
#include "pimentoford/place.h"

#include <stdlib.h>
#include <string.h>

#define DEMAND_EVERY_MS 1000
#define DEMAND_MAX 512
#define KEY_MAX 128

struct planner {
	struct daemon *d;
	struct pf_placement *core; /* NULL: this entry never plans */
	struct pf_lease *lease;
	struct event *lease_timer;
	struct event *plan_timer;
	struct event *demand_timer;
	uint64_t call_seq; /* pf_lease_act::seq of the table request */
	bool call_pending; /* a table request is in flight */
	int64_t era; /* of the table, as known to `lease` */
};

static void lease_step(struct planner *p, struct pf_lease_msg *m);

static void place_emit(void *ctx, const struct pf_place_act *act)
{
	struct pf_wire_msg m = { .type = PF_WIRE_PLACE };
	struct planner *p = ctx;

	/* Check again: the lease may have expired while the process paused. */
	if (!pf_lease_is_held(p->lease, pf_clock_now()))
		return;
	m.u.place.items = act->items;
	m.u.place.n_items = act->n_items;
	links_send(p->d, act->agent, &m);
}

static void place_step(struct planner *p, const struct pf_place_msg *m)
{
	struct pf_place_sink sink = { place_emit, p };

	if (!p->core)
		return;
	pf_place_step(p->core, pf_clock_now(), m, &sink);
	pf_clock_arm(p->plan_timer, pf_clock_now(), pf_place_next(p->core));
}

static void on_plan_timer(evutil_socket_t fd, short what, void *ctx)
{
	struct pf_place_msg m = { .type = PF_PLACE_TICK };

	(void)fd;
	(void)what;
	place_step(ctx, &m);
}

/* The lease must know of a restore before it sees the answer that shows it. */
static void note_era(struct planner *p)
{
	struct pf_lease_msg m = { .type = PF_LEASE_ERA };

	if (p->era == pf_table_era(p->d->table))
		return;
	p->era = pf_table_era(p->d->table);
	m.u.era = p->era;
	lease_step(p, &m);
}

static void on_row(void *ctx, const struct pf_table_rows *r)
{
	struct planner *p = ctx;
	struct pf_lease_msg m = { .type = PF_LEASE_GET_DONE,
				  .seq = p->call_seq };

	m.u.row.status = r->status;
	if (r->n)
		m.u.row.row = r->rows[0];
	p->call_pending = false;
	note_era(p);
	lease_step(p, &m);
}

static void on_txn(void *ctx, const struct pf_table_txn_result *r)
{
	struct planner *p = ctx;
	struct pf_lease_msg m = { .type = PF_LEASE_TXN_DONE,
				  .seq = p->call_seq };

	m.u.status = r->status;
	p->call_pending = false;
	note_era(p);
	lease_step(p, &m);
}

/* A call that cannot be sent times out in the core. */
static void call_table(struct planner *p, const struct pf_lease_act *act)
{
	struct daemon *d = p->d;
	int rc;

	/* One in flight: the callbacks take `call_seq` as their own. */
	if (p->call_pending)
		return;
	p->call_seq = act->seq;
	if (act->type == PF_LEASE_GET) {
		d->counters.v[PF_EC_TABLE_READS]++;
		rc = pf_table_get(d->table, act->u.key, on_row, p);
	} else {
		d->counters.v[PF_EC_TABLE_WRITES]++;
		rc = pf_table_txn(d->table, "lease", &act->u.txn, on_txn, p);
	}
	p->call_pending = rc == 0;
}

static void lease_emit(void *ctx, const struct pf_lease_act *act)
{
	struct pf_place_msg m = { .type = PF_PLACE_LEASE };
	struct planner *p = ctx;

	if (act->type != PF_LEASE_HELD_CHANGED) {
		call_table(p, act);
		return;
	}
	PF_LOG(&p->d->log, PF_LOG_INFO, "planner",
	       PF_KV_STR("lease", act->u.held ? "taken" : "given_up"));
	m.u.lease_held = act->u.held;
	place_step(p, &m);
}

static void lease_step(struct planner *p, struct pf_lease_msg *m)
{
	struct pf_lease_sink sink = { lease_emit, p };

	m->wall_time = pf_clock_wall();
	pf_lease_step(p->lease, pf_clock_now(), m, &sink);
	pf_clock_arm(p->lease_timer, pf_clock_now(), pf_lease_next(p->lease));
}

static void on_lease_timer(evutil_socket_t fd, short what, void *ctx)
{
	struct pf_lease_msg m = { .type = PF_LEASE_TICK };

	(void)fd;
	(void)what;
	lease_step(ctx, &m);
}

/* Sends the demand to the last known holder, perhaps this entry. */
static void on_demand_timer(evutil_socket_t fd, short what, void *ctx)
{
	struct pf_wire_msg w = { .type = PF_WIRE_DEMAND };
	struct pf_demand v[DEMAND_MAX];
	struct planner *p = ctx;
	uint64_t holder = pf_lease_holder(p->lease);

	(void)fd;
	(void)what;
	w.u.demand.v = v;
	w.u.demand.n = (uint32_t)pf_entry_demand(p->d->core, v, DEMAND_MAX);
	if (holder == p->d->incarnation)
		planner_demand(p->d, p->d->id, &w);
	else if (holder)
		links_send_incarnation(p->d, holder, &w);
}

void planner_demand(struct daemon *d, uint64_t entry,
		    const struct pf_wire_msg *w)
{
	struct pf_place_msg m = { .type = PF_PLACE_DEMAND };

	if (!d->planner)
		return;
	m.u.demand.entry = entry;
	m.u.demand.v = w->u.demand.v;
	m.u.demand.n = w->u.demand.n;
	place_step(d->planner, &m);
}

void planner_agent_event(struct daemon *d, const struct pf_entry_msg *e)
{
	struct pf_place_msg m = { .type = PF_PLACE_AGENT_LOST };

	if (!d->planner)
		return;
	if (e->type == PF_ENTRY_REPORT) {
		m.type = PF_PLACE_REPORT;
		m.u.report = e->u.report;
	} else if (e->type == PF_ENTRY_LEAVING ||
		   e->type == PF_ENTRY_LINK_DOWN) {
		m.u.agent = e->agent;
	} else {
		return;
	}
	place_step(d->planner, &m);
}

void planner_configure(struct daemon *d)
{
	struct pf_place_msg m = { .type = PF_PLACE_CONFIG };
	struct pf_lease_msg head = { .type = PF_LEASE_CONFIG };

	if (!d->planner || !d->config)
		return;
	m.u.config = d->config;
	place_step(d->planner, &m);
	head.u.config_revision = d->config->revision;
	lease_step(d->planner, &head);
}

void planner_release_lease(struct daemon *d)
{
	struct pf_lease_msg m = { .type = PF_LEASE_STOP };

	if (d->planner)
		lease_step(d->planner, &m);
}

static int make_cores(struct planner *p)
{
	const struct pf_common_settings *at = &p->d->settings.common;
	struct pf_text key = { 0 };
	struct pf_place_opts place;
	struct pf_lease_opts lease;

	pf_place_opts_default(&place);
	place.region = pf_id(pf_str_c(at->region));
	if (p->d->settings.planner)
		p->core = pf_place_new(&place);
	pf_text_printf(&key, "lease/planner/%s", at->region);
	pf_lease_opts_default(&lease);
	lease.key = key.p;
	lease.process_name = at->name;
	lease.region = at->region;
	lease.observe_only = !p->d->settings.planner;
	lease.holder_id = p->d->incarnation;
	lease.seed = pf_process_random();
	if (!key.failed)
		p->lease = pf_lease_new(&lease);
	pf_text_free(&key);
	if (p->d->settings.planner && !p->core)
		return -1;
	return p->lease ? 0 : -1;
}

int planner_start(struct daemon *d)
{
	struct timeval interval = { DEMAND_EVERY_MS / 1000, 0 };
	struct planner *p;

	p = calloc(1, sizeof(*p));
	if (!p)
		return -1;
	d->planner = p;
	p->d = d;
	p->era = PF_ERA_UNKNOWN;
	p->lease_timer = evtimer_new(d->base, on_lease_timer, p);
	p->plan_timer = evtimer_new(d->base, on_plan_timer, p);
	p->demand_timer =
		event_new(d->base, -1, EV_PERSIST, on_demand_timer, p);
	if (!p->lease_timer || !p->plan_timer || !p->demand_timer ||
	    make_cores(p) < 0)
		return -1;
	event_add(p->demand_timer, &interval);
	pf_clock_arm(p->lease_timer, pf_clock_now(), pf_lease_next(p->lease));
	planner_configure(d);
	return 0;
}

/* The table client is freed later, without calling back. */
void planner_stop(struct daemon *d)
{
	struct planner *p = d->planner;

	if (!p)
		return;
	if (p->lease_timer)
		event_free(p->lease_timer);
	if (p->plan_timer)
		event_free(p->plan_timer);
	if (p->demand_timer)
		event_free(p->demand_timer);
	pf_place_free(p->core);
	pf_lease_free(p->lease);
	free(p);
	d->planner = NULL;
}
