/* Datagrams between gateways and loaders, encoded in XDR. */
#include "pimentoford/talk.h"

#include "src/protocol/pimento_xdr.h"

#include <event2/event.h>
#include <event2/util.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#define DATAGRAM_MAX 8192
/* A datagram of demands fits one network packet. */
#define DEMANDS_PER_DATAGRAM 36

struct pf_talk {
	struct pf_talk_opts opts;
	int fd;
	struct event *read_event;
};

int pf_talk_addr(const char *text, struct sockaddr_in *out)
{
	int len = sizeof(*out);

	if (evutil_parse_sockaddr_port(text, (struct sockaddr *)out, &len) < 0)
		return -1;
	return out->sin_family == AF_INET ? 0 : -1;
}

bool pf_talk_same_addr(const struct sockaddr_in *a, const struct sockaddr_in *b)
{
	return a->sin_addr.s_addr == b->sin_addr.s_addr &&
	       a->sin_port == b->sin_port;
}

/*
 * Fields that were added later follow the message, in the order in which they
 * were added: older readers ignore what follows it, and readers accept a
 * message without them.
 */
struct digest_trailer {
	int64_t era; /* PF_ERA_UNKNOWN: not known */
	pimento_gate_accounts accounts; /* the arrays of the caller */
};

static bool_t xdr_era(XDR *x, int64_t *era)
{
	quad_t v = *era;

	if (!xdr_quad_t(x, &v))
		return FALSE;
	*era = v;
	return TRUE;
}

/* The caller frees out->accounts. */
static void read_digest_trailer(XDR *x, struct digest_trailer *out)
{
	*out = (struct digest_trailer){ .era = PF_ERA_UNKNOWN };
	if (!xdr_era(x, &out->era) || out->era < 0)
		out->era = PF_ERA_UNKNOWN;
	if (!xdr_pimento_gate_accounts(x, &out->accounts))
		out->accounts.pimento_gate_accounts_len = 0;
}

static bool_t write_digest_trailer(XDR *x, struct digest_trailer *t)
{
	if (t->accounts.pimento_gate_accounts_len)
		return xdr_era(x, &t->era) &&
		       xdr_pimento_gate_accounts(x, &t->accounts);
	return t->era == PF_ERA_UNKNOWN || xdr_era(x, &t->era);
}

/* What follows a message. */
struct trailer {
	struct digest_trailer *digest; /* NULL: not a digest */
	pimento_orders_in_doubt *in_doubt; /* NULL: not a state, or none */
};

static bool_t write_trailer(XDR *x, const struct trailer *t)
{
	if (t->digest)
		return write_digest_trailer(x, t->digest);
	return !t->in_doubt || xdr_pimento_orders_in_doubt(x, t->in_doubt);
}

/* @trailer: NULL: none. */
static void send_datagram(struct pf_talk *t, const struct sockaddr_in *to,
			  pimento_talk *msg, const struct trailer *trailer)
{
	char buf[DATAGRAM_MAX];
	XDR x;

	xdrmem_create(&x, buf, sizeof(buf), XDR_ENCODE);
	if (xdr_pimento_talk(&x, msg) &&
	    (!trailer || write_trailer(&x, trailer)))
		/* Delivery is best effort, so errors are ignored. */
		(void)sendto(t->fd, buf, xdr_getpos(&x), MSG_DONTWAIT,
			     (const struct sockaddr *)to, sizeof(*to));
	else
		PF_LOG(t->opts.log, PF_LOG_WARN, "datagram_too_large",
		       PF_KV_INT("type", msg->type));
	xdr_destroy(&x);
}

