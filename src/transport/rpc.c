/* RPC sessions: connections, backoff, heartbeats and batching. */
#include "src/transport/rpc_internal.h"

#include "pimentoford/clock.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>

/* Batch size that is sent without waiting for the flush event. */
#define BATCH_FLUSH_BYTES ((size_t)256 << 10)
/* Limits the exponent of the backoff, so that the shift can't overflow. */
#define BACKOFF_SHIFT_MAX 16

void pf_rpc_opts_default(struct pf_rpc_opts *o)
{
	memset(o, 0, sizeof(*o));
	o->sessions_max = 4096;
	o->record_max = (size_t)40 << 20;
	o->unsent_max = (size_t)64 << 20;
	o->heartbeat_interval = 1000;
	o->link_timeout = 5000;
	o->handshake_timeout = 3000;
	o->reconnect_min = 100;
	o->reconnect_max = 5000;
}

static void schedule_flush(struct pf_rpc *r)
{
	event_active(r->flush_event, 0, 0);
}

void pf_rpc_close_later(struct pf_rpc_session *s)
{
	s->closing = true;
	schedule_flush(s->rpc);
}

static void close_socket(struct pf_rpc_session *s)
{
	if (s->bev)
		bufferevent_free(s->bev);
	s->bev = NULL;
	pf_record_reader_free(&s->in);
	memset(&s->in, 0, sizeof(s->in));
	evbuffer_drain(s->batch, evbuffer_get_length(s->batch));
	s->batch_messages = 0;
	s->closing = false;
	s->unconfirmed = false;
	s->confirm_in_flight = false;
}

static void session_free(struct pf_rpc_session *s)
{
	LIST_REMOVE(s, next);
	if (!s->client)
		s->rpc->accepted_sessions--;
	if (s->batch) {
		close_socket(s);
		evbuffer_free(s->batch);
	}
	if (s->retry_timer)
		event_free(s->retry_timer);
	free(s);
}

static void mark_dead(struct pf_rpc_session *s)
{
	close_socket(s);
	s->state = PF_RPC_DEAD;
	schedule_flush(s->rpc);
}

static void schedule_retry(struct pf_rpc_session *s)
{
	const struct pf_rpc_opts *o = &s->rpc->opts;
	uint32_t shift = s->failures < BACKOFF_SHIFT_MAX ? s->failures
							 : BACKOFF_SHIFT_MAX;
	pf_ms wait = o->reconnect_min << shift;
	struct timeval tv;

	if (wait > o->reconnect_max)
		wait = o->reconnect_max;
	wait = wait / 2 + pf_rng_below(&s->rpc->rng, (uint32_t)wait / 2 + 1);
	tv = pf_clock_timeval(wait);
	s->failures++;
	s->state = PF_RPC_BACKOFF;
	event_add(s->retry_timer, &tv);
}

void pf_rpc_session_up(struct pf_rpc_session *s)
{
	struct pf_rpc *r = s->rpc;

	s->state = PF_RPC_UP;
	s->failures = 0;
	r->stats.sessions_opened++;
	r->opts.up(r->opts.ctx, s);
}

void pf_rpc_session_lost(struct pf_rpc_session *s)
{
	struct pf_rpc *r = s->rpc;
	bool was_up = s->state == PF_RPC_UP;

	if (s->state == PF_RPC_DEAD)
		return;
	close_socket(s);
	if (s->client)
		schedule_retry(s);
	else
		mark_dead(s);
	if (!was_up)
		return;
	r->stats.sessions_lost++;
	r->opts.down(r->opts.ctx, s);
}

static void on_read(struct bufferevent *bev, void *ctx)
{
	struct pf_rpc_session *s = ctx;
	struct pf_rpc_stats *st = &s->rpc->stats;

	s->last_received_at = pf_clock_now();
	while (s->bev == bev) {
		size_t max = s->state == PF_RPC_UP ? s->rpc->opts.record_max
						   : PF_RPC_UNAUTH_RECORD_MAX;

		switch (pf_record_read(&s->in, bufferevent_get_input(bev),
				       max)) {
		case PF_RECORD_MORE:
			return;
		case PF_RECORD_READY:
			if (pf_rpc_handle_record(s) == 0)
				continue;
			st->bad_records++;
			break;
		case PF_RECORD_OVERSIZE:
		case PF_RECORD_NO_MEMORY:
			st->oversize_records++;
			break;
		}
		if (s->bev == bev)
			pf_rpc_session_lost(s);
		return;
	}
}

static void on_event(struct bufferevent *bev, short what, void *ctx)
{
	struct pf_rpc_session *s = ctx;
	int one = 1;

	if (!(what & BEV_EVENT_CONNECTED)) {
		pf_rpc_session_lost(s);
		return;
	}
	setsockopt(bufferevent_getfd(bev), IPPROTO_TCP, TCP_NODELAY, &one,
		   sizeof(one));
	s->state = PF_RPC_HELLO;
	if (pf_rpc_send_hello(s) < 0)
		pf_rpc_session_lost(s);
}

