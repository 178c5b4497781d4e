/*
 * The agent daemon: drives the agent core from sockets and timers. One event
 * loop owns everything; modules take the daemon and talk to the core through
 * agent_step(), or agent_post() from inside an act.
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

/** "REQUEST.ATTEMPT.EXECUTION" at the engine. */
#define RUN_NAME_MAX 64

struct claims;
struct daemon;

/** One try that the core knows, with what cores leave to daemons. */
struct try_slot {
	struct daemon *d;
	bool used;
	struct pf_try id;
	uint64_t entry;
	struct pf_payload payload; /* `prior` is empty; owned */
	struct pf_text output; /* output so far, prior included */
	bool never_repeat;
	uint32_t execs; /* executions so far */

	/* the execution at hand, if `running` */
	bool running;
	bool opened; /* the backend has answered with a status */
	bool stopping; /* the core wants it gone */
	bool cut; /* its stream broke; waits for the watch's verdict */
	char name[RUN_NAME_MAX];
	uint32_t total; /* output tokens so far */
	uint32_t max_tokens;
	bool at_max; /* stands at its output limit: the answer is whole */
	uint32_t limit_wanted;
	uint32_t limit_sent;
	struct pf_http_call *call; /* the run, or the plain call */
	struct pf_http_call *resume;
	struct pf_http_call *cancel;
	struct pf_engine_stream stream;
	enum pf_finish_reason end_how; /* once stream.ended */
	uint32_t end_total;
	struct event *again; /* asks again after a pause */

	/* the answer of a plain call */
	uint32_t status;
	char *answer_type;
	struct pf_text answer;
};

struct tries {
	struct try_slot *v;
	uint32_t *unused;
	uint32_t n_unused;
	uint32_t cap;
	struct pf_map index;
};

/** A session with an entry. */
struct entry_link {
	uint64_t entry;
	struct pf_rpc_session *session;
};

/** How the engine stands, as far as is known. */
enum engine_state {
	ENGINE_DOWN, /* to be asked for its inventory */
	ENGINE_CLEARING, /* leftover runs are being cancelled */
	ENGINE_UP,
};

struct watch {
	enum engine_state state;
	struct event *timer;
	struct pf_http_call *call; /* an inventory under way */
	char *boot;
	bool fresh_wanted; /* the core awaits an inventory */
	uint32_t failures; /* in a row */
};

/** Names of items by id, also of those that are no longer declared. */
struct item_name {
	uint64_t id;
	char *name;
};

struct daemon {
	struct event_base *base;
	struct pf_agent_settings set;
	struct pf_log log;
	struct pf_agent_counters counters;
	char *key;
	uint64_t id;
	uint64_t incarnation;
	struct pf_config *config; /* in force */
	/* As the record said when the agent started. */
	enum pf_endpoint_kind kind;
	int64_t memory_bytes;
	uint32_t batch_max;
	bool plain;
	struct claims *claims; /* beside a plain service */
	bool claims_draining;
	bool leaving; /* takes no new work */
	bool draining; /* and ends when it is empty */
	bool drained;

	struct pf_agent *core;
	struct event *core_timer;
	pf_ms core_due;
	bool in_step;
	struct pf_agent_msg *posted; /* oldest first */
	uint32_t n_posted;
	uint32_t cap_posted;
	struct event *posted_ev;
	/* The tokens that the core is being told of. */
	struct pf_str piece_text;
	const uint32_t *piece_lens;
	uint32_t piece_count;

	struct tries tries;
	struct entry_link *links;
	uint32_t n_links;
	struct pf_rpc *rpc;
	struct pf_table *table;
	struct pf_http *backend;
	struct watch watch;
	struct item_name *names;
	size_t n_names;
	struct evhtp *status;
	struct pf_config_follower *
		follower; /* of the configuration; NULL before the incarnation */
	struct pf_vm_list *vms;
	struct event *boot_timer;
	struct event *stop_timer;
	struct pf_rng rng;
};

