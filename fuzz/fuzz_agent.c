/*
 * Fuzzes the agent core against the oracle of agent_oracle.c: random commands,
 * then a fault-free phase in which all tries must end and the agent drains.
 */
#include "fuzz/agent_oracle.h"

#include <stdlib.h>

#define SETTLE_STEPS_MAX 40000

static uint32_t below(struct world *w, uint32_t n)
{
	return pf_rng_below(&w->rng, n);
}

static void make_config(struct world *w)
{
	for (unsigned int i = 0; i < N_MODELS; i++) {
		w->models[i].id = 100 + i;
		w->models[i].name_id = 10 + i;
		w->models[i].weight_bytes = 200 + 100 * below(w, 6);
		w->models[i].kv_token_bytes = 1 + below(w, 3);
		w->models[i].max_context = 4000;
	}
	for (unsigned int i = 0; i < N_ADAPTERS; i++) {
		w->adapters[i].id = 200 + i;
		w->adapters[i].model_name_id = 10 + i % 2;
		w->adapters[i].bytes = 10 + below(w, 40);
	}
	w->config.models = w->models;
	w->config.n_models = N_MODELS;
	w->config.adapters = w->adapters;
	w->config.n_adapters = N_ADAPTERS;
}

static void make_opts(struct world *w, uint64_t seed)
{
	pf_agent_opts_default(&w->opts);
	w->opts.incarnation = 7;
	w->opts.seed = seed;
	w->opts.kind = below(w, 5) ? PF_ENDPOINT_ENGINE : PF_ENDPOINT_PLAIN;
	w->opts.memory_bytes = 900 + below(w, 2000);
	w->opts.batch_max = 1 + below(w, 8);
	w->opts.queue_max = 1 + below(w, 12);
	w->opts.runs_max = 8 + below(w, 40);
	w->opts.tombstones_max = below(w, 3) ? 1000 : 20;
	w->opts.tombstone_keep = below(w, 3) ? 100000000 : 4000;
	w->opts.items_max = N_MODELS + N_ADAPTERS - 2 + below(w, 5);
	w->opts.order_timeout = 200 + below(w, 1000);
	w->opts.kv_policy = (enum pf_kv_policy)below(w, 3);
	w->opts.queue_policy = (enum pf_queue_policy)below(w, 2);
	w->opts.grant_step = 1 + below(w, 60);
	w->opts.pause_long = below(w, 2);
	w->opts.load_on_demand = below(w, 4) > 0;
	w->opts.loads_max = 1 + below(w, 3);
}

