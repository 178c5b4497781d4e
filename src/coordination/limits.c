/* Limits of callers, retry budgets and refusal on overload. */
#include "src/coordination/limits.h"

#include "src/coordination/backlog.h"
#include "src/coordination/catalog.h"

#include <stdlib.h>

/* Initial retry budget of a caller and of an agent. */
#define RETRY_BUDGET_INITIAL 10.0
#define RETRY_BUDGET_MAX 100.0
/* Bounds of the retry-after. */
#define RETRY_AFTER_MIN_MS 100
#define RETRY_AFTER_MAX_MS 60000
/* A request may always wait 1/N of the time to its objective. */
#define MIN_WAIT_DIVISOR 4
/* Retry-after when no wait can be estimated. */
#define RETRY_AFTER_DEFAULT_MS 1000

int pf_limits_init(struct pf_entry *e)
{
	e->accounts = calloc(e->opts.callers_max, sizeof(*e->accounts));
	if (!e->accounts)
		return -1;
	return pf_map_init(&e->account_map, e->opts.callers_max);
}

void pf_limits_free(struct pf_entry *e)
{
	free(e->accounts);
	pf_map_free(&e->account_map);
}

static uint32_t find_free_account(const struct pf_entry *e)
{
	for (uint32_t i = 0; i < e->opts.callers_max; i++) {
		if (!e->accounts[i].in_use)
			return i;
	}
	return PF_NIL;
}

static void sync_account(struct pf_entry *e, const struct pf_caller *c)
{
	struct pf_account *a;
	uint32_t i;

	if (pf_map_get(&e->account_map, pf_key1(c->id), &i) == 0) {
		e->accounts[i].record = c;
		return;
	}
	i = find_free_account(e);
	if (i == PF_NIL)
		return;
	a = &e->accounts[i];
	*a = (struct pf_account){
		.id = c->id,
		.record = c,
		.rate_tokens = c->burst,
		.refilled_at = e->now,
		.retry_budget = RETRY_BUDGET_INITIAL,
		.in_use = true,
	};
	(void)pf_map_put(&e->account_map, pf_key1(c->id), i);
}

static bool is_declared(const struct pf_config *c, uint64_t id)
{
	for (size_t i = 0; c && i < c->n_callers; i++) {
		if (c->callers[i].id == id)
			return true;
	}
	return false;
}

void pf_limits_configure(struct pf_entry *e)
{
	for (uint32_t i = 0; i < e->opts.callers_max; i++) {
		struct pf_account *a = &e->accounts[i];

		a->record = NULL;
		if (!a->in_use || a->n_requests ||
		    is_declared(e->config, a->id))
			continue;
		pf_map_del(&e->account_map, pf_key1(a->id));
		a->in_use = false;
	}
	for (size_t i = 0; e->config && i < e->config->n_callers; i++)
		sync_account(e, &e->config->callers[i]);
}

static struct pf_refusal make_refusal(enum pf_reason reason, pf_ms retry_after)
{
	return (struct pf_refusal){ reason, retry_after };
}

static pf_ms clamp_retry_after(double ms)
{
	if (ms < RETRY_AFTER_MIN_MS)
		return RETRY_AFTER_MIN_MS;
	return ms < RETRY_AFTER_MAX_MS ? (pf_ms)ms : RETRY_AFTER_MAX_MS;
}

/* Adds up to 50%, so that refused callers do not all retry at once. */
static pf_ms jittered_retry_after(struct pf_entry *e, double ms)
{
	return clamp_retry_after(ms * (1 + pf_rng_unit(&e->rng) / 2));
}

static struct pf_refusal take_rate_token(struct pf_entry *e,
					 struct pf_account *a)
{
	const struct pf_caller *c = a->record;
	double cap = c->burst ? c->burst : 1;

	if (c->rate <= 0)
		return make_refusal(PF_REASON_NONE, 0);
	a->rate_tokens += (double)(e->now - a->refilled_at) * c->rate / 1000;
	if (a->rate_tokens > cap)
		a->rate_tokens = cap;
	a->refilled_at = e->now;
	if (a->rate_tokens < 1)
		return make_refusal(
			PF_REASON_RATE,
			jittered_retry_after(e, (1 - a->rate_tokens) * 1000 /
							c->rate));
	a->rate_tokens -= 1;
	return make_refusal(PF_REASON_NONE, 0);
}

static bool may_use_model(const struct pf_caller *c, uint64_t name_id)
{
	for (size_t i = 0; i < c->n_models; i++) {
		if (c->models[i] == name_id)
			return true;
	}
	return c->n_models == 0;
}

static enum pf_reason check_request(const struct pf_entry *e,
				    const struct pf_caller *c,
				    const struct pf_work *w)
{
	const struct pf_model *m;

	if (!pf_catalog_declares(e, w))
		return PF_REASON_UNKNOWN_MODEL;
	if (w->flags & PF_WORK_PLAIN)
		return PF_REASON_NONE;
	m = pf_catalog_model(e, w->model);
	if (!may_use_model(c, m->name_id))
		return PF_REASON_UNKNOWN_MODEL;
	if ((uint64_t)w->prompt_tokens + w->max_tokens > m->max_context)
		return PF_REASON_TOO_LONG;
	return PF_REASON_NONE;
}

static void apply_caller_settings(struct pf_work *w, const struct pf_caller *c)
{
	w->priority =
		c->priority < PF_PRIORITIES ? c->priority : PF_PRIORITIES - 1;
	if (c->deferrable)
		w->flags |= PF_WORK_DEFERRABLE;
	if (w->deadline == PF_NEVER && c->deadline_ms > 0)
		w->deadline = pf_ms_add(w->arrived, c->deadline_ms);
}

