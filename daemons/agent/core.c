/* Steps the agent core and carries out its acts. */
#include "daemon.h"

#include <stdlib.h>
#include <string.h>

static void send_id_message(struct daemon *d, uint64_t entry,
			    enum pf_wire_type type, struct pf_try id)
{
	struct pf_wire_msg m = { .type = type };

	m.u.id = id;
	links_send(d, entry, &m);
}

static void remove_try(struct daemon *d, struct pf_try id)
{
	struct try_slot *s = tries_find(&d->tries, id);

	if (s)
		tries_remove(d, s);
}

static void on_started(struct daemon *d, const struct pf_agent_act *act)
{
	struct try_slot *s = tries_find(&d->tries, act->u.id);

	send_id_message(d, act->entry, PF_WIRE_STARTED, act->u.id);
	/* A duplicate of a try that has ended: free its slot. */
	if (s && s->executions == 0)
		tries_remove(d, s);
}

static void on_piece(struct daemon *d, const struct pf_agent_act *act)
{
	struct pf_wire_msg m = { .type = PF_WIRE_PIECE };

	m.u.piece.id = act->u.tokens.id;
	m.u.piece.offset = act->u.tokens.offset;
	m.u.piece.lens = d->piece_lens;
	m.u.piece.count = d->piece_count;
	m.u.piece.text = d->piece_text;
	d->counters.v[PF_AC_TOKENS] += d->piece_count;
	links_send(d, act->entry, &m);
}

static void on_done(struct daemon *d, const struct pf_agent_act *act)
{
	struct try_slot *s = tries_find(&d->tries, act->u.done.id);
	struct pf_wire_msg m = { .type = PF_WIRE_DONE };

	m.u.done.id = act->u.done.id;
	m.u.done.total = act->u.done.total;
	m.u.done.error = act->u.done.finish_reason == PF_FINISH_ERROR ||
			 act->u.done.finish_reason == PF_FINISH_CANCELLED;
	m.u.done.at_limit = act->u.done.finish_reason == PF_FINISH_LIMIT;
	if (s) {
		m.u.done.status = s->answer_status;
		m.u.done.content_type = pf_str_c(s->answer_content_type);
		m.u.done.body = pf_text_str(&s->answer_body);
	}
	links_send(d, act->entry, &m);
	if (s && !m.u.done.error)
		claims_result(d, s->id, s);
	else
		claims_lost(d, act->u.done.id);
	if (s)
		tries_remove(d, s);
}

static void on_not_run(struct daemon *d, const struct pf_agent_act *act)
{
	struct pf_wire_msg m = { .type = PF_WIRE_NOT_RUN };

	m.u.not_run.id = act->u.not_run.id;
	m.u.not_run.reason = act->u.not_run.reason;
	m.u.not_run.retry_after = act->u.not_run.retry_after;
	d->counters.v[PF_AC_NOT_RUN]++;
	links_send(d, act->entry, &m);
	remove_try(d, act->u.not_run.id);
}

static void on_lost(struct daemon *d, const struct pf_agent_act *act)
{
	struct pf_wire_msg m = { .type = PF_WIRE_LOST };

	m.u.lost.id = act->u.lost.id;
	m.u.lost.reason = act->u.lost.reason;
	m.u.lost.produced = act->u.lost.produced;
	links_send(d, act->entry, &m);
	claims_lost(d, act->u.lost.id);
	remove_try(d, act->u.lost.id);
}

static void on_run(struct daemon *d, const struct pf_agent_act *act)
{
	struct try_slot *s = tries_find(&d->tries, act->u.run.id);

	if (!s) {
		agent_run_ended(d, act->u.run.id, PF_FINISH_ERROR,
				act->u.run.offset);
		return;
	}
	if (d->plain)
		plain_start(d, s);
	else
		runs_start(d, s, act->u.run.work, act->u.run.offset,
			   act->u.run.limit);
}

static void on_stop(struct daemon *d, const struct pf_agent_act *act)
{
	struct try_slot *s = tries_find(&d->tries, act->u.id);

	if (!s)
		agent_run_ended(d, act->u.id, PF_FINISH_CANCELLED, 0);
	else if (d->plain)
		plain_stop(d, s);
	else
		runs_stop(d, s);
}

static void on_claim(struct daemon *d, const struct pf_agent_act *act)
{
	claims_request(d, act->u.run.id, act->u.run.work);
}

