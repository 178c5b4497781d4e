/*
 * Operators' changes: /admin/apply and /admin/drain submit a change to the
 * accept core, which commits it to the table; /admin/audit lists the accepted
 * changes.
 */
#include "daemon.h"

#include "pimentoford/accept.h"
#include "pimentoford/clock.h"

#include <event2/buffer.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define AUDIT_DEFAULT_ROWS 20
#define AUDIT_MAX_ROWS 500
#define DELETES_MAX 256

/* An operator's request that waits for its outcome. */
struct operation {
	LIST_ENTRY(operation) next;
	struct daemon *d;
	struct conn *conn; /* NULL: the operator disconnected */
	evhtp_request_t *req;
	uint64_t ticket;
	uint64_t limit; /* audit: rows to return */
	char id[PF_LABEL_MAX]; /* of the change */
};

/* A request to the table, in flight. */
struct table_call {
	LIST_ENTRY(table_call) next;
	struct daemon *d;
	enum pf_accept_act_type type;
	uint64_t seq;
};

struct changes {
	struct daemon *d;
	struct pf_accept *core;
	struct event *timer;
	uint64_t last_ticket;
	LIST_HEAD(, operation) operations;
	LIST_HEAD(, table_call) table_calls;
};

static void step(struct daemon *d, const struct pf_accept_msg *m);

static int http_status_of(enum pf_change_outcome o)
{
	switch (o) {
	case PF_CHANGE_ACCEPTED:
		return 200;
	case PF_CHANGE_REFUSED:
		return 400;
	case PF_CHANGE_CONFLICT:
		return 409;
	case PF_CHANGE_UNAVAILABLE:
		return 503;
	default:
		return 504;
	}
}

static struct operation *operation_new(struct daemon *d, struct conn *c,
				       evhtp_request_t *req)
{
	struct operation *op = calloc(1, sizeof(*op));

	if (!op) {
		answer_refused(c, req, 503, "overloaded", "out of memory");
		return NULL;
	}
	op->d = d;
	op->conn = c;
	op->req = req;
	op->ticket = ++d->changes->last_ticket;
	c->operation = op;
	LIST_INSERT_HEAD(&d->changes->operations, op, next);
	return op;
}

static void operation_free(struct operation *op)
{
	if (op->conn)
		op->conn->operation = NULL;
	LIST_REMOVE(op, next);
	free(op);
}

/* Answers and frees @op; takes ownership of @root. */
static void reply(struct operation *op, int status, json_t *root)
{
	char *text = root ? json_dumps(root, JSON_COMPACT) : NULL;
	struct conn *c = op->conn;
	evhtp_request_t *req = op->req;

	json_decref(root);
	operation_free(op);
	if (c)
		answer_bytes(c, req, text ? status : 500, "application/json",
			     pf_str_c(text ? text : "{}"));
	free(text);
}

void admin_disconnected(struct conn *c)
{
	if (!c->operation)
		return;
	c->operation->conn = NULL;
	c->operation = NULL;
}

static json_t *list_findings(const struct pf_findings *f)
{
	json_t *arr = json_array();

	for (size_t i = 0; i < f->n; i++)
		json_array_append_new(arr, json_pack("{s:s,s:s}", "place",
						     f->v[i].place, "text",
						     f->v[i].text));
	return arr;
}

static void reply_outcome(struct operation *op, enum pf_change_outcome o,
			  uint64_t revision, const struct pf_findings *f)
{
	reply(op, http_status_of(o),
	      json_pack("{s:s,s:s,s:I,s:o}", "outcome",
			pf_change_outcome_code(o), "id", op->id, "revision",
			(json_int_t)revision, "findings", list_findings(f)));
}

static void on_result(struct daemon *d, const struct pf_accept_act *act)
{
	enum pf_change_outcome o = act->u.result.outcome;
	struct operation *op;

	if (o == PF_CHANGE_ACCEPTED) {
		d->counters.v[PF_EC_CHANGES]++;
		pf_config_follower_committed(d->follower,
					     act->u.result.revision);
	}
	if (o == PF_CHANGE_CONFLICT)
		d->counters.v[PF_EC_CONFLICTS]++;
	LIST_FOREACH(op, &d->changes->operations, next)
	{
		if (op->ticket == act->u.result.request_id)
			break;
	}
	if (!op)
		return;
	PF_LOG(&d->log, PF_LOG_INFO, "change", PF_KV_STR("id", op->id),
	       PF_KV_STR("outcome", pf_change_outcome_code(o)),
	       PF_KV_INT("revision", (int64_t)act->u.result.revision));
	reply_outcome(op, o, act->u.result.revision, act->u.result.findings);
}

