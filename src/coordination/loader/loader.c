/* The loader core. */
#include "pimentoford/loader.h"

#include "pimentoford/routes.h"

#include <stdlib.h>
#include <string.h>

#define NAME_CAP 128
/* Adapters that gateways wait for here; more are asked for again later. */
#define WANTS_MAX 32
/* Adapters of which the last use is known; the oldest are forgotten. */
#define USES_MAX 256
/* Gateways, and what each has under way here. */
#define USERS_MAX 64
#define USERS_ADAPTERS_MAX 64
/* An unload that shows no effect for so long was not carried out. */
#define LEAVE_MS 6000
#define RESIDENTS_MAX 16
#define ADAPTERS_MAX 32
/* A wish for an adapter that was not repeated is given up. */
#define WANT_KEEP_MS 1500

struct want {
	char model[NAME_CAP]; /* empty: free */
	char adapter[NAME_CAP];
	uint64_t model_id;
	uint64_t adapter_id;
	pf_ms at;
};

struct use {
	uint64_t adapter;
	pf_ms at;
};

/* What a gateway has under way. */
struct user {
	uint64_t from; /* 0: free */
	pf_ms at;
	uint64_t adapters[USERS_ADAPTERS_MAX];
	uint32_t n;
};

struct pf_loader {
	struct pf_loader_opts o;
	pf_ms now;
	const struct pf_loader_sink *sink;
	char instance[NAME_CAP]; /* as gateways name the endpoint */
	int64_t named_born; /* its start that this name goes with */
	uint32_t adapter_slots;
	struct pf_engine_report report;
	bool known; /* a report has come */
	pf_ms report_at;
	bool polling;
	bool fresh; /* the report is younger than the last order */
	pf_ms poll_at;
	bool calling;
	uint64_t seq; /* of the order at hand */
	pf_ms call_over; /* the order at hand counts as silent then */
	struct {
		bool set;
		bool load;
		bool from_store;
		char model[NAME_CAP];
		uint64_t orders;
		int64_t born;
	} model_order;
	bool call_is_model;
	uint64_t loading; /* ordered last */
	bool loading_store;
	pf_ms loading_at;
	struct want wants[WANTS_MAX];
	struct use uses[USES_MAX];
	struct user users[USERS_MAX];
	uint64_t leaving; /* item whose unload was accepted; 0: none */
	pf_ms left_at; /* when that was */
	/* of pf_loader_state() */
	struct pf_resident residents[RESIDENTS_MAX];
	uint64_t adapters[RESIDENTS_MAX][ADAPTERS_MAX];
};

void pf_loader_opts_default(struct pf_loader_opts *o)
{
	*o = (struct pf_loader_opts){
		.poll_interval = 300,
		.order_poll_delay = 10,
		.order_timeout = 1500,
		.adapter_idle_min = 40,
		.usage_ttl = 3000,
	};
}

struct pf_loader *pf_loader_new(const struct pf_loader_opts *o)
{
	struct pf_loader *l = calloc(1, sizeof(*l));

	if (!l)
		return NULL;
	l->o = *o;
	l->call_over = PF_NEVER;
	return l;
}

void pf_loader_free(struct pf_loader *l)
{
	if (!l)
		return;
	pf_engine_report_clear(&l->report);
	free(l);
}

static bool copy_name(char *to, struct pf_str from)
{
	if (from.n >= NAME_CAP)
		return false;
	if (from.n)
		memcpy(to, from.p, from.n);
	to[from.n] = '\0';
	return true;
}

static void emit(struct pf_loader *l, struct pf_loader_act *a)
{
	l->sink->emit(l->sink->ctx, a);
}

static void tell(struct pf_loader *l)
{
	struct pf_loader_act a = { .type = PF_LOADER_STATE_CHANGED };

	emit(l, &a);
}

static void poll(struct pf_loader *l)
{
	struct pf_loader_act a = { .type = PF_LOADER_POLL };

	if (l->polling)
		return;
	l->polling = true;
	emit(l, &a);
}

static struct use *use_of(struct pf_loader *l, uint64_t adapter, bool make)
{
	struct use *oldest = &l->uses[0];
	uint32_t i;

