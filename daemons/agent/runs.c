/*
 * Runs at an engine: start, growth, cancel and the stream of tokens. One
 * execution ends with one PF_AGENT_RUN_END, unless the engine crashes; its
 * name is never used again, so that late answers cannot hit the next one.
 */
#include "daemon.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define STATUS_OK 200
#define STATUS_ABSENT 404
#define STATUS_CONFLICT 409
/* Nothing was started, or a resume was refused: ask again after this. */
#define AGAIN_MS 100
#define CONTROL_TIMEOUT_MS 5000
#define TARGET_MAX 128

static void send_cancel(struct try_slot *s);
static void send_resume(struct try_slot *s);

void runs_forget(struct try_slot *s)
{
	if (s->call)
		pf_http_cancel(s->call);
	if (s->resume)
		pf_http_cancel(s->resume);
	if (s->cancel)
		pf_http_cancel(s->cancel);
	if (s->again)
		event_free(s->again);
	s->call = NULL;
	s->resume = NULL;
	s->cancel = NULL;
	s->again = NULL;
	pf_engine_stream_free(&s->stream);
	memset(&s->stream, 0, sizeof(s->stream));
	s->running = false;
	s->opened = false;
	s->stopping = false;
	s->cut = false;
	s->at_max = false;
}

/* Ends the execution and tells the core; @s may be gone afterwards. */
static void ended(struct try_slot *s, enum pf_finish_reason how, uint32_t total)
{
	struct daemon *d = s->d;
	struct pf_try id = s->id;

	runs_forget(s);
	agent_run_ended(d, id, how, total);
}

static void on_again(evutil_socket_t fd, short what, void *ctx)
{
	struct try_slot *s = ctx;

	(void)fd;
	(void)what;
	if (!s->running)
		return;
	if (!s->opened)
		ended(s, PF_FINISH_CANCELLED, s->total);
	else if (s->stopping || s->cut || s->at_max)
		send_cancel(s);
	else
		send_resume(s);
}

static void ask_again(struct try_slot *s)
{
	struct timeval tv = { 0, AGAIN_MS * 1000 };

	if (!s->again)
		s->again = evtimer_new(s->d->base, on_again, s);
	if (s->again)
		event_add(s->again, &tv);
}

static struct pf_http_call *
control(struct try_slot *s, const char *verb, struct pf_str body,
	void (*done)(void *, const struct pf_http_answer *))
{
	char target[TARGET_MAX];
	struct pf_http_request r = {
		.method = "POST",
		.target = target,
		.content_type = "application/json",
		.body = body,
		.timeout = CONTROL_TIMEOUT_MS,
		.done = done,
		.ctx = s,
	};

	snprintf(target, sizeof(target), "/engine/run/%s/%s", s->name, verb);
	return pf_http_start(s->d->backend, &r);
}

/* Memory is free once the engine says so, or does not know the run. */
static void on_cancelled(void *ctx, const struct pf_http_answer *a)
{
	struct try_slot *s = ctx;

	s->cancel = NULL;
	if (a->result == PF_HTTP_OK &&
	    (a->status == STATUS_OK || a->status == STATUS_ABSENT)) {
		ended(s, s->at_max ? PF_FINISH_LIMIT : PF_FINISH_CANCELLED,
		      s->total);
		return;
	}
	ask_again(s);
}

static void send_cancel(struct try_slot *s)
{
	if (s->cancel)
		return;
	s->cancel = control(s, "cancel", PF_STR("{}"), on_cancelled);
	if (!s->cancel)
		ask_again(s);
}

static void on_resumed(void *ctx, const struct pf_http_answer *a)
{
	struct try_slot *s = ctx;

	s->resume = NULL;
	if (a->result == PF_HTTP_OK && a->status == STATUS_OK) {
		if (s->limit_wanted > s->limit_sent)
			send_resume(s);
		return;
	}
	/* A run that is gone ends its stream; else the limit stays. */
	s->limit_sent = 0;
	if (a->result != PF_HTTP_OK || a->status != STATUS_ABSENT)
		ask_again(s);
}

static void send_resume(struct try_slot *s)
{
	char body[64];
	int n;

	if (s->resume || s->limit_wanted <= s->limit_sent)
		return;
	n = snprintf(body, sizeof(body), "{\"limit\":%u}", s->limit_wanted);
	s->limit_sent = s->limit_wanted;
	s->resume = control(s, "resume", (struct pf_str){ body, (size_t)n },
			    on_resumed);
	if (!s->resume) {
		s->limit_sent = 0;
		ask_again(s);
	}
}

static void on_token(struct try_slot *s, const struct pf_engine_event *e)
{
	struct daemon *d = s->d;
	uint32_t len = (uint32_t)e->u.token.text.n;
	struct pf_agent_msg m = { .type = PF_AGENT_TOKENS };

	/* An engine that starts elsewhere than it was told is not followed. */
	if (e->u.token.offset != s->total) {
		s->stream.malformed = true;
		return;
	}
	s->total++;
	pf_text_add(&s->output, e->u.token.text);
	d->piece_text = e->u.token.text;
	d->piece_lens = &len;
	d->piece_count = 1;
	m.u.tokens.id = s->id;
	m.u.tokens.offset = e->u.token.offset;
	m.u.tokens.count = 1;
	agent_step(d, &m);
}

