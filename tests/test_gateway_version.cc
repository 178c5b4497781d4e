// Gateways as processes before endpoints of two software versions, and callers
// that resume broken streams at other gateways.
#include "tests/gateway_streams.h"

namespace
{

struct GatewayVersion : GatewayStreams {
	/* Begins streams at random times of 0.8 s; @kill kills gateways at the
	 * end of it; broken streams are then resumed at @n. */
	std::vector<Stream> RunStreams(unsigned n_streams,
				       const std::function<void()> &kill,
				       const std::function<const Node &()> &n)
	{
		std::vector<Stream> all(n_streams);
		std::vector<std::thread> threads;
		std::atomic<bool> killed{ false };

		for (unsigned i = 0; i < n_streams; i++)
			threads.emplace_back([&, i] {
				Stream &s = all[i];

				SleepMs(i * 800 / n_streams);
				Request(s, *gateways[i % gateways.size()]);
				while (!killed)
					SleepMs(5);
				if (s.complete() || s.last_event == 0)
					return;
				s.resumed = true;
				Request(s, n());
			});
		SleepMs(900);
		kill();
		killed = true;
		for (std::thread &t : threads)
			t.join();
		return all;
	}
};

TEST_F(GatewayVersion, BrokenStreamsDoNotGoOnAtAnotherVersion)
{
	FakeEndpoint::Options o;
	std::atomic<unsigned> n{ 0 };
	unsigned resumed, complete;

	o.choose_fault = [&n] {
		return n++ % 2 ? FakeEndpoint::NO_FAULT
			       : FakeEndpoint::BROKEN_STREAM;
	};
	ASSERT_NO_FATAL_FAILURE(Start(1, o));
	std::vector<Stream> all = RunStreams(
		40, [] {}, [this]() -> const Node & { return *gateways[0]; });
	Check("broken", all, &resumed, &complete);
}

struct KillCase {
	const char *name;
	unsigned gateways, killed;
};

struct GatewayVersionKill : GatewayVersion,
			    ::testing::WithParamInterface<KillCase> {
};

TEST_P(GatewayVersionKill, StreamsOfKilledGatewaysDoNotGoOnAtAnotherVersion)
{
	const KillCase &c = GetParam();
	unsigned resumed, complete;
	std::atomic<unsigned> n{ 0 };

	ASSERT_NO_FATAL_FAILURE(Start(c.gateways));
	std::vector<Stream> all = RunStreams(
		60,
		[this, &c] {
			for (unsigned i = 0; i < c.killed; i++)
				Kill(i);
		},
		[this, &c, &n]() -> const Node & {
			return *gateways[c.killed +
					 n++ % (c.gateways - c.killed)];
		});
	Check(c.name, all, &resumed, &complete);
	EXPECT_GE(resumed, 12u);
	EXPECT_GE(2 * complete, resumed);
}

INSTANTIATE_TEST_SUITE_P(Cases, GatewayVersionKill,
			 ::testing::Values(KillCase{ "Half", 4, 2 },
					   KillCase{ "AllButOne", 4, 3 },
					   KillCase{ "HalfOfMany", 24, 12 }),
			 [](const ::testing::TestParamInfo<KillCase> &i) {
				 return std::string(i.param.name);
			 });

TEST_F(GatewayVersion, StreamsOfRestartedGatewaysDoNotGoOnAtAnotherVersion)
{
	unsigned resumed, complete;
	std::atomic<unsigned> n{ 0 };

	ASSERT_NO_FATAL_FAILURE(Start(3));
	std::vector<Stream> all = RunStreams(
		60,
		[this] {
			for (unsigned i = 0; i < 3; i++)
				Kill(i);
			for (unsigned i = 0; i < 3; i++)
				Restart(i);
			for (auto &g : gateways)
				ASSERT_TRUE(BecomesReady(*g));
		},
		[this, &n]() -> const Node & { return *gateways[n++ % 3]; });
	Check("restarted", all, &resumed, &complete);
	EXPECT_GE(resumed, 12u);
	EXPECT_GE(2 * complete, resumed);
}

/* A stream that no gateway knows, with events of the version @v. */
Stream UnknownStream()
{
	Stream s;

	s.first_id = "7";
	s.last_event = 3;
	return s;
}

TEST_F(GatewayVersion, AStreamOfAnUnknownVersionIsRefused)
{
	Stream s = UnknownStream();

	ASSERT_NO_FATAL_FAILURE(Start(2));
	auto begin = Clock::now();
	Request(s, *gateways[0]);
	EXPECT_EQ(s.status, 503);
	EXPECT_LT(Clock::now() - begin, std::chrono::milliseconds(600));
}

TEST_F(GatewayVersion, AStreamGoesOnAtRestartedGatewaysWhereThereIsOneVersion)
{
	Stream s = UnknownStream();

	n_versions = 1;
	ASSERT_NO_FATAL_FAILURE(Start(2));
	Request(s, *gateways[0]);
	EXPECT_TRUE(s.complete());
}

/* The first gateway has the store at an address of its own. */
struct GatewayVersionBehind : GatewayVersion {
	std::string StoreAddr(unsigned i) override
	{
		return i == 0 ? store.AddAddress("first") : store.addr();
	}
};

struct BehindCase {
	const char *version; /* of the endpoint that comes */
	int status, last_event; /* of a stream without a record, from event 3 */
};

struct GatewayVersionJoin : GatewayVersionBehind,
			    ::testing::WithParamInterface<BehindCase> {
};

// The store rejects a gateway while a second version comes: it took the first
// one for the only one, and the streams that other gateways had begun at the
// second one went on at the first. If only an endpoint of the first one comes,
// streams go on.
TEST_P(GatewayVersionJoin, AStreamGoesOnOnlyIfNoOtherVersionCanHaveBegunIt)
{
	const BehindCase &c = GetParam();
	FakeEndpoint::Options o;
	Stream s = UnknownStream();

	n_versions = 1;
	ASSERT_NO_FATAL_FAILURE(Start(3));
	store.SetFault(FakeStore::UNAVAILABLE, "first");
	o.id = "e9";
	o.store = &store;
	o.version = c.version;
	o.event_suffix = std::string(" ") + c.version + ".";
	o.events = EVENTS;
	endpoints.push_back(std::make_unique<FakeEndpoint>(o));
	SleepMs(2000); /* until the others have told it of a newer row */
	Request(s, *gateways[0]);
	EXPECT_EQ(s.status, c.status);
	EXPECT_EQ(s.last_event, c.last_event);
	store.SetFault(FakeStore::NO_FAULT, "first");
}

INSTANTIATE_TEST_SUITE_P(Cases, GatewayVersionJoin,
			 ::testing::Values(BehindCase{ "v1", 503, 3 },
					   BehindCase{ "v0", 200, EVENTS }),
			 [](const auto &i) {
				 return std::string(i.param.version);
			 });

struct OutOfStepCase {
	const char *name;
	bool frozen; /* else cut off from the others and the store */
	unsigned out_ms; /* before the other version comes */
};

struct GatewayVersionOutOfStep : GatewayVersionBehind,
				 ::testing::WithParamInterface<OutOfStepCase> {
};

// A gateway that was out of step while a second version came took the first one
// for the only one: streams went on there that had begun at the second one.
TEST_P(GatewayVersionOutOfStep, TakesNoVersionForTheOnlyOne)
{
	const OutOfStepCase &c = GetParam();
	FakeEndpoint::Options o;
	Stream s = UnknownStream();

	n_versions = 1;
	ASSERT_NO_FATAL_FAILURE(Start(3));
	if (c.frozen) {
		gateways[0]->process.Signal(SIGSTOP);
	} else {
		Kill(1);
		Kill(2);
		store.SetFault(FakeStore::SILENT, "first");
	}
	SleepMs(c.out_ms);
	o.id = "e9";
	o.store = &store;
	o.version = "v1";
	o.event_suffix = " v1.";
	o.events = EVENTS;
	endpoints.push_back(std::make_unique<FakeEndpoint>(o));
	/* A stream begins there, breaks, and is taken up. */
	SleepMs(1300);
	gateways[0]->process.Signal(SIGCONT);
	Request(s, *gateways[0]);
	EXPECT_EQ(s.status, 503);
	EXPECT_EQ(s.last_event, 3);
	store.SetFault(FakeStore::NO_FAULT, "first");
}

INSTANTIATE_TEST_SUITE_P(
	Cases, GatewayVersionOutOfStep,
	::testing::Values(OutOfStepCase{ "CutOff", false, 2000 },
			  OutOfStepCase{ "JustCutOff", false, 300 },
			  OutOfStepCase{ "Frozen", true, 200 },
			  OutOfStepCase{ "FrozenLong", true, 2500 }),
	[](const auto &i) { return std::string(i.param.name); });

// While a gateway hears no other one, the store's answers show that it is in
// step: streams whose gateway has ended go on at once.
TEST_F(GatewayVersionBehind, AStreamGoesOnAtTheLastGatewayThatTheStoreAnswers)
{
	Stream s = UnknownStream();

	n_versions = 1;
	ASSERT_NO_FATAL_FAILURE(Start(3));
	Kill(1);
	Kill(2);
	for (int i = 0; i < 6; i++) {
		Stream next = s;

		Request(next, *gateways[0]);
		EXPECT_TRUE(next.complete()) << i;
	}
}

/* One gateway, and engines with loaders. Of "v1", one has the model and one has
 * room for it. */
struct GatewayVersionHome : GatewayVersion {
	Daemon loaders[3];

