// Fixture of the entry core's tests: a small configuration, helpers that send
// messages as callers and agents, and a record of the acts emitted.
#ifndef TESTS_ENTRY_RIG_H
#define TESTS_ENTRY_RIG_H

#include "pimentoford/entry.h"

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

enum : uint64_t {
	CALLER = 11, // without limits
	RATE_LIMITED_CALLER = 12, // 1 request a second, burst 2
	SERIAL_CALLER = 13, // concurrency 1
	URGENT_CALLER = 14, // priority 0; the others have 1
	DEFERRABLE_CALLER = 15,
	MODEL = 21,
	OTHER_MODEL = 22,
	ADAPTER = 31,
	SERVICE = 41,
	SHARD = 51,
	AGENT_A = 1, // engine in the entry's zone
	AGENT_B = 2, // engine in the entry's zone
	AGENT_FAR = 3, // engine in another region
	AGENT_PLAIN_A = 4,
	AGENT_PLAIN_B = 5,
};

struct Act {
	pf_entry_act_type type;
	uint64_t agent;
	pf_try id; // TRY, REVOKE, CANCEL
	pf_work work; // TRY
	decltype(pf_entry_act::u.deliver) deliver;
	decltype(pf_entry_act::u.end) end;
	decltype(pf_entry_act::u.quarantine) quarantine;
};

struct EntryRig : ::testing::Test {
	pf_entry_opts opts;
	pf_entry *e = nullptr;
	pf_ms now = 1000;
	std::vector<Act> acts; // of the last step or run_timers()
	std::vector<Act> all_acts;
	pf_config config = {};
	pf_model models[2] = {};
	pf_adapter adapters[1] = {};
	pf_caller callers[5] = {};
	pf_endpoint endpoints[5] = {};
	pf_service services[1] = {};
	uint64_t seq = 0;
	std::map<uint64_t, uint32_t> accepted_tries; // by agent

	static char *text(const char *s)
	{
		return const_cast<char *>(s);
	}

	EntryRig()
	{
		pf_entry_opts_default(&opts);
		opts.zone = "z1";
		opts.region = "r1";
		opts.requests_max = 100;
		for (int i = 0; i < 2; i++) {
			models[i].id = i ? OTHER_MODEL : MODEL;
			models[i].name_id = models[i].id + 1000;
			models[i].kv_token_bytes = 1;
			models[i].max_context = 10000;
		}
		adapters[0].id = ADAPTER;
		for (int i = 0; i < 5; i++) {
			callers[i].id = CALLER + i;
			callers[i].priority = 1;
			endpoints[i].id = AGENT_A + i;
			endpoints[i].zone = text(i == 2 ? "z9" : "z1");
			endpoints[i].region = text(i == 2 ? "r9" : "r1");
			if (i < 3)
				continue;
			endpoints[i].kind = PF_ENDPOINT_PLAIN;
			endpoints[i].service = text("booking");
		}
		callers[1].rate = 1;
		callers[1].burst = 2;
		callers[2].concurrency = 1;
		callers[3].priority = 0;
		callers[4].deferrable = true;
		services[0].id = SERVICE;
		services[0].name = text("booking");
		config.deployment.link_kbit = 30000;
		config.models = models;
		config.n_models = 2;
		config.adapters = adapters;
		config.n_adapters = 1;
		config.callers = callers;
		config.n_callers = 5;
		config.endpoints = endpoints;
		config.n_endpoints = 5;
		config.services = services;
		config.n_services = 1;
	}

	~EntryRig() override
	{
		pf_entry_free(e);
	}

	// Creates the core and sends it the configuration.
	void start_core()
	{
		e = pf_entry_new(&opts);
		ASSERT_NE(e, nullptr);
		pf_entry_msg m = msg(PF_ENTRY_CONFIG);
		m.u.config = &config;
		step(m);
	}

	static pf_entry_msg msg(pf_entry_msg_type t, uint64_t agent = 0)
	{
		pf_entry_msg m = {};

		m.type = t;
		m.agent = agent;
		return m;
	}

	static void emit(void *ctx, const pf_entry_act *a)
	{
		Act x = {};

		x.type = a->type;
		x.agent = a->agent;
		switch (a->type) {
		case PF_ENTRY_TRY:
			x.id = a->u.try_.id;
			x.work = *a->u.try_.work;
			static_cast<EntryRig *>(ctx)
				->accepted_tries[a->agent]++;
			break;
		case PF_ENTRY_REVOKE:
		case PF_ENTRY_CANCEL:
			x.id = a->u.id;
			break;
		case PF_ENTRY_DELIVER:
			x.deliver = a->u.deliver;
			break;
		case PF_ENTRY_END:
			x.end = a->u.end;
			break;
		case PF_ENTRY_SHARE_QUARANTINE:
			x.quarantine = a->u.quarantine;
			break;
		case PF_ENTRY_DRAINED:
			break;
		}
		static_cast<EntryRig *>(ctx)->acts.push_back(x);
		static_cast<EntryRig *>(ctx)->all_acts.push_back(x);
	}

	void step(const pf_entry_msg &m)
	{
		pf_entry_sink sink = { emit, this };

		acts.clear();
		pf_entry_step(e, now, &m, &sink);
	}

