/* Draft core: callers' requests to submit, fetch and cancel. */
#include "draft_internal.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define RETRY_AFTER_MS 5000

static void reply(const struct step *s, uint64_t ticket,
		  enum pf_draft_outcome outcome, const char *id,
		  uint32_t status, struct pf_str body)
{
	struct pf_draft_act act = { .type = PF_DRAFT_REPLY };

	act.u.reply.ticket = ticket;
	act.u.reply.outcome = outcome;
	act.u.reply.id = pf_str_c(id);
	act.u.reply.status = status;
	act.u.reply.body = body;
	if (outcome >= PF_DRAFT_OUTCOME_TOO_MANY ||
	    outcome == PF_DRAFT_OUTCOME_OPEN)
		act.u.reply.retry_after = RETRY_AFTER_MS;
	s->d->stats.outcomes[outcome]++;
	draft_emit(s, &act);
}

static void reply_and_free(const struct step *s, struct job *j,
			   enum pf_draft_outcome outcome, const char *id)
{
	reply(s, j->ticket, outcome, id, 0, (struct pf_str){ 0 });
	draft_job_free(j);
}

/* Deletes the body of a draft that was not accepted; ignores the result. */
static void delete_body(const struct step *s, const struct job *j)
{
	struct pf_draft_act act = { .type = PF_DRAFT_OBJECT_DELETE };
	char buf[DRAFT_KEY_MAX];

	act.u.object.name = draft_body_name(buf, j->id);
	draft_emit(s, &act);
}

static bool over_quota(const struct pf_draft *d, uint64_t caller)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < d->n_open; i++)
		n += d->open_drafts[i].caller == caller;
	/* Submissions in progress count as well. */
	for (uint32_t i = 0; i < d->opts.jobs_max; i++)
		n += d->jobs[i].kind == JOB_SUBMIT &&
		     d->jobs[i].caller == caller;
	return n >= d->opts.caller_open_max || d->n_open >= d->opts.open_max;
}

static void put_body(const struct step *s, struct job *j)
{
	char buf[DRAFT_KEY_MAX];

	draft_send_object(s, j, STAGE_PUT_BODY, PF_DRAFT_OBJECT_PUT,
			  draft_body_name(buf, j->id));
}

static uint64_t random_48_bits(struct pf_draft *d)
{
	return (uint64_t)(pf_rng_unit(&d->rng) * 0x1p48);
}

void caller_submit(const struct step *s, const struct pf_draft_msg *m)
{
	struct pf_draft *d = s->d;
	struct job *j = NULL;

	if (over_quota(d, m->u.submit.caller)) {
		reply(s, m->u.submit.ticket, PF_DRAFT_OUTCOME_TOO_MANY, "", 0,
		      (struct pf_str){ 0 });
		return;
	}
	j = draft_job_new(d, JOB_SUBMIT);
	if (!j || draft_set_payload(j, m->u.submit.body) < 0) {
		if (j)
			draft_job_free(j);
		reply(s, m->u.submit.ticket, PF_DRAFT_OUTCOME_UNAVAILABLE, "",
		      0, (struct pf_str){ 0 });
		return;
	}
	j->ticket = m->u.submit.ticket;
	j->caller = m->u.submit.caller;
	j->deadline = s->now + d->opts.caller_timeout;
	j->row.caller = m->u.submit.caller;
	j->row.idem_key = m->u.submit.idem_key;
	j->row.body_digest = pf_id(m->u.submit.body);
	draft_id_format(j->id, pf_rng_below(&d->rng, PF_DRAFT_SHARDS), s->now,
			pf_id2(d->opts.holder,
			       random_48_bits(d) ^ ++d->last_seq));
	put_body(s, j);
}

static void send_accept(const struct step *s, struct job *j)
{
	struct draft_txn *t = &s->d->txn;
	char key[DRAFT_KEY_MAX], value[DRAFT_VALUE_MAX];

	draft_txn_init(t);
	draft_txn_check(t, draft_row_key(key, "done", j->id), 0);
	draft_txn_check(t, draft_row_key(key, "open", j->id), 0);
	draft_txn_put(t, draft_row_key(key, "open", j->id),
		      draft_row_format(value, &j->row));
	if (j->row.idem_key) {
		draft_idem_row_key(key, j->row.idem_key);
		snprintf(value, sizeof(value), "%s %" PRIx64, j->id,
			 j->row.body_digest);
		draft_txn_check(t, pf_str_c(key), 0);
		draft_txn_put(t, pf_str_c(key), pf_str_c(value));
	}
	draft_send_txn(s, j, STAGE_ACCEPT);
}