static void on_act(void *ctx, const struct pf_agent_act *act)
{
	struct pf_wire_msg m = { .type = PF_WIRE_REPORT };
	struct daemon *d = ctx;
	struct try_slot *s;

	switch (act->type) {
	case PF_AGENT_STARTED:
		on_started(d, act);
		break;
	case PF_AGENT_PIECE:
		on_piece(d, act);
		break;
	case PF_AGENT_DONE:
		on_done(d, act);
		break;
	case PF_AGENT_NOT_RUN:
		on_not_run(d, act);
		break;
	case PF_AGENT_REVOKED:
		send_id_message(d, act->entry, PF_WIRE_REVOKED, act->u.id);
		remove_try(d, act->u.id);
		break;
	case PF_AGENT_LOST:
		on_lost(d, act);
		break;
	case PF_AGENT_REPORT:
		m.u.report = act->u.report;
		claims_report(d, &m.u.report);
		links_send_all(d, &m);
		break;
	case PF_AGENT_RUN:
		on_run(d, act);
		break;
	case PF_AGENT_GRANT:
		s = tries_find(&d->tries, act->u.run.id);
		if (s)
			runs_grant(d, s, act->u.run.limit);
		break;
	case PF_AGENT_STOP:
		on_stop(d, act);
		break;
	case PF_AGENT_LOAD:
	case PF_AGENT_UNLOAD:
		orders_send(d, act);
		break;
	case PF_AGENT_INVENTORY:
		d->watch.core_awaits_inventory = true;
		watch_poll_now(d);
		break;
	case PF_AGENT_CLAIM:
		on_claim(d, act);
		break;
	case PF_AGENT_VOID:
		claims_void(d, act->u.id);
		break;
	case PF_AGENT_DRAINED:
		d->core_drained = true;
		break;
	}
}

static void arm_core_timer(struct daemon *d, pf_ms now)
{
	pf_ms due = pf_agent_next(d->core);

	if (due == d->core_tick_at)
		return;
	d->core_tick_at = due;
	pf_clock_arm(d->core_timer, now, due);
}

void agent_step(struct daemon *d, const struct pf_agent_msg *m)
{
	const struct pf_agent_sink sink = { on_act, d };
	pf_ms now = pf_clock_now();

	PF_INVARIANT("agent steps do not nest", !d->in_step);
	d->in_step = true;
	pf_agent_step(d->core, now, m, &sink);
	d->in_step = false;
	arm_core_timer(d, now);
}

void agent_enqueue(struct daemon *d, const struct pf_agent_msg *m)
{
	if (d->n_pending_msgs == d->pending_msgs_capacity) {
		uint32_t cap = d->pending_msgs_capacity
				       ? 2 * d->pending_msgs_capacity
				       : 16;
		struct pf_agent_msg *v =
			realloc(d->pending_msgs, cap * sizeof(*v));

		PF_INVARIANT("pending messages have memory", v);
		d->pending_msgs = v;
		d->pending_msgs_capacity = cap;
	}
	d->pending_msgs[d->n_pending_msgs++] = *m;
	event_active(d->pending_msgs_event, 0, 0);
}

void agent_run_ended(struct daemon *d, struct pf_try id,
		     enum pf_finish_reason end, uint32_t total)
{
	struct pf_agent_msg m = { .type = PF_AGENT_RUN_END };

	m.u.end.id = id;
	m.u.end.finish_reason = end;
	m.u.end.total = total;
	if (d->in_step)
		agent_enqueue(d, &m);
	else
		agent_step(d, &m);
}

static void on_pending_msgs(evutil_socket_t fd, short what, void *ctx)
{
	struct daemon *d = ctx;
	struct pf_agent_msg m;

	(void)fd;
	(void)what;
	while (d->n_pending_msgs > 0) {
		m = d->pending_msgs[0];
		d->n_pending_msgs--;
		memmove(d->pending_msgs, d->pending_msgs + 1,
			d->n_pending_msgs * sizeof(d->pending_msgs[0]));
		agent_step(d, &m);
	}
}

static void on_timer(evutil_socket_t fd, short what, void *ctx)
{
	static const struct pf_agent_msg tick = { .type = PF_AGENT_TICK };
	struct daemon *d = ctx;

	(void)fd;
	(void)what;
	d->core_tick_at = PF_NEVER;
	agent_step(d, &tick);
}

int core_start(struct daemon *d)
{
	struct pf_agent_opts o = d->settings.core;

	o.agent = d->id;
	o.incarnation = d->incarnation;
	o.kind = d->kind;
	o.memory_bytes = d->memory_bytes;
	if (d->batch_max > 0)
		o.batch_max = d->batch_max;
	if (o.runs_max < o.batch_max + o.queue_max)
		o.runs_max = o.batch_max + o.queue_max;
	d->core_tick_at = PF_NEVER;
	d->core = pf_agent_new(&o);
	d->core_timer = evtimer_new(d->base, on_timer, d);
	d->pending_msgs_event = event_new(d->base, -1, 0, on_pending_msgs, d);
	if (!d->core || !d->core_timer || !d->pending_msgs_event)
		return -1;
	/* One more for a try that the core is about to refuse. */
	return tries_init(&d->tries, o.runs_max + 1);
}

void core_stop(struct daemon *d)
{
	tries_free(&d->tries);
	pf_agent_free(d->core);
	free(d->pending_msgs);
	if (d->core_timer)
		event_free(d->core_timer);
	if (d->pending_msgs_event)
		event_free(d->pending_msgs_event);
}
