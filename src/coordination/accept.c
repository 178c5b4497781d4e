/*
 * Accept core: the state machine of a change. An attempt reads the head row,
 * syncs the mirror to it, reads the change's own row, evaluates the change and
 * commits it. It is retried after a backoff when the table did not reply or
 * another commit came first.
 */
#include "pimentoford/accept.h"

#include "accept_internal.h"

#include <stdlib.h>
#include <string.h>

enum stage {
	STAGE_IDLE,
	STAGE_READ_HEAD,
	STAGE_READ_RECORDS, /* snapshot of all records */
	STAGE_READ_AUDITS, /* commits since the mirror's revision */
	STAGE_READ_CHANGE, /* the row of the change's id */
	STAGE_COMMIT,
	STAGE_CLOSE_ID, /* of a refused change */
	STAGE_BACKOFF,
};

struct pf_accept {
	struct pf_accept_opts opts;
	char region[PF_LABEL_MAX];
	struct pf_rng rng;
	struct accept_job *jobs; /* ring; the first one runs */
	uint32_t first_job;
	uint32_t n_jobs;
	enum stage stage;
	uint64_t request_seq; /* of the request in flight */
	pf_ms next_tick; /* request timeout or end of the backoff */
	uint32_t attempt; /* of the running change, from 1 */
	struct accept_head head;
	struct pf_mirror mirror;
	bool mirror_complete; /* a whole snapshot was read */
	char scan_cursor[PF_ROW_KEY_MAX]; /* scans read above this key */
	uint32_t n_snapshots; /* started in this attempt */
	uint64_t commit_revision; /* configuration after the commit */
	/* The result of a commit of the running change was lost. It can only
	 * take effect while the head row is at in_doubt_row_revision. */
	bool commit_in_doubt;
	uint64_t in_doubt_row_revision;
	struct accept_evaluation refusal; /* to report after CLOSE_ID */
	struct pf_accept_stats stats;
};

static const char *const outcome_codes[] = {
#define DEF(name, code) code,
	PF_CHANGE_OUTCOMES(DEF)
#undef DEF
};

const char *pf_change_outcome_code(enum pf_change_outcome o)
{
	return outcome_codes[o];
}

void pf_accept_opts_default(struct pf_accept_opts *o)
{
	*o = (struct pf_accept_opts){
		.seed = 1,
		.region = "",
		.changes_max = 64,
		.records_max = 1024,
		.scan_limit = 400, /* the table returns at most 500 rows */
		.attempts_max = 40,
		.backoff_min = 20,
		.backoff_max = 1000,
		.table_timeout = 2000,
		.change_timeout = 15000,
		.schema_max = PF_SCHEMA_MAX,
	};
}

struct pf_accept *pf_accept_new(const struct pf_accept_opts *o)
{
	struct pf_accept *a;

	if (!o->changes_max || !o->scan_limit || !o->attempts_max ||
	    o->backoff_min < 1 || o->backoff_max < o->backoff_min ||
	    o->table_timeout < 1 || o->change_timeout < 1 || !o->region ||
	    strlen(o->region) >= PF_LABEL_MAX)
		return NULL;
	a = calloc(1, sizeof(*a));
	if (!a)
		return NULL;
	a->jobs = calloc(o->changes_max, sizeof(*a->jobs));
	if (!a->jobs) {
		free(a);
		return NULL;
	}
	a->opts = *o;
	memcpy(a->region, o->region, strlen(o->region));
	a->opts.region = a->region;
	a->next_tick = PF_NEVER;
	pf_rng_seed(&a->rng, o->seed);
	return a;
}

static struct accept_job *job_at(struct pf_accept *a, uint32_t i)
{
	return &a->jobs[(a->first_job + i) % a->opts.changes_max];
}

void pf_accept_free(struct pf_accept *a)
{
	if (!a)
		return;
	for (uint32_t i = 0; i < a->n_jobs; i++)
		accept_job_free(job_at(a, i));
	free(a->jobs);
	accept_evaluation_free(&a->refusal);
	pf_mirror_clear(&a->mirror);
	free(a);
}

/* Context of one call of pf_accept_step(). */
struct step {
	struct pf_accept *a;
	pf_ms now;
	const struct pf_accept_sink *sink;
};

static void emit(const struct step *s, const struct pf_accept_act *act)
{
	s->sink->emit(s->sink->ctx, act);
}

