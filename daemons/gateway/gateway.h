/*
 * The gateway daemon: an HTTP/1.1 proxy between callers and endpoints. The gate
 * core decides where each request is sent; this code does its I/O. It runs on
 * one event loop in one thread.
 */
#ifndef GATEWAY_H
#define GATEWAY_H

#include "pimentoford/buffer_budget.h"
#include "pimentoford/clock.h"
#include "pimentoford/durations.h"
#include "pimentoford/gate.h"
#include "pimentoford/http1.h"
#include "pimentoford/log.h"
#include "pimentoford/map.h"
#include "pimentoford/process.h"
#include "pimentoford/settings.h"
#include "pimentoford/sock.h"
#include "pimentoford/talk.h"
#include "platform/platform.h"

#include <event2/event.h>
#include <sys/queue.h>

struct gateway;
struct caller;
struct upstream;

#define ENDPOINT_ADAPTERS_MAX 64

struct adapter_use {
	uint64_t adapter;
	uint32_t requests;
};

/** An endpoint from its row in the store, and its connections. */
struct endpoint {
	LIST_ENTRY(endpoint) next;
	struct gateway *gateway;
	struct pf_endpoint_info info;
	/* Of its row; 0: the store was restored since, any row is newer. */
	uint64_t revision;
	uint32_t generation; /* counts changes of its address, start or state */
	LIST_HEAD(, upstream) idle_conns;
	uint32_t n_idle_conns;
	uint64_t seen_in_read; /* last full read with its row */
	/*
	 * The row disappeared in a store outage or restore: the endpoint is
	 * removed then unless it is written again. 0: none due.
	 */
	pf_ms remove_at;
	int64_t left_incarnation; /* that said that it leaves; 0: none */
	double limit_per_s; /* requests that it takes; < 0: any */
	double planned_limit; /* as the plan core knows it */
	bool removed; /* unknown to the cores; freed with its last connection */
	uint32_t refs; /* connections, idle ones included */
	struct adapter_use adapters_in_use[ENDPOINT_ADAPTERS_MAX];
	uint32_t n_adapters_in_use;
	bool usage_changed; /* adapters_in_use, since usage_sent_at */
	pf_ms usage_sent_at; /* last usage report to its loader */
};

enum exchange_allowance {
	EXCHANGE_NOT_ASKED, /* or it was decided and processed */
	EXCHANGE_WAITS, /* for a decision */
	EXCHANGE_DECIDED, /* to be processed */
};

/** A request and its answer so far. */
struct exchange {
	LIST_ENTRY(exchange) next;
	struct gateway *gateway;
	struct caller *caller;
	uint32_t core_handle; /* UINT32_MAX: unknown to the core */
	enum pf_route_kind kind;
	uint64_t route_key; /* in `durations` */
	pf_ms arrived_at;
	struct pf_text head_bytes; /* borrowed by `head` and `inbound` */
	struct pf_h1_head head;
	struct pf_inbound inbound;
	struct pf_text body;
	struct upstream *upstream; /* of the send in flight; NULL: none */
	struct pf_text answer_head; /* for the caller, without framing fields */
	struct pf_text answer_body; /* streams: not forwarded yet */
	int answer_status;
	bool answer_head_sent; /* streams: the caller has it */
	int64_t last_event_id; /* of the events forwarded; -1: none */
	uint32_t n_sends;
	pf_ms first_event_at; /* first event forwarded; 0: none yet */
	uint64_t account; /* of the client; 0: none */
	char *account_name; /* NULL: none */
	int account_priority; /* -1: unset */
	struct {
		TAILQ_ENTRY(exchange) next; /* DECIDED */
		enum exchange_allowance state;
		uint32_t weight;
		uint32_t paid; /* times; 0: not admitted by the core */
		uint32_t runs; /* sends that may have run */
		bool in_flight; /* the last send is one of them */
		enum pf_allowance_reason reason; /* rejected */
		pf_ms retry_after;
	} allowance; /* of its account */
};

