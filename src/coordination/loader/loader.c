/* The loader core. */
#include "pimentoford/loader.h"

#include "pimentoford/routes.h"

#include <stdlib.h>
#include <string.h>

#define NAME_CAP 128
/* Open requests for adapters; gateways repeat those that don't fit. */
#define ADAPTER_REQUESTS_MAX 32
/* Adapters whose last use is recorded; the oldest are forgotten. */
#define LAST_USES_MAX 256
/* Gateways whose usage is known; beyond, the one silent longest is forgotten. */
#define GATEWAYS_MAX 4096
#define GATEWAY_ADAPTERS_MAX 64
/* An unload without effect after this long was not carried out. */
#define UNLOAD_TIMEOUT_MS 6000
#define ADAPTERS_MAX 32
/* A request for an adapter that isn't repeated expires. */
#define ADAPTER_REQUEST_TTL_MS 1500
/* Before an order is chosen, an older report is polled again. */
#define REPORT_FRESH_MS 50

struct adapter_request {
	char model[NAME_CAP]; /* empty: free */
	char adapter[NAME_CAP];
	uint64_t model_id;
	uint64_t adapter_id;
	pf_ms requested_at;
};

struct last_use {
	uint64_t adapter;
	pf_ms last_used_at;
};

/** An order without an answer, for as long as it may be carried out. */
struct order_in_doubt {
	uint64_t model;
	uint64_t adapter; /* 0: the model itself */
	bool load; /* false: unload */
	bool from_store;
	uint64_t expected_orders;
	pf_ms sent_at; /* last time */
	/* This incarnation has accepted another order in its place; 0: none. A
	 * later one may still carry it out. */
	int64_t void_for;
};

struct gateway_usage {
	uint64_t gateway;
	pf_ms reported_at;
	uint64_t adapters[GATEWAY_ADAPTERS_MAX];
	uint32_t n_adapters;
};

struct pf_loader {
	struct pf_loader_opts opts;
	pf_ms now;
	const struct pf_loader_sink *sink;
	char instance[NAME_CAP]; /* the endpoint's name, from gateways */
	int64_t named_incarnation; /* the incarnation with that name */
	uint32_t adapter_slots;
	struct pf_engine_report report;
	bool has_report;
	pf_ms report_received_at;
	bool polling;
	bool report_fresh; /* newer than the last order */
	pf_ms next_poll_at;
	bool order_in_flight;
	uint64_t order_seq; /* of the last order */
	pf_ms order_deadline; /* then the order in flight is in doubt */
	/* The planner's order, until it is sent. */
	struct {
		bool pending;
		bool load;
		bool from_store;
		char model[NAME_CAP];
		uint64_t expected_orders;
		int64_t incarnation;
	} model_order;
	bool order_is_model; /* the last order was for a model */
	uint64_t loading_model; /* whose load was ordered last; 0: none */
	bool loading_from_store;
	pf_ms loading_ordered_at;
	struct order_in_doubt last_order;
	struct order_in_doubt *in_doubt; /* owned */
	uint32_t n_in_doubt;
	uint32_t in_doubt_cap;
	struct pf_order_in_doubt *state_in_doubt; /* owned; as many */
	struct adapter_request adapter_requests[ADAPTER_REQUESTS_MAX];
	struct last_use last_uses[LAST_USES_MAX];
	struct gateway_usage *gateways;
	uint32_t n_gateways;
	uint32_t gateways_cap;
	uint64_t unloading; /* item, until its unload shows effect; 0: none */
	pf_ms last_answer_at; /* when an order was answered or in doubt */
	/* Lists that pf_loader_state() returns. */
	struct pf_resident state_residents[PF_RESIDENTS_MAX];
	uint64_t state_adapters[PF_RESIDENTS_MAX][ADAPTERS_MAX];
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
	l->opts = *o;
	l->order_deadline = PF_NEVER;
	return l;
}

