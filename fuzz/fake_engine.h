/*
 * A small fake of an engine (or plain service) behind an agent, with faults:
 * orders and answers are lost or late, runs end on their own, it crashes.
 * What it holds is counted here, apart from the agent's own ledger.
 */
#ifndef FUZZ_FAKE_ENGINE_H
#define FUZZ_FAKE_ENGINE_H

#include "pimentoford/agent.h"

#define ENGINE_ITEMS 16
#define ENGINE_RUNS 32
#define ENGINE_ORDERS 64
#define ENGINE_MSGS 1024

struct engine_run {
	struct pf_try id;
	struct pf_work work;
	int64_t kv_token_bytes;
	uint32_t produced, limit;
	uint32_t length; /* tokens after which it stops by itself */
	bool stopping;
};

struct engine_order {
	pf_ms due; /* when it arrives, and then when it is done */
	enum pf_agent_act_type type;
	uint64_t order;
	uint64_t item;
	int64_t bytes;
	bool lost; /* on its way */
	bool begun;
};

struct engine_msg {
	pf_ms due;
	struct pf_agent_msg msg;
	struct pf_agent_item items[ENGINE_ITEMS];
};

struct fake_engine {
	struct pf_rng *rng;
	pf_ms now;
	int64_t capacity;
	int64_t leak; /* bytes in use that belong to nothing */
	bool up;
	bool heard; /* its start was reported; before, acts fail */
	bool orphan; /* may hold what its agent has no slot for */
	bool asked; /* an inventory is awaited */
	bool tidy; /* no faults */
	struct pf_agent_item items[ENGINE_ITEMS];
	uint32_t n_items;
	struct engine_run runs[ENGINE_RUNS];
	uint32_t n_runs;
	struct engine_order orders[ENGINE_ORDERS];
	uint32_t n_orders;
	pf_ms order_due; /* orders arrive one after the other */
	struct engine_msg msgs[ENGINE_MSGS]; /* to the agent, in order */
	uint32_t first_msg, n_msgs;
	pf_ms msg_due;
	char fault[200]; /* what the agent did that an engine must not see */
};

/** Takes an act; other acts than those to the engine are ignored. */
void engine_take(struct fake_engine *e, const struct pf_agent_act *act,
		 int64_t kv_token_bytes);

/** Lets time pass until @now: orders, output, ends. */
void engine_work(struct fake_engine *e, pf_ms now);

/** The next message for the agent that is due, or NULL. */
const struct pf_agent_msg *engine_next(struct fake_engine *e);

/** Puts a message for the agent behind those that wait. */
void engine_send(struct fake_engine *e, const struct pf_agent_msg *m);

/** Sends its inventory, asked or not. */
void engine_tell(struct fake_engine *e);

/** The agent is replaced: its runs are cancelled, its messages are lost. */
void engine_orphan(struct fake_engine *e);

void engine_crash(struct fake_engine *e);
/** Comes back empty and says so. */
void engine_start(struct fake_engine *e);

/** Bytes held, granted, or promised to loads that are under way. */
int64_t engine_bytes(const struct fake_engine *e);
const struct engine_run *engine_run(const struct fake_engine *e,
				    struct pf_try id);
bool engine_has(const struct fake_engine *e, uint64_t item);

#endif
