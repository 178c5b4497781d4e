/*
 * Three candidates for one lease, with lost and late messages, pauses and an
 * unreachable table: never two holders, exactly one after the faults,
 * and one audit row per takeover. In half of the sequences the table states
 * its era and is restored from copies; audit rows may be lost then.
 */
#include "fuzz/fuzz.h"
#include "fuzz/lease_rig.h"

#define RECOVERY_MS 30000

static void check_holders(struct lease_rig *r, struct fuzz_result *res)
{
	uint32_t holder = 0;

	if (lease_count_holders(r, &holder) > 1)
		fuzz_violation(res, "two holders at once");
	for (uint32_t i = 0; i < LEASE_NODES; i++)
		if (r->paused_until[i] <= r->now &&
		    r->reported_held[i] !=
			    pf_lease_is_held(r->nodes[i], r->now))
			fuzz_violation(res, "node %u: last act disagrees", i);
}

static void run_for(struct lease_rig *r, pf_ms span, struct fuzz_result *res)
{
	pf_ms end = r->now + span;

	while (r->now < end && !res->violations) {
		lease_rig_advance(r);
		check_holders(r, res);
	}
}

static uint64_t highest_epoch(const struct lease_rig *r)
{
	uint64_t most = 0;

	for (uint32_t i = 0; i < LEASE_NODES; i++)
		if (pf_lease_epoch(r->nodes[i]) > most)
			most = pf_lease_epoch(r->nodes[i]);
	return most;
}

static void check_recovery(struct lease_rig *r, struct fuzz_result *res)
{
	uint32_t holder = 0;

	r->table_unreachable = false;
	r->loss_rate = 0;
	r->delay_max = 100;
	memset(r->paused_until, 0, sizeof(r->paused_until));
	run_for(r, RECOVERY_MS, res);
	if (!res->violations && lease_count_holders(r, &holder) != 1)
		fuzz_violation(res, "no holder after faults ended");
	if (r->era == PF_ERA_UNKNOWN &&
	    lease_count_audits(r) != highest_epoch(r))
		fuzz_violation(res, "%zu audit rows for %llu takeovers",
			       lease_count_audits(r),
			       (unsigned long long)highest_epoch(r));
}

static void random_restore(struct lease_rig *r)
{
	if (pf_rng_below(&r->rng, 2) || !r->backup)
		lease_rig_back_up(r);
	else
		lease_rig_restore(r);
}

static void random_command(struct lease_rig *r, struct fuzz_result *res)
{
	uint32_t node = pf_rng_below(&r->rng, LEASE_NODES);

	if (r->era != PF_ERA_UNKNOWN && pf_rng_below(&r->rng, 8) == 0) {
		random_restore(r);
		return;
	}
	switch (pf_rng_below(&r->rng, 12)) {
	case 0:
		r->table_unreachable = !r->table_unreachable;
		break;
	case 1:
		r->loss_rate = pf_rng_unit(&r->rng) * 0.6;
		break;
	case 2:
		r->loss_rate = 0;
		r->delay_max = pf_rng_below(&r->rng, 6000);
		break;
	case 3:
		r->delay_max = 20;
		break;
	case 4:
	case 5:
		r->paused_until[node] = r->now + pf_rng_below(&r->rng, 30000);
		break;
	case 6:
		if (pf_rng_below(&r->rng, 8) == 0)
			check_recovery(r, res);
		break;
	default:
		run_for(r, pf_rng_below(&r->rng, 4000), res);
		break;
	}
}

void fuzz_lease(uint64_t seed, uint32_t steps_max, struct fuzz_result *res)
{
	struct lease_rig r;

	if (lease_rig_init(&r, seed) < 0)
		fuzz_violation(res, "no memory");
	if (seed % 2)
		r.era = 1;
	for (; res->steps < steps_max && !res->violations; res->steps++)
		random_command(&r, res);
	lease_rig_free(&r);
}
