// Entry core: limits of callers, order of service and overload.
#include "tests/entry_rig.h"

#include <functional>
#include <map>
#include <queue>

struct EntryLimits : EntryRig {
};

TEST_F(EntryLimits, RefusalsReportNotRunAndWhetherToRetry)
{
	struct {
		const char *name;
		std::function<void()> prepare;
		std::function<void(pf_work &)> edit;
		pf_reason reason;
		bool retryable;
	} cases[] = {
		{ "unknown caller", [] {}, [](pf_work &w) { w.caller = 1; },
		  PF_REASON_UNKNOWN_MODEL, false },
		{ "unknown model", [] {}, [](pf_work &w) { w.model = 1; },
		  PF_REASON_UNKNOWN_MODEL, false },
		{ "unknown adapter", [] {}, [](pf_work &w) { w.adapter = 1; },
		  PF_REASON_UNKNOWN_MODEL, false },
		{ "unknown service", [] {},
		  [](pf_work &w) { w.flags = PF_WORK_PLAIN; },
		  PF_REASON_UNKNOWN_MODEL, false },
		{ "too long", [] {}, [](pf_work &w) { w.max_tokens = 9991; },
		  PF_REASON_TOO_LONG, false },
		{ "rate",
		  [&] {
			  arrive(1, work(RATE_LIMITED_CALLER));
			  arrive(2, work(RATE_LIMITED_CALLER));
		  },
		  [](pf_work &w) { w.caller = RATE_LIMITED_CALLER; },
		  PF_REASON_RATE, true },
		{ "concurrency", [&] { arrive(1, work(SERIAL_CALLER)); },
		  [](pf_work &w) { w.caller = SERIAL_CALLER; },
		  PF_REASON_CONCURRENCY, true },
		{ "full",
		  [&] {
			  for (uint64_t i = 1; i <= opts.requests_max; i++)
				  arrive(i, work());
		  },
		  [](pf_work &) {}, PF_REASON_FULL, true },
	};

	for (auto &c : cases) {
		pf_entry_free(e);
		start_core();
		c.prepare();
		EXPECT_EQ(stats().refused, 0u) << c.name;
		pf_work w = work();
		c.edit(w);
		arrive(999, w);
		expect_end(999, c.reason, PF_NOT_RUN);
		EXPECT_EQ(find_act(PF_ENTRY_END).end.retry_after > 0,
			  c.retryable)
			<< c.name;
	}
}

TEST_F(EntryLimits, NotReadyBeforeTheFirstConfiguration)
{
	e = pf_entry_new(&opts);
	arrive(1, work());
	expect_end(1, PF_REASON_NOT_READY, PF_NOT_RUN);
}

TEST_F(EntryLimits, RateAndConcurrencyLimitsRecover)
{
	start_core();
	bring_up(AGENT_A);
	arrive(1, work(RATE_LIMITED_CALLER));
	arrive(2, work(RATE_LIMITED_CALLER));
	now += 1000;
	EXPECT_EQ(count_acts(PF_ENTRY_END), 0u);
	arrive(3, work(RATE_LIMITED_CALLER));
	EXPECT_EQ(count_acts(PF_ENTRY_END), 0u);
	Act t = arrive_and_get_try(4, work(SERIAL_CALLER));
	done(t, 0);
	arrive(5, work(SERIAL_CALLER));
	EXPECT_EQ(count_acts(PF_ENTRY_END), 0u);
}

TEST_F(EntryLimits, FullGroupTableRefusesUntilAGroupIsIdle)
{
	opts.groups_max = 1;
	start_core();
	bring_up(AGENT_A);
	Act t = arrive_and_get_try(1, work());
	pf_work w = work();
	w.model = OTHER_MODEL;
	arrive(2, w);
	expect_end(2, PF_REASON_FULL, PF_NOT_RUN);
	done(t, 0);
	arrive(3, w);
	EXPECT_EQ(count_acts(PF_ENTRY_END), 0u);
}

TEST_F(EntryLimits, RemovedModelEndsItsWaitingRequests)
{
	start_core();
	arrive(1, work());
	config.models = models + 1;
	config.n_models = 1;
	pf_entry_msg m = msg(PF_ENTRY_CONFIG);
	m.u.config = &config;
	step(m);
	expect_end(1, PF_REASON_UNKNOWN_MODEL, PF_NOT_RUN);
}