	void StartEngine(unsigned i, int datagrams)
	{
		FakeEndpoint::Options o;
		std::string ip = "127.0.1." + std::to_string(i + 1);
		std::string at = std::to_string(datagrams);

		o.id = "e" + std::to_string(i);
		o.ip = ip;
		o.store = &store;
		o.version = i == 0 ? "v0" : "v1";
		o.event_suffix = " " + o.version + ".";
		o.events = EVENTS;
		o.gap_ms = 40;
		endpoints.push_back(std::make_unique<FakeEndpoint>(o));
		loaders[i].Start("pimento-loader",
				 "name = \"l" + std::to_string(i) +
					 "\"\nzone = \"za\"\nregion = "
					 "\"east\"\nplatform = \"" +
					 store.addr() + "\"\ndatagrams = \"" +
					 ip + ":" + at + "\"\nbackend = \"" +
					 endpoints[i]->addr() + "\"\n");
	}
	void SetUp() override
	{
		auto n = std::make_unique<Node>();
		int datagrams = FreePort();

		store.Put("op", "config", ConfigJson(1));
		for (unsigned i = 0; i < 3; i++)
			StartEngine(i, datagrams);
		endpoints[2]->Crash();
		endpoints[2]->Restart();
		endpoints[2]->WriteRow();
		n->ip = "127.0.0.2";
		n->port = FreePort();
		n->ready = FreePort();
		n->settings = GatewaySettings(store.addr(), n->ip, n->port,
					      n->ready, datagrams);
		n->process.Start("pimento-gateway", n->settings);
		gateways.push_back(std::move(n));
		ASSERT_TRUE(BecomesReady(*gateways[0]));
		more_headers = "Model: m\r\nToken-Usage: 10,30\r\n";
		SleepMs(12000); /* until the planner leads */
	}
};

TEST_F(GatewayVersionHome, StreamsGoOnWhenTheOnlyHomeOfTheirVersionEnds)
{
	unsigned resumed, complete;
	std::vector<Stream> all = RunStreams(
		16, [this] { endpoints[1]->Crash(); },
		[this]() -> const Node & { return *gateways[0]; });

	Check("home", all, &resumed, &complete);
	EXPECT_GE(resumed, 4u);
	EXPECT_GE(2 * complete, resumed);
}

} // namespace
