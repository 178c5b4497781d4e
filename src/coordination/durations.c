/* The longest durations of late, by key. */
#include "pimentoford/durations.h"

#include "pimentoford/map.h"

#include <stdlib.h>

#define CAP_MIN 16

struct entry {
	uint64_t key;
	int64_t window; /* number of the last one with a duration */
	pf_ms longest; /* in that window */
	pf_ms before; /* in the window before it */
};

struct pf_durations {
	struct entry *v;
	uint32_t n;
	uint32_t cap;
	struct pf_map by_key; /* to indices of `v` */
};

struct pf_durations *pf_durations_new(void)
{
	struct pf_durations *d = calloc(1, sizeof(*d));

	if (!d)
		return NULL;
	d->cap = CAP_MIN;
	d->v = calloc(d->cap, sizeof(*d->v));
	if (!d->v || pf_map_init(&d->by_key, d->cap) < 0) {
		pf_durations_free(d);
		return NULL;
	}
	return d;
}

void pf_durations_free(struct pf_durations *d)
{
	if (!d)
		return;
	pf_map_free(&d->by_key);
	free(d->v);
	free(d);
}

static bool is_recent(const struct entry *e, int64_t window)
{
	return window - e->window <= 1;
}

/* Drops keys out of use, and doubles the table if most remain. */
static int make_room(struct pf_durations *d, int64_t window)
{
	uint32_t cap = d->cap;
	struct pf_map index;
	struct entry *v;
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i < d->n; i++)
		n += is_recent(&d->v[i], window);
	if (n * 2 > cap)
		cap *= 2;
	if (pf_map_init(&index, cap) < 0)
		return -1;
	v = realloc(d->v, cap * sizeof(*v));
	if (!v) {
		pf_map_free(&index);
		return -1;
	}
	for (n = 0, i = 0; i < d->n; i++) {
		if (!is_recent(&v[i], window))
			continue;
		v[n] = v[i];
		(void)pf_map_put(&index, pf_key1(v[n].key), n);
		n++;
	}
	pf_map_free(&d->by_key);
	*d = (struct pf_durations){ v, n, cap, index };
	return 0;
}

static struct entry *find_or_add(struct pf_durations *d, uint64_t key,
				 int64_t window)
{
	uint32_t i;

	if (pf_map_get(&d->by_key, pf_key1(key), &i) == 0)
		return &d->v[i];
	if (d->n == d->cap && make_room(d, window) < 0)
		return NULL;
	if (pf_map_put(&d->by_key, pf_key1(key), d->n) < 0)
		return NULL;
	d->v[d->n] = (struct entry){ .key = key, .window = window };
	return &d->v[d->n++];
}

void pf_durations_add(struct pf_durations *d, pf_ms now, uint64_t key, pf_ms ms)
{
	int64_t window = now / PF_DURATIONS_WINDOW_MS;
	struct entry *e = find_or_add(d, key, window);

	if (!e)
		return;
	if (e->window != window) {
		e->before = window - e->window == 1 ? e->longest : 0;
		e->longest = 0;
		e->window = window;
	}
	if (e->longest < ms)
		e->longest = ms;
}

pf_ms pf_durations_longest(const struct pf_durations *d, pf_ms now,
			   uint64_t key)
{
	int64_t window = now / PF_DURATIONS_WINDOW_MS;
	const struct entry *e;
	uint32_t i;

	if (pf_map_get(&d->by_key, pf_key1(key), &i) < 0)
		return 0;
	e = &d->v[i];
	if (!is_recent(e, window))
		return 0;
	if (e->window != window)
		return e->longest;
	return e->longest > e->before ? e->longest : e->before;
}
