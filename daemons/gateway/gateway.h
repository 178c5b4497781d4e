/*
 * The gateway daemon: callers' connections on one side, endpoints' on the
 * other, the gate core between them. One event loop owns everything. Drivers
 * give the core messages; its acts come to them through one table.
 */
#ifndef GATEWAY_H
#define GATEWAY_H

#include "pimentoford/clock.h"
#include "pimentoford/gate.h"
#include "pimentoford/http1.h"
#include "pimentoford/log.h"
#include "pimentoford/map.h"
#include "pimentoford/process.h"
#include "pimentoford/settings.h"
#include "pimentoford/sock.h"
#include "platform/platform.h"

#include <event2/event.h>
#include <sys/queue.h>

struct gateway;
struct caller;
struct upstream;

#define ENDPOINT_ADAPTERS_MAX 64

/** An adapter that requests under way use. */
struct adapter_use {
	uint64_t adapter;
	uint32_t requests;
};

/** An endpoint as the store lists it, and its idle connections. */
struct endpoint {
	LIST_ENTRY(endpoint) next;
	struct gateway *gateway;
	struct pf_endpoint_info info;
	uint64_t revision; /* of its row */
	LIST_HEAD(, upstream) idle_conns;
	uint32_t n_idle_conns;
	uint64_t seen_in_read; /* of the full read that showed it last */
	pf_ms remove_at; /* its row vanished with the store away: gone then */
	bool removed; /* freed once no connection needs it */
	uint32_t refs; /* connections */
	struct adapter_use adapters_in_use[ENDPOINT_ADAPTERS_MAX];
	uint32_t n_adapters_in_use;
	bool usage_changed; /* since its loader was told */
	pf_ms usage_sent_at; /* its loader heard from this gateway */
};

/** One request on its way between its caller and an endpoint. */
struct exchange {
	LIST_ENTRY(exchange) next;
	struct gateway *gateway;
	struct caller *caller;
	uint32_t core_handle; /* at the core */
	enum pf_route_kind kind;
	pf_ms arrived_at;
	struct pf_text head_bytes; /* owned; `head` and `in` borrow it */
	struct pf_h1_head head;
	struct pf_inbound inbound;
	struct pf_text body;
	struct upstream *upstream; /* the try in flight */
	/* the answer */
	struct pf_text answer_head; /* to the caller, without its framing */
	struct pf_text answer_body; /* body, or events not passed on yet */
	int answer_status;
	bool answer_head_sent;
	int64_t last_event_id; /* passed on; -1: none */
	uint32_t n_sends;
	pf_ms first_event_at; /* the first event was passed on; 0: none yet */
};

/** A connection to an endpoint. */
struct upstream {
	LIST_ENTRY(upstream) next; /* idle ones */
	struct endpoint *endpoint;
	struct pf_sock *sock;
	struct exchange *exchange; /* NULL: idle */
	uint64_t adapter; /* that its request uses */
	struct pf_text head_buf; /* a head that is not whole */
	bool in_body;
	bool streaming; /* events are passed on as they come */
	bool reused;
	bool reusable; /* may serve another request */
	pf_ms idle_deadline;
	pf_ms idle_since;
	struct pf_reply reply;
	struct pf_h1_body body;
};

struct feeds;
struct talk;
struct planner;
struct ready_server;

struct gateway {
	struct event_base *base;
	struct pf_gateway_settings settings;
	const char *settings_path;
	struct pf_log log;
	struct pf_gateway_counters *counters;
	uint64_t self; /* of this process's life */
	pf_ms started_at;
	pf_ms stopping_since; /* since; 0: it is not */
	bool shutting_down; /* nothing new is taken any more */
	struct pf_gate *core;
	struct event *core_timer;
	bool in_core_step;
	struct pf_routes *routes; /* in force; NULL: none yet */
	LIST_HEAD(, endpoint) endpoints;
	uint32_t n_endpoints;
	uint64_t endpoints_revision; /* revision at which one came, went or
				     * drained */
	LIST_HEAD(, exchange) exchanges;
	LIST_HEAD(, caller) callers;
	uint32_t n_callers;
	int listener;
	struct event *accept_ev;
	struct event *sweep_timer; /* idle connections and late heads */
	struct event *stop_timer;
	struct pf_text scratch;
	struct pf_store *store;
	struct feeds *feeds;
	struct talk *talk;
	struct planner *planner;
	struct ready_server *ready_server;
	/* ends that came inside a step of the core */
	struct event *deferred_ev;
	struct pf_gate_end *deferred_ends;
	uint32_t n_deferred_ends, cap_deferred_ends;
};

