/*
 * Drafts: carries out the draft core's acts at the table and the object store
 * and runs what it holds through the entry core. The first byte of a stored
 * body says its kind.
 */
#include "daemon.h"

#include "pimentoford/draft.h"
#include "pimentoford/http_client.h"

#include <event2/buffer.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define OBJECT_TIMEOUT_MS 3000
#define OBJECT_CALLS_MAX 32
#define KEY_BYTES_MAX 256
#define ANSWER_BYTES_MAX ((size_t)64 << 20)

/* A caller who waits for the core's outcome. */
struct draft_ask {
	LIST_ENTRY(draft_ask) next;
	uint64_t ticket;
	struct conn *conn; /* NULL: it left */
	evhtp_request_t *http;
};

/* One request of the core to a store. */
struct store_ask {
	LIST_ENTRY(store_ask) next;
	struct drafts *f;
	enum pf_draft_act_type type;
	uint64_t seq;
};

/* A run to start, or one that ended; waits for the loop. */
struct run_event {
	STAILQ_ENTRY(run_event) next;
	bool ended;
	bool final;
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
	struct event *wake;
	uint64_t tickets;
	LIST_HEAD(, draft_ask) asks;
	LIST_HEAD(, store_ask) stores;
	STAILQ_HEAD(, run_event) runs;
};

static void step(struct drafts *f, const struct pf_draft_msg *m);

static void unheard(struct store_ask *k)
{
	LIST_REMOVE(k, next);
	free(k);
}

static void on_txn(void *ctx, const struct pf_table_txn_result *r)
{
	struct pf_draft_msg m = { .type = PF_DRAFT_TXN_DONE };
	struct store_ask *k = ctx;
	struct drafts *f = k->f;

	m.seq = k->seq;
	m.u.txn.status = r->status;
	m.u.txn.revision = r->revision;
	unheard(k);
	step(f, &m);
}

static void on_rows(void *ctx, const struct pf_table_rows *r)
{
	struct pf_draft_msg m = { .type = PF_DRAFT_ROWS_DONE };
	struct store_ask *k = ctx;
	struct drafts *f = k->f;

	m.seq = k->seq;
	m.u.rows.status = r->status;
	m.u.rows.rows = r->rows;
	m.u.rows.n_rows = r->n;
	unheard(k);
	step(f, &m);
}

static enum pf_object_status status_of(const struct pf_http_answer *a)
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
	struct store_ask *k = ctx;
	struct drafts *f = k->f;

	m.seq = k->seq;
	m.u.object.status = status_of(a);
	m.u.object.body = a->body;
	if (k->type == PF_DRAFT_OBJECT_PUT &&
	    m.u.object.status == PF_OBJECT_NOT_FOUND)
		m.u.object.status = PF_OBJECT_UNKNOWN;
	unheard(k);
	step(f, &m);
}

static int object_call(struct store_ask *k, const struct pf_draft_act *act)
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

/* A request that can't be made is one without an answer. */
static void ask_store(struct drafts *f, const struct pf_draft_act *act)
{
	struct store_ask *k = calloc(1, sizeof(*k));
	int rc = -1;

	if (!k)
		return;
	*k = (struct store_ask){ .f = f, .type = act->type, .seq = act->seq };
	LIST_INSERT_HEAD(&f->stores, k, next);
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
		unheard(k);
}

static struct draft_ask *find_ask(struct drafts *f, uint64_t ticket)
{
	struct draft_ask *a;

	LIST_FOREACH(a, &f->asks, next)
	if (a->ticket == ticket)
		return a;
	return NULL;
}

static const struct {
	int status;
	const char *code;
} outcomes[] = {
#define DEF(name, status) { status, #name },
	PF_DRAFT_OUTCOMES(DEF)
#undef DEF
};

static void set_header(evhtp_request_t *req, const char *name,
		       const char *value)
{
	evhtp_headers_add_header(req->headers_out,
				 evhtp_header_new(name, value, 1, 1));
}