/* The engine may hold items that an earlier agent loaded or is loading. */
static void make_engine(struct world *w)
{
	struct fake_engine *e = &w->engine;

	e->rng = &w->rng;
	e->now = w->now;
	e->capacity = w->opts.memory_bytes;
	e->up = true;
	e->up_delivered = true;
	if (w->opts.kind == PF_ENDPOINT_PLAIN || below(w, 2))
		return;
	e->items[e->n_items++] =
		(struct pf_agent_item){ 100, PF_ITEM_RESIDENT,
					w->models[0].weight_bytes };
	if (below(w, 2) || w->opts.memory_bytes < 1500)
		return;
	e->items[e->n_items++] =
		(struct pf_agent_item){ 101, PF_ITEM_LOADING,
					w->models[1].weight_bytes };
	e->orders[e->n_orders++] = (struct engine_order){
		.next_at = w->now + 400,
		.type = PF_AGENT_LOAD,
		.order = 5,
		.item = 101,
		.started = true,
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
	k.first_token_objective =
		below(w, 2) ? PF_NEVER : w->now + below(w, 3000);
	k.answer_objective = below(w, 2) ? PF_NEVER : w->now + below(w, 9000);
	k.deadline = below(w, 2) ? PF_NEVER : w->now + below(w, 20000);
	if (w->opts.kind == PF_ENDPOINT_PLAIN) {
		k.flags |= PF_WORK_PLAIN;
		if (below(w, 2))
			k.flags |= PF_WORK_NEVER_REPEAT;
		if (below(w, 3))
			k.idem_key = 1 + below(w, 1000);
		k.offset = 0;
		return k;
	}
	k.model = 100 + below(w, N_MODELS);
	if (k.model < 102 && below(w, 2))
		k.adapter = 200 + (k.model - 100) + 2 * below(w, 2);
	return k;
}

static void send_try(struct world *w, uint32_t i)
{
	struct pf_agent_msg m = { .type = PF_AGENT_TRY };
	struct try_record *s = &w->tries[i];
	bool known = s->submitted || s->denied;

	m.entry = s->entry;
	m.u.try_.id = (struct pf_try){ i, 1 };
	m.u.try_.work = s->work;
	if (!s->submitted)
		s->submitted_after_drain = w->draining;
	s->submitted = true;
	world_step(w, &m);
	if (w->draining && !known)
		CHECK(w, s->denied, "accepted a try while draining");
}

/* No duplicate is in flight for longer than tombstone_keep. */
static bool may_resend(const struct world *w, uint32_t i)
{
	const struct try_record *s = &w->tries[i];

	return !s->settled_at ||
	       w->now - s->settled_at < w->opts.tombstone_keep;
}

static uint32_t new_try(struct world *w)
{
	struct try_record *s = &w->tries[w->n_tries];

	s->work = make_work(w);
	s->tokens_seen = s->work.offset;
	s->entry = 1 + below(w, 3);
	return w->n_tries++;
}

static void send_id(struct world *w, enum pf_agent_msg_type type, uint32_t i)
{
	struct pf_agent_msg m = { .type = type, .entry = w->tries[i].entry };

	m.u.id = (struct pf_try){ i, 1 };
	if (type == PF_AGENT_CANCEL)
		w->tries[i].abandoned = true;
	world_step(w, &m);
	if (type == PF_AGENT_REVOKE)
		CHECK(w,
		      w->tries[i].denied || w->tries[i].ran ||
			      w->tries[i].ended,
		      "no answer to REVOKE");
}

static void send_entry_down(struct world *w)
{
	struct pf_agent_msg m = { .type = PF_AGENT_ENTRY_DOWN };

	m.entry = 1 + below(w, 3);
	for (uint32_t i = w->first_try; i < w->n_tries; i++)
		if (w->tries[i].entry == m.entry)
			w->tries[i].abandoned = true;
	world_step(w, &m);
}

static void send_place(struct world *w)
{
	struct pf_agent_msg m = { .type = PF_AGENT_PLACE };
	uint64_t ids[N_MODELS + N_ADAPTERS];
	uint32_t n = below(w, 4);

	for (uint32_t i = 0; i < n; i++)
		ids[i] = below(w, 3) ? 100 + below(w, N_MODELS)
				     : 200 + below(w, N_ADAPTERS);
	m.u.place.items = ids;
	m.u.place.n_items = n;
	world_step(w, &m);
}

/* Adds or removes a model and an adapter, and raises some sizes. */
static void change_config(struct world *w)
{
	struct pf_model *m;

	w->config.n_models = N_MODELS - below(w, 2);
	m = &w->models[below(w, (uint32_t)w->config.n_models)];
	w->config.n_adapters = N_ADAPTERS - below(w, 2);
	m->weight_bytes += below(w, 30);
	m->kv_token_bytes += below(w, 12) == 0;
}

static void send_config(struct world *w)
{
	struct pf_agent_msg m = { .type = PF_AGENT_CONFIG };

	m.u.config = &w->config;
	world_step(w, &m);
}

static void answer_claim(struct world *w, uint32_t at)
{
	struct pf_agent_msg m = w->claims[at];
	struct try_record *s = &w->tries[m.u.claimed.id.request];

	if (m.u.claimed.granted)
		s->granted = true;
	world_step(w, &m);
	/* Sometimes the answer stays queued and is sent again. */
	if (w->engine.faultless || below(w, 8))
		w->claims[at] = w->claims[--w->n_claims];
}

/* Advances by @ms: runs the engine, delivers messages, ticks the agent. */
static void advance(struct world *w, pf_ms ms)
{
	const struct pf_agent_msg *m;
	struct pf_agent_msg tick = { .type = PF_AGENT_TICK };

	w->now += ms;
	engine_advance(&w->engine, w->now);
	while ((m = engine_next_msg(&w->engine)))
		world_step(w, m);
	if (w->n_claims > 0 && below(w, 2))
		answer_claim(w, below(w, w->n_claims));
	if (pf_agent_next(w->agent) <= w->now)
		world_step(w, &tick);
}

static void crash_or_start_engine(struct world *w)
{
	if (w->engine.up)
		engine_crash(&w->engine);
	else
		engine_start(&w->engine);
}

static void send_drain(struct world *w)
{
	struct pf_agent_msg m = { .type = PF_AGENT_DRAIN };

	w->draining = true;
	world_step(w, &m);
}

/* Resends, revokes or cancels an earlier try, or revokes an unknown one. */
static void random_old_try(struct world *w)
{
	uint32_t n = w->n_tries - w->first_try;
	uint32_t last = n < 8 ? n : 8;
	uint32_t i = w->n_tries - 1 - below(w, below(w, 2) ? last : n);
	uint32_t c = below(w, 12);

	if (!may_resend(w, i))
		return;
	if (c < 4)
		send_try(w, i);
	else if (c < 9)
		send_id(w, PF_AGENT_REVOKE, i);
	else if (c < 11)
		send_id(w, PF_AGENT_CANCEL, i);
	else if (w->n_tries < TRIES_MAX - 1)
		send_id(w, PF_AGENT_REVOKE, new_try(w));
}

/* Replaces the agent by a new incarnation. */
static void restart_agent(struct world *w)
{
	pf_agent_free(w->agent);
	w->opts.incarnation++;
	w->agent = pf_agent_new(&w->opts);
	w->first_try = w->n_tries;
	w->n_claims = 0;
	w->draining = false;
	w->drained = false;
	w->engine_reported = false;
	engine_replace_agent(&w->engine);
	send_config(w);
	if (w->engine.up)
		engine_send_inventory(&w->engine);
}

/* A fault, or a message from the operators or the planner. */
static void random_event(struct world *w)
{
	switch (below(w, 10)) {
	case 0:
		if (below(w, 4) == 0)
			send_entry_down(w);
		break;
	case 1:
	case 2:
		if (below(w, 2))
			crash_or_start_engine(w);
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
		w->engine.unexplained_bytes = below(w, 3) ? 0 : below(w, 200);
		break;
	case 8:
		if (w->engine.up && w->engine.up_delivered &&
		    !w->engine.inventory_requested)
			engine_send_inventory(&w->engine);
		break;
	default:
		if (below(w, 20) == 0 && !w->draining)
			send_drain(w);
		else if (below(w, 8) == 0)
			restart_agent(w);
		break;
	}
}

static void random_command(struct world *w)
{
	uint32_t c = below(w, 100);

	if (c < 25 && w->n_tries < TRIES_MAX - 1)
		send_try(w, new_try(w));
	else if (c < 37 && w->n_tries > w->first_try)
		random_old_try(w);
	else if (c < 45)
		random_event(w);
	else
		advance(w, below(w, 5) ? below(w, 40) : below(w, 1500));
}

static uint32_t count_unanswered(const struct world *w)
{
	uint32_t n = 0;

	for (uint32_t i = w->first_try; i < w->n_tries; i++) {
		const struct try_record *s = &w->tries[i];

		n += s->submitted && !s->abandoned && !s->denied && !s->ended;
	}
	return n;
}

/* Without faults, all tries must end and the agent must drain. */
static void settle(struct world *w)
{
	struct pf_agent_stats s;

	w->engine.faultless = true;
	w->engine.unexplained_bytes = 0;
	if (!w->engine.up)
		engine_start(&w->engine);
	for (int i = 0; i < SETTLE_STEPS_MAX && count_unanswered(w) > 0; i++)
		advance(w, 20);
	CHECK(w, count_unanswered(w) == 0, "try without a final answer");
	if (!w->draining)
		send_drain(w);
	for (int i = 0; i < SETTLE_STEPS_MAX && !w->drained; i++)
		advance(w, 20);
	CHECK(w, w->drained, "agent did not drain");
	pf_agent_stats(w->agent, &s);
	CHECK(w, s.running == 0 && s.queued == 0, "runs left after the drain");
	for (uint32_t i = w->first_try; i < w->n_tries; i++)
		CHECK(w,
		      !w->tries[i].granted || w->tries[i].ran ||
			      w->tries[i].voided,
		      "claim neither run nor voided");
}

void fuzz_agent(uint64_t seed, uint32_t steps_max, struct fuzz_result *r)
{
	struct world *w = calloc(1, sizeof(*w));
	struct pf_agent_msg up = { .type = PF_AGENT_ENGINE_UP };

	if (!w)
		return;
	pf_rng_seed(&w->rng, seed);
	w->result = r;
	w->now = 1000;
	make_config(w);
	make_opts(w, seed);
	make_engine(w);
	w->agent = pf_agent_new(&w->opts);
	if (!w->agent) {
		fuzz_violation(r, "pf_agent_new refused the options");
		goto out;
	}
	send_config(w);
	for (uint32_t i = 0; i < w->engine.n_items; i++)
		up.u.inventory.used_bytes += w->engine.items[i].bytes;
	up.u.inventory.items = w->engine.items;
	up.u.inventory.n_items = w->engine.n_items;
	world_step(w, &up);
	for (uint32_t i = 0; i < steps_max && r->violations == 0; i++)
		random_command(w);
	if (r->violations == 0)
		settle(w);
	pf_agent_free(w->agent);
out:
	free(w);
}
