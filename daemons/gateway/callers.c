/*
 * Connections of callers. Requests are read completely, within the configured
 * limits, and answered one at a time; pipelined ones wait.
 */
#include "gateway.h"

#include "pimentoford/counters.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#define LISTEN_BACKLOG 1024
/* A caller that acknowledges no bytes this long is disconnected. */
#define UNACKED_MAX_MS 8000
/* Reading pauses when more arrives while a request is being answered. */
#define PIPELINED_BYTES_MAX ((size_t)256 << 10)
/* A larger buffer of input is freed when it is empty. */
#define INPUT_KEPT_BYTES ((size_t)16 << 10)
/* Limits without a configuration, or where it sets none. */
#define DEFAULT_HEAD_BYTES_MAX 16384
#define DEFAULT_BODY_BYTES_MAX (4 << 20)
#define DEFAULT_HEADER_TIMEOUT_MS 5000
#define DEFAULT_IDLE_TIMEOUT_MS 15000
/* Added to the idle timeout, for requests that are already on the wire. */
#define IDLE_GRACE_MS 2000
/* After an early refusal, input is discarded this long before closing; a reset
 * might destroy the answer before the caller reads it. */
#define LINGER_MS 1000
#define SWEEP_INTERVAL_MS 250
/* Time for the next bytes of a caller once the process stops. */
#define STOP_READ_MS 500

enum caller_state {
	CALLER_READING_HEAD, /* also while idle */
	CALLER_READING_BODY, /* those up to here read a request */
	CALLER_ANSWERING,
	CALLER_FLUSHING, /* ended when the answer is sent */
	CALLER_LINGERING, /* discards input until the sweep closes it */
};

struct caller {
	LIST_ENTRY(caller) next;
	LIST_ENTRY(caller) next_resumed; /* valid while `resumed` */
	bool resumed; /* its input is parsed from the event loop */
	struct gateway *gateway;
	struct pf_sock *sock;
	struct exchange *exchange; /* NULL unless answering */
	enum caller_state state;
	struct pf_text input; /* not parsed yet */
	struct pf_text head_bytes;
	struct pf_h1_head head; /* borrows head_bytes */
	struct pf_h1_body body_reader;
	struct pf_text body;
	bool close_after_answer;
	bool close_announced; /* in the head of the current answer */
	bool accepts_chunked;
	bool write_failed; /* part of an answer is missing */
	bool unread; /* no further request until earlier answers are read */
	struct pf_buffer_holder holder; /* what the connection holds */
	uint64_t account; /* of its last request; 0: none */
	pf_ms state_since; /* or since the first byte of a head */
	/* Limits at that time; later, longer ones apply as well. */
	pf_ms header_timeout;
	pf_ms idle_timeout;
	bool parsing; /* inside parse_input() */
};

static int64_t head_bytes_max(const struct gateway *g)
{
	int64_t v = g->routes ? g->routes->limits.header_bytes_max : 0;

	return v > 0 ? v : DEFAULT_HEAD_BYTES_MAX;
}

static int64_t body_bytes_max(const struct gateway *g)
{
	int64_t v = g->routes ? g->routes->limits.body_bytes_max : 0;

	return v > 0 ? v : DEFAULT_BODY_BYTES_MAX;
}

static void caller_free(struct caller *c)
{
	LIST_REMOVE(c, next);
	if (c->resumed)
		LIST_REMOVE(c, next_resumed);
	c->gateway->n_callers--;
	buffers_remove(c->gateway, &c->holder);
	pf_sock_free(c->sock);
	pf_text_free(&c->input);
	pf_text_free(&c->head_bytes);
	pf_text_free(&c->body);
	free(c);
}

/* Logs that bytes of a request on this connection get no answer. */
static void log_dropped(const struct caller *c, const char *why)
{
	struct gateway *g = c->gateway;

	g->counters->v[PF_GC_DROPPED]++;
	PF_LOG(&g->log, PF_LOG_WARN, "caller_dropped", PF_KV_STR("why", why),
	       PF_KV_INT("unanswered_bytes", (int64_t)(c->input.n + c->body.n)),
	       PF_KV_INT("ms", pf_clock_now() - c->state_since));
}

