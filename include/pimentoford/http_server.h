/* HTTP servers for requests without bodies: metrics, reports, configuration. */
#ifndef PIMENTOFORD_HTTP_SERVER_H
#define PIMENTOFORD_HTTP_SERVER_H

#include "pimentoford/base.h"

struct event_base;
struct evhttp;

PF_BEGIN_DECLS

/**
 * Returns a server on the listening socket @fd, which it takes over also on
 * failure, or NULL. It reads at most 32 KiB ahead of the request that it
 * answers, whether or not the answers are read, and closes connections that are
 * idle for @idle_timeout_s. Free it with evhttp_free().
 */
struct evhttp *pf_http_server_new(struct event_base *base, int fd,
				  int idle_timeout_s);

PF_END_DECLS

#endif
