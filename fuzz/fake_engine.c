/* A small fake of an engine, with faults. */
#include "fuzz/fake_engine.h"

#include <stdio.h>
#include <string.h>

#define fault(e, ...)                                                          \
	do {                                                                   \
		if (!(e)->fault[0])                                            \
			snprintf((e)->fault, sizeof((e)->fault), __VA_ARGS__); \
	} while (0)

static bool chance(struct fake_engine *e, uint32_t percent)
{
	return !e->tidy && pf_rng_below(e->rng, 100) < percent;
}

void engine_send(struct fake_engine *e, const struct pf_agent_msg *m)
{
	struct engine_msg *slot;
	pf_ms due = e->now + pf_rng_below(e->rng, 30);

	if (e->n_msgs == ENGINE_MSGS)
		return;
	slot = &e->msgs[(e->first_msg + e->n_msgs++) % ENGINE_MSGS];
	e->msg_due = due > e->msg_due ? due : e->msg_due;
	slot->due = e->msg_due;
	slot->msg = *m;
	if (m->type == PF_AGENT_ENGINE_UP) {
		memcpy(slot->items, e->items, sizeof(e->items));
		slot->msg.u.inventory.items = slot->items;
	}
}

const struct pf_agent_msg *engine_next(struct fake_engine *e)
{
	struct engine_msg *slot = &e->msgs[e->first_msg];

	if (e->n_msgs == 0 || slot->due > e->now)
		return NULL;
	e->first_msg = (e->first_msg + 1) % ENGINE_MSGS;
	e->n_msgs--;
	if (slot->msg.type == PF_AGENT_ENGINE_UP) {
		e->heard = true;
		e->asked = false;
	}
	return &slot->msg;
}

static struct pf_agent_item *find_item(struct fake_engine *e, uint64_t id)
{
	for (uint32_t i = 0; i < e->n_items; i++)
		if (e->items[i].id == id)
			return &e->items[i];
	return NULL;
}

bool engine_has(const struct fake_engine *e, uint64_t item)
{
	for (uint32_t i = 0; i < e->n_items; i++)
		if (e->items[i].id == item)
			return e->items[i].state == PF_ITEM_RESIDENT;
	return false;
}

const struct engine_run *engine_run(const struct fake_engine *e,
				    struct pf_try id)
{
	for (uint32_t i = 0; i < e->n_runs; i++)
		if (e->runs[i].id.request == id.request &&
		    e->runs[i].id.attempt == id.attempt)
			return &e->runs[i];
	return NULL;
}

static int64_t run_bytes(const struct engine_run *r)
{
	return ((int64_t)r->work.prompt_tokens + r->limit) * r->kv_token_bytes;
}

static int64_t held(const struct fake_engine *e)
{
	int64_t sum = e->leak;

	for (uint32_t i = 0; i < e->n_items; i++)
		sum += e->items[i].bytes;
	for (uint32_t i = 0; i < e->n_runs; i++)
		sum += run_bytes(&e->runs[i]);
	return sum;
}

int64_t engine_bytes(const struct fake_engine *e)
{
	int64_t sum = held(e) - e->leak;

	for (uint32_t i = 0; i < e->n_orders; i++) {
		const struct engine_order *o = &e->orders[i];

		if (o->type == PF_AGENT_LOAD && !o->lost && !o->begun)
			sum += o->bytes;
	}
	return sum;
}

void engine_tell(struct fake_engine *e)
{
	struct pf_agent_msg m = { .type = PF_AGENT_ENGINE_UP };

	m.u.inventory.n_items = e->n_items;
	m.u.inventory.used_bytes = held(e);
	engine_send(e, &m);
}

static void send_end(struct fake_engine *e, struct pf_try id,
		     enum pf_finish_reason end, uint32_t total)
{
	struct pf_agent_msg m = { .type = PF_AGENT_RUN_END };

	m.u.end.id = id;
	m.u.end.finish_reason = end;
	m.u.end.total = total;
	engine_send(e, &m);
	/* One end for each run; a late double of the last one is harmless. */
	if (end != PF_FINISH_CANCELLED && chance(e, 3))
		engine_send(e, &m);
}

