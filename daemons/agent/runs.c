/*
 * Runs at an engine: start, resume with a higher limit, cancel, and the token
 * stream. Each execution ends with one PF_AGENT_RUN_END, unless the engine
 * crashes. Run names are not reused, so that a late request or answer cannot
 * affect a later execution.
 */
#include "daemon.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define STATUS_OK 200
#define STATUS_ABSENT 404
#define STATUS_CONFLICT 409
/* Delay before a refused start is reported, or a resume or cancel retried. */
#define RETRY_MS 100
#define CONTROL_TIMEOUT_MS 5000
#define TARGET_BYTES_MAX 128

static void send_cancel(struct try_slot *s);
static void send_resume(struct try_slot *s);

void runs_reset(struct try_slot *s)
{
	if (s->run_call)
		pf_http_cancel(s->run_call);
	if (s->resume_call)
		pf_http_cancel(s->resume_call);
	if (s->cancel_call)
		pf_http_cancel(s->cancel_call);
	if (s->retry_timer)
		event_free(s->retry_timer);
	s->run_call = NULL;
	s->resume_call = NULL;
	s->cancel_call = NULL;
	s->retry_timer = NULL;
	pf_engine_stream_free(&s->stream);
	memset(&s->stream, 0, sizeof(s->stream));
	s->running = false;
	s->response_started = false;
	s->stop_requested = false;
	s->stream_broken = false;
	s->reached_max_tokens = false;
}

/* Ends the execution and tells the core; @s may be freed by this. */
static void end_run(struct try_slot *s, enum pf_finish_reason reason,
		    uint32_t total)
{
	struct daemon *d = s->d;
	struct pf_try id = s->id;

	runs_reset(s);
	agent_run_ended(d, id, reason, total);
}

static void on_retry_timer(evutil_socket_t fd, short what, void *ctx)
{
	struct try_slot *s = ctx;

	(void)fd;
	(void)what;
	if (!s->running)
		return;
	if (!s->response_started)
		end_run(s, PF_FINISH_CANCELLED, s->tokens_total);
	else if (s->stop_requested || s->stream_broken || s->reached_max_tokens)
		send_cancel(s);
	else
		send_resume(s);
}

static void retry_later(struct try_slot *s)
{
	struct timeval tv = { 0, RETRY_MS * 1000 };

	if (!s->retry_timer)
		s->retry_timer = evtimer_new(s->d->base, on_retry_timer, s);
	if (s->retry_timer)
		event_add(s->retry_timer, &tv);
}

static struct pf_http_call *
send_control(struct try_slot *s, const char *verb, struct pf_str body,
	     void (*done)(void *, const struct pf_http_answer *))
{
	char target[TARGET_BYTES_MAX];
	struct pf_http_request r = {
		.method = "POST",
		.target = target,
		.content_type = "application/json",
		.body = body,
		.timeout = CONTROL_TIMEOUT_MS,
		.done = done,
		.ctx = s,
	};

	snprintf(target, sizeof(target), "/engine/run/%s/%s", s->run_name,
		 verb);
	return pf_http_start(s->d->backend, &r);
}

/* The run's memory is free once the engine confirms or knows no such run. */
static void on_cancel_answer(void *ctx, const struct pf_http_answer *a)
{
	struct try_slot *s = ctx;

	s->cancel_call = NULL;
	if (a->result == PF_HTTP_OK &&
	    (a->status == STATUS_OK || a->status == STATUS_ABSENT)) {
		end_run(s,
			s->reached_max_tokens ? PF_FINISH_LIMIT
					      : PF_FINISH_CANCELLED,
			s->tokens_total);
		return;
	}
	retry_later(s);
}

static void send_cancel(struct try_slot *s)
{
	if (s->cancel_call)
		return;
	s->cancel_call =
		send_control(s, "cancel", PF_STR("{}"), on_cancel_answer);
	if (!s->cancel_call)
		retry_later(s);
}

static void on_resume_answer(void *ctx, const struct pf_http_answer *a)
{
	struct try_slot *s = ctx;

	s->resume_call = NULL;
	if (a->result == PF_HTTP_OK && a->status == STATUS_OK) {
		if (s->limit_granted > s->limit_sent)
			send_resume(s);
		return;
	}
	/* If the run is gone its stream ends; else resume again. */
	s->limit_sent = 0;
	if (a->result != PF_HTTP_OK || a->status != STATUS_ABSENT)
		retry_later(s);
}

static void send_resume(struct try_slot *s)
{
	char body[64];
	int n;

	if (s->resume_call || s->limit_granted <= s->limit_sent)
		return;
	n = snprintf(body, sizeof(body), "{\"limit\":%u}", s->limit_granted);
	s->limit_sent = s->limit_granted;
	s->resume_call =
		send_control(s, "resume", (struct pf_str){ body, (size_t)n },
			     on_resume_answer);
	if (!s->resume_call) {
		s->limit_sent = 0;
		retry_later(s);
	}
}

