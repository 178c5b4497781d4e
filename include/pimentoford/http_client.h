/*
 * HTTP requests to one address over pooled connections. Callbacks never run
 * inside pf_http_start() or pf_http_cancel(), so cores' acts may call both.
 */
#ifndef PIMENTOFORD_HTTP_CLIENT_H
#define PIMENTOFORD_HTTP_CLIENT_H

#include "pimentoford/base.h"

struct event_base;

PF_BEGIN_DECLS

struct pf_http;
struct pf_http_call;

struct pf_http_opts {
	struct event_base *base;
	const char *addr; /* IP:PORT */
	uint32_t conns_max; /* calls at once */
	uint32_t idle_max; /* connections kept open */
	size_t body_max; /* of an answer that is not streamed */
};

/** NULL on a bad address or when there is no memory. */
struct pf_http *pf_http_new(const struct pf_http_opts *o);

/** Drops all calls without calling back. */
void pf_http_free(struct pf_http *h);

enum pf_http_result {
	PF_HTTP_OK, /* answered, whatever the status */
	PF_HTTP_NOT_SENT, /* never reached the server */
	PF_HTTP_LOST, /* sent, and no whole answer: unknown */
};

/** Strings are valid in the callback. */
struct pf_http_answer {
	enum pf_http_result result;
	int status;
	struct pf_str content_type;
	struct pf_str body; /* empty when it was streamed */
};

struct pf_http_request {
	const char *method;
	const char *target; /* path and query */
	const char *content_type; /* NULL: none */
	const char *idempotency_key; /* Idempotency-Key; NULL: none */
	const char *extra_header; /* one more, by name; NULL: none */
	const char *extra_header_value;
	struct pf_str body; /* copied */
	pf_ms timeout; /* between two bytes; 0: none */
	bool new_connection; /* on a new connection, so that a connection which the
		     * server closed meanwhile cannot make it LOST */
	/* The status is known; must not cancel. NULL: not needed. */
	void (*head)(void *ctx, int status);
	/* Pieces of a 200 answer as they come; NULL: whole in `done`. */
	void (*chunk)(void *ctx, const char *p, size_t n);
	/* The last call for this request. */
	void (*done)(void *ctx, const struct pf_http_answer *a);
	void *ctx;
};

/** NULL when the request cannot be made; then nothing is called. */
struct pf_http_call *pf_http_start(struct pf_http *h,
				   const struct pf_http_request *r);

/** Lets a call come to its end, unheard; its connection is used again. */
void pf_http_detach(struct pf_http_call *c);

/** Ends a call without calling back; @c is then invalid. */
void pf_http_cancel(struct pf_http_call *c);

PF_END_DECLS

#endif