static struct pf_rpc_session *session_new(struct pf_rpc *r, bool client)
{
	struct pf_rpc_session *s = calloc(1, sizeof(*s));

	if (!s)
		return NULL;
	s->rpc = r;
	s->client = client;
	s->batch = evbuffer_new();
	LIST_INSERT_HEAD(&r->sessions, s, next);
	if (!client)
		r->accepted_sessions++;
	if (!s->batch) {
		session_free(s);
		return NULL;
	}
	return s;
}

static void open_socket(struct pf_rpc_session *s, evutil_socket_t fd)
{
	s->opened_at = s->last_received_at = s->last_sent_at = pf_clock_now();
	s->bev = bufferevent_socket_new(s->rpc->opts.base, fd,
					BEV_OPT_CLOSE_ON_FREE);
	if (!s->bev) {
		if (fd >= 0)
			evutil_closesocket(fd);
		return;
	}
	bufferevent_setcb(s->bev, on_read, NULL, on_event, s);
	bufferevent_enable(s->bev, EV_READ | EV_WRITE);
}

static void on_retry(evutil_socket_t fd, short what, void *ctx)
{
	struct pf_rpc_session *s = ctx;

	(void)fd;
	(void)what;
	if (s->state != PF_RPC_BACKOFF)
		return;
	s->state = PF_RPC_CONNECTING;
	open_socket(s, -1);
	if (!s->bev ||
	    bufferevent_socket_connect(s->bev, (struct sockaddr *)&s->addr,
				       s->addr_len) < 0)
		pf_rpc_session_lost(s);
}

void pf_rpc_session_accept(struct pf_rpc *r, evutil_socket_t fd)
{
	struct pf_rpc_session *s;
	int one = 1;

	if (r->accepted_sessions >= r->opts.sessions_max) {
		r->stats.turned_away++;
		evutil_closesocket(fd);
		return;
	}
	s = session_new(r, false);
	if (!s) {
		evutil_closesocket(fd);
		return;
	}
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	s->state = PF_RPC_HELLO;
	open_socket(s, fd);
	if (!s->bev)
		mark_dead(s);
}

void pf_rpc_send_batch(struct pf_rpc_session *s)
{
	struct pf_rpc *r = s->rpc;
	uint32_t xid = htonl(++r->xid);
	uint32_t count = htonl(s->batch_messages);
	unsigned char *p;
	size_t n;

	if (s->batch_messages == 0) {
		static const char blank[PF_RPC_HEADER_BYTES];

		evbuffer_add(s->batch, blank, sizeof(blank));
	}
	n = evbuffer_get_length(s->batch);
	p = evbuffer_pullup(s->batch, PF_RPC_HEADER_BYTES);
	if (!p) {
		s->closing = true;
		return;
	}
	pf_record_mark(p, n - PF_RPC_MARK_BYTES);
	p += PF_RPC_MARK_BYTES;
	memcpy(p, r->call_header, PF_RPC_CALL_BYTES);
	memcpy(p, &xid, sizeof(xid));
	memcpy(p + PF_RPC_CALL_BYTES, &count, sizeof(count));
	bufferevent_write_buffer(s->bev, s->batch);
	s->batch_messages = 0;
	s->last_sent_at = pf_clock_now();
	r->stats.records_out++;
	r->stats.bytes_out += n;
}

static void on_flush(evutil_socket_t fd, short what, void *ctx)
{
	struct pf_rpc_session *s;
	struct pf_rpc_session *next;
	struct pf_rpc *r = ctx;

	(void)fd;
	(void)what;
	for (s = LIST_FIRST(&r->sessions); s; s = next) {
		next = LIST_NEXT(s, next);
		if (s->state == PF_RPC_DEAD) {
			session_free(s);
			continue;
		}
		if (s->state == PF_RPC_UP && s->batch_messages > 0 &&
		    !s->closing)
			pf_rpc_send_batch(s);
		if (s->closing)
			pf_rpc_session_lost(s);
	}
}

static void check_session(struct pf_rpc_session *s, pf_ms now)
{
	const struct pf_rpc_opts *o = &s->rpc->opts;

	if (s->state == PF_RPC_BACKOFF || s->state == PF_RPC_DEAD)
		return;
	if (s->state != PF_RPC_UP) {
		if (now - s->opened_at >= o->handshake_timeout)
			pf_rpc_session_lost(s);
		return;
	}
	if (now - s->last_received_at >= o->link_timeout) {
		s->rpc->stats.link_timeouts++;
		pf_rpc_session_lost(s);
		return;
	}
	if (now - s->last_sent_at >= o->heartbeat_interval &&
	    s->batch_messages == 0)
		pf_rpc_send_batch(s);
}

static void on_tick(evutil_socket_t fd, short what, void *ctx)
{
	struct pf_rpc_session *s;
	struct pf_rpc_session *next;
	struct pf_rpc *r = ctx;
	pf_ms now = pf_clock_now();

	(void)fd;
	(void)what;
	/* Only the flush event frees sessions, so @next stays valid. */
	for (s = LIST_FIRST(&r->sessions); s; s = next) {
		next = LIST_NEXT(s, next);
		check_session(s, now);
	}
}

