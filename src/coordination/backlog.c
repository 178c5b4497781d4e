/* Queues of waiting requests: pairing heaps over the request slots. */
#include "src/coordination/backlog.h"

#include <math.h>
#include <stdlib.h>

/* Busy time in which the weight of old samples decays to 1/e. */
#define DRAIN_DECAY_MS 10000.0
/* Least busy time and events for a drain rate to be used. */
#define DRAIN_MIN_MS 500.0
#define DRAIN_MIN_EVENTS 4.0
/* Rough service time per output and per prompt token. */
#define OUTPUT_TOKEN_MS 25.0
#define PROMPT_TOKEN_MS 0.2
/* Expected output, as a share of its limit, before any answer is known. */
#define OUTPUT_LIMIT_SHARE 0.25
/* Weight of a new sample in the mean output length. */
#define OUTPUT_SAMPLE_WEIGHT 0.05
/* Weight of the service time in the sort key: short requests go first. */
#define SORT_COST_WEIGHT 0.1
/* Age steps after which a deferrable request passes new ones. */
#define DEFERRABLE_AGE_STEPS 8

int pf_backlog_init(struct pf_entry *e)
{
	e->groups = calloc(e->opts.groups_max, sizeof(*e->groups));
	e->busy_groups = (struct pf_group_list){ PF_NIL, PF_NIL };
	e->idle_groups = (struct pf_group_list){ PF_NIL, PF_NIL };
	return e->groups ? pf_map_init(&e->group_map, e->opts.groups_max) : -1;
}

void pf_backlog_free(struct pf_entry *e)
{
	free(e->groups);
	pf_map_free(&e->group_map);
}

static struct pf_request *request_at(struct pf_entry *e, uint32_t i)
{
	return &e->reqs[i];
}

static bool sorts_before(const struct pf_request *a, const struct pf_request *b)
{
	if (a->sort_key != b->sort_key)
		return a->sort_key < b->sort_key;
	return a->id < b->id;
}

/* Melds two heaps; either may be PF_NIL, neither root has a sibling. */
static uint32_t heap_meld(struct pf_entry *e, uint32_t a, uint32_t b)
{
	uint32_t top = a, child = b;

	if (a == PF_NIL)
		return b;
	if (b == PF_NIL)
		return a;
	if (sorts_before(request_at(e, b), request_at(e, a))) {
		top = b;
		child = a;
	}
	request_at(e, child)->prev = top;
	request_at(e, child)->next = request_at(e, top)->child;
	if (request_at(e, top)->child != PF_NIL)
		request_at(e, request_at(e, top)->child)->prev = child;
	request_at(e, top)->child = child;
	return top;
}

/* Clears the sibling links of @i; returns its next sibling. */
static uint32_t unlink_sibling(struct pf_entry *e, uint32_t i)
{
	uint32_t next = request_at(e, i)->next;

	request_at(e, i)->next = PF_NIL;
	request_at(e, i)->prev = PF_NIL;
	return next;
}

/* Two-pass melding: pairs from the left, then all from the right. */
static uint32_t heap_meld_siblings(struct pf_entry *e, uint32_t c)
{
	uint32_t pairs = PF_NIL, root = PF_NIL;

	while (c != PF_NIL) {
		uint32_t a = c, b = unlink_sibling(e, a), m;

		c = b == PF_NIL ? PF_NIL : unlink_sibling(e, b);
		m = heap_meld(e, a, b);
		request_at(e, m)->next = pairs;
		pairs = m;
	}
	while (pairs != PF_NIL) {
		uint32_t a = pairs;

		pairs = unlink_sibling(e, a);
		root = heap_meld(e, root, a);
	}
	return root;
}

static uint32_t heap_del(struct pf_entry *e, uint32_t root, uint32_t i)
{
	struct pf_request *r = request_at(e, i);
	uint32_t rest = heap_meld_siblings(e, r->child);

	r->child = PF_NIL;
	if (root == i)
		return rest;
	if (request_at(e, r->prev)->child == i)
		request_at(e, r->prev)->child = r->next;
	else
		request_at(e, r->prev)->next = r->next;
	if (r->next != PF_NIL)
		request_at(e, r->next)->prev = r->prev;
	unlink_sibling(e, i);
	return heap_meld(e, root, rest);
}

