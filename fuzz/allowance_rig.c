/* Gateways with allowance cores in virtual time. */
#include "fuzz/allowance_rig.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define ZONE_DIGEST_MS 120
#define REGION_DIGEST_MS 240
#define REMOTE_DIGEST_MS 720
/* All intervals are multiples. */
#define DIGEST_STEP_MS 10
#define REMOTE_DELAY_MS 12
#define ZONES 6

static void on_act(void *ctx, const struct pf_allowance_act *act);

static bool is_running(const struct allowance_rig *r, uint32_t i)
{
	return r->gateways[i].core && r->gateways[i].frozen_until <= r->now;
}

static void step(struct allowance_rig *r, uint32_t i,
		 const struct pf_allowance_msg *m)
{
	const struct pf_allowance_sink sink = { on_act, r };

	r->acting = i;
	pf_allowance_step(r->gateways[i].core, r->now, m, &sink);
}

static void send(struct allowance_rig *r, struct rig_message m)
{
	const struct rig_gateway *from = &r->gateways[m.from];
	const struct rig_gateway *to = &r->gateways[m.to];
	uint32_t delay = from->region != to->region
				 ? REMOTE_DELAY_MS
				 : 1 + pf_rng_below(&r->rng, 3);
	struct rig_message *copy;
	struct rig_message **slot;

	if (from->part != to->part || pf_rng_unit(&r->rng) < r->loss)
		return;
	copy = malloc(sizeof(*copy));
	if (!copy)
		return;
	*copy = m;
	delay += from->slow + to->slow;
	slot = &r->ring[(r->now + delay) % RIG_RING_MS];
	copy->next = *slot;
	*slot = copy;
}

static void admit(struct allowance_rig *r, const struct rig_request *q)
{
	struct rig_account *a = &r->accounts[q->account];

	if (a->n == a->cap) {
		a->cap = a->cap ? 2 * a->cap : 1024;
		a->v = realloc(a->v, a->cap * sizeof(*a->v));
	}
	a->v[a->n++] = (struct rig_admission){ r->now, q->weight, q->gateway };
	a->admitted += q->weight;
}

static void end_request(struct allowance_rig *r, struct rig_request *q,
			bool admitted)
{
	struct rig_account *a = &r->accounts[q->account];
	struct rig_request **at = &r->waiting;

	if (admitted)
		admit(r, q);
	else
		a->n_rejected++;
	a->n_waited += r->now > q->arrived_at;
	a->wait_ms += (uint64_t)(r->now - q->arrived_at);
	while (*at != q)
		at = &(*at)->next;
	*at = q->next;
	free(q);
}

static uint32_t find_gateway(const struct allowance_rig *r, uint64_t key)
{
	uint32_t i;

	for (i = 0; i < r->n_gateways && r->gateways[i].key != key; i++)
		;
	return i;
}

static void on_act(void *ctx, const struct pf_allowance_act *act)
{
	struct allowance_rig *r = ctx;
	struct rig_message m = { .from = r->acting };

	switch (act->type) {
	case PF_ALLOWANCE_ADMIT:
		end_request(r, act->ctx, true);
		break;
	case PF_ALLOWANCE_REJECT:
		end_request(r, act->ctx, false);
		break;
	case PF_ALLOWANCE_SEND_ASK:
		m.type = PF_ALLOWANCE_ASKED;
		m.u.ask = *act->u.ask;
		m.to = find_gateway(r, act->to);
		r->n_messages++;
		send(r, m);
		break;
	case PF_ALLOWANCE_SEND_GRANT:
		m.type = PF_ALLOWANCE_GRANTED;
		m.u.grant = *act->u.grant;
		m.to = find_gateway(r, act->to);
		r->n_messages++;
		send(r, m);
		break;
	case PF_ALLOWANCE_MODE_CHANGED:
		break;
	}
}

