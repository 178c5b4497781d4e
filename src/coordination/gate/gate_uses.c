/*
 * How often each prompt part and model is requested and served. Each gateway
 * counts its own requests, and the judges of gate_blame.c also a sample of those
 * of all others.
 */
#include "src/coordination/gate/gate_core.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Requests that all gateways together report to the judges. */
#define REPORTED_PER_S 100
/* Bounds and smoothing of the share of requests with a part. */
#define SHARE_MIN 0.005
#define SHARE_MAX 0.99
#define SHARE_PRIOR 10.0
#define HALVED_MS 15000
/* How often all gateways are told of a part that stays a suspect. */
#define ASK_MS 1000
/* Several gateways, each twice, state the same crash or quarantine. */
#define TELL_MS 500
#define PART_SETS_MIN 256
#define PART_SETS_MAX 16384
/* An entry that is not given up for another part, while the table may grow. */
#define ARRIVALS_KEPT 2
/* In place of a model: all requests, whatever their model. */
#define ALL_MODELS 0

int gate_uses_init(struct pf_gate *g)
{
	g->part_uses = calloc(PART_SETS_MIN, sizeof(*g->part_uses));
	g->n_part_sets = PART_SETS_MIN;
	return g->part_uses ? 0 : -1;
}

void gate_uses_free(struct pf_gate *g)
{
	free(g->part_uses);
	free(g->use_reports);
}

static struct gate_part_use *find_use(const struct pf_gate *g, uint64_t part)
{
	struct gate_part_use *set = g->part_uses[part % g->n_part_sets];
	uint32_t i;

	for (i = 0; i < GATE_PART_WAYS; i++) {
		if (set[i].part == part)
			return &set[i];
	}
	return NULL;
}

static struct gate_part_use *least_used(struct gate_part_use *set)
{
	struct gate_part_use *u = &set[0];
	uint32_t i;

	for (i = 1; i < GATE_PART_WAYS; i++) {
		if (set[i].arrivals < u->arrivals)
			u = &set[i];
	}
	return u;
}

/* Doubles the table; without memory it remains as it is. Entries of a set are
 * spread over two. */
static void grow(struct pf_gate *g)
{
	uint32_t n = g->n_part_sets * 2;
	struct gate_part_use(*sets)[GATE_PART_WAYS] = calloc(n, sizeof(*sets));
	uint32_t i;
	uint32_t k;

	if (!sets)
		return;
	for (i = 0; i < g->n_part_sets; i++) {
		for (k = 0; k < GATE_PART_WAYS; k++) {
			const struct gate_part_use *u = &g->part_uses[i][k];

			if (u->part)
				*least_used(sets[u->part % n]) = *u;
		}
	}
	free(g->part_uses);
	g->part_uses = sets;
	g->n_part_sets = n;
}

static struct gate_part_use *find_or_add_use(struct pf_gate *g, uint64_t part)
{
	struct gate_part_use *u = find_use(g, part);

	if (u)
		return u;
	u = least_used(g->part_uses[part % g->n_part_sets]);
	if (u->arrivals >= ARRIVALS_KEPT && g->n_part_sets < PART_SETS_MAX) {
		grow(g);
		u = least_used(g->part_uses[part % g->n_part_sets]);
	}
	*u = (struct gate_part_use){ .part = part };
	return u;
}

/* The counts of @model; those of a rare one are given up for it if need be. */
static struct gate_model_use *model_use(struct pf_gate *g, uint64_t model)
{
	struct gate_model_use *set = g->model_uses[model % GATE_MODEL_SETS];
	struct gate_model_use *least = &set[0];
	uint32_t i;

	if (model == ALL_MODELS)
		return &g->all_uses;
	for (i = 0; i < GATE_MODEL_WAYS; i++) {
		if (set[i].model == model)
			return &set[i];
		if (set[i].arrivals < least->arrivals)
			least = &set[i];
	}
	*least = (struct gate_model_use){ .model = model };
	return least;
}

