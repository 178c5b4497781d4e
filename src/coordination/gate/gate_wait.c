/* Queue of waiting requests, and in which order they go. */
#include "src/coordination/gate/gate_core.h"

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

bool gate_has_account_priority(const struct gate_request *r)
{
	return r->account && r->account_priority >= 0;
}

/* The account's priority goes first, if it has one; 0 is highest. */
static int compare_priority(const struct gate_request *a,
			    const struct gate_request *b)
{
	int first_a = gate_has_account_priority(a) ? a->account_priority
						   : a->priority;
	int first_b = gate_has_account_priority(b) ? b->account_priority
						   : b->priority;

	return first_a != first_b ? first_a - first_b
				  : a->priority - b->priority;
}

/* Sending order: streams of which the caller has a part, then requests that can
 * still meet their objective, by its deadline, then late ones by priority. */
static bool sent_before(const struct pf_gate *g, const struct gate_request *a,
			const struct gate_request *b)
{
	bool a_late = a->objective_deadline < g->now;
	bool b_late = b->objective_deadline < g->now;

	if (a->bound != b->bound)
		return a->bound;
	if (a_late != b_late)
		return b_late;
	if (a_late && compare_priority(a, b) != 0)
		return compare_priority(a, b) < 0;
	return a->objective_deadline < b->objective_deadline;
}

#define VISITS_PER_ROUND_MAX 256

/* The first request in sending order that this round has not visited. */
static struct gate_request *next_unvisited(struct pf_gate *g)
{
	struct gate_request *best = NULL;
	uint32_t i;

	for (i = g->wait_head; i != GATE_NIL; i = g->requests[i].next) {
		struct gate_request *r = &g->requests[i];

		if (r->visited_round != g->wait_round &&
		    (!best || sent_before(g, r, best)))
			best = r;
	}
	return best;
}

void gate_send_waiting(struct pf_gate *g)
{
	struct gate_request *r;
	uint32_t n = 0;

	g->wait_round++;
	while (n++ < VISITS_PER_ROUND_MAX && (r = next_unvisited(g))) {
		r->visited_round = g->wait_round;
		gate_try_send(g, r);
	}
	g->send_waiting_at = PF_NEVER;
}
