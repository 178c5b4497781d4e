/*
 * Three candidates for one lease: never two holders, whatever is lost, late
 * or paused; in quiet times exactly one; one audit row for each takeover.
 */
#include "fuzz/fuzz.h"
#include "fuzz/lease_rig.h"

#define QUIET_MS 30000

static void check(struct lease_rig *r, struct fuzz_result *res)
{
	uint32_t who = 0;

	if (lease_holders(r, &who) > 1)
		fuzz_violation(res, "two holders at once");
	for (uint32_t i = 0; i < LEASE_NODES; i++)
		if (r->paused[i] <= r->now &&
		    r->held[i] != pf_lease_is_held(r->nodes[i], r->now))
			fuzz_violation(res, "node %u was told otherwise", i);
}

static void run(struct lease_rig *r, pf_ms span, struct fuzz_result *res)
{
	pf_ms end = r->now + span;

	while (r->now < end && !res->violations) {
		lease_step(r);
		check(r, res);
	}
}

static uint64_t epoch_in_table(const struct lease_rig *r)
{
	uint64_t most = 0;

	for (uint32_t i = 0; i < LEASE_NODES; i++)
		if (pf_lease_epoch(r->nodes[i]) > most)
			most = pf_lease_epoch(r->nodes[i]);
	return most;
}

static void quiet(struct lease_rig *r, struct fuzz_result *res)
{
	uint32_t who = 0;

	r->away = false;
	r->loss = 0;
	r->delay = 100;
	memset(r->paused, 0, sizeof(r->paused));
	run(r, QUIET_MS, res);
	if (!res->violations && lease_holders(r, &who) != 1)
		fuzz_violation(res, "nobody holds it in quiet times");
	if (lease_audits(r) != epoch_in_table(r))
		fuzz_violation(res, "%zu audit rows for %llu takeovers",
			       lease_audits(r),
			       (unsigned long long)epoch_in_table(r));
}

static void command(struct lease_rig *r, struct fuzz_result *res)
{
	uint32_t node = pf_rng_below(&r->rng, LEASE_NODES);

	switch (pf_rng_below(&r->rng, 12)) {
	case 0:
		r->away = !r->away;
		break;
	case 1:
		r->loss = pf_rng_unit(&r->rng) * 0.6;
		break;
	case 2:
		r->loss = 0;
		r->delay = pf_rng_below(&r->rng, 6000);
		break;
	case 3:
		r->delay = 20;
		break;
	case 4:
	case 5:
		r->paused[node] = r->now + pf_rng_below(&r->rng, 30000);
		break;
	case 6:
		if (pf_rng_below(&r->rng, 8) == 0)
			quiet(r, res);
		break;
	default:
		run(r, pf_rng_below(&r->rng, 4000), res);
		break;
	}
}

void fuzz_lease(uint64_t seed, uint32_t steps_max, struct fuzz_result *res)
{
	struct lease_rig r;

	if (lease_init(&r, seed) < 0)
		fuzz_violation(res, "no memory");
	for (; res->steps < steps_max && !res->violations; res->steps++)
		command(&r, res);
	lease_free(&r);
}
