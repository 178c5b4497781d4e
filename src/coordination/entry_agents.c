/* Table of agents and their load reports. */
#include "src/coordination/entry_agents.h"

#include <stdlib.h>
#include <string.h>

int pf_agents_init(struct pf_entry *e)
{
	const struct pf_entry_opts *o = &e->opts;

	e->agents = calloc(o->agents_max, sizeof(*e->agents));
	e->candidates = calloc(o->agents_max, sizeof(*e->candidates));
	if (!e->agents || !e->candidates ||
	    pf_map_init(&e->agent_map, o->agents_max))
		return -1;
	for (uint32_t i = 0; i < o->agents_max; i++) {
		struct pf_entry_agent *a = &e->agents[i];

		a->items = calloc(o->items_max, sizeof(*a->items));
		a->items_scratch = calloc(o->items_max, sizeof(*a->items));
		a->prefix_hints =
			calloc(o->prefixes_max, sizeof(*a->prefix_hints));
		if (!a->items || !a->items_scratch || !a->prefix_hints)
			return -1;
	}
	return 0;
}

void pf_agents_free(struct pf_entry *e)
{
	for (uint32_t i = 0; e->agents && i < e->opts.agents_max; i++) {
		free(e->agents[i].items);
		free(e->agents[i].items_scratch);
		free(e->agents[i].prefix_hints);
	}
	free(e->agents);
	free(e->candidates);
	pf_map_free(&e->agent_map);
}

uint32_t pf_agents_find(const struct pf_entry *e, uint64_t id)
{
	uint32_t i;

	return pf_map_get(&e->agent_map, pf_key1(id), &i) ? PF_NIL : i;
}

static bool names_equal(const char *a, const char *b)
{
	return a && b && strcmp(a, b) == 0;
}

static void apply_config(struct pf_entry *e, struct pf_entry_agent *a)
{
	const struct pf_endpoint *r = NULL;

	for (size_t i = 0; e->config && i < e->config->n_endpoints; i++) {
		if (e->config->endpoints[i].id == a->id)
			r = &e->config->endpoints[i];
	}
	a->record = r;
	a->same_zone = r && names_equal(r->zone, e->zone);
	a->same_region = r && names_equal(r->region, e->region);
	a->service = 0;
	for (size_t i = 0; r && i < e->config->n_services; i++) {
		if (names_equal(e->config->services[i].name, r->service))
			a->service = e->config->services[i].id;
	}
}

void pf_agents_configure(struct pf_entry *e)
{
	for (uint32_t i = 0; i < e->n_agents; i++)
		apply_config(e, &e->agents[i]);
}

static void reset_agent(struct pf_entry *e, struct pf_entry_agent *a,
			uint64_t id)
{
	struct pf_entry_agent clean = {
		.id = id,
		.in_flight_head = PF_NIL,
		.items = a->items,
		.items_scratch = a->items_scratch,
		.prefix_hints = a->prefix_hints,
	};

	*a = clean;
	memset(a->prefix_hints, 0,
	       e->opts.prefixes_max * sizeof(*a->prefix_hints));
	apply_config(e, a);
}

/* A slot for a new agent, or PF_NIL; evicts an idle one without session. */
static uint32_t alloc_slot(struct pf_entry *e)
{
	if (e->n_agents < e->opts.agents_max)
		return e->n_agents++;
	for (uint32_t i = 0; i < e->n_agents; i++) {
		if (e->agents[i].linked || e->agents[i].in_flight)
			continue;
		pf_map_del(&e->agent_map, pf_key1(e->agents[i].id));
		return i;
	}
	return PF_NIL;
}

uint32_t pf_agents_get(struct pf_entry *e, uint64_t id)
{
	uint32_t i = pf_agents_find(e, id);

	if (i != PF_NIL)
		return i;
	i = alloc_slot(e);
	if (i == PF_NIL)
		return PF_NIL;
	reset_agent(e, &e->agents[i], id);
	(void)pf_map_put(&e->agent_map, pf_key1(id), i);
	return i;
}

