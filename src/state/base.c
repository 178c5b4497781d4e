/* Strings, ids, random numbers and the failure of invariants. */
#include "pimentoford/base.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

struct pf_str pf_str_c(const char *s)
{
	return (struct pf_str){ s, s ? strlen(s) : 0 };
}

bool pf_str_eq(struct pf_str a, struct pf_str b)
{
	return a.n == b.n && (a.n == 0 || memcmp(a.p, b.p, a.n) == 0);
}

char *pf_str_dup(struct pf_str s)
{
	char *d = malloc(s.n + 1);

	if (!d)
		return NULL;
	if (s.n)
		memcpy(d, s.p, s.n);
	d[s.n] = '\0';
	return d;
}

uint64_t pf_id(struct pf_str name)
{
	uint64_t h = XXH64(name.p, name.n, 0);

	return h ? h : 1;
}

uint64_t pf_id2(uint64_t a, uint64_t b)
{
	uint64_t pair[2] = { a, b };
	uint64_t h = XXH64(pair, sizeof(pair), 0);

	return h ? h : 1;
}

void pf_rng_seed(struct pf_rng *r, uint64_t seed)
{
	uint64_t h = XXH64(&seed, sizeof(seed), 0);

	r->state[0] = (unsigned short)h;
	r->state[1] = (unsigned short)(h >> 16);
	r->state[2] = (unsigned short)(h >> 32);
}

double pf_rng_unit(struct pf_rng *r)
{
	return erand48(r->state);
}

uint32_t pf_rng_below(struct pf_rng *r, uint32_t n)
{
	return (uint32_t)(pf_rng_unit(r) * n);
}

void pf_invariant_broken(const char *name, const char *file, int line)
{
	fprintf(stderr, "level=fatal invariant=\"%s\" at=%s:%d\n", name, file,
		line);
	abort();
}