static void emit_result(const struct step *s, uint64_t request_id,
			enum pf_change_outcome outcome, uint64_t revision,
			const struct pf_findings *f)
{
	struct pf_accept_act act = { .type = PF_ACCEPT_RESULT };

	act.u.result.request_id = request_id;
	act.u.result.outcome = outcome;
	act.u.result.revision = revision;
	act.u.result.findings = f;
	s->a->stats.outcomes[outcome]++;
	emit(s, &act);
}

/* Sends one request to the table; its reply is handled in @stage. */
static void send_request(const struct step *s, enum stage stage,
			 struct pf_accept_act *act)
{
	struct pf_accept *a = s->a;

	a->stage = stage;
	a->next_tick = s->now + a->opts.table_timeout;
	act->seq = ++a->request_seq;
	if (act->type == PF_ACCEPT_COMMIT)
		a->stats.commits++;
	else
		a->stats.reads++;
	emit(s, act);
}

static void send_get(const struct step *s, enum stage stage, struct pf_str key)
{
	struct pf_accept_act act = { .type = PF_ACCEPT_GET };

	act.u.key = key;
	send_request(s, stage, &act);
}

static void send_scan(const struct step *s, enum stage stage,
		      struct pf_str prefix)
{
	struct pf_accept_act act = { .type = PF_ACCEPT_SCAN };

	act.u.scan.prefix = prefix;
	act.u.scan.after = pf_str_c(s->a->scan_cursor);
	act.u.scan.limit = s->a->opts.scan_limit;
	send_request(s, stage, &act);
}

static void read_head(const struct step *s)
{
	send_get(s, STAGE_READ_HEAD, PF_STR(PF_ROW_HEAD));
}

/* Reports the outcome and frees the running change. */
static void finish_change(const struct step *s, enum pf_change_outcome outcome,
			  uint64_t revision, const struct pf_findings *f)
{
	struct pf_accept *a = s->a;
	struct accept_job *j = job_at(a, 0);
	uint64_t request_id = j->request_id;

	accept_job_free(j);
	a->first_job = (a->first_job + 1) % a->opts.changes_max;
	a->n_jobs--;
	a->stage = STAGE_IDLE;
	a->next_tick = PF_NEVER;
	emit_result(s, request_id, outcome, revision, f);
}

static void finish_unavailable(const struct step *s)
{
	struct pf_accept *a = s->a;
	struct pf_findings f = { 0 };

	if (a->commit_in_doubt || job_at(a, 0)->resent) {
		pf_findings_add(&f, "table",
				"did not confirm whether the change was "
				"applied; resend it with the same id");
		finish_change(s, PF_CHANGE_UNKNOWN, 0, &f);
	} else {
		pf_findings_add(&f, "table",
				"is unavailable or busy; the change was not "
				"applied");
		finish_change(s, PF_CHANGE_UNAVAILABLE, 0, &f);
	}
	pf_findings_clear(&f);
}

/* Starts the first queued change if none is running. */
static void start_next_change(const struct step *s)
{
	struct pf_accept *a = s->a;

	while (a->stage == STAGE_IDLE && a->n_jobs) {
		a->attempt = 1;
		a->n_snapshots = 0;
		a->commit_in_doubt = false;
		if (s->now >= job_at(a, 0)->deadline)
			finish_unavailable(s);
		else
			read_head(s);
	}
}

/*
 * Retries after an exponential backoff with jitter, or gives up at the attempt
 * limit or the deadline.
 */
static void retry_later(const struct step *s)
{
	struct pf_accept *a = s->a;
	pf_ms pause = a->opts.backoff_min;

	for (uint32_t i = 1; i < a->attempt && pause < a->opts.backoff_max; i++)
		pause *= 2;
	if (pause > a->opts.backoff_max)
		pause = a->opts.backoff_max;
	pause = 1 + (pf_ms)((double)pause * (0.5 + pf_rng_unit(&a->rng) / 2));
	if (++a->attempt > a->opts.attempts_max ||
	    s->now + pause >= job_at(a, 0)->deadline) {
		finish_unavailable(s);
		return;
	}
	a->stats.retries++;
	a->n_snapshots = 0;
	a->stage = STAGE_BACKOFF;
	a->next_tick = s->now + pause;
}

/* Bounds an attempt when an audit row stays unreadable. */
#define SNAPSHOTS_PER_ATTEMPT_MAX 3

/* Clears the mirror and reads all records. */
static void read_snapshot(const struct step *s)
{
	struct pf_accept *a = s->a;

	if (++a->n_snapshots > SNAPSHOTS_PER_ATTEMPT_MAX) {
		retry_later(s);
		return;
	}
	pf_mirror_clear(&a->mirror);
	a->mirror_complete = false;
	a->mirror.revision = a->head.value.revision;
	a->scan_cursor[0] = '\0';
	send_scan(s, STAGE_READ_RECORDS, PF_STR(PF_ROW_RECORDS));
}

