/*
 * Orders to the engine and its inventories. Each item has at most one order in
 * flight. The outcome of one that timed out is in doubt: its memory stays
 * counted until an inventory shows the outcome. An inventory settles only
 * orders that were issued before it was requested.
 */
#include "agent_core.h"

#define BACKOFF_MIN_MS 500
#define BACKOFF_MAX_MS 30000

static void issue_order(struct pf_agent *a, uint32_t i,
			enum pf_agent_act_type type)
{
	struct pf_agent_act act = { .type = type };
	struct item *it = &a->items[i];

	it->order_id = ++a->last_order;
	it->order_is_load = type == PF_AGENT_LOAD;
	it->ordered_at = a->now;
	it->order_pending = true;
	a->n_pending_orders++;
	agent_wake_at(a, a->now + a->opts.order_timeout);
	act.u.order.id = it->order_id;
	act.u.order.item = it->id;
	act.u.order.bytes = a->ledger.items[i].bytes;
	agent_emit(a, &act);
}

int order_load(struct pf_agent *a, uint32_t i)
{
	struct item *it = &a->items[i];

	if (!kv_safe_with_less(a, it->bytes) ||
	    pf_ledger_begin_load(&a->ledger, i, it->bytes) < 0)
		return -1;
	it->last_used_at = a->now;
	a->loads_in_flight++;
	a->stats.loads++;
	if (it->adapter)
		a->stats.adapter_loads++;
	else
		a->stats.model_loads++;
	issue_order(a, i, PF_AGENT_LOAD);
	return 0;
}

void order_unload(struct pf_agent *a, uint32_t i)
{
	if (pf_ledger_begin_unload(&a->ledger, i) < 0)
		return;
	a->stats.unloads++;
	issue_order(a, i, PF_AGENT_UNLOAD);
}

static void settle_order(struct pf_agent *a, uint32_t i,
			 enum pf_item_state state)
{
	struct item *it = &a->items[i];

	if (it->order_pending) {
		it->order_pending = false;
		a->n_pending_orders--;
		if (item_state(a, i) == PF_ITEM_LOADING)
			a->loads_in_flight--;
	}
	pf_ledger_settle(&a->ledger, i, state);
	a->schedule_needed = true;
}

static void back_off(struct pf_agent *a, struct item *it)
{
	pf_ms wait = BACKOFF_MIN_MS << (it->refusals < 6 ? it->refusals : 6);

	if (wait > BACKOFF_MAX_MS)
		wait = BACKOFF_MAX_MS;
	it->refusals++;
	it->backoff_until = a->now + wait;
	agent_wake_at(a, it->backoff_until);
}

static void ask_inventory(struct pf_agent *a)
{
	struct pf_agent_act act = { .type = PF_AGENT_INVENTORY };

	a->inventory_pending = true;
	a->inventory_asked_at = a->now;
	a->inventory_last_order = a->last_order;
	agent_wake_at(a, a->now + a->opts.order_timeout);
	agent_emit(a, &act);
}

/* @i was found at the engine. No answer will come: inventories settle it. */
static void record_found_item(struct pf_agent *a, uint32_t i,
			      enum pf_item_state state, int64_t bytes)
{
	struct item *it = &a->items[i];

	pf_ledger_reconcile_item(&a->ledger, i, state, bytes);
	if (state == PF_ITEM_RESIDENT)
		return;
	pf_ledger_mark_in_doubt(&a->ledger, i);
	it->order_id = 0;
	it->order_pending = true;
	it->ordered_at = a->now;
	a->n_pending_orders++;
	if (state == PF_ITEM_LOADING)
		a->loads_in_flight++;
	agent_wake_at(a, a->now + a->opts.order_timeout);
}

/* The answer to an order already settled; a duplicate changes nothing. */
static void on_late_answer(struct pf_agent *a, uint32_t i, bool ok)
{
	bool loads = a->items[i].order_is_load;
	bool resident = item_state(a, i) == PF_ITEM_RESIDENT;

	if (!ok || loads == resident)
		return;
	if (loads)
		record_found_item(a, i, PF_ITEM_RESIDENT, a->items[i].bytes);
	ask_inventory(a);
}

static void on_order_refused(struct pf_agent *a, uint32_t i)
{
	struct item *it = &a->items[i];

	/* The engine may have held it while it had no slot here. */
	if (item_state(a, i) == PF_ITEM_LOADING && it->in_inventory) {
		pf_ledger_mark_in_doubt(&a->ledger, i);
	} else {
		settle_order(a, i,
			     item_state(a, i) == PF_ITEM_LOADING
				     ? PF_ITEM_ABSENT
				     : PF_ITEM_RESIDENT);
		back_off(a, it);
	}
	ask_inventory(a);
}

void agent_on_order_done(struct pf_agent *a, uint64_t order, bool ok)
{
	uint32_t i = 0;

	while (i < a->n_items && a->items[i].order_id != order)
		i++;
	if (order <= a->last_void_order || i == a->n_items)
		return;
	if (!a->items[i].order_pending) {
		on_late_answer(a, i, ok);
		return;
	}
	if (!ok) {
		on_order_refused(a, i);
		return;
	}
	settle_order(a, i,
		     item_state(a, i) == PF_ITEM_LOADING ? PF_ITEM_RESIDENT
							 : PF_ITEM_ABSENT);
	a->items[i].refusals = 0;
}

