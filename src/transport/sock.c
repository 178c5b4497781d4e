/* TCP connections on libevent's loop. */
#include "pimentoford/sock.h"

#include "pimentoford/clock.h"

#include <errno.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#define READ_BYTES ((size_t)32 << 10)

struct pf_sock {
	int fd;
	struct event *in;
	struct event *out;
	struct evbuffer *queue;
	const struct pf_sock_cbs *cbs;
	void *ctx;
	bool up;
	bool in_call; /* a callback runs: freeing waits for its end */
	bool dead;
	bool finishing; /* closes itself once the queue is sent */
	bool paused;
};

static void release(struct pf_sock *s)
{
	if (s->in)
		event_free(s->in);
	if (s->out)
		event_free(s->out);
	if (s->queue)
		evbuffer_free(s->queue);
	if (s->fd >= 0)
		evutil_closesocket(s->fd);
	free(s);
}

void pf_sock_free(struct pf_sock *s)
{
	if (!s || s->dead)
		return;
	s->dead = true;
	if (s->in_call) {
		event_del(s->in);
		event_del(s->out);
		evutil_closesocket(s->fd);
		s->fd = -1;
		return;
	}
	release(s);
}

void pf_sock_abort(struct pf_sock *s)
{
	struct linger l = { 1, 0 };

	if (!s || s->dead)
		return;
	setsockopt(s->fd, SOL_SOCKET, SO_LINGER, &l, sizeof(l));
	pf_sock_free(s);
}

static void end(struct pf_sock *s, enum pf_sock_end why)
{
	event_del(s->in);
	event_del(s->out);
	if (s->finishing) {
		pf_sock_free(s);
		return;
	}
	s->in_call = true;
	s->cbs->closed(s->ctx, s->up ? why : PF_SOCK_REFUSED);
	s->in_call = false;
	if (s->dead)
		release(s);
}

static void on_in(evutil_socket_t fd, short what, void *ctx)
{
	static char bytes[READ_BYTES];
	struct pf_sock *s = ctx;
	ssize_t n;

	(void)what;
	n = recv(fd, bytes, sizeof(bytes), MSG_DONTWAIT);
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n <= 0) {
		end(s, n == 0 ? PF_SOCK_EOF : PF_SOCK_RESET);
		return;
	}
	if (s->finishing)
		return;
	s->in_call = true;
	s->cbs->data(s->ctx, (struct pf_str){ bytes, (size_t)n });
	s->in_call = false;
	if (s->dead)
		release(s);
}

static int connect_error(int fd)
{
	int err = 0;
	socklen_t n = sizeof(err);

	if (getsockopt(fd, SOL_SOCKET, SO_ERROR, &err, &n) < 0)
		return errno;
	return err;
}

static void on_out(evutil_socket_t fd, short what, void *ctx)
{
	struct pf_sock *s = ctx;

	if (!s->up) {
		if ((what & EV_TIMEOUT) || connect_error(fd) != 0) {
			end(s, PF_SOCK_REFUSED);
			return;
		}
		s->up = true;
		if (!s->paused)
			event_add(s->in, NULL);
	}
	if (evbuffer_get_length(s->queue) > 0 &&
	    evbuffer_write(s->queue, fd) < 0 && errno != EAGAIN &&
	    errno != EINTR) {
		end(s, PF_SOCK_RESET);
		return;
	}
	if (evbuffer_get_length(s->queue) > 0)
		event_add(s->out, NULL);
	else if (s->finishing)
		pf_sock_free(s);
}

static void set_options(int fd, pf_ms silence)
{
	int one = 1;
	unsigned int ms = (unsigned int)silence;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	if (silence > 0)
		setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof(ms));
}

static struct pf_sock *sock_new(struct event_base *base, int fd, pf_ms silence,
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
	set_options(fd, silence);
	evutil_make_socket_nonblocking(fd);
	s->in = event_new(base, fd, EV_READ | EV_PERSIST, on_in, s);
	s->out = event_new(base, fd, EV_WRITE, on_out, s);
	s->queue = evbuffer_new();
	if (!s->in || !s->out || !s->queue) {
		release(s);
		return NULL;
	}
	return s;
}

struct pf_sock *pf_sock_take(struct event_base *base, int fd, pf_ms silence,
			     const struct pf_sock_cbs *cbs, void *ctx)
{
	struct pf_sock *s = sock_new(base, fd, silence, cbs, ctx);

	if (!s)
		return NULL;
	s->up = true;
	event_add(s->in, NULL);
	return s;
}

struct pf_sock *pf_sock_connect(struct event_base *base, const char *addr,
				pf_ms connect_ms, pf_ms silence,
				const struct pf_sock_cbs *cbs, void *ctx)
{
	struct timeval tv = pf_clock_timeval(connect_ms);
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
	s = sock_new(base, fd, silence, cbs, ctx);
	if (s)
		event_add(s->out, &tv);
	return s;
}

int pf_sock_write(struct pf_sock *s, struct pf_str b)
{
	ssize_t n = 0;

	if (s->dead || b.n == 0)
		return 0;
	if (s->up && evbuffer_get_length(s->queue) == 0) {
		n = send(s->fd, b.p, b.n, MSG_DONTWAIT | MSG_NOSIGNAL);
		/* A broken connection shows when it is read next. */
		if (n < 0)
			n = 0;
	}
	if ((size_t)n == b.n)
		return 0;
	if (evbuffer_add(s->queue, b.p + n, b.n - (size_t)n) < 0)
		return -1;
	if (s->up)
		event_add(s->out, NULL);
	return 0;
}

size_t pf_sock_queued(const struct pf_sock *s)
{
	return evbuffer_get_length(s->queue);
}

void pf_sock_finish(struct pf_sock *s)
{
	if (s->dead)
		return;
	if (evbuffer_get_length(s->queue) == 0) {
		/* The peer reads what was sent before it sees the end. */
		shutdown(s->fd, SHUT_WR);
		pf_sock_free(s);
		return;
	}
	s->finishing = true;
}

void pf_sock_pause(struct pf_sock *s, bool pause)
{
	if (s->dead || s->paused == pause)
		return;
	s->paused = pause;
	if (!s->up)
		return;
	if (pause)
		event_del(s->in);
	else
		event_add(s->in, NULL);
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
