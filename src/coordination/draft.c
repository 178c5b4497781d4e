/* The draft core's frame: jobs, their requests to the stores, and scans. */
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
	    !o->renew_batch_max || o->renew_batch_max > DRAFT_TXN_ROWS / 2 ||
	    o->scan_interval < 1 || o->lease < 3 || o->retention < 1 ||
	    o->store_timeout < 1 || o->caller_timeout < 1 || o->backoff < 1)
		return NULL;
	d = calloc(1, sizeof(*d));
	if (!d)
		return NULL;
	d->o = *o;
	d->jobs = calloc(o->jobs_max, sizeof(*d->jobs));
	d->known = calloc(o->open_max, sizeof(*d->known));
	if (!d->jobs || !d->known) {
		pf_draft_free(d);
		return NULL;
	}
	pf_rng_seed(&d->rng, o->seed);
	d->shard = pf_rng_below(&d->rng, PF_DRAFT_SHARDS);
	return d;
}

void pf_draft_free(struct pf_draft *d)
{
	if (!d)
		return;
	for (uint32_t i = 0; d->jobs && i < d->o.jobs_max; i++)
		free(d->jobs[i].body);
	free(d->jobs);
	free(d->known);
	free(d);
}

struct job *draft_job_new(struct pf_draft *d, enum job_kind kind)
{
	for (uint32_t i = 0; i < d->o.jobs_max; i++) {
		struct job *j = &d->jobs[i];

		if (j->kind != JOB_NONE)
			continue;
		*j = (struct job){ .kind = kind,
				   .due = PF_NEVER,
				   .deadline = PF_NEVER,
				   .lease_due = PF_NEVER };
		return j;
	}
	return NULL;
}

void draft_job_free(struct job *j)
{
	free(j->body);
	memset(j, 0, sizeof(*j));
}

