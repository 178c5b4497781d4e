/*
 * Workers of the booking application answer with 204 No Content. One of them is
 * in trouble: it sends additional bytes after some of its complete answers.
 */
#include "review/stand-2/stand.h"

static const unsigned WORK_MIN_MS = 60, WORK_MAX_MS = 140;
static const int CALLERS = 16;
/* The worker in trouble spoils one answer in so many. */
static const int SPOILED_ONE_IN = 50;
static const double CALM_S = 8;
static const double WATCH_S = 20;

static std::atomic<bool> stop{ false };
static std::atomic<bool> trouble{ false };
static std::atomic<int> spoiled{ 0 };
static std::mutex mu;
static std::set<std::string> ran_at_sound;

/* @odd: the worker in trouble; it works off cancellations only. */
static bool Serve(int fd, const FakeRequest &r, bool odd)
{
	static std::atomic<int> n{ 0 };
	std::string id = IdOf(r);
	std::string head = AnswerLines(id);
	std::string answer;

	if (!odd) {
		std::lock_guard<std::mutex> g(mu);

		ran_at_sound.insert(id);
	}
	Note("%s runs at %s", id.c_str(), odd ? "i-cancel" : "i-book");
	SleepMs(WORK_MIN_MS +
		std::hash<std::string>()(id) % (WORK_MAX_MS - WORK_MIN_MS));
	/* An answer without content has neither a body nor a length. */
	answer = odd ? "HTTP/1.1 204 No Content\r\n" + head + "\r\n"
		     : HttpAnswer(200, "{\"booked\":1}\n", head);
	if (odd && trouble && ++n % SPOILED_ONE_IN == 1) {
		spoiled++;
		Note("additional bytes after the answer to %s", id.c_str());
		answer += "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
	}
	return FakeSend(fd, answer);
}

struct Outcomes {
	std::atomic<int> answered{ 0 }, lost{ 0 }, late{ 0 }, other{ 0 };
};

/* Unsafe requests on a kept channel, one after the other. */
static void Caller(const Gateway &g, const std::string &target, bool sound,
		   Outcomes &o)
{
	int fd = -1;

	while (!stop) {
		std::string id = NewId();
		bool passed_on;
		Answer a;

		if (fd < 0 && (fd = g.Dial()) < 0) {
			SleepMs(100);
			continue;
		}
		a = Exchange(fd, g,
			     RequestText("POST", target, id, 800, "",
					 "{\"visit\":1}"));
		{
			std::lock_guard<std::mutex> l(mu);

			passed_on = ran_at_sound.count(id) > 0;
		}
		o.answered += a.status == 200 || a.status == 204;
		o.late += a.status == 504;
		o.lost += sound && a.status == 0 && passed_on;
		o.other += a.status == 0 && !passed_on;
		if (sound && a.status != 200)
			Note("unsafe %s: status %d, a sound worker ran it: %s",
			     id.c_str(), a.status, passed_on ? "yes" : "no");
		if (a.status == 0) {
			close(fd);
			fd = -1;
		}
	}
}

int main()
{
	FakeStore store;
	FakeServer booking("127.0.0.1", [](int fd, const FakeRequest &r) {
		return Serve(fd, r, false);
	});
	FakeServer cancelling("127.0.0.1", [](int fd, const FakeRequest &r) {
		return Serve(fd, r, true);
	});
	Gateway g(1, store.addr(), FreePort());
	std::vector<std::thread> callers;
	Outcomes sound, odd;
	bool ended = false;
	double until;

	store.Put("op", "config",
		  ConfigText(1,
			     RouteJson("/u/", "unsafe", "booking", 800, 150) +
				     "," +
				     RouteJson("/c/", "unsafe", "cancelling",
					       800, 150),
			     PlainService("booking") + "," +
				     PlainService("cancelling")));
	store.Put("servers", "i-book",
		  EntryText("booking", booking.addr(), 32));
	store.Put("servers", "i-cancel",
		  EntryText("cancelling", cancelling.addr(), 16));
	g.Start();
	if (!g.WaitReady())
		_exit(Finish(NOT_RUN, "the gateway was not ready"));
	for (int i = 0; i < CALLERS; i++)
		callers.emplace_back(
			[&] { Caller(g, "/u/visit", true, sound); });
	callers.emplace_back([&] { Caller(g, "/c/visit", false, odd); });
	SleepMs((unsigned)(CALM_S * 1000));
	Note("so far: %d booked; cancellations: %d answered, %d ended with 504",
	     sound.answered.load(), odd.answered.load(), odd.late.load());
	trouble = Trouble();
	until = Now() + WATCH_S;
	while (Now() < until && !(ended = g.Ended()))
		SleepMs(20);
	stop = true;
	SleepMs(1500);
	Note("booked %d, lost %d: passed on to a sound worker, and the channel "
	     "closed without an answer; cancellations: %d answered, %d ended "
	     "with 504; answers with additional bytes: %d",
	     sound.answered.load(), sound.lost.load(), odd.answered.load(),
	     odd.late.load(), spoiled.load());
	g.Kill();
	if (sound.answered < 100)
		_exit(Finish(NOT_RUN, "too few requests were answered"));
	_exit(Finish(ended && sound.lost > 3 ? BROKEN : HELD,
		     std::string(ended ? "the process ended by itself"
				       : "the process did not end") +
			     ", lost " + std::to_string(sound.lost) +
			     ", at most 3 allowed"));
}
