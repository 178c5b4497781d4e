/*
 * Finds the prompt part that crashes endpoints. No single crash names it: all
 * requests at the endpoint that had not begun, or had just begun, are suspects.
 * A part is blamed when it is among the suspects of several crashes far more
 * often than its share of the requests explains, and no answer on it has gone
 * on since the first of them.
 *
 * If a part is in many requests, no crash speaks clearly against it. That none
 * of its requests is served while others of its model are does.
 *
 * A gateway among many sees too few requests to know these shares, so all report
 * a sample of theirs and each crash to a few gateways, which judge for all. Of a
 * part that is a suspect, the judges ask all whether it is sound.
 */
#include "src/coordination/gate/gate_core.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Crashes further apart have different causes. */
#define RECORD_KEEP_MS 30000
/* Progress until then may have been on the wire before a crash. */
#define ALIVE_MS 200
/* Log of the odds against chance at which a part is blamed: 100,000 to one,
 * since each crash tests many parts. */
#define BLAME_SCORE 11.5
/* The same, 1,000 to one, if it was there at many separate crashes: so many
 * seldom have nothing in common. */
#define BLAME_SCORE_MANY 6.9
#define CRASHES_MANY 6
#define CRASHES_MIN 3
/* A single crash may be a chance however rare the part is. */
#define CRASH_SCORE_MAX (BLAME_SCORE / CRASHES_MIN)
/* Crashes closer than this may have one cause that is no request. */
#define SAME_TIME_MS 40
/* Probability of a crash that has another cause, or a missing report. */
#define OTHER_CAUSE 0.3
/* The most that unserved requests may add. */
#define UNSERVED_SCORE_MAX (BLAME_SCORE * 2 / 3)
/* Until then, shares of the requests are unknown. */
#define ARRIVALS_MIN 40

static struct gate_crash_record *find_record(struct pf_gate *g,
					     uint64_t incarnation)
{
	uint32_t i;

	for (i = 0; i < GATE_CRASH_RECORDS; i++) {
		if (g->crash_records[i].incarnation == incarnation)
			return &g->crash_records[i];
	}
	return NULL;
}

static uint32_t index_of(const struct pf_gate *g,
			 const struct gate_crash_record *c)
{
	return (uint32_t)(c - g->crash_records);
}

/* Peers of which reports are told apart, a multiple of 64. */
static uint32_t reporters_max(const struct pf_gate *g)
{
	return (g->opts.peers_max + 63) / 64 * 64;
}

static uint64_t *reporters_of(const struct pf_gate *g, uint32_t record)
{
	return &g->crash_reporters[(size_t)record * reporters_max(g) / 64];
}

int gate_blame_init(struct pf_gate *g)
{
	g->crash_reporters =
		calloc((size_t)GATE_CRASH_RECORDS * reporters_max(g) / 64,
		       sizeof(*g->crash_reporters));
	return g->crash_reporters ? 0 : -1;
}

void gate_blame_free(struct pf_gate *g)
{
	gate_suspects_free(g);
	free(g->crash_reporters);
}

/* A record that was refuted says nothing about a later crash. */
static struct gate_crash_record *
find_or_add_record(struct pf_gate *g, uint64_t incarnation, pf_ms at)
{
	struct gate_crash_record *c = find_record(g, incarnation);
	uint32_t i;

	if (c && (!c->refuted_at || at <= c->refuted_at))
		return c;
	if (!c) {
		c = &g->crash_records[0];
		for (i = 1; i < GATE_CRASH_RECORDS; i++) {
			if (g->crash_records[i].at < c->at)
				c = &g->crash_records[i];
		}
	}
	gate_suspects_forget(g, index_of(g, c));
	memset(reporters_of(g, index_of(g, c)), 0, reporters_max(g) / 8);
	*c = (struct gate_crash_record){ .incarnation = incarnation, .at = at };
	return c;
}

static void refute(struct pf_gate *g, uint64_t incarnation, pf_ms at)
{
	struct gate_crash_record *c = find_record(g, incarnation);

	if (c && c->at < at)
		c->refuted_at = at;
}

/* Bits of the records that a quarantined part explains. */
static uint32_t explained_records(const struct pf_gate *g)
{
	uint32_t bits = 0;
	uint32_t i;

	for (i = 0; i < GATE_QUARANTINED_MAX; i++) {
		uint64_t part = g->quarantined[i].part;

		if (part && gate_quarantine_has(g, part))
			bits |= gate_suspect_records(g, part);
	}
	return bits;
}

