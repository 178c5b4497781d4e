/* Agent core: creation, message dispatch, timers and counters. */
#include "agent_core.h"

#include <stdlib.h>

#define AVERAGE_WEIGHT 0.1 /* of a new sample in a moving average */

void pf_agent_opts_default(struct pf_agent_opts *o)
{
	*o = (struct pf_agent_opts){
		.kind = PF_ENDPOINT_ENGINE,
		.batch_max = 32,
		.queue_max = 64,
		.runs_max = 256,
		.tombstones_max = 4096,
		.items_max = 256,
		.tombstone_keep = 30000,
		.report_every = 500,
		.order_timeout = 5000,
		.kv_policy = PF_KV_SAFE,
		.queue_policy = PF_QUEUE_VALUE,
		.kv_quantile = 0.5,
		.grant_step = 64,
		.load_on_demand = true,
		.loads_max = 2,
	};
}

static bool opts_valid(const struct pf_agent_opts *o)
{
	if (o->batch_max == 0 || o->queue_max == 0 || o->runs_max == 0 ||
	    o->tombstones_max == 0 || o->grant_step == 0)
		return false;
	if (o->report_every <= 0 || o->order_timeout <= 0 ||
	    o->tombstone_keep <= 0)
		return false;
	if (o->kind == PF_ENDPOINT_ENGINE &&
	    (o->memory_bytes <= 0 || o->items_max == 0 || o->loads_max == 0))
		return false;
	return o->kv_quantile > 0 && o->kv_quantile < 1;
}

static int alloc_tables(struct pf_agent *a)
{
	const struct pf_agent_opts *o = &a->opts;

	a->runs = calloc(o->runs_max, sizeof(*a->runs));
	a->free_runs = calloc(o->runs_max, sizeof(*a->free_runs));
	a->items = calloc(o->items_max + 1, sizeof(*a->items));
	a->placed = calloc(o->items_max + 1, sizeof(*a->placed));
	a->lengths = calloc(1, sizeof(*a->lengths));
	a->kv_needs = calloc(o->batch_max + 1, sizeof(*a->kv_needs));
	a->sorted_queue = calloc(o->runs_max, sizeof(*a->sorted_queue));
	a->report_items = calloc(o->items_max + 1, sizeof(*a->report_items));
	if (!a->runs || !a->free_runs || !a->items || !a->placed ||
	    !a->lengths || !a->kv_needs || !a->sorted_queue || !a->report_items)
		return -1;
	if (pf_map_init(&a->runs_by_try, o->runs_max) < 0 ||
	    pf_map_init(&a->items_by_id, o->items_max + 1) < 0)
		return -1;
	if (tombstones_init(&a->tombstones, o->tombstones_max,
			    o->tombstone_keep) < 0 ||
	    ended_runs_init(&a->ended_runs, o->tombstones_max,
			    o->tombstone_keep) < 0)
		return -1;
	return pf_ledger_init(&a->ledger, o->memory_bytes, o->items_max,
			      o->runs_max);
}

struct pf_agent *pf_agent_new(const struct pf_agent_opts *o)
{
	struct pf_agent *a;

	if (!opts_valid(o))
		return NULL;
	a = calloc(1, sizeof(*a));
	if (!a)
		return NULL;
	a->opts = *o;
	if (alloc_tables(a) < 0) {
		pf_agent_free(a);
		return NULL;
	}
	for (uint32_t i = 0; i < o->runs_max; i++)
		a->free_runs[a->n_free++] = o->runs_max - 1 - i;
	for (uint32_t i = 0; i < RUN_STATES; i++)
		a->lists[i] = (struct run_list){ NIL, NIL, 0 };
	pf_rng_seed(&a->rng, o->seed);
	/* Order ids increase over restarts, for engines that check them. */
	a->last_order = o->incarnation << 32;
	a->last_void_order = a->last_order;
	a->wake_at = PF_NEVER;
	return a;
}

void pf_agent_free(struct pf_agent *a)
{
	if (!a)
		return;
	pf_ledger_free(&a->ledger);
	ended_runs_free(&a->ended_runs);
	tombstones_free(&a->tombstones);
	pf_map_free(&a->items_by_id);
	pf_map_free(&a->runs_by_try);
	free(a->report_items);
	free(a->sorted_queue);
	free(a->kv_needs);
	free(a->lengths);
	free(a->placed);
	free(a->items);
	free(a->free_runs);
	free(a->runs);
	free(a);
}

