/* What callers ask of drafts: accept, fetch, cancel. */
#include "draft_internal.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define RETRY_MS 5000

static void tell(const struct step *s, uint64_t ticket,
		 enum pf_draft_outcome outcome, const char *id, uint32_t status,
		 struct pf_str body)
{
	struct pf_draft_act act = { .type = PF_DRAFT_REPLY };

	act.u.reply.ticket = ticket;
	act.u.reply.outcome = outcome;
	act.u.reply.id = pf_str_c(id);
	act.u.reply.status = status;
	act.u.reply.body = body;
	if (outcome >= PF_DRAFT_OUTCOME_TOO_MANY ||
	    outcome == PF_DRAFT_OUTCOME_OPEN)
		act.u.reply.retry_after = RETRY_MS;
	s->d->stats.outcomes[outcome]++;
	draft_emit(s, &act);
}

static void end(const struct step *s, struct job *j,
		enum pf_draft_outcome outcome, const char *id)
{
	tell(s, j->ticket, outcome, id, 0, (struct pf_str){ 0 });
	draft_job_free(j);
}

/* The body of a draft that was not accepted; unheard. */
static void drop_body(const struct step *s, const struct job *j)
{
	struct pf_draft_act act = { .type = PF_DRAFT_OBJECT_DELETE };
	char buf[DRAFT_KEY_MAX];

	act.u.object.name = draft_body_name(buf, j->id);
	draft_emit(s, &act);
}

static bool over_quota(const struct pf_draft *d, uint64_t caller)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < d->n_known; i++)
		n += d->known[i].caller == caller;
	/* Those that are being accepted here count as well. */
	for (uint32_t i = 0; i < d->o.jobs_max; i++)
		n += d->jobs[i].kind == JOB_ASK && d->jobs[i].caller == caller;
	return n >= d->o.caller_open_max || d->n_known >= d->o.open_max;
}

static void write_body(const struct step *s, struct job *j)
{
	char buf[DRAFT_KEY_MAX];

	draft_object(s, j, S_BODY, PF_DRAFT_OBJECT_PUT,
		     draft_body_name(buf, j->id));
}

static uint64_t draw(struct pf_draft *d)
{
	return (uint64_t)(pf_rng_unit(&d->rng) * 0x1p48);
}

void caller_ask(const struct step *s, const struct pf_draft_msg *m)
{
	struct pf_draft *d = s->d;
	struct job *j = NULL;

	if (over_quota(d, m->u.submit.caller)) {
		tell(s, m->u.submit.ticket, PF_DRAFT_OUTCOME_TOO_MANY, "", 0,
		     (struct pf_str){ 0 });
		return;
	}
	j = draft_job_new(d, JOB_ASK);
	if (!j || draft_keep(j, m->u.submit.body) < 0) {
		if (j)
			draft_job_free(j);
		tell(s, m->u.submit.ticket, PF_DRAFT_OUTCOME_UNAVAILABLE, "", 0,
		     (struct pf_str){ 0 });
		return;
	}
	j->ticket = m->u.submit.ticket;
	j->caller = m->u.submit.caller;
	j->deadline = s->now + d->o.caller_timeout;
	j->row.caller = m->u.submit.caller;
	j->row.key = m->u.submit.idem_key;
	j->row.digest = pf_id(m->u.submit.body);
	draft_id_make(j->id, pf_rng_below(&d->rng, PF_DRAFT_SHARDS), s->now,
		      pf_id2(d->o.holder, draw(d) ^ ++d->seq));
	write_body(s, j);
}

static void store(const struct step *s, struct job *j)
{
	struct draft_txn *t = &s->d->txn;
	char key[DRAFT_KEY_MAX], value[DRAFT_VALUE_MAX];

	draft_txn_init(t);
	draft_txn_check(t, draft_key(key, "done", j->id), 0);
	draft_txn_check(t, draft_key(key, "open", j->id), 0);
	draft_txn_put(t, draft_key(key, "open", j->id),
		      draft_row_text(value, &j->row));
	if (j->row.key) {
		draft_key_row(key, j->row.key);
		snprintf(value, sizeof(value), "%s %" PRIx64, j->id,
			 j->row.digest);
		draft_txn_check(t, pf_str_c(key), 0);
		draft_txn_put(t, pf_str_c(key), pf_str_c(value));
	}
	draft_commit(s, j, S_STORE);
}

