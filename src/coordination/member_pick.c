/* Which agents an entry holds sessions with. */
#include "src/coordination/member_internal.h"

#include <stdlib.h>
#include <string.h>

/* Distances of an entry from an agent; nearer ones hold it first. */
enum distance { SAME_ZONE, SAME_REGION, FAR };

static enum distance distance(const struct pf_member_one *agent, uint64_t zone,
			      uint64_t region)
{
	if (zone == agent->zone)
		return SAME_ZONE;
	return region && region == agent->region ? SAME_REGION : FAR;
}

bool pf_member_counts(const struct pf_member_one *x)
{
	return x->id && x->state != PF_MEMBER_LEAVING &&
	       x->state != PF_MEMBER_GONE;
}

/* Its process has ended; a new one may come in its place at any time. */
static bool may_return(const struct pf_member_one *x)
{
	return !pf_member_counts(x) && !x->up && !x->list_leaving;
}

bool pf_member_find_model(const uint64_t *v, uint32_t n, uint64_t model,
			  uint32_t *at)
{
	uint32_t lo = 0;
	uint32_t hi = n;

	while (lo < hi) {
		uint32_t mid = lo + (hi - lo) / 2;

		if (v[mid] < model)
			lo = mid + 1;
		else
			hi = mid;
	}
	*at = lo;
	return lo < n && v[lo] == model;
}

/* How many entries there are at each distance, and before this one there. */
struct field {
	uint32_t all[3];
	uint32_t before[3];
};

static struct field survey(const struct pf_member *m,
			   const struct pf_member_one *agent)
{
	uint64_t mine = pf_id2(agent->id, m->opts.self);
	struct field f = { 0 };

	f.all[distance(agent, m->opts.zone, m->opts.region)]++;
	for (uint32_t i = 0; i < m->n; i++) {
		const struct pf_member_one *x = &m->v[i];
		enum distance d;

		if (!pf_member_counts(x) || x->role != PF_MEMBER_ENTRY ||
		    x->id == m->opts.self)
			continue;
		d = distance(agent, x->zone, x->region);
		f.all[d]++;
		f.before[d] += pf_id2(agent->id, x->id) < mine;
	}
	return f;
}

static uint32_t least(uint32_t a, uint32_t b)
{
	return a < b ? a : b;
}

/* Whether this entry is among the first to hold @agent. */
static bool holds(const struct pf_member *m, const struct pf_member_one *agent)
{
	enum distance d = distance(agent, m->opts.zone, m->opts.region);
	uint32_t left = m->opts.entries_per_agent;
	struct field f = survey(m, agent);
	uint32_t quota[3];

	/* Half in the zone, so that the loss of a zone leaves the others. */
	quota[SAME_ZONE] = least(f.all[SAME_ZONE], (left + 1) / 2);
	left -= quota[SAME_ZONE];
	quota[SAME_REGION] = least(f.all[SAME_REGION], left);
	left -= quota[SAME_REGION];
	/* What the rest of the region lacks, the zone takes after all. */
	quota[SAME_ZONE] += least(f.all[SAME_ZONE] - quota[SAME_ZONE], left);
	left = m->opts.entries_per_agent - quota[SAME_ZONE] -
	       quota[SAME_REGION];
	quota[FAR] = least(f.all[FAR], left);
	return f.before[d] < quota[d];
}

static uint64_t rank_of(const struct pf_member *m,
			const struct pf_member_one *x)
{
	uint64_t d = (uint64_t)distance(x, m->opts.zone, m->opts.region);

	/* The distance in the top bits, the hash below. */
	return d << 62 | pf_id2(x->id, m->opts.self) >> 2;
}

static int by_rank(const void *a, const void *b)
{
	uint64_t x = ((const struct pf_member_place *)a)->rank;
	uint64_t y = ((const struct pf_member_place *)b)->rank;

	return x < y ? -1 : x > y;
}

/* Puts the agents that may be held into `order`, the nearest first. */
static uint32_t sort_agents(struct pf_member *m)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < m->n; i++) {
		struct pf_member_one *x = &m->v[i];

		x->was_wanted = x->wanted;
		if (!x->id || x->role != PF_MEMBER_AGENT || !x->declared)
			continue;
		if (!pf_member_counts(x) && !may_return(x))
			continue;
		m->order[n].rank = rank_of(m, x);
		m->order[n++].slot = i;
	}
	qsort(m->order, n, sizeof(*m->order), by_rank);
	return n;
}

static void take(struct pf_member *m, struct pf_member_one *x, bool extra)
{
	uint32_t at;

	x->wanted = true;
	x->extra = extra;
	m->stats.picked++;
	m->stats.coverage_picks += extra;
	for (uint32_t i = 0; i < x->n_models; i++)
		if (pf_member_find_model(m->models, m->n_models, x->models[i],
					 &at))
			m->covered[at] = true;
}