/* core.c: the gate core and its acts */
int core_start(struct gateway *g);
void core_stop(struct gateway *g);
/** Feeds the core and carries out its acts. Not from inside an act. */
void core_step(struct gateway *g, const struct pf_gate_msg *m);
/** The end of a try; waits for the step at hand. */
void core_send_ended(struct gateway *g, const struct pf_gate_end *end);
/** The request is no more: nothing that waits may reach the core for it. */
void core_drop_deferred(struct gateway *g, uint32_t handle);

/* callers.c: callers' connections */
int callers_start(struct gateway *g);
void callers_stop(struct gateway *g);
/** Takes no more connections, and ends those that wait for a request. */
void callers_stop_accepting(struct gateway *g);
/** @x answers the request at hand. */
void caller_set_exchange(struct caller *c, struct exchange *x);
/** The answer is whole: the next request may be read, or the end comes. */
void caller_answer_done(struct caller *c);
/** An answer can't be completed: the caller must see it broken off. */
void caller_abort(struct caller *c);
void caller_write(struct caller *c, struct pf_str bytes);
/** Whether the connection ends after the answer at hand. */
bool caller_will_close(const struct caller *c);
bool caller_accepts_chunked(const struct caller *c);

/* exchange.c: requests and answers as they pass */
/** A whole request of @c: @head and @body are taken over. */
void exchange_start(struct gateway *g, struct caller *c, struct pf_text *head,
		    const struct pf_h1_head *parsed, struct pf_text *body);
/** The caller left. */
void exchange_hangup(struct exchange *x);
void exchange_free(struct exchange *x);
/** Acts of the core. */
void exchange_deliver(struct exchange *x);
void exchange_refuse(struct exchange *x, const struct pf_gate_act *a);
void exchange_fail(struct exchange *x, const struct pf_gate_act *a);
/** The answer's head came; @stream: its events are passed as they come. */
void exchange_start_answer(struct exchange *x, const struct pf_h1_head *h);
/** More of the answer's events came into x->answer. */
void exchange_forward_events(struct exchange *x);
/** Whether x->answer holds a torn event. */
bool exchange_has_partial_event(const struct exchange *x);
/** Answers a request that the core never saw. */
void exchange_refuse_early(struct caller *c, int status, const char *code);

/* upstream.c: connections to endpoints */
void upstream_send(struct exchange *x, const struct pf_gate_act *a);
/** The try in flight is of no use: its connection ends. */
void upstream_cancel(struct exchange *x);
void upstream_close_idle(struct endpoint *e);
/** Ends idle connections whose time is over. */
void upstream_close_expired(struct gateway *g);

/* targets.c: endpoints */
struct endpoint *endpoint_find(struct gateway *g, uint64_t id);
/** An endpoint's row as it is now. */
void endpoint_update(struct gateway *g, struct pf_str key, struct pf_str value,
		     uint64_t revision);
/** Its row is gone; @lapse: when to believe it. */
void endpoint_row_deleted(struct endpoint *e, uint64_t revision,
			  pf_ms remove_at);
void endpoints_sweep(struct gateway *g);
void endpoints_stop(struct gateway *g);
void endpoint_unref(struct endpoint *e);
/** A request with this adapter goes there, or has ended there. */
void endpoint_use_adapter(struct endpoint *e, uint64_t adapter);
void endpoint_release_adapter(struct endpoint *e, uint64_t adapter);

/* follow.c: configuration and endpoints from the store */
int feeds_start(struct gateway *g);
void feeds_stop(struct gateway *g);
/** What another gateway has read; reads what is missing here. */
void feeds_on_peer_revisions(struct gateway *g, uint64_t config,
			     uint64_t endpoints);
/** Since the store answered the feed that it answered last. */
pf_ms feeds_store_age(const struct gateway *g, pf_ms now);
/** Reads at once if those that follow closely have fallen silent. */
void feeds_poll_if_overdue(struct gateway *g);

/* ready.c: readiness and metrics */
int ready_start(struct gateway *g);
void ready_stop(struct gateway *g);
bool gateway_is_ready(const struct gateway *g);

/* talk.c: digests among gateways, wishes and orders to loaders, the plan */
int talk_start(struct gateway *g);
void talk_stop(struct gateway *g);
/** Whether this gateway is one of those that follow the store closely. */
bool members_is_store_reader(const struct gateway *g);
/** Whether others in the region have just heard from the store, and would
 * tell. */
bool members_have_store_readers(const struct gateway *g);
/** Act of the core: an adapter is missing at an endpoint. */
void talk_request_adapter(struct exchange *x, const struct pf_gate_act *a);
/** The routing table has changed; the old one is still there. */
void talk_routes_changed(struct gateway *g);
void talk_endpoint_updated(struct gateway *g,
			   const struct pf_endpoint_info *info);
void talk_endpoint_removed(struct gateway *g, uint64_t id);

/* main.c */
void gateway_set_routes(struct gateway *g, struct pf_routes *routes);

#endif
