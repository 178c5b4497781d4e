/*
 * The accept core's steps: read the head, bring the mirror up to it, read the
 * change's own row, judge, commit; again after a pause when the table moved
 * on or did not answer.
 */
#include "pimentoford/accept.h"

#include "accept_internal.h"

#include <stdlib.h>
#include <string.h>

enum stage {
	IDLE,
	READ_HEAD,
	READ_RECORDS, /* the pages of a snapshot */
	READ_AUDITS, /* what happened since the mirror's revision */
	READ_CHANGE, /* whether this id was accepted before */
	COMMIT,
	CLOSE, /* the id of a refused change */
	PAUSE,
};

struct pf_accept {
	struct pf_accept_opts o;
	char region[PF_LABEL_MAX];
	struct pf_rng rng;
	struct job *jobs; /* a ring; the first one runs */
	uint32_t first;
	uint32_t n;
	enum stage stage;
	uint64_t seq; /* of the act that waits for its answer */
	pf_ms due; /* of the answer or of the pause */
	uint32_t attempt; /* of the running change */
	struct seen_head head;
	struct pf_mirror mirror;
	bool mirror_whole; /* a snapshot was read to its end */
	char cursor[PF_ROW_KEY_MAX]; /* last key of the scan */
	uint32_t snapshots; /* taken in this attempt */
	uint64_t commit_revision; /* in which the commit would be in force */
	/* A transaction of the running change whose answer was lost. It can
	 * only take effect while the head's row is at this revision. */
	bool pending;
	uint64_t pending_at;
	struct verdict refusal; /* told once the id is closed */
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
		.scan_limit =
			400, /* the store shows at most 500 rows at once */
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
	a->o = *o;
	memcpy(a->region, o->region, strlen(o->region));
	a->o.region = a->region;
	a->due = PF_NEVER;
	pf_rng_seed(&a->rng, o->seed);
	return a;
}

static struct job *job_at(struct pf_accept *a, uint32_t i)
{
	return &a->jobs[(a->first + i) % a->o.changes_max];
}

void pf_accept_free(struct pf_accept *a)
{
	if (!a)
		return;
	for (uint32_t i = 0; i < a->n; i++)
		job_free(job_at(a, i));
	free(a->jobs);
	verdict_free(&a->refusal);
	pf_mirror_clear(&a->mirror);
	free(a);
}

/* One step: the time, and where acts go. */
struct step {
	struct pf_accept *a;
	pf_ms now;
	const struct pf_accept_sink *sink;
};

static void emit(const struct step *s, const struct pf_accept_act *act)
{
	s->sink->emit(s->sink->ctx, act);
}