static void deliver(struct allowance_rig *r, const struct rig_message *in)
{
	struct pf_allowance_msg m = { .type = in->type };

	switch (in->type) {
	case PF_ALLOWANCE_PEER:
		m.u.peer.key = r->gateways[in->from].key;
		m.u.peer.id = in->id;
		break;
	case PF_ALLOWANCE_ASKED:
		m.u.asked.from = r->gateways[in->from].key;
		m.u.asked.ask = &in->u.ask;
		break;
	default:
		m.u.granted.from = r->gateways[in->from].key;
		m.u.granted.grant = &in->u.grant;
		break;
	}
	step(r, in->to, &m);
}

static void deliver_due(struct allowance_rig *r)
{
	struct rig_message *m = r->ring[r->now % RIG_RING_MS];

	r->ring[r->now % RIG_RING_MS] = NULL;
	while (m) {
		struct rig_message *next = m->next;
		struct rig_gateway *to = &r->gateways[m->to];

		if (to->core && to->frozen_until > r->now) {
			m->next = to->inbox;
			to->inbox = m;
		} else {
			if (to->core)
				deliver(r, m);
			free(m);
		}
		m = next;
	}
}

static void thaw(struct allowance_rig *r, uint32_t i)
{
	struct rig_message *m = r->gateways[i].inbox;

	r->gateways[i].inbox = NULL;
	while (m) {
		struct rig_message *next = m->next;

		if (r->gateways[i].core)
			deliver(r, m);
		free(m);
		m = next;
	}
}

/* @at: time in steps of DIGEST_STEP_MS, with an offset for each pair. */
static bool digest_is_due(const struct rig_gateway *from,
			  const struct rig_gateway *to, uint32_t at)
{
	if (to->region != from->region)
		return at % (REMOTE_DIGEST_MS / DIGEST_STEP_MS) == 0;
	if (to->zone != from->zone)
		return at % (REGION_DIGEST_MS / DIGEST_STEP_MS) == 0;
	return at % (ZONE_DIGEST_MS / DIGEST_STEP_MS) == 0;
}

static void send_digests(struct allowance_rig *r, uint32_t i)
{
	const struct rig_gateway *g = &r->gateways[i];
	uint32_t at = (uint32_t)(r->now / DIGEST_STEP_MS) + i * 7;
	struct rig_message m = { .from = i,
				 .type = PF_ALLOWANCE_PEER,
				 .id = g->id };

	if (!g->read_rows || r->now % DIGEST_STEP_MS != i % DIGEST_STEP_MS)
		return;
	for (m.to = 0; m.to < r->n_gateways; m.to++) {
		if (m.to != i &&
		    digest_is_due(g, &r->gateways[m.to], at + m.to))
			send(r, m);
	}
}

static void tick_gateway(struct allowance_rig *r, uint32_t i)
{
	static const struct pf_allowance_msg tick = {
		.type = PF_ALLOWANCE_TICK
	};
	struct rig_gateway *g = &r->gateways[i];

	if (!is_running(r, i))
		return;
	if (g->inbox)
		thaw(r, i);
	send_digests(r, i);
	if (pf_allowance_next(g->core) <= r->now ||
	    r->now % DIGEST_STEP_MS == i % DIGEST_STEP_MS)
		step(r, i, &tick);
}

static uint32_t choose_gateway(struct allowance_rig *r,
			       const struct rig_account *a)
{
	uint32_t i = pf_rng_below(&r->rng, r->n_gateways);
	uint32_t k;

	if (a->callers == RIG_AT_ONE)
		i = r->n_gateways / 2;
	else if (a->callers == RIG_MOVING)
		i = (uint32_t)(r->now / 2000) * 7 % r->n_gateways;
	/* The balancer avoids gateways that are not ready. */
	for (k = 0; k < r->n_gateways && !is_running(r, i); k++)
		i = (i + 1) % r->n_gateways;
	return i;
}

/* What one bucket with the whole knowledge would do. */
static void offer_ideal(struct allowance_rig *r, struct rig_account *a,
			uint32_t weight)
{
	a->ideal_level += (double)(r->now - a->ideal_at) / 1000 *
			  a->config.limit.rate_per_s;
	a->ideal_at = r->now;
	if (a->ideal_level > a->config.limit.burst)
		a->ideal_level = a->config.limit.burst;
	if (a->ideal_level <= 0)
		return;
	a->ideal_level -= weight;
	a->ideal += weight;
}

