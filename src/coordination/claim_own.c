/*
 * Claim core: the control cycle, one table operation at a time: scan the
 * agents, write the heartbeat, scan the shards, take over or hand over shards,
 * read the logs of earlier owners, read stored answers, delete expired rows.
 */
#include "claim_core.h"

#include <stdio.h>
#include <string.h>

#define AGENT_ROW_LEASES 10 /* without a heartbeat: the row is deleted */
#define REREAD_INTERVAL_MS 1000 /* after an incomplete pass over the logs */

static uint64_t new_control_op(struct pf_claim *c)
{
	c->control_op = ++c->next_op;
	return c->control_op;
}

static void emit_scan(struct pf_claim *c, const char *prefix, uint32_t limit,
		      const struct pf_claim_sink *sink)
{
	struct pf_claim_act a = { .type = PF_CLAIM_SCAN };

	a.u.scan.op = new_control_op(c);
	a.u.scan.prefix = pf_str_c(prefix);
	a.u.scan.after = pf_str_c(c->scan_after);
	a.u.scan.limit = limit;
	sink->emit(sink->ctx, &a);
}

static void scan_rows(struct pf_claim *c, enum claim_phase phase,
		      const struct pf_claim_sink *sink)
{
	char prefix[CLAIM_ROW_KEY_MAX];

	snprintf(prefix, sizeof(prefix), "%s%s/",
		 phase == PHASE_SCAN_AGENTS ? PF_CLAIM_OWNER_PREFIX
					    : PF_CLAIM_SHARD_PREFIX,
		 c->service);
	c->phase = phase;
	emit_scan(c, prefix, CLAIM_SCAN_ROWS_MAX, sink);
}

static void scan_log(struct pf_claim *c, const struct pf_claim_sink *sink)
{
	struct claim_log *l = &c->logs[c->reading_log];
	char prefix[CLAIM_ROW_KEY_MAX];

	claim_log_prefix(c, l->id, prefix);
	memcpy(c->scan_after, l->cursor, sizeof(c->scan_after));
	c->phase = PHASE_READ_LOGS;
	emit_scan(c, prefix, CLAIM_SCAN_ROWS_MAX, sink);
}

/* Reads the stored answer for the first waiter that needs one. */
static void scan_answer(struct pf_claim *c, const struct pf_claim_sink *sink)
{
	char key[CLAIM_ROW_KEY_MAX];
	const struct claim_key *k;
	uint32_t i = 0;

	while (c->waiters[i].wait != WAIT_ANSWER)
		i++;
	c->answer_key_index = c->waiters[i].key_index;
	k = &c->keys[c->answer_key_index];
	claim_log_row_key(c, c->logs[k->log].id, k->result_seq, key);
	c->scan_after[0] = '\0';
	c->phase = PHASE_READ_ANSWER;
	emit_scan(c, key, 1, sink);
}

static void scan_expired(struct pf_claim *c, const struct pf_claim_sink *sink)
{
	char prefix[CLAIM_ROW_KEY_MAX];

	c->gc_log = (c->gc_log + 1) % c->n_logs;
	claim_log_prefix(c, c->logs[c->gc_log].id, prefix);
	c->scan_after[0] = '\0';
	c->phase = PHASE_SCAN_EXPIRED;
	emit_scan(c, prefix, CLAIM_TXN_ROWS_MAX, sink);
}

static void emit_txn(struct pf_claim *c, const struct pf_table_txn *txn,
		     const struct pf_claim_sink *sink)
{
	struct pf_claim_act a = { .type = PF_CLAIM_TXN };

	a.u.txn.op = new_control_op(c);
	a.u.txn.txn = *txn;
	sink->emit(sink->ctx, &a);
}

/* An agent without a heartbeat for AGENT_ROW_LEASES leases, or NULL. */
static struct claim_agent *find_dead_agent(struct pf_claim *c, pf_ms now)
{
	for (uint32_t i = 0; i < c->n_agents; i++)
		if (c->agents[i].id != c->opts.agent &&
		    now - c->agents[i].last_seen_at >
			    c->opts.lease * AGENT_ROW_LEASES)
			return &c->agents[i];
	return NULL;
}

