/*
 * Gate cores that share a retry budget, checked against the guarantees for
 * callers: at-most-once requests run at most once, a refused request did not
 * run, each request gets one final act by its deadline, a silent send ends only
 * for another one, no endpoint that leaves or is in a backoff gets a send, a
 * started answer goes on while it may and at one software version, also after
 * all gateways ended, the retries of all gateways together stay within the
 * budget, and their sends to an endpoint within its limit.
 */
#include "fuzz/fuzz.h"
#include "pimentoford/version_row.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define GATES 3
#define ENDPOINTS 6
#define REQUESTS 48
#define STREAMS 64
#define NOTES_MAX 256
#define STORED_MAX 64
#define HISTORY_MAX 4096
#define ATTEMPTS 2
#define RETRY_WINDOW_MS 10000
#define RETRY_RATIO 0.2
#define RETRY_SLACK 3
#define TIMEOUT_MS 4000
#define LIMITED_SENDS_MAX 256
#define LIMIT_WINDOW_MS 4000
#define LIMIT_TOLD_MS 500
/* The store takes a new version late, but before gateways use it without that
 * (0.3 s). */
#define RECORDED_MS 220
#define ERA 1
#define STEP_MS 60 /* longest step of the clock; timers run at each */
#define DEADLINE_SLACK_MS (3 * STEP_MS)

enum kind { SAFE, UNSAFE, STREAM, RESUMABLE, KINDS };

struct req {
	bool active;
	enum kind kind;
	uint32_t gate;
	uint32_t handle;
	pf_ms deadline;
	uint32_t possible_runs;
	uint32_t sends_on_wire;
	bool response_started;
	bool in_flight;
	bool stalled; /* cancelled for silence, not sent again */
	uint32_t endpoint;
	pf_ms sent_at;
	int64_t sent_to; /* incarnation */
	uint32_t stream; /* index */
	int status; /* of the last complete answer */
	bool complete_answer; /* the current send ended with one */
};

/* A stream, over all requests of its caller. */
struct stream {
	uint32_t id; /* its first attempt's; 0: free */
	uint64_t software; /* that began it; 0: not begun */
	bool in_use; /* by a request */
};

/* A datagram between gateways. */
struct note {
	uint32_t from, to;
	struct pf_gate_note note;
};

/* The endpoint as each gateway knows it. */
struct endpoint_view {
	bool draining[GATES];
	bool listed[GATES];
	int64_t incarnation[GATES]; /* last listed */
	int64_t left[GATES]; /* last that said that it leaves */
	/* The last backoff: whose, its end, and whether an answer came since. */
	int64_t quiet[GATES];
	pf_ms quiet_until[GATES];
	bool answered[GATES];
	pf_ms added_at[GATES]; /* to the list, after it was not there */
	/* One incarnation names a limit in all its answers. */
	int64_t limited; /* 0: none */
	double limit_per_s;
	pf_ms told_at[GATES]; /* first answer to this gateway; 0: none */
	pf_ms limited_sends[LIMITED_SENDS_MAX]; /* by gateways that were told */
	uint32_t n_limited_sends;
};

struct world {
	struct fuzz_result *r;
	struct pf_rng rng;
	pf_ms now;
	struct pf_gate *gates[GATES];
	struct pf_gate_peer_cursor cursors[GATES][GATES]; /* [from][to] */
	uint64_t last_self;
	uint64_t selves[GATES];
	struct pf_routes routes;
	struct pf_split splits[KINDS];
	struct pf_route route[KINDS];
	struct pf_route_service services[2];
	struct pf_gate_zone zones[2];
	struct endpoint_view endpoints[ENDPOINTS];
	struct req reqs[REQUESTS];
	struct stream streams[STREAMS + 1]; /* the last one is a dummy */
	uint32_t n_streams; /* ever */
	struct note notes[NOTES_MAX]; /* on their way */
	uint32_t n_notes;
	uint32_t note_from; /* of the one being delivered */
	struct pf_gate_stream stored[GATES][STORED_MAX]; /* each one's row */
	uint32_t n_stored[GATES];
	bool read_due[GATES]; /* the store will answer a read */
	struct pf_version_row history; /* in the store */
	pf_ms record_at[GATES]; /* new versions are written; 0: none */
	uint64_t hidden; /* version without an endpoint of 102; 0: none */
	pf_ms restart_at; /* all gateways end once more; 0: not soon */
	uint32_t stepping_gate; /* whose acts come now */
	uint64_t probed; /* endpoint of the last probe; 0: none */
	/* Rings of the last arrivals and retries. */
	pf_ms retries[HISTORY_MAX], arrivals[HISTORY_MAX];
	uint32_t n_retries, n_arrivals;
	uint64_t retry_services[HISTORY_MAX], arrival_services[HISTORY_MAX];
};

