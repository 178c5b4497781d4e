/*
 * The clocks of the process. Only daemons read them; cores get the current
 * time as an argument.
 */
#ifndef PIMENTOFORD_CLOCK_H
#define PIMENTOFORD_CLOCK_H

#include "pimentoford/base.h"

#include <sys/time.h>

PF_BEGIN_DECLS

/** Monotonic time in ms; includes the time that the system is suspended. */
pf_ms pf_clock_now(void);

/** Wall-clock time in ms since the epoch, for data that is stored. */
pf_ms pf_clock_wall(void);

/** Converts a duration to a timeval, as libevent takes it. */
static inline struct timeval pf_clock_timeval(pf_ms ms)
{
	struct timeval tv = { ms / 1000, (ms % 1000) * 1000 };

	return tv;
}

struct event;

/**
 * Schedules @timer for the absolute time @deadline; PF_NEVER cancels it. @now
 * is the current time of the same clock.
 */
void pf_clock_arm(struct event *timer, pf_ms now, pf_ms deadline);

PF_END_DECLS

#endif
