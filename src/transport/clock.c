/* Clocks of the process. */
#include "pimentoford/clock.h"

#include <event2/event.h>
#include <time.h>

static pf_ms read_clock(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return (pf_ms)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

pf_ms pf_clock_now(void)
{
	/* Unlike CLOCK_MONOTONIC it also counts suspended time. */
	return read_clock(CLOCK_BOOTTIME);
}

pf_ms pf_clock_wall(void)
{
	return read_clock(CLOCK_REALTIME);
}

void pf_clock_arm(struct event *timer, pf_ms now, pf_ms deadline)
{
	struct timeval tv = { 0, 0 };

	if (deadline == PF_NEVER) {
		event_del(timer);
		return;
	}
	if (deadline > now)
		tv = pf_clock_timeval(deadline - now);
	event_add(timer, &tv);
}
