/*
 * The entry daemon: callers' connections on one side, sessions with agents
 * on the other, the entry core between them. One event loop owns everything;
 * modules take the daemon and talk to the core through entry_step().
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

/** What a request is about, besides what the core knows of it. */
struct request {
	LIST_ENTRY(request) next;
	struct daemon *d;
	uint64_t id;
	struct conn *conn;
	evhtp_request_t *http; /* NULL: its caller is gone */
	uint64_t draft; /* run `seq` of the draft core; 0: of a caller */
	bool plain;
	bool stream;
	bool usage;
	bool head_sent; /* of a stream */
	bool ended; /* the core has ended it */
	struct pf_oai_shape shape; /* not of a plain call */
	struct pf_payload payload; /* `prior` is empty; owned */
	uint32_t prompt_tokens;
	struct pf_text output; /* delivered by the core; a resume's `prior` */
	uint32_t output_tokens;
	size_t unsent; /* bytes of `output` not yet given to the socket */
	struct pf_text tail; /* what follows them once it has ended */
};

/** What a caller's connection waits for. */
enum conn_phase {
	CONN_HEAD, /* a whole head */
	CONN_BODY, /* `body_left` bytes of a body */
	CONN_CHUNKED, /* the end of a chunked body */
	CONN_ANSWERING,
};

/** A caller's connection. */
struct conn {
	LIST_ENTRY(conn) next;
	struct daemon *d;
	evhtp_connection_t *http;
	struct event *timer; /* for a request to arrive, or to be closed */
	struct request *request; /* the one being answered */
	struct operation *operation; /* of an operator, being answered */
	struct draft_ask *draft; /* of a caller, being answered */
	enum conn_phase phase;
	uint64_t body_left;
	size_t body_bytes; /* of the request that is arriving */
	bool receiving; /* some of a request has arrived */
	bool refused; /* answered with an error; what comes is dropped */
	struct evbuffer *rest; /* came behind the request at hand */
	struct event *resume;
	/* evhtp's own callbacks */
	bufferevent_data_cb read_cb;
	bufferevent_data_cb write_cb;
	bufferevent_event_cb event_cb;
	void *cb_arg;
};

/** A session that is kept with an agent or with another entry. */
struct link {
	LIST_ENTRY(link) next;
	uint64_t id; /* endpoint id; 0: an entry named in the settings */
	char *addr;
	struct pf_rpc_session *session;
	bool held; /* up, but the core is not to use it yet */
	bool unwanted; /* to be dropped once nothing is in flight */
};

/** Sessions with other entries at once. */
#define ENTRIES_MAX 64

struct request_slot {
	struct request *request;
};

struct daemon {
	struct event_base *base;
	struct pf_entry_settings set;
	struct pf_log log;
	struct pf_entry_counters counters;
	char *key;
	uint64_t id;
	uint64_t incarnation; /* random; request ids derive from it */
	uint64_t requests_made;
	uint32_t shards; /* of the claims of a service */
	struct pf_config *config; /* NULL until the first is adopted */
	char *config_text; /* of it, for peers and operators */
	bool draining;
	bool drained;

	struct pf_entry *core;
	struct event *core_timer;
	pf_ms core_due;
	bool in_step;
	const struct pf_wire_msg *at_hand; /* that the core is handling */
	LIST_HEAD(, request) requests;
	struct pf_map request_index;
	struct request_slot *slots; /* by the map's value */
	uint32_t *free_slots;
	uint32_t n_free_slots;
	LIST_HEAD(, request) gone; /* whose callers left inside a step */
	struct event *gone_ev;

	struct evhtp *http;
	LIST_HEAD(, conn) conns;
	uint32_t n_conns;
	struct pf_text scratch; /* one answer's bytes */

	struct pf_rpc *rpc;
	LIST_HEAD(, link) links;
	struct pf_rpc_session *entries[ENTRIES_MAX]; /* other entries */
	uint32_t n_entries;

	struct pf_table *table;
	struct pf_config_follower *follower; /* of the configuration */
	struct changes *changes; /* of operators */
	struct drafts *drafts;
	struct planner *planner;
	struct pf_vm_list *vms;
	struct pf_member *members;
	struct event *members_timer;
	struct event *stop_timer;
	struct pf_rng rng;
};

/* core.c */
int core_start(struct daemon *d);
void core_stop(struct daemon *d);
/** Feeds the core and carries out its acts. Not from inside an act. */
void entry_step(struct daemon *d, const struct pf_entry_msg *m);

/* requests.c */
int requests_init(struct daemon *d);
void requests_stop(struct daemon *d);
/** NULL when there is no room. */
struct request *requests_new(struct daemon *d, struct conn *c,
			     evhtp_request_t *http);
struct request *requests_find(struct daemon *d, uint64_t id);
void requests_free(struct request *r);
/** The caller left: tells the core and frees @r, now or after the step. */
void requests_gone(struct request *r);
int payload_copy(struct pf_payload *to, const struct pf_payload *from);
void payload_free(struct pf_payload *p);

