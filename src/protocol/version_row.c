/*
 * The history of software versions: a version is in the row from before its
 * first stream until it has ended. An entry stays in use until a gateway has
 * missed the version among its endpoints for a while, so the row needs no
 * refresh and proves as much after a long stop of all gateways. Gateways that
 * still use an ended version find that at their next check and add it again.
 */
#include "pimentoford/version_row.h"

#include "pimentoford/era.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define LINE_MAX_BYTES 96
/* Gateways that are told of changes by others poll the endpoints every 12 s:
 * by then all know that a version has left. */
#define UNLISTED_MS 15000
/* Answers take up to 0.9 s, in which the store's clock is known late; without
 * it, wall clocks are used, which differ by less. */
#define CLOCK_MARGIN_MS 5000
/* A gateway that still lists an ended version adds it again by then. */
#define ENDED_MARGIN_MS (PF_VERSION_CHECK_MS + CLOCK_MARGIN_MS)
/* Twice the time for which a caller may resume a stream. */
#define DROP_MS 120000
/* The first one of a store; without a row in it, no gateway has begun any
 * stream. Later ones may have lost the row. */
#define FIRST_ERA 1

void pf_version_row_encode(const struct pf_version_row *r, struct pf_text *out)
{
	uint32_t i;

	pf_text_printf(out, "era %" PRId64 "\nsince %" PRId64 "\n", r->era,
		       r->since);
	for (i = 0; i < r->n; i++)
		pf_text_printf(out,
			       "version %" PRIx64 " %" PRIx64 " %" PRId64 "\n",
			       r->v[i].service, r->v[i].software,
			       r->v[i].ended_at);
}

/* Returns 0, also for a line of another kind, or -1. */
static int decode_line(const char *line, struct pf_version_row *r)
{
	struct pf_version_entry v;

	if (strncmp(line, "era ", 4) == 0)
		return sscanf(line, "era %" SCNd64, &r->era) == 1 ? 0 : -1;
	if (strncmp(line, "since ", 6) == 0)
		return sscanf(line, "since %" SCNd64, &r->since) == 1 ? 0 : -1;
	if (strncmp(line, "version ", 8) != 0)
		return 0;
	if (sscanf(line, "version %" SCNx64 " %" SCNx64 " %" SCNd64, &v.service,
		   &v.software, &v.ended_at) != 3 ||
	    r->n == PF_GATE_SOFTWARE_MAX)
		return -1;
	r->v[r->n++] = v;
	return 0;
}

static int decode_lines(struct pf_str text, struct pf_version_row *r)
{
	char line[LINE_MAX_BYTES];

	while (text.n) {
		if (pf_text_take_line(&text, line, sizeof(line)) < 0 ||
		    decode_line(line, r) < 0)
			return -1;
	}
	return r->since < 0 ? -1 : 0;
}

static void reset(struct pf_version_row *r)
{
	memset(r, 0, sizeof(*r));
	r->exists = true;
	/* No era of a store, not even an unknown one. */
	r->era = PF_ERA_UNKNOWN - 1;
}

int pf_version_row_decode(struct pf_str text, struct pf_version_row *r)
{
	reset(r);
	r->since = -1;
	if (decode_lines(text, r) == 0)
		return 0;
	reset(r);
	return -1;
}

static struct pf_version_entry *find(struct pf_version_row *r,
				     uint64_t software)
{
	uint32_t i;

	for (i = 0; i < r->n; i++) {
		if (r->v[i].software == software)
			return &r->v[i];
	}
	return NULL;
}

/* Forgets the versions that no caller can resume a stream of. */
static void drop_ended(struct pf_version_row *r, pf_ms now)
{
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i < r->n; i++) {
		if (r->v[i].ended_at == 0 || now - r->v[i].ended_at < DROP_MS)
			r->v[n++] = r->v[i];
	}
	r->n = n;
}

/* Since when @e is not among the endpoints of the gateway; 0: it is. */
static pf_ms unlisted_for(const struct pf_version_entry *e,
			  const struct pf_version_view *w)
{
	uint32_t i;

	for (i = 0; i < w->n_listed; i++) {
		if (w->listed[i].software == e->software)
			return w->listed[i].age;
	}
	return w->read_for < 0 ? 0 : w->read_for;
}

static bool end_unlisted(struct pf_version_row *r,
			 const struct pf_version_view *w)
{
	bool changed = false;
	uint32_t i;

	for (i = 0; i < r->n; i++) {
		if (r->v[i].ended_at || unlisted_for(&r->v[i], w) < UNLISTED_MS)
			continue;
		r->v[i].ended_at = w->now + ENDED_MARGIN_MS;
		changed = true;
	}
	return changed;
}

static bool add_listed(struct pf_version_row *r,
		       const struct pf_version_view *w)
{
	bool changed = false;
	uint32_t i;

	for (i = 0; i < w->n_listed; i++) {
		const struct pf_gate_software *s = &w->listed[i];
		struct pf_version_entry *e = find(r, s->software);

		if (s->age > 0 || (e && e->ended_at == 0))
			continue;
		/* Without room it stays out: it proves nothing then. */
		if (!e && r->n == PF_GATE_SOFTWARE_MAX)
			continue;
		if (!e)
			e = &r->v[r->n++];
		*e = (struct pf_version_entry){ s->service, s->software, 0 };
		changed = true;
	}
	return changed;
}

bool pf_version_row_update(struct pf_version_row *r,
			   const struct pf_version_view *w)
{
	bool changed = false;

	if (!r->exists || r->era != w->era) {
		r->since = r->exists || w->had_row || w->era > FIRST_ERA
				   ? w->now
				   : 0;
		r->exists = true;
		r->era = w->era;
		changed = true;
	}
	drop_ended(r, w->now);
	changed |= end_unlisted(r, w);
	changed |= add_listed(r, w);
	return changed;
}

void pf_version_row_history(const struct pf_version_row *r, int64_t era,
			    pf_ms now, struct pf_gate_software *out,
			    struct pf_gate_history *h)
{
	uint32_t i;

	h->span = -1;
	if (r->exists && r->era == era)
		h->span = r->since == 0 ? PF_NEVER
					: now - r->since - CLOCK_MARGIN_MS;
	for (i = 0; i < r->n; i++) {
		const struct pf_version_entry *e = &r->v[i];
		pf_ms age = e->ended_at ? now - e->ended_at : 0;

		/* Age 0 would mean that it is in use. */
		if (e->ended_at && age == 0)
			age = 1;
		out[i] = (struct pf_gate_software){ e->service, e->software,
						    age };
	}
	h->software = out;
	h->n_software = r->n;
}
