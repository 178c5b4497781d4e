/* The result: which expectations were met, what was moved. */
#include "bench/world.h"

#include <stdlib.h>

void world_agent_stats(struct bench *b, struct agent *ag)
{
	struct pf_agent_stats s;

	pf_agent_stats(ag->core, &s);
	b->r->pauses += s.paused;
}

/* Which expectations a whole answer missed. */
static bool missed(struct bench_result *res, const struct request *r)
{
	const struct pf_work *w = &r->work;
	pf_ms between =
		r->got > 1 ? (r->last_at - r->first_at) / (r->got - 1) : 0;
	bool first = r->first_at > w->first_token_target;
	bool slow = w->token_gap_target_ms && between > w->token_gap_target_ms;
	bool late =
		w->answer_target != PF_NEVER && r->last_at > w->answer_target;

	res->miss_first += first;
	res->miss_between += slow;
	res->miss_whole += late;
	return first || slow || late;
}

static void judge(struct bench *b, struct request *r, pf_ms *firsts,
		  uint64_t *n_firsts)
{
	bool ok = r->whole && !missed(b->r, r);

	b->r->unended += !r->ended;
	b->r->whole += r->whole;
	b->r->refused += r->ended && !r->whole && r->ran == PF_NOT_RUN;
	b->r->failed += r->ended && !r->whole && r->ran != PF_NOT_RUN;
	b->r->late += r->whole && !ok;
	b->r->attained += ok;
	b->r->by_caller[r->caller]++;
	b->r->attained_by_caller[r->caller] += ok;
	if (r->got && r->work.priority == 0)
		firsts[(*n_firsts)++] = r->first_at - r->arrived;
}

static int by_ms(const void *a, const void *b)
{
	pf_ms x = *(const pf_ms *)a, y = *(const pf_ms *)b;

	return x < y ? -1 : x > y;
}

void world_finish(struct bench *b)
{
	struct bench_result *r = b->r;
	pf_ms *firsts = calloc(b->n_requests + 1, sizeof(*firsts));
	uint64_t n = 0;

	if (!firsts)
		abort();
	r->requests = b->n_requests;
	for (uint64_t i = 0; i < b->n_requests; i++)
		judge(b, &b->requests[i], firsts, &n);
	qsort(firsts, n, sizeof(*firsts), by_ms);
	r->first_p95 = n ? firsts[n * 95 / 100] : 0;
	r->attainment = (double)r->attained / (double)r->requests / b->n_agents;
	for (uint32_t i = 0; i < b->n_agents; i++) {
		struct agent *ag = &b->agents[i];

		r->overcommit += engine_overcommits(ag->engine);
		r->moves += engine_loads(ag->engine, false);
		r->adapter_moves += engine_loads(ag->engine, true);
		if (ag->core)
			world_agent_stats(b, ag);
		pf_agent_free(ag->core);
		engine_free(ag->engine);
	}
	for (uint32_t i = 0; i < ENTRIES; i++) {
		struct pf_entry_stats s;

		pf_entry_stats(b->entries[i].core, &s);
		r->resumes += s.resumes;
		pf_entry_free(b->entries[i].core);
	}
	free(firsts);
}