/*
 * Brings the mirror to the head's revision with audit rows, or by a snapshot;
 * then reads the change's row.
 */
static void sync_mirror(const struct step *s)
{
	struct pf_accept *a = s->a;
	char key[PF_ROW_KEY_MAX];

	if (s->now >= job_at(a, 0)->deadline) {
		finish_unavailable(s);
		return;
	}
	if (!a->mirror_complete ||
	    a->mirror.revision > a->head.value.revision) {
		read_snapshot(s);
	} else if (a->mirror.revision < a->head.value.revision) {
		pf_row_audit_key(a->scan_cursor, a->mirror.revision);
		send_scan(s, STAGE_READ_AUDITS, PF_STR(PF_ROW_AUDITS));
	} else {
		send_get(s, STAGE_READ_CHANGE,
			 pf_row_change_key(key, job_at(a, 0)->id));
	}
}

static void finish_unreadable_row(const struct step *s, const char *key)
{
	struct pf_findings f = { 0 };

	pf_findings_add(&f, key, "is a row that can't be read");
	if (s->a->commit_in_doubt || job_at(s->a, 0)->resent)
		finish_change(s, PF_CHANGE_UNKNOWN, 0, &f);
	else
		finish_change(s, PF_CHANGE_REFUSED, 0, &f);
	pf_findings_clear(&f);
}

static void on_head(const struct step *s, const struct pf_table_row *row)
{
	struct pf_accept *a = s->a;
	struct accept_job *j = job_at(a, 0);

	memset(&a->head, 0, sizeof(a->head));
	a->head.row_revision = row->revision;
	if (row->revision &&
	    pf_row_head_parse(row->value, &a->head.value) < 0) {
		finish_unreadable_row(s, PF_ROW_HEAD);
		return;
	}
	if (a->head.value.revision > a->stats.head_revision)
		a->stats.head_revision = a->head.value.revision;
	if (!j->has_base) {
		j->has_base = true;
		j->base_revision = a->head.value.revision;
	}
	sync_mirror(s);
}

static void set_cursor(struct pf_accept *a, struct pf_str key)
{
	size_t n = key.n < sizeof(a->scan_cursor) ? key.n
						  : sizeof(a->scan_cursor) - 1;

	memcpy(a->scan_cursor, key.p, n);
	a->scan_cursor[n] = '\0';
}

static void on_records(const struct step *s, const struct pf_table_row *rows,
		       size_t n)
{
	struct pf_accept *a = s->a;

	for (size_t i = 0; i < n; i++) {
		if (pf_mirror_add(&a->mirror, &rows[i]) < 0) {
			set_cursor(a, rows[i].key);
			finish_unreadable_row(s, a->scan_cursor);
			return;
		}
	}
	if (n) {
		set_cursor(a, rows[n - 1].key);
		send_scan(s, STAGE_READ_RECORDS, PF_STR(PF_ROW_RECORDS));
		return;
	}
	/* The pages may include commits newer than the head that was read. */
	a->mirror_complete = true;
	read_head(s);
}

static void on_audits(const struct step *s, const struct pf_table_row *rows,
		      size_t n)
{
	struct pf_accept *a = s->a;
	uint64_t before = a->mirror.revision;

	for (size_t i = 0; i < n; i++) {
		if (a->mirror.revision == a->head.value.revision)
			break;
		if (pf_mirror_apply(&a->mirror, &rows[i]) < 0) {
			a->mirror_complete = false;
			break;
		}
	}
	if (a->mirror.revision == before)
		a->mirror_complete = false;
	sync_mirror(s);
}

static void send_commit(const struct step *s, const struct accept_evaluation *e)
{
	struct pf_accept *a = s->a;
	struct pf_accept_act act = { .type = PF_ACCEPT_COMMIT };
	struct accept_commit c;

	if (accept_commit_build(&c, job_at(a, 0), e, &a->mirror, &a->head,
				a->region) == 0) {
		act.u.txn = c.txn;
		a->commit_revision = c.revision;
		send_request(s, STAGE_COMMIT, &act);
	} else {
		retry_later(s);
	}
	accept_commit_free(&c);
}

/*
 * Closes the id before the refusal is reported, since an earlier commit with
 * this id may still be in flight. Takes ownership of @e's contents.
 */
