/*
 * The agent core against an oracle written from the promises (agent_oracle.c):
 * random commands, then a time in which all must come to its end.
 */
#include "fuzz/agent_oracle.h"

#include <stdlib.h>

#define SETTLE_STEPS 40000

static uint32_t below(struct world *w, uint32_t n)
{
	return pf_rng_below(&w->rng, n);
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
	w->o.tombstone_keep = below(w, 3) ? 100000000 : 4000;
	w->o.items_max = MODELS + ADAPTERS - 2 + below(w, 5);
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
	k.first_token_target = below(w, 2) ? PF_NEVER : w->now + below(w, 3000);
	k.answer_target = below(w, 2) ? PF_NEVER : w->now + below(w, 9000);
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
	world_send(w, &m);
	if (w->draining && !known)
		CHECK(w, s->denied, "took in work while leaving");
}

/* No copy is under way for longer than marks are kept. */
static bool may_copy(const struct world *w, uint32_t i)
{
	const struct seen *s = &w->tries[i];

	return !s->over_at || w->now - s->over_at < w->o.tombstone_keep;
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
	world_send(w, &m);
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
	for (uint32_t i = w->first_try; i < w->n_tries; i++)
		if (w->tries[i].entry == m.entry)
			w->tries[i].excused = true;
	world_send(w, &m);
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
	world_send(w, &m);
}

/* Models and adapters come and go, their figures are corrected upwards. */
static void change_config(struct world *w)
{
	struct pf_model *m;

	w->config.n_models = MODELS - below(w, 2);
	m = &w->models[below(w, (uint32_t)w->config.n_models)];
	w->config.n_adapters = ADAPTERS - below(w, 2);
	m->weight_bytes += below(w, 30);
	m->kv_token_bytes += below(w, 12) == 0;
}

static void send_config(struct world *w)
{
	struct pf_agent_msg m = { .type = PF_AGENT_CONFIG };

	m.u.config = &w->config;
	world_send(w, &m);
}

static void answer_claim(struct world *w, uint32_t at)
{
	struct pf_agent_msg m = w->claims[at];
	struct seen *s = &w->tries[m.u.claimed.id.request];

	if (m.u.claimed.granted)
		s->granted = true;
	world_send(w, &m);
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
		world_send(w, m);
	if (w->n_claims > 0 && below(w, 2))
		answer_claim(w, below(w, w->n_claims));
	if (pf_agent_next(w->a) <= w->now)
		world_send(w, &tick);
}

static void fail_engine(struct world *w)
{
	if (w->e.up)
		engine_crash(&w->e);
	else
		engine_start(&w->e);
}

static void drain(struct world *w)
{
	struct pf_agent_msg m = { .type = PF_AGENT_DRAIN };

	w->draining = true;
	world_send(w, &m);
}

/* A message about a try that was heard of before, or of none. */
static void old_try(struct world *w)
{
	uint32_t n = w->n_tries - w->first_try;
	uint32_t last = n < 8 ? n : 8;
	uint32_t i = w->n_tries - 1 - below(w, below(w, 2) ? last : n);
	uint32_t c = below(w, 12);

	if (!may_copy(w, i))
		return;
	if (c < 4)
		send_try(w, i);
	else if (c < 9)
		send_id(w, PF_AGENT_REVOKE, i);
	else if (c < 11)
		send_id(w, PF_AGENT_CANCEL, i);
	else if (w->n_tries < TRIES - 1)
		send_id(w, PF_AGENT_REVOKE, new_try(w));
}

/* A new agent takes the place of the one that died. */
static void restart(struct world *w)
{
	pf_agent_free(w->a);
	w->o.incarnation++;
	w->a = pf_agent_new(&w->o);
	w->first_try = w->n_tries;
	w->n_claims = 0;
	w->draining = false;
	w->drained = false;
	w->met = false;
	engine_orphan(&w->e);
	send_config(w);
	if (w->e.up)
		engine_tell(&w->e);
}

/* Faults and decisions from around the agent. */
static void event(struct world *w)
{
	switch (below(w, 10)) {
	case 0:
		if (below(w, 4) == 0)
			send_entry_down(w);
		break;
	case 1:
	case 2:
		if (below(w, 2))
			fail_engine(w);
		break;
	case 3:
	case 4:
	case 5:
		send_place(w);
		break;
	case 6:
		change_config(w);
		send_config(w);
		break;
	case 7:
		w->e.leak = below(w, 3) ? 0 : below(w, 200);
		break;
	case 8:
		if (w->e.up && w->e.heard && !w->e.asked)
			engine_tell(&w->e);
		break;
	default:
		if (below(w, 20) == 0 && !w->draining)
			drain(w);
		else if (below(w, 8) == 0)
			restart(w);
		break;
	}
}

static void command(struct world *w)
{
	uint32_t c = below(w, 100);

	if (c < 25 && w->n_tries < TRIES - 1)
		send_try(w, new_try(w));
	else if (c < 37 && w->n_tries > w->first_try)
		old_try(w);
	else if (c < 45)
		event(w);
	else
		pass(w, below(w, 5) ? below(w, 40) : below(w, 1500));
}

static uint32_t unanswered(const struct world *w)
{
	uint32_t n = 0;

	for (uint32_t i = w->first_try; i < w->n_tries; i++) {
		const struct seen *s = &w->tries[i];

		n += s->tried && !s->excused && !s->denied && !s->ended;
	}
	return n;
}

/* The engine behaves and time passes: all must come to its end. */
static void settle(struct world *w)
{
	struct pf_agent_stats s;

	w->e.tidy = true;
	w->e.leak = 0;
	if (!w->e.up)
		engine_start(&w->e);
	for (int i = 0; i < SETTLE_STEPS && unanswered(w) > 0; i++)
		pass(w, 20);
	CHECK(w, unanswered(w) == 0, "a try got no final answer");
	if (!w->draining)
		drain(w);
	for (int i = 0; i < SETTLE_STEPS && !w->drained; i++)
		pass(w, 20);
	CHECK(w, w->drained, "not drained");
	pf_agent_stats(w->a, &s);
	CHECK(w, s.running == 0 && s.queued == 0, "records left behind");
	for (uint32_t i = w->first_try; i < w->n_tries; i++)
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
	world_send(w, &up);
	for (uint32_t i = 0; i < steps_max && r->violations == 0; i++)
		command(w);
	if (r->violations == 0)
		settle(w);
	pf_agent_free(w->a);
out:
	free(w);
}