static void refuse(const struct draft_ask *a, const struct pf_draft_act *act)
{
	enum pf_draft_outcome o = act->u.reply.outcome;
	struct pf_oai_failure f = { .ran = PF_NOT_RUN };

	f.retry_after = act->u.reply.retry_after;
	f.code = o == PF_DRAFT_OUTCOME_TOO_MANY     ? "too_many_drafts"
		 : o == PF_DRAFT_OUTCOME_NOT_FOUND  ? "not_found"
		 : o == PF_DRAFT_OUTCOME_KEY_REUSED ? "key_reused"
		 : o == PF_DRAFT_OUTCOME_UNKNOWN    ? "outcome_unknown"
						    : "store_away";
	f.message = "the draft is not at hand";
	if (o == PF_DRAFT_OUTCOME_UNKNOWN) {
		f.ran = PF_RAN_UNKNOWN;
		f.message = "the store did not say whether the draft is kept; "
			    "resend it with its Idempotency-Key";
	}
	answer_failure(a->conn, a->http, outcomes[o].status, &f);
}

static void tell(struct drafts *f, const struct pf_draft_act *act)
{
	enum pf_draft_outcome o = act->u.reply.outcome;
	struct draft_ask *a = find_ask(f, act->u.reply.ticket);
	char text[160];

	if (!a)
		return;
	LIST_REMOVE(a, next);
	if (a->conn) {
		a->conn->draft = NULL;
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
			answer_bytes(a->conn, a->http, outcomes[o].status,
				     "application/json", pf_str_c(text));
		} else {
			refuse(a, act);
		}
	}
	free(a);
}

/* Neither core is stepped inside the other's. */
static void later(struct drafts *f, const struct run_event *e,
		  struct pf_str body)
{
	struct run_event *copy = calloc(1, sizeof(*copy));

	if (!copy)
		return;
	*copy = *e;
	copy->body = pf_str_dup(body);
	copy->n = copy->body ? body.n : 0;
	STAILQ_INSERT_TAIL(&f->runs, copy, next);
	event_active(f->wake, 0, 0);
}

void drafts_ran(struct daemon *d, uint64_t seq, bool final, int status,
		struct pf_str body)
{
	struct run_event e = {
		.ended = true, .final = final, .seq = seq, .status = status
	};

	later(d->drafts, &e, body);
}

static void emit(void *ctx, const struct pf_draft_act *act)
{
	struct run_event e = { .seq = act->seq };
	struct drafts *f = ctx;

	switch (act->type) {
	case PF_DRAFT_REPLY:
		tell(f, act);
		break;
	case PF_DRAFT_RUN_CANCEL:
		break; /* its end is not heard */
	case PF_DRAFT_RUN:
		e.caller = act->u.run.caller;
		later(f, &e, act->u.run.body);
		break;
	default:
		ask_store(f, act);
		break;
	}
}

static void arm(struct drafts *f)
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
	arm(f);
}

static void on_timer(evutil_socket_t fd, short what, void *ctx)
{
	static const struct pf_draft_msg tick = { .type = PF_DRAFT_TICK };

	(void)fd;
	(void)what;
	step(ctx, &tick);
}

static void run_event(struct drafts *f, const struct run_event *e)
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
	while ((e = STAILQ_FIRST(&f->runs))) {
		STAILQ_REMOVE_HEAD(&f->runs, next);
		run_event(f, e);
		free(e->body);
		free(e);
	}
}

static struct draft_ask *ask_new(struct drafts *f, struct conn *c,
				 evhtp_request_t *req)
{
	struct draft_ask *a = calloc(1, sizeof(*a));

	if (!a) {
		answer_refused(c, req, 503, "full", "there is no memory");
		return NULL;
	}
	a->ticket = ++f->tickets;
	a->conn = c;
	a->http = req;
	c->draft = a;
	LIST_INSERT_HEAD(&f->asks, a, next);
	return a;
}