static void take_run(struct fake_engine *e, const struct pf_agent_act *act,
		     int64_t kv_token_bytes)
{
	const struct pf_work *w = act->u.run.work;
	struct engine_run *r = &e->runs[e->n_runs];
	uint32_t left = w->max_tokens - act->u.run.offset;

	if (engine_run(e, act->u.run.id))
		fault(e, "a second run of a try that runs");
	if (!(w->flags & PF_WORK_PLAIN) &&
	    (!engine_has(e, w->model) ||
	     (w->adapter && !engine_has(e, w->adapter))))
		fault(e, "a run whose model or adapter is not resident");
	if (act->u.run.limit > w->max_tokens)
		fault(e, "a limit beyond what the caller set");
	if (e->n_runs == ENGINE_RUNS) {
		fault(e, "more runs than any batch");
		return;
	}
	*r = (struct engine_run){ .id = act->u.run.id,
				  .work = *w,
				  .kv_token_bytes = kv_token_bytes,
				  .produced = act->u.run.offset,
				  .limit = act->u.run.limit };
	/* Most use little of what they asked for. */
	r->length =
		act->u.run.offset +
		(pf_rng_below(e->rng, 4) ? pf_rng_below(e->rng, left / 4 + 1)
					 : left);
	e->n_runs++;
}

static void take_grant(struct fake_engine *e, const struct pf_agent_act *act)
{
	struct engine_run *r =
		(struct engine_run *)engine_run(e, act->u.run.id);

	if (!r)
		return; /* it has just ended */
	if (act->u.run.limit <= r->limit)
		fault(e, "a grant that does not raise the limit");
	if (act->u.run.limit > r->work.max_tokens)
		fault(e, "a grant beyond what the caller set");
	r->limit = act->u.run.limit;
}

static void take_stop(struct fake_engine *e, struct pf_try id)
{
	struct engine_run *r = (struct engine_run *)engine_run(e, id);

	if (r && !chance(e, 5))
		r->stopping = true;
}

static void take_order(struct fake_engine *e, const struct pf_agent_act *act)
{
	struct engine_order *o = &e->orders[e->n_orders];
	pf_ms due = e->now + pf_rng_below(e->rng, chance(e, 10) ? 3000 : 50);

	if (e->n_orders == ENGINE_ORDERS) {
		fault(e, "too many orders under way");
		return;
	}
	/* A new question replaces the ones before. */
	if (act->type == PF_AGENT_INVENTORY) {
		e->asked = true;
		for (uint32_t i = 0; i < e->n_orders; i++)
			if (e->orders[i].type == PF_AGENT_INVENTORY)
				e->orders[i].lost = true;
		for (uint32_t i = 0; i < e->n_msgs; i++) {
			struct pf_agent_msg *m =
				&e->msgs[(e->first_msg + i) % ENGINE_MSGS].msg;

			if (m->type == PF_AGENT_ENGINE_UP)
				m->type = PF_AGENT_TICK;
		}
	}
	e->order_due = due > e->order_due ? due : e->order_due;
	*o = (struct engine_order){ .due = e->order_due, .type = act->type };
	o->lost = chance(e, 10);
	if (act->type != PF_AGENT_INVENTORY) {
		o->order = act->u.order.id;
		o->item = act->u.order.item;
		o->bytes = act->u.order.bytes;
	}
	e->n_orders++;
}

void engine_take(struct fake_engine *e, const struct pf_agent_act *act,
		 int64_t kv_token_bytes)
{
	if (!e->up || !e->heard)
		return;
	switch (act->type) {
	case PF_AGENT_RUN:
		take_run(e, act, kv_token_bytes);
		break;
	case PF_AGENT_GRANT:
		take_grant(e, act);
		break;
	case PF_AGENT_STOP:
		take_stop(e, act->u.id);
		break;
	case PF_AGENT_LOAD:
	case PF_AGENT_UNLOAD:
	case PF_AGENT_INVENTORY:
		take_order(e, act);
		break;
	default:
		break;
	}
}

static void answer(struct fake_engine *e, const struct engine_order *o, bool ok)
{
	struct pf_agent_msg m = { .type = PF_AGENT_ORDER_DONE };

	m.u.order.id = o->order;
	m.u.order.ok = ok;
	if (chance(e, 10))
		return;
	engine_send(e, &m);
	if (chance(e, 5))
		engine_send(e, &m);
}

static bool in_use(const struct fake_engine *e, uint64_t item)
{
	for (uint32_t i = 0; i < e->n_runs; i++)
		if (e->runs[i].work.model == item ||
		    e->runs[i].work.adapter == item)
			return true;
	return false;
}

