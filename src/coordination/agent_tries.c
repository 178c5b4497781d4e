/* Run records and messages of entries: try, revoke, cancel, drain. */
#include "agent_core.h"

#define LOAD_WAIT_MAX_MS 10000 /* for a load or for memory */
#define SUSPECT_WAIT_MAX_MS 10000 /* for an empty batch */
#define RETRY_HINT_MIN_MS 10
#define RETRY_HINT_MAX_MS 10000
#define RETRY_HINT_DEFAULT_MS 500

static struct pf_key try_key(struct pf_try id)
{
	return (struct pf_key){ id.request, id.attempt };
}

struct run *run_find(struct pf_agent *a, struct pf_try id)
{
	uint32_t i;

	return pf_map_get(&a->runs_by_try, try_key(id), &i) < 0 ? NULL
								: &a->runs[i];
}

struct run *run_first(struct pf_agent *a, enum run_state state)
{
	uint32_t i = a->lists[state].head;

	return i == NIL ? NULL : &a->runs[i];
}

struct run *run_next(struct pf_agent *a, const struct run *r)
{
	return r->next == NIL ? NULL : &a->runs[r->next];
}

/* Whether @r is a suspect in the batch, where it must be alone. */
static bool is_exclusive(const struct run *r)
{
	return (r->work.flags & PF_WORK_SUSPECT) &&
	       (r->state == RUN_CLAIMING || r->state == RUN_RUNNING ||
		r->state == RUN_STOPPING);
}

static bool state_at_engine(enum run_state s)
{
	return s == RUN_RUNNING || s == RUN_STOPPING;
}

static void count_model_run(struct pf_agent *a, const struct run *r, int by)
{
	if (r->model_slot != NIL)
		a->items[r->model_slot].running += (uint32_t)by;
}

static void unlink_run(struct pf_agent *a, struct run *r)
{
	struct run_list *l = &a->lists[r->state];

	a->n_exclusive -= is_exclusive(r);
	if (state_at_engine(r->state))
		count_model_run(a, r, -1);
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
	struct run_list *l = &a->lists[r->state];
	uint32_t i = run_slot(a, r);

	a->n_exclusive += is_exclusive(r);
	if (state_at_engine(r->state))
		count_model_run(a, r, 1);
	r->prev = l->tail;
	r->next = NIL;
	if (l->tail != NIL)
		a->runs[l->tail].next = i;
	else
		l->head = i;
	l->tail = i;
	l->n++;
}

void run_set_state(struct pf_agent *a, struct run *r, enum run_state state)
{
	if (r->state != RUN_FREE)
		unlink_run(a, r);
	r->state = state;
	append_run(a, r);
}

/* Queues a new record; NULL when the table is full. */
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
			   .model_slot = NIL,
			   .adapter_slot = NIL,
			   .produced = w->offset,
			   .queued_at = a->now };
	pf_map_put(&a->runs_by_try, try_key(id), run_slot(a, r));
	run_set_state(a, r, RUN_QUEUED);
	return r;
}

void run_remove(struct pf_agent *a, struct run *r)
{
	if (r->growth_blocked)
		a->n_growth_blocked--;
	kv_release(a, r);
	items_set_in_use(a, r, false);
	pf_map_del(&a->runs_by_try, try_key(r->id));
	unlink_run(a, r);
	r->state = RUN_FREE;
	a->free_runs[a->n_free++] = run_slot(a, r);
	a->schedule_needed = true;
}

pf_ms retry_after_hint(struct pf_agent *a)
{
	double ms = RETRY_HINT_DEFAULT_MS;

	if (a->end_gap_ms > 0)
		ms = a->end_gap_ms * (1 + a->lists[RUN_QUEUED].n / 4.0);
	ms *= 0.5 + pf_rng_unit(&a->rng);
	if (ms < RETRY_HINT_MIN_MS)
		return RETRY_HINT_MIN_MS;
	return ms > RETRY_HINT_MAX_MS ? RETRY_HINT_MAX_MS : (pf_ms)ms;
}

static bool is_transient(enum pf_reason reason)
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

static void emit_not_run(struct pf_agent *a, uint64_t entry, struct pf_try id,
			 enum pf_reason reason)
{
	struct pf_agent_act act = { .type = PF_AGENT_NOT_RUN, .entry = entry };

	tombstones_add(&a->tombstones, a->now, id);
	a->stats.refused++;
	act.u.not_run.id = id;
	act.u.not_run.reason = reason;
	if (is_transient(reason))
		act.u.not_run.retry_after = retry_after_hint(a);
	agent_emit(a, &act);
}

static void emit_id(struct pf_agent *a, enum pf_agent_act_type type,
		    uint64_t entry, struct pf_try id)
{
	struct pf_agent_act act = { .type = type, .entry = entry };

	act.u.id = id;
	agent_emit(a, &act);
}

