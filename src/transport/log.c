/* Logger in logfmt with a rate limit per event. */
#include "pimentoford/log.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define LINE_BYTES_MAX 1024

static const char *const level_names[] = { "debug", "info", "warn", "error" };

/* A line being formatted, truncated at its capacity. */
struct line {
	char *p;
	size_t n;
	size_t cap; /* including the line feed */
};

static void put_char(struct line *l, char c)
{
	if (l->n + 1 < l->cap)
		l->p[l->n++] = c;
}

static void put_str(struct line *l, const char *s)
{
	while (*s)
		put_char(l, *s++);
}

static bool is_bare_word(struct pf_str s)
{
	for (size_t i = 0; i < s.n; i++)
		if ((unsigned char)s.p[i] <= ' ' || strchr("\"=\\\x7f", s.p[i]))
			return false;
	return s.n > 0;
}

static void put_escaped(struct line *l, unsigned char c)
{
	static const char hex[] = "0123456789abcdef";

	if (c == '"' || c == '\\') {
		put_char(l, '\\');
		put_char(l, (char)c);
	} else if (c == '\n') {
		put_str(l, "\\n");
	} else if (c < ' ' || c == 0x7f) {
		put_str(l, "\\x");
		put_char(l, hex[c >> 4]);
		put_char(l, hex[c & 15]);
	} else {
		put_char(l, (char)c);
	}
}

static void put_value(struct line *l, struct pf_str s)
{
	bool quote = !is_bare_word(s);

	if (quote)
		put_char(l, '"');
	for (size_t i = 0; i < s.n; i++)
		put_escaped(l, (unsigned char)s.p[i]);
	if (quote)
		put_char(l, '"');
}

static void put_kv(struct line *l, const struct pf_log_kv *kv)
{
	char num[40];

	put_char(l, ' ');
	put_str(l, kv->key);
	put_char(l, '=');
	switch (kv->type) {
	case PF_LOG_STR:
		put_value(l, kv->u.s);
		return;
	case PF_LOG_INT:
		snprintf(num, sizeof(num), "%" PRId64, kv->u.i);
		break;
	case PF_LOG_REAL:
		snprintf(num, sizeof(num), "%.6g", kv->u.d);
		break;
	}
	put_str(l, num);
}

static void put_time(struct line *l, pf_ms wall)
{
	time_t s = (time_t)(wall / 1000);
	struct tm tm;
	char buf[64];
	size_t n;

	gmtime_r(&s, &tm);
	n = strftime(buf, sizeof(buf), "%Y-%m-%dT%H:%M:%S", &tm);
	snprintf(buf + n, sizeof(buf) - n, ".%03dZ", (int)(wall % 1000));
	put_str(l, "ts=");
	put_str(l, buf);
}

size_t pf_log_format(const struct pf_log *l, enum pf_log_level level,
		     pf_ms wall, const struct pf_log_kv *kv, size_t n,
		     char *buf, size_t cap)
{
	struct line out = { buf, 0, cap };

	put_time(&out, wall);
	put_str(&out, " level=");
	put_str(&out, level_names[level]);
	put_str(&out, " task=");
	put_value(&out, pf_str_c(l->task));
	for (size_t i = 0; i < n; i++)
		put_kv(&out, &kv[i]);
	if (cap)
		buf[out.n++] = '\n';
	return out.n;
}

static void write_line(const struct pf_log *l, enum pf_log_level level,
		       pf_ms wall, const struct pf_log_kv *kv, size_t n)
{
	size_t len, done = 0;
	char buf[LINE_BYTES_MAX];

	len = pf_log_format(l, level, wall, kv, n, buf, sizeof(buf));
	/* Write errors are ignored: logging must not stop the daemon. */
	while (done < len) {
		ssize_t w = write(l->fd, buf + done, len - done);

		if (w <= 0)
			return;
		done += (size_t)w;
	}
}

/* Logs the number of suppressed lines per event and resets the counts. */
static void start_second(const struct pf_log *l, pf_ms wall)
{
	struct pf_log_limit *m = l->limit;

	for (size_t i = 0; i < PF_LOG_EVENTS; i++) {
		if (m->events[i].suppressed) {
			const struct pf_log_kv kv[] = {
				PF_KV_STR("event", "left_out"),
				PF_KV_STR("of", m->events[i].name),
				PF_KV_INT("lines", m->events[i].suppressed),
			};

			write_line(l, PF_LOG_WARN, wall, kv, 3);
		}
		m->events[i].lines = 0;
		m->events[i].suppressed = 0;
	}
	m->current_second = wall / 1000;
}

/* Whether @event is below its limit in the current second. Counts the line. */
static bool within_limit(const struct pf_log *l, pf_ms wall,
			 struct pf_str event)
{
	struct pf_log_limit *m = l->limit;
	uint64_t id = pf_id(event);
	size_t i;

	if (!m || !m->per_s)
		return true;
	if (wall / 1000 != m->current_second)
		start_second(l, wall);
	for (i = 0; i < PF_LOG_EVENTS; i++) {
		if (!m->events[i].event) {
			m->events[i].event = id;
			snprintf(m->events[i].name, sizeof(m->events[i].name),
				 "%.*s", (int)event.n, event.p);
		}
		if (m->events[i].event == id)
			break;
	}
	/* Events that don't fit the table are rare and not limited. */
	if (i == PF_LOG_EVENTS || m->events[i].lines++ < m->per_s)
		return true;
	m->events[i].suppressed++;
	return false;
}

void pf_log_write(const struct pf_log *l, enum pf_log_level level,
		  const struct pf_log_kv *kv, size_t n)
{
	struct timespec ts;
	pf_ms wall;

	if (level < l->level)
		return;
	clock_gettime(CLOCK_REALTIME, &ts);
	wall = (pf_ms)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
	if (n && !within_limit(l, wall, kv[0].u.s))
		return;
	write_line(l, level, wall, kv, n);
}