	for (i = 0; i < USES_MAX; i++) {
		if (l->uses[i].adapter == adapter)
			return &l->uses[i];
		if (l->uses[i].at < oldest->at)
			oldest = &l->uses[i];
	}
	if (!make)
		return NULL;
	*oldest = (struct use){ adapter, l->now };
	return oldest;
}

static void used(struct pf_loader *l, uint64_t adapter)
{
	use_of(l, adapter, true)->at = l->now;
}

/* Orders go to the start of the endpoint that was named, and to no other. */
static bool may_order(const struct pf_loader *l)
{
	return l->known && l->fresh && !l->calling && l->instance[0] &&
	       l->named_born == l->report.incarnation;
}

static void call(struct pf_loader *l, bool load, const char *model,
		 const char *adapter)
{
	struct pf_loader_act a = { .type = PF_LOADER_CALL };

	a.call.seq = ++l->seq;
	a.call.load = load;
	a.call.instance = l->instance;
	a.call.model = model;
	a.call.adapter = adapter;
	a.call.expected_orders = l->report.orders_accepted;
	l->calling = true;
	l->fresh = false;
	l->call_over = l->now + l->o.order_timeout;
	l->call_is_model = !adapter;
	if (!load) {
		/* Gateways are to send nothing there from now on. */
		l->leaving = pf_id(pf_str_c(model));
		if (adapter)
			l->leaving =
				pf_adapter_id(l->leaving, pf_str_c(adapter));
		tell(l);
	}
	emit(l, &a);
}

/* The planner's order, if it still fits what the engine has accepted. */
static bool advance_model(struct pf_loader *l)
{
	if (!l->model_order.set || l->report.busy)
		return false;
	l->model_order.set = false;
#ifndef PF_MUTANT_LOADER_COUNT
	if (l->model_order.born != l->report.incarnation ||
	    l->model_order.orders != l->report.orders_accepted)
		return false;
#endif
	if (l->model_order.load) {
		l->loading = pf_id(pf_str_c(l->model_order.model));
		l->loading_store = l->model_order.from_store;
		l->loading_at = l->now;
	}
	call(l, l->model_order.load, l->model_order.model, NULL);
	return true;
}

static uint32_t adapters_held(const struct pf_engine_report *r)
{
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i < r->n_items; i++)
		n += r->items[i].adapter != NULL;
	return n;
}

static bool in_use(const struct pf_loader *l, uint64_t adapter)
{
	uint32_t i;
	uint32_t k;

	for (i = 0; i < USERS_MAX; i++) {
		const struct user *u = &l->users[i];

		if (!u->from || l->now - u->at > l->o.usage_ttl)
			continue;
		for (k = 0; k < u->n; k++) {
			if (u->adapters[k] == adapter)
				return true;
		}
	}
	return false;
}

/* The adapter that was not used for longest, or NULL when all are in use. */
static const struct pf_engine_report_item *victim(struct pf_loader *l)
{
	const struct pf_engine_report_item *best = NULL;
	pf_ms best_at = l->now - l->o.adapter_idle_min;
	uint32_t i;

	for (i = 0; i < l->report.n_items; i++) {
		const struct pf_engine_report_item *it = &l->report.items[i];
		const struct use *u;

		if (!it->adapter || it->loading || in_use(l, it->adapter_id))
			continue;
		u = use_of(l, it->adapter_id, false);
		if ((u ? u->at : 0) < best_at) {
			best = it;
			best_at = u ? u->at : 0;
		}
	}
	return best;
}

static bool open_want(struct pf_loader *l, struct want *w)
{
	if (!w->model[0])
		return false;
	if (l->now - w->at > WANT_KEEP_MS ||
	    pf_engine_report_find(&l->report, w->model_id, w->adapter_id) ||
	    !pf_engine_report_find(&l->report, w->model_id, 0)) {
		w->model[0] = '\0';
		return false;
	}
	return true;
}

