/* Spread core: peers, heartbeats, and the step function. */
#include "pimentoford/spread.h"

#include "src/coordination/spread_internal.h"

#include <stdlib.h>
#include <string.h>

/* Size of a head on the wire, with its frame. */
#define HEAD_MESSAGE_BYTES 140
#define BACKOFF_SHIFT_MAX 10
/* Agents send heads this many times less often than entries. */
#define AGENT_HEARTBEAT_FACTOR 4
/* The table is stale only after this many heartbeats without news of it. */
#define SILENT_HEARTBEATS 3
/* Repeats of a head to a peer that doesn't confirm; the interval doubles. */
#define REPEATS_MAX 4

void pf_spread_opts_default(struct pf_spread_opts *o)
{
	*o = (struct pf_spread_opts){
		.relays_per_region = 2,
		.peers_max = 4096,
		.members_max = 4096,
		.history_max = 512,
		.cold_start_peers = 3,
		.cold_start_wait = 1000,
		.poll_interval = 1000,
		.table_stale_after = 4000,
		.read_timeout = 4000,
		.heartbeat_interval = 1000,
		.heartbeat_bytes_per_s = 1000,
		.remote_heartbeat_every = 6,
		.pull_timeout = 250,
		.remote_pull_after = 2500,
		.backoff_min = 50,
		.backoff_max = 8000,
	};
}

static bool opts_valid(const struct pf_spread_opts *o)
{
	return o->self && o->region && o->relays_per_region && o->peers_max &&
	       o->members_max && o->history_max && o->cold_start_peers &&
	       o->poll_interval > 0 && o->table_stale_after > 0 &&
	       o->read_timeout > 0 && o->heartbeat_interval > 0 &&
	       o->heartbeat_bytes_per_s && o->remote_heartbeat_every &&
	       o->pull_timeout > 0 && o->backoff_min > 0 &&
	       o->backoff_max >= o->backoff_min;
}

/* Interval at which heads to @peers keep within the bound of bytes. */
static pf_ms heartbeat_interval(const struct pf_spread *s, uint32_t peers)
{
	pf_ms t = (pf_ms)peers * HEAD_MESSAGE_BYTES * 1000 /
		  s->opts.heartbeat_bytes_per_s;

	return t > s->opts.heartbeat_interval ? t : s->opts.heartbeat_interval;
}

/* Adapts the intervals to the number of peers, to bound the bytes sent. */
static void update_intervals(struct pf_spread *s)
{
	uint32_t entries = 0;
	pf_ms silence;

	for (uint32_t i = 0; i < s->n_peers; i++)
		entries += s->peers[i].is_entry;
	s->entry_interval = heartbeat_interval(s, entries);
	s->agent_interval = heartbeat_interval(s, s->n_peers - entries);
	silence = s->entry_interval * SILENT_HEARTBEATS;
	s->table_stale_after = s->opts.table_stale_after > silence
				       ? s->opts.table_stale_after
				       : silence;
	/* All of an agent's entries get its heads, so it sends fewer. */
	if (!s->opts.is_entry)
		s->entry_interval *= AGENT_HEARTBEAT_FACTOR;
}

struct pf_spread *pf_spread_new(const struct pf_spread_opts *o, pf_ms now)
{
	struct pf_spread *s;

	if (!opts_valid(o))
		return NULL;
	s = calloc(1, sizeof(*s));
	if (!s)
		return NULL;
	s->opts = *o;
	s->now = now;
	pf_rng_seed(&s->rng, o->seed);
	s->peers = calloc(o->peers_max, sizeof(*s->peers));
	s->members = calloc(o->members_max, sizeof(*s->members));
	if (pf_spread_set_init(&s->set, o->history_max) < 0 || !s->peers ||
	    !s->members) {
		pf_spread_free(s);
		return NULL;
	}
	s->last_read_end = now - o->poll_interval;
	s->read_not_before = now;
	s->table_read_at = PF_LONG_AGO;
	s->pull_not_before = now;
	s->behind_since = PF_NEVER;
	s->cold_start_deadline = PF_NEVER;
	s->heartbeat_at =
		now + pf_rng_below(&s->rng, (uint32_t)o->heartbeat_interval);
	s->repeat_at = PF_NEVER;
	pf_spread_update_rank(s);
	update_intervals(s);
	return s;
}

void pf_spread_free(struct pf_spread *s)
{
	if (!s)
		return;
	pf_spread_set_free(&s->set);
	pf_text_free(&s->scratch);
	free(s->peers);
	free(s->members);
	free(s);
}

void pf_spread_emit(struct pf_spread *s, const struct pf_spread_act *a)
{
	s->sink->emit(s->sink->ctx, a);
}