void pf_talk_send_digest(struct pf_talk *t, const struct sockaddr_in *to,
			 const struct pf_gate_digest *d,
			 const struct pf_talk_store_view *news)
{
	pimento_gate_load loads[PIMENTO_GATE_LOADS];
	pimento_gate_sight sights[PIMENTO_GATE_SIGHTS];
	pimento_talk msg = { .type = PIMENTO_TALK_DIGEST };
	pimento_gate_digest *out = &msg.pimento_talk_u.digest;
	pimento_gate_account accounts[PIMENTO_GATE_ACCOUNTS];
	struct digest_trailer digest = { news->era,
					 { d->n_accounts, accounts } };
	const struct trailer trailer = { .digest = &digest };
	uint32_t i;

	for (i = 0; i < d->n_accounts; i++)
		accounts[i] = (pimento_gate_account){
			d->accounts[i].account, d->accounts[i].plain,
			d->accounts[i].running, d->accounts[i].kv_tokens,
			d->accounts[i].prefill_ms
		};
	for (i = 0; i < d->n_loads; i++)
		loads[i] = (pimento_gate_load){ d->loads[i].endpoint,
						d->loads[i].running,
						d->loads[i].kv_tokens,
						d->loads[i].prefill_ms };
	for (i = 0; i < d->n_prefixes; i++)
		sights[i] = (pimento_gate_sight){ d->prefixes[i].prefix,
						  d->prefixes[i].endpoint };
	out->peer = d->peer;
	out->loads.loads_len = d->n_loads;
	out->loads.loads_val = loads;
	out->sights.sights_len = d->n_prefixes;
	out->sights.sights_val = sights;
	out->crashed.crashed_len = d->n_crashed;
	out->crashed.crashed_val = (u_quad_t *)d->crashed;
	out->config = news->config_version;
	out->endpoints = news->endpoints_revision;
	out->store_age_ms = (u_int)news->store_age;
	send_datagram(t, to, &msg, &trailer);
}

static void receive_digest(struct pf_talk *t, const struct sockaddr_in *from,
			   const pimento_gate_digest *in,
			   const struct digest_trailer *trailer)
{
	const struct pf_talk_store_view news = { in->config, in->endpoints,
						 in->store_age_ms,
						 trailer->era };
	struct pf_gate_load loads[PF_GATE_LOADS_MAX];
	struct pf_gate_cached_prefix sights[PF_GATE_PREFIXES_MAX];
	struct pf_gate_account_load accounts[PF_GATE_ACCOUNTS_MAX];
	struct pf_gate_digest d = { .peer = in->peer };
	uint32_t i;

	d.accounts = accounts;
	d.n_accounts = trailer->accounts.pimento_gate_accounts_len;
	for (i = 0; i < d.n_accounts; i++) {
		const pimento_gate_account *a =
			&trailer->accounts.pimento_gate_accounts_val[i];

		accounts[i] =
			(struct pf_gate_account_load){ a->account, a->plain,
						       a->running, a->kv_tokens,
						       a->prefill_ms };
	}

	for (i = 0; i < in->loads.loads_len; i++) {
		const pimento_gate_load *l = &in->loads.loads_val[i];

		loads[i] = (struct pf_gate_load){ l->endpoint, l->running,
						  l->kv_tokens, l->prefill_ms };
	}
	for (i = 0; i < in->sights.sights_len; i++)
		sights[i] = (struct pf_gate_cached_prefix){
			in->sights.sights_val[i].chain,
			in->sights.sights_val[i].endpoint
		};
	d.loads = loads;
	d.n_loads = in->loads.loads_len;
	d.prefixes = sights;
	d.n_prefixes = in->sights.sights_len;
	d.crashed = (const uint64_t *)in->crashed.crashed_val;
	d.n_crashed = in->crashed.crashed_len;
	t->opts.digest(t->opts.ctx, from, &d, &news);
}

static void read_digest(struct pf_talk *t, const struct sockaddr_in *from,
			const pimento_gate_digest *in, XDR *rest)
{
	struct digest_trailer trailer;

	read_digest_trailer(rest, &trailer);
	receive_digest(t, from, in, &trailer);
	xdr_free((xdrproc_t)xdr_pimento_gate_accounts, &trailer.accounts);
}

static bool is_about_model(enum pf_gate_evidence_type t)
{
	return t == PF_GATE_EVIDENCE_USE || t == PF_GATE_EVIDENCE_SERVED;
}

