/*
 * The own share: rate / gateways, used while an account's home does not answer.
 * All shares together are the rate. What is used of it is reported and deducted
 * at the home, so that late grants don't add up to twice the rate.
 *
 * A request of 9,000 tokens may be a minute's share of one gateway of 100.
 * Gateways would then serve nothing, or, if each took a request in advance, 100
 * requests at once. So the first one passes when the share has grown to a part of
 * its weight, which differs for each gateway and is evenly spread over them.
 */
#include "src/coordination/allowance/allowance_core.h"

/* Of the rule's slack, for all gateways together and each window. */
#define SLACK_SHARE 0.25

static double own_rate_per_s(const struct pf_allowance *al,
			     const struct allowance_account *a)
{
	if (!allowance_knows_gateways(al))
		return 0;
	return a->limit.rate_per_s / al->n_gateways;
}

/* A home that answers now and then begins this again and again: no time counts
 * twice, and what was taken in advance stays taken. */
void allowance_own_begin(struct pf_allowance *al, struct allowance_account *a,
			 pf_ms since)
{
	struct allowance_own_share *s = &a->own;
	pf_ms last = s->begun_at ? s->begun_at : al->started_at;
	double part = (double)(al->now - last) / (double)al->opts.window;
	double rate = own_rate_per_s(al, a);

	if (s->active)
		return;
	s->active = true;
	s->begun_at = al->now;
	if (since > s->at) {
		s->level += (double)(since - s->at) / 1000 * rate;
		s->at = since;
	}
	if (s->level > 0)
		s->level = 0;
	if (rate > 0)
		s->level += al->opts.slack * SLACK_SHARE / al->n_gateways *
			    (part < 1 ? part : 1);
}

static void refill(const struct pf_allowance *al, struct allowance_account *a,
		   uint32_t weight)
{
	struct allowance_own_share *s = &a->own;
	double most = a->limit.burst / al->n_gateways;

	if (most < weight)
		most = weight;
	s->level += (double)(al->now - s->at) / 1000 * own_rate_per_s(al, a);
	s->at = al->now;
	if (s->level > most)
		s->level = most;
}

bool allowance_own_take(struct pf_allowance *al, struct allowance_account *a,
			uint32_t weight)
{
	refill(al, a, weight);
	if (own_rate_per_s(al, a) <= 0 ||
	    a->own.level < weight * (1 - allowance_phase(al, a)))
		return false;
	a->own.level -= weight;
	allowance_charge(al, a, weight);
	return true;
}

pf_ms allowance_own_empty(const struct pf_allowance *al,
			  const struct allowance_account *a, uint32_t weight)
{
	double rate = own_rate_per_s(al, a);
	double lacks = weight * (1 - allowance_phase(al, a)) - a->own.level;
	double ms = rate > 0 ? lacks * 1000 / rate : ALLOWANCE_RETRY_MAX_MS;

	if (ms > ALLOWANCE_RETRY_MAX_MS)
		return ALLOWANCE_RETRY_MAX_MS;
	return ms > 1 ? (pf_ms)ms : 1;
}

void allowance_charge(struct pf_allowance *al, struct allowance_account *a,
		      uint32_t weight)
{
	if (a->home.active) {
		allowance_home_refill(al, a);
		a->home.level -= weight;
		return;
	}
	a->credit.charged += weight;
	a->credit.dirty = true;
}
