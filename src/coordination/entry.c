/* Entry core: options, creation and the handling of messages. */
#include "pimentoford/entry.h"

#include "src/coordination/backlog.h"
#include "src/coordination/catalog.h"
#include "src/coordination/dispatch.h"
#include "src/coordination/entry_agents.h"
#include "src/coordination/lifecycle.h"
#include "src/coordination/limits.h"
#include "src/coordination/quarantine.h"
#include "src/coordination/requests.h"

#include <stdlib.h>
#include <string.h>

void pf_entry_opts_default(struct pf_entry_opts *o)
{
	*o = (struct pf_entry_opts){
		.entry_id = 1,
		.seed = 1,
		.zone = "",
		.region = "",
		.requests_max = 20000,
		.agents_max = 64,
		.callers_max = 1024,
		.quarantine_max = 4096,
		.groups_max = 2048,
		.items_max = 256,
		.prefixes_max = 256,
		.route = PF_ROUTE_LOWEST_COST,
		.attempts_max = 6,
		.retry_ratio = 0.1,
		.backoff_min = 50,
		.backoff_max = 2000,
		.try_timeout = 10000,
		.stall_timeout = 5000,
		.report_stale = 5000,
		.age_step = 5000,
		.overload_slack = 0.8,
		.quarantine_keep = 600000,
		.crashes_max = 2,
		.depth = 0,
		.link_share = 0.25,
	};
}

static bool options_valid(const struct pf_entry_opts *o)
{
	return o->requests_max && o->agents_max && o->callers_max &&
	       o->quarantine_max && o->groups_max && o->items_max &&
	       o->prefixes_max && o->attempts_max && o->crashes_max &&
	       o->retry_ratio >= 0 && o->backoff_min > 0 &&
	       o->backoff_max >= o->backoff_min && o->try_timeout > 0 &&
	       o->stall_timeout > 0 && o->report_stale > 0 && o->age_step > 0 &&
	       o->overload_slack >= 0 && o->quarantine_keep > 0 &&
	       o->link_share >= 0 && o->link_share <= 1;
}

static int alloc_tables(struct pf_entry *e)
{
	e->zone = pf_str_dup(pf_str_c(e->opts.zone));
	e->region = pf_str_dup(pf_str_c(e->opts.region));
	if (!e->zone || !e->region)
		return -1;
	if (pf_requests_init(e) || pf_backlog_init(e) || pf_limits_init(e))
		return -1;
	return pf_agents_init(e) || pf_quarantine_init(e) ? -1 : 0;
}

struct pf_entry *pf_entry_new(const struct pf_entry_opts *o)
{
	struct pf_entry *e;

	if (!options_valid(o))
		return NULL;
	e = calloc(1, sizeof(*e));
	if (!e)
		return NULL;
	e->opts = *o;
	e->sweep_at = PF_NEVER;
	e->trial_slot = PF_NIL;
	e->trial_queue = PF_NIL;
	pf_rng_seed(&e->rng, o->seed);
	if (alloc_tables(e)) {
		pf_entry_free(e);
		return NULL;
	}
	e->opts.zone = e->zone;
	e->opts.region = e->region;
	return e;
}

void pf_entry_free(struct pf_entry *e)
{
	if (!e)
		return;
	pf_requests_free(e);
	pf_backlog_free(e);
	pf_limits_free(e);
	pf_agents_free(e);
	pf_quarantine_free(e);
	pf_map_free(&e->catalog);
	free(e->zone);
	free(e->region);
	free(e);
}

static void on_link_up(struct pf_entry *e, const struct pf_entry_msg *m)
{
	uint32_t i = pf_agents_get(e, m->agent);
	struct pf_entry_agent *a;

	if (i == PF_NIL)
		return;
	a = &e->agents[i];
	/* An agent loses its tries when it restarts. */
	if (a->linked && a->incarnation != m->u.link.incarnation)
		pf_lifecycle_link_down(e, i);
	pf_agents_link_up(e, i, m->u.link.incarnation);
}

static void on_link_down(struct pf_entry *e, const struct pf_entry_msg *m)
{
	uint32_t i = pf_agents_find(e, m->agent);

	if (i != PF_NIL)
		pf_lifecycle_link_down(e, i);
}

static void on_link_closing(struct pf_entry *e, const struct pf_entry_msg *m)
{
	uint32_t i = pf_agents_find(e, m->agent);

	if (i != PF_NIL)
		e->agents[i].closing = true;
}

