/* What the files of the RPC transport share. */
#ifndef PF_TRANSPORT_RPC_INTERNAL_H
#define PF_TRANSPORT_RPC_INTERNAL_H

#include "pimentoford/rpc.h"
#include "src/protocol/pimento_xdr.h"
#include "src/transport/rpc_record.h"

#include <event2/util.h>
#include <sys/queue.h>
#include <sys/socket.h>

/** The release of the protocol that this build speaks. */
#define PF_RPC_RELEASE 1
/** Records are this small until a peer has proved the key. */
#define PF_RPC_UNAUTH_RECORD_MAX 1024
/** A one-way call's header: the mark, the call and the count of messages. */
#define PF_RPC_MARK_BYTES 4
#define PF_RPC_CALL_BYTES 40
#define PF_RPC_HEADER_BYTES (PF_RPC_MARK_BYTES + PF_RPC_CALL_BYTES + 4)

enum pf_rpc_state {
	PF_RPC_BACKOFF, /* a client between attempts */
	PF_RPC_CONNECTING,
	PF_RPC_HELLO, /* HELLO sent, or awaited by the server */
	PF_RPC_PROVE, /* PROVE sent, or awaited by the server */
	PF_RPC_UP,
	PF_RPC_DEAD, /* freed soon */
};

struct pf_rpc_session {
	LIST_ENTRY(pf_rpc_session) next;
	struct pf_rpc *rpc;
	enum pf_rpc_state state;
	bool client;
	bool closing; /* to be ended in the flush */
	struct sockaddr_storage addr; /* of a client's peer */
	int addr_len;
	struct bufferevent *bev;
	struct event *retry_timer; /* of a client */
	uint32_t failures; /* in a row */
	pf_ms opened_at;
	pf_ms last_received;
	pf_ms last_sent;
	pimento_hello local_hello;
	pimento_hello peer_hello;
	struct pf_rpc_peer peer;
	struct pf_record_reader in;
	struct evbuffer *batch; /* header and messages of this turn */
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
	uint32_t accepted_sessions; /* sessions that peers opened */
	uint32_t xid;
	char call_header[PF_RPC_CALL_BYTES]; /* of a BATCH call */
	struct pf_rng rng;
	struct pf_wire_buf out;
	struct pf_wire_decoder *decoder;
	struct pf_rpc_stats stats;
};

static inline struct pf_str pf_rpc_key(const struct pf_rpc *r)
{
	return (struct pf_str){ r->key, r->opts.key.n };
}

/* rpc.c */
void pf_rpc_session_up(struct pf_rpc_session *s);
void pf_rpc_session_lost(struct pf_rpc_session *s);
/** Takes a connection that a peer opened. */
void pf_rpc_session_accept(struct pf_rpc *r, evutil_socket_t fd);

/* rpc_call.c: one record in or out */

/** Handles a record. 0, or -1 when the session has to end. */
int pf_rpc_handle_record(struct pf_rpc_session *s);

/** Sends the client's HELLO. 0 or -1. */
int pf_rpc_send_hello(struct pf_rpc_session *s);

/** Encodes the header that every BATCH call starts with. 0 or -1. */
int pf_rpc_encode_header(struct pf_rpc *r);

#endif