static void group_list_del(struct pf_entry *e, struct pf_group_list *l,
			   uint32_t i)
{
	struct pf_group *g = &e->groups[i];

	if (g->prev == PF_NIL)
		l->head = g->next;
	else
		e->groups[g->prev].next = g->next;
	if (g->next == PF_NIL)
		l->tail = g->prev;
	else
		e->groups[g->next].prev = g->prev;
}

static void group_list_add(struct pf_entry *e, struct pf_group_list *l,
			   uint32_t i)
{
	struct pf_group *g = &e->groups[i];

	g->next = PF_NIL;
	g->prev = l->tail;
	if (l->tail == PF_NIL)
		l->head = i;
	else
		e->groups[l->tail].next = i;
	l->tail = i;
}

uint32_t pf_backlog_find_group(const struct pf_entry *e, uint64_t model,
			       uint64_t shard)
{
	struct pf_key k = { model, shard };
	uint32_t i;

	return pf_map_get(&e->group_map, k, &i) ? PF_NIL : i;
}

/* A slot for a new group; evicts an idle group without open requests. */
static uint32_t alloc_group(struct pf_entry *e)
{
	uint32_t i = e->idle_groups.head;
	struct pf_key k;

	if (e->groups_used < e->opts.groups_max)
		return e->groups_used++;
	/* Idle groups with open requests rotate to the back. */
	for (uint32_t n = 0; i != PF_NIL && e->groups[i].n_requests && n < 64;
	     n++) {
		group_list_del(e, &e->idle_groups, i);
		group_list_add(e, &e->idle_groups, i);
		i = e->idle_groups.head;
	}
	if (i == PF_NIL || e->groups[i].n_requests)
		return PF_NIL;
	group_list_del(e, &e->idle_groups, i);
	k = (struct pf_key){ e->groups[i].model, e->groups[i].shard };
	pf_map_del(&e->group_map, k);
	return i;
}

uint32_t pf_backlog_get_group(struct pf_entry *e, const struct pf_work *w)
{
	bool keyed = (w->flags & PF_WORK_NEVER_REPEAT) && w->idem_key;
	bool plain = w->flags & PF_WORK_PLAIN;
	uint64_t shard = plain && keyed ? w->adapter : 0;
	uint32_t i = pf_backlog_find_group(e, w->model, shard);

	if (i != PF_NIL)
		return i;
	i = alloc_group(e);
	if (i == PF_NIL)
		return PF_NIL;
	e->groups[i] = (struct pf_group){
		.model = w->model,
		.shard = shard,
		.heap_root = PF_NIL,
		.loading_agent_slot = PF_NIL,
	};
	(void)pf_map_put(&e->group_map, (struct pf_key){ w->model, shard }, i);
	group_list_add(e, &e->idle_groups, i);
	return i;
}

/* Accounts for the time up to @now, in which the group had work if @busy. */
static void drain_rate_advance(struct pf_drain_rate *r, pf_ms now, bool busy)
{
	double dt = (double)(now - r->updated_at);
	double fade;

	r->updated_at = now;
	if (!busy || dt <= 0)
		return;
	fade = exp(-dt / DRAIN_DECAY_MS);
	r->events *= fade;
	r->busy_ms = r->busy_ms * fade + dt;
}

static uint32_t *not_deferrable_count(struct pf_group *g,
				      const struct pf_request *r)
{
	if (r->work.flags & PF_WORK_DEFERRABLE)
		return NULL;
	return &g->n_not_deferrable[r->work.priority];
}

void pf_backlog_add(struct pf_entry *e, uint32_t slot)
{
	struct pf_request *r = request_at(e, slot);
	struct pf_group *g = &e->groups[r->group];

	drain_rate_advance(&g->drain, e->now, g->n_waiting > 0);
	if (g->n_waiting++ == 0) {
		group_list_del(e, &e->idle_groups, r->group);
		group_list_add(e, &e->busy_groups, r->group);
	}
	if (not_deferrable_count(g, r))
		++*not_deferrable_count(g, r);
	r->child = PF_NIL;
	r->next = PF_NIL;
	r->prev = PF_NIL;
	g->heap_root = heap_meld(e, g->heap_root, slot);
	r->state = PF_REQ_QUEUED;
	e->stats.waiting++;
}

