/* Demand for each model and adapter. */
#include "src/coordination/gate/gate_core.h"

#include <math.h>

/* Time constants of the smoothing. */
#define RATE_SMOOTH_S 1.2
#define ACTIVE_SMOOTH_S 0.7
/* Entries below this rate are dropped. */
#define FORGET_PER_S 0.002
#define SECOND_MS 1000.0

static struct gate_demand_entry *find_entry(struct pf_gate *g, uint64_t id,
					    bool create)
{
	uint32_t at = (uint32_t)(id % GATE_DEMAND_ENTRIES);
	struct gate_demand_entry *spare = NULL;
	uint32_t i;

	for (i = 0; i < 16; i++) {
		struct gate_demand_entry *it =
			&g->demand[(at + i) % GATE_DEMAND_ENTRIES];

		if (it->id == id)
			return it;
		if (!it->id && !spare)
			spare = it;
	}
	if (!create || !spare)
		return NULL;
	*spare = (struct gate_demand_entry){ .id = id };
	return spare;
}

static void add_request(struct pf_gate *g, uint64_t id, uint64_t model)
{
	struct gate_demand_entry *it = find_entry(g, id, true);

	if (!it)
		return;
	it->model = model;
	it->arrivals++;
	it->open++;
}

static void remove_request(struct pf_gate *g, uint64_t id)
{
	struct gate_demand_entry *it = find_entry(g, id, false);

	if (it && it->open)
		it->open--;
}

void gate_demand_begin(struct pf_gate *g, const struct gate_request *r)
{
	if (r->model)
		add_request(g, r->model, r->model);
	if (r->adapter)
		add_request(g, r->adapter, r->model);
}

void gate_demand_end(struct pf_gate *g, const struct gate_request *r)
{
	if (r->model)
		remove_request(g, r->model);
	if (r->adapter)
		remove_request(g, r->adapter);
}

static void smooth(struct gate_demand_entry *it, double s)
{
	double w = exp(-s / RATE_SMOOTH_S);
	double v = exp(-s / ACTIVE_SMOOTH_S);

	it->per_s = w * it->per_s + (1 - w) * it->arrivals / s;
	it->open_avg = v * it->open_avg + (1 - v) * it->open;
	it->arrivals = 0;
	if (!it->open && it->per_s < FORGET_PER_S)
		it->id = 0;
}

static void add_waiting(struct pf_gate *g, uint64_t id)
{
	struct gate_demand_entry *it = id ? find_entry(g, id, false) : NULL;

	if (it)
		it->waiting++;
}

static void count_waiting(struct pf_gate *g)
{
	uint32_t i;

	for (i = 0; i < GATE_DEMAND_ENTRIES; i++)
		g->demand[i].waiting = 0;
	for (i = g->wait_head; i != GATE_NIL; i = g->requests[i].next) {
		add_waiting(g, g->requests[i].model);
		add_waiting(g, g->requests[i].adapter);
	}
}

size_t pf_gate_demand(struct pf_gate *g, pf_ms now, struct pf_gate_demand *out,
		      size_t max)
{
	double s = (double)(now - g->demand_smoothed_at) / SECOND_MS;
	size_t n = 0;
	uint32_t i;

	count_waiting(g);
	for (i = 0; i < GATE_DEMAND_ENTRIES && n < max; i++) {
		struct gate_demand_entry *it = &g->demand[i];

		if (it->id && s > 0.2)
			smooth(it, s);
		if (!it->id)
			continue;
		out[n++] = (struct pf_gate_demand){
			.item = it->id,
			.model = it->model,
			.per_s = (float)it->per_s,
			.open = (float)it->open_avg,
			.waiting = it->waiting,
		};
	}
	if (s > 0.2)
		g->demand_smoothed_at = now;
	return n;
}
