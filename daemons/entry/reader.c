/*
 * Buffers a connection's input before evhtp's parser, which loses a path that
 * arrives in two reads and starts a pipelined request before the current one
 * is answered. The parser gets complete heads, and one request at a time.
 */
#include "daemon.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <stdlib.h>
#include <string.h>

#define END_OF_HEAD "\r\n\r\n"
#define END_OF_HEAD_CHARS 4

static struct evbuffer *input_of(const struct conn *c)
{
	return bufferevent_get_input(c->http->bev);
}

/* The value of header @name in @head, not NUL-terminated; or NULL. */
static const char *find_header(struct pf_str head, const char *name)
{
	const char *end = head.p + head.n;
	const char *p = head.p;
	size_t n = strlen(name);

	while ((p = memchr(p, '\n', (size_t)(end - p)))) {
		p++;
		if ((size_t)(end - p) > n && strncasecmp(p, name, n) == 0 &&
		    p[n] == ':')
			return p + n + 1;
	}
	return NULL;
}

/* Sets the phase and the body length that @head declares. */
static void parse_framing(struct conn *c, struct pf_str head)
{
	const char *length = find_header(head, "Content-Length");

	c->phase = CONN_BODY;
	c->body_left = 0;
	if (find_header(head, "Transfer-Encoding"))
		c->phase = CONN_CHUNKED;
	else if (length)
		/* Safe without a NUL: the head ends in CR LF. */
		c->body_left = strtoull(length, NULL, 10);
	if (c->body_left > (uint64_t)c->d->settings.http.body)
		server_refuse(c, 413, "Content Too Large", "body_too_large",
			      "the body exceeds the size limit of this server");
}

/* Passes the first @n bytes of the input to evhtp, which may free @c. */
static void pass_to_evhtp(struct conn *c, size_t n)
{
	struct evbuffer *in = input_of(c);
	struct evbuffer *first;

	if (n < evbuffer_get_length(in)) {
		first = evbuffer_new();
		if (!first) {
			server_refuse(c, 503, "Service Unavailable", "full",
				      "out of memory");
			return;
		}
		evbuffer_remove_buffer(in, first, n);
		evbuffer_add_buffer(c->pipelined, in);
		evbuffer_prepend_buffer(in, first);
		evbuffer_free(first);
	}
	c->read_cb(c->http->bev, c->cb_arg);
}

static void handle_head(struct conn *c)
{
	struct evbuffer *in = input_of(c);
	size_t len = evbuffer_get_length(in);
	struct evbuffer_ptr end;
	size_t n;

	if (len == 0)
		return;
	server_request_started(c);
	end = evbuffer_search(in, END_OF_HEAD, END_OF_HEAD_CHARS, NULL);
	n = end.pos < 0 ? len : (size_t)end.pos + END_OF_HEAD_CHARS;
	if (n > (size_t)c->d->settings.http.header) {
		server_refuse(c, 431, "Request Header Fields Too Large",
			      "header_too_large",
			      "the request header exceeds the size limit of "
			      "this server");
		return;
	}
	if (end.pos < 0)
		return;
	parse_framing(c, (struct pf_str){
				 (const char *)evbuffer_pullup(in, (ssize_t)n),
				 n });
	if (c->refused)
		return;
	if (c->phase == CONN_CHUNKED)
		n = len;
	else if (c->body_left < len - n)
		n += c->body_left;
	else
		n = len;
	if (c->phase == CONN_BODY)
		c->body_left -= n - ((size_t)end.pos + END_OF_HEAD_CHARS);
	pass_to_evhtp(c, n);
}

static void handle_body(struct conn *c)
{
	size_t n = evbuffer_get_length(input_of(c));

	if (n > c->body_left)
		n = c->body_left;
	c->body_left -= n;
	if (n > 0)
		pass_to_evhtp(c, n);
}

static void on_read(struct bufferevent *bev, void *ctx)
{
	struct evbuffer *in = bufferevent_get_input(bev);
	struct conn *c = ctx;

	if (c->refused) {
		evbuffer_drain(in, evbuffer_get_length(in));
		return;
	}
	switch (c->phase) {
	case CONN_HEAD:
		handle_head(c);
		break;
	case CONN_BODY:
		handle_body(c);
		break;
	case CONN_CHUNKED:
		c->read_cb(bev, c->cb_arg);
		break;
	case CONN_ANSWERING:
		/* A pipelined request stays in the input buffer. */
		break;
	}
}

static void on_write(struct bufferevent *bev, void *ctx)
{
	struct conn *c = ctx;

	c->write_cb(bev, c->cb_arg);
}

static void on_event(struct bufferevent *bev, short what, void *ctx)
{
	struct conn *c = ctx;

	c->event_cb(bev, what, c->cb_arg);
}

static void on_resume(evutil_socket_t fd, short what, void *ctx)
{
	struct conn *c = ctx;

	(void)fd;
	(void)what;
	if (c->phase == CONN_ANSWERING)
		c->phase = CONN_HEAD;
	if (evbuffer_get_length(c->pipelined) > 0) {
		/* Keeps the order of arrival. */
		evbuffer_prepend_buffer(input_of(c), c->pipelined);
	}
	on_read(c->http->bev, c);
}

bool reader_has_input(const struct conn *c)
{
	return (!c->parsing && evbuffer_get_length(input_of(c)) > 0) ||
	       evbuffer_get_length(c->pipelined) > 0;
}

void reader_resume(struct conn *c)
{
	event_active(c->resume_event, 0, 0);
}

int reader_start(struct conn *c)
{
	struct bufferevent *bev = c->http->bev;

	c->pipelined = evbuffer_new();
	c->resume_event = event_new(c->d->base, -1, 0, on_resume, c);
	if (!c->pipelined || !c->resume_event)
		return -1;
	c->phase = CONN_HEAD;
	bufferevent_getcb(bev, &c->read_cb, &c->write_cb, &c->event_cb,
			  &c->cb_arg);
	bufferevent_setcb(bev, on_read, on_write, on_event, c);
	/* Bounds the pipelined input that is buffered. */
	bufferevent_setwatermark(bev, EV_READ, 0,
				 (size_t)(c->d->settings.http.header +
					  c->d->settings.http.body));
	return 0;
}

void reader_stop(struct conn *c)
{
	if (c->pipelined)
		evbuffer_free(c->pipelined);
	if (c->resume_event)
		event_free(c->resume_event);
}