struct upstream {
	LIST_ENTRY(upstream) next; /* in idle_conns */
	struct endpoint *endpoint;
	int64_t incarnation; /* of the endpoint when connected */
	uint32_t generation; /* the same */
	struct pf_sock *sock;
	struct exchange *exchange; /* NULL: idle */
	uint64_t request; /* its id, or that of the one before, hashed */
	uint64_t adapter; /* counted in adapters_in_use; 0: none */
	struct pf_text head_buf; /* an incomplete answer head */
	size_t interim_bytes; /* of answers with a status below 200 */
	bool in_body; /* the answer head was parsed */
	pf_ms sent_at; /* the request */
	pf_ms send_deadline; /* of the request, for the endpoint */
	int priority; /* of the request; -1: unset */
	pf_ms body_at; /* its answer head came; 0: not yet */
	bool streaming; /* events are forwarded as they arrive */
	bool paused; /* not read, as the caller is slow */
	bool reused; /* served another request before */
	bool reusable; /* may serve another request after this one */
	pf_ms idle_deadline;
	pf_ms idle_since; /* 0: not idle */
	struct pf_reply reply;
	struct pf_h1_body body;
};

struct feeds;
struct talk;
struct ready_server;
struct config_peers;
struct streams;
struct allowance;
struct account_counts;
struct versions;
struct buffers;
struct pf_gateway_counters;

struct gateway {
	struct event_base *base;
	struct pf_gateway_settings settings;
	const char *settings_path;
	struct pf_log log;
	struct pf_gateway_counters *counters;
	uint64_t self; /* id of this start of the process */
	pf_ms started_at;
	pf_ms stopping_since; /* 0: not stopping */
	bool shutting_down; /* new requests are refused */
	struct pf_gate *core;
	struct event *core_timer;
	bool in_core_step; /* the core must not be entered again */
	struct pf_routes *routes; /* NULL: no configuration yet */
	struct pf_client_keys *keys; /* NULL: callers need none */
	struct pf_key_seeds key_seeds;
	LIST_HEAD(, endpoint) endpoints;
	uint32_t n_endpoints;
	/* Store revision of the last endpoint added, removed or changed in
	 * state. */
	uint64_t endpoints_revision;
	LIST_HEAD(, exchange) exchanges;
	LIST_HEAD(, caller) callers;
	uint32_t n_callers;
	int listener;
	struct event *accept_ev;
	struct event *sweep_timer; /* closes connections that timed out */
	LIST_HEAD(, caller) resumed_callers; /* input to parse */
	struct event *resume_ev;
	struct event *stop_timer;
	struct pf_text scratch; /* for one message at a time */
	struct pf_store *store;
	struct feeds *feeds;
	struct talk *talk;
	struct ready_server *ready_server;
	struct config_peers *config_peers;
	struct streams *streams;
	struct allowance *allowance; /* NULL: none are set */
	struct account_counts *account_counts;
	struct versions *versions;
	struct buffers *buffers;
	struct pf_durations *durations; /* of requests, by route */
	/* Ends of sends reported during a step of the core. */
	struct event *deferred_ev;
	struct pf_gate_end *deferred_ends;
	uint32_t n_deferred_ends, cap_deferred_ends;
};

/* core.c: drives the gate core */
int core_start(struct gateway *g);
void core_stop(struct gateway *g);
/** Passes @m to the core and executes its acts. Acts must not call it. */
void core_step(struct gateway *g, const struct pf_gate_msg *m);
/** Reports the end of a send; during a step, after that step. */
void core_send_ended(struct gateway *g, const struct pf_gate_end *end);
/** Drops the deferred ends of a request that is being freed. */
void core_drop_deferred(struct gateway *g, uint32_t handle);

/* callers.c: connections of callers */
int callers_start(struct gateway *g);
void callers_stop(struct gateway *g);
/** The drain is over: answers the requests that are still open. */
void callers_give_up(struct gateway *g);
/** Accepts no more connections; the idle ones are closed soon. */
void callers_stop_accepting(struct gateway *g);
void caller_set_exchange(struct caller *c, struct exchange *x);
/** The answer was written: reads the next request, or closes. May free @c. */
void caller_answer_done(struct caller *c);
/** Resets the connection, to mark the answer as incomplete. Frees @c. */
void caller_abort(struct caller *c);
/** If @t is incomplete, the connection is reset at the end of the answer. */
void caller_write(struct caller *c, const struct pf_text *t);
/**
 * Whether the head of the current answer announces that the connection is
 * closed after it. It is closed only then.
 */
