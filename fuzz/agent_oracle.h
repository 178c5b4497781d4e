/* The oracle of the agent core: what is known from the messages alone. */
#ifndef FUZZ_AGENT_ORACLE_H
#define FUZZ_AGENT_ORACLE_H

#include "fuzz/fake_engine.h"
#include "fuzz/fuzz.h"

#define MODELS 4
#define ADAPTERS 3
#define TRIES 600

/* What is known of a try from the messages alone. */
struct seen {
	struct pf_work work;
	uint64_t entry;
	bool tried; /* TRY was sent */
	bool after_drain; /* and only after DRAIN */
	bool excused; /* its entry is gone or gave it up: no answer is due */
	bool ran, denied, ended; /* RUN; NOT_RUN or REVOKED; DONE or LOST */
	bool claim_asked, granted, voided;
	pf_ms over_at; /* when it was last denied, or ended; 0: neither */
	uint32_t sent; /* tokens that the engine reported, without a gap */
};

struct world {
	struct pf_rng rng;
	struct fuzz_result *r;
	struct pf_agent_opts o;
	struct pf_agent *a;
	struct fake_engine e;
	struct pf_model models[MODELS];
	struct pf_adapter adapters[ADAPTERS];
	struct pf_config config;
	struct seen tries[TRIES];
	uint32_t first_try; /* those before died with an earlier agent */
	uint32_t n_tries;
	struct pf_agent_msg claims[TRIES]; /* answers under way */
	uint32_t n_claims;
	pf_ms now;
	bool met; /* the agent has heard from its engine */
	bool draining, drained;
};

#define CHECK(w, cond, ...)                                  \
	do {                                                 \
		if (!(cond))                                 \
			fuzz_violation((w)->r, __VA_ARGS__); \
	} while (0)

/** Steps the agent with @m; its acts are checked and carried out. */
void world_send(struct world *w, const struct pf_agent_msg *m);

#endif
