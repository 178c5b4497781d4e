// The loader core: orders to the engine, and the state sent to gateways.
#include "pimentoford/loader.h"

#include "pimentoford/routes.h"

#include <gtest/gtest.h>
#include <cstdlib>
#include <cstring>
#include <string>
#include <vector>

namespace
{

struct Call {
	bool load;
	std::string model;
	std::string adapter;
	uint64_t orders;
};

struct Loader : ::testing::Test {
	struct pf_loader *l = nullptr;
	pf_ms now = 100000;
	std::vector<Call> calls;
	uint64_t seq = 0;
	int polls = 0;
	int state_changes = 0;

	void SetUp() override
	{
		struct pf_loader_opts o;

		pf_loader_opts_default(&o);
		l = pf_loader_new(&o);
		SendUsage();
	}
	void TearDown() override
	{
		pf_loader_free(l);
	}
	static void Emit(void *ctx, const struct pf_loader_act *a)
	{
		auto *t = static_cast<Loader *>(ctx);

		if (a->type == PF_LOADER_POLL)
			t->polls++;
		else if (a->type == PF_LOADER_STATE_CHANGED)
			t->state_changes++;
		if (a->type == PF_LOADER_CALL)
			t->seq = a->call.seq;
		if (a->type == PF_LOADER_CALL)
			t->calls.push_back(
				{ a->call.load, a->call.model,
				  a->call.adapter ? a->call.adapter : "",
				  a->call.expected_orders });
	}
	void Step(struct pf_loader_msg m)
	{
		const struct pf_loader_sink sink = { Emit, this };

		pf_loader_step(l, now, &m, &sink);
	}
	void SendUsage(uint64_t gateway = 1, std::vector<uint64_t> in_use = {},
		       const char *adapter = "", int64_t incarnation = 1)
	{
		struct pf_loader_msg m = {};

		m.type = PF_LOADER_USAGE;
		m.u.usage.gateway = gateway;
		m.u.usage.instance = PF_STR("i-1");
		m.u.usage.incarnation = incarnation;
		m.u.usage.adapter_slots = 2;
		m.u.usage.adapters_in_use = in_use.data();
		m.u.usage.n_in_use = static_cast<uint32_t>(in_use.size());
		if (*adapter) {
			m.u.usage.wanted_model = PF_STR("m");
			m.u.usage.wanted_adapter = pf_str_c(adapter);
		}
		Step(m);
	}
	/* Items are MODEL or MODEL/ADAPTER. */
	void SendReport(uint64_t orders, std::vector<std::string> items,
			bool busy = false, int64_t incarnation = 1)
	{
		struct pf_loader_msg m = {};
		struct pf_engine_report r = {};

		r.incarnation = incarnation;
		r.orders_accepted = orders;
		r.busy = busy;
		r.items = static_cast<struct pf_engine_report_item *>(
			calloc(items.size() + 1, sizeof(*r.items)));
		for (const std::string &s : items) {
			struct pf_engine_report_item *it =
				&r.items[r.n_items++];
			size_t slash = s.find('/');
			std::string model = s.substr(0, slash);

			it->model = strdup(model.c_str());
			it->model_id = pf_id(pf_str_c(it->model));
			if (slash == std::string::npos)
				continue;
			it->adapter = strdup(s.substr(slash + 1).c_str());
			it->adapter_id = pf_adapter_id(it->model_id,
						       pf_str_c(it->adapter));
		}
		m.type = PF_LOADER_REPORT;
		m.u.report = &r;
		Step(m);
	}
	void SendOrder(bool load, const char *model, uint64_t orders,
		       int64_t incarnation = 1, bool from_store = false)
	{
		struct pf_loader_msg m = {};

		m.type = PF_LOADER_ORDER;
		m.u.order.instance = PF_STR("i-1");
		m.u.order.incarnation = incarnation;
		m.u.order.expected_orders = orders;
		m.u.order.load = load;
		m.u.order.from_store = from_store;
		m.u.order.model = pf_str_c(model);
		Step(m);
	}
	void SendAnswer(enum pf_loader_result r, uint64_t back = 0)
	{
		struct pf_loader_msg m = {};

		m.type = PF_LOADER_ANSWER;
		m.u.answer.seq = seq - back;
		m.u.answer.result = r;
		Step(m);
	}
	struct pf_engine_state State()
	{
		struct pf_engine_state s;