static void advance_adapters(struct pf_loader *l)
{
	const struct pf_engine_report_item *out;
	struct want *first = NULL;
	uint32_t i;

	/* A model's load or unload keeps the engine from other orders. */
	if (l->report.busy || l->leaving)
		return;

	for (i = 0; i < WANTS_MAX; i++) {
		struct want *w = &l->wants[i];

		if (open_want(l, w) && (!first || w->at < first->at))
			first = w;
	}
	if (!first)
		return;
#ifdef PF_MUTANT_LOADER_SLOTS
	if (adapters_held(&l->report) <= l->adapter_slots) {
#else
	if (adapters_held(&l->report) < l->adapter_slots) {
#endif
		call(l, true, first->model, first->adapter);
		return;
	}
	out = victim(l);
	if (out)
		call(l, false, out->model, out->adapter);
}

static void advance(struct pf_loader *l)
{
	if (!may_order(l))
		return;
	if (!advance_model(l))
		advance_adapters(l);
}

/* An unload waits for the requests that use the item. */
static void settle_leaving(struct pf_loader *l)
{
	uint32_t i;

	if (!l->leaving || l->calling)
		return;
	for (i = 0; i < l->report.n_items; i++) {
		const struct pf_engine_report_item *it = &l->report.items[i];

		if ((it->adapter ? it->adapter_id : it->model_id) ==
			    l->leaving &&
		    l->now - l->left_at < LEAVE_MS)
			return;
	}
	l->leaving = 0;
}

static void on_report(struct pf_loader *l, struct pf_engine_report *r)
{
	bool changed;

	l->polling = false;
	if (!r) {
		l->poll_at = l->now + l->o.poll_interval;
		return;
	}
	changed = !l->known ||
		  r->orders_accepted != l->report.orders_accepted ||
		  r->incarnation != l->report.incarnation ||
		  r->busy != l->report.busy ||
		  r->draining != l->report.draining ||
		  r->n_items != l->report.n_items;
	pf_engine_report_clear(&l->report);
	l->report = *r;
	memset(r, 0, sizeof(*r));
	l->known = true;
	l->report_at = l->now;
	if (!l->calling)
		l->fresh = true;
	if (!l->report.busy)
		l->loading = 0;
	settle_leaving(l);
	l->poll_at = l->now + l->o.poll_interval;
	if (l->report.busy || adapters_held(&l->report) != 0)
		l->poll_at = l->now + l->o.poll_interval / 2;
	if (changed)
		tell(l);
	advance(l);
}

static void name(struct pf_loader *l, struct pf_str instance, int64_t born)
{
	/* Names of an earlier start come late at times. */
	if (born < l->named_born || !copy_name(l->instance, instance))
		return;
	l->named_born = born;
}

static void add_want(struct pf_loader *l, const struct pf_loader_usage *in)
{
	uint64_t model = pf_id(in->wanted_model);
	uint64_t adapter = pf_adapter_id(model, in->wanted_adapter);
	struct want *slot = NULL;
	uint32_t i;

	for (i = 0; i < WANTS_MAX; i++) {
		struct want *w = &l->wants[i];

		if (w->model[0] && w->adapter_id == adapter)
			return;
		if (!slot && !w->model[0])
			slot = w;
	}
	if (!slot || !copy_name(slot->model, in->wanted_model) ||
	    !copy_name(slot->adapter, in->wanted_adapter))
		return;
	slot->model_id = model;
	slot->adapter_id = adapter;
	slot->at = l->now;
}

static struct user *user_of(struct pf_loader *l, uint64_t from)
{
	struct user *oldest = &l->users[0];
	uint32_t i;

	for (i = 0; i < USERS_MAX; i++) {
		if (l->users[i].from == from)
			return &l->users[i];
		if (l->users[i].at < oldest->at)
			oldest = &l->users[i];
	}
	oldest->from = from;
	return oldest;
}

static void on_want(struct pf_loader *l, const struct pf_loader_usage *w)
{
	struct user *u = user_of(l, w->gateway);
	uint32_t i;

	name(l, w->instance, w->incarnation);
	if (w->adapter_slots)
		l->adapter_slots = w->adapter_slots;
	u->at = l->now;
	u->n = 0;
	for (i = 0; i < w->n_in_use && u->n < USERS_ADAPTERS_MAX; i++) {
		used(l, w->adapters_in_use[i]);
		u->adapters[u->n++] = w->adapters_in_use[i];
	}
	if (w->wanted_model.n && w->wanted_adapter.n) {
		used(l,
		     pf_adapter_id(pf_id(w->wanted_model), w->wanted_adapter));
		add_want(l, w);
	}
	/* The report may be too old to decide on. */
	if (w->wanted_model.n && l->now - l->report_at > 50)
		poll(l);
	else
		advance(l);
}

static void on_order(struct pf_loader *l, const struct pf_loader_order *o)
{
	name(l, o->instance, o->incarnation);
	if (!copy_name(l->model_order.model, o->model))
		return;
	l->model_order.set = true;
	l->model_order.load = o->load;
	l->model_order.from_store = o->from_store;
	l->model_order.orders = o->expected_orders;
	l->model_order.born = o->incarnation;
	if (l->now - l->report_at > 50)
		poll(l);
	else
		advance(l);
}

static void on_ordered(struct pf_loader *l, enum pf_loader_result result)
{
	l->calling = false;
	l->call_over = PF_NEVER;
	if (result != PF_LOADER_ACCEPTED && l->call_is_model)
		l->loading = 0;
	if (result == PF_LOADER_REFUSED)
		l->leaving = 0;
	l->left_at = l->now;
	l->poll_at = l->now + l->o.order_poll_delay;
	if (result == PF_LOADER_ACCEPTED && l->call_is_model)
		tell(l);
}

static void on_tick(struct pf_loader *l)
{
	if (l->calling && l->now >= l->call_over)
		on_ordered(l, PF_LOADER_IN_DOUBT);
	if (l->now >= l->poll_at)
		poll(l);
}

void pf_loader_step(struct pf_loader *l, pf_ms now,
		    const struct pf_loader_msg *m,
		    const struct pf_loader_sink *sink)
{
	l->now = now;
	l->sink = sink;
	switch (m->type) {
	case PF_LOADER_REPORT:
		on_report(l, m->u.report);
		break;
	case PF_LOADER_USAGE:
		on_want(l, &m->u.usage);
		break;
	case PF_LOADER_ORDER:
		on_order(l, &m->u.order);
		break;
	case PF_LOADER_ANSWER:
		/* One that comes after its time says nothing of the next. */
		if (l->calling && m->u.answer.seq == l->seq)
			on_ordered(l, m->u.answer.result);
		break;
	case PF_LOADER_TICK:
		on_tick(l);
		break;
	}
	l->sink = NULL;
}

pf_ms pf_loader_next(const struct pf_loader *l)
{
	pf_ms at = l->polling ? PF_NEVER : l->poll_at;

	return l->call_over < at ? l->call_over : at;
}

static struct pf_resident *resident_of(struct pf_loader *l, uint32_t *n,
				       uint64_t model)
{
	uint32_t i;

	for (i = 0; i < *n; i++) {
		if (l->residents[i].model == model)
			return &l->residents[i];
	}
	if (*n >= RESIDENTS_MAX)
		return NULL;
	l->residents[*n] = (struct pf_resident){ model, l->adapters[*n], 0 };
	return &l->residents[(*n)++];
}

void pf_loader_state(struct pf_loader *l, pf_ms now, struct pf_engine_state *s)
{
	const struct pf_engine_report *r = &l->report;
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i < r->n_items; i++) {
		const struct pf_engine_report_item *it = &r->items[i];
		struct pf_resident *m;

		if (it->loading ||
		    (l->leaving && (it->model_id == l->leaving ||
				    it->adapter_id == l->leaving)))
			continue;
		m = resident_of(l, &n, it->model_id);
		if (m && it->adapter && m->n_adapters < ADAPTERS_MAX)
			m->adapters[m->n_adapters++] = it->adapter_id;
	}
	*s = (struct pf_engine_state){
		.endpoint = l->instance[0] && l->named_born == r->incarnation
				    ? pf_id(pf_str_c(l->instance))
				    : 0,
		.incarnation = r->incarnation,
		.orders_accepted = r->orders_accepted,
		.busy = r->busy || (l->calling && l->call_is_model),
		.loading_model = l->loading,
		.loading_elapsed = l->loading ? now - l->loading_at : 0,
		.from_store = l->loading && l->loading_store,
		.draining = r->draining,
#ifndef PF_MUTANT_LOADER_HELD
		.unloading_model =
			l->leaving && pf_engine_report_find(r, l->leaving, 0)
				? l->leaving
				: 0,
#endif
		.running = r->running,
		.queued = r->queued,
		.kv_used = r->kv_used,
		.kv_total = r->kv_total,
		.residents = l->residents,
		.n_residents = n,
		.in_host_mem = r->in_host_mem,
		.n_in_host_mem = r->n_in_host_mem,
		.on_disk = r->on_disk,
		.n_on_disk = r->n_on_disk,
	};
}
