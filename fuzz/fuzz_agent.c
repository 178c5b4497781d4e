/*
 * The agent core against an oracle written from the promises: memory, not
 * run, one run at a time, a final answer for every try, leaving.
 */
#include "fuzz/fake_engine.h"
#include "fuzz/fuzz.h"

#include <stdlib.h>

#define MODELS 4
#define ADAPTERS 3
#define TRIES 600
#define SETTLE_STEPS 40000

/* What is known of a try from the messages alone. */
struct seen {
	struct pf_work work;
	uint64_t entry;
	bool tried; /* TRY was sent */
	bool after_drain; /* and only after DRAIN */
	bool excused; /* its entry is gone or gave it up: no answer is due */
	bool ran, denied, ended; /* RUN; NOT_RUN or REVOKED; DONE or LOST */
	bool claim_asked, granted, voided;
	uint32_t sent; /* tokens that the engine reported, without a gap */
};

struct world {
	struct pf_rng rng;
	struct fuzz_result *r;
	struct pf_agent_opts o;
	struct pf_agent *a;
	struct fake_engine e;
	struct pf_model models[MODELS];
	struct pf_adapter adapters[ADAPTERS];
	struct pf_config config;
	struct seen tries[TRIES];
	uint32_t n_tries;
	struct pf_agent_msg claims[TRIES]; /* answers under way */
	uint32_t n_claims;
	pf_ms now;
	bool met; /* the agent has heard from its engine */
	bool draining, drained;
};

#define CHECK(w, cond, ...)                                  \
	do {                                                 \
		if (!(cond))                                 \
			fuzz_violation((w)->r, __VA_ARGS__); \
	} while (0)

static uint32_t below(struct world *w, uint32_t n)
{
	return pf_rng_below(&w->rng, n);
}

static int64_t kv_token_bytes(const struct world *w, uint64_t model)
{
	for (unsigned int i = 0; i < MODELS; i++)
		if (w->models[i].id == model)
			return w->models[i].kv_token_bytes;
	return 0;
}

static void saw_run(struct world *w, struct seen *s,
		    const struct pf_agent_act *act)
{
	bool suspect = s->work.flags & PF_WORK_SUSPECT;

	CHECK(w, s->tried && !s->denied, "a run that was said not to run");
	CHECK(w, !s->ended, "a run after its end");
	CHECK(w, !s->after_drain, "a run of work that came after the drain");
	CHECK(w, s->ran || s->work.deadline > w->now, "a start past deadline");
	CHECK(w, s->ran || act->u.run.offset == s->work.offset,
	      "a first start from elsewhere");
	CHECK(w, act->u.run.offset <= s->sent, "a gap in the output");
	CHECK(w, w->e.n_runs < w->o.batch_max || !w->e.up, "beyond the batch");
	CHECK(w, !suspect || w->e.n_runs == 0, "a suspect beside others");
	for (uint32_t i = 0; i < w->e.n_runs; i++)
		CHECK(w, !(w->e.runs[i].work.flags & PF_WORK_SUSPECT),
		      "others beside a suspect");
	if (s->work.flags & PF_WORK_NEVER_REPEAT) {
		CHECK(w, !s->ran, "never-repeat work run twice");
		CHECK(w, !s->work.idem_key || s->granted, "run with no claim");
	}
	CHECK(w, !s->voided, "a run after its void");
	s->ran = true;
}

static void saw_end(struct world *w, struct seen *s, struct pf_try id)
{
	CHECK(w, !s->ended, "two ends of one try");
	CHECK(w, !s->denied, "an end of what did not run");
	CHECK(w, s->ran || s->claim_asked, "an end with no run");
	CHECK(w, !engine_run(&w->e, id), "an end while it runs");
	s->ended = true;
}

static void saw_claim(struct world *w, struct seen *s, struct pf_try id)
{
	struct pf_agent_msg *m = &w->claims[w->n_claims];
	static const enum pf_reason why[] = { PF_REASON_NONE,
					      PF_REASON_OUTCOME_UNKNOWN,
					      PF_REASON_STORE_AWAY };

	CHECK(w, !s->claim_asked, "two claims of one try");
	s->claim_asked = true;
	*m = (struct pf_agent_msg){ .type = PF_AGENT_CLAIMED };
	m->u.claimed.id = id;
	m->u.claimed.granted = below(w, 4) > 0;
	m->u.claimed.reason = why[below(w, 3)];
	w->n_claims++;
}