bool caller_announces_close(struct caller *c);
/** Whether the caller understands chunked encoding (HTTP/1.1). */
bool caller_accepts_chunked(const struct caller *c);

/** What the connection holds has changed. */
void caller_note_buffers(struct caller *c);
/** Stops or resumes reading its stream from the endpoint, as is due. */
void caller_pace(struct caller *c);
/** Ends the connection, or its request, as it holds too much. May free @c. */
void caller_end_slow(struct caller *c);

/* buffers.c: bounds the memory of callers' connections */
int buffers_start(struct gateway *g);
void buffers_stop(struct gateway *g);
/** Sets what @h holds. @reads: its caller has taken bytes, or needs none. */
void buffers_set(struct gateway *g, struct pf_buffer_holder *h,
		 uint64_t account, const struct pf_buffer_amounts *a,
		 bool reads);
void buffers_remove(struct gateway *g, struct pf_buffer_holder *h);
/**
 * Whether @h may hold @n further bytes of a request. May free callers, but not
 * that of @h.
 */
bool buffers_admit(struct gateway *g, const struct pf_buffer_holder *h,
		   size_t n);
/** Stops or resumes reading the stream of @x, which may be NULL. */
void buffers_pace(struct gateway *g, struct pf_buffer_holder *h,
		  struct exchange *x);
/** Resumes what may be read again. */
void buffers_sweep(struct gateway *g);
void buffers_set_counters(const struct gateway *g,
			  struct pf_gateway_counters *c);

/* exchange.c: requests and their answers */
/** Starts a complete request of @c. Takes over @head and @body. */
void exchange_start(struct gateway *g, struct caller *c, struct pf_text *head,
		    const struct pf_h1_head *parsed, struct pf_text *body);
/** The caller disconnected. Frees @x. */
void exchange_hangup(struct exchange *x);
void exchange_free(struct exchange *x);
/** Decisions on its account's allowance; may free @x. */
void exchange_admit(struct exchange *x);
void exchange_reject(struct exchange *x);
/** Acts of the core; each frees @x. */
void exchange_deliver(struct exchange *x);
void exchange_refuse(struct exchange *x, const struct pf_gate_act *a);
void exchange_fail(struct exchange *x, const struct pf_gate_act *a);
void exchange_start_answer(struct exchange *x, const struct pf_h1_head *h);
/** Forwards the complete events in answer_body. */
void exchange_forward_events(struct exchange *x);
/** Whether answer_body ends in an incomplete event. */
bool exchange_has_partial_event(const struct exchange *x);
/**
 * Whether no byte of a stream has come yet, from any endpoint; false for one
 * that its caller resumes, perhaps after its last event.
 */
bool exchange_is_empty(const struct exchange *x);
/** Adds what @x holds in memory. */
void exchange_add_buffers(const struct exchange *x,
			  struct pf_buffer_amounts *a);
/**
 * Ends a request before its answer is complete: with an error, or a reset if the
 * answer has begun. Frees @x, and perhaps its caller.
 */
void exchange_give_up(struct exchange *x, const char *code);
/** Answers a request that was not read completely. */
void exchange_refuse_early(struct caller *c, int status, const char *code);

/* accounts.c: client accounts and their keys */
int accounts_start(struct gateway *g);
void accounts_stop(struct gateway *g);
/**
 * Checks the key of a request that was read, and takes it out of its head. Sets
 * the account of @x. Returns 0, or -1 with @status and @code of the refusal.
 */
int accounts_check(struct exchange *x, const struct pf_route *route,
		   int *status, const char **code);
/** Puts @keys into force, with @routes; takes them over. */
void accounts_set_keys(struct gateway *g, const struct pf_routes *routes,
		       struct pf_client_keys *keys);
/** Logs the accounts of which this version was not accepted. */
void accounts_log_findings(struct gateway *g, const struct platform_config *c);

/* DEF(name, code): how a request of a client account ended. */
#define ACCOUNT_OUTCOMES(DEF)                                       \
	DEF(ANSWERED, "answered")                                   \
	DEF(OVER_LIMIT, "over_limit") /* 429 by its allowance */    \
	DEF(REFUSED, "refused") /* for another reason; not run */   \
	DEF(FAILED, "failed") /* an error, or a stream was reset */ \
	DEF(HANGUP, "hangup") /* its caller disconnected */

