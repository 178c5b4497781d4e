/*
 * Endpoints that leave. An endpoint says so in its answers, often before its
 * store entry does; the entry never takes it back. A new incarnation is a new
 * endpoint.
 */
#include "src/coordination/gate/gate_core.h"

static struct gate_leaving_entry *find_leaving(struct pf_gate *g, uint64_t id)
{
	uint32_t i;

	for (i = 0; i < GATE_LEAVING_MAX && i < g->n_leaving; i++) {
		if (g->leaving[i].id == id)
			return &g->leaving[i];
	}
	return NULL;
}

bool gate_is_leaving(struct pf_gate *g, uint64_t id, int64_t incarnation)
{
	const struct gate_leaving_entry *l = find_leaving(g, id);

	return l && l->incarnation >= incarnation;
}

void gate_endpoint_leaving(struct pf_gate *g, uint64_t id, int64_t incarnation)
{
	struct gate_endpoint *e = gate_endpoint_find(g, id);
	struct gate_leaving_entry *l = find_leaving(g, id);

	if (!l) {
		l = &g->leaving[g->n_leaving++ % GATE_LEAVING_MAX];
		*l = (struct gate_leaving_entry){ id, incarnation };
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
