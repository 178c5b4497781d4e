/* HTTP client for the entries. */
#include "ctl.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/util.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>

#define BODY_MAX_BYTES ((ev_ssize_t)64 << 20)
#define HOST_MAX_CHARS 64

struct call {
	struct event_base *base;
	struct reply *reply;
};

static void on_reply(struct evhttp_request *req, void *ctx)
{
	struct call *call = ctx;
	struct evbuffer *in;
	size_t n;

	if (req && evhttp_request_get_response_code(req) > 0) {
		call->reply->status = evhttp_request_get_response_code(req);
		in = evhttp_request_get_input_buffer(req);
		n = evbuffer_get_length(in);
		pf_text_add(&call->reply->body,
			    (struct pf_str){ (char *)evbuffer_pullup(in, -1),
					     n });
	}
	event_base_loopbreak(call->base);
}

/* Splits "IP:PORT"; drops the brackets of an IPv6 address. 0 or -1. */
static int split_addr(const char *addr, char *host, int *port)
{
	const char *colon = strrchr(addr, ':');
	size_t n = colon ? (size_t)(colon - addr) : 0;

	if (!colon || !n || n >= HOST_MAX_CHARS)
		return -1;
	if (addr[0] == '[' && n > 2) {
		addr++;
		n -= 2;
	}
	memcpy(host, addr, n);
	host[n] = '\0';
	return sscanf(colon + 1, "%d", port) == 1 ? 0 : -1;
}

static void add_headers(const struct ctl *c, const char *addr,
			struct evhttp_request *req, const char *body)
{
	struct evkeyvalq *h = evhttp_request_get_output_headers(req);
	struct pf_text auth = { 0 };

	evhttp_add_header(h, "Host", addr);
	evhttp_add_header(h, "Connection", "close");
	if (c->key) {
		pf_text_printf(&auth, "Bearer %s", c->key);
		if (!auth.failed)
			evhttp_add_header(h, "Authorization", auth.p);
		pf_text_free(&auth);
	}
	if (!body)
		return;
	evhttp_add_header(h, "Content-Type", "application/json");
	evbuffer_add(evhttp_request_get_output_buffer(req), body, strlen(body));
}

void ctl_request(const struct ctl *c, const char *addr, const char *method,
		 const char *target, const char *body, struct reply *r)
{
	enum evhttp_cmd_type cmd =
		strcmp(method, "POST") == 0 ? EVHTTP_REQ_POST : EVHTTP_REQ_GET;
	struct event_base *base = event_base_new();
	struct evhttp_connection *conn = NULL;
	struct evhttp_request *req;
	struct call call = { base, r };
	char host[HOST_MAX_CHARS];
	int port;

	memset(r, 0, sizeof(*r));
	if (!base || split_addr(addr, host, &port) < 0)
		goto out;
	conn = evhttp_connection_base_new(base, NULL, host,
					  (unsigned short)port);
	req = conn ? evhttp_request_new(on_reply, &call) : NULL;
	if (!req)
		goto out;
	evhttp_connection_set_timeout(conn, c->timeout_s);
	evhttp_connection_set_max_body_size(conn, BODY_MAX_BYTES);
	add_headers(c, addr, req, body);
	if (evhttp_make_request(conn, req, cmd, target) == 0)
		event_base_dispatch(base);
out:
	if (conn)
		evhttp_connection_free(conn);
	if (base)
		event_base_free(base);
}

int ctl_get(const struct ctl *c, const char *target, struct reply *r)
{
	for (char **e = c->entries; *e; e++) {
		ctl_request(c, *e, "GET", target, NULL, r);
		if (r->status && r->status != 503)
			return 0;
		fprintf(stderr, "pimentoctl: %s: %s\n", *e,
			r->status ? "not ready" : "no answer");
		pf_text_free(&r->body);
	}
	return -1;
}
