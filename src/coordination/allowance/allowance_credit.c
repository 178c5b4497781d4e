/*
 * Credit from the home. An ask names the waiting requests and some credit for
 * the next ones; the answer covers them or says that they are over the limit.
 * Credit expires, so that little is lost with a gateway, and none of it is used
 * long after the home counted it.
 */
#include "src/coordination/allowance/allowance_core.h"

#include <string.h>

/* Asks are repeated after the round trip and a quarter, within these bounds: one
 * lost between regions is repeated in time for an objective of 200 ms. */
#define REPEAT_MIN_MS 10
#define REPEAT_MAX_MS 100
#define RTT_START_MS 20
/* Counters are reported this long after they changed. */
#define REPORT_MS 200
/* Prefetched credit is for at least this many requests. */
#define PREFETCH_REQUESTS_MIN 2
/* Between two asks for prefetched credit. */
#define PREFETCH_INTERVAL_MS 50

void allowance_session_begin(struct pf_allowance *al,
			     struct allowance_account *a, uint64_t home)
{
	struct allowance_credit *c = &a->credit;
	uint64_t unreported = c->charged - c->charged_acked;
	struct allowance_waiting *w;
	bool changed = c->home != home;

	*c = (struct allowance_credit){
		.home = home,
		.session = pf_id2(al->opts.self,
				  (uint64_t)(pf_rng_unit(&al->rng) * 1e15)),
		.charged = unreported,
		.dirty = unreported > 0,
		.rtt = RTT_START_MS,
		.level = c->level,
		.level_at = c->level_at,
		/* The own share goes on while no home has answered. */
		.unanswered_since = c->unanswered_since,
	};
	TAILQ_FOREACH(w, &a->waiting, next)
	w->first_seq = 0;
	if (changed && home != al->opts.key)
		allowance_set_mode(al, a, PF_ALLOWANCE_MODE_ASKING,
				   PF_ALLOWANCE_CAUSE_HOME_CHANGED);
	if (home != al->opts.key && !TAILQ_EMPTY(&a->waiting))
		allowance_ask(al, a);
}

uint64_t allowance_credit_left(struct pf_allowance *al,
			       struct allowance_account *a)
{
	struct allowance_credit *c = &a->credit;
	uint64_t left = c->granted - c->used - c->returned;

#ifdef PF_MUTANT_ALLOWANCE_EXPIRED
	/* Returned to the home, yet used here. */
	if (left && al->now >= c->expires_at && !c->dirty)
		c->returned += left, c->granted += left;
	return left;
#endif
	if (left && al->now >= c->expires_at) {
		c->returned += left;
		c->dirty = true;
		return 0;
	}
	return left;
}

/*
 * Credit for the next requests; 0 if they come rarely: it would lie idle. While
 * the home answers late, no request waits for it, so that only credit that is
 * there in time is of use.
 */
static uint32_t wanted_prefetch(const struct pf_allowance *al,
				const struct allowance_account *a)
{
	double per_ms = allowance_demand(al, a);
	double units = per_ms * (double)(ALLOWANCE_PREFETCH_MS + a->credit.rtt);
	double least = a->mean_weight * PREFETCH_REQUESTS_MIN;

	if (units < least) {
		if (allowance_home_answers(al, a) ||
		    per_ms * ALLOWANCE_CREDIT_MAX_MS < a->mean_weight)
			return 0;
		units = least;
	}
	return units < UINT32_MAX ? (uint32_t)units : UINT32_MAX;
}

static pf_ms last_sent(const struct allowance_credit *c)
{
	return c->sent_at[c->seq % ALLOWANCE_SENT_MAX];
}

bool allowance_credit_take(struct pf_allowance *al, struct allowance_account *a,
			   uint32_t weight)
{
	struct allowance_credit *c = &a->credit;
	uint64_t left = allowance_credit_left(al, a);

	if (left < weight)
		return false;
	c->used += weight;
	c->dirty = true;
	if ((left - weight) * 2 < wanted_prefetch(al, a) &&
	    al->now - last_sent(c) >= PREFETCH_INTERVAL_MS)
		allowance_ask(al, a);
	return true;
}

void allowance_ask(struct pf_allowance *al, struct allowance_account *a)
{
	struct allowance_credit *c = &a->credit;
	struct pf_allowance_act act = { .type = PF_ALLOWANCE_SEND_ASK,
					.to = c->home };
	struct pf_allowance_ask ask = { .account = a->id };
	struct allowance_waiting *w;

	if (!c->home || c->home == al->opts.key)
		return;
	(void)allowance_credit_left(al, a);
	c->seq++;
	c->sent_at[c->seq % ALLOWANCE_SENT_MAX] = al->now;
	c->dirty = false;
	if (!c->unanswered_since)
		c->unanswered_since = al->now;
	ask.session = c->session;
	ask.term = c->term;
	ask.seq = c->seq;
	ask.used = c->used;
	ask.returned = c->returned;
	ask.refunded = c->refunded;
	ask.charged = c->charged;
	ask.prefetch = wanted_prefetch(al, a);
	TAILQ_FOREACH(w, &a->waiting, next)
	{
		if (ask.n_weights == PF_ALLOWANCE_WEIGHTS_MAX)
			break;
		ask.weights[ask.n_weights++] = w->weight;
		if (!w->first_seq)
			w->first_seq = c->seq;
	}
	act.u.ask = &ask;
	allowance_emit(al, &act);
}

