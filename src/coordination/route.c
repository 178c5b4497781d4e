/*
 * Routing policies. PF_ROUTE_LOWEST_COST estimates the time in ms at each agent
 * able to serve and takes the least; the others are baselines over the same
 * agents.
 */
#include "src/coordination/route.h"

#include "src/coordination/backlog.h"
#include "src/coordination/catalog.h"
#include "src/coordination/entry_agents.h"

/* Assumed load times. */
#define MODEL_LOAD_MS 20000.0
#define ADAPTER_LOAD_MS 10.0
/* Latency of an agent in another zone or region. */
#define OTHER_ZONE_MS 1.0
#define OTHER_REGION_MS 24.0
/* Added to a request's time by each other sequence in its batch. */
#define SEQUENCE_SLOWDOWN_MS 4.0
/* Service time of a try, when none was measured. */
#define DEFAULT_SERVICE_MS 2000.0
/*
 * An agent that runs this many models gets another one only for a request that
 * has waited for this share of the time to its first-token objective.
 */
#define BATCH_MODELS_MAX 3
#define MIX_WAIT_SHARE 0.7
/* Assumed time to that objective, when a request has none. */
#define DEFAULT_FIRST_TOKEN_MS 10000.0
/* Time of a decode step, when none was reported or nothing runs. */
#define DEFAULT_STEP_MS 25.0
/* Added to a step by a further model in the batch. */
#define EXTRA_MODEL_STEP_MS 14.0
/* Weight of that delay for each try that it slows down. */
#define NEIGHBOUR_WEIGHT 0.1
/* Prefill time per token, when none was reported. */
#define DEFAULT_PREFILL_TOKEN_MS 0.2
/* Share of the prompt that a cached prefix is assumed to cover. */
#define PREFIX_HIT_SHARE 0.7
/* Wait for others to finish, when KV memory is short. */
#define KV_WAIT_MS 1000.0
/* Bytes on the region link per token of prompt and of streamed output. */
#define PROMPT_TOKEN_BYTES 5.0
#define OUTPUT_TOKEN_BYTES 48.0
/* Maximum link budget, as the bytes that accrue in this time. */
#define LINK_BURST_MS 2000.0

enum residency { MODEL_ABSENT, MODEL_LOADING, MODEL_RESIDENT };

/* The agents able to serve, in pf_entry.candidates. */
struct candidate_set {
	uint32_t n;
	uint32_t best_rank; /* the highest, see agent_rank() */
	/* Among those with the best rank. */
	bool any_same_region;
	bool any_not_avoided;
};

pf_ms pf_route_model_load_ms(void)
{
	return (pf_ms)MODEL_LOAD_MS;
}

static bool accepts_work(const struct pf_entry_agent *a)
{
	if (!a->linked || a->closing || !a->has_report || !a->ready ||
	    !a->record)
		return false;
#ifndef PF_MUTANT_SEND_TO_LEAVING
	if (a->leaving)
		return false;
#endif
	return true;
}

static bool owns_shard(const struct pf_entry_agent *a, uint64_t shard)
{
	const struct pf_entry_agent_item *i = pf_agents_find_item(a, shard);

	return i && i->state == PF_ITEM_RESIDENT;
}

static bool can_serve(const struct pf_entry *e, const struct pf_entry_agent *a,
		      const struct pf_request *r)
{
	const struct pf_group *g = &e->groups[r->group];
	bool plain = r->work.flags & PF_WORK_PLAIN;

	if (!accepts_work(a) || pf_agents_is_unable(e, a, r->group))
		return false;
	if (plain != (a->record->kind == PF_ENDPOINT_PLAIN))
		return false;
	if (!plain)
		return true;
	return a->service == g->model && (!g->shard || owns_shard(a, g->shard));
}