/* Writes our agent row and deletes that of a dead agent. */
static void write_heartbeat(struct pf_claim *c, pf_ms now,
			    const struct pf_claim_sink *sink)
{
	struct claim_agent *me = claim_agent_find(c, c->opts.agent);
	struct claim_agent *dead = find_dead_agent(c, now);
	char mine[CLAIM_ROW_KEY_MAX], theirs[CLAIM_ROW_KEY_MAX];
	struct pf_table_check checks[2];
	struct pf_table_put put;
	struct pf_str del;
	struct pf_text text = { 0 };
	struct pf_table_txn txn = { .checks = checks,
				    .n_checks = 1,
				    .puts = &put,
				    .n_puts = 1,
				    .deletes = &del,
				    .n_deletes = 0 };

	c->heartbeat++;
	claim_agent_row_text(c, &text);
	claim_agent_row_key(c, c->opts.agent, mine);
	checks[0].key = pf_str_c(mine);
	checks[0].revision = me->revision;
	put.key = checks[0].key;
	put.value = pf_text_str(&text);
	if (dead) {
		claim_agent_row_key(c, dead->id, theirs);
		checks[1].key = pf_str_c(theirs);
		checks[1].revision = dead->revision;
		del = checks[1].key;
		txn.n_checks = 2;
		txn.n_deletes = 1;
	}
	c->phase = PHASE_HEARTBEAT;
	if (text.failed)
		c->phase = PHASE_IDLE;
	else
		emit_txn(c, &txn, sink);
	pf_text_free(&text);
}

static void prune_past_owners(const struct pf_claim *c, struct claim_shard *s,
			      pf_ms now)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < s->n_past_owners; i++)
		if (claim_past_owner_needed(c, s, &s->past_owners[i], now))
			s->past_owners[n++] = s->past_owners[i];
	s->n_past_owners = n;
}

static void write_moves(struct pf_claim *c, pf_ms now,
			const struct pf_claim_sink *sink)
{
	char keys[CLAIM_TXN_ROWS_MAX][CLAIM_ROW_KEY_MAX];
	struct pf_table_check checks[CLAIM_TXN_ROWS_MAX];
	struct pf_table_put puts[CLAIM_TXN_ROWS_MAX];
	struct pf_text text[CLAIM_TXN_ROWS_MAX] = { 0 };
	struct pf_table_txn txn = { .checks = checks, .puts = puts };
	bool failed = false;

	for (uint32_t i = 0; i < c->n_moves; i++) {
		struct claim_shard *s = &c->shards[c->moves[i].shard];

		prune_past_owners(c, s, now);
		claim_shard_row_key(c, c->moves[i].shard, keys[i]);
		claim_shard_row_text(s, c->moves[i].new_owner, now, &text[i]);
		failed |= text[i].failed;
		checks[i].key = pf_str_c(keys[i]);
		checks[i].revision = s->revision;
		puts[i].key = checks[i].key;
		puts[i].value = pf_text_str(&text[i]);
	}
	c->moves_sent_at = now;
	txn.n_checks = c->n_moves;
	txn.n_puts = c->n_moves;
	c->phase = failed ? PHASE_IDLE : PHASE_MOVE_SHARDS;
	if (!failed)
		emit_txn(c, &txn, sink);
	for (uint32_t i = 0; i < c->n_moves; i++)
		pf_text_free(&text[i]);
}

/* Moves change shard revisions, so they wait for the log row in flight. */
static bool moves_pending(struct pf_claim *c, pf_ms now)
{
	if (!c->plan_pending || c->flush.entries.n > 0)
		return false;
	c->plan_pending = claim_plan_moves(c, now);
	return c->plan_pending;
}

void claim_control(struct pf_claim *c, pf_ms now,
		   const struct pf_claim_sink *sink)
{
	if (c->control_op || c->superseded || c->drained)
		return;
	c->phase = PHASE_IDLE;
	if (moves_pending(c, now)) {
		write_moves(c, now, sink);
	} else if (now >= c->next_heartbeat_at) {
		c->next_heartbeat_at = now + c->opts.heartbeat_interval;
		c->scan_after[0] = '\0';
		for (uint32_t i = 0; i < c->n_agents; i++)
			c->agents[i].revision = 0;
		scan_rows(c, PHASE_SCAN_AGENTS, sink);
	} else if ((c->any_recovering || c->n_by_wait[WAIT_LOG]) &&
		   now >= c->next_log_read_at) {
		if (claim_read_start(c))
			scan_log(c, sink);
		else
			claim_read_finish(c, now, sink);
	} else if (c->n_by_wait[WAIT_ANSWER]) {
		scan_answer(c, sink);
	} else if (now >= c->next_gc_at) {
		c->next_gc_at = now + c->opts.gc_interval;
		claim_keys_expire(c, now);
		scan_expired(c, sink);
	}
}

void claim_shard_lost(struct pf_claim *c, uint32_t shard,
		      const struct pf_claim_sink *sink)
{
	struct pf_claim_act a = { .type = PF_CLAIM_SHARDS_CHANGED };

	if (c->shards[shard].ownership == SHARD_NOT_OWNED)
		return;
	c->shards[shard].ownership = SHARD_NOT_OWNED;
	for (uint32_t i = 0; i < c->opts.waiters_max && c->n_waiters; i++) {
		struct claim_waiter *w = &c->waiters[i];
		struct claim_key *k = &c->keys[w->key_index];

		/* The new owner reads our log; the entry retries there. */
		if ((w->wait == WAIT_LOG || w->wait == WAIT_ANSWER) &&
		    k->shard == shard)
			claim_reply_all(c, k, PF_REASON_NOT_RESIDENT,
					PF_STR(""), sink);
	}
	sink->emit(sink->ctx, &a);
}

