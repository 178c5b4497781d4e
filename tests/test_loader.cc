// The loader core: orders to the engine, and the state sent to gateways.
#include "pimentoford/loader.h"

#include "pimentoford/routes.h"
#include "pimentoford/talk.h"
#include "tests/gateway_fixture.h"

#include <event2/event.h>
#include <gtest/gtest.h>
#include <algorithm>
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

// An engine that restarts under its id counts its orders anew, and may carry out
// an order that its earlier incarnation left without an answer.
TEST_F(Loader, AnOrderInDoubtIsToldAcrossIncarnationsUntilItExpires)
{
	SendReport(3, { "m" });
	SendOrder(true, "n", 3, 1, true);
	SendAnswer(PF_LOADER_IN_DOUBT);
	SendReport(0, {}, false, 2);
	now += PF_ORDER_LATE_MS - 1;
	struct pf_engine_state s = State();
	ASSERT_EQ(s.n_in_doubt, 1u);
	EXPECT_EQ(s.in_doubt[0].model, pf_id(PF_STR("n")));
	EXPECT_EQ(s.in_doubt[0].expected_orders, 3u);
	EXPECT_TRUE(s.in_doubt[0].load);
	EXPECT_EQ(s.in_doubt[0].age, PF_ORDER_LATE_MS - 1);
	now++;
	EXPECT_EQ(State().n_in_doubt, 0u);
}

// Sending it again extends the time in which it may be carried out.
TEST_F(Loader, AnOrderSentAgainIsInDoubtOnce)
{
	for (int i = 0; i < 3; i++) {
		SendReport(3, { "m" });
		SendOrder(true, "n", 3);
		SendAnswer(PF_LOADER_IN_DOUBT);
		now += 400;
	}
	ASSERT_EQ(State().n_in_doubt, 1u);
	EXPECT_EQ(State().in_doubt[0].age, 400);
	SendReport(3, { "m" });
	SendOrder(true, "n", 3);
	SendAnswer(PF_LOADER_ACCEPTED);
	SendReport(0, {}, false, 2);
	EXPECT_EQ(State().n_in_doubt, 1u);
}

TEST_F(Loader, ALateLoadOfAnEarlierIncarnationIsShown)
{
	SendReport(1, { "m" });
	SendOrder(true, "n", 1, 1, true);
	SendAnswer(PF_LOADER_IN_DOUBT);
	SendUsage(1, {}, "", 2);
	SendReport(1, { "m" }, false, 2);
	SendReport(2, { "m" }, true, 2);
	EXPECT_EQ(State().loading_model, pf_id(PF_STR("n")));
	EXPECT_TRUE(State().from_store);
}

struct DoubtCase {
	const char *name;
	const char *model, *adapter; /* of the load in doubt, at count 5 */
	uint64_t orders; /* accepted by the new incarnation */
	std::vector<std::string> items; /* that it holds; 2 adapter slots */
	bool sent; /* a load of adapter a9 */
};

struct LoaderDoubt : Loader, ::testing::WithParamInterface<DoubtCase> {
};

// Such an order exceeded the engine's adapter slots, or its memory.
TEST_P(LoaderDoubt, AnAdapterLoadLeavesRoomForIt)
{
	const DoubtCase &c = GetParam();

	if (*c.adapter) {
		SendReport(5, { "m" });
		SendUsage(1, {}, c.adapter);
	} else {
		SendReport(5, { "m" });
		SendOrder(true, c.model, 5);
	}
	SendAnswer(PF_LOADER_IN_DOUBT);
	ASSERT_EQ(calls.size(), 1u);
	now += 2000;
	SendUsage(1, {}, "", 2);
	SendReport(c.orders, c.items, false, 2);
	SendUsage(1, {}, "a9", 2);
	EXPECT_EQ(calls.size(), c.sent ? 2u : 1u);
	now += PF_ORDER_LATE_MS;
	SendReport(c.orders, c.items, false, 2);
	SendUsage(1, {}, "a9", 2);
	EXPECT_EQ(calls.size(), 2u);
}

