/*
 * The deterministic answer of the engine stand-in. Its length and tokens are
 * derived from model, adapter and prompt only, so the load tool can verify any
 * answer, including one that was resumed on another engine.
 */
#ifndef PIMENTO_STANDIN_ANSWER_H
#define PIMENTO_STANDIN_ANSWER_H

#include "pimentoford/base.h"

PF_BEGIN_DECLS

/** Buffer size for one token and its terminating zero byte. */
#define ANSWER_TOKEN_SIZE 16

/** Longest answer to a prompt without a "[len=N]" directive. */
#define ANSWER_LENGTH_MAX_TOKENS 2000

struct answer {
	uint64_t hash;
	uint32_t length; /* tokens, at least 1 */
	uint32_t token_delay_ms; /* extra delay before each token */
};

/**
 * Computes the answer to @prompt. @model is "NAME@VERSION", @adapter is
 * "MODEL:ADAPTER" or empty. The directives "[len=N]" and "[slow=MS]" in the
 * prompt set the length in tokens and the delay per token.
 */
void answer_init(struct answer *a, struct pf_str model, struct pf_str adapter,
		 struct pf_str prompt);

/** Writes token @i, a word and a space. Returns its length in bytes. */
size_t answer_token(const struct answer *a, uint32_t i,
		    char token[ANSWER_TOKEN_SIZE]);

/**
 * Returns the number of tokens in @text if @text is a prefix of the answer
 * that ends at a token boundary, else -1.
 */
int64_t answer_match(const struct answer *a, struct pf_str text);

/** Estimates the tokens of a text: one per four bytes, rounded up. */
uint32_t answer_token_count(size_t bytes);

/** Returns N from the first "[NAME=N]" in @text, or @fallback. */
uint32_t answer_directive(struct pf_str text, const char *name,
			  uint32_t fallback);

PF_END_DECLS

#endif
