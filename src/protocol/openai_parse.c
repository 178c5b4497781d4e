/* Parses and validates completion and chat bodies. */
#include "pimentoford/openai.h"

#include <jansson.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* The engines count one token per four bytes, rounded up. */
#define PROMPT_BYTES_PER_TOKEN 4
#define MODEL_NAME_BYTES_MAX 256

struct check {
	const struct pf_oai_limits *limits;
	struct pf_oai_request *out;
	struct pf_oai_error *err;
};

__attribute__((format(printf, 3, 4))) static int
set_error(struct check *c, const char *code, const char *fmt, ...)
{
	va_list ap;

	c->err->code = code;
	va_start(ap, fmt);
	vsnprintf(c->err->message, sizeof(c->err->message), fmt, ap);
	va_end(ap);
	return -1;
}

static int set_no_memory(struct check *c)
{
	return set_error(c, "no_memory", "out of memory");
}

static int check_model(struct check *c, const json_t *root)
{
	const json_t *v = json_object_get(root, "model");
	size_t n = json_string_length(v);

	if (!json_is_string(v) || n == 0 || n > MODEL_NAME_BYTES_MAX)
		return set_error(c, "invalid_request",
				 "`model` must be a string of 1 to %d bytes",
				 MODEL_NAME_BYTES_MAX);
	c->out->model = strdup(json_string_value(v));
	return c->out->model ? 0 : set_no_memory(c);
}

static int check_tokens(struct check *c, const json_t *root)
{
	const char *key = "max_tokens";
	const json_t *v = json_object_get(root, key);

	if (!v) {
		key = "max_completion_tokens";
		v = json_object_get(root, key);
	}
	c->out->max_tokens = c->limits->default_tokens;
	if (!v || json_is_null(v))
		return 0;
	if (!json_is_integer(v) || json_integer_value(v) < 1 ||
	    json_integer_value(v) > c->limits->max_tokens)
		return set_error(c, "invalid_request",
				 "`%s` must be an integer from 1 to %u", key,
				 c->limits->max_tokens);
	c->out->max_tokens = (uint32_t)json_integer_value(v);
	return 0;
}

static int check_bool(struct check *c, const json_t *obj, const char *key,
		      bool *out)
{
	const json_t *v = json_object_get(obj, key);

	*out = false;
	if (!v || json_is_null(v))
		return 0;
	if (!json_is_boolean(v))
		return set_error(c, "invalid_request",
				 "`%s` must be true or false", key);
	*out = json_is_true(v);
	return 0;
}

static int check_stream(struct check *c, const json_t *root)
{
	const json_t *opts = json_object_get(root, "stream_options");
	const json_t *n = json_object_get(root, "n");

	if (n && !(json_is_integer(n) && json_integer_value(n) == 1))
		return set_error(c, "invalid_request", "`n` must be 1");
	if (check_bool(c, root, "stream", &c->out->stream) < 0)
		return -1;
	if (!opts || json_is_null(opts))
		return 0;
	if (!json_is_object(opts))
		return set_error(c, "invalid_request",
				 "`stream_options` must be an object");
	return check_bool(c, opts, "include_usage", &c->out->include_usage);
}

static int set_prompt(struct check *c, struct pf_text *t)
{
	c->out->prompt_len = t->n;
	c->out->prompt = pf_text_take(t);
	return c->out->prompt ? 0 : set_no_memory(c);
}

static int check_prompt(struct check *c, const json_t *root)
{
	const json_t *v = json_object_get(root, "prompt");
	struct pf_text t = { 0 };

	if (json_is_array(v) && json_array_size(v) == 1)
		v = json_array_get(v, 0);
	if (!json_is_string(v) || json_string_length(v) == 0)
		return set_error(c, "invalid_request",
				 "`prompt` must be a non-empty string");
	pf_text_add(&t, (struct pf_str){ json_string_value(v),
					 json_string_length(v) });
	return set_prompt(c, &t);
}

