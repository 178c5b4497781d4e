/* The deterministic answer of the engine stand-in. */
#include "standin/answer.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DIRECTIVE_MAX 32
#define BYTES_PER_TOKEN 4

/* Pareto distribution; mean = shape * min / (shape - 1) = 60 tokens. */
#define PARETO_SHAPE 1.5
#define PARETO_MIN_TOKENS 20.0

uint32_t answer_directive(struct pf_str text, const char *name,
			  uint32_t fallback)
{
	char open[DIRECTIVE_MAX];
	int n = snprintf(open, sizeof(open), "[%s=", name);
	const char *at =
		text.n ? memmem(text.p, text.n, open, (size_t)n) : NULL;
	char digits[DIRECTIVE_MAX] = "";
	size_t left;

	if (!at)
		return fallback;
	at += n;
	left = (size_t)(text.p + text.n - at);
	if (left >= sizeof(digits))
		left = sizeof(digits) - 1;
	memcpy(digits, at, left);
	return (uint32_t)strtoul(digits, NULL, 10);
}

static uint32_t pareto_length(uint64_t hash)
{
	struct pf_rng r;
	double x;

	pf_rng_seed(&r, hash);
	x = PARETO_MIN_TOKENS / pow(1.0 - pf_rng_unit(&r), 1.0 / PARETO_SHAPE);
	return x > ANSWER_LENGTH_MAX_TOKENS ? ANSWER_LENGTH_MAX_TOKENS
					    : (uint32_t)x;
}

void answer_init(struct answer *a, struct pf_str model, struct pf_str adapter,
		 struct pf_str prompt)
{
	a->hash = pf_id2(pf_id2(pf_id(model), pf_id(adapter)), pf_id(prompt));
	a->length = answer_directive(prompt, "len", pareto_length(a->hash));
	if (a->length == 0)
		a->length = 1;
	a->token_delay_ms = answer_directive(prompt, "slow", 0);
}

size_t answer_token(const struct answer *a, uint32_t i,
		    char token[ANSWER_TOKEN_SIZE])
{
	static const char onset[] = "bdfghjklmnprstvz";
	static const char vowel[] = "aeiouyaeaeiouyio";
	uint64_t h = pf_id2(a->hash, i);
	size_t syllables = 1 + (h & 3);
	size_t n = 0;

	for (h >>= 2; syllables > 0; syllables--, h >>= 8) {
		token[n++] = onset[h & 15];
		token[n++] = vowel[(h >> 4) & 15];
	}
	token[n++] = ' ';
	token[n] = '\0';
	return n;
}

int64_t answer_match(const struct answer *a, struct pf_str text)
{
	char token[ANSWER_TOKEN_SIZE];
	size_t at = 0;
	uint32_t i;

	for (i = 0; at < text.n; i++) {
		size_t n = answer_token(a, i, token);

		if (i == a->length || n > text.n - at ||
		    memcmp(text.p + at, token, n) != 0)
			return -1;
		at += n;
	}
	return i;
}

uint32_t answer_token_count(size_t bytes)
{
	return (uint32_t)((bytes + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN);
}
