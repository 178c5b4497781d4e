/* Records of tries, and what entries ask for: try, revoke, cancel, drain. */
#include "agent_core.h"

#define LOAD_WAIT_MS 10000 /* waiting work is handed back after this */
#define SUSPECT_WAIT_MS 10000
#define HINT_MIN_MS 10
#define HINT_MAX_MS 10000
#define HINT_UNKNOWN_MS 500

static struct pf_key key_of(struct pf_try id)
{
	return (struct pf_key){ id.request, id.attempt };
}

struct run *run_find(struct pf_agent *a, struct pf_try id)
{
	uint32_t i;

	return pf_map_get(&a->by_try, key_of(id), &i) < 0 ? NULL : &a->runs[i];
}

struct run *run_at_head(struct pf_agent *a, enum run_state state)
{
	uint32_t i = a->lists[state].head;

	return i == NIL ? NULL : &a->runs[i];
}

struct run *run_next(struct pf_agent *a, const struct run *r)
{
	return r->next == NIL ? NULL : &a->runs[r->next];
}

/* Whether it holds the endpoint for itself. */
static bool alone(const struct run *r)
{
	return (r->work.flags & PF_WORK_SUSPECT) &&
	       (r->state == RUN_CLAIMING || r->state == RUN_RUNNING ||
		r->state == RUN_STOPPING);
}

static bool at_engine_state(enum run_state s)
{
	return s == RUN_RUNNING || s == RUN_STOPPING;
}

static void count_running(struct pf_agent *a, const struct run *r, int by)
{
	if (r->model != NIL)
		a->items[r->model].running += (uint32_t)by;
}

static void unlink_run(struct pf_agent *a, struct run *r)
{
	struct list *l = &a->lists[r->state];

	a->n_alone -= alone(r);
	if (at_engine_state(r->state))
		count_running(a, r, -1);
	if (r->prev != NIL)
		a->runs[r->prev].next = r->next;
	else
		l->head = r->next;
	if (r->next != NIL)
		a->runs[r->next].prev = r->prev;
	else
		l->tail = r->prev;
	l->n--;
}

static void append_run(struct pf_agent *a, struct run *r)
{
	struct list *l = &a->lists[r->state];
	uint32_t i = run_slot(a, r);

	a->n_alone += alone(r);
	if (at_engine_state(r->state))
		count_running(a, r, 1);
	r->prev = l->tail;
	r->next = NIL;
	if (l->tail != NIL)
		a->runs[l->tail].next = i;
	else
		l->head = i;
	l->tail = i;
	l->n++;
}

void run_move(struct pf_agent *a, struct run *r, enum run_state state)
{
	if (r->state != RUN_FREE)
		unlink_run(a, r);
	r->state = state;
	append_run(a, r);
}

/* NULL when the table is full. */
static struct run *run_new(struct pf_agent *a, uint64_t entry, struct pf_try id,
			   const struct pf_work *w)
{
	struct run *r;

	if (a->n_free == 0)
		return NULL;
	r = &a->runs[a->free_runs[--a->n_free]];
	*r = (struct run){ .id = id,
			   .entry = entry,
			   .work = *w,
			   .model = NIL,
			   .adapter = NIL,
			   .produced = w->offset,
			   .queued_at = a->now };
	pf_map_put(&a->by_try, key_of(id), run_slot(a, r));
	run_move(a, r, RUN_QUEUED);
	return r;
}

void run_drop(struct pf_agent *a, struct run *r)
{
	if (r->hungry)
		a->n_hungry--;
	kv_release(a, r);
	items_hold(a, r, false);
	pf_map_del(&a->by_try, key_of(r->id));
	unlink_run(a, r);
	r->state = RUN_FREE;
	a->free_runs[a->n_free++] = run_slot(a, r);
	a->dirty = true;
}

pf_ms retry_hint(struct pf_agent *a)
{
	double ms = HINT_UNKNOWN_MS;

	if (a->end_gap_ms > 0)
		ms = a->end_gap_ms * (1 + a->lists[RUN_QUEUED].n / 4.0);
	ms *= 0.5 + pf_rng_unit(&a->rng);
	if (ms < HINT_MIN_MS)
		return HINT_MIN_MS;
	return ms > HINT_MAX_MS ? HINT_MAX_MS : (pf_ms)ms;
}

static bool comes_back(enum pf_reason reason)
{
	switch (reason) {
	case PF_REASON_FULL:
	case PF_REASON_NO_MEMORY:
	case PF_REASON_NOT_RESIDENT:
	case PF_REASON_NOT_READY:
		return true;
	default:
		return false;
	}
}

