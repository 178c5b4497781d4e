/*
 * Judges the text of an answer against what the engine stand-in must have
 * produced.
 */
#ifndef PIMENTO_LOAD_CHECK_H
#define PIMENTO_LOAD_CHECK_H

#include "standin/answer.h"

PF_BEGIN_DECLS

enum verdict {
	VERDICT_COMPLETE, /* every token up to the end that was promised */
	VERDICT_CUT, /* its own first part, with the end missing */
	VERDICT_DOUBLED, /* a part of it came twice */
	VERDICT_CROSSED, /* something that is not its own */
};

/** How the answer said that it ended. */
enum finish {
	FINISH_NONE, /* no end was seen */
	FINISH_STOP,
	FINISH_LENGTH, /* stopped at the caller's limit */
};

/**
 * Judges @text, which ended with @finish under an output limit of @limit
 * tokens. @tokens, when not NULL, is set to the tokens that are right.
 */
enum verdict check_text(const struct answer *a, struct pf_str text,
			enum finish finish, uint32_t limit, uint32_t *tokens);

PF_END_DECLS

#endif
