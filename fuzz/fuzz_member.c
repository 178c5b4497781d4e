/*
 * Membership cores of the entries of one region with agents that start, stop,
 * pause, return and leave while the platform's list lags. Checks against the
 * true state: no new work later than 2 s after the first notice that an
 * incarnation is leaving, none to one that is gone, messages of old
 * incarnations change nothing, and each model is covered while a live agent
 * has it.
 */
#include "fuzz/fuzz.h"
#include "pimentoford/member.h"

#include <string.h>

#define N_ENTRIES 4
#define N_AGENTS 12
#define N_MODELS 8
#define SESSIONS_MAX 10
#define LEAVE_LIMIT_MS 2000
#define SETTLE_MS 5000
#define STEP_MS 200
#define ENTRY_ID(i) (1000 + (uint64_t)(i))
#define AGENT_ID(i) (1 + (uint64_t)(i))

struct agent {
	bool up;
	bool paused;
	bool announced_leaving;
	bool listed_leaving;
	/* By entry: it got a leave notice or list entry for this incarnation. */
	bool leave_seen[N_ENTRIES];
	pf_ms leave_seen_at[N_ENTRIES];
	uint64_t incarnation;
	pf_ms last_event_at; /* fault or start */
	uint64_t models[2];
};

struct world {
	struct fuzz_result *result;
	struct pf_rng rng;
	pf_ms now;
	struct pf_member *cores[N_ENTRIES];
	/* Set by CONNECT, cleared by DISCONNECT. */
	bool connect_wanted[N_ENTRIES][N_AGENTS];
	bool session_up[N_ENTRIES][N_AGENTS];
	struct agent agents[N_AGENTS];
	/* In the last list that the entry received. */
	bool seen_listed_leaving[N_ENTRIES][N_AGENTS];
	pf_ms seen_listed_leaving_at[N_ENTRIES][N_AGENTS];
	/* Of the last session. */
	uint64_t met_incarnation[N_ENTRIES][N_AGENTS];
	pf_ms last_covered_at[N_ENTRIES][N_MODELS];
	bool list_unavailable;
	int stepped_entry;
};

static void record_act(void *ctx, const struct pf_member_act *act)
{
	struct world *w = ctx;
	uint64_t a = act->id - 1;

	if (a >= N_AGENTS)
		return;
	if (act->type == PF_MEMBER_CONNECT)
		w->connect_wanted[w->stepped_entry][a] = true;
	if (act->type == PF_MEMBER_DISCONNECT)
		w->connect_wanted[w->stepped_entry][a] = false;
}

static void step_entry(struct world *w, int e, const struct pf_member_msg *m)
{
	struct pf_member_sink sink = { record_act, w };

	w->stepped_entry = e;
	pf_member_step(w->cores[e], w->now, m, &sink);
}

static void send_agent_msg(struct world *w, int e, int a,
			   enum pf_member_msg_type type, uint64_t incarnation)
{
	struct pf_member_msg m = { .type = type, .id = AGENT_ID(a) };

	m.u.session.incarnation = incarnation;
	m.u.session.role = PF_MEMBER_AGENT;
	step_entry(w, e, &m);
}

static void record_leave(struct world *w, int e, int a)
{
	struct agent *x = &w->agents[a];

	if (!x->leave_seen[e])
		x->leave_seen_at[e] = w->now;
	x->leave_seen[e] = true;
}

/* A list that turns to leaving applies to the incarnation @e has met. */
static void record_list(struct world *w, int e, int a)
{
	struct agent *x = &w->agents[a];

	if (x->listed_leaving && !w->seen_listed_leaving[e][a]) {
		w->seen_listed_leaving_at[e][a] = w->now;
		if (w->met_incarnation[e][a] == x->incarnation)
			record_leave(w, e, a);
	}
	w->seen_listed_leaving[e][a] = x->listed_leaving;
}

static void send_agent_models(struct world *w, int e)
{
	for (int a = 0; a < N_AGENTS; a++) {
		struct pf_member_msg m = { .type = PF_MEMBER_AGENT_MODELS,
					   .id = AGENT_ID(a) };

		m.u.models.ids = w->agents[a].models;
		m.u.models.n = 2;
		step_entry(w, e, &m);
	}
}

static uint32_t fill_nodes(const struct world *w, struct pf_member_node *v,
			   bool list)
{
	uint32_t n = 0;

	for (int a = 0; a < N_AGENTS; a++)
		v[n++] = (struct pf_member_node){
			.id = AGENT_ID(a),
			.role = PF_MEMBER_AGENT,
			.zone = 1 + (uint64_t)a % 2,
			.region = 9,
			.leaving = list && w->agents[a].listed_leaving
		};
	for (int e = 0; list && e < N_ENTRIES; e++)
		v[n++] = (struct pf_member_node){ .id = ENTRY_ID(e),
						  .role = PF_MEMBER_ENTRY,
						  .zone = 1 + (uint64_t)e % 2,
						  .region = 9 };
	return n;
}