static void decay(struct pf_gate *g)
{
	uint32_t i;
	uint32_t k;

	if (g->now - g->uses_decayed_at < HALVED_MS)
		return;
	g->uses_decayed_at = g->now;
	g->all_uses.arrivals /= 2;
	for (i = 0; i < g->n_part_sets; i++)
		for (k = 0; k < GATE_PART_WAYS; k++)
			g->part_uses[i][k].arrivals /= 2;
	for (i = 0; i < GATE_MODEL_SETS; i++)
		for (k = 0; k < GATE_MODEL_WAYS; k++)
			g->model_uses[i][k].arrivals /= 2;
}

static void count_model(struct pf_gate *g, uint64_t model, uint32_t requests)
{
	decay(g);
	g->requests_seen += requests;
	g->all_uses.arrivals += (float)requests;
	model_use(g, model)->arrivals += (float)requests;
}

static void count_served(struct pf_gate *g, uint64_t model, uint32_t requests)
{
	g->all_uses.served += requests;
	model_use(g, model)->served += requests;
}

/* The model whose requests are compared with those of the part. */
static uint64_t compared_model(const struct gate_part_use *u)
{
	return u->several_models ? ALL_MODELS : u->model;
}

static void count_part(struct pf_gate *g, uint64_t part, uint64_t model,
		       uint32_t requests)
{
	struct gate_part_use *u = find_or_add_use(g, part);

	u->arrivals += (float)requests;
	if (!u->model)
		u->model = model;
	if (u->model == model || u->several_models)
		return;
	u->several_models = true;
	u->served_before = g->all_uses.served;
}

static struct gate_use_report *find_or_add_report(struct pf_gate *g,
						  enum pf_gate_evidence_type t,
						  uint64_t part, uint64_t model)
{
	uint32_t i;

	for (i = 0; i < g->n_use_reports; i++) {
		struct gate_use_report *r = &g->use_reports[i];

		if (r->type == t && r->part == part && r->model == model)
			return r;
	}
	if (g->n_use_reports == g->use_reports_cap)
		return NULL;
	g->use_reports[g->n_use_reports] =
		(struct gate_use_report){ t, part, model, 0 };
	return &g->use_reports[g->n_use_reports++];
}

static void add_report(struct pf_gate *g, enum pf_gate_evidence_type t,
		       uint64_t part, uint64_t model)
{
	struct gate_use_report *r = find_or_add_report(g, t, part, model);

	if (r)
		r->requests++;
}

/* Makes room for reports of all parts of @r. Returns 0, or -1 without memory. */
static int reserve_reports(struct pf_gate *g, const struct gate_request *r)
{
	uint32_t cap = g->n_use_reports + r->n_parts + 1;
	struct gate_use_report *v;

	if (cap <= g->use_reports_cap)
		return 0;
	v = realloc(g->use_reports, cap * sizeof(*v));
	if (!v)
		return -1;
	g->use_reports = v;
	g->use_reports_cap = cap;
	return 0;
}

/* Picks requests to report: together, all gateways report the same number a
 * second, however many they are. What doesn't fit into a message with others is
 * reported in several, so that long prompts are not left out. */
static bool is_sampled(struct pf_gate *g, const struct gate_request *r)
{
	if (g->now < g->next_sample_at ||
	    (g->n_use_reports > 0 &&
	     g->n_use_reports + r->n_parts + 1 > PF_GATE_EVIDENCE_MAX) ||
	    reserve_reports(g, r) < 0)
		return false;
	g->next_sample_at = g->now + (pf_ms)(1 + gate_peers_live(g)) * 1000 /
					     REPORTED_PER_S;
	return true;
}