void claim_shard_recover(struct pf_claim *c, uint32_t shard)
{
	c->shards[shard].ownership = SHARD_RECOVERING;
	c->any_recovering = true;
	c->next_log_read_at = 0;
	c->stats.takeovers++;
	/* Keys of other logs are read again. */
	for (uint32_t i = 0; i < c->keys_end; i++) {
		struct claim_key *k = &c->keys[i];

		if (k->state != KEY_FREE && k->shard == shard &&
		    k->log != CLAIM_LOG_OWN && k->first_waiter == CLAIM_NONE)
			claim_key_drop(c, k);
	}
}

static void update_shard(struct pf_claim *c, const struct pf_table_row *row,
			 const struct pf_claim_sink *sink)
{
	int n = claim_shard_row_number(c, row->key);
	struct claim_shard *s;

	if (n < 0 || row->revision <= c->shards[n].revision)
		return;
	s = &c->shards[n];
	if (claim_shard_row_parse(c, row->value, s) < 0)
		return;
	s->revision = row->revision;
	claim_shard_lost(c, (uint32_t)n, sink);
	if (claim_is_self(c, s->owner))
		claim_shard_recover(c, (uint32_t)n);
}

static struct claim_agent *agent_add(struct pf_claim *c, uint64_t id)
{
	struct claim_agent *agent;

	if (c->n_agents == c->opts.agents_max)
		return NULL;
	agent = &c->agents[c->n_agents++];
	memset(agent, 0, sizeof(*agent));
	agent->id = id;
	return agent;
}

/* A later incarnation in our own row stops this one. */
static void update_agent(struct pf_claim *c, pf_ms now,
			 const struct pf_table_row *row,
			 const struct pf_claim_sink *sink)
{
	struct claim_agent seen = { 0 };
	struct claim_agent *agent;

	if (claim_agent_row_parse(row->key, row->value, &seen) < 0)
		return;
	if (seen.id == c->opts.agent &&
	    seen.incarnation > c->opts.incarnation) {
		claim_supersede(c, sink);
		return;
	}
	agent = claim_agent_find(c, seen.id);
	if (!agent)
		agent = agent_add(c, seen.id);
	if (!agent)
		return;
	agent->revision = row->revision;
	if (agent->id == c->opts.agent)
		return;
	if (agent->incarnation != seen.incarnation ||
	    agent->heartbeat != seen.heartbeat)
		agent->last_seen_at = now;
	agent->incarnation = seen.incarnation;
	agent->heartbeat = seen.heartbeat;
	agent->leaving = seen.leaving;
}

static void drop_absent_agents(struct pf_claim *c)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < c->n_agents; i++)
		if (c->agents[i].revision || c->agents[i].id == c->opts.agent)
			c->agents[n++] = c->agents[i];
	c->n_agents = n;
}

static void reply_stored_answer(struct pf_claim *c,
				const struct pf_claim_msg *m,
				const struct pf_claim_sink *sink)
{
	struct claim_key *k = &c->keys[c->answer_key_index];
	enum pf_reason reason = PF_REASON_OUTCOME_UNKNOWN;
	struct pf_str answer = PF_STR("");
	struct claim_parsed_entry l;
	struct pf_str rest;
	pf_ms at;

	if (k->state != KEY_DONE)
		return;
	if (m->u.scan.n_rows) {
		rest = m->u.scan.rows[0].value;
		if (claim_log_row_time(&rest, &at) < 0)
			rest.n = 0;
		while (claim_log_row_next(&rest, &l) > 0) {
			if (l.type != ENTRY_RESULT || l.key != k->key)
				continue;
			reason = PF_REASON_NONE;
			answer = l.answer;
		}
	}
	claim_reply_all(c, k, reason, answer, sink);
}

static void delete_expired(struct pf_claim *c, pf_ms now,
			   const struct pf_claim_msg *m,
			   const struct pf_claim_sink *sink)
{
	struct pf_str dels[CLAIM_TXN_ROWS_MAX];
	struct pf_table_txn txn = { .deletes = dels };

	for (size_t i = 0; i < m->u.scan.n_rows && i < CLAIM_TXN_ROWS_MAX;
	     i++) {
		struct pf_str rest = m->u.scan.rows[i].value;
		pf_ms at;

		if (claim_log_row_time(&rest, &at) < 0 ||
		    now - at < 2 * c->opts.retention)
			break;
		dels[txn.n_deletes++] = m->u.scan.rows[i].key;
	}
	c->phase = PHASE_IDLE;
	if (txn.n_deletes == 0)
		return;
	c->stats.rows_deleted += txn.n_deletes;
	c->phase = PHASE_DELETE_EXPIRED;
	emit_txn(c, &txn, sink);
}

