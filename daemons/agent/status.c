/* HTTP server for /metrics, /healthz and /readyz. */
#include "daemon.h"

#include <evhtp/evhtp.h>
#include <stdlib.h>
#include <string.h>

#define LISTEN_BACKLOG 64

static void reply(evhtp_request_t *req, evhtp_res code, const char *type,
		  struct pf_str body)
{
	evhtp_headers_add_header(req->headers_out,
				 evhtp_header_new("Content-Type", type, 0, 0));
	evbuffer_add(req->buffer_out, body.p, body.n);
	evhtp_send_reply(req, code);
}

static bool is_ready(const struct daemon *d)
{
	return d->core && d->watch.state == ENGINE_UP && !d->leaving;
}

static void refresh_counters(struct daemon *d)
{
	const struct pf_rpc_stats *rpc = pf_rpc_stats(d->rpc);
	struct pf_agent_stats st = { 0 };
	struct pf_process_usage u;
	uint64_t *v = d->counters.v;

	if (d->core)
		pf_agent_stats(d->core, &st);
	pf_process_usage(&u);
	v[PF_AC_ADMITTED] = st.admitted;
	v[PF_AC_REVOKED] = st.revoked;
	v[PF_AC_COMPLETED] = st.completed;
	v[PF_AC_LOST] = st.lost;
	v[PF_AC_PAUSED] = st.paused;
	v[PF_AC_RUNNING] = st.running;
	v[PF_AC_QUEUED] = st.queued;
	v[PF_AC_COMMITTED] = (uint64_t)st.committed_bytes;
	v[PF_AC_COMMITTED_PEAK] = (uint64_t)st.committed_peak;
	v[PF_AC_MEMORY] = (uint64_t)d->memory_bytes;
	v[PF_AC_LOADS] = st.loads;
	v[PF_AC_UNLOADS] = st.unloads;
	v[PF_AC_SESSIONS] = d->n_links;
	v[PF_AC_RPC_IN] = rpc->messages_in;
	v[PF_AC_RPC_OUT] = rpc->messages_out;
	v[PF_AC_RPC_BYTES_IN] = rpc->bytes_in;
	v[PF_AC_RPC_BYTES_OUT] = rpc->bytes_out;
	v[PF_AC_RPC_BAD] = rpc->bad_records + rpc->oversize_records;
	v[PF_AC_RPC_AUTH_FAILED] = rpc->strangers;
	v[PF_AC_CPU_MS] = u.cpu_ms;
	v[PF_AC_RSS_KB] = u.rss_kb;
}

static void on_metrics(evhtp_request_t *req, void *ctx)
{
	struct daemon *d = ctx;
	struct pf_text t = { 0 };

	refresh_counters(d);
	pf_agent_counters_text(&d->counters, &t);
	reply(req, EVHTP_RES_OK, "text/plain; version=0.0.4", pf_text_str(&t));
	pf_text_free(&t);
}

static void on_health(evhtp_request_t *req, void *ctx)
{
	(void)ctx;
	reply(req, EVHTP_RES_OK, "text/plain", PF_STR("ok\n"));
}

static void on_ready(evhtp_request_t *req, void *ctx)
{
	if (is_ready(ctx))
		reply(req, EVHTP_RES_OK, "text/plain", PF_STR("ready\n"));
	else
		reply(req, EVHTP_RES_SERVUNAVAIL, "text/plain",
		      PF_STR("not ready\n"));
}

static void on_unknown_path(evhtp_request_t *req, void *ctx)
{
	(void)ctx;
	reply(req, EVHTP_RES_NOTFOUND, "text/plain", PF_STR("not found\n"));
}

int status_start(struct daemon *d)
{
	struct sockaddr_storage ss;
	int len = sizeof(ss);

	d->status_server = evhtp_new(d->base, NULL);
	if (!d->status_server ||
	    evutil_parse_sockaddr_port(d->settings.metrics,
				       (struct sockaddr *)&ss, &len) < 0)
		return -1;
	evhtp_set_cb(d->status_server, "/metrics", on_metrics, d);
	evhtp_set_cb(d->status_server, "/healthz", on_health, d);
	evhtp_set_cb(d->status_server, "/readyz", on_ready, d);
	evhtp_set_gencb(d->status_server, on_unknown_path, d);
	return evhtp_bind_sockaddr(d->status_server, (struct sockaddr *)&ss,
				   (size_t)len, LISTEN_BACKLOG);
}

void status_stop(struct daemon *d)
{
	if (!d->status_server)
		return;
	evhtp_unbind_socket(d->status_server);
	evhtp_free(d->status_server);
}
