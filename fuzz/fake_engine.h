/*
 * Fake engine or plain service behind an agent core. Injects faults: lost and
 * late orders and answers, runs that end on their own, crashes. It counts the
 * memory it holds independently of the agent's ledger.
 */
#ifndef FUZZ_FAKE_ENGINE_H
#define FUZZ_FAKE_ENGINE_H

#include "pimentoford/agent.h"

#define ENGINE_ITEMS_MAX 16
#define ENGINE_RUNS_MAX 32
#define ENGINE_ORDERS_MAX 64
#define ENGINE_MSGS_MAX 1024

struct engine_run {
	struct pf_try id;
	struct pf_work work;
	int64_t kv_token_bytes;
	uint32_t produced, limit;
	uint32_t stop_after; /* output tokens at which it ends by itself */
	bool stopping;
};

struct engine_order {
	pf_ms next_at; /* arrival time; once started, completion */
	enum pf_agent_act_type type;
	uint64_t order;
	uint64_t item;
	int64_t bytes;
	bool dropped; /* in transit */
	bool started;
};

struct engine_msg {
	pf_ms deliver_at;
	struct pf_agent_msg msg;
	struct pf_agent_item items[ENGINE_ITEMS_MAX];
};

struct fake_engine {
	struct pf_rng *rng;
	pf_ms now;
	int64_t capacity;
	int64_t unexplained_bytes; /* in use, but held by no item or run */
	bool up;
	bool up_delivered; /* ENGINE_UP was delivered; acts fail before */
	bool agent_replaced; /* the new one may have no slot for an item */
	bool inventory_requested;
	bool faultless; /* inject no faults */
	struct pf_agent_item items[ENGINE_ITEMS_MAX];
	uint32_t n_items;
	struct engine_run runs[ENGINE_RUNS_MAX];
	uint32_t n_runs;
	struct engine_order orders[ENGINE_ORDERS_MAX];
	uint32_t n_orders;
	pf_ms last_order_at; /* orders arrive in sequence */
	struct engine_msg msgs[ENGINE_MSGS_MAX]; /* ring, to the agent */
	uint32_t first_msg, n_msgs;
	pf_ms last_msg_at;
	char violation[200]; /* the first illegal act of the agent */
};

/** Handles an act of the agent. Ignores those not meant for an engine. */
void engine_handle_act(struct fake_engine *e, const struct pf_agent_act *act,
		       int64_t kv_token_bytes);

/** Advances to @now: executes orders, produces output, ends runs. */
void engine_advance(struct fake_engine *e, pf_ms now);

/** Takes the next message to deliver to the agent by now, or NULL. */
const struct pf_agent_msg *engine_next_msg(struct fake_engine *e);

/** Queues a message for the agent. */
void engine_send_msg(struct fake_engine *e, const struct pf_agent_msg *m);

/** Queues an inventory for the agent, requested or not. */
void engine_send_inventory(struct fake_engine *e);

/** A new agent takes over: runs are cancelled, queued messages are lost. */
void engine_replace_agent(struct fake_engine *e);

/** Loses all state and queues ENGINE_DOWN. */
void engine_crash(struct fake_engine *e);
/** Starts again after a crash, empty, and queues an inventory. */
void engine_start(struct fake_engine *e);

/** Bytes held by items, granted to runs, or reserved by loads in transit. */
int64_t engine_promised_bytes(const struct fake_engine *e);
const struct engine_run *engine_find_run(const struct fake_engine *e,
					 struct pf_try id);
bool engine_has_resident(const struct fake_engine *e, uint64_t item);

#endif
