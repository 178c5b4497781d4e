/* TCP connections on libevent's event loop. */
#include "pimentoford/sock.h"

#include "pimentoford/clock.h"

#include <errno.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#define READ_BYTES ((size_t)32 << 10)

struct pf_sock {
	int fd;
	struct event *read_event;
	struct event *write_event;
	struct evbuffer *queue;
	const struct pf_sock_cbs *cbs;
	void *ctx;
	bool connected;
	bool in_callback; /* memory is released after the callback */
	bool freed; /* pf_sock_free() was called during a callback */
	bool paused;
};

static void sock_destroy(struct pf_sock *s)
{
	if (s->read_event)
		event_free(s->read_event);
	if (s->write_event)
		event_free(s->write_event);
	if (s->queue)
		evbuffer_free(s->queue);
	if (s->fd >= 0)
		evutil_closesocket(s->fd);
	free(s);
}

void pf_sock_free(struct pf_sock *s)
{
	if (!s || s->freed)
		return;
	s->freed = true;
	if (s->in_callback) {
		event_del(s->read_event);
		event_del(s->write_event);
		evutil_closesocket(s->fd);
		s->fd = -1;
		return;
	}
	sock_destroy(s);
}

void pf_sock_abort(struct pf_sock *s)
{
	struct linger l = { 1, 0 };

	if (!s || s->freed)
		return;
	setsockopt(s->fd, SOL_SOCKET, SO_LINGER, &l, sizeof(l));
	pf_sock_free(s);
}

static void on_closed(struct pf_sock *s, enum pf_sock_end why)
{
	event_del(s->read_event);
	event_del(s->write_event);
	s->in_callback = true;
	s->cbs->closed(s->ctx, s->connected ? why : PF_SOCK_NOT_CONNECTED);
	s->in_callback = false;
	if (s->freed)
		sock_destroy(s);
}

static void on_readable(evutil_socket_t fd, short what, void *ctx)
{
	static char bytes[READ_BYTES];
	struct pf_sock *s = ctx;
	ssize_t n;

	(void)what;
	n = recv(fd, bytes, sizeof(bytes), MSG_DONTWAIT);
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n <= 0) {
		on_closed(s, n == 0 ? PF_SOCK_EOF : PF_SOCK_RESET);
		return;
	}
	s->in_callback = true;
	s->cbs->data(s->ctx, (struct pf_str){ bytes, (size_t)n });
	s->in_callback = false;
	if (s->freed)
		sock_destroy(s);
}

/* Runs an optional callback. Returns whether @s still exists. */
static bool notify(struct pf_sock *s, void (*cb)(void *ctx))
{
	if (!cb)
		return true;
	s->in_callback = true;
	cb(s->ctx);
	s->in_callback = false;
	if (!s->freed)
		return true;
	sock_destroy(s);
	return false;
}

static int connect_error(int fd)
{
	int err = 0;
	socklen_t n = sizeof(err);

	if (getsockopt(fd, SOL_SOCKET, SO_ERROR, &err, &n) < 0)
		return errno;
	return err;
}

static void on_writable(evutil_socket_t fd, short what, void *ctx)
{
	struct pf_sock *s = ctx;

	if (!s->connected) {
		if ((what & EV_TIMEOUT) || connect_error(fd) != 0) {
			on_closed(s, PF_SOCK_NOT_CONNECTED);
			return;
		}
		s->connected = true;
		if (!s->paused)
			event_add(s->read_event, NULL);
		if (!notify(s, s->cbs->connected))
			return;
	}
	if (evbuffer_get_length(s->queue) == 0)
		return;
	if (evbuffer_write(s->queue, fd) < 0 && errno != EAGAIN &&
	    errno != EINTR) {
		on_closed(s, PF_SOCK_RESET);
		return;
	}
	if (evbuffer_get_length(s->queue) > 0)
		event_add(s->write_event, NULL);
	notify(s, s->cbs->sent);
}

static void set_options(int fd, pf_ms ack_timeout)
{
	int one = 1;
	unsigned int ms = (unsigned int)ack_timeout;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	if (ack_timeout > 0)
		setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof(ms));
}

