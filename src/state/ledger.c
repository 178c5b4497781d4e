/* Memory ledger: reservations, grants and reconciliation. */
#include "pimentoford/ledger.h"

#include <stdlib.h>
#include <string.h>

int pf_ledger_init(struct pf_ledger *l, int64_t capacity, uint32_t n_items,
		   uint32_t n_runs)
{
	memset(l, 0, sizeof(*l));
	if (capacity < 0 || n_runs == 0)
		return -1;
	l->items = calloc(n_items + 1, sizeof(*l->items));
	l->kv_grants = calloc(n_runs, sizeof(*l->kv_grants));
	if (!l->items || !l->kv_grants) {
		pf_ledger_free(l);
		return -1;
	}
	l->capacity_bytes = capacity;
	l->n_items = n_items;
	l->n_runs = n_runs;
	return 0;
}

void pf_ledger_free(struct pf_ledger *l)
{
	free(l->items);
	free(l->kv_grants);
	l->items = NULL;
	l->kv_grants = NULL;
}

int64_t pf_ledger_committed(const struct pf_ledger *l)
{
	return l->items_bytes + l->kv_bytes + l->unaccounted_bytes;
}

int64_t pf_ledger_available(const struct pf_ledger *l)
{
	int64_t available = l->capacity_bytes - pf_ledger_committed(l);

	return l->reconciled && available > 0 ? available : 0;
}

static bool fits(const struct pf_ledger *l, int64_t more)
{
	return l->reconciled &&
	       more <= l->capacity_bytes - pf_ledger_committed(l);
}

/* Called after every change; also updates overcommit_sum and peak_bytes. */
static void check_invariants(struct pf_ledger *l)
{
	int64_t sum = pf_ledger_committed(l);

	if (l->overcommit_sum > 0 && sum <= l->capacity_bytes)
		l->overcommit_sum = 0;
	PF_INVARIANT("committed memory within the capacity",
		     sum <= l->capacity_bytes || sum <= l->overcommit_sum);
	PF_INVARIANT("memory sums are not negative",
		     l->items_bytes >= 0 && l->kv_bytes >= 0 &&
			     l->unaccounted_bytes >= 0);
	if (l->overcommit_sum > sum)
		l->overcommit_sum = sum;
	if (sum > l->peak_bytes)
		l->peak_bytes = sum;
}

/* As check_invariants(), but an inventory may exceed the capacity. */
static void check_inventory(struct pf_ledger *l)
{
	int64_t sum = pf_ledger_committed(l);

	if (sum > l->capacity_bytes)
		l->overcommit_sum = sum;
	check_invariants(l);
}

static void set_item(struct pf_ledger *l, uint32_t item,
		     enum pf_item_state state, int64_t bytes)
{
	struct pf_ledger_item *it = &l->items[item];

	l->items_bytes += bytes - it->bytes;
	it->bytes = bytes;
	it->state = state;
	it->in_doubt = false;
}

int pf_ledger_begin_load(struct pf_ledger *l, uint32_t item, int64_t bytes)
{
	if (item >= l->n_items || bytes < 0 ||
	    l->items[item].state != PF_ITEM_ABSENT)
		return -1;
	if (!fits(l, bytes))
		return -1;
	set_item(l, item, PF_ITEM_LOADING, bytes);
	check_invariants(l);
	return 0;
}

int pf_ledger_begin_unload(struct pf_ledger *l, uint32_t item)
{
	if (item >= l->n_items || l->items[item].state != PF_ITEM_RESIDENT)
		return -1;
	l->items[item].state = PF_ITEM_UNLOADING;
	check_invariants(l);
	return 0;
}

void pf_ledger_mark_in_doubt(struct pf_ledger *l, uint32_t item)
{
	if (item < l->n_items && l->items[item].state != PF_ITEM_ABSENT)
		l->items[item].in_doubt = true;
#ifdef PF_MUTANT_UNKNOWN_FREED
	set_item(l, item, PF_ITEM_ABSENT, 0);
#endif
	check_invariants(l);
}

void pf_ledger_settle(struct pf_ledger *l, uint32_t item,
		      enum pf_item_state state)
{
	if (item >= l->n_items)
		return;
	if (state == PF_ITEM_ABSENT)
		set_item(l, item, state, 0);
	else
		set_item(l, item, state, l->items[item].bytes);
	check_invariants(l);
}

void pf_ledger_reconcile_item(struct pf_ledger *l, uint32_t item,
			      enum pf_item_state state, int64_t bytes)
{
	int64_t known_bytes;

	if (item >= l->n_items || state == PF_ITEM_ABSENT)
		return;
	known_bytes = l->items[item].bytes;
	set_item(l, item, state, bytes > known_bytes ? bytes : known_bytes);
	check_inventory(l);
}

int pf_ledger_grant_kv(struct pf_ledger *l, uint32_t run, int64_t bytes)
{
	int64_t more;

	if (run >= l->n_runs || bytes < 0 || !l->reconciled)
		return -1;
#ifdef PF_MUTANT_OVERCOMMIT
	if (l->kv_grants[run] > 0)
		return 0;
#endif
	more = bytes - l->kv_grants[run];
	if (more > 0 && !fits(l, more))
		return -1;
	l->kv_grants[run] = bytes;
	l->kv_bytes += more;
	check_invariants(l);
	return 0;
}

void pf_ledger_release_kv(struct pf_ledger *l, uint32_t run)
{
	if (run >= l->n_runs)
		return;
	l->kv_bytes -= l->kv_grants[run];
	l->kv_grants[run] = 0;
	check_invariants(l);
}

void pf_ledger_reconcile_total(struct pf_ledger *l, int64_t used_bytes,
			       int64_t unlisted_bytes)
{
	int64_t known_bytes = l->items_bytes + l->kv_bytes;

	l->unaccounted_bytes =
		used_bytes > known_bytes ? used_bytes - known_bytes : 0;
	if (l->unaccounted_bytes < unlisted_bytes)
		l->unaccounted_bytes = unlisted_bytes;
	l->reconciled = true;
	check_inventory(l);
}

void pf_ledger_reset(struct pf_ledger *l)
{
	memset(l->items, 0, l->n_items * sizeof(*l->items));
	memset(l->kv_grants, 0, l->n_runs * sizeof(*l->kv_grants));
	l->items_bytes = 0;
	l->kv_bytes = 0;
	l->unaccounted_bytes = 0;
	l->overcommit_sum = 0;
	l->reconciled = false;
}