INSTANTIATE_TEST_SUITE_P(
	Cases, LoaderDoubt,
	::testing::Values(
		DoubtCase{
			"FillsTheSlots", "m", "a1", 4, { "m", "m/a0" }, false },
		DoubtCase{ "LeavesASlot", "m", "a1", 4, { "m" }, true },
		DoubtCase{
			"AtAnotherCount", "m", "a1", 3, { "m", "m/a0" }, true },
		DoubtCase{ "ItIsHeldAlready",
			   "m",
			   "a1",
			   4,
			   { "m", "m/a1" },
			   true },
		DoubtCase{ "TakesMemory", "n", "", 4, { "m" }, false },
		DoubtCase{ "TheModelIsHeldAlready",
			   "n",
			   "",
			   4,
			   { "m", "n" },
			   true },
		DoubtCase{ "AModelAtAnotherCount", "n", "", 6, { "m" }, true }),
	[](const ::testing::TestParamInfo<DoubtCase> &i) {
		return std::string(i.param.name);
	});

// The 17th model of an engine was not in its state: the planner took its memory
// for free.
TEST_F(Loader, AnEngineWithMoreModelsThanAStateListsIsBusy)
{
	for (size_t n : { size_t(17), size_t(PF_RESIDENTS_MAX),
			  size_t(PF_RESIDENTS_MAX) + 1 }) {
		std::vector<std::string> models;

		for (size_t i = 0; i < n; i++)
			models.push_back("m" + std::to_string(i));
		SendReport(n, models);
		EXPECT_EQ(State().n_residents,
			  std::min<size_t>(n, PF_RESIDENTS_MAX));
		EXPECT_EQ(State().busy, n > PF_RESIDENTS_MAX) << n;
	}
}

/* What a gateway received. */
struct ReceivedState {
	unsigned n = 0;
	size_t on_disk = 0, residents = 0;
	std::vector<struct pf_order_in_doubt> in_doubt;
};

TEST(Talk, AStateCarriesOrdersInDoubtAndAllModels)
{
	std::string addr = "127.0.0.1:" + std::to_string(FreePort());
	struct event_base *base = event_base_new();
	struct pf_order_in_doubt orders[] = { { 11, 3, true, 400 },
					      { 12, 4, false, 12000 } };
	struct pf_log log = { 2, PF_LOG_ERROR, "test", nullptr };
	struct pf_engine_state s = {};
	struct pf_talk_opts o = {};
	struct sockaddr_in to;
	ReceivedState got;

	o.base = base;
	o.addr = addr.c_str();
	o.log = &log;
	o.ctx = &got;
	o.state = [](void *ctx, const struct pf_engine_state *in) {
		auto *r = static_cast<ReceivedState *>(ctx);

		r->n++;
		r->on_disk = in->n_on_disk;
		r->residents = in->n_residents;
		r->in_doubt.assign(in->in_doubt, in->in_doubt + in->n_in_doubt);
	};
	struct pf_talk *talk = pf_talk_new(&o);
	ASSERT_NE(talk, nullptr);
	ASSERT_EQ(pf_talk_addr(addr.c_str(), &to), 0);
	s.in_doubt = orders;
	for (uint32_t n : { 2u, 0u }) {
		got = {};
		s.n_in_doubt = n;
		pf_talk_send_state(talk, &to, &s);
		event_base_loop(base, EVLOOP_ONCE);
		EXPECT_EQ(got.n, 1u);
		ASSERT_EQ(got.in_doubt.size(), n);
		EXPECT_TRUE(n == 0 || (got.in_doubt[1].model == 12 &&
				       got.in_doubt[1].expected_orders == 4 &&
				       !got.in_doubt[1].load &&
				       got.in_doubt[1].age == 12000));
	}
	// The state of an engine with more copies than it lists was not sent.
	std::vector<uint64_t> copies(300, 5);
	std::vector<struct pf_resident> residents(PF_RESIDENTS_MAX);
	s.on_disk = s.in_host_mem = copies.data();
	s.n_on_disk = s.n_in_host_mem = static_cast<uint32_t>(copies.size());
	s.residents = residents.data();
	s.n_residents = PF_RESIDENTS_MAX;
	got = {};
	pf_talk_send_state(talk, &to, &s);
	event_base_loop(base, EVLOOP_ONCE | EVLOOP_NONBLOCK);
	EXPECT_EQ(got.n, 1u);
	EXPECT_EQ(got.on_disk, size_t(PF_COPIES_MAX));
	EXPECT_EQ(got.residents, size_t(PF_RESIDENTS_MAX));
	pf_talk_free(talk);
	event_base_free(base);
}

} // namespace
