/*
 * Orders to the engine and its inventories. One order per item is
 * outstanding; one that was not answered in time is unknown and frees nothing
 * until an inventory shows what became of it. An inventory settles only
 * orders that were issued before it was asked for.
 */
#include "agent_core.h"

#define BACKOFF_MIN_MS 500
#define BACKOFF_MAX_MS 30000

static void issue(struct pf_agent *a, uint32_t i, enum pf_agent_act_type type)
{
	struct pf_agent_act act = { .type = type };
	struct item *it = &a->items[i];

	it->order = ++a->order_seq;
	it->order_loads = type == PF_AGENT_LOAD;
	it->order_at = a->now;
	it->pending = true;
	a->n_pending++;
	agent_arm(a, a->now + a->o.order_timeout);
	act.u.order.id = it->order;
	act.u.order.item = it->id;
	act.u.order.bytes = a->ledger.items[i].bytes;
	agent_emit(a, &act);
}

int order_load(struct pf_agent *a, uint32_t i)
{
	struct item *it = &a->items[i];

	if (!kv_safe_without(a, it->bytes) ||
	    pf_ledger_load(&a->ledger, i, it->bytes) < 0)
		return -1;
	it->used_at = a->now;
	a->loads++;
	a->stats.loads++;
	if (it->adapter)
		a->stats.adapter_loads++;
	else
		a->stats.model_loads++;
	issue(a, i, PF_AGENT_LOAD);
	return 0;
}

void order_unload(struct pf_agent *a, uint32_t i)
{
	if (pf_ledger_unload(&a->ledger, i) < 0)
		return;
	a->stats.unloads++;
	issue(a, i, PF_AGENT_UNLOAD);
}

static void settle(struct pf_agent *a, uint32_t i, enum pf_item_state state)
{
	struct item *it = &a->items[i];

	if (it->pending) {
		it->pending = false;
		a->n_pending--;
		if (item_state(a, i) == PF_ITEM_LOADING)
			a->loads--;
	}
	pf_ledger_settle(&a->ledger, i, state);
	a->dirty = true;
}

static void back_off(struct pf_agent *a, struct item *it)
{
	pf_ms wait = BACKOFF_MIN_MS << (it->refusals < 6 ? it->refusals : 6);

	if (wait > BACKOFF_MAX_MS)
		wait = BACKOFF_MAX_MS;
	it->refusals++;
	it->retry_at = a->now + wait;
	agent_arm(a, it->retry_at);
}

static void ask(struct pf_agent *a)
{
	struct pf_agent_act act = { .type = PF_AGENT_INVENTORY };

	a->inventory_due = true;
	a->inventory_at = a->now;
	a->inventory_seq = a->order_seq;
	agent_arm(a, a->now + a->o.order_timeout);
	agent_emit(a, &act);
}

/* The item shows as @state and no answer is to come: inventories settle it. */
static void found(struct pf_agent *a, uint32_t i, enum pf_item_state state,
		  int64_t bytes)
{
	struct item *it = &a->items[i];

	pf_ledger_found(&a->ledger, i, state, bytes);
	if (state == PF_ITEM_RESIDENT)
		return;
	pf_ledger_unknown(&a->ledger, i);
	it->order = 0;
	it->pending = true;
	it->order_at = a->now;
	a->n_pending++;
	if (state == PF_ITEM_LOADING)
		a->loads++;
	agent_arm(a, a->now + a->o.order_timeout);
}

/* An answer after its order was settled; the same one again is nothing. */
static void late_answer(struct pf_agent *a, uint32_t i, bool ok)
{
	bool loads = a->items[i].order_loads;
	bool here = item_state(a, i) == PF_ITEM_RESIDENT;

	if (!ok || loads == here)
		return;
	if (loads)
		found(a, i, PF_ITEM_RESIDENT, a->items[i].bytes);
	ask(a);
}

static void refused(struct pf_agent *a, uint32_t i)
{
	struct item *it = &a->items[i];

	/* Perhaps because it is there: before, it had no slot here. */
	if (item_state(a, i) == PF_ITEM_LOADING && it->seen) {
		pf_ledger_unknown(&a->ledger, i);
	} else {
		settle(a, i,
		       item_state(a, i) == PF_ITEM_LOADING ? PF_ITEM_ABSENT
							   : PF_ITEM_RESIDENT);
		back_off(a, it);
	}
	ask(a);
}

void agent_order_done(struct pf_agent *a, uint64_t order, bool ok)
{
	uint32_t i = 0;

	while (i < a->n_items && a->items[i].order != order)
		i++;
	if (order <= a->order_base || i == a->n_items)
		return;
	if (!a->items[i].pending) {
		late_answer(a, i, ok);
		return;
	}
	if (!ok) {
		refused(a, i);
		return;
	}
	settle(a, i,
	       item_state(a, i) == PF_ITEM_LOADING ? PF_ITEM_RESIDENT
						   : PF_ITEM_ABSENT);
	a->items[i].refusals = 0;
}