static void arrive(struct allowance_rig *r, uint32_t i)
{
	struct rig_account *a = &r->accounts[i];
	struct pf_allowance_msg m = { .type = PF_ALLOWANCE_REQUEST };
	struct rig_request *q = calloc(1, sizeof(*q));
	uint32_t g = choose_gateway(r, a);
	double mean = (a->weight_min + a->weight_max) / 2.0;

	a->next_at = r->now + (pf_ms)(-log(1 - pf_rng_unit(&r->rng)) * mean *
				      1000 / a->demand);
	if (!q || !is_running(r, g)) {
		free(q);
		return;
	}
	*q = (struct rig_request){ .next = r->waiting,
				   .gateway = g,
				   .account = i,
				   .arrived_at = r->now };
	q->weight = a->weight_min +
		    pf_rng_below(&r->rng, a->weight_max - a->weight_min + 1);
	r->waiting = q;
	a->offered += q->weight;
	offer_ideal(r, a, q->weight);
	m.u.request.ctx = q;
	m.u.request.account = a->config.id;
	m.u.request.weight = q->weight;
	m.u.request.objective = pf_rng_below(&r->rng, 2) ? 200 : 1000;
	step(r, g, &m);
}

void rig_run(struct allowance_rig *r, pf_ms span)
{
	pf_ms end = r->now + span;
	uint32_t i;

	for (; r->now < end; r->now++) {
		deliver_due(r);
		for (i = 0; i < r->n_gateways; i++)
			tick_gateway(r, i);
		for (i = 0; i < r->n_accounts; i++) {
			while (r->accounts[i].next_at <= r->now)
				arrive(r, i);
		}
	}
}

static void configure(struct allowance_rig *r, uint32_t i)
{
	struct pf_client_account v[RIG_ACCOUNTS_MAX];
	struct pf_allowance_msg m = { .type = PF_ALLOWANCE_LIMITS };
	uint32_t k;

	for (k = 0; k < r->n_accounts; k++)
		v[k] = r->accounts[k].config;
	m.u.limits.v = v;
	m.u.limits.n = r->n_accounts;
	step(r, i, &m);
}

void rig_configure(struct allowance_rig *r)
{
	uint32_t i;

	for (i = 0; i < r->n_gateways; i++) {
		if (r->gateways[i].core)
			configure(r, i);
	}
}

void rig_read_rows(struct allowance_rig *r, uint32_t i)
{
	struct pf_allowance_msg m = { .type = PF_ALLOWANCE_PEER };
	uint32_t k;

	r->gateways[i].read_rows = true;
	for (k = 0; k < r->n_gateways; k++) {
		m.u.peer.key = pf_id2(77, k);
		step(r, i, &m);
	}
	m.type = PF_ALLOWANCE_ROSTER_READ;
	step(r, i, &m);
}

void rig_start(struct allowance_rig *r, uint32_t i)
{
	struct rig_gateway *g = &r->gateways[i];
	struct pf_allowance_opts o;

	pf_allowance_opts_default(&o);
	g->id = ++r->next_id;
	g->key = pf_id2(77, i);
	o.self = g->id;
	o.key = g->key;
	o.seed = g->id;
	o.window = r->window;
	o.over = r->over;
	o.slack = r->slack;
	g->core = pf_allowance_new(&o);
	g->frozen_until = 0;
	g->read_rows = !r->store_is_away;
	if (g->read_rows)
		rig_read_rows(r, i);
	configure(r, i);
}

void rig_kill(struct allowance_rig *r, uint32_t i)
{
	struct rig_gateway *g = &r->gateways[i];
	struct rig_request **at = &r->waiting;

	pf_allowance_free(g->core);
	g->core = NULL;
	thaw(r, i);
	while (*at) {
		struct rig_request *q = *at;

		if (q->gateway != i) {
			at = &q->next;
			continue;
		}
		*at = q->next;
		free(q);
	}
}