void pf_talk_send_evidence(struct pf_talk *t, const struct sockaddr_in *to,
			   uint64_t peer, const struct pf_gate_evidence *v,
			   uint32_t n)
{
	pimento_gate_evidence out[PIMENTO_GATE_EVIDENCE];
	pimento_talk msg = { .type = PIMENTO_TALK_EVIDENCE };
	uint32_t i;

	if (n > PIMENTO_GATE_EVIDENCE)
		n = PIMENTO_GATE_EVIDENCE;
	for (i = 0; i < n; i++)
		out[i] = (pimento_gate_evidence){ v[i].type,
						  is_about_model(v[i].type)
							  ? v[i].model
							  : v[i].incarnation,
						  v[i].part, v[i].age_ms,
						  v[i].requests };
	msg.pimento_talk_u.evidence.peer = peer;
	msg.pimento_talk_u.evidence.v.v_len = n;
	msg.pimento_talk_u.evidence.v.v_val = out;
	send_datagram(t, to, &msg, NULL);
}

/* Skips types of later releases. */
static void receive_evidence(struct pf_talk *t,
			     const pimento_gate_evidences *in)
{
	struct pf_gate_evidence v[PIMENTO_GATE_EVIDENCE];
	uint32_t n = 0;
	u_int i;

	for (i = 0; i < in->v.v_len; i++) {
		const pimento_gate_evidence *e = &in->v.v_val[i];

		if (e->type >= PF_GATE_EVIDENCE_TYPE_COUNT)
			continue;
		v[n] = (struct pf_gate_evidence){
			.type = (enum pf_gate_evidence_type)e->type,
			.part = e->part,
			.age_ms = e->age_ms,
			.requests = e->requests,
		};
		if (is_about_model(v[n].type))
			v[n].model = e->subject;
		else
			v[n].incarnation = e->subject;
		n++;
	}
	t->opts.evidence(t->opts.ctx, in->peer, v, n);
}

void pf_talk_send_limits(struct pf_talk *t, const struct sockaddr_in *to,
			 uint64_t peer, const struct pf_gate_limit *v,
			 uint32_t n)
{
	pimento_gate_limit out[PIMENTO_GATE_LIMITS];
	pimento_talk msg = { .type = PIMENTO_TALK_LIMITS };
	uint32_t i;

	if (n > PIMENTO_GATE_LIMITS)
		n = PIMENTO_GATE_LIMITS;
	for (i = 0; i < n; i++)
		out[i] = (pimento_gate_limit){ v[i].incarnation, v[i].per_s,
					       v[i].age_ms, v[i].sent };
	msg.pimento_talk_u.limits.peer = peer;
	msg.pimento_talk_u.limits.v.v_len = n;
	msg.pimento_talk_u.limits.v.v_val = out;
	send_datagram(t, to, &msg, NULL);
}

static void receive_limits(struct pf_talk *t, const pimento_gate_limits *in)
{
	struct pf_gate_limit v[PIMENTO_GATE_LIMITS];
	u_int i;

	for (i = 0; i < in->v.v_len; i++) {
		const pimento_gate_limit *l = &in->v.v_val[i];

		v[i] = (struct pf_gate_limit){ l->incarnation, l->per_s,
					       l->age_ms, l->sent };
	}
	t->opts.limits(t->opts.ctx, in->peer, v, in->v.v_len);
}

void pf_talk_send_note(struct pf_talk *t, const struct sockaddr_in *to,
		       const struct pf_gate_note *n)
{
	pimento_talk msg = { .type = PIMENTO_TALK_NOTE };

	msg.pimento_talk_u.note =
		(pimento_gate_note){ n->type, n->stream.id, n->stream.service,
				     n->stream.software, n->stream.age };
	send_datagram(t, to, &msg, NULL);
}

/* Skips types of later releases. */
static void receive_note(struct pf_talk *t, const struct sockaddr_in *from,
			 const pimento_gate_note *in)
{
	struct pf_gate_note n = {
		.type = (enum pf_gate_note_type)in->type,
		.stream = { in->stream, in->service, in->software, in->age_ms },
	};

	if (in->type < PF_GATE_NOTE_TYPE_COUNT)
		t->opts.note(t->opts.ctx, from, &n);
}

