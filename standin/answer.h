/*
 * The deterministic answer of the engine stand-in: its length and each of its
 * tokens follow from model, adapter and prompt alone, so that whoever knows
 * these can check an answer, also one that was resumed elsewhere.
 */
#ifndef PIMENTO_STANDIN_ANSWER_H
#define PIMENTO_STANDIN_ANSWER_H

#include "pimentoford/base.h"

PF_BEGIN_DECLS

/** Room for one token and its terminating zero byte. */
#define ANSWER_TOKEN_SIZE 16

/** Longest answer that a prompt without a directive gets, tokens. */
#define ANSWER_LENGTH_MAX_TOKENS 2000

struct answer {
	uint64_t hash;
	uint32_t length; /* tokens of the whole answer, at least 1 */
	uint32_t token_delay_ms; /* extra time before each token */
};

/**
 * Sets @a for a prompt. @model is "NAME@VERSION", @adapter is
 * "MODEL:ADAPTER" or empty. The directives "[len=N]" and "[slow=MS]" in the
 * prompt override length and pace.
 */
void answer_init(struct answer *a, struct pf_str model, struct pf_str adapter,
		 struct pf_str prompt);

/** Writes token @i, a word and a space; its length in bytes. */
size_t answer_token(const struct answer *a, uint32_t i,
		    char token[ANSWER_TOKEN_SIZE]);

/**
 * The tokens of @text if it is the first part of the answer, cut between two
 * tokens; -1 if it is not.
 */
int64_t answer_match(const struct answer *a, struct pf_str text);

/** Tokens of a text: one for each four bytes, rounded up. */
uint32_t answer_token_count(size_t bytes);

/** The number in a directive "[NAME=N]" of @text, or @otherwise. */
uint32_t answer_directive(struct pf_str text, const char *name,
			  uint32_t fallback);

PF_END_DECLS

#endif