static pf_ms header_timeout(const struct gateway *g)
{
	pf_ms v = g->routes ? g->routes->limits.header_timeout : 0;

	return v > 0 ? v : DEFAULT_HEADER_TIMEOUT_MS;
}

static pf_ms idle_timeout(const struct gateway *g)
{
	pf_ms v = g->routes ? g->routes->limits.idle_timeout : 0;

	return v > 0 ? v : DEFAULT_IDLE_TIMEOUT_MS;
}

static void set_state(struct caller *c, enum caller_state state)
{
	c->state = state;
	c->state_since = pf_clock_now();
	c->header_timeout = header_timeout(c->gateway);
	c->idle_timeout = idle_timeout(c->gateway);
}

bool caller_announces_close(struct caller *c)
{
	/* A request that was read behind this one is answered first. */
	c->close_announced = c->close_after_answer ||
			     (c->gateway->stopping_since && c->input.n == 0);
	return c->close_announced;
}

bool caller_accepts_chunked(const struct caller *c)
{
	return c->accepts_chunked;
}

/* @reads: the caller has taken bytes since the last call. */
static void set_buffers(struct caller *c, bool reads)
{
	struct pf_buffer_amounts a = {
		.request = (int64_t)(c->input.cap + c->head_bytes.cap +
				     c->body.cap),
		.response = (int64_t)pf_sock_queued(c->sock),
	};

	if (a.response == 0)
		reads = true;
	if (c->exchange) {
		c->account = c->exchange->account;
		exchange_add_buffers(c->exchange, &a);
	}
	buffers_set(c->gateway, &c->holder, c->account, &a, reads);
}

void caller_note_buffers(struct caller *c)
{
	set_buffers(c, false);
}

void caller_pace(struct caller *c)
{
	buffers_pace(c->gateway, &c->holder, c->exchange);
}

void caller_end_slow(struct caller *c)
{
	if (c->exchange && pf_sock_queued(c->sock) == 0) {
		exchange_give_up(c->exchange, "buffers_full");
		return;
	}
	/* A reset marks what the caller has as incomplete. */
	if (c->exchange)
		exchange_hangup(c->exchange);
	caller_abort(c);
}

void caller_write(struct caller *c, const struct pf_text *t)
{
	if (c->write_failed ||
	    (!t->failed && pf_sock_write(c->sock, pf_text_str(t)) == 0)) {
		set_buffers(c, false);
		return;
	}
	c->write_failed = true;
	PF_LOG(&c->gateway->log, PF_LOG_ERROR, "no_memory",
	       PF_KV_STR("for", "an answer"));
}

void caller_set_exchange(struct caller *c, struct exchange *x)
{
	c->exchange = x;
}

void caller_abort(struct caller *c)
{
	c->exchange = NULL;
	pf_sock_abort(c->sock);
	c->sock = NULL;
	caller_free(c);
}

/* Closes the connection once all of the answer is sent. */
static void close_when_sent(struct caller *c)
{
	if (pf_sock_queued(c->sock) > 0) {
		set_state(c, CALLER_FLUSHING);
		pf_sock_pause(c->sock, true);
		return;
	}
	pf_sock_shutdown(c->sock);
	if (c->state == CALLER_FLUSHING || pf_sock_has_unread(c->sock)) {
		/* A close with unread bytes would reset the connection. */
		set_state(c, CALLER_LINGERING);
		pf_sock_pause(c->sock, false);
		return;
	}
	caller_free(c);
}

/* Parses the input from the event loop. */
static void resume_later(struct caller *c)
{
	if (c->resumed)
		return;
	c->resumed = true;
	LIST_INSERT_HEAD(&c->gateway->resumed_callers, c, next_resumed);
	event_active(c->gateway->resume_ev, 0, 0);
}

/* Whether the next request waits until the caller has read earlier answers. */
static bool waits_for_reader(struct caller *c)
{
	size_t queued = pf_sock_queued(c->sock);

	if (queued > (c->unread ? PF_BUFFER_WINDOW / 2 : PF_BUFFER_WINDOW)) {
		c->unread = true;
		pf_sock_pause(c->sock, true);
	} else if (c->unread) {
		c->unread = false;
		pf_sock_pause(c->sock, false);
	}
	return c->unread;
}

