/*
 * Histograms of output lengths per (model, caller), with four buckets per
 * octave. Counts are halved at HALVE_AT_COUNT, so old lengths lose weight.
 */
#include "agent_core.h"

#include <math.h>
#include <string.h>

#define BUCKETS_PER_OCTAVE 4
#define HALVE_AT_COUNT 512
#define SAMPLES_MIN 8 /* below it, use all keys or the fallback */

static uint32_t bucket_of(uint32_t n)
{
	uint32_t b = (uint32_t)(log2((double)n + 1) * BUCKETS_PER_OCTAVE);

	return b < LENGTH_BUCKETS ? b : LENGTH_BUCKETS - 1;
}

static uint32_t bucket_end(uint32_t b)
{
	return (uint32_t)exp2((double)(b + 1) / BUCKETS_PER_OCTAVE);
}

static void count_length(struct length_histograms *l, uint32_t slot, uint32_t n)
{
	l->counts[slot][bucket_of(n)]++;
	if (++l->totals[slot] < HALVE_AT_COUNT)
		return;
	l->totals[slot] = 0;
	for (uint32_t b = 0; b < LENGTH_BUCKETS; b++) {
		l->counts[slot][b] /= 2;
		l->totals[slot] += l->counts[slot][b];
	}
}

void lengths_add(struct length_histograms *l, uint64_t model, uint64_t caller,
		 uint32_t n)
{
	uint64_t key = pf_id2(model, caller);
	uint32_t slot = (uint32_t)(key % LENGTH_KEYS);

	/* On a collision the new key replaces the old one. */
	if (l->keys[slot] != key) {
		l->keys[slot] = key;
		l->totals[slot] = 0;
		memset(l->counts[slot], 0, sizeof(l->counts[slot]));
	}
	count_length(l, slot, n);
	count_length(l, LENGTH_KEYS, n);
}

/* 0 when no length of @from or more was recorded. */
static uint32_t slot_quantile(const struct length_histograms *l, uint32_t slot,
			      double q, uint32_t from)
{
	uint32_t first = from ? bucket_of(from) : 0;
	uint32_t sum = 0, seen = 0, b;

	for (b = first; b < LENGTH_BUCKETS; b++)
		sum += l->counts[slot][b];
	if (sum == 0)
		return 0;
	for (b = first; b < LENGTH_BUCKETS - 1; b++) {
		seen += l->counts[slot][b];
		if (seen >= q * sum)
			break;
	}
	return bucket_end(b);
}

uint32_t lengths_quantile(const struct length_histograms *l, uint64_t model,
			  uint64_t caller, double q, uint32_t from,
			  uint32_t fallback)
{
	uint64_t key = pf_id2(model, caller);
	uint32_t slot = (uint32_t)(key % LENGTH_KEYS);
	uint32_t n;

	if (l->keys[slot] != key || l->totals[slot] < SAMPLES_MIN)
		slot = LENGTH_KEYS;
	if (l->totals[slot] < SAMPLES_MIN)
		return fallback;
	n = slot_quantile(l, slot, q, from);
	return n > from ? n : fallback;
}
