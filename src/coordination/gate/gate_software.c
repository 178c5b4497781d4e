/*
 * The software versions that each service has now or had lately. What two
 * versions write doesn't fit together; with one only, it may have been written
 * by that one alone.
 */
#include "src/coordination/gate/gate_core.h"

struct gate_software *gate_software_find(struct pf_gate *g, uint64_t software)
{
	uint32_t i;

	for (i = 0; i < g->n_software; i++) {
		if (g->software[i].software == software)
			return &g->software[i];
	}
	return NULL;
}

static bool is_recent(const struct pf_gate *g, const struct gate_software *s)
{
	return s->endpoints > 0 ||
	       g->now - s->last_seen_at < GATE_STREAM_KEEP_MS;
}

/* NULL if the table is full of recent ones. */
static struct gate_software *add(struct pf_gate *g, uint64_t service,
				 uint64_t software)
{
	struct gate_software *s = NULL;
	uint32_t i;

	for (i = 0; i < g->n_software && !s; i++) {
		if (!is_recent(g, &g->software[i]))
			s = &g->software[i];
	}
	if (!s && g->n_software < GATE_SOFTWARE_MAX)
		s = &g->software[g->n_software++];
	if (!s) {
		g->software_lost_at = g->now;
		return NULL;
	}
	*s = (struct gate_software){ .software = software,
				     .service = service,
				     .last_seen_at = g->now };
	return s;
}

void gate_software_listed(struct pf_gate *g, uint64_t service,
			  uint64_t software)
{
	bool was_mixed = gate_software_mixed(g, service);
	struct gate_software *s = gate_software_find(g, software);

	if (!s)
		s = add(g, service, software);
	if (s && s->endpoints++ == 0)
		gate_history_listed(g, s);
	if (!was_mixed && gate_software_mixed(g, service))
		gate_streams_announce(g, service);
}

void gate_software_unlisted(struct pf_gate *g, uint64_t software)
{
	struct gate_software *s = gate_software_find(g, software);

	if (!s || s->endpoints == 0)
		return;
	if (--s->endpoints == 0)
		gate_history_unlisted(g, s);
	s->last_seen_at = g->now;
}

void gate_software_seen(struct pf_gate *g, uint64_t service, uint64_t software,
			pf_ms at)
{
	struct gate_software *s = gate_software_find(g, software);
	bool was_mixed = gate_software_mixed(g, service);

	if (g->now - at >= GATE_STREAM_KEEP_MS)
		return;
	if (!s) {
		s = add(g, service, software);
		if (s)
			s->last_seen_at = at;
	} else if (s->last_seen_at < at) {
		s->last_seen_at = at;
	}
	if (!was_mixed && gate_software_mixed(g, service))
		gate_streams_announce(g, service);
}

uint32_t gate_software_count(const struct pf_gate *g, uint64_t service,
			     uint64_t *only)
{
	uint32_t n = 0;
	uint32_t i;

	if (g->software_lost_at &&
	    g->now - g->software_lost_at < GATE_STREAM_KEEP_MS)
		return 2;
	for (i = 0; i < g->n_software; i++) {
		const struct gate_software *s = &g->software[i];

		if (s->service != service || !is_recent(g, s))
			continue;
		*only = s->software;
		n++;
	}
	return n;
}

bool gate_software_mixed(const struct pf_gate *g, uint64_t service)
{
	uint64_t only;

	return gate_software_count(g, service, &only) > 1;
}

bool gate_software_known(const struct pf_gate *g, uint64_t service)
{
	uint64_t only;

	return g->endpoints_read &&
	       g->now - GATE_STREAM_KEEP_MS >= g->known_since &&
	       gate_software_count(g, service, &only) > 0;
}

bool gate_software_only(const struct pf_gate *g, uint64_t service,
			uint64_t *only)
{
	/* What this gateway has not read yet may be another version. */
	return !g->endpoints_behind && gate_software_known(g, service) &&
	       gate_software_count(g, service, only) == 1;
}

uint32_t pf_gate_recent_software(const struct pf_gate *g, pf_ms now,
				 struct pf_gate_software *out)
{
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i < g->n_software; i++) {
		const struct gate_software *s = &g->software[i];
		pf_ms age = s->endpoints ? 0 : now - s->last_seen_at;

		if (age < GATE_STREAM_KEEP_MS &&
		    gate_software_mixed(g, s->service))
			out[n++] = (struct pf_gate_software){
				s->service, s->software, age > 0 ? age : 0
			};
	}
	return n;
}

uint32_t pf_gate_listed_software(const struct pf_gate *g, pf_ms now,
				 struct pf_gate_software *out)
{
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i < g->n_software; i++) {
		const struct gate_software *s = &g->software[i];

		if (s->listed_at)
			out[n++] = (struct pf_gate_software){
				s->service, s->software,
				s->endpoints ? 0 : now - s->unlisted_at
			};
	}
	return n;
}