void pf_talk_send_demand(struct pf_talk *t, const struct sockaddr_in *to,
			 uint64_t peer, const struct pf_gate_demand *v,
			 size_t n)
{
	pimento_gate_demand part[DEMANDS_PER_DATAGRAM];
	pimento_talk msg = { .type = PIMENTO_TALK_DEMANDS };
	size_t at = 0;

	do {
		u_int k = 0;

		while (at < n && k < DEMANDS_PER_DATAGRAM) {
			part[k++] =
				(pimento_gate_demand){ v[at].item, v[at].model,
						       v[at].per_s, v[at].open,
						       v[at].waiting };
			at++;
		}
		msg.pimento_talk_u.demands.peer = peer;
		msg.pimento_talk_u.demands.demands.demands_len = k;
		msg.pimento_talk_u.demands.demands.demands_val = part;
		send_datagram(t, to, &msg, NULL);
	} while (at < n);
}

static void receive_demand(struct pf_talk *t, const pimento_gate_demands *in)
{
	struct pf_gate_demand v[PIMENTO_GATE_DEMANDS];
	u_int i;

	for (i = 0; i < in->demands.demands_len; i++) {
		const pimento_gate_demand *d = &in->demands.demands_val[i];

		v[i] = (struct pf_gate_demand){ d->item, d->model, d->per_s,
						d->alive, d->waiting };
	}
	t->opts.demand(t->opts.ctx, in->peer, v, in->demands.demands_len);
}

static uint32_t at_most(uint32_t n, uint32_t max)
{
	return n < max ? n : max;
}

void pf_talk_send_state(struct pf_talk *t, const struct sockaddr_in *to,
			const struct pf_engine_state *s)
{
	pimento_resident residents[PIMENTO_ITEMS_MAX];
	pimento_talk msg = { .type = PIMENTO_TALK_STATE };
	pimento_engine_state *out = &msg.pimento_talk_u.state;
	pimento_order_in_doubt orders[PIMENTO_ITEMS_MAX];
	pimento_orders_in_doubt in_doubt = { 0, orders };
	const struct trailer trailer = { .in_doubt = &in_doubt };
	uint32_t i;

	for (i = 0; i < s->n_residents && i < PIMENTO_ITEMS_MAX; i++) {
		residents[i].model = s->residents[i].model;
		residents[i].adapters.adapters_len = s->residents[i].n_adapters;
		residents[i].adapters.adapters_val =
			(u_quad_t *)s->residents[i].adapters;
	}
	*out = (pimento_engine_state){
		.endpoint = s->endpoint,
		.born = s->incarnation,
		.orders = s->orders_accepted,
		.busy = s->busy,
		.loading = s->loading_model,
		.loading_ms = (u_int)s->loading_elapsed,
		.from_store = s->from_store,
		.leaving = s->unloading_model,
		.draining = s->draining,
		.running = s->running,
		.queued = s->queued,
		.kv_used = s->kv_used,
		.kv_total = s->kv_total,
	};
	out->residents.residents_len = i;
	out->residents.residents_val = residents;
	/* Copies only save time: the state goes without those beyond. */
	out->warm.warm_len = at_most(s->n_in_host_mem, PF_COPIES_MAX);
	out->warm.warm_val = (u_quad_t *)s->in_host_mem;
	out->on_disk.on_disk_len = at_most(s->n_on_disk, PF_COPIES_MAX);
	out->on_disk.on_disk_val = (u_quad_t *)s->on_disk;
	for (i = 0; i < s->n_in_doubt && i < PIMENTO_ITEMS_MAX; i++)
		orders[i] = (pimento_order_in_doubt){
			s->in_doubt[i].model, s->in_doubt[i].expected_orders,
			s->in_doubt[i].load, (u_int)s->in_doubt[i].age
		};
	in_doubt.pimento_orders_in_doubt_len = i;
	/* The rest can't be told: no orders until some have expired. */
	if (i < s->n_in_doubt)
		out->busy = 1;
	send_datagram(t, to, &msg, i ? &trailer : NULL);
}