/* Whether a run at the engine needs @i. */
static bool in_use(struct pf_agent *a, uint32_t i)
{
	static const enum run_state busy[] = { RUN_RUNNING, RUN_STOPPING };

	for (unsigned int k = 0; k < 2; k++) {
		struct run *r = run_at_head(a, busy[k]);

		for (; r; r = run_next(a, r))
			if (r->model == i || r->adapter == i)
				return true;
	}
	return false;
}

/* What an inventory that was asked for says of @i. */
static void apply(struct pf_agent *a, uint32_t i, enum pf_item_state state,
		  int64_t bytes)
{
	struct item *it = &a->items[i];
	enum pf_item_state known = item_state(a, i);

	if (it->order > a->inventory_seq)
		return;
	if (it->pending) {
		bool settled =
			state == PF_ITEM_ABSENT || state == PF_ITEM_RESIDENT;

		if (a->ledger.items[i].unknown && settled)
			settle(a, i, state);
		return;
	}
	if (known == PF_ITEM_ABSENT && state != PF_ITEM_ABSENT)
		found(a, i, state, bytes);
	else if (known == PF_ITEM_RESIDENT && state == PF_ITEM_ABSENT &&
		 !in_use(a, i))
		settle(a, i, state);
	else if (known == PF_ITEM_RESIDENT && state != PF_ITEM_ABSENT)
		found(a, i, state, bytes);
}

/* Nobody asked: it may be old, so it only adds. */
static void add(struct pf_agent *a, uint32_t i, enum pf_item_state state,
		int64_t bytes)
{
	if (item_state(a, i) == PF_ITEM_ABSENT && state != PF_ITEM_ABSENT)
		found(a, i, state, bytes);
}

/* Returns the bytes of items for which there is no slot. */
static int64_t read_items(struct pf_agent *a, const struct pf_agent_item *items,
			  uint32_t n)
{
	bool asked = a->inventory_due;
	int64_t unlisted = 0;

	for (uint32_t i = 0; i < a->n_items; i++)
		a->items[i].seen = false;
	for (uint32_t k = 0; k < n; k++) {
		uint32_t i = item_take(a, items[k].id);

		if (i == NIL) {
			unlisted += items[k].bytes;
			continue;
		}
		a->items[i].seen = true;
		if (asked)
			apply(a, i, items[k].state, items[k].bytes);
		else
			add(a, i, items[k].state, items[k].bytes);
	}
	for (uint32_t i = 0; asked && i < a->n_items; i++)
		if (!a->items[i].seen)
			apply(a, i, PF_ITEM_ABSENT, 0);
	return unlisted;
}

/* The engine is new: all orders and grants of before are void. */
static void forget_engine(struct pf_agent *a)
{
	pf_ledger_reset(&a->ledger);
	for (uint32_t i = 0; i < a->n_items; i++) {
		a->items[i].pending = false;
		a->items[i].retry_at = 0;
		a->items[i].refusals = 0;
	}
	a->n_pending = 0;
	a->loads = 0;
	a->order_base = a->order_seq;
	a->inventory_due = false;
	a->blocked_at = 0;
}

void agent_engine_up(struct pf_agent *a, const struct pf_agent_item *items,
		     uint32_t n, int64_t used)
{
	bool asked = a->inventory_due;
	bool first = !a->up;
	int64_t unlisted;

	a->dirty = true;
	a->up = true;
	if (is_plain(a))
		return;
	if (first)
		forget_engine(a);
	unlisted = read_items(a, items, n);
	pf_ledger_measured(&a->ledger, used, unlisted);
	a->inventory_due = false;
	if (!first && !asked)
		ask(a);
	else if (a->ledger.excess > 0)
		agent_arm(a, a->now + a->o.order_timeout);
}

void agent_engine_down(struct pf_agent *a)
{
	runs_crashed(a);
	tries_flush(a, PF_REASON_NOT_READY);
	forget_engine(a);
	a->up = false;
}

void orders_sweep(struct pf_agent *a)
{
	bool unknown = a->ledger.excess > 0;

	if (!a->up || is_plain(a))
		return;
	for (uint32_t i = 0; a->n_pending > 0 && i < a->n_items; i++) {
		pf_ms due = a->items[i].order_at + a->o.order_timeout;

		if (!a->items[i].pending)
			continue;
		if (due > a->now) {
			agent_arm(a, due);
			continue;
		}
		pf_ledger_unknown(&a->ledger, i);
		unknown = true;
	}
	if (a->inventory_due && a->inventory_at + a->o.order_timeout > a->now)
		agent_arm(a, a->inventory_at + a->o.order_timeout);
	else if (unknown || a->inventory_due)
		ask(a);
}