static enum residency model_residency(const struct pf_entry *e,
				      const struct pf_entry_agent *a,
				      const struct pf_request *r)
{
	const struct pf_group *g = &e->groups[r->group];
	const struct pf_entry_agent_item *i;

	if ((r->work.flags & PF_WORK_PLAIN) ||
	    e->opts.route == PF_ROUTE_LEAST_LOAD_ANY)
		return MODEL_RESIDENT;
	i = pf_agents_find_item(a, g->model);
	if (i && i->state == PF_ITEM_RESIDENT)
		return MODEL_RESIDENT;
	if (i && i->state == PF_ITEM_LOADING)
		return MODEL_LOADING;
	if (g->loading_agent_slot == (uint32_t)(a - e->agents) &&
	    g->loading_until > e->now)
		return MODEL_LOADING;
	return MODEL_ABSENT;
}

static bool is_avoided(const struct pf_entry *e, const struct pf_request *r,
		       uint32_t agent_slot)
{
	for (int i = 0; i < PF_AVOID_MAX; i++) {
		if (r->avoid[i].agent_slot == agent_slot &&
		    r->avoid[i].until > e->now)
			return true;
	}
	return false;
}

static double link_bytes_per_ms(const struct pf_entry *e)
{
	double kbit = e->config ? e->config->deployment.link_kbit : 0;

	/* 1 kbit/s is 1 bit/ms. */
	return kbit / 8 * e->opts.link_share;
}

static void refill_link_budget(struct pf_entry *e)
{
	double rate = link_bytes_per_ms(e);

	e->link_budget_bytes += rate * (double)(e->now - e->link_refilled_at);
	if (e->link_budget_bytes > rate * LINK_BURST_MS)
		e->link_budget_bytes = rate * LINK_BURST_MS;
	e->link_refilled_at = e->now;
}

static double link_bytes(const struct pf_entry *e, const struct pf_request *r)
{
	return r->work.prompt_tokens * PROMPT_TOKEN_BYTES +
	       pf_backlog_output_tokens(e, r) * OUTPUT_TOKEN_BYTES;
}

/* Higher is better: residency (rank / 2) first, then a fresh report. */
static uint32_t agent_rank(const struct pf_entry *e,
			   const struct pf_entry_agent *a,
			   const struct pf_request *r)
{
	return 2 * model_residency(e, a, r) + pf_agents_report_fresh(e, a);
}

/* Collects the agents able to serve, with or without room. */
static struct candidate_set collect_candidates(struct pf_entry *e,
					       const struct pf_request *r)
{
	struct candidate_set set = { 0 };

	for (uint32_t i = 0; i < e->n_agents; i++) {
		const struct pf_entry_agent *a = &e->agents[i];
		struct pf_candidate *c = &e->candidates[set.n];

		if (!can_serve(e, a, r))
			continue;
		set.n++;
		c->agent_slot = i;
		c->rank = agent_rank(e, a, r);
		if (c->rank > set.best_rank) {
			set.best_rank = c->rank;
			set.any_same_region = false;
			set.any_not_avoided = false;
		}
		if (c->rank < set.best_rank)
			continue;
		set.any_same_region = set.any_same_region || a->same_region;
		set.any_not_avoided =
			set.any_not_avoided || !is_avoided(e, r, i);
	}
	return set;
}

static double loading_cost_ms(const struct pf_entry *e,
			      const struct pf_entry_agent *a,
			      const struct pf_request *r, enum residency state)
{
	const struct pf_entry_agent_item *i;
	double remaining = MODEL_LOAD_MS;

	if (state == MODEL_ABSENT)
		return remaining;
	if (state == MODEL_LOADING) {
		i = pf_agents_find_item(a, r->work.model);
		if (i)
			remaining -= (double)(e->now - i->state_since);
		return remaining > 0 ? remaining : ADAPTER_LOAD_MS;
	}
	if (!r->work.adapter || (r->work.flags & PF_WORK_PLAIN))
		return 0;
	i = pf_agents_find_item(a, r->work.adapter);
	if (!i || i->state == PF_ITEM_ABSENT || i->state == PF_ITEM_UNLOADING)
		return ADAPTER_LOAD_MS;
	return i->state == PF_ITEM_LOADING ? ADAPTER_LOAD_MS / 2 : 0;
}

