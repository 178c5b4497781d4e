/* Private state and functions of the membership core. */
#ifndef SRC_COORDINATION_MEMBER_INTERNAL_H
#define SRC_COORDINATION_MEMBER_INTERNAL_H

#include "pimentoford/map.h"
#include "pimentoford/member.h"

struct pf_member_peer {
	uint64_t id; /* 0: the slot is free */
	enum pf_member_role role;
	uint64_t zone;
	uint64_t region;
	enum pf_member_state state;
	uint64_t incarnation; /* highest seen; 0: none */
	bool declared;
	bool listed;
	bool listed_leaving; /* in the last list */
	bool leaving; /* this incarnation is leaving */
	bool session_up;
	pf_ms last_seen_at;
	double mean_gap_ms; /* between heartbeats */
	double gap_deviation_ms; /* mean absolute deviation from it */
	bool picked;
	bool for_coverage; /* picked only for coverage */
	bool connect_requested; /* CONNECT emitted, no DISCONNECT yet */
	pf_ms unpicked_at;
	uint64_t *models; /* sorted; owned */
	uint32_t n_models;
	bool was_picked; /* before the current pick */
};

/** An agent that may be picked; a lower rank is preferred. */
struct pf_member_candidate {
	uint64_t rank;
	uint32_t peer_index;
};

struct pf_member {
	struct pf_member_opts opts;
	pf_ms now;
	const struct pf_member_sink *sink;
	struct pf_member_peer *peers;
	uint32_t n_slots; /* slots in use so far */
	struct pf_map index_by_id;
	uint64_t *declared_models; /* sorted; owned */
	uint32_t n_declared_models;
	bool *covered; /* by index in declared_models; owned */
	struct pf_member_candidate *candidates; /* scratch of a pick; owned */
	bool list_received;
	bool pick_needed; /* a pick is due, see pick_interval */
	pf_ms last_pick_at;
	pf_ms next_check_at; /* of all states */
	struct pf_member_stats stats;
};

/* `last_pick_at` before the first pick. */
#define PF_MEMBER_NEVER_PICKED (-((pf_ms)1 << 40))

void pf_member_emit(struct pf_member *m, enum pf_member_act_type type,
		    const struct pf_member_peer *p);

/** Picks the agents to hold sessions with; emits CONNECT for new ones. */
void pf_member_pick_agents(struct pf_member *m);
/** Emits DISCONNECT for agents unpicked for `disconnect_delay` or gone. */
void pf_member_drop_unpicked(struct pf_member *m);
/** Whether @p is in use and neither leaving nor gone. */
bool pf_member_is_active(const struct pf_member_peer *p);
/** Finds @model in the sorted @v; sets *@at to its index. */
bool pf_member_find_model(const uint64_t *v, uint32_t n, uint64_t model,
			  uint32_t *at);

#endif
