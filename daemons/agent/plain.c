/* Calls to a plain service. */
#include "daemon.h"
#include "pimentoford/clock.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* For calls that did not reach the service. */
#define RETRY_MS 100
#define SENDS_MAX 50
#define BAD_GATEWAY 502

/* First byte of a stored answer: encoding of the body. */
#define BODY_TEXT 't'
#define BODY_BASE64 'b'

static void send_call(struct try_slot *s);

/* "t STATUS TYPE\nBODY"; "b" and base64 if the body is not UTF-8. */
void plain_encode_answer(const struct try_slot *s, struct pf_text *out)
{
	const char *type = s->answer_content_type ? s->answer_content_type : "";
	bool text =
		g_utf8_validate_len(s->answer_body.n ? s->answer_body.p : "",
				    s->answer_body.n, NULL);

	pf_text_printf(out, "%c %u %s\n", text ? BODY_TEXT : BODY_BASE64,
		       s->answer_status, type);
	if (text) {
		pf_text_add(out, pf_text_str(&s->answer_body));
	} else {
		gchar *enc = g_base64_encode((const guchar *)s->answer_body.p,
					     s->answer_body.n);

		pf_text_add(out, pf_str_c(enc));
		g_free(enc);
	}
}

void plain_decode_answer(struct try_slot *s, struct pf_str text)
{
	const char *nl = text.n ? memchr(text.p, '\n', text.n) : NULL;
	char head[512];
	char type[256] = "";
	char form = 0;

	if (!nl || (size_t)(nl - text.p) >= sizeof(head))
		return;
	snprintf(head, sizeof(head), "%.*s", (int)(nl - text.p), text.p);
	if (sscanf(head, "%c %u %255[^\n]", &form, &s->answer_status, type) < 2)
		return;
	free(s->answer_content_type);
	s->answer_content_type = strdup(type);
	s->answer_body.n = 0;
	nl++;
	text.n -= (size_t)(nl - text.p);
	text.p = nl;
	if (form == BODY_TEXT) {
		pf_text_add(&s->answer_body, text);
	} else {
		char *copy = pf_str_dup(text);
		gsize n = 0;

		if (copy && g_base64_decode_inplace(copy, &n))
			pf_text_add(&s->answer_body,
				    (struct pf_str){ copy, n });
		free(copy);
	}
}

static void end_run(struct try_slot *s, enum pf_finish_reason end)
{
	struct daemon *d = s->d;

	s->running = false;
	agent_run_ended(d, s->id, end, 0);
}

static void on_retry_timer(evutil_socket_t fd, short what, void *ctx)
{
	struct try_slot *s = ctx;

	(void)fd;
	(void)what;
	send_call(s);
}

static int retry_later(struct try_slot *s, event_callback_fn fn, pf_ms wait)
{
	struct timeval tv = pf_clock_timeval(wait);

	if (!s->retry_timer)
		s->retry_timer = evtimer_new(s->d->base, fn, s);
	return s->retry_timer ? event_add(s->retry_timer, &tv) : -1;
}

static void on_answer(struct try_slot *s, const struct pf_http_answer *a)
{
	s->answer_status = (uint32_t)a->status;
	free(s->answer_content_type);
	s->answer_content_type = pf_str_dup(a->content_type);
	s->answer_body.n = 0;
	pf_text_add(&s->answer_body, a->body);
	end_run(s, s->answer_body.failed ? PF_FINISH_ERROR : PF_FINISH_STOP);
}

static void on_call_done(void *ctx, const struct pf_http_answer *a)
{
	struct try_slot *s = ctx;

	s->run_call = NULL;
	switch (a->result) {
	case PF_HTTP_OK:
		on_answer(s, a);
		break;
	case PF_HTTP_NOT_SENT:
		if (s->executions < SENDS_MAX && !s->stop_requested &&
		    retry_later(s, on_retry_timer, RETRY_MS) == 0)
			break;
		s->answer_status = BAD_GATEWAY;
		end_run(s, PF_FINISH_CANCELLED);
		break;
	case PF_HTTP_LOST:
		/* Whether it ran is unknown; the core decides what to do. */
		end_run(s, PF_FINISH_CANCELLED);
		break;
	}
}

static void send_call(struct try_slot *s)
{
	const struct pf_payload *p = &s->payload;
	struct pf_http_request r = {
		.method = p->method.p,
		.target = p->path.p,
		.content_type = p->content_type.n ? p->content_type.p : NULL,
		.idempotency_key = p->idem_key.n ? p->idem_key.p : NULL,
		.body = p->body,
		.new_connection = s->never_repeat,
		.done = on_call_done,
		.ctx = s,
	};

	s->executions++;
	s->run_call = pf_http_start(s->d->backend, &r);
	if (s->run_call)
		return;
	if (retry_later(s, on_retry_timer, RETRY_MS) < 0)
		end_run(s, PF_FINISH_ERROR);
}

void plain_start(struct daemon *d, struct try_slot *s)
{
	(void)d;
	s->running = true;
	send_call(s);
}

void plain_stop(struct daemon *d, struct try_slot *s)
{
	s->stop_requested = true;
	/* The service may have started the call; it cannot be undone. */
	if (s->never_repeat && s->running)
		return;
	runs_reset(s);
	agent_run_ended(d, s->id, PF_FINISH_CANCELLED, 0);
}
