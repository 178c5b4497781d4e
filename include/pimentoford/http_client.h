/*
 * HTTP client for one address with a connection pool. Callbacks never run
 * inside pf_http_start() or pf_http_cancel(), so both may be called while a
 * core's step is running.
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
	uint32_t conns_max; /* concurrent calls, one connection each */
	uint32_t idle_max; /* idle connections kept open */
	size_t body_max; /* bytes of a response that is not streamed */
};

/** Returns NULL on a malformed address or when out of memory. */
struct pf_http *pf_http_new(const struct pf_http_opts *o);

/** Cancels all calls without calling back. */
void pf_http_free(struct pf_http *h);

enum pf_http_result {
	PF_HTTP_OK, /* a complete response, with any status */
	PF_HTTP_NOT_SENT, /* the request did not reach the server */
	PF_HTTP_LOST, /* sent without a complete response: in doubt */
};

/** Strings are valid during the callback only. */
struct pf_http_answer {
	enum pf_http_result result;
	int status;
	struct pf_str content_type;
	struct pf_str body; /* empty when it was streamed */
	struct pf_str header; /* the one in answer_header; empty: missing */
};

struct pf_http_request {
	const char *method;
	const char *target; /* path and query */
	const char *content_type; /* NULL: none */
	const char *idempotency_key; /* Idempotency-Key header; NULL: none */
	const char *extra_header; /* name of an additional header; NULL: none */
	const char *extra_header_value;
	const char *answer_header; /* passed to `done`; static; NULL: none */
	struct pf_str body; /* copied */
	pf_ms timeout; /* between two bytes; 0: none */
	/* Use no pooled connection: the server may just have closed it, which
	 * would make the result LOST. */
	bool new_connection;
	/* The header arrived; must not cancel the call. May be NULL. */
	void (*head)(void *ctx, int status);
	/* Streams the body of a 200 response; NULL: whole body in `done`. */
	void (*chunk)(void *ctx, const char *p, size_t n);
	/* The call ended; no callback follows. */
	void (*done)(void *ctx, const struct pf_http_answer *a);
	void *ctx;
};

/**
 * Starts a request. Returns NULL when conns_max is reached, the method is
 * unknown or out of memory; then no callback runs.
 */
struct pf_http_call *pf_http_start(struct pf_http *h,
				   const struct pf_http_request *r);

/** Lets a call complete without callbacks, so its connection is reusable. */
void pf_http_detach(struct pf_http_call *c);

/** Aborts a call without callbacks and frees @c. */
void pf_http_cancel(struct pf_http_call *c);

PF_END_DECLS

#endif