static void saw_id(struct world *w, struct seen *s, struct pf_try id,
		   const struct pf_agent_act *act)
{
	switch (act->type) {
	case PF_AGENT_RUN:
		saw_run(w, s, act);
		break;
	case PF_AGENT_STARTED:
		CHECK(w, s->ran || s->ended, "started without a run");
		break;
	case PF_AGENT_PIECE:
		CHECK(w, s->ran && !s->ended, "output without a run");
		if (act->u.tokens.offset <= s->sent &&
		    act->u.tokens.offset + act->u.tokens.count > s->sent)
			s->sent = act->u.tokens.offset + act->u.tokens.count;
		break;
	case PF_AGENT_NOT_RUN:
	case PF_AGENT_REVOKED:
		CHECK(w, !s->ran, "denied a run that began");
		CHECK(w, !s->ended, "denied what has ended");
		s->denied = true;
		break;
	case PF_AGENT_DONE:
	case PF_AGENT_LOST:
		saw_end(w, s, id);
		break;
	case PF_AGENT_CLAIM:
		saw_claim(w, s, id);
		break;
	case PF_AGENT_VOID:
		CHECK(w, s->granted && !s->ran && !s->voided, "a wrong void");
		s->voided = true;
		break;
	default:
		break;
	}
}

static void saw(void *ctx, const struct pf_agent_act *act)
{
	struct world *w = ctx;

	switch (act->type) {
	case PF_AGENT_REPORT:
		CHECK(w, act->u.report.kv_free >= 0, "negative memory");
		CHECK(w, act->u.report.leaving == w->draining, "hides leaving");
		break;
	case PF_AGENT_DRAINED:
		CHECK(w, w->draining && !w->drained, "drained unasked");
		CHECK(w, w->e.n_runs == 0, "drained while it runs");
		w->drained = true;
		break;
	case PF_AGENT_LOAD:
	case PF_AGENT_UNLOAD:
	case PF_AGENT_INVENTORY:
		break;
	default:
		/* The id comes first in each of these. */
		CHECK(w, act->u.id.request < w->n_tries, "an unknown try");
		saw_id(w, &w->tries[act->u.id.request], act->u.id, act);
		break;
	}
	engine_take(&w->e, act,
		    act->type == PF_AGENT_RUN
			    ? kv_token_bytes(w, act->u.run.work->model)
			    : 0);
}

static void send(struct world *w, const struct pf_agent_msg *m)
{
	struct pf_agent_sink sink = { saw, w };
	struct pf_agent_stats s;

	pf_agent_step(w->a, w->now, m, &sink);
	w->r->steps++;
	pf_agent_stats(w->a, &s);
	if (w->o.kind == PF_ENDPOINT_ENGINE) {
		CHECK(w, engine_bytes(&w->e) <= w->o.memory_bytes,
		      "memory promised twice: %lld of %lld",
		      (long long)engine_bytes(&w->e),
		      (long long)w->o.memory_bytes);
		CHECK(w, !w->met || s.committed_bytes >= engine_bytes(&w->e),
		      "the ledger counts too little");
	}
	CHECK(w, !w->e.fault[0], "%s", w->e.fault);
}

static void make_config(struct world *w)
{
	for (unsigned int i = 0; i < MODELS; i++) {
		w->models[i].id = 100 + i;
		w->models[i].name_id = 10 + i;
		w->models[i].weight_bytes = 200 + 100 * below(w, 6);
		w->models[i].kv_token_bytes = 1 + below(w, 3);
		w->models[i].max_context = 4000;
	}
	for (unsigned int i = 0; i < ADAPTERS; i++) {
		w->adapters[i].id = 200 + i;
		w->adapters[i].model_name_id = 10 + i % 2;
		w->adapters[i].bytes = 10 + below(w, 40);
	}
	w->config.models = w->models;
	w->config.n_models = MODELS;
	w->config.adapters = w->adapters;
	w->config.n_adapters = ADAPTERS;
}

static void make_opts(struct world *w, uint64_t seed)
{
	pf_agent_opts_default(&w->o);
	w->o.incarnation = 7;
	w->o.seed = seed;
	w->o.kind = below(w, 5) ? PF_ENDPOINT_ENGINE : PF_ENDPOINT_PLAIN;
	w->o.memory_bytes = 900 + below(w, 2000);
	w->o.batch_max = 1 + below(w, 8);
	w->o.queue_max = 1 + below(w, 12);
	w->o.runs_max = 8 + below(w, 40);
	w->o.tombstones_max = below(w, 3) ? 1000 : 20;
	w->o.tombstone_keep = 100000000;
	w->o.items_max = MODELS + ADAPTERS + below(w, 3);
	w->o.order_timeout = 200 + below(w, 1000);
	w->o.kv_policy = (enum pf_kv_policy)below(w, 3);
	w->o.queue_policy = (enum pf_queue_policy)below(w, 2);
	w->o.grant_step = 1 + below(w, 60);
	w->o.pause_long = below(w, 2);
	w->o.load_on_demand = below(w, 4) > 0;
	w->o.loads_max = 1 + below(w, 3);
}

