/*
 * What goes to callers. A caller that reads slowly holds no more than the
 * socket's share: the rest waits in the request's own output, which is kept
 * for a resume anyway and is bounded by its token limit.
 */
#include "daemon.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/uio.h>

/* Beyond this many bytes at the socket, output waits. */
#define SOCKET_BYTES ((size_t)16 << 10)
#define HEADER_CHARS 32

static void set_header(evhtp_request_t *req, const char *name,
		       const char *value)
{
	evhtp_headers_add_header(req->headers_out,
				 evhtp_header_new(name, value, 1, 1));
}

void answer_bytes(struct conn *c, evhtp_request_t *req, int status,
		  const char *type, struct pf_str body)
{
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
	char seconds[HEADER_CHARS];

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

static size_t waiting_at_socket(const struct request *r)
{
	return evbuffer_get_length(bufferevent_get_output(r->conn->http->bev));
}

/*
 * Sends at once when nothing waits before it: one system call for a token in
 * place of the four that a bufferevent takes.
 */
static void send_now(struct conn *c, struct iovec *v, int n)
{
	struct bufferevent *bev = c->http->bev;
	ssize_t sent = 0;
	int i;

	if (evbuffer_get_length(bufferevent_get_output(bev)) == 0) {
		struct msghdr m = { .msg_iov = v, .msg_iovlen = (size_t)n };

		sent = sendmsg(bufferevent_getfd(bev), &m,
			       MSG_NOSIGNAL | MSG_DONTWAIT);
	}
	/* An error shows again when the event loop writes. */
	if (sent < 0)
		sent = 0;
	for (i = 0; i < n; i++) {
		size_t skip = (size_t)sent < v[i].iov_len ? (size_t)sent
							  : v[i].iov_len;

		sent -= (ssize_t)skip;
		if (skip < v[i].iov_len)
			bufferevent_write(bev, (char *)v[i].iov_base + skip,
					  v[i].iov_len - skip);
	}
}

/* One chunk of the body, framed here to spare evhtp's buffers per token. */
static void send_chunk(struct request *r, const struct pf_text *t)
{
	char size[HEADER_CHARS];
	struct iovec v[3];
	int n;

	if (t->n == 0)
		return;
	r->d->counters.v[PF_EC_BYTES_OUT] += t->n;
	v[1] = (struct iovec){ t->p, t->n };
	if (!(r->http->flags & EVHTP_REQ_FLAG_CHUNKED)) {
		send_now(r->conn, v + 1, 1);
		return;
	}
	n = snprintf(size, sizeof(size), "%zx\r\n", t->n);
	v[0] = (struct iovec){ size, (size_t)n };
	v[2] = (struct iovec){ "\r\n", 2 };
	send_now(r->conn, v, 3);
}

static void open_stream(struct request *r)
{
	struct pf_text *t = &r->d->scratch;

	if (r->head_sent)
		return;
	r->head_sent = true;
	set_header(r->http, "Content-Type", "text/event-stream");
	set_header(r->http, "Cache-Control", "no-cache");
	if (r->http->proto == EVHTP_PROTO_10) {
		/* The connection's end is the body's end. */
		r->http->flags &= (uint16_t)~EVHTP_REQ_FLAG_KEEPALIVE;
		evhtp_send_reply_start(r->http, EVHTP_RES_OK);
	} else {
		evhtp_send_reply_chunk_start(r->http, EVHTP_RES_OK);
	}
	pf_text_reset(t);
	pf_oai_stream_open(&r->shape, t);
	send_chunk(r, t);
}

static void close_stream(struct request *r)
{
	evhtp_request_t *http = r->http;

	send_chunk(r, &r->tail);
	requests_free(r);
	if (http->flags & EVHTP_REQ_FLAG_CHUNKED)
		evhtp_send_reply_chunk_end(http);
	else
		evhtp_send_reply_end(http);
}

/* Gives the socket what it may hold of the output that waits. */
static void send_waiting(struct request *r)
{
	struct pf_text *t = &r->d->scratch;

	if (r->unsent > 0 && waiting_at_socket(r) < SOCKET_BYTES) {
		struct pf_str text = { r->output.p + r->output.n - r->unsent,
				       r->unsent };

		pf_text_reset(t);
		pf_oai_stream_text(&r->shape, text, t);
		r->unsent = 0;
		send_chunk(r, t);
	}
	if (r->ended && r->unsent == 0)
		close_stream(r);
}

void answer_text(struct request *r, struct pf_str text)
{
	if (!r->http || !r->stream)
		return;
	open_stream(r);
	r->unsent += text.n;
	send_waiting(r);
}

void answer_writable(struct request *r)
{
	if (r->http && r->head_sent)
		send_waiting(r);
}

static struct pf_oai_failure failure_of(const struct pf_entry_act *act)
{
	return pf_oai_failure_of(act->u.end.reason, act->u.end.ran,
				 act->u.end.retry_after);
}

static bool at_limit(const struct request *r)
{
	const struct pf_wire_msg *w = r->d->at_hand;

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
				  r->usage ? &usage : NULL, &r->tail);
	} else {
		pf_oai_stream_failure(&f, &r->tail);
	}
	send_waiting(r);
}

static void end_whole(struct request *r)
{
	struct pf_oai_usage usage = usage_of(r);
	struct pf_text *t = &r->d->scratch;
	evhtp_request_t *http = r->http;
	struct conn *c = r->conn;

	pf_text_reset(t);
	pf_oai_whole(&r->shape, pf_text_str(&r->output), at_limit(r), &usage,
		     t);
	requests_free(r);
	answer_bytes(c, http, EVHTP_RES_OK, "application/json", pf_text_str(t));
}

static void end_plain(struct request *r)
{
	const struct pf_wire_msg *w = r->d->at_hand;
	evhtp_request_t *http = r->http;
	struct conn *c = r->conn;
	char type[256];

	PF_INVARIANT("a plain answer is at hand", w && w->type == PF_WIRE_DONE);
	snprintf(type, sizeof(type), "%.*s", (int)w->u.done.content_type.n,
		 w->u.done.content_type.n ? w->u.done.content_type.p : "");
	requests_free(r);
	answer_bytes(c, http, (int)w->u.done.status,
		     type[0] ? type : "application/octet-stream",
		     w->u.done.body);
}

void answer_end(struct request *r, const struct pf_entry_act *act)
{
	struct pf_oai_failure f = failure_of(act);
	evhtp_request_t *http = r->http;
	struct conn *c = r->conn;

	r->ended = true;
	if (!http)
		return; /* requests_gone() frees it */
	if (r->stream &&
	    (r->head_sent || act->u.end.reason == PF_REASON_NONE)) {
		end_stream(r, act);
	} else if (act->u.end.reason != PF_REASON_NONE) {
		requests_free(r);
		answer_failure(c, http, pf_oai_status_of(act->u.end.reason),
			       &f);
	} else if (r->plain) {
		end_plain(r);
	} else {
		end_whole(r);
	}
}
