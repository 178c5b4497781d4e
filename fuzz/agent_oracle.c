/* Checks each act of the agent against its guarantees. */
#include "fuzz/agent_oracle.h"

static int64_t kv_token_bytes(const struct world *w, uint64_t model)
{
	for (unsigned int i = 0; i < N_MODELS; i++)
		if (w->models[i].id == model)
			return w->models[i].kv_token_bytes;
	return 0;
}

static void check_run(struct world *w, struct try_record *s,
		      const struct pf_agent_act *act)
{
	bool suspect = s->work.flags & PF_WORK_SUSPECT;

	CHECK(w, s->submitted && !s->denied,
	      "RUN of a try reported as not run");
	CHECK(w, !s->ended, "RUN after the end of the try");
	CHECK(w, !s->submitted_after_drain, "RUN of a try sent after DRAIN");
	CHECK(w, s->ran || s->work.deadline > w->now,
	      "first RUN past the deadline");
	CHECK(w, s->ran || act->u.run.offset == s->work.offset,
	      "first RUN not at the try's offset");
	CHECK(w, act->u.run.offset <= s->tokens_seen,
	      "RUN that leaves a gap in the output");
	CHECK(w, w->engine.n_runs < w->opts.batch_max || !w->engine.up,
	      "RUN beyond batch_max");
	CHECK(w, !suspect || w->engine.n_runs == 0,
	      "RUN of a suspect beside other runs");
	for (uint32_t i = 0; i < w->engine.n_runs; i++)
		CHECK(w, !(w->engine.runs[i].work.flags & PF_WORK_SUSPECT),
		      "RUN beside a suspect");
	if (s->work.flags & PF_WORK_NEVER_REPEAT) {
		CHECK(w, !s->ran, "second RUN of never-repeat work");
		CHECK(w, !s->work.idem_key || s->granted,
		      "RUN without its claim");
	}
	CHECK(w, !s->voided, "RUN after VOID of its claim");
	s->ran = true;
}

static void check_end(struct world *w, struct try_record *s, struct pf_try id)
{
	CHECK(w, !s->ended, "second end of a try");
	CHECK(w, !s->denied, "end of a try reported as not run");
	CHECK(w, s->ran || s->claim_sent, "end of a try that never ran");
	CHECK(w, !engine_find_run(&w->engine, id),
	      "end of a try still at the engine");
	s->ended = true;
	s->settled_at = w->now;
}

static void check_claim(struct world *w, struct try_record *s, struct pf_try id)
{
	struct pf_agent_msg *m = &w->claims[w->n_claims];
	static const enum pf_reason why[] = { PF_REASON_NONE,
					      PF_REASON_OUTCOME_UNKNOWN,
					      PF_REASON_STORE_AWAY };

	CHECK(w, !s->claim_sent, "second CLAIM of a try");
	s->claim_sent = true;
	*m = (struct pf_agent_msg){ .type = PF_AGENT_CLAIMED };
	m->u.claimed.id = id;
	m->u.claimed.granted = pf_rng_below(&w->rng, 4) > 0;
	m->u.claimed.reason = why[pf_rng_below(&w->rng, 3)];
	w->n_claims++;
}

static void check_try_act(struct world *w, struct try_record *s,
			  struct pf_try id, const struct pf_agent_act *act)
{
	switch (act->type) {
	case PF_AGENT_RUN:
		check_run(w, s, act);
		break;
	case PF_AGENT_STARTED:
		CHECK(w, s->ran || s->ended, "STARTED without RUN");
		break;
	case PF_AGENT_PIECE:
		CHECK(w, s->ran && !s->ended,
		      "PIECE of a try that is not running");
		if (act->u.tokens.offset <= s->tokens_seen &&
		    act->u.tokens.offset + act->u.tokens.count > s->tokens_seen)
			s->tokens_seen =
				act->u.tokens.offset + act->u.tokens.count;
		break;
	case PF_AGENT_NOT_RUN:
	case PF_AGENT_REVOKED:
		CHECK(w, !s->ran, "NOT_RUN or REVOKED after RUN");
		CHECK(w, !s->ended, "NOT_RUN or REVOKED after the end");
		s->denied = true;
		s->settled_at = w->now;
		break;
	case PF_AGENT_DONE:
	case PF_AGENT_LOST:
		check_end(w, s, id);
		break;
	case PF_AGENT_CLAIM:
		check_claim(w, s, id);
		break;
	case PF_AGENT_VOID:
		CHECK(w, s->granted && !s->ran && !s->voided,
		      "VOID without an unused claim");
		s->voided = true;
		break;
	default:
		break;
	}
}

static void check_act(void *ctx, const struct pf_agent_act *act)
{
	struct world *w = ctx;

	switch (act->type) {
	case PF_AGENT_REPORT:
		CHECK(w, act->u.report.kv_free >= 0,
		      "report with negative kv_free");
		CHECK(w, act->u.report.leaving == w->draining,
		      "report with the wrong leaving flag");
		break;
	case PF_AGENT_DRAINED:
		CHECK(w, w->draining && !w->drained,
		      "DRAINED without or twice after DRAIN");
		CHECK(w, w->engine.n_runs == 0,
		      "DRAINED with runs at the engine");
		w->drained = true;
		break;
	case PF_AGENT_LOAD:
	case PF_AGENT_UNLOAD:
	case PF_AGENT_INVENTORY:
		break;
	default:
		/* u.id is the first member of each of these acts. */
		CHECK(w,
		      act->u.id.request >= w->first_try &&
			      act->u.id.request < w->n_tries,
		      "act for an unknown try");
		check_try_act(w, &w->tries[act->u.id.request], act->u.id, act);
		break;
	}
	engine_handle_act(&w->engine, act,
			  act->type == PF_AGENT_RUN
				  ? kv_token_bytes(w, act->u.run.work->model)
				  : 0);
}

void world_step(struct world *w, const struct pf_agent_msg *m)
{
	struct pf_agent_sink sink = { check_act, w };
	struct pf_agent_stats s;

	w->engine_reported |= m->type == PF_AGENT_ENGINE_UP;
	pf_agent_step(w->agent, w->now, m, &sink);
	w->result->steps++;
	pf_agent_stats(w->agent, &s);
	if (w->opts.kind == PF_ENDPOINT_ENGINE) {
		CHECK(w,
		      engine_promised_bytes(&w->engine) <= w->opts.memory_bytes,
		      "memory overcommitted: %lld of %lld bytes",
		      (long long)engine_promised_bytes(&w->engine),
		      (long long)w->opts.memory_bytes);
		CHECK(w,
		      !w->engine_reported ||
			      s.committed_bytes >=
				      engine_promised_bytes(&w->engine),
		      "ledger below the bytes at the engine");
	}
	CHECK(w, !w->engine.violation[0], "%s", w->engine.violation);
}