static void send_close(const struct step *s, struct accept_evaluation *e)
{
	struct pf_accept *a = s->a;
	struct pf_accept_act act = { .type = PF_ACCEPT_COMMIT };
	struct accept_commit c;

	accept_evaluation_free(&a->refusal);
	a->refusal = *e;
	memset(e, 0, sizeof(*e));
	if (accept_commit_build_close(&c, job_at(a, 0), a->refusal.outcome) ==
	    0) {
		act.u.txn = c.txn;
		send_request(s, STAGE_CLOSE_ID, &act);
	} else {
		retry_later(s);
	}
	accept_commit_free(&c);
}

/* Whether an earlier commit of the running change may still take effect. */
static bool commit_may_arrive(struct pf_accept *a)
{
#ifdef PF_MUTANT_ACCEPT_CLOSE
	return false;
#endif
	return a->commit_in_doubt || job_at(a, 0)->resent;
}

/* The id is unused and the mirror is at the head. */
static void evaluate_change(const struct step *s)
{
	struct pf_accept *a = s->a;
	struct accept_job *j = job_at(a, 0);
	struct accept_evaluation e;

	accept_evaluate(j, &a->mirror, a->opts.schema_max, &e);
	if (e.outcome == PF_CHANGE_ACCEPTED)
		send_commit(s, &e);
	else if (e.outcome == PF_CHANGE_UNAVAILABLE)
		retry_later(s);
	else if (commit_may_arrive(a))
		send_close(s, &e);
	else
		finish_change(s, e.outcome, 0, &e.findings);
	accept_evaluation_free(&e);
}

/* The id's row has the digest of other content. */
static void finish_id_reused(const struct step *s,
			     const struct pf_change_row *c)
{
	struct pf_findings f = { 0 };

	if (c->closed[0])
		pf_findings_add(&f, "id",
				"was used for another change, which was not "
				"applied");
	else
		pf_findings_add(&f, "id",
				"was used for another change, accepted in "
				"revision %llu",
				(unsigned long long)c->revision);
	finish_change(s, PF_CHANGE_REFUSED, 0, &f);
	pf_findings_clear(&f);
}

/* This change was refused before and its id closed. */
static void finish_id_closed(const struct step *s,
			     const struct pf_change_row *c)
{
	bool conflict = strcmp(c->closed,
			       pf_change_outcome_code(PF_CHANGE_CONFLICT)) == 0;
	struct pf_findings f = { 0 };

	pf_findings_add(&f, "id",
			"was closed by an earlier result (%s): the change was "
			"not applied; send it with another id",
			c->closed);
	finish_change(s, conflict ? PF_CHANGE_CONFLICT : PF_CHANGE_REFUSED, 0,
		      &f);
	pf_findings_clear(&f);
}

static void on_change_row(const struct step *s, const struct pf_table_row *row)
{
	struct pf_accept *a = s->a;
	struct pf_findings f = { 0 };
	struct pf_change_row c;

	if (!row->revision) {
		if (a->commit_in_doubt &&
		    a->in_doubt_row_revision != a->head.row_revision)
			a->commit_in_doubt = false;
		evaluate_change(s);
		return;
	}
	if (pf_row_change_parse(row->value, &c) < 0) {
		finish_unreadable_row(s, "change row");
		return;
	}
	if (c.digest != job_at(a, 0)->digest)
		finish_id_reused(s, &c);
	else if (c.closed[0])
		finish_id_closed(s, &c);
	else
		finish_change(s, PF_CHANGE_ACCEPTED, c.revision, &f);
}

/* The commit may have been applied: the next attempt reads its row. */
static void on_commit_reply_lost(const struct step *s)
{
	struct pf_accept *a = s->a;

	a->commit_in_doubt = true;
	a->in_doubt_row_revision = a->head.row_revision;
#ifdef PF_MUTANT_ACCEPT_SETTLE
	a->commit_in_doubt = false;
#endif
	retry_later(s);
}

/* Unless OK, the next attempt reads the change's row. */
static void on_close_done(const struct step *s, enum pf_table_status status)
{
	struct pf_accept *a = s->a;

	if (status == PF_TABLE_OK)
		finish_change(s, a->refusal.outcome, 0, &a->refusal.findings);
	else
		retry_later(s);
}

static void on_commit_done(const struct step *s, enum pf_table_status status)
{
	struct pf_findings none = { 0 };

	if (status == PF_TABLE_OK)
		finish_change(s, PF_CHANGE_ACCEPTED, s->a->commit_revision,
			      &none);
	else if (status == PF_TABLE_UNKNOWN)
		on_commit_reply_lost(s);
	else
		retry_later(s);
}

