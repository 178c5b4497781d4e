/*
 * Recovery: the planner of each region with simulated engines and weight store
 * in virtual time. After a fault-free start engines are lost for good; measures
 * the time and the loads until every model is resident somewhere again.
 */
#include "bench/bench.h"
#include "bench/figures.h"
#include "pimentoford/place.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ENGINES_MAX 64
#define MODELS_MAX 256
#define REGIONS_MAX 8
#define TIME_STEP_MS 100
#define REPORT_INTERVAL_MS 1000
#define SETTLE_MS 900000
#define RECOVERY_MAX_MS 600000
#define LOSS_NOTICE_MS 500 /* until an entry detects a broken session */
#define DEMAND_SHARE 0.35 /* of all batch slots, as in the other benches */

struct sim_engine {
	const struct pf_endpoint *record;
	bool lost;
	uint64_t placed[MODELS_MAX];
	uint32_t n_placed;
	uint64_t resident[MODELS_MAX];
	uint32_t n_resident;
	uint64_t loading;
	pf_ms load_done_at;
};

struct recovery {
	const struct pf_config *c;
	struct pf_rng rng;
	pf_ms now;
	struct sim_engine engines[ENGINES_MAX];
	uint32_t n_engines;
	const char *regions[REGIONS_MAX];
	struct pf_placement *planners[REGIONS_MAX];
	uint32_t n_regions;
	struct pf_demand demand[MODELS_MAX];
	uint32_t loads_in_flight;
	pf_ms store_next_start;
	uint64_t loads;
};

static bool in_list(const uint64_t *v, uint32_t n, uint64_t id)
{
	for (uint32_t i = 0; i < n; i++)
		if (v[i] == id)
			return true;
	return false;
}

static void emit(void *ctx, const struct pf_place_act *act)
{
	struct recovery *r = ctx;
	uint32_t i = 0;

	while (r->engines[i].record->id != act->agent)
		i++;
	memcpy(r->engines[i].placed, act->items,
	       act->n_items * sizeof(*act->items));
	r->engines[i].n_placed = act->n_items;
}

static void send_to_planners(struct recovery *r, const char *region,
			     const struct pf_place_msg *m)
{
	struct pf_place_sink sink = { emit, r };

	for (uint32_t i = 0; i < r->n_regions; i++)
		if (!region || strcmp(r->regions[i], region) == 0)
			pf_place_step(r->planners[i], r->now, m, &sink);
}

/* Starts a load if the store's rate limit and slots allow. */
static void start_next_load(struct recovery *r, struct sim_engine *e)
{
	const struct pf_deployment *d = &r->c->deployment;

	for (uint32_t i = 0; i < e->n_placed; i++) {
		if (in_list(e->resident, e->n_resident, e->placed[i]))
			continue;
		if (r->loads_in_flight >= d->store_inflight ||
		    r->now < r->store_next_start)
			return;
		e->loading = e->placed[i];
		e->load_done_at =
			r->now +
			(pf_ms)((double)pf_config_model(r->c, e->loading)
					->weight_bytes /
				LOAD_BYTES_PER_MS);
		r->store_next_start =
			r->now + (pf_ms)(1000 / d->store_loads_rate);
		r->loads_in_flight++;
		r->loads++;
		return;
	}
}

static void engine_step(struct recovery *r, struct sim_engine *e)
{
	uint32_t n = 0;

	if (e->loading && r->now >= e->load_done_at) {
		e->resident[e->n_resident++] = e->loading;
		e->loading = 0;
		r->loads_in_flight--;
	}
	for (uint32_t i = 0; i < e->n_resident; i++)
		if (in_list(e->placed, e->n_placed, e->resident[i]))
			e->resident[n++] = e->resident[i];
	e->n_resident = n;
	if (!e->loading)
		start_next_load(r, e);
}

static void send_report(struct recovery *r, const struct sim_engine *e)
{
	struct pf_item items[MODELS_MAX + 1] = { 0 };
	struct pf_place_msg m = { .type = PF_PLACE_REPORT };
	uint32_t n = 0;

	for (; n < e->n_resident; n++)
		items[n] = (struct pf_item){ .id = e->resident[n],
					     .state = PF_ITEM_RESIDENT };
	if (e->loading)
		items[n++] = (struct pf_item){ .id = e->loading,
					       .state = PF_ITEM_LOADING };
	m.u.report.agent = e->record->id;
	m.u.report.incarnation = 1;
	m.u.report.ready = true;
	m.u.report.items = items;
	m.u.report.n_items = n;
	/* Every region's entries have sessions with all engines. */
	send_to_planners(r, NULL, &m);
}

static void send_demand(struct recovery *r)
{
	struct pf_place_msg m = { .type = PF_PLACE_DEMAND };

	m.u.demand.entry = 1;
	m.u.demand.v = r->demand;
	m.u.demand.n = r->c->n_models;
	send_to_planners(r, NULL, &m);
}

static void advance_time(struct recovery *r)
{
	struct pf_place_msg tick = { .type = PF_PLACE_TICK };

	for (uint32_t i = 0; i < r->n_engines; i++) {
		struct sim_engine *e = &r->engines[i];

		if (e->lost)
			continue;
		engine_step(r, e);
		if (r->now % REPORT_INTERVAL_MS == 0)
			send_report(r, e);
	}
	if (r->now % REPORT_INTERVAL_MS == 0)
		send_demand(r);
	send_to_planners(r, NULL, &tick);
	r->now += TIME_STEP_MS;
}

