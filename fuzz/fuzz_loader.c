/*
 * The loader core and a planner's orders against an engine that answers late,
 * not at all, or carries orders out seconds later: it never holds more than
 * its memory and its places for adapters, and a gateway is never told of an
 * item that is not there.
 */
#include "fuzz/fuzz.h"
#include "pimentoford/loader.h"
#include "pimentoford/routes.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MODELS 5
#define ADAPTERS 6
#define MODELS_FIT 3 /* of equal size */
#define SLOTS 2
#define LATE 16

/* An order that the engine carries out later, if its count still holds. */
struct late {
	bool set;
	pf_ms at;
	bool load;
	int model;
	int adapter; /* -1: the model */
	uint64_t orders;
};

struct world {
	struct fuzz_result *r;
	struct pf_rng rng;
	struct pf_loader *l;
	pf_ms now;
	int64_t born;
	uint64_t orders;
	bool models[MODELS];
	bool adapters[ADAPTERS]; /* of model 0 */
	struct { /* the one under way */
		bool set;
		bool load;
		int model;
		pf_ms until;
	} work;
	struct late late[LATE];
	bool polling;
	bool calling;
	pf_ms call_over;
	pf_ms order_timeout;
	bool answer_due;
	uint64_t answer_seq;
	enum pf_loader_result answer;
};

static uint32_t draw(struct world *w, uint32_t n)
{
	return pf_rng_below(&w->rng, n);
}

static void name_of(char *buf, size_t cap, char kind, int i)
{
	snprintf(buf, cap, "%c%d", kind, i);
}

static void check(struct world *w)
{
	int held = w->work.set && w->work.load;
	int adapters = 0;
	int i;

	for (i = 0; i < MODELS; i++)
		held += w->models[i];
	for (i = 0; i < ADAPTERS; i++)
		adapters += w->adapters[i];
	if (held > MODELS_FIT)
		fuzz_violation(w->r, "%d models in room for %d", held,
			       MODELS_FIT);
	if (adapters > SLOTS)
		fuzz_violation(w->r, "%d adapters in %d places", adapters,
			       SLOTS);
}

/* The engine takes an order, as its interface says. */
static enum pf_loader_result take(struct world *w, bool load, int model,
				  int adapter, uint64_t orders)
{
	if (w->work.set || orders != w->orders)
		return PF_LOADER_REFUSED;
	if (adapter >= 0) {
		if (!w->models[0])
			return PF_LOADER_REFUSED;
		w->adapters[adapter] = load;
	} else if (load) {
		if (w->models[model])
			return PF_LOADER_ACCEPTED;
		w->work.set = true;
		w->work.load = true;
		w->work.model = model;
		w->work.until = w->now + 500 + draw(w, 3000);
	} else {
		w->work.set = true;
		w->work.load = false;
		w->work.model = model;
		w->work.until = w->now + draw(w, 2000);
	}
	w->orders++;
	check(w);
	return PF_LOADER_ACCEPTED;
}

static int number(const char *name)
{
	return atoi(name + 1);
}

static void on_call(struct world *w, const struct pf_loader_act *a)
{
	int model = number(a->call.model);
	int adapter = a->call.adapter ? number(a->call.adapter) : -1;
	uint32_t what = draw(w, 10);
	uint32_t i;

	if (w->calling && w->now < w->call_over)
		fuzz_violation(w->r, "two orders at once");
	w->calling = true;
	w->call_over = w->now + w->order_timeout;
	/* The answer of an order that was given up may come yet. */
	if (!w->answer_due || draw(w, 2))
		w->answer_seq = a->call.seq;
	w->answer_due = true;
	if (what < 6) {
		w->answer = take(w, a->call.load, model, adapter,
				 a->call.expected_orders);
		return;
	}
	w->answer = PF_LOADER_IN_DOUBT;
	if (what < 8) {
		/* It took effect, and the answer is lost. */
		take(w, a->call.load, model, adapter, a->call.expected_orders);
		return;
	}
	for (i = 0; i < LATE; i++) {
		if (w->late[i].set)
			continue;
		w->late[i] = (struct late){
			true,         w->now + 2000 + draw(w, 10000),
			a->call.load, model,
			adapter,      a->call.expected_orders
		};
		break;
	}
}

static void emit(void *ctx, const struct pf_loader_act *a)
{
	struct world *w = ctx;

	if (a->type == PF_LOADER_POLL)
		w->polling = true;
	else if (a->type == PF_LOADER_CALL)
		on_call(w, a);
}

static void step(struct world *w, const struct pf_loader_msg *m)
{
	const struct pf_loader_sink sink = { emit, w };

	pf_loader_step(w->l, w->now, m, &sink);
}

static void add_item(struct pf_engine_report *r, int model, int adapter)
{
	struct pf_engine_report_item *it = &r->items[r->n_items++];
	char buf[16];

	name_of(buf, sizeof(buf), 'm', model);
	it->model = strdup(buf);
	it->model_id = pf_id(pf_str_c(buf));
	if (adapter < 0)
		return;
	name_of(buf, sizeof(buf), 'a', adapter);
	it->adapter = strdup(buf);
	it->adapter_id = pf_adapter_id(it->model_id, pf_str_c(buf));
}

