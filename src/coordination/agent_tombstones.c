/*
 * Marks of tries that are over. Tries that never ran go to a pair of Bloom
 * filters: a false hit refuses a try as not run, which is true of any try
 * that has no record, so filling up costs retries and never safety. Tries
 * that ran are kept exactly; while that ring is full nothing new is taken in.
 */
#include "agent_core.h"

#include <stdlib.h>
#include <string.h>

#define BITS_PER_TOMB 32
#define PROBES 8

static struct pf_key key_of(struct pf_try id)
{
	return (struct pf_key){ id.request, id.attempt };
}

int tombs_init(struct tombs *t, uint32_t n, pf_ms keep)
{
	uint32_t words = 16;

	while (words < (uint64_t)n * BITS_PER_TOMB / 64)
		words *= 2;
	t->words = words;
	t->keep = keep;
	t->bits[0] = calloc(words, sizeof(uint64_t));
	t->bits[1] = calloc(words, sizeof(uint64_t));
	return t->bits[0] && t->bits[1] ? 0 : -1;
}

void tombs_free(struct tombs *t)
{
	free(t->bits[0]);
	free(t->bits[1]);
}

static void rotate(struct tombs *t, pf_ms now)
{
	uint64_t *old = t->bits[1];
	size_t size = t->words * sizeof(uint64_t);

	if (now - t->since < t->keep)
		return;
	if (now - t->since >= 2 * t->keep)
		memset(t->bits[0], 0, size);
	memset(old, 0, size);
	t->bits[1] = t->bits[0];
	t->bits[0] = old;
	t->since = now;
}

static uint32_t probe(const struct tombs *t, uint64_t h, unsigned int i)
{
	uint32_t step = (uint32_t)(h >> 32) | 1;

	return ((uint32_t)h + i * step) & (t->words * 64 - 1);
}

void tombs_add(struct tombs *t, pf_ms now, struct pf_try id)
{
	uint64_t h = pf_id2(id.request, id.attempt);

	rotate(t, now);
	for (unsigned int i = 0; i < PROBES; i++) {
		uint32_t bit = probe(t, h, i);

		t->bits[0][bit / 64] |= 1ull << (bit % 64);
	}
}

static bool hit(const struct tombs *t, const uint64_t *bits, uint64_t h)
{
	for (unsigned int i = 0; i < PROBES; i++) {
		uint32_t bit = probe(t, h, i);

		if (!(bits[bit / 64] >> (bit % 64) & 1))
			return false;
	}
	return true;
}

bool tombs_has(struct tombs *t, pf_ms now, struct pf_try id)
{
	uint64_t h = pf_id2(id.request, id.attempt);

	rotate(t, now);
	return hit(t, t->bits[0], h) || hit(t, t->bits[1], h);
}

int ended_init(struct ended *e, uint32_t n, pf_ms keep)
{
	e->cap = n;
	e->keep = keep;
	e->ring = calloc(n, sizeof(*e->ring));
	if (!e->ring)
		return -1;
	return pf_map_init(&e->index, n);
}

void ended_free(struct ended *e)
{
	free(e->ring);
	pf_map_free(&e->index);
}

static void expire(struct ended *e, pf_ms now)
{
	while (e->n > 0 && e->ring[e->head].until <= now) {
		pf_map_del(&e->index, key_of(e->ring[e->head].id));
		e->head = (e->head + 1) % e->cap;
		e->n--;
	}
}

uint32_t ended_room(struct ended *e, pf_ms now)
{
	expire(e, now);
	return e->cap - e->n;
}

void ended_add(struct ended *e, pf_ms now, struct pf_try id)
{
	uint32_t at;

	expire(e, now);
	PF_INVARIANT("room for each run that ends", e->n < e->cap);
	at = (e->head + e->n) % e->cap;
	e->ring[at] = (struct grave){ id, now + e->keep };
	e->n++;
	pf_map_put(&e->index, key_of(id), at);
}

bool ended_has(const struct ended *e, struct pf_try id)
{
	return pf_map_get(&e->index, key_of(id), NULL) == 0;
}
