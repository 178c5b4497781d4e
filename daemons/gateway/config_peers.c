/*
 * Passes the configuration on between gateways. One that the store turns away
 * hears of a newer version in the digests of the others, and fetches it from one
 * of them over HTTP, at the TCP port with the number of the datagrams' port.
 */
#include "gateway.h"

#include "pimentoford/counters.h"
#include "pimentoford/http_client.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/util.h>
#include <arpa/inet.h>
#include <stdlib.h>

#define PATH "/config"
/* The store gets this long to answer with the newer version. */
#define STORE_FIRST_MS 500
/* A new process may have read an older copy of the store, and one that was
 * frozen knows nothing of what has changed. With accounts, such a process awaits
 * a digest of another gateway: they come every 240 ms from the region. */
#define FIRST_DIGEST_MS 300
/* And it serves no key while others have a newer version; the longest time in
 * which one comes into force while the store is in trouble. */
#define UNSURE_MS 10000
/* Between two steps of a process; half of the time in which a configuration
 * comes into force. */
#define FREEZE_MIN_MS 2000
#define FETCH_TIMEOUT_MS 1000
#define FETCH_INTERVAL_MS 300
#define CONFIG_BYTES_MAX ((size_t)4 << 20)
#define CONN_IDLE_TIMEOUT_S 5
#define ADDR_CAP 64

struct config_peers {
	struct gateway *gateway;
	struct evhttp *server;
	struct pf_text row; /* the configuration in force, without keys */
	pf_ms unsure_since; /* start of the process, or end of a freeze */
	bool was_frozen; /* digests in the socket's buffer are old */
	pf_ms stepped_at;
	bool peer_heard;
	uint64_t peer_version; /* the newest that a peer stated */
	pf_ms behind_since; /* a peer has had a newer version; 0: none has */
	struct pf_http *peer; /* of the last fetch */
	bool fetching;
	pf_ms fetched_at; /* start of the last fetch */
};

static void on_get(struct evhttp_request *req, void *ctx)
{
	const struct config_peers *c = ctx;
	struct evbuffer *out = evbuffer_new();

	if (!c->row.n)
		evhttp_send_error(req, HTTP_NOTFOUND, "no configuration");
	else if (out && evbuffer_add(out, c->row.p, c->row.n) == 0)
		evhttp_send_reply(req, HTTP_OK, "OK", out);
	else
		evhttp_send_error(req, HTTP_INTERNAL, "out of memory");
	if (out)
		evbuffer_free(out);
}

static void log_fetch_ended(const struct config_peers *c,
			    const struct pf_http_answer *a)
{
	bool failed = a->result != PF_HTTP_OK || a->status != HTTP_OK;
	pf_ms now = pf_clock_now();

	c->gateway->counters->v[PF_GC_CONFIG_FETCH_FAILED] += failed;
	PF_LOG(&c->gateway->log, failed ? PF_LOG_WARN : PF_LOG_INFO,
	       "config_fetched", PF_KV_INT("result", a->result),
	       PF_KV_INT("status", a->status), PF_KV_INT("bytes", a->body.n),
	       PF_KV_INT("ms", now - c->fetched_at),
	       PF_KV_INT("behind_ms",
			 c->behind_since ? now - c->behind_since : 0));
}

static void on_fetched(void *ctx, const struct pf_http_answer *a)
{
	struct config_peers *c = ctx;

	c->fetching = false;
	log_fetch_ended(c, a);
	if (a->result != PF_HTTP_OK || a->status != HTTP_OK)
		return;
	if (feeds_read_config(c->gateway, a->body) == 0)
		c->gateway->counters->v[PF_GC_CONFIG_FROM_PEER]++;
}

