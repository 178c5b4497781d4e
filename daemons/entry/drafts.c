/*
 * Drafts: carries out the draft core's acts at the table and the object store,
 * and runs drafts through the entry core. The first byte of a stored body is
 * its kind: 'T' for chat, 'C' for completion.
 */
#include "daemon.h"

#include "pimentoford/draft.h"
#include "pimentoford/http_client.h"

#include <event2/buffer.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define OBJECT_TIMEOUT_MS 3000
#define OBJECT_CONNS_MAX 32
#define KEY_BYTES_MAX 256
#define ANSWER_BYTES_MAX ((size_t)64 << 20)

/* A caller's HTTP request that waits for the core's reply. */
struct draft_waiter {
	LIST_ENTRY(draft_waiter) next;
	uint64_t ticket;
	struct conn *conn; /* NULL: the caller disconnected */
	evhtp_request_t *http;
};

/* A request of the core to the table or the object store, in flight. */
struct store_call {
	LIST_ENTRY(store_call) next;
	struct drafts *f;
	enum pf_draft_act_type type;
	uint64_t seq;
};

/* A run to start or one that ended, queued until the event loop runs. */
struct run_event {
	STAILQ_ENTRY(run_event) next;
	bool ended; /* false: to be started */
	bool final; /* ended: false when it is to be run again */
	uint64_t seq;
	uint64_t caller;
	int status;
	char *body;
	size_t n;
};

struct drafts {
	struct daemon *d;
	struct pf_draft *core;
	struct pf_http *objects;
	struct event *timer;
	struct event *wake_event;
	uint64_t last_ticket;
	LIST_HEAD(, draft_waiter) waiters;
	LIST_HEAD(, store_call) store_calls;
	STAILQ_HEAD(, run_event) run_events;
};

static void step(struct drafts *f, const struct pf_draft_msg *m);

static void store_call_free(struct store_call *k)
{
	LIST_REMOVE(k, next);
	free(k);
}

static void on_txn(void *ctx, const struct pf_table_txn_result *r)
{
	struct pf_draft_msg m = { .type = PF_DRAFT_TXN_DONE };
	struct store_call *k = ctx;
	struct drafts *f = k->f;

	m.seq = k->seq;
	m.u.txn.status = r->status;
	m.u.txn.revision = r->revision;
	store_call_free(k);
	step(f, &m);
}

static void on_rows(void *ctx, const struct pf_table_rows *r)
{
	struct pf_draft_msg m = { .type = PF_DRAFT_ROWS_DONE };
	struct store_call *k = ctx;
	struct drafts *f = k->f;

	m.seq = k->seq;
	m.u.rows.status = r->status;
	m.u.rows.rows = r->rows;
	m.u.rows.n_rows = r->n;
	store_call_free(k);
	step(f, &m);
}

static enum pf_object_status object_status_of(const struct pf_http_answer *a)
{
	if (a->result != PF_HTTP_OK)
		return PF_OBJECT_UNKNOWN;
	if (a->status == 404)
		return PF_OBJECT_NOT_FOUND;
	return a->status >= 200 && a->status < 300 ? PF_OBJECT_OK
						   : PF_OBJECT_UNKNOWN;
}

static void on_object(void *ctx, const struct pf_http_answer *a)
{
	struct pf_draft_msg m = { .type = PF_DRAFT_OBJECT_DONE };
	struct store_call *k = ctx;
	struct drafts *f = k->f;

	m.seq = k->seq;
	m.u.object.status = object_status_of(a);
	m.u.object.body = a->body;
	if (k->type == PF_DRAFT_OBJECT_PUT &&
	    m.u.object.status == PF_OBJECT_NOT_FOUND)
		m.u.object.status = PF_OBJECT_UNKNOWN;
	store_call_free(k);
	step(f, &m);
}

static int object_call(struct store_call *k, const struct pf_draft_act *act)
{
	struct pf_http_request r = {
		.method = act->type == PF_DRAFT_OBJECT_PUT   ? "PUT"
			  : act->type == PF_DRAFT_OBJECT_GET ? "GET"
							     : "DELETE",
		.timeout = OBJECT_TIMEOUT_MS,
		.done = on_object,
		.ctx = k,
	};
	char target[128];

	snprintf(target, sizeof(target), "/object/%.*s",
		 (int)act->u.object.name.n, act->u.object.name.p);
	r.target = target;
	if (act->type == PF_DRAFT_OBJECT_PUT) {
		r.content_type = "application/octet-stream";
		r.body = act->u.object.body;
	}
	return pf_http_start(k->f->objects, &r) ? 0 : -1;
}