/* server.c: connections, limits, routing */
int server_start(struct daemon *d);
void server_stop(struct daemon *d);
/** Answers before the request is whole; drops what still comes, and closes. */
void server_refuse(struct conn *c, int status, const char *phrase,
		   const char *code, const char *message);
/** Some of a request has come. */
void server_receiving(struct conn *c);

/* reader.c: what evhtp's parser is given */
int reader_start(struct conn *c);
void reader_stop(struct conn *c);
/** The answer is sent: the next request may be read. */
void reader_next(struct conn *c);

/* api.c: /v1/... */
void api_completion(struct daemon *d, struct conn *c, evhtp_request_t *req,
		    enum pf_oai_kind kind);
void api_models(struct daemon *d, struct conn *c, evhtp_request_t *req);
/** The caller whose key stands in the request, or NULL after a refusal. */
const struct pf_caller *api_caller(struct daemon *d, struct conn *c,
				   evhtp_request_t *req);

/** Runs a stored request for its caller; its end goes to drafts_ran(). */
void api_draft_run(struct daemon *d, uint64_t seq, uint64_t caller,
		   enum pf_oai_kind kind, struct pf_str body);

/* drafts.c: requests whose answers may come later */
int drafts_start(struct daemon *d);
void drafts_stop(struct daemon *d);
/** Takes a checked body in; answers 202 once it is stored. */
void drafts_ask(struct daemon *d, struct conn *c, evhtp_request_t *req,
		const struct pf_caller *caller, enum pf_oai_kind kind,
		struct pf_str body);
/** GET and DELETE of /v1/drafts/ID. */
void drafts_route(struct daemon *d, struct conn *c, evhtp_request_t *req);
void drafts_gone(struct conn *c);
/** A run has ended; may be called inside the core's step. */
void drafts_ran(struct daemon *d, uint64_t seq, bool final, int status,
		struct pf_str body);
void drafts_refresh(struct daemon *d);

/* svc.c: /svc/NAME/... */
void svc_call(struct daemon *d, struct conn *c, evhtp_request_t *req);

/* answer.c: what goes to callers */
void answer_bytes(struct conn *c, evhtp_request_t *req, int status,
		  const char *type, struct pf_str body);
void answer_failure(struct conn *c, evhtp_request_t *req, int status,
		    const struct pf_oai_failure *f);
/** A refusal before the core knows the request: it did not run. */
void answer_refused(struct conn *c, evhtp_request_t *req, int status,
		    const char *code, const char *message);
/** Some tokens of a stream; @text is already part of r->output. */
void answer_text(struct request *r, struct pf_str text);
/** The end of a request; frees @r unless output is still to be sent. */
void answer_end(struct request *r, const struct pf_entry_act *act);
/** The socket has room again. */
void answer_writable(struct request *r);

/* links.c */
int links_start(struct daemon *d);
void links_stop(struct daemon *d);
/** Agents whose addresses changed get new sessions. */
void links_configure(struct daemon *d);
void links_send(struct daemon *d, uint64_t agent, const struct pf_wire_msg *m);
/** To an agent or an entry with a session. */
void links_send_peer(struct daemon *d, uint64_t id,
		     const struct pf_wire_msg *m);
void links_send_entries(struct daemon *d, const struct pf_wire_msg *m);

/** Holds a session with an agent, or lets go of it. 0 or -1. */
int links_hold(struct daemon *d, uint64_t agent);
void links_let_go(struct daemon *d, uint64_t agent);
void links_drop_unwanted(struct daemon *d);
bool links_knows_entry(const struct daemon *d, uint64_t id);
/** The core may use an agent whose session stood before. */
void links_use(struct daemon *d, uint64_t agent);

/* members.c: who there is, and which agents to hold sessions with */
int members_start(struct daemon *d);
void members_stop(struct daemon *d);
void members_configure(struct daemon *d);
void members_up(struct daemon *d, const struct pf_rpc_peer *p);
void members_down(struct daemon *d, uint64_t id);
/** Anything came from the agent @id. */
void members_heard(struct daemon *d, const struct pf_rpc_peer *p,
		   const struct pf_wire_msg *w);

/* config.c */
int config_start(struct daemon *d);

/** The entry whose session it is gets @m, by its life's number. */
void links_send_entry(struct daemon *d, uint64_t incarnation,
		      const struct pf_wire_msg *m);

/* planner.c: the region's placement, if this entry holds the lease */
int planner_start(struct daemon *d);
void planner_stop(struct daemon *d);
/** A new configuration, before the old one is freed. */
void planner_configure(struct daemon *d);
/** What an agent said, or that its session went down. */
void planner_hears(struct daemon *d, const struct pf_entry_msg *m);
void planner_demand(struct daemon *d, uint64_t entry,
		    const struct pf_wire_msg *m);
/** Gives the lease up. */
void planner_leave(struct daemon *d);

/* admin.c: operators' interface and status */
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
/** The operator of @c left; what was asked goes on. */
void admin_gone(struct conn *c);

/* main.c */
void daemon_drain(struct daemon *d, const char *why);

#endif
