/*
 * Spread cores under random faults. No process may go to a lower revision or
 * adopt a set that was not accepted, and all must reach the head soon after the
 * faults end, while messages still get lost: also if only one process has it
 * and the table is unavailable, and if the relays of a region are dead.
 */
#include "fuzz/fuzz.h"
#include "fuzz/spread_rig.h"

#include <stdio.h>

#define ENTRIES 5
#define AGENTS 4
#define PROCS (ENTRIES + AGENTS)
/* Time to converge after the faults end. */
#define CONVERGE_MS 40000

/* Sends @to the region's entries, running or not, as its live members. */
static void set_fixed_members(struct spread_rig *g, uint32_t to)
{
	uint64_t ids[ENTRIES];
	uint32_t n = 0;

	for (uint32_t i = to % 2; i < ENTRIES; i += 2)
		ids[n++] = spread_rig_proc(g, i)->id;
	spread_rig_set_members(g, to, ids, n);
}

static struct spread_rig *rig_create(struct pf_rng *rng, uint64_t seed)
{
	struct spread_rig_opts o = { .seed = seed,
				     .procs_max = PROCS,
				     .records = 6,
				     .region_delay = 1,
				     .cross_region_delay = 12 };
	bool send_members = pf_rng_below(rng, 2);
	struct spread_rig *g;

	pf_spread_opts_default(&o.core);
	o.loss_rate = pf_rng_below(rng, 2) * 0.1;
	o.jitter = pf_rng_below(rng, 300);
	o.core.history_max = 1 + pf_rng_below(rng, 12);
	g = spread_rig_new(&o);
	for (uint32_t i = 0; i < PROCS; i++)
		spread_rig_add_proc(g, i % 2, i < ENTRIES);
	for (uint32_t i = 0; send_members && i < PROCS; i++)
		set_fixed_members(g, i);
	for (uint32_t i = 0; i < ENTRIES; i++)
		for (uint32_t j = i + 1; j < PROCS; j++)
			spread_rig_link(g, i, j);
	return g;
}

/* Delivers a delta with random revisions and digest. */
static void inject_delta(struct spread_rig *g, struct pf_rng *rng)
{
	struct pf_spread_msg m = { .type = PF_SPREAD_CONFIG };
	uint32_t to = pf_rng_below(rng, PROCS);

	m.u.config.base = 1 + pf_rng_below(rng, 300);
	m.u.config.revision = pf_rng_below(rng, 300);
	m.u.config.digest = pf_rng_below(rng, 300);
	m.u.config.text = PF_STR("-model model-001@1\n");
	spread_rig_inject(g, (to + 1) % PROCS, to, &m);
}

static void random_step(struct spread_rig *g, struct pf_rng *rng,
			bool *partitioned)
{
	uint32_t i = pf_rng_below(rng, PROCS);
	struct spread_rig_proc *p = spread_rig_proc(g, i);

	switch (pf_rng_below(rng, 12)) {
	case 0:
	case 1:
	case 2:
		if (spread_rig_head_revision(g) + 4 < SPREAD_RIG_REVISIONS_MAX)
			spread_rig_accept(g, pf_rng_below(rng, ENTRIES));
		break;
	case 3:
		spread_rig_kill(g, i);
		break;
	case 4:
	case 5:
		if (!p->up)
			spread_rig_restart(g, i);
		break;
	case 6:
		p->paused_until = spread_rig_now(g) + pf_rng_below(rng, 20000);
		break;
	case 7:
		spread_rig_set_table(g, pf_rng_below(rng, 2), false);
		break;
	case 8:
		spread_rig_set_table(g, false, pf_rng_below(rng, 2));
		break;
	case 9:
		*partitioned = !*partitioned;
		spread_rig_set_partition(g, *partitioned);
		break;
	case 10:
		spread_rig_prune_audits(g);
		break;
	default:
		inject_delta(g, rng);
		break;
	}
}

static void expect_convergence(struct spread_rig *g, struct fuzz_result *r,
			       const char *when)
{
	spread_rig_run(g, spread_rig_now(g) + CONVERGE_MS);
	if (!spread_rig_converged(g))
		fuzz_violation(r, "%s: not all processes are at revision %llu",
			       when,
			       (unsigned long long)spread_rig_head_revision(g));
}

static void end_faults(struct spread_rig *g)
{
	spread_rig_set_partition(g, false);
	spread_rig_set_table(g, false, false);
	for (uint32_t i = 0; i < PROCS; i++) {
		spread_rig_proc(g, i)->paused_until = 0;
		if (!spread_rig_proc(g, i)->up)
			spread_rig_restart(g, i);
	}
}

/* Only one process has a revision when the table becomes unavailable. */
static void check_without_table(struct spread_rig *g, struct fuzz_result *r)
{
	uint32_t informed = 2;

	for (uint32_t i = 0; i < PROCS; i++)
		if (i != informed)
			spread_rig_proc(g, i)->paused_until =
				spread_rig_now(g) + 15000;
	/* A read of the table takes up to 10 s with its backoff. */
	spread_rig_accept(g, informed);
	spread_rig_run(g, spread_rig_now(g) + 14000);
	spread_rig_set_table(g, true, false);
	expect_convergence(g, r, "table unavailable");
	spread_rig_set_table(g, false, false);
}

/* The entry of region 0 that ranks last by rendezvous hashing. */
static uint32_t last_by_rank(struct spread_rig *g)
{
	uint32_t last = 0;

	for (uint32_t i = 2; i < ENTRIES; i += 2)
		if (pf_id2(1, spread_rig_proc(g, i)->id) >
		    pf_id2(1, spread_rig_proc(g, last)->id))
			last = i;
	return last;
}

/*
 * Only the last-ranked entry and the agents of region 0 are left: the entry
 * must read a new revision from the table.
 */
static void check_last_rank(struct spread_rig *g, struct fuzz_result *r)
{
	uint32_t last = last_by_rank(g);

	spread_rig_set_partition(g, true);
	for (uint32_t i = 0; i < PROCS; i++)
		if (i != last && (i < ENTRIES || i % 2 == 1))
			spread_rig_kill(g, i);
	spread_rig_accept(g, PROCS);
	expect_convergence(g, r, "relays dead");
}

void fuzz_spread(uint64_t seed, uint32_t steps_max, struct fuzz_result *r)
{
	struct spread_rig *g;
	struct pf_rng rng;
	bool partitioned = false;

	pf_rng_seed(&rng, seed);
	g = rig_create(&rng, seed);
	for (uint32_t i = 0; i < steps_max && !r->violations; i++) {
		random_step(g, &rng, &partitioned);
		spread_rig_run(g, spread_rig_now(g) + pf_rng_below(&rng, 1500));
		r->steps++;
		if (spread_rig_stats(g)->violations)
			fuzz_violation(r, "%s",
				       spread_rig_stats(g)->first_violation);
	}
	end_faults(g);
	expect_convergence(g, r, "faults ended");
	check_without_table(g, r);
	check_last_rank(g, r);
	if (spread_rig_stats(g)->violations)
		fuzz_violation(r, "%s", spread_rig_stats(g)->first_violation);
	spread_rig_free(g);
}
