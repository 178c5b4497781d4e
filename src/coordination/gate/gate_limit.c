/*
 * Limits: an endpoint in need names in its answers how many requests a second
 * it takes from all gateways together. Each gateway keeps a token bucket for
 * the whole limit and takes out its own sends and those that the others report.
 * Reports come late, so only so many gateways use an endpoint at a time that
 * even one burst of each stays within what is tolerated.
 */
#include "src/coordination/gate/gate_core.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* An endpoint that names less still gets a request now and then, as only its
 * answers tell when the limit ends. */
#define LIMIT_MIN_PER_S 0.1
/* Without an answer for this long, nothing is known. */
#define LIMIT_KEEP_MS 60000
/* After this, a request may find out whether it has ended. */
#define LIMIT_NEW_MS 5000
/* Peers are unknown at first; they may use the whole limit. */
#define START_MS 2000
/* Tokens that one gateway may send at once: 1 and what the limit allows in this
 * time, so that a high limit is used up between two ticks. */
#define BURST_S 0.1
/* Beyond four seconds of the limit, bursts of all gateways together: 5 and half
 * as much again are tolerated, and one is left for gateways that disagree. */
#define TOLERATED_S 2
#define TOLERATED 4
/* Until a send is known to the others. */
#define SLOT_MS 150
/* Gateways that may use an endpoint in a slot on average, as a share of those
 * that may at most: their number varies. */
#define DRAWN_USERS 0.4
#define DRAWS 100000
/* How often an unchanged limit is reported. */
#define REPORT_MS 2000

int gate_limits_init(struct pf_gate *g)
{
	g->limits = calloc(g->opts.endpoints_max, sizeof(*g->limits));
	if (!g->limits)
		return -1;
	return pf_map_init(&g->limits_by_incarnation, g->opts.endpoints_max);
}

void gate_limits_free(struct pf_gate *g)
{
	free(g->limits);
	pf_map_free(&g->limits_by_incarnation);
}

static struct gate_limit *find_limit(const struct pf_gate *g,
				     uint64_t incarnation)
{
	uint32_t slot;

	if (g->n_limits == 0 || pf_map_get(&g->limits_by_incarnation,
					   pf_key1(incarnation), &slot) < 0)
		return NULL;
	return &g->limits[slot];
}

/* The slot of a new limit; the one that was named longest ago is forgotten if
 * all are used. */
static struct gate_limit *take_slot(struct pf_gate *g)
{
	struct gate_limit *oldest = &g->limits[0];
	uint32_t i;

	PF_INVARIANT("the table of limits is allocated", oldest != NULL);
	if (g->n_limits < g->opts.endpoints_max)
		return &g->limits[g->n_limits++];
	for (i = 1; i < g->n_limits; i++) {
		if (g->limits[i].named_at < oldest->named_at)
			oldest = &g->limits[i];
	}
	(void)pf_map_del(&g->limits_by_incarnation,
			 pf_key1(oldest->incarnation));
	return oldest;
}

static struct gate_limit *find_or_add_limit(struct pf_gate *g,
					    uint64_t incarnation)
{
	struct gate_limit *l = find_limit(g, incarnation);

	if (l)
		return l;
	l = take_slot(g);
	*l = (struct gate_limit){ .incarnation = incarnation, .per_s = -1 };
	(void)pf_map_put(&g->limits_by_incarnation, pf_key1(incarnation),
			 (uint32_t)(l - g->limits));
	return l;
}

static bool is_in_force(const struct pf_gate *g, const struct gate_limit *l)
{
	return l->per_s >= 0 && g->now - l->named_at < LIMIT_KEEP_MS;
}

static double rate_of(const struct gate_limit *l)
{
	return fmax(l->per_s, LIMIT_MIN_PER_S);
}

static double burst_of(const struct gate_limit *l)
{
	return 1 + BURST_S * rate_of(l);
}

static double tolerated(const struct gate_limit *l)
{
	return TOLERATED + TOLERATED_S * rate_of(l);
}

static double level_now(const struct pf_gate *g, const struct gate_limit *l)
{
	double s = (double)(g->now - l->filled_at) / 1000;

	return fmin(l->level + rate_of(l) * s, burst_of(l));
}

static void fill(struct pf_gate *g, struct gate_limit *l)
{
	l->level = level_now(g, l);
	l->filled_at = g->now;
}

static void take(struct pf_gate *g, struct gate_limit *l, uint32_t n)
{
	fill(g, l);
	l->level = fmax(l->level - n, -tolerated(l));
}

/* @at: when this was known to hold. */
static void set_limit(struct pf_gate *g, struct gate_limit *l, double per_s,
		      pf_ms at)
{
	if (l->per_s < 0) {
		l->level = 0;
		l->filled_at = g->now;
	} else {
		fill(g, l);
	}
	l->per_s = per_s;
	l->named_at = at;
	l->level = fmin(l->level, burst_of(l));
}

/*
 * Whether this gateway may use the endpoint now. If there are more gateways than
 * may use the same token, each may in some slots of time, so that in a slot only
 * a few do, and each one does at times.
 */
static bool may_use(const struct pf_gate *g, const struct gate_limit *l)
{
	double users = floor(tolerated(l) / burst_of(l));
	uint64_t slot = (uint64_t)(g->now / SLOT_MS);
	uint64_t draw = pf_id2(pf_id2(g->opts.self, l->incarnation), slot);
	uint32_t gates = 1 + gate_peers_live(g);

	if (g->now - g->started_at < START_MS)
		return false;
	return gates <= users || (double)(draw % DRAWS) * gates <
					 DRAWS * fmax(users * DRAWN_USERS, 1);
}

