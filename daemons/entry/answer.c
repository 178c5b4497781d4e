/*
 * HTTP responses. For a caller that reads slowly, only a bounded backlog is
 * given to the socket. The rest stays in the request's output, which is kept
 * for a resume anyway and is bounded by the request's token limit.
 */
#include "daemon.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>

/* With this backlog at the socket, further output is held back. */
#define SOCKET_BACKLOG_MAX_BYTES ((size_t)16 << 10)
#define HEADER_MAX_CHARS 32
/* The longest size line of an HTTP chunk: 16 hex digits, CR LF. */
#define CHUNK_SIZE_LINE_MAX 18

static void set_header(evhtp_request_t *req, const char *name,
		       const char *value)
{
	evhtp_headers_add_header(req->headers_out,
				 evhtp_header_new(name, value, 1, 1));
}

/*
 * A stopping entry closes behind its answers, so that callers send their next
 * requests elsewhere, but not on a request that was read already.
 */
static void close_if_draining(const struct conn *c, evhtp_request_t *req)
{
	if (c->d->draining && !reader_has_input(c))
		req->flags &= (uint16_t)~EVHTP_REQ_FLAG_KEEPALIVE;
}

void answer_bytes(struct conn *c, evhtp_request_t *req, int status,
		  const char *type, struct pf_str body)
{
	close_if_draining(c, req);
	set_header(req, "Content-Type", type);
	if (body.n)
		evbuffer_add(req->buffer_out, body.p, body.n);
	c->d->counters.v[PF_EC_BYTES_OUT] += body.n;
	evhtp_send_reply(req, (evhtp_res)status);
}

void answer_failure(struct conn *c, evhtp_request_t *req, int status,
		    const struct pf_oai_failure *f)
{
	struct pf_text *t = &c->d->scratch;
	char seconds[HEADER_MAX_CHARS];

	if (f->retry_after > 0) {
		snprintf(seconds, sizeof(seconds), "%lld",
			 (long long)(f->retry_after + 999) / 1000);
		set_header(req, "Retry-After", seconds);
	}
	pf_text_reset(t);
	pf_oai_failure_body(f, t);
	answer_bytes(c, req, status, "application/json", pf_text_str(t));
}

void answer_refused(struct conn *c, evhtp_request_t *req, int status,
		    const char *code, const char *message)
{
	struct pf_oai_failure f = { .code = code,
				    .message = message,
				    .ran = PF_NOT_RUN };

	c->d->counters.v[PF_EC_BAD_REQUESTS]++;
	answer_failure(c, req, status, &f);
}

static size_t socket_backlog(const struct request *r)
{
	return evbuffer_get_length(bufferevent_get_output(r->conn->http->bev));
}

/*
 * Writes to the socket directly if its backlog is empty: one system call per
 * token instead of the four of a bufferevent.
 */
static void send_now(struct conn *c, const char *p, size_t n)
{
	struct bufferevent *bev = c->http->bev;
	ssize_t sent = 0;

	if (evbuffer_get_length(bufferevent_get_output(bev)) == 0)
		sent = send(bufferevent_getfd(bev), p, n,
			    MSG_NOSIGNAL | MSG_DONTWAIT);
	/* The bufferevent meets the same error and reports it. */
	if (sent < 0)
		sent = 0;
	if ((size_t)sent < n)
		bufferevent_write(bev, p + sent, n - (size_t)sent);
}

/* Empties the scratch buffer and reserves room for the chunk's size line. */
static struct pf_text *chunk_begin(struct request *r)
{
	static const char reserved[CHUNK_SIZE_LINE_MAX];
	struct pf_text *t = &r->d->scratch;

	pf_text_reset(t);
	pf_text_add(t, (struct pf_str){ reserved, CHUNK_SIZE_LINE_MAX });
	return t;
}

/* Writes the size line of a chunk before @text; returns its start. */
static char *put_chunk_size(char *text, size_t n)
{
	char *p = text;

	*--p = '\n';
	*--p = '\r';
	for (; n; n >>= 4)
		*--p = "0123456789abcdef"[n & 15];
	return p;
}

/* Sends one chunk, framed here since evhtp allocates buffers per chunk. */
static void chunk_send(struct request *r, struct pf_text *t)
{
	size_t n = t->n - CHUNK_SIZE_LINE_MAX;
	char *p;

	if (t->n <= CHUNK_SIZE_LINE_MAX)
		return;
	r->d->counters.v[PF_EC_BYTES_OUT] += n;
	if (!(r->http->flags & EVHTP_REQ_FLAG_CHUNKED)) {
		send_now(r->conn, t->p + CHUNK_SIZE_LINE_MAX, n);
		return;
	}
	pf_text_add(t, PF_STR("\r\n"));
	p = put_chunk_size(t->p + CHUNK_SIZE_LINE_MAX, n);
	send_now(r->conn, p, (size_t)(t->p + t->n - p));
}

static void open_stream(struct request *r)
{
	struct pf_text *t;

	if (r->head_sent)
		return;
	r->head_sent = true;
	set_header(r->http, "Content-Type", "text/event-stream");
	set_header(r->http, "Cache-Control", "no-cache");
	close_if_draining(r->conn, r->http);
	if (r->http->proto == EVHTP_PROTO_10) {
		/* HTTP/1.0 has no chunks: closing ends the body. */
		r->http->flags &= (uint16_t)~EVHTP_REQ_FLAG_KEEPALIVE;
		evhtp_send_reply_start(r->http, EVHTP_RES_OK);
	} else {
		evhtp_send_reply_chunk_start(r->http, EVHTP_RES_OK);
	}
	t = chunk_begin(r);
	pf_oai_stream_start(&r->shape, t);
	chunk_send(r, t);
}

