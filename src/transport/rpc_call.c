/* Calls and replies of a session: the handshake and BATCH messages. */
#include "src/transport/rpc_internal.h"

#include "pimentoford/clock.h"
#include "src/transport/rpc_auth.h"

#include <arpa/inet.h>
#include <event2/bufferevent.h>
#include <string.h>

#define RECORD_BUF_BYTES 512
#define XID_HELLO 1
#define XID_PROVE 2
#define XID_CONFIRM 3

/* xdr_void() with the signature of xdrproc_t, which the library's lacks. */
static bool_t xdr_no_result(XDR *xdrs, ...)
{
	(void)xdrs;
	return TRUE;
}

static int send_record(struct pf_rpc_session *s, const char *p, size_t n)
{
	unsigned char mark[PF_RPC_MARK_BYTES];

	pf_record_mark(mark, n);
	if (bufferevent_write(s->bev, mark, sizeof(mark)) < 0 ||
	    bufferevent_write(s->bev, p, n) < 0)
		return -1;
	s->rpc->stats.records_out++;
	s->rpc->stats.bytes_out += n + sizeof(mark);
	s->last_sent_at = pf_clock_now();
	return 0;
}

static void fill_call(struct rpc_msg *m, uint32_t xid, uint32_t proc)
{
	memset(m, 0, sizeof(*m));
	m->rm_xid = xid;
	m->rm_direction = CALL;
	m->rm_call.cb_rpcvers = RPC_MSG_VERSION;
	m->rm_call.cb_prog = PIMENTO_PROG;
	m->rm_call.cb_vers = PIMENTO_V1;
	m->rm_call.cb_proc = proc;
}

int pf_rpc_encode_header(struct pf_rpc *r)
{
	struct rpc_msg m;
	XDR xdrs;

	fill_call(&m, 0, PIMENTO_BATCH);
	xdrmem_create(&xdrs, r->call_header, sizeof(r->call_header),
		      XDR_ENCODE);
	if (!xdr_callmsg(&xdrs, &m))
		return -1;
	return xdr_getpos(&xdrs) == PF_RPC_CALL_BYTES ? 0 : -1;
}

static int send_call(struct pf_rpc_session *s, uint32_t xid, uint32_t proc,
		     xdrproc_t encode, void *args)
{
	char bytes[RECORD_BUF_BYTES];
	struct rpc_msg m;
	XDR xdrs;

	fill_call(&m, xid, proc);
	xdrmem_create(&xdrs, bytes, sizeof(bytes), XDR_ENCODE);
	if (!xdr_callmsg(&xdrs, &m) || !encode(&xdrs, args))
		return -1;
	return send_record(s, bytes, xdr_getpos(&xdrs));
}

static int send_reply(struct pf_rpc_session *s, struct rpc_msg *m)
{
	char bytes[RECORD_BUF_BYTES];
	XDR xdrs;

	m->rm_direction = REPLY;
	xdrmem_create(&xdrs, bytes, sizeof(bytes), XDR_ENCODE);
	if (!xdr_replymsg(&xdrs, m))
		return -1;
	return send_record(s, bytes, xdr_getpos(&xdrs));
}

static int reply_result(struct pf_rpc_session *s, uint32_t xid,
			xdrproc_t encode, void *result)
{
	struct rpc_msg m = { .rm_xid = xid };

	m.rm_reply.rp_stat = MSG_ACCEPTED;
	m.acpted_rply.ar_stat = SUCCESS;
	m.acpted_rply.ar_results.where = result;
	m.acpted_rply.ar_results.proc = encode;
	return send_reply(s, &m);
}

static int reply_error(struct pf_rpc_session *s, uint32_t xid,
		       enum accept_stat why)
{
	struct rpc_msg m = { .rm_xid = xid };

	m.rm_reply.rp_stat = MSG_ACCEPTED;
	m.acpted_rply.ar_stat = why;
	m.acpted_rply.ar_vers.low = PIMENTO_V1;
	m.acpted_rply.ar_vers.high = PIMENTO_V1;
	return send_reply(s, &m);
}

static int reply_bad_proof(struct pf_rpc_session *s, uint32_t xid)
{
	struct rpc_msg m = { .rm_xid = xid };

	m.rm_reply.rp_stat = MSG_DENIED;
	m.rjcted_rply.rj_stat = AUTH_ERROR;
	m.rjcted_rply.rj_why = AUTH_BADCRED;
	send_reply(s, &m);
	s->rpc->stats.strangers++;
	return -1;
}

