/*
 * Checks what callers and endpoints see against the promises to callers, while
 * requests run.
 */
#ifndef TESTS_SOAK_CHECKS_H
#define TESTS_SOAK_CHECKS_H

#include "tests/fake_endpoint.h"

class SoakChecks
{
      public:
	/* Gateways and endpoints are sound, except for planned work and
	 * silences: no answer may be lost or cut. */
	std::atomic<bool> harmless_only{ true };

	/* The endpoint must outlive this object's use. */
	void AddEndpoint(FakeEndpoint *e);

	/* By callers. */
	void OnSent(const std::string &id, char kind, int gateway);
	void OnAnswered(const std::string &id, int status, bool adapter);
	/* @any: a part of an answer was received. @read: the gateway read all
	 * that was sent before it closed. */
	void OnClosedEarly(const std::string &id, bool any, bool read);

	/* By endpoints. */
	void OnRequest(FakeEndpoint &e, const FakeRequest &r);
	void OnAnswer(FakeEndpoint &e, const FakeEndpoint::Answered &a);

	/* The gateway stopped, or was frozen: it owes nothing for what
	 * endpoints told it before. */
	void OnGatewayDisturbed(int gateway);

	void AddViolation(const std::string &what);
	void AddFault(const std::string &name);
	/* Checks all requests. */
	void CheckRuns();

	std::vector<std::string> violations();
	/* What was injected and when. */
	std::string Faults();
	size_t ServedCount(bool with_adapter = false);
	std::string Summary();

      private:
	using Clock = std::chrono::steady_clock;
	/* A gateway and an incarnation of an endpoint. */
	using Pair = std::tuple<int, std::string, uint64_t>;
	struct Request {
		char kind;
		int gateway;
		int gateway_start; /* count of disturbances */
		Clock::time_point sent;
		bool harmless; /* sent while harmless_only */
		bool refused = false;
		bool reported = false;
		std::vector<Pair> leaving; /* whose answers said so */
	};
	struct Backoff {
		Clock::time_point answered, from, to;
		int n;
	};

	int RunCount(const std::string &id);
	bool Ran(const std::string &endpoint, const std::string &id);
	void CheckRequest(const std::string &id, Request *q);
	void CheckLeaving(const Pair &p, const std::string &id,
			  const Request &q);
	void CheckBackoff(FakeEndpoint &e, const Pair &p,
			  const std::string &id);
	void Add(const std::string &what);
	std::string Age() const;

	std::mutex mu_;
	Clock::time_point start_ = Clock::now();
	std::vector<FakeEndpoint *> endpoints_;
	std::map<std::string, Request> requests_;
	std::map<Pair, Clock::time_point> leaving_; /* when passed on */
	std::map<Pair, std::vector<Backoff>> backoffs_;
	std::map<int, int> gateway_starts_;
	std::map<int, size_t> by_status_;
	std::map<std::string, size_t> by_fault_;
	std::string faults_;
	std::vector<std::string> violations_;
	size_t served_with_adapter_ = 0;
	size_t closed_early_ = 0;
	size_t hidden_ = 0; /* violations beyond the limit */
};

#endif