static bool is_known_role(const char *role)
{
	static const char *const roles[] = { "system", "developer", "user",
					     "assistant", "tool" };
	size_t i;

	for (i = 0; role && i < sizeof(roles) / sizeof(roles[0]); i++) {
		if (strcmp(role, roles[i]) == 0)
			return true;
	}
	return false;
}

static void append_json_string(struct pf_text *t, const json_t *v)
{
	pf_text_add(t, (struct pf_str){ json_string_value(v),
					json_string_length(v) });
}

/* Content is a string or an array of parts of type "text". */
static int append_content(struct check *c, const json_t *content, size_t at,
			  struct pf_text *t)
{
	const json_t *part;
	size_t i;

	if (json_is_string(content)) {
		append_json_string(t, content);
		return 0;
	}
	if (!json_is_array(content))
		return set_error(
			c, "invalid_request",
			"`messages[%zu].content` must be a string or an "
			"array of text parts",
			at);
	json_array_foreach(content, i, part)
	{
		const char *type =
			json_string_value(json_object_get(part, "type"));
		const json_t *text = json_object_get(part, "text");

		if (!type || strcmp(type, "text") != 0 || !json_is_string(text))
			return set_error(
				c, "invalid_request",
				"`messages[%zu].content[%zu]` must be a "
				"text part",
				at, i);
		append_json_string(t, text);
	}
	return 0;
}

static int append_message(struct check *c, const json_t *m, size_t at,
			  struct pf_text *t)
{
	const char *role = json_string_value(json_object_get(m, "role"));

	if (!is_known_role(role))
		return set_error(
			c, "invalid_request",
			"`messages[%zu].role` must be system, developer, "
			"user, assistant or tool",
			at);
	pf_text_printf(t, "<|%s|>\n", role);
	if (append_content(c, json_object_get(m, "content"), at, t) < 0)
		return -1;
	pf_text_add(t, PF_STR("\n"));
	return 0;
}

static int check_messages(struct check *c, const json_t *root)
{
	const json_t *v = json_object_get(root, "messages");
	struct pf_text t = { 0 };
	const json_t *m;
	size_t i;

	if (!json_is_array(v) || json_array_size(v) == 0 ||
	    json_array_size(v) > c->limits->messages_max)
		return set_error(
			c, "invalid_request",
			"`messages` must be an array of 1 to %u messages",
			c->limits->messages_max);
	json_array_foreach(v, i, m)
	{
		if (append_message(c, m, i, &t) < 0) {
			pf_text_free(&t);
			return -1;
		}
	}
	pf_text_add(&t, PF_STR("<|assistant|>\n"));
	return set_prompt(c, &t);
}

static int check_root(struct check *c, const json_t *root)
{
	if (!json_is_object(root))
		return set_error(c, "invalid_json",
				 "the body must be a JSON object");
	if (check_model(c, root) < 0 || check_tokens(c, root) < 0 ||
	    check_stream(c, root) < 0)
		return -1;
	if (c->out->kind == PF_OAI_CHAT)
		return check_messages(c, root);
	return check_prompt(c, root);
}

int pf_oai_parse(enum pf_oai_kind kind, struct pf_str body,
		 const struct pf_oai_limits *limits, struct pf_oai_request *out,
		 struct pf_oai_error *err)
{
	struct check c = { limits, out, err };
	json_error_t je;
	json_t *root;
	int ret;

	memset(out, 0, sizeof(*out));
	out->kind = kind;
	root = json_loadb(body.p ? body.p : "", body.n, JSON_REJECT_DUPLICATES,
			  &je);
	if (!root)
		return set_error(&c, "invalid_json",
				 "line %d, column %d: %.100s", je.line,
				 je.column, je.text);
	ret = check_root(&c, root);
	json_decref(root);
	if (ret < 0)
		pf_oai_request_free(out);
	return ret;
}

void pf_oai_request_free(struct pf_oai_request *r)
{
	free(r->model);
	free(r->prompt);
	memset(r, 0, sizeof(*r));
}

uint32_t pf_oai_prompt_tokens(size_t prompt_len)
{
	return (uint32_t)((prompt_len + PROMPT_BYTES_PER_TOKEN - 1) /
			  PROMPT_BYTES_PER_TOKEN);
}
