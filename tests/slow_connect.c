/*
 * Preloaded into a daemon under test: connect() to port PF_SLOW_CONNECT_PORT
 * takes PF_SLOW_CONNECT_MS, as over a full link.
 */
#include <netinet/in.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

int connect(int fd, const struct sockaddr *addr, socklen_t len)
{
	const struct sockaddr_in *in = (const struct sockaddr_in *)addr;
	const char *port = getenv("PF_SLOW_CONNECT_PORT");
	const char *ms = getenv("PF_SLOW_CONNECT_MS");
	struct timespec t = { 0 };

	if (port && ms && addr->sa_family == AF_INET &&
	    ntohs(in->sin_port) == atoi(port)) {
		t.tv_nsec = atol(ms) * 1000000;
		nanosleep(&t, NULL);
	}
	return (int)syscall(SYS_connect, fd, addr, len);
}
