/* Strict parser for HTTP/1.1 heads and bodies. */
#include "pimentoford/http1.h"

#include <string.h>
#include <strings.h>

#define CRLF_LEN 2
/* Five classes of statuses are defined. */
#define STATUS_MAX 599
#define TRAILER_LINES_MAX 64
/* Keeps the arithmetic on chunk sizes from overflowing. */
#define CHUNK_BYTES_MAX ((int64_t)1 << 40)

size_t pf_h1_head_end(struct pf_str in)
{
	const char *p =
		in.n ? memmem(in.p, in.n, "\r\n\r\n", 2 * CRLF_LEN) : NULL;

	return p ? (size_t)(p - in.p) + 2 * CRLF_LEN : 0;
}

bool pf_h1_name_eq(struct pf_str a, struct pf_str b)
{
	return a.n == b.n && strncasecmp(a.p, b.p, a.n) == 0;
}

struct pf_str pf_h1_field_value(const struct pf_h1_head *h, struct pf_str name)
{
	uint32_t i;

	for (i = 0; i < h->n_fields; i++) {
		if (pf_h1_name_eq(h->fields[i].name, name))
			return h->fields[i].value;
	}
	return (struct pf_str){ NULL, 0 };
}

int pf_h1_parse_number(struct pf_str s, int64_t *out)
{
	int64_t v = 0;
	size_t i;

	if (s.n == 0 || s.n > 18)
		return -1;
	for (i = 0; i < s.n; i++) {
		if (s.p[i] < '0' || s.p[i] > '9')
			return -1;
		v = v * 10 + (s.p[i] - '0');
	}
	*out = v;
	return 0;
}

/* Whether the comma-separated @list contains @token. */
static bool list_contains(struct pf_str list, struct pf_str token)
{
	size_t at = 0;

	while (at < list.n) {
		const char *p = list.p + at;
		const char *comma = memchr(p, ',', list.n - at);
		struct pf_str item = { p, comma ? (size_t)(comma - p)
						: list.n - at };

		at += item.n + 1;
		while (item.n && (*item.p == ' ' || *item.p == '\t')) {
			item.p++;
			item.n--;
		}
		while (item.n && (item.p[item.n - 1] == ' ' ||
				  item.p[item.n - 1] == '\t'))
			item.n--;
		if (pf_h1_name_eq(item, token))
			return true;
	}
	return false;
}

bool pf_h1_is_hop_by_hop(const struct pf_h1_head *h, struct pf_str name)
{
	static const struct pf_str hop_by_hop[] = {
		{ "Connection", 10 },
		{ "Keep-Alive", 10 },
		{ "Proxy-Connection", 16 },
		{ "Transfer-Encoding", 17 },
		{ "TE", 2 },
		{ "Trailer", 7 },
		{ "Upgrade", 7 },
		{ "Expect", 6 },
		{ "Content-Length", 14 },
	};
	size_t i;

	for (i = 0; i < sizeof(hop_by_hop) / sizeof(hop_by_hop[0]); i++) {
		if (pf_h1_name_eq(name, hop_by_hop[i]))
			return true;
	}
	for (i = 0; i < h->n_fields; i++) {
		if (pf_h1_name_eq(h->fields[i].name, PF_STR("Connection")) &&
		    list_contains(h->fields[i].value, name))
			return true;
	}
	return false;
}

static bool is_token(struct pf_str s)
{
	size_t i;

	for (i = 0; i < s.n; i++) {
		if (s.p[i] <= ' ' || s.p[i] >= 127 ||
		    strchr("\"(),/:;<=>?@[\\]{}", s.p[i]))
			return false;
	}
	return s.n > 0;
}

static bool is_field_text(struct pf_str s)
{
	size_t i;

	for (i = 0; i < s.n; i++) {
		unsigned char c = (unsigned char)s.p[i];

		if ((c < ' ' && c != '\t') || c == 127)
			return false;
	}
	return true;
}

