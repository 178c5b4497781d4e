/* Shared by the source files of the RPC transport. */
#ifndef PF_TRANSPORT_RPC_INTERNAL_H
#define PF_TRANSPORT_RPC_INTERNAL_H

#include "pimentoford/rpc.h"
#include "src/protocol/pimento_xdr.h"
#include "src/transport/rpc_record.h"

#include <event2/util.h>
#include <sys/queue.h>
#include <sys/socket.h>

#define PF_RPC_RELEASE 1
/** Limit of a record's bytes until the peer is authenticated. */
#define PF_RPC_UNAUTH_RECORD_MAX 1024
/** Header of a BATCH record: record mark, call header, message count. */
#define PF_RPC_MARK_BYTES 4
#define PF_RPC_CALL_BYTES 40
#define PF_RPC_HEADER_BYTES (PF_RPC_MARK_BYTES + PF_RPC_CALL_BYTES + 4)

enum pf_rpc_state {
	PF_RPC_BACKOFF, /* client: waits to reconnect */
	PF_RPC_CONNECTING,
	PF_RPC_HELLO, /* client: HELLO in flight; server: waits for it */
	PF_RPC_PROVE, /* client: PROVE in flight; server: waits for it */
	PF_RPC_UP,
	PF_RPC_DEAD, /* freed by the flush event */
};

struct pf_rpc_session {
	LIST_ENTRY(pf_rpc_session) next;
	struct pf_rpc *rpc;
	enum pf_rpc_state state;
	bool client;
	bool closing; /* closed by the flush event */
	bool unconfirmed; /* messages sent since the last confirm call */
	bool confirm_in_flight;
	struct sockaddr_storage addr; /* client: address of the server */
	int addr_len;
	struct bufferevent *bev;
	struct event *retry_timer; /* client: end of the backoff */
	uint32_t failures; /* attempts since it was last up */
	pf_ms opened_at;
	pf_ms last_received_at;
	pf_ms last_sent_at;
	pimento_hello local_hello;
	pimento_hello peer_hello;
	struct pf_rpc_peer peer;
	struct pf_record_reader in;
	struct evbuffer *batch; /* header and messages not yet sent */
	uint32_t batch_messages;
	void *user;
};

struct pf_rpc {
	struct pf_rpc_opts opts;
	char *key;
	struct evconnlistener *listener;
	uint16_t port;
	struct event *tick_timer;
	struct event *flush_event;
	LIST_HEAD(, pf_rpc_session) sessions;
	uint32_t accepted_sessions; /* sessions opened by peers */
	uint32_t xid; /* of the last BATCH call */
	char call_header[PF_RPC_CALL_BYTES]; /* encoded, for BATCH calls */
	struct pf_rng rng;
	struct pf_wire_buf out; /* scratch buffer */
	struct pf_wire_decoder *decoder;
	struct pf_rpc_stats stats;
};

static inline struct pf_str pf_rpc_key(const struct pf_rpc *r)
{
	return (struct pf_str){ r->key, r->opts.key.n };
}

/* rpc.c: sessions */

/** Marks an authenticated session as up and calls `up`. */
void pf_rpc_session_up(struct pf_rpc_session *s);

/** Closes the socket, calls `down` if it was up; a client reconnects. */
void pf_rpc_session_lost(struct pf_rpc_session *s);

/** Starts the server side of a session on the accepted socket @fd. */
void pf_rpc_session_accept(struct pf_rpc *r, evutil_socket_t fd);

/** Has the flush event close the session: callers may hold it now. */
void pf_rpc_close_later(struct pf_rpc_session *s);

/** Sends the batch as one record; an empty batch is a heartbeat. */
void pf_rpc_send_batch(struct pf_rpc_session *s);

/* rpc_call.c: calls and replies */

/** Handles the record in @s->in. Returns 0, or -1 to close the session. */
int pf_rpc_handle_record(struct pf_rpc_session *s);

/** Sends the client's HELLO. Returns 0 or -1. */
int pf_rpc_send_hello(struct pf_rpc_session *s);

/** Encodes the call header of BATCH calls. Returns 0 or -1. */
int pf_rpc_encode_header(struct pf_rpc *r);

#endif