static bool is_used_at_engine(struct pf_agent *a, uint32_t i)
{
	static const enum run_state busy[] = { RUN_RUNNING, RUN_STOPPING };

	for (unsigned int k = 0; k < 2; k++) {
		struct run *r = run_first(a, busy[k]);

		for (; r; r = run_next(a, r))
			if (r->model_slot == i || r->adapter_slot == i)
				return true;
	}
	return false;
}

/* Applies the state of @i in a requested inventory. */
static void reconcile_item(struct pf_agent *a, uint32_t i,
			   enum pf_item_state state, int64_t bytes)
{
	struct item *it = &a->items[i];
	enum pf_item_state known = item_state(a, i);

	if (it->order_id > a->inventory_last_order)
		return;
	if (it->order_pending) {
		bool settled =
			state == PF_ITEM_ABSENT || state == PF_ITEM_RESIDENT;

		if (a->ledger.items[i].in_doubt && settled)
			settle_order(a, i, state);
		return;
	}
	if (known == PF_ITEM_ABSENT && state != PF_ITEM_ABSENT)
		record_found_item(a, i, state, bytes);
	else if (known == PF_ITEM_RESIDENT && state == PF_ITEM_ABSENT &&
		 !is_used_at_engine(a, i))
		settle_order(a, i, state);
	else if (known == PF_ITEM_RESIDENT && state != PF_ITEM_ABSENT)
		record_found_item(a, i, state, bytes);
}

/* Applies an unrequested inventory: it may be old, so it only adds items. */
static void reconcile_unasked(struct pf_agent *a, uint32_t i,
			      enum pf_item_state state, int64_t bytes)
{
	if (item_state(a, i) == PF_ITEM_ABSENT && state != PF_ITEM_ABSENT)
		record_found_item(a, i, state, bytes);
}

/* Applies an inventory. Returns the bytes of items that got no slot. */
static int64_t reconcile_items(struct pf_agent *a,
			       const struct pf_agent_item *items, uint32_t n)
{
	bool requested = a->inventory_pending;
	int64_t unlisted = 0;

	for (uint32_t i = 0; i < a->n_items; i++)
		a->items[i].in_inventory = false;
	for (uint32_t k = 0; k < n; k++) {
		uint32_t i = item_find_or_add(a, items[k].id);

		if (i == NIL) {
			unlisted += items[k].bytes;
			continue;
		}
		a->items[i].in_inventory = true;
		if (requested)
			reconcile_item(a, i, items[k].state, items[k].bytes);
		else
			reconcile_unasked(a, i, items[k].state, items[k].bytes);
	}
	for (uint32_t i = 0; requested && i < a->n_items; i++)
		if (!a->items[i].in_inventory)
			reconcile_item(a, i, PF_ITEM_ABSENT, 0);
	return unlisted;
}

/* The engine started or crashed: earlier orders and grants are void. */
static void reset_engine_state(struct pf_agent *a)
{
	pf_ledger_reset(&a->ledger);
	for (uint32_t i = 0; i < a->n_items; i++) {
		a->items[i].order_pending = false;
		a->items[i].backoff_until = 0;
		a->items[i].refusals = 0;
	}
	a->n_pending_orders = 0;
	a->loads_in_flight = 0;
	a->last_void_order = a->last_order;
	a->inventory_pending = false;
	a->placement_blocked_at = 0;
}

void agent_on_engine_up(struct pf_agent *a, const struct pf_agent_item *items,
			uint32_t n, int64_t used)
{
	bool requested = a->inventory_pending;
	bool first = !a->engine_up;
	int64_t unlisted;

	a->schedule_needed = true;
	a->engine_up = true;
	if (is_plain(a))
		return;
	if (first)
		reset_engine_state(a);
	unlisted = reconcile_items(a, items, n);
	pf_ledger_reconcile_total(&a->ledger, used, unlisted);
	a->inventory_pending = false;
	if (!first && !requested)
		ask_inventory(a);
	else if (a->ledger.unaccounted_bytes > 0)
		agent_wake_at(a, a->now + a->opts.order_timeout);
}

void agent_on_engine_down(struct pf_agent *a)
{
	runs_lose_all(a);
	tries_flush(a, PF_REASON_NOT_READY);
	reset_engine_state(a);
	a->engine_up = false;
}

void orders_check_timeouts(struct pf_agent *a)
{
	bool need_inventory = a->ledger.unaccounted_bytes > 0;

	if (!a->engine_up || is_plain(a))
		return;
	for (uint32_t i = 0; a->n_pending_orders > 0 && i < a->n_items; i++) {
		pf_ms timeout_at =
			a->items[i].ordered_at + a->opts.order_timeout;

		if (!a->items[i].order_pending)
			continue;
		if (timeout_at > a->now) {
			agent_wake_at(a, timeout_at);
			continue;
		}
		pf_ledger_mark_in_doubt(&a->ledger, i);
		need_inventory = true;
	}
	if (a->inventory_pending &&
	    a->inventory_asked_at + a->opts.order_timeout > a->now)
		agent_wake_at(a, a->inventory_asked_at + a->opts.order_timeout);
	else if (need_inventory || a->inventory_pending)
		ask_inventory(a);
}