static void table_call_free(struct table_call *k)
{
	LIST_REMOVE(k, next);
	free(k);
}

static void on_rows(void *ctx, const struct pf_table_rows *r)
{
	struct table_call *k = ctx;
	struct pf_accept_msg m = { .seq = k->seq };

	if (k->type == PF_ACCEPT_GET) {
		m.type = PF_ACCEPT_GET_DONE;
		m.u.get.status = r->status;
		if (r->n)
			m.u.get.row = r->rows[0];
	} else {
		m.type = PF_ACCEPT_SCAN_DONE;
		m.u.scan.status = r->status;
		m.u.scan.rows = r->rows;
		m.u.scan.n_rows = r->n;
	}
	step(k->d, &m);
	table_call_free(k);
}

static void on_txn(void *ctx, const struct pf_table_txn_result *r)
{
	struct table_call *k = ctx;
	struct pf_accept_msg m = { .type = PF_ACCEPT_COMMIT_DONE,
				   .seq = k->seq };

	m.u.commit.status = r->status;
	step(k->d, &m);
	table_call_free(k);
}

/* A call that cannot be sent times out in the core. */
static void call_table(struct daemon *d, const struct pf_accept_act *act)
{
	struct table_call *k = calloc(1, sizeof(*k));
	int rc;

	if (!k)
		return;
	k->d = d;
	k->type = act->type;
	k->seq = act->seq;
	LIST_INSERT_HEAD(&d->changes->table_calls, k, next);
	if (act->type == PF_ACCEPT_GET)
		rc = pf_table_get(d->table, act->u.key, on_rows, k);
	else if (act->type == PF_ACCEPT_SCAN)
		rc = pf_table_scan(d->table, act->u.scan.prefix,
				   act->u.scan.after, act->u.scan.limit,
				   on_rows, k);
	else
		rc = pf_table_txn(d->table, "change", &act->u.txn, on_txn, k);
	d->counters.v[PF_EC_TABLE_WRITES] += act->type == PF_ACCEPT_COMMIT;
	if (rc < 0)
		table_call_free(k);
}

static void emit(void *ctx, const struct pf_accept_act *act)
{
	struct daemon *d = ctx;

	if (act->type == PF_ACCEPT_RESULT)
		on_result(d, act);
	else
		call_table(d, act);
}

static void arm_timer(struct daemon *d, pf_ms now)
{
	pf_ms next = pf_accept_next(d->changes->core);
	pf_ms wait = next > now ? next - now : 0;
	struct timeval tv = pf_clock_timeval(wait);

	if (next == PF_NEVER)
		event_del(d->changes->timer);
	else
		event_add(d->changes->timer, &tv);
}

static void step(struct daemon *d, const struct pf_accept_msg *m)
{
	struct pf_accept_sink sink = { emit, d };
	pf_ms now = pf_clock_now();

	pf_accept_step(d->changes->core, now, m, &sink);
	arm_timer(d, now);
}

static void on_timer(evutil_socket_t fd, short what, void *ctx)
{
	struct pf_accept_msg m = { .type = PF_ACCEPT_TICK };

	(void)fd;
	(void)what;
	step(ctx, &m);
}

int changes_start(struct daemon *d)
{
	struct changes *ch = calloc(1, sizeof(*ch));
	struct pf_accept_opts o;

	if (!ch)
		return -1;
	d->changes = ch;
	ch->d = d;
	LIST_INIT(&ch->operations);
	LIST_INIT(&ch->table_calls);
	pf_accept_opts_default(&o);
	o.seed = pf_process_random();
	o.region = d->settings.common.region;
	ch->core = pf_accept_new(&o);
	ch->timer = evtimer_new(d->base, on_timer, d);
	return ch->core && ch->timer ? 0 : -1;
}

/* The table client is freed later, without calling back. */
void changes_stop(struct daemon *d)
{
	struct operation *op, *op_next;
	struct table_call *k, *k_next;
	struct changes *ch = d->changes;

	if (!ch)
		return;
	for (op = LIST_FIRST(&ch->operations); op; op = op_next) {
		op_next = LIST_NEXT(op, next);
		if (op->conn)
			op->conn->operation = NULL;
		free(op);
	}
	for (k = LIST_FIRST(&ch->table_calls); k; k = k_next) {
		k_next = LIST_NEXT(k, next);
		free(k);
	}
	if (ch->timer)
		event_free(ch->timer);
	pf_accept_free(ch->core);
	free(ch);
}

