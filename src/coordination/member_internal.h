/* Inside of the membership core. */
#ifndef SRC_COORDINATION_MEMBER_INTERNAL_H
#define SRC_COORDINATION_MEMBER_INTERNAL_H

#include "pimentoford/map.h"
#include "pimentoford/member.h"

struct pf_member_one {
	uint64_t id; /* 0: the slot is free */
	enum pf_member_role role;
	uint64_t zone;
	uint64_t region;
	enum pf_member_state state;
	uint64_t incarnation; /* the highest heard; 0: none */
	bool declared;
	bool listed;
	bool list_leaving; /* as the list says now */
	bool leaving; /* a sign came for this incarnation */
	bool up;
	pf_ms heard_at;
	double gap; /* mean time between heartbeats, ms */
	double spread; /* mean deviation from it */
	bool wanted;
	bool extra; /* wanted for coverage only */
	bool connected; /* the daemon was told to */
	pf_ms unwanted_at;
	uint64_t *models; /* sorted; owned */
	uint32_t n_models;
	bool was_wanted; /* before the choice at hand */
};

/** An agent in the order in which it is preferred. */
struct pf_member_place {
	uint64_t rank;
	uint32_t slot;
};

struct pf_member {
	struct pf_member_opts opts;
	pf_ms now;
	const struct pf_member_sink *sink;
	struct pf_member_one *v;
	uint32_t n; /* slots in use so far */
	struct pf_map index;
	uint64_t *models; /* declared, sorted; owned */
	uint32_t n_models;
	bool *covered; /* by model; owned */
	struct pf_member_place *order; /* scratch of a choice */
	bool list_seen;
	bool dirty; /* subsets are to be chosen anew */
	pf_ms picked_at;
	pf_ms check_at; /* of silences */
	struct pf_member_stats stats;
};

#define PF_MEMBER_LONG_AGO (-((pf_ms)1 << 40))

void pf_member_emit(struct pf_member *m, enum pf_member_act_type type,
		    const struct pf_member_one *x);

/** Chooses the agents to hold and tells the daemon what changed. */
void pf_member_pick(struct pf_member *m);
/** Lets go of sessions that have not been wanted for long. */
void pf_member_let_go(struct pf_member *m);
/** Whether @x is neither leaving nor gone. */
bool pf_member_counts(const struct pf_member_one *x);
/** Finds @model in the sorted @v; *@at is its place. */
bool pf_member_find_model(const uint64_t *v, uint32_t n, uint64_t model,
			  uint32_t *at);

#endif