void pf_agents_link_up(struct pf_entry *e, uint32_t agent_slot,
		       uint64_t incarnation)
{
	struct pf_entry_agent *a = &e->agents[agent_slot];

	if (a->incarnation != incarnation) {
		double budget = a->retry_budget;

		reset_agent(e, a, a->id);
		a->retry_budget = budget;
		a->incarnation = incarnation;
	}
	a->linked = true;
	a->closing = false;
}

static int compare_item_ids(const void *a, const void *b)
{
	const struct pf_entry_agent_item *x = a, *y = b;

	return x->id < y->id ? -1 : x->id > y->id;
}

static struct pf_entry_agent_item *find_item(const struct pf_entry_agent *a,
					     uint64_t id)
{
	struct pf_entry_agent_item k = { .id = id };

	return bsearch(&k, a->items, a->n_items, sizeof(k), compare_item_ids);
}

const struct pf_entry_agent_item *
pf_agents_find_item(const struct pf_entry_agent *a, uint64_t id)
{
	return find_item(a, id);
}

static void apply_items(struct pf_entry *e, struct pf_entry_agent *a,
			const struct pf_report *r)
{
	struct pf_entry_agent_item *items = a->items_scratch;
	uint32_t n = 0, active = 0;

	for (uint32_t i = 0; i < r->n_items && n < e->opts.items_max; i++) {
		const struct pf_entry_agent_item *old =
			pf_agents_find_item(a, r->items[i].id);
		bool same_state = old && old->state == r->items[i].state;

		items[n].id = r->items[i].id;
		items[n].state = r->items[i].state;
		items[n].running = r->items[i].running;
		active += r->items[i].running > 0;
		items[n++].state_since = same_state ? old->state_since : e->now;
	}
	qsort(items, n, sizeof(*items), compare_item_ids);
	a->items_scratch = a->items;
	a->items = items;
	a->n_items = n;
	a->n_running_models = active;
}

/*
 * The agent accepted @n_accepted tries since the last report: the new one is
 * taken to include as many of the oldest own tries that were unreported. A try
 * unreported for longer than report_stale was lost in transit.
 */
static void update_unreported(struct pf_entry *e, struct pf_entry_agent *a,
			      uint32_t n_accepted)
{
	uint32_t keep =
		a->n_unreported > n_accepted ? a->n_unreported - n_accepted : 0;

	a->n_unreported = 0;
	for (uint32_t i = a->in_flight_head; i != PF_NIL; i = e->reqs[i].next) {
		struct pf_request *r = &e->reqs[i];

		r->unreported = r->unreported && a->n_unreported < keep &&
				e->now - r->sent_at <= e->opts.report_stale;
		a->n_unreported += r->unreported;
	}
}

static void apply_load(struct pf_entry *e, struct pf_entry_agent *a,
		       const struct pf_report *r)
{
	update_unreported(e, a,
			  a->has_report ? r->started - a->reported_started
					: r->started);
	a->reported_started = r->started;
	a->reported_load = r->running + r->queued;
	a->reported_queued = r->queued;
	a->ended_since_report = 0;
}

bool pf_agents_apply_report(struct pf_entry *e, uint32_t agent_slot,
			    const struct pf_report *r)
{
	struct pf_entry_agent *a = &e->agents[agent_slot];

	if (!a->linked || r->incarnation != a->incarnation ||
	    (a->has_report && r->seq <= a->report_seq))
		return false;
	apply_load(e, a, r);
	apply_items(e, a, r);
	a->report_seq = r->seq;
	a->report_at = e->now;
	a->has_report = true;
	a->ready = r->ready;
	/* Final: only a new incarnation of the agent takes work again. */
	a->leaving = a->leaving || r->leaving;
	a->batch_max = r->batch_max ? r->batch_max : 1;
	a->kv_free = r->kv_free;
	a->step_ms = r->step_ms;
	a->token_prefill_ms = r->token_prefill_ms;
	return true;
}

