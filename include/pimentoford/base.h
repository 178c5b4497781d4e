/*
 * Basic types shared by every layer: time, strings, ids, random numbers and
 * invariant checks.
 */
#ifndef PIMENTOFORD_BASE_H
#define PIMENTOFORD_BASE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
#define PF_BEGIN_DECLS extern "C" {
#define PF_END_DECLS }
#else
#define PF_BEGIN_DECLS
#define PF_END_DECLS
#endif

PF_BEGIN_DECLS

/**
 * A point in time or a duration, in milliseconds. The clock is real in the
 * daemons and virtual in tests and simulations.
 */
typedef int64_t pf_ms;

/** The expiry of a timer that is not set. */
#define PF_NEVER INT64_MAX

/** A borrowed string of `n` bytes; not necessarily zero-terminated. */
struct pf_str {
	const char *p;
	size_t n;
};

/** Wraps a string literal. */
#define PF_STR(lit) ((struct pf_str){ (lit), sizeof(lit) - 1 })

/** Wraps a zero-terminated string; NULL becomes the empty string. */
struct pf_str pf_str_c(const char *s);

bool pf_str_eq(struct pf_str a, struct pf_str b);

/** Zero-terminated copy of @s, freed by the caller; NULL without memory. */
char *pf_str_dup(struct pf_str s);

/** Hashes a name to a 64-bit id; never 0, which stands for "none". */
uint64_t pf_id(struct pf_str name);

/** Hashes the pair (@a, @b), e.g. a caller and its idempotency key. */
uint64_t pf_id2(uint64_t a, uint64_t b);

/** A seeded random number generator; every core has its own. */
struct pf_rng {
	unsigned short state[3];
};

void pf_rng_seed(struct pf_rng *r, uint64_t seed);

/** Uniform in [0, 1). */
double pf_rng_unit(struct pf_rng *r);

/** Uniform in [0, @n); 0 when @n is 0. */
uint32_t pf_rng_below(struct pf_rng *r, uint32_t n);

/** Prints the name and place of a violated invariant and aborts. */
__attribute__((noreturn)) void pf_invariant_broken(const char *name,
						   const char *file, int line);

/** Aborts if an invariant doesn't hold; also compiled into releases. */
#define PF_INVARIANT(name, cond)                                         \
	do {                                                             \
		if (!(cond))                                             \
			pf_invariant_broken((name), __FILE__, __LINE__); \
	} while (0)

PF_END_DECLS

#endif
