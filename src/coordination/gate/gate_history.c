/*
 * The versions at which streams began before this process knew them. A gateway
 * that starts after all of them ended sees only the versions that are listed
 * now; a stream of another one would go on there and be spliced. So the
 * gateways keep a history in the store: a version is written there before the
 * first resumable stream is sent to it, and stays there while it may be in use.
 * One version only in the history and among the endpoints, for as long as a
 * caller may resume a stream, proves what began the stream.
 *
 * A new version gets no stream for a moment while another one is free: the other
 * gateways learn of it and store which streams they have begun before.
 *
 * New streams go first: while the store takes no writes, they go to versions
 * that the history names, and to another one if there is none. Streams begun
 * there can be spliced if all gateways end before it is written, and if after
 * that the endpoints of this version are gone and another version is listed
 * alone, which the history names.
 */
#include "src/coordination/gate/gate_core.h"

/* Several times the round trip to the store, and less than callers notice. */
#define RECORD_WAIT_MS 300
/* Longest interval of digests, 720 ms, and the calls to the store after it. */
#define SETTLE_MS 1000
/* Longer than the interval at which waiting requests are tried again. */
#define RECORD_RECHECK_MS 100

static bool is_unrecorded(const struct gate_software *s)
{
	return s->endpoints > 0 && !s->recorded;
}

static void count_unrecorded(struct pf_gate *g)
{
	uint32_t i;

	g->n_unrecorded = 0;
	for (i = 0; i < g->n_software; i++)
		g->n_unrecorded += is_unrecorded(&g->software[i]);
}

bool gate_history_complete(const struct pf_gate *g)
{
	return g->endpoints_read && g->history_read && g->streams_read;
}

void gate_history_read(struct pf_gate *g, const struct pf_gate_history *h)
{
	bool was_complete = gate_history_complete(g);
	pf_ms span =
		h->span < GATE_STREAM_KEEP_MS ? h->span : GATE_STREAM_KEEP_MS;
	uint32_t i;

	for (i = 0; i < g->n_software; i++)
		g->software[i].recorded = false;
#ifndef PF_MUTANT_GATE_HISTORY
	for (i = 0; i < h->n_software; i++) {
		const struct pf_gate_software *in = &h->software[i];
		struct gate_software *s;

		gate_software_seen(g, in->service, in->software,
				   g->now - in->age);
		s = gate_software_find(g, in->software);
		if (s)
			s->recorded = in->age == 0;
	}
#endif
	count_unrecorded(g);
	if (span >= 0 && g->now - span < g->known_since)
		g->known_since = g->now - span;
	g->history_read = true;
	if (!was_complete && gate_history_complete(g))
		gate_streams_read_done(g);
}

void gate_history_endpoints_read(struct pf_gate *g)
{
	bool was_complete = gate_history_complete(g);

	g->endpoints_read = true;
	if (g->now < g->known_since)
		g->known_since = g->now;
	if (!was_complete && gate_history_complete(g))
		gate_streams_read_done(g);
}

void gate_history_listed(struct pf_gate *g, struct gate_software *s)
{
	struct pf_gate_act a = { .type = PF_GATE_RECORD_VERSIONS };

	s->listed_at = g->now;
	g->settled_at = g->now + SETTLE_MS;
	count_unrecorded(g);
	if (g->opts.records_versions && !s->recorded)
		g->sink->emit(g->sink->ctx, &a);
}

void gate_history_unlisted(struct pf_gate *g, struct gate_software *s)
{
	s->unlisted_at = g->now;
	count_unrecorded(g);
}

static bool must_be_recorded(const struct pf_gate *g,
			     const struct gate_request *r)
{
#ifdef PF_MUTANT_GATE_RECORD
	return false;
#endif
	return (g->n_unrecorded > 0 || g->now < g->settled_at) &&
	       g->opts.records_versions && r->kind == PF_ROUTE_RESUMABLE &&
	       !r->bound;
}

enum gate_record gate_history_record(struct pf_gate *g,
				     const struct gate_request *r,
				     const struct gate_endpoint *e)
{
	const struct gate_software *s;

	if (!must_be_recorded(g, r))
		return GATE_RECORDED;
	s = gate_software_find(g, e->software);
	if (s && s->recorded)
		return g->now - s->listed_at < SETTLE_MS &&
				       gate_software_mixed(g, r->service)
			       ? GATE_USED_LAST
			       : GATE_RECORDED;
	return s && g->now - s->listed_at < RECORD_WAIT_MS ? GATE_RECORDING
							   : GATE_USED_LAST;
}

pf_ms gate_history_wait_until(const struct pf_gate *g,
			      const struct gate_request *r)
{
	pf_ms until = 0;
	uint32_t i;

	for (i = 0; must_be_recorded(g, r) && i < g->n_software; i++) {
		const struct gate_software *s = &g->software[i];

		if (s->service == r->service && is_unrecorded(s) &&
		    g->now - s->listed_at < RECORD_WAIT_MS)
			until = s->listed_at + RECORD_WAIT_MS +
				RECORD_RECHECK_MS;
	}
	return until;
}

void gate_history_begun(struct pf_gate *g, const struct gate_request *r)
{
	const struct gate_software *s = gate_software_find(g, r->software);

	if (g->opts.records_versions && r->stream && !(s && s->recorded))
		g->stats.unrecorded++;
}