void pf_loader_free(struct pf_loader *l)
{
	if (!l)
		return;
	pf_engine_report_clear(&l->report);
	free(l->gateways);
	free(l->in_doubt);
	free(l->state_in_doubt);
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

static void notify_state_changed(struct pf_loader *l)
{
	struct pf_loader_act a = { .type = PF_LOADER_STATE_CHANGED };

	emit(l, &a);
}

static void poll_report(struct pf_loader *l)
{
	struct pf_loader_act a = { .type = PF_LOADER_POLL };

	if (l->polling)
		return;
	l->polling = true;
	emit(l, &a);
}

static struct last_use *find_last_use(struct pf_loader *l, uint64_t adapter,
				      bool create)
{
	struct last_use *oldest = &l->last_uses[0];
	uint32_t i;

	for (i = 0; i < LAST_USES_MAX; i++) {
		if (l->last_uses[i].adapter == adapter)
			return &l->last_uses[i];
		if (l->last_uses[i].last_used_at < oldest->last_used_at)
			oldest = &l->last_uses[i];
	}
	if (!create)
		return NULL;
	*oldest = (struct last_use){ adapter, l->now };
	return oldest;
}

static void mark_used(struct pf_loader *l, uint64_t adapter)
{
	find_last_use(l, adapter, true)->last_used_at = l->now;
}

/* Whether an order may be sent. The engine must be the incarnation that the
 * gateways named. */
static bool can_order(const struct pf_loader *l)
{
	return l->has_report && l->report_fresh && !l->order_in_flight &&
	       l->instance[0] && l->named_incarnation == l->report.incarnation;
}

static void send_order(struct pf_loader *l, bool load, const char *model,
		       const char *adapter)
{
	struct pf_loader_act a = { .type = PF_LOADER_CALL };

	a.call.seq = ++l->order_seq;
	a.call.load = load;
	a.call.instance = l->instance;
	a.call.model = model;
	a.call.adapter = adapter;
	a.call.expected_orders = l->report.orders_accepted;
	l->order_in_flight = true;
	l->report_fresh = false;
	l->order_deadline = l->now + l->opts.order_timeout;
	l->order_is_model = !adapter;
	l->last_order = (struct order_in_doubt){
		.model = pf_id(pf_str_c(model)),
		.load = load,
		.from_store = load && !adapter && l->loading_from_store,
		.expected_orders = l->report.orders_accepted,
		.sent_at = l->now,
	};
	if (adapter)
		l->last_order.adapter =
			pf_adapter_id(l->last_order.model, pf_str_c(adapter));
	if (!load) {
		/* Gateways must stop using the item now. */
		l->unloading = pf_id(pf_str_c(model));
		if (adapter)
			l->unloading =
				pf_adapter_id(l->unloading, pf_str_c(adapter));
		notify_state_changed(l);
	}
	emit(l, &a);
}

static uint32_t count_adapters(const struct pf_engine_report *r)
{
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i < r->n_items; i++)
		n += r->items[i].adapter != NULL;
	return n;
}

/*
 * Whether the engine, once it has accepted one more order after which it has
 * @n_adapters, may carry out any order in doubt that then has the right count:
 * one that was sent to an earlier incarnation. It would exceed its adapter slots
 * or, since the sizes of models aren't known here, perhaps its memory, of which
 * @loads_adapter takes some. Orders of models are the planner's concern.
 */
static bool leaves_room(const struct pf_loader *l, uint32_t n_adapters,
			bool loads_adapter)
{
	const struct pf_engine_report *r = &l->report;
	uint32_t i;

	for (i = 0; i < l->n_in_doubt; i++) {
		const struct order_in_doubt *o = &l->in_doubt[i];

		if (!o->load || o->expected_orders != r->orders_accepted + 1 ||
		    l->now - o->sent_at >= PF_ORDER_LATE_MS ||
		    pf_engine_report_find(r, o->model, o->adapter))
			continue;
		if (o->adapter ? n_adapters >= l->adapter_slots : loads_adapter)
			return false;
	}
	return true;
}

