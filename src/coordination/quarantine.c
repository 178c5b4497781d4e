/* Table of suspect and quarantined fingerprints, with an LRU list. */
#include "src/coordination/quarantine.h"

#include <stdlib.h>
#include <string.h>

int pf_quarantine_init(struct pf_entry *e)
{
	e->suspects = calloc(e->opts.quarantine_max, sizeof(*e->suspects));
	e->suspect_free = PF_NIL;
	e->suspect_head = PF_NIL;
	e->suspect_tail = PF_NIL;
	e->ended_requests =
		calloc(e->opts.quarantine_max, sizeof(*e->ended_requests));
	if (!e->suspects || !e->ended_requests)
		return -1;
	return pf_map_init(&e->suspect_map, e->opts.quarantine_max);
}

void pf_quarantine_free(struct pf_entry *e)
{
	free(e->suspects);
	free(e->ended_requests);
	pf_map_free(&e->suspect_map);
}

static void lru_unlink(struct pf_entry *e, uint32_t i)
{
	struct pf_suspect *s = &e->suspects[i];

	if (s->prev == PF_NIL)
		e->suspect_head = s->next;
	else
		e->suspects[s->prev].next = s->next;
	if (s->next == PF_NIL)
		e->suspect_tail = s->prev;
	else
		e->suspects[s->next].prev = s->prev;
}

static void lru_append(struct pf_entry *e, uint32_t i)
{
	struct pf_suspect *s = &e->suspects[i];

	s->next = PF_NIL;
	s->prev = e->suspect_tail;
	if (e->suspect_tail == PF_NIL)
		e->suspect_head = i;
	else
		e->suspects[e->suspect_tail].next = i;
	e->suspect_tail = i;
}

static void drop_suspect(struct pf_entry *e, uint32_t i)
{
	lru_unlink(e, i);
	pf_map_del(&e->suspect_map, pf_key1(e->suspects[i].fingerprint));
	e->suspects[i].next = e->suspect_free;
	e->suspect_free = i;
}

/* Evicts the suspect last seen longest ago, or the quarantine to end first. */
static void evict_suspect(struct pf_entry *e)
{
	uint32_t victim = e->suspect_head;

	for (uint32_t i = victim; i != PF_NIL; i = e->suspects[i].next) {
		if (e->suspects[i].quarantined_until == 0) {
			victim = i;
			break;
		}
		if (e->suspects[i].quarantined_until <
		    e->suspects[victim].quarantined_until)
			victim = i;
	}
	drop_suspect(e, victim);
}

static uint32_t alloc_suspect(struct pf_entry *e)
{
	uint32_t i;

	if (e->suspect_free == PF_NIL &&
	    e->suspects_used < e->opts.quarantine_max)
		return e->suspects_used++;
	if (e->suspect_free == PF_NIL)
		evict_suspect(e);
	i = e->suspect_free;
	e->suspect_free = e->suspects[i].next;
	return i;
}

static bool has_expired(const struct pf_entry *e, const struct pf_suspect *s)
{
	if (s->quarantined_until)
		return s->quarantined_until <= e->now;
	return s->last_seen_at + e->opts.quarantine_keep <= e->now;
}

/* The slot of @fp, or PF_NIL. Drops it if it has expired. */
static uint32_t find_suspect(struct pf_entry *e, uint64_t fp)
{
	uint32_t i;

	if (fp == 0 || pf_map_get(&e->suspect_map, pf_key1(fp), &i))
		return PF_NIL;
	if (!has_expired(e, &e->suspects[i]))
		return i;
	drop_suspect(e, i);
	return PF_NIL;
}

/* Finds or creates a suspect and marks it as seen. */
static struct pf_suspect *get_suspect(struct pf_entry *e, uint64_t fp)
{
	uint32_t i = find_suspect(e, fp);

	if (i == PF_NIL) {
		i = alloc_suspect(e);
		e->suspects[i] = (struct pf_suspect){ .fingerprint = fp };
		(void)pf_map_put(&e->suspect_map, pf_key1(fp), i);
		e->stats.suspects++;
	} else {
		lru_unlink(e, i);
	}
	lru_append(e, i);
	e->suspects[i].last_seen_at = e->now;
	return &e->suspects[i];
}