static void step(struct world *w, uint32_t gate, const struct pf_gate_msg *m);

static uint32_t draw(struct world *w, uint32_t n)
{
	return pf_rng_below(&w->rng, n);
}

/* One endpoint starts again as the other version of its service. */
static uint64_t software_of(uint32_t endpoint, int64_t incarnation)
{
	if (endpoint < 3)
		return 1 + endpoint % 2;
	return endpoint < ENDPOINTS - 1 ? 3 + endpoint % 2
					: 3 + (uint64_t)incarnation % 2;
}

static uint64_t service_id(enum kind k)
{
	return k == SAFE || k == UNSAFE ? 101 : 102;
}

static uint32_t count_in_window(const pf_ms *at, const uint64_t *service,
				uint32_t n, uint64_t id, pf_ms from, pf_ms to)
{
	uint32_t c = 0;
	uint32_t i;

	for (i = 0; i < n && i < HISTORY_MAX; i++)
		c += service[i] == id && at[i] > from && at[i] <= to;
	return c;
}

static void check_budget(struct world *w, uint64_t id)
{
	static const pf_ms back[] = { 0, RETRY_WINDOW_MS / 2, RETRY_WINDOW_MS };
	uint32_t most = 0;
	uint32_t retries;
	size_t i;

	for (i = 0; i < 3; i++) {
		uint32_t c = count_in_window(w->arrivals, w->arrival_services,
					     w->n_arrivals, id,
					     w->now - back[i] - RETRY_WINDOW_MS,
					     w->now - back[i]);

		most = c > most ? c : most;
	}
	retries = count_in_window(w->retries, w->retry_services, w->n_retries,
				  id, w->now - RETRY_WINDOW_MS, w->now);
	if (retries > RETRY_RATIO * most + RETRY_SLACK)
		fuzz_violation(w->r,
			       "%u retries exceed the budget of %u requests",
			       retries, most);
}

/* Whether the endpoint was sent @q after a backoff and has not answered. */
static bool in_ramp(const struct world *w, const struct req *q, uint32_t gate,
		    uint32_t at)
{
	const struct endpoint_view *p = &w->endpoints[at];

	return q->active && q->in_flight && q->gate == gate &&
	       q->endpoint == at && q->sent_to == p->quiet[gate] &&
	       q->sent_at >= p->quiet_until[gate] &&
	       q->sent_at >= p->added_at[gate];
}

static void check_backoff(struct world *w, const struct req *q, uint32_t at)
{
	const struct endpoint_view *p = &w->endpoints[at];
	uint32_t i;

	if (!p->quiet[q->gate] || p->quiet[q->gate] != p->incarnation[q->gate])
		return;
	if (w->now < p->quiet_until[q->gate])
		fuzz_violation(w->r, "sent within a backoff");
	for (i = 0; i < REQUESTS && !p->answered[q->gate]; i++) {
		if (in_ramp(w, &w->reqs[i], q->gate, at))
			fuzz_violation(w->r, "sent many after a backoff");
	}
}

/* Sends of all gateways to an endpoint that has named a limit. */
static void check_limit(struct world *w, const struct req *q, uint32_t at)
{
	struct endpoint_view *p = &w->endpoints[at];
	uint32_t n = 0;
	uint32_t i;

	if (!p->limited || p->incarnation[q->gate] != p->limited ||
	    !p->told_at[q->gate] ||
	    w->now < p->told_at[q->gate] + LIMIT_TOLD_MS)
		return;
	p->limited_sends[p->n_limited_sends++ % LIMITED_SENDS_MAX] = w->now;
	for (i = 0; i < LIMITED_SENDS_MAX && i < p->n_limited_sends; i++)
		n += p->limited_sends[i] > w->now - LIMIT_WINDOW_MS;
	if (n > 1.5 * p->limit_per_s * LIMIT_WINDOW_MS / 1000 + 5)
		fuzz_violation(
			w->r,
			"%u requests in 4 s exceed a limit of %g a second", n,
			p->limit_per_s);
}

/* The answer to @q names the limit of its endpoint. */
static void name_limit(struct world *w, const struct req *q)
{
	struct pf_gate_msg m = { .type = PF_GATE_LIMIT };
	struct endpoint_view *p = &w->endpoints[q->endpoint];

	if (!p->limited || q->sent_to != p->limited)
		return;
	if (!p->told_at[q->gate])
		p->told_at[q->gate] = w->now;
	m.u.limit.endpoint = q->endpoint + 1;
	m.u.limit.incarnation = q->sent_to;
	m.u.limit.per_s = p->limit_per_s;
	m.u.limit.sent_at = q->sent_at;
	step(w, q->gate, &m);
}

