/*
 * Chooses the endpoint with the lowest expected cost, by one of two policies.
 * What the other gateways tell of their load is up to 720 ms old, and all of them
 * choose at the same moment: by that alone they overrun the endpoint that seemed
 * empty, move on together, and read the shared prefixes again wherever they come.
 * With the even policy, the older the digests are, the less the differences
 * between endpoints count that they tell, and the more what all gateways know
 * alike: their own sends, and an order of endpoints by the hash of the prefix.
 */
#include "pimentoford/gate_choose.h"

#include <math.h>

/* After this, 1/e of a difference is left. An engine's queue lasts for 100 to
 * 200 ms, one or two long prompts. */
#define FADE_MS 120.0
/* Of the time to read a prefix again: cost of the next endpoint in its order. */
#define ORDER_SHARE 0.15
#define HASH_UNITS 9007199254740992.0 /* 2^53 */

double pf_gate_queued_ms(const struct pf_gate_candidate *c)
{
	double told = c->own_ms + c->peer_ms;
	double left;

	if (told <= 0)
		return 0;
	/* The endpoint works off one ms of it in each ms. */
	left = 1 - c->peer_age_ms / told;
	return c->own_ms + (left > 0 ? left * c->peer_ms : 0);
}

/* What the others told, averaged over the candidates of which they tell all. */
static double mean_peer_ms(const struct pf_gate_choice *c)
{
	double sum = 0;
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i < c->n; i++) {
		if (!c->v[i].peers_tell)
			continue;
		sum += c->v[i].peer_ms;
		n++;
	}
	return n ? sum / n : 0;
}

/* Requests with the same prefix prefer the same few endpoints, which then keep
 * it; the cost of the next one in order is the same with many as with few. */
static double order_cost(const struct pf_gate_choice *c, uint64_t id)
{
	double unit = (double)(pf_id2(c->affinity, id) >> 11) / HASH_UNITS;

	if (!c->affinity)
		return 0;
	return fmin(ORDER_SHARE * c->n * unit, 1) * c->affinity_ms;
}

uint32_t pf_gate_choose_least(const struct pf_gate_choice *c)
{
	double least = INFINITY;
	uint32_t best = 0;
	uint32_t i;

	for (i = 0; i < c->n; i++) {
		const struct pf_gate_candidate *v = &c->v[i];
		double cost = v->base_ms + v->slope * (v->own_ms + v->peer_ms);

		if (cost < least) {
			least = cost;
			best = i;
		}
	}
	return best;
}

uint32_t pf_gate_choose_even(const struct pf_gate_choice *c)
{
	double trust = exp(-c->digest_age_ms / FADE_MS);
	double mean = mean_peer_ms(c);
	double least = INFINITY;
	uint32_t best = 0;
	uint32_t i;

	for (i = 0; i < c->n; i++) {
		const struct pf_gate_candidate *v = &c->v[i];
		double told = pf_gate_queued_ms(v) - v->own_ms;
		double share = v->peers_tell ? trust : 0;
		double queued = v->own_ms + share * told + (1 - share) * mean;
		double cost =
			v->base_ms + v->slope * queued + order_cost(c, v->id);

		if (cost < least) {
			least = cost;
			best = i;
		}
	}
	return best;
}