/* A call that cannot be sent times out in the core. */
static void call_store(struct drafts *f, const struct pf_draft_act *act)
{
	struct store_call *k = calloc(1, sizeof(*k));
	int rc = -1;

	if (!k)
		return;
	*k = (struct store_call){ .f = f, .type = act->type, .seq = act->seq };
	LIST_INSERT_HEAD(&f->store_calls, k, next);
	if (act->type == PF_DRAFT_TXN)
		rc = pf_table_txn(f->d->table, "draft", &act->u.txn, on_txn, k);
	else if (act->type == PF_DRAFT_ROW_GET)
		rc = pf_table_get(f->d->table, act->u.key, on_rows, k);
	else if (act->type == PF_DRAFT_ROW_SCAN)
		rc = pf_table_scan(f->d->table, act->u.scan.prefix,
				   act->u.scan.after, act->u.scan.limit,
				   on_rows, k);
	else
		rc = object_call(k, act);
	if (rc < 0)
		store_call_free(k);
}

static struct draft_waiter *find_waiter(struct drafts *f, uint64_t ticket)
{
	struct draft_waiter *a;

	LIST_FOREACH(a, &f->waiters, next)
	if (a->ticket == ticket)
		return a;
	return NULL;
}

static const int outcome_statuses[] = {
#define DEF(name, status) status,
	PF_DRAFT_OUTCOMES(DEF)
#undef DEF
};

static void set_header(evhtp_request_t *req, const char *name,
		       const char *value)
{
	evhtp_headers_add_header(req->headers_out,
				 evhtp_header_new(name, value, 1, 1));
}

static void reply_error(const struct draft_waiter *a,
			const struct pf_draft_act *act)
{
	enum pf_draft_outcome o = act->u.reply.outcome;
	struct pf_oai_failure f = { .ran = PF_NOT_RUN };

	f.retry_after = act->u.reply.retry_after;
	f.code = o == PF_DRAFT_OUTCOME_TOO_MANY     ? "too_many_drafts"
		 : o == PF_DRAFT_OUTCOME_NOT_FOUND  ? "not_found"
		 : o == PF_DRAFT_OUTCOME_KEY_REUSED ? "key_reused"
		 : o == PF_DRAFT_OUTCOME_UNKNOWN    ? "outcome_unknown"
						    : "store_away";
	f.message = "the draft was not accepted, or it does not exist";
	if (o == PF_DRAFT_OUTCOME_UNKNOWN) {
		f.ran = PF_RAN_UNKNOWN;
		f.message =
			"the store did not confirm that the draft is stored; "
			"resend it with the same Idempotency-Key";
	}
	answer_failure(a->conn, a->http, outcome_statuses[o], &f);
}

static void reply(struct drafts *f, const struct pf_draft_act *act)
{
	enum pf_draft_outcome o = act->u.reply.outcome;
	struct draft_waiter *a = find_waiter(f, act->u.reply.ticket);
	char text[160];

	if (!a)
		return;
	LIST_REMOVE(a, next);
	if (a->conn) {
		a->conn->draft_waiter = NULL;
		if (o == PF_DRAFT_OUTCOME_ANSWER) {
			answer_bytes(a->conn, a->http, (int)act->u.reply.status,
				     "application/json", act->u.reply.body);
		} else if (o <= PF_DRAFT_OUTCOME_CANCELLED) {
			snprintf(text, sizeof(text), "/v1/drafts/%.*s",
				 (int)act->u.reply.id.n, act->u.reply.id.p);
			set_header(a->http, "Location", text);
			snprintf(text, sizeof(text),
				 "{\"id\":\"%.*s\",\"status\":\"%s\"}",
				 (int)act->u.reply.id.n, act->u.reply.id.p,
				 o == PF_DRAFT_OUTCOME_CANCELLED ? "cancelled"
								 : "open");
			answer_bytes(a->conn, a->http, outcome_statuses[o],
				     "application/json", pf_str_c(text));
		} else {
			reply_error(a, act);
		}
	}
	free(a);
}

