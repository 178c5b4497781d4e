/*
 * The operator moves a route from one service to nine others, by a split. Later
 * the gateway's process is killed and started again.
 */
#include "review/stand-2/stand.h"

static const int PARTS = 9;
static const double WATCH_S = 6; /* after the confirmation */
static const double RECOVER_S = 12;

static std::atomic<bool> stop{ false };

struct Seen {
	double sent;
	std::string service; /* that ran it; else empty */
};
static std::mutex mu;
static std::vector<Seen> seen;

static std::unique_ptr<FakeServer> StartWorker(const std::string &service)
{
	return std::make_unique<FakeServer>(
		"127.0.0.1", [service](int fd, const FakeRequest &r) {
			std::string id = IdOf(r);

			Note("%s runs at %s", id.c_str(), service.c_str());
			return FakeSend(fd, HttpAnswer(200, service,
						       AnswerLines(id)));
		});
}

/* Bookings, one after the other on a kept channel. */
static void Caller(const Gateway &g)
{
	int fd = -1;

	while (!stop) {
		double sent = Now();
		std::string id = NewId();
		Answer a;

		if (fd < 0 && (fd = g.Dial()) < 0) {
			SleepMs(50);
			continue;
		}
		a = Exchange(fd, g,
			     RequestText("POST", "/u/visit-" + id, id, 800, "",
					 "{\"visit\":1}"));
		{
			std::lock_guard<std::mutex> l(mu);

			seen.push_back({ sent, a.status == 200 ? a.body : "" });
		}
		if (a.status == 0) {
			close(fd);
			fd = -1;
		}
		SleepMs(50);
	}
}

static int CountRun(double from, double to, bool old_service)
{
	std::lock_guard<std::mutex> l(mu);
	int n = 0;

	for (const Seen &s : seen)
		n += s.sent >= from && s.sent < to && !s.service.empty() &&
		     (s.service == "old") == old_service;
	return n;
}

int main()
{
	/* Without the disruption, the split has one part less. */
	int parts = Trouble() ? PARTS : PARTS - 1;
	FakeStore store;
	std::vector<std::unique_ptr<FakeServer>> workers;
	std::string services = PlainService("old");
	std::string route = RouteJson("/u/", "unsafe", "old", 800, 150);
	std::string old_field = "\"service\":\"old\"";
	std::string split;
	std::string moved;
	Gateway g(1, store.addr(), FreePort());
	double confirmed, restarted, from;
	int before, old_runs, new_runs, after;
	bool ready;

	workers.push_back(StartWorker("old"));
	store.Put("servers", "i-old", EntryText("old", workers[0]->addr(), 6));
	for (int i = 1; i <= parts; i++) {
		std::string name = "app-" + std::to_string(i);

		workers.push_back(StartWorker(name));
		store.Put("servers", "i-" + std::to_string(i),
			  EntryText(name, workers.back()->addr(), 6));
		services += "," + PlainService(name);
		split += (split.empty() ? "" : ",") +
			 ("{\"service\":\"" + name + "\",\"weight\":10}");
	}
	store.Put("op", "config", ConfigText(1, route, services));
	g.Start();
	if (!g.WaitReady())
		_exit(Finish(NOT_RUN, "the gateway was not ready"));
	for (int i = 0; i < 4; i++)
		std::thread([&] { Caller(g); }).detach();
	SleepMs(12000);
	moved = route;
	moved.replace(moved.find(old_field), old_field.size(),
		      "\"split\":[" + split + "]");
	store.Put("op", "config", ConfigText(2, moved, services));
	confirmed = Now();
	Note("confirmed: version 2 splits the route over %d services", parts);
	SleepUntil(confirmed + WATCH_S);
	g.Kill();
	SleepMs(1000);
	g.Start();
	restarted = Now();
	ready = g.WaitReady(RECOVER_S);
	SleepUntil(restarted + RECOVER_S + 4);
	stop = true;
	SleepMs(1000);
	from = confirmed + CONFIG_S + 0.05;
	before = CountRun(0, confirmed, true);
	old_runs = CountRun(from, restarted, true);
	new_runs = CountRun(from, restarted, false);
	after = CountRun(restarted + RECOVER_S, Now(), true) +
		CountRun(restarted + RECOVER_S, Now(), false);
	Note("run by the old service before the change: %d; sent later than "
	     "config_ms after its confirmation: %d run by the old service, %d "
	     "by new ones; sent later than recover_s after the start: %d "
	     "served; ready: %s",
	     before, old_runs, new_runs, after, ready ? "yes" : "no");
	g.Kill();
	if (before < 100)
		_exit(Finish(NOT_RUN, "too few requests were answered"));
	_exit(Finish(old_runs > 0 ? BROKEN : HELD,
		     std::to_string(old_runs) +
			     " requests run by the old service too late; " +
			     std::to_string(after) +
			     " served after the restart"));
}