/* An answer or event came. */
static void note_answer(struct world *w, const struct req *q)
{
	name_limit(w, q);
	if (in_ramp(w, q, q->gate, q->endpoint))
		w->endpoints[q->endpoint].answered[q->gate] = true;
}

static void on_send(struct world *w, struct req *q, const struct pf_gate_act *a)
{
	uint32_t at = (uint32_t)(a->u.send.endpoint - 1);
	const struct endpoint_view *p = &w->endpoints[at % ENDPOINTS];
	uint32_t n;

	if (q->in_flight)
		fuzz_violation(w->r, "sent while another send is in flight");
	if (at >= ENDPOINTS || !p->listed[q->gate] || p->draining[q->gate])
		fuzz_violation(w->r, "sent to a draining or removed endpoint");
	if (p->left[q->gate] && p->left[q->gate] >= p->incarnation[q->gate])
		fuzz_violation(w->r, "sent to an endpoint that said it leaves");
	if (q->stream < STREAMS && w->streams[q->stream].software &&
	    software_of(at, p->incarnation[q->gate]) !=
		    w->streams[q->stream].software)
		fuzz_violation(w->r, "stream goes on at another version");
	check_backoff(w, q, at % ENDPOINTS);
	check_limit(w, q, at % ENDPOINTS);
	if ((q->kind == UNSAFE || q->kind == STREAM) && q->possible_runs)
		fuzz_violation(w->r, "at-most-once request sent again");
	if (q->possible_runs >= ATTEMPTS)
		fuzz_violation(w->r, "sent again without attempts left");
	if (a->u.send.resume != q->response_started)
		fuzz_violation(w->r,
			       "resume flag differs from events passed on");
	if (a->u.send.time_left <= 0 ||
	    a->u.send.time_left > q->deadline - w->now)
		fuzz_violation(w->r, "time_left is not within the deadline");
	q->in_flight = true;
	q->stalled = false;
	q->endpoint = at;
	q->sent_at = w->now;
	q->sent_to = p->incarnation[q->gate];
	if (q->sends_on_wire++ == 0)
		return;
	n = w->n_retries++ % HISTORY_MAX;
	w->retries[n] = w->now;
	w->retry_services[n] = service_id(q->kind);
	check_budget(w, service_id(q->kind));
}

/* Whether an endpoint may go on with the stream of @q, perhaps later. */
static bool may_go_on(const struct world *w, const struct req *q)
{
	uint32_t i;

	for (i = 3; i < ENDPOINTS; i++) {
		const struct endpoint_view *p = &w->endpoints[i];
		int64_t incarnation = p->incarnation[q->gate];

		if (p->listed[q->gate] && !p->draining[q->gate] &&
		    p->left[q->gate] < incarnation &&
		    software_of(i, incarnation) ==
			    w->streams[q->stream].software)
			return true;
	}
	return false;
}

static void end_request(struct world *w, struct req *q)
{
	q->active = false;
	w->streams[q->stream].in_use = false;
}

static void on_final(struct world *w, struct req *q,
		     const struct pf_gate_act *a)
{
	if (!q->active)
		fuzz_violation(w->r, "second final act");
	if (q->in_flight)
		fuzz_violation(w->r, "final act with a send in flight");
	if (a->type == PF_GATE_DELIVER && !q->complete_answer)
		fuzz_violation(w->r, "delivered without an answer");
	if (a->type == PF_GATE_DELIVER && q->response_started &&
	    q->status != 200)
		fuzz_violation(w->r, "error answer ends a started stream");
	if (a->type == PF_GATE_REFUSE && q->possible_runs)
		fuzz_violation(w->r, "refused though it may have run");
	if (a->type == PF_GATE_REFUSE && a->u.refuse.retry_after >= 0 &&
	    a->u.refuse.retry_after > (q->deadline - w->now) / 3 + 1 &&
	    q->deadline > w->now)
		fuzz_violation(w->r,
			       "retry_after exceeds a third of the time left");
	if (q->stalled)
		fuzz_violation(w->r, "ended because its endpoint was silent");
	if (a->type != PF_GATE_DELIVER && q->response_started &&
	    q->kind == RESUMABLE && q->possible_runs < ATTEMPTS &&
	    w->now < q->deadline && may_go_on(w, q))
		fuzz_violation(w->r, "started answer cut with attempts left");
	end_request(w, q);
}

