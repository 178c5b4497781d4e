/*
 * The entry daemon: accepts callers' HTTP requests and runs them on agents
 * through the entry core. One event loop and one struct daemon own all state;
 * modules pass messages to the core with entry_step().
 */
#ifndef ENTRY_DAEMON_H
#define ENTRY_DAEMON_H

#include "pimentoford/clock.h"
#include "pimentoford/counters.h"
#include "pimentoford/entry.h"
#include "pimentoford/config_follower.h"
#include "pimentoford/log.h"
#include "pimentoford/map.h"
#include "pimentoford/member.h"
#include "pimentoford/openai.h"
#include "pimentoford/process.h"
#include "pimentoford/rpc.h"
#include "pimentoford/settings.h"
#include "pimentoford/table_client.h"
#include "pimentoford/vm_list.h"

#include <event2/event.h>
#include <evhtp/evhtp.h>
#include <sys/queue.h>

struct daemon;
struct conn;

/** A request of the entry core. */
struct request {
	LIST_ENTRY(request) next;
	struct daemon *d;
	uint64_t id;
	struct conn *conn;
	evhtp_request_t *http; /* NULL: the caller disconnected, or a draft */
	uint64_t draft_seq; /* run of the draft core; 0: not a draft */
	bool plain; /* call of a plain service */
	bool stream;
	bool include_usage; /* report usage at the end of a stream */
	bool head_sent; /* the head of a streamed response is sent */
	bool ended; /* the core emitted PF_ENTRY_END */
	struct pf_oai_response shape; /* unused by a plain call */
	struct pf_payload payload; /* owned; `prior` stays empty */
	uint32_t prompt_tokens;
	struct pf_text output; /* delivered so far; `prior` of a resume */
	uint32_t output_tokens;
	size_t unsent_bytes; /* end of `output` not yet given to the socket */
	struct pf_text final_events; /* sent after `output` of a stream */
};

/** What the reader of a connection does with incoming bytes. */
enum conn_phase {
	CONN_HEAD, /* collects a complete request head */
	CONN_BODY, /* passes on the `body_left` bytes left of a body */
	CONN_CHUNKED, /* passes on a chunked body */
	CONN_ANSWERING, /* reads nothing until the request is answered */
};

/** A connection of a caller or an operator. */
struct conn {
	LIST_ENTRY(conn) next;
	struct daemon *d;
	evhtp_connection_t *http;
	struct event *timer; /* read and idle timeout; linger when refused */
	struct request *request; /* being answered */
	struct operation *operation; /* operator's, being answered */
	struct draft_waiter *draft_waiter; /* draft call, being answered */
	enum conn_phase phase;
	uint64_t body_left;
	size_t body_bytes; /* received of the current request's body */
	bool receiving; /* part of a request has arrived */
	bool parsing; /* its input still has the current request */
	bool refused; /* answered with an error; further input is dropped */
	struct evbuffer *pipelined; /* input after the current request */
	struct event *resume_event;
	/* evhtp's callbacks, called by the reader's. */
	bufferevent_data_cb read_cb;
	bufferevent_data_cb write_cb;
	bufferevent_event_cb event_cb;
	void *cb_arg;
};

/** A session that this entry opened to an agent or to another entry. */
struct link {
	LIST_ENTRY(link) next;
	uint64_t id; /* endpoint id; 0: an entry of the `peers` setting */
	char *addr;
	struct pf_rpc_session *session;
	bool awaits_list; /* up, but unused: pf_member_awaits_list() */
	bool closing; /* dropped once no try is in flight on it */
	bool moved; /* `addr` is outdated; likewise, then replaced */
	pf_ms moved_at;
};

/** Sessions with other entries. */
#define ENTRIES_MAX 64

struct request_slot {
	struct request *request;
};

struct daemon {
	struct event_base *base;
	struct pf_entry_settings settings;
	struct pf_log log;
	struct pf_entry_counters counters;
	char *key; /* of the deployment */
	uint64_t id;
	uint64_t incarnation; /* random; request ids derive from it */
	uint64_t requests_made;
	uint32_t claim_shards; /* per service */
	struct pf_config *config; /* NULL until the first is adopted */
	char *config_text; /* records of `config`, for operators */
	bool draining;
	bool drained;

