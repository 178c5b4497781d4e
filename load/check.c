/* Verifies the text of an answer. */
#include "load/check.h"

#include <string.h>

static bool starts_with(struct pf_str text, const char *token, size_t n)
{
	return n <= text.n && memcmp(text.p, token, n) == 0;
}

/* Strips the leading correct tokens from @text and returns their number. */
static uint32_t skip_matching_tokens(const struct answer *a,
				     struct pf_str *text)
{
	char token[ANSWER_TOKEN_SIZE];
	uint32_t i;

	for (i = 0; i < a->length; i++) {
		size_t n = answer_token(a, i, token);

		if (!starts_with(*text, token, n))
			break;
		text->p += n;
		text->n -= n;
	}
	return i;
}

/* Whether @rest repeats tokens of the answer from before token @have. */
static bool repeats_earlier_tokens(const struct answer *a, struct pf_str rest,
				   uint32_t have)
{
	char token[ANSWER_TOKEN_SIZE];

	for (uint32_t from = 0; from < have; from++) {
		struct pf_str left = rest;
		uint32_t i;

		for (i = from; i < have && left.n; i++) {
			size_t n = answer_token(a, i, token);

			if (!starts_with(left, token, n))
				break;
			left.p += n;
			left.n -= n;
		}
		if (left.n == 0 || i == have)
			return true;
	}
	return false;
}

enum verdict check_text(const struct answer *a, struct pf_str text,
			enum finish finish, uint32_t limit, uint32_t *tokens)
{
	uint32_t have = skip_matching_tokens(a, &text);
	uint32_t expected = finish == FINISH_LENGTH && limit < a->length
				    ? limit
				    : a->length;

	if (tokens)
		*tokens = have;
	if (text.n)
		return repeats_earlier_tokens(a, text, have) ? VERDICT_DOUBLED
							     : VERDICT_CROSSED;
	if (have > expected)
		return VERDICT_CROSSED;
	return finish != FINISH_NONE && have == expected ? VERDICT_COMPLETE
							 : VERDICT_CUT;
}