static void check_stalls(struct world *w)
{
	uint32_t i;

	for (i = 0; i < REQUESTS; i++) {
		if (w->reqs[i].active && w->reqs[i].stalled)
			fuzz_violation(w->r,
				       "silent send cancelled without another");
	}
}

static void add_note(struct world *w, uint32_t to, const struct pf_gate_note *n)
{
	if (to != w->stepping_gate && w->n_notes < NOTES_MAX && draw(w, 5))
		w->notes[w->n_notes++] =
			(struct note){ w->stepping_gate, to, *n };
}

/* All other gateways hold replicas. Some datagrams are lost. */
static void send_note(struct world *w, const struct pf_gate_act *a)
{
	uint32_t i;

	if (a->type == PF_GATE_REPLY) {
		add_note(w, w->note_from, &a->u.note);
		return;
	}
	for (i = 0; i < GATES; i++)
		add_note(w, i, &a->u.note);
}

static void emit(void *ctx, const struct pf_gate_act *a)
{
	struct world *w = ctx;
	struct req *q = a->ctx;

	if (a->type == PF_GATE_QUARANTINE)
		return;
	if (a->type == PF_GATE_RECORD_VERSIONS) {
		if (!w->record_at[w->stepping_gate])
			w->record_at[w->stepping_gate] = w->now + RECORDED_MS;
		return;
	}
	if (a->type == PF_GATE_READ_STORED) {
		w->read_due[w->stepping_gate] = draw(w, 3) > 0;
		return;
	}
	if (a->type == PF_GATE_TELL_REPLICAS || a->type == PF_GATE_REPLY) {
		send_note(w, a);
		return;
	}
	if (a->type == PF_GATE_PROBE) {
		w->probed = a->u.probe.endpoint;
		return;
	}
	if (!q->active || q->gate != w->stepping_gate) {
		fuzz_violation(w->r, "act for a request that has ended");
		return;
	}
	switch (a->type) {
	case PF_GATE_SEND:
		on_send(w, q, a);
		break;
	case PF_GATE_REQUEST_ADAPTER:
		break;
	case PF_GATE_CANCEL:
		if (!q->in_flight)
			fuzz_violation(w->r, "cancel without a send in flight");
		q->in_flight = false;
		q->stalled = a->u.cancel.reason == PF_GATE_CANCEL_STALLED;
		q->possible_runs++;
		break;
	case PF_GATE_PROBE:
	case PF_GATE_QUARANTINE:
	case PF_GATE_TELL_REPLICAS:
	case PF_GATE_READ_STORED:
	case PF_GATE_RECORD_VERSIONS:
	case PF_GATE_REPLY:
		break;
	case PF_GATE_DELIVER:
	case PF_GATE_REFUSE:
	case PF_GATE_FAIL:
		on_final(w, q, a);
		break;
	}
}

static void step(struct world *w, uint32_t gate, const struct pf_gate_msg *m)
{
	const struct pf_gate_sink sink = { emit, w };

	w->stepping_gate = gate;
	pf_gate_step(w->gates[gate], w->now, m, &sink);
	check_stalls(w);
}

static void list_endpoint(struct world *w, uint32_t gate, uint32_t i,
			  int64_t incarnation, bool draining)
{
	struct pf_resident res = { 9, NULL, 0 };
	struct pf_endpoint_info l = { .id = i + 1,
				      .service = i < 3 ? 101 : 102,
				      .software = software_of(i, incarnation),
				      .zone = 1 + i % 2,
				      .slots = 4,
				      .incarnation = incarnation,
				      .draining = draining,
				      .residents = &res,
				      .n_residents = i < 3 ? 0 : 1 };
	struct pf_gate_msg m = { .type = PF_GATE_ENDPOINT };

	m.u.endpoint = &l;
	if (!w->endpoints[i].listed[gate])
		w->endpoints[i].added_at[gate] = w->now;
	w->endpoints[i].listed[gate] = true;
	w->endpoints[i].draining[gate] = draining;
	w->endpoints[i].incarnation[gate] = incarnation;
	step(w, gate, &m);
}

/* Delivers one that is on its way, in any order. */
static void deliver_note(struct world *w)
{
	struct pf_gate_msg m = { .type = PF_GATE_NOTE };
	uint32_t i;
	uint32_t to;

	if (w->n_notes == 0)
		return;
	i = draw(w, w->n_notes);
	to = w->notes[i].to;
	m.u.note = w->notes[i].note;
	w->note_from = w->notes[i].from;
	w->notes[i] = w->notes[--w->n_notes];
	step(w, to, &m);
}

