/* Models and adapters: configuration, placement, loading and eviction. */
#include "agent_core.h"

#define PLACEMENT_BLOCKS_AFTER_MS 2000 /* wait of a placed item for memory */

enum pf_item_state item_state(const struct pf_agent *a, uint32_t i)
{
	return a->ledger.items[i].state;
}

uint32_t item_find(const struct pf_agent *a, uint64_t id)
{
	uint32_t i;

	return pf_map_get(&a->items_by_id, pf_key1(id), &i) < 0 ? NIL : i;
}

/* Whether the slot @i holds nothing that is known or used. */
static bool slot_is_reusable(const struct pf_agent *a, uint32_t i)
{
	const struct item *it = &a->items[i];

	return !it->declared && it->place_rank == 0 && it->users == 0 &&
	       !it->order_pending && item_state(a, i) == PF_ITEM_ABSENT;
}

uint32_t item_find_or_add(struct pf_agent *a, uint64_t id)
{
	uint32_t i = item_find(a, id);

	if (i != NIL)
		return i;
	for (i = 0; i < a->n_items; i++)
		if (slot_is_reusable(a, i))
			break;
	if (i == a->opts.items_max)
		return NIL;
	if (i == a->n_items)
		a->n_items++;
	else
		pf_map_del(&a->items_by_id, pf_key1(a->items[i].id));
	a->items[i] = (struct item){ .id = id };
	pf_map_put(&a->items_by_id, pf_key1(id), i);
	return i;
}

static void declare_model(struct pf_agent *a, const struct pf_model *m)
{
	uint32_t i = item_find_or_add(a, m->id);

	if (i == NIL)
		return;
	a->items[i].declared = true;
	a->items[i].adapter = false;
	a->items[i].model_name_id = m->name_id;
	a->items[i].bytes = m->weight_bytes;
	a->items[i].max_context = m->max_context;
	/* Grants of running runs are recomputed when they grow. */
	a->items[i].kv_token_bytes = m->kv_token_bytes;
}

static void declare_adapter(struct pf_agent *a, const struct pf_adapter *d)
{
	uint32_t i = item_find_or_add(a, d->id);

	if (i == NIL)
		return;
	a->items[i].declared = true;
	a->items[i].adapter = true;
	a->items[i].model_name_id = d->model_name_id;
	a->items[i].bytes = d->bytes;
}

void agent_on_config(struct pf_agent *a, const struct pf_config *c)
{
	if (is_plain(a))
		return;
	for (uint32_t i = 0; i < a->n_items; i++)
		a->items[i].declared = false;
	for (size_t i = 0; i < c->n_models; i++)
		declare_model(a, &c->models[i]);
	for (size_t i = 0; i < c->n_adapters; i++)
		declare_adapter(a, &c->adapters[i]);
	a->configured = true;
	a->schedule_needed = true;
}

void agent_on_place(struct pf_agent *a, const uint64_t *ids, uint32_t n)
{
	for (uint32_t i = 0; i < a->n_items; i++)
		a->items[i].place_rank = 0;
	a->n_placed = 0;
	for (uint32_t k = 0; k < n; k++) {
		/* The configuration may declare it later. */
		uint32_t i = item_find_or_add(a, ids[k]);

		if (i == NIL || a->items[i].place_rank)
			continue;
		a->placed[a->n_placed++] = i;
		a->items[i].place_rank = a->n_placed;
	}
	a->schedule_needed = true;
}

static bool fits_beside_placed(const struct pf_agent *a, uint32_t i)
{
	int64_t sum = a->items[i].bytes;

	for (uint32_t k = 0; k < a->n_placed; k++)
		if (a->items[a->placed[k]].declared)
			sum += a->items[a->placed[k]].bytes;
	return sum <= a->ledger.capacity_bytes;
}

bool item_offered(const struct pf_agent *a, uint32_t i)
{
	enum pf_item_state state = item_state(a, i);

	if (!a->items[i].declared)
		return false;
	if (a->items[i].place_rank || state == PF_ITEM_RESIDENT ||
	    state == PF_ITEM_LOADING)
		return true;
	return a->opts.load_on_demand && fits_beside_placed(a, i);
}

bool item_resident(const struct pf_agent *a, uint32_t i)
{
	return item_state(a, i) == PF_ITEM_RESIDENT;
}

static void item_set_in_use(struct pf_agent *a, uint32_t i, bool in_use)
{
	if (i == NIL)
		return;
	if (in_use)
		a->items[i].users++;
	else
		a->items[i].users--;
	a->items[i].last_used_at = a->now;
}

void items_set_in_use(struct pf_agent *a, struct run *r, bool in_use)
{
	if (is_plain(a))
		return;
	if (in_use) {
		r->model_slot = item_find(a, r->work.model);
		r->adapter_slot = item_find(a, r->work.adapter);
	}
	item_set_in_use(a, r->model_slot, in_use);
	item_set_in_use(a, r->adapter_slot, in_use);
}

