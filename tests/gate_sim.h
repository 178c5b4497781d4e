/*
 * Several gate cores, endpoints and callers in virtual time. Endpoints run
 * streams, can be made to crash, and come back as new ones.
 */
#ifndef TESTS_GATE_SIM_H
#define TESTS_GATE_SIM_H

#include "pimentoford/gate.h"

#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

class GateSim
{
      public:
	struct Options {
		unsigned gates = 5;
		unsigned endpoints = 18;
		unsigned seed = 1;
		double sound_per_s = 60;
		double digest_loss = 0.01;
		pf_ms digest_ms = 120;
		pf_ms down_ms = 3000; /* from a crash to the next start */
		unsigned subjects = 44; /* second parts of sound prompts */
		/* Requests whose prompts have this part crash endpoints. Below
		 * 200 + subjects, it was sound before. */
		uint64_t poison_part = 1;
		double poison_per_s = 0;
		unsigned poison_position = 1;
		unsigned n_parts = 3; /* of each prompt */
		/* Different parts at each place between the subject and the
		 * last part; 0: no two requests share any. */
		unsigned fillers = 4;
		int poison_events = 0; /* passed on before the crash */
		pf_ms crash_after = 70; /* from the begin of the answer */
		bool at_most_once = false; /* the route's kind */
	};
	struct Request {
		bool poison = false;
		pf_ms arrived_at = 0;
		unsigned gate = 0;
		std::vector<uint64_t> parts;
		uint32_t handle = UINT32_MAX;
		unsigned sends = 0; /* that reached an endpoint */
		bool began_first = false; /* at the first send */
		bool refused = false, failed = false, delivered = false;
		enum pf_gate_reason reason = PF_GATE_REASON_NONE;
		/* Of the send in flight. */
		unsigned send_serial = 0;
		unsigned endpoint = 0;
		int events_left = 0;
		bool in_flight = false;
	};
	struct Arrival {
		pf_ms at;
		uint64_t endpoint;
		unsigned gate;
		bool poison;
	};

	explicit GateSim(const Options &o);
	~GateSim();

	void Run(pf_ms span);
	void SetPoison(double per_s);
	/* Each request then running at the endpoint loses its connection. */
	void ResetRuns(unsigned endpoint);
	/* All connections to the endpoint are reset, and it ends. */
	void Crash(unsigned endpoint);
	/* A new process without memory. */
	void RestartGate(unsigned gate);
	/* Gate 0 tells all that the part has crashed endpoints since @age ago. */
	void AnnounceQuarantine(uint64_t part, uint32_t age);
	pf_ms now() const
	{
		return now_;
	}

	Options opts;
	std::vector<pf_ms> crashes;
	unsigned quarantines = 0, releases = 0; /* over all gates */
	uint64_t evidence_sent = 0; /* entries, by all gates */
	std::vector<Arrival> arrivals; /* at endpoints */
	std::vector<std::unique_ptr<Request>> requests;

	/* Poisoned requests that reached endpoints from @from on. */
	unsigned PoisonArrivals(pf_ms from) const;
	/* Share of the sound requests with the part @first that arrived from
	 * @from to @to and began at their first send. */
	double BeganShare(uint64_t first, pf_ms from, pf_ms to) const;
	unsigned SoundRefused(enum pf_gate_reason why) const;

      private:
	struct SimEndpoint {
		uint64_t id = 0;
		int64_t incarnation = 1;
		bool up = false;
		bool loaded = false;
		pf_ms prefill_free_at = 0;
		std::vector<Request *> running;
	};
	struct Gate {
		struct pf_gate *g = nullptr;
		uint64_t self = 0;
		std::vector<struct pf_gate_peer_cursor> cursors;
	};

	static void Emit(void *ctx, const struct pf_gate_act *a);
	void At(pf_ms at, std::function<void()> f);
	void Step(unsigned gate, const struct pf_gate_msg &m);
	void Tick(unsigned gate);
	void StartGate(unsigned gate);
	void Repeat(unsigned gate, const struct pf_gate *g, pf_ms period,
		    pf_ms first, void (GateSim::*f)(unsigned));
	void StartEndpoint(unsigned i);
	void List(unsigned gate, unsigned i);
	void SendDigests(unsigned gate);
	void SendEvidence(unsigned gate);
	void SendPartUses(unsigned gate);
	void SendEvidenceTo(unsigned gate, unsigned to,
			    const struct pf_gate_evidence *v, uint32_t n);
	bool IsJudgeFor(unsigned gate, unsigned to) const;
	void ScheduleArrivals(bool poison);
	void Arrive(bool poison);
	void OnSend(Request *r, const struct pf_gate_act &a);
	void Reach(Request *r, unsigned serial, uint64_t endpoint);
	void Begin(Request *r, unsigned serial);
	void Event(Request *r, unsigned serial);
	void Leave(Request *r);
	void Lose(const std::vector<Request *> &lost);
	void End(Request *r, enum pf_gate_outcome o, int status, bool reset);
	double Unit()
	{
		return std::uniform_real_distribution<>(0, 1)(rng_);
	}
	unsigned Below(unsigned n)
	{
		return static_cast<unsigned>(rng_() % n);
	}

	pf_ms now_ = 1000000;
	std::mt19937 rng_;
	std::multimap<pf_ms, std::function<void()>> events_;
	std::vector<Gate> gates_;
	std::vector<SimEndpoint> endpoints_;
	struct pf_routes routes_ = {};
	struct pf_split split_ = {};
	struct pf_route route_ = {};
	struct pf_route_service service_ = {};
	struct pf_gate_zone zone_ = { 1, 1 };
	uint64_t next_id_ = 1000;
	uint64_t next_part_ = 1000000;
};

#endif
