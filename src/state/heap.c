/* Binary heap of timers that tracks the position of each slot. */
#include "pimentoford/heap.h"

#include <stdlib.h>

int pf_heap_init(struct pf_heap *h, uint32_t cap)
{
	h->slots = calloc(cap, sizeof(*h->slots));
	h->pos = calloc(cap, sizeof(*h->pos));
	h->keys = calloc(cap, sizeof(*h->keys));
	h->n = 0;
	h->cap = cap;
	if (h->slots && h->pos && h->keys)
		return 0;
	pf_heap_free(h);
	return -1;
}

void pf_heap_free(struct pf_heap *h)
{
	free(h->slots);
	free(h->pos);
	free(h->keys);
	h->slots = NULL;
	h->pos = NULL;
	h->keys = NULL;
	h->n = 0;
}

static void put_slot(struct pf_heap *h, uint32_t i, uint32_t slot)
{
	h->slots[i] = slot;
	h->pos[slot] = i + 1;
}

/* Ties go to the lower slot, so that the order doesn't depend on history. */
static bool fires_before(const struct pf_heap *h, uint32_t a, uint32_t b)
{
	if (h->keys[a] != h->keys[b])
		return h->keys[a] < h->keys[b];
	return a < b;
}

static void sift_up(struct pf_heap *h, uint32_t i, uint32_t slot)
{
	while (i > 0) {
		uint32_t parent = (i - 1) / 2;

		if (!fires_before(h, slot, h->slots[parent]))
			break;
		put_slot(h, i, h->slots[parent]);
		i = parent;
	}
	put_slot(h, i, slot);
}

static void sift_down(struct pf_heap *h, uint32_t i, uint32_t slot)
{
	for (;;) {
		uint32_t c = 2 * i + 1;

		if (c >= h->n)
			break;
		if (c + 1 < h->n &&
		    fires_before(h, h->slots[c + 1], h->slots[c]))
			c++;
		if (!fires_before(h, h->slots[c], slot))
			break;
		put_slot(h, i, h->slots[c]);
		i = c;
	}
	put_slot(h, i, slot);
}

/* Places @slot at @i and restores the heap order in either direction. */
static void sift(struct pf_heap *h, uint32_t i, uint32_t slot)
{
	if (i > 0 && fires_before(h, slot, h->slots[(i - 1) / 2]))
		sift_up(h, i, slot);
	else
		sift_down(h, i, slot);
}

static void remove_slot(struct pf_heap *h, uint32_t slot)
{
	uint32_t i = h->pos[slot];
	uint32_t last;

	if (i == 0)
		return;
	h->pos[slot] = 0;
	last = h->slots[--h->n];
	if (last != slot)
		sift(h, i - 1, last);
}

void pf_heap_set(struct pf_heap *h, uint32_t slot, pf_ms key)
{
	if (key == PF_NEVER) {
		remove_slot(h, slot);
		return;
	}
	h->keys[slot] = key;
	if (h->pos[slot])
		sift(h, h->pos[slot] - 1, slot);
	else
		sift_up(h, h->n++, slot);
}

pf_ms pf_heap_top(const struct pf_heap *h, uint32_t *slot)
{
	if (h->n == 0)
		return PF_NEVER;
	if (slot)
		*slot = h->slots[0];
	return h->keys[h->slots[0]];
}
