// Drives one agent core in tests: builds messages, keeps the acts.
#ifndef TESTS_AGENT_BOX_H
#define TESTS_AGENT_BOX_H

#include "pimentoford/agent.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

const uint64_t MODEL_A = 101, MODEL_B = 102, MODEL_C = 103, LORA_A = 201;
const uint64_t ENTRY = 9;

// Models of 1000 bytes with 1 byte of KV a token, one adapter of 100 bytes.
struct Config {
	struct pf_model models[3] = {};
	struct pf_adapter adapter = {};
	struct pf_config c = {};

	Config()
	{
		for (int i = 0; i < 3; i++) {
			models[i].id = MODEL_A + i;
			models[i].name_id = 11 + i;
			models[i].weight_bytes = 1000;
			models[i].kv_token_bytes = 1;
			models[i].max_context = 100000;
		}
		adapter.id = LORA_A;
		adapter.model_name_id = 11;
		adapter.bytes = 100;
		c.models = models;
		c.n_models = 3;
		c.adapters = &adapter;
		c.n_adapters = 1;
	}
};

struct Box {
	Config config;
	struct pf_agent_opts o;
	struct pf_agent *a = nullptr;
	pf_ms now = 1000;
	std::vector<struct pf_agent_act> acts; // of the last step

	Box()
	{
		pf_agent_opts_default(&o);
		o.agent = 5;
		o.incarnation = 3;
		o.memory_bytes = 2500;
		o.batch_max = 4;
		o.queue_max = 4;
		o.runs_max = 16;
		o.tombstones_max = 64;
		o.items_max = 8;
		o.grant_step = 10;
		o.kv_policy = PF_KV_FULL;
		o.queue_policy = PF_QUEUE_FIFO;
		o.order_timeout = 1000;
	}
	~Box()
	{
		pf_agent_free(a);
	}

	static void emit(void *ctx, const struct pf_agent_act *act)
	{
		static_cast<Box *>(ctx)->acts.push_back(*act);
	}
	void step(const struct pf_agent_msg &m)
	{
		struct pf_agent_sink sink = { emit, this };

		acts.clear();
		pf_agent_step(a, now, &m, &sink);
	}
	static struct pf_agent_msg msg(enum pf_agent_msg_type type)
	{
		struct pf_agent_msg m = {};

		m.type = type;
		m.entry = ENTRY;
		return m;
	}
	void step(enum pf_agent_msg_type type)
	{
		step(msg(type));
	}
	void make()
	{
		a = pf_agent_new(&o);
		ASSERT_NE(a, nullptr);
	}
	void make_ready(std::vector<struct pf_agent_item> items = {
				{ MODEL_A, PF_ITEM_RESIDENT, 1000 } })
	{
		make();
		set_config();
		up(items);
	}
	void set_config()
	{
		auto m = msg(PF_AGENT_CONFIG);

		m.u.config = &config.c;
		step(m);
	}
	void up(std::vector<struct pf_agent_item> items, int64_t used = 0)
	{
		auto m = msg(PF_AGENT_ENGINE_UP);

		m.u.inventory.items = items.data();
		m.u.inventory.n_items = (uint32_t)items.size();
		m.u.inventory.used_bytes = used;
		step(m);
	}
	struct pf_work work(uint32_t prompt = 10, uint32_t max = 100)
	{
		struct pf_work w = {};

		w.caller = 77;
		w.model = MODEL_A;
		w.prompt_tokens = prompt;
		w.max_tokens = max;
		w.arrived = now;
		w.first_token_target = w.answer_target = w.deadline = PF_NEVER;
		return w;
	}
	void try_(uint64_t request, struct pf_work w)
	{
		auto m = msg(PF_AGENT_TRY);

		m.u.try_.id = { request, 1 };
		m.u.try_.work = w;
		step(m);
	}
	void try_(uint64_t request)
	{
		try_(request, work());
	}
	void id(enum pf_agent_msg_type type, uint64_t request)
	{
		auto m = msg(type);

		m.u.id = { request, 1 };
		step(m);
	}
	void revoke(uint64_t request)
	{
		id(PF_AGENT_REVOKE, request);
	}
	void tokens(uint64_t request, uint32_t offset, uint32_t n)
	{
		auto m = msg(PF_AGENT_TOKENS);

		m.u.tokens.id = { request, 1 };
		m.u.tokens.offset = offset;
		m.u.tokens.count = n;
		step(m);
	}
	void end(uint64_t request, enum pf_end how, uint32_t total = 0)
	{
		auto m = msg(PF_AGENT_RUN_END);

		m.u.end.id = { request, 1 };
		m.u.end.end = how;
		m.u.end.total = total;
		step(m);
	}
	void order_done(uint64_t order, bool ok)
	{
		auto m = msg(PF_AGENT_ORDER_DONE);

		m.u.order.order = order;
		m.u.order.ok = ok;
		step(m);
	}
	// Answers the first order of that kind in the last step.
	void order_done(enum pf_agent_act_type type, bool ok = true)
	{
		order_done(find(type)->u.load.order, ok);
	}
	void claimed(uint64_t request, bool granted,
		     enum pf_reason why = PF_REASON_NONE)
	{
		auto m = msg(PF_AGENT_CLAIMED);

		m.u.claimed.id = { request, 1 };
		m.u.claimed.granted = granted;
		m.u.claimed.reason = why;
		step(m);
	}
	void place(std::vector<uint64_t> ids)
	{
		auto m = msg(PF_AGENT_PLACE);

		m.u.place.items = ids.data();
		m.u.place.n_items = (uint32_t)ids.size();
		step(m);
	}
	void tick(pf_ms ms)
	{
		now += ms;
		step(PF_AGENT_TICK);
	}
	const struct pf_agent_act *find(enum pf_agent_act_type type)
	{
		for (auto &x : acts)
			if (x.type == type)
				return &x;
		return nullptr;
	}
	int count(enum pf_agent_act_type type)
	{
		int n = 0;

		for (auto &x : acts)
			n += x.type == type;
		return n;
	}
	// The item of the first order of that kind in the last step, or 0.
	uint64_t item(enum pf_agent_act_type type)
	{
		auto *x = find(type);

		return x ? x->u.load.item : 0;
	}
	// The reason of the NOT_RUN in the last step; NONE without one.
	enum pf_reason refused()
	{
		auto *x = find(PF_AGENT_NOT_RUN);

		return x ? x->u.not_run.reason : PF_REASON_NONE;
	}
	struct pf_agent_stats stats()
	{
		struct pf_agent_stats s;

		pf_agent_stats(a, &s);
		return s;
	}
};

#endif
