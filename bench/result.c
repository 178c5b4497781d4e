/* Results: latency objectives met, loads, overcommits. */
#include "bench/world.h"

#include <stdlib.h>

void world_add_agent_stats(struct bench *b, struct agent *ag)
{
	struct pf_agent_stats s;

	pf_agent_stats(ag->core, &s);
	b->result->pauses += s.paused;
}

/* Whether a completed request missed a latency objective; counts each. */
static bool missed_objective(struct bench_result *res, const struct request *r)
{
	const struct pf_work *w = &r->work;
	pf_ms token_gap = r->received_tokens > 1
				  ? (r->last_token_at - r->first_token_at) /
					    (r->received_tokens - 1)
				  : 0;
	bool missed_first = r->first_token_at > w->first_token_objective;
	bool missed_gap = w->token_gap_objective_ms &&
			  token_gap > w->token_gap_objective_ms;
	bool missed_answer = w->answer_objective != PF_NEVER &&
			     r->last_token_at > w->answer_objective;

	res->missed_first_token += missed_first;
	res->missed_token_gap += missed_gap;
	res->missed_answer_time += missed_answer;
	return missed_first || missed_gap || missed_answer;
}

static void count_request(struct bench *b, struct request *r,
			  pf_ms *first_token_ms, uint64_t *n_first_token)
{
	bool ok = r->complete && !missed_objective(b->result, r);

	b->result->unfinished += !r->ended;
	b->result->completed += r->complete;
	b->result->refused += r->ended && !r->complete && r->ran == PF_NOT_RUN;
	b->result->failed += r->ended && !r->complete && r->ran != PF_NOT_RUN;
	b->result->late += r->complete && !ok;
	b->result->attained += ok;
	b->result->requests_by_caller[r->caller]++;
	b->result->attained_by_caller[r->caller] += ok;
	if (r->received_tokens && r->work.priority == 0)
		first_token_ms[(*n_first_token)++] =
			r->first_token_at - r->arrived_at;
}

static int compare_ms(const void *a, const void *b)
{
	pf_ms x = *(const pf_ms *)a, y = *(const pf_ms *)b;

	return x < y ? -1 : x > y;
}

void world_collect_result(struct bench *b)
{
	struct bench_result *r = b->result;
	pf_ms *first_token_ms =
		calloc(b->n_requests + 1, sizeof(*first_token_ms));
	uint64_t n = 0;

	if (!first_token_ms)
		abort();
	r->requests = b->n_requests;
	for (uint64_t i = 0; i < b->n_requests; i++)
		count_request(b, &b->requests[i], first_token_ms, &n);
	qsort(first_token_ms, n, sizeof(*first_token_ms), compare_ms);
	r->first_token_p95_ms = n ? first_token_ms[n * 95 / 100] : 0;
	r->attainment = (double)r->attained / (double)r->requests / b->n_agents;
	for (uint32_t i = 0; i < b->n_agents; i++) {
		struct agent *ag = &b->agents[i];

		r->memory_overcommits += engine_overcommits(ag->engine);
		r->model_loads += engine_loads(ag->engine, false);
		r->adapter_loads += engine_loads(ag->engine, true);
		if (ag->core)
			world_add_agent_stats(b, ag);
		pf_agent_free(ag->core);
		engine_free(ag->engine);
	}
	for (uint32_t i = 0; i < ENTRIES; i++) {
		struct pf_entry_stats s;

		pf_entry_stats(b->entries[i].core, &s);
		r->resumes += s.resumes;
		pf_entry_free(b->entries[i].core);
	}
	free(first_token_ms);
}
