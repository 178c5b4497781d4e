/*
 * The result of one send of a request, parsed from the reply of the entry.
 */
#ifndef PIMENTO_LOAD_OUTCOME_H
#define PIMENTO_LOAD_OUTCOME_H

#include "load/check.h"

#include <glib.h>

PF_BEGIN_DECLS

struct outcome {
	int status; /* HTTP status, 0 if there was no reply */
	bool complete; /* the HTTP reply was received to its end */
	enum finish finish;
	GString *text; /* of a completion, owned */
	bool error; /* the reply is an error */
	bool not_run; /* the error says that nothing ran */
	char *error_code; /* owned, NULL unless error */
	int64_t retry_after_ms;
};

/**
 * Parses @body into @o, whose status and text are set by the caller. @model: a
 * completion, as server-sent events if @stream; else the reply of a plain
 * service.
 */
void outcome_read(struct outcome *o, bool model, bool stream, const char *body);
/** Frees what @o owns. */
void outcome_clear(struct outcome *o);

PF_END_DECLS

#endif
