/* How much each model and adapter is asked for. */
#include "src/coordination/gate/gate_core.h"

#include <math.h>

/* Demand is smoothed over so long. */
#define SMOOTH_S 1.2
#define ALIVE_SMOOTH_S 0.7
/* An item asked for less often is forgotten. */
#define FORGET_PER_S 0.002
#define SECOND_MS 1000.0

static struct gate_item *item_of(struct pf_gate *g, uint64_t id, bool make)
{
	uint32_t at = (uint32_t)(id % GATE_ITEMS);
	struct gate_item *spare = NULL;
	uint32_t i;

	for (i = 0; i < 16; i++) {
		struct gate_item *it = &g->items[(at + i) % GATE_ITEMS];

		if (it->id == id)
			return it;
		if (!it->id && !spare)
			spare = it;
	}
	if (!make || !spare)
		return NULL;
	*spare = (struct gate_item){ .id = id };
	return spare;
}

static void begin(struct pf_gate *g, uint64_t id, uint64_t model)
{
	struct gate_item *it = item_of(g, id, true);

	if (!it)
		return;
	it->model = model;
	it->count++;
	it->alive++;
}

static void end(struct pf_gate *g, uint64_t id)
{
	struct gate_item *it = item_of(g, id, false);

	if (it && it->alive)
		it->alive--;
}

void gate_demand_begin(struct pf_gate *g, const struct gate_request *r)
{
	if (r->model)
		begin(g, r->model, r->model);
	if (r->adapter)
		begin(g, r->adapter, r->model);
}

void gate_demand_end(struct pf_gate *g, const struct gate_request *r)
{
	if (r->model)
		end(g, r->model);
	if (r->adapter)
		end(g, r->adapter);
}

static void smooth(struct gate_item *it, double s)
{
	double w = exp(-s / SMOOTH_S);
	double v = exp(-s / ALIVE_SMOOTH_S);

	it->per_s = w * it->per_s + (1 - w) * it->count / s;
	it->alive_avg = v * it->alive_avg + (1 - v) * it->alive;
	it->count = 0;
	if (!it->alive && it->per_s < FORGET_PER_S)
		it->id = 0;
}

static void waits(struct pf_gate *g, uint64_t id)
{
	struct gate_item *it = id ? item_of(g, id, false) : NULL;

	if (it)
		it->waiting++;
}

static void count_waiting(struct pf_gate *g)
{
	uint32_t i;

	for (i = 0; i < GATE_ITEMS; i++)
		g->items[i].waiting = 0;
	for (i = g->wait_head; i != GATE_NIL; i = g->requests[i].next) {
		waits(g, g->requests[i].model);
		waits(g, g->requests[i].adapter);
	}
}

size_t pf_gate_demand(struct pf_gate *g, pf_ms now, struct pf_gate_demand *out,
		      size_t max)
{
	double s = (double)(now - g->items_since) / SECOND_MS;
	size_t n = 0;
	uint32_t i;

	count_waiting(g);
	for (i = 0; i < GATE_ITEMS && n < max; i++) {
		struct gate_item *it = &g->items[i];

		if (it->id && s > 0.2)
			smooth(it, s);
		if (!it->id)
			continue;
		out[n++] = (struct pf_gate_demand){
			.item = it->id,
			.model = it->model,
			.per_s = (float)it->per_s,
			.active = (float)it->alive_avg,
			.waiting = it->waiting,
		};
	}
	if (s > 0.2)
		g->items_since = now;
	return n;
}