/* Bits of the records that count, and that no quarantined part explains. */
static uint32_t unexplained_records(const struct pf_gate *g)
{
	uint32_t bits = 0;
	uint32_t i;

	for (i = 0; i < GATE_CRASH_RECORDS; i++) {
		const struct gate_crash_record *c = &g->crash_records[i];

		if (c->incarnation && !c->refuted_at &&
		    g->now - c->at <= RECORD_KEEP_MS)
			bits |= UINT32_C(1) << i;
	}
	return bits ? bits & ~explained_records(g) : 0;
}

/* The number of crashes in @records; *@first is the time of the first. */
static uint32_t count_crashes(const struct pf_gate *g, uint32_t records,
			      pf_ms *first)
{
	uint32_t n = 0;
	uint32_t i;

	*first = PF_NEVER;
	for (i = 0; i < GATE_CRASH_RECORDS; i++) {
		const struct gate_crash_record *c = &g->crash_records[i];

		if (!(records >> i & 1))
			continue;
		n++;
		if (c->at < *first)
			*first = c->at;
	}
	return n;
}

/* How much crashes at the same time, with @suspects in all, speak for a part
 * that is in a @share of requests, and among these suspects or not. */
static double crash_score(double share, uint32_t suspects, bool among)
{
	double absent = pow(1 - share, suspects ? suspects : 1);

	return among ? fmin(-log(1 - absent), CRASH_SCORE_MAX)
		     : fmin(log(OTHER_CAUSE / absent), 0);
}

/* The first of @records at or after @from, or NULL. */
static const struct gate_crash_record *next_record(const struct pf_gate *g,
						   uint32_t records, pf_ms from)
{
	const struct gate_crash_record *next = NULL;
	uint32_t i;

	for (i = 0; i < GATE_CRASH_RECORDS; i++) {
		const struct gate_crash_record *c = &g->crash_records[i];

		if ((records >> i & 1) && c->at >= from &&
		    (!next || c->at < next->at))
			next = c;
	}
	return next;
}

/* What the crashes in @records from @first on say about a suspect. *@separate is
 * set to how many, at different times, it may have caused. */
static double part_score(struct pf_gate *g, uint32_t records,
			 const struct gate_suspect *s, pf_ms first,
			 uint32_t *separate)
{
	const struct gate_crash_record *c = next_record(g, records, first);
	double share = gate_use_share(g, s->part);
	double score = fmin(gate_use_unserved(g, s->part), UNSERVED_SCORE_MAX);

	*separate = 0;
	while (c) {
		pf_ms end = c->at + SAME_TIME_MS;
		uint32_t suspects = 0;
		bool among = false;
		uint32_t i;

		for (i = 0; i < GATE_CRASH_RECORDS; i++) {
			const struct gate_crash_record *x =
				&g->crash_records[i];

			if (!(records >> i & 1) || x->at < c->at ||
			    x->at >= end)
				continue;
			suspects += x->suspects;
			among |= s->records >> i & 1;
		}
		score += crash_score(share, suspects, among);
		*separate += among;
		c = next_record(g, records, end);
	}
	return score;
}

/* Whether @score is enough to blame a part. */
static bool is_enough(double score, uint32_t separate)
{
	return score >=
	       (separate >= CRASHES_MANY ? BLAME_SCORE_MANY : BLAME_SCORE);
}

/* Quarantines the part that explains the crashes best, if any does. */
static bool blame_best(struct pf_gate *g)
{
	uint32_t records = unexplained_records(g);
	const struct gate_suspect *blamed = NULL;
	double best = 0;
	uint32_t crashes = 0;
	pf_ms since = 0;
	uint32_t i;

	for (i = 0; i < g->suspects.n; i++) {
		const struct gate_suspect *s = &g->suspects.v[i];
		uint32_t separate;
		pf_ms first;
		uint32_t n = count_crashes(g, s->records & records, &first);
		double score;

		if (n < CRASHES_MIN)
			continue;
		score = part_score(g, records, s, first, &separate);
		if (score <= best || !is_enough(score, separate))
			continue;
		best = score;
		blamed = s;
		crashes = n;
		since = first;
	}
	if (!blamed)
		return false;
	gate_quarantine_add(g, blamed->part, since, crashes);
	return true;
}