static void read_key(const struct step *s, struct job *j)
{
	struct pf_draft_act act = { .type = PF_DRAFT_ROW_GET };
	char buf[DRAFT_KEY_MAX];

	act.u.key = draft_key_row(buf, j->row.key);
	draft_ask(s, j, S_KEY, &act);
}

static void accepted(const struct step *s, struct job *j)
{
	struct pf_draft *d = s->d;

	if (d->n_known < d->o.open_max) {
		struct known *k = &d->known[d->n_known++];

		k->caller = j->caller;
		memcpy(k->id, j->id, sizeof(k->id));
	}
	end(s, j, PF_DRAFT_OUTCOME_ACCEPTED, j->id);
}

static void stored(const struct step *s, struct job *j,
		   enum pf_table_status status)
{
	if (status == PF_TABLE_OK) {
		accepted(s, j);
	} else if (status == PF_TABLE_CONFLICT && j->row.key) {
		read_key(s, j);
	} else if (status == PF_TABLE_CONFLICT && j->sent) {
		/* Nothing else writes rows of this id. */
		accepted(s, j);
	} else if (status == PF_TABLE_CONFLICT) {
		caller_give_up(s, j);
	} else {
		j->sent |= status == PF_TABLE_UNKNOWN;
		draft_pause(s, j, S_STORE);
	}
}

static void on_key(const struct step *s, struct job *j,
		   const struct pf_draft_msg *m)
{
	char text[DRAFT_VALUE_MAX];
	char id[PF_DRAFT_ID_MAX];
	struct pf_str v;
	uint64_t digest;

	if (!m->u.rows.n_rows) {
		draft_pause(s, j, S_STORE);
		return;
	}
	v = m->u.rows.rows[0].value;
	if (v.n >= sizeof(text)) {
		caller_give_up(s, j);
		return;
	}
	memcpy(text, v.p, v.n);
	text[v.n] = '\0';
	if (sscanf(text, "%31s %" SCNx64, id, &digest) != 2) {
		caller_give_up(s, j);
	} else if (strcmp(id, j->id) == 0) {
		accepted(s, j);
	} else {
		drop_body(s, j);
		end(s, j,
		    digest == j->row.digest ? PF_DRAFT_OUTCOME_ACCEPTED
					    : PF_DRAFT_OUTCOME_KEY_REUSED,
		    id);
	}
}

void caller_fetch(const struct step *s, const struct pf_draft_msg *m,
		  enum job_kind kind)
{
	struct job *j = NULL;

	if (!draft_id_valid(m->u.fetch.id)) {
		tell(s, m->u.fetch.ticket, PF_DRAFT_OUTCOME_NOT_FOUND, "", 0,
		     (struct pf_str){ 0 });
		return;
	}
	j = draft_job_new(s->d, kind);
	if (!j) {
		tell(s, m->u.fetch.ticket, PF_DRAFT_OUTCOME_UNAVAILABLE, "", 0,
		     (struct pf_str){ 0 });
		return;
	}
	j->ticket = m->u.fetch.ticket;
	j->caller = m->u.fetch.caller;
	j->deadline = s->now + s->d->o.caller_timeout;
	memcpy(j->id, m->u.fetch.id.p, m->u.fetch.id.n);
	draft_get(s, j, S_OPEN, "open");
}

static void cancel(const struct step *s, struct job *j)
{
	struct draft_txn *t = &s->d->txn;
	char key[DRAFT_KEY_MAX], value[DRAFT_VALUE_MAX];
	struct draft_row done = j->row;

	done.holder = 0;
	done.status = 0;
	done.until = s->now + s->d->o.retention;
	draft_txn_init(t);
	draft_txn_check(t, draft_key(key, "open", j->id), j->revision);
	draft_txn_delete(t, pf_str_c(key));
	draft_txn_put(t, draft_key(key, "done", j->id),
		      draft_row_text(value, &done));
	draft_commit(s, j, S_CANCEL);
}