static void fetch(struct config_peers *c, const struct sockaddr_in *from)
{
	struct pf_http_request r = { .method = "GET",
				     .target = PATH,
				     .timeout = FETCH_TIMEOUT_MS,
				     .done = on_fetched,
				     .ctx = c };
	char ip[INET_ADDRSTRLEN] = "";
	char addr[ADDR_CAP];
	struct pf_http_opts o = { .base = c->gateway->base,
				  .addr = addr,
				  .conns_max = 1,
				  .body_max = CONFIG_BYTES_MAX };

	inet_ntop(AF_INET, &from->sin_addr, ip, sizeof(ip));
	evutil_snprintf(addr, sizeof(addr), "%s:%u", ip,
			(unsigned int)ntohs(from->sin_port));
	if (c->fetching) {
		c->gateway->counters->v[PF_GC_CONFIG_FETCH_FAILED]++;
		PF_LOG(&c->gateway->log, PF_LOG_WARN, "config_fetch_slow",
		       PF_KV_INT("ms", pf_clock_now() - c->fetched_at));
	}
	/* Without callbacks from a fetch that has taken too long. */
	pf_http_free(c->peer);
	c->peer = pf_http_new(&o);
	c->fetched_at = pf_clock_now();
	c->fetching = c->peer && pf_http_start(c->peer, &r);
	PF_LOG(&c->gateway->log, PF_LOG_INFO, "config_fetch",
	       PF_KV_STR("from", addr), PF_KV_INT("version", c->peer_version),
	       PF_KV_INT("store_age_ms",
			 feeds_store_age(c->gateway, c->fetched_at)));
}

void config_note_step(struct gateway *g)
{
	struct config_peers *c = g->config_peers;
	pf_ms now = pf_clock_now();

	if (now - c->stepped_at >= FREEZE_MIN_MS) {
		c->unsure_since = now;
		c->was_frozen = true;
	}
	c->stepped_at = now;
}

static bool is_unsure(const struct gateway *g)
{
	return g->keys &&
	       pf_clock_now() - g->config_peers->unsure_since < UNSURE_MS;
}

static uint64_t own_version(const struct gateway *g)
{
	return g->routes ? g->routes->version : 0;
}

bool config_awaits_peers(const struct gateway *g)
{
	const struct config_peers *c = g->config_peers;

	return g->keys && (c->was_frozen || !c->peer_heard) &&
	       pf_clock_now() - c->unsure_since < FIRST_DIGEST_MS;
}

bool config_may_be_stale(const struct gateway *g)
{
	return config_awaits_peers(g) ||
	       (g->config_peers->peer_version > own_version(g) && is_unsure(g));
}

bool config_on_peer_view(struct gateway *g, const struct sockaddr_in *from,
			 uint64_t version)
{
	struct config_peers *c = g->config_peers;
	pf_ms now = pf_clock_now();
	pf_ms wait = is_unsure(g) ? 0 : STORE_FIRST_MS;

	c->peer_heard = true;
	if (version > c->peer_version)
		c->peer_version = version;
	if (version <= own_version(g))
		return false;
	if (!c->behind_since)
		c->behind_since = now;
	if (now - c->behind_since >= wait &&
	    now - c->fetched_at >=
		    (c->fetching ? FETCH_TIMEOUT_MS : FETCH_INTERVAL_MS))
		fetch(c, from);
	return true;
}

void config_in_force(struct gateway *g, struct pf_str row)
{
	const struct platform_config in_force = { .routes = g->routes,
						  .keys = g->keys };
	struct config_peers *c = g->config_peers;

	c->behind_since = 0;
	pf_text_free(&c->row);
	c->row = (struct pf_text){ 0 };
	if (platform_encode_config(row, &in_force, &c->row) == 0)
		return;
	PF_LOG(&g->log, PF_LOG_ERROR, "no_memory",
	       PF_KV_STR("for", "the configuration for other gateways"));
	pf_text_free(&c->row);
	c->row = (struct pf_text){ 0 };
}

int config_peers_start(struct gateway *g)
{
	struct config_peers *c = calloc(1, sizeof(*c));
	int fd = pf_sock_listen(g->settings.datagrams, 64);

	g->config_peers = c;
	if (!c || fd < 0)
		return -1;
	c->gateway = g;
	c->unsure_since = c->stepped_at = g->started_at;
	c->server = evhttp_new(g->base);
	if (!c->server || evhttp_accept_socket(c->server, fd) < 0) {
		evutil_closesocket(fd);
		return -1;
	}
	evhttp_set_timeout(c->server, CONN_IDLE_TIMEOUT_S);
	evhttp_set_max_body_size(c->server, 0);
	evhttp_set_cb(c->server, PATH, on_get, c);
	return 0;
}

void config_peers_stop(struct gateway *g)
{
	struct config_peers *c = g->config_peers;

	if (!c)
		return;
	if (c->server)
		evhttp_free(c->server);
	pf_http_free(c->peer);
	pf_text_free(&c->row);
	free(c);
}
