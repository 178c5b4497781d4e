/* Draft core: jobs, their acts at the stores, scans, message dispatch. */
#include "draft_internal.h"

#include <stdlib.h>
#include <string.h>

void pf_draft_opts_default(struct pf_draft_opts *o)
{
	*o = (struct pf_draft_opts){
		.seed = 1,
		.holder = 1,
		.jobs_max = 256,
		.runs_max = 32,
		.open_max = 4096,
		.caller_open_max = 256,
		.scan_limit = 100,
		.renew_batch_max = 16,
		.scan_interval = 500,
		.lease = 15000,
		.retention = 24LL * 3600 * 1000,
		.store_timeout = 2000,
		.caller_timeout = 8000,
		.backoff = 250,
	};
}

struct pf_draft *pf_draft_new(const struct pf_draft_opts *o)
{
	struct pf_draft *d;

	if (!o->holder || !o->jobs_max || !o->open_max || !o->scan_limit ||
	    !o->renew_batch_max ||
	    o->renew_batch_max > DRAFT_TXN_ROWS_MAX / 2 ||
	    o->scan_interval < 1 || o->lease < 3 || o->retention < 1 ||
	    o->store_timeout < 1 || o->caller_timeout < 1 || o->backoff < 1)
		return NULL;
	d = calloc(1, sizeof(*d));
	if (!d)
		return NULL;
	d->opts = *o;
	d->jobs = calloc(o->jobs_max, sizeof(*d->jobs));
	d->open_drafts = calloc(o->open_max, sizeof(*d->open_drafts));
	if (!d->jobs || !d->open_drafts) {
		pf_draft_free(d);
		return NULL;
	}
	pf_rng_seed(&d->rng, o->seed);
	d->scan_shard = pf_rng_below(&d->rng, PF_DRAFT_SHARDS);
	return d;
}

void pf_draft_free(struct pf_draft *d)
{
	if (!d)
		return;
	for (uint32_t i = 0; d->jobs && i < d->opts.jobs_max; i++)
		free(d->jobs[i].payload);
	free(d->jobs);
	free(d->open_drafts);
	free(d);
}

struct job *draft_job_new(struct pf_draft *d, enum job_kind kind)
{
	for (uint32_t i = 0; i < d->opts.jobs_max; i++) {
		struct job *j = &d->jobs[i];

		if (j->kind != JOB_NONE)
			continue;
		*j = (struct job){ .kind = kind,
				   .wake_at = PF_NEVER,
				   .deadline = PF_NEVER,
				   .lease_wake_at = PF_NEVER };
		return j;
	}
	return NULL;
}

void draft_job_free(struct job *j)
{
	free(j->payload);
	memset(j, 0, sizeof(*j));
}

int draft_set_payload(struct job *j, struct pf_str payload)
{
	char *copy = pf_str_dup(payload);

	if (!copy)
		return -1;
	free(j->payload);
	j->payload = copy;
	j->payload_len = payload.n;
	return 0;
}

void draft_emit(const struct step *s, struct pf_draft_act *act)
{
	switch (act->type) {
	case PF_DRAFT_TXN:
		s->d->stats.writes++;
		break;
	case PF_DRAFT_ROW_GET:
	case PF_DRAFT_ROW_SCAN:
		s->d->stats.reads++;
		break;
	default:
		break;
	}
	s->sink->emit(s->sink->ctx, act);
}

void draft_send(const struct step *s, struct job *j, enum job_stage stage,
		struct pf_draft_act *act)
{
	j->stage = stage;
	j->seq = act->seq = ++s->d->last_seq;
	j->wake_at = act->type == PF_DRAFT_RUN
			     ? PF_NEVER
			     : s->now + s->d->opts.store_timeout;
	draft_emit(s, act);
}

void draft_send_get(const struct step *s, struct job *j, enum job_stage stage,
		    const char *kind)
{
	struct pf_draft_act act = { .type = PF_DRAFT_ROW_GET };
	char buf[DRAFT_KEY_MAX];

	act.u.key = draft_row_key(buf, kind, j->id);
	draft_send(s, j, stage, &act);
}

void draft_send_txn(const struct step *s, struct job *j, enum job_stage stage)
{
	struct pf_draft_act act = { .type = PF_DRAFT_TXN };

	act.u.txn = s->d->txn.txn;
	draft_send(s, j, stage, &act);
}

void draft_send_object(const struct step *s, struct job *j,
		       enum job_stage stage, enum pf_draft_act_type type,
		       struct pf_str name)
{
	struct pf_draft_act act = { .type = type };

	act.u.object.name = name;
	act.u.object.body = (struct pf_str){ j->payload, j->payload_len };
	draft_send(s, j, stage, &act);
}

void draft_back_off(const struct step *s, struct job *j,
		    enum job_stage resume_stage)
{
	pf_ms backoff = s->d->opts.backoff;

	j->stage = STAGE_BACKOFF;
	j->resume_stage = resume_stage;
	j->seq = 0;
	j->wake_at = s->now + 1 +
		     (pf_ms)((double)backoff * (0.5 + pf_rng_unit(&s->d->rng)));
}

