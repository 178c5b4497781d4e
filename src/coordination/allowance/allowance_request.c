/*
 * Requests of this gateway: admitted from credit, rejected, or waiting for an
 * answer of the home. A request that waits is decided by the own share after a
 * third of its objective, or when the home counts as silent.
 */
#include "src/coordination/allowance/allowance_core.h"

#include <math.h>
#include <string.h>

/* Part of a request's objective that an answer may take. */
#define OBJECTIVE_PARTS 3
/* Demand is smoothed over this time. */
#define DEMAND_SMOOTHING_MS 500.0

void allowance_waiting_free(struct pf_allowance *al,
			    struct allowance_waiting *w)
{
	TAILQ_REMOVE(&w->account->waiting, w, next);
	TAILQ_INSERT_HEAD(&al->free_waiting, w, next);
	w->account = NULL;
	al->n_waiting--;
}

static void count_window(struct pf_allowance *al, struct allowance_account *a,
			 uint32_t weight)
{
	int64_t part = al->now * ALLOWANCE_WINDOW_PARTS / al->opts.window;

	if (part - a->window_part >= ALLOWANCE_WINDOW_PARTS)
		a->window_part = part - ALLOWANCE_WINDOW_PARTS;
	while (a->window_part < part)
		a->window_parts[++a->window_part % ALLOWANCE_WINDOW_PARTS] = 0;
	a->window_parts[part % ALLOWANCE_WINDOW_PARTS] += weight;
}

void allowance_admit(struct pf_allowance *al, struct allowance_account *a,
		     void *ctx, uint32_t weight)
{
	struct pf_allowance_act act = { .type = PF_ALLOWANCE_ADMIT,
					.ctx = ctx };

	a->admitted += weight;
	count_window(al, a, weight);
	allowance_emit(al, &act);
}

static void reject(struct pf_allowance *al, struct allowance_account *a,
		   void *ctx, enum pf_allowance_reason reason,
		   pf_ms retry_after)
{
	struct pf_allowance_act act = { .type = PF_ALLOWANCE_REJECT,
					.ctx = ctx };

	if (a)
		a->rejected[reason]++;
	act.u.reject.reason = reason;
	act.u.reject.retry_after = retry_after > 1 ? retry_after : 1;
	allowance_emit(al, &act);
}

static void reject_over_limit(struct pf_allowance *al,
			      struct allowance_account *a, void *ctx,
			      uint32_t weight)
{
	struct allowance_credit *c = &a->credit;
	pf_ms *slot = a->home.active ? &a->home.slot_at : &c->slot_at;
	pf_ms ready = a->home.active ? al->now + allowance_home_empty(a)
				     : c->empty_until;

	reject(al, a, ctx, PF_ALLOWANCE_REASON_OVER_LIMIT,
	       allowance_slot(slot, al->now, ready > al->now ? ready : al->now,
			      weight, a->limit.rate_per_s));
}

/* Decides without the home. @since: it might have answered from then on. */
static void decide_alone(struct pf_allowance *al, struct allowance_account *a,
			 void *ctx, uint32_t weight, pf_ms since)
{
	allowance_own_begin(al, a, since);
	if (allowance_own_take(al, a, weight))
		allowance_admit(al, a, ctx, weight);
	else
		reject(al, a, ctx, PF_ALLOWANCE_REASON_OVER_OWN_SHARE,
		       allowance_own_empty(al, a, weight));
}

static pf_ms unanswered_since(const struct pf_allowance *al,
			      const struct allowance_account *a)
{
	pf_ms since = a->credit.unanswered_since;

	return since && since < al->now ? since : al->now;
}

static void decide_at_home(struct pf_allowance *al, struct allowance_account *a,
			   void *ctx, uint32_t weight)
{
	if (!allowance_home_is_warm(al, a))
		decide_alone(al, a, ctx, weight, a->home.since);
	else if (allowance_home_take(al, a, weight))
		allowance_admit(al, a, ctx, weight);
	else
		reject_over_limit(al, a, ctx, weight);
}

double allowance_demand(const struct pf_allowance *al,
			const struct allowance_account *a)
{
	return a->per_ms *
	       exp(-(double)(al->now - a->per_ms_at) / DEMAND_SMOOTHING_MS);
}