void agent_emit(struct pf_agent *a, const struct pf_agent_act *act)
{
	a->sink->emit(a->sink->ctx, act);
}

void agent_wake_at(struct pf_agent *a, pf_ms at)
{
	if (at < a->wake_at)
		a->wake_at = at;
}

bool agent_ready(const struct pf_agent *a)
{
	return a->engine_up && (a->configured || is_plain(a));
}

void average_add(double *avg, double x)
{
	*avg = *avg > 0 ? *avg + AVERAGE_WEIGHT * (x - *avg) : x;
}

static void tick(struct pf_agent *a)
{
	if (a->now >= a->wake_at) {
		a->wake_at = PF_NEVER;
		orders_check_timeouts(a);
		runs_repeat_stops(a);
		tries_expire(a);
		a->schedule_needed = true;
	}
	if (a->now >= a->next_report_at)
		agent_report(a);
}

static void dispatch(struct pf_agent *a, const struct pf_agent_msg *m)
{
	switch (m->type) {
	case PF_AGENT_TRY:
		agent_on_try(a, m->entry, m->u.try_.id, &m->u.try_.work);
		break;
	case PF_AGENT_REVOKE:
		agent_on_revoke(a, m->entry, m->u.id);
		break;
	case PF_AGENT_CANCEL:
		agent_on_cancel(a, m->u.id);
		break;
	case PF_AGENT_ENTRY_DOWN:
		agent_on_entry_down(a, m->entry);
		break;
	case PF_AGENT_ENGINE_UP:
		agent_on_engine_up(a, m->u.inventory.items,
				   m->u.inventory.n_items,
				   m->u.inventory.used_bytes);
		break;
	case PF_AGENT_ENGINE_DOWN:
		agent_on_engine_down(a);
		break;
	case PF_AGENT_TOKENS:
		agent_on_tokens(a, m->u.tokens.id, m->u.tokens.offset,
				m->u.tokens.count);
		break;
	case PF_AGENT_RUN_END:
		agent_on_run_end(a, m->u.end.id, m->u.end.finish_reason,
				 m->u.end.total);
		break;
	case PF_AGENT_ORDER_DONE:
		agent_on_order_done(a, m->u.order.id, m->u.order.ok);
		break;
	case PF_AGENT_CONFIG:
		agent_on_config(a, m->u.config);
		break;
	case PF_AGENT_PLACE:
		agent_on_place(a, m->u.place.items, m->u.place.n_items);
		break;
	case PF_AGENT_DRAIN:
		agent_on_drain(a);
		break;
	case PF_AGENT_CLAIMED:
		agent_on_claimed(a, m->u.claimed.id, m->u.claimed.granted,
				 m->u.claimed.reason);
		break;
	case PF_AGENT_TICK:
		tick(a);
		break;
	}
}

static void emit_drained_when_empty(struct pf_agent *a)
{
	struct pf_agent_act act = { .type = PF_AGENT_DRAINED };

	if (!a->draining || a->drained)
		return;
#ifndef PF_MUTANT_DRAINED_EARLY
	if (a->runs_by_try.n > 0)
		return;
#endif
	a->drained = true;
	agent_emit(a, &act);
}

void pf_agent_step(struct pf_agent *a, pf_ms now,
		   const struct pf_agent_msg *msg,
		   const struct pf_agent_sink *sink)
{
	bool ready = agent_ready(a);

	/* A clock that steps back must not undo an expiry. */
	if (now > a->now)
		a->now = now;
	a->sink = sink;
	dispatch(a, msg);
	if (a->schedule_needed) {
		a->schedule_needed = false;
		queue_schedule(a);
	}
	if (agent_ready(a) != ready)
		agent_report(a);
	emit_drained_when_empty(a);
	a->sink = NULL;
}

pf_ms pf_agent_next(const struct pf_agent *a)
{
	return a->wake_at < a->next_report_at ? a->wake_at : a->next_report_at;
}

void pf_agent_stats(const struct pf_agent *a, struct pf_agent_stats *s)
{
	*s = a->stats;
	s->committed_bytes = pf_ledger_committed(&a->ledger);
	s->committed_peak = a->ledger.peak_bytes;
	s->running = a->lists[RUN_RUNNING].n + a->lists[RUN_STOPPING].n;
	s->queued = a->lists[RUN_QUEUED].n + a->lists[RUN_CLAIMING].n;
}