/* core.c */
int core_start(struct daemon *d);
void core_stop(struct daemon *d);
/** Feeds the core and carries out its acts. Not from inside an act. */
void agent_step(struct daemon *d, const struct pf_agent_msg *m);
/** Feeds the core soon; may be called from an act. */
void agent_post(struct daemon *d, const struct pf_agent_msg *m);
void agent_run_ended(struct daemon *d, struct pf_try id,
		     enum pf_finish_reason end, uint32_t total);

/* tries.c */
int tries_init(struct tries *t, uint32_t cap);
void tries_free(struct tries *t);
struct try_slot *tries_find(struct tries *t, struct pf_try id);
/** Copies the payload. NULL when full or without memory. */
struct try_slot *tries_add(struct daemon *d, uint64_t entry, struct pf_try id,
			   const struct pf_work *w, const struct pf_payload *p);
/** Ends what is under way for @s and forgets it. */
void tries_drop(struct daemon *d, struct try_slot *s);
/** Drops the tries of @entry that never started. */
void tries_drop_waiting(struct daemon *d, uint64_t entry);

/* links.c */
int links_start(struct daemon *d);
void links_send(struct daemon *d, uint64_t entry, const struct pf_wire_msg *m);
void links_send_all(struct daemon *d, const struct pf_wire_msg *m);
bool links_idle(const struct daemon *d);

/* runs.c: runs at an engine */
void runs_start(struct daemon *d, struct try_slot *s,
		const struct pf_work *work, uint32_t offset, uint32_t limit);
void runs_grant(struct daemon *d, struct try_slot *s, uint32_t limit);
void runs_stop(struct daemon *d, struct try_slot *s);
/** Forgets the execution at hand without a word to engine or core. */
void runs_forget(struct try_slot *s);
/** The engine stands: what became of streams that broke is to be settled. */
void runs_settle_cut(struct daemon *d);
/** The engine crashed: no execution is left. */
void runs_clear(struct daemon *d);

/* plain.c: calls of a plain service */
void plain_start(struct daemon *d, struct try_slot *s);
void plain_stop(struct daemon *d, struct try_slot *s);

/** The answer as one text, and back, for the claim log. */
void plain_get_answer(const struct try_slot *s, struct pf_text *out);
void plain_set_answer(struct try_slot *s, struct pf_str text);

/* claims.c: at most one run for each key of a plain service */
int claims_start(struct daemon *d, const char *service);
void claims_stop(struct daemon *d);
void claims_ask(struct daemon *d, struct pf_try id, const struct pf_work *w);
/** The run of @id ended with the answer in @s, was cut, or never began. */
void claims_result(struct daemon *d, struct pf_try id, struct try_slot *s);
void claims_lost(struct daemon *d, struct pf_try id);
void claims_void(struct daemon *d, struct pf_try id);
/** Puts the shards owned here into a report. */
void claims_report(const struct daemon *d, struct pf_report *r);
/** Starts to hand the shards over, and whether that is done. */
bool claims_drained(struct daemon *d);

/* orders.c */
void orders_send(struct daemon *d, const struct pf_agent_act *act);
const char *names_find(const struct daemon *d, uint64_t id);
void names_learn(struct daemon *d, const char *name);
void names_free(struct daemon *d);

/* watch.c */
int watch_start(struct daemon *d);
void watch_stop(struct daemon *d);
/** Asks for the inventory at once. */
void watch_hurry(struct daemon *d);

/* boot.c: incarnation and configuration from the table */
int boot_start(struct daemon *d);

/* status.c: /metrics, /healthz, /readyz */
int status_start(struct daemon *d);
void status_stop(struct daemon *d);

/* main.c */
void daemon_fail(struct daemon *d, const char *why);
/** Takes no new work from now on; tells the entries. */
void daemon_leave(struct daemon *d, const char *why);

#endif