static void say_not_run(struct pf_agent *a, uint64_t entry, struct pf_try id,
			enum pf_reason reason)
{
	struct pf_agent_act act = { .type = PF_AGENT_NOT_RUN, .entry = entry };

	tombs_add(&a->tombs, a->now, id);
	a->stats.refused++;
	act.u.not_run.id = id;
	act.u.not_run.reason = reason;
	if (comes_back(reason))
		act.u.not_run.retry_after = retry_hint(a);
	agent_emit(a, &act);
}

static void say_id(struct pf_agent *a, enum pf_agent_act_type type,
		   uint64_t entry, struct pf_try id)
{
	struct pf_agent_act act = { .type = type, .entry = entry };

	act.u.id = id;
	agent_emit(a, &act);
}

/* Whether the try waits for a claim; its record then outlives it. */
static void leave(struct pf_agent *a, struct run *r)
{
	if (r->state != RUN_CLAIMING) {
		run_drop(a, r);
		return;
	}
	kv_release(a, r);
	run_move(a, r, RUN_VOIDING);
	a->dirty = true;
}

void run_lose(struct pf_agent *a, struct run *r, enum pf_reason reason)
{
	struct pf_agent_act act = { .type = PF_AGENT_LOST, .entry = r->entry };

	act.u.lost.id = r->id;
	act.u.lost.reason = reason;
	act.u.lost.produced = r->produced;
	agent_emit(a, &act);
	a->stats.lost++;
#ifndef PF_MUTANT_ENDED
	ended_add(&a->ended, a->now, r->id);
#endif
	run_drop(a, r);
}

void run_finish(struct pf_agent *a, struct run *r, enum pf_finish_reason end)
{
	struct pf_agent_act act = { .type = PF_AGENT_DONE, .entry = r->entry };

	act.u.done.id = r->id;
	act.u.done.finish_reason = end;
	act.u.done.total = r->produced;
	agent_emit(a, &act);
	if (end != PF_FINISH_CANCELLED)
		a->stats.completed++;
	ended_add(&a->ended, a->now, r->id);
	run_drop(a, r);
}

void run_give_up(struct pf_agent *a, struct run *r, enum pf_reason reason)
{
	if (r->ran) {
		run_lose(a, r, reason);
		return;
	}
	say_not_run(a, r->entry, r->id, reason);
	leave(a, r);
}

/* NONE when the try can be taken in. */
static enum pf_reason refusal(struct pf_agent *a, const struct pf_work *w)
{
	uint32_t m, ad = NIL;
	int64_t need;
	const struct item *it;

#ifndef PF_MUTANT_DRAIN
	if (a->leaving)
		return PF_REASON_LEAVING;
#endif
	if (!agent_ready(a))
		return PF_REASON_NOT_READY;
	if (w->deadline <= a->now)
		return PF_REASON_EXPIRED;
	if (a->lists[RUN_QUEUED].n >= a->o.queue_max || a->n_free == 0 ||
	    ended_room(&a->ended, a->now) <= a->by_try.n)
		return PF_REASON_FULL;
	if (is_plain(a))
		return PF_REASON_NONE;
	m = item_find(a, w->model);
	if (w->adapter)
		ad = item_find(a, w->adapter);
	if (m == NIL || !a->items[m].declared || (w->adapter && ad == NIL) ||
	    (ad != NIL && a->items[ad].base != a->items[m].base))
		return PF_REASON_UNKNOWN_MODEL;
	if (!item_offered(a, m) || (ad != NIL && !item_offered(a, ad)))
		return PF_REASON_NOT_RESIDENT;
	it = &a->items[m];
	if (w->max_tokens > it->max_context ||
	    w->prompt_tokens > it->max_context - w->max_tokens)
		return PF_REASON_TOO_LONG;
	need = ((int64_t)w->prompt_tokens + w->max_tokens) * it->kv_token_bytes;
	need += it->bytes + (ad == NIL ? 0 : a->items[ad].bytes);
	return need > a->o.memory_bytes ? PF_REASON_NO_MEMORY : PF_REASON_NONE;
}

void agent_try(struct pf_agent *a, uint64_t entry, struct pf_try id,
	       const struct pf_work *w)
{
	struct run *r = run_find(a, id);
	enum pf_reason why;

	if (r && r->state != RUN_VOIDING) {
		if (r->ran)
			say_id(a, PF_AGENT_STARTED, entry, id);
		return;
	}
	if (!r && ended_has(&a->ended, id)) {
		say_id(a, PF_AGENT_STARTED, entry, id);
		return;
	}
	if (r || tombs_has(&a->tombs, a->now, id)) {
		say_not_run(a, entry, id, PF_REASON_TOMBSTONE);
		return;
	}
	why = refusal(a, w);
	r = why == PF_REASON_NONE ? run_new(a, entry, id, w) : NULL;
	if (!r) {
		say_not_run(a, entry, id, why ? why : PF_REASON_FULL);
		return;
	}
	items_hold(a, r, true);
	run_foresee(a, r);
	a->taken_in++;
	agent_arm(a, w->deadline);
	agent_arm(a, a->now + LOAD_WAIT_MS);
	a->dirty = true;
}