pf_ms pf_spread_backoff(struct pf_spread *s, uint32_t fails)
{
	uint32_t shift = fails < BACKOFF_SHIFT_MAX ? fails : BACKOFF_SHIFT_MAX;
	pf_ms t = s->opts.backoff_min << shift;

	if (t > s->opts.backoff_max)
		t = s->opts.backoff_max;
	return t / 2 + pf_rng_below(&s->rng, (uint32_t)t + 1);
}

static struct pf_spread_peer *find_peer(struct pf_spread *s, uint64_t id)
{
	for (uint32_t i = 0; i < s->n_peers; i++)
		if (s->peers[i].id == id)
			return &s->peers[i];
	return NULL;
}

static void send_head(struct pf_spread *s, struct pf_spread_peer *p)
{
	struct pf_spread_act a = { .type = PF_SPREAD_SEND_HEAD, .peer = p->id };

	a.u.head.revision = s->set.revision;
	a.u.head.region = s->opts.region;
	a.u.head.table_age = s->table_read_at == PF_LONG_AGO
				     ? -1
				     : s->now - s->table_read_at;
	p->announced_revision = s->set.revision;
	p->announced_at = s->now;
	s->stats.heads_out++;
	pf_spread_emit(s, &a);
}

/* Whether @p gets a new revision at once, not with the next heartbeat. */
static bool announces_at_once(const struct pf_spread *s,
			      const struct pf_spread_peer *p)
{
	return pf_spread_same_region(s, p) ||
	       (p->head_received && p->is_entry &&
		s->rank < s->opts.relays_per_region);
}

void pf_spread_on_adopted(struct pf_spread *s)
{
	struct pf_spread_act a = { .type = PF_SPREAD_ADOPT };

	s->stats.adopted++;
	a.u.adopt.revision = s->set.revision;
	a.u.adopt.set = &s->set.records;
	pf_spread_emit(s, &a);
	/* Peers that have the revision need the head as a confirmation. */
	for (uint32_t i = 0; i < s->n_peers; i++)
		if (announces_at_once(s, &s->peers[i]))
			send_head(s, &s->peers[i]);
	s->n_repeats = 0;
	s->repeat_at = s->now + s->opts.pull_timeout;
}

static void on_peer_up(struct pf_spread *s, const struct pf_spread_msg *m)
{
	struct pf_spread_peer *p = find_peer(s, m->peer);

	if (!p) {
		if (s->n_peers >= s->opts.peers_max)
			return;
		p = &s->peers[s->n_peers++];
	}
	*p = (struct pf_spread_peer){ .id = m->peer,
				      .is_entry = m->u.is_entry };
	send_head(s, p);
	pf_spread_update_rank(s);
	update_intervals(s);
}

static void on_peer_down(struct pf_spread *s, uint64_t id)
{
	struct pf_spread_peer *p = find_peer(s, id);

	if (!p)
		return;
	*p = s->peers[--s->n_peers];
	if (s->pull_peer == id)
		s->pull_peer = 0;
	pf_spread_update_rank(s);
	update_intervals(s);
}

static void on_head(struct pf_spread *s, const struct pf_spread_msg *m)
{
	struct pf_spread_peer *p = find_peer(s, m->peer);
	const struct pf_spread_head *h = &m->u.head;
	bool first;

	if (!p)
		return;
	first = !p->head_received;
	p->head_received = true;
	p->region = h->region;
	/* Lower than before if the peer has restarted. */
	p->revision = h->revision;
	if (first)
		pf_spread_update_rank(s);
	if (pf_spread_same_region(s, p) && h->table_age >= 0 &&
	    s->now - h->table_age > s->table_read_at)
		s->table_read_at = s->now - h->table_age;
	if (p->revision >= s->set.revision)
		return;
	s->stats.stale_revisions += p->revision > 0;
	/* The peer missed the last head, or has just started. */
	if (p->announced_revision < s->set.revision ||
	    s->now - p->announced_at >= s->opts.pull_timeout)
		send_head(s, p);
}

static void on_pull(struct pf_spread *s, const struct pf_spread_msg *m)
{
	struct pf_spread_act a = { .type = PF_SPREAD_SEND_CONFIG,
				   .peer = m->peer };
	struct pf_spread_peer *p = find_peer(s, m->peer);

	if (!p || m->u.revision >= s->set.revision)
		return;
	a.u.config = pf_spread_set_delta(&s->set, m->u.revision, &s->scratch);
	if (a.u.config.base)
		s->stats.deltas_out++;
	else
		s->stats.full_sets_out++;
	pf_spread_emit(s, &a);
}

static void on_members(struct pf_spread *s, const struct pf_spread_msg *m)
{
	s->has_members = true;
	s->n_members = m->u.members.n_ids < s->opts.members_max
			       ? m->u.members.n_ids
			       : s->opts.members_max;
	if (s->n_members)
		memcpy(s->members, m->u.members.ids,
		       s->n_members * sizeof(*s->members));
	pf_spread_update_rank(s);
}