static void receive_state(struct pf_talk *t, const pimento_engine_state *in,
			  const pimento_orders_in_doubt *orders)
{
	struct pf_order_in_doubt in_doubt[PIMENTO_ITEMS_MAX];
	struct pf_resident residents[PIMENTO_ITEMS_MAX];
	struct pf_engine_state s = {
		.endpoint = in->endpoint,
		.incarnation = in->born,
		.orders_accepted = in->orders,
		.busy = in->busy,
		.loading_model = in->loading,
		.loading_elapsed = in->loading_ms,
		.from_store = in->from_store,
		.unloading_model = in->leaving,
		.draining = in->draining,
		.running = in->running,
		.queued = in->queued,
		.kv_used = in->kv_used,
		.kv_total = in->kv_total,
		.residents = residents,
		.n_residents = in->residents.residents_len,
		.in_host_mem = (const uint64_t *)in->warm.warm_val,
		.n_in_host_mem = in->warm.warm_len,
		.on_disk = (const uint64_t *)in->on_disk.on_disk_val,
		.n_on_disk = in->on_disk.on_disk_len,
		.in_doubt = in_doubt,
		.n_in_doubt = orders->pimento_orders_in_doubt_len,
	};
	u_int i;

	for (i = 0; i < orders->pimento_orders_in_doubt_len; i++) {
		const pimento_order_in_doubt *o =
			&orders->pimento_orders_in_doubt_val[i];

		in_doubt[i] =
			(struct pf_order_in_doubt){ o->model, o->orders,
						    o->load != 0, o->age_ms };
	}

	for (i = 0; i < in->residents.residents_len; i++) {
		const pimento_resident *r = &in->residents.residents_val[i];

		residents[i] = (struct pf_resident){
			r->model, (uint64_t *)r->adapters.adapters_val,
			r->adapters.adapters_len
		};
	}
	t->opts.state(t->opts.ctx, &s);
}

static void read_state(struct pf_talk *t, const pimento_engine_state *in,
		       XDR *rest)
{
	pimento_orders_in_doubt orders = { 0, NULL };

	if (!xdr_pimento_orders_in_doubt(rest, &orders))
		orders.pimento_orders_in_doubt_len = 0;
	receive_state(t, in, &orders);
	xdr_free((xdrproc_t)xdr_pimento_orders_in_doubt, &orders);
}

/* Copies @s to @buf, zero-terminated and truncated to @cap - 1 bytes. */
static char *terminated(char *buf, size_t cap, struct pf_str s)
{
	size_t n = s.n < cap ? s.n : cap - 1;

	if (n)
		memcpy(buf, s.p, n);
	buf[n] = '\0';
	return buf;
}

void pf_talk_send_usage(struct pf_talk *t, const struct sockaddr_in *to,
			const struct pf_loader_usage *u)
{
	char instance[PIMENTO_NAME_MAX];
	char model[PIMENTO_NAME_MAX];
	char adapter[PIMENTO_NAME_MAX];
	pimento_talk msg = { .type = PIMENTO_TALK_WANT };
	pimento_want *out = &msg.pimento_talk_u.want;

	out->instance = terminated(instance, sizeof(instance), u->instance);
	out->born = u->incarnation;
	out->adapter_slots = u->adapter_slots;
	out->tell_every = (u_int)u->state_interval;
	out->used.used_len = u->n_in_use;
	out->used.used_val = (u_quad_t *)u->adapters_in_use;
	out->model = u->wanted_model.n ? pf_id(u->wanted_model) : 0;
	out->model_name = terminated(model, sizeof(model), u->wanted_model);
	out->adapter_name =
		terminated(adapter, sizeof(adapter), u->wanted_adapter);
	send_datagram(t, to, &msg, NULL);
}

static void receive_usage(struct pf_talk *t, const struct sockaddr_in *from,
			  const pimento_want *in)
{
	struct pf_loader_usage u = {
		.instance = pf_str_c(in->instance),
		.incarnation = in->born,
		.adapter_slots = in->adapter_slots,
		.state_interval = in->tell_every,
		.adapters_in_use = (const uint64_t *)in->used.used_val,
		.n_in_use = in->used.used_len,
		.wanted_model = pf_str_c(in->model_name),
		.wanted_adapter = pf_str_c(in->adapter_name),
	};

	t->opts.usage(t->opts.ctx, from, &u);
}

