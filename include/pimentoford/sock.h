/*
 * One non-blocking TCP connection on an event loop. Bytes are sent at once
 * where the socket takes them and queued otherwise. Any callback may free its
 * connection.
 */
#ifndef PIMENTOFORD_SOCK_H
#define PIMENTOFORD_SOCK_H

#include "pimentoford/base.h"

struct event_base;

PF_BEGIN_DECLS

struct pf_sock;

enum pf_sock_end {
	PF_SOCK_EOF, /* the peer closed in order */
	PF_SOCK_RESET, /* the connection broke */
	PF_SOCK_NOT_CONNECTED, /* it never stood: nothing was sent */
};

struct pf_sock_cbs {
	/* Bytes came, valid in the call. */
	void (*data)(void *ctx, struct pf_str in);
	/* No more bytes will come; the owner frees the connection. */
	void (*closed)(void *ctx, enum pf_sock_end why);
};

/**
 * Takes over a connected socket. @silence: how long sent bytes may stay
 * unacknowledged before the connection counts as broken.
 */
struct pf_sock *pf_sock_from_fd(struct event_base *base, int fd, pf_ms silence,
				const struct pf_sock_cbs *cbs, void *ctx);

/** Connects to IP:PORT within @connect; writes wait until it stands. */
struct pf_sock *pf_sock_connect(struct event_base *base, const char *addr,
				pf_ms connect, pf_ms silence,
				const struct pf_sock_cbs *cbs, void *ctx);

/** Closes without a callback. NULL is fine. */
void pf_sock_free(struct pf_sock *s);

/** Closes once all that was written has been sent; no callback. */
void pf_sock_close_when_sent(struct pf_sock *s);

/** Closes at once with a reset, so that the peer sees a broken answer. */
void pf_sock_abort(struct pf_sock *s);

/** 0, or -1 when there is no memory. */
int pf_sock_write(struct pf_sock *s, struct pf_str bytes);

/** Bytes written and not yet taken by the socket. */
size_t pf_sock_queued(const struct pf_sock *s);

/** Stops or resumes reading, e.g. for a peer that sends too fast. */
void pf_sock_pause(struct pf_sock *s, bool pause);

/** A listening socket at IP:PORT, or -1. */
int pf_sock_listen(const char *addr, int backlog);

PF_END_DECLS

#endif
