/* Models and adapters: what is declared, wanted, loaded, or to be unloaded. */
#include "agent_core.h"

#define PLACE_HOLD_MS 2000 /* then nothing starts until it has its memory */

enum pf_item_state item_state(const struct pf_agent *a, uint32_t i)
{
	return a->ledger.items[i].state;
}

uint32_t item_find(const struct pf_agent *a, uint64_t id)
{
	uint32_t i;

	return pf_map_get(&a->by_item, pf_key1(id), &i) < 0 ? NIL : i;
}

static bool reusable(const struct pf_agent *a, uint32_t i)
{
	const struct item *it = &a->items[i];

	return !it->declared && it->wanted == 0 && it->users == 0 &&
	       !it->pending && item_state(a, i) == PF_ITEM_ABSENT;
}

uint32_t item_take(struct pf_agent *a, uint64_t id)
{
	uint32_t i = item_find(a, id);

	if (i != NIL)
		return i;
	for (i = 0; i < a->n_items; i++)
		if (reusable(a, i))
			break;
	if (i == a->o.items_max)
		return NIL;
	if (i == a->n_items)
		a->n_items++;
	else
		pf_map_del(&a->by_item, pf_key1(a->items[i].id));
	a->items[i] = (struct item){ .id = id };
	pf_map_put(&a->by_item, pf_key1(id), i);
	return i;
}

static void declare_model(struct pf_agent *a, const struct pf_model *m)
{
	uint32_t i = item_take(a, m->id);

	if (i == NIL)
		return;
	a->items[i].declared = true;
	a->items[i].adapter = false;
	a->items[i].base = m->name_id;
	a->items[i].bytes = m->weight_bytes;
	a->items[i].max_context = m->max_context;
	/* Runs are counted anew when they grow. */
	a->items[i].kv_token_bytes = m->kv_token_bytes;
}

static void declare_adapter(struct pf_agent *a, const struct pf_adapter *d)
{
	uint32_t i = item_take(a, d->id);

	if (i == NIL)
		return;
	a->items[i].declared = true;
	a->items[i].adapter = true;
	a->items[i].base = d->model_name_id;
	a->items[i].bytes = d->bytes;
}

void agent_config(struct pf_agent *a, const struct pf_config *c)
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
	a->dirty = true;
}

void agent_place(struct pf_agent *a, const uint64_t *ids, uint32_t n)
{
	for (uint32_t i = 0; i < a->n_items; i++)
		a->items[i].wanted = 0;
	a->n_wanted = 0;
	for (uint32_t k = 0; k < n; k++) {
		/* It may be declared only later. */
		uint32_t i = item_take(a, ids[k]);

		if (i == NIL || a->items[i].wanted)
			continue;
		a->wanted[a->n_wanted++] = i;
		a->items[i].wanted = a->n_wanted;
	}
	a->dirty = true;
}

/* Whether @i fits beside all that is wanted. */
static bool fits_beside_wanted(const struct pf_agent *a, uint32_t i)
{
	int64_t sum = a->items[i].bytes;

	for (uint32_t k = 0; k < a->n_wanted; k++)
		if (a->items[a->wanted[k]].declared)
			sum += a->items[a->wanted[k]].bytes;
	return sum <= a->ledger.capacity;
}

bool item_offered(const struct pf_agent *a, uint32_t i)
{
	enum pf_item_state state = item_state(a, i);

	if (!a->items[i].declared)
		return false;
	if (a->items[i].wanted || state == PF_ITEM_RESIDENT ||
	    state == PF_ITEM_LOADING)
		return true;
	return a->o.load_on_demand && fits_beside_wanted(a, i);
}

bool item_usable(const struct pf_agent *a, uint32_t i)
{
	return item_state(a, i) == PF_ITEM_RESIDENT;
}

static void hold_item(struct pf_agent *a, uint32_t i, bool hold)
{
	if (i == NIL)
		return;
	if (hold)
		a->items[i].users++;
	else
		a->items[i].users--;
	a->items[i].used_at = a->now;
}

void items_hold(struct pf_agent *a, struct run *r, bool hold)
{
	if (is_plain(a))
		return;
	if (hold) {
		r->model = item_find(a, r->work.model);
		r->adapter = item_find(a, r->work.adapter);
	}
	hold_item(a, r->model, hold);
	hold_item(a, r->adapter, hold);
}

