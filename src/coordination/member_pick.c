/* Membership core: picks the agents an entry holds sessions with. */
#include "src/coordination/member_internal.h"

#include <stdlib.h>
#include <string.h>

/* Distance of an entry from an agent; nearer entries are assigned first. */
enum distance { SAME_ZONE, SAME_REGION, OTHER_REGION };

static enum distance distance(const struct pf_member_peer *agent, uint64_t zone,
			      uint64_t region)
{
	if (zone == agent->zone)
		return SAME_ZONE;
	return region && region == agent->region ? SAME_REGION : OTHER_REGION;
}

bool pf_member_is_active(const struct pf_member_peer *p)
{
	return p->id && p->state != PF_MEMBER_LEAVING &&
	       p->state != PF_MEMBER_GONE;
}

/* Whether the process of @p ended, so that a new one may start any time. */
static bool may_restart(const struct pf_member_peer *p)
{
	return !pf_member_is_active(p) && !p->session_up && !p->listed_leaving;
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

/* Entries per distance from an agent, and those ranked before this entry. */
struct entry_counts {
	uint32_t total[3];
	uint32_t ranked_before[3];
};

static struct entry_counts count_entries(const struct pf_member *m,
					 const struct pf_member_peer *agent)
{
	uint64_t mine = pf_id2(agent->id, m->opts.self);
	struct entry_counts counts = { 0 };

	counts.total[distance(agent, m->opts.zone, m->opts.region)]++;
	for (uint32_t i = 0; i < m->n_slots; i++) {
		const struct pf_member_peer *p = &m->peers[i];
		enum distance d;

		if (!pf_member_is_active(p) || p->role != PF_MEMBER_ENTRY ||
		    p->id == m->opts.self)
			continue;
		d = distance(agent, p->zone, p->region);
		counts.total[d]++;
		counts.ranked_before[d] += pf_id2(agent->id, p->id) < mine;
	}
	return counts;
}

static uint32_t min_u32(uint32_t a, uint32_t b)
{
	return a < b ? a : b;
}

/* Whether this entry is among the `entries_per_agent` of @agent. */
static bool is_assigned(const struct pf_member *m,
			const struct pf_member_peer *agent)
{
	enum distance d = distance(agent, m->opts.zone, m->opts.region);
	uint32_t left = m->opts.entries_per_agent;
	struct entry_counts counts = count_entries(m, agent);
	uint32_t quota[3];

	/* Up to half in the zone; the others survive its loss. */
	quota[SAME_ZONE] = min_u32(counts.total[SAME_ZONE], (left + 1) / 2);
	left -= quota[SAME_ZONE];
	quota[SAME_REGION] = min_u32(counts.total[SAME_REGION], left);
	left -= quota[SAME_REGION];
	/* If the rest of the region has too few entries, the zone adds some. */
	quota[SAME_ZONE] +=
		min_u32(counts.total[SAME_ZONE] - quota[SAME_ZONE], left);
	left = m->opts.entries_per_agent - quota[SAME_ZONE] -
	       quota[SAME_REGION];
	quota[OTHER_REGION] = min_u32(counts.total[OTHER_REGION], left);
	return counts.ranked_before[d] < quota[d];
}

static uint64_t rank_agent(const struct pf_member *m,
			   const struct pf_member_peer *p)
{
	uint64_t d = (uint64_t)distance(p, m->opts.zone, m->opts.region);

	/* The distance is in the top two bits, the hash below. */
	return d << 62 | pf_id2(p->id, m->opts.self) >> 2;
}

static int compare_ranks(const void *a, const void *b)
{
	uint64_t x = ((const struct pf_member_candidate *)a)->rank;
	uint64_t y = ((const struct pf_member_candidate *)b)->rank;

	return x < y ? -1 : x > y;
}

/* Fills `candidates` with the agents that may be picked, nearest first. */
static uint32_t sort_candidates(struct pf_member *m)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < m->n_slots; i++) {
		struct pf_member_peer *p = &m->peers[i];

		p->was_picked = p->picked;
		if (!p->id || p->role != PF_MEMBER_AGENT || !p->declared)
			continue;
		if (!pf_member_is_active(p) && !may_restart(p))
			continue;
		m->candidates[n].rank = rank_agent(m, p);
		m->candidates[n++].peer_index = i;
	}
	qsort(m->candidates, n, sizeof(*m->candidates), compare_ranks);
	return n;
}

static void pick_agent(struct pf_member *m, struct pf_member_peer *p,
		       bool for_coverage)
{
	uint32_t at;

	p->picked = true;
	p->for_coverage = for_coverage;
	m->stats.picked++;
	m->stats.coverage_picks += for_coverage;
	for (uint32_t i = 0; i < p->n_models; i++)
		if (pf_member_find_model(m->declared_models,
					 m->n_declared_models, p->models[i],
					 &at))
			m->covered[at] = true;
}

/* Counts the declared models of @p that are not covered yet. */
static uint32_t count_new_models(const struct pf_member *m,
				 const struct pf_member_peer *p)
{
	uint32_t n = 0;
	uint32_t at;

	for (uint32_t i = 0; i < p->n_models; i++)
		if (pf_member_find_model(m->declared_models,
					 m->n_declared_models, p->models[i],
					 &at))
			n += !m->covered[at];
	return n;
}