/* Sends the planner's order unless the engine has accepted another since. */
static bool start_model_order(struct pf_loader *l)
{
	if (!l->model_order.pending || l->report.busy)
		return false;
	l->model_order.pending = false;
#ifndef PF_MUTANT_LOADER_COUNT
	if (l->model_order.incarnation != l->report.incarnation ||
	    l->model_order.expected_orders != l->report.orders_accepted)
		return false;
#endif
	if (!leaves_room(l, count_adapters(&l->report), false))
		return false;
	if (l->model_order.load) {
		l->loading_model = pf_id(pf_str_c(l->model_order.model));
		l->loading_from_store = l->model_order.from_store;
		l->loading_ordered_at = l->now;
	}
	send_order(l, l->model_order.load, l->model_order.model, NULL);
	return true;
}

static bool adapter_in_use(const struct pf_loader *l, uint64_t adapter)
{
	uint32_t i;
	uint32_t k;

	for (i = 0; i < l->n_gateways; i++) {
		const struct gateway_usage *u = &l->gateways[i];

		if (l->now - u->reported_at > l->opts.usage_ttl)
			continue;
		for (k = 0; k < u->n_adapters; k++) {
			if (u->adapters[k] == adapter)
				return true;
		}
	}
	return false;
}

/* The least recently used adapter, or NULL if none is idle. */
static const struct pf_engine_report_item *pick_victim(struct pf_loader *l)
{
	const struct pf_engine_report_item *best = NULL;
	pf_ms best_at = l->now - l->opts.adapter_idle_min;
	uint32_t i;

	for (i = 0; i < l->report.n_items; i++) {
		const struct pf_engine_report_item *it = &l->report.items[i];
		const struct last_use *u;

		if (!it->adapter || it->loading ||
		    adapter_in_use(l, it->adapter_id))
			continue;
		u = find_last_use(l, it->adapter_id, false);
		if ((u ? u->last_used_at : 0) < best_at) {
			best = it;
			best_at = u ? u->last_used_at : 0;
		}
	}
	return best;
}

/* Whether @q must still be served; frees it if not. */
static bool request_is_open(struct pf_loader *l, struct adapter_request *q)
{
	if (!q->model[0])
		return false;
	if (l->now - q->requested_at > ADAPTER_REQUEST_TTL_MS ||
	    pf_engine_report_find(&l->report, q->model_id, q->adapter_id) ||
	    !pf_engine_report_find(&l->report, q->model_id, 0)) {
		q->model[0] = '\0';
		return false;
	}
	return true;
}