bool changes_idle(const struct daemon *d)
{
	return !d->changes || LIST_EMPTY(&d->changes->operations);
}

static const char *text_of(const json_t *j, const char *key, const char *dflt)
{
	const char *s = json_string_value(json_object_get(j, key));

	return s ? s : dflt;
}

static int read_deletes(const json_t *arr, struct pf_record_ref *refs,
			size_t *n, struct pf_findings *f)
{
	*n = 0;
	for (size_t i = 0; i < json_array_size(arr); i++) {
		const json_t *j = json_array_get(arr, i);

		if (*n == DELETES_MAX ||
		    pf_kind_parse(pf_str_c(text_of(j, "kind", "")),
				  &refs[*n].kind) < 0) {
			pf_findings_add(f, "delete",
					"must be a list of at most %d records, "
					"each with a kind and a name",
					DELETES_MAX);
			return -1;
		}
		refs[(*n)++].name = pf_str_c(text_of(j, "name", ""));
	}
	return 0;
}

/* Submits a change to the core; on_result() answers the operator. */
static void submit(struct daemon *d, struct operation *op,
		   struct pf_change *change)
{
	struct pf_accept_msg m = { .type = PF_ACCEPT_CHANGE };
	size_t n = change->id.n < sizeof(op->id) ? change->id.n
						 : sizeof(op->id) - 1;

	if (n)
		memcpy(op->id, change->id.p, n);
	change->request_id = op->ticket;
	change->wall_time = pf_clock_wall();
	m.u.change = change;
	step(d, &m);
}

static void submit_apply(struct daemon *d, struct operation *op,
			 const json_t *j)
{
	struct pf_record_ref refs[DELETES_MAX];
	struct pf_records puts = { 0 };
	struct pf_findings f = { 0 };
	const json_t *base = json_object_get(j, "base");
	struct pf_change change = {
		.id = pf_str_c(text_of(j, "id", "")),
		.who = pf_str_c(text_of(j, "who", "")),
		.what = PF_STR("apply"),
		.has_base = json_is_integer(base),
		.base_revision = (uint64_t)json_integer_value(base),
		.resent = json_is_true(json_object_get(j, "resent")),
		.puts = &puts,
		.deletes = refs,
	};

	read_deletes(json_object_get(j, "delete"), refs, &change.n_deletes, &f);
	pf_records_parse(pf_str_c(text_of(j, "text", "")),
			 text_of(j, "source", "text"), &puts, &f);
	if (pf_findings_any(&f))
		reply_outcome(op, PF_CHANGE_REFUSED, 0, &f);
	else
		submit(d, op, &change);
	pf_findings_clear(&f);
	pf_records_free(&puts);
}

/* The request's body as a JSON object, or NULL; owned by the caller. */
static json_t *body_of(evhtp_request_t *req)
{
	size_t n = evbuffer_get_length(req->buffer_in);
	const char *p = (const char *)evbuffer_pullup(req->buffer_in, -1);
	json_t *j = json_loadb(p ? p : "", n, 0, NULL);

	if (json_is_object(j))
		return j;
	json_decref(j);
	return NULL;
}

void admin_apply(struct daemon *d, struct conn *c, evhtp_request_t *req)
{
	json_t *j = body_of(req);
	struct operation *op;

	if (!j) {
		answer_refused(c, req, 400, "invalid_request",
			       "the body must be a JSON object");
		return;
	}
	op = operation_new(d, c, req);
	if (op)
		submit_apply(d, op, j);
	json_decref(j);
}

static const char *query_param(evhtp_request_t *req, const char *key)
{
	const char *v =
		req->uri->query ? evhtp_kv_find(req->uri->query, key) : NULL;

	return v ? v : "";
}

/*
 * Puts the record of endpoint @name with `drain = true` into @out. It may have
 * that already only if the change is @resent: then the same content as in the
 * first submission, so that the core finds its outcome.
 */
static int make_drained_record(const struct daemon *d, const char *name,
			       bool resent, struct pf_records *out,
			       struct pf_findings *f)
{
	static const char drain_off[] = "\ndrain = false\n";
	struct pf_records all = { 0 };
	const struct pf_record *r;
	struct pf_text t = { 0 };
	const char *at;