/* Whether the model of @i has an adapter here, or another resident version. */
static bool has_sibling(const struct pf_agent *a, uint32_t i, bool adapter)
{
	for (uint32_t k = 0; k < a->n_items; k++) {
		const struct item *it = &a->items[k];
		enum pf_item_state state = item_state(a, k);

		if (k == i || it->adapter != adapter ||
		    it->model_name_id != a->items[i].model_name_id)
			continue;
		if (adapter ? state != PF_ITEM_ABSENT
			    : state == PF_ITEM_RESIDENT)
			return true;
	}
	return false;
}

/* Whether @i is resident, unused, not placed, and not backing off. */
static bool is_idle(const struct pf_agent *a, uint32_t i)
{
	const struct item *it = &a->items[i];

	return item_state(a, i) == PF_ITEM_RESIDENT && it->users == 0 &&
	       it->place_rank == 0 && it->backoff_until <= a->now;
}

/* Idle, and not the last version of a model with adapters here. */
static bool is_evictable(const struct pf_agent *a, uint32_t i)
{
	if (!is_idle(a, i))
		return false;
	return a->items[i].adapter || !has_sibling(a, i, true) ||
	       has_sibling(a, i, false);
}

/* The evictable item to unload first, or NIL. */
static uint32_t least_recently_used(const struct pf_agent *a)
{
	uint32_t best = NIL;

	for (uint32_t i = 0; i < a->n_items; i++)
		if (is_evictable(a, i) &&
		    (best == NIL ||
		     a->items[i].last_used_at < a->items[best].last_used_at))
			best = i;
	return best;
}

int items_make_room(struct pf_agent *a, int64_t bytes)
{
	int64_t spare = pf_ledger_available(&a->ledger);
	int64_t freeing = 0, idle_bytes = 0;

	if (spare >= bytes)
		return 0;
	for (uint32_t i = 0; i < a->n_items; i++) {
		if (item_state(a, i) == PF_ITEM_UNLOADING)
			freeing += a->ledger.items[i].bytes;
		else if (is_idle(a, i))
			idle_bytes += a->ledger.items[i].bytes;
	}
	if (spare + freeing + idle_bytes < bytes)
		return -1;
	while (spare + freeing < bytes) {
		uint32_t i = least_recently_used(a);

		if (i == NIL)
			break;
		freeing += a->ledger.items[i].bytes;
		order_unload(a, i);
	}
	/* A model is unloaded after its adapters, in a later call. */
	return freeing > 0 ? 1 : -1;
}

/* Loads @i if it is absent. -1: not possible now; 0: ordered or waiting. */
static int load_item(struct pf_agent *a, uint32_t i, int64_t extra_bytes)
{
	struct item *it = &a->items[i];

	if (item_state(a, i) != PF_ITEM_ABSENT)
		return 0;
	if (!item_offered(a, i) || a->draining)
		return -1;
	if (it->backoff_until > a->now) {
		agent_wake_at(a, it->backoff_until);
		return 0;
	}
	if (a->loads_in_flight >= a->opts.loads_max)
		return 0;
	if (items_make_room(a, it->bytes + extra_bytes) != 0)
		return -1;
	return order_load(a, i);
}

int items_load_missing(struct pf_agent *a, const struct run *r)
{
	if (!item_resident(a, r->model_slot))
		return load_item(a, r->model_slot, kv_initial_bytes(a, r));
	return load_item(a, r->adapter_slot, 0);
}

/* Whether @i fits once all runs have ended and idle items are unloaded. */
static bool fits_when_idle(const struct pf_agent *a, uint32_t i)
{
	int64_t kept_bytes = a->ledger.unaccounted_bytes;

	for (uint32_t k = 0; k < a->n_items; k++)
		if (!is_idle(a, k))
			kept_bytes += a->ledger.items[k].bytes;
	return kept_bytes + a->items[i].bytes <= a->ledger.capacity_bytes;
}

static void note_placement_blocked(struct pf_agent *a, uint32_t i)
{
	if (!fits_when_idle(a, i))
		return;
	if (a->placement_blocked_at == 0)
		a->placement_blocked_at = a->now;
	if (a->placement_blocked_at + PLACEMENT_BLOCKS_AFTER_MS > a->now)
		agent_wake_at(a, a->placement_blocked_at +
					 PLACEMENT_BLOCKS_AFTER_MS);
}

void items_load_placed(struct pf_agent *a)
{
	for (uint32_t k = 0; k < a->n_placed; k++) {
		uint32_t i = a->placed[k];

		if (item_state(a, i) != PF_ITEM_ABSENT || !a->items[i].declared)
			continue;
		if (a->items[i].adapter && !has_sibling(a, i, false))
			continue;
		/* Items of lower rank wait while this one lacks memory. */
		if (load_item(a, i, 0) < 0) {
			note_placement_blocked(a, i);
			return;
		}
	}
	a->placement_blocked_at = 0;
}

bool placement_blocks_starts(const struct pf_agent *a)
{
	return a->placement_blocked_at > 0 &&
	       a->now - a->placement_blocked_at >= PLACEMENT_BLOCKS_AFTER_MS;
}