/* Queues @e, since neither core may be stepped while the other one is. */
static void defer(struct drafts *f, const struct run_event *e,
		  struct pf_str body)
{
	struct run_event *copy = calloc(1, sizeof(*copy));

	if (!copy)
		return;
	*copy = *e;
	copy->body = pf_str_dup(body);
	copy->n = copy->body ? body.n : 0;
	STAILQ_INSERT_TAIL(&f->run_events, copy, next);
	event_active(f->wake_event, 0, 0);
}

void drafts_run_done(struct daemon *d, uint64_t seq, bool final, int status,
		     struct pf_str body)
{
	struct run_event e = {
		.ended = true, .final = final, .seq = seq, .status = status
	};

	defer(d->drafts, &e, body);
}

static void emit(void *ctx, const struct pf_draft_act *act)
{
	struct run_event e = { .seq = act->seq };
	struct drafts *f = ctx;

	switch (act->type) {
	case PF_DRAFT_REPLY:
		reply(f, act);
		break;
	case PF_DRAFT_RUN_CANCEL:
		break; /* the run goes on; its result is ignored */
	case PF_DRAFT_RUN:
		e.caller = act->u.run.caller;
		defer(f, &e, act->u.run.body);
		break;
	default:
		call_store(f, act);
		break;
	}
}

static void arm_timer(struct drafts *f)
{
	pf_ms left = pf_draft_next(f->core) - pf_clock_wall();
	struct timeval tv;

	if (left < 1)
		left = 1;
	if (left > 1000)
		left = 1000;
	tv = pf_clock_timeval(left);
	event_add(f->timer, &tv);
}

static void step(struct drafts *f, const struct pf_draft_msg *m)
{
	const struct pf_draft_sink sink = { emit, f };

	pf_draft_step(f->core, pf_clock_wall(), m, &sink);
	arm_timer(f);
}

static void on_timer(evutil_socket_t fd, short what, void *ctx)
{
	static const struct pf_draft_msg tick = { .type = PF_DRAFT_TICK };

	(void)fd;
	(void)what;
	step(ctx, &tick);
}

static void handle_run_event(struct drafts *f, const struct run_event *e)
{
	struct pf_draft_msg m = { .type = PF_DRAFT_RUN_DONE, .seq = e->seq };
	struct pf_str body = { e->body, e->n };

	if (!e->ended) {
		enum pf_oai_kind kind = body.n && body.p[0] == 'T'
						? PF_OAI_CHAT
						: PF_OAI_COMPLETION;

		if (body.n) {
			body.p++;
			body.n--;
		}
		api_draft_run(f->d, e->seq, e->caller, kind, body);
		return;
	}
	m.u.run.final = e->final && e->body;
	m.u.run.status = (uint32_t)e->status;
	m.u.run.body = body;
	step(f, &m);
}

static void on_wake(evutil_socket_t fd, short what, void *ctx)
{
	struct drafts *f = ctx;
	struct run_event *e;

	(void)fd;
	(void)what;
	while ((e = STAILQ_FIRST(&f->run_events))) {
		STAILQ_REMOVE_HEAD(&f->run_events, next);
		handle_run_event(f, e);
		free(e->body);
		free(e);
	}
}

static struct draft_waiter *waiter_new(struct drafts *f, struct conn *c,
				       evhtp_request_t *req)
{
	struct draft_waiter *a = calloc(1, sizeof(*a));

	if (!a) {
		answer_refused(c, req, 503, "full", "out of memory");
		return NULL;
	}
	a->ticket = ++f->last_ticket;
	a->conn = c;
	a->http = req;
	c->draft_waiter = a;
	LIST_INSERT_HEAD(&f->waiters, a, next);
	return a;
}

void drafts_submit(struct daemon *d, struct conn *c, evhtp_request_t *req,
		   const struct pf_caller *caller, enum pf_oai_kind kind,
		   struct pf_str body)
{
	const char *key = evhtp_header_find(req->headers_in, "Idempotency-Key");
	struct pf_draft_msg m = { .type = PF_DRAFT_SUBMIT };
	struct pf_text t = { 0 };
	struct draft_waiter *a;

