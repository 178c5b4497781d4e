/*
 * The loader core, with a planner's orders, against an engine that answers late
 * or never, or carries out orders seconds later. Checks that the engine never
 * holds more models or adapters than fit, and that the state sent to gateways
 * has no item that is being unloaded.
 */
#include "fuzz/fuzz.h"
#include "pimentoford/loader.h"
#include "pimentoford/routes.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MODELS 5
#define ADAPTERS 6
#define MODELS_MAX 3 /* of equal size, fit in the engine's memory */
#define ADAPTER_SLOTS 2
#define LATE_ORDERS_MAX 16

/* An order that the engine carries out later unless it accepts another. */
struct late_order {
	bool pending;
	pf_ms at;
	bool load;
	int model;
	int adapter; /* -1: the model */
	uint64_t orders;
};

struct world {
	struct fuzz_result *result;
	struct pf_rng rng;
	struct pf_loader *loader;
	pf_ms now;
	uint32_t step_max; /* ms */
	int64_t incarnation;
	uint64_t orders_accepted;
	bool models[MODELS];
	bool adapters[ADAPTERS]; /* of model 0 */
	struct { /* the load or unload in progress */
		bool active;
		bool load;
		int model;
		pf_ms until;
	} model_work;
	struct late_order late_orders[LATE_ORDERS_MAX];
	bool polling;
	bool order_in_flight;
	pf_ms order_deadline;
	pf_ms order_timeout;
	bool answer_due;
	uint64_t answer_seq;
	enum pf_loader_result answer;
};

static uint32_t draw(struct world *w, uint32_t n)
{
	return pf_rng_below(&w->rng, n);
}

static void format_name(char *buf, size_t cap, char kind, int i)
{
	snprintf(buf, cap, "%c%d", kind, i);
}

static void check_engine(struct world *w)
{
	int held = w->model_work.active && w->model_work.load;
	int adapters = 0;
	int i;

	for (i = 0; i < MODELS; i++)
		held += w->models[i];
	for (i = 0; i < ADAPTERS; i++)
		adapters += w->adapters[i];
	if (held > MODELS_MAX)
		fuzz_violation(w->result,
			       "engine holds %d models, memory for %d", held,
			       MODELS_MAX);
	if (adapters > ADAPTER_SLOTS)
		fuzz_violation(w->result,
			       "engine holds %d adapters in %d slots", adapters,
			       ADAPTER_SLOTS);
}

/* The engine accepts or refuses an order, by its interface. */
static enum pf_loader_result engine_take_order(struct world *w, bool load,
					       int model, int adapter,
					       uint64_t orders)
{
	if (w->model_work.active || orders != w->orders_accepted)
		return PF_LOADER_REFUSED;
	if (adapter >= 0) {
		if (!w->models[0])
			return PF_LOADER_REFUSED;
		w->adapters[adapter] = load;
	} else if (load) {
		if (w->models[model])
			return PF_LOADER_ACCEPTED;
		w->model_work.active = true;
		w->model_work.load = true;
		w->model_work.model = model;
		w->model_work.until = w->now + 500 + draw(w, 3000);
	} else {
		w->model_work.active = true;
		w->model_work.load = false;
		w->model_work.model = model;
		w->model_work.until = w->now + draw(w, 2000);
	}
	w->orders_accepted++;
	check_engine(w);
	return PF_LOADER_ACCEPTED;
}

static int index_of(const char *name)
{
	return atoi(name + 1);
}

