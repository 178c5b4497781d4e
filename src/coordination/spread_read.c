/* Who reads the table, and when. */
#include "src/coordination/spread_internal.h"

/* Changes that are fetched as audit rows; beyond, the whole set is. */
#define CHANGES_MAX 32

static bool reads_before(const struct pf_spread *s, uint64_t id)
{
	uint64_t mine = pf_id2(s->opts.region, s->opts.self);

	return id != s->opts.self && pf_id2(s->opts.region, id) < mine;
}

void pf_spread_rank(struct pf_spread *s)
{
	uint32_t rank = 0;
	uint32_t n = 0;

	for (uint32_t i = 0; s->has_members && i < s->n_members; i++) {
		rank += reads_before(s, s->members[i]);
		n++;
	}
	for (uint32_t i = 0; !s->has_members && i < s->n_peers; i++) {
		const struct pf_spread_peer *p = &s->peers[i];

		if (!p->entry || !p->heard || p->region != s->opts.region)
			continue;
		rank += reads_before(s, p->id);
		n++;
	}
	s->rank = s->opts.is_entry ? rank : n + s->opts.relays_per_region;
}

/* When the next reading begins. */
static pf_ms due(const struct pf_spread *s)
{
	pf_ms t;

#ifdef PF_MUTANT_SPREAD_SILENCE
	if (s->set.revision && s->rank >= s->opts.relays)
		return PF_NEVER;
#endif
	if (s->seen > s->set.revision)
		return s->read_backoff;
	if (s->set.revision == 0 || s->rank < s->opts.relays_per_region)
		t = s->read_done + s->opts.poll_interval;
	else
		t = s->table_at +
		    s->stale * (pf_ms)(s->rank - s->opts.relays_per_region + 1);
	t += s->read_jitter;
	return t > s->read_backoff ? t : s->read_backoff;
}

static void start(struct pf_spread *s, enum pf_spread_read what)
{
	struct pf_spread_act a = { .seq = ++s->read_seq };

	s->reading = what;
	s->read_until = s->now + s->opts.read_timeout;
	s->stats.reads++;
	switch (what) {
	case PF_READ_CHANGES:
		a.type = PF_SPREAD_READ_CHANGES;
		a.u.changes.after = s->set.revision;
		a.u.changes.revision = s->table_head;
		break;
	case PF_READ_SET:
		a.type = PF_SPREAD_READ_SET;
		break;
	default:
		a.type = PF_SPREAD_READ_HEAD;
		break;
	}
	pf_spread_emit(s, &a);
}

static void finish(struct pf_spread *s, bool ok)
{
	s->reading = PF_READ_NONE;
	s->read_done = s->now;
	s->read_jitter = pf_rng_below(
		&s->rng, (uint32_t)(s->opts.poll_interval / 2 + 1));
	if (ok) {
		s->table_at = s->now;
		s->read_fails = 0;
		s->read_backoff = s->now;
		return;
	}
	s->stats.read_errors++;
	s->read_backoff = s->now + pf_spread_backoff(s, s->read_fails++);
}

static void on_head(struct pf_spread *s, uint64_t revision)
{
	s->table_head = revision;
	if (revision < s->seen && s->seen > s->set.revision) {
		/* An answer from before the commit that was seen. */
		finish(s, false);
		return;
	}
	if (revision < s->set.revision)
		s->stats.stale_revisions++;
	if (revision <= s->set.revision) {
		finish(s, true);
		return;
	}
	if (s->set.revision && revision - s->set.revision <= CHANGES_MAX)
		start(s, PF_READ_CHANGES);
	else
		start(s, PF_READ_SET);
}

static void on_changes(struct pf_spread *s, const struct pf_spread_msg *m)
{
	if (s->table_head <= s->set.revision) {
		finish(s, true);
		return;
	}
	if (pf_spread_set_audits(&s->set, s->table_head, m->u.table.rows,
				 m->u.table.n_rows) < 0) {
		/* Pruned or unreadable rows: the set itself stands. */
		start(s, PF_READ_SET);
		return;
	}
	finish(s, true);
	pf_spread_adopted(s);
}

static void on_set(struct pf_spread *s, const struct pf_spread_msg *m)
{
	struct pf_records next = { 0 };

	if (m->u.table.revision <= s->set.revision) {
		finish(s, true);
		return;
	}
	if (pf_records_copy(&next, m->u.table.set) < 0) {
		finish(s, false);
		return;
	}
	finish(s, true);
	if (pf_spread_set_replace(&s->set, m->u.table.revision, &next) == 0)
		pf_spread_adopted(s);
}

void pf_spread_table(struct pf_spread *s, const struct pf_spread_msg *m)
{
	if (s->reading == PF_READ_NONE || m->seq != s->read_seq)
		return;
	if (m->u.table.status != PF_TABLE_OK) {
		finish(s, false);
		return;
	}
	switch (m->type) {
	case PF_SPREAD_TABLE_HEAD:
		on_head(s, m->u.table.revision);
		break;
	case PF_SPREAD_TABLE_CHANGES:
		on_changes(s, m);
		break;
	default:
		on_set(s, m);
		break;
	}
}

void pf_spread_read(struct pf_spread *s)
{
	if (s->reading != PF_READ_NONE && s->now >= s->read_until)
		finish(s, false);
	if (s->reading == PF_READ_NONE && s->now >= due(s))
		start(s, PF_READ_HEAD);
}

pf_ms pf_spread_read_next(const struct pf_spread *s)
{
	return s->reading == PF_READ_NONE ? due(s) : s->read_until;
}
