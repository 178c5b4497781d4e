/*
 * Membership cores of the entries of one region against agents that start,
 * stop, pause, return and leave, while the platform's list lags. The oracle
 * keeps the truth: no new work later than 2 s after the first sign that an
 * incarnation leaves, none to one that is gone, old incarnations change
 * nothing, and every model has a held agent while one that has it lives.
 */
#include "fuzz/fuzz.h"
#include "pimentoford/member.h"

#include <string.h>

#define ENTRIES 4
#define AGENTS 12
#define MODELS 8
#define SESSIONS 10
#define SIGN_MS 2000
#define SETTLE_MS 5000
#define STEP_MS 200
#define ENTRY_ID(i) (1000 + (uint64_t)(i))
#define AGENT_ID(i) (1 + (uint64_t)(i))

struct agent {
	bool up;
	bool paused;
	bool told; /* it has said that it leaves */
	bool listed_leaving;
	/* By entry: either sign came to it for this incarnation. */
	bool signs[ENTRIES];
	pf_ms sign_at[ENTRIES];
	uint64_t incarnation;
	pf_ms changed_at; /* a fault or a start came */
	uint64_t models[2];
};

struct world {
	struct fuzz_result *r;
	struct pf_rng rng;
	pf_ms now;
	struct pf_member *cores[ENTRIES];
	bool linked[ENTRIES][AGENTS]; /* by connect and disconnect */
	bool session[ENTRIES][AGENTS];
	struct agent agents[AGENTS];
	bool said[ENTRIES][AGENTS]; /* the list, last: it leaves */
	pf_ms said_at[ENTRIES][AGENTS];
	uint64_t known[ENTRIES][AGENTS]; /* incarnation that it has met */
	pf_ms covered_at[ENTRIES][MODELS];
	bool list_away;
	int stepping;
};

static void emit(void *ctx, const struct pf_member_act *act)
{
	struct world *w = ctx;
	uint64_t a = act->id - 1;

	if (a >= AGENTS)
		return;
	if (act->type == PF_MEMBER_CONNECT)
		w->linked[w->stepping][a] = true;
	if (act->type == PF_MEMBER_DISCONNECT)
		w->linked[w->stepping][a] = false;
}

static void step(struct world *w, int e, const struct pf_member_msg *m)
{
	struct pf_member_sink sink = { emit, w };

	w->stepping = e;
	pf_member_step(w->cores[e], w->now, m, &sink);
}

static void give(struct world *w, int e, int a, enum pf_member_msg_type type,
		 uint64_t incarnation)
{
	struct pf_member_msg m = { .type = type, .id = AGENT_ID(a) };

	m.u.session.incarnation = incarnation;
	m.u.session.role = PF_MEMBER_AGENT;
	step(w, e, &m);
}

static void sign(struct world *w, int e, int a)
{
	struct agent *x = &w->agents[a];

	if (!x->signs[e])
		x->sign_at[e] = w->now;
	x->signs[e] = true;
}

/* The list's word counts for the incarnation that @e knew when it turned. */
static void list_word(struct world *w, int e, int a)
{
	struct agent *x = &w->agents[a];

	if (x->listed_leaving && !w->said[e][a]) {
		w->said_at[e][a] = w->now;
		if (w->known[e][a] == x->incarnation)
			sign(w, e, a);
	}
	w->said[e][a] = x->listed_leaving;
}

static void give_holds(struct world *w, int e)
{
	for (int a = 0; a < AGENTS; a++) {
		struct pf_member_msg m = { .type = PF_MEMBER_AGENT_MODELS,
					   .id = AGENT_ID(a) };

		m.u.models.ids = w->agents[a].models;
		m.u.models.n = 2;
		step(w, e, &m);
	}
}

static uint32_t nodes(const struct world *w, struct pf_member_node *v,
		      bool list)
{
	uint32_t n = 0;

	for (int a = 0; a < AGENTS; a++)
		v[n++] = (struct pf_member_node){
			.id = AGENT_ID(a),
			.role = PF_MEMBER_AGENT,
			.zone = 1 + (uint64_t)a % 2,
			.region = 9,
			.leaving = list && w->agents[a].listed_leaving
		};
	for (int e = 0; list && e < ENTRIES; e++)
		v[n++] = (struct pf_member_node){ .id = ENTRY_ID(e),
						  .role = PF_MEMBER_ENTRY,
						  .zone = 1 + (uint64_t)e % 2,
						  .region = 9 };
	return n;
}