int pf_rpc_send(struct pf_rpc_session *s, const struct pf_wire_msg *m)
{
	static const char zeros[PF_RPC_HEADER_BYTES];
	struct pf_rpc *r = s->rpc;
	uint32_t head[2];

	if (s->state != PF_RPC_UP || s->closing)
		return -1;
	if (pf_wire_encode(m, pf_clock_now(), &r->out) < 0)
		return -1;
	head[0] = htonl(m->type);
	head[1] = htonl((uint32_t)r->out.n);
	if (s->batch_messages == 0) {
		evbuffer_add(s->batch, zeros, PF_RPC_HEADER_BYTES);
		schedule_flush(r);
	}
	evbuffer_add(s->batch, head, sizeof(head));
	evbuffer_add(s->batch, r->out.p, r->out.n);
	evbuffer_add(s->batch, zeros, RNDUP(r->out.n) - r->out.n);
	s->batch_messages++;
	s->unconfirmed = true;
	r->stats.messages_out++;
	if (evbuffer_get_length(s->batch) >= BATCH_FLUSH_BYTES)
		pf_rpc_send_batch(s);
	if (pf_rpc_unsent(s) > r->opts.unsent_max) {
		r->stats.slow_peers++;
		pf_rpc_close_later(s);
	}
	return 0;
}

size_t pf_rpc_unsent(const struct pf_rpc_session *s)
{
	if (!s->bev)
		return 0;
	return evbuffer_get_length(s->batch) +
	       evbuffer_get_length(bufferevent_get_output(s->bev));
}

struct pf_rpc *pf_rpc_new(const struct pf_rpc_opts *o)
{
	struct timeval tv = pf_clock_timeval(o->heartbeat_interval / 4 + 1);
	struct pf_rpc *r;

	if (!o->base || o->key.n == 0 || o->heartbeat_interval <= 0 ||
	    o->link_timeout <= o->heartbeat_interval || o->reconnect_min <= 0)
		return NULL;
	r = calloc(1, sizeof(*r));
	if (!r)
		return NULL;
	r->opts = *o;
	LIST_INIT(&r->sessions);
	pf_rng_seed(&r->rng, o->seed);
	r->key = pf_str_dup(o->key);
	r->decoder = pf_wire_decoder_new();
	r->flush_event = event_new(o->base, -1, 0, on_flush, r);
	r->tick_timer = event_new(o->base, -1, EV_PERSIST, on_tick, r);
	if (!r->key || !r->decoder || !r->flush_event || !r->tick_timer ||
	    event_add(r->tick_timer, &tv) < 0 || pf_rpc_encode_header(r) < 0) {
		pf_rpc_free(r);
		return NULL;
	}
	return r;
}

void pf_rpc_free(struct pf_rpc *r)
{
	struct pf_rpc_session *s;
	struct pf_rpc_session *next;

	if (!r)
		return;
	for (s = LIST_FIRST(&r->sessions); s; s = next) {
		next = LIST_NEXT(s, next);
		session_free(s);
	}
	if (r->listener)
		evconnlistener_free(r->listener);
	if (r->flush_event)
		event_free(r->flush_event);
	if (r->tick_timer)
		event_free(r->tick_timer);
	pf_wire_decoder_free(r->decoder);
	pf_wire_buf_free(&r->out);
	free(r->key);
	free(r);
}

void pf_rpc_set_incarnation(struct pf_rpc *r, uint64_t incarnation)
{
	r->opts.self.incarnation = incarnation;
}

struct pf_rpc_session *pf_rpc_connect(struct pf_rpc *r, const char *addr,
				      void *user)
{
	struct pf_rpc_session *s = session_new(r, true);
	struct timeval now = { 0, 0 };

	if (!s)
		return NULL;
	s->user = user;
	s->addr_len = sizeof(s->addr);
	s->retry_timer = evtimer_new(r->opts.base, on_retry, s);
	if (!s->retry_timer ||
	    evutil_parse_sockaddr_port(addr, (struct sockaddr *)&s->addr,
				       &s->addr_len) < 0) {
		session_free(s);
		return NULL;
	}
	s->state = PF_RPC_BACKOFF;
	event_add(s->retry_timer, &now);
	return s;
}

void pf_rpc_drop(struct pf_rpc_session *s)
{
	if (s->state == PF_RPC_DEAD)
		return;
	if (s->state == PF_RPC_UP)
		s->rpc->stats.sessions_lost++;
	if (s->retry_timer)
		event_del(s->retry_timer);
	mark_dead(s);
}

bool pf_rpc_is_up(const struct pf_rpc_session *s)
{
	return s->state == PF_RPC_UP && !s->closing;
}

const struct pf_rpc_peer *pf_rpc_peer(const struct pf_rpc_session *s)
{
	return &s->peer;
}

void *pf_rpc_user(const struct pf_rpc_session *s)
{
	return s->user;
}

void pf_rpc_set_user(struct pf_rpc_session *s, void *user)
{
	s->user = user;
}

const struct pf_rpc_stats *pf_rpc_stats(const struct pf_rpc *r)
{
	return &r->stats;
}
