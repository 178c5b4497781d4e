/*
 * Agent daemon: drives the agent core from sockets and timers on one event
 * loop. Modules send messages to the core with agent_step(), or with
 * agent_enqueue() while an act is being carried out.
 */
#ifndef AGENT_DAEMON_H
#define AGENT_DAEMON_H

#include "pimentoford/agent.h"
#include "pimentoford/claim.h"
#include "pimentoford/clock.h"
#include "pimentoford/counters.h"
#include "pimentoford/engine.h"
#include "pimentoford/config_follower.h"
#include "pimentoford/http_client.h"
#include "pimentoford/log.h"
#include "pimentoford/map.h"
#include "pimentoford/process.h"
#include "pimentoford/rpc.h"
#include "pimentoford/settings.h"
#include "pimentoford/table_client.h"
#include "pimentoford/vm_list.h"

#include <event2/event.h>

/** Size of a run name at the engine, "REQUEST.ATTEMPT.EXECUTION". */
#define RUN_NAME_MAX 64

struct claims;
struct daemon;

/** A try that the core knows. */
struct try_slot {
	struct daemon *d;
	bool in_use;
	struct pf_try id;
	uint64_t entry;
	struct pf_payload payload; /* owned; `prior` is empty, see `output` */
	struct pf_text output; /* text so far, including the prior output */
	bool never_repeat;
	uint32_t executions; /* started so far */

	/* The current execution, if `running`. */
	bool running;
	bool response_started; /* the backend sent a status */
	bool stop_requested; /* by the core */
	bool stream_broken; /* cancelled once the engine is known to be up */
	char run_name[RUN_NAME_MAX];
	uint32_t tokens_total; /* output tokens, prior output included */
	uint32_t max_tokens;
	bool reached_max_tokens; /* the answer is complete */
	uint32_t limit_granted; /* output tokens, by the core */
	uint32_t limit_sent; /* to the engine; 0: send again */
	struct pf_http_call *run_call; /* of the run or plain call */
	struct pf_http_call *resume_call;
	struct pf_http_call *cancel_call;
	struct pf_engine_stream stream;
	enum pf_finish_reason finish_reason; /* valid if stream.ended */
	uint32_t finish_total; /* output tokens; valid if stream.ended */
	struct event *retry_timer;

	/* The answer of a plain call. */
	uint32_t answer_status;
	char *answer_content_type;
	struct pf_text answer_body;
};

struct tries {
	struct try_slot *slots;
	uint32_t *free_slots;
	uint32_t n_free_slots;
	uint32_t capacity;
	struct pf_map index;
};

struct entry_link {
	uint64_t entry;
	struct pf_rpc_session *session;
};

/** The state of the engine, as last seen. */
enum engine_state {
	ENGINE_DOWN, /* its inventory is polled */
	ENGINE_CLEARING, /* leftover runs are being cancelled */
	ENGINE_UP,
};

struct engine_watch {
	enum engine_state state;
	struct event *poll_timer;
	struct pf_http_call *inventory_call; /* in flight; NULL: none */
	char *boot_id; /* of the last inventory */
	bool core_awaits_inventory; /* pass it the next one */
	uint32_t failures_in_a_row;
};

/** Name of a model or adapter; kept after it is no longer declared. */
struct item_name {
	uint64_t id;
	char *name;
};

struct daemon {
	struct event_base *base;
	struct pf_agent_settings settings;
	struct pf_log log;
	struct pf_agent_counters counters;
	char *rpc_key;
	uint64_t id;
	uint64_t incarnation;
	struct pf_config *config;
	/* From the first configuration; changes need a restart. */
	enum pf_endpoint_kind kind;
	int64_t memory_bytes;
	uint32_t batch_max;
	bool plain;
	struct claims *claims; /* plain service only */
	bool claims_drain_started;
	bool leaving; /* refuses new work */
	bool stop_on_drained; /* exit once drained */
	bool core_drained;

	struct pf_agent *core;
	struct event *core_timer;
	pf_ms core_tick_at; /* when `core_timer` fires */
	bool in_step;
	struct pf_agent_msg *pending_msgs; /* oldest first */
	uint32_t n_pending_msgs;
	uint32_t pending_msgs_capacity;
	struct event *pending_msgs_event;
	/* The tokens being reported to the core, for PF_AGENT_PIECE. */
	struct pf_str piece_text;
	const uint32_t *piece_lens;
	uint32_t piece_count;

