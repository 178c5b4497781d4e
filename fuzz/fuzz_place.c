/*
 * Placement core under random changes and losses. Its orders must fit into
 * memory beside the KV share, keep to the weight store's rate and in-flight
 * limit, name declared models only and keep the last replica of each. Some time
 * after the last fault, every model that fits has a home.
 */
#include "fuzz/fuzz.h"
#include "fuzz/place_rig.h"

#define FAULT_FREE_MS 90000
#define LOAD_TIMES_MAX 64

struct fuzz {
	struct place_rig rig;
	struct pf_place_opts o;
	struct pf_rng rng;
	struct fuzz_result *r;
	uint64_t ordered[RIG_AGENTS_MAX][RIG_MODELS_MAX]; /* last order */
	uint32_t n_ordered[RIG_AGENTS_MAX];
	pf_ms load_times[LOAD_TIMES_MAX]; /* ring: when loads were ordered */
	uint64_t n_loads;
	uint32_t plan_loads; /* ordered by the current plan */
	pf_ms last_disturbance; /* lost agent, new planner or configuration */
};

/* Bytes for weights at an engine. */
static int64_t weight_budget(const struct place_rig *r, uint32_t a)
{
	return (int64_t)((double)r->endpoints[a].memory_bytes *
			 (1 - r->config.deployment.kv_share));
}

/* Loads ordered from running agents and not finished. */
static uint32_t loads_in_flight(const struct fuzz *f)
{
	uint32_t n = 0;

	for (uint32_t a = 0; a < f->rig.config.n_endpoints; a++) {
		const struct place_rig_agent *ag = &f->rig.agents[a];

		for (uint32_t i = 0; ag->up && i < f->n_ordered[a]; i++)
			n += !rig_contains(ag->resident, ag->n_resident,
					   f->ordered[a][i]) &&
			     rig_model_index(&f->rig, f->ordered[a][i]) <
				     f->rig.config.n_models;
	}
	return n;
}

static void check_load_rate(struct fuzz *f)
{
	const struct pf_deployment *d = &f->rig.config.deployment;
	uint32_t n = 1;

	for (uint64_t i = 0; i < f->n_loads && i < LOAD_TIMES_MAX; i++)
		n += f->load_times[(f->n_loads - 1 - i) % LOAD_TIMES_MAX] +
			     1000 >
		     f->rig.now;
	f->load_times[f->n_loads++ % LOAD_TIMES_MAX] = f->rig.now;
	if (n > d->store_loads_rate + 1)
		fuzz_violation(f->r, "%u loads within a second", n);
}

static void check_last_copy(struct fuzz *f, uint32_t a, uint64_t item)
{
	uint32_t m = rig_model_index(&f->rig, item);

	if (m == f->rig.config.n_models ||
	    f->rig.now - f->last_disturbance < 2 * f->o.stale_after)
		return;
	if (rig_count_replicas(&f->rig, m) < 2)
		fuzz_violation(f->r, "agent %u is to unload the last replica",
			       a);
}

static void check_order(struct place_rig *r, uint32_t a,
			const struct pf_place_act *act)
{
	struct fuzz *f = r->ctx;
	struct place_rig_agent *ag = &r->agents[a];
	uint32_t loads = 0;

	/* The order is lost; after its restart the agent gets a new one. */
	if (!ag->up)
		return;
	for (uint32_t i = 0; i < act->n_items; i++) {
		uint64_t id = act->items[i];

		if (rig_model_index(r, id) == r->config.n_models)
			fuzz_violation(
				f->r,
				"an order names a model that isn't declared");
		if (rig_contains(ag->resident, ag->n_resident, id) ||
		    ag->loading == id ||
		    rig_contains(f->ordered[a], f->n_ordered[a], id))
			continue;
		loads++;
		check_load_rate(f);
	}
	for (uint32_t i = 0; i < ag->n_resident; i++)
		if (!rig_contains(act->items, act->n_items, ag->resident[i]) &&
		    rig_contains(f->ordered[a], f->n_ordered[a],
				 ag->resident[i]))
			check_last_copy(f, a, ag->resident[i]);
	if (loads &&
	    rig_weight_bytes(r, act->items, act->n_items) > weight_budget(r, a))
		fuzz_violation(f->r, "agent %u: the order exceeds its memory",
			       a);
	memcpy(f->ordered[a], act->items, act->n_items * sizeof(*act->items));
	f->n_ordered[a] = act->n_items;
	f->plan_loads += loads;
}

/* Runs after all orders of a plan. */
static void check_in_flight(struct place_rig *r)
{
	struct fuzz *f = r->ctx;

	if (f->plan_loads &&
	    loads_in_flight(f) > r->config.deployment.store_inflight)
		fuzz_violation(f->r, "%u loads in flight", loads_in_flight(f));
	f->plan_loads = 0;
}

static void restart_planner(struct fuzz *f)
{
	/* The rate is checked for each planner by itself. */
	f->n_loads = 0;
	memset(f->n_ordered, 0, sizeof(f->n_ordered));
	f->last_disturbance = f->rig.now;
	if (rig_start_planner(&f->rig, &f->o) < 0)
		fuzz_violation(f->r, "the planner doesn't start");
}