static enum pf_quarantine_state suspect_state(const struct pf_suspect *s)
{
	return s->quarantined_until ? PF_QUARANTINED : PF_SUSPECTED;
}

enum pf_quarantine_state pf_quarantine_check(struct pf_entry *e,
					     uint64_t fingerprint,
					     pf_ms *remaining_ms)
{
	uint32_t i = find_suspect(e, fingerprint);

	if (i == PF_NIL)
		return PF_CLEAR;
	if (remaining_ms && e->suspects[i].quarantined_until)
		*remaining_ms = e->suspects[i].quarantined_until - e->now;
	return suspect_state(&e->suspects[i]);
}

static void emit_share(struct pf_entry *e, const struct pf_suspect *s,
		       uint64_t caller)
{
	struct pf_entry_act a = { .type = PF_ENTRY_SHARE_QUARANTINE };

	a.u.quarantine.fingerprint = s->fingerprint;
	a.u.quarantine.until = s->quarantined_until;
	a.u.quarantine.caller = caller;
	a.u.quarantine.crashes = s->crashes;
	a.u.quarantine.n_endpoints = s->n_endpoints;
	memcpy(a.u.quarantine.endpoints, s->endpoints, sizeof(s->endpoints));
	pf_entry_emit(e, &a);
}

static void add_endpoint(struct pf_suspect *s, uint64_t endpoint)
{
	if (s->n_endpoints == PF_CRASHED_ENDPOINTS_MAX)
		memmove(s->endpoints, s->endpoints + 1,
			--s->n_endpoints * sizeof(*s->endpoints));
	s->endpoints[s->n_endpoints++] = endpoint;
}

enum pf_quarantine_state pf_quarantine_record_crash(struct pf_entry *e,
						    const struct pf_crash *c)
{
	bool alone = c->alone;
	struct pf_suspect *s;

	/* Until a report says that the endpoint is ready again. */
	e->agents[c->agent_slot].ready = false;
	if (c->fingerprint == 0)
		return PF_CLEAR;
	s = get_suspect(e, c->fingerprint);
#ifdef PF_MUTANT_QUARANTINE_BESIDE
	alone = true;
#endif
	/* It ran beside others, one of which may be the cause. */
	if (s->crashes && !alone)
		return suspect_state(s);
	s->crashes++;
	add_endpoint(s, e->agents[c->agent_slot].id);
#ifndef PF_MUTANT_QUARANTINE
	if (s->crashes >= e->opts.crashes_max && !s->quarantined_until) {
		s->quarantined_until = e->now + e->opts.quarantine_keep;
		e->stats.quarantined++;
	}
#endif
	emit_share(e, s, c->caller);
	return suspect_state(s);
}

void pf_quarantine_apply_shared(struct pf_entry *e, uint64_t fingerprint,
				pf_ms until)
{
	struct pf_suspect *s;

	if (fingerprint == 0 || (until != 0 && until <= e->now))
		return;
	s = get_suspect(e, fingerprint);
	if (s->crashes == 0)
		s->crashes = 1;
	if (until > s->quarantined_until) {
		if (!s->quarantined_until)
			e->stats.quarantined++;
		s->quarantined_until = until;
	}
}

void pf_quarantine_clear_suspect(struct pf_entry *e, uint64_t fingerprint)
{
	uint32_t i = find_suspect(e, fingerprint);

	if (i != PF_NIL && !e->suspects[i].quarantined_until)
		drop_suspect(e, i);
}

void pf_quarantine_keep_ended(struct pf_entry *e, const struct pf_request *r)
{
	struct pf_ended_request *ended =
		&e->ended_requests[r->id % e->opts.quarantine_max];

	if (r->work.fingerprint)
		*ended = (struct pf_ended_request){
			.request = r->id,
			.fingerprint = r->work.fingerprint,
			.caller = r->work.caller,
			.tries = r->tries,
		};
}

struct pf_ended_request *pf_quarantine_find_ended(struct pf_entry *e,
						  uint64_t request)
{
	struct pf_ended_request *ended =
		&e->ended_requests[request % e->opts.quarantine_max];

	return ended->request == request ? ended : NULL;
}
