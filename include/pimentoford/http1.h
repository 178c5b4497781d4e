/*
 * HTTP/1.1 parser for proxying: splits heads into unmodified fields and finds
 * the end of bodies. Rejects messages with ambiguous framing, which enable
 * request smuggling.
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

/** Head of a request or response; strings point into the parsed bytes. */
struct pf_h1_head {
	struct pf_str method; /* request only */
	struct pf_str target; /* request only */
	int status; /* response only */
	struct pf_str reason_phrase; /* response only */
	uint32_t minor_version; /* the x in HTTP/1.x */
	bool close; /* connection closes after this message */
	bool chunked;
	int64_t content_length; /* -1: not declared */
	struct pf_h1_field fields[PF_H1_FIELDS_MAX];
	uint32_t n_fields;
};

/** Length of the head at the start of @in; 0 if it is incomplete. */
size_t pf_h1_head_end(struct pf_str in);

/** Parse a complete head. Return 0, or -1 if malformed or ambiguous. */
int pf_h1_parse_request(struct pf_str in, struct pf_h1_head *h);
int pf_h1_parse_response(struct pf_str in, struct pf_h1_head *h);

/** Value of the first field called @name; `p` is NULL if absent. */
struct pf_str pf_h1_field_value(const struct pf_h1_head *h, struct pf_str name);

/** Whether a field is hop-by-hop and must not be forwarded. */
bool pf_h1_is_hop_by_hop(const struct pf_h1_head *h, struct pf_str name);

/** Compares field names, ignoring case. */
bool pf_h1_name_eq(struct pf_str a, struct pf_str b);

/** Parses an unsigned decimal number. Returns 0, or -1 if invalid. */
int pf_h1_parse_number(struct pf_str s, int64_t *out);

/** How the end of a body is determined. */
enum pf_h1_framing {
	PF_H1_CONTENT_LENGTH,
	PF_H1_CHUNKED,
	PF_H1_UNTIL_CLOSE,
};

/** Which part of a chunked body comes next. */
enum pf_h1_chunk_state {
	PF_H1_CHUNK_SIZE,
	PF_H1_CHUNK_DATA,
	PF_H1_CHUNK_END, /* CRLF after the data */
	PF_H1_TRAILER,
};

/** Incremental parser for a body. */
struct pf_h1_body {
	enum pf_h1_framing framing;
	int64_t bytes_left; /* of the body, or of the current chunk */
	enum pf_h1_chunk_state chunk_state;
	char line[32]; /* incomplete line of the chunked coding */
	uint32_t line_len;
	uint32_t trailer_lines;
	bool ended;
};

/** Starts a body; @length is used by PF_H1_CONTENT_LENGTH only. */
void pf_h1_body_start(struct pf_h1_body *b, enum pf_h1_framing framing,
		      int64_t length);

/**
 * Parses body bytes from @in and appends the decoded content to @out. Returns
 * the number of bytes consumed, all of @in unless the body ended, or -1 if it
 * is malformed or memory runs out.
 */
int64_t pf_h1_body_feed(struct pf_h1_body *b, struct pf_str in,
			struct pf_text *out);

PF_END_DECLS

#endif
