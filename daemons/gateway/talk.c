/*
 * Digests among gateways, one datagram each. Gateways find each other by
 * their rows in the store; a digest that is lost is replaced by the next.
 */
#include "gateway.h"

#include "src/protocol/pimento_xdr.h"

#include <errno.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#define TABLE "pimentoford"
#define PART "gateways"
#define DIGEST_EVERY_MS 120
/* Rows are read again so often, for gateways that came or moved. */
#define MEMBERS_EVERY_MS 4000
#define MEMBERS_RETRY_MS 500
#define MEMBERS_MAX 64
#define DATAGRAM_MAX 8192

struct member {
	struct sockaddr_in addr;
};

struct talk {
	struct gateway *g;
	int fd;
	struct event *in;
	struct event *timer;
	struct event *members_timer;
	struct member members[MEMBERS_MAX];
	uint32_t n_members;
	bool written; /* this gateway's row */
};

static void send_all(struct talk *t, const char *p, size_t n)
{
	uint32_t i;

	for (i = 0; i < t->n_members; i++)
		/* Datagrams may be lost anyway. */
		(void)sendto(t->fd, p, n, MSG_DONTWAIT,
			     (struct sockaddr *)&t->members[i].addr,
			     sizeof(t->members[i].addr));
}

static void send_talk(struct talk *t, pimento_talk *msg)
{
	char buf[DATAGRAM_MAX];
	XDR x;

	xdrmem_create(&x, buf, sizeof(buf), XDR_ENCODE);
	if (xdr_pimento_talk(&x, msg))
		send_all(t, buf, xdr_getpos(&x));
	xdr_destroy(&x);
}

static void on_digest_timer(evutil_socket_t fd, short what, void *ctx)
{
	pimento_gate_load loads[PIMENTO_GATE_LOADS];
	pimento_gate_sight sights[PIMENTO_GATE_SIGHTS];
	pimento_talk msg = { .type = PIMENTO_TALK_DIGEST };
	struct talk *t = ctx;
	struct pf_gate_digest d;
	uint32_t i;

	(void)fd;
	(void)what;
	pf_gate_digest(t->g->core, &d);
	for (i = 0; i < d.n_loads; i++)
		loads[i] = (pimento_gate_load){ d.loads[i].endpoint,
						d.loads[i].running,
						d.loads[i].kv_tokens,
						d.loads[i].prefill_ms };
	for (i = 0; i < d.n_sights; i++)
		sights[i] = (pimento_gate_sight){ d.sights[i].chain,
						  d.sights[i].endpoint };
	msg.pimento_talk_u.digest.peer = d.peer;
	msg.pimento_talk_u.digest.loads.loads_len = d.n_loads;
	msg.pimento_talk_u.digest.loads.loads_val = loads;
	msg.pimento_talk_u.digest.sights.sights_len = d.n_sights;
	msg.pimento_talk_u.digest.sights.sights_val = sights;
	msg.pimento_talk_u.digest.crashed.crashed_len = d.n_crashed;
	msg.pimento_talk_u.digest.crashed.crashed_val = (uint64_t *)d.crashed;
	send_talk(t, &msg);
}

static void hear_digest(struct talk *t, const pimento_gate_digest *in)
{
	struct pf_gate_load loads[PF_GATE_LOADS_MAX];
	struct pf_gate_sight sights[PF_GATE_SIGHTS_MAX];
	struct pf_gate_msg m = { .type = PF_GATE_PEER };
	uint32_t i;

	for (i = 0; i < in->loads.loads_len; i++) {
		const pimento_gate_load *l = &in->loads.loads_val[i];

		loads[i] = (struct pf_gate_load){ l->endpoint, l->running,
						  l->kv_tokens,
						  l->prefill_ms };
	}
	for (i = 0; i < in->sights.sights_len; i++)
		sights[i] = (struct pf_gate_sight){
			in->sights.sights_val[i].chain,
			in->sights.sights_val[i].endpoint
		};
	m.u.digest = (struct pf_gate_digest){
		.peer = in->peer,
		.loads = loads,
		.n_loads = in->loads.loads_len,
		.sights = sights,
		.n_sights = in->sights.sights_len,
		.crashed = (const uint64_t *)in->crashed.crashed_val,
		.n_crashed = in->crashed.crashed_len,
	};
	if (in->peer && in->peer != t->g->self)
		core_step(t->g, &m);
}

