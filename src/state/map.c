/* Bounded hash map: open addressing, linear probing, backward-shift delete. */
#include "pimentoford/map.h"

#include <stdlib.h>
#include <xxhash.h>

int pf_map_init(struct pf_map *m, uint32_t cap)
{
	uint32_t size = 8;

	/* At most two thirds full, which keeps probe sequences short. */
	while (size < cap + cap / 2 + 1)
		size *= 2;
	m->cells = calloc(size, sizeof(*m->cells));
	if (!m->cells)
		return -1;
	m->mask = size - 1;
	m->n = 0;
	m->cap = cap;
	return 0;
}

void pf_map_free(struct pf_map *m)
{
	free(m->cells);
	m->cells = NULL;
	m->n = 0;
}

/* Where the probe sequence of @k starts. */
static uint32_t home_cell(const struct pf_map *m, struct pf_key k)
{
	return (uint32_t)XXH64(&k, sizeof(k), 0) & m->mask;
}

static bool keys_equal(struct pf_key x, struct pf_key y)
{
	return x.a == y.a && x.b == y.b;
}

/* The cell of @k, or the free cell where it would be inserted. */
static uint32_t find_cell(const struct pf_map *m, struct pf_key k)
{
	uint32_t i = home_cell(m, k);

	while (m->cells[i].used && !keys_equal(m->cells[i].key, k))
		i = (i + 1) & m->mask;
	return i;
}

int pf_map_get(const struct pf_map *m, struct pf_key k, uint32_t *val)
{
	const struct pf_map_cell *c = &m->cells[find_cell(m, k)];

	if (!c->used)
		return -1;
	if (val)
		*val = c->val;
	return 0;
}

int pf_map_put(struct pf_map *m, struct pf_key k, uint32_t val)
{
	struct pf_map_cell *c = &m->cells[find_cell(m, k)];

	if (!c->used) {
		if (m->n >= m->cap)
			return -1;
		c->used = true;
		c->key = k;
		m->n++;
	}
	c->val = val;
	return 0;
}

int pf_map_del(struct pf_map *m, struct pf_key k)
{
	uint32_t hole = find_cell(m, k);
	uint32_t i = hole;

	if (!m->cells[hole].used)
		return -1;
	/* Shift later cells into the hole, but never before their home cell. */
	for (;;) {
		uint32_t h;

		i = (i + 1) & m->mask;
		if (!m->cells[i].used)
			break;
		h = home_cell(m, m->cells[i].key);
		if (((i - h) & m->mask) >= ((i - hole) & m->mask)) {
			m->cells[hole] = m->cells[i];
			hole = i;
		}
	}
	m->cells[hole].used = false;
	m->n--;
	return 0;
}
