/*
 * How one send of a request ended, read from what the entry answered.
 */
#ifndef PIMENTO_LOAD_OUTCOME_H
#define PIMENTO_LOAD_OUTCOME_H

#include "load/check.h"

#include <glib.h>

PF_BEGIN_DECLS

struct outcome {
	int status; /* 0: no answer */
	bool complete; /* the connection carried the answer to its end */
	enum finish finish;
	GString *text; /* of a completion */
	bool error; /* the answer is an error */
	bool not_run; /* and says that nothing ran */
	char *error_code;
	int64_t retry_after_ms;
};

/**
 * Reads @body into @o, whose status is set: a completion when @model, as
 * events when @stream, else the answer of a plain service.
 */
void outcome_read(struct outcome *o, bool model, bool stream, const char *body);
void outcome_clear(struct outcome *o);

PF_END_DECLS

#endif
