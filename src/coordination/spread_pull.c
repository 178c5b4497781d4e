/* Pulling from a peer that is ahead. */
#include "src/coordination/spread_internal.h"

/* Longest pause between pulls, in timeouts. */
#define PAUSE_MAX 4

static bool ahead(const struct pf_spread *s, const struct pf_spread_peer *p)
{
	return p->heard && p->revision > s->set.revision;
}

static bool has_near_entry(const struct pf_spread *s)
{
	for (uint32_t i = 0; i < s->n_peers; i++)
		if (s->peers[i].entry && pf_spread_near(s, &s->peers[i]))
			return true;
	return false;
}

/* The link between regions is for relays, and for those left behind. */
static bool far_allowed(const struct pf_spread *s)
{
	if (!has_near_entry(s))
		return true;
	return s->rank < s->opts.relays_per_region || s->set.revision == 0 ||
	       s->now >= s->behind_since + s->opts.remote_pull_after;
}

/* A better source than @b; equals are drawn by lot among @n so far. */
static bool better(struct pf_spread *s, const struct pf_spread_peer *a,
		   const struct pf_spread_peer *b, uint32_t n)
{
	if (a->pulled_last != b->pulled_last)
		return b->pulled_last;
	if (s->set.revision == 0 && a->revision != b->revision)
		return a->revision > b->revision;
	if (pf_spread_near(s, a) != pf_spread_near(s, b))
		return pf_spread_near(s, a);
	return pf_rng_below(&s->rng, n) == 0;
}

static struct pf_spread_peer *choose(struct pf_spread *s)
{
	struct pf_spread_peer *best = NULL;
	uint32_t n = 0;

	for (uint32_t i = 0; i < s->n_peers; i++) {
		struct pf_spread_peer *p = &s->peers[i];

		if (!ahead(s, p) || (!pf_spread_near(s, p) && !far_allowed(s)))
			continue;
		n++;
		if (!best || better(s, p, best, n))
			best = p;
	}
	return best;
}

/* Whether a process without a set has asked around enough. */
static bool asked_around(struct pf_spread *s)
{
	uint32_t n = 0;

	if (s->set.revision)
		return true;
	for (uint32_t i = 0; i < s->n_peers; i++)
		n += s->peers[i].heard;
	return n >= s->opts.cold_start_peers || s->now >= s->cold_until;
}

static void look(struct pf_spread *s)
{
	bool any = false;

	for (uint32_t i = 0; i < s->n_peers && !any; i++)
		any = ahead(s, &s->peers[i]);
	if (!any) {
		s->behind_since = PF_NEVER;
		return;
	}
	if (s->behind_since == PF_NEVER)
		s->behind_since = s->now;
	if (s->cold_until == PF_NEVER)
		s->cold_until = s->now + s->opts.cold_start_wait;
}

/* Losses in a row are chance; other peers are asked, so pauses stay short. */
static void pause_pulls(struct pf_spread *s)
{
	pf_ms wait = pf_spread_backoff(s, s->pull_fails++);
	pf_ms most = s->opts.pull_timeout * PAUSE_MAX;

	s->pull_backoff = s->now + (wait < most ? wait : most);
}

static void timed_out(struct pf_spread *s)
{
#ifdef PF_MUTANT_SPREAD_RETRY
	return;
#endif
	for (uint32_t i = 0; i < s->n_peers; i++)
		s->peers[i].pulled_last = s->peers[i].id == s->pull_peer;
	s->pull_peer = 0;
	s->stats.pull_timeouts++;
	pause_pulls(s);
}

void pf_spread_pull(struct pf_spread *s)
{
	struct pf_spread_act a = { .type = PF_SPREAD_SEND_PULL };
	struct pf_spread_peer *p;

	look(s);
	if (s->pull_peer && s->now >= s->pull_until)
		timed_out(s);
	if (s->pull_peer || s->behind_since == PF_NEVER ||
	    s->now < s->pull_backoff || !asked_around(s))
		return;
	p = choose(s);
	if (!p)
		return;
	s->pull_peer = p->id;
	s->pull_until = s->now + s->opts.pull_timeout;
	a.peer = p->id;
	a.u.revision = s->pull_whole ? 0 : s->set.revision;
	s->stats.pulls_out++;
	pf_spread_emit(s, &a);
}

void pf_spread_config(struct pf_spread *s, const struct pf_spread_msg *m)
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
	if (pf_spread_set_config(&s->set, c) < 0) {
		s->stats.rejected++;
		s->pull_whole = true;
		pause_pulls(s);
		return;
	}
	s->pull_whole = false;
	s->pull_fails = 0;
	s->pull_backoff = s->now;
	s->behind_since = PF_NEVER;
	pf_spread_adopted(s);
}

pf_ms pf_spread_pull_next(const struct pf_spread *s)
{
	pf_ms t = s->pull_backoff;

	if (s->pull_peer)
		return s->pull_until;
	if (s->behind_since == PF_NEVER)
		return PF_NEVER;
	if (s->set.revision == 0 && s->cold_until > t)
		t = s->cold_until;
	if (t <= s->now)
		/* Only far peers are ahead. */
		t = s->behind_since + s->opts.remote_pull_after;
	return t > s->now ? t : s->now + s->opts.backoff_min;
}