	if (key && strlen(key) > KEY_BYTES_MAX) {
		answer_refused(c, req, 400, "invalid_request",
			       "Idempotency-Key is longer than 256 bytes");
		return;
	}
	pf_text_add(&t, kind == PF_OAI_CHAT ? PF_STR("T") : PF_STR("C"));
	pf_text_add(&t, body);
	a = t.failed ? NULL : waiter_new(d->drafts, c, req);
	if (a) {
		m.u.submit.ticket = a->ticket;
		m.u.submit.caller = caller->id;
		m.u.submit.idem_key =
			key ? pf_id2(caller->id, pf_id(pf_str_c(key))) : 0;
		m.u.submit.body = pf_text_str(&t);
		step(d->drafts, &m);
	}
	pf_text_free(&t);
}

void drafts_route(struct daemon *d, struct conn *c, evhtp_request_t *req)
{
	const struct pf_caller *caller = api_authenticate(d, c, req);
	struct pf_draft_msg m = { .type = PF_DRAFT_FETCH };
	struct draft_waiter *a;

	if (!caller)
		return;
	if (req->method == htp_method_DELETE) {
		m.type = PF_DRAFT_CANCEL;
	} else if (req->method != htp_method_GET) {
		answer_refused(c, req, 405, "method_not_allowed",
			       "this path takes GET and DELETE");
		return;
	}
	a = waiter_new(d->drafts, c, req);
	if (!a)
		return;
	m.u.fetch.ticket = a->ticket;
	m.u.fetch.caller = caller->id;
	m.u.fetch.id = pf_str_c(req->uri->path->full + strlen("/v1/drafts/"));
	step(d->drafts, &m);
}

void drafts_disconnected(struct conn *c)
{
	if (c->draft_waiter)
		c->draft_waiter->conn = NULL;
	c->draft_waiter = NULL;
}

bool drafts_idle(const struct daemon *d)
{
	return !d->drafts || LIST_EMPTY(&d->drafts->waiters);
}

void drafts_update_counters(struct daemon *d)
{
	struct pf_draft_stats st;

	pf_draft_stats(d->drafts->core, &st);
	d->counters.v[PF_EC_DRAFTS_OPEN] = st.open;
	d->counters.v[PF_EC_DRAFTS_FINISHED] = st.finished;
	d->counters.v[PF_EC_DRAFT_OLDEST_MS] =
		st.oldest_created == PF_NEVER
			? 0
			: (uint64_t)(pf_clock_wall() - st.oldest_created);
}

int drafts_start(struct daemon *d)
{
	struct pf_http_opts ho = {
		.base = d->base,
		.addr = d->settings.common.platform,
		.conns_max = OBJECT_CONNS_MAX,
		.idle_max = 4,
		.body_max = ANSWER_BYTES_MAX,
	};
	struct drafts *f = calloc(1, sizeof(*f));
	struct pf_draft_opts o;

	if (!f)
		return -1;
	f->d = d;
	d->drafts = f;
	LIST_INIT(&f->waiters);
	LIST_INIT(&f->store_calls);
	STAILQ_INIT(&f->run_events);
	pf_draft_opts_default(&o);
	o.seed = pf_process_random();
	o.holder = d->incarnation | 1;
	f->core = pf_draft_new(&o);
	f->objects = pf_http_new(&ho);
	f->timer = evtimer_new(d->base, on_timer, f);
	f->wake_event = event_new(d->base, -1, 0, on_wake, f);
	if (!f->core || !f->objects || !f->timer || !f->wake_event)
		return -1;
	arm_timer(f);
	return 0;
}

/* The table client is freed later, without calling back. */
void drafts_stop(struct daemon *d)
{
	struct drafts *f = d->drafts;
	struct draft_waiter *a, *a_next;
	struct store_call *k, *k_next;
	struct run_event *e;

	if (!f)
		return;
	pf_http_free(f->objects);
	pf_draft_free(f->core);
	for (a = LIST_FIRST(&f->waiters); a; a = a_next) {
		a_next = LIST_NEXT(a, next);
		free(a);
	}
	for (k = LIST_FIRST(&f->store_calls); k; k = k_next) {
		k_next = LIST_NEXT(k, next);
		free(k);
	}
	while ((e = STAILQ_FIRST(&f->run_events))) {
		STAILQ_REMOVE_HEAD(&f->run_events, next);
		free(e->body);
		free(e);
	}
	if (f->timer)
		event_free(f->timer);
	if (f->wake_event)
		event_free(f->wake_event);
	free(f);
	d->drafts = NULL;
}
