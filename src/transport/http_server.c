/* HTTP servers on libevent that hold a bounded amount for each caller. */
#include "pimentoford/http_server.h"

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/util.h>

/* While an answer waits to be read, libevent goes on reading requests behind
 * it, for as long as they come. */
#define INPUT_BYTES_MAX ((size_t)32 << 10)
/* Of a request line and its headers; below the above, or they never end. */
#define HEAD_BYTES_MAX ((size_t)16 << 10)

static struct bufferevent *new_connection(struct event_base *base, void *ctx)
{
	struct bufferevent *b = bufferevent_socket_new(base, -1, 0);

	(void)ctx;
	if (b)
		bufferevent_setwatermark(b, EV_READ, 0, INPUT_BYTES_MAX);
	return b;
}

struct evhttp *pf_http_server_new(struct event_base *base, int fd,
				  int idle_timeout_s)
{
	struct evhttp *http = evhttp_new(base);

	if (!http)
		goto fail;
	evhttp_set_bevcb(http, new_connection, NULL);
	evhttp_set_max_headers_size(http, (ev_ssize_t)HEAD_BYTES_MAX);
	evhttp_set_max_body_size(http, 0);
	evhttp_set_timeout(http, idle_timeout_s);
	if (evhttp_accept_socket(http, fd) < 0)
		goto fail;
	return http;
fail:
	if (http)
		evhttp_free(http);
	evutil_closesocket(fd);
	return NULL;
}