/* Models that are resident on no engine. */
static uint32_t count_missing_models(const struct recovery *r)
{
	uint32_t n = 0;

	for (size_t m = 0; m < r->c->n_models; m++) {
		bool found = false;

		for (uint32_t i = 0; i < r->n_engines && !found; i++)
			found = !r->engines[i].lost &&
				in_list(r->engines[i].resident,
					r->engines[i].n_resident,
					r->c->models[m].id);
		n += !found;
	}
	return n;
}

static void kill_engines(struct recovery *r, const char *loss)
{
	uint32_t first = pf_rng_below(&r->rng, r->n_engines);
	const char *zone = r->engines[first].record->zone;
	uint32_t in_zone = 0, left = 1;

	for (uint32_t i = 0; i < r->n_engines; i++)
		in_zone += strcmp(r->engines[i].record->zone, zone) == 0;
	if (strcmp(loss, "rack") == 0)
		left = (in_zone + 2) / 3;
	else if (strcmp(loss, "zone") == 0)
		left = in_zone;
	for (uint32_t k = 0; k < r->n_engines && left; k++) {
		struct sim_engine *e = &r->engines[(first + k) % r->n_engines];

		if (strcmp(e->record->zone, zone) != 0)
			continue;
		e->lost = true;
		r->loads_in_flight -= e->loading != 0;
		left--;
	}
}

static void send_losses(struct recovery *r)
{
	struct pf_place_msg m = { .type = PF_PLACE_AGENT_LOST };

	for (uint32_t i = 0; i < r->n_engines; i++) {
		m.u.agent = r->engines[i].record->id;
		if (r->engines[i].lost)
			send_to_planners(r, r->engines[i].record->region, &m);
	}
}

static void add_region(struct recovery *r, const char *region)
{
	struct pf_place_msg m = { .type = PF_PLACE_CONFIG };
	struct pf_place_sink sink = { emit, r };
	struct pf_place_opts o;

	for (uint32_t i = 0; i < r->n_regions; i++)
		if (strcmp(r->regions[i], region) == 0)
			return;
	if (r->n_regions == REGIONS_MAX)
		abort();
	pf_place_opts_default(&o);
	o.region = pf_id(pf_str_c(region));
	r->planners[r->n_regions] = pf_place_new(&o);
	if (!r->planners[r->n_regions])
		abort();
	m.u.config = r->c;
	pf_place_step(r->planners[r->n_regions], r->now, &m, &sink);
	m.type = PF_PLACE_LEASE;
	m.u.lease_held = true;
	pf_place_step(r->planners[r->n_regions], r->now, &m, &sink);
	r->regions[r->n_regions++] = region;
}

/* Demand per region; a few models get most of it. */
static void draw_demand(struct recovery *r)
{
	double batches = 0, sum = 0, w[MODELS_MAX];

	for (uint32_t i = 0; i < r->n_engines; i++)
		batches += r->engines[i].record->batch_max;
	for (size_t m = 0; m < r->c->n_models; m++) {
		w[m] = pow(pf_rng_unit(&r->rng) + 0.02, -1);
		sum += w[m];
	}
	for (size_t m = 0; m < r->c->n_models; m++) {
		r->demand[m].model = r->c->models[m].id;
		r->demand[m].open = (uint32_t)(DEMAND_SHARE * batches * w[m] /
					       sum / r->n_regions);
	}
}

static void run_loss(const char *name, const struct pf_config *c, uint64_t seed,
		     const char *loss)
{
	struct recovery *r = calloc(1, sizeof(*r));
	uint32_t before, lost;
	uint64_t loads;
	pf_ms start;

	if (!r || c->n_models > MODELS_MAX)
		abort();
	r->c = c;
	pf_rng_seed(&r->rng, seed);
	for (size_t i = 0; i < c->n_endpoints; i++)
		if (c->endpoints[i].kind == PF_ENDPOINT_ENGINE &&
		    r->n_engines < ENGINES_MAX)
			r->engines[r->n_engines++].record = &c->endpoints[i];
	for (uint32_t i = 0; i < r->n_engines; i++)
		add_region(r, r->engines[i].record->region);
	draw_demand(r);
	while (r->now < SETTLE_MS)
		advance_time(r);
	before = count_missing_models(r);
	start = r->now;
	loads = r->loads;
	kill_engines(r, loss);
	lost = count_missing_models(r);
	while (r->now < start + RECOVERY_MAX_MS &&
	       count_missing_models(r) > 0) {
		advance_time(r);
		if (r->now == start + LOSS_NOTICE_MS)
			send_losses(r);
	}
	printf("bench: what=recovery deployment=%s seed=%llu loss=%s "
	       "recovery_s=%.1f moves=%llu homeless_before=%u homeless=%u "
	       "left_homeless=%u\n",
	       name, (unsigned long long)seed, loss,
	       (double)(r->now - start) / 1000,
	       (unsigned long long)(r->loads - loads), before, lost,
	       count_missing_models(r));
	for (uint32_t i = 0; i < r->n_regions; i++)
		pf_place_free(r->planners[i]);
	free(r);
}

void recovery_run(const char *deployment, const struct pf_config *c,
		  uint64_t seed)
{
	run_loss(deployment, c, seed, "vm");
	run_loss(deployment, c, seed, "rack");
	run_loss(deployment, c, seed, "zone");
}
