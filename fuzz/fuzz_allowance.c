/*
 * Gateways with accounts that send up to eight times their rate, while gateways
 * are killed, started, frozen, slowed and partitioned, and messages get lost: no
 * window over the rule, and no request held back.
 */
#include "fuzz/allowance_rig.h"
#include "fuzz/fuzz.h"

#include <stdlib.h>

/* The longest wait for an answer, and one tick of a core. */
#define DECIDED_MS 320

static void check(const struct allowance_rig *r, struct fuzz_result *res)
{
	const struct rig_request *q;
	uint32_t i;
	double most;

	for (i = 0; i < r->n_accounts; i++) {
		const struct rig_account *a = &r->accounts[i];

		if (rig_windows_over(r, a, r->now - 2 * r->window, &most))
			fuzz_violation(res, "account %u: %.2f of the limit", i,
				       most);
	}
	for (q = r->waiting; q; q = q->next) {
		if (r->gateways[q->gateway].frozen_until <
			    r->now - DECIDED_MS &&
		    r->now - q->arrived_at > DECIDED_MS)
			fuzz_violation(res, "a request waits for %d ms",
				       (int)(r->now - q->arrived_at));
	}
}

static void divide(struct allowance_rig *r)
{
	uint32_t i;

	for (i = 0; i < r->n_gateways; i++)
		r->gateways[i].part = pf_rng_below(&r->rng, 2);
}

static void mend(struct allowance_rig *r)
{
	uint32_t i;

	r->loss = 0.01;
	for (i = 0; i < r->n_gateways; i++) {
		r->gateways[i].part = 0;
		r->gateways[i].slow = 0;
	}
}

static void restart_all(struct allowance_rig *r)
{
	uint32_t i;

	for (i = 0; i < r->n_gateways; i++)
		rig_kill(r, i);
	rig_run(r, pf_rng_below(&r->rng, 1000));
	for (i = 0; i < r->n_gateways; i++)
		rig_start(r, i);
}

static void toggle(struct allowance_rig *r, uint32_t i)
{
	if (r->gateways[i].core)
		rig_kill(r, i);
	else
		rig_start(r, i);
}

static void random_refund(struct allowance_rig *r)
{
	struct rig_account *a =
		&r->accounts[pf_rng_below(&r->rng, r->n_accounts)];

	if (a->n > 0)
		rig_refund_last(r, a);
}

static void random_command(struct allowance_rig *r, struct fuzz_result *res)
{
	uint32_t i = pf_rng_below(&r->rng, r->n_gateways);
	struct rig_gateway *g = &r->gateways[i];

	switch (pf_rng_below(&r->rng, 12)) {
	case 0:
		toggle(r, i);
		break;
	case 1:
		g->frozen_until = r->now + pf_rng_below(&r->rng, 6000);
		break;
	case 2:
		divide(r);
		break;
	case 3:
		r->loss = pf_rng_unit(&r->rng) * 0.3;
		break;
	case 4:
		g->slow = pf_rng_below(&r->rng, 450);
		break;
	case 5:
		restart_all(r);
		break;
	case 6:
		random_refund(r);
		break;
	case 7:
	case 8:
		mend(r);
		break;
	default:
		rig_run(r, pf_rng_below(&r->rng, 4000));
		break;
	}
	rig_run(r, 200);
	check(r, res);
}

void fuzz_allowance(uint64_t seed, uint32_t steps_max, struct fuzz_result *res)
{
	struct allowance_rig *r = malloc(sizeof(*r));
	uint32_t i;

	if (!r) {
		fuzz_violation(res, "no memory");
		return;
	}
	allowance_rig_init(r, 2 + (uint32_t)(seed % 7), seed);
	for (i = 0; i < 2; i++) {
		double rate = i == 0 ? 18000 : 400000;

		rig_add_account(r, rate, rate,
				rate * (0.5 + pf_rng_unit(&r->rng) * 7.5))
			->callers =
			(enum rig_callers)pf_rng_below(&r->rng, RIG_MOVING + 1);
	}
	for (; res->steps < steps_max && !res->violations; res->steps++)
		random_command(r, res);
	allowance_rig_free(r);
	free(r);
}