/* Continues a scan after its last row. False when it is complete. */
static bool continue_scan(struct pf_claim *c, const struct pf_claim_msg *m,
			  const struct pf_claim_sink *sink)
{
	struct pf_str last;

	if (!m->u.scan.more || m->u.scan.n_rows == 0)
		return false;
	last = m->u.scan.rows[m->u.scan.n_rows - 1].key;
	if (last.n >= sizeof(c->scan_after))
		return false;
	memcpy(c->scan_after, last.p, last.n);
	c->scan_after[last.n] = '\0';
	scan_rows(c, c->phase, sink);
	return true;
}

static void agents_scanned(struct pf_claim *c, pf_ms now,
			   const struct pf_claim_msg *m,
			   const struct pf_claim_sink *sink)
{
	for (size_t i = 0; i < m->u.scan.n_rows && !c->superseded; i++)
		update_agent(c, now, &m->u.scan.rows[i], sink);
	if (c->superseded || continue_scan(c, m, sink))
		return;
	drop_absent_agents(c);
	write_heartbeat(c, now, sink);
}

static void shards_scanned(struct pf_claim *c, const struct pf_claim_msg *m,
			   const struct pf_claim_sink *sink)
{
	for (size_t i = 0; i < m->u.scan.n_rows; i++)
		update_shard(c, &m->u.scan.rows[i], sink);
	if (!continue_scan(c, m, sink))
		c->plan_pending = true;
}

static void log_scanned(struct pf_claim *c, pf_ms now,
			const struct pf_claim_msg *m,
			const struct pf_claim_sink *sink)
{
	claim_read_rows(c, now, m);
	if (claim_read_next(c)) {
		scan_log(c, sink);
		return;
	}
	claim_read_finish(c, now, sink);
	if (c->any_recovering)
		c->next_log_read_at = now + REREAD_INTERVAL_MS;
}

void claim_control_scan_done(struct pf_claim *c, pf_ms now,
			     const struct pf_claim_msg *m,
			     const struct pf_claim_sink *sink)
{
	c->control_op = 0;
	if (m->u.scan.status != PF_TABLE_OK) {
		/* The next cycle scans again. */
		c->next_log_read_at = now + REREAD_INTERVAL_MS;
		return;
	}
	switch (c->phase) {
	case PHASE_SCAN_AGENTS:
		agents_scanned(c, now, m, sink);
		break;
	case PHASE_SCAN_SHARDS:
		shards_scanned(c, m, sink);
		break;
	case PHASE_READ_LOGS:
		log_scanned(c, now, m, sink);
		break;
	case PHASE_READ_ANSWER:
		reply_stored_answer(c, m, sink);
		break;
	case PHASE_SCAN_EXPIRED:
		delete_expired(c, now, m, sink);
		break;
	default:
		break;
	}
}

static void apply_moves(struct pf_claim *c, uint64_t revision,
			const struct pf_claim_sink *sink)
{
	for (uint32_t i = 0; i < c->n_moves; i++) {
		uint32_t shard = c->moves[i].shard;
		struct claim_shard *s = &c->shards[shard];

		if (s->revision) {
			s->past_owners[s->n_past_owners].id = s->owner;
			s->past_owners[s->n_past_owners].owned_until =
				c->moves_sent_at;
			s->n_past_owners++;
		}
		s->epoch++;
		s->owner = c->moves[i].new_owner;
		s->revision = revision;
		claim_shard_lost(c, shard, sink);
		if (claim_is_self(c, s->owner))
			claim_shard_recover(c, shard);
		else
			c->stats.handovers++;
	}
}

void claim_control_txn_done(struct pf_claim *c, const struct pf_claim_msg *m,
			    const struct pf_claim_sink *sink)
{
	struct claim_agent *me = claim_agent_find(c, c->opts.agent);
	bool ok = m->u.txn.status == PF_TABLE_OK;

	c->control_op = 0;
	switch (c->phase) {
	case PHASE_HEARTBEAT:
		if (ok)
			me->revision = m->u.txn.revision;
		c->scan_after[0] = '\0';
		scan_rows(c, PHASE_SCAN_SHARDS, sink);
		break;
	case PHASE_MOVE_SHARDS:
		c->phase = PHASE_IDLE;
		if (ok)
			apply_moves(c, m->u.txn.revision, sink);
		else
			c->plan_pending = false;
		break;
	default:
		break;
	}
}