/* Frees a waiting run. One with a pending claim stays until the answer. */
static void release_waiting(struct pf_agent *a, struct run *r)
{
	if (r->state != RUN_CLAIMING) {
		run_remove(a, r);
		return;
	}
	kv_release(a, r);
	run_set_state(a, r, RUN_VOIDING);
	a->schedule_needed = true;
}

void run_end_lost(struct pf_agent *a, struct run *r, enum pf_reason reason)
{
	struct pf_agent_act act = { .type = PF_AGENT_LOST, .entry = r->entry };

	act.u.lost.id = r->id;
	act.u.lost.reason = reason;
	act.u.lost.produced = r->produced;
	agent_emit(a, &act);
	a->stats.lost++;
#ifndef PF_MUTANT_ENDED
	ended_runs_add(&a->ended_runs, a->now, r->id);
#endif
	run_remove(a, r);
}

void run_end_done(struct pf_agent *a, struct run *r,
		  enum pf_finish_reason finish_reason)
{
	struct pf_agent_act act = { .type = PF_AGENT_DONE, .entry = r->entry };

	act.u.done.id = r->id;
	act.u.done.finish_reason = finish_reason;
	act.u.done.total = r->produced;
	agent_emit(a, &act);
	if (finish_reason != PF_FINISH_CANCELLED)
		a->stats.completed++;
	ended_runs_add(&a->ended_runs, a->now, r->id);
	run_remove(a, r);
}

void run_end_waiting(struct pf_agent *a, struct run *r, enum pf_reason reason)
{
	if (r->ran) {
		run_end_lost(a, r, reason);
		return;
	}
	emit_not_run(a, r->entry, r->id, reason);
	release_waiting(a, r);
}

/* Why the try can't be accepted, or NONE. */
static enum pf_reason admission_refusal(struct pf_agent *a,
					const struct pf_work *w)
{
	uint32_t model, adapter = NIL;
	int64_t need;
	const struct item *it;

#ifndef PF_MUTANT_DRAIN
	if (a->draining)
		return PF_REASON_LEAVING;
#endif
	if (!agent_ready(a))
		return PF_REASON_NOT_READY;
	if (w->deadline <= a->now)
		return PF_REASON_EXPIRED;
	if (a->lists[RUN_QUEUED].n >= a->opts.queue_max || a->n_free == 0 ||
	    ended_runs_room(&a->ended_runs, a->now) <= a->runs_by_try.n)
		return PF_REASON_FULL;
	if (is_plain(a))
		return PF_REASON_NONE;
	model = item_find(a, w->model);
	if (w->adapter)
		adapter = item_find(a, w->adapter);
	if (model == NIL || !a->items[model].declared ||
	    (w->adapter && adapter == NIL) ||
	    (adapter != NIL &&
	     a->items[adapter].model_name_id != a->items[model].model_name_id))
		return PF_REASON_UNKNOWN_MODEL;
	if (!item_offered(a, model) ||
	    (adapter != NIL && !item_offered(a, adapter)))
		return PF_REASON_NOT_RESIDENT;
	it = &a->items[model];
	if (w->max_tokens > it->max_context ||
	    w->prompt_tokens > it->max_context - w->max_tokens)
		return PF_REASON_TOO_LONG;
	need = ((int64_t)w->prompt_tokens + w->max_tokens) * it->kv_token_bytes;
	need += it->bytes + (adapter == NIL ? 0 : a->items[adapter].bytes);
	return need > a->opts.memory_bytes ? PF_REASON_NO_MEMORY
					   : PF_REASON_NONE;
}

void agent_on_try(struct pf_agent *a, uint64_t entry, struct pf_try id,
		  const struct pf_work *w)
{
	struct run *r = run_find(a, id);
	enum pf_reason reason;

	if (r && r->state != RUN_VOIDING) {
		if (r->ran)
			emit_id(a, PF_AGENT_STARTED, entry, id);
		return;
	}
	if (!r && ended_runs_has(&a->ended_runs, id)) {
		emit_id(a, PF_AGENT_STARTED, entry, id);
		return;
	}
	if (r || tombstones_has(&a->tombstones, a->now, id)) {
		emit_not_run(a, entry, id, PF_REASON_TOMBSTONE);
		return;
	}
	reason = admission_refusal(a, w);
	r = reason == PF_REASON_NONE ? run_new(a, entry, id, w) : NULL;
	if (!r) {
		emit_not_run(a, entry, id, reason ? reason : PF_REASON_FULL);
		return;
	}
	items_set_in_use(a, r, true);
	run_estimate_length(a, r);
	a->n_accepted++;
	agent_wake_at(a, w->deadline);
	agent_wake_at(a, a->now + LOAD_WAIT_MAX_MS);
	a->schedule_needed = true;
}