static bool is_caller_job(const struct job *j)
{
	return j->kind == JOB_SUBMIT || j->kind == JOB_FETCH ||
	       j->kind == JOB_CANCEL;
}

/* Treats the act in flight as answered with an unknown result. */
static void on_store_timeout(const struct step *s, struct job *j)
{
	struct pf_draft_msg m = { .seq = j->seq };

	switch (j->stage) {
	case STAGE_ACCEPT:
	case STAGE_CANCEL:
	case STAGE_CLAIM:
	case STAGE_FINISH:
	case STAGE_DELETE_ROWS:
		m.u.txn.status = PF_TABLE_UNKNOWN;
		if (is_caller_job(j))
			caller_txn_done(s, j, PF_TABLE_UNKNOWN);
		else
			run_txn_done(s, j, &m);
		break;
	case STAGE_GET_KEY_ROW:
	case STAGE_GET_OPEN_ROW:
	case STAGE_GET_DONE_ROW:
		draft_back_off(s, j, j->stage);
		break;
	default:
		m.u.object.status = PF_OBJECT_UNKNOWN;
		if (is_caller_job(j))
			caller_object_done(s, j, &m);
		else
			run_object_done(s, j, &m);
		break;
	}
}

static void job_tick(const struct step *s, struct job *j)
{
	if (is_caller_job(j) && s->now >= j->deadline) {
		caller_fail(s, j);
		return;
	}
	if (j->lease > LEASE_HELD && s->now >= j->lease_wake_at)
		run_check_lease(s, j);
	if (s->now < j->wake_at)
		return;
	if (j->stage != STAGE_BACKOFF)
		on_store_timeout(s, j);
	else if (is_caller_job(j))
		caller_resume(s, j);
	else
		run_resume(s, j);
}

static void schedule_scan(const struct step *s)
{
	struct pf_draft *d = s->d;

	d->scan_seq = 0;
	d->scan_wake_at = s->now + 1 +
			  (pf_ms)((double)d->opts.scan_interval *
				  (0.5 + pf_rng_unit(&d->rng)));
}

/* Removes the shard's open drafts, which the scan is about to list anew. */
static void remove_shard(struct pf_draft *d)
{
	char digit = "0123456789abcdef"[d->scan_shard];
	uint32_t kept = 0;

	for (uint32_t i = 0; i < d->n_open; i++)
		if (d->open_drafts[i].id[0] != digit)
			d->open_drafts[kept++] = d->open_drafts[i];
	d->n_open = kept;
}

static void send_scan(const struct step *s)
{
	struct pf_draft *d = s->d;
	struct pf_draft_act act = { .type = PF_DRAFT_ROW_SCAN };
	char prefix[DRAFT_KEY_MAX];
	char digit[2] = { "0123456789abcdef"[d->scan_shard], '\0' };

	act.u.scan.prefix = draft_row_key(
		prefix, d->scanning_done ? "done" : "open", digit);
	act.u.scan.after = pf_str_c(d->scan_after);
	act.u.scan.limit = d->opts.scan_limit;
	if (!d->scanning_done && !d->scan_after[0])
		remove_shard(d);
	d->scan_seq = act.seq = ++d->last_seq;
	d->scan_wake_at = s->now + d->opts.store_timeout;
	draft_emit(s, &act);
}

static void advance_scan(const struct step *s)
{
	struct pf_draft *d = s->d;

	d->scan_after[0] = '\0';
	d->scanning_done = !d->scanning_done;
	if (d->scanning_done)
		return;
	d->scan_shard = (d->scan_shard + 1) % PF_DRAFT_SHARDS;
	if (++d->shards_scanned == PF_DRAFT_SHARDS) {
		d->shards_scanned = 0;
		d->stats.last_full_scan = s->now;
	}
}

static void add_open_draft(struct pf_draft *d, const char *id, uint64_t caller)
{
	struct open_draft *k = &d->open_drafts[d->n_open];

	if (d->n_open == d->opts.open_max)
		return;
	d->n_open++;
	k->caller = caller;
	memcpy(k->id, id, sizeof(k->id));
}

/* Extracts the id from "draft/open/ID" or "draft/done/ID". */
static int parse_row_key(const struct pf_table_row *row, char *id)
{
	size_t skip = strlen("draft/open/");
	struct pf_str s;

	if (row->key.n <= skip)
		return -1;
	s = (struct pf_str){ row->key.p + skip, row->key.n - skip };
	memset(id, 0, PF_DRAFT_ID_MAX);
	if (!draft_id_valid(s))
		return -1;
	memcpy(id, s.p, s.n);
	return 0;
}

static void on_scanned_row(const struct step *s, const struct pf_table_row *row)
{
	struct draft_row r;
	char id[PF_DRAFT_ID_MAX];

	if (parse_row_key(row, id) < 0 || draft_row_parse(row->value, &r) < 0)
		return;
	if (s->d->scanning_done) {
		if (r.expiry <= s->now)
			run_expire(s, id, &r, row->revision);
		return;
	}
	add_open_draft(s->d, id, r.caller);
	if (!r.holder || r.expiry <= s->now)
		run_claim(s, id, &r, row->revision);
}

