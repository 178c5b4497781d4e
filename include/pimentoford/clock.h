/* The process's clock; cores are told the time and never ask for it. */
#ifndef PIMENTOFORD_CLOCK_H
#define PIMENTOFORD_CLOCK_H

#include "pimentoford/base.h"

#include <sys/time.h>

PF_BEGIN_DECLS

/** Milliseconds of a clock that never steps and also counts suspension. */
pf_ms pf_clock_now(void);

/** Milliseconds since the epoch, for records that outlive the process. */
pf_ms pf_clock_wall(void);

/** A duration as libevent takes it. */
static inline struct timeval pf_clock_timeval(pf_ms ms)
{
	struct timeval tv = { ms / 1000, (ms % 1000) * 1000 };

	return tv;
}

struct event;

/** Sets @timer to @deadline on the clock that says @now; PF_NEVER removes it. */
void pf_clock_arm(struct event *timer, pf_ms now, pf_ms deadline);

PF_END_DECLS

#endif