static void send_nodes(struct world *w, int e, enum pf_member_msg_type type)
{
	struct pf_member_node v[N_AGENTS + N_ENTRIES];
	struct pf_member_msg m = { .type = type };

	m.u.nodes.v = v;
	m.u.nodes.n = fill_nodes(w, v, type == PF_MEMBER_VM_LIST);
	step_entry(w, e, &m);
}

static void start_entries(struct world *w)
{
	uint64_t models[N_MODELS];

	for (int k = 0; k < N_MODELS; k++)
		models[k] = 100 + (uint64_t)k;
	for (int a = 0; a < N_AGENTS; a++) {
		w->agents[a].models[0] = models[a % N_MODELS];
		w->agents[a].models[1] = models[a * 3 % N_MODELS];
	}
	for (int e = 0; e < N_ENTRIES; e++) {
		struct pf_member_msg m = { .type = PF_MEMBER_DECLARED_MODELS };
		struct pf_member_opts o;

		pf_member_opts_default(&o);
		o.self = ENTRY_ID(e);
		o.zone = 1 + (uint64_t)e % 2;
		o.region = 9;
		o.sessions_max = SESSIONS_MAX;
		o.entries_per_agent = 2;
		o.disconnect_delay = 1000;
		o.members_max = N_AGENTS + N_ENTRIES;
		w->cores[e] = pf_member_new(&o);
		PF_INVARIANT("the core is allocated", w->cores[e]);
		m.u.models.ids = models;
		m.u.models.n = N_MODELS;
		step_entry(w, e, &m);
		send_nodes(w, e, PF_MEMBER_DECLARED_AGENTS);
		send_agent_models(w, e);
	}
}

/* Opens or closes the session as wanted and possible; sends a heartbeat. */
static void advance_session(struct world *w, int e, int a)
{
	struct agent *x = &w->agents[a];
	bool can = w->connect_wanted[e][a] && x->up && !x->paused;

	if (can && !w->session_up[e][a]) {
		w->session_up[e][a] = true;
		w->met_incarnation[e][a] = x->incarnation;
		send_agent_msg(w, e, a, PF_MEMBER_SESSION_UP, x->incarnation);
	}
	if (!w->connect_wanted[e][a] || !x->up) {
		if (w->session_up[e][a])
			send_agent_msg(w, e, a, PF_MEMBER_SESSION_DOWN, 0);
		w->session_up[e][a] = false;
	}
	if (!w->session_up[e][a] || x->paused)
		return;
	if (x->announced_leaving)
		record_leave(w, e, a);
	send_agent_msg(w, e, a,
		       x->announced_leaving ? PF_MEMBER_LEAVE_NOTICE
					    : PF_MEMBER_HEARTBEAT,
		       x->incarnation);
}

static void check_usable(struct world *w, int e, int a)
{
	const struct agent *x = &w->agents[a];

	if (!pf_member_usable(w->cores[e], AGENT_ID(a)))
		return;
	if (!x->up)
		fuzz_violation(w->result, "gone agent %d is usable", a);
	if (w->seen_listed_leaving[e][a] &&
	    w->now - w->seen_listed_leaving_at[e][a] > LEAVE_LIMIT_MS)
		fuzz_violation(w->result,
			       "agent %d, listed as leaving, is usable", a);
	if (x->leave_seen[e] && w->now - x->leave_seen_at[e] > LEAVE_LIMIT_MS)
		fuzz_violation(w->result,
			       "agent %d, leaving since t=%lld ms, is usable",
			       a, (long long)x->leave_seen_at[e]);
}

/* Whether an agent with @model has been usable for SETTLE_MS at @e. */
static bool has_settled_agent(const struct world *w, int e, uint64_t model)
{
	for (int a = 0; a < N_AGENTS; a++) {
		const struct agent *x = &w->agents[a];

		if (x->models[0] != model && x->models[1] != model)
			continue;
		if (x->up && !x->paused && !x->announced_leaving &&
		    !x->leave_seen[e] && !x->listed_leaving &&
		    !w->seen_listed_leaving[e][a] &&
		    w->now - x->last_event_at >= SETTLE_MS)
			return true;
	}
	return false;
}

