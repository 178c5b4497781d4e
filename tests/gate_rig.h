/* A gate core with a routing table, in virtual time. */
#ifndef TESTS_GATE_RIG_H
#define TESTS_GATE_RIG_H

#include "pimentoford/gate.h"

#include <map>
#include <string>
#include <vector>

struct GateAct {
	enum pf_gate_act_type type;
	int tag;
	uint64_t endpoint; /* SEND and REQUEST_ADAPTER; else 0 */
	struct pf_gate_act raw;
};

struct GateRig {
	struct pf_gate *g = nullptr;
	struct pf_gate_opts o;
	struct pf_routes *routes = nullptr;
	pf_ms now = 1000000;
	std::vector<GateAct> acts;
	std::map<int, uint32_t> handles;
	struct pf_gate_zone zones[3];
	std::string version = "v1"; /* of the endpoints added from now on */
	/* Of the requests that arrive from now on. */
	std::string attempt, resumes;
	int64_t last_event = -1;
	uint64_t account = 0;
	int account_priority = -1;
	/* Start() says that all endpoints were read. */
	bool reads_endpoints = true;

	static uint64_t Id(const char *s)
	{
		return pf_id(pf_str_c(s));
	}

	GateRig()
	{
		pf_gate_opts_default(&o);
		zones[0] = { Id("za"), Id("east") };
		zones[1] = { Id("zb"), Id("east") };
		zones[2] = { Id("zc"), Id("west") };
		o.self = 77;
		o.zone = Id("za");
		o.region = Id("east");
		o.zones = zones;
		o.n_zones = 3;
		o.seed = 5;
		o.requests_max = 256;
	}

	~GateRig()
	{
		pf_gate_free(g);
		pf_routes_free(routes);
	}

	/* Routes: /s/ safe, /u/ unsafe, /t/ stream, /r/ resumable.
	 * Services: "app" is plain, "llm" has engines. */
	void Start();
	void EndpointsRead();
	/* Another gateway has read newer rows of endpoints. */
	void EndpointsBehind(bool behind);
	void Step(const struct pf_gate_msg &m);
	void Tick(pf_ms span);
	void Endpoint(const char *name, const char *service, const char *zone,
		      const char *model = nullptr,
		      const char *adapter = nullptr, bool draining = false,
		      int64_t born = 1);
	void Gone(const char *name);
	void Leaves(const char *name, int64_t born = 1);
	void BacksOff(uint64_t id, pf_ms span, int64_t born = 1);
	/* An answer to a request that was sent at @sent_at names a limit. */
	void Limit(uint64_t id, double per_s, pf_ms sent_at, int64_t born = 1);
	void PeerLimit(uint64_t id, double per_s, pf_ms age, uint32_t sent = 0,
		       uint64_t peer = 99);
	/* @part is the first part of the prompt; the only one, unless it has
	 * one of its own too. */
	void Arrive(int tag, const char *prefix, pf_ms time_left,
		    const char *model = nullptr, const char *adapter = nullptr,
		    uint32_t prompt = 0, const char *part = nullptr,
		    uint64_t fingerprint = 0, bool own_part = false);
	void Ended(int tag, enum pf_gate_outcome outcome, int status = 0,
		   bool reset = false, bool misdirected = false);
	void Events(int tag, uint32_t n = 1);
	void Paused(int tag, bool on);
	void Hangup(int tag);
	/* Returns NULL when there is none. */
	const GateAct *Last(int tag, enum pf_gate_act_type type) const;
	size_t Count(enum pf_gate_act_type type) const;
	/* The endpoint of the last send for @tag, or 0. */
	uint64_t SentTo(int tag) const;
};

#endif