	struct pf_entry *core;
	struct event *core_timer;
	pf_ms core_tick_at; /* when core_timer fires; PF_NEVER: not armed */
	bool in_step;
	/* The message that the core is handling, or NULL. */
	const struct pf_wire_msg *current_msg;
	LIST_HEAD(, request) requests;
	struct pf_map request_index; /* request id to slot */
	struct request_slot *request_slots;
	uint32_t *free_slots;
	uint32_t n_free_slots;
	/* Requests whose caller disconnected during a step of the core. */
	LIST_HEAD(, request) disconnected;
	struct event *disconnected_event;

	struct evhtp *http;
	bool accepting; /* connections of callers */
	LIST_HEAD(, conn) conns;
	uint32_t n_conns;
	struct pf_text scratch; /* for building one response */

	struct pf_rpc *rpc;
	LIST_HEAD(, link) links;
	struct pf_rpc_session *entry_sessions[ENTRIES_MAX];
	uint32_t n_entry_sessions;

	struct pf_table *table;
	struct pf_config_follower *follower;
	struct changes *changes; /* operators' changes */
	struct drafts *drafts;
	struct planner *planner;
	struct pf_vm_list *vm_list;
	struct pf_member *members;
	struct event *members_timer;
	struct event *stop_timer;
	struct pf_rng rng;
};

/* core.c: the entry core */

int core_start(struct daemon *d);
void core_stop(struct daemon *d);
/**
 * Passes @m to the core and carries out the resulting acts. Must not be called
 * while an act is being carried out.
 */
void entry_step(struct daemon *d, const struct pf_entry_msg *m);

/* requests.c: open requests */

int requests_init(struct daemon *d);
void requests_stop(struct daemon *d);
/** Adds a request. NULL when all slots are taken or memory runs out. */
struct request *requests_new(struct daemon *d, struct conn *c,
			     evhtp_request_t *http);
/** The request @id, or NULL. */
struct request *requests_find(struct daemon *d, uint64_t id);
void requests_free(struct request *r);
/**
 * Reports to the core that the caller disconnected and frees @r; during a step
 * of the core both are postponed until after it.
 */
void requests_disconnected(struct request *r);
/** Copies the strings of @from but `prior`. 0, or -1 without memory. */
int payload_copy(struct pf_payload *to, const struct pf_payload *from);
void payload_free(struct pf_payload *p);

/* server.c: HTTP connections, their limits, routing */

int server_start(struct daemon *d);
void server_stop(struct daemon *d);
void server_stop_accepting(struct daemon *d);
/** Whether no connection has part of a request or output left to send. */
bool server_is_idle(const struct daemon *d);
/**
 * Answers with an error before the request is complete, drops further input
 * and closes the connection.
 */
void server_refuse(struct conn *c, int status, const char *phrase,
		   const char *code, const char *message);
/** The first bytes of a request arrived: starts its read timeout. */
void server_request_started(struct conn *c);

/* reader.c: the input given to evhtp's parser */

int reader_start(struct conn *c);
void reader_stop(struct conn *c);
/** Whether bytes of a further request have been read. */
bool reader_has_input(const struct conn *c);
/** The request is answered: reads the next one. */
void reader_resume(struct conn *c);

/* api.c: /v1/... */

void api_completion(struct daemon *d, struct conn *c, evhtp_request_t *req,
		    enum pf_oai_kind kind);
void api_models(struct daemon *d, struct conn *c, evhtp_request_t *req);
/** The caller with the request's bearer key; NULL after an error response. */
const struct pf_caller *api_authenticate(struct daemon *d, struct conn *c,
					 evhtp_request_t *req);

/** Runs a draft; the result goes to drafts_run_done(). */
void api_draft_run(struct daemon *d, uint64_t seq, uint64_t caller,
		   enum pf_oai_kind kind, struct pf_str body);

/* drafts.c: stored requests whose answers are fetched later */

int drafts_start(struct daemon *d);
void drafts_stop(struct daemon *d);
/** Submits a validated body as a draft; answers 202 once it is stored. */
void drafts_submit(struct daemon *d, struct conn *c, evhtp_request_t *req,
		   const struct pf_caller *caller, enum pf_oai_kind kind,
		   struct pf_str body);
/** GET and DELETE of /v1/drafts/ID. */
void drafts_route(struct daemon *d, struct conn *c, evhtp_request_t *req);
void drafts_disconnected(struct conn *c);
/** Whether no caller waits for an answer about a draft. */
bool drafts_idle(const struct daemon *d);
/**
 * The result of the run @seq; @final: false when it is to be run again. May
 * be called while the core's acts are carried out.
 */