static void on_scan_done(const struct step *s, const struct pf_accept_msg *msg)
{
	if (msg->u.scan.status != PF_TABLE_OK)
		retry_later(s);
	else if (s->a->stage == STAGE_READ_RECORDS)
		on_records(s, msg->u.scan.rows, msg->u.scan.n_rows);
	else if (s->a->stage == STAGE_READ_AUDITS)
		on_audits(s, msg->u.scan.rows, msg->u.scan.n_rows);
}

static void on_get_done(const struct step *s, const struct pf_accept_msg *msg)
{
	if (msg->u.get.status != PF_TABLE_OK)
		retry_later(s);
	else if (s->a->stage == STAGE_READ_HEAD)
		on_head(s, &msg->u.get.row);
	else if (s->a->stage == STAGE_READ_CHANGE)
		on_change_row(s, &msg->u.get.row);
}

static void on_submit(const struct step *s, const struct pf_change *c)
{
	struct pf_accept *a = s->a;
	struct pf_findings f = { 0 };
	struct accept_job j;

	if (a->n_jobs == a->opts.changes_max || accept_job_init(&j, c) < 0) {
		pf_findings_add(&f, "change",
				"too many changes are queued; this submission "
				"was not applied");
		emit_result(s, c->request_id,
			    c->resent ? PF_CHANGE_UNKNOWN
				      : PF_CHANGE_UNAVAILABLE,
			    0, &f);
		pf_findings_clear(&f);
		return;
	}
	accept_job_check(&j, &a->opts, &f);
	if (pf_findings_any(&f)) {
		emit_result(s, c->request_id, PF_CHANGE_REFUSED, 0, &f);
		accept_job_free(&j);
		pf_findings_clear(&f);
		return;
	}
	j.deadline = s->now + a->opts.change_timeout;
	*job_at(a, a->n_jobs++) = j;
}

static void on_tick(const struct step *s)
{
	struct pf_accept *a = s->a;

	if (s->now < a->next_tick)
		return;
	switch (a->stage) {
	case STAGE_IDLE:
		break;
	case STAGE_BACKOFF:
		read_head(s);
		break;
	case STAGE_COMMIT:
		on_commit_reply_lost(s);
		break;
	default:
		retry_later(s);
		break;
	}
}

static bool answers_request(const struct pf_accept *a,
			    const struct pf_accept_msg *msg)
{
	if (msg->seq != a->request_seq)
		return false;
	switch (msg->type) {
	case PF_ACCEPT_GET_DONE:
		return a->stage == STAGE_READ_HEAD ||
		       a->stage == STAGE_READ_CHANGE;
	case PF_ACCEPT_SCAN_DONE:
		return a->stage == STAGE_READ_RECORDS ||
		       a->stage == STAGE_READ_AUDITS;
	case PF_ACCEPT_COMMIT_DONE:
		return a->stage == STAGE_COMMIT || a->stage == STAGE_CLOSE_ID;
	default:
		return false;
	}
}

void pf_accept_step(struct pf_accept *a, pf_ms now,
		    const struct pf_accept_msg *msg,
		    const struct pf_accept_sink *sink)
{
	struct step s = { a, now, sink };

	switch (msg->type) {
	case PF_ACCEPT_CHANGE:
		on_submit(&s, msg->u.change);
		break;
	case PF_ACCEPT_GET_DONE:
		if (answers_request(a, msg))
			on_get_done(&s, msg);
		break;
	case PF_ACCEPT_SCAN_DONE:
		if (answers_request(a, msg))
			on_scan_done(&s, msg);
		break;
	case PF_ACCEPT_COMMIT_DONE:
		if (!answers_request(a, msg))
			break;
		if (a->stage == STAGE_CLOSE_ID)
			on_close_done(&s, msg->u.commit.status);
		else
			on_commit_done(&s, msg->u.commit.status);
		break;
	case PF_ACCEPT_SCHEMA_MAX:
		a->opts.schema_max = msg->u.schema_max;
		break;
	case PF_ACCEPT_TICK:
		on_tick(&s);
		break;
	}
	start_next_change(&s);
}

pf_ms pf_accept_next(const struct pf_accept *a)
{
	return a->next_tick;
}

void pf_accept_stats(const struct pf_accept *a, struct pf_accept_stats *s)
{
	*s = a->stats;
	s->changes = a->n_jobs;
}