void allowance_rig_init(struct allowance_rig *r, uint32_t n_gateways,
			uint64_t seed)
{
	uint32_t i;

	memset(r, 0, sizeof(*r));
	pf_rng_seed(&r->rng, seed);
	r->now = 1000000;
	r->window = 8000;
	r->over = 0.1;
	r->slack = 72000;
	r->loss = 0.01;
	r->next_id = seed * 1000;
	r->n_gateways = n_gateways;
	for (i = 0; i < n_gateways; i++) {
		r->gateways[i].region = i % 2;
		r->gateways[i].zone = i % ZONES;
		rig_start(r, i);
	}
}

struct rig_account *rig_add_account(struct allowance_rig *r, double rate,
				    double burst, double demand)
{
	struct rig_account *a = &r->accounts[r->n_accounts++];

	a->config.id = pf_id2(r->n_accounts, r->next_id);
	a->config.limit.unit = PF_ALLOWANCE_TOKENS;
	a->config.limit.rate_per_s = rate;
	a->config.limit.burst = burst;
	a->demand = demand;
	a->weight_min = 700;
	a->weight_max = 9200;
	a->next_at = r->now;
	a->ideal_at = r->now;
	rig_configure(r);
	return a;
}

void allowance_rig_free(struct allowance_rig *r)
{
	uint32_t i;

	for (i = 0; i < r->n_gateways; i++)
		rig_kill(r, i);
	for (i = 0; i < RIG_RING_MS; i++) {
		while (r->ring[i]) {
			struct rig_message *m = r->ring[i];

			r->ring[i] = m->next;
			free(m);
		}
	}
	for (i = 0; i < r->n_accounts; i++)
		free(r->accounts[i].v);
}

uint32_t rig_home(const struct allowance_rig *r, uint32_t account)
{
	uint64_t id = r->accounts[account].config.id;
	struct pf_allowance_view v;
	uint32_t i, k;

	for (i = 0; i < r->n_gateways; i++) {
		for (k = 0;
		     r->gateways[i].core &&
		     pf_allowance_view(r->gateways[i].core, r->now, k, &v);
		     k++) {
			if (v.account == id && v.mode == PF_ALLOWANCE_MODE_HOME)
				return i;
		}
	}
	return 0;
}

void rig_refund_last(struct allowance_rig *r, struct rig_account *a)
{
	struct pf_allowance_msg m = { .type = PF_ALLOWANCE_REFUND };
	struct rig_admission *v = &a->v[a->n - 1];

	if (!v->weight || !is_running(r, v->gateway))
		return;
	m.u.charge.account = a->config.id;
	m.u.charge.weight = v->weight;
	step(r, v->gateway, &m);
	a->admitted -= v->weight;
	v->weight = 0;
}

void rig_count_from_now(struct allowance_rig *r)
{
	uint32_t i;

	for (i = 0; i < r->n_accounts; i++) {
		struct rig_account *a = &r->accounts[i];

		a->offered = a->admitted = a->ideal = 0;
		a->n_rejected = a->n_waited = 0;
		a->wait_ms = 0;
	}
}

double rig_usable(const struct rig_account *a)
{
	return a->ideal > 0 ? a->admitted / a->ideal : 1;
}

uint32_t rig_windows_over(const struct allowance_rig *r,
			  const struct rig_account *a, pf_ms from, double *most)
{
	double limit = (a->config.limit.rate_per_s * (double)r->window / 1000 +
			a->config.limit.burst) *
			       (1 + r->over) +
		       r->slack;
	uint32_t first = 0;
	uint32_t n_over = 0;
	double sum = 0;
	uint32_t i;

	*most = 0;
	for (i = 0; i < a->n; i++) {
		sum += a->v[i].weight;
		while (a->v[first].at <= a->v[i].at - r->window ||
		       (a->v[first].at < from && first < i))
			sum -= a->v[first++].weight;
		if (a->v[i].at < from)
			continue;
		n_over += sum > limit;
		if (sum / limit > *most)
			*most = sum / limit;
	}
	return n_over;
}