static void start_adapter_order(struct pf_loader *l)
{
	const struct pf_engine_report_item *victim;
	struct adapter_request *oldest = NULL;
	uint32_t i;

	/* An engine that loads or unloads a model refuses other orders. */
	if (l->report.busy || l->unloading)
		return;
	for (i = 0; i < ADAPTER_REQUESTS_MAX; i++) {
		struct adapter_request *q = &l->adapter_requests[i];

		if (request_is_open(l, q) &&
		    (!oldest || q->requested_at < oldest->requested_at))
			oldest = q;
	}
	if (!oldest)
		return;
#ifdef PF_MUTANT_LOADER_SLOTS
	if (count_adapters(&l->report) <= l->adapter_slots) {
#else
	if (count_adapters(&l->report) < l->adapter_slots) {
#endif
		if (leaves_room(l, count_adapters(&l->report) + 1, true))
			send_order(l, true, oldest->model, oldest->adapter);
		return;
	}
	victim = pick_victim(l);
	if (victim && leaves_room(l, count_adapters(&l->report) - 1, false))
		send_order(l, false, victim->model, victim->adapter);
}

static void start_next_order(struct pf_loader *l)
{
	if (!can_order(l))
		return;
	if (!start_model_order(l))
		start_adapter_order(l);
}

/* Clears the unloading item once it is gone. The engine keeps it until the
 * requests that use it have ended. */
static void check_unload_done(struct pf_loader *l)
{
	uint32_t i;

	if (!l->unloading || l->order_in_flight)
		return;
	for (i = 0; i < l->report.n_items; i++) {
		const struct pf_engine_report_item *it = &l->report.items[i];

		if ((it->adapter ? it->adapter_id : it->model_id) ==
			    l->unloading &&
		    l->now - l->last_answer_at < UNLOAD_TIMEOUT_MS)
			return;
	}
	l->unloading = 0;
}

/* A load in doubt that the engine is carrying out is shown in the state. */
static void show_late_load(struct pf_loader *l)
{
	const struct pf_engine_report *r = &l->report;
	uint32_t i;

	for (i = 0; r->busy && !l->loading_model && i < l->n_in_doubt; i++) {
		const struct order_in_doubt *o = &l->in_doubt[i];

		if (!o->load || o->adapter || o->void_for == r->incarnation ||
		    o->expected_orders + 1 != r->orders_accepted)
			continue;
		l->loading_model = o->model;
		l->loading_from_store = o->from_store;
		l->loading_ordered_at = l->now;
	}
}

static void on_report(struct pf_loader *l, struct pf_engine_report *r)
{
	bool changed;

	l->polling = false;
	if (!r) {
		l->next_poll_at = l->now + l->opts.poll_interval;
		return;
	}
	changed = !l->has_report ||
		  r->orders_accepted != l->report.orders_accepted ||
		  r->incarnation != l->report.incarnation ||
		  r->busy != l->report.busy ||
		  r->draining != l->report.draining ||
		  r->n_items != l->report.n_items;
	pf_engine_report_clear(&l->report);
	l->report = *r;
	memset(r, 0, sizeof(*r));
	l->has_report = true;
	l->report_received_at = l->now;
	if (!l->order_in_flight)
		l->report_fresh = true;
	if (!l->report.busy)
		l->loading_model = 0;
	show_late_load(l);
	check_unload_done(l);
	l->next_poll_at = l->now + l->opts.poll_interval;
	if (l->report.busy || count_adapters(&l->report) != 0)
		l->next_poll_at = l->now + l->opts.poll_interval / 2;
	if (changed)
		notify_state_changed(l);
	start_next_order(l);
}

static void set_instance(struct pf_loader *l, struct pf_str instance,
			 int64_t incarnation)
{
	/* The name of an earlier incarnation may arrive late. */
	if (incarnation < l->named_incarnation ||
	    !copy_name(l->instance, instance))
		return;
	l->named_incarnation = incarnation;
}

static void add_adapter_request(struct pf_loader *l,
				const struct pf_loader_usage *u)
{
	uint64_t model = pf_id(u->wanted_model);
	uint64_t adapter = pf_adapter_id(model, u->wanted_adapter);
	struct adapter_request *slot = NULL;
	uint32_t i;

	for (i = 0; i < ADAPTER_REQUESTS_MAX; i++) {
		struct adapter_request *q = &l->adapter_requests[i];

		if (q->model[0] && q->adapter_id == adapter)
			return;
		if (!slot && !q->model[0])
			slot = q;
	}
	if (!slot || !copy_name(slot->model, u->wanted_model) ||
	    !copy_name(slot->adapter, u->wanted_adapter))
		return;
	slot->model_id = model;
	slot->adapter_id = adapter;
	slot->requested_at = l->now;
}

/* A new slot, or NULL. */
static struct gateway_usage *add_gateway_slot(struct pf_loader *l)
{
	uint32_t cap = l->gateways_cap ? 2 * l->gateways_cap : 16;
	struct gateway_usage *v = l->gateways;

	if (l->n_gateways == GATEWAYS_MAX)
		return NULL;
	if (l->n_gateways == l->gateways_cap) {
		v = realloc(v, cap * sizeof(*v));
		if (!v)
			return NULL;
		l->gateways = v;
		l->gateways_cap = cap;
	}
	return &v[l->n_gateways++];
}

/* NULL without memory for the first one. */
static struct gateway_usage *gateway_slot(struct pf_loader *l, uint64_t gateway)
{
	struct gateway_usage *oldest = NULL;
	struct gateway_usage *u = NULL;
	uint32_t i;

	for (i = 0; i < l->n_gateways; i++) {
		if (l->gateways[i].gateway == gateway)
			return &l->gateways[i];
		if (!oldest || l->gateways[i].reported_at < oldest->reported_at)
			oldest = &l->gateways[i];
	}
	if (!oldest || l->now - oldest->reported_at <= l->opts.usage_ttl)
		u = add_gateway_slot(l);
	if (!u)
		u = oldest;
	if (u)
		u->gateway = gateway;
	return u;
}

static void on_usage(struct pf_loader *l, const struct pf_loader_usage *u)
{
	struct gateway_usage *g = gateway_slot(l, u->gateway);
	uint32_t i;

	set_instance(l, u->instance, u->incarnation);
	if (u->adapter_slots)
		l->adapter_slots = u->adapter_slots;
	if (!g)
		return;
	g->reported_at = l->now;
	g->n_adapters = 0;
	for (i = 0; i < u->n_in_use && g->n_adapters < GATEWAY_ADAPTERS_MAX;
	     i++) {
		mark_used(l, u->adapters_in_use[i]);
		g->adapters[g->n_adapters++] = u->adapters_in_use[i];
	}
	if (u->wanted_model.n && u->wanted_adapter.n) {
		mark_used(l, pf_adapter_id(pf_id(u->wanted_model),
					   u->wanted_adapter));
		add_adapter_request(l, u);
	}
	if (u->wanted_model.n &&
	    l->now - l->report_received_at > REPORT_FRESH_MS)
		poll_report(l);
	else
		start_next_order(l);
}

static void on_order(struct pf_loader *l, const struct pf_loader_order *o)
{
	set_instance(l, o->instance, o->incarnation);
	if (!copy_name(l->model_order.model, o->model))
		return;
	l->model_order.pending = true;
	l->model_order.load = o->load;
	l->model_order.from_store = o->from_store;
	l->model_order.expected_orders = o->expected_orders;
	l->model_order.incarnation = o->incarnation;
	if (l->now - l->report_received_at > REPORT_FRESH_MS)
		poll_report(l);
	else
		start_next_order(l);
}

/* Without memory, a late order is not expected. */
static void add_in_doubt(struct pf_loader *l, const struct order_in_doubt *o)
{
	struct pf_order_in_doubt *state;
	struct order_in_doubt *v;
	uint32_t cap;
	uint32_t i;

	for (i = 0; i < l->n_in_doubt; i++) {
		v = &l->in_doubt[i];
		if (v->model == o->model && v->adapter == o->adapter &&
		    v->load == o->load &&
		    v->expected_orders == o->expected_orders) {
			*v = *o;
			return;
		}
	}
	if (l->n_in_doubt == l->in_doubt_cap) {
		cap = l->in_doubt_cap * 2 + 8;
		v = realloc(l->in_doubt, cap * sizeof(*v));
		if (v)
			l->in_doubt = v;
		state = realloc(l->state_in_doubt, cap * sizeof(*state));
		if (state)
			l->state_in_doubt = state;
		if (!v || !state)
			return;
		l->in_doubt_cap = cap;
	}
	l->in_doubt[l->n_in_doubt++] = *o;
}

static void drop_expired(struct pf_loader *l)
{
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i < l->n_in_doubt; i++) {
		if (l->now - l->in_doubt[i].sent_at < PF_ORDER_LATE_MS)
			l->in_doubt[n++] = l->in_doubt[i];
	}
	l->n_in_doubt = n;
}