static void on_sent(void *ctx)
{
	struct caller *c = ctx;

	set_buffers(c, true);
	caller_pace(c);
	if (c->unread && !waits_for_reader(c) && c->input.n > 0)
		resume_later(c);
	if (pf_sock_queued(c->sock) > 0)
		return;
	if (c->state == CALLER_FLUSHING)
		close_when_sent(c);
	else if (c->state == CALLER_READING_HEAD && c->input.n == 0)
		set_state(c, CALLER_READING_HEAD); /* idle from now on */
}

/* Answers an incomplete request and closes the connection. */
static void refuse_and_linger(struct caller *c, int status, const char *code)
{
	c->close_after_answer = true;
	set_state(c, CALLER_LINGERING);
	pf_text_reset(&c->input);
	exchange_refuse_early(c, status, code);
}

static void start_exchange(struct caller *c)
{
	set_state(c, CALLER_ANSWERING);
	exchange_start(c->gateway, c, &c->head_bytes, &c->head, &c->body);
}

static void send_continue(struct caller *c)
{
	struct pf_text t = { 0 };

	pf_text_add(&t, PF_STR("HTTP/1.1 100 Continue\r\n\r\n"));
	caller_write(c, &t);
	pf_text_free(&t);
}

/* Returns whether a valid head is complete. */
static bool parse_head(struct caller *c)
{
	struct pf_str in = pf_text_str(&c->input);
	size_t n = pf_h1_head_end(in);

	if ((int64_t)(n ? n : in.n) > head_bytes_max(c->gateway)) {
		refuse_and_linger(c, 431, "header_too_large");
		return false;
	}
	if (n == 0)
		return false;
	pf_text_reset(&c->head_bytes);
	pf_text_add(&c->head_bytes, (struct pf_str){ in.p, n });
	pf_text_drop(&c->input, n);
	if (c->head_bytes.failed ||
	    pf_h1_parse_request(pf_text_str(&c->head_bytes), &c->head) < 0) {
		refuse_and_linger(c, 400, "malformed");
		return false;
	}
	if (c->head.content_length > body_bytes_max(c->gateway)) {
		refuse_and_linger(c, 413, "body_too_large");
		return false;
	}
	c->close_after_answer = c->head.close;
	c->close_announced = false;
	c->accepts_chunked = c->head.minor_version > 0;
	pf_text_reset(&c->body);
	pf_h1_body_start(&c->body_reader,
			 c->head.chunked ? PF_H1_CHUNKED : PF_H1_CONTENT_LENGTH,
			 c->head.content_length > 0 ? c->head.content_length
						    : 0);
	if (pf_str_eq(pf_h1_field_value(&c->head, PF_STR("Expect")),
		      PF_STR("100-continue")))
		send_continue(c);
	set_state(c, CALLER_READING_BODY);
	return true;
}

/* Returns whether the body is complete. */
static bool read_body(struct caller *c)
{
	int64_t n = pf_h1_body_feed(&c->body_reader, pf_text_str(&c->input),
				    &c->body);

	if (n < 0) {
		refuse_and_linger(c, 400, "malformed");
		return false;
	}
	pf_text_drop(&c->input, (size_t)n);
	if ((int64_t)c->body.n > body_bytes_max(c->gateway)) {
		refuse_and_linger(c, 413, "body_too_large");
		return false;
	}
	return c->body_reader.ended;
}

/* Starts the requests in the input, one after the other. */
static void parse_input(struct caller *c)
{
	if (c->parsing)
		return;
	c->parsing = true;
	for (;;) {
		if (c->state == CALLER_READING_HEAD &&
		    (c->unread || (c->input.n > 0 && !parse_head(c))))
			break;
		if (c->state != CALLER_READING_BODY || !read_body(c))
			break;
		start_exchange(c);
		/* Goes on if it was answered synchronously. */
		if (c->state != CALLER_READING_HEAD)
			break;
	}
	c->parsing = false;
	if (c->input.n == 0 && c->input.cap > INPUT_KEPT_BYTES)
		pf_text_free(&c->input);
	set_buffers(c, false);
}