void agent_revoke(struct pf_agent *a, uint64_t entry, struct pf_try id)
{
	struct run *r = run_find(a, id);

	if (r ? r->ran : ended_has(&a->ended, id)) {
		say_id(a, PF_AGENT_STARTED, entry, id);
		return;
	}
#ifndef PF_MUTANT_TOMBSTONE
	tombs_add(&a->tombs, a->now, id);
#endif
	say_id(a, PF_AGENT_REVOKED, entry, id);
	a->stats.revoked++;
	if (r && r->state != RUN_VOIDING)
		leave(a, r);
}

/* The caller is gone; a never-repeat run at the engine finishes. */
static void cancel_run(struct pf_agent *a, struct run *r, bool tell)
{
	switch (r->state) {
	case RUN_RUNNING:
		if (!(r->work.flags & PF_WORK_NEVER_REPEAT))
			run_stop(a, r, STOP_CANCEL);
		break;
	case RUN_STOPPING:
		r->stop = STOP_CANCEL;
		break;
	case RUN_QUEUED:
	case RUN_CLAIMING:
		if (r->ran) {
			run_finish(a, r, PF_FINISH_CANCELLED);
		} else if (tell) {
			run_give_up(a, r, PF_REASON_CANCELLED);
		} else {
			tombs_add(&a->tombs, a->now, r->id);
			leave(a, r);
		}
		break;
	default:
		break;
	}
}

void agent_cancel(struct pf_agent *a, struct pf_try id)
{
	struct run *r = run_find(a, id);

	if (r)
		cancel_run(a, r, true);
	else if (!ended_has(&a->ended, id))
		tombs_add(&a->tombs, a->now, id);
}

void agent_entry_down(struct pf_agent *a, uint64_t entry)
{
	for (uint32_t i = 0; i < a->o.runs_max; i++) {
		struct run *r = &a->runs[i];

		if (r->state != RUN_FREE && r->entry == entry)
			cancel_run(a, r, false);
	}
}

void tries_flush(struct pf_agent *a, enum pf_reason reason)
{
	struct run *r;

	while ((r = run_at_head(a, RUN_QUEUED)))
		run_give_up(a, r, reason);
	while ((r = run_at_head(a, RUN_CLAIMING)))
		run_give_up(a, r, reason);
}

void agent_drain(struct pf_agent *a)
{
	if (a->leaving)
		return;
	a->leaving = true;
	tries_flush(a, PF_REASON_LEAVING);
	agent_report(a);
}

static bool not_coming(const struct pf_agent *a, uint32_t item)
{
	return item != NIL && item_state(a, item) != PF_ITEM_RESIDENT &&
	       item_state(a, item) != PF_ITEM_LOADING;
}

/* Why @r should not wait any longer, or NONE; arms the time to ask again. */
static enum pf_reason overdue(struct pf_agent *a, const struct run *r)
{
	bool suspect = r->work.flags & PF_WORK_SUSPECT;
	pf_ms give_up = r->queued_at;

	if (r->work.deadline <= a->now)
		return PF_REASON_EXPIRED;
	agent_arm(a, r->work.deadline);
	if (r->state == RUN_CLAIMING || is_plain(a))
		return PF_REASON_NONE;
	give_up += suspect ? SUSPECT_WAIT_MS : LOAD_WAIT_MS;
	if (a->now < give_up) {
		agent_arm(a, give_up);
		return PF_REASON_NONE;
	}
	agent_arm(a, a->now + LOAD_WAIT_MS);
	if (suspect)
		return PF_REASON_FULL;
	if (not_coming(a, r->model) || not_coming(a, r->adapter))
		return PF_REASON_NOT_RESIDENT;
	return runs_busy(a) ? PF_REASON_NONE : PF_REASON_NO_MEMORY;
}

static void sweep_list(struct pf_agent *a, enum run_state state)
{
	struct run *r = run_at_head(a, state);

	while (r) {
		struct run *next = run_next(a, r);
		enum pf_reason why = overdue(a, r);

		if (why != PF_REASON_NONE)
			run_give_up(a, r, why);
		r = next;
	}
}

void tries_sweep(struct pf_agent *a)
{
	sweep_list(a, RUN_QUEUED);
	sweep_list(a, RUN_CLAIMING);
}
