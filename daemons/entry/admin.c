/*
 * /metrics, /healthz, /readyz, and the operators' interface under /admin/,
 * where requests carry the deployment's key as their bearer key.
 */
#include "daemon.h"

#include <jansson.h>
#include <openssl/crypto.h>
#include <stdlib.h>
#include <string.h>

static bool is_ready(const struct daemon *d)
{
	return d->config && !d->draining;
}

static void update_counters(struct daemon *d)
{
	const struct pf_rpc_stats *rpc = pf_rpc_stats(d->rpc);
	struct pf_spread_stats spread;
	struct pf_entry_stats st;
	struct pf_process_usage u;
	uint64_t *v = d->counters.v;
	struct link *l;

	pf_entry_stats(d->core, &st);
	pf_process_usage(&u);
	v[PF_EC_CONNECTIONS] = d->n_conns;
	v[PF_EC_OPEN] = st.open;
	v[PF_EC_WAITING] = st.waiting;
	v[PF_EC_RETRIES] = st.retries;
	v[PF_EC_RESUMES] = st.resumes;
	v[PF_EC_SUSPECTS] = st.suspects;
	v[PF_EC_QUARANTINED] = st.quarantined;
	v[PF_EC_SESSIONS] = 0;
	LIST_FOREACH(l, &d->links, next)
	v[PF_EC_SESSIONS] += pf_rpc_is_up(l->session);
	v[PF_EC_RPC_IN] = rpc->messages_in;
	v[PF_EC_RPC_OUT] = rpc->messages_out;
	v[PF_EC_RPC_BYTES_IN] = rpc->bytes_in;
	v[PF_EC_RPC_BYTES_OUT] = rpc->bytes_out;
	v[PF_EC_RPC_BAD] = rpc->bad_records + rpc->oversize_records;
	v[PF_EC_RPC_AUTH_FAILED] = rpc->strangers;
	pf_config_follower_stats(d->follower, &spread);
	v[PF_EC_TABLE_READS] = spread.reads;
	v[PF_EC_TABLE_ERRORS] = spread.read_errors;
	drafts_update_counters(d);
	v[PF_EC_CPU_MS] = u.cpu_ms;
	v[PF_EC_RSS_KB] = u.rss_kb;
}

static void metrics(struct daemon *d, struct conn *c, evhtp_request_t *req)
{
	struct pf_text t = { 0 };

	update_counters(d);
	pf_entry_counters_text(&d->counters, &t);
	answer_bytes(c, req, 200, "text/plain; version=0.0.4", pf_text_str(&t));
	pf_text_free(&t);
}

void status_route(struct daemon *d, struct conn *c, evhtp_request_t *req)
{
	const char *path = req->uri->path->full;

	if (strcmp(path, "/metrics") == 0)
		metrics(d, c, req);
	else if (strcmp(path, "/healthz") == 0)
		answer_bytes(c, req, 200, "text/plain", PF_STR("ok\n"));
	else if (strcmp(path, "/readyz") == 0 && is_ready(d))
		answer_bytes(c, req, 200, "text/plain", PF_STR("ready\n"));
	else if (strcmp(path, "/readyz") == 0)
		answer_bytes(c, req, 503, "text/plain", PF_STR("not ready\n"));
	else
		answer_refused(c, req, 404, "not_found",
			       "this server has no such path");
}

static void answer_json(struct conn *c, evhtp_request_t *req, json_t *root)
{
	char *text = json_dumps(root, JSON_COMPACT);

	json_decref(root);
	answer_bytes(c, req, 200, "application/json", pf_str_c(text));
	free(text);
}

static json_t *list_agents(struct daemon *d)
{
	json_t *arr = json_array();
	struct link *l;

	LIST_FOREACH(l, &d->links, next)
	{
		const struct pf_endpoint *ep =
			l->id ? pf_config_endpoint(d->config, l->id) : NULL;

		if (!ep)
			continue;
		json_array_append_new(arr,
				      json_pack("{s:s,s:s,s:s,s:b}", "endpoint",
						ep->name, "agent", l->addr,
						"zone", ep->zone, "up",
						(int)pf_rpc_is_up(l->session)));
	}
	return arr;
}

static void status(struct daemon *d, struct conn *c, evhtp_request_t *req)
{
	json_t *root;

	update_counters(d);
	root = json_pack(
		"{s:s,s:s,s:s,s:b,s:b,s:I,s:I,s:I,s:I,s:I,s:I,s:o}", "entry",
		d->settings.common.name, "zone", d->settings.common.zone,
		"region", d->settings.common.region, "ready", (int)is_ready(d),
		"draining", (int)d->draining, "revision",
		(json_int_t)d->counters.v[PF_EC_REVISION], "alive",
		(json_int_t)d->counters.v[PF_EC_OPEN], "waiting",
		(json_int_t)d->counters.v[PF_EC_WAITING], "answered",
		(json_int_t)d->counters.v[PF_EC_ANSWERED], "drafts_open",
		(json_int_t)d->counters.v[PF_EC_DRAFTS_OPEN], "draft_oldest_ms",
		(json_int_t)d->counters.v[PF_EC_DRAFT_OLDEST_MS], "agents",
		d->config ? list_agents(d) : json_array());
	answer_json(c, req, root);
}

static void records(struct daemon *d, struct conn *c, evhtp_request_t *req)
{
	answer_bytes(c, req, 200, "application/toml", pf_str_c(d->config_text));
}

static bool is_operator(const struct daemon *d, evhtp_request_t *req)
{
	const char *auth = evhtp_header_find(req->headers_in, "Authorization");
	size_t n = strlen(d->key);

	return auth && strncasecmp(auth, "Bearer ", 7) == 0 &&
	       strlen(auth + 7) == n && CRYPTO_memcmp(auth + 7, d->key, n) == 0;
}

struct admin_path {
	const char *path;
	htp_method method;
	void (*handle)(struct daemon *d, struct conn *c, evhtp_request_t *req);
};

static const struct admin_path paths[] = {
	{ "/admin/status", htp_method_GET, status },
	{ "/admin/records", htp_method_GET, records },
	{ "/admin/apply", htp_method_POST, admin_apply },
	{ "/admin/drain", htp_method_POST, admin_drain },
	{ "/admin/audit", htp_method_GET, admin_audit },
};

void admin_route(struct daemon *d, struct conn *c, evhtp_request_t *req)
{
	size_t i;

	if (!is_operator(d, req)) {
		d->counters.v[PF_EC_UNAUTHORIZED]++;
		answer_refused(
			c, req, 401, "unauthorized",
			"the deployment's key is required as the bearer key");
		return;
	}
	for (i = 0; i < sizeof(paths) / sizeof(paths[0]); i++) {
		if (strcmp(paths[i].path, req->uri->path->full) != 0 ||
		    paths[i].method != req->method)
			continue;
		paths[i].handle(d, c, req);
		return;
	}
	answer_refused(c, req, 404, "not_found",
		       "no admin operation has this method and path");
}