static void give_nodes(struct world *w, int e, enum pf_member_msg_type type)
{
	struct pf_member_node v[AGENTS + ENTRIES];
	struct pf_member_msg m = { .type = type };

	m.u.nodes.v = v;
	m.u.nodes.n = nodes(w, v, type == PF_MEMBER_VM_LIST);
	step(w, e, &m);
}

static void start(struct world *w)
{
	uint64_t models[MODELS];

	for (int k = 0; k < MODELS; k++)
		models[k] = 100 + (uint64_t)k;
	for (int a = 0; a < AGENTS; a++) {
		w->agents[a].models[0] = models[a % MODELS];
		w->agents[a].models[1] = models[a * 3 % MODELS];
	}
	for (int e = 0; e < ENTRIES; e++) {
		struct pf_member_msg m = { .type = PF_MEMBER_DECLARED_MODELS };
		struct pf_member_opts o;

		pf_member_opts_default(&o);
		o.self = ENTRY_ID(e);
		o.zone = 1 + (uint64_t)e % 2;
		o.region = 9;
		o.sessions_max = SESSIONS;
		o.entries_per_agent = 2;
		o.disconnect_delay = 1000;
		o.members_max = AGENTS + ENTRIES;
		w->cores[e] = pf_member_new(&o);
		PF_INVARIANT("the fuzzer has memory", w->cores[e]);
		m.u.models.ids = models;
		m.u.models.n = MODELS;
		step(w, e, &m);
		give_nodes(w, e, PF_MEMBER_DECLARED_AGENTS);
		give_holds(w, e);
	}
}

/* Sessions follow what cores want and what lives; then heartbeats flow. */
static void exchange(struct world *w, int e, int a)
{
	struct agent *x = &w->agents[a];
	bool can = w->linked[e][a] && x->up && !x->paused;

	if (can && !w->session[e][a]) {
		w->session[e][a] = true;
		w->known[e][a] = x->incarnation;
		give(w, e, a, PF_MEMBER_SESSION_UP, x->incarnation);
	}
	if (!w->linked[e][a] || !x->up) {
		if (w->session[e][a])
			give(w, e, a, PF_MEMBER_SESSION_DOWN, 0);
		w->session[e][a] = false;
	}
	if (!w->session[e][a] || x->paused)
		return;
	if (x->told)
		sign(w, e, a);
	give(w, e, a, x->told ? PF_MEMBER_LEAVE_NOTICE : PF_MEMBER_HEARTBEAT,
	     x->incarnation);
}

static void check_work(struct world *w, int e, int a)
{
	const struct agent *x = &w->agents[a];

	if (!pf_member_usable(w->cores[e], AGENT_ID(a)))
		return;
	if (!x->up)
		fuzz_violation(w->r, "work for a gone agent %d", a);
	if (w->said[e][a] && w->now - w->said_at[e][a] > SIGN_MS)
		fuzz_violation(w->r, "work for agent %d, listed as leaving", a);
	if (x->signs[e] && w->now - x->sign_at[e] > SIGN_MS)
		fuzz_violation(w->r, "work for agent %d, leaving since %lld", a,
			       (long long)x->sign_at[e]);
}

/* Whether an agent with @model has been fit for work at @e for a while. */
static bool served(const struct world *w, int e, uint64_t model)
{
	for (int a = 0; a < AGENTS; a++) {
		const struct agent *x = &w->agents[a];

		if (x->models[0] != model && x->models[1] != model)
			continue;
		if (x->up && !x->paused && !x->told && !x->signs[e] &&
		    !x->listed_leaving && !w->said[e][a] &&
		    w->now - x->changed_at >= SETTLE_MS)
			return true;
	}
	return false;
}