/* Memory ran out: no further request is read; the one in progress goes on. */
static void drop_input(struct caller *c)
{
	log_dropped(c, "no memory");
	pf_text_free(&c->input);
	c->close_after_answer = true;
	if (c->state == CALLER_ANSWERING)
		pf_sock_pause(c->sock, true);
	else
		refuse_and_linger(c, 503, "no_memory");
}

static void on_data(void *ctx, struct pf_str in)
{
	struct caller *c = ctx;

	if (c->state == CALLER_LINGERING)
		return;
	if (c->state == CALLER_READING_HEAD && c->input.n == 0)
		set_state(c, CALLER_READING_HEAD);
	if (c->state <= CALLER_READING_BODY &&
	    !buffers_admit(c->gateway, &c->holder, in.n)) {
		pf_text_free(&c->body);
		refuse_and_linger(c, 503, "buffers_full");
		return;
	}
	pf_text_add(&c->input, in);
	if (c->input.failed) {
		drop_input(c);
		return;
	}
	if (c->state == CALLER_ANSWERING) {
		if (c->input.n > PIPELINED_BYTES_MAX)
			pf_sock_pause(c->sock, true);
		set_buffers(c, false);
		return;
	}
	parse_input(c);
}

static void on_closed(void *ctx, enum pf_sock_end why)
{
	struct caller *c = ctx;

	(void)why;
	if (c->exchange)
		exchange_hangup(c->exchange);
	caller_free(c);
}

static const struct pf_sock_cbs caller_cbs = { on_data, on_closed, NULL,
					       on_sent };

void caller_answer_done(struct caller *c)
{
	c->exchange = NULL;
	if (c->write_failed && !c->parsing) {
		caller_abort(c);
		return;
	}
	if (c->state == CALLER_LINGERING)
		return; /* the sweep closes it */
	if (c->write_failed || c->close_announced || c->close_after_answer) {
		if (c->input.n > 0)
			log_dropped(c, "closed behind an answer");
		/* parse_input() still uses @c. */
		if (c->parsing)
			set_state(c, CALLER_LINGERING);
		else
			close_when_sent(c);
		return;
	}
	set_state(c, CALLER_READING_HEAD);
	set_buffers(c, false);
	if (waits_for_reader(c))
		return;
	pf_sock_pause(c->sock, false);
	/* Not from here: the answer may be an act of the core. */
	if (c->input.n > 0 && !c->parsing)
		resume_later(c);
}

static void on_resume(evutil_socket_t fd, short what, void *ctx)
{
	struct gateway *g = ctx;
	struct caller *c;

	(void)fd;
	(void)what;
	while ((c = LIST_FIRST(&g->resumed_callers))) {
		LIST_REMOVE(c, next_resumed);
		c->resumed = false;
		parse_input(c);
	}
}

static void on_accept(evutil_socket_t fd, short what, void *ctx)
{
	struct gateway *g = ctx;
	struct caller *c;
	int s;

	(void)what;
	while ((s = accept4(fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC)) >=
	       0) {
		c = calloc(1, sizeof(*c));
		if (!c) {
			evutil_closesocket(s);
			continue;
		}
		c->gateway = g;
		c->sock = pf_sock_from_fd(g->base, s, UNACKED_MAX_MS,
					  &caller_cbs, c);
		if (!c->sock) {
			free(c);
			continue;
		}
		c->holder.ctx = c;
		pf_sock_limit_unsent(c->sock, PF_BUFFER_WINDOW);
		set_state(c, CALLER_READING_HEAD);
		LIST_INSERT_HEAD(&g->callers, c, next);
		g->n_callers++;
	}
	if (errno != EAGAIN && errno != EINTR)
		PF_LOG(&g->log, PF_LOG_WARN, "accept_failed",
		       PF_KV_STR("why", strerror(errno)));
}

static pf_ms longer(pf_ms a, pf_ms b)
{
	return a > b ? a : b;
}

