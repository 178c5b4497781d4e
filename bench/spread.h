/* How fast and at what cost configurations and sessions spread. */
#ifndef BENCH_SPREAD_H
#define BENCH_SPREAD_H

#include <stdint.h>

/** Prints a line for each case of spreading configurations. */
void bench_spread(uint64_t seed);

/** Prints a line for each size of membership. */
void bench_members(uint64_t seed);

#endif
