/*
 * KV grants. A run holds memory for its prompt and `limit` output tokens; the
 * policy sets the first limit and whether it may grow. PF_KV_SAFE admits a
 * change only if some order remains in which every run can reach its
 * max_tokens (banker's algorithm). With one kind of resource it is enough to
 * check the runs in ascending order of what they still need.
 */
#include "agent_core.h"

#include <stdlib.h>

int64_t kv_bytes(const struct pf_agent *a, const struct run *r, uint32_t limit)
{
	if (is_plain(a) || r->model_slot == NIL)
		return 0;
	return ((int64_t)r->work.prompt_tokens + limit) *
	       a->items[r->model_slot].kv_token_bytes;
}

static uint32_t min_u32(uint32_t x, uint32_t y)
{
	return x < y ? x : y;
}

/* Output tokens granted to @r when it starts. */
static uint32_t initial_limit(const struct pf_agent *a, const struct run *r)
{
	uint32_t max = r->work.max_tokens;
	uint32_t n;

	/* A run that can't be paused must never need to grow. */
	if (a->opts.kv_policy == PF_KV_FULL || !run_pausable(r))
		return max;
	n = lengths_quantile(a->lengths, r->work.model, r->work.caller,
			     a->opts.kv_quantile, r->produced,
			     r->produced + 4 * a->opts.grant_step);
	if (n < r->produced + a->opts.grant_step)
		n = r->produced + a->opts.grant_step;
	return min_u32(n, max);
}

int64_t kv_initial_bytes(const struct pf_agent *a, const struct run *r)
{
	return kv_bytes(a, r, initial_limit(a, r));
}

static int compare_needs(const void *x, const void *y)
{
	const struct kv_need *p = x, *q = y;

	return (p->remaining_bytes > q->remaining_bytes) -
	       (p->remaining_bytes < q->remaining_bytes);
}

static uint32_t add_kv_needs(struct pf_agent *a, enum run_state state,
			     const struct run *except, uint32_t n)
{
	struct run *r = run_first(a, state);

	for (; r; r = run_next(a, r)) {
		struct kv_need *d = &a->kv_needs[n];

		if (r == except)
			continue;
		d->held_bytes = a->ledger.kv_grants[run_slot(a, r)];
		d->remaining_bytes =
			state == RUN_STOPPING
				? 0
				: kv_bytes(a, r, r->work.max_tokens) -
					  d->held_bytes;
		n++;
	}
	return n;
}

/* Whether all runs could finish if @r held @bytes and @less were gone. */
static bool is_safe_state(struct pf_agent *a, const struct run *r,
			  int64_t bytes, int64_t less)
{
	int64_t spare = pf_ledger_available(&a->ledger) - less;
	uint32_t n = 0;

	n = add_kv_needs(a, RUN_RUNNING, r, n);
	n = add_kv_needs(a, RUN_STOPPING, r, n);
	n = add_kv_needs(a, RUN_CLAIMING, r, n);
	if (r) {
		a->kv_needs[n].held_bytes = bytes;
		a->kv_needs[n].remaining_bytes =
			kv_bytes(a, r, r->work.max_tokens) - bytes;
		spare -= bytes - a->ledger.kv_grants[run_slot(a, r)];
		n++;
	}
	qsort(a->kv_needs, n, sizeof(*a->kv_needs), compare_needs);
	for (uint32_t i = 0; i < n; i++) {
		if (a->kv_needs[i].remaining_bytes > spare)
			return false;
		spare += a->kv_needs[i].held_bytes;
	}
	return spare >= 0;
}

bool kv_safe_with_less(struct pf_agent *a, int64_t bytes)
{
	return a->opts.kv_policy != PF_KV_SAFE ||
	       is_safe_state(a, NULL, 0, bytes);
}

/* Sets the limit of @r and its grant, if memory and policy allow. 0 or -1. */
static int set_grant(struct pf_agent *a, struct run *r, uint32_t limit)
{
	int64_t bytes = kv_bytes(a, r, limit);

	if (a->opts.kv_policy == PF_KV_SAFE && !is_safe_state(a, r, bytes, 0))
		return -1;
	if (pf_ledger_grant_kv(&a->ledger, run_slot(a, r), bytes) < 0)
		return -1;
	r->limit = limit;
	return 0;
}

int kv_admit(struct pf_agent *a, struct run *r)
{
	if (is_plain(a)) {
		r->limit = r->work.max_tokens;
		return 0;
	}
	return set_grant(a, r, initial_limit(a, r));
}

