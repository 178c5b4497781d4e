/*
 * Records of ended tries. Tries that never ran go to a pair of Bloom filters: a
 * false positive refuses a new try as not run, which is true, so full filters
 * cost retries but no safety. Tries that ran are recorded exactly; while that
 * ring is full no try is accepted.
 */
#include "agent_core.h"

#include <stdlib.h>
#include <string.h>

#define BITS_PER_TOMBSTONE 32
#define PROBES 8

static struct pf_key try_key(struct pf_try id)
{
	return (struct pf_key){ id.request, id.attempt };
}

int tombstones_init(struct tombstones *t, uint32_t n, pf_ms keep)
{
	uint32_t words = 16;

	while (words < (uint64_t)n * BITS_PER_TOMBSTONE / 64)
		words *= 2;
	t->n_words = words;
	t->keep = keep;
	t->filters[0] = calloc(words, sizeof(uint64_t));
	t->filters[1] = calloc(words, sizeof(uint64_t));
	return t->filters[0] && t->filters[1] ? 0 : -1;
}

void tombstones_free(struct tombstones *t)
{
	free(t->filters[0]);
	free(t->filters[1]);
}

/* Replaces the previous filter by the current one after each `keep`. */
static void rotate_filters(struct tombstones *t, pf_ms now)
{
	uint64_t *old = t->filters[1];
	size_t size = t->n_words * sizeof(uint64_t);

	if (now - t->rotated_at < t->keep)
		return;
	if (now - t->rotated_at >= 2 * t->keep)
		memset(t->filters[0], 0, size);
	memset(old, 0, size);
	t->filters[1] = t->filters[0];
	t->filters[0] = old;
	t->rotated_at = now;
}

/* The bit of probe @i for the hash @h (double hashing). */
static uint32_t probe_bit(const struct tombstones *t, uint64_t h,
			  unsigned int i)
{
	uint32_t step = (uint32_t)(h >> 32) | 1;

	return ((uint32_t)h + i * step) & (t->n_words * 64 - 1);
}

void tombstones_add(struct tombstones *t, pf_ms now, struct pf_try id)
{
	uint64_t h = pf_id2(id.request, id.attempt);

	rotate_filters(t, now);
	for (unsigned int i = 0; i < PROBES; i++) {
		uint32_t bit = probe_bit(t, h, i);

		t->filters[0][bit / 64] |= 1ull << (bit % 64);
	}
}

static bool filter_has(const struct tombstones *t, const uint64_t *bits,
		       uint64_t h)
{
	for (unsigned int i = 0; i < PROBES; i++) {
		uint32_t bit = probe_bit(t, h, i);

		if (!(bits[bit / 64] >> (bit % 64) & 1))
			return false;
	}
	return true;
}

bool tombstones_has(struct tombstones *t, pf_ms now, struct pf_try id)
{
	uint64_t h = pf_id2(id.request, id.attempt);

	rotate_filters(t, now);
	return filter_has(t, t->filters[0], h) ||
	       filter_has(t, t->filters[1], h);
}

int ended_runs_init(struct ended_runs *e, uint32_t n, pf_ms keep)
{
	e->cap = n;
	e->keep = keep;
	e->ring = calloc(n, sizeof(*e->ring));
	if (!e->ring)
		return -1;
	return pf_map_init(&e->index, n);
}

void ended_runs_free(struct ended_runs *e)
{
	free(e->ring);
	pf_map_free(&e->index);
}

static void expire_ended(struct ended_runs *e, pf_ms now)
{
	while (e->n > 0 && e->ring[e->head].expires_at <= now) {
		pf_map_del(&e->index, try_key(e->ring[e->head].id));
		e->head = (e->head + 1) % e->cap;
		e->n--;
	}
}

uint32_t ended_runs_room(struct ended_runs *e, pf_ms now)
{
	expire_ended(e, now);
	return e->cap - e->n;
}

void ended_runs_add(struct ended_runs *e, pf_ms now, struct pf_try id)
{
	uint32_t at;

	expire_ended(e, now);
	PF_INVARIANT("room for each run that ends", e->n < e->cap);
	at = (e->head + e->n) % e->cap;
	e->ring[at] = (struct ended_run){ id, now + e->keep };
	e->n++;
	pf_map_put(&e->index, try_key(id), at);
}

bool ended_runs_has(const struct ended_runs *e, struct pf_try id)
{
	return pf_map_get(&e->index, try_key(id), NULL) == 0;
}