bool allowance_home_answers(const struct pf_allowance *al,
			    const struct allowance_account *a)
{
	const struct allowance_credit *c = &a->credit;

	if (c->answer_at && c->answer != PF_ALLOWANCE_GRANTS)
		return false;
	return !c->unanswered_since ||
	       al->now - c->unanswered_since < ALLOWANCE_ANSWER_MAX_MS;
}

/* The oldest ask that still has no answer, after one to @seq. */
static void note_answered(struct pf_allowance *al, struct allowance_credit *c,
			  uint64_t seq)
{
	pf_ms sent = c->sent_at[seq % ALLOWANCE_SENT_MAX];

	if (c->seq - seq >= ALLOWANCE_SENT_MAX)
		return;
	c->rtt = (c->rtt * 7 + (al->now - sent)) / 8;
	c->unanswered_since =
		seq == c->seq ? 0 : c->sent_at[(seq + 1) % ALLOWANCE_SENT_MAX];
}

static void take_credit(struct allowance_credit *c,
			const struct pf_allowance_grant *g)
{
	pf_ms expires;

	if (g->granted <= c->granted || c->seq - g->seq >= ALLOWANCE_SENT_MAX)
		return;
	expires = c->sent_at[g->seq % ALLOWANCE_SENT_MAX] +
		  ALLOWANCE_CREDIT_MAX_MS;
	c->granted = g->granted;
	if (c->expires_at < expires)
		c->expires_at = expires;
}

static enum pf_allowance_cause cause_of(enum pf_allowance_answer a)
{
	return a == PF_ALLOWANCE_WARMING ? PF_ALLOWANCE_CAUSE_HOME_WARMING
					 : PF_ALLOWANCE_CAUSE_NOT_HOME;
}

void allowance_credit_granted(struct pf_allowance *al, uint64_t from,
			      const struct pf_allowance_grant *g)
{
	struct allowance_account *a = allowance_find(al, g->account);
	struct allowance_credit *c;

	if (!a || a->credit.home != from || a->credit.session != g->session ||
	    g->seq > a->credit.seq || g->seq <= a->credit.answered_seq)
		return;
	c = &a->credit;
	if (g->type == PF_ALLOWANCE_RESTART) {
		allowance_session_begin(al, a, from);
		return;
	}
	c->answered_seq = g->seq;
	note_answered(al, c, g->seq);
	c->answer = g->type;
	c->answer_at = al->now;
	if (g->charged > c->charged_acked)
		c->charged_acked = g->charged;
	if (g->type != PF_ALLOWANCE_NOT_HOME)
		c->term = g->term;
	take_credit(c, g);
	if (g->type == PF_ALLOWANCE_GRANTS) {
		c->level = g->level;
		c->level_at = al->now;
		c->empty_until = al->now + g->empty_ms;
		if (c->slot_at < al->now + (pf_ms)g->slot_ms)
			c->slot_at = al->now + (pf_ms)g->slot_ms;
	}
	if (allowance_home_answers(al, a)) {
		a->own.active = false;
		allowance_set_mode(al, a, PF_ALLOWANCE_MODE_ASKING,
				   PF_ALLOWANCE_CAUSE_ANSWERED);
	} else if (g->type != PF_ALLOWANCE_GRANTS) {
		allowance_set_mode(al, a, PF_ALLOWANCE_MODE_OWN_SHARE,
				   cause_of(g->type));
	}
	allowance_settle(al, a, g);
}

static pf_ms repeat_after(const struct allowance_credit *c)
{
	pf_ms span = c->rtt * 5 / 4;

	if (span < REPEAT_MIN_MS)
		return REPEAT_MIN_MS;
	return span < REPEAT_MAX_MS ? span : REPEAT_MAX_MS;
}

void allowance_credit_tick(struct pf_allowance *al, struct allowance_account *a)
{
	struct allowance_credit *c = &a->credit;
	pf_ms since = al->now - last_sent(c);

	(void)allowance_credit_left(al, a);
	if (!allowance_home_answers(al, a) && !a->home.active &&
	    c->unanswered_since)
		allowance_set_mode(al, a, PF_ALLOWANCE_MODE_OWN_SHARE,
				   PF_ALLOWANCE_CAUSE_NO_ANSWER);
	/* Also asks again while the home doesn't answer or grant. */
	if ((!TAILQ_EMPTY(&a->waiting) && since >= repeat_after(c)) ||
	    ((c->dirty || c->unanswered_since ||
	      !allowance_home_answers(al, a)) &&
	     since >= REPORT_MS))
		allowance_ask(al, a);
}
