/*
 * Drives the allowance core: a request asks it after its key was checked and
 * before the gate core gets it. Requests that the core has decided on are
 * processed after its step, and never during a step of the gate core.
 */
#include "talk_core.h"

#include "pimentoford/allowance.h"
#include "pimentoford/counters.h"

#include <arpa/inet.h>
#include <inttypes.h>
#include <stdlib.h>

struct allowance {
	struct gateway *gateway;
	struct pf_allowance *core;
	struct event *timer;
	struct event *decided_ev;
	TAILQ_HEAD(, exchange) decided;
	bool processing;
};

/* The same after a restart; gateways know each other by their addresses. */
static uint64_t key_of(const struct sockaddr_in *addr)
{
	return pf_id2(addr->sin_addr.s_addr, addr->sin_port);
}

static const struct sockaddr_in *find_addr(const struct gateway *g,
					   uint64_t key)
{
	const struct member_list *l = &g->talk->members;
	uint32_t i;

	for (i = 0; i < l->n; i++) {
		if (key_of(&l->v[i].addr) == key)
			return &l->v[i].addr;
	}
	return NULL;
}

static const char *name_of(const struct gateway *g, uint64_t account)
{
	const struct pf_client_account *a =
		g->routes ? pf_routes_find_account(g->routes, account) : NULL;

	return a ? a->name : "";
}

static void add_decided(struct allowance *al, struct exchange *x)
{
	x->allowance.state = EXCHANGE_DECIDED;
	TAILQ_INSERT_TAIL(&al->decided, x, allowance.next);
}

static void send_message(struct gateway *g, const struct pf_allowance_act *act)
{
	const struct sockaddr_in *to = find_addr(g, act->to);

	if (!to)
		return; /* forgotten meanwhile; counts as lost */
	if (act->type == PF_ALLOWANCE_SEND_ASK)
		pf_talk_send_allowance_ask(g->talk->datagrams, to, act->u.ask);
	else
		pf_talk_send_allowance_grant(g->talk->datagrams, to,
					     act->u.grant);
	g->counters->v[PF_GC_ALLOWANCE_MESSAGES]++;
}

static void on_act(void *ctx, const struct pf_allowance_act *act)
{
	struct allowance *al = ctx;
	struct gateway *g = al->gateway;
	struct exchange *x = act->ctx;

	switch (act->type) {
	case PF_ALLOWANCE_ADMIT:
		x->allowance.paid = 1;
		add_decided(al, x);
		break;
	case PF_ALLOWANCE_REJECT:
		x->allowance.reason = act->u.reject.reason;
		x->allowance.retry_after = act->u.reject.retry_after;
		add_decided(al, x);
		break;
	case PF_ALLOWANCE_SEND_ASK:
	case PF_ALLOWANCE_SEND_GRANT:
		send_message(g, act);
		break;
	case PF_ALLOWANCE_MODE_CHANGED:
		PF_LOG(&g->log, PF_LOG_INFO, "allowance_mode",
		       PF_KV_STR("account", name_of(g, act->u.mode.account)),
		       PF_KV_STR("mode",
				 pf_allowance_mode_code(act->u.mode.mode)),
		       PF_KV_STR("why",
				 pf_allowance_cause_code(act->u.mode.cause)));
		break;
	}
}

static void process_decided(struct allowance *al)
{
	struct exchange *x;

	if (al->processing)
		return; /* the loop below gets to it */
	if (al->gateway->in_core_step) {
		event_active(al->decided_ev, 0, 0);
		return;
	}
	al->processing = true;
	while ((x = TAILQ_FIRST(&al->decided))) {
		TAILQ_REMOVE(&al->decided, x, allowance.next);
		x->allowance.state = EXCHANGE_NOT_ASKED;
		if (x->allowance.paid)
			exchange_admit(x);
		else
			exchange_reject(x);
	}
	al->processing = false;
}

static void on_decided(evutil_socket_t fd, short what, void *ctx)
{
	(void)fd;
	(void)what;
	process_decided(ctx);
}

static void step(struct allowance *al, const struct pf_allowance_msg *m)
{
	const struct pf_allowance_sink sink = { on_act, al };
	pf_ms now = pf_clock_now();

	pf_allowance_step(al->core, now, m, &sink);
	pf_clock_arm(al->timer, now, pf_allowance_next(al->core));
	if (!TAILQ_EMPTY(&al->decided))
		process_decided(al);
}