	struct tries tries;
	struct entry_link *links;
	uint32_t n_links;
	struct pf_rpc *rpc;
	struct pf_table *table;
	struct pf_http *backend;
	struct engine_watch watch;
	struct item_name *item_names;
	size_t n_item_names;
	struct evhtp *status_server;
	/* Follows the configuration; NULL until the incarnation is known. */
	struct pf_config_follower *follower;
	struct pf_vm_list *vm_list;
	struct event *boot_timer;
	struct event *stop_timer;
	struct pf_rng rng;
};

/* core.c */
int core_start(struct daemon *d);
void core_stop(struct daemon *d);
/** Steps the core and carries out its acts. Must not be called in an act. */
void agent_step(struct daemon *d, const struct pf_agent_msg *m);
/** Queues @m for the core; may be called in an act. */
void agent_enqueue(struct daemon *d, const struct pf_agent_msg *m);
/** Reports the end of a run to the core; may be called in an act. */
void agent_run_ended(struct daemon *d, struct pf_try id,
		     enum pf_finish_reason end, uint32_t total);

/* tries.c */
int tries_init(struct tries *t, uint32_t cap);
void tries_free(struct tries *t);
struct try_slot *tries_find(struct tries *t, struct pf_try id);
/** Copies the payload. NULL without a free slot or memory. */
struct try_slot *tries_add(struct daemon *d, uint64_t entry, struct pf_try id,
			   const struct pf_work *w, const struct pf_payload *p);
/** Aborts the calls of @s and frees it. */
void tries_remove(struct daemon *d, struct try_slot *s);
void tries_remove_unstarted(struct daemon *d, uint64_t entry);

/* links.c */
int links_start(struct daemon *d);
void links_send(struct daemon *d, uint64_t entry, const struct pf_wire_msg *m);
void links_send_all(struct daemon *d, const struct pf_wire_msg *m);
/** Whether each entry has handled all messages; asks those that have not. */
bool links_all_confirmed(const struct daemon *d);

/* runs.c: runs at an engine */
void runs_start(struct daemon *d, struct try_slot *s,
		const struct pf_work *work, uint32_t offset, uint32_t limit);
/** Raises the limit of the run to @limit output tokens. */
void runs_grant(struct daemon *d, struct try_slot *s, uint32_t limit);
void runs_stop(struct daemon *d, struct try_slot *s);
/** Resets the current execution without telling the engine or the core. */
void runs_reset(struct try_slot *s);
/** The engine is up: cancels the runs whose stream broke. */
void runs_cancel_broken(struct daemon *d);
/** The engine crashed: resets all executions. */
void runs_reset_all(struct daemon *d);

/* plain.c: calls of a plain service */
void plain_start(struct daemon *d, struct try_slot *s);
void plain_stop(struct daemon *d, struct try_slot *s);

/** Convert the answer to and from the text in the claim log. */
void plain_encode_answer(const struct try_slot *s, struct pf_text *out);
void plain_decode_answer(struct try_slot *s, struct pf_str text);

/* claims.c: at most one run per idempotency key of a plain service */
int claims_start(struct daemon *d, const char *service);
void claims_stop(struct daemon *d);
void claims_request(struct daemon *d, struct pf_try id,
		    const struct pf_work *w);
/** The run of @id ended with the answer in @s. */
void claims_result(struct daemon *d, struct pf_try id, struct try_slot *s);
/** The run of @id was cut off; its outcome is unknown. */
void claims_lost(struct daemon *d, struct pf_try id);
/** The run of @id never started. */
void claims_void(struct daemon *d, struct pf_try id);
/** Sets the items of @r to the shards owned by this agent. */
void claims_report(const struct daemon *d, struct pf_report *r);
/** Starts the handover of the shards. Returns whether it is complete. */
bool claims_drain(struct daemon *d);

/* orders.c: load and unload orders, and names of models and adapters */
void orders_send(struct daemon *d, const struct pf_agent_act *act);
const char *names_find(const struct daemon *d, uint64_t id);
void names_add(struct daemon *d, const char *name);
void names_free(struct daemon *d);

/* watch.c: state and inventory of the engine */
int watch_start(struct daemon *d);
void watch_stop(struct daemon *d);
void watch_poll_now(struct daemon *d);

/* boot.c: incarnation and configuration from the table */
int boot_start(struct daemon *d);

/* status.c: /metrics, /healthz, /readyz */
int status_start(struct daemon *d);
void status_stop(struct daemon *d);

/* main.c */
/** Logs @why and exits with a failure status. */
void daemon_fail(struct daemon *d, const char *why);
/** Refuses new work from now on and tells the entries. */
void daemon_drain(struct daemon *d, const char *why);

#endif