static void check_coverage(struct world *w)
{
	for (int e = 0; e < N_ENTRIES; e++)
		for (int k = 0; k < N_MODELS; k++) {
			uint64_t model = 100 + (uint64_t)k;

			if (!has_settled_agent(w, e, model) ||
			    pf_member_covers_model(w->cores[e], model))
				w->last_covered_at[e][k] = w->now;
			if (w->now - w->last_covered_at[e][k] > LEAVE_LIMIT_MS)
				fuzz_violation(
					w->result,
					"entry %d does not cover model %d", e,
					k);
		}
}

static void advance(struct world *w)
{
	struct pf_member_msg tick = { .type = PF_MEMBER_TICK };

	w->now += STEP_MS;
	for (int e = 0; e < N_ENTRIES; e++) {
		if (!w->list_unavailable && (w->now / STEP_MS + e) % 5 == 0) {
			for (int a = 0; a < N_AGENTS; a++)
				record_list(w, e, a);
			send_nodes(w, e, PF_MEMBER_VM_LIST);
		}
		for (int a = 0; a < N_AGENTS; a++)
			advance_session(w, e, a);
		step_entry(w, e, &tick);
		for (int a = 0; a < N_AGENTS; a++)
			check_usable(w, e, a);
	}
	check_coverage(w);
}

/* A process paused since before its successor started sends a message. */
static void send_stale_message(struct world *w, int a)
{
	struct agent *x = &w->agents[a];

	for (int e = 0; e < N_ENTRIES; e++) {
		bool before = pf_member_usable(w->cores[e], AGENT_ID(a));
		enum pf_member_msg_type t = pf_rng_below(&w->rng, 2)
						    ? PF_MEMBER_HEARTBEAT
						    : PF_MEMBER_LEAVE_NOTICE;

		if (!w->session_up[e][a] || x->incarnation < 2)
			continue;
		send_agent_msg(w, e, a, t, x->incarnation - 1);
		if (pf_member_usable(w->cores[e], AGENT_ID(a)) != before)
			fuzz_violation(
				w->result,
				"old incarnation of agent %d changed its state",
				a);
	}
}

static void start_agent(struct agent *x)
{
	x->up = true;
	x->paused = false;
	x->announced_leaving = false;
	memset(x->leave_seen, 0, sizeof(x->leave_seen));
	x->incarnation++;
}

static void random_event(struct world *w)
{
	int a = (int)pf_rng_below(&w->rng, N_AGENTS);
	struct agent *x = &w->agents[a];

	x->last_event_at = w->now;
	switch (pf_rng_below(&w->rng, 10)) {
	case 0:
	case 1:
	case 2:
		if (!x->up)
			start_agent(x);
		break;
	case 3:
		x->up = false;
		break;
	case 4:
		x->paused = !x->paused;
		break;
	case 5:
		x->announced_leaving = x->announced_leaving || x->up;
		break;
	case 6:
		x->listed_leaving = !x->listed_leaving;
		break;
	case 7:
		w->list_unavailable = !w->list_unavailable;
		break;
	case 8:
		send_stale_message(w, a);
		break;
	default:
		break;
	}
}

/* After faults end, every connected agent must become usable again. */
static void check_recovery(struct world *w)
{
	w->list_unavailable = false;
	for (int a = 0; a < N_AGENTS; a++) {
		w->agents[a].listed_leaving = false;
		w->agents[a].paused = false;
		if (!w->agents[a].up || w->agents[a].announced_leaving)
			start_agent(&w->agents[a]);
		for (int e = 0; e < N_ENTRIES; e++) {
			if (w->session_up[e][a])
				send_agent_msg(w, e, a, PF_MEMBER_SESSION_DOWN,
					       0);
			w->session_up[e][a] = false;
		}
	}
	for (pf_ms end = w->now + SETTLE_MS; w->now < end;)
		advance(w);
	for (int e = 0; e < N_ENTRIES; e++)
		for (int a = 0; a < N_AGENTS; a++)
			if (w->connect_wanted[e][a] &&
			    !w->agents[a].leave_seen[e] &&
			    !pf_member_usable(w->cores[e], AGENT_ID(a)))
				fuzz_violation(
					w->result,
					"agent %d stays unusable after faults",
					a);
}

void fuzz_member(uint64_t seed, uint32_t steps_max, struct fuzz_result *r)
{
	struct world w = { .result = r };

	pf_rng_seed(&w.rng, seed);
	start_entries(&w);
	for (int a = 0; a < N_AGENTS; a++)
		start_agent(&w.agents[a]);
	for (uint32_t i = 0; i < steps_max && !r->violations; i++) {
		random_event(&w);
		advance(&w);
		r->steps++;
	}
	check_recovery(&w);
	for (int e = 0; e < N_ENTRIES; e++)
		pf_member_free(w.cores[e]);
}