static void store_streams(struct world *w, uint32_t gate)
{
	w->n_stored[gate] = pf_gate_open_streams(w->gates[gate], w->now,
						 w->stored[gate], STORED_MAX);
}

/* Ages in the store are not kept up: they only decide what is forgotten. */
static void read_stored(struct world *w, uint32_t gate)
{
	struct pf_gate_msg m = { .type = PF_GATE_STORED };
	uint32_t i;

	for (i = 0; i < GATES; i++) {
		m.u.stored.own = i == gate;
		m.u.stored.streams = w->stored[i];
		m.u.stored.n_streams = w->n_stored[i];
		m.u.stored.last = i + 1 == GATES;
		step(w, gate, &m);
	}
}

static void use_store(struct world *w, uint32_t gate)
{
	if (w->read_due[gate])
		read_stored(w, gate);
	else
		store_streams(w, gate);
	w->read_due[gate] = false;
}

static void pass_history(struct world *w, uint32_t gate)
{
	struct pf_gate_software v[PF_GATE_SOFTWARE_MAX];
	struct pf_gate_msg m = { .type = PF_GATE_HISTORY };

	pf_version_row_history(&w->history, ERA, w->now, v, &m.u.history);
	step(w, gate, &m);
}

static void record_versions(struct world *w, uint32_t gate)
{
	struct pf_gate_software v[PF_GATE_SOFTWARE_MAX];
	struct pf_version_view view = {
		.listed = v,
		.n_listed = pf_gate_listed_software(w->gates[gate], w->now, v),
		.era = ERA,
		.now = w->now,
		.read_for = -1,
		.had_row = w->history.exists,
	};

	w->record_at[gate] = 0;
	pf_version_row_update(&w->history, &view);
	pass_history(w, gate);
}

static bool is_hidden(const struct world *w, uint32_t i, int64_t incarnation)
{
	return i >= 3 && software_of(i, incarnation) == w->hidden;
}

/* Which version of service 102 has no endpoint from now on, or none. */
static void draw_hidden(struct world *w)
{
	w->hidden = draw(w, 3) ? 3 + draw(w, 2) : 0;
}

static void start_gate(struct world *w, uint32_t gate)
{
	const struct pf_gate_msg all_read = { .type = PF_GATE_ENDPOINTS_READ };
	const struct pf_gate_msg members = { .type = PF_GATE_MEMBERS,
					     .u.members = GATES - 1 };
	struct pf_gate_msg m = { .type = PF_GATE_ROUTES };
	struct pf_gate_opts o;
	uint32_t i;

	pf_gate_opts_default(&o);
	o.self = ++w->last_self;
	w->selves[gate] = o.self;
	o.zone = 1;
	o.region = 1;
	o.zones = w->zones;
	o.n_zones = 2;
	o.seed = o.self;
	o.requests_max = REQUESTS;
	o.repeat_ratio = RETRY_RATIO;
	o.repeat_slack = RETRY_SLACK;
	o.repeat_window = RETRY_WINDOW_MS;
	o.records_versions = true;
	o.in_fleet = true;
	w->record_at[gate] = 0;
	w->gates[gate] = pf_gate_new(&o);
	/* A new process sends and gets digests from the beginning. */
	for (i = 0; i < GATES; i++) {
		w->cursors[gate][i] =
			(struct pf_gate_peer_cursor){ .region = 1 };
		w->cursors[i][gate] =
			(struct pf_gate_peer_cursor){ .region = 1 };
	}
	m.u.routes = &w->routes;
	step(w, gate, &m);
	for (i = 0; i < ENDPOINTS; i++)
		w->endpoints[i].left[gate] = w->endpoints[i].quiet[gate] =
			w->endpoints[i].told_at[gate] = 0;
	for (i = 0; i < ENDPOINTS; i++) {
		w->endpoints[i].listed[gate] = false;
		if (!is_hidden(w, i, 1))
			list_endpoint(w, gate, i, 1, false);
	}
	step(w, gate, &members);
	step(w, gate, &all_read);
	read_stored(w, gate);
	pass_history(w, gate);
}

/* The process dies with its requests. */
static void end_gate(struct world *w, uint32_t gate)
{
	uint32_t i;

	pf_gate_free(w->gates[gate]);
	for (i = 0; i < REQUESTS; i++) {
		if (w->reqs[i].active && w->reqs[i].gate == gate)
			end_request(w, &w->reqs[i]);
	}
}

static void restart_gate(struct world *w, uint32_t gate)
{
	end_gate(w, gate);
	start_gate(w, gate);
}