/* The engine may hold what an earlier agent loaded, or was loading. */
static void make_engine(struct world *w)
{
	struct fake_engine *e = &w->e;

	e->rng = &w->rng;
	e->now = w->now;
	e->capacity = w->o.memory_bytes;
	e->up = true;
	e->heard = true;
	if (w->o.kind == PF_ENDPOINT_PLAIN || below(w, 2))
		return;
	e->items[e->n_items++] =
		(struct pf_agent_item){ 100, PF_ITEM_RESIDENT,
					w->models[0].weight_bytes };
	if (below(w, 2) || w->o.memory_bytes < 1500)
		return;
	e->items[e->n_items++] =
		(struct pf_agent_item){ 101, PF_ITEM_LOADING,
					w->models[1].weight_bytes };
	e->orders[e->n_orders++] = (struct engine_order){
		.due = w->now + 400,
		.type = PF_AGENT_LOAD,
		.order = 5,
		.item = 101,
		.begun = true,
	};
}

static struct pf_work make_work(struct world *w)
{
	struct pf_work k = { .caller = below(w, 3), .model = 100 };
	static const uint32_t flags[] = {
		0, 0, 0, 0, PF_WORK_DEFERRABLE, PF_WORK_SUSPECT
	};

	k.prompt_tokens = below(w, 100);
	k.max_tokens = 1 + below(w, below(w, 3) ? 60 : 600);
	k.offset = below(w, 8) ? 0 : below(w, k.max_tokens);
	k.priority = (uint8_t)below(w, PF_PRIORITIES);
	k.flags = flags[below(w, 6)];
	k.arrived = w->now;
	k.first_due = below(w, 2) ? PF_NEVER : w->now + below(w, 3000);
	k.whole_due = below(w, 2) ? PF_NEVER : w->now + below(w, 9000);
	k.deadline = below(w, 2) ? PF_NEVER : w->now + below(w, 20000);
	if (w->o.kind == PF_ENDPOINT_PLAIN) {
		k.flags |= PF_WORK_PLAIN;
		if (below(w, 2))
			k.flags |= PF_WORK_NEVER_REPEAT;
		if (below(w, 3))
			k.idem_key = 1 + below(w, 1000);
		k.offset = 0;
		return k;
	}
	k.model = 100 + below(w, MODELS);
	if (k.model < 102 && below(w, 2))
		k.adapter = 200 + (k.model - 100) + 2 * below(w, 2);
	return k;
}

static void send_try(struct world *w, uint32_t i)
{
	struct pf_agent_msg m = { .type = PF_AGENT_TRY };
	struct seen *s = &w->tries[i];
	bool known = s->tried || s->denied;

	m.entry = s->entry;
	m.u.try_.id = (struct pf_try){ i, 1 };
	m.u.try_.work = s->work;
	if (!s->tried)
		s->after_drain = w->draining;
	s->tried = true;
	send(w, &m);
	if (w->draining && !known)
		CHECK(w, s->denied, "took in work while leaving");
}

static uint32_t new_try(struct world *w)
{
	struct seen *s = &w->tries[w->n_tries];

	s->work = make_work(w);
	s->sent = s->work.offset;
	s->entry = 1 + below(w, 3);
	return w->n_tries++;
}

static void send_id(struct world *w, enum pf_agent_msg_type type, uint32_t i)
{
	struct pf_agent_msg m = { .type = type, .entry = w->tries[i].entry };

	m.u.id = (struct pf_try){ i, 1 };
	if (type == PF_AGENT_CANCEL)
		w->tries[i].excused = true;
	send(w, &m);
	if (type == PF_AGENT_REVOKE)
		CHECK(w,
		      w->tries[i].denied || w->tries[i].ran ||
			      w->tries[i].ended,
		      "no answer to a revoke");
}

static void send_entry_down(struct world *w)
{
	struct pf_agent_msg m = { .type = PF_AGENT_ENTRY_DOWN };

	m.entry = 1 + below(w, 3);
	for (uint32_t i = 0; i < w->n_tries; i++)
		if (w->tries[i].entry == m.entry)
			w->tries[i].excused = true;
	send(w, &m);
}

static void send_place(struct world *w)
{
	struct pf_agent_msg m = { .type = PF_AGENT_PLACE };
	uint64_t ids[MODELS + ADAPTERS];
	uint32_t n = below(w, 4);

	for (uint32_t i = 0; i < n; i++)
		ids[i] = below(w, 3) ? 100 + below(w, MODELS)
				     : 200 + below(w, ADAPTERS);
	m.u.place.items = ids;
	m.u.place.n_items = n;
	send(w, &m);
}

static void send_config(struct world *w)
{
	struct pf_agent_msg m = { .type = PF_AGENT_CONFIG };

	m.u.config = &w->config;
	send(w, &m);
}

