/* Calls of a plain service. */
#include "daemon.h"
#include "pimentoford/clock.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A call that never reached the service is sent again so often. */
#define SEND_AGAIN_MS 100
#define SEND_AGAIN_MAX 50
#define BAD_GATEWAY 502

/* First byte of a stored answer: how the body stands in it. */
#define BODY_TEXT 't'
#define BODY_BASE64 'b'

static void send_call(struct try_slot *s);

/* "t STATUS TYPE\nBODY", or the body in base64 when it is no UTF-8 text. */
void plain_get_answer(const struct try_slot *s, struct pf_text *out)
{
	const char *type = s->answer_type ? s->answer_type : "";
	bool text = g_utf8_validate_len(s->answer.n ? s->answer.p : "",
					s->answer.n, NULL);

	pf_text_printf(out, "%c %u %s\n", text ? BODY_TEXT : BODY_BASE64,
		       s->status, type);
	if (text) {
		pf_text_add(out, pf_text_str(&s->answer));
	} else {
		gchar *enc = g_base64_encode((const guchar *)s->answer.p,
					     s->answer.n);

		pf_text_add(out, pf_str_c(enc));
		g_free(enc);
	}
}

void plain_set_answer(struct try_slot *s, struct pf_str text)
{
	const char *nl = text.n ? memchr(text.p, '\n', text.n) : NULL;
	char head[512];
	char type[256] = "";
	char form = 0;

	if (!nl || (size_t)(nl - text.p) >= sizeof(head))
		return;
	snprintf(head, sizeof(head), "%.*s", (int)(nl - text.p), text.p);
	if (sscanf(head, "%c %u %255[^\n]", &form, &s->status, type) < 2)
		return;
	free(s->answer_type);
	s->answer_type = strdup(type);
	s->answer.n = 0;
	nl++;
	text.n -= (size_t)(nl - text.p);
	text.p = nl;
	if (form == BODY_TEXT) {
		pf_text_add(&s->answer, text);
	} else {
		char *copy = pf_str_dup(text);
		gsize n = 0;

		if (copy && g_base64_decode_inplace(copy, &n))
			pf_text_add(&s->answer, (struct pf_str){ copy, n });
		free(copy);
	}
}

static void ended(struct try_slot *s, enum pf_finish_reason end)
{
	struct daemon *d = s->d;

	s->running = false;
	agent_run_ended(d, s->id, end, 0);
}

static void on_again(evutil_socket_t fd, short what, void *ctx)
{
	struct try_slot *s = ctx;

	(void)fd;
	(void)what;
	send_call(s);
}

static int later(struct try_slot *s, event_callback_fn fn, pf_ms wait)
{
	struct timeval tv = pf_clock_timeval(wait);

	if (!s->again)
		s->again = evtimer_new(s->d->base, fn, s);
	return s->again ? event_add(s->again, &tv) : -1;
}

static void answered(struct try_slot *s, const struct pf_http_answer *a)
{
	s->status = (uint32_t)a->status;
	free(s->answer_type);
	s->answer_type = pf_str_dup(a->content_type);
	s->answer.n = 0;
	pf_text_add(&s->answer, a->body);
	ended(s, s->answer.failed ? PF_FINISH_ERROR : PF_FINISH_STOP);
}

static void on_done(void *ctx, const struct pf_http_answer *a)
{
	struct try_slot *s = ctx;

	s->call = NULL;
	switch (a->result) {
	case PF_HTTP_OK:
		answered(s, a);
		break;
	case PF_HTTP_NOT_SENT:
		if (s->execs < SEND_AGAIN_MAX && !s->stopping &&
		    later(s, on_again, SEND_AGAIN_MS) == 0)
			break;
		s->status = BAD_GATEWAY;
		ended(s, PF_FINISH_CANCELLED);
		break;
	case PF_HTTP_LOST:
		/* Whether it ran is unknown; the core knows what follows. */
		ended(s, PF_FINISH_CANCELLED);
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
		.done = on_done,
		.ctx = s,
	};

	s->execs++;
	s->call = pf_http_start(s->d->backend, &r);
	if (s->call)
		return;
	if (later(s, on_again, SEND_AGAIN_MS) < 0)
		ended(s, PF_FINISH_ERROR);
}

void plain_start(struct daemon *d, struct try_slot *s)
{
	(void)d;
	s->running = true;
	send_call(s);
}

void plain_stop(struct daemon *d, struct try_slot *s)
{
	s->stopping = true;
	/* The service may be at it; what it does cannot be taken back. */
	if (s->never_repeat && s->running)
		return;
	runs_forget(s);
	agent_run_ended(d, s->id, PF_FINISH_CANCELLED, 0);
}
