/* Table of agents. */
#include "src/coordination/entry_agents.h"

#include <stdlib.h>
#include <string.h>

int pf_peers_init(struct pf_entry *e)
{
	const struct pf_entry_opts *o = &e->opts;

	e->peers = calloc(o->agents_max, sizeof(*e->peers));
	e->candidates = calloc(o->agents_max, sizeof(*e->candidates));
	if (!e->peers || !e->candidates ||
	    pf_map_init(&e->peer_map, o->agents_max))
		return -1;
	for (uint32_t i = 0; i < o->agents_max; i++) {
		struct pf_peer *p = &e->peers[i];

		p->items = calloc(o->items_max, sizeof(*p->items));
		p->items_scratch = calloc(o->items_max, sizeof(*p->items));
		p->prefix_hints =
			calloc(o->prefixes_max, sizeof(*p->prefix_hints));
		if (!p->items || !p->items_scratch || !p->prefix_hints)
			return -1;
	}
	return 0;
}

void pf_peers_free(struct pf_entry *e)
{
	for (uint32_t i = 0; e->peers && i < e->opts.agents_max; i++) {
		free(e->peers[i].items);
		free(e->peers[i].items_scratch);
		free(e->peers[i].prefix_hints);
	}
	free(e->peers);
	free(e->candidates);
	pf_map_free(&e->peer_map);
}

uint32_t pf_peers_find(const struct pf_entry *e, uint64_t id)
{
	uint32_t i;

	return pf_map_get(&e->peer_map, pf_key1(id), &i) ? PF_NIL : i;
}

static bool same(const char *a, const char *b)
{
	return a && b && strcmp(a, b) == 0;
}

static void configure(struct pf_entry *e, struct pf_peer *p)
{
	const struct pf_endpoint *r = NULL;

	for (size_t i = 0; e->config && i < e->config->n_endpoints; i++) {
		if (e->config->endpoints[i].id == p->id)
			r = &e->config->endpoints[i];
	}
	p->record = r;
	p->same_zone = r && same(r->zone, e->zone);
	p->same_region = r && same(r->region, e->region);
	p->service = 0;
	for (size_t i = 0; r && i < e->config->n_services; i++) {
		if (same(e->config->services[i].name, r->service))
			p->service = e->config->services[i].id;
	}
}

void pf_peers_configure(struct pf_entry *e)
{
	for (uint32_t i = 0; i < e->n_peers; i++)
		configure(e, &e->peers[i]);
}

static void reset(struct pf_entry *e, struct pf_peer *p, uint64_t id)
{
	struct pf_peer clean = {
		.id = id,
		.inflight_head = PF_NIL,
		.items = p->items,
		.items_scratch = p->items_scratch,
		.prefix_hints = p->prefix_hints,
	};

	*p = clean;
	memset(p->prefix_hints, 0,
	       e->opts.prefixes_max * sizeof(*p->prefix_hints));
	configure(e, p);
}

static uint32_t take_slot(struct pf_entry *e)
{
	if (e->n_peers < e->opts.agents_max)
		return e->n_peers++;
	for (uint32_t i = 0; i < e->n_peers; i++) {
		if (e->peers[i].linked || e->peers[i].inflight)
			continue;
		pf_map_del(&e->peer_map, pf_key1(e->peers[i].id));
		return i;
	}
	return PF_NIL;
}

uint32_t pf_peers_get(struct pf_entry *e, uint64_t id)
{
	uint32_t i = pf_peers_find(e, id);

	if (i != PF_NIL)
		return i;
	i = take_slot(e);
	if (i == PF_NIL)
		return PF_NIL;
	reset(e, &e->peers[i], id);
	(void)pf_map_put(&e->peer_map, pf_key1(id), i);
	return i;
}

void pf_peers_up(struct pf_entry *e, uint32_t peer, uint64_t incarnation)
{
	struct pf_peer *p = &e->peers[peer];

	if (p->incarnation != incarnation) {
		double budget = p->retry_budget;

		reset(e, p, p->id);
		p->retry_budget = budget;
		p->incarnation = incarnation;
	}
	p->linked = true;
}

static int by_id(const void *a, const void *b)
{
	const struct pf_peer_item *x = a, *y = b;

	return x->id < y->id ? -1 : x->id > y->id;
}

static struct pf_peer_item *find_item(const struct pf_peer *p, uint64_t id)
{
	struct pf_peer_item k = { .id = id };

	return bsearch(&k, p->items, p->n_items, sizeof(k), by_id);
}

const struct pf_peer_item *pf_peers_item(const struct pf_peer *p, uint64_t id)
{
	return find_item(p, id);
}

static void take_items(struct pf_entry *e, struct pf_peer *p,
		       const struct pf_report *r)
{
	struct pf_peer_item *v = p->items_scratch;
	uint32_t n = 0, active = 0;

	for (uint32_t i = 0; i < r->n_items && n < e->opts.items_max; i++) {
		const struct pf_peer_item *old =
			pf_peers_item(p, r->items[i].id);
		bool kept = old && old->state == r->items[i].state;

		v[n].id = r->items[i].id;
		v[n].state = r->items[i].state;
		v[n].running = r->items[i].running;
		active += r->items[i].running > 0;
		v[n++].state_since = kept ? old->state_since : e->now;
	}
	qsort(v, n, sizeof(*v), by_id);
	p->items_scratch = p->items;
	p->items = v;
	p->n_items = n;
	p->n_running_models = active;
}

