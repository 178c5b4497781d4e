/* Leases on drafts, their runs, and the end of what was kept. */
#include "draft_internal.h"

#include <stdlib.h>
#include <string.h>

static bool at_work(const struct pf_draft *d, const char *id)
{
	for (uint32_t i = 0; i < d->o.jobs_max; i++) {
		const struct job *j = &d->jobs[i];

		if ((j->kind == JOB_RUN || j->kind == JOB_EXPIRE) &&
		    strcmp(j->id, id) == 0)
			return true;
	}
	return false;
}

static uint32_t at_work_count(const struct pf_draft *d)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < d->o.jobs_max; i++)
		n += d->jobs[i].kind == JOB_RUN ||
		     d->jobs[i].kind == JOB_EXPIRE;
	return n;
}

static struct job *work_new(const struct step *s, enum job_kind kind,
			    const char *id, const struct draft_row *r,
			    uint64_t revision)
{
	struct job *j = NULL;

	if (at_work(s->d, id) || at_work_count(s->d) >= s->d->o.runs_max)
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
	struct job *j = work_new(s, JOB_RUN, id, r, revision);
	struct draft_txn *t = &s->d->txn;
	char key[DRAFT_KEY_MAX], value[DRAFT_VALUE_MAX];

	if (!j)
		return;
	s->d->stats.leases_lapsed += r->holder != 0;
	j->row.holder = s->d->o.holder;
	j->row.epoch++;
	j->row.until = s->now + s->d->o.lease;
	draft_txn_init(t);
	draft_txn_check(t, draft_key(key, "open", id), revision);
	draft_txn_put(t, pf_str_c(key), draft_row_text(value, &j->row));
	draft_commit(s, j, S_CLAIM);
}

static void read_body(const struct step *s, struct job *j)
{
	char buf[DRAFT_KEY_MAX];

	draft_object(s, j, S_READ_BODY, PF_DRAFT_OBJECT_GET,
		     draft_body_name(buf, j->id));
}

static void run(const struct step *s, struct job *j)
{
	struct pf_draft_act act = { .type = PF_DRAFT_RUN };

	act.u.run.id = pf_str_c(j->id);
	act.u.run.caller = j->row.caller;
	act.u.run.body = (struct pf_str){ j->body, j->body_n };
	s->d->stats.runs++;
	draft_ask(s, j, S_RUNNING, &act);
}

static void write_answer(const struct step *s, struct job *j)
{
	char buf[DRAFT_KEY_MAX];

	draft_object(s, j, S_WRITE_ANSWER, PF_DRAFT_OBJECT_PUT,
		     draft_answer_name(buf, j->id, j->row.epoch));
}

static void finish(const struct step *s, struct job *j)
{
	struct draft_txn *t = &s->d->txn;
	char key[DRAFT_KEY_MAX], value[DRAFT_VALUE_MAX];
	struct draft_row done = j->row;

	if (j->lease != LEASE_HELD) {
		j->stage = S_FINISH_WAIT;
		j->seq = 0;
		j->due = PF_NEVER;
		return;
	}
	done.holder = 0;
	done.status = j->status;
	done.until = s->now + s->d->o.retention;
	draft_txn_init(t);
#ifndef PF_MUTANT_DRAFT_FENCE
	draft_txn_check(t, draft_key(key, "open", j->id), j->revision);
#endif
	draft_txn_delete(t, draft_key(key, "open", j->id));
	draft_txn_put(t, draft_key(key, "done", j->id),
		      draft_row_text(value, &done));
	draft_commit(s, j, S_FINISH);
}

/* Somebody else has the draft, or it is finished. */
static void drop(const struct step *s, struct job *j)
{
	struct pf_draft_act act = { .type = PF_DRAFT_RUN_CANCEL,
				    .seq = j->seq };

	if (j->stage == S_RUNNING)
		draft_emit(s, &act);
	draft_job_free(j);
}

static void lease_held(const struct step *s, struct job *j, uint64_t revision)
{
	j->revision = revision;
	j->lease = LEASE_HELD;
	j->lease_due = s->now + s->d->o.lease / 3;
	if (j->stage == S_FINISH_WAIT)
		finish(s, j);
}

/* Whether the lease is still ours is known only by reading. */
void run_lease_check(const struct step *s, struct job *j)
{
	struct pf_draft_act act = { .type = PF_DRAFT_ROW_GET };
	char key[DRAFT_KEY_MAX];

	j->lease = LEASE_CHECKING;
	j->lease_seq = act.seq = ++s->d->seq;
	j->lease_due = s->now + s->d->o.store_timeout;
	act.u.key = draft_key(key, "open", j->id);
	draft_emit(s, &act);
}

void run_lease_row(const struct step *s, struct job *j,
		   const struct pf_draft_msg *m)
{
	struct draft_row r;

	if (m->u.rows.status != PF_TABLE_OK)
		return; /* asked again when it is due */
	if (!m->u.rows.n_rows ||
	    draft_row_parse(m->u.rows.rows[0].value, &r) < 0 ||
	    r.holder != j->row.holder || r.epoch != j->row.epoch) {
		drop(s, j);
		return;
	}
	j->row.until = r.until;
	lease_held(s, j, m->u.rows.rows[0].revision);
}

void run_lease_committed(const struct step *s, struct job *j,
			 const struct pf_draft_msg *m)
{
	if (m->u.txn.status == PF_TABLE_OK) {
		lease_held(s, j, m->u.txn.revision);
	} else if (m->u.txn.status == PF_TABLE_LIMITED) {
		lease_held(s, j, j->revision);
		j->lease_due = s->now + s->d->o.backoff;
	} else {
		run_lease_check(s, j);
	}
}

