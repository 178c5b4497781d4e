// Test fixture around one agent core: sends messages, records the acts.
#ifndef TESTS_AGENT_BOX_H
#define TESTS_AGENT_BOX_H

#include "pimentoford/agent.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

const uint64_t MODEL_A = 101, MODEL_B = 102, MODEL_C = 103, LORA_A = 201;
const uint64_t ENTRY = 9;

// Three models of 1000 bytes and 1 KV byte per token, an adapter of 100 bytes.
struct Config {
	struct pf_model models[3] = {};
	struct pf_adapter adapter = {};
	struct pf_config value = {};

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
		value.models = models;
		value.n_models = 3;
		value.adapters = &adapter;
		value.n_adapters = 1;
	}
};

struct Box {
	Config config;
	struct pf_agent_opts opts;
	struct pf_agent *agent = nullptr;
	pf_ms now = 1000;
	std::vector<struct pf_agent_act> acts; // of the last step

	Box()
	{
		pf_agent_opts_default(&opts);
		opts.agent = 5;
		opts.incarnation = 3;
		opts.memory_bytes = 2500;
		opts.batch_max = 4;
		opts.queue_max = 4;
		opts.runs_max = 16;
		opts.tombstones_max = 64;
		opts.items_max = 8;
		opts.grant_step = 10;
		opts.kv_policy = PF_KV_FULL;
		opts.queue_policy = PF_QUEUE_FIFO;
		opts.order_timeout = 1000;
	}
	~Box()
	{
		pf_agent_free(agent);
	}

	static void emit(void *ctx, const struct pf_agent_act *act)
	{
		static_cast<Box *>(ctx)->acts.push_back(*act);
	}
	void step(const struct pf_agent_msg &m)
	{
		struct pf_agent_sink sink = { emit, this };

		acts.clear();
		pf_agent_step(agent, now, &m, &sink);
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
	void make_agent()
	{
		agent = pf_agent_new(&opts);
		ASSERT_NE(agent, nullptr);
	}
	void make_ready(std::vector<struct pf_agent_item> items = {
				{ MODEL_A, PF_ITEM_RESIDENT, 1000 } })
	{
		make_agent();
		set_config();
		engine_up(items);
	}
	void set_config()
	{
		auto m = msg(PF_AGENT_CONFIG);

		m.u.config = &config.value;
		step(m);
	}
	void engine_up(std::vector<struct pf_agent_item> items,
		       int64_t used = 0)
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
		w.first_token_objective = w.answer_objective = w.deadline =
			PF_NEVER;
		return w;
	}
	void send_try(uint64_t request, struct pf_work w)
	{
		auto m = msg(PF_AGENT_TRY);

		m.u.try_.id = { request, 1 };
		m.u.try_.work = w;
		step(m);
	}
	void send_try(uint64_t request)
	{
		send_try(request, work());
	}
	void send_id(enum pf_agent_msg_type type, uint64_t request)
	{
		auto m = msg(type);

		m.u.id = { request, 1 };
		step(m);
	}
	void revoke(uint64_t request)
	{
		send_id(PF_AGENT_REVOKE, request);
	}
	void tokens(uint64_t request, uint32_t offset, uint32_t n)
	{
		auto m = msg(PF_AGENT_TOKENS);

		m.u.tokens.id = { request, 1 };
		m.u.tokens.offset = offset;
		m.u.tokens.count = n;
		step(m);
	}
	void run_end(uint64_t request, enum pf_finish_reason how,
		     uint32_t total = 0)
	{
		auto m = msg(PF_AGENT_RUN_END);

		m.u.end.id = { request, 1 };
		m.u.end.finish_reason = how;
		m.u.end.total = total;
		step(m);
	}
	void order_done(uint64_t order, bool ok)
	{
		auto m = msg(PF_AGENT_ORDER_DONE);

		m.u.order.id = order;
		m.u.order.ok = ok;
		step(m);
	}
	// Answers the first order of this type in the last step.
	void order_done(enum pf_agent_act_type type, bool ok = true)
	{
		order_done(find_act(type)->u.order.id, ok);
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
	const struct pf_agent_act *find_act(enum pf_agent_act_type type)
	{
		for (auto &x : acts)
			if (x.type == type)
				return &x;
		return nullptr;
	}
	int count_acts(enum pf_agent_act_type type)
	{
		int n = 0;

		for (auto &x : acts)
			n += x.type == type;
		return n;
	}
	// The item of the first order of this type in the last step, or 0.
	uint64_t ordered_item(enum pf_agent_act_type type)
	{
		auto *x = find_act(type);

		return x ? x->u.order.item : 0;
	}
	// The reason of the first NOT_RUN in the last step, or NONE.
	enum pf_reason refusal()
	{
		auto *x = find_act(PF_AGENT_NOT_RUN);

		return x ? x->u.not_run.reason : PF_REASON_NONE;
	}
	struct pf_agent_stats stats()
	{
		struct pf_agent_stats s;

		pf_agent_stats(agent, &s);
		return s;
	}
};

#endif
