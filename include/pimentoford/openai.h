/*
 * The callers' interface in the OpenAI shapes: checks request bodies and
 * writes answers, whole or as server-sent events.
 */
#ifndef PIMENTOFORD_OPENAI_H
#define PIMENTOFORD_OPENAI_H

#include "pimentoford/text.h"
#include "pimentoford/work.h"

PF_BEGIN_DECLS

enum pf_oai_kind { PF_OAI_COMPLETION, PF_OAI_CHAT };

struct pf_oai_limits {
	uint32_t max_tokens; /* highest output limit accepted */
	uint32_t default_tokens; /* when the caller sets none */
	uint32_t messages_max; /* of a chat */
};

/** A checked request; release with pf_oai_request_free(). */
struct pf_oai_request {
	enum pf_oai_kind kind;
	char *model;
	char *prompt; /* of a chat: its messages as one text */
	size_t prompt_len;
	uint32_t max_tokens;
	bool stream;
	bool include_usage; /* the stream ends with token counts */
};

/** What is wrong with a body, for the caller to read. */
struct pf_oai_error {
	const char *code; /* a stable word */
	char message[160];
};

/** Parses and checks a body. 0, or -1 with @err set and @out empty. */
int pf_oai_parse(enum pf_oai_kind kind, struct pf_str body,
		 const struct pf_oai_limits *limits, struct pf_oai_request *out,
		 struct pf_oai_error *err);
void pf_oai_request_free(struct pf_oai_request *r);

/** Prompt tokens as the engines count them. */
uint32_t pf_oai_prompt_tokens(size_t prompt_len);

/** The parts that all chunks of one answer share. */
struct pf_oai_response {
	enum pf_oai_kind kind;
	char *chunk_prefix; /* up to the text of a chunk; owned */
	size_t chunk_prefix_len;
	char *model; /* owned */
	uint64_t request_id;
	int64_t created; /* seconds since the epoch */
};

/** 0, or -1 when there is no memory. */
int pf_oai_response_init(struct pf_oai_response *s, enum pf_oai_kind kind,
			 uint64_t request, struct pf_str model,
			 int64_t created);
void pf_oai_response_free(struct pf_oai_response *s);

/** The event that opens a chat stream; nothing for a completion. */
void pf_oai_stream_start(const struct pf_oai_response *s, struct pf_text *out);

/** One event with some text of the answer. */
void pf_oai_stream_text(const struct pf_oai_response *s, struct pf_str text,
			struct pf_text *out);

struct pf_oai_usage {
	uint32_t prompt_tokens;
	uint32_t output_tokens;
};

/** The events that end a whole answer; @usage may be NULL. */
void pf_oai_stream_end(const struct pf_oai_response *s, bool at_limit,
		       const struct pf_oai_usage *usage, struct pf_text *out);

/** The whole answer in one body. */
void pf_oai_response_body(const struct pf_oai_response *s, struct pf_str text,
			  bool at_limit, const struct pf_oai_usage *usage,
			  struct pf_text *out);

/** A refusal or failure, as every endpoint of ours answers it. */
struct pf_oai_failure {
	const char *code;
	const char *message;
	enum pf_ran ran;
	pf_ms retry_after; /* 0: coming back does not help */
};

/** `{"error":{...}}`. */
void pf_oai_failure_body(const struct pf_oai_failure *f, struct pf_text *out);

/** The same as the last event of a stream that was cut. */
void pf_oai_stream_failure(const struct pf_oai_failure *f, struct pf_text *out);

/** Fills in code and message of @reason. */
struct pf_oai_failure pf_oai_failure_of(enum pf_reason reason, enum pf_ran ran,
					pf_ms retry_after);

/** The HTTP status that goes with a reason. */
int pf_oai_http_status(enum pf_reason reason);

/** Adds @s, which is UTF-8, as the inside of a JSON string. */
void pf_json_escape(struct pf_text *out, struct pf_str s);

PF_END_DECLS

#endif