static double wait_cost_ms(const struct pf_entry_agent *a)
{
	double load = pf_agents_load(a);
	double service = a->service_ms > 0 ? a->service_ms : DEFAULT_SERVICE_MS;
	double cost = load * SEQUENCE_SLOWDOWN_MS;

	if (load >= a->batch_max)
		cost += (load - a->batch_max + 1) * service / a->batch_max;
	return cost;
}

static double kv_cost_ms(const struct pf_entry *e,
			 const struct pf_entry_agent *a,
			 const struct pf_request *r)
{
	const struct pf_model *m = pf_catalog_model(e, r->work.model);
	double need;

	if (!m)
		return 0;
	need = (double)m->kv_token_bytes *
	       (r->work.prompt_tokens + pf_backlog_output_tokens(e, r));
	return need > (double)a->kv_free ? KV_WAIT_MS : 0;
}

/*
 * Decode time at the agent's step time. If the model does not run there yet,
 * it slows down its own steps and those of the others in the batch.
 */
static double decode_cost_ms(const struct pf_entry *e,
			     const struct pf_entry_agent *a,
			     const struct pf_request *r)
{
	const struct pf_entry_agent_item *i =
		pf_agents_find_item(a, r->work.model);
	double step = a->step_ms > 0 ? a->step_ms : DEFAULT_STEP_MS;
	uint32_t load = pf_agents_load(a);

	if (load == 0)
		step = DEFAULT_STEP_MS;
	else if (!i || i->running == 0)
		step += EXTRA_MODEL_STEP_MS * (1 + NEIGHBOUR_WEIGHT * load);
	return step * pf_backlog_output_tokens(e, r);
}

static double total_cost_ms(const struct pf_entry *e,
			    const struct pf_entry_agent *a,
			    const struct pf_request *r, enum residency state)
{
	double prefill = a->token_prefill_ms > 0 ? a->token_prefill_ms
						 : DEFAULT_PREFILL_TOKEN_MS;
	double c = wait_cost_ms(a) + loading_cost_ms(e, a, r, state) +
		   kv_cost_ms(e, a, r);

	prefill *= r->work.prompt_tokens;
	if (pf_agents_has_prefix_hint(e, a, r->work.prefix))
		prefill *= 1 - PREFIX_HIT_SHARE;
	c += prefill + decode_cost_ms(e, a, r);
	if (!a->same_region)
		c += OTHER_REGION_MS;
	else if (!a->same_zone)
		c += OTHER_ZONE_MS;
	return c;
}

/*
 * While there is time, a request waits for an agent that already runs its
 * model rather than slow down a batch of several models further.
 */
static bool waits_for_better_batch(const struct pf_entry *e,
				   const struct pf_entry_agent *a,
				   const struct pf_request *r)
{
	const struct pf_entry_agent_item *i =
		pf_agents_find_item(a, r->work.model);
	double first_token_ms = DEFAULT_FIRST_TOKEN_MS;

	if (e->opts.route != PF_ROUTE_LOWEST_COST ||
	    a->n_running_models < BATCH_MODELS_MAX)
		return false;
	if (!i || i->running > 0)
		return false;
	if (r->work.first_token_objective != PF_NEVER)
		first_token_ms = (double)(r->work.first_token_objective -
					  r->work.arrived);
	return (double)(e->now - r->work.arrived) <
	       first_token_ms * MIX_WAIT_SHARE;
}

static bool is_eligible(const struct pf_entry *e, const struct pf_request *r,
			const struct pf_candidate *c,
			const struct candidate_set *set)
{
	const struct pf_entry_agent *a = &e->agents[c->agent_slot];

	if (c->rank < set->best_rank || !pf_agents_has_room(e, a))
		return false;
	if (set->any_not_avoided && is_avoided(e, r, c->agent_slot))
		return false;
	if (waits_for_better_batch(e, a, r))
		return false;
	return a->same_region || !set->any_same_region ||
	       e->link_budget_bytes >= link_bytes(e, r);
}

