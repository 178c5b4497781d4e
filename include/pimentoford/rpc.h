/*
 * Sessions between our own processes: ONC RPC with record marking over
 * libevent. Both sides prove that they hold the deployment's key; the key is
 * never sent. Messages that are sent within one turn of the event loop share
 * one record. A session that hears nothing for `link_timeout` is closed;
 * sessions made by pf_rpc_connect() open again by themselves.
 */
#ifndef PIMENTOFORD_RPC_H
#define PIMENTOFORD_RPC_H

#include "pimentoford/wire.h"

struct event_base;

PF_BEGIN_DECLS

struct pf_rpc;
struct pf_rpc_session;

enum pf_rpc_role { PF_RPC_ENTRY = 1, PF_RPC_AGENT = 2 };

/** Who is at the other end, as it proved. */
struct pf_rpc_peer {
	uint32_t role; /* enum pf_rpc_role */
	uint64_t id;
	uint64_t incarnation;
	uint32_t release; /* of the protocol */
};

struct pf_rpc_opts {
	struct event_base *base;
	struct pf_str key; /* the deployment's key; copied */
	struct pf_rpc_peer self; /* `release` is filled in */
	uint64_t seed; /* of the jitter */
	uint32_t sessions_max; /* accepted at once */
	size_t record_max; /* bytes; a larger one ends its session */
	size_t unsent_max; /* bytes; a slower reader's session ends */
	pf_ms heartbeat; /* something is sent at least so often */
	pf_ms link_timeout;
	pf_ms handshake_timeout;
	pf_ms reconnect_min;
	pf_ms reconnect_max;
	/* Called with `ctx`; they may send, and drop any session. */
	void (*up)(void *ctx, struct pf_rpc_session *s);
	void (*down)(void *ctx, struct pf_rpc_session *s);
	void (*message)(void *ctx, struct pf_rpc_session *s,
			const struct pf_wire_msg *m);
	void *ctx;
};

/** Fills in the defaults that are shipped. */
void pf_rpc_opts_default(struct pf_rpc_opts *o);

/** NULL when options are out of range or there is no memory. */
struct pf_rpc *pf_rpc_new(const struct pf_rpc_opts *o);

/** Closes all sessions without calling `down`. */
void pf_rpc_free(struct pf_rpc *r);

/**
 * Takes the address "IP:PORT" exclusively; peers are let in by
 * pf_rpc_set_accepting(). 0 or -1 with errno.
 */
int pf_rpc_listen(struct pf_rpc *r, const char *addr);

/** Starts or stops to let peers in. */
void pf_rpc_set_accepting(struct pf_rpc *r, bool on);

/** The port it listens at; 0: none. */
uint16_t pf_rpc_port(const struct pf_rpc *r);

/** Changes what later handshakes say of this process. */
void pf_rpc_set_incarnation(struct pf_rpc *r, uint64_t incarnation);

/** Keeps a session to "IP:PORT" until it is dropped. NULL on a bad address. */
struct pf_rpc_session *pf_rpc_connect(struct pf_rpc *r, const char *addr,
				      void *user);

/** Ends a session for good, without calling `down`. */
void pf_rpc_drop(struct pf_rpc_session *s);

/** Queues a message. 0, or -1 when the session is not up. */
int pf_rpc_send(struct pf_rpc_session *s, const struct pf_wire_msg *m);

/** Bytes queued and not yet taken by the socket. */
size_t pf_rpc_unsent(const struct pf_rpc_session *s);

bool pf_rpc_is_up(const struct pf_rpc_session *s);
const struct pf_rpc_peer *pf_rpc_peer(const struct pf_rpc_session *s);
void *pf_rpc_user(const struct pf_rpc_session *s);
void pf_rpc_set_user(struct pf_rpc_session *s, void *user);

/* DEF(field, help): counters. */
#define PF_RPC_COUNTERS(DEF)                                          \
	DEF(sessions_opened, "Sessions that came up")                 \
	DEF(sessions_lost, "Sessions that went down")                 \
	DEF(strangers, "Peers that did not prove the key")            \
	DEF(bad_records, "Sessions ended by a malformed record")      \
	DEF(oversize_records, "Sessions ended by an oversize record") \
	DEF(link_timeouts, "Sessions ended by silence")               \
	DEF(slow_peers, "Sessions ended by a peer that reads slowly") \
	DEF(turned_away, "Connections beyond the bound")              \
	DEF(unknown_messages, "Messages of an unknown type, skipped") \
	DEF(records_in, "Records received")                           \
	DEF(records_out, "Records sent")                              \
	DEF(messages_in, "Messages received")                         \
	DEF(messages_out, "Messages sent")                            \
	DEF(bytes_in, "Bytes received")                               \
	DEF(bytes_out, "Bytes sent")

struct pf_rpc_stats {
#define DEF(field, help) uint64_t field;
	PF_RPC_COUNTERS(DEF)
#undef DEF
};

const struct pf_rpc_stats *pf_rpc_stats(const struct pf_rpc *r);

PF_END_DECLS

#endif