/* All end at once; meanwhile, versions of endpoints come or go. */
static void restart_all(struct world *w)
{
	uint32_t i;

	for (i = 0; i < GATES; i++)
		end_gate(w, i);
	draw_hidden(w);
	for (i = 0; i < GATES; i++)
		start_gate(w, i);
	w->restart_at =
		draw(w, 2) ? w->now + RECORDED_MS / 2 + draw(w, RECORDED_MS)
			   : 0;
}

/* An endpoint names a limit from now on. */
static void limit_endpoint(struct world *w, uint32_t at, int64_t incarnation)
{
	struct endpoint_view *p = &w->endpoints[at];
	uint32_t i;

	p->limited = incarnation;
	p->limit_per_s = 0.5 * draw(w, 5);
	p->n_limited_sends = 0;
	for (i = 0; i < GATES; i++)
		p->told_at[i] = 0;
}

static void init(struct world *w, uint64_t seed, struct fuzz_result *r)
{
	uint32_t i;

	memset(w, 0, sizeof(*w));
	w->r = r;
	w->now = 1000000;
	pf_rng_seed(&w->rng, seed);
	w->zones[0] = (struct pf_gate_zone){ 1, 1 };
	w->zones[1] = (struct pf_gate_zone){ 2, 1 };
	w->services[0].id = 101;
	w->services[1].id = 102;
	w->services[1].engine = true;
	w->services[1].kv_tokens = 4000;
	w->services[1].tokens_per_event = 4;
	for (i = 0; i < KINDS; i++) {
		w->splits[i] = (struct pf_split){ service_id((enum kind)i), 1 };
		w->route[i] = (struct pf_route){
			.splits = &w->splits[i],
			.n_splits = 1,
			.kind = (enum pf_route_kind)i,
			.timeout = TIMEOUT_MS,
			.latency_objective = 800,
			.attempts_max = ATTEMPTS,
		};
	}
	w->routes.services = w->services;
	w->routes.n_services = 2;
	draw_hidden(w);
	for (i = 0; i < GATES; i++)
		start_gate(w, i);
	/* Gateways that have just started send nothing to limited endpoints. */
	w->now += 2500;
	for (i = 0; i < ENDPOINTS; i++) {
		if (draw(w, 2))
			limit_endpoint(w, i, 1);
	}
}

/* A stream that was begun and broke, or NULL. */
static struct stream *pick_broken_stream(struct world *w)
{
	uint32_t from = draw(w, STREAMS);
	uint32_t i;

	for (i = 0; i < STREAMS; i++) {
		struct stream *s = &w->streams[(from + i) % STREAMS];

		if (s->software && !s->in_use)
			return s;
	}
	return NULL;
}

static struct stream *new_stream(struct world *w)
{
	uint32_t i;

	for (i = 0; i < STREAMS; i++) {
		struct stream *s = &w->streams[w->n_streams++ % STREAMS];

		if (s->in_use)
			continue;
		*s = (struct stream){ .id = w->n_streams };
		return s;
	}
	return NULL;
}

/* A caller begins a stream, or resumes one. */
static void choose_stream(struct world *w, struct req *q, struct pf_inbound *in,
			  char *id, size_t cap)
{
	struct stream *s = draw(w, 2) ? pick_broken_stream(w) : NULL;
	bool resumes = s != NULL;

	if (!s)
		s = new_stream(w);
	if (!s)
		return;
	s->in_use = true;
	q->stream = (uint32_t)(s - w->streams);
	(void)snprintf(id, cap, "s%u", s->id);
	if (resumes) {
		in->resumes = pf_str_c(id);
		in->last_event = 1;
	} else {
		in->id = pf_str_c(id);
	}
}

static void arrive(struct world *w)
{
	char id[16];
	struct pf_gate_msg m = { .type = PF_GATE_ARRIVE };
	enum kind k = (enum kind)draw(w, KINDS);
	struct pf_inbound in = { .last_event = -1 };
	struct req *q = NULL;
	uint32_t i;
	uint32_t n;

	for (i = 0; i < REQUESTS && !q; i++)
		q = w->reqs[i].active ? NULL : &w->reqs[i];
	if (!q)
		return;
	*q = (struct req){ .active = true, .kind = k, .gate = draw(w, GATES) };
	in.time_left = draw(w, 4) ? 500 + draw(w, 5000) : 0;
	q->deadline = w->now + TIMEOUT_MS;
	if (in.time_left && w->now + in.time_left < q->deadline)
		q->deadline = w->now + in.time_left;
	q->stream = STREAMS; /* none that goes on elsewhere */
	if (k == RESUMABLE)
		choose_stream(w, q, &in, id, sizeof(id));
	if (k >= STREAM) {
		in.model = draw(w, 12) ? 9 : 8; /* no endpoint has 8 */
		in.prompt_tokens = draw(w, 1500);
		in.max_tokens = 40;
	}
	n = w->n_arrivals++ % HISTORY_MAX;
	w->arrivals[n] = w->now;
	w->arrival_services[n] = service_id(k);
	m.u.arrival.ctx = q;
	m.u.arrival.route = &w->route[k];
	m.u.arrival.in = &in;
	m.u.arrival.fingerprint = pf_id2(w->now, n) | 1;
	m.u.arrival.handle = &q->handle;
	step(w, q->gate, &m);
}