static double policy_cost(const struct pf_entry *e, const struct pf_request *r,
			  const struct pf_candidate *c)
{
	const struct pf_entry_agent *a = &e->agents[c->agent_slot];

	/* A crash at the least loaded agent loses the fewest tries. */
	if (r->work.flags & PF_WORK_SUSPECT)
		return pf_agents_load(a);
	if (e->opts.route == PF_ROUTE_LOWEST_COST)
		return total_cost_ms(e, a, r, c->rank / 2);
	return (double)a->reported_load / a->batch_max;
}

/* Keeps the candidates that can get the try now; sets their costs. */
static uint32_t filter_candidates(struct pf_entry *e,
				  const struct pf_request *r,
				  const struct candidate_set *set)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < set->n; i++) {
		struct pf_candidate c = e->candidates[i];

		if (!is_eligible(e, r, &c, set))
			continue;
		c.cost = policy_cost(e, r, &c);
		e->candidates[n++] = c;
	}
	return n;
}

static uint32_t cheapest(const struct pf_entry *e, uint32_t n)
{
	uint32_t best = 0;

	for (uint32_t i = 1; i < n; i++) {
		if (e->candidates[i].cost < e->candidates[best].cost)
			best = i;
	}
	return e->candidates[best].agent_slot;
}

static uint32_t better_of_two(struct pf_entry *e, uint32_t n)
{
	const struct pf_candidate *a = &e->candidates[pf_rng_below(&e->rng, n)];
	const struct pf_candidate *b = &e->candidates[pf_rng_below(&e->rng, n)];

	return b->cost < a->cost ? b->agent_slot : a->agent_slot;
}

static uint32_t choose_by_policy(struct pf_entry *e, const struct pf_request *r,
				 uint32_t n)
{
	if (r->work.flags & PF_WORK_SUSPECT)
		return cheapest(e, n);
	switch (e->opts.route) {
	case PF_ROUTE_ROUND_ROBIN:
		return e->candidates[e->round_robin_turn++ % n].agent_slot;
	case PF_ROUTE_TWO_CHOICES:
		return better_of_two(e, n);
	case PF_ROUTE_LEAST_LOAD:
	case PF_ROUTE_LEAST_LOAD_ANY:
	case PF_ROUTE_LOWEST_COST:
		break;
	}
	return cheapest(e, n);
}

struct pf_route_choice pf_route_pick(struct pf_entry *e,
				     const struct pf_request *r)
{
	struct pf_route_choice c = { PF_NIL, false };
	struct candidate_set set = collect_candidates(e, r);
	uint32_t n;

	refill_link_budget(e);
	n = filter_candidates(e, r, &set);
	if (n == 0)
		return c;
	c.agent_slot = choose_by_policy(e, r, n);
	c.needs_load = set.best_rank / 2 != MODEL_RESIDENT;
	return c;
}

bool pf_route_has_other_agent(struct pf_entry *e, const struct pf_request *r)
{
	struct candidate_set set = collect_candidates(e, r);

	for (uint32_t i = 0; i < set.n; i++) {
		const struct pf_candidate *c = &e->candidates[i];

		if (c->agent_slot != r->agent_slot &&
		    c->rank / 2 == set.best_rank / 2)
			return true;
	}
	return false;
}

bool pf_route_model_resident(struct pf_entry *e, const struct pf_request *r)
{
	return collect_candidates(e, r).best_rank / 2 == MODEL_RESIDENT;
}

void pf_route_record_try(struct pf_entry *e, const struct pf_request *r,
			 const struct pf_route_choice *c)
{
	struct pf_entry_agent *a = &e->agents[c->agent_slot];
	struct pf_group *g = &e->groups[r->group];

	pf_agents_add_prefix_hint(e, a, r->work.prefix);
	if (!a->same_region)
		e->link_budget_bytes -= link_bytes(e, r);
	/* Others that wait for the model go where it is being loaded. */
	if (c->needs_load && g->loading_until <= e->now) {
		g->loading_agent_slot = c->agent_slot;
		g->loading_until = e->now + (pf_ms)MODEL_LOAD_MS;
	}
}