static bool renewable(const struct job *j, pf_ms by)
{
	return j->kind == JOB_RUN && j->lease == LEASE_HELD &&
	       j->stage != S_FINISH && j->lease_due <= by;
}

/* Many leases, one transaction: those that are due soon go with it. */
static void renew_batch(const struct step *s, uint64_t seq)
{
	struct pf_draft *d = s->d;
	char key[DRAFT_KEY_MAX], value[DRAFT_VALUE_MAX];
	uint32_t n = 0;

	for (uint32_t i = 0; i < d->o.jobs_max && n < d->o.renew_batch_max;
	     i++) {
		struct job *j = &d->jobs[i];

		if (!renewable(j, s->now + d->o.lease / 6))
			continue;
		n++;
		j->lease = LEASE_RENEWING;
		j->lease_seq = seq;
		j->lease_due = s->now + d->o.store_timeout;
		j->row.until = s->now + d->o.lease;
		draft_txn_check(&d->txn, draft_key(key, "open", j->id),
				j->revision);
		draft_txn_put(&d->txn, pf_str_c(key),
			      draft_row_text(value, &j->row));
	}
}

static bool any_due(const struct step *s)
{
	for (uint32_t i = 0; i < s->d->o.jobs_max; i++)
		if (renewable(&s->d->jobs[i], s->now))
			return true;
	return false;
}

void run_renew(const struct step *s)
{
	while (any_due(s)) {
		struct pf_draft_act act = { .type = PF_DRAFT_TXN };

		draft_txn_init(&s->d->txn);
		act.seq = ++s->d->seq;
		renew_batch(s, act.seq);
		act.u.txn = s->d->txn.txn;
		draft_emit(s, &act);
	}
}

void run_ran(const struct step *s, struct job *j, const struct pf_draft_msg *m)
{
	if (!m->u.run.final || draft_keep(j, m->u.run.body) < 0) {
		draft_pause(s, j, S_READ_BODY);
		return;
	}
	j->status = m->u.run.status;
	write_answer(s, j);
}

static void forget(const struct step *s, struct job *j)
{
	struct draft_txn *t = &s->d->txn;
	char key[DRAFT_KEY_MAX];

	draft_txn_init(t);
	draft_txn_check(t, draft_key(key, "done", j->id), j->revision);
	draft_txn_delete(t, pf_str_c(key));
	if (j->row.key)
		draft_txn_delete(t, draft_key_row(key, j->row.key));
	draft_commit(s, j, S_FORGET);
}

/* The body, then what each holder may have written, then the rows. */
static void delete_next(const struct step *s, struct job *j)
{
	char buf[DRAFT_KEY_MAX];
	uint32_t i = j->object++;

	if (i > j->row.epoch)
		forget(s, j);
	else
		draft_object(s, j, S_OBJECTS, PF_DRAFT_OBJECT_DELETE,
			     i ? draft_answer_name(buf, j->id, i)
			       : draft_body_name(buf, j->id));
}

void run_expire(const struct step *s, const char *id, const struct draft_row *r,
		uint64_t revision)
{
	struct job *j = work_new(s, JOB_EXPIRE, id, r, revision);

	if (j)
		delete_next(s, j);
}

void run_object(const struct step *s, struct job *j,
		const struct pf_draft_msg *m)
{
	enum pf_object_status st = m->u.object.status;

	if (j->stage == S_OBJECTS) {
		if (st == PF_OBJECT_UNKNOWN)
			draft_job_free(j); /* the next scan finds it again */
		else
			delete_next(s, j);
	} else if (st == PF_OBJECT_UNKNOWN) {
		draft_pause(s, j, j->stage);
	} else if (j->stage == S_WRITE_ANSWER) {
		finish(s, j);
	} else if (st == PF_OBJECT_NOT_FOUND) {
		/* Not silently: its caller gets this as the answer. */
		j->status = 500;
		draft_keep(j, PF_STR("{\"error\":{\"code\":\"body_lost\"}}"));
		write_answer(s, j);
	} else if (draft_keep(j, m->u.object.body) < 0) {
		draft_pause(s, j, j->stage);
	} else {
		run(s, j);
	}
}

static void claimed(const struct step *s, struct job *j,
		    const struct pf_draft_msg *m)
{
	if (m->u.txn.status != PF_TABLE_OK) {
		draft_job_free(j); /* a later scan decides */
		return;
	}
	lease_held(s, j, m->u.txn.revision);
	read_body(s, j);
}

void run_committed(const struct step *s, struct job *j,
		   const struct pf_draft_msg *m)
{
	enum pf_table_status st = m->u.txn.status;

	if (j->stage == S_CLAIM) {
		claimed(s, j, m);
	} else if (j->stage == S_FORGET) {
		s->d->stats.expired += st == PF_TABLE_OK;
		draft_job_free(j);
	} else if (st == PF_TABLE_OK) {
		s->d->stats.finished++;
		draft_job_free(j);
	} else if (st == PF_TABLE_LIMITED) {
		draft_pause(s, j, S_FINISH);
	} else {
		j->stage = S_FINISH_WAIT;
		j->seq = 0;
		j->due = PF_NEVER;
		run_lease_check(s, j);
	}
}

void run_resume(const struct step *s, struct job *j)
{
	if (j->next == S_WRITE_ANSWER)
		write_answer(s, j);
	else if (j->next == S_FINISH)
		finish(s, j);
	else
		read_body(s, j);
}
