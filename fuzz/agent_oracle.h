/* The oracle of the agent core: what is known from the messages alone. */
#ifndef FUZZ_AGENT_ORACLE_H
#define FUZZ_AGENT_ORACLE_H

#include "fuzz/fake_engine.h"
#include "fuzz/fuzz.h"

#define N_MODELS 4
#define N_ADAPTERS 3
#define TRIES_MAX 600

/* What is known of a try from the messages alone. */
struct try_record {
	struct pf_work work;
	uint64_t entry;
	bool submitted; /* TRY was sent */
	bool submitted_after_drain; /* and only after DRAIN */
	bool abandoned; /* its entry is gone or gave it up: no answer is due */
	bool ran, denied, ended; /* RUN; NOT_RUN or REVOKED; DONE or LOST */
	bool claim_sent, granted, voided;
	pf_ms settled_at; /* when it was last denied, or ended; 0: neither */
	uint32_t
		tokens_seen; /* tokens that the engine reported, without a gap */
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
	uint32_t first_try; /* those before died with an earlier agent */
	uint32_t n_tries;
	struct pf_agent_msg claims[TRIES_MAX]; /* answers under way */
	uint32_t n_claims;
	pf_ms now;
	bool engine_reported; /* the agent has heard from its engine */
	bool draining, drained;
};

#define CHECK(w, cond, ...)                                       \
	do {                                                      \
		if (!(cond))                                      \
			fuzz_violation((w)->result, __VA_ARGS__); \
	} while (0)

/** Steps the agent with @m; its acts are checked and carried out. */
void world_step(struct world *w, const struct pf_agent_msg *m);

#endif
