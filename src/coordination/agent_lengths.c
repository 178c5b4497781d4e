/*
 * Used output lengths, learned per (model, caller) in histograms whose
 * buckets grow by a fourth of an octave. Old counts fade by halving.
 */
#include "agent_core.h"

#include <math.h>
#include <string.h>

#define PER_OCTAVE 4
#define FADE_AT 512
#define KNOWN_MIN 8 /* lengths seen before a key is trusted */

static uint32_t bucket_of(uint32_t n)
{
	uint32_t b = (uint32_t)(log2((double)n + 1) * PER_OCTAVE);

	return b < LEARN_BUCKETS ? b : LEARN_BUCKETS - 1;
}

static uint32_t bucket_end(uint32_t b)
{
	return (uint32_t)exp2((double)(b + 1) / PER_OCTAVE);
}

static void count(struct learn *l, uint32_t slot, uint32_t n)
{
	l->count[slot][bucket_of(n)]++;
	if (++l->total[slot] < FADE_AT)
		return;
	l->total[slot] = 0;
	for (uint32_t b = 0; b < LEARN_BUCKETS; b++) {
		l->count[slot][b] /= 2;
		l->total[slot] += l->count[slot][b];
	}
}

void learn_add(struct learn *l, uint64_t model, uint64_t caller, uint32_t n)
{
	uint64_t key = pf_id2(model, caller);
	uint32_t slot = (uint32_t)(key % LEARN_KEYS);

	/* A key that shares the slot takes it over. */
	if (l->key[slot] != key) {
		l->key[slot] = key;
		l->total[slot] = 0;
		memset(l->count[slot], 0, sizeof(l->count[slot]));
	}
	count(l, slot, n);
	count(l, LEARN_KEYS, n);
}

static uint32_t quantile(const struct learn *l, uint32_t slot, double q,
			 uint32_t from)
{
	uint32_t first = from ? bucket_of(from) : 0;
	uint32_t sum = 0, seen = 0, b;

	for (b = first; b < LEARN_BUCKETS; b++)
		sum += l->count[slot][b];
	if (sum == 0)
		return 0;
	for (b = first; b < LEARN_BUCKETS - 1; b++) {
		seen += l->count[slot][b];
		if (seen >= q * sum)
			break;
	}
	return bucket_end(b);
}

uint32_t learn_quantile(const struct learn *l, uint64_t model, uint64_t caller,
			double q, uint32_t from, uint32_t otherwise)
{
	uint64_t key = pf_id2(model, caller);
	uint32_t slot = (uint32_t)(key % LEARN_KEYS);
	uint32_t n;

	if (l->key[slot] != key || l->total[slot] < KNOWN_MIN)
		slot = LEARN_KEYS;
	if (l->total[slot] < KNOWN_MIN)
		return otherwise;
	n = quantile(l, slot, q, from);
	return n > from ? n : otherwise;
}