static void on_token(struct try_slot *s, const struct pf_engine_event *e)
{
	struct daemon *d = s->d;
	uint32_t len = (uint32_t)e->u.token.text.n;
	struct pf_agent_msg m = { .type = PF_AGENT_TOKENS };

	/* Reject a stream whose offsets are not consecutive. */
	if (e->u.token.offset != s->tokens_total) {
		s->stream.malformed = true;
		return;
	}
	s->tokens_total++;
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
		/* The engine keeps a paused run: cancel to free its memory. */
		if (e->u.total >= s->max_tokens) {
			s->reached_max_tokens = true;
			send_cancel(s);
		}
		break;
	case PF_ENGINE_END:
		/* Reported by on_chunk(), outside the stream parser. */
		s->finish_reason = e->u.end.finish_reason;
		s->finish_total = e->u.end.total;
		break;
	}
}

static void on_head(void *ctx, int status)
{
	struct try_slot *s = ctx;

	if (status != STATUS_OK)
		return;
	s->response_started = true;
	if (s->stop_requested)
		send_cancel(s);
	else
		send_resume(s);
}

static void cancel_broken_run(struct try_slot *s)
{
	s->stream_broken = true;
	send_cancel(s);
}

static void on_chunk(void *ctx, const char *p, size_t n)
{
	struct try_slot *s = ctx;

	if (s->stream_broken)
		return;
	if (pf_engine_stream_feed(&s->stream, p, n) < 0)
		cancel_broken_run(s);
	if (!s->running || !s->stream.ended)
		return;
	pf_http_detach(s->run_call);
	s->run_call = NULL;
	end_run(s, s->finish_reason, s->finish_total);
}

static void on_refusal(struct try_slot *s, const struct pf_http_answer *a)
{
	char code[32];

	pf_engine_error_code(a->body, code, sizeof(code));
	if (a->status != STATUS_CONFLICT) {
		end_run(s, PF_FINISH_ERROR, s->tokens_total);
		return;
	}
	/* The core's view of the engine is stale: refresh it. */
	if (strcmp(code, "duplicate") != 0)
		s->d->watch.core_awaits_inventory = true;
	watch_poll_now(s->d);
	retry_later(s);
}

static void on_run_done(void *ctx, const struct pf_http_answer *a)
{
	struct try_slot *s = ctx;

	s->run_call = NULL;
	if (a->result == PF_HTTP_OK && a->status != STATUS_OK) {
		on_refusal(s, a);
		return;
	}
	/* The stream broke: check whether the engine is still up. */
	s->stream_broken = true;
	watch_poll_now(s->d);
}

static void name_execution(struct try_slot *s)
{
	s->executions++;
	snprintf(s->run_name, sizeof(s->run_name), "%016llx.%u.%u",
		 (unsigned long long)s->id.request, s->id.attempt,
		 s->executions);
}

static int build_run_body(struct daemon *d, struct try_slot *s,
			  const struct pf_work *w, struct pf_text *body)
{
	const char *model = names_find(d, w->model);
	const char *adapter = w->adapter ? names_find(d, w->adapter) : "";
	struct pf_engine_run run = {
		.name = s->run_name,
		.model = model,
		.adapter = adapter,
		.prompt = s->payload.body,
		.prior = pf_text_str(&s->output),
		.offset = s->tokens_total,
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
		.done = on_run_done,
		.ctx = s,
	};

	runs_reset(s);
	name_execution(s);
	s->running = true;
	s->tokens_total = offset;
	s->limit_granted = limit;
	s->limit_sent = limit;
	s->max_tokens = work->max_tokens;
	s->stream.on_event = on_event;
	s->stream.ctx = s;
	if (build_run_body(d, s, work, &body) == 0) {
		r.body = pf_text_str(&body);
		s->run_call = pf_http_start(d->backend, &r);
		if (!s->run_call)
			retry_later(s);
	} else {
		end_run(s, PF_FINISH_ERROR, offset);
	}
	pf_text_free(&body);
}

void runs_grant(struct daemon *d, struct try_slot *s, uint32_t limit)
{
	(void)d;
	if (!s->running || limit <= s->limit_granted)
		return;
	s->limit_granted = limit;
	if (s->response_started)
		send_resume(s);
}

void runs_stop(struct daemon *d, struct try_slot *s)
{
	if (!s->running) {
		agent_run_ended(d, s->id, PF_FINISH_CANCELLED, s->tokens_total);
		return;
	}
	s->stop_requested = true;
	/* Before the response starts, the engine may not know the run yet and
	 * a cancel could overtake the start. */
	if (s->response_started)
		send_cancel(s);
}

void runs_cancel_broken(struct daemon *d)
{
	uint32_t i;

	for (i = 0; i < d->tries.capacity; i++) {
		struct try_slot *s = &d->tries.slots[i];

		if (s->in_use && s->running && s->stream_broken)
			send_cancel(s);
	}
}

void runs_reset_all(struct daemon *d)
{
	uint32_t i;

	for (i = 0; i < d->tries.capacity; i++) {
		struct try_slot *s = &d->tries.slots[i];

		if (s->in_use && s->running)
			runs_reset(s);
	}
}