/* Picks agents that add at least @min_gain models, nearest first. */
static void cover_by_gain(struct pf_member *m, uint32_t n, uint32_t min_gain)
{
#ifdef PF_MUTANT_MEMBER_COVER
	return;
#endif
	for (uint32_t i = 0; i < n && m->stats.picked < m->opts.sessions_max;
	     i++) {
		struct pf_member_peer *p =
			&m->peers[m->candidates[i].peer_index];

		if (!p->picked && pf_member_is_active(p) &&
		    count_new_models(m, p) >= min_gain)
			pick_agent(m, p, true);
	}
}

/* Greedy cover of the remaining models: largest gain first. */
static void cover_models(struct pf_member *m, uint32_t n)
{
	uint32_t min_gain = 1;

	for (uint32_t i = 0; i < n; i++)
		while (min_gain <
		       count_new_models(m,
					&m->peers[m->candidates[i].peer_index]))
			min_gain++;
	for (; min_gain > 0; min_gain--)
		cover_by_gain(m, n, min_gain);
}

/* Picks assigned agents; with @new_models_only those that add a model. */
static void pick_assigned(struct pf_member *m, uint32_t n, bool new_models_only)
{
	for (uint32_t i = 0; i < n && m->stats.picked < m->opts.sessions_max;
	     i++) {
		struct pf_member_peer *p =
			&m->peers[m->candidates[i].peer_index];

		if (!p->picked && pf_member_is_active(p) &&
		    (!new_models_only || count_new_models(m, p)) &&
		    is_assigned(m, p))
			pick_agent(m, p, false);
	}
}

/*
 * Only a session shows that a new process has started, so this keeps trying.
 * These agents don't count towards sessions_max.
 */
static void pick_restartable(struct pf_member *m, uint32_t n)
{
	for (uint32_t i = 0; i < n; i++) {
		struct pf_member_peer *p =
			&m->peers[m->candidates[i].peer_index];

		if (may_restart(p) &&
		    (is_assigned(m, p) || count_new_models(m, p)))
			p->picked = true;
	}
}

/* Keeps agents of the last pick that still add a model. */
static void keep_last_picks(struct pf_member *m, uint32_t n)
{
	for (uint32_t i = 0; i < n && m->stats.picked < m->opts.sessions_max;
	     i++) {
		struct pf_member_peer *p =
			&m->peers[m->candidates[i].peer_index];

		if (!p->picked && p->was_picked && pf_member_is_active(p) &&
		    count_new_models(m, p))
			pick_agent(m, p, true);
	}
}

static void clear_picks(struct pf_member *m)
{
	for (uint32_t i = 0; i < m->n_slots; i++) {
		m->peers[i].picked = false;
		m->peers[i].for_coverage = false;
	}
	m->stats.picked = 0;
	m->stats.coverage_picks = 0;
	if (m->n_declared_models)
		memset(m->covered, 0,
		       m->n_declared_models * sizeof(*m->covered));
}

/* Covers models first: sessions_max should drop redundant agents only. */
static void pick_all(struct pf_member *m, uint32_t n, bool keep_last)
{
	clear_picks(m);
	pick_assigned(m, n, true);
	if (keep_last)
		keep_last_picks(m, n);
	cover_models(m, n);
	pick_assigned(m, n, false);
	pick_restartable(m, n);
}

static uint32_t count_uncovered(const struct pf_member *m)
{
	uint32_t k = 0;

	for (uint32_t i = 0; i < m->n_declared_models; i++)
		k += !m->covered[i];
	return k;
}

static void apply_pick(struct pf_member *m, struct pf_member_peer *p)
{
	if (p->picked && !p->connect_requested) {
		p->connect_requested = true;
		m->stats.connects++;
		pf_member_emit(m, PF_MEMBER_CONNECT, p);
	}
	if (!p->picked && p->was_picked)
		p->unpicked_at = m->now;
}

void pf_member_pick_agents(struct pf_member *m)
{
	uint32_t n = sort_candidates(m);

	m->pick_needed = false;
	m->last_pick_at = m->now;
	pick_all(m, n, true);
	/* Without the kept picks a smaller cover may fit. */
	if (count_uncovered(m) && m->stats.picked >= m->opts.sessions_max)
		pick_all(m, n, false);
	m->stats.uncovered_models = count_uncovered(m);
	for (uint32_t i = 0; i < m->n_slots; i++)
		if (m->peers[i].id)
			apply_pick(m, &m->peers[i]);
}

void pf_member_drop_unpicked(struct pf_member *m)
{
	for (uint32_t i = 0; i < m->n_slots; i++) {
		struct pf_member_peer *p = &m->peers[i];
		bool gone = p->state == PF_MEMBER_GONE;

		/* A leaving agent still sends output over its session. */
		if (!p->id || !p->connect_requested || p->picked ||
		    (p->state == PF_MEMBER_LEAVING && p->session_up))
			continue;
		if (!gone && m->now - p->unpicked_at < m->opts.disconnect_delay)
			continue;
		p->connect_requested = false;
		m->stats.disconnects++;
		pf_member_emit(m, PF_MEMBER_DISCONNECT, p);
	}
}
