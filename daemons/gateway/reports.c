/*
 * Read-only reports for operators, as JSON at the metrics address. They name
 * client accounts, never their keys.
 */
#include "gateway.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <jansson.h>
#include <stdlib.h>

/* Answers with @body and releases it; NULL: memory ran out. */
static void send_json(struct evhttp_request *req, int status,
		      const char *phrase, json_t *body)
{
	char *text = body ? json_dumps(body, JSON_COMPACT) : NULL;
	struct evbuffer *out = evbuffer_new();

	json_decref(body);
	if (text && out && evbuffer_add_printf(out, "%s\n", text) >= 0) {
		evhttp_add_header(evhttp_request_get_output_headers(req),
				  "Content-Type", "application/json");
		evhttp_send_reply(req, status, phrase, out);
	} else {
		evhttp_send_error(req, HTTP_INTERNAL, "out of memory");
	}
	if (out)
		evbuffer_free(out);
	free(text);
}

/* Whether @req is a GET; else answers it. */
static bool is_get(struct evhttp_request *req)
{
	if (evhttp_request_get_command(req) == EVHTTP_REQ_GET)
		return true;
	send_json(req, HTTP_BADMETHOD, "Method Not Allowed",
		  json_pack("{s:s}", "error", "only GET is allowed"));
	return false;
}

static json_t *outcomes_json(const struct gateway *g, uint64_t account)
{
	static const char *const codes[] = {
#define DEF(name, code) code,
		ACCOUNT_OUTCOMES(DEF)
#undef DEF
	};
	uint64_t n[ACCOUNT_OUTCOME_COUNT];
	json_t *o = json_object();
	int i;

	account_counts_get(g, account, n);
	for (i = 0; i < ACCOUNT_OUTCOME_COUNT; i++)
		json_object_set_new(o, codes[i],
				    json_integer((json_int_t)n[i]));
	return o;
}

static void add_allowance(const struct gateway *g, uint64_t account, json_t *o)
{
	struct pf_allowance_view v;
	struct pf_text home = { 0 };

	if (!allowances_view(g, account, &v))
		return;
	allowances_home(g, v.home, &home);
	json_object_set_new(o, "mode",
			    json_string(pf_allowance_mode_code(v.mode)));
	json_object_set_new(o, "home",
			    home.n ? json_string(home.p) : json_null());
	json_object_set_new(o, "used_here", json_real(v.in_window));
	/* A level that no home has told is not known. */
	json_object_set_new(o, "left",
			    v.level_age < 0 ? json_null() : json_real(v.level));
	json_object_set_new(o, "age_ms", json_integer(v.level_age));
	pf_text_free(&home);
}

static json_t *account_json(const struct gateway *g,
			    const struct pf_client_account *a)
{
	bool limited = a->limit.rate_per_s > 0;
	json_t *o = json_pack("{s:s, s:i, s:o}", "name", a->name, "priority",
			      a->priority, "requests", outcomes_json(g, a->id));

	if (!o || !limited)
		return o;
	json_object_set_new(o, "limit",
			    json_pack("{s:s, s:f, s:f}", "unit",
				      a->limit.unit == PF_ALLOWANCE_TOKENS
					      ? "tokens"
					      : "requests",
				      "rate_per_s", a->limit.rate_per_s,
				      "burst", a->limit.burst));
	add_allowance(g, a->id, o);
	return o;
}

static void on_accounts(struct evhttp_request *req, void *ctx)
{
	const struct gateway *g = ctx;
	json_t *list;
	uint32_t i;

	if (!is_get(req))
		return;
	list = json_array();
	for (i = 0; g->routes && i < g->routes->n_accounts; i++)
		json_array_append_new(list,
				      account_json(g, &g->routes->accounts[i]));
	send_json(req, HTTP_OK, "OK",
		  json_pack("{s:s, s:I, s:b, s:I, s:o}", "gateway",
			    g->settings.common.name, "config_version",
			    (json_int_t)(g->routes ? g->routes->version : 0),
			    "enforced", g->allowance != NULL, "window_ms",
			    (json_int_t)g->settings.allowance.window,
			    "accounts", list));
}

void reports_start(struct gateway *g, struct evhttp *http)
{
	evhttp_set_cb(http, "/accounts", on_accounts, g);
}