static void report(struct world *w)
{
	struct pf_loader_msg m = { .type = PF_LOADER_REPORT };
	struct pf_engine_report r = { .incarnation = w->born,
				      .orders_accepted = w->orders,
				      .busy = w->work.set };
	int i;

	if (!w->polling)
		return;
	w->polling = false;
	r.items = calloc(MODELS + ADAPTERS, sizeof(*r.items));
	for (i = 0; i < MODELS; i++) {
		if (w->models[i])
			add_item(&r, i, -1);
	}
	for (i = 0; i < ADAPTERS; i++) {
		if (w->adapters[i])
			add_item(&r, 0, i);
	}
	m.u.report = draw(w, 8) ? &r : NULL;
	step(w, &m);
	pf_engine_report_clear(&r);
}

static void answer(struct world *w)
{
	struct pf_loader_msg m = { .type = PF_LOADER_ANSWER };

	if (!w->answer_due)
		return;
	w->answer_due = false;
	w->calling = false;
	m.u.answer.seq = w->answer_seq;
	m.u.answer.result = w->answer;
	step(w, &m);
}

static void want(struct world *w)
{
	struct pf_loader_msg m = { .type = PF_LOADER_USAGE };
	char adapter[16];
	char model[16];
	uint64_t used = pf_adapter_id(pf_id(PF_STR("m0")), PF_STR("a0"));

	name_of(adapter, sizeof(adapter), 'a', (int)draw(w, ADAPTERS));
	name_of(model, sizeof(model), 'm', 0);
	m.u.usage.gateway = 1 + draw(w, 3);
	m.u.usage.instance = PF_STR("i-1");
	m.u.usage.incarnation = w->born - (int64_t)(draw(w, 20) == 0);
	m.u.usage.adapter_slots = SLOTS;
	m.u.usage.adapters_in_use = &used;
	m.u.usage.n_in_use = draw(w, 2);
	if (draw(w, 3)) {
		m.u.usage.wanted_model = pf_str_c(model);
		m.u.usage.wanted_adapter = pf_str_c(adapter);
	}
	step(w, &m);
}

/* A planner decides by what it was told, however old. */
static void order(struct world *w, const struct pf_engine_state *s)
{
	struct pf_loader_msg m = { .type = PF_LOADER_ORDER };
	uint32_t held = s->n_residents + (s->unloading_model != 0);
	char model[16];

	if (s->busy || !s->endpoint)
		return;
	name_of(model, sizeof(model), 'm', (int)draw(w, MODELS));
	m.u.order.instance = PF_STR("i-1");
	m.u.order.incarnation = s->incarnation;
	m.u.order.expected_orders = s->orders_accepted;
	m.u.order.load = held < MODELS_FIT;
	m.u.order.model = pf_str_c(model);
	step(w, &m);
}

static void move_on(struct world *w)
{
	static const struct pf_loader_msg tick = { .type = PF_LOADER_TICK };
	uint32_t i;

	w->now += 1 + draw(w, 150);
	if (w->work.set && w->now >= w->work.until) {
		w->models[w->work.model] = w->work.load;
		if (w->work.model == 0 && !w->work.load)
			memset(w->adapters, 0, sizeof(w->adapters));
		w->work.set = false;
	}
	for (i = 0; i < LATE; i++) {
		struct late *o = &w->late[i];

		if (!o->set || w->now < o->at)
			continue;
		o->set = false;
		take(w, o->load, o->model, o->adapter, o->orders);
	}
	check(w);
	step(w, &tick);
}

/* A new life at a new name: what was ordered before can't reach it. */
static void restart(struct world *w)
{
	w->born++;
	w->orders = 0;
	memset(w->models, 0, sizeof(w->models));
	memset(w->adapters, 0, sizeof(w->adapters));
	memset(w->late, 0, sizeof(w->late));
	w->work.set = false;
	w->answer = PF_LOADER_IN_DOUBT;
}

static void check_told(struct world *w, const struct pf_engine_state *s)
{
	uint32_t i;

	/* Only what was reported is told; it may be old, not invented. */
	if (s->n_residents > MODELS_FIT)
		fuzz_violation(w->r, "told of %u models", s->n_residents);
	for (i = 0; i < s->n_residents; i++) {
		if (s->residents[i].model == s->unloading_model)
			fuzz_violation(w->r, "told of a model that leaves");
		if (s->residents[i].n_adapters > SLOTS)
			fuzz_violation(w->r, "told of too many adapters");
	}
}

void fuzz_loader(uint64_t seed, uint32_t steps_max, struct fuzz_result *r)
{
	struct pf_loader_opts o;
	struct world w = { .r = r, .now = 100000, .born = 1 };
	uint32_t i;

	pf_loader_opts_default(&o);
	pf_rng_seed(&w.rng, seed);
	w.order_timeout = o.order_timeout;
	w.l = pf_loader_new(&o);
	w.models[0] = true;
	for (i = 0; w.l && i < steps_max; i++) {
		struct pf_engine_state s;
		uint32_t what = draw(&w, 100);

		pf_loader_state(w.l, w.now, &s);
		check_told(&w, &s);
		if (what < 30)
			move_on(&w);
		else if (what < 55)
			report(&w);
		else if (what < 75)
			answer(&w);
		else if (what < 88)
			want(&w);
		else if (what < 99 || draw(&w, 6))
			order(&w, &s);
		else
			restart(&w);
		r->steps++;
	}
	pf_loader_free(w.l);
}
