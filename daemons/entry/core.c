/* Drives the entry core: passes messages to it and carries out its acts. */
#include "daemon.h"

#include <inttypes.h>
#include <stdio.h>

static void send_id(struct daemon *d, uint64_t agent, enum pf_wire_type type,
		    struct pf_try id)
{
	struct pf_wire_msg m = { .type = type };

	m.u.id = id;
	links_send(d, agent, &m);
}

static void send_try(struct daemon *d, const struct pf_entry_act *act)
{
	struct request *r = requests_find(d, act->u.try_.id.request);
	struct pf_wire_msg m = { .type = PF_WIRE_TRY };

	if (!r)
		return;
	m.u.try_.id = act->u.try_.id;
	m.u.try_.work = *act->u.try_.work;
	m.u.try_.payload = r->payload;
	m.u.try_.payload.prior = pf_text_str(&r->output);
	links_send(d, act->agent, &m);
}

static size_t sum_lens(const uint32_t *lens, uint32_t n)
{
	size_t sum = 0;
	uint32_t i;

	for (i = 0; i < n; i++)
		sum += lens[i];
	return sum;
}

static void deliver(struct daemon *d, const struct pf_entry_act *act)
{
	struct request *r = requests_find(d, act->u.deliver.request);
	const struct pf_wire_msg *w = d->current_msg;
	struct pf_str text;

	if (!r || !w || w->type != PF_WIRE_PIECE)
		return;
	PF_INVARIANT("delivered tokens are in the current piece",
		     act->u.deliver.skip + act->u.deliver.count <=
			     w->u.piece.count);
	PF_INVARIANT("delivered tokens continue the output",
		     act->u.deliver.offset == r->output_tokens);
	text.p = w->u.piece.text.p +
		 sum_lens(w->u.piece.lens, act->u.deliver.skip);
	text.n = sum_lens(w->u.piece.lens + act->u.deliver.skip,
			  act->u.deliver.count);
	pf_text_add(&r->output, text);
	r->output_tokens += act->u.deliver.count;
	d->counters.v[PF_EC_TOKENS] += act->u.deliver.count;
	answer_text(r, text);
}

static void count_end(struct daemon *d, const struct pf_entry_act *act)
{
	if (act->u.end.reason == PF_REASON_NONE)
		d->counters.v[PF_EC_ANSWERED]++;
	else if (act->u.end.ran == PF_NOT_RUN)
		d->counters.v[PF_EC_REFUSED]++;
	else
		d->counters.v[PF_EC_FAILED]++;
}

static void on_end(struct daemon *d, const struct pf_entry_act *act)
{
	struct request *r = requests_find(d, act->u.end.request);

	count_end(d, act);
	if (r)
		answer_end(r, act);
}

/* Names, separated by commas; numbers of those that are not declared. */
static void add_endpoint_names(struct daemon *d, struct pf_text *t,
			       const uint64_t *ids, uint32_t n)
{
	for (uint32_t i = 0; i < n; i++) {
		const struct pf_endpoint *p =
			pf_config_endpoint(d->config, ids[i]);

		if (i)
			pf_text_add(t, pf_str_c(","));
		if (p)
			pf_text_add(t, pf_str_c(p->name));
		else
			pf_text_printf(t, "%" PRIu64, ids[i]);
	}
}

static void log_crash(struct daemon *d, const struct pf_entry_act *act)
{
	const struct pf_caller *caller =
		pf_config_caller(d->config, act->u.quarantine.caller);
	struct pf_text endpoints = { 0 };
	char fingerprint[17];

	snprintf(fingerprint, sizeof(fingerprint), "%016" PRIx64,
		 act->u.quarantine.fingerprint);
	add_endpoint_names(d, &endpoints, act->u.quarantine.endpoints,
			   act->u.quarantine.n_endpoints);
	PF_LOG(&d->log, PF_LOG_WARN,
	       act->u.quarantine.until ? "quarantine" : "suspect",
	       PF_KV_STR("fingerprint", fingerprint),
	       PF_KV_STR("caller", caller ? caller->name : ""),
	       PF_KV_INT("crashes", act->u.quarantine.crashes),
	       PF_KV_TEXT("endpoints", pf_text_str(&endpoints)));
	pf_text_free(&endpoints);
}

static void emit(void *ctx, const struct pf_entry_act *act)
{
	struct pf_wire_msg m = { .type = PF_WIRE_QUARANTINE };
	struct daemon *d = ctx;

	switch (act->type) {
	case PF_ENTRY_TRY:
		send_try(d, act);
		break;
	case PF_ENTRY_REVOKE:
		send_id(d, act->agent, PF_WIRE_REVOKE, act->u.id);
		break;
	case PF_ENTRY_CANCEL:
		send_id(d, act->agent, PF_WIRE_CANCEL, act->u.id);
		break;
	case PF_ENTRY_DELIVER:
		deliver(d, act);
		break;
	case PF_ENTRY_END:
		on_end(d, act);
		break;
	case PF_ENTRY_SHARE_QUARANTINE:
		m.u.quarantine.fingerprint = act->u.quarantine.fingerprint;
		m.u.quarantine.until = act->u.quarantine.until;
		links_send_entries(d, &m);
		log_crash(d, act);
		break;
	case PF_ENTRY_DRAINED:
		d->drained = true;
		break;
	}
}

static void arm_timer(struct daemon *d, pf_ms now)
{
	pf_ms next = pf_entry_next(d->core);

	if (next == d->core_tick_at)
		return;
	d->core_tick_at = next;
	pf_clock_arm(d->core_timer, now, next);
}

void entry_step(struct daemon *d, const struct pf_entry_msg *m)
{
	const struct pf_entry_sink sink = { emit, d };
	pf_ms now = pf_clock_now();

	PF_INVARIANT("entry_step() is not re-entered", !d->in_step);
	d->in_step = true;
	pf_entry_step(d->core, now, m, &sink);
	d->in_step = false;
	arm_timer(d, now);
}

static void on_timer(evutil_socket_t fd, short what, void *ctx)
{
	static const struct pf_entry_msg tick = { .type = PF_ENTRY_TICK };
	struct daemon *d = ctx;

	(void)fd;
	(void)what;
	d->core_tick_at = PF_NEVER;
	entry_step(d, &tick);
}

int core_start(struct daemon *d)
{
	struct pf_entry_opts o = d->settings.core;

	o.entry_id = d->id;
	o.zone = d->settings.common.zone;
	o.region = d->settings.common.region;
	if (o.seed == 0)
		o.seed = pf_process_random();
	d->core_tick_at = PF_NEVER;
	d->core = pf_entry_new(&o);
	d->core_timer = evtimer_new(d->base, on_timer, d);
	return d->core && d->core_timer ? 0 : -1;
}

void core_stop(struct daemon *d)
{
	pf_entry_free(d->core);
	if (d->core_timer)
		event_free(d->core_timer);
}