void kv_release(struct pf_agent *a, struct run *r)
{
	if (!is_plain(a))
		pf_ledger_release_kv(&a->ledger, run_slot(a, r));
	r->limit = 0;
}

bool run_pausable(const struct run *r)
{
	return !(r->work.flags & (PF_WORK_PLAIN | PF_WORK_NEVER_REPEAT));
}

/* Whether to pause @x rather than @y: less urgent, deferrable, later. */
static bool less_valuable(const struct run *x, const struct run *y)
{
	uint32_t dx = x->work.flags & PF_WORK_DEFERRABLE;
	uint32_t dy = y->work.flags & PF_WORK_DEFERRABLE;

	if (x->work.priority != y->work.priority)
		return x->work.priority > y->work.priority;
	if (dx != dy)
		return dx > dy;
	if (x->work.arrived != y->work.arrived)
		return x->work.arrived > y->work.arrived;
	return x->id.request > y->id.request;
}

/* The least valuable run that can be paused and is worth less than @r. */
static struct run *pick_victim(struct pf_agent *a, const struct run *r)
{
	const struct run *least = r;
	struct run *v = run_first(a, RUN_RUNNING), *found = NULL;

	for (; v; v = run_next(a, v)) {
		if (!run_pausable(v) || !less_valuable(v, least))
			continue;
		least = v;
		found = v;
	}
	return found;
}

/*
 * @r is at its limit and can't grow. Unloads items or pauses a less valuable
 * run, unless memory is being freed already. If @r is the only run and nothing
 * can be unloaded, it can't finish here and is stopped.
 */
static void unblock_growth(struct pf_agent *a, struct run *r)
{
	uint32_t limit = r->work.max_tokens;
	struct run *v;

	if (a->lists[RUN_STOPPING].n > 0)
		return;
	if (a->opts.kv_policy != PF_KV_SAFE)
		limit = min_u32(limit, r->limit + a->opts.grant_step);
	if (items_make_room(a, kv_bytes(a, r, limit) -
				       a->ledger.kv_grants[run_slot(a, r)]) > 0)
		return;
	v = pick_victim(a, r);
	if (v)
		run_stop(a, v, STOP_PAUSE);
	else if (a->lists[RUN_RUNNING].n == 1 && a->n_pending_orders == 0)
		run_stop(a, r, STOP_NO_MEMORY);
}

static void set_growth_blocked(struct pf_agent *a, struct run *r, bool blocked)
{
	if (r->growth_blocked == blocked)
		return;
	r->growth_blocked = blocked;
	if (blocked)
		a->n_growth_blocked++;
	else
		a->n_growth_blocked--;
}

/* Raises the limit of @r by @tokens and emits GRANT. 0 or -1. */
static int extend_grant(struct pf_agent *a, struct run *r, uint32_t tokens)
{
	struct pf_agent_act act = { .type = PF_AGENT_GRANT, .entry = r->entry };
	uint64_t want = (uint64_t)r->limit + tokens;
	uint32_t limit = r->work.max_tokens;

	if (want < limit)
		limit = (uint32_t)want;
	if (set_grant(a, r, limit) < 0)
		return -1;
	set_growth_blocked(a, r, false);
	a->stats.grants++;
	act.u.run.id = r->id;
	act.u.run.work = &r->work;
	act.u.run.offset = r->produced;
	act.u.run.limit = limit;
	agent_emit(a, &act);
	return 0;
}

static void grow_or_make_room(struct pf_agent *a, struct run *r, uint32_t burst)
{
	if (extend_grant(a, r, a->opts.grant_step + burst) == 0 ||
	    (burst > 0 && extend_grant(a, r, a->opts.grant_step) == 0))
		return;
	set_growth_blocked(a, r, true);
	if (r->produced >= r->limit)
		unblock_growth(a, r);
}

void kv_grow(struct pf_agent *a, struct run *r, uint32_t burst)
{
	uint32_t margin = a->opts.grant_step / 2 + 2 * burst;

	if (r->limit >= r->work.max_tokens || r->produced + margin < r->limit)
		return;
	if (!r->growth_blocked || r->produced >= r->limit)
		grow_or_make_room(a, r, burst);
}

void kv_retry_growth(struct pf_agent *a)
{
	struct run *r = a->n_growth_blocked ? run_first(a, RUN_RUNNING) : NULL;

	/* Growing @r may pause the next run, which then leaves the list. */
	while (r && r->state == RUN_RUNNING) {
		struct run *next = run_next(a, r);

		if (r->growth_blocked)
			grow_or_make_room(a, r, 0);
		r = next;
	}
}