static void answer(const struct step *s, uint64_t request_id,
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

/* Sends one request to the table and waits for its answer in @stage. */
static void ask(const struct step *s, enum stage stage,
		struct pf_accept_act *act)
{
	struct pf_accept *a = s->a;

	a->stage = stage;
	a->due = s->now + a->o.table_timeout;
	act->seq = ++a->seq;
	if (act->type == PF_ACCEPT_COMMIT)
		a->stats.commits++;
	else
		a->stats.reads++;
	emit(s, act);
}

static void get(const struct step *s, enum stage stage, struct pf_str key)
{
	struct pf_accept_act act = { .type = PF_ACCEPT_GET };

	act.u.key = key;
	ask(s, stage, &act);
}

static void scan(const struct step *s, enum stage stage, struct pf_str prefix)
{
	struct pf_accept_act act = { .type = PF_ACCEPT_SCAN };

	act.u.scan.prefix = prefix;
	act.u.scan.after = pf_str_c(s->a->cursor);
	act.u.scan.limit = s->a->o.scan_limit;
	ask(s, stage, &act);
}

static void read_head(const struct step *s)
{
	get(s, READ_HEAD, PF_STR(PF_ROW_HEAD));
}

/* Ends the running change. */
static void finish(const struct step *s, enum pf_change_outcome outcome,
		   uint64_t revision, const struct pf_findings *f)
{
	struct pf_accept *a = s->a;
	struct job *j = job_at(a, 0);
	uint64_t request_id = j->request_id;

	job_free(j);
	a->first = (a->first + 1) % a->o.changes_max;
	a->n--;
	a->stage = IDLE;
	a->due = PF_NEVER;
	answer(s, request_id, outcome, revision, f);
}

static void finish_away(const struct step *s)
{
	struct pf_accept *a = s->a;
	struct pf_findings f = { 0 };

	if (a->pending || job_at(a, 0)->resent) {
		pf_findings_add(&f, "table",
				"did not say whether the change was applied; "
				"resend it with the same id");
		finish(s, PF_CHANGE_UNKNOWN, 0, &f);
	} else {
		pf_findings_add(&f, "table",
				"is away or busy; the change was not applied");
		finish(s, PF_CHANGE_UNAVAILABLE, 0, &f);
	}
	pf_findings_clear(&f);
}

/* Begins the first change that waits, if none runs. */
static void begin(const struct step *s)
{
	struct pf_accept *a = s->a;

	while (a->stage == IDLE && a->n) {
		a->attempt = 1;
		a->snapshots = 0;
		a->pending = false;
		if (s->now >= job_at(a, 0)->deadline)
			finish_away(s);
		else
			read_head(s);
	}
}

/* Tries again after a jittered pause, or gives up. */
static void again(const struct step *s)
{
	struct pf_accept *a = s->a;
	pf_ms pause = a->o.backoff_min;

	for (uint32_t i = 1; i < a->attempt && pause < a->o.backoff_max; i++)
		pause *= 2;
	if (pause > a->o.backoff_max)
		pause = a->o.backoff_max;
	pause = 1 + (pf_ms)((double)pause * (0.5 + pf_rng_unit(&a->rng) / 2));
	if (++a->attempt > a->o.attempts_max ||
	    s->now + pause >= job_at(a, 0)->deadline) {
		finish_away(s);
		return;
	}
	a->stats.retries++;
	a->snapshots = 0;
	a->stage = PAUSE;
	a->due = s->now + pause;
}

/* Snapshots of one attempt; a row that stays unreadable ends it. */
#define SNAPSHOTS_MAX 3

/* Forgets what was mirrored and reads all records. */
static void read_snapshot(const struct step *s)
{
	struct pf_accept *a = s->a;

	if (++a->snapshots > SNAPSHOTS_MAX) {
		again(s);
		return;
	}
	pf_mirror_clear(&a->mirror);
	a->mirror_whole = false;
	a->mirror.revision = a->head.head.revision;
	a->cursor[0] = '\0';
	scan(s, READ_RECORDS, PF_STR(PF_ROW_RECORDS));
}

/* Goes on once the head is known: the mirror is brought up to it. */
static void sync(const struct step *s)
{
	struct pf_accept *a = s->a;
	char key[PF_ROW_KEY_MAX];

	if (s->now >= job_at(a, 0)->deadline) {
		finish_away(s);
		return;
	}
	if (!a->mirror_whole || a->mirror.revision > a->head.head.revision) {
		read_snapshot(s);
	} else if (a->mirror.revision < a->head.head.revision) {
		pf_row_audit_key(a->cursor, a->mirror.revision);
		scan(s, READ_AUDITS, PF_STR(PF_ROW_AUDITS));
	} else {
		get(s, READ_CHANGE, pf_row_change_key(key, job_at(a, 0)->id));
	}
}

static void broken_row(const struct step *s, const char *key)
{
	struct pf_findings f = { 0 };

	pf_findings_add(&f, key, "is a row that can't be read");
	if (s->a->pending || job_at(s->a, 0)->resent)
		finish(s, PF_CHANGE_UNKNOWN, 0, &f);
	else
		finish(s, PF_CHANGE_REFUSED, 0, &f);
	pf_findings_clear(&f);
}

static void on_head(const struct step *s, const struct pf_table_row *row)
{
	struct pf_accept *a = s->a;
	struct job *j = job_at(a, 0);

	memset(&a->head, 0, sizeof(a->head));
	a->head.row_revision = row->revision;
	if (row->revision && pf_row_head_parse(row->value, &a->head.head) < 0) {
		broken_row(s, PF_ROW_HEAD);
		return;
	}
	if (a->head.head.revision > a->stats.head_revision)
		a->stats.head_revision = a->head.head.revision;
	if (!j->has_base) {
		j->has_base = true;
		j->base_revision = a->head.head.revision;
	}
	sync(s);
}

static void remember_key(struct pf_accept *a, struct pf_str key)
{
	size_t n = key.n < sizeof(a->cursor) ? key.n : sizeof(a->cursor) - 1;

	memcpy(a->cursor, key.p, n);
	a->cursor[n] = '\0';
}

static void on_records(const struct step *s, const struct pf_table_row *v,
		       size_t n)
{
	struct pf_accept *a = s->a;

	for (size_t i = 0; i < n; i++) {
		if (pf_mirror_add(&a->mirror, &v[i]) < 0) {
			remember_key(a, v[i].key);
			broken_row(s, a->cursor);
			return;
		}
	}
	if (n) {
		remember_key(a, v[n - 1].key);
		scan(s, READ_RECORDS, PF_STR(PF_ROW_RECORDS));
		return;
	}
	/* Pages may hold changes newer than the head: read it once more. */
	a->mirror_whole = true;
	read_head(s);
}

static void on_audits(const struct step *s, const struct pf_table_row *v,
		      size_t n)
{
	struct pf_accept *a = s->a;
	uint64_t before = a->mirror.revision;

	for (size_t i = 0; i < n; i++) {
		if (a->mirror.revision == a->head.head.revision)
			break;
		if (pf_mirror_apply(&a->mirror, &v[i]) < 0) {
			a->mirror_whole = false;
			break;
		}
	}
	if (a->mirror.revision == before)
		a->mirror_whole = false;
	sync(s);
}

static void commit(const struct step *s, const struct verdict *v)
{
	struct pf_accept *a = s->a;
	struct pf_accept_act act = { .type = PF_ACCEPT_COMMIT };
	struct commit c;

	if (commit_build(&c, job_at(a, 0), v, &a->mirror, &a->head,
			 a->region) == 0) {
		act.u.txn = c.txn;
		a->commit_revision = c.revision;
		ask(s, COMMIT, &act);
	} else {
		again(s);
	}
	commit_free(&c);
}

/*
 * A transaction of this id may still be on its way: the id is closed before
 * the refusal is told. Takes @v over.
 */
static void close_id(const struct step *s, struct verdict *v)
{
	struct pf_accept *a = s->a;
	struct pf_accept_act act = { .type = PF_ACCEPT_COMMIT };
	struct commit c;

	verdict_free(&a->refusal);
	a->refusal = *v;
	memset(v, 0, sizeof(*v));
	if (commit_build_close(&c, job_at(a, 0), a->refusal.outcome) == 0) {
		act.u.txn = c.txn;
		ask(s, CLOSE, &act);
	} else {
		again(s);
	}
	commit_free(&c);
}

static bool may_arrive(struct pf_accept *a)
{
#ifdef PF_MUTANT_ACCEPT_CLOSE
	return false;
#endif
	return a->pending || job_at(a, 0)->resent;
}

/* The id is free and the mirror is at the head: judge and commit. */
static void judge(const struct step *s)
{
	struct pf_accept *a = s->a;
	struct job *j = job_at(a, 0);
	struct verdict v;

	job_judge(j, &a->mirror, a->o.schema_max, &v);
	if (v.outcome == PF_CHANGE_ACCEPTED)
		commit(s, &v);
	else if (v.outcome == PF_CHANGE_UNAVAILABLE)
		again(s);
	else if (may_arrive(a))
		close_id(s, &v);
	else
		finish(s, v.outcome, 0, &v.findings);
	verdict_free(&v);
}

/* The row of another change that had the same id. */
static void id_used(const struct step *s, const struct pf_change_row *c)
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
	finish(s, PF_CHANGE_REFUSED, 0, &f);
	pf_findings_clear(&f);
}

