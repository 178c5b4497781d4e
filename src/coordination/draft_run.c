/* Draft core: leases, runs, and deletion after the retention. */
#include "draft_internal.h"

#include <stdlib.h>
#include <string.h>

static bool has_background_job(const struct pf_draft *d, const char *id)
{
	for (uint32_t i = 0; i < d->opts.jobs_max; i++) {
		const struct job *j = &d->jobs[i];

		if ((j->kind == JOB_RUN || j->kind == JOB_EXPIRE) &&
		    strcmp(j->id, id) == 0)
			return true;
	}
	return false;
}

static uint32_t count_background_jobs(const struct pf_draft *d)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < d->opts.jobs_max; i++)
		n += d->jobs[i].kind == JOB_RUN ||
		     d->jobs[i].kind == JOB_EXPIRE;
	return n;
}

static struct job *background_job_new(const struct step *s, enum job_kind kind,
				      const char *id, const struct draft_row *r,
				      uint64_t revision)
{
	struct job *j = NULL;

	if (has_background_job(s->d, id) ||
	    count_background_jobs(s->d) >= s->d->opts.runs_max)
		return NULL;
	j = draft_job_new(s->d, kind);
	if (!j)
		return NULL;
	memcpy(j->id, id, sizeof(j->id));
	j->row = *r;
	j->revision = revision;
	return j;
}

void run_claim(const struct step *s, const char *id, const struct draft_row *r,
	       uint64_t revision)
{
	struct job *j = background_job_new(s, JOB_RUN, id, r, revision);
	struct draft_txn *t = &s->d->txn;
	char key[DRAFT_KEY_MAX], value[DRAFT_VALUE_MAX];

	if (!j)
		return;
	s->d->stats.leases_lapsed += r->holder != 0;
	j->row.holder = s->d->opts.holder;
	j->row.epoch++;
	j->row.expiry = s->now + s->d->opts.lease;
	draft_txn_init(t);
	draft_txn_check(t, draft_row_key(key, "open", id), revision);
	draft_txn_put(t, pf_str_c(key), draft_row_format(value, &j->row));
	draft_send_txn(s, j, STAGE_CLAIM);
}

static void get_body(const struct step *s, struct job *j)
{
	char buf[DRAFT_KEY_MAX];

	draft_send_object(s, j, STAGE_GET_BODY, PF_DRAFT_OBJECT_GET,
			  draft_body_name(buf, j->id));
}

static void start_run(const struct step *s, struct job *j)
{
	struct pf_draft_act act = { .type = PF_DRAFT_RUN };

	act.u.run.id = pf_str_c(j->id);
	act.u.run.caller = j->row.caller;
	act.u.run.body = (struct pf_str){ j->payload, j->payload_len };
	s->d->stats.runs++;
	draft_send(s, j, STAGE_RUNNING, &act);
}

static void put_answer(const struct step *s, struct job *j)
{
	char buf[DRAFT_KEY_MAX];

	draft_send_object(s, j, STAGE_PUT_ANSWER, PF_DRAFT_OBJECT_PUT,
			  draft_answer_name(buf, j->id, j->row.epoch));
}

static void send_finish(const struct step *s, struct job *j)
{
	struct draft_txn *t = &s->d->txn;
	char key[DRAFT_KEY_MAX], value[DRAFT_VALUE_MAX];
	struct draft_row done = j->row;

	if (j->lease != LEASE_HELD) {
		j->stage = STAGE_WAIT_LEASE;
		j->seq = 0;
		j->wake_at = PF_NEVER;
		return;
	}
	done.holder = 0;
	done.status = j->status;
	done.expiry = s->now + s->d->opts.retention;
	draft_txn_init(t);
#ifndef PF_MUTANT_DRAFT_FENCE
	draft_txn_check(t, draft_row_key(key, "open", j->id), j->revision);
#endif
	draft_txn_delete(t, draft_row_key(key, "open", j->id));
	draft_txn_put(t, draft_row_key(key, "done", j->id),
		      draft_row_format(value, &done));
	draft_send_txn(s, j, STAGE_FINISH);
}