static void check_models(struct world *w)
{
	for (int e = 0; e < ENTRIES; e++)
		for (int k = 0; k < MODELS; k++) {
			uint64_t model = 100 + (uint64_t)k;

			if (!served(w, e, model) ||
			    pf_member_covers_model(w->cores[e], model))
				w->covered_at[e][k] = w->now;
			if (w->now - w->covered_at[e][k] > SIGN_MS)
				fuzz_violation(w->r, "entry %d lacks model %d",
					       e, k);
		}
}

static void advance(struct world *w)
{
	struct pf_member_msg tick = { .type = PF_MEMBER_TICK };

	w->now += STEP_MS;
	for (int e = 0; e < ENTRIES; e++) {
		if (!w->list_away && (w->now / STEP_MS + e) % 5 == 0) {
			for (int a = 0; a < AGENTS; a++)
				list_word(w, e, a);
			give_nodes(w, e, PF_MEMBER_VM_LIST);
		}
		for (int a = 0; a < AGENTS; a++)
			exchange(w, e, a);
		step(w, e, &tick);
		for (int a = 0; a < AGENTS; a++)
			check_work(w, e, a);
	}
	check_models(w);
}

/* A process that was paused through its successor's start speaks up. */
static void old_speaks(struct world *w, int a)
{
	struct agent *x = &w->agents[a];

	for (int e = 0; e < ENTRIES; e++) {
		bool before = pf_member_usable(w->cores[e], AGENT_ID(a));
		enum pf_member_msg_type t = pf_rng_below(&w->rng, 2)
						    ? PF_MEMBER_HEARTBEAT
						    : PF_MEMBER_LEAVE_NOTICE;

		if (!w->session[e][a] || x->incarnation < 2)
			continue;
		give(w, e, a, t, x->incarnation - 1);
		if (pf_member_usable(w->cores[e], AGENT_ID(a)) != before)
			fuzz_violation(w->r, "an old incarnation of %d counts",
				       a);
	}
}

static void begin(struct agent *x)
{
	x->up = true;
	x->paused = false;
	x->told = false;
	memset(x->signs, 0, sizeof(x->signs));
	x->incarnation++;
}

static void act(struct world *w)
{
	int a = (int)pf_rng_below(&w->rng, AGENTS);
	struct agent *x = &w->agents[a];

	x->changed_at = w->now;
	switch (pf_rng_below(&w->rng, 10)) {
	case 0:
	case 1:
	case 2:
		if (!x->up)
			begin(x);
		break;
	case 3:
		x->up = false;
		break;
	case 4:
		x->paused = !x->paused;
		break;
	case 5:
		x->told = x->told || x->up;
		break;
	case 6:
		x->listed_leaving = !x->listed_leaving;
		break;
	case 7:
		w->list_away = !w->list_away;
		break;
	case 8:
		old_speaks(w, a);
		break;
	default:
		break;
	}
}

/* Faults stop; what lives and is held must get work again. */
static void settle(struct world *w)
{
	w->list_away = false;
	for (int a = 0; a < AGENTS; a++) {
		w->agents[a].listed_leaving = false;
		w->agents[a].paused = false;
		if (!w->agents[a].up || w->agents[a].told)
			begin(&w->agents[a]);
		for (int e = 0; e < ENTRIES; e++) {
			if (w->session[e][a])
				give(w, e, a, PF_MEMBER_SESSION_DOWN, 0);
			w->session[e][a] = false;
		}
	}
	for (pf_ms end = w->now + SETTLE_MS; w->now < end;)
		advance(w);
	for (int e = 0; e < ENTRIES; e++)
		for (int a = 0; a < AGENTS; a++)
			if (w->linked[e][a] && !w->agents[a].signs[e] &&
			    !pf_member_usable(w->cores[e], AGENT_ID(a)))
				fuzz_violation(w->r, "agent %d stays unused",
					       a);
}

void fuzz_member(uint64_t seed, uint32_t steps_max, struct fuzz_result *r)
{
	struct world w = { .r = r };

	pf_rng_seed(&w.rng, seed);
	start(&w);
	for (int a = 0; a < AGENTS; a++)
		begin(&w.agents[a]);
	for (uint32_t i = 0; i < steps_max && !r->violations; i++) {
		act(&w);
		advance(&w);
		r->steps++;
	}
	settle(&w);
	for (int e = 0; e < ENTRIES; e++)
		pf_member_free(w.cores[e]);
}