static void on_scan(const struct step *s, const struct pf_draft_msg *m)
{
	struct pf_draft *d = s->d;
	size_t n = m->u.rows.n_rows;

	if (m->u.rows.status != PF_TABLE_OK) {
		schedule_scan(s);
		return;
	}
	for (size_t i = 0; i < n; i++)
		on_scanned_row(s, &m->u.rows.rows[i]);
	if (n == d->opts.scan_limit &&
	    m->u.rows.rows[n - 1].key.n < DRAFT_KEY_MAX) {
		memcpy(d->scan_after, m->u.rows.rows[n - 1].key.p,
		       m->u.rows.rows[n - 1].key.n);
		d->scan_after[m->u.rows.rows[n - 1].key.n] = '\0';
	} else {
		advance_scan(s);
	}
	schedule_scan(s);
}

static void on_tick(const struct step *s)
{
	struct pf_draft *d = s->d;

	for (uint32_t i = 0; i < d->opts.jobs_max; i++)
		if (d->jobs[i].kind != JOB_NONE)
			job_tick(s, &d->jobs[i]);
	run_renew_leases(s);
	if (s->now < d->scan_wake_at)
		return;
	if (d->scan_seq)
		schedule_scan(s);
	else
		send_scan(s);
}

static struct job *find_job(struct pf_draft *d, uint64_t seq)
{
	for (uint32_t i = 0; seq && i < d->opts.jobs_max; i++)
		if (d->jobs[i].kind != JOB_NONE && d->jobs[i].seq == seq)
			return &d->jobs[i];
	return NULL;
}

static void on_lease_act_done(const struct step *s,
			      const struct pf_draft_msg *m)
{
	for (uint32_t i = 0; i < s->d->opts.jobs_max; i++) {
		struct job *j = &s->d->jobs[i];

		if (j->kind != JOB_RUN || j->lease_seq != m->seq)
			continue;
		if (m->type == PF_DRAFT_TXN_DONE && j->lease == LEASE_RENEWING)
			run_lease_txn_done(s, j, m);
		else if (m->type == PF_DRAFT_ROWS_DONE &&
			 j->lease == LEASE_CHECKING)
			run_lease_rows_done(s, j, m);
	}
}

static void on_act_done(const struct step *s, const struct pf_draft_msg *m)
{
	struct job *j = find_job(s->d, m->seq);

	if (!m->seq)
		return;
	if (m->type == PF_DRAFT_ROWS_DONE && m->seq == s->d->scan_seq)
		on_scan(s, m);
	else if (!j)
		on_lease_act_done(s, m);
	else if (m->type == PF_DRAFT_ROWS_DONE)
		caller_rows_done(s, j, m);
	else if (m->type == PF_DRAFT_TXN_DONE && is_caller_job(j))
		caller_txn_done(s, j, m->u.txn.status);
	else if (m->type == PF_DRAFT_TXN_DONE)
		run_txn_done(s, j, m);
	else if (m->type == PF_DRAFT_OBJECT_DONE && is_caller_job(j))
		caller_object_done(s, j, m);
	else if (m->type == PF_DRAFT_OBJECT_DONE)
		run_object_done(s, j, m);
	else if (m->type == PF_DRAFT_RUN_DONE && j->stage == STAGE_RUNNING)
		run_done(s, j, m);
}

void pf_draft_step(struct pf_draft *d, pf_ms now,
		   const struct pf_draft_msg *msg,
		   const struct pf_draft_sink *sink)
{
	struct step s = { d, now, sink };

	switch (msg->type) {
	case PF_DRAFT_SUBMIT:
		caller_submit(&s, msg);
		break;
	case PF_DRAFT_FETCH:
		caller_fetch(&s, msg, JOB_FETCH);
		break;
	case PF_DRAFT_CANCEL:
		caller_fetch(&s, msg, JOB_CANCEL);
		break;
	case PF_DRAFT_TICK:
		on_tick(&s);
		break;
	default:
		on_act_done(&s, msg);
		break;
	}
}

static pf_ms min_ms(pf_ms a, pf_ms b)
{
	return a < b ? a : b;
}

pf_ms pf_draft_next(const struct pf_draft *d)
{
	pf_ms next = d->scan_wake_at;

	for (uint32_t i = 0; i < d->opts.jobs_max; i++) {
		const struct job *j = &d->jobs[i];

		if (j->kind == JOB_NONE)
			continue;
		next = min_ms(next, min_ms(j->wake_at, j->deadline));
		next = min_ms(next, j->lease_wake_at);
	}
	return next;
}

void pf_draft_stats(const struct pf_draft *d, struct pf_draft_stats *s)
{
	*s = d->stats;
	s->open = d->n_open;
	s->oldest_created = PF_NEVER;
	for (uint32_t i = 0; i < d->n_open; i++)
		s->oldest_created = min_ms(s->oldest_created,
					   draft_id_time(d->open_drafts[i].id));
}