/* The lease is lost: another entry took it, or the draft is done. */
static void abandon_run(const struct step *s, struct job *j)
{
	struct pf_draft_act act = { .type = PF_DRAFT_RUN_CANCEL,
				    .seq = j->seq };

	if (j->stage == STAGE_RUNNING)
		draft_emit(s, &act);
	draft_job_free(j);
}

static void on_lease_held(const struct step *s, struct job *j,
			  uint64_t revision)
{
	j->revision = revision;
	j->lease = LEASE_HELD;
	j->lease_wake_at = s->now + s->d->opts.lease / 3;
	if (j->stage == STAGE_WAIT_LEASE)
		send_finish(s, j);
}

void run_check_lease(const struct step *s, struct job *j)
{
	struct pf_draft_act act = { .type = PF_DRAFT_ROW_GET };
	char key[DRAFT_KEY_MAX];

	j->lease = LEASE_CHECKING;
	j->lease_seq = act.seq = ++s->d->last_seq;
	j->lease_wake_at = s->now + s->d->opts.store_timeout;
	act.u.key = draft_row_key(key, "open", j->id);
	draft_emit(s, &act);
}

void run_lease_rows_done(const struct step *s, struct job *j,
			 const struct pf_draft_msg *m)
{
	struct draft_row r;

	if (m->u.rows.status != PF_TABLE_OK)
		return; /* repeated at lease_wake_at */
	if (!m->u.rows.n_rows ||
	    draft_row_parse(m->u.rows.rows[0].value, &r) < 0 ||
	    r.holder != j->row.holder || r.epoch != j->row.epoch) {
		abandon_run(s, j);
		return;
	}
	j->row.expiry = r.expiry;
	on_lease_held(s, j, m->u.rows.rows[0].revision);
}

void run_lease_txn_done(const struct step *s, struct job *j,
			const struct pf_draft_msg *m)
{
	if (m->u.txn.status == PF_TABLE_OK) {
		on_lease_held(s, j, m->u.txn.revision);
	} else if (m->u.txn.status == PF_TABLE_LIMITED) {
		on_lease_held(s, j, j->revision);
		j->lease_wake_at = s->now + s->d->opts.backoff;
	} else {
		run_check_lease(s, j);
	}
}

static bool renewal_due(const struct job *j, pf_ms by)
{
	return j->kind == JOB_RUN && j->lease == LEASE_HELD &&
	       j->stage != STAGE_FINISH && j->lease_wake_at <= by;
}

/*
 * Renews leases in one transaction, including those that are due within a
 * sixth of the lease, so that fewer transactions are needed.
 */
static void renew_batch(const struct step *s, uint64_t seq)
{
	struct pf_draft *d = s->d;
	char key[DRAFT_KEY_MAX], value[DRAFT_VALUE_MAX];
	uint32_t n = 0;

	for (uint32_t i = 0;
	     i < d->opts.jobs_max && n < d->opts.renew_batch_max; i++) {
		struct job *j = &d->jobs[i];

		if (!renewal_due(j, s->now + d->opts.lease / 6))
			continue;
		n++;
		j->lease = LEASE_RENEWING;
		j->lease_seq = seq;
		j->lease_wake_at = s->now + d->opts.store_timeout;
		j->row.expiry = s->now + d->opts.lease;
		draft_txn_check(&d->txn, draft_row_key(key, "open", j->id),
				j->revision);
		draft_txn_put(&d->txn, pf_str_c(key),
			      draft_row_format(value, &j->row));
	}
}

static bool any_renewal_due(const struct step *s)
{
	for (uint32_t i = 0; i < s->d->opts.jobs_max; i++)
		if (renewal_due(&s->d->jobs[i], s->now))
			return true;
	return false;
}

void run_renew_leases(const struct step *s)
{
	while (any_renewal_due(s)) {
		struct pf_draft_act act = { .type = PF_DRAFT_TXN };

		draft_txn_init(&s->d->txn);
		act.seq = ++s->d->last_seq;
		renew_batch(s, act.seq);
		act.u.txn = s->d->txn.txn;
		draft_emit(s, &act);
	}
}

