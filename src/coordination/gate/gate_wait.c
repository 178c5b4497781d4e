/* The requests that wait: how long, and who of them goes first. */
#include "src/coordination/gate/gate_core.h"

/* Of the time that a request has, it may wait so much where endpoints are
 * full: they rarely drain sooner, and its caller may do better elsewhere. */
#define WAIT_FULL 0.0
/* And where its model must be loaded first, which is sure to come. */
#define WAIT_LOAD 0.5
/* A plain service answers within; an engine's tokens take so long each. */
#define PLAIN_MIN_MS 20
#define TOKEN_MS 6

void gate_wait_add(struct pf_gate *g, struct gate_request *r)
{
	uint32_t slot = (uint32_t)(r - g->requests);

	r->state = GATE_WAITING;
	r->prev = g->wait_tail;
	r->next = GATE_NIL;
	if (g->wait_tail == GATE_NIL)
		g->wait_head = slot;
	else
		g->requests[g->wait_tail].next = slot;
	g->wait_tail = slot;
	g->n_waiting++;
}

void gate_wait_remove(struct pf_gate *g, struct gate_request *r)
{
	if (r->prev == GATE_NIL)
		g->wait_head = r->next;
	else
		g->requests[r->prev].next = r->next;
	if (r->next == GATE_NIL)
		g->wait_tail = r->prev;
	else
		g->requests[r->next].prev = r->prev;
	g->n_waiting--;
}

pf_ms gate_least_time(const struct gate_request *r)
{
	if (!r->model)
		return PLAIN_MIN_MS;
	return PLAIN_MIN_MS + (pf_ms)r->output * TOKEN_MS / 2;
}

pf_ms gate_wait_limit(struct pf_gate *g, const struct gate_request *r)
{
	pf_ms last = r->over - gate_least_time(r);
	double share = gate_served(g, r) ? WAIT_FULL : WAIT_LOAD;
	pf_ms limit =
		r->arrived + (pf_ms)(share * (double)(r->over - r->arrived));

	if (r->objective)
		limit += r->objective / 8;
	return limit < last ? limit : last;
}

/* Who is sent first: those that can still be on time, by when they are due. */
static bool before(const struct pf_gate *g, const struct gate_request *a,
		   const struct gate_request *b)
{
	bool a_late = a->due < g->now;
	bool b_late = b->due < g->now;

	if (a->passed != b->passed)
		return a->passed;
	if (a_late != b_late)
		return b_late;
	if (a_late && a->priority != b->priority)
		return a->priority < b->priority;
	return a->due < b->due;
}

#define PUMP_MAX 256

/* The next of the waiting that was not looked at in this round. */
static struct gate_request *next_waiting(struct pf_gate *g)
{
	struct gate_request *best = NULL;
	uint32_t i;

	for (i = g->wait_head; i != GATE_NIL; i = g->requests[i].next) {
		struct gate_request *r = &g->requests[i];

		if (r->looked_at != g->round && (!best || before(g, r, best)))
			best = r;
	}
	return best;
}

void gate_pump(struct pf_gate *g)
{
	struct gate_request *r;
	uint32_t n = 0;

	g->round++;
	while (n++ < PUMP_MAX && (r = next_waiting(g))) {
		r->looked_at = g->round;
		gate_try_send(g, r);
	}
	g->pump_at = PF_NEVER;
}
