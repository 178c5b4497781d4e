/* Clocks of the process. Cores don't read a clock: the caller passes the time. */
#ifndef PIMENTOFORD_CLOCK_H
#define PIMENTOFORD_CLOCK_H

#include "pimentoford/base.h"

#include <sys/time.h>

PF_BEGIN_DECLS

/** Monotonic clock in milliseconds, including suspended time. */
pf_ms pf_clock_now(void);

/** Wall clock in milliseconds since the epoch, for stored records. */
pf_ms pf_clock_wall(void);

/** Converts a duration for libevent. */
static inline struct timeval pf_clock_timeval(pf_ms ms)
{
	struct timeval tv = { ms / 1000, (ms % 1000) * 1000 };

	return tv;
}

struct event;

/** Arms @timer for @deadline, given @now of the same clock; PF_NEVER disarms. */
void pf_clock_arm(struct event *timer, pf_ms now, pf_ms deadline);

PF_END_DECLS

#endif