static struct req *pick_request(struct world *w, bool in_flight)
{
	uint32_t from = draw(w, REQUESTS);
	uint32_t i;

	for (i = 0; i < REQUESTS; i++) {
		struct req *q = &w->reqs[(from + i) % REQUESTS];

		if (q->active && (!in_flight || q->in_flight))
			return q;
	}
	return NULL;
}

static void end_send(struct world *w)
{
	struct pf_gate_msg m = { .type = PF_GATE_ENDED };
	struct req *q = pick_request(w, true);
	uint32_t op;

	if (!q)
		return;
	op = draw(w, 10);
	if (op < 5)
		note_answer(w, q);
	m.u.end.request = q->handle;
	q->in_flight = false;
	if (op < 5) {
		m.u.end.outcome = PF_GATE_ANSWERED;
		m.u.end.status = draw(w, 5) ? 200 : 500;
		q->complete_answer = true;
		q->status = m.u.end.status;
		q->possible_runs++;
	} else if (op == 5 && !q->response_started) {
		m.u.end.outcome = PF_GATE_NOT_RUN;
		m.u.end.status = 503;
		m.u.end.misdirected = draw(w, 3) == 0;
	} else if (op == 6 && !q->response_started) {
		m.u.end.outcome = PF_GATE_UNSENT;
		/* on_send() counted it, but it did not arrive. */
		if (--q->sends_on_wire > 0)
			w->n_retries--;
	} else {
		m.u.end.outcome =
			q->response_started ? PF_GATE_BROKEN : PF_GATE_LOST;
		m.u.end.reset = draw(w, 2) == 0;
		q->possible_runs++;
	}
	step(w, q->gate, &m);
	q->complete_answer = false;
}

static void pass_events(struct world *w)
{
	struct pf_gate_msg m = { .type = PF_GATE_EVENTS };
	struct req *q = pick_request(w, true);

	if (!q || q->kind < STREAM)
		return;
	if (q->stream < STREAMS && !w->streams[q->stream].software)
		w->streams[q->stream].software =
			software_of(q->endpoint, q->sent_to);
	q->response_started = true;
	note_answer(w, q);
	m.u.events.request = q->handle;
	m.u.events.n = 1 + draw(w, 3);
	step(w, q->gate, &m);
}

static void hang_up(struct world *w)
{
	struct pf_gate_msg m = { .type = PF_GATE_HANGUP };
	struct req *q = pick_request(w, false);

	if (!q)
		return;
	m.u.request = q->handle;
	step(w, q->gate, &m);
	if (q->in_flight)
		fuzz_violation(w->r, "send not cancelled after a hangup");
	end_request(w, q);
}

static void change_endpoint(struct world *w)
{
	struct pf_gate_msg m = { .type = PF_GATE_ENDPOINT_GONE };
	uint32_t gate = draw(w, GATES);
	uint32_t i = draw(w, ENDPOINTS);
	int64_t born = w->endpoints[i].incarnation[gate];

	if (draw(w, 3)) {
		/* At times started again, or an older row. */
		if (draw(w, 4) == 0)
			born += draw(w, 4) ? 1 : -1;
		born = born > 0 ? born : 1;
		/* It would come for all gateways at once. */
		if (!is_hidden(w, i, born))
			list_endpoint(w, gate, i, born, draw(w, 4) == 0);
		return;
	}
	w->endpoints[i].listed[gate] = false;
	m.u.id = i + 1;
	step(w, gate, &m);
}

/* An answer says that its endpoint leaves, perhaps the one before a restart. */
static void say_leaving(struct world *w)
{
	struct pf_gate_msg m = { .type = PF_GATE_LEAVING };
	uint32_t gate = draw(w, GATES);
	uint32_t i = draw(w, ENDPOINTS);
	struct endpoint_view *p = &w->endpoints[i];

	m.u.leaving.endpoint = i + 1;
	m.u.leaving.incarnation = p->incarnation[gate] - (draw(w, 4) == 0);
	if (m.u.leaving.incarnation < 1)
		return;
	if (m.u.leaving.incarnation > p->left[gate])
		p->left[gate] = m.u.leaving.incarnation;
	step(w, gate, &m);
}