static void id_closed(const struct step *s, const struct pf_change_row *c)
{
	bool conflict = strcmp(c->closed,
			       pf_change_outcome_code(PF_CHANGE_CONFLICT)) == 0;
	struct pf_findings f = { 0 };

	pf_findings_add(&f, "id",
			"was closed by an earlier answer (%s): the change was "
			"not applied; send it under another id",
			c->closed);
	finish(s, conflict ? PF_CHANGE_CONFLICT : PF_CHANGE_REFUSED, 0, &f);
	pf_findings_clear(&f);
}

static void on_change(const struct step *s, const struct pf_table_row *row)
{
	struct pf_accept *a = s->a;
	struct pf_findings f = { 0 };
	struct pf_change_row c;

	if (!row->revision) {
		if (a->pending && a->pending_at != a->head.row_revision)
			a->pending = false;
		judge(s);
		return;
	}
	if (pf_row_change_parse(row->value, &c) < 0) {
		broken_row(s, "change row");
		return;
	}
	if (c.digest != job_at(a, 0)->digest)
		id_used(s, &c);
	else if (c.closed[0])
		id_closed(s, &c);
	else
		finish(s, PF_CHANGE_ACCEPTED, c.revision, &f);
}

/* The answer to a commit is lost: only reading can tell. */
static void commit_lost(const struct step *s)
{
	struct pf_accept *a = s->a;

	a->pending = true;
	a->pending_at = a->head.row_revision;
#ifdef PF_MUTANT_ACCEPT_SETTLE
	a->pending = false;
#endif
	again(s);
}

