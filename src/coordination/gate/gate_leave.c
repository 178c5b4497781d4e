/*
 * Endpoints that leave. An endpoint says so in its answers, often before its
 * store entry does; the entry never takes it back. A new incarnation is a new
 * endpoint.
 */
#include "src/coordination/gate/gate_core.h"

static struct gate_left *find_left(struct pf_gate *g, uint64_t id)
{
	uint32_t i;

	for (i = 0; i < GATE_LEFT_MAX && i < g->n_left; i++) {
		if (g->left[i].id == id)
			return &g->left[i];
	}
	return NULL;
}

bool gate_has_left(struct pf_gate *g, uint64_t id, int64_t incarnation)
{
	const struct gate_left *l = find_left(g, id);

	return l && l->incarnation >= incarnation;
}

void gate_endpoint_leaving(struct pf_gate *g, uint64_t id, int64_t incarnation)
{
	struct gate_endpoint *e = gate_endpoint_find(g, id);
	struct gate_left *l = find_left(g, id);

	if (!l) {
		l = &g->left[g->n_left++ % GATE_LEFT_MAX];
		*l = (struct gate_left){ id, incarnation };
	} else if (l->incarnation < incarnation) {
		l->incarnation = incarnation;
	}
	if (e && e->incarnation == pf_id2(id, (uint64_t)incarnation))
		e->leaving = true;
}

bool gate_all_leaving(const struct pf_gate *g, const struct gate_request *r)
{
	bool any = false;
	uint32_t i;

	for (i = 0; i < g->n_endpoints; i++) {
		const struct gate_endpoint *e = &g->endpoints[i];

		if (!e->used || e->service != r->service)
			continue;
		if (!gate_endpoint_leaves(e))
			return false;
		any = true;
	}
	return any;
}