		pf_loader_state(l, now, &s);
		return s;
	}
	static uint64_t AdapterId(const char *adapter)
	{
		return pf_adapter_id(pf_id(PF_STR("m")), pf_str_c(adapter));
	}
};

TEST_F(Loader, SendsAnOrderWithTheExpectedCount)
{
	SendReport(3, { "m" });
	SendOrder(true, "n", 3);
	ASSERT_EQ(calls.size(), 1u);
	EXPECT_TRUE(calls[0].load);
	EXPECT_EQ(calls[0].model, "n");
	EXPECT_EQ(calls[0].orders, 3u);
}

// Orders for another count of accepted orders or another incarnation.
struct StaleCase {
	const char *name;
	uint64_t orders;
	int64_t incarnation;
};

struct LoaderStale : Loader, ::testing::WithParamInterface<StaleCase> {
};

TEST_P(LoaderStale, IsDropped)
{
	SendReport(3, { "m" });
	SendOrder(true, "n", GetParam().orders, GetParam().incarnation);
	EXPECT_EQ(calls.size(), 0u);
}

INSTANTIATE_TEST_SUITE_P(Orders, LoaderStale,
			 ::testing::Values(StaleCase{ "behind", 2, 1 },
					   StaleCase{ "ahead", 4, 1 },
					   StaleCase{ "other_life", 3, 2 }),
			 [](const auto &i) {
				 return std::string(i.param.name);
			 });

TEST_F(Loader, HasOneOrderInFlight)
{
	SendReport(3, { "m" });
	SendOrder(true, "n", 3);
	SendUsage(1, {}, "a1");
	SendOrder(true, "o", 3);
	EXPECT_EQ(calls.size(), 1u);
	SendAnswer(PF_LOADER_ACCEPTED);
	// The next order waits for a report newer than the last order.
	EXPECT_EQ(calls.size(), 1u);
}

TEST_F(Loader, LoadsARequestedAdapter)
{
	SendReport(0, { "m" });
	SendUsage(1, {}, "a1");
	ASSERT_EQ(calls.size(), 1u);
	EXPECT_EQ(calls[0].adapter, "a1");
	SendAnswer(PF_LOADER_ACCEPTED);
	SendReport(1, { "m", "m/a1" });
	EXPECT_EQ(calls.size(), 1u);
	EXPECT_EQ(State().n_residents, 1u);
	EXPECT_EQ(State().residents[0].n_adapters, 1u);
}

TEST_F(Loader, NoAdapterOrderWhileTheEngineIsBusy)
{
	SendReport(0, { "m" }, true);
	SendUsage(1, {}, "a1");
	EXPECT_EQ(calls.size(), 0u);
	SendReport(1, { "m" });
	EXPECT_EQ(calls.size(), 1u);
}

TEST_F(Loader, EvictsAnAdapterThatIsNotInUse)
{
	SendReport(0, { "m", "m/a1", "m/a2" });
	SendUsage(1, { AdapterId("a1") });
	now += 1000;
	SendUsage(1, { AdapterId("a1") });
	SendUsage(2, {}, "a3");
	// The report is too old to choose an order by.
	EXPECT_EQ(calls.size(), 0u);
	EXPECT_EQ(polls, 1);
	SendReport(0, { "m", "m/a1", "m/a2" });
	ASSERT_EQ(calls.size(), 1u);
	EXPECT_FALSE(calls[0].load);
	EXPECT_EQ(calls[0].adapter, "a2");
	// Gateways must stop using it now.
	EXPECT_EQ(State().residents[0].n_adapters, 1u);
	SendAnswer(PF_LOADER_ACCEPTED);
	SendReport(1, { "m", "m/a1" });
	ASSERT_EQ(calls.size(), 2u);
	EXPECT_EQ(calls[1].adapter, "a3");
}

TEST_F(Loader, NeverEvictsAdaptersInUse)
{
	SendReport(0, { "m", "m/a1", "m/a2" });
	now += 1000;
	SendUsage(1, { AdapterId("a1") });
	SendUsage(2, { AdapterId("a2") });
	now += 1000;
	SendUsage(3, {}, "a3");
	SendReport(0, { "m", "m/a1", "m/a2" });
	EXPECT_EQ(calls.size(), 0u);
}

// The reports of more gateways replaced those of the first.
TEST_F(Loader, NeverEvictsAdaptersInUseAtAHundredGateways)
{
	SendReport(0, { "m", "m/a1", "m/a2" });
	now += 1000;
	SendUsage(1, { AdapterId("a1") });
	SendUsage(2, { AdapterId("a2") });
	for (uint64_t i = 3; i < 103; i++)
		SendUsage(i);
	now += 1000;
	SendUsage(103, {}, "a3");
	SendReport(0, { "m", "m/a1", "m/a2" });
	EXPECT_EQ(calls.size(), 0u);
}

// An unload in doubt may take effect later: until the report shows it, the model
// holds its memory and must not be used.
TEST_F(Loader, AnUnansweredUnloadStillHoldsMemory)
{
	uint64_t m = pf_id(PF_STR("m"));

	SendReport(5, { "m", "n" });
	SendOrder(false, "m", 5);
	ASSERT_EQ(calls.size(), 1u);
	SendAnswer(PF_LOADER_IN_DOUBT);
	SendReport(5, { "m", "n" });
	EXPECT_EQ(State().unloading_model, m);
	ASSERT_EQ(State().n_residents, 1u);
	EXPECT_NE(State().residents[0].model, m);
	SendReport(6, { "n" });
	EXPECT_EQ(State().unloading_model, 0u);
}

TEST_F(Loader, AnAcceptedUnloadHoldsMemoryUntilItIsDone)
{
	SendReport(5, { "m", "n" });
	SendOrder(false, "m", 5);
	SendAnswer(PF_LOADER_ACCEPTED);
	SendReport(6, { "m", "n" }, true);
	EXPECT_EQ(State().unloading_model, pf_id(PF_STR("m")));
	EXPECT_TRUE(State().busy);
}

TEST_F(Loader, ARefusedUnloadChangesNothing)
{
	SendReport(5, { "m", "n" });
	SendOrder(false, "m", 5);
	SendAnswer(PF_LOADER_REFUSED);
	EXPECT_EQ(State().n_residents, 2u);
}

// The answer to an order in doubt may arrive while the next one is in flight.
TEST_F(Loader, ALateAnswerDoesNotCountForTheNextOrder)
{
	struct pf_loader_msg tick = {};

	tick.type = PF_LOADER_TICK;
	SendReport(5, { "m", "n" });
	SendOrder(false, "m", 5);
	now += 2000;
	Step(tick); // the order is in doubt now
	SendReport(5, { "m", "n" });
	SendOrder(false, "m", 5);
	ASSERT_EQ(calls.size(), 2u);
	SendAnswer(PF_LOADER_REFUSED, 1);
	EXPECT_EQ(State().unloading_model, pf_id(PF_STR("m")));
	SendAnswer(PF_LOADER_REFUSED);
	EXPECT_EQ(State().unloading_model, 0u);
}

TEST_F(Loader, NamesNoEndpointOfAnotherIncarnation)
{
	SendReport(0, { "m" }, false, 9);
	EXPECT_EQ(State().endpoint, 0u);
	SendUsage(1, {}, "", 9);
	EXPECT_EQ(State().endpoint, pf_id(PF_STR("i-1")));
}

TEST_F(Loader, PollsOnTicksOneAtATime)
{
	struct pf_loader_msg tick = {};

	tick.type = PF_LOADER_TICK;
	Step(tick);
	Step(tick);
	EXPECT_EQ(polls, 1);
	SendReport(0, { "m" });
	now = pf_loader_next(l);
	Step(tick);
	EXPECT_EQ(polls, 2);
}

// Planners count loads from the weight store by the states of loaders. A silent
// engine may begin a load after its order was given up.
TEST_F(Loader, ALoadThatBeginsLateIsShown)
{
	uint64_t n = pf_id(PF_STR("n"));

	SendReport(3, { "m" });
	SendOrder(true, "n", 3, 1, true);
	SendAnswer(PF_LOADER_IN_DOUBT);
	EXPECT_EQ(State().loading_model, 0u);
	SendReport(3, { "m" });
	EXPECT_EQ(State().loading_model, 0u);
	now += 1000;
	SendReport(4, { "m" }, true);
	EXPECT_EQ(State().loading_model, n);
	EXPECT_TRUE(State().from_store);
	EXPECT_EQ(State().loading_elapsed, 0);
	SendReport(4, { "m", "n" });
	EXPECT_EQ(State().loading_model, 0u);
	EXPECT_FALSE(State().from_store);
}

TEST_F(Loader, ALoadInDoubtIsVoidOnceAnotherOrderIsAccepted)
{
	SendReport(3, { "m" });
	SendOrder(true, "n", 3, 1, true);
	SendAnswer(PF_LOADER_IN_DOUBT);
	SendReport(3, { "m" });
	SendOrder(false, "m", 3);
	ASSERT_EQ(calls.size(), 2u);
	SendAnswer(PF_LOADER_ACCEPTED);
	SendReport(4, { "m" }, true);
	EXPECT_EQ(State().loading_model, 0u);
}

} // namespace
