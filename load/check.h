/*
 * Compares the text of an answer with what the engine stand-in generates for
 * the request.
 */
#ifndef PIMENTO_LOAD_CHECK_H
#define PIMENTO_LOAD_CHECK_H

#include "standin/answer.h"

PF_BEGIN_DECLS

enum verdict {
	VERDICT_COMPLETE, /* correct up to the end or the output limit */
	VERDICT_CUT, /* a correct prefix, the rest is missing */
	VERDICT_DOUBLED, /* some tokens were repeated */
	VERDICT_CROSSED, /* text that is not part of this answer */
};

/** The finish reason of an answer. */
enum finish {
	FINISH_NONE, /* none received */
	FINISH_STOP,
	FINISH_LENGTH, /* stopped at the request's output limit */
};

/**
 * Compares @text, which ended with @finish under an output limit of @limit
 * tokens, with @a. @tokens, if not NULL, is set to the number of leading
 * correct tokens.
 */
enum verdict check_text(const struct answer *a, struct pf_str text,
			enum finish finish, uint32_t limit, uint32_t *tokens);

PF_END_DECLS

#endif
