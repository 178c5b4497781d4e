/*
 * HTTP/1.1 messages for pass-through: heads are split into fields without
 * changing a byte of them, and bodies are followed to their end. Anything that
 * two readers could frame differently is refused.
 */
#ifndef PIMENTOFORD_HTTP1_H
#define PIMENTOFORD_HTTP1_H

#include "pimentoford/text.h"

PF_BEGIN_DECLS

#define PF_H1_FIELDS_MAX 64

struct pf_h1_field {
	struct pf_str name;
	struct pf_str value;
};

/** A request's or an answer's head; strings borrow the bytes parsed. */
struct pf_h1_head {
	struct pf_str method; /* requests only */
	struct pf_str target; /* requests only */
	int status; /* answers only */
	struct pf_str reason_phrase; /* answers only */
	uint32_t minor_version; /* of HTTP/1.x */
	bool close; /* the connection ends after this message */
	bool chunked;
	int64_t content_length; /* of the body; -1: none is declared */
	struct pf_h1_field fields[PF_H1_FIELDS_MAX];
	uint32_t n_fields;
};

/** Bytes of @in up to the end of its head; 0: it is not whole yet. */
size_t pf_h1_head_end(struct pf_str in);

/** Parse whole heads. 0, or -1 when they are malformed or ambiguous. */
int pf_h1_parse_request(struct pf_str in, struct pf_h1_head *h);
int pf_h1_parse_response(struct pf_str in, struct pf_h1_head *h);

/** The value of a field; `p` is NULL when it is absent. */
struct pf_str pf_h1_field_value(const struct pf_h1_head *h, struct pf_str name);

/** Whether a field concerns one connection only and is not passed on. */
bool pf_h1_is_hop_by_hop(const struct pf_h1_head *h, struct pf_str name);

/** Whether names of fields are equal, whatever their case. */
bool pf_h1_name_eq(struct pf_str a, struct pf_str b);

/** A decimal number without sign. 0, or -1 when @s is none. */
int pf_h1_parse_number(struct pf_str s, int64_t *out);

/** How a body's end is known. */
enum pf_h1_framing {
	PF_H1_CONTENT_LENGTH,
	PF_H1_CHUNKED,
	PF_H1_UNTIL_CLOSE,
};

/** What of a chunked body comes next. */
enum pf_h1_chunk_state {
	PF_H1_CHUNK_SIZE,
	PF_H1_CHUNK_DATA,
	PF_H1_CHUNK_END,
	PF_H1_TRAILER,
};

/** Follows a body to its end. */
struct pf_h1_body {
	enum pf_h1_framing framing;
	int64_t bytes_left; /* of the length, or of the chunk at hand */
	enum pf_h1_chunk_state chunk_state;
	char line[32]; /* a chunk's size line as far as it came */
	uint32_t line_len;
	bool ended;
};

void pf_h1_body_start(struct pf_h1_body *b, enum pf_h1_framing framing,
		      int64_t length);

/**
 * Takes bytes of the body from @in and adds its content to @out. Returns how
 * many were taken: all of them unless the body ended. -1 when it is malformed.
 */
int64_t pf_h1_body_feed(struct pf_h1_body *b, struct pf_str in,
			struct pf_text *out);

PF_END_DECLS

#endif