TEST_F(EntryLimits, PriorityAndAgeDecideTheOrder)
{
	struct {
		const char *name;
		uint64_t first_caller, then_caller;
		pf_ms between;
		uint64_t served;
	} cases[] = {
		{ "same priority, in order", CALLER, CALLER, 10, 1 },
		{ "urgent overtakes", CALLER, URGENT_CALLER, 10, 2 },
		{ "aged is not overtaken", CALLER, URGENT_CALLER, 8000, 1 },
		{ "draft gives way", DEFERRABLE_CALLER, CALLER, 10, 2 },
		{ "draft near its deadline does not", DEFERRABLE_CALLER, CALLER,
		  55000, 1 },
	};

	for (auto &c : cases) {
		pf_entry_free(e);
		start_core();
		arrive(1, work(c.first_caller));
		now += c.between;
		pf_work w = work(c.then_caller);
		arrive(2, w);
		link_up(AGENT_A);
		report(AGENT_A, { { MODEL, PF_ITEM_RESIDENT } });
		EXPECT_EQ(find_act(PF_ENTRY_TRY).id.request, c.served)
			<< c.name;
	}
}

// Each try takes SERVICE_MS; every 50th request is deferrable.
struct EntryOverload : EntryRig {
	static const pf_ms SERVICE_MS = 400, FIRST_TOKEN_MS = 1000;
	static const uint32_t BATCH = 8;
	std::queue<std::pair<pf_ms, Act>> running;
	std::map<uint64_t, pf_ms> arrived;
	uint64_t last_id = 0, served = 0, deferrable_served = 0,
		 deferrable_failed = 0;
	pf_ms longest_refusal = 0;

	void process_acts()
	{
		for (const Act &a : acts) {
			if (a.type == PF_ENTRY_TRY)
				running.push({ now + SERVICE_MS, a });
			if (a.type != PF_ENTRY_END)
				continue;
			bool deferrable = a.end.request % 50 == 0;
			if (a.end.reason == PF_REASON_NONE) {
				served++;
				deferrable_served += deferrable;
				continue;
			}
			deferrable_failed += deferrable;
			EXPECT_EQ(a.end.ran, PF_NOT_RUN);
			EXPECT_GT(a.end.retry_after, 0);
			longest_refusal = std::max(
				longest_refusal, now - arrived[a.end.request]);
		}
	}

	void send_next()
	{
		bool deferrable = ++last_id % 50 == 0;
		pf_work w = work(deferrable ? DEFERRABLE_CALLER : CALLER);

		w.deadline = now + 60000;
		w.first_token_objective = now + FIRST_TOKEN_MS;
		arrived[last_id] = now;
		arrive(last_id, w);
		process_acts();
	}

	// Sends a request every `every` ms, 0: none. The engine's capacity is
	// BATCH answers in SERVICE_MS.
	void run_load(pf_ms every, pf_ms length)
	{
		pf_ms until = now + length, next = now, next_report = now;

		while (now < until) {
			now++;
			if (pf_entry_next(e) <= now) {
				step(msg(PF_ENTRY_TICK));
				process_acts();
			}
			while (!running.empty() &&
			       running.front().first <= now) {
				Act t = running.front().second;
				running.pop();
				done(t, 0);
				process_acts();
			}
			if (now >= next_report) {
				next_report = now + 200;
				report(AGENT_A, { { MODEL, PF_ITEM_RESIDENT } },
				       std::min<size_t>(running.size(), BATCH),
				       BATCH);
				process_acts();
			}
			for (; every && next <= now; next += every)
				send_next();
		}
	}
};

// Excess demand is refused early, so that it delays no request that is served.
TEST_F(EntryOverload, ThreefoldDemandDoesNotLowerThroughput)
{
	pf_ms answer_interval = SERVICE_MS / (BATCH + opts.depth);
	uint64_t capacity = 20000 / answer_interval;

	opts.requests_max = 5000;
	start_core();
	bring_up(AGENT_A, BATCH);
	run_load(answer_interval, 20000);
	uint64_t at_capacity = served;
	served = 0;
	run_load(answer_interval / 3, 20000);
	uint64_t at_three = served;
	RecordProperty("served_at_capacity", (int)at_capacity);
	RecordProperty("served_at_three_times", (int)at_three);
	EXPECT_GE(at_three * 100, at_capacity * 97);
	EXPECT_GE(at_three * 100, capacity * 97);
	EXPECT_LE(longest_refusal, FIRST_TOKEN_MS * opts.overload_slack + 200);
	run_load(0, 30000);
	EXPECT_EQ(deferrable_failed, 0u);
	EXPECT_EQ(deferrable_served, last_id / 50);
	EXPECT_EQ(stats().open, 0u);
}
