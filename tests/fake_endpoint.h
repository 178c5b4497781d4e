/*
 * An endpoint with its row in the store: runs requests, takes orders of a
 * loader, and fails or pauses in all its connections at once.
 */
#ifndef TESTS_FAKE_ENDPOINT_H
#define TESTS_FAKE_ENDPOINT_H

#include "tests/fake_store.h"

#include <set>

class FakeEndpoint
{
      public:
	/* Of one request. */
	enum Fault {
		NO_FAULT,
		FULL, /* answers 503, not run */
		RESET, /* runs the request, then resets the connection */
		FAILED, /* answers 500 */
		LATE, /* answers 0.3 s later */
		CUT, /* closes before the end of a plain answer */
		STRAY, /* sends a second answer after a plain one */
		BROKEN_STREAM, /* resets within an event */
	};
	struct Answered {
		std::string id;
		double retry_after; /* < 0: none */
		bool leaving;
	};
	struct Run {
		int count = 0;
		size_t bytes = 0;
		bool complete = false;
	};
	struct Options {
		std::string id;
		std::string version = "v1"; /* of its software */
		std::string event_suffix; /* of the data of each event */
		FakeStore *store = nullptr; /* must outlive the endpoint */
		std::string service = "app";
		std::string ip = "127.0.0.1";
		int events = 8; /* of each stream */
		unsigned gap_ms = 10; /* between events or parts of an answer */
		size_t adapter_slots = 2;
		/* A stream on a prompt part whose name begins so crashes the
		 * endpoint when it begins; it is back after `down_ms`. */
		std::string crash_part;
		unsigned down_ms = 1500;
		/* Called from threads of connections. */
		std::function<Fault()> choose_fault;
		std::function<void(FakeEndpoint &, const FakeRequest &)>
			on_request;
		/* Before the answer is sent. */
		std::function<void(FakeEndpoint &, const Answered &)> on_answer;
	};

	/* Starts with the model "m" and its row in the store. */
	explicit FakeEndpoint(const Options &o);
	~FakeEndpoint();

	std::string addr() const;
	const std::string &id() const;
	/* Changes at each start. */
	uint64_t incarnation();
	Run RunOf(const std::string &id);
	/* Orders beyond the slots for adapters, each of which is a crash. */
	int OverloadCount();
	size_t OrderCount();

	/* Neither reads nor sends; afterwards, answers go on. */
	void Silence(unsigned ms);
	/* Silent until Crash(). */
	void Hang();
	bool WasSilentSince(std::chrono::steady_clock::time_point at);
	/* Resets all connections, and new ones until Restart(). Writes nothing
	 * to the store. */
	void Crash();
	size_t CrashCount();
	/* A new incarnation under the same id and address, without models. */
	void Restart();
	/* All answers say from now on that this endpoint leaves; with @drain,
	 * reports and the row do so too. */
	void Leave(bool drain);
	/* All answers name this limit of requests a second; < 0: none. */
	void NameLimit(double per_s);
	/* Refuses all requests for @ms. */
	void Refuse(double retry_after_s, unsigned ms);
	/* With the actual state, or @state. */
	void WriteRow(const std::string &state = "");
	void DeleteRow();

	static std::string Body(const std::string &id);
	static std::string Event(int k, const std::string &id);

      private:
	using Clock = std::chrono::steady_clock;
	using Lock = std::unique_lock<std::mutex>;
	struct Exchange {
		int fd;
		std::string id;
		uint64_t incarnation;
	};

	bool Handle(int fd, const FakeRequest &r);
	bool ServeRequest(const Exchange &x, const FakeRequest &r);
	bool ServeStream(const Exchange &x, int from, const std::string &head,
			 Fault f);
	void ComeBack();
	bool CrashOnPart(const Exchange &x, const std::string &head);
	bool ServePlain(const Exchange &x, const std::string &head, Fault f);
	bool SendRefusal(const Exchange &x, int status, double retry_after);
	bool SendReport(const Exchange &x);
	bool TakeOrder(const Exchange &x, const FakeRequest &r);
	int OrderStatus(const FakeRequest &r);
	int CarryOut(const std::string &op, const std::string &model,
		     const std::string &adapter);
	bool Send(const Exchange &x, const std::string &bytes);
	bool WaitWhileSilent(const Exchange &x);
	bool HoldsModel(const std::string &model);
	void StartRun(const std::string &id);
	void AddSent(const std::string &id, size_t bytes, bool complete);
	std::string AnswerHead(const Exchange &x, double retry_after = -1);
	std::string ModelsJson() const;
	std::string State() const;

	Options opts_;
	std::mutex mu_;
	std::condition_variable cv_;
	std::map<std::string, Run> runs_;
	std::map<std::string, std::set<std::string>> models_;
	Clock::time_point silent_until_, refuse_until_;
	double retry_after_ = 0;
	double limit_ = -1;
	uint64_t incarnation_ = 7;
	size_t orders_ = 0;
	int overloads_ = 0;
	size_t crashes_ = 0;
	std::vector<std::thread> restarts_;
	bool leaving_ = false; /* says so in answers */
	bool draining_ = false; /* says so in reports and rows */
	bool down_ = false;
	bool stop_ = false;
	std::unique_ptr<FakeServer> server_;
};

#endif