static void judge(struct pf_gate *g)
{
	if (g->requests_seen < ARRIVALS_MIN || !gate_is_judge(g))
		return;
	/* Crashes that a quarantined part explains speak against no other. */
	while (blame_best(g))
		;
}

/*
 * A sound answer on @part speaks against a crash or quarantine since @since. The
 * judges must know; only they tell all, if @ends_quarantine: else each gateway
 * that knows it would tell each other one.
 */
static void announce_sound(struct pf_gate *g, uint64_t part, pf_ms began_at,
			   pf_ms since, bool ends_quarantine)
{
	struct pf_gate_evidence e = { .type = PF_GATE_EVIDENCE_SOUND,
				      .part = part };
	bool to_all = ends_quarantine && gate_is_judge(g);

	if (gate_use_tell_sound(g, part, began_at, since, to_all))
		gate_evidence_add(g, &e, began_at, to_all);
}

/* Whoever knows that @part is sound tells the judges. */
static void ask_all(struct pf_gate *g, const struct gate_crash_record *c,
		    uint64_t part)
{
	struct pf_gate_evidence e = { .type = PF_GATE_EVIDENCE_CRASH,
				      .incarnation = c->incarnation,
				      .part = part };

	gate_evidence_add(g, &e, c->at, true);
}

/* Adds a suspect of a crash; a part that was sound since is none. */
static void add_suspect(struct pf_gate *g, const struct gate_crash_record *c,
			uint64_t part)
{
	uint32_t records = gate_suspect_records(g, part);
	uint32_t record = index_of(g, c);

	gate_quarantine_crashed(g, part, c->at);
	if (gate_use_sound_at(g, part) > c->at) {
		announce_sound(g, part, gate_use_sound_at(g, part), c->at,
			       false);
		return;
	}
	if (!(records & unexplained_records(g)))
		gate_use_suspected(g, part);
	if (gate_is_judge(g) && !(records >> record & 1) &&
	    gate_use_ask(g, part))
		ask_all(g, c, part);
	gate_suspect_add(g, part, record);
}

static bool is_suspect(const struct pf_gate *g, const struct gate_request *r,
		       uint64_t incarnation)
{
	return (r->state == GATE_SENT || r->state == GATE_STREAMING) &&
	       r->sent_incarnation == incarnation && r->n_parts > 0 &&
	       (!r->began_at || g->now - r->began_at < GATE_BEGINNING_MS);
}

static int compare_parts(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a;
	uint64_t y = *(const uint64_t *)b;

	return (x > y) - (x < y);
}

/* The different parts of the requests that may have crashed the endpoint. The
 * caller frees @parts; NULL: there are none, or no memory. */
static uint32_t collect_suspects(const struct pf_gate *g, uint64_t incarnation,
				 uint32_t *requests, uint64_t **parts)
{
	uint32_t n = 0;
	uint32_t kept = 0;
	uint32_t i;

	*parts = NULL;
	*requests = 0;
	for (i = 0; i < g->opts.requests_max; i++) {
		const struct gate_request *r = &g->requests[i];
		uint64_t *more;

		if (!is_suspect(g, r, incarnation))
			continue;
		++*requests;
		more = realloc(*parts, (n + r->n_parts) * sizeof(*more));
		if (!more)
			break;
		*parts = more;
		memcpy(more + n, r->parts, r->n_parts * sizeof(*more));
		n += r->n_parts;
	}
	if (n == 0)
		return 0;
	qsort(*parts, n, sizeof(**parts), compare_parts);
	for (i = 0; i < n; i++) {
		if (i == 0 || (*parts)[i] != (*parts)[i - 1])
			(*parts)[kept++] = (*parts)[i];
	}
	return kept;
}

void gate_blame_crash(struct pf_gate *g, struct gate_endpoint *e,
		      uint64_t incarnation)
{
	struct pf_gate_evidence v = { .type = PF_GATE_EVIDENCE_CRASH,
				      .incarnation = incarnation };
	struct gate_crash_record *c = find_record(g, incarnation);
	uint64_t *parts;
	uint32_t start;
	uint32_t n;
	uint32_t i;

	if (c && c->seen_here && !c->refuted_at)
		return;
	n = collect_suspects(g, incarnation, &v.requests, &parts);
	if (n == 0)
		return;
	/* Of more than the ring holds, others are left out at each crash. */
	start = n > GATE_EVIDENCE_RING ? pf_rng_below(&g->rng, n) : 0;
	for (i = 0; i < n; i++) {
		v.part = parts[(start + i) % n];
		gate_evidence_add(g, &v, g->now, false);
	}
	c = find_or_add_record(g, incarnation, g->now);
	c->seen_here = true;
	c->suspects += v.requests;
	for (i = 0; i < n; i++)
		add_suspect(g, c, parts[i]);
	free(parts);
	if (e->incarnation == incarnation)
		e->crashed_at = g->now;
	judge(g);
}

