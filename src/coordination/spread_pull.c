/* Spread core: pulls from a peer that is ahead. */
#include "src/coordination/spread_internal.h"

/* Longest pause between pulls, in pull timeouts. */
#define PULL_PAUSE_MAX_TIMEOUTS 4

static bool is_ahead(const struct pf_spread *s, const struct pf_spread_peer *p)
{
	return p->head_received && p->revision > s->set.revision;
}

static bool has_entry_in_region(const struct pf_spread *s)
{
	for (uint32_t i = 0; i < s->n_peers; i++)
		if (s->peers[i].is_entry &&
		    pf_spread_same_region(s, &s->peers[i]))
			return true;
	return false;
}

/*
 * To save the link between regions, only relays pull over it, and processes
 * without a set, without an entry in their region or behind for too long.
 */
static bool may_pull_remotely(const struct pf_spread *s)
{
	if (!has_entry_in_region(s))
		return true;
	return s->rank < s->opts.relays_per_region || s->set.revision == 0 ||
	       s->now >= s->behind_since + s->opts.remote_pull_after;
}

/* Whether @a is a better source than @b; ties among @n peers are random. */
static bool is_better_source(struct pf_spread *s,
			     const struct pf_spread_peer *a,
			     const struct pf_spread_peer *b, uint32_t n)
{
	if (a->last_pull_timed_out != b->last_pull_timed_out)
		return b->last_pull_timed_out;
	if (s->set.revision == 0 && a->revision != b->revision)
		return a->revision > b->revision;
	if (pf_spread_same_region(s, a) != pf_spread_same_region(s, b))
		return pf_spread_same_region(s, a);
	return pf_rng_below(&s->rng, n) == 0;
}

static struct pf_spread_peer *choose_source(struct pf_spread *s)
{
	struct pf_spread_peer *best = NULL;
	uint32_t n = 0;

	for (uint32_t i = 0; i < s->n_peers; i++) {
		struct pf_spread_peer *p = &s->peers[i];

		if (!is_ahead(s, p) ||
		    (!pf_spread_same_region(s, p) && !may_pull_remotely(s)))
			continue;
		n++;
		if (!best || is_better_source(s, p, best, n))
			best = p;
	}
	return best;
}

/*
 * Whether a pull may start. A process without a set first awaits several
 * heads, so as not to adopt the set of a peer that is itself behind.
 */
static bool may_pull(struct pf_spread *s)
{
	uint32_t n = 0;

	if (s->set.revision)
		return true;
	for (uint32_t i = 0; i < s->n_peers; i++)
		n += s->peers[i].head_received;
	return n >= s->opts.cold_start_peers ||
	       s->now >= s->cold_start_deadline;
}

/* Updates since when this process is behind a peer. */
static void update_behind(struct pf_spread *s)
{
	bool any = false;

	for (uint32_t i = 0; i < s->n_peers && !any; i++)
		any = is_ahead(s, &s->peers[i]);
	if (!any) {
		s->behind_since = PF_NEVER;
		return;
	}
	if (s->behind_since == PF_NEVER)
		s->behind_since = s->now;
	if (s->cold_start_deadline == PF_NEVER)
		s->cold_start_deadline = s->now + s->opts.cold_start_wait;
}

/* The next pull goes to another peer, so the backoff stays short. */
static void pause_pulls(struct pf_spread *s)
{
	pf_ms wait = pf_spread_backoff(s, s->pull_failures++);
	pf_ms most = s->opts.pull_timeout * PULL_PAUSE_MAX_TIMEOUTS;

	s->pull_not_before = s->now + (wait < most ? wait : most);
}

static void on_pull_timeout(struct pf_spread *s)
{
#ifdef PF_MUTANT_SPREAD_RETRY
	return;
#endif
	for (uint32_t i = 0; i < s->n_peers; i++)
		s->peers[i].last_pull_timed_out =
			s->peers[i].id == s->pull_peer;
	s->pull_peer = 0;
	s->stats.pull_timeouts++;
	pause_pulls(s);
}

void pf_spread_run_pulls(struct pf_spread *s)
{
	struct pf_spread_act a = { .type = PF_SPREAD_SEND_PULL };
	struct pf_spread_peer *p;

	update_behind(s);
	if (s->pull_peer && s->now >= s->pull_deadline)
		on_pull_timeout(s);
	if (s->pull_peer || s->behind_since == PF_NEVER ||
	    s->now < s->pull_not_before || !may_pull(s))
		return;
	p = choose_source(s);
	if (!p)
		return;
	s->pull_peer = p->id;
	s->pull_deadline = s->now + s->opts.pull_timeout;
	a.peer = p->id;
	a.u.revision = s->pull_full_set ? 0 : s->set.revision;
	s->stats.pulls_out++;
	pf_spread_emit(s, &a);
}

void pf_spread_on_config(struct pf_spread *s, const struct pf_spread_msg *m)
{
	const struct pf_spread_config *c = &m->u.config;
	bool awaited = s->pull_peer == m->peer;

	if (awaited)
		s->pull_peer = 0;
#ifndef PF_MUTANT_SPREAD_BACK
	if (c->revision <= s->set.revision) {
		s->stats.stale_revisions++;
		return;
	}
#endif
	if (pf_spread_set_apply_config(&s->set, c) < 0) {
		s->stats.rejected++;
		s->pull_full_set = true;
		pause_pulls(s);
		return;
	}
	s->pull_full_set = false;
	s->pull_failures = 0;
	s->pull_not_before = s->now;
	s->behind_since = PF_NEVER;
	pf_spread_on_adopted(s);
}

pf_ms pf_spread_next_pull(const struct pf_spread *s)
{
	pf_ms t = s->pull_not_before;

	if (s->pull_peer)
		return s->pull_deadline;
	if (s->behind_since == PF_NEVER)
		return PF_NEVER;
	if (s->set.revision == 0 && s->cold_start_deadline > t)
		t = s->cold_start_deadline;
	if (t <= s->now)
		/* Only peers in other regions are ahead. */
		t = s->behind_since + s->opts.remote_pull_after;
	return t > s->now ? t : s->now + s->opts.backoff_min;
}
