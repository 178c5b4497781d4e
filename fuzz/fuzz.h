/*
 * Stateful fuzzing: each target drives one core with seeded random command
 * sequences and compares it with an oracle of its specified behaviour.
 */
#ifndef FUZZ_FUZZ_H
#define FUZZ_FUZZ_H

#include "pimentoford/base.h"

/** Result of one run of a target. */
struct fuzz_result {
	uint64_t steps;
	uint64_t violations;
	char first_violation[256];
};

/**
 * Runs one sequence of at most @steps_max commands from @seed. The same
 * arguments give the same run; a shorter @steps_max is a prefix of it.
 */
#define TARGET(name)                                        \
	void fuzz_##name(uint64_t seed, uint32_t steps_max, \
			 struct fuzz_result *r);
#include "fuzz/targets.def"
#undef TARGET

/** Counts a violation; keeps the text of the first only. */
void fuzz_violation(struct fuzz_result *r, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

#endif
