/* The listening side of the RPC transport. */
#include "src/transport/rpc_internal.h"

#include <arpa/inet.h>
#include <errno.h>
#include <event2/listener.h>
#include <stdio.h>
#include <string.h>

#define BACKLOG 256
#define IP_CHARS_MAX 64

static void on_accept(struct evconnlistener *l, evutil_socket_t fd,
		      struct sockaddr *sa, int len, void *ctx)
{
	(void)l;
	(void)sa;
	(void)len;
	pf_rpc_session_accept(ctx, fd);
}

/* evutil_parse_sockaddr_port() that also accepts port 0 (any free port). */
static int parse_addr(const char *addr, struct sockaddr_storage *ss, int *len)
{
	size_t n = strlen(addr);
	char ip[IP_CHARS_MAX];

	*len = sizeof(*ss);
	if (n > 2 && n < sizeof(ip) && strcmp(addr + n - 2, ":0") == 0) {
		snprintf(ip, sizeof(ip), "%.*s", (int)(n - 2), addr);
		addr = ip;
	}
	return evutil_parse_sockaddr_port(addr, (struct sockaddr *)ss, len);
}

int pf_rpc_listen(struct pf_rpc *r, const char *addr)
{
	struct sockaddr_storage ss;
	int len;
	socklen_t bound = sizeof(ss);

	if (parse_addr(addr, &ss, &len) < 0) {
		errno = EINVAL;
		return -1;
	}
	r->listener = evconnlistener_new_bind(
		r->opts.base, on_accept, r,
		LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC |
			LEV_OPT_REUSEABLE | LEV_OPT_DISABLED,
		BACKLOG, (struct sockaddr *)&ss, len);
	if (!r->listener)
		return -1;
	if (getsockname(evconnlistener_get_fd(r->listener),
			(struct sockaddr *)&ss, &bound) == 0)
		r->port = ntohs(((struct sockaddr_in *)&ss)->sin_port);
	return 0;
}

void pf_rpc_set_accepting(struct pf_rpc *r, bool on)
{
	if (!r->listener)
		return;
	if (on)
		evconnlistener_enable(r->listener);
	else
		evconnlistener_disable(r->listener);
}

uint16_t pf_rpc_port(const struct pf_rpc *r)
{
	return r->port;
}