void gate_blame_alive(struct pf_gate *g, struct gate_endpoint *e)
{
	struct pf_gate_evidence a = { .type = PF_GATE_EVIDENCE_ALIVE,
				      .incarnation = e->incarnation };

	if (!e->crashed_at || g->now - e->crashed_at < ALIVE_MS)
		return;
	e->crashed_at = 0;
	refute(g, e->incarnation, g->now);
	gate_evidence_add(g, &a, g->now, false);
}

/* Whether this cleared @part of suspicion. */
static bool clear_suspect(struct pf_gate *g, uint64_t part, pf_ms began_at)
{
	uint32_t records = gate_suspect_records(g, part);
	pf_ms first;

	if (!records)
		return false;
	if (count_crashes(g, records & unexplained_records(g), &first) == 0 ||
	    first >= began_at)
		return false;
	gate_suspect_clear(g, part);
	return true;
}

void gate_blame_sound(struct pf_gate *g, uint64_t part, pf_ms began_at)
{
	bool released;

	gate_use_sound(g, part, began_at);
	released = gate_quarantine_release(g, part, began_at);
	/* Others know already if they were told of an answer begun later. */
	if (clear_suspect(g, part, began_at) || released)
		announce_sound(g, part, began_at, began_at, released);
}

/* Some gateways may not know yet that a quarantine ends. */
static void sound_reported(struct pf_gate *g, const struct pf_gate_evidence *e)
{
	pf_ms began_at = g->now - (pf_ms)e->age_ms;

	gate_use_sound(g, e->part, began_at);
	if (gate_quarantine_release(g, e->part, began_at) && gate_is_judge(g))
		announce_sound(g, e->part, began_at, began_at, true);
	clear_suspect(g, e->part, began_at);
}

/* Whether the peer has not reported this crash before. */
static bool add_reporter(struct pf_gate *g, const struct gate_crash_record *c,
			 uint32_t peer_slot)
{
	uint64_t *word = &reporters_of(g, index_of(g, c))[peer_slot / 64];
	uint64_t bit = UINT64_C(1) << peer_slot % 64;

	if (*word & bit)
		return false;
	*word |= bit;
	return true;
}

static void crash_reported(struct pf_gate *g, uint32_t peer_slot,
			   const struct pf_gate_evidence *e)
{
	struct gate_crash_record *c = find_or_add_record(
		g, e->incarnation, g->now - (pf_ms)e->age_ms);

	if (add_reporter(g, c, peer_slot))
		c->suspects += e->requests;
	add_suspect(g, c, e->part);
}

static void quarantine_reported(struct pf_gate *g,
				const struct pf_gate_evidence *e)
{
	pf_ms since = g->now - (pf_ms)e->age_ms;

	if (gate_use_sound_at(g, e->part) > since)
		announce_sound(g, e->part, gate_use_sound_at(g, e->part), since,
			       true);
	else
		gate_quarantine_add(g, e->part, since, 0);
}

void gate_blame_evidence(struct pf_gate *g, uint64_t peer,
			 const struct pf_gate_evidence *v, uint32_t n)
{
	uint32_t slot = (uint32_t)(gate_peer_heard(g, peer) - g->peers);
	uint32_t i;

	for (i = 0; i < n; i++) {
		switch (v[i].type) {
		case PF_GATE_EVIDENCE_CRASH:
			crash_reported(g, slot, &v[i]);
			break;
		case PF_GATE_EVIDENCE_ALIVE:
			refute(g, v[i].incarnation,
			       g->now - (pf_ms)v[i].age_ms);
			break;
		case PF_GATE_EVIDENCE_SOUND:
			sound_reported(g, &v[i]);
			break;
		case PF_GATE_EVIDENCE_QUARANTINE:
			quarantine_reported(g, &v[i]);
			break;
		case PF_GATE_EVIDENCE_USE:
		case PF_GATE_EVIDENCE_SERVED:
			gate_use_reported(g, &v[i]);
			break;
		case PF_GATE_EVIDENCE_TYPE_COUNT:
			break;
		}
	}
	judge(g);
}