static void on_datagram(evutil_socket_t fd, short what, void *ctx)
{
	struct talk *t = ctx;
	char buf[DATAGRAM_MAX];
	ssize_t n;

	(void)what;
	while ((n = recv(fd, buf, sizeof(buf), MSG_DONTWAIT)) > 0) {
		pimento_talk msg = { 0 };
		XDR x;

		xdrmem_create(&x, buf, (u_int)n, XDR_DECODE);
		if (!xdr_pimento_talk(&x, &msg))
			PF_LOG(&t->g->log, PF_LOG_WARN, "bad_datagram",
			       PF_KV_INT("bytes", n));
		else if (msg.type == PIMENTO_TALK_DIGEST)
			hear_digest(t, &msg.pimento_talk_u.digest);
		xdr_free((xdrproc_t)xdr_pimento_talk, (char *)&msg);
		xdr_destroy(&x);
	}
}

static void read_later(struct talk *t, pf_ms ms)
{
	struct timeval tv = pf_clock_timeval(ms);

	event_add(t->members_timer, &tv);
}

static void add_member(struct talk *t, struct pf_str addr)
{
	struct member *m = &t->members[t->n_members];
	int len = sizeof(m->addr);
	char *s = pf_str_dup(addr);

	if (s && strcmp(s, t->g->set.talk) != 0 &&
	    t->n_members < MEMBERS_MAX &&
	    evutil_parse_sockaddr_port(s, (struct sockaddr *)&m->addr, &len) ==
		    0)
		t->n_members++;
	free(s);
}

static void on_members(void *ctx, const struct pf_store_answer *a)
{
	struct talk *t = ctx;
	size_t i;

	if (a->status != PF_STORE_OK) {
		read_later(t, MEMBERS_RETRY_MS);
		return;
	}
	t->n_members = 0;
	for (i = 0; i < a->n; i++)
		add_member(t, a->rows[i].value);
	read_later(t, MEMBERS_EVERY_MS);
}

static void on_written(void *ctx, const struct pf_store_answer *a)
{
	struct talk *t = ctx;

	t->written = a->status == PF_STORE_OK;
	read_later(t, t->written ? 0 : MEMBERS_RETRY_MS);
}

/* Writes this gateway's row, then reads all of them. */
static void on_members_timer(evutil_socket_t fd, short what, void *ctx)
{
	struct talk *t = ctx;
	struct gateway *g = t->g;
	struct pf_store_put put = {
		.place = { PF_STR(TABLE), PF_STR(PART),
			   pf_str_c(g->set.place.name) },
		.value = pf_str_c(g->set.talk),
	};
	struct pf_store_txn txn = { .puts = &put, .n_puts = 1 };
	int ret;

	(void)fd;
	(void)what;
	if (!t->written)
		ret = pf_store_commit(g->store, &txn, on_written, t);
	else
		ret = pf_store_read(g->store, PF_STR(TABLE), PF_STR(PART),
				    PF_STR(""), MEMBERS_MAX, on_members, t);
	if (ret < 0)
		read_later(t, MEMBERS_RETRY_MS);
}

static int open_socket(const char *addr)
{
	struct sockaddr_storage at;
	int len = sizeof(at);
	int fd;

	if (evutil_parse_sockaddr_port(addr, (struct sockaddr *)&at, &len) < 0)
		return -1;
	fd = socket(at.ss_family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC,
		    0);
	if (fd >= 0 && bind(fd, (struct sockaddr *)&at, (socklen_t)len) < 0) {
		evutil_closesocket(fd);
		fd = -1;
	}
	return fd;
}

int talk_start(struct gateway *g)
{
	struct timeval every = pf_clock_timeval(DIGEST_EVERY_MS);
	struct talk *t = calloc(1, sizeof(*t));

	g->talk = t;
	if (!t)
		return -1;
	t->g = g;
	t->fd = open_socket(g->set.talk);
	if (t->fd < 0) {
		PF_LOG(&g->log, PF_LOG_ERROR, "no_listener",
		       PF_KV_STR("talk", g->set.talk),
		       PF_KV_STR("why", strerror(errno)));
		return -1;
	}
	t->in = event_new(g->base, t->fd, EV_READ | EV_PERSIST, on_datagram, t);
	t->timer = event_new(g->base, -1, EV_PERSIST, on_digest_timer, t);
	t->members_timer = event_new(g->base, -1, 0, on_members_timer, t);
	if (!t->in || !t->timer || !t->members_timer)
		return -1;
	event_add(t->in, NULL);
	event_add(t->timer, &every);
	read_later(t, 0);
	return 0;
}

void talk_stop(struct gateway *g)
{
	struct talk *t = g->talk;

	if (!t)
		return;
	if (t->in)
		event_free(t->in);
	if (t->timer)
		event_free(t->timer);
	if (t->members_timer)
		event_free(t->members_timer);
	if (t->fd >= 0)
		evutil_closesocket(t->fd);
	free(t);
}