/* The engine has accepted an order: others with its count can't follow it in
 * this incarnation. */
static void void_in_doubt(struct pf_loader *l, uint64_t expected_orders)
{
	uint32_t i;

	for (i = 0; i < l->n_in_doubt; i++) {
		if (l->in_doubt[i].expected_orders == expected_orders)
			l->in_doubt[i].void_for = l->report.incarnation;
	}
}

static void on_answer(struct pf_loader *l, enum pf_loader_result result)
{
	l->order_in_flight = false;
	l->order_deadline = PF_NEVER;
	if (result == PF_LOADER_ACCEPTED)
		void_in_doubt(l, l->last_order.expected_orders);
	else if (result == PF_LOADER_IN_DOUBT)
		add_in_doubt(l, &l->last_order);
	if (result != PF_LOADER_ACCEPTED && l->order_is_model)
		l->loading_model = 0;
	if (result == PF_LOADER_REFUSED)
		l->unloading = 0;
	l->last_answer_at = l->now;
	l->next_poll_at = l->now + l->opts.order_poll_delay;
	if (result != PF_LOADER_REFUSED && l->order_is_model)
		notify_state_changed(l);
}

static void on_tick(struct pf_loader *l)
{
	drop_expired(l);
	if (l->order_in_flight && l->now >= l->order_deadline)
		on_answer(l, PF_LOADER_IN_DOUBT);
	if (l->now >= l->next_poll_at)
		poll_report(l);
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
		on_usage(l, &m->u.usage);
		break;
	case PF_LOADER_ORDER:
		on_order(l, &m->u.order);
		break;
	case PF_LOADER_ANSWER:
		/* A late answer doesn't count for the next order. */
		if (l->order_in_flight && m->u.answer.seq == l->order_seq)
			on_answer(l, m->u.answer.result);
		break;
	case PF_LOADER_TICK:
		on_tick(l);
		break;
	}
	l->sink = NULL;
}

