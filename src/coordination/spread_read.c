/* Spread core: reads of the table, and which processes do them. */
#include "src/coordination/spread_internal.h"

/* Changes read as audit rows; if there are more, the full set is read. */
#define READ_CHANGES_MAX 32

/* Whether @id comes before this process by rendezvous hashing. */
static bool ranks_before(const struct pf_spread *s, uint64_t id)
{
	uint64_t mine = pf_id2(s->opts.region, s->opts.self);

	return id != s->opts.self && pf_id2(s->opts.region, id) < mine;
}

void pf_spread_update_rank(struct pf_spread *s)
{
	uint32_t rank = 0;
	uint32_t n = 0;

	for (uint32_t i = 0; s->has_members && i < s->n_members; i++) {
		rank += ranks_before(s, s->members[i]);
		n++;
	}
	for (uint32_t i = 0; !s->has_members && i < s->n_peers; i++) {
		const struct pf_spread_peer *p = &s->peers[i];

		if (!p->is_entry || !p->head_received ||
		    p->region != s->opts.region)
			continue;
		rank += ranks_before(s, p->id);
		n++;
	}
	/* Processes that aren't entries come after all entries. */
	s->rank = s->opts.is_entry ? rank : n + s->opts.relays_per_region;
}

/* When the next read starts; each rank after the relays waits longer. */
static pf_ms next_read_time(const struct pf_spread *s)
{
	pf_ms t;

#ifdef PF_MUTANT_SPREAD_SILENCE
	if (s->set.revision && s->rank >= s->opts.relays_per_region)
		return PF_NEVER;
#endif
	if (s->committed_revision > s->set.revision)
		return s->read_not_before;
	if (s->set.revision == 0 || s->rank < s->opts.relays_per_region)
		t = s->last_read_end + s->opts.poll_interval;
	else
		t = s->table_read_at +
		    s->table_stale_after *
			    (pf_ms)(s->rank - s->opts.relays_per_region + 1);
	t += s->read_jitter;
	return t > s->read_not_before ? t : s->read_not_before;
}

static void start_read(struct pf_spread *s, enum pf_spread_reading what)
{
	struct pf_spread_act a = { .seq = ++s->read_seq };

	s->reading = what;
	s->read_deadline = s->now + s->opts.read_timeout;
	s->stats.reads++;
	switch (what) {
	case PF_SPREAD_READING_CHANGES:
		a.type = PF_SPREAD_READ_CHANGES;
		a.u.changes.after = s->set.revision;
		a.u.changes.revision = s->table_revision;
		break;
	case PF_SPREAD_READING_SET:
		a.type = PF_SPREAD_READ_SET;
		break;
	default:
		a.type = PF_SPREAD_READ_HEAD;
		break;
	}
	pf_spread_emit(s, &a);
}

static void finish_read(struct pf_spread *s, bool ok)
{
	s->reading = PF_SPREAD_READING_NONE;
	s->last_read_end = s->now;
	s->read_jitter = pf_rng_below(
		&s->rng, (uint32_t)(s->opts.poll_interval / 2 + 1));
	if (ok) {
		s->table_read_at = s->now;
		s->read_failures = 0;
		s->read_not_before = s->now;
		return;
	}
	s->stats.read_errors++;
	s->read_not_before = s->now + pf_spread_backoff(s, s->read_failures++);
}

static void on_table_head(struct pf_spread *s, uint64_t revision)
{
	s->table_revision = revision;
	if (revision < s->committed_revision &&
	    s->committed_revision > s->set.revision) {
		/* The read was served before a commit known here. */
		finish_read(s, false);
		return;
	}
	if (revision < s->set.revision)
		s->stats.stale_revisions++;
	if (revision <= s->set.revision) {
		finish_read(s, true);
		return;
	}
	if (s->set.revision && revision - s->set.revision <= READ_CHANGES_MAX)
		start_read(s, PF_SPREAD_READING_CHANGES);
	else
		start_read(s, PF_SPREAD_READING_SET);
}

static void on_table_changes(struct pf_spread *s, const struct pf_spread_msg *m)
{
	if (s->table_revision <= s->set.revision) {
		finish_read(s, true);
		return;
	}
	if (pf_spread_set_apply_audits(&s->set, s->table_revision,
				       m->u.table.rows,
				       m->u.table.n_rows) < 0) {
		/* Pruned or unreadable rows: read the full set. */
		start_read(s, PF_SPREAD_READING_SET);
		return;
	}
	finish_read(s, true);
	pf_spread_on_adopted(s);
}

static void on_table_set(struct pf_spread *s, const struct pf_spread_msg *m)
{
	struct pf_records next = { 0 };

	if (m->u.table.revision <= s->set.revision) {
		finish_read(s, true);
		return;
	}
	if (pf_records_copy(&next, m->u.table.set) < 0) {
		finish_read(s, false);
		return;
	}
	finish_read(s, true);
	if (pf_spread_set_replace(&s->set, m->u.table.revision, &next) == 0)
		pf_spread_on_adopted(s);
}

void pf_spread_on_table(struct pf_spread *s, const struct pf_spread_msg *m)
{
	if (s->reading == PF_SPREAD_READING_NONE || m->seq != s->read_seq)
		return;
	if (m->u.table.status != PF_TABLE_OK) {
		finish_read(s, false);
		return;
	}
	switch (m->type) {
	case PF_SPREAD_TABLE_HEAD:
		on_table_head(s, m->u.table.revision);
		break;
	case PF_SPREAD_TABLE_CHANGES:
		on_table_changes(s, m);
		break;
	default:
		on_table_set(s, m);
		break;
	}
}

void pf_spread_run_reads(struct pf_spread *s)
{
	if (s->reading != PF_SPREAD_READING_NONE && s->now >= s->read_deadline)
		finish_read(s, false);
	if (s->reading == PF_SPREAD_READING_NONE && s->now >= next_read_time(s))
		start_read(s, PF_SPREAD_READING_HEAD);
}

pf_ms pf_spread_next_read(const struct pf_spread *s)
{
	return s->reading == PF_SPREAD_READING_NONE ? next_read_time(s)
						    : s->read_deadline;
}
