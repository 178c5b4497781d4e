/* Speed and cost of distributing configurations and of membership. */
#ifndef BENCH_SPREAD_H
#define BENCH_SPREAD_H

#include <stdint.h>

/** Prints a line for each size and fault of distributing configurations. */
void bench_spread(uint64_t seed);

/** Prints a line for each size of membership. */
void bench_members(uint64_t seed);

#endif