void pf_backlog_del(struct pf_entry *e, uint32_t slot, bool served)
{
	struct pf_request *r = request_at(e, slot);
	struct pf_group *g = &e->groups[r->group];

	drain_rate_advance(&g->drain, e->now, true);
	if (served)
		g->drain.events += 1;
	g->heap_root = heap_del(e, g->heap_root, slot);
	if (not_deferrable_count(g, r))
		--*not_deferrable_count(g, r);
	if (--g->n_waiting == 0) {
		group_list_del(e, &e->busy_groups, r->group);
		group_list_add(e, &e->idle_groups, r->group);
	}
	e->stats.waiting--;
}

double pf_backlog_expected_wait_ms(struct pf_entry *e, uint32_t group,
				   uint8_t prio)
{
	struct pf_group *g = &e->groups[group];
	uint32_t ahead = 0;

	drain_rate_advance(&g->drain, e->now, g->n_waiting > 0);
	if (g->drain.busy_ms < DRAIN_MIN_MS ||
	    g->drain.events < DRAIN_MIN_EVENTS)
		return 0;
	for (uint32_t p = 0; p <= prio && p < PF_PRIORITIES; p++)
		ahead += g->n_not_deferrable[p];
	return ahead * g->drain.busy_ms / g->drain.events;
}

void pf_backlog_learn_output(struct pf_entry *e, uint32_t group, uint32_t total)
{
	struct pf_group *g = &e->groups[group];

	if (g->mean_output_tokens <= 0)
		g->mean_output_tokens = total;
	else
		g->mean_output_tokens +=
			OUTPUT_SAMPLE_WEIGHT * (total - g->mean_output_tokens);
}

double pf_backlog_output_tokens(const struct pf_entry *e,
				const struct pf_request *r)
{
	double out = e->groups[r->group].mean_output_tokens;

	if (out <= 0)
		out = r->work.max_tokens * OUTPUT_LIMIT_SHARE;
	return out < r->work.max_tokens ? out : r->work.max_tokens;
}

pf_ms pf_backlog_first_token_ms(const struct pf_request *r)
{
	return (pf_ms)(OUTPUT_TOKEN_MS +
		       r->work.prompt_tokens * PROMPT_TOKEN_MS);
}

pf_ms pf_backlog_service_ms(const struct pf_entry *e,
			    const struct pf_request *r)
{
	return (pf_ms)(pf_backlog_output_tokens(e, r) * OUTPUT_TOKEN_MS +
		       r->work.prompt_tokens * PROMPT_TOKEN_MS);
}

/*
 * The latest start that still meets the objectives, plus a delay by priority and
 * by service time. Ageing is linear in time, so the order of two requests
 * never changes and the key can be fixed.
 */
pf_ms pf_backlog_sort_key(const struct pf_entry *e, const struct pf_request *r)
{
	const struct pf_work *w = &r->work;
	pf_ms cost = pf_backlog_service_ms(e, r);
	pf_ms base = w->arrived + e->opts.age_step;

	if (w->flags & PF_WORK_DEFERRABLE) {
		base = w->arrived + DEFERRABLE_AGE_STEPS * e->opts.age_step;
		if (w->answer_objective != PF_NEVER)
			base = pf_ms_min(base, w->answer_objective - 2 * cost);
	} else {
		base = pf_ms_min(base, w->first_token_objective);
		if (w->answer_objective != PF_NEVER)
			base = pf_ms_min(base, w->answer_objective - cost);
	}
	base += w->priority * e->opts.age_step +
		(pf_ms)(cost * SORT_COST_WEIGHT);
	if (w->deadline != PF_NEVER)
		base = pf_ms_min(base, w->deadline - 2 * cost);
	return base;
}

uint32_t pf_backlog_next_group(struct pf_entry *e)
{
	uint32_t i = e->busy_groups.head;

	if (i == PF_NIL)
		return PF_NIL;
	group_list_del(e, &e->busy_groups, i);
	group_list_add(e, &e->busy_groups, i);
	return i;
}