static void note_demand(struct pf_allowance *al, struct allowance_account *a,
			uint32_t weight)
{
	a->asked += weight;
	a->per_ms = allowance_demand(al, a) + weight / DEMAND_SMOOTHING_MS;
	a->per_ms_at = al->now;
	a->mean_weight = a->mean_weight > 0
				 ? a->mean_weight * 0.9 + weight * 0.1
				 : weight;
}

static pf_ms wait_max(pf_ms objective)
{
	pf_ms part = objective / OBJECTIVE_PARTS;

	return part > 0 && part < ALLOWANCE_ANSWER_MAX_MS
		       ? part
		       : ALLOWANCE_ANSWER_MAX_MS;
}

/* Queues the request and asks for it. */
static void wait_for_home(struct pf_allowance *al, struct allowance_account *a,
			  void *ctx, uint32_t weight, pf_ms objective)
{
	struct allowance_waiting *w = TAILQ_FIRST(&al->free_waiting);

	if (!w) {
		decide_alone(al, a, ctx, weight, unanswered_since(al, a));
		return;
	}
	TAILQ_REMOVE(&al->free_waiting, w, next);
	*w = (struct allowance_waiting){
		.account = a,
		.ctx = ctx,
		.weight = weight,
		.deadline = al->now + wait_max(objective),
	};
	TAILQ_INSERT_TAIL(&a->waiting, w, next);
	al->n_waiting++;
	allowance_ask(al, a);
}

void allowance_request(struct pf_allowance *al,
		       const struct pf_allowance_msg *m)
{
	struct allowance_account *a = allowance_find(al, m->u.request.account);
	uint32_t weight = m->u.request.weight;
	void *ctx = m->u.request.ctx;

	if (!a) {
		reject(al, NULL, ctx, PF_ALLOWANCE_REASON_TABLE_FULL,
		       ALLOWANCE_RETRY_MAX_MS);
		return;
	}
	note_demand(al, a, weight);
	if (a->home.active)
		decide_at_home(al, a, ctx, weight);
	else if (TAILQ_EMPTY(&a->waiting) &&
		 allowance_credit_take(al, a, weight))
		allowance_admit(al, a, ctx, weight);
	else if (!allowance_home_answers(al, a))
		decide_alone(al, a, ctx, weight, unanswered_since(al, a));
	else if (al->now < a->credit.empty_until)
		reject_over_limit(al, a, ctx, weight);
	else
		wait_for_home(al, a, ctx, weight, m->u.request.objective);
}

void allowance_cancel(struct pf_allowance *al, const void *ctx)
{
	uint32_t i;

	for (i = 0; i < al->opts.waiting_max; i++) {
		if (al->waiting[i].account && al->waiting[i].ctx == ctx) {
			allowance_waiting_free(al, &al->waiting[i]);
			return;
		}
	}
}

/* Decides @w if that is possible now, and returns whether it was. */
static bool settle_one(struct pf_allowance *al, struct allowance_account *a,
		       struct allowance_waiting *w,
		       const struct pf_allowance_grant *g)
{
	struct allowance_waiting copy = *w;

	if (a->home.active) {
		allowance_waiting_free(al, w);
		decide_at_home(al, a, copy.ctx, copy.weight);
	} else if (allowance_credit_take(al, a, copy.weight)) {
		allowance_waiting_free(al, w);
		allowance_admit(al, a, copy.ctx, copy.weight);
	} else if (g && g->type == PF_ALLOWANCE_GRANTS && copy.first_seq &&
		   copy.first_seq <= g->seq) {
		allowance_waiting_free(al, w);
		reject_over_limit(al, a, copy.ctx, copy.weight);
	} else if (al->now >= copy.deadline || !allowance_home_answers(al, a)) {
		allowance_waiting_free(al, w);
		decide_alone(al, a, copy.ctx, copy.weight,
			     unanswered_since(al, a));
	} else {
		return false;
	}
	return true;
}

void allowance_settle(struct pf_allowance *al, struct allowance_account *a,
		      const struct pf_allowance_grant *g)
{
	struct allowance_waiting *w = TAILQ_FIRST(&a->waiting);
	bool unnamed = false;

	while (w) {
		struct allowance_waiting *next = TAILQ_NEXT(w, next);

		if (!settle_one(al, a, w, g))
			unnamed |= !w->first_seq;
		w = next;
	}
	if (g && unnamed)
		allowance_ask(al, a);
}