enum account_outcome {
#define DEF(name, code) ACCOUNT_##name,
	ACCOUNT_OUTCOMES(DEF)
#undef DEF
		ACCOUNT_OUTCOME_COUNT
};

/* account_counts.c: requests of each client account by outcome */
int account_counts_start(struct gateway *g);
void account_counts_stop(struct gateway *g);
/** Counts the end of @x, unless it has no account. */
void account_counts_add(const struct exchange *x, enum account_outcome how);
/** Sets @out to the counts of @account since the start. */
void account_counts_get(const struct gateway *g, uint64_t account,
			uint64_t out[ACCOUNT_OUTCOME_COUNT]);

/* reports.c: read-only reports for operators */
struct evhttp;
void reports_start(struct gateway *g, struct evhttp *http);

/* allowances.c: what each client account may send */
int allowances_start(struct gateway *g);
void allowances_stop(struct gateway *g);
/**
 * Asks whether @x may go on. False: it need not ask. Else exchange_admit() or
 * exchange_reject() follows, perhaps during the call.
 */
bool allowances_ask(struct exchange *x, const struct pf_route *route);
/** Whether the gate core doesn't know @x yet. */
bool allowances_is_undecided(const struct exchange *x);
/** A send of @x may run from now on: all but the first are charged. */
void allowances_request_written(struct exchange *x);
void allowances_send_ended(struct exchange *x, enum pf_gate_outcome outcome);
/** @x is being freed: what was paid for sends that never ran is refunded. */
void allowances_end(struct exchange *x);
/** Takes the limits from g->routes. */
void allowances_routes_changed(struct gateway *g);
/** Another gateway. @id: from its digest; 0: from its row. */
void allowances_member(struct gateway *g, const struct sockaddr_in *addr,
		       uint64_t id);
/** The rows of all gateways were read. */
void allowances_members_read(struct gateway *g);
void allowances_on_ask(struct gateway *g, const struct sockaddr_in *from,
		       const struct pf_allowance_ask *a);
void allowances_on_grant(struct gateway *g, const struct sockaddr_in *from,
			 const struct pf_allowance_grant *grant);
/** Sets @v to what is known of @account; false if nothing is. */
bool allowances_view(const struct gateway *g, uint64_t account,
		     struct pf_allowance_view *v);
/** Writes the address of the gateway with this key; empty: not known. */
void allowances_home(const struct gateway *g, uint64_t key,
		     struct pf_text *out);
/** Appends a few lines for each account, as Prometheus text. */
void allowances_metrics(const struct gateway *g, struct pf_text *t);

/* upstream.c: connections to endpoints */
void upstream_send(struct exchange *x, const struct pf_gate_act *a);
/** Connects to a silent endpoint; reports to the core if that succeeds. */
void upstream_probe(struct gateway *g, uint64_t endpoint);
/** Closes the connection of the send in flight, if any. */
void upstream_cancel(struct exchange *x);
/** Whether a stream is being read. */
bool upstream_may_pause(const struct exchange *x);
/** Stops or resumes reading the answer that is being read. */
void upstream_pause(struct exchange *x, bool pause);
void upstream_close_idle(struct endpoint *e);
void upstream_close_expired(struct gateway *g);

/* endpoints.c: the endpoints in the store */
struct endpoint *endpoint_find(struct gateway *g, uint64_t id);
/** Adds or updates an endpoint from its row. */
void endpoint_update(struct gateway *g, struct pf_str key, struct pf_str value,
		     uint64_t revision);
/** Removes an endpoint whose row is gone; not before @remove_at. */
void endpoint_row_deleted(struct endpoint *e, uint64_t revision,
			  pf_ms remove_at);
/** The store was restored: missing rows may be written until @remove_at. */
void endpoints_on_restore(struct gateway *g, pf_ms remove_at);
/** Carries out removals that are due, and frees removed endpoints. */
void endpoints_sweep(struct gateway *g);
void endpoints_stop(struct gateway *g);
/** Releases the reference of a closed connection. */
void endpoint_unref(struct endpoint *e);
/** Count the requests in flight that use @adapter; 0 is ignored. */
void endpoint_use_adapter(struct endpoint *e, uint64_t adapter);
void endpoint_release_adapter(struct endpoint *e, uint64_t adapter);

