/* Fake engine with fault injection. */
#include "fuzz/fake_engine.h"

#include <stdio.h>
#include <string.h>

#define set_violation(e, ...)                                            \
	do {                                                             \
		if (!(e)->violation[0])                                  \
			snprintf((e)->violation, sizeof((e)->violation), \
				 __VA_ARGS__);                           \
	} while (0)

static bool fault_occurs(struct fake_engine *e, uint32_t percent)
{
	return !e->faultless && pf_rng_below(e->rng, 100) < percent;
}

void engine_send_msg(struct fake_engine *e, const struct pf_agent_msg *m)
{
	struct engine_msg *slot;
	pf_ms due = e->now + pf_rng_below(e->rng, 30);

	if (e->n_msgs == ENGINE_MSGS_MAX)
		return;
	slot = &e->msgs[(e->first_msg + e->n_msgs++) % ENGINE_MSGS_MAX];
	e->last_msg_at = due > e->last_msg_at ? due : e->last_msg_at;
	slot->deliver_at = e->last_msg_at;
	slot->msg = *m;
	if (m->type == PF_AGENT_ENGINE_UP) {
		memcpy(slot->items, e->items, sizeof(e->items));
		slot->msg.u.inventory.items = slot->items;
	}
}

const struct pf_agent_msg *engine_next_msg(struct fake_engine *e)
{
	struct engine_msg *slot = &e->msgs[e->first_msg];

	if (e->n_msgs == 0 || slot->deliver_at > e->now)
		return NULL;
	e->first_msg = (e->first_msg + 1) % ENGINE_MSGS_MAX;
	e->n_msgs--;
	if (slot->msg.type == PF_AGENT_ENGINE_UP) {
		e->up_delivered = true;
		e->inventory_requested = false;
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

bool engine_has_resident(const struct fake_engine *e, uint64_t item)
{
	for (uint32_t i = 0; i < e->n_items; i++)
		if (e->items[i].id == item)
			return e->items[i].state == PF_ITEM_RESIDENT;
	return false;
}

const struct engine_run *engine_find_run(const struct fake_engine *e,
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

static int64_t used_bytes(const struct fake_engine *e)
{
	int64_t sum = e->unexplained_bytes;

	for (uint32_t i = 0; i < e->n_items; i++)
		sum += e->items[i].bytes;
	for (uint32_t i = 0; i < e->n_runs; i++)
		sum += run_bytes(&e->runs[i]);
	return sum;
}

int64_t engine_promised_bytes(const struct fake_engine *e)
{
	int64_t sum = used_bytes(e) - e->unexplained_bytes;

	for (uint32_t i = 0; i < e->n_orders; i++) {
		const struct engine_order *o = &e->orders[i];

		if (o->type == PF_AGENT_LOAD && !o->dropped && !o->started)
			sum += o->bytes;
	}
	return sum;
}

void engine_send_inventory(struct fake_engine *e)
{
	struct pf_agent_msg m = { .type = PF_AGENT_ENGINE_UP };

	m.u.inventory.n_items = e->n_items;
	m.u.inventory.used_bytes = used_bytes(e);
	engine_send_msg(e, &m);
}

static void send_end(struct fake_engine *e, struct pf_try id,
		     enum pf_finish_reason end, uint32_t total)
{
	struct pf_agent_msg m = { .type = PF_AGENT_RUN_END };

	m.u.end.id = id;
	m.u.end.finish_reason = end;
	m.u.end.total = total;
	engine_send_msg(e, &m);
	/* One end per RUN; a late duplicate of the last one must do no harm. */
	if (end != PF_FINISH_CANCELLED && fault_occurs(e, 3))
		engine_send_msg(e, &m);
}

static void handle_run(struct fake_engine *e, const struct pf_agent_act *act,
		       int64_t kv_token_bytes)
{
	const struct pf_work *w = act->u.run.work;
	struct engine_run *r = &e->runs[e->n_runs];
	uint32_t left = w->max_tokens - act->u.run.offset;

	if (engine_find_run(e, act->u.run.id))
		set_violation(e, "RUN of a try that is running");
	if (!(w->flags & PF_WORK_PLAIN) &&
	    (!engine_has_resident(e, w->model) ||
	     (w->adapter && !engine_has_resident(e, w->adapter))))
		set_violation(e, "RUN with its model or adapter not resident");
	if (act->u.run.limit > w->max_tokens)
		set_violation(e, "RUN with a limit above max_tokens");
	if (e->n_runs == ENGINE_RUNS_MAX) {
		set_violation(e, "more runs than any batch holds");
		return;
	}
	*r = (struct engine_run){ .id = act->u.run.id,
				  .work = *w,
				  .kv_token_bytes = kv_token_bytes,
				  .produced = act->u.run.offset,
				  .limit = act->u.run.limit };
	/* Most runs end far below max_tokens. */
	r->stop_after =
		act->u.run.offset +
		(pf_rng_below(e->rng, 4) ? pf_rng_below(e->rng, left / 4 + 1)
					 : left);
	e->n_runs++;
}

static void handle_grant(struct fake_engine *e, const struct pf_agent_act *act)
{
	struct engine_run *r =
		(struct engine_run *)engine_find_run(e, act->u.run.id);

	if (!r)
		return; /* it has ended meanwhile */
	if (act->u.run.limit <= r->limit)
		set_violation(e, "GRANT that does not raise the limit");
	if (act->u.run.limit > r->work.max_tokens)
		set_violation(e, "GRANT above max_tokens");
	r->limit = act->u.run.limit;
}

static void handle_stop(struct fake_engine *e, struct pf_try id)
{
	struct engine_run *r = (struct engine_run *)engine_find_run(e, id);

	if (r && !fault_occurs(e, 5))
		r->stopping = true;
}

static void handle_order(struct fake_engine *e, const struct pf_agent_act *act)
{
	struct engine_order *o = &e->orders[e->n_orders];
	pf_ms due =
		e->now + pf_rng_below(e->rng, fault_occurs(e, 10) ? 3000 : 50);

	if (e->n_orders == ENGINE_ORDERS_MAX) {
		set_violation(e, "too many orders in flight");
		return;
	}
	/* A new request replaces the pending ones. */
	if (act->type == PF_AGENT_INVENTORY) {
		e->inventory_requested = true;
		for (uint32_t i = 0; i < e->n_orders; i++)
			if (e->orders[i].type == PF_AGENT_INVENTORY)
				e->orders[i].dropped = true;
		for (uint32_t i = 0; i < e->n_msgs; i++) {
			struct pf_agent_msg *m =
				&e->msgs[(e->first_msg + i) % ENGINE_MSGS_MAX]
					 .msg;

			if (m->type == PF_AGENT_ENGINE_UP)
				m->type = PF_AGENT_TICK;
		}
	}
	e->last_order_at = due > e->last_order_at ? due : e->last_order_at;
	*o = (struct engine_order){ .next_at = e->last_order_at,
				    .type = act->type };
	o->dropped = fault_occurs(e, 10);
	if (act->type != PF_AGENT_INVENTORY) {
		o->order = act->u.order.id;
		o->item = act->u.order.item;
		o->bytes = act->u.order.bytes;
	}
	e->n_orders++;
}

void engine_handle_act(struct fake_engine *e, const struct pf_agent_act *act,
		       int64_t kv_token_bytes)
{
	if (!e->up || !e->up_delivered)
		return;
	switch (act->type) {
	case PF_AGENT_RUN:
		handle_run(e, act, kv_token_bytes);
		break;
	case PF_AGENT_GRANT:
		handle_grant(e, act);
		break;
	case PF_AGENT_STOP:
		handle_stop(e, act->u.id);
		break;
	case PF_AGENT_LOAD:
	case PF_AGENT_UNLOAD:
	case PF_AGENT_INVENTORY:
		handle_order(e, act);
		break;
	default:
		break;
	}
}

static void answer_order(struct fake_engine *e, const struct engine_order *o,
			 bool ok)
{
	struct pf_agent_msg m = { .type = PF_AGENT_ORDER_DONE };

	m.u.order.id = o->order;
	m.u.order.ok = ok;
	if (fault_occurs(e, 10))
		return;
	engine_send_msg(e, &m);
	if (fault_occurs(e, 5))
		engine_send_msg(e, &m);
}

static bool is_used(const struct fake_engine *e, uint64_t item)
{
	for (uint32_t i = 0; i < e->n_runs; i++)
		if (e->runs[i].work.model == item ||
		    e->runs[i].work.adapter == item)
			return true;
	return false;
}

/* Returns whether the order is in progress now. */
static bool start_order(struct fake_engine *e, struct engine_order *o)
{
	struct pf_agent_item *it = find_item(e, o->item);

	if (o->dropped)
		return false;
	/* A new agent with a full table may order a load of a held item. */
	if (fault_occurs(e, 10) ||
	    (e->agent_replaced && it && o->type == PF_AGENT_LOAD)) {
		answer_order(e, o, false);
		return false;
	}
	if (o->type == PF_AGENT_LOAD && !it && e->n_items < ENGINE_ITEMS_MAX) {
		e->items[e->n_items++] =
			(struct pf_agent_item){ o->item, PF_ITEM_LOADING,
						o->bytes };
	} else if (o->type == PF_AGENT_UNLOAD && it &&
		   it->state == PF_ITEM_RESIDENT) {
		if (is_used(e, o->item))
			set_violation(e, "UNLOAD of an item in use");
		it->state = PF_ITEM_UNLOADING;
	} else {
		set_violation(e,
			      "order that does not fit the state of its item");
		return false;
	}
	o->started = true;
	o->next_at = e->now + 20 + pf_rng_below(e->rng, 300);
	return true;
}

static void complete_order(struct fake_engine *e, struct engine_order *o)
{
	struct pf_agent_item *it = find_item(e, o->item);

	if (o->type == PF_AGENT_LOAD)
		it->state = PF_ITEM_RESIDENT;
	else
		*it = e->items[--e->n_items];
	answer_order(e, o, true);
}

static void advance_orders(struct fake_engine *e)
{
	for (uint32_t i = 0; i < e->n_orders;) {
		struct engine_order *o = &e->orders[i];
		bool in_progress = false;

		if (o->next_at > e->now) {
			i++;
			continue;
		}
		if (o->type == PF_AGENT_INVENTORY) {
			if (!o->dropped)
				engine_send_inventory(e);
		} else if (o->started) {
			complete_order(e, o);
		} else {
			in_progress = start_order(e, o);
		}
		if (in_progress) {
			i++;
			continue;
		}
		e->n_orders--;
		memmove(o, o + 1, (e->n_orders - i) * sizeof(*o));
	}
}

static void produce_tokens(struct fake_engine *e, struct engine_run *r)
{
	struct pf_agent_msg m = { .type = PF_AGENT_TOKENS };
	uint32_t end = r->stop_after < r->limit ? r->stop_after : r->limit;
	uint32_t n = 1 + pf_rng_below(e->rng, 8);

	if (r->produced >= end)
		return;
	if (n > end - r->produced)
		n = end - r->produced;
	m.u.tokens.id = r->id;
	m.u.tokens.offset = r->produced;
	m.u.tokens.count = n;
	r->produced += n;
	engine_send_msg(e, &m);
	if (fault_occurs(e, 2))
		engine_send_msg(e, &m);
}

/* Returns whether the run has ended. */
static bool advance_run(struct fake_engine *e, struct engine_run *r)
{
	if (r->stopping && pf_rng_below(e->rng, 3) == 0) {
		send_end(e, r->id, PF_FINISH_CANCELLED, r->produced);
		return true;
	}
	if (fault_occurs(e, 1) && pf_rng_below(e->rng, 4) == 0) {
		send_end(e, r->id, PF_FINISH_CANCELLED, r->produced);
		return true;
	}
	if (pf_rng_below(e->rng, 2))
		produce_tokens(e, r);
	if (r->produced < r->stop_after || pf_rng_below(e->rng, 3))
		return false;
	send_end(e, r->id,
		 fault_occurs(e, 5) ? PF_FINISH_ERROR : PF_FINISH_STOP,
		 r->produced);
	return true;
}

void engine_advance(struct fake_engine *e, pf_ms now)
{
	e->now = now;
	if (!e->up)
		return;
	advance_orders(e);
	for (uint32_t i = 0; i < e->n_runs;) {
		if (advance_run(e, &e->runs[i]))
			e->runs[i] = e->runs[--e->n_runs];
		else
			i++;
	}
}

void engine_replace_agent(struct fake_engine *e)
{
	uint32_t n = 0;

	/* Started orders go on; those in transit are lost. */
	for (uint32_t i = 0; i < e->n_orders; i++)
		if (e->orders[i].started)
			e->orders[n++] = e->orders[i];
	e->n_orders = n;
	e->agent_replaced = true;
	e->n_runs = 0;
	e->n_msgs = 0;
	e->inventory_requested = false;
	e->up_delivered = false;
}

void engine_crash(struct fake_engine *e)
{
	struct pf_agent_msg m = { .type = PF_AGENT_ENGINE_DOWN };

	/* Queued inventories from before the crash are not delivered. */
	for (uint32_t i = 0; i < e->n_msgs; i++) {
		struct pf_agent_msg *q =
			&e->msgs[(e->first_msg + i) % ENGINE_MSGS_MAX].msg;

		if (q->type == PF_AGENT_ENGINE_UP)
			q->type = PF_AGENT_TICK;
	}
	e->up = false;
	e->up_delivered = false;
	e->inventory_requested = false;
	e->agent_replaced = false;
	e->n_items = 0;
	e->n_runs = 0;
	e->n_orders = 0;
	e->unexplained_bytes = 0;
	engine_send_msg(e, &m);
}

void engine_start(struct fake_engine *e)
{
	e->up = true;
	engine_send_inventory(e);
}