void drafts_ask(struct daemon *d, struct conn *c, evhtp_request_t *req,
		const struct pf_caller *caller, enum pf_oai_kind kind,
		struct pf_str body)
{
	const char *key = evhtp_header_find(req->headers_in, "Idempotency-Key");
	struct pf_draft_msg m = { .type = PF_DRAFT_SUBMIT };
	struct pf_text t = { 0 };
	struct draft_ask *a;

	if (key && strlen(key) > KEY_BYTES_MAX) {
		answer_refused(c, req, 400, "invalid_request",
			       "Idempotency-Key is longer than 256 bytes");
		return;
	}
	pf_text_add(&t, kind == PF_OAI_CHAT ? PF_STR("T") : PF_STR("C"));
	pf_text_add(&t, body);
	a = t.failed ? NULL : ask_new(d->drafts, c, req);
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
	const struct pf_caller *caller = api_caller(d, c, req);
	struct pf_draft_msg m = { .type = PF_DRAFT_FETCH };
	struct draft_ask *a;

	if (!caller)
		return;
	if (req->method == htp_method_DELETE) {
		m.type = PF_DRAFT_CANCEL;
	} else if (req->method != htp_method_GET) {
		answer_refused(c, req, 405, "method_not_allowed",
			       "this path takes GET and DELETE");
		return;
	}
	a = ask_new(d->drafts, c, req);
	if (!a)
		return;
	m.u.fetch.ticket = a->ticket;
	m.u.fetch.caller = caller->id;
	m.u.fetch.id = pf_str_c(req->uri->path->full + strlen("/v1/drafts/"));
	step(d->drafts, &m);
}

void drafts_gone(struct conn *c)
{
	if (c->draft)
		c->draft->conn = NULL;
	c->draft = NULL;
}

void drafts_refresh(struct daemon *d)
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
		.addr = d->set.common.platform,
		.conns_max = OBJECT_CALLS_MAX,
		.idle_max = 4,
		.body_max = ANSWER_BYTES_MAX,
	};
	struct drafts *f = calloc(1, sizeof(*f));
	struct pf_draft_opts o;

	if (!f)
		return -1;
	f->d = d;
	d->drafts = f;
	LIST_INIT(&f->asks);
	LIST_INIT(&f->stores);
	STAILQ_INIT(&f->runs);
	pf_draft_opts_default(&o);
	o.seed = pf_process_random();
	o.holder = d->incarnation | 1;
	f->core = pf_draft_new(&o);
	f->objects = pf_http_new(&ho);
	f->timer = evtimer_new(d->base, on_timer, f);
	f->wake = event_new(d->base, -1, 0, on_wake, f);
	if (!f->core || !f->objects || !f->timer || !f->wake)
		return -1;
	arm(f);
	return 0;
}

/* The table's client is freed after this and calls nothing back. */
void drafts_stop(struct daemon *d)
{
	struct drafts *f = d->drafts;
	struct draft_ask *a, *a_next;
	struct store_ask *k, *k_next;
	struct run_event *e;

	if (!f)
		return;
	pf_http_free(f->objects);
	pf_draft_free(f->core);
	for (a = LIST_FIRST(&f->asks); a; a = a_next) {
		a_next = LIST_NEXT(a, next);
		free(a);
	}
	for (k = LIST_FIRST(&f->stores); k; k = k_next) {
		k_next = LIST_NEXT(k, next);
		free(k);
	}
	while ((e = STAILQ_FIRST(&f->runs))) {
		STAILQ_REMOVE_HEAD(&f->runs, next);
		free(e->body);
		free(e);
	}
	if (f->timer)
		event_free(f->timer);
	if (f->wake)
		event_free(f->wake);
	free(f);
	d->drafts = NULL;
}