/*
 * Own tries that the agent has not taken in yet stay counted: the newest ones,
 * less as many as it has taken in since the last report. A try that stays
 * unseen for long was lost on its way.
 */
static void see(struct pf_entry *e, struct pf_peer *p, uint32_t taken)
{
	uint32_t keep = p->n_unreported > taken ? p->n_unreported - taken : 0;

	p->n_unreported = 0;
	for (uint32_t i = p->inflight_head; i != PF_NIL; i = e->reqs[i].next) {
		struct pf_request *r = &e->reqs[i];

		r->unreported = r->unreported && p->n_unreported < keep &&
				e->now - r->sent_at <= e->opts.report_stale;
		p->n_unreported += r->unreported;
	}
}

static void take_load(struct pf_entry *e, struct pf_peer *p,
		      const struct pf_report *r)
{
	see(e, p,
	    p->has_report ? r->started - p->reported_started : r->started);
	p->reported_started = r->started;
	p->reported_load = r->running + r->queued;
	p->reported_queued = r->queued;
	p->ended_since_report = 0;
}

bool pf_peers_report(struct pf_entry *e, uint32_t peer,
		     const struct pf_report *r)
{
	struct pf_peer *p = &e->peers[peer];

	if (!p->linked || r->incarnation != p->incarnation ||
	    (p->has_report && r->seq <= p->report_seq))
		return false;
	take_load(e, p, r);
	take_items(e, p, r);
	p->report_seq = r->seq;
	p->report_at = e->now;
	p->has_report = true;
	p->ready = r->ready;
	/* Once leaving, only a new incarnation takes work again. */
	p->leaving = p->leaving || r->leaving;
	p->batch_max = r->batch_max ? r->batch_max : 1;
	p->kv_free = r->kv_free;
	p->step_ms = r->step_ms;
	p->token_prefill_ms = r->token_prefill_ms;
	return true;
}

void pf_peers_sent(struct pf_entry *e, uint32_t peer, uint32_t slot)
{
	struct pf_peer *p = &e->peers[peer];
	struct pf_request *r = &e->reqs[slot];
	struct pf_peer_item *item;

	r->prev = PF_NIL;
	r->next = p->inflight_head;
	if (p->inflight_head != PF_NIL)
		e->reqs[p->inflight_head].prev = slot;
	p->inflight_head = slot;
	r->unreported = true;
	p->inflight++;
	p->n_unreported++;
	item = find_item(p, r->work.model);
	if (item && item->running++ == 0)
		p->n_running_models++;
}

void pf_peers_ended(struct pf_entry *e, uint32_t peer, uint32_t slot)
{
	struct pf_peer *p = &e->peers[peer];
	struct pf_request *r = &e->reqs[slot];

	if (r->prev == PF_NIL)
		p->inflight_head = r->next;
	else
		e->reqs[r->prev].next = r->next;
	if (r->next != PF_NIL)
		e->reqs[r->next].prev = r->prev;
	p->inflight--;
	if (r->unreported)
		p->n_unreported--;
	else
		p->ended_since_report++;
}

uint32_t pf_peers_load(const struct pf_peer *p)
{
	uint32_t all = p->reported_load + p->n_unreported;
	uint32_t load =
		all > p->ended_since_report ? all - p->ended_since_report : 0;

	return load > p->inflight ? load : p->inflight;
}

/* Tries that wait there for memory, although the batch has room. */
static bool congested(const struct pf_entry *e, const struct pf_peer *p)
{
	uint32_t depth = e->opts.depth ? e->opts.depth : 1;

	return p->reported_queued > 0 && p->reported_queued + p->n_unreported >=
						 depth + p->ended_since_report;
}

bool pf_peers_room(const struct pf_entry *e, const struct pf_peer *p)
{
	if (congested(e, p))
		return false;
	return pf_peers_load(p) < p->batch_max + e->opts.depth;
}

bool pf_peers_fresh(const struct pf_entry *e, const struct pf_peer *p)
{
	return e->now - p->report_at <= e->opts.report_stale;
}

void pf_peers_unable(struct pf_entry *e, uint32_t peer, uint32_t group,
		     pf_ms until)
{
	struct pf_peer *p = &e->peers[peer];
	uint32_t oldest = 0;

	for (uint32_t i = 0; i < PF_UNABLE_MAX; i++) {
		if (p->unable[i].group == group) {
			oldest = i;
			break;
		}
		if (p->unable[i].until < p->unable[oldest].until)
			oldest = i;
	}
	p->unable[oldest].group = group;
	p->unable[oldest].until = until;
}

bool pf_peers_is_unable(const struct pf_entry *e, const struct pf_peer *p,
			uint32_t group)
{
	for (uint32_t i = 0; i < PF_UNABLE_MAX; i++) {
		if (p->unable[i].group == group && p->unable[i].until > e->now)
			return true;
	}
	return false;
}

void pf_peers_prefix_add(struct pf_entry *e, struct pf_peer *p, uint64_t prefix)
{
	if (prefix)
		p->prefix_hints[prefix % e->opts.prefixes_max] = prefix;
}

bool pf_peers_prefix_has(const struct pf_entry *e, const struct pf_peer *p,
			 uint64_t prefix)
{
	return prefix &&
	       p->prefix_hints[prefix % e->opts.prefixes_max] == prefix;
}