static void send_heartbeats(struct pf_spread *s)
{
	bool remote = s->n_heartbeats % s->opts.remote_heartbeat_every == 0;

	if (s->now < s->heartbeat_at)
		return;
	s->n_heartbeats++;
	s->heartbeat_at =
		s->now + s->entry_interval * 3 / 4 +
		pf_rng_below(&s->rng, (uint32_t)s->entry_interval / 2 + 1);
	for (uint32_t i = 0; i < s->n_peers; i++) {
		struct pf_spread_peer *p = &s->peers[i];
		pf_ms every =
			p->is_entry ? s->entry_interval : s->agent_interval;

		if (p->head_received && !pf_spread_same_region(s, p) && !remote)
			continue;
		if (s->now - p->announced_at >= every / 2)
			send_head(s, p);
	}
}

/* Repeats the head to peers that haven't confirmed it: it may be lost. */
static void repeat_heads(struct pf_spread *s)
{
	uint32_t left = 0;

	if (s->now < s->repeat_at)
		return;
	for (uint32_t i = 0; i < s->n_peers; i++) {
		struct pf_spread_peer *p = &s->peers[i];

		if (p->revision >= s->set.revision || !announces_at_once(s, p))
			continue;
		left++;
		send_head(s, p);
	}
	s->n_repeats++;
	s->repeat_at = PF_NEVER;
	if (left && s->n_repeats < REPEATS_MAX)
		s->repeat_at = s->now + (s->opts.pull_timeout << s->n_repeats);
}

static void handle_message(struct pf_spread *s, const struct pf_spread_msg *m)
{
	switch (m->type) {
	case PF_SPREAD_PEER_UP:
		on_peer_up(s, m);
		break;
	case PF_SPREAD_PEER_DOWN:
		on_peer_down(s, m->peer);
		break;
	case PF_SPREAD_HEAD:
		on_head(s, m);
		break;
	case PF_SPREAD_PULL:
		on_pull(s, m);
		break;
	case PF_SPREAD_CONFIG:
		pf_spread_on_config(s, m);
		break;
	case PF_SPREAD_MEMBERS:
		on_members(s, m);
		break;
	case PF_SPREAD_COMMITTED:
		if (m->u.revision > s->committed_revision)
			s->committed_revision = m->u.revision;
		break;
	case PF_SPREAD_TABLE_HEAD:
	case PF_SPREAD_TABLE_CHANGES:
	case PF_SPREAD_TABLE_SET:
		pf_spread_on_table(s, m);
		break;
	case PF_SPREAD_TICK:
		break;
	}
}

void pf_spread_step(struct pf_spread *s, pf_ms now,
		    const struct pf_spread_msg *m,
		    const struct pf_spread_sink *sink)
{
	uint64_t before = s->set.revision;

	if (now > s->now)
		s->now = now;
	s->sink = sink;
	handle_message(s, m);
	pf_spread_run_reads(s);
	pf_spread_run_pulls(s);
	repeat_heads(s);
	send_heartbeats(s);
#ifndef PF_MUTANT_SPREAD_BACK
	PF_INVARIANT("a configuration never reverts",
		     s->set.revision >= before);
#else
	(void)before;
#endif
	s->sink = NULL;
}

pf_ms pf_spread_next(const struct pf_spread *s)
{
	pf_ms t =
		s->heartbeat_at < s->repeat_at ? s->heartbeat_at : s->repeat_at;
	pf_ms r = pf_spread_next_read(s);
	pf_ms p = pf_spread_next_pull(s);

	if (r < t)
		t = r;
	return p < t ? p : t;
}

uint64_t pf_spread_revision(const struct pf_spread *s)
{
	return s->set.revision;
}

static int by_hash(const void *a, const void *b)
{
	uint64_t x = pf_id2(*(const uint64_t *)a, 0);
	uint64_t y = pf_id2(*(const uint64_t *)b, 0);

	return x < y ? -1 : x > y;
}

uint32_t pf_spread_neighbours(uint64_t *ids, uint32_t n, uint64_t self,
			      uint64_t *out, uint32_t max)
{
	uint32_t me = 0;
	uint32_t k = 0;

	if (n == 0)
		return 0;
	qsort(ids, n, sizeof(*ids), by_hash);
	while (me < n && ids[me] != self)
		me++;
	for (uint32_t step = 1; step < n && k < max; step *= 2)
		out[k++] = ids[(me + step) % n];
	return k;
}

void pf_spread_stats(const struct pf_spread *s, struct pf_spread_stats *st)
{
	*st = s->stats;
}