struct pf_refusal pf_limits_admit(struct pf_entry *e, struct pf_work *w,
				  uint32_t *account)
{
	struct pf_refusal refusal;
	struct pf_account *a;
	const struct pf_caller *c;

	if (!e->config)
		return make_refusal(PF_REASON_NOT_READY,
				    RETRY_AFTER_DEFAULT_MS);
	if (pf_map_get(&e->account_map, pf_key1(w->caller), account))
		return is_declared(e->config, w->caller)
			       ? make_refusal(PF_REASON_FULL,
					      RETRY_AFTER_MAX_MS)
			       : make_refusal(PF_REASON_UNKNOWN_MODEL, 0);
	a = &e->accounts[*account];
	c = a->record;
	if (!c)
		return make_refusal(PF_REASON_UNKNOWN_MODEL, 0);
	refusal.reason = check_request(e, c, w);
	if (refusal.reason != PF_REASON_NONE)
		return make_refusal(refusal.reason, 0);
	if (c->concurrency && a->n_requests >= c->concurrency)
		return make_refusal(
			PF_REASON_CONCURRENCY,
			jittered_retry_after(e, RETRY_AFTER_DEFAULT_MS));
	refusal = take_rate_token(e, a);
	if (refusal.reason != PF_REASON_NONE)
		return refusal;
	apply_caller_settings(w, c);
	a->n_requests++;
	return make_refusal(PF_REASON_NONE, 0);
}

void pf_limits_release(struct pf_entry *e, uint32_t account)
{
	e->accounts[account].n_requests--;
}

/* The latest start that meets @objective; @cost is only a rough estimate. */
static pf_ms latest_start(pf_ms arrived, pf_ms objective, pf_ms cost)
{
	pf_ms min_start = arrived + (objective - arrived) / MIN_WAIT_DIVISOR;

	if (objective == PF_NEVER)
		return PF_NEVER;
	return objective - cost > min_start ? objective - cost : min_start;
}

/* The longest wait that the objectives of @r allow; PF_NEVER: no limit. */
static pf_ms allowed_wait_ms(const struct pf_entry *e,
			     const struct pf_request *r)
{
	const struct pf_work *w = &r->work;
	pf_ms first_token_start =
		latest_start(w->arrived, w->first_token_objective,
			     pf_backlog_first_token_ms(r));
	pf_ms answer_start = latest_start(w->arrived, w->answer_objective,
					  pf_backlog_service_ms(e, r));
	pf_ms start = pf_ms_min(first_token_start, answer_start);

	if (start == PF_NEVER || (w->flags & PF_WORK_DEFERRABLE))
		return PF_NEVER;
	return start > w->arrived ? start - w->arrived : 0;
}

pf_ms pf_limits_retry_after(struct pf_entry *e, uint32_t group, uint8_t prio)
{
	double wait = pf_backlog_expected_wait_ms(e, group, prio);

	return jittered_retry_after(e,
				    wait > 0 ? wait : RETRY_AFTER_DEFAULT_MS);
}

struct pf_refusal pf_limits_check_overload(struct pf_entry *e,
					   const struct pf_request *r)
{
	pf_ms allowed = allowed_wait_ms(e, r);
	double wait;

	if (allowed == PF_NEVER || e->opts.overload_slack <= 0)
		return make_refusal(PF_REASON_NONE, 0);
	wait = pf_backlog_expected_wait_ms(e, r->group, r->work.priority);
	if (wait <= e->opts.overload_slack * (double)allowed)
		return make_refusal(PF_REASON_NONE, 0);
	return make_refusal(PF_REASON_OVERLOAD, jittered_retry_after(e, wait));
}

pf_ms pf_limits_give_up_at(const struct pf_entry *e, const struct pf_request *r)
{
	pf_ms allowed = allowed_wait_ms(e, r);

	if (allowed == PF_NEVER || e->opts.overload_slack <= 0)
		return PF_NEVER;
	return pf_ms_add(r->work.arrived,
			 (pf_ms)(e->opts.overload_slack * (double)allowed));
}

static void credit_retry_budget(double *budget, double ratio)
{
	*budget += ratio;
	if (*budget > RETRY_BUDGET_MAX)
		*budget = RETRY_BUDGET_MAX;
}

void pf_limits_credit_first_try(struct pf_entry *e, uint32_t account,
				uint32_t agent_slot)
{
	credit_retry_budget(&e->accounts[account].retry_budget,
			    e->opts.retry_ratio);
	credit_retry_budget(&e->agents[agent_slot].retry_budget,
			    e->opts.retry_ratio);
}

bool pf_limits_retry_allowed(const struct pf_entry *e, uint32_t account,
			     uint32_t agent_slot)
{
	/* The stored budget of an agent starts at 0. */
	return e->accounts[account].retry_budget >= 1 &&
	       e->agents[agent_slot].retry_budget + RETRY_BUDGET_INITIAL >= 1;
}

bool pf_limits_charge_retry(struct pf_entry *e, uint32_t account,
			    uint32_t agent_slot)
{
	if (!pf_limits_retry_allowed(e, account, agent_slot))
		return false;
	e->accounts[account].retry_budget -= 1;
	e->agents[agent_slot].retry_budget -= 1;
	return true;
}

pf_ms pf_limits_backoff_ms(struct pf_entry *e, uint32_t n)
{
	pf_ms top = e->opts.backoff_min;

	while (n-- > 0 && top < e->opts.backoff_max)
		top *= 2;
	top = pf_ms_min(top, e->opts.backoff_max);
	return top / 2 + (pf_ms)pf_rng_below(&e->rng, (uint32_t)(top / 2 + 1));
}