static struct pf_sock *sock_new(struct event_base *base, int fd,
				pf_ms ack_timeout,
				const struct pf_sock_cbs *cbs, void *ctx)
{
	struct pf_sock *s = calloc(1, sizeof(*s));

	if (!s) {
		evutil_closesocket(fd);
		return NULL;
	}
	s->fd = fd;
	s->cbs = cbs;
	s->ctx = ctx;
	set_options(fd, ack_timeout);
	evutil_make_socket_nonblocking(fd);
	s->read_event =
		event_new(base, fd, EV_READ | EV_PERSIST, on_readable, s);
	s->write_event = event_new(base, fd, EV_WRITE, on_writable, s);
	s->queue = evbuffer_new();
	if (!s->read_event || !s->write_event || !s->queue) {
		sock_destroy(s);
		return NULL;
	}
	return s;
}

struct pf_sock *pf_sock_from_fd(struct event_base *base, int fd,
				pf_ms ack_timeout,
				const struct pf_sock_cbs *cbs, void *ctx)
{
	struct pf_sock *s = sock_new(base, fd, ack_timeout, cbs, ctx);

	if (!s)
		return NULL;
	s->connected = true;
	event_add(s->read_event, NULL);
	return s;
}

struct pf_sock *pf_sock_connect(struct event_base *base, const char *addr,
				pf_ms connect_timeout, pf_ms ack_timeout,
				const struct pf_sock_cbs *cbs, void *ctx)
{
	struct timeval tv = pf_clock_timeval(connect_timeout);
	struct sockaddr_storage to;
	int len = sizeof(to);
	struct pf_sock *s;
	int fd;

	if (evutil_parse_sockaddr_port(addr, (struct sockaddr *)&to, &len) < 0)
		return NULL;
	fd = socket(to.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC,
		    0);
	if (fd < 0)
		return NULL;
	if (connect(fd, (struct sockaddr *)&to, (socklen_t)len) < 0 &&
	    errno != EINPROGRESS) {
		evutil_closesocket(fd);
		return NULL;
	}
	s = sock_new(base, fd, ack_timeout, cbs, ctx);
	if (s)
		event_add(s->write_event, &tv);
	return s;
}

int pf_sock_write(struct pf_sock *s, struct pf_str b)
{
	ssize_t n = 0;

	if (s->freed || b.n == 0)
		return 0;
	if (s->connected && evbuffer_get_length(s->queue) == 0) {
		n = send(s->fd, b.p, b.n, MSG_DONTWAIT | MSG_NOSIGNAL);
		/* The next read reports a broken connection. */
		if (n < 0)
			n = 0;
	}
	if ((size_t)n == b.n)
		return 0;
	if (evbuffer_add(s->queue, b.p + n, b.n - (size_t)n) < 0)
		return -1;
	if (s->connected)
		event_add(s->write_event, NULL);
	return 0;
}

void pf_sock_limit_unsent(struct pf_sock *s, size_t bytes)
{
	unsigned int v = (unsigned int)bytes;

	if (!s->freed)
		setsockopt(s->fd, IPPROTO_TCP, TCP_NOTSENT_LOWAT, &v,
			   sizeof(v));
}

size_t pf_sock_queued(const struct pf_sock *s)
{
	return evbuffer_get_length(s->queue);
}

bool pf_sock_has_unread(const struct pf_sock *s)
{
	int n = 0;

	return !s->freed && ioctl(s->fd, FIONREAD, &n) == 0 && n > 0;
}

void pf_sock_shutdown(struct pf_sock *s)
{
	if (!s->freed)
		shutdown(s->fd, SHUT_WR);
}

void pf_sock_pause(struct pf_sock *s, bool pause)
{
	if (s->freed || s->paused == pause)
		return;
	s->paused = pause;
	if (!s->connected)
		return;
	if (pause)
		event_del(s->read_event);
	else
		event_add(s->read_event, NULL);
}

int pf_sock_listen(const char *addr, int backlog)
{
	struct sockaddr_storage at;
	int len = sizeof(at);
	int one = 1;
	int fd;

	if (evutil_parse_sockaddr_port(addr, (struct sockaddr *)&at, &len) < 0)
		return -1;
	fd = socket(at.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC,
		    0);
	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&at, (socklen_t)len) < 0 ||
	    listen(fd, backlog) < 0) {
		evutil_closesocket(fd);
		return -1;
	}
	return fd;
}