void run_done(const struct step *s, struct job *j, const struct pf_draft_msg *m)
{
	if (!m->u.run.final || draft_set_payload(j, m->u.run.body) < 0) {
		draft_back_off(s, j, STAGE_GET_BODY);
		return;
	}
	j->status = m->u.run.status;
	put_answer(s, j);
}

static void delete_rows(const struct step *s, struct job *j)
{
	struct draft_txn *t = &s->d->txn;
	char key[DRAFT_KEY_MAX];

	draft_txn_init(t);
	draft_txn_check(t, draft_row_key(key, "done", j->id), j->revision);
	draft_txn_delete(t, pf_str_c(key));
	if (j->row.idem_key)
		draft_txn_delete(t, draft_idem_row_key(key, j->row.idem_key));
	draft_send_txn(s, j, STAGE_DELETE_ROWS);
}

/*
 * Deletes the body, then the answer of each epoch, since any holder may have
 * written one, and then the rows.
 */
static void delete_next_object(const struct step *s, struct job *j)
{
	char buf[DRAFT_KEY_MAX];
	uint32_t i = j->next_object++;

	if (i > j->row.epoch)
		delete_rows(s, j);
	else
		draft_send_object(s, j, STAGE_DELETE_OBJECTS,
				  PF_DRAFT_OBJECT_DELETE,
				  i ? draft_answer_name(buf, j->id, i)
				    : draft_body_name(buf, j->id));
}

void run_expire(const struct step *s, const char *id, const struct draft_row *r,
		uint64_t revision)
{
	struct job *j = background_job_new(s, JOB_EXPIRE, id, r, revision);

	if (j)
		delete_next_object(s, j);
}

void run_object_done(const struct step *s, struct job *j,
		     const struct pf_draft_msg *m)
{
	enum pf_object_status st = m->u.object.status;

	if (j->stage == STAGE_DELETE_OBJECTS) {
		if (st == PF_OBJECT_UNKNOWN)
			draft_job_free(j); /* the next scan retries */
		else
			delete_next_object(s, j);
	} else if (st == PF_OBJECT_UNKNOWN) {
		draft_back_off(s, j, j->stage);
	} else if (j->stage == STAGE_PUT_ANSWER) {
		send_finish(s, j);
	} else if (st == PF_OBJECT_NOT_FOUND) {
		/* The body is lost: the caller gets this error as answer. */
		j->status = 500;
		draft_set_payload(
			j, PF_STR("{\"error\":{\"code\":\"body_lost\"}}"));
		put_answer(s, j);
	} else if (draft_set_payload(j, m->u.object.body) < 0) {
		draft_back_off(s, j, j->stage);
	} else {
		start_run(s, j);
	}
}

static void on_claim_done(const struct step *s, struct job *j,
			  const struct pf_draft_msg *m)
{
	if (m->u.txn.status != PF_TABLE_OK) {
		draft_job_free(j); /* a later scan retries if needed */
		return;
	}
	on_lease_held(s, j, m->u.txn.revision);
	get_body(s, j);
}

void run_txn_done(const struct step *s, struct job *j,
		  const struct pf_draft_msg *m)
{
	enum pf_table_status st = m->u.txn.status;

	if (j->stage == STAGE_CLAIM) {
		on_claim_done(s, j, m);
	} else if (j->stage == STAGE_DELETE_ROWS) {
		s->d->stats.expired += st == PF_TABLE_OK;
		draft_job_free(j);
	} else if (st == PF_TABLE_OK) {
		s->d->stats.finished++;
		draft_job_free(j);
	} else if (st == PF_TABLE_LIMITED) {
		draft_back_off(s, j, STAGE_FINISH);
	} else {
		j->stage = STAGE_WAIT_LEASE;
		j->seq = 0;
		j->wake_at = PF_NEVER;
		run_check_lease(s, j);
	}
}

void run_resume(const struct step *s, struct job *j)
{
	if (j->resume_stage == STAGE_PUT_ANSWER)
		put_answer(s, j);
	else if (j->resume_stage == STAGE_FINISH)
		send_finish(s, j);
	else
		get_body(s, j);
}