void agent_on_revoke(struct pf_agent *a, uint64_t entry, struct pf_try id)
{
	struct run *r = run_find(a, id);

	if (r ? r->ran : ended_runs_has(&a->ended_runs, id)) {
		emit_id(a, PF_AGENT_STARTED, entry, id);
		return;
	}
#ifndef PF_MUTANT_TOMBSTONE
	tombstones_add(&a->tombstones, a->now, id);
#endif
	emit_id(a, PF_AGENT_REVOKED, entry, id);
	a->stats.revoked++;
	if (r && r->state != RUN_VOIDING)
		release_waiting(a, r);
}

/* The caller disconnected. A never-repeat run at the engine finishes. */
static void cancel_run(struct pf_agent *a, struct run *r, bool notify)
{
	switch (r->state) {
	case RUN_RUNNING:
		if (!(r->work.flags & PF_WORK_NEVER_REPEAT))
			run_stop(a, r, STOP_CANCEL);
		break;
	case RUN_STOPPING:
		r->stop_reason = STOP_CANCEL;
		break;
	case RUN_QUEUED:
	case RUN_CLAIMING:
		if (r->ran) {
			run_end_done(a, r, PF_FINISH_CANCELLED);
		} else if (notify) {
			run_end_waiting(a, r, PF_REASON_CANCELLED);
		} else {
			tombstones_add(&a->tombstones, a->now, r->id);
			release_waiting(a, r);
		}
		break;
	default:
		break;
	}
}

void agent_on_cancel(struct pf_agent *a, struct pf_try id)
{
	struct run *r = run_find(a, id);

	if (r)
		cancel_run(a, r, true);
	else if (!ended_runs_has(&a->ended_runs, id))
		tombstones_add(&a->tombstones, a->now, id);
}

void agent_on_entry_down(struct pf_agent *a, uint64_t entry)
{
	for (uint32_t i = 0; i < a->opts.runs_max; i++) {
		struct run *r = &a->runs[i];

		if (r->state != RUN_FREE && r->entry == entry)
			cancel_run(a, r, false);
	}
}

void tries_flush(struct pf_agent *a, enum pf_reason reason)
{
	struct run *r;

	while ((r = run_first(a, RUN_QUEUED)))
		run_end_waiting(a, r, reason);
	while ((r = run_first(a, RUN_CLAIMING)))
		run_end_waiting(a, r, reason);
}

void agent_on_drain(struct pf_agent *a)
{
	if (a->draining)
		return;
	a->draining = true;
	tries_flush(a, PF_REASON_LEAVING);
	agent_report(a);
}

/* Whether @item is neither resident nor being loaded; NIL is available. */
static bool is_unavailable(const struct pf_agent *a, uint32_t item)
{
	return item != NIL && item_state(a, item) != PF_ITEM_RESIDENT &&
	       item_state(a, item) != PF_ITEM_LOADING;
}

/* Why @r must stop waiting, or NONE; then sets the time of the next check. */
static enum pf_reason expiry_reason(struct pf_agent *a, const struct run *r)
{
	bool suspect = r->work.flags & PF_WORK_SUSPECT;
	pf_ms give_up_at = r->queued_at;

	if (r->work.deadline <= a->now)
		return PF_REASON_EXPIRED;
	agent_wake_at(a, r->work.deadline);
	if (r->state == RUN_CLAIMING || is_plain(a))
		return PF_REASON_NONE;
	give_up_at += suspect ? SUSPECT_WAIT_MAX_MS : LOAD_WAIT_MAX_MS;
	if (a->now < give_up_at) {
		agent_wake_at(a, give_up_at);
		return PF_REASON_NONE;
	}
	agent_wake_at(a, a->now + LOAD_WAIT_MAX_MS);
	if (suspect)
		return PF_REASON_FULL;
	if (is_unavailable(a, r->model_slot) ||
	    is_unavailable(a, r->adapter_slot))
		return PF_REASON_NOT_RESIDENT;
	return runs_in_batch(a) ? PF_REASON_NONE : PF_REASON_NO_MEMORY;
}

static void expire_list(struct pf_agent *a, enum run_state state)
{
	struct run *r = run_first(a, state);

	while (r) {
		struct run *next = run_next(a, r);
		enum pf_reason reason = expiry_reason(a, r);

		if (reason != PF_REASON_NONE)
			run_end_waiting(a, r, reason);
		r = next;
	}
}

void tries_expire(struct pf_agent *a)
{
	expire_list(a, RUN_QUEUED);
	expire_list(a, RUN_CLAIMING);
}