static void on_timer(evutil_socket_t fd, short what, void *ctx)
{
	static const struct pf_allowance_msg tick = {
		.type = PF_ALLOWANCE_TICK
	};

	(void)fd;
	(void)what;
	step(ctx, &tick);
}

bool allowances_ask(struct exchange *x, const struct pf_route *route)
{
	struct pf_allowance_msg m = { .type = PF_ALLOWANCE_REQUEST };
	struct gateway *g = x->gateway;
	const struct pf_inbound *in = &x->inbound;
	const struct pf_client_account *a;

	if (!g->allowance || !x->account)
		return false;
	a = pf_routes_find_account(g->routes, x->account);
	if (!a || a->limit.rate_per_s <= 0)
		return false;
	x->allowance.state = EXCHANGE_WAITS;
	x->allowance.weight =
		pf_allowance_weight(&a->limit,
				    in->prompt_tokens + in->max_tokens > 0,
				    in->prompt_tokens, in->max_tokens);
	m.u.request.ctx = x;
	m.u.request.account = x->account;
	m.u.request.weight = x->allowance.weight;
	m.u.request.objective = route->latency_objective;
	step(g->allowance, &m);
	return true;
}

bool allowances_is_undecided(const struct exchange *x)
{
	return x->allowance.state != EXCHANGE_NOT_ASKED;
}

static void pay(struct exchange *x, enum pf_allowance_msg_type type,
		uint32_t times)
{
	struct pf_allowance_msg m = { .type = type };
	struct gateway *g = x->gateway;

	m.u.charge.account = x->account;
	m.u.charge.weight = x->allowance.weight;
	g->counters->v[type == PF_ALLOWANCE_REFUND ? PF_GC_ALLOWANCE_REFUNDS
						   : PF_GC_ALLOWANCE_CHARGES] +=
		times;
	while (times-- > 0)
		step(g->allowance, &m);
}

void allowances_request_written(struct exchange *x)
{
	if (!x->gateway->allowance || !x->allowance.paid)
		return;
	x->allowance.in_flight = true;
	if (++x->allowance.runs <= x->allowance.paid)
		return;
	x->allowance.paid++;
	pay(x, PF_ALLOWANCE_CHARGE, 1);
}

void allowances_send_ended(struct exchange *x, enum pf_gate_outcome outcome)
{
	if (x->allowance.in_flight &&
	    (outcome == PF_GATE_NOT_RUN || outcome == PF_GATE_UNSENT))
		x->allowance.runs--;
	x->allowance.in_flight = false;
}

void allowances_end(struct exchange *x)
{
	struct pf_allowance_msg m = { .type = PF_ALLOWANCE_CANCEL };
	struct allowance *al = x->gateway->allowance;
	uint32_t unused = x->allowance.paid - x->allowance.runs;

	if (!al)
		return;
	switch (x->allowance.state) {
	case EXCHANGE_WAITS:
		m.u.ctx = x;
		step(al, &m);
		break;
	case EXCHANGE_DECIDED:
		TAILQ_REMOVE(&al->decided, x, allowance.next);
		break;
	case EXCHANGE_NOT_ASKED:
		break;
	}
	x->allowance.state = EXCHANGE_NOT_ASKED;
	x->allowance.paid = x->allowance.runs;
	if (unused)
		pay(x, PF_ALLOWANCE_REFUND, unused);
}

void allowances_routes_changed(struct gateway *g)
{
	struct pf_allowance_msg m = { .type = PF_ALLOWANCE_LIMITS };

	if (!g->allowance)
		return;
	m.u.limits.v = g->routes->accounts;
	m.u.limits.n = g->routes->n_accounts;
	step(g->allowance, &m);
}

void allowances_member(struct gateway *g, const struct sockaddr_in *addr,
		       uint64_t id)
{
	struct pf_allowance_msg m = { .type = PF_ALLOWANCE_PEER };

	if (!g->allowance)
		return;
	m.u.peer.key = key_of(addr);
	m.u.peer.id = id;
	step(g->allowance, &m);
}

void allowances_members_read(struct gateway *g)
{
	static const struct pf_allowance_msg read = {
		.type = PF_ALLOWANCE_ROSTER_READ
	};

	if (g->allowance)
		step(g->allowance, &read);
}

