/* Judges the text of an answer. */
#include "load/check.h"

#include <string.h>

static bool starts_with(struct pf_str text, const char *token, size_t n)
{
	return n <= text.n && memcmp(text.p, token, n) == 0;
}

/* Takes the right tokens off the front of @text; how many they were. */
static uint32_t take_right(const struct answer *a, struct pf_str *text)
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

/* Whether @rest goes on with tokens that came before token @have. */
static bool repeats(const struct answer *a, struct pf_str rest, uint32_t have)
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
	uint32_t have = take_right(a, &text);
	uint32_t want = finish == FINISH_LENGTH && limit < a->length
				? limit
				: a->length;

	if (tokens)
		*tokens = have;
	if (text.n)
		return repeats(a, text, have) ? VERDICT_DOUBLED
					      : VERDICT_CROSSED;
	if (have > want)
		return VERDICT_CROSSED;
	return finish != FINISH_NONE && have == want ? VERDICT_WHOLE
						     : VERDICT_CUT;
}