static void on_report(struct pf_entry *e, const struct pf_entry_msg *m)
{
	uint32_t i = pf_agents_find(e, m->agent);

	if (i == PF_NIL || !pf_agents_apply_report(e, i, &m->u.report))
		return;
	pf_dispatch_to_agent(e, i);
	pf_dispatch_sweep(e);
}

static void on_leaving(struct pf_entry *e, const struct pf_entry_msg *m)
{
	uint32_t i = pf_agents_get(e, m->agent);

	if (i != PF_NIL)
		e->agents[i].leaving = true;
}

static void on_quarantine(struct pf_entry *e, const struct pf_entry_msg *m)
{
	uint64_t fp = m->u.quarantine.fingerprint;

	pf_quarantine_apply_shared(e, fp, m->u.quarantine.until);
	if (pf_quarantine_check(e, fp, NULL) == PF_QUARANTINED)
		pf_lifecycle_end_quarantined(e, fp);
}

static void on_config(struct pf_entry *e, const struct pf_config *c)
{
	/* Without memory for the catalog, new requests end as NOT_READY. */
	if (pf_catalog_build(e, c) == 0)
		pf_dispatch_end_undeclared(e);
	pf_limits_configure(e);
	pf_agents_configure(e);
	pf_dispatch_sweep(e);
}

static void on_tick(struct pf_entry *e)
{
	pf_lifecycle_run_timers(e);
	if (e->sweep_at <= e->now)
		pf_dispatch_sweep(e);
}

static void handle_msg(struct pf_entry *e, const struct pf_entry_msg *m)
{
	switch (m->type) {
	case PF_ENTRY_ARRIVE:
		pf_lifecycle_arrive(e, m->u.arrive.request, &m->u.arrive.work);
		break;
	case PF_ENTRY_CALLER_GONE:
		pf_lifecycle_caller_gone(e, m->u.request);
		break;
	case PF_ENTRY_LINK_UP:
		on_link_up(e, m);
		break;
	case PF_ENTRY_LINK_DOWN:
		on_link_down(e, m);
		break;
	case PF_ENTRY_LINK_CLOSING:
		on_link_closing(e, m);
		break;
	case PF_ENTRY_STARTED:
		pf_lifecycle_started(e, m);
		break;
	case PF_ENTRY_PIECE:
		pf_lifecycle_piece(e, m);
		break;
	case PF_ENTRY_DONE:
		pf_lifecycle_done(e, m);
		break;
	case PF_ENTRY_NOT_RUN:
		pf_lifecycle_not_run(e, m);
		break;
	case PF_ENTRY_REVOKED:
		pf_lifecycle_revoked(e, m);
		break;
	case PF_ENTRY_LOST:
		pf_lifecycle_lost(e, m);
		break;
	case PF_ENTRY_REPORT:
		on_report(e, m);
		break;
	case PF_ENTRY_LEAVING:
		on_leaving(e, m);
		break;
	case PF_ENTRY_QUARANTINE:
		on_quarantine(e, m);
		break;
	case PF_ENTRY_CONFIG:
		on_config(e, m->u.config);
		break;
	case PF_ENTRY_GIVE_UP:
		pf_lifecycle_give_up_all(e);
		break;
	case PF_ENTRY_DRAIN:
		e->draining = true;
		break;
	case PF_ENTRY_TICK:
		on_tick(e);
		break;
	}
}

static void check_drained(struct pf_entry *e)
{
	struct pf_entry_act a = { .type = PF_ENTRY_DRAINED };

	if (!e->draining || e->drained || e->stats.open)
		return;
	e->drained = true;
	pf_entry_emit(e, &a);
}

void pf_entry_step(struct pf_entry *e, pf_ms now,
		   const struct pf_entry_msg *msg,
		   const struct pf_entry_sink *sink)
{
	e->sink = sink;
	e->now = now;
	handle_msg(e, msg);
	check_drained(e);
	e->sink = NULL;
}

pf_ms pf_entry_next(const struct pf_entry *e)
{
	return pf_ms_min(pf_heap_top(&e->timers, NULL), e->sweep_at);
}

uint32_t pf_entry_in_flight(const struct pf_entry *e, uint64_t agent)
{
	uint32_t i = pf_agents_find(e, agent);

	return i == PF_NIL ? 0 : e->agents[i].in_flight;
}

void pf_entry_stats(const struct pf_entry *e, struct pf_entry_stats *s)
{
	*s = e->stats;
}