/* feeds.c: reads the configuration and the endpoints from the store */
int feeds_start(struct gateway *g);
void feeds_stop(struct gateway *g);
/** Compares what another gateway has read; reads soon if this one is behind. */
void feeds_on_peer_view(struct gateway *g, const struct sockaddr_in *from,
			const struct pf_talk_store_view *view);
/** Puts the configuration in @value into effect. -1 if it isn't newer. */
int feeds_read_config(struct gateway *g, struct pf_str value);
/** Whether the store did not answer the last call for the configuration. */
bool feeds_config_away(const struct gateway *g);
/** Time since the last reply of the store; long if it did not answer since. */
pf_ms feeds_store_age(const struct gateway *g, pf_ms now);
/** Reads if this is overdue, since the region's readers are gone. */
void feeds_poll_if_overdue(struct gateway *g);

/* config_peers.c: passes the configuration on between gateways */
int config_peers_start(struct gateway *g);
void config_peers_stop(struct gateway *g);
/**
 * Another gateway stated its version. Returns whether it is newer; then it is
 * fetched, unless the store has it first.
 */
bool config_on_peer_view(struct gateway *g, const struct sockaddr_in *from,
			 uint64_t version);
/** The process goes on; notices that it was frozen since the last call. */
void config_note_step(struct gateway *g);
/** Whether it began, or was frozen, so recently that peers had no say yet. */
bool config_awaits_peers(const struct gateway *g);
/**
 * Whether it began, or was frozen, recently and its configuration is known, or
 * not yet known not, to be older than the one in force.
 */
bool config_may_be_stale(const struct gateway *g);
/** Keeps the one that has come into force, without keys, for other gateways. */
void config_in_force(struct gateway *g, struct pf_str row);

/* streams.c: which software began a stream */
int streams_start(struct gateway *g);
void streams_stop(struct gateway *g);
/** Acts of the core. */
void streams_tell_replicas(struct gateway *g, const struct pf_gate_note *n);
void streams_read(struct gateway *g);
/** A version came: the streams begun before it are written at once. */
void streams_write_soon(struct gateway *g);
void streams_reply(struct gateway *g, const struct pf_gate_note *n);
void streams_on_note(struct gateway *g, const struct sockaddr_in *from,
		     const struct pf_gate_note *n);
/** The store was restored: this gateway's row may be gone. */
void streams_on_restore(struct gateway *g);

/* versions.c: the history of software versions in the store */
int versions_start(struct gateway *g);
void versions_stop(struct gateway *g);
/** Act of the core: writes the versions that are listed, if there are new ones. */
void versions_record(struct gateway *g);
/** All rows of endpoints were read. */
void versions_endpoints_read(struct gateway *g);
/** The store was restored: the row may be older. */
void versions_on_restore(struct gateway *g);

/* ready.c: readiness and metrics */
int ready_start(struct gateway *g);
void ready_stop(struct gateway *g);
bool gateway_is_ready(const struct gateway *g);

/* talk.c: datagrams to and from gateways and loaders; drives the plan core */
int talk_start(struct gateway *g);
void talk_stop(struct gateway *g);
/** Whether this gateway is one of its region's readers of the store. */
bool members_is_store_reader(const struct gateway *g);
/**
 * Whether enough other gateways in the region have recently had a reply from
 * the store. Their digests announce changes.
 */
bool members_have_store_readers(const struct gateway *g);
/** Whether there are other gateways, and no digest of any came lately. */
bool members_hear_nobody(const struct gateway *g);
/** The store was restored: this gateway's row may be gone. */
void members_on_restore(struct gateway *g);
/** Act of the core: asks a loader to load the adapter of @x. */
void talk_request_adapter(struct exchange *x, const struct pf_gate_act *a);
/** Passes g->routes to the plan core; the old table must still be valid. */
void talk_routes_changed(struct gateway *g);
/** Pass changes of the endpoints to the plan core. */
void talk_endpoint_updated(struct gateway *g,
			   const struct pf_endpoint_info *info);
void talk_endpoint_removed(struct gateway *g, uint64_t id);
void talk_endpoint_leaving(struct gateway *g, uint64_t id, int64_t incarnation);

/* main.c */
/** Puts a newer configuration into effect; empties @c. -1: it isn't. */
int gateway_set_config(struct gateway *g, struct platform_config *c);

#endif