void pf_agents_add_try(struct pf_entry *e, uint32_t agent_slot, uint32_t slot)
{
	struct pf_entry_agent *a = &e->agents[agent_slot];
	struct pf_request *r = &e->reqs[slot];
	struct pf_entry_agent_item *item;

	r->prev = PF_NIL;
	r->next = a->in_flight_head;
	if (a->in_flight_head != PF_NIL)
		e->reqs[a->in_flight_head].prev = slot;
	a->in_flight_head = slot;
	r->unreported = true;
	a->in_flight++;
	a->n_unreported++;
	item = find_item(a, r->work.model);
	if (item && item->running++ == 0)
		a->n_running_models++;
}

void pf_agents_remove_try(struct pf_entry *e, uint32_t agent_slot,
			  uint32_t slot)
{
	struct pf_entry_agent *a = &e->agents[agent_slot];
	struct pf_request *r = &e->reqs[slot];

	if (r->prev == PF_NIL)
		a->in_flight_head = r->next;
	else
		e->reqs[r->prev].next = r->next;
	if (r->next != PF_NIL)
		e->reqs[r->next].prev = r->prev;
	a->in_flight--;
	if (r->unreported)
		a->n_unreported--;
	else
		a->ended_since_report++;
}

uint32_t pf_agents_load(const struct pf_entry_agent *a)
{
	uint32_t all = a->reported_load + a->n_unreported;
	uint32_t load =
		all > a->ended_since_report ? all - a->ended_since_report : 0;

	return load > a->in_flight ? load : a->in_flight;
}

/* Whether tries queue there for memory, although the batch has room. */
static bool queue_full(const struct pf_entry *e, const struct pf_entry_agent *a)
{
	uint32_t depth = e->opts.depth ? e->opts.depth : 1;

	return a->reported_queued > 0 && a->reported_queued + a->n_unreported >=
						 depth + a->ended_since_report;
}

bool pf_agents_has_room(const struct pf_entry *e,
			const struct pf_entry_agent *a)
{
	if (queue_full(e, a))
		return false;
	return pf_agents_load(a) < a->batch_max + e->opts.depth;
}

bool pf_agents_report_fresh(const struct pf_entry *e,
			    const struct pf_entry_agent *a)
{
	return e->now - a->report_at <= e->opts.report_stale;
}

void pf_agents_set_unable(struct pf_entry *e, uint32_t agent_slot,
			  uint32_t group, pf_ms until)
{
	struct pf_entry_agent *a = &e->agents[agent_slot];
	uint32_t oldest = 0;

	for (uint32_t i = 0; i < PF_UNABLE_MAX; i++) {
		if (a->unable[i].group == group) {
			oldest = i;
			break;
		}
		if (a->unable[i].until < a->unable[oldest].until)
			oldest = i;
	}
	a->unable[oldest].group = group;
	a->unable[oldest].until = until;
}

bool pf_agents_is_unable(const struct pf_entry *e,
			 const struct pf_entry_agent *a, uint32_t group)
{
	for (uint32_t i = 0; i < PF_UNABLE_MAX; i++) {
		if (a->unable[i].group == group && a->unable[i].until > e->now)
			return true;
	}
	return false;
}

void pf_agents_add_prefix_hint(struct pf_entry *e, struct pf_entry_agent *a,
			       uint64_t prefix)
{
	if (prefix)
		a->prefix_hints[prefix % e->opts.prefixes_max] = prefix;
}

bool pf_agents_has_prefix_hint(const struct pf_entry *e,
			       const struct pf_entry_agent *a, uint64_t prefix)
{
	return prefix &&
	       a->prefix_hints[prefix % e->opts.prefixes_max] == prefix;
}
