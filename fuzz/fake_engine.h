/*
 * A small fake of an engine (or plain service) behind an agent, with faults:
 * orders and answers are lost or late, runs end on their own, it crashes.
 * What it holds is counted here, apart from the agent's own ledger.
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
	uint32_t stop_after; /* tokens after which it stops by itself */
	bool stopping;
};

struct engine_order {
	pf_ms next_at; /* when it arrives, and then when it is done */
	enum pf_agent_act_type type;
	uint64_t order;
	uint64_t item;
	int64_t bytes;
	bool dropped; /* on its way */
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
	int64_t unexplained_bytes; /* bytes in use that belong to nothing */
	bool up;
	bool up_delivered; /* its start was reported; before, acts fail */
	bool agent_replaced; /* may hold what its agent has no slot for */
	bool inventory_requested; /* an inventory is awaited */
	bool faultless; /* no faults */
	struct pf_agent_item items[ENGINE_ITEMS_MAX];
	uint32_t n_items;
	struct engine_run runs[ENGINE_RUNS_MAX];
	uint32_t n_runs;
	struct engine_order orders[ENGINE_ORDERS_MAX];
	uint32_t n_orders;
	pf_ms last_order_at; /* orders arrive one after the other */
	struct engine_msg msgs[ENGINE_MSGS_MAX]; /* to the agent, in order */
	uint32_t first_msg, n_msgs;
	pf_ms last_msg_at;
	char violation
		[200]; /* what the agent did that an engine must not see */
};

/** Takes an act; other acts than those to the engine are ignored. */
void engine_handle_act(struct fake_engine *e, const struct pf_agent_act *act,
		       int64_t kv_token_bytes);

/** Lets time pass until @now: orders, output, ends. */
void engine_advance(struct fake_engine *e, pf_ms now);

/** The next message for the agent that is due, or NULL. */
const struct pf_agent_msg *engine_next_msg(struct fake_engine *e);

/** Puts a message for the agent behind those that wait. */
void engine_send_msg(struct fake_engine *e, const struct pf_agent_msg *m);

/** Sends its inventory, asked or not. */
void engine_send_inventory(struct fake_engine *e);

/** The agent is replaced: its runs are cancelled, its messages are lost. */
void engine_replace_agent(struct fake_engine *e);

void engine_crash(struct fake_engine *e);
/** Comes back empty and says so. */
void engine_start(struct fake_engine *e);

/** Bytes held, granted, or promised to loads that are under way. */
int64_t engine_promised_bytes(const struct fake_engine *e);
const struct engine_run *engine_find_run(const struct fake_engine *e,
					 struct pf_try id);
bool engine_has_resident(const struct fake_engine *e, uint64_t item);

#endif
