/* Writes OpenAI-style responses without building a JSON tree per token. */
#include "pimentoford/openai.h"

#include <stdlib.h>
#include <string.h>

/* DEF(reason, HTTP status) */
#define HTTP_STATUSES(DEF)        \
	DEF(NONE, 200)            \
	DEF(FULL, 503)            \
	DEF(NO_MEMORY, 503)       \
	DEF(NOT_RESIDENT, 503)    \
	DEF(LEAVING, 503)         \
	DEF(NOT_READY, 503)       \
	DEF(TOMBSTONE, 503)       \
	DEF(EXPIRED, 504)         \
	DEF(RATE, 429)            \
	DEF(CONCURRENCY, 429)     \
	DEF(OVERLOAD, 503)        \
	DEF(RETRY_BUDGET, 503)    \
	DEF(QUARANTINED, 422)     \
	DEF(UNKNOWN_MODEL, 404)   \
	DEF(TOO_LONG, 400)        \
	DEF(CRASHED, 502)         \
	DEF(LINK, 503)            \
	DEF(CANCELLED, 499)       \
	DEF(STORE_AWAY, 503)      \
	DEF(OUTCOME_UNKNOWN, 409) \
	DEF(KEY_REUSED, 422)      \
	DEF(BACKEND, 502)

static const char *const ran_names[] = { "not_run", "ran", "unknown" };

int pf_oai_http_status(enum pf_reason reason)
{
	switch (reason) {
#define DEF(name, status)      \
	case PF_REASON_##name: \
		return status;
		HTTP_STATUSES(DEF)
#undef DEF
	case PF_REASON_COUNT:
		break;
	}
	return 500;
}

static bool is_unescaped(unsigned char c)
{
	return c >= 0x20 && c != '"' && c != '\\';
}

static void escape_byte(struct pf_text *out, unsigned char c)
{
	switch (c) {
	case '"':
		pf_text_add(out, PF_STR("\\\""));
		break;
	case '\\':
		pf_text_add(out, PF_STR("\\\\"));
		break;
	case '\n':
		pf_text_add(out, PF_STR("\\n"));
		break;
	case '\r':
		pf_text_add(out, PF_STR("\\r"));
		break;
	case '\t':
		pf_text_add(out, PF_STR("\\t"));
		break;
	default:
		pf_text_printf(out, "\\u%04x", c);
	}
}

void pf_json_escape(struct pf_text *out, struct pf_str s)
{
	size_t start = 0;
	size_t i;

	for (i = 0; i < s.n; i++) {
		if (is_unescaped((unsigned char)s.p[i]))
			continue;
		pf_text_add(out, (struct pf_str){ s.p + start, i - start });
		escape_byte(out, (unsigned char)s.p[i]);
		start = i + 1;
	}
	pf_text_add(out, (struct pf_str){ s.p + start, s.n - start });
}

static void add_quoted(struct pf_text *out, const char *s)
{
	pf_text_add(out, PF_STR("\""));
	pf_json_escape(out, pf_str_c(s));
	pf_text_add(out, PF_STR("\""));
}

/* Writes `{"id":..,"object":..,"created":..,"model":..,"choices":[`. */
static void add_members(const struct pf_oai_response *s, const char *object,
			struct pf_text *out)
{
	pf_text_printf(out, "{\"id\":\"%s-%016llx\",\"object\":\"%s\",",
		       s->kind == PF_OAI_CHAT ? "chatcmpl" : "cmpl",
		       (unsigned long long)s->request_id, object);
	pf_text_printf(out,
		       "\"created\":%lld,\"model\":", (long long)s->created);
	add_quoted(out, s->model);
	pf_text_add(out, PF_STR(",\"choices\":["));
}

static const char *chunk_object_name(const struct pf_oai_response *s)
{
	return s->kind == PF_OAI_CHAT ? "chat.completion.chunk"
				      : "text_completion";
}

int pf_oai_response_init(struct pf_oai_response *s, enum pf_oai_kind kind,
			 uint64_t request_id, struct pf_str model,
			 int64_t created)
{
	struct pf_text head = { 0 };

	memset(s, 0, sizeof(*s));
	s->kind = kind;
	s->request_id = request_id;
	s->created = created;
	s->model = pf_str_dup(model);
	if (!s->model)
		return -1;
	pf_text_add(&head, PF_STR("data: "));
	add_members(s, chunk_object_name(s), &head);
	pf_text_add(&head, kind == PF_OAI_CHAT
				   ? PF_STR("{\"index\":0,\"delta\":{"
					    "\"content\":\"")
				   : PF_STR("{\"index\":0,\"text\":\""));
	s->chunk_prefix_len = head.n;
	s->chunk_prefix = pf_text_take(&head);
	if (!s->chunk_prefix) {
		pf_oai_response_free(s);
		return -1;
	}
	return 0;
}