void allowances_on_ask(struct gateway *g, const struct sockaddr_in *from,
		       const struct pf_allowance_ask *a)
{
	struct pf_allowance_msg m = { .type = PF_ALLOWANCE_ASKED };

	if (!g->allowance)
		return;
	m.u.asked.from = key_of(from);
	m.u.asked.ask = a;
	step(g->allowance, &m);
}

void allowances_on_grant(struct gateway *g, const struct sockaddr_in *from,
			 const struct pf_allowance_grant *grant)
{
	struct pf_allowance_msg m = { .type = PF_ALLOWANCE_GRANTED };

	if (!g->allowance)
		return;
	m.u.granted.from = key_of(from);
	m.u.granted.grant = grant;
	step(g->allowance, &m);
}

static void add_line(struct pf_text *t, const char *metric, const char *account,
		     const char *reason, double value)
{
	pf_text_printf(t, "pimento_gateway_allowance_%s{account=\"", metric);
	for (; *account; account++)
		pf_text_printf(
			t, *account == '"' || *account == '\\' ? "\\%c" : "%c",
			*account);
	if (reason)
		pf_text_printf(t, "\",reason=\"%s", reason);
	pf_text_printf(t, "\"} %.0f\n", value);
}

static void add_view(struct pf_text *t, const char *name,
		     const struct pf_allowance_view *v)
{
	int i;

	add_line(t, "asked_units_total", name, NULL, (double)v->asked);
	add_line(t, "granted_units_total", name, NULL, (double)v->admitted);
	for (i = 0; i < PF_ALLOWANCE_REASON_COUNT; i++)
		add_line(t, "rejected_total", name,
			 pf_allowance_reason_code((enum pf_allowance_reason)i),
			 (double)v->rejected[i]);
	add_line(t, "window_units", name, NULL, v->in_window);
	add_line(t, "level_units", name, NULL, v->level);
	add_line(t, "level_age_ms", name, NULL, (double)v->level_age);
	add_line(t, "mode", name, pf_allowance_mode_code(v->mode), 1);
}

void allowances_metrics(const struct gateway *g, struct pf_text *t)
{
	struct pf_allowance_view v;
	uint32_t i;

	for (i = 0; g->allowance && pf_allowance_view(g->allowance->core,
						      pf_clock_now(), i, &v);
	     i++) {
		if (v.account)
			add_view(t, name_of(g, v.account), &v);
	}
}

bool allowances_view(const struct gateway *g, uint64_t account,
		     struct pf_allowance_view *v)
{
	uint32_t i;

	for (i = 0; g->allowance &&
		    pf_allowance_view(g->allowance->core, pf_clock_now(), i, v);
	     i++) {
		if (v->account == account)
			return true;
	}
	return false;
}

void allowances_home(const struct gateway *g, uint64_t key, struct pf_text *out)
{
	const struct sockaddr_in *a = key == key_of(&g->talk->self_addr)
					      ? &g->talk->self_addr
					      : find_addr(g, key);
	char ip[INET_ADDRSTRLEN];

	if (a && inet_ntop(AF_INET, &a->sin_addr, ip, sizeof(ip)))
		pf_text_printf(out, "%s:%u", ip, ntohs(a->sin_port));
}

int allowances_start(struct gateway *g)
{
	const struct pf_allowance_setting *s = &g->settings.allowance;
	struct pf_allowance_opts o;
	struct allowance *al;

	if (!s->window)
		return 0;
	al = calloc(1, sizeof(*al));
	g->allowance = al;
	if (!al)
		return -1;
	al->gateway = g;
	TAILQ_INIT(&al->decided);
	pf_allowance_opts_default(&o);
	o.self = g->self;
	o.key = key_of(&g->talk->self_addr);
	o.seed = g->self;
	o.window = s->window;
	o.over = s->over;
	o.slack = s->slack;
	al->core = pf_allowance_new(&o);
	al->timer = event_new(g->base, -1, 0, on_timer, al);
	al->decided_ev = event_new(g->base, -1, 0, on_decided, al);
	if (!al->core || !al->timer || !al->decided_ev)
		return -1;
	on_timer(-1, 0, al);
	return 0;
}

void allowances_stop(struct gateway *g)
{
	struct allowance *al = g->allowance;

	g->allowance = NULL;
	if (!al)
		return;
	if (al->timer)
		event_free(al->timer);
	if (al->decided_ev)
		event_free(al->decided_ev);
	pf_allowance_free(al->core);
	free(al);
}