static void read_answer(const struct step *s, struct job *j)
{
	char buf[DRAFT_KEY_MAX];

	draft_object(s, j, S_ANSWER, PF_DRAFT_OBJECT_GET,
		     draft_answer_name(buf, j->id, j->row.epoch));
}

static void on_open(const struct step *s, struct job *j, bool there)
{
	if (!there)
		draft_get(s, j, S_DONE, "done");
	else if (j->row.caller != j->caller)
		end(s, j, PF_DRAFT_OUTCOME_NOT_FOUND, j->id);
	else if (j->kind == JOB_CANCEL)
		cancel(s, j);
	else
		end(s, j, PF_DRAFT_OUTCOME_OPEN, j->id);
}

static void on_done(const struct step *s, struct job *j, bool there)
{
	if (!there || j->row.caller != j->caller || j->row.until <= s->now)
		end(s, j, PF_DRAFT_OUTCOME_NOT_FOUND, j->id);
	else if (!j->row.status)
		end(s, j, PF_DRAFT_OUTCOME_CANCELLED, j->id);
	else
		read_answer(s, j);
}

void caller_row(const struct step *s, struct job *j,
		const struct pf_draft_msg *m)
{
	bool there = m->u.rows.n_rows > 0;

	if (m->u.rows.status != PF_TABLE_OK) {
		draft_pause(s, j, j->stage);
		return;
	}
	if (j->stage == S_KEY) {
		on_key(s, j, m);
		return;
	}
	if (there) {
		j->revision = m->u.rows.rows[0].revision;
		if (draft_row_parse(m->u.rows.rows[0].value, &j->row) < 0) {
			caller_give_up(s, j);
			return;
		}
	}
	if (j->stage == S_OPEN)
		on_open(s, j, there);
	else
		on_done(s, j, there);
}

void caller_committed(const struct step *s, struct job *j,
		      enum pf_table_status status)
{
	if (j->stage == S_STORE) {
		stored(s, j, status);
	} else if (status == PF_TABLE_OK) {
		end(s, j, PF_DRAFT_OUTCOME_CANCELLED, j->id);
	} else {
		j->sent |= status == PF_TABLE_UNKNOWN;
		draft_pause(s, j, S_OPEN);
	}
}

void caller_object(const struct step *s, struct job *j,
		   const struct pf_draft_msg *m)
{
	if (m->u.object.status == PF_OBJECT_UNKNOWN) {
		draft_pause(s, j, j->stage);
	} else if (j->stage == S_BODY) {
		store(s, j);
	} else if (m->u.object.status == PF_OBJECT_OK) {
		tell(s, j->ticket, PF_DRAFT_OUTCOME_ANSWER, j->id,
		     j->row.status, m->u.object.body);
		draft_job_free(j);
	} else {
		/* Its retention may just have ended: the row says. */
		draft_pause(s, j, S_DONE);
	}
}

void caller_resume(const struct step *s, struct job *j)
{
	switch (j->next) {
	case S_BODY:
		write_body(s, j);
		break;
	case S_STORE:
		store(s, j);
		break;
	case S_KEY:
		read_key(s, j);
		break;
	case S_ANSWER:
		read_answer(s, j);
		break;
	case S_DONE:
		draft_get(s, j, S_DONE, "done");
		break;
	default:
		draft_get(s, j, S_OPEN, "open");
		break;
	}
}

void caller_give_up(const struct step *s, struct job *j)
{
	/* A transaction under way at the deadline may still take effect. */
	bool sent = j->sent || j->stage == S_STORE || j->stage == S_CANCEL;
#ifdef PF_MUTANT_DRAFT_REFUSE
	sent = false;
#endif

	if (j->kind == JOB_ASK && !sent)
		drop_body(s, j);
	end(s, j,
	    sent ? PF_DRAFT_OUTCOME_UNKNOWN : PF_DRAFT_OUTCOME_UNAVAILABLE,
	    j->id);
}
