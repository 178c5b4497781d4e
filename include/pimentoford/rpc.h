/*
 * Sessions between the deployment's processes: ONC RPC with record marking
 * over libevent. Both sides prove that they hold the deployment key without
 * sending it. Messages sent in one iteration of the event loop share a record.
 * A session is closed after `link_timeout` without received data; sessions
 * made by pf_rpc_connect() reconnect with backoff.
 */
#ifndef PIMENTOFORD_RPC_H
#define PIMENTOFORD_RPC_H

#include "pimentoford/wire.h"

struct event_base;

PF_BEGIN_DECLS

struct pf_rpc;
struct pf_rpc_session;

enum pf_rpc_role { PF_RPC_ENTRY = 1, PF_RPC_AGENT = 2 };

/** Identity of a process; a peer's is authenticated by its proof. */
struct pf_rpc_peer {
	uint32_t role; /* enum pf_rpc_role */
	uint64_t id;
	uint64_t incarnation;
	uint32_t release; /* protocol release */
};

struct pf_rpc_opts {
	struct event_base *base;
	struct pf_str key; /* deployment key; copied */
	struct pf_rpc_peer self; /* `release` is ignored */
	uint64_t seed; /* for the reconnect jitter */
	uint32_t sessions_max; /* concurrent accepted sessions */
	size_t record_max; /* bytes; a larger record closes the session */
	size_t unsent_max; /* bytes; a longer send queue closes the session */
	pf_ms heartbeat_interval; /* on an idle session */
	pf_ms link_timeout; /* without received data */
	pf_ms handshake_timeout;
	pf_ms reconnect_min; /* first backoff */
	pf_ms reconnect_max; /* longest backoff */
	/* Called with `ctx`; may send and may drop any session. */
	void (*up)(void *ctx, struct pf_rpc_session *s);
	void (*down)(void *ctx, struct pf_rpc_session *s);
	void (*message)(void *ctx, struct pf_rpc_session *s,
			const struct pf_wire_msg *m);
	void *ctx;
};

/** Sets the default limits and timeouts; zeroes the rest. */
void pf_rpc_opts_default(struct pf_rpc_opts *o);

/** Returns NULL when an option is out of range or out of memory. */
struct pf_rpc *pf_rpc_new(const struct pf_rpc_opts *o);

/** Closes all sessions without calling `down`. */
void pf_rpc_free(struct pf_rpc *r);

/**
 * Binds "IP:PORT" exclusively. Connections are accepted only after
 * pf_rpc_set_accepting(). Returns 0, or -1 with errno set.
 */
int pf_rpc_listen(struct pf_rpc *r, const char *addr);

void pf_rpc_set_accepting(struct pf_rpc *r, bool on);

/** The listening port; 0 when not listening. */
uint16_t pf_rpc_port(const struct pf_rpc *r);

/** Sets the incarnation sent in later handshakes. */
void pf_rpc_set_incarnation(struct pf_rpc *r, uint64_t incarnation);

/**
 * Connects to "IP:PORT" and reconnects until pf_rpc_drop(). Returns NULL on a
 * malformed address or when out of memory.
 */
struct pf_rpc_session *pf_rpc_connect(struct pf_rpc *r, const char *addr,
				      void *user);

/** Closes a session for good without calling `down`. */
void pf_rpc_drop(struct pf_rpc_session *s);

/** Queues a message. Returns 0, or -1 when not up or not encodable. */
int pf_rpc_send(struct pf_rpc_session *s, const struct pf_wire_msg *m);

/** Asks the peer to confirm the messages sent so far, if it has not. */
void pf_rpc_confirm(struct pf_rpc_session *s);

/**
 * Whether the peer confirmed that it has handled all messages. Those that it
 * sent before it handled the last one have been received then.
 */
bool pf_rpc_is_confirmed(const struct pf_rpc_session *s);

/** Bytes queued and not yet written to the socket. */
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
