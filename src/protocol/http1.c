/* Splits HTTP/1.1 heads and follows bodies, strictly. */
#include "pimentoford/http1.h"

#include <string.h>
#include <strings.h>

#define CRLF_N 2
/* Chunk sizes beyond this would overflow the sums below. */
#define CHUNK_MAX ((int64_t)1 << 40)

size_t pf_h1_head_end(struct pf_str in)
{
	const char *p =
		in.n ? memmem(in.p, in.n, "\r\n\r\n", 2 * CRLF_N) : NULL;

	return p ? (size_t)(p - in.p) + 2 * CRLF_N : 0;
}

bool pf_h1_same(struct pf_str a, struct pf_str b)
{
	return a.n == b.n && strncasecmp(a.p, b.p, a.n) == 0;
}

struct pf_str pf_h1_get(const struct pf_h1_head *h, struct pf_str name)
{
	uint32_t i;

	for (i = 0; i < h->n_fields; i++) {
		if (pf_h1_same(h->fields[i].name, name))
			return h->fields[i].value;
	}
	return (struct pf_str){ NULL, 0 };
}

int pf_h1_number(struct pf_str s, int64_t *out)
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

/* Whether the comma-separated @list holds @token. */
static bool list_has(struct pf_str list, struct pf_str token)
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
		if (pf_h1_same(item, token))
			return true;
	}
	return false;
}

bool pf_h1_hop(const struct pf_h1_head *h, struct pf_str name)
{
	static const struct pf_str hops[] = {
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

	for (i = 0; i < sizeof(hops) / sizeof(hops[0]); i++) {
		if (pf_h1_same(name, hops[i]))
			return true;
	}
	for (i = 0; i < h->n_fields; i++) {
		if (pf_h1_same(h->fields[i].name, PF_STR("Connection")) &&
		    list_has(h->fields[i].value, name))
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

static bool is_text(struct pf_str s)
{
	size_t i;

	for (i = 0; i < s.n; i++) {
		unsigned char c = (unsigned char)s.p[i];

		if ((c < ' ' && c != '\t') || c == 127)
			return false;
	}
	return true;
}

/* The next line without its end; a bare line feed ends none. 0 or -1. */
static int next_line(struct pf_str *in, struct pf_str *line)
{
	const char *end = memmem(in->p, in->n, "\r\n", CRLF_N);

	if (!end)
		return -1;
	*line = (struct pf_str){ in->p, (size_t)(end - in->p) };
	in->p = end + CRLF_N;
	in->n -= line->n + CRLF_N;
	return is_text(*line) ? 0 : -1;
}

static int read_length(struct pf_h1_head *h, struct pf_str value)
{
	int64_t length;

	if (pf_h1_number(value, &length) < 0 ||
	    (h->length >= 0 && h->length != length))
		return -1;
	h->length = length;
	return 0;
}

static int read_field(struct pf_h1_head *h, struct pf_str line)
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
	if (pf_h1_same(f->name, PF_STR("Content-Length")))
		return read_length(h, f->value);
	if (pf_h1_same(f->name, PF_STR("Transfer-Encoding"))) {
		if (h->chunked || !pf_h1_same(f->value, PF_STR("chunked")))
			return -1;
		h->chunked = true;
	}
	if (pf_h1_same(f->name, PF_STR("Connection"))) {
		if (list_has(f->value, PF_STR("close")))
			h->close = true;
		if (list_has(f->value, PF_STR("keep-alive")) && h->minor == 0)
			h->close = false;
	}
	return 0;
}

static int read_fields(struct pf_h1_head *h, struct pf_str in)
{
	struct pf_str line;

	h->length = -1;
	h->close = h->minor == 0;
	for (;;) {
		if (next_line(&in, &line) < 0)
			return -1;
		if (line.n == 0)
			break;
		if (read_field(h, line) < 0)
			return -1;
	}
	/* A length beside chunks could be read either way. */
	return h->chunked && (h->length >= 0 || h->minor == 0) ? -1 : 0;
}

static int read_version(struct pf_str s, uint32_t *minor)
{
	if (s.n != 8 || memcmp(s.p, "HTTP/1.", 7) != 0 ||
	    (s.p[7] != '0' && s.p[7] != '1'))
		return -1;
	*minor = (uint32_t)(s.p[7] - '0');
	return 0;
}

int pf_h1_request(struct pf_str in, struct pf_h1_head *h)
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
	    read_version((struct pf_str){ b + 1,
					  line.n - (size_t)(b - line.p) - 1 },
			 &h->minor) < 0)
		return -1;
	return read_fields(h, in);
}