static void get_key_row(const struct step *s, struct job *j)
{
	struct pf_draft_act act = { .type = PF_DRAFT_ROW_GET };
	char buf[DRAFT_KEY_MAX];

	act.u.key = draft_idem_row_key(buf, j->row.idem_key);
	draft_send(s, j, STAGE_GET_KEY_ROW, &act);
}

static void on_accepted(const struct step *s, struct job *j)
{
	struct pf_draft *d = s->d;

	if (d->n_open < d->opts.open_max) {
		struct open_draft *k = &d->open_drafts[d->n_open++];

		k->caller = j->caller;
		memcpy(k->id, j->id, sizeof(k->id));
	}
	reply_and_free(s, j, PF_DRAFT_OUTCOME_ACCEPTED, j->id);
}

static void on_accept_done(const struct step *s, struct job *j,
			   enum pf_table_status status)
{
	if (status == PF_TABLE_OK) {
		on_accepted(s, j);
	} else if (status == PF_TABLE_CONFLICT && j->row.idem_key) {
		get_key_row(s, j);
	} else if (status == PF_TABLE_CONFLICT && j->in_doubt) {
		/* Only this job writes rows of this id: it was applied. */
		on_accepted(s, j);
	} else if (status == PF_TABLE_CONFLICT) {
		caller_fail(s, j);
	} else {
		j->in_doubt |= status == PF_TABLE_UNKNOWN;
		draft_back_off(s, j, STAGE_ACCEPT);
	}
}

static void on_key_row(const struct step *s, struct job *j,
		       const struct pf_draft_msg *m)
{
	char text[DRAFT_VALUE_MAX];
	char id[PF_DRAFT_ID_MAX];
	struct pf_str v;
	uint64_t digest;

	if (!m->u.rows.n_rows) {
		draft_back_off(s, j, STAGE_ACCEPT);
		return;
	}
	v = m->u.rows.rows[0].value;
	if (v.n >= sizeof(text)) {
		caller_fail(s, j);
		return;
	}
	memcpy(text, v.p, v.n);
	text[v.n] = '\0';
	if (sscanf(text, "%31s %" SCNx64, id, &digest) != 2) {
		caller_fail(s, j);
	} else if (strcmp(id, j->id) == 0) {
		on_accepted(s, j);
	} else {
		delete_body(s, j);
		reply_and_free(s, j,
			       digest == j->row.body_digest
				       ? PF_DRAFT_OUTCOME_ACCEPTED
				       : PF_DRAFT_OUTCOME_KEY_REUSED,
			       id);
	}
}

void caller_fetch(const struct step *s, const struct pf_draft_msg *m,
		  enum job_kind kind)
{
	struct job *j = NULL;

	if (!draft_id_valid(m->u.fetch.id)) {
		reply(s, m->u.fetch.ticket, PF_DRAFT_OUTCOME_NOT_FOUND, "", 0,
		      (struct pf_str){ 0 });
		return;
	}
	j = draft_job_new(s->d, kind);
	if (!j) {
		reply(s, m->u.fetch.ticket, PF_DRAFT_OUTCOME_UNAVAILABLE, "", 0,
		      (struct pf_str){ 0 });
		return;
	}
	j->ticket = m->u.fetch.ticket;
	j->caller = m->u.fetch.caller;
	j->deadline = s->now + s->d->opts.caller_timeout;
	memcpy(j->id, m->u.fetch.id.p, m->u.fetch.id.n);
	draft_send_get(s, j, STAGE_GET_OPEN_ROW, "open");
}

static void send_cancel(const struct step *s, struct job *j)
{
	struct draft_txn *t = &s->d->txn;
	char key[DRAFT_KEY_MAX], value[DRAFT_VALUE_MAX];
	struct draft_row done = j->row;

	done.holder = 0;
	done.status = 0;
	done.expiry = s->now + s->d->opts.retention;
	draft_txn_init(t);
	draft_txn_check(t, draft_row_key(key, "open", j->id), j->revision);
	draft_txn_delete(t, pf_str_c(key));
	draft_txn_put(t, draft_row_key(key, "done", j->id),
		      draft_row_format(value, &done));
	draft_send_txn(s, j, STAGE_CANCEL);
}