	void advance_and_tick(pf_ms later)
	{
		now += later;
		step(msg(PF_ENTRY_TICK));
	}

	// Runs the core's timers for `later` ms.
	void run_timers(pf_ms later)
	{
		pf_ms until = now + later;
		std::vector<Act> seen;

		while (pf_entry_next(e) <= until) {
			now = std::max(now, pf_entry_next(e));
			step(msg(PF_ENTRY_TICK));
			seen.insert(seen.end(), acts.begin(), acts.end());
		}
		now = until;
		acts = seen;
	}

	void link_up(uint64_t agent, uint64_t incarnation = 1)
	{
		pf_entry_msg m = msg(PF_ENTRY_LINK_UP, agent);

		m.u.link.incarnation = incarnation;
		step(m);
	}

	void report(uint64_t agent, std::vector<pf_item> items,
		    uint32_t running = 0, uint32_t batch = 8,
		    uint64_t incarnation = 1, uint32_t queued = 0)
	{
		pf_entry_msg m = msg(PF_ENTRY_REPORT, agent);

		m.u.report.queued = queued;

		m.u.report.agent = agent;
		m.u.report.incarnation = incarnation;
		m.u.report.seq = ++seq;
		m.u.report.running = running;
		m.u.report.batch_max = batch;
		m.u.report.started = accepted_tries[agent];
		m.u.report.kv_free = 1000000;
		m.u.report.ready = true;
		// By default everything that runs is of the first model.
		if (!items.empty() && items[0].running == 0)
			items[0].running = running;
		m.u.report.items = items.data();
		m.u.report.n_items = (uint32_t)items.size();
		step(m);
	}

	// Links and reports an engine with MODEL, or a service owning SHARD.
	void bring_up(uint64_t agent, uint32_t batch = 8,
		      uint64_t incarnation = 1)
	{
		uint64_t id = agent >= AGENT_PLAIN_A ? SHARD : MODEL;

		link_up(agent, incarnation);
		report(agent, { { id, PF_ITEM_RESIDENT } }, 0, batch,
		       incarnation);
	}

	pf_work work(uint64_t caller = CALLER)
	{
		pf_work w = {};

		w.caller = caller;
		w.model = MODEL;
		w.prompt_tokens = 10;
		w.max_tokens = 100;
		w.arrived = now;
		w.first_token_objective = PF_NEVER;
		w.answer_objective = PF_NEVER;
		w.deadline = now + 60000;
		return w;
	}

	pf_work plain_call(bool never_repeat, uint64_t key = 0)
	{
		pf_work w = work();

		w.model = SERVICE;
		w.flags = PF_WORK_PLAIN;
		if (never_repeat)
			w.flags |= PF_WORK_NEVER_REPEAT;
		w.idem_key = key;
		w.adapter = key ? (uint64_t)SHARD : 0;
		return w;
	}

	void arrive(uint64_t id, const pf_work &w)
	{
		pf_entry_msg m = msg(PF_ENTRY_ARRIVE);

		m.u.arrive.request = id;
		m.u.arrive.work = w;
		step(m);
	}

	void send_id(pf_entry_msg_type t, const Act &a)
	{
		pf_entry_msg m = msg(t, a.agent);

		m.u.id = a.id;
		step(m);
	}

	void piece(const Act &a, uint32_t offset, uint32_t count)
	{
		pf_entry_msg m = msg(PF_ENTRY_PIECE, a.agent);

		m.u.tokens = { a.id, offset, count };
		step(m);
	}

	void done(const Act &a, uint32_t total, bool error = false)
	{
		pf_entry_msg m = msg(PF_ENTRY_DONE, a.agent);

		m.u.done = { a.id, total, error };
		step(m);
	}

	void not_run(const Act &a, pf_reason why)
	{
		pf_entry_msg m = msg(PF_ENTRY_NOT_RUN, a.agent);

		m.u.not_run = { a.id, why, 0 };
		step(m);
	}

	void lost(const Act &a, pf_reason why)
	{
		pf_entry_msg m = msg(PF_ENTRY_LOST, a.agent);

		m.u.lost = { a.id, why };
		step(m);
	}

	// The n-th act of a type among `acts`; fails the test when absent.
	Act find_act(pf_entry_act_type t, size_t n = 0)
	{
		for (const Act &a : acts) {
			if (a.type == t && n-- == 0)
				return a;
		}
		ADD_FAILURE() << "no act of type " << t;
		return Act{};
	}

	size_t count_acts(pf_entry_act_type t)
	{
		size_t n = 0;

		for (const Act &a : acts)
			n += a.type == t;
		return n;
	}

	Act arrive_and_get_try(uint64_t id, const pf_work &w)
	{
		arrive(id, w);
		return find_act(PF_ENTRY_TRY);
	}

	void expect_end(uint64_t id, pf_reason why, pf_ran ran)
	{
		ASSERT_EQ(count_acts(PF_ENTRY_END), 1u);
		Act a = find_act(PF_ENTRY_END);
		EXPECT_EQ(a.end.request, id);
		EXPECT_STREQ(pf_reason_code(a.end.reason), pf_reason_code(why));
		EXPECT_EQ(a.end.ran, ran);
	}

	struct pf_entry_stats stats()
	{
		struct pf_entry_stats s;

		pf_entry_stats(e, &s);
		return s;
	}
};

#endif
