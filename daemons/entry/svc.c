/* Calls to plain services: /svc/NAME/... */
#include "daemon.h"

#include "pimentoford/claim.h"

#include <event2/buffer.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define IDEM_KEY_MAX 256

/* DEF(name): methods that are forwarded to services. */
#define METHODS(DEF) \
	DEF(GET)     \
	DEF(POST)    \
	DEF(PUT)     \
	DEF(DELETE)  \
	DEF(HEAD)    \
	DEF(PATCH)   \
	DEF(OPTIONS)

static const char *method_name(htp_method m)
{
	switch (m) {
#define DEF(name)               \
	case htp_method_##name: \
		return #name;
		METHODS(DEF)
#undef DEF
	default:
		return NULL;
	}
}

/* Splits "/svc/NAME/rest" into "NAME" and "/rest". 0, or -1: no name. */
static int split_path(const char *path, struct pf_str *name, const char **rest)
{
	const char *p = path + strlen("/svc/");
	const char *slash = strchr(p, '/');

	name->p = p;
	name->n = slash ? (size_t)(slash - p) : strlen(p);
	*rest = slash ? slash : "/";
	return name->n > 0 ? 0 : -1;
}

static void fill_work(struct daemon *d, struct pf_work *w,
		      const struct pf_caller *caller,
		      const struct pf_service *svc, const struct pf_payload *p)
{
	pf_ms now = pf_clock_now();
	uint64_t call = pf_id2(pf_id(p->method), pf_id(p->path));

	w->caller = caller->id;
	w->model = svc->id;
	w->flags = PF_WORK_PLAIN;
	if (!pf_service_repeatable(svc, p->method, p->path))
		w->flags |= PF_WORK_NEVER_REPEAT;
	if (caller->deferrable)
		w->flags |= PF_WORK_DEFERRABLE;
	w->fingerprint = pf_id2(pf_id2(caller->id, svc->id),
				pf_id2(call, pf_id(p->body)));
	if (p->idem_key.n > 0)
		w->idem_key = pf_id2(caller->id, pf_id(p->idem_key));
	if (w->idem_key && (w->flags & PF_WORK_NEVER_REPEAT))
		w->adapter = pf_claim_shard_id(
			svc->id, pf_claim_shard(w->idem_key, d->claim_shards));
	w->priority = caller->priority;
	w->arrived = now;
	w->first_token_objective =
		caller->first_token_objective_ms
			? now + caller->first_token_objective_ms
			: PF_NEVER;
	w->answer_objective = caller->answer_objective_ms
				      ? now + caller->answer_objective_ms
				      : PF_NEVER;
	w->deadline =
		caller->deadline_ms ? now + caller->deadline_ms : PF_NEVER;
}

static void submit(struct daemon *d, struct conn *c, evhtp_request_t *req,
		   const struct pf_caller *caller, const struct pf_service *svc,
		   const struct pf_payload *p)
{
	struct pf_entry_msg m = { .type = PF_ENTRY_ARRIVE };
	struct request *r = requests_new(d, c, req);

	if (!r || payload_copy(&r->payload, p) < 0) {
		struct pf_oai_failure full =
			pf_oai_failure_of(PF_REASON_FULL, PF_NOT_RUN, 1000);

		if (r)
			requests_free(r);
		answer_failure(c, req, 503, &full);
		return;
	}
	r->plain = true;
	fill_work(d, &m.u.arrive.work, caller, svc, &r->payload);
	m.u.arrive.request = r->id;
	entry_step(d, &m);
}

void svc_call(struct daemon *d, struct conn *c, evhtp_request_t *req)
{
	const struct pf_caller *caller = api_authenticate(d, c, req);
	const char *type = evhtp_header_find(req->headers_in, "Content-Type");
	const char *key = evhtp_header_find(req->headers_in, "Idempotency-Key");
	const char *query = (const char *)req->uri->query_raw;
	const struct pf_service *svc = NULL;
	struct pf_payload p = { 0 };
	struct pf_text target = { 0 };
	struct pf_str name;
	const char *rest;

	if (!caller)
		return;
	if (split_path(req->uri->path->full, &name, &rest) == 0)
		svc = pf_config_service(d->config, pf_id(name));
	p.method = pf_str_c(method_name(req->method));
	if (!svc) {
		answer_refused(c, req, 404, "unknown_service",
			       "no service has the name in the path");
		return;
	}
	if (!p.method.p) {
		answer_refused(c, req, 405, "method_not_allowed",
			       "this method is not forwarded to services");
		return;
	}
	if (key && strlen(key) > IDEM_KEY_MAX) {
		answer_refused(c, req, 400, "invalid_request",
			       "Idempotency-Key is longer than 256 bytes");
		return;
	}
	pf_text_printf(&target, query ? "%s?%s" : "%s", rest, query);
	p.path = pf_text_str(&target);
	p.content_type = pf_str_c(type);
	p.idem_key = pf_str_c(key);
	p.body.n = evbuffer_get_length(req->buffer_in);
	p.body.p = (const char *)evbuffer_pullup(req->buffer_in, -1);
	submit(d, c, req, caller, svc, &p);
	pf_text_free(&target);
}