/* The order arrives. Whether it goes on until it is done. */
static bool begin(struct fake_engine *e, struct engine_order *o)
{
	struct pf_agent_item *it = find_item(e, o->item);

	if (o->lost)
		return false;
	/* A new agent with a full table may not know of an item. */
	if (chance(e, 10) || (e->orphan && it && o->type == PF_AGENT_LOAD)) {
		answer(e, o, false);
		return false;
	}
	if (o->type == PF_AGENT_LOAD && !it && e->n_items < ENGINE_ITEMS) {
		e->items[e->n_items++] =
			(struct pf_agent_item){ o->item, PF_ITEM_LOADING,
						o->bytes };
	} else if (o->type == PF_AGENT_UNLOAD && it &&
		   it->state == PF_ITEM_RESIDENT) {
		if (in_use(e, o->item))
			fault(e, "an unload of what is in use");
		it->state = PF_ITEM_UNLOADING;
	} else {
		fault(e, "an order that does not fit what is held");
		return false;
	}
	o->begun = true;
	o->due = e->now + 20 + pf_rng_below(e->rng, 300);
	return true;
}

static void complete(struct fake_engine *e, struct engine_order *o)
{
	struct pf_agent_item *it = find_item(e, o->item);

	if (o->type == PF_AGENT_LOAD)
		it->state = PF_ITEM_RESIDENT;
	else
		*it = e->items[--e->n_items];
	answer(e, o, true);
}

static void work_orders(struct fake_engine *e)
{
	for (uint32_t i = 0; i < e->n_orders;) {
		struct engine_order *o = &e->orders[i];
		bool stays = false;

		if (o->due > e->now) {
			i++;
			continue;
		}
		if (o->type == PF_AGENT_INVENTORY) {
			if (!o->lost)
				engine_tell(e);
		} else if (o->begun) {
			complete(e, o);
		} else {
			stays = begin(e, o);
		}
		if (stays) {
			i++;
			continue;
		}
		e->n_orders--;
		memmove(o, o + 1, (e->n_orders - i) * sizeof(*o));
	}
}

static void produce(struct fake_engine *e, struct engine_run *r)
{
	struct pf_agent_msg m = { .type = PF_AGENT_TOKENS };
	uint32_t end = r->length < r->limit ? r->length : r->limit;
	uint32_t n = 1 + pf_rng_below(e->rng, 8);

	if (r->produced >= end)
		return;
	if (n > end - r->produced)
		n = end - r->produced;
	m.u.tokens.id = r->id;
	m.u.tokens.offset = r->produced;
	m.u.tokens.count = n;
	r->produced += n;
	engine_send(e, &m);
	if (chance(e, 2))
		engine_send(e, &m);
}

/* Whether the run has ended. */
static bool work_run(struct fake_engine *e, struct engine_run *r)
{
	if (r->stopping && pf_rng_below(e->rng, 3) == 0) {
		send_end(e, r->id, PF_FINISH_CANCELLED, r->produced);
		return true;
	}
	if (chance(e, 1) && pf_rng_below(e->rng, 4) == 0) {
		send_end(e, r->id, PF_FINISH_CANCELLED, r->produced);
		return true;
	}
	if (pf_rng_below(e->rng, 2))
		produce(e, r);
	if (r->produced < r->length || pf_rng_below(e->rng, 3))
		return false;
	send_end(e, r->id, chance(e, 5) ? PF_FINISH_ERROR : PF_FINISH_STOP,
		 r->produced);
	return true;
}

void engine_work(struct fake_engine *e, pf_ms now)
{
	e->now = now;
	if (!e->up)
		return;
	work_orders(e);
	for (uint32_t i = 0; i < e->n_runs;) {
		if (work_run(e, &e->runs[i]))
			e->runs[i] = e->runs[--e->n_runs];
		else
			i++;
	}
}

void engine_orphan(struct fake_engine *e)
{
	uint32_t n = 0;

	/* What has begun goes on; nothing else can still arrive. */
	for (uint32_t i = 0; i < e->n_orders; i++)
		if (e->orders[i].begun)
			e->orders[n++] = e->orders[i];
	e->n_orders = n;
	e->orphan = true;
	e->n_runs = 0;
	e->n_msgs = 0;
	e->asked = false;
	e->heard = false;
}

void engine_crash(struct fake_engine *e)
{
	struct pf_agent_msg m = { .type = PF_AGENT_ENGINE_DOWN };

	/* Inventories of the old engine are not delivered any more. */
	for (uint32_t i = 0; i < e->n_msgs; i++) {
		struct pf_agent_msg *q =
			&e->msgs[(e->first_msg + i) % ENGINE_MSGS].msg;

		if (q->type == PF_AGENT_ENGINE_UP)
			q->type = PF_AGENT_TICK;
	}
	e->up = false;
	e->heard = false;
	e->asked = false;
	e->orphan = false;
	e->n_items = 0;
	e->n_runs = 0;
	e->n_orders = 0;
	e->leak = 0;
	engine_send(e, &m);
}

void engine_start(struct fake_engine *e)
{
	e->up = true;
	engine_tell(e);
}