int pf_h1_answer(struct pf_str in, struct pf_h1_head *h)
{
	struct pf_str line;
	int64_t status;

	h->n_fields = 0;
	h->chunked = false;
	if (next_line(&in, &line) < 0 || line.n < 12 || line.p[8] != ' ' ||
	    read_version((struct pf_str){ line.p, 8 }, &h->minor) < 0 ||
	    pf_h1_number((struct pf_str){ line.p + 9, 3 }, &status) < 0 ||
	    status < 100 || (line.n > 12 && line.p[12] != ' '))
		return -1;
	h->status = (int)status;
	h->phrase = line.n > 13 ? (struct pf_str){ line.p + 13, line.n - 13 }
				: PF_STR("");
	return read_fields(h, in);
}

void pf_h1_body_start(struct pf_h1_body *b, enum pf_h1_framing framing,
		      int64_t length)
{
	memset(b, 0, sizeof(*b));
	b->framing = framing;
	b->left = framing == PF_H1_LENGTH ? length : 0;
	b->ended = framing == PF_H1_LENGTH && length == 0;
}

static int chunk_size(struct pf_h1_body *b)
{
	int64_t v = 0;
	uint32_t i;

	for (i = 0; i < b->n_line; i++) {
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
		if (v > CHUNK_MAX)
			return -1;
	}
	if (i == 0)
		return -1;
	b->left = v;
	b->chunk = v ? PF_H1_DATA : PF_H1_TRAILER;
	return 0;
}

/* A line of the chunked framing has come. */
static int chunk_line(struct pf_h1_body *b)
{
	int ret = 0;

	switch (b->chunk) {
	case PF_H1_SIZE:
		ret = chunk_size(b);
		break;
	case PF_H1_DATA_END:
		ret = b->n_line == 0 ? 0 : -1;
		b->chunk = PF_H1_SIZE;
		break;
	case PF_H1_TRAILER:
		b->ended = b->n_line == 0;
		break;
	case PF_H1_DATA:
		break;
	}
	b->n_line = 0;
	return ret;
}

static int chunk_byte(struct pf_h1_body *b, char c)
{
	if (c == '\n' && b->n_line > 0 && b->line[b->n_line - 1] == '\r') {
		b->n_line--;
		return chunk_line(b);
	}
	if (c == '\n' || b->n_line >= sizeof(b->line))
		return -1;
	b->line[b->n_line++] = c;
	return 0;
}

static size_t take_data(struct pf_h1_body *b, struct pf_str in,
			struct pf_text *out)
{
	size_t n = in.n;

	if (b->framing != PF_H1_UNTIL_CLOSE) {
		if ((int64_t)n > b->left)
			n = (size_t)b->left;
		b->left -= (int64_t)n;
	}
	pf_text_add(out, (struct pf_str){ in.p, n });
	return n;
}

int64_t pf_h1_body_take(struct pf_h1_body *b, struct pf_str in,
			struct pf_text *out)
{
	size_t at = 0;

	while (at < in.n && !b->ended) {
		struct pf_str rest = { in.p + at, in.n - at };

		if (b->framing != PF_H1_CHUNKED) {
			at += take_data(b, rest, out);
			b->ended = b->framing == PF_H1_LENGTH && b->left == 0;
		} else if (b->chunk == PF_H1_DATA) {
			at += take_data(b, rest, out);
			if (b->left == 0)
				b->chunk = PF_H1_DATA_END;
		} else if (chunk_byte(b, in.p[at++]) < 0) {
			return -1;
		}
	}
	return out->failed ? -1 : (int64_t)at;
}