void pf_talk_send_order(struct pf_talk *t, const struct sockaddr_in *to,
			const struct pf_loader_order *o)
{
	char instance[PIMENTO_NAME_MAX];
	char model[PIMENTO_NAME_MAX];
	pimento_talk msg = { .type = PIMENTO_TALK_ORDER };
	pimento_load_order *out = &msg.pimento_talk_u.order;

	out->instance = terminated(instance, sizeof(instance), o->instance);
	out->born = o->incarnation;
	out->orders = o->expected_orders;
	out->load = o->load;
	out->from_store = o->from_store;
	out->model_name = terminated(model, sizeof(model), o->model);
	send_datagram(t, to, &msg, NULL);
}

static void receive_order(struct pf_talk *t, const struct sockaddr_in *from,
			  const pimento_load_order *in)
{
	struct pf_loader_order o = {
		.instance = pf_str_c(in->instance),
		.incarnation = in->born,
		.expected_orders = in->orders,
		.load = in->load,
		.from_store = in->from_store,
		.model = pf_str_c(in->model_name),
	};

	t->opts.order(t->opts.ctx, from, &o);
}

void pf_talk_send_allowance_ask(struct pf_talk *t, const struct sockaddr_in *to,
				const struct pf_allowance_ask *a)
{
	pimento_talk msg = { .type = PIMENTO_TALK_ALLOWANCE_ASK };

	msg.pimento_talk_u.ask = (pimento_allowance_ask){
		.account = a->account,
		.session = a->session,
		.term = a->term,
		.seq = a->seq,
		.used = a->used,
		.returned = a->returned,
		.refunded = a->refunded,
		.charged = a->charged,
		.prefetch = a->prefetch,
		.weights = { a->n_weights, (u_int *)a->weights },
	};
	send_datagram(t, to, &msg, NULL);
}

static void receive_allowance_ask(struct pf_talk *t,
				  const struct sockaddr_in *from,
				  const pimento_allowance_ask *in)
{
	struct pf_allowance_ask a = {
		.account = in->account,
		.session = in->session,
		.term = in->term,
		.seq = in->seq,
		.used = in->used,
		.returned = in->returned,
		.refunded = in->refunded,
		.charged = in->charged,
		.prefetch = in->prefetch,
		.n_weights = in->weights.weights_len,
	};
	u_int i;

	for (i = 0; i < in->weights.weights_len; i++)
		a.weights[i] = in->weights.weights_val[i];
	t->opts.allowance_ask(t->opts.ctx, from, &a);
}

void pf_talk_send_allowance_grant(struct pf_talk *t,
				  const struct sockaddr_in *to,
				  const struct pf_allowance_grant *g)
{
	pimento_talk msg = { .type = PIMENTO_TALK_ALLOWANCE_GRANT };

	msg.pimento_talk_u.grant = (pimento_allowance_grant){
		.account = g->account,
		.session = g->session,
		.term = g->term,
		.seq = g->seq,
		.granted = g->granted,
		.charged = g->charged,
		.type = g->type,
		.empty_ms = g->empty_ms,
		.slot_ms = g->slot_ms,
		.level = g->level,
	};
	send_datagram(t, to, &msg, NULL);
}

/* Skips types of later releases. */
static void receive_allowance_grant(struct pf_talk *t,
				    const struct sockaddr_in *from,
				    const pimento_allowance_grant *in)
{
	struct pf_allowance_grant g = {
		.account = in->account,
		.session = in->session,
		.term = in->term,
		.seq = in->seq,
		.granted = in->granted,
		.charged = in->charged,
		.type = (enum pf_allowance_answer)in->type,
		.empty_ms = in->empty_ms,
		.slot_ms = in->slot_ms,
		.level = in->level,
	};

	if (in->type < PF_ALLOWANCE_ANSWER_COUNT)
		t->opts.allowance_grant(t->opts.ctx, from, &g);
}