/* Takes the next line, without its CRLF; a bare LF does not end a line. */
static int next_line(struct pf_str *in, struct pf_str *line)
{
	const char *end = memmem(in->p, in->n, "\r\n", CRLF_LEN);

	if (!end)
		return -1;
	*line = (struct pf_str){ in->p, (size_t)(end - in->p) };
	in->p = end + CRLF_LEN;
	in->n -= line->n + CRLF_LEN;
	return is_field_text(*line) ? 0 : -1;
}

static int parse_content_length(struct pf_h1_head *h, struct pf_str value)
{
	int64_t length;

	if (pf_h1_parse_number(value, &length) < 0 ||
	    (h->content_length >= 0 && h->content_length != length))
		return -1;
	h->content_length = length;
	return 0;
}

static int parse_field(struct pf_h1_head *h, struct pf_str line)
{
	const char *colon = memchr(line.p, ':', line.n);
	struct pf_h1_field *f = &h->fields[h->n_fields];

	if (!colon || h->n_fields >= PF_H1_FIELDS_MAX)
		return -1;
	f->name = (struct pf_str){ line.p, (size_t)(colon - line.p) };
	f->value = (struct pf_str){ colon + 1, line.n - f->name.n - 1 };
	while (f->value.n && (*f->value.p == ' ' || *f->value.p == '\t')) {
		f->value.p++;
		f->value.n--;
	}
	while (f->value.n && (f->value.p[f->value.n - 1] == ' ' ||
			      f->value.p[f->value.n - 1] == '\t'))
		f->value.n--;
	if (!is_token(f->name))
		return -1;
	h->n_fields++;
	if (pf_h1_name_eq(f->name, PF_STR("Content-Length")))
		return parse_content_length(h, f->value);
	if (pf_h1_name_eq(f->name, PF_STR("Transfer-Encoding"))) {
		if (h->chunked || !pf_h1_name_eq(f->value, PF_STR("chunked")))
			return -1;
		h->chunked = true;
	}
	if (pf_h1_name_eq(f->name, PF_STR("Connection"))) {
		if (list_contains(f->value, PF_STR("close")))
			h->close = true;
		if (list_contains(f->value, PF_STR("keep-alive")) &&
		    h->minor_version == 0)
			h->close = false;
	}
	return 0;
}

static int parse_fields(struct pf_h1_head *h, struct pf_str in)
{
	struct pf_str line;

	h->content_length = -1;
	h->close = h->minor_version == 0;
	for (;;) {
		if (next_line(&in, &line) < 0)
			return -1;
		if (line.n == 0)
			break;
		if (parse_field(h, line) < 0)
			return -1;
	}
	/* A length together with chunks is ambiguous (smuggling). */
	return h->chunked && (h->content_length >= 0 || h->minor_version == 0)
		       ? -1
		       : 0;
}

static int parse_version(struct pf_str s, uint32_t *minor)
{
	if (s.n != 8 || memcmp(s.p, "HTTP/1.", 7) != 0 ||
	    (s.p[7] != '0' && s.p[7] != '1'))
		return -1;
	*minor = (uint32_t)(s.p[7] - '0');
	return 0;
}

int pf_h1_parse_request(struct pf_str in, struct pf_h1_head *h)
{
	struct pf_str line;
	const char *a;
	const char *b;
	size_t i;

	h->n_fields = 0;
	h->chunked = false;
	if (next_line(&in, &line) < 0)
		return -1;
	a = memchr(line.p, ' ', line.n);
	b = a ? memrchr(line.p, ' ', line.n) : NULL;
	if (!a || b == a)
		return -1;
	h->method = (struct pf_str){ line.p, (size_t)(a - line.p) };
	h->target = (struct pf_str){ a + 1, (size_t)(b - a) - 1 };
	for (i = 0; i < h->target.n; i++) {
		if (h->target.p[i] <= ' ')
			return -1;
	}
	if (!is_token(h->method) || h->target.n == 0 || h->target.p[0] != '/' ||
	    parse_version((struct pf_str){ b + 1,
					   line.n - (size_t)(b - line.p) - 1 },
			  &h->minor_version) < 0)
		return -1;
	return parse_fields(h, in);
}