static void answer_claim(struct world *w, uint32_t at)
{
	struct pf_agent_msg m = w->claims[at];
	struct seen *s = &w->tries[m.u.claimed.id.request];

	if (m.u.claimed.granted)
		s->granted = true;
	send(w, &m);
	/* Now and then the answer comes once more. */
	if (w->e.tidy || below(w, 8))
		w->claims[at] = w->claims[--w->n_claims];
}

/* Lets the engine work, delivers what it says, and wakes the agent. */
static void pass(struct world *w, pf_ms ms)
{
	const struct pf_agent_msg *m;
	struct pf_agent_msg tick = { .type = PF_AGENT_TICK };

	w->now += ms;
	engine_work(&w->e, w->now);
	while ((m = engine_next(&w->e)))
		send(w, m);
	if (w->n_claims > 0 && below(w, 2))
		answer_claim(w, below(w, w->n_claims));
	if (pf_agent_next(w->a) <= w->now)
		send(w, &tick);
}

static void fail_engine(struct world *w)
{
	if (w->e.up)
		engine_crash(&w->e);
	else
		engine_start(&w->e);
}

static void command(struct world *w)
{
	uint32_t c = below(w, 100);
	struct pf_agent_msg drain = { .type = PF_AGENT_DRAIN };

	if (c < 25 && w->n_tries < TRIES - 1)
		send_try(w, new_try(w));
	else if (c < 29 && w->n_tries > 0)
		send_try(w, below(w, w->n_tries));
	else if (c < 34 && w->n_tries > 0)
		send_id(w, PF_AGENT_REVOKE,
			w->n_tries - 1 -
				below(w, w->n_tries < 8 ? w->n_tries : 8));
	else if (c < 35 && w->n_tries < TRIES - 1)
		send_id(w, PF_AGENT_REVOKE, new_try(w));
	else if (c < 37 && w->n_tries > 0)
		send_id(w, PF_AGENT_CANCEL, below(w, w->n_tries));
	else if (c == 37 && below(w, 4) == 0)
		send_entry_down(w);
	else if (c < 40 && below(w, 3) == 0)
		fail_engine(w);
	else if (c < 42)
		send_place(w);
	else if (c == 42)
		send_config(w);
	else if (c == 43)
		w->e.leak = below(w, 3) ? 0 : below(w, 200);
	else if (c == 44 && below(w, 20) == 0 && !w->draining) {
		w->draining = true;
		send(w, &drain);
	} else
		pass(w, below(w, 5) ? below(w, 40) : below(w, 1500));
}

static uint32_t unanswered(const struct world *w)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < w->n_tries; i++) {
		const struct seen *s = &w->tries[i];

		n += s->tried && !s->excused && !s->denied && !s->ended;
	}
	return n;
}

/* The engine behaves and time passes: all must come to its end. */
static void settle(struct world *w)
{
	struct pf_agent_msg drain = { .type = PF_AGENT_DRAIN };
	struct pf_agent_stats s;

	w->e.tidy = true;
	w->e.leak = 0;
	if (!w->e.up)
		engine_start(&w->e);
	for (int i = 0; i < SETTLE_STEPS && unanswered(w) > 0; i++)
		pass(w, 20);
	CHECK(w, unanswered(w) == 0, "a try got no final answer");
	if (!w->draining) {
		w->draining = true;
		send(w, &drain);
	}
	for (int i = 0; i < SETTLE_STEPS && !w->drained; i++)
		pass(w, 20);
	CHECK(w, w->drained, "not drained");
	pf_agent_stats(w->a, &s);
	CHECK(w, s.running == 0 && s.queued == 0, "records left behind");
	for (uint32_t i = 0; i < w->n_tries; i++)
		CHECK(w,
		      !w->tries[i].granted || w->tries[i].ran ||
			      w->tries[i].voided,
		      "a claim neither run nor void");
}

void fuzz_agent(uint64_t seed, uint32_t steps_max, struct fuzz_result *r)
{
	struct world *w = calloc(1, sizeof(*w));
	struct pf_agent_msg up = { .type = PF_AGENT_ENGINE_UP };

	if (!w)
		return;
	pf_rng_seed(&w->rng, seed);
	w->r = r;
	w->now = 1000;
	make_config(w);
	make_opts(w, seed);
	make_engine(w);
	w->a = pf_agent_new(&w->o);
	if (!w->a) {
		fuzz_violation(r, "options were refused");
		goto out;
	}
	send_config(w);
	for (uint32_t i = 0; i < w->e.n_items; i++)
		up.u.inventory.used_bytes += w->e.items[i].bytes;
	up.u.inventory.items = w->e.items;
	up.u.inventory.n_items = w->e.n_items;
	w->met = true;
	send(w, &up);
	for (uint32_t i = 0; i < steps_max && r->violations == 0; i++)
		command(w);
	if (r->violations == 0)
		settle(w);
	pf_agent_free(w->a);
out:
	free(w);
}
