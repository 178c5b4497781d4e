/*
 * Gate cores that choose among many engines in virtual time: how even the
 * queues of the engines are, and what callers get.
 */
#ifndef TESTS_EVEN_SIM_H
#define TESTS_EVEN_SIM_H

#include "pimentoford/gate.h"

#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <vector>

class EvenSim
{
      public:
	enum Kind { CHAT, URGENT, PATIENT, KINDS };

	struct Options {
		unsigned gates = 22;
		unsigned engines = 41;
		unsigned models = 16;
		unsigned seed = 1;
		/* Prompt work with all prefixes kept, of all engines' time. */
		double load = 0.8;
		pf_gate_choose_fn choose = pf_gate_choose_even;
		/* Instead of `choose`: by the true state of the engines. */
		bool clairvoyant = false;
		/* Zones 0 to 2 are a region, 3 to 5 the other one. */
		unsigned zones = 1;
		/* Of digests in the zone, the region, to other regions. */
		pf_ms every[3] = { 240, 240, 240 };
		pf_ms delay[3] = { 130, 130, 130 }; /* until they arrive */
		double digest_loss = 0;
	};
	struct Request {
		unsigned gate = 0;
		unsigned model = 0;
		unsigned prefix = 0;
		unsigned kind = 0;
		double luck = 0; /* a pause makes it late if below its chance */
		unsigned beside = 0; /* most long prompts unread beside it */
		pf_ms arrived_at = 0;
		pf_ms first_event = -1; /* after arrived_at */
		uint32_t handle = UINT32_MAX;
		unsigned engine = 0;
		unsigned serial = 0;
		int events_left = 0;
		bool ended = false;
	};
	struct Result {
		double spread = 0; /* p99 of max/mean of queued prefill */
		double idle = 0; /* share of windows, see IsUneven() */
		double reread = 0; /* tokens of shared prefixes per request */
		double p50 = 0, p99 = 0; /* first event, ms */
		/* Shares over their objective, with a pause, or refused. */
		double late = 0;
		double late_of[KINDS] = {};
		double paused = 0; /* share of chats with a pause */
		double busiest = 0; /* requests of an engine, max/mean */
		double refused = 0;
		double digests_per_s = 0;
	};

	explicit EvenSim(const Options &o);
	~EvenSim();
	void Run(pf_ms span);
	/* Forgets what was measured so far. */
	void Reset();
	Result Measured() const;
	/* Nothing arrives there or leaves from there until then. */
	void CutOff(unsigned gate, pf_ms until);
	/* It ends; callers go to the others. */
	void StopGate(unsigned gate);
	void StopEngine(unsigned engine);
	void SetSpeed(unsigned engine, double share);

	Options opts;

      private:
	struct Engine {
		uint64_t id = 0;
		unsigned zone = 0;
		bool up = true;
		double speed = 1;
		double free_at = 0; /* when its prefill queue is empty */
		double queued = 0; /* mean of the window, ms */
		unsigned unread = 0; /* long prompts */
		unsigned sent = 0; /* requests that reached it */
		std::vector<unsigned> models;
		std::deque<unsigned> kept; /* prefixes, newest first */
		std::set<Request *> running;
	};
	struct Gate {
		struct pf_gate *g = nullptr;
		unsigned zone = 0;
		bool up = true;
		pf_ms cut_until = 0;
		std::vector<struct pf_gate_peer_cursor> cursors;
	};
	struct Timer {
		pf_ms at;
		uint64_t serial;
		std::function<void()> f;
		bool operator<(const Timer &o) const
		{
			return at != o.at ? at > o.at : serial > o.serial;
		}
	};

	static void Emit(void *ctx, const struct pf_gate_act *a);
	void At(pf_ms at, std::function<void()> f);
	void Every(pf_ms period, std::function<bool()> f);
	void Step(unsigned gate, const struct pf_gate_msg &m);
	void PlaceModels();
	void StartGate(unsigned gate);
	void List(unsigned gate, const Engine &e);
	void SendDigest(unsigned from, unsigned to);
	void Arrive(unsigned kind);
	void Schedule(unsigned kind, double per_s);
	static uint32_t Clairvoyant(const struct pf_gate_choice *c);
	double TrueCost(const struct pf_gate_candidate &v) const;
	void AddUnread(Engine *e);
	static bool IsPaused(const Request &r);
	static bool IsLate(const Request &r);
	void OnSend(Request *r, uint64_t endpoint);
	void Reach(Request *r, unsigned serial);
	void Event(Request *r, unsigned serial, int n);
	void End(Request *r, enum pf_gate_outcome o, int status);
	void Leave(Request *r);
	double Queued(const Engine &e) const;
	void Sample();
	void EndWindow();
	bool IsUneven() const;
	unsigned Near(unsigned zone_a, unsigned zone_b) const;
	bool IsCut(unsigned gate) const
	{
		return gates_[gate].cut_until > now_;
	}
	double Unit()
	{
		return std::uniform_real_distribution<>(0, 1)(rng_);
	}
	unsigned Below(size_t n)
	{
		return static_cast<unsigned>(rng_() % n);
	}

	pf_ms now_ = 1000000;
	uint64_t serial_ = 0;
	std::mt19937 rng_;
	std::priority_queue<Timer> timers_;
	std::vector<Gate> gates_;
	std::vector<Engine> engines_;
	std::vector<double> shares_; /* of the models */
	std::vector<unsigned> first_prefix_; /* of the models, and an end */
	const Request *arriving_ = nullptr;
	std::vector<std::unique_ptr<Request>> requests_;
	size_t first_measured_ = 0;
	std::vector<double> spreads_;
	unsigned samples_ = 0; /* in this window */
	unsigned uneven_ = 0;
	uint64_t reread_ = 0;
	unsigned digests_ = 0;
	pf_ms reset_at_ = 0;
	struct pf_routes routes_ = {};
	struct pf_split split_ = {};
	struct pf_route route_[KINDS] = {};
	struct pf_route_service service_ = {};
	struct pf_gate_zone zone_[6];
};

#endif
