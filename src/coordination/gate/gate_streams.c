/*
 * Which software began a stream, for callers that resume it at this or
 * another gateway. Records are kept by the gateway that began it, by a few
 * others that it tells, and in the store. A stream that nobody knows goes on only
 * where the service is proved to have had no other software lately.
 */
#include "src/coordination/gate/gate_core.h"

/* For an answer of the gateways that were asked. */
#define ASK_WAIT_MS 150
/* The same while the endpoints or the records in the store are unknown. */
#define READ_WAIT_MS 600
/* A caller has given up its stream by then; it is no longer stored. */
#define STORED_MS 20000

static struct gate_stream *find(struct pf_gate *g, uint64_t id, bool create)
{
	struct gate_stream *set = g->streams[id % GATE_STREAM_SETS];
	struct gate_stream *oldest = &set[0];
	uint32_t i;

	for (i = 0; i < GATE_STREAM_WAYS; i++) {
		struct gate_stream *s = &set[i];

		if (s->id == id && g->now - s->at < GATE_STREAM_KEEP_MS)
			return s;
		if (s->at < oldest->at)
			oldest = s;
	}
	if (!create)
		return NULL;
	if (oldest->id && g->now - oldest->at < GATE_STREAM_KEEP_MS)
		g->stats.streams_evicted++;
	*oldest = (struct gate_stream){ .id = id };
	return oldest;
}

/* Keeps what is known: a stream has one software. */
static void add(struct pf_gate *g, const struct pf_gate_stream *r, bool own)
{
	struct gate_stream *s = find(g, r->id, false);

	if (s && s->software != r->software)
		return;
	if (!s)
		s = find(g, r->id, true);
	s->service = r->service;
	s->software = r->software;
	s->at = g->now - r->age;
	if (own) {
		s->own = true;
		s->open = true;
	}
}

static void tell(struct pf_gate *g, enum pf_gate_act_type to,
		 enum pf_gate_note_type type, const struct pf_gate_stream *s)
{
	struct pf_gate_act a = { .type = to };

	a.u.note.type = type;
	a.u.note.stream = *s;
	g->sink->emit(g->sink->ctx, &a);
}

void gate_stream_begun(struct pf_gate *g, const struct gate_request *r)
{
	struct pf_gate_stream s = { r->stream, r->service, r->software, 0 };

	if (!r->stream)
		return;
	add(g, &s, true);
	gate_history_begun(g, r);
	if (!gate_software_mixed(g, r->service))
		return;
	g->streams_serial++;
	tell(g, PF_GATE_TELL_REPLICAS, PF_GATE_NOTE_RECORD, &s);
}

void gate_stream_complete(struct pf_gate *g, const struct gate_request *r)
{
	struct gate_stream *s = r->stream ? find(g, r->stream, false) : NULL;

	if (s)
		s->open = false;
}

void gate_streams_announce(struct pf_gate *g, uint64_t service)
{
	uint32_t i;

	g->streams_serial++;
	for (i = 0; g->sink && i < g->opts.requests_max; i++) {
		const struct gate_request *r = &g->requests[i];
		struct pf_gate_stream s = { r->stream, service, r->software,
					    0 };

		if (r->state != GATE_FREE && r->response_started && r->stream &&
		    r->service == service)
			tell(g, PF_GATE_TELL_REPLICAS, PF_GATE_NOTE_RECORD, &s);
	}
}

/* Whether all is known that the endpoints and the store will tell. */
static bool is_read(const struct pf_gate *g, uint64_t service)
{
	uint64_t only;

	return gate_software_known(g, service) ||
	       (gate_history_complete(g) &&
		gate_software_count(g, service, &only) > 0);
}

static void bind_to_software(struct gate_request *r, uint64_t software)
{
	r->undecided = false;
	r->bound = true;
	r->software = software;
}

void gate_stream_arrive(struct pf_gate *g, struct gate_request *r,
			const struct pf_inbound *in)
{
	bool resumes = in->resumes.n > 0 || in->last_event >= 0;
	struct pf_gate_stream s = { .service = r->service };

	if (r->kind != PF_ROUTE_RESUMABLE)
		return;
	if (in->resumes.n > 0)
		r->stream = pf_id(in->resumes);
	else if (!resumes && in->id.n > 0)
		r->stream = pf_id(in->id);
	if (!resumes)
		return;
	g->stats.resumed++;
	r->undecided = true;
	r->decide_at = g->now;
	if (!is_read(g, r->service))
		r->decide_at += READ_WAIT_MS;
	else if (r->stream)
		r->decide_at += ASK_WAIT_MS;
	if (r->decide_at > r->deadline)
		r->decide_at = r->deadline;
	s.id = r->stream;
	if (s.id && !find(g, s.id, false))
		tell(g, PF_GATE_TELL_REPLICAS, PF_GATE_NOTE_QUERY, &s);
}

