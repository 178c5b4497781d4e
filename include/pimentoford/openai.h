/*
 * OpenAI-compatible API: validates request bodies and writes responses, as one
 * JSON body or as server-sent events.
 */
#ifndef PIMENTOFORD_OPENAI_H
#define PIMENTOFORD_OPENAI_H

#include "pimentoford/text.h"
#include "pimentoford/work.h"

PF_BEGIN_DECLS

enum pf_oai_kind { PF_OAI_COMPLETION, PF_OAI_CHAT };

struct pf_oai_limits {
	uint32_t max_tokens; /* highest max_tokens accepted */
	uint32_t default_tokens; /* max_tokens if the caller sets none */
	uint32_t messages_max; /* messages in a chat request */
};

/** A validated request. Free it with pf_oai_request_free(). */
struct pf_oai_request {
	enum pf_oai_kind kind;
	char *model;
	char *prompt; /* chat: all messages as one text */
	size_t prompt_len;
	uint32_t max_tokens;
	bool stream;
	bool include_usage; /* end the stream with token counts */
};

/** Why a body was rejected. */
struct pf_oai_error {
	const char *code; /* stable error code */
	char message[160];
};

/** Parses a body. Returns 0, or -1 with @err set and @out empty. */
int pf_oai_parse(enum pf_oai_kind kind, struct pf_str body,
		 const struct pf_oai_limits *limits, struct pf_oai_request *out,
		 struct pf_oai_error *err);
void pf_oai_request_free(struct pf_oai_request *r);

/** Number of prompt tokens, counted as the engines do. */
uint32_t pf_oai_prompt_tokens(size_t prompt_len);

/** State of one response: the members that all its chunks share. */
struct pf_oai_response {
	enum pf_oai_kind kind;
	char *chunk_prefix; /* event up to its text; owned */
	size_t chunk_prefix_len;
	char *model; /* owned */
	uint64_t request_id;
	int64_t created; /* seconds since the epoch */
};

/** Copies @model. Returns 0, or -1 if memory runs out. */
int pf_oai_response_init(struct pf_oai_response *s, enum pf_oai_kind kind,
			 uint64_t request_id, struct pf_str model,
			 int64_t created);
void pf_oai_response_free(struct pf_oai_response *s);

/** Writes the first event of a chat stream; nothing for a completion. */
void pf_oai_stream_start(const struct pf_oai_response *s, struct pf_text *out);

/** Writes one event with a part of the output text. */
void pf_oai_stream_text(const struct pf_oai_response *s, struct pf_str text,
			struct pf_text *out);

struct pf_oai_usage {
	uint32_t prompt_tokens;
	uint32_t output_tokens;
};

/** Writes the events that end a complete stream; @usage may be NULL. */
void pf_oai_stream_end(const struct pf_oai_response *s, bool at_limit,
		       const struct pf_oai_usage *usage, struct pf_text *out);

/** Writes the complete response as one JSON body. */
void pf_oai_response_body(const struct pf_oai_response *s, struct pf_str text,
			  bool at_limit, const struct pf_oai_usage *usage,
			  struct pf_text *out);

/** A rejected or failed request, in the form that all our APIs use. */
struct pf_oai_failure {
	const char *code;
	const char *message;
	enum pf_ran ran;
	pf_ms retry_after; /* 0: a retry does not help */
};

/** Writes `{"error":{...}}`. */
void pf_oai_failure_body(const struct pf_oai_failure *f, struct pf_text *out);

/** Writes the failure as the last event of an interrupted stream. */
void pf_oai_stream_failure(const struct pf_oai_failure *f, struct pf_text *out);

/** Returns the failure with the code and message of @reason. */
struct pf_oai_failure pf_oai_failure_of(enum pf_reason reason, enum pf_ran ran,
					pf_ms retry_after);

/** Returns the HTTP status for a reason. */
int pf_oai_http_status(enum pf_reason reason);

/** Appends @s, which must be UTF-8, escaped for a JSON string. */
void pf_json_escape(struct pf_text *out, struct pf_str s);

PF_END_DECLS

#endif
