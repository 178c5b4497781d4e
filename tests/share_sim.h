/*
 * Gate cores, engines, plain endpoints and callers with accounts in virtual
 * time. Counts what callers of each account and kind get, and its value.
 */
#ifndef TESTS_SHARE_SIM_H
#define TESTS_SHARE_SIM_H

#include "pimentoford/gate.h"

#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <queue>
#include <random>
#include <vector>

struct ShareKind {
	const char *name;
	enum pf_route_kind kind;
	uint32_t shared, own, events;
	double per_s;
	pf_ms objective, deadline;
	double value, late;
	uint8_t priority;
};

/* Deployment A of docs/HARD-LOAD.md, by ShareSim::Kind. */
inline const ShareKind SHARE_KINDS[] = {
	{ "urgent", PF_ROUTE_RESUMABLE, 6300, 2890, 10, 52.8, 1000, 6000, 3.9,
	  .48, 0 },
	{ "patient", PF_ROUTE_STREAM, 6300, 2890, 10, 12.8, 6000, 8000, 1, .47,
	  2 },
	{ "chat", PF_ROUTE_RESUMABLE, 198, 628, 58, 88.7, 2000, 15000, .62, .19,
	  1 },
	{ "booking", PF_ROUTE_UNSAFE, 0, 0, 0, 64.6, 200, 1200, 1, .3, 0 },
	{ "lookup", PF_ROUTE_SAFE, 0, 0, 0, 14.9, 200, 1200, 1, .3, 1 },
};

class ShareSim
{
      public:
	static constexpr double PREFILL_TOKENS_PER_MS = 38.4;
	/* Who decides: the gate cores, with or without accounts, or one
	 * queue that knows all engines at any moment. */
	enum Order { ACCOUNTS, NO_ACCOUNTS, FIFO, STRICT_PRIORITY };
	enum Kind { URGENT, PATIENT, CHAT, BOOKING, LOOKUP, KINDS };
	struct Options {
		unsigned gates = 25;
		Order order = ACCOUNTS;
		unsigned seed = 1;
		unsigned engines = 12;
		unsigned models = 6;
		unsigned models_per_engine = 2;
		double load = 1; /* of the usual rates */
		unsigned n_accounts = 16;
		int retries_at_once = -1; /* the account whose callers do */
		bool cold = false; /* engines keep no prefixes at first */
	};
	struct Count {
		unsigned n = 0, on_time = 0, late = 0, rejected = 0, failed = 0;
		double value = 0, possible = 0;
		double OnTime() const
		{
			return n ? (double)on_time / n : 1;
		}
		double Served() const
		{
			return n ? (double)(on_time + late) / n : 1;
		}
		void operator+=(const Count &c);
	};
	struct Caller {
		unsigned account = 0;
		Kind kind = URGENT;
		pf_ms arrived_at = 0;
		uint64_t model = 0, prefix = 0, fingerprint = 0;
		unsigned gate = 0, tries = 0, retries_max = 1;
		bool at_once = false; /* ignores Retry-After */
		uint32_t handle = UINT32_MAX;
		unsigned serial = 0; /* of its sends */
		bool in_flight = false, ended = false;
		unsigned endpoint = 0;
		int priority = 0;
		enum { NOWHERE, QUEUED, RUNNING } at = NOWHERE;
		uint32_t kv = 0;
		int events_left = 0;
		pf_ms first_at = 0;
	};

	explicit ShareSim(const Options &o);
	~ShareSim();
	void Run(pf_ms span);
	/* Until everybody has an answer; no further requests. */
	void Finish();
	void KillGate(unsigned gate);

	Options opts;
	/* Of the usual rate, from now on; at most FACTOR_MAX. */
	static constexpr double FACTOR_MAX = 8;
	std::vector<double> account_factor;
	double kind_factor[KINDS];
	/* Digests of one half of the gateways don't reach the other. */
	bool partitioned = false;
	/* Of requests that arrived while counting. */
	bool counting = false;

	Count Of(int account, int kind) const; /* -1: all */
	/* Shares of requests served in time, by account but for these, worst
	 * first. */
	std::vector<double> OnTimeShares(std::vector<unsigned> except) const;
	/* Of the first events of this kind, in ms after the arrival. */
	pf_ms FirstEvent(Kind kind, double quantile) const;
	/* Value that engines could serve at most if everything was known. */
	double ValueBound(pf_ms span) const;
	void Print(const char *title) const;

      private:
	struct Endpoint {
		uint64_t id = 0;
		bool engine = false;
		std::vector<uint64_t> models;
		std::list<uint64_t> prefixes; /* newest first */
		std::vector<Caller *> queue;
		unsigned running = 0;
		uint32_t kv = 0;
		bool prefilling = false;
	};
	struct Gate {
		struct pf_gate *g = nullptr;
		uint64_t self = 0;
		std::vector<struct pf_gate_peer_cursor> cursors;
	};
	struct Event {
		pf_ms at;
		uint64_t serial;
		std::function<void()> f;
		bool operator<(const Event &e) const
		{
			return at != e.at ? at > e.at : serial > e.serial;
		}
	};

	static void Emit(void *ctx, const struct pf_gate_act *a);
	void At(pf_ms at, std::function<void()> f);
	void Step(unsigned gate, const struct pf_gate_msg &m);
	void StartGate(unsigned gate);
	void Repeat(pf_ms period, pf_ms first, std::function<bool()> f);
	void List(unsigned gate, const Endpoint &e);
	bool SendDigest(unsigned gate, unsigned to);
	void NextArrival();
	void Try(Caller *c);
	void OnRefused(Caller *c, pf_ms retry_after);
	void OnSend(Caller *c, const struct pf_gate_act &a);
	void Reach(Caller *c, unsigned endpoint);
	void Pump(unsigned endpoint);
	Caller *Next(Endpoint &e);
	bool Fits(const Endpoint &e, const Caller *c) const;
	uint32_t FreshTokens(const Endpoint &e, const Caller *c) const;
	void KeepPrefix(Endpoint &e, const Caller *c);
	void OnEvent(Caller *c, unsigned serial);
	void Leave(Caller *c);
	void Answered(Caller *c, enum pf_gate_outcome o, int status);
	void End(Caller *c, unsigned Count::*how);
	void Done(Caller *c);
	bool Central() const
	{
		return opts.order == FIFO || opts.order == STRICT_PRIORITY;
	}
	double Unit()
	{
		return std::uniform_real_distribution<>(0, 1)(rng_);
	}
	/* The same callers in each order. */
	double Draw()
	{
		return std::uniform_real_distribution<>(0, 1)(callers_rng_);
	}
	unsigned Below(unsigned n)
	{
		return static_cast<unsigned>(rng_() % n);
	}

	pf_ms now_ = 1000000;
	uint64_t serial_ = 0;
	std::mt19937 rng_, callers_rng_;
	std::priority_queue<Event> events_;
	std::vector<Gate> gates_;
	std::vector<Endpoint> endpoints_;
	std::vector<Caller *> central_;
	std::vector<std::unique_ptr<Caller>> callers_;
	std::vector<std::vector<Count>> counts_;
	std::vector<pf_ms> firsts_[KINDS];
	std::vector<double> weights_;
	bool arrivals_ = true;
	unsigned open_ = 0;
	struct pf_routes routes_ = {};
	struct pf_split splits_[KINDS] = {};
	struct pf_route route_[KINDS] = {};
	struct pf_route_service services_[2] = {};
	struct pf_gate_zone zones_[3] = { { 1, 1 }, { 2, 1 }, { 3, 1 } };
	uint64_t next_id_ = 1000;
};

#endif