void gate_use_arrival(struct pf_gate *g, struct gate_request *r)
{
	uint32_t i;

	if (r->n_parts == 0)
		return;
	count_model(g, r->model, 1);
	for (i = 0; i < r->n_parts; i++)
		count_part(g, r->parts[i], r->model, 1);
	r->sampled = is_sampled(g, r);
	if (!r->sampled)
		return;
	add_report(g, PF_GATE_EVIDENCE_USE, 0, r->model);
	for (i = 0; i < r->n_parts; i++)
		add_report(g, PF_GATE_EVIDENCE_USE, r->parts[i], r->model);
}

void gate_use_served(struct pf_gate *g, const struct gate_request *r)
{
	if (r->n_parts == 0)
		return;
	count_served(g, r->model, 1);
	if (r->sampled)
		add_report(g, PF_GATE_EVIDENCE_SERVED, 0, r->model);
}

void gate_use_reported(struct pf_gate *g, const struct pf_gate_evidence *e)
{
	if (e->type == PF_GATE_EVIDENCE_SERVED)
		count_served(g, e->model, e->requests);
	else if (e->part)
		count_part(g, e->part, e->model, e->requests);
	else
		count_model(g, e->model, e->requests);
}

uint32_t pf_gate_part_uses(struct pf_gate *g, struct pf_gate_evidence *out)
{
	uint32_t n = g->n_use_reports;
	uint32_t i;

	if (n > PF_GATE_EVIDENCE_MAX)
		n = PF_GATE_EVIDENCE_MAX;
	for (i = 0; i < n; i++)
		out[i] = (struct pf_gate_evidence){
			.type = g->use_reports[i].type,
			.part = g->use_reports[i].part,
			.model = g->use_reports[i].model,
			.requests = g->use_reports[i].requests,
		};
	g->n_use_reports -= n;
	if (g->n_use_reports)
		memmove(g->use_reports, g->use_reports + n,
			g->n_use_reports * sizeof(*g->use_reports));
	return n;
}

double gate_use_share(struct pf_gate *g, uint64_t part)
{
	const struct gate_part_use *u = find_use(g, part);
	double share = ((u ? (double)u->arrivals : 0) + 0.5) /
		       ((double)g->all_uses.arrivals + SHARE_PRIOR);

	return fmin(fmax(share, SHARE_MIN), SHARE_MAX);
}

void gate_use_suspected(struct pf_gate *g, uint64_t part)
{
	struct gate_part_use *u = find_or_add_use(g, part);

	u->served_before = model_use(g, compared_model(u))->served;
}

double gate_use_unserved(struct pf_gate *g, uint64_t part)
{
	const struct gate_part_use *u = find_use(g, part);
	const struct gate_model_use *m;

	if (!u)
		return 0;
	m = model_use(g, compared_model(u));
	if (m->served <= u->served_before)
		return 0;
	return (double)u->arrivals / ((double)m->arrivals + SHARE_PRIOR) *
	       (m->served - u->served_before);
}

bool gate_use_ask(struct pf_gate *g, uint64_t part)
{
	struct gate_part_use *u = find_or_add_use(g, part);

	if (u->asked_at && g->now - u->asked_at < ASK_MS)
		return false;
	u->asked_at = g->now;
	return true;
}

bool gate_use_tell_sound(struct pf_gate *g, uint64_t part, pf_ms began_at,
			 pf_ms since, bool to_all)
{
	struct gate_part_use *u = find_or_add_use(g, part);

	if (u->told_at && g->now - u->told_at < TELL_MS &&
	    u->told_sound_at > since && (u->told_all || !to_all))
		return false;
	u->told_at = g->now;
	u->told_sound_at = began_at;
	u->told_all = to_all;
	return true;
}

pf_ms gate_use_sound_at(struct pf_gate *g, uint64_t part)
{
	const struct gate_part_use *u = find_use(g, part);

	return u ? u->sound_at : 0;
}

void gate_use_sound(struct pf_gate *g, uint64_t part, pf_ms began_at)
{
	struct gate_part_use *u = find_or_add_use(g, part);

	if (u->sound_at < began_at)
		u->sound_at = began_at;
}
