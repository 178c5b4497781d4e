/* HTTP server for the platform's load balancer (readiness) and metrics. */
#include "gateway.h"

#include "pimentoford/counters.h"
#include "pimentoford/http_server.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <stdlib.h>

#define CONN_IDLE_TIMEOUT_S 30

struct ready_server {
	struct evhttp *http;
};

bool gateway_is_ready(const struct gateway *g)
{
	return g->routes && g->n_endpoints > 0 && !g->stopping_since &&
	       !config_awaits_peers(g);
}

static void on_ready(struct evhttp_request *req, void *ctx)
{
	const struct gateway *g = ctx;

	if (gateway_is_ready(g))
		evhttp_send_reply(req, HTTP_OK, "OK", NULL);
	else
		evhttp_send_reply(req, HTTP_SERVUNAVAIL, "Service Unavailable",
				  NULL);
}

static void set_counters(struct gateway *g, struct pf_gateway_counters *c)
{
	const struct pf_eras *eras = pf_store_eras(g->store);
	struct pf_process_usage u;
	struct pf_gate_stats s;

	pf_gate_stats(g->core, &s);
	pf_process_usage(&u);
	c->v[PF_GC_CONNECTIONS] = g->n_callers;
	c->v[PF_GC_REQUESTS] = s.arrived;
	c->v[PF_GC_ANSWERED] = s.delivered;
	c->v[PF_GC_REFUSED] = s.refused;
	c->v[PF_GC_FAILED] = s.failed;
	c->v[PF_GC_CANCELLED] = s.hangups;
	c->v[PF_GC_OPEN] = s.open;
	c->v[PF_GC_WAITING] = s.waiting;
	c->v[PF_GC_SENT] = s.sent;
	c->v[PF_GC_REPEATS] = s.retries;
	c->v[PF_GC_RETRIES_REJECTED] = s.retries_rejected;
	c->v[PF_GC_PEERS] = s.peers;
	c->v[PF_GC_RESUMED] = s.resumed;
	c->v[PF_GC_RESUMED_UNKNOWN] = s.resumed_unknown;
	c->v[PF_GC_HELD] = s.held;
	c->v[PF_GC_STREAMS_EVICTED] = s.streams_evicted;
	c->v[PF_GC_UNRECORDED] = s.unrecorded;
	c->v[PF_GC_ENDPOINTS] = s.endpoints;
	c->v[PF_GC_VERSION] = g->routes ? g->routes->version : 0;
	c->v[PF_GC_STORE_ERA] =
		eras->newest == PF_ERA_UNKNOWN ? 0 : (uint64_t)eras->newest;
	c->v[PF_GC_STORE_RESTORES] = eras->n_restores;
	c->v[PF_GC_STORE_ERA_ERRORS] =
		(uint64_t)eras->n_falls + pf_store_bad_eras(g->store);
	buffers_set_counters(g, c);
	c->v[PF_GC_CPU_MS] = u.cpu_ms;
	c->v[PF_GC_RSS_KB] = u.rss_kb;
}

static void on_metrics(struct evhttp_request *req, void *ctx)
{
	struct evbuffer *out = evbuffer_new();
	struct gateway *g = ctx;
	struct pf_text t = { 0 };

	set_counters(g, g->counters);
	pf_gateway_counters_text(g->counters, &t);
	allowances_metrics(g, &t);
	if (out && !t.failed && evbuffer_add(out, t.p, t.n) == 0) {
		evhttp_add_header(evhttp_request_get_output_headers(req),
				  "Content-Type", "text/plain");
		evhttp_send_reply(req, HTTP_OK, "OK", out);
	} else {
		evhttp_send_error(req, HTTP_INTERNAL, "out of memory");
	}
	if (out)
		evbuffer_free(out);
	pf_text_free(&t);
}

int ready_start(struct gateway *g)
{
	struct ready_server *r = calloc(1, sizeof(*r));
	int fd = pf_sock_listen(g->settings.ready, 64);

	g->ready_server = r;
	if (!r || fd < 0)
		return -1;
	r->http = pf_http_server_new(g->base, fd, CONN_IDLE_TIMEOUT_S);
	if (!r->http)
		return -1;
	evhttp_set_cb(r->http, "/ready", on_ready, g);
	evhttp_set_cb(r->http, "/metrics", on_metrics, g);
	reports_start(g, r->http);
	return 0;
}

void ready_stop(struct gateway *g)
{
	if (g->ready_server && g->ready_server->http)
		evhttp_free(g->ready_server->http);
	free(g->ready_server);
}
