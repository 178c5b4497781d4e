/*
 * Sessions between entries and agents at the current and the target size: their
 * number, heartbeat traffic, and how many move when an agent or entry leaves.
 */
#include "bench/spread.h"

#include "pimentoford/member.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ZONES 4
#define AGENTS_MAX 1200
#define MODELS_PER_AGENT 6
/* An empty session record with TCP and IP headers. */
#define HEARTBEAT_BYTES 84
#define HEARTBEAT_MS 1000
#define SLOW_HEARTBEAT_MS 3000
#define SETTLE_MS 70000

struct region_size {
	const char *name;
	uint32_t entries;
	uint32_t agents;
	uint32_t models;
	uint32_t sessions;
	uint32_t entries_per_agent;
};

static const struct region_size sizes[] = {
	{ "today", 3, 23, 30, 64, 6 },
	{ "letter_4_holders", 189, 1100, 270, 64, 4 },
	{ "letter", 189, 1100, 270, 96, 6 },
	{ "letter_11_holders", 189, 1100, 270, 128, 11 },
};

struct member_sim {
	struct pf_member *core;
	bool held[AGENTS_MAX];
	uint32_t moves;
};

static void emit(void *ctx, const struct pf_member_act *act)
{
	struct member_sim *x = ctx;

	if (act->id == 0 || act->id > AGENTS_MAX)
		return;
	if (act->type == PF_MEMBER_CONNECT)
		x->held[act->id - 1] = true;
	else if (act->type == PF_MEMBER_DISCONNECT)
		x->held[act->id - 1] = false;
	else
		return;
	x->moves++;
}

static void step_member(struct member_sim *x, pf_ms now,
			const struct pf_member_msg *m)
{
	struct pf_member_sink sink = { emit, x };

	pf_member_step(x->core, now, m, &sink);
}

static uint64_t model_of(uint64_t seed, uint32_t agent, uint32_t k,
			 uint32_t models)
{
	/* The first model of each agent, so that each model has an agent. */
	if (k == 0)
		return 1 + agent % models;
	return 1 + pf_id2(pf_id2(seed, agent), k) % models;
}

static void send_nodes(struct member_sim *x, const struct region_size *z,
		       pf_ms now, uint32_t removed_agents,
		       uint32_t removed_entries)
{
	struct pf_member_node *v = calloc(z->entries + z->agents, sizeof(*v));
	struct pf_member_msg m = { .type = PF_MEMBER_VM_LIST };

	if (!v)
		abort();
	for (uint32_t e = 0; e < z->entries - removed_entries; e++)
		v[m.u.nodes.n++] =
			(struct pf_member_node){ .id = 10000 + e,
						 .role = PF_MEMBER_ENTRY,
						 .zone = 1 + e % ZONES,
						 .region = 1 };
	m.u.nodes.v = v;
	step_member(x, now, &m);
	m.type = PF_MEMBER_DECLARED_AGENTS;
	m.u.nodes.n = 0;
	for (uint32_t a = 0; a < z->agents - removed_agents; a++)
		v[m.u.nodes.n++] =
			(struct pf_member_node){ .id = 1 + a,
						 .role = PF_MEMBER_AGENT,
						 .zone = 1 + a % ZONES,
						 .region = 1 };
	step_member(x, now, &m);
	free(v);
}

static void send_models(struct member_sim *x, const struct region_size *z,
			uint64_t seed)
{
	uint64_t ids[512];
	struct pf_member_msg m = { .type = PF_MEMBER_DECLARED_MODELS };

	m.u.models.ids = ids;
	for (uint32_t k = 0; k < z->models; k++)
		ids[m.u.models.n++] = 1 + k;
	step_member(x, 0, &m);
	m.type = PF_MEMBER_AGENT_MODELS;
	for (uint32_t a = 0; a < z->agents; a++) {
		m.id = 1 + a;
		m.u.models.n = 0;
		for (uint32_t k = 0; k < MODELS_PER_AGENT; k++)
			ids[m.u.models.n++] = model_of(seed, a, k, z->models);
		step_member(x, 0, &m);
	}
}

