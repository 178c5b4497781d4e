/* Demand: bursty arrivals per model, heavy-tailed prompt and output lengths. */
#include "bench/bench.h"
#include "bench/figures.h"

#include <math.h>
#include <stdlib.h>

struct model_demand {
	double weight; /* fraction of the mean demand */
	bool bursting;
	pf_ms state_until; /* next change of bursting */
};

struct demand {
	const struct bench_opts *opts;
	struct pf_rng *rng;
	struct model_demand *models;
	uint32_t *callers; /* by class: index into pf_config::callers */
	double requests_per_ms; /* mean */
};

static double exponential(struct pf_rng *r, double mean)
{
	return -mean * log(1 - pf_rng_unit(r));
}

/* Pareto distributed with the given mean, capped at @max. */
static uint32_t pareto_length(struct pf_rng *r, uint32_t mean, uint32_t max)
{
	double low = mean * (LENGTH_PARETO_SHAPE - 1) / LENGTH_PARETO_SHAPE;
	double v = low / pow(1 - pf_rng_unit(r), 1 / LENGTH_PARETO_SHAPE);

	if (v < 1)
		return 1;
	return v > max ? max : (uint32_t)v;
}

static uint32_t caller_index(const struct pf_config *c, const char *name)
{
	for (uint32_t i = 0; i < c->n_callers; i++)
		if (pf_str_eq(pf_str_c(c->callers[i].name), pf_str_c(name)))
			return i;
	abort();
}

static double mean_output(const struct bench_opts *o)
{
	double sum = 0;

	for (const struct demand_class *k = o->classes; k->caller; k++)
		sum += k->request_share * k->output_mean;
	return sum;
}

struct demand *demand_new(const struct bench_opts *o, struct pf_rng *r)
{
	struct demand *d = calloc(1, sizeof(*d));
	double sum = 0, tokens_per_ms = 0;
	uint32_t n = 0;

	if (!d)
		abort();
	d->opts = o;
	d->rng = r;
	d->models = calloc(o->config->n_models, sizeof(*d->models));
	while (o->classes[n].caller)
		n++;
	d->callers = calloc(n, sizeof(*d->callers));
	if (!d->models || !d->callers)
		abort();
	for (uint32_t i = 0; i < n; i++)
		d->callers[i] = caller_index(o->config, o->classes[i].caller);
	/* Popularity follows a shuffled Zipf law. */
	for (size_t i = 0; i < o->config->n_models; i++) {
		size_t j = pf_rng_below(r, (uint32_t)i + 1);

		d->models[i].weight = d->models[j].weight;
		d->models[j].weight =
			1 / pow((double)i + 1, MODEL_ZIPF_EXPONENT);
	}
	for (size_t i = 0; i < o->config->n_models; i++)
		sum += d->models[i].weight;
	for (size_t i = 0; i < o->config->n_models; i++)
		d->models[i].weight /= sum;
	for (size_t i = 0; i < o->config->n_endpoints; i++) {
		uint32_t batch = o->config->endpoints[i].batch_max;

		if (o->config->endpoints[i].kind == PF_ENDPOINT_ENGINE)
			tokens_per_ms += batch / (STEP_BASE_MS +
						  STEP_SEQUENCE_MS * batch);
	}
	d->requests_per_ms = o->load_factor * tokens_per_ms / mean_output(o);
	return d;
}

void demand_free(struct demand *d)
{
	free(d->models);
	free(d->callers);
	free(d);
}

/* The model's demand at @now as a fraction of the mean total demand. */
static double current_weight(struct demand *d, struct model_demand *m,
			     pf_ms now)
{
	while (now >= m->state_until) {
		m->bursting = m->state_until
				      ? !m->bursting
				      : pf_rng_unit(d->rng) <
						BURST_HIGH_MS / (BURST_HIGH_MS +
								 BURST_LOW_MS);
		m->state_until +=
			1 + (pf_ms)exponential(d->rng, m->bursting
							       ? BURST_HIGH_MS
							       : BURST_LOW_MS);
	}
	return m->weight * (m->bursting ? BURST_HIGH_FACTOR : BURST_LOW_FACTOR);
}

static const struct pf_model *pick_model(struct demand *d, pf_ms now,
					 double *total)
{
	const struct pf_config *c = d->opts->config;
	double at;
	size_t i;

	*total = 0;
	for (i = 0; i < c->n_models; i++)
		*total += current_weight(d, &d->models[i], now);
	at = pf_rng_unit(d->rng) * *total;
	for (i = 0; i + 1 < c->n_models; i++) {
		at -= current_weight(d, &d->models[i], now);
		if (at < 0)
			break;
	}
	return &c->models[i];
}

/* Half of the requests use a random adapter of the model. */
static uint64_t pick_adapter(struct demand *d, const struct pf_model *m)
{
	const struct pf_config *c = d->opts->config;
	uint32_t seen = 0;
	uint64_t pick = 0;

	if (pf_rng_below(d->rng, 2))
		return 0;
	for (size_t i = 0; i < c->n_adapters; i++)
		if (c->adapters[i].model_name_id == m->name_id &&
		    pf_rng_below(d->rng, ++seen) == 0)
			pick = c->adapters[i].id;
	return pick;
}

static void set_objectives(const struct pf_caller *c, pf_ms at,
			   struct pf_work *w)
{
	w->caller = c->id;
	w->priority = c->priority;
	w->arrived = at;
	w->first_token_objective = at + c->first_token_objective_ms;
	w->token_gap_objective_ms = c->token_gap_objective_ms;
	w->answer_objective =
		c->answer_objective_ms ? at + c->answer_objective_ms : PF_NEVER;
	w->deadline = at + c->deadline_ms;
	if (c->deferrable)
		w->flags |= PF_WORK_DEFERRABLE;
}

pf_ms demand_next(struct demand *d, pf_ms now, struct request *r)
{
	const struct demand_class *k = d->opts->classes;
	const struct pf_model *m;
	double total, draw = pf_rng_unit(d->rng);
	uint32_t class = 0;
	pf_ms at;

	m = pick_model(d, now, &total);
	at = now + (pf_ms)exponential(d->rng, 1 / (d->requests_per_ms * total));
	while (k[class + 1].caller && draw >= k[class].request_share)
		draw -= k[class ++].request_share;
	*r = (struct request){ .caller = d->callers[class] };
	r->arrived_at = at;
	r->output_tokens = pareto_length(d->rng, k[class].output_mean,
					 k[class].output_max);
	r->work.model = m->id;
	r->work.adapter = pick_adapter(d, m);
	r->work.prompt_tokens = pareto_length(d->rng, k[class].prompt_mean,
					      k[class].prompt_mean * 4);
	r->work.max_tokens = d->opts->policy->clairvoyant ? r->output_tokens
							  : k[class].max_tokens;
	r->work.prefix = pf_id2(m->id, pf_rng_below(d->rng, 8) + 1);
	r->work.fingerprint = pf_id2(m->id, (uint64_t)at);
	set_objectives(&d->opts->config->callers[r->caller], at, &r->work);
	return at;
}