/* How many models @x would add. */
static uint32_t gain(const struct pf_member *m, const struct pf_member_one *x)
{
	uint32_t n = 0;
	uint32_t at;

	for (uint32_t i = 0; i < x->n_models; i++)
		if (pf_member_find_model(m->models, m->n_models, x->models[i],
					 &at))
			n += !m->covered[at];
	return n;
}

/* Takes agents that add at least @least models, the nearest first. */
static void cover_by(struct pf_member *m, uint32_t n, uint32_t least)
{
#ifdef PF_MUTANT_MEMBER_COVER
	return;
#endif
	for (uint32_t i = 0; i < n && m->stats.picked < m->opts.sessions_max;
	     i++) {
		struct pf_member_one *x = &m->v[m->order[i].slot];

		if (!x->wanted && pf_member_counts(x) && gain(m, x) >= least)
			take(m, x, true);
	}
}

/* Further agents for models that would be missing. */
static void cover(struct pf_member *m, uint32_t n)
{
	uint32_t least = 1;

	for (uint32_t i = 0; i < n; i++)
		while (least < gain(m, &m->v[m->order[i].slot]))
			least++;
	for (; least > 0; least--)
		cover_by(m, n, least);
}

/* Takes own agents, at first only those that add a model. */
static void take_own(struct pf_member *m, uint32_t n, bool adding)
{
	for (uint32_t i = 0; i < n && m->stats.picked < m->opts.sessions_max;
	     i++) {
		struct pf_member_one *x = &m->v[m->order[i].slot];

		if (!x->wanted && pf_member_counts(x) &&
		    (!adding || gain(m, x)) && holds(m, x))
			take(m, x, false);
	}
}

/* Only a session shows that a process has returned; trying costs no more. */
static void try_ended(struct pf_member *m, uint32_t n)
{
	for (uint32_t i = 0; i < n; i++) {
		struct pf_member_one *x = &m->v[m->order[i].slot];

		if (may_return(x) && (holds(m, x) || gain(m, x)))
			x->wanted = true;
	}
}

/* Keeps further agents that were held before and still add a model. */
static void keep_extra(struct pf_member *m, uint32_t n)
{
	for (uint32_t i = 0; i < n && m->stats.picked < m->opts.sessions_max;
	     i++) {
		struct pf_member_one *x = &m->v[m->order[i].slot];

		if (!x->wanted && x->was_wanted && pf_member_counts(x) &&
		    gain(m, x))
			take(m, x, true);
	}
}

static void clear_choice(struct pf_member *m)
{
	for (uint32_t i = 0; i < m->n; i++) {
		m->v[i].wanted = false;
		m->v[i].extra = false;
	}
	m->stats.picked = 0;
	m->stats.coverage_picks = 0;
	if (m->n_models)
		memset(m->covered, 0, m->n_models * sizeof(*m->covered));
}

/* Models first, so that the bound never costs one. */
static void choose(struct pf_member *m, uint32_t n, bool keep)
{
	clear_choice(m);
	take_own(m, n, true);
	if (keep)
		keep_extra(m, n);
	cover(m, n);
	take_own(m, n, false);
	try_ended(m, n);
}

static uint32_t uncovered(const struct pf_member *m)
{
	uint32_t k = 0;

	for (uint32_t i = 0; i < m->n_models; i++)
		k += !m->covered[i];
	return k;
}

static void tell(struct pf_member *m, struct pf_member_one *x)
{
	if (x->wanted && !x->connected) {
		x->connected = true;
		m->stats.connects++;
		pf_member_emit(m, PF_MEMBER_CONNECT, x);
	}
	if (!x->wanted && x->was_wanted)
		x->unwanted_at = m->now;
}

void pf_member_pick(struct pf_member *m)
{
	uint32_t n = sort_agents(m);

	m->dirty = false;
	m->picked_at = m->now;
	choose(m, n, true);
	/* What was kept may be in the way of a smaller cover. */
	if (uncovered(m) && m->stats.picked >= m->opts.sessions_max)
		choose(m, n, false);
	m->stats.uncovered_models = uncovered(m);
	for (uint32_t i = 0; i < m->n; i++)
		if (m->v[i].id)
			tell(m, &m->v[i]);
}

void pf_member_let_go(struct pf_member *m)
{
	for (uint32_t i = 0; i < m->n; i++) {
		struct pf_member_one *x = &m->v[i];
		/* What a leaving agent still runs comes over its session. */
		bool gone = x->state == PF_MEMBER_GONE;

		if (!x->id || !x->connected || x->wanted ||
		    (x->state == PF_MEMBER_LEAVING && x->up))
			continue;
		if (!gone && m->now - x->unwanted_at < m->opts.disconnect_delay)
			continue;
		x->connected = false;
		m->stats.disconnects++;
		pf_member_emit(m, PF_MEMBER_DISCONNECT, x);
	}
}