void drafts_run_done(struct daemon *d, uint64_t seq, bool final, int status,
		     struct pf_str body);
void drafts_update_counters(struct daemon *d);

/* svc.c: /svc/NAME/... */

void svc_call(struct daemon *d, struct conn *c, evhtp_request_t *req);

/* answer.c: HTTP responses */

void answer_bytes(struct conn *c, evhtp_request_t *req, int status,
		  const char *type, struct pf_str body);
void answer_failure(struct conn *c, evhtp_request_t *req, int status,
		    const struct pf_oai_failure *f);
/** Refuses a request that the core has not seen: reported as not run. */
void answer_refused(struct conn *c, evhtp_request_t *req, int status,
		    const char *code, const char *message);
/** Streams @text, which is already part of r->output. */
void answer_text(struct request *r, struct pf_str text);
/** Ends the response; frees @r once its output is sent. */
void answer_end(struct request *r, const struct pf_entry_act *act);
void answer_writable(struct request *r);

/* links.c: RPC sessions */

int links_start(struct daemon *d);
void links_stop(struct daemon *d);
/**
 * Reconnects to agents whose address changed in the configuration, once their
 * tries in flight have ended.
 */
void links_configure(struct daemon *d);
void links_send(struct daemon *d, uint64_t agent, const struct pf_wire_msg *m);
/** Sends to the agent or the entry @id, if it has a session. */
void links_send_peer(struct daemon *d, uint64_t id,
		     const struct pf_wire_msg *m);
/** Sends to the entry with this incarnation, if it has a session. */
void links_send_incarnation(struct daemon *d, uint64_t incarnation,
			    const struct pf_wire_msg *m);
void links_send_entries(struct daemon *d, const struct pf_wire_msg *m);

/** Opens or keeps the session with an agent. 0, or -1 on failure. */
int links_open(struct daemon *d, uint64_t agent);
/** Closes the session with an agent once no try is in flight on it. */
void links_close_when_idle(struct daemon *d, uint64_t agent);
/** Drops or replaces the closing sessions without a try in flight. */
void links_drop_closing(struct daemon *d);
bool links_has_entry(const struct daemon *d, uint64_t id);
/** Lets the core use an agent whose session awaited the VM list. */
void links_activate(struct daemon *d, uint64_t agent);

/* members.c: known nodes, and the agents to hold sessions with */

int members_start(struct daemon *d);
void members_stop(struct daemon *d);
void members_configure(struct daemon *d);
void members_up(struct daemon *d, const struct pf_rpc_peer *p);
void members_down(struct daemon *d, uint64_t id);
/** Reports any message of a peer as its heartbeat. */
void members_message(struct daemon *d, const struct pf_rpc_peer *p,
		     const struct pf_wire_msg *w);

/* config.c: the configuration */

int config_start(struct daemon *d);

/* planner.c: placement of models in the region, by the holder of the lease */

int planner_start(struct daemon *d);
void planner_stop(struct daemon *d);
/** Passes on a new configuration; call it before the old one is freed. */
void planner_configure(struct daemon *d);
/** Passes on an agent's report, or that it is leaving or disconnected. */
void planner_agent_event(struct daemon *d, const struct pf_entry_msg *m);
void planner_demand(struct daemon *d, uint64_t entry,
		    const struct pf_wire_msg *m);
void planner_release_lease(struct daemon *d);

/* admin.c: operators' interface, health and metrics */

void admin_route(struct daemon *d, struct conn *c, evhtp_request_t *req);
void status_route(struct daemon *d, struct conn *c, evhtp_request_t *req);

/* admin_apply.c: operators' changes and the audit */

int changes_start(struct daemon *d);
void changes_stop(struct daemon *d);
/** Whether no operator waits for an outcome. */
bool changes_idle(const struct daemon *d);
void admin_apply(struct daemon *d, struct conn *c, evhtp_request_t *req);
void admin_drain(struct daemon *d, struct conn *c, evhtp_request_t *req);
void admin_audit(struct daemon *d, struct conn *c, evhtp_request_t *req);
/** The operator of @c disconnected; its change still proceeds. */
void admin_disconnected(struct conn *c);

/* main.c */

/** Stops taking requests; the process exits once the open ones are answered. */
void daemon_drain(struct daemon *d, const char *why);

#endif
