/*
 * Orders in doubt: they got no answer, and may be carried out seconds later if
 * the engine then has accepted as many orders as they name. Its count starts
 * anew with each incarnation, so an order that was sent to one may be carried
 * out by the next. No order may leave an engine at such a count without room
 * for the load that is in doubt.
 */
#include "src/coordination/plan/plan_core.h"

#include <stdlib.h>

static bool is_expired(const struct pf_plan *p, const struct plan_doubt *d)
{
	return p->now >= d->until;
}

static void drop_expired(struct pf_plan *p)
{
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i < p->n_doubts; i++) {
		if (!is_expired(p, &p->doubts[i]))
			p->doubts[n++] = p->doubts[i];
	}
	p->n_doubts = n;
}

/* Without memory, the late order is not expected. */
static struct plan_doubt *add_doubt(struct pf_plan *p)
{
	struct plan_doubt *v;
	uint32_t cap;

	if (p->n_doubts == p->doubts_cap)
		drop_expired(p);
	if (p->n_doubts == p->doubts_cap) {
		cap = p->doubts_cap * 2 + 16;
		v = realloc(p->doubts, cap * sizeof(*v));
		if (!v)
			return NULL;
		p->doubts = v;
		p->doubts_cap = cap;
	}
	return &p->doubts[p->n_doubts++];
}

void plan_doubt_add(struct pf_plan *p, uint64_t endpoint,
		    const struct pf_order_in_doubt *o)
{
	pf_ms until = p->now + PF_ORDER_LATE_MS - o->age;
	struct plan_doubt *d;
	uint32_t i;

	for (i = 0; i < p->n_doubts; i++) {
		d = &p->doubts[i];
		if (d->endpoint == endpoint && d->model == o->model &&
		    d->load == o->load && d->expected == o->expected_orders) {
			if (d->until < until)
				d->until = until;
			return;
		}
	}
	d = add_doubt(p);
	if (d)
		*d = (struct plan_doubt){ endpoint, o->model,
					  o->expected_orders, o->load, until };
}

static double weights_mb(struct pf_plan *p, uint64_t model)
{
	const struct plan_model *m = plan_find_model(p, model);

	return m ? m->spec->weights_mb : 0;
}

bool plan_leaves_room(struct pf_plan *p, const struct plan_engine *e,
		      const struct plan_model *m, bool load)
{
	double free = e->free_mb +
		      (load ? -m->spec->weights_mb : m->spec->weights_mb);
	uint32_t i;

	for (i = 0; i < p->n_doubts; i++) {
		const struct plan_doubt *d = &p->doubts[i];

		if (d->endpoint != e->id || !d->load || is_expired(p, d) ||
		    d->expected != e->orders_accepted + 1)
			continue;
		/* A load of what is held changes nothing. */
		if (d->model == m->spec->id ? load
					    : plan_engine_has(e, d->model))
			continue;
		if (free < weights_mb(p, d->model))
			return false;
	}
	return true;
}

bool plan_unload_in_doubt(const struct pf_plan *p, const struct plan_engine *e,
			  uint64_t model)
{
	uint32_t i;

	for (i = 0; i < p->n_doubts; i++) {
		const struct plan_doubt *d = &p->doubts[i];

		if (d->endpoint == e->id && d->model == model && !d->load &&
		    d->expected == e->orders_accepted && !is_expired(p, d))
			return true;
	}
	return false;
}
