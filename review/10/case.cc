/*
 * A load order gets no answer and is carried out 10 s later. Meanwhile its
 * engine crashes, starts again under its id, and is ordered to load as many
 * models as it holds.
 */
#include "review/stand-2/engine.h"

static const double WEIGHTS_MB = 220000;
static const double MODEL_MB = 72700;
static const double LATE_S = 10; /* the pages: 2 to 12 s */
static const double CRASH_S = 0.8; /* after the first order that is late */
static const double BACK_S = 1.5; /* after the crash */
static const unsigned HEARTBEAT_MS = 1200;

int main()
{
	FakeStore store;
	std::string models;
	int datagrams = FreePort();
	double crash_at;

	for (const char *m : { "a", "b", "c", "d" })
		models +=
			std::string(models.empty() ? "" : ",") +
			"{\"name\":\"" + m +
			"\",\"weights_mb\":72700,\"load_s\":1.2,\"warm_s\":"
			"0.4,\"disk_s\":0.52,\"adapters\":3,\"adapter_mb\":66}";
	store.Put("op", "config",
		  ConfigText(1, RouteJson("/t/", "stream", "llm", 5000, 800),
			     "{\"name\":\"llm\",\"max_conns\":370,\"engine\":{"
			     "\"slots\":64,\"kv_capacity\":239984,\"stride\":5,"
			     "\"weights_mb\":220000,\"adapter_slots\":5,"
			     "\"loads_per_s\":2.1,\"models\":[" +
				     models + "]}}"));
	Engine e(store, WEIGHTS_MB, MODEL_MB, { "a", "b" });
	Loader l("side-a-1", store.addr(), e.addr(), datagrams);
	Gateway g(1, store.addr(), datagrams);
	g.Start();
	if (!g.WaitReady())
		_exit(Finish(NOT_RUN, "the gateway was not ready"));
	SleepMs(11000);
	if (!Demand(g, { "a/a1" }, 8, [&] { return e.Adapters() == 1; }))
		_exit(Finish(NOT_RUN, "the adapter was not loaded"));
	Note("now demand for d");
	if (Trouble()) {
		e.late_model = "d";
		e.late_s = LATE_S;
		e.late = true;
		Demand(g, { "d" }, 20, [&] { return e.lost_at > 0; });
		if (e.lost_at == 0)
			_exit(Finish(NOT_RUN, "no order for d"));
		crash_at = e.lost_at + CRASH_S;
		SleepUntil(crash_at);
		e.late = false;
	} else {
		Demand(g, { "d" }, 20, [&] { return e.Holds("d"); });
		crash_at = Now();
	}
	e.Crash();
	SleepUntil(crash_at + BACK_S);
	e.ComeBack();
	SleepMs(HEARTBEAT_MS / 4);
	e.WriteEntry();
	Demand(g, { "a", "b", "c" }, crash_at + 16 - Now(),
	       [&] { return e.overloads > 0; });
	g.Kill();
	_exit(Finish(e.overloads > 0                                ? BROKEN
		     : e.Holds("a") && e.Holds("b") && e.Holds("c") ? HELD
								    : NOT_RUN,
		     std::to_string(e.overloads) +
			     " orders to load more than weights_mb"));
}
