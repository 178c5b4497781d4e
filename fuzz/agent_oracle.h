/* Oracle of the agent core, built from the messages in and out alone. */
#ifndef FUZZ_AGENT_ORACLE_H
#define FUZZ_AGENT_ORACLE_H

#include "fuzz/fake_engine.h"
#include "fuzz/fuzz.h"

#define N_MODELS 4
#define N_ADAPTERS 3
#define TRIES_MAX 600

/** What the messages have shown about a try. */
struct try_record {
	struct pf_work work;
	uint64_t entry;
	bool submitted; /* TRY was sent */
	bool submitted_after_drain; /* first TRY sent after DRAIN */
	bool abandoned; /* by its entry: no final answer is needed */
	bool ran, denied, ended; /* by RUN; NOT_RUN, REVOKED; DONE, LOST */
	bool claim_sent, granted, voided;
	pf_ms settled_at; /* last time it was denied or ended; 0: neither */
	uint32_t tokens_seen; /* output forwarded without a gap */
};

struct world {
	struct pf_rng rng;
	struct fuzz_result *result;
	struct pf_agent_opts opts;
	struct pf_agent *agent;
	struct fake_engine engine;
	struct pf_model models[N_MODELS];
	struct pf_adapter adapters[N_ADAPTERS];
	struct pf_config config;
	struct try_record tries[TRIES_MAX];
	uint32_t first_try; /* earlier ones belong to a previous agent */
	uint32_t n_tries;
	struct pf_agent_msg claims[TRIES_MAX]; /* answers in flight */
	uint32_t n_claims;
	pf_ms now;
	bool engine_reported; /* the agent got an ENGINE_UP */
	bool draining, drained;
};

#define CHECK(w, cond, ...)                                       \
	do {                                                      \
		if (!(cond))                                      \
			fuzz_violation((w)->result, __VA_ARGS__); \
	} while (0)

/** Steps the agent with @m, checks its acts and passes them to the engine. */
void world_step(struct world *w, const struct pf_agent_msg *m);

#endif