int pf_h1_parse_response(struct pf_str in, struct pf_h1_head *h)
{
	struct pf_str line;
	int64_t status;

	h->n_fields = 0;
	h->chunked = false;
	if (next_line(&in, &line) < 0 || line.n < 12 || line.p[8] != ' ' ||
	    parse_version((struct pf_str){ line.p, 8 }, &h->minor_version) <
		    0 ||
	    pf_h1_parse_number((struct pf_str){ line.p + 9, 3 }, &status) < 0 ||
	    status < 100 || status > STATUS_MAX ||
	    (line.n > 12 && line.p[12] != ' '))
		return -1;
	h->status = (int)status;
	h->reason_phrase = line.n > 13
				   ? (struct pf_str){ line.p + 13, line.n - 13 }
				   : PF_STR("");
	return parse_fields(h, in);
}

void pf_h1_body_start(struct pf_h1_body *b, enum pf_h1_framing framing,
		      int64_t length)
{
	memset(b, 0, sizeof(*b));
	b->framing = framing;
	b->bytes_left = framing == PF_H1_CONTENT_LENGTH ? length : 0;
	b->ended = framing == PF_H1_CONTENT_LENGTH && length == 0;
}

static int parse_chunk_size(struct pf_h1_body *b)
{
	int64_t v = 0;
	uint32_t i;

	for (i = 0; i < b->line_len; i++) {
		char c = b->line[i];
		int digit;

		if (c == ';')
			break;
		if (c >= '0' && c <= '9')
			digit = c - '0';
		else if ((c | 32) >= 'a' && (c | 32) <= 'f')
			digit = (c | 32) - 'a' + 10;
		else
			return -1;
		v = v * 16 + digit;
		if (v > CHUNK_BYTES_MAX)
			return -1;
	}
	if (i == 0)
		return -1;
	b->bytes_left = v;
	b->chunk_state = v ? PF_H1_CHUNK_DATA : PF_H1_TRAILER;
	return 0;
}

/* Handles a complete line of the chunked coding. */
static int end_chunk_line(struct pf_h1_body *b)
{
	int ret = 0;

	switch (b->chunk_state) {
	case PF_H1_CHUNK_SIZE:
		ret = parse_chunk_size(b);
		break;
	case PF_H1_CHUNK_END:
		ret = b->line_len == 0 ? 0 : -1;
		b->chunk_state = PF_H1_CHUNK_SIZE;
		break;
	case PF_H1_TRAILER:
		b->ended = b->line_len == 0;
		ret = ++b->trailer_lines > TRAILER_LINES_MAX ? -1 : 0;
		break;
	case PF_H1_CHUNK_DATA:
		break;
	}
	b->line_len = 0;
	return ret;
}

static int feed_chunk_byte(struct pf_h1_body *b, char c)
{
	if (c == '\n' && b->line_len > 0 && b->line[b->line_len - 1] == '\r') {
		b->line_len--;
		return end_chunk_line(b);
	}
	if (c == '\n' || b->line_len >= sizeof(b->line))
		return -1;
	b->line[b->line_len++] = c;
	return 0;
}

static size_t feed_data(struct pf_h1_body *b, struct pf_str in,
			struct pf_text *out)
{
	size_t n = in.n;

	if (b->framing != PF_H1_UNTIL_CLOSE) {
		if ((int64_t)n > b->bytes_left)
			n = (size_t)b->bytes_left;
		b->bytes_left -= (int64_t)n;
	}
	pf_text_add(out, (struct pf_str){ in.p, n });
	return n;
}

int64_t pf_h1_body_feed(struct pf_h1_body *b, struct pf_str in,
			struct pf_text *out)
{
	size_t at = 0;

	while (at < in.n && !b->ended) {
		struct pf_str rest = { in.p + at, in.n - at };

		if (b->framing != PF_H1_CHUNKED) {
			at += feed_data(b, rest, out);
			b->ended = b->framing == PF_H1_CONTENT_LENGTH &&
				   b->bytes_left == 0;
		} else if (b->chunk_state == PF_H1_CHUNK_DATA) {
			at += feed_data(b, rest, out);
			if (b->bytes_left == 0)
				b->chunk_state = PF_H1_CHUNK_END;
		} else if (feed_chunk_byte(b, in.p[at++]) < 0) {
			return -1;
		}
	}
	return out->failed ? -1 : (int64_t)at;
}
