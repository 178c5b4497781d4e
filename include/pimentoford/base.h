/*
 * Basic types shared by every layer: time, strings, random numbers, ids and
 * the assertion of invariants.
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

/** A point in time or a duration in milliseconds; real or virtual clock. */
typedef int64_t pf_ms;

/** The time of a timer that is not set. */
#define PF_NEVER INT64_MAX

/** A borrowed, length-counted string; not terminated by a zero byte. */
struct pf_str {
	const char *p;
	size_t n;
};

#define PF_STR(lit) ((struct pf_str){ (lit), sizeof(lit) - 1 })

/** Borrows a C string. */
struct pf_str pf_str_c(const char *s);

bool pf_str_eq(struct pf_str a, struct pf_str b);

/** Copies @s into a new zero-terminated string that the caller frees, or NULL. */
char *pf_str_dup(struct pf_str s);

/** The 64-bit id of a name; never 0, which means "none". */
uint64_t pf_id(struct pf_str name);

/** The id of the pair (@a, @b), e.g. a caller and its idempotency key. */
uint64_t pf_id2(uint64_t a, uint64_t b);

/** A seeded random number generator; each core owns one. */
struct pf_rng {
	unsigned short state[3];
};

void pf_rng_seed(struct pf_rng *r, uint64_t seed);

/** Uniform in [0, 1). */
double pf_rng_unit(struct pf_rng *r);

/** Uniform in [0, @n); 0 when @n is 0. */
uint32_t pf_rng_below(struct pf_rng *r, uint32_t n);

/** Prints which invariant broke and aborts. */
__attribute__((noreturn)) void pf_invariant_broken(const char *name,
						   const char *file, int line);

/** Asserts an invariant; compiled in by default. */
#define PF_INVARIANT(name, cond)                                         \
	do {                                                             \
		if (!(cond))                                             \
			pf_invariant_broken((name), __FILE__, __LINE__); \
	} while (0)

PF_END_DECLS

#endif
