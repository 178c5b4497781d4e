/*
 * Logger in logfmt: one line per event, e.g.
 * ts=2026-01-31T12:00:00.123Z level=info task=entry event=ready models=3
 */
#ifndef PIMENTOFORD_LOG_H
#define PIMENTOFORD_LOG_H

#include "pimentoford/base.h"

PF_BEGIN_DECLS

enum pf_log_level { PF_LOG_DEBUG, PF_LOG_INFO, PF_LOG_WARN, PF_LOG_ERROR };

/** Distinct events that the rate limit tracks. */
#define PF_LOG_EVENTS 32

/** Rate limit of log lines per event; initialized to zero. */
struct pf_log_limit {
	uint32_t per_s; /* lines of an event per second; 0: no limit */
	pf_ms current_second; /* wall clock, in seconds */
	struct {
		uint64_t event; /* pf_id() of the name; 0: free slot */
		uint32_t lines;
		uint32_t suppressed;
		char name[24];
	} events[PF_LOG_EVENTS];
};

/** Logger of one task. Several tasks may share a descriptor. */
struct pf_log {
	int fd;
	enum pf_log_level level; /* lines below it are dropped */
	const char *task; /* borrowed */
	struct pf_log_limit *limit; /* borrowed; NULL: no limit */
};

enum pf_log_type { PF_LOG_STR, PF_LOG_INT, PF_LOG_REAL };

struct pf_log_kv {
	const char *key;
	enum pf_log_type type;
	union {
		struct pf_str s;
		int64_t i;
		double d;
	} u;
};

#define PF_KV_STR(k, v) \
	((struct pf_log_kv){ (k), PF_LOG_STR, { .s = pf_str_c(v) } })
#define PF_KV_TEXT(k, v) ((struct pf_log_kv){ (k), PF_LOG_STR, { .s = (v) } })
#define PF_KV_INT(k, v) \
	((struct pf_log_kv){ (k), PF_LOG_INT, { .i = (int64_t)(v) } })
#define PF_KV_REAL(k, v) ((struct pf_log_kv){ (k), PF_LOG_REAL, { .d = (v) } })

/**
 * Formats a line with its line feed into @buf, truncated to @cap bytes.
 * Returns its length; the line is not zero-terminated.
 */
size_t pf_log_format(const struct pf_log *l, enum pf_log_level level,
		     pf_ms wall, const struct pf_log_kv *kv, size_t n,
		     char *buf, size_t cap);

/** Writes a line; @kv[0] must be the event. Write errors are ignored. */
void pf_log_write(const struct pf_log *l, enum pf_log_level level,
		  const struct pf_log_kv *kv, size_t n);

/** PF_LOG(&log, PF_LOG_INFO, "ready", PF_KV_INT("models", 3)); C only. */
#define PF_LOG(l, lvl, ...) PF_LOG_EVENT_((l), (lvl), __VA_ARGS__, )
#define PF_LOG_EVENT_(l, lvl, event_, ...)                                   \
	pf_log_write((l), (lvl),                                             \
		     (const struct pf_log_kv[]){ PF_KV_STR("event", event_), \
						 __VA_ARGS__ },              \
		     sizeof((const struct pf_log_kv[]){                      \
			     PF_KV_STR("event", event_), __VA_ARGS__ }) /    \
			     sizeof(struct pf_log_kv))

PF_END_DECLS

#endif
