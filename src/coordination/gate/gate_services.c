/*
 * State of each service: its retry budget and the rate of its answers. Services
 * come with versions of the configuration; one that has been out of use for
 * longer than any of its figures counts makes room for others.
 */
#include "src/coordination/gate/gate_core.h"

#include <stdlib.h>
#include <string.h>

#define SERVICES_CAP_MIN 16
/* The retry budget counts seconds, the newest of which is incomplete. */
#define BUDGET_MARGIN_MS 1000

static uint32_t count_in_use(const struct gate_services *s, pf_ms oldest)
{
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i < s->n; i++)
		n += s->v[i].used_at >= oldest;
	return n;
}

/* Drops services that are out of use, and doubles the table if most remain.
 * Returns 0, or -1 without memory and nothing changed. */
static int make_room(struct pf_gate *g, struct gate_services *s)
{
	pf_ms oldest = g->now - g->opts.repeat_window - BUDGET_MARGIN_MS;
	uint32_t cap = s->cap ? s->cap : SERVICES_CAP_MIN;
	struct gate_service *v;
	struct pf_map index;
	uint32_t n = 0;
	uint32_t i;

	if (count_in_use(s, oldest) * 2 > cap)
		cap *= 2;
	if (pf_map_init(&index, cap) < 0)
		return -1;
	v = realloc(s->v, cap * sizeof(*v));
	if (!v) {
		pf_map_free(&index);
		return -1;
	}
	for (i = 0; i < s->n; i++) {
		if (v[i].used_at < oldest)
			continue;
		v[n] = v[i];
		(void)pf_map_put(&index, pf_key1(v[n].id), n);
		n++;
	}
	pf_map_free(&s->by_id);
	*s = (struct gate_services){ v, n, cap, index };
	return 0;
}

struct gate_service *gate_service(struct pf_gate *g, uint64_t id)
{
	struct gate_services *s = &g->services;
	struct gate_service *found;
	uint32_t i;

	if (s->cap && pf_map_get(&s->by_id, pf_key1(id), &i) == 0) {
		s->v[i].used_at = g->now;
		return &s->v[i];
	}
	if (s->n == s->cap && make_room(g, s) < 0)
		return NULL;
	if (pf_map_put(&s->by_id, pf_key1(id), s->n) < 0)
		return NULL;
	found = &s->v[s->n++];
	memset(found, 0, sizeof(*found));
	found->id = id;
	found->used_at = g->now;
	return found;
}

void gate_services_free(struct pf_gate *g)
{
	pf_map_free(&g->services.by_id);
	free(g->services.v);
}