/* An endpoint asks for no requests. */
static void back_off(struct world *w)
{
	struct pf_gate_msg m = { .type = PF_GATE_BACKOFF };
	uint32_t gate = draw(w, GATES);
	uint32_t i = draw(w, ENDPOINTS);
	struct endpoint_view *p = &w->endpoints[i];

	m.u.backoff.endpoint = i + 1;
	m.u.backoff.incarnation = p->incarnation[gate];
	m.u.backoff.span = 1 + draw(w, 3000);
	if (p->quiet[gate] != p->incarnation[gate])
		p->quiet_until[gate] = 0;
	if (p->quiet_until[gate] < w->now + m.u.backoff.span)
		p->quiet_until[gate] = w->now + m.u.backoff.span;
	p->quiet[gate] = p->incarnation[gate];
	p->answered[gate] = false;
	step(w, gate, &m);
}

/* Some datagrams are lost. */
static void exchange_limits(struct world *w)
{
	struct pf_gate_limit v[PF_GATE_LIMITS_MAX];
	struct pf_gate_msg m = { .type = PF_GATE_PEER_LIMITS };
	uint32_t i;
	uint32_t k;

	m.u.limits.v = v;
	for (i = 0; i < GATES; i++) {
		m.u.limits.peer = w->selves[i];
		m.u.limits.n = pf_gate_limits(w->gates[i], w->now, v);
		for (k = 0; k < GATES; k++) {
			if (k != i && m.u.limits.n && draw(w, 5))
				step(w, k, &m);
		}
	}
}

/* Some datagrams are lost. */
static void exchange_digests(struct world *w)
{
	struct pf_gate_msg m = { .type = PF_GATE_PEER_DIGEST };
	uint32_t i;
	uint32_t k;

	exchange_limits(w);
	for (i = 0; i < GATES; i++) {
		for (k = 0; k < GATES; k++) {
			if (k == i)
				continue;
			pf_gate_digest(w->gates[i], &w->cursors[i][k],
				       &m.u.digest);
			if (draw(w, 5))
				step(w, k, &m);
		}
	}
}

/* Some probes connect, at once or late. */
static void answer_probe(struct world *w)
{
	struct pf_gate_msg m = { .type = PF_GATE_REACHABLE };

	m.u.id = w->probed;
	if (w->probed)
		step(w, draw(w, GATES), &m);
	w->probed = 0;
}

static void tick(struct world *w)
{
	static const struct pf_gate_msg m = { .type = PF_GATE_TICK };
	uint32_t i;

	w->now += 1 + draw(w, STEP_MS);
	if (w->restart_at && w->now >= w->restart_at)
		restart_all(w);
	for (i = 0; i < GATES; i++) {
		if (w->record_at[i] && w->now >= w->record_at[i])
			record_versions(w, i);
		step(w, i, &m);
	}
	for (i = 0; i < REQUESTS; i++) {
		const struct req *q = &w->reqs[i];

		if (q->active && w->now > q->deadline + DEADLINE_SLACK_MS)
			fuzz_violation(w->r, "no final act by the deadline");
	}
}

void fuzz_gate(uint64_t seed, uint32_t steps_max, struct fuzz_result *r)
{
	struct world *w = malloc(sizeof(*w));
	uint32_t i;

	if (!w)
		return;
	init(w, seed, r);
	for (i = 0; i < steps_max; i++) {
		uint32_t op = draw(w, 100);

		if (op < 22)
			arrive(w);
		else if (op < 46)
			end_send(w);
		else if (op < 56)
			pass_events(w);
		else if (op < 60)
			hang_up(w);
		else if (op < 63)
			change_endpoint(w);
		else if (op < 64)
			answer_probe(w);
		else if (op < 65)
			say_leaving(w);
		else if (op < 67)
			back_off(w);
		else if (op < 68 && draw(w, 20) == 0)
			limit_endpoint(
				w, i % ENDPOINTS,
				w->endpoints[i % ENDPOINTS].incarnation[0]);
		else if (op < 74)
			exchange_digests(w);
		else if (op < 79)
			deliver_note(w);
		else if (op < 80)
			use_store(w, draw(w, GATES));
		else if (op < 99 || draw(w, 8))
			tick(w);
		else if (draw(w, 2))
			restart_gate(w, draw(w, GATES));
		else
			restart_all(w);
		r->steps++;
	}
	for (i = 0; i < GATES; i++)
		pf_gate_free(w->gates[i]);
	free(w);
}