static void close_stream(struct request *r)
{
	evhtp_request_t *http = r->http;
	struct pf_text *t = chunk_begin(r);

	pf_text_add(t, pf_text_str(&r->final_events));
	chunk_send(r, t);
	requests_free(r);
	if (http->flags & EVHTP_REQ_FLAG_CHUNKED)
		evhtp_send_reply_chunk_end(http);
	else
		evhtp_send_reply_end(http);
}

/* Sends the unsent output, unless the socket has too much backlog. */
static void send_unsent(struct request *r)
{
	struct pf_text *t;

	if (r->unsent_bytes > 0 &&
	    socket_backlog(r) < SOCKET_BACKLOG_MAX_BYTES) {
		struct pf_str text = { r->output.p + r->output.n -
					       r->unsent_bytes,
				       r->unsent_bytes };

		t = chunk_begin(r);
		pf_oai_stream_text(&r->shape, text, t);
		r->unsent_bytes = 0;
		chunk_send(r, t);
	}
	if (r->ended && r->unsent_bytes == 0)
		close_stream(r);
}

void answer_text(struct request *r, struct pf_str text)
{
	if (!r->http || !r->stream)
		return;
	open_stream(r);
	r->unsent_bytes += text.n;
	send_unsent(r);
}

void answer_writable(struct request *r)
{
	if (r->http && r->head_sent)
		send_unsent(r);
}

static struct pf_oai_failure failure_of(const struct pf_entry_act *act)
{
	return pf_oai_failure_of(act->u.end.reason, act->u.end.ran,
				 act->u.end.retry_after);
}

static bool at_limit(const struct request *r)
{
	const struct pf_wire_msg *w = r->d->current_msg;

	return w && w->type == PF_WIRE_DONE && w->u.done.at_limit;
}

static struct pf_oai_usage usage_of(const struct request *r)
{
	return (struct pf_oai_usage){ r->prompt_tokens, r->output_tokens };
}

static void end_stream(struct request *r, const struct pf_entry_act *act)
{
	struct pf_oai_usage usage = usage_of(r);
	struct pf_oai_failure f = failure_of(act);

	if (act->u.end.reason == PF_REASON_NONE) {
		open_stream(r);
		pf_oai_stream_end(&r->shape, at_limit(r),
				  r->include_usage ? &usage : NULL,
				  &r->final_events);
	} else {
		pf_oai_stream_failure(&f, &r->final_events);
	}
	send_unsent(r);
}

static void end_whole(struct request *r)
{
	struct pf_oai_usage usage = usage_of(r);
	struct pf_text *t = &r->d->scratch;
	evhtp_request_t *http = r->http;
	struct conn *c = r->conn;

	pf_text_reset(t);
	pf_oai_response_body(&r->shape, pf_text_str(&r->output), at_limit(r),
			     &usage, t);
	requests_free(r);
	answer_bytes(c, http, EVHTP_RES_OK, "application/json", pf_text_str(t));
}

static void end_plain(struct request *r)
{
	const struct pf_wire_msg *w = r->d->current_msg;
	evhtp_request_t *http = r->http;
	struct conn *c = r->conn;
	char type[256];

	PF_INVARIANT("the current message has the plain answer",
		     w && w->type == PF_WIRE_DONE);
	snprintf(type, sizeof(type), "%.*s", (int)w->u.done.content_type.n,
		 w->u.done.content_type.n ? w->u.done.content_type.p : "");
	requests_free(r);
	answer_bytes(c, http, (int)w->u.done.status,
		     type[0] ? type : "application/octet-stream",
		     w->u.done.body);
}

/* Whether a draft that failed with @reason is run again. */
static bool is_transient(enum pf_reason reason)
{
	switch (reason) {
	case PF_REASON_UNKNOWN_MODEL:
	case PF_REASON_TOO_LONG:
	case PF_REASON_QUARANTINED:
	case PF_REASON_BACKEND:
		return false;
	default:
		return true;
	}
}

static void end_draft(struct request *r, const struct pf_entry_act *act)
{
	struct pf_oai_failure f = failure_of(act);
	struct pf_oai_usage usage = usage_of(r);
	struct pf_text *t = &r->d->scratch;
	enum pf_reason reason = act->u.end.reason;
	struct daemon *d = r->d;
	uint64_t seq = r->draft_seq;

	pf_text_reset(t);
	if (reason == PF_REASON_NONE)
		pf_oai_response_body(&r->shape, pf_text_str(&r->output),
				     at_limit(r), &usage, t);
	else
		pf_oai_failure_body(&f, t);
	requests_free(r);
	drafts_run_done(
		d, seq, reason == PF_REASON_NONE || !is_transient(reason),
		reason == PF_REASON_NONE ? 200 : pf_oai_http_status(reason),
		pf_text_str(t));
}

void answer_end(struct request *r, const struct pf_entry_act *act)
{
	struct pf_oai_failure f = failure_of(act);
	evhtp_request_t *http = r->http;
	struct conn *c = r->conn;

	r->ended = true;
	if (r->draft_seq) {
		end_draft(r, act);
		return;
	}
	if (!http)
		return; /* requests_disconnected() frees it */
	if (r->stream &&
	    (r->head_sent || act->u.end.reason == PF_REASON_NONE)) {
		end_stream(r, act);
	} else if (act->u.end.reason != PF_REASON_NONE) {
		requests_free(r);
		answer_failure(c, http, pf_oai_http_status(act->u.end.reason),
			       &f);
	} else if (r->plain) {
		end_plain(r);
	} else {
		end_whole(r);
	}
}
