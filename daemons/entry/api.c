/* POST /v1/chat/completions, POST /v1/completions, GET /v1/models. */
#include "daemon.h"

#include <event2/buffer.h>
#include <jansson.h>
#include <openssl/sha.h>
#include <stdlib.h>
#include <string.h>

/* Leading prompt bytes that are hashed for routing by cached prefix. */
#define PREFIX_MAX_BYTES 512
#define MESSAGES_MAX 4096
#define TOKENS_MAX (1u << 20)
#define DEFAULT_MAX_TOKENS 1024

static const struct pf_oai_limits parse_limits = {
	.max_tokens = TOKENS_MAX,
	.default_tokens = DEFAULT_MAX_TOKENS,
	.messages_max = MESSAGES_MAX,
};

static void hex_digest(const char *key, char out[2 * SHA256_DIGEST_LENGTH + 1])
{
	static const char digits[] = "0123456789abcdef";
	unsigned char md[SHA256_DIGEST_LENGTH];
	size_t i;

	SHA256((const unsigned char *)key, strlen(key), md);
	for (i = 0; i < sizeof(md); i++) {
		out[2 * i] = digits[md[i] >> 4];
		out[2 * i + 1] = digits[md[i] & 15];
	}
	out[2 * sizeof(md)] = '\0';
}

const struct pf_caller *api_authenticate(struct daemon *d, struct conn *c,
					 evhtp_request_t *req)
{
	const char *auth = evhtp_header_find(req->headers_in, "Authorization");
	char digest[2 * SHA256_DIGEST_LENGTH + 1];
	const struct pf_caller *caller = NULL;
	struct pf_oai_failure not_ready = pf_oai_failure_of(
		PF_REASON_NOT_READY, PF_NOT_RUN, d->settings.poll);

	if (!d->config) {
		answer_failure(c, req, 503, &not_ready);
		return NULL;
	}
	if (auth && strncasecmp(auth, "Bearer ", 7) == 0) {
		hex_digest(auth + 7, digest);
		caller = pf_config_caller_by_key(d->config, pf_str_c(digest));
	}
	if (!caller) {
		d->counters.v[PF_EC_UNAUTHORIZED]++;
		answer_refused(c, req, 401, "unauthorized",
			       "a valid API key is required: Authorization: "
			       "Bearer KEY");
	}
	return caller;
}

static bool may_call(const struct pf_config *cfg,
		     const struct pf_caller *caller, uint64_t model)
{
	const struct pf_model *m = pf_config_model(cfg, model);
	size_t i;

	if (caller->n_models == 0)
		return true;
	for (i = 0; m && i < caller->n_models; i++) {
		if (caller->models[i] == m->name_id)
			return true;
	}
	return false;
}

static void fill_work(struct pf_work *w, const struct pf_caller *caller,
		      const struct pf_oai_request *q)
{
	struct pf_str prompt = { q->prompt, q->prompt_len };
	struct pf_str head = prompt;
	pf_ms now = pf_clock_now();

	if (head.n > PREFIX_MAX_BYTES)
		head.n = PREFIX_MAX_BYTES;
	w->caller = caller->id;
	w->prefix = pf_id2(w->model, pf_id(head));
	w->fingerprint = pf_id2(pf_id2(caller->id, w->model), pf_id(prompt));
	w->prompt_tokens = pf_oai_prompt_tokens(q->prompt_len);
	w->max_tokens = q->max_tokens;
	w->flags = caller->deferrable ? PF_WORK_DEFERRABLE : 0;
	w->priority = caller->priority;
	w->arrived = now;
	w->first_token_objective =
		caller->first_token_objective_ms
			? now + caller->first_token_objective_ms
			: PF_NEVER;
	w->token_gap_objective_ms = caller->token_gap_objective_ms;
	w->answer_objective = caller->answer_objective_ms
				      ? now + caller->answer_objective_ms
				      : PF_NEVER;
	w->deadline =
		caller->deadline_ms ? now + caller->deadline_ms : PF_NEVER;
}

/* Submits a validated request to the core; takes ownership of the prompt. */
static void submit(struct daemon *d, struct conn *c, evhtp_request_t *req,
		   struct pf_oai_request *q, const struct pf_work *w)
{
	struct pf_entry_msg m = { .type = PF_ENTRY_ARRIVE };
	struct request *r = requests_new(d, c, req);

	if (!r ||
	    pf_oai_response_init(&r->shape, q->kind, r->id, pf_str_c(q->model),
				 pf_clock_wall() / 1000) < 0) {
		struct pf_oai_failure full =
			pf_oai_failure_of(PF_REASON_FULL, PF_NOT_RUN, 1000);

		if (r)
			requests_free(r);
		answer_failure(c, req, 503, &full);
		return;
	}
	r->stream = q->stream;
	r->include_usage = q->include_usage;
	r->prompt_tokens = w->prompt_tokens;
	r->payload.body = (struct pf_str){ q->prompt, q->prompt_len };
	q->prompt = NULL;
	m.u.arrive.request = r->id;
	m.u.arrive.work = *w;
	entry_step(d, &m);
}

static bool prefers_async(evhtp_request_t *req)
{
	const char *prefer = evhtp_header_find(req->headers_in, "Prefer");

	return prefer && strcasestr(prefer, "respond-async");
}

/*
 * Submits a draft to the core without objectives or deadline: the answer is
 * stored whole, and no caller waits for it.
 */
