/* Parses the server-sent events of a run. */
#include "pimentoford/engine.h"

#include <jansson.h>
#include <string.h>

static int get_u32(const json_t *v, uint32_t *out)
{
	if (!json_is_integer(v) || json_integer_value(v) < 0 ||
	    json_integer_value(v) > UINT32_MAX)
		return -1;
	*out = (uint32_t)json_integer_value(v);
	return 0;
}

static int parse_finish_reason(const char *s, enum pf_finish_reason *out)
{
	static const struct {
		const char *name;
		enum pf_finish_reason reason;
	} ends[] = { { "stop", PF_FINISH_STOP },
		     { "limit", PF_FINISH_LIMIT },
		     { "cancelled", PF_FINISH_CANCELLED },
		     { "error", PF_FINISH_ERROR } };
	size_t i;

	for (i = 0; s && i < sizeof(ends) / sizeof(ends[0]); i++) {
		if (strcmp(s, ends[i].name) == 0) {
			*out = ends[i].reason;
			return 0;
		}
	}
	return -1;
}

static int parse_event(const json_t *root, struct pf_engine_event *e)
{
	const json_t *text = json_object_get(root, "text");
	const json_t *end = json_object_get(root, "end");
	const json_t *limit = json_object_get(root, "at_limit");

	if (text) {
		e->type = PF_ENGINE_TOKEN;
		if (!json_is_string(text))
			return -1;
		e->u.token.text = (struct pf_str){ json_string_value(text),
						   json_string_length(text) };
		return get_u32(json_object_get(root, "offset"),
			       &e->u.token.offset);
	}
	if (end) {
		e->type = PF_ENGINE_END;
		if (parse_finish_reason(json_string_value(end),
					&e->u.end.finish_reason) < 0)
			return -1;
		return get_u32(json_object_get(root, "total"), &e->u.end.total);
	}
	e->type = PF_ENGINE_AT_LIMIT;
	return get_u32(limit, &e->u.total);
}

static const char *skip_literal(const char *p, const char *end,
				const char *word)
{
	size_t n = strlen(word);

	return (size_t)(end - p) >= n && memcmp(p, word, n) == 0 ? p + n : NULL;
}

/*
 * Fast path: parses a token event in its usual form, ASCII without escapes,
 * without building a JSON tree. Returns -1 for any other form.
 */
static int parse_plain_token(struct pf_str s, struct pf_engine_event *e)
{
	const char *end = s.p + s.n;
	const char *p = skip_literal(s.p, end, "{\"offset\":");
	uint64_t offset = 0;
	int digits = 0;

	if (!p)
		return -1;
	for (; p < end && *p >= '0' && *p <= '9' && digits < 9; p++, digits++)
		offset = offset * 10 + (uint64_t)(*p - '0');
	if (digits == 0 ||
	    (digits > 1 && s.p[sizeof("{\"offset\":") - 1] == '0'))
		return -1;
	p = skip_literal(p, end, ",\"text\":\"");
	if (!p)
		return -1;
	e->type = PF_ENGINE_TOKEN;
	e->u.token.offset = (uint32_t)offset;
	e->u.token.text.p = p;
	while (p < end && *p >= 0x20 && *p < 0x7f && *p != '"' && *p != '\\')
		p++;
	e->u.token.text.n = (size_t)(p - e->u.token.text.p);
	return skip_literal(p, end, "\"}") == end ? 0 : -1;
}

/* Handles the blank line that ends an event. */
static int dispatch_event(struct pf_engine_stream *s)
{
	struct pf_engine_event e;
	json_t *root;
	int ret;

	if (!s->has_data)
		return 0;
	memset(&e, 0, sizeof(e));
	if (parse_plain_token(pf_text_str(&s->data), &e) == 0) {
		s->data.n = 0;
		s->has_data = false;
		s->on_event(s->ctx, &e);
		return 0;
	}
	memset(&e, 0, sizeof(e));
	root = json_loadb(s->data.p, s->data.n, 0, NULL);
	s->data.n = 0;
	s->has_data = false;
	ret = parse_event(root, &e);
	if (ret == 0) {
		s->ended = e.type == PF_ENGINE_END;
		s->on_event(s->ctx, &e);
	}
	json_decref(root);
	return ret;
}

static int process_line(struct pf_engine_stream *s, struct pf_str line)
{
	static const char field[] = "data:";

	if (line.n > 0 && line.p[line.n - 1] == '\r')
		line.n--;
	if (line.n == 0)
		return dispatch_event(s);
	if (line.n < sizeof(field) - 1 ||
	    memcmp(line.p, field, sizeof(field) - 1) != 0)
		return 0; /* comment or other field */
	line.p += sizeof(field) - 1;
	line.n -= sizeof(field) - 1;
	if (line.n > 0 && line.p[0] == ' ') {
		line.p++;
		line.n--;
	}
	if (s->data.n + line.n > PF_ENGINE_EVENT_MAX)
		return -1;
	if (s->has_data)
		pf_text_add(&s->data, PF_STR("\n"));
	pf_text_add(&s->data, line);
	s->has_data = true;
	return s->data.failed ? -1 : 0;
}

/* Processes the line that ends with @part; copies it only if it was split. */
static int complete_line(struct pf_engine_stream *s, struct pf_str part)
{
	int ret;

	if (s->line.n == 0)
		return process_line(s, part);
	pf_text_add(&s->line, part);
	if (s->line.failed)
		return -1;
	ret = process_line(s, pf_text_str(&s->line));
	s->line.n = 0;
	return ret;
}

int pf_engine_stream_feed(struct pf_engine_stream *s, const char *p, size_t n)
{
	const char *end = p + n;

	/* A callback may free the stream, which clears `on_event`. */
	while (p < end && s->on_event && !s->ended && !s->malformed) {
		const char *nl = memchr(p, '\n', (size_t)(end - p));
		size_t len = (size_t)((nl ? nl : end) - p);

		if (s->line.n + len > PF_ENGINE_EVENT_MAX) {
			s->malformed = true;
		} else if (!nl) {
			pf_text_add(&s->line, (struct pf_str){ p, len });
			s->malformed = s->line.failed;
			break;
		} else if (complete_line(s, (struct pf_str){ p, len }) < 0) {
			s->malformed = true;
		}
		p += len + 1;
	}
	return s->malformed ? -1 : 0;
}

void pf_engine_stream_free(struct pf_engine_stream *s)
{
	pf_text_free(&s->data);
	pf_text_free(&s->line);
	s->on_event = NULL;
}