/* Looks @r up in the store once; false if that was done. */
static bool ask_store(struct pf_gate *g, struct gate_request *r)
{
	struct pf_gate_act a = { .type = PF_GATE_READ_STORED };

	if (!r->stream || r->store_asked)
		return false;
	r->store_asked = true;
	r->decide_at = g->now + READ_WAIT_MS;
	if (r->decide_at > r->deadline)
		r->decide_at = r->deadline;
	g->sink->emit(g->sink->ctx, &a);
	return true;
}

enum gate_decision gate_stream_decide(struct pf_gate *g, struct gate_request *r)
{
	const struct gate_stream *s =
		r->stream ? find(g, r->stream, false) : NULL;
	uint64_t only;

	if (!r->undecided)
		return GATE_DECIDED;
	if (s) {
		bind_to_software(r, s->software);
		return GATE_DECIDED;
	}
	if (g->now < r->decide_at)
		return GATE_UNDECIDED;
	if (!gate_software_only(g, r->service, &only)) {
		if (ask_store(g, r))
			return GATE_UNDECIDED;
#ifdef PF_MUTANT_GATE_RESUMED
		r->undecided = false;
		return GATE_DECIDED;
#endif
		g->stats.resumed_unknown++;
		return GATE_UNKNOWN;
	}
	bind_to_software(r, only);
	return GATE_DECIDED;
}

/*
 * A peer knows that the service had no other software than @s has. It proves as
 * much as this gateway's memory would if it had not started just now.
 */
static void decide_by_peer(struct pf_gate *g, const struct pf_gate_stream *s)
{
	uint64_t only;
	uint32_t i;

	if (!g->endpoints_read ||
	    gate_software_count(g, s->service, &only) != 1 ||
	    only != s->software)
		return;
	for (i = 0; i < g->opts.requests_max; i++) {
		struct gate_request *r = &g->requests[i];

		if (r->state == GATE_WAITING && r->undecided &&
		    r->stream == s->id && r->service == s->service)
			bind_to_software(r, only);
	}
}

static void answer_query(struct pf_gate *g, const struct pf_gate_stream *asked)
{
	const struct gate_stream *s = find(g, asked->id, false);
	struct pf_gate_stream r = *asked;

	if (s) {
		r.service = s->service;
		r.software = s->software;
		r.age = (uint32_t)(g->now - s->at);
		tell(g, PF_GATE_REPLY, PF_GATE_NOTE_RECORD, &r);
	} else if (gate_software_only(g, asked->service, &r.software)) {
		tell(g, PF_GATE_REPLY, PF_GATE_NOTE_SINGLE, &r);
	}
}

void gate_stream_note(struct pf_gate *g, const struct pf_gate_note *n)
{
	switch (n->type) {
	case PF_GATE_NOTE_RECORD:
		add(g, &n->stream, false);
		gate_software_seen(g, n->stream.service, n->stream.software,
				   g->now - n->stream.age);
		break;
	case PF_GATE_NOTE_QUERY:
		answer_query(g, &n->stream);
		break;
	case PF_GATE_NOTE_SINGLE:
		decide_by_peer(g, &n->stream);
		break;
	case PF_GATE_NOTE_TYPE_COUNT:
		break;
	}
}

void gate_streams_stored(struct pf_gate *g, const struct pf_gate_stored *in)
{
	bool was_complete = gate_history_complete(g);
	uint32_t i;

	for (i = 0; i < in->n_software; i++)
		gate_software_seen(g, in->software[i].service,
				   in->software[i].software,
				   g->now - in->software[i].age);
	for (i = 0; i < in->n_streams; i++) {
		if (in->streams[i].age < GATE_STREAM_KEEP_MS)
			add(g, &in->streams[i], in->own);
	}
	g->streams_read |= in->last;
	for (i = 0; in->last && i < g->opts.requests_max; i++) {
		struct gate_request *r = &g->requests[i];

		if (r->state == GATE_WAITING && r->store_asked)
			r->decide_at = g->now;
	}
	if (!was_complete && gate_history_complete(g))
		gate_streams_read_done(g);
}

void gate_streams_read_done(struct pf_gate *g)
{
	uint32_t i;

	for (i = 0; i < g->opts.requests_max; i++) {
		struct gate_request *r = &g->requests[i];

		if (r->state == GATE_WAITING && r->undecided &&
		    is_read(g, r->service) &&
		    r->decide_at > g->now + ASK_WAIT_MS)
			r->decide_at = g->now + ASK_WAIT_MS;
	}
}

uint32_t pf_gate_open_streams(const struct pf_gate *g, pf_ms now,
			      struct pf_gate_stream *out, uint32_t max)
{
	uint32_t n = 0;
	uint32_t i;
	uint32_t k;

	for (i = 0; i < GATE_STREAM_SETS; i++) {
		for (k = 0; k < GATE_STREAM_WAYS && n < max; k++) {
			const struct gate_stream *s = &g->streams[i][k];

			if (s->id && s->own && s->open &&
			    now - s->at < STORED_MS &&
			    gate_software_mixed(g, s->service))
				out[n++] = (struct pf_gate_stream){
					s->id, s->service, s->software,
					(uint32_t)(now - s->at)
				};
		}
	}
	return n;
}

uint64_t pf_gate_streams_serial(const struct pf_gate *g)
{
	return g->streams_serial;
}