static void dispatch_datagram(struct pf_talk *t, const struct sockaddr_in *from,
			      const pimento_talk *msg, XDR *rest)
{
	switch (msg->type) {
	case PIMENTO_TALK_DIGEST:
		if (t->opts.digest)
			read_digest(t, from, &msg->pimento_talk_u.digest, rest);
		break;
	case PIMENTO_TALK_DEMANDS:
		if (t->opts.demand)
			receive_demand(t, &msg->pimento_talk_u.demands);
		break;
	case PIMENTO_TALK_STATE:
		if (t->opts.state)
			read_state(t, &msg->pimento_talk_u.state, rest);
		break;
	case PIMENTO_TALK_WANT:
		if (t->opts.usage)
			receive_usage(t, from, &msg->pimento_talk_u.want);
		break;
	case PIMENTO_TALK_ORDER:
		if (t->opts.order)
			receive_order(t, from, &msg->pimento_talk_u.order);
		break;
	case PIMENTO_TALK_EVIDENCE:
		if (t->opts.evidence)
			receive_evidence(t, &msg->pimento_talk_u.evidence);
		break;
	case PIMENTO_TALK_LIMITS:
		if (t->opts.limits)
			receive_limits(t, &msg->pimento_talk_u.limits);
		break;
	case PIMENTO_TALK_NOTE:
		if (t->opts.note)
			receive_note(t, from, &msg->pimento_talk_u.note);
		break;
	case PIMENTO_TALK_ALLOWANCE_ASK:
		if (t->opts.allowance_ask)
			receive_allowance_ask(t, from,
					      &msg->pimento_talk_u.ask);
		break;
	case PIMENTO_TALK_ALLOWANCE_GRANT:
		if (t->opts.allowance_grant)
			receive_allowance_grant(t, from,
						&msg->pimento_talk_u.grant);
		break;
	}
}

static void on_readable(evutil_socket_t fd, short what, void *ctx)
{
	struct sockaddr_in from;
	socklen_t len = sizeof(from);
	struct pf_talk *t = ctx;
	char buf[DATAGRAM_MAX];
	ssize_t n;

	(void)what;
	while ((n = recvfrom(fd, buf, sizeof(buf), MSG_DONTWAIT,
			     (struct sockaddr *)&from, &len)) > 0) {
		pimento_talk msg;
		XDR x;

		memset(&msg, 0, sizeof(msg));
		xdrmem_create(&x, buf, (u_int)n, XDR_DECODE);
		if (xdr_pimento_talk(&x, &msg))
			dispatch_datagram(t, &from, &msg, &x);
		else
			PF_LOG(t->opts.log, PF_LOG_WARN, "bad_datagram",
			       PF_KV_INT("bytes", n));
		xdr_destroy(&x);
		xdr_free((xdrproc_t)xdr_pimento_talk, (char *)&msg);
		len = sizeof(from);
	}
}

static int open_socket(const char *addr)
{
	struct sockaddr_in at;
	int fd;

	if (pf_talk_addr(addr, &at) < 0)
		return -1;
	fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd >= 0 && bind(fd, (struct sockaddr *)&at, sizeof(at)) < 0) {
		evutil_closesocket(fd);
		return -1;
	}
	return fd;
}

struct pf_talk *pf_talk_new(const struct pf_talk_opts *o)
{
	struct pf_talk *t = calloc(1, sizeof(*t));

	if (!t)
		return NULL;
	t->opts = *o;
	t->fd = open_socket(o->addr);
	if (t->fd >= 0)
		t->read_event = event_new(o->base, t->fd, EV_READ | EV_PERSIST,
					  on_readable, t);
	if (!t->read_event || event_add(t->read_event, NULL) < 0) {
		pf_talk_free(t);
		return NULL;
	}
	return t;
}

void pf_talk_free(struct pf_talk *t)
{
	if (!t)
		return;
	if (t->read_event)
		event_free(t->read_event);
	if (t->fd >= 0)
		evutil_closesocket(t->fd);
	free(t);
}
