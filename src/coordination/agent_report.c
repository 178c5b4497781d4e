/* Load reports to the entries. */
#include "agent_core.h"

static uint32_t fill_items(struct pf_agent *a)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < a->n_items; i++) {
		enum pf_item_state state = item_state(a, i);

		if (a->items[i].id == 0 || state == PF_ITEM_ABSENT)
			continue;
		a->report_items[n].id = a->items[i].id;
		a->report_items[n].state = state;
		a->report_items[n].running = a->items[i].running;
		n++;
	}
	return n;
}

void agent_report(struct pf_agent *a)
{
	struct pf_agent_act act = { .type = PF_AGENT_REPORT };
	struct pf_report *r = &act.u.report;

	a->next_report_at = a->now + a->opts.report_every;
	r->agent = a->opts.agent;
	r->incarnation = a->opts.incarnation;
	r->seq = ++a->report_seq;
	r->running = a->lists[RUN_RUNNING].n + a->lists[RUN_STOPPING].n;
	r->queued = a->lists[RUN_QUEUED].n + a->lists[RUN_CLAIMING].n;
	r->queue_max = a->opts.queue_max;
	r->batch_max = a->opts.batch_max;
	r->started = a->n_accepted;
	if (!is_plain(a)) {
		r->kv_free = pf_ledger_available(&a->ledger);
		r->kv_total = a->ledger.capacity_bytes - a->ledger.items_bytes;
	}
	r->step_ms = a->step_ms;
	r->token_prefill_ms = a->prefill_token_ms;
	r->leaving = a->draining;
	r->ready = agent_ready(a) && !a->draining;
	r->items = a->report_items;
	r->n_items = fill_items(a);
	agent_emit(a, &act);
}