void pf_oai_response_free(struct pf_oai_response *s)
{
	free(s->chunk_prefix);
	free(s->model);
	memset(s, 0, sizeof(*s));
}

void pf_oai_stream_start(const struct pf_oai_response *s, struct pf_text *out)
{
	if (s->kind != PF_OAI_CHAT)
		return;
	pf_text_add(out, PF_STR("data: "));
	add_members(s, chunk_object_name(s), out);
	pf_text_add(out, PF_STR("{\"index\":0,\"delta\":{\"role\":"
				"\"assistant\",\"content\":\"\"},"
				"\"finish_reason\":null}]}\n\n"));
}

void pf_oai_stream_text(const struct pf_oai_response *s, struct pf_str text,
			struct pf_text *out)
{
	pf_text_add(out,
		    (struct pf_str){ s->chunk_prefix, s->chunk_prefix_len });
	pf_json_escape(out, text);
	pf_text_add(out, s->kind == PF_OAI_CHAT
				 ? PF_STR("\"},\"finish_reason\":null}]}\n\n")
				 : PF_STR("\",\"finish_reason\":null}]}\n\n"));
}

static void add_usage(const struct pf_oai_usage *u, struct pf_text *out)
{
	pf_text_printf(
		out,
		"\"usage\":{\"prompt_tokens\":%u,\"completion_tokens\":%u,"
		"\"total_tokens\":%llu}",
		u->prompt_tokens, u->output_tokens,
		(unsigned long long)u->prompt_tokens + u->output_tokens);
}

static const char *finish_reason_name(bool at_limit)
{
	return at_limit ? "length" : "stop";
}

void pf_oai_stream_end(const struct pf_oai_response *s, bool at_limit,
		       const struct pf_oai_usage *usage, struct pf_text *out)
{
	pf_text_add(out, PF_STR("data: "));
	add_members(s, chunk_object_name(s), out);
	pf_text_printf(out, "{\"index\":0,%s,\"finish_reason\":\"%s\"}]}\n\n",
		       s->kind == PF_OAI_CHAT ? "\"delta\":{}"
					      : "\"text\":\"\"",
		       finish_reason_name(at_limit));
	if (usage) {
		pf_text_add(out, PF_STR("data: "));
		add_members(s, chunk_object_name(s), out);
		pf_text_add(out, PF_STR("],"));
		add_usage(usage, out);
		pf_text_add(out, PF_STR("}\n\n"));
	}
	pf_text_add(out, PF_STR("data: [DONE]\n\n"));
}

void pf_oai_response_body(const struct pf_oai_response *s, struct pf_str text,
			  bool at_limit, const struct pf_oai_usage *usage,
			  struct pf_text *out)
{
	bool chat = s->kind == PF_OAI_CHAT;

	add_members(s, chat ? "chat.completion" : "text_completion", out);
	pf_text_add(out, chat ? PF_STR("{\"index\":0,\"message\":{\"role\":"
				       "\"assistant\",\"content\":\"")
			      : PF_STR("{\"index\":0,\"text\":\""));
	pf_json_escape(out, text);
	pf_text_printf(out, "\"%s,\"finish_reason\":\"%s\"}],", chat ? "}" : "",
		       finish_reason_name(at_limit));
	add_usage(usage, out);
	pf_text_add(out, PF_STR("}"));
}

struct pf_oai_failure pf_oai_failure_of(enum pf_reason reason, enum pf_ran ran,
					pf_ms retry_after)
{
	struct pf_oai_failure f = { .code = pf_reason_code(reason),
				    .message = pf_reason_text(reason),
				    .ran = ran,
				    .retry_after = retry_after };

	return f;
}

void pf_oai_failure_body(const struct pf_oai_failure *f, struct pf_text *out)
{
	pf_text_add(out, PF_STR("{\"error\":{\"code\":"));
	add_quoted(out, f->code);
	pf_text_add(out, PF_STR(",\"message\":"));
	add_quoted(out, f->message);
	pf_text_printf(out, ",\"ran\":\"%s\",\"retry_after_ms\":%lld}}",
		       ran_names[f->ran], (long long)f->retry_after);
}

void pf_oai_stream_failure(const struct pf_oai_failure *f, struct pf_text *out)
{
	pf_text_add(out, PF_STR("event: error\ndata: "));
	pf_oai_failure_body(f, out);
	pf_text_add(out, PF_STR("\n\n"));
}