static bool timed_out(const struct gateway *g, const struct caller *c,
		      pf_ms now)
{
	pf_ms elapsed = now - c->state_since;

	/* A peer that takes nothing for UNACKED_MAX_MS is disconnected. */
	if (pf_sock_queued(c->sock) > 0)
		return false;
	if (c->state == CALLER_LINGERING)
		return elapsed > LINGER_MS;
	if (g->shutting_down && c->state <= CALLER_READING_BODY)
		return elapsed > STOP_READ_MS && !pf_sock_has_unread(c->sock);
	if (c->state == CALLER_READING_HEAD && c->input.n == 0)
		return elapsed > longer(c->idle_timeout, idle_timeout(g)) +
					 IDLE_GRACE_MS &&
		       !pf_sock_has_unread(c->sock);
	if (c->state == CALLER_READING_HEAD || c->state == CALLER_READING_BODY)
		return elapsed >
		       2 * longer(c->header_timeout, header_timeout(g));
	return false;
}

static void end_timed_out(struct caller *c)
{
	bool incomplete = c->state == CALLER_READING_BODY ||
			  (c->state == CALLER_READING_HEAD && c->input.n > 0);

	if (incomplete && c->gateway->shutting_down)
		refuse_and_linger(c, 503, "leaving");
	else if (c->state == CALLER_READING_BODY)
		refuse_and_linger(c, 408, "body_timeout");
	else if (c->state == CALLER_READING_HEAD && c->input.n > 0)
		refuse_and_linger(c, 408, "header_timeout");
	else
		caller_free(c);
}

static void on_sweep(evutil_socket_t fd, short what, void *ctx)
{
	struct gateway *g = ctx;
	pf_ms now = pf_clock_now();
	struct caller *c = LIST_FIRST(&g->callers);

	(void)fd;
	(void)what;
	while (c) {
		struct caller *next = LIST_NEXT(c, next);

		if (timed_out(g, c, now))
			end_timed_out(c);
		c = next;
	}
	buffers_sweep(g);
	upstream_close_expired(g);
	endpoints_sweep(g);
	config_note_step(g);
}

int callers_start(struct gateway *g)
{
	struct timeval tv = pf_clock_timeval(SWEEP_INTERVAL_MS);

	g->listener = pf_sock_listen(g->settings.listen, LISTEN_BACKLOG);
	if (g->listener < 0)
		return -1;
	g->accept_ev = event_new(g->base, g->listener, EV_READ | EV_PERSIST,
				 on_accept, g);
	g->sweep_timer = event_new(g->base, -1, EV_PERSIST, on_sweep, g);
	g->resume_ev = event_new(g->base, -1, 0, on_resume, g);
	if (!g->accept_ev || !g->sweep_timer || !g->resume_ev)
		return -1;
	event_add(g->accept_ev, NULL);
	event_add(g->sweep_timer, &tv);
	return 0;
}

void callers_stop_accepting(struct gateway *g)
{
	/* Connections in the backlog would be reset. */
	on_accept(g->listener, EV_READ, g);
	event_del(g->accept_ev);
	evutil_closesocket(g->listener);
	g->listener = -1;
}

static struct caller *find_open(const struct gateway *g)
{
	struct caller *c;

	LIST_FOREACH(c, &g->callers, next)
	{
		if (c->exchange)
			return c;
	}
	return NULL;
}

void callers_give_up(struct gateway *g)
{
	struct caller *c;

	/* The end of one request may end others. */
	while ((c = find_open(g)))
		exchange_give_up(c->exchange, "leaving");
}

void callers_stop(struct gateway *g)
{
	struct caller *c = LIST_FIRST(&g->callers);
	struct caller *next;

	for (; c; c = next) {
		next = LIST_NEXT(c, next);
		/* Without chunks, an orderly close ends an answer. */
		if (pf_sock_queued(c->sock) > 0 ||
		    (c->exchange && c->exchange->answer_head_sent))
			caller_abort(c);
		else
			caller_free(c);
	}
	if (g->accept_ev)
		event_free(g->accept_ev);
	if (g->sweep_timer)
		event_free(g->sweep_timer);
	if (g->resume_ev)
		event_free(g->resume_ev);
	if (g->listener >= 0)
		evutil_closesocket(g->listener);
}
