/*
 * The prompt parts that may have caused the recent crashes of endpoints, each
 * with the set of these crashes. A prompt has as many parts as its head holds,
 * and a crash as many suspects as its endpoint had requests, so the table grows
 * with them. At its bound, the crash with the lowest serial gives way whole.
 */
#include "src/coordination/gate/gate_core.h"

#include <stdlib.h>

#define SUSPECTS_CAP_MIN 64
#define SUSPECTS_MAX 32768

uint32_t gate_suspect_records(const struct pf_gate *g, uint64_t part)
{
	const struct gate_suspects *s = &g->suspects;
	uint32_t i;

	if (!s->cap || pf_map_get(&s->by_part, pf_key1(part), &i) < 0)
		return 0;
	return s->v[i].records;
}

/* Drops parts that are suspects of no crash; @cap: of the table from now on.
 * Returns 0, or -1 without memory and nothing changed. */
static int rebuild(struct gate_suspects *s, uint32_t cap)
{
	struct gate_suspect *v;
	struct pf_map index;
	uint32_t n = 0;
	uint32_t i;

	if (pf_map_init(&index, cap) < 0)
		return -1;
	v = realloc(s->v, cap * sizeof(*v));
	if (!v) {
		pf_map_free(&index);
		return -1;
	}
	for (i = 0; i < s->n; i++) {
		if (!v[i].records)
			continue;
		v[n] = v[i];
		(void)pf_map_put(&index, pf_key1(v[n].part), n);
		n++;
	}
	pf_map_free(&s->by_part);
	*s = (struct gate_suspects){ v, n, cap, index };
	return 0;
}

static uint32_t count_used(const struct gate_suspects *s)
{
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i < s->n; i++)
		n += s->v[i].records != 0;
	return n;
}

static int make_room(struct gate_suspects *s)
{
	uint32_t cap = s->cap ? s->cap : SUSPECTS_CAP_MIN;

	if (count_used(s) * 2 > cap && cap < SUSPECTS_MAX)
		cap *= 2;
	if (rebuild(s, cap) < 0)
		return -1;
	return s->n < s->cap ? 0 : -1;
}

/* The record of the oldest crash but @keep; GATE_NIL: there is none. */
static uint32_t oldest_record(const struct pf_gate *g, uint32_t keep)
{
	uint32_t oldest = GATE_NIL;
	uint32_t i;

	for (i = 0; i < GATE_CRASH_RECORDS; i++) {
		const struct gate_crash_record *c = &g->crash_records[i];

		if (i == keep || !c->incarnation)
			continue;
		if (oldest == GATE_NIL || c->at < g->crash_records[oldest].at)
			oldest = i;
	}
	return oldest;
}

void gate_suspects_forget(struct pf_gate *g, uint32_t record)
{
	uint32_t i;

	for (i = 0; i < g->suspects.n; i++)
		g->suspects.v[i].records &= ~(UINT32_C(1) << record);
}

void gate_suspect_add(struct pf_gate *g, uint64_t part, uint32_t record)
{
	struct gate_suspects *s = &g->suspects;
	uint32_t oldest;
	uint32_t i;

	if (s->cap && pf_map_get(&s->by_part, pf_key1(part), &i) == 0) {
		s->v[i].records |= UINT32_C(1) << record;
		return;
	}
	while (s->n == s->cap && make_room(s) < 0) {
		oldest = oldest_record(g, record);
		if (oldest == GATE_NIL)
			return;
		gate_suspects_forget(g, oldest);
		g->crash_records[oldest] = (struct gate_crash_record){ 0 };
	}
	if (pf_map_put(&s->by_part, pf_key1(part), s->n) < 0)
		return;
	s->v[s->n++] = (struct gate_suspect){ part, UINT32_C(1) << record };
}

void gate_suspect_clear(struct pf_gate *g, uint64_t part)
{
	struct gate_suspects *s = &g->suspects;
	uint32_t i;

	if (s->cap && pf_map_get(&s->by_part, pf_key1(part), &i) == 0)
		s->v[i].records = 0;
}

void gate_suspects_free(struct pf_gate *g)
{
	pf_map_free(&g->suspects.by_part);
	free(g->suspects.v);
}