static void start_member(struct member_sim *x, const struct region_size *z,
			 uint32_t e, uint64_t seed)
{
	struct pf_member_msg tick = { .type = PF_MEMBER_TICK };
	struct pf_member_opts o;

	pf_member_opts_default(&o);
	o.self = 10000 + e;
	o.zone = 1 + e % ZONES;
	o.region = 1;
	o.sessions_max = z->sessions;
	o.entries_per_agent = z->entries_per_agent;
	/* No agent sends heartbeats here, so none may time out. */
	o.gone_after = (pf_ms)1 << 40;
	x->core = pf_member_new(&o);
	if (!x->core)
		abort();
	send_nodes(x, z, 0, 0, 0);
	send_models(x, z, seed);
	step_member(x, 1000, &tick);
	step_member(x, SETTLE_MS, &tick);
	x->moves = 0;
}

struct totals {
	uint32_t sessions, sessions_max, coverage_picks, uncovered;
	uint32_t min_entries_per_agent;
	uint32_t moved_agent, moved_entry;
};

/* Sessions opened and closed by all entries when members leave. */
static uint32_t count_moves(struct member_sim *v, const struct region_size *z,
			    pf_ms now, uint32_t removed_agents,
			    uint32_t removed_entries)
{
	struct pf_member_msg tick = { .type = PF_MEMBER_TICK };
	uint32_t n = 0;

	for (uint32_t e = 0; e < z->entries - removed_entries; e++) {
		v[e].moves = 0;
		send_nodes(&v[e], z, now, removed_agents, removed_entries);
		step_member(&v[e], now + 1000, &tick);
		step_member(&v[e], now + SETTLE_MS, &tick);
		n += v[e].moves;
	}
	return n;
}

static void count_sessions(struct member_sim *v, const struct region_size *z,
			   struct totals *s)
{
	uint32_t held[AGENTS_MAX] = { 0 };

	for (uint32_t e = 0; e < z->entries; e++) {
		struct pf_member_stats st;
		uint32_t n = 0;

		pf_member_stats(v[e].core, &st);
		for (uint32_t a = 0; a < z->agents; a++) {
			n += v[e].held[a];
			held[a] += v[e].held[a];
		}
		s->sessions += n;
		s->coverage_picks += st.coverage_picks;
		s->uncovered += st.uncovered_models;
		if (n > s->sessions_max)
			s->sessions_max = n;
	}
	s->min_entries_per_agent = z->entries;
	for (uint32_t a = 0; a < z->agents; a++)
		if (held[a] < s->min_entries_per_agent)
			s->min_entries_per_agent = held[a];
}

static void run_size(const struct region_size *z, uint64_t seed)
{
	struct member_sim *v = calloc(z->entries, sizeof(*v));
	struct totals s = { 0 };
	double mean;

	if (!v)
		abort();
	for (uint32_t e = 0; e < z->entries; e++)
		start_member(&v[e], z, e, seed);
	count_sessions(v, z, &s);
	s.moved_agent = count_moves(v, z, 2 * SETTLE_MS, 1, 0);
	count_moves(v, z, 4 * SETTLE_MS, 0, 0);
	s.moved_entry = count_moves(v, z, 6 * SETTLE_MS, 0, 1);
	mean = (double)s.sessions / z->entries;
	/* Both sides send heartbeats. */
	printf("bench: what=members size=%s seed=%llu entries=%u agents=%u "
	       "models=%u sessions_mean=%.1f sessions_max=%u "
	       "extra_for_models=%.1f uncovered_models=%u "
	       "agent_holders_min=%u moved_by_agent=%u moved_by_entry=%u "
	       "beat_1s_bytes_per_s=%.0f beat_3s_bytes_per_s=%.0f\n",
	       z->name, (unsigned long long)seed, z->entries, z->agents,
	       z->models, mean, s.sessions_max,
	       (double)s.coverage_picks / z->entries, s.uncovered,
	       s.min_entries_per_agent, s.moved_agent, s.moved_entry,
	       mean * 2 * HEARTBEAT_BYTES * 1000 / HEARTBEAT_MS,
	       mean * 2 * HEARTBEAT_BYTES * 1000 / SLOW_HEARTBEAT_MS);
	for (uint32_t e = 0; e < z->entries; e++)
		pf_member_free(v[e].core);
	free(v);
}

void bench_members(uint64_t seed)
{
	for (size_t i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++)
		run_size(&sizes[i], seed);
}