static void change_config(struct fuzz *f)
{
	struct place_rig *r = &f->rig;
	uint32_t n = (uint32_t)r->config.n_models;
	uint32_t m = pf_rng_below(&f->rng, n);

	switch (pf_rng_below(&f->rng, 4)) {
	case 0:
		if (n < RIG_MODELS_MAX)
			rig_add_models(r, 1, 5 + pf_rng_below(&f->rng, 40));
		break;
	case 1:
		if (n > 1)
			r->config.n_models--;
		break;
	case 2:
		r->models[m].weight_bytes = 5 + pf_rng_below(&f->rng, 40);
		break;
	default:
		r->config.deployment.kv_share =
			0.1 + 0.3 * pf_rng_unit(&f->rng);
		break;
	}
	/* A model declared again may be resident where the plan drops it. */
	f->last_disturbance = r->now;
	rig_send_config(r);
}

static void toggle_agent(struct fuzz *f)
{
	uint32_t a = pf_rng_below(&f->rng, (uint32_t)f->rig.config.n_endpoints);

	if (!f->rig.agents[a].up) {
		rig_start_agent(&f->rig, a);
		return;
	}
	f->last_disturbance = f->rig.now;
	f->n_ordered[a] = 0;
	rig_kill_agent(&f->rig, a, pf_rng_below(&f->rng, 2));
	/* Sometimes restarts before anybody notices. */
	if (pf_rng_below(&f->rng, 3) == 0)
		rig_start_agent(&f->rig, a);
}

/* No model may lack a home while a running agent has the memory for it. */
static void check_homes(struct fuzz *f)
{
	struct place_rig *r = &f->rig;

	for (uint32_t m = 0; m < r->config.n_models; m++) {
		if (rig_count_replicas(r, m) > 0)
			continue;
		for (uint32_t a = 0; a < r->config.n_endpoints; a++)
			if (r->agents[a].up &&
			    rig_weight_bytes(r, f->ordered[a],
					     f->n_ordered[a]) +
					    r->models[m].weight_bytes <=
				    weight_budget(r, a))
				fuzz_violation(f->r,
					       "model %u has no home, agent "
					       "%u has memory",
					       m, a);
	}
}

static void run_without_faults(struct fuzz *f)
{
	for (uint32_t a = 0; a < f->rig.config.n_endpoints; a++)
		f->rig.agents[a].drops_orders = false;
	rig_run(&f->rig, FAULT_FREE_MS);
	check_homes(f);
}

static void random_step(struct fuzz *f)
{
	struct place_rig *r = &f->rig;
	uint32_t a = pf_rng_below(&f->rng, (uint32_t)r->config.n_endpoints);
	uint32_t m = pf_rng_below(&f->rng, (uint32_t)r->config.n_models);

	switch (pf_rng_below(&f->rng, 16)) {
	case 0:
		change_config(f);
		break;
	case 1:
		toggle_agent(f);
		break;
	case 2:
		r->agents[a].drops_orders = !r->agents[a].drops_orders;
		break;
	case 3:
		restart_planner(f);
		break;
	case 4:
		if (pf_rng_below(&f->rng, 4) == 0)
			run_without_faults(f);
		break;
	case 5:
	case 6:
	case 7:
		r->demand[m].open = pf_rng_below(&f->rng, 40);
		break;
	default:
		rig_run(r, 500 + 500 * (pf_ms)pf_rng_below(&f->rng, 20));
		break;
	}
}

static void setup(struct fuzz *f)
{
	static const char *const zones[] = { "a", "b", "c" };
	struct place_rig *r = &f->rig;
	uint32_t n = 1 + pf_rng_below(&f->rng, RIG_AGENTS_MAX);

	rig_init(r);
	r->on_order = check_order;
	r->on_plan_done = check_in_flight;
	r->ctx = f;
	r->config.deployment.move_cost = 60 * pf_rng_unit(&f->rng);
	r->config.deployment.store_loads_rate = 0.2 + 4 * pf_rng_unit(&f->rng);
	r->config.deployment.store_inflight = 1 + pf_rng_below(&f->rng, 5);
	for (uint32_t a = 0; a < n; a++)
		rig_add_engine(r, a, zones[pf_rng_below(&f->rng, 3)], "r",
			       50 + pf_rng_below(&f->rng, 100));
	rig_add_models(r, 1 + pf_rng_below(&f->rng, RIG_MODELS_MAX),
		       5 + pf_rng_below(&f->rng, 40));
	pf_place_opts_default(&f->o);
	f->o.agents_max = RIG_AGENTS_MAX;
	f->o.models_max = RIG_MODELS_MAX;
	f->o.entries_max = 2;
	restart_planner(f);
}

void fuzz_place(uint64_t seed, uint32_t steps_max, struct fuzz_result *r)
{
	struct fuzz *f = calloc(1, sizeof(*f));

	if (!f) {
		fuzz_violation(r, "no memory");
		return;
	}
	f->r = r;
	pf_rng_seed(&f->rng, seed);
	setup(f);
	for (; r->steps < steps_max && r->violations == 0; r->steps++)
		random_step(f);
	pf_place_free(f->rig.place);
	free(f);
}
