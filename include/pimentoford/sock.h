/*
 * A non-blocking TCP connection on an event loop. Writes go to the socket
 * directly and are queued when it is full. A callback may free its connection.
 */
#ifndef PIMENTOFORD_SOCK_H
#define PIMENTOFORD_SOCK_H

#include "pimentoford/base.h"

struct event_base;

PF_BEGIN_DECLS

struct pf_sock;

enum pf_sock_end {
	PF_SOCK_EOF, /* orderly close by the peer */
	PF_SOCK_RESET, /* read or write error */
	PF_SOCK_NOT_CONNECTED, /* connect failed; nothing was sent */
};

struct pf_sock_cbs {
	/* Received bytes, valid during the callback. */
	void (*data)(void *ctx, struct pf_str in);
	/* The connection ended; the owner frees it. */
	void (*closed)(void *ctx, enum pf_sock_end why);
	/* Of pf_sock_connect(); may be NULL. */
	void (*connected)(void *ctx);
	/* Queued bytes, perhaps not all, were written to the socket; may be
	 * NULL. */
	void (*sent)(void *ctx);
};

/**
 * Takes ownership of the connected socket @fd, also on failure.
 * @ack_timeout: time after which unacknowledged bytes break the connection
 * (TCP_USER_TIMEOUT); 0: system default. Returns NULL when out of memory.
 */
struct pf_sock *pf_sock_from_fd(struct event_base *base, int fd,
				pf_ms ack_timeout,
				const struct pf_sock_cbs *cbs, void *ctx);

/**
 * Connects to IP:PORT; after @connect_timeout calls `closed`. Writes are queued
 * until connected. Returns NULL when the attempt can't be started.
 */
struct pf_sock *pf_sock_connect(struct event_base *base, const char *addr,
				pf_ms connect_timeout, pf_ms ack_timeout,
				const struct pf_sock_cbs *cbs, void *ctx);

/** Closes without a callback. @s may be NULL. */
void pf_sock_free(struct pf_sock *s);

/** Ends the stream of bytes to the peer, which may still send. */
void pf_sock_shutdown(struct pf_sock *s);

/** Resets the connection, so that the peer sees an incomplete response. */
void pf_sock_abort(struct pf_sock *s);

/** Sends or queues @bytes. Returns 0, or -1 when out of memory. */
int pf_sock_write(struct pf_sock *s, struct pf_str bytes);

/**
 * Bounds what the socket takes ahead of what it can send, so that the rest
 * stays in the queue. Without effect where the system doesn't support it.
 */
void pf_sock_limit_unsent(struct pf_sock *s, size_t bytes);

/** Bytes queued and not yet written to the socket. */
size_t pf_sock_queued(const struct pf_sock *s);

/** Whether received bytes wait to be read. */
bool pf_sock_has_unread(const struct pf_sock *s);

/** Stops or resumes reading, for backpressure. */
void pf_sock_pause(struct pf_sock *s, bool pause);

/** Returns a listening socket bound to IP:PORT, or -1. */
int pf_sock_listen(const char *addr, int backlog);

PF_END_DECLS

#endif