void gate_limit_named(struct pf_gate *g, uint64_t endpoint, int64_t incarnation,
		      double per_s, pf_ms sent_at)
{
	uint64_t hashed = pf_id2(endpoint, (uint64_t)incarnation);
	struct gate_limit *l = find_limit(g, hashed);

	if (!l && per_s < 0)
		return;
	if (!l)
		l = find_or_add_limit(g, hashed);
	/* Requests that were sent before may have been answered before. */
	if ((per_s < 0) != (l->per_s < 0) && sent_at < l->named_at)
		return;
	if (per_s != l->per_s)
		l->reports_due = 2;
	l->heard = per_s >= 0;
	set_limit(g, l, per_s, g->now);
}

double pf_gate_limit_of(const struct pf_gate *g, pf_ms now, uint64_t endpoint,
			int64_t incarnation)
{
	const struct gate_limit *l =
		find_limit(g, pf_id2(endpoint, (uint64_t)incarnation));

	return l && now - l->named_at < LIMIT_KEEP_MS ? l->per_s : -1;
}

bool pf_gate_has_limit(const struct pf_gate *g, uint64_t endpoint,
		       int64_t incarnation)
{
	return find_limit(g, pf_id2(endpoint, (uint64_t)incarnation)) != NULL;
}

bool gate_limit_is_new(const struct pf_gate *g, const struct gate_endpoint *e)
{
	const struct gate_limit *l = find_limit(g, e->incarnation);

	return l && is_in_force(g, l) && g->now - l->named_at < LIMIT_NEW_MS;
}

bool gate_limit_holds(struct pf_gate *g, const struct gate_endpoint *e)
{
	const struct gate_limit *l = find_limit(g, e->incarnation);

#ifdef PF_MUTANT_GATE_LIMIT
	return false;
#endif
	return l && is_in_force(g, l) &&
	       (level_now(g, l) < 1 || !may_use(g, l));
}

pf_ms gate_limit_room_at(struct pf_gate *g, const struct gate_endpoint *e)
{
	const struct gate_limit *l = find_limit(g, e->incarnation);
	double missing;

	if (!l || !is_in_force(g, l))
		return 0;
	missing = 1 - level_now(g, l);
	if (missing > 0)
		return g->now + (pf_ms)ceil(missing / rate_of(l) * 1000);
	return may_use(g, l) ? 0 : g->now + SLOT_MS;
}

void gate_limit_sent(struct pf_gate *g, const struct gate_endpoint *e)
{
	struct gate_limit *l = find_limit(g, e->incarnation);

	if (!l || !is_in_force(g, l))
		return;
	take(g, l, 1);
	l->own_sent++;
	l->reports_due = 2;
}

/* Whether @l must be reported now. */
static bool is_report_due(const struct gate_limit *l, pf_ms now)
{
	return now - l->named_at < LIMIT_KEEP_MS &&
	       (l->reports_due ||
		(l->heard && now - l->reported_at >= REPORT_MS));
}

uint32_t pf_gate_limits(struct pf_gate *g, pf_ms now, struct pf_gate_limit *out)
{
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i < g->n_limits && n < PF_GATE_LIMITS_MAX; i++) {
		struct gate_limit *l =
			&g->limits[(g->next_limit + i) % g->n_limits];

		if (!is_report_due(l, now))
			continue;
		if (l->reports_due)
			l->reports_due--;
		l->heard = false;
		l->reported_at = now;
		out[n++] = (struct pf_gate_limit){
			.incarnation = l->incarnation,
			.per_s = l->per_s,
			.age_ms = (uint32_t)(now - l->named_at),
			.sent = l->own_sent,
		};
	}
	/* The rest comes first in the next report. */
	g->next_limit += i;
	return n;
}

/* What the peer reported last of the limit in @slot, or NULL without memory. */
static struct gate_peer_limit *peer_limit(struct gate_peer *p, uint32_t slot)
{
	struct gate_peer_limit *v;

	if (slot < p->n_limits)
		return &p->limits[slot];
	v = realloc(p->limits, (slot + 1) * sizeof(*v));
	if (!v)
		return NULL;
	memset(v + p->n_limits, 0, (slot + 1 - p->n_limits) * sizeof(*v));
	p->limits = v;
	p->n_limits = slot + 1;
	return &v[slot];
}

/* Sends of the peer to the endpoint since its last report. */
static uint32_t new_sends(struct gate_peer *p, uint32_t slot,
			  const struct pf_gate_limit *v)
{
	struct gate_peer_limit *last = peer_limit(p, slot);
	uint32_t before;

	if (!last)
		return 0;
	if (last->incarnation != v->incarnation) {
		*last = (struct gate_peer_limit){ v->incarnation, v->sent };
		/* The others may be long ago. */
		return v->sent > 0;
	}
	before = last->sent;
	last->sent = v->sent;
	return v->sent > before ? v->sent - before : 0;
}

void gate_limits_reported(struct pf_gate *g, uint64_t peer,
			  const struct pf_gate_limit *v, uint32_t n)
{
	struct gate_peer *p = gate_peer_heard(g, peer);
	uint32_t sends;
	uint32_t i;

	for (i = 0; i < n; i++) {
		struct gate_limit *l = find_limit(g, v[i].incarnation);
		pf_ms at = g->now - (pf_ms)v[i].age_ms;

		if (!l && v[i].per_s < 0)
			continue;
		if (!l)
			l = find_or_add_limit(g, v[i].incarnation);
		if (at > l->named_at)
			set_limit(g, l, v[i].per_s, at);
		sends = new_sends(p, (uint32_t)(l - g->limits), &v[i]);
		if (l->per_s >= 0)
			take(g, l, sends);
	}
}
