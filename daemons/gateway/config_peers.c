/*
 * Passes the configuration on between gateways. One that the store turns away
 * hears of a newer version in the digests of the others, and fetches it from one
 * of them over HTTP, at the TCP port with the number of the datagrams' port.
 */
#include "gateway.h"

#include "pimentoford/config_fetch.h"
#include "pimentoford/counters.h"
#include "pimentoford/http_client.h"
#include "pimentoford/http_server.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/util.h>
#include <arpa/inet.h>
#include <stdlib.h>

#define PATH "/config"
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
#define CONFIG_BYTES_MAX ((size_t)4 << 20)
#define CONN_IDLE_TIMEOUT_S 5
#define ADDR_CAP 64

/** The way to one peer. */
struct fetch {
	struct config_peers *owner;
	struct pf_http *peer; /* kept until the next fetch */
	pf_ms started_at;
};

struct config_peers {
	struct gateway *gateway;
	struct evhttp *server;
	struct pf_text row; /* the configuration in force, without keys */
	pf_ms unsure_since; /* start of the process, or end of a freeze */
	bool was_frozen; /* digests in the socket's buffer are old */
	pf_ms stepped_at;
	bool peer_heard;
	struct pf_config_fetch core;
	struct fetch fetches[PF_CONFIG_FETCHES_MAX];
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

static void log_fetch_ended(const struct fetch *f, bool ok,
			    const struct pf_http_answer *a)
{
	const struct config_peers *c = f->owner;
	pf_ms now = pf_clock_now();

	c->gateway->counters->v[PF_GC_CONFIG_FETCH_FAILED] += !ok;
	PF_LOG(&c->gateway->log, ok ? PF_LOG_INFO : PF_LOG_WARN,
	       "config_fetched", PF_KV_INT("result", a->result),
	       PF_KV_INT("status", a->status), PF_KV_INT("bytes", a->body.n),
	       PF_KV_INT("ms", now - f->started_at),
	       PF_KV_INT("behind_ms", c->core.behind_since
					      ? now - c->core.behind_since
					      : 0));
}

static void on_fetched(void *ctx, const struct pf_http_answer *a)
{
	bool ok = a->result == PF_HTTP_OK && a->status == HTTP_OK;
	struct fetch *f = ctx;
	struct config_peers *c = f->owner;

	log_fetch_ended(f, ok, a);
	pf_config_fetch_ended(&c->core, pf_clock_now(),
			      (uint32_t)(f - c->fetches), ok);
	if (ok && feeds_read_config(c->gateway, a->body) == 0)
		c->gateway->counters->v[PF_GC_CONFIG_FROM_PEER]++;
}

static void start_fetch(struct config_peers *c, uint32_t slot,
			const struct sockaddr_in *from)
{
	struct fetch *f = &c->fetches[slot];
	struct pf_http_request r = { .method = "GET",
				     .target = PATH,
				     .timeout = PF_CONFIG_FETCH_TIMEOUT_MS,
				     .done = on_fetched,
				     .ctx = f };
	char ip[INET_ADDRSTRLEN] = "";
	char addr[ADDR_CAP];
	struct pf_http_opts o = { .base = c->gateway->base,
				  .addr = addr,
				  .conns_max = 1,
				  .body_max = CONFIG_BYTES_MAX };
	pf_ms now = pf_clock_now();

	inet_ntop(AF_INET, &from->sin_addr, ip, sizeof(ip));
	evutil_snprintf(addr, sizeof(addr), "%s:%u", ip,
			(unsigned int)ntohs(from->sin_port));
	/* Without a callback from a fetch that has taken too long. */
	pf_http_free(f->peer);
	f->owner = c;
	f->started_at = now;
	f->peer = pf_http_new(&o);
	PF_LOG(&c->gateway->log, PF_LOG_INFO, "config_fetch",
	       PF_KV_STR("from", addr), PF_KV_INT("version", c->core.told),
	       PF_KV_INT("store_age_ms", feeds_store_age(c->gateway, now)));
	if (!f->peer || !pf_http_start(f->peer, &r))
		pf_config_fetch_ended(&c->core, now, slot, false);
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
	       (g->config_peers->core.told > own_version(g) && is_unsure(g));
}

static uint64_t peer_key(const struct sockaddr_in *addr)
{
	return (uint64_t)ntohl(addr->sin_addr.s_addr) << 16 |
	       ntohs(addr->sin_port);
}

bool config_on_peer_view(struct gateway *g, const struct sockaddr_in *from,
			 uint64_t version)
{
	struct config_peers *c = g->config_peers;
	const struct pf_config_stated s = {
		.peer = peer_key(from),
		.version = version,
		.own_version = own_version(g),
		.store_away = feeds_config_away(g) || is_unsure(g),
	};
	uint32_t slot;

	c->peer_heard = true;
	if (pf_config_fetch_due(&c->core, pf_clock_now(), &s, &slot))
		start_fetch(c, slot, from);
	return version > s.own_version;
}

void config_in_force(struct gateway *g, struct pf_str row)
{
	const struct platform_config in_force = { .routes = g->routes,
						  .keys = g->keys };
	struct config_peers *c = g->config_peers;

	pf_config_fetch_in_force(&c->core);
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
	c->server = pf_http_server_new(g->base, fd, CONN_IDLE_TIMEOUT_S);
	if (!c->server)
		return -1;
	evhttp_set_cb(c->server, PATH, on_get, c);
	return 0;
}

void config_peers_stop(struct gateway *g)
{
	struct config_peers *c = g->config_peers;
	uint32_t i;

	if (!c)
		return;
	if (c->server)
		evhttp_free(c->server);
	for (i = 0; i < PF_CONFIG_FETCHES_MAX; i++)
		pf_http_free(c->fetches[i].peer);
	pf_text_free(&c->row);
	free(c);
}