static void on_event(void *ctx, const struct pf_engine_event *e)
{
	struct try_slot *s = ctx;

	switch (e->type) {
	case PF_ENGINE_TOKEN:
		on_token(s, e);
		break;
	case PF_ENGINE_AT_LIMIT:
		/* The engine keeps the run; its memory is given back. */
		if (e->u.total >= s->max_tokens) {
			s->at_max = true;
			send_cancel(s);
		}
		break;
	case PF_ENGINE_END:
		/* Told when the call is done, outside the stream's reader. */
		s->end_how = e->u.end.finish_reason;
		s->end_total = e->u.end.total;
		break;
	}
}

static void on_head(void *ctx, int status)
{
	struct try_slot *s = ctx;

	if (status != STATUS_OK)
		return;
	s->opened = true;
	if (s->stopping)
		send_cancel(s);
	else
		send_resume(s);
}

static void break_stream(struct try_slot *s)
{
	s->cut = true;
	send_cancel(s);
}

static void on_chunk(void *ctx, const char *p, size_t n)
{
	struct try_slot *s = ctx;

	if (s->cut)
		return;
	if (pf_engine_stream_feed(&s->stream, p, n) < 0)
		break_stream(s);
	if (!s->running || !s->stream.ended)
		return;
	pf_http_detach(s->call);
	s->call = NULL;
	ended(s, s->end_how, s->end_total);
}

static void refused(struct try_slot *s, const struct pf_http_answer *a)
{
	char why[32];

	pf_engine_error_code(a->body, why, sizeof(why));
	if (a->status != STATUS_CONFLICT) {
		ended(s, PF_FINISH_ERROR, s->total);
		return;
	}
	/* The core's view of the engine was wrong: it is to look again. */
	if (strcmp(why, "duplicate") != 0)
		s->d->watch.fresh_wanted = true;
	watch_hurry(s->d);
	ask_again(s);
}

static void on_done(void *ctx, const struct pf_http_answer *a)
{
	struct try_slot *s = ctx;

	s->call = NULL;
	if (a->result == PF_HTTP_OK && a->status != STATUS_OK) {
		refused(s, a);
		return;
	}
	/* The stream broke: the watch says whether the engine still stands. */
	s->cut = true;
	watch_hurry(s->d);
}

static void name_execution(struct try_slot *s)
{
	s->execs++;
	snprintf(s->name, sizeof(s->name), "%016llx.%u.%u",
		 (unsigned long long)s->id.request, s->id.attempt, s->execs);
}

static int run_body(struct daemon *d, struct try_slot *s,
		    const struct pf_work *w, struct pf_text *body)
{
	const char *model = names_find(d, w->model);
	const char *adapter = w->adapter ? names_find(d, w->adapter) : "";
	struct pf_engine_run run = {
		.name = s->name,
		.model = model,
		.adapter = adapter,
		.prompt = s->payload.body,
		.prior = pf_text_str(&s->output),
		.offset = s->total,
		.limit = s->limit_sent,
		.priority = w->priority,
	};

	if (!model || !adapter || s->output.failed)
		return -1;
	pf_engine_run_body(&run, body);
	return body->failed ? -1 : 0;
}

void runs_start(struct daemon *d, struct try_slot *s,
		const struct pf_work *work, uint32_t offset, uint32_t limit)
{
	struct pf_text body = { 0 };
	struct pf_http_request r = {
		.method = "POST",
		.target = "/engine/run",
		.content_type = "application/json",
		.head = on_head,
		.chunk = on_chunk,
		.done = on_done,
		.ctx = s,
	};

	runs_forget(s);
	name_execution(s);
	s->running = true;
	s->total = offset;
	s->limit_wanted = limit;
	s->limit_sent = limit;
	s->max_tokens = work->max_tokens;
	s->stream.on_event = on_event;
	s->stream.ctx = s;
	if (run_body(d, s, work, &body) == 0) {
		r.body = pf_text_str(&body);
		s->call = pf_http_start(d->backend, &r);
		if (!s->call)
			ask_again(s);
	} else {
		ended(s, PF_FINISH_ERROR, offset);
	}
	pf_text_free(&body);
}

void runs_grant(struct daemon *d, struct try_slot *s, uint32_t limit)
{
	(void)d;
	if (!s->running || limit <= s->limit_wanted)
		return;
	s->limit_wanted = limit;
	if (s->opened)
		send_resume(s);
}

void runs_stop(struct daemon *d, struct try_slot *s)
{
	if (!s->running) {
		agent_run_ended(d, s->id, PF_FINISH_CANCELLED, s->total);
		return;
	}
	s->stopping = true;
	/* Before its answer the engine may not know the run: a cancel would
	 * overtake it. */
	if (s->opened)
		send_cancel(s);
}

void runs_settle_cut(struct daemon *d)
{
	uint32_t i;

	for (i = 0; i < d->tries.cap; i++) {
		struct try_slot *s = &d->tries.v[i];

		if (s->used && s->running && s->cut)
			send_cancel(s);
	}
}

void runs_clear(struct daemon *d)
{
	uint32_t i;

	for (i = 0; i < d->tries.cap; i++) {
		struct try_slot *s = &d->tries.v[i];

		if (s->used && s->running)
			runs_forget(s);
	}
}