static int submit_draft(struct daemon *d, uint64_t seq,
			struct pf_oai_request *q, const struct pf_work *w)
{
	struct pf_entry_msg m = { .type = PF_ENTRY_ARRIVE };
	struct request *r = requests_new(d, NULL, NULL);

	if (!r)
		return -1;
	if (pf_oai_response_init(&r->shape, q->kind, r->id, pf_str_c(q->model),
				 pf_clock_wall() / 1000) < 0) {
		requests_free(r);
		return -1;
	}
	r->draft_seq = seq;
	r->prompt_tokens = w->prompt_tokens;
	r->payload.body = (struct pf_str){ q->prompt, q->prompt_len };
	q->prompt = NULL;
	m.u.arrive.request = r->id;
	m.u.arrive.work = *w;
	m.u.arrive.work.flags |= PF_WORK_DEFERRABLE;
	m.u.arrive.work.first_token_objective = PF_NEVER;
	m.u.arrive.work.answer_objective = PF_NEVER;
	m.u.arrive.work.deadline = PF_NEVER;
	entry_step(d, &m);
	return 0;
}

static void fail_draft(struct daemon *d, uint64_t seq, enum pf_reason reason)
{
	struct pf_oai_failure f = pf_oai_failure_of(reason, PF_NOT_RUN, 0);
	struct pf_text t = { 0 };

	pf_oai_failure_body(&f, &t);
	drafts_run_done(d, seq, true, pf_oai_http_status(reason),
			pf_text_str(&t));
	pf_text_free(&t);
}

void api_draft_run(struct daemon *d, uint64_t seq, uint64_t caller_id,
		   enum pf_oai_kind kind, struct pf_str body)
{
	const struct pf_caller *caller =
		d->config ? pf_config_caller(d->config, caller_id) : NULL;
	struct pf_work w = { 0 };
	struct pf_oai_request q;
	struct pf_oai_error err;

	if (!caller || d->draining) {
		drafts_run_done(d, seq, false, 0, PF_STR(""));
		return;
	}
	if (pf_oai_parse(kind, body, &parse_limits, &q, &err) < 0) {
		fail_draft(d, seq, PF_REASON_BACKEND);
		return;
	}
	if (pf_config_resolve(d->config, pf_str_c(q.model),
			      pf_rng_unit(&d->rng), &w.model, &w.adapter) < 0 ||
	    !may_call(d->config, caller, w.model)) {
		fail_draft(d, seq, PF_REASON_UNKNOWN_MODEL);
	} else {
		fill_work(&w, caller, &q);
		if (submit_draft(d, seq, &q, &w) < 0)
			drafts_run_done(d, seq, false, 0, PF_STR(""));
	}
	pf_oai_request_free(&q);
}

void api_completion(struct daemon *d, struct conn *c, evhtp_request_t *req,
		    enum pf_oai_kind kind)
{
	const struct pf_caller *caller = api_authenticate(d, c, req);
	struct pf_work w = { 0 };
	struct pf_oai_request q;
	struct pf_oai_error err;
	struct pf_str body;

	if (!caller)
		return;
	body.n = evbuffer_get_length(req->buffer_in);
	body.p = (const char *)evbuffer_pullup(req->buffer_in, -1);
	if (pf_oai_parse(kind, body, &parse_limits, &q, &err) < 0) {
		answer_refused(c, req, 400, err.code, err.message);
		return;
	}
	if (pf_config_resolve(d->config, pf_str_c(q.model),
			      pf_rng_unit(&d->rng), &w.model, &w.adapter) < 0) {
		answer_refused(c, req, 404, "unknown_model",
			       "no model or adapter has the name in `model`");
	} else if (!may_call(d->config, caller, w.model)) {
		answer_refused(c, req, 403, "forbidden",
			       "this API key may not use the model in `model`");
	} else {
		fill_work(&w, caller, &q);
		if (prefers_async(req)) {
			drafts_submit(d, c, req, caller, kind, body);
		} else {
			/* The body is parsed; free it before the answer. */
			evbuffer_drain(req->buffer_in, body.n);
			submit(d, c, req, &q, &w);
		}
	}
	pf_oai_request_free(&q);
}

static void add_model(json_t *data, const char *id)
{
	json_array_append_new(data, json_pack("{s:s,s:s,s:i,s:s}", "id", id,
					      "object", "model", "created", 0,
					      "owned_by", "operators"));
}

static json_t *list_models(const struct pf_config *cfg,
			   const struct pf_caller *caller)
{
	json_t *data = json_array();
	struct pf_text t = { 0 };
	uint64_t last = 0;
	size_t i;

	for (i = 0; i < cfg->n_models; i++) {
		const struct pf_model *m = &cfg->models[i];

		/* Versions of a model are adjacent; list the name once. */
		if (m->name_id == last || !may_call(cfg, caller, m->id))
			continue;
		last = m->name_id;
		add_model(data, m->name);
	}
	for (i = 0; i < cfg->n_adapters; i++) {
		const struct pf_adapter *a = &cfg->adapters[i];

		pf_text_reset(&t);
		pf_text_printf(&t, "%s:%s", a->model, a->name);
		if (!t.failed)
			add_model(data, t.p);
	}
	pf_text_free(&t);
	return data;
}

void api_models(struct daemon *d, struct conn *c, evhtp_request_t *req)
{
	const struct pf_caller *caller = api_authenticate(d, c, req);
	json_t *root;
	char *text;

	if (!caller)
		return;
	root = json_pack("{s:s,s:o}", "object", "list", "data",
			 list_models(d->config, caller));
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	answer_bytes(c, req, 200, "application/json", pf_str_c(text));
	free(text);
}