/* Another item than @but of the same model, in any state but absent. */
static bool has_kin(const struct pf_agent *a, uint32_t but, bool adapter)
{
	for (uint32_t i = 0; i < a->n_items; i++) {
		const struct item *it = &a->items[i];
		enum pf_item_state state = item_state(a, i);

		if (i == but || it->adapter != adapter ||
		    it->base != a->items[but].base)
			continue;
		if (adapter ? state != PF_ITEM_ABSENT
			    : state == PF_ITEM_RESIDENT)
			return true;
	}
	return false;
}

static bool idle(const struct pf_agent *a, uint32_t i)
{
	const struct item *it = &a->items[i];

	return item_state(a, i) == PF_ITEM_RESIDENT && it->users == 0 &&
	       it->wanted == 0 && it->retry_at <= a->now;
}

/* An adapter needs a version of its model beside it. */
static bool evictable(const struct pf_agent *a, uint32_t i)
{
	if (!idle(a, i))
		return false;
	return a->items[i].adapter || !has_kin(a, i, true) ||
	       has_kin(a, i, false);
}

static uint32_t least_recent(const struct pf_agent *a)
{
	uint32_t best = NIL;

	for (uint32_t i = 0; i < a->n_items; i++)
		if (evictable(a, i) &&
		    (best == NIL ||
		     a->items[i].used_at < a->items[best].used_at))
			best = i;
	return best;
}

int items_make_room(struct pf_agent *a, int64_t bytes)
{
	int64_t spare = pf_ledger_spare(&a->ledger);
	int64_t coming = 0, reach = 0;

	if (spare >= bytes)
		return 0;
	for (uint32_t i = 0; i < a->n_items; i++) {
		if (item_state(a, i) == PF_ITEM_UNLOADING)
			coming += a->ledger.items[i].bytes;
		else if (idle(a, i))
			reach += a->ledger.items[i].bytes;
	}
	if (spare + coming + reach < bytes)
		return -1;
	while (spare + coming < bytes) {
		uint32_t i = least_recent(a);

		if (i == NIL)
			break;
		coming += a->ledger.items[i].bytes;
		order_unload(a, i);
	}
	/* A model whose adapters must go first takes more than one round. */
	return coming > 0 ? 1 : -1;
}

static int fetch(struct pf_agent *a, uint32_t i, int64_t beside)
{
	struct item *it = &a->items[i];

	if (item_state(a, i) != PF_ITEM_ABSENT)
		return 0;
	if (!item_offered(a, i) || a->leaving)
		return -1;
	if (it->retry_at > a->now) {
		agent_arm(a, it->retry_at);
		return 0;
	}
	if (a->loads >= a->o.loads_max)
		return 0;
	if (items_make_room(a, it->bytes + beside) != 0)
		return -1;
	return order_load(a, i);
}

int items_fetch(struct pf_agent *a, const struct run *r)
{
	if (!item_usable(a, r->model))
		return fetch(a, r->model, kv_first_bytes(a, r));
	return fetch(a, r->adapter, 0);
}

/* Whether the memory for @i is there once all runs have ended. */
static bool fits_when_idle(const struct pf_agent *a, uint32_t i)
{
	int64_t stay = a->ledger.excess;

	for (uint32_t k = 0; k < a->n_items; k++)
		if (!idle(a, k))
			stay += a->ledger.items[k].bytes;
	return stay + a->items[i].bytes <= a->ledger.capacity;
}

static void blocked(struct pf_agent *a, uint32_t i)
{
	if (!fits_when_idle(a, i))
		return;
	if (a->blocked_at == 0)
		a->blocked_at = a->now;
	if (a->blocked_at + PLACE_HOLD_MS > a->now)
		agent_arm(a, a->blocked_at + PLACE_HOLD_MS);
}

void items_place(struct pf_agent *a)
{
	for (uint32_t k = 0; k < a->n_wanted; k++) {
		uint32_t i = a->wanted[k];

		if (item_state(a, i) != PF_ITEM_ABSENT || !a->items[i].declared)
			continue;
		if (a->items[i].adapter && !has_kin(a, i, false))
			continue;
		/* What is wanted more goes first, also when it must wait. */
		if (fetch(a, i, 0) < 0) {
			blocked(a, i);
			return;
		}
	}
	a->blocked_at = 0;
}

bool items_hold_starts(const struct pf_agent *a)
{
	return a->blocked_at > 0 && a->now - a->blocked_at >= PLACE_HOLD_MS;
}