	pf_records_parse(pf_str_c(d->config_text ? d->config_text : ""),
			 "current configuration", &all, f);
	r = pf_records_find(&all, PF_KIND_ENDPOINT, pf_str_c(name));
	at = r ? strstr(r->text, drain_off) : NULL;
	if (!r)
		pf_findings_add(f, "endpoint", "no endpoint %s is declared",
				name);
	else if (!at && resent)
		pf_records_parse(pf_str_c(r->text), "drain", out, f);
	else if (!at)
		pf_findings_add(f, "endpoint", "%s already has `drain = true`",
				name);
	if (at) {
		pf_text_add(&t,
			    (struct pf_str){ r->text, (size_t)(at - r->text) });
		pf_text_add(&t, PF_STR("\ndrain = true\n"));
		pf_text_add(&t, pf_str_c(at + strlen(drain_off)));
		pf_records_parse(pf_text_str(&t), "drain", out, f);
	}
	pf_text_free(&t);
	pf_records_free(&all);
	return pf_findings_any(f) ? -1 : 0;
}

static void submit_drain(struct daemon *d, struct operation *op,
			 const json_t *j, const char *name)
{
	struct pf_records puts = { 0 };
	struct pf_findings f = { 0 };
	struct pf_text what = { 0 };
	struct pf_change change = {
		.id = pf_str_c(text_of(j, "id", "")),
		.who = pf_str_c(text_of(j, "who", "")),
		.has_base = true,
		.base_revision = d->config ? d->config->revision : 0,
		.resent = json_is_true(json_object_get(j, "resent")),
		.puts = &puts,
	};

	pf_text_printf(&what, "drain %s", name);
	change.what = pf_text_str(&what);
	if (make_drained_record(d, name, change.resent, &puts, &f) < 0)
		reply_outcome(op, PF_CHANGE_REFUSED, 0, &f);
	else
		submit(d, op, &change);
	pf_text_free(&what);
	pf_findings_clear(&f);
	pf_records_free(&puts);
}

void admin_drain(struct daemon *d, struct conn *c, evhtp_request_t *req)
{
	const char *name = query_param(req, "endpoint");
	json_t *j = body_of(req);
	struct operation *op;

	if (!j) {
		answer_refused(c, req, 400, "invalid_request",
			       "the body must be a JSON object");
		return;
	}
	op = operation_new(d, c, req);
	if (op)
		submit_drain(d, op, j, name);
	json_decref(j);
}

static void on_audit_rows(void *ctx, const struct pf_table_rows *r)
{
	struct table_call *k = ctx;
	struct operation *op;
	json_t *arr;

	LIST_FOREACH(op, &k->d->changes->operations, next)
	{
		if (op->ticket == k->seq)
			break;
	}
	table_call_free(k);
	if (!op)
		return;
	if (r->status != PF_TABLE_OK) {
		reply(op, 503, json_pack("{s:s}", "error", "table_away"));
		return;
	}
	arr = json_array();
	for (size_t i = r->n > op->limit ? r->n - op->limit : 0; i < r->n; i++)
		json_array_append_new(arr,
				      json_loadb(r->rows[i].value.p,
						 r->rows[i].value.n, 0, NULL));
	reply(op, 200, json_pack("{s:o}", "audit", arr));
}

/* Returns the newest rows: it scans from `limit` revisions back. */
void admin_audit(struct daemon *d, struct conn *c, evhtp_request_t *req)
{
	struct operation *op = operation_new(d, c, req);
	struct table_call *k = op ? calloc(1, sizeof(*k)) : NULL;
	uint64_t limit = strtoull(query_param(req, "limit"), NULL, 10);
	uint64_t head = d->config ? d->config->revision : 0;
	char key[PF_ROW_KEY_MAX];

	if (!op)
		return;
	if (!limit || limit > AUDIT_MAX_ROWS)
		limit = limit ? AUDIT_MAX_ROWS : AUDIT_DEFAULT_ROWS;
	op->limit = limit;
	if (!k) {
		reply(op, 503, NULL);
		return;
	}
	k->d = d;
	k->seq = op->ticket;
	LIST_INSERT_HEAD(&d->changes->table_calls, k, next);
	if (pf_table_scan(d->table, PF_STR(PF_ROW_AUDITS),
			  pf_row_audit_key(key,
					   head > limit ? head - limit : 0),
			  AUDIT_MAX_ROWS + AUDIT_DEFAULT_ROWS, on_audit_rows,
			  k) < 0) {
		table_call_free(k);
		reply(op, 503, json_pack("{s:s}", "error", "table_away"));
	}
}