static int fill_hello(struct pf_rpc_session *s)
{
	const struct pf_rpc_peer *self = &s->rpc->opts.self;

	s->local_hello.release = PF_RPC_RELEASE;
	s->local_hello.role = self->role;
	s->local_hello.id = self->id;
	s->local_hello.incarnation = self->incarnation;
	return pf_auth_nonce(&s->local_hello);
}

static void store_peer(struct pf_rpc_session *s)
{
	s->peer.role = s->peer_hello.role;
	s->peer.id = s->peer_hello.id;
	s->peer.incarnation = s->peer_hello.incarnation;
	s->peer.release = s->peer_hello.release;
}

int pf_rpc_send_hello(struct pf_rpc_session *s)
{
	if (fill_hello(s) < 0)
		return -1;
	return send_call(s, XID_HELLO, PIMENTO_HELLO,
			 (xdrproc_t)xdr_pimento_hello, &s->local_hello);
}

void pf_rpc_confirm(struct pf_rpc_session *s)
{
	if (!pf_rpc_is_up(s) || s->confirm_in_flight || !s->unconfirmed)
		return;
	if (s->batch_messages > 0)
		pf_rpc_send_batch(s);
	s->unconfirmed = false;
	s->confirm_in_flight = true;
	if (send_call(s, XID_CONFIRM, NULLPROC, xdr_no_result, NULL) < 0)
		pf_rpc_close_later(s);
}

bool pf_rpc_is_confirmed(const struct pf_rpc_session *s)
{
	return !s->unconfirmed && !s->confirm_in_flight;
}

/* The reply follows the messages sent so far: see pf_rpc_is_confirmed(). */
static int on_null(struct pf_rpc_session *s, uint32_t xid)
{
	if (pf_rpc_is_up(s) && s->batch_messages > 0)
		pf_rpc_send_batch(s);
	return reply_result(s, xid, xdr_no_result, NULL);
}

/* Server: proves the key for the client's nonce and sends its own nonce. */
static int on_hello(struct pf_rpc_session *s, XDR *xdrs, uint32_t xid)
{
	pimento_welcome w;

	if (s->client || s->state != PF_RPC_HELLO)
		return -1;
	if (!xdr_pimento_hello(xdrs, &s->peer_hello))
		return -1;
	if (fill_hello(s) < 0)
		return -1;
	w.hello = s->local_hello;
	if (pf_auth_prove(pf_rpc_key(s->rpc), PF_PROOF_SERVER, &s->peer_hello,
			  &s->local_hello, w.proof) < 0)
		return -1;
	s->state = PF_RPC_PROVE;
	return reply_result(s, xid, (xdrproc_t)xdr_pimento_welcome, &w);
}

/* Server: checks the client's proof; if it is valid the session is up. */
static int on_prove(struct pf_rpc_session *s, XDR *xdrs, uint32_t xid)
{
	pimento_proof p;

	if (s->client || s->state != PF_RPC_PROVE)
		return -1;
	if (!xdr_pimento_proof(xdrs, &p))
		return -1;
	if (!pf_auth_check(pf_rpc_key(s->rpc), PF_PROOF_CLIENT, &s->peer_hello,
			   &s->local_hello, p.proof))
		return reply_bad_proof(s, xid);
	if (reply_result(s, xid, xdr_no_result, NULL) < 0)
		return -1;
	store_peer(s);
	pf_rpc_session_up(s);
	return 0;
}

/* Client: checks the server's proof and sends its own. */
static int on_welcome(struct pf_rpc_session *s, pimento_welcome *w)
{
	pimento_proof p;

	s->peer_hello = w->hello;
	if (!pf_auth_check(pf_rpc_key(s->rpc), PF_PROOF_SERVER, &s->local_hello,
			   &s->peer_hello, w->proof)) {
		s->rpc->stats.strangers++;
		return -1;
	}
	if (pf_auth_prove(pf_rpc_key(s->rpc), PF_PROOF_CLIENT, &s->local_hello,
			  &s->peer_hello, p.proof) < 0)
		return -1;
	s->state = PF_RPC_PROVE;
	return send_call(s, XID_PROVE, PIMENTO_PROVE,
			 (xdrproc_t)xdr_pimento_proof, &p);
}

/* Handles one message of a BATCH; @body points into the record. */
static int on_message(struct pf_rpc_session *s, uint32_t type,
		      struct pf_str body)
{
	struct pf_rpc *r = s->rpc;
	struct pf_wire_msg m;

	r->stats.messages_in++;
	switch (pf_wire_decode(r->decoder, type, body, pf_clock_now(), &m)) {
	case PF_WIRE_UNKNOWN:
		r->stats.unknown_messages++;
		return 0;
	case PF_WIRE_BAD:
		return -1;
	case PF_WIRE_OK:
		break;
	}
	r->opts.message(r->opts.ctx, s, &m);
	return 0;
}