pf_ms pf_loader_next(const struct pf_loader *l)
{
	pf_ms at = l->polling ? PF_NEVER : l->next_poll_at;

	return l->order_deadline < at ? l->order_deadline : at;
}

/* The entry of @model among @n residents, added if missing; NULL: no room. */
static struct pf_resident *resident_entry(struct pf_loader *l, uint32_t *n,
					  uint64_t model)
{
	uint32_t i;

	for (i = 0; i < *n; i++) {
		if (l->state_residents[i].model == model)
			return &l->state_residents[i];
	}
	if (*n >= PF_RESIDENTS_MAX)
		return NULL;
	l->state_residents[*n] =
		(struct pf_resident){ model, l->state_adapters[*n], 0 };
	return &l->state_residents[(*n)++];
}

/* Fills state_in_doubt; returns their number. */
static uint32_t list_in_doubt(struct pf_loader *l, pf_ms now)
{
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i < l->n_in_doubt; i++) {
		const struct order_in_doubt *o = &l->in_doubt[i];

		if (!o->adapter && now - o->sent_at < PF_ORDER_LATE_MS)
			l->state_in_doubt[n++] = (struct pf_order_in_doubt){
				o->model, o->expected_orders, o->load,
				now - o->sent_at
			};
	}
	return n;
}

void pf_loader_state(struct pf_loader *l, pf_ms now, struct pf_engine_state *s)
{
	const struct pf_engine_report *r = &l->report;
	uint32_t n_in_doubt = list_in_doubt(l, now);
	bool unlisted = false;
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i < r->n_items; i++) {
		const struct pf_engine_report_item *it = &r->items[i];
		struct pf_resident *m;

		if (it->loading ||
		    (l->unloading && (it->model_id == l->unloading ||
				      it->adapter_id == l->unloading)))
			continue;
		m = resident_entry(l, &n, it->model_id);
		unlisted |= !m;
		if (m && it->adapter && m->n_adapters < ADAPTERS_MAX)
			m->adapters[m->n_adapters++] = it->adapter_id;
	}
	*s = (struct pf_engine_state){
		.endpoint =
			l->instance[0] && l->named_incarnation == r->incarnation
				? pf_id(pf_str_c(l->instance))
				: 0,
		.incarnation = r->incarnation,
		.orders_accepted = r->orders_accepted,
		.busy = r->busy || unlisted ||
			(l->order_in_flight && l->order_is_model),
		.loading_model = l->loading_model,
		.loading_elapsed =
			l->loading_model ? now - l->loading_ordered_at : 0,
		.from_store = l->loading_model && l->loading_from_store,
		.draining = r->draining,
#ifndef PF_MUTANT_LOADER_HELD
		.unloading_model = l->unloading && pf_engine_report_find(
							   r, l->unloading, 0)
					   ? l->unloading
					   : 0,
#endif
		.running = r->running,
		.queued = r->queued,
		.kv_used = r->kv_used,
		.kv_total = r->kv_total,
		.residents = l->state_residents,
		.n_residents = n,
		.in_host_mem = r->in_host_mem,
		.n_in_host_mem = r->n_in_host_mem,
		.on_disk = r->on_disk,
		.n_on_disk = r->n_on_disk,
		.in_doubt = l->state_in_doubt,
		.n_in_doubt = n_in_doubt,
	};
}