int draft_keep(struct job *j, struct pf_str body)
{
	char *copy = pf_str_dup(body);

	if (!copy)
		return -1;
	free(j->body);
	j->body = copy;
	j->body_n = body.n;
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

void draft_ask(const struct step *s, struct job *j, enum job_stage stage,
	       struct pf_draft_act *act)
{
	j->stage = stage;
	j->seq = act->seq = ++s->d->seq;
	j->due = act->type == PF_DRAFT_RUN ? PF_NEVER
					   : s->now + s->d->o.store_timeout;
	draft_emit(s, act);
}

void draft_get(const struct step *s, struct job *j, enum job_stage stage,
	       const char *kind)
{
	struct pf_draft_act act = { .type = PF_DRAFT_ROW_GET };
	char buf[DRAFT_KEY_MAX];

	act.u.key = draft_key(buf, kind, j->id);
	draft_ask(s, j, stage, &act);
}

void draft_commit(const struct step *s, struct job *j, enum job_stage stage)
{
	struct pf_draft_act act = { .type = PF_DRAFT_TXN };

	act.u.txn = s->d->txn.txn;
	draft_ask(s, j, stage, &act);
}

void draft_object(const struct step *s, struct job *j, enum job_stage stage,
		  enum pf_draft_act_type type, struct pf_str name)
{
	struct pf_draft_act act = { .type = type };

	act.u.object.name = name;
	act.u.object.body = (struct pf_str){ j->body, j->body_n };
	draft_ask(s, j, stage, &act);
}

void draft_pause(const struct step *s, struct job *j, enum job_stage next)
{
	pf_ms pause = s->d->o.backoff;

	j->stage = S_PAUSE;
	j->next = next;
	j->seq = 0;
	j->due = s->now + 1 +
		 (pf_ms)((double)pause * (0.5 + pf_rng_unit(&s->d->rng)));
}

static bool of_caller(const struct job *j)
{
	return j->kind == JOB_ASK || j->kind == JOB_FETCH ||
	       j->kind == JOB_CANCEL;
}

/* A request to a store was not answered in time. */
static void timed_out(const struct step *s, struct job *j)
{
	struct pf_draft_msg m = { .seq = j->seq };

	switch (j->stage) {
	case S_STORE:
	case S_CANCEL:
	case S_CLAIM:
	case S_FINISH:
	case S_FORGET:
		m.u.txn.status = PF_TABLE_UNKNOWN;
		if (of_caller(j))
			caller_committed(s, j, PF_TABLE_UNKNOWN);
		else
			run_committed(s, j, &m);
		break;
	case S_KEY:
	case S_OPEN:
	case S_DONE:
		draft_pause(s, j, j->stage);
		break;
	default:
		m.u.object.status = PF_OBJECT_UNKNOWN;
		if (of_caller(j))
			caller_object(s, j, &m);
		else
			run_object(s, j, &m);
		break;
	}
}

static void job_tick(const struct step *s, struct job *j)
{
	if (of_caller(j) && s->now >= j->deadline) {
		caller_give_up(s, j);
		return;
	}
	if (j->lease > LEASE_HELD && s->now >= j->lease_due)
		run_lease_check(s, j);
	if (s->now < j->due)
		return;
	if (j->stage != S_PAUSE)
		timed_out(s, j);
	else if (of_caller(j))
		caller_resume(s, j);
	else
		run_resume(s, j);
}

static void scan_later(const struct step *s)
{
	struct pf_draft *d = s->d;

	d->scan_seq = 0;
	d->scan_due = s->now + 1 +
		      (pf_ms)((double)d->o.scan_interval *
			      (0.5 + pf_rng_unit(&d->rng)));
}

/* The shard's rows are what the coming pages say. */
static void forget_shard(struct pf_draft *d)
{
	char digit = "0123456789abcdef"[d->shard];
	uint32_t kept = 0;

	for (uint32_t i = 0; i < d->n_known; i++)
		if (d->known[i].id[0] != digit)
			d->known[kept++] = d->known[i];
	d->n_known = kept;
}

static void scan(const struct step *s)
{
	struct pf_draft *d = s->d;
	struct pf_draft_act act = { .type = PF_DRAFT_ROW_SCAN };
	char prefix[DRAFT_KEY_MAX];
	char digit[2] = { "0123456789abcdef"[d->shard], '\0' };

	act.u.scan.prefix =
		draft_key(prefix, d->scan_done_rows ? "done" : "open", digit);
	act.u.scan.after = pf_str_c(d->after);
	act.u.scan.limit = d->o.scan_limit;
	if (!d->scan_done_rows && !d->after[0])
		forget_shard(d);
	d->scan_seq = act.seq = ++d->seq;
	d->scan_due = s->now + d->o.store_timeout;
	draft_emit(s, &act);
}

static void next_shard(const struct step *s)
{
	struct pf_draft *d = s->d;

	d->after[0] = '\0';
	d->scan_done_rows = !d->scan_done_rows;
	if (d->scan_done_rows)
		return;
	d->shard = (d->shard + 1) % PF_DRAFT_SHARDS;
	if (++d->shards_done == PF_DRAFT_SHARDS) {
		d->shards_done = 0;
		d->stats.last_full_scan = s->now;
	}
}

static void know(struct pf_draft *d, const char *id, uint64_t caller)
{
	struct known *k = &d->known[d->n_known];

	if (d->n_known == d->o.open_max)
		return;
	d->n_known++;
	k->caller = caller;
	memcpy(k->id, id, sizeof(k->id));
}

/* "draft/open/ID" and "draft/done/ID" have prefixes of one length. */
static int row_id(const struct pf_table_row *row, char *id)
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

static void scanned_row(const struct step *s, const struct pf_table_row *row)
{
	struct draft_row r;
	char id[PF_DRAFT_ID_MAX];

	if (row_id(row, id) < 0 || draft_row_parse(row->value, &r) < 0)
		return;
	if (s->d->scan_done_rows) {
		if (r.until <= s->now)
			run_expire(s, id, &r, row->revision);
		return;
	}
	know(s->d, id, r.caller);
	if (!r.holder || r.until <= s->now)
		run_claim(s, id, &r, row->revision);
}

static void on_scan(const struct step *s, const struct pf_draft_msg *m)
{
	struct pf_draft *d = s->d;
	size_t n = m->u.rows.n_rows;

	if (m->u.rows.status != PF_TABLE_OK) {
		scan_later(s);
		return;
	}
	for (size_t i = 0; i < n; i++)
		scanned_row(s, &m->u.rows.rows[i]);
	if (n == d->o.scan_limit &&
	    m->u.rows.rows[n - 1].key.n < DRAFT_KEY_MAX) {
		memcpy(d->after, m->u.rows.rows[n - 1].key.p,
		       m->u.rows.rows[n - 1].key.n);
		d->after[m->u.rows.rows[n - 1].key.n] = '\0';
	} else {
		next_shard(s);
	}
	scan_later(s);
}

static void on_tick(const struct step *s)
{
	struct pf_draft *d = s->d;

	for (uint32_t i = 0; i < d->o.jobs_max; i++)
		if (d->jobs[i].kind != JOB_NONE)
			job_tick(s, &d->jobs[i]);
	run_renew(s);
	if (s->now < d->scan_due)
		return;
	if (d->scan_seq)
		scan_later(s);
	else
		scan(s);
}

static struct job *job_of(struct pf_draft *d, uint64_t seq)
{
	for (uint32_t i = 0; seq && i < d->o.jobs_max; i++)
		if (d->jobs[i].kind != JOB_NONE && d->jobs[i].seq == seq)
			return &d->jobs[i];
	return NULL;
}

static void on_lease(const struct step *s, const struct pf_draft_msg *m)
{
	for (uint32_t i = 0; i < s->d->o.jobs_max; i++) {
		struct job *j = &s->d->jobs[i];

		if (j->kind != JOB_RUN || j->lease_seq != m->seq)
			continue;
		if (m->type == PF_DRAFT_TXN_DONE && j->lease == LEASE_RENEWING)
			run_lease_committed(s, j, m);
		else if (m->type == PF_DRAFT_ROWS_DONE &&
			 j->lease == LEASE_CHECKING)
			run_lease_row(s, j, m);
	}
}

static void on_answer(const struct step *s, const struct pf_draft_msg *m)
{
	struct job *j = job_of(s->d, m->seq);

	if (!m->seq)
		return;
	if (m->type == PF_DRAFT_ROWS_DONE && m->seq == s->d->scan_seq)
		on_scan(s, m);
	else if (!j)
		on_lease(s, m);
	else if (m->type == PF_DRAFT_ROWS_DONE)
		caller_row(s, j, m);
	else if (m->type == PF_DRAFT_TXN_DONE && of_caller(j))
		caller_committed(s, j, m->u.txn.status);
	else if (m->type == PF_DRAFT_TXN_DONE)
		run_committed(s, j, m);
	else if (m->type == PF_DRAFT_OBJECT_DONE && of_caller(j))
		caller_object(s, j, m);
	else if (m->type == PF_DRAFT_OBJECT_DONE)
		run_object(s, j, m);
	else if (m->type == PF_DRAFT_RUN_DONE && j->stage == S_RUNNING)
		run_ran(s, j, m);
}

void pf_draft_step(struct pf_draft *d, pf_ms now,
		   const struct pf_draft_msg *msg,
		   const struct pf_draft_sink *sink)
{
	struct step s = { d, now, sink };

	switch (msg->type) {
	case PF_DRAFT_SUBMIT:
		caller_ask(&s, msg);
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
		on_answer(&s, msg);
		break;
	}
}

static pf_ms earlier(pf_ms a, pf_ms b)
{
	return a < b ? a : b;
}

pf_ms pf_draft_next(const struct pf_draft *d)
{
	pf_ms next = d->scan_due;

	for (uint32_t i = 0; i < d->o.jobs_max; i++) {
		const struct job *j = &d->jobs[i];

		if (j->kind == JOB_NONE)
			continue;
		next = earlier(next, earlier(j->due, j->deadline));
		next = earlier(next, j->lease_due);
	}
	return next;
}

void pf_draft_stats(const struct pf_draft *d, struct pf_draft_stats *s)
{
	*s = d->stats;
	s->open = d->n_known;
	s->oldest_created = PF_NEVER;
	for (uint32_t i = 0; i < d->n_known; i++)
		s->oldest_created = earlier(s->oldest_created,
					    draft_id_time(d->known[i].id));
}