static void on_call(struct world *w, const struct pf_loader_act *a)
{
	int model = index_of(a->call.model);
	int adapter = a->call.adapter ? index_of(a->call.adapter) : -1;
	uint32_t what = draw(w, 10);
	uint32_t i;

	if (w->order_in_flight && w->now < w->order_deadline)
		fuzz_violation(w->result, "two orders in flight");
	w->order_in_flight = true;
	w->order_deadline = w->now + w->order_timeout;
	/* The answer to an earlier order in doubt may still come. */
	if (!w->answer_due || draw(w, 2))
		w->answer_seq = a->call.seq;
	w->answer_due = true;
	if (what < 6) {
		w->answer = engine_take_order(w, a->call.load, model, adapter,
					      a->call.expected_orders);
		return;
	}
	w->answer = PF_LOADER_IN_DOUBT;
	if (what < 8) {
		/* It takes effect, and the answer is lost. */
		engine_take_order(w, a->call.load, model, adapter,
				  a->call.expected_orders);
		return;
	}
	for (i = 0; i < LATE_ORDERS_MAX; i++) {
		if (w->late_orders[i].pending)
			continue;
		w->late_orders[i] = (struct late_order){
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

	pf_loader_step(w->loader, w->now, m, &sink);
}

static void add_item(struct pf_engine_report *r, int model, int adapter)
{
	struct pf_engine_report_item *it = &r->items[r->n_items++];
	char buf[16];

	format_name(buf, sizeof(buf), 'm', model);
	it->model = strdup(buf);
	it->model_id = pf_id(pf_str_c(buf));
	if (adapter < 0)
		return;
	format_name(buf, sizeof(buf), 'a', adapter);
	it->adapter = strdup(buf);
	it->adapter_id = pf_adapter_id(it->model_id, pf_str_c(buf));
}

static void send_report(struct world *w)
{
	struct pf_loader_msg m = { .type = PF_LOADER_REPORT };
	struct pf_engine_report r = { .incarnation = w->incarnation,
				      .orders_accepted = w->orders_accepted,
				      .busy = w->model_work.active };
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

static void send_answer(struct world *w)
{
	struct pf_loader_msg m = { .type = PF_LOADER_ANSWER };

	if (!w->answer_due)
		return;
	w->answer_due = false;
	w->order_in_flight = false;
	m.u.answer.seq = w->answer_seq;
	m.u.answer.result = w->answer;
	step(w, &m);
}

static void send_usage(struct world *w)
{
	struct pf_loader_msg m = { .type = PF_LOADER_USAGE };
	char adapter[16];
	char model[16];
	uint64_t used = pf_adapter_id(pf_id(PF_STR("m0")), PF_STR("a0"));

	format_name(adapter, sizeof(adapter), 'a', (int)draw(w, ADAPTERS));
	format_name(model, sizeof(model), 'm', 0);
	m.u.usage.gateway = 1 + draw(w, 3);
	m.u.usage.instance = PF_STR("i-1");
	m.u.usage.incarnation = w->incarnation - (int64_t)(draw(w, 20) == 0);
	m.u.usage.adapter_slots = ADAPTER_SLOTS;
	m.u.usage.adapters_in_use = &used;
	m.u.usage.n_in_use = draw(w, 2);
	if (draw(w, 3)) {
		m.u.usage.wanted_model = pf_str_c(model);
		m.u.usage.wanted_adapter = pf_str_c(adapter);
	}
	step(w, &m);
}

/* Whether an engine with @held models after its next order has room for any load
 * that it may then carry out late. */
static bool has_room_for_late(const struct pf_engine_state *s, uint32_t held)
{
	uint32_t i;

	for (i = 0; i < s->n_in_doubt; i++) {
		if (s->in_doubt[i].load && held >= MODELS_MAX &&
		    s->in_doubt[i].expected_orders == s->orders_accepted + 1)
			return false;
	}
	return true;
}

/* The planner decides by the state that it received, however old. */
static void send_order(struct world *w, const struct pf_engine_state *s)
{
	struct pf_loader_msg m = { .type = PF_LOADER_ORDER };
	uint32_t held = s->n_residents + (s->unloading_model != 0);
	char model[16];

	if (s->busy || !s->endpoint)
		return;
	/* A full engine mostly stays so. */
	if (held >= MODELS_MAX && draw(w, 8))
		return;
	format_name(model, sizeof(model), 'm', (int)draw(w, MODELS));
	m.u.order.instance = PF_STR("i-1");
	m.u.order.incarnation = s->incarnation;
	m.u.order.expected_orders = s->orders_accepted;
	m.u.order.load = held < MODELS_MAX;
	if (m.u.order.load && !has_room_for_late(s, held + 1))
		return;
	m.u.order.model = pf_str_c(model);
	step(w, &m);
}

static void advance_time(struct world *w)
{
	static const struct pf_loader_msg tick = { .type = PF_LOADER_TICK };
	uint32_t i;

	w->now += 1 + draw(w, w->step_max);
	if (w->model_work.active && w->now >= w->model_work.until) {
		w->models[w->model_work.model] = w->model_work.load;
		if (w->model_work.model == 0 && !w->model_work.load)
			memset(w->adapters, 0, sizeof(w->adapters));
		w->model_work.active = false;
	}
	for (i = 0; i < LATE_ORDERS_MAX; i++) {
		struct late_order *o = &w->late_orders[i];

		if (!o->pending || w->now < o->at)
			continue;
		o->pending = false;
		engine_take_order(w, o->load, o->model, o->adapter, o->orders);
	}
	check_engine(w);
	step(w, &tick);
}

/* A new incarnation under the same id: it counts its orders anew, and earlier
 * ones that are late may reach it. */
static void restart_engine(struct world *w)
{
	w->incarnation++;
	w->orders_accepted = 0;
	memset(w->models, 0, sizeof(w->models));
	memset(w->adapters, 0, sizeof(w->adapters));
	w->model_work.active = false;
	w->answer = PF_LOADER_IN_DOUBT;
}

static void check_state(struct world *w, const struct pf_engine_state *s)
{
	uint32_t i;

	/* The state may be old but has only items from reports. */
	if (s->n_residents > MODELS_MAX)
		fuzz_violation(w->result, "state has %u models",
			       s->n_residents);
	for (i = 0; i < s->n_residents; i++) {
		if (s->residents[i].model == s->unloading_model)
			fuzz_violation(
				w->result,
				"state has a model that is being unloaded");
		if (s->residents[i].n_adapters > ADAPTER_SLOTS)
			fuzz_violation(w->result,
				       "state has too many adapters");
	}
}

void fuzz_loader(uint64_t seed, uint32_t steps_max, struct fuzz_result *r)
{
	struct pf_loader_opts o;
	struct world w = { .result = r, .now = 100000, .incarnation = 1 };
	uint32_t restarts;
	uint32_t i;

	pf_loader_opts_default(&o);
	pf_rng_seed(&w.rng, seed);
	/* Long runs with several incarnations, which late orders may meet, or
	 * short ones with one. */
	w.step_max = draw(&w, 2) ? 150 : 900;
	restarts = w.step_max == 150 ? 6 : 1;
	w.order_timeout = o.order_timeout;
	w.loader = pf_loader_new(&o);
	w.models[0] = true;
	for (i = 0; w.loader && i < steps_max; i++) {
		struct pf_engine_state s;
		uint32_t what = draw(&w, 100);

		pf_loader_state(w.loader, w.now, &s);
		check_state(&w, &s);
		if (what < 30)
			advance_time(&w);
		else if (what < 55)
			send_report(&w);
		else if (what < 75)
			send_answer(&w);
		else if (what < 88)
			send_usage(&w);
		else if (what < 99 || draw(&w, restarts))
			send_order(&w, &s);
		else
			restart_engine(&w);
		r->steps++;
	}
	pf_loader_free(w.loader);
}
