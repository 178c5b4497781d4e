/* The process's clock; cores are told the time and never ask for it. */
#ifndef PIMENTOFORD_CLOCK_H
#define PIMENTOFORD_CLOCK_H

#include "pimentoford/base.h"

PF_BEGIN_DECLS

/** Milliseconds of the monotonic clock. */
pf_ms pf_clock_now(void);

/** Milliseconds since the epoch, for records that outlive the process. */
pf_ms pf_clock_wall(void);

PF_END_DECLS

#endif