static int on_batch(struct pf_rpc_session *s, XDR *xdrs)
{
	u_int count;
	u_int i;

	if (s->state != PF_RPC_UP)
		return -1;
	if (!xdr_u_int(xdrs, &count) || count > PIMENTO_ITEMS)
		return -1;
	for (i = 0; i < count; i++) {
		u_int type;
		u_int len;
		u_int pos;

		if (!xdr_u_int(xdrs, &type) || !xdr_u_int(xdrs, &len))
			return -1;
		pos = xdr_getpos(xdrs);
		if (len > s->in.n - pos || !xdr_setpos(xdrs, pos + RNDUP(len)))
			return -1;
		if (on_message(s, type, (struct pf_str){ s->in.p + pos, len }) <
		    0)
			return -1;
		/* The callback may have dropped the session. */
		if (s->state != PF_RPC_UP)
			return 0;
	}
	return 0;
}

static int on_call(struct pf_rpc_session *s, XDR *xdrs)
{
	char cred[MAX_AUTH_BYTES];
	char verf[MAX_AUTH_BYTES];
	struct rpc_msg m;

	memset(&m, 0, sizeof(m));
	m.rm_call.cb_cred.oa_base = cred;
	m.rm_call.cb_verf.oa_base = verf;
	if (!xdr_callmsg(xdrs, &m) || m.rm_call.cb_rpcvers != RPC_MSG_VERSION)
		return -1;
	if (m.rm_call.cb_prog != PIMENTO_PROG)
		return reply_error(s, m.rm_xid, PROG_UNAVAIL);
	if (m.rm_call.cb_vers != PIMENTO_V1)
		return reply_error(s, m.rm_xid, PROG_MISMATCH);
	switch (m.rm_call.cb_proc) {
	case NULLPROC:
		return on_null(s, m.rm_xid);
	case PIMENTO_HELLO:
		return on_hello(s, xdrs, m.rm_xid);
	case PIMENTO_PROVE:
		return on_prove(s, xdrs, m.rm_xid);
	case PIMENTO_BATCH:
		return on_batch(s, xdrs);
	default:
		return reply_error(s, m.rm_xid, PROC_UNAVAIL);
	}
}

static int on_reply(struct pf_rpc_session *s, XDR *xdrs)
{
	char verf[MAX_AUTH_BYTES];
	pimento_welcome w;
	struct rpc_msg m;

	memset(&m, 0, sizeof(m));
	m.acpted_rply.ar_verf.oa_base = verf;
	m.acpted_rply.ar_results.proc = xdr_no_result;
	if (s->state == PF_RPC_HELLO) {
		m.acpted_rply.ar_results.where = (caddr_t)&w;
		m.acpted_rply.ar_results.proc = (xdrproc_t)xdr_pimento_welcome;
	}
	if (!xdr_replymsg(xdrs, &m))
		return -1;
	/* An older peer answers a one-way call it doesn't know with an error
	 * reply; ignore it. */
	if (s->state == PF_RPC_UP) {
		if (m.rm_xid == XID_CONFIRM &&
		    m.rm_reply.rp_stat == MSG_ACCEPTED &&
		    m.acpted_rply.ar_stat == SUCCESS)
			s->confirm_in_flight = false;
		return 0;
	}
	if (!s->client)
		return -1;
	if (m.rm_reply.rp_stat != MSG_ACCEPTED) {
		s->rpc->stats.strangers++;
		return -1;
	}
	if (m.acpted_rply.ar_stat != SUCCESS)
		return -1;
	if (s->state == PF_RPC_HELLO && m.rm_xid == XID_HELLO)
		return on_welcome(s, &w);
	if (s->state == PF_RPC_PROVE && m.rm_xid == XID_PROVE) {
		store_peer(s);
		pf_rpc_session_up(s);
		return 0;
	}
	return -1;
}

int pf_rpc_handle_record(struct pf_rpc_session *s)
{
	uint32_t direction;
	XDR xdrs;

	if (s->in.n < 8)
		return -1;
	s->rpc->stats.records_in++;
	s->rpc->stats.bytes_in += s->in.n + PF_RPC_MARK_BYTES;
	memcpy(&direction, s->in.p + 4, sizeof(direction));
	xdrmem_create(&xdrs, s->in.p, (u_int)s->in.n, XDR_DECODE);
	switch (ntohl(direction)) {
	case CALL:
		return on_call(s, &xdrs);
	case REPLY:
		return on_reply(s, &xdrs);
	default:
		return -1;
	}
}