/* Anything but OK is settled by reading the change's row again. */
static void on_closed(const struct step *s, enum pf_table_status status)
{
	struct pf_accept *a = s->a;

	if (status == PF_TABLE_OK)
		finish(s, a->refusal.outcome, 0, &a->refusal.findings);
	else
		again(s);
}

static void on_committed(const struct step *s, enum pf_table_status status)
{
	struct pf_findings none = { 0 };

	if (status == PF_TABLE_OK)
		finish(s, PF_CHANGE_ACCEPTED, s->a->commit_revision, &none);
	else if (status == PF_TABLE_UNKNOWN)
		commit_lost(s);
	else
		again(s);
}

static void on_rows(const struct step *s, const struct pf_accept_msg *msg)
{
	if (msg->u.scan.status != PF_TABLE_OK)
		again(s);
	else if (s->a->stage == READ_RECORDS)
		on_records(s, msg->u.scan.rows, msg->u.scan.n_rows);
	else if (s->a->stage == READ_AUDITS)
		on_audits(s, msg->u.scan.rows, msg->u.scan.n_rows);
}

static void on_row(const struct step *s, const struct pf_accept_msg *msg)
{
	if (msg->u.get.status != PF_TABLE_OK)
		again(s);
	else if (s->a->stage == READ_HEAD)
		on_head(s, &msg->u.get.row);
	else if (s->a->stage == READ_CHANGE)
		on_change(s, &msg->u.get.row);
}

static void on_new(const struct step *s, const struct pf_change *c)
{
	struct pf_accept *a = s->a;
	struct pf_findings f = { 0 };
	struct job j;

	if (a->n == a->o.changes_max || job_init(&j, c) < 0) {
		pf_findings_add(&f, "change",
				"too many changes wait; it was "
				"not applied");
		answer(s, c->request_id,
		       c->resent ? PF_CHANGE_UNKNOWN : PF_CHANGE_UNAVAILABLE, 0,
		       &f);
		pf_findings_clear(&f);
		return;
	}
	job_check(&j, &a->o, &f);
	if (pf_findings_any(&f)) {
		answer(s, c->request_id, PF_CHANGE_REFUSED, 0, &f);
		job_free(&j);
		pf_findings_clear(&f);
		return;
	}
	j.deadline = s->now + a->o.change_timeout;
	*job_at(a, a->n++) = j;
}

static void on_tick(const struct step *s)
{
	struct pf_accept *a = s->a;

	if (s->now < a->due)
		return;
	switch (a->stage) {
	case IDLE:
		break;
	case PAUSE:
		read_head(s);
		break;
	case COMMIT:
		commit_lost(s);
		break;
	default:
		again(s);
		break;
	}
}

/* Whether @msg answers the act that is waited for. */
static bool awaited(const struct pf_accept *a, const struct pf_accept_msg *msg)
{
	if (msg->seq != a->seq)
		return false;
	switch (msg->type) {
	case PF_ACCEPT_GET_DONE:
		return a->stage == READ_HEAD || a->stage == READ_CHANGE;
	case PF_ACCEPT_SCAN_DONE:
		return a->stage == READ_RECORDS || a->stage == READ_AUDITS;
	case PF_ACCEPT_COMMIT_DONE:
		return a->stage == COMMIT || a->stage == CLOSE;
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
		on_new(&s, msg->u.change);
		break;
	case PF_ACCEPT_GET_DONE:
		if (awaited(a, msg))
			on_row(&s, msg);
		break;
	case PF_ACCEPT_SCAN_DONE:
		if (awaited(a, msg))
			on_rows(&s, msg);
		break;
	case PF_ACCEPT_COMMIT_DONE:
		if (!awaited(a, msg))
			break;
		if (a->stage == CLOSE)
			on_closed(&s, msg->u.commit.status);
		else
			on_committed(&s, msg->u.commit.status);
		break;
	case PF_ACCEPT_SCHEMA_MAX:
		a->o.schema_max = msg->u.schema_max;
		break;
	case PF_ACCEPT_TICK:
		on_tick(&s);
		break;
	}
	begin(&s);
}

pf_ms pf_accept_next(const struct pf_accept *a)
{
	return a->due;
}

void pf_accept_stats(const struct pf_accept *a, struct pf_accept_stats *s)
{
	*s = a->stats;
	s->changes = a->n;
}