static void get_answer(const struct step *s, struct job *j)
{
	char buf[DRAFT_KEY_MAX];

	draft_send_object(s, j, STAGE_GET_ANSWER, PF_DRAFT_OBJECT_GET,
			  draft_answer_name(buf, j->id, j->row.epoch));
}

static void on_open_row(const struct step *s, struct job *j, bool found)
{
	if (!found)
		draft_send_get(s, j, STAGE_GET_DONE_ROW, "done");
	else if (j->row.caller != j->caller)
		reply_and_free(s, j, PF_DRAFT_OUTCOME_NOT_FOUND, j->id);
	else if (j->kind == JOB_CANCEL)
		send_cancel(s, j);
	else
		reply_and_free(s, j, PF_DRAFT_OUTCOME_OPEN, j->id);
}

static void on_done_row(const struct step *s, struct job *j, bool found)
{
	if (!found || j->row.caller != j->caller || j->row.expiry <= s->now)
		reply_and_free(s, j, PF_DRAFT_OUTCOME_NOT_FOUND, j->id);
	else if (!j->row.status)
		reply_and_free(s, j, PF_DRAFT_OUTCOME_CANCELLED, j->id);
	else
		get_answer(s, j);
}

void caller_rows_done(const struct step *s, struct job *j,
		      const struct pf_draft_msg *m)
{
	bool found = m->u.rows.n_rows > 0;

	if (m->u.rows.status != PF_TABLE_OK) {
		draft_back_off(s, j, j->stage);
		return;
	}
	if (j->stage == STAGE_GET_KEY_ROW) {
		on_key_row(s, j, m);
		return;
	}
	if (found) {
		j->revision = m->u.rows.rows[0].revision;
		if (draft_row_parse(m->u.rows.rows[0].value, &j->row) < 0) {
			caller_fail(s, j);
			return;
		}
	}
	if (j->stage == STAGE_GET_OPEN_ROW)
		on_open_row(s, j, found);
	else
		on_done_row(s, j, found);
}

void caller_txn_done(const struct step *s, struct job *j,
		     enum pf_table_status status)
{
	if (j->stage == STAGE_ACCEPT) {
		on_accept_done(s, j, status);
	} else if (status == PF_TABLE_OK) {
		reply_and_free(s, j, PF_DRAFT_OUTCOME_CANCELLED, j->id);
	} else {
		j->in_doubt |= status == PF_TABLE_UNKNOWN;
		draft_back_off(s, j, STAGE_GET_OPEN_ROW);
	}
}

void caller_object_done(const struct step *s, struct job *j,
			const struct pf_draft_msg *m)
{
	if (m->u.object.status == PF_OBJECT_UNKNOWN) {
		draft_back_off(s, j, j->stage);
	} else if (j->stage == STAGE_PUT_BODY) {
		send_accept(s, j);
	} else if (m->u.object.status == PF_OBJECT_OK) {
		reply(s, j->ticket, PF_DRAFT_OUTCOME_ANSWER, j->id,
		      j->row.status, m->u.object.body);
		draft_job_free(j);
	} else {
		/* The retention may have ended: read the done row again. */
		draft_back_off(s, j, STAGE_GET_DONE_ROW);
	}
}

void caller_resume(const struct step *s, struct job *j)
{
	switch (j->resume_stage) {
	case STAGE_PUT_BODY:
		put_body(s, j);
		break;
	case STAGE_ACCEPT:
		send_accept(s, j);
		break;
	case STAGE_GET_KEY_ROW:
		get_key_row(s, j);
		break;
	case STAGE_GET_ANSWER:
		get_answer(s, j);
		break;
	case STAGE_GET_DONE_ROW:
		draft_send_get(s, j, STAGE_GET_DONE_ROW, "done");
		break;
	default:
		draft_send_get(s, j, STAGE_GET_OPEN_ROW, "open");
		break;
	}
}

void caller_fail(const struct step *s, struct job *j)
{
	/* A transaction in flight may still take effect. */
	bool in_doubt = j->in_doubt || j->stage == STAGE_ACCEPT ||
			j->stage == STAGE_CANCEL;
#ifdef PF_MUTANT_DRAFT_REFUSE
	in_doubt = false;
#endif

	if (j->kind == JOB_SUBMIT && !in_doubt)
		delete_body(s, j);
	reply_and_free(s, j,
		       in_doubt ? PF_DRAFT_OUTCOME_UNKNOWN
				: PF_DRAFT_OUTCOME_UNAVAILABLE,
		       j->id);
}
